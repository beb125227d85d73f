//! Fake model engine: batching, KV cache memory, cold start, streams, injected faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_web::dev::Server;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures_util::stream;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::entry::chat::{ChatBody, prompt_tokens};
use crate::target::control::OrderBody;
use crate::target::stream::{
    GANG_SIZE_HEADER, PRIORITY_HEADER, REQUEST_HEADER, StreamChunk, encode_chunk,
};

const MAX_BODY_BYTES: usize = 64 << 20;
const PREFILL_CHUNK_TIME: Duration = Duration::from_millis(20);
const FINISHED_RETENTION: Duration = Duration::from_secs(10); // a finished stream can still be resumed
const MAX_ARRIVALS: usize = 10_000;
const MAX_CACHED_PREFIXES: usize = 64;

/// Settings of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// IP and port to serve on.
    pub listen: String,
    /// KV cache memory in tokens.
    pub memory_tokens: u64,
    /// Concurrent requests after a start; each completed request raises the limit by one.
    pub cold_limit: u32,
    /// Concurrent requests at most.
    pub warm_limit: u32,
    /// Prompt tokens prefilled per second, over all requests.
    pub prefill_tokens_per_s: f64,
    /// Time from one decode step to the next; each gives every running stream a token.
    pub decode_interval: Duration,
    /// Has the warm limit from the start, for measurements without a cold start.
    pub start_warm: bool,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
}

/// Faults that the fake engine injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Sends every chunk twice.
    pub duplicate: bool,
    /// Swaps adjacent chunks.
    pub reorder: bool,
    /// Adds chunks of another request.
    pub strangers: bool,
    /// Closes each connection without an end marker after this many writes, each of one or more
    /// chunks; 0 for never.
    pub cut_after: u64,
    /// Sends nothing more on each connection after this many writes; 0 for never.
    pub silent_after: u64,
}

/// What the fake engine counted itself, independent of stewards and entries.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineAudit {
    /// Requests received while as many as the current limit were running.
    pub limit_exceeded: u64,
    /// Requests received that did not fit into free memory.
    pub memory_exceeded: u64,
    /// Tokens of memory that running requests hold now.
    pub held_tokens: u64,
    /// Requests and reservations received.
    pub received: u64,
    /// Times at which the latest of them were received, in milliseconds since the Unix epoch.
    pub arrivals_ms: VecDeque<u64>,
    /// Running streams cancelled, reservations not counted.
    pub cancelled: u64,
    /// Largest number of running streams and reservations right after a request was admitted.
    pub most_running: u64,
    /// Orders accepted.
    pub orders_taken: u64,
    /// Orders accepted after one with a higher number.
    pub orders_reverted: u64,
    /// The version that the last accepted order named; empty before the first.
    pub version: String,
}

#[derive(Debug)]
struct EngineStream {
    reserved_tokens: u64,
    priority: i64,
    arrival_number: u64,
    prefill_left: f64,
    digest: u64,
    produced_tokens: u64,
    max_output_tokens: u64,
    finished_at: Option<Instant>,
    is_reservation: bool,
}

impl EngineStream {
    fn is_running(&self) -> bool {
        self.finished_at.is_none()
    }
}

#[derive(Debug)]
struct EngineState {
    settings: EngineSettings,
    instance: String,
    completed: u32,
    streams: BTreeMap<String, EngineStream>,
    next_arrival_number: u64,
    cached_prefixes: VecDeque<u64>,
    faults: EngineFaults,
    last_order_number: u64,
    audit: EngineAudit,
}

impl EngineState {
    fn request_limit(&self) -> u32 {
        if self.settings.start_warm {
            return self.settings.warm_limit;
        }
        (self.settings.cold_limit + self.completed).min(self.settings.warm_limit)
    }

    fn running_count(&self) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.is_running())
            .count()
    }

    fn held_tokens(&self) -> u64 {
        let running = self.streams.values().filter(|stream| stream.is_running());
        running.map(|stream| stream.reserved_tokens).sum()
    }

    fn restart(&mut self) {
        self.instance = new_instance();
        self.completed = 0;
        self.streams.clear();
        self.cached_prefixes.clear();
    }
}

fn new_instance() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// The engine's state, a signal for its loop, and one for its open streams.
struct SharedEngineState {
    state: Mutex<EngineState>,
    work: Notify,
    progress: Notify,
}

impl SharedEngineState {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder panics")
    }
}

type EngineData = web::Data<Arc<SharedEngineState>>;

/// Serves a fake engine.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn serve(settings: EngineSettings) -> std::io::Result<Server> {
    let listen = settings.listen.clone();
    let engine = Arc::new(SharedEngineState {
        state: Mutex::new(EngineState {
            settings,
            instance: new_instance(),
            completed: 0,
            streams: BTreeMap::new(),
            next_arrival_number: 0,
            cached_prefixes: VecDeque::new(),
            faults: EngineFaults::default(),
            last_order_number: 0,
            audit: EngineAudit::default(),
        }),
        work: Notify::new(),
        progress: Notify::new(),
    });
    actix_rt::spawn(run_engine(engine.clone()));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(engine.clone()))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .app_data(web::PayloadConfig::default().limit(MAX_BODY_BYTES))
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/v1/streams", web::get().to(list))
            .route("/v1/streams/{request}", web::get().to(resume))
            .route("/v1/streams/{request}", web::put().to(reserve_memory))
            .route("/v1/streams/{request}", web::delete().to(cancel))
            .route("/v1/orders", web::post().to(order))
            .route("/v1/fake/faults", web::post().to(set_faults))
            .route("/v1/fake/restart", web::post().to(restart))
            .route("/v1/fake/audit", web::get().to(audit))
    });
    Ok(server.workers(1).bind(listen)?.run())
}

/// The token at `position` of the response to the prompt with this digest.
pub fn response_token(digest: u64, position: u64) -> String {
    let mut seed = [0_u8; 16];
    seed[..8].copy_from_slice(&digest.to_le_bytes());
    seed[8..].copy_from_slice(&position.to_le_bytes());
    format!("w{} ", xxh3_64(&seed) % 1000)
}

/// Digest of a prompt; with a position, it determines a token of the response.
pub fn prompt_digest(body: &ChatBody) -> u64 {
    let mut text = String::new();
    for message in body.prompt_messages() {
        text.push_str(&message.role);
        text.push('\n');
        text.push_str(&message.content);
        text.push('\n');
    }
    xxh3_64(text.as_bytes())
}

async fn run_engine(engine: Arc<SharedEngineState>) {
    let mut next_decode = Instant::now();
    loop {
        let prefilled = prefill_chunk(&engine).await;
        let interval = engine.lock().settings.decode_interval;
        if Instant::now() >= next_decode {
            decode_step(&engine);
            next_decode = Instant::now() + interval;
        }
        engine.progress.notify_waiters();
        if prefilled {
            continue;
        }
        let decoding = engine
            .lock()
            .streams
            .values()
            .any(|stream| stream.is_running() && !stream.is_reservation);
        if decoding {
            tokio::select! {
                () = sleep(next_decode.saturating_duration_since(Instant::now())) => {}
                () = engine.work.notified() => {}
            }
        } else {
            engine.work.notified().await;
        }
    }
}

/// Prefills a chunk of the first prompt by priority and arrival; returns whether there was one.
async fn prefill_chunk(engine: &SharedEngineState) -> bool {
    let (request, chunk, rate) = {
        let state = engine.lock();
        let rate = state.settings.prefill_tokens_per_s;
        let waiting = state
            .streams
            .iter()
            .filter(|(_, stream)| stream.is_running() && stream.prefill_left > 0.0);
        let next = waiting.min_by_key(|(_, stream)| (stream.priority, stream.arrival_number));
        let Some((request, stream)) = next else {
            return false;
        };
        let chunk = stream
            .prefill_left
            .min(rate * PREFILL_CHUNK_TIME.as_secs_f64());
        (request.clone(), chunk, rate)
    };
    let chunk_time = Duration::from_secs_f64(chunk / rate);
    if chunk_time >= Duration::from_millis(1) {
        sleep(chunk_time).await;
    }
    if let Some(stream) = engine.lock().streams.get_mut(&request) {
        stream.prefill_left -= chunk;
        if stream.prefill_left <= 0.5 {
            stream.prefill_left = 0.0;
            stream.produced_tokens += 1;
        }
    }
    true
}

fn decode_step(engine: &SharedEngineState) {
    let mut state = engine.lock();
    let mut completed = 0;
    for stream in state.streams.values_mut() {
        if stream.is_reservation || !stream.is_running() || stream.prefill_left > 0.0 {
            continue;
        }
        if stream.produced_tokens < stream.max_output_tokens {
            stream.produced_tokens += 1;
        }
        if stream.produced_tokens >= stream.max_output_tokens {
            stream.finished_at = Some(Instant::now());
            completed += 1;
        }
    }
    state.completed += completed;
    state.streams.retain(|_, stream| {
        stream
            .finished_at
            .is_none_or(|at| at.elapsed() < FINISHED_RETENTION)
    });
}

fn header_number(request: &HttpRequest, name: &str) -> Option<i64> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn error_response(status: u16, kind: &str) -> HttpResponse {
    let code = actix_web::http::StatusCode::from_u16(status).expect("a constant status is valid");
    HttpResponse::build(code).json(serde_json::json!({ "error": { "kind": kind } }))
}

async fn complete(engine: EngineData, http: HttpRequest, body: Bytes) -> HttpResponse {
    let Ok(body) = web::block(move || serde_json::from_slice::<ChatBody>(&body)).await else {
        return error_response(500, "blocked");
    };
    let Ok(chat) = body else {
        return error_response(400, "bad_json");
    };
    let request = match http
        .headers()
        .get(REQUEST_HEADER)
        .map(|value| value.to_str())
    {
        Some(Ok(id)) => id.to_owned(),
        _ => format!("own-{:x}", rand::random::<u64>()),
    };
    let gang_size = header_number(&http, GANG_SIZE_HEADER).unwrap_or(1).max(1) as u64;
    let priority = header_number(&http, PRIORITY_HEADER).unwrap_or(0);
    let continued_tokens = chat.continued_tokens();
    {
        let mut state = engine.lock();
        if let Some(refusal) = admit(&mut state, &request, &chat, gang_size, priority) {
            return refusal;
        }
    }
    engine.work.notify_one();
    stream_response(&engine, request, continued_tokens, chat.stream)
}

/// Admits a request, or counts the exceeded limit and returns the refusal.
fn admit(
    state: &mut EngineState,
    request: &str,
    chat: &ChatBody,
    gang_size: u64,
    priority: i64,
) -> Option<HttpResponse> {
    let prompt_tokens = prompt_tokens(chat);
    let max_output_tokens = chat.max_tokens.unwrap_or(16).max(1);
    let reserved_tokens = (prompt_tokens + max_output_tokens).div_ceil(gang_size);
    record_arrival(state);
    if state.running_count() >= state.request_limit() as usize {
        state.audit.limit_exceeded += 1;
        return Some(error_response(503, "overloaded"));
    }
    if state.held_tokens() + reserved_tokens > state.settings.memory_tokens {
        state.audit.memory_exceeded += 1;
        return Some(error_response(503, "out_of_memory"));
    }
    // A prefix that was cached already needs no prefill.
    let prefill_left = prompt_tokens as f64 / gang_size as f64 - cache_prefix(state, chat) as f64;
    let arrival_number = state.next_arrival_number;
    state.next_arrival_number += 1;
    let stream = EngineStream {
        reserved_tokens,
        priority,
        arrival_number,
        prefill_left: prefill_left.max(1.0),
        digest: prompt_digest(chat),
        produced_tokens: chat.continued_tokens(),
        max_output_tokens,
        finished_at: None,
        is_reservation: false,
    };
    state.streams.insert(request.to_owned(), stream);
    let running = state.running_count() as u64;
    state.audit.most_running = state.audit.most_running.max(running);
    None
}

fn record_arrival(state: &mut EngineState) {
    state.audit.received += 1;
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = now.map_or(0, |since| since.as_millis() as u64);
    state.audit.arrivals_ms.push_back(at_ms);
    if state.audit.arrivals_ms.len() > MAX_ARRIVALS {
        state.audit.arrivals_ms.pop_front();
    }
}

/// Caches the system message and returns 0; if it was cached already, returns its tokens, which
/// need no prefill.
fn cache_prefix(state: &mut EngineState, chat: &ChatBody) -> u64 {
    let Some(system) = chat.messages.first().filter(|first| first.role == "system") else {
        return 0;
    };
    let hash = xxh3_64(system.content.as_bytes());
    if state.cached_prefixes.contains(&hash) {
        return system.tokens();
    }
    state.cached_prefixes.push_back(hash);
    if state.cached_prefixes.len() > MAX_CACHED_PREFIXES {
        state.cached_prefixes.pop_front();
    }
    0
}

/// Position of one connection in a stream.
struct StreamCursor {
    engine: Arc<SharedEngineState>,
    request: String,
    instance: String,
    next_seq: u64,
    write_count: u64,
    ended: bool,
}

fn stream_response(
    engine: &EngineData,
    request: String,
    after: u64,
    _is_streamed: bool,
) -> HttpResponse {
    let cursor = StreamCursor {
        instance: engine.lock().instance.clone(),
        engine: engine.get_ref().clone(),
        request,
        next_seq: after + 1,
        write_count: 0,
        ended: false,
    };
    let chunks = stream::unfold(cursor, |mut cursor| async move {
        let part = next_bytes(&mut cursor).await?;
        Some((part, cursor))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(chunks)
}

/// The next bytes of a stream, or `None` at its end; an error if the stream was removed, the
/// engine restarted, or the fault `cut_after` cuts the connection.
async fn next_bytes(cursor: &mut StreamCursor) -> Option<Result<Bytes, std::io::Error>> {
    if cursor.ended {
        return None;
    }
    let engine = cursor.engine.clone();
    loop {
        let progress = engine.progress.notified();
        match available_part(cursor) {
            PartStatus::Ready(bytes) => return Some(Ok(bytes)),
            PartStatus::Gone => {
                cursor.ended = true;
                return Some(Err(std::io::Error::other("stream is gone")));
            }
            PartStatus::Silent => std::future::pending::<()>().await,
            PartStatus::Wait => {}
        }
        tokio::select! {
            () = progress => {}
            () = sleep(Duration::from_millis(50)) => {}
        }
    }
}

enum PartStatus {
    Ready(Bytes),
    Wait,
    Silent,
    Gone,
}

fn available_part(cursor: &mut StreamCursor) -> PartStatus {
    let state = cursor.engine.lock();
    if state.instance != cursor.instance {
        return PartStatus::Gone;
    }
    let Some(stream) = state.streams.get(&cursor.request) else {
        return PartStatus::Gone;
    };
    let faults = &state.faults;
    if faults.cut_after > 0 && cursor.write_count >= faults.cut_after {
        return PartStatus::Gone;
    }
    if faults.silent_after > 0 && cursor.write_count >= faults.silent_after {
        return PartStatus::Silent;
    }
    if cursor.next_seq > stream.produced_tokens {
        return PartStatus::Wait;
    }
    let event_text = |seq: u64| {
        let last = seq == stream.max_output_tokens;
        let chunk = StreamChunk {
            request: cursor.request.clone(),
            seq,
            content: response_token(stream.digest, seq),
            last,
        };
        encode_chunk(&chunk)
    };
    let swap = faults.reorder && cursor.next_seq < stream.produced_tokens;
    let mut text = String::new();
    if swap {
        text.push_str(&event_text(cursor.next_seq + 1));
    }
    text.push_str(&event_text(cursor.next_seq));
    if faults.duplicate {
        text.push_str(&event_text(cursor.next_seq));
    }
    if faults.strangers {
        let foreign_chunk = StreamChunk {
            request: "req-00000000deadbeef".into(),
            seq: cursor.next_seq + 1,
            content: "stranger ".into(),
            last: false,
        };
        text.push_str(&encode_chunk(&foreign_chunk));
    }
    cursor.next_seq += if swap { 2 } else { 1 };
    cursor.write_count += 1;
    if cursor.next_seq > stream.max_output_tokens {
        text.push_str("data: [DONE]\n\n");
        cursor.ended = true;
    }
    PartStatus::Ready(Bytes::from(text))
}

#[derive(Deserialize)]
struct ResumeQuery {
    after: u64,
}

async fn resume(
    engine: EngineData,
    request: web::Path<String>,
    query: web::Query<ResumeQuery>,
) -> HttpResponse {
    let request = request.into_inner();
    if !engine.lock().streams.contains_key(&request) {
        return error_response(404, "no_such_stream");
    }
    stream_response(&engine, request, query.after, true)
}

#[derive(Deserialize)]
struct ReserveQuery {
    tokens: u64,
}

/// Reserves memory for a request of a gang whose response another engine streams.
async fn reserve_memory(
    engine: EngineData,
    request: web::Path<String>,
    query: web::Query<ReserveQuery>,
) -> HttpResponse {
    let mut state = engine.lock();
    record_arrival(&mut state);
    if state.running_count() >= state.request_limit() as usize {
        state.audit.limit_exceeded += 1;
        return error_response(503, "overloaded");
    }
    if state.held_tokens() + query.tokens > state.settings.memory_tokens {
        state.audit.memory_exceeded += 1;
        return error_response(503, "out_of_memory");
    }
    let stream = EngineStream {
        reserved_tokens: query.tokens,
        priority: 0,
        arrival_number: 0,
        prefill_left: 0.0,
        digest: 0,
        produced_tokens: 0,
        max_output_tokens: u64::MAX,
        finished_at: None,
        is_reservation: true,
    };
    state.streams.insert(request.into_inner(), stream);
    HttpResponse::Created().finish()
}

async fn cancel(engine: EngineData, request: web::Path<String>) -> HttpResponse {
    let mut state = engine.lock();
    match state.streams.remove(request.as_str()) {
        Some(stream) if stream.is_reservation => {
            // A released reservation counts as a completed request, which raises the limit.
            state.completed += 1;
            HttpResponse::NoContent().finish()
        }
        Some(stream) => {
            if stream.is_running() {
                state.audit.cancelled += 1;
            }
            HttpResponse::NoContent().finish()
        }
        None => error_response(404, "no_such_stream"),
    }
}

async fn list(engine: EngineData) -> HttpResponse {
    let state = engine.lock();
    let running = state
        .streams
        .iter()
        .filter(|(_, stream)| stream.is_running());
    let streams: Vec<serde_json::Value> = running
        .map(|(request, stream)| serde_json::json!({ "request": request, "tokens": stream.reserved_tokens }))
        .collect();
    HttpResponse::Ok().json(serde_json::json!({
        "instance": state.instance,
        "streams": streams,
        "version": state.audit.version,
    }))
}

async fn order(engine: EngineData, body: web::Json<OrderBody>) -> HttpResponse {
    let mut state = engine.lock();
    let is_old = body.number < state.last_order_number;
    if is_old && state.settings.checks_fencing {
        return error_response(409, "old_order");
    }
    state.audit.orders_taken += 1;
    state.audit.orders_reverted += u64::from(is_old);
    state.last_order_number = state.last_order_number.max(body.number);
    state.audit.version.clone_from(&body.version);
    HttpResponse::NoContent().finish()
}

async fn set_faults(engine: EngineData, faults: web::Json<EngineFaults>) -> HttpResponse {
    engine.lock().faults = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn restart(engine: EngineData) -> HttpResponse {
    engine.lock().restart();
    engine.progress.notify_waiters();
    HttpResponse::NoContent().finish()
}

async fn audit(engine: EngineData) -> HttpResponse {
    let state = engine.lock();
    let mut audit = state.audit.clone();
    audit.held_tokens = state.held_tokens();
    HttpResponse::Ok().json(audit)
}
