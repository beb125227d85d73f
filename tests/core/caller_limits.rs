//! Where a request ends, and which connection gives way.

use std::time::{Duration, Instant};

use plantainnotch::node::request_framing::{BodyFraming, RequestScanner};
use plantainnotch::policy::caller_admission::{CallerActivity, ConnectionView, choose_closed};

use crate::fixtures::check;

const HEAD: &[u8] = b"\r\nPOST /issue/7 HTTP/1.1\r\nhost: a\r\n\r\n";
const NEXT: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// Passes `bytes` in pieces of the given sizes; returns how many belong to the request.
fn scan_in_pieces(bytes: &[u8], pieces: &[u8], framing: BodyFraming) -> usize {
    let mut scanner = RequestScanner::new();
    let mut passed = 0;
    let mut sizes = pieces.iter().map(|size| usize::from(*size).max(1));
    while passed < bytes.len() && !scanner.is_complete() {
        let size = sizes.next().unwrap_or(7).min(bytes.len() - passed);
        passed += scanner.scan(&bytes[passed..passed + size]);
        if !scanner.is_in_head() && !scanner.is_in_body() && !scanner.is_complete() {
            scanner.begin_body(framing);
        }
    }
    passed
}

/// Guards against reading into the next request, or stopping before the end of this one, whatever pieces
/// its bytes arrive in.
#[test]
fn a_request_ends_at_the_same_byte_in_any_pieces() {
    fn property(pieces: Vec<u8>, body: Vec<u8>) -> bool {
        let framed = BodyFraming::Sized(body.len() as u64);
        let sized = [HEAD, &body, NEXT].concat();
        let size_line = format!("{:X};name=value\r\n", body.len());
        let chunk = [size_line.as_bytes(), &body, b"\r\n"].concat();
        let chunk = if body.is_empty() { Vec::new() } else { chunk };
        let chunks = [chunk.as_slice(), &chunk, b"0\r\n\r\n"].concat();
        let chunked = [HEAD, &chunks, NEXT].concat();
        scan_in_pieces(&sized, &pieces, framed) == HEAD.len() + body.len()
            && scan_in_pieces(&chunked, &pieces, BodyFraming::Chunked) == HEAD.len() + chunks.len()
    }
    check(411, property as fn(Vec<u8>, Vec<u8>) -> bool);
}

/// Guards against closing the connection of a caller that waits for this node, and against closing an idle
/// one while another keeps its response unread.
#[test]
fn slow_connections_give_way_before_idle_ones_and_served_ones_never() {
    let opened_at = Instant::now();
    let now = opened_at + Duration::from_secs(20);
    let view = |id, activity, waited_ms| ConnectionView {
        id,
        activity,
        since: now - Duration::from_millis(waited_ms),
    };
    let served = view(1, CallerActivity::Served, 19_000);
    let idle = view(2, CallerActivity::Idle, 10_000);
    let longest_idle = view(3, CallerActivity::Idle, 12_000);
    let unread = view(4, CallerActivity::NotReading, 1_500);
    let sending = view(5, CallerActivity::SendingBody, 300);
    let new = view(6, CallerActivity::SendingHead, 20);
    let chosen = |views: &[ConnectionView]| choose_closed(views.iter().copied(), now);

    assert_eq!(
        chosen(&[served, idle, longest_idle, unread, sending, new]),
        Some(4)
    );
    assert_eq!(chosen(&[served, idle, longest_idle, sending, new]), Some(3));
    assert_eq!(chosen(&[served, sending, new]), Some(5));
    assert_eq!(chosen(&[served, new]), None);
}
