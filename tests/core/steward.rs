//! A steward decides only while its view is fresh and its ownership is in force.

use std::time::{Duration, Instant};

use plantainnotch::ids::{Offset, TeamName};
use plantainnotch::logstore::log::LogRead;
use plantainnotch::policy::placement::PlacementPolicy;
use plantainnotch::steward::core::StewardCore;
use plantainnotch::view::record::LogEntry;
use plantainnotch::wire::PeerReply;
use plantainnotch::wire::hot::HeartbeatMessage;
use plantainnotch::wire::message::{RelayedReport, StewardRefusal};

use crate::fixtures::*;

const TIME_LEFT: Duration = Duration::from_secs(30);

fn read_of(entries: Vec<LogEntry>) -> LogRead {
    let end = entries.last().map_or(Offset(0), |entry| entry.offset);
    LogRead {
        head: Offset(1),
        end,
        entries,
    }
}

fn steward(number: usize) -> StewardCore {
    let mut core =
        StewardCore::new(vm(number), PlacementPolicy::Lanes).expect("the charts are valid");
    core.set_incarnation(1);
    core
}

fn heartbeat_of(number: usize, offset: u64, fresh_age_ms: Option<u64>) -> HeartbeatMessage {
    HeartbeatMessage {
        vm: vm(number),
        incarnation: 1,
        offset: Offset(offset),
        fresh_age_ms,
        log_unreachable: false,
    }
}

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
    core.apply_log_read(&read_of(entries), now, now)
        .expect("no records are missing");
    let fresh = core.reserve_team_tokens(&team(0), 10, TIME_LEFT, now + seconds(1.9));
    let stale = core.reserve_team_tokens(&team(0), 10, TIME_LEFT, now + seconds(2.0));
    assert!(matches!(fresh, PeerReply::TeamGranted { .. }));
    assert_eq!(refusal(&stale), Some(StewardRefusal::Stale));
}

#[test]
fn a_second_member_waits_until_its_ownership_is_in_force() {
    // Arrange: vm-1 joins second, and from then on owns some of the teams.
    let now = Instant::now();
    let mut core = steward(1);
    let mut entries = vec![entry(1, join(0, 1)), entry(2, join(1, 1))];
    entries.extend(table(8, 3));
    core.apply_log_read(&read_of(entries.clone()), now, now)
        .expect("no records are missing");

    // Act
    let mut acquire_all = |at: Instant, acknowledge: bool| {
        core.apply_log_read(&read_of(entries.clone()), at, at)
            .expect("no records are missing");
        if acknowledge {
            core.record_heartbeat_reply(&heartbeat_of(0, 10, None), vec![], &[], at, at);
        }
        let replies =
            (0..8).map(|number| core.reserve_team_tokens(&team(number), 10, TIME_LEFT, at));
        replies.collect::<Vec<_>>()
    };
    let unacknowledged = acquire_all(now + seconds(60.0), false);
    let acknowledged = acquire_all(now + seconds(61.0), true);
    let too_soon = acquire_all(now + seconds(64.4), true);
    let in_force = acquire_all(now + seconds(64.6), true);

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
    core.apply_log_read(&read_of(entries), now, now)
        .expect("no records are missing");
    let reply = core.reserve_team_tokens(&team(0), 10, TIME_LEFT, now);
    assert_eq!(refusal(&reply), Some(StewardRefusal::NotOwner));
    assert!(!core.is_member());
}

#[test]
fn a_delayed_heartbeat_does_not_make_a_stale_view_fresh() {
    // Arrange: the view was confirmed 60 seconds ago.
    let now = Instant::now();
    let mut core = steward(0);
    core.apply_log_read(
        &read_of(vec![entry(1, join(0, 1)), entry(2, join(1, 1))]),
        now,
        now,
    )
    .expect("no records are missing");
    let later = now + seconds(60.0);

    // Act: a delayed heartbeat of a peer arrives, then the reply to a heartbeat of this member.
    core.record_heartbeat(&heartbeat_of(1, 2, Some(10)), vec![], &[], later);
    let after_heartbeat = core.is_fresh(later);
    core.record_heartbeat_reply(&heartbeat_of(1, 2, Some(10)), vec![], &[], later, later);
    let after_reply = core.is_fresh(later);

    // Assert
    assert!(!after_heartbeat);
    assert!(after_reply);
}

#[test]
fn a_ceiling_is_never_exceeded() {
    fn property(token_counts: Vec<u8>) -> bool {
        let now = Instant::now();
        let mut core = steward(0);
        let mut entries = vec![entry(1, join(0, 1))];
        entries.extend(table(1, 2));
        core.apply_log_read(&read_of(entries), now, now)
            .expect("no records are missing");
        let granted = token_counts.iter().filter(|tokens| {
            let tokens = u64::from(**tokens) % 60;
            let reply = core.reserve_team_tokens(&team(0), tokens, TIME_LEFT, now);
            matches!(reply, PeerReply::TeamGranted { .. })
        });
        granted.map(|tokens| u64::from(*tokens) % 60).sum::<u64>() <= 100
    }
    check(71, property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_truncated_log_is_detected() {
    let now = Instant::now();
    let mut core = steward(0);
    let read = LogRead {
        head: Offset(5),
        end: Offset(5),
        entries: vec![entry(5, join(0, 1))],
    };
    assert!(core.apply_log_read(&read, now, now).is_err());
    assert_eq!(core.view().offset(), Offset(0));
}

fn relayed_report(number: usize, offset: u64, age_ms: u64) -> RelayedReport {
    RelayedReport {
        vm: vm(number),
        offset: Offset(offset),
        log_unreachable: true,
        age_ms,
    }
}

/// One of five members; the log is unreachable, and only one peer replies.
fn partitioned_member(now: Instant) -> StewardCore {
    let mut core = steward(0);
    let joins = (0..5)
        .map(|number| entry(number as u64 + 1, join(number, 1)))
        .collect();
    core.apply_log_read(&read_of(joins), now, now)
        .expect("no records are missing");
    core.set_log_unreachable(true);
    core
}

#[test]
fn recent_relayed_reports_make_a_majority_in_an_outage() {
    let start = Instant::now();
    let now = start + seconds(60.0);
    let heartbeat = HeartbeatMessage {
        log_unreachable: true,
        ..heartbeat_of(1, 5, None)
    };
    let fresh = |reports: &[RelayedReport]| {
        let mut core = partitioned_member(start);
        core.record_heartbeat_reply(&heartbeat, vec![], reports, now, now);
        core.is_fresh(now)
    };
    assert!(!fresh(&[]), "two of five are no majority");
    assert!(fresh(&[relayed_report(2, 5, 1_500)]));
    assert!(!fresh(&[relayed_report(2, 5, 2_100)]), "the report is old");
    assert!(
        !fresh(&[relayed_report(2, 6, 10)]),
        "the other has newer records"
    );
    assert!(
        !fresh(&[relayed_report(9, 5, 10)]),
        "a non-member does not count"
    );
}

#[test]
fn reports_are_relayed_only_while_a_majority_is_needed() {
    // Arrange: for a single member every membership change is in force.
    let now = Instant::now();
    let mut sole_member = steward(0);
    sole_member
        .apply_log_read(&read_of(vec![entry(1, join(0, 1))]), now, now)
        .expect("no records are missing");
    let mut partitioned = partitioned_member(now);
    let heartbeat = heartbeat_of(1, 5, None);

    // Act
    sole_member.record_heartbeat_reply(&heartbeat, vec![], &[], now, now);
    partitioned.record_heartbeat_reply(&heartbeat, vec![], &[], now, now);

    // Assert
    assert!(sole_member.relayed_reports(now).is_empty());
    assert_eq!(partitioned.relayed_reports(now).len(), 1);
}
