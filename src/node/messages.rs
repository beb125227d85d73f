//! Messages between nodes.

use serde::{Deserialize, Serialize};

use crate::fleet::catalog::KeyedItem;
use crate::fleet::members::{MemberRecord, MemberRoster};
use crate::ids::TargetName;
use crate::policy::dispatch::{DispatchAnswer, JobId, JobReport, PlacementAsk};

/// A heartbeat to a coordinator.
#[derive(Debug, Serialize, Deserialize)]
pub struct BeatMessage {
    /// The sender.
    pub from: MemberRecord,
    /// The version of the receiver's roster that the sender has.
    pub roster_seen: u64,
    /// Offset after the sender's last operator record.
    pub operator_end: u64,
    /// Offset after the sender's last target record.
    pub target_end: u64,
    /// The sender's requests at engines.
    pub jobs: Vec<JobReport>,
}

/// The answer to a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct BeatReply {
    /// The receiver.
    pub member: MemberRecord,
    /// Its roster, if the sender does not have it.
    pub roster: Option<MemberRoster>,
    /// Offset after the receiver's last operator record.
    pub operator_end: u64,
    /// Offset after the receiver's last target record.
    pub target_end: u64,
}

/// Asks a node for the records from these offsets on.
#[derive(Debug, Serialize, Deserialize)]
pub struct FeedPull {
    /// Offset in the operators' topic.
    pub operator_from: u64,
    /// Offset in the targets' topic.
    pub target_from: u64,
}

/// Records that a node lacked.
#[derive(Debug, Serialize, Deserialize)]
pub struct FeedItems {
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
    End(JobId),
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
    Beat(BeatMessage),
    /// Asks where a request goes; taking the call back ends the wait.
    Place(PlacementAsk),
    /// What became of placed requests.
    Events(Vec<JobEvent>),
    /// Asks for records.
    Pull(FeedPull),
}

/// The answer to a call.
#[derive(Debug, Serialize, Deserialize)]
pub enum NodeReply {
    /// To a heartbeat.
    Beat(BeatReply),
    /// To a question where a request goes.
    Placed(DispatchAnswer),
    /// To events.
    Noted,
    /// To a question for records.
    Items(FeedItems),
}
