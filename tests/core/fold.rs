//! Folding: all processes get the same view, and accepted changes are never reverted.

use plantainnotch::ids::{Offset, TargetName, TeamName};
use plantainnotch::view::checkpoint;
use plantainnotch::view::fold::TargetRef;
use plantainnotch::view::record::{LogEntry, RecordBody};
use plantainnotch::view::signature::SecretKey;
use plantainnotch::view::table::{OperatorRow, ServiceState, TableRow};
use plantainnotch::view::{FoldOutcome, View};

use crate::fixtures::*;

/// Generates a record from small numbers, so that records often concern the same VM or row.
fn generated_body(input: (u8, u8, u8)) -> RecordBody {
    let (kind, number, version) = input;
    let number = usize::from(number % 3);
    let version = u64::from(version % 12);
    match kind % 6 {
        0 => join(number, version % 4),
        1 => evict(number, version % 4),
        2 => RecordBody::Leave {
            vm: vm(number),
            incarnation: version % 4,
        },
        3 => change(
            "op",
            domain_key(&format!("rw-{number}")),
            version,
            Some(domain_row(ServiceState::Out)),
        ),
        4 => change(
            "op",
            team_key(&format!("team-{number}")),
            version,
            Some(team_row("k", 1, version + 1)),
        ),
        _ => change(
            "owner",
            target_key(&format!("app-{number}")),
            version,
            Some(target_row("rw-0", "owner", 9)),
        ),
    }
}

fn generated_log(inputs: &[(u8, u8, u8)]) -> Vec<LogEntry> {
    let bodies = inputs.iter().map(|input| generated_body(*input));
    bodies
        .enumerate()
        .map(|(index, body)| entry(index as u64 + 1, body))
        .collect()
}

fn fold_all(log: &[LogEntry]) -> View {
    let mut view = View::default();
    for entry in log {
        view.fold(entry);
    }
    view
}

#[test]
fn a_checkpoint_and_the_records_after_it_give_the_same_view() {
    fn property(inputs: Vec<(u8, u8, u8)>, cut: u8) -> bool {
        let log = generated_log(&inputs);
        let cut = usize::from(cut) % (log.len() + 1);
        let mut restored =
            checkpoint::decode(Offset(0), &checkpoint::encode(&fold_all(&log[..cut])))
                .expect("a checkpoint that was just written can be read");
        for entry in &log[cut..] {
            restored.fold(entry);
        }
        restored == fold_all(&log)
    }
    check(11, property as fn(Vec<(u8, u8, u8)>, u8) -> bool);
}

#[test]
fn a_duplicate_of_an_accepted_record_changes_nothing() {
    fn property(inputs: Vec<(u8, u8, u8)>, original: u8, distance: u8) -> bool {
        let mut bodies: Vec<RecordBody> =
            inputs.iter().map(|input| generated_body(*input)).collect();
        if bodies.is_empty() {
            return true;
        }
        let original = usize::from(original) % bodies.len();
        let duplicate = original + 1 + usize::from(distance) % (bodies.len() - original);
        bodies.insert(duplicate, bodies[original].clone());
        let mut view = View::default();
        let mut outcomes = Vec::new();
        for (index, body) in bodies.into_iter().enumerate() {
            let before = view.clone();
            outcomes.push(view.fold(&entry(index as u64 + 1, body)));
            let unchanged = before.rows() == view.rows() && before.members() == view.members();
            if index == duplicate && outcomes[original] == FoldOutcome::Accepted && !unchanged {
                return false;
            }
        }
        true
    }
    check(12, property as fn(Vec<(u8, u8, u8)>, u8, u8) -> bool);
}

#[test]
fn a_resent_table_change_is_never_accepted_twice() {
    // Arrange: a change whose append got no response, and another change after it.
    let first = change(
        "op",
        domain_key("rw-a"),
        0,
        Some(domain_row(ServiceState::Out)),
    );
    let second = change(
        "op",
        domain_key("rw-a"),
        1,
        Some(domain_row(ServiceState::In)),
    );
    let mut view = view_of(vec![first.clone(), second]);

    // Act: fold a delayed duplicate of the first change.
    let outcome = view.fold(&entry(3, first));

    // Assert: it is rejected, and the second change is kept.
    assert!(matches!(outcome, FoldOutcome::Conflict { .. }));
    let domain = view.domain(&plantainnotch::ids::DomainName::new("rw-a"));
    assert_eq!(domain.map(|row| row.state), Some(ServiceState::In));
}

#[test]
fn row_versions_never_decrease() {
    fn property(inputs: Vec<(u8, u8, u8)>) -> bool {
        let mut view = View::default();
        let mut ordered = true;
        for entry in generated_log(&inputs) {
            let before = view.clone();
            view.fold(&entry);
            for (key, row) in before.rows() {
                let now = view.rows().get(key);
                ordered &= now.is_some_and(|now| now.version >= row.version);
            }
        }
        ordered
    }
    check(13, property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn a_removed_incarnation_never_rejoins() {
    fn property(inputs: Vec<(u8, u8, u8)>) -> bool {
        let mut view = View::default();
        let mut removed: Vec<(plantainnotch::ids::VmName, u64)> = Vec::new();
        for entry in generated_log(&inputs) {
            let before = view.clone();
            view.fold(&entry);
            for (name, member) in before.members().iter() {
                let current = view.members().get(name);
                if current.is_none_or(|now| now.join.incarnation != member.join.incarnation) {
                    removed.push((name.clone(), member.join.incarnation));
                }
            }
            let rejoined = removed.iter().any(|(name, incarnation)| {
                let now = view.members().get(name);
                now.is_some_and(|now| now.join.incarnation <= *incarnation)
            });
            if rejoined {
                return false;
            }
        }
        true
    }
    check(14, property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn recent_changes_give_the_members_before_each_change() {
    fn property(inputs: Vec<(u8, u8, u8)>) -> bool {
        let mut view = View::default();
        let mut expected = Vec::new();
        for entry in generated_log(&inputs) {
            let before = view.members().clone();
            view.fold(&entry);
            if view.members().last_change() != before.last_change() {
                expected.push((entry.offset, before));
            }
        }
        let dropped = expected
            .len()
            .saturating_sub(plantainnotch::view::membership::MAX_KEPT_CHANGES);
        let recent = view.members().recent_changes();
        recent.len() == expected.len() - dropped
            && recent
                .iter()
                .zip(&expected[dropped..])
                .all(|(change, wanted)| {
                    let names = |table: &plantainnotch::view::membership::MemberTable| {
                        table
                            .iter()
                            .map(|(vm, m)| (vm.clone(), m.epoch))
                            .collect::<Vec<_>>()
                    };
                    change.0 == wanted.0 && names(&change.1) == names(&wanted.1)
                })
    }
    check(15, property as fn(Vec<(u8, u8, u8)>) -> bool);
}

fn approved(view: &View, team: &str, target: &str) -> bool {
    let name = TargetName::new(target);
    let row = view.target(&name).expect("the target is in the table");
    view.approved(&TeamName::new(team), TargetRef { name: &name, row })
}

#[test]
fn only_the_targets_owner_approves() {
    // Arrange
    let mut view = view_of(vec![
        change(
            "op",
            target_key("app-0"),
            0,
            Some(target_row("rw-a", "owner", 9)),
        ),
        change(
            "op",
            target_key("app-1"),
            0,
            Some(target_row("rw-a", "other", 9)),
        ),
    ]);

    // Act
    let by_non_owner = view.fold(&entry(
        3,
        change(
            "op",
            approval_key("kigali", "app-0"),
            0,
            Some(approval_row(true)),
        ),
    ));
    let by_owner_of_one = view.fold(&entry(
        4,
        change(
            "owner",
            approval_key("kigali", "app-*"),
            0,
            Some(approval_row(true)),
        ),
    ));
    let by_owner = view.fold(&entry(
        5,
        change(
            "owner",
            approval_key("kigali", "app-0"),
            0,
            Some(approval_row(true)),
        ),
    ));

    // Assert
    assert!(matches!(by_non_owner, FoldOutcome::Rejected { .. }));
    assert!(matches!(by_owner_of_one, FoldOutcome::Rejected { .. }));
    assert_eq!(by_owner, FoldOutcome::Accepted);
    assert!(approved(&view, "kigali", "app-0"));
    assert!(!approved(&view, "kigali", "app-1"));
}

#[test]
fn an_approval_ends_when_the_target_changes_owner() {
    // Arrange
    let mut view = view_of(vec![
        change(
            "op",
            target_key("app-0"),
            0,
            Some(target_row("rw-a", "owner", 9)),
        ),
        change(
            "owner",
            approval_key("kigali", "app-0"),
            0,
            Some(approval_row(true)),
        ),
    ]);

    // Act: another author may not become the owner; the owner may name another one.
    let by_other = view.fold(&entry(
        3,
        change(
            "other",
            target_key("app-0"),
            1,
            Some(target_row("rw-a", "other", 9)),
        ),
    ));
    let by_owner = view.fold(&entry(
        4,
        change(
            "owner",
            target_key("app-0"),
            1,
            Some(target_row("rw-a", "new-owner", 9)),
        ),
    ));

    // Assert
    assert!(matches!(by_other, FoldOutcome::Rejected { .. }));
    assert_eq!(by_owner, FoldOutcome::Accepted);
    assert!(!approved(&view, "kigali", "app-0"));
}

#[test]
fn a_truncated_log_is_rebuilt_from_a_checkpoint_or_reported() {
    // Arrange: five records, a checkpoint as of the third, then one more.
    let mut log: Vec<LogEntry> =
        generated_log(&[(0, 0, 1), (3, 1, 0), (4, 2, 0), (0, 1, 1), (3, 2, 0)]);
    let checkpointed = fold_all(&log[..3]);
    log.push(entry(6, checkpoint::write(&checkpointed).body));
    log.push(entry(7, generated_body((0, 2, 1))));
    let complete = fold_all(&log);

    // Act
    let from_checkpoint = checkpoint::rebuild(Offset(4), &log[3..]);
    let not_covered = checkpoint::rebuild(Offset(5), &log[4..]);

    // Assert
    assert_eq!(from_checkpoint, Ok(complete));
    assert_eq!(
        not_covered,
        Err(checkpoint::RebuildError::Truncated { head: Offset(5) })
    );
}

fn operator_row(key: &SecretKey) -> TableRow {
    TableRow::Operator(OperatorRow { key: key.public() })
}

fn signed(body: RecordBody, key: &SecretKey) -> RecordBody {
    let RecordBody::Table(mut change) = body else {
        unreachable!("the fixture makes a table change");
    };
    change.signature = Some(key.sign(&change.author, &change.rows));
    RecordBody::Table(change)
}

#[test]
fn once_the_table_names_an_operator_every_change_is_signed_by_one() {
    // Arrange
    let (alice, mallory) = (SecretKey::random(), SecretKey::random());
    let first_operator = change(
        "alice",
        operator_key("alice"),
        0,
        Some(operator_row(&alice)),
    );
    let mut view = view_of(vec![first_operator]);
    let domain_change = |author: &str| {
        change(
            author,
            domain_key("rw-a"),
            0,
            Some(domain_row(ServiceState::Out)),
        )
    };
    let key_change = |author: &str| {
        change(
            author,
            operator_key("alice"),
            1,
            Some(operator_row(&mallory)),
        )
    };

    // Act
    let unsigned = view.fold(&entry(2, domain_change("alice")));
    let forged = view.fold(&entry(3, signed(domain_change("alice"), &mallory)));
    let not_operator = view.fold(&entry(4, signed(domain_change("mallory"), &mallory)));
    let by_operator = view.fold(&entry(5, signed(domain_change("alice"), &alice)));
    let added = change(
        "alice",
        operator_key("mallory"),
        0,
        Some(operator_row(&mallory)),
    );
    let added = view.fold(&entry(6, signed(added, &alice)));
    let by_other_operator = view.fold(&entry(7, signed(key_change("mallory"), &mallory)));

    // Assert
    for outcome in [unsigned, forged, not_operator, by_other_operator] {
        assert!(
            matches!(outcome, FoldOutcome::Rejected { .. }),
            "{outcome:?}"
        );
    }
    assert_eq!(
        (by_operator, added),
        (FoldOutcome::Accepted, FoldOutcome::Accepted)
    );
}

#[test]
fn a_signature_does_not_cover_other_rows() {
    let alice = SecretKey::random();
    let mut view = view_of(vec![change(
        "alice",
        operator_key("alice"),
        0,
        Some(operator_row(&alice)),
    )]);
    let body = signed(
        change(
            "alice",
            domain_key("rw-a"),
            0,
            Some(domain_row(ServiceState::In)),
        ),
        &alice,
    );
    let RecordBody::Table(mut change) = body else {
        unreachable!("the fixture makes a table change");
    };
    change.rows[0].row = Some(domain_row(ServiceState::Out));
    let outcome = view.fold(&entry(2, RecordBody::Table(change)));
    assert!(matches!(outcome, FoldOutcome::Rejected { .. }));
}
