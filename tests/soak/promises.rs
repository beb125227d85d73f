//! The promises that the soak checks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

use crate::support::bed::TestBed;
use crate::support::caller::{CallerAnswer, CallerSend, send};
use crate::support::target::RunRecord;

const PROMISED_NOT_RUN: [u16; 4] = [408, 421, 429, 503];
const WHOLE_STREAM: u64 = 8;
const BACK_WITHIN: Duration = Duration::from_secs(6);
const DEADLINES_MS: std::ops::Range<u64> = 800..4_000;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SoakKind {
    Lookup,
    Issue,
    Single,
    Resumable,
    Archive,
}

/// A request and what came of it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub kind: SoakKind,
    pub send: CallerSend,
    pub answer: Option<CallerAnswer>,
}

impl SentRequest {
    pub fn draw(rng: &mut StdRng, id: &str) -> Self {
        let kinds = [
            SoakKind::Lookup,
            SoakKind::Issue,
            SoakKind::Single,
            SoakKind::Resumable,
            SoakKind::Archive,
        ];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let (method, path) = match kind {
            SoakKind::Lookup => ("GET", "/lookup/x"),
            SoakKind::Issue => ("POST", "/issue/x"),
            SoakKind::Single => ("POST", "/single/x"),
            SoakKind::Resumable => ("POST", "/resumable/x"),
            SoakKind::Archive => ("POST", "/archive/x"),
        };
        let mut request = CallerSend::new(id, method, path);
        request.deadline = Duration::from_millis(rng.random_range(DEADLINES_MS));
        if method == "POST" {
            request.body = format!("body of {id}").into_bytes();
        }
        request.tokens = match kind {
            SoakKind::Single | SoakKind::Resumable => Some("3000,300".to_owned()),
            SoakKind::Archive => Some(format!("{},400", rng.random_range(60_000..320_000))),
            SoakKind::Lookup | SoakKind::Issue => None,
        };
        Self {
            kind,
            send: request,
            answer: None,
        }
    }

    fn may_run_once_only(&self) -> bool {
        matches!(self.kind, SoakKind::Issue | SoakKind::Single)
    }

    fn is_stream(&self) -> bool {
        !matches!(self.kind, SoakKind::Lookup | SoakKind::Issue)
    }

    pub fn is_served(&self) -> bool {
        self.answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200 && answer.complete)
    }
}

/// All broken promises, a line each.
pub fn check_all(bed: &TestBed, sent: &[SentRequest]) -> Vec<String> {
    let mut runs: BTreeMap<String, Vec<RunRecord>> = BTreeMap::new();
    for run in &bed.ledger().runs {
        runs.entry(run.id.clone()).or_default().push(run.clone());
    }
    let mut broken = Vec::new();
    for request in sent {
        let none = Vec::new();
        let runs = runs.get(&request.send.id).unwrap_or(&none);
        broken.extend(check_request(request, runs));
    }
    broken.extend(check_runs(sent, &runs));
    broken.extend(check_memory(bed));
    broken.extend(check_recovery(bed));
    broken
}

fn check_request(request: &SentRequest, runs: &[RunRecord]) -> Vec<String> {
    let id = &request.send.id;
    let mut broken = Vec::new();
    if request.may_run_once_only() && runs.len() > 1 {
        broken.push(format!("{id} ran {} times", runs.len()));
    }
    let targets: BTreeSet<&str> = runs.iter().map(|run| run.target.as_str()).collect();
    if targets.len() > 2 {
        broken.push(format!("{id} ran at {targets:?}, two are allowed"));
    }
    let Some(answer) = &request.answer else {
        return broken;
    };
    let refused = PROMISED_NOT_RUN.contains(&answer.status);
    if refused && request.may_run_once_only() && !runs.is_empty() {
        broken.push(format!("{id} was refused with {} and ran", answer.status));
    }
    if (200..300).contains(&answer.status) {
        broken.extend(check_success(request, answer, runs));
    } else if answer.header("x-plantainnotch-replica-seal").is_some() && answer.status != 500 {
        broken.push(format!(
            "{id}: status {} with a target's mark",
            answer.status
        ));
    }
    broken
}

fn check_success(request: &SentRequest, answer: &CallerAnswer, runs: &[RunRecord]) -> Vec<String> {
    let id = &request.send.id;
    let mut broken = Vec::new();
    let seal = answer
        .header("x-plantainnotch-replica-seal")
        .unwrap_or_default();
    let sealed = runs
        .iter()
        .any(|run| seal == format!("seal-{}-{id}", run.target));
    if !sealed {
        broken.push(format!(
            "{id}: success with mark {seal:?} of no target that ran it"
        ));
    }
    if request.is_stream() {
        let ids = answer.event_ids();
        let expected: Vec<u64> = (1..=ids.len() as u64).collect();
        if ids != expected {
            broken.push(format!("{id}: events {ids:?}"));
        }
        if answer.complete && ids.len() as u64 != WHOLE_STREAM {
            broken.push(format!("{id}: complete with events {ids:?}"));
        }
        let foreign = String::from_utf8_lossy(&answer.body)
            .lines()
            .any(|line| line.starts_with("data:") && !line.starts_with(&format!("data: {id} ")));
        if foreign {
            broken.push(format!("{id}: another request's events"));
        }
    } else if answer.complete {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let whole = runs
            .iter()
            .any(|run| text == format!("answer to {id} from {}", run.target));
        if !whole {
            broken.push(format!("{id}: body {text:?}"));
        }
    }
    broken
}

/// Targets run only what was sent, as it was sent, for the team that holds the key.
fn check_runs(sent: &[SentRequest], runs: &BTreeMap<String, Vec<RunRecord>>) -> Vec<String> {
    let sent: BTreeMap<&str, &SentRequest> = sent
        .iter()
        .map(|request| (request.send.id.as_str(), request))
        .collect();
    let mut broken = Vec::new();
    for run in runs.values().flatten() {
        if run.id.starts_with("warm-") {
            continue;
        }
        let Some(request) = sent.get(run.id.as_str()) else {
            broken.push(format!("{} ran and was never sent", run.id));
            continue;
        };
        let service = if request.is_stream() {
            "engines"
        } else {
            "records"
        };
        let same = run.body == request.send.body && run.path == request.send.path;
        let allowed = run.service == service && run.team.as_deref() == Some("team-a");
        let in_time = run
            .deadline_ms
            .is_some_and(|left| u128::from(left) <= request.send.deadline.as_millis());
        if !same || !allowed || run.key_seen || !in_time {
            broken.push(format!("{} ran as {run:?}", run.id));
        }
    }
    broken
}

fn check_memory(bed: &TestBed) -> Vec<String> {
    let now = Instant::now();
    bed.ledger()
        .tickets
        .values()
        .filter(|ticket| ticket.until > now)
        .map(|ticket| format!("memory is still set aside: {ticket:?}"))
        .collect()
}

/// Once all faults are over, every node serves again.
fn check_recovery(bed: &TestBed) -> Vec<String> {
    let begun = Instant::now();
    let mut broken = Vec::new();
    for (index, place) in bed.places.iter().enumerate() {
        for kind in ["/lookup/x", "/single/x"] {
            let mut request = CallerSend::new(&format!("warm-end-{index}"), "POST", kind);
            request.tokens = Some("1000,100".to_owned());
            let served =
                || send(place.callers, &request).is_some_and(|answer| answer.status == 200);
            while !served() {
                if begun.elapsed() > BACK_WITHIN {
                    broken.push(format!("{} does not serve {kind} again", place.name));
                    break;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }
    broken
}
