//! The time spent on earlier attempts, estimated from a route and a deadline.

use std::time::Duration;

use plantainnotch::fleet::routes::{RerunPolicy, RouteRule};

fn route(timeout: Duration) -> RouteRule {
    RouteRule {
        name: "checks".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/checks/".to_owned(),
        rerun_policy: RerunPolicy::ResumableStream,
        timeout,
        objective: Duration::from_millis(300),
        max_event_gap: Duration::from_millis(250),
        priority: 1,
        services: Vec::new(),
        max_attempts: 2,
        public: false,
    }
}

// A first attempt's deadline is taken to be at least 85 % of the route's timeout.

#[test]
fn a_deadline_possible_for_a_first_attempt_counts_no_earlier_time() {
    let route = route(Duration::from_secs(10));

    let time_spent = route.time_on_earlier_attempts(Duration::from_millis(8_500));

    assert_eq!(time_spent, Duration::ZERO);
}

#[test]
fn a_deadline_too_short_for_a_first_attempt_counts_the_missing_time() {
    let route = route(Duration::from_secs(10));

    let time_spent = route.time_on_earlier_attempts(Duration::from_millis(4_000));

    assert_eq!(time_spent, Duration::from_millis(4_500));
}

#[test]
fn a_deadline_beyond_the_timeout_counts_no_earlier_time() {
    let route = route(Duration::from_millis(800));

    let time_spent = route.time_on_earlier_attempts(Duration::from_millis(1_500));

    assert_eq!(time_spent, Duration::ZERO);
}
