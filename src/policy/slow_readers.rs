//! Which response ends when callers that read slowly have used up the memory for what targets sent them.

use std::time::Duration;

const MEMORY_SHARE: f64 = 0.1; // of the VM's memory; 0.4 is for the bodies of requests, the rest for the process, its sockets and answers of plain services
const RESPONSES_AT_BOUND: usize = 32; // at the smallest VMs a response may then hold 500 kB, twelve times the longest stream of the engines

/// Bounds of what is read from targets ahead of the callers, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct ReadAheadLimits {
    /// Of one response; its target is read again once the caller has read some of it.
    pub response: usize,
    /// Of all responses of the VM.
    pub total: usize,
}

impl ReadAheadLimits {
    /// The bounds of a VM whose process may take `memory_bytes`.
    ///
    /// ```
    /// use plantainnotch::policy::slow_readers::ReadAheadLimits;
    /// let limits = ReadAheadLimits::of_memory(160_000_000);
    /// assert_eq!((limits.response, limits.total), (500_000, 16_000_000));
    /// ```
    pub fn of_memory(memory_bytes: u64) -> Self {
        let total = (memory_bytes as f64 * MEMORY_SHARE) as usize;
        Self {
            response: total / RESPONSES_AT_BOUND,
            total,
        }
    }
}

/// What is held of a response that its caller has not read yet.
#[derive(Debug, Clone, Copy)]
pub struct UnreadResponse {
    /// Memory that it takes, in bytes.
    pub bytes: usize,
    /// How long its oldest unread event has waited for the caller.
    pub waited: Duration,
}

/// The index of the response to end when the bound of the VM is exceeded; `None` if nothing is held.
///
/// That is the one whose oldest event has waited longest, since a caller that reads now and then still
/// falls behind. Responses that hold less than the mean are spared: ending them frees little, so that many
/// callers would lose their response for one that holds much.
///
/// ```
/// use std::time::Duration;
/// use plantainnotch::policy::slow_readers::{UnreadResponse, choose_slowest};
/// let unread = |bytes, ms| UnreadResponse { bytes, waited: Duration::from_millis(ms) };
/// assert_eq!(choose_slowest(&[unread(900, 40), unread(800, 3_000), unread(10, 9_000)]), Some(1));
/// assert_eq!(choose_slowest(&[]), None);
/// ```
pub fn choose_slowest(responses: &[UnreadResponse]) -> Option<usize> {
    let total: usize = responses.iter().map(|response| response.bytes).sum();
    let holds_mean = |response: &UnreadResponse| response.bytes * responses.len() >= total;
    responses
        .iter()
        .enumerate()
        .filter(|(_, response)| response.bytes > 0 && holds_mean(response))
        .max_by_key(|(_, response)| (response.waited, response.bytes))
        .map(|(index, _)| index)
}
