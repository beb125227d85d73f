//! Stand-in for a model engine: batches, memory, cold start, streams, faults.

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

const BODY_LIMIT: usize = 64 << 20;
const PREFILL_CHUNK: Duration = Duration::from_millis(20);
const FINISHED_LINGER: Duration = Duration::from_secs(10);
const KEPT_ARRIVALS: usize = 10_000;
const CACHED_PREFIXES: usize = 64;

/// What the stand-in pretends to be.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Host and port.
    pub listen: String,
    /// KV cache memory in tokens.
    pub memory_tokens: u64,
    /// Requests at once when cold.
    pub cold_limit: u32,
    /// Requests at once when warm.
    pub warm_limit: u32,
    /// Prompt tokens prefilled a second.
    pub prefill_per_s: f64,
    /// Time between two tokens of a stream.
    pub decode_interval: Duration,
    /// Starts warm, for measurements without cold start.
    pub start_warm: bool,
    /// Refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
}

/// Faults that the stand-in plays.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Sends every chunk twice.
    pub duplicate: bool,
    /// Swaps neighbouring chunks.
    pub reorder: bool,
    /// Mixes in chunks of other requests.
    pub strangers: bool,
    /// Ends each connection without an end mark after this many chunks; 0 for never.
    pub cut_after: u64,
    /// Goes silent on each connection after this many chunks; 0 for never.
    pub silent_after: u64,
}

/// What the stand-in counted by itself.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineAudit {
    /// Requests that came over the limit that held at that moment.
    pub limit_exceeded: u64,
    /// Requests that came without memory left.
    pub memory_exceeded: u64,
    /// Tokens of memory held now.
    pub held_tokens: u64,
    /// Requests that came.
    pub received: u64,
    /// When requests came, in milliseconds since the Unix epoch.
    pub arrivals_ms: VecDeque<u64>,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Largest number of requests at once.
    pub most_running: u64,
    /// Orders taken.
    pub orders_taken: u64,
    /// Orders taken after one with a higher number.
    pub orders_reverted: u64,
    /// The version it runs.
    pub version: String,
}

#[derive(Debug)]
struct EngineStream {
    tokens: u64,
    priority: i64,
    arrived: u64,
    prompt_left: f64,
    digest: u64,
    produced: u64,
    max_output: u64,
    finished: Option<Instant>,
    hold_only: bool,
}

impl EngineStream {
    fn running(&self) -> bool {
        self.finished.is_none()
    }
}

#[derive(Debug)]
struct EngineState {
    settings: EngineSettings,
    instance: String,
    completed: u32,
    streams: BTreeMap<String, EngineStream>,
    next_arrival: u64,
    prefixes: VecDeque<u64>,
    faults: EngineFaults,
    last_order: u64,
    audit: EngineAudit,
}

impl EngineState {
    fn limit(&self) -> u32 {
        if self.settings.start_warm {
            return self.settings.warm_limit;
        }
        (self.settings.cold_limit + self.completed).min(self.settings.warm_limit)
    }

    fn running(&self) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.running())
            .count()
    }

    fn held(&self) -> u64 {
        let running = self.streams.values().filter(|stream| stream.running());
        running.map(|stream| stream.tokens).sum()
    }

    fn restart(&mut self) {
        self.instance = new_instance();
        self.completed = 0;
        self.streams.clear();
        self.prefixes.clear();
    }
}

fn new_instance() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// The engine's state and a signal for its loop.
struct EngineCell {
    state: Mutex<EngineState>,
    work: Notify,
    progress: Notify,
}

impl EngineCell {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder panics")
    }
}

type SharedEngine = web::Data<Arc<EngineCell>>;

/// Serves the stand-in.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn serve(settings: EngineSettings) -> std::io::Result<Server> {
    let listen = settings.listen.clone();
    let cell = Arc::new(EngineCell {
        state: Mutex::new(EngineState {
            settings,
            instance: new_instance(),
            completed: 0,
            streams: BTreeMap::new(),
            next_arrival: 0,
            prefixes: VecDeque::new(),
            faults: EngineFaults::default(),
            last_order: 0,
            audit: EngineAudit::default(),
        }),
        work: Notify::new(),
        progress: Notify::new(),
    });
    actix_rt::spawn(run_engine(cell.clone()));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(cell.clone()))
            .app_data(web::JsonConfig::default().limit(BODY_LIMIT))
            .app_data(web::PayloadConfig::default().limit(BODY_LIMIT))
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/v1/streams", web::get().to(list))
            .route("/v1/streams/{request}", web::get().to(resume))
            .route("/v1/streams/{request}", web::put().to(hold))
            .route("/v1/streams/{request}", web::delete().to(cancel))
            .route("/v1/orders", web::post().to(order))
            .route("/v1/fake/faults", web::post().to(set_faults))
            .route("/v1/fake/restart", web::post().to(restart))
            .route("/v1/fake/audit", web::get().to(audit))
    });
    Ok(server.workers(1).bind(listen)?.run())
}

/// The token at `place` of the answer to the prompt with this digest.
pub fn answer_token(digest: u64, place: u64) -> String {
    let mut seed = [0_u8; 16];
    seed[..8].copy_from_slice(&digest.to_le_bytes());
    seed[8..].copy_from_slice(&place.to_le_bytes());
    format!("w{} ", xxh3_64(&seed) % 1000)
}

/// Digest of a prompt, from which its answer follows.
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

async fn run_engine(cell: Arc<EngineCell>) {
    let mut next_decode = Instant::now();
    loop {
        let prefilled = prefill_chunk(&cell).await;
        let interval = cell.lock().settings.decode_interval;
        if Instant::now() >= next_decode {
            decode_step(&cell);
            next_decode = Instant::now() + interval;
        }
        cell.progress.notify_waiters();
        if prefilled {
            continue;
        }
        let decoding = cell
            .lock()
            .streams
            .values()
            .any(|s| s.running() && !s.hold_only);
        if decoding {
            tokio::select! {
                () = sleep(next_decode.saturating_duration_since(Instant::now())) => {}
                () = cell.work.notified() => {}
            }
        } else {
            cell.work.notified().await;
        }
    }
}

/// Prefills part of the prompt that goes first; returns whether there was one.
async fn prefill_chunk(cell: &EngineCell) -> bool {
    let (request, chunk, rate) = {
        let state = cell.lock();
        let rate = state.settings.prefill_per_s;
        let waiting = state
            .streams
            .iter()
            .filter(|(_, stream)| stream.running() && stream.prompt_left > 0.0);
        let next = waiting.min_by_key(|(_, stream)| (stream.priority, stream.arrived));
        let Some((request, stream)) = next else {
            return false;
        };
        let chunk = stream.prompt_left.min(rate * PREFILL_CHUNK.as_secs_f64());
        (request.clone(), chunk, rate)
    };
    let time = Duration::from_secs_f64(chunk / rate);
    if time >= Duration::from_millis(1) {
        sleep(time).await;
    }
    if let Some(stream) = cell.lock().streams.get_mut(&request) {
        stream.prompt_left -= chunk;
        if stream.prompt_left <= 0.5 {
            stream.prompt_left = 0.0;
            stream.produced += 1;
        }
    }
    true
}

fn decode_step(cell: &EngineCell) {
    let mut state = cell.lock();
    let mut completed = 0;
    for stream in state.streams.values_mut() {
        if stream.hold_only || !stream.running() || stream.prompt_left > 0.0 {
            continue;
        }
        if stream.produced < stream.max_output {
            stream.produced += 1;
        }
        if stream.produced >= stream.max_output {
            stream.finished = Some(Instant::now());
            completed += 1;
        }
    }
    state.completed += completed;
    state.streams.retain(|_, stream| {
        stream
            .finished
            .is_none_or(|at| at.elapsed() < FINISHED_LINGER)
    });
}

fn header_number(request: &HttpRequest, name: &str) -> Option<i64> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn refusal(status: u16, kind: &str) -> HttpResponse {
    let code = actix_web::http::StatusCode::from_u16(status).expect("a constant status is valid");
    HttpResponse::build(code).json(serde_json::json!({ "error": { "kind": kind } }))
}

async fn complete(cell: SharedEngine, http: HttpRequest, body: Bytes) -> HttpResponse {
    let Ok(body) = web::block(move || serde_json::from_slice::<ChatBody>(&body)).await else {
        return refusal(500, "blocked");
    };
    let Ok(chat) = body else {
        return refusal(400, "bad_json");
    };
    let request = match http
        .headers()
        .get(REQUEST_HEADER)
        .map(|value| value.to_str())
    {
        Some(Ok(id)) => id.to_owned(),
        _ => format!("own-{:x}", rand::random::<u64>()),
    };
    let gang = header_number(&http, GANG_SIZE_HEADER).unwrap_or(1).max(1) as u64;
    let priority = header_number(&http, PRIORITY_HEADER).unwrap_or(0);
    let continued = chat.continued_tokens();
    {
        let mut state = cell.lock();
        if let Some(refused) = admit(&mut state, &request, &chat, gang, priority) {
            return refused;
        }
    }
    cell.work.notify_one();
    stream_answer(&cell, request, continued, chat.stream)
}

/// Admits a request, or counts the breach and refuses.
fn admit(
    state: &mut EngineState,
    request: &str,
    chat: &ChatBody,
    gang: u64,
    priority: i64,
) -> Option<HttpResponse> {
    let prompt = prompt_tokens(chat);
    let max_output = chat.max_tokens.unwrap_or(16).max(1);
    let tokens = (prompt + max_output).div_ceil(gang);
    note_arrival(state);
    if state.running() >= state.limit() as usize {
        state.audit.limit_exceeded += 1;
        return Some(refusal(503, "overloaded"));
    }
    if state.held() + tokens > state.settings.memory_tokens {
        state.audit.memory_exceeded += 1;
        return Some(refusal(503, "out_of_memory"));
    }
    let prompt_left = prompt as f64 / gang as f64 - cached_tokens(state, chat) as f64;
    let arrived = state.next_arrival;
    state.next_arrival += 1;
    let stream = EngineStream {
        tokens,
        priority,
        arrived,
        prompt_left: prompt_left.max(1.0),
        digest: prompt_digest(chat),
        produced: chat.continued_tokens(),
        max_output,
        finished: None,
        hold_only: false,
    };
    state.streams.insert(request.to_owned(), stream);
    let running = state.running() as u64;
    state.audit.most_running = state.audit.most_running.max(running);
    None
}

fn note_arrival(state: &mut EngineState) {
    state.audit.received += 1;
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = now.map_or(0, |since| since.as_millis() as u64);
    state.audit.arrivals_ms.push_back(at_ms);
    if state.audit.arrivals_ms.len() > KEPT_ARRIVALS {
        state.audit.arrivals_ms.pop_front();
    }
}

/// Tokens of the system message, when it is cached; caches it otherwise.
fn cached_tokens(state: &mut EngineState, chat: &ChatBody) -> u64 {
    let Some(system) = chat.messages.first().filter(|first| first.role == "system") else {
        return 0;
    };
    let hash = xxh3_64(system.content.as_bytes());
    if state.prefixes.contains(&hash) {
        return system.tokens();
    }
    state.prefixes.push_back(hash);
    if state.prefixes.len() > CACHED_PREFIXES {
        state.prefixes.pop_front();
    }
    0
}

/// Where one connection stands in a stream.
struct StreamCursor {
    cell: Arc<EngineCell>,
    request: String,
    instance: String,
    next: u64,
    sent: u64,
    ended: bool,
}

fn stream_answer(cell: &SharedEngine, request: String, after: u64, _sse: bool) -> HttpResponse {
    let cursor = StreamCursor {
        instance: cell.lock().instance.clone(),
        cell: cell.get_ref().clone(),
        request,
        next: after + 1,
        sent: 0,
        ended: false,
    };
    let chunks = stream::unfold(cursor, |mut cursor| async move {
        let part = next_part(&mut cursor).await?;
        Some((part, cursor))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(chunks)
}

/// The next bytes of a stream, or `None` at its end. Ends with an error when the
/// engine restarted.
async fn next_part(cursor: &mut StreamCursor) -> Option<Result<Bytes, std::io::Error>> {
    if cursor.ended {
        return None;
    }
    let cell = cursor.cell.clone();
    loop {
        let progress = cell.progress.notified();
        match ready_part(cursor) {
            PartState::Ready(bytes) => return Some(Ok(bytes)),
            PartState::Gone => {
                cursor.ended = true;
                return Some(Err(std::io::Error::other("stream is gone")));
            }
            PartState::Silent => std::future::pending::<()>().await,
            PartState::Wait => {}
        }
        tokio::select! {
            () = progress => {}
            () = sleep(Duration::from_millis(50)) => {}
        }
    }
}

enum PartState {
    Ready(Bytes),
    Wait,
    Silent,
    Gone,
}

fn ready_part(cursor: &mut StreamCursor) -> PartState {
    let state = cursor.cell.lock();
    if state.instance != cursor.instance {
        return PartState::Gone;
    }
    let Some(stream) = state.streams.get(&cursor.request) else {
        return PartState::Gone;
    };
    let faults = &state.faults;
    if faults.cut_after > 0 && cursor.sent >= faults.cut_after {
        return PartState::Gone;
    }
    if faults.silent_after > 0 && cursor.sent >= faults.silent_after {
        return PartState::Silent;
    }
    if cursor.next > stream.produced {
        return PartState::Wait;
    }
    let text_of = |seq: u64| {
        let last = seq == stream.max_output;
        let chunk = StreamChunk {
            request: cursor.request.clone(),
            seq,
            content: answer_token(stream.digest, seq),
            last,
        };
        encode_chunk(&chunk)
    };
    let swap = faults.reorder && cursor.next < stream.produced;
    let mut text = String::new();
    if swap {
        text.push_str(&text_of(cursor.next + 1));
    }
    text.push_str(&text_of(cursor.next));
    if faults.duplicate {
        text.push_str(&text_of(cursor.next));
    }
    if faults.strangers {
        let stranger = StreamChunk {
            request: "req-00000000deadbeef".into(),
            seq: cursor.next + 1,
            content: "stranger ".into(),
            last: false,
        };
        text.push_str(&encode_chunk(&stranger));
    }
    cursor.next += if swap { 2 } else { 1 };
    cursor.sent += 1;
    if cursor.next > stream.max_output {
        text.push_str("data: [DONE]\n\n");
        cursor.ended = true;
    }
    PartState::Ready(Bytes::from(text))
}

#[derive(Deserialize)]
struct ResumeQuery {
    after: u64,
}

async fn resume(
    cell: SharedEngine,
    request: web::Path<String>,
    query: web::Query<ResumeQuery>,
) -> HttpResponse {
    let request = request.into_inner();
    if !cell.lock().streams.contains_key(&request) {
        return refusal(404, "no_such_stream");
    }
    stream_answer(&cell, request, query.after, true)
}

#[derive(Deserialize)]
struct HoldQuery {
    tokens: u64,
}

/// Holds memory for a gang that another engine leads.
async fn hold(
    cell: SharedEngine,
    request: web::Path<String>,
    query: web::Query<HoldQuery>,
) -> HttpResponse {
    let mut state = cell.lock();
    note_arrival(&mut state);
    if state.running() >= state.limit() as usize {
        state.audit.limit_exceeded += 1;
        return refusal(503, "overloaded");
    }
    if state.held() + query.tokens > state.settings.memory_tokens {
        state.audit.memory_exceeded += 1;
        return refusal(503, "out_of_memory");
    }
    let stream = EngineStream {
        tokens: query.tokens,
        priority: 0,
        arrived: 0,
        prompt_left: 0.0,
        digest: 0,
        produced: 0,
        max_output: u64::MAX,
        finished: None,
        hold_only: true,
    };
    state.streams.insert(request.into_inner(), stream);
    HttpResponse::Created().finish()
}

async fn cancel(cell: SharedEngine, request: web::Path<String>) -> HttpResponse {
    let mut state = cell.lock();
    match state.streams.remove(request.as_str()) {
        Some(stream) if stream.hold_only => {
            state.completed += 1;
            HttpResponse::NoContent().finish()
        }
        Some(stream) => {
            if stream.running() {
                state.audit.cancelled += 1;
            }
            HttpResponse::NoContent().finish()
        }
        None => refusal(404, "no_such_stream"),
    }
}

async fn list(cell: SharedEngine) -> HttpResponse {
    let state = cell.lock();
    let running = state.streams.iter().filter(|(_, stream)| stream.running());
    let streams: Vec<serde_json::Value> = running
        .map(|(request, stream)| serde_json::json!({ "request": request, "tokens": stream.tokens }))
        .collect();
    HttpResponse::Ok().json(serde_json::json!({
        "instance": state.instance,
        "streams": streams,
        "version": state.audit.version,
    }))
}

async fn order(cell: SharedEngine, body: web::Json<OrderBody>) -> HttpResponse {
    let mut state = cell.lock();
    let old = body.number < state.last_order;
    if old && state.settings.checks_fencing {
        return refusal(409, "old_order");
    }
    state.audit.orders_taken += 1;
    state.audit.orders_reverted += u64::from(old);
    state.last_order = state.last_order.max(body.number);
    state.audit.version.clone_from(&body.version);
    HttpResponse::NoContent().finish()
}

async fn set_faults(cell: SharedEngine, faults: web::Json<EngineFaults>) -> HttpResponse {
    cell.lock().faults = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn restart(cell: SharedEngine) -> HttpResponse {
    cell.lock().restart();
    cell.progress.notify_waiters();
    HttpResponse::NoContent().finish()
}

async fn audit(cell: SharedEngine) -> HttpResponse {
    let state = cell.lock();
    let mut audit = state.audit.clone();
    audit.held_tokens = state.held();
    HttpResponse::Ok().json(audit)
}
