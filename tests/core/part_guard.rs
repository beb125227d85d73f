//! Bans of prompt parts on which engines crash, over simulated days.

use std::time::{Duration, Instant};

use plantainnotch::ids::{PartName, RequestDigest, TargetName};
use plantainnotch::policy::part_guard::{PartBan, PartGuard};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(5);
const DAY: Duration = Duration::from_secs(40);
const STABLE_TIME: Duration = Duration::from_secs(3);
const MAX_LATER_REQUESTS: usize = 3;
const CRASHES_UNTIL_BOUND: usize = 5;
const SEEDS: u64 = 60;

/// What goes wrong during a simulated day.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DayFault {
    /// A share of the requests has a part that crashes engines; the others may share its prompt's
    /// first part.
    CrashingPart { share: f64 },
    /// Some engines reset a share of their requests.
    ResettingEngines { share: f64 },
    /// Five engines crash together, again and again.
    LostDomains,
}

struct SimulatedRequest {
    digest: RequestDigest,
    parts: Vec<PartName>,
    engine: usize,
    first_event_at: Duration,
}

struct SimulatedEngine {
    name: TargetName,
    restarts: u32,
    up_at: Duration,
}

#[derive(Debug, Default)]
struct DayResult {
    bans: Vec<PartBan>,
    refused_sound: usize,
    crashes: Vec<Duration>,
}

fn part(name: &str) -> PartName {
    PartName::new(name)
}

/// A request of its own for each `number`.
fn request(number: impl ToString) -> RequestDigest {
    RequestDigest::of("POST", &number.to_string(), None, &[], b"")
}

fn target(name: &str) -> TargetName {
    TargetName::new(name)
}

/// A day of 30 requests a second on 14 engines, whose requests share 60 first parts.
struct SimulatedDay {
    fault: DayFault,
    rng: StdRng,
    start: Instant,
    now: Duration,
    guard: PartGuard,
    engines: Vec<SimulatedEngine>,
    running: Vec<SimulatedRequest>,
    result: DayResult,
}

impl SimulatedDay {
    fn play(fault: DayFault, seed: u64) -> DayResult {
        let engine = |index| SimulatedEngine {
            name: target(&format!("e-{index}-0")),
            restarts: 0,
            up_at: Duration::ZERO,
        };
        let mut day = Self {
            fault,
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: Duration::ZERO,
            guard: PartGuard::default(),
            engines: (0..14).map(engine).collect(),
            running: Vec::new(),
            result: DayResult::default(),
        };
        while day.now < DAY {
            day.now += STEP;
            if day.rng.random_bool(0.15) {
                day.send_request();
            }
            day.answer_requests();
            if fault == DayFault::LostDomains && day.now.as_millis().is_multiple_of(7_000) {
                (0..5).for_each(|engine| day.crash(engine));
            }
            let bans = day.guard.settle(day.instant());
            day.result.bans.extend(bans);
        }
        day.result
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn send_request(&mut self) {
        let is_crashing = match self.fault {
            DayFault::CrashingPart { share } => self.rng.random_bool(share),
            DayFault::ResettingEngines { .. } | DayFault::LostDomains => false,
        };
        // The square makes some parts far more frequent than others.
        let popular = (self.rng.random_range(0.0..1.0_f64).powi(2) * 60.0) as u32;
        let parts = if is_crashing {
            vec![part("s9"), part("dead")]
        } else {
            vec![part(&format!("s{popular}"))]
        };
        if self.guard.banned_for(&parts, self.instant()).is_some() {
            self.result.refused_sound += usize::from(!is_crashing);
            return;
        }
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|index| self.engines[*index].up_at <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let time_to_first_event = Duration::from_millis(self.rng.random_range(40..400));
        self.running.push(SimulatedRequest {
            digest: request(self.rng.random::<u64>()),
            parts,
            engine: up[self.rng.random_range(0..up.len())],
            first_event_at: self.now + time_to_first_event,
        });
    }

    fn answer_requests(&mut self) {
        let now = self.now;
        let due: Vec<SimulatedRequest> = self
            .running
            .extract_if(.., |request| request.first_event_at <= now)
            .collect();
        for request in due {
            let is_reset = match self.fault {
                DayFault::ResettingEngines { share } => {
                    request.engine < 2 && self.rng.random_bool(share)
                }
                DayFault::CrashingPart { .. } | DayFault::LostDomains => false,
            };
            let (engine, at) = (&self.engines[request.engine].name, self.start + now);
            if request.parts.contains(&part("dead")) {
                let index = request.engine;
                self.running.push(request);
                self.crash(index);
            } else if is_reset {
                self.guard
                    .record_broken(request.digest, &request.parts, engine, at);
            } else {
                let acquitted =
                    self.guard
                        .record_served(request.digest, &request.parts, engine, at);
                self.result.bans.extend(acquitted);
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let at = self.instant();
        let engine = &mut self.engines[index];
        let lost = self
            .running
            .extract_if(.., |request| request.engine == index);
        for request in lost {
            self.guard
                .record_broken(request.digest, &request.parts, &engine.name, at);
        }
        engine.restarts += 1;
        engine.name = target(&format!("e-{index}-{}", engine.restarts));
        engine.up_at = self.now + Duration::from_secs(4);
        self.result.crashes.push(self.now);
    }
}

#[test]
fn a_part_that_crashes_engines_is_banned_and_the_parts_beside_it_are_not() {
    for seed in 0..SEEDS {
        let share = [0.02, 0.05, 0.2][seed as usize % 3];

        let day = SimulatedDay::play(DayFault::CrashingPart { share }, seed);

        let later = day.crashes.get(CRASHES_UNTIL_BOUND - 1).map_or(0, |fifth| {
            let crashes = day.crashes.iter();
            crashes.filter(|at| **at > *fifth + STABLE_TIME).count()
        });
        assert!(later <= MAX_LATER_REQUESTS, "seed {seed}: {day:?}");
        assert_eq!(day.refused_sound, 0, "seed {seed}: {:?}", day.bans);
        assert!(
            !day.bans.is_empty(),
            "seed {seed}: {} crashes",
            day.crashes.len()
        );
    }
}

#[test]
fn engines_that_reset_some_requests_lead_to_no_ban() {
    for seed in 0..SEEDS {
        let share = [0.05, 0.4, 0.9][seed as usize % 3];

        let day = SimulatedDay::play(DayFault::ResettingEngines { share }, seed);

        assert_eq!(day.refused_sound, 0, "seed {seed}: {:?}", day.bans);
    }
}

#[test]
fn lost_domains_lead_to_no_ban() {
    for seed in 0..SEEDS {
        let day = SimulatedDay::play(DayFault::LostDomains, seed);

        assert_eq!(day.refused_sound, 0, "seed {seed}: {:?}", day.bans);
    }
}

/// A guard that has banned the part `dead`, the ban, and the time after it.
fn banned_guard(now: Instant) -> (PartGuard, PartBan, Instant) {
    let mut guard = PartGuard::default();
    let mut at = now;
    let mut bans = Vec::new();
    for engine in ["e-1", "e-2", "e-3"] {
        guard.record_broken(request(engine), &[part("dead")], &target(engine), at);
        at += Duration::from_millis(200);
        bans.extend(guard.settle(at));
    }
    let ban = bans.pop().expect("three crashes lead to a ban");
    (guard, ban, at)
}

#[test]
fn parts_that_no_request_told_apart_are_banned_together() {
    let mut guard = PartGuard::default();
    let mut now = Instant::now();
    let parts = [part("first"), part("dead")];
    for engine in ["e-1", "e-2", "e-3"] {
        guard.record_broken(request(engine), &parts, &target(engine), now);
        now += Duration::from_millis(200);
        guard.settle(now);
    }

    assert!(guard.banned_for(&parts, now).is_some());
    assert_eq!(guard.banned_for(&parts[..1], now), None);
    assert_eq!(guard.banned_for(&parts[1..], now), None);
}

#[test]
fn a_part_served_before_is_not_blamed_beside_one_that_never_was() {
    let mut guard = PartGuard::default();
    let mut now = Instant::now();
    let parts = [part("served"), part("dead")];
    guard.record_served(request("e-0"), &parts[..1], &target("e-0"), now);
    let mut bans = Vec::new();
    for engine in ["e-1", "e-2", "e-3"] {
        guard.record_broken(request(engine), &parts, &target(engine), now);
        now += Duration::from_millis(200);
        bans.extend(guard.settle(now));
    }

    assert_eq!(bans.len(), 1, "{bans:?}");
    assert_eq!(bans[0].subject, [part("dead")]);
}

#[test]
fn engines_that_end_together_count_as_one_crash() {
    let mut guard = PartGuard::default();
    let now = Instant::now();
    for engine in ["e-1", "e-2", "e-3", "e-4"] {
        guard.record_broken(request(engine), &[part("new")], &target(engine), now);
    }

    let bans = guard.settle(now + Duration::from_secs(1));

    assert!(bans.is_empty(), "{bans:?}");
}

#[test]
fn crashes_of_a_target_that_is_still_down_do_not_count() {
    let mut guard = PartGuard::default();
    let mut now = Instant::now();
    for number in 0..10 {
        guard.record_broken(request(number), &[part("sound")], &target("e-1"), now);
        now += Duration::from_millis(200);
        guard.settle(now);
    }

    assert_eq!(guard.banned_for(&[part("sound")], now), None);
}

#[test]
fn a_served_request_ends_a_ban_on_all_vms() {
    let now = Instant::now();
    let (mut guard, ban, now) = banned_guard(now);
    let mut other = PartGuard::default();
    other.import_bans(std::slice::from_ref(&ban), now);
    let before = other.banned_for(&[part("dead")], now);

    let acquittals = guard.record_served(request("e-4"), &[part("dead")], &target("e-4"), now);
    other.import_bans(&acquittals, now);
    other.import_bans(&[ban], now);

    assert!(before.is_some());
    assert_eq!(other.banned_for(&[part("dead")], now), None);
}

#[test]
fn one_more_crash_renews_an_ended_ban_for_twice_the_time() {
    let (mut guard, ban, now) = banned_guard(Instant::now());
    let later = now + Duration::from_millis(ban.left_ms);
    let after_end = guard.banned_for(&[part("dead")], later);
    guard.record_broken(request(5), &[part("dead")], &target("e-5"), later);

    let renewed = guard.settle(later + Duration::from_secs(1));

    assert_eq!(after_end, None);
    assert_eq!(renewed.len(), 1);
    assert_eq!(renewed[0].term_ms, ban.term_ms * 2);
}

#[test]
fn records_of_parts_take_bounded_memory() {
    let mut guard = PartGuard::default();
    let now = Instant::now();
    for number in 0..20_000_u32 {
        let at = now + Duration::from_millis(number.into());
        guard.record_served(
            request(number),
            &[part(&number.to_string())],
            &target("e-1"),
            at,
        );
    }

    assert!(guard.record_count() <= 4_096);
}

#[test]
fn parts_are_not_banned_for_one_request_that_crashes_engines_again_and_again() {
    let mut guard = PartGuard::default();
    let mut now = Instant::now();
    for number in 0..6 {
        let engine = target(&format!("e-{number}"));
        guard.record_broken(request("deadly"), &[part("shared")], &engine, now);
        guard.record_broken(request(number), &[part("shared")], &engine, now);
        now += Duration::from_millis(200);
        guard.settle(now);
    }

    assert_eq!(guard.banned_for(&[part("shared")], now), None);
}

#[test]
fn parts_are_banned_although_a_request_that_is_served_at_times_was_in_all_crashes() {
    let mut guard = PartGuard::default();
    let mut now = Instant::now();
    for number in 0..3 {
        let engine = target(&format!("e-{number}"));
        guard.record_broken(request("often"), &[part("dead")], &engine, now);
        guard.record_served(request("often"), &[], &target("e-9"), now);
        now += Duration::from_millis(200);
        guard.settle(now);
    }

    assert!(guard.banned_for(&[part("dead")], now).is_some());
}
