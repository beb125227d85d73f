//! Bodies over the limit, announced and not.

use std::time::Duration;

use crate::crowd::{Crowd, HostileBed, Reading, Sending, open_head};

const ANNOUNCED_BYTES: usize = 1_000_000_000;
const BLOCK_BYTES: usize = 65_536;
const SENDERS: usize = 24;

/// Announces a body far over the limit and sends it.
fn announced(open: &str) -> Sending {
    let head = format!("{open}content-length: {ANNOUNCED_BYTES}\r\n\r\n");
    Sending::fast(head, vec![b'p'; BLOCK_BYTES])
}

/// Sends a body in chunks without an end.
fn chunked(open: &str) -> Sending {
    let head = format!("{open}transfer-encoding: chunked\r\n\r\n");
    let chunk = format!("{BLOCK_BYTES:x}\r\n{}\r\n", "p".repeat(BLOCK_BYTES));
    Sending::fast(head, chunk)
}

/// Sends on past the length that it announced.
fn past_length(open: &str) -> Sending {
    let head = format!("{open}content-length: 6\r\n\r\n");
    Sending::fast(head, vec![b'p'; BLOCK_BYTES])
}

/// Announces a body within the limit and sends it slowly.
fn trickled(open: &str) -> Sending {
    let head = format!(
        "{open}content-length: 4000000\r\n\r\n{}",
        "p".repeat(BLOCK_BYTES)
    );
    let pause = Duration::from_millis(100);
    Sending {
        pause,
        ..Sending::fast(head, vec![b'p'; 1_000])
    }
}

fn send_with_and_without_reading(crowd: &Crowd, hostile: &HostileBedAddress, sending: &Sending) {
    for reading in [Reading::Nothing, Reading::All] {
        let sending = Sending {
            reading,
            ..sending.clone()
        };
        crowd.send(SENDERS, *hostile, &sending);
    }
}

type HostileBedAddress = std::net::SocketAddr;

/// Sends bodies that are announced over the limit, to requests whose head begins with `open`.
pub fn send_announced(crowd: &Crowd, callers: HostileBedAddress, open: &str) {
    send_with_and_without_reading(crowd, &callers, &announced(open));
}

/// Sends all kinds of bodies over the limit, to requests whose head begins with `open`.
pub fn send_bodies(crowd: &Crowd, callers: HostileBedAddress, open: &str) {
    let slowly = |sending: Sending| Sending {
        pause: Duration::from_millis(200),
        ..sending
    };
    let sendings = [
        chunked(open),
        slowly(chunked(open)),
        past_length(open),
        trickled(open),
    ];
    for sending in sendings {
        send_with_and_without_reading(crowd, &callers, &sending);
    }
}

/// The head of a request to the node that takes a body.
pub fn node_head() -> String {
    open_head("POST", "/issue/7")
}

/// Guards against a process that holds or waits for the bytes of bodies that are announced over the limit.
#[test]
fn announced_bodies_over_the_limit_take_no_memory() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    hostile.withstand(|crowd| send_announced(crowd, callers, &node_head()));
}

/// Guards against a process that reads bodies ahead, beyond what its requests may take.
#[test]
fn bodies_that_pass_the_limit_unannounced_take_no_memory() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    hostile.withstand(|crowd| send_bodies(crowd, callers, &node_head()));
}
