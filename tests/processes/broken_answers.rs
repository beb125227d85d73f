//! Answers of targets that are broken in their head or end early, behind an entry.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use plantainnotch::target::stream::{REQUEST_HEADER, StreamChunk, encode_chunk};

use crate::fleet::{TestFleet, http_request};
use crate::support::BackgroundRuntime;
use crate::support::http::{ReceivedRequest, encode_response};
use crate::support::raw_server::{AnswerEnd, RawAnswer, start_raw_server};

const HEADERS: &str = "authorization: Bearer kigali-key\r\nrequest-timeout-ms: 2000\r\n";
const RECEIVED_LIMIT: Duration = Duration::from_secs(20);
const BODY: &str = "{\"bag\":1}";
const OK: &str = "HTTP/1.1 200 X\r\n";
const BROKEN_HEADS: [&str; 5] = [
    "HTTP/1.1 000 X\r\n",
    "HTTP/1.1 600 X\r\n",
    "HTTP/1.1 200 X\r\nx note: a\r\n",
    "HTTP/1.1 200 X\r\nx-note : a\r\n",
    "HTTP/1.1 200 X\r\nx\u{1}note: a\r\n",
];

type AnswerFn = Box<dyn Fn(&ReceivedRequest) -> RawAnswer + Send>;

/// A service `raw` and an engine of the model `rawchat` at one address, whose answers a test sets.
struct RawTargets {
    answer: Arc<Mutex<AnswerFn>>,
    received: Arc<AtomicUsize>,
    sent: AtomicUsize,
    fleet: TestFleet,
    _runtime: BackgroundRuntime,
}

impl RawTargets {
    async fn start() -> Self {
        let runtime = BackgroundRuntime::start();
        let sound: AnswerFn = Box::new(|_| plain_answer(OK));
        let answer = Arc::new(Mutex::new(sound));
        let received = Arc::new(AtomicUsize::new(0));
        let (set_answer, counted) = (answer.clone(), received.clone());
        let address = start_raw_server(&runtime, move |request| {
            if request.path.starts_with("/v1/streams") {
                let listing = br#"{"instance":"a","streams":[]}"#;
                let headers = [("content-type", "application/json")];
                return kept(encode_response(200, &headers, listing));
            }
            counted.fetch_add(1, Ordering::Relaxed);
            let answer = set_answer.lock().unwrap_or_else(PoisonError::into_inner);
            answer(request)
        });
        let fleet = TestFleet::start().await;
        let targets = format!(
            "kind,name,target,domain,owner,model,address,memory_tokens,cold_limit,warm_limit,fencing,state\nservice,raw-0,,rw-a,owner,raw,{address},1000000,8,64,no,in\nengine,rawchat-0,,rw-a,owner,rawchat,{address},20000,8,64,no,in\n"
        );
        fleet.import("operator", &targets);
        fleet.import(
            "owner",
            "kind,name,target,state\napproval,kigali,raw*,approved\n",
        );
        Self {
            answer,
            received,
            sent: AtomicUsize::new(0),
            fleet,
            _runtime: runtime,
        }
    }

    /// Sends requests until the target has got one that it answers with `answer`; returns the entry's
    /// response to that.
    fn send_until_received(
        &self,
        method: &str,
        path: &str,
        body: &str,
        answer: impl Fn(&ReceivedRequest) -> RawAnswer + Send + 'static,
    ) -> (u16, String) {
        *self.answer.lock().unwrap_or_else(PoisonError::into_inner) = Box::new(answer);
        let started_at = Instant::now();
        let entry = &self.fleet.vms[0].entry;
        while started_at.elapsed() < RECEIVED_LIMIT {
            let received = self.received.load(Ordering::Relaxed);
            let number = self.sent.fetch_add(1, Ordering::Relaxed);
            let headers = format!("{HEADERS}idempotency-key: key-{number}\r\n");
            let response = http_request(entry, method, path, &headers, body);
            if self.received.load(Ordering::Relaxed) > received {
                return response.unwrap_or_default();
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("{method} {path}: the target got no request");
    }
}

fn kept(bytes: Vec<u8>) -> RawAnswer {
    RawAnswer {
        bytes,
        end: AnswerEnd::Keep,
    }
}

/// An answer with a length whose head begins with `start`.
fn plain_answer(start: &str) -> RawAnswer {
    let length = BODY.len();
    kept(format!("{start}content-length: {length}\r\n\r\n{BODY}").into_bytes())
}

/// A stream of one chunk, which is the last, whose head begins with `start`.
fn stream_answer(start: &str, request: &ReceivedRequest) -> RawAnswer {
    let chunk = encode_chunk(&StreamChunk {
        request: request
            .header(REQUEST_HEADER)
            .unwrap_or_default()
            .to_owned(),
        seq: 1,
        content: "stitch".to_owned(),
        last: true,
    });
    let length = chunk.len();
    kept(format!("{start}content-length: {length}\r\n\r\n{chunk}").into_bytes())
}

/// Answers that end early, each with all of a sound body.
fn cut_answers() -> [(&'static str, RawAnswer); 3] {
    let length = BODY.len();
    let answer = |framing: &str, body: &str, end| RawAnswer {
        bytes: format!("{OK}{framing}\r\n{body}").into_bytes(),
        end,
    };
    let (longer, chunk) = (length + 1, format!("{length:x}\r\n{BODY}\r\n"));
    [
        (
            "length not reached",
            answer(
                &format!("content-length: {longer}\r\n"),
                BODY,
                AnswerEnd::Close,
            ),
        ),
        (
            "last chunk missing",
            answer("transfer-encoding: chunked\r\n", &chunk, AnswerEnd::Close),
        ),
        ("reset without a length", answer("", BODY, AnswerEnd::Reset)),
    ]
}

fn run_test(test: impl AsyncFnOnce()) {
    actix::System::new().block_on(test());
}

// Guards against parts of a service's answer that reach callers as the whole.
#[test]
fn answers_of_services_that_are_broken_or_end_early_reach_no_caller() {
    run_test(async || {
        let targets = RawTargets::start().await;
        let path = "/v1/services/raw/x";
        let unframed = RawAnswer {
            bytes: format!("{OK}\r\n{BODY}").into_bytes(),
            end: AnswerEnd::Close,
        };
        let broken = BROKEN_HEADS
            .into_iter()
            .map(|start| (start, plain_answer(start)))
            .chain(cut_answers());
        let mut taken = Vec::new();

        for (case, answer) in broken {
            for method in ["GET", "POST"] {
                let sent = answer.clone();
                let response =
                    targets.send_until_received(method, path, BODY, move |_| sent.clone());
                if response.0 < 500 || response.1.contains(BODY) {
                    taken.push((method, case, response));
                }
            }
        }
        let sound = targets.send_until_received("POST", path, BODY, |_| plain_answer(OK));
        let whole = targets.send_until_received("POST", path, BODY, move |_| unframed.clone());

        assert!(taken.is_empty(), "{taken:#?}");
        assert_eq!(sound, (200, BODY.to_owned()));
        assert_eq!(whole, (200, BODY.to_owned()), "neither a length nor chunks");
    });
}

#[test]
fn streams_with_a_broken_head_reach_no_caller() {
    run_test(async || {
        let targets = RawTargets::start().await;
        let path = "/v1/chat/completions";
        let body =
            r#"{"model":"rawchat","max_tokens":5,"messages":[{"role":"user","content":"a"}]}"#;
        let mut taken = Vec::new();

        for start in BROKEN_HEADS {
            let answer = move |request: &ReceivedRequest| stream_answer(start, request);
            let response = targets.send_until_received("POST", path, body, answer);
            if response.0 < 500 || response.1.contains("stitch") {
                taken.push((start, response));
            }
        }
        let sound = |request: &ReceivedRequest| stream_answer(OK, request);
        let (status, text) = targets.send_until_received("POST", path, body, sound);

        assert!(taken.is_empty(), "{taken:#?}");
        assert_eq!(status, 200);
        assert!(text.contains("stitch"), "{text}");
    });
}
