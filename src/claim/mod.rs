//! Claims on idempotency keys: the sender whose claim is first in the log may send the request.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::{ClaimId, Offset, RequestId, VmName};
use crate::view::record::{ClaimEvent, ClaimKey, ClaimOutcome};

/// How long a key stays claimed, in milliseconds of the platform's clock.
pub const CLAIM_WINDOW_MS: u64 = 3_600_000;

/// The claim that holds a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Id of the claim.
    pub claim: ClaimId,
    /// Digest of the request's content.
    pub digest: u64,
    /// VM of the sender.
    pub vm: VmName,
    /// The caller's request for which the claim was made.
    pub request: RequestId,
    /// Offset of the claim's record in the log.
    pub offset: Offset,
    /// Result of the request; `None` until the log has one.
    pub outcome: Option<ClaimOutcome>,
}

/// A claim or release recorded at `at_ms`, which expires [`CLAIM_WINDOW_MS`] later.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct TimedClaim {
    at_ms: u64,
    key: ClaimKey,
    claim: ClaimId,
}

/// All claims and releases that have not expired.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    holders: BTreeMap<ClaimKey, ClaimHolder>,
    released: BTreeSet<ClaimId>,
    claims_by_age: VecDeque<TimedClaim>,
}

impl ClaimTable {
    /// Folds the events of one record.
    pub(crate) fn fold(&mut self, events: &[ClaimEvent], offset: Offset, at_ms: u64) {
        self.expire_before(at_ms.saturating_sub(CLAIM_WINDOW_MS));
        for event in events {
            self.apply(event, offset, at_ms);
        }
    }

    fn apply(&mut self, event: &ClaimEvent, offset: Offset, at_ms: u64) {
        match event {
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
                self.track_age(at_ms, key, *claim);
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
                    .filter(|holder| holder.claim == *claim);
                if let Some(holder) = holder {
                    holder.outcome.get_or_insert_with(|| outcome.clone());
                }
            }
        }
    }

    /// Frees a key whose holder did not send, and remembers the claim's id, so that a
    /// delayed duplicate of the claim's record has no effect.
    fn release(&mut self, key: &ClaimKey, claim: ClaimId, at_ms: u64) {
        let holder = self.holders.get(key);
        if holder.is_some_and(|holder| holder.claim == claim && holder.outcome.is_some()) {
            return;
        }
        if holder.is_some_and(|holder| holder.claim == claim) {
            self.holders.remove(key);
        }
        if self.released.insert(claim) {
            self.track_age(at_ms, key, claim);
        }
    }

    fn track_age(&mut self, at_ms: u64, key: &ClaimKey, claim: ClaimId) {
        self.claims_by_age.push_back(TimedClaim {
            at_ms,
            key: key.clone(),
            claim,
        });
    }

    fn expire_before(&mut self, cutoff_ms: u64) {
        while let Some(oldest) = self.claims_by_age.front() {
            if oldest.at_ms >= cutoff_ms {
                return;
            }
            self.released.remove(&oldest.claim);
            let holder = self.holders.get(&oldest.key);
            if holder.is_some_and(|holder| holder.claim == oldest.claim) {
                self.holders.remove(&oldest.key);
            }
            self.claims_by_age.pop_front();
        }
    }

    /// The claim that holds `key`, if any.
    pub fn holder(&self, key: &ClaimKey) -> Option<&ClaimHolder> {
        self.holders.get(key)
    }

    /// Number of claimed keys.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Whether the sender of `claim` may send the request: the claim holds the key, has no
    /// outcome yet, and the sender has not sent before (`sent`).
    ///
    /// ```
    /// use plantainnotch::claim::ClaimTable;
    /// use plantainnotch::ids::{ClaimId, TeamName};
    /// use plantainnotch::view::record::ClaimKey;
    /// let key = ClaimKey { team: TeamName::new("kigali"), key: "cert-1".into() };
    /// assert!(!ClaimTable::default().may_send(&key, ClaimId(1), false));
    /// ```
    pub fn may_send(&self, key: &ClaimKey, claim: ClaimId, sent: bool) -> bool {
        let is_holder = self
            .holder(key)
            .is_some_and(|holder| holder.claim == claim && holder.outcome.is_none());
        is_holder && !sent
    }
}
