//! Requests that crash targets and come again during the soak, and the check that they stop reaching
//! targets.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::faults::{FaultPace, NodeFault};
use crate::support::bed::TestBed;
use crate::support::caller::{CallerRequest, send};

const ID_PREFIX: &str = "crash-";
const STABLE_TIME: Duration = Duration::from_secs(3);
const CRASHES_UNTIL_BOUND: usize = 3;
const MAX_LATER_SENDS: usize = 3;
const CRASH_DELAYS_MS: std::ops::Range<u64> = 20..300;
const DENSE_PAUSE_MS: std::ops::Range<u64> = 200..1_000;
const SPARSE_PAUSE_MS: std::ops::Range<u64> = 500..1_500;
const PATHS: [(&str, &str); 3] = [
    ("GET", "/lookup/deadly"),
    ("POST", "/issue/deadly"),
    ("POST", "/resumable/deadly"),
];

/// Sends one request that crashes targets again and again to all nodes, drawn from a seed of its own.
pub struct CrashInjector {
    rng: StdRng,
    pace: FaultPace,
    method: &'static str,
    path: &'static str,
    crash_delay: Duration,
    next_at: Instant,
    /// The node that each request was sent to.
    nodes: Vec<usize>,
}

impl CrashInjector {
    pub fn new(seed: u64, pace: FaultPace, bed: &TestBed) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0xdead);
        let (method, path) = PATHS[rng.random_range(0..PATHS.len())];
        let crash_delay = Duration::from_millis(rng.random_range(CRASH_DELAYS_MS));
        for target in bed.engines.iter().chain(&bed.replicas) {
            target.crash_on_path(path, crash_delay);
        }
        Self {
            rng,
            pace,
            method,
            path,
            crash_delay,
            next_at: Instant::now(),
            nodes: Vec::new(),
        }
    }

    /// What is sent, for the report of a violation.
    pub fn description(&self) -> String {
        format!(
            "{} {}, crashes after {:?}, sent {} times",
            self.method,
            self.path,
            self.crash_delay,
            self.nodes.len()
        )
    }

    /// Sends the request to a node, if its next return is due.
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
        let id = format!("{ID_PREFIX}{}", self.nodes.len());
        let mut request = CallerRequest::new(&id, self.method, self.path);
        if self.method == "POST" {
            request.body = self.path.as_bytes().to_vec();
            request.tokens = Some("1000,300".to_owned());
        }
        let node = self.rng.random_range(0..bed.node_configs.len());
        self.nodes.push(node);
        let callers = bed.node_configs[node].callers;
        thread::spawn(move || send(callers, &request));
    }

    /// Checks that the request reached targets three times at most, from VMs without a fault in the
    /// 3 s before, later than 3 s after it crashed the third.
    pub fn check(&self, bed: &TestBed, node_faults: &[NodeFault]) -> Vec<String> {
        let ledger = bed.ledger();
        let runs = ledger.runs.iter().filter(|run| run.path == self.path);
        let mut sends: Vec<(Instant, Option<usize>)> = runs
            .map(|run| (run.started_at, self.node_of(&run.id)))
            .collect();
        sends.sort();
        let Some((third, _)) = sends.get(CRASHES_UNTIL_BOUND - 1) else {
            return Vec::new();
        };
        let bound_at = *third + self.crash_delay + STABLE_TIME;
        let is_sound = |at: Instant, node: Option<usize>| {
            let mut faults = node_faults.iter();
            !faults.any(|fault| Some(fault.node) == node && fault.overlaps(at - STABLE_TIME, at))
        };
        let later = sends
            .iter()
            .filter(|(at, node)| *at > bound_at && is_sound(*at, *node))
            .count();
        if later <= MAX_LATER_SENDS {
            return Vec::new();
        }
        vec![format!(
            "{later} of {} sends came later than 3 s after the third crash",
            sends.len()
        )]
    }

    fn node_of(&self, id: &str) -> Option<usize> {
        let number: usize = id.strip_prefix(ID_PREFIX)?.parse().ok()?;
        self.nodes.get(number).copied()
    }
}
