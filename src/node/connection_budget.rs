//! Connections of callers, and the memory that is held for them, within bounds of the VM.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::Notify;

use super::request_framing::{BodyFraming, RequestScanner};
use crate::clock::TimeSource;
use crate::fleet::settings::NodeSettings;
use crate::policy::caller_admission::{CallerActivity, ConnectionView, choose_closed};

/// Of the VM's descriptors; a request also takes one to its target, and some are for files and peers.
const CALLERS_DESCRIPTOR_SHARE: f64 = 0.25;
const CLOSING_SHARE: usize = 8; // one in so many connections may be closed while its socket is still open
const OTHERS_DESCRIPTOR_SHARE: f64 = 0.1; // the directory, readiness and metrics listeners together
const MEMORY_SHARE: f64 = 0.15; // of the VM's memory; bodies beyond 16 KiB have a budget of their own
/// Of one connection without a request: the HTTP server's two buffers of 8 KiB, and its state.
const CONNECTION_BYTES: usize = 24 * 1024;
const HEAD_COPIES: usize = 2; // a head is held as received and decoded
const COUNTED_BODY_BYTES: usize = 16 * 1024; // of a body, which the budget of bodies does not count
/// Of the configuration in most deployments; holds until the first is known.
const DEFAULT_HEADER_BYTES: usize = 16_384;
/// For a request's head; the HTTP server's own limit for the first one is 6 s.
const MAX_HEAD_TIME: Duration = Duration::from_secs(7);
/// For a response that is not taken; ordinary callers pause for 5 s.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(30);
const MAX_DRAIN_TIME: Duration = Duration::from_secs(2); // for the rest of a body that was refused
const LOG_INTERVAL: Duration = Duration::from_secs(10); // between log lines about one limit

/// The kind of listener that a connection came to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ListenerKind {
    /// For callers' requests.
    Callers,
    /// The directory, readiness or metrics.
    Other,
}

/// A limit that a connection reached, as logs and metrics name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitCause {
    /// More connections than the VM's descriptors or memory allow.
    Connections,
    /// More memory held for callers than its share.
    Memory,
    /// A head over `max_header_bytes`.
    HeadBytes,
    /// A head that is not complete in time.
    HeadTime,
    /// A response that is not taken in time.
    Unread,
    /// A body that goes on after it was refused.
    RefusedBody,
    /// Requests sent ahead of the response to the one before.
    Pipelined,
    /// More connections of peers than their share of the VM's descriptors.
    PeerConnections,
    /// A peer's call, or all that are not complete, over the bytes allowed for them.
    PeerCallBytes,
    /// Bodies of requests that take more memory than their share.
    BodyMemory,
}

impl LimitCause {
    fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::HeadBytes => "head_bytes",
            Self::HeadTime => "head_time",
            Self::Unread => "unread",
            Self::RefusedBody => "refused_body",
            Self::Pipelined => "pipelined",
            Self::PeerConnections => "peer_connections",
            Self::PeerCallBytes => "peer_call_bytes",
            Self::BodyMemory => "body_memory",
        }
    }
}

/// Label of the counter of limits that callers reached.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitLabel {
    /// The limit.
    pub limit: &'static str,
}

/// Metrics of callers' connections.
#[derive(Debug, Clone, Default)]
pub struct ConnectionMetrics {
    /// How often connections reached a limit, by limit.
    pub limits_reached: Family<LimitLabel, Counter>,
    /// Connections open at the listeners for callers, the directory, readiness and metrics.
    pub open: Gauge,
    /// Bytes counted as held for them.
    pub held_bytes: Gauge,
}

/// Bounds of a [`ConnectionBudget`].
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections to the directory, readiness and metrics listeners together.
    pub others: usize,
    /// Bytes held for all of them.
    pub bytes: usize,
}

impl ConnectionLimits {
    /// The bounds of one of `threads` that serve callers, of which each has an equal part.
    pub fn of_thread(connections: usize, memory_bytes: usize, threads: usize) -> Self {
        let bytes = (memory_bytes as f64 * MEMORY_SHARE) as usize / threads;
        Self {
            callers: (connections / threads).min(bytes / CONNECTION_BYTES).max(1),
            others: 0,
            bytes,
        }
    }

    /// Sockets of callers' connections that may be open: those that are closed or refused take a moment.
    pub fn caller_sockets(&self) -> usize {
        with_closing(self.callers) + 1
    }

    /// The bounds of a VM with these settings.
    pub fn new(settings: &NodeSettings) -> Self {
        let bytes = (settings.memory_bytes as f64 * MEMORY_SHARE) as usize;
        let of_descriptors = |share: f64| (settings.max_descriptors as f64 * share) as usize;
        let others = of_descriptors(OTHERS_DESCRIPTOR_SHARE).max(1);
        let of_memory = bytes / CONNECTION_BYTES;
        Self {
            callers: of_descriptors(CALLERS_DESCRIPTOR_SHARE)
                .min(of_memory)
                .max(1),
            others: others.min(of_memory).max(1),
            bytes,
        }
    }
}

fn with_closing(connections: usize) -> usize {
    connections + connections / CLOSING_SHARE
}

#[derive(Debug, Default)]
struct LimitLog {
    logged_at: Option<Instant>,
    count: u64,
}

/// Counts and logs the limits that callers reach; shared by all threads of a process.
#[derive(Debug)]
pub struct LimitReports {
    metrics: ConnectionMetrics,
    logs: Mutex<BTreeMap<LimitCause, LimitLog>>,
}

impl LimitReports {
    /// Reports to these metrics; nothing is logged yet.
    pub fn new(metrics: ConnectionMetrics) -> Self {
        Self {
            metrics,
            logs: Mutex::default(),
        }
    }

    /// Counts that a caller reached a limit, and logs it at most every 10 s.
    pub fn report(&self, cause: LimitCause, caller: Option<SocketAddr>, now: Instant) {
        let limit = cause.name();
        self.metrics
            .limits_reached
            .get_or_create(&LimitLabel { limit })
            .inc();
        let mut logs = self
            .logs
            .lock()
            .expect("no thread panics while it holds the lock");
        let log = logs.entry(cause).or_default();
        log.count += 1;
        let is_due = log
            .logged_at
            .is_none_or(|logged_at| now.saturating_duration_since(logged_at) >= LOG_INTERVAL);
        if is_due {
            tracing::warn!(
                limit,
                caller = caller.map(tracing::field::display),
                count = log.count,
                connections = self.metrics.open.get(),
                held_bytes = self.metrics.held_bytes.get(),
                "caller reached a limit"
            );
            log.count = 0;
            log.logged_at = Some(now);
        }
    }
}

/// The connections of callers that one thread serves, and what is held for them.
///
/// A process with several threads has one for each, with an equal part of the limits, so that a read or a
/// write takes no lock.
#[derive(Debug)]
pub struct ConnectionBudget {
    limits: ConnectionLimits,
    clock: TimeSource,
    reports: Arc<LimitReports>,
    header_bytes: Cell<usize>,
    used_bytes: Cell<usize>,
    next_id: Cell<u64>,
    /// Sockets that are open, by kind of listener, those of closed connections included.
    open_sockets: [Cell<usize>; 2],
    connections: RefCell<BTreeMap<u64, Rc<CallerConnection>>>,
}

impl ConnectionBudget {
    /// Creates a budget without connections.
    pub fn new(limits: ConnectionLimits, clock: TimeSource, reports: Arc<LimitReports>) -> Self {
        Self {
            limits,
            clock,
            reports,
            header_bytes: Cell::new(DEFAULT_HEADER_BYTES),
            used_bytes: Cell::new(0),
            next_id: Cell::new(0),
            open_sockets: Default::default(),
            connections: RefCell::default(),
        }
    }

    /// Sets the largest head of a request, in bytes.
    pub fn set_header_bytes(&self, header_bytes: usize) {
        self.header_bytes.set(header_bytes);
    }

    /// Takes a connection in, if need be in place of a slow or idle one; `None` if it must be refused.
    pub fn admit(
        self: &Rc<Self>,
        kind: ListenerKind,
        peer: SocketAddr,
    ) -> Option<Rc<CallerConnection>> {
        let limit = match kind {
            ListenerKind::Callers => self.limits.callers,
            ListenerKind::Other => self.limits.others,
        };
        let is_kind = |connection: &&Rc<CallerConnection>| connection.kind == kind;
        let count = self.connections.borrow().values().filter(is_kind).count();
        if count >= limit {
            self.report(LimitCause::Connections, peer);
            if !self.close_one(|connection| connection.kind == kind) {
                return None;
            }
        }
        let open_sockets = &self.open_sockets[kind as usize];
        if open_sockets.get() > with_closing(limit) {
            return None;
        }
        if self.used_bytes.get() + CONNECTION_BYTES > self.limits.bytes {
            self.report(LimitCause::Memory, peer);
            if !self.close_one(|_| true) {
                return None;
            }
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(CallerConnection::new(id, kind, peer, self.clone()));
        connection.count_held();
        open_sockets.set(open_sockets.get() + 1);
        self.connections.borrow_mut().insert(id, connection.clone());
        self.reports.metrics.open.inc();
        Some(connection)
    }

    /// Closes connections whose caller takes longer than any caller inside the limits.
    pub fn close_overdue(&self) {
        let now = self.clock.now();
        let overdue: Vec<(Rc<CallerConnection>, LimitCause)> = self
            .connections
            .borrow()
            .values()
            .filter_map(|connection| Some((connection.clone(), connection.overdue(now)?)))
            .collect();
        for (connection, cause) in overdue {
            self.report(cause, connection.peer);
            connection.close();
        }
    }

    /// Closes the connection that gives way first among those that `may_close` admits; false if none does.
    fn close_one(&self, may_close: impl Fn(&CallerConnection) -> bool) -> bool {
        let connections = self.connections.borrow();
        let views = connections
            .values()
            .filter(|connection| may_close(connection))
            .map(|connection| connection.view());
        let chosen = choose_closed(views, self.clock.now());
        let chosen = chosen.and_then(|id| connections.get(&id).cloned());
        drop(connections);
        let Some(chosen) = chosen else {
            return false;
        };
        chosen.close();
        true
    }

    /// Reports that a connection reached a limit.
    pub fn report(&self, cause: LimitCause, peer: SocketAddr) {
        self.reports.report(cause, Some(peer), self.clock.now());
    }

    fn replace_held(&self, before: usize, after: usize) {
        let used = self.used_bytes.get() - before + after;
        self.used_bytes.set(used);
        let held_bytes = &self.reports.metrics.held_bytes;
        held_bytes.inc_by(after as i64 - before as i64);
    }

    fn remove(&self, id: u64) {
        let removed = self.connections.borrow_mut().remove(&id);
        if let Some(connection) = removed {
            self.replace_held(connection.held_bytes.take(), 0);
            self.reports.metrics.open.dec();
        }
    }
}

/// How far the response to a connection's request is.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ResponseProgress {
    /// There is no request, or its response is handed to the socket.
    None,
    /// The request is served.
    Served,
    /// The response is encoded, but the socket has not taken all of it.
    Encoded,
}

/// One connection of a caller: how far its request and response are, and what is held for it.
#[derive(Debug)]
pub struct CallerConnection {
    id: u64,
    kind: ListenerKind,
    peer: SocketAddr,
    budget: Rc<ConnectionBudget>,
    scanner: Cell<RequestScanner>,
    response: Cell<ResponseProgress>,
    has_served: Cell<bool>,
    was_pipelined: Cell<bool>,
    unsent_bytes: Cell<usize>,
    held_bytes: Cell<usize>,
    /// Whether it is closed; what it holds until its task ends is not counted.
    is_removed: Cell<bool>,
    /// Start of the head, last byte of the body, or end of the last response.
    changed_at: Cell<Instant>,
    unread_since: Cell<Option<Instant>>,
    /// When the response was sent before the body had arrived.
    refused_since: Cell<Option<Instant>>,
    closed: Notify,
}

impl CallerConnection {
    fn new(id: u64, kind: ListenerKind, peer: SocketAddr, budget: Rc<ConnectionBudget>) -> Self {
        let now = budget.clock.now();
        Self {
            id,
            kind,
            peer,
            budget,
            scanner: Cell::new(RequestScanner::new()),
            response: Cell::new(ResponseProgress::None),
            has_served: Cell::new(false),
            was_pipelined: Cell::new(false),
            unsent_bytes: Cell::new(0),
            held_bytes: Cell::new(0),
            is_removed: Cell::new(false),
            changed_at: Cell::new(now),
            unread_since: Cell::new(None),
            refused_since: Cell::new(None),
            closed: Notify::new(),
        }
    }

    /// Completes when the connection is to be closed at once.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Gives back what the connection holds, once its socket is closed.
    pub fn release(&self) {
        let open_sockets = &self.budget.open_sockets[self.kind as usize];
        open_sockets.set(open_sockets.get() - 1);
        self.remove();
    }

    fn close(&self) {
        self.closed.notify_one();
        self.remove();
    }

    fn remove(&self) {
        self.is_removed.set(true);
        self.budget.remove(self.id);
    }

    /// How far the current request is received.
    pub fn scanner(&self) -> RequestScanner {
        self.scanner.get()
    }

    /// Largest head of a request, in bytes.
    pub fn header_bytes(&self) -> usize {
        self.budget.header_bytes.get()
    }

    /// Records that the server has read bytes of the current request, which `scanner` has passed.
    pub fn record_read(&self, scanner: RequestScanner) {
        let before = self.scanner.get();
        self.scanner.set(scanner);
        if !before.is_in_head() || before.head_bytes() == 0 {
            self.changed_at.set(self.budget.clock.now());
        }
        self.count_held();
        self.free_memory();
        self.complete_exchange();
    }

    /// Records that the server has decoded a head, and how long the body after it is.
    pub fn begin_request(&self, framing: BodyFraming) {
        let mut scanner = self.scanner.get();
        scanner.begin_body(framing);
        self.scanner.set(scanner);
        self.response.set(ResponseProgress::Served);
    }

    /// Adds bytes of a response that the server encodes.
    pub fn add_unsent(&self, bytes: usize) {
        self.unsent_bytes.set(self.unsent_bytes.get() + bytes);
        self.count_held();
        self.free_memory();
    }

    /// Records that the response is completely encoded.
    pub fn end_response(&self) {
        self.response.set(ResponseProgress::Encoded);
    }

    /// Records that the socket took `bytes`, or none.
    pub fn record_written(&self, bytes: Option<usize>) {
        match bytes {
            Some(bytes) => {
                let unsent = self.unsent_bytes.get().saturating_sub(bytes);
                self.unsent_bytes.set(unsent);
                self.unread_since.set(None);
                self.count_held();
            }
            None if self.unread_since.get().is_none() => {
                self.unread_since.set(Some(self.budget.clock.now()));
            }
            None => {}
        }
    }

    /// Records that the socket took all that was encoded; returns whether the next request may be read.
    pub fn record_flushed(&self) -> bool {
        self.unread_since.set(None);
        if self.response.get() != ResponseProgress::Encoded {
            return false;
        }
        self.response.set(ResponseProgress::None);
        self.has_served.set(true);
        self.unsent_bytes.set(0);
        let now = self.budget.clock.now();
        self.changed_at.set(now);
        let is_complete = self.complete_exchange();
        if !is_complete {
            self.refused_since.set(Some(now));
        }
        is_complete
    }

    /// Begins the next request once this one is received and its response sent.
    fn complete_exchange(&self) -> bool {
        let is_complete =
            self.scanner.get().is_complete() && self.response.get() == ResponseProgress::None;
        if is_complete {
            self.scanner.set(RequestScanner::new());
            self.refused_since.set(None);
            self.count_held();
        }
        is_complete
    }

    /// Records that the caller sent a request before it had the response to the last one.
    pub fn report_pipelined(&self) {
        if !self.was_pipelined.replace(true) {
            self.budget.report(LimitCause::Pipelined, self.peer);
        }
    }

    /// Records that the head is over the limit.
    pub fn report_long_head(&self) {
        self.budget.report(LimitCause::HeadBytes, self.peer);
    }

    /// Records the bytes that are held for the caller now.
    fn count_held(&self) {
        if self.is_removed.get() {
            return;
        }
        let scanner = self.scanner.get();
        let body_bytes = scanner.body_bytes().min(COUNTED_BODY_BYTES);
        let head_bytes = HEAD_COPIES * scanner.head_bytes();
        let held = CONNECTION_BYTES + head_bytes + body_bytes + self.unsent_bytes.get();
        let before = self.held_bytes.replace(held);
        self.budget.replace_held(before, held);
    }

    /// Closes connections while more is held than the budget allows; at last this one, unless it is
    /// served.
    fn free_memory(&self) {
        let budget = &self.budget;
        while budget.used_bytes.get() > budget.limits.bytes {
            budget.report(LimitCause::Memory, self.peer);
            if !budget.close_one(|_| true) {
                if self.view().activity != CallerActivity::Served {
                    self.close();
                }
                return;
            }
        }
    }

    fn view(&self) -> ConnectionView {
        let scanner = self.scanner.get();
        let (activity, since) = if let Some(since) = self.unread_since.get() {
            (CallerActivity::NotReading, since)
        } else if scanner.is_in_head() && scanner.head_bytes() == 0 && self.has_served.get() {
            (CallerActivity::Idle, self.changed_at.get())
        } else if scanner.is_in_head() {
            (CallerActivity::SendingHead, self.changed_at.get())
        } else if scanner.is_in_body() {
            (CallerActivity::SendingBody, self.changed_at.get())
        } else {
            (CallerActivity::Served, self.changed_at.get())
        };
        ConnectionView {
            id: self.id,
            activity,
            since,
        }
    }

    fn overdue(&self, now: Instant) -> Option<LimitCause> {
        let waited = |since: Instant| now.saturating_duration_since(since);
        let is_refused = |since| waited(since) > MAX_DRAIN_TIME;
        if self.refused_since.get().is_some_and(is_refused) {
            return Some(LimitCause::RefusedBody);
        }
        let view = self.view();
        match view.activity {
            CallerActivity::SendingHead if waited(view.since) > MAX_HEAD_TIME => {
                Some(LimitCause::HeadTime)
            }
            CallerActivity::NotReading if waited(view.since) > MAX_UNREAD_TIME => {
                Some(LimitCause::Unread)
            }
            _ => None,
        }
    }
}
