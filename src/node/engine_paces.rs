//! Paces of model engines: this VM measures the event gaps of its streams and reports engines that look
//! slow to the owner of placement and its successor. The owner requests the own reports of engines that are
//! suspect, and its dispatchers use the paces.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::{sleep, timeout};

use super::messages::NodeCall;
use super::paths::fetch_report;
use super::peer_calls::call_node;
use super::placement::owns_placement;
use super::state::NodeState;
use crate::ids::TargetName;
use crate::platform::orders::decode_reported_pace;
use crate::policy::dispatch::JobId;
use crate::policy::engine_pace::{
    ENGINE_QUERY_TIMEOUT, GapLedger, PACE_REPORT_INTERVAL, PaceBook, PaceReport, is_slow,
};

const REPORT_TIMEOUT: Duration = Duration::from_millis(300); // a throttled VM pauses for up to 75 ms

/// What a VM knows of the speed of engines.
#[derive(Debug, Default)]
pub struct EnginePaces {
    /// Event gaps of this VM's streams.
    pub measured: GapLedger,
    /// What the VMs report, if this one is the owner of placement or its successor.
    pub book: PaceBook,
}

/// Records an event gap of a stream of this VM.
pub fn record_gap(node: &NodeState, target: &TargetName, job: JobId, gap: Duration) {
    let mut paces = node.engine_paces.borrow_mut();
    paces.measured.record(target, job, gap, node.now());
}

/// Takes over a VM's report, and queries the engines that it makes suspect.
pub fn import_report(node: &Rc<NodeState>, report: &PaceReport) {
    let mut paces = node.engine_paces.borrow_mut();
    paces.book.apply(report, node.now());
    drop(paces);
    query_due_engines(node);
}

/// Queries the engines that are due, if this VM is the owner of placement. Its successor queries them when
/// it takes over, so that each engine answers one VM only.
fn query_due_engines(node: &Rc<NodeState>) {
    if !owns_placement(node) {
        return;
    }
    let due = node.engine_paces.borrow_mut().book.due_queries(node.now());
    for target in due {
        actix_rt::spawn(query_engine(node.clone(), target));
    }
}

/// Requests an engine's own report, whose pace is in force at once. A failure does not put the path to the
/// engine in doubt, as requests to it show that themselves.
async fn query_engine(node: Rc<NodeState>, target: TargetName) {
    let record = {
        let catalog = node.catalog.borrow();
        catalog.target(&target).map(|state| state.record.clone())
    };
    let report = async { fetch_report(&node, &record?).await.ok() };
    let report = timeout(ENGINE_QUERY_TIMEOUT, report).await.ok().flatten();
    let pace = report.and_then(|body| decode_reported_pace(&body));
    let result = match pace {
        None => "no_pace",
        Some(pace) if is_slow(pace) => "slow",
        Some(_) => "not_slow",
    };
    tracing::debug!(replica = %target, pace, "engine queried");
    node.metrics.count_engine_query(result);
    let mut paces = node.engine_paces.borrow_mut();
    paces.book.record_answer(&target, pace, node.now());
    drop(paces);
    refresh(&node);
}

/// Pace of an engine for the log: the one that counts at this VM, or the one that this VM measured with
/// the jobs that it knows, which other VMs' jobs on the engine raise. 1 if neither is known.
pub fn known_pace(node: &NodeState, service: &str, target: &TargetName) -> f64 {
    let dispatchers = node.dispatchers.borrow();
    let Some(dispatcher) = dispatchers.get(service) else {
        return 1.0;
    };
    let counted = dispatcher.pace_of(target).filter(|pace| *pace > 1.0);
    let measured = || {
        let pass = dispatcher.declared_pass_time(target)?;
        let paces = node.engine_paces.borrow();
        paces.measured.pace_of(target, pass, node.now())
    };
    counted.or_else(measured).unwrap_or(1.0)
}

/// Refreshes the paces that count here, and reports what this VM measured, at an interval.
pub async fn report_loop(node: Rc<NodeState>) {
    loop {
        sleep(PACE_REPORT_INTERVAL).await;
        refresh(&node);
        query_due_engines(&node);
        let Some(report) = new_report(&node) else {
            continue;
        };
        if owns_placement(&node) {
            import_report(&node, &report);
        }
        send_report(&node, report).await;
    }
}

/// Sets the dispatchers' paces to those that count now.
fn refresh(node: &NodeState) {
    let now = node.now();
    let mut dispatchers = node.dispatchers.borrow_mut();
    let mut paces = node.engine_paces.borrow_mut();
    let loads = dispatchers
        .values()
        .flat_map(|dispatcher| dispatcher.engine_loads());
    for change in paces.book.refresh(loads, now) {
        match change.pace {
            Some(pace) => {
                let is_reported = change.is_reported;
                tracing::info!(replica = %change.target, pace, is_reported, "engine counts as slow");
            }
            None => tracing::info!(replica = %change.target, "engine no longer counts as slow"),
        }
    }
    let slow_engines = paces.book.slow_engines();
    node.metrics.slow_engines.set(slow_engines.len() as i64);
    for dispatcher in dispatchers.values_mut() {
        dispatcher.set_paces(&slow_engines);
    }
}

fn new_report(node: &NodeState) -> Option<PaceReport> {
    let dispatchers = node.dispatchers.borrow();
    let known_pass = |target: &TargetName| {
        dispatchers
            .values()
            .find_map(|dispatcher| dispatcher.declared_pass_time(target))
    };
    let mut paces = node.engine_paces.borrow_mut();
    paces
        .measured
        .report(&node.settings.vm, known_pass, node.now())
}

/// Sends a report to the owner of placement and its successor. One that does not take it is no less
/// alive: it may run an earlier build, which knows no such call.
async fn send_report(node: &Rc<NodeState>, report: PaceReport) {
    let recipients = node.members.borrow().job_report_recipients(node.now());
    let call = NodeCall::ReportPaces(report);
    let calls = recipients.iter().map(|recipient| async {
        let sent = call_node(node, recipient.peer_address, &call, REPORT_TIMEOUT).await;
        if let Err(error) = sent {
            tracing::debug!(peer = %recipient.vm, %error, "paces not taken");
        }
    });
    join_all(calls).await;
}
