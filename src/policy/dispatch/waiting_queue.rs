//! Waiting prompts in the order in which they are decided, with what rules out a decision on many of
//! them at once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::queue_order::{QueueKey, QueuePosition, QueueRules};
use super::request::JobId;
use super::{
    LATE_WAIT_SHARE, MAX_SHARED_PREFILL, MAX_SHORT_PREFILL, MIN_RETRY_AFTER, QueuedRequest,
    RequestTimes,
};
use crate::ids::VmName;
use crate::policy::account_shares::Account;
use crate::policy::summary_tree::{EntrySlot, RangeSummary, SearchRange, SummaryTree};

/// Memory that stands for no prompt.
const NO_MEMORY: u64 = u64::MAX;

/// What the places of all waiting prompts depend on, beside the time and the shares of accounts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct QueueTerms {
    pub(super) rules: QueueRules,
    /// Whether long prompts come before short ones.
    pub(super) is_long_first: bool,
    /// Memory, in tokens, of the engines that a prompt may be split over.
    pub(super) max_memory: u64,
}

/// Place of a prompt: prompts of equal keys are decided in the order of their arrival.
pub(super) type QueuePlace = (QueueKey, u64);

/// A waiting prompt, and the prefill of the prompts ahead of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueCandidate {
    pub(super) slot: EntrySlot,
    pub(super) queued_prefill: Duration,
}

/// Smallest needs and earliest due times of the prompts of a part of the queue. `None`, [`NO_MEMORY`]
/// and [`Duration::MAX`] stand for no prompt.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueSummary {
    /// Sum of the prefills on one engine.
    prefill: Duration,
    /// Time at which the first prompt that still counts as on time becomes late.
    late_at: Option<Instant>,
    /// Whether a prompt is to be refused at once, because of its memory.
    has_refusable: bool,
    /// Smallest memory of the prompts that may share an engine.
    shared_memory: u64,
    /// Smallest memory of the prompts that may be split and are not only placed first in the queue.
    split_memory: u64,
    /// Smallest number of tokens of these prompts; 0 for one with excluded targets.
    split_tokens: u64,
    /// Largest value of these prompts.
    split_value: f64,
    /// Latest time to start a prompt that may share an engine, if its first event is to come before its
    /// caller gives up; the earliest of these times.
    shared_start: Option<Instant>,
    /// The same for a long prompt that is split over all engines.
    long_start: Option<Instant>,
    /// Latest time to start a long prompt that meets its objective; the earliest of these times.
    long_on_time_start: Option<Instant>,
    /// Shortest queue time for which a long prompt that will be late is refused.
    long_queue_time: Duration,
}

impl Default for QueueSummary {
    fn default() -> Self {
        Self {
            prefill: Duration::ZERO,
            late_at: None,
            has_refusable: false,
            shared_memory: NO_MEMORY,
            split_memory: NO_MEMORY,
            split_tokens: u64::MAX,
            split_value: 0.0,
            shared_start: None,
            long_start: None,
            long_on_time_start: None,
            long_queue_time: Duration::MAX,
        }
    }
}

fn earlier(first: Option<Instant>, second: Option<Instant>) -> Option<Instant> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.min(second)),
        (first, second) => first.or(second),
    }
}

impl RangeSummary for QueueSummary {
    type Amount = Duration;

    fn followed_by(&self, behind: &Self) -> Self {
        Self {
            prefill: self.prefill + behind.prefill,
            late_at: earlier(self.late_at, behind.late_at),
            has_refusable: self.has_refusable || behind.has_refusable,
            shared_memory: self.shared_memory.min(behind.shared_memory),
            split_memory: self.split_memory.min(behind.split_memory),
            split_tokens: self.split_tokens.min(behind.split_tokens),
            split_value: self.split_value.max(behind.split_value),
            shared_start: earlier(self.shared_start, behind.shared_start),
            long_start: earlier(self.long_start, behind.long_start),
            long_on_time_start: earlier(self.long_on_time_start, behind.long_on_time_start),
            long_queue_time: self.long_queue_time.min(behind.long_queue_time),
        }
    }

    fn amount(&self) -> Duration {
        self.prefill
    }
}

impl QueueSummary {
    /// Summary of one prompt, which counts as late if `is_late`.
    fn of(queued: &QueuedRequest, is_late: bool, terms: &QueueTerms) -> Self {
        let times = &queued.times;
        let gives_up_at = queued.gives_up_at();
        let memory = queued.needed_memory();
        let lacks_memory = queued.memory_at + times.min_first_event > gives_up_at;
        let may_share = times.unsplit_prefill <= MAX_SHARED_PREFILL;
        let is_short = times.unsplit_prefill <= MAX_SHORT_PREFILL;
        let may_split = !is_short && (may_share || !is_late);
        let mut single = Self {
            prefill: times.unsplit_prefill,
            late_at: (!is_late).then(|| late_at(queued)).flatten(),
            has_refusable: memory > terms.max_memory || lacks_memory,
            ..Self::default()
        };
        if may_split {
            let request = &queued.request;
            let is_free = request.excluded_targets.is_empty();
            single.split_memory = memory;
            single.split_tokens = if is_free { request.prompt_tokens } else { 0 };
            single.split_value = queued.value();
        }
        if may_share {
            let start = gives_up_at.checked_sub(times.unsplit_prefill + times.single_pass);
            return Self {
                shared_memory: memory,
                has_refusable: single.has_refusable || start.is_none(),
                shared_start: start,
                ..single
            };
        }
        let start = gives_up_at.checked_sub(times.min_first_event);
        let on_time_start = queued.objective_at().checked_sub(times.min_first_event);
        let max_queue_time = queued.request.objective.mul_f64(LATE_WAIT_SHARE);
        Self {
            has_refusable: single.has_refusable || start.is_none() || on_time_start.is_none(),
            long_start: start,
            long_on_time_start: on_time_start,
            long_queue_time: max_queue_time.max(MIN_RETRY_AFTER),
            ..single
        }
    }

    /// Whether a prompt has too much memory for the engines, or may have to be refused for its memory.
    pub(super) fn has_refusable(&self) -> bool {
        self.has_refusable
    }

    /// Whether a prompt that may share an engine needs less than `memory`.
    pub(super) fn may_share_below(&self, memory: Option<u64>) -> bool {
        self.shared_memory < memory.unwrap_or(NO_MEMORY)
    }

    /// Whether there is a prompt that may be split over engines.
    pub(super) fn may_split(&self) -> bool {
        self.split_memory != NO_MEMORY
    }

    /// Whether a prompt that may be split needs at most `memory`.
    pub(super) fn may_split_within(&self, memory: u64) -> bool {
        self.may_split() && self.split_memory <= memory
    }

    /// Fewest tokens of a prompt that may be split, and the largest value of such a prompt.
    pub(super) fn split_tokens_and_value(&self) -> (u64, f64) {
        (self.split_tokens, self.split_value)
    }

    /// Whether a prompt may be refused that starts on an engine at `shared_start` if it may share one,
    /// and otherwise on all engines after `long_wait` from `now`.
    pub(super) fn may_be_refused(
        &self,
        shared_start: Instant,
        long_wait: Duration,
        now: Instant,
    ) -> bool {
        let is_after =
            |start: Instant, latest: Option<Instant>| latest.is_some_and(|latest| start > latest);
        let long_start = now + long_wait;
        is_after(shared_start, self.shared_start)
            || is_after(long_start, self.long_start)
            || (is_after(long_start, self.long_on_time_start) && long_wait > self.long_queue_time)
    }
}

/// Time from which a prompt counts as late; `None` if it always does.
fn late_at(queued: &QueuedRequest) -> Option<Instant> {
    let typical_first_event = queued.times.typical_first_event;
    queued.objective_at().checked_sub(typical_first_event)
}

/// The queue, sorted. A prompt moves when it becomes late, when the share state of its account changes,
/// and when the terms change.
#[derive(Debug, Default)]
pub(super) struct WaitingQueue {
    prompts: SummaryTree<QueuePlace, QueuedRequest, QueueSummary>,
    slots_by_job: BTreeSet<(JobId, EntrySlot)>,
    /// Prompts by account, while shares count.
    slots_by_account: BTreeMap<Account, BTreeSet<EntrySlot>>,
    terms: QueueTerms,
    over_share: BTreeSet<Account>,
    /// Time for which the places are right.
    sorted_at: Option<Instant>,
    /// Whether all places are to be computed anew.
    is_unsorted: bool,
    arrivals: u64,
}

impl WaitingQueue {
    pub(super) fn len(&self) -> usize {
        self.prompts.len()
    }

    pub(super) fn jobs(&self) -> impl Iterator<Item = JobId> {
        self.slots_by_job.iter().map(|(job, _)| *job)
    }

    pub(super) fn get(&self, slot: EntrySlot) -> &QueuedRequest {
        self.prompts.value(slot)
    }

    pub(super) fn place(&self, slot: EntrySlot) -> QueuePlace {
        self.prompts.key(slot)
    }

    pub(super) fn insert(&mut self, queued: QueuedRequest, now: Instant) {
        self.sorted_at = self.sorted_at.max(Some(now));
        let job = queued.request.job;
        let account = self.terms.rules.shares.then(|| queued.request.team.clone());
        let (key, summary) = self.position(&queued, now);
        self.arrivals += 1;
        let slot = self.prompts.insert((key, self.arrivals), summary, queued);
        self.slots_by_job.insert((job, slot));
        if let Some(account) = account {
            self.slots_by_account
                .entry(account)
                .or_default()
                .insert(slot);
        }
    }

    pub(super) fn remove(&mut self, slot: EntrySlot) -> QueuedRequest {
        let queued = self.prompts.remove(slot);
        self.slots_by_job.remove(&(queued.request.job, slot));
        if let Some(slots) = self.slots_by_account.get_mut(&queued.request.team) {
            slots.remove(&slot);
            if slots.is_empty() {
                self.slots_by_account.remove(&queued.request.team);
            }
        }
        queued
    }

    /// Removes the prompt of `job`; returns whether it waited.
    pub(super) fn remove_job(&mut self, job: JobId) -> bool {
        let slots = self.slots_by_job.range((job, EntrySlot::FIRST)..);
        let slots: Vec<EntrySlot> = slots
            .take_while(|(other, _)| *other == job)
            .map(|(_, slot)| *slot)
            .collect();
        for slot in &slots {
            self.remove(*slot);
        }
        !slots.is_empty()
    }

    /// Removes the prompts that `vm` serves; returns their jobs.
    pub(super) fn remove_vm(&mut self, vm: &VmName) -> Vec<JobId> {
        let prompts = self.prompts.entries();
        let of_vm = prompts.filter(|(_, queued)| queued.request.vm == *vm);
        let slots: Vec<EntrySlot> = of_vm.map(|(slot, _)| slot).collect();
        let removed = slots.into_iter().map(|slot| self.remove(slot).request.job);
        removed.collect()
    }

    /// Replaces the times of all prompts, computed by `times` from the number of prompt tokens.
    pub(super) fn set_times(&mut self, times: impl Fn(u64) -> RequestTimes) {
        let slots: Vec<EntrySlot> = self.prompts.entries().map(|(slot, _)| slot).collect();
        for slot in slots {
            let queued = self.prompts.value_mut(slot);
            queued.times = times(queued.request.prompt_tokens);
        }
        self.is_unsorted = true;
    }

    /// Has all places computed anew by the next [`Self::sort`].
    pub(super) fn invalidate(&mut self) {
        self.is_unsorted = true;
    }

    /// Moves the prompts whose place under `terms` is another at `now`, with the accounts of
    /// `over_share` over their share.
    pub(super) fn sort(&mut self, terms: QueueTerms, over_share: &BTreeSet<Account>, now: Instant) {
        let is_unsorted = self.is_unsorted
            || self.terms != terms
            || self.sorted_at.is_some_and(|sorted_at| now < sorted_at);
        let changed: Vec<Account> = self
            .over_share
            .symmetric_difference(over_share)
            .cloned()
            .collect();
        if !changed.is_empty() {
            self.over_share = over_share.clone();
        }
        self.terms = terms;
        self.sorted_at = Some(now);
        self.is_unsorted = false;
        if is_unsorted {
            self.sort_all(now);
            return;
        }
        for account in changed {
            let slots = self.slots_by_account.get(&account);
            for slot in slots.cloned().unwrap_or_default() {
                self.reposition(slot, now);
            }
        }
        let is_due = |range: SearchRange<QueueSummary>| {
            range.entries.late_at.is_some_and(|late_at| late_at <= now)
        };
        while let Some((slot, _)) = self.prompts.find_after(None, is_due) {
            self.reposition(slot, now);
        }
    }

    fn sort_all(&mut self, now: Instant) {
        let slots: Vec<EntrySlot> = self.prompts.entries().map(|(slot, _)| slot).collect();
        self.slots_by_account.clear();
        for slot in slots {
            self.reposition(slot, now);
            if self.terms.rules.shares {
                let account = self.get(slot).request.team.clone();
                let slots = self.slots_by_account.entry(account);
                slots.or_default().insert(slot);
            }
        }
    }

    fn reposition(&mut self, slot: EntrySlot, now: Instant) {
        let (key, summary) = self.position(self.get(slot), now);
        let (_, arrival) = self.prompts.key(slot);
        self.prompts.update(slot, (key, arrival), summary);
    }

    fn position(&self, queued: &QueuedRequest, now: Instant) -> (QueueKey, QueueSummary) {
        let rules = self.terms.rules;
        let is_late = late_at(queued).is_none_or(|late_at| late_at <= now);
        let is_short = queued.times.unsplit_prefill <= MAX_SHORT_PREFILL;
        let position = QueuePosition {
            is_late,
            rank: queued.rank.map(|rank| rank.rank),
            is_over_share: rules.shares && self.over_share.contains(&queued.request.team),
            returns_as_told: queued.returns_as_told(),
            is_after_by_length: is_short == self.terms.is_long_first,
            objective_at: queued.objective_at(),
            job: queued.request.job,
        };
        let summary = QueueSummary::of(queued, is_late, &self.terms);
        (position.key(rules.ranks), summary)
    }

    /// The first prompt behind the place `after` on which a decision is possible. `may_decide` tells
    /// whether it is possible on any prompt of a range.
    pub(super) fn next_candidate(
        &self,
        after: Option<QueuePlace>,
        may_decide: impl FnMut(SearchRange<QueueSummary>) -> bool,
    ) -> Option<QueueCandidate> {
        let (slot, queued_prefill) = self.prompts.find_after(after, may_decide)?;
        Some(QueueCandidate {
            slot,
            queued_prefill,
        })
    }
}
