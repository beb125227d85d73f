//! Calls to stewards and their replies. They are encoded by position: the order, types and number
//! of variants and fields are part of the format.

use serde::{Deserialize, Serialize};

use super::hot::{AcquireRequest, HeartbeatMessage};
use crate::ids::{GrantId, Offset, RequestId, TargetName, TeamName, VmName};
use crate::ledger::grant::{GrantOutcome, GrantPart, PoolLoad, PoolRefusal};
use crate::policy::lane::PromptLane;
use crate::view::ownership::PoolKey;
use crate::view::record::{ClaimEvent, LogEntry};

/// A call to a steward.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerCall {
    /// Heartbeat of another steward; the reply is the receiver's own state.
    Heartbeat {
        /// The sender's state.
        heartbeat: HeartbeatMessage,
        /// Loads of the pools that the sender owns.
        loads: Vec<PoolStatus>,
        /// Recent reports on other members, sent while a membership change is pending or the log is
        /// unreachable.
        relayed: Vec<RelayedReport>,
    },
    /// Asks whether the steward's own monitoring counts a VM as alive; it sends nothing to the VM.
    Probe {
        /// The VM that the caller suspects to be dead.
        vm: VmName,
    },
    /// Long poll for the records after an offset.
    Follow {
        /// Offset of the last record that the caller has folded.
        after: Offset,
        /// How long to wait for new records, in milliseconds.
        wait_ms: u64,
    },
    /// Asks for the whole view.
    Snapshot,
    /// Asks for a reservation at one target, or at several for a gang.
    AcquirePool(AcquireRequest),
    /// Ends a reservation.
    ReleasePool {
        /// The pool that granted the reservation.
        pool: PoolKey,
        /// Grants of all parts.
        grants: Vec<GrantId>,
        /// How the reservation ended.
        end: GrantOutcome,
    },
    /// Reports the time to the first token.
    FirstToken {
        /// The pool that granted the reservation.
        pool: PoolKey,
        /// Grants of all parts.
        grants: Vec<GrantId>,
        /// Milliseconds since the request was sent to the target.
        elapsed_ms: u64,
    },
    /// Asks for a reservation of tokens under a team's ceiling.
    AcquireTeam {
        /// Team of the caller.
        team: TeamName,
        /// Tokens to reserve.
        tokens: u64,
        /// Milliseconds until the request's deadline, at which the reservation expires.
        deadline_ms: u64,
    },
    /// Ends a reservation under a team's ceiling.
    ReleaseTeam {
        /// Team that the reservation belongs to.
        team: TeamName,
        /// Grant from [`PeerReply::TeamGranted`].
        grant: GrantId,
    },
    /// Informs a new owner of the reservations that an entry holds.
    Adopt {
        /// Reservations at targets.
        targets: Vec<HeldTargetGrant>,
        /// Reservations under ceilings.
        teams: Vec<HeldTeamGrant>,
    },
    /// Asks for claim events to be appended to the log.
    Append(Vec<ClaimEvent>),
}

/// The state of another member, as relayed by a member that received its heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// VM of the member that the report is about.
    pub vm: VmName,
    /// Offset of the last record that it had folded.
    pub offset: Offset,
    /// Whether it could not reach the log.
    pub log_unreachable: bool,
    /// Milliseconds since the heartbeat that it answered was sent.
    pub age_ms: u64,
}

/// A pool's load, as its steward last reported it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool that the load is about.
    pub pool: PoolKey,
    /// Targets, slots, requests and waits of the pool.
    pub load: PoolLoad,
}

/// A reservation that an entry holds at a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldTargetGrant {
    /// The pool that granted the reservation.
    pub pool: PoolKey,
    /// Id under which the target knows the attempt.
    pub request: RequestId,
    /// Grant, target and reserved memory.
    pub part: GrantPart,
    /// Tokens of the prompt that this target prefills.
    pub prompt_tokens: u64,
    /// The lane in which the request was queued.
    pub lane: PromptLane,
    /// Whether the first token has arrived.
    pub prefilled: bool,
    /// Milliseconds until the request's deadline.
    pub deadline_ms: u64,
}

/// A reservation that an entry holds under a team's ceiling.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldTeamGrant {
    /// Team that the reservation belongs to.
    pub team: TeamName,
    /// Grant under which the entry holds it.
    pub grant: GrantId,
    /// Reserved tokens; 1 for a service call.
    pub tokens: u64,
    /// Milliseconds until the request's deadline.
    pub deadline_ms: u64,
}

/// Why a steward refused a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StewardRefusal {
    /// Another steward owns the pool or team.
    NotOwner,
    /// The steward's ownership is not in force yet.
    NotInForce,
    /// The steward's view is stale.
    Stale,
    /// The team has reached its ceiling.
    Ceiling,
    /// The team or target is not in the table.
    Unknown,
    /// The log did not record the append.
    LogUnavailable,
}

/// A steward's reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The reply to [`PeerCall::Heartbeat`].
    Heartbeat {
        /// The replying steward's state.
        heartbeat: HeartbeatMessage,
        /// Loads of the pools that it owns.
        loads: Vec<PoolStatus>,
        /// Recent reports on other members, sent while a membership change is pending or the log is
        /// unreachable.
        relayed: Vec<RelayedReport>,
    },
    /// The reply to [`PeerCall::Probe`].
    Probed {
        /// Whether the last contact with the VM is recent; `false` also when the VM is not monitored.
        alive: bool,
    },
    /// The reply to [`PeerCall::Follow`].
    NewEntries {
        /// Records after the requested offset; empty when the steward no longer keeps them.
        entries: Vec<LogEntry>,
        /// Whether the caller must load a snapshot, because records are missing.
        snapshot_needed: bool,
        /// Milliseconds since the steward's view was known to be up to date; `None` if it never was.
        fresh_age_ms: Option<u64>,
        /// Offset of the last record that the steward has folded.
        offset: Offset,
        /// Loads of all pools that the steward knows.
        loads: Vec<PoolStatus>,
        /// Whether the steward cannot reach the log.
        log_unreachable: bool,
    },
    /// The reply to [`PeerCall::Snapshot`].
    Snapshot {
        /// The view, in the encoding of checkpoints.
        state: String,
    },
    /// Reply to [`PeerCall::AcquirePool`]: a reservation at targets.
    PoolGranted {
        /// One part per target, the leader first; always of the whole gang.
        parts: Vec<GrantPart>,
        /// Milliseconds within which the entry must send the request.
        use_by_ms: u64,
        /// The lane in which the request was queued.
        lane: PromptLane,
        /// Priority at the target; lower goes first.
        priority: i64,
        /// How many targets could have been chosen.
        alternatives: usize,
        /// Milliseconds spent in the queue.
        waited_ms: u64,
        /// Load of the pool, with this reservation.
        load: PoolLoad,
    },
    /// Reply to [`PeerCall::AcquirePool`]: no reservation.
    PoolRefused {
        /// Reason of the pool.
        refusal: PoolRefusal,
        /// Milliseconds after which a retry may succeed.
        retry_after_ms: u64,
        /// Load of the pool.
        load: PoolLoad,
    },
    /// Reply to [`PeerCall::AcquireTeam`]: a reservation under the team's ceiling.
    TeamGranted {
        /// Grant of the reservation.
        grant: GrantId,
    },
    /// The steward refused the call.
    Refused {
        /// Reason of the steward.
        refusal: StewardRefusal,
        /// Milliseconds after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// The steward carried out a call that has no other reply.
    Done,
}

/// Names of the reserved targets, for decision logs.
pub fn target_names(parts: &[GrantPart]) -> Vec<&TargetName> {
    parts.iter().map(|part| &part.target).collect()
}
