//! Slow start: the number of concurrent requests that a target may get, from cold to warm.

use crate::chart::StateChart;
use crate::ids::InstanceId;

/// An event at a target that changes its concurrency window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetEvent {
    /// A request was answered completely.
    Completed,
    /// A request failed, or its first token was far later than expected.
    Failed,
    /// The target restarted, or its connections were refused or reset.
    Restarted,
}

/// Limit of concurrent requests that grows as requests complete.
#[derive(Debug, Clone)]
pub struct ConcurrencyWindow {
    state: String,
    limit: u32,
    cold_limit: u32,
    warm_limit: u32,
    instance: Option<InstanceId>,
}

impl ConcurrencyWindow {
    /// Creates a window at `cold_limit`, which grows up to `warm_limit`.
    ///
    /// ```
    /// use plantainnotch::chart;
    /// use plantainnotch::ledger::slow_start::{ConcurrencyWindow, TargetEvent};
    /// let chart = chart::target_chart()?;
    /// let mut window = ConcurrencyWindow::new(&chart, 1, 8);
    /// window.apply(&chart, TargetEvent::Completed);
    /// assert_eq!(window.limit(), 2);
    /// # Ok::<(), chart::ChartError>(())
    /// ```
    pub fn new(chart: &StateChart, cold_limit: u32, warm_limit: u32) -> Self {
        let cold_limit = cold_limit.max(1);
        Self {
            state: chart.initial().to_owned(),
            limit: cold_limit,
            cold_limit,
            warm_limit: warm_limit.max(cold_limit),
            instance: None,
        }
    }

    /// Most requests that may run at the target at the same time.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Current state in the target's state chart.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Sets the limits from the table and clamps the window to them.
    pub fn set_bounds(&mut self, cold_limit: u32, warm_limit: u32) {
        self.cold_limit = cold_limit.max(1);
        self.warm_limit = warm_limit.max(self.cold_limit);
        self.limit = self.limit.clamp(self.cold_limit, self.warm_limit);
    }

    /// Applies an event: a completion grows the window by one, a failure halves it, a restart
    /// resets it to the cold limit.
    pub fn apply(&mut self, chart: &StateChart, event: TargetEvent) {
        let (name, limit) = match event {
            TargetEvent::Completed => ("completed", self.limit + 1),
            TargetEvent::Failed => ("failed", self.limit / 2),
            TargetEvent::Restarted => ("restarted", self.cold_limit),
        };
        self.limit = limit.clamp(self.cold_limit, self.warm_limit);
        self.transition(chart, name);
        if self.limit == self.warm_limit && event == TargetEvent::Completed {
            self.transition(chart, "full");
        }
    }

    /// Compares the instance that the target reports with the last one; a new one resets the
    /// window like a restart. Returns whether it was new.
    pub fn observe_instance(&mut self, chart: &StateChart, instance: &InstanceId) -> bool {
        if self.instance.as_ref() == Some(instance) {
            return false;
        }
        self.instance = Some(instance.clone());
        self.apply(chart, TargetEvent::Restarted);
        true
    }

    fn transition(&mut self, chart: &StateChart, event: &str) {
        if let Ok(next) = chart.next_state(&self.state, event) {
            self.state = next.to_owned();
        }
    }
}
