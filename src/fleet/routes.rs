//! Routes, services and teams of one version of the configuration.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::ids::TeamName;

const PATIENCE_FLOOR: Duration = Duration::from_secs(2); // callers leave after the longest of these three
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;
/// Least share of a route's time-out that callers set as the deadline of a first attempt:
/// 0.85 to 1 was seen on the users' sites.
const FIRST_DEADLINE_SHARE: f64 = 0.85;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// Idempotent: may run any number of times.
    Idempotent,
    /// Runs at most once.
    Once,
    /// A stream that another target may resume after its last event.
    ResumableStream,
    /// A stream that runs at most once.
    OnceStream,
}

impl RepeatRule {
    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone)]
pub struct ServiceChoice {
    /// The service.
    pub service: String,
    /// Its weight among the route's services.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone)]
pub struct RouteRule {
    /// The route's name.
    pub name: String,
    /// Host in lower case.
    pub host: String,
    /// Start of the paths, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Longest time for an answer.
    pub timeout: Duration,
    /// Objective for the answer, or for a stream's first event.
    pub objective: Duration,
    /// Longest pause between a stream's events that is in time.
    pub pause: Duration,
    /// Rank, 0 first.
    pub priority: i64,
    /// Services with their weights.
    pub services: Vec<ServiceChoice>,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub public: bool,
}

impl RouteRule {
    /// How long a caller waits for the next event before it leaves a stream.
    pub fn patience(&self) -> Duration {
        PATIENCE_FLOOR
            .max(self.objective * PATIENCE_OBJECTIVES)
            .max(self.pause * PATIENCE_PAUSES)
    }

    /// Time that a caller surely spent on earlier attempts, as `deadline`, what it says is
    /// left, tells; zero for one that it may have set for a first attempt.
    pub fn spent_before(&self, deadline: Duration) -> Duration {
        self.timeout
            .mul_f64(FIRST_DEADLINE_SHARE)
            .saturating_sub(deadline)
    }
}

/// How a model engine works, for predictions.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests at once.
    pub slots: usize,
    /// Memory in tokens.
    pub memory_tokens: u64,
    /// Steps in a pass in which anything is generated.
    pub stride: f64,
    /// Milliseconds a step.
    pub step_ms: f64,
    /// Milliseconds a step for each request that generates.
    pub step_ms_per_request: f64,
    /// Milliseconds a step for each thousand tokens of context.
    pub step_ms_per_thousand: f64,
    /// Prompt tokens read a millisecond.
    pub read_per_ms: f64,
    /// Milliseconds for each million pairs of a token with an earlier one.
    pub ms_per_million_pairs: f64,
    /// Milliseconds a step that a split prompt adds.
    pub split_step_ms: f64,
}

/// One service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: String,
    /// Requests a second that a cold target bears; 0 when it is never cold.
    pub cold_per_s: f64,
    /// How its engines work; none for a plain service.
    pub engine: Option<EngineSpec>,
}

/// A team as a key names it.
#[derive(Debug, Clone)]
pub struct TeamKey {
    /// The team.
    pub team: TeamName,
    /// Rank that goes before the route's, when set.
    pub priority: Option<i64>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// The version; higher is newer.
    pub version: u64,
    /// Routes of each host, longest prefix first.
    pub hosts: BTreeMap<String, Vec<Rc<RouteRule>>>,
    /// Services by name.
    pub services: BTreeMap<String, Rc<ServiceSpec>>,
    /// Teams by key; empty when no keys are asked for.
    pub keys: BTreeMap<String, TeamKey>,
    /// Whether requests carry keys.
    pub keyed: bool,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// The route of `path` at `host`: the longest prefix that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<Rc<RouteRule>> {
        let host = host.to_ascii_lowercase();
        let rules = self.hosts.get(&host).or_else(|| {
            let (name, _) = host.rsplit_once(':')?;
            self.hosts.get(name)
        })?;
        rules
            .iter()
            .find(|rule| path.starts_with(&rule.prefix))
            .cloned()
    }
}
