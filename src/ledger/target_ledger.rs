//! One target's memory and concurrency, and the grants taken from them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::slow_start::StartWindow;
use crate::ids::{GrantId, RequestId};
use crate::policy::lane::PromptLane;
use crate::view::table::TargetKind;

/// Allowance for a report that lags behind what the target does.
pub const REPORT_LAG: Duration = Duration::from_secs(2);

/// A target that could not be reached gets no work for this long.
const AVOID_FOR: Duration = Duration::from_secs(1);

/// A stream that no ledger entry explains is cancelled after this long.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(10);

/// A reservation at one target.
#[derive(Debug, Clone)]
pub struct TargetGrant {
    /// The request.
    pub request: RequestId,
    /// Tokens of memory reserved.
    pub amount: u64,
    /// Tokens of the prompt that this target prefills.
    pub prompt: u64,
    /// Prompt tokens that the target had before it when this was granted, these included.
    pub backlog: u64,
    /// The request's lane.
    pub lane: PromptLane,
    /// Whether the first token has come.
    pub prefilled: bool,
    /// The entry may send until then.
    pub use_by: Instant,
    /// The request's deadline; the target must have stopped by then.
    pub expires: Instant,
}

/// What a target says about one of its streams or exported KV caches.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamReport {
    /// The request.
    pub request: RequestId,
    /// Tokens of memory that it holds.
    pub tokens: u64,
}

/// One target's reservations.
#[derive(Debug)]
pub struct TargetLedger {
    /// Tokens of memory.
    pub memory: u64,
    /// Concurrency that the target bears.
    pub window: StartWindow,
    /// Engine or plain service.
    pub kind: TargetKind,
    /// Whether it takes new work.
    pub in_service: bool,
    avoid_until: Option<Instant>,
    grants: BTreeMap<GrantId, TargetGrant>,
    strangers: BTreeMap<RequestId, StrangerStream>,
}

#[derive(Debug)]
struct StrangerStream {
    tokens: u64,
    first_seen: Instant,
}

impl TargetLedger {
    /// A ledger without grants.
    pub fn new(kind: TargetKind, memory: u64, window: StartWindow) -> Self {
        Self {
            memory,
            window,
            kind,
            in_service: true,
            avoid_until: None,
            grants: BTreeMap::new(),
            strangers: BTreeMap::new(),
        }
    }

    /// Tokens reserved, those of unexplained streams included.
    pub fn used(&self) -> u64 {
        let granted: u64 = self.grants.values().map(|grant| grant.amount).sum();
        let strange: u64 = self.strangers.values().map(|stream| stream.tokens).sum();
        granted + strange
    }

    /// Requests that count against the window.
    pub fn running(&self) -> usize {
        self.grants.len() + self.strangers.len()
    }

    /// Whether one more request fits the window.
    pub fn has_slot(&self) -> bool {
        self.running() < self.window.limit() as usize
    }

    /// Whether `amount` tokens and one more request fit.
    pub fn fits(&self, amount: u64) -> bool {
        let free = self.memory.saturating_sub(self.used());
        self.in_service && amount <= free && self.has_slot()
    }

    /// Whether it could be reached when last tried, or enough time has passed to try again.
    pub fn reachable(&self, now: Instant) -> bool {
        self.avoid_until.is_none_or(|until| until <= now)
    }

    /// Notes that it could not be reached.
    pub fn avoid(&mut self, now: Instant) {
        self.avoid_until = Some(now + AVOID_FOR);
    }

    /// Ends the grants of a plain service, which lists no streams, at their deadline.
    pub fn expire(&mut self, now: Instant) {
        if self.kind == TargetKind::Service {
            self.grants.retain(|_, grant| grant.expires > now);
        }
    }

    /// Prompt tokens whose first token has not come yet.
    pub fn prefill_backlog(&self) -> u64 {
        let waiting = self.grants.values().filter(|grant| !grant.prefilled);
        waiting.map(|grant| grant.prompt).sum()
    }

    /// Prompt tokens of short prompts whose first token has not come yet.
    pub fn short_backlog(&self) -> u64 {
        let waiting = self.grants.values().filter(|grant| !grant.prefilled);
        let short = waiting.filter(|grant| grant.lane == PromptLane::Short);
        short.map(|grant| grant.prompt).sum()
    }

    /// Whether a long prompt is being prefilled.
    pub fn in_long_prefill(&self) -> bool {
        self.grants
            .values()
            .any(|grant| grant.lane == PromptLane::Long && !grant.prefilled)
    }

    /// The grants by id.
    pub fn grants(&self) -> &BTreeMap<GrantId, TargetGrant> {
        &self.grants
    }

    /// Takes a reservation; the caller has checked [`Self::fits`].
    pub fn reserve(&mut self, id: GrantId, grant: TargetGrant) {
        self.strangers.remove(&grant.request);
        self.grants.insert(id, grant);
    }

    /// Ends a reservation.
    pub fn release(&mut self, id: GrantId) -> Option<TargetGrant> {
        self.grants.remove(&id)
    }

    /// Notes that the first token of a grant has come.
    pub fn mark_prefilled(&mut self, id: GrantId) {
        if let Some(grant) = self.grants.get_mut(&id) {
            grant.prefilled = true;
        }
    }

    /// Compares the ledger with the target's own list, which was asked for at `asked`.
    /// Returns the requests to cancel at the target. A grant ends here only when the
    /// target no longer lists it, so memory is never counted free before it is.
    pub fn reconcile(
        &mut self,
        listed: &[StreamReport],
        asked: Instant,
        now: Instant,
    ) -> Vec<RequestId> {
        self.grants.retain(|_, grant| {
            let runs = listed.iter().any(|stream| stream.request == grant.request);
            let unused = asked > grant.use_by + REPORT_LAG;
            runs || !(unused || asked > grant.expires)
        });
        let overdue = self
            .grants
            .values()
            .filter(|grant| now > grant.expires)
            .map(|grant| grant.request);
        let mut cancel: Vec<RequestId> = overdue.collect();
        self.note_strangers(listed, now);
        let orphans = self
            .strangers
            .iter()
            .filter(|(_, stream)| now.duration_since(stream.first_seen) > ORPHAN_GRACE)
            .map(|(request, _)| *request);
        cancel.extend(orphans);
        cancel
    }

    fn note_strangers(&mut self, listed: &[StreamReport], now: Instant) {
        let unexplained: Vec<&StreamReport> = listed
            .iter()
            .filter(|stream| {
                !self
                    .grants
                    .values()
                    .any(|grant| grant.request == stream.request)
            })
            .collect();
        self.strangers
            .retain(|request, _| unexplained.iter().any(|stream| stream.request == *request));
        for stream in unexplained {
            let seen = self
                .strangers
                .entry(stream.request)
                .or_insert(StrangerStream {
                    tokens: stream.tokens,
                    first_seen: now,
                });
            seen.tokens = stream.tokens;
        }
    }
}
