//! What one node holds, shared by its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot};

use super::connection::ConnectionPool;
use super::messages::JobEvent;
use super::metrics::NodeMetrics;
use crate::clock::TimeSource;
use crate::fleet::catalog::{CatalogChange, FleetCatalog, RecordDecoder, TargetState};
use crate::fleet::members::{MemberRecord, MemberTable};
use crate::fleet::settings::NodeSettings;
use crate::ids::TargetName;
use crate::policy::dispatch::{DispatchAnswer, EngineDispatcher, EngineTarget, JobId};
use crate::policy::retry_share::RetryShare;
use crate::policy::target_choice::TargetHealth;
use crate::wire::PeerClient;

/// A node's state.
pub struct NodeState {
    /// Settings.
    pub settings: NodeSettings,
    /// The clock.
    pub clock: TimeSource,
    /// When the process started_at.
    pub started_at: Instant,
    /// Routes and targets.
    pub catalog: RefCell<FleetCatalog>,
    /// The other VMs.
    pub members: RefCell<MemberTable>,
    /// Engines of each service.
    pub dispatchers: RefCell<BTreeMap<String, EngineDispatcher>>,
    /// Local requests and peers' calls that wait for an engine.
    pub placement_waiters: RefCell<HashMap<JobId, oneshot::Sender<DispatchAnswer>>>,
    /// Connections to peers.
    pub peer_clients: RefCell<HashMap<SocketAddr, Rc<PeerClient>>>,
    /// Idle connections to targets.
    pub connection_pool: RefCell<ConnectionPool>,
    /// What this node saw of targets itself.
    pub target_health: RefCell<HashMap<TargetName, TargetHealth>>,
    /// Retries of each service.
    pub retry_budgets: RefCell<HashMap<String, RetryShare>>,
    /// Events for the owner of placement.
    pub pending_events: RefCell<Vec<JobEvent>>,
    /// Wakes the sender of events.
    pub events_ready: Notify,
    /// Wakes the heartbeat.
    pub heartbeat_now: Notify,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Whether the node is stopping.
    pub stopping: Cell<bool>,
    /// Whether the node takes no further requests, shortly before its end.
    pub rejecting_requests: Cell<bool>,
    /// Ends the listener for callers.
    pub close_listener: Notify,
    /// Requests under way.
    pub in_flight: Cell<usize>,
    /// Whether records are being fetched from a peer.
    pub fetching_records: Cell<bool>,
    /// When the store last answered again after failures.
    pub store_recovered_at: Cell<Option<Instant>>,
    /// Whether the store does not answer.
    pub store_unavailable: Cell<bool>,
    next_job_id: Cell<u64>,
}

impl NodeState {
    /// The state of a node that has heard nothing yet.
    pub fn new(
        settings: NodeSettings,
        own: MemberRecord,
        decoder: RecordDecoder,
        clock: TimeSource,
        first_job_id: u64,
    ) -> Self {
        Self {
            settings,
            started_at: clock.now(),
            clock,
            catalog: RefCell::new(FleetCatalog::new(decoder)),
            members: RefCell::new(MemberTable::new(own)),
            dispatchers: RefCell::default(),
            placement_waiters: RefCell::default(),
            peer_clients: RefCell::default(),
            connection_pool: RefCell::default(),
            target_health: RefCell::default(),
            retry_budgets: RefCell::default(),
            pending_events: RefCell::default(),
            events_ready: Notify::new(),
            heartbeat_now: Notify::new(),
            metrics: NodeMetrics::new(),
            stopping: Cell::new(false),
            rejecting_requests: Cell::new(false),
            close_listener: Notify::new(),
            in_flight: Cell::new(0),
            fetching_records: Cell::new(false),
            store_recovered_at: Cell::new(None),
            store_unavailable: Cell::new(false),
            next_job_id: Cell::new(first_job_id),
        }
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// An id for a new request, unlike those of other VMs and lifetimes.
    pub fn new_job_id(&self) -> JobId {
        let id = self.next_job_id.get();
        self.next_job_id.set(id.wrapping_add(1));
        JobId(id)
    }

    /// The connection to a peer.
    pub fn peer_client(&self, address: SocketAddr) -> Rc<PeerClient> {
        let mut peers = self.peer_clients.borrow_mut();
        let peer = peers
            .entry(address)
            .or_insert_with(|| Rc::new(PeerClient::new(address.to_string())));
        peer.clone()
    }

    /// Logs changes of the catalog and brings the dispatchers up to date.
    pub fn handle_catalog_changes(&self, changes: &[CatalogChange], source: &str) {
        for change in changes {
            match change {
                CatalogChange::Routes { version } => {
                    self.metrics.config_version.set(*version as i64);
                    tracing::info!(version, source, "configuration in force");
                }
                CatalogChange::Domain { domain, in_service } => {
                    tracing::info!(%domain, in_service, source, "failure domain changed");
                }
                CatalogChange::Target { target, state } => {
                    // A new record tells more than failures of before.
                    self.target_health.borrow_mut().remove(target);
                    tracing::info!(replica = %target, state, source, "target changed");
                }
                CatalogChange::Unreadable { key, reason } => {
                    tracing::warn!(key, reason, source, "record passed over");
                }
            }
        }
        if !changes.is_empty() {
            self.refresh_dispatchers();
        }
    }

    /// Tells each dispatcher which engines take work.
    pub fn refresh_dispatchers(&self) {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let Some(table) = catalog.table() else {
            return;
        };
        let mut dispatchers = self.dispatchers.borrow_mut();
        dispatchers.retain(|name, _| table.services.contains_key(name));
        for service in table.services.values() {
            let Some(spec) = &service.engine else {
                continue;
            };
            let targets: Vec<EngineTarget> = catalog
                .usable_targets(&service.name, now)
                .filter(|target| self.is_healthy(&target.record.name, now))
                .map(engine_target)
                .collect();
            dispatchers
                .entry(service.name.clone())
                .or_insert_with(|| EngineDispatcher::new(spec.clone(), service.cold_per_s))
                .set_engines(spec, service.cold_per_s, &targets);
        }
    }

    /// Whether this node's own sends say nothing against a target.
    pub fn is_healthy(&self, target: &TargetName, now: Instant) -> bool {
        self.target_health
            .borrow()
            .get(target)
            .is_none_or(|health| !health.is_suspended(now))
    }

    /// Notes a failed send to a target, and tells the owner of placement.
    pub fn record_target_failure(&self, target: &TargetName, refused: bool, reason: &str) {
        let now = self.now();
        let pause = {
            let mut health = self.target_health.borrow_mut();
            let health = health.entry(target.clone()).or_default();
            health.note_failure(refused, now)
        };
        let Some(pause) = pause else {
            return;
        };
        let pause_ms = pause.as_millis() as u64;
        tracing::info!(replica = %target, reason, pause_ms, "target passed over");
        let event = JobEvent::TargetFailed {
            target: target.clone(),
            refused,
        };
        self.pending_events.borrow_mut().push(event);
        self.events_ready.notify_one();
        self.refresh_dispatchers();
    }

    /// Notes that another VM's send to a target failed.
    pub fn record_peer_reported_failure(&self, target: &TargetName, refused: bool) {
        let now = self.now();
        let pause = {
            let mut health = self.target_health.borrow_mut();
            let health = health.entry(target.clone()).or_default();
            health.note_reported_failure(refused, now)
        };
        if let Some(pause) = pause {
            let pause_ms = pause.as_millis() as u64;
            tracing::info!(replica = %target, pause_ms, "target passed over after a peer's report");
            self.refresh_dispatchers();
        }
    }

    /// Targets that this node passes over now.
    pub fn suspended_targets(&self) -> Vec<TargetName> {
        let now = self.now();
        let health = self.target_health.borrow();
        let mut names: Vec<TargetName> = health
            .iter()
            .filter(|(_, health)| health.is_suspended(now))
            .map(|(name, _)| name.clone())
            .collect();
        names.sort();
        names
    }

    /// Notes an answer of a target.
    pub fn record_target_success(&self, target: &TargetName) {
        if let Some(health) = self.target_health.borrow_mut().get_mut(target) {
            health.note_success();
        }
    }

    /// Whether a request for `service` may be sent once more, and counts it if so.
    pub fn try_spend_retry(&self, service: &str) -> bool {
        let now = self.now();
        let live = self.members.borrow().live(now).len();
        let mut retries = self.retry_budgets.borrow_mut();
        let share = retries
            .entry(service.to_owned())
            .or_insert_with(|| RetryShare::new(&self.settings.bounds));
        let allowed = share.take(live, now);
        if allowed {
            self.metrics.retries.inc();
        } else {
            self.metrics.retries_withheld.inc();
        }
        allowed
    }

    /// Counts a request for `service`.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        self.retry_budgets
            .borrow_mut()
            .entry(service.to_owned())
            .or_insert_with(|| RetryShare::new(&self.settings.bounds))
            .count_request(now);
    }

    /// How long removed targets' records may lapse: while the store is away, and a moment
    /// after its return.
    pub fn keep_removed_until(&self, now: Instant, grace: Duration) -> Option<Instant> {
        if self.store_unavailable.get() {
            return Some(now + grace);
        }
        self.store_recovered_at
            .get()
            .map(|at| at + grace)
            .filter(|until| now < *until)
    }
}

fn engine_target(target: &TargetState) -> EngineTarget {
    EngineTarget {
        name: target.record.name.clone(),
        domain: target.record.domain.clone(),
        cold_until: Some(target.cold_until),
    }
}
