//! One owner of placement for hundreds of engines: how long its decisions take, and what callers
//! lose when it is replaced.

use std::time::{Duration, Instant};

use plantainnotch::ids::{DomainName, TargetName, VmName};
use plantainnotch::policy::dispatch::{EngineDispatcher, EngineTarget, JobId, PlacementRequest};
use plantainnotch::policy::engine_model::example_spec;

use crate::engine_simulation::{
    LoadRequest, RequestKind, SimulationPolicy, SuccessorMemory, generate_load, mixed_load_kinds,
    simulate, simulate_replaced_owners,
};

const ENGINES: usize = 14;
const COLD_REQUESTS_PER_S: f64 = 28.0;
/// Interval at which the owner decides on waiting requests: a decision must not take longer.
const DECISION_INTERVAL: Duration = Duration::from_millis(10);
const DECISIONS_MEASURED: u64 = 40;
const STREAMS_PER_ENGINE: u64 = 5;

/// Short prompts for five seconds, then many long ones.
fn load_with_phase_change(seed: u64) -> (Vec<RequestKind>, Vec<LoadRequest>) {
    let short_phase = mixed_load_kinds([2.4, 0.5, 0.05]);
    let long_phase = mixed_load_kinds([0.36, 1.3, 2.2]);
    let phase = Duration::from_secs(5);
    let mut load = generate_load(&short_phase, Duration::ZERO, phase, seed);
    load.extend(generate_load(&long_phase, phase, phase * 3, seed + 1));
    (long_phase, load)
}

fn replacements() -> Vec<Duration> {
    (1..7).map(|n| Duration::from_millis(n * 2_900)).collect()
}

fn mean_value_share(share: impl Fn(u64) -> f64) -> f64 {
    let seeds = 8;
    (0..seeds).map(|seed| share(seed * 10)).sum::<f64>() / seeds as f64
}

/// The load of a heavy phase, in which the owner is replaced every three seconds.
#[test]
fn a_successor_that_got_reports_keeps_more_value_than_one_that_restarted() {
    let spec = example_spec();
    let share_with = |memory: SuccessorMemory| {
        mean_value_share(|seed| {
            let (kinds, load) = load_with_phase_change(seed);
            simulate_replaced_owners(&spec, &kinds, &load, ENGINES, &replacements(), memory)
                .value_share()
        })
    };
    let undisturbed = mean_value_share(|seed| {
        let (kinds, load) = load_with_phase_change(seed);
        simulate(
            SimulationPolicy::Dispatcher,
            &spec,
            &kinds,
            &load,
            ENGINES,
            &[],
        )
        .value_share()
    });

    let informed = share_with(SuccessorMemory::Reported);
    let empty = share_with(SuccessorMemory::Empty);

    println!("undisturbed {undisturbed:.3}, informed {informed:.3}, empty {empty:.3}");
    assert!(informed > empty, "informed {informed:.3}, empty {empty:.3}");
    for policy in [
        SimulationPolicy::RoundRobin,
        SimulationPolicy::LeastLoaded,
        SimulationPolicy::SharedQueue,
    ] {
        let baseline = mean_value_share(|seed| {
            let (kinds, load) = load_with_phase_change(seed);
            simulate(policy, &spec, &kinds, &load, ENGINES, &[]).value_share()
        });
        println!("{policy:?} {baseline:.3}");
        assert!(
            informed > baseline,
            "{policy:?}: {baseline:.3}, informed {informed:.3}"
        );
    }
}

fn loaded_dispatcher(engine_count: usize, now: Instant) -> EngineDispatcher {
    let spec = example_spec();
    let targets: Vec<EngineTarget> = (0..engine_count)
        .map(|index| EngineTarget {
            name: TargetName::new(format!("engine-{index:04}")),
            domain: DomainName::new(format!("domain-{}", index % 5)),
            cold_until: None,
            requests_per_s: None,
        })
        .collect();
    let mut dispatcher = EngineDispatcher::new(spec.clone(), COLD_REQUESTS_PER_S);
    dispatcher.set_engines(&spec, COLD_REQUESTS_PER_S, &targets);
    for job in 0..engine_count as u64 * STREAMS_PER_ENGINE {
        dispatcher.enqueue(request(job, 5_000), now);
    }
    dispatcher.decide(now);
    dispatcher
}

fn request(job: u64, prompt_tokens: u64) -> PlacementRequest {
    PlacementRequest {
        job: JobId(job),
        vm: VmName::new(format!("vm-{}", job % 195)),
        domain: DomainName::new(format!("domain-{}", job % 5)),
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

/// Shortest of the measured times, which other work on the machine lengthens least.
fn shortest_decision(engine_count: usize, prompt_tokens: u64) -> Duration {
    let now = Instant::now();
    let mut dispatcher = loaded_dispatcher(engine_count, now);
    (0..DECISIONS_MEASURED)
        .map(|number| {
            dispatcher.enqueue(request(u64::MAX - number, prompt_tokens), now);
            let started_at = Instant::now();
            dispatcher.decide(now);
            started_at.elapsed()
        })
        .min()
        .expect("some decisions were measured")
}

#[test]
fn one_owner_decides_in_time_for_hundreds_and_thousands_of_engines() {
    for engine_count in [112, 2_400] {
        for prompt_tokens in [5_000, 190_000] {
            let time = shortest_decision(engine_count, prompt_tokens);

            println!("{engine_count} engines, {prompt_tokens} tokens: {time:?}");
            assert!(
                time <= DECISION_INTERVAL,
                "{engine_count} engines, {prompt_tokens} tokens: {time:?}"
            );
        }
    }
}
