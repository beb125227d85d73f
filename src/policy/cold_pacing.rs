//! Pace at which this VM sends requests to targets of plain services that started recently.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::TargetName;

/// When each cold target may be sent the next request.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::TargetName;
/// use plantainnotch::policy::cold_pacing::ColdPacing;
/// let (mut pacing, name, now) = (ColdPacing::default(), TargetName::new("i-1"), Instant::now());
/// assert_eq!(pacing.wait(&name, 4.0, 0.0, now), Duration::ZERO);
/// pacing.record(&name, 4.0, now);
/// assert_eq!(pacing.wait(&name, 4.0, 0.0, now), Duration::from_millis(250));
/// ```
#[derive(Debug, Default)]
pub struct ColdPacing {
    next_at: BTreeMap<TargetName, Instant>,
}

impl ColdPacing {
    /// Time at `now` until `target` may be sent a request, at `requests_per_s` of this VM. The first
    /// one may wait for the share `phase`, from 0 to 1, of the time between two, so that the VMs of a
    /// fleet do not begin together.
    pub fn wait(
        &mut self,
        target: &TargetName,
        requests_per_s: f64,
        phase: f64,
        now: Instant,
    ) -> Duration {
        let interval = interval(requests_per_s);
        let first_at = now + interval.mul_f64(phase);
        let next_at = *self.next_at.entry(target.clone()).or_insert(first_at);
        // The rate may have risen since the last request.
        next_at.min(now + interval).saturating_duration_since(now)
    }

    /// Records that a request is sent to `target`.
    pub fn record(&mut self, target: &TargetName, requests_per_s: f64, now: Instant) {
        let next_at = now + interval(requests_per_s);
        self.next_at.insert(target.clone(), next_at);
    }

    /// Keeps only the targets for which `is_cold` holds.
    pub fn retain(&mut self, is_cold: impl Fn(&TargetName) -> bool) {
        self.next_at.retain(|target, _| is_cold(target));
    }
}

/// Time between two requests, an hour at most.
fn interval(requests_per_s: f64) -> Duration {
    const HOUR_S: f64 = 3_600.0;
    let seconds = 1.0 / requests_per_s.max(1.0 / HOUR_S);
    Duration::from_secs_f64(seconds)
}
