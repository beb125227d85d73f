//! Which connection of a caller is closed when a VM's descriptors, or its memory for callers, run short.

use std::time::{Duration, Instant};

/// After which a connection that waits for its caller counts as slow; a caller on the smallest link sends
/// the longest head, or takes a full socket buffer, in under 30 ms.
const SLOW_AFTER: Duration = Duration::from_secs(1);
/// Before which a connection does not give way, so that new ones do not replace each other.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallerActivity {
    /// The next request; the response to the last one is taken.
    Idle,
    /// The rest of a request's head, or the first one.
    SendingHead,
    /// The rest of a request's body.
    SendingBody,
    /// This node, which serves a request.
    Served,
    /// The caller, which does not take its response.
    NotReading,
}

/// A connection as the choice sees it.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionView {
    /// Id of the connection.
    pub id: u64,
    /// What it waits for.
    pub activity: CallerActivity,
    /// Since when.
    pub since: Instant,
}

/// Chooses the connection that is closed for another; `None` if none may be, since all are served or new.
///
/// Slow ones go first, then idle ones, then others that wait for their caller; among them the one that has
/// waited the longest.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::policy::caller_admission::{CallerActivity, ConnectionView, choose_closed};
/// let since = Instant::now();
/// let now = since + Duration::from_secs(5);
/// let idle = ConnectionView { id: 1, activity: CallerActivity::Idle, since };
/// let slow = ConnectionView { id: 2, activity: CallerActivity::SendingHead, since };
/// assert_eq!(choose_closed([idle, slow].into_iter(), now), Some(2));
/// ```
pub fn choose_closed(
    connections: impl Iterator<Item = ConnectionView>,
    now: Instant,
) -> Option<u64> {
    let ranked = connections.filter_map(|connection| {
        let waited = now.saturating_duration_since(connection.since);
        let rank = match connection.activity {
            CallerActivity::Served => return None,
            _ if waited < MIN_WAIT => return None,
            CallerActivity::Idle => 1,
            _ if waited >= SLOW_AFTER => 0,
            _ => 2,
        };
        Some((rank, connection.since, connection.id))
    });
    ranked.min().map(|(_, _, id)| id)
}
