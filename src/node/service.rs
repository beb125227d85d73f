//! Requests to plain services: chosen here, sent again only where that is safe.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::HeaderMap;
use actix_http::{Response, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::time::timeout;

use super::attempt::{
    AttemptOutcome, AttemptPlan, CallerRequest, ServiceGuard, TargetReply, send_once,
};
use super::state::NodeState;
use crate::fleet::catalog::TargetRecord;
use crate::fleet::routes::RepeatRule;
use crate::ids::TargetName;
use crate::platform::callers::passed_on;
use crate::policy::target_choice::{TargetOption, choose_target};

const REUSE_FOR_ONCE: Duration = Duration::from_millis(300); // a reset of a kept connection leaves the outcome open
const REUSE_IDEMPOTENT: Duration = Duration::from_secs(4);
const SILENT_SHARE: f64 = 0.6; // of the objective; leaves time for another target
const EXTRA_SENDS: u32 = 2; // beyond the route's attempts, when targets did not run the request
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// What a request ends with.
#[derive(Debug)]
pub enum ServedAnswer {
    /// The target's own answer.
    Target(Response<BoxBody>),
    /// An answer of this system's own.
    Own(OwnAnswer),
}

/// An answer of this system's own.
#[derive(Debug, Clone)]
pub struct OwnAnswer {
    /// Status.
    pub status: StatusCode,
    /// When to come back, if the request did not run.
    pub retry_after: Option<Duration>,
    /// The outcome's name in logs and metrics.
    pub outcome: &'static str,
    /// Why.
    pub reason: String,
}

impl OwnAnswer {
    /// The request did not run and will not.
    pub fn not_run(outcome: &'static str, reason: impl Into<String>, retry: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(retry),
            outcome,
            reason: reason.into(),
        }
    }

    /// The request may have run.
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            retry_after: None,
            outcome: "unknown",
            reason: reason.into(),
        }
    }

    /// The request may still run, but its time is over.
    pub fn timed_out(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            retry_after: None,
            outcome: "timed_out",
            reason: reason.into(),
        }
    }
}

/// A target's whole answer.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Serves a request to a plain service.
pub async fn serve(node: &Rc<NodeState>, caller: &CallerRequest) -> ServedAnswer {
    let repeat = caller.route.repeat;
    let mut avoid: Vec<TargetName> = Vec::new();
    let mut runs = 0;
    let mut sends = 0;
    let mut arrived = false;
    let mut last = OwnAnswer::not_run("no_target", "no target takes work", BUSY_RETRY_AFTER);
    let mut failed: Option<WholeAnswer> = None;
    loop {
        let now = node.now();
        if caller.time_left(now).is_zero() {
            break;
        }
        let Some(target) = choose(node, caller, &avoid) else {
            break;
        };
        if arrived && !node.take_retry(&caller.service) {
            tracing::info!(id = caller.says.id, "retry withheld by the budget");
            break;
        }
        sends += 1;
        arrived = true;
        let another = repeat.may_repeat() && runs + 1 < caller.route.max_attempts;
        let limit = if another {
            let silent = caller.route.objective.mul_f64(SILENT_SHARE);
            silent.min(caller.time_left(now))
        } else {
            caller.time_left(now)
        };
        let result = timeout(limit, send_whole(node, caller, &target)).await;
        let outcome = result.unwrap_or_else(|_| {
            node.note_target_failure(&target.name, false, "silent");
            SendOutcome::Unknown(format!("no answer within {} ms", limit.as_millis()))
        });
        avoid.push(target.name.clone());
        match outcome {
            SendOutcome::Whole(answer) => {
                let success = answer.status.is_success();
                tracing::info!(
                    id = caller.says.id,
                    replica = %target.name,
                    status = answer.status.as_u16(),
                    send = sends,
                    "target answered"
                );
                if success || !answer.status.is_server_error() {
                    return ServedAnswer::Target(pass_on(answer));
                }
                runs += 1;
                failed = Some(answer);
            }
            SendOutcome::NotRun {
                reason,
                arrived: reached,
            } => {
                arrived = reached;
                tracing::info!(id = caller.says.id, replica = %target.name, reason, "send not run");
                if runs == 0 {
                    last = OwnAnswer::not_run("busy", reason, BUSY_RETRY_AFTER);
                }
            }
            SendOutcome::Unknown(reason) => {
                tracing::info!(id = caller.says.id, replica = %target.name, reason, "send without an answer");
                runs += 1;
                last = if caller.time_left(node.now()).is_zero() {
                    OwnAnswer::timed_out(reason)
                } else {
                    OwnAnswer::unknown(reason)
                };
            }
        }
        let exhausted =
            runs >= caller.route.max_attempts || sends >= caller.route.max_attempts + EXTRA_SENDS;
        if exhausted || (runs > 0 && !repeat.may_repeat()) {
            break;
        }
    }
    match failed {
        Some(answer) => ServedAnswer::Target(pass_on(answer)),
        None => ServedAnswer::Own(last),
    }
}

enum SendOutcome {
    Whole(WholeAnswer),
    NotRun { reason: String, arrived: bool },
    Unknown(String),
}

async fn send_whole(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    target: &TargetRecord,
) -> SendOutcome {
    let _guard = ServiceGuard::new(node, &target.name);
    let once = caller.route.repeat == RepeatRule::Once;
    let plan = AttemptPlan {
        target,
        urgency: None,
        helpers: &[],
        last_event: None,
        max_idle: if once {
            REUSE_FOR_ONCE
        } else {
            REUSE_IDEMPOTENT
        },
    };
    match send_once(node, caller, &plan).await {
        AttemptOutcome::NotRun {
            reason, arrived, ..
        } => SendOutcome::NotRun { reason, arrived },
        AttemptOutcome::Unknown { reason } => SendOutcome::Unknown(reason),
        AttemptOutcome::Answered(reply) => read_whole(node, target, *reply).await,
    }
}

async fn read_whole(
    node: &Rc<NodeState>,
    target: &TargetRecord,
    reply: TargetReply,
) -> SendOutcome {
    let mut connection = reply.connection;
    let mut body = BytesMut::new();
    loop {
        match connection.next_chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(error) => {
                node.note_target_failure(&target.name, false, &error.to_string());
                return SendOutcome::Unknown(error.to_string());
            }
        }
    }
    node.pool.borrow_mut().put(connection, node.now());
    if reply.head.status.is_server_error() {
        if let Some(health) = node.health.borrow_mut().get_mut(&target.name) {
            health.note_error();
        }
    } else {
        node.note_target_success(&target.name);
    }
    SendOutcome::Whole(WholeAnswer {
        status: reply.head.status,
        headers: passed_on(&reply.head.headers),
        body: body.freeze(),
    })
}

fn choose(node: &NodeState, caller: &CallerRequest, avoid: &[TargetName]) -> Option<TargetRecord> {
    let now = node.now();
    let catalog = node.catalog.borrow();
    let health = node.health.borrow();
    let options: Vec<TargetOption<'_>> = catalog
        .usable_targets(&caller.service, now)
        .filter(|target| !avoid.contains(&target.record.name))
        .map(|target| TargetOption {
            name: &target.record.name,
            domain: &target.record.domain,
            health: health.get(&target.record.name),
        })
        .collect();
    let turn = rand::random::<u32>().into();
    let name = choose_target(&options, &node.settings.domain, turn, now)?;
    catalog.target(name).map(|target| target.record.clone())
}

fn pass_on(answer: WholeAnswer) -> Response<BoxBody> {
    let mut response = Response::with_body(answer.status, answer.body.boxed());
    *response.headers_mut() = answer.headers;
    response
}
