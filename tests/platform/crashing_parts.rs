//! Parts of prompts on which engines crash.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::support::bed::TestBed;
use crate::support::caller::{CallerRequest, CallerResponse, send};

const STABLE_TIME: Duration = Duration::from_secs(3);
const CRASHES_UNTIL_BOUND: usize = 5;
const MAX_LATER_REQUESTS: usize = 3;
const MIN_SOUND_REQUESTS: usize = 20;
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

/// A sound request, when it was sent, and its response.
struct SoundRequest {
    sent_at: Instant,
    response: Option<CallerResponse>,
}

/// Sends requests of both kinds in turn to all nodes.
fn send_crashing_and_sound(bed: &TestBed, pairs: usize) -> Vec<SoundRequest> {
    let mut sound = Vec::new();
    let mut crashing = Vec::new();
    for index in 0..pairs {
        let parts = format!("5a:40,dead:100,c{index:x}:860");
        let request = request_with_parts(bed, &format!("crash-{index}"), &parts);
        crashing.push(send_in_background(bed, index % 3, request));
        thread::sleep(REQUEST_INTERVAL);
        let parts = format!("5a:40,b{index:x}:960");
        let request = request_with_parts(bed, &format!("sound-{index}"), &parts);
        let sent_at = Instant::now();
        sound.push((sent_at, send_in_background(bed, (index + 1) % 3, request)));
        thread::sleep(REQUEST_INTERVAL);
    }
    for sent in crashing {
        sent.join().expect("the caller's thread ends");
    }
    sound
        .into_iter()
        .map(|(sent_at, sent)| SoundRequest {
            sent_at,
            response: sent.join().expect("the caller's thread ends"),
        })
        .collect()
}

#[test]
fn requests_with_a_part_that_crashes_engines_stop_reaching_them() {
    let bed = TestBed::start(3);
    bed.engines
        .iter()
        .for_each(|engine| engine.crash_on("dead"));

    let sound = send_crashing_and_sound(&bed, 100);

    let ledger = bed.ledger();
    let crashing = ledger
        .runs
        .iter()
        .filter(|run| run.id.starts_with("crash-"));
    let mut crashes: Vec<Instant> = crashing.map(|run| run.started_at).collect();
    crashes.sort();
    let fifth = crashes.get(CRASHES_UNTIL_BOUND - 1).or(crashes.last());
    let fifth = *fifth.expect("the part crashes engines");
    let later = crashes
        .iter()
        .filter(|at| **at > fifth + STABLE_TIME)
        .count();
    assert!(later <= MAX_LATER_REQUESTS, "{later} of {}", crashes.len());
    let due = sound
        .iter()
        .filter(|request| request.sent_at > fifth + STABLE_TIME * 2);
    let statuses: Vec<Option<u16>> = due
        .map(|request| {
            let response = request.response.as_ref();
            response
                .filter(|response| response.complete)
                .map(|response| response.status)
        })
        .collect();
    assert!(statuses.len() >= MIN_SOUND_REQUESTS, "{}", statuses.len());
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
}
