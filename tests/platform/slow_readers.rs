//! Callers that read their streams slowly or not at all.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use serde_json::json;

use crate::support::bed::{TestBed, config, wait_until};
use crate::support::caller::{CallerRequest, CallerResponse, parse_response, send};
use crate::support::target::TargetMode;

const UNREAD_LIMIT: Duration = Duration::from_secs(2);
/// Memory of a VM at which one stream may hold 25 MB.
const LARGE_VM_MB: u64 = 8_000;
/// Memory of a VM at which one stream may hold 62.5 kB, and all together 2 MB. What the HTTP server holds for
/// as many connections stays within their bound, 3 MB.
const SMALL_VM_MB: u64 = 20;
const SMALL_VM_BOUND: f64 = 2_000_000.0;
const SLOW_READERS: usize = 32; // each holds six events at the bound of one stream, 2.3 MB together
const CALLER_TIME: Duration = Duration::from_secs(30);
/// Events that exceed the kernel's buffers of the two connections, 8 MB at most, in 12 KB each.
const EVENT_COUNT: u64 = 1_400;
const EVENT_BYTES: usize = 12_000;

/// A bed whose engines send long streams without a proxy, whose buffers would hold them, and cut off
/// those that are unread.
fn bed_with_long_streams(memory_mb: u64) -> TestBed {
    let bed = TestBed::start_with(1, |config| config.memory_mb = Some(memory_mb));
    for engine in &bed.engines {
        engine.set_stream_shape(EVENT_COUNT, EVENT_BYTES);
        engine.set_delay(Duration::ZERO);
        engine.set_mode(TargetMode::CutsUnread(UNREAD_LIMIT));
        let record = engine.record(engine.address, "ready").to_string();
        bed.store
            .put("keyed.servers", &engine.id, record.as_bytes());
    }
    let mut table = config(2);
    for route in ["routes/2", "routes/3"] {
        let path = format!("/{route}/timeout_ms");
        *table.pointer_mut(&path).expect("the route exists") =
            json!(CALLER_TIME.as_millis() as u64);
    }
    bed.put_config_everywhere(&table);
    sleep(Duration::from_millis(700));
    bed
}

/// A request for a stream whose caller has the time to read slowly.
fn patient_stream(bed: &TestBed, id: &str, path: &str) -> CallerRequest {
    let mut request = bed.stream(id, path);
    request.deadline = CALLER_TIME;
    request
}

/// Sends a request for a stream and does not read the response.
fn begin(callers: SocketAddr, request: &CallerRequest) -> TcpStream {
    let mut stream = TcpStream::connect(callers).expect("a connection");
    let limit = Some(Duration::from_secs(5));
    stream.set_read_timeout(limit).expect("the limit is set");
    stream
        .write_all(&request.encode("close"))
        .expect("a request is sent");
    stream
}

fn read_rest(mut stream: TcpStream) -> CallerResponse {
    let mut bytes = Vec::new();
    let is_closed = stream.read_to_end(&mut bytes).is_ok();
    parse_response(&bytes, is_closed).expect("a response")
}

fn all_event_ids() -> Vec<u64> {
    (1..=EVENT_COUNT).collect()
}

/// Whether the node logged `message` for the request `id`.
fn has_logged(bed: &TestBed, id: &str, message: &str) -> bool {
    let id = format!("\"{id}\"");
    let log = bed.nodes[0].log();
    log.lines()
        .any(|line| line.contains(&id) && line.contains(message))
}

/// The value of a metric that has no labels.
fn metric(bed: &TestBed, name: &str) -> f64 {
    let request = CallerRequest::new("", "GET", "/metrics");
    let page = send(bed.node_configs[0].metrics, &request).expect("a page");
    let text = String::from_utf8_lossy(&page.body).into_owned();
    let line = text
        .lines()
        .find(|line| line.starts_with(&format!("{name} ")));
    let value = line.and_then(|line| line.split(' ').nth(1));
    value
        .and_then(|value| value.parse().ok())
        .expect("the metric exists")
}

// Guards against a stream that its target cuts off, or that runs twice, because the caller is slow, and
// against a slot that is held until the caller has read.
#[test]
fn a_caller_that_reads_late_gets_all_events_of_a_target_that_cuts_unread_responses() {
    let bed = bed_with_long_streams(LARGE_VM_MB);
    let callers = bed.node_configs[0].callers;
    let paths = ["/single/a", "/resumable/a"];
    let streams: Vec<(&str, TcpStream)> = paths
        .iter()
        .map(|path| (*path, begin(callers, &patient_stream(&bed, path, path))))
        .collect();

    sleep(Duration::from_secs(5));

    let are_finished = paths.map(|path| has_logged(&bed, path, "stream finished"));
    for (path, stream) in streams {
        let response = read_rest(stream);
        let ids = response.event_ids();
        assert!(response.complete, "{path}: {} events", ids.len());
        assert_eq!(ids, all_event_ids(), "{path}");
        assert_eq!(bed.runs(path).len(), 1, "{path}");
    }
    assert_eq!(are_finished, [true; 2], "finished before the caller read");
    assert!(metric(&bed, "notch_node_read_ahead_bytes").abs() < 1.0);
}

// Guards against events lost, repeated or out of order where the HTTP server and the task that reads on
// take over from each other, and where the bound of one stream stops that task.
#[test]
fn a_caller_that_reads_with_pauses_gets_all_events_in_order() {
    let bed = bed_with_long_streams(SMALL_VM_MB);
    bed.set_engines(TargetMode::Healthy);
    let mut stream = begin(
        bed.node_configs[0].callers,
        &patient_stream(&bed, "paused", "/single/a"),
    );
    let mut bytes = Vec::new();

    for _ in 0..4 {
        sleep(Duration::from_millis(700));
        let mut part = vec![0; 2_000_000];
        stream.read_exact(&mut part).expect("the stream goes on");
        bytes.extend(part);
    }
    stream.read_to_end(&mut bytes).expect("the stream ends");

    let response = parse_response(&bytes, true).expect("a response");
    assert!(response.complete);
    assert_eq!(response.event_ids(), all_event_ids());
    let message = "stream read ahead of its caller";
    assert!(has_logged(&bed, "paused", message), "never read ahead");
}

// Guards against memory that grows with the number of callers that do not read, and against callers that
// read and lose their streams for them.
#[test]
fn slow_readers_beyond_the_bound_of_the_vm_lose_their_responses_and_others_do_not() {
    let bed = bed_with_long_streams(SMALL_VM_MB);
    bed.set_engines(TargetMode::Healthy);
    let callers = bed.node_configs[0].callers;
    let id = |reader| format!("reader-{reader}");
    let streams: Vec<TcpStream> = (0..SLOW_READERS)
        .map(|reader| begin(callers, &patient_stream(&bed, &id(reader), "/single/a")))
        .collect();
    wait_until(Duration::from_secs(5), "a response ends", || {
        metric(&bed, "notch_node_slow_readers_ended_total") > 0.0
    });

    let ordinary =
        send(callers, &patient_stream(&bed, "ordinary", "/single/a")).expect("a response");
    let held_bytes = metric(&bed, "notch_node_read_ahead_bytes");

    assert!(ordinary.complete);
    assert_eq!(ordinary.event_ids(), all_event_ids());
    assert!(held_bytes <= SMALL_VM_BOUND, "{held_bytes} bytes are held");
    for (reader, stream) in streams.into_iter().enumerate() {
        let response = read_rest(stream);
        let has_ended = has_logged(&bed, &id(reader), "slow reader's response ended");
        assert_ne!(response.complete, has_ended, "reader {reader}");
        // The last event of a response that ended may be cut, also within its number.
        let ids = response.event_ids();
        let whole = ids.len().saturating_sub(has_ended.into());
        assert_eq!(ids[..whole], all_event_ids()[..whole], "reader {reader}");
    }
    assert!(metric(&bed, "notch_node_read_ahead_bytes").abs() < 1.0);
}

// Guards against targets that work on for a caller that left, because events are held for it.
#[test]
fn a_slow_reader_that_disconnects_ends_its_targets_work() {
    let bed = bed_with_long_streams(SMALL_VM_MB);
    bed.set_engines(TargetMode::Healthy);
    let stream = begin(
        bed.node_configs[0].callers,
        &patient_stream(&bed, "gone", "/single/a"),
    );
    wait_until(Duration::from_secs(5), "the stream is read ahead", || {
        has_logged(&bed, "gone", "stream not read further ahead")
    });

    drop(stream);

    wait_until(
        Duration::from_millis(500),
        "the target's request ends",
        || bed.ledger().abandoned.iter().any(|id| id == "gone"),
    );
    // A thread of its own writes the log, so the line may come after the connection has closed.
    wait_until(Duration::from_millis(500), "the end is logged", || {
        has_logged(&bed, "gone", "caller left its stream")
    });
    assert!(metric(&bed, "notch_node_read_ahead_bytes").abs() < 1.0);
}

// Guards against requests that wait behind one whose target does not read it, and against bodies that do
// not count while their targets are slow to read them.
#[test]
fn targets_that_read_requests_slowly_hold_up_no_others_and_the_bodies_count_meanwhile() {
    // The bodies of two requests fit.
    let bed = TestBed::start_with(1, |config| config.memory_mb = Some(20));
    let mut table = config(2);
    table["limits"]["max_body_bytes"] = json!(4_194_304);
    bed.put_config_everywhere(&table);
    let callers = bed.node_configs[0].callers;
    let long_request = |id: &str| {
        let mut request = CallerRequest::new(id, "POST", "/issue/7");
        request.body = vec![b'p'; 4_000_000];
        request
    };
    let set_stopped = |stopped| {
        let replicas = bed.replicas.iter();
        replicas.for_each(|replica| replica.set_stopped(stopped));
    };
    set_stopped(true);
    let senders: Vec<JoinHandle<Option<CallerResponse>>> = ["held-1", "held-2"]
        .map(&long_request)
        .map(|request| spawn(move || send(callers, &request)))
        .into();
    sleep(Duration::from_millis(500));

    let refused = send(callers, &long_request("third")).expect("a response");
    let streamed = send(callers, &bed.stream("beside", "/single/a")).expect("a response");
    set_stopped(false);

    assert_eq!(refused.status, 503);
    assert!(streamed.complete);
    for sender in senders {
        let response = sender.join().expect("the sender ends");
        assert_eq!(response.map(|response| response.status), Some(200));
    }
    let third = send(callers, &long_request("third-again")).expect("a response");
    assert_eq!(third.status, 200);
}

// Guards against streams that are resumed only once their caller has read what came before, or with a gap.
#[test]
fn a_stream_that_breaks_while_its_caller_does_not_read_is_resumed_meanwhile() {
    let bed = bed_with_long_streams(LARGE_VM_MB);
    bed.set_engines(TargetMode::Truncates);
    let request = patient_stream(&bed, "broken", "/resumable/a");
    let stream = begin(bed.node_configs[0].callers, &request);

    wait_until(Duration::from_secs(1), "an engine runs it", || {
        !bed.runs("broken").is_empty()
    });
    // The engine that runs it breaks it off all the same, well after the sockets' buffers are full.
    bed.set_engines(TargetMode::Healthy);
    wait_until(Duration::from_secs(5), "the stream is resumed", || {
        has_logged(&bed, "broken", "stream finished")
    });

    assert!(has_logged(
        &bed,
        "broken",
        "stream read ahead of its caller"
    ));
    assert!(has_logged(&bed, "broken", "stream resumed elsewhere"));
    let response = read_rest(stream);
    assert!(response.complete);
    assert_eq!(response.event_ids(), all_event_ids());
    assert_eq!(bed.runs("broken").len(), 2);
}
