//! One send of a request to one target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::ResponseHead;
use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;

use super::connection::{ExchangeError, TargetConnection, open_connection, target_request_head};
use super::state::NodeState;
use crate::fleet::catalog::TargetRecord;
use crate::fleet::routes::RouteRule;
use crate::ids::TeamName;
use crate::platform::callers::{
    CallerHeaders, SplitHelper, TargetAnswer, TargetHeaders, decode_answer, encode_target,
};

const DRAIN_TIMEOUT: Duration = Duration::from_millis(30); // a refusal's body comes with its head
const MISDIRECTED_REQUEST: u16 = 421;

/// A caller's request, read whole and matched with its route.
#[derive(Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query as sent.
    pub uri: Uri,
    /// Headers as sent.
    pub headers: HeaderMap,
    /// What they say.
    pub parsed_headers: CallerHeaders,
    /// Body.
    pub body: Bytes,
    /// The route.
    pub route: Rc<RouteRule>,
    /// The service chosen among the route's.
    pub service: String,
    /// The team that holds the key.
    pub team: Option<TeamName>,
    /// Version of the configuration that the route is from.
    pub config_version: u64,
    /// When it arrived.
    pub arrived_at: Instant,
    /// When it must be answered: the caller's deadline or the route's time-out.
    pub deadline_at: Instant,
}

impl CallerRequest {
    /// What is left of the objective at `now`.
    pub fn objective_left(&self, now: Instant) -> Duration {
        let before = self.parsed_headers.deadline;
        let before = before.map_or(Duration::ZERO, |left| self.route.spent_before(left));
        let spent = before + now.saturating_duration_since(self.arrived_at);
        self.route.objective.saturating_sub(spent)
    }

    /// What is left of the time for an answer at `now`.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline_at.saturating_duration_since(now)
    }
}

/// How a request is sent once.
#[derive(Debug)]
pub struct AttemptPlan<'a> {
    /// The target.
    pub target: &'a TargetRecord,
    /// Rank at the target.
    pub priority: Option<u8>,
    /// Targets that read parts of the prompt.
    pub helpers: &'a [SplitHelper],
    /// The event after which a stream goes on, if not the caller's own.
    pub last_event: Option<u64>,
    /// How long a kept connection may have been idle.
    pub max_idle: Duration,
}

/// What came of one send.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target's own answer; its body is still to be read.
    Answered(Box<TargetResponse>),
    /// The request did not run and will not.
    NotRun {
        /// Why, for logs.
        reason: String,
        /// The target at fault, when it is not the one asked.
        failed_target: Option<String>,
        /// Whether a target was reached, so that the send counts as one.
        reached_target: bool,
    },
    /// The request may have run.
    Unknown {
        /// Why, for logs.
        reason: String,
    },
}

/// The head of a target's answer and the connection with its body.
#[derive(Debug)]
pub struct TargetResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// What the headers say.
    pub parsed_headers: TargetAnswer,
    /// The connection.
    pub connection: TargetConnection,
}

/// Counts a request at a target while it is there.
pub struct TargetInFlightGuard {
    node: Rc<NodeState>,
    target: crate::ids::TargetName,
}

impl TargetInFlightGuard {
    /// Counts one more request at `target`.
    pub fn new(node: &Rc<NodeState>, target: &crate::ids::TargetName) -> Self {
        node.target_health
            .borrow_mut()
            .entry(target.clone())
            .or_default()
            .in_service += 1;
        Self {
            node: node.clone(),
            target: target.clone(),
        }
    }
}

impl Drop for TargetInFlightGuard {
    fn drop(&mut self) {
        if let Some(health) = self.node.target_health.borrow_mut().get_mut(&self.target) {
            health.in_service = health.in_service.saturating_sub(1);
        }
    }
}

/// Sends a request to a target and reads the head of the answer.
pub async fn send_attempt(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    plan: &AttemptPlan<'_>,
) -> AttemptOutcome {
    let now = node.now();
    let mut connection = match connect(node, plan, now).await {
        Ok(connection) => connection,
        Err(error) => {
            let refused = error.is_refused();
            node.record_target_failure(&plan.target.name, refused, &error.to_string());
            return AttemptOutcome::NotRun {
                reason: error.to_string(),
                failed_target: None,
                reached_target: false,
            };
        }
    };
    let headers = encode_target(
        &caller.headers,
        &TargetHeaders {
            target: &plan.target.name,
            team: caller.team.as_ref(),
            deadline: caller.time_left(node.now()),
            urgency: plan.priority,
            helpers: plan.helpers,
            last_event: plan.last_event,
        },
    );
    let head = target_request_head(caller.method.clone(), caller.uri.clone(), headers);
    match connection.exchange(head, &caller.body).await {
        Ok(head) => classify_response(node, caller, plan, head, connection).await,
        Err(error) => {
            node.record_target_failure(&plan.target.name, false, &error.to_string());
            AttemptOutcome::Unknown {
                reason: error.to_string(),
            }
        }
    }
}

async fn connect(
    node: &Rc<NodeState>,
    plan: &AttemptPlan<'_>,
    now: Instant,
) -> Result<TargetConnection, ExchangeError> {
    let address = plan.target.address;
    let kept = node
        .connection_pool
        .borrow_mut()
        .take(address, plan.max_idle, now);
    if let Some(connection) = kept {
        return Ok(connection);
    }
    node.metrics.connections_opened.inc();
    open_connection(address, now).await
}

async fn classify_response(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    plan: &AttemptPlan<'_>,
    head: ResponseHead,
    connection: TargetConnection,
) -> AttemptOutcome {
    let parsed_headers = decode_answer(&head.headers);
    let status = head.status.as_u16();
    if parsed_headers.id != caller.parsed_headers.id {
        // An answer to another request: nothing on this connection can be trusted.
        node.record_target_failure(&plan.target.name, false, "answer to another request");
        return AttemptOutcome::Unknown {
            reason: format!("answer to request {:?}", parsed_headers.id),
        };
    }
    if let Some(load) = parsed_headers.load {
        let now = node.now();
        if let Some(health) = node.target_health.borrow_mut().get_mut(&plan.target.name) {
            health.note_load(load.running + load.waiting, now);
        }
    }
    if parsed_headers.not_run || status == MISDIRECTED_REQUEST {
        drain_body(node, connection).await;
        if status == MISDIRECTED_REQUEST {
            node.record_target_failure(&plan.target.name, false, "another target has its address");
        }
        return AttemptOutcome::NotRun {
            reason: format!("target answered {status}, not run"),
            failed_target: parsed_headers.faulty,
            reached_target: true,
        };
    }
    let success = head.status.is_success();
    if success && (!parsed_headers.sealed || parsed_headers.encoded) {
        node.record_target_failure(
            &plan.target.name,
            false,
            "success that is not the target's own",
        );
        return AttemptOutcome::Unknown {
            reason: "success without the target's mark".to_owned(),
        };
    }
    if !parsed_headers.sealed {
        return AttemptOutcome::Unknown {
            reason: format!("target answered {status} without its mark"),
        };
    }
    AttemptOutcome::Answered(Box::new(TargetResponse {
        head,
        parsed_headers,
        connection,
    }))
}

/// Reads the rest of an answer that is of no use, to keep the connection.
async fn drain_body(node: &Rc<NodeState>, mut connection: TargetConnection) {
    let read = async {
        while let Ok(Some(_)) = connection.next_chunk().await {}
        connection
    };
    if let Ok(connection) = tokio::time::timeout(DRAIN_TIMEOUT, read).await {
        node.connection_pool
            .borrow_mut()
            .put(connection, node.now());
    }
}
