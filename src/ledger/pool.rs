//! A pool of targets that one steward owns: queues, grants and estimates.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::fair_queue::FairQueue;
use super::grant::{
    GrantOutcome, GrantPart, PoolLoad, PoolRefusal, PoolReply, PoolRequest, TicketId,
};
use super::slow_start::{ConcurrencyWindow, TargetEvent};
use super::target_ledger::{StreamReport, TargetGrant, TargetLedger};
use crate::chart::StateChart;
use crate::ids::{GrantId, InstanceId, Offset, RequestId, TargetName, TeamName};
use crate::policy::estimate::{DemandMeter, RateEstimate};
use crate::policy::lane::{PromptLane, lane_of, length_priority, max_long_targets};
use crate::policy::placement::{
    PlacementCandidate, PlacementNeed, PlacementPolicy, gang_size, gang_targets, least_loaded,
    place_by_lanes,
};
use crate::view::fold::TargetRef;
use crate::view::in_force::GRANT_USE_TIMEOUT;

/// A first token later than this multiple of the expected time, plus the slack, counts as a
/// failure.
const SLOW_FIRST_TOKEN_FACTOR: u32 = 8;
const SLOW_FIRST_TOKEN_SLACK: Duration = Duration::from_secs(2);

/// Time to prefill one chunk of a long prompt; a short prompt waits for the current chunk.
const PREFILL_CHUNK_TIME: Duration = Duration::from_millis(20);
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct QueuedRequest {
    ticket: TicketId,
    request: PoolRequest,
    lane: PromptLane,
    queued_at: Instant,
    assigned_target: Option<TargetName>,
}

/// Returns whether a team is approved at a target in the current view.
pub type ApprovalCheck<'a> = &'a dyn Fn(&TeamName, &TargetName) -> bool;

/// A pool's targets, queue and estimates.
#[derive(Debug)]
pub struct PoolLedger {
    chart: StateChart,
    policy: PlacementPolicy,
    epoch: Offset,
    next_serial: u64,
    /// Next target for [`PlacementPolicy::RoundRobin`].
    next_target_index: usize,
    targets: BTreeMap<TargetName, TargetLedger>,
    addresses: BTreeMap<TargetName, String>,
    short_queue: FairQueue<QueuedRequest>,
    long_queue: FairQueue<QueuedRequest>,
    /// Targets that are kept free for a queued gang.
    gang_reserved: BTreeSet<TargetName>,
    rate: RateEstimate,
    short_demand: DemandMeter,
    replies: Vec<(TicketId, PoolReply)>,
}

impl PoolLedger {
    /// Creates a pool without targets, whose grants carry `epoch`.
    pub fn new(chart: StateChart, policy: PlacementPolicy, epoch: Offset) -> Self {
        Self {
            chart,
            policy,
            epoch,
            next_serial: 0,
            next_target_index: 0,
            targets: BTreeMap::new(),
            addresses: BTreeMap::new(),
            short_queue: FairQueue::default(),
            long_queue: FairQueue::default(),
            gang_reserved: BTreeSet::new(),
            rate: RateEstimate::default(),
            short_demand: DemandMeter::new(),
            replies: Vec::new(),
        }
    }

    /// Updates the pool's targets from the table. A target that was deleted stays, out of
    /// service, until nothing runs there.
    pub fn set_targets<'a>(
        &mut self,
        targets: impl Iterator<Item = TargetRef<'a>>,
        in_service: impl Fn(TargetRef<'a>) -> bool,
    ) {
        let mut listed = BTreeSet::new();
        for target in targets {
            listed.insert(target.name.clone());
            let row = target.row;
            let ledger = self.targets.entry(target.name.clone()).or_insert_with(|| {
                let window = ConcurrencyWindow::new(&self.chart, row.cold_limit, row.warm_limit);
                TargetLedger::new(row.kind, row.memory_tokens, window)
            });
            ledger.memory_tokens = row.memory_tokens;
            ledger.window.set_bounds(row.cold_limit, row.warm_limit);
            ledger.in_service = in_service(target);
            self.addresses
                .insert(target.name.clone(), row.address.clone());
        }
        for (name, ledger) in &mut self.targets {
            ledger.in_service &= listed.contains(name);
        }
        self.targets
            .retain(|name, ledger| listed.contains(name) || ledger.running() > 0);
    }

    /// Ledgers of the targets; one that was deleted stays, out of service, until nothing runs
    /// there.
    pub fn targets(&self) -> &BTreeMap<TargetName, TargetLedger> {
        &self.targets
    }

    /// Host and port of a target.
    pub fn address(&self, target: &TargetName) -> Option<&str> {
        self.addresses.get(target).map(String::as_str)
    }

    /// Queues or refuses a request; [`Self::take_replies`] returns the reply later.
    pub fn acquire(
        &mut self,
        ticket: TicketId,
        request: PoolRequest,
        approved: ApprovalCheck<'_>,
        now: Instant,
    ) {
        let lane = lane_of(request.prompt_tokens, &self.rate);
        if let Some(refusal) = self.refusal_on_arrival(&request, lane, approved, now) {
            self.refuse(ticket, refusal, lane);
            return;
        }
        // A refused request counts as demand of the pool that it tries next.
        if lane == PromptLane::Short {
            self.short_demand.record_arrival(request.prompt_tokens, now);
        }
        let assigned_target = self.assign_on_arrival(&request, approved);
        let queued = QueuedRequest {
            ticket,
            lane,
            queued_at: now,
            assigned_target,
            request,
        };
        self.enqueue(queued);
    }

    /// Removes a queued request without a reply.
    pub fn cancel(&mut self, ticket: TicketId) {
        for queue in [&mut self.short_queue, &mut self.long_queue] {
            queue.remove_where(|queued| queued.ticket == ticket);
        }
    }

    /// Ends a grant, and updates the target's window and the estimates from the outcome.
    pub fn release(&mut self, grant: GrantId, outcome: GrantOutcome, now: Instant) {
        for ledger in self.targets.values_mut() {
            if ledger.release(grant).is_none() {
                continue;
            }
            let event = match outcome {
                GrantOutcome::Completed { .. } => TargetEvent::Completed,
                GrantOutcome::Failed => TargetEvent::Failed,
                GrantOutcome::Disconnected => TargetEvent::Restarted,
                GrantOutcome::Withdrawn => break,
            };
            if outcome == GrantOutcome::Disconnected {
                ledger.suspend(now);
            }
            ledger.window.apply(&self.chart, event);
            break;
        }
        if let GrantOutcome::Completed {
            output_tokens,
            max_output_tokens,
            decode_ms,
        } = outcome
        {
            self.rate.record_decode(
                output_tokens,
                max_output_tokens,
                Duration::from_millis(decode_ms),
            );
        }
    }

    /// Records that the first token of a grant came `elapsed` after the request was sent.
    pub fn record_first_token(&mut self, grant: GrantId, elapsed: Duration) {
        for ledger in self.targets.values_mut() {
            let Some(known) = ledger.grants().get(&grant) else {
                continue;
            };
            let expected = self.rate.prefill_time(known.backlog_tokens);
            let slow = elapsed > expected * SLOW_FIRST_TOKEN_FACTOR + SLOW_FIRST_TOKEN_SLACK;
            let backlog_tokens = known.backlog_tokens;
            ledger.mark_prefilled(grant);
            if slow {
                ledger.window.apply(&self.chart, TargetEvent::Failed);
            } else {
                self.rate.record_prefill(backlog_tokens, elapsed);
            }
            return;
        }
    }

    /// Adds a grant that the pool's previous steward made.
    pub fn adopt(&mut self, target: &TargetName, id: GrantId, grant: TargetGrant) {
        if let Some(ledger) = self.targets.get_mut(target) {
            ledger.reserve(id, grant);
        }
    }

    /// Reconciles a target's ledger with the target's own list, requested at `requested_at`.
    /// Returns the requests to cancel at the target.
    pub fn reconcile(
        &mut self,
        target: &TargetName,
        instance: &InstanceId,
        listed: &[StreamReport],
        requested_at: Instant,
        now: Instant,
    ) -> Vec<RequestId> {
        let Some(ledger) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        ledger.window.observe_instance(&self.chart, instance);
        ledger.reconcile(listed, requested_at, now)
    }

    /// Records that a target could not be reached: it is suspended and starts cold again.
    pub fn mark_unreachable(&mut self, target: &TargetName, now: Instant) {
        if let Some(ledger) = self.targets.get_mut(target) {
            ledger.suspend(now);
            ledger.window.apply(&self.chart, TargetEvent::Restarted);
        }
    }

    /// Refuses queued requests that can no longer meet their deadline or have no reachable target
    /// that approves their team, and grants those that fit. Only called while the steward's view
    /// is fresh and its ownership in force.
    pub fn dispatch(&mut self, approved: ApprovalCheck<'_>, now: Instant) {
        for ledger in self.targets.values_mut() {
            ledger.expire(now);
        }
        self.refuse_unservable(approved, now);
        while self.grant_urgent_long(approved, now)
            || self.grant_next(PromptLane::Short, approved, now)
            || self.grant_next(PromptLane::Long, approved, now)
        {}
        self.reserve_for_gang(approved);
    }

    /// Refuses all queued requests, with the shortest retry delay; used when ownership ends.
    pub fn refuse_all(&mut self) {
        for lane in [PromptLane::Short, PromptLane::Long] {
            for queued in self.queue(lane).remove_where(|_| true) {
                let reply = PoolReply::Refused {
                    refusal: PoolRefusal::NoTarget,
                    retry_after: MIN_RETRY_AFTER,
                };
                self.replies.push((queued.ticket, reply));
            }
        }
    }

    /// Removes and returns the replies made since the last call.
    pub fn take_replies(&mut self) -> Vec<(TicketId, PoolReply)> {
        std::mem::take(&mut self.replies)
    }

    /// Capacity, queue lengths and estimated waits.
    pub fn load(&self) -> PoolLoad {
        PoolLoad {
            targets: self.serving().count() as u32,
            slots: self.serving().map(|ledger| ledger.window.limit()).sum(),
            running: self.serving().map(|ledger| ledger.running() as u32).sum(),
            waiting: (self.short_queue.len() + self.long_queue.len()) as u32,
            short_wait_ms: self.estimated_wait_in_lane(PromptLane::Short).as_millis() as u64,
            long_wait_ms: self.estimated_wait_in_lane(PromptLane::Long).as_millis() as u64,
            memory_tokens: self.serving().map(|ledger| ledger.memory_tokens).sum(),
        }
    }

    fn queue(&mut self, lane: PromptLane) -> &mut FairQueue<QueuedRequest> {
        match (self.policy, lane) {
            (PlacementPolicy::Lanes, PromptLane::Long) => &mut self.long_queue,
            _ => &mut self.short_queue,
        }
    }

    /// The policies other than `Lanes` queue in order of arrival: for all targets, or for the
    /// assigned one.
    fn enqueue(&mut self, queued: QueuedRequest) {
        let cost = queued.request.memory_tokens();
        let (queue_name, weight) = match self.policy {
            PlacementPolicy::Lanes => (queued.request.team.clone(), queued.request.weight),
            _ => {
                let name = queued
                    .assigned_target
                    .as_ref()
                    .map_or("", TargetName::as_str);
                (TeamName::new(name), 1)
            }
        };
        let lane = queued.lane;
        self.queue(lane).push(&queue_name, weight, cost, queued);
    }

    fn assign_on_arrival(
        &mut self,
        request: &PoolRequest,
        approved: ApprovalCheck<'_>,
    ) -> Option<TargetName> {
        let waiting_for = |name: &TargetName| {
            let queued = self.short_queue.iter();
            queued
                .filter(|item| item.assigned_target.as_ref() == Some(name))
                .count()
        };
        let candidates = candidates(&self.targets, &request.team, approved);
        let assigned_target = match self.policy {
            PlacementPolicy::RoundRobin => {
                let index = self.next_target_index % candidates.len().max(1);
                candidates.get(index).map(|target| target.name.clone())
            }
            PlacementPolicy::LeastLoaded => least_loaded(&candidates, waiting_for).cloned(),
            PlacementPolicy::Lanes | PlacementPolicy::SharedQueue => None,
        };
        self.next_target_index = self.next_target_index.wrapping_add(1);
        assigned_target
    }

    fn refusal_on_arrival(
        &self,
        request: &PoolRequest,
        lane: PromptLane,
        approved: ApprovalCheck<'_>,
        now: Instant,
    ) -> Option<PoolRefusal> {
        let candidates = candidates(&self.targets, &request.team, approved);
        if let Some(refusal) = unavailable_refusal(&candidates, now) {
            return Some(refusal);
        }
        let target_memory = candidates
            .iter()
            .map(|target| target.ledger.memory_tokens)
            .min();
        if gang_size(request.memory_tokens(), target_memory.unwrap_or(0)) > candidates.len() {
            return Some(PoolRefusal::TooLong);
        }
        let done = now + self.estimated_wait_for_team(request, lane) + self.service_time(request);
        if done > request.deadline {
            return Some(PoolRefusal::Deadline);
        }
        let must_start_at_once = request.idle_only && self.policy == PlacementPolicy::Lanes;
        let starts_at_once = self.would_start_at_once(request, lane, &candidates, now);
        (must_start_at_once && !starts_at_once).then_some(PoolRefusal::Busy)
    }

    /// Whether a request would start at once on a target that prefills nothing else.
    fn would_start_at_once(
        &self,
        request: &PoolRequest,
        lane: PromptLane,
        candidates: &[PlacementCandidate<'_>],
        now: Instant,
    ) -> bool {
        let queue = match lane {
            PromptLane::Short => &self.short_queue,
            PromptLane::Long => &self.long_queue,
        };
        let idle: Vec<PlacementCandidate<'_>> = candidates
            .iter()
            .filter(|target| target.ledger.is_reachable(now))
            .filter(|target| target.ledger.prefill_backlog() == 0)
            .copied()
            .collect();
        let need = PlacementNeed {
            memory_tokens: request.memory_tokens(),
            lane,
            prefix_hash: request.prefix_hash,
        };
        let long_slots = free_long_slots(self.max_long_targets(now), candidates);
        queue.is_empty() && place_by_lanes(&idle, need, long_slots, &self.gang_reserved).is_some()
    }

    /// Estimated time to serve a request on targets without other requests.
    fn service_time(&self, request: &PoolRequest) -> Duration {
        let target_memory = self
            .targets
            .values()
            .map(|ledger| ledger.memory_tokens)
            .min();
        let size =
            gang_size(request.memory_tokens(), target_memory.unwrap_or(u64::MAX)).max(1) as u64;
        self.rate.prefill_time(request.prompt_tokens / size)
            + self.rate.decode_time(request.max_output_tokens)
    }

    /// Estimated time until a request would start, given the shares of its team and the others.
    fn estimated_wait_for_team(&self, request: &PoolRequest, lane: PromptLane) -> Duration {
        let queue = match lane {
            PromptLane::Short => &self.short_queue,
            PromptLane::Long => &self.long_queue,
        };
        let target_count = self.serving().count().max(1) as u64;
        let cost_ahead = queue.cost_ahead(&request.team, request.weight);
        match self.policy {
            PlacementPolicy::Lanes => self
                .rate
                .prefill_time((cost_ahead + self.backlog_tokens()) / target_count),
            _ => self.estimated_wait_in_lane(lane),
        }
    }

    /// Estimated time until a new request of any team would start.
    fn estimated_wait_in_lane(&self, lane: PromptLane) -> Duration {
        match lane {
            PromptLane::Short => self.short_wait(),
            PromptLane::Long => self.long_wait(),
        }
    }

    /// A short prompt waits for other short ones, and for the current chunk of a long prompt
    /// on the same target.
    fn short_wait(&self) -> Duration {
        let with_slot = self.serving().filter(|ledger| ledger.has_slot());
        let waits = with_slot.map(|ledger| {
            let chunk = match ledger.in_long_prefill() {
                true => PREFILL_CHUNK_TIME,
                false => Duration::ZERO,
            };
            self.rate.prefill_time(ledger.short_prefill_backlog()) + chunk
        });
        let target_count = self.serving().count().max(1) as u64;
        let tokens = self
            .short_queue
            .iter()
            .map(|item| item.request.prompt_tokens);
        let queue_time = self.rate.prefill_time(tokens.sum::<u64>() / target_count);
        let without_slot = || self.rate.prefill_time(self.backlog_tokens() / target_count);
        queue_time + waits.min().unwrap_or_else(without_slot)
    }

    fn long_wait(&self) -> Duration {
        let queues = [&self.short_queue, &self.long_queue];
        let queued = queues.iter().flat_map(|queue| queue.iter());
        let queued_tokens: u64 = queued.map(|item| item.request.prompt_tokens).sum();
        let target_count = self.serving().count().max(1) as u64;
        self.rate
            .prefill_time((queued_tokens + self.backlog_tokens()) / target_count)
    }

    fn serving(&self) -> impl Iterator<Item = &TargetLedger> {
        self.targets.values().filter(|ledger| ledger.in_service)
    }

    fn backlog_tokens(&self) -> u64 {
        self.serving().map(TargetLedger::prefill_backlog).sum()
    }

    fn refuse(&mut self, ticket: TicketId, refusal: PoolRefusal, lane: PromptLane) {
        let retry_after = self
            .estimated_wait_in_lane(lane)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let reply = PoolReply::Refused {
            refusal,
            retry_after,
        };
        self.replies.push((ticket, reply));
    }

    fn refuse_unservable(&mut self, approved: ApprovalCheck<'_>, now: Instant) {
        for lane in [PromptLane::Short, PromptLane::Long] {
            let mut queue = std::mem::take(self.queue(lane));
            let mut refusals = Vec::new();
            queue.remove_where(|queued| {
                let refusal = self.refusal_in_queue(&queued.request, approved, now);
                refusals.extend(refusal.map(|refusal| (queued.ticket, refusal)));
                refusal.is_some()
            });
            *self.queue(lane) = queue;
            for (ticket, refusal) in refusals {
                self.refuse(ticket, refusal, lane);
            }
        }
    }

    fn refusal_in_queue(
        &self,
        request: &PoolRequest,
        approved: ApprovalCheck<'_>,
        now: Instant,
    ) -> Option<PoolRefusal> {
        if now + self.service_time(request) > request.deadline {
            return Some(PoolRefusal::Deadline);
        }
        unavailable_refusal(&candidates(&self.targets, &request.team, approved), now)
    }

    /// Grants the long request with the least slack, ahead of the fair order, if its slack is
    /// shorter than its service time.
    fn grant_urgent_long(&mut self, approved: ApprovalCheck<'_>, now: Instant) -> bool {
        let slack = |queued: &QueuedRequest| {
            let time_left = queued.request.deadline.saturating_duration_since(now);
            time_left.saturating_sub(self.service_time(&queued.request))
        };
        let urgent = self
            .long_queue
            .iter()
            .filter(|queued| slack(queued) < self.service_time(&queued.request))
            .min_by_key(|queued| slack(queued))
            .map(|queued| queued.ticket);
        let Some(ticket) = urgent else {
            return false;
        };
        let Some(queued) = self.long_queue.iter().find(|item| item.ticket == ticket) else {
            return false;
        };
        let Some(names) = self.place(queued, approved, now) else {
            return false;
        };
        let removed = self.long_queue.remove_where(|item| item.ticket == ticket);
        for queued in removed {
            self.grant(&queued, &names, approved, now);
        }
        true
    }

    fn grant_next(&mut self, lane: PromptLane, approved: ApprovalCheck<'_>, now: Instant) -> bool {
        let mut queue = std::mem::take(self.queue(lane));
        let mut chosen = None;
        let popped = queue.pop_where(|queued| {
            chosen = self.place(queued, approved, now);
            chosen.is_some()
        });
        *self.queue(lane) = queue;
        let (Some(queued), Some(names)) = (popped, chosen) else {
            return false;
        };
        self.grant(&queued, &names, approved, now);
        true
    }

    fn place(
        &self,
        queued: &QueuedRequest,
        approved: ApprovalCheck<'_>,
        now: Instant,
    ) -> Option<Vec<TargetName>> {
        let need = PlacementNeed {
            memory_tokens: queued.request.memory_tokens(),
            lane: queued.lane,
            prefix_hash: queued.request.prefix_hash,
        };
        let mut all = candidates(&self.targets, &queued.request.team, approved);
        all.retain(|target| target.ledger.is_reachable(now));
        let target_memory = all.iter().map(|target| target.ledger.memory_tokens).min()?;
        let is_gang = gang_size(need.memory_tokens, target_memory) > 1;
        if self.policy == PlacementPolicy::Lanes || is_gang {
            let none = BTreeSet::new();
            let reserved = if is_gang { &none } else { &self.gang_reserved };
            return place_by_lanes(&all, need, self.max_long_targets(now), reserved);
        }
        let assigned_target = queued.assigned_target.as_ref();
        let chosen = all
            .iter()
            .filter(|target| assigned_target.is_none_or(|name| name == target.name))
            .filter(|target| target.ledger.fits(need.memory_tokens))
            .min_by_key(|target| (target.ledger.running(), target.name))?;
        Some(vec![chosen.name.clone()])
    }

    fn max_long_targets(&self, now: Instant) -> usize {
        let serving = self.serving().count();
        let capacity = self.rate.prefill_tokens_per_s() * serving.max(1) as f64;
        max_long_targets(serving, self.short_demand.tokens_per_s(now) / capacity)
    }

    fn grant(
        &mut self,
        queued: &QueuedRequest,
        names: &[TargetName],
        approved: ApprovalCheck<'_>,
        now: Instant,
    ) {
        let request = &queued.request;
        let alternatives = candidates(&self.targets, &request.team, approved).len();
        let size = names.len().max(1) as u64;
        let memory_tokens = request.memory_tokens().div_ceil(size);
        let use_by = now + GRANT_USE_TIMEOUT;
        let mut parts = Vec::new();
        for name in names {
            self.next_serial += 1;
            let id = GrantId {
                epoch: self.epoch,
                serial: self.next_serial,
            };
            let Some(ledger) = self.targets.get_mut(name) else {
                continue;
            };
            let grant = TargetGrant {
                request: request.request,
                memory_tokens,
                prompt_tokens: request.prompt_tokens / size,
                backlog_tokens: ledger.prefill_backlog() + request.prompt_tokens / size,
                lane: queued.lane,
                prefilled: false,
                use_by,
                expires: request.deadline,
            };
            ledger.reserve(id, grant);
            parts.push(GrantPart {
                grant: id,
                target: name.clone(),
                address: self.addresses.get(name).cloned().unwrap_or_default(),
                memory_tokens,
            });
        }
        let reply = PoolReply::Granted {
            parts,
            use_by,
            lane: queued.lane,
            priority: self.priority(request.prompt_tokens),
            alternatives,
            queue_time: now.saturating_duration_since(queued.queued_at),
        };
        self.replies.push((queued.ticket, reply));
    }

    /// The policies other than `Lanes` leave the order of requests to the target.
    fn priority(&self, prompt_tokens: u64) -> i64 {
        match self.policy {
            PlacementPolicy::Lanes => length_priority(prompt_tokens),
            _ => 0,
        }
    }

    /// Keeps other long prompts off the targets of the long request that has waited longest, if
    /// it needs more than one.
    fn reserve_for_gang(&mut self, approved: ApprovalCheck<'_>) {
        let oldest_queued = self.long_queue.iter().min_by_key(|queued| queued.queued_at);
        let wanted_targets = oldest_queued.map(|queued| {
            let all = candidates(&self.targets, &queued.request.team, approved);
            (gang_targets(&all, queued.request.memory_tokens()), queued)
        });
        self.gang_reserved = match wanted_targets {
            Some((targets, _)) if targets.len() > 1 => targets,
            _ => BTreeSet::new(),
        };
    }
}

/// Why no candidate can get a request at present, or `None` if one can.
fn unavailable_refusal(candidates: &[PlacementCandidate<'_>], now: Instant) -> Option<PoolRefusal> {
    if candidates.is_empty() {
        return Some(PoolRefusal::NoTarget);
    }
    let is_reachable = candidates
        .iter()
        .any(|target| target.ledger.is_reachable(now));
    (!is_reachable).then_some(PoolRefusal::Unreachable)
}

/// Number of further targets that may start a long prefill, out of `limit`.
fn free_long_slots(limit: usize, candidates: &[PlacementCandidate<'_>]) -> usize {
    let in_long_prefill = candidates
        .iter()
        .filter(|target| target.ledger.in_long_prefill());
    limit.saturating_sub(in_long_prefill.count())
}

/// Targets in service at which the team is approved.
fn candidates<'a>(
    targets: &'a BTreeMap<TargetName, TargetLedger>,
    team: &TeamName,
    approved: ApprovalCheck<'_>,
) -> Vec<PlacementCandidate<'a>> {
    targets
        .iter()
        .filter(|(name, ledger)| ledger.in_service && approved(team, name))
        .map(|(name, ledger)| PlacementCandidate { name, ledger })
        .collect()
}
