//! Requests, and parts of prompts, on which targets crash: VMs report what became of requests to the
//! owner of placement, which alone sees enough to blame one, and announces bans to all VMs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::messages::{JobUpdate, KnownBans, NodeCall};
use super::peer_calls::{tell, tell_all};
use super::placement::{owns_placement, record_update};
use super::service::NodeResponse;
use super::state::NodeState;
use crate::fleet::catalog::TargetRecord;
use crate::fleet::members::MemberRecord;
use crate::http_client::connection::open_connection;
use crate::ids::{PartName, RequestDigest, TargetName};
use crate::policy::part_guard::PartBan;
use crate::policy::request_guard::{GuardFindings, RequestBan, RequestEvidence};

const PARTS_SETTLE_DELAY: Duration = Duration::from_millis(55); // requests that one crash broke are collected for 50 ms
const REQUESTS_SETTLE_DELAY: Duration = Duration::from_millis(505); // the same, for 500 ms
const CRASH_CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(300)]; // both within REQUESTS_SETTLE_DELAY

/// Reports that a target answered a request with these shared parts, a stream by its first event.
pub fn report_served(
    node: &Rc<NodeState>,
    request: RequestDigest,
    parts: &[PartName],
    target: &TargetName,
) {
    let update = JobUpdate::RequestServed {
        request,
        parts: parts.to_vec(),
        target: target.clone(),
    };
    record_update(node, update);
}

/// Reports that a request with these shared parts lost its connection to a target before it was
/// answered.
pub fn report_broken(
    node: &Rc<NodeState>,
    request: RequestDigest,
    parts: &[PartName],
    target: &TargetName,
) {
    let update = JobUpdate::RequestBroken {
        request,
        parts: parts.to_vec(),
        target: target.clone(),
    };
    // A lost path breaks connections like a crash.
    let paths = node.paths.borrow();
    if paths.are_doubtful() {
        node.doubtful_crashes.borrow_mut().push(update);
    } else if !paths.are_lost() {
        drop(paths);
        record_update(node, update);
    }
}

/// Reports a request as broken if its target refuses connections soon after the attempt was given up:
/// the closed connection does not show whether the target crashed under it.
pub fn check_given_up(node: &Rc<NodeState>, request: RequestDigest, target: &TargetRecord) {
    let (node, name, address) = (node.clone(), target.name.clone(), target.address);
    actix_rt::spawn(async move {
        for delay in CRASH_CHECK_DELAYS {
            sleep(delay).await;
            if refuses_connections(&node, address).await {
                tracing::info!(%request, replica = %name, "target ended after an attempt was given up");
                report_broken(&node, request, &[], &name);
                return;
            }
        }
    });
}

async fn refuses_connections(node: &NodeState, address: SocketAddr) -> bool {
    let opened = open_connection(address, node.settings.target_source, node.now()).await;
    opened.is_err_and(|error| error.is_refused())
}

/// The response to a request that is banned, or has banned parts.
pub fn refuse_banned(
    node: &NodeState,
    request: RequestDigest,
    parts: &[PartName],
) -> Option<NodeResponse> {
    let now = node.now();
    if let Some(left) = node.request_guard.borrow().banned_for(request, now) {
        let reason = "targets crashed under this request; change it";
        return Some(NodeResponse::not_run("crashing_request", reason, left));
    }
    let left = node.part_guard.borrow().banned_for(parts, now)?;
    Some(NodeResponse::not_run(
        "crashing_part",
        "engines crashed on a part of the prompt; change the prompt",
        left,
    ))
}

/// Applies a report of [`report_served`], as the owner of placement.
pub fn apply_served(
    node: &Rc<NodeState>,
    request: RequestDigest,
    parts: &[PartName],
    target: &TargetName,
) {
    if !owns_placement(node) {
        return;
    }
    let now = node.now();
    let parts = {
        let mut guard = node.part_guard.borrow_mut();
        guard.record_served(request, parts, target, now)
    };
    let findings = {
        let mut guard = node.request_guard.borrow_mut();
        guard.record_answered(request, target, now)
    };
    announce(node, parts, findings);
}

/// Applies a report of [`report_broken`], as the owner of placement.
pub fn apply_broken(
    node: &Rc<NodeState>,
    request: RequestDigest,
    parts: &[PartName],
    target: &TargetName,
) {
    if !owns_placement(node) {
        return;
    }
    let now = node.now();
    let mut part_guard = node.part_guard.borrow_mut();
    part_guard.record_broken(request, parts, target, now);
    let mut request_guard = node.request_guard.borrow_mut();
    request_guard.record_broken(request, target, now);
    let node = node.clone();
    actix_rt::spawn(async move {
        sleep(PARTS_SETTLE_DELAY).await;
        let bans = node.part_guard.borrow_mut().settle(node.now());
        announce(&node, bans, GuardFindings::default());
        sleep(REQUESTS_SETTLE_DELAY - PARTS_SETTLE_DELAY).await;
        let findings = node.request_guard.borrow_mut().settle(node.now());
        announce(&node, Vec::new(), findings);
    });
}

/// All bans that this VM knows, for a heartbeat.
pub fn known_bans(node: &NodeState) -> KnownBans {
    let now = node.now();
    KnownBans {
        parts: node.part_guard.borrow().export_bans(now),
        requests: node.request_guard.borrow().export_bans(now),
    }
}

/// Takes over bans that a peer knows.
pub fn import_bans(node: &NodeState, bans: &KnownBans) {
    let now = node.now();
    let parts = node.part_guard.borrow_mut().import_bans(&bans.parts, now);
    let requests = {
        let mut guard = node.request_guard.borrow_mut();
        guard.import_bans(&bans.requests, now)
    };
    log_bans(node, &parts, &requests, "peer");
}

/// Takes over the owner's evidence against requests, for when this VM takes over.
pub fn import_evidence(node: &NodeState, evidence: &[RequestEvidence]) {
    let mut guard = node.request_guard.borrow_mut();
    guard.import_evidence(evidence, node.now());
}

/// Sends bans to all live VMs, and evidence to the other coordinators. A VM that misses bans gets
/// them with a heartbeat.
fn announce(node: &Rc<NodeState>, parts: Vec<PartBan>, findings: GuardFindings) {
    let requests = findings.bans;
    if !parts.is_empty() || !requests.is_empty() {
        log_bans(node, &parts, &requests, "own");
        tell_all(node, NodeCall::AnnounceBans(KnownBans { parts, requests }));
    }
    if !findings.evidence.is_empty() {
        let coordinators = node.members.borrow().coordinators(node.now());
        let others: Vec<MemberRecord> = coordinators
            .into_iter()
            .filter(|member| member.vm != node.settings.vm)
            .collect();
        tell(node, others, NodeCall::ShareEvidence(findings.evidence));
    }
}

/// The names of parts as one text, for logs.
pub fn part_names(parts: &[PartName]) -> String {
    let names: Vec<&str> = parts.iter().map(PartName::as_str).collect();
    names.join(" ")
}

fn log_bans(node: &NodeState, parts: &[PartBan], requests: &[RequestBan], source: &str) {
    for ban in parts {
        let (parts, ban_ms) = (part_names(&ban.subject), ban.left_ms);
        if ban_ms == 0 {
            tracing::info!(parts, source, "prompt parts no longer banned");
        } else {
            tracing::warn!(
                parts,
                ban_ms,
                source,
                "engines crash on prompt parts: requests that have them are refused"
            );
        }
    }
    for ban in requests {
        let (request, ban_ms) = (ban.subject, ban.left_ms);
        if ban_ms == 0 {
            tracing::info!(%request, source, "request no longer banned");
        } else {
            tracing::warn!(%request, ban_ms, source, "targets crash under a request: it is refused");
        }
    }
    let now = node.now();
    let banned = node.part_guard.borrow().ban_count(now);
    node.metrics.banned_parts.set(banned as i64);
    let banned = node.request_guard.borrow().ban_count(now);
    node.metrics.banned_requests.set(banned as i64);
}
