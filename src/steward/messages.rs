//! The messages that the steward's actor handles.

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
use crate::wire::hot::BeatMessage;
use crate::wire::message::{PoolStatus, RelayedReport};
use crate::wire::{PeerCall, PeerReply};

/// A call from the wire and where its answer goes.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SubmitCall {
    pub(super) ticket: TicketId,
    pub(super) call: PeerCall,
    pub(super) reply: oneshot::Sender<PeerReply>,
}

/// The caller of a ticket gave up; `granted` is what it did not receive.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct WithdrawCall {
    pub(super) ticket: TicketId,
    pub(super) granted: Option<PeerReply>,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct LogArrived {
    pub(super) sent: Instant,
    pub(super) result: LogResult<LogRead>,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct BeatArrived {
    pub(super) vm: VmName,
    pub(super) asked: Instant,
    pub(super) answer: Option<BeatAnswer>,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct NewsArrived(pub(super) PeerReply);

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ProbeEnded {
    pub(super) vm: VmName,
    pub(super) incarnation: u64,
    pub(super) dead: bool,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct TargetListed {
    pub(super) pool: PoolKey,
    pub(super) target: TargetName,
    pub(super) asked: Instant,
    pub(super) listing: Option<StreamListing>,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct VmsListed(pub(super) Vec<VmName>);

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ViewRebuilt(pub(super) View);

/// What a peer answered to a heartbeat.
pub(super) struct BeatAnswer {
    pub(super) beat: BeatMessage,
    pub(super) loads: Vec<PoolStatus>,
    pub(super) relayed: Vec<RelayedReport>,
}

/// Asks the steward how it stands, as JSON for operators.
#[derive(Message)]
#[rtype(result = "serde_json::Value")]
pub struct DescribeSteward;

/// Asks the steward to leave; answers once the leave record was read back, or
/// the log did not take it in time.
#[derive(Message)]
#[rtype(result = "oneshot::Receiver<WriteState>")]
pub struct LeaveFleet;

/// Asks for a read of the log without waiting for the next turn.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ReadSoon;
