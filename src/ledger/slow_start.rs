//! The concurrency that a target bears, from cold to warm.

use crate::chart::StateChart;
use crate::ids::InstanceId;

/// What a target's steward learned about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetEvent {
    /// A request finished.
    Completed,
    /// A request failed, or its first token came far too late.
    Failed,
    /// The target restarted, or its connections were refused or reset.
    Restarted,
}

/// A window of concurrent requests that grows while requests finish.
#[derive(Debug, Clone)]
pub struct StartWindow {
    state: String,
    limit: u32,
    cold: u32,
    warm: u32,
    instance: Option<InstanceId>,
}

impl StartWindow {
    /// A cold window.
    ///
    /// ```
    /// use plantainnotch::chart;
    /// use plantainnotch::ledger::slow_start::{StartWindow, TargetEvent};
    /// let chart = chart::target_chart()?;
    /// let mut window = StartWindow::new(&chart, 1, 8);
    /// window.apply(&chart, TargetEvent::Completed);
    /// assert_eq!(window.limit(), 2);
    /// # Ok::<(), chart::ChartError>(())
    /// ```
    pub fn new(chart: &StateChart, cold: u32, warm: u32) -> Self {
        let cold = cold.max(1);
        Self {
            state: chart.initial().to_owned(),
            limit: cold,
            cold,
            warm: warm.max(cold),
            instance: None,
        }
    }

    /// How many requests may run at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// The window's state in the chart.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Takes over changed limits from the table.
    pub fn set_bounds(&mut self, cold: u32, warm: u32) {
        self.cold = cold.max(1);
        self.warm = warm.max(self.cold);
        self.limit = self.limit.clamp(self.cold, self.warm);
    }

    /// Applies an event: completions grow the window by one, failures halve it, a
    /// restart closes it to the cold limit.
    pub fn apply(&mut self, chart: &StateChart, event: TargetEvent) {
        let (name, limit) = match event {
            TargetEvent::Completed => ("completed", self.limit + 1),
            TargetEvent::Failed => ("failed", self.limit / 2),
            TargetEvent::Restarted => ("restarted", self.cold),
        };
        self.limit = limit.clamp(self.cold, self.warm);
        self.step(chart, name);
        if self.limit == self.warm && event == TargetEvent::Completed {
            self.step(chart, "full");
        }
    }

    /// Notes the instance that the target reports; a new one closes the window.
    /// Returns whether it was new.
    pub fn see_instance(&mut self, chart: &StateChart, instance: &InstanceId) -> bool {
        if self.instance.as_ref() == Some(instance) {
            return false;
        }
        self.instance = Some(instance.clone());
        self.apply(chart, TargetEvent::Restarted);
        true
    }

    fn step(&mut self, chart: &StateChart, event: &str) {
        if let Ok(next) = chart.step(&self.state, event) {
            self.state = next.to_owned();
        }
    }
}
