//! Requests that another VM carries because this one has lost its paths to all targets.
//!
//! The other VM serves them like a caller's own, so that limits, pauses, bans and placement hold. A
//! request is passed on once: a VM without paths refuses what another one sends it.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{Response, ResponseHead, StatusCode};
use tokio::time::timeout;

use super::attempt::CallerRequest;
use super::generation::{new_placement_request, stream_response};
use super::relay::{EventBuffer, StreamRelay, StreamSource, TargetStream};
use super::service::{NodeResponse, ServedResponse};
use super::state::NodeState;
use crate::fleet::members::MemberRecord;
use crate::http_client::connection::{
    ExchangeError, HttpConnection, open_connection, target_request_head,
};
use crate::ids::VmName;
use crate::platform::callers::{
    CarrierHeaders, decode_response_headers, encode_carrier_headers, forwarded_headers,
};
use crate::policy::carrier_choice::{CarrierCandidate, choose_carrier};

const MAX_CARRIERS_TRIED: usize = 3;
const CARRIER_MAX_IDLE: Duration = Duration::from_secs(4);
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(300); // if a pooled connection is reset, it is unknown whether the request was executed
const NO_PATH_RETRY_AFTER: Duration = Duration::from_secs(1); // two probes of this VM and a heartbeat of another

/// Result of sending a request to VMs that reach targets.
pub type Result<T> = std::result::Result<T, CarryFailure>;

/// Counts a request as carried by a VM until dropped.
pub struct CarriedGuard {
    node: Rc<NodeState>,
    vm: VmName,
}

impl CarriedGuard {
    fn new(node: &Rc<NodeState>, vm: &VmName) -> Self {
        *node.carried.borrow_mut().entry(vm.clone()).or_default() += 1;
        let (node, vm) = (node.clone(), vm.clone());
        Self { node, vm }
    }
}

impl Drop for CarriedGuard {
    fn drop(&mut self) {
        let mut carried = self.node.carried.borrow_mut();
        if let Some(count) = carried.get_mut(&self.vm) {
            *count -= 1;
            if *count == 0 {
                carried.remove(&self.vm);
            }
        }
    }
}

/// The head of a carrier's response, and the connection from which its body is read.
pub struct CarrierResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// The connection from which the body is read next.
    pub connection: HttpConnection,
    /// The VM that carries the request.
    pub vm: VmName,
    /// Counts the request as carried.
    pub guard: CarriedGuard,
}

/// What is known of a request after it was sent to a carrier.
enum CarrierOutcome {
    Responded(Box<CarrierResponse>),
    NotRun(String),
    Unknown(String),
}

/// Serves a request through another VM, if this one has lost its paths or uses them only for some
/// requests since; `None` if this VM is to serve it itself.
///
/// `runs` is how often the request may have run already, and `is_retry` whether sending it draws on
/// the retry budget.
pub async fn carry_if_lost(
    node: &Rc<NodeState>,
    caller: &Rc<CallerRequest>,
    runs: u32,
    is_retry: bool,
) -> Option<ServedResponse> {
    let (own_share, are_lost) = {
        let paths = node.paths.borrow();
        (paths.own_share(node.now()), paths.are_lost())
    };
    if own_share >= 1.0 || rand::random::<f64>() < own_share {
        return None;
    }
    if let Some(carried_runs) = caller.parsed_headers.carried_runs {
        return are_lost.then(|| ServedResponse::Node(refuse_carried(runs > carried_runs)));
    }
    if is_retry && !node.try_take_retry(&caller.service) {
        return None;
    }
    match send(node, caller, runs, None).await {
        Ok(response) => Some(forward_response(node, caller, runs, response).await),
        Err(failure) if failure.runs > 0 => {
            Some(ServedResponse::Node(NodeResponse::unknown(failure.reason)))
        }
        Err(failure) => are_lost.then(|| {
            let refusal = NodeResponse::not_run("no_path", failure.reason, NO_PATH_RETRY_AFTER);
            ServedResponse::Node(refusal)
        }),
    }
}

/// Why no VM answered a request that was to be carried.
#[derive(Debug)]
pub struct CarryFailure {
    /// How often the request may have run.
    pub runs: u32,
    /// The cause, for logs and the caller.
    pub reason: String,
}

/// Attempts that may have run the request once a carrier has taken it: all that are left, since the
/// carrier makes them.
fn attempts_after_carrier(caller: &CallerRequest, runs: u32) -> u32 {
    caller.route.max_attempts.max(runs + 1)
}

/// Sends a request to VMs that reach targets, until one takes it.
///
/// # Errors
///
/// Fails when no VM answers; then tells whether the request may have run.
pub async fn send(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    runs: u32,
    last_event: Option<u64>,
) -> Result<CarrierResponse> {
    let mut tried: Vec<VmName> = Vec::new();
    let mut reason = "this VM reaches no target, and no other VM does".to_owned();
    while tried.len() < MAX_CARRIERS_TRIED && !caller.time_left(node.now()).is_zero() {
        let Some(carrier) = choose(node, &tried) else {
            break;
        };
        tried.push(carrier.vm.clone());
        match send_to(node, caller, &carrier, runs, last_event).await {
            CarrierOutcome::Responded(response) => {
                node.metrics.carried.inc();
                tracing::info!(id = caller.parsed_headers.id, carrier = %carrier.vm, status = response.head.status.as_u16(), "carried by another VM");
                return Ok(*response);
            }
            CarrierOutcome::NotRun(cause) => {
                tracing::info!(id = caller.parsed_headers.id, carrier = %carrier.vm, reason = cause, "not carried");
                reason = cause;
            }
            CarrierOutcome::Unknown(cause) => {
                tracing::info!(id = caller.parsed_headers.id, carrier = %carrier.vm, reason = cause, "carrier did not answer");
                return Err(CarryFailure {
                    runs: attempts_after_carrier(caller, runs),
                    reason: cause,
                });
            }
        }
    }
    Err(CarryFailure { runs, reason })
}

fn choose(node: &NodeState, tried: &[VmName]) -> Option<MemberRecord> {
    let members = node.members.borrow();
    let carried = node.carried.borrow();
    let mut carriers = members.carriers(node.now());
    carriers.retain(|member| !tried.contains(&member.vm));
    let candidates: Vec<CarrierCandidate<'_>> = carriers
        .iter()
        .map(|member| CarrierCandidate {
            vm: &member.vm,
            domain: &member.domain,
            carried: carried.get(&member.vm).copied().unwrap_or(0),
        })
        .collect();
    let chosen = choose_carrier(
        &candidates,
        &node.settings.domain,
        rand::random::<u16>().into(),
    )?;
    let chosen = carriers.iter().find(|member| member.vm == *chosen);
    chosen.map(|member| (*member).clone())
}

async fn send_to(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    carrier: &MemberRecord,
    runs: u32,
    last_event: Option<u64>,
) -> CarrierOutcome {
    let guard = CarriedGuard::new(node, &carrier.vm);
    let mut connection = match connect(node, caller, carrier).await {
        Ok(connection) => connection,
        Err(error) => {
            mark_suspect(node, carrier);
            return CarrierOutcome::NotRun(error.to_string());
        }
    };
    let now = node.now();
    let headers = encode_carrier_headers(
        &caller.headers,
        &CarrierHeaders {
            key: caller.parsed_headers.key.as_deref(),
            deadline: caller.time_left(now),
            runs,
            last_event,
        },
    );
    let head = target_request_head(caller.method.clone(), caller.uri.clone(), headers);
    let time_left = caller.time_left(now);
    let id = Some(caller.parsed_headers.id.as_str());
    caller.count_possible_run();
    let exchanged = timeout(time_left, connection.exchange(id, head, &caller.body)).await;
    let head = match exchanged {
        Ok(Ok(head)) => head,
        Ok(Err(error)) => {
            mark_suspect(node, carrier);
            return CarrierOutcome::Unknown(error.to_string());
        }
        Err(_) => {
            let waited_ms = time_left.as_millis();
            return CarrierOutcome::Unknown(format!("no answer within {waited_ms} ms"));
        }
    };
    let parsed_headers = decode_response_headers(&head.headers);
    if parsed_headers.id != caller.parsed_headers.id {
        return CarrierOutcome::Unknown(format!("answer to request {:?}", parsed_headers.id));
    }
    // A carrier that reaches no target either, stops, or does not know the route or key yet.
    let is_rejection = matches!(
        head.status,
        StatusCode::MISDIRECTED_REQUEST
            | StatusCode::NOT_FOUND
            | StatusCode::UNAUTHORIZED
            | StatusCode::FORBIDDEN
    );
    if is_rejection && !parsed_headers.has_seal {
        caller.uncount_possible_run();
        return CarrierOutcome::NotRun(format!("carrier answered {}", head.status.as_u16()));
    }
    CarrierOutcome::Responded(Box::new(CarrierResponse {
        head,
        connection,
        vm: carrier.vm.clone(),
        guard,
    }))
}

async fn connect(
    node: &NodeState,
    caller: &CallerRequest,
    carrier: &MemberRecord,
) -> std::result::Result<HttpConnection, ExchangeError> {
    let max_idle = if caller.route.rerun_policy.allows_rerun() {
        CARRIER_MAX_IDLE
    } else {
        NON_IDEMPOTENT_MAX_IDLE
    };
    let (address, now) = (carrier.caller_address, node.now());
    let id = Some(caller.parsed_headers.id.as_str());
    let pooled = node
        .connection_pool
        .borrow_mut()
        .take(address, id, max_idle, now);
    match pooled {
        Some(connection) => Ok(connection),
        None => open_connection(address, None, now).await,
    }
}

fn mark_suspect(node: &NodeState, carrier: &MemberRecord) {
    let now = node.now();
    node.members.borrow_mut().mark_suspect(&carrier.vm, now);
}

async fn forward_response(
    node: &Rc<NodeState>,
    caller: &Rc<CallerRequest>,
    runs: u32,
    response: CarrierResponse,
) -> ServedResponse {
    let CarrierResponse {
        head,
        mut connection,
        vm,
        guard,
    } = response;
    if head.status.is_success() && caller.route.rerun_policy.is_stream() {
        let stream = TargetStream {
            connection,
            source: StreamSource::Carrier { vm, _guard: guard },
        };
        let relay = StreamRelay::new(
            node.clone(),
            caller.clone(),
            new_placement_request(node, caller),
            stream,
            EventBuffer::default(),
            attempts_after_carrier(caller, runs),
        );
        return ServedResponse::Carried(stream_response(&head, relay));
    }
    match connection.read_body(&node.body_budget).await {
        Ok(body) => {
            let now = node.now();
            node.connection_pool.borrow_mut().put(connection, now);
            let mut response = Response::with_body(head.status, body.boxed());
            *response.headers_mut() = forwarded_headers(&head.headers);
            ServedResponse::Carried(response)
        }
        Err(error) => ServedResponse::Node(NodeResponse::unknown(error.to_string())),
    }
}

/// Refuses a request that another VM sent because it reaches no target, as this one does not either. The
/// other VM makes the attempts again only where none of this one's may have run it.
fn refuse_carried(may_have_run: bool) -> NodeResponse {
    if may_have_run {
        return NodeResponse::unknown("this VM lost its paths after an attempt without an answer");
    }
    NodeResponse {
        status: StatusCode::MISDIRECTED_REQUEST,
        retry_after: None,
        keeps_retry_time: false,
        outcome: "no_path",
        reason: "this VM reaches no target".to_owned(),
    }
}

/// Whether a request that was sent to a target may go on through another VM.
pub fn may_move(node: &NodeState, caller: &CallerRequest) -> bool {
    is_movable(caller) && *node.paths_lost.borrow()
}

fn is_movable(caller: &CallerRequest) -> bool {
    caller.route.rerun_policy.allows_rerun() && caller.parsed_headers.carried_runs.is_none()
}

/// Waits until this VM has lost its paths; for ever if `caller`'s request may not move to another VM.
pub async fn lose_paths(node: &NodeState, caller: &CallerRequest) {
    if !is_movable(caller) {
        return std::future::pending().await;
    }
    let mut lost = node.paths_lost.subscribe();
    if lost.wait_for(|lost| *lost).await.is_err() {
        std::future::pending::<()>().await;
    }
}
