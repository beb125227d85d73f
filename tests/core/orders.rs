//! Orders: numbered by the log, and held back from targets that do not check numbers.

use std::time::Instant;

use plantainnotch::ids::{Offset, TargetName};
use plantainnotch::steward::orders::OrderBook;
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

fn is_due(book: &mut OrderBook, row: &TargetRow, now: Instant) -> bool {
    book.due(&target(), row, NUMBER, three_members().members(), now)
        .is_some()
}

#[test]
fn a_target_that_checks_gets_its_order_at_once_with_the_rows_offset() {
    let mut book = OrderBook::default();
    book.report(&target(), "v1");
    let now = Instant::now();
    let order = book.due(
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
    let mut book = OrderBook::default();
    book.report(&target(), "v1");
    let start = Instant::now();
    let at_first = is_due(&mut book, &row(false), start);

    // Act: one member of three acknowledges, then a second one.
    book.acknowledge(&vm(0), NUMBER, start);
    let with_one = is_due(&mut book, &row(false), start + seconds(60.0));
    book.acknowledge(&vm(1), NUMBER, start + seconds(60.0));
    let too_soon = is_due(&mut book, &row(false), start + seconds(63.4));
    let in_force = is_due(&mut book, &row(false), start + seconds(63.5));

    // Assert
    assert_eq!(
        (at_first, with_one, too_soon, in_force),
        (false, false, false, true)
    );
}

#[test]
fn a_newer_row_is_waited_for_anew() {
    let mut book = OrderBook::default();
    book.report(&target(), "v1");
    let start = Instant::now();
    let view = three_members();
    let due = |book: &mut OrderBook, number: u64, at: f64| {
        let now = start + seconds(at);
        book.due(&target(), &row(false), Offset(number), view.members(), now)
            .is_some()
    };
    due(&mut book, 9, 0.0);
    for number in 0..3 {
        book.acknowledge(&vm(number), Offset(9), start);
    }
    assert!(due(&mut book, 9, 4.0));
    assert!(!due(&mut book, 10, 4.0));
    assert!(!due(&mut book, 10, 60.0));
}

#[test]
fn nothing_is_ordered_that_the_target_runs_or_has_not_been_asked_about() {
    let mut book = OrderBook::default();
    let now = Instant::now();
    assert!(!is_due(&mut book, &row(true), now));
    book.report(&target(), "v2");
    assert!(!is_due(&mut book, &row(true), now));
}
