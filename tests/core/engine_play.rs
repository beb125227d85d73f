//! Plays a load over the dispatcher with engines that follow their published formula.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use plantainnotch::fleet::routes::EngineSpec;
use plantainnotch::ids::{DomainName, TargetName, VmName};
use plantainnotch::policy::dispatch::{
    DispatchAnswer, EngineDispatcher, EnginePlacement, EngineTarget, JobId, PlacementAsk, SplitPart,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const CHUNK_TOKENS: f64 = 2_048.0;
const GIVE_UP_FLOOR: Duration = Duration::from_secs(2);

/// A kind of request of a load.
#[derive(Debug, Clone)]
pub struct LoadKind {
    pub per_s: f64,
    pub mean_prompt: f64,
    pub spread: f64,
    pub max_prompt: f64,
    pub events: f64,
    pub objective: Duration,
    pub pause: Duration,
    pub worth: f64,
}

/// One request of a load.
#[derive(Debug, Clone)]
pub struct LoadRequest {
    pub at: Duration,
    pub kind: usize,
    pub prompt: u64,
    pub events: u32,
}

/// The kinds of the Kigali cooperative, each at `factors` times its usual rate.
pub fn kigali_kinds(factors: [f64; 3]) -> Vec<LoadKind> {
    let kind = |per_s, mean, spread, max, events, objective, pause, worth| LoadKind {
        per_s,
        mean_prompt: mean,
        spread,
        max_prompt: max,
        events,
        objective: Duration::from_millis(objective),
        pause: Duration::from_millis(pause),
        worth,
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

/// Draws a load of `length` from `kinds`.
pub fn draw_load(
    kinds: &[LoadKind],
    from: Duration,
    length: Duration,
    seed: u64,
) -> Vec<LoadRequest> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut load = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / kind.per_s;
            if at > length.as_secs_f64() {
                break;
            }
            let prompt = draw_size(&mut rng, kind.mean_prompt, kind.spread).min(kind.max_prompt);
            let events = draw_size(&mut rng, kind.events, 0.6).clamp(1.0, kind.events * 2.5);
            load.push(LoadRequest {
                at: from + Duration::from_secs_f64(at),
                kind: index,
                prompt: prompt.max(50.0) as u64,
                events: events as u32,
            });
        }
    }
    load.sort_by_key(|request| request.at);
    load
}

fn draw_size(rng: &mut StdRng, mean: f64, spread: f64) -> f64 {
    let sigma = (1.0 + spread * spread).ln().sqrt();
    let uniform = |rng: &mut StdRng| 1.0 - rng.random::<f64>();
    let (a, b) = (uniform(rng), uniform(rng));
    let normal = (-2.0 * a.ln()).sqrt() * (2.0 * std::f64::consts::PI * b).cos();
    (mean.ln() - sigma * sigma / 2.0 + sigma * normal).exp()
}

/// How requests are placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlayPolicy {
    /// The dispatcher under test.
    Dispatcher,
    /// The next engine in turn.
    RoundRobin,
    /// The engine with the fewest requests.
    LeastLoaded,
    /// One queue in order of arrival; an engine takes the next when it has a free slot and
    /// reads nothing.
    SharedQueue,
}

/// What callers of one kind got.
#[derive(Debug, Clone, Default)]
pub struct KindOutcome {
    pub asked: usize,
    pub in_aim: usize,
    pub late: usize,
    pub refused: usize,
    pub left: usize,
    pub earned: f64,
    pub owed: f64,
    pub largest_asked: usize,
    pub largest_served: usize,
}

/// What callers got.
#[derive(Debug, Clone, Default)]
pub struct PlayReport {
    pub kinds: Vec<KindOutcome>,
}

impl PlayReport {
    pub fn worth(&self) -> f64 {
        let earned: f64 = self.kinds.iter().map(|kind| kind.earned).sum();
        let owed: f64 = self.kinds.iter().map(|kind| kind.owed).sum();
        earned / owed
    }

    pub fn in_aim(&self, kind: usize) -> f64 {
        self.kinds[kind].in_aim as f64 / self.kinds[kind].asked as f64
    }
}

struct PlayJob {
    request: LoadRequest,
    lead: usize,
    parts: usize,
    parts_left: usize,
    first_at: Option<Duration>,
    last_event: Duration,
    late_pause: bool,
    events_left: u32,
    memory: u64,
    done: bool,
}

#[derive(Clone)]
struct ReadingPart {
    job: u64,
    tokens_left: f64,
    ms_per_token: f64,
}

#[derive(Default)]
struct PlayEngine {
    down: bool,
    in_pass: bool,
    helping: Vec<ReadingPart>,
    reading: Vec<ReadingPart>,
    waiting: Vec<u64>,
    generating: Vec<u64>,
    finishing: Vec<u64>,
    produced: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PlayEvent {
    PassEnd(usize),
    Arrive(usize),
    Leave(u64),
    Tick,
    Down(usize),
}

/// A run of one load.
pub struct Play<'a> {
    spec: EngineSpec,
    kinds: &'a [LoadKind],
    load: &'a [LoadRequest],
    policy: PlayPolicy,
    start: Instant,
    engines: Vec<PlayEngine>,
    jobs: BTreeMap<u64, PlayJob>,
    queue: BinaryHeap<Reverse<(Duration, u64, PlayEvent)>>,
    sequence: u64,
    dispatcher: EngineDispatcher,
    waiting: BTreeMap<u64, usize>,
    shared: Vec<u64>,
    turn: usize,
    report: PlayReport,
}

/// Plays `load`; the engines in `lost` are down from the given times on.
pub fn play(
    policy: PlayPolicy,
    spec: &EngineSpec,
    kinds: &[LoadKind],
    load: &[LoadRequest],
    engines: usize,
    lost: &[(Duration, usize)],
) -> PlayReport {
    let mut play = Play {
        spec: spec.clone(),
        kinds,
        load,
        policy,
        start: Instant::now(),
        engines: (0..engines).map(|_| PlayEngine::default()).collect(),
        jobs: BTreeMap::new(),
        queue: BinaryHeap::new(),
        sequence: 0,
        dispatcher: EngineDispatcher::new(spec.clone(), 28.0),
        waiting: BTreeMap::new(),
        shared: Vec::new(),
        turn: 0,
        report: PlayReport {
            kinds: vec![KindOutcome::default(); kinds.len()],
        },
    };
    play.set_engines();
    for (index, request) in load.iter().enumerate() {
        play.push(request.at, PlayEvent::Arrive(index));
    }
    for (at, engine) in lost {
        play.push(*at, PlayEvent::Down(*engine));
    }
    play.run();
    play.report
}

fn engine_name(index: usize) -> TargetName {
    TargetName::new(format!("engine-{index:02}"))
}

impl Play<'_> {
    fn push(&mut self, at: Duration, event: PlayEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn set_engines(&mut self) {
        let targets: Vec<EngineTarget> = (0..self.engines.len())
            .filter(|index| !self.engines[*index].down)
            .map(|index| EngineTarget {
                name: engine_name(index),
                domain: DomainName::new(format!("domain-{}", index % 3)),
                cold_until: None,
            })
            .collect();
        let spec = self.spec.clone();
        self.dispatcher.set_engines(&spec, 28.0, &targets);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            match event {
                PlayEvent::Arrive(index) => self.arrive(at, index),
                PlayEvent::PassEnd(engine) => self.end_pass(at, engine),
                PlayEvent::Leave(job) => self.leave(at, job),
                PlayEvent::Down(engine) => self.take_down(at, engine),
                PlayEvent::Tick => {}
            }
            if self.policy == PlayPolicy::Dispatcher {
                self.decide(at);
            }
            for engine in 0..self.engines.len() {
                self.begin_pass(at, engine);
            }
        }
    }

    fn patience(&self, kind: usize) -> Duration {
        let kind = &self.kinds[kind];
        GIVE_UP_FLOOR.max(kind.objective * 4).max(kind.pause * 8)
    }

    fn owed(&self, request: &LoadRequest) -> f64 {
        let kind = &self.kinds[request.kind];
        kind.worth * (0.3 + 0.7 * request.prompt as f64 / kind.mean_prompt).min(4.0)
    }

    fn arrive(&mut self, at: Duration, index: usize) {
        let request = self.load[index].clone();
        let owed = self.owed(&request);
        let patience = self.patience(request.kind);
        let kind = self.kinds[request.kind].clone();
        let outcome = &mut self.report.kinds[request.kind];
        outcome.asked += 1;
        outcome.owed += owed;
        outcome.largest_asked += usize::from(request.prompt as f64 > kind.mean_prompt * 1.7);
        let job = index as u64;
        self.push(at + patience, PlayEvent::Leave(job));
        match self.policy {
            PlayPolicy::Dispatcher => {
                let ask = PlacementAsk {
                    job: JobId(job),
                    vm: VmName::new("vm"),
                    domain: DomainName::new(format!("domain-{}", index % 3)),
                    service: "llm".to_owned(),
                    team: None,
                    prompt: request.prompt,
                    output: u64::from(request.events) * 43,
                    objective: kind.objective,
                    pause: kind.pause,
                    give_up: patience,
                    avoid: Vec::new(),
                };
                self.waiting.insert(job, index);
                self.dispatcher.enqueue(ask, self.start + at);
            }
            PlayPolicy::RoundRobin => {
                let up: Vec<usize> = self.up();
                self.turn += 1;
                let lead = up[self.turn % up.len()];
                self.send_alone(index, lead);
            }
            PlayPolicy::LeastLoaded => {
                let lead = self.up().into_iter().min_by_key(|engine| {
                    let engine = &self.engines[*engine];
                    engine.waiting.len() + engine.reading.len() + engine.generating.len()
                });
                self.send_alone(index, lead.expect("an engine is up"));
            }
            PlayPolicy::SharedQueue => {
                self.shared.push(job);
                self.feed_shared();
            }
        }
    }

    fn up(&self) -> Vec<usize> {
        (0..self.engines.len())
            .filter(|engine| !self.engines[*engine].down)
            .collect()
    }

    fn feed_shared(&mut self) {
        while let Some(job) = self.shared.first().copied() {
            let free = self.up().into_iter().find(|engine| {
                let engine = &self.engines[*engine];
                engine.reading.is_empty()
                    && engine.waiting.is_empty()
                    && engine.generating.len() < self.spec.slots
            });
            let Some(engine) = free else { return };
            self.shared.remove(0);
            self.send_alone(job as usize, engine);
        }
    }

    fn send_alone(&mut self, index: usize, lead: usize) {
        let request = self.load[index].clone();
        if request.prompt + u64::from(request.events) * 43 > self.spec.memory_tokens {
            self.report.kinds[request.kind].refused += 1;
            return;
        }
        let placement = EnginePlacement {
            lead: engine_name(lead),
            lead_reserve: 0,
            helpers: Vec::new(),
            predicted: Duration::ZERO,
        };
        self.send(index, &placement);
    }

    fn send(&mut self, index: usize, placement: &EnginePlacement) {
        let request = self.load[index].clone();
        let number = |name: &TargetName| -> usize {
            name.as_str()
                .trim_start_matches("engine-")
                .parse()
                .expect("an engine's name ends in its number")
        };
        let lead = number(&placement.lead);
        let helpers: Vec<&SplitPart> = placement.helpers.iter().collect();
        let parts = helpers.len() + 1;
        let reserved: u64 = helpers.iter().map(|part| part.reserve).sum();
        let job = index as u64;
        let prompt = request.prompt as f64;
        let pairs_ms = prompt * prompt / 2.0 / 1e6 * self.spec.ms_per_million_pairs;
        let part = ReadingPart {
            job,
            tokens_left: prompt / parts as f64,
            ms_per_token: 1.0 / self.spec.read_per_ms + pairs_ms / prompt,
        };
        for helper in helpers {
            self.engines[number(&helper.target)]
                .helping
                .push(part.clone());
        }
        self.engines[lead].waiting.push(job);
        let memory = (request.prompt + u64::from(request.events) * 43).saturating_sub(reserved);
        self.jobs.insert(
            job,
            PlayJob {
                lead,
                parts,
                parts_left: parts,
                first_at: None,
                last_event: Duration::ZERO,
                late_pause: false,
                events_left: request.events,
                memory,
                done: false,
                request,
            },
        );
    }

    fn decide(&mut self, at: Duration) {
        let decisions = self.dispatcher.decide(self.start + at);
        for decision in decisions {
            let Some(index) = self.waiting.remove(&decision.job.0) else {
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
        if !self.waiting.is_empty() {
            let tick_waits = self
                .queue
                .iter()
                .any(|Reverse((_, _, event))| *event == PlayEvent::Tick);
            if !tick_waits {
                self.push(at + Duration::from_millis(10), PlayEvent::Tick);
            }
        }
    }

    fn begin_pass(&mut self, at: Duration, index: usize) {
        let slots = self.spec.slots;
        let memory_total = self.spec.memory_tokens;
        let engine = &mut self.engines[index];
        if engine.in_pass || engine.down {
            return;
        }
        engine.waiting.sort_by_key(|job| {
            let prompt = self.jobs.get(job).map_or(0, |held| held.request.prompt);
            (prompt > 16_000, *job)
        });
        while let Some(job) = engine.waiting.first().copied() {
            let used: u64 = engine
                .generating
                .iter()
                .chain(engine.reading.iter().map(|part| &part.job))
                .filter_map(|held| self.jobs.get(held))
                .map(|held| held.memory)
                .sum();
            let need = self.jobs[&job].memory;
            if engine.generating.len() + engine.reading.len() >= slots || used + need > memory_total
            {
                break;
            }
            engine.waiting.remove(0);
            let held = &self.jobs[&job];
            let prompt = held.request.prompt as f64;
            let pairs_ms = prompt * prompt / 2.0 / 1e6 * self.spec.ms_per_million_pairs;
            engine.reading.push(ReadingPart {
                job,
                tokens_left: prompt / held.parts as f64,
                ms_per_token: 1.0 / self.spec.read_per_ms + pairs_ms / prompt,
            });
        }
        if engine.helping.is_empty() && engine.reading.is_empty() && engine.generating.is_empty() {
            return;
        }
        let generating = engine.generating.len();
        let steps = if generating > 0 {
            self.spec.stride
        } else {
            1.0
        };
        let context: u64 = engine
            .generating
            .iter()
            .filter_map(|job| self.jobs.get(job))
            .map(|job| job.memory)
            .sum();
        let step = self.spec.step_ms
            + self.spec.step_ms_per_request * generating as f64
            + self.spec.step_ms_per_thousand * context as f64 / 1_000.0;
        let mut budget = CHUNK_TOKENS * steps;
        let mut millis = step * steps;
        let mut finished = Vec::new();
        for part in engine.helping.iter_mut().chain(engine.reading.iter_mut()) {
            let taken = part.tokens_left.min(budget);
            part.tokens_left -= taken;
            budget -= taken;
            millis += taken * part.ms_per_token;
            if part.tokens_left <= 0.5 {
                finished.push(part.job);
            }
            if budget <= 0.0 {
                break;
            }
        }
        engine.helping.retain(|part| part.tokens_left > 0.5);
        engine.reading.retain(|part| part.tokens_left > 0.5);
        engine.finishing = finished;
        engine.produced = generating > 0;
        engine.in_pass = true;
        let end = at + Duration::from_secs_f64(millis / 1_000.0);
        self.push(end, PlayEvent::PassEnd(index));
    }

    fn end_pass(&mut self, at: Duration, index: usize) {
        let engine = &mut self.engines[index];
        engine.in_pass = false;
        if engine.down {
            return;
        }
        let finishing = std::mem::take(&mut engine.finishing);
        let produced = engine.produced;
        let generating = engine.generating.clone();
        for job in generating {
            let Some(held) = self.jobs.get_mut(&job) else {
                continue;
            };
            if !produced {
                continue;
            }
            let pause = self.kinds[held.request.kind].pause;
            held.late_pause |= at - held.last_event > pause;
            held.last_event = at;
            held.events_left = held.events_left.saturating_sub(1);
            if held.events_left == 0 {
                held.done = true;
                self.engines[index].generating.retain(|other| *other != job);
                self.finish(job);
            }
        }
        for job in finishing {
            let Some(held) = self.jobs.get_mut(&job) else {
                continue;
            };
            held.parts_left -= 1;
            if held.parts_left == 0 {
                held.first_at = Some(at);
                held.last_event = at;
                held.events_left = held.events_left.saturating_sub(1);
                let lead = held.lead;
                if held.events_left == 0 {
                    held.done = true;
                    self.finish(job);
                } else {
                    self.engines[lead].generating.push(job);
                }
                let now = self.start + at;
                self.dispatcher.first_event(JobId(job), now);
            }
        }
        if self.policy == PlayPolicy::SharedQueue {
            self.feed_shared();
        }
    }

    fn finish(&mut self, job: u64) {
        let held = &self.jobs[&job];
        let kind = &self.kinds[held.request.kind];
        let owed = self.owed(&held.request);
        let first = held.first_at.unwrap_or_default() - held.request.at;
        let on_time = first <= kind.objective && !held.late_pause;
        let largest = held.request.prompt as f64 > kind.mean_prompt * 1.7;
        let outcome = &mut self.report.kinds[held.request.kind];
        outcome.largest_served += usize::from(largest);
        if on_time {
            outcome.in_aim += 1;
            outcome.earned += owed;
        } else {
            outcome.late += 1;
            outcome.earned += owed * 0.25;
        }
        self.dispatcher.end(JobId(job));
    }

    fn leave(&mut self, _at: Duration, job: u64) {
        let begun = self
            .jobs
            .get(&job)
            .is_some_and(|held| held.first_at.is_some() || held.done);
        let waits = self.waiting.remove(&job).is_some()
            || self.shared.contains(&job)
            || (self.jobs.contains_key(&job) && !begun);
        if !waits {
            return;
        }
        self.shared.retain(|other| *other != job);
        self.dispatcher.end(JobId(job));
        let kind = self.load[job as usize].kind;
        self.report.kinds[kind].left += 1;
        self.forget(job);
    }

    fn forget(&mut self, job: u64) {
        self.jobs.remove(&job);
        for engine in &mut self.engines {
            engine.waiting.retain(|other| *other != job);
            engine.generating.retain(|other| *other != job);
            engine.helping.retain(|part| part.job != job);
            engine.reading.retain(|part| part.job != job);
        }
    }

    fn take_down(&mut self, _at: Duration, index: usize) {
        self.engines[index].down = true;
        let lost: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, held)| held.lead == index && !held.done)
            .map(|(job, _)| *job)
            .collect();
        for job in lost {
            let kind = self.load[job as usize].kind;
            self.report.kinds[kind].left += 1;
            self.dispatcher.end(JobId(job));
            self.forget(job);
        }
        self.set_engines();
    }
}
