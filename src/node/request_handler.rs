//! Receives callers' requests, finds their route and team, and passes them to a service.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage, Request, Response, StatusCode, Version};
use bytes::Bytes;
use tokio::time::sleep;

use super::attempt::CallerRequest;
use super::body_budget::{BodyError, BudgetShare, read_body};
use super::run_claims::ClaimGuard;
use super::service::{NodeResponse, ServedResponse};
use super::state::NodeState;
use super::stopping::{
    lacks_time, overdue_response, refuse_for_stop, wait_until_all_due, wait_until_due,
    wait_until_unservable,
};
use super::{generation, service};
use crate::fleet::routes::{KeyTeam, RouteRule, RouteTable};
use crate::ids::{RequestDigest, TeamName};
use crate::platform::callers::{CallerHeaders, decode_caller_headers, node_response_headers};

const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
const RETRY_AFTER_ROUNDING: f64 = 0.005; // so that rounding to hundredths tells no caller to return early
const RETRY_AFTER_JITTER: std::ops::Range<f64> = 0.85..1.25; // spreads the retries of callers refused together
const MAX_BODY_TIME: Duration = Duration::from_secs(60); // to receive a body, without a deadline of the caller
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1); // a body is held until its response is complete
const RESPONSE_MARGIN: Duration = Duration::from_millis(20); // time for the response to reach the caller

struct InFlightGuard(Rc<NodeState>);

impl InFlightGuard {
    fn new(node: &Rc<NodeState>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        node.metrics.in_flight.inc();
        Self(node.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.dec();
    }
}

/// Serves one request of a caller, and logs a response that comes from this node itself.
pub async fn handle(node: Rc<NodeState>, mut request: Request) -> Response<BoxBody> {
    let in_flight = InFlightGuard::new(&node);
    let parsed_headers = decode_caller_headers(request.headers());
    let table = node.catalog.borrow().table().cloned();
    let route = table
        .as_deref()
        .and_then(|table| find_route(&request, table));
    let is_stream = |route: &RouteRule| route.rerun_policy.is_stream();
    let is_chunked =
        request.head().version >= Version::HTTP_11 && route.as_deref().is_some_and(is_stream);
    let served = read_and_serve(&node, &mut request, parsed_headers.clone(), table, route).await;
    let mut response = match served {
        ServedResponse::Target(response) | ServedResponse::Carried(response) => response,
        ServedResponse::Node(node_response) => {
            tracing::info!(
                id = parsed_headers.id,
                status = node_response.status.as_u16(),
                outcome = node_response.outcome,
                reason = node_response.reason,
                "answered by this node"
            );
            encode_node_response(&parsed_headers.id, &node_response)
        }
    };
    if node.stop.has_begun() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response.map_body(|_, body| {
        let counted_body = CountedBody {
            body,
            is_chunked,
            _guard: in_flight,
        };
        counted_body.boxed()
    })
}

/// The body of a response, which counts its request as in flight until it is sent.
///
/// Callers of streams get every response in chunks, refusals too, so that its last chunk tells them
/// in one way whether it is complete.
struct CountedBody {
    body: BoxBody,
    is_chunked: bool,
    _guard: InFlightGuard,
}

impl MessageBody for CountedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        match self.body.size() {
            BodySize::Sized(_) if self.is_chunked => BodySize::Stream,
            size => size,
        }
    }

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Self::Error>>> {
        std::pin::Pin::new(&mut self.body).poll_next(cx)
    }
}

/// Logs and counts a request whose caller closes its connection before the response is decided.
struct UndecidedRequest<'a> {
    node: &'a Rc<NodeState>,
    caller: &'a CallerRequest,
    is_decided: bool,
}

impl Drop for UndecidedRequest<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let Self { node, caller, .. } = self;
        let elapsed = node.now().saturating_duration_since(caller.arrived_at);
        tracing::info!(
            id = caller.parsed_headers.id,
            request = %caller.digest,
            route = caller.route.name,
            possible_runs = caller.possible_runs.get(),
            elapsed_ms = elapsed.as_millis() as u64,
            "caller left before its response"
        );
        node.metrics
            .count_outcome(&caller.route.name, "caller_left");
    }
}

async fn read_and_serve(
    node: &Rc<NodeState>,
    request: &mut Request,
    parsed_headers: CallerHeaders,
    table: Option<Rc<RouteTable>>,
    route: Option<Rc<RouteRule>>,
) -> ServedResponse {
    let arrived_at = node.now();
    let is_carried = parsed_headers.carried_runs.is_some();
    node.last_request_at.set(arrived_at);
    let Some(table) = table else {
        return from_node(NodeResponse::not_run(
            "no_config",
            "no configuration is known yet",
            NO_CONFIG_RETRY_AFTER,
        ));
    };
    let body = tokio::select! {
        body = read_request_body(node, request, table.limits.body_bytes) => body,
        () = wait_until_all_due(node) => Err(refuse_for_stop(node, is_carried)),
        () = sleep(parsed_headers.deadline.unwrap_or(MAX_BODY_TIME)) => Err(reject(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            "the body did not arrive in the request's time; send it again",
        )),
    };
    let (body, body_share) = match body {
        Ok(body) => body,
        Err(rejection) => return from_node(rejection),
    };
    let Some(route) = route else {
        return from_node(reject(StatusCode::NOT_FOUND, "no_route", "no such route"));
    };
    let key_team = match find_team(&table, &route, &parsed_headers) {
        Ok(key_team) => key_team,
        Err(rejection) => return from_node(rejection),
    };
    let rank = key_team.and_then(|key_team| key_team.priority);
    let team = key_team.map(|key_team| key_team.team.clone());
    let time_allowed = parsed_headers
        .deadline
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let service = choose_service(&route);
    let path = request.uri().path_and_query().map(|path| path.as_str());
    let digest = RequestDigest::of(
        request.method().as_str(),
        path.unwrap_or_default(),
        team.as_ref().map(TeamName::as_str),
        &parsed_headers.shared_parts,
        &body,
    );
    let caller = Rc::new(CallerRequest {
        digest,
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers: request.headers().clone(),
        parsed_headers,
        body,
        body_share,
        service,
        team,
        rank: rank.unwrap_or(route.priority),
        config_version: table.version,
        arrived_at,
        deadline_at: arrived_at + time_allowed.saturating_sub(RESPONSE_MARGIN),
        stop: node.stop.subscribe(),
        possible_runs: Cell::new(0),
        route,
    });
    if lacks_time(node, &caller, node.now()) {
        return from_node(refuse_for_stop(node, is_carried));
    }
    if caller.parsed_headers.carried_runs.is_none() {
        node.count_request(&caller.service);
    }
    serve_until_deadline(node, &table, caller).await
}

async fn serve_until_deadline(
    node: &Rc<NodeState>,
    table: &RouteTable,
    caller: Rc<CallerRequest>,
) -> ServedResponse {
    let is_engine = table
        .services
        .get(&caller.service)
        .is_some_and(|service| service.engine.is_some());
    let is_carried = caller.parsed_headers.carried_runs.is_some();
    let mut claim = ClaimGuard::new(node, &caller);
    let served = async {
        if let Err(refusal) = claim.take().await {
            return from_node(refusal);
        }
        if is_engine && caller.route.rerun_policy.is_stream() {
            generation::serve(node, &caller).await
        } else {
            service::serve(node, &caller).await
        }
    };
    let mut undecided = UndecidedRequest {
        node,
        caller: &caller,
        is_decided: false,
    };
    let response = tokio::select! {
        biased;
        response = served => response,
        () = wait_until_due(node, &caller) => from_node(overdue_response(node, &caller)),
        () = wait_until_unservable(node, &caller) => from_node(refuse_for_stop(node, is_carried)),
    };
    claim.settle(response.status()).await;
    undecided.is_decided = true;
    drop(undecided);
    let outcome = match &response {
        ServedResponse::Target(response) if response.status().is_success() => "served",
        ServedResponse::Target(_) => "failed_by_target",
        ServedResponse::Carried(_) => "carried",
        ServedResponse::Node(response) => response.outcome,
    };
    let elapsed = node.now().saturating_duration_since(caller.arrived_at);
    node.metrics.count_outcome(&caller.route.name, outcome);
    if !caller.route.rerun_policy.is_stream() {
        node.metrics
            .observe_answer(&caller.route.name, elapsed.as_secs_f64());
    }
    tracing::info!(
        id = caller.parsed_headers.id,
        request = %caller.digest,
        route = caller.route.name,
        service = caller.service,
        team = caller.team.as_ref().map(|team| team.as_str()),
        config_version = caller.config_version,
        outcome,
        elapsed_ms = elapsed.as_millis() as u64,
        "request decided"
    );
    response
}

fn from_node(response: NodeResponse) -> ServedResponse {
    ServedResponse::Node(response)
}

fn reject(status: StatusCode, outcome: &'static str, reason: &str) -> NodeResponse {
    NodeResponse {
        status,
        retry_after: None,
        keeps_retry_time: false,
        outcome,
        reason: reason.to_owned(),
    }
}

fn find_route(request: &Request, table: &RouteTable) -> Option<Rc<RouteRule>> {
    let host_header = request
        .headers()
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let host = host_header.or_else(|| request.uri().host())?;
    table.find_route(host, request.path())
}

fn find_team<'a>(
    table: &'a RouteTable,
    route: &RouteRule,
    parsed_headers: &CallerHeaders,
) -> Result<Option<&'a KeyTeam>, NodeResponse> {
    let team_key = parsed_headers
        .key
        .as_ref()
        .and_then(|key| table.keys.get(key));
    match team_key {
        Some(team_key) => Ok(Some(team_key)),
        None if !table.keys_required || route.public => Ok(None),
        None => Err(reject(
            StatusCode::UNAUTHORIZED,
            "unknown_key",
            "the key is not known",
        )),
    }
}

/// Picks one of a route's services at random, by weight.
fn choose_service(route: &RouteRule) -> String {
    let total: f64 = route.services.iter().map(|choice| choice.weight).sum();
    let mut remaining_weight = rand::random::<f64>() * total;
    for choice in &route.services {
        remaining_weight -= choice.weight;
        if remaining_weight < 0.0 {
            return choice.service.clone();
        }
    }
    route
        .services
        .iter()
        .rev()
        .find(|choice| choice.weight > 0.0)
        .or(route.services.last())
        .map(|choice| choice.service.clone())
        .unwrap_or_default()
}

async fn read_request_body(
    node: &NodeState,
    request: &mut Request,
    limit: usize,
) -> Result<(Bytes, BudgetShare), NodeResponse> {
    let length = request
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let payload = request.take_payload();
    let read = read_body(&node.request_budget, limit, length, payload).await;
    read.map_err(|error| match error {
        BodyError::TooLarge => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            reject(status, "body_too_large", "shorten the body")
        }
        BodyError::NoMemory => {
            NodeResponse::not_run("memory", error.to_string(), MEMORY_RETRY_AFTER)
        }
        BodyError::Unreadable(reason) => {
            reject(StatusCode::BAD_REQUEST, "unreadable_body", &reason)
        }
    })
}

fn encode_node_response(id: &str, node_response: &NodeResponse) -> Response<BoxBody> {
    let text = format!("{}: {}\n", node_response.outcome, node_response.reason);
    let mut response = Response::with_body(node_response.status, text.boxed());
    let headers = response.headers_mut();
    *headers = node_response_headers(id);
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(delay) = node_response.retry_after {
        let seconds = if node_response.keeps_retry_time {
            delay.as_secs_f64() + RETRY_AFTER_ROUNDING
        } else {
            delay.as_secs_f64() * rand::random_range(RETRY_AFTER_JITTER)
        };
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.2}")) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
