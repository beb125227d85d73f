//! Order in which waiting prompts are decided, by rank, share of the account, length and objective.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::request::JobId;

/// Factor of a prompt's value for each step of rank below the most urgent one of its service: two long
/// prompts of a rank are worth one of the next more urgent rank.
const VALUE_PER_RANK_STEP: f64 = 0.5;
/// Steps below which the value no longer falls, so that it stays well above zero.
const MAX_VALUE_STEPS: u32 = 16;

/// Urgency of a request.
///
/// ```
/// use plantainnotch::policy::dispatch::RequestRank;
/// let rank = RequestRank::among(2, &[0, 2]).expect("two ranks count");
/// assert!(rank.value_factor() < 1.0);
/// assert_eq!(RequestRank::among(2, &[2]), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRank {
    /// Rank; 0 is the most urgent.
    pub rank: i64,
    /// Number of more urgent ranks with which requests can reach the same service.
    pub steps_below_first: u32,
}

impl RequestRank {
    /// The urgency of a request of `rank`, if requests of the sorted `ranks` can reach its service;
    /// `None` if there are fewer than two.
    pub fn among(rank: i64, ranks: &[i64]) -> Option<Self> {
        (ranks.len() > 1).then(|| Self {
            rank,
            steps_below_first: ranks.partition_point(|other| *other < rank) as u32,
        })
    }

    /// Factor of the value of a request's prompt.
    pub fn value_factor(self) -> f64 {
        VALUE_PER_RANK_STEP.powi(self.steps_below_first.min(MAX_VALUE_STEPS) as i32)
    }
}

/// Which properties of a request count beside its length and objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueRules {
    /// Whether requests of different ranks can reach the service.
    pub ranks: bool,
    /// Whether the configuration has two client accounts or more.
    pub shares: bool,
}

impl QueueRules {
    /// Whether prompts refused for overload are promised a time of return.
    pub fn promises_returns(self) -> bool {
        self.ranks || self.shares
    }
}

/// Whether an account was over its share when a request of it was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareState {
    /// Shares do not count.
    NotCounted,
    /// The account was within its share.
    Within,
    /// The account was over its share.
    Over,
}

impl ShareState {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotCounted => "not_counted",
            Self::Within => "within",
            Self::Over => "over",
        }
    }
}

/// Properties of a waiting prompt that determine its place in the queue.
#[derive(Debug, Clone, Copy)]
pub struct QueuePosition {
    /// Whether it will miss its objective.
    pub is_late: bool,
    /// Rank, `None` if the request came without one, such as from a VM of an earlier build. It then
    /// counts as the most urgent, so that an upgrade delays no urgent request.
    pub rank: Option<i64>,
    /// Whether its account is over its share.
    pub is_over_share: bool,
    /// Whether it was refused for overload and returns at the time that it was told.
    pub returns_as_told: bool,
    /// Whether its length puts it behind prompts of the other lengths.
    pub is_after_by_length: bool,
    /// Time of its objective.
    pub objective_at: Instant,
    /// Its job.
    pub job: JobId,
}

/// Place in the queue; lower ones are decided first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey([i64; 5], Instant, JobId);

impl QueuePosition {
    /// The place in a queue in which ranks count if `ranked`.
    ///
    /// With ranks, a less urgent short prompt comes after a more urgent long one; without, length comes
    /// first. Prompts that return as told come before new arrivals of the same rank and share state; one
    /// that is late stays behind those that can be on time.
    pub fn key(&self, ranked: bool) -> QueueKey {
        let (late, over) = (i64::from(self.is_late), i64::from(self.is_over_share));
        let length = i64::from(self.is_after_by_length);
        let is_new = i64::from(!self.returns_as_told);
        let classes = if ranked {
            [late, self.rank.unwrap_or(i64::MIN), over, is_new, length]
        } else {
            [length, late, over, is_new, 0]
        };
        QueueKey(classes, self.objective_at, self.job)
    }
}
