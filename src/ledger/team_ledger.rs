//! One team's ceiling: the tokens that it may have reserved at the same time, over all targets.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::GrantId;

#[derive(Debug)]
struct TeamGrant {
    tokens: u64,
    expires: Instant,
}

/// Reservations that count against a team's ceiling.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::{GrantId, Offset};
/// use plantainnotch::ledger::team_ledger::TeamLedger;
/// let mut ledger = TeamLedger::default();
/// let now = Instant::now();
/// let later = now + Duration::from_secs(5);
/// let id = GrantId { epoch: Offset(1), serial: 1 };
/// assert!(ledger.reserve(id, 60, 100, later, now));
/// let id = GrantId { epoch: Offset(1), serial: 2 };
/// assert!(!ledger.reserve(id, 60, 100, later, now));
/// ```
#[derive(Debug, Default)]
pub struct TeamLedger {
    grants: BTreeMap<GrantId, TeamGrant>,
}

impl TeamLedger {
    /// Reserves `tokens` until released, or until `expires` at the latest. Returns whether the
    /// ceiling of `ceiling_tokens` allows it; if not, nothing is reserved.
    pub fn reserve(
        &mut self,
        id: GrantId,
        tokens: u64,
        ceiling_tokens: u64,
        expires: Instant,
        now: Instant,
    ) -> bool {
        self.expire(now);
        if self.used() + tokens > ceiling_tokens {
            return false;
        }
        self.grants.insert(id, TeamGrant { tokens, expires });
        true
    }

    /// Adds a grant made by the team's previous steward, even beyond the ceiling.
    pub fn adopt(&mut self, id: GrantId, tokens: u64, expires: Instant) {
        self.grants.insert(id, TeamGrant { tokens, expires });
    }

    /// Ends a reservation; unknown ids are ignored.
    pub fn release(&mut self, id: GrantId) {
        self.grants.remove(&id);
    }

    /// Tokens reserved, expired reservations included until the next [`Self::reserve`].
    pub fn used(&self) -> u64 {
        self.grants.values().map(|grant| grant.tokens).sum()
    }

    /// The earliest time at which a reservation expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.grants.values().map(|grant| grant.expires).min()
    }

    fn expire(&mut self, now: Instant) {
        self.grants.retain(|_, grant| grant.expires > now);
    }
}
