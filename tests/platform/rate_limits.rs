//! Targets that name a rate limit in their responses.

use std::time::Duration;

use crate::support::bed::{TestBed, wait_until};
use crate::support::caller::send;

const LOG_TIMEOUT: Duration = Duration::from_secs(3);

fn metric(bed: &TestBed, node: usize, name: &str) -> Option<f64> {
    let request = crate::support::caller::CallerRequest::new("", "GET", "/metrics");
    let response = send(bed.node_configs[node].metrics, &request)?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[test]
fn the_limits_that_targets_name_are_logged_and_counted() {
    let bed = TestBed::start(1);
    let limited = [&bed.engines[0], &bed.replicas[0]];
    let send_to_all = || {
        for request in 0..6 {
            bed.lookup(0, &format!("named-{request}"));
            let stream = bed.stream(&format!("named-s-{request}"), "/single/a");
            send(bed.node_configs[0].callers, &stream);
        }
    };
    let is_logged = |name: &str, change: &str| {
        let log = bed.nodes[0].log();
        log.lines().any(|line| {
            line.contains("rate limit of a target changed")
                && line.contains(name)
                && line.contains(change)
        })
    };

    limited
        .iter()
        .for_each(|target| target.name_limit(Some(40.5)));
    send_to_all();

    for target in limited {
        wait_until(LOG_TIMEOUT, "the limit is logged", || {
            is_logged(&target.id, "\"requests_per_s\":40.5")
        });
    }
    assert_eq!(metric(&bed, 0, "notch_node_limited_targets"), Some(2.0));

    limited.iter().for_each(|target| target.name_limit(None));
    send_to_all();

    wait_until(LOG_TIMEOUT, "the limits' end is counted", || {
        metric(&bed, 0, "notch_node_limited_targets") == Some(0.0)
    });
}
