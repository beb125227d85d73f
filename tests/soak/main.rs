//! A seeded soak: real nodes and stand-ins under overlapping faults, with promises
//! checked from what callers and targets saw.

#[path = "../support/mod.rs"]
mod support;

mod faults;
mod promises;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use faults::FaultPlayer;
use promises::{SentRequest, check_all};
use support::bed::TestBed;
use support::caller::{resolve, send};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_LENGTH: Duration = Duration::from_secs(8);
const DEFAULT_NODES: usize = 4;
const CALLERS: usize = 8;
const CALM: Duration = Duration::from_secs(5); // leases end and nodes come back within this
const KEPT_SEEDS: &str = include_str!("seeds.txt");

/// What the command line asks for.
struct SoakPlan {
    seeds: Vec<u64>,
    length: Duration,
    nodes: usize,
}

fn main() {
    let plan = read_plan();
    for seed in &plan.seeds {
        run_seed(*seed, plan.length, plan.nodes);
    }
    println!("{} passed, 0 failed", plan.seeds.len());
}

fn read_plan() -> SoakPlan {
    let args: Vec<String> = std::env::args().collect();
    let value = |name: &str| -> Option<u64> {
        let at = args.iter().position(|arg| arg == name)?;
        args.get(at + 1)?.parse().ok()
    };
    let kept = KEPT_SEEDS
        .lines()
        .filter_map(|line| line.split('#').next()?.trim().parse().ok());
    let seeds = match value("--seed") {
        Some(seed) => vec![seed],
        None => std::iter::once(DEFAULT_SEED).chain(kept).collect(),
    };
    SoakPlan {
        seeds,
        length: value("--for").map_or(DEFAULT_LENGTH, Duration::from_secs),
        nodes: value("--nodes").map_or(DEFAULT_NODES, |count| count as usize),
    }
}

fn run_seed(seed: u64, length: Duration, nodes: usize) {
    let mut bed = TestBed::start(nodes);
    let directories: Vec<_> = bed.places.iter().map(|place| place.directory).collect();
    let sent: Arc<Mutex<Vec<SentRequest>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (sent, stop) = (sent.clone(), stop.clone());
            let directories = directories.clone();
            thread::spawn(move || call_until(seed, caller, &directories, &sent, &stop))
        })
        .collect();
    let mut player = FaultPlayer::new(seed, &bed);
    let begun = Instant::now();
    while begun.elapsed() < length {
        player.step(&mut bed);
    }
    player.end_all(&mut bed);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller's thread ends");
    }
    thread::sleep(CALM);
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    let broken = check_all(&bed, &sent);
    if broken.is_empty() {
        let served = sent.iter().filter(|request| request.is_served()).count();
        println!("seed {seed}: {} requests, {served} served", sent.len());
        return;
    }
    // Panicking keeps the nodes' logs.
    panic!(
        "seed {seed} broke {} promises:\n{}\nfaults:\n{}",
        broken.len(),
        broken.join("\n"),
        player.played().join("\n")
    );
}

/// Sends requests of all kinds until told to stop.
fn call_until(
    seed: u64,
    caller: usize,
    directories: &[std::net::SocketAddr],
    sent: &Mutex<Vec<SentRequest>>,
    stop: &AtomicBool,
) {
    let mut rng = StdRng::seed_from_u64(seed * 1_000 + caller as u64);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let directory = directories[rng.random_range(0..directories.len())];
        let Some(addresses) = resolve(directory).filter(|list| !list.is_empty()) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        for _ in 0..rng.random_range(1..6) {
            number += 1;
            let mut request = SentRequest::draw(&mut rng, &format!("{seed}-{caller}-{number}"));
            let address = addresses[rng.random_range(0..addresses.len())];
            request.answer = send(address, &request.send);
            sent.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(request);
            thread::sleep(Duration::from_millis(rng.random_range(0..30)));
        }
    }
}
