//! The entry's responses to callers: errors, complete answers, replays, and callers that disconnect
//! or never finish their request.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{TestFleet, get_json, http_request};

const AUTH: &str = "authorization: Bearer kigali-key\r\n";

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

/// Status, kind and outcome of an error response.
fn error_of(response: Option<(u16, String)>) -> (u16, String, String) {
    let (status, text) = response.expect("the entry responds");
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    let field = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    (status, field("kind"), field("outcome"))
}

#[test]
fn bad_requests_get_a_status_a_kind_and_an_outcome() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let entry = fleet.vms[0].entry.as_str();
        let send = |path: &str, headers: &str, body: &str| {
            error_of(http_request(entry, "POST", path, headers, body))
        };
        let chat_path = "/v1/chat/completions";
        let valid_chat = chat("appraisal", 20, 5, false);
        let body_over_limit = "x".repeat(17 << 20);
        let key_too_long = format!("{AUTH}idempotency-key: {}\r\n", "k".repeat(201));
        let invalid_timeout = format!("{AUTH}request-timeout-ms: soon\r\n");
        let cases = [
            (send(chat_path, AUTH, "{\"model\":"), (400, "bad_request")),
            (
                send(chat_path, AUTH, &chat("appraisal", 20, 0, false)),
                (400, "bad_request"),
            ),
            (
                send(chat_path, &invalid_timeout, &valid_chat),
                (400, "bad_request"),
            ),
            (send(chat_path, "", &valid_chat), (401, "unauthorized")),
            (
                send(chat_path, "authorization: Bearer wrong\r\n", &valid_chat),
                (401, "unauthorized"),
            ),
            (
                send(chat_path, AUTH, &chat("poetry", 20, 5, false)),
                (404, "no_such_model"),
            ),
            (send(chat_path, AUTH, &body_over_limit), (413, "too_large")),
            (
                send(chat_path, AUTH, &chat("appraisal", 200_000, 5, false)),
                (413, "prompt_too_long"),
            ),
            (
                send("/v1/services/registry/certificates", AUTH, "{}"),
                (400, "key_required"),
            ),
            (
                send("/v1/services/registry/certificates", &key_too_long, "{}"),
                (400, "bad_request"),
            ),
            (
                send(
                    "/v1/services/nothing/x",
                    &format!("{AUTH}idempotency-key: k\r\n"),
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
        let set = fleet.run_ctl(
            "owner",
            "--wait table set approval kigali@app-* state=refused",
        );
        assert!(set.status.success());
        let entry = &fleet.vms[0].entry;
        let response = http_request(
            entry,
            "POST",
            "/v1/chat/completions",
            AUTH,
            &chat("appraisal", 20, 5, false),
        );
        assert_eq!(
            error_of(response),
            (403, "not_approved".into(), "not_run".into())
        );
    });
}

#[test]
fn whole_answers_replays_and_explanations() {
    run_test(async || {
        // Arrange
        let fleet = TestFleet::start().await;
        let entry = |index: usize| fleet.vms[index].entry.as_str();
        let certificates = "/v1/services/registry/certificates";
        let keyed = format!("{AUTH}idempotency-key: bag-1\r\n");

        // Act
        let chat_response = http_request(
            entry(0),
            "POST",
            "/v1/chat/completions",
            AUTH,
            &chat("appraisal", 20, 5, false),
        );
        let first = http_request(entry(0), "POST", certificates, &keyed, "{\"bag\":1}");
        let repeat = http_request(entry(1), "POST", certificates, &keyed, "{\"bag\":1}");
        let key_reused = http_request(entry(2), "POST", certificates, &keyed, "{\"bag\":2}");

        // Assert
        let (status, text) = chat_response.expect("the entry responds");
        let body: Value = serde_json::from_str(&text).expect("it is JSON");
        assert_eq!(status, 200);
        assert_eq!(body["usage"]["completion_tokens"], 5);
        let explanation = fleet.run_ctl(
            "operator",
            &format!("explain {}", body["id"].as_str().expect("it has an id")),
        );
        let explanation = String::from_utf8_lossy(&explanation.stdout).into_owned();
        assert!(explanation.contains("route [app-"), "{explanation}");
        assert_eq!(
            first, repeat,
            "a repeat through another entry got another answer"
        );
        assert_eq!(error_of(key_reused).1, "key_reused");
    });
}

#[test]
fn a_caller_that_disconnects_has_its_stream_cancelled_at_the_target() {
    run_test(async || {
        // Arrange
        let fleet = TestFleet::start().await;
        let body = chat("appraisal", 20, 5_000, true);
        let mut stream = TcpStream::connect(&fleet.vms[0].entry).expect("the entry listens");
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\ncontent-type: application/json\r\n{AUTH}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes()).expect("it is sent");
        let mut buffer = [0; 2_000];
        let read = stream.read(&mut buffer).expect("the response begins");
        assert!(String::from_utf8_lossy(&buffer[..read]).contains("200 OK"));

        // Act
        drop(stream);

        // Assert
        let held_tokens = |fleet: &TestFleet| -> u64 {
            let audits = fleet
                .engines
                .iter()
                .filter_map(|engine| get_json(engine, "/v1/fake/audit"));
            audits
                .filter_map(|audit| audit["held_tokens"].as_u64())
                .sum()
        };
        let limit = Duration::from_secs(10);
        fleet
            .wait_until(limit, "targets hold no memory", |fleet| {
                held_tokens(fleet) == 0
            })
            .await;
    });
}

#[test]
fn unfinished_request_heads_do_not_block_an_entry() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let mut connections: Vec<TcpStream> = (0..50)
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
        let response = http_request(
            entry,
            "POST",
            "/v1/chat/completions",
            AUTH,
            &chat("appraisal", 20, 5, false),
        );
        assert_eq!(response.map(|response| response.0), Some(200));
        let mut received = Vec::new();
        connections[0]
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("it can be set");
        connections[0]
            .read_to_end(&mut received)
            .expect("the entry closes the connection");
    });
}
