//! Calls to plain services. Non-idempotent calls need an idempotency key and run at most once.

use std::time::Duration;

use actix_web::http::{Method, StatusCode};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

use super::claims::{ClaimAnswer, claim_or_await_outcome, record_outcome, release_claim};
use super::error::{ApiError, ErrorKind, IDEMPOTENCY_HEADER, Result};
use super::grants::{PoolGuard, ReservationSpec, reserve_targets, reserve_team};
use super::relay::TargetClients;
use super::server::{authenticate, read_body, timeout_of};
use super::shared::{EntryShared, RequestContext};
use crate::http_client::client::{ClientError, ClientRequest};
use crate::ids::{ClaimId, ModelName, RequestId};
use crate::ledger::grant::GrantOutcome;
use crate::target::stream::REQUEST_HEADER;
use crate::view::record::{ClaimKey, ClaimOutcome};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_REPLAY_BODY_BYTES: usize = 16 << 10;
const MAX_KEY_BYTES: usize = 200;
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A caller's call to a plain service, as it is forwarded.
struct ServiceCall {
    service: String,
    path: String,
    method: Method,
    content_type: Option<String>,
    body: Bytes,
}

impl ServiceCall {
    /// Hash by which another request under the same idempotency key is detected.
    fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for part in [
            self.service.as_bytes(),
            self.path.as_bytes(),
            self.method.as_str().as_bytes(),
        ] {
            hash.update(part);
            hash.update(b"\n");
        }
        hash.update(&self.body);
        hash.digest()
    }
}

struct ServiceResponse {
    status: StatusCode,
    body: Bytes,
}

/// Result of sending a call, with the reason if no response arrived.
enum SendOutcome {
    Answered(ServiceResponse),
    NotSent(String),
    NoAnswer(String),
}

/// Handles `/v1/services/{service}/{path}`.
///
/// # Errors
///
/// Fails with the error to send to the caller.
pub async fn serve(
    http: HttpRequest,
    path: web::Path<(String, String)>,
    payload: web::Payload,
    shared: web::Data<EntryShared>,
    clients: web::Data<TargetClients>,
) -> Result<HttpResponse> {
    let shared = shared.into_inner();
    let (team, _) = authenticate(&http, &shared)?;
    let (body, _body_share) = read_body(&http, payload, &shared).await?;
    let arrived = shared.now();
    let context = RequestContext {
        request: RequestId::random(),
        team,
        arrived,
        deadline: arrived + timeout_of(&http, DEFAULT_TIMEOUT)?,
        shared,
    };
    let (service, path) = path.into_inner();
    let call = ServiceCall {
        service,
        path,
        method: http.method().clone(),
        content_type: header_text(&http, "content-type"),
        body,
    };
    let key = idempotency_key(&http, &context, &call)?;
    let outcome = match key {
        Some(key) => run_at_most_once(&context, &clients, &call, &key).await,
        None => run_idempotent(&context, &clients, &call).await,
    };
    let label = match &outcome {
        Ok(_) => "finished".to_owned(),
        Err(error) => serde_json::json!(error.kind)
            .as_str()
            .unwrap_or("failed")
            .to_owned(),
    };
    context.shared.metrics.count_outcome(&label);
    context.log_decision("end", vec![], vec![], label);
    let mut response = outcome?;
    let id = context.request.to_string();
    if let Ok(value) = id.parse() {
        let name = actix_web::http::header::HeaderName::from_static(REQUEST_HEADER);
        response.headers_mut().insert(name, value);
    }
    Ok(response)
}

fn header_text(http: &HttpRequest, name: &str) -> Option<String> {
    let value = http.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// The idempotency key of a call; `None` for a GET or HEAD call without one.
fn idempotency_key(
    http: &HttpRequest,
    context: &RequestContext,
    call: &ServiceCall,
) -> Result<Option<ClaimKey>> {
    let Some(key) = header_text(http, IDEMPOTENCY_HEADER) else {
        if call.method == Method::GET || call.method == Method::HEAD {
            return Ok(None);
        }
        return Err(ApiError::not_run(
            ErrorKind::KeyRequired,
            "this call may not be repeated; send an Idempotency-Key that is new for each request",
        ));
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(ApiError::not_run(
            ErrorKind::BadRequest,
            format!(
                "the Idempotency-Key has {} bytes; use 1 to {MAX_KEY_BYTES}",
                key.len()
            ),
        ));
    }
    Ok(Some(ClaimKey {
        team: context.team.clone(),
        key,
    }))
}

async fn run_idempotent(
    context: &RequestContext,
    clients: &TargetClients,
    call: &ServiceCall,
) -> Result<HttpResponse> {
    let _team = reserve_team(context, 1).await?;
    loop {
        let mut pool_guard = reserve_targets(context, &service_spec(call), context.request).await?;
        let reason = match send_call(context, clients, call, &mut pool_guard, None).await {
            SendOutcome::Answered(response) => return Ok(http_response(&response)),
            SendOutcome::NotSent(reason) | SendOutcome::NoAnswer(reason) => reason,
        };
        drop(pool_guard);
        let allowed = context
            .shared
            .budget
            .lock()
            .expect("no thread panics while it holds the lock")
            .try_spend();
        if !allowed || context.time_left().is_zero() {
            return Err(ApiError::failed(
                ErrorKind::TargetFailed,
                format!("the service failed ({reason}); retry later"),
            )
            .retry_after(Duration::from_secs(2)));
        }
    }
}

/// Runs a call at most once: claims its key, sends it if the claim won, and records the outcome.
async fn run_at_most_once(
    context: &RequestContext,
    clients: &TargetClients,
    call: &ServiceCall,
    key: &ClaimKey,
) -> Result<HttpResponse> {
    check_offered(context, call)?;
    let claim = match claim_or_await_outcome(context, key, call.digest()).await? {
        ClaimAnswer::Won(claim) => claim,
        ClaimAnswer::Done(outcome) => return replay(outcome),
    };
    let mut claim_guard = ClaimGuard {
        context: context.clone(),
        key: key.clone(),
        claim,
        sent: false,
        recorded: false,
    };
    let _team = reserve_team(context, 1).await?;
    let mut pool_guard = reserve_targets(context, &service_spec(call), context.request).await?;
    claim_guard.check_before_send(&pool_guard)?;
    claim_guard.sent = true;
    let result = send_call(context, clients, call, &mut pool_guard, Some(key)).await;
    match result {
        SendOutcome::Answered(response) => {
            claim_guard.record(outcome_of(&response));
            Ok(http_response(&response))
        }
        SendOutcome::NotSent(reason) => {
            claim_guard.sent = false;
            Err(ApiError::not_run(
                ErrorKind::TargetFailed,
                format!("the service could not be reached ({reason}), so nothing was sent; retry with the same key"),
            )
            .retry_after(Duration::from_secs(1)))
        }
        SendOutcome::NoAnswer(reason) => {
            claim_guard.record(ClaimOutcome::Unknown);
            Err(ApiError::unknown(
                ErrorKind::ResultUnknown,
                format!(
                    "the service did not answer ({reason}); check there whether the request was done"
                ),
            ))
        }
    }
}

/// A claim that won. When dropped without a recorded outcome, it releases the key if the call was
/// not sent, and records the outcome as unknown if it was.
struct ClaimGuard {
    context: RequestContext,
    key: ClaimKey,
    claim: ClaimId,
    sent: bool,
    recorded: bool,
}

impl ClaimGuard {
    fn check_before_send(&self, pool_guard: &PoolGuard) -> Result<()> {
        let not_sent_error = |reason: &str| {
            let message = format!("nothing was sent: {reason}; retry with the same key");
            ApiError::not_run(ErrorKind::NoCapacity, message).retry_after(Duration::from_secs(1))
        };
        pool_guard.check_before_send().map_err(not_sent_error)?;
        let shared = &self.context.shared;
        let holds_claim = shared.with_followed(|followed| {
            let claims = followed.view.claims();
            claims.may_send(&self.key, self.claim, self.sent)
        });
        if !holds_claim {
            return Err(not_sent_error("the claim is no longer held"));
        }
        if shared.now() >= self.context.deadline {
            return Err(not_sent_error("the deadline has passed"));
        }
        Ok(())
    }

    fn record(mut self, outcome: ClaimOutcome) {
        record_outcome(&self.context.shared, &self.key, self.claim, outcome);
        self.recorded = true;
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let shared = &self.context.shared;
        if self.recorded {
            return;
        }
        if self.sent {
            record_outcome(shared, &self.key, self.claim, ClaimOutcome::Unknown);
        } else {
            release_claim(shared, &self.key, self.claim);
        }
    }
}

/// Refuses a call that no target would take, before its key is claimed.
fn check_offered(context: &RequestContext, call: &ServiceCall) -> Result<()> {
    let model = ModelName::new(call.service.clone());
    let shared = &context.shared;
    let now = shared.now();
    shared.with_followed(|followed| {
        if !followed.is_fresh(now) {
            return Err(super::grants::stale_view_error());
        }
        let eligible = followed
            .view
            .eligible_targets(&context.team, &model)
            .next()
            .is_some();
        let offered = followed
            .view
            .targets()
            .any(|target| target.row.model == model);
        match (eligible, offered) {
            (true, _) => Ok(()),
            (false, true) => Err(ApiError::not_run(
                ErrorKind::NotApproved,
                format!(
                    "no target of {model} is in service and approved for team {}; ask its owner",
                    context.team
                ),
            )
            .retry_after(Duration::from_secs(2))),
            (false, false) => Err(ApiError::not_run(
                ErrorKind::NoSuchModel,
                format!("no target offers {model}; use a service from the table"),
            )),
        }
    })
}

fn service_spec(call: &ServiceCall) -> ReservationSpec {
    ReservationSpec {
        model: ModelName::new(call.service.clone()),
        prompt_tokens: 0,
        max_output_tokens: 1,
        prefix_hash: 0,
    }
}

/// Sends a call once, on a new connection; see [`TargetClients::unpooled`].
async fn send_call(
    context: &RequestContext,
    clients: &TargetClients,
    call: &ServiceCall,
    pool_guard: &mut PoolGuard,
    key: Option<&ClaimKey>,
) -> SendOutcome {
    let Some(part) = pool_guard.parts.first() else {
        return SendOutcome::NotSent("no target was granted".into());
    };
    let url = format!("http://{}/{}", part.address, call.path);
    let mut request = ClientRequest::new(call.method.clone(), url)
        .header(REQUEST_HEADER, &context.request.to_string())
        .body(call.body.clone());
    if let Some(content_type) = &call.content_type {
        request = request.header("content-type", content_type);
    }
    if let Some(key) = key {
        request = request.header(IDEMPOTENCY_HEADER, &key.key);
    }
    let unpooled = &clients.unpooled;
    let fetched = unpooled.fetch(request, context.time_left(), MAX_RESPONSE_BYTES);
    match fetched.await {
        Ok((status, body)) => {
            pool_guard.outcome = GrantOutcome::Completed {
                output_tokens: 0,
                max_output_tokens: 0,
                decode_ms: 0,
            };
            SendOutcome::Answered(ServiceResponse { status, body })
        }
        Err(error) if error.is_not_sent() => {
            pool_guard.outcome = GrantOutcome::Disconnected;
            SendOutcome::NotSent(error.to_string())
        }
        Err(ClientError::Timeout(_)) => {
            pool_guard.outcome = GrantOutcome::Failed;
            SendOutcome::NoAnswer("no answer by the deadline".into())
        }
        Err(error) => {
            pool_guard.outcome = match error.is_lost_connection() {
                true => GrantOutcome::Disconnected,
                false => GrantOutcome::Failed,
            };
            SendOutcome::NoAnswer(error.to_string())
        }
    }
}

fn outcome_of(response: &ServiceResponse) -> ClaimOutcome {
    let text = std::str::from_utf8(&response.body).ok();
    ClaimOutcome::Answered {
        status: response.status.as_u16(),
        body: text
            .filter(|text| text.len() <= MAX_REPLAY_BODY_BYTES)
            .map(str::to_owned),
    }
}

fn http_response(response: &ServiceResponse) -> HttpResponse {
    HttpResponse::build(response.status)
        .content_type("application/json")
        .body(response.body.clone())
}

/// The response to a repeat of a request that has run.
fn replay(outcome: ClaimOutcome) -> Result<HttpResponse> {
    match outcome {
        ClaimOutcome::Answered {
            status,
            body: Some(body),
        } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            Ok(HttpResponse::build(status)
                .insert_header(("idempotent-replay", "true"))
                .content_type("application/json")
                .body(body))
        }
        ClaimOutcome::Answered { .. } => Err(ApiError::unknown(
            ErrorKind::ResultUnknown,
            "the request was done, but its answer was too large to keep; look it up at the service",
        )),
        ClaimOutcome::Unknown => Err(ApiError::unknown(
            ErrorKind::ResultUnknown,
            "an earlier attempt with this key got no answer; check at the service whether the request was done",
        )),
    }
}
