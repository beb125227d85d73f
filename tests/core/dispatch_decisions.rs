//! Compares the dispatcher's decisions with recorded ones of the implementation that computed
//! every sum and every choice anew for each prompt.

use std::time::{Duration, Instant};

use plantainnotch::ids::{DomainName, TargetName, VmName};
use plantainnotch::policy::dispatch::{
    DispatchAnswer, EngineDispatcher, EngineTarget, JobId, PlacementRequest,
};
use plantainnotch::policy::engine_model::example_spec;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3::Xxh3;

const ENGINES: usize = 12;
const SLOTS: usize = 6;
const STEPS: usize = 3_000;

/// Outcome of a sequence of requests, first events, ends and reports.
#[derive(Debug, PartialEq)]
struct DecisionRecord {
    /// Hash of all decisions in order, and of the jobs known at the end.
    digest: u64,
    placed: usize,
    refused: usize,
}

fn engine_targets(limited: usize) -> Vec<EngineTarget> {
    (0..ENGINES)
        .map(|index| EngineTarget {
            name: TargetName::new(format!("engine-{index:02}")),
            domain: DomainName::new(format!("domain-{}", index % 3)),
            cold_until: None,
            requests_per_s: (index < limited).then_some(4.0),
        })
        .collect()
}

fn placement_request(job: u64, rng: &mut StdRng) -> PlacementRequest {
    let (prompt_tokens, objective_ms, gap_ms) = match rng.random_range(0..10) {
        0 => (rng.random_range(60_000..700_000), 3_000, 1_000),
        1 => (rng.random_range(10_000..60_000), 1_500, 600),
        _ => (rng.random_range(500..23_800), 250, 200),
    };
    let excluded_count = rng.random_range(0..6_usize).saturating_sub(4);
    let excluded_targets = (0..excluded_count)
        .map(|_| TargetName::new(format!("engine-{:02}", rng.random_range(0..ENGINES))))
        .collect();
    PlacementRequest {
        job: JobId(job),
        vm: VmName::new(format!("vm-{}", rng.random_range(0..3))),
        domain: DomainName::new(format!("domain-{}", job % 3)),
        service: "llm".to_owned(),
        team: None,
        prompt_tokens,
        max_output_tokens: rng.random_range(0..3_000),
        objective: Duration::from_millis(objective_ms),
        max_event_gap: Duration::from_millis(gap_ms),
        give_up_after: Duration::from_millis(rng.random_range(100..8_000)),
        excluded_targets,
    }
}

/// Plays a seeded sequence on engines of which the first `limited` named a rate limit.
fn record_decisions(seed: u64, cold_requests_per_s: f64, limited: usize) -> DecisionRecord {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut spec = example_spec();
    spec.slots = SLOTS;
    let mut dispatcher = EngineDispatcher::new(spec.clone(), cold_requests_per_s);
    dispatcher.set_engines(&spec, cold_requests_per_s, &engine_targets(limited));
    let mut hasher = Xxh3::new();
    let mut record = DecisionRecord {
        digest: 0,
        placed: 0,
        refused: 0,
    };
    let mut now = Instant::now();
    let mut job_count = 0;
    for _ in 0..STEPS {
        now += Duration::from_micros(rng.random_range(0..9_000));
        let known_job = JobId(rng.random_range(0..job_count + 1));
        let recent_job = JobId(job_count.saturating_sub(rng.random_range(0..60)));
        match rng.random_range(0..12) {
            0..=4 => {
                for _ in 0..rng.random_range(1..4) {
                    dispatcher.enqueue(placement_request(job_count, &mut rng), now);
                    job_count += 1;
                }
            }
            5..=7 => dispatcher.record_first_event(recent_job, now),
            8 | 9 => dispatcher.end_job(recent_job),
            10 => dispatcher.end_job(known_job),
            _ => {
                let vm = VmName::new(format!("vm-{}", rng.random_range(0..3)));
                let mut reports = dispatcher.reports_of(&vm, now);
                reports.retain(|_| rng.random_bool(0.9));
                dispatcher.reconcile_jobs_of(&vm, &reports, now + Duration::from_millis(300));
            }
        }
        for decision in dispatcher.decide(now) {
            hasher.update(format!("{decision:?}").as_bytes());
            match decision.answer {
                DispatchAnswer::Placed(_) => record.placed += 1,
                DispatchAnswer::Refused { .. } => record.refused += 1,
            }
        }
    }
    for vm in 0..3 {
        let reports = dispatcher.reports_of(&VmName::new(format!("vm-{vm}")), now);
        hasher.update(format!("{reports:?}").as_bytes());
    }
    record.digest = hasher.digest();
    record
}

/// Guards against sums that are out of date and against skipped prompts whose result has changed:
/// both would place a prompt elsewhere, later, or not at all.
#[test]
fn decisions_equal_the_recorded_ones_of_the_straightforward_computation() {
    for (seed, cold_requests_per_s, limited, digest, placed, refused) in [
        (1, 0.0, 0, 9_263_352_006_683_330_456, 687, 1_273),
        (2, 6.0, 0, 18_161_707_470_062_053_014, 557, 1_472),
        (3, 0.0, 5, 17_634_958_359_952_399_216, 642, 1_279),
        (4, 0.0, ENGINES, 13_860_979_356_407_906_285, 592, 1_718),
    ] {
        let record = record_decisions(seed, cold_requests_per_s, limited);

        let recorded = DecisionRecord {
            digest,
            placed,
            refused,
        };
        assert_eq!(record, recorded, "seed {seed}");
    }
}
