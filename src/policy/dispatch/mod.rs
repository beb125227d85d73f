//! Which engines read a prompt, which prompts wait, and which are refused at once.
//!
//! Answers the load of the users' heavy phases: many short prompts beside a few that keep
//! an engine busy for seconds. Short prompts are packed on few engines; a long one is read
//! in parts on those that are left, so that each is soon free for the next.

mod ask;
mod choice;
mod ledger;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::engine_model::{generate_time, pass_time, read_time};
use crate::fleet::routes::EngineSpec;
use crate::ids::{TargetName, VmName};

pub use ask::{
    DispatchAnswer, DispatchDecision, EnginePlacement, EngineTarget, JobId, JobReport,
    PlacementAsk, RefusalReason, SplitPart,
};
use choice::{MAX_PARTS, MEMORY_SHARE, PACK_LIMIT};
use ledger::EngineLedger;

/// A prompt that one engine reads within this is short: it fits between two events of
/// a stream that must pause for 250 ms at most.
const SHORT_READ: Duration = Duration::from_millis(90);
/// A prompt that one engine reads within this may go beside streams when no engine is free.
const BRIEF_READ: Duration = Duration::from_millis(170);
/// Share of an engine full of short prompts that is left for long reading.
const LEAST_LANE: f64 = 0.3;
/// How long a job counts after its predicted end when nobody reported one.
const JOB_EXPIRY: Duration = Duration::from_secs(20);
/// How old a VM's report of its jobs may be when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Share of the objective that may be queueing for a prompt that is late at any rate.
const LATE_WAIT_SHARE: f64 = 0.35;

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
                .or_insert_with(|| EngineLedger::new(target.clone()));
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
        self.roll_passes(now);
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
            .map(|engine| engine.long_reading_left(self.pass_of(engine, 0), now))
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
                objective: ask.objective,
                prompt: ask.prompt,
                pause: ask.pause,
                short,
                helper,
            };
            let Some(step) = self
                .engines
                .get(target)
                .map(|engine| self.pass_of(engine, 0))
            else {
                continue;
            };
            let Some(engine) = self.engines.get_mut(target) else {
                continue;
            };
            engine.roll(step, now);
            if !short {
                engine.spoil(read, step, now);
            }
            engine
                .sends
                .retain(|at| now.saturating_duration_since(*at) < Duration::from_secs(1));
            engine.sends.push(now);
            engine.claim(report, life, step, now);
        }
    }

    /// Notes a placement that another coordinator decided on.
    pub fn adopt(&mut self, ask: &PlacementAsk, placement: &EnginePlacement, now: Instant) {
        self.book(ask, placement, now);
    }

    /// Notes that a request generates: its parts are read.
    pub fn first_event(&mut self, job: JobId, now: Instant) {
        let spec = &self.spec;
        for engine in self.engines.values_mut() {
            let step = step_of(spec, engine, 0);
            engine.note_read(job, step, now);
        }
    }

    fn roll_passes(&mut self, now: Instant) {
        let spec = &self.spec;
        for engine in self.engines.values_mut() {
            let step = step_of(spec, engine, 0);
            engine.roll(step, now);
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
        let mut reports = Vec::new();
        for engine in self.engines.values() {
            let own = engine.jobs.iter().filter(|held| held.report.vm == *vm);
            reports.extend(own.map(|held| JobReport {
                reading: engine.reading_left_of(held, now),
                objective: held.in_time_until.saturating_duration_since(now),
                ..held.report.clone()
            }));
        }
        reports
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
            let step = step_of(&self.spec, engine, 0);
            engine.claim(report.clone(), JOB_EXPIRY, step, now);
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

/// Time of a pass on `engine` with one more request of `extra` tokens, without any reading.
fn step_of(spec: &EngineSpec, engine: &EngineLedger, extra: u64) -> Duration {
    pass_time(spec, engine.running() + 1, engine.context() + extra)
}

fn refuse(reason: RefusalReason, retry_after: Duration) -> DispatchAnswer {
    DispatchAnswer::Refused {
        reason,
        retry_after,
    }
}
