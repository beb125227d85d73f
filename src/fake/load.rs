//! Load generator: seeded arrivals, checked answers, a table and a JSON summary.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::time::{sleep, sleep_until, timeout};

use super::engine::{prompt_digest, response_token};
use crate::entry::chat::{ChatBody, ChatMessage};
use crate::entry::error::{IDEMPOTENCY_HEADER, TIMEOUT_HEADER};
use crate::entry::handlers::EntryList;
use crate::target::stream::ChunkReader;

/// After its deadline a request must have its final answer within this time.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
const BODY_LIMIT: usize = 64 << 20;
const PAUSE_BEFORE_REPEAT: Duration = Duration::from_millis(300);
const DIRECT_CLASS: &str = "direct";

/// Arrivals of one class of requests.
#[derive(Debug, Clone)]
pub struct LoadClass {
    /// Name in the table.
    pub name: String,
    /// Tokens of each prompt; 0 for a non-idempotent service call.
    pub prompt: u64,
    /// Tokens of each answer.
    pub output: u64,
    /// Arrivals a second.
    pub per_s: f64,
    /// Time given to each request.
    pub timeout: Duration,
}

/// A team of callers.
#[derive(Debug, Clone)]
pub struct LoadTeam {
    /// Bearer key.
    pub key: String,
    /// Share of the arrivals.
    pub share: f64,
}

/// What to load, and for how long.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// An entry to ask for the list of entries.
    pub entry: String,
    /// A target that gets the same requests directly, to compare with.
    pub direct: Option<String>,
    /// Targets whose audits are read at the end.
    pub audits: Vec<String>,
    /// Model of chat requests.
    pub model: String,
    /// Service of non-idempotent calls.
    pub service: String,
    /// Classes.
    pub classes: Vec<LoadClass>,
    /// Teams.
    pub teams: Vec<LoadTeam>,
    /// How long arrivals go on.
    pub duration: Duration,
    /// Seed of arrivals.
    pub seed: u64,
}

/// What came of one request, as the caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SeenOutcome {
    /// The whole of its own answer came.
    Finished,
    /// A failure came.
    Failed,
    /// A refusal came that says that nothing ran.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// No final answer came in time.
    Late,
    /// An answer came that is not the request's own, or not whole.
    Wrong,
}

/// One request's measurement.
#[derive(Debug, Clone, Serialize)]
pub struct LoadSample {
    /// Class.
    pub class: String,
    /// Index of the team.
    pub team: usize,
    /// Seconds after the start at which it was sent.
    pub at_s: f64,
    /// Outcome.
    pub outcome: SeenOutcome,
    /// Milliseconds to the first token.
    pub ttft_ms: Option<f64>,
    /// Milliseconds to the end.
    pub total_ms: f64,
    /// Prompt and answer tokens, when finished.
    pub tokens: u64,
    /// Kind of the error, if any.
    pub error: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
}

/// The last line of the output.
#[derive(Debug, Default, Serialize)]
pub struct LoadSummary {
    /// Requests that were not refused.
    pub admitted: u64,
    /// Requests whose whole answer came.
    pub finished: u64,
    /// Requests that failed in time.
    pub failed: u64,
    /// Requests refused.
    pub not_run: u64,
    /// Requests whose result is not known.
    pub unknown: u64,
    /// Requests without a final answer in time.
    pub late: u64,
    /// Requests with a wrong answer.
    pub wrong: u64,
    /// Non-idempotent requests that a target ran twice, as the targets counted.
    pub executed_twice: u64,
    /// Requests refused as not run that a target ran, as the targets counted.
    pub untrue_not_run: u64,
    /// Limits exceeded, as the targets counted.
    pub limit_exceeded: u64,
    /// Tokens of memory still held at the end, as the targets counted.
    pub held_tokens: u64,
    /// Time to first token by class.
    pub ttft_ms: BTreeMap<String, Percentiles>,
}

/// Percentiles in milliseconds.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Percentiles {
    /// Samples.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Percentiles {
    /// Percentiles of unsorted samples.
    pub fn of(mut samples: Vec<f64>) -> Self {
        samples.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let place = (samples.len() as f64 * share).ceil() as usize;
            samples.get(place.max(1) - 1).copied().unwrap_or_default()
        };
        Self {
            count: samples.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Runs a plan and returns its samples.
pub async fn run(plan: LoadPlan) -> Vec<LoadSample> {
    let runner = Rc::new(LoadRunner::new(plan));
    runner.refresh_entries().await;
    let refresher = actix_rt::spawn(keep_entries(runner.clone()));
    let arrivals = arrivals(&runner.plan);
    let sent = arrivals.into_iter().enumerate().map(|(serial, arrival)| {
        let runner = runner.clone();
        actix_rt::spawn(async move {
            sleep_until((runner.start + arrival.at).into()).await;
            runner.send(serial as u64, arrival).await
        })
    });
    let results = join_all(sent).await;
    refresher.abort();
    results.into_iter().flatten().flatten().collect()
}

async fn keep_entries(runner: Rc<LoadRunner>) {
    loop {
        let keep = runner.keep.borrow().max(Duration::from_secs(1));
        sleep(keep).await;
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

/// Poisson arrivals of all classes, in order of time.
fn arrivals(plan: &LoadPlan) -> Vec<LoadArrival> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut all = Vec::new();
    for (class, load) in plan.classes.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            at -= draw.ln() / load.per_s;
            if load.per_s <= 0.0 || at >= plan.duration.as_secs_f64() {
                break;
            }
            let pick: f64 = rng.random_range(0.0..1.0);
            all.push(LoadArrival {
                at: Duration::from_secs_f64(at),
                class,
                team: pick_team(&plan.teams, pick),
                seed: rng.random(),
            });
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn pick_team(teams: &[LoadTeam], pick: f64) -> usize {
    let total: f64 = teams.iter().map(|team| team.share).sum();
    let mut left = pick * total;
    for (place, team) in teams.iter().enumerate() {
        left -= team.share;
        if left <= 0.0 {
            return place;
        }
    }
    teams.len().saturating_sub(1)
}

struct LoadRunner {
    plan: LoadPlan,
    start: Instant,
    http: awc::Client,
    entries: RefCell<Vec<String>>,
    keep: RefCell<Duration>,
}

/// What one try at an entry gave.
struct TryResult {
    outcome: SeenOutcome,
    ttft: Option<Duration>,
    error: String,
    retry: bool,
}

impl TryResult {
    fn error(outcome: SeenOutcome, error: impl Into<String>, retry: bool) -> Self {
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
        let connector = awc::Connector::new()
            .timeout(Duration::from_secs(1))
            .limit(0);
        Self {
            entries: RefCell::new(vec![plan.entry.clone()]),
            keep: RefCell::new(Duration::from_secs(5)),
            plan,
            start: Instant::now(),
            http: awc::Client::builder()
                .connector(connector)
                .disable_timeout()
                .finish(),
        }
    }

    async fn refresh_entries(&self) {
        let known = self.entries.borrow().clone();
        for entry in known.iter().chain([&self.plan.entry]) {
            let url = format!("http://{entry}/v1/entries");
            let asked = self
                .http
                .get(url)
                .timeout(Duration::from_secs(1))
                .send()
                .await;
            let Ok(mut answer) = asked else { continue };
            if let Ok(list) = answer.json::<EntryList>().await {
                *self.keep.borrow_mut() = Duration::from_secs(list.keep_seconds);
                *self.entries.borrow_mut() = list.entries;
                return;
            }
        }
    }

    async fn send(&self, serial: u64, arrival: LoadArrival) -> Option<LoadSample> {
        let class = &self.plan.classes[arrival.class];
        let begun = Instant::now();
        let direct = self
            .plan
            .direct
            .as_ref()
            .filter(|_| serial.is_multiple_of(2));
        let within = class.timeout + ANSWER_GRACE;
        let tried = timeout(
            within,
            self.send_until_known(serial, &arrival, direct, begun),
        )
        .await;
        let result =
            tried.unwrap_or_else(|_| TryResult::error(SeenOutcome::Late, "no final answer", false));
        let finished = result.outcome == SeenOutcome::Finished;
        Some(LoadSample {
            class: match direct {
                Some(_) => format!("{}-{DIRECT_CLASS}", class.name),
                None => class.name.clone(),
            },
            team: arrival.team,
            at_s: arrival.at.as_secs_f64(),
            outcome: result.outcome,
            ttft_ms: result.ttft.map(|ttft| ttft.as_secs_f64() * 1000.0),
            total_ms: begun.elapsed().as_secs_f64() * 1000.0,
            tokens: if finished {
                class.prompt + class.output
            } else {
                0
            },
            error: result.error,
            key: (class.prompt == 0).then(|| idempotency_key(arrival.seed)),
        })
    }

    /// Tries entries in turn while the connection is refused; a non-idempotent call is
    /// repeated with its key until its result is known.
    async fn send_until_known(
        &self,
        serial: u64,
        arrival: &LoadArrival,
        direct: Option<&String>,
        begun: Instant,
    ) -> TryResult {
        let class = &self.plan.classes[arrival.class];
        let mut place = serial as usize;
        loop {
            let entries = self.entries.borrow().clone();
            let address = match direct {
                Some(target) => target.clone(),
                None => entries[place % entries.len()].clone(),
            };
            place += 1;
            let result = if class.prompt == 0 {
                self.call_service(&address, class, arrival, begun).await
            } else {
                self.chat(&address, class, arrival, begun).await
            };
            let time_left = class.timeout.saturating_sub(begun.elapsed());
            if !result.retry || time_left < PAUSE_BEFORE_REPEAT {
                return result;
            }
            sleep(PAUSE_BEFORE_REPEAT).await;
        }
    }

    async fn call_service(
        &self,
        address: &str,
        class: &LoadClass,
        arrival: &LoadArrival,
        begun: Instant,
    ) -> TryResult {
        let url = format!(
            "http://{address}/v1/services/{}/certificates",
            self.plan.service
        );
        let key = &self.plan.teams[arrival.team].key;
        let time_left = class.timeout.saturating_sub(begun.elapsed());
        let sending = self
            .http
            .post(url)
            .bearer_auth(key)
            .insert_header((IDEMPOTENCY_HEADER, idempotency_key(arrival.seed)))
            .insert_header((TIMEOUT_HEADER, time_left.as_millis().max(1).to_string()))
            .send_body(format!("{{\"item\":{}}}", arrival.seed));
        let mut answer = match sending.await {
            Ok(answer) => answer,
            Err(error) => return TryResult::error(SeenOutcome::Unknown, error.to_string(), true),
        };
        let body = answer.body().await.unwrap_or_default();
        if answer.status().is_success() {
            return TryResult {
                outcome: SeenOutcome::Finished,
                ttft: Some(begun.elapsed()),
                error: String::new(),
                retry: false,
            };
        }
        refused(&body)
    }

    async fn chat(
        &self,
        address: &str,
        class: &LoadClass,
        arrival: &LoadArrival,
        begun: Instant,
    ) -> TryResult {
        let body = chat_body(&self.plan.model, class, arrival.seed);
        let digest = prompt_digest(&body);
        let json = serde_json::to_vec(&body).expect("a chat body holds only plain data");
        let url = format!("http://{address}/v1/chat/completions");
        let time_left = class.timeout.saturating_sub(begun.elapsed());
        let sending = self
            .http
            .post(url)
            .bearer_auth(&self.plan.teams[arrival.team].key)
            .insert_header((TIMEOUT_HEADER, time_left.as_millis().max(1).to_string()))
            .content_type("application/json")
            .send_body(json);
        let mut answer = match sending.await {
            Ok(answer) => answer,
            Err(awc::error::SendRequestError::Connect(error)) => {
                return TryResult::error(SeenOutcome::NotRun, error.to_string(), true);
            }
            Err(error) => return TryResult::error(SeenOutcome::Failed, error.to_string(), false),
        };
        if !answer.status().is_success() {
            let body = answer.body().limit(BODY_LIMIT).await.unwrap_or_default();
            return TryResult {
                retry: false,
                ..refused(&body)
            };
        }
        let mut reader = ChunkReader::default();
        let mut text = String::new();
        let mut ttft = None;
        while let Some(part) = answer.next().await {
            let Ok(bytes) = part else {
                return TryResult::error(SeenOutcome::Failed, "connection broke", false);
            };
            let Ok(chunks) = reader.feed(&bytes) else {
                return refused(bytes.strip_prefix(b"data: ").unwrap_or(&bytes));
            };
            for chunk in chunks {
                ttft.get_or_insert_with(|| begun.elapsed());
                text.push_str(&chunk.content);
                if chunk.last {
                    let right = text == expected_answer(digest, class.output);
                    return TryResult {
                        outcome: if right {
                            SeenOutcome::Finished
                        } else {
                            SeenOutcome::Wrong
                        },
                        ttft,
                        error: String::new(),
                        retry: false,
                    };
                }
            }
        }
        TryResult::error(SeenOutcome::Failed, "stream ended early", false)
    }
}

fn idempotency_key(seed: u64) -> String {
    format!("key-{seed:x}")
}

/// Reads an error body; a refusal or an unknown result may be repeated.
fn refused(body: &[u8]) -> TryResult {
    let parsed: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &parsed["error"];
    let outcome = match error["outcome"].as_str() {
        Some("not_run") => SeenOutcome::NotRun,
        Some("unknown") => SeenOutcome::Unknown,
        _ => SeenOutcome::Failed,
    };
    let kind = error["kind"].as_str().unwrap_or("no_kind");
    TryResult::error(outcome, kind, error["retry_after_ms"].is_u64())
}

fn chat_body(model: &str, class: &LoadClass, seed: u64) -> ChatBody {
    let mut content = format!("request {seed:016x} ");
    let length = (class.prompt.saturating_sub(4) * 4) as usize;
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
        max_tokens: Some(class.output),
        stream: true,
        continue_final_message: false,
        rest: serde_json::Map::new(),
    }
}

fn expected_answer(digest: u64, output: u64) -> String {
    (1..=output)
        .map(|place| response_token(digest, place))
        .collect()
}

/// Sums samples up, with what the targets counted by themselves.
pub async fn summarise(plan: &LoadPlan, samples: &[LoadSample]) -> LoadSummary {
    let count = |outcome: SeenOutcome| {
        samples
            .iter()
            .filter(|sample| sample.outcome == outcome)
            .count() as u64
    };
    let mut summary = LoadSummary {
        finished: count(SeenOutcome::Finished),
        failed: count(SeenOutcome::Failed),
        not_run: count(SeenOutcome::NotRun),
        unknown: count(SeenOutcome::Unknown),
        late: count(SeenOutcome::Late),
        wrong: count(SeenOutcome::Wrong),
        ttft_ms: first_tokens(samples),
        ..LoadSummary::default()
    };
    summary.admitted = samples.len() as u64 - summary.not_run;
    let http = awc::Client::default();
    for target in &plan.audits {
        let url = format!("http://{target}/v1/fake/audit");
        let Ok(mut answer) = http.get(url).send().await else {
            continue;
        };
        let audit: serde_json::Value = answer.json().limit(BODY_LIMIT).await.unwrap_or_default();
        let number = |name: &str| audit[name].as_u64().unwrap_or(0);
        summary.executed_twice += number("executed_twice");
        let ran = |key: &str| audit["executed"][key].as_u64().unwrap_or(0) > 0;
        let untrue = samples.iter().filter(|sample| {
            let refused = sample.outcome == SeenOutcome::NotRun;
            refused && sample.key.as_deref().is_some_and(ran)
        });
        summary.untrue_not_run += untrue.count() as u64;
        summary.limit_exceeded += number("limit_exceeded") + number("memory_exceeded");
        summary.held_tokens += number("held_tokens");
    }
    summary
}

fn first_tokens(samples: &[LoadSample]) -> BTreeMap<String, Percentiles> {
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
