//! Stand-ins of targets that keep a ledger of what they ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::net::TcpListener;

use super::StandInRuntime;
use super::http::{AnswerStep, SeenRequest, StepSender, serve, whole_answer};

/// How a target behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TargetMood {
    Well,
    /// Runs requests and resets the connection instead of answering.
    ResetsAfterRun,
    /// Runs requests and never answers.
    Hangs,
    /// Says that it has no room.
    Full,
    /// Ends answers early.
    Truncates,
    /// Sends a second answer after each.
    SaysMore,
    /// Sends answers without a length and ends them in order.
    Unframed,
    /// Sends half an answer without a length and resets.
    UnframedReset,
    /// Fails requests with a mark of its own.
    Fails,
    /// Answers before it has read the body.
    Early,
}

/// One request that a target ran.
#[derive(Debug, Clone)]
pub struct RunRecord {
    pub id: String,
    pub target: String,
    pub service: String,
    pub team: Option<String>,
    pub key_seen: bool,
    pub asked_target: Option<String>,
    pub deadline_ms: Option<u64>,
    pub path: String,
    pub body: Vec<u8>,
    pub last_event: Option<u64>,
    pub at: Instant,
}

/// Memory set aside at a target.
#[derive(Debug, Clone)]
pub struct HeldTicket {
    pub target: String,
    pub id: String,
    pub until: Instant,
}

/// What all targets of a test saw.
#[derive(Default)]
pub struct TargetLedger {
    pub runs: Vec<RunRecord>,
    pub tickets: BTreeMap<String, HeldTicket>,
    pub released: usize,
    /// Requests whose sender left while they ran.
    pub left: Vec<String>,
    pub longest_hold: Duration,
}

/// A ledger shared by targets.
pub type SharedLedger = Arc<Mutex<TargetLedger>>;

/// Notes a request whose sender left before its answer was whole.
struct LeavingGuard {
    ledger: SharedLedger,
    id: String,
    done: bool,
}

impl Drop for LeavingGuard {
    fn drop(&mut self) {
        if !self.done {
            let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.left.push(self.id.clone());
        }
    }
}

/// A running stand-in.
#[derive(Clone)]
pub struct StandInTarget {
    pub id: String,
    pub service: String,
    pub domain: String,
    pub address: SocketAddr,
    pub engine: bool,
    pub events: u64,
    step: Arc<Mutex<Duration>>,
    mood: Arc<Mutex<TargetMood>>,
    ledger: SharedLedger,
}

impl StandInTarget {
    pub fn start(
        runtime: &StandInRuntime,
        id: &str,
        service: &str,
        domain: &str,
        engine: bool,
        ledger: SharedLedger,
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
            engine,
            events: 8,
            step: Arc::new(Mutex::new(Duration::from_millis(15))),
            mood: Arc::new(Mutex::new(TargetMood::Well)),
            ledger,
        };
        let served = target.clone();
        let _guard = runtime.enter();
        let listener = TcpListener::from_std(listener).expect("the runtime takes the socket");
        runtime.spawn(serve(listener, move |request, steps| {
            let target = served.clone();
            async move { target.answer(request, steps).await }
        }));
        target
    }

    pub fn set_mood(&self, mood: TargetMood) {
        *self.mood.lock().unwrap_or_else(PoisonError::into_inner) = mood;
    }

    /// Sets the time between events, or before a plain answer.
    pub fn set_step(&self, step: Duration) {
        *self.step.lock().unwrap_or_else(PoisonError::into_inner) = step;
    }

    fn step(&self) -> Duration {
        *self.step.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The record by which the target is known; `address` may be a proxy's.
    pub fn record(&self, address: SocketAddr, state: &str) -> Value {
        json!({
            "service": self.service, "address": address.to_string(), "zone": self.domain,
            "version": "v1", "slots": 16, "state": state, "warmup_left_ms": 0,
            "stage": "unified", "models": [], "sequence": 1, "born": 1,
        })
    }

    async fn answer(&self, request: SeenRequest, steps: StepSender) {
        if request.path == "/api/order" {
            let answer = self.order(&request);
            steps.send(AnswerStep::Write(answer)).await.ok();
            return;
        }
        let id = request
            .header("x-plantainnotch-request-id")
            .unwrap_or_default()
            .to_owned();
        let asked = request.header("x-plantainnotch-target-replica");
        if asked.is_some_and(|asked| asked != self.id) {
            let answer = whole_answer(421, &[("x-plantainnotch-request-id", &id)], b"");
            steps.send(AnswerStep::Write(answer)).await.ok();
            return;
        }
        let mood = *self.mood.lock().unwrap_or_else(PoisonError::into_inner);
        if mood == TargetMood::Full {
            let headers = [
                ("x-plantainnotch-request-id", id.as_str()),
                ("x-plantainnotch-not-executed", "1"),
            ];
            steps
                .send(AnswerStep::Write(whole_answer(503, &headers, b"")))
                .await
                .ok();
            return;
        }
        self.note_run(&request, &id);
        let mut leaving = LeavingGuard {
            ledger: self.ledger.clone(),
            id: id.clone(),
            done: false,
        };
        if self.engine && !matches!(mood, TargetMood::Fails | TargetMood::Hangs) {
            self.stream(&request, &id, mood, &steps).await;
        } else {
            self.plain(&id, mood, &steps).await;
        }
        leaving.done = true;
    }

    fn note_run(&self, request: &SeenRequest, id: &str) {
        let text = |name: &str| request.header(name).map(str::to_owned);
        let record = RunRecord {
            id: id.to_owned(),
            target: self.id.clone(),
            service: self.service.clone(),
            team: text("x-plantainnotch-tenant"),
            key_seen: request.header("x-plantainnotch-key").is_some(),
            asked_target: text("x-plantainnotch-target-replica"),
            deadline_ms: text("x-plantainnotch-deadline").and_then(|value| value.parse().ok()),
            path: request.path.clone(),
            body: request.body.clone(),
            last_event: text("last-event-id").and_then(|value| value.parse().ok()),
            at: Instant::now(),
        };
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.runs.push(record);
    }

    async fn plain(&self, id: &str, mood: TargetMood, steps: &StepSender) {
        let seal = format!("seal-{}-{id}", self.id);
        let headers = [
            ("x-plantainnotch-request-id", id),
            ("x-plantainnotch-replica-seal", seal.as_str()),
        ];
        let body = format!("answer to {id} from {}", self.id);
        let body = body.as_bytes();
        steps.send(AnswerStep::Wait(self.step())).await.ok();
        let whole = whole_answer(200, &headers, body);
        let unframed = format!(
            "HTTP/1.1 200 X\r\nx-plantainnotch-request-id: {id}\r\nx-plantainnotch-replica-seal: {seal}\r\n\r\n"
        );
        let answer = match mood {
            TargetMood::ResetsAfterRun => vec![AnswerStep::Reset],
            TargetMood::Hangs => vec![AnswerStep::Silence],
            TargetMood::Truncates => {
                vec![
                    AnswerStep::Write(whole[..whole.len() - 5].to_vec()),
                    AnswerStep::Close,
                ]
            }
            TargetMood::SaysMore => vec![AnswerStep::Write([whole.clone(), whole].concat())],
            TargetMood::Unframed => vec![
                AnswerStep::Write([unframed.as_bytes(), body].concat()),
                AnswerStep::Close,
            ],
            TargetMood::UnframedReset => vec![
                AnswerStep::Write([unframed.as_bytes(), &body[..4]].concat()),
                AnswerStep::Wait(Duration::from_millis(20)),
                AnswerStep::Reset,
            ],
            TargetMood::Fails => vec![AnswerStep::Write(whole_answer(500, &headers, b"failed"))],
            TargetMood::Well | TargetMood::Full | TargetMood::Early => {
                vec![AnswerStep::Write(whole)]
            }
        };
        for step in answer {
            steps.send(step).await.ok();
        }
    }

    async fn stream(&self, request: &SeenRequest, id: &str, mood: TargetMood, steps: &StepSender) {
        let from = request
            .header("last-event-id")
            .and_then(|value| value.parse::<u64>().ok())
            .map_or(1, |last| last + 1);
        let seal = format!("seal-{}-{id}", self.id);
        let head = format!(
            "HTTP/1.1 200 X\r\nx-plantainnotch-request-id: {id}\r\nx-plantainnotch-replica-seal: {seal}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        let mut first = Some(head);
        for event in from..=self.events {
            steps.send(AnswerStep::Wait(self.step())).await.ok();
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            let mut bytes = first.take().unwrap_or_default();
            bytes.push_str(&chunk);
            let breaks = event == self.events / 2;
            if breaks && matches!(mood, TargetMood::Truncates | TargetMood::ResetsAfterRun) {
                let torn = bytes.len() - 9;
                steps
                    .send(AnswerStep::Write(bytes.as_bytes()[..torn].to_vec()))
                    .await
                    .ok();
                let end = if mood == TargetMood::Truncates {
                    AnswerStep::Close
                } else {
                    AnswerStep::Reset
                };
                steps.send(end).await.ok();
                return;
            }
            if steps
                .send(AnswerStep::Write(bytes.into_bytes()))
                .await
                .is_err()
            {
                return;
            }
        }
        let mut end = first.take().unwrap_or_default();
        end.push_str("0\r\n\r\n");
        steps.send(AnswerStep::Write(end.into_bytes())).await.ok();
    }

    fn order(&self, request: &SeenRequest) -> Vec<u8> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        let key = format!("{}/{id}", self.id);
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        if body["operation"] == "reserve" {
            let hold = Duration::from_millis(body["hold_ms"].as_u64().unwrap_or(0));
            let ticket = HeldTicket {
                target: self.id.clone(),
                id,
                until: Instant::now() + hold,
            };
            ledger.longest_hold = ledger.longest_hold.max(hold);
            ledger.tickets.insert(key, ticket);
        } else {
            ledger.released += 1;
            ledger.tickets.remove(&key);
        }
        whole_answer(200, &[], br#"{"free":100000}"#)
    }
}
