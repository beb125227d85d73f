//! Requests for streams from model engines: the owner of placement picks the engines, and this node
//! sends the request and starts the stream to the caller.

use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::body::{BoxBody, MessageBody};
use tokio::time::timeout;

use super::attempt::{
    AttemptOutcome, AttemptPlan, CallerRequest, TargetInFlightGuard, TargetResponse, send_attempt,
};
use super::carrying::{carry_if_lost, lose_paths};
use super::crash_bans::{part_names, refuse_banned, report_broken};
use super::engine_paces::known_pace;
use super::messages::JobUpdate;
use super::placement::{JobGuard, PlacementOutcome, place, record_update};
use super::read_ahead::StreamBody;
use super::relay::{
    ENDED_BEFORE_FIRST_EVENT, EventBuffer, StreamRelay, StreamSource, TargetStream,
};
use super::reservations::Reservations;
use super::service::{NodeResponse, ServedResponse};
use super::state::NodeState;
use super::stopping::{self, is_other_vm_ready, lacks_time, refuse_for_stop};
use crate::ids::TargetName;
use crate::platform::callers::{SplitHelper, forwarded_headers};
use crate::policy::dispatch::{
    DispatchAnswer, EnginePlacement, PlacementRequest, RefusalReason, RequestRank,
};
use crate::policy::return_promises::CallerPrompt;

const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(150); // time for the first event to reach the caller
const MAX_EXTRA_ATTEMPTS: u32 = 6; // beyond the route's max_attempts, for engines that did not execute the request; a lost domain refuses several in a row
const ENGINE_MAX_IDLE: Duration = Duration::from_secs(4);
const FIRST_EVENT_FACTOR: f64 = 2.0; // of the predicted time
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(700); // the engine may prefill a part of another long prompt first
const FIRST_EVENT_SHARE: f64 = 0.55; // of the time after which the caller gives up; a second engine needs the rest
const PLACEMENT_RETRY_AFTER: Duration = Duration::from_millis(300);
const SHORT_PROMPT_PRIORITY: u8 = 0;
const LONG_PROMPT_PRIORITY: u8 = 3;
const MAX_SHORT_PROMPT_TOKENS: u64 = 16_000; // an engine prefills this in under 100 ms

/// An attempt without a first event in time, kept in case no other engine takes the request.
struct SilentAttempt {
    start: Pin<Box<dyn Future<Output = StreamStart>>>,
    placement_request: PlacementRequest,
}

/// Serves a request for a stream from a model engine.
///
/// If an engine sends no first event in time, the request goes to another one; if no other
/// engine answers, this waits for the silent one.
pub async fn serve(node: &Rc<NodeState>, caller: &Rc<CallerRequest>) -> ServedResponse {
    let mut silent_attempt = None;
    let served = place_and_send(node, caller, &mut silent_attempt).await;
    let (ServedResponse::Node(node_response), Some(silent_attempt)) = (&served, silent_attempt)
    else {
        return served;
    };
    tracing::info!(
        id = caller.parsed_headers.id,
        reason = node_response.reason,
        "waiting for the silent target"
    );
    match silent_attempt.start.await {
        StreamStart::Running {
            response_head,
            stream,
            buffer,
        } => {
            // No attempts are left, so that the stream is not resumed at another target.
            let runs = caller.route.max_attempts;
            let relay = start_relay(
                node,
                caller,
                silent_attempt.placement_request,
                *stream,
                buffer,
                runs,
            );
            ServedResponse::Target(stream_response(&response_head, relay))
        }
        StreamStart::Failed(response) => ServedResponse::Target(response),
        StreamStart::NotRun { .. } | StreamStart::Unknown { .. } => served,
    }
}

fn start_relay(
    node: &Rc<NodeState>,
    caller: &Rc<CallerRequest>,
    placement_request: PlacementRequest,
    stream: TargetStream,
    buffer: EventBuffer,
    runs: u32,
) -> StreamRelay {
    let elapsed = node.now().saturating_duration_since(caller.arrived_at);
    tracing::info!(
        id = caller.parsed_headers.id,
        replica = %stream.source,
        first_event_ms = elapsed.as_millis() as u64,
        objective_ms = caller.route.objective.as_millis() as u64,
        "first event"
    );
    node.metrics
        .observe_answer(&caller.route.name, elapsed.as_secs_f64());
    StreamRelay::new(
        node.clone(),
        caller.clone(),
        placement_request,
        stream,
        buffer,
        runs,
    )
}

async fn place_and_send(
    node: &Rc<NodeState>,
    caller: &Rc<CallerRequest>,
    silent_attempt: &mut Option<SilentAttempt>,
) -> ServedResponse {
    let mut placement_request = new_placement_request(node, caller);
    // Attempts that executed the request, or may have.
    let mut runs = caller.parsed_headers.carried_runs.unwrap_or(0);
    let mut attempts = 0;
    let mut next_is_retry = false;
    let mut last_failure: Option<NodeResponse> = None;
    let mut excluded_targets: Vec<TargetName> = Vec::new();
    let parts = &caller.parsed_headers.shared_parts;
    loop {
        if let Some(refusal) = refuse_banned(node, caller.digest, parts) {
            return refuse(last_failure, runs, refusal);
        }
        if let Some(carried) = carry_if_lost(node, caller, runs, next_is_retry).await {
            return carried;
        }
        if let Some(pause) = node.service_pause(&caller.service) {
            return refuse(last_failure, runs, NodeResponse::paused(pause));
        }
        let now = node.now();
        placement_request.excluded_targets = node.avoided_targets();
        placement_request
            .excluded_targets
            .extend(excluded_targets.iter().cloned());
        let limits = |now| PlacementLimits {
            objective: caller.objective_left(now),
            give_up_after: first_event_time_left(caller, now),
        };
        let placed = place_in_time(node, caller, &mut placement_request, runs == 0, limits).await;
        let Some(outcome) = placed else {
            let is_carried = caller.parsed_headers.carried_runs.is_some();
            return refuse(last_failure, runs, refuse_for_stop(node, is_carried));
        };
        let waited = node.now().saturating_duration_since(now);
        node.metrics.placing_seconds.observe(waited.as_secs_f64());
        let share = outcome.share_name();
        let returned = outcome.returned_name();
        let placement = match outcome.answer {
            DispatchAnswer::Placed(placement) => placement,
            DispatchAnswer::Refused {
                reason,
                retry_after,
            } => {
                tracing::info!(
                    id = caller.parsed_headers.id,
                    prompt = placement_request.prompt_tokens,
                    reason = reason.as_str(),
                    retry_after_ms = retry_after.as_millis() as u64,
                    waited_ms = waited.as_millis() as u64,
                    decided_by = outcome.decided_by,
                    rank = outcome.rank,
                    share,
                    returned,
                    promised_ms = outcome.promised_in.map(|wait| wait.as_millis() as u64),
                    "placement refused"
                );
                let refusal = NodeResponse {
                    keeps_retry_time: outcome.promised_in.is_some(),
                    ..NodeResponse::not_run(reason.as_str(), "refused by placement", retry_after)
                };
                return refuse(last_failure, runs, refusal);
            }
        };
        let job = JobGuard::new(node.clone(), placement_request.job);
        if let Some(refusal) = refuse_banned(node, caller.digest, parts) {
            return refuse(last_failure, runs, refusal);
        }
        // An attempt after one that reached no target does not count as a retry.
        if next_is_retry && !node.try_take_retry(&caller.service) {
            tracing::info!(
                id = caller.parsed_headers.id,
                "retry withheld by the budget"
            );
            break;
        }
        attempts += 1;
        tracing::info!(
            id = caller.parsed_headers.id,
            prompt = placement_request.prompt_tokens,
            replica = %placement.lead,
            helpers = placement.helpers.len(),
            helped_by = helper_names(&placement),
            pace = known_pace(node, &caller.service, &placement.lead),
            predicted_ms = placement.predicted_first_event.as_millis() as u64,
            waited_ms = waited.as_millis() as u64,
            decided_by = outcome.decided_by,
            rank = outcome.rank,
            share,
            returned,
            send = attempts,
            "placed"
        );
        let may_retry =
            caller.route.rerun_policy.allows_rerun() && runs + 1 < caller.route.max_attempts;
        let attempt_timeout = first_event_timeout(caller, &placement, may_retry, node.now());
        next_is_retry = true;
        let (task_node, task_caller) = (node.clone(), caller.clone());
        let task_placement = placement.clone();
        let mut pending_start: Pin<Box<dyn Future<Output = StreamStart>>> =
            Box::pin(
                async move { start_stream(&task_node, &task_caller, &task_placement, job).await },
            );
        let started = tokio::select! {
            started = timeout(attempt_timeout, &mut pending_start) => started.ok(),
            () = lose_paths(node, caller), if may_retry => Some(StreamStart::Unknown {
                reason: "the paths to all targets were lost".to_owned(),
            }),
        };
        let start = match started {
            Some(start) => start,
            None => {
                let reason = format!("no first event within {} ms", attempt_timeout.as_millis());
                node.record_target_failure(&placement.lead, false, &reason);
                node.record_path_failure(&placement.lead);
                if may_retry {
                    let placement_request = placement_request.clone();
                    *silent_attempt = Some(SilentAttempt {
                        start: pending_start,
                        placement_request,
                    });
                }
                StreamStart::Unknown { reason }
            }
        };
        match start {
            StreamStart::Running {
                response_head,
                stream,
                buffer,
            } => {
                let relay = start_relay(node, caller, placement_request, *stream, buffer, runs + 1);
                return ServedResponse::Target(stream_response(&response_head, relay));
            }
            StreamStart::Failed(response) => {
                runs += 1;
                tracing::info!(id = caller.parsed_headers.id, replica = %placement.lead, "engine failed the request");
                if !may_retry || runs >= caller.route.max_attempts {
                    return ServedResponse::Target(response);
                }
                last_failure = Some(NodeResponse::unknown("engine failed the request"));
            }
            StreamStart::NotRun {
                reached_target: reached,
                reason,
                failed_target,
            } => {
                next_is_retry = reached;
                tracing::info!(id = caller.parsed_headers.id, replica = %placement.lead, reason, "send not run");
                excluded_targets.extend(failed_target);
                if runs == 0 {
                    last_failure =
                        Some(NodeResponse::not_run("busy", reason, PLACEMENT_RETRY_AFTER));
                }
            }
            StreamStart::Unknown { reason } => {
                runs += 1;
                let parts = part_names(&caller.parsed_headers.shared_parts);
                tracing::info!(id = caller.parsed_headers.id, request = %caller.digest, replica = %placement.lead, reason, parts, "send without an answer");
                last_failure = Some(NodeResponse::unknown(reason));
                if !caller.route.rerun_policy.allows_rerun() {
                    break;
                }
            }
        }
        excluded_targets.push(placement.lead.clone());
        let exhausted = runs >= caller.route.max_attempts
            || attempts >= caller.route.max_attempts + MAX_EXTRA_ATTEMPTS;
        if exhausted || caller.time_left(node.now()).is_zero() {
            break;
        }
    }
    ServedResponse::Node(last_failure.unwrap_or_else(|| {
        NodeResponse::not_run("busy", "no engine took the request", PLACEMENT_RETRY_AFTER)
    }))
}

/// Times left to a prompt that is to be placed.
pub struct PlacementLimits {
    /// Until its objective.
    pub objective: Duration,
    /// Until its caller gives up.
    pub give_up_after: Duration,
}

/// Has a prompt placed within `limits` as of a time, and asks again when this node begins to stop, which
/// leaves less time. `None` if the node stops before it could serve the prompt. A refused caller may
/// return if `is_unsent`: no attempt may have run its request.
pub async fn place_in_time(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    request: &mut PlacementRequest,
    is_unsent: bool,
    limits: impl Fn(Instant) -> PlacementLimits,
) -> Option<PlacementOutcome> {
    loop {
        let now = node.now();
        let rank = request_rank(node, caller);
        if lacks_time(node, caller, now) {
            return None;
        }
        let PlacementLimits {
            objective,
            give_up_after,
        } = limits(now);
        let time_before_stop = stopping::first_event_time_left(node, caller, now);
        request.objective = objective;
        // Without another VM to go to, it may wait as long as this one can still serve it.
        request.give_up_after = match time_before_stop {
            Some(left) if is_other_vm_ready(node) => left.min(give_up_after),
            _ => give_up_after,
        };
        // A caller that is refused for a stop is told to go to another VM at once.
        let may_promise = is_unsent && time_before_stop.is_none();
        let prompt = returning_prompt(node, caller, now).filter(|_| may_promise);
        request.job = node.new_job_id();
        let outcome = tokio::select! {
            outcome = place(node, request, rank, prompt) => outcome,
            () = caller.stop.begins() => {
                record_update(node, JobUpdate::Ended(request.job));
                continue;
            }
        };
        let is_too_late = matches!(
            outcome.answer,
            DispatchAnswer::Refused {
                reason: RefusalReason::TooLate,
                ..
            }
        );
        let is_cut_short = time_before_stop.is_some_and(|left| left < give_up_after);
        return (!is_too_late || !is_cut_short).then_some(outcome);
    }
}

/// The urgency of a caller's request, if ranks count at its service.
fn request_rank(node: &NodeState, caller: &CallerRequest) -> Option<RequestRank> {
    let catalog = node.catalog.borrow();
    RequestRank::among(caller.rank, catalog.table()?.ranks_of(&caller.service))
}

/// By what a caller's prompt is recognised when it returns, if returns count at its service.
fn returning_prompt(
    node: &NodeState,
    caller: &CallerRequest,
    now: Instant,
) -> Option<CallerPrompt> {
    let catalog = node.catalog.borrow();
    let rules = catalog.table()?.queue_rules(&caller.service);
    rules.promises_returns().then(|| CallerPrompt {
        digest: caller.digest,
        caller_time_left: caller.deadline_left(now),
    })
}

fn helper_names(placement: &EnginePlacement) -> String {
    let names: Vec<&str> = placement
        .helpers
        .iter()
        .map(|part| part.target.as_str())
        .collect();
    names.join(" ")
}

/// Refuses a request; one that may have run gets the failure of its last attempt instead.
fn refuse(last_failure: Option<NodeResponse>, runs: u32, refusal: NodeResponse) -> ServedResponse {
    let failure = last_failure.filter(|_| runs > 0);
    ServedResponse::Node(failure.unwrap_or(refusal))
}

/// Builds the request to place the prompt of a caller as of now.
pub fn new_placement_request(node: &NodeState, caller: &CallerRequest) -> PlacementRequest {
    let now = node.now();
    PlacementRequest {
        job: node.new_job_id(),
        vm: node.settings.vm.clone(),
        domain: node.settings.domain.clone(),
        service: caller.service.clone(),
        team: caller.team.clone(),
        prompt_tokens: caller.parsed_headers.prompt_tokens,
        max_output_tokens: caller.parsed_headers.output_tokens,
        objective: caller.objective_left(now),
        max_event_gap: caller.route.max_event_gap,
        give_up_after: first_event_time_left(caller, now),
        excluded_targets: Vec::new(),
    }
}

/// Time left in which a first event still reaches the caller before it gives up.
fn first_event_time_left(caller: &CallerRequest, now: Instant) -> Duration {
    let waited = now.saturating_duration_since(caller.arrived_at);
    caller
        .route
        .event_timeout()
        .saturating_sub(waited + FIRST_EVENT_MARGIN)
        .min(caller.time_left(now))
}

/// How long a first event may take before the request is sent to another engine.
fn first_event_timeout(
    caller: &CallerRequest,
    placement: &EnginePlacement,
    may_retry: bool,
    now: Instant,
) -> Duration {
    // The stop of this node, which may come sooner, is no failure of the engine.
    let left = caller.deadline_left(now);
    if !may_retry {
        return left;
    }
    let by_event_timeout = caller.route.event_timeout().mul_f64(FIRST_EVENT_SHARE);
    first_event_bound(placement).max(by_event_timeout).min(left)
}

/// Time within which the first event comes unless the engine is lost or much slower than predicted.
fn first_event_bound(placement: &EnginePlacement) -> Duration {
    placement.predicted_first_event.mul_f64(FIRST_EVENT_FACTOR) + FIRST_EVENT_SLACK
}

/// What became of an attempt until its stream's first bytes.
enum StreamStart {
    Running {
        response_head: Box<actix_http::ResponseHead>,
        stream: Box<TargetStream>,
        buffer: EventBuffer,
    },
    /// The engine's own error response.
    Failed(Response<BoxBody>),
    NotRun {
        reached_target: bool,
        reason: String,
        failed_target: Option<TargetName>,
    },
    Unknown {
        reason: String,
    },
}

/// Sends a placed request and waits for the first bytes of its stream.
async fn start_stream(
    node: &Rc<NodeState>,
    caller: &Rc<CallerRequest>,
    placement: &EnginePlacement,
    job: JobGuard,
) -> StreamStart {
    let in_flight = TargetInFlightGuard::new(node, &placement.lead);
    let parts = &caller.parsed_headers.shared_parts;
    let (outcome, reservations) = send_placed(node, caller, placement, None).await;
    match outcome {
        AttemptOutcome::Responded(target_response) => {
            read_first_chunk(
                node,
                caller,
                placement,
                *target_response,
                job,
                in_flight,
                reservations,
            )
            .await
        }
        AttemptOutcome::NotRun {
            reason,
            failed_target,
            reached_target,
        } => StreamStart::NotRun {
            reached_target,
            reason,
            failed_target: failed_target.map(TargetName::new),
        },
        AttemptOutcome::Unknown {
            reason,
            connection_lost,
        } => {
            if connection_lost {
                report_broken(node, caller.digest, parts, &placement.lead);
            }
            StreamStart::Unknown { reason }
        }
    }
}

async fn read_first_chunk(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    placement: &EnginePlacement,
    target_response: TargetResponse,
    job: JobGuard,
    in_flight: TargetInFlightGuard,
    reservations: Reservations,
) -> StreamStart {
    let parts = &caller.parsed_headers.shared_parts;
    let mut connection = target_response.connection;
    if !target_response.head.status.is_success() {
        let body = match connection.read_body(&node.body_budget).await {
            Ok(body) => body,
            Err(error) => {
                node.record_exchange_failure(&placement.lead, &error);
                return StreamStart::Unknown {
                    reason: error.to_string(),
                };
            }
        };
        node.connection_pool
            .borrow_mut()
            .put(connection, node.now());
        let mut response = Response::with_body(target_response.head.status, body.boxed());
        *response.headers_mut() = forwarded_headers(&target_response.head.headers);
        return StreamStart::Failed(response);
    }
    let mut buffer = EventBuffer::default();
    match connection.next_chunk().await {
        Ok(Some(chunk)) => buffer.push(&chunk),
        Ok(None) if connection.ends_with_connection() => {
            report_broken(node, caller.digest, parts, &placement.lead);
            node.record_target_failure(&placement.lead, false, ENDED_BEFORE_FIRST_EVENT);
            return StreamStart::Unknown {
                reason: ENDED_BEFORE_FIRST_EVENT.to_owned(),
            };
        }
        Ok(None) => {}
        Err(error) => {
            node.record_exchange_failure(&placement.lead, &error);
            if error.is_lost_connection() {
                report_broken(node, caller.digest, parts, &placement.lead);
            }
            return StreamStart::Unknown {
                reason: error.to_string(),
            };
        }
    }
    job.report_first_event();
    StreamStart::Running {
        response_head: Box::new(target_response.head),
        stream: Box::new(TargetStream {
            connection,
            source: StreamSource::Target {
                target: placement.lead.clone(),
                _job: job,
                _in_flight: in_flight,
                reservations,
            },
        }),
        buffer,
    }
}

/// Builds the response whose body is the events of `relay`.
pub fn stream_response(head: &actix_http::ResponseHead, relay: StreamRelay) -> Response<BoxBody> {
    let body = StreamBody::new(relay).boxed();
    let mut response = Response::with_body(head.status, body);
    *response.headers_mut() = forwarded_headers(&head.headers);
    response
}

/// Reserves memory at the helpers of a placement, then sends the request to its lead engine.
pub async fn send_placed(
    node: &Rc<NodeState>,
    caller: &CallerRequest,
    placement: &EnginePlacement,
    last_event_id: Option<u64>,
) -> (AttemptOutcome, Reservations) {
    let target_gone = |name: &TargetName| AttemptOutcome::NotRun {
        reason: format!("target {name} is gone, leaves or is paused"),
        failed_target: Some(name.to_string()),
        reached_target: false,
    };
    let target_record = |name: &TargetName| {
        let catalog = node.catalog.borrow();
        let target = catalog.target(name).map(|target| target.record.clone());
        // The owner of placement may not know yet.
        target.filter(|target| !target.draining && !node.is_paused(target))
    };
    let Some(lead) = target_record(&placement.lead) else {
        return (target_gone(&placement.lead), Reservations::new(node));
    };
    let mut reservations = Reservations::new(node);
    let mut helpers = Vec::new();
    // Each attempt has reservations of its own: an earlier one may still use those that it made.
    let attempt = node.new_job_id().0;
    for part in &placement.helpers {
        let Some(target) = target_record(&part.target) else {
            return (target_gone(&part.target), reservations);
        };
        let mut helper = SplitHelper {
            address: target.address,
            reservation: None,
        };
        if part.reserve_tokens > 0 {
            let id = format!("{}-{attempt:x}-{}", caller.parsed_headers.id, helpers.len());
            let reserved = reservations.reserve(&target, &id, part.reserve_tokens);
            if let Err(reason) = reserved.await {
                let outcome = AttemptOutcome::NotRun {
                    reason: format!("memory not reserved: {reason}"),
                    failed_target: Some(part.target.to_string()),
                    reached_target: false,
                };
                return (outcome, reservations);
            }
            helper.reservation = Some(id);
        }
        helpers.push(helper);
    }
    // Reservations are filled in the order of the helpers, so those with one come first.
    helpers.sort_by_key(|helper| helper.reservation.is_none());
    reservations.renew_until_first_event(&lead, first_event_bound(placement));
    let priority = if caller.parsed_headers.prompt_tokens <= MAX_SHORT_PROMPT_TOKENS {
        SHORT_PROMPT_PRIORITY
    } else {
        LONG_PROMPT_PRIORITY
    };
    let plan = AttemptPlan {
        target: &lead,
        priority: Some(priority),
        helpers: &helpers,
        last_event_id,
        max_idle: ENGINE_MAX_IDLE,
    };
    let outcome = send_attempt(node, caller, &plan).await;
    (outcome, reservations)
}
