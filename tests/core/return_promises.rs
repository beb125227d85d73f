//! Returns of prompts refused for overload: what callers of a load get, and the book of promises.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use plantainnotch::ids::{RequestDigest, TeamName};
use plantainnotch::node::messages::{
    NodeCall, NodeReply, RankedAnswer, ReturningAnswer, ReturningPlacementRequest,
};
use plantainnotch::policy::dispatch::{
    DispatchAnswer, JobId, QueueRules, RefusalReason, ShareState,
};
use plantainnotch::policy::engine_model::{decode_time, example_spec};
use plantainnotch::policy::return_promises::{
    CallerPrompt, MAX_PROMISES, RETURN_WINDOW, RefusedPrompt, ReturnClass, ReturnPromises,
    ReturnState,
};
use plantainnotch::wire::codec::encode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::queued_load::{idle_dispatcher, short_prompt};

const ENGINES: f64 = 4.0;
const OVERLOAD: f64 = 1.3;
const QUIET: f64 = 0.7;
const SEEDS: std::ops::RangeInclusive<u64> = 101..=120;
/// Long enough to be refused at once while the engines are busy.
const PROMPT_TOKENS: u64 = 60_000;
const OUTPUT_TOKENS: u64 = 400;
const OBJECTIVE: Duration = Duration::from_millis(1_500);
const CALLER_TIME: Duration = Duration::from_secs(20);
const LENGTH: Duration = Duration::from_secs(120);
/// Heavy phases last for about ten seconds.
const PHASE: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(5);
const SHARES: QueueRules = QueueRules {
    ranks: false,
    shares: true,
};

/// When a caller returns.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    AsTold,
    /// After half the time that it is told.
    Early,
    /// Three times as often as it is told.
    Often,
}

impl Behaviour {
    fn wait(self, told: Duration, time_left: Duration) -> Duration {
        let share = match self {
            Self::AsTold => 1.0,
            Self::Early => 0.5,
            Self::Often => 1.0 / 3.0,
        };
        told.mul_f64(share).min(time_left / 3)
    }
}

/// Attempts and callers, and how many of them were on time.
#[derive(Debug, Default)]
struct ReturnReport {
    placed: usize,
    first_attempts: [usize; 2],
    returns_as_told: [usize; 2],
    /// Callers that return as told, and those of the other behaviour.
    callers: [[usize; 2]; 2],
}

fn share(counts: [usize; 2]) -> f64 {
    counts[1] as f64 / counts[0] as f64
}

fn digest(caller: usize) -> RequestDigest {
    RequestDigest::of("POST", "/prompts", None, &[], &caller.to_le_bytes())
}

/// A load, and whether the rule is in force.
#[derive(Debug, Clone, Copy)]
struct ReturnLoad {
    /// Arrivals a second at 100 % of the engines' capacity.
    capacity: f64,
    /// Demand in the busy and the quiet phases, as a multiple of the capacity.
    demand: [f64; 2],
    /// Of every second caller; the others return as told.
    behaviour: Behaviour,
    has_promises: bool,
}

/// Plays a load; a placed prompt has its first event and ends as predicted.
fn play(load: ReturnLoad, report: &mut ReturnReport, seed: u64) {
    let (start, spec) = (Instant::now(), example_spec());
    let ReturnLoad {
        behaviour,
        has_promises,
        ..
    } = load;
    let mut dispatcher = idle_dispatcher(SHARES);
    let decode = decode_time(&spec, PROMPT_TOKENS, OUTPUT_TOKENS);
    let mut rng = StdRng::seed_from_u64(seed);
    // Attempts by time, with their caller and number.
    let mut due = BinaryHeap::new();
    let (mut arrived_at, mut at) = (Vec::new(), 0.0);
    while at < LENGTH.as_secs_f64() {
        let phase = (at / PHASE.as_secs_f64()) as usize % 2;
        let rate = load.capacity * load.demand[phase];
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let arrival = Duration::from_secs_f64(at);
        due.push(Reverse((arrival, arrived_at.len(), 0)));
        arrived_at.push(arrival);
    }
    let mut attempts: Vec<(usize, usize, Duration)> = Vec::new();
    let mut ends = BinaryHeap::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < LENGTH + CALLER_TIME {
        elapsed += TICK;
        while let Some(Reverse((at, job, is_end))) = ends.peek().copied()
            && at <= elapsed
        {
            ends.pop();
            if is_end {
                dispatcher.end_job(JobId(job));
            } else {
                dispatcher.record_first_event(JobId(job), start + at);
            }
        }
        let mut refused = Vec::new();
        while let Some(Reverse((at, caller, number))) = due.peek().copied()
            && at <= elapsed
        {
            due.pop();
            let job = attempts.len();
            attempts.push((caller, number, at));
            let time_left = (arrived_at[caller] + CALLER_TIME).saturating_sub(at);
            let mut request = short_prompt(
                job as u64,
                &TeamName::new(format!("account-{}", caller % 3)),
            );
            request.prompt_tokens = PROMPT_TOKENS;
            request.max_output_tokens = OUTPUT_TOKENS;
            request.objective = objective_left(time_left);
            request.give_up_after = time_left.min(OBJECTIVE * 4);
            let prompt = CallerPrompt {
                digest: digest(caller),
                caller_time_left: time_left,
            };
            if !has_promises {
                dispatcher.enqueue_ranked(request, None, start + at);
            } else if let Err(told) =
                dispatcher.enqueue_returning(request, None, prompt, start + at)
            {
                refused.push((job, told));
            }
        }
        for ranked in dispatcher.decide_ranked(start + elapsed) {
            let job = ranked.decision.job.0 as usize;
            let (caller, number, at) = attempts[job];
            let time_left = (arrived_at[caller] + CALLER_TIME).saturating_sub(at);
            let on_time = match ranked.decision.answer {
                DispatchAnswer::Refused { retry_after, .. } => {
                    refused.push((job, retry_after));
                    false
                }
                DispatchAnswer::Placed(placement) => {
                    let first_event_at = elapsed + placement.predicted_first_event;
                    ends.push(Reverse((first_event_at, job as u64, false)));
                    ends.push(Reverse((first_event_at + decode, job as u64, true)));
                    let on_time = first_event_at <= at + objective_left(time_left);
                    report.placed += 1;
                    report.callers[caller % 2][1] += usize::from(on_time);
                    on_time
                }
            };
            let is_as_told = ranked.returned == Some(ReturnState::Kept) || !has_promises;
            if number == 0 {
                report.first_attempts[0] += 1;
                report.first_attempts[1] += usize::from(on_time);
            } else if caller % 2 == 0 && is_as_told {
                report.returns_as_told[0] += 1;
                report.returns_as_told[1] += usize::from(on_time);
            }
        }
        for (job, told) in refused {
            let (caller, number, _) = attempts[job];
            let time_left = (arrived_at[caller] + CALLER_TIME).saturating_sub(elapsed);
            let behaviour = [Behaviour::AsTold, behaviour][caller % 2];
            if time_left > OBJECTIVE {
                let returns_at = elapsed + behaviour.wait(told, time_left);
                due.push(Reverse((returns_at, caller, number + 1)));
            }
        }
    }
    for caller in 0..arrived_at.len() {
        report.callers[caller % 2][0] += 1;
    }
}

/// The objective that is left as a node derives it from the deadline of an attempt.
fn objective_left(time_left: Duration) -> Duration {
    OBJECTIVE.saturating_sub(CALLER_TIME.mul_f64(0.85).saturating_sub(time_left))
}

/// Prompts a second that the engines take while there are always some to place.
fn capacity() -> f64 {
    let mut report = ReturnReport::default();
    let load = ReturnLoad {
        capacity: ENGINES * 10.0,
        demand: [1.0, 1.0],
        behaviour: Behaviour::AsTold,
        has_promises: false,
    };
    play(load, &mut report, 1);
    report.placed as f64 / (LENGTH + CALLER_TIME).as_secs_f64()
}

fn play_all(behaviour: Behaviour, has_promises: bool) -> ReturnReport {
    let mut report = ReturnReport::default();
    let load = ReturnLoad {
        capacity: capacity(),
        demand: [OVERLOAD, QUIET],
        behaviour,
        has_promises,
    };
    for seed in SEEDS {
        play(load, &mut report, seed);
    }
    report
}

// Guards against refused callers that lose to new arrivals although they return as they are told.
#[test]
fn callers_that_return_as_told_are_on_time_at_least_as_often_as_new_arrivals() {
    let with_promises = play_all(Behaviour::AsTold, true);
    let without = play_all(Behaviour::AsTold, false);
    println!("{with_promises:?}\n{without:?}");

    let (returned, new) = (
        share(with_promises.returns_as_told),
        share(with_promises.first_attempts),
    );
    assert!(returned >= new, "{returned:.3} and {new:.3}");
    let unprotected = share(without.returns_as_told);
    assert!(
        unprotected < share(without.first_attempts),
        "{unprotected:.3}"
    );
}

/// By how much more of the callers of the other behaviour than of those that return as told are on time,
/// in standard errors of the difference.
fn gain(report: &ReturnReport) -> f64 {
    let [as_told, other] = report.callers;
    let pooled = share([as_told[0] + other[0], as_told[1] + other[1]]);
    let variance = pooled * (1.0 - pooled) * (1.0 / as_told[0] as f64 + 1.0 / other[0] as f64);
    (share(other) - share(as_told)) / variance.sqrt()
}

// Guards against callers that gain by returning sooner or more often than they are told.
#[test]
fn callers_that_return_early_or_often_gain_nothing() {
    const SAMPLING_ERROR: f64 = 2.0; // standard errors
    for behaviour in [Behaviour::Early, Behaviour::Often] {
        let mixed = play_all(behaviour, true);
        println!("{behaviour:?} {mixed:?}");

        let gained = gain(&mixed);
        assert!(gained <= SAMPLING_ERROR, "{behaviour:?}: {gained:.2}");
    }
    let without = gain(&play_all(Behaviour::Often, false));
    assert!(without > SAMPLING_ERROR, "{without:.2}");
}

const SECOND: Duration = Duration::from_secs(1);

/// A refused prompt of one engine second.
fn refused(caller: usize, rank: i64, now: Instant) -> RefusedPrompt {
    RefusedPrompt {
        job: JobId(caller as u64),
        digest: digest(caller),
        account: None,
        class: ReturnClass {
            rank: Some(rank),
            is_over_share: false,
        },
        engine_seconds: 1.0,
        soonest: SECOND,
        first_event: SECOND,
        caller_deadline_at: now + 60 * SECOND,
    }
}

// Guards against callers that are all told the same time, and urgent ones that are told to come behind others.
#[test]
fn refused_callers_are_told_times_one_behind_the_other_by_rank() {
    let (mut promises, now) = (ReturnPromises::default(), Instant::now());
    let told = [(1, 1), (2, 1), (3, 1), (4, 0), (5, 2)]
        .map(|(caller, rank)| promises.promise(&refused(caller, rank, now), 2.0, now).wait);

    let expected = [1_000, 1_500, 2_000, 1_000, 3_000].map(Duration::from_millis);
    assert_eq!(told, expected);
}

// Guards against a place that is lost by an early return, used twice, or held for ever, and against a prompt
// that is refused again and goes to the end.
#[test]
fn a_promise_holds_from_its_time_until_it_is_used_or_its_window_ends() {
    let (mut promises, now) = (ReturnPromises::default(), Instant::now());
    for caller in [1, 2] {
        promises.promise(&refused(caller, 0, now), 1.0, now);
    }
    let mut arrive = |caller: usize, job: u64, at: Instant| {
        promises.record_arrival(digest(caller), &None, JobId(job), at)
    };

    assert_eq!(
        arrive(1, 11, now + SECOND / 2),
        (ReturnState::Early, SECOND / 2)
    );
    assert_eq!(arrive(1, 12, now + SECOND).0, ReturnState::Kept);
    assert_eq!(arrive(1, 13, now + SECOND).0, ReturnState::New);
    promises.withdraw(JobId(12));
    let (state, _) = promises.record_arrival(digest(1), &None, JobId(14), now + SECOND);
    assert_eq!(state, ReturnState::Kept);
    let mut again = refused(1, 0, now);
    again.job = JobId(14);
    assert_eq!(promises.promise(&again, 1.0, now + SECOND).wait, SECOND);
    let late = now + 2 * SECOND + RETURN_WINDOW;
    let (state, _) = promises.record_arrival(digest(2), &None, JobId(21), late);
    assert_eq!(state, ReturnState::Missed);
    promises.expire(now + 60 * SECOND);
    assert!(promises.is_empty());
}

// Guards against a book that grows without bound, and a successor that lacks what it was told.
#[test]
fn promises_are_bounded_and_pass_to_the_successor() {
    let (mut owner, now) = (ReturnPromises::default(), Instant::now());
    for caller in 0..=MAX_PROMISES {
        owner.promise(&refused(caller, 0, now), 1e6, now);
    }
    let mut successor = ReturnPromises::default();
    for promise in owner.take_unannounced(now) {
        successor.import(&promise, now);
    }

    assert_eq!((owner.len(), successor.len()), (MAX_PROMISES, MAX_PROMISES));
    let later = now + 2 * SECOND;
    let states = [0, MAX_PROMISES].map(|caller| {
        let job = JobId(caller as u64);
        successor
            .record_arrival(digest(caller), &None, job, later)
            .0
    });
    assert_eq!(states, [ReturnState::New, ReturnState::Kept]);
    let other_account = Some(TeamName::new("other"));
    let (state, _) = successor.record_arrival(digest(1), &other_account, JobId(1), later);
    assert_eq!(state, ReturnState::New);
}

// Guards against variants that take the place of ones that earlier builds know.
#[test]
fn messages_of_returns_come_after_all_that_earlier_builds_know() {
    let prompt = CallerPrompt {
        digest: digest(1),
        caller_time_left: SECOND,
    };
    let place = NodeCall::PlaceReturning(ReturningPlacementRequest {
        request: short_prompt(1, &TeamName::new("account")),
        rank: None,
        prompt,
    });
    let calls = [NodeCall::SharePromises(Vec::new()), place];
    let reply = NodeReply::PlacedReturning(ReturningAnswer {
        ranked: RankedAnswer {
            answer: DispatchAnswer::Refused {
                reason: RefusalReason::Overload,
                retry_after: SECOND,
            },
            share: ShareState::Within,
        },
        returned: Some(ReturnState::Kept),
        promised_in: Some(SECOND),
    });

    let indices = calls.map(|call| encode(&call).expect("the call has an encoding")[0]);
    let reply_bytes = encode(&reply).expect("the reply has an encoding");

    assert_eq!((indices, reply_bytes[0]), ([13, 14], 8));
}
