//! Which target of a plain service gets a request.

use std::time::{Duration, Instant};

use crate::ids::{DomainName, TargetName};

const FIRST_PAUSE: Duration = Duration::from_millis(400); // a restarted target is back within seconds
const REPORTED_PAUSE: Duration = Duration::from_millis(700); // by then another VM has failed or succeeded there
const REFUSED_PAUSE: Duration = Duration::from_millis(1_500); // a target that starts again says so in its record
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
const FAILURE_WEIGHT: f64 = 0.2;
const FAILURE_COST: f64 = 10.0; // requests in service that a sure failure weighs as much as
const LOAD_FRESH: Duration = Duration::from_millis(1_000); // an older load says nothing of this moment
const FAR_COST: f64 = 0.5; // half a request: the hop to another domain costs bytes and a ms

/// What a node saw of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    suspended_until: Option<Instant>,
    failures_in_row: u32,
    failure_rate: f64,
    /// Requests that this node has there.
    pub in_service: usize,
    load: Option<LoadSample>,
}

#[derive(Debug, Clone, Copy)]
struct LoadSample {
    requests: u32,
    own: usize,
    at: Instant,
}

impl TargetHealth {
    /// Whether the target is passed over now.
    pub fn is_suspended(&self, now: Instant) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Notes a failed send; returns for how long the target is now passed over, unless it
    /// already is. `refused` tells that nothing listens there.
    pub fn note_failure(&mut self, refused: bool, now: Instant) -> Option<Duration> {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        if self.is_suspended(now) {
            return None;
        }
        self.failures_in_row += 1;
        let first = if refused { REFUSED_PAUSE } else { FIRST_PAUSE };
        let doubled = first * 2_u32.pow(self.failures_in_row.min(5) - 1);
        let pause = doubled.min(LONGEST_PAUSE);
        self.suspended_until = Some(now + pause);
        Some(pause)
    }

    /// Notes that another VM's send failed; returns for how long the target is now passed
    /// over, unless it already is. A single VM's trouble costs others a short pause only.
    pub fn note_reported_failure(&mut self, refused: bool, now: Instant) -> Option<Duration> {
        if self.is_suspended(now) {
            return None;
        }
        let pause = if refused {
            REFUSED_PAUSE
        } else {
            REPORTED_PAUSE
        };
        self.suspended_until = Some(now + pause);
        Some(pause)
    }

    /// Notes a failure that the target answered itself: it works, but not well.
    pub fn note_error(&mut self) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Notes an answer.
    pub fn note_success(&mut self) {
        self.failures_in_row = 0;
        self.suspended_until = None;
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
    }

    /// Notes the load that the target told.
    pub fn note_load(&mut self, requests: u32, now: Instant) {
        self.load = Some(LoadSample {
            requests,
            own: self.in_service,
            at: now,
        });
    }

    fn cost(&self, now: Instant) -> f64 {
        let others = self
            .load
            .filter(|load| now.saturating_duration_since(load.at) < LOAD_FRESH)
            .map_or(0.0, |load| f64::from(load.requests) - load.own as f64);
        self.in_service as f64 + others.max(0.0) + FAILURE_COST * self.failure_rate
    }
}

/// A target that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct TargetOption<'a> {
    /// Its name.
    pub name: &'a TargetName,
    /// Its failure domain.
    pub domain: &'a DomainName,
    /// What this node saw of it, if anything.
    pub health: Option<&'a TargetHealth>,
}

/// Chooses the target with the least to do, those passed over last. `turn` breaks ties.
pub fn choose_target<'a>(
    options: &[TargetOption<'a>],
    home: &DomainName,
    turn: u64,
    now: Instant,
) -> Option<&'a TargetName> {
    let count = options.len() as u64;
    options
        .iter()
        .enumerate()
        .map(|(index, option)| {
            let health = option.health;
            let suspended = health.is_some_and(|health| health.is_suspended(now));
            let far = if option.domain == home { 0.0 } else { FAR_COST };
            let cost = health.map_or(0.0, |health| health.cost(now)) + far;
            let order = (index as u64 + turn) % count.max(1);
            (suspended, cost, order, option.name)
        })
        .min_by(|a, b| {
            (a.0.cmp(&b.0))
                .then(a.1.total_cmp(&b.1))
                .then(a.2.cmp(&b.2))
        })
        .map(|(_, _, _, name)| name)
}
