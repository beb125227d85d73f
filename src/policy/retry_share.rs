//! This VM's share of the retries that all VMs may make together.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::fleet::settings::NodeBounds;

/// Share of the budget that is planned for; the rest covers VMs that count differently.
const PLANNED_SHARE: f64 = 0.7;

/// Requests and retries of one service in the window.
#[derive(Debug)]
pub struct RetryShare {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryShare {
    /// A share that has seen nothing.
    pub fn new(bounds: &NodeBounds) -> Self {
        Self {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn count_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if the budget has one left, with `live` VMs sharing the slack.
    pub fn take(&mut self, live: usize, now: Instant) -> bool {
        self.forget(now);
        let own = self.requests.len() as f64 * self.ratio;
        let limit = PLANNED_SHARE * (own + self.slack / live.max(1) as f64);
        if (self.retries.len() + 1) as f64 > limit {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant) {
        let window = self.window;
        for seen in [&mut self.requests, &mut self.retries] {
            while seen
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > window)
            {
                seen.pop_front();
            }
        }
    }
}
