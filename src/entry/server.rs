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
use super::grants::{ReserveNeed, reserve_team};
use super::pages;
use super::relay::{ChatRelay, RelayEvent, TargetClients};
use super::services;
use super::shared::{EntryShared, RequestContext};
use crate::chart;
use crate::ids::{ModelName, RequestId, TeamName};
use crate::target::stream::{REQUEST_HEADER, StreamChunk, encode_chunk};
use crate::view::table::{KeyDigest, TeamRow};

const RELAY_BUFFER: usize = 64;
const HEAD_WITHIN: Duration = Duration::from_secs(5);
const LARGE_BODY_BYTES: usize = 256 << 10;
const SHORT_TIMEOUT: Duration = Duration::from_secs(30);
const LONG_TIMEOUT: Duration = Duration::from_secs(300);
const SHORT_PROMPT_TOKENS: u64 = 20_000;
const TIMEOUT_PER_OUTPUT_TOKEN: Duration = Duration::from_millis(60);
const LONGEST_TIMEOUT_MS: u64 = 3_600_000;

/// Serves callers until told to stop.
///
/// # Errors
///
/// Fails when the address cannot be bound or a chart file is faulty.
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
            .route("/v1/entries", web::get().to(pages::entries))
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/v1/models", web::get().to(pages::models))
            .route(
                "/v1/services/{service}/{path:.*}",
                web::route().to(services::serve),
            )
            .route(
                "/v1/requests/{request}/decisions",
                web::get().to(pages::decisions),
            )
            .route("/v1/status", web::get().to(pages::status))
            .route("/healthz", web::get().to(pages::health))
            .route("/readyz", web::get().to(pages::ready))
            .route("/metrics", web::get().to(pages::metrics))
            .default_service(web::to(pages::not_found))
    });
    let bound = server
        .workers(workers)
        .client_request_timeout(HEAD_WITHIN)
        .disable_signals()
        .shutdown_timeout(LONG_TIMEOUT.as_secs())
        .bind(listen)?;
    Ok(bound.run())
}

/// The team of a caller, by its bearer key.
///
/// # Errors
///
/// Fails when the key is missing or unknown, or the view is stale.
pub(super) fn team_of(http: &HttpRequest, shared: &EntryShared) -> Result<(TeamName, TeamRow)> {
    let unauthorized = || {
        ApiError::not_run(
            ErrorKind::Unauthorized,
            "the bearer key is missing or unknown; send `Authorization: Bearer KEY` with your team's key",
        )
    };
    let header = http.headers().get("authorization");
    let text = header.and_then(|value| value.to_str().ok());
    let key = text.and_then(|text| text.strip_prefix("Bearer "));
    let digest = KeyDigest::of_key(key.ok_or_else(unauthorized)?.trim());
    shared.read(|followed| {
        if !followed.is_fresh(shared.now()) {
            return Err(super::grants::stale_view());
        }
        let found = followed.view.team_by_key(&digest);
        let (name, row) = found.ok_or_else(unauthorized)?;
        Ok((name.clone(), row.clone()))
    })
}

/// The time that a caller gives.
///
/// # Errors
///
/// Fails when the header is not a number of milliseconds in range.
pub(super) fn deadline_of(http: &HttpRequest, default: Duration) -> Result<Duration> {
    let Some(value) = http.headers().get(TIMEOUT_HEADER) else {
        return Ok(default);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<u64>().ok());
    match millis {
        Some(millis @ 1..=LONGEST_TIMEOUT_MS) => Ok(Duration::from_millis(millis)),
        _ => Err(ApiError::not_run(
            ErrorKind::BadRequest,
            format!(
                "Request-Timeout-Ms is not a whole number from 1 to {LONGEST_TIMEOUT_MS}; mend it"
            ),
        )),
    }
}

/// Reads a body without holding up the thread for long prompts.
async fn parse_body(bytes: Bytes) -> Result<ChatBody> {
    if bytes.len() < LARGE_BODY_BYTES {
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

/// The time for a request that names none, by the length of its prompt and answer.
fn default_timeout(body: &ChatBody, prompt: u64) -> Duration {
    let base = if prompt <= SHORT_PROMPT_TOKENS {
        SHORT_TIMEOUT
    } else {
        LONG_TIMEOUT
    };
    let output = u32::try_from(body.max_output()).unwrap_or(u32::MAX);
    let decode = TIMEOUT_PER_OUTPUT_TOKEN.saturating_mul(output);
    (base + decode).min(Duration::from_millis(LONGEST_TIMEOUT_MS))
}

/// Maps a body that is too large to an error of ours.
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
    let (team, row) = team_of(&http, &shared)?;
    let bytes = body.map_err(|error| body_error(&error, shared.settings.body_limit))?;
    let body = parse_body(bytes).await?;
    let prompt = prompt_tokens(&body);
    let context = RequestContext {
        request: RequestId::random(),
        team,
        arrived,
        deadline: arrived + deadline_of(&http, default_timeout(&body, prompt))?,
        shared: shared.clone(),
    };
    let need = ReserveNeed {
        model: ModelName::new(body.model.clone()),
        prompt,
        max_output: body.max_output(),
        prefix: body.prefix_hash(),
    };
    let amount = prompt + need.max_output;
    if amount > row.ceiling_tokens {
        return Err(ApiError::not_run(
            ErrorKind::PromptTooLong,
            format!(
                "the request needs {amount} tokens and the team's ceiling is {}; shorten it, or ask the operators",
                row.ceiling_tokens
            ),
        ));
    }
    shared.budget.lock().expect("no holder panics").earn();
    let (sender, receiver) = mpsc::channel(RELAY_BUFFER);
    let wants_stream = body.stream;
    let answer = AnswerFormat {
        request: context.request,
        model: body.model.clone(),
        prompt,
    };
    let relay = ChatRelay {
        context: context.clone(),
        clients: clients.get_ref().clone(),
        body,
        need,
        sender,
        chart: chart::request_chart()
            .map_err(|error| ApiError::not_run(ErrorKind::NoCapacity, error.to_string()))?,
    };
    let in_flight = InFlight::start(&shared);
    actix_rt::spawn(async move {
        let _in_flight = in_flight;
        run_relay(relay, amount).await;
    });
    if wants_stream {
        stream_answer(receiver, answer, context).await
    } else {
        whole_answer(receiver, answer, context).await
    }
}

/// Reserves under the ceiling, then relays.
async fn run_relay(relay: ChatRelay, amount: u64) {
    let reserved = tokio::select! {
        reserved = reserve_team(&relay.context, amount) => reserved,
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

/// Counts a request while it is under way.
struct InFlight(Arc<EntryShared>);

impl InFlight {
    fn start(shared: &Arc<EntryShared>) -> Self {
        shared.metrics.in_flight.inc();
        Self(shared.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// What answers repeat of their request.
struct AnswerFormat {
    request: RequestId,
    model: String,
    prompt: u64,
}

fn lost_relay() -> ApiError {
    ApiError::failed(
        ErrorKind::TargetFailed,
        "the entry lost track of the request; send it again",
    )
}

async fn whole_answer(
    mut receiver: mpsc::Receiver<RelayEvent>,
    format: AnswerFormat,
    context: RequestContext,
) -> Result<HttpResponse> {
    let mut text = String::new();
    loop {
        match receiver.recv().await {
            Some(RelayEvent::Text(part)) => text.push_str(&part),
            Some(RelayEvent::End(tokens)) => {
                count_tokens(&context, format.prompt + tokens);
                return Ok(HttpResponse::Ok()
                    .insert_header((REQUEST_HEADER, format.request.to_string()))
                    .json(serde_json::json!({
                        "id": format.request.to_string(),
                        "object": "chat.completion",
                        "model": format.model,
                        "choices": [{
                            "index": 0,
                            "message": { "role": "assistant", "content": text },
                            "finish_reason": "stop",
                        }],
                        "usage": {
                            "prompt_tokens": format.prompt,
                            "completion_tokens": tokens,
                            "total_tokens": format.prompt + tokens,
                        },
                    })));
            }
            Some(RelayEvent::Fail(error)) => return Err(error),
            None => return Err(lost_relay()),
        }
    }
}

fn count_tokens(context: &RequestContext, tokens: u64) {
    let metrics = &context.shared.metrics;
    metrics.count_tokens(context.team.as_str(), tokens);
}

/// Answers as a stream. What is refused before the first token gets an HTTP status.
async fn stream_answer(
    mut receiver: mpsc::Receiver<RelayEvent>,
    format: AnswerFormat,
    context: RequestContext,
) -> Result<HttpResponse> {
    let first = match receiver.recv().await {
        Some(RelayEvent::Fail(error)) => return Err(error),
        Some(event) => event,
        None => return Err(lost_relay()),
    };
    let id = format.request.to_string();
    let source = StreamSource {
        receiver,
        first: Some(first),
        format,
        context,
        seq: 0,
        ended: false,
    };
    let parts = stream::unfold(source, |mut source| async move {
        let part = source.next_part().await?;
        Some((Ok::<Bytes, std::convert::Infallible>(part), source))
    });
    Ok(HttpResponse::Ok()
        .insert_header((REQUEST_HEADER, id))
        .insert_header(("cache-control", "no-cache"))
        .content_type("text/event-stream")
        .streaming(parts))
}

/// A relay's events as server-sent events.
struct StreamSource {
    receiver: mpsc::Receiver<RelayEvent>,
    first: Option<RelayEvent>,
    format: AnswerFormat,
    context: RequestContext,
    seq: u64,
    ended: bool,
}

impl StreamSource {
    async fn next_part(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let event = match self.first.take() {
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
                count_tokens(&self.context, self.format.prompt + tokens);
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
                Some(Bytes::from(format!("data: {}\n\n", lost_relay().body())))
            }
        }
    }

    fn chunk(&self, content: String, last: bool) -> String {
        encode_chunk(&StreamChunk {
            request: self.format.request.to_string(),
            seq: self.seq,
            content,
            last,
        })
    }
}
