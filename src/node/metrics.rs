//! A node's metrics, and their text form for collectors.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::connection_budget::ConnectionMetrics;
use super::messages::NodeCall;
use crate::policy::dispatch::{DispatchAnswer, RankedDecision};
use crate::policy::return_promises::ReturnCounts;

const LATENCY_BUCKETS_S: [f64; 12] = [
    0.01, 0.03, 0.06, 0.1, 0.15, 0.3, 0.6, 1.2, 2.5, 5.0, 10.0, 20.0,
];

/// Labels of the request counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Name of the route.
    pub route: String,
    /// How the request or its stream ended, such as `served` or `broken_off`.
    pub outcome: &'static str,
}

/// Label of metrics that are kept for each route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabel {
    /// Name of the route.
    pub route: String,
}

/// Label of the counter of failed calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DependencyLabel {
    /// What was called: the store, a coordinator, the owner of placement or a peer for records.
    pub dependency: &'static str,
}

/// Label of metrics that are kept for each topic of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TopicLabel {
    /// Name of the topic.
    pub topic: &'static str,
}

/// Label of queries of engines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QueryLabel {
    /// Result: `slow`, `not_slow`, or `no_pace` if the engine reported none in time.
    pub result: &'static str,
}

/// Labels of the metrics of calls to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerTrafficLabels {
    /// Kind of the call.
    pub call: &'static str,
    /// Where the other node is, one of [`Self::REACHES`].
    pub reach: &'static str,
}

impl PeerTrafficLabels {
    /// The values of `reach`; the domain of a seed is unknown until it answers.
    pub const REACHES: [&'static str; 3] = ["same_domain", "other_domain", "unknown"];
}

/// Label of the counter of responses without an end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PartLabel {
    /// Part of the response that was too long: `head`, `framing`, `body` or `event`.
    pub part: &'static str,
}

/// Labels of the counter of placements and refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlacementLabels {
    /// Rank of the request, or `none`.
    pub rank: String,
    /// State of its account's share, as `ShareState::as_str` names it.
    pub share: &'static str,
    /// `placed`, or the reason of the refusal.
    pub outcome: &'static str,
}

impl PlacementLabels {
    /// The labels of a decision.
    pub fn of(ranked: &RankedDecision) -> Self {
        let rank = ranked.rank.map(|rank| rank.to_string());
        Self {
            rank: rank.unwrap_or_else(|| "none".to_owned()),
            share: ranked.share.as_str(),
            outcome: match &ranked.decision.answer {
                DispatchAnswer::Placed(_) => "placed",
                DispatchAnswer::Refused { reason, .. } => reason.as_str(),
            },
        }
    }
}

/// Label of the counter of promised returns.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PromiseLabel {
    /// What became of a promise: `made`, `kept`, `early` or `expired`.
    pub event: &'static str,
}

/// The metrics of one node, updated where the events occur.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    /// Requests by route and outcome; a stream counts when it starts and when it ends.
    pub outcomes: Family<OutcomeLabels, Counter>,
    /// Seconds to the first event of an engine's stream, or to the response on a route that is not
    /// for streams.
    pub answer_seconds: Family<RouteLabel, Histogram>,
    /// Seconds that one placement took, from asking for it to the decision.
    pub placing_seconds: Histogram,
    /// Requests in flight, until the body of their response is sent.
    pub in_flight: Gauge,
    /// Jobs in this node's dispatcher queues.
    pub waiting: Gauge,
    /// Calls of the dispatchers to decide on waiting jobs.
    pub decide_calls: Counter,
    /// Seconds spent in these calls.
    pub decide_seconds: Counter<f64, AtomicU64>,
    /// Seconds by which the loop that decides ran later than planned.
    pub decision_lag_seconds: Histogram,
    /// Placements and refusals that these calls decided on.
    pub decisions: Counter,
    /// Retries that the budget allowed, counted before they are sent.
    pub retries: Counter,
    /// Retries that the budget did not allow.
    pub retries_withheld: Counter,
    /// Connections opened to targets because no pooled one could be used.
    pub connections_opened: Counter,
    /// Version of the configuration in force, 0 before the first.
    pub config_version: Gauge,
    /// VMs that this node takes as alive, itself included.
    pub members_live: Gauge,
    /// Failed calls to other VMs and the store, by dependency.
    pub failures: Family<DependencyLabel, Counter>,
    /// Refusals of targets that asked for a pause.
    pub pauses: Counter,
    /// Targets that name a rate limit.
    pub limited_targets: Gauge,
    /// Engines that count as slow, at the owner of placement.
    pub slow_engines: Gauge,
    /// Reports that were requested of engines that looked slow, by result.
    pub engine_queries: Family<QueryLabel, Counter>,
    /// Combinations of prompt parts whose requests are refused.
    pub banned_parts: Gauge,
    /// Requests that are refused because targets crashed under them.
    pub banned_requests: Gauge,
    /// Seconds since the last successful read of each topic that this node follows.
    pub feed_age_seconds: Family<TopicLabel, Gauge<f64, AtomicU64>>,
    /// Era of the store at the last read of each topic that this VM reads from it.
    pub store_era: Family<TopicLabel, Gauge>,
    /// Whether this node has lost its paths to all targets.
    pub paths_lost: Gauge,
    /// Requests that another node answered because this one had lost its paths.
    pub carried: Counter,
    /// Reports that were asked of targets because the paths were in doubt or lost.
    pub probes: Counter,
    /// Placements and permits, refusals included, that this node decided after an owner of placement
    /// did not answer.
    pub placed_alone: Counter,
    /// Placements and refusals that this node decided, by rank and share state.
    pub placements: Family<PlacementLabels, Counter>,
    /// Promises to refused callers, at the owner of placement, by what became of them.
    pub return_promises: Family<PromiseLabel, Counter>,
    /// Requests that run at most once and were not sent, as their id had come before.
    pub repeats_refused: Counter,
    /// Claims of requests that no other VM confirmed.
    pub claims_unconfirmed: Counter,
    /// Log lines dropped since the start because the writer lagged behind.
    pub log_lines_dropped: Gauge,
    /// Targets' responses given up because a part of them was too long.
    pub oversized_responses: Family<PartLabel, Counter>,
    /// Memory of events that were read from targets and not yet by their callers, in bytes.
    pub read_ahead_bytes: Gauge,
    /// Streams that were read ahead of their callers.
    pub read_ahead_streams: Counter,
    /// Those of them that reached the bound of one response.
    pub read_ahead_full: Counter,
    /// Responses ended because their callers read slowest when the bound of the VM was exceeded.
    pub slow_readers_ended: Counter,
    /// Calls that other nodes accepted.
    pub peer_calls: Family<PeerTrafficLabels, Counter>,
    /// Bytes of the bodies of these calls.
    pub peer_sent_bytes: Family<PeerTrafficLabels, Counter>,
    /// Bytes of the bodies of the replies to these calls.
    pub peer_received_bytes: Family<PeerTrafficLabels, Counter>,
    /// Connections of callers, what is held for them, and limits they reached.
    pub connections: ConnectionMetrics,
}

impl NodeMetrics {
    /// Registers all metrics, with a value of zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("notch_node"),
            outcomes: Family::default(),
            answer_seconds: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS_S)),
            placing_seconds: Histogram::new(LATENCY_BUCKETS_S),
            in_flight: Gauge::default(),
            waiting: Gauge::default(),
            decide_calls: Counter::default(),
            decide_seconds: Counter::default(),
            decision_lag_seconds: Histogram::new(LATENCY_BUCKETS_S),
            decisions: Counter::default(),
            retries: Counter::default(),
            retries_withheld: Counter::default(),
            connections_opened: Counter::default(),
            config_version: Gauge::default(),
            members_live: Gauge::default(),
            failures: Family::default(),
            pauses: Counter::default(),
            limited_targets: Gauge::default(),
            slow_engines: Gauge::default(),
            engine_queries: Family::default(),
            banned_parts: Gauge::default(),
            banned_requests: Gauge::default(),
            feed_age_seconds: Family::default(),
            store_era: Family::default(),
            paths_lost: Gauge::default(),
            carried: Counter::default(),
            probes: Counter::default(),
            placed_alone: Counter::default(),
            placements: Family::default(),
            return_promises: Family::default(),
            repeats_refused: Counter::default(),
            claims_unconfirmed: Counter::default(),
            log_lines_dropped: Gauge::default(),
            oversized_responses: Family::default(),
            read_ahead_bytes: Gauge::default(),
            read_ahead_streams: Counter::default(),
            read_ahead_full: Counter::default(),
            slow_readers_ended: Counter::default(),
            peer_calls: Family::default(),
            peer_sent_bytes: Family::default(),
            peer_received_bytes: Family::default(),
            connections: ConnectionMetrics::default(),
        };
        metrics.register_all();
        metrics
    }

    fn register_all(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by route and outcome",
            self.outcomes.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to the first event or the answer",
            self.answer_seconds.clone(),
        );
        registry.register(
            "placing_seconds",
            "Time from arrival to placement",
            self.placing_seconds.clone(),
        );
        registry.register("in_flight", "Requests under way", self.in_flight.clone());
        registry.register("waiting", "Requests that wait here", self.waiting.clone());
        registry.register(
            "decide_calls",
            "Calls to decide on waiting jobs",
            self.decide_calls.clone(),
        );
        registry.register(
            "decide_seconds",
            "Time spent in these calls",
            self.decide_seconds.clone(),
        );
        registry.register(
            "decision_lag_seconds",
            "Time by which the loop that decides ran late",
            self.decision_lag_seconds.clone(),
        );
        registry.register(
            "decisions",
            "Placements and refusals decided on here",
            self.decisions.clone(),
        );
        registry.register("retries", "Sends after the first", self.retries.clone());
        registry.register(
            "retries_withheld",
            "Sends withheld by the retry budget",
            self.retries_withheld.clone(),
        );
        registry.register(
            "connections_opened",
            "Connections opened to targets",
            self.connections_opened.clone(),
        );
        registry.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "members_live",
            "VMs taken as alive",
            self.members_live.clone(),
        );
        registry.register(
            "dependency_failures",
            "Failed calls by dependency",
            self.failures.clone(),
        );
        registry.register(
            "pauses",
            "Refusals of targets that asked for a pause",
            self.pauses.clone(),
        );
        registry.register(
            "limited_targets",
            "Targets that name a rate limit",
            self.limited_targets.clone(),
        );
        registry.register(
            "slow_engines",
            "Engines that count as slow",
            self.slow_engines.clone(),
        );
        registry.register(
            "engine_queries",
            "Reports requested of engines that looked slow, by result",
            self.engine_queries.clone(),
        );
        registry.register(
            "banned_parts",
            "Combinations of prompt parts whose requests are refused",
            self.banned_parts.clone(),
        );
        registry.register(
            "banned_requests",
            "Requests that are refused because targets crashed under them",
            self.banned_requests.clone(),
        );
        registry.register(
            "feed_age_seconds",
            "Time since the last successful read of a topic of the store",
            self.feed_age_seconds.clone(),
        );
        registry.register(
            "store_era",
            "How often the store came back from an older copy, at the last read of a topic",
            self.store_era.clone(),
        );
        registry.register(
            "paths_lost",
            "Whether this node reaches no target",
            self.paths_lost.clone(),
        );
        registry.register(
            "carried",
            "Requests that another node answered because this one reaches no target",
            self.carried.clone(),
        );
        registry.register(
            "probes",
            "Reports asked of targets because the paths were in doubt or lost",
            self.probes.clone(),
        );
        registry.register(
            "placed_alone",
            "Placements without a coordinator",
            self.placed_alone.clone(),
        );
        registry.register(
            "repeats_refused",
            "Requests that run at most once and were not sent, as their id had come before",
            self.repeats_refused.clone(),
        );
        registry.register(
            "claims_unconfirmed",
            "Claims of requests that no other node confirmed",
            self.claims_unconfirmed.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped by the bounded writer",
            self.log_lines_dropped.clone(),
        );
        registry.register(
            "oversized_responses",
            "Responses of targets given up because a part was too long",
            self.oversized_responses.clone(),
        );
        registry.register(
            "placements",
            "Placements and refusals decided here by rank and share state",
            self.placements.clone(),
        );
        registry.register(
            "return_promises",
            "Promised times of return by what became of them",
            self.return_promises.clone(),
        );
        self.register_read_ahead();
        self.register_connections();
        self.register_peer_traffic();
    }

    fn register_read_ahead(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "read_ahead_bytes",
            "Memory of events that callers have not read yet",
            self.read_ahead_bytes.clone(),
        );
        registry.register(
            "read_ahead_streams",
            "Streams that were read ahead of their callers",
            self.read_ahead_streams.clone(),
        );
        registry.register(
            "read_ahead_full",
            "Streams that reached the bound of one response while read ahead",
            self.read_ahead_full.clone(),
        );
        registry.register(
            "slow_readers_ended",
            "Responses ended because their callers read slowest",
            self.slow_readers_ended.clone(),
        );
    }

    fn register_connections(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "caller_limits_reached",
            "How often callers' connections reached a limit",
            self.connections.limits_reached.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers, and to the directory, readiness and metrics",
            self.connections.open.clone(),
        );
        registry.register(
            "caller_held_bytes",
            "Bytes counted as held for these connections",
            self.connections.held_bytes.clone(),
        );
    }

    fn register_peer_traffic(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "peer_calls",
            "Calls to other nodes by kind and reach",
            self.peer_calls.clone(),
        );
        registry.register(
            "peer_sent_bytes",
            "Bytes sent in calls to other nodes",
            self.peer_sent_bytes.clone(),
        );
        registry.register(
            "peer_received_bytes",
            "Bytes received in replies of other nodes",
            self.peer_received_bytes.clone(),
        );
    }

    /// Counts a placement or refusal that this node decided.
    pub fn count_placement(&self, labels: &PlacementLabels) {
        self.placements.get_or_create(labels).inc();
    }

    /// Counts promised times of return.
    pub fn count_returns(&self, counts: &ReturnCounts) {
        let events = [
            ("made", counts.made),
            ("kept", counts.kept),
            ("early", counts.early),
            ("expired", counts.expired),
        ];
        for (event, count) in events {
            let label = PromiseLabel { event };
            self.return_promises.get_or_create(&label).inc_by(count);
        }
    }

    /// Counts a call that another node accepted, and the bytes of its body.
    pub fn count_peer_call(&self, labels: &PeerTrafficLabels, sent_bytes: usize) {
        self.peer_calls.get_or_create(labels).inc();
        self.peer_sent_bytes
            .get_or_create(labels)
            .inc_by(sent_bytes as u64);
    }

    /// Counts the bytes of a reply's body.
    pub fn count_peer_reply(&self, labels: &PeerTrafficLabels, received_bytes: usize) {
        self.peer_received_bytes
            .get_or_create(labels)
            .inc_by(received_bytes as u64);
    }

    /// Totals of the calls to other nodes, one `call/reach=calls:sent:received` for each kind of
    /// call and reach that occurred, separated by spaces.
    pub fn peer_traffic_summary(&self) -> String {
        let mut totals = Vec::new();
        for call in NodeCall::KINDS {
            for reach in PeerTrafficLabels::REACHES {
                let labels = PeerTrafficLabels { call, reach };
                let Some(calls) = self.peer_calls.get(&labels).map(|calls| calls.get()) else {
                    continue;
                };
                let sent = self.peer_sent_bytes.get_or_create(&labels).get();
                let received = self.peer_received_bytes.get_or_create(&labels).get();
                totals.push(format!("{call}/{reach}={calls}:{sent}:{received}"));
            }
        }
        totals.join(" ")
    }

    /// Counts a request, or the end of its stream, under its outcome.
    pub fn count_outcome(&self, route: &str, outcome: &'static str) {
        let labels = OutcomeLabels {
            route: route.to_owned(),
            outcome,
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Records the seconds to a first event or a response.
    pub fn observe_answer(&self, route: &str, seconds: f64) {
        let label = RouteLabel {
            route: route.to_owned(),
        };
        self.answer_seconds.get_or_create(&label).observe(seconds);
    }

    /// Counts a target's response that was given up because `part` of it was too long.
    pub fn count_oversized_response(&self, part: &'static str) {
        self.oversized_responses
            .get_or_create(&PartLabel { part })
            .inc();
    }

    /// Counts a query of an engine's own report.
    pub fn count_engine_query(&self, result: &'static str) {
        self.engine_queries
            .get_or_create(&QueryLabel { result })
            .inc();
    }

    /// Sets the seconds since the last successful read of a topic.
    pub fn set_feed_age(&self, topic: &'static str, seconds: f64) {
        self.feed_age_seconds
            .get_or_create(&TopicLabel { topic })
            .set(seconds);
    }

    /// Sets the era of the store at the last read of a topic.
    pub fn set_store_era(&self, topic: &'static str, era: u64) {
        self.store_era
            .get_or_create(&TopicLabel { topic })
            .set(era as i64);
    }

    /// Removes the metrics of a topic that this node no longer follows.
    pub fn remove_feed_metrics(&self, topic: &'static str) {
        self.feed_age_seconds.remove(&TopicLabel { topic });
        self.store_era.remove(&TopicLabel { topic });
    }

    /// Counts a failed call to another VM or the store.
    pub fn count_failure(&self, dependency: &'static str) {
        self.failures
            .get_or_create(&DependencyLabel { dependency })
            .inc();
    }

    /// Renders all metrics in the `OpenMetrics` text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(%error, "metrics could not be rendered");
        }
        text
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self::new()
    }
}
