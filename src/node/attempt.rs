//! One attempt: a request sent to one target, and what is known of its execution afterwards.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::ResponseHead;
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode, Uri};
use bytes::Bytes;
use tokio::time::sleep;

use super::body_budget::BudgetShare;
use super::rate_limits::observe_limit;
use super::state::NodeState;
use super::stopping::StopWatch;
use crate::fleet::catalog::TargetRecord;
use crate::fleet::routes::RouteRule;
use crate::http_client::connection::{
    ExchangeError, HttpConnection, open_connection, target_request_head,
};
use crate::ids::{RequestDigest, TargetName, TeamName};
use crate::platform::callers::{
    CallerHeaders, SplitHelper, TargetHeaders, TargetResponseHeaders, decode_response_headers,
    encode_target_headers,
};

const DRAIN_TIMEOUT: Duration = Duration::from_millis(30); // a refusal's short body arrives with its head
const SILENCE_CHECK_DELAY: Duration = Duration::from_millis(250); // most short prompts have their first event by then
const MISDIRECTED_REQUEST: u16 = 421;

/// A caller's request after its body was read and its route found.
#[derive(Debug)]
pub struct CallerRequest {
    /// Method, sent on unchanged.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// The values of `headers` that this node acts on.
    pub parsed_headers: CallerHeaders,
    /// Complete body, within the configured limit.
    pub body: Bytes,
    /// Holds the body's memory.
    pub body_share: BudgetShare,
    /// By which the request is recognised when it comes again.
    pub digest: RequestDigest,
    /// The route that matches host and path.
    pub route: Rc<RouteRule>,
    /// The service that was picked by weight among the route's services.
    pub service: String,
    /// The team whose key the caller sent; `None` without a valid key, where the route needs none.
    pub team: Option<TeamName>,
    /// Rank of its key if that has one, otherwise of its route; 0 is the most urgent.
    pub rank: i64,
    /// Version of the configuration that `route` was read from.
    pub config_version: u64,
    /// When the head of the request was read.
    pub arrived_at: Instant,
    /// When the caller's time is over: its deadline or the route's timeout, whichever is earlier,
    /// less the time that the response takes to reach the caller.
    pub deadline_at: Instant,
    /// The stop of this node, which may come before the deadline.
    pub stop: StopWatch,
    /// Attempts by this node that have run the request or may have.
    pub possible_runs: Cell<u32>,
}

impl CallerRequest {
    /// What is left at `now` of the route's latency objective, after the time since arrival and
    /// the time that the caller spent on earlier attempts.
    pub fn objective_left(&self, now: Instant) -> Duration {
        let before = self.parsed_headers.deadline;
        let before = before.map_or(Duration::ZERO, |left| {
            self.route.time_on_earlier_attempts(left)
        });
        let spent = before + now.saturating_duration_since(self.arrived_at);
        self.route.objective.saturating_sub(spent)
    }

    /// Time left at `now` until the response is due: by the deadline, and by the time when this
    /// node must have answered all requests if it stops.
    pub fn time_left(&self, now: Instant) -> Duration {
        let answer_by = self.stop.answer_by();
        let due_at = answer_by.map_or(self.deadline_at, |at| at.min(self.deadline_at));
        due_at.saturating_duration_since(now)
    }

    /// Time left at `now` until the deadline, whether or not this node stops before it.
    pub fn deadline_left(&self, now: Instant) -> Duration {
        self.deadline_at.saturating_duration_since(now)
    }

    /// Whether the request has run or may have, here or where it was before it was carried.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs.get() > 0 || self.parsed_headers.carried_runs.unwrap_or(0) > 0
    }

    /// Counts an attempt as one that may run the request, before it is sent.
    pub fn count_possible_run(&self) {
        self.possible_runs.set(self.possible_runs.get() + 1);
    }

    /// Takes back [`Self::count_possible_run`] for an attempt that has not run and never will.
    pub fn uncount_possible_run(&self) {
        let runs = self.possible_runs.get();
        self.possible_runs.set(runs.saturating_sub(1));
    }
}

/// How one attempt is sent; differs between engines and other services.
#[derive(Debug)]
pub struct AttemptPlan<'a> {
    /// The target to send to.
    pub target: &'a TargetRecord,
    /// Priority in the target's queue, 0 first; `None` leaves the target's default.
    pub priority: Option<u8>,
    /// Targets that prefill parts of a split prompt.
    pub helpers: &'a [SplitHelper],
    /// The event after which the target resumes the stream; `None` forwards the caller's own
    /// `Last-Event-Id`.
    pub last_event_id: Option<u64>,
    /// Longest idle time after which a pooled connection may be reused.
    pub max_idle: Duration,
}

/// What is known of a request after one attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target itself responded; the body is still to be read.
    Responded(Box<TargetResponse>),
    /// The request was not executed and will not be, so it may be sent elsewhere.
    NotRun {
        /// The cause, for logs and the caller.
        reason: String,
        /// The target that failed, when it is another than the one asked.
        failed_target: Option<String>,
        /// Whether a target received the request, so that the next attempt counts as a retry.
        reached_target: bool,
    },
    /// The request may have been executed.
    Unknown {
        /// The cause, for logs and the caller.
        reason: String,
        /// Whether the connection was lost, as it is when the target crashes.
        connection_lost: bool,
    },
}

/// The head of a target's response, and the connection from which its body is read.
#[derive(Debug)]
pub struct TargetResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// The values of the headers that this node acts on.
    pub parsed_headers: TargetResponseHeaders,
    /// The connection from which the body is read next.
    pub connection: HttpConnection,
}

/// Counts a request as in flight at a target until dropped; new requests avoid busy targets.
pub struct TargetInFlightGuard {
    node: Rc<NodeState>,
    target: TargetName,
}

impl TargetInFlightGuard {
    /// Counts one more request at `target`.
    pub fn new(node: &Rc<NodeState>, target: &TargetName) -> Self {
        node.target_health
            .borrow_mut()
            .entry(target.clone())
            .or_default()
            .in_flight += 1;
        Self {
            node: node.clone(),
            target: target.clone(),
        }
    }
}

impl Drop for TargetInFlightGuard {
    fn drop(&mut self) {
        if let Some(health) = self.node.target_health.borrow_mut().get_mut(&self.target) {
            health.in_flight = health.in_flight.saturating_sub(1);
        }
    }
}

/// Sends a request to a target and reads the head of the response.
///
/// A request counts as not executed only if no connection was established, or if the target's
/// response declares it, by a header or status 421.
pub async fn send_attempt(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    plan: &AttemptPlan<'_>,
) -> AttemptOutcome {
    let now = node.now();
    let (mut connection, is_new) = match connect(node, caller, plan, now).await {
        Ok(connected) => connected,
        Err(error) => {
            node.record_exchange_failure(&plan.target.name, &error);
            return AttemptOutcome::NotRun {
                reason: error.to_string(),
                failed_target: None,
                reached_target: false,
            };
        }
    };
    let headers = encode_target_headers(
        &caller.headers,
        &TargetHeaders {
            target: &plan.target.name,
            team: caller.team.as_ref(),
            deadline: caller.time_left(node.now()),
            priority: plan.priority,
            helpers: plan.helpers,
            last_event: plan.last_event_id,
        },
    );
    let head = target_request_head(caller.method.clone(), caller.uri.clone(), headers);
    caller.count_possible_run();
    if !caller.route.rerun_policy.allows_rerun() {
        tracing::info!(
            id = caller.parsed_headers.id,
            request = %caller.digest,
            replica = %plan.target.name,
            new_connection = is_new,
            "request that runs at most once sent"
        );
    }
    let id = Some(caller.parsed_headers.id.as_str());
    let exchange = connection.exchange(id, head, &caller.body);
    match watch_silence(node, &plan.target.name, exchange).await {
        Ok(head) => {
            if is_new {
                node.paths.borrow_mut().record_answer(node.now());
            } else {
                node.paths.borrow_mut().record_received(node.now());
            }
            classify_response(node, caller, plan, head, connection, now).await
        }
        Err(error) => {
            node.record_exchange_failure(&plan.target.name, &error);
            AttemptOutcome::Unknown {
                reason: error.to_string(),
                connection_lost: error.is_lost_connection(),
            }
        }
    }
}

/// Returns a connection to the target, and whether it is new.
async fn connect(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    plan: &AttemptPlan<'_>,
    now: Instant,
) -> Result<(HttpConnection, bool), ExchangeError> {
    let address = plan.target.address;
    let id = Some(caller.parsed_headers.id.as_str());
    let pooled = node
        .connection_pool
        .borrow_mut()
        .take(address, id, plan.max_idle, now);
    if let Some(connection) = pooled {
        return Ok((connection, false));
    }
    node.metrics.connections_opened.inc();
    let opened = open_connection(address, node.settings.target_source, now).await?;
    Ok((opened, true))
}

/// Waits for an answer, and has the path to the target checked if it does not come soon.
async fn watch_silence<T>(
    node: &Rc<NodeState>,
    target: &TargetName,
    answer: impl Future<Output = T>,
) -> T {
    tokio::pin!(answer);
    tokio::select! {
        answer = &mut answer => return answer,
        () = sleep(SILENCE_CHECK_DELAY) => {}
    }
    node.paths.borrow_mut().record_silence(target);
    answer.await
}

async fn classify_response(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    plan: &AttemptPlan<'_>,
    head: ResponseHead,
    connection: HttpConnection,
    sent_at: Instant,
) -> AttemptOutcome {
    let parsed_headers = decode_response_headers(&head.headers);
    if parsed_headers.leaving {
        node.record_target_leaving(plan.target);
    }
    let status = head.status.as_u16();
    if parsed_headers.id != caller.parsed_headers.id {
        // The response belongs to another request, so the connection's framing is out of step;
        // it is dropped, and this request may have been executed.
        node.record_target_failure(&plan.target.name, false, "answer to another request");
        return AttemptOutcome::Unknown {
            reason: format!("answer to request {:?}", parsed_headers.id),
            connection_lost: false,
        };
    }
    if status != MISDIRECTED_REQUEST {
        observe_limit(node, plan.target, &parsed_headers, sent_at);
    }
    if let Some(load) = parsed_headers.load {
        let now = node.now();
        if let Some(health) = node.target_health.borrow_mut().get_mut(&plan.target.name) {
            health.record_load(load.running + load.waiting, now);
        }
    }
    if status == StatusCode::SERVICE_UNAVAILABLE.as_u16()
        && let Some(pause) = parsed_headers.pause
    {
        node.record_pause(plan.target, pause);
    }
    if parsed_headers.not_run || status == MISDIRECTED_REQUEST {
        caller.uncount_possible_run();
        drain_body(node, connection).await;
        if status == MISDIRECTED_REQUEST {
            node.record_target_failure(&plan.target.name, false, "another target has its address");
        }
        return AttemptOutcome::NotRun {
            reason: format!("target answered {status}, not run"),
            failed_target: parsed_headers.failed_target,
            reached_target: true,
        };
    }
    if !caller.route.rerun_policy.allows_rerun() && promises_not_run(head.status) {
        return AttemptOutcome::Unknown {
            reason: format!("target answered {status} without stating that it did not run it"),
            connection_lost: false,
        };
    }
    // Targets set the seal header on responses of their own and never encode the body; another
    // success may come from something else at their address.
    let success = head.status.is_success();
    if success && (!parsed_headers.has_seal || parsed_headers.encoded) {
        node.record_target_failure(
            &plan.target.name,
            false,
            "success that is not the target's own",
        );
        return AttemptOutcome::Unknown {
            reason: "success without the target's mark".to_owned(),
            connection_lost: false,
        };
    }
    if !parsed_headers.has_seal {
        return AttemptOutcome::Unknown {
            reason: format!("target answered {status} without its mark"),
            connection_lost: false,
        };
    }
    AttemptOutcome::Responded(Box::new(TargetResponse {
        head,
        parsed_headers,
        connection,
    }))
}

/// Whether callers take a status for the promise that the request has not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Discards the rest of a response so that its connection can be reused.
async fn drain_body(node: &Rc<NodeState>, mut connection: HttpConnection) {
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
