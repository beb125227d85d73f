//! Requests other than streams from model engines: this node picks the target itself, and retries
//! only requests that are idempotent or were not executed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::HeaderMap;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use tokio::time::{sleep, timeout};

use super::attempt::{
    AttemptOutcome, AttemptPlan, CallerRequest, TargetInFlightGuard, TargetResponse, send_attempt,
};
use super::carrying::carry_if_lost;
use super::crash_bans::{check_given_up, refuse_banned, report_broken, report_served};
use super::messages::PermitRequest;
use super::rate_limits::take_permit;
use super::state::NodeState;
use super::stopping::{lacks_time, refuse_for_stop};
use crate::fleet::catalog::TargetRecord;
use crate::fleet::routes::RerunPolicy;
use crate::ids::TargetName;
use crate::platform::callers::forwarded_headers;
use crate::policy::permits::PermitAnswer;
use crate::policy::target_choice::{TargetCandidate, rank_targets};

const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(300); // if a pooled connection is reset, it is unknown whether the request was executed
const IDEMPOTENT_MAX_IDLE: Duration = Duration::from_secs(4);
const OBJECTIVE_SHARE_PER_ATTEMPT: f64 = 0.6; // the rest is left for another target
const MAX_EXTRA_ATTEMPTS: u32 = 2; // beyond the route's max_attempts, for targets that did not execute the request
const PERMIT_WAIT_SHARE: f64 = 0.5; // of what is left of the objective; the target needs the rest
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The response to a caller, by its origin.
#[derive(Debug)]
pub enum ServedResponse {
    /// A target's response, forwarded to the caller.
    Target(Response<BoxBody>),
    /// The response of another VM, which carried the request.
    Carried(Response<BoxBody>),
    /// A response that this node generates.
    Node(NodeResponse),
}

impl ServedResponse {
    /// The response's status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Target(response) | Self::Carried(response) => response.status(),
            Self::Node(response) => response.status,
        }
    }
}

/// A response that this node generates, because there is no target's response to forward.
#[derive(Debug, Clone)]
pub struct NodeResponse {
    /// Status, which tells the caller whether the request may have been executed.
    pub status: StatusCode,
    /// When the caller may retry; set only if the request was not executed.
    pub retry_after: Option<Duration>,
    /// Whether the caller is told just that time, which is its own, instead of one spread around it.
    pub keeps_retry_time: bool,
    /// Name of the outcome in logs, metrics and the body.
    pub outcome: &'static str,
    /// Explanation for the log and the body.
    pub reason: String,
}

impl NodeResponse {
    /// The request was not executed and will not be: 503 with `Retry-After`.
    pub fn not_run(outcome: &'static str, reason: impl Into<String>, retry: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(retry),
            keeps_retry_time: false,
            outcome,
            reason: reason.into(),
        }
    }

    /// All targets of the service asked this VM for a pause, the shortest of which lasts `pause`: 503
    /// with `Retry-After`.
    pub fn paused(pause: Duration) -> Self {
        Self::not_run("paused", "all targets asked for a pause", pause)
    }

    /// The request may have been executed: 502.
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            retry_after: None,
            keeps_retry_time: false,
            outcome: "unknown",
            reason: reason.into(),
        }
    }

    /// The deadline passed, and the request may still be executed: 504.
    pub fn timed_out(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            retry_after: None,
            keeps_retry_time: false,
            outcome: "timed_out",
            reason: reason.into(),
        }
    }
}

/// A target's response with its complete body, so that a truncated one is never forwarded.
struct BufferedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Serves a request that is not for a stream from a model engine.
///
/// Tries other targets until one responds, the route's attempts or the retry budget are used
/// up, or the request may have been executed and must not be repeated.
pub async fn serve(node: &Rc<NodeState>, caller: &Rc<CallerRequest>) -> ServedResponse {
    let rerun_policy = caller.route.rerun_policy;
    let mut excluded_targets: Vec<TargetName> = Vec::new();
    // Attempts that executed the request, or may have.
    let mut runs = caller.parsed_headers.carried_runs.unwrap_or(0);
    let mut attempts = 0;
    let mut next_is_retry = false;
    let mut node_response =
        NodeResponse::not_run("no_target", "no target takes work", BUSY_RETRY_AFTER);
    let mut error_response: Option<BufferedResponse> = None;
    loop {
        if caller.time_left(node.now()).is_zero() {
            break;
        }
        if let Some(refusal) = refuse_banned(node, caller.digest, &[]) {
            if runs == 0 {
                node_response = refusal;
            }
            break;
        }
        if runs == 0 && lacks_time(node, caller, node.now()) {
            let is_carried = caller.parsed_headers.carried_runs.is_some();
            node_response = refuse_for_stop(node, is_carried);
            break;
        }
        if let Some(carried) = carry_if_lost(node, caller, runs, next_is_retry).await {
            return carried;
        }
        let target = match next_target(node, caller, &excluded_targets).await {
            Ok(target) => target,
            Err(no_target) => {
                if runs == 0
                    && let Some(refusal) = refuse_without_target(node, caller, no_target)
                {
                    node_response = refusal;
                }
                break;
            }
        };
        let now = node.now();
        // An attempt after one that reached no target does not count as a retry.
        if next_is_retry && !node.try_take_retry(&caller.service) {
            tracing::info!(
                id = caller.parsed_headers.id,
                "retry withheld by the budget"
            );
            break;
        }
        attempts += 1;
        next_is_retry = true;
        let may_retry = rerun_policy.allows_rerun() && runs + 1 < caller.route.max_attempts;
        // The stop of this node, which may come sooner, is no failure of the target.
        let left = caller.deadline_left(now);
        let attempt_timeout = if may_retry {
            let objective_share = caller.route.objective.mul_f64(OBJECTIVE_SHARE_PER_ATTEMPT);
            objective_share.min(left)
        } else {
            left
        };
        let result = timeout(attempt_timeout, send_and_buffer(node, caller, &target)).await;
        let outcome = result.unwrap_or_else(|_| {
            node.record_target_failure(&target.name, false, "silent");
            node.record_path_failure(&target.name);
            check_given_up(node, caller.digest, &target);
            BufferedOutcome::Unknown(format!(
                "no answer within {} ms",
                attempt_timeout.as_millis()
            ))
        });
        excluded_targets.push(target.name.clone());
        match outcome {
            BufferedOutcome::Buffered(response) => {
                let success = response.status.is_success();
                report_served(node, caller.digest, &[], &target.name);
                tracing::info!(
                    id = caller.parsed_headers.id,
                    replica = %target.name,
                    status = response.status.as_u16(),
                    send = attempts,
                    "target answered"
                );
                if success || !response.status.is_server_error() {
                    return ServedResponse::Target(forward(response));
                }
                runs += 1;
                error_response = Some(response);
            }
            BufferedOutcome::NotRun {
                reason,
                reached_target: reached,
            } => {
                next_is_retry = reached;
                tracing::info!(id = caller.parsed_headers.id, replica = %target.name, reason, "send not run");
                if runs == 0 {
                    node_response = NodeResponse::not_run("busy", reason, BUSY_RETRY_AFTER);
                }
            }
            BufferedOutcome::Unknown(reason) => {
                tracing::info!(id = caller.parsed_headers.id, request = %caller.digest, replica = %target.name, reason, "send without an answer");
                runs += 1;
                node_response = if caller.time_left(node.now()).is_zero() {
                    NodeResponse::timed_out(reason)
                } else {
                    NodeResponse::unknown(reason)
                };
            }
        }
        let exhausted = runs >= caller.route.max_attempts
            || attempts >= caller.route.max_attempts + MAX_EXTRA_ATTEMPTS;
        if exhausted || (runs > 0 && !rerun_policy.allows_rerun()) {
            break;
        }
    }
    match error_response {
        Some(response) => ServedResponse::Target(forward(response)),
        None => ServedResponse::Node(node_response),
    }
}

fn refuse_without_target(
    node: &NodeState,
    caller: &CallerRequest,
    no_target: NoTarget,
) -> Option<NodeResponse> {
    match no_target {
        NoTarget::NoneUsable => node
            .service_pause(&caller.service)
            .map(NodeResponse::paused),
        NoTarget::Limited(retry_after) => Some(NodeResponse::not_run(
            "limited",
            "the rate limits of all targets are used up",
            retry_after.max(BUSY_RETRY_AFTER),
        )),
    }
}

/// Outcome of one attempt, with the complete response if there is one.
enum BufferedOutcome {
    Buffered(BufferedResponse),
    NotRun {
        reason: String,
        reached_target: bool,
    },
    Unknown(String),
}

async fn send_and_buffer(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    target: &TargetRecord,
) -> BufferedOutcome {
    let _guard = TargetInFlightGuard::new(node, &target.name);
    let not_idempotent = caller.route.rerun_policy == RerunPolicy::AtMostOnce;
    let plan = AttemptPlan {
        target,
        priority: None,
        helpers: &[],
        last_event_id: None,
        max_idle: if not_idempotent {
            NON_IDEMPOTENT_MAX_IDLE
        } else {
            IDEMPOTENT_MAX_IDLE
        },
    };
    match send_attempt(node, caller, &plan).await {
        AttemptOutcome::NotRun {
            reason,
            reached_target,
            ..
        } => BufferedOutcome::NotRun {
            reason,
            reached_target,
        },
        AttemptOutcome::Unknown {
            reason,
            connection_lost,
        } => {
            if connection_lost {
                report_broken(node, caller.digest, &[], &target.name);
            }
            BufferedOutcome::Unknown(reason)
        }
        AttemptOutcome::Responded(response) => read_buffered(node, caller, target, *response).await,
    }
}

async fn read_buffered(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    target: &TargetRecord,
    response: TargetResponse,
) -> BufferedOutcome {
    let mut connection = response.connection;
    let body = match connection.read_body(&node.body_budget).await {
        Ok(body) => body,
        Err(error) => {
            node.record_exchange_failure(&target.name, &error);
            if error.is_lost_connection() {
                report_broken(node, caller.digest, &[], &target.name);
            }
            return BufferedOutcome::Unknown(error.to_string());
        }
    };
    node.connection_pool
        .borrow_mut()
        .put(connection, node.now());
    if response.head.status.is_server_error() {
        if let Some(health) = node.target_health.borrow_mut().get_mut(&target.name) {
            health.record_error_answer();
        }
    } else {
        node.record_target_success(&target.name);
    }
    BufferedOutcome::Buffered(BufferedResponse {
        status: response.head.status,
        headers: forwarded_headers(&response.head.headers),
        body,
    })
}

/// Why no target may be sent the request.
#[derive(Debug, Clone, Copy)]
enum NoTarget {
    /// None of them takes work.
    NoneUsable,
    /// The limits of all that take work, named by them or as long as they are cold, are used up;
    /// callers may return after this time.
    Limited(Duration),
}

/// Chooses a target, and waits for a permit if it named a rate limit.
async fn next_target(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    excluded_targets: &[TargetName],
) -> Result<TargetRecord, NoTarget> {
    let target = choose_target(node, caller, excluded_targets).await?;
    let now = node.now();
    if let Some(rate) = cold_rate(node, &target, now) {
        let mut pacing = node.cold_pacing.borrow_mut();
        pacing.record(&target.name, rate, now);
    }
    Ok(target)
}

async fn choose_target(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    excluded_targets: &[TargetName],
) -> Result<TargetRecord, NoTarget> {
    let ranked = rank_service_targets(node, caller, excluded_targets);
    let ranked = within_cold_limits(node, ranked)?;
    let is_limited = |target: &TargetRecord| {
        let limits = node.rate_limits.borrow();
        limits.rate_of(&target.name, target.started_ms).is_some()
    };
    let first = ranked.first().ok_or(NoTarget::NoneUsable)?;
    if !is_limited(first) {
        return Ok(first.clone());
    }
    let unlimited = ranked.iter().find(|target| !is_limited(target));
    let max_wait = if unlimited.is_some() {
        Duration::ZERO
    } else {
        let objective_left = caller.objective_left(node.now());
        objective_left.mul_f64(PERMIT_WAIT_SHARE)
    };
    let limited = ranked.iter().filter(|target| is_limited(target));
    let limits = {
        let limits = node.rate_limits.borrow();
        limits.limits_of(limited.map(|target| &target.name))
    };
    match take_permit(node, &PermitRequest { limits, max_wait }).await {
        PermitAnswer::Granted { target, send_in } => {
            sleep(send_in).await;
            let granted = ranked.into_iter().find(|known| known.name == target);
            granted.ok_or(NoTarget::NoneUsable)
        }
        PermitAnswer::Refused { retry_after } => {
            unlimited.cloned().ok_or(NoTarget::Limited(retry_after))
        }
    }
}

/// Leaves out the cold targets that may not be sent a request yet.
fn within_cold_limits(
    node: &NodeState,
    ranked: Vec<TargetRecord>,
) -> Result<Vec<TargetRecord>, NoTarget> {
    let now = node.now();
    let mut shortest_wait: Option<Duration> = None;
    let mut pacing = node.cold_pacing.borrow_mut();
    let allowed: Vec<TargetRecord> = ranked
        .into_iter()
        .filter(|target| {
            let Some(rate) = cold_rate(node, target, now) else {
                return true;
            };
            let wait = pacing.wait(&target.name, rate, rand::random(), now);
            shortest_wait = Some(shortest_wait.map_or(wait, |known| known.min(wait)));
            wait.is_zero()
        })
        .collect();
    match shortest_wait {
        Some(wait) if allowed.is_empty() => Err(NoTarget::Limited(wait)),
        _ => Ok(allowed),
    }
}

/// Requests a second that this VM may send to a target while it is cold; `None` if it is warm or its
/// service has no limit.
///
/// VMs send to plain services without asking each other, so each has an equal part. Where streams go
/// to the same targets, half of the limit is left to them.
fn cold_rate(node: &NodeState, target: &TargetRecord, now: Instant) -> Option<f64> {
    let catalog = node.catalog.borrow();
    let is_cold = catalog.target(&target.name)?.cold_until > now;
    let service = catalog.table()?.services.get(&target.service)?;
    if !is_cold || service.cold_requests_per_s <= 0.0 {
        return None;
    }
    let streams_share = if service.engine.is_some() { 0.5 } else { 0.0 };
    let live = node.members.borrow().live(now).len().max(1);
    Some(service.cold_requests_per_s * (1.0 - streams_share) / live as f64)
}

/// The targets that may be sent the request, the best first.
fn rank_service_targets(
    node: &NodeState,
    caller: &CallerRequest,
    excluded_targets: &[TargetName],
) -> Vec<TargetRecord> {
    let now = node.now();
    let catalog = node.catalog.borrow();
    let health = node.target_health.borrow();
    let options: Vec<TargetCandidate<'_>> = catalog
        .usable_targets(&caller.service, now)
        .filter(|target| {
            !excluded_targets.contains(&target.record.name) && !node.is_paused(&target.record)
        })
        .map(|target| TargetCandidate {
            name: &target.record.name,
            domain: &target.record.domain,
            health: health.get(&target.record.name),
        })
        .collect();
    let tie_breaker = rand::random::<u32>().into();
    let ranked = rank_targets(&options, &node.settings.domain, tie_breaker, now);
    let records = ranked.into_iter().filter_map(|name| catalog.target(name));
    records.map(|target| target.record.clone()).collect()
}

fn forward(buffered: BufferedResponse) -> Response<BoxBody> {
    let mut response = Response::with_body(buffered.status, buffered.body.boxed());
    *response.headers_mut() = buffered.headers;
    response
}
