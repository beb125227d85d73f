//! Messages that the steward's actor handles.

use std::time::Instant;

use actix::Message;
use tokio::sync::oneshot;

use super::writer::WriteState;
use crate::ids::{TargetName, VmName};
use crate::ledger::grant::TicketId;
use crate::logstore::log::{LogRead, Result as LogResult};
use crate::target::control::StreamListing;
use crate::view::View;
use crate::view::ownership::PoolKey;
use crate::wire::hot::HeartbeatMessage;
use crate::wire::message::{PoolStatus, RelayedReport};
use crate::wire::{PeerCall, PeerReply};

/// A call from another process, and the sender of its reply.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SubmitCall {
    pub(super) ticket: TicketId,
    pub(super) call: PeerCall,
    pub(super) reply_sender: oneshot::Sender<PeerReply>,
}

/// The caller of a ticket gave up; `undelivered` is the reply that it did not receive.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct WithdrawCall {
    pub(super) ticket: TicketId,
    pub(super) undelivered: Option<PeerReply>,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct LogReadCompleted {
    pub(super) sent: Instant,
    pub(super) result: LogResult<LogRead>,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct HeartbeatCompleted {
    pub(super) vm: VmName,
    pub(super) sent: Instant,
    pub(super) reply: Option<HeartbeatPayload>,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct RecordsPulled(pub(super) PeerReply);

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ProbeCompleted {
    pub(super) vm: VmName,
    pub(super) incarnation: u64,
    pub(super) is_unreachable: bool,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct TargetPolled {
    pub(super) pool: PoolKey,
    pub(super) target: TargetName,
    pub(super) sent: Instant,
    pub(super) listing: Option<StreamListing>,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct VmsPolled(pub(super) Vec<VmName>);

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ViewRebuilt(pub(super) View);

/// Content of a peer's reply to a heartbeat.
pub(super) struct HeartbeatPayload {
    pub(super) heartbeat: HeartbeatMessage,
    pub(super) loads: Vec<PoolStatus>,
    pub(super) relayed: Vec<RelayedReport>,
}

/// Requests the status of the steward as JSON, for operators.
#[derive(Message)]
#[rtype(result = "serde_json::Value")]
pub struct DescribeSteward;

/// Requests that the steward leave the membership. The receiver gets the state of the leave
/// record once it was read back, [`WriteState::Unknown`] when that takes too long, or
/// [`WriteState::Ignored`] at once if this VM is not a member.
#[derive(Message)]
#[rtype(result = "oneshot::Receiver<WriteState>")]
pub struct LeaveMembership;

/// Requests a read of the log without waiting for the next interval.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ReadLogNow;
