//! What callers inside the configuration's limits, and just outside, see of the bounds.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::support::bed::{TestBed, wait_until};
use crate::support::caller::{CallerRequest, KeptConnection, KeptOutcome, send};

const MAX_HEADER_BYTES: usize = 16_384; // of the bed's configuration

/// A look-up whose head has `head_bytes`.
fn long_head(id: &str, head_bytes: usize) -> String {
    let start = format!(
        "GET /lookup/7 HTTP/1.1\r\nhost: callers.example\r\nx-plantainnotch-request-id: {id}\r\nx-plantainnotch-key: key-a\r\nconnection: close\r\nx-filler: "
    );
    let end = "\r\n\r\n";
    let filler = "f".repeat(head_bytes - start.len() - end.len());
    format!("{start}{filler}{end}")
}

/// Sends `bytes` in pieces of `piece` bytes, and returns what comes until the connection ends.
fn exchange(callers: SocketAddr, bytes: &[u8], piece: usize) -> String {
    let mut stream = TcpStream::connect(callers).expect("a connection");
    let limit = Some(Duration::from_secs(5));
    stream.set_read_timeout(limit).expect("the limit is set");
    stream.set_nodelay(true).expect("the option is set");
    for piece in bytes.chunks(piece) {
        stream.write_all(piece).expect("the head is sent");
    }
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("a response");
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against refusing a head that is inside the limit, and against serving one that is not.
#[test]
fn heads_up_to_the_limit_are_served_and_longer_ones_get_431() {
    let bed = TestBed::start(1);
    let callers = bed.node_configs[0].callers;

    for piece in [1_000, MAX_HEADER_BYTES + 1] {
        let at_limit = long_head(&format!("at-limit-{piece}"), MAX_HEADER_BYTES);
        let over = long_head(&format!("over-{piece}"), MAX_HEADER_BYTES + 1);
        let served = exchange(callers, at_limit.as_bytes(), piece);
        let refused = exchange(callers, over.as_bytes(), piece);

        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
        assert!(refused.starts_with("HTTP/1.1 431"), "{refused}");
        assert!(bed.runs(&format!("over-{piece}")).is_empty());
    }
}

/// Guards against a node that does not notice that a caller has left, because bytes that the caller sent
/// ahead are not read.
#[test]
fn a_caller_that_sent_ahead_and_leaves_ends_the_work_of_its_target() {
    let bed = TestBed::start(1);
    for engine in &bed.engines {
        engine.set_delay(Duration::from_millis(450));
    }
    let request = |id: &str| {
        format!(
            "POST /single/a HTTP/1.1\r\nhost: callers.example\r\nx-plantainnotch-request-id: {id}\r\nx-plantainnotch-key: key-a\r\nx-plantainnotch-token-count: 1000,400\r\ncontent-length: 1\r\n\r\nx"
        )
    };
    let mut stream = TcpStream::connect(bed.node_configs[0].callers).expect("a connection");
    let ahead = request("left") + &request("ahead").repeat(3);
    stream
        .write_all(ahead.as_bytes())
        .expect("the requests are sent");
    wait_until(Duration::from_secs(3), "the request runs", || {
        bed.runs("left").len() == 1
    });

    drop(stream);

    let is_abandoned = || bed.ledger().abandoned.contains(&"left".to_owned());
    wait_until(
        Duration::from_secs(2),
        "its target's work ends",
        is_abandoned,
    );
    assert!(bed.runs("ahead").is_empty());
}

/// Guards against closing connections of callers that send one request at a time, with bodies or without.
#[test]
fn kept_connections_of_callers_inside_the_limits_stay_open() {
    let bed = TestBed::start(1);
    let callers = bed.node_configs[0].callers;
    let mut kept: Vec<KeptConnection> = (0..100)
        .map(|_| KeptConnection::open(callers).expect("a connection"))
        .collect();

    for round in 0..3 {
        for (index, connection) in kept.iter_mut().enumerate() {
            let mut request = CallerRequest::new(&format!("{round}-{index}"), "GET", "/lookup/7");
            if index % 2 == 0 {
                request.body = vec![b'p'; 50_000 * round];
            }
            let outcome = connection.exchange(&request, Duration::ZERO);
            assert!(
                matches!(&outcome, KeptOutcome::Answered(response) if response.status == 200),
                "{round}-{index}: {outcome:?}"
            );
        }
    }

    let metrics = CallerRequest::new("", "GET", "/metrics");
    let metrics = send(bed.node_configs[0].metrics, &metrics).expect("the metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(!text.contains("caller_limits_reached_total{"), "{text}");
}
