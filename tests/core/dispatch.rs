//! The engines' dispatcher: outcomes of simulated loads, and invariants of its decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use plantainnotch::ids::{DomainName, TargetName, VmName};
use plantainnotch::policy::dispatch::{
    DispatchAnswer, EngineDispatcher, EngineTarget, JobId, PlacementRequest, RefusalReason,
};
use plantainnotch::policy::engine_model::{example_spec, prefill_time};

use crate::engine_simulation::{
    LoadRequest, RequestKind, SimulationPolicy, SimulationReport, generate_load, mixed_load_kinds,
    simulate,
};
use crate::fixtures::check;

/// Rates of the kinds of [`mixed_load_kinds`], as multiples of the usual ones.
const MANY_LONG: [f64; 3] = [0.36, 1.3, 2.8];
const MANY_SHORT: [f64; 3] = [2.4, 0.5, 0.05];
const ENGINES: usize = 14;
const COLD_REQUESTS_PER_S: f64 = 28.0;
/// Indexes into [`mixed_load_kinds`].
const SHORT: usize = 0;
const LONG: usize = 2;

/// Ten seconds with many short prompts, then ten with many long ones, twice.
fn alternating_load(seed: u64) -> (Vec<RequestKind>, Vec<LoadRequest>) {
    let mut load = Vec::new();
    for (index, factors) in [MANY_SHORT, MANY_LONG, MANY_SHORT, MANY_LONG]
        .iter()
        .enumerate()
    {
        let from = Duration::from_secs(10 * index as u64);
        let kinds = mixed_load_kinds(*factors);
        let length = Duration::from_secs(10);
        load.extend(generate_load(
            &kinds,
            from,
            length,
            seed * 10 + index as u64,
        ));
    }
    (mixed_load_kinds(MANY_LONG), load)
}

/// The five engines of one domain out of fourteen, which go down during the first phase.
fn domain_outage() -> Vec<(Duration, usize)> {
    (0..5)
        .map(|index| (Duration::from_secs(8), index * 3))
        .collect()
}

fn simulate_load(
    policy: SimulationPolicy,
    seed: u64,
    outages: &[(Duration, usize)],
) -> SimulationReport {
    let (kinds, load) = alternating_load(seed);
    simulate(policy, &example_spec(), &kinds, &load, ENGINES, outages)
}

fn served_share(report: &SimulationReport, kind: usize) -> f64 {
    let outcome = &report.kinds[kind];
    (outcome.on_time + outcome.late) as f64 / outcome.requests as f64
}

fn placement_request(job: u64, prompt_tokens: u64) -> PlacementRequest {
    PlacementRequest {
        job: JobId(job),
        vm: VmName::new("vm-1"),
        domain: DomainName::new("domain-0"),
        service: "llm".to_owned(),
        team: None,
        prompt_tokens,
        max_output_tokens: 400,
        objective: Duration::from_millis(1_500),
        max_event_gap: Duration::from_millis(600),
        give_up_after: Duration::from_secs(6),
        excluded_targets: Vec::new(),
    }
}

fn engine_target(index: usize) -> EngineTarget {
    EngineTarget {
        name: TargetName::new(format!("engine-{index}")),
        domain: DomainName::new(format!("domain-{}", index % 3)),
        cold_until: None,
        requests_per_s: None,
    }
}

fn dispatcher(engines: usize) -> EngineDispatcher {
    let spec = example_spec();
    let mut dispatcher = EngineDispatcher::new(spec.clone(), COLD_REQUESTS_PER_S);
    let targets: Vec<EngineTarget> = (0..engines).map(engine_target).collect();
    dispatcher.set_engines(&spec, COLD_REQUESTS_PER_S, &targets);
    dispatcher
}

#[test]
fn the_dispatcher_earns_more_value_than_any_baseline() {
    for seed in 1..=3 {
        let dispatched = simulate_load(SimulationPolicy::Dispatcher, seed, &[]);
        for baseline in [
            SimulationPolicy::RoundRobin,
            SimulationPolicy::LeastLoaded,
            SimulationPolicy::SharedQueue,
        ] {
            let reference = simulate_load(baseline, seed, &[]);

            assert!(
                dispatched.value_share() > reference.value_share() + 0.1,
                "seed {seed}: {:.3} against {:.3} of {baseline:?}",
                dispatched.value_share(),
                reference.value_share()
            );
        }
    }
}

#[test]
fn short_prompts_meet_their_objective_beside_long_ones() {
    for seed in 1..=3 {
        let report = simulate_load(SimulationPolicy::Dispatcher, seed, &[]);

        assert!(
            report.on_time_share(SHORT) > 0.85,
            "seed {seed}: {report:?}"
        );
        assert!(report.on_time_share(LONG) > 0.75, "seed {seed}: {report:?}");
    }
}

#[test]
fn no_kind_of_request_is_starved_when_a_domain_is_lost() {
    for seed in 1..=3 {
        let report = simulate_load(SimulationPolicy::Dispatcher, seed, &domain_outage());
        let baseline = simulate_load(SimulationPolicy::LeastLoaded, seed, &domain_outage());

        assert!(
            report.value_share() > baseline.value_share() + 0.1,
            "seed {seed}"
        );
        for kind in 0..3 {
            assert!(served_share(&report, kind) > 0.5, "seed {seed}: {report:?}");
        }
        let short_outcome = &report.kinds[SHORT];
        let largest_share =
            short_outcome.longest_served as f64 / short_outcome.longest_requests as f64;
        assert!(
            largest_share > served_share(&report, SHORT) / 2.0,
            "seed {seed}"
        );
    }
}

#[test]
fn requests_without_an_engine_or_too_large_for_all_are_refused_at_once() {
    let now = Instant::now();
    let mut none = dispatcher(0);
    none.enqueue(placement_request(1, 1_000), now);
    let mut two = dispatcher(2);
    two.enqueue(placement_request(2, 600_000), now);

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
fn a_prompt_larger_than_one_engines_memory_is_split_over_several() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(6);
    dispatcher.enqueue(placement_request(1, 500_000), now);

    let decisions = dispatcher.decide(now);

    let DispatchAnswer::Placed(placement) = &decisions[0].answer else {
        panic!("{decisions:?}");
    };
    let reserved: u64 = placement
        .helpers
        .iter()
        .map(|part| part.reserve_tokens)
        .sum();
    assert!(reserved + 232_000 >= 500_400, "{placement:?}");
    assert!(
        placement
            .helpers
            .iter()
            .all(|part| part.reserve_tokens <= 232_000)
    );
}

#[test]
fn cold_limits_hold_under_any_load() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    let mut sends: BTreeMap<TargetName, usize> = BTreeMap::new();
    for job in 0..200 {
        dispatcher.enqueue(placement_request(job, 500), now);
        for decision in dispatcher.decide(now) {
            if let DispatchAnswer::Placed(placement) = decision.answer {
                *sends.entry(placement.lead).or_default() += 1;
            }
        }
        // Frees the slot at once, so that only the cold limit applies.
        dispatcher.end_job(JobId(job));
    }

    assert_eq!(sends.len(), 2);
    assert!(
        sends
            .values()
            .all(|count| (*count as f64) <= COLD_REQUESTS_PER_S),
        "{sends:?}"
    );
}

#[test]
fn slots_bound_the_running_requests() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(1);
    for job in 0..60 {
        let now = start + Duration::from_millis(100 * job);
        dispatcher.enqueue(placement_request(job, 500), now);
        dispatcher.decide(now);
        dispatcher.record_first_event(JobId(job), now);

        let running = dispatcher.reports_of(&VmName::new("vm-1"), now).len();

        assert!(running <= example_spec().slots, "{running} run");
    }
}

/// Predicted time to the first event of `request`, or `None` if it is not placed.
fn predicted_if_placed(
    dispatcher: &mut EngineDispatcher,
    request: PlacementRequest,
    now: Instant,
) -> Option<Duration> {
    dispatcher.enqueue(request, now);
    match dispatcher.decide(now).pop()?.answer {
        DispatchAnswer::Placed(placement) => Some(placement.predicted_first_event),
        DispatchAnswer::Refused { .. } => None,
    }
}

#[test]
fn an_engine_counts_as_prefilling_until_the_first_event() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    let predicted = predicted_if_placed(&mut dispatcher, placement_request(1, 60_000), now)
        .expect("the engine is idle");
    let late = now + predicted + Duration::from_millis(20);

    let before = predicted_if_placed(&mut dispatcher, placement_request(2, 60_000), late);
    dispatcher.record_first_event(JobId(1), late);
    let after = dispatcher.decide(late);

    assert_eq!(before, None);
    assert_eq!(after.len(), 1, "{after:?}");
}

#[test]
fn a_short_prompt_waits_for_the_current_pass_and_is_prefilled_in_the_next() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    let long = predicted_if_placed(&mut dispatcher, placement_request(1, 40_000), now)
        .expect("the engine is idle");
    let later = now + Duration::from_millis(50);

    let first = predicted_if_placed(&mut dispatcher, placement_request(2, 5_000), later)
        .expect("a slot is free");
    let second = predicted_if_placed(&mut dispatcher, placement_request(3, 5_000), later)
        .expect("a slot is free");

    let prefill = prefill_time(&example_spec(), 5_000, 1);
    assert!(
        first > long - Duration::from_millis(50) + prefill,
        "{first:?}"
    );
    assert!(second > first + prefill.mul_f64(0.9), "{second:?}");
}

/// A part of a long prompt that is prefilled on the same engine would make a short prompt miss
/// its objective, not only delay an event.
#[test]
fn a_long_prompt_is_kept_off_engines_where_short_prompts_wait_for_their_first_event() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    let mut short_request = placement_request(1, 5_000);
    short_request.objective = Duration::from_millis(300);
    predicted_if_placed(&mut dispatcher, placement_request(0, 1_000), now)
        .expect("an engine is idle");
    predicted_if_placed(&mut dispatcher, short_request, now).expect("an engine is idle");
    let short_engine = dispatcher.reports_of(&VmName::new("vm-1"), now)[0]
        .target
        .clone();
    dispatcher.enqueue(placement_request(2, 60_000), now);

    let decisions = dispatcher.decide(now);

    let DispatchAnswer::Placed(placement) = &decisions[0].answer else {
        panic!("{decisions:?}");
    };
    assert_ne!(placement.lead, short_engine);
    assert!(placement.helpers.is_empty(), "{placement:?}");
}

/// An engine that still prefills gets the next long prompt only if no other engine is free.
#[test]
fn free_engines_are_preferred_to_those_that_still_prefill() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    let mut first = placement_request(1, 20_000);
    first.excluded_targets = vec![TargetName::new("engine-1")];
    predicted_if_placed(&mut dispatcher, first, now).expect("an engine is idle");
    let nearly_done = now + Duration::from_millis(110);
    dispatcher.enqueue(placement_request(2, 20_000), nearly_done);

    let decisions = dispatcher.decide(nearly_done);

    let DispatchAnswer::Placed(placement) = &decisions[0].answer else {
        panic!("{decisions:?}");
    };
    assert_eq!(placement.lead, TargetName::new("engine-1"));
    assert!(placement.helpers.is_empty(), "{placement:?}");
}

#[test]
fn excluded_targets_are_not_chosen() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(3);
    let mut request = placement_request(1, 1_000);
    request.excluded_targets = vec![TargetName::new("engine-0"), TargetName::new("engine-2")];
    dispatcher.enqueue(request, now);

    let decisions = dispatcher.decide(now);

    let DispatchAnswer::Placed(placement) = &decisions[0].answer else {
        panic!("{decisions:?}");
    };
    assert_eq!(placement.lead, TargetName::new("engine-1"));
}

#[test]
fn a_coordinator_that_takes_over_knows_the_running_jobs() {
    let now = Instant::now();
    let mut owner = dispatcher(4);
    let mut successor = dispatcher(4);
    for job in 0..8 {
        owner.enqueue(placement_request(job, 20_000 * (job + 1)), now);
    }
    owner.decide(now);
    let vm = VmName::new("vm-1");

    successor.reconcile_jobs_of(&vm, &owner.reports_of(&vm, now), now);

    assert_eq!(successor.reports_of(&vm, now), owner.reports_of(&vm, now));
    successor.drop_jobs_of(&vm);
    assert!(successor.reports_of(&vm, now).is_empty());
}

/// Time until the first event of the stream of [`filled_dispatcher`].
const FILLING_PREFILL: Duration = Duration::from_secs(4);

/// A dispatcher of one engine, most of whose memory a stream takes that generates from
/// [`FILLING_PREFILL`] on, for 13 s at most.
fn filled_dispatcher(start: Instant) -> EngineDispatcher {
    let mut dispatcher = dispatcher(1);
    let mut filling = placement_request(0, 210_000);
    filling.max_output_tokens = 6_500;
    dispatcher.enqueue(filling, start);
    let decisions = dispatcher.decide(start);
    assert!(is_placed(&decisions[0].answer));
    dispatcher.record_first_event(JobId(0), start + FILLING_PREFILL);
    dispatcher
}

// Guards against prompts that wait for memory that is not expected to be free before their callers leave.
#[test]
fn a_prompt_is_refused_at_once_if_no_engine_is_expected_to_have_memory_before_its_caller_gives_up()
{
    let start = Instant::now();
    let now = start + FILLING_PREFILL;
    for (give_up_s, is_refused) in [(4, true), (14, false)] {
        let mut owner = filled_dispatcher(start);
        let mut successor = dispatcher(1);
        let vm = VmName::new("vm-1");
        successor.reconcile_jobs_of(&vm, &owner.reports_of(&vm, now), now);
        for dispatcher in [&mut owner, &mut successor] {
            let mut request = placement_request(1, 40_000);
            request.give_up_after = Duration::from_secs(give_up_s);
            dispatcher.enqueue(request, now);

            let decisions = dispatcher.decide(now);

            let is_too_late = |answer: &DispatchAnswer| {
                let reason = RefusalReason::TooLate;
                matches!(answer, DispatchAnswer::Refused { reason: given, .. } if *given == reason)
            };
            assert_eq!(decisions.len(), usize::from(is_refused));
            assert!(
                decisions
                    .iter()
                    .all(|decision| is_too_late(&decision.answer))
            );
        }
    }
}

#[test]
fn a_prompt_that_waits_for_memory_is_placed_as_soon_as_a_stream_ends_early() {
    let start = Instant::now();
    let mut dispatcher = filled_dispatcher(start);
    let mut request = placement_request(1, 40_000);
    request.give_up_after = Duration::from_secs(14);
    dispatcher.enqueue(request, start + FILLING_PREFILL);
    assert!(dispatcher.decide(start + FILLING_PREFILL).is_empty());

    dispatcher.end_job(JobId(0));
    let decisions = dispatcher.decide(start + FILLING_PREFILL + Duration::from_secs(2));

    assert_eq!(decisions.len(), 1);
    assert!(is_placed(&decisions[0].answer));
}

/// For any sequence of requests: each is decided on at most once, memory and slots are never
/// exceeded, and no job is left once all requests have ended.
#[test]
fn memory_and_slots_are_never_exceeded() {
    fn property(steps: Vec<(u16, u8, bool)>) -> bool {
        let mut now = Instant::now();
        let mut dispatcher = dispatcher(5);
        let spec = example_spec();
        let mut decided = BTreeSet::new();
        let mut request_count = 0;
        for (size, wait, ends) in steps {
            now += Duration::from_millis(u64::from(wait));
            dispatcher.enqueue(
                placement_request(request_count, u64::from(size) * 8 + 10),
                now,
            );
            request_count += 1;
            for decision in dispatcher.decide(now) {
                if !decided.insert(decision.job) {
                    return false;
                }
            }
            if ends {
                dispatcher.record_first_event(JobId(request_count / 2), now);
                dispatcher.end_job(JobId(request_count / 2));
            }
            let mut memory: BTreeMap<TargetName, u64> = BTreeMap::new();
            let mut leads: BTreeMap<TargetName, usize> = BTreeMap::new();
            for report in dispatcher.reports_of(&VmName::new("vm-1"), now) {
                *memory.entry(report.target.clone()).or_default() += report.memory_tokens;
                *leads.entry(report.target).or_default() += usize::from(!report.is_helper);
            }
            let exceeded = memory.values().any(|used| *used > spec.memory_tokens)
                || leads.values().any(|count| *count > spec.slots);
            if exceeded {
                return false;
            }
        }
        for job in 0..request_count {
            dispatcher.end_job(JobId(job));
        }
        dispatcher.waiting_count() == 0
            && dispatcher.reports_of(&VmName::new("vm-1"), now).is_empty()
    }
    check(41, property as fn(Vec<(u16, u8, bool)>) -> bool);
}

/// A dispatcher whose first `limited` engines named a rate limit, when these have no permit yet.
fn limited_dispatcher(engines: usize, limited: usize, requests_per_s: f64) -> EngineDispatcher {
    let spec = example_spec();
    let mut dispatcher = EngineDispatcher::new(spec.clone(), 0.0);
    let targets: Vec<EngineTarget> = (0..engines)
        .map(|index| EngineTarget {
            requests_per_s: (index < limited).then_some(requests_per_s),
            ..engine_target(index)
        })
        .collect();
    dispatcher.set_engines(&spec, 0.0, &targets);
    dispatcher
}

/// Sends a prompt of `prompt_tokens` every 20 ms for 10 s and returns each answer with its time;
/// placed requests end at once.
fn answers_over_time(
    dispatcher: &mut EngineDispatcher,
    prompt_tokens: &[u64],
) -> Vec<(Duration, u64, DispatchAnswer)> {
    let start = Instant::now();
    let mut answers = Vec::new();
    for step in 0..500_u64 {
        let elapsed = Duration::from_millis(20 * step);
        let tokens = prompt_tokens[step as usize % prompt_tokens.len()];
        dispatcher.enqueue(placement_request(step, tokens), start + elapsed);
        for decision in dispatcher.decide(start + elapsed) {
            dispatcher.end_job(decision.job);
            let tokens = prompt_tokens[decision.job.0 as usize % prompt_tokens.len()];
            answers.push((elapsed, tokens, decision.answer));
        }
    }
    answers
}

fn is_placed(answer: &DispatchAnswer) -> bool {
    matches!(answer, DispatchAnswer::Placed(_))
}

#[test]
fn limited_engines_get_their_limit_and_the_others_the_rest() {
    let mut dispatcher = limited_dispatcher(3, 2, 2.0);

    let answers = answers_over_time(&mut dispatcher, &[3_000, 120_000]);

    assert_eq!(answers.len(), 500);
    for engine in ["engine-0", "engine-1"] {
        let sent = answers.iter().filter(|(_, _, answer)| {
            matches!(answer, DispatchAnswer::Placed(placement) if placement.lead.as_str() == engine)
        });
        let count = sent.count();
        assert!(count <= 22, "{engine} got {count} in 10 s");
    }
    assert!(answers.iter().all(|(_, _, answer)| is_placed(answer)));
}

#[test]
fn requests_beyond_the_limits_of_all_engines_are_refused_as_limited() {
    let mut dispatcher = limited_dispatcher(3, 3, 2.0);

    let answers = answers_over_time(&mut dispatcher, &[3_000]);

    let placed = answers.iter().filter(|(_, _, answer)| is_placed(answer));
    let placed = placed.count();
    assert!((55..=66).contains(&placed), "{placed} of 60 in 10 s");
    let refused = answers.iter().filter(|(_, _, answer)| !is_placed(answer));
    for (_, _, answer) in refused {
        let is_limited = matches!(
            answer,
            DispatchAnswer::Refused { reason: RefusalReason::Limited, retry_after } if !retry_after.is_zero()
        );
        assert!(is_limited, "{answer:?}");
    }
    assert!(
        dispatcher.waiting_count() < 20,
        "{}",
        dispatcher.waiting_count()
    );
}

#[test]
fn long_prompts_are_served_while_all_engines_are_limited() {
    let mut dispatcher = limited_dispatcher(6, 6, 2.0);

    let mut tokens = [3_000; 25];
    tokens[24] = 120_000;
    let answers = answers_over_time(&mut dispatcher, &tokens);

    let long = answers.iter().filter(|(_, tokens, _)| *tokens == 120_000);
    let (placed, refused): (Vec<_>, Vec<_>) = long.partition(|(_, _, answer)| is_placed(answer));
    assert!(
        placed.len() >= 19 && refused.is_empty(),
        "{} and {}",
        placed.len(),
        refused.len()
    );
}
