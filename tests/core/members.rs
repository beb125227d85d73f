//! Who is alive, and who coordinates.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plantainnotch::fleet::members::{COORDINATORS, MemberRecord, MemberRoster, MemberTable};
use plantainnotch::ids::{DomainName, VmName};

use crate::fixtures::check;

const GONE_WITHIN: Duration = Duration::from_secs(3);
const LONGEST_JITTER: f64 = 1.2;

fn member(number: u8, domains: u8) -> MemberRecord {
    let address = |port: u16| SocketAddr::from(([10, 0, 0, number], port));
    MemberRecord {
        vm: VmName::new(format!("vm-{number}")),
        domain: DomainName::new(format!("domain-{}", number % domains)),
        peers: address(1),
        callers: address(2),
        incarnation: 1,
        cpu_share: 0.25,
        ready: true,
        leaving: false,
    }
}

/// A table of VM `own` that has heard all of `others`.
fn table(own: u8, others: &[u8], now: Instant) -> MemberTable {
    let mut table = MemberTable::new(member(own, 3));
    for other in others {
        table.hear(member(*other, 3), now);
    }
    table
}

fn names(members: &[MemberRecord]) -> Vec<String> {
    members.iter().map(|member| member.vm.to_string()).collect()
}

/// VMs that know the same others name the same coordinators in the same order.
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
fn coordinators_stand_in_different_domains() {
    let now = Instant::now();
    let table = table(0, &[1, 2, 3, 4, 5, 6], now);

    let coordinators = table.coordinators(now);

    let domains: BTreeSet<&DomainName> = coordinators.iter().map(|member| &member.domain).collect();
    assert_eq!(coordinators.len(), COORDINATORS);
    assert_eq!(domains.len(), COORDINATORS);
}

#[test]
fn large_vms_coordinate_first() {
    let now = Instant::now();
    let mut table = table(0, &[1, 2, 3, 4], now);
    let mut large = member(5, 3);
    large.cpu_share = 0.5;
    table.hear(large, now);

    assert_eq!(table.coordinators(now)[0].vm, VmName::new("vm-5"));
}

#[test]
fn a_silent_vm_is_dropped_in_time_at_any_fleet_size() {
    for others in [2_u8, 7, 87, 250] {
        let now = Instant::now();
        let all: Vec<u8> = (1..=others).collect();
        let mut table = table(0, &all, now);
        let later = now + GONE_WITHIN - Duration::from_millis(1);
        for other in all.iter().filter(|other| **other != 1) {
            table.hear(member(*other, 3), later);
        }

        let live = table.caller_addresses(later);

        assert!(!live.contains(&member(1, 3).callers), "of {others}");
        assert_eq!(live.len(), usize::from(others), "of {others}");
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
        table.set_own(false, true);
    } else {
        table.hear(leaving, now);
    }

    assert!(
        table
            .coordinators(now)
            .iter()
            .all(|member| member.vm != first.vm)
    );
    assert!(!table.caller_addresses(now).contains(&first.callers));
}

#[test]
fn a_suspect_is_passed_over_and_returns() {
    let now = Instant::now();
    let mut table = table(0, &[1, 2, 3], now);
    let first = table.coordinators(now)[0].vm.clone();

    table.suspect(&first, now);

    let passed_over = |at: Instant| {
        table
            .coordinators(at)
            .iter()
            .all(|member| member.vm != first)
    };
    assert!(passed_over(now));
    assert!(!passed_over(now + Duration::from_millis(1_100)));
}

#[test]
fn rosters_reach_vms_that_heard_nobody_themselves() {
    let now = Instant::now();
    let mut coordinator = table(0, &[1, 2, 3], now);
    let mut newcomer = MemberTable::new(member(9, 3));
    let roster = coordinator.served_roster(now).clone();
    let version = roster.version;

    newcomer.take_roster(coordinator.own(), Some(roster), now);

    assert_eq!(newcomer.live(now).len(), 5);
    assert_eq!(newcomer.roster_seen(&VmName::new("vm-0"), 1), version);
    assert_eq!(newcomer.roster_seen(&VmName::new("vm-0"), 2), 0);
    assert_eq!(newcomer.live(now + GONE_WITHIN).len(), 1);
}

/// A VM that knows the others from rosters only takes them as alive until the next beat.
#[test]
fn a_roster_holds_until_the_next_beat_at_any_fleet_size() {
    for others in [2_u8, 7, 87, 250] {
        let now = Instant::now();
        let mut table = table(0, &[], now);
        let roster = MemberRoster {
            version: 1,
            members: (1..=others).map(|other| member(other, 3)).collect(),
        };
        table.take_roster(&member(1, 3), Some(roster), now);
        let next_beat = now + table.beat_interval().mul_f64(LONGEST_JITTER);

        let live = table.live(next_beat).len();

        assert_eq!(live, 1 + usize::from(others), "of {others}");
    }
}

#[test]
fn the_directory_names_near_vms_first_when_it_must_choose() {
    let now = Instant::now();
    let all: Vec<u8> = (1..=86).collect();
    let table = table(0, &all, now);

    let named = table.nearest_addresses(Some("domain-1"), 10, now);

    assert_eq!(named.len(), 10);
    let near: BTreeSet<SocketAddr> = all
        .iter()
        .filter(|number| **number % 3 == 1)
        .map(|number| member(*number, 3).callers)
        .collect();
    assert!(named.iter().all(|address| near.contains(address)));
}
