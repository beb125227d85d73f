//! Parts of prompts on which engines crash.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::support::bed::TestBed;
use crate::support::caller::{CallerRequest, CallerResponse, send};

const STABLE_TIME: Duration = Duration::from_secs(3);
const CRASHES_UNTIL_BOUND: usize = 5;
const MAX_LATER_REQUESTS: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(75);

fn request_with_parts(bed: &TestBed, id: &str, parts: &str) -> CallerRequest {
    let mut request = bed.stream(id, "/resumable/a");
    let header = "x-plantainnotch-prefix-hash".to_owned();
    request.extra_headers.push((header, parts.to_owned()));
    request
}

fn send_in_background(
    bed: &TestBed,
    node: usize,
    request: CallerRequest,
) -> JoinHandle<Option<CallerResponse>> {
    let callers = bed.node_configs[node].callers;
    thread::spawn(move || send(callers, &request))
}

/// Sends requests of both kinds in turn to all nodes, and returns the responses to the sound ones
/// that were sent after `sound_from`.
fn send_crashing_and_sound(
    bed: &TestBed,
    pairs: usize,
    sound_from: Duration,
) -> Vec<Option<CallerResponse>> {
    let started_at = Instant::now();
    let mut sound = Vec::new();
    let mut others = Vec::new();
    for index in 0..pairs {
        let parts = format!("5a:40,dead:100,c{index:x}:860");
        let crashing = request_with_parts(bed, &format!("crash-{index}"), &parts);
        others.push(send_in_background(bed, index % 3, crashing));
        thread::sleep(REQUEST_INTERVAL);
        let parts = format!("5a:40,b{index:x}:960");
        let request = request_with_parts(bed, &format!("sound-{index}"), &parts);
        let sent = send_in_background(bed, (index + 1) % 3, request);
        if started_at.elapsed() >= sound_from {
            sound.push(sent);
        } else {
            others.push(sent);
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    for sent in others {
        sent.join().expect("the caller's thread ends");
    }
    let responses = sound.into_iter().map(JoinHandle::join);
    responses
        .map(|response| response.expect("the caller's thread ends"))
        .collect()
}

#[test]
fn requests_with_a_part_that_crashes_engines_stop_reaching_them() {
    let bed = TestBed::start(3);
    bed.engines
        .iter()
        .for_each(|engine| engine.crash_on("dead"));

    let sound = send_crashing_and_sound(&bed, 60, STABLE_TIME * 2);

    let ledger = bed.ledger();
    let mut crashes: Vec<Instant> = ledger
        .runs
        .iter()
        .filter(|run| run.id.starts_with("crash-"))
        .map(|run| run.started_at)
        .collect();
    crashes.sort();
    let bound = crashes.get(CRASHES_UNTIL_BOUND - 1);
    let later = crashes
        .iter()
        .filter(|at| bound.is_some_and(|fifth| **at > *fifth + STABLE_TIME))
        .count();
    assert!(later <= MAX_LATER_REQUESTS, "{later} of {}", crashes.len());
    let served = sound
        .iter()
        .flatten()
        .filter(|response| response.status == 200 && response.complete)
        .count();
    assert_eq!(served, sound.len(), "sound requests that share a part");
}
