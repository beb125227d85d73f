//! Rate limits that targets name: what this VM learns of them, from responses and from other VMs, and
//! the permits to send requests to limited targets.
//!
//! A VM that sees a change tells the owner of placement, which announces it to all VMs. Engines'
//! permits are part of placement; for the targets of plain services, VMs ask the owner for each.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::messages::{HeartbeatReply, JobUpdate, NodeCall, NodeReply, PermitRequest};
use super::peer_calls::{call_node, tell_all};
use super::placement::{ask_owner, limit_share, owns_placement, record_update};
use super::state::NodeState;
use crate::fleet::catalog::TargetRecord;
use crate::fleet::members::MemberRecord;
use crate::ids::TargetName;
use crate::platform::callers::{NamedRate, TargetResponseHeaders};
use crate::policy::permits::PermitAnswer;
use crate::policy::rate_limits::RateLimit;
use crate::wire::client::CallError;

const PERMIT_TIMEOUT: Duration = Duration::from_millis(100); // a round trip takes 2 ms, and a throttled VM pauses for up to 75 ms

/// Records the rate limit that a target's response to a request sent at `sent_at` names. That it
/// names none counts only where the response is the target's own.
pub fn observe_limit(
    node: &Rc<NodeState>,
    target: &TargetRecord,
    response: &TargetResponseHeaders,
    sent_at: Instant,
) {
    let rate = match response.rate_limit {
        NamedRate::PerSecond(rate) => Some(rate),
        NamedRate::Unlimited if response.has_seal => None,
        NamedRate::Unlimited | NamedRate::Unreadable => return,
    };
    let change = {
        let mut limits = node.rate_limits.borrow_mut();
        limits.observe(&target.name, target.started_ms, rate, sent_at, node.now())
    };
    let Some(change) = change else {
        return;
    };
    apply_changes(node, std::slice::from_ref(&change), "answer");
    if owns_placement(node) {
        tell_all(node, NodeCall::AnnounceLimits(vec![change]));
    } else {
        record_update(node, JobUpdate::RateLimitChanged(change));
    }
}

/// Takes over another VM's observation and, as the owner of placement, announces it.
pub fn apply_observed(node: &Rc<NodeState>, limit: &RateLimit) {
    let news = import_limits(node, std::slice::from_ref(limit));
    if !news.is_empty() && owns_placement(node) {
        tell_all(node, NodeCall::AnnounceLimits(news));
    }
}

/// Takes over limits that a peer knows, and returns those that were news.
pub fn import_limits(node: &NodeState, limits: &[RateLimit]) -> Vec<RateLimit> {
    let news = node.rate_limits.borrow_mut().import(limits, node.now());
    apply_changes(node, &news, "peer");
    news
}

fn apply_changes(node: &NodeState, changes: &[RateLimit], source: &str) {
    for limit in changes {
        tracing::info!(
            replica = %limit.target,
            requests_per_s = limit.requests_per_s,
            source,
            "rate limit of a target changed"
        );
    }
    if !changes.is_empty() {
        let limited = node.rate_limits.borrow().limited_count();
        node.metrics.limited_targets.set(limited as i64);
        node.refresh_dispatchers();
    }
}

/// Drops the rate limits and the permits of targets that are gone.
pub fn forget_gone_targets(node: &NodeState) {
    let catalog = node.catalog.borrow();
    let is_present = |target: &TargetName| catalog.target(target).is_some();
    let mut limits = node.rate_limits.borrow_mut();
    limits.retain(is_present);
    node.permit_ledger.borrow_mut().retain(is_present);
    let limited = limits.limited_count();
    node.metrics.limited_targets.set(limited as i64);
}

/// The limits to send with a heartbeat: all, if a hub's last reply showed other ones.
pub fn limits_for_heartbeat(node: &NodeState) -> Vec<RateLimit> {
    if node.limits_differ.take() {
        return node.rate_limits.borrow().export();
    }
    Vec::new()
}

/// The limits to reply with to a heartbeat: all, if the sender's digest shows that it knows others.
pub fn limits_for_reply(node: &NodeState, sender_digest: u64) -> Vec<RateLimit> {
    let limits = node.rate_limits.borrow();
    if limits.digest() == sender_digest {
        return Vec::new();
    }
    limits.export()
}

/// Takes over the limits in a reply to a heartbeat.
pub fn apply_reply(node: &NodeState, reply: &HeartbeatReply) {
    import_limits(node, &reply.rate_limits);
    if node.rate_limits.borrow().digest() != reply.limits_digest {
        node.limits_differ.set(true);
    }
}

/// Asks the owner of placement for a permit for one of several limited targets, the preferred one
/// first, and decides here if no owner answers.
pub async fn take_permit(node: &Rc<NodeState>, request: &PermitRequest) -> PermitAnswer {
    let ask = async |owner: &MemberRecord| request_permit(node, owner, request).await;
    match ask_owner(node, ask).await {
        Some((_, answer)) => answer,
        None => grant_permit(node, request),
    }
}

async fn request_permit(
    node: &Rc<NodeState>,
    owner: &MemberRecord,
    request: &PermitRequest,
) -> Result<PermitAnswer, CallError> {
    let call = NodeCall::TakePermit(request.clone());
    let exchange = async {
        let pending = call_node(node, owner.peer_address, &call, PERMIT_TIMEOUT).await?;
        pending.read().await
    };
    let reply = timeout(PERMIT_TIMEOUT, exchange)
        .await
        .map_err(|_| CallError::Timeout(PERMIT_TIMEOUT))??;
    match reply {
        NodeReply::Permit(answer) => Ok(answer),
        _ => Err(CallError::Status(http::StatusCode::BAD_GATEWAY)),
    }
}

/// Grants or refuses a permit, as the owner of placement or because no owner answers.
pub fn grant_permit(node: &NodeState, request: &PermitRequest) -> PermitAnswer {
    import_limits(node, &request.limits);
    let now = node.now();
    let limits = node.rate_limits.borrow();
    let mut rates = Vec::new();
    for known in &request.limits {
        match limits.rate_of(&known.target, known.started_ms) {
            Some(rate) => rates.push((known.target.clone(), rate)),
            // This VM knows already that the limit has ended.
            None => {
                return PermitAnswer::Granted {
                    target: known.target.clone(),
                    send_in: Duration::ZERO,
                };
            }
        }
    }
    let mut ledger = node.permit_ledger.borrow_mut();
    ledger.grant(&rates, request.max_wait, limit_share(node), now)
}
