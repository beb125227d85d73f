//! Ranks the pools that may serve a request.

use xxhash_rust::xxh3::xxh3_64;

use super::shared::FollowedState;
use crate::ids::{DomainName, ModelName, TeamName};
use crate::policy::estimate::RateEstimate;
use crate::policy::lane::{PromptLane, lane_of};
use crate::view::ownership::PoolKey;

/// Advantage of the pool that is likely to have the prompt's prefix cached.
const PREFIX_BONUS_MS: f64 = 50.0;

/// A pool that may serve a request, with its score.
#[derive(Debug, Clone, PartialEq)]
pub struct RankedPool {
    /// Model and failure domain of the pool.
    pub pool: PoolKey,
    /// Estimated milliseconds until the request would start, plus smaller adjustments; lower is
    /// better.
    pub score: f64,
}

impl RankedPool {
    /// Pool and score as text, for decision logs.
    pub fn describe(&self) -> String {
        format!("{} ({:.0} ms)", self.pool, self.score)
    }
}

/// The properties of a request by which pools are ranked.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Team of the caller; only targets that have approved it are eligible.
    pub team: &'a TeamName,
    /// The model or service that the targets must offer.
    pub model: &'a ModelName,
    /// Length of the prompt, in tokens; decides on the lane.
    pub prompt_tokens: u64,
    /// Hash of the start of the prompt.
    pub prefix_hash: u64,
    /// Failure domain of the entry.
    pub local_domain: &'a DomainName,
}

/// Pools of the model with at least one target that is in service and approved for the team, best
/// first.
pub fn rank_pools(followed: &FollowedState, query: RouteQuery<'_>) -> Vec<RankedPool> {
    let mut domains: Vec<&DomainName> = followed
        .view
        .eligible_targets(query.team, query.model)
        .map(|target| &target.row.domain)
        .collect();
    domains.sort();
    domains.dedup();
    let lane = lane_of(query.prompt_tokens, &RateEstimate::default());
    let mut pools: Vec<RankedPool> = domains
        .into_iter()
        .map(|domain| {
            let pool = PoolKey {
                model: query.model.clone(),
                domain: domain.clone(),
            };
            let score = pool_score(followed, &pool, lane, query.local_domain);
            RankedPool { pool, score }
        })
        .collect();
    apply_prefix_bonus(&mut pools, query.prefix_hash);
    pools.sort_by(|a, b| a.score.total_cmp(&b.score).then(a.pool.cmp(&b.pool)));
    pools
}

/// Estimated wait in milliseconds, with smaller terms that decide between similar waits: 100 ms
/// times the utilisation, queue included, and 1 ms for a remote pool. Unknown load counts as 1 s.
fn pool_score(
    followed: &FollowedState,
    pool: &PoolKey,
    lane: PromptLane,
    local_domain: &DomainName,
) -> f64 {
    let Some(load) = followed.loads.get(pool) else {
        return 1_000.0;
    };
    let wait = match lane {
        PromptLane::Short => load.short_wait_ms,
        PromptLane::Long => load.long_wait_ms,
    };
    let utilisation = f64::from(load.running + load.waiting) / f64::from(load.slots.max(1));
    let remote_penalty = if pool.domain == *local_domain {
        0.0
    } else {
        1.0
    };
    wait as f64 + 100.0 * utilisation + remote_penalty
}

/// Lowers the score of the pool that rendezvous hashing picks for the prefix, so that requests
/// with the same prefix prefer the same pool.
fn apply_prefix_bonus(pools: &mut [RankedPool], prefix: u64) {
    let affinity = |pool: &PoolKey| xxh3_64(format!("{prefix}\n{pool}").as_bytes());
    let preferred = pools.iter_mut().max_by_key(|ranked| affinity(&ranked.pool));
    if let Some(ranked) = preferred {
        ranked.score -= PREFIX_BONUS_MS;
    }
}
