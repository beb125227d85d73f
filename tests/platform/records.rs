//! Records of operators and targets: they take effect in time and are never reverted, also during
//! a store outage.

use std::time::Duration;

use serde_json::json;

use crate::support::bed::{TestBed, config, wait_until};
use crate::support::caller::{CallerRequest, send};
use crate::support::proxy::ProxyFault;
use crate::support::store::StoreMode;

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);
/// From the end of a store outage on, changes that were acknowledged since are due this late.
const STABLE_TIME: Duration = Duration::from_secs(3);
const DRAIN_TIME: Duration = Duration::from_secs(2);

pub fn with_route(version: u64, path: &str) -> serde_json::Value {
    let mut changed = config(version);
    let mut added = changed["routes"][0].clone();
    added["name"] = json!("added");
    added["path_prefix"] = json!(path);
    changed["routes"]
        .as_array_mut()
        .expect("routes are a list")
        .push(added);
    changed
}

pub fn status_of(bed: &TestBed, node: usize, path: &str) -> u16 {
    let request = CallerRequest::new("probe", "GET", path);
    send(bed.node_configs[node].callers, &request).map_or(0, |response| response.status)
}

#[test]
fn newer_configurations_take_effect_and_are_never_reverted() {
    let bed = TestBed::start(3);
    let mut without_key = with_route(5, "/added/");
    without_key["tenants"] = json!([{"name": "team-b", "api_keys": ["key-b"], "priority": 1}]);

    bed.put_config(&with_route(3, "/added/"));
    wait_until(IN_FORCE_TIMEOUT, "the added route is served", || {
        (0..3).all(|node| status_of(&bed, node, "/added/1") == 200)
    });
    bed.put_config(&without_key);
    wait_until(IN_FORCE_TIMEOUT, "the key is refused", || {
        (0..3).all(|node| status_of(&bed, node, "/added/1") == 401)
    });
    bed.put_config(&with_route(4, "/added/"));
    bed.store.compact("keyed.op");
    std::thread::sleep(Duration::from_millis(800));

    for node in 0..3 {
        assert_eq!(
            status_of(&bed, node, "/added/1"),
            401,
            "version 4 replaced version 5"
        );
    }
}

#[test]
fn a_node_cut_off_from_the_store_gets_records_from_peers() {
    let bed = TestBed::start(3);
    bed.store_proxies[1].set(ProxyFault::Silence);
    bed.store_proxies[2].set(ProxyFault::Reset);

    bed.put_config(&with_route(3, "/added/"));

    wait_until(IN_FORCE_TIMEOUT, "all nodes serve the added route", || {
        (0..3).all(|node| status_of(&bed, node, "/added/1") == 200)
    });
}

#[test]
fn requests_are_served_during_a_store_outage() {
    let bed = TestBed::start(2);
    for mode in [StoreMode::Silent, StoreMode::Busy] {
        bed.store.set_mode(mode);
        std::thread::sleep(Duration::from_millis(1_000));

        let response = bed.issue(0, &format!("away-{mode:?}")).expect("a response");

        assert_eq!(response.status, 200, "{mode:?}");
    }
}

#[test]
fn draining_and_removed_targets_get_no_new_requests() {
    let bed = TestBed::start(2);
    bed.put_target(3, "draining");
    bed.store.put("keyed.servers", "replica-1", b"");
    std::thread::sleep(Duration::from_millis(1_200));
    for request in 0..10 {
        let id = format!("drained-{request}");

        let response = bed.lookup(request % 2, &id).expect("a response");

        assert_eq!(response.status, 200);
        let runs = bed.runs(&id);
        assert!(runs.iter().all(|run| run.target == "replica-2"), "{runs:?}");
    }
}

#[test]
fn evacuated_domains_get_no_new_requests_until_restored() {
    let bed = TestBed::start(1);
    bed.store.put("keyed.op", "evacuate/domain-0", b"{}");
    bed.store.put("keyed.op", "evacuate/domain-1", b"{}");
    std::thread::sleep(Duration::from_millis(600));
    for request in 0..6 {
        let id = format!("out-{request}");
        let stream = bed.stream(&id, "/single/a");

        send(bed.node_configs[0].callers, &stream).expect("a response");

        assert_eq!(bed.runs(&id)[0].target, "engine-2");
    }

    bed.store.put("keyed.op", "evacuate/domain-0", b"");
    bed.store.put("keyed.op", "evacuate/domain-1", b"");

    wait_until(IN_FORCE_TIMEOUT, "other engines are used again", || {
        let id = format!("back-{}", bed.ledger().runs.len());
        send(bed.node_configs[0].callers, &bed.stream(&id, "/single/a"));
        bed.runs(&id).iter().any(|run| run.target != "engine-2")
    });
}

#[test]
fn targets_stay_usable_for_a_time_after_their_records_are_removed_in_a_store_outage() {
    let bed = TestBed::start(1);
    bed.store.set_mode(StoreMode::Busy);
    std::thread::sleep(Duration::from_millis(600));
    for index in 3..6 {
        let name = bed.target(index).id.clone();
        bed.store.put("keyed.servers", &name, b"");
    }
    bed.store.set_mode(StoreMode::Healthy);
    std::thread::sleep(Duration::from_millis(1_000));

    let response = bed.lookup(0, "lapsed").expect("a response");

    assert_eq!(
        response.status, 200,
        "targets were dropped with their removed records"
    );
    wait_until(
        Duration::from_secs(5),
        "targets without a renewed record are removed",
        || {
            bed.lookup(0, "gone")
                .is_some_and(|response| response.status == 503)
        },
    );
}

/// Lets the store fall silent just after all nodes have begun to wait for its next records.
fn silence_store(bed: &TestBed, silent_for: Duration) {
    bed.put_config(&config(2));
    bed.put_target(4, "draining");
    std::thread::sleep(Duration::from_millis(600));
    bed.store.set_mode(StoreMode::Silent);
    std::thread::sleep(silent_for);
    bed.store.set_mode(StoreMode::Healthy);
}

fn assert_change_in_force_when_stable(bed: &TestBed) {
    bed.put_config(&with_route(3, "/added/"));
    wait_until(STABLE_TIME, "all nodes serve the added route", || {
        (0..3).all(|node| status_of(bed, node, "/added/1") == 200)
    });
}

#[test]
fn a_change_is_in_force_once_the_store_is_stable_after_a_long_silence() {
    let bed = TestBed::start(3);

    silence_store(&bed, Duration::from_secs(8));

    assert_change_in_force_when_stable(&bed);
}

#[test]
fn a_change_is_in_force_once_the_store_is_stable_after_waiting_reads_were_lost() {
    let bed = TestBed::start(3);

    silence_store(&bed, Duration::from_millis(200));

    assert_change_in_force_when_stable(&bed);
}

#[test]
fn a_leaving_target_gets_no_requests_once_the_store_is_stable_after_a_silence() {
    let bed = TestBed::start(3);
    silence_store(&bed, Duration::from_secs(8));

    bed.put_target(3, "draining");
    std::thread::sleep(STABLE_TIME);

    assert_no_requests_reach(&bed, "replica-0", 30);
}

#[test]
fn a_removed_target_gets_no_requests_after_its_drain_time_while_the_store_turns_a_node_away() {
    let bed = TestBed::start(3);
    bed.store_proxies[1].set(ProxyFault::Reset);
    std::thread::sleep(Duration::from_millis(2_500));
    bed.put_target(4, "draining");
    std::thread::sleep(Duration::from_millis(50)); // the next read begins a batch delay later

    bed.store.put("keyed.servers", "replica-0", b"");
    std::thread::sleep(DRAIN_TIME);

    assert_no_requests_reach(&bed, "replica-0", 60);
}

#[test]
fn a_target_that_says_it_leaves_in_an_answer_gets_no_requests_after_its_drain_time() {
    let bed = TestBed::start(1);
    for index in [0, 3] {
        bed.target(index).announce_leaving();
    }
    for request in 0..12 {
        let id = format!("before-{request}");
        bed.lookup(0, &id);
        send(bed.node_configs[0].callers, &bed.stream(&id, "/single/a"));
    }
    let seen = |target: &str| {
        let ledger = bed.ledger();
        ledger
            .runs
            .iter()
            .filter(|run| run.target == target)
            .count()
    };
    assert!(
        seen("replica-0") > 0 && seen("engine-0") > 0,
        "both answered"
    );

    // The store's records still say that they are ready.
    bed.put_target(0, "ready");
    bed.put_target(3, "ready");
    std::thread::sleep(DRAIN_TIME);
    let before = (seen("replica-0"), seen("engine-0"));
    for request in 0..30 {
        let id = format!("after-{request}");
        bed.lookup(0, &id);
        send(bed.node_configs[0].callers, &bed.stream(&id, "/single/a"));
    }

    assert_eq!((seen("replica-0"), seen("engine-0")), before);
}

pub fn assert_no_requests_reach(bed: &TestBed, target: &str, requests: usize) {
    for request in 0..requests {
        let id = format!("late-{request}");
        bed.lookup(request % 3, &id);
        let runs = bed.runs(&id);
        assert!(runs.iter().all(|run| run.target != target), "{runs:?}");
    }
}

#[test]
fn failed_reads_of_the_store_are_logged_and_age_the_feeds() {
    let bed = TestBed::start(1);
    let node = &bed.nodes[0];
    let logged = |message: &str, field: &str| {
        let log = node.log();
        log.lines()
            .any(|line| line.contains(message) && line.contains(field))
    };

    bed.store.set_mode(StoreMode::Busy);
    wait_until(Duration::from_secs(8), "a second failure is logged", || {
        logged("store read failed again", "elapsed_ms")
    });
    let request = CallerRequest::new("", "GET", "/metrics");
    let page = send(node.config.metrics, &request).expect("a page");
    bed.store.set_mode(StoreMode::Healthy);

    let page = String::from_utf8_lossy(&page.body);
    for topic in ["keyed.op", "keyed.servers"] {
        let metric = format!("notch_node_feed_age_seconds{{topic=\"{topic}\"}}");
        assert!(page.contains(&metric), "{metric} is missing in\n{page}");
    }
    wait_until(Duration::from_secs(5), "the end is logged", || {
        logged("store answers again", "unread_ms")
    });
}

/// Values that another writer may leave among the records of targets: very deep, with numbers or ports
/// out of range, or no JSON. The ones without `state` name no target at all.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| {
        let (open, close) = (open.repeat(100_000), close.repeat(100_000));
        format!("{open}0{close}")
    };
    let record = |field: &str, value: &str| {
        let mut fields = vec![
            ("service", "\"records\"".to_owned()),
            ("address", "\"127.0.0.1:9\"".to_owned()),
            ("zone", "\"domain-0\"".to_owned()),
            ("slots", "16".to_owned()),
            ("state", "\"ready\"".to_owned()),
            ("warmup_left_ms", "0".to_owned()),
            ("sequence", "1".to_owned()),
            ("born", "1".to_owned()),
        ];
        fields.retain(|(name, _)| *name != field);
        fields.push((field, value.to_owned()));
        let fields: Vec<String> = fields
            .into_iter()
            .map(|(name, value)| format!("\"{name}\":{value}"))
            .collect();
        format!("{{{}}}", fields.join(","))
    };
    let mut values = vec![
        nested("[", "]"),
        nested("{\"a\":", "}"),
        nested("[", ""),
        record("state", "\"sideways\""),
        record("state", "null"),
        "{".to_owned(),
        "null".to_owned(),
        "\u{0}".to_owned(),
    ];
    for field in [
        "service",
        "address",
        "zone",
        "slots",
        "warmup_left_ms",
        "sequence",
        "born",
    ] {
        values.push(record(field, &nested("[", "]")));
        values.push(record(field, "null"));
    }
    for number in [
        "-1",
        "1e400",
        "-1e400",
        "1e308",
        "18446744073709551616",
        "1.5",
        &"9".repeat(400),
    ] {
        for field in ["slots", "sequence", "born"] {
            values.push(record(field, number));
        }
    }
    values.push(record("warmup_left_ms", "1e400"));
    for port in ["0", "65536", "99999999999999999999", "-1", "", "9x"] {
        values.push(record("address", &format!("\"127.0.0.1:{port}\"")));
    }
    for address in [
        "0.0.0.0:9",
        "255.255.255.255:9",
        "224.0.0.1:9",
        "[::]:9",
        "localhost:9",
        "127.0.0.1",
    ] {
        values.push(record("address", &format!("\"{address}\"")));
    }
    let mut values: Vec<Vec<u8>> = values.into_iter().map(String::into_bytes).collect();
    values.push(vec![0xff, 0xfe, 0x00]);
    values
}

#[test]
fn odd_entries_among_the_targets_end_no_node_and_name_no_target() {
    let mut bed = TestBed::start(2);
    for (index, value) in odd_values().iter().enumerate() {
        bed.store
            .put("keyed.servers", &format!("odd-{index}"), value);
    }
    let sound_value = bed.replicas[0].record(bed.replicas[0].address, "ready");
    for key in ["", "a\nb", "a b", "\u{e9}", "\u{1f980}", &"k".repeat(255)] {
        let mut value = sound_value.clone();
        value["service"] = json!("nothing");
        value["other"] = json!([[0]]);
        bed.store
            .put("keyed.servers", key, value.to_string().as_bytes());
    }
    // Both the follower of the topic and a node that starts on it are to pass the entries.
    bed.nodes[1].restart();
    bed.nodes[1].wait_ready();

    // A later change of a sound target takes effect on both.
    bed.put_target(3, "draining");
    bed.put_target(4, "draining");
    std::thread::sleep(Duration::from_millis(1_200));

    for request in 0..30 {
        let id = format!("beside-odd-{request}");
        let response = bed.lookup(request % 2, &id).expect("a response");
        assert_eq!(response.status, 200, "{id}");
        let runs = bed.runs(&id);
        assert!(runs.iter().all(|run| run.target == "replica-2"), "{runs:?}");
    }
    for node in &mut bed.nodes {
        assert!(!node.has_ended(), "a node ended");
        let log = node.log();
        let odd_used = log
            .lines()
            .find(|line| line.contains("\"replica\":\"odd-") || line.contains("to 127.0.0.1:9"));
        assert!(odd_used.is_none(), "{odd_used:?}");
    }
}
