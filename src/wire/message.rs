//! The calls that processes make to stewards, and their answers.

use serde::{Deserialize, Serialize};

use super::hot::{BeatMessage, PoolAsk};
use crate::ids::{GrantId, Offset, RequestId, TargetName, TeamName, VmName};
use crate::ledger::grant::{GrantEnd, GrantPart, PoolLoad, PoolRefusal};
use crate::policy::lane::PromptLane;
use crate::view::ownership::PoolKey;
use crate::view::record::{ClaimEvent, LogEntry};

/// A call to a steward.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerCall {
    /// A peer says how it stands and asks the same.
    Beat {
        /// The sender's state.
        beat: BeatMessage,
        /// Loads of the pools that the sender owns.
        loads: Vec<PoolStatus>,
        /// What the sender heard of others, while that matters.
        relayed: Vec<RelayedReport>,
    },
    /// Asks whether the steward can reach another one.
    Probe {
        /// The VM in doubt.
        vm: VmName,
    },
    /// Asks for the records after an offset, waiting for news.
    Follow {
        /// The last offset that the caller has folded.
        after: Offset,
        /// How long to wait for news, in milliseconds.
        wait_ms: u64,
    },
    /// Asks for the whole view.
    Snapshot,
    /// Asks for a reservation at one target, or several for a gang.
    AcquirePool(PoolAsk),
    /// Ends a reservation.
    ReleasePool {
        /// The pool.
        pool: PoolKey,
        /// The reservations.
        grants: Vec<GrantId>,
        /// How they ended.
        end: GrantEnd,
    },
    /// Says that the first token came.
    FirstToken {
        /// The pool.
        pool: PoolKey,
        /// The reservations.
        grants: Vec<GrantId>,
        /// Milliseconds since the request was sent to the target.
        elapsed_ms: u64,
    },
    /// Asks for tokens under a team's ceiling.
    AcquireTeam {
        /// The team.
        team: TeamName,
        /// Tokens.
        amount: u64,
        /// Milliseconds until the request's deadline.
        deadline_ms: u64,
    },
    /// Gives tokens of a team back.
    ReleaseTeam {
        /// The team.
        team: TeamName,
        /// The reservation.
        grant: GrantId,
    },
    /// Tells a new owner which reservations an entry holds.
    Adopt {
        /// Reservations at targets.
        targets: Vec<HeldTarget>,
        /// Reservations under ceilings.
        teams: Vec<HeldTeam>,
    },
    /// Asks for claim steps to be appended to the log.
    Append(Vec<ClaimEvent>),
}

/// What a member heard of another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// The other member.
    pub vm: VmName,
    /// The last offset that it had folded.
    pub offset: Offset,
    /// Whether it could not reach the log.
    pub log_unreachable: bool,
    /// Milliseconds since before it was asked.
    pub age_ms: u64,
}

/// How a pool stood when its steward last said so.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolKey,
    /// Its load.
    pub load: PoolLoad,
}

/// A reservation that an entry holds at a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldTarget {
    /// The pool.
    pub pool: PoolKey,
    /// The request.
    pub request: RequestId,
    /// The reservation.
    pub part: GrantPart,
    /// Prompt tokens that the target prefills.
    pub prompt: u64,
    /// The lane.
    pub lane: PromptLane,
    /// Whether the first token has come.
    pub prefilled: bool,
    /// Milliseconds until the request's deadline.
    pub deadline_ms: u64,
}

/// A reservation that an entry holds under a team's ceiling.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldTeam {
    /// The team.
    pub team: TeamName,
    /// The reservation.
    pub grant: GrantId,
    /// Tokens.
    pub amount: u64,
    /// Milliseconds until the request's deadline.
    pub deadline_ms: u64,
}

/// Why a steward did not do what it was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StewardRefusal {
    /// Another steward owns this.
    NotOwner,
    /// The steward's ownership is not in force yet.
    NotSettled,
    /// The steward's view is stale.
    Stale,
    /// The team's ceiling is reached.
    Ceiling,
    /// The team or target is not in the table.
    Unknown,
    /// The log did not take the append.
    LogUnavailable,
}

/// A steward's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The answer to [`PeerCall::Beat`].
    Beat {
        /// The answering steward's state.
        beat: BeatMessage,
        /// Loads of the pools that it owns.
        loads: Vec<PoolStatus>,
        /// What it heard of others, while that matters.
        relayed: Vec<RelayedReport>,
    },
    /// The answer to [`PeerCall::Probe`].
    Probed {
        /// Whether the VM answered.
        alive: bool,
    },
    /// The answer to [`PeerCall::Follow`].
    News {
        /// Records after the offset asked for, or none if they are too old.
        entries: Vec<LogEntry>,
        /// Whether the caller must take a snapshot instead.
        snapshot_needed: bool,
        /// Milliseconds since the steward's view was known to be the newest.
        fresh_age_ms: Option<u64>,
        /// The steward's own offset.
        offset: Offset,
        /// Pool loads that the steward knows.
        loads: Vec<PoolStatus>,
        /// Whether the steward cannot reach the log.
        log_unreachable: bool,
    },
    /// The answer to [`PeerCall::Snapshot`].
    Snapshot {
        /// The view, as a checkpoint holds it.
        state: String,
    },
    /// A reservation at targets.
    PoolGranted {
        /// The parts, all or none.
        parts: Vec<GrantPart>,
        /// Milliseconds in which the entry must send.
        use_by_ms: u64,
        /// The lane.
        lane: PromptLane,
        /// Priority at the target; lower goes first.
        priority: i64,
        /// How many targets could have been chosen.
        alternatives: usize,
        /// Milliseconds spent in the queue.
        waited_ms: u64,
        /// The pool's load now.
        load: PoolLoad,
    },
    /// No reservation at the pool.
    PoolRefused {
        /// Why.
        refusal: PoolRefusal,
        /// When coming back helps, in milliseconds.
        retry_after_ms: u64,
        /// The pool's load now.
        load: PoolLoad,
    },
    /// A reservation under a ceiling.
    TeamGranted {
        /// The reservation.
        grant: GrantId,
    },
    /// Not done.
    Refused {
        /// Why.
        refusal: StewardRefusal,
        /// When coming back helps, in milliseconds.
        retry_after_ms: u64,
    },
    /// Done.
    Done,
}

/// Names of targets, for decision logs.
pub fn target_names(parts: &[GrantPart]) -> Vec<&TargetName> {
    parts.iter().map(|part| &part.target).collect()
}
