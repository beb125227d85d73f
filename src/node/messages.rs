//! Messages between nodes, in bincode: fields and variants are identified by their position,
//! so their order, types and number are part of the protocol.

use serde::{Deserialize, Serialize};

use crate::fleet::catalog::KeyedItem;
use crate::fleet::members::{MemberRecord, MemberRoster};
use crate::ids::TargetName;
use crate::policy::dispatch::{DispatchAnswer, JobId, JobReport, PlacementRequest};

/// A heartbeat to a coordinator.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// The VM that sends the heartbeat.
    pub sender: MemberRecord,
    /// Version of the receiver's roster that the sender last fetched, 0 for none.
    pub known_roster_version: u64,
    /// Offset after the sender's newest operator record.
    pub operator_end_offset: u64,
    /// Offset after the sender's newest target record.
    pub target_end_offset: u64,
    /// The sender's requests placed at engines, from which the receiver corrects its own records.
    pub jobs: Vec<JobReport>,
}

/// The state of a heartbeat's receiver, from which the sender learns of other VMs and of records
/// that it lacks.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The VM that received the heartbeat.
    pub receiver: MemberRecord,
    /// The receiver's roster; `None` if the sender already has this version.
    pub roster: Option<MemberRoster>,
    /// Offset after the receiver's newest operator record.
    pub operator_end_offset: u64,
    /// Offset after the receiver's newest target record.
    pub target_end_offset: u64,
}

/// Asks a node for all records at or after these offsets.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// First offset wanted of the operators' topic.
    pub operator_from_offset: u64,
    /// First offset wanted of the targets' topic.
    pub target_from_offset: u64,
}

/// All records that the node has from the offsets of a [`RecordsRequest`] on.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsReply {
    /// Records of the operators' topic, tombstones included.
    pub operator_items: Vec<KeyedItem>,
    /// Records of the targets' topic, tombstones included.
    pub target_items: Vec<KeyedItem>,
}

/// A change of a placed request's state, or a failure at a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobUpdate {
    /// The stream's first bytes arrived, or on a resume its head, so the prompt is prefilled.
    FirstEvent(JobId),
    /// The request ended, successfully or not.
    Ended(JobId),
    /// A target did not accept or answer a request.
    TargetFailed {
        /// The target that failed.
        target: TargetName,
        /// Whether it refused the connection.
        refused: bool,
    },
}

/// A call from one node to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum NodeCall {
    /// Reports the sender's state to a coordinator.
    Heartbeat(HeartbeatMessage),
    /// Asks for a placement; cancelling the call takes the request out of the queue.
    Place(PlacementRequest),
    /// Reports changes of placed requests.
    Updates(Vec<JobUpdate>),
    /// Fetches records that the sender lacks.
    FetchRecords(RecordsRequest),
}

/// The reply to a [`NodeCall`].
#[derive(Debug, Serialize, Deserialize)]
pub enum NodeReply {
    /// The receiver's state, in reply to [`NodeCall::Heartbeat`].
    Heartbeat(HeartbeatReply),
    /// The placement or its refusal, in reply to [`NodeCall::Place`].
    Placed(DispatchAnswer),
    /// The updates were applied, in reply to [`NodeCall::Updates`].
    Acknowledged,
    /// The records, in reply to [`NodeCall::FetchRecords`].
    Records(RecordsReply),
}
