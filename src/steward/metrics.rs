//! A steward's metrics in Prometheus text form.

use std::sync::Arc;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Registered metrics of a steward.
#[derive(Debug)]
pub struct StewardMetrics {
    registry: Arc<Registry>,
    /// Offset of the last record in the view.
    pub view_offset: Gauge,
    /// Milliseconds since the view was known to be at the log's end; -1 when it never was.
    pub view_age_ms: Gauge,
    /// Number of current members.
    pub members: Gauge,
    /// Number of pools that this steward owns.
    pub pools: Gauge,
    /// Requests queued at the owned pools.
    pub waiting: Gauge,
    /// Requests running on targets of the owned pools.
    pub running: Gauge,
    /// Requests that were granted targets.
    pub granted: Counter,
    /// Requests that a pool refused.
    pub refused: Counter,
    /// Records sent to the log, including resent ones.
    pub appends: Counter,
    /// Streams cancelled because they had no grant or were past their deadline.
    pub orphans_cancelled: Counter,
}

impl StewardMetrics {
    /// Registers all metrics, with the value zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("notch_steward");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let view_offset = gauge("view_offset", "Offset of the view");
        let view_age_ms = gauge("view_age_ms", "Age of the view in milliseconds");
        let members = gauge("members", "Members");
        let pools = gauge("pools", "Pools owned");
        let waiting = gauge("waiting", "Requests waiting");
        let running = gauge("running", "Requests running");
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let granted = counter("granted", "Grants made");
        let refused = counter("refused", "Requests refused");
        let appends = counter("appends", "Records appended");
        let orphans_cancelled = counter("orphans_cancelled", "Streams cancelled as unexplained");
        Self {
            registry: Arc::new(registry),
            view_offset,
            view_age_ms,
            members,
            pools,
            waiting,
            running,
            granted,
            refused,
            appends,
            orphans_cancelled,
        }
    }

    /// A function that renders the metrics as OpenMetrics text, on any thread.
    pub fn renderer(&self) -> Arc<dyn Fn() -> String + Send + Sync> {
        let registry = self.registry.clone();
        Arc::new(move || {
            let mut text = String::new();
            encode(&mut text, &registry).ok();
            text
        })
    }
}

impl Default for StewardMetrics {
    fn default() -> Self {
        Self::new()
    }
}
