//! Metrics of an entry, in OpenMetrics text format.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::node::connection_budget::ConnectionMetrics;

const FIRST_TOKEN_BUCKETS_S: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.2, 2.5, 5.0, 15.0, 60.0, 300.0,
];

/// Label set of metrics by prompt length.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabel {
    /// A class from [`length_class`].
    pub class: String,
}

/// Label set of metrics by outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// `finished`, `caller_gone` or the kind of the error.
    pub kind: String,
}

/// Label set of metrics by team.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TeamLabel {
    /// Team that the caller's key belongs to.
    pub team: String,
}

/// The metrics and their registry.
#[derive(Debug, Clone)]
pub struct EntryMetrics {
    registry: Arc<Registry>,
    first_token: Family<ClassLabel, Histogram>,
    outcomes: Family<KindLabel, Counter>,
    tokens: Family<TeamLabel, Counter>,
    /// Chat requests that have not ended.
    pub in_flight: Gauge,
    /// Offset of the last log record folded into the view.
    pub view_offset: Gauge,
    /// Age of the view in milliseconds; -1 when it was never fresh.
    pub view_age_ms: Gauge,
    /// Attempts of chat requests after the first.
    pub retries: Counter,
    /// Callers' connections, and the limits that they reached.
    pub connections: ConnectionMetrics,
}

impl EntryMetrics {
    /// Registers all metrics, with the prefix `notch_entry`.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("notch_entry");
        let first_token = Family::<ClassLabel, Histogram>::new_with_constructor(|| {
            Histogram::new(FIRST_TOKEN_BUCKETS_S)
        });
        let outcomes = Family::<KindLabel, Counter>::default();
        let tokens = Family::<TeamLabel, Counter>::default();
        let in_flight = Gauge::default();
        let view_offset = Gauge::default();
        let view_age_ms = Gauge::default();
        let retries = Counter::default();
        let connections = ConnectionMetrics::default();
        registry.register(
            "first_token_seconds",
            "Time to first token by prompt length",
            first_token.clone(),
        );
        registry.register(
            "outcomes",
            "Requests by outcome or refusal",
            outcomes.clone(),
        );
        registry.register("tokens", "Tokens by team", tokens.clone());
        registry.register("in_flight", "Requests under way", in_flight.clone());
        registry.register("view_offset", "Offset of the view", view_offset.clone());
        registry.register("view_age_ms", "Age of the view", view_age_ms.clone());
        registry.register("retries", "Attempts after the first", retries.clone());
        registry.register(
            "caller_limits_reached",
            "How often callers reached a limit",
            connections.limits_reached.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            connections.open.clone(),
        );
        registry.register(
            "caller_held_bytes",
            "Bytes counted as held for these connections",
            connections.held_bytes.clone(),
        );
        Self {
            registry: Arc::new(registry),
            first_token,
            outcomes,
            tokens,
            in_flight,
            view_offset,
            view_age_ms,
            retries,
            connections,
        }
    }

    /// Records the time to the first token, for a prompt of this many tokens.
    pub fn observe_first_token(&self, prompt_tokens: u64, elapsed: Duration) {
        let label = ClassLabel {
            class: length_class(prompt_tokens).to_owned(),
        };
        self.first_token
            .get_or_create(&label)
            .observe(elapsed.as_secs_f64());
    }

    /// Counts a request that ended with this outcome or error kind.
    pub fn count_outcome(&self, kind: &str) {
        let label = KindLabel {
            kind: kind.to_owned(),
        };
        self.outcomes.get_or_create(&label).inc();
    }

    /// Counts prompt and output tokens of a team.
    pub fn count_tokens(&self, team: &str, tokens: u64) {
        let label = TeamLabel {
            team: team.to_owned(),
        };
        self.tokens.get_or_create(&label).inc_by(tokens);
    }

    /// Body of the response to `GET /metrics`, in OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).ok();
        text
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

/// The class of a prompt's length in tokens.
///
/// ```
/// use plantainnotch::entry::metrics::length_class;
/// assert_eq!(length_class(900), "1k");
/// assert_eq!(length_class(250_000), "1M");
/// ```
pub fn length_class(prompt_tokens: u64) -> &'static str {
    match prompt_tokens {
        0..=3_000 => "1k",
        3_001..=30_000 => "10k",
        30_001..=200_000 => "100k",
        _ => "1M",
    }
}
