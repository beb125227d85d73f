//! State shared by all threads of an entry.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::decisions::{DecisionRing, RoutingDecision};
use super::held::ReservationTable;
use super::metrics::EntryMetrics;
use crate::clock::TimeSource;
use crate::config::EntrySettings;
use crate::ids::{RequestId, TargetName, TeamName};
use crate::ledger::grant::PoolLoad;
use crate::node::body_budget::{BodyBudget, BodyLimits};
use crate::node::connection_budget::LimitReports;
use crate::node::state::REQUEST_BODIES_SHARE;
use crate::policy::retry::RetryBudget;
use crate::view::View;
use crate::view::freshness::MAX_VIEW_AGE;
use crate::view::ownership::PoolKey;
use crate::wire::PeerClient;

/// Of a chat request's body: as received or parsed, and as encoded for a target in a buffer that doubles.
const BODY_COPIES: usize = 3;

/// What this entry has received from the steward that it follows: the view and the pool loads.
#[derive(Debug, Default)]
pub struct FollowedState {
    /// The view, folded from the log up to its offset.
    pub view: View,
    /// Latest time at which the view was known to be up to date.
    pub fresh_as_of: Option<Instant>,
    /// Whether the followed steward cannot reach the log.
    pub log_unreachable: bool,
    /// Load of each pool, as the followed steward last reported it.
    pub loads: BTreeMap<PoolKey, PoolLoad>,
}

impl FollowedState {
    /// Whether the view is fresh enough at `now` to start new work.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_as_of
            .is_some_and(|as_of| now.saturating_duration_since(as_of) < MAX_VIEW_AGE)
    }
}

/// State of an entry, shared by its worker threads and background tasks.
#[derive(Debug)]
pub struct EntryShared {
    /// Settings from flags and environment variables.
    pub settings: EntrySettings,
    /// Clock; tests set their own.
    pub clock: TimeSource,
    /// The state as last received from a steward.
    pub followed: RwLock<FollowedState>,
    /// Counter that changes whenever records were folded into the view.
    pub fold_count: watch::Sender<u64>,
    /// Reservations that this entry holds.
    pub held: Mutex<ReservationTable>,
    /// Retry budget of all requests of this entry.
    pub budget: Mutex<RetryBudget>,
    /// Recent routing decisions.
    pub decisions: DecisionRing,
    /// Metrics for `GET /metrics`.
    pub metrics: EntryMetrics,
    /// Limits that callers reached.
    pub limit_reports: Arc<LimitReports>,
    /// Memory that the bodies of requests share.
    pub body_budget: Arc<BodyBudget>,
    /// Set to true when the entry starts to shut down.
    pub stopping: watch::Sender<bool>,
    clients: Mutex<BTreeMap<String, Arc<PeerClient>>>,
}

impl EntryShared {
    /// State of an entry whose view is still empty and not fresh.
    pub fn new(settings: EntrySettings, clock: TimeSource) -> Self {
        let metrics = EntryMetrics::new();
        let bodies = BodyLimits {
            // The settings limit each.
            body: usize::MAX,
            total: (settings.memory_bytes as f64 * REQUEST_BODIES_SHARE) as usize,
            copies: BODY_COPIES,
        };
        Self {
            settings,
            clock,
            followed: RwLock::default(),
            fold_count: watch::Sender::new(0),
            held: Mutex::default(),
            budget: Mutex::default(),
            decisions: DecisionRing::default(),
            limit_reports: Arc::new(LimitReports::new(metrics.connections.clone())),
            body_budget: Arc::new(BodyBudget::new(bodies)),
            metrics,
            stopping: watch::Sender::new(false),
            clients: Mutex::default(),
        }
    }

    /// The current time; tests set the clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Calls `inspect` with the followed state, under the read lock.
    pub fn with_followed<T>(&self, inspect: impl FnOnce(&FollowedState) -> T) -> T {
        inspect(
            &self
                .followed
                .read()
                .expect("no thread panics while it holds the lock"),
        )
    }

    /// The client of the steward at `address`; its connection is shared by all callers.
    pub fn client(&self, address: &str) -> Arc<PeerClient> {
        let mut clients = self
            .clients
            .lock()
            .expect("no thread panics while it holds the lock");
        let client = clients
            .entry(address.to_owned())
            .or_insert_with(|| Arc::new(PeerClient::new(address)));
        client.clone()
    }

    /// Calls `change` with the held reservations, under the lock.
    pub fn with_held<T>(&self, change: impl FnOnce(&mut ReservationTable) -> T) -> T {
        change(
            &mut self
                .held
                .lock()
                .expect("no thread panics while it holds the lock"),
        )
    }
}

/// What identifies and limits one caller's request.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// State of the entry that serves the request.
    pub shared: Arc<EntryShared>,
    /// Id that the entry assigned.
    pub request: RequestId,
    /// Team of the caller, from its bearer key.
    pub team: TeamName,
    /// When the request arrived.
    pub arrived: Instant,
    /// The answer must be complete by this time.
    pub deadline: Instant,
}

impl RequestContext {
    /// Time left until the deadline; zero once it has passed.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.shared.now())
    }

    /// Time since the request arrived.
    pub fn elapsed(&self) -> Duration {
        self.shared.now().saturating_duration_since(self.arrived)
    }

    /// Records a routing decision on this request.
    pub fn log_decision(
        &self,
        decision: &str,
        targets: Vec<TargetName>,
        alternatives: Vec<String>,
        reason: impl Into<String>,
    ) {
        self.shared.decisions.record(RoutingDecision {
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
