//! Rate limits that targets name.

use std::time::{Duration, Instant};

use plantainnotch::ids::TargetName;
use plantainnotch::policy::rate_limits::{RateLimit, RateLimits};

use crate::fixtures::check;

const MS: Duration = Duration::from_millis(1);

fn name() -> TargetName {
    TargetName::new("i-1")
}

#[test]
fn the_end_of_a_limit_does_not_count_from_a_request_sent_before_it_was_learned() {
    let now = Instant::now();
    let mut limits = RateLimits::default();
    limits.observe(&name(), 1, Some(2.0), now, now + MS * 20);

    let overtaken = limits.observe(&name(), 1, None, now + MS * 10, now + MS * 30);
    let later = limits.observe(&name(), 1, None, now + MS * 40, now + MS * 60);

    assert_eq!(overtaken, None);
    assert_eq!(later.map(|limit| limit.requests_per_s), Some(None));
    assert_eq!(limits.rate_of(&name(), 1), None);
}

#[test]
fn a_lower_limit_counts_from_any_response_and_a_higher_one_from_a_later_request() {
    let now = Instant::now();
    let mut limits = RateLimits::default();
    limits.observe(&name(), 1, Some(8.0), now, now + MS * 20);

    limits.observe(&name(), 1, Some(2.0), now, now + MS * 30);
    limits.observe(&name(), 1, Some(8.0), now, now + MS * 31);

    assert_eq!(limits.rate_of(&name(), 1), Some(2.0));
    limits.observe(&name(), 1, Some(8.0), now + MS * 32, now + MS * 50);
    assert_eq!(limits.rate_of(&name(), 1), Some(8.0));
}

#[test]
fn a_limit_binds_only_the_process_that_named_it() {
    let now = Instant::now();
    let mut limits = RateLimits::default();
    limits.observe(&name(), 5, Some(2.0), now, now);

    let of_an_earlier_process = limits.observe(&name(), 4, Some(1.0), now + MS, now + MS);

    assert_eq!(of_an_earlier_process, None);
    assert_eq!(limits.rate_of(&name(), 5), Some(2.0));
    assert_eq!(limits.rate_of(&name(), 6), None);
}

#[test]
fn limits_that_hardly_change_are_no_news() {
    let now = Instant::now();
    let mut limits = RateLimits::default();
    limits.observe(&name(), 1, Some(2.0), now, now);

    let hardly = limits.observe(&name(), 1, Some(2.1), now + MS, now + MS * 2);
    let far = limits.observe(&name(), 1, Some(2.3), now + MS, now + MS * 2);

    assert_eq!(hardly, None);
    assert!(far.is_some());
}

#[test]
fn vms_that_exchange_limits_in_any_order_agree() {
    fn property(changes: Vec<(u8, u8, u8, Option<u8>)>, swaps: Vec<u8>) -> bool {
        let now = Instant::now();
        let limits: Vec<RateLimit> = changes
            .iter()
            .map(|(target, started, revision, rate)| RateLimit {
                target: TargetName::new(format!("i-{}", target % 4)),
                started_ms: u64::from(started % 3),
                revision: u32::from(revision % 5),
                requests_per_s: rate.map(f64::from),
            })
            .collect();
        let mut other_order = limits.clone();
        for (index, swap) in swaps.iter().enumerate().take(limits.len()) {
            other_order.swap(index, usize::from(*swap) % limits.len());
        }
        let (mut one, mut other) = (RateLimits::default(), RateLimits::default());
        one.import(&limits, now);
        other.import(&other_order, now);
        one.import(&other.export(), now);
        one.export() == other.export() && one.digest() == other.digest()
    }
    check(
        32,
        property as fn(Vec<(u8, u8, u8, Option<u8>)>, Vec<u8>) -> bool,
    );
}

#[test]
fn limits_that_are_no_numbers_are_not_taken_over() {
    let mut limits = RateLimits::default();
    let limit = RateLimit {
        target: name(),
        started_ms: 1,
        revision: 1,
        requests_per_s: Some(f64::NAN),
    };

    let imported = limits.import(&[limit], Instant::now());

    assert!(imported.is_empty());
    assert_eq!(limits.rate_of(&name(), 1), None);
}
