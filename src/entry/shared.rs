//! What all of an entry's threads share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::decisions::{DecisionRing, RoutingDecision};
use super::held::HeldTable;
use super::metrics::EntryMetrics;
use crate::clock::TimeSource;
use crate::config::EntrySettings;
use crate::ids::{RequestId, TargetName, TeamName};
use crate::ledger::grant::PoolLoad;
use crate::policy::retry::RetryBudget;
use crate::view::View;
use crate::view::freshness::FRESH_FOR;
use crate::view::ownership::PoolKey;
use crate::wire::PeerClient;

/// The view as this entry follows it, and what stewards say of their pools.
#[derive(Debug, Default)]
pub struct FollowedView {
    /// The view.
    pub view: View,
    /// When the view was known to be the newest.
    pub fresh_as_of: Option<Instant>,
    /// Whether the steward followed cannot reach the log.
    pub log_unreachable: bool,
    /// Loads of pools.
    pub loads: BTreeMap<PoolKey, PoolLoad>,
}

impl FollowedView {
    /// Whether new work may start at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_as_of
            .is_some_and(|as_of| now.saturating_duration_since(as_of) < FRESH_FOR)
    }
}

/// Shared state of an entry.
#[derive(Debug)]
pub struct EntryShared {
    /// Settings.
    pub settings: EntrySettings,
    /// Clock.
    pub clock: TimeSource,
    /// The view.
    pub followed: RwLock<FollowedView>,
    /// Told whenever records were folded.
    pub folded: watch::Sender<u64>,
    /// Reservations held.
    pub held: Mutex<HeldTable>,
    /// Budget of retries.
    pub budget: Mutex<RetryBudget>,
    /// Decisions.
    pub decisions: DecisionRing,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Told when the entry is to stop.
    pub stopping: watch::Sender<bool>,
    clients: Mutex<BTreeMap<String, Arc<PeerClient>>>,
}

impl EntryShared {
    /// State of an entry that knows nothing yet.
    pub fn new(settings: EntrySettings, clock: TimeSource) -> Self {
        Self {
            settings,
            clock,
            followed: RwLock::default(),
            folded: watch::Sender::new(0),
            held: Mutex::default(),
            budget: Mutex::default(),
            decisions: DecisionRing::default(),
            metrics: EntryMetrics::new(),
            stopping: watch::Sender::new(false),
            clients: Mutex::default(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Reads the followed view.
    pub fn read<T>(&self, look: impl FnOnce(&FollowedView) -> T) -> T {
        look(&self.followed.read().expect("no holder panics"))
    }

    /// A client of the steward at `address`.
    pub fn client(&self, address: &str) -> Arc<PeerClient> {
        let mut clients = self.clients.lock().expect("no holder panics");
        let client = clients
            .entry(address.to_owned())
            .or_insert_with(|| Arc::new(PeerClient::new(address)));
        client.clone()
    }

    /// Changes the held reservations.
    pub fn with_held<T>(&self, change: impl FnOnce(&mut HeldTable) -> T) -> T {
        change(&mut self.held.lock().expect("no holder panics"))
    }
}

/// One caller's request on its way.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// Shared state.
    pub shared: Arc<EntryShared>,
    /// The request.
    pub request: RequestId,
    /// The team.
    pub team: TeamName,
    /// When it came.
    pub arrived: Instant,
    /// When its answer must be complete.
    pub deadline: Instant,
}

impl RequestContext {
    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.shared.now())
    }

    /// Time since the request came.
    pub fn elapsed(&self) -> Duration {
        self.shared.now().saturating_duration_since(self.arrived)
    }

    /// Logs a routing decision.
    pub fn note(
        &self,
        decision: &str,
        targets: Vec<TargetName>,
        alternatives: Vec<String>,
        reason: impl Into<String>,
    ) {
        self.shared.decisions.note(RoutingDecision {
            request: self.request.to_string(),
            team: self.team.clone(),
            decision: decision.to_owned(),
            targets,
            alternatives,
            reason: reason.into(),
            at_ms: self.elapsed().as_millis() as u64,
        });
    }
}
