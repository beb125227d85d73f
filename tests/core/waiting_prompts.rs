//! The waiting prompts of a dispatcher: what their number costs, and the ordered collection that they
//! are kept in.

use std::time::{Duration, Instant};

use plantainnotch::ids::TeamName;
use plantainnotch::policy::dispatch::{
    DispatchAnswer, DispatchDecision, EngineDispatcher, JobId, RefusalReason,
};
use plantainnotch::policy::engine_model::example_spec;
use plantainnotch::policy::summary_tree::{EntrySlot, RangeSummary, SummaryTree};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::queued_load::{engine_target, short_prompt};

/// Full engines with `waiting` short prompts, and some long ones, of different lengths and deadlines.
fn full_dispatcher(waiting: u64, now: Instant) -> EngineDispatcher {
    let spec = example_spec();
    let mut dispatcher = EngineDispatcher::new(spec.clone(), 0.0);
    let targets: Vec<_> = (0..4).map(engine_target).collect();
    dispatcher.set_engines(&spec, 0.0, &targets);
    let slots = 4 * spec.slots as u64;
    for job in 0..slots + waiting {
        let mut request = short_prompt(job, &TeamName::new("account"));
        request.prompt_tokens = match job % 50 {
            49 if job > slots => 150_000,
            _ => 5_000 - job * 7 % 4_000,
        };
        request.objective = Duration::from_millis(200 + job * 13 % 100);
        request.give_up_after = Duration::from_secs(3_600 + job * 31 % 600);
        dispatcher.enqueue(request, now);
        if job < slots {
            assert_eq!(dispatcher.decide(now).len(), 1);
        }
    }
    dispatcher.decide(now);
    dispatcher
}

// Guards against a decision whose cost grows with the number of waiting prompts. It counts evaluations
// and measures no time.
#[test]
fn prompts_that_can_be_neither_placed_nor_refused_are_not_evaluated() {
    let start = Instant::now();
    for waiting in [100, 1_000, 10_000] {
        let mut dispatcher = full_dispatcher(waiting, start);
        let evaluated = dispatcher.evaluated_count();

        for step in 1..=100 {
            dispatcher.decide(start + Duration::from_millis(step * 4));
        }

        let evaluated = dispatcher.evaluated_count() - evaluated;
        assert!(dispatcher.waiting_count() as u64 >= waiting * 9 / 10);
        assert!(evaluated <= 3 * 100, "{waiting}: {evaluated}");
    }
}

// Guards against a prompt that waits until its caller gives up, behind others, though no number of
// engines has the memory for it.
#[test]
fn a_prompt_without_memory_for_it_is_refused_at_once_behind_others() {
    let now = Instant::now();
    let mut dispatcher = full_dispatcher(100, now);
    let mut request = short_prompt(10_000, &TeamName::new("account"));
    request.max_output_tokens = 4 * example_spec().memory_tokens;
    request.give_up_after = Duration::from_secs(3_600);
    dispatcher.enqueue(request, now);

    let decisions = dispatcher.decide(now);

    let refused = |decision: &DispatchDecision| match decision.answer {
        DispatchAnswer::Refused { reason, .. } => Some((decision.job, reason)),
        DispatchAnswer::Placed(_) => None,
    };
    let refused: Vec<_> = decisions.iter().map(refused).collect();
    assert_eq!(refused, [Some((JobId(10_000), RefusalReason::TooLarge))]);
}

/// Sum and largest of some numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct SumAndMax {
    sum: u64,
    max: u64,
}

impl SumAndMax {
    fn of(number: u64) -> Self {
        Self {
            sum: number,
            max: number,
        }
    }
}

impl RangeSummary for SumAndMax {
    type Amount = u64;

    fn followed_by(&self, behind: &Self) -> Self {
        Self {
            sum: self.sum + behind.sum,
            max: self.max.max(behind.max),
        }
    }

    fn amount(&self) -> u64 {
        self.sum
    }
}

// Guards against sums that are out of date after an entry was added, moved or removed, and against
// searches that miss an entry: both are compared with a walk over a sorted list.
#[test]
fn searches_find_what_a_walk_over_the_sorted_entries_finds() {
    for seed in 1..=5 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut tree: SummaryTree<u64, u64, SumAndMax> = SummaryTree::default();
        let mut sorted: Vec<(u64, u64, EntrySlot)> = Vec::new();
        let mut keys: Vec<u64> = (0..4_000).collect();
        keys.shuffle(&mut rng);
        while let Some(key) = keys.pop() {
            let number = rng.random_range(0..1_000);
            let index = rng.random_range(0..sorted.len() + 1);
            match (rng.random_range(0..4), sorted.get(index).copied()) {
                (0, Some((_, number, slot))) => {
                    assert_eq!(tree.remove(slot), number);
                    sorted.remove(index);
                }
                (1, Some((_, number, slot))) => {
                    tree.update(slot, key, SumAndMax::of(number));
                    sorted[index].0 = key;
                }
                _ => {
                    let slot = tree.insert(key, SumAndMax::of(number), number);
                    sorted.push((key, number, slot));
                }
            }
            sorted.sort_unstable_by_key(|(key, ..)| *key);
            let after = rng.random_bool(0.8).then(|| rng.random_range(0..4_000));
            let (min_number, min_ahead) =
                (rng.random_range(900..1_010), rng.random_range(0..9_000));

            let found = tree.find_after(after, |range| {
                range.entries.max >= min_number && range.ahead_of_last >= min_ahead
            });

            let mut ahead = 0;
            let expected = sorted.iter().find_map(|(key, number, slot)| {
                let own_ahead = ahead;
                ahead += number;
                let matches = after.is_none_or(|after| *key > after)
                    && *number >= min_number
                    && own_ahead >= min_ahead;
                matches.then_some((*slot, own_ahead))
            });
            assert_eq!(found, expected, "seed {seed}, key {key}");
            assert_eq!(tree.len(), sorted.len());
        }
    }
}
