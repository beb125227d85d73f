//! Request heads at and over the limit, on very many connections.

use std::net::SocketAddr;
use std::time::Duration;

use crate::bodies::node_head;
use crate::crowd::{Crowd, HostileBed, Sending, open_head};

const CONNECTIONS: usize = 600;
const OVERSIZED_SENDERS: usize = 32;
const HEAD_BYTES: usize = 16_000; // close to `max_header_bytes` of the configuration

/// Opens many connections; a half sends a head without its end, the other half a complete one with the
/// start of a body. All begin with `start`.
pub fn send_heads(crowd: &Crowd, callers: SocketAddr, start: &str) {
    let filler = "x-filler: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n";
    let count = (HEAD_BYTES - start.len()) / filler.len();
    let open = format!("{start}{}", filler.repeat(count));
    let complete = format!("{open}content-length: 5000\r\n\r\nstart");
    for first in [open, complete] {
        let sending = Sending {
            pause: Duration::from_millis(50),
            ..Sending::fast(first, Vec::new())
        };
        crowd.send(CONNECTIONS / 2, callers, &sending);
    }
}

/// Sends heads that begin with `start` and do not end.
pub fn send_endless_heads(crowd: &Crowd, callers: SocketAddr, start: String) {
    let filler = "x-filler: 0123456789abcdef\r\n".repeat(1_000);
    let sending = Sending::fast(start, filler);
    crowd.send(OVERSIZED_SENDERS, callers, &sending);
}

/// Guards against a process that takes any number of connections and holds their heads.
#[test]
fn heads_at_the_limit_on_very_many_connections_stay_within_the_limits() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    hostile.withstand(|crowd| send_heads(crowd, callers, &node_head()));
}

/// Guards against a process that takes heads of any length.
#[test]
fn heads_without_an_end_take_no_memory() {
    let hostile = HostileBed::start();
    let callers = hostile.callers();
    hostile.withstand(|crowd| send_endless_heads(crowd, callers, open_head("GET", "/lookup/7")));
}
