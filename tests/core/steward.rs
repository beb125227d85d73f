//! A steward decides only while it is fresh, the owner, and its ownership in force.

use std::time::{Duration, Instant};

use plantainnotch::ids::{Offset, TeamName};
use plantainnotch::logstore::log::LogRead;
use plantainnotch::policy::placement::PlacementPolicy;
use plantainnotch::steward::core::StewardCore;
use plantainnotch::view::record::LogEntry;
use plantainnotch::wire::PeerReply;
use plantainnotch::wire::hot::BeatMessage;
use plantainnotch::wire::message::{RelayedReport, StewardRefusal};

use crate::fixtures::*;

const DEADLINE: Duration = Duration::from_secs(30);

fn read_of(entries: Vec<LogEntry>) -> LogRead {
    let end = entries.last().map_or(Offset(0), |entry| entry.offset);
    LogRead {
        head: Offset(1),
        end,
        entries,
    }
}

fn steward(number: usize) -> StewardCore {
    let mut core = StewardCore::new(vm(number), PlacementPolicy::Lanes).expect("charts are good");
    core.set_incarnation(1);
    core
}

fn beat_of(number: usize, offset: u64, fresh_age_ms: Option<u64>) -> BeatMessage {
    BeatMessage {
        vm: vm(number),
        incarnation: 1,
        offset: Offset(offset),
        fresh_age_ms,
        log_unreachable: false,
    }
}

/// Teams of which exactly one of the two stewards can be the owner.
fn team(number: usize) -> TeamName {
    TeamName::new(format!("team-{number}"))
}

fn table(teams: usize, first_offset: u64) -> Vec<LogEntry> {
    (0..teams)
        .map(|number| {
            let key = team_key(&format!("team-{number}"));
            let row = team_row(&format!("key-{number}"), 1, 100);
            entry(
                first_offset + number as u64,
                change("op", key, 0, Some(row)),
            )
        })
        .collect()
}

fn refusal(reply: &PeerReply) -> Option<StewardRefusal> {
    match reply {
        PeerReply::Refused { refusal, .. } => Some(*refusal),
        _ => None,
    }
}

#[test]
fn the_first_member_grants_at_once_and_stops_when_its_view_is_stale() {
    let now = Instant::now();
    let mut core = steward(0);
    let mut entries = vec![entry(1, join(0, 1))];
    entries.extend(table(1, 2));
    core.log_answered(&read_of(entries), now, now)
        .expect("nothing was cut");
    let fresh = core.acquire_team(&team(0), 10, DEADLINE, now + seconds(1.9));
    let stale = core.acquire_team(&team(0), 10, DEADLINE, now + seconds(2.0));
    assert!(matches!(fresh, PeerReply::TeamGranted { .. }));
    assert_eq!(refusal(&stale), Some(StewardRefusal::Stale));
}

#[test]
fn a_second_member_waits_until_its_ownership_is_in_force() {
    // Arrange: both members know of both; vm-1 owns some of the teams since it joined.
    let now = Instant::now();
    let mut core = steward(1);
    let mut entries = vec![entry(1, join(0, 1)), entry(2, join(1, 1))];
    entries.extend(table(8, 3));
    core.log_answered(&read_of(entries.clone()), now, now)
        .expect("nothing was cut");

    // Act
    let mut ask_all = |at: Instant, ack: bool| {
        core.log_answered(&read_of(entries.clone()), at, at)
            .expect("nothing was cut");
        if ack {
            core.peer_answered(&beat_of(0, 10, None), vec![], &[], at, at);
        }
        let replies = (0..8).map(|number| core.acquire_team(&team(number), 10, DEADLINE, at));
        replies.collect::<Vec<_>>()
    };
    let unacknowledged = ask_all(now + seconds(60.0), false);
    let acknowledged = ask_all(now + seconds(61.0), true);
    let too_soon = ask_all(now + seconds(64.4), true);
    let in_force = ask_all(now + seconds(64.6), true);

    // Assert
    let granted = |replies: &[PeerReply]| {
        let grants = replies
            .iter()
            .filter(|reply| matches!(reply, PeerReply::TeamGranted { .. }));
        grants.count()
    };
    assert_eq!(granted(&unacknowledged), 0);
    assert_eq!(granted(&acknowledged), 0);
    assert_eq!(granted(&too_soon), 0);
    assert!(granted(&in_force) > 0);
}

#[test]
fn an_evicted_steward_grants_nothing_once_it_knows() {
    let now = Instant::now();
    let mut core = steward(0);
    let mut entries = vec![entry(1, join(0, 1))];
    entries.extend(table(1, 2));
    entries.push(entry(3, evict(0, 1)));
    core.log_answered(&read_of(entries), now, now)
        .expect("nothing was cut");
    let reply = core.acquire_team(&team(0), 10, DEADLINE, now);
    assert_eq!(refusal(&reply), Some(StewardRefusal::NotOwner));
    assert!(!core.is_member());
}

#[test]
fn a_delayed_heartbeat_does_not_make_a_stale_view_fresh() {
    // Arrange: the view was confirmed long ago.
    let now = Instant::now();
    let mut core = steward(0);
    core.log_answered(
        &read_of(vec![entry(1, join(0, 1)), entry(2, join(1, 1))]),
        now,
        now,
    )
    .expect("nothing was cut");
    let later = now + seconds(60.0);

    // Act: a peer's heartbeat, sent long ago, arrives; then the answer to one of ours.
    core.peer_told(&beat_of(1, 2, Some(10)), vec![], &[], later);
    let after_heartbeat = core.is_fresh(later);
    core.peer_answered(&beat_of(1, 2, Some(10)), vec![], &[], later, later);
    let after_answer = core.is_fresh(later);

    // Assert
    assert!(!after_heartbeat);
    assert!(after_answer);
}

#[test]
fn a_ceiling_is_never_exceeded() {
    fn property(amounts: Vec<u8>) -> bool {
        let now = Instant::now();
        let mut core = steward(0);
        let mut entries = vec![entry(1, join(0, 1))];
        entries.extend(table(1, 2));
        core.log_answered(&read_of(entries), now, now)
            .expect("nothing was cut");
        let granted = amounts.iter().filter(|amount| {
            let amount = u64::from(**amount) % 60;
            let reply = core.acquire_team(&team(0), amount, DEADLINE, now);
            matches!(reply, PeerReply::TeamGranted { .. })
        });
        granted.map(|amount| u64::from(*amount) % 60).sum::<u64>() <= 100
    }
    check(71, property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_cut_head_is_noticed() {
    let now = Instant::now();
    let mut core = steward(0);
    let read = LogRead {
        head: Offset(5),
        end: Offset(5),
        entries: vec![entry(5, join(0, 1))],
    };
    assert!(core.log_answered(&read, now, now).is_err());
    assert_eq!(core.view().offset(), Offset(0));
}

fn relayed(number: usize, offset: u64, age_ms: u64) -> RelayedReport {
    RelayedReport {
        vm: vm(number),
        offset: Offset(offset),
        log_unreachable: true,
        age_ms,
    }
}

/// A member of five that hears one neighbour only, the log being out.
fn cut_member(now: Instant) -> StewardCore {
    let mut core = steward(0);
    let joins = (0..5)
        .map(|number| entry(number as u64 + 1, join(number, 1)))
        .collect();
    core.log_answered(&read_of(joins), now, now)
        .expect("nothing was cut");
    core.set_log_unreachable(true);
    core
}

#[test]
fn relayed_reports_make_a_majority_in_an_outage_as_long_as_they_are_young() {
    let start = Instant::now();
    let now = start + seconds(60.0);
    let beat = BeatMessage {
        log_unreachable: true,
        ..beat_of(1, 5, None)
    };
    let fresh = |reports: &[RelayedReport]| {
        let mut core = cut_member(start);
        core.peer_answered(&beat, vec![], reports, now, now);
        core.is_fresh(now)
    };
    assert!(!fresh(&[]), "two of five are no majority");
    assert!(fresh(&[relayed(2, 5, 1_500)]));
    assert!(!fresh(&[relayed(2, 5, 2_100)]), "the report is old");
    assert!(!fresh(&[relayed(2, 6, 10)]), "the other knows more");
    assert!(!fresh(&[relayed(9, 5, 10)]), "a stranger does not count");
}

#[test]
fn what_was_heard_is_relayed_only_while_it_matters() {
    // Arrange: a lone member has no change that is not in force.
    let now = Instant::now();
    let mut settled = steward(0);
    settled
        .log_answered(&read_of(vec![entry(1, join(0, 1))]), now, now)
        .expect("nothing was cut");
    let mut cut = cut_member(now);
    let beat = beat_of(1, 5, None);

    // Act
    settled.peer_answered(&beat, vec![], &[], now, now);
    cut.peer_answered(&beat, vec![], &[], now, now);

    // Assert
    assert!(settled.relayed(now).is_empty());
    assert_eq!(cut.relayed(now).len(), 1);
}
