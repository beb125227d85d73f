//! Requests of entries to pools, and the pools' replies.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{GrantId, RequestId, TargetName, TeamName};
use crate::policy::lane::PromptLane;

/// Identifies a request to a pool, by which the reply is matched to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketId(pub u64);

/// A request of an entry for one or more targets of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolRequest {
    /// Request of the entry's caller.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamName,
    /// Weight of the team in the fair queue.
    pub weight: u32,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Most tokens that may be generated.
    pub max_output_tokens: u64,
    /// Hash of the start of the prompt, for prefix affinity.
    pub prefix_hash: u64,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Whether to refuse with [`PoolRefusal::Busy`] rather than queue: another pool may be idle.
    pub idle_only: bool,
}

impl PoolRequest {
    /// Memory that the request needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_output_tokens
    }
}

/// A reservation at one target; a gang's grant has one for each of its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantPart {
    /// Id of the reservation.
    pub grant: GrantId,
    /// Target that it is at.
    pub target: TargetName,
    /// Host and port of the target.
    pub address: String,
    /// Memory reserved, in tokens.
    pub memory_tokens: u64,
}

/// Why a pool refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolRefusal {
    /// No target of the pool accepts new work from the team.
    NoTarget,
    /// The request does not fit into the memory of the pool's targets together.
    TooLong,
    /// The response would not be complete by the deadline.
    Deadline,
    /// No target is idle, and the request must not be queued.
    Busy,
    /// No target of the pool could be reached recently.
    Unreachable,
}

/// A pool's reply to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum PoolReply {
    /// All parts are reserved.
    Granted {
        /// Reservations; the request is sent to the first one's target.
        parts: Vec<GrantPart>,
        /// Latest time for the entry to send the request.
        use_by: Instant,
        /// Lane by the prompt's length.
        lane: PromptLane,
        /// Priority at the target; lower goes first.
        priority: i64,
        /// Number of targets that could have been chosen.
        alternatives: usize,
        /// Time spent in the queue.
        queue_time: Duration,
    },
    /// Nothing is reserved, and nothing was sent to a target.
    Refused {
        /// Cause of the refusal.
        refusal: PoolRefusal,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// How a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The request was answered completely.
    Completed {
        /// Tokens generated.
        output_tokens: u64,
        /// Most tokens that were allowed.
        max_output_tokens: u64,
        /// Time from the first token to the last, in milliseconds.
        decode_ms: u64,
    },
    /// The target answered with an error, or too late.
    Failed,
    /// The connection was refused or reset.
    Disconnected,
    /// Nothing was sent, or the caller disconnected.
    Withdrawn,
}

/// Load of a pool, from which entries choose among pools.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Number of targets in service.
    pub targets: u32,
    /// Sum of the targets' limits of concurrent requests.
    pub slots: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Estimated wait of a short prompt, in milliseconds.
    pub short_wait_ms: u64,
    /// Estimated wait of a long prompt, in milliseconds.
    pub long_wait_ms: u64,
    /// Memory of all targets in service, in tokens.
    pub memory_tokens: u64,
}
