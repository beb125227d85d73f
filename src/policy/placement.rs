//! Which targets of a pool a request gets.

use std::collections::BTreeSet;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use super::lane::PromptLane;
use crate::ids::TargetName;
use crate::ledger::target_ledger::TargetLedger;

/// Share of a target's memory that one part of a gang may take.
const GANG_FILL: f64 = 0.95;

/// A target keeps its prefix's requests up to this multiple of the mean load.
const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// How requests are placed; all but `Lanes` are baselines to compare with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementPolicy {
    /// Lanes, fair shares, prefix affinity and gangs.
    Lanes,
    /// The next target in turn, chosen on arrival.
    RoundRobin,
    /// The target with the fewest requests, chosen on arrival.
    LeastLoaded,
    /// One queue in order of arrival; the first target with room.
    SharedQueue,
}

/// A policy name that is not known.
#[derive(Debug, Error)]
#[error("{0} is not a policy; use lanes, round-robin, least-loaded or shared-queue")]
pub struct PolicyNameError(String);

impl FromStr for PlacementPolicy {
    type Err = PolicyNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "lanes" => Ok(Self::Lanes),
            "round-robin" => Ok(Self::RoundRobin),
            "least-loaded" => Ok(Self::LeastLoaded),
            "shared-queue" => Ok(Self::SharedQueue),
            other => Err(PolicyNameError(other.to_owned())),
        }
    }
}

/// What placement needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementNeed {
    /// Tokens of memory: the prompt and the most that it may generate.
    pub amount: u64,
    /// The lane.
    pub lane: PromptLane,
    /// Hash of the start of the prompt.
    pub prefix: u64,
}

/// A target that placement may choose.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate<'a> {
    /// Its name.
    pub name: &'a TargetName,
    /// Its ledger.
    pub ledger: &'a TargetLedger,
}

/// How many targets a request of `amount` tokens needs when each has `memory`.
///
/// ```
/// use plantainnotch::policy::placement::gang_size;
/// assert_eq!(gang_size(400, 1_000), 1);
/// assert_eq!(gang_size(2_000, 1_000), 3);
/// ```
pub fn gang_size(amount: u64, memory: u64) -> usize {
    if amount <= memory {
        return 1;
    }
    let part = (memory as f64 * GANG_FILL).max(1.0);
    (amount as f64 / part).ceil() as usize
}

/// Chooses targets for a request by lanes, affinity and load, or none if it must wait.
///
/// `long_cap` bounds how many targets may prefill long prompts at once; `reserved`
/// are targets that a gang is gathering.
pub fn place_by_lanes(
    candidates: &[PlacementCandidate<'_>],
    need: PlacementNeed,
    long_cap: usize,
    reserved: &BTreeSet<TargetName>,
) -> Option<Vec<TargetName>> {
    let memory = candidates.iter().map(|target| target.ledger.memory).min()?;
    let size = gang_size(need.amount, memory);
    if size > 1 {
        return place_gang(candidates, need.amount, size);
    }
    let open = candidates
        .iter()
        .filter(|target| target.ledger.fits(need.amount));
    match need.lane {
        PromptLane::Short => {
            let mean = mean_running(candidates);
            let favourite = favourite_target(candidates, need.prefix);
            open.min_by_key(|target| {
                let ledger = target.ledger;
                let bounded = (ledger.running() as f64) <= mean * AFFINITY_LOAD_BOUND;
                let favoured = favourite == Some(target.name) && bounded;
                (
                    ledger.in_long_prefill(),
                    reserved.contains(target.name),
                    ledger.prefill_backlog() * 2 > need.amount,
                    !favoured,
                    ledger.prefill_backlog(),
                    ledger.running(),
                    target.name,
                )
            })
            .map(|target| vec![target.name.clone()])
        }
        PromptLane::Long => {
            let busy = candidates
                .iter()
                .filter(|target| target.ledger.in_long_prefill());
            if busy.count() >= long_cap {
                return None;
            }
            open.filter(|target| !target.ledger.in_long_prefill())
                .filter(|target| !reserved.contains(target.name))
                .min_by_key(|target| (target.ledger.used(), target.name))
                .map(|target| vec![target.name.clone()])
        }
    }
}

/// The targets that a waiting gang gathers: those with the least memory in use.
pub fn gather_targets(candidates: &[PlacementCandidate<'_>], amount: u64) -> BTreeSet<TargetName> {
    let Some(memory) = candidates.iter().map(|target| target.ledger.memory).min() else {
        return BTreeSet::new();
    };
    let mut order: Vec<&PlacementCandidate<'_>> = candidates.iter().collect();
    order.sort_by_key(|target| (target.ledger.used(), target.name));
    order
        .into_iter()
        .take(gang_size(amount, memory))
        .map(|target| target.name.clone())
        .collect()
}

fn place_gang(
    candidates: &[PlacementCandidate<'_>],
    amount: u64,
    size: usize,
) -> Option<Vec<TargetName>> {
    let part = amount.div_ceil(size as u64);
    let mut open: Vec<&PlacementCandidate<'_>> = candidates
        .iter()
        .filter(|target| target.ledger.fits(part) && !target.ledger.in_long_prefill())
        .collect();
    if open.len() < size {
        return None;
    }
    open.sort_by_key(|target| (target.ledger.used(), target.name));
    open.truncate(size);
    let mut names: Vec<TargetName> = open.iter().map(|target| target.name.clone()).collect();
    names.sort();
    Some(names)
}

/// The target with the fewest requests, those waiting for it included.
pub fn least_loaded<'a>(
    candidates: &[PlacementCandidate<'a>],
    waiting: impl Fn(&TargetName) -> usize,
) -> Option<&'a TargetName> {
    candidates
        .iter()
        .min_by_key(|target| (target.ledger.running() + waiting(target.name), target.name))
        .map(|target| target.name)
}

fn mean_running(candidates: &[PlacementCandidate<'_>]) -> f64 {
    let total: usize = candidates
        .iter()
        .map(|target| target.ledger.running())
        .sum();
    (total + 1) as f64 / candidates.len().max(1) as f64
}

fn favourite_target<'a>(
    candidates: &[PlacementCandidate<'a>],
    prefix: u64,
) -> Option<&'a TargetName> {
    let score = |name: &TargetName| xxh3_64(format!("{prefix}\n{name}").as_bytes());
    candidates
        .iter()
        .map(|target| target.name)
        .max_by_key(|name| (score(name), *name))
}
