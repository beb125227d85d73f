//! Clients send requests with long bodies, each within the config's limit, to replicas that read
//! slowly. The platform kills a process that exceeds `memory_mb`.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::bed::{Node, Route, Store, loopback, publish, put_config, record, start_nodes};
use crate::http::{Response, read_response};
use crate::replica::{self, Seen};

const MEMORY_BYTES: u64 = 260 << 20; // `memory_mb` of the settings
const CLIENTS: usize = 60;
/// Time between two requests: 5.5 a second, a seventh of the 38.7 of the sheet.
const INTERVAL: Duration = Duration::from_millis(180);
const BODY_BYTES: usize = 4_000_000; // `max_body_bytes` is 4,194,304
/// Bytes of a body that a replica reads in a second: it has all of them after 8 of the 15 seconds
/// that the client has.
const READ_RATE: usize = 500_000;
const RESTART_DELAY: Duration = Duration::from_millis(500);
const MAX_LOST: usize = 3; // "more than three times"

/// Sends a request; `None` if the connection ends or the time is over before the answer's head.
fn post(stream: &mut TcpStream, path: &str, id: &str, body: &[u8]) -> Option<Response> {
    let head = format!(
        "POST {path}{id} HTTP/1.1\r\nhost: callers.example\r\nx-plantainnotch-request-id: {id}\r\nx-plantainnotch-deadline: 15000\r\nx-plantainnotch-key: key-a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_response(stream, |_| {})
}

/// Kills a process whose memory exceeds the limit, as the platform does.
fn watch_memory(node: &Node, peak: &AtomicU64, ended: &AtomicBool) {
    while !ended.load(Ordering::Relaxed) {
        let memory = node.memory();
        peak.fetch_max(memory, Ordering::Relaxed);
        if memory > MEMORY_BYTES {
            let held = memory >> 20;
            record(&format!("{} holds {held} MiB, over memory_mb: the platform kills it", node.name));
            node.signal("KILL");
            std::thread::sleep(RESTART_DELAY);
            node.start().ok();
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The second request on a connection that has served a first one.
struct Outcome {
    id: String,
    kept: bool,
    response: Option<Response>,
}

fn play_client(node: &Node, index: usize, body: &[u8]) -> Option<Outcome> {
    let id = format!("b0d1e5{index:02}");
    let mut stream = TcpStream::connect(node.front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(15))).ok()?;
    let first = post(&mut stream, "/issue/small/", &format!("f1{id}"), b"x");
    let kept = first.is_some_and(|first| first.status == 200 && first.complete);
    std::thread::sleep(Duration::from_millis(500) + INTERVAL * index as u32);
    record(&format!("client sends {id} with {} bytes on a kept connection: {kept}", body.len()));
    let response = post(&mut stream, "/issue/", &id, body);
    let seen = response.as_ref().map_or("the connection is closed without an answer".to_owned(), |response| {
        format!("{}, complete: {}", response.status, response.complete)
    });
    record(&format!("client of {id} has: {seen}"));
    Some(Outcome { id, kept, response })
}

pub fn play(trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start(loopback(8)).map_err(failed)?;
    let route = Route {
        name: "issue",
        path: "/issue/",
        kind: "unsafe",
        service: "records",
        timeout_ms: 15_000,
        latency_ms: 3_000,
        attempts: 1,
        resume: false,
        gap_ms: 250,
    };
    put_config(&store, &[route], 232_000);
    let seen = Seen::default();
    let read_rate = trouble.then_some(READ_RATE);
    for zone in 0..3 {
        let id = format!("i-{zone}");
        let work = Duration::from_millis(30);
        let address = replica::start(loopback(7), &id, work, 800, read_rate, &seen);
        publish(&store, &id, "records", address.map_err(failed)?, zone);
    }
    let nodes = start_nodes(3, store_address)?;
    // Calm for `stable_ms` before the first request.
    std::thread::sleep(Duration::from_millis(3_500));
    let (peak, ended) = (AtomicU64::new(0), AtomicBool::new(false));
    let outcomes: Mutex<Vec<Option<Outcome>>> = Mutex::default();
    let body = vec![b'p'; BODY_BYTES];
    std::thread::scope(|scope| {
        scope.spawn(|| watch_memory(&nodes[0], &peak, &ended));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|index| {
                let (node, body, outcomes) = (&nodes[0], &body, &outcomes);
                scope.spawn(move || {
                    let outcome = play_client(node, index, body);
                    outcomes.lock().unwrap().push(outcome);
                })
            })
            .collect();
        for client in clients {
            client.join().ok();
        }
        ended.store(true, Ordering::Relaxed);
    });
    record(&format!("{} held {} MiB at most", nodes[0].name, peak.load(Ordering::Relaxed) >> 20));
    let outcomes = outcomes.lock().unwrap();
    let arrived = seen.arrived.lock().unwrap();
    let kept: Vec<&Outcome> = outcomes.iter().flatten().filter(|outcome| outcome.kept).collect();
    if kept.len() < CLIENTS {
        return Err("not all clients have a kept connection".to_owned());
    }
    let passed_on = kept.iter().filter(|outcome| arrived.contains(&outcome.id));
    let lost = passed_on.filter(|outcome| outcome.response.is_none()).count();
    let unanswered = kept.iter().filter(|outcome| outcome.response.is_none()).count();
    record(&format!(
        "LOST: {lost} requests from kept connections were passed on to a replica and their connections closed without an answer; {unanswered} of {CLIENTS} requests have no answer"
    ));
    Ok(lost <= MAX_LOST)
}
