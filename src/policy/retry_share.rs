//! This VM's share of the retry budget that all VMs have together.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::fleet::settings::NodeBounds;

/// Share of the budget that is used; the rest absorbs differing counts among the VMs.
const USED_BUDGET_SHARE: f64 = 0.7;

/// Sliding window of the requests and retries of one service at this VM.
#[derive(Debug)]
pub struct RetryShare {
    ratio: f64,
    /// Retries per window that all VMs may make beyond the ratio, split evenly.
    shared_retries: f64,
    window: Duration,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryShare {
    /// Creates an empty window with the configured ratio, slack and length.
    pub fn new(bounds: &NodeBounds) -> Self {
        Self {
            ratio: bounds.retry_ratio,
            shared_retries: bounds.retry_slack,
            window: bounds.retry_window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn count_request(&mut self, now: Instant) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if the budget allows it; returns whether it did. The budget is a ratio of
    /// this VM's requests and an even part of the slack, which `live_vms` share.
    pub fn try_take(&mut self, live_vms: usize, now: Instant) -> bool {
        self.drop_expired(now);
        let own_budget = self.requests.len() as f64 * self.ratio;
        let limit = USED_BUDGET_SHARE * (own_budget + self.shared_retries / live_vms.max(1) as f64);
        if (self.retries.len() + 1) as f64 > limit {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: Instant) {
        let window = self.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > window)
            {
                times.pop_front();
            }
        }
    }
}
