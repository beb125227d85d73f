//! Memory and concurrency of one target, and the grants made from them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::slow_start::ConcurrencyWindow;
use crate::ids::{GrantId, RequestId};
use crate::policy::lane::PromptLane;
use crate::view::table::TargetKind;

/// Longest delay until a stream that was sent shows in the target's reports.
pub const REPORT_LAG: Duration = Duration::from_secs(2);

/// Time without new work for a target that could not be reached.
const UNREACHABLE_SUSPENSION: Duration = Duration::from_secs(1);

/// Time after which a stream that the target lists without a grant is cancelled.
pub const UNGRANTED_STREAM_TIMEOUT: Duration = Duration::from_secs(10);

/// A reservation at one target.
#[derive(Debug, Clone)]
pub struct TargetGrant {
    /// Request that the grant is for.
    pub request: RequestId,
    /// Tokens of memory reserved.
    pub memory_tokens: u64,
    /// Tokens of the prompt that this target prefills.
    pub prompt_tokens: u64,
    /// Tokens that the target had to prefill when this was granted, its own included.
    pub backlog_tokens: u64,
    /// Lane by the prompt's length.
    pub lane: PromptLane,
    /// Whether the first token has come.
    pub prefilled: bool,
    /// Latest time for the entry to send the request.
    pub use_by: Instant,
    /// Deadline of the request, by which the target must have stopped.
    pub expires: Instant,
}

/// A stream or an exported KV cache in a target's own list.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamReport {
    /// Request that it belongs to.
    pub request: RequestId,
    /// Tokens of memory that it holds.
    pub tokens: u64,
}

/// Reservations at one target.
#[derive(Debug)]
pub struct TargetLedger {
    /// Memory for prompts and responses, in tokens.
    pub memory_tokens: u64,
    /// Limit of concurrent requests.
    pub window: ConcurrencyWindow,
    /// Engine or plain service; a service lists no streams.
    pub kind: TargetKind,
    /// Whether the table lets it take new work.
    pub in_service: bool,
    suspended_until: Option<Instant>,
    grants: BTreeMap<GrantId, TargetGrant>,
    ungranted_streams: BTreeMap<RequestId, UngrantedStream>,
}

/// A stream that the target lists and that has no grant.
#[derive(Debug)]
struct UngrantedStream {
    tokens: u64,
    first_seen: Instant,
}

impl TargetLedger {
    /// Creates a ledger without grants for a target in service.
    pub fn new(kind: TargetKind, memory_tokens: u64, window: ConcurrencyWindow) -> Self {
        Self {
            memory_tokens,
            window,
            kind,
            in_service: true,
            suspended_until: None,
            grants: BTreeMap::new(),
            ungranted_streams: BTreeMap::new(),
        }
    }

    /// Tokens of memory in use by grants and by streams without a grant.
    pub fn used(&self) -> u64 {
        let granted: u64 = self.grants.values().map(|grant| grant.memory_tokens).sum();
        let ungranted: u64 = self
            .ungranted_streams
            .values()
            .map(|stream| stream.tokens)
            .sum();
        granted + ungranted
    }

    /// Number of requests that count against the window: grants and streams without a grant.
    pub fn running(&self) -> usize {
        self.grants.len() + self.ungranted_streams.len()
    }

    /// Whether the window has room for one more request.
    pub fn has_slot(&self) -> bool {
        self.running() < self.window.limit() as usize
    }

    /// Whether the target is in service and has room for a request of `memory_tokens`.
    pub fn fits(&self, memory_tokens: u64) -> bool {
        let free_tokens = self.memory_tokens.saturating_sub(self.used());
        self.in_service && memory_tokens <= free_tokens && self.has_slot()
    }

    /// Whether the target may be tried: it is not suspended as unreachable.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.suspended_until.is_none_or(|until| until <= now)
    }

    /// Suspends a target that could not be reached from new work.
    pub fn suspend(&mut self, now: Instant) {
        self.suspended_until = Some(now + UNREACHABLE_SUSPENSION);
    }

    /// Ends the expired grants of a plain service: it lists no streams to reconcile with.
    pub fn expire(&mut self, now: Instant) {
        if self.kind == TargetKind::Service {
            self.grants.retain(|_, grant| grant.expires > now);
        }
    }

    /// Tokens of the prompts whose first token has not come yet.
    pub fn prefill_backlog(&self) -> u64 {
        let prefilling = self.grants.values().filter(|grant| !grant.prefilled);
        prefilling.map(|grant| grant.prompt_tokens).sum()
    }

    /// Tokens of the short prompts whose first token has not come yet.
    pub fn short_prefill_backlog(&self) -> u64 {
        let prefilling = self.grants.values().filter(|grant| !grant.prefilled);
        let short = prefilling.filter(|grant| grant.lane == PromptLane::Short);
        short.map(|grant| grant.prompt_tokens).sum()
    }

    /// Whether a long prompt is being prefilled.
    pub fn in_long_prefill(&self) -> bool {
        self.grants
            .values()
            .any(|grant| grant.lane == PromptLane::Long && !grant.prefilled)
    }

    /// The grants that have not ended.
    pub fn grants(&self) -> &BTreeMap<GrantId, TargetGrant> {
        &self.grants
    }

    /// Adds a reservation; the caller has checked [`Self::fits`].
    pub fn reserve(&mut self, id: GrantId, grant: TargetGrant) {
        self.ungranted_streams.remove(&grant.request);
        self.grants.insert(id, grant);
    }

    /// Ends a reservation and returns it, if it is at this target.
    pub fn release(&mut self, id: GrantId) -> Option<TargetGrant> {
        self.grants.remove(&id)
    }

    /// Records that the first token of a grant has come.
    pub fn mark_prefilled(&mut self, id: GrantId) {
        if let Some(grant) = self.grants.get_mut(&id) {
            grant.prefilled = true;
        }
    }

    /// Reconciles the ledger with the target's own list, requested at `requested_at`. Returns
    /// the requests to cancel at the target.
    ///
    /// A grant ends here only if the target does not list its request, so that memory never
    /// counts as free before the target has freed it. A list requested before `use_by` and
    /// [`REPORT_LAG`] have passed may lack a request that was sent.
    pub fn reconcile(
        &mut self,
        listed: &[StreamReport],
        requested_at: Instant,
        now: Instant,
    ) -> Vec<RequestId> {
        self.grants.retain(|_, grant| {
            let runs = listed.iter().any(|stream| stream.request == grant.request);
            let report_would_show_it = requested_at > grant.use_by + REPORT_LAG;
            runs || !(report_would_show_it || requested_at > grant.expires)
        });
        let overdue = self
            .grants
            .values()
            .filter(|grant| now > grant.expires)
            .map(|grant| grant.request);
        let mut cancel: Vec<RequestId> = overdue.collect();
        self.update_ungranted_streams(listed, now);
        let expired_streams = self
            .ungranted_streams
            .iter()
            .filter(|(_, stream)| now.duration_since(stream.first_seen) > UNGRANTED_STREAM_TIMEOUT)
            .map(|(request, _)| *request);
        cancel.extend(expired_streams);
        cancel
    }

    fn update_ungranted_streams(&mut self, listed: &[StreamReport], now: Instant) {
        let ungranted: Vec<&StreamReport> = listed
            .iter()
            .filter(|stream| {
                !self
                    .grants
                    .values()
                    .any(|grant| grant.request == stream.request)
            })
            .collect();
        self.ungranted_streams
            .retain(|request, _| ungranted.iter().any(|stream| stream.request == *request));
        for stream in ungranted {
            let known = self
                .ungranted_streams
                .entry(stream.request)
                .or_insert(UngrantedStream {
                    tokens: stream.tokens,
                    first_seen: now,
                });
            known.tokens = stream.tokens;
        }
    }
}
