//! A store that comes back from older copies, at any moment: nothing goes back on VMs that run, and
//! once operators and targets have written again, all VMs agree with them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use plantainnotch::fleet::catalog::{FleetCatalog, LOST_RECORD_GRACE};
use plantainnotch::fleet::feed::{KeyedItem, LogPosition, TopicSnapshot};
use plantainnotch::fleet::store_outage::LAPSE_GRACE;
use plantainnotch::ids::{DomainName, TargetName};
use serde_json::json;

use crate::catalog::{catalog, config, target};
use crate::fixtures::check;

const VM_COUNT: usize = 3;
const TARGET_COUNT: u64 = 3;
const DOMAIN: &str = "d";

/// One topic of a store; an empty value deletes its key.
#[derive(Debug, Clone, Default)]
struct SimulatedTopic {
    era: u64,
    log: Vec<(String, Option<Vec<u8>>)>,
}

impl SimulatedTopic {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.log.push((key.to_owned(), value));
    }

    fn restore(&mut self, copy: &Self) {
        self.log = copy.log.clone();
        self.era += 1;
    }

    fn items_from(&self, offset: u64) -> Vec<KeyedItem> {
        let records = self.log.iter().zip(0..).skip(offset as usize);
        records
            .map(|((key, value), offset)| KeyedItem {
                key: key.clone(),
                position: LogPosition::after(self.era, offset),
                value: value.clone(),
                lapsed: false,
                carried_over: false,
            })
            .collect()
    }

    fn snapshot(&self) -> TopicSnapshot {
        let newest: BTreeMap<String, KeyedItem> = self
            .items_from(0)
            .into_iter()
            .map(|item| (item.key.clone(), item))
            .collect();
        let live = newest.into_values().filter(|item| item.value.is_some());
        TopicSnapshot {
            items: live.collect(),
            end: LogPosition {
                era: self.era,
                next_offset: self.log.len() as u64,
            },
        }
    }
}

struct SimulatedVm {
    catalog: FleetCatalog,
    operators_read: Option<LogPosition>,
    targets_read: Option<LogPosition>,
}

/// Reads a topic once: a snapshot at first and after a change of era, else the records after it.
fn read(
    topic: &SimulatedTopic,
    read_up_to: &mut Option<LogPosition>,
    snapshot_items: impl FnOnce(TopicSnapshot) -> Vec<KeyedItem>,
) -> Vec<KeyedItem> {
    let snapshot = topic.snapshot();
    let after = read_up_to
        .filter(|after| after.era == topic.era && after.next_offset <= snapshot.end.next_offset);
    *read_up_to = Some(snapshot.end);
    match after {
        Some(after) => topic.items_from(after.next_offset),
        None => snapshot_items(snapshot),
    }
}

/// What operators and targets last wrote.
struct Truth {
    version: u64,
    out_of_service: bool,
    sequence: u64,
    left: BTreeSet<u64>,
}

struct Simulation {
    operators: SimulatedTopic,
    targets: SimulatedTopic,
    copies: Vec<(SimulatedTopic, SimulatedTopic)>,
    /// A snapshot that was read, and arrives late.
    late: Option<TopicSnapshot>,
    vms: Vec<SimulatedVm>,
    truth: Truth,
    now: Instant,
}

impl Simulation {
    fn new() -> Self {
        let vm = || SimulatedVm {
            catalog: catalog(),
            operators_read: None,
            targets_read: None,
        };
        let mut simulation = Self {
            operators: SimulatedTopic::default(),
            targets: SimulatedTopic::default(),
            copies: Vec::new(),
            late: None,
            vms: (0..VM_COUNT).map(|_| vm()).collect(),
            truth: Truth {
                version: 1,
                out_of_service: false,
                sequence: 1,
                left: BTreeSet::new(),
            },
            now: Instant::now(),
        };
        simulation.write_again();
        (0..VM_COUNT).for_each(|vm| simulation.read_store(vm));
        simulation
    }

    /// Operators and targets write what they last wrote.
    fn write_again(&mut self) {
        let config = config(self.truth.version).to_string().into_bytes();
        self.operators.write("config", Some(config));
        self.write_domain();
        (0..TARGET_COUNT).for_each(|index| self.write_target(index));
    }

    fn write_domain(&mut self) {
        let value = self.truth.out_of_service.then(|| b"{}".to_vec());
        self.operators.write(&format!("evacuate/{DOMAIN}"), value);
    }

    fn write_target(&mut self, index: u64) {
        self.truth.sequence += 1;
        let mut record = target("ready", 1);
        record["sequence"] = json!(self.truth.sequence);
        let is_alive = !self.truth.left.contains(&index);
        let value = is_alive.then(|| record.to_string().into_bytes());
        self.targets.write(&format!("i-{index}"), value);
    }

    fn step(&mut self, action: u8, choice: u8) {
        let vm = usize::from(choice) % VM_COUNT;
        match action % 10 {
            0 => {
                self.truth.version += 1;
                let config = config(self.truth.version).to_string().into_bytes();
                self.operators.write("config", Some(config));
            }
            1 => {
                self.truth.out_of_service = !self.truth.out_of_service;
                self.write_domain();
            }
            2 => self.write_target(u64::from(choice) % TARGET_COUNT),
            3 => {
                // One target stays, so that there is something to compare.
                let index = 1 + u64::from(choice) % (TARGET_COUNT - 1);
                self.truth.left.insert(index);
                self.write_target(index);
            }
            4 => self
                .copies
                .push((self.operators.clone(), self.targets.clone())),
            5 => {
                if let Some((operators, targets)) = self.copies.last() {
                    self.operators.restore(operators);
                    self.targets.restore(targets);
                }
            }
            6 => self.late = Some(self.operators.snapshot()),
            7 => {
                if let Some(late) = self.late.take() {
                    let items = self.vms[vm].catalog.reconcile_operators(late);
                    self.vms[vm].catalog.apply_operator_items(&items);
                }
            }
            8 => self.read_store(vm),
            _ => self.relay((vm + 1) % VM_COUNT, vm),
        }
    }

    fn read_store(&mut self, vm: usize) {
        let now = self.now;
        let vm = &mut self.vms[vm];
        let items = read(&self.operators, &mut vm.operators_read, |snapshot| {
            vm.catalog.reconcile_operators(snapshot)
        });
        vm.catalog.apply_operator_items(&items);
        let starts_era = self.targets.era > vm.catalog.target_feed.end().era;
        let mut items = read(&self.targets, &mut vm.targets_read, |mut snapshot| {
            let items = snapshot.items.iter_mut();
            items.for_each(|item| item.carried_over = starts_era);
            vm.catalog.reconcile_targets(snapshot)
        });
        for item in &mut items {
            item.lapsed &= starts_era;
        }
        let retain_until = starts_era.then(|| now + LAPSE_GRACE);
        vm.catalog.apply_target_items(&items, now, retain_until);
    }

    fn relay(&mut self, from: usize, to: usize) {
        let known = &self.vms[to].catalog;
        let (operators_after, targets_after) = (known.operator_feed.end(), known.target_feed.end());
        let sent = &self.vms[from].catalog;
        let operators = TopicSnapshot {
            items: sent.operator_feed.items_after(operators_after),
            end: sent.operator_feed.end(),
        };
        let targets = TopicSnapshot {
            items: sent.target_feed.items_after(targets_after),
            end: sent.target_feed.end(),
        };
        let retain_until = Some(self.now + LAPSE_GRACE);
        let catalog = &mut self.vms[to].catalog;
        let items = if operators.end.era > operators_after.era {
            catalog.reconcile_operators(operators)
        } else {
            operators.items
        };
        catalog.apply_operator_items(&items);
        let items = if targets.end.era > targets_after.era {
            catalog.reconcile_targets(targets)
        } else {
            targets.items
        };
        catalog.apply_target_items(&items, self.now, retain_until);
    }

    fn usable(&self, vm: usize) -> Vec<u64> {
        let usable = |index: &u64| {
            let name = TargetName::new(format!("i-{index}"));
            self.vms[vm].catalog.target(&name).is_some()
        };
        (0..TARGET_COUNT).filter(usable).collect()
    }

    fn version(&self, vm: usize) -> u64 {
        let table = self.vms[vm].catalog.table();
        table.map_or(0, |table| table.version)
    }
}

/// Versions in force and removed targets never go back on a VM, whatever it reads or is sent, and
/// in whatever order.
#[test]
fn nothing_in_force_goes_back_when_the_store_comes_back_older() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut simulation = Simulation::new();
        for (action, choice) in steps {
            let before: Vec<(u64, Vec<u64>)> = (0..VM_COUNT)
                .map(|vm| (simulation.version(vm), simulation.usable(vm)))
                .collect();
            let left = simulation.truth.left.clone();
            simulation.step(action, choice);
            for (vm, (version, usable)) in before.into_iter().enumerate() {
                let resurrected = simulation
                    .usable(vm)
                    .into_iter()
                    .any(|index| left.contains(&index) && !usable.contains(&index));
                if simulation.version(vm) < version || resurrected {
                    return false;
                }
            }
        }
        true
    }
    check(61, property as fn(Vec<(u8, u8)>) -> bool);
}

/// Once operators and targets have written again, every VM that reads the store, or is fed by one
/// that does, has what they wrote.
#[test]
fn all_vms_agree_with_the_store_once_it_has_been_written_again() {
    fn property(steps: Vec<(u8, u8)>, fed: bool) -> bool {
        let mut simulation = Simulation::new();
        for (action, choice) in steps {
            simulation.step(action, choice);
        }
        simulation.read_store(0);
        simulation.write_again();
        simulation.read_store(0);
        for vm in 1..VM_COUNT {
            if fed {
                simulation.relay(0, vm);
            } else {
                simulation.read_store(vm);
            }
        }
        let later = simulation.now + LOST_RECORD_GRACE.max(LAPSE_GRACE);
        let alive: Vec<u64> = (0..TARGET_COUNT)
            .filter(|index| !simulation.truth.left.contains(index))
            .collect();
        let now = simulation.now;
        (0..VM_COUNT).all(|vm| {
            simulation.vms[vm].catalog.restore_lost_domains(now);
            simulation.vms[vm].catalog.restore_lost_domains(later);
            simulation.vms[vm].catalog.remove_lapsed(later);
            let in_service = simulation.vms[vm]
                .catalog
                .in_service(&DomainName::new(DOMAIN));
            simulation.version(vm) == simulation.truth.version
                && in_service != simulation.truth.out_of_service
                && simulation.usable(vm) == alive
        })
    }
    check(62, property as fn(Vec<(u8, u8)>, bool) -> bool);
}

/// A domain that was taken out of service in the lost seconds stays out until it is written again.
#[test]
fn a_domain_out_of_service_stays_out_when_the_copy_lacks_its_record() {
    let mut simulation = Simulation::new();
    simulation.step(4, 0);
    simulation.step(1, 0);
    simulation.read_store(0);

    simulation.step(5, 0);
    simulation.read_store(0);
    simulation.step(0, 0);
    simulation.read_store(0);
    simulation.vms[0].operators_read = None;
    simulation.read_store(0);
    let in_service = simulation.vms[0]
        .catalog
        .in_service(&DomainName::new(DOMAIN));
    simulation.step(1, 0);
    simulation.read_store(0);

    assert!(!in_service);
    assert!(
        simulation.vms[0]
            .catalog
            .in_service(&DomainName::new(DOMAIN))
    );
}

#[test]
fn records_of_an_earlier_era_are_ignored_also_for_unknown_keys() {
    let mut simulation = Simulation::new();
    let mut late = simulation.targets.snapshot().items.remove(0);
    late.key = "i-9".to_owned();
    simulation.step(4, 0);
    simulation.step(5, 0);
    simulation.read_store(0);

    let now = simulation.now;
    let changes = simulation.vms[0]
        .catalog
        .apply_target_items(&[late], now, None);

    assert!(changes.is_empty(), "{changes:?}");
}
