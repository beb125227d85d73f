//! Load generator: seeded arrivals, checked responses, samples and a summary of them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Method;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::time::{sleep, sleep_until, timeout};

use super::engine::{prompt_digest, response_token};
use crate::clock::TimeSource;
use crate::entry::chat::{ChatBody, ChatMessage};
use crate::entry::error::{IDEMPOTENCY_HEADER, TIMEOUT_HEADER};
use crate::entry::handlers::EntryList;
use crate::http_client::client::{ClientOptions, ClientRequest, HttpClient};
use crate::target::stream::ChunkReader;

/// How long after its deadline a request may get its final response.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(1);
const AUDIT_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: usize = 64 << 20;
const RETRY_DELAY: Duration = Duration::from_millis(300);
const DIRECT_CLASS: &str = "direct";

/// A class of requests, and the rate of its arrivals.
#[derive(Debug, Clone)]
pub struct LoadClass {
    /// Name in the samples and the summary.
    pub name: String,
    /// Tokens of each prompt; 0 for a non-idempotent service call.
    pub prompt_tokens: u64,
    /// Tokens of each response.
    pub output_tokens: u64,
    /// Mean arrivals per second.
    pub arrivals_per_s: f64,
    /// Deadline of each request, from when it is first sent.
    pub timeout: Duration,
}

/// A team that sends requests.
#[derive(Debug, Clone)]
pub struct LoadTeam {
    /// The team's bearer key.
    pub key: String,
    /// Share of the arrivals, relative to the other teams.
    pub share: f64,
}

/// What load to generate, and for how long.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// IP and port of the entry that the list of entries is first fetched from.
    pub entry: String,
    /// IP and port of a target that gets every second request directly, for comparison.
    pub direct_target: Option<String>,
    /// IPs and ports of the targets whose audits are read at the end.
    pub audited_targets: Vec<String>,
    /// Model that chat requests name.
    pub model: String,
    /// Service that non-idempotent calls name.
    pub service: String,
    /// Classes of requests.
    pub classes: Vec<LoadClass>,
    /// Teams that the arrivals are divided among.
    pub teams: Vec<LoadTeam>,
    /// How long requests arrive.
    pub duration: Duration,
    /// Seed of arrival times, teams and prompts.
    pub seed: u64,
}

/// Outcome of one request, as the caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObservedOutcome {
    /// The complete, expected response arrived.
    Finished,
    /// An error arrived, or the stream ended early.
    Failed,
    /// It did not run: an error reported so, or a chat request got no connection.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// No final response arrived in time.
    Late,
    /// The response ended with another text than expected.
    Wrong,
}

/// Measurements of one request.
#[derive(Debug, Clone, Serialize)]
pub struct LoadSample {
    /// Name of the class; requests sent directly to a target have a suffix.
    pub class: String,
    /// Index of the team in the plan.
    pub team: usize,
    /// Arrival time in seconds after the start.
    pub at_s: f64,
    /// Outcome of the last attempt, or late.
    pub outcome: ObservedOutcome,
    /// Milliseconds from the first send to the first token, or to the whole response of a
    /// service call, over all attempts.
    pub ttft_ms: Option<f64>,
    /// Milliseconds from the first send to the end.
    pub total_ms: f64,
    /// Prompt and response tokens if finished, else 0.
    pub tokens: u64,
    /// Kind of the error; empty without one.
    pub error: String,
    /// Idempotency key of a non-idempotent call.
    pub key: Option<String>,
}

/// Totals over all samples.
#[derive(Debug, Default, Serialize)]
pub struct LoadSummary {
    /// All requests but those in `not_run`.
    pub admitted: u64,
    /// Requests whose complete response arrived.
    pub finished: u64,
    /// Requests that ended in an error in time.
    pub failed: u64,
    /// Requests refused without running, or without a connection.
    pub not_run: u64,
    /// Requests whose result is not known.
    pub unknown: u64,
    /// Requests without a final response in time.
    pub late: u64,
    /// Requests whose response had another text than expected.
    pub wrong: u64,
    /// Non-idempotent requests that one target ran more than once, by the audits.
    pub executed_twice: u64,
    /// Requests refused as not run that a target did run, by the audits.
    pub untrue_not_run: u64,
    /// Requests that exceeded the limit or the memory of a target, by the audits.
    pub limit_exceeded: u64,
    /// Tokens of memory still held at the end, by the audits.
    pub held_tokens: u64,
    /// Time to first token by class.
    pub ttft_ms: BTreeMap<String, Percentiles>,
}

/// Percentiles in milliseconds.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Percentiles {
    /// Number of samples.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Percentiles {
    /// Computes percentiles by nearest rank; 0 without samples.
    pub fn of(mut samples: Vec<f64>) -> Self {
        samples.sort_by(f64::total_cmp);
        let percentile = |fraction: f64| {
            let index = (samples.len() as f64 * fraction).ceil() as usize;
            samples.get(index.max(1) - 1).copied().unwrap_or_default()
        };
        Self {
            count: samples.len(),
            p50: percentile(0.5),
            p95: percentile(0.95),
            p99: percentile(0.99),
        }
    }
}

/// Sends the requests of a plan and returns a sample of each.
pub async fn run(plan: LoadPlan) -> Vec<LoadSample> {
    let runner = Rc::new(LoadRunner::new(plan));
    runner.refresh_entries().await;
    let refresher = actix_rt::spawn(refresh_periodically(runner.clone()));
    let arrivals = arrivals(&runner.plan);
    let requests = arrivals.into_iter().enumerate().map(|(serial, arrival)| {
        let runner = runner.clone();
        actix_rt::spawn(async move {
            sleep_until((runner.start + arrival.at).into()).await;
            runner.send(serial as u64, arrival).await
        })
    });
    let results = join_all(requests).await;
    refresher.abort();
    // A task that panicked gives no sample.
    results.into_iter().flatten().flatten().collect()
}

async fn refresh_periodically(runner: Rc<LoadRunner>) {
    loop {
        let refresh_interval = runner.refresh_interval.borrow().max(Duration::from_secs(1));
        sleep(refresh_interval).await;
        runner.refresh_entries().await;
    }
}

#[derive(Debug, Clone)]
struct LoadArrival {
    at: Duration,
    class: usize,
    team: usize,
    seed: u64,
}

/// Draws Poisson arrivals of all classes, in order of time.
fn arrivals(plan: &LoadPlan) -> Vec<LoadArrival> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut all = Vec::new();
    for (class, load) in plan.classes.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            at -= draw.ln() / load.arrivals_per_s;
            if load.arrivals_per_s <= 0.0 || at >= plan.duration.as_secs_f64() {
                break;
            }
            let team_draw: f64 = rng.random_range(0.0..1.0);
            all.push(LoadArrival {
                at: Duration::from_secs_f64(at),
                class,
                team: pick_team(&plan.teams, team_draw),
                seed: rng.random(),
            });
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn pick_team(teams: &[LoadTeam], team_draw: f64) -> usize {
    let total: f64 = teams.iter().map(|team| team.share).sum();
    let mut remaining = team_draw * total;
    for (index, team) in teams.iter().enumerate() {
        remaining -= team.share;
        if remaining <= 0.0 {
            return index;
        }
    }
    teams.len().saturating_sub(1)
}

struct LoadRunner {
    plan: LoadPlan,
    start: Instant,
    http: HttpClient,
    entries: RefCell<Vec<String>>,
    refresh_interval: RefCell<Duration>,
}

/// Result of one attempt to send a request.
struct AttemptResult {
    outcome: ObservedOutcome,
    ttft: Option<Duration>,
    error: String,
    retry: bool,
}

impl AttemptResult {
    fn error(outcome: ObservedOutcome, error: impl Into<String>, retry: bool) -> Self {
        Self {
            outcome,
            ttft: None,
            error: error.into(),
            retry,
        }
    }
}

impl LoadRunner {
    fn new(plan: LoadPlan) -> Self {
        Self {
            entries: RefCell::new(vec![plan.entry.clone()]),
            refresh_interval: RefCell::new(Duration::from_secs(5)),
            plan,
            start: Instant::now(),
            http: HttpClient::new(ClientOptions::default(), TimeSource::system()),
        }
    }

    async fn refresh_entries(&self) {
        let known = self.entries.borrow().clone();
        for entry in known.iter().chain([&self.plan.entry]) {
            let url = format!("http://{entry}/v1/entries");
            let request = ClientRequest::new(Method::GET, url);
            let fetched = self.http.fetch(request, ENTRIES_TIMEOUT, MAX_BODY_BYTES);
            let Ok((_, body)) = fetched.await else {
                continue;
            };
            if let Ok(list) = serde_json::from_slice::<EntryList>(&body) {
                *self.refresh_interval.borrow_mut() = Duration::from_secs(list.keep_seconds);
                *self.entries.borrow_mut() = list.entries;
                return;
            }
        }
    }

    async fn send(&self, serial: u64, arrival: LoadArrival) -> Option<LoadSample> {
        let class = &self.plan.classes[arrival.class];
        let started = Instant::now();
        let direct = self
            .plan
            .direct_target
            .as_ref()
            .filter(|_| serial.is_multiple_of(2));
        let time_limit = class.timeout + RESPONSE_GRACE;
        let result_in_time = timeout(
            time_limit,
            self.send_until_final(serial, &arrival, direct, started),
        )
        .await;
        let result = result_in_time.unwrap_or_else(|_| {
            AttemptResult::error(ObservedOutcome::Late, "no final response", false)
        });
        let finished = result.outcome == ObservedOutcome::Finished;
        Some(LoadSample {
            class: match direct {
                Some(_) => format!("{}-{DIRECT_CLASS}", class.name),
                None => class.name.clone(),
            },
            team: arrival.team,
            at_s: arrival.at.as_secs_f64(),
            outcome: result.outcome,
            ttft_ms: result.ttft.map(|ttft| ttft.as_secs_f64() * 1000.0),
            total_ms: started.elapsed().as_secs_f64() * 1000.0,
            tokens: if finished {
                class.prompt_tokens + class.output_tokens
            } else {
                0
            },
            error: result.error,
            key: (class.prompt_tokens == 0).then(|| idempotency_key(arrival.seed)),
        })
    }

    /// Sends to `direct`, or to the entries in turn, until the result is final or the time left
    /// is too short to retry; a non-idempotent call keeps its key.
    async fn send_until_final(
        &self,
        serial: u64,
        arrival: &LoadArrival,
        direct: Option<&String>,
        started: Instant,
    ) -> AttemptResult {
        let class = &self.plan.classes[arrival.class];
        let mut entry_index = serial as usize;
        loop {
            let entries = self.entries.borrow().clone();
            let address = match direct {
                Some(target) => target.clone(),
                None => entries[entry_index % entries.len()].clone(),
            };
            entry_index += 1;
            let result = if class.prompt_tokens == 0 {
                self.call_service(&address, class, arrival, started).await
            } else {
                self.chat(&address, class, arrival, started).await
            };
            let time_left = class.timeout.saturating_sub(started.elapsed());
            if !result.retry || time_left < RETRY_DELAY {
                return result;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn call_service(
        &self,
        address: &str,
        class: &LoadClass,
        arrival: &LoadArrival,
        started: Instant,
    ) -> AttemptResult {
        let url = format!(
            "http://{address}/v1/services/{}/certificates",
            self.plan.service
        );
        let key = &self.plan.teams[arrival.team].key;
        let time_left = class.timeout.saturating_sub(started.elapsed());
        let request = ClientRequest::new(Method::POST, url)
            .header("authorization", &format!("Bearer {key}"))
            .header(IDEMPOTENCY_HEADER, &idempotency_key(arrival.seed))
            .header(TIMEOUT_HEADER, &time_left.as_millis().max(1).to_string())
            .body(format!("{{\"item\":{}}}", arrival.seed));
        let time_limit = time_left + RESPONSE_GRACE;
        let (status, body) = match self.http.fetch(request, time_limit, MAX_BODY_BYTES).await {
            Ok(fetched) => fetched,
            Err(error) => {
                return AttemptResult::error(ObservedOutcome::Unknown, error.to_string(), true);
            }
        };
        if status.is_success() {
            return AttemptResult {
                outcome: ObservedOutcome::Finished,
                ttft: Some(started.elapsed()),
                error: String::new(),
                retry: false,
            };
        }
        error_result(&body)
    }

    async fn chat(
        &self,
        address: &str,
        class: &LoadClass,
        arrival: &LoadArrival,
        started: Instant,
    ) -> AttemptResult {
        let body = chat_body(&self.plan.model, class, arrival.seed);
        let digest = prompt_digest(&body);
        let url = format!("http://{address}/v1/chat/completions");
        let time_left = class.timeout.saturating_sub(started.elapsed());
        let key = &self.plan.teams[arrival.team].key;
        let request = ClientRequest::new(Method::POST, url)
            .header("authorization", &format!("Bearer {key}"))
            .header(TIMEOUT_HEADER, &time_left.as_millis().max(1).to_string())
            .json(&body);
        let mut response = match self.http.send(request).await {
            Ok(response) => response,
            Err(error) if error.is_not_sent() => {
                return AttemptResult::error(ObservedOutcome::NotRun, error.to_string(), true);
            }
            Err(error) => {
                return AttemptResult::error(ObservedOutcome::Failed, error.to_string(), false);
            }
        };
        if !response.status().is_success() {
            let body = response.read_body(MAX_BODY_BYTES).await.unwrap_or_default();
            return AttemptResult {
                retry: false,
                ..error_result(&body)
            };
        }
        let mut reader = ChunkReader::default();
        let mut text = String::new();
        let mut ttft = None;
        loop {
            let bytes = match response.next_chunk().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => {
                    let error = "stream ended early";
                    return AttemptResult::error(ObservedOutcome::Failed, error, false);
                }
                Err(error) => {
                    let error = error.to_string();
                    return AttemptResult::error(ObservedOutcome::Failed, error, false);
                }
            };
            let Ok(chunks) = reader.feed(&bytes) else {
                return error_result(bytes.strip_prefix(b"data: ").unwrap_or(&bytes));
            };
            for chunk in chunks {
                ttft.get_or_insert_with(|| started.elapsed());
                text.push_str(&chunk.content);
                if chunk.last {
                    let is_expected = text == expected_text(digest, class.output_tokens);
                    return AttemptResult {
                        outcome: if is_expected {
                            ObservedOutcome::Finished
                        } else {
                            ObservedOutcome::Wrong
                        },
                        ttft,
                        error: String::new(),
                        retry: false,
                    };
                }
            }
        }
    }
}

fn idempotency_key(seed: u64) -> String {
    format!("key-{seed:x}")
}

/// The result that an error body describes; it may be retried if the body has a retry time.
fn error_result(body: &[u8]) -> AttemptResult {
    let parsed: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &parsed["error"];
    let outcome = match error["outcome"].as_str() {
        Some("not_run") => ObservedOutcome::NotRun,
        Some("unknown") => ObservedOutcome::Unknown,
        _ => ObservedOutcome::Failed,
    };
    let kind = error["kind"].as_str().unwrap_or("no_kind");
    AttemptResult::error(outcome, kind, error["retry_after_ms"].is_u64())
}

fn chat_body(model: &str, class: &LoadClass, seed: u64) -> ChatBody {
    let mut content = format!("request {seed:016x} ");
    let length = (class.prompt_tokens.saturating_sub(4) * 4) as usize;
    while content.len() < length {
        content.push_str("stitch row label ");
    }
    content.truncate(length);
    ChatBody {
        model: model.to_owned(),
        messages: vec![ChatMessage {
            role: "user".to_owned(),
            content,
        }],
        max_tokens: Some(class.output_tokens),
        stream: true,
        continue_final_message: false,
        rest: serde_json::Map::new(),
    }
}

fn expected_text(digest: u64, output_tokens: u64) -> String {
    (1..=output_tokens)
        .map(|position| response_token(digest, position))
        .collect()
}

/// Counts outcomes of samples, and adds the targets' audits.
pub async fn summarise(plan: &LoadPlan, samples: &[LoadSample]) -> LoadSummary {
    let count = |outcome: ObservedOutcome| {
        samples
            .iter()
            .filter(|sample| sample.outcome == outcome)
            .count() as u64
    };
    let mut summary = LoadSummary {
        finished: count(ObservedOutcome::Finished),
        failed: count(ObservedOutcome::Failed),
        not_run: count(ObservedOutcome::NotRun),
        unknown: count(ObservedOutcome::Unknown),
        late: count(ObservedOutcome::Late),
        wrong: count(ObservedOutcome::Wrong),
        ttft_ms: ttft_percentiles(samples),
        ..LoadSummary::default()
    };
    summary.admitted = samples.len() as u64 - summary.not_run;
    let http = HttpClient::new(ClientOptions::default(), TimeSource::system());
    for target in &plan.audited_targets {
        let url = format!("http://{target}/v1/fake/audit");
        let request = ClientRequest::new(Method::GET, url);
        let fetched = http.fetch(request, AUDIT_TIMEOUT, MAX_BODY_BYTES).await;
        let Ok((_, body)) = fetched else {
            continue;
        };
        let audit: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let number = |name: &str| audit[name].as_u64().unwrap_or(0);
        summary.executed_twice += number("executed_twice");
        let was_executed = |key: &str| audit["executed"][key].as_u64().unwrap_or(0) > 0;
        let executed_refusals = samples.iter().filter(|sample| {
            let is_refused = sample.outcome == ObservedOutcome::NotRun;
            is_refused && sample.key.as_deref().is_some_and(was_executed)
        });
        summary.untrue_not_run += executed_refusals.count() as u64;
        summary.limit_exceeded += number("limit_exceeded") + number("memory_exceeded");
        summary.held_tokens += number("held_tokens");
    }
    summary
}

fn ttft_percentiles(samples: &[LoadSample]) -> BTreeMap<String, Percentiles> {
    let mut by_class: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for sample in samples {
        if let Some(ttft) = sample.ttft_ms {
            by_class.entry(sample.class.clone()).or_default().push(ttft);
        }
    }
    by_class
        .into_iter()
        .map(|(class, samples)| (class, Percentiles::of(samples)))
        .collect()
}
