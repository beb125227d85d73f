//! Returns of prompts refused for overload, with real nodes: the loss of the owner of placement.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::lost_paths::{other_than, owner_of_placement};
use crate::support::bed::{TestBed, wait_until};
use crate::support::caller::{CallerRequest, send};

/// Time for the owner to announce its promises, which it does every 100 ms.
const SHARE_TIME: Duration = Duration::from_millis(400);
/// The new arrival comes so much before the returning caller that its objective is earlier.
const HEAD_START: Duration = Duration::from_millis(700);

/// A stream that holds memory of the engines until the connection is dropped.
fn hold_memory(bed: &TestBed, callers: SocketAddr, id: &str, deadline: Duration) -> TcpStream {
    let mut request = bed.stream(id, "/archive/a");
    request.tokens = Some("214000,2500".to_owned());
    request.deadline = deadline;
    let mut stream = TcpStream::connect(callers).expect("the node listens");
    stream.write_all(&request.encode("close")).expect("sent");
    let mut head = [0; 12];
    stream.read_exact(&mut head).expect("an answer");
    assert_eq!(&head, b"HTTP/1.1 200", "{id}");
    // The owner learns of the first event, so that the engines count as free of the prefill.
    std::thread::sleep(Duration::from_millis(300));
    stream
}

/// A prompt for which the engines have no memory beside three streams, and which is not refused for its
/// queue time, as an engine may prefill it beside others.
fn prompt(bed: &TestBed, id: &str, path: &str, deadline: Duration) -> CallerRequest {
    let mut request = bed.stream(id, path);
    request.tokens = Some("25000,400".to_owned());
    request.deadline = deadline;
    request
}

// Guards against promises that are lost with the owner of placement, so that a caller that returns as told
// waits behind one that came after it.
#[test]
fn the_successor_serves_a_caller_first_that_returns_when_the_lost_owner_told_it() {
    let mut bed = TestBed::start(3);
    let owner = owner_of_placement(&bed);
    let node = other_than(owner);
    let callers = bed.node_configs[node].callers;
    for engine in &bed.engines {
        engine.set_stream_shape(200, 0);
        engine.set_delay(Duration::from_millis(100));
    }
    let deadline = Duration::from_secs(6);
    let mut held: Vec<TcpStream> = (0..3)
        .map(|index| hold_memory(&bed, callers, &format!("held-{index}"), deadline))
        .collect();
    let refused = send(callers, &prompt(&bed, "refused", "/resumable/r", deadline));
    let refused = refused.expect("an answer");
    assert_eq!(refused.status, 503);
    let told = refused
        .header("retry-after")
        .and_then(|told| told.parse().ok());
    let told = Duration::from_secs_f64(told.expect("a time"));
    let log = bed.nodes[node].log();
    assert!(log.contains("\"promised_ms\":"), "{log}");
    std::thread::sleep(SHARE_TIME);

    bed.nodes[owner].kill();
    std::thread::sleep(told.saturating_sub(SHARE_TIME + HEAD_START));
    let placed = std::thread::scope(|scope| {
        let new = prompt(&bed, "new", "/resumable/n", deadline);
        scope.spawn(move || send(callers, &new));
        std::thread::sleep(HEAD_START);
        let returned = prompt(&bed, "returned", "/resumable/r", deadline - told);
        scope.spawn(move || send(callers, &returned));
        std::thread::sleep(Duration::from_millis(300));
        // Both fit now; the first is placed in the order of the queue.
        held.pop();
        let placed = || {
            let log = bed.nodes[node].log();
            let lines = log.lines().filter(|line| line.contains("\"placed\""));
            let of_ids = ["\"id\":\"returned\"", "\"id\":\"new\""];
            let mut lines = lines.filter(|line| of_ids.iter().any(|id| line.contains(id)));
            lines.next().map(str::to_owned)
        };
        wait_until(Duration::from_secs(3), "one is placed", || {
            placed().is_some()
        });
        for engine in &bed.engines {
            engine.set_delay(Duration::from_millis(5));
        }
        drop(held);
        placed().expect("one is placed")
    });

    assert!(placed.contains("\"id\":\"returned\""), "{placed}");
    assert!(placed.contains("\"returned\":\"kept\""), "{placed}");
    let by_lost = format!("\"decided_by\":\"vm-{owner}\"");
    assert!(!placed.contains(&by_lost), "{placed}");
}
