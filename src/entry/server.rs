//! The entry's HTTP server and its chat route.

use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures_util::stream;
use tokio::sync::mpsc;

use super::chat::{ChatBody, prompt_tokens};
use super::error::{ApiError, ErrorKind, Result, TIMEOUT_HEADER};
use super::grants::{ReservationSpec, reserve_team};
use super::handlers;
use super::relay::{ChatRelay, RelayEvent, TargetClients};
use super::services;
use super::shared::{EntryShared, RequestContext};
use crate::chart;
use crate::ids::{ModelName, RequestId, TeamName};
use crate::target::stream::{REQUEST_HEADER, StreamChunk, encode_chunk};
use crate::view::table::{KeyDigest, TeamRow};

const RELAY_BUFFER_EVENTS: usize = 64;
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const BLOCKING_PARSE_BYTES: usize = 256 << 10;
const SHORT_PROMPT_TIMEOUT: Duration = Duration::from_secs(30);
const LONG_PROMPT_TIMEOUT: Duration = Duration::from_secs(300);
const MAX_SHORT_PROMPT_TOKENS: u64 = 20_000;
const TIMEOUT_PER_OUTPUT_TOKEN: Duration = Duration::from_millis(60);
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Starts the HTTP server; the returned future runs until it is stopped through its handle.
///
/// # Errors
///
/// Fails when the address cannot be bound or a chart file is invalid.
pub fn serve(shared: &Arc<EntryShared>) -> eyre::Result<Server> {
    chart::request_chart()?;
    let listen = shared.settings.listen.clone();
    let workers = shared.settings.workers;
    let limit = shared.settings.body_limit;
    let shared = web::Data::from(shared.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .app_data(web::Data::new(TargetClients::new()))
            .app_data(web::PayloadConfig::new(limit))
            .route("/v1/entries", web::get().to(handlers::entries))
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/v1/models", web::get().to(handlers::models))
            .route(
                "/v1/services/{service}/{path:.*}",
                web::route().to(services::serve),
            )
            .route(
                "/v1/requests/{request}/decisions",
                web::get().to(handlers::decisions),
            )
            .route("/v1/status", web::get().to(handlers::status))
            .route("/healthz", web::get().to(handlers::health))
            .route("/readyz", web::get().to(handlers::ready))
            .route("/metrics", web::get().to(handlers::metrics))
            .default_service(web::to(handlers::not_found))
    });
    let bound_server = server
        .workers(workers)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .disable_signals()
        .shutdown_timeout(LONG_PROMPT_TIMEOUT.as_secs())
        .bind(listen)?;
    Ok(bound_server.run())
}

/// Finds the team of a caller by its bearer key.
///
/// # Errors
///
/// Fails when the key is missing or unknown, or the view is stale.
pub(super) fn authenticate(
    http: &HttpRequest,
    shared: &EntryShared,
) -> Result<(TeamName, TeamRow)> {
    let unauthorized = || {
        ApiError::not_run(
            ErrorKind::Unauthorized,
            "the bearer key is missing or unknown; send `Authorization: Bearer KEY` with your team's key",
        )
    };
    let header = http.headers().get("authorization");
    let header_value = header.and_then(|value| value.to_str().ok());
    let key = header_value.and_then(|text| text.strip_prefix("Bearer "));
    let digest = KeyDigest::of_key(key.ok_or_else(unauthorized)?.trim());
    shared.with_followed(|followed| {
        if !followed.is_fresh(shared.now()) {
            return Err(super::grants::stale_view_error());
        }
        let found = followed.view.team_by_key(&digest);
        let (name, row) = found.ok_or_else(unauthorized)?;
        Ok((name.clone(), row.clone()))
    })
}

/// The timeout that the caller set, or else `default`.
///
/// # Errors
///
/// Fails when the header is not a number of milliseconds from 1 to 3,600,000.
pub(super) fn timeout_of(http: &HttpRequest, default: Duration) -> Result<Duration> {
    let Some(value) = http.headers().get(TIMEOUT_HEADER) else {
        return Ok(default);
    };
    let timeout_ms = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<u64>().ok());
    match timeout_ms {
        Some(timeout_ms @ 1..=MAX_TIMEOUT_MS) => Ok(Duration::from_millis(timeout_ms)),
        _ => Err(ApiError::not_run(
            ErrorKind::BadRequest,
            format!(
                "Request-Timeout-Ms is not a whole number from 1 to {MAX_TIMEOUT_MS}; correct it"
            ),
        )),
    }
}

/// Parses a body; a large one on the blocking thread pool, so that it does not stall the worker.
async fn parse_body(bytes: Bytes) -> Result<ChatBody> {
    if bytes.len() < BLOCKING_PARSE_BYTES {
        return ChatBody::parse(&bytes);
    }
    let parsed = web::block(move || ChatBody::parse(&bytes)).await;
    parsed.unwrap_or_else(|_| {
        Err(ApiError::not_run(
            ErrorKind::NoCapacity,
            "this entry is stopping; use another entry of GET /v1/entries",
        ))
    })
}

/// The timeout of a request that sets none, by the length of its prompt and answer.
fn default_timeout(body: &ChatBody, prompt_tokens: u64) -> Duration {
    let base_timeout = if prompt_tokens <= MAX_SHORT_PROMPT_TOKENS {
        SHORT_PROMPT_TIMEOUT
    } else {
        LONG_PROMPT_TIMEOUT
    };
    let output = u32::try_from(body.max_output()).unwrap_or(u32::MAX);
    let decode_time = TIMEOUT_PER_OUTPUT_TOKEN.saturating_mul(output);
    (base_timeout + decode_time).min(Duration::from_millis(MAX_TIMEOUT_MS))
}

/// Converts a body extractor's error; `limit` is the largest allowed body, in bytes.
fn body_error(error: &actix_web::Error, limit: usize) -> ApiError {
    let status = error.as_response_error().status_code();
    if status == actix_web::http::StatusCode::PAYLOAD_TOO_LARGE {
        return ApiError::not_run(
            ErrorKind::TooLarge,
            format!("the body is over {limit} bytes; shorten the prompt"),
        );
    }
    ApiError::not_run(
        ErrorKind::BadRequest,
        format!("the body cannot be read: {error}; send it whole"),
    )
}

async fn chat(
    http: HttpRequest,
    body: std::result::Result<Bytes, actix_web::Error>,
    shared: web::Data<EntryShared>,
    clients: web::Data<TargetClients>,
) -> Result<HttpResponse> {
    let shared = shared.into_inner();
    let arrived = shared.now();
    let (team, row) = authenticate(&http, &shared)?;
    let bytes = body.map_err(|error| body_error(&error, shared.settings.body_limit))?;
    let body = parse_body(bytes).await?;
    let prompt_tokens = prompt_tokens(&body);
    let context = RequestContext {
        request: RequestId::random(),
        team,
        arrived,
        deadline: arrived + timeout_of(&http, default_timeout(&body, prompt_tokens))?,
        shared: shared.clone(),
    };
    let spec = ReservationSpec {
        model: ModelName::new(body.model.clone()),
        prompt_tokens,
        max_output_tokens: body.max_output(),
        prefix_hash: body.prefix_hash(),
    };
    let amount = prompt_tokens + spec.max_output_tokens;
    if amount > row.ceiling_tokens {
        return Err(ApiError::not_run(
            ErrorKind::PromptTooLong,
            format!(
                "the request needs {amount} tokens and the team's ceiling is {}; shorten it, or ask the operators",
                row.ceiling_tokens
            ),
        ));
    }
    shared
        .budget
        .lock()
        .expect("no thread panics while it holds the lock")
        .earn();
    let (sender, receiver) = mpsc::channel(RELAY_BUFFER_EVENTS);
    let streamed = body.stream;
    let metadata = ResponseMetadata {
        request: context.request,
        model: body.model.clone(),
        prompt_tokens,
    };
    let relay = ChatRelay {
        context: context.clone(),
        clients: clients.get_ref().clone(),
        body,
        spec,
        sender,
        chart: chart::request_chart()
            .map_err(|error| ApiError::not_run(ErrorKind::NoCapacity, error.to_string()))?,
    };
    let in_flight = InFlightGuard::start(&shared);
    actix_rt::spawn(async move {
        let _in_flight = in_flight;
        run_relay(relay, amount).await;
    });
    if streamed {
        sse_response(receiver, metadata, context).await
    } else {
        json_response(receiver, metadata, context).await
    }
}

/// Reserves tokens under the team's ceiling, then relays the request.
async fn run_relay(relay: ChatRelay, team_tokens: u64) {
    let reserved = tokio::select! {
        reserved = reserve_team(&relay.context, team_tokens) => reserved,
        () = relay.sender.closed() => return,
    };
    match reserved {
        Ok(_team) => relay.run().await,
        Err(error) => {
            let kind = serde_json::json!(error.kind);
            let metrics = &relay.context.shared.metrics;
            metrics.count_outcome(kind.as_str().unwrap_or("refused"));
            relay.sender.send(RelayEvent::Fail(error)).await.ok();
        }
    }
}

/// Keeps a request counted in the `in_flight` metric until it is dropped.
struct InFlightGuard(Arc<EntryShared>);

impl InFlightGuard {
    fn start(shared: &Arc<EntryShared>) -> Self {
        shared.metrics.in_flight.inc();
        Self(shared.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// Fields of the request that its response repeats.
struct ResponseMetadata {
    request: RequestId,
    model: String,
    prompt_tokens: u64,
}

fn relay_lost_error() -> ApiError {
    ApiError::failed(
        ErrorKind::TargetFailed,
        "the request was aborted inside the entry; send it again",
    )
}

async fn json_response(
    mut receiver: mpsc::Receiver<RelayEvent>,
    metadata: ResponseMetadata,
    context: RequestContext,
) -> Result<HttpResponse> {
    let mut text = String::new();
    loop {
        match receiver.recv().await {
            Some(RelayEvent::Text(part)) => text.push_str(&part),
            Some(RelayEvent::End(tokens)) => {
                count_tokens(&context, metadata.prompt_tokens + tokens);
                return Ok(HttpResponse::Ok()
                    .insert_header((REQUEST_HEADER, metadata.request.to_string()))
                    .json(serde_json::json!({
                        "id": metadata.request.to_string(),
                        "object": "chat.completion",
                        "model": metadata.model,
                        "choices": [{
                            "index": 0,
                            "message": { "role": "assistant", "content": text },
                            "finish_reason": "stop",
                        }],
                        "usage": {
                            "prompt_tokens": metadata.prompt_tokens,
                            "completion_tokens": tokens,
                            "total_tokens": metadata.prompt_tokens + tokens,
                        },
                    })));
            }
            Some(RelayEvent::Fail(error)) => return Err(error),
            None => return Err(relay_lost_error()),
        }
    }
}

fn count_tokens(context: &RequestContext, tokens: u64) {
    let metrics = &context.shared.metrics;
    metrics.count_tokens(context.team.as_str(), tokens);
}

/// Responds with server-sent events. The status is sent with the first event, so that an error
/// before it has its own HTTP status.
async fn sse_response(
    mut receiver: mpsc::Receiver<RelayEvent>,
    metadata: ResponseMetadata,
    context: RequestContext,
) -> Result<HttpResponse> {
    let first_event = match receiver.recv().await {
        Some(RelayEvent::Fail(error)) => return Err(error),
        Some(event) => event,
        None => return Err(relay_lost_error()),
    };
    let id = metadata.request.to_string();
    let events = EventStream {
        receiver,
        first_event: Some(first_event),
        metadata,
        context,
        seq: 0,
        ended: false,
    };
    let parts = stream::unfold(events, |mut events| async move {
        let part = events.next_part().await?;
        Some((Ok::<Bytes, std::convert::Infallible>(part), events))
    });
    Ok(HttpResponse::Ok()
        .insert_header((REQUEST_HEADER, id))
        .insert_header(("cache-control", "no-cache"))
        .content_type("text/event-stream")
        .streaming(parts))
}

/// Encodes a relay's events as server-sent events.
struct EventStream {
    receiver: mpsc::Receiver<RelayEvent>,
    first_event: Option<RelayEvent>,
    metadata: ResponseMetadata,
    context: RequestContext,
    seq: u64,
    ended: bool,
}

impl EventStream {
    async fn next_part(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let event = match self.first_event.take() {
            Some(event) => Some(event),
            None => self.receiver.recv().await,
        };
        match event {
            Some(RelayEvent::Text(content)) => {
                self.seq += 1;
                Some(Bytes::from(self.chunk(content, false)))
            }
            Some(RelayEvent::End(tokens)) => {
                self.ended = true;
                count_tokens(&self.context, self.metadata.prompt_tokens + tokens);
                self.seq += 1;
                let mut text = self.chunk(String::new(), true);
                text.push_str("data: [DONE]\n\n");
                Some(Bytes::from(text))
            }
            Some(RelayEvent::Fail(error)) => {
                self.ended = true;
                Some(Bytes::from(format!("data: {}\n\n", error.body())))
            }
            None => {
                self.ended = true;
                Some(Bytes::from(format!(
                    "data: {}\n\n",
                    relay_lost_error().body()
                )))
            }
        }
    }

    fn chunk(&self, content: String, last: bool) -> String {
        encode_chunk(&StreamChunk {
            request: self.metadata.request.to_string(),
            seq: self.seq,
            content,
            last,
        })
    }
}
