//! The last routing decisions of this entry, for `notchctl explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::ids::{RequestId, TargetName, TeamName};

const KEPT_DECISIONS: usize = 5_000;

/// One routing decision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RoutingDecision {
    /// The request.
    pub request: String,
    /// The team.
    pub team: TeamName,
    /// What was decided.
    pub decision: String,
    /// The targets chosen.
    pub targets: Vec<TargetName>,
    /// What else could have been chosen.
    pub alternatives: Vec<String>,
    /// Why.
    pub reason: String,
    /// Milliseconds since the request came.
    pub at_ms: u64,
}

/// A bounded list of decisions.
#[derive(Debug, Default)]
pub struct DecisionRing {
    kept: Mutex<VecDeque<RoutingDecision>>,
}

impl DecisionRing {
    /// Logs a decision as a JSON line and keeps it.
    pub fn note(&self, decision: RoutingDecision) {
        tracing::info!(
            decision = %decision.decision,
            request = %decision.request,
            team = %decision.team,
            targets = ?decision.targets,
            alternatives = ?decision.alternatives,
            reason = %decision.reason,
            at_ms = decision.at_ms,
        );
        let mut kept = self.kept.lock().expect("no holder panics");
        kept.push_back(decision);
        if kept.len() > KEPT_DECISIONS {
            kept.pop_front();
        }
    }

    /// The decisions about one request, oldest first.
    pub fn about(&self, request: RequestId) -> Vec<RoutingDecision> {
        let id = request.to_string();
        let kept = self.kept.lock().expect("no holder panics");
        kept.iter()
            .filter(|kept| kept.request == id)
            .cloned()
            .collect()
    }
}
