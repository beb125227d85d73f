//! Answers of targets, and of VMs that carry requests, that are broken in their head or cut off: none
//! reaches a caller as an answer, or as a complete one.

use std::cell::RefCell;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::answers::send_until_one_runs;
use crate::lost_paths::cut;
use crate::support::bed::{TestBed, config, wait_until};
use crate::support::caller::{CallerResponse, send};
use crate::support::http::{ReceivedRequest, encode_response};
use crate::support::proxy::ProxyFault;
use crate::support::raw_server::{AnswerEnd, RawAnswer, start_raw_server, start_raw_server_at};
use crate::support::target::{ResumeAnswer, TargetMode};

const PATHS: [&str; 4] = ["/lookup/7", "/issue/7", "/single/a", "/resumable/a"];
/// Of `BROKEN_STATUS_LINES`, all of which are read by the same code.
const STATUS_SAMPLE: [&str; 2] = ["HTTP/1.1 000 X\r\n", "HTTP/1.1 600 X\r\n"];
/// Of `BROKEN_NAMES`.
const NAME_SAMPLE: [&str; 4] = [
    "HTTP/1.1 200 X\r\nx note: a\r\n",
    "HTTP/1.1 200 X\r\nx-note : a\r\n",
    "HTTP/1.1 200 X\r\nx\u{1}note: a\r\n",
    "HTTP/1.1 103 X\r\nx-note : a\r\n\r\nHTTP/1.1 200 X\r\n",
];
const SOUND_START: &str = "HTTP/1.1 200 X\r\n";
const EVENT_BYTES: usize = "id: 1\ndata: x\n\n".len();
const MAX_CARRIER_BEDS: usize = 8;
const PATHS_LOST_LIMIT: Duration = Duration::from_secs(6);
const LONG_BODY_BYTES: usize = 6 << 20; // more than the sockets' buffers hold
const UPLOADS: usize = 8; // to each path; the write sees about half of the resets first
const RESUMED_UPLOADS: usize = 4;
const UPLOADS_LIMIT: Duration = Duration::from_secs(60);
const RECORDS_READ_TIME: Duration = Duration::from_millis(800); // records of targets are read in batches
const SUSPENDED_TIME: Duration = Duration::from_millis(20); // an answer and a reset arrive in less

/// The head of an answer to `request`, with these lines about its framing, and its next event.
fn event_answer(request: &ReceivedRequest, framing: &str) -> (String, String) {
    let id = request
        .header("x-plantainnotch-request-id")
        .unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 X\r\nx-plantainnotch-request-id: {id}\r\nx-plantainnotch-replica-seal: seal-{id}\r\ncontent-type: text/event-stream\r\n{framing}\r\n"
    );
    let last: u64 = request
        .header("last-event-id")
        .and_then(|last| last.parse().ok())
        .unwrap_or(0);
    (head, format!("id: {}\ndata: x\n\n", last + 1))
}

/// An answer without a length that a reset cuts off after an event.
fn cut_off_answer(request: &ReceivedRequest) -> RawAnswer {
    let (head, event) = event_answer(request, "");
    RawAnswer {
        bytes: format!("{head}{event}").into_bytes(),
        end: AnswerEnd::Reset,
    }
}

/// A stream that ends before its last chunk, so that it is resumed.
fn broken_off_stream(request: &ReceivedRequest) -> RawAnswer {
    let (head, event) = event_answer(request, "transfer-encoding: chunked\r\n");
    RawAnswer {
        bytes: format!("{head}{:x}\r\n{event}\r\n", event.len()).into_bytes(),
        end: AnswerEnd::Close,
    }
}

/// Suspends a process for a moment, so that it sees at once all that arrives meanwhile.
fn suspend(process: u32) {
    let signal = move |name: &str| {
        let id = process.to_string();
        Command::new("kill").args(["-s", name, &id]).status().ok();
    };
    signal("STOP");
    thread::spawn(move || {
        thread::sleep(SUSPENDED_TIME);
        signal("CONT");
    });
}

/// Puts a server that answers requests with `answer` in the place of all targets.
fn replace_targets(
    bed: &TestBed,
    answer: impl Fn(&ReceivedRequest) -> RawAnswer + Send + Sync + 'static,
) {
    let address = start_raw_server(&bed.runtime, move |request| {
        if request.path.starts_with("/api/") {
            return RawAnswer {
                bytes: encode_response(200, &[], br#"{"waiting":0,"running":0,"pace":1}"#),
                end: AnswerEnd::Keep,
            };
        }
        answer(request)
    });
    for target in bed.engines.iter().chain(&bed.replicas) {
        let record = target.record(address, "ready").to_string();
        bed.store
            .put("keyed.servers", &target.id, record.as_bytes());
    }
    thread::sleep(RECORDS_READ_TIME);
}

/// Sends long requests to `path`, whose answers are broken off first if `resumed`, until targets have cut
/// off `uploads` of them; returns how many responses callers take for complete successes.
fn complete_answers_to_uploads(path: &str, resumed: bool, uploads: usize) -> usize {
    let bed = TestBed::start(1);
    let mut table = config(2);
    table["limits"]["max_body_bytes"] = json!(LONG_BODY_BYTES);
    bed.put_config_everywhere(&table);
    let node = bed.nodes[0].id();
    let cut_off = Arc::new(AtomicUsize::new(0));
    let counted = cut_off.clone();
    replace_targets(&bed, move |request| {
        if resumed && request.header("last-event-id").is_none() {
            return broken_off_stream(request);
        }
        counted.fetch_add(1, Ordering::Relaxed);
        suspend(node);
        cut_off_answer(request)
    });
    let responses = RefCell::new(Vec::new());
    wait_until(UPLOADS_LIMIT, &format!("{path}: the uploads"), || {
        let id = format!("upload-{}", responses.borrow().len());
        let mut request = bed.stream(&id, path);
        // Each body differs, so that they do not count as one request that crashes its targets.
        request.body = id.repeat(LONG_BODY_BYTES / id.len()).into_bytes();
        request.deadline = Duration::from_secs(3);
        let response = send(bed.node_configs[0].callers, &request);
        responses.borrow_mut().push(response);
        cut_off.load(Ordering::Relaxed) >= uploads
    });
    let answered = responses.into_inner().into_iter().flatten();
    answered
        .filter(|response| response.complete && (200..300).contains(&response.status))
        .count()
}

// Guards against a write that takes the connection's error, so that a reset looks like the end of an
// answer without a length.
#[test]
fn an_answer_that_a_reset_cuts_off_during_the_upload_is_not_complete() {
    // A stream is resumed only while another engine takes it: not for long once all have failed on a bed.
    let resumed = (0..RESUMED_UPLOADS)
        .map(|_| complete_answers_to_uploads("/resumable/a", true, 1))
        .sum();

    let complete: Vec<(&str, usize)> = PATHS
        .into_iter()
        .map(|path| (path, complete_answers_to_uploads(path, false, UPLOADS)))
        .chain([("resumed", resumed)])
        .filter(|(_, count)| *count > 0)
        .collect();

    assert!(
        complete.is_empty(),
        "complete answers by path: {complete:?}"
    );
}

/// Sends requests to all kinds of routes until targets have run one whose answer's head begins with
/// `start`, and checks that no caller gets an answer.
fn check_head_start(bed: &TestBed, label: &str, start: &'static str) {
    for path in PATHS {
        let label = format!("{label}{}", path.replace('/', "-"));
        let mode = TargetMode::HeadStart(start);
        bed.set_replicas(mode);
        bed.set_engines(mode);

        let responses = send_until_one_runs(bed, path, &label);

        for response in responses {
            let status = response.as_ref().map_or(0, |response| response.status);
            let is_failure = [0, 502, 503, 504].contains(&status);
            assert!(is_failure, "{label} {start:?}: {response:?}");
        }
        bed.set_replicas(TargetMode::Healthy);
        bed.set_engines(TargetMode::Healthy);
        send_until_one_runs(bed, path, &format!("{label}-healthy"));
    }
}

/// Has engines break off a stream and continue it with a head that begins with `start`, and checks that
/// the caller gets no part of that. The bed is new, since engines that failed before are passed over for a
/// time, and a stream is resumed only while another one takes it.
fn check_resumed_head_start(start: &'static str) {
    let bed = TestBed::start(1);
    let mode = TargetMode::BreaksThenAnswers(ResumeAnswer::HeadStart(start));
    bed.set_engines(mode);

    let response = send(
        bed.node_configs[0].callers,
        &bed.stream("resumed", "/resumable/a"),
    );

    let runs = bed.runs("resumed");
    let response = response.expect("a response");
    assert!(runs.iter().any(|run| run.last_event.is_some()), "{start:?}");
    assert!(!response.complete, "{start:?}: {response:?}");
    assert_eq!(response.event_ids(), [1, 2, 3], "{start:?}");
}

#[test]
fn answers_without_a_status_reach_no_caller() {
    let bed = TestBed::start(1);
    for (number, start) in STATUS_SAMPLE.into_iter().enumerate() {
        check_head_start(&bed, &format!("status-{number}"), start);
        check_resumed_head_start(start);
    }
}

#[test]
fn answers_with_a_broken_field_name_reach_no_caller() {
    let bed = TestBed::start(1);
    for (number, start) in NAME_SAMPLE.into_iter().enumerate() {
        check_head_start(&bed, &format!("name-{number}"), start);
        check_resumed_head_start(start);
    }
}

/// An answer whose head begins with `start`, and whose body is an event.
fn answer_with_start(request: &ReceivedRequest, start: &str) -> RawAnswer {
    let (head, event) = event_answer(request, &format!("content-length: {EVENT_BYTES}\r\n"));
    let (_, fields) = head.split_once("\r\n").expect("it has a status line");
    RawAnswer {
        bytes: format!("{start}{fields}{event}").into_bytes(),
        end: AnswerEnd::Keep,
    }
}

/// An answer that ends before its length.
fn short_answer(request: &ReceivedRequest) -> RawAnswer {
    let framing = format!("content-length: {}\r\n", EVENT_BYTES + 1);
    let (head, event) = event_answer(request, &framing);
    RawAnswer {
        bytes: format!("{head}{event}").into_bytes(),
        end: AnswerEnd::Close,
    }
}

/// Sends long requests to a VM without paths to targets, while a server that answers with `answer` is in the
/// place of the VM that carries them; returns the responses, and how many requests that server got.
fn responses_through_carrier(
    answer: impl Fn(&ReceivedRequest) -> RawAnswer + Send + Sync + 'static,
) -> (Vec<Option<CallerResponse>>, usize) {
    let mut bed = TestBed::start(2);
    let mut table = config(2);
    table["limits"]["max_body_bytes"] = json!(LONG_BODY_BYTES);
    bed.put_config_everywhere(&table);
    cut(&bed, &[0], ProxyFault::Reset);
    wait_until(PATHS_LOST_LIMIT, "the paths are lost", || {
        bed.lookup(0, "lose");
        bed.nodes[0].log().contains("\"state\":\"lost\"")
    });
    let carried = Arc::new(AtomicUsize::new(0));
    let counted = carried.clone();
    let node = bed.nodes[0].id();
    bed.nodes[1].kill();
    start_raw_server_at(&bed.runtime, bed.node_configs[1].callers, move |request| {
        counted.fetch_add(1, Ordering::Relaxed);
        suspend(node);
        answer(request)
    });
    let callers = bed.node_configs[0].callers;
    let senders = PATHS.map(|path| {
        let mut request = bed.stream(path, path);
        request.body = path.repeat(LONG_BODY_BYTES / path.len()).into_bytes();
        request.deadline = Duration::from_secs(3);
        thread::spawn(move || send(callers, &request))
    });
    let responses = senders.map(|sender| sender.join().expect("the sender ends"));
    (responses.to_vec(), carried.load(Ordering::Relaxed))
}

/// Repeats [`responses_through_carrier`] until a request was carried, which it is not once the VM counts as
/// dead.
fn carried_responses(
    label: &str,
    answer: impl Fn(&ReceivedRequest) -> RawAnswer + Copy + Send + Sync + 'static,
) -> Vec<Option<CallerResponse>> {
    let mut played = (0..MAX_CARRIER_BEDS).map(|_| responses_through_carrier(answer));
    let carried = played.find(|(_, carried)| *carried > 0);
    let (responses, _) = carried.unwrap_or_else(|| panic!("{label:?}: no request was carried"));
    responses
}

/// Checks that no caller gets the answers of a VM that carries requests.
fn check_carrier(
    label: &str,
    answer: impl Fn(&ReceivedRequest) -> RawAnswer + Copy + Send + Sync + 'static,
) {
    let responses = carried_responses(label, answer);

    for response in responses {
        let status = response.as_ref().map_or(0, |response| response.status);
        let is_failure = [0, 502, 503, 504].contains(&status);
        let is_cut = response.as_ref().is_some_and(|response| !response.complete);
        assert!(is_failure || is_cut, "{label:?}: {response:?}");
    }
}

// Guards against a VM that passes on what another VM answers in place of a target.
#[test]
fn broken_heads_of_a_vm_that_carries_requests_reach_no_caller() {
    for start in STATUS_SAMPLE.into_iter().chain(NAME_SAMPLE) {
        check_carrier(start, move |request| answer_with_start(request, start));
    }

    let sound = carried_responses("sound", |request| answer_with_start(request, SOUND_START));
    let served = sound.into_iter().flatten();
    let mut complete = served.filter(|response| response.status == 200 && response.complete);
    assert!(
        complete.next().is_some(),
        "a sound answer does not reach its caller"
    );
}

#[test]
fn cut_answers_of_a_vm_that_carries_requests_reach_no_caller_as_complete() {
    check_carrier("reset", cut_off_answer);
    check_carrier("short", short_answer);
}
