//! Requests that crash the targets that run them, and come again.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::lost_paths::owner_of_placement;
use crate::support::bed::TestBed;
use crate::support::caller::{CallerRequest, CallerResponse, send};

const STABLE_TIME: Duration = Duration::from_secs(3);
const CRASHES_UNTIL_BOUND: usize = 3;
const MAX_LATER_SENDS: usize = 3;
const LOAD_INTERVAL: Duration = Duration::from_millis(50);
const LOAD_TIME: Duration = Duration::from_secs(20);
/// Sends of the crashing request: one for each so many sound ones.
const SOUND_PER_CRASHING: usize = 8;
const MIN_SOUND_REQUESTS: usize = 40;
/// Shorter than the time after which an attempt of a look-up is given up.
const SOON: Duration = Duration::from_millis(40);
/// Longer than that time.
const AFTER_GIVING_UP: Duration = Duration::from_millis(260);

fn request(id: &str, method: &'static str, path: &str) -> CallerRequest {
    let mut request = CallerRequest::new(id, method, path);
    if method == "POST" {
        request.body = path.as_bytes().to_vec();
        request.tokens = Some("1000,400".to_owned());
    }
    request
}

fn send_in_background(
    bed: &TestBed,
    node: usize,
    request: CallerRequest,
) -> JoinHandle<Option<CallerResponse>> {
    let callers = bed.node_configs[node % bed.nodes.len()].callers;
    thread::spawn(move || send(callers, &request))
}

/// A sound request and its response.
struct SoundRequest {
    id: String,
    sent_at: Instant,
    response: Option<CallerResponse>,
}

/// Lets targets crash on the requests for `prefix` + `deadly`, sends that request again and again
/// beside sound ones of the same route, and checks that it stops reaching targets while the others
/// are served. `during` is called with the time since the start, between two requests.
fn check_crashing_request(
    method: &'static str,
    prefix: &str,
    crash_delay: Duration,
    mut during: impl FnMut(&mut TestBed, Duration),
) {
    let mut bed = TestBed::start(3);
    let deadly = format!("{prefix}deadly");
    for target in bed.engines.iter().chain(&bed.replicas) {
        target.crash_on_path(&deadly, crash_delay);
    }
    let started_at = Instant::now();
    let (mut crashing, mut sound) = (Vec::new(), Vec::new());
    for index in 0.. {
        if started_at.elapsed() >= LOAD_TIME {
            break;
        }
        during(&mut bed, started_at.elapsed());
        if index % SOUND_PER_CRASHING == 0 {
            let request = request(&format!("crash-{index}"), method, &deadly);
            crashing.push(send_in_background(
                &bed,
                index / SOUND_PER_CRASHING,
                request,
            ));
        }
        let id = format!("sound-{index}");
        let sent_at = Instant::now();
        let request = request(&id, method, &format!("{prefix}{index}"));
        sound.push((id, sent_at, send_in_background(&bed, index, request)));
        thread::sleep(LOAD_INTERVAL);
    }
    let join = |sent: JoinHandle<Option<CallerResponse>>| sent.join().expect("the thread ends");
    crashing.into_iter().for_each(|sent| drop(join(sent)));
    let sound: Vec<SoundRequest> = sound
        .into_iter()
        .map(|(id, sent_at, sent)| SoundRequest {
            id,
            sent_at,
            response: join(sent),
        })
        .collect();

    let runs = bed.ledger().runs.clone();
    let mut crashes: Vec<Instant> = runs
        .iter()
        .filter(|run| run.path == deadly)
        .map(|run| run.started_at)
        .collect();
    crashes.sort();
    let third = *crashes
        .get(CRASHES_UNTIL_BOUND - 1)
        .expect("the request crashes three targets");
    let bound_at = third + crash_delay + STABLE_TIME;
    let later = crashes.iter().filter(|at| **at > bound_at).count();
    assert!(
        later <= MAX_LATER_SENDS,
        "{later} of {} came later",
        crashes.len()
    );
    let due: Vec<&SoundRequest> = sound
        .iter()
        .filter(|request| request.sent_at > bound_at + STABLE_TIME)
        .collect();
    assert!(due.len() >= MIN_SOUND_REQUESTS, "{}", due.len());
    let unserved = due.iter().filter(|request| {
        let response = request.response.as_ref();
        !response.is_some_and(|response| response.status == 200 && response.complete)
    });
    let unserved: Vec<&str> = unserved.map(|request| request.id.as_str()).collect();
    assert!(unserved.is_empty(), "{unserved:?} of {}", due.len());
}

#[test]
fn a_look_up_that_crashes_targets_stops_reaching_them() {
    check_crashing_request("GET", "/lookup/", SOON, |_, _| {});
}

#[test]
fn a_look_up_that_crashes_targets_after_it_was_given_up_stops_reaching_them() {
    check_crashing_request("GET", "/lookup/", AFTER_GIVING_UP, |_, _| {});
}

#[test]
fn a_non_idempotent_request_that_crashes_targets_stops_reaching_them() {
    check_crashing_request("POST", "/issue/", SOON, |_, _| {});
}

#[test]
fn a_stream_that_crashes_engines_stops_reaching_them() {
    check_crashing_request("POST", "/resumable/", SOON, |_, _| {});
}

#[test]
fn a_request_that_crashes_targets_stops_reaching_them_while_owners_of_placement_are_killed() {
    let mut killed = 0;
    check_crashing_request("GET", "/lookup/", SOON, |bed, elapsed| {
        // One VM after the other, each once, in the seconds in which targets crash.
        if killed < bed.nodes.len() && elapsed > Duration::from_secs(2 * (killed as u64 + 1)) {
            bed.nodes[killed].restart();
            killed += 1;
        }
    });
}

#[test]
fn a_request_that_crashes_targets_stops_reaching_them_while_the_owner_of_placement_stops() {
    let mut stopped = None;
    let mut restarted = false;
    check_crashing_request("POST", "/resumable/", SOON, |bed, elapsed| {
        let Some(owner) = stopped else {
            if elapsed > Duration::from_secs(1) {
                let owner = owner_of_placement(bed);
                bed.nodes[owner].signal("TERM");
                stopped = Some(owner);
            }
            return;
        };
        if !restarted && bed.nodes[owner].has_ended() {
            bed.nodes[owner].restart();
            restarted = true;
        }
    });
    assert!(restarted, "the owner did not stop");
}
