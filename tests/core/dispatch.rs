//! The dispatcher: what callers get under the loads that it answers, and what must hold
//! whatever is asked of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use plantainnotch::ids::{DomainName, TargetName, VmName};
use plantainnotch::policy::dispatch::{
    DispatchAnswer, EngineDispatcher, EngineTarget, JobId, PlacementAsk, RefusalReason,
};
use plantainnotch::policy::engine_model::{example_spec, prefill_time};

use crate::engine_play::{
    LoadKind, LoadRequest, PlayPolicy, PlayReport, draw_load, kigali_kinds, play,
};
use crate::fixtures::check;

const HEAVY: [f64; 3] = [0.36, 1.3, 2.8];
const MANY_SHORT: [f64; 3] = [2.4, 0.5, 0.05];
const ENGINES: usize = 14;
const COLD_PER_S: f64 = 28.0;
const SHORT: usize = 0;
const LONG: usize = 2;

/// Ten seconds of many short prompts, then ten of many long ones, twice.
fn alternating_load(seed: u64) -> (Vec<LoadKind>, Vec<LoadRequest>) {
    let mut load = Vec::new();
    for (index, factors) in [MANY_SHORT, HEAVY, MANY_SHORT, HEAVY].iter().enumerate() {
        let from = Duration::from_secs(10 * index as u64);
        let kinds = kigali_kinds(*factors);
        let length = Duration::from_secs(10);
        load.extend(draw_load(&kinds, from, length, seed * 10 + index as u64));
    }
    (kigali_kinds(HEAVY), load)
}

/// Five engines of fourteen, lost before the first heavy phase.
fn lost_domain() -> Vec<(Duration, usize)> {
    (0..5)
        .map(|engine| (Duration::from_secs(8), engine * 3))
        .collect()
}

fn played(policy: PlayPolicy, seed: u64, lost: &[(Duration, usize)]) -> PlayReport {
    let (kinds, load) = alternating_load(seed);
    play(policy, &example_spec(), &kinds, &load, ENGINES, lost)
}

fn served_share(report: &PlayReport, kind: usize) -> f64 {
    let outcome = &report.kinds[kind];
    (outcome.in_aim + outcome.late) as f64 / outcome.asked as f64
}

fn ask(job: u64, prompt: u64) -> PlacementAsk {
    PlacementAsk {
        job: JobId(job),
        vm: VmName::new("vm-1"),
        domain: DomainName::new("domain-0"),
        service: "llm".to_owned(),
        team: None,
        prompt,
        output: 400,
        objective: Duration::from_millis(1_500),
        pause: Duration::from_millis(600),
        give_up: Duration::from_secs(6),
        avoid: Vec::new(),
    }
}

fn engine(index: usize) -> EngineTarget {
    EngineTarget {
        name: TargetName::new(format!("engine-{index}")),
        domain: DomainName::new(format!("domain-{}", index % 3)),
        cold_until: None,
    }
}

fn dispatcher(engines: usize) -> EngineDispatcher {
    let spec = example_spec();
    let mut dispatcher = EngineDispatcher::new(spec.clone(), COLD_PER_S);
    let targets: Vec<EngineTarget> = (0..engines).map(engine).collect();
    dispatcher.set_engines(&spec, COLD_PER_S, &targets);
    dispatcher
}

#[test]
fn callers_get_more_than_from_any_baseline() {
    for seed in 1..=3 {
        let ours = played(PlayPolicy::Dispatcher, seed, &[]);
        for baseline in [
            PlayPolicy::RoundRobin,
            PlayPolicy::LeastLoaded,
            PlayPolicy::SharedQueue,
        ] {
            let theirs = played(baseline, seed, &[]);

            assert!(
                ours.worth() > theirs.worth() + 0.1,
                "seed {seed}: {:.3} against {:.3} of {baseline:?}",
                ours.worth(),
                theirs.worth()
            );
        }
    }
}

#[test]
fn short_prompts_stay_in_aim_beside_long_ones() {
    for seed in 1..=3 {
        let report = played(PlayPolicy::Dispatcher, seed, &[]);

        assert!(report.in_aim(SHORT) > 0.85, "seed {seed}: {report:?}");
        assert!(report.in_aim(LONG) > 0.75, "seed {seed}: {report:?}");
    }
}

#[test]
fn a_lost_domain_starves_no_kind_and_not_the_largest() {
    for seed in 1..=3 {
        let report = played(PlayPolicy::Dispatcher, seed, &lost_domain());
        let baseline = played(PlayPolicy::LeastLoaded, seed, &lost_domain());

        assert!(report.worth() > baseline.worth() + 0.1, "seed {seed}");
        for kind in 0..3 {
            assert!(served_share(&report, kind) > 0.5, "seed {seed}: {report:?}");
        }
        let shorts = &report.kinds[SHORT];
        let largest = shorts.largest_served as f64 / shorts.largest_asked as f64;
        assert!(largest > served_share(&report, SHORT) / 2.0, "seed {seed}");
    }
}

#[test]
fn what_can_not_be_served_is_refused_at_once() {
    let now = Instant::now();
    let mut none = dispatcher(0);
    none.enqueue(ask(1, 1_000), now);
    let mut two = dispatcher(2);
    two.enqueue(ask(2, 600_000), now);

    let without_engines = none.decide(now);
    let too_large = two.decide(now);

    let reason = |answer: &DispatchAnswer| match answer {
        DispatchAnswer::Refused { reason, .. } => Some(*reason),
        DispatchAnswer::Placed(_) => None,
    };
    assert_eq!(
        reason(&without_engines[0].answer),
        Some(RefusalReason::NoTarget)
    );
    assert_eq!(reason(&too_large[0].answer), Some(RefusalReason::TooLarge));
}

#[test]
fn a_prompt_larger_than_an_engine_is_spread_over_several() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(6);
    dispatcher.enqueue(ask(1, 500_000), now);

    let decisions = dispatcher.decide(now);

    let DispatchAnswer::Placed(placement) = &decisions[0].answer else {
        panic!("{decisions:?}");
    };
    let reserved: u64 = placement.helpers.iter().map(|part| part.reserve).sum();
    assert!(reserved + 232_000 >= 500_400, "{placement:?}");
    assert!(placement.helpers.iter().all(|part| part.reserve <= 232_000));
}

#[test]
fn cold_limits_hold_whatever_comes() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    let mut sends: BTreeMap<TargetName, usize> = BTreeMap::new();
    for job in 0..200 {
        dispatcher.enqueue(ask(job, 500), now);
        for decision in dispatcher.decide(now) {
            if let DispatchAnswer::Placed(placement) = decision.answer {
                *sends.entry(placement.lead).or_default() += 1;
            }
        }
        // Slots are free again at once, so that only the limit of sends binds.
        dispatcher.end(JobId(job));
    }

    assert_eq!(sends.len(), 2);
    assert!(
        sends.values().all(|count| (*count as f64) <= COLD_PER_S),
        "{sends:?}"
    );
}

#[test]
fn slots_bound_what_runs() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(1);
    for job in 0..60 {
        let now = start + Duration::from_millis(100 * job);
        dispatcher.enqueue(ask(job, 500), now);
        dispatcher.decide(now);
        dispatcher.first_event(JobId(job), now);

        let running = dispatcher.reports_of(&VmName::new("vm-1"), now).len();

        assert!(running <= example_spec().slots, "{running} run");
    }
}

/// Places `request` on the only engine, or tells that it waits.
fn placed_at(
    dispatcher: &mut EngineDispatcher,
    request: PlacementAsk,
    now: Instant,
) -> Option<Duration> {
    dispatcher.enqueue(request, now);
    match dispatcher.decide(now).pop()?.answer {
        DispatchAnswer::Placed(placement) => Some(placement.predicted),
        DispatchAnswer::Refused { .. } => None,
    }
}

#[test]
fn an_engine_reads_until_its_first_event_tells_otherwise() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    let predicted = placed_at(&mut dispatcher, ask(1, 60_000), now).expect("the engine is idle");
    let late = now + predicted + Duration::from_millis(20);

    let before = placed_at(&mut dispatcher, ask(2, 60_000), late);
    dispatcher.first_event(JobId(1), late);
    let after = dispatcher.decide(late);

    assert_eq!(before, None);
    assert_eq!(after.len(), 1, "{after:?}");
}

#[test]
fn a_short_prompt_waits_out_the_pass_under_way_and_reads_with_the_next() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    let long = placed_at(&mut dispatcher, ask(1, 40_000), now).expect("the engine is idle");
    let later = now + Duration::from_millis(50);

    let first = placed_at(&mut dispatcher, ask(2, 5_000), later).expect("a slot is free");
    let second = placed_at(&mut dispatcher, ask(3, 5_000), later).expect("a slot is free");

    let own = prefill_time(&example_spec(), 5_000, 1);
    assert!(first > long - Duration::from_millis(50) + own, "{first:?}");
    assert!(second > first + own.mul_f64(0.9), "{second:?}");
}

/// A part that is read beside a short prompt would cost its objective, not only a pause.
#[test]
fn a_part_spares_short_prompts_that_wait_for_their_first_event() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    let mut busy = ask(1, 5_000);
    busy.objective = Duration::from_millis(300);
    placed_at(&mut dispatcher, ask(0, 1_000), now).expect("an engine is idle");
    placed_at(&mut dispatcher, busy, now).expect("an engine is idle");
    let short_engine = dispatcher.reports_of(&VmName::new("vm-1"), now)[0]
        .target
        .clone();
    dispatcher.enqueue(ask(2, 60_000), now);

    let decisions = dispatcher.decide(now);

    let DispatchAnswer::Placed(placement) = &decisions[0].answer else {
        panic!("{decisions:?}");
    };
    assert_ne!(placement.lead, short_engine);
    assert!(placement.helpers.is_empty(), "{placement:?}");
}

/// An engine at work on a part takes the next one only when no other is free.
#[test]
fn free_engines_go_before_those_that_still_read() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    let mut first = ask(1, 20_000);
    first.avoid = vec![TargetName::new("engine-1")];
    placed_at(&mut dispatcher, first, now).expect("an engine is idle");
    let soon_over = now + Duration::from_millis(110);
    dispatcher.enqueue(ask(2, 20_000), soon_over);

    let decisions = dispatcher.decide(soon_over);

    let DispatchAnswer::Placed(placement) = &decisions[0].answer else {
        panic!("{decisions:?}");
    };
    assert_eq!(placement.lead, TargetName::new("engine-1"));
    assert!(placement.helpers.is_empty(), "{placement:?}");
}

#[test]
fn engines_that_failed_the_request_are_avoided() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(3);
    let mut request = ask(1, 1_000);
    request.avoid = vec![TargetName::new("engine-0"), TargetName::new("engine-2")];
    dispatcher.enqueue(request, now);

    let decisions = dispatcher.decide(now);

    let DispatchAnswer::Placed(placement) = &decisions[0].answer else {
        panic!("{decisions:?}");
    };
    assert_eq!(placement.lead, TargetName::new("engine-1"));
}

#[test]
fn a_coordinator_that_takes_over_knows_what_runs() {
    let now = Instant::now();
    let mut owner = dispatcher(4);
    let mut successor = dispatcher(4);
    for job in 0..8 {
        owner.enqueue(ask(job, 20_000 * (job + 1)), now);
    }
    owner.decide(now);
    let vm = VmName::new("vm-1");

    successor.replace_jobs_of(&vm, &owner.reports_of(&vm, now), now);

    assert_eq!(successor.reports_of(&vm, now), owner.reports_of(&vm, now));
    successor.drop_vm(&vm);
    assert!(successor.reports_of(&vm, now).is_empty());
}

/// Whatever is asked, placed and ended: each request is decided on at most once, memory
/// and slots are never overbooked, and nothing is left when all has ended.
#[test]
fn books_balance() {
    fn property(steps: Vec<(u16, u8, bool)>) -> bool {
        let mut now = Instant::now();
        let mut dispatcher = dispatcher(5);
        let spec = example_spec();
        let mut decided = BTreeSet::new();
        let mut asked = 0;
        for (size, wait, ends) in steps {
            now += Duration::from_millis(u64::from(wait));
            dispatcher.enqueue(ask(asked, u64::from(size) * 8 + 10), now);
            asked += 1;
            for decision in dispatcher.decide(now) {
                if !decided.insert(decision.job) {
                    return false;
                }
            }
            if ends {
                dispatcher.first_event(JobId(asked / 2), now);
                dispatcher.end(JobId(asked / 2));
            }
            let mut memory: BTreeMap<TargetName, u64> = BTreeMap::new();
            let mut leads: BTreeMap<TargetName, usize> = BTreeMap::new();
            for report in dispatcher.reports_of(&VmName::new("vm-1"), now) {
                *memory.entry(report.target.clone()).or_default() += report.memory_tokens;
                *leads.entry(report.target).or_default() += usize::from(!report.is_helper);
            }
            let overbooked = memory.values().any(|held| *held > spec.memory_tokens)
                || leads.values().any(|count| *count > spec.slots);
            if overbooked {
                return false;
            }
        }
        for job in 0..asked {
            dispatcher.end(JobId(job));
        }
        dispatcher.waiting() == 0 && dispatcher.reports_of(&VmName::new("vm-1"), now).is_empty()
    }
    check(41, property as fn(Vec<(u16, u8, bool)>) -> bool);
}
