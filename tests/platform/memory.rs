//! Memory that a node holds for callers' requests stays within the VM's limit.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::json;

use crate::support::bed::{TestBed, config, wait_until};
use crate::support::caller::{CallerRequest, CallerResponse, send};
use crate::support::target::TargetMode;

/// `memory_mb` of the nodes' settings, which do not name it, as of the smallest VMs.
const MEMORY_BYTES: u64 = 160_000_000;
const BODY_BYTES: usize = 4_000_000;
const REQUEST_COUNT: usize = 48;

fn long_request(id: &str) -> CallerRequest {
    let mut request = CallerRequest::new(id, "POST", "/issue/7");
    request.body = vec![b'p'; BODY_BYTES];
    request
}

#[test]
fn long_bodies_that_targets_hold_up_are_refused_before_they_take_all_memory() {
    let bed = TestBed::start(1);
    let mut table = config(2);
    table["limits"]["max_body_bytes"] = json!(4_194_304);
    bed.put_config(&table);
    let callers = bed.node_configs[0].callers;
    wait_until(Duration::from_secs(3), "long bodies are allowed", || {
        send(callers, &long_request("first")).is_some_and(|response| response.status == 200)
    });
    bed.set_replicas(TargetMode::Hangs);

    let senders: Vec<JoinHandle<(String, Option<CallerResponse>)>> = (0..REQUEST_COUNT)
        .map(|request| {
            std::thread::sleep(Duration::from_millis(30));
            let id = format!("long-{request}");
            std::thread::spawn(move || {
                let response = send(callers, &long_request(&id));
                (id, response)
            })
        })
        .collect();

    let mut refused = 0;
    for sender in senders {
        let (id, response) = sender.join().expect("the sender ends");
        let response = response.unwrap_or_else(|| panic!("{id} has no answer"));
        let ran = !bed.runs(&id).is_empty();
        if response.status == 503 {
            assert!(!ran, "{id} was refused and has run");
            assert!(response.header("retry-after").is_some());
            refused += 1;
        } else {
            assert!([502, 504].contains(&response.status), "{}", response.status);
        }
    }
    assert!((1..REQUEST_COUNT).contains(&refused), "{refused} refused");
    let peak = bed.nodes[0].peak_memory();
    assert!(peak < MEMORY_BYTES, "the node held {peak} bytes");
    // The memory is free again.
    bed.set_replicas(TargetMode::Healthy);
    wait_until(Duration::from_secs(5), "long bodies are served", || {
        send(callers, &long_request("last")).is_some_and(|response| response.status == 200)
    });
}

#[test]
fn bodies_that_do_not_arrive_take_no_memory_and_end_with_the_callers_time() {
    let bed = TestBed::start(1);
    let mut table = config(2);
    table["limits"]["max_body_bytes"] = json!(4_194_304);
    bed.put_config(&table);
    let callers = bed.node_configs[0].callers;
    wait_until(Duration::from_secs(3), "long bodies are allowed", || {
        send(callers, &long_request("first")).is_some_and(|response| response.status == 200)
    });
    let mut unfinished: Vec<TcpStream> = (0..REQUEST_COUNT)
        .map(|request| {
            let mut stream = TcpStream::connect(callers).expect("a connection");
            let head = format!(
                "POST /issue/7 HTTP/1.1\r\nhost: callers.example\r\nx-plantainnotch-request-id: slow-{request}\r\nx-plantainnotch-key: key-a\r\nx-plantainnotch-deadline: 2000\r\ncontent-length: {BODY_BYTES}\r\n\r\nstart"
            );
            stream.write_all(head.as_bytes()).expect("the start is sent");
            stream
        })
        .collect();

    let response = send(callers, &long_request("beside")).expect("a response");

    assert_eq!(response.status, 200);
    for stream in &mut unfinished {
        let limit = Some(Duration::from_secs(5));
        stream.set_read_timeout(limit).expect("the limit is set");
        let mut received = [0; 64];
        let count = stream.read(&mut received).expect("an answer");
        assert!(received[..count].starts_with(b"HTTP/1.1 408"));
    }
}
