//! Claims: who may send a non-idempotent request, decided by log order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::{ClaimId, Offset, RequestId, VmName};
use crate::view::record::{ClaimEvent, ClaimKey, ClaimOutcome};

/// How long a key is remembered, in milliseconds of platform time.
pub const CLAIM_WINDOW_MS: u64 = 3_600_000;

/// The attempt that holds a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The attempt.
    pub claim: ClaimId,
    /// Digest of the request's content.
    pub digest: u64,
    /// The VM of the sender.
    pub vm: VmName,
    /// The caller's request that made the attempt.
    pub request: RequestId,
    /// Where the claim stands in the log.
    pub offset: Offset,
    /// What came of it; `None` while it may still run.
    pub outcome: Option<ClaimOutcome>,
}

/// When something about a key was written, so that it can be forgotten in time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ClaimMark {
    at_ms: u64,
    key: ClaimKey,
    claim: ClaimId,
}

/// All claims within the window.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimBook {
    holders: BTreeMap<ClaimKey, ClaimHolder>,
    released: BTreeSet<ClaimId>,
    marks: VecDeque<ClaimMark>,
}

impl ClaimBook {
    /// Folds the steps of one record.
    pub(crate) fn fold(&mut self, items: &[ClaimEvent], offset: Offset, at_ms: u64) {
        self.forget_before(at_ms.saturating_sub(CLAIM_WINDOW_MS));
        for item in items {
            self.apply(item, offset, at_ms);
        }
    }

    fn apply(&mut self, item: &ClaimEvent, offset: Offset, at_ms: u64) {
        match item {
            ClaimEvent::Claim {
                key,
                claim,
                digest,
                vm,
                request,
            } => {
                if self.holders.contains_key(key) || self.released.contains(claim) {
                    return;
                }
                let holder = ClaimHolder {
                    claim: *claim,
                    digest: *digest,
                    vm: vm.clone(),
                    request: *request,
                    offset,
                    outcome: None,
                };
                self.holders.insert(key.clone(), holder);
                self.mark(at_ms, key, *claim);
            }
            ClaimEvent::Release { key, claim } => self.release(key, *claim, at_ms),
            ClaimEvent::Outcome {
                key,
                claim,
                outcome,
            } => {
                let holder = self
                    .holders
                    .get_mut(key)
                    .filter(|held| held.claim == *claim);
                if let Some(holder) = holder {
                    holder.outcome.get_or_insert_with(|| outcome.clone());
                }
            }
        }
    }

    /// Frees a key whose holder did not send, and remembers the attempt so that a
    /// late second copy of its claim has no effect.
    fn release(&mut self, key: &ClaimKey, claim: ClaimId, at_ms: u64) {
        let held = self.holders.get(key);
        if held.is_some_and(|holder| holder.claim == claim && holder.outcome.is_some()) {
            return;
        }
        if held.is_some_and(|holder| holder.claim == claim) {
            self.holders.remove(key);
        }
        if self.released.insert(claim) {
            self.mark(at_ms, key, claim);
        }
    }

    fn mark(&mut self, at_ms: u64, key: &ClaimKey, claim: ClaimId) {
        self.marks.push_back(ClaimMark {
            at_ms,
            key: key.clone(),
            claim,
        });
    }

    fn forget_before(&mut self, oldest_ms: u64) {
        while let Some(mark) = self.marks.front() {
            if mark.at_ms >= oldest_ms {
                return;
            }
            self.released.remove(&mark.claim);
            let held = self.holders.get(&mark.key);
            if held.is_some_and(|holder| holder.claim == mark.claim) {
                self.holders.remove(&mark.key);
            }
            self.marks.pop_front();
        }
    }

    /// The attempt that holds `key`.
    pub fn holder(&self, key: &ClaimKey) -> Option<&ClaimHolder> {
        self.holders.get(key)
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no keys are remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Whether the sender of `claim` may send: it won, it has no outcome yet, and
    /// `sent` says that it has not sent before.
    ///
    /// ```
    /// use plantainnotch::claim::ClaimBook;
    /// use plantainnotch::ids::{ClaimId, TeamName};
    /// use plantainnotch::view::record::ClaimKey;
    /// let key = ClaimKey { team: TeamName::new("kigali"), key: "cert-1".into() };
    /// assert!(!ClaimBook::default().may_send(&key, ClaimId(1), false));
    /// ```
    pub fn may_send(&self, key: &ClaimKey, claim: ClaimId, sent: bool) -> bool {
        let won = self
            .holder(key)
            .is_some_and(|holder| holder.claim == claim && holder.outcome.is_none());
        won && !sent
    }
}
