//! Membership: which VMs count as alive, and which of them coordinate.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plantainnotch::fleet::members::{
    COORDINATOR_COUNT, HUBS_PER_DOMAIN, MAX_READERS_TRIED, MemberRecord, MemberTable, OwnState,
    RosterScope, RosterUpdate,
};
use plantainnotch::ids::{DomainName, VmName};

use crate::fixtures::{check, member};

const DETECTION_LIMIT: Duration = Duration::from_secs(3);
const MAX_JITTER_FACTOR: f64 = 1.2;

/// Table of VM `own` with a heartbeat from each of `others`.
fn table(own: u8, others: &[u8], now: Instant) -> MemberTable {
    let mut table = MemberTable::new(member(own, 3));
    for other in others {
        table.record_heartbeat(member(*other, 3), now);
    }
    table
}

fn names(members: &[MemberRecord]) -> Vec<String> {
    members.iter().map(|member| member.vm.to_string()).collect()
}

/// VMs that know the same members derive the same coordinators in the same order.
#[test]
fn all_vms_agree_on_coordinators() {
    fn property(numbers: BTreeSet<u8>) -> bool {
        let now = Instant::now();
        let all: Vec<u8> = numbers.into_iter().collect();
        let views: BTreeSet<Vec<String>> = all
            .iter()
            .map(|own| {
                let others: Vec<u8> = all.iter().copied().filter(|other| other != own).collect();
                names(&table(*own, &others, now).coordinators(now))
            })
            .collect();
        views.len() <= 1
    }
    check(44, property as fn(BTreeSet<u8>) -> bool);
}

#[test]
fn coordinators_are_in_different_domains() {
    let now = Instant::now();
    let table = table(0, &[1, 2, 3, 4, 5, 6], now);

    let coordinators = table.coordinators(now);

    let domains: BTreeSet<&DomainName> = coordinators.iter().map(|member| &member.domain).collect();
    assert_eq!(coordinators.len(), COORDINATOR_COUNT);
    assert_eq!(domains.len(), COORDINATOR_COUNT);
}

#[test]
fn large_vms_coordinate_first() {
    let now = Instant::now();
    let mut table = table(0, &[1, 2, 3, 4], now);
    let mut large = member(5, 3);
    large.cpu_cores = 0.5;
    table.record_heartbeat(large, now);

    assert_eq!(table.coordinators(now)[0].vm, VmName::new("vm-5"));
}

#[test]
fn a_silent_vm_is_dropped_in_time_at_any_fleet_size() {
    for others in [2_u8, 7, 87, 250] {
        let now = Instant::now();
        let all: Vec<u8> = (1..=others).collect();
        let mut table = table(0, &all, now);
        let later = now + DETECTION_LIMIT - Duration::from_millis(1);
        for other in all.iter().filter(|other| **other != 1) {
            table.record_heartbeat(member(*other, 3), later);
        }

        let live = table.caller_addresses(later);

        assert!(
            !live.contains(&member(1, 3).caller_address),
            "at {others} others"
        );
        assert_eq!(live.len(), usize::from(others), "at {others} others");
        let served = table.serve_roster(0, RosterScope::Fleet, later).changed;
        assert!(served.iter().all(|member| member.vm != VmName::new("vm-1")));
    }
}

#[test]
fn a_leaving_vm_neither_coordinates_nor_takes_callers() {
    let now = Instant::now();
    let mut table = table(0, &[1, 2, 3], now);
    let first = table.coordinators(now)[0].clone();
    let leaving = MemberRecord {
        leaving: true,
        ready: false,
        ..first.clone()
    };
    if first.vm == VmName::new("vm-0") {
        table.update_own(OwnState {
            ready: false,
            leaving: true,
            store_reachable: true,
            is_settled: true,
            reaches_targets: true,
        });
    } else {
        table.record_heartbeat(leaving, now);
    }

    assert!(
        table
            .coordinators(now)
            .iter()
            .all(|member| member.vm != first.vm)
    );
    assert!(!table.caller_addresses(now).contains(&first.caller_address));
}

#[test]
fn a_suspect_vm_is_skipped_until_the_suspicion_ends() {
    let now = Instant::now();
    let mut table = table(0, &[1, 2, 3], now);
    let first = table.coordinators(now)[0].vm.clone();

    table.mark_suspect(&first, now);

    let skipped = |at: Instant| {
        table
            .coordinators(at)
            .iter()
            .all(|member| member.vm != first)
    };
    assert!(skipped(now));
    assert!(!skipped(now + Duration::from_millis(1_100)));
}

#[test]
fn a_roster_introduces_vms_that_sent_no_heartbeat() {
    let now = Instant::now();
    let mut coordinator = table(0, &[1, 2, 3], now);
    let mut joining_table = MemberTable::new(member(9, 3));
    let roster = coordinator.serve_roster(0, RosterScope::Fleet, now);
    let version = roster.version;

    joining_table.apply_roster(coordinator.own(), roster, now);

    assert_eq!(joining_table.live(now).len(), 5);
    assert_eq!(
        joining_table.known_roster_version(&VmName::new("vm-0"), 1),
        version
    );
    assert_eq!(
        joining_table.known_roster_version(&VmName::new("vm-0"), 2),
        0
    );
    assert_eq!(joining_table.live(now + DETECTION_LIMIT).len(), 1);
}

/// Members known only from a roster stay alive until the next heartbeat fetches a new one;
/// otherwise the view would shrink between two heartbeats.
#[test]
fn a_roster_is_valid_until_the_next_heartbeat_at_any_fleet_size() {
    for others in [2_u8, 7, 87, 250] {
        let now = Instant::now();
        let mut table = table(0, &[], now);
        let roster = RosterUpdate {
            base_version: 0,
            version: 1,
            changed: (1..=others).map(|other| member(other, 3)).collect(),
            removed: Vec::new(),
        };
        table.apply_roster(&member(1, 3), roster, now);
        let next_heartbeat = now + table.heartbeat_interval().mul_f64(MAX_JITTER_FACTOR);

        let live = table.live(next_heartbeat).len();

        assert_eq!(live, 1 + usize::from(others), "at {others} others");
    }
}

#[test]
fn the_directory_prefers_vms_of_the_callers_domain() {
    let now = Instant::now();
    let all: Vec<u8> = (1..=86).collect();
    let table = table(0, &all, now);

    let listed = table.nearest_addresses(Some("domain-1"), 10, now);

    assert_eq!(listed.len(), 10);
    let in_domain: BTreeSet<SocketAddr> = all
        .iter()
        .filter(|number| **number % 3 == 1)
        .map(|number| member(*number, 3).caller_address)
        .collect();
    assert!(listed.iter().all(|address| in_domain.contains(address)));
}

/// The newer of two records of a VM counts, whichever came first and over whichever way.
#[test]
fn an_older_record_of_a_vm_never_replaces_a_newer_one() {
    let now = Instant::now();
    let mut table = table(0, &[1], now);
    let leaving = MemberRecord {
        revision: 1,
        leaving: true,
        ..member(2, 3)
    };
    let roster = RosterUpdate {
        base_version: 0,
        version: 1,
        changed: vec![leaving],
        removed: Vec::new(),
    };

    table.apply_roster(&member(1, 3), roster, now);
    table.record_heartbeat(member(2, 3), now + Duration::from_millis(10));

    let address = member(2, 3).caller_address;
    assert!(!table.caller_addresses(now).contains(&address));
}

/// Applying the changes since any earlier version gives the same roster as fetching all of it.
#[test]
fn roster_changes_add_up_to_the_whole_roster() {
    fn property(rounds: Vec<(u8, bool, bool)>) -> bool {
        let start = Instant::now();
        let mut hub = MemberTable::new(member(0, 3));
        let mut reader = MemberTable::new(member(3, 3));
        let mut now = start;
        for (number, ready, fetches) in rounds {
            now += Duration::from_millis(400);
            let record = MemberRecord {
                ready,
                revision: (now - start).as_millis() as u32,
                ..member(1 + number % 8, 3)
            };
            hub.record_heartbeat(record, now);
            if fetches {
                let known = reader.known_roster_version(&hub.own().vm.clone(), 1);
                let update = hub.serve_roster(known, RosterScope::Fleet, now);
                reader.apply_roster(&hub.own().clone(), update, now);
            }
        }
        let known = reader.known_roster_version(&hub.own().vm.clone(), 1);
        let update = hub.serve_roster(known, RosterScope::Fleet, now);
        reader.apply_roster(&hub.own().clone(), update, now);
        let mut fresh_reader = MemberTable::new(member(3, 3));
        let whole = hub.serve_roster(0, RosterScope::Fleet, now);
        fresh_reader.apply_roster(&hub.own().clone(), whole, now);
        reader.live(now) == fresh_reader.live(now)
    }
    check(45, property as fn(Vec<(u8, bool, bool)>) -> bool);
}

#[test]
fn changes_to_an_unknown_version_are_fetched_whole() {
    let now = Instant::now();
    let mut reader = MemberTable::new(member(3, 3));
    let update = RosterUpdate {
        base_version: 7,
        version: 8,
        changed: vec![member(1, 3)],
        removed: Vec::new(),
    };

    reader.apply_roster(&member(0, 3), update, now);

    assert_eq!(reader.known_roster_version(&VmName::new("vm-0"), 1), 0);
    assert_eq!(reader.live(now).len(), 1);
}

/// Two hubs of a domain that served each other's entries would keep a dead VM alive for ever.
#[test]
fn hubs_of_a_domain_do_not_serve_each_others_entries() {
    let now = Instant::now();
    let mut first = table(0, &[6], now);
    let mut second = table(3, &[0], now);
    let served = first.serve_roster(0, RosterScope::Fleet, now);
    second.apply_roster(&member(0, 3), served, now);
    assert_eq!(
        second.live(now).len(),
        3,
        "the second hub knows vm-6 itself"
    );

    let served = second.serve_roster(0, RosterScope::Fleet, now);

    let names: Vec<&str> = served
        .changed
        .iter()
        .map(|member| member.vm.as_str())
        .collect();
    assert_eq!(names, ["vm-0", "vm-3"]);
}

#[test]
fn another_domain_gets_the_vms_of_the_hubs_domain_only() {
    let now = Instant::now();
    let mut hub = table(0, &[1, 2, 3, 6], now);

    let served = hub.serve_roster(0, RosterScope::Domain, now);

    let names: Vec<&str> = served
        .changed
        .iter()
        .map(|member| member.vm.as_str())
        .collect();
    assert_eq!(names, ["vm-0", "vm-3", "vm-6"]);
}

#[test]
fn only_hubs_send_heartbeats_to_other_domains() {
    let now = Instant::now();
    let all: Vec<u8> = (0..60).collect();
    for own in &all {
        let others: Vec<u8> = all.iter().copied().filter(|other| other != own).collect();
        let table = table(*own, &others, now);

        let recipients = table.heartbeat_recipients(now);

        let elsewhere = recipients
            .iter()
            .filter(|recipient| recipient.domain != table.own().domain)
            .count();
        assert_eq!(elsewhere, if table.is_hub(now) { 2 } else { 0 }, "vm-{own}");
        assert!(recipients.len() - elsewhere <= HUBS_PER_DOMAIN, "vm-{own}");
    }
}

/// Readers that the store turns away are replaced, and all of them together by a bounded number.
#[test]
fn vms_that_the_store_turns_away_are_replaced_as_readers() {
    let now = Instant::now();
    let all: Vec<u8> = (0..60).collect();
    let reader_count = |unreachable: &BTreeSet<u8>| {
        let record = |number: u8| MemberRecord {
            store_reachable: !unreachable.contains(&number),
            ..member(number, 3)
        };
        let readers = all.iter().filter(|own| {
            let mut table = MemberTable::new(record(**own));
            for other in all.iter().filter(|other| other != own) {
                table.record_heartbeat(record(*other), now);
            }
            table.reads_store(now)
        });
        readers.copied().collect::<BTreeSet<u8>>()
    };

    let first = reader_count(&BTreeSet::new());
    let second = reader_count(&first);
    let none_reachable = reader_count(&all.iter().copied().collect());

    assert_eq!(first.len(), COORDINATOR_COUNT);
    assert_eq!(second.len(), COORDINATOR_COUNT);
    assert!(first.is_disjoint(&second));
    assert_eq!(none_reachable, first);
    let mut tried = BTreeSet::new();
    for _ in 0..10 {
        tried.extend(reader_count(&tried.clone()));
    }
    assert_eq!(tried.len(), MAX_READERS_TRIED);
}

/// An owner of placement that restarts knows no requests, and would send new ones to engines that
/// are full.
#[test]
fn a_restarted_vm_takes_its_duties_back_only_once_it_is_settled() {
    let now = Instant::now();
    let all: Vec<u8> = (1..=30).collect();
    let mut table = table(0, &all, now);
    let owner = table.coordinators(now)[0].clone();
    let restarted = MemberRecord {
        incarnation: 2,
        is_settled: false,
        ..owner.clone()
    };

    table.record_heartbeat(restarted.clone(), now);

    let is_owner = |member: &MemberRecord| member.vm == owner.vm;
    assert!(!table.coordinators(now).iter().any(is_owner));
    let hubs = table.hubs(now);
    assert!(!hubs[&owner.domain].iter().any(|hub| is_owner(hub)));
    let informed = table.job_report_recipients(now);
    assert!(
        informed.iter().any(is_owner),
        "it learns of the requests meanwhile"
    );

    table.record_heartbeat(
        MemberRecord {
            is_settled: true,
            revision: 1,
            ..restarted
        },
        now,
    );

    assert!(is_owner(&table.coordinators(now)[0]));
}

#[test]
fn vms_of_a_fleet_that_starts_settle_together_and_a_joining_one_later() {
    let now = Instant::now();
    let (soon, late) = (Duration::from_millis(100), Duration::from_millis(2_600));
    let mut starting = MemberTable::new(member(0, 3));
    starting.record_fleet_age(Duration::from_millis(300), now);
    let mut joining = MemberTable::new(member(0, 3));
    joining.record_fleet_age(Duration::from_secs(60), now);
    let lone = MemberTable::new(member(0, 3));

    assert!(starting.settles(soon, now));
    assert!(!joining.settles(soon, now));
    assert!(joining.settles(late, now));
    assert!(!lone.settles(soon, now), "it may hear of a fleet yet");
    assert!(lone.settles(Duration::from_millis(1_100), now));
}

/// In a herd that restarts, a VM may hear of another young one first.
#[test]
fn a_vm_that_learns_of_an_older_fleet_is_not_settled_any_more() {
    let now = Instant::now();
    let running_for = Duration::from_millis(200);
    let mut joining = MemberTable::new(member(0, 3));
    joining.record_fleet_age(Duration::from_millis(150), now);
    assert!(joining.settles(running_for, now));

    joining.record_fleet_age(Duration::from_secs(60), now);
    joining.record_fleet_age(Duration::from_millis(150), now);

    assert!(!joining.settles(running_for, now));
}
