//! Requests to the dispatcher, its answers, and the job reports that VMs exchange.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::super::return_promises::ReturnState;
use super::queue_order::ShareState;

use crate::ids::{DomainName, TargetName, TeamName, VmName};

/// Identifies one placement of a request, unique over all VMs; the jobs on all its engines share
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A request for one or more engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Id of the placement; a retry gets a new one.
    pub job: JobId,
    /// VM that serves the request.
    pub vm: VmName,
    /// Failure domain of that VM; engines there are preferred.
    pub domain: DomainName,
    /// Service that the request is for.
    pub service: String,
    /// Team of the caller, if known.
    pub team: Option<TeamName>,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Most tokens that may be generated.
    pub max_output_tokens: u64,
    /// Time left for the first event to be on time.
    pub objective: Duration,
    /// Longest time between two events that is still on time.
    pub max_event_gap: Duration,
    /// Time until the caller gives up waiting for the first event.
    pub give_up_after: Duration,
    /// Targets that may not be chosen: they failed this request or are suspended.
    pub excluded_targets: Vec<TargetName>,
}

/// A helper's part of a split prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SplitPart {
    /// Engine that prefills the part.
    pub target: TargetName,
    /// Tokens of memory to reserve there; 0 if it only prefills.
    pub reserve_tokens: u64,
}

/// The engines chosen for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EnginePlacement {
    /// Engine that the request is sent to.
    pub lead: TargetName,
    /// Tokens of memory to reserve at the lead; the dispatcher always sets 0.
    pub lead_reserve_tokens: u64,
    /// Parts of the prompt that other engines prefill; empty if it is not split.
    pub helpers: Vec<SplitPart>,
    /// Predicted time until the first event.
    pub predicted_first_event: Duration,
}

/// Why the dispatcher refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The request does not fit into the memory of all engines that it may be split over.
    TooLarge,
    /// No engine accepts new work.
    NoTarget,
    /// The request would miss its objective, and wait so long that it delays others.
    Overload,
    /// The first event would come after the caller gives up.
    TooLate,
    /// All engines named rate limits, and those are used up for too long.
    Limited,
}

impl RefusalReason {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::NoTarget => "no_target",
            Self::Overload => "overload",
            Self::TooLate => "too_late",
            Self::Limited => "limited",
        }
    }
}

/// The dispatcher's answer to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DispatchAnswer {
    /// The request may be sent now.
    Placed(EnginePlacement),
    /// The request is refused and was not sent to any engine.
    Refused {
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// The dispatcher's answer with the request that it is for.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchDecision {
    /// [`PlacementRequest::job`] of the request.
    pub job: JobId,
    /// Placement or refusal.
    pub answer: DispatchAnswer,
}

/// A decision with what determined the request's place in the queue, for logs and metrics.
#[derive(Debug)]
pub struct RankedDecision {
    /// The decision.
    pub decision: DispatchDecision,
    /// Rank of the request, if ranks count and it came with one.
    pub rank: Option<i64>,
    /// Whether its account was over its share.
    pub share: ShareState,
    /// Whether it returned after a refusal; `None` if returns do not count.
    pub returned: Option<ReturnState>,
    /// Time after which it was promised precedence, if it was refused.
    pub promised_in: Option<Duration>,
}

/// An engine of the dispatcher's service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTarget {
    /// Name in the catalog.
    pub name: TargetName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// End of its cold start, if known. Not used for placement: the cold limit applies to warm
    /// engines as well.
    pub cold_until: Option<Instant>,
    /// Requests a second that it takes from all VMs together, if it named a limit.
    pub requests_per_s: Option<f64>,
}

/// A job on one engine, as VMs report it to coordinators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobReport {
    /// [`PlacementRequest::job`] of the request.
    pub job: JobId,
    /// VM that serves the request.
    pub vm: VmName,
    /// Engine that the job is on.
    pub target: TargetName,
    /// Tokens of context that each pass of this engine processes for it.
    pub context_tokens: u64,
    /// Tokens of memory that it takes on this engine.
    pub memory_tokens: u64,
    /// Prefill time left; zero once it generates.
    pub prefill_left: Duration,
    /// Time left for the first event to be on time.
    pub objective: Duration,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u64,
    /// Longest time between two events that is still on time.
    pub max_event_gap: Duration,
    /// Whether the whole prompt counts as short.
    pub is_short: bool,
    /// Whether this engine only prefills a part for another one.
    pub is_helper: bool,
}
