//! Orders carry the row's version as fencing number; a target that does not check it gets
//! an order only once the row is in force.

use std::time::Instant;

use plantainnotch::ids::{Offset, TargetName};
use plantainnotch::steward::orders::OrderTracker;
use plantainnotch::view::View;
use plantainnotch::view::table::{TableRow, TargetRow};

use crate::fixtures::*;

const NUMBER: Offset = Offset(9);

fn row(checks_fencing: bool) -> TargetRow {
    let TableRow::Target(row) = target_row("rw-a", "owner", 100) else {
        unreachable!("the fixture makes a target");
    };
    TargetRow {
        checks_fencing,
        version: Some("v2".into()),
        ..*row
    }
}

fn three_members() -> View {
    view_of(vec![join(0, 1), join(1, 1), join(2, 1)])
}

fn target() -> TargetName {
    TargetName::new("app-0")
}

fn is_due(tracker: &mut OrderTracker, row: &TargetRow, now: Instant) -> bool {
    tracker
        .due_order(&target(), row, NUMBER, three_members().members(), now)
        .is_some()
}

#[test]
fn a_target_that_checks_fencing_gets_its_order_at_once_with_the_row_version() {
    let mut tracker = OrderTracker::default();
    tracker.record_version(&target(), "v1");
    let now = Instant::now();
    let order = tracker.due_order(
        &target(),
        &row(true),
        NUMBER,
        three_members().members(),
        now,
    );
    assert_eq!(order.map(|order| order.number), Some(NUMBER));
}

#[test]
fn a_target_that_does_not_check_waits_until_the_row_is_in_force() {
    // Arrange
    let mut tracker = OrderTracker::default();
    tracker.record_version(&target(), "v1");
    let start = Instant::now();
    let at_first = is_due(&mut tracker, &row(false), start);

    // Act: one of three members acknowledges the row, then a second one.
    tracker.acknowledge(&vm(0), NUMBER, start);
    let one_acknowledged = is_due(&mut tracker, &row(false), start + seconds(60.0));
    tracker.acknowledge(&vm(1), NUMBER, start + seconds(60.0));
    let majority_too_soon = is_due(&mut tracker, &row(false), start + seconds(63.4));
    let in_force = is_due(&mut tracker, &row(false), start + seconds(63.5));

    // Assert
    assert_eq!(
        (at_first, one_acknowledged, majority_too_soon, in_force),
        (false, false, false, true)
    );
}

#[test]
fn a_newer_row_must_come_into_force_again() {
    let mut tracker = OrderTracker::default();
    tracker.record_version(&target(), "v1");
    let start = Instant::now();
    let view = three_members();
    let due = |tracker: &mut OrderTracker, number: u64, at: f64| {
        let now = start + seconds(at);
        tracker
            .due_order(&target(), &row(false), Offset(number), view.members(), now)
            .is_some()
    };
    due(&mut tracker, 9, 0.0);
    for number in 0..3 {
        tracker.acknowledge(&vm(number), Offset(9), start);
    }
    assert!(due(&mut tracker, 9, 4.0));
    assert!(!due(&mut tracker, 10, 4.0));
    assert!(!due(&mut tracker, 10, 60.0));
}

#[test]
fn no_order_before_a_version_is_reported_or_for_the_running_one() {
    let mut tracker = OrderTracker::default();
    let now = Instant::now();
    assert!(!is_due(&mut tracker, &row(true), now));
    tracker.record_version(&target(), "v2");
    assert!(!is_due(&mut tracker, &row(true), now));
}
