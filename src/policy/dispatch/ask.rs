//! What is asked of the dispatcher, and what it answers.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{DomainName, TargetName, TeamName, VmName};

/// Identifies one request at one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A request that wants an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementAsk {
    /// The request.
    pub job: JobId,
    /// The VM that serves it.
    pub vm: VmName,
    /// That VM's failure domain.
    pub domain: DomainName,
    /// The service.
    pub service: String,
    /// The team.
    pub team: Option<TeamName>,
    /// Prompt tokens.
    pub prompt: u64,
    /// Tokens that may be generated.
    pub output: u64,
    /// What is left of the objective for the first event.
    pub objective: Duration,
    /// Longest pause between events that is in time.
    pub pause: Duration,
    /// When the caller leaves for want of a first event, from now.
    pub give_up: Duration,
    /// Targets that failed this request.
    pub avoid: Vec<TargetName>,
}

/// One engine's part in a split prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SplitPart {
    /// The engine.
    pub target: TargetName,
    /// Tokens of memory to set aside there; 0 when it only reads.
    pub reserve: u64,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EnginePlacement {
    /// The engine that gets the request.
    pub lead: TargetName,
    /// Tokens of memory to set aside at the lead itself; 0 for none.
    pub lead_reserve: u64,
    /// Engines that read parts of it.
    pub helpers: Vec<SplitPart>,
    /// Predicted time to the first event.
    pub predicted: Duration,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It does not fit the memory of all engines together.
    TooLarge,
    /// No engine takes work.
    NoTarget,
    /// Its objective would be lost, and those of others with it.
    Overload,
    /// It could not begin before its caller leaves.
    TooLate,
}

impl RefusalReason {
    /// The reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::NoTarget => "no_target",
            Self::Overload => "overload",
            Self::TooLate => "too_late",
        }
    }
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DispatchAnswer {
    /// It goes to engines now.
    Placed(EnginePlacement),
    /// It is refused; it did not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// An answer to a request that waited.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchDecision {
    /// The request.
    pub job: JobId,
    /// What becomes of it.
    pub answer: DispatchAnswer,
}

/// An engine that takes new work.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTarget {
    /// Its name.
    pub name: TargetName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Until when it counts as cold, if it does.
    pub cold_until: Option<Instant>,
}

/// A request's claim on one engine, as VMs report it to coordinators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobReport {
    /// The request.
    pub job: JobId,
    /// The VM that serves it.
    pub vm: VmName,
    /// The engine.
    pub target: TargetName,
    /// Prompt tokens in its context on this engine.
    pub context: u64,
    /// Memory tokens on this engine.
    pub memory: u64,
    /// What is left of its reading; zero once it generates.
    pub reading: Duration,
    /// What is left of its objective for the first event.
    pub objective: Duration,
    /// Tokens of the whole prompt.
    pub prompt: u64,
    /// Longest pause between its events that is in time.
    pub pause: Duration,
    /// Whether its whole prompt counts as short.
    pub short: bool,
    /// Whether it only reads a part here.
    pub helper: bool,
}
