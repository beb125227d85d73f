//! A node's metrics.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

const SECONDS_BUCKETS: [f64; 12] = [
    0.01, 0.03, 0.06, 0.1, 0.15, 0.3, 0.6, 1.2, 2.5, 5.0, 10.0, 20.0,
];

/// Labels of an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The route.
    pub route: String,
    /// What came of the request.
    pub outcome: &'static str,
}

/// Label of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabel {
    /// The route.
    pub route: String,
}

/// Label of a dependency.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DependencyLabel {
    /// The dependency.
    pub dependency: &'static str,
}

/// A node's metrics.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    /// Requests by route and outcome.
    pub outcomes: Family<OutcomeLabels, Counter>,
    /// Time to the first event, or to the answer of a plain service.
    pub answer_seconds: Family<RouteLabel, Histogram>,
    /// Time from a request's arrival to its placement.
    pub placing_seconds: Histogram,
    /// Requests under way.
    pub in_flight: Gauge,
    /// Requests that wait here for an engine.
    pub waiting: Gauge,
    /// Requests sent to a further target.
    pub retries: Counter,
    /// Retries withheld because the budget was used up.
    pub retries_withheld: Counter,
    /// Connections opened to targets.
    pub connections_opened: Counter,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// VMs taken as alive.
    pub members_live: Gauge,
    /// Failed calls by dependency.
    pub failures: Family<DependencyLabel, Counter>,
    /// Placements decided here because no coordinator answered.
    pub placed_alone: Counter,
    /// Log lines dropped because the writer lagged behind.
    pub log_lines_dropped: Gauge,
}

impl NodeMetrics {
    /// Metrics that all stand at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("notch_node"),
            outcomes: Family::default(),
            answer_seconds: Family::new_with_constructor(|| Histogram::new(SECONDS_BUCKETS)),
            placing_seconds: Histogram::new(SECONDS_BUCKETS),
            in_flight: Gauge::default(),
            waiting: Gauge::default(),
            retries: Counter::default(),
            retries_withheld: Counter::default(),
            connections_opened: Counter::default(),
            config_version: Gauge::default(),
            members_live: Gauge::default(),
            failures: Family::default(),
            placed_alone: Counter::default(),
            log_lines_dropped: Gauge::default(),
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
            "placed_alone",
            "Placements without a coordinator",
            self.placed_alone.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped by the bounded writer",
            self.log_lines_dropped.clone(),
        );
    }

    /// Counts what came of a request.
    pub fn count_outcome(&self, route: &str, outcome: &'static str) {
        let labels = OutcomeLabels {
            route: route.to_owned(),
            outcome,
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Notes the time to a first event or an answer.
    pub fn observe_answer(&self, route: &str, seconds: f64) {
        let label = RouteLabel {
            route: route.to_owned(),
        };
        self.answer_seconds.get_or_create(&label).observe(seconds);
    }

    /// Counts a failed call.
    pub fn count_failure(&self, dependency: &'static str) {
        self.failures
            .get_or_create(&DependencyLabel { dependency })
            .inc();
    }

    /// All metrics as text.
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
