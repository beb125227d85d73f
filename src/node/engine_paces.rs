//! Paces of model engines: this VM measures the event gaps of its streams and reports engines that look
//! slow to the owner of placement and its successor, whose dispatchers use the paces.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use super::messages::NodeCall;
use super::peer_calls::call_node;
use super::placement::owns_placement;
use super::state::NodeState;
use crate::ids::TargetName;
use crate::policy::dispatch::JobId;
use crate::policy::engine_pace::{GapLedger, PACE_REPORT_INTERVAL, PaceBook, PaceReport};

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

/// Takes over a VM's report, which counts from the next refresh on.
pub fn import_report(node: &NodeState, report: &PaceReport) {
    let mut paces = node.engine_paces.borrow_mut();
    paces.book.apply(report, node.now());
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
                tracing::info!(replica = %change.target, pace, "engine counts as slow");
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
