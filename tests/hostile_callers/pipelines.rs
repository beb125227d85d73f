//! Many requests on a few connections whose responses nobody reads.

use std::net::SocketAddr;
use std::time::Duration;

use crate::bodies::{node_head, send_bodies};
use crate::crowd::{Crowd, HostileBed, Sending, open_head, request};
use crate::heads::send_heads;
use crate::peers::{send_calls, send_garbage};
use crate::support::target::TargetMode;

/// Connections that pipeline requests of one kind.
pub const SENDERS: usize = 32;
const REQUESTS_PER_WRITE: usize = 100;

/// Sends `request` again and again.
pub fn pipelined(request: &str) -> Sending {
    Sending::fast(Vec::new(), request.repeat(REQUESTS_PER_WRITE))
}

fn send_lookups(crowd: &Crowd, callers: SocketAddr) {
    crowd.send(SENDERS, callers, &pipelined(&request("GET", "/lookup/7")));
}

fn send_streams(crowd: &Crowd, callers: SocketAddr) {
    let head = open_head("POST", "/single/7");
    let stream =
        format!("{head}x-plantainnotch-token-count: 1000,400\r\ncontent-length: 6\r\n\r\nprompt");
    crowd.send(SENDERS, callers, &pipelined(&stream));
}

/// Requests that are refused, with short and with long heads.
fn send_refused(crowd: &Crowd, callers: SocketAddr) {
    let no_route = request("GET", "/nothing");
    let no_key = "GET /lookup/7 HTTP/1.1\r\nhost: callers.example\r\n\r\n";
    let short = "GET / HTTP/1.1\r\n\r\n";
    for refused in [&no_route, no_key, short] {
        crowd.send(SENDERS / 2, callers, &pipelined(refused));
    }
}

/// Requests to the listeners that serve no callers' requests.
fn send_to_other_listeners(crowd: &Crowd, hostile: &[SocketAddr; 3]) {
    let paths = [
        "/api/resolve?name=a&zone=domain-0",
        "/api/ready",
        "/metrics",
    ];
    for (address, path) in hostile.iter().zip(paths) {
        crowd.send(SENDERS / 2, *address, &pipelined(&request("GET", path)));
        crowd.send(SENDERS / 2, *address, &pipelined("GET / HTTP/1.1\r\n\r\n"));
    }
}

fn other_listeners(hostile: &HostileBed) -> [SocketAddr; 3] {
    let node = &hostile.bed.node_configs[0];
    [node.directory, node.readiness, node.metrics]
}

/// Guards against a process that begins all requests of a connection whose responses nobody reads.
#[test]
fn pipelined_lookups_take_no_memory() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    hostile.withstand(|crowd| send_lookups(crowd, callers));
}

/// Guards against a process that holds pipelined requests while their targets take their time.
#[test]
fn pipelined_lookups_that_targets_hold_take_no_memory() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    for replica in &hostile.bed.replicas {
        replica.set_delay(Duration::from_secs(1));
    }
    hostile.withstand(|crowd| send_lookups(crowd, callers));
}

/// Guards against a process that begins all streams of a connection that nobody reads.
#[test]
fn pipelined_streams_take_no_memory() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    hostile.withstand(|crowd| send_streams(crowd, callers));
}

/// Guards against refusals that pile up for a caller that does not read them.
#[test]
fn pipelined_requests_that_are_refused_take_no_memory() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    hostile.withstand(|crowd| send_refused(crowd, callers));
}

/// Guards against the same at the directory, readiness and metrics listeners, whose responses are ready at
/// once and in part empty.
#[test]
fn pipelined_requests_at_the_other_listeners_take_no_memory() {
    let hostile = HostileBed::start();
    let addresses = other_listeners(&hostile);
    hostile.withstand(|crowd| send_to_other_listeners(crowd, &addresses));
}

/// Guards against bounds that hold for one kind of caller only and not for all of them together.
#[test]
fn all_kinds_of_callers_together_take_no_memory() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    let addresses = other_listeners(&hostile);
    let peers = hostile.bed.node_configs[0].peers;
    hostile.bed.set_replicas(TargetMode::Healthy);
    hostile.withstand(|crowd| {
        send_bodies(crowd, callers, &node_head());
        send_lookups(crowd, callers);
        send_streams(crowd, callers);
        send_refused(crowd, callers);
        send_to_other_listeners(crowd, &addresses);
        send_garbage(crowd, peers);
        send_calls(crowd, peers);
        send_heads(crowd, callers, &node_head());
    });
}
