//! Scheduler for model engines: places each prompt, queues it, or refuses it at once.
//!
//! Designed for peak load that mixes many short prompts with a few that occupy an engine for
//! seconds. Short prompts are packed onto few engines. The prefill of a long prompt is split
//! over the remaining engines, so that each of them is soon free for the next one.

mod choice;
mod job_index;
mod ledger;
mod queue_order;
mod request;
mod waiting_queue;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::{Duration, Instant};

use super::account_shares::{Account, AccountShares, engine_seconds};
use super::engine_model::{decode_time, pass_time, prefill_time};
use super::engine_pace::EngineLoad;
use super::permits::{PermitBucket, ReturnOrder, permit_wait, total_rate};
use super::return_promises::{
    CallerPrompt, RefusedPrompt, ReturnClass, ReturnCounts, ReturnPromise, ReturnPromises,
    ReturnState,
};
use crate::fleet::routes::EngineSpec;
use crate::ids::{RequestDigest, TargetName, VmName};

use super::summary_tree::SearchRange;
use choice::{MAX_PACKED_SHORT_PROMPTS, MAX_PARTS, PLANNED_MEMORY_SHARE};
use job_index::JobIndex;
use ledger::{EngineJob, EngineLedger, JobTimes, prompt_value};
pub use queue_order::{QueueKey, QueuePosition, QueueRules, RequestRank, ShareState};
pub use request::{
    DispatchAnswer, DispatchDecision, EnginePlacement, EngineTarget, JobId, JobReport,
    PlacementRequest, RankedDecision, RefusalReason, SplitPart,
};
use waiting_queue::{QueueSummary, QueueTerms, WaitingQueue};

/// Longest prefill on one engine that counts as short: it fits between two events of a stream
/// whose event gaps may last 250 ms at most.
const MAX_SHORT_PREFILL: Duration = Duration::from_millis(90);
/// Longest prefill on one engine that may share it with running streams when none is free.
const MAX_SHARED_PREFILL: Duration = Duration::from_millis(170);
/// Share of an engine's time that is left for long prefills when it is full of short prompts.
const MIN_LONG_PREFILL_SHARE: f64 = 0.3;
/// Time after its predicted end until a job without an end report is dropped. A job that is known
/// from another VM's report only is dropped that long after its first report; if it still runs,
/// the next report adds it again.
const JOB_EXPIRY_MARGIN: Duration = Duration::from_secs(20);
/// Greatest age of a VM's job report on arrival; it may lack the jobs added since.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);
/// Longest time until a caller's deadline, so that sums of times stay valid.
const MAX_CALLER_TIME: Duration = Duration::from_secs(3_600);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Share of the objective that a prompt may wait in the queue if it will be late anyway.
const LATE_WAIT_SHARE: f64 = 0.35;
/// Share of the predicted time until engines have memory for a prompt that it waits at least: the
/// answers that take the memory may end before their longest length.
const MIN_MEMORY_WAIT_SHARE: f64 = 0.8;

#[derive(Debug, Clone)]
struct QueuedRequest {
    request: PlacementRequest,
    rank: Option<RequestRank>,
    queued_at: Instant,
    /// Earliest time at which engines have the memory for it, as predicted when it was queued.
    memory_at: Instant,
    times: RequestTimes,
    /// By what the prompt is recognised when it returns, if returns count.
    origin: Option<PromptOrigin>,
}

#[derive(Debug, Clone, Copy)]
struct PromptOrigin {
    digest: RequestDigest,
    caller_deadline_at: Instant,
    returned: ReturnState,
}

/// Times of a request that depend on the performance model and the number of engines only.
#[derive(Debug, Clone, Copy)]
struct RequestTimes {
    /// Prefill on one engine.
    unsplit_prefill: Duration,
    /// See [`EngineDispatcher::typical_first_event_time`].
    typical_first_event: Duration,
    /// A pass without prefill on an engine that runs nothing else.
    single_pass: Duration,
    /// See [`EngineDispatcher::min_first_event_time`].
    min_first_event: Duration,
}

impl QueuedRequest {
    fn objective_at(&self) -> Instant {
        self.queued_at + self.request.objective
    }

    fn returns_as_told(&self) -> bool {
        let returned = self.origin.map(|origin| origin.returned);
        returned == Some(ReturnState::Kept)
    }

    fn gives_up_at(&self) -> Instant {
        self.queued_at + self.request.give_up_after
    }

    /// Memory that it takes, in tokens.
    fn needed_memory(&self) -> u64 {
        self.request.prompt_tokens + self.request.max_output_tokens
    }

    /// The prompt's value, by length and rank.
    fn value(&self) -> f64 {
        prompt_value(self.request.prompt_tokens) * value_factor(self.rank)
    }
}

/// What one call of [`EngineDispatcher::decide`] found out that holds for the requests behind.
#[derive(Debug, Default)]
struct DecisionPass {
    /// Whether each prompt is evaluated.
    is_exhaustive: bool,
    /// Number of prompts that were evaluated and stay queued.
    kept: usize,
    /// Smallest memory for which no engine is available to a short prompt. Placements only take slots,
    /// memory and permits, so this holds until the call ends.
    failed_memory: Option<u64>,
    /// Engines available to long prompts, best first; until the next placement.
    available: Option<Vec<TargetName>>,
    /// Most memory that a prompt can get when it is split over available engines; `None` without such
    /// engines. Until the next placement.
    split_memory: Option<Option<u64>>,
    /// Least cost of splitting a prompt, by the step of its length; until the next placement.
    split_costs: BTreeMap<u32, f64>,
    /// Until the next placement.
    load: Option<EngineAvailability>,
}

impl DecisionPass {
    fn forget_engines(&mut self) {
        self.available = None;
        self.split_memory = None;
        self.split_costs.clear();
        self.load = None;
    }
}

/// How soon the engines can start another prefill.
#[derive(Debug)]
struct EngineAvailability {
    /// Time until the long prefills of the soonest [`MAX_PARTS`] engines are done, ascending.
    busy_for: Vec<Duration>,
    long_prefill_capacity: f64,
}

/// Scheduler of one service: its engines, their jobs, and the queued requests.
#[derive(Debug)]
pub struct EngineDispatcher {
    spec: EngineSpec,
    cold_requests_per_s: f64,
    limit_share: f64,
    engines: BTreeMap<TargetName, EngineLedger>,
    accepting_engines: usize,
    job_index: JobIndex,
    queue: WaitingQueue,
    evaluated_count: u64,
    return_order: ReturnOrder,
    rules: QueueRules,
    shares: AccountShares,
    promises: ReturnPromises,
    /// The accounts over their share, if they changed since [`Self::take_share_change`].
    share_change: Option<BTreeSet<Account>>,
}

impl EngineDispatcher {
    /// Creates a dispatcher without engines. `cold_requests_per_s` is the cold limit: the requests
    /// per second that one engine may get; 0 means no limit.
    pub fn new(spec: EngineSpec, cold_requests_per_s: f64) -> Self {
        Self {
            spec,
            cold_requests_per_s,
            limit_share: 1.0,
            engines: BTreeMap::new(),
            accepting_engines: 0,
            job_index: JobIndex::default(),
            queue: WaitingQueue::default(),
            evaluated_count: 0,
            return_order: ReturnOrder::default(),
            rules: QueueRules::default(),
            shares: AccountShares::default(),
            promises: ReturnPromises::default(),
            share_change: None,
        }
    }

    /// Sets the share of the engines' cold limits and rate limits that this dispatcher may use, from 0
    /// to 1.
    pub fn set_limit_share(&mut self, limit_share: f64) {
        self.limit_share = limit_share.clamp(0.0, 1.0);
    }

    /// Sets whether ranks and shares of accounts count; neither does in a new dispatcher.
    pub fn set_queue_rules(&mut self, rules: QueueRules) {
        if !rules.shares {
            self.shares = AccountShares::default();
        }
        if !rules.promises_returns() {
            self.promises = ReturnPromises::default();
        }
        self.rules = rules;
    }

    /// Promises made since the last call, for the successor of the owner of placement.
    pub fn take_new_promises(&mut self, now: Instant) -> Vec<ReturnPromise> {
        self.promises.take_unannounced(now)
    }

    /// All promises whose callers are expected.
    pub fn open_promises(&self, now: Instant) -> Vec<ReturnPromise> {
        self.promises.open_promises(now)
    }

    /// Takes over promises that the owner of placement made.
    pub fn import_promises(&mut self, promises: &[ReturnPromise], now: Instant) {
        if self.rules.promises_returns() {
            for promise in promises {
                self.promises.import(promise, now);
            }
        }
    }

    /// Promises made, kept and missed since the last call.
    pub fn take_return_counts(&mut self, now: Instant) -> ReturnCounts {
        self.promises.expire(now);
        self.promises.take_counts()
    }

    /// The accounts over their share, if they changed since the last call.
    pub fn take_share_change(&mut self) -> Option<BTreeSet<Account>> {
        self.share_change.take()
    }

    /// Performance model of the engines, from [`Self::new`] or the last [`Self::set_engines`].
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Number of requests that [`Self::decide`] has not answered yet.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// How often [`Self::decide`] evaluated a request; its cost grows with this number.
    pub fn evaluated_count(&self) -> u64 {
        self.evaluated_count
    }

    /// Jobs of the requests that [`Self::decide`] has not answered yet.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = JobId> {
        self.queue.jobs()
    }

    /// Replaces the performance model, the cold limit and the list of engines that accept new
    /// work. An engine that is no longer listed is kept until its jobs have ended.
    pub fn set_engines(
        &mut self,
        spec: &EngineSpec,
        cold_requests_per_s: f64,
        targets: &[EngineTarget],
    ) {
        let is_same_spec = self.spec == *spec;
        if !is_same_spec {
            self.spec = spec.clone();
        }
        self.cold_requests_per_s = cold_requests_per_s;
        for engine in self.engines.values_mut() {
            engine.accepts_work = false;
        }
        for target in targets {
            let engine = self
                .engines
                .entry(target.name.clone())
                .or_insert_with(|| EngineLedger::new(target.clone()));
            engine.accept(target);
        }
        self.engines
            .retain(|_, engine| engine.accepts_work || !engine.jobs().is_empty());
        let accepting = self.engines.values().filter(|engine| engine.accepts_work);
        let accepting_engines = accepting.count();
        if !is_same_spec || self.accepting_engines != accepting_engines {
            self.accepting_engines = accepting_engines;
            let mut queue = std::mem::take(&mut self.queue);
            queue.set_times(|prompt_tokens| self.request_times(prompt_tokens));
            self.queue = queue;
        }
    }

    /// Sets the paces of the engines that count as slow; all others have the declared speed.
    pub fn set_paces(&mut self, slow_engines: &BTreeMap<TargetName, f64>) {
        for (name, engine) in &mut self.engines {
            engine.pace = slow_engines.get(name).map_or(1.0, |pace| pace.max(1.0));
        }
    }

    /// Pace of an engine, as set by [`Self::set_paces`]; `None` if it is not known here.
    pub fn pace_of(&self, target: &TargetName) -> Option<f64> {
        self.engines.get(target).map(|engine| engine.pace)
    }

    /// Time of a pass without prefill at the declared speed on an engine with the jobs known here.
    pub fn declared_pass_time(&self, target: &TargetName) -> Option<Duration> {
        let engine = self.engines.get(target)?;
        let helper_time = self.spec.helper_step_ms * self.spec.steps_per_pass / 1_000.0;
        let pass = pass_time(&self.spec, engine.running().max(1), engine.context_tokens());
        Some(pass + Duration::from_secs_f64(helper_time.clamp(0.0, 1.0)))
    }

    /// The present load of each engine, from which its event gaps are predicted.
    pub fn engine_loads(&self) -> impl Iterator<Item = (TargetName, EngineLoad)> {
        self.engines.iter().filter_map(|(name, engine)| {
            let load = EngineLoad {
                pass: self.declared_pass_time(name)?,
                added_prefill: engine.added_prefill,
                pending_prefill: engine.pending_prefill(),
            };
            Some((name.clone(), load))
        })
    }

    /// Queues a request without a rank for the next call of [`Self::decide`].
    pub fn enqueue(&mut self, request: PlacementRequest, now: Instant) {
        self.enqueue_ranked(request, None, now);
    }

    /// Queues a request for the next call of [`Self::decide`]. One without a rank counts as the most
    /// urgent.
    pub fn enqueue_ranked(
        &mut self,
        request: PlacementRequest,
        rank: Option<RequestRank>,
        now: Instant,
    ) {
        self.queue_request(request, rank, None, now);
    }

    /// Queues a request like [`Self::enqueue_ranked`], if returns count with its order among those
    /// refused before.
    ///
    /// # Errors
    ///
    /// Does not queue a prompt that returns before its promised time, and returns the time left. The
    /// promise stays as it is.
    pub fn enqueue_returning(
        &mut self,
        request: PlacementRequest,
        rank: Option<RequestRank>,
        prompt: CallerPrompt,
        now: Instant,
    ) -> Result<(), Duration> {
        if !self.rules.promises_returns() {
            self.queue_request(request, rank, None, now);
            return Ok(());
        }
        let (returned, time_left) =
            self.promises
                .record_arrival(prompt.digest, &request.team, request.job, now);
        if returned == ReturnState::Early {
            return Err(time_left);
        }
        let origin = PromptOrigin {
            digest: prompt.digest,
            caller_deadline_at: now + prompt.caller_time_left.min(MAX_CALLER_TIME),
            returned,
        };
        self.queue_request(request, rank, Some(origin), now);
        Ok(())
    }

    fn queue_request(
        &mut self,
        request: PlacementRequest,
        rank: Option<RequestRank>,
        origin: Option<PromptOrigin>,
        now: Instant,
    ) {
        if self.rules.shares {
            let cost = self.engine_seconds(&request);
            self.shares.record_demand(&request.team, cost, now);
        }
        let memory_wait = self.memory_wait(&request, now);
        let queued = QueuedRequest {
            times: self.request_times(request.prompt_tokens),
            request,
            rank: rank.filter(|_| self.rules.ranks),
            queued_at: now,
            memory_at: now + memory_wait.mul_f64(MIN_MEMORY_WAIT_SHARE),
            origin,
        };
        self.queue.insert(queued, now);
    }

    /// Places or refuses queued requests and returns these decisions; the rest stay queued.
    ///
    /// Order: short prompts first, then prompts that can still meet their objective, then those of
    /// accounts within their share, then by the time of the objective. If ranks count, the lateness and
    /// the rank come first. Prompts that return as told after a refusal come before new arrivals of the
    /// same rank and share state. A long prompt counts as late only once its objective has passed.
    /// While all engines name rate limits, long prompts come first: of a limited number of requests
    /// they are worth most, and they are few.
    pub fn decide(&mut self, now: Instant) -> Vec<DispatchDecision> {
        let ranked = self.decide_ranked(now).into_iter();
        ranked.map(|ranked| ranked.decision).collect()
    }

    /// Like [`Self::decide`], with the rank and the share state of each request.
    pub fn decide_ranked(&mut self, now: Instant) -> Vec<RankedDecision> {
        self.decide_candidates(DecisionPass::default(), now)
    }

    /// Like [`Self::decide_ranked`], but sorts the whole queue and evaluates each request, as a reference
    /// for tests. The decisions are the same, at a cost that grows with the number of requests.
    pub fn decide_exhaustively(&mut self, now: Instant) -> Vec<RankedDecision> {
        self.queue.invalidate();
        let pass = DecisionPass {
            is_exhaustive: true,
            ..DecisionPass::default()
        };
        self.decide_candidates(pass, now)
    }

    fn decide_candidates(&mut self, mut pass: DecisionPass, now: Instant) -> Vec<RankedDecision> {
        self.expire_jobs(now);
        self.advance_all_to_current_pass(now);
        for engine in self.engines.values_mut() {
            if let Some(permits) = &mut engine.permits {
                permits.set_share(self.limit_share, now);
            }
        }
        if self.rules.shares
            && let Some(over) = self.shares.refresh(now)
        {
            self.share_change = Some(over.clone());
        }
        let all_limited = self.permits().is_some();
        let terms = QueueTerms {
            rules: self.rules,
            is_long_first: all_limited,
            max_memory: self.max_memory(),
        };
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort(terms, self.shares.over(), now);
        // Without engines, and while rate limits decide, each prompt is evaluated.
        pass.is_exhaustive |= all_limited || self.accepting_engine_count() == 0;
        let mut decisions = Vec::new();
        let mut last = None;
        while let Some(candidate) =
            queue.next_candidate(last, |range| self.may_decide(range, &mut pass, now))
        {
            self.evaluated_count += 1;
            last = Some(queue.place(candidate.slot));
            let queued = queue.get(candidate.slot);
            let Some(mut answer) =
                self.decide_one(queued, candidate.queued_prefill, &mut pass, now)
            else {
                pass.kept += 1;
                continue;
            };
            let queued = queue.remove(candidate.slot);
            let promised_in = self.settle_return(&queued, &mut answer, now);
            let decision = DispatchDecision {
                job: queued.request.job,
                answer,
            };
            decisions.push(RankedDecision {
                decision,
                rank: queued.rank.map(|rank| rank.rank),
                share: self.share_state(&queued),
                returned: queued.origin.map(|origin| origin.returned),
                promised_in,
            });
        }
        self.queue = queue;
        decisions
    }

    /// Whether any request of a part of the queue can be placed or is to be refused, as far as the
    /// summary of that part tells. It may hold where no request can, but not the other way round.
    fn may_decide(
        &self,
        range: SearchRange<QueueSummary>,
        pass: &mut DecisionPass,
        now: Instant,
    ) -> bool {
        let prompts = range.entries;
        if pass.is_exhaustive
            || range.ahead_of_first.is_zero()
            || prompts.has_refusable()
            || prompts.may_share_below(pass.failed_memory)
        {
            return true;
        }
        if prompts.may_split()
            && self
                .split_memory(pass, now)
                .is_some_and(|memory| prompts.may_split_within(memory))
        {
            let (tokens, value) = prompts.split_tokens_and_value();
            if value >= self.min_split_cost(tokens, pass, now) {
                return true;
            }
        }
        let load = pass
            .load
            .get_or_insert_with(|| self.engine_availability(now));
        let (Some(first), Some(last)) = (load.busy_for.first(), load.busy_for.last()) else {
            return true;
        };
        let wait = range.ahead_of_last.div_f64(load.long_prefill_capacity);
        prompts.may_be_refused(now + *first + wait, *last + wait, now)
    }

    fn share_state(&self, queued: &QueuedRequest) -> ShareState {
        match self.rules.shares {
            false => ShareState::NotCounted,
            true if self.shares.is_over(&queued.request.team) => ShareState::Over,
            true => ShareState::Within,
        }
    }

    /// Ends the promise to a prompt that is placed. To one that is refused for overload, sets when it may
    /// return, and returns that time if it is promised.
    fn settle_return(
        &mut self,
        queued: &QueuedRequest,
        answer: &mut DispatchAnswer,
        now: Instant,
    ) -> Option<Duration> {
        let origin = queued.origin?;
        let DispatchAnswer::Refused {
            reason: RefusalReason::Overload | RefusalReason::TooLate,
            retry_after,
        } = answer
        else {
            self.promises.end(origin.digest);
            return None;
        };
        let request = &queued.request;
        let refused = RefusedPrompt {
            job: request.job,
            digest: origin.digest,
            account: request.team.clone(),
            class: ReturnClass {
                rank: queued.rank.map(|rank| rank.rank),
                is_over_share: self.share_state(queued) == ShareState::Over,
            },
            engine_seconds: self.engine_seconds(request),
            soonest: *retry_after,
            first_event: self.min_first_event_time(request.prompt_tokens),
            caller_deadline_at: origin.caller_deadline_at,
        };
        let accepting = self.engines.values().filter(|engine| engine.accepts_work);
        let engines: f64 = accepting.map(|engine| 1.0 / engine.pace).sum();
        let told = self.promises.promise(&refused, engines, now);
        *retry_after = told.wait;
        told.is_promised.then_some(told.wait)
    }

    fn engine_seconds(&self, request: &PlacementRequest) -> f64 {
        engine_seconds(&self.spec, request.prompt_tokens, request.max_output_tokens)
    }

    fn request_times(&self, prompt_tokens: u64) -> RequestTimes {
        RequestTimes {
            unsplit_prefill: prefill_time(&self.spec, prompt_tokens, 1),
            typical_first_event: self.typical_first_event_time(prompt_tokens),
            single_pass: pass_time(&self.spec, 1, prompt_tokens),
            min_first_event: self.min_first_event_time(prompt_tokens),
        }
    }

    fn decide_one(
        &mut self,
        queued: &QueuedRequest,
        queued_prefill: Duration,
        pass: &mut DecisionPass,
        now: Instant,
    ) -> Option<DispatchAnswer> {
        let request = &queued.request;
        if self.accepting_engine_count() == 0 {
            return Some(refuse(RefusalReason::NoTarget, MIN_RETRY_AFTER * 2));
        }
        if queued.needed_memory() > self.max_memory() {
            return Some(refuse(RefusalReason::TooLarge, MIN_RETRY_AFTER * 4));
        }
        let unsplit_prefill = queued.times.unsplit_prefill;
        let may_share = unsplit_prefill <= MAX_SHARED_PREFILL;
        let placed = if unsplit_prefill <= MAX_SHORT_PREFILL {
            self.place_short(queued, pass, now)
        } else if may_share {
            self.place_long(queued, pass, now)
                .or_else(|| self.place_short(queued, pass, now))
        // A long prompt whose objective has passed is placed only when no request ahead of it
        // stays queued.
        } else if queued_prefill.is_zero() || queued.objective_at() > now {
            self.place_long(queued, pass, now)
        } else {
            None
        };
        if let Some(placement) = placed {
            let lead = self.engines.get_mut(&placement.lead);
            if let Some(permits) = lead.and_then(|lead| lead.permits.as_mut()) {
                permits.take(now);
            }
            if self.rules.shares {
                let cost = self.engine_seconds(request);
                self.shares.record_use(&request.team, cost, now);
            }
            self.add_jobs(request, queued.rank, &placement, now);
            pass.forget_engines();
            return Some(DispatchAnswer::Placed(placement));
        }
        self.limit_refusal(queued, pass.kept, now)
            .or_else(|| self.refusal(queued, queued_prefill, pass, now))
    }

    /// The permits of the engines that accept work, if all of them named rate limits.
    fn permits(&self) -> Option<impl Iterator<Item = &PermitBucket>> {
        let accepting = || self.engines.values().filter(|engine| engine.accepts_work);
        let all_limited =
            accepting().next().is_some() && accepting().all(|engine| engine.permits.is_some());
        all_limited.then(|| accepting().filter_map(|engine| engine.permits.as_ref()))
    }

    /// Refuses a request that would miss its objective, or its caller, because the rate limits of all
    /// engines are used up; `ahead` requests wait ahead of it.
    fn limit_refusal(
        &mut self,
        queued: &QueuedRequest,
        ahead: usize,
        now: Instant,
    ) -> Option<DispatchAnswer> {
        let wait = permit_wait(self.permits()?, ahead, now);
        let rate = total_rate(self.permits()?);
        let request = &queued.request;
        let first_event_at = now
            .checked_add(wait)
            .map(|at| at + self.min_first_event_time(request.prompt_tokens));
        let is_before = |limit: Instant| first_event_at.is_some_and(|at| at <= limit);
        let queued_for = now.saturating_duration_since(queued.queued_at);
        let max_wait = request.objective.mul_f64(LATE_WAIT_SHARE);
        let is_short_wait = queued_for.saturating_add(wait) <= max_wait;
        if is_before(queued.gives_up_at()) && (is_short_wait || is_before(queued.objective_at())) {
            return None;
        }
        let retry_after = self
            .return_order
            .assign(wait.max(MIN_RETRY_AFTER), rate, now);
        Some(refuse(RefusalReason::Limited, retry_after))
    }

    /// Refuses a request whose first event would come after its caller gives up, because of the prompts
    /// ahead of it or for want of memory. Also refuses a long one that will be late and would queue for
    /// over [`LATE_WAIT_SHARE`] of its objective, since it delays the requests behind it. One that returns
    /// as told waits: refused at once again, it would lose its place to any prompt that comes later.
    fn refusal(
        &self,
        queued: &QueuedRequest,
        queued_prefill: Duration,
        pass: &mut DecisionPass,
        now: Instant,
    ) -> Option<DispatchAnswer> {
        let may_share = queued.times.unsplit_prefill <= MAX_SHARED_PREFILL;
        let unsplit = self.unsplit_first_event(queued, queued_prefill, pass, now);
        let gives_up_at = queued.gives_up_at();
        // The unsplit prompt is an upper bound of the times that decide below.
        if may_share
            && unsplit.is_some_and(|unsplit| now + unsplit <= gives_up_at)
            && queued.memory_at + queued.times.unsplit_prefill + queued.times.single_pass
                <= gives_up_at
        {
            return None;
        }
        let unqueued = self.min_first_event_time(queued.request.prompt_tokens);
        let soonest = self.soonest_first_event(queued, queued_prefill, pass, now);
        let queue_time = soonest.saturating_sub(unqueued);
        let predicted_at = now + soonest;
        let retry_after = queue_time.max(MIN_RETRY_AFTER);
        if predicted_at > gives_up_at {
            return Some(refuse(RefusalReason::TooLate, retry_after));
        }
        if queued.memory_at + unqueued > gives_up_at {
            let memory_wait = queued.memory_at.saturating_duration_since(now);
            return Some(refuse(RefusalReason::TooLate, memory_wait.max(retry_after)));
        }
        if may_share || queued.returns_as_told() || predicted_at <= queued.objective_at() {
            return None;
        }
        let max_queue_time = queued.request.objective.mul_f64(LATE_WAIT_SHARE);
        (queue_time > max_queue_time.max(MIN_RETRY_AFTER))
            .then(|| refuse(RefusalReason::Overload, retry_after))
    }

    fn accepting_engine_count(&self) -> usize {
        self.accepting_engines
    }

    fn planned_memory(&self) -> u64 {
        (self.spec.memory_tokens as f64 * PLANNED_MEMORY_SHARE) as u64
    }

    /// Memory, in tokens, of the engines that a prompt may be split over.
    fn max_memory(&self) -> u64 {
        self.planned_memory() * self.accepting_engine_count().min(MAX_PARTS) as u64
    }

    /// Time until the engines that `request` may be split over have the memory for it, if all jobs end
    /// as predicted.
    fn memory_wait(&self, request: &PlacementRequest, now: Instant) -> Duration {
        let needed_memory = request.prompt_tokens + request.max_output_tokens;
        let is_short = prefill_time(&self.spec, request.prompt_tokens, 1) <= MAX_SHORT_PREFILL;
        let max_parts = if is_short { 1 } else { MAX_PARTS };
        let engines: Vec<&EngineLedger> = self
            .engines
            .values()
            .filter(|engine| engine.accepts_work)
            .collect();
        // The jobs that run take at least as much as those that are predicted to run on, so an engine
        // that has the memory beside all of them needs no prediction.
        if max_parts == 1
            && engines
                .iter()
                .any(|engine| self.free_memory(engine) >= needed_memory)
        {
            return Duration::ZERO;
        }
        let has_memory_at = |at: Instant| {
            let free = |engine: &&EngineLedger| {
                let used = engine.memory_used_at(at);
                self.planned_memory().saturating_sub(used)
            };
            let mut free_memory: Vec<u64> = engines.iter().map(free).collect();
            free_memory.sort_unstable_by_key(|free| Reverse(*free));
            free_memory.into_iter().take(max_parts).sum::<u64>() >= needed_memory
        };
        if has_memory_at(now) {
            return Duration::ZERO;
        }
        let jobs = engines.iter().flat_map(|engine| engine.jobs());
        let mut ends: Vec<Instant> = jobs.map(|job| job.ends_at).collect();
        ends.sort_unstable();
        let first = ends.partition_point(|end| !has_memory_at(*end));
        let end = ends.get(first);
        end.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }

    /// Prefill capacity that streams of short prompts leave for long prompts, in engines.
    fn long_prefill_capacity(&self) -> f64 {
        self.engines
            .values()
            .filter(|engine| engine.accepts_work)
            .map(|engine| {
                let short_share = engine.short_prompts() as f64 / MAX_PACKED_SHORT_PROMPTS as f64;
                (1.0 - short_share).max(MIN_LONG_PREFILL_SHARE)
            })
            .sum::<f64>()
            .max(MIN_LONG_PREFILL_SHARE)
    }

    /// Time to the first event of a prompt that starts as soon as engines are free of long
    /// prefills and the prompts ahead of it in the queue are prefilled.
    fn soonest_first_event(
        &self,
        queued: &QueuedRequest,
        queued_prefill: Duration,
        pass: &mut DecisionPass,
        now: Instant,
    ) -> Duration {
        let load = pass
            .load
            .get_or_insert_with(|| self.engine_availability(now));
        let prompt_tokens = queued.request.prompt_tokens;
        let wait = queued_prefill.div_f64(load.long_prefill_capacity);
        let pass_time = queued.times.single_pass;
        load.busy_for
            .iter()
            .enumerate()
            .map(|(i, busy)| {
                *busy + wait + prefill_time(&self.spec, prompt_tokens, i + 1) + pass_time
            })
            .min()
            .unwrap_or(Duration::MAX)
    }

    /// [`Self::soonest_first_event`] without a split; `None` without engines.
    fn unsplit_first_event(
        &self,
        queued: &QueuedRequest,
        queued_prefill: Duration,
        pass: &mut DecisionPass,
        now: Instant,
    ) -> Option<Duration> {
        let load = pass
            .load
            .get_or_insert_with(|| self.engine_availability(now));
        let wait = queued_prefill.div_f64(load.long_prefill_capacity);
        let times = &queued.times;
        let busy = load.busy_for.first()?;
        Some(*busy + wait + times.unsplit_prefill + times.single_pass)
    }

    fn engine_availability(&self, now: Instant) -> EngineAvailability {
        let mut busy_for: Vec<Duration> = self
            .engines
            .values()
            .filter(|engine| engine.accepts_work)
            .map(|engine| engine.long_prefill_left(self.decode_pass_time(engine, 0), now))
            .collect();
        busy_for.sort_unstable();
        busy_for.truncate(MAX_PARTS);
        EngineAvailability {
            busy_for,
            long_prefill_capacity: self.long_prefill_capacity(),
        }
    }

    fn add_jobs(
        &mut self,
        request: &PlacementRequest,
        rank: Option<RequestRank>,
        placement: &EnginePlacement,
        now: Instant,
    ) {
        let parts = 1 + placement.helpers.len();
        let prefill = prefill_time(&self.spec, request.prompt_tokens, parts);
        let is_short = prefill_time(&self.spec, request.prompt_tokens, 1) <= MAX_SHORT_PREFILL;
        let reserved: u64 = placement
            .helpers
            .iter()
            .map(|part| part.reserve_tokens)
            .sum();
        let decode = decode_time(&self.spec, request.prompt_tokens, request.max_output_tokens);
        let times = JobTimes {
            decode,
            lifetime: prefill + decode + JOB_EXPIRY_MARGIN,
            value_factor: value_factor(rank),
        };
        let lead_memory =
            (request.prompt_tokens + request.max_output_tokens).saturating_sub(reserved);
        let mut parts_by_engine = vec![(&placement.lead, lead_memory, false)];
        parts_by_engine.extend(
            placement
                .helpers
                .iter()
                .map(|part| (&part.target, part.reserve_tokens, true)),
        );
        for (target, memory_tokens, is_helper) in parts_by_engine {
            let Some(prefill) = self.engines.get(target).map(|engine| engine.paced(prefill)) else {
                continue;
            };
            let report = JobReport {
                job: request.job,
                vm: request.vm.clone(),
                target: target.clone(),
                context_tokens: if is_helper {
                    memory_tokens
                } else {
                    request.prompt_tokens / parts as u64
                },
                memory_tokens,
                prefill_left: prefill,
                objective: request.objective,
                prompt_tokens: request.prompt_tokens,
                max_event_gap: request.max_event_gap,
                is_short,
                is_helper,
            };
            let Some(decode_pass) = self
                .engines
                .get(target)
                .map(|engine| self.decode_pass_time(engine, 0))
            else {
                continue;
            };
            let Some(engine) = self.engines.get_mut(target) else {
                continue;
            };
            engine.advance_to_current_pass(decode_pass, now);
            if !is_short {
                engine.mark_late(prefill, decode_pass, now);
            }
            engine
                .recent_sends
                .retain(|at| now.saturating_duration_since(*at) < Duration::from_secs(1));
            engine.recent_sends.push(now);
            engine.add_job(report, times, decode_pass, now);
            self.job_index.add(request.job, target, &request.vm);
        }
    }

    /// Records a placement that another coordinator decided on.
    pub fn record_placement(
        &mut self,
        request: &PlacementRequest,
        rank: Option<RequestRank>,
        placement: &EnginePlacement,
        now: Instant,
    ) {
        self.add_jobs(request, rank, placement, now);
    }

    /// Records a request's first event: the prefill of all its parts is done.
    pub fn record_first_event(&mut self, job: JobId, now: Instant) {
        for target in self.job_index.targets_of(job) {
            if let Some(engine) = self.engines.get_mut(target) {
                let decode_pass = decode_pass_time(&self.spec, engine, 0);
                engine.finish_prefill(job, decode_pass, now);
            }
        }
    }

    fn advance_all_to_current_pass(&mut self, now: Instant) {
        let spec = &self.spec;
        let due = |engine: &&mut EngineLedger| engine.is_pass_due(now);
        for engine in self.engines.values_mut().filter(due) {
            let decode_pass = decode_pass_time(spec, engine, 0);
            engine.advance_to_current_pass(decode_pass, now);
        }
    }

    /// Records that a request ended or left the queue.
    pub fn end_job(&mut self, job: JobId) {
        if self.queue.remove_job(job) {
            self.promises.withdraw(job);
        }
        for target in self.job_index.remove_job(job) {
            if let Some(engine) = self.engines.get_mut(&target) {
                engine.retain_jobs(|known| known.report.job != job);
            }
        }
    }

    /// The jobs whose requests `serving_vm` serves, on any engine, as reported to VMs that may take
    /// over as coordinator.
    pub fn reports_of(&self, serving_vm: &VmName, now: Instant) -> Vec<JobReport> {
        let mut reports = Vec::new();
        for engine in self.engines.values() {
            let own = engine
                .jobs()
                .iter()
                .filter(|job| job.report.vm == *serving_vm);
            reports.extend(own.map(|job| JobReport {
                prefill_left: engine.prefill_left_of(job, now),
                objective: job.objective_at.saturating_duration_since(now),
                ..job.report.clone()
            }));
        }
        reports
    }

    /// Drops the known jobs of a VM that it does not report, and adds reported ones that are not
    /// known. An unreported job stays while it is younger than [`MAX_REPORT_AGE`], since the report
    /// may have been made before it.
    pub fn reconcile_jobs_of(&mut self, serving_vm: &VmName, reports: &[JobReport], now: Instant) {
        let reported: HashSet<(JobId, &TargetName)> = reports
            .iter()
            .map(|report| (report.job, &report.target))
            .collect();
        let is_kept = |job: &EngineJob| {
            job.report.vm != *serving_vm
                || reported.contains(&(job.report.job, &job.report.target))
                || now.saturating_duration_since(job.added_at) < MAX_REPORT_AGE
        };
        let known: BTreeSet<TargetName> = self
            .job_index
            .jobs_of(serving_vm)
            .flat_map(|job| self.job_index.targets_of(job))
            .cloned()
            .collect();
        for target in known {
            if let Some(engine) = self.engines.get_mut(&target) {
                let dropped = engine.retain_jobs(is_kept);
                self.job_index.remove_parts(&dropped, &target);
            }
        }
        for report in reports {
            let Some(engine) = self.engines.get_mut(&report.target) else {
                continue;
            };
            if engine.jobs().iter().any(|job| job.report.job == report.job) {
                continue;
            }
            let decode_pass = decode_pass_time(&self.spec, engine, 0);
            let times = JobTimes {
                decode: reported_decode_time(&self.spec, report, reports),
                lifetime: JOB_EXPIRY_MARGIN,
                value_factor: value_factor(None),
            };
            engine.add_job(report.clone(), times, decode_pass, now);
            self.job_index.add(report.job, &report.target, &report.vm);
        }
    }

    /// Drops the jobs and queued requests of a VM that died; its engines stay.
    pub fn drop_jobs_of(&mut self, serving_vm: &VmName) {
        for job in self.queue.remove_vm(serving_vm) {
            self.promises.withdraw(job);
        }
        self.retain_jobs(|job| job.report.vm != *serving_vm);
    }

    fn expire_jobs(&mut self, now: Instant) {
        for (target, engine) in &mut self.engines {
            let dropped = engine.expire_jobs(now);
            self.job_index.remove_parts(&dropped, target);
        }
    }

    fn retain_jobs(&mut self, is_kept: impl Fn(&EngineJob) -> bool) {
        for (target, engine) in &mut self.engines {
            let dropped = engine.retain_jobs(&is_kept);
            self.job_index.remove_parts(&dropped, target);
        }
    }
}

/// Factor of a prompt's value by its rank. A job that is known from a report only has none, and counts
/// like those of the most urgent rank.
fn value_factor(rank: Option<RequestRank>) -> f64 {
    rank.map_or(1.0, RequestRank::value_factor)
}

/// Time of a pass without prefill on `engine`, with one more request of `extra_tokens` of context.
fn decode_pass_time(spec: &EngineSpec, engine: &EngineLedger, extra_tokens: u64) -> Duration {
    engine.paced(pass_time(
        spec,
        engine.running() + 1,
        engine.context_tokens() + extra_tokens,
    ))
}

/// Predicted time until the last event of a job that is known from `reports` only. Half of its answer
/// counts as generated if its first event has come.
fn reported_decode_time(spec: &EngineSpec, report: &JobReport, reports: &[JobReport]) -> Duration {
    let parts = reports.iter().filter(|part| part.job == report.job);
    let memory_tokens: u64 = parts.map(|part| part.memory_tokens).sum();
    let output_tokens = memory_tokens.saturating_sub(report.prompt_tokens);
    let decode = decode_time(spec, report.prompt_tokens, output_tokens);
    if report.prefill_left.is_zero() {
        decode / 2
    } else {
        decode
    }
}

fn refuse(reason: RefusalReason, retry_after: Duration) -> DispatchAnswer {
    DispatchAnswer::Refused {
        reason,
        retry_after,
    }
}
