//! Routes, services and teams in one version of the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::ids::TeamName;
use crate::policy::dispatch::QueueRules;

const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2); // a caller waits at least this long; the multiples below can raise it
const OBJECTIVES_PER_EVENT_TIMEOUT: u32 = 4;
const GAPS_PER_EVENT_TIMEOUT: u32 = 8;
/// Lowest share of the route's timeout that callers set as the deadline of a first attempt;
/// production traffic showed 0.85 to 1.
const MIN_FIRST_DEADLINE_SHARE: f64 = 0.85;

/// Whether a request that may have run can run again, and whether its response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RerunPolicy {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// A stream that another target may resume after its last event.
    ResumableStream,
    /// A stream whose request may run at most once.
    AtMostOnceStream,
}

impl RerunPolicy {
    /// Whether a request that may have run can be sent to a target again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::AtMostOnceStream)
    }
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone)]
pub struct WeightedService {
    /// Name of its [`ServiceSpec`].
    pub service: String,
    /// Weight relative to the route's other services; 0 or more.
    pub weight: f64,
}

/// Rule for the requests of one host and path prefix.
#[derive(Debug, Clone)]
pub struct RouteRule {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// Whether its requests can run again.
    pub rerun_policy: RerunPolicy,
    /// Time limit for the whole response.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Longest time between two events of a stream that meets the objective.
    pub max_event_gap: Duration,
    /// Rank of its requests whose key has none; 0 is the most urgent.
    pub priority: i64,
    /// Services that share its requests.
    pub services: Vec<WeightedService>,
    /// Number of targets to which one request may be sent; at least 1.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl RouteRule {
    /// Time that a caller waits for the next event before it closes a stream.
    pub fn event_timeout(&self) -> Duration {
        MIN_EVENT_TIMEOUT
            .max(self.objective * OBJECTIVES_PER_EVENT_TIMEOUT)
            .max(self.max_event_gap * GAPS_PER_EVENT_TIMEOUT)
    }

    /// Lower bound of the time that a caller has spent on earlier attempts of a request.
    ///
    /// Callers shorten the deadline of each further attempt by the time already spent. Zero if
    /// `time_left`, the deadline of this attempt, may be that of a first one.
    pub fn time_on_earlier_attempts(&self, time_left: Duration) -> Duration {
        self.timeout
            .mul_f64(MIN_FIRST_DEADLINE_SHARE)
            .saturating_sub(time_left)
    }
}

/// Capacity and speed of a model engine, for predicting its latency.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Memory for prompts and generated text, in tokens.
    pub memory_tokens: u64,
    /// Decode steps in each forward pass; a step generates one token for each request.
    pub steps_per_pass: f64,
    /// Base time of a decode step, in milliseconds.
    pub step_ms: f64,
    /// Time that each generating request adds to a step, in milliseconds.
    pub step_ms_per_request: f64,
    /// Time that each thousand tokens of context add to a step, in milliseconds.
    pub step_ms_per_thousand_tokens: f64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Prefill time for attention over a million pairs of a prompt token and an earlier one, in
    /// milliseconds.
    pub ms_per_million_pairs: f64,
    /// Time that a prompt split over helpers adds to each step of its request, in milliseconds.
    pub helper_step_ms: f64,
}

/// A service with the limits and speed of its targets.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Name that routes and targets' records refer to.
    pub name: String,
    /// Requests per second that a cold target takes; 0 if targets are never cold.
    pub cold_requests_per_s: f64,
    /// Engine model; `None` for a service that is not a model engine.
    pub engine: Option<EngineSpec>,
}

/// The team that a caller's key belongs to.
#[derive(Debug, Clone)]
pub struct KeyTeam {
    /// Team that the caller's requests are counted for.
    pub team: TeamName,
    /// Rank that replaces the route's, if set.
    pub priority: Option<i64>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest head of a request, from its first line to the empty one, in bytes.
    pub header_bytes: usize,
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// Version number; higher is newer.
    pub version: u64,
    /// Routes of each host, longest path prefix first.
    pub routes_by_host: BTreeMap<String, Vec<Rc<RouteRule>>>,
    /// Services by name.
    pub services: BTreeMap<String, Rc<ServiceSpec>>,
    /// Teams by key; empty if the configuration has no keys.
    pub keys: BTreeMap<String, KeyTeam>,
    /// Whether requests to routes that are not public need a key.
    pub keys_required: bool,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// The ranks of requests that can reach each service, in ascending order, as
    /// [`Self::reachable_ranks`] returns them.
    pub service_ranks: BTreeMap<String, Vec<i64>>,
}

impl RouteTable {
    /// The ranks of requests that can reach each service by its routes and the keys.
    pub fn reachable_ranks(&self) -> BTreeMap<String, Vec<i64>> {
        let key_ranks: BTreeSet<Option<i64>> = self.keys.values().map(|key| key.priority).collect();
        let mut ranks: BTreeMap<String, BTreeSet<i64>> = BTreeMap::new();
        for route in self.routes_by_host.values().flatten() {
            let without_key = (route.public || !self.keys_required).then_some(None);
            let of_route: BTreeSet<i64> = key_ranks
                .iter()
                .copied()
                .chain(without_key)
                .map(|rank| rank.unwrap_or(route.priority))
                .collect();
            let reached = route.services.iter().filter(|choice| choice.weight > 0.0);
            for choice in reached {
                let of_service = ranks.entry(choice.service.clone()).or_default();
                of_service.extend(&of_route);
            }
        }
        let sorted = |ranks: BTreeSet<i64>| ranks.into_iter().collect();
        ranks
            .into_iter()
            .map(|(service, ranks)| (service, sorted(ranks)))
            .collect()
    }

    /// [`Self::service_ranks`] of one service.
    pub fn ranks_of(&self, service: &str) -> &[i64] {
        self.service_ranks.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether the keys belong to two client accounts or more.
    pub fn has_several_accounts(&self) -> bool {
        let mut accounts = self.keys.values().map(|key| &key.team);
        let first = accounts.next();
        accounts.any(|account| Some(account) != first)
    }

    /// Which properties of requests count at a service beside their length and objective.
    pub fn queue_rules(&self, service: &str) -> QueueRules {
        QueueRules {
            ranks: self.ranks_of(service).len() > 1,
            shares: self.has_several_accounts(),
        }
    }

    /// Finds the route of `host`, with or without a port, with the longest prefix of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<Rc<RouteRule>> {
        let host = host.to_ascii_lowercase();
        let rules = self.routes_by_host.get(&host).or_else(|| {
            let (name, _) = host.rsplit_once(':')?;
            self.routes_by_host.get(name)
        })?;
        rules
            .iter()
            .find(|rule| path.starts_with(&rule.path_prefix))
            .cloned()
    }
}
