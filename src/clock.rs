//! The monotonic clock, injected so that tests control time.

use std::fmt;
use std::sync::Arc;
use std::time::Instant;

/// Source of monotonic time.
///
/// ```
/// use plantainnotch::clock::TimeSource;
/// let clock = TimeSource::system();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone)]
pub struct TimeSource {
    read: Arc<dyn Fn() -> Instant + Send + Sync>,
}

impl TimeSource {
    /// The operating system's monotonic clock.
    pub fn system() -> Self {
        Self::from_fn(Instant::now)
    }

    /// A clock whose current time is what `read` returns.
    pub fn from_fn(read: impl Fn() -> Instant + Send + Sync + 'static) -> Self {
        Self {
            read: Arc::new(read),
        }
    }

    /// The current time, comparable only with other times of the same clock.
    pub fn now(&self) -> Instant {
        (self.read)()
    }
}

impl fmt::Debug for TimeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TimeSource")
    }
}
