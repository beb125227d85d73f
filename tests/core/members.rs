//! Membership: which VMs count as alive, and which of them coordinate.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plantainnotch::fleet::members::{COORDINATOR_COUNT, MemberRecord, MemberRoster, MemberTable};
use plantainnotch::ids::{DomainName, VmName};

use crate::fixtures::check;

const DETECTION_LIMIT: Duration = Duration::from_secs(3);
const MAX_JITTER_FACTOR: f64 = 1.2;

fn member(number: u8, domains: u8) -> MemberRecord {
    let address = |port: u16| SocketAddr::from(([10, 0, 0, number], port));
    MemberRecord {
        vm: VmName::new(format!("vm-{number}")),
        domain: DomainName::new(format!("domain-{}", number % domains)),
        peer_address: address(1),
        caller_address: address(2),
        incarnation: 1,
        cpu_cores: 0.25,
        ready: true,
        leaving: false,
    }
}

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
        let served = &table.served_roster(later).members;
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
        table.update_own(false, true);
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
    let roster = coordinator.served_roster(now).clone();
    let version = roster.version;

    joining_table.apply_roster(coordinator.own(), Some(roster), now);

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
        let roster = MemberRoster {
            version: 1,
            members: (1..=others).map(|other| member(other, 3)).collect(),
        };
        table.apply_roster(&member(1, 3), Some(roster), now);
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
