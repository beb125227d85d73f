//! Starts a node's listeners and background tasks, and shuts them down on a signal.

use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use eyre::{Context, Result};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::connection_budget::ListenerKind;
use super::listeners::{
    close_overdue_loop, directory_response, is_ready, metrics_response, readiness_response,
    serve_http,
};
use super::state::NodeState;
use super::{
    engine_paces, feeds, listeners, paths, peer_calls, peers, placement, request_handler,
    return_promises,
};
use crate::clock::TimeSource;
use crate::fleet::catalog::RecordDecoder;
use crate::fleet::members::{MemberRecord, OwnState};
use crate::fleet::settings::NodeSettings;
use crate::platform::records::{decode_routes, decode_target, operator_record_kind};
use crate::platform::store::StoreClient;
use crate::policy::target_paths::TargetPaths;

const DROPPED_LINES_INTERVAL: Duration = Duration::from_secs(1); // collectors scrape the metrics every few seconds
const OWN_RECORD_INTERVAL: Duration = Duration::from_millis(50);
const STOP_MARGIN: Duration = Duration::from_millis(400); // the process must exit before the platform kills it
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_500); // callers cache the directory's response for 2 s
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const RESPONSE_TIME: Duration = Duration::from_millis(200); // from the decision on a response to its last byte
const QUIET_TIME: Duration = Duration::from_secs(1); // callers that keep a connection use it again after less
const JOB_ID_COUNTER_BITS: u32 = 24; // low bits of a job id, free for the counter

/// Runs a node until it receives SIGTERM or SIGINT. SIGHUP only checks that the
/// settings can be read; changes take effect at the next start.
///
/// `dropped_lines` returns how many log lines the bounded writer has dropped so far.
///
/// # Errors
///
/// Fails when a signal handler cannot be installed, an address cannot be bound or a chart is invalid.
pub async fn run(
    settings: NodeSettings,
    metrics: SocketAddr,
    clock: TimeSource,
    dropped_lines: impl Fn() -> usize + 'static,
) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let node = Rc::new(initial_state(settings, clock)?);
    let store = StoreClient::new(&node.settings.store, node.clock.clone());
    actix_rt::spawn(feeds::follow_operators(node.clone(), store.clone()));
    actix_rt::spawn(feeds::follow_targets(node.clone(), store.clone()));
    listen(&node, metrics).await?;
    actix_rt::spawn(feeds::member_loop(node.clone(), store));
    actix_rt::spawn(feeds::maintenance_loop(node.clone()));
    actix_rt::spawn(peers::heartbeat_loop(node.clone()));
    actix_rt::spawn(placement::decide_loop(node.clone()));
    actix_rt::spawn(placement::send_updates_loop(node.clone()));
    actix_rt::spawn(placement::report_jobs_loop(node.clone()));
    actix_rt::spawn(engine_paces::report_loop(node.clone()));
    actix_rt::spawn(return_promises::share_loop(node.clone()));
    actix_rt::spawn(own_record_loop(node.clone()));
    actix_rt::spawn(paths::watch_paths(node.clone()));
    actix_rt::spawn(peer_calls::log_traffic(node.clone()));
    actix_rt::spawn(report_dropped_lines(node.clone(), dropped_lines));
    tracing::info!(
        version = env!("CARGO_PKG_VERSION"),
        settings = ?node.settings,
        %metrics,
        "node started"
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => check_settings(&node),
        }
    }
    shut_down(&node).await;
    Ok(())
}

fn initial_state(settings: NodeSettings, clock: TimeSource) -> Result<NodeState> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = since_epoch.as_millis() as u64;
    let own = MemberRecord {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        peer_address: settings.addresses.peers,
        caller_address: settings.addresses.callers,
        incarnation,
        revision: 0,
        cpu_cores: settings.cpu_cores,
        ready: false,
        leaving: false,
        store_reachable: true,
        is_settled: false,
        reaches_targets: true,
    };
    let decoder = RecordDecoder {
        kind: operator_record_kind,
        routes: |value| Ok(decode_routes(value)?),
        target: |key, value| Ok(decode_target(key, value)?),
    };
    let seed = format!("{}\n{}", settings.vm, since_epoch.as_nanos());
    let first_job_id = xxh3_64(seed.as_bytes()) >> JOB_ID_COUNTER_BITS << JOB_ID_COUNTER_BITS;
    let paths = TargetPaths::new()?;
    Ok(NodeState::new(
        settings,
        own,
        decoder,
        clock,
        first_job_id,
        paths,
    ))
}

async fn listen(node: &Rc<NodeState>, metrics: SocketAddr) -> Result<()> {
    let addresses = node.settings.addresses.clone();
    let peer_listener = bind(addresses.peers)?;
    actix_rt::spawn(peers::serve(node.clone(), peer_listener));
    let caller_listener = bind(addresses.callers)?;
    let state = node.clone();
    let listener_node = node.clone();
    let close_signal = async move { listener_node.close_listener.notified().await };
    actix_rt::spawn(serve_http(
        caller_listener,
        ListenerKind::Callers,
        node.connections.clone(),
        close_signal,
        move |request| request_handler::handle(state.clone(), request),
    ));
    serve_other(node, addresses.directory, directory_response)?;
    serve_other(node, addresses.readiness, readiness_response)?;
    serve_other(node, metrics, metrics_response)?;
    actix_rt::spawn(close_overdue_loop(node.connections.clone()));
    Ok(())
}

/// Serves requests that `respond` answers at once.
fn serve_other(
    node: &Rc<NodeState>,
    address: SocketAddr,
    respond: fn(&NodeState, &Request) -> Response<BoxBody>,
) -> Result<()> {
    let listener = bind(address)?;
    let (state, connections) = (node.clone(), node.connections.clone());
    let handler = move |request| std::future::ready(respond(&state, &request));
    let served = serve_http(
        listener,
        ListenerKind::Other,
        connections,
        pending(),
        handler,
    );
    actix_rt::spawn(served);
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    listeners::listen(address).wrap_err_with(|| {
        format!("cannot listen on {address}; free the port or change the settings")
    })
}

/// Copies the number of dropped log lines into the metrics.
async fn report_dropped_lines(node: Rc<NodeState>, dropped_lines: impl Fn() -> usize) {
    loop {
        let dropped = dropped_lines() as i64;
        let before = node.metrics.log_lines_dropped.set(dropped);
        if dropped > before {
            tracing::warn!(dropped, "log lines dropped: the writer lags behind");
        }
        sleep(DROPPED_LINES_INTERVAL).await;
    }
}

/// Keeps this node's member record up to date, and sends a heartbeat at once when it changes,
/// instead of at the next interval.
async fn own_record_loop(node: Rc<NodeState>) {
    loop {
        let ready = is_ready(&node);
        let (was_ready, changed) = {
            let mut members = node.members.borrow_mut();
            let was_ready = members.own().ready;
            let now = node.now();
            let is_settled = members.settles(node.running_for(now), now);
            let changed = members.update_own(OwnState {
                ready,
                leaving: node.stop.has_begun(),
                store_reachable: node.store_reachable.get(),
                is_settled,
                reaches_targets: node.paths.borrow().may_carry(),
            });
            (was_ready, changed)
        };
        if was_ready != ready {
            tracing::info!(ready, "readiness changed");
        }
        if changed {
            node.heartbeat_now.notify_one();
        }
        sleep(OWN_RECORD_INTERVAL).await;
    }
}

/// Logs whether the settings can be read; the running node keeps those of its start.
fn check_settings(node: &NodeState) {
    match crate::platform::settings::read_settings() {
        Ok(settings) => {
            let same_place = settings.addresses.callers == node.settings.addresses.callers;
            tracing::info!(
                same_place,
                "settings read again; addresses change with a restart only"
            );
        }
        Err(error) => tracing::warn!(%error, "settings not read again; the old ones stay in force"),
    }
}

/// Shuts down gracefully within the platform's grace period.
///
/// The node leaves the directory at once, and accepts connections while callers may still have its
/// address cached. It ends when it has answered all requests and no more come on open connections.
async fn shut_down(node: &Rc<NodeState>) {
    let grace = node.settings.bounds.stop_grace.saturating_sub(STOP_MARGIN);
    tracing::info!(
        in_flight = node.in_flight.get(),
        waiting = node.placement_waiters.borrow().len(),
        "stopping"
    );
    node.stop
        .begin(node.now() + grace.saturating_sub(RESPONSE_TIME));
    {
        let mut members = node.members.borrow_mut();
        let is_settled = members.own().is_settled;
        members.update_own(OwnState {
            ready: false,
            leaving: true,
            store_reachable: node.store_reachable.get(),
            is_settled,
            reaches_targets: node.paths.borrow().may_carry(),
        });
    }
    node.heartbeat_now.notify_one();
    let finish = async {
        sleep(ACCEPT_AFTER_STOP).await;
        node.close_listener.notify_one();
        while node.in_flight.get() > 0 || !is_quiet(node) {
            sleep(IDLE_CHECK_INTERVAL).await;
        }
    };
    let finished = timeout(grace, finish).await.is_ok();
    tracing::info!(finished, in_flight = node.in_flight.get(), "stopped");
}

/// Whether no request has come for so long that none is likely to come on an open connection.
fn is_quiet(node: &NodeState) -> bool {
    node.now()
        .saturating_duration_since(node.last_request_at.get())
        >= QUIET_TIME
}
