//! Rate limits that targets name, change and end during the soak, and the check that the nodes keep
//! to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::faults::{FaultPace, NodeFault};
use crate::invariants::SentRequest;
use crate::support::bed::TestBed;

const STABLE_TIME: Duration = Duration::from_secs(3);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
const DENSE_PAUSE_MS: std::ops::Range<u64> = 500..6_000;
const SPARSE_PAUSE_MS: std::ops::Range<u64> = 6_000..12_000;
const RATES: [f64; 5] = [0.5, 1.9, 2.3, 5.0, 12.0];

/// A rate that a target named, and for how long.
#[derive(Debug, Clone)]
struct NamedLimit {
    target: String,
    requests_per_s: f64,
    from: Instant,
    until: Option<Instant>,
}

/// Lets targets name rate limits, drawn from a seed of its own.
pub struct LimitInjector {
    rng: StdRng,
    pace: FaultPace,
    next_at: Instant,
    limits: Vec<NamedLimit>,
    event_log: Vec<String>,
    started_at: Instant,
}

impl LimitInjector {
    pub fn new(seed: u64, pace: FaultPace) -> Self {
        let now = Instant::now();
        Self {
            rng: StdRng::seed_from_u64(seed ^ 0x11a1),
            pace,
            next_at: now,
            limits: Vec::new(),
            event_log: Vec::new(),
            started_at: now,
        }
    }

    /// Log of the changes, each with the time since the start.
    pub fn event_log(&self) -> &[String] {
        &self.event_log
    }

    /// Changes the limit of one or all targets, if the next change is due.
    pub fn step(&mut self, bed: &TestBed) {
        let now = Instant::now();
        if now < self.next_at {
            return;
        }
        let pause_ms = match self.pace {
            FaultPace::Dense => DENSE_PAUSE_MS,
            FaultPace::Sparse => SPARSE_PAUSE_MS,
        };
        self.next_at = now + Duration::from_millis(self.rng.random_range(pause_ms));
        let count = bed.engines.len() + bed.replicas.len();
        let rate = RATES[self.rng.random_range(0..RATES.len())];
        let rate = self.rng.random_bool(0.75).then_some(rate);
        let targets = if self.rng.random_bool(0.4) {
            0..count
        } else {
            let target = self.rng.random_range(0..count);
            target..target + 1
        };
        let elapsed_ms = self.started_at.elapsed().as_millis();
        self.event_log.push(format!(
            "{elapsed_ms} ms: targets {targets:?} name {rate:?}"
        ));
        for target in targets {
            self.name_limit(bed, target, rate);
        }
    }

    /// Ends all limits.
    pub fn end_all(&mut self, bed: &TestBed) {
        for target in 0..bed.engines.len() + bed.replicas.len() {
            self.name_limit(bed, target, None);
        }
    }

    fn name_limit(&mut self, bed: &TestBed, target: usize, rate: Option<f64>) {
        let (target, now) = (bed.target(target), Instant::now());
        target.name_limit(rate);
        let open = self.limits.iter_mut();
        for limit in open.filter(|limit| limit.target == target.id && limit.until.is_none()) {
            limit.until = Some(now);
        }
        if let Some(requests_per_s) = rate {
            self.limits.push(NamedLimit {
                target: target.id.clone(),
                requests_per_s,
                from: now,
                until: None,
            });
        }
    }

    /// Checks that in 4 s no target got more than 1.5 times what its limit allows, and 5 requests.
    /// A window begins 3 s after the limit was named or changed; VMs with a fault are left out from
    /// 3 s before it.
    pub fn check(
        &self,
        bed: &TestBed,
        sent: &[SentRequest],
        node_faults: &[NodeFault],
    ) -> Vec<String> {
        let node_of: BTreeMap<&str, SocketAddr> = sent
            .iter()
            .map(|request| (request.caller_request.id.as_str(), request.node))
            .collect();
        let arrivals = arrivals_by_target(bed, &node_of);
        let mut violations = Vec::new();
        for limit in &self.limits {
            let Some(arrivals) = arrivals.get(&limit.target) else {
                continue;
            };
            let until = limit.until.unwrap_or_else(Instant::now);
            let allowed =
                LIMIT_FACTOR * limit.requests_per_s * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
            let bound = arrivals
                .iter()
                .filter(|(at, _)| *at >= limit.from + STABLE_TIME && *at + LIMIT_WINDOW <= until);
            for (from, _) in bound {
                let window = *from..*from + LIMIT_WINDOW;
                let is_excused = |node: &SocketAddr| {
                    let mut faults = node_faults.iter();
                    faults.any(|fault| {
                        bed.node_configs[fault.node].callers == *node
                            && fault.overlaps(window.start - STABLE_TIME, window.end)
                    })
                };
                let counted = arrivals
                    .iter()
                    .filter(|(at, node)| window.contains(at) && !is_excused(node))
                    .count();
                if counted as f64 > allowed {
                    let elapsed_ms = (*from - self.started_at).as_millis();
                    violations.push(format!(
                        "{elapsed_ms} ms: {} named {} requests a second and got {counted} in {LIMIT_WINDOW:?}, {allowed} are allowed",
                        limit.target, limit.requests_per_s
                    ));
                    break;
                }
            }
        }
        violations
    }
}

/// When requests of callers arrived at each target, and from which node.
fn arrivals_by_target(
    bed: &TestBed,
    node_of: &BTreeMap<&str, SocketAddr>,
) -> BTreeMap<String, Vec<(Instant, SocketAddr)>> {
    let ledger = bed.ledger();
    let runs = ledger
        .runs
        .iter()
        .map(|run| (&run.target, &run.id, run.started_at));
    let refusals = ledger
        .refusals
        .iter()
        .map(|(target, id, at)| (target, id, *at));
    let mut arrivals: BTreeMap<String, Vec<(Instant, SocketAddr)>> = BTreeMap::new();
    for (target, id, at) in runs.chain(refusals) {
        if let Some(node) = node_of.get(id.as_str()) {
            arrivals
                .entry(target.clone())
                .or_default()
                .push((at, *node));
        }
    }
    arrivals
}
