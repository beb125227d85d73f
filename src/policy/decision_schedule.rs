//! Bounds how often the dispatchers decide on prompts that wait.

use std::time::{Duration, Instant};

/// Least time between two calls while prompts wait: small against the shortest objective, 250 ms.
/// A call for each arrival and each batch of updates made some 700 calls a second.
pub const MIN_DECISION_GAP: Duration = Duration::from_millis(4);

/// When the dispatchers decide next.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::policy::decision_schedule::DecisionSchedule;
/// let (mut schedule, now) = (DecisionSchedule::default(), Instant::now());
/// assert_eq!(schedule.request(now), Some(Duration::ZERO));
/// schedule.record_call(now);
/// let wait = schedule.request(now + Duration::from_millis(1));
/// assert_eq!(wait, Some(Duration::from_millis(3)));
/// assert_eq!(schedule.request(now + Duration::from_millis(2)), None);
/// ```
#[derive(Debug, Default)]
pub struct DecisionSchedule {
    last_call_at: Option<Instant>,
    /// When a later call is due that has been scheduled.
    due_at: Option<Instant>,
}

impl DecisionSchedule {
    /// Time after which the caller is to decide, zero for at once; `None` if a call is scheduled.
    pub fn request(&mut self, now: Instant) -> Option<Duration> {
        if self.due_at.is_some_and(|at| at > now) {
            return None;
        }
        let since = self
            .last_call_at
            .map_or(MIN_DECISION_GAP, |at| now.saturating_duration_since(at));
        let wait = MIN_DECISION_GAP.saturating_sub(since);
        self.due_at = (!wait.is_zero()).then(|| now + wait);
        Some(wait)
    }

    /// Records that the dispatchers decide at `now`; a scheduled call is no longer due.
    pub fn record_call(&mut self, now: Instant) {
        self.last_call_at = Some(now);
        self.due_at = None;
    }

    /// Whether a scheduled call is due at `now`; no longer if another call was made meanwhile.
    pub fn is_due(&self, now: Instant) -> bool {
        self.due_at.is_some_and(|at| at <= now)
    }
}
