//! Callers that keep their connections until the process is gone, and send some bodies in two parts. A
//! node that is told to stop answers each request that it has read.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::faults::{NodeFault, NodeFaultKind};
use crate::support::bed::TestBed;
use crate::support::caller::{CallerRequest, KeptConnection, KeptOutcome};

const CALLER_COUNT: usize = 4;
/// A request that finds its connection closed this soon crossed the end of the process.
const CROSSING_TIME: Duration = Duration::from_millis(300);
const MAX_BODY_PAUSE_MS: u64 = 1_500;
/// Longer than a node's stop lasts.
const LONG_BODY_PAUSE: Duration = Duration::from_millis(8_500);
const LONG_PAUSE_SHARE: f64 = 0.12;
const MAX_IDLE_MS: u64 = 700;

/// One request on a kept connection that ended without an answer.
pub struct ClosedRequest {
    id: String,
    node: usize,
    started_at: Instant,
    closed_at: Instant,
}

/// Starts the callers; each returns its unanswered requests once `stop` is set.
pub fn start_callers(
    seed: u64,
    bed: &TestBed,
    stop: &'static AtomicBool,
) -> Vec<JoinHandle<Vec<ClosedRequest>>> {
    let addresses: Vec<SocketAddr> = bed.node_configs.iter().map(|node| node.callers).collect();
    let start = |caller: usize| {
        let addresses = addresses.clone();
        thread::spawn(move || run_caller(seed, caller, &addresses, stop))
    };
    (0..CALLER_COUNT).map(start).collect()
}

fn run_caller(
    seed: u64,
    caller: usize,
    addresses: &[SocketAddr],
    stop: &AtomicBool,
) -> Vec<ClosedRequest> {
    let mut rng = StdRng::seed_from_u64(!seed ^ ((caller as u64) << 32));
    let mut closed = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let node = rng.random_range(0..addresses.len());
        let Some(mut connection) = KeptConnection::open(addresses[node]) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let (request, pause) = draw_request(&mut rng, &format!("kept-{caller}-{number}"));
            let started_at = Instant::now();
            let outcome = connection.exchange(&request, pause);
            let KeptOutcome::Answered(response) = outcome else {
                closed.push(ClosedRequest {
                    id: request.id,
                    node,
                    started_at,
                    closed_at: Instant::now(),
                });
                break;
            };
            if response.header("connection") == Some("close") {
                break;
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..MAX_IDLE_MS)));
        }
    }
    closed
}

fn draw_request(rng: &mut StdRng, id: &str) -> (CallerRequest, Duration) {
    let mut request = CallerRequest::new(id, "GET", "/lookup/x");
    if rng.random_bool(0.5) {
        return (request, Duration::ZERO);
    }
    (request.method, request.path) = ("POST", "/issue/x".to_owned());
    request.body = format!("body of {id}").into_bytes();
    if rng.random_bool(LONG_PAUSE_SHARE) {
        request.deadline = LONG_BODY_PAUSE * 2;
        return (request, LONG_BODY_PAUSE);
    }
    let pause = Duration::from_millis(rng.random_range(0..MAX_BODY_PAUSE_MS));
    (request, pause)
}

/// Describes the requests that a node left without an answer while it was only told to stop.
pub fn check(bed: &TestBed, closed: &[ClosedRequest], faults: &[NodeFault]) -> Vec<String> {
    let ran: BTreeSet<String> = bed.ledger().runs.iter().map(|run| run.id.clone()).collect();
    let is_excused = |request: &ClosedRequest| {
        let had = |kind: NodeFaultKind| {
            faults.iter().any(|fault| {
                fault.node == request.node
                    && fault.kind == kind
                    && fault.overlaps(request.started_at, request.closed_at)
            })
        };
        let closed_after = request
            .closed_at
            .saturating_duration_since(request.started_at);
        let crossed = closed_after < CROSSING_TIME && !ran.contains(&request.id);
        had(NodeFaultKind::Killed) || had(NodeFaultKind::Paused) || crossed
    };
    closed
        .iter()
        .filter(|request| !is_excused(request))
        .map(|request| {
            let lasted = request
                .closed_at
                .saturating_duration_since(request.started_at);
            format!(
                "{} at node {} has no answer, closed after {lasted:?}",
                request.id, request.node
            )
        })
        .collect()
}
