//! Messages between nodes, in bincode: fields and variants are identified by their position,
//! so their order, types and number are part of the protocol.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::feed::LogPosition;
use crate::fleet::members::{MemberRecord, RosterUpdate};
use crate::ids::{PartName, RequestDigest, TargetName, VmName};
use crate::policy::dispatch::{
    DispatchAnswer, JobId, JobReport, PlacementRequest, RequestRank, ShareState,
};
use crate::policy::engine_pace::PaceReport;
use crate::policy::part_guard::PartBan;
use crate::policy::permits::PermitAnswer;
use crate::policy::rate_limits::RateLimit;
use crate::policy::request_guard::{RequestBan, RequestEvidence};
use crate::policy::return_promises::{CallerPrompt, ReturnPromise, ReturnState};
use crate::policy::run_claims::RunClaim;

/// Bans and acquittals of what targets crash on.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct KnownBans {
    /// Of parts of prompts.
    pub parts: Vec<PartBan>,
    /// Of single requests that come again.
    pub requests: Vec<RequestBan>,
}

/// A heartbeat to a hub.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// The VM that sends the heartbeat.
    pub sender: MemberRecord,
    /// Version of the receiver's roster that the sender has, 0 for none.
    pub known_roster_version: u64,
    /// Whether the sender knows no other VM, and needs the hubs of its domain.
    pub knows_no_peer: bool,
    /// How long the sender knows the fleet to run, in milliseconds.
    pub fleet_age_ms: u64,
    /// Position of the sender's newest operator record.
    pub operator_end: LogPosition,
    /// Position of the sender's newest target record.
    pub target_end: LogPosition,
    /// What the sender refuses because targets crash on it, and what was acquitted since.
    pub bans: KnownBans,
    /// Hash of the rate limits that the sender knows.
    pub limits_digest: u64,
    /// These limits, if the receiver's last reply showed other ones.
    pub rate_limits: Vec<RateLimit>,
}

/// The state of a heartbeat's receiver, from which the sender learns of other VMs and of records
/// that it lacks.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The VM that received the heartbeat.
    pub receiver: MemberRecord,
    /// Changes of the receiver's roster since the version that the sender has.
    pub roster: RosterUpdate,
    /// Hubs that the sender may not know.
    pub contacts: Vec<MemberRecord>,
    /// How long the receiver knows the fleet to run, in milliseconds.
    pub fleet_age_ms: u64,
    /// Position of the receiver's newest operator record.
    pub operator_end: LogPosition,
    /// Position of the receiver's newest target record.
    pub target_end: LogPosition,
    /// What the receiver refuses because targets crash on it, and what was acquitted since.
    pub bans: KnownBans,
    /// Hash of the rate limits that the receiver knows.
    pub limits_digest: u64,
    /// These limits, if the sender knows other ones.
    pub rate_limits: Vec<RateLimit>,
}

/// Asks for a permit to send one request to one of several targets that named a rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The targets' limits as the sender knows them, the preferred target first.
    pub limits: Vec<RateLimit>,
    /// Longest time that the request may wait.
    pub max_wait: Duration,
}

/// Asks for a placement at a service whose requests have different ranks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankedPlacementRequest {
    /// The request.
    pub request: PlacementRequest,
    /// Its urgency.
    pub rank: RequestRank,
}

/// The answer to a [`RankedPlacementRequest`], or to a placement request of the deciding VM itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankedAnswer {
    /// The placement or its refusal.
    pub answer: DispatchAnswer,
    /// Whether the account was over its share.
    pub share: ShareState,
}

/// Asks for a placement at a service whose refused prompts are promised a time of return.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReturningPlacementRequest {
    /// The request.
    pub request: PlacementRequest,
    /// Its urgency, if ranks count.
    pub rank: Option<RequestRank>,
    /// By what the prompt is recognised when its caller returns.
    pub prompt: CallerPrompt,
}

/// The answer to a [`ReturningPlacementRequest`], or to a placement request of the deciding VM itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReturningAnswer {
    /// The placement or its refusal.
    pub ranked: RankedAnswer,
    /// Whether the prompt returned after a refusal; `None` if returns do not count.
    pub returned: Option<ReturnState>,
    /// Time after which a refused prompt has precedence over new arrivals, if that is promised.
    pub promised_in: Option<Duration>,
}

/// Promises of the owner of placement, which its successor takes over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePromise {
    /// Name of the service.
    pub service: String,
    /// The promise.
    pub promise: ReturnPromise,
}

/// All requests of a VM that are placed at engines, from which a coordinator corrects its own
/// records.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobsReport {
    /// The VM that serves the requests.
    pub vm: VmName,
    /// Its jobs on all engines.
    pub jobs: Vec<JobReport>,
}

/// Asks a node for all records after these positions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// Position in the operators' topic.
    pub operators_after: LogPosition,
    /// Position in the targets' topic.
    pub targets_after: LogPosition,
}

/// Records after the positions of a [`RecordsRequest`], compressed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PackedRecords {
    /// Size before compression.
    pub encoded_bytes: u64,
    /// LZ4 block of the encoded records.
    pub compressed: Vec<u8>,
}

/// Changes that a VM reports to the owner of placement.
#[derive(Debug, Serialize, Deserialize)]
pub struct UpdatesReport {
    /// The VM that serves the requests.
    pub vm: VmName,
    /// The changes in their order.
    pub updates: Vec<JobUpdate>,
}

/// A change of a placed request's state, or a failure at a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobUpdate {
    /// The stream's first bytes arrived, or on a resume its head, so the prompt is prefilled.
    FirstEvent(JobId),
    /// The request ended, successfully or not.
    Ended(JobId),
    /// A target answered a request, a stream by its first event.
    RequestServed {
        /// The request.
        request: RequestDigest,
        /// Its shared parts, possibly none.
        parts: Vec<PartName>,
        /// The target that serves it.
        target: TargetName,
    },
    /// A request lost its connection to a target before it was answered.
    RequestBroken {
        /// The request.
        request: RequestDigest,
        /// Its shared parts, possibly none.
        parts: Vec<PartName>,
        /// The target that it was sent to.
        target: TargetName,
    },
    /// A target's response said that it is shutting down.
    TargetLeaving {
        /// The target.
        target: TargetName,
        /// Start of its process in Unix milliseconds.
        started_ms: u64,
    },
    /// A target's response named another rate limit than before, or none any more.
    RateLimitChanged(RateLimit),
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
    /// Reports the sender's state to a hub.
    Heartbeat(HeartbeatMessage),
    /// Asks for a placement; cancelling the call takes the request out of the queue.
    Place(PlacementRequest),
    /// Reports changes of placed requests.
    Updates(UpdatesReport),
    /// Fetches records that the sender lacks.
    FetchRecords(RecordsRequest),
    /// Reports the sender's jobs to a coordinator.
    ReportJobs(JobsReport),
    /// Announces what is refused from now on because targets crash on it, or no longer.
    AnnounceBans(KnownBans),
    /// Announces changes of the rate limits that targets name.
    AnnounceLimits(Vec<RateLimit>),
    /// Asks for a permit to send a request to a target that named a rate limit.
    TakePermit(PermitRequest),
    /// Tells coordinators the owner's evidence against requests under which targets crash.
    ShareEvidence(Vec<RequestEvidence>),
    /// Claims a request that runs at most once, before it is sent to targets.
    ClaimRun(RunClaim),
    /// Gives a claim back, as the request has not run and never will.
    ReleaseRun(RunClaim),
    /// Asks for a placement like [`Self::Place`], for a service whose requests have different ranks.
    /// A VM of a build without this call answers 400.
    PlaceRanked(RankedPlacementRequest),
    /// Reports engines that look slow to the sender to the owner of placement and its successor.
    ReportPaces(PaceReport),
    /// Tells the successor of the owner of placement when refused prompts may return. A VM of a build
    /// without this call answers 400.
    SharePromises(Vec<ServicePromise>),
    /// Asks for a placement like [`Self::PlaceRanked`], for a service whose refused prompts are promised a
    /// time of return. A VM of a build without this call answers 400.
    PlaceReturning(ReturningPlacementRequest),
}

impl NodeCall {
    /// The values that [`Self::kind`] may return.
    pub const KINDS: [&'static str; 15] = [
        "heartbeat",
        "place",
        "updates",
        "fetch_records",
        "report_jobs",
        "announce_bans",
        "announce_limits",
        "take_permit",
        "share_evidence",
        "claim_run",
        "release_run",
        "place_ranked",
        "report_paces",
        "share_promises",
        "place_returning",
    ];

    /// Name of the kind of call, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Place(_) => "place",
            Self::Updates(_) => "updates",
            Self::FetchRecords(_) => "fetch_records",
            Self::ReportJobs(_) => "report_jobs",
            Self::AnnounceBans(_) => "announce_bans",
            Self::AnnounceLimits(_) => "announce_limits",
            Self::TakePermit(_) => "take_permit",
            Self::ShareEvidence(_) => "share_evidence",
            Self::ClaimRun(_) => "claim_run",
            Self::ReleaseRun(_) => "release_run",
            Self::PlaceRanked(_) => "place_ranked",
            Self::ReportPaces(_) => "report_paces",
            Self::SharePromises(_) => "share_promises",
            Self::PlaceReturning(_) => "place_returning",
        }
    }
}

/// The reply to a [`NodeCall`].
#[derive(Debug, Serialize, Deserialize)]
pub enum NodeReply {
    /// The receiver's state, in reply to [`NodeCall::Heartbeat`].
    Heartbeat(Box<HeartbeatReply>),
    /// The placement or its refusal, in reply to [`NodeCall::Place`].
    Placed(DispatchAnswer),
    /// The call was applied, in reply to [`NodeCall::Updates`], [`NodeCall::ReportJobs`],
    /// [`NodeCall::AnnounceBans`], [`NodeCall::AnnounceLimits`], [`NodeCall::ShareEvidence`],
    /// [`NodeCall::ReleaseRun`], [`NodeCall::ReportPaces`] and [`NodeCall::SharePromises`].
    Acknowledged,
    /// The records, in reply to [`NodeCall::FetchRecords`].
    Records(PackedRecords),
    /// The permit or its refusal, in reply to [`NodeCall::TakePermit`].
    Permit(PermitAnswer),
    /// The receiver does not place for others: it has lost its paths to all targets, or stops.
    NoPath,
    /// Whether the claim was taken, in reply to [`NodeCall::ClaimRun`]; another attempt holds it if not.
    Claimed(bool),
    /// The placement or its refusal, in reply to [`NodeCall::PlaceRanked`].
    PlacedRanked(RankedAnswer),
    /// The placement or its refusal, in reply to [`NodeCall::PlaceReturning`].
    PlacedReturning(ReturningAnswer),
}
