//! What a route tells of its callers.

use std::time::Duration;

use plantainnotch::fleet::routes::{RerunPolicy, RouteRule};

fn route(timeout: Duration) -> RouteRule {
    RouteRule {
        name: "checks".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/checks/".to_owned(),
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

#[test]
fn a_first_attempt_with_a_shorter_deadline_has_its_whole_objective() {
    let route = route(Duration::from_secs(10));

    let spent = route.time_on_earlier_attempts(Duration::from_millis(8_500));

    assert_eq!(spent, Duration::ZERO);
}

#[test]
fn a_second_attempt_has_spent_what_its_deadline_surely_lacks() {
    let route = route(Duration::from_secs(10));

    let spent = route.time_on_earlier_attempts(Duration::from_millis(4_000));

    assert_eq!(spent, Duration::from_millis(4_500));
}

#[test]
fn a_deadline_beyond_the_time_out_says_nothing_of_earlier_attempts() {
    let route = route(Duration::from_millis(800));

    let spent = route.time_on_earlier_attempts(Duration::from_millis(1_500));

    assert_eq!(spent, Duration::ZERO);
}
