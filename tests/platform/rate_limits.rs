//! Targets that name a rate limit in their responses.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::support::bed::{TestBed, wait_until};
use crate::support::caller::{CallerRequest, CallerResponse, send};

const LOG_TIMEOUT: Duration = Duration::from_secs(3);
const STABLE_TIME: Duration = Duration::from_secs(3);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
const LOAD_INTERVAL: Duration = Duration::from_millis(30);
const OBJECTIVE: Duration = Duration::from_millis(300); // of the routes in the test bed's configuration

fn metric(bed: &TestBed, node: usize, name: &str) -> Option<f64> {
    let request = CallerRequest::new("", "GET", "/metrics");
    let response = send(bed.node_configs[node].metrics, &request)?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[test]
fn the_limits_that_targets_name_are_logged_and_counted() {
    let bed = TestBed::start(1);
    let limited = [&bed.engines[0], &bed.replicas[0]];
    let send_to_all = |label: &str| {
        for request in 0..6 {
            bed.lookup(0, &format!("{label}-{request}"));
            let stream = bed.stream(&format!("{label}-s-{request}"), "/single/a");
            send(bed.node_configs[0].callers, &stream);
        }
    };
    let is_logged = |name: &str, change: &str| {
        let log = bed.nodes[0].log();
        log.lines().any(|line| {
            line.contains("rate limit of a target changed")
                && line.contains(name)
                && line.contains(change)
        })
    };

    limited
        .iter()
        .for_each(|target| target.name_limit(Some(40.5)));
    send_to_all("named");

    for target in limited {
        wait_until(LOG_TIMEOUT, "the limit is logged", || {
            is_logged(&target.id, "\"requests_per_s\":40.5")
        });
    }
    assert_eq!(metric(&bed, 0, "notch_node_limited_targets"), Some(2.0));

    limited.iter().for_each(|target| target.name_limit(None));
    send_to_all("unnamed");

    wait_until(LOG_TIMEOUT, "the limits' end is counted", || {
        metric(&bed, 0, "notch_node_limited_targets") == Some(0.0)
    });
}

/// A request sent in the background, and what came of it.
struct TimedResponse {
    sent_at: Instant,
    elapsed: Duration,
    response: Option<CallerResponse>,
}

impl TimedResponse {
    fn status(&self) -> Option<u16> {
        let response = self.response.as_ref()?;
        response.complete.then_some(response.status)
    }
}

/// Sends streams and look-ups to these nodes in turn, one of each every 30 ms, for `length`.
fn send_load(nodes: &[SocketAddr], name: &str, length: Duration) -> Vec<TimedResponse> {
    let started_at = Instant::now();
    let mut sent = Vec::new();
    for (index, callers) in nodes.iter().cycle().enumerate() {
        if started_at.elapsed() >= length {
            break;
        }
        let mut stream = CallerRequest::new(&format!("{name}-s-{index}"), "POST", "/resumable/a");
        stream.tokens = Some("1000,400".to_owned());
        let lookup = CallerRequest::new(&format!("{name}-l-{index}"), "GET", "/lookup/7");
        for request in [stream, lookup] {
            sent.push(send_in_background(*callers, request));
        }
        thread::sleep(LOAD_INTERVAL);
    }
    let join = |request: JoinHandle<TimedResponse>| request.join().expect("the thread ends");
    sent.into_iter().map(join).collect()
}

fn send_in_background(node: SocketAddr, request: CallerRequest) -> JoinHandle<TimedResponse> {
    thread::spawn(move || {
        let sent_at = Instant::now();
        let response = send(node, &request);
        TimedResponse {
            sent_at,
            elapsed: sent_at.elapsed(),
            response,
        }
    })
}

fn caller_addresses(bed: &TestBed) -> Vec<SocketAddr> {
    bed.node_configs.iter().map(|node| node.callers).collect()
}

/// When each request since `since` arrived at a target, sorted.
fn arrivals(bed: &TestBed, target: &str, since: Instant) -> Vec<Instant> {
    let ledger = bed.ledger();
    let runs = ledger.runs.iter().filter(|run| run.target == target);
    let refusals = ledger.refusals.iter().filter(|(name, ..)| name == target);
    let mut times: Vec<Instant> = runs
        .map(|run| run.started_at)
        .chain(refusals.map(|(.., at)| *at))
        .filter(|at| *at >= since)
        .collect();
    times.sort();
    times
}

/// Most of `arrivals` in a window of the rule that begins `STABLE_TIME` after the first or later.
fn most_in_a_window(arrivals: &[Instant]) -> usize {
    let Some(first) = arrivals.first() else {
        return 0;
    };
    let bound = arrivals.iter().filter(|at| **at >= *first + STABLE_TIME);
    bound
        .map(|from| {
            let in_window = |at: &&Instant| (*from..*from + LIMIT_WINDOW).contains(*at);
            arrivals.iter().filter(in_window).count()
        })
        .max()
        .unwrap_or(0)
}

fn assert_within_limit(bed: &TestBed, target: &str, rate: f64, since: Instant) {
    let most = most_in_a_window(&arrivals(bed, target, since));
    let allowed = LIMIT_FACTOR * rate * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
    assert!(
        most as f64 <= allowed,
        "{target} named {rate} requests a second and got {most} in {LIMIT_WINDOW:?}, {allowed} are allowed"
    );
}

#[test]
fn targets_get_no_more_requests_than_the_limits_that_they_name() {
    const RATE: f64 = 2.0;
    let bed = TestBed::start(3);
    let since = Instant::now();
    bed.engines[0].name_limit(Some(RATE));
    bed.replicas[0].name_limit(Some(RATE));

    let sent = send_load(&caller_addresses(&bed), "some", Duration::from_secs(9));

    for target in ["engine-0", "replica-0"] {
        assert_within_limit(&bed, target, RATE, since);
        assert!(
            !arrivals(&bed, target, since).is_empty(),
            "{target} got none"
        );
    }
    let unserved = sent.iter().filter(|sent| sent.status() != Some(200));
    assert_eq!(unserved.count(), 0, "of {}", sent.len());
}

#[test]
fn what_exceeds_the_limits_of_all_targets_is_refused_at_once() {
    const RATE: f64 = 2.0;
    let bed = TestBed::start(3);
    let since = Instant::now();
    let targets = bed.engines.iter().chain(&bed.replicas);
    targets.for_each(|target| target.name_limit(Some(RATE)));

    let sent = send_load(&caller_addresses(&bed), "all", Duration::from_secs(9));

    for target in bed.engines.iter().chain(&bed.replicas) {
        assert_within_limit(&bed, &target.id, RATE, since);
    }
    let due = sent
        .iter()
        .filter(|sent| sent.sent_at > since + STABLE_TIME);
    let (served, refused): (Vec<_>, Vec<_>) = due.partition(|sent| sent.status() == Some(200));
    let allowed = RATE * 6.0 * 6.0; // of six targets in the last six seconds
    let served_share = served.len() as f64 / allowed;
    assert!(served_share >= 0.75, "{} of {allowed}", served.len());
    for sent in refused {
        assert_eq!(sent.status(), Some(503));
        assert!(sent.elapsed < OBJECTIVE, "refused after {:?}", sent.elapsed);
        let response = sent.response.as_ref();
        let retry_after = response.and_then(|response| response.header("retry-after"));
        assert!(retry_after.is_some());
    }
}

#[test]
fn callers_are_served_again_once_the_limits_of_all_targets_end() {
    const RATE: f64 = 2.0;
    let bed = TestBed::start(3);
    let targets = || bed.engines.iter().chain(&bed.replicas);
    targets().for_each(|target| target.name_limit(Some(RATE)));
    send_load(&caller_addresses(&bed), "limited", Duration::from_secs(4));

    targets().for_each(|target| target.name_limit(None));
    let ended_at = Instant::now();
    let sent = send_load(&caller_addresses(&bed), "after", Duration::from_secs(6));

    let due = sent
        .iter()
        .filter(|sent| sent.sent_at > ended_at + STABLE_TIME);
    let unserved = due.filter(|sent| sent.status() != Some(200));
    assert_eq!(unserved.count(), 0, "of {}", sent.len());
}

#[test]
fn targets_get_no_more_requests_than_their_limits_while_owners_of_placement_are_killed() {
    const RATE: f64 = 2.0;
    let mut bed = TestBed::start(3);
    let since = Instant::now();
    let targets = bed.engines.iter().chain(&bed.replicas);
    targets.for_each(|target| target.name_limit(Some(RATE)));

    let callers = caller_addresses(&bed);
    let load = thread::spawn(move || send_load(&callers, "killed", Duration::from_secs(12)));
    for node in &mut bed.nodes {
        thread::sleep(Duration::from_secs(3));
        node.restart();
    }
    load.join().expect("the load ends");

    for target in bed.engines.iter().chain(&bed.replicas) {
        assert_within_limit(&bed, &target.id, RATE, since);
    }
}
