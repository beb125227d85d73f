//! Simulation of a load on engines that follow the performance model, under the dispatcher or a
//! baseline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use plantainnotch::fleet::routes::EngineSpec;
use plantainnotch::ids::{DomainName, TargetName, VmName};
use plantainnotch::policy::dispatch::{
    DispatchAnswer, EngineDispatcher, EnginePlacement, EngineTarget, JobId, JobReport,
    PlacementRequest, SplitPart,
};
use plantainnotch::policy::engine_model::pass_time;
use plantainnotch::policy::engine_pace::{
    GapLedger, GapWindow, PACE_REPORT_INTERVAL, PaceBook, PaceChange,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// An engine prefills in chunks, one in each decode step.
const MAX_CHUNK_TOKENS: f64 = 2_048.0;
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// A kind of request in a load.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Requests per second.
    pub rate: f64,
    pub mean_prompt_tokens: f64,
    /// Coefficient of variation of the prompt length.
    pub variation: f64,
    pub max_prompt_tokens: f64,
    /// Mean number of events in the response, of 43 tokens each.
    pub events: f64,
    pub objective: Duration,
    pub max_event_gap: Duration,
    /// Value of a prompt of mean length that is answered on time.
    pub value: f64,
}

#[derive(Debug, Clone)]
pub struct LoadRequest {
    pub at: Duration,
    pub kind: usize,
    pub prompt_tokens: u64,
    pub events: u32,
}

/// Kinds of requests with short, medium and long prompts, each at `factors` times its usual rate.
pub fn mixed_load_kinds(factors: [f64; 3]) -> Vec<RequestKind> {
    let kind = |rate, mean, variation, max, events, objective, gap, value| RequestKind {
        rate,
        mean_prompt_tokens: mean,
        variation,
        max_prompt_tokens: max,
        events,
        objective: Duration::from_millis(objective),
        max_event_gap: Duration::from_millis(gap),
        value,
    };
    vec![
        kind(
            29.7 * factors[0],
            4_960.0,
            0.9,
            23_800.0,
            31.6,
            300,
            250,
            1.3,
        ),
        kind(
            1.62 * factors[1],
            45_000.0,
            0.5,
            110_000.0,
            19.0,
            1_500,
            600,
            3.9,
        ),
        kind(
            1.37 * factors[2],
            133_000.0,
            0.55,
            600_000.0,
            15.8,
            3_000,
            1_000,
            15.0,
        ),
    ]
}

/// Generates Poisson arrivals of `kinds` over `length`, with log-normal lengths.
pub fn generate_load(
    kinds: &[RequestKind],
    from: Duration,
    length: Duration,
    seed: u64,
) -> Vec<LoadRequest> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut load = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / kind.rate;
            if at > length.as_secs_f64() {
                break;
            }
            let prompt = sample_log_normal(&mut rng, kind.mean_prompt_tokens, kind.variation)
                .min(kind.max_prompt_tokens);
            let events =
                sample_log_normal(&mut rng, kind.events, 0.6).clamp(1.0, kind.events * 2.5);
            load.push(LoadRequest {
                at: from + Duration::from_secs_f64(at),
                kind: index,
                prompt_tokens: prompt.max(50.0) as u64,
                events: events as u32,
            });
        }
    }
    load.sort_by_key(|request| request.at);
    load
}

fn sample_log_normal(rng: &mut StdRng, mean: f64, variation: f64) -> f64 {
    let sigma = (1.0 + variation * variation).ln().sqrt();
    let uniform = |rng: &mut StdRng| 1.0 - rng.random::<f64>();
    let (a, b) = (uniform(rng), uniform(rng));
    let normal = (-2.0 * a.ln()).sqrt() * (2.0 * std::f64::consts::PI * b).cos();
    (mean.ln() - sigma * sigma / 2.0 + sigma * normal).exp()
}

/// How requests are placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SimulationPolicy {
    /// The dispatcher under test.
    Dispatcher,
    /// The next engine in turn.
    RoundRobin,
    /// The engine with the fewest requests.
    LeastLoaded,
    /// One queue in order of arrival; an engine takes the next request when it has a free slot
    /// and prefills nothing.
    SharedQueue,
}

/// Outcomes of the requests of one kind.
#[derive(Debug, Clone, Default)]
pub struct KindOutcome {
    pub requests: usize,
    pub on_time: usize,
    pub late: usize,
    pub refused: usize,
    pub gave_up: usize,
    pub earned_value: f64,
    /// Value if all requests had been answered on time.
    pub full_value: f64,
    /// Requests with a prompt longer than 1.7 times the mean.
    pub longest_requests: usize,
    pub longest_served: usize,
}

/// Outcomes by kind of request.
#[derive(Debug, Clone, Default)]
pub struct SimulationReport {
    pub kinds: Vec<KindOutcome>,
}

impl SimulationReport {
    pub fn value_share(&self) -> f64 {
        let earned_value: f64 = self.kinds.iter().map(|kind| kind.earned_value).sum();
        let full_value: f64 = self.kinds.iter().map(|kind| kind.full_value).sum();
        earned_value / full_value
    }

    pub fn on_time_share(&self, kind: usize) -> f64 {
        self.kinds[kind].on_time as f64 / self.kinds[kind].requests as f64
    }
}

struct SimulatedJob {
    request: LoadRequest,
    lead: usize,
    parts: usize,
    parts_left: usize,
    first_event_at: Option<Duration>,
    last_event_at: Duration,
    has_late_event: bool,
    events_left: u32,
    memory_tokens: u64,
    is_done: bool,
}

#[derive(Clone)]
struct PrefillPart {
    job: u64,
    tokens_left: f64,
    ms_per_token: f64,
}

#[derive(Default)]
struct SimulatedEngine {
    is_down: bool,
    in_pass: bool,
    helper_parts: Vec<PrefillPart>,
    prefilling: Vec<PrefillPart>,
    waiting: Vec<u64>,
    generating: Vec<u64>,
    /// Jobs with a part whose prefill ends in the current pass.
    finished_parts: Vec<u64>,
    /// Whether the current pass generates for streams.
    generates: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    PassEnd(usize),
    Arrive(usize),
    CallerTimeout(u64),
    Tick,
    Outage(usize),
    /// The dispatcher's jobs are reported to the VM that is to replace it.
    ReportJobs,
    ReplaceOwner,
    ReportPaces,
}

/// What a dispatcher that replaces another one knows of the requests that run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SuccessorMemory {
    /// Nothing until the next reports, like a VM that restarts.
    Empty,
    /// The jobs of the last reports.
    Reported,
}

/// Time between the reports of jobs in a large fleet.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(950);

/// VMs that serve the requests in turn.
const SERVING_VMS: usize = 36;

/// An engine that works at a fraction of its speed for a time.
#[derive(Debug, Clone)]
pub struct Slowdown {
    pub engine: usize,
    pub from: Duration,
    pub until: Duration,
    pub factor: f64,
    /// Whether the engine reports its pace; engines without a slowdown report none.
    pub is_reported: bool,
}

/// The paces that the serving VMs measure, and what the dispatcher knows of them.
#[derive(Default)]
struct MeasuredPaces {
    windows: BTreeMap<u64, GapWindow>,
    ledgers: BTreeMap<usize, GapLedger>,
    book: PaceBook,
    changes: Vec<(Duration, PaceChange)>,
}

/// Simulates `load` under the dispatcher on engines of which some are slow; with `measures_paces`,
/// the dispatcher uses the paces that the serving VMs report, and their changes are returned.
pub fn simulate_slow_engines(
    spec: &EngineSpec,
    kinds: &[RequestKind],
    load: &[LoadRequest],
    engines: usize,
    slowdowns: &[Slowdown],
    measures_paces: bool,
) -> (SimulationReport, Vec<(Duration, PaceChange)>) {
    let mut simulation = new_simulation(SimulationPolicy::Dispatcher, spec, kinds, load, engines);
    simulation.slowdowns = slowdowns;
    if measures_paces {
        simulation.paces = Some(MeasuredPaces::default());
        let end = load.last().map_or(Duration::ZERO, |request| request.at);
        let mut at = PACE_REPORT_INTERVAL;
        while at < end {
            simulation.push(at, SimulationEvent::ReportPaces);
            at += PACE_REPORT_INTERVAL;
        }
    }
    simulation.run();
    let changes = simulation.paces.map(|paces| paces.changes);
    (simulation.report, changes.unwrap_or_default())
}

pub struct Simulation<'a> {
    spec: EngineSpec,
    kinds: &'a [RequestKind],
    load: &'a [LoadRequest],
    policy: SimulationPolicy,
    start: Instant,
    engines: Vec<SimulatedEngine>,
    jobs: BTreeMap<u64, SimulatedJob>,
    pending_events: BinaryHeap<Reverse<(Duration, u64, SimulationEvent)>>,
    last_sequence: u64,
    dispatcher: EngineDispatcher,
    undecided: BTreeMap<u64, usize>,
    shared_queue: Vec<u64>,
    last_engine: usize,
    reported_jobs: Vec<JobReport>,
    successor_memory: SuccessorMemory,
    slowdowns: &'a [Slowdown],
    paces: Option<MeasuredPaces>,
    report: SimulationReport,
}

/// Simulates `load` under the dispatcher, which is replaced at each of `replacements`.
pub fn simulate_replaced_owners(
    spec: &EngineSpec,
    kinds: &[RequestKind],
    load: &[LoadRequest],
    engines: usize,
    replacements: &[Duration],
    successor_memory: SuccessorMemory,
) -> SimulationReport {
    let mut simulation = new_simulation(SimulationPolicy::Dispatcher, spec, kinds, load, engines);
    simulation.successor_memory = successor_memory;
    let end = load.last().map_or(Duration::ZERO, |request| request.at);
    let mut reported_at = REPORT_INTERVAL;
    while reported_at < end {
        simulation.push(reported_at, SimulationEvent::ReportJobs);
        reported_at += REPORT_INTERVAL;
    }
    for at in replacements {
        simulation.push(*at, SimulationEvent::ReplaceOwner);
    }
    simulation.run();
    simulation.report
}

/// Simulates `load`; each engine in `outages` goes down for good at the time given.
pub fn simulate(
    policy: SimulationPolicy,
    spec: &EngineSpec,
    kinds: &[RequestKind],
    load: &[LoadRequest],
    engines: usize,
    outages: &[(Duration, usize)],
) -> SimulationReport {
    let mut simulation = new_simulation(policy, spec, kinds, load, engines);
    for (at, engine) in outages {
        simulation.push(*at, SimulationEvent::Outage(*engine));
    }
    simulation.run();
    simulation.report
}

fn new_simulation<'a>(
    policy: SimulationPolicy,
    spec: &EngineSpec,
    kinds: &'a [RequestKind],
    load: &'a [LoadRequest],
    engines: usize,
) -> Simulation<'a> {
    let mut simulation = Simulation {
        spec: spec.clone(),
        kinds,
        load,
        policy,
        start: Instant::now(),
        engines: (0..engines).map(|_| SimulatedEngine::default()).collect(),
        jobs: BTreeMap::new(),
        pending_events: BinaryHeap::new(),
        last_sequence: 0,
        dispatcher: EngineDispatcher::new(spec.clone(), 28.0),
        undecided: BTreeMap::new(),
        shared_queue: Vec::new(),
        last_engine: 0,
        reported_jobs: Vec::new(),
        successor_memory: SuccessorMemory::Reported,
        slowdowns: &[],
        paces: None,
        report: SimulationReport {
            kinds: vec![KindOutcome::default(); kinds.len()],
        },
    };
    simulation.set_engines();
    for (index, request) in load.iter().enumerate() {
        simulation.push(request.at, SimulationEvent::Arrive(index));
    }
    simulation
}

fn engine_name(index: usize) -> TargetName {
    TargetName::new(format!("engine-{index:02}"))
}

impl Simulation<'_> {
    fn push(&mut self, at: Duration, event: SimulationEvent) {
        self.last_sequence += 1;
        self.pending_events
            .push(Reverse((at, self.last_sequence, event)));
    }

    fn set_engines(&mut self) {
        let targets: Vec<EngineTarget> = (0..self.engines.len())
            .filter(|index| !self.engines[*index].is_down)
            .map(|index| EngineTarget {
                name: engine_name(index),
                domain: DomainName::new(format!("domain-{}", index % 3)),
                cold_until: None,
                requests_per_s: None,
            })
            .collect();
        let spec = self.spec.clone();
        self.dispatcher.set_engines(&spec, 28.0, &targets);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.pending_events.pop() {
            match event {
                SimulationEvent::Arrive(index) => self.arrive(at, index),
                SimulationEvent::PassEnd(engine) => self.end_pass(at, engine),
                SimulationEvent::CallerTimeout(job) => self.time_out_caller(at, job),
                SimulationEvent::Outage(engine) => self.stop_engine(at, engine),
                SimulationEvent::ReportJobs => self.report_jobs(at),
                SimulationEvent::ReplaceOwner => self.replace_owner(at),
                SimulationEvent::ReportPaces => self.report_paces(at),
                SimulationEvent::Tick => {}
            }
            if self.policy == SimulationPolicy::Dispatcher {
                self.decide(at);
            }
            for engine in 0..self.engines.len() {
                self.start_pass(at, engine);
            }
        }
    }

    fn caller_timeout(&self, kind: usize) -> Duration {
        let kind = &self.kinds[kind];
        MIN_CALLER_TIMEOUT
            .max(kind.objective * 4)
            .max(kind.max_event_gap * 8)
    }

    fn full_value(&self, request: &LoadRequest) -> f64 {
        let kind = &self.kinds[request.kind];
        kind.value * (0.3 + 0.7 * request.prompt_tokens as f64 / kind.mean_prompt_tokens).min(4.0)
    }

    fn arrive(&mut self, at: Duration, index: usize) {
        let request = self.load[index].clone();
        let full_value = self.full_value(&request);
        let caller_timeout = self.caller_timeout(request.kind);
        let kind = self.kinds[request.kind].clone();
        let outcome = &mut self.report.kinds[request.kind];
        outcome.requests += 1;
        outcome.full_value += full_value;
        outcome.longest_requests +=
            usize::from(request.prompt_tokens as f64 > kind.mean_prompt_tokens * 1.7);
        let job = index as u64;
        self.push(at + caller_timeout, SimulationEvent::CallerTimeout(job));
        match self.policy {
            SimulationPolicy::Dispatcher => self.enqueue(at, index),
            SimulationPolicy::RoundRobin => {
                let available_engines: Vec<usize> = self.available_engines();
                self.last_engine += 1;
                let lead = available_engines[self.last_engine % available_engines.len()];
                self.send_unsplit(index, lead);
            }
            SimulationPolicy::LeastLoaded => {
                let lead = self.available_engines().into_iter().min_by_key(|engine| {
                    let engine = &self.engines[*engine];
                    engine.waiting.len() + engine.prefilling.len() + engine.generating.len()
                });
                self.send_unsplit(index, lead.expect("an engine is up"));
            }
            SimulationPolicy::SharedQueue => {
                self.shared_queue.push(job);
                self.feed_from_shared_queue();
            }
        }
    }

    fn enqueue(&mut self, at: Duration, index: usize) {
        let request = &self.load[index];
        let kind = &self.kinds[request.kind];
        let caller_timeout = self.caller_timeout(request.kind);
        let waited = at - request.at;
        let placement_request = PlacementRequest {
            job: JobId(index as u64),
            vm: VmName::new("vm"),
            domain: DomainName::new(format!("domain-{}", index % 3)),
            service: "llm".to_owned(),
            team: None,
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: u64::from(request.events) * 43,
            objective: kind.objective.saturating_sub(waited),
            max_event_gap: kind.max_event_gap,
            give_up_after: caller_timeout.saturating_sub(waited),
            excluded_targets: Vec::new(),
        };
        self.undecided.insert(index as u64, index);
        self.dispatcher.enqueue(placement_request, self.start + at);
    }

    fn available_engines(&self) -> Vec<usize> {
        (0..self.engines.len())
            .filter(|engine| !self.engines[*engine].is_down)
            .collect()
    }

    fn feed_from_shared_queue(&mut self) {
        while let Some(job) = self.shared_queue.first().copied() {
            let free = self.available_engines().into_iter().find(|engine| {
                let engine = &self.engines[*engine];
                engine.prefilling.is_empty()
                    && engine.waiting.is_empty()
                    && engine.generating.len() < self.spec.slots
            });
            let Some(engine) = free else { return };
            self.shared_queue.remove(0);
            self.send_unsplit(job as usize, engine);
        }
    }

    fn send_unsplit(&mut self, index: usize, lead: usize) {
        let request = self.load[index].clone();
        if request.prompt_tokens + u64::from(request.events) * 43 > self.spec.memory_tokens {
            self.report.kinds[request.kind].refused += 1;
            return;
        }
        let placement = EnginePlacement {
            lead: engine_name(lead),
            lead_reserve_tokens: 0,
            helpers: Vec::new(),
            predicted_first_event: Duration::ZERO,
        };
        self.send(index, &placement);
    }

    fn send(&mut self, index: usize, placement: &EnginePlacement) {
        let request = self.load[index].clone();
        let engine_index = |name: &TargetName| -> usize {
            name.as_str()
                .trim_start_matches("engine-")
                .parse()
                .expect("an engine's name ends in its number")
        };
        let lead = engine_index(&placement.lead);
        let helpers: Vec<&SplitPart> = placement.helpers.iter().collect();
        let parts = helpers.len() + 1;
        let reserved: u64 = helpers.iter().map(|part| part.reserve_tokens).sum();
        let job = index as u64;
        let tokens = request.prompt_tokens as f64;
        let pairs_ms = tokens * tokens / 2.0 / 1e6 * self.spec.ms_per_million_pairs;
        let part = PrefillPart {
            job,
            tokens_left: tokens / parts as f64,
            ms_per_token: 1.0 / self.spec.prefill_tokens_per_ms + pairs_ms / tokens,
        };
        for helper in helpers {
            self.engines[engine_index(&helper.target)]
                .helper_parts
                .push(part.clone());
        }
        self.engines[lead].waiting.push(job);
        let memory_tokens =
            (request.prompt_tokens + u64::from(request.events) * 43).saturating_sub(reserved);
        self.jobs.insert(
            job,
            SimulatedJob {
                lead,
                parts,
                parts_left: parts,
                first_event_at: None,
                last_event_at: Duration::ZERO,
                has_late_event: false,
                events_left: request.events,
                memory_tokens,
                is_done: false,
                request,
            },
        );
    }

    fn decide(&mut self, at: Duration) {
        let decisions = self.dispatcher.decide(self.start + at);
        for decision in decisions {
            let Some(index) = self.undecided.remove(&decision.job.0) else {
                continue;
            };
            match decision.answer {
                DispatchAnswer::Placed(placement) => self.send(index, &placement),
                DispatchAnswer::Refused { .. } => {
                    let kind = self.load[index].kind;
                    self.report.kinds[kind].refused += 1;
                }
            }
        }
        if !self.undecided.is_empty() {
            let tick_is_pending = self
                .pending_events
                .iter()
                .any(|Reverse((_, _, event))| *event == SimulationEvent::Tick);
            if !tick_is_pending {
                self.push(at + Duration::from_millis(10), SimulationEvent::Tick);
            }
        }
    }

    fn start_pass(&mut self, at: Duration, index: usize) {
        let slowdown: f64 = self
            .slowdowns
            .iter()
            .filter(|slow| slow.engine == index && slow.from <= at && at < slow.until)
            .map(|slow| slow.factor)
            .product();
        let slots = self.spec.slots;
        let total_memory = self.spec.memory_tokens;
        let engine = &mut self.engines[index];
        if engine.in_pass || engine.is_down {
            return;
        }
        engine.waiting.sort_by_key(|job| {
            let prompt = self
                .jobs
                .get(job)
                .map_or(0, |simulated| simulated.request.prompt_tokens);
            (prompt > 16_000, *job)
        });
        while let Some(job) = engine.waiting.first().copied() {
            let used_memory: u64 = engine
                .generating
                .iter()
                .chain(engine.prefilling.iter().map(|part| &part.job))
                .filter_map(|id| self.jobs.get(id))
                .map(|simulated| simulated.memory_tokens)
                .sum();
            let needed_memory = self.jobs[&job].memory_tokens;
            if engine.generating.len() + engine.prefilling.len() >= slots
                || used_memory + needed_memory > total_memory
            {
                break;
            }
            engine.waiting.remove(0);
            let simulated = &self.jobs[&job];
            let tokens = simulated.request.prompt_tokens as f64;
            let pairs_ms = tokens * tokens / 2.0 / 1e6 * self.spec.ms_per_million_pairs;
            engine.prefilling.push(PrefillPart {
                job,
                tokens_left: tokens / simulated.parts as f64,
                ms_per_token: 1.0 / self.spec.prefill_tokens_per_ms + pairs_ms / tokens,
            });
        }
        if engine.helper_parts.is_empty()
            && engine.prefilling.is_empty()
            && engine.generating.is_empty()
        {
            return;
        }
        let generating = engine.generating.len();
        let steps = if generating > 0 {
            self.spec.steps_per_pass
        } else {
            1.0
        };
        let context: u64 = engine
            .generating
            .iter()
            .filter_map(|job| self.jobs.get(job))
            .map(|job| job.memory_tokens)
            .sum();
        let step_ms = self.spec.step_ms
            + self.spec.step_ms_per_request * generating as f64
            + self.spec.step_ms_per_thousand_tokens * context as f64 / 1_000.0;
        let mut token_budget = MAX_CHUNK_TOKENS * steps;
        let mut pass_ms = step_ms * steps;
        let mut finished_parts = Vec::new();
        for part in engine
            .helper_parts
            .iter_mut()
            .chain(engine.prefilling.iter_mut())
        {
            let prefilled_tokens = part.tokens_left.min(token_budget);
            part.tokens_left -= prefilled_tokens;
            token_budget -= prefilled_tokens;
            pass_ms += prefilled_tokens * part.ms_per_token;
            if part.tokens_left <= 0.5 {
                finished_parts.push(part.job);
            }
            if token_budget <= 0.0 {
                break;
            }
        }
        engine.helper_parts.retain(|part| part.tokens_left > 0.5);
        engine.prefilling.retain(|part| part.tokens_left > 0.5);
        engine.finished_parts = finished_parts;
        engine.generates = generating > 0;
        engine.in_pass = true;
        let ends_at = at + Duration::from_secs_f64(pass_ms * slowdown / 1_000.0);
        self.push(ends_at, SimulationEvent::PassEnd(index));
    }

    fn end_pass(&mut self, at: Duration, index: usize) {
        let engine = &mut self.engines[index];
        engine.in_pass = false;
        if engine.is_down {
            return;
        }
        let finished_parts = std::mem::take(&mut engine.finished_parts);
        let generates = engine.generates;
        let generating = engine.generating.clone();
        for job in generating {
            let Some(simulated) = self.jobs.get_mut(&job) else {
                continue;
            };
            if !generates {
                continue;
            }
            let max_gap = self.kinds[simulated.request.kind].max_event_gap;
            simulated.has_late_event |= at - simulated.last_event_at > max_gap;
            simulated.last_event_at = at;
            measure_gap(&mut self.paces, job, index, self.start + at);
            simulated.events_left = simulated.events_left.saturating_sub(1);
            if simulated.events_left == 0 {
                simulated.is_done = true;
                self.engines[index].generating.retain(|other| *other != job);
                self.finish(job);
            }
        }
        for job in finished_parts {
            let Some(simulated) = self.jobs.get_mut(&job) else {
                continue;
            };
            simulated.parts_left -= 1;
            if simulated.parts_left == 0 {
                simulated.first_event_at = Some(at);
                simulated.last_event_at = at;
                measure_gap(&mut self.paces, job, simulated.lead, self.start + at);
                simulated.events_left = simulated.events_left.saturating_sub(1);
                let lead = simulated.lead;
                if simulated.events_left == 0 {
                    simulated.is_done = true;
                    self.finish(job);
                } else {
                    self.engines[lead].generating.push(job);
                }
                let now = self.start + at;
                self.dispatcher.record_first_event(JobId(job), now);
            }
        }
        if self.policy == SimulationPolicy::SharedQueue {
            self.feed_from_shared_queue();
        }
    }

    fn finish(&mut self, job: u64) {
        let simulated = &self.jobs[&job];
        let kind = &self.kinds[simulated.request.kind];
        let full_value = self.full_value(&simulated.request);
        let first_event = simulated.first_event_at.unwrap_or_default() - simulated.request.at;
        let is_on_time = first_event <= kind.objective && !simulated.has_late_event;
        let is_longest = simulated.request.prompt_tokens as f64 > kind.mean_prompt_tokens * 1.7;
        let outcome = &mut self.report.kinds[simulated.request.kind];
        outcome.longest_served += usize::from(is_longest);
        if is_on_time {
            outcome.on_time += 1;
            outcome.earned_value += full_value;
        } else {
            outcome.late += 1;
            outcome.earned_value += full_value * 0.25;
        }
        self.dispatcher.end_job(JobId(job));
    }

    fn time_out_caller(&mut self, _at: Duration, job: u64) {
        let has_first_event = self
            .jobs
            .get(&job)
            .is_some_and(|simulated| simulated.first_event_at.is_some() || simulated.is_done);
        let is_waiting = self.undecided.remove(&job).is_some()
            || self.shared_queue.contains(&job)
            || (self.jobs.contains_key(&job) && !has_first_event);
        if !is_waiting {
            return;
        }
        self.shared_queue.retain(|other| *other != job);
        self.dispatcher.end_job(JobId(job));
        let kind = self.load[job as usize].kind;
        self.report.kinds[kind].gave_up += 1;
        self.remove_job(job);
    }

    fn remove_job(&mut self, job: u64) {
        self.jobs.remove(&job);
        for engine in &mut self.engines {
            engine.waiting.retain(|other| *other != job);
            engine.generating.retain(|other| *other != job);
            engine.helper_parts.retain(|part| part.job != job);
            engine.prefilling.retain(|part| part.job != job);
        }
    }

    fn report_paces(&mut self, at: Duration) {
        let Some(paces) = &mut self.paces else { return };
        let now = self.start + at;
        let changes = paces.book.refresh(self.dispatcher.engine_loads(), now);
        paces
            .changes
            .extend(changes.into_iter().map(|change| (at, change)));
        self.dispatcher.set_paces(&paces.book.slow_engines());
        // A VM knows of its own requests only.
        let known_pass = pass_time(&self.spec, 1, 0);
        for (vm, ledger) in &mut paces.ledgers {
            let vm = VmName::new(format!("vm-{vm}"));
            if let Some(report) = ledger.report(&vm, |_| Some(known_pass), now) {
                paces.book.apply(&report, now);
            }
        }
        for target in paces.book.due_queries(now) {
            let reported = self
                .slowdowns
                .iter()
                .find(|slow| slow.is_reported && engine_name(slow.engine) == target);
            // An engine reports its state as of a few hundred ms ago.
            let state_at = at.saturating_sub(Duration::from_millis(300));
            let is_slow = |slow: &Slowdown| slow.from <= state_at && state_at < slow.until;
            let pace = reported.map(|slow| if is_slow(slow) { slow.factor } else { 1.0 });
            paces.book.record_answer(&target, pace, now);
        }
    }

    fn report_jobs(&mut self, at: Duration) {
        let now = self.start + at;
        let vm = VmName::new("vm");
        self.reported_jobs = self.serving_vms_jobs(at);
        let jobs = self.reported_jobs.clone();
        self.dispatcher.reconcile_jobs_of(&vm, &jobs, now);
    }

    /// The jobs that the serving VMs know, whoever placed them.
    fn serving_vms_jobs(&self, at: Duration) -> Vec<JobReport> {
        let running: BTreeSet<u64> = self
            .jobs
            .iter()
            .filter(|(_, simulated)| !simulated.is_done)
            .map(|(job, _)| *job)
            .collect();
        let known = self
            .dispatcher
            .reports_of(&VmName::new("vm"), self.start + at);
        let mut jobs: Vec<JobReport> = self
            .reported_jobs
            .iter()
            .filter(|old| known.iter().all(|job| job.job != old.job))
            .cloned()
            .chain(known.iter().cloned())
            .collect();
        jobs.retain(|job| running.contains(&job.job.0));
        jobs
    }

    fn replace_owner(&mut self, at: Duration) {
        // The serving VMs go on knowing what they were told; the successor only what was reported.
        let known_by_vms = self.serving_vms_jobs(at);
        self.dispatcher = EngineDispatcher::new(self.spec.clone(), 28.0);
        self.set_engines();
        if self.successor_memory == SuccessorMemory::Reported {
            let vm = VmName::new("vm");
            let jobs = self.reported_jobs.clone();
            self.dispatcher
                .reconcile_jobs_of(&vm, &jobs, self.start + at);
        }
        self.reported_jobs = known_by_vms;
        let waiting: Vec<usize> = std::mem::take(&mut self.undecided).into_values().collect();
        for index in waiting {
            self.enqueue(at, index);
        }
    }

    fn stop_engine(&mut self, _at: Duration, index: usize) {
        self.engines[index].is_down = true;
        let lost_jobs: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, simulated)| simulated.lead == index && !simulated.is_done)
            .map(|(job, _)| *job)
            .collect();
        for job in lost_jobs {
            let kind = self.load[job as usize].kind;
            self.report.kinds[kind].gave_up += 1;
            self.dispatcher.end_job(JobId(job));
            self.remove_job(job);
        }
        self.set_engines();
    }
}

/// Records an event of a stream at the VM that serves it.
fn measure_gap(paces: &mut Option<MeasuredPaces>, job: u64, engine: usize, now: Instant) {
    let Some(paces) = paces else { return };
    let window = paces.windows.entry(job).or_default();
    if let Some(gap) = window.record_event(now, true) {
        let vm = job as usize % SERVING_VMS;
        let ledger = paces.ledgers.entry(vm).or_default();
        ledger.record(&engine_name(engine), JobId(job), gap, now);
    }
}
