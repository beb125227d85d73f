//! Claims of requests that run at most once: of several attempts at a request, whose id comes again at
//! any VM, the first one holds the claim and may be sent to targets.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::RequestDigest;

const RETENTION: Duration = Duration::from_secs(120); // well over any route's timeout and the time in which callers return
const MAX_CLAIMS: usize = 65_536;

/// Identifies a request by its id and content, so that an id that two callers share by mistake does
/// not join their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey(u64);

impl ClaimKey {
    /// The key of the request that `digest` describes and that came with `id`.
    ///
    /// ```
    /// use plantainnotch::ids::RequestDigest;
    /// use plantainnotch::policy::run_claims::ClaimKey;
    /// let digest = RequestDigest::of("POST", "/issue/7", None, &[], b"");
    /// assert_eq!(ClaimKey::of("a", digest), ClaimKey::of("a", digest));
    /// assert_ne!(ClaimKey::of("a", digest), ClaimKey::of("b", digest));
    /// ```
    pub fn of(id: &str, digest: RequestDigest) -> Self {
        Self(xxh3_64_with_seed(id.as_bytes(), digest.as_u64()))
    }
}

/// The claim of one attempt at a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RunClaim {
    /// The request.
    pub key: ClaimKey,
    /// The attempt; no two attempts of any VMs have the same number.
    pub attempt: u64,
}

/// The claims that a VM keeps, for itself and for others.
///
/// ```
/// use std::time::Instant;
/// use plantainnotch::ids::RequestDigest;
/// use plantainnotch::policy::run_claims::{ClaimKey, ClaimLedger, RunClaim};
/// let key = ClaimKey::of("a", RequestDigest::of("POST", "/issue/7", None, &[], b""));
/// let (first, second) = (RunClaim { key, attempt: 1 }, RunClaim { key, attempt: 2 });
/// let (mut ledger, now) = (ClaimLedger::default(), Instant::now());
/// assert!(ledger.take(first, now));
/// assert!(!ledger.take(second, now));
/// ledger.release(first);
/// assert!(ledger.take(second, now));
/// ```
#[derive(Debug, Default)]
pub struct ClaimLedger {
    /// The attempt that holds each claim.
    attempts: HashMap<ClaimKey, u64>,
    /// Claims in the order in which they were taken, released ones included.
    taken: VecDeque<(Instant, RunClaim)>,
}

impl ClaimLedger {
    /// Takes a claim; false if another attempt holds it. An attempt may take its claim again.
    pub fn take(&mut self, claim: RunClaim, now: Instant) -> bool {
        self.forget_old(now);
        if let Some(holder) = self.attempts.get(&claim.key) {
            return *holder == claim.attempt;
        }
        self.attempts.insert(claim.key, claim.attempt);
        self.taken.push_back((now, claim));
        true
    }

    /// Gives a claim back if its attempt holds it, because the request has not run and never will.
    pub fn release(&mut self, claim: RunClaim) {
        if self.attempts.get(&claim.key) == Some(&claim.attempt) {
            self.attempts.remove(&claim.key);
        }
    }

    /// Number of claims that are held.
    pub fn held_count(&self) -> usize {
        self.attempts.len()
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((taken_at, claim)) = self.taken.front().copied() {
            let is_old = now.saturating_duration_since(taken_at) >= RETENTION;
            if !is_old && self.taken.len() < MAX_CLAIMS {
                return;
            }
            self.taken.pop_front();
            self.release(claim);
        }
    }
}
