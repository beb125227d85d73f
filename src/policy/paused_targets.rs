//! Targets that asked this VM for a pause.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::TargetName;

/// Longest pause that is kept; a longer one is taken for a mistake of the target.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Share of the pause that is added at most, so that VMs do not return at the same moment.
const MAX_EXTRA_SHARE: f64 = 0.2;

#[derive(Debug, Clone, Copy)]
struct TargetPause {
    started_ms: u64,
    until: Instant,
}

/// Until when each target asked for a pause.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::TargetName;
/// use plantainnotch::policy::paused_targets::PausedTargets;
/// let (mut paused, now, name) = (PausedTargets::default(), Instant::now(), TargetName::new("i-1"));
/// paused.record(&name, 7, Duration::from_secs(2), 0.0, now);
/// assert!(paused.is_paused(&name, 7, now));
/// assert!(!paused.is_paused(&name, 8, now));
/// ```
#[derive(Debug, Default)]
pub struct PausedTargets {
    pauses: BTreeMap<TargetName, TargetPause>,
}

impl PausedTargets {
    /// Records that the target's process that started at `started_ms` asked for a pause. `jitter`
    /// from 0 to 1 adds to it. A shorter pause does not end a longer one.
    pub fn record(
        &mut self,
        name: &TargetName,
        started_ms: u64,
        asked: Duration,
        jitter: f64,
        now: Instant,
    ) {
        self.pauses.retain(|_, time| now < time.until);
        let asked = asked.min(MAX_PAUSE);
        let until = now + asked.mul_f64(1.0 + MAX_EXTRA_SHARE * jitter);
        let time = TargetPause { started_ms, until };
        let known = self.pauses.entry(name.clone()).or_insert(time);
        if known.started_ms != started_ms || known.until < until {
            *known = time;
        }
    }

    /// Whether the pause of the process that started at `started_ms` lasts at `now`.
    pub fn is_paused(&self, name: &TargetName, started_ms: u64, now: Instant) -> bool {
        self.pauses
            .get(name)
            .is_some_and(|time| time.started_ms == started_ms && now < time.until)
    }

    /// Names of the targets whose pause lasts at `now`.
    pub fn names(&self, now: Instant) -> impl Iterator<Item = &TargetName> {
        self.pauses
            .iter()
            .filter(move |(_, time)| now < time.until)
            .map(|(name, _)| name)
    }

    /// Time until the first of these targets may be sent requests again; `None` if none
    /// is paused.
    pub fn first_end<'a>(
        &self,
        names: impl Iterator<Item = &'a TargetName>,
        now: Instant,
    ) -> Option<Duration> {
        let times = names.filter_map(|name| self.pauses.get(name));
        times
            .map(|time| time.until.saturating_duration_since(now))
            .filter(|left| !left.is_zero())
            .min()
    }
}
