//! Membership and records over the hubs of failure domains, in a simulated network in which VMs
//! are killed, paused, restarted and cut off.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plantainnotch::fleet::members::{MemberRecord, MemberTable, OwnState, RosterScope};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::member;

const NONE: [usize; 0] = [];
const TICK: Duration = Duration::from_millis(10);
const START_SPREAD_MS: u64 = 300;
const FETCH_LIMIT: Duration = Duration::from_secs(2); // within which a record must be everywhere on the smallest deployments
const LOSS_LIMIT: Duration = Duration::from_secs(3); // within which a dead VM must leave the directory
const JOIN_LIMIT: Duration = Duration::from_secs(3);

/// One VM: its membership and the offset after its newest record.
struct SimulatedVm {
    table: MemberTable,
    end_offset: u64,
    behind_since: Option<Instant>,
    started_at: Instant,
    next_heartbeat: Instant,
    is_up: bool,
    is_paused: bool,
    is_leaving: bool,
}

impl SimulatedVm {
    fn fleet_age(&self, now: Instant) -> Duration {
        let running_for = now.saturating_duration_since(self.started_at);
        self.table.fleet_age(running_for, now)
    }
}

#[derive(Default)]
struct TrafficCount {
    heartbeats: usize,
    heartbeats_between_domains: usize,
    fetches_between_domains: usize,
    most_received_by_a_vm: usize,
}

/// A fleet whose calls take no time; calls to VMs that are down, paused or cut off fail.
struct SimulatedFleet {
    vms: Vec<SimulatedVm>,
    domains: u8,
    now: Instant,
    rng: StdRng,
    seeds: Vec<SocketAddr>,
    /// VMs that reach only the others of this set.
    cut_off: BTreeSet<usize>,
    traffic: TrafficCount,
    received: Vec<usize>,
}

impl SimulatedFleet {
    /// A fleet whose VMs start within 0.3 s, and know three seeds.
    fn start(count: u8, domains: u8, seed: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            vms: Vec::new(),
            domains,
            now,
            rng: StdRng::seed_from_u64(seed),
            seeds: (0..3)
                .map(|seed| member(seed, domains).peer_address)
                .collect(),
            cut_off: BTreeSet::new(),
            traffic: TrafficCount::default(),
            received: vec![0; usize::from(count)],
        };
        for number in 0..count {
            let vm = fleet.started_vm(number, 1);
            fleet.vms.push(vm);
        }
        fleet
    }

    fn started_vm(&mut self, number: u8, incarnation: u64) -> SimulatedVm {
        let own = MemberRecord {
            incarnation,
            is_settled: false,
            ..member(number, self.domains)
        };
        let delay = Duration::from_millis(self.rng.random_range(0..START_SPREAD_MS));
        SimulatedVm {
            table: MemberTable::new(own),
            end_offset: 0,
            behind_since: None,
            started_at: self.now + delay,
            next_heartbeat: self.now + delay,
            is_up: true,
            is_paused: false,
            is_leaving: false,
        }
    }

    fn restart(&mut self, index: usize) {
        let incarnation = self.vms[index].table.own().incarnation + 1;
        self.vms[index] = self.started_vm(index as u8, incarnation);
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for index in 0..self.vms.len() {
                let vm = &self.vms[index];
                if vm.is_up && !vm.is_paused && vm.next_heartbeat <= self.now {
                    self.send_heartbeats(index);
                }
            }
        }
    }

    fn send_heartbeats(&mut self, sender: usize) {
        let now = self.now;
        let vm = &mut self.vms[sender];
        let is_settled = vm
            .table
            .settles(now.saturating_duration_since(vm.started_at), now);
        vm.table.update_own(OwnState {
            ready: !vm.is_leaving,
            leaving: vm.is_leaving,
            store_reachable: true,
            is_settled,
            reaches_targets: true,
        });
        let table = &self.vms[sender].table;
        let tried = table.addresses_to_try(&self.seeds, &mut self.rng, now);
        let hubs = table.heartbeat_recipients(now);
        let addresses: BTreeSet<SocketAddr> = hubs
            .iter()
            .map(|hub| hub.peer_address)
            .chain(tried)
            .collect();
        for address in addresses {
            let Some(receiver) = self.vm_at(address).filter(|vm| self.reaches(sender, *vm)) else {
                let suspect = hubs.iter().find(|hub| hub.peer_address == address);
                if let Some(suspect) = suspect {
                    self.vms[sender].table.mark_suspect(&suspect.vm, now);
                }
                continue;
            };
            self.exchange_heartbeat(sender, receiver);
        }
        let interval = self.vms[sender].table.next_heartbeat_in(&hubs, now);
        let jitter = self.rng.random_range(0.8..1.2);
        self.vms[sender].next_heartbeat = now + interval.mul_f64(jitter);
    }

    fn exchange_heartbeat(&mut self, sender: usize, receiver: usize) {
        let now = self.now;
        let sender_record = self.vms[sender].table.own().clone();
        let receiver_record = self.vms[receiver].table.own().clone();
        let crosses = sender_record.domain != receiver_record.domain;
        self.traffic.heartbeats += 1;
        self.traffic.heartbeats_between_domains += usize::from(crosses);
        self.received[receiver] += 1;
        self.fetch_if_behind(receiver, sender);
        let sender_table = &self.vms[sender].table;
        let known_version =
            sender_table.known_roster_version(&receiver_record.vm, receiver_record.incarnation);
        let knows_no_peer = sender_table.knows_no_peer(now);
        let sender_age = self.vms[sender].fleet_age(now);
        let receiver_age = self.vms[receiver].fleet_age(now);
        let table = &mut self.vms[receiver].table;
        table.record_heartbeat(sender_record.clone(), now);
        table.record_fleet_age(sender_age, now);
        let scope = if crosses {
            RosterScope::Domain
        } else {
            RosterScope::Fleet
        };
        let roster = table.serve_roster(known_version, scope, now);
        let contacts = table.contacts_for(&sender_record, knows_no_peer, now);
        let table = &mut self.vms[sender].table;
        table.apply_roster(&receiver_record, roster, now);
        table.record_contacts(contacts, now);
        table.record_fleet_age(receiver_age, now);
        table.record_heartbeat(receiver_record, now);
        self.fetch_if_behind(sender, receiver);
    }

    fn fetch_if_behind(&mut self, reader: usize, other: usize) {
        let end_offset = self.vms[other].end_offset;
        if end_offset <= self.vms[reader].end_offset {
            return;
        }
        let now = self.now;
        let other_record = self.vms[other].table.own().clone();
        let vm = &mut self.vms[reader];
        let behind_for = now - *vm.behind_since.get_or_insert(now);
        if vm.table.may_fetch_from(&other_record, behind_for, now) {
            vm.end_offset = end_offset;
            vm.behind_since = None;
            let crosses = vm.table.own().domain != other_record.domain;
            self.traffic.fetches_between_domains += usize::from(crosses);
        }
    }

    fn vm_at(&self, address: SocketAddr) -> Option<usize> {
        self.vms
            .iter()
            .position(|vm| vm.table.own().peer_address == address)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_running = self.vms[to].is_up && !self.vms[to].is_paused;
        is_running && self.cut_off.contains(&from) == self.cut_off.contains(&to)
    }

    fn first_hub_of(&self, domain: &str) -> usize {
        let observer = self.running().next().expect("a VM runs");
        let hubs = self.vms[observer].table.hubs(self.now);
        let first = hubs
            .iter()
            .find(|(name, _)| name.as_str() == domain)
            .expect("a domain of the fleet");
        self.vm_at(first.1[0].peer_address)
            .expect("a VM of the fleet")
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.vms.len()).filter(|index| self.vms[*index].is_up && !self.vms[*index].is_paused)
    }

    /// VMs of `indices` that do not take exactly the VMs of `indices` as alive.
    fn disagreeing(&self, indices: &BTreeSet<usize>) -> Vec<usize> {
        let expected: BTreeSet<&str> = indices
            .iter()
            .map(|index| self.vms[*index].table.own().vm.as_str())
            .collect();
        let sees_others = |index: &&usize| {
            let live = self.vms[**index].table.live(self.now);
            live.iter()
                .map(|member| member.vm.as_str())
                .collect::<BTreeSet<&str>>()
                != expected
        };
        indices.iter().filter(sees_others).copied().collect()
    }

    fn lagging(&self, indices: &BTreeSet<usize>, end_offset: u64) -> Vec<usize> {
        indices
            .iter()
            .filter(|index| self.vms[**index].end_offset < end_offset)
            .copied()
            .collect()
    }

    fn start_counting(&mut self) {
        self.traffic = TrafficCount::default();
        self.received.fill(0);
    }

    fn counted(&mut self) -> &TrafficCount {
        self.traffic.most_received_by_a_vm = self.received.iter().copied().max().unwrap_or(0);
        &self.traffic
    }

    fn all(&self) -> BTreeSet<usize> {
        (0..self.vms.len()).collect()
    }

    fn in_domain(&self, domain: &str) -> BTreeSet<usize> {
        let is_there = |index: &usize| self.vms[*index].table.own().domain.as_str() == domain;
        (0..self.vms.len()).filter(is_there).collect()
    }
}

fn settled_fleet(count: u8, domains: u8, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::start(count, domains, seed);
    fleet.run_for(JOIN_LIMIT);
    fleet
}

#[test]
fn vms_that_start_together_find_each_other_in_fleets_of_any_size() {
    for (count, domains) in [(1, 1), (3, 3), (7, 3), (73, 3), (250, 5)] {
        let fleet = settled_fleet(count, domains, u64::from(count));

        assert_eq!(fleet.disagreeing(&fleet.all()), NONE, "at {count} VMs");
    }
}

/// A common start does not make each VM call each other one.
#[test]
fn a_common_start_takes_a_bounded_number_of_heartbeats() {
    let mut fleet = SimulatedFleet::start(195, 5, 1);

    fleet.run_for(Duration::from_secs(2));

    let heartbeats = fleet.counted().heartbeats;
    let rounds = 2_000 / 250 + 1; // at the shortest interval
    assert!(heartbeats <= 195 * rounds * 6, "{heartbeats} heartbeats");
}

#[test]
fn heartbeats_between_domains_depend_on_the_domains_not_on_the_vms() {
    let count_between = |count: u8| {
        let mut fleet = settled_fleet(count, 5, 7);
        fleet.start_counting();
        fleet.run_for(Duration::from_secs(10));
        fleet.counted().heartbeats_between_domains
    };

    let (small, large) = (count_between(20), count_between(200));

    assert!(large <= small, "{small} at 20 VMs, {large} at 200");
}

#[test]
fn a_hub_receives_a_bounded_number_of_heartbeats() {
    for count in [20, 100, 250] {
        let mut fleet = settled_fleet(count, 2, 8);
        fleet.start_counting();

        fleet.run_for(Duration::from_secs(10));

        let most = fleet.counted().most_received_by_a_vm;
        assert!(most <= 160 * 10, "{most} in 10 s at {count} VMs");
    }
}

#[test]
fn a_record_crosses_to_each_domain_about_once() {
    let mut fleet = settled_fleet(195, 5, 2);
    fleet.start_counting();
    let reader = fleet.first_hub_of("domain-1");

    fleet.vms[reader].end_offset = 10;
    fleet.run_for(FETCH_LIMIT);

    assert_eq!(fleet.lagging(&fleet.all(), 10), NONE);
    let crossings = fleet.counted().fetches_between_domains;
    assert!(crossings <= 2 * 4, "{crossings} fetches between domains");
}

/// What may happen to the first hub of a domain.
#[derive(Debug, Clone, Copy)]
enum HubFailure {
    Killed,
    Paused,
    CutOff,
    KilledWithItsSuccessor,
}

#[test]
fn records_and_losses_pass_a_failed_hub() {
    use HubFailure::{CutOff, Killed, KilledWithItsSuccessor, Paused};
    for failure in [Killed, Paused, CutOff, KilledWithItsSuccessor] {
        for seed in 0..4 {
            let mut fleet = settled_fleet(60, 3, seed);
            let hub = fleet.first_hub_of("domain-2");
            let mut lost = BTreeSet::from([hub]);
            match failure {
                Killed => fleet.vms[hub].is_up = false,
                Paused => fleet.vms[hub].is_paused = true,
                CutOff => fleet.cut_off = lost.clone(),
                KilledWithItsSuccessor => {
                    fleet.vms[hub].is_up = false;
                    let name = fleet.vms[hub].table.own().vm.clone();
                    let now = fleet.now;
                    let other = if hub == 2 { 5 } else { 2 };
                    fleet.vms[other].table.mark_suspect(&name, now);
                    let hubs = fleet.vms[other].table.hubs(now);
                    let second = hubs.values().nth(2).expect("three domains")[0].peer_address;
                    let second = fleet.vm_at(second).expect("a VM of the fleet");
                    fleet.vms[second].is_up = false;
                    lost.insert(second);
                }
            }
            let sound: BTreeSet<usize> = fleet.all().difference(&lost).copied().collect();
            let reader = fleet.first_hub_of("domain-0");
            assert!(!lost.contains(&reader));
            fleet.vms[reader].end_offset = 10;

            fleet.run_for(FETCH_LIMIT + Duration::from_secs(1));
            let lagging = fleet.lagging(&sound, 10);
            fleet.run_for(LOSS_LIMIT - FETCH_LIMIT);

            assert_eq!(lagging, NONE, "{failure:?}, seed {seed}");
            assert_eq!(fleet.disagreeing(&sound), NONE, "{failure:?}, seed {seed}");
        }
    }
}

#[test]
fn a_hub_that_was_paused_or_cut_off_serves_nothing_old() {
    for is_cut in [false, true] {
        let mut fleet = settled_fleet(60, 3, 5);
        let hub = fleet.first_hub_of("domain-2");
        let dead = *fleet
            .in_domain("domain-2")
            .iter()
            .find(|vm| **vm != hub)
            .expect("a VM");
        fleet.vms[hub].is_paused = !is_cut;
        if is_cut {
            fleet.cut_off = BTreeSet::from([hub]);
        }
        fleet.vms[dead].is_up = false;
        let reader = fleet.first_hub_of("domain-0");
        fleet.vms[reader].end_offset = 10;
        fleet.run_for(Duration::from_secs(5));

        fleet.vms[hub].is_paused = false;
        fleet.cut_off.clear();
        fleet.run_for(FETCH_LIMIT);

        let sound: BTreeSet<usize> = fleet.all().into_iter().filter(|vm| *vm != dead).collect();
        assert_eq!(fleet.lagging(&sound, 10), NONE, "cut: {is_cut}");
        assert_eq!(fleet.disagreeing(&sound), NONE, "cut: {is_cut}");
    }
}

#[test]
fn a_domain_that_is_cut_off_keeps_itself_and_rejoins() {
    for seed in 0..4 {
        let mut fleet = settled_fleet(60, 3, 10 + seed);
        let inside = fleet.in_domain("domain-1");
        let outside: BTreeSet<usize> = fleet.all().difference(&inside).copied().collect();
        fleet.cut_off = inside.clone();
        let reader = fleet.first_hub_of("domain-0");
        fleet.vms[reader].end_offset = 10;

        fleet.run_for(Duration::from_secs(15));
        let (split_inside, split_outside) =
            (fleet.disagreeing(&inside), fleet.disagreeing(&outside));
        fleet.cut_off.clear();
        fleet.run_for(Duration::from_secs(5));

        assert_eq!(split_inside, NONE, "seed {seed}");
        assert_eq!(split_outside, NONE, "seed {seed}");
        assert_eq!(fleet.disagreeing(&fleet.all()), NONE, "seed {seed}");
        assert_eq!(fleet.lagging(&fleet.all(), 10), NONE, "seed {seed}");
    }
}

#[test]
fn most_of_a_fleet_may_restart_at_once() {
    for seed in 0..2 {
        let mut fleet = settled_fleet(195, 5, 20 + seed);
        let reader = fleet.first_hub_of("domain-0");
        fleet.vms[reader].end_offset = 10;
        fleet.run_for(FETCH_LIMIT);
        let restarted: Vec<usize> = (0..195)
            .filter(|index| *index != reader && fleet.rng.random_bool(0.6))
            .collect();
        for index in &restarted {
            fleet.vms[*index].is_up = false;
        }
        fleet.run_for(Duration::from_secs(2));
        for index in &restarted {
            fleet.restart(*index);
        }

        fleet.run_for(JOIN_LIMIT);

        assert_eq!(fleet.disagreeing(&fleet.all()), NONE, "seed {seed}");
        assert_eq!(fleet.lagging(&fleet.all(), 10), NONE, "seed {seed}");
    }
}

/// While the VMs that restarted learn what runs, the others agree on an owner among themselves.
#[test]
fn a_leaving_vm_that_is_alone_in_its_domain_and_the_others_keep_sight_of_each_other() {
    for (count, leaving_count) in [(3, 1), (6, 2)] {
        let mut fleet = settled_fleet(count, 3, 11);
        let all = fleet.all();
        let leaving = fleet.in_domain("domain-0");
        let staying: BTreeSet<usize> = all.difference(&leaving).copied().collect();
        assert_eq!(leaving.len(), leaving_count);
        for index in &leaving {
            fleet.vms[*index].is_leaving = true;
            fleet.vms[*index].next_heartbeat = fleet.now;
        }

        for _ in 0..80 {
            fleet.run_for(Duration::from_millis(100));

            let disagreeing = fleet.disagreeing(&all);
            let staying_disagree = disagreeing.iter().any(|index| staying.contains(index));
            assert!(!staying_disagree, "{count} VMs: {disagreeing:?}");
            for index in &leaving {
                let table = &fleet.vms[*index].table;
                let live: Vec<&str> = table
                    .live(fleet.now)
                    .iter()
                    .map(|vm| vm.vm.as_str())
                    .collect();
                let lost: Vec<&usize> = staying
                    .iter()
                    .filter(|other| !live.contains(&fleet.vms[**other].table.own().vm.as_str()))
                    .collect();
                assert!(
                    lost.is_empty(),
                    "{count} VMs: {index} lost sight of {lost:?}"
                );
            }
        }
    }
}

#[test]
fn an_owner_that_restarts_is_replaced_by_one_that_all_agree_on() {
    let mut fleet = settled_fleet(60, 3, 40);
    let owner_of = |fleet: &SimulatedFleet, index: usize| {
        let coordinators = fleet.vms[index].table.coordinators(fleet.now);
        coordinators[0].vm.clone()
    };
    let first = owner_of(&fleet, 0);
    let owner = fleet
        .vms
        .iter()
        .position(|vm| vm.table.own().vm == first)
        .expect("a VM of the fleet");
    fleet.vms[owner].is_up = false;
    fleet.run_for(Duration::from_millis(500));
    fleet.restart(owner);

    fleet.run_for(Duration::from_millis(1_500));
    let meanwhile: BTreeSet<String> = (0..60)
        .map(|index| owner_of(&fleet, index).to_string())
        .collect();
    fleet.run_for(JOIN_LIMIT);

    assert_eq!(meanwhile.len(), 1, "{meanwhile:?}");
    assert!(!meanwhile.contains(first.as_str()));
    assert!((0..60).all(|index| owner_of(&fleet, index) == first));
}

/// Whatever happens, no VM's records go back within its lifetime, and all agree again soon after.
#[test]
fn the_fleet_agrees_again_after_random_failures() {
    for seed in 0..30 {
        let mut fleet = settled_fleet(40, 4, 100 + seed);
        let mut end_offset = 0;
        for _ in 0..12 {
            let index = fleet.rng.random_range(0..40);
            match fleet.rng.random_range(0..6) {
                0 => fleet.vms[index].is_up = false,
                1 => fleet.vms[index].is_paused = true,
                2 => fleet.cut_off = fleet.in_domain(&format!("domain-{}", index % 4)),
                3 => fleet.cut_off = BTreeSet::from([index]),
                4 => fleet.vms[index].is_paused = false,
                _ => fleet.cut_off.clear(),
            }
            end_offset += 1;
            let writer = fleet.running().next().expect("a VM runs");
            fleet.vms[writer].end_offset = end_offset;
            let before: Vec<u64> = fleet.vms.iter().map(|vm| vm.end_offset).collect();

            let time = fleet.rng.random_range(100..2_500);
            fleet.run_for(Duration::from_millis(time));

            let went_back = fleet
                .vms
                .iter()
                .zip(&before)
                .any(|(vm, then)| vm.end_offset < *then);
            assert!(!went_back, "seed {seed}");
        }
        fleet.cut_off.clear();
        for index in 0..40 {
            fleet.vms[index].is_paused = false;
            if !fleet.vms[index].is_up {
                fleet.restart(index);
            }
        }

        fleet.run_for(Duration::from_secs(5));

        assert_eq!(fleet.disagreeing(&fleet.all()), NONE, "seed {seed}");
        assert_eq!(fleet.lagging(&fleet.all(), end_offset), NONE, "seed {seed}");
    }
}
