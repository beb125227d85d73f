//! The entry's HTTP server and its chat route.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Request;
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, fn_factory, fn_service, map_config,
};
use actix_web::dev::{AppConfig, Server, ServiceResponse};
use actix_web::{App, HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::chat::{ChatBody, prompt_tokens, value_count};
use super::error::{ApiError, ErrorKind, Result, TIMEOUT_HEADER};
use super::grants::{ReservationSpec, reserve_team};
use super::handlers;
use super::relay::{ChatRelay, RelayEvent, TargetClients};
use super::services;
use super::shared::{EntryShared, RequestContext};
use crate::chart;
use crate::ids::{ModelName, RequestId, TeamName};
use crate::node::body_budget::{self, BodyError, BudgetShare};
use crate::node::connection_budget::{
    ConnectionBudget, ConnectionLimits, LimitCause, ListenerKind,
};
use crate::node::listeners::{
    HttpTimeouts, admit_stream, caller_service, close_overdue_loop, listen, serve_stream,
};
use crate::target::stream::{REQUEST_HEADER, StreamChunk, encode_chunk};
use crate::view::table::{KeyDigest, TeamRow};

const RELAY_BUFFER_EVENTS: usize = 64;
const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    // A stopping entry waits for as long until an idle connection is closed.
    keep_alive: Duration::from_secs(5),
    request_head: Duration::from_secs(5),
};
/// To receive a body, if the caller names no timeout.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);
/// Of a chat body; those of long chats with tools have a few thousand.
const MAX_VALUES: usize = 50_000;
/// Of a parsed value, beside its text, by `BODY_COPIES`: while a body is parsed, a field that the entry does not
/// read is held twice, as entries of maps and vectors that double, of which each takes about 150 bytes.
const VALUE_BYTES: usize = 100;
/// A body is held until the response to its request is complete.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
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
    let listener = listen(shared.settings.listen.parse()?)?.into_std()?;
    let state = shared.clone();
    let server = Server::build()
        .workers(shared.settings.workers)
        // Sockets that wait for a busy worker are open already.
        .max_concurrent_connections(connection_limits(shared).caller_sockets())
        .disable_signals()
        .shutdown_timeout(LONG_PROMPT_TIMEOUT.as_secs())
        .listen("callers", listener, move || {
            let state = state.clone();
            fn_factory(move || worker_service(state.clone()))
        })?;
    Ok(server.run())
}

/// The limits on the connections of one worker thread.
fn connection_limits(shared: &EntryShared) -> ConnectionLimits {
    let settings = &shared.settings;
    ConnectionLimits::of_thread(
        settings.max_connections,
        settings.memory_bytes,
        settings.workers,
    )
}

/// Creates what one worker thread serves its connections with. Each worker has its part of the limits on
/// connections, and all share those on bodies.
async fn worker_service(
    shared: Arc<EntryShared>,
) -> std::result::Result<impl Service<TcpStream, Response = (), Error = ()>, ()> {
    let limits = connection_limits(&shared);
    let budget = ConnectionBudget::new(limits, shared.clock.clone(), shared.limit_reports.clone());
    let connections = Rc::new(budget);
    actix_rt::spawn(close_overdue_loop(connections.clone()));
    let app = request_service(web::Data::from(shared.clone()));
    let service = caller_service(TIMEOUTS, app).await.ok_or(())?;
    let service = Rc::new(service);
    Ok(fn_service(move |stream: TcpStream| {
        // Fails only if the caller has left.
        let peer = stream.peer_addr().ok();
        let admitted = peer.and_then(|peer| {
            let kind = ListenerKind::Callers;
            Some((admit_stream(&connections, kind, stream, peer)?, peer))
        });
        let service = service.clone();
        async move {
            if let Some((stream, peer)) = admitted {
                serve_stream(service, stream, peer).await;
            }
            Ok(())
        }
    }))
}

/// The routes of an entry.
fn request_service(
    shared: web::Data<EntryShared>,
) -> impl ServiceFactory<
    Request,
    Config = (),
    Response = ServiceResponse,
    Error = actix_web::Error,
    InitError = (),
> {
    let clients = TargetClients::new(&shared.clock);
    let app = App::new()
        .app_data(shared)
        .app_data(web::Data::new(clients))
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
        .default_service(web::to(handlers::not_found));
    map_config(app.into_factory(), |()| AppConfig::default())
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
async fn parse_body(
    bytes: Bytes,
    mut share: BudgetShare,
    memory_error: impl FnOnce() -> ApiError,
) -> Result<(ChatBody, BudgetShare)> {
    let is_small = bytes.len() < BLOCKING_PARSE_BYTES;
    let parse = move || {
        let values = value_count(&bytes);
        if values > MAX_VALUES {
            return Err(ApiError::not_run(
                ErrorKind::BadRequest,
                format!("the body holds more than {MAX_VALUES} JSON values; send fewer"),
            ));
        }
        if !share.grow_to(bytes.len() + values * VALUE_BYTES) {
            return Ok(None);
        }
        Ok(Some((ChatBody::parse(&bytes)?, share)))
    };
    let parsed = if is_small {
        parse()
    } else {
        web::block(parse).await.unwrap_or_else(|_| {
            Err(ApiError::not_run(
                ErrorKind::NoCapacity,
                "this entry is stopping; use another entry of GET /v1/entries",
            ))
        })
    };
    parsed?.ok_or_else(memory_error)
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

/// Reports a body that takes too much memory, and refuses its request.
fn body_memory_error(http: &HttpRequest, shared: &EntryShared) -> ApiError {
    let reports = &shared.limit_reports;
    reports.report(LimitCause::BodyMemory, http.peer_addr(), shared.now());
    ApiError::not_run(
        ErrorKind::NoCapacity,
        "the bodies of other requests take all memory; retry later, or use another entry",
    )
    .retry_after(MEMORY_RETRY_AFTER)
}

/// Reads the body of a request whose caller is known, and takes memory for it until the share is dropped.
///
/// # Errors
///
/// Fails when the body is over the limit, takes too much memory or time, or cannot be read.
pub(super) async fn read_body(
    http: &HttpRequest,
    payload: web::Payload,
    shared: &EntryShared,
) -> Result<(Bytes, BudgetShare)> {
    let limit = shared.settings.body_limit;
    let length = http.headers().get("content-length");
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let payload = payload.into_inner();
    let reading = body_budget::read_body(&shared.body_budget, limit, length.unwrap_or(0), payload);
    let body_time = timeout_of(http, MAX_BODY_TIME)?;
    let Ok(read) = timeout(body_time, reading).await else {
        return Err(ApiError::not_run(
            ErrorKind::DeadlineTooShort,
            "the body did not arrive in the request's time; send it again",
        )
        .retry_after(MEMORY_RETRY_AFTER));
    };
    read.map_err(|error| match error {
        BodyError::TooLarge => ApiError::not_run(
            ErrorKind::TooLarge,
            format!("the body is over {limit} bytes; shorten the prompt"),
        ),
        BodyError::NoMemory => body_memory_error(http, shared),
        BodyError::Unreadable(reason) => ApiError::not_run(
            ErrorKind::BadRequest,
            format!("the body cannot be read: {reason}; send it whole"),
        ),
    })
}

async fn chat(
    http: HttpRequest,
    payload: web::Payload,
    shared: web::Data<EntryShared>,
    clients: web::Data<TargetClients>,
) -> Result<HttpResponse> {
    let shared = shared.into_inner();
    let (team, row) = authenticate(&http, &shared)?;
    let (bytes, body_share) = read_body(&http, payload, &shared).await?;
    let arrived = shared.now();
    let memory_error = || body_memory_error(&http, &shared);
    let (body, body_share) = parse_body(bytes, body_share, memory_error).await?;
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
        body_share,
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
