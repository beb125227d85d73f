//! `notch-fake decisions`: measures what placement decisions cost, without a network.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};

use crate::ids::{DomainName, TargetName, VmName};
use crate::policy::dispatch::{EngineDispatcher, EngineTarget, JobId, PlacementRequest};
use crate::policy::engine_model::example_spec;

const DOMAINS: usize = 3;
const VMS: u64 = 60;
/// Slots of an engine that are in use while no prompt waits.
const SLOTS_IN_USE: usize = 11;
const SLOTS: usize = 12;
/// Steps that are made at least, however long they take.
const MIN_STEPS: u32 = 3;

/// Flags of `notch-fake decisions`.
#[derive(Debug, Clone)]
pub struct DecisionsOptions {
    engines: Vec<usize>,
    waiting: Vec<usize>,
    measure_ms: u64,
}

/// The command line of `notch-fake decisions`.
pub fn options() -> impl Parser<DecisionsOptions> {
    let engines = long("engines")
        .help("Number of engines; may be repeated; 60 and 300 by default")
        .argument::<usize>("COUNT")
        .many();
    let waiting = long("waiting")
        .help("Number of waiting prompts; may be repeated; 0, 1000 and 10000 by default")
        .argument::<usize>("COUNT")
        .many();
    let measure_ms = long("measure-ms")
        .help("Time to measure each combination for")
        .argument::<u64>("MS")
        .fallback(1_000);
    construct!(DecisionsOptions {
        engines,
        waiting,
        measure_ms,
    })
}

/// Prints one line for each combination of the numbers of engines and of waiting prompts. In each
/// step a prompt arrives, another request ends, and the dispatcher decides once.
pub fn run(options: &DecisionsOptions) {
    let or_default = |given: &[usize], default: &[usize]| {
        let counts = if given.is_empty() { default } else { given };
        counts.to_vec()
    };
    println!("engines  running  waiting  decisions/s  us/decision");
    for engines in or_default(&options.engines, &[60, 300]) {
        for waiting in or_default(&options.waiting, &[0, 1_000, 10_000]) {
            let mut load = DecisionLoad::new(engines, waiting);
            let time = load.mean_step_time(Duration::from_millis(options.measure_ms));
            println!(
                "{engines:7}  {:7}  {waiting:7}  {:11.0}  {:11.1}",
                load.running.len(),
                1.0 / time.as_secs_f64(),
                time.as_secs_f64() * 1e6,
            );
        }
    }
}

/// A dispatcher whose engines are full of short prompts, or nearly so if no prompt waits.
struct DecisionLoad {
    dispatcher: EngineDispatcher,
    now: Instant,
    job_count: u64,
    /// Jobs that were placed, in that order.
    running: VecDeque<JobId>,
}

impl DecisionLoad {
    fn new(engine_count: usize, waiting: usize) -> Self {
        let mut spec = example_spec();
        spec.slots = SLOTS;
        let targets: Vec<EngineTarget> = (0..engine_count)
            .map(|index| EngineTarget {
                name: TargetName::new(format!("engine-{index:03}")),
                domain: DomainName::new(format!("domain-{}", index % DOMAINS)),
                cold_until: None,
                requests_per_s: None,
            })
            .collect();
        let mut dispatcher = EngineDispatcher::new(spec.clone(), 0.0);
        dispatcher.set_engines(&spec, 0.0, &targets);
        let mut load = Self {
            dispatcher,
            now: Instant::now(),
            job_count: 0,
            running: VecDeque::new(),
        };
        let slots_in_use = if waiting == 0 { SLOTS_IN_USE } else { SLOTS };
        for _ in 0..engine_count * slots_in_use {
            load.enqueue();
            load.decide();
        }
        for _ in 0..waiting {
            load.enqueue();
        }
        load.decide();
        load
    }

    fn enqueue(&mut self) {
        self.job_count += 1;
        let request = PlacementRequest {
            job: JobId(self.job_count),
            vm: VmName::new(format!("vm-{}", self.job_count % VMS)),
            domain: DomainName::new(format!("domain-{}", self.job_count % DOMAINS as u64)),
            service: "llm".to_owned(),
            team: None,
            prompt_tokens: 3_000 + self.job_count * 7_919 % 4_000,
            max_output_tokens: 1_500,
            objective: Duration::from_millis(250),
            max_event_gap: Duration::from_millis(200),
            // Long enough that no prompt is refused behind thousands of others.
            give_up_after: Duration::from_secs(3_600),
            excluded_targets: Vec::new(),
        };
        self.dispatcher.enqueue(request, self.now);
    }

    fn decide(&mut self) {
        for decision in self.dispatcher.decide(self.now) {
            self.dispatcher.record_first_event(decision.job, self.now);
            self.running.push_back(decision.job);
        }
    }

    /// Mean time of a step, measured for about `measured_for`.
    fn mean_step_time(&mut self, measured_for: Duration) -> Duration {
        let started_at = Instant::now();
        let mut steps = 0;
        while steps < MIN_STEPS || started_at.elapsed() < measured_for {
            // Keeps the jobs from expiring, however many steps are made.
            self.now += Duration::from_micros(10);
            self.enqueue();
            if let Some(job) = self.running.pop_front() {
                self.dispatcher.end_job(job);
            }
            self.decide();
            steps += 1;
        }
        started_at.elapsed() / steps
    }
}
