//! Pace of the reads of the store, through simulated outages.

use std::time::Duration;

use plantainnotch::policy::read_pacing::ReadPacing;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::check;

const UNREAD_LIMIT: Duration = Duration::from_secs(3);
const SLOWEST_ANSWER_MS: u64 = 240; // 60 times the usual 4 ms

/// A store that does not answer during an outage; reads that wait when it begins are lost.
struct SimulatedStore {
    outage_from: Duration,
    outage_until: Duration,
    refuses: bool,
}

/// Reads on until one that was sent after the outage is answered, and returns when it was.
fn first_read_after(store: &SimulatedStore, rng: &mut StdRng) -> Duration {
    let mut pacing = ReadPacing::new(UNREAD_LIMIT);
    let mut now = Duration::ZERO;
    loop {
        let answer = Duration::from_millis(rng.random_range(4..=SLOWEST_ANSWER_MS));
        let wait = pacing.next_wait();
        let answered_at = now + wait + answer;
        let is_lost = now < store.outage_until && answered_at > store.outage_from;
        if !is_lost {
            if now >= store.outage_until {
                return now + answer;
            }
            pacing.record_success();
            now = answered_at;
            continue;
        }
        now = if store.refuses && now >= store.outage_from {
            now + answer
        } else {
            now + wait + pacing.answer_time()
        };
        now += pacing.record_failure(rng.random_range(0.0..1.0));
    }
}

#[test]
fn a_topic_is_read_within_the_limit_after_any_outage() {
    fn property(from_ms: u16, length_ms: u16, refuses: bool, seed: u64) -> bool {
        let outage_from = Duration::from_millis(u64::from(from_ms));
        let store = SimulatedStore {
            outage_from,
            outage_until: outage_from + Duration::from_millis(u64::from(length_ms)),
            refuses,
        };

        let read_at = first_read_after(&store, &mut StdRng::seed_from_u64(seed));

        read_at <= store.outage_until + UNREAD_LIMIT
    }
    check(7, property as fn(u16, u16, bool, u64) -> bool);
}

#[test]
fn reads_wait_for_records_only_while_the_store_answers() {
    let mut pacing = ReadPacing::new(UNREAD_LIMIT);
    let first_wait = pacing.next_wait();
    pacing.record_failure(0.5);
    let wait_after_failure = pacing.next_wait();
    pacing.record_success();

    assert!(!first_wait.is_zero());
    assert!(wait_after_failure.is_zero());
    assert_eq!(pacing.next_wait(), first_wait);
}

#[test]
fn delays_between_failed_reads_grow_to_a_limit() {
    let mut pacing = ReadPacing::new(UNREAD_LIMIT);
    let delays: Vec<Duration> = (0..40).map(|_| pacing.record_failure(0.5)).collect();

    assert!(delays.is_sorted(), "{delays:?}");
    assert!(delays[39] < UNREAD_LIMIT / 2, "{delays:?}");
}
