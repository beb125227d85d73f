//! A pool of targets that one steward owns: its queue, its grants and its estimates.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::fair_queue::FairQueue;
use super::grant::{GrantEnd, GrantPart, PoolLoad, PoolRefusal, PoolReply, PoolRequest, TicketId};
use super::slow_start::{ConcurrencyWindow, TargetEvent};
use super::target_ledger::{StreamReport, TargetGrant, TargetLedger};
use crate::chart::StateChart;
use crate::ids::{GrantId, InstanceId, Offset, RequestId, TargetName, TeamName};
use crate::policy::estimate::{DemandMeter, RateEstimate};
use crate::policy::lane::{PromptLane, lane_of, length_priority, long_target_cap};
use crate::policy::placement::{
    PlacementCandidate, PlacementNeed, PlacementPolicy, gang_size, gang_targets, least_loaded,
    place_by_lanes,
};
use crate::view::fold::TargetRef;
use crate::view::in_force::GRANT_USE_BY;

/// A first token this many times later than expected counts as a failure.
const SLOW_FIRST_TOKEN: u32 = 8;
const SLOW_FIRST_TOKEN_FLOOR: Duration = Duration::from_secs(2);

/// Targets prefill long prompts in parts; a short prompt waits for the part under way.
const PREFILL_PART: Duration = Duration::from_millis(20);
const SHORTEST_RETRY: Duration = Duration::from_secs(1);
const LONGEST_RETRY: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct WaitingRequest {
    ticket: TicketId,
    request: PoolRequest,
    lane: PromptLane,
    arrived: Instant,
    assigned: Option<TargetName>,
}

/// Whether a team is approved at a target, as the view now says.
pub type ApprovalCheck<'a> = &'a dyn Fn(&TeamName, &TargetName) -> bool;

/// A pool's targets, queue and estimates.
#[derive(Debug)]
pub struct PoolLedger {
    chart: StateChart,
    policy: PlacementPolicy,
    epoch: Offset,
    next_serial: u64,
    next_turn: usize,
    targets: BTreeMap<TargetName, TargetLedger>,
    addresses: BTreeMap<TargetName, String>,
    short_queue: FairQueue<WaitingRequest>,
    long_queue: FairQueue<WaitingRequest>,
    reserved: BTreeSet<TargetName>,
    rate: RateEstimate,
    short_demand: DemandMeter,
    replies: Vec<(TicketId, PoolReply)>,
}

impl PoolLedger {
    /// A pool without targets, whose grants carry `epoch`.
    pub fn new(chart: StateChart, policy: PlacementPolicy, epoch: Offset) -> Self {
        Self {
            chart,
            policy,
            epoch,
            next_serial: 0,
            next_turn: 0,
            targets: BTreeMap::new(),
            addresses: BTreeMap::new(),
            short_queue: FairQueue::default(),
            long_queue: FairQueue::default(),
            reserved: BTreeSet::new(),
            rate: RateEstimate::default(),
            short_demand: DemandMeter::new(),
            replies: Vec::new(),
        }
    }

    /// Takes over the pool's targets from the table; one that is deleted stays, out of
    /// service, until its last grant has ended.
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

    /// The targets' ledgers.
    pub fn targets(&self) -> &BTreeMap<TargetName, TargetLedger> {
        &self.targets
    }

    /// Where a target is reached.
    pub fn address(&self, target: &TargetName) -> Option<&str> {
        self.addresses.get(target).map(String::as_str)
    }

    /// Queues a request; its answer comes from [`Self::take_replies`].
    pub fn acquire(
        &mut self,
        ticket: TicketId,
        request: PoolRequest,
        approved: ApprovalCheck<'_>,
        now: Instant,
    ) {
        let lane = lane_of(request.prompt, &self.rate);
        if let Some(refusal) = self.refusal_on_arrival(&request, lane, approved, now) {
            self.refuse(ticket, refusal, lane);
            return;
        }
        // What was refused is another pool's demand.
        if lane == PromptLane::Short {
            self.short_demand.record_arrival(request.prompt, now);
        }
        let assigned = self.assign_on_arrival(&request, approved);
        let waiting = WaitingRequest {
            ticket,
            lane,
            arrived: now,
            assigned,
            request,
        };
        self.enqueue(waiting);
    }

    /// Withdraws a request that still waits.
    pub fn cancel(&mut self, ticket: TicketId) {
        for queue in [&mut self.short_queue, &mut self.long_queue] {
            queue.remove_where(|waiting| waiting.ticket == ticket);
        }
    }

    /// Ends a grant and learns from how it ended.
    pub fn release(&mut self, grant: GrantId, end: GrantEnd, now: Instant) {
        for ledger in self.targets.values_mut() {
            if ledger.release(grant).is_none() {
                continue;
            }
            let event = match end {
                GrantEnd::Completed { .. } => TargetEvent::Completed,
                GrantEnd::Failed => TargetEvent::Failed,
                GrantEnd::Disconnected => TargetEvent::Restarted,
                GrantEnd::Withdrawn => break,
            };
            if end == GrantEnd::Disconnected {
                ledger.suspend(now);
            }
            ledger.window.apply(&self.chart, event);
            break;
        }
        if let GrantEnd::Completed {
            output,
            max_output,
            decode_ms,
        } = end
        {
            self.rate
                .learn_decode(output, max_output, Duration::from_millis(decode_ms));
        }
    }

    /// Notes that the first token of a grant came `elapsed` after it was sent.
    pub fn first_token(&mut self, grant: GrantId, elapsed: Duration) {
        for ledger in self.targets.values_mut() {
            let Some(held) = ledger.grants().get(&grant) else {
                continue;
            };
            let expected = self.rate.prefill_time(held.backlog);
            let slow = elapsed > expected * SLOW_FIRST_TOKEN + SLOW_FIRST_TOKEN_FLOOR;
            let backlog = held.backlog;
            ledger.mark_prefilled(grant);
            if slow {
                ledger.window.apply(&self.chart, TargetEvent::Failed);
            } else {
                self.rate.learn_prefill(backlog, elapsed);
            }
            return;
        }
    }

    /// Takes over a grant that the pool's previous steward made.
    pub fn adopt(&mut self, target: &TargetName, id: GrantId, grant: TargetGrant) {
        if let Some(ledger) = self.targets.get_mut(target) {
            ledger.reserve(id, grant);
        }
    }

    /// Compares a target's own list, asked for at `asked`, with its ledger. Returns
    /// the requests to cancel at the target.
    pub fn reconcile(
        &mut self,
        target: &TargetName,
        instance: &InstanceId,
        listed: &[StreamReport],
        asked: Instant,
        now: Instant,
    ) -> Vec<RequestId> {
        let Some(ledger) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        ledger.window.observe_instance(&self.chart, instance);
        ledger.reconcile(listed, asked, now)
    }

    /// Notes that a target could not be reached.
    pub fn target_unreachable(&mut self, target: &TargetName, now: Instant) {
        if let Some(ledger) = self.targets.get_mut(target) {
            ledger.suspend(now);
            ledger.window.apply(&self.chart, TargetEvent::Restarted);
        }
    }

    /// Refuses what cannot be served in time any more, and grants what fits. Only
    /// called while the steward's view is fresh and its ownership in force.
    pub fn dispatch(&mut self, approved: ApprovalCheck<'_>, now: Instant) {
        for ledger in self.targets.values_mut() {
            ledger.expire(now);
        }
        self.refuse_hopeless(approved, now);
        while self.grant_urgent(approved, now)
            || self.grant_next(PromptLane::Short, approved, now)
            || self.grant_next(PromptLane::Long, approved, now)
        {}
        self.gather_for_gang(approved);
    }

    /// Refuses everything that waits, with `retry_after`; used when ownership ends.
    pub fn refuse_all(&mut self) {
        for lane in [PromptLane::Short, PromptLane::Long] {
            for waiting in self.queue(lane).remove_where(|_| true) {
                let reply = PoolReply::Refused {
                    refusal: PoolRefusal::NoTarget,
                    retry_after: SHORTEST_RETRY,
                };
                self.replies.push((waiting.ticket, reply));
            }
        }
    }

    /// Answers made since the last call.
    pub fn take_replies(&mut self) -> Vec<(TicketId, PoolReply)> {
        std::mem::take(&mut self.replies)
    }

    /// How the pool stands.
    pub fn load(&self) -> PoolLoad {
        PoolLoad {
            targets: self.serving().count() as u32,
            slots: self.serving().map(|ledger| ledger.window.limit()).sum(),
            running: self.serving().map(|ledger| ledger.running() as u32).sum(),
            waiting: (self.short_queue.len() + self.long_queue.len()) as u32,
            short_wait_ms: self.estimated_wait(PromptLane::Short).as_millis() as u64,
            long_wait_ms: self.estimated_wait(PromptLane::Long).as_millis() as u64,
            memory: self.serving().map(|ledger| ledger.memory_tokens).sum(),
        }
    }

    fn queue(&mut self, lane: PromptLane) -> &mut FairQueue<WaitingRequest> {
        match (self.policy, lane) {
            (PlacementPolicy::Lanes, PromptLane::Long) => &mut self.long_queue,
            _ => &mut self.short_queue,
        }
    }

    /// Baselines queue in order of arrival: for all targets, or for the assigned one.
    fn enqueue(&mut self, waiting: WaitingRequest) {
        let cost = waiting.request.amount();
        let (queue_name, weight) = match self.policy {
            PlacementPolicy::Lanes => (waiting.request.team.clone(), waiting.request.weight),
            _ => {
                let name = waiting.assigned.as_ref().map_or("", TargetName::as_str);
                (TeamName::new(name), 1)
            }
        };
        let lane = waiting.lane;
        self.queue(lane).push(&queue_name, weight, cost, waiting);
    }

    fn assign_on_arrival(
        &mut self,
        request: &PoolRequest,
        approved: ApprovalCheck<'_>,
    ) -> Option<TargetName> {
        let waiting_for = |name: &TargetName| {
            let waiting = self.short_queue.iter();
            waiting
                .filter(|item| item.assigned.as_ref() == Some(name))
                .count()
        };
        let candidates = candidates(&self.targets, &request.team, approved);
        let assigned = match self.policy {
            PlacementPolicy::RoundRobin => {
                let turn = self.next_turn % candidates.len().max(1);
                candidates.get(turn).map(|target| target.name.clone())
            }
            PlacementPolicy::LeastLoaded => least_loaded(&candidates, waiting_for).cloned(),
            PlacementPolicy::Lanes | PlacementPolicy::SharedQueue => None,
        };
        self.next_turn = self.next_turn.wrapping_add(1);
        assigned
    }

    fn refusal_on_arrival(
        &self,
        request: &PoolRequest,
        lane: PromptLane,
        approved: ApprovalCheck<'_>,
        now: Instant,
    ) -> Option<PoolRefusal> {
        let candidates = candidates(&self.targets, &request.team, approved);
        if let Some(refusal) = no_way_in(&candidates, now) {
            return Some(refusal);
        }
        let memory = candidates
            .iter()
            .map(|target| target.ledger.memory_tokens)
            .min();
        if gang_size(request.amount(), memory.unwrap_or(0)) > candidates.len() {
            return Some(PoolRefusal::TooLong);
        }
        let done = now + self.wait_of(request, lane) + self.service_time(request);
        if done > request.deadline {
            return Some(PoolRefusal::Deadline);
        }
        let queue_elsewhere = request.idle_only && self.policy == PlacementPolicy::Lanes;
        let idle = self.idle_for(request, lane, &candidates, now);
        (queue_elsewhere && !idle).then_some(PoolRefusal::Busy)
    }

    /// Whether a request would start at once, without sharing a target's prefill.
    fn idle_for(
        &self,
        request: &PoolRequest,
        lane: PromptLane,
        candidates: &[PlacementCandidate<'_>],
        now: Instant,
    ) -> bool {
        let waiting = match lane {
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
            memory_tokens: request.amount(),
            lane,
            prefix_hash: request.prefix,
        };
        let room = long_room(self.long_cap(now), candidates);
        waiting.is_empty() && place_by_lanes(&idle, need, room, &self.reserved).is_some()
    }

    /// Time to serve a request that has its targets to itself.
    fn service_time(&self, request: &PoolRequest) -> Duration {
        let memory = self
            .targets
            .values()
            .map(|ledger| ledger.memory_tokens)
            .min();
        let size = gang_size(request.amount(), memory.unwrap_or(u64::MAX)).max(1) as u64;
        self.rate.prefill_time(request.prompt / size) + self.rate.decode_time(request.max_output)
    }

    /// Time until a team's request would start, the others' shares considered.
    fn wait_of(&self, request: &PoolRequest, lane: PromptLane) -> Duration {
        let queue = match lane {
            PromptLane::Short => &self.short_queue,
            PromptLane::Long => &self.long_queue,
        };
        let count = self.serving().count().max(1) as u64;
        let ahead = queue.cost_ahead(&request.team, request.weight);
        match self.policy {
            PlacementPolicy::Lanes => self.rate.prefill_time((ahead + self.backlog()) / count),
            _ => self.estimated_wait(lane),
        }
    }

    /// Time until a request that arrives now would start, whatever its team.
    fn estimated_wait(&self, lane: PromptLane) -> Duration {
        match lane {
            PromptLane::Short => self.short_wait(),
            PromptLane::Long => self.long_wait(),
        }
    }

    /// A short prompt waits for other short ones, and where a long one is being
    /// prefilled for the part of it under way.
    fn short_wait(&self) -> Duration {
        let room = self.serving().filter(|ledger| ledger.has_slot());
        let soonest = room.map(|ledger| {
            let behind_long = match ledger.in_long_prefill() {
                true => PREFILL_PART,
                false => Duration::ZERO,
            };
            self.rate.prefill_time(ledger.short_prefill_backlog()) + behind_long
        });
        let count = self.serving().count().max(1) as u64;
        let queued = self.short_queue.iter().map(|item| item.request.prompt);
        let queue = self.rate.prefill_time(queued.sum::<u64>() / count);
        let full = || self.rate.prefill_time(self.backlog() / count);
        queue + soonest.min().unwrap_or_else(full)
    }

    fn long_wait(&self) -> Duration {
        let queues = [&self.short_queue, &self.long_queue];
        let queued = queues.iter().flat_map(|queue| queue.iter());
        let waiting: u64 = queued.map(|item| item.request.prompt).sum();
        let count = self.serving().count().max(1) as u64;
        self.rate.prefill_time((waiting + self.backlog()) / count)
    }

    fn serving(&self) -> impl Iterator<Item = &TargetLedger> {
        self.targets.values().filter(|ledger| ledger.in_service)
    }

    fn backlog(&self) -> u64 {
        self.serving().map(TargetLedger::prefill_backlog).sum()
    }

    fn refuse(&mut self, ticket: TicketId, refusal: PoolRefusal, lane: PromptLane) {
        let retry_after = self
            .estimated_wait(lane)
            .clamp(SHORTEST_RETRY, LONGEST_RETRY);
        let reply = PoolReply::Refused {
            refusal,
            retry_after,
        };
        self.replies.push((ticket, reply));
    }

    fn refuse_hopeless(&mut self, approved: ApprovalCheck<'_>, now: Instant) {
        for lane in [PromptLane::Short, PromptLane::Long] {
            let mut queue = std::mem::take(self.queue(lane));
            let mut refusals = Vec::new();
            queue.remove_where(|waiting| {
                let refusal = self.refusal_while_waiting(&waiting.request, approved, now);
                refusals.extend(refusal.map(|refusal| (waiting.ticket, refusal)));
                refusal.is_some()
            });
            *self.queue(lane) = queue;
            for (ticket, refusal) in refusals {
                self.refuse(ticket, refusal, lane);
            }
        }
    }

    fn refusal_while_waiting(
        &self,
        request: &PoolRequest,
        approved: ApprovalCheck<'_>,
        now: Instant,
    ) -> Option<PoolRefusal> {
        if now + self.service_time(request) > request.deadline {
            return Some(PoolRefusal::Deadline);
        }
        no_way_in(&candidates(&self.targets, &request.team, approved), now)
    }

    /// Grants the long request with the least slack if waiting longer would make it late.
    fn grant_urgent(&mut self, approved: ApprovalCheck<'_>, now: Instant) -> bool {
        let slack = |waiting: &WaitingRequest| {
            let left = waiting.request.deadline.saturating_duration_since(now);
            left.saturating_sub(self.service_time(&waiting.request))
        };
        let urgent = self
            .long_queue
            .iter()
            .filter(|waiting| slack(waiting) < self.service_time(&waiting.request))
            .min_by_key(|waiting| slack(waiting))
            .map(|waiting| waiting.ticket);
        let Some(ticket) = urgent else {
            return false;
        };
        let Some(waiting) = self.long_queue.iter().find(|item| item.ticket == ticket) else {
            return false;
        };
        let Some(names) = self.place(waiting, approved, now) else {
            return false;
        };
        let removed = self.long_queue.remove_where(|item| item.ticket == ticket);
        for waiting in removed {
            self.grant(&waiting, &names, approved, now);
        }
        true
    }

    fn grant_next(&mut self, lane: PromptLane, approved: ApprovalCheck<'_>, now: Instant) -> bool {
        let mut queue = std::mem::take(self.queue(lane));
        let mut chosen = None;
        let taken = queue.pop_where(|waiting| {
            chosen = self.place(waiting, approved, now);
            chosen.is_some()
        });
        *self.queue(lane) = queue;
        let (Some(waiting), Some(names)) = (taken, chosen) else {
            return false;
        };
        self.grant(&waiting, &names, approved, now);
        true
    }

    fn place(
        &self,
        waiting: &WaitingRequest,
        approved: ApprovalCheck<'_>,
        now: Instant,
    ) -> Option<Vec<TargetName>> {
        let need = PlacementNeed {
            memory_tokens: waiting.request.amount(),
            lane: waiting.lane,
            prefix_hash: waiting.request.prefix,
        };
        let mut all = candidates(&self.targets, &waiting.request.team, approved);
        all.retain(|target| target.ledger.is_reachable(now));
        let memory = all.iter().map(|target| target.ledger.memory_tokens).min()?;
        let is_gang = gang_size(need.memory_tokens, memory) > 1;
        if self.policy == PlacementPolicy::Lanes || is_gang {
            let no_reserve = BTreeSet::new();
            let reserved = if is_gang { &no_reserve } else { &self.reserved };
            return place_by_lanes(&all, need, self.long_cap(now), reserved);
        }
        let assigned = waiting.assigned.as_ref();
        let chosen = all
            .iter()
            .filter(|target| assigned.is_none_or(|name| name == target.name))
            .filter(|target| target.ledger.fits(need.memory_tokens))
            .min_by_key(|target| (target.ledger.running(), target.name))?;
        Some(vec![chosen.name.clone()])
    }

    fn long_cap(&self, now: Instant) -> usize {
        let serving = self.serving().count();
        let capacity = self.rate.prefill_tokens_per_s() * serving.max(1) as f64;
        long_target_cap(serving, self.short_demand.tokens_per_s(now) / capacity)
    }

    fn grant(
        &mut self,
        waiting: &WaitingRequest,
        names: &[TargetName],
        approved: ApprovalCheck<'_>,
        now: Instant,
    ) {
        let request = &waiting.request;
        let alternatives = candidates(&self.targets, &request.team, approved).len();
        let size = names.len().max(1) as u64;
        let share = request.amount().div_ceil(size);
        let use_by = now + GRANT_USE_BY;
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
                amount: share,
                prompt: request.prompt / size,
                backlog: ledger.prefill_backlog() + request.prompt / size,
                lane: waiting.lane,
                prefilled: false,
                use_by,
                expires: request.deadline,
            };
            ledger.reserve(id, grant);
            parts.push(GrantPart {
                grant: id,
                target: name.clone(),
                address: self.addresses.get(name).cloned().unwrap_or_default(),
                share,
            });
        }
        let reply = PoolReply::Granted {
            parts,
            use_by,
            lane: waiting.lane,
            priority: self.priority(request.prompt),
            alternatives,
            waited: now.saturating_duration_since(waiting.arrived),
        };
        self.replies.push((waiting.ticket, reply));
    }

    /// Baselines leave the order of work to the target.
    fn priority(&self, prompt: u64) -> i64 {
        match self.policy {
            PlacementPolicy::Lanes => length_priority(prompt),
            _ => 0,
        }
    }

    /// Keeps other long prompts off the targets that the first waiting gang needs.
    fn gather_for_gang(&mut self, approved: ApprovalCheck<'_>) {
        let gang = self.long_queue.iter().min_by_key(|waiting| waiting.arrived);
        let wanted = gang.map(|waiting| {
            let all = candidates(&self.targets, &waiting.request.team, approved);
            (gang_targets(&all, waiting.request.amount()), waiting)
        });
        self.reserved = match wanted {
            Some((targets, _)) if targets.len() > 1 => targets,
            _ => BTreeSet::new(),
        };
    }
}

/// Why none of the candidates can take anything, if so.
fn no_way_in(candidates: &[PlacementCandidate<'_>], now: Instant) -> Option<PoolRefusal> {
    if candidates.is_empty() {
        return Some(PoolRefusal::NoTarget);
    }
    let is_reachable = candidates
        .iter()
        .any(|target| target.ledger.is_reachable(now));
    (!is_reachable).then_some(PoolRefusal::Unreachable)
}

/// How many more targets may begin a long prefill.
fn long_room(cap: usize, candidates: &[PlacementCandidate<'_>]) -> usize {
    let busy = candidates
        .iter()
        .filter(|target| target.ledger.in_long_prefill());
    cap.saturating_sub(busy.count())
}

/// Targets in service where the team is approved.
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
