//! Fakes of targets that keep a shared ledger of the requests they ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::BackgroundRuntime;
use super::http::{ReceivedRequest, ResponseStep, StepSender, encode_response, serve};
use super::proxy::{FaultProxy, ProxyFault};

/// How a fake target responds to requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TargetMode {
    Healthy,
    /// Runs requests, then resets the connection before or within the response.
    ResetsAfterRun,
    /// Runs requests and never responds.
    Hangs,
    /// Runs requests without an event for as long as they are connected, and reports its state.
    Prefills,
    /// Refuses requests without running them, for lack of capacity.
    Full,
    /// Closes the connection before the response is complete.
    Truncates,
    /// Closes the connection after this many bytes of the response's head.
    CutsHead(usize),
    /// Sends each response twice.
    AnswersTwice,
    /// Refuses a connection's first request without running it, and sends that refusal once more
    /// before the response to each later request on the connection.
    RepeatsRefusal,
    /// Runs requests and responds with this status and the seal, but does not state whether it ran
    /// them.
    RunsAndAnswers(u16),
    /// Sends responses without a length and closes the connection in order.
    Unframed,
    /// Sends part of a response without a length and resets the connection.
    UnframedReset,
    /// Sends a stream without a length or chunks, and closes the connection inside an event.
    UnframedInsideEvent,
    /// Sends the head of a stream without a length or chunks, and closes the connection.
    UnframedEmpty,
    /// Responds with an error of its own, seal included.
    Fails,
    /// Closes the connection inside a stream, and answers a request to resume it like this.
    BreaksThenAnswers(ResumeAnswer),
    /// Responds before it has read the body.
    Early,
    /// Sends a part of a response without end, until the connection is closed.
    Endless(EndlessPart, FloodPace),
    /// Resets the connection when a stream stays unread for this long.
    CutsUnread(Duration),
    /// Sends complete responses whose head begins with these lines in place of the status line.
    HeadStart(&'static str),
}

/// A response, with id and seal, that is no continuation of a stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ResumeAnswer {
    Error,
    ErrorAsEvents,
    /// Success with a text that ends like an event.
    Text,
    Json,
    NoContent,
    /// Success without any event.
    Empty,
    /// Success of which only the head arrives, without a length or chunks.
    HeadOnly,
    /// An event without an id, then the rest of the stream.
    ErrorEvent,
    /// The head of an error, in a stream.
    HeadOfError,
    /// The rest of the stream, whose head begins with these lines in place of the status line.
    HeadStart(&'static str),
}

impl ResumeAnswer {
    pub const ALL: [Self; 9] = [
        Self::Error,
        Self::ErrorAsEvents,
        Self::Text,
        Self::Json,
        Self::NoContent,
        Self::Empty,
        Self::HeadOnly,
        Self::ErrorEvent,
        Self::HeadOfError,
    ];

    fn encode(self, id: &str, seal: &str) -> Vec<u8> {
        let events = "text/event-stream";
        let (status, content_type, body) = match self {
            Self::Error => (500, "text/plain", "error: out of memory"),
            Self::ErrorAsEvents => (500, events, "id: 5\ndata: error: out of memory\n\n"),
            Self::Text => (200, "text/plain", "error: out of memory\n\n"),
            Self::Json => (200, "application/json", "{\"error\":\"out of memory\"}"),
            Self::NoContent => (204, events, ""),
            Self::Empty | Self::HeadOnly => (200, events, ""),
            Self::ErrorEvent => (
                200,
                events,
                "event: error\ndata: error\n\nid: 5\ndata: x\n\n",
            ),
            Self::HeadOfError => (
                200,
                events,
                "HTTP/1.1 500 X\r\ncontent-length: 5\r\n\r\nerror",
            ),
            Self::HeadStart(_) => (
                200,
                events,
                "id: 4\ndata: x\n\nid: 5\ndata: x\n\nid: 6\ndata: x\n\nid: 7\ndata: x\n\nid: 8\ndata: x\n\n",
            ),
        };
        if self == Self::HeadOnly {
            let head = format!(
                "HTTP/1.1 200 X\r\nx-plantainnotch-request-id: {id}\r\nx-plantainnotch-replica-seal: {seal}\r\ncontent-type: {events}\r\n\r\n"
            );
            return head.into_bytes();
        }
        let headers = [
            ("x-plantainnotch-request-id", id),
            ("x-plantainnotch-replica-seal", seal),
            ("content-type", content_type),
        ];
        let response = encode_response(status, &headers, body.as_bytes());
        match self {
            Self::HeadStart(start) => with_head_start(&response, start),
            _ => response,
        }
    }
}

/// Replaces the status line of a response.
fn with_head_start(response: &[u8], start: &str) -> Vec<u8> {
    let status_line = response.windows(2).position(|window| window == b"\r\n");
    let rest = status_line.map_or(response, |end| &response[end + 2..]);
    [start.as_bytes(), rest].concat()
}

/// The part of a response that never ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EndlessPart {
    StatusLine,
    HeaderLine,
    Headers,
    InterimHeads,
    Body,
    ChunkSize,
    ChunkExtension,
    OneByteChunks,
    Trailers,
    Event,
    Comments,
    /// A complete response, followed by further bytes.
    Surplus,
}

impl EndlessPart {
    pub const ALL: [Self; 12] = [
        Self::StatusLine,
        Self::HeaderLine,
        Self::Headers,
        Self::InterimHeads,
        Self::Body,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::OneByteChunks,
        Self::Trailers,
        Self::Event,
        Self::Comments,
        Self::Surplus,
    ];

    /// The bytes before the endless part, given a response's headers, and the bytes that repeat.
    fn encode(self, headers: &str) -> (String, &'static str) {
        let ok = format!("HTTP/1.1 200 X\r\n{headers}");
        let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), "X"),
            Self::HeaderLine => (format!("{ok}x-endless: "), "x"),
            Self::Headers => (ok, "x-endless: x\r\n"),
            Self::InterimHeads => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Self::Body => (format!("{ok}\r\n"), "x"),
            Self::ChunkSize => (chunked, "0"),
            Self::ChunkExtension => (format!("{chunked}5;"), "x"),
            Self::OneByteChunks => (chunked, "1\r\nx\r\n"),
            Self::Trailers => (format!("{chunked}5\r\nhello\r\n0\r\n"), "x-trailer: x\r\n"),
            Self::Event => (format!("{chunked}40\r\nid: 1\ndata: "), "x"),
            Self::Comments => (chunked, "3\r\n:c\n\r\n"),
            Self::Surplus => (format!("{ok}content-length: 5\r\n\r\nhello"), "x"),
        }
    }
}

/// How fast an endless part is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FloodPace {
    /// As fast as the socket takes it.
    Fast,
    /// One repetition in a second.
    Slow,
}

/// Time of a pass at the declared speed with a few streams, by the test configuration.
const DECLARED_PASS: Duration = Duration::from_millis(48);
const FLOOD_BLOCK_BYTES: usize = 64 * 1024;
const RESTART_TIME: Duration = Duration::from_secs(2);

/// One request that a target ran.
#[derive(Debug, Clone)]
pub struct RunRecord {
    pub id: String,
    pub target: String,
    pub service: String,
    pub team: Option<String>,
    pub key_seen: bool,
    pub requested_target: Option<String>,
    pub deadline_ms: Option<u64>,
    pub path: String,
    pub body: Vec<u8>,
    pub last_event: Option<u64>,
    /// Reservations that the request names, each with the address of its target.
    pub reservations: Vec<String>,
    pub started_at: Instant,
}

/// Memory reserved at a target.
#[derive(Debug, Clone)]
pub struct MemoryReservation {
    pub target: String,
    pub id: String,
    pub expires_at: Instant,
}

/// Requests and orders that the targets of a test received.
#[derive(Default)]
pub struct RunLedger {
    pub runs: Vec<RunRecord>,
    /// Requests that targets refused for lack of capacity: target, request and time.
    pub refusals: Vec<(String, String, Instant)>,
    pub reservations: BTreeMap<String, MemoryReservation>,
    pub released: usize,
    /// Ids of requests whose sender closed the connection while they ran.
    pub abandoned: Vec<String>,
    pub longest_reservation: Duration,
}

/// Ledger shared by the targets of a test.
pub type SharedRunLedger = Arc<Mutex<RunLedger>>;

/// Records a request whose sender closed the connection before the response was complete.
struct DisconnectGuard {
    ledger: SharedRunLedger,
    id: String,
    completed: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.completed {
            let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.abandoned.push(self.id.clone());
        }
    }
}

#[derive(Clone)]
pub struct FakeTarget {
    pub id: String,
    pub service: String,
    pub domain: String,
    pub address: SocketAddr,
    pub is_engine: bool,
    /// Number of a stream's events, and the bytes by which each is longer than usual.
    stream_shape: Arc<Mutex<(u64, usize)>>,
    delay: Arc<Mutex<Duration>>,
    mode: Arc<Mutex<TargetMode>>,
    /// Part of a prompt on which it crashes when it begins to respond.
    crashing_part: Arc<Mutex<Option<String>>>,
    crashed_at: Arc<Mutex<Option<Instant>>>,
    crashes: Arc<AtomicU64>,
    /// Path of the requests on which it crashes, and how long after it began to run one.
    crashing_path: Arc<Mutex<Option<(String, Duration)>>>,
    /// In front of it, and refuses connections while it restarts after such a crash.
    proxy: Arc<Mutex<Option<FaultProxy>>>,
    /// Whether its responses say that it leaves.
    leaving: Arc<AtomicBool>,
    /// Milliseconds in the `Retry-After` of its refusals, 0 for none.
    retry_after_ms: Arc<AtomicU64>,
    /// The refusals that [`TargetMode::RepeatsRefusal`] sent, by connection.
    sent_refusals: Arc<Mutex<BTreeMap<u64, Vec<u8>>>>,
    /// Requests a second that its responses name as its limit, if any.
    rate_limit: Arc<Mutex<Option<f64>>>,
    /// Its report, in place of the one with the pace of its streams.
    report: Arc<Mutex<Option<Value>>>,
    /// Requests for its report so far.
    pub report_requests: Arc<AtomicU64>,
    /// Whether its process is stopped.
    stopped: watch::Sender<bool>,
    ledger: SharedRunLedger,
}

impl FakeTarget {
    pub fn start(
        runtime: &BackgroundRuntime,
        id: &str,
        service: &str,
        domain: &str,
        is_engine: bool,
        ledger: SharedRunLedger,
    ) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener
            .set_nonblocking(true)
            .expect("sockets can be non-blocking");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let target = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            domain: domain.to_owned(),
            address,
            is_engine,
            stream_shape: Arc::new(Mutex::new((8, 0))),
            delay: Arc::new(Mutex::new(Duration::from_millis(15))),
            mode: Arc::new(Mutex::new(TargetMode::Healthy)),
            crashing_part: Arc::default(),
            crashed_at: Arc::default(),
            crashes: Arc::default(),
            crashing_path: Arc::default(),
            proxy: Arc::default(),
            leaving: Arc::default(),
            retry_after_ms: Arc::default(),
            sent_refusals: Arc::default(),
            rate_limit: Arc::default(),
            report: Arc::default(),
            report_requests: Arc::default(),
            stopped: watch::Sender::new(false),
            ledger,
        };
        let stopped = target.stopped.subscribe();
        let served_target = target.clone();
        let _guard = runtime.enter();
        let listener = TcpListener::from_std(listener).expect("the runtime accepts the socket");
        runtime.spawn(serve(listener, stopped, move |request, steps| {
            let target = served_target.clone();
            async move { target.respond(request, steps).await }
        }));
        target
    }

    pub fn set_mode(&self, mode: TargetMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Stops or continues the target's process, as SIGSTOP and SIGCONT do.
    pub fn set_stopped(&self, stopped: bool) {
        self.stopped.send_replace(stopped);
    }

    /// Makes the target say in its responses to requests that it leaves.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Makes the target refuse all requests and ask for a pause.
    pub fn refuse_for(&self, pause: Duration) {
        let pause_ms = pause.as_millis() as u64;
        self.retry_after_ms.store(pause_ms, Ordering::Relaxed);
        self.set_mode(TargetMode::Full);
    }

    /// Makes the target name a rate limit in its responses to requests, or none.
    pub fn name_limit(&self, requests_per_s: Option<f64>) {
        let mut rate_limit = self
            .rate_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *rate_limit = requests_per_s;
    }

    fn limit_text(&self) -> Option<String> {
        let rate_limit = *self
            .rate_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        rate_limit.map(|rate| rate.to_string())
    }

    fn leaving_header(&self) -> &'static str {
        if self.leaving.load(Ordering::Relaxed) {
            "server-leaving: 1\r\n"
        } else {
            ""
        }
    }

    /// Makes the target crash on each request whose prompt has `part`.
    pub fn crash_on(&self, part: &str) {
        let mut crashing_part = self
            .crashing_part
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *crashing_part = Some(part.to_owned());
    }

    fn crashes_on(&self, request: &ReceivedRequest) -> bool {
        let crashing_part = self
            .crashing_part
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let parts = request
            .header("x-plantainnotch-prefix-hash")
            .unwrap_or_default();
        crashing_part
            .as_ref()
            .is_some_and(|part| parts.contains(&format!("{part}:")))
    }

    /// Makes the target crash on each request for `path`, `delay` after it began to run it, also if
    /// the sender has given up by then.
    pub fn crash_on_path(&self, path: &str, delay: Duration) {
        let mut crashing_path = self
            .crashing_path
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *crashing_path = Some((path.to_owned(), delay));
    }

    /// Sets the proxy that refuses connections while the target restarts.
    pub fn set_proxy(&self, proxy: &FaultProxy) {
        let mut own = self.proxy.lock().unwrap_or_else(PoisonError::into_inner);
        *own = Some(proxy.clone());
    }

    fn crash_delay(&self, path: &str) -> Option<Duration> {
        let crashing_path = self
            .crashing_path
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (crashing, delay) = crashing_path.as_ref()?;
        (crashing == path).then_some(*delay)
    }

    /// Crashes after `delay`, and refuses connections until it has restarted.
    async fn crash_after(self, delay: Duration) {
        tokio::time::sleep(delay).await;
        self.crash();
        let proxy = self
            .proxy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if let Some(proxy) = proxy {
            proxy.set(ProxyFault::Refuse);
            tokio::time::sleep(RESTART_TIME).await;
            proxy.set(ProxyFault::None);
        }
    }

    fn crash(&self) {
        let mut crashed_at = self
            .crashed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *crashed_at = Some(Instant::now());
        self.crashes.fetch_add(1, Ordering::Relaxed);
    }

    fn is_restarting(&self) -> bool {
        let crashed_at = *self
            .crashed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        crashed_at.is_some_and(|at| at.elapsed() < RESTART_TIME)
    }

    pub fn set_report(&self, report: Value) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = Some(report);
    }

    fn report(&self) -> String {
        self.report_requests.fetch_add(1, Ordering::Relaxed);
        let report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        let pace = self.delay().div_duration_f64(DECLARED_PASS).max(1.0);
        let with_pace = json!({"waiting": 0, "running": 0, "pace": pace});
        report.clone().unwrap_or(with_pace).to_string()
    }

    /// Sets the time before each event of a stream, or before a plain response.
    pub fn set_delay(&self, delay: Duration) {
        *self.delay.lock().unwrap_or_else(PoisonError::into_inner) = delay;
    }

    /// Sets the number of a stream's events, and the bytes by which each is longer than usual.
    pub fn set_stream_shape(&self, event_count: u64, padding_bytes: usize) {
        let mut shape = self
            .stream_shape
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *shape = (event_count, padding_bytes);
    }

    fn delay(&self) -> Duration {
        *self.delay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The record that the target publishes in the store; `address` may be that of a proxy.
    pub fn record(&self, address: SocketAddr, state: &str) -> Value {
        json!({
            "service": self.service, "address": address.to_string(), "zone": self.domain,
            "version": "v1", "slots": 16, "state": state, "warmup_left_ms": 0,
            "stage": "unified", "models": [], "sequence": 1, "born": 1,
        })
    }

    async fn respond(&self, request: ReceivedRequest, steps: StepSender) {
        if request.path == "/api/order" {
            let response = self.handle_order(&request);
            steps.send(ResponseStep::Write(response)).await.ok();
            return;
        }
        let id = request
            .header("x-plantainnotch-request-id")
            .unwrap_or_default()
            .to_owned();
        let requested_target = request.header("x-plantainnotch-target-replica");
        if requested_target.is_some_and(|requested_target| requested_target != self.id) {
            let response = encode_response(421, &[("x-plantainnotch-request-id", &id)], b"");
            steps.send(ResponseStep::Write(response)).await.ok();
            return;
        }
        if self.is_restarting() {
            steps.send(ResponseStep::Reset).await.ok();
            return;
        }
        let mode = *self.mode.lock().unwrap_or_else(PoisonError::into_inner);
        if request.path == "/api/report" {
            let step = if mode == TargetMode::Hangs {
                ResponseStep::Silence
            } else {
                ResponseStep::Write(encode_response(200, &[], self.report().as_bytes()))
            };
            steps.send(step).await.ok();
            return;
        }
        if mode == TargetMode::Full {
            self.record_refusal(&id);
            let pause_ms = self.retry_after_ms.load(Ordering::Relaxed);
            let retry_after = format!("{}", pause_ms as f64 / 1000.0);
            let mut headers = vec![
                ("x-plantainnotch-request-id", id.as_str()),
                ("x-plantainnotch-not-executed", "1"),
            ];
            if pause_ms > 0 {
                headers.push(("retry-after", retry_after.as_str()));
            }
            let limit = self.limit_text();
            if let Some(limit) = &limit {
                headers.push(("server-limit", limit.as_str()));
            }
            steps
                .send(ResponseStep::Write(encode_response(503, &headers, b"")))
                .await
                .ok();
            return;
        }
        if mode == TargetMode::RepeatsRefusal {
            match self.earlier_refusal(&request, &id) {
                Ok(refusal) => {
                    steps.send(ResponseStep::Write(refusal)).await.ok();
                }
                Err(refusal) => {
                    self.record_refusal(&id);
                    steps.send(ResponseStep::Write(refusal)).await.ok();
                    return;
                }
            }
        }
        self.record_run(&request, &id);
        if let Some(delay) = self.crash_delay(&request.path) {
            tokio::spawn(self.clone().crash_after(delay));
            steps.send(ResponseStep::Silence).await.ok();
            return;
        }
        let mut guard = DisconnectGuard {
            ledger: self.ledger.clone(),
            id: id.clone(),
            completed: false,
        };
        if let TargetMode::Endless(part, pace) = mode {
            self.send_endless(&id, part, pace, &steps).await;
        } else if self.is_engine
            && !matches!(
                mode,
                TargetMode::Fails
                    | TargetMode::Hangs
                    | TargetMode::Prefills
                    | TargetMode::RunsAndAnswers(_)
            )
        {
            self.send_stream(&request, &id, mode, &steps).await;
        } else {
            self.send_plain(&id, mode, &steps).await;
        }
        guard.completed = true;
    }

    /// The refusal that was sent on the connection before, or as an error the one to send now.
    fn earlier_refusal(&self, request: &ReceivedRequest, id: &str) -> Result<Vec<u8>, Vec<u8>> {
        let headers = [
            ("x-plantainnotch-request-id", id),
            ("x-plantainnotch-not-executed", "1"),
        ];
        let refusal = encode_response(503, &headers, b"");
        let mut sent = self
            .sent_refusals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match sent.get(&request.connection) {
            Some(earlier) => Ok(earlier.clone()),
            // Only the first connection is refused, so that requests are served at all.
            None if !sent.is_empty() => Ok(Vec::new()),
            None => {
                sent.insert(request.connection, refusal.clone());
                Err(refusal)
            }
        }
    }

    fn record_refusal(&self, id: &str) {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        let refusal = (self.id.clone(), id.to_owned(), Instant::now());
        ledger.refusals.push(refusal);
    }

    fn record_run(&self, request: &ReceivedRequest, id: &str) {
        let text = |name: &str| request.header(name).map(str::to_owned);
        let record = RunRecord {
            id: id.to_owned(),
            target: self.id.clone(),
            service: self.service.clone(),
            team: text("x-plantainnotch-tenant"),
            key_seen: request.header("x-plantainnotch-key").is_some(),
            requested_target: text("x-plantainnotch-target-replica"),
            deadline_ms: text("x-plantainnotch-deadline").and_then(|value| value.parse().ok()),
            path: request.path.clone(),
            body: request.body.clone(),
            last_event: text("last-event-id").and_then(|value| value.parse().ok()),
            reservations: text("x-plantainnotch-helpers")
                .unwrap_or_default()
                .split(',')
                .filter(|helper| helper.contains('/'))
                .map(str::to_owned)
                .collect(),
            started_at: Instant::now(),
        };
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.runs.push(record);
    }

    async fn send_plain(&self, id: &str, mode: TargetMode, steps: &StepSender) {
        let seal = format!("seal-{}-{id}", self.id);
        let headers = [
            ("x-plantainnotch-request-id", id),
            ("x-plantainnotch-replica-seal", seal.as_str()),
        ];
        let body = format!("answer to {id} from {}", self.id);
        let body = body.as_bytes();
        steps.send(ResponseStep::Wait(self.delay())).await.ok();
        let mut headers = headers.to_vec();
        if !self.leaving_header().is_empty() {
            headers.push(("server-leaving", "1"));
        }
        let limit = self.limit_text();
        if let Some(limit) = &limit {
            headers.push(("server-limit", limit.as_str()));
        }
        let whole = encode_response(200, &headers, body);
        let lines: String = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let unframed = format!("HTTP/1.1 200 X\r\n{lines}\r\n");
        let response_steps = match mode {
            TargetMode::ResetsAfterRun => vec![ResponseStep::Reset],
            TargetMode::Hangs | TargetMode::Prefills => vec![ResponseStep::Silence],
            TargetMode::Truncates => {
                vec![
                    ResponseStep::Write(whole[..whole.len() - 5].to_vec()),
                    ResponseStep::Close,
                ]
            }
            TargetMode::AnswersTwice => vec![ResponseStep::Write([whole.clone(), whole].concat())],
            TargetMode::CutsHead(length) => {
                vec![
                    ResponseStep::Write(cut_head(&whole, length)),
                    ResponseStep::Close,
                ]
            }
            TargetMode::Unframed => vec![
                ResponseStep::Write([unframed.as_bytes(), body].concat()),
                ResponseStep::Close,
            ],
            TargetMode::UnframedReset => vec![
                ResponseStep::Write([unframed.as_bytes(), &body[..4]].concat()),
                ResponseStep::Wait(Duration::from_millis(20)),
                ResponseStep::Reset,
            ],
            TargetMode::HeadStart(start) => {
                vec![ResponseStep::Write(with_head_start(&whole, start))]
            }
            TargetMode::Fails => vec![ResponseStep::Write(encode_response(
                500, &headers, b"failed",
            ))],
            TargetMode::RunsAndAnswers(status) => vec![ResponseStep::Write(encode_response(
                status, &headers, b"failed",
            ))],
            TargetMode::Healthy
            | TargetMode::Full
            | TargetMode::Early
            | TargetMode::RepeatsRefusal
            | TargetMode::BreaksThenAnswers(_)
            | TargetMode::UnframedInsideEvent
            | TargetMode::UnframedEmpty
            | TargetMode::CutsUnread(_)
            | TargetMode::Endless(..) => vec![ResponseStep::Write(whole)],
        };
        for step in response_steps {
            steps.send(step).await.ok();
        }
    }

    async fn send_endless(&self, id: &str, part: EndlessPart, pace: FloodPace, steps: &StepSender) {
        let headers = format!(
            "x-plantainnotch-request-id: {id}\r\nx-plantainnotch-replica-seal: seal-{}-{id}\r\n",
            self.id
        );
        let (start, repeated) = part.encode(&headers);
        steps
            .send(ResponseStep::Write(start.into_bytes()))
            .await
            .ok();
        let (block, pause) = match pace {
            FloodPace::Fast => (
                repeated.repeat(FLOOD_BLOCK_BYTES / repeated.len()),
                Duration::ZERO,
            ),
            FloodPace::Slow => (repeated.to_owned(), Duration::from_secs(1)),
        };
        loop {
            let step = ResponseStep::Write(block.clone().into_bytes());
            if steps.send(step).await.is_err()
                || steps.send(ResponseStep::Wait(pause)).await.is_err()
            {
                return;
            }
        }
    }

    async fn send_stream(
        &self,
        request: &ReceivedRequest,
        id: &str,
        mode: TargetMode,
        steps: &StepSender,
    ) {
        let from = request
            .header("last-event-id")
            .and_then(|value| value.parse::<u64>().ok())
            .map_or(1, |last| last + 1);
        let seal = format!("seal-{}-{id}", self.id);
        let is_framed = !matches!(
            mode,
            TargetMode::Unframed | TargetMode::UnframedInsideEvent | TargetMode::UnframedEmpty
        );
        let framing = if is_framed {
            "transfer-encoding: chunked\r\n"
        } else {
            ""
        };
        let limit = self.limit_text();
        let limit_header =
            limit.map_or(String::new(), |limit| format!("server-limit: {limit}\r\n"));
        let head = format!(
            "HTTP/1.1 200 X\r\nx-plantainnotch-request-id: {id}\r\nx-plantainnotch-replica-seal: {seal}\r\ncontent-type: text/event-stream\r\n{}{limit_header}{framing}\r\n",
            self.leaving_header()
        );
        let head = match mode {
            TargetMode::HeadStart(start) => {
                let bytes = with_head_start(head.as_bytes(), start);
                String::from_utf8(bytes).expect("both parts are text")
            }
            _ => head,
        };
        if mode == TargetMode::UnframedEmpty {
            steps
                .send(ResponseStep::Write(head.into_bytes()))
                .await
                .ok();
            steps.send(ResponseStep::Close).await.ok();
            return;
        }
        if let TargetMode::CutsHead(length) = mode {
            let bytes = cut_head(head.as_bytes(), length);
            steps.send(ResponseStep::Write(bytes)).await.ok();
            steps.send(ResponseStep::Close).await.ok();
            return;
        }
        if let TargetMode::BreaksThenAnswers(answer) = mode
            && request.header("last-event-id").is_some()
        {
            let bytes = answer.encode(id, &seal);
            steps.send(ResponseStep::Write(bytes)).await.ok();
            steps.send(ResponseStep::Close).await.ok();
            return;
        }
        let crashes_before = self.crashes.load(Ordering::Relaxed);
        let mut unsent_head = Some(head);
        let (event_count, padding_bytes) = *self
            .stream_shape
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let padding = "x".repeat(padding_bytes);
        for event in from..=event_count {
            steps.send(ResponseStep::Wait(self.delay())).await.ok();
            if self.crashes_on(request) {
                let head = unsent_head.take().unwrap_or_default();
                steps
                    .send(ResponseStep::Write(head.into_bytes()))
                    .await
                    .ok();
                self.crash();
            }
            if self.crashes.load(Ordering::Relaxed) != crashes_before {
                steps.send(ResponseStep::Reset).await.ok();
                return;
            }
            let text = format!("id: {event}\ndata: {id} {event}{padding}\n\n");
            let chunk = if is_framed {
                format!("{:x}\r\n{text}\r\n", text.len())
            } else {
                text
            };
            let mut bytes = unsent_head.take().unwrap_or_default();
            bytes.push_str(&chunk);
            let breaks_here = event == event_count / 2;
            let is_cut = matches!(
                mode,
                TargetMode::Truncates
                    | TargetMode::BreaksThenAnswers(_)
                    | TargetMode::ResetsAfterRun
                    | TargetMode::UnframedInsideEvent
            );
            if breaks_here && is_cut {
                let cut_at = bytes.len() - 9;
                steps
                    .send(ResponseStep::Write(bytes.as_bytes()[..cut_at].to_vec()))
                    .await
                    .ok();
                let end = if mode == TargetMode::ResetsAfterRun {
                    ResponseStep::Reset
                } else {
                    ResponseStep::Close
                };
                steps.send(end).await.ok();
                return;
            }
            let step = match mode {
                TargetMode::CutsUnread(limit) => {
                    ResponseStep::WriteWithin(bytes.into_bytes(), limit)
                }
                _ => ResponseStep::Write(bytes.into_bytes()),
            };
            if steps.send(step).await.is_err() {
                return;
            }
        }
        if !is_framed {
            steps.send(ResponseStep::Close).await.ok();
            return;
        }
        let mut end = unsent_head.take().unwrap_or_default();
        end.push_str("0\r\n\r\n");
        steps.send(ResponseStep::Write(end.into_bytes())).await.ok();
    }

    fn handle_order(&self, request: &ReceivedRequest) -> Vec<u8> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        let key = format!("{}/{id}", self.id);
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        if body["operation"] == "reserve" {
            let lease = Duration::from_millis(body["hold_ms"].as_u64().unwrap_or(0));
            let reservation = MemoryReservation {
                target: self.id.clone(),
                id,
                expires_at: Instant::now() + lease,
            };
            ledger.longest_reservation = ledger.longest_reservation.max(lease);
            ledger.reservations.insert(key, reservation);
        } else {
            ledger.released += 1;
            ledger.reservations.remove(&key);
        }
        encode_response(200, &[], br#"{"free":100000}"#)
    }
}

/// The first `length` bytes of a response, without the end of its head.
fn cut_head(response: &[u8], length: usize) -> Vec<u8> {
    let end = response.windows(4).position(|window| window == b"\r\n\r\n");
    let head_length = end.map_or(response.len(), |end| end + 3);
    response[..length.min(head_length)].to_vec()
}
