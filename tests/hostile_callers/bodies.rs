//! Bodies over the limit, announced and not.

use std::time::Duration;

use crate::crowd::{Crowd, HostileBed, Reading, Sending, open_head};

const ANNOUNCED_BYTES: usize = 1_000_000_000;
const BLOCK_BYTES: usize = 65_536;
const SENDERS: usize = 24;

/// Announces a body far over the limit and sends it.
fn announced() -> Sending {
    let head = format!(
        "{}content-length: {ANNOUNCED_BYTES}\r\n\r\n",
        open_head("POST", "/issue/7")
    );
    Sending::fast(head, vec![b'p'; BLOCK_BYTES])
}

/// Sends a body in chunks without an end.
fn chunked() -> Sending {
    let head = format!(
        "{}transfer-encoding: chunked\r\n\r\n",
        open_head("POST", "/issue/7")
    );
    let chunk = format!("{BLOCK_BYTES:x}\r\n{}\r\n", "p".repeat(BLOCK_BYTES));
    Sending::fast(head, chunk)
}

/// Sends on past the length that it announced.
fn past_length() -> Sending {
    let head = format!("{}content-length: 6\r\n\r\n", open_head("POST", "/issue/7"));
    Sending::fast(head, vec![b'p'; BLOCK_BYTES])
}

/// Announces a body within the limit and sends it slowly.
fn trickled() -> Sending {
    let head = format!(
        "{}content-length: 4000000\r\n\r\n{}",
        open_head("POST", "/issue/7"),
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

/// Sends all kinds of bodies over the limit.
pub fn send_bodies(crowd: &Crowd, callers: HostileBedAddress) {
    let slowly = |sending: Sending| Sending {
        pause: Duration::from_millis(200),
        ..sending
    };
    let sendings = [chunked(), slowly(chunked()), past_length(), trickled()];
    for sending in sendings {
        send_with_and_without_reading(crowd, &callers, &sending);
    }
}

/// Guards against a process that holds or waits for the bytes of bodies that are announced over the limit.
#[test]
fn announced_bodies_over_the_limit_take_no_memory() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    hostile.withstand(|crowd| send_with_and_without_reading(crowd, &callers, &announced()));
}

/// Guards against a process that reads bodies ahead, beyond what its requests may take.
#[test]
fn bodies_that_pass_the_limit_unannounced_take_no_memory() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    hostile.withstand(|crowd| send_bodies(crowd, callers));
}
