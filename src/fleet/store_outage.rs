//! Outages of the store, as this VM's own reads show them.

use std::time::{Duration, Instant};

/// How long a target stays usable after its record lapsed in a store outage. Targets cannot renew
/// their records during an outage, and need this time after it to write them again.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Whether this VM's reads of the store fail, and when they last did.
///
/// ```
/// use std::time::Instant;
/// use plantainnotch::fleet::store_outage::{LAPSE_GRACE, StoreOutage};
/// let now = Instant::now();
/// let mut outage = StoreOutage::default();
/// outage.record_failure();
/// outage.record_success(now);
/// assert_eq!(outage.retain_until(now), Some(now + LAPSE_GRACE));
/// ```
#[derive(Debug, Default)]
pub struct StoreOutage {
    is_failing: bool,
    ended_at: Option<Instant>,
}

impl StoreOutage {
    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Records a failed read.
    pub fn record_failure(&mut self) {
        self.is_failing = true;
    }

    /// Records an answered read.
    pub fn record_success(&mut self, now: Instant) {
        if std::mem::replace(&mut self.is_failing, false) {
            self.ended_at = Some(now);
        }
    }

    /// Records that the store came back from an older copy, which may lack targets' records.
    pub fn record_restart(&mut self, now: Instant) {
        self.ended_at = Some(now);
    }

    /// Until when targets stay usable whose removal this VM reads at `now`; `None` if it removes
    /// them at once, since no outage can have kept them from renewing their records.
    pub fn retain_until(&self, now: Instant) -> Option<Instant> {
        if self.is_failing {
            return Some(now + LAPSE_GRACE);
        }
        self.ended_at
            .map(|at| at + LAPSE_GRACE)
            .filter(|until| now < *until)
    }
}
