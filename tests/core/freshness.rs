//! The age of a view counts from when a read or heartbeat was sent; majorities are counted
//! over the members in the view.

use std::time::Instant;

use plantainnotch::ids::Offset;
use plantainnotch::view::freshness::{FreshnessTracker, PeerReport};

use crate::fixtures::*;

fn report(as_of: Instant, offset: u64, log_unreachable: bool) -> PeerReport {
    PeerReport {
        as_of,
        offset: Offset(offset),
        log_unreachable,
    }
}

#[test]
fn a_view_goes_stale_two_seconds_after_the_read_was_sent() {
    let view = view_of(vec![join(0, 1), join(1, 1), join(2, 1)]);
    let start = Instant::now();
    let mut tracker = FreshnessTracker::default();
    tracker.confirm(start);
    let fresh = |at: f64| tracker.is_fresh(&vm(0), view.members(), Offset(3), start + seconds(at));
    assert!(fresh(1.9));
    assert!(!fresh(2.0));
}

#[test]
fn in_an_outage_a_majority_without_newer_records_keeps_the_view_fresh() {
    let view = view_of(vec![join(0, 1), join(1, 1), join(2, 1)]);
    let start = Instant::now();
    let now = start + seconds(10.0);
    let fresh = |peer: PeerReport, own_unreachable: bool| {
        let mut tracker = FreshnessTracker::default();
        tracker.confirm(start);
        tracker.set_log_unreachable(own_unreachable);
        tracker.record_report(&vm(1), peer);
        tracker.is_fresh(&vm(0), view.members(), Offset(3), now)
    };
    assert!(fresh(report(now, 3, true), true));
    assert!(
        !fresh(report(now, 4, true), true),
        "the peer has newer records"
    );
    assert!(
        !fresh(report(now, 3, false), true),
        "the peer reaches the log"
    );
    assert!(
        !fresh(report(now, 3, true), false),
        "this process reaches the log"
    );
    assert!(!fresh(report(start, 3, true), true), "the report is old");
}

#[test]
fn reports_of_non_members_do_not_count() {
    let view = view_of(vec![join(0, 1), join(1, 1), join(2, 1)]);
    let now = Instant::now() + seconds(10.0);
    let mut tracker = FreshnessTracker::default();
    tracker.set_log_unreachable(true);
    tracker.record_report(&vm(7), report(now, 3, true));
    assert!(!tracker.is_fresh(&vm(0), view.members(), Offset(3), now));
}
