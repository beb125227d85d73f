//! One send of a request to one target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::ResponseHead;
use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;

use super::connection::{ExchangeError, TargetConnection, open_connection, target_head};
use super::state::NodeState;
use crate::fleet::catalog::TargetRecord;
use crate::fleet::routes::RouteRule;
use crate::ids::TeamName;
use crate::platform::callers::{
    CallerHeaders, SplitHelper, TargetAnswer, TargetHeaders, decode_answer, encode_target,
};

const DRAIN_WITHIN: Duration = Duration::from_millis(30); // a refusal's body comes with its head
const MISDIRECTED: u16 = 421;

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
    pub says: CallerHeaders,
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
    pub arrived: Instant,
    /// When it must be answered: the caller's deadline or the route's time-out.
    pub ends: Instant,
}

impl CallerRequest {
    /// What is left of the objective at `now`.
    pub fn objective_left(&self, now: Instant) -> Duration {
        let before = self.says.deadline;
        let before = before.map_or(Duration::ZERO, |left| self.route.spent_before(left));
        let spent = before + now.saturating_duration_since(self.arrived);
        self.route.objective.saturating_sub(spent)
    }

    /// What is left of the time for an answer at `now`.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.ends.saturating_duration_since(now)
    }
}

/// How a request is sent once.
#[derive(Debug)]
pub struct AttemptPlan<'a> {
    /// The target.
    pub target: &'a TargetRecord,
    /// Rank at the target.
    pub urgency: Option<u8>,
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
    Answered(Box<TargetReply>),
    /// The request did not run and will not.
    NotRun {
        /// Why, for logs.
        reason: String,
        /// The target at fault, when it is not the one asked.
        faulty: Option<String>,
        /// Whether a target was reached, so that the send counts as one.
        arrived: bool,
    },
    /// The request may have run.
    Unknown {
        /// Why, for logs.
        reason: String,
    },
}

/// The head of a target's answer and the connection with its body.
#[derive(Debug)]
pub struct TargetReply {
    /// Status and headers.
    pub head: ResponseHead,
    /// What the headers say.
    pub says: TargetAnswer,
    /// The connection.
    pub connection: TargetConnection,
}

/// Counts a request at a target while it is there.
pub struct ServiceGuard {
    node: Rc<NodeState>,
    target: crate::ids::TargetName,
}

impl ServiceGuard {
    /// Counts one more request at `target`.
    pub fn new(node: &Rc<NodeState>, target: &crate::ids::TargetName) -> Self {
        node.health
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

impl Drop for ServiceGuard {
    fn drop(&mut self) {
        if let Some(health) = self.node.health.borrow_mut().get_mut(&self.target) {
            health.in_service = health.in_service.saturating_sub(1);
        }
    }
}

/// Sends a request to a target and reads the head of the answer.
pub async fn send_once(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    plan: &AttemptPlan<'_>,
) -> AttemptOutcome {
    let now = node.now();
    let mut connection = match connect(node, plan, now).await {
        Ok(connection) => connection,
        Err(error) => {
            let refused = error.is_refused();
            node.note_target_failure(&plan.target.name, refused, &error.to_string());
            return AttemptOutcome::NotRun {
                reason: error.to_string(),
                faulty: None,
                arrived: false,
            };
        }
    };
    let headers = encode_target(
        &caller.headers,
        &TargetHeaders {
            target: &plan.target.name,
            team: caller.team.as_ref(),
            deadline: caller.time_left(node.now()),
            urgency: plan.urgency,
            helpers: plan.helpers,
            last_event: plan.last_event,
        },
    );
    let head = target_head(caller.method.clone(), caller.uri.clone(), headers);
    match connection.exchange(head, &caller.body).await {
        Ok(head) => judge_answer(node, caller, plan, head, connection).await,
        Err(error) => {
            node.note_target_failure(&plan.target.name, false, &error.to_string());
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
    let kept = node.pool.borrow_mut().take(address, plan.max_idle, now);
    if let Some(connection) = kept {
        return Ok(connection);
    }
    node.metrics.connections_opened.inc();
    open_connection(address, now).await
}

async fn judge_answer(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    plan: &AttemptPlan<'_>,
    head: ResponseHead,
    connection: TargetConnection,
) -> AttemptOutcome {
    let says = decode_answer(&head.headers);
    let status = head.status.as_u16();
    if says.id != caller.says.id {
        // An answer to another request: nothing on this connection can be trusted.
        node.note_target_failure(&plan.target.name, false, "answer to another request");
        return AttemptOutcome::Unknown {
            reason: format!("answer to request {:?}", says.id),
        };
    }
    if let Some(load) = says.load {
        let now = node.now();
        if let Some(health) = node.health.borrow_mut().get_mut(&plan.target.name) {
            health.note_load(load.running + load.waiting, now);
        }
    }
    if says.not_run || status == MISDIRECTED {
        drain(node, connection).await;
        if status == MISDIRECTED {
            node.note_target_failure(&plan.target.name, false, "another target has its address");
        }
        return AttemptOutcome::NotRun {
            reason: format!("target answered {status}, not run"),
            faulty: says.faulty,
            arrived: true,
        };
    }
    let success = head.status.is_success();
    if success && (!says.sealed || says.encoded) {
        node.note_target_failure(
            &plan.target.name,
            false,
            "success that is not the target's own",
        );
        return AttemptOutcome::Unknown {
            reason: "success without the target's mark".to_owned(),
        };
    }
    if !says.sealed {
        return AttemptOutcome::Unknown {
            reason: format!("target answered {status} without its mark"),
        };
    }
    AttemptOutcome::Answered(Box::new(TargetReply {
        head,
        says,
        connection,
    }))
}

/// Reads the rest of an answer that is of no use, to keep the connection.
async fn drain(node: &Rc<NodeState>, mut connection: TargetConnection) {
    let read = async {
        while let Ok(Some(_)) = connection.next_chunk().await {}
        connection
    };
    if let Ok(connection) = tokio::time::timeout(DRAIN_WITHIN, read).await {
        node.pool.borrow_mut().put(connection, node.now());
    }
}
