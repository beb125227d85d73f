//! Seeded soak test: real nodes with fake targets and a fake store under overlapping faults.
//! Invariants are checked on what callers and targets observed.

#[path = "../support/mod.rs"]
mod support;

mod crashing_requests;
mod faults;
mod invariants;
mod kept_connections;
mod rate_limits;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crashing_requests::CrashInjector;
use faults::{FaultInjector, FaultPace};
use invariants::{SentRequest, check_invariants};
use kept_connections::ClosedRequest;
use rate_limits::LimitInjector;
use support::bed::TestBed;
use support::caller::{resolve, send};

const DEFAULT_SEED: u64 = 1;
const DENSE_DURATION: Duration = Duration::from_secs(8);
const SPARSE_DURATION: Duration = Duration::from_secs(24);
const DEFAULT_NODE_COUNT: usize = 4;
const CALLER_COUNT: usize = 8;
const SETTLE_TIME: Duration = Duration::from_secs(5); // leases expire and nodes recover by then
const REGRESSION_SEEDS: &str = include_str!("seeds.txt");

/// One run of the soak.
struct SoakRun {
    seed: u64,
    pace: FaultPace,
    /// Whether one request crashes targets and comes again.
    has_crashing_request: bool,
    duration: Duration,
    nodes: usize,
}

fn main() {
    let runs = parse_runs();
    for run in &runs {
        run_seed(run);
    }
    println!("{} passed, 0 failed", runs.len());
}

/// The runs that the command line asks for: one seed, densely or with `--sparse` sparsely; without
/// a seed the default one both ways, and the regression seeds.
fn parse_runs() -> Vec<SoakRun> {
    let args: Vec<String> = std::env::args().collect();
    let option = |name: &str| -> Option<u64> {
        let position = args.iter().position(|arg| arg == name)?;
        args.get(position + 1)?.parse().ok()
    };
    let pace = if args.iter().any(|arg| arg == "--sparse") {
        FaultPace::Sparse
    } else {
        FaultPace::Dense
    };
    let regression_seeds = REGRESSION_SEEDS
        .lines()
        .filter_map(|line| line.split('#').next()?.trim().parse().ok());
    let seeds: Vec<(u64, FaultPace)> = match option("--seed") {
        Some(seed) => vec![(seed, pace)],
        None => [FaultPace::Dense, FaultPace::Sparse]
            .map(|pace| (DEFAULT_SEED, pace))
            .into_iter()
            .chain(regression_seeds.map(|seed| (seed, FaultPace::Dense)))
            .collect(),
    };
    let run = |(seed, pace): (u64, FaultPace)| SoakRun {
        seed,
        pace,
        has_crashing_request: pace == FaultPace::Sparse
            || args.iter().any(|arg| arg == "--crashing-request"),
        duration: option("--for").map_or(
            match pace {
                FaultPace::Dense => DENSE_DURATION,
                FaultPace::Sparse => SPARSE_DURATION,
            },
            Duration::from_secs,
        ),
        nodes: option("--nodes").map_or(DEFAULT_NODE_COUNT, |count| count as usize),
    };
    seeds.into_iter().map(run).collect()
}

fn run_seed(run: &SoakRun) {
    let seed = run.seed;
    let mut bed = TestBed::start(run.nodes);
    let directories: Vec<_> = bed
        .node_configs
        .iter()
        .map(|config| config.directory)
        .collect();
    let sent: Arc<Mutex<Vec<SentRequest>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let (sent, stop) = (sent.clone(), stop.clone());
            let directories = directories.clone();
            thread::spawn(move || run_caller(seed, caller, &directories, &sent, &stop))
        })
        .collect();
    // Lives as long as the threads that read it.
    let stop_kept: &'static AtomicBool = Box::leak(Box::default());
    let kept_callers = kept_connections::start_callers(seed, &bed, stop_kept);
    let mut injector = FaultInjector::new(seed, run.pace, &bed);
    let mut limits = LimitInjector::new(seed, run.pace);
    let mut crashes = run
        .has_crashing_request
        .then(|| CrashInjector::new(seed, run.pace, &bed));
    let started_at = Instant::now();
    while started_at.elapsed() < run.duration {
        injector.step(&mut bed, |bed| {
            limits.step(bed);
            if let Some(crashes) = &mut crashes {
                crashes.step(bed);
            }
        });
    }
    limits.end_all(&bed);
    injector.end_all_faults(&mut bed);
    stop.store(true, Ordering::Relaxed);
    stop_kept.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("the caller thread does not panic");
    }
    let unanswered: Vec<ClosedRequest> = kept_callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("the caller thread does not panic"))
        .collect();
    thread::sleep(SETTLE_TIME);
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    let mut violations = check_invariants(&bed, &sent);
    violations.extend(kept_connections::check(
        &bed,
        &unanswered,
        injector.node_faults(),
    ));
    violations.extend(limits.check(&bed, &sent, injector.node_faults()));
    if let Some(crashes) = &crashes {
        violations.extend(crashes.check(&bed, injector.node_faults()));
    }
    if violations.is_empty() {
        let served = sent.iter().filter(|request| request.is_served()).count();
        println!(
            "seed {seed}, {:?}: {} requests, {served} served",
            run.pace,
            sent.len()
        );
        return;
    }
    // A panic keeps the nodes' working directories, with their logs.
    panic!(
        "seed {seed}, {:?}, violated {} invariants:\n{}\nfaults:\n{}\nlimits:\n{}\ncrashing request: {:?}",
        run.pace,
        violations.len(),
        violations.join("\n"),
        injector.event_log().join("\n"),
        limits.event_log().join("\n"),
        crashes.map(|crashes| crashes.description())
    );
}

/// Sends requests of random kinds until `stop` is set.
fn run_caller(
    seed: u64,
    caller: usize,
    directories: &[std::net::SocketAddr],
    sent: &Mutex<Vec<SentRequest>>,
    stop: &AtomicBool,
) {
    let mut rng = StdRng::seed_from_u64(seed * 1_000 + caller as u64);
    let mut request_number = 0;
    while !stop.load(Ordering::Relaxed) {
        let directory = directories[rng.random_range(0..directories.len())];
        let Some(addresses) = resolve(directory).filter(|list| !list.is_empty()) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        for _ in 0..rng.random_range(1..6) {
            request_number += 1;
            let mut request =
                SentRequest::draw(&mut rng, &format!("{seed}-{caller}-{request_number}"));
            request.node = addresses[rng.random_range(0..addresses.len())];
            request.response = send(request.node, &request.caller_request);
            sent.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(request);
            thread::sleep(Duration::from_millis(rng.random_range(0..30)));
        }
    }
}
