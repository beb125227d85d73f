//! Bans of requests that crash targets, over simulated days.

use std::time::{Duration, Instant};

use plantainnotch::ids::{RequestDigest, TargetName};
use plantainnotch::policy::request_guard::{RequestBan, RequestGuard};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(10);
const DAY: Duration = Duration::from_secs(90);
const RUN_TIME: Duration = Duration::from_millis(30);
const CRASH_DELAY: Duration = Duration::from_millis(60);
const RESTART_TIME: Duration = Duration::from_secs(3);
const CRASHING_INTERVAL: Duration = Duration::from_millis(800);
const STABLE_TIME: Duration = Duration::from_secs(3);
const MAX_LATER_SENDS: usize = 3;
const SEEDS: u64 = 40;

fn request(name: &str) -> RequestDigest {
    RequestDigest::of("GET", name, Some("team-a"), &[], b"")
}

fn target(name: &str) -> TargetName {
    TargetName::new(name)
}

struct SimulatedRun {
    name: String,
    target: usize,
    ends_at: Duration,
}

/// A day of three targets, on which one request crashes each target that runs it, and many others
/// are for one hot subject.
struct SimulatedDay {
    rng: StdRng,
    guard: RequestGuard,
    start: Instant,
    now: Duration,
    up_at: [Duration; 3],
    lives: [u32; 3],
    running: Vec<SimulatedRun>,
    crashes: Vec<Duration>,
    sends: Vec<Duration>,
    refused_sound: usize,
    bans: Vec<RequestBan>,
}

impl SimulatedDay {
    fn play(seed: u64) -> Self {
        let mut day = Self {
            rng: StdRng::seed_from_u64(seed),
            guard: RequestGuard::default(),
            start: Instant::now(),
            now: Duration::ZERO,
            up_at: [Duration::ZERO; 3],
            lives: [0; 3],
            running: Vec::new(),
            crashes: Vec::new(),
            sends: Vec::new(),
            refused_sound: 0,
            bans: Vec::new(),
        };
        let mut next_crashing = Duration::from_secs(3);
        let mut number = 0;
        while day.now < DAY {
            if day.now >= next_crashing {
                next_crashing = day.now + CRASHING_INTERVAL;
                day.send("deadly");
            }
            if day.rng.random_bool(0.3) {
                number += 1;
                let name = if day.rng.random_bool(0.5) {
                    "hot".to_owned()
                } else {
                    format!("own-{number}")
                };
                day.send(&name);
            }
            day.end_runs();
            let findings = day.guard.settle(day.instant());
            day.bans.extend(findings.bans);
            day.now += STEP;
        }
        day
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn name(&self, index: usize) -> TargetName {
        target(&format!("i-{index}-{}", self.lives[index]))
    }

    fn send(&mut self, name: &str) {
        if self
            .guard
            .banned_for(request(name), self.instant())
            .is_some()
        {
            self.refused_sound += usize::from(name != "deadly");
            return;
        }
        let up: Vec<usize> = (0..3)
            .filter(|index| self.up_at[*index] <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let run_time = if name == "deadly" {
            self.sends.push(self.now);
            CRASH_DELAY
        } else {
            RUN_TIME
        };
        let target = up[self.rng.random_range(0..up.len())];
        self.running.push(SimulatedRun {
            name: name.to_owned(),
            target,
            ends_at: self.now + run_time,
        });
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let due: Vec<SimulatedRun> = self
            .running
            .extract_if(.., |run| run.ends_at <= now)
            .collect();
        for run in due {
            let (name, at) = (self.name(run.target), self.instant());
            if run.name == "deadly" {
                self.guard.record_broken(request("deadly"), &name, at);
                self.crash(run.target);
            } else {
                self.guard.record_answered(request(&run.name), &name, at);
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let (name, at) = (self.name(index), self.instant());
        let lost: Vec<SimulatedRun> = self
            .running
            .extract_if(.., |run| run.target == index)
            .collect();
        for run in lost {
            self.guard.record_broken(request(&run.name), &name, at);
        }
        self.lives[index] += 1;
        self.up_at[index] = self.now + RESTART_TIME;
        self.crashes.push(self.now);
    }
}

#[test]
fn a_crashing_request_reaches_targets_three_times_at_most_after_its_third_crash() {
    for seed in 0..SEEDS {
        let day = SimulatedDay::play(seed);

        let third = day.crashes[2];
        let later = day.sends.iter().filter(|at| **at > third + STABLE_TIME);
        assert!(
            later.count() <= MAX_LATER_SENDS,
            "seed {seed}: {:?}",
            day.crashes
        );
        assert_eq!(day.refused_sound, 0, "seed {seed}: {:?}", day.bans);
    }
}

#[test]
fn a_successor_bans_with_the_evidence_of_the_owner_before_it() {
    let (mut owner, mut successor) = (RequestGuard::default(), RequestGuard::default());
    let mut now = Instant::now();
    for name in ["i-1", "i-2"] {
        owner.record_broken(request("deadly"), &target(name), now);
        now += Duration::from_secs(1);
        successor.import_evidence(&owner.settle(now).evidence, now);
    }

    successor.record_broken(request("deadly"), &target("i-3"), now);
    let findings = successor.settle(now + Duration::from_secs(1));

    assert_eq!(findings.bans.len(), 1);
    assert_eq!(findings.bans[0].subject, request("deadly"));
}

#[test]
fn a_request_that_is_answered_between_crashes_is_not_banned() {
    let mut guard = RequestGuard::default();
    let mut now = Instant::now();
    for number in 0..10 {
        let name = format!("i-{number}");
        guard.record_broken(request("hot"), &target(&name), now);
        now += Duration::from_secs(1);
        guard.settle(now);
        if number % 2 == 1 {
            guard.record_answered(request("hot"), &target("i-sound"), now);
        }
    }

    assert_eq!(guard.banned_for(request("hot"), now), None);
    assert_eq!(guard.record_count(), 0);
}

#[test]
fn a_target_that_answers_shortly_after_lost_connections_did_not_crash() {
    let mut guard = RequestGuard::default();
    let mut now = Instant::now();
    for name in ["i-1", "i-2", "i-3", "i-4"] {
        guard.record_broken(request("reset"), &target(name), now);
        now += Duration::from_millis(200);
        guard.record_answered(request("other"), &target(name), now);
        now += Duration::from_secs(1);
        guard.settle(now);
    }

    assert_eq!(guard.banned_for(request("reset"), now), None);
}

#[test]
fn records_of_requests_take_bounded_memory() {
    let mut guard = RequestGuard::default();
    let mut now = Instant::now();
    for number in 0..10_000_u32 {
        now += Duration::from_millis(600);
        let name = number.to_string();
        guard.record_broken(request(&name), &target(&name), now);
        guard.settle(now);
    }

    assert!(guard.record_count() <= 4_096);
}
