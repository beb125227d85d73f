//! How a follower of a topic paces its reads of the store.

use std::time::Duration;

const WAIT_SHARE: f64 = 0.4; // of the unread limit
const ANSWER_SHARE: f64 = 0.2;
const RETRY_DELAY_SHARE: f64 = 0.2;
const MAX_WAIT: Duration = Duration::from_secs(5);
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_500);
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DOUBLINGS: u32 = 3;
const RETRY_JITTER: f64 = 0.3; // of the delay, up or down

/// Pace of a follower's reads, such that a topic is read again within a time limit after the store
/// answers again, whenever it fell silent.
///
/// A read that the store has not answered before may be lost, and holds the follower until its
/// time limit. So reads wait for records only while the last one was answered, and not for long.
///
/// ```
/// use std::time::Duration;
/// use plantainnotch::policy::read_pacing::ReadPacing;
/// let mut pacing = ReadPacing::new(Duration::from_secs(3));
/// assert!(!pacing.next_wait().is_zero());
/// pacing.record_failure(0.5);
/// assert!(pacing.next_wait().is_zero());
/// ```
#[derive(Debug)]
pub struct ReadPacing {
    max_wait: Duration,
    answer_time: Duration,
    max_retry_delay: Duration,
    failures: u32,
}

impl ReadPacing {
    /// Creates the pace of a follower that reads a topic within `unread_limit` after the store
    /// answers again.
    pub fn new(unread_limit: Duration) -> Self {
        Self {
            max_wait: unread_limit.mul_f64(WAIT_SHARE).min(MAX_WAIT),
            answer_time: unread_limit.mul_f64(ANSWER_SHARE).min(MAX_ANSWER_TIME),
            max_retry_delay: unread_limit.mul_f64(RETRY_DELAY_SHARE),
            failures: 0,
        }
    }

    /// How long the store may hold the next read until there is a record.
    pub fn next_wait(&self) -> Duration {
        if self.failures > 0 {
            return Duration::ZERO;
        }
        self.max_wait
    }

    /// How long the store may take to answer, beyond the time for which it may hold a read.
    pub fn answer_time(&self) -> Duration {
        self.answer_time
    }

    /// Failed reads since the last answered one.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records that the store answered a read.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failed read, and returns the delay until the next; `jitter` from 0 to 1 spreads
    /// the delays of the followers that fail together.
    pub fn record_failure(&mut self, jitter: f64) -> Duration {
        let doublings = self.failures.min(MAX_RETRY_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let delay = (FIRST_RETRY_DELAY * 2_u32.pow(doublings)).min(self.max_retry_delay);
        delay.mul_f64(1.0 + RETRY_JITTER * (2.0 * jitter - 1.0))
    }
}
