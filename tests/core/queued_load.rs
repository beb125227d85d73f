//! Load of short prompts on a dispatcher whose engines keep to their predictions.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use plantainnotch::ids::{DomainName, TargetName, TeamName, VmName};
use plantainnotch::policy::dispatch::{
    DispatchAnswer, EngineDispatcher, EngineTarget, JobId, PlacementRequest, QueueRules,
    RequestRank,
};
use plantainnotch::policy::engine_model::{decode_time, example_spec, pass_time, prefill_time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ENGINES: usize = 4;
/// Short enough that slots are scarce, and not the engines' time.
const PROMPT_TOKENS: u64 = 1_000;
const OUTPUT_TOKENS: u64 = 400;
const OBJECTIVE: Duration = Duration::from_millis(300);
const GIVE_UP_AFTER: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(40);
/// Time until the shares are measured, which is not counted.
const WARM_UP: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(5);

/// Callers of one account and rank.
#[derive(Debug, Clone)]
pub struct LoadSource {
    pub account: TeamName,
    pub rank: Option<RequestRank>,
    /// Its part of the demand, relative to the other sources.
    pub weight: f64,
}

/// Requests of each source, in the order of the sources.
#[derive(Debug, Default)]
pub struct LoadReport {
    requests: Vec<usize>,
    placed: Vec<usize>,
    on_time: Vec<usize>,
}

impl LoadReport {
    pub fn on_time_share(&self, sources: Range<usize>) -> f64 {
        let requests: usize = self.requests[sources.clone()].iter().sum();
        self.on_time[sources].iter().sum::<usize>() as f64 / requests as f64
    }

    pub fn placed_share(&self, sources: Range<usize>) -> f64 {
        let requests: usize = self.requests[sources.clone()].iter().sum();
        self.placed(sources) as f64 / requests as f64
    }

    pub fn placed(&self, sources: Range<usize>) -> usize {
        self.placed[sources].iter().sum()
    }
}

/// Arrivals at random times, each with the index of its source.
pub struct QueuedLoad<'a> {
    sources: &'a [LoadSource],
    arrivals: Vec<(Duration, usize)>,
}

impl<'a> QueuedLoad<'a> {
    /// A load of `overload` times what the slots of the engines can take.
    pub fn new(sources: &'a [LoadSource], overload: f64, seed: u64) -> Self {
        let spec = example_spec();
        // On a full engine a prompt waits for half a pass, is prefilled in the next one, and generates.
        let context = spec.slots as u64 * (PROMPT_TOKENS + OUTPUT_TOKENS);
        let first_event = pass_time(&spec, spec.slots, context).mul_f64(1.5)
            + prefill_time(&spec, PROMPT_TOKENS, 1);
        let hold = first_event + decode_time(&spec, PROMPT_TOKENS, OUTPUT_TOKENS);
        let rate = overload * (ENGINES * spec.slots) as f64 / hold.as_secs_f64();
        let total: f64 = sources.iter().map(|source| source.weight).sum();
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut arrivals, mut at) = (Vec::new(), 0.0);
        while at < LENGTH.as_secs_f64() {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            let mut drawn = rng.random::<f64>() * total;
            let index = sources.iter().position(|source| {
                drawn -= source.weight;
                drawn < 0.0
            });
            arrivals.push((Duration::from_secs_f64(at), index.unwrap_or(0)));
        }
        Self { sources, arrivals }
    }

    /// Plays the load under `rules`; a placed prompt has its first event and ends as predicted.
    pub fn run(&self, rules: QueueRules) -> LoadReport {
        let start = Instant::now();
        let mut dispatcher = idle_dispatcher(rules);
        let zeros = vec![0; self.sources.len()];
        let mut report = LoadReport {
            requests: zeros.clone(),
            placed: zeros.clone(),
            on_time: zeros,
        };
        let decode = decode_time(&example_spec(), PROMPT_TOKENS, OUTPUT_TOKENS);
        let mut due: BTreeMap<(Duration, u64), bool> = BTreeMap::new();
        let (mut elapsed, mut next) = (Duration::ZERO, 0);
        while elapsed < LENGTH {
            elapsed += TICK;
            let now = start + elapsed;
            while let Some(entry) = due.first_entry() {
                let (at, job) = *entry.key();
                if at > elapsed {
                    break;
                }
                if entry.remove() {
                    dispatcher.end_job(JobId(job));
                } else {
                    dispatcher.record_first_event(JobId(job), start + at);
                }
            }
            while let Some((at, source)) = self.arrivals.get(next).filter(|(at, _)| *at <= elapsed)
            {
                let source = &self.sources[*source];
                let request = short_prompt(next as u64, &source.account);
                dispatcher.enqueue_ranked(request, source.rank, start + *at);
                next += 1;
            }
            for decision in dispatcher.decide(now) {
                let (arrived_at, source) = self.arrivals[decision.job.0 as usize];
                let is_counted = usize::from(arrived_at > WARM_UP);
                report.requests[source] += is_counted;
                let DispatchAnswer::Placed(placement) = decision.answer else {
                    continue;
                };
                let first_event_at = elapsed + placement.predicted_first_event;
                let is_on_time = first_event_at <= arrived_at + OBJECTIVE;
                report.placed[source] += is_counted;
                report.on_time[source] += is_counted * usize::from(is_on_time);
                due.insert((first_event_at, decision.job.0), false);
                due.insert((first_event_at + decode, decision.job.0), true);
            }
        }
        report
    }
}

pub fn idle_dispatcher(rules: QueueRules) -> EngineDispatcher {
    let spec = example_spec();
    let mut dispatcher = EngineDispatcher::new(spec.clone(), 0.0);
    let targets: Vec<EngineTarget> = (0..ENGINES).map(engine_target).collect();
    dispatcher.set_engines(&spec, 0.0, &targets);
    dispatcher.set_queue_rules(rules);
    dispatcher
}

pub fn engine_target(index: usize) -> EngineTarget {
    EngineTarget {
        name: TargetName::new(format!("engine-{index}")),
        domain: DomainName::new("domain-0"),
        cold_until: None,
        requests_per_s: None,
    }
}

pub fn short_prompt(job: u64, account: &TeamName) -> PlacementRequest {
    PlacementRequest {
        job: JobId(job),
        vm: VmName::new("vm-1"),
        domain: DomainName::new("domain-0"),
        service: "llm".to_owned(),
        team: Some(account.clone()),
        prompt_tokens: PROMPT_TOKENS,
        max_output_tokens: OUTPUT_TOKENS,
        objective: OBJECTIVE,
        max_event_gap: Duration::from_millis(250),
        give_up_after: GIVE_UP_AFTER,
        excluded_targets: Vec::new(),
    }
}
