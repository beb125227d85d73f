//! Requests to services that are not model engines: what their callers receive and how often
//! targets execute them.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use crate::support::bed::{TestBed, wait_until};
use crate::support::caller::{CallerRequest, CallerResponse, send};
use crate::support::target::TargetMode;

#[test]
fn forwarded_requests_carry_the_team_but_not_the_key() {
    let bed = TestBed::start(1);
    let mut request = CallerRequest::new("r-1", "POST", "/issue/a%2Fb?x=1");
    request.body = b"certificate".to_vec();
    request.extra_headers = vec![("X-Plantainnotch-Tenant".into(), "forged".into())];

    let response = send(bed.node_configs[0].callers, &request).expect("a response");

    assert_eq!(response.status, 200);
    assert!(response.complete);
    let run = &bed.runs("r-1")[0];
    assert_eq!(run.team.as_deref(), Some("team-a"));
    assert!(!run.key_seen);
    assert_eq!(run.path, "/issue/a%2Fb?x=1");
    assert_eq!(run.body, b"certificate");
    assert_eq!(run.service, "records");
    assert_eq!(run.requested_target.as_ref(), Some(&run.target));
    assert!(run.deadline_ms.is_some_and(|left| left <= 5_000));
}

#[test]
fn unknown_routes_get_404_and_unknown_keys_401() {
    let bed = TestBed::start(1);
    let mut with_unknown_key = CallerRequest::new("r-2", "GET", "/lookup/1");
    with_unknown_key.key = Some("key-z".to_owned());

    let unknown_route = send(
        bed.node_configs[0].callers,
        &CallerRequest::new("r-1", "GET", "/other/1"),
    );
    let unknown_key = send(bed.node_configs[0].callers, &with_unknown_key);

    assert_eq!(unknown_route.expect("a response").status, 404);
    assert_eq!(unknown_key.expect("a response").status, 401);
    assert!(bed.runs("r-1").is_empty() && bed.runs("r-2").is_empty());
}

#[test]
fn non_idempotent_requests_execute_at_most_once_and_refused_ones_never() {
    let bed = TestBed::start(2);
    let modes = [
        TargetMode::ResetsAfterRun,
        TargetMode::Hangs,
        TargetMode::Full,
        TargetMode::Truncates,
        TargetMode::UnframedReset,
        TargetMode::Fails,
        TargetMode::AnswersTwice,
    ];
    for (mode_index, mode) in modes.into_iter().enumerate() {
        bed.set_replicas(mode);
        for request in 0..3 {
            let id = format!("once-{mode_index}-{request}");

            let response = bed.issue(request % 2, &id);

            let runs = bed.runs(&id).len();
            assert!(runs <= 1, "{mode:?}: {id} executed {runs} times");
            let status = response.as_ref().map_or(0, |response| response.status);
            let refused = [408, 421, 429, 503].contains(&status);
            assert!(
                !refused || runs == 0,
                "{mode:?}: {id} was refused but executed"
            );
            if mode == TargetMode::Full {
                assert!(refused, "{mode:?}: {id} got {status}");
                let retry_after = response
                    .as_ref()
                    .and_then(|response| response.header("retry-after"));
                assert!(retry_after.is_some(), "{mode:?}: no Retry-After header");
            }
        }
    }
}

#[test]
fn idempotent_requests_are_retried_at_another_target() {
    let bed = TestBed::start(1);
    for (mode_index, mode) in [
        TargetMode::ResetsAfterRun,
        TargetMode::Truncates,
        TargetMode::UnframedReset,
    ]
    .into_iter()
    .enumerate()
    {
        bed.replicas[0].set_mode(mode);
        for request in 0..6 {
            let id = format!("safe-{mode_index}-{request}");

            let response = bed.lookup(0, &id).expect("a response");

            assert_eq!(response.status, 200, "{mode:?}");
            assert!(response.complete, "{mode:?}");
            let text = String::from_utf8_lossy(&response.body).into_owned();
            assert!(
                text.starts_with(&format!("answer to {id} ")),
                "{mode:?}: {text}"
            );
            assert!(bed.runs(&id).len() <= 2, "{mode:?}");
        }
        bed.replicas[0].set_mode(TargetMode::Healthy);
    }
}

#[test]
fn targets_that_ask_for_a_pause_get_no_requests_for_that_time() {
    const PAUSE: Duration = Duration::from_secs(3);
    let bed = TestBed::start(1);
    bed.engines[0].refuse_for(PAUSE);
    bed.replicas[0].refuse_for(PAUSE);
    let started_at = Instant::now();

    while started_at.elapsed() < PAUSE {
        let id = format!("pause-{}", started_at.elapsed().as_millis());
        let looked_up = bed.lookup(0, &id).expect("a response");
        let stream = bed.stream(&id, "/single/a");
        let streamed = send(bed.node_configs[0].callers, &stream).expect("a response");
        assert_eq!((looked_up.status, streamed.status), (200, 200), "{id}");
    }

    for target in ["engine-0", "replica-0"] {
        let ledger = bed.ledger();
        let refusals = ledger.refusals.iter().filter(|(name, ..)| name == target);
        let times: Vec<Instant> = refusals.map(|(.., at)| *at).collect();
        let first = *times.first().expect("the target was asked once");
        let grace = Duration::from_millis(500);
        let late = times.iter().filter(|at| **at > first + grace).count();
        assert!(late <= 2, "{target} was asked {late} times more");
    }
}

#[test]
fn requests_are_refused_at_once_while_all_targets_ask_for_a_pause() {
    let bed = TestBed::start(1);
    for target in bed.engines.iter().chain(&bed.replicas) {
        target.refuse_for(Duration::from_secs(5));
    }
    for request in 0..4 {
        let id = format!("all-{request}");
        bed.lookup(0, &id);
        send(bed.node_configs[0].callers, &bed.stream(&id, "/single/a"));
    }
    let asked = bed.ledger().refusals.len();

    let started_at = Instant::now();
    let looked_up = bed.lookup(0, "refused").expect("a response");
    let stream = bed.stream("refused", "/single/a");
    let streamed = send(bed.node_configs[0].callers, &stream).expect("a response");

    assert!(started_at.elapsed() < Duration::from_millis(500));
    assert_eq!(bed.ledger().refusals.len(), asked);
    for response in [looked_up, streamed] {
        assert_eq!(response.status, 503);
        let retry_after: f64 = response
            .header("retry-after")
            .and_then(|seconds| seconds.parse().ok())
            .expect("a time to return at");
        assert!((3.0..8.0).contains(&retry_after), "{retry_after}");
    }
}

#[test]
fn bodies_delimited_by_connection_close_are_complete() {
    let bed = TestBed::start(1);
    bed.set_replicas(TargetMode::Unframed);

    let response = bed.issue(0, "unframed").expect("a response");

    assert_eq!(response.status, 200);
    assert!(response.complete);
    assert!(
        response
            .body
            .starts_with(b"answer to unframed from replica-")
    );
}

#[test]
fn surplus_responses_are_dropped() {
    let bed = TestBed::start(1);
    bed.set_replicas(TargetMode::AnswersTwice);
    for request in 0..12 {
        let id = format!("more-{request}");

        let response = bed.lookup(0, &id).expect("a response");

        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert!(text.starts_with(&format!("answer to {id} ")), "{text}");
    }
}

#[test]
fn a_targets_error_response_is_forwarded_with_its_seal() {
    let bed = TestBed::start(1);
    bed.set_replicas(TargetMode::Fails);

    let response = bed.issue(0, "fails").expect("a response");

    assert_eq!(response.status, 500);
    assert!(response.header("x-plantainnotch-replica-seal").is_some());
}

#[test]
fn bodies_over_the_limit_are_rejected() {
    let bed = TestBed::start(1);
    let mut request = CallerRequest::new("large", "POST", "/issue/1");
    request.body = vec![b'x'; 100_001];

    let response = send(bed.node_configs[0].callers, &request);

    assert!(response.is_none_or(|response| response.status == 413));
    assert!(bed.runs("large").is_empty());
}

/// Statuses by which callers take a request for not run, now or later.
const MAX_CUT_HEAD_BYTES: usize = 200; // more than the heads of the stand-ins' responses
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Sends a non-idempotent request and checks that it runs at most once more, and not at all if the
/// response promises so. Returns whether it ran.
fn runs_at_most_once(bed: &TestBed, request: &CallerRequest) -> bool {
    let runs_before = bed.runs(&request.id).len();

    let response = send(bed.node_configs[0].callers, request);

    // A target may begin to run a request while the response is under way.
    std::thread::sleep(Duration::from_millis(60));
    let runs = bed.runs(&request.id).len() - runs_before;
    let status = response.map_or(0, |response| response.status);
    let (id, path) = (&request.id, &request.path);
    assert!(runs <= 1, "{path} {id} ran {runs} times");
    assert!(
        runs == 0 || !PROMISES.contains(&status),
        "{path} {id} has run, and its caller got {status}"
    );
    runs > 0
}

#[test]
fn an_earlier_refusal_that_comes_once_more_is_not_taken_for_an_answer() {
    for path in ["/issue/7", "/single/a"] {
        for ids in [["one", "one"], ["one", "other"], ["", ""]] {
            let bed = TestBed::start(1);
            let new_request = |id: &str| {
                let mut request = bed.stream(id, path);
                request.deadline = Duration::from_secs(3);
                request
            };
            runs_at_most_once(&bed, &new_request("before"));
            bed.set_replicas(TargetMode::RepeatsRefusal);
            bed.set_engines(TargetMode::RepeatsRefusal);

            let mut ran = false;
            for round in 0..3 {
                for id in ids {
                    let unique = format!("{id}-{round}");
                    let id = if id == "other" { &unique } else { id };
                    ran |= runs_at_most_once(&bed, &new_request(id));
                }
            }

            assert!(ran, "{path} {ids:?}: no request ran");
        }
    }
}

#[test]
fn a_request_that_has_run_is_not_answered_with_a_status_that_promises_otherwise() {
    let bed = TestBed::start(1);
    for status in [408, 429, 503] {
        bed.set_replicas(TargetMode::RunsAndAnswers(status));
        bed.set_engines(TargetMode::RunsAndAnswers(status));
        for path in ["/issue/7", "/single/a"] {
            let mut request = bed.stream(&format!("promised-{status}"), path);
            request.deadline = Duration::from_secs(3);

            let ran = runs_at_most_once(&bed, &request);

            assert!(ran, "{path}: the request did not run");
        }
    }
}

/// Sends requests until a target ran one, which it does not while all are suspended; returns the
/// responses to all of them.
pub fn send_until_one_runs(bed: &TestBed, path: &str, label: &str) -> Vec<Option<CallerResponse>> {
    let responses = RefCell::new(Vec::new());
    wait_until(Duration::from_secs(6), &format!("{label} ran"), || {
        let id = format!("{label}-{}", responses.borrow().len());
        let mut request = bed.stream(&id, path);
        // Else the requests would count as one that crashes its targets.
        request.body = id.clone().into_bytes();
        request.deadline = Duration::from_secs(2);
        let response = send(bed.node_configs[0].callers, &request);
        responses.borrow_mut().push(response);
        !bed.runs(&id).is_empty()
    });
    responses.into_inner()
}

#[test]
fn a_response_that_ends_inside_its_head_reaches_no_caller_as_a_success() {
    let bed = TestBed::start(1);
    for path in ["/lookup/7", "/issue/7", "/single/a", "/resumable/a"] {
        for length in (0..MAX_CUT_HEAD_BYTES).step_by(9) {
            let label = format!("cut{}-{length}", path.replace('/', "-"));
            let mode = TargetMode::CutsHead(length);
            bed.set_replicas(mode);
            bed.set_engines(mode);

            let responses = send_until_one_runs(&bed, path, &label);

            for response in responses {
                let status = response.as_ref().map_or(0, |response| response.status);
                assert!(status >= 500, "{label}: {response:?}");
            }
            bed.set_replicas(TargetMode::Healthy);
            bed.set_engines(TargetMode::Healthy);
            send_until_one_runs(&bed, path, &format!("{label}-healthy"));
        }
    }
}
