//! What entries ask pools for, and what they get.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{GrantId, RequestId, TargetName, TeamName};
use crate::policy::lane::PromptLane;

/// A caller of a pool, to whom the answer goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketId(pub u64);

/// What an entry asks a pool for.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolRequest {
    /// The caller's request.
    pub request: RequestId,
    /// The team.
    pub team: TeamName,
    /// The team's weight.
    pub weight: u32,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most tokens that may be generated.
    pub max_output: u64,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Whether to refuse at once rather than queue, as another pool may be idle.
    pub idle_only: bool,
}

impl PoolRequest {
    /// Tokens of memory that the request needs.
    pub fn amount(&self) -> u64 {
        self.prompt + self.max_output
    }
}

/// A reserved target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantPart {
    /// The reservation.
    pub grant: GrantId,
    /// The target.
    pub target: TargetName,
    /// Host and port.
    pub address: String,
    /// Tokens of memory reserved.
    pub share: u64,
}

/// Why a request was refused by a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolRefusal {
    /// No target of the pool takes new work from the team.
    NoTarget,
    /// The pool's targets together cannot hold the request.
    TooLong,
    /// The answer could not be complete by the deadline.
    Deadline,
    /// Nothing is idle, and the request asked not to be queued.
    Busy,
    /// None of the targets can be reached at present.
    Unreachable,
}

/// A pool's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum PoolReply {
    /// Reserved, all parts or none; the first target leads.
    Granted {
        /// The parts.
        parts: Vec<GrantPart>,
        /// Until when the entry may send.
        use_by: Instant,
        /// The lane.
        lane: PromptLane,
        /// Priority at the target; lower goes first.
        priority: i64,
        /// How many targets could have been chosen.
        alternatives: usize,
        /// Time spent in the queue.
        waited: Duration,
    },
    /// Not reserved, and nothing was sent.
    Refused {
        /// Why.
        refusal: PoolRefusal,
        /// When coming back helps.
        retry_after: Duration,
    },
}

/// How a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantEnd {
    /// The answer was complete.
    Completed {
        /// Tokens generated.
        output: u64,
        /// Tokens that were allowed.
        max_output: u64,
        /// Milliseconds from the first token to the last.
        decode_ms: u64,
    },
    /// The target answered with an error, or too late.
    Failed,
    /// The connection was refused or reset.
    Disconnected,
    /// Nothing was sent, or the caller hung up.
    Withdrawn,
}

/// How a pool stands, for the entries' choice among pools.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Targets in service.
    pub targets: u32,
    /// Requests that the targets bear at present.
    pub slots: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Estimated wait of a short prompt, in milliseconds.
    pub short_wait_ms: u64,
    /// Estimated wait of a long prompt, in milliseconds.
    pub long_wait_ms: u64,
    /// Memory of all targets in service, in tokens.
    pub memory: u64,
}
