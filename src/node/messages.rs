//! Messages between nodes.

use serde::{Deserialize, Serialize};

use crate::fleet::catalog::KeyedItem;
use crate::fleet::members::{MemberRecord, MemberRoster};
use crate::ids::TargetName;
use crate::policy::dispatch::{DispatchAnswer, JobId, JobReport, PlacementAsk};

/// A heartbeat to a coordinator.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// The sender.
    pub sender: MemberRecord,
    /// The version of the receiver's roster that the sender has.
    pub known_roster_version: u64,
    /// Offset after the sender's last operator record.
    pub operator_end_offset: u64,
    /// Offset after the sender's last target record.
    pub target_end_offset: u64,
    /// The sender's requests at engines.
    pub jobs: Vec<JobReport>,
}

/// The answer to a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The receiver.
    pub receiver: MemberRecord,
    /// Its roster, if the sender does not have it.
    pub roster: Option<MemberRoster>,
    /// Offset after the receiver's last operator record.
    pub operator_end_offset: u64,
    /// Offset after the receiver's last target record.
    pub target_end_offset: u64,
}

/// Asks a node for the records from these offsets on.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// Offset in the operators' topic.
    pub operator_from_offset: u64,
    /// Offset in the targets' topic.
    pub target_from_offset: u64,
}

/// Records that a node lacked.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsReply {
    /// Operators' records.
    pub operator_items: Vec<KeyedItem>,
    /// Targets' records.
    pub target_items: Vec<KeyedItem>,
}

/// What became of a placed request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobEvent {
    /// Its prompt is read.
    FirstEvent(JobId),
    /// It ended.
    Ended(JobId),
    /// A target did not take or answer a request.
    TargetFailed {
        /// The target.
        target: TargetName,
        /// Whether nothing listens there.
        refused: bool,
    },
}

/// A call from one node to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum NodeCall {
    /// A heartbeat.
    Heartbeat(HeartbeatRequest),
    /// Asks where a request goes; taking the call back ends the wait.
    Place(PlacementAsk),
    /// What became of placed requests.
    Events(Vec<JobEvent>),
    /// Asks for records.
    FetchRecords(RecordsRequest),
}

/// The answer to a call.
#[derive(Debug, Serialize, Deserialize)]
pub enum NodeReply {
    /// To a heartbeat.
    Heartbeat(HeartbeatReply),
    /// To a question where a request goes.
    Placed(DispatchAnswer),
    /// To events.
    Acknowledged,
    /// To a question for records.
    Records(RecordsReply),
}
