//! Faults that the soak injects, drawn from a seed, in series and overlapping.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::bed::{TestBed, config};
use crate::support::proxy::ProxyFault;
use crate::support::store::StoreMood;
use crate::support::target::TargetMood;

const STEP: std::ops::Range<u64> = 50..500;
const STOPS_WITHIN: Duration = Duration::from_secs(8); // the grace of the nodes' settings
const LASTS: std::ops::Range<u64> = 100..2_000;

/// How a fault ends.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FaultEnd {
    Start(usize),
    Resume(usize),
    StoreWell,
    StorePath(usize),
    TargetWell(usize),
    TargetPath(usize),
    TargetReady(usize),
    DomainBack(usize),
}

/// Injects faults and ends them.
pub struct FaultPlayer {
    rng: StdRng,
    begun: Instant,
    ends: Vec<(Instant, FaultEnd)>,
    version: u64,
    targets: usize,
    played: Vec<String>,
    stopping: BTreeSet<usize>,
}

impl FaultPlayer {
    pub fn new(seed: u64, bed: &TestBed) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            begun: Instant::now(),
            ends: Vec::new(),
            version: 1,
            targets: bed.engines.len() + bed.replicas.len(),
            played: Vec::new(),
            stopping: BTreeSet::new(),
        }
    }

    /// What was injected so far.
    pub fn played(&self) -> &[String] {
        &self.played
    }

    /// Injects one fault, waits a little, and ends those whose time is over.
    pub fn step(&mut self, bed: &mut TestBed) {
        self.inject(bed);
        let pause = self.rng.random_range(STEP);
        thread::sleep(Duration::from_millis(pause));
        let now = Instant::now();
        let (due, left) = self.ends.iter().partition(|(at, _)| *at <= now);
        self.ends = left;
        let due: Vec<(Instant, FaultEnd)> = due;
        for (_, end) in due {
            self.end(bed, end);
        }
    }

    /// Ends all faults.
    pub fn end_all(&mut self, bed: &mut TestBed) {
        for (_, end) in std::mem::take(&mut self.ends) {
            self.end(bed, end);
        }
        for index in 0..bed.nodes.len() {
            bed.nodes[index].signal("CONT");
            let stops = Instant::now();
            // One that is still stopping ends by itself.
            while self.stopping.contains(&index)
                && !bed.nodes[index].has_ended()
                && stops.elapsed() < STOPS_WITHIN
            {
                thread::sleep(Duration::from_millis(20));
            }
            if bed.nodes[index].has_ended() {
                self.restart(bed, index);
            }
        }
    }

    fn note(&mut self, what: &str) {
        let at = self.begun.elapsed().as_millis();
        self.played.push(format!("{at} ms: {what}"));
    }

    fn later(&mut self, end: FaultEnd) {
        let lasts = Duration::from_millis(self.rng.random_range(LASTS));
        self.ends.push((Instant::now() + lasts, end));
    }

    fn inject(&mut self, bed: &mut TestBed) {
        let node = self.rng.random_range(0..bed.nodes.len());
        let target = self.rng.random_range(0..self.targets);
        match self.rng.random_range(0..13) {
            0 | 1 => {
                self.note(&format!("node {node} is killed"));
                bed.nodes[node].kill();
                self.later(FaultEnd::Start(node));
            }
            2 => {
                self.note(&format!("node {node} is told to stop"));
                bed.nodes[node].signal("TERM");
                self.stopping.insert(node);
                self.later(FaultEnd::Start(node));
            }
            3 => {
                self.note(&format!("node {node} is paused"));
                bed.nodes[node].signal("STOP");
                self.later(FaultEnd::Resume(node));
            }
            4 => {
                let moods = [
                    StoreMood::Busy,
                    StoreMood::Silent,
                    StoreMood::Slow(Duration::from_millis(300)),
                    StoreMood::LosesWrites,
                ];
                let mood = moods[self.rng.random_range(0..moods.len())];
                self.note(&format!("the store is {mood:?}"));
                bed.store.set_mood(mood);
                self.later(FaultEnd::StoreWell);
            }
            5 => {
                let fault = self.draw_path();
                self.note(&format!("node {node} and the store: {fault:?}"));
                bed.store_proxies[node].set(fault);
                self.later(FaultEnd::StorePath(node));
            }
            6 | 7 => {
                let moods = [
                    TargetMood::ResetsAfterRun,
                    TargetMood::Hangs,
                    TargetMood::Full,
                    TargetMood::Truncates,
                    TargetMood::SaysMore,
                    TargetMood::Unframed,
                    TargetMood::UnframedReset,
                    TargetMood::Fails,
                ];
                let mood = moods[self.rng.random_range(0..moods.len())];
                self.note(&format!("target {target} is {mood:?}"));
                bed.target(target).set_mood(mood);
                self.later(FaultEnd::TargetWell(target));
            }
            8 => {
                let fault = self.draw_path();
                self.note(&format!("nodes and target {target}: {fault:?}"));
                bed.target_proxies[target].set(fault);
                self.later(FaultEnd::TargetPath(target));
            }
            9 => {
                self.version += self.rng.random_range(1..5);
                self.note(&format!("configuration {}", self.version));
                bed.put_config(&config(self.version));
                if self.rng.random_bool(0.3) {
                    bed.store.compact("keyed.op");
                }
            }
            10 => {
                self.note(&format!("target {target} drains"));
                bed.put_target(target, "draining");
                self.later(FaultEnd::TargetReady(target));
            }
            11 => {
                let domain = self.rng.random_range(0..3);
                self.note(&format!("domain {domain} is out of service"));
                let key = format!("evacuate/domain-{domain}");
                bed.store.put("keyed.op", &key, b"{}");
                self.later(FaultEnd::DomainBack(domain));
            }
            _ => {
                self.note("all nodes are killed");
                for node in 0..bed.nodes.len() {
                    bed.nodes[node].kill();
                    self.later(FaultEnd::Start(node));
                }
            }
        }
    }

    fn draw_path(&mut self) -> ProxyFault {
        let faults = [
            ProxyFault::Delay(Duration::from_millis(40)),
            ProxyFault::Reset,
            ProxyFault::Silence,
            ProxyFault::OneWay,
        ];
        faults[self.rng.random_range(0..faults.len())]
    }

    fn end(&mut self, bed: &mut TestBed, end: FaultEnd) {
        match end {
            FaultEnd::Start(node) => self.restart(bed, node),
            FaultEnd::Resume(node) => bed.nodes[node].signal("CONT"),
            FaultEnd::StoreWell => bed.store.set_mood(StoreMood::Well),
            FaultEnd::StorePath(node) => bed.store_proxies[node].set(ProxyFault::None),
            FaultEnd::TargetWell(target) => bed.target(target).set_mood(TargetMood::Well),
            FaultEnd::TargetPath(target) => bed.target_proxies[target].set(ProxyFault::None),
            FaultEnd::TargetReady(target) => bed.put_target(target, "ready"),
            FaultEnd::DomainBack(domain) => {
                let key = format!("evacuate/domain-{domain}");
                bed.store.put("keyed.op", &key, b"");
            }
        }
    }

    /// Starts a node again; one that is still stopping gets its time first.
    fn restart(&mut self, bed: &mut TestBed, node: usize) {
        if !bed.nodes[node].has_ended() {
            self.ends.push((
                Instant::now() + Duration::from_millis(300),
                FaultEnd::Start(node),
            ));
            return;
        }
        self.note(&format!("node {node} starts"));
        self.stopping.remove(&node);
        bed.nodes[node].restart();
    }
}
