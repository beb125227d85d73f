//! The catalog never goes back to an older record, from any source and in any order.

use std::time::Instant;

use plantainnotch::fleet::catalog::{CatalogChange, FleetCatalog, RecordDecoder};
use plantainnotch::fleet::feed::{KeyedItem, LogPosition};
use plantainnotch::fleet::store_outage::{LAPSE_GRACE, StoreOutage};
use plantainnotch::ids::{DomainName, TargetName};
use plantainnotch::platform::records::{decode_routes, decode_target, operator_record_kind};
use serde_json::{Value, json};

use crate::fixtures::check;

pub fn catalog() -> FleetCatalog {
    FleetCatalog::new(RecordDecoder {
        kind: operator_record_kind,
        routes: |value| Ok(decode_routes(value)?),
        target: |key, value| Ok(decode_target(key, value)?),
    })
}

pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "wide", "host": "H.example", "path_prefix": "/a/", "route_type": "safe",
             "timeout_ms": 800, "latency_target_ms": 150, "service": "s", "max_attempts": 2},
            {"name": "narrow", "host": "h.example", "path_prefix": "/a/b/",
             "route_type": "unsafe", "timeout_ms": 800, "latency_target_ms": 150,
             "backends": [{"service": "s", "weight": 90}], "max_attempts": 1},
        ],
        "services": [{"name": "s", "max_conns": 10}],
        "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team-a", "api_keys": ["k"], "priority": 1}],
    })
}

fn item(key: &str, offset: u64, value: &Value) -> KeyedItem {
    KeyedItem {
        key: key.to_owned(),
        position: LogPosition::after(0, offset),
        value: Some(value.to_string().into_bytes()),
        lapsed: false,
        carried_over: false,
    }
}

fn tombstone(key: &str, offset: u64) -> KeyedItem {
    KeyedItem {
        key: key.to_owned(),
        position: LogPosition::after(0, offset),
        value: None,
        lapsed: false,
        carried_over: false,
    }
}

fn lapsed(key: &str, offset: u64) -> KeyedItem {
    KeyedItem {
        lapsed: true,
        ..tombstone(key, offset)
    }
}

pub fn target(state: &str, born: u64) -> Value {
    json!({"service": "s", "address": "10.0.0.1:80", "zone": "d", "slots": 4,
        "state": state, "warmup_left_ms": 0, "sequence": born, "born": born})
}

fn usable(catalog: &FleetCatalog, now: Instant) -> usize {
    catalog.usable_targets("s", now).count()
}

#[test]
fn the_longest_prefix_of_a_host_wins() {
    let mut catalog = catalog();
    catalog.apply_operator_items(&[item("config", 1, &config(2))]);
    let table = catalog
        .table()
        .expect("a configuration is in force")
        .clone();

    let route_name = |path: &str| {
        table
            .find_route("h.example:8080", path)
            .map(|rule| rule.name.clone())
    };

    assert_eq!(route_name("/a/b/c").as_deref(), Some("narrow"));
    assert_eq!(route_name("/a/bc").as_deref(), Some("wide"));
    assert_eq!(route_name("/a").as_deref(), None);
    assert!(table.find_route("other.example", "/a/b/").is_none());
}

/// The version in force never decreases, in whatever order configurations arrive.
#[test]
fn versions_never_go_back() {
    fn property(arrivals: Vec<(u8, u8)>) -> bool {
        let mut catalog = catalog();
        let mut highest = 0;
        for (offset, version) in arrivals {
            let (offset, version) = (u64::from(offset), u64::from(version) + 1);
            catalog.apply_operator_items(&[item("config", offset, &config(version))]);
            let in_force = catalog.table().map_or(0, |table| table.version);
            if in_force < highest {
                return false;
            }
            highest = in_force;
        }
        true
    }
    check(42, property as fn(Vec<(u8, u8)>) -> bool);
}

/// Two nodes that received the same records hold the same targets, however the records were
/// divided between the store and peers, and even if some arrived twice.
#[test]
fn nodes_that_received_the_same_records_agree() {
    fn property(records: Vec<(u8, bool)>, split: u8) -> bool {
        let now = Instant::now();
        let items: Vec<KeyedItem> = records
            .iter()
            .enumerate()
            .map(|(offset, (name, alive))| {
                let key = format!("i-{}", name % 4);
                let offset = offset as u64;
                if *alive {
                    item(&key, offset, &target("ready", 1 + offset / 3))
                } else {
                    tombstone(&key, offset)
                }
            })
            .collect();
        let (mut direct, mut via_peer) = (catalog(), catalog());
        direct.apply_target_items(&items, now, None);
        let split = usize::from(split) % (items.len() + 1);
        via_peer.apply_target_items(&items[..split], now, None);
        let relayed = direct.target_feed.items_after(via_peer.target_feed.end());
        via_peer.apply_target_items(&relayed, now, None);
        via_peer.apply_target_items(&items[..split], now, None);
        (0..4).all(|name| {
            let name = TargetName::new(format!("i-{name}"));
            let seen = |catalog: &FleetCatalog| {
                catalog.target(&name).map(|target| target.record.started_ms)
            };
            seen(&direct) == seen(&via_peer)
        })
    }
    check(43, property as fn(Vec<(u8, bool)>, u8) -> bool);
}

#[test]
fn a_deleted_configuration_stays_in_force() {
    let mut catalog = catalog();
    catalog.apply_operator_items(&[item("config", 1, &config(2)), tombstone("config", 2)]);

    assert_eq!(catalog.table().map(|table| table.version), Some(2));
}

#[test]
fn unreadable_records_are_skipped_and_the_others_applied() {
    let now = Instant::now();
    let mut catalog = catalog();
    let wrong_address =
        json!({"service": "s", "address": 7, "zone": "d", "slots": 4, "state": "ready"});
    let unknown_state = target("resting", 1);

    let changes = catalog.apply_target_items(
        &[
            item("i-1", 1, &wrong_address),
            item("i-2", 2, &target("ready", 1)),
            item("i-3", 3, &unknown_state),
        ],
        now,
        None,
    );

    assert_eq!(usable(&catalog, now), 1);
    let unreadable = |change: &&CatalogChange| matches!(change, CatalogChange::Unreadable { .. });
    assert_eq!(changes.iter().filter(unreadable).count(), 2);
}

#[test]
fn domains_out_of_service_have_no_usable_targets() {
    let now = Instant::now();
    let mut catalog = catalog();
    catalog.apply_target_items(&[item("i-1", 1, &target("ready", 1))], now, None);

    catalog.apply_operator_items(&[item("evacuate/d", 1, &json!({}))]);
    let out = usable(&catalog, now);
    catalog.apply_operator_items(&[tombstone("evacuate/d", 2)]);

    assert_eq!(out, 0);
    assert!(catalog.in_service(&DomainName::new("d")));
    assert_eq!(usable(&catalog, now), 1);
}

#[test]
fn targets_lapse_in_a_store_outage_and_are_removed_after_the_grace() {
    let now = Instant::now();
    let mut catalog = catalog();
    catalog.apply_target_items(&[item("i-1", 1, &target("ready", 1))], now, None);

    catalog.apply_target_items(&[lapsed("i-1", 2)], now, Some(now + LAPSE_GRACE));

    assert_eq!(usable(&catalog, now + LAPSE_GRACE / 2), 1);
    assert_eq!(usable(&catalog, now + LAPSE_GRACE), 0);
    catalog.remove_lapsed(now + LAPSE_GRACE);
    assert!(catalog.target(&TargetName::new("i-1")).is_none());
}

#[test]
fn a_removal_that_a_sound_reader_saw_is_applied_at_once() {
    let now = Instant::now();
    let mut catalog = catalog();
    catalog.apply_target_items(&[item("i-1", 1, &target("ready", 1))], now, None);

    catalog.apply_target_items(&[tombstone("i-1", 2)], now, Some(now + LAPSE_GRACE));

    assert_eq!(usable(&catalog, now), 0);
}

#[test]
fn removals_count_as_lapses_during_an_outage_and_for_the_grace_after_it() {
    let now = Instant::now();
    let mut outage = StoreOutage::default();
    let before = outage.retain_until(now);
    outage.record_failure();
    let during = outage.retain_until(now);
    outage.record_success(now);
    outage.record_success(now + LAPSE_GRACE / 2);
    let after = outage.retain_until(now + LAPSE_GRACE / 2);

    assert_eq!(before, None);
    assert_eq!(during, Some(now + LAPSE_GRACE));
    assert_eq!(after, Some(now + LAPSE_GRACE));
    assert_eq!(outage.retain_until(now + LAPSE_GRACE), None);
}

#[test]
fn a_target_that_said_it_leaves_stays_out_until_it_starts_again() {
    let now = Instant::now();
    let mut catalog = catalog();
    let name = TargetName::new("i-1");
    catalog.apply_target_items(&[item("i-1", 1, &target("ready", 7))], now, None);

    let of_earlier_process = catalog.record_leaving(&name, 6);
    let news = catalog.record_leaving(&name, 7);
    let repeated = catalog.record_leaving(&name, 7);
    catalog.apply_target_items(&[item("i-1", 2, &target("ready", 7))], now, None);
    let same_process = usable(&catalog, now);
    catalog.apply_target_items(&[item("i-1", 3, &target("ready", 8))], now, None);

    assert_eq!(of_earlier_process, None);
    assert!(news.is_some());
    assert_eq!(repeated, None);
    assert_eq!(same_process, 0);
    assert_eq!(usable(&catalog, now), 1);
}

#[test]
fn draining_targets_do_not_lapse() {
    let now = Instant::now();
    let mut catalog = catalog();
    catalog.apply_target_items(&[item("i-1", 1, &target("draining", 1))], now, None);

    catalog.apply_target_items(&[lapsed("i-1", 2)], now, Some(now + LAPSE_GRACE));

    assert!(catalog.target(&TargetName::new("i-1")).is_none());
}

#[test]
fn records_that_change_nothing_are_not_relayed() {
    let now = Instant::now();
    let mut catalog = catalog();
    catalog.apply_target_items(&[item("i-1", 1, &target("ready", 1))], now, None);
    let end = catalog.target_feed.end();
    let mut republished = target("ready", 1);
    republished["sequence"] = json!(9);

    let changes = catalog.apply_target_items(&[item("i-1", 7, &republished)], now, None);

    assert!(changes.is_empty());
    assert_eq!(catalog.target_feed.end(), end);
    assert!(catalog.target_feed.items_after(end).is_empty());
}

#[test]
fn a_snapshot_deletes_missing_keys_but_not_later_records() {
    let now = Instant::now();
    let mut catalog = catalog();
    catalog.apply_target_items(
        &[
            item("i-1", 1, &target("ready", 1)),
            item("i-2", 9, &target("ready", 1)),
        ],
        now,
        None,
    );

    let missing = catalog
        .target_feed
        .tombstones_for(&[], LogPosition::after(0, 4));

    let keys: Vec<&str> = missing.iter().map(|item| item.key.as_str()).collect();
    assert_eq!(keys, ["i-1"]);
}
