//! Invariants that the soak test checks on requests, runs, memory and recovery.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

use crate::support::bed::TestBed;
use crate::support::caller::{CallerRequest, CallerResponse, send};
use crate::support::target::RunRecord;

const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
const STREAM_EVENTS: u64 = 8; // `event_count` of a fake target
const RECOVERY_LIMIT: Duration = Duration::from_secs(6);
const DEADLINE_RANGE_MS: std::ops::Range<u64> = 800..4_000;

/// Kinds of requests, each with a route of its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestKind {
    Lookup,
    Issue,
    Single,
    Resumable,
    Archive,
}

/// A sent request with the response to it, if one arrived.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub kind: RequestKind,
    pub caller_request: CallerRequest,
    /// The node that it was sent to.
    pub node: SocketAddr,
    pub response: Option<CallerResponse>,
}

impl SentRequest {
    pub fn draw(rng: &mut StdRng, id: &str) -> Self {
        let kinds = [
            RequestKind::Lookup,
            RequestKind::Issue,
            RequestKind::Single,
            RequestKind::Resumable,
            RequestKind::Archive,
        ];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let (method, path) = match kind {
            RequestKind::Lookup => ("GET", "/lookup/x"),
            RequestKind::Issue => ("POST", "/issue/x"),
            RequestKind::Single => ("POST", "/single/x"),
            RequestKind::Resumable => ("POST", "/resumable/x"),
            RequestKind::Archive => ("POST", "/archive/x"),
        };
        let mut request = CallerRequest::new(id, method, path);
        request.deadline = Duration::from_millis(rng.random_range(DEADLINE_RANGE_MS));
        if method == "POST" {
            request.body = format!("body of {id}").into_bytes();
        }
        request.tokens = match kind {
            RequestKind::Single | RequestKind::Resumable => Some("3000,300".to_owned()),
            RequestKind::Archive => Some(format!("{},400", rng.random_range(60_000..320_000))),
            RequestKind::Lookup | RequestKind::Issue => None,
        };
        Self {
            kind,
            caller_request: request,
            node: SocketAddr::from(([0, 0, 0, 0], 0)),
            response: None,
        }
    }

    fn runs_at_most_once(&self) -> bool {
        matches!(self.kind, RequestKind::Issue | RequestKind::Single)
    }

    fn is_stream(&self) -> bool {
        !matches!(self.kind, RequestKind::Lookup | RequestKind::Issue)
    }

    pub fn is_served(&self) -> bool {
        self.response
            .as_ref()
            .is_some_and(|response| response.status == 200 && response.complete)
    }
}

/// Checks all invariants and describes each violation in a line.
pub fn check_invariants(bed: &TestBed, sent: &[SentRequest]) -> Vec<String> {
    let mut runs: BTreeMap<String, Vec<RunRecord>> = BTreeMap::new();
    for run in &bed.ledger().runs {
        runs.entry(run.id.clone()).or_default().push(run.clone());
    }
    let mut violations = Vec::new();
    for request in sent {
        let no_runs = Vec::new();
        let runs = runs.get(&request.caller_request.id).unwrap_or(&no_runs);
        violations.extend(check_request(request, runs));
    }
    violations.extend(check_runs(sent, &runs));
    violations.extend(check_memory(bed));
    violations.extend(check_recovery(bed));
    violations
}

fn check_request(request: &SentRequest, runs: &[RunRecord]) -> Vec<String> {
    let id = &request.caller_request.id;
    let mut violations = Vec::new();
    if request.runs_at_most_once() && runs.len() > 1 {
        violations.push(format!("{id} ran {} times", runs.len()));
    }
    let targets: BTreeSet<&str> = runs.iter().map(|run| run.target.as_str()).collect();
    if targets.len() > 2 {
        violations.push(format!("{id} ran at {targets:?}, two are allowed"));
    }
    let Some(response) = &request.response else {
        return violations;
    };
    let refused = NOT_RUN_STATUSES.contains(&response.status);
    if refused && request.runs_at_most_once() && !runs.is_empty() {
        violations.push(format!("{id} was refused with {} and ran", response.status));
    }
    if (200..300).contains(&response.status) {
        violations.extend(check_success(request, response, runs));
    } else if response.header("x-plantainnotch-replica-seal").is_some() && response.status != 500 {
        violations.push(format!(
            "{id}: status {} with a target's seal",
            response.status
        ));
    }
    violations
}

fn check_success(
    request: &SentRequest,
    response: &CallerResponse,
    runs: &[RunRecord],
) -> Vec<String> {
    let id = &request.caller_request.id;
    let mut violations = Vec::new();
    let seal = response
        .header("x-plantainnotch-replica-seal")
        .unwrap_or_default();
    let seal_matches = runs
        .iter()
        .any(|run| seal == format!("seal-{}-{id}", run.target));
    if !seal_matches {
        violations.push(format!(
            "{id}: success with seal {seal:?} of no target that ran it"
        ));
    }
    if request.is_stream() {
        let ids = response.event_ids();
        let expected: Vec<u64> = (1..=ids.len() as u64).collect();
        if ids != expected {
            violations.push(format!("{id}: events {ids:?}"));
        }
        if response.complete && ids.len() as u64 != STREAM_EVENTS {
            violations.push(format!("{id}: complete with events {ids:?}"));
        }
        let has_foreign_event = String::from_utf8_lossy(&response.body)
            .lines()
            .any(|line| line.starts_with("data:") && !line.starts_with(&format!("data: {id} ")));
        if has_foreign_event {
            violations.push(format!("{id}: another request's events"));
        }
    } else if response.complete {
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let body_matches = runs
            .iter()
            .any(|run| text == format!("answer to {id} from {}", run.target));
        if !body_matches {
            violations.push(format!("{id}: body {text:?}"));
        }
    }
    violations
}

/// Targets run only requests that were sent, unchanged, for the team of the caller's key.
fn check_runs(sent: &[SentRequest], runs: &BTreeMap<String, Vec<RunRecord>>) -> Vec<String> {
    let sent: BTreeMap<&str, &SentRequest> = sent
        .iter()
        .map(|request| (request.caller_request.id.as_str(), request))
        .collect();
    let mut violations = Vec::new();
    for run in runs.values().flatten() {
        let other_callers = ["warm-", "crash-", "kept-"];
        if other_callers
            .iter()
            .any(|prefix| run.id.starts_with(prefix))
        {
            continue;
        }
        let Some(request) = sent.get(run.id.as_str()) else {
            violations.push(format!("{} ran and was never sent", run.id));
            continue;
        };
        let service = if request.is_stream() {
            "engines"
        } else {
            "records"
        };
        let is_unchanged =
            run.body == request.caller_request.body && run.path == request.caller_request.path;
        let is_permitted = run.service == service && run.team.as_deref() == Some("team-a");
        let in_time = run
            .deadline_ms
            .is_some_and(|left| u128::from(left) <= request.caller_request.deadline.as_millis());
        if !is_unchanged || !is_permitted || run.key_seen || !in_time {
            violations.push(format!("{} ran as {run:?}", run.id));
        }
    }
    violations
}

fn check_memory(bed: &TestBed) -> Vec<String> {
    let now = Instant::now();
    bed.ledger()
        .reservations
        .values()
        .filter(|reservation| reservation.expires_at > now)
        .map(|reservation| format!("memory is still reserved: {reservation:?}"))
        .collect()
}

/// Every node serves requests again once all faults have ended.
fn check_recovery(bed: &TestBed) -> Vec<String> {
    let started_at = Instant::now();
    let mut violations = Vec::new();
    for (index, config) in bed.node_configs.iter().enumerate() {
        for kind in ["/lookup/x", "/single/x"] {
            let mut request = CallerRequest::new("", "POST", kind);
            request.tokens = Some("1000,100".to_owned());
            let mut attempt = 0;
            let mut is_served_now = || {
                attempt += 1;
                request.id = format!("warm-end-{index}-{attempt}");
                send(config.callers, &request).is_some_and(|response| response.status == 200)
            };
            while !is_served_now() {
                if started_at.elapsed() > RECOVERY_LIMIT {
                    violations.push(format!("{} does not serve {kind} again", config.name));
                    break;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }
    violations
}
