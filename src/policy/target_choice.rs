//! Choice of the target for a request to a plain service, by load, failures and domain.

use std::time::{Duration, Instant};

use crate::ids::{DomainName, TargetName, VmName};

/// Suspension after a first failure; short, since a restarted target is back within seconds.
const FIRST_SUSPENSION: Duration = Duration::from_millis(400);
/// Suspension after another VM's failure; by its end another VM has tried the target again.
const REPORTED_SUSPENSION: Duration = Duration::from_millis(700);
/// Suspension after a refused connection; the target's record shows when it is up again.
const REFUSED_SUSPENSION: Duration = Duration::from_millis(1_500);
const MAX_SUSPENSION: Duration = Duration::from_secs(4);
const FAILURE_SAMPLE_WEIGHT: f64 = 0.2;
/// Cost of a failure rate of 1, in requests in flight.
const FAILURE_COST_REQUESTS: f64 = 10.0;
/// Age up to which a load sample is used; older ones do not show the current load.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1_000);
/// Cost of a target in another domain, in requests: the way there costs traffic and about 1 ms.
const REMOTE_DOMAIN_COST_REQUESTS: f64 = 0.5;

/// One target's failures and load, as this VM has seen them.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    suspended_until: Option<Instant>,
    /// The VM whose report suspended the target, unless this VM's own failure did.
    reported_by: Option<VmName>,
    consecutive_failures: u32,
    failure_rate: f64,
    /// Requests of this VM in flight at the target.
    pub in_flight: usize,
    load: Option<LoadSample>,
}

/// Number of requests at a target, and of this VM's own among them.
#[derive(Debug, Clone, Copy)]
struct LoadSample {
    requests: u32,
    own: usize,
    sampled_at: Instant,
}

impl TargetHealth {
    /// Whether the target is suspended, so that it is chosen only if all others are as well.
    pub fn is_suspended(&self, now: Instant) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Records a failed send and suspends the target, unless it already is; returns for how
    /// long. `refused`: the connection was refused, so nothing listens there.
    ///
    /// The suspension doubles with each consecutive failure, up to a maximum.
    pub fn record_failure(&mut self, refused: bool, now: Instant) -> Option<Duration> {
        self.failure_rate += FAILURE_SAMPLE_WEIGHT * (1.0 - self.failure_rate);
        if self.is_suspended(now) {
            return None;
        }
        self.consecutive_failures += 1;
        let first = if refused {
            REFUSED_SUSPENSION
        } else {
            FIRST_SUSPENSION
        };
        let doubled = first * 2_u32.pow(self.consecutive_failures.min(5) - 1);
        let suspension = doubled.min(MAX_SUSPENSION);
        self.suspended_until = Some(now + suspension);
        self.reported_by = None;
        Some(suspension)
    }

    /// Records a failed send that `vm` reported and suspends the target, unless it already
    /// is; returns for how long. Repeated reports do not lengthen it, since the fault may be that
    /// VM's.
    pub fn record_reported_failure(
        &mut self,
        refused: bool,
        vm: &VmName,
        now: Instant,
    ) -> Option<Duration> {
        if self.is_suspended(now) {
            return None;
        }
        let suspension = if refused {
            REFUSED_SUSPENSION
        } else {
            REPORTED_SUSPENSION
        };
        self.suspended_until = Some(now + suspension);
        self.reported_by = Some(vm.clone());
        Some(suspension)
    }

    /// Ends a suspension that a report of `vm` began: its path was lost, not the target. Returns
    /// whether there was one.
    pub fn withdraw_report(&mut self, vm: &VmName, now: Instant) -> bool {
        let withdrawn = self.is_suspended(now) && self.reported_by.as_ref() == Some(vm);
        if withdrawn {
            self.suspended_until = None;
        }
        withdrawn
    }

    /// Forgets failures of this VM's own sends, which were those of its paths.
    pub fn forget_failures(&mut self) {
        self.consecutive_failures = 0;
        self.suspended_until = None;
        self.failure_rate = 0.0;
    }

    /// Records an error response, which raises the failure rate but does not suspend the target.
    pub fn record_error_answer(&mut self) {
        self.failure_rate += FAILURE_SAMPLE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Records a successful response, which ends a suspension.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.suspended_until = None;
        self.failure_rate -= FAILURE_SAMPLE_WEIGHT * self.failure_rate;
    }

    /// Records the number of requests that the target reports to have.
    pub fn record_load(&mut self, requests: u32, now: Instant) {
        self.load = Some(LoadSample {
            requests,
            own: self.in_flight,
            sampled_at: now,
        });
    }

    /// Expected cost of a further request, in requests in flight.
    fn cost(&self, now: Instant) -> f64 {
        let requests_of_others = self
            .load
            .filter(|load| now.saturating_duration_since(load.sampled_at) < MAX_LOAD_AGE)
            .map_or(0.0, |load| f64::from(load.requests) - load.own as f64);
        self.in_flight as f64
            + requests_of_others.max(0.0)
            + FAILURE_COST_REQUESTS * self.failure_rate
    }
}

/// A target of the service with what this VM knows of it.
#[derive(Debug, Clone, Copy)]
pub struct TargetCandidate<'a> {
    /// Name in the catalog.
    pub name: &'a TargetName,
    /// Failure domain that it runs in.
    pub domain: &'a DomainName,
    /// Its failures and load; `None` if nothing is known yet.
    pub health: Option<&'a TargetHealth>,
}

/// Sorts targets by their cost, the lowest first; suspended ones are left out unless all are. A target
/// outside `own_domain` costs a little more. `turn` rotates the order in which ties are broken.
pub fn rank_targets<'a>(
    candidates: &[TargetCandidate<'a>],
    own_domain: &DomainName,
    turn: u64,
    now: Instant,
) -> Vec<&'a TargetName> {
    let count = candidates.len() as u64;
    let mut ranked: Vec<_> = candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| {
            let health = candidate.health;
            let suspended = health.is_some_and(|health| health.is_suspended(now));
            let domain_cost = if candidate.domain == own_domain {
                0.0
            } else {
                REMOTE_DOMAIN_COST_REQUESTS
            };
            let cost = health.map_or(0.0, |health| health.cost(now)) + domain_cost;
            let order = (index as u64 + turn) % count.max(1);
            (suspended, cost, order, candidate.name)
        })
        .collect();
    ranked.sort_by(|a, b| {
        (a.0.cmp(&b.0))
            .then(a.1.total_cmp(&b.1))
            .then(a.2.cmp(&b.2))
    });
    let all_suspended = ranked.first().is_some_and(|(suspended, ..)| *suspended);
    ranked
        .into_iter()
        .filter(|(suspended, ..)| *suspended == all_suspended)
        .map(|(.., name)| name)
        .collect()
}
