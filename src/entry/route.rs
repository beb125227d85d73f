//! Which pools to ask, and in which order.

use xxhash_rust::xxh3::xxh3_64;

use super::shared::FollowedView;
use crate::ids::{DomainName, ModelName, TeamName};
use crate::policy::estimate::RateEstimate;
use crate::policy::lane::{PromptLane, lane_of};
use crate::view::ownership::PoolKey;

/// A pool with the favoured prefix is preferred while it is this little worse.
const AFFINITY_ADVANTAGE_MS: f64 = 50.0;

/// A pool that may serve a request, and what made its rank.
#[derive(Debug, Clone, PartialEq)]
pub struct RankedPool {
    /// The pool.
    pub pool: PoolKey,
    /// Estimated milliseconds until the request would start; lower is better.
    pub score: f64,
}

impl RankedPool {
    /// For decision logs.
    pub fn describe(&self) -> String {
        format!("{} ({:.0} ms)", self.pool, self.score)
    }
}

/// What routing needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct RouteNeed<'a> {
    /// The team.
    pub team: &'a TeamName,
    /// The model or service.
    pub model: &'a ModelName,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// The entry's own failure domain.
    pub home: &'a DomainName,
}

/// Pools of the model with targets that take work from the team, best first.
pub fn rank_pools(followed: &FollowedView, need: RouteNeed<'_>) -> Vec<RankedPool> {
    let mut domains: Vec<&DomainName> = followed
        .view
        .open_targets(need.team, need.model)
        .map(|target| &target.row.domain)
        .collect();
    domains.sort();
    domains.dedup();
    let lane = lane_of(need.prompt, &RateEstimate::default());
    let mut pools: Vec<RankedPool> = domains
        .into_iter()
        .map(|domain| {
            let pool = PoolKey {
                model: need.model.clone(),
                domain: domain.clone(),
            };
            let score = pool_score(followed, &pool, lane, need.home);
            RankedPool { pool, score }
        })
        .collect();
    favour_prefix(&mut pools, need.prefix);
    pools.sort_by(|a, b| a.score.total_cmp(&b.score).then(a.pool.cmp(&b.pool)));
    pools
}

/// Estimated wait, with the pool's fill as a finer measure below it.
fn pool_score(followed: &FollowedView, pool: &PoolKey, lane: PromptLane, home: &DomainName) -> f64 {
    let Some(load) = followed.loads.get(pool) else {
        return 1_000.0;
    };
    let wait = match lane {
        PromptLane::Short => load.short_wait_ms,
        PromptLane::Long => load.long_wait_ms,
    };
    let fill = f64::from(load.running + load.waiting) / f64::from(load.slots.max(1));
    let away = if pool.domain == *home { 0.0 } else { 1.0 };
    wait as f64 + 100.0 * fill + away
}

fn favour_prefix(pools: &mut [RankedPool], prefix: u64) {
    let score = |pool: &PoolKey| xxh3_64(format!("{prefix}\n{pool}").as_bytes());
    let favourite = pools.iter_mut().max_by_key(|ranked| score(&ranked.pool));
    if let Some(ranked) = favourite {
        ranked.score -= AFFINITY_ADVANTAGE_MS;
    }
}
