//! Streams: passed on whole, resumed where allowed, ended when their caller leaves.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::support::bed::{TestBed, wait_for};
use crate::support::caller::send;
use crate::support::target::TargetMood;

const WHOLE: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

#[test]
fn streams_are_passed_on_whole() {
    let bed = TestBed::start(2);
    for (node, path) in [(0, "/single/a"), (1, "/resumable/a")] {
        let id = format!("stream-{node}");

        let answer = send(bed.places[node].callers, &bed.stream(&id, path)).expect("an answer");

        assert_eq!(answer.status, 200);
        assert!(answer.complete);
        assert_eq!(answer.event_ids(), WHOLE);
    }
}

#[test]
fn broken_streams_go_on_without_a_gap() {
    let bed = TestBed::start(1);
    for mood in [TargetMood::ResetsAfterRun, TargetMood::Truncates] {
        bed.engines[0].set_mood(mood);
        bed.engines[1].set_mood(mood);
        for request in 0..4 {
            let id = format!("resume-{mood:?}-{request}");

            let answer = send(bed.places[0].callers, &bed.stream(&id, "/resumable/a"));

            let answer = answer.expect("an answer");
            let ids = answer.event_ids();
            assert_eq!(ids, WHOLE[..ids.len()], "{mood:?}");
            assert!(!answer.complete || ids.len() == WHOLE.len(), "{mood:?}");
            assert!(bed.runs(&id).len() <= 2, "{mood:?}");
        }
    }
    let resumed = bed.ledger().runs.iter().any(|run| run.last_event.is_some());
    assert!(resumed, "no stream was resumed");
}

#[test]
fn streams_that_run_once_are_broken_off_visibly() {
    let bed = TestBed::start(1);
    bed.set_engines(TargetMood::ResetsAfterRun);

    let answer = send(bed.places[0].callers, &bed.stream("torn", "/single/a"));

    assert!(answer.is_none_or(|answer| !answer.complete));
    assert_eq!(bed.runs("torn").len(), 1);
}

#[test]
fn silence_ends_no_stream_that_nobody_goes_on_with() {
    let bed = TestBed::start(1);
    bed.engines[0].set_step(Duration::from_millis(250));
    // Nobody else can go on with the stream.
    bed.engines[1].set_mood(TargetMood::Full);
    bed.engines[2].set_mood(TargetMood::Full);
    let mut request = bed.stream("slow", "/resumable/a");
    request.extra = vec![("Last-Event-Id".into(), "5".into())];
    request.deadline = Duration::from_secs(12);

    let callers = bed.places[0].callers;
    let caller = std::thread::spawn(move || send(callers, &request));
    // The first event comes in time, the next ones after long pauses.
    wait_for(Duration::from_secs(2), "the stream begins", || {
        bed.runs("slow").iter().any(|run| run.target == "engine-0")
    });
    std::thread::sleep(Duration::from_millis(150));
    bed.engines[0].set_step(Duration::from_millis(1_600));

    let answer = caller
        .join()
        .expect("the caller's thread ends")
        .expect("an answer");

    assert!(answer.complete, "{:?}", answer.event_ids());
    assert_eq!(answer.event_ids(), [6, 7, 8]);
}

#[test]
fn a_silent_engine_is_kept_when_no_other_takes_over() {
    let bed = TestBed::start(1);
    bed.engines[0].set_step(Duration::from_millis(1_600));
    bed.engines[1].set_mood(TargetMood::Full);
    bed.engines[2].set_mood(TargetMood::Full);
    let mut request = bed.stream("late-first", "/resumable/a");
    request.extra = vec![("Last-Event-Id".into(), "6".into())];

    let answer = send(bed.places[0].callers, &request).expect("an answer");

    assert!(answer.complete, "status {}", answer.status);
    assert_eq!(answer.event_ids(), [7, 8]);
}

#[test]
fn targets_stop_soon_after_a_caller_left() {
    let bed = TestBed::start(1);
    bed.engines
        .iter()
        .for_each(|engine| engine.set_step(Duration::from_millis(450)));
    let mut stream = TcpStream::connect(bed.places[0].callers).expect("a connection");
    let head = "POST /single/a HTTP/1.1\r\nhost: callers.example\r\nx-plantainnotch-request-id: gone\r\nx-plantainnotch-key: key-a\r\nx-plantainnotch-token-count: 1000,400\r\ncontent-length: 0\r\n\r\n";
    stream
        .write_all(head.as_bytes())
        .expect("a request is sent");
    let mut read = Vec::new();
    let mut part = [0; 512];
    // With nothing left unread, the caller's end is an orderly one.
    while !read.ends_with(b"\n\n\r\n") {
        let count = stream.read(&mut part).expect("the stream begins");
        read.extend_from_slice(&part[..count]);
    }

    drop(stream);

    wait_for(
        Duration::from_millis(500),
        "the target's request ends",
        || bed.ledger().left.iter().any(|id| id == "gone"),
    );
}

#[test]
fn long_prompts_are_split_and_leave_no_memory_behind() {
    let bed = TestBed::start(1);
    let mut request = bed.stream("long", "/archive/a");
    request.tokens = Some("300000,700".to_owned());

    let answer = send(bed.places[0].callers, &request).expect("an answer");

    assert_eq!(answer.status, 200);
    assert!(answer.complete);
    assert!(
        bed.ledger().longest_hold > Duration::ZERO,
        "nothing was reserved"
    );
    // Should this VM die, memory must be free again 4 s after its request.
    assert!(bed.ledger().longest_hold < Duration::from_secs(4));
    wait_for(Duration::from_secs(1), "memory is released", || {
        bed.ledger().tickets.is_empty()
    });
}

#[test]
fn full_engines_refuse_truly() {
    let bed = TestBed::start(1);
    bed.set_engines(TargetMood::Full);

    let answer = send(bed.places[0].callers, &bed.stream("full", "/single/a"));

    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(bed.runs("full").is_empty());
}

#[test]
fn memory_is_free_soon_after_a_lead_fell_silent() {
    let bed = TestBed::start(1);
    bed.set_engines(TargetMood::Hangs);
    let mut request = bed.stream("silent-lead", "/archive/a");
    request.tokens = Some("300000,700".to_owned());
    request.deadline = Duration::from_secs(6);
    let callers = bed.places[0].callers;
    let caller = std::thread::spawn(move || send(callers, &request));
    wait_for(Duration::from_secs(2), "memory is reserved", || {
        !bed.ledger().tickets.is_empty()
    });
    let reserved = std::time::Instant::now();

    let latest = || {
        bed.ledger()
            .tickets
            .values()
            .map(|ticket| ticket.until)
            .max()
    };
    let mut until = latest();
    while reserved.elapsed() < Duration::from_secs(4) {
        std::thread::sleep(Duration::from_millis(100));
        until = until.max(latest());
    }

    // The stand-in's ledger keeps leases that ran out; none may reach further.
    assert!(until.is_some_and(|until| until < reserved + Duration::from_secs(4)));
    caller.join().expect("the caller's thread ends");
}

#[test]
fn a_dead_domain_costs_nobody_an_answer() {
    let bed = TestBed::start(2);
    for index in 0..2 {
        // A port that was free a moment ago may be another test's by now.
        let address = ([127, 99, 0, 1 + index as u8], 9).into();
        let engine = bed.target(index);
        let record = engine.record(address, "ready").to_string();
        bed.store
            .put("keyed.servers", &engine.id, record.as_bytes());
    }
    std::thread::sleep(Duration::from_millis(700));
    for request in 0..12 {
        let id = format!("dead-{request}");

        let answer = send(
            bed.places[request % 2].callers,
            &bed.stream(&id, "/single/a"),
        );

        assert_eq!(answer.expect("an answer").status, 200, "{id}");
        assert_eq!(bed.runs(&id).len(), 1);
    }
}
