//! Permits to send requests to targets that named a rate limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::TargetName;

/// Lowest rate at which a limited target is asked: only its responses tell when the limit ends.
const MIN_REQUESTS_PER_S: f64 = 0.25;
/// Time for which unused permits add up.
const SAVING_TIME: Duration = Duration::from_secs(1);
/// Most permits that add up: each change of the owner of placement may spend them once more.
const MAX_SAVED: f64 = 4.0;
/// Time without a decision after which a VM that uses a share of the rate starts without permits.
/// Most VMs decide alone at the same time, if at all, and would all spend what they saved.
const MAX_SHARE_IDLE: Duration = Duration::from_secs(2);
/// Longest time after which a refused caller is told to come back.
const MAX_RETURN_TIME: Duration = Duration::from_secs(4);

/// Permits for one target, which add up at its rate.
#[derive(Debug, Clone)]
pub struct PermitBucket {
    requests_per_s: f64,
    /// Part of the rate that this VM may use.
    share: f64,
    /// Permits that may be used at `updated_at`; negative if later ones were granted already.
    saved: f64,
    updated_at: Option<Instant>,
}

impl PermitBucket {
    /// Creates a bucket without permits. They add up from the first [`Self::set_share`] on.
    pub fn new(requests_per_s: f64) -> Self {
        Self {
            requests_per_s,
            share: 1.0,
            saved: 0.0,
            updated_at: None,
        }
    }

    /// Changes the rate; a lower one starts without permits.
    pub fn set_rate(&mut self, requests_per_s: f64) {
        if requests_per_s < self.requests_per_s {
            self.saved = self.saved.min(0.0);
        }
        self.requests_per_s = requests_per_s;
    }

    /// Sets the share of the rate that this VM may use, from 0 to 1, before it decides. Another
    /// share than before starts without permits.
    pub fn set_share(&mut self, share: f64, now: Instant) {
        let idle = self
            .updated_at
            .map(|at| now.saturating_duration_since(at))
            .unwrap_or_default();
        let restarts = share != self.share || (share < 1.0 && idle > MAX_SHARE_IDLE);
        self.saved = if restarts {
            self.saved.min(0.0)
        } else {
            self.saved_at(now)
        };
        self.share = share;
        self.updated_at = Some(now);
    }

    /// Whether a permit may be used at `now`.
    pub fn has_permit(&self, now: Instant) -> bool {
        self.wait_for(1, now).is_zero()
    }

    /// Uses one permit, or grants a later one.
    pub fn take(&mut self, now: Instant) {
        self.saved = self.saved_at(now) - 1.0;
        self.updated_at = Some(now);
    }

    /// Time until `count` permits may be used, if none is meanwhile.
    fn wait_for(&self, count: usize, now: Instant) -> Duration {
        const TOLERANCE: f64 = 1e-9; // of sums of fractions
        let missing = count as f64 - self.saved_at(now);
        if missing <= TOLERANCE {
            return Duration::ZERO;
        }
        let seconds = missing / self.rate();
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn rate(&self) -> f64 {
        self.requests_per_s.max(MIN_REQUESTS_PER_S) * self.share
    }

    fn saved_at(&self, now: Instant) -> f64 {
        let elapsed = self
            .updated_at
            .map(|at| now.saturating_duration_since(at))
            .unwrap_or_default();
        let capacity = if self.share < 1.0 {
            1.0
        } else {
            (self.requests_per_s * SAVING_TIME.as_secs_f64()).clamp(1.0, MAX_SAVED)
        };
        (self.saved + self.rate() * elapsed.as_secs_f64()).min(capacity)
    }
}

/// Time until the permit after the next `ahead` ones may be used, of any of the buckets;
/// [`Duration::MAX`] without buckets.
pub fn permit_wait<'a>(
    buckets: impl Iterator<Item = &'a PermitBucket>,
    ahead: usize,
    now: Instant,
) -> Duration {
    let mut next: Vec<(Duration, usize, &PermitBucket)> = buckets
        .map(|bucket| (bucket.wait_for(1, now), 1, bucket))
        .collect();
    let mut wait = Duration::MAX;
    for _ in 0..=ahead {
        let Some(first) = next.iter_mut().min_by_key(|(wait, ..)| *wait) else {
            return wait;
        };
        let (at, count, bucket) = *first;
        wait = at;
        *first = (bucket.wait_for(count + 1, now), count + 1, bucket);
    }
    wait
}

/// Tells refused callers to come back one after the other, at the rate at which permits add up.
#[derive(Debug, Default)]
pub struct ReturnOrder {
    next_at: Option<Instant>,
}

impl ReturnOrder {
    /// Time after which the next refused caller should return: not before `soonest`, and 1 /
    /// `requests_per_s` after the one before it, within [`MAX_RETURN_TIME`].
    pub fn assign(&mut self, soonest: Duration, requests_per_s: f64, now: Instant) -> Duration {
        let soonest = soonest.min(MAX_RETURN_TIME);
        let turn = self.next_at.map(|at| at.saturating_duration_since(now));
        let wait = turn.unwrap_or_default().clamp(soonest, MAX_RETURN_TIME);
        let spacing = Duration::try_from_secs_f64(1.0 / requests_per_s).unwrap_or(MAX_RETURN_TIME);
        self.next_at = Some(now + wait + spacing.min(MAX_RETURN_TIME));
        wait
    }
}

/// Total rate of the buckets, in requests a second.
pub fn total_rate<'a>(buckets: impl Iterator<Item = &'a PermitBucket>) -> f64 {
    buckets.map(PermitBucket::rate).sum()
}

/// The answer to a request for a permit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// One request may be sent.
    Granted {
        /// The target to send it to.
        target: TargetName,
        /// Time after which it may be sent.
        send_in: Duration,
    },
    /// No permit is free soon enough.
    Refused {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Permits for the targets of plain services, which VMs choose by themselves.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::TargetName;
/// use plantainnotch::policy::permits::{PermitAnswer, PermitLedger};
/// let (mut ledger, now) = (PermitLedger::default(), Instant::now());
/// let rates = [(TargetName::new("i-1"), 2.0)];
/// let answer = ledger.grant(&rates, Duration::from_secs(1), 1.0, now);
/// assert!(matches!(answer, PermitAnswer::Granted { send_in, .. } if send_in.as_millis() == 500));
/// let answer = ledger.grant(&rates, Duration::ZERO, 1.0, now);
/// assert!(matches!(answer, PermitAnswer::Refused { .. }));
/// ```
#[derive(Debug, Default)]
pub struct PermitLedger {
    buckets: BTreeMap<TargetName, PermitBucket>,
    return_order: ReturnOrder,
}

impl PermitLedger {
    /// Grants a permit for the first of these targets that has one, or else for the one that has
    /// the next, if it may be used within `max_wait`. Each target comes with its requests a second,
    /// of which this VM may use `share`.
    pub fn grant(
        &mut self,
        rates: &[(TargetName, f64)],
        max_wait: Duration,
        share: f64,
        now: Instant,
    ) -> PermitAnswer {
        for (target, rate) in rates {
            let bucket = self
                .buckets
                .entry(target.clone())
                .or_insert_with(|| PermitBucket::new(*rate));
            bucket.set_rate(*rate);
            bucket.set_share(share, now);
        }
        let buckets = || rates.iter().filter_map(|(name, _)| self.buckets.get(name));
        let soonest = rates
            .iter()
            .filter_map(|(name, _)| Some((self.buckets.get(name)?.wait_for(1, now), name)))
            .min_by_key(|(wait, _)| *wait);
        match soonest {
            Some((send_in, target)) if send_in <= max_wait => {
                if let Some(bucket) = self.buckets.get_mut(target) {
                    bucket.take(now);
                }
                PermitAnswer::Granted {
                    target: target.clone(),
                    send_in,
                }
            }
            _ => {
                let rate = total_rate(buckets());
                let wait = permit_wait(buckets(), 0, now);
                PermitAnswer::Refused {
                    retry_after: self.return_order.assign(wait, rate, now),
                }
            }
        }
    }

    /// Drops the permits of targets that are gone.
    pub fn retain(&mut self, is_present: impl Fn(&TargetName) -> bool) {
        self.buckets.retain(|target, _| is_present(target));
    }
}
