//! Calls to plain services, some of which may not be repeated.

use std::time::Duration;

use actix_web::http::{Method, StatusCode};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

use super::claims::{ClaimAnswer, claim, record_outcome, release};
use super::error::{ApiError, ErrorKind, IDEMPOTENCY_HEADER, Result};
use super::grants::{PoolGuard, ReserveNeed, reserve_targets, reserve_team};
use super::relay::TargetClients;
use super::server::{deadline_of, team_of};
use super::shared::{EntryShared, RequestContext};
use crate::ids::{ClaimId, ModelName, RequestId};
use crate::ledger::grant::GrantEnd;
use crate::target::stream::REQUEST_HEADER;
use crate::view::record::{ClaimKey, ClaimOutcome};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);
const KEPT_BODY_BYTES: usize = 16 << 10;
const KEY_BYTES: usize = 200;
const ANSWER_LIMIT: usize = 4 << 20;

/// A call to a plain service.
struct ServiceCall {
    service: String,
    path: String,
    method: Method,
    content_type: Option<String>,
    body: Bytes,
}

impl ServiceCall {
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

/// A target's answer.
struct ServiceAnswer {
    status: StatusCode,
    body: Bytes,
}

/// What came of sending a call.
enum SendResult {
    Answered(ServiceAnswer),
    NotSent(String),
    NoAnswer(String),
}

/// Serves `/v1/services/{service}/{path}`.
///
/// # Errors
///
/// Fails with the error that the caller sees.
pub async fn serve(
    http: HttpRequest,
    path: web::Path<(String, String)>,
    body: Bytes,
    shared: web::Data<EntryShared>,
    clients: web::Data<TargetClients>,
) -> Result<HttpResponse> {
    let shared = shared.into_inner();
    let (team, _) = team_of(&http, &shared)?;
    let arrived = shared.now();
    let context = RequestContext {
        request: RequestId::random(),
        team,
        arrived,
        deadline: arrived + deadline_of(&http, DEFAULT_TIMEOUT)?,
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
        Some(key) => run_once(&context, &clients, &call, &key).await,
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
    context.note("end", vec![], vec![], label);
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

/// The key of a call that may not be repeated; `None` for one that may.
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
            "this call may not be repeated; send an Idempotency-Key that is new for each piece of work",
        ));
    };
    if key.is_empty() || key.len() > KEY_BYTES {
        return Err(ApiError::not_run(
            ErrorKind::BadRequest,
            format!(
                "the Idempotency-Key has {} bytes; use 1 to {KEY_BYTES}",
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
        let mut guard = reserve_targets(context, &need_of(call), context.request).await?;
        let reason = match send(context, clients, call, &mut guard, None).await {
            SendResult::Answered(answer) => return Ok(respond(&answer)),
            SendResult::NotSent(reason) | SendResult::NoAnswer(reason) => reason,
        };
        drop(guard);
        let allowed = context
            .shared
            .budget
            .lock()
            .expect("no holder panics")
            .try_spend();
        if !allowed || context.time_left().is_zero() {
            return Err(ApiError::failed(
                ErrorKind::TargetFailed,
                format!("the service failed ({reason}); come back later"),
            )
            .retry_after(Duration::from_secs(2)));
        }
    }
}

/// Runs a call at most once: claims its key, sends it if the claim won, and records
/// what came of it.
async fn run_once(
    context: &RequestContext,
    clients: &TargetClients,
    call: &ServiceCall,
    key: &ClaimKey,
) -> Result<HttpResponse> {
    check_open(context, call)?;
    let claim = match claim(context, key, call.digest()).await? {
        ClaimAnswer::Won(claim) => claim,
        ClaimAnswer::Done(outcome) => return replay(outcome),
    };
    let mut attempt = ClaimAttempt {
        context: context.clone(),
        key: key.clone(),
        claim,
        sent: false,
        recorded: false,
    };
    let _team = reserve_team(context, 1).await?;
    let mut guard = reserve_targets(context, &need_of(call), context.request).await?;
    attempt.check_before_send(&guard)?;
    attempt.sent = true;
    let result = send(context, clients, call, &mut guard, Some(key)).await;
    match result {
        SendResult::Answered(answer) => {
            attempt.record(answered(&answer));
            Ok(respond(&answer))
        }
        SendResult::NotSent(reason) => {
            attempt.sent = false;
            Err(ApiError::not_run(
                ErrorKind::TargetFailed,
                format!("the service could not be reached ({reason}), so nothing was sent; come back with the same key"),
            )
            .retry_after(Duration::from_secs(1)))
        }
        SendResult::NoAnswer(reason) => {
            attempt.record(ClaimOutcome::Unknown);
            Err(ApiError::unknown(
                ErrorKind::ResultUnknown,
                format!("the service gave no answer ({reason}); check there whether it was done"),
            ))
        }
    }
}

/// A claim that won. Dropped before it was sent, it frees its key; dropped after,
/// without a recorded outcome, the outcome is unknown.
struct ClaimAttempt {
    context: RequestContext,
    key: ClaimKey,
    claim: ClaimId,
    sent: bool,
    recorded: bool,
}

impl ClaimAttempt {
    fn check_before_send(&self, guard: &PoolGuard) -> Result<()> {
        let lapsed = |reason: &str| {
            let message = format!("nothing was sent: {reason}; come back with the same key");
            ApiError::not_run(ErrorKind::NoCapacity, message).retry_after(Duration::from_secs(1))
        };
        guard.check_before_send().map_err(lapsed)?;
        let shared = &self.context.shared;
        let holds = shared.read(|followed| {
            let claims = followed.view.claims();
            claims.may_send(&self.key, self.claim, self.sent)
        });
        if !holds {
            return Err(lapsed("the claim does not hold any more"));
        }
        if shared.now() >= self.context.deadline {
            return Err(lapsed("the deadline has passed"));
        }
        Ok(())
    }

    fn record(mut self, outcome: ClaimOutcome) {
        record_outcome(&self.context.shared, &self.key, self.claim, outcome);
        self.recorded = true;
    }
}

impl Drop for ClaimAttempt {
    fn drop(&mut self) {
        let shared = &self.context.shared;
        if self.recorded {
            return;
        }
        if self.sent {
            record_outcome(shared, &self.key, self.claim, ClaimOutcome::Unknown);
        } else {
            release(shared, &self.key, self.claim);
        }
    }
}

/// Refuses early what no target would take, before anything is claimed.
fn check_open(context: &RequestContext, call: &ServiceCall) -> Result<()> {
    let model = ModelName::new(call.service.clone());
    let shared = &context.shared;
    let now = shared.now();
    shared.read(|followed| {
        if !followed.is_fresh(now) {
            return Err(super::grants::stale_view());
        }
        let open = followed
            .view
            .open_targets(&context.team, &model)
            .next()
            .is_some();
        let offered = followed
            .view
            .targets()
            .any(|target| target.row.model == model);
        match (open, offered) {
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
                format!("no target offers {model}; use a service that the table names"),
            )),
        }
    })
}

fn need_of(call: &ServiceCall) -> ReserveNeed {
    ReserveNeed {
        model: ModelName::new(call.service.clone()),
        prompt: 0,
        max_output: 1,
        prefix: 0,
    }
}

/// Sends a call once, on a connection of its own so that a silent one cannot swallow it.
async fn send(
    context: &RequestContext,
    clients: &TargetClients,
    call: &ServiceCall,
    guard: &mut PoolGuard,
    key: Option<&ClaimKey>,
) -> SendResult {
    let Some(part) = guard.parts.first() else {
        return SendResult::NotSent("no target was granted".into());
    };
    let url = format!("http://{}/{}", part.address, call.path);
    let mut request = clients
        .fresh
        .request(call.method.clone(), url)
        .insert_header((REQUEST_HEADER, context.request.to_string()));
    if let Some(content_type) = &call.content_type {
        request = request.content_type(content_type.as_str());
    }
    if let Some(key) = key {
        request = request.insert_header((IDEMPOTENCY_HEADER, key.key.as_str()));
    }
    let exchange = async {
        let mut answer = request.send_body(call.body.clone()).await?;
        let status = answer.status();
        let body = answer.body().limit(ANSWER_LIMIT).await;
        Ok::<_, awc::error::SendRequestError>((status, body))
    };
    match timeout(context.time_left(), exchange).await {
        Ok(Ok((status, Ok(body)))) => {
            guard.end = GrantEnd::Completed {
                output: 0,
                max_output: 0,
                decode_ms: 0,
            };
            SendResult::Answered(ServiceAnswer { status, body })
        }
        Ok(Ok((_, Err(error)))) => {
            guard.end = GrantEnd::Failed;
            SendResult::NoAnswer(error.to_string())
        }
        Ok(Err(awc::error::SendRequestError::Connect(error))) => {
            guard.end = GrantEnd::Disconnected;
            SendResult::NotSent(error.to_string())
        }
        Ok(Err(error)) => {
            guard.end = GrantEnd::Disconnected;
            SendResult::NoAnswer(error.to_string())
        }
        Err(_) => {
            guard.end = GrantEnd::Failed;
            SendResult::NoAnswer("no answer by the deadline".into())
        }
    }
}

fn answered(answer: &ServiceAnswer) -> ClaimOutcome {
    let text = std::str::from_utf8(&answer.body).ok();
    ClaimOutcome::Answered {
        status: answer.status.as_u16(),
        body: text
            .filter(|text| text.len() <= KEPT_BODY_BYTES)
            .map(str::to_owned),
    }
}

fn respond(answer: &ServiceAnswer) -> HttpResponse {
    HttpResponse::build(answer.status)
        .content_type("application/json")
        .body(answer.body.clone())
}

/// The answer to a repeat of a request that has run.
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
            "an earlier attempt with this key got no answer; check at the service whether it was done",
        )),
    }
}
