//! A steward's metrics in Prometheus text form.

use std::sync::Arc;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// A steward's metrics.
#[derive(Debug)]
pub struct StewardMetrics {
    registry: Arc<Registry>,
    /// Offset of the view.
    pub view_offset: Gauge,
    /// Age of the view in milliseconds; -1 when it was never fresh.
    pub view_age_ms: Gauge,
    /// Members.
    pub members: Gauge,
    /// Pools owned.
    pub pools: Gauge,
    /// Requests waiting.
    pub waiting: Gauge,
    /// Requests running.
    pub running: Gauge,
    /// Grants made.
    pub granted: Counter,
    /// Requests refused.
    pub refused: Counter,
    /// Records appended, those sent again included.
    pub appends: Counter,
    /// Streams cancelled because nothing explained them.
    pub orphans: Counter,
}

impl StewardMetrics {
    /// Metrics that all stand at zero.
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
        let orphans = counter("orphans_cancelled", "Streams cancelled as unexplained");
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
            orphans,
        }
    }

    /// A function that gives the metrics as text, on any thread.
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
