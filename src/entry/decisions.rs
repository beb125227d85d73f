//! The most recent routing decisions of this entry, for `notchctl explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::ids::{RequestId, TargetName, TeamName};

const MAX_DECISIONS: usize = 5_000;

/// A routing decision: a choice of targets, a refusal, a retry or the end of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RoutingDecision {
    /// Id of the request, as in the `X-Request-Id` of its response.
    pub request: String,
    /// Team of the caller.
    pub team: TeamName,
    /// `route`, `refusal`, `retry`, `hang-up` or `end`.
    pub decision: String,
    /// The targets chosen, or those of the failed attempt for a retry.
    pub targets: Vec<TargetName>,
    /// All pools considered, each with its score.
    pub alternatives: Vec<String>,
    /// The reason, for people to read.
    pub reason: String,
    /// Milliseconds since the request arrived.
    pub at_ms: u64,
}

/// The last 5,000 decisions.
#[derive(Debug, Default)]
pub struct DecisionRing {
    decisions: Mutex<VecDeque<RoutingDecision>>,
}

impl DecisionRing {
    /// Logs a decision and keeps it, dropping the oldest one when full.
    pub fn record(&self, decision: RoutingDecision) {
        tracing::info!(
            decision = %decision.decision,
            request = %decision.request,
            team = %decision.team,
            targets = ?decision.targets,
            alternatives = ?decision.alternatives,
            reason = %decision.reason,
            at_ms = decision.at_ms,
        );
        let mut decisions = self
            .decisions
            .lock()
            .expect("no thread panics while it holds the lock");
        decisions.push_back(decision);
        if decisions.len() > MAX_DECISIONS {
            decisions.pop_front();
        }
    }

    /// The decisions on one request, oldest first.
    pub fn for_request(&self, request: RequestId) -> Vec<RoutingDecision> {
        let id = request.to_string();
        let decisions = self
            .decisions
            .lock()
            .expect("no thread panics while it holds the lock");
        decisions
            .iter()
            .filter(|decision| decision.request == id)
            .cloned()
            .collect()
    }
}
