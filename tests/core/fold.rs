//! The fold: all processes decide alike, accepted changes never revert.

use plantainnotch::ids::{Offset, TargetName, TeamName};
use plantainnotch::view::checkpoint;
use plantainnotch::view::fold::TargetRef;
use plantainnotch::view::record::{LogEntry, RecordBody};
use plantainnotch::view::signature::SecretKey;
use plantainnotch::view::table::{OperatorRow, ServiceState, TableRow};
use plantainnotch::view::{Verdict, View};

use crate::fixtures::*;

/// A record drawn from small numbers, so that histories collide often.
fn drawn_body(draw: (u8, u8, u8)) -> RecordBody {
    let (kind, number, version) = draw;
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

fn drawn_log(draws: &[(u8, u8, u8)]) -> Vec<LogEntry> {
    let bodies = draws.iter().map(|draw| drawn_body(*draw));
    bodies
        .enumerate()
        .map(|(place, body)| entry(place as u64 + 1, body))
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
fn a_checkpoint_and_the_rest_give_the_same_view() {
    fn property(draws: Vec<(u8, u8, u8)>, cut: u8) -> bool {
        let log = drawn_log(&draws);
        let cut = usize::from(cut) % (log.len() + 1);
        let mut resumed =
            checkpoint::decode(Offset(0), &checkpoint::encode(&fold_all(&log[..cut])))
                .expect("a checkpoint that was just written can be read");
        for entry in &log[cut..] {
            resumed.fold(entry);
        }
        resumed == fold_all(&log)
    }
    check(11, property as fn(Vec<(u8, u8, u8)>, u8) -> bool);
}

#[test]
fn a_second_copy_of_a_record_that_took_effect_changes_nothing() {
    fn property(draws: Vec<(u8, u8, u8)>, place: u8, later: u8) -> bool {
        let mut bodies: Vec<RecordBody> = draws.iter().map(|draw| drawn_body(*draw)).collect();
        if bodies.is_empty() {
            return true;
        }
        let place = usize::from(place) % bodies.len();
        let copy_at = place + 1 + usize::from(later) % (bodies.len() - place);
        bodies.insert(copy_at, bodies[place].clone());
        let mut view = View::default();
        let mut verdicts = Vec::new();
        for (at, body) in bodies.into_iter().enumerate() {
            let before = view.clone();
            verdicts.push(view.fold(&entry(at as u64 + 1, body)));
            let unchanged = before.rows() == view.rows() && before.members() == view.members();
            if at == copy_at && verdicts[place] == Verdict::Accepted && !unchanged {
                return false;
            }
        }
        true
    }
    check(12, property as fn(Vec<(u8, u8, u8)>, u8, u8) -> bool);
}

#[test]
fn a_resent_table_change_is_never_accepted_twice() {
    // Arrange: a change whose answer was lost, and another change after it.
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

    // Act: the late second copy.
    let verdict = view.fold(&entry(3, first));

    // Assert: it is rejected, and the later change stands.
    assert!(matches!(verdict, Verdict::Raced { .. }));
    let domain = view.domain(&plantainnotch::ids::DomainName::new("rw-a"));
    assert_eq!(domain.map(|row| row.state), Some(ServiceState::In));
}

#[test]
fn row_versions_only_rise() {
    fn property(draws: Vec<(u8, u8, u8)>) -> bool {
        let mut view = View::default();
        let mut rises = true;
        for entry in drawn_log(&draws) {
            let before = view.clone();
            view.fold(&entry);
            for (key, row) in before.rows() {
                let now = view.rows().get(key);
                rises &= now.is_some_and(|now| now.version >= row.version);
            }
        }
        rises
    }
    check(13, property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn an_incarnation_that_went_never_comes_back() {
    fn property(draws: Vec<(u8, u8, u8)>) -> bool {
        let mut view = View::default();
        let mut gone: Vec<(plantainnotch::ids::VmName, u64)> = Vec::new();
        for entry in drawn_log(&draws) {
            let before = view.clone();
            view.fold(&entry);
            for (name, member) in before.members().iter() {
                let stands = view.members().get(name);
                if stands.is_none_or(|now| now.join.incarnation != member.join.incarnation) {
                    gone.push((name.clone(), member.join.incarnation));
                }
            }
            let returned = gone.iter().any(|(name, incarnation)| {
                let now = view.members().get(name);
                now.is_some_and(|now| now.join.incarnation <= *incarnation)
            });
            if returned {
                return false;
            }
        }
        true
    }
    check(14, property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn recent_changes_undo_to_the_members_that_stood_before() {
    fn property(draws: Vec<(u8, u8, u8)>) -> bool {
        let mut view = View::default();
        let mut befores = Vec::new();
        for entry in drawn_log(&draws) {
            let before = view.members().clone();
            view.fold(&entry);
            if view.members().last_change() != before.last_change() {
                befores.push((entry.offset, before));
            }
        }
        let kept = befores
            .len()
            .saturating_sub(plantainnotch::view::membership::MAX_KEPT_CHANGES);
        let recent = view.members().recent_changes();
        recent.len() == befores.len() - kept
            && recent.iter().zip(&befores[kept..]).all(|(undone, stood)| {
                let names = |table: &plantainnotch::view::membership::MemberTable| {
                    table
                        .iter()
                        .map(|(vm, m)| (vm.clone(), m.epoch))
                        .collect::<Vec<_>>()
                };
                undone.0 == stood.0 && names(&undone.1) == names(&stood.1)
            })
    }
    check(15, property as fn(Vec<(u8, u8, u8)>) -> bool);
}

fn approved(view: &View, team: &str, target: &str) -> bool {
    let name = TargetName::new(target);
    let row = view.target(&name).expect("the target stands");
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
    let by_stranger = view.fold(&entry(
        3,
        change(
            "op",
            approval_key("kigali", "app-0"),
            0,
            Some(approval_row(true)),
        ),
    ));
    let over_both = view.fold(&entry(
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
    assert!(matches!(by_stranger, Verdict::Refused { .. }));
    assert!(matches!(over_both, Verdict::Refused { .. }));
    assert_eq!(by_owner, Verdict::Accepted);
    assert!(approved(&view, "kigali", "app-0"));
    assert!(!approved(&view, "kigali", "app-1"));
}

#[test]
fn an_approval_ends_when_the_target_changes_hands() {
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

    // Act: a stranger may not take the target over, its owner may hand it on.
    let taken = view.fold(&entry(
        3,
        change(
            "thief",
            target_key("app-0"),
            1,
            Some(target_row("rw-a", "thief", 9)),
        ),
    ));
    let handed = view.fold(&entry(
        4,
        change(
            "owner",
            target_key("app-0"),
            1,
            Some(target_row("rw-a", "heir", 9)),
        ),
    ));

    // Assert
    assert!(matches!(taken, Verdict::Refused { .. }));
    assert_eq!(handed, Verdict::Accepted);
    assert!(!approved(&view, "kigali", "app-0"));
}

#[test]
fn a_cut_head_is_rebuilt_from_a_checkpoint_or_said_to_be_lost() {
    // Arrange: five records, a checkpoint as of the third, then one more.
    let mut log: Vec<LogEntry> =
        drawn_log(&[(0, 0, 1), (3, 1, 0), (4, 2, 0), (0, 1, 1), (3, 2, 0)]);
    let covered = fold_all(&log[..3]);
    log.push(entry(6, checkpoint::write(&covered).body));
    log.push(entry(7, drawn_body((0, 2, 1))));
    let whole = fold_all(&log);

    // Act
    let from_checkpoint = checkpoint::rebuild(Offset(4), &log[3..]);
    let without = checkpoint::rebuild(Offset(5), &log[4..]);

    // Assert
    assert_eq!(from_checkpoint, Ok(whole));
    assert_eq!(
        without,
        Err(checkpoint::RebuildError::HeadCut { head: Offset(5) })
    );
}

fn operator_row(key: &SecretKey) -> TableRow {
    TableRow::Operator(OperatorRow { key: key.public() })
}

fn signed(body: RecordBody, key: &SecretKey) -> RecordBody {
    let RecordBody::Table(mut change) = body else {
        unreachable!("the fixture makes a change");
    };
    change.signature = Some(key.sign(&change.author, &change.rows));
    RecordBody::Table(change)
}

#[test]
fn once_the_table_names_an_operator_every_change_is_signed_by_one() {
    // Arrange
    let (alice, mallory) = (SecretKey::random(), SecretKey::random());
    let named = change(
        "alice",
        operator_key("alice"),
        0,
        Some(operator_row(&alice)),
    );
    let mut view = view_of(vec![named]);
    let out = |author: &str| {
        change(
            author,
            domain_key("rw-a"),
            0,
            Some(domain_row(ServiceState::Out)),
        )
    };
    let swap = |author: &str| {
        change(
            author,
            operator_key("alice"),
            1,
            Some(operator_row(&mallory)),
        )
    };

    // Act
    let unsigned = view.fold(&entry(2, out("alice")));
    let forged = view.fold(&entry(3, signed(out("alice"), &mallory)));
    let stranger = view.fold(&entry(4, signed(out("mallory"), &mallory)));
    let own = view.fold(&entry(5, signed(out("alice"), &alice)));
    let added = change(
        "alice",
        operator_key("mallory"),
        0,
        Some(operator_row(&mallory)),
    );
    let added = view.fold(&entry(6, signed(added, &alice)));
    let taken = view.fold(&entry(7, signed(swap("mallory"), &mallory)));

    // Assert
    for verdict in [unsigned, forged, stranger, taken] {
        assert!(matches!(verdict, Verdict::Refused { .. }), "{verdict:?}");
    }
    assert_eq!((own, added), (Verdict::Accepted, Verdict::Accepted));
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
        unreachable!("the fixture makes a change");
    };
    change.rows[0].row = Some(domain_row(ServiceState::Out));
    let verdict = view.fold(&entry(2, RecordBody::Table(change)));
    assert!(matches!(verdict, Verdict::Refused { .. }));
}
