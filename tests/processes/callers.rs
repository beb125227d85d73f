//! What callers meet at the entry: clear errors, whole answers, nothing leaked.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{TestFleet, exchange, page};

const KEY: &str = "authorization: Bearer kigali-key\r\n";

fn run_test(test: impl AsyncFnOnce()) {
    actix::System::new().block_on(test());
}

fn chat(model: &str, words: usize, max_tokens: u64, stream: bool) -> String {
    let content = "stitch ".repeat(words);
    json!({
        "model": model,
        "max_tokens": max_tokens,
        "stream": stream,
        "messages": [{ "role": "user", "content": content }],
    })
    .to_string()
}

/// Status, kind and outcome of an error.
fn error_of(answer: Option<(u16, String)>) -> (u16, String, String) {
    let (status, text) = answer.expect("the entry answers");
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    let part = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    (status, part("kind"), part("outcome"))
}

#[test]
fn bad_requests_get_a_kind_a_remedy_and_an_outcome() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let entry = fleet.vms[0].entry.as_str();
        let send = |path: &str, headers: &str, body: &str| {
            error_of(exchange(entry, "POST", path, headers, body))
        };
        let chats = "/v1/chat/completions";
        let good = chat("appraisal", 20, 5, false);
        let huge = "x".repeat(17 << 20);
        let keyed = format!("{KEY}idempotency-key: {}\r\n", "k".repeat(201));
        let late = format!("{KEY}request-timeout-ms: soon\r\n");
        let cases = [
            (send(chats, KEY, "{\"model\":"), (400, "bad_request")),
            (
                send(chats, KEY, &chat("appraisal", 20, 0, false)),
                (400, "bad_request"),
            ),
            (send(chats, &late, &good), (400, "bad_request")),
            (send(chats, "", &good), (401, "unauthorized")),
            (
                send(chats, "authorization: Bearer wrong\r\n", &good),
                (401, "unauthorized"),
            ),
            (
                send(chats, KEY, &chat("poetry", 20, 5, false)),
                (404, "no_such_model"),
            ),
            (send(chats, KEY, &huge), (413, "too_large")),
            (
                send(chats, KEY, &chat("appraisal", 200_000, 5, false)),
                (413, "prompt_too_long"),
            ),
            (
                send("/v1/services/registry/certificates", KEY, "{}"),
                (400, "key_required"),
            ),
            (
                send("/v1/services/registry/certificates", &keyed, "{}"),
                (400, "bad_request"),
            ),
            (
                send(
                    "/v1/services/nothing/x",
                    &format!("{KEY}idempotency-key: k\r\n"),
                    "{}",
                ),
                (404, "no_such_model"),
            ),
        ];
        for ((status, kind, outcome), expected) in cases {
            assert_eq!((status, kind.as_str()), expected);
            assert_eq!(outcome, "not_run", "{kind}");
        }
    });
}

#[test]
fn a_team_without_approval_is_refused() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let set = fleet.ctl(
            "owner",
            "--wait table set approval kigali@app-* state=refused",
        );
        assert!(set.status.success());
        let entry = &fleet.vms[0].entry;
        let answer = exchange(
            entry,
            "POST",
            "/v1/chat/completions",
            KEY,
            &chat("appraisal", 20, 5, false),
        );
        assert_eq!(
            error_of(answer),
            (403, "not_approved".into(), "not_run".into())
        );
    });
}

#[test]
fn whole_answers_and_repeats_and_explanations() {
    run_test(async || {
        // Arrange
        let fleet = TestFleet::start().await;
        let entry = |number: usize| fleet.vms[number].entry.as_str();
        let certificates = "/v1/services/registry/certificates";
        let keyed = format!("{KEY}idempotency-key: bag-1\r\n");

        // Act
        let whole = exchange(
            entry(0),
            "POST",
            "/v1/chat/completions",
            KEY,
            &chat("appraisal", 20, 5, false),
        );
        let first = exchange(entry(0), "POST", certificates, &keyed, "{\"bag\":1}");
        let repeat = exchange(entry(1), "POST", certificates, &keyed, "{\"bag\":1}");
        let other = exchange(entry(2), "POST", certificates, &keyed, "{\"bag\":2}");

        // Assert
        let (status, text) = whole.expect("the entry answers");
        let body: Value = serde_json::from_str(&text).expect("it is JSON");
        assert_eq!(status, 200);
        assert_eq!(body["usage"]["completion_tokens"], 5);
        let explained = fleet.ctl(
            "operator",
            &format!("explain {}", body["id"].as_str().expect("it has an id")),
        );
        let explained = String::from_utf8_lossy(&explained.stdout).into_owned();
        assert!(explained.contains("route [app-"), "{explained}");
        assert_eq!(
            first, repeat,
            "a repeat through another entry gets the same answer"
        );
        assert_eq!(error_of(other).1, "key_reused");
    });
}

#[test]
fn a_caller_that_hangs_up_has_its_stream_cancelled_at_the_target() {
    run_test(async || {
        // Arrange
        let fleet = TestFleet::start().await;
        let body = chat("appraisal", 20, 5_000, true);
        let mut stream = TcpStream::connect(&fleet.vms[0].entry).expect("the entry listens");
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\ncontent-type: application/json\r\n{KEY}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes()).expect("it is sent");
        let mut part = [0; 2_000];
        let read = stream.read(&mut part).expect("the answer begins");
        assert!(String::from_utf8_lossy(&part[..read]).contains("200 OK"));

        // Act
        drop(stream);

        // Assert
        let held = |fleet: &TestFleet| -> u64 {
            let audits = fleet
                .engines
                .iter()
                .filter_map(|engine| page(engine, "/v1/fake/audit"));
            audits
                .filter_map(|audit| audit["held_tokens"].as_u64())
                .sum()
        };
        let within = Duration::from_secs(10);
        fleet
            .wait_until(within, "the target's memory is free", |fleet| {
                held(fleet) == 0
            })
            .await;
    });
}

#[test]
fn endless_headers_and_bodies_do_not_hold_an_entry() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let mut slow: Vec<TcpStream> = (0..50)
            .map(|_| {
                let mut stream =
                    TcpStream::connect(&fleet.vms[0].entry).expect("the entry listens");
                stream
                    .write_all(b"POST /v1/chat/completions HTTP/1.1\r\nx-endless: ")
                    .expect("it is sent");
                stream
            })
            .collect();
        let entry = &fleet.vms[0].entry;
        let answer = exchange(
            entry,
            "POST",
            "/v1/chat/completions",
            KEY,
            &chat("appraisal", 20, 5, false),
        );
        assert_eq!(answer.map(|answer| answer.0), Some(200));
        let mut rest = Vec::new();
        slow[0]
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("it can be set");
        slow[0].read_to_end(&mut rest).expect("the entry closes it");
    });
}
