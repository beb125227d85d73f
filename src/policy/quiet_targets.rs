//! Targets that asked this VM to send them nothing for a time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::TargetName;

/// Longest time that is honoured; a longer one is taken for a mistake of the target.
const MAX_QUIET_TIME: Duration = Duration::from_secs(60);
/// Share of the asked time that is added at most, so that VMs do not return at the same moment.
const MAX_EXTRA_SHARE: f64 = 0.2;

#[derive(Debug, Clone, Copy)]
struct QuietTime {
    started_ms: u64,
    until: Instant,
}

/// Until when each target wants nothing from this VM.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::TargetName;
/// use plantainnotch::policy::quiet_targets::QuietTargets;
/// let (mut quiet, now, name) = (QuietTargets::default(), Instant::now(), TargetName::new("i-1"));
/// quiet.record(&name, 7, Duration::from_secs(2), 0.0, now);
/// assert!(quiet.is_quiet(&name, 7, now));
/// assert!(!quiet.is_quiet(&name, 8, now));
/// ```
#[derive(Debug, Default)]
pub struct QuietTargets {
    times: BTreeMap<TargetName, QuietTime>,
}

impl QuietTargets {
    /// Records that the target's process that started at `started_ms` wants nothing for `asked`.
    /// `jitter` from 0 to 1 adds to it. A shorter time does not end a longer one.
    pub fn record(
        &mut self,
        name: &TargetName,
        started_ms: u64,
        asked: Duration,
        jitter: f64,
        now: Instant,
    ) {
        self.times.retain(|_, time| now < time.until);
        let asked = asked.min(MAX_QUIET_TIME);
        let until = now + asked.mul_f64(1.0 + MAX_EXTRA_SHARE * jitter);
        let time = QuietTime { started_ms, until };
        let known = self.times.entry(name.clone()).or_insert(time);
        if known.started_ms != started_ms || known.until < until {
            *known = time;
        }
    }

    /// Whether the process that started at `started_ms` wants nothing at `now`.
    pub fn is_quiet(&self, name: &TargetName, started_ms: u64, now: Instant) -> bool {
        self.times
            .get(name)
            .is_some_and(|time| time.started_ms == started_ms && now < time.until)
    }

    /// Names of the targets that want nothing at `now`.
    pub fn names(&self, now: Instant) -> impl Iterator<Item = &TargetName> {
        self.times
            .iter()
            .filter(move |(_, time)| now < time.until)
            .map(|(name, _)| name)
    }

    /// Time until the first of these targets may be sent requests again; `None` if none is quiet.
    pub fn first_end<'a>(
        &self,
        names: impl Iterator<Item = &'a TargetName>,
        now: Instant,
    ) -> Option<Duration> {
        let times = names.filter_map(|name| self.times.get(name));
        times
            .map(|time| time.until.saturating_duration_since(now))
            .filter(|left| !left.is_zero())
            .min()
    }
}
