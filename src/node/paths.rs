//! Probes the paths to targets when they are in doubt, and announces when they are lost or return.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Method, Uri};
use bytes::Bytes;
use futures_util::future::join_all;
use rand::seq::SliceRandom;
use tokio::time::{sleep, timeout};

use super::placement::record_update;
use super::state::NodeState;
use crate::fleet::catalog::TargetRecord;
use crate::http_client::connection::{Result, open_connection, target_request_head};
use crate::ids::TargetName;
use crate::platform::orders::REPORT_PATH;
use crate::policy::target_paths::probe_order;

const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_TIMEOUT: Duration = Duration::from_millis(250); // targets report at once; a throttled VM pauses for up to 75 ms

/// Probes targets when the paths are in doubt or lost, for as long as the process runs.
pub async fn watch_paths(node: Rc<NodeState>) {
    let mut state_before = node.paths.borrow().state().to_owned();
    loop {
        probe_due_targets(&node).await;
        let state = node.paths.borrow().state().to_owned();
        if state != state_before {
            announce_state(&node, &state_before, &state);
            state_before = state;
            continue;
        }
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = node.paths_doubted.notified() => {}
        }
    }
}

async fn probe_due_targets(node: &Rc<NodeState>) {
    let mut services = node.targets_by_service();
    for names in &mut services {
        names.shuffle(&mut rand::rng());
    }
    let known = probe_order(&services);
    let due = node.paths.borrow_mut().due_probes(&known, node.now());
    join_all(due.iter().map(|name| probe(node, name))).await;
}

/// Checks whether a target reports.
async fn probe(node: &Rc<NodeState>, name: &TargetName) {
    let target = {
        let catalog = node.catalog.borrow();
        catalog.target(name).map(|state| state.record.clone())
    };
    let Some(target) = target else { return };
    node.metrics.probes.inc();
    match timeout(PROBE_TIMEOUT, fetch_report(node, &target)).await {
        Ok(Ok(_)) => node.paths.borrow_mut().record_answer(node.now()),
        Ok(Err(error)) => {
            tracing::debug!(replica = %name, %error, "probe failed");
            node.record_path_failure(name);
        }
        Err(_) => node.record_path_failure(name),
    }
}

/// Whether a target answers with its report in time.
pub(super) async fn answers_report(node: &NodeState, target: &TargetRecord) -> bool {
    node.metrics.probes.inc();
    let report = timeout(PROBE_TIMEOUT, fetch_report(node, target)).await;
    matches!(report, Ok(Ok(_)))
}

/// Requests a target's report on a new connection, which is kept for requests; returns the report's body.
///
/// # Errors
///
/// Fails when the target cannot be reached, or its response is not HTTP, incomplete or too long.
pub(super) async fn fetch_report(node: &NodeState, target: &TargetRecord) -> Result<Bytes> {
    let source = node.settings.target_source;
    let mut connection = open_connection(target.address, source, node.now()).await?;
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(&target.address.to_string()) {
        headers.insert(header::HOST, host);
    }
    let head = target_request_head(Method::GET, Uri::from_static(REPORT_PATH), headers);
    connection.exchange(None, head, &Bytes::new()).await?;
    let body = connection.read_body(&node.body_budget).await?;
    node.connection_pool
        .borrow_mut()
        .put(connection, node.now());
    Ok(body)
}

fn announce_state(node: &Rc<NodeState>, before: &str, state: &str) {
    let paths = node.paths.borrow();
    tracing::info!(before, state, "paths to targets changed");
    node.metrics.paths_lost.set(i64::from(paths.are_lost()));
    if paths.are_lost() {
        // Its requests would wait for bytes that were lost.
        node.connection_pool.borrow_mut().clear();
        node.doubtful_crashes.borrow_mut().clear();
    } else if !paths.are_doubtful() {
        let before_lost = node.paths_lost.borrow().to_owned();
        if before_lost {
            let mut health = node.target_health.borrow_mut();
            health
                .values_mut()
                .for_each(|health| health.forget_failures());
        }
    }
    let (are_lost, are_doubtful) = (paths.are_lost(), paths.are_doubtful());
    drop(paths);
    node.paths_lost.send_replace(are_lost);
    if !are_lost && !are_doubtful {
        let crashes = std::mem::take(&mut *node.doubtful_crashes.borrow_mut());
        for crash in crashes {
            record_update(node, crash);
        }
        node.refresh_dispatchers();
    }
}
