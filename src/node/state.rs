//! The state of one node.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot, watch};

use super::body_budget::{BodyBudget, BodyLimits};
use super::connection_budget::{ConnectionBudget, ConnectionLimits, LimitReports};
use super::engine_paces::EnginePaces;
use super::messages::{JobUpdate, ReturningAnswer};
use super::metrics::NodeMetrics;
use super::packed_records::RecordPacker;
use super::placement::no_target;
use super::read_ahead::StreamBuffers;
use super::stopping::StopState;
use crate::clock::TimeSource;
use crate::fleet::catalog::{
    CatalogChange, FleetCatalog, RecordDecoder, TargetRecord, TargetState,
};
use crate::fleet::members::{MemberRecord, MemberTable};
use crate::fleet::settings::NodeSettings;
use crate::fleet::store_outage::{LAPSE_GRACE, StoreOutage};
use crate::http_client::connection::{ConnectionPool, ExchangeError};
use crate::ids::{TargetName, VmName};
use crate::platform::records::TARGET_TOPIC;
use crate::policy::cold_pacing::ColdPacing;
use crate::policy::decision_schedule::DecisionSchedule;
use crate::policy::dispatch::{EngineDispatcher, EngineTarget, JobId};
use crate::policy::part_guard::PartGuard;
use crate::policy::paused_targets::PausedTargets;
use crate::policy::permits::PermitLedger;
use crate::policy::rate_limits::RateLimits;
use crate::policy::request_guard::RequestGuard;
use crate::policy::retry_share::RetryShare;
use crate::policy::run_claims::ClaimLedger;
use crate::policy::slow_readers::ReadAheadLimits;
use crate::policy::target_choice::TargetHealth;
use crate::policy::target_paths::TargetPaths;
use crate::wire::PeerClient;

/// Of responses that are read in full; 64 of 1 MiB at once would delay other requests.
const RESPONSE_BODIES: BodyLimits = BodyLimits {
    body: 256 * 1024,
    total: 24 * 1024 * 1024,
    copies: 1,
};
/// Of the process's memory that the bodies of callers' requests take; the rest is for the process, responses and the sockets' buffers.
pub const REQUEST_BODIES_SHARE: f64 = 0.4;

/// What a node's tasks share; cells suffice, since the tasks run on one thread.
pub struct NodeState {
    /// Settings read at the start.
    pub settings: NodeSettings,
    /// Source of the time, so that tests can set it.
    pub clock: TimeSource,
    /// When the process started.
    pub started_at: Instant,
    /// Routes, targets and failure domains, as the store's records describe them.
    pub catalog: RefCell<FleetCatalog>,
    /// The VMs that this node knows, itself included.
    pub members: RefCell<MemberTable>,
    /// One dispatcher for each service of model engines, by service name.
    pub dispatchers: RefCell<BTreeMap<String, EngineDispatcher>>,
    /// Local requests and peers' calls that wait for this node's decision on their job.
    pub placement_waiters: RefCell<HashMap<JobId, oneshot::Sender<ReturningAnswer>>>,
    /// The last owner of placement that answered that it does not know ranked requests, with its
    /// incarnation.
    pub unranked_owner: RefCell<Option<(VmName, u64)>>,
    /// The last owner of placement that answered that it does not know returning prompts, with its
    /// incarnation.
    pub unpromising_owner: RefCell<Option<(VmName, u64)>>,
    /// When the waiting jobs were last decided on, and whether another call is scheduled.
    pub decision_schedule: RefCell<DecisionSchedule>,
    /// Connections to other nodes, by peer address.
    pub peer_clients: RefCell<HashMap<SocketAddr, Rc<PeerClient>>>,
    /// Idle connections to targets.
    pub connection_pool: RefCell<ConnectionPool>,
    /// Memory for responses that are read in full.
    pub body_budget: Arc<BodyBudget>,
    /// Memory for the bodies of callers' requests, each until its response is complete.
    pub request_budget: Arc<BodyBudget>,
    /// Streams under way, and memory for what is read of them ahead of their callers.
    pub stream_buffers: StreamBuffers,
    /// Connections of callers, and what is held for them.
    pub connections: Rc<ConnectionBudget>,
    /// Load, requests in flight and results of attempts at each target: those of this node, and
    /// failures that peers reported.
    pub target_health: RefCell<HashMap<TargetName, TargetHealth>>,
    /// Parts of prompts on which engines crash: bans and, at the owner of placement, evidence.
    pub part_guard: RefCell<PartGuard>,
    /// Requests under which targets crash: bans and, at the owner of placement, evidence.
    pub request_guard: RefCell<RequestGuard>,
    /// Speed of engines as their streams show it.
    pub engine_paces: RefCell<EnginePaces>,
    /// Targets that asked this VM for a pause.
    pub paused_targets: RefCell<PausedTargets>,
    /// Pace of requests to cold targets of plain services.
    pub cold_pacing: RefCell<ColdPacing>,
    /// Rate limits that targets name in their responses.
    pub rate_limits: RefCell<RateLimits>,
    /// Whether a hub's rate limits differed from this VM's at the last heartbeat.
    pub limits_differ: Cell<bool>,
    /// Permits for the limited targets of plain services.
    pub permit_ledger: RefCell<PermitLedger>,
    /// Claims of requests that run at most once, of this VM and those that it keeps for others.
    pub run_claims: RefCell<ClaimLedger>,
    /// Retry budget of each service.
    pub retry_shares: RefCell<HashMap<String, RetryShare>>,
    /// Whether this node reaches targets.
    pub paths: RefCell<TargetPaths>,
    /// Tells waiting requests whether the paths to targets are lost.
    pub paths_lost: watch::Sender<bool>,
    /// Wakes the task that probes paths.
    pub paths_doubted: Notify,
    /// Crashes reported while the paths were in doubt, sent once they are not.
    pub doubtful_crashes: RefCell<Vec<JobUpdate>>,
    /// Requests that other VMs carry for this one, by VM.
    pub carried: RefCell<HashMap<VmName, usize>>,
    /// Job updates not yet sent to the owner of placement.
    pub pending_updates: RefCell<Vec<JobUpdate>>,
    /// Wakes the task that sends `pending_updates`.
    pub updates_ready: Notify,
    /// Wakes the heartbeat task before its interval is over.
    pub heartbeat_now: Notify,
    /// Updated by the tasks, served by the metrics listener.
    pub metrics: NodeMetrics,
    /// Whether the node stops, and by when it answers all requests then.
    pub stop: StopState,
    /// When the last request of a caller arrived.
    pub last_request_at: Cell<Instant>,
    /// Closes the listener for callers.
    pub close_listener: Notify,
    /// Requests whose response is not completely sent.
    pub in_flight: Cell<usize>,
    /// Whether records are being fetched from a peer.
    pub fetching_records: Cell<bool>,
    /// Since when a peer has shown newer records that were not fetched yet.
    pub behind_since: Cell<Option<Instant>>,
    /// Packs records for peers.
    pub record_packer: RefCell<RecordPacker>,
    /// When each topic that this node follows was last read, by topic.
    pub feed_reads: RefCell<BTreeMap<&'static str, Instant>>,
    /// Outages of the store as the feeds' reads show them.
    pub store_outage: RefCell<StoreOutage>,
    /// Whether reads of the store did not fail repeatedly; told to the other VMs.
    pub store_reachable: Cell<bool>,
    next_job_id: Cell<u64>,
}

impl NodeState {
    /// Creates the state of a node that has no records yet and knows no other VM.
    pub fn new(
        settings: NodeSettings,
        own: MemberRecord,
        decoder: RecordDecoder,
        clock: TimeSource,
        first_job_id: u64,
        paths: TargetPaths,
    ) -> Self {
        let started_at = clock.now();
        let metrics = NodeMetrics::new();
        let reports = LimitReports::new(metrics.connections.clone());
        let limits = ConnectionLimits::new(&settings);
        let connections = ConnectionBudget::new(limits, clock.clone(), Arc::new(reports));
        let request_bodies = BodyLimits {
            // The configuration limits each.
            body: usize::MAX,
            total: (settings.memory_bytes as f64 * REQUEST_BODIES_SHARE) as usize,
            copies: 1,
        };
        let read_ahead = ReadAheadLimits::of_memory(settings.memory_bytes);
        Self {
            settings,
            started_at,
            clock,
            catalog: RefCell::new(FleetCatalog::new(decoder)),
            members: RefCell::new(MemberTable::new(own)),
            dispatchers: RefCell::default(),
            placement_waiters: RefCell::default(),
            unranked_owner: RefCell::default(),
            unpromising_owner: RefCell::default(),
            decision_schedule: RefCell::default(),
            peer_clients: RefCell::default(),
            connection_pool: RefCell::default(),
            body_budget: Arc::new(BodyBudget::new(RESPONSE_BODIES)),
            request_budget: Arc::new(BodyBudget::new(request_bodies)),
            stream_buffers: StreamBuffers::new(read_ahead),
            connections: Rc::new(connections),
            target_health: RefCell::default(),
            part_guard: RefCell::default(),
            request_guard: RefCell::default(),
            engine_paces: RefCell::default(),
            paused_targets: RefCell::default(),
            cold_pacing: RefCell::default(),
            rate_limits: RefCell::default(),
            limits_differ: Cell::new(false),
            permit_ledger: RefCell::default(),
            run_claims: RefCell::default(),
            retry_shares: RefCell::default(),
            paths: RefCell::new(paths),
            paths_lost: watch::channel(false).0,
            paths_doubted: Notify::new(),
            doubtful_crashes: RefCell::default(),
            carried: RefCell::default(),
            pending_updates: RefCell::default(),
            updates_ready: Notify::new(),
            heartbeat_now: Notify::new(),
            metrics,
            stop: StopState::default(),
            last_request_at: Cell::new(started_at),
            close_listener: Notify::new(),
            in_flight: Cell::new(0),
            fetching_records: Cell::new(false),
            behind_since: Cell::new(None),
            record_packer: RefCell::default(),
            feed_reads: RefCell::default(),
            store_outage: RefCell::default(),
            store_reachable: Cell::new(true),
            next_job_id: Cell::new(first_job_id),
        }
    }

    /// Reads the node's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// How long the process has run at `now`.
    pub fn running_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Returns an id for a new job; ids of other VMs and earlier processes differ.
    pub fn new_job_id(&self) -> JobId {
        let id = self.next_job_id.get();
        self.next_job_id.set(id.wrapping_add(1));
        JobId(id)
    }

    /// Returns the client of the node at `address`, shared by all calls to it.
    pub fn peer_client(&self, address: SocketAddr) -> Rc<PeerClient> {
        let mut peers = self.peer_clients.borrow_mut();
        let peer = peers
            .entry(address)
            .or_insert_with(|| Rc::new(PeerClient::new(address.to_string())));
        peer.clone()
    }

    /// Logs changes of the catalog and updates the dispatchers; `source` is their origin, for the
    /// log.
    pub fn handle_catalog_changes(&self, changes: &[CatalogChange], source: &str) {
        for change in changes {
            match change {
                CatalogChange::Routes { version } => {
                    self.metrics.config_version.set(*version as i64);
                    tracing::info!(version, source, "configuration in force");
                    if let Some(table) = self.catalog.borrow().table() {
                        self.connections.set_header_bytes(table.limits.header_bytes);
                    }
                }
                CatalogChange::Domain { domain, in_service } => {
                    tracing::info!(%domain, in_service, source, "failure domain changed");
                }
                CatalogChange::Target { target, state } => {
                    // A new record supersedes failures seen before it; the count of requests in flight
                    // starts again at zero, too.
                    self.target_health.borrow_mut().remove(target);
                    tracing::info!(replica = %target, state, source, "target changed");
                }
                CatalogChange::Unreadable { key, reason } => {
                    tracing::warn!(key, reason, source, "unreadable record ignored");
                }
            }
        }
        if !changes.is_empty() {
            self.refresh_dispatchers();
        }
    }

    /// Sets each dispatcher's engines to those that accept new requests, and removes the
    /// dispatchers of services that are no longer configured.
    pub fn refresh_dispatchers(&self) {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let Some(table) = catalog.table() else {
            return;
        };
        let mut dispatchers = self.dispatchers.borrow_mut();
        dispatchers.retain(|name, dispatcher| {
            let service = table.services.get(name);
            let stays = service.is_some_and(|service| service.engine.is_some());
            if !stays {
                self.refuse_waiting(dispatcher);
            }
            stays
        });
        for service in table.services.values() {
            let Some(spec) = &service.engine else {
                continue;
            };
            let limits = self.rate_limits.borrow();
            let targets: Vec<EngineTarget> = catalog
                .usable_targets(&service.name, now)
                .filter(|target| self.is_healthy(&target.record.name, now))
                .map(|target| engine_target(target, &limits))
                .collect();
            let dispatcher = dispatchers.entry(service.name.clone()).or_insert_with(|| {
                EngineDispatcher::new(spec.clone(), service.cold_requests_per_s)
            });
            dispatcher.set_engines(spec, service.cold_requests_per_s, &targets);
            dispatcher.set_queue_rules(table.queue_rules(&service.name));
        }
    }

    /// Answers the requests that wait at the dispatcher of a service that has no engines any more.
    fn refuse_waiting(&self, dispatcher: &EngineDispatcher) {
        let mut waiters = self.placement_waiters.borrow_mut();
        for job in dispatcher.waiting_jobs() {
            if let Some(waiter) = waiters.remove(&job) {
                // Fails only if the caller has left.
                waiter.send(no_target()).ok();
            }
        }
    }

    /// Whether a target may be sent new work: it is not suspended after failed attempts.
    pub fn is_healthy(&self, target: &TargetName, now: Instant) -> bool {
        self.target_health
            .borrow()
            .get(target)
            .is_none_or(|health| !health.is_suspended(now))
    }

    /// Records that a target's response said that it is shutting down, and tells the owner of
    /// placement.
    pub fn record_target_leaving(&self, target: &TargetRecord) {
        if self.apply_target_leaving(&target.name, target.started_ms, "answer") {
            let update = JobUpdate::TargetLeaving {
                target: target.name.clone(),
                started_ms: target.started_ms,
            };
            self.pending_updates.borrow_mut().push(update);
            self.updates_ready.notify_one();
        }
    }

    /// Takes no new requests to a target that is shutting down; returns whether that is news.
    pub fn apply_target_leaving(&self, name: &TargetName, started_ms: u64, source: &str) -> bool {
        let change = self.catalog.borrow_mut().record_leaving(name, started_ms);
        self.handle_catalog_changes(change.as_slice(), source);
        change.is_some()
    }

    /// Records a failed attempt at a target; if this suspends the target, reports it to the owner
    /// of placement. `refused` means that the connection was refused.
    pub fn record_target_failure(&self, target: &TargetName, refused: bool, reason: &str) {
        let now = self.now();
        let suspension = {
            let mut health = self.target_health.borrow_mut();
            let health = health.entry(target.clone()).or_default();
            health.record_failure(refused, now)
        };
        let Some(suspension) = suspension else {
            return;
        };
        let pause_ms = suspension.as_millis() as u64;
        tracing::info!(replica = %target, reason, pause_ms, "target passed over");
        self.refresh_dispatchers();
        if self.paths.borrow().are_lost() {
            return;
        }
        let update = JobUpdate::TargetFailed {
            target: target.clone(),
            refused,
        };
        self.pending_updates.borrow_mut().push(update);
        self.updates_ready.notify_one();
    }

    /// Records an exchange that failed after or before the request was sent, as a failed attempt.
    pub fn record_exchange_failure(&self, target: &TargetName, error: &ExchangeError) {
        if error.is_path_failure() {
            self.record_path_failure(target);
        }
        if let Some(part) = error.oversized_part() {
            self.metrics.count_oversized_response(part);
        }
        self.record_target_failure(target, error.is_refused(), &error.to_string());
    }

    /// Records that `vm` reported a failed attempt at a target.
    pub fn record_peer_reported_failure(&self, target: &TargetName, refused: bool, vm: &VmName) {
        let now = self.now();
        if self.members.borrow().has_lost_targets(vm, now) {
            return;
        }
        let suspension = {
            let mut health = self.target_health.borrow_mut();
            let health = health.entry(target.clone()).or_default();
            health.record_reported_failure(refused, vm, now)
        };
        if let Some(suspension) = suspension {
            let pause_ms = suspension.as_millis() as u64;
            tracing::info!(replica = %target, pause_ms, peer = %vm, "target passed over after a peer's report");
            self.refresh_dispatchers();
        }
    }

    /// Ends the suspensions that VMs reported which have lost their paths since.
    pub fn withdraw_reports(&self) {
        let now = self.now();
        let members = self.members.borrow();
        let mut withdrawn = 0;
        for member in members.live(now) {
            if member.reaches_targets {
                continue;
            }
            for health in self.target_health.borrow_mut().values_mut() {
                withdrawn += usize::from(health.withdraw_report(&member.vm, now));
            }
        }
        if withdrawn > 0 {
            tracing::info!(
                withdrawn,
                "targets are used again: the VMs that reported them have lost their paths"
            );
        }
    }

    /// Records that a target did not answer on the path from this VM.
    pub fn record_path_failure(&self, target: &TargetName) {
        let known = self.targets_by_service().iter().map(Vec::len).sum();
        let mut paths = self.paths.borrow_mut();
        paths.record_failure(target, known, self.now());
        if paths.are_doubtful() {
            self.paths_doubted.notify_one();
        }
    }

    /// Names of the targets that take requests, by service.
    pub fn targets_by_service(&self) -> Vec<Vec<TargetName>> {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let Some(table) = catalog.table() else {
            return Vec::new();
        };
        let names = |service: &String| {
            let targets = catalog.usable_targets(service, now);
            targets.map(|target| target.record.name.clone()).collect()
        };
        table.services.keys().map(names).collect()
    }

    /// Names of the targets that are suspended or asked for a pause, sorted.
    pub fn avoided_targets(&self) -> Vec<TargetName> {
        let now = self.now();
        let health = self.target_health.borrow();
        let paused = self.paused_targets.borrow();
        let suspended = health
            .iter()
            .filter(|(_, health)| health.is_suspended(now))
            .map(|(name, _)| name);
        let mut names: Vec<TargetName> = suspended.chain(paused.names(now)).cloned().collect();
        names.sort();
        names.dedup();
        names
    }

    /// Records that a target refused a request and asked this VM for a pause.
    pub fn record_pause(&self, target: &TargetRecord, pause: Duration) {
        if pause.is_zero() {
            return;
        }
        tracing::info!(replica = %target.name, pause_ms = pause.as_millis() as u64, "target asked for a pause");
        self.metrics.pauses.inc();
        self.paused_targets.borrow_mut().record(
            &target.name,
            target.started_ms,
            pause,
            rand::random(),
            self.now(),
        );
    }

    /// Whether a target's pause lasts.
    pub fn is_paused(&self, target: &TargetRecord) -> bool {
        let paused = self.paused_targets.borrow();
        paused.is_paused(&target.name, target.started_ms, self.now())
    }

    /// Time until the first target of `service` may be sent requests again; `None` unless all of
    /// them are paused.
    pub fn service_pause(&self, service: &str) -> Option<Duration> {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let mut targets = catalog.usable_targets(service, now).peekable();
        targets.peek()?;
        if targets.any(|target| !self.is_paused(&target.record)) {
            return None;
        }
        let names = catalog
            .usable_targets(service, now)
            .map(|target| &target.record.name);
        self.paused_targets.borrow().first_end(names, now)
    }

    /// Records that a target served a request.
    pub fn record_target_success(&self, target: &TargetName) {
        if let Some(health) = self.target_health.borrow_mut().get_mut(target) {
            health.record_success();
        }
    }

    /// Takes one retry from the budget of `service`; false if none is left.
    pub fn try_take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let live = self.members.borrow().live(now).len();
        let mut shares = self.retry_shares.borrow_mut();
        let share = shares
            .entry(service.to_owned())
            .or_insert_with(|| RetryShare::new(&self.settings.bounds));
        let allowed = share.try_take(live, now);
        if allowed {
            self.metrics.retries.inc();
        } else {
            self.metrics.retries_withheld.inc();
        }
        allowed
    }

    /// Counts a caller's request for `service`, which adds to its retry budget.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        self.retry_shares
            .borrow_mut()
            .entry(service.to_owned())
            .or_insert_with(|| RetryShare::new(&self.settings.bounds))
            .count_request(now);
    }

    /// Until when targets stay usable that a peer read to have lapsed; `None` while this VM reads
    /// the targets' records well itself, and knows of no outage.
    pub fn retain_until_by_peer(&self, now: Instant) -> Option<Instant> {
        let reads_well = self.feed_reads.borrow().contains_key(TARGET_TOPIC)
            && self.store_outage.borrow().retain_until(now).is_none();
        (!reads_well).then(|| now + LAPSE_GRACE)
    }
}

fn engine_target(target: &TargetState, limits: &RateLimits) -> EngineTarget {
    let record = &target.record;
    EngineTarget {
        name: record.name.clone(),
        domain: record.domain.clone(),
        cold_until: Some(target.cold_until),
        requests_per_s: limits.rate_of(&record.name, record.started_ms),
    }
}
