//! The store comes back from a copy some seconds old: changes written after that take effect in
//! time, and nothing that was in force is reverted.

use std::time::Duration;

use serde_json::json;

use crate::records::{assert_no_requests_reach, status_of, with_route};
use crate::support::bed::{TestBed, config, wait_until};
use crate::support::proxy::ProxyFault;
use crate::support::store::StoreCopy;

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);
const DRAIN_TIME: Duration = Duration::from_secs(2);
const LAPSE_TIME: Duration = Duration::from_secs(2); // within which targets publish their records again

/// Makes a copy of the store, and then writes records that the copy lacks.
fn copy_then_write(bed: &TestBed, versions: std::ops::Range<u64>) -> StoreCopy {
    let copy = bed.store.copy();
    for version in versions {
        bed.put_config(&config(version));
        for index in 0..6 {
            bed.put_target(index, "ready");
        }
    }
    std::thread::sleep(Duration::from_millis(1_000)); // until all nodes have read them
    copy
}

/// Restores a copy; targets publish their records again.
fn restore(bed: &TestBed, copy: &StoreCopy, alive: &[usize]) {
    bed.store.restore(copy);
    std::thread::sleep(Duration::from_millis(300));
    for index in alive {
        bed.put_target(*index, "ready");
    }
}

fn assert_in_force(bed: &TestBed, path: &str) {
    wait_until(IN_FORCE_TIMEOUT, "all nodes serve the added route", || {
        (0..bed.nodes.len()).all(|node| status_of(bed, node, path) == 200)
    });
}

#[test]
fn a_change_is_in_force_in_time_after_the_store_came_back_older() {
    let bed = TestBed::start(3);
    let copy = copy_then_write(&bed, 2..6);

    restore(&bed, &copy, &[0, 1, 2, 3, 4, 5]);
    bed.put_config(&with_route(6, "/added/"));

    assert_in_force(&bed, "/added/1");
}

#[test]
fn a_change_is_in_force_in_time_after_the_store_came_back_older_twice() {
    let bed = TestBed::start(3);
    let copy = copy_then_write(&bed, 2..8);

    restore(&bed, &copy, &[0, 1, 2, 3, 4, 5]);
    let second_copy = bed.store.copy();
    bed.put_config(&with_route(8, "/first/"));
    std::thread::sleep(Duration::from_millis(400));
    restore(&bed, &second_copy, &[0, 1, 2, 3, 4, 5]);
    bed.put_config(&with_route(9, "/added/"));

    assert_in_force(&bed, "/added/1");
}

#[test]
fn a_node_that_the_store_turns_away_gets_changes_made_after_the_store_came_back_older() {
    let bed = TestBed::start(3);
    let copy = copy_then_write(&bed, 2..6);
    bed.store_proxies[1].set(ProxyFault::Reset);
    bed.store_proxies[2].set(ProxyFault::Silence);

    restore(&bed, &copy, &[0, 1, 2, 3, 4, 5]);
    bed.put_config(&with_route(6, "/added/"));

    assert_in_force(&bed, "/added/1");
}

#[test]
fn a_change_that_the_copy_lacks_stays_in_force_on_nodes_that_run() {
    let bed = TestBed::start(3);
    let copy = copy_then_write(&bed, 2..4);
    bed.put_config(&with_route(4, "/added/"));
    assert_in_force(&bed, "/added/1");

    restore(&bed, &copy, &[0, 1, 2, 3, 4, 5]);
    for _ in 0..20 {
        for node in 0..3 {
            assert_eq!(
                status_of(&bed, node, "/added/1"),
                200,
                "version 4 went back"
            );
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    bed.put_config(&with_route(5, "/later/"));

    assert_in_force(&bed, "/later/1");
}

#[test]
fn a_target_that_leaves_after_the_store_came_back_older_gets_no_requests_after_its_drain_time() {
    let bed = TestBed::start(3);
    let copy = copy_then_write(&bed, 2..6);
    bed.put_target(3, "draining");
    std::thread::sleep(Duration::from_millis(600));
    bed.put_target(3, "ready");
    std::thread::sleep(Duration::from_millis(800));

    restore(&bed, &copy, &[0, 1, 2, 4, 5]);
    bed.put_target(3, "draining");
    std::thread::sleep(DRAIN_TIME);

    assert_no_requests_reach(&bed, "replica-0", 30);
}

#[test]
fn a_target_that_left_in_the_lost_seconds_gets_no_requests() {
    let bed = TestBed::start(3);
    let copy = copy_then_write(&bed, 2..4);
    bed.store.put("keyed.servers", "replica-0", b"");
    std::thread::sleep(DRAIN_TIME);

    restore(&bed, &copy, &[0, 1, 2, 4, 5]);
    bed.put_config(&with_route(4, "/added/"));
    assert_in_force(&bed, "/added/1");

    assert_no_requests_reach(&bed, "replica-0", 60);
}

#[test]
fn a_target_that_started_in_the_lost_seconds_serves_until_its_record_is_written_again() {
    let bed = TestBed::start(2);
    bed.store.put("keyed.servers", "replica-0", b"");
    std::thread::sleep(Duration::from_millis(800));
    let copy = copy_then_write_without(&bed, "replica-0");
    for index in 4..6 {
        bed.put_target(index, "draining");
    }
    std::thread::sleep(Duration::from_millis(800));

    bed.store.restore(&copy);
    bed.put_target(4, "draining");
    bed.put_target(5, "draining");
    std::thread::sleep(Duration::from_millis(900));
    let meanwhile = bed.lookup(0, "meanwhile").expect("a response");
    bed.put_target(3, "ready");
    std::thread::sleep(LAPSE_TIME);
    let after = bed.lookup(0, "after").expect("a response");

    assert_eq!(meanwhile.status, 200, "dropped before it could write again");
    assert_eq!(after.status, 200);
}

/// Makes a copy of the store while it lacks the record of `replica`, which is then written.
fn copy_then_write_without(bed: &TestBed, replica: &str) -> StoreCopy {
    let copy = bed.store.copy();
    assert!(
        !bed.store
            .keys("keyed.servers")
            .contains(&replica.to_owned())
    );
    bed.put_target(3, "ready");
    copy
}

#[test]
fn a_domain_taken_out_of_service_in_the_lost_seconds_stays_out_until_the_operator_writes_again() {
    let bed = TestBed::start(3);
    let copy = copy_then_write(&bed, 2..4);
    bed.store.put("keyed.op", "evacuate/domain-0", b"{}");
    std::thread::sleep(Duration::from_millis(800));

    restore(&bed, &copy, &[0, 1, 2, 3, 4, 5]);
    bed.put_config(&with_route(4, "/added/"));
    assert_in_force(&bed, "/added/1");
    assert_no_requests_reach(&bed, "replica-0", 30);
    bed.store.put("keyed.op", "evacuate/domain-0", b"{}");
    bed.store.put("keyed.op", "evacuate/domain-0", b"");

    wait_until(IN_FORCE_TIMEOUT, "the domain is used again", || {
        let id = format!("back-{}", bed.ledger().runs.len());
        bed.lookup(0, &id);
        bed.runs(&id).iter().any(|run| run.target == "replica-0")
    });
}

#[test]
fn nodes_write_their_addresses_again_after_the_store_came_back_older() {
    let bed = TestBed::start(3);
    let empty = bed.store.copy();
    let topic = "keyed.notch-members";
    wait_until(Duration::from_secs(6), "addresses are written", || {
        bed.store.keys(topic).len() == 3
    });

    bed.store.restore(&empty);

    let limit = Duration::from_secs(6);
    wait_until(limit, "addresses are written again", || {
        bed.store.keys(topic).len() == 3
    });
}

#[test]
fn a_node_that_starts_after_the_store_came_back_older_takes_the_change_that_its_peers_have() {
    let mut bed = TestBed::start(3);
    let copy = copy_then_write(&bed, 2..4);
    let mut without_key = with_route(5, "/added/");
    without_key["tenants"] = json!([{"name": "team-b", "api_keys": ["key-b"], "priority": 1}]);
    bed.put_config(&without_key);
    wait_until(IN_FORCE_TIMEOUT, "the key is refused", || {
        (0..3).all(|node| status_of(&bed, node, "/added/1") == 401)
    });

    restore(&bed, &copy, &[0, 1, 2, 3, 4, 5]);
    std::thread::sleep(Duration::from_millis(800));
    bed.nodes[2].restart();
    bed.nodes[2].wait_ready();
    std::thread::sleep(IN_FORCE_TIMEOUT);

    assert_eq!(
        status_of(&bed, 2, "/added/1"),
        401,
        "version 5 is not in force"
    );
}
