//! The same callers at the product's own front end, `notch-entry`.

use std::net::SocketAddr;
use std::sync::MutexGuard;
use std::time::Duration;

use serde_json::json;

use crate::bodies::{send_announced, send_bodies};
use crate::crowd::{Crowd, MAX_FDS, MEMORY_MB, Sending, take_turn, withstand_crowd};
use crate::fleet::{TestFleet, http_request};
use crate::heads::{send_endless_heads, send_heads};
use crate::pipelines::{SENDERS, pipelined};

const MAX_BODY_BYTES: usize = 4_194_304;
/// Of the descriptors, as by default: 1,000 of 4,100.
const MAX_CONNECTIONS: usize = MAX_FDS / 4;
pub const AUTHORIZATION: &str = "authorization: Bearer kigali-key\r\n";
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// A fleet whose first entry has lowered limits.
pub struct EntryBed {
    fleet: TestFleet,
    _turn: MutexGuard<'static, ()>,
}

impl EntryBed {
    pub fn start() -> Self {
        let turn = take_turn();
        let mut fleet = actix::System::new().block_on(TestFleet::start());
        let variables = [
            ("NOTCH_MEMORY_MB", MEMORY_MB.to_string()),
            ("NOTCH_MAX_CONNECTIONS", MAX_CONNECTIONS.to_string()),
            ("NOTCH_BODY_LIMIT_BYTES", MAX_BODY_BYTES.to_string()),
        ];
        fleet.start_entry_with(0, &variables);
        let entry = fleet.vms[0].entry.clone();
        crate::support::bed::wait_until(
            Duration::from_secs(30),
            "the entry serves a chat request",
            || is_chat_served(&entry),
        );
        Self { fleet, _turn: turn }
    }

    pub fn callers(&self) -> SocketAddr {
        let entry = &self.fleet.vms[0].entry;
        entry.parse().expect("an IP and port")
    }

    pub fn withstand(mut self, attack: impl FnOnce(&Crowd)) {
        let entry = self.fleet.entries[0].as_mut().expect("it runs");
        let (id, address) = (entry.id(), self.fleet.vms[0].entry.clone());
        let is_answered = || is_chat_served(&address);
        withstand_crowd(id, || entry.has_ended(), attack, is_answered);
    }
}

fn is_chat_served(entry: &str) -> bool {
    let response = http_request(entry, "POST", CHAT_PATH, AUTHORIZATION, &chat(false));
    response.is_some_and(|(status, _)| status == 200)
}

pub fn chat(stream: bool) -> String {
    let messages = json!([{ "role": "user", "content": "stitch row label" }]);
    json!({ "model": "appraisal", "max_tokens": 40, "stream": stream, "messages": messages })
        .to_string()
}

/// The head of a request without its end, so that headers can be added.
fn open_head(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: callers.example\r\n{AUTHORIZATION}request-timeout-ms: 5000\r\n"
    )
}

fn chat_head() -> String {
    open_head("POST", CHAT_PATH)
}

/// Requests that the entry answers itself.
fn send_lookups(crowd: &Crowd, callers: SocketAddr) {
    for path in ["/v1/models", "/metrics"] {
        let lookup = format!("{}\r\n", open_head("GET", path));
        crowd.send(SENDERS / 2, callers, &pipelined(&lookup));
    }
}

/// Requests that are forwarded: streams, and calls of a service.
fn send_forwarded(crowd: &Crowd, callers: SocketAddr) {
    let with_body = |head: String, body: &str| {
        let length = body.len();
        format!("{head}content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    let stream = with_body(chat_head(), &chat(true));
    let path = "/v1/services/registry/certificates";
    let call = with_body(open_head("POST", path), "{\"item\":1}");
    for request in [stream, call] {
        crowd.send(SENDERS / 2, callers, &pipelined(&request));
    }
}

/// Requests that are refused, with short and with long heads.
fn send_refused(crowd: &Crowd, callers: SocketAddr) {
    let no_route = format!("{}\r\n", open_head("GET", "/nothing"));
    let no_key = format!("POST {CHAT_PATH} HTTP/1.1\r\nhost: callers.example\r\n\r\n");
    let short = "GET / HTTP/1.1\r\n\r\n".to_owned();
    for refused in [no_route, no_key, short] {
        crowd.send(SENDERS / 2, callers, &pipelined(&refused));
    }
}

/// Guards against an entry that holds or waits for the bytes of bodies that are announced over the limit.
#[test]
fn an_entry_takes_no_memory_for_announced_bodies_over_the_limit() {
    let entry = EntryBed::start();
    let callers = entry.callers();
    entry.withstand(|crowd| send_announced(crowd, callers, &chat_head()));
}

/// Guards against an entry that holds a body of up to the limit for each connection.
#[test]
fn an_entry_takes_no_memory_for_bodies_that_pass_the_limit_unannounced() {
    let entry = EntryBed::start();
    let callers = entry.callers();
    entry.withstand(|crowd| send_bodies(crowd, callers, &chat_head()));
}

/// Guards against an entry that takes any number of connections and holds their heads.
#[test]
fn an_entry_holds_heads_on_very_many_connections_within_the_limits() {
    let entry = EntryBed::start();
    let callers = entry.callers();
    entry.withstand(|crowd| send_heads(crowd, callers, &chat_head()));
}

/// Guards against an entry that takes heads of any length.
#[test]
fn an_entry_takes_no_memory_for_heads_without_an_end() {
    let entry = EntryBed::start();
    let callers = entry.callers();
    entry.withstand(|crowd| send_endless_heads(crowd, callers, chat_head()));
}

/// Guards against an entry that holds the responses to requests of which nobody reads one.
#[test]
fn an_entry_takes_no_memory_for_pipelined_lookups() {
    let entry = EntryBed::start();
    let callers = entry.callers();
    entry.withstand(|crowd| send_lookups(crowd, callers));
}

/// Guards against an entry that begins all forwarded requests of a connection that nobody reads.
#[test]
fn an_entry_takes_no_memory_for_pipelined_requests_that_are_forwarded() {
    let entry = EntryBed::start();
    let callers = entry.callers();
    entry.withstand(|crowd| send_forwarded(crowd, callers));
}

/// Guards against refusals that pile up for a caller that does not read them.
#[test]
fn an_entry_takes_no_memory_for_pipelined_requests_that_are_refused() {
    let entry = EntryBed::start();
    let callers = entry.callers();
    entry.withstand(|crowd| send_refused(crowd, callers));
}

/// Guards against an entry that parses bodies within the limit into many times their length.
#[test]
fn an_entry_takes_no_memory_for_bodies_of_many_small_values() {
    let entry = EntryBed::start();
    let callers = entry.callers();
    let ones = ",1".repeat(MAX_BODY_BYTES / 2 - 200);
    let body = chat(false).replacen('{', &format!("{{\"x\":[1{ones}],"), 1);
    let request = format!(
        "{}content-length: {}\r\n\r\n{body}",
        chat_head(),
        body.len()
    );
    entry.withstand(|crowd| crowd.send(4, callers, &Sending::fast(Vec::new(), request)));
}

/// Guards against bounds that hold for one kind of caller only and not for all of them together.
#[test]
fn an_entry_withstands_all_kinds_of_callers_together() {
    let entry = EntryBed::start();
    let callers = entry.callers();
    entry.withstand(|crowd| {
        send_bodies(crowd, callers, &chat_head());
        send_lookups(crowd, callers);
        send_forwarded(crowd, callers);
        send_refused(crowd, callers);
        send_heads(crowd, callers, &chat_head());
    });
}
