//! Which engines read a prompt, which prompts wait, and which are refused at once.
//!
//! Answers the load of the users' heavy phases: many short prompts beside a few that keep
//! an engine busy for seconds. Short prompts are packed on few engines; a long one is read
//! in parts on those that are left, so that each is soon free for the next.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::engine_model::{generate_time, pass_time, read_time};
use crate::fleet::routes::EngineSpec;
use crate::ids::{DomainName, TargetName, TeamName, VmName};

/// A prompt that one engine reads within this is short: it fits between two events of
/// a stream that must pause for 250 ms at most.
const SHORT_READ: Duration = Duration::from_millis(90);
/// A stream that runs for longer was held up before, and fails at its deadline if that goes on.
const FAILING_AGE: Duration = Duration::from_secs(4);
/// A prompt that one engine reads within this may go beside streams when no engine is free.
const BRIEF_READ: Duration = Duration::from_millis(170);
/// Share of a late stream's value that a further long pause costs: a few of them, and it
/// does not end in its time.
const LATE_HARM_SHARE: f64 = 0.3;
/// Share of a request's value that is left when it is late.
const LATE_VALUE: f64 = 0.25;
/// Share of a request's value that a first event just within its objective costs: engines
/// that read longer hold up whatever comes next.
const SLOWNESS_SHARE: f64 = 0.15;
/// Share of the allowed pause that a pass may take.
const PAUSE_SHARE: f64 = 0.75;
/// Share of the allowed pause beyond which a stream counts as late.
const PAUSE_LIMIT: f64 = 0.92;
/// Value of a prompt grows with this power of its length: an archive of 130,000 tokens is
/// worth about twelve checks of 5,000.
const VALUE_EXPONENT: f64 = 0.75;
/// Share of an engine full of short prompts that is left for long reading.
const LEAST_LANE: f64 = 0.3;
/// Engines that one prompt may be split over: the lead and 16 helpers.
const MAX_PARTS: usize = 17;
/// Streams of short prompts on an engine before the next engine is opened.
const PACK_LIMIT: usize = 13;
/// Share of the objective within which a prediction counts as safe.
const SAFE_SHARE: f64 = 0.75;
/// Share of an engine's memory that is planned for.
const MEMORY_SHARE: f64 = 0.96;
/// Share of a cold target's limit that is used.
const COLD_SHARE: f64 = 0.75;
/// An engine whose long reading ends within this counts as free.
const NEARLY_FREE: Duration = Duration::from_millis(15);
/// How long a job counts after its predicted end when nobody reported one.
const JOB_EXPIRY: Duration = Duration::from_secs(20);
/// How old a VM's report of its jobs may be when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Share of the objective that may be queueing for a prompt that is late at any rate.
const LATE_WAIT_SHARE: f64 = 0.35;

/// Identifies one request at one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A request that wants an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementAsk {
    /// The request.
    pub job: JobId,
    /// The VM that serves it.
    pub vm: VmName,
    /// That VM's failure domain.
    pub domain: DomainName,
    /// The service.
    pub service: String,
    /// The team.
    pub team: Option<TeamName>,
    /// Prompt tokens.
    pub prompt: u64,
    /// Tokens that may be generated.
    pub output: u64,
    /// What is left of the objective for the first event.
    pub objective: Duration,
    /// Longest pause between events that is in time.
    pub pause: Duration,
    /// When the caller leaves for want of a first event, from now.
    pub give_up: Duration,
    /// Targets that failed this request.
    pub avoid: Vec<TargetName>,
}

/// One engine's part in a split prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SplitPart {
    /// The engine.
    pub target: TargetName,
    /// Tokens of memory to set aside there; 0 when it only reads.
    pub reserve: u64,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EnginePlacement {
    /// The engine that gets the request.
    pub lead: TargetName,
    /// Tokens of memory to set aside at the lead itself; 0 for none.
    pub lead_reserve: u64,
    /// Engines that read parts of it.
    pub helpers: Vec<SplitPart>,
    /// Predicted time to the first event.
    pub predicted: Duration,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It does not fit the memory of all engines together.
    TooLarge,
    /// No engine takes work.
    NoTarget,
    /// Its objective would be lost, and those of others with it.
    Overload,
    /// It could not begin before its caller leaves.
    TooLate,
}

impl RefusalReason {
    /// The reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::NoTarget => "no_target",
            Self::Overload => "overload",
            Self::TooLate => "too_late",
        }
    }
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DispatchAnswer {
    /// It goes to engines now.
    Placed(EnginePlacement),
    /// It is refused; it did not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// An answer to a request that waited.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchDecision {
    /// The request.
    pub job: JobId,
    /// What becomes of it.
    pub answer: DispatchAnswer,
}

/// An engine that takes new work.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTarget {
    /// Its name.
    pub name: TargetName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Until when it counts as cold, if it does.
    pub cold_until: Option<Instant>,
}

/// A request's claim on one engine, as VMs report it to coordinators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobReport {
    /// The request.
    pub job: JobId,
    /// The VM that serves it.
    pub vm: VmName,
    /// The engine.
    pub target: TargetName,
    /// Prompt tokens in its context on this engine.
    pub context: u64,
    /// Memory tokens on this engine.
    pub memory: u64,
    /// What is left of its reading; zero once it generates.
    pub reading: Duration,
    /// Tokens of the whole prompt.
    pub prompt: u64,
    /// Longest pause between its events that is in time.
    pub pause: Duration,
    /// Whether its whole prompt counts as short.
    pub short: bool,
    /// Whether it only reads a part here.
    pub helper: bool,
}

#[derive(Debug, Clone)]
struct EngineJob {
    report: JobReport,
    read_until: Option<Instant>,
    booked: Instant,
    expires: Instant,
    /// Late already, so that a further pause costs nothing.
    spoiled: bool,
}

#[derive(Debug)]
struct EngineLedger {
    target: EngineTarget,
    usable: bool,
    jobs: Vec<EngineJob>,
    sends: Vec<Instant>,
}

#[derive(Debug, Clone)]
struct WaitingAsk {
    ask: PlacementAsk,
    since: Instant,
}

impl WaitingAsk {
    fn objective_at(&self) -> Instant {
        self.since + self.ask.objective
    }

    fn leaves_at(&self) -> Instant {
        self.since + self.ask.give_up
    }
}

/// Engines of one service, their jobs, and the requests that wait for them.
#[derive(Debug)]
pub struct EngineDispatcher {
    spec: EngineSpec,
    cold_per_s: f64,
    share: f64,
    engines: BTreeMap<TargetName, EngineLedger>,
    waiting: Vec<WaitingAsk>,
}

impl EngineDispatcher {
    /// A dispatcher without engines. `cold_per_s` bounds requests a second to a cold one.
    pub fn new(spec: EngineSpec, cold_per_s: f64) -> Self {
        Self {
            spec,
            cold_per_s,
            share: 1.0,
            engines: BTreeMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Sets the share of cold limits that this dispatcher may use, from 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// How the engines work.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Replaces how the engines work and the list of those that take new work.
    pub fn set_engines(&mut self, spec: &EngineSpec, cold_per_s: f64, targets: &[EngineTarget]) {
        if self.spec != *spec {
            self.spec = spec.clone();
        }
        self.cold_per_s = cold_per_s;
        for engine in self.engines.values_mut() {
            engine.usable = false;
        }
        for target in targets {
            let engine = self
                .engines
                .entry(target.name.clone())
                .or_insert_with(|| EngineLedger {
                    target: target.clone(),
                    usable: true,
                    jobs: Vec::new(),
                    sends: Vec::new(),
                });
            engine.target = target.clone();
            engine.usable = true;
        }
        self.engines
            .retain(|_, engine| engine.usable || !engine.jobs.is_empty());
    }

    /// Queues a request; the next [`Self::decide`] decides on it.
    pub fn enqueue(&mut self, ask: PlacementAsk, now: Instant) {
        self.waiting.push(WaitingAsk { ask, since: now });
    }

    /// Decides on all that wait: places, refuses, or leaves them waiting.
    pub fn decide(&mut self, now: Instant) -> Vec<DispatchDecision> {
        self.expire_jobs(now);
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_cached_key(|waiting| {
            let short = read_time(&self.spec, waiting.ask.prompt, 1) <= SHORT_READ;
            let late = waiting.objective_at() <= now + self.typical_time(waiting.ask.prompt);
            (!short, late, waiting.objective_at(), waiting.ask.job)
        });
        let mut decisions = Vec::new();
        let mut ahead = Duration::ZERO;
        for candidate in waiting {
            let answer = self.decide_one(&candidate, ahead, now);
            match answer {
                Some(answer) => decisions.push(DispatchDecision {
                    job: candidate.ask.job,
                    answer,
                }),
                None => {
                    ahead += read_time(&self.spec, candidate.ask.prompt, 1);
                    self.waiting.push(candidate);
                }
            }
        }
        decisions
    }

    fn decide_one(
        &mut self,
        waiting: &WaitingAsk,
        ahead: Duration,
        now: Instant,
    ) -> Option<DispatchAnswer> {
        let ask = &waiting.ask;
        let usable = self.usable_count();
        if usable == 0 {
            return Some(refuse(RefusalReason::NoTarget, MIN_RETRY_AFTER * 2));
        }
        let needed = ask.prompt + ask.output;
        let room = self.planned_memory() * usable.min(MAX_PARTS) as u64;
        if needed > room {
            return Some(refuse(RefusalReason::TooLarge, MIN_RETRY_AFTER * 4));
        }
        let alone = read_time(&self.spec, ask.prompt, 1);
        let short = alone <= BRIEF_READ;
        let placed = if alone <= SHORT_READ {
            self.place_short(waiting, now)
        } else if short {
            self.place_long(waiting, now)
                .or_else(|| self.place_short(waiting, now))
        } else if ahead.is_zero() || waiting.objective_at() > now {
            self.place_long(waiting, now)
        } else {
            None
        };
        if let Some(placement) = placed {
            self.book(ask, &placement, now);
            return Some(DispatchAnswer::Placed(placement));
        }
        self.refusal(waiting, ahead, short, now)
    }

    /// Refuses a request that waits in vain, or whose waiting would cost others their
    /// objectives.
    fn refusal(
        &self,
        waiting: &WaitingAsk,
        ahead: Duration,
        short: bool,
        now: Instant,
    ) -> Option<DispatchAnswer> {
        let own = self.least_time(waiting.ask.prompt);
        let soonest = self.soonest_first_event(waiting.ask.prompt, ahead, now);
        let backlog = soonest.saturating_sub(own);
        let predicted = now + soonest;
        let retry_after = backlog.max(MIN_RETRY_AFTER);
        if predicted > waiting.leaves_at() {
            return Some(refuse(RefusalReason::TooLate, retry_after));
        }
        if short || predicted <= waiting.objective_at() {
            return None;
        }
        let bearable = waiting.ask.objective.mul_f64(LATE_WAIT_SHARE);
        (backlog > bearable.max(MIN_RETRY_AFTER))
            .then(|| refuse(RefusalReason::Overload, retry_after))
    }

    fn usable_count(&self) -> usize {
        self.engines.values().filter(|engine| engine.usable).count()
    }

    fn planned_memory(&self) -> u64 {
        (self.spec.memory_tokens as f64 * MEMORY_SHARE) as u64
    }

    /// Engines' worth of reading that streams of short prompts leave to long ones.
    fn reading_lanes(&self) -> f64 {
        self.engines
            .values()
            .filter(|engine| engine.usable)
            .map(|engine| {
                let taken = engine.shorts() as f64 / PACK_LIMIT as f64;
                (1.0 - taken).max(LEAST_LANE)
            })
            .sum::<f64>()
            .max(LEAST_LANE)
    }

    /// Time to the first event of a long prompt that begins as soon as engines are free,
    /// after what goes before it in the queue.
    fn soonest_first_event(&self, prompt: u64, ahead: Duration, now: Instant) -> Duration {
        let mut free_in: Vec<Duration> = self
            .engines
            .values()
            .filter(|engine| engine.usable)
            .map(|engine| engine.long_reading_left(now))
            .collect();
        free_in.sort_unstable();
        let queue = ahead.div_f64(self.reading_lanes());
        let pass = pass_time(&self.spec, 1, prompt);
        free_in
            .into_iter()
            .take(MAX_PARTS)
            .enumerate()
            .map(|(index, free)| free + queue + read_time(&self.spec, prompt, index + 1) + pass)
            .min()
            .unwrap_or(Duration::MAX)
    }

    /// Time to the first event if the prompt began now on as many engines as it may use.
    fn least_time(&self, prompt: u64) -> Duration {
        let parts = self.usable_count().clamp(1, MAX_PARTS);
        read_time(&self.spec, prompt, parts) + pass_time(&self.spec, 1, prompt)
    }

    /// Time to the first event of a prompt that begins now on engines as busy as usual.
    fn typical_time(&self, prompt: u64) -> Duration {
        let read = read_time(&self.spec, prompt, 1);
        if read > SHORT_READ {
            return Duration::ZERO;
        }
        let half = self.spec.slots / 2;
        read + pass_time(&self.spec, half, prompt * half as u64).mul_f64(1.5)
    }

    fn place_short(&self, waiting: &WaitingAsk, now: Instant) -> Option<EnginePlacement> {
        let ask = &waiting.ask;
        let own_read = read_time(&self.spec, ask.prompt, 1);
        let left = waiting.objective_at().saturating_duration_since(now);
        let memory = ask.prompt + ask.output;
        let open = self.engines.values().filter(|engine| {
            engine.usable
                && !ask.avoid.contains(&engine.target.name)
                && engine.running() < self.spec.slots
                && engine.memory_used() + memory <= self.planned_memory()
                && self.bears_another(engine, now)
        });
        let predicted = |engine: &EngineLedger| {
            let pass = self.pass_of(engine, ask.prompt);
            engine.unread(now) + own_read + pass.mul_f64(1.5)
        };
        let best = open.min_by_key(|engine| {
            let time = predicted(engine);
            let pass = self.pass_of(engine, ask.prompt);
            let next_pause = pass + engine.unread(now) + own_read;
            let safe = time <= left.mul_f64(SAFE_SHARE)
                && next_pause <= engine.least_pause(ask.pause).mul_f64(PAUSE_SHARE);
            let full = engine.shorts() >= PACK_LIMIT;
            (
                !safe,
                if safe { Duration::ZERO } else { time },
                full,
                if full {
                    engine.running() as i64
                } else {
                    -(engine.tender() as i64)
                },
                engine.target.domain != ask.domain,
                &engine.target.name,
            )
        })?;
        let time = predicted(best);
        (now + time <= waiting.leaves_at()).then(|| EnginePlacement {
            lead: best.target.name.clone(),
            lead_reserve: 0,
            helpers: Vec::new(),
            predicted: time,
        })
    }

    fn pass_of(&self, engine: &EngineLedger, extra: u64) -> Duration {
        pass_time(&self.spec, engine.running() + 1, engine.context() + extra)
    }

    fn bears_another(&self, engine: &EngineLedger, now: Instant) -> bool {
        if self.cold_per_s <= 0.0 {
            return true;
        }
        let recent = engine
            .sends
            .iter()
            .filter(|at| now.saturating_duration_since(**at) < Duration::from_secs(1))
            .count();
        let limit = (self.cold_per_s * COLD_SHARE * self.share).max(1.0);
        (recent as f64) < limit
    }

    fn place_long(&self, waiting: &WaitingAsk, now: Instant) -> Option<EnginePlacement> {
        let ask = &waiting.ask;
        let mut free: Vec<&EngineLedger> = self
            .engines
            .values()
            .filter(|engine| {
                engine.usable
                    && !ask.avoid.contains(&engine.target.name)
                    && engine.running() < self.spec.slots
                    && engine.long_reading_left(now) <= NEARLY_FREE
                    && self.bears_another(engine, now)
            })
            .collect();
        free.sort_by_cached_key(|engine| {
            let risk = engine.generating_value().round() as u64;
            (engine.tender(), risk, engine.target.name.clone())
        });
        let left = waiting.objective_at().saturating_duration_since(now);
        let needed = self.memory_parts(&free, ask.prompt + ask.output)?;
        let parts = self.part_count(&free, needed, ask, left, now)?;
        let read = read_time(&self.spec, ask.prompt, parts);
        let chosen = &free[..parts];
        let slowest = chosen
            .iter()
            .map(|engine| self.pass_of(engine, ask.prompt / parts as u64))
            .max()?;
        let predicted = read + slowest.mul_f64(1.5);
        if now + predicted > waiting.leaves_at() {
            return None;
        }
        Some(self.split(chosen, ask, predicted))
    }

    /// Over how many of `free`, in order, a long prompt is split; none if it should wait for
    /// better engines. `needed` hold its memory, `left` remains of its objective.
    fn part_count(
        &self,
        free: &[&EngineLedger],
        needed: usize,
        ask: &PlacementAsk,
        left: Duration,
        now: Instant,
    ) -> Option<usize> {
        let value = prompt_value(ask.prompt);
        let most = free.len().min(MAX_PARTS);
        let gain = |parts: usize| {
            let read = read_time(&self.spec, ask.prompt, parts);
            let harm: f64 = free[..parts]
                .iter()
                .map(|engine| engine.harm_of(read, self.pass_of(engine, 0), now))
                .sum();
            let slowest = read + self.pass_of(free[parts - 1], 0);
            value * earned_share(slowest, left) - harm
        };
        let best = (needed..=most).max_by(|a, b| gain(*a).total_cmp(&gain(*b)))?;
        if gain(best) >= self.gain_of_waiting(ask, left, now) {
            return Some(best);
        }
        None
    }

    /// What is earned by waiting until all engines without streams of short prompts have
    /// read what they are reading.
    fn gain_of_waiting(&self, ask: &PlacementAsk, left: Duration, now: Instant) -> f64 {
        let clean: Vec<&EngineLedger> = self
            .engines
            .values()
            .filter(|engine| engine.usable && engine.tender() == 0)
            .collect();
        let wait = clean
            .iter()
            .map(|engine| engine.long_reading_left(now))
            .max()
            .unwrap_or(Duration::ZERO);
        let memory: u64 = clean.iter().map(|engine| self.memory_left(engine)).sum();
        if wait <= NEARLY_FREE || memory < ask.prompt + ask.output {
            return 0.0;
        }
        let parts = clean.len().min(MAX_PARTS);
        let read = read_time(&self.spec, ask.prompt, parts);
        prompt_value(ask.prompt) * earned_share(wait + read + self.pass_of(clean[0], 0), left)
    }

    /// How many of `free`, in order, hold `memory` tokens; none if all together do not.
    fn memory_parts(&self, free: &[&EngineLedger], memory: u64) -> Option<usize> {
        let mut held = 0;
        for (index, engine) in free.iter().take(MAX_PARTS).enumerate() {
            held += self.memory_left(engine);
            if held >= memory {
                return Some(index + 1);
            }
        }
        None
    }

    fn memory_left(&self, engine: &EngineLedger) -> u64 {
        self.planned_memory().saturating_sub(engine.memory_used())
    }

    fn split(
        &self,
        chosen: &[&EngineLedger],
        ask: &PlacementAsk,
        predicted: Duration,
    ) -> EnginePlacement {
        let memory = ask.prompt + ask.output;
        let lead = chosen
            .iter()
            .max_by_key(|engine| {
                (
                    self.memory_left(engine) >= memory,
                    engine.target.domain == ask.domain,
                    Reverse(engine.tender()),
                    self.memory_left(engine),
                )
            })
            .expect("a split has an engine");
        let mut others: Vec<&&EngineLedger> = chosen
            .iter()
            .filter(|engine| engine.target.name != lead.target.name)
            .collect();
        others.sort_by_key(|engine| Reverse(self.memory_left(engine)));
        let mut missing = memory.saturating_sub(self.memory_left(lead));
        let helpers = others
            .into_iter()
            .map(|engine| {
                let reserve = missing.min(self.memory_left(engine));
                missing -= reserve;
                SplitPart {
                    target: engine.target.name.clone(),
                    reserve,
                }
            })
            .collect();
        EnginePlacement {
            lead: lead.target.name.clone(),
            lead_reserve: 0,
            helpers,
            predicted,
        }
    }

    fn book(&mut self, ask: &PlacementAsk, placement: &EnginePlacement, now: Instant) {
        let parts = 1 + placement.helpers.len();
        let read = read_time(&self.spec, ask.prompt, parts);
        let short = read_time(&self.spec, ask.prompt, 1) <= SHORT_READ;
        let reserved: u64 = placement.helpers.iter().map(|part| part.reserve).sum();
        let life = read + generate_time(&self.spec, ask.prompt, ask.output) + JOB_EXPIRY;
        let lead_memory = (ask.prompt + ask.output).saturating_sub(reserved);
        let mut claims = vec![(&placement.lead, lead_memory, false)];
        claims.extend(
            placement
                .helpers
                .iter()
                .map(|part| (&part.target, part.reserve, true)),
        );
        for (target, memory, helper) in claims {
            let report = JobReport {
                job: ask.job,
                vm: ask.vm.clone(),
                target: target.clone(),
                context: if helper {
                    memory
                } else {
                    ask.prompt / parts as u64
                },
                memory,
                reading: read,
                prompt: ask.prompt,
                pause: ask.pause,
                short,
                helper,
            };
            let pass = self
                .engines
                .get(target)
                .map(|engine| self.pass_of(engine, 0));
            if let Some(engine) = self.engines.get_mut(target) {
                if !short {
                    engine.spoil(read, pass.unwrap_or_default(), now);
                }
                let begins = now + engine.reading_left(now);
                engine
                    .sends
                    .retain(|at| now.saturating_duration_since(*at) < Duration::from_secs(1));
                engine.sends.push(now);
                engine.jobs.push(EngineJob {
                    report,
                    read_until: Some(begins + read),
                    booked: now,
                    expires: now + life,
                    spoiled: false,
                });
            }
        }
    }

    /// Notes a placement that another coordinator decided on.
    pub fn adopt(&mut self, ask: &PlacementAsk, placement: &EnginePlacement, now: Instant) {
        self.book(ask, placement, now);
    }

    /// Notes that a request generates: its parts are read.
    pub fn first_event(&mut self, job: JobId) {
        for engine in self.engines.values_mut() {
            engine.jobs.retain(|held| {
                held.report.job != job || !held.report.helper || held.report.memory > 0
            });
            for held in &mut engine.jobs {
                if held.report.job == job {
                    held.read_until = None;
                }
            }
        }
    }

    /// Notes that a request ended, or left the queue.
    pub fn end(&mut self, job: JobId) {
        self.waiting.retain(|waiting| waiting.ask.job != job);
        for engine in self.engines.values_mut() {
            engine.jobs.retain(|held| held.report.job != job);
        }
    }

    /// The jobs of `vm`, for a coordinator that may have to take over.
    pub fn reports_of(&self, vm: &VmName, now: Instant) -> Vec<JobReport> {
        self.engines
            .values()
            .flat_map(|engine| &engine.jobs)
            .filter(|held| held.report.vm == *vm)
            .map(|held| JobReport {
                reading: held
                    .read_until
                    .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
                ..held.report.clone()
            })
            .collect()
    }

    /// Replaces what is known of a VM's jobs, but for those younger than the report may be.
    pub fn replace_jobs_of(&mut self, vm: &VmName, reports: &[JobReport], now: Instant) {
        for engine in self.engines.values_mut() {
            let target = &engine.target.name;
            let known = std::mem::take(&mut engine.jobs);
            engine.jobs = known
                .into_iter()
                .filter(|held| {
                    held.report.vm != *vm
                        || reports
                            .iter()
                            .any(|report| report.job == held.report.job && report.target == *target)
                        || now.saturating_duration_since(held.booked) < REPORT_LAG
                })
                .collect();
        }
        for report in reports {
            let Some(engine) = self.engines.get_mut(&report.target) else {
                continue;
            };
            if engine.jobs.iter().any(|held| held.report.job == report.job) {
                continue;
            }
            engine.jobs.push(EngineJob {
                report: report.clone(),
                read_until: (!report.reading.is_zero()).then(|| now + report.reading),
                booked: now,
                expires: now + JOB_EXPIRY,
                spoiled: false,
            });
        }
    }

    /// Forgets the jobs and waiting requests of a VM that died.
    pub fn drop_vm(&mut self, vm: &VmName) {
        self.waiting.retain(|waiting| waiting.ask.vm != *vm);
        for engine in self.engines.values_mut() {
            engine.jobs.retain(|held| held.report.vm != *vm);
        }
    }

    fn expire_jobs(&mut self, now: Instant) {
        for engine in self.engines.values_mut() {
            engine.jobs.retain(|held| now < held.expires);
        }
    }
}

impl EngineJob {
    /// Whether the stream's next pause would be too long.
    fn is_held_up_by(&self, pause: Duration) -> bool {
        let begun = self.report.short || self.read_until.is_none();
        begun && !self.report.helper && pause > self.report.pause.mul_f64(PAUSE_LIMIT)
    }
}

impl EngineLedger {
    fn running(&self) -> usize {
        self.jobs.iter().filter(|held| !held.report.helper).count()
    }

    fn shorts(&self) -> usize {
        self.jobs.iter().filter(|held| held.report.short).count()
    }

    /// Value of the requests that generate here.
    fn generating_value(&self) -> f64 {
        self.generating()
            .filter(|held| !held.spoiled)
            .map(|held| prompt_value(held.report.prompt))
            .sum()
    }

    fn generating(&self) -> impl Iterator<Item = &EngineJob> {
        self.jobs
            .iter()
            .filter(|held| held.read_until.is_none() && !held.report.helper)
    }

    /// What a part that takes `read` costs the streams here: those that pause too long
    /// are late.
    fn harm_of(&self, read: Duration, pass: Duration, now: Instant) -> f64 {
        let pause = read + pass + self.unread(now);
        self.jobs
            .iter()
            .filter(|held| held.is_held_up_by(pause))
            .map(|held| {
                let age = now.saturating_duration_since(held.booked);
                let share = match held.spoiled {
                    _ if age > FAILING_AGE => 1.0,
                    true => LATE_VALUE * LATE_HARM_SHARE,
                    false => 1.0 - LATE_VALUE,
                };
                prompt_value(held.report.prompt) * share
            })
            .sum()
    }

    /// Notes the streams that a further part makes late.
    fn spoil(&mut self, read: Duration, pass: Duration, now: Instant) {
        let pause = read + pass + self.unread(now);
        for held in &mut self.jobs {
            held.spoiled |= held.is_held_up_by(pause);
        }
    }

    /// Short prompts that are still in time.
    fn tender(&self) -> usize {
        self.jobs
            .iter()
            .filter(|held| held.report.short && !held.spoiled)
            .count()
    }

    /// The least pause that anything generating here allows.
    fn least_pause(&self, own: Duration) -> Duration {
        self.jobs
            .iter()
            .map(|held| held.report.pause)
            .fold(own, Duration::min)
    }

    fn memory_used(&self) -> u64 {
        self.jobs.iter().map(|held| held.report.memory).sum()
    }

    fn context(&self) -> u64 {
        self.jobs.iter().map(|held| held.report.context).sum()
    }

    fn reading_left(&self, now: Instant) -> Duration {
        self.jobs
            .iter()
            .filter_map(|held| held.read_until)
            .max()
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Reading that the next pass here holds: what arrives during a pass waits for its end.
    fn unread(&self, now: Instant) -> Duration {
        self.jobs
            .iter()
            .filter_map(|held| {
                let until = held.read_until?;
                Some(if held.report.short {
                    held.report.reading
                } else {
                    until.saturating_duration_since(now)
                })
            })
            .sum()
    }

    fn long_reading_left(&self, now: Instant) -> Duration {
        self.jobs
            .iter()
            .filter(|held| !held.report.short)
            .filter_map(|held| held.read_until)
            .max()
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// The share of a prompt's value that a first event after `time` earns, with `left` of the
/// objective.
fn earned_share(time: Duration, left: Duration) -> f64 {
    if time <= left.mul_f64(SAFE_SHARE) {
        1.0 - SLOWNESS_SHARE * time.as_secs_f64() / left.as_secs_f64()
    } else {
        LATE_VALUE
    }
}

/// What a prompt is worth to its caller, compared with others.
fn prompt_value(prompt: u64) -> f64 {
    (prompt as f64).powf(VALUE_EXPONENT)
}

fn refuse(reason: RefusalReason, retry_after: Duration) -> DispatchAnswer {
    DispatchAnswer::Refused {
        reason,
        retry_after,
    }
}
