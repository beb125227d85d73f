//! Streams: relayed completely, resumed where the route allows, ended when the caller disconnects.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;

use crate::support::bed::{TestBed, config, wait_until};
use crate::support::caller::{CallerRequest, send};
use crate::support::target::{ResumeAnswer, TargetMode};

const ALL_EVENT_IDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

#[test]
fn streams_are_relayed_completely() {
    let bed = TestBed::start(2);
    for (node, path) in [(0, "/single/a"), (1, "/resumable/a")] {
        let id = format!("stream-{node}");

        let response =
            send(bed.node_configs[node].callers, &bed.stream(&id, path)).expect("a response");

        assert_eq!(response.status, 200);
        assert!(response.complete);
        assert_eq!(response.event_ids(), ALL_EVENT_IDS);
    }
}

// Guards against refusals whose end callers of streams had to find in another way than that of streams.
#[test]
fn refusals_on_stream_routes_are_framed_like_streams() {
    let bed = TestBed::start(1);
    bed.set_engines(TargetMode::Full);
    let callers = bed.node_configs[0].callers;
    let mut unknown_key = bed.stream("unknown-key", "/single/a");
    unknown_key.key = Some("nobody".to_owned());
    let mut too_large = bed.stream("too-large", "/resumable/a");
    too_large.body = vec![b'x'; 200_000];
    let full = bed.stream("full", "/archive/a");
    let look_up = CallerRequest::new("look-up", "GET", "/lookup/7");
    let mut plain = CallerRequest::new("plain", "GET", "/lookup/7");
    plain.key = None;

    for (request, status, is_stream) in [
        (unknown_key, 401, true),
        (too_large, 413, true),
        (full, 503, true),
        (look_up, 200, false),
        (plain, 401, false),
    ] {
        let response = send(callers, &request).expect("a response");

        let id = &request.id;
        assert_eq!(response.status, status, "{id}");
        assert!(response.complete, "{id}");
        assert!(!response.body.is_empty(), "{id}");
        let is_chunked = response.header("transfer-encoding") == Some("chunked");
        assert_eq!(is_chunked, is_stream, "{id}");
        assert_eq!(
            response.header("content-length").is_none(),
            is_stream,
            "{id}"
        );
    }
}

#[test]
fn a_refusal_to_an_http_1_0_caller_has_no_chunks() {
    let bed = TestBed::start(1);
    let mut stream = TcpStream::connect(bed.node_configs[0].callers).expect("a connection");
    let head = "POST /single/a HTTP/1.0\r\nhost: callers.example\r\nx-plantainnotch-request-id: old\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("it is sent");
    let mut received = Vec::new();

    stream.read_to_end(&mut received).expect("an answer");

    let text = String::from_utf8_lossy(&received);
    assert!(text.contains(" 401 "), "{text:?}");
    assert!(!text.contains("transfer-encoding"), "{text:?}");
    assert!(
        text.ends_with("unknown_key: the key is not known\n"),
        "{text:?}"
    );
}

#[test]
fn broken_streams_resume_without_a_gap() {
    let bed = TestBed::start(1);
    for mode in [TargetMode::ResetsAfterRun, TargetMode::Truncates] {
        bed.engines[0].set_mode(mode);
        bed.engines[1].set_mode(mode);
        for request in 0..4 {
            let id = format!("resume-{mode:?}-{request}");

            let response = send(
                bed.node_configs[0].callers,
                &bed.stream(&id, "/resumable/a"),
            );

            let response = response.expect("a response");
            let ids = response.event_ids();
            assert_eq!(ids, ALL_EVENT_IDS[..ids.len()], "{mode:?}");
            assert!(
                !response.complete || ids.len() == ALL_EVENT_IDS.len(),
                "{mode:?}"
            );
            assert!(bed.runs(&id).len() <= 2, "{mode:?}");
        }
    }
    let resumed = bed.ledger().runs.iter().any(|run| run.last_event.is_some());
    assert!(resumed, "no stream was resumed");
}

#[test]
fn an_answer_that_does_not_continue_a_broken_stream_is_not_part_of_it() {
    for answer in ResumeAnswer::ALL {
        let bed = TestBed::start(1);
        bed.set_engines(TargetMode::BreaksThenAnswers(answer));
        for request in 0..3 {
            let id = format!("continued-{answer:?}-{request}");

            let stream = bed.stream(&id, "/resumable/a");
            let response = send(bed.node_configs[0].callers, &stream).expect("a response");

            if response.status != 200 {
                // A broken engine is passed over for a moment.
                assert_eq!(response.status, 503, "{answer:?}");
                std::thread::sleep(Duration::from_millis(500));
                continue;
            }
            assert!(!response.complete, "{answer:?}: the stream looks complete");
            let events: String = response
                .event_ids()
                .iter()
                .map(|event| format!("id: {event}\ndata: {id} {event}\n\n"))
                .collect();
            assert_eq!(
                String::from_utf8_lossy(&response.body),
                events,
                "{answer:?}"
            );
            assert_eq!(response.event_ids(), ALL_EVENT_IDS[..3], "{answer:?}");
        }
        let resumed = bed.ledger().runs.iter().any(|run| {
            run.id.starts_with(&format!("continued-{answer:?}-")) && run.last_event.is_some()
        });
        assert!(resumed, "{answer:?}: no stream was resumed");
    }
}

#[test]
fn streams_delimited_by_connection_close_are_complete() {
    let bed = TestBed::start(1);
    bed.set_engines(TargetMode::Unframed);

    let stream = bed.stream("unframed", "/single/a");
    let response = send(bed.node_configs[0].callers, &stream).expect("a response");

    assert!(response.complete);
    assert_eq!(response.event_ids(), ALL_EVENT_IDS);
}

#[test]
fn streams_delimited_by_connection_close_that_end_early_are_continued_elsewhere() {
    for mode in [TargetMode::UnframedInsideEvent, TargetMode::UnframedEmpty] {
        let bed = TestBed::start(1);
        bed.engines[0].set_mode(mode);
        bed.engines[1].set_mode(mode);
        for request in 0..6 {
            let id = format!("early-{mode:?}-{request}");

            let stream = bed.stream(&id, "/resumable/a");
            let response = send(bed.node_configs[0].callers, &stream).expect("a response");

            let ids = response.event_ids();
            assert_eq!(ids, ALL_EVENT_IDS[..ids.len()], "{mode:?}");
            assert!(
                response.status != 200 || !response.complete || ids.len() == ALL_EVENT_IDS.len(),
                "{mode:?}: {ids:?} looks complete"
            );
        }
    }
}

#[test]
fn non_resumable_streams_end_incomplete_after_a_failure() {
    let bed = TestBed::start(1);
    bed.set_engines(TargetMode::ResetsAfterRun);

    let response = send(
        bed.node_configs[0].callers,
        &bed.stream("torn", "/single/a"),
    );

    assert!(response.is_none_or(|response| !response.complete));
    assert_eq!(bed.runs("torn").len(), 1);
}

#[test]
fn a_silent_stream_is_kept_if_no_engine_can_resume_it() {
    let bed = TestBed::start(1);
    bed.engines[0].set_delay(Duration::from_millis(250));
    // No other engine accepts the stream.
    bed.engines[1].set_mode(TargetMode::Full);
    bed.engines[2].set_mode(TargetMode::Full);
    let mut request = bed.stream("slow", "/resumable/a");
    request.extra_headers = vec![("Last-Event-Id".into(), "5".into())];
    request.deadline = Duration::from_secs(12);

    let callers = bed.node_configs[0].callers;
    let caller = std::thread::spawn(move || send(callers, &request));
    // The first event arrives in time, the later ones after gaps that count as silence.
    wait_until(Duration::from_secs(2), "the stream begins", || {
        bed.runs("slow").iter().any(|run| run.target == "engine-0")
    });
    std::thread::sleep(Duration::from_millis(150));
    bed.engines[0].set_delay(Duration::from_millis(1_600));

    let response = caller
        .join()
        .expect("the caller's thread ends")
        .expect("a response");

    assert!(response.complete, "{:?}", response.event_ids());
    assert_eq!(response.event_ids(), [6, 7, 8]);
}

#[test]
fn a_late_first_event_is_used_if_no_other_engine_takes_the_request() {
    let bed = TestBed::start(1);
    bed.engines[0].set_delay(Duration::from_millis(1_600));
    bed.engines[1].set_mode(TargetMode::Full);
    bed.engines[2].set_mode(TargetMode::Full);
    let mut request = bed.stream("late-first", "/resumable/a");
    request.extra_headers = vec![("Last-Event-Id".into(), "6".into())];

    let response = send(bed.node_configs[0].callers, &request).expect("a response");

    assert!(response.complete, "status {}", response.status);
    assert_eq!(response.event_ids(), [7, 8]);
}

#[test]
fn targets_stop_soon_after_the_caller_disconnects() {
    let bed = TestBed::start(1);
    bed.engines
        .iter()
        .for_each(|engine| engine.set_delay(Duration::from_millis(450)));
    let mut stream = TcpStream::connect(bed.node_configs[0].callers).expect("a connection");
    let head = "POST /single/a HTTP/1.1\r\nhost: callers.example\r\nx-plantainnotch-request-id: gone\r\nx-plantainnotch-key: key-a\r\nx-plantainnotch-token-count: 1000,400\r\ncontent-length: 0\r\n\r\n";
    stream
        .write_all(head.as_bytes())
        .expect("a request is sent");
    let mut read = Vec::new();
    let mut chunk = [0; 512];
    // If all received bytes are read, closing the socket sends FIN rather than RST.
    while !read.ends_with(b"\n\n\r\n") {
        let count = stream.read(&mut chunk).expect("the stream begins");
        read.extend_from_slice(&chunk[..count]);
    }

    drop(stream);

    wait_until(
        Duration::from_millis(500),
        "the target's request ends",
        || bed.ledger().abandoned.iter().any(|id| id == "gone"),
    );
}

#[test]
fn split_prompts_release_reserved_memory() {
    let bed = TestBed::start(1);
    let mut request = bed.stream("long", "/archive/a");
    request.tokens = Some("300000,700".to_owned());

    let response = send(bed.node_configs[0].callers, &request).expect("a response");

    assert_eq!(response.status, 200);
    assert!(response.complete);
    assert!(
        bed.ledger().longest_reservation > Duration::ZERO,
        "no memory was reserved"
    );
    // Memory must be free 4 s after its request even if this VM dies.
    assert!(bed.ledger().longest_reservation < Duration::from_secs(4));
    wait_until(Duration::from_secs(1), "memory is released", || {
        bed.ledger().reservations.is_empty()
    });
}

#[test]
fn attempts_at_a_split_prompt_share_no_reservation() {
    let bed = TestBed::start(1);
    let mut table = config(2);
    table["routes"][4]["timeout_ms"] = json!(20_000);
    table["services"][1]["engine"]["kv_capacity_tokens"] = json!(90_000);
    bed.put_config(&table);
    std::thread::sleep(Duration::from_millis(800));
    bed.set_engines(TargetMode::Hangs);
    let mut request = bed.stream("split", "/archive/a");
    request.tokens = Some("110000,700".to_owned());
    request.deadline = Duration::from_secs(10);
    let callers = bed.node_configs[0].callers;

    let caller = std::thread::spawn(move || send(callers, &request));
    wait_until(Duration::from_secs(9), "a second engine is asked", || {
        bed.runs("split").len() == 2
    });

    let runs = bed.runs("split");
    assert!(runs.iter().all(|run| !run.reservations.is_empty()));
    let shared: Vec<&String> = runs[0]
        .reservations
        .iter()
        .filter(|reservation| runs[1].reservations.contains(reservation))
        .collect();
    assert!(shared.is_empty(), "both attempts use {shared:?}");
    bed.set_engines(TargetMode::Healthy);
    caller.join().expect("the caller's thread ends");
    wait_until(Duration::from_secs(2), "memory is released", || {
        bed.ledger().reservations.is_empty()
    });
}

#[test]
fn requests_refused_by_full_engines_are_not_executed() {
    let bed = TestBed::start(1);
    bed.set_engines(TargetMode::Full);

    let response = send(
        bed.node_configs[0].callers,
        &bed.stream("full", "/single/a"),
    );

    let response = response.expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(bed.runs("full").is_empty());
}

#[test]
fn reserved_memory_is_free_4_s_after_its_reservation_if_the_lead_is_silent() {
    let bed = TestBed::start(1);
    bed.set_engines(TargetMode::Hangs);
    let mut request = bed.stream("silent-lead", "/archive/a");
    request.tokens = Some("300000,700".to_owned());
    request.deadline = Duration::from_secs(6);
    let callers = bed.node_configs[0].callers;
    let caller = std::thread::spawn(move || send(callers, &request));
    wait_until(Duration::from_secs(2), "memory is reserved", || {
        !bed.ledger().reservations.is_empty()
    });
    let reserved_at = std::time::Instant::now();

    let latest_expiry = || {
        bed.ledger()
            .reservations
            .values()
            .map(|reservation| reservation.expires_at)
            .max()
    };
    let mut until = latest_expiry();
    while reserved_at.elapsed() < Duration::from_secs(4) {
        std::thread::sleep(Duration::from_millis(100));
        until = until.max(latest_expiry());
    }

    // The test target's ledger keeps expired leases too; none may end later than 4 s after the
    // reservation.
    assert!(until.is_some_and(|until| until < reserved_at + Duration::from_secs(4)));
    caller.join().expect("the caller's thread ends");
}

/// A bed whose engines take seconds to prefill the returned request, over several of their leases of memory.
fn bed_with_slow_prefill(id: &str) -> (TestBed, CallerRequest) {
    let bed = TestBed::start(1);
    let mut table = config(2);
    table["routes"][4]["timeout_ms"] = json!(30_000);
    table["routes"][4]["latency_target_ms"] = json!(8_000);
    table["services"][1]["engine"]["read_per_s"] = json!(24_000.0);
    bed.put_config_everywhere(&table);
    bed.set_engines(TargetMode::Prefills);
    let mut request = bed.stream(id, "/archive/a");
    request.tokens = Some("300000,700".to_owned());
    request.deadline = Duration::from_secs(12);
    (bed, request)
}

// Guards against long prompts that engines cut off because their memory expires before the first event.
#[test]
fn reserved_memory_lasts_until_a_first_event_that_is_due_later_than_a_lease_ends() {
    let (bed, request) = bed_with_slow_prefill("slow-prefill");
    let callers = bed.node_configs[0].callers;
    let caller = std::thread::spawn(move || send(callers, &request));
    wait_until(Duration::from_secs(4), "the lead runs the request", || {
        !bed.runs("slow-prefill").is_empty()
    });
    let begun_at = std::time::Instant::now();

    let mut expired = false;
    while begun_at.elapsed() < Duration::from_secs(6) {
        std::thread::sleep(Duration::from_millis(50));
        let now = std::time::Instant::now();
        let ledger = bed.ledger();
        let mut reservations = ledger.reservations.values();
        expired |= reservations.any(|reservation| reservation.expires_at < now);
        assert!(!ledger.reservations.is_empty());
    }

    assert!(!expired, "memory expired while the lead prefilled");
    assert!(bed.ledger().longest_reservation < Duration::from_secs(4));
    caller.join().expect("the caller's thread ends");
}

// Guards against memory that stays reserved for a lead that died while it prefilled.
#[test]
fn reserved_memory_is_free_4_s_after_its_lead_stops_during_a_long_prefill() {
    let (bed, request) = bed_with_slow_prefill("stopped-lead");
    let callers = bed.node_configs[0].callers;
    let caller = std::thread::spawn(move || send(callers, &request));
    wait_until(Duration::from_secs(4), "the lead runs the request", || {
        !bed.runs("stopped-lead").is_empty()
    });
    std::thread::sleep(Duration::from_secs(2));

    let lead = &bed.runs("stopped-lead")[0].target;
    let engines = bed.engines.iter().filter(|engine| engine.id == *lead);
    engines.for_each(|engine| engine.set_stopped(true));
    let stopped_at = std::time::Instant::now();
    std::thread::sleep(Duration::from_secs(4));

    let latest_expiry = bed
        .ledger()
        .reservations
        .values()
        .map(|reservation| reservation.expires_at)
        .max();
    assert!(latest_expiry.is_none_or(|at| at < stopped_at + Duration::from_secs(4)));
    caller.join().expect("the caller's thread ends");
}

#[test]
fn requests_succeed_while_two_engines_refuse_connections() {
    let bed = TestBed::start(2);
    for index in 0..2 {
        // A port freed on 127.0.0.1 may be taken by another test by now, so use other addresses.
        let address = ([127, 99, 0, 1 + index as u8], 9).into();
        let engine = bed.target(index);
        let record = engine.record(address, "ready").to_string();
        bed.store
            .put("keyed.servers", &engine.id, record.as_bytes());
    }
    std::thread::sleep(Duration::from_millis(700));
    for request in 0..12 {
        let id = format!("dead-{request}");

        let response = send(
            bed.node_configs[request % 2].callers,
            &bed.stream(&id, "/single/a"),
        );

        assert_eq!(response.expect("a response").status, 200, "{id}");
        assert_eq!(bed.runs(&id).len(), 1);
    }
}
