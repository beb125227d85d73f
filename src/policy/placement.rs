//! Choice of a pool's targets for a request.

use std::collections::BTreeSet;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use super::lane::PromptLane;
use crate::ids::TargetName;
use crate::ledger::target_ledger::TargetLedger;

/// Share of each target's memory that a request split over a gang may take.
const GANG_PART_MEMORY_SHARE: f64 = 0.95;

/// Load up to which a target gets the requests of its prefix, as a multiple of the mean load.
const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// How requests are placed; all but `Lanes` are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementPolicy {
    /// Lanes, fair shares, prefix affinity and gangs.
    Lanes,
    /// The next target in turn, chosen on arrival.
    RoundRobin,
    /// The target with the fewest requests, chosen on arrival.
    LeastLoaded,
    /// One queue in order of arrival, for the first target that has room.
    SharedQueue,
}

/// An unknown policy name.
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

/// The properties of a request that its placement depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementNeed {
    /// Memory that it needs, in tokens: the prompt and the longest response allowed.
    pub memory_tokens: u64,
    /// Lane by the prompt's length.
    pub lane: PromptLane,
    /// Hash of the start of the prompt, for prefix affinity.
    pub prefix_hash: u64,
}

/// A target of a pool that may be chosen for a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate<'a> {
    /// Name in the table.
    pub name: &'a TargetName,
    /// Its memory, concurrency and grants.
    pub ledger: &'a TargetLedger,
}

/// Number of targets with `target_memory` tokens each that a request of `memory_tokens` needs.
///
/// ```
/// use plantainnotch::policy::placement::gang_size;
/// assert_eq!(gang_size(400, 1_000), 1);
/// assert_eq!(gang_size(2_000, 1_000), 3);
/// ```
pub fn gang_size(memory_tokens: u64, target_memory: u64) -> usize {
    if memory_tokens <= target_memory {
        return 1;
    }
    let part_tokens = (target_memory as f64 * GANG_PART_MEMORY_SHARE).max(1.0);
    (memory_tokens as f64 / part_tokens).ceil() as usize
}

/// Chooses targets for a request by lane, prefix affinity and load; `None` if it must wait.
///
/// At most `max_long_targets` targets may prefill long prompts at the same time. Targets in
/// `reserved` are kept free for a waiting gang: they get no long prompt, and a short one only if
/// all others are prefilling long prompts or lack room. Neither applies to a request that needs
/// more than one target.
pub fn place_by_lanes(
    candidates: &[PlacementCandidate<'_>],
    need: PlacementNeed,
    max_long_targets: usize,
    reserved: &BTreeSet<TargetName>,
) -> Option<Vec<TargetName>> {
    let target_memory = candidates
        .iter()
        .map(|target| target.ledger.memory_tokens)
        .min()?;
    let size = gang_size(need.memory_tokens, target_memory);
    if size > 1 {
        return place_gang(candidates, need.memory_tokens, size);
    }
    let fitting = candidates
        .iter()
        .filter(|target| target.ledger.fits(need.memory_tokens));
    match need.lane {
        PromptLane::Short => {
            let mean_load = mean_running_with_new(candidates);
            let affinity = affinity_target(candidates, need.prefix_hash);
            fitting
                .min_by_key(|target| {
                    let ledger = target.ledger;
                    let within_bound = (ledger.running() as f64) <= mean_load * AFFINITY_LOAD_BOUND;
                    let has_affinity = affinity == Some(target.name) && within_bound;
                    (
                        ledger.in_long_prefill(),
                        reserved.contains(target.name),
                        ledger.prefill_backlog() * 2 > need.memory_tokens,
                        !has_affinity,
                        ledger.prefill_backlog(),
                        ledger.running(),
                        target.name,
                    )
                })
                .map(|target| vec![target.name.clone()])
        }
        PromptLane::Long => {
            let in_long_prefill = candidates
                .iter()
                .filter(|target| target.ledger.in_long_prefill());
            if in_long_prefill.count() >= max_long_targets {
                return None;
            }
            fitting
                .filter(|target| !target.ledger.in_long_prefill())
                .filter(|target| !reserved.contains(target.name))
                .min_by_key(|target| (target.ledger.used(), target.name))
                .map(|target| vec![target.name.clone()])
        }
    }
}

/// The targets to keep free for a waiting gang of `memory_tokens`: those with the least memory
/// in use.
pub fn gang_targets(
    candidates: &[PlacementCandidate<'_>],
    memory_tokens: u64,
) -> BTreeSet<TargetName> {
    let Some(target_memory) = candidates
        .iter()
        .map(|target| target.ledger.memory_tokens)
        .min()
    else {
        return BTreeSet::new();
    };
    let mut by_usage: Vec<&PlacementCandidate<'_>> = candidates.iter().collect();
    by_usage.sort_by_key(|target| (target.ledger.used(), target.name));
    by_usage
        .into_iter()
        .take(gang_size(memory_tokens, target_memory))
        .map(|target| target.name.clone())
        .collect()
}

fn place_gang(
    candidates: &[PlacementCandidate<'_>],
    memory_tokens: u64,
    size: usize,
) -> Option<Vec<TargetName>> {
    let part_tokens = memory_tokens.div_ceil(size as u64);
    let mut fitting: Vec<&PlacementCandidate<'_>> = candidates
        .iter()
        .filter(|target| target.ledger.fits(part_tokens) && !target.ledger.in_long_prefill())
        .collect();
    if fitting.len() < size {
        return None;
    }
    fitting.sort_by_key(|target| (target.ledger.used(), target.name));
    fitting.truncate(size);
    let mut names: Vec<TargetName> = fitting.iter().map(|target| target.name.clone()).collect();
    names.sort();
    Some(names)
}

/// The target with the fewest requests, running and waiting.
pub fn least_loaded<'a>(
    candidates: &[PlacementCandidate<'a>],
    waiting: impl Fn(&TargetName) -> usize,
) -> Option<&'a TargetName> {
    candidates
        .iter()
        .min_by_key(|target| (target.ledger.running() + waiting(target.name), target.name))
        .map(|target| target.name)
}

/// Mean number of requests per target, the new one included.
fn mean_running_with_new(candidates: &[PlacementCandidate<'_>]) -> f64 {
    let total: usize = candidates
        .iter()
        .map(|target| target.ledger.running())
        .sum();
    (total + 1) as f64 / candidates.len().max(1) as f64
}

/// The target that a prefix has affinity to, by rendezvous hashing.
fn affinity_target<'a>(
    candidates: &[PlacementCandidate<'a>],
    prefix: u64,
) -> Option<&'a TargetName> {
    let score = |name: &TargetName| xxh3_64(format!("{prefix}\n{name}").as_bytes());
    candidates
        .iter()
        .map(|target| target.name)
        .max_by_key(|name| (score(name), *name))
}
