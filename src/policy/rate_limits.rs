//! Rate limits that targets name in their responses.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::TargetName;

/// Relative change up to which a named limit counts as unchanged, so that VMs do not announce
/// every step of one that varies.
const MIN_RELATIVE_CHANGE: f64 = 0.1;

/// A target's rate limit as VMs exchange it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// The target that named it.
    pub target: TargetName,
    /// Start of the target's process in Unix milliseconds.
    pub started_ms: u64,
    /// Number of changes of the process's limit so far; the highest is the newest.
    pub revision: u32,
    /// Requests a second that the target takes from all VMs together; `None` if it no longer names
    /// a limit.
    pub requests_per_s: Option<f64>,
}

impl RateLimit {
    /// Whether this replaces `known`: a newer process, a newer revision or, of two changes that VMs
    /// saw at the same time, the lower limit.
    fn replaces(&self, known: &Self) -> bool {
        let rank = (self.started_ms, self.revision);
        let known_rank = (known.started_ms, known.revision);
        rank > known_rank || (rank == known_rank && self.rate() < known.rate())
    }

    fn rate(&self) -> f64 {
        self.requests_per_s.unwrap_or(f64::INFINITY)
    }
}

#[derive(Debug)]
struct KnownLimit {
    limit: RateLimit,
    learned_at: Instant,
}

/// The rate limits of all targets that named one.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::TargetName;
/// use plantainnotch::policy::rate_limits::RateLimits;
/// let (mut limits, now, name) = (RateLimits::default(), Instant::now(), TargetName::new("i-1"));
/// limits.observe(&name, 7, Some(2.5), now, now);
/// assert_eq!(limits.rate_of(&name, 7), Some(2.5));
/// let sent_at = now + Duration::from_millis(1);
/// limits.observe(&name, 7, None, sent_at, sent_at);
/// assert_eq!(limits.rate_of(&name, 7), None);
/// ```
#[derive(Debug, Default)]
pub struct RateLimits {
    known: BTreeMap<TargetName, KnownLimit>,
}

impl RateLimits {
    /// Records the limit, or none, that a response of the process that started at `started_ms`
    /// names, and returns it if it is a change. The response is to a request sent at `sent_at`.
    ///
    /// Responses may overtake each other, so that a higher limit or the end of one counts only if
    /// the request was sent after the known limit was learned.
    pub fn observe(
        &mut self,
        target: &TargetName,
        started_ms: u64,
        requests_per_s: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<RateLimit> {
        let known = self.known.get(target);
        if known.is_some_and(|known| known.limit.started_ms > started_ms) {
            return None;
        }
        let known = known.filter(|known| known.limit.started_ms == started_ms);
        let mut limit = RateLimit {
            target: target.clone(),
            started_ms,
            revision: 1,
            requests_per_s,
        };
        match known {
            None if requests_per_s.is_none() => return None,
            None => {}
            Some(known) => {
                let (before, named) = (known.limit.rate(), limit.rate());
                let is_same = before == named
                    || (before.is_finite()
                        && (named - before).abs() < before * MIN_RELATIVE_CHANGE);
                if is_same || (named > before && sent_at <= known.learned_at) {
                    return None;
                }
                limit.revision = known.limit.revision.saturating_add(1);
            }
        }
        let known = KnownLimit {
            limit: limit.clone(),
            learned_at: now,
        };
        self.known.insert(target.clone(), known);
        Some(limit)
    }

    /// Requests a second that the process that started at `started_ms` takes; `None` without a
    /// limit.
    pub fn rate_of(&self, target: &TargetName, started_ms: u64) -> Option<f64> {
        let known = self.known.get(target)?;
        let is_same_process = known.limit.started_ms == started_ms;
        known.limit.requests_per_s.filter(|_| is_same_process)
    }

    /// Takes over other VMs' limits that are newer than the ones known here, and returns them.
    pub fn import(&mut self, limits: &[RateLimit], now: Instant) -> Vec<RateLimit> {
        let mut imported = Vec::new();
        for limit in limits {
            let known = self.known.get(&limit.target);
            let is_valid = limit.rate() >= 0.0; // false for NaN
            if !is_valid || known.is_some_and(|known| !limit.replaces(&known.limit)) {
                continue;
            }
            let known = KnownLimit {
                limit: limit.clone(),
                learned_at: now,
            };
            self.known.insert(limit.target.clone(), known);
            imported.push(limit.clone());
        }
        imported
    }

    /// All known limits, ended ones included, for other VMs.
    pub fn export(&self) -> Vec<RateLimit> {
        let limits = self.known.values().map(|known| known.limit.clone());
        limits.collect()
    }

    /// The known limits of these targets.
    pub fn limits_of<'a>(&self, targets: impl Iterator<Item = &'a TargetName>) -> Vec<RateLimit> {
        let known = targets.filter_map(|target| self.known.get(target));
        known.map(|known| known.limit.clone()).collect()
    }

    /// Hash of all known limits, by which VMs see whether theirs are the same.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for limit in self.known.values().map(|known| &known.limit) {
            hash.update(limit.target.as_str().as_bytes());
            hash.update(&limit.started_ms.to_le_bytes());
            hash.update(&limit.revision.to_le_bytes());
            hash.update(&limit.rate().to_le_bytes());
        }
        hash.digest()
    }

    /// Number of targets that name a limit.
    pub fn limited_count(&self) -> usize {
        let limits = self.known.values().map(|known| &known.limit);
        limits
            .filter(|limit| limit.requests_per_s.is_some())
            .count()
    }

    /// Drops the limits of targets that are gone.
    pub fn retain(&mut self, is_present: impl Fn(&TargetName) -> bool) {
        self.known.retain(|target, _| is_present(target));
    }
}
