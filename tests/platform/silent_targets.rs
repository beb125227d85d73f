//! Sound targets that fall silent for a moment, as a stopped process does, while the configuration and
//! the targets' records change: what may run once runs at most once, though callers repeat its id.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::lost_paths::owner_of_placement;
use crate::support::bed::{TestBed, config};
use crate::support::caller::{CallerRequest, CallerResponse, send};
use crate::support::target::TargetMode;

const NODE_COUNT: usize = 4;
const CALLER_COUNT: usize = 10;
const RUN_TIME: Duration = Duration::from_secs(10);
const SETTLE_TIME: Duration = Duration::from_secs(3);
const MAX_ATTEMPTS: usize = 3;
const SHORT_DEADLINE: Duration = Duration::from_millis(600);

/// One request that may run once, and the statuses of all responses to it; `None` for a connection
/// that ended without one.
#[derive(Debug)]
struct RepeatedRequest {
    id: String,
    statuses: Vec<Option<u16>>,
}

fn status_of(response: Option<CallerResponse>) -> Option<u16> {
    response.map(|response| response.status)
}

fn issue(id: &str, deadline: Duration) -> CallerRequest {
    let mut request = CallerRequest::new(id, "POST", "/issue/7");
    request.body = id.as_bytes().to_vec();
    request.deadline = deadline;
    request
}

fn single_stream(bed: &TestBed, id: &str, deadline: Duration) -> CallerRequest {
    let mut request = bed.stream(id, "/single/7");
    request.deadline = deadline;
    request
}

fn send_to(bed: &TestBed, node: usize, request: &CallerRequest) -> Option<u16> {
    let address = bed.node_configs[node].callers;
    status_of(send(address, request))
}

fn set_targets_stopped(bed: &TestBed, stopped: bool) {
    let targets = bed.engines.iter().chain(&bed.replicas);
    targets.for_each(|target| target.set_stopped(stopped));
}

fn draw_request(bed: &TestBed, rng: &mut StdRng, id: &str) -> CallerRequest {
    let deadline = Duration::from_millis(rng.random_range(700..3_000));
    if rng.random_bool(0.4) {
        return single_stream(bed, id, deadline);
    }
    let mut request = issue(id, deadline);
    request.body = vec![b'x'; rng.random_range(10..40_000)];
    request
}

/// Sends requests until `stop` is set, and each again at any node until it is served.
fn run_caller(bed: &TestBed, seed: u64, caller: usize, stop: &AtomicBool) -> Vec<RepeatedRequest> {
    let mut rng = StdRng::seed_from_u64(seed * 100 + caller as u64);
    let mut sent = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("once-{seed}-{caller}-{}", sent.len());
        let request = draw_request(bed, &mut rng, &id);
        let mut statuses = Vec::new();
        while statuses.len() < MAX_ATTEMPTS && !statuses.contains(&Some(200)) {
            statuses.push(send_to(bed, rng.random_range(0..bed.nodes.len()), &request));
            thread::sleep(Duration::from_millis(rng.random_range(0..100)));
        }
        sent.push(RepeatedRequest { id, statuses });
    }
    sent
}

/// Stops targets for a moment, again and again, and changes the configuration and records meanwhile.
fn disturb(bed: &TestBed, seed: u64) {
    let mut rng = StdRng::seed_from_u64(!seed);
    let target_count = bed.engines.len() + bed.replicas.len();
    let until = Instant::now() + RUN_TIME;
    let mut version = 1;
    while Instant::now() < until {
        version += 1;
        let mut changed = config(version);
        let timeout_ms = rng.random_range(600..6_000);
        for route in changed["routes"].as_array_mut().expect("routes are a list") {
            route["timeout_ms"] = json!(timeout_ms);
        }
        changed["limits"]["idle_timeout_ms"] = json!(rng.random_range(1_000..15_000));
        bed.put_config(&changed);
        let share = [0.5, 0.8, 1.0][rng.random_range(0..3)];
        let stopped: Vec<usize> = (0..target_count)
            .filter(|_| rng.random_bool(share))
            .collect();
        let lapsed = rng
            .random_bool(0.3)
            .then(|| rng.random_range(0..target_count));
        for target in &stopped {
            bed.target(*target).set_stopped(true);
        }
        if let Some(target) = lapsed {
            let name = &bed.target(target).id;
            bed.store.put("keyed.servers", name, b"");
        }
        thread::sleep(Duration::from_millis(rng.random_range(600..1_500)));
        for target in &stopped {
            bed.target(*target).set_stopped(false);
        }
        if let Some(target) = lapsed {
            bed.put_target(target, "ready");
        }
        thread::sleep(Duration::from_millis(rng.random_range(200..1_500)));
    }
}

fn send_while_targets_fall_silent(bed: &TestBed, seed: u64) -> Vec<RepeatedRequest> {
    let stop = AtomicBool::new(false);
    let sent = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|caller| {
                let stop = &stop;
                scope.spawn(move || run_caller(bed, seed, caller, stop))
            })
            .collect();
        disturb(bed, seed);
        stop.store(true, Ordering::Relaxed);
        let sent = callers.into_iter().map(|caller| caller.join());
        sent.flat_map(|sent| sent.expect("a caller ends")).collect()
    });
    thread::sleep(SETTLE_TIME);
    sent
}

fn assert_ran_at_most_once(bed: &TestBed, sent: &[RepeatedRequest]) {
    for RepeatedRequest { id, statuses } in sent {
        let runs = bed.runs(id);
        let targets: Vec<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        assert!(
            targets.len() <= 1,
            "{id} ran at {targets:?}, statuses {statuses:?}"
        );
        assert!(
            runs.is_empty() || !statuses.ends_with(&[Some(503)]),
            "{id} ran at {targets:?} and was refused, statuses {statuses:?}"
        );
    }
}

#[test]
fn a_request_that_a_silent_target_runs_later_is_not_run_again_at_another_vm() {
    let bed = TestBed::start(NODE_COUNT);
    let requests = [
        issue("later-issue", SHORT_DEADLINE),
        single_stream(&bed, "later-single", SHORT_DEADLINE),
    ];
    set_targets_stopped(&bed, true);
    for request in &requests {
        send_to(&bed, 0, request);
    }
    set_targets_stopped(&bed, false);

    let statuses: Vec<Vec<Option<u16>>> = requests
        .iter()
        .map(|request| {
            let nodes = 0..NODE_COUNT;
            nodes.map(|node| send_to(&bed, node, request)).collect()
        })
        .collect();

    thread::sleep(SETTLE_TIME);
    for (request, statuses) in requests.iter().zip(statuses) {
        let runs = bed.runs(&request.id).len();
        assert_eq!(runs, 1, "{} after statuses {statuses:?}", request.id);
        // A refusal would promise that the request has not run.
        assert_eq!(statuses, [Some(502); NODE_COUNT], "{}", request.id);
    }
}

#[test]
fn requests_whose_ids_come_again_run_once_while_targets_fall_silent() {
    for seed in [1, 2] {
        let bed = TestBed::start(NODE_COUNT);

        let sent = send_while_targets_fall_silent(&bed, seed);

        assert_ran_at_most_once(&bed, &sent);
        let failed = |request: &&RepeatedRequest| request.statuses[0] != Some(200);
        assert!(sent.iter().filter(failed).count() > 0, "none came again");
    }
}

#[test]
fn a_request_whose_id_comes_again_runs_once_though_the_first_keeper_is_lost_between() {
    let mut bed = TestBed::start(NODE_COUNT);
    // The owner of placement ranks first, and so it keeps the claims.
    let owner = owner_of_placement(&bed);
    let others: Vec<usize> = (0..NODE_COUNT).filter(|node| *node != owner).collect();
    let requests: Vec<CallerRequest> = (0..12)
        .map(|number| issue(&format!("lost-{number}"), SHORT_DEADLINE))
        .collect();
    set_targets_stopped(&bed, true);
    thread::scope(|scope| {
        for request in &requests {
            let (bed, node) = (&bed, others[0]);
            scope.spawn(move || send_to(bed, node, request));
        }
    });
    set_targets_stopped(&bed, false);
    bed.nodes[owner].kill();

    let sent: Vec<RepeatedRequest> = requests
        .iter()
        .map(|request| RepeatedRequest {
            id: request.id.clone(),
            statuses: others
                .iter()
                .rev()
                .map(|node| send_to(&bed, *node, request))
                .collect(),
        })
        .collect();

    thread::sleep(SETTLE_TIME);
    assert_ran_at_most_once(&bed, &sent);
}

#[test]
fn a_refused_request_runs_when_its_id_comes_again_at_any_vm() {
    let bed = TestBed::start(NODE_COUNT);
    let requests: Vec<CallerRequest> = (0..NODE_COUNT)
        .map(|number| issue(&format!("again-{number}"), Duration::from_secs(2)))
        .collect();
    bed.set_replicas(TargetMode::Full);
    let refused: Vec<Option<u16>> = requests
        .iter()
        .map(|request| send_to(&bed, 0, request))
        .collect();
    bed.set_replicas(TargetMode::Healthy);

    let served: Vec<Option<u16>> = requests
        .iter()
        .enumerate()
        .map(|(node, request)| send_to(&bed, node, request))
        .collect();

    assert_eq!(refused, [Some(503); NODE_COUNT]);
    assert_eq!(served, [Some(200); NODE_COUNT]);
}
