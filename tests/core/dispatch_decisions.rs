//! Compares the dispatcher's decisions with recorded ones of the implementation that computed
//! every sum and every choice anew for each prompt.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use plantainnotch::ids::{DomainName, TargetName, TeamName, VmName};
use plantainnotch::policy::dispatch::{
    DispatchAnswer, EngineDispatcher, EngineTarget, JobId, PlacementRequest, QueueRules,
    RankedDecision, RequestRank,
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

/// What a dispatcher with a long queue is given, beside the rules of the queue.
#[derive(Debug, Clone, Copy)]
struct QueuedChanges {
    seed: u64,
    rules: QueueRules,
    /// Shortest time until a caller gives up, in ms; the longest is ten times that.
    min_give_up_ms: u64,
    /// Whether all engines name rate limits now and then.
    limits: bool,
}

const RANKED: QueueRules = QueueRules {
    ranks: true,
    shares: true,
};
const SHARED: QueueRules = QueueRules {
    ranks: false,
    shares: true,
};

const LONG_QUEUES: [QueuedChanges; 5] = [
    changes(
        11,
        QueueRules {
            ranks: false,
            shares: false,
        },
        4_000,
        false,
    ),
    changes(12, SHARED, 400, false),
    changes(13, RANKED, 4_000, false),
    changes(14, RANKED, 400, true),
    changes(
        15,
        QueueRules {
            ranks: true,
            shares: false,
        },
        1_000,
        false,
    ),
];

const fn changes(seed: u64, rules: QueueRules, min_give_up_ms: u64, limits: bool) -> QueuedChanges {
    QueuedChanges {
        seed,
        rules,
        min_give_up_ms,
        limits,
    }
}

impl QueuedChanges {
    fn enqueue(&self, dispatcher: &mut EngineDispatcher, job: u64, rng: &mut StdRng, now: Instant) {
        let mut request = placement_request(job, rng);
        // Half of the requests are those of one account, which gets over its share.
        let account = rng.random_range(0..10_u32).saturating_sub(4);
        request.team = (account < 5).then(|| TeamName::new(format!("account-{account}")));
        let give_up_ms = rng.random_range(self.min_give_up_ms..self.min_give_up_ms * 10);
        request.give_up_after = Duration::from_millis(give_up_ms);
        let rank = RequestRank::among(rng.random_range(0..3), &[0, 1, 2]);
        dispatcher.enqueue_ranked(request, rank.filter(|_| rng.random_bool(0.9)), now);
    }

    fn change_engines(&self, dispatcher: &mut EngineDispatcher, rng: &mut StdRng) {
        let mut spec = example_spec();
        spec.slots = SLOTS;
        spec.prefill_tokens_per_ms = [150.0, 206.0][rng.random_range(0..2)];
        let limited = if self.limits && rng.random_bool(0.5) {
            ENGINES
        } else {
            3
        };
        let mut targets = engine_targets(limited);
        targets.truncate(rng.random_range(0..3 * ENGINES).min(ENGINES));
        dispatcher.set_engines(&spec, 0.0, &targets);
        let slow = TargetName::new(format!("engine-{:02}", rng.random_range(0..ENGINES)));
        dispatcher.set_paces(&BTreeMap::from([(slow, 1.8)]));
    }

    /// Plays the changes, with `decide` for the decisions, and returns the decisions of each step and the
    /// largest number of waiting prompts.
    fn decisions(
        &self,
        decide: impl Fn(&mut EngineDispatcher, Instant) -> Vec<RankedDecision>,
    ) -> (Vec<Vec<RankedDecision>>, usize) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut dispatcher = EngineDispatcher::new(example_spec(), 0.0);
        self.change_engines(&mut dispatcher, &mut rng);
        dispatcher.set_queue_rules(self.rules);
        let (mut steps, mut most_waiting) = (Vec::new(), 0);
        let (mut now, mut job_count) = (Instant::now(), 0);
        for _ in 0..STEPS {
            now += Duration::from_micros(rng.random_range(0..6_000));
            let recent_job = JobId(job_count - rng.random_range(0..job_count.min(400) + 1));
            match rng.random_range(0..100) {
                0..40 => {
                    for _ in 0..rng.random_range(1..8) {
                        self.enqueue(&mut dispatcher, job_count, &mut rng, now);
                        job_count += 1;
                    }
                }
                40..65 => dispatcher.record_first_event(recent_job, now),
                65..95 => dispatcher.end_job(recent_job),
                95 => self.change_engines(&mut dispatcher, &mut rng),
                96 if rng.random_bool(0.1) => dispatcher.drop_jobs_of(&VmName::new("vm-1")),
                _ => {
                    let vm = VmName::new(format!("vm-{}", rng.random_range(0..3)));
                    let mut reports = dispatcher.reports_of(&vm, now);
                    reports.retain(|_| rng.random_bool(0.9));
                    dispatcher.reconcile_jobs_of(&vm, &reports, now + Duration::from_millis(300));
                }
            }
            steps.push(decide(&mut dispatcher, now));
            most_waiting = most_waiting.max(dispatcher.waiting_count());
        }
        (steps, most_waiting)
    }
}

/// Guards against an order of the queue, or a prompt that is passed over, that differs from the sorted
/// queue in which every prompt was evaluated. The values were recorded with that implementation.
#[test]
fn decisions_on_long_queues_equal_the_recorded_ones() {
    let recorded = [
        (9_058_972_496_694_706_256, 1_420),
        (6_961_856_113_751_312_607, 299),
        (12_394_216_838_329_237_837, 1_141),
        (5_584_094_487_310_430_116, 153),
        (7_048_528_986_709_567_794, 387),
    ];
    for (changes, recorded) in LONG_QUEUES.iter().zip(recorded) {
        let (steps, most_waiting) = changes.decisions(EngineDispatcher::decide_ranked);

        let mut hasher = Xxh3::new();
        for ranked in steps.iter().flatten() {
            let RankedDecision {
                decision,
                rank,
                share,
                returned,
                promised_in,
            } = ranked;
            // The form in which the values were recorded, when decisions had no other fields.
            let text = format!(
                "RankedDecision {{ decision: {decision:?}, rank: {rank:?}, share: {share:?} }}"
            );
            hasher.update(text.as_bytes());
            assert!(returned.is_none() && promised_in.is_none());
        }
        assert_eq!((hasher.digest(), most_waiting), recorded, "{changes:?}");
    }
}

/// Guards against a prompt that is passed over although it can be placed or is to be refused, on more
/// loads than are recorded.
#[test]
fn decisions_equal_those_of_sorting_and_evaluating_the_whole_queue() {
    for seed in 100..115 {
        let kind = LONG_QUEUES[seed as usize % LONG_QUEUES.len()];
        let changes = QueuedChanges { seed, ..kind };

        let (ordered, _) = changes.decisions(EngineDispatcher::decide_ranked);
        let (exhaustive, _) = changes.decisions(EngineDispatcher::decide_exhaustively);

        for (step, decisions) in ordered.iter().enumerate() {
            let (ordered, exhaustive) =
                (format!("{decisions:?}"), format!("{:?}", exhaustive[step]));
            assert_eq!(ordered, exhaustive, "{changes:?}, step {step}");
        }
    }
}
