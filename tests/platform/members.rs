//! Nodes that are killed, stopped, paused and restarted.

use std::thread;
use std::time::Duration;

use crate::support::bed::{TestBed, wait_until};
use crate::support::caller::{CallerRequest, is_ready, resolve, send};
use crate::support::node::RunningNode;

const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(3);

#[test]
fn a_dead_node_leaves_the_directory() {
    let mut bed = TestBed::start(3);
    let dead = bed.node_configs[1].callers;

    bed.nodes[1].kill();

    wait_until(
        DIRECTORY_TIMEOUT,
        "the directory omits the dead node",
        || {
            [0, 2].iter().all(|node| {
                let known = resolve(bed.node_configs[*node].directory);
                known.is_some_and(|list| !list.contains(&dead) && list.len() == 2)
            })
        },
    );
}

#[test]
fn streams_are_placed_after_the_owner_died() {
    let mut bed = TestBed::start(3);
    for dead in 0..2 {
        bed.nodes[dead].kill();

        let id = format!("orphan-{dead}");
        let response = send(bed.node_configs[2].callers, &bed.stream(&id, "/single/a"));

        assert_eq!(
            response.expect("a response").status,
            200,
            "after {dead} died"
        );
    }
}

#[test]
fn a_stopping_node_finishes_its_requests() {
    let mut bed = TestBed::start(2);
    bed.engines
        .iter()
        .for_each(|engine| engine.set_delay(Duration::from_millis(200)));
    let stream = bed.stream("planned", "/single/a");
    let (callers, readiness) = (bed.node_configs[0].callers, bed.node_configs[0].readiness);
    let caller = thread::spawn(move || send(callers, &stream));
    thread::sleep(Duration::from_millis(400));

    bed.nodes[0].signal("TERM");

    wait_until(Duration::from_secs(1), "the node is not ready", || {
        !is_ready(readiness)
    });
    wait_until(
        Duration::from_secs(1),
        "the directory omits the stopping node",
        || resolve(bed.node_configs[1].directory).is_some_and(|list| !list.contains(&callers)),
    );
    let response = caller
        .join()
        .expect("the caller's thread ends")
        .expect("a response");
    assert!(response.complete);
    assert_eq!(response.event_ids().len(), 8);
    assert!(bed.nodes[0].exited_cleanly(Duration::from_secs(8)));
}

#[test]
fn all_nodes_restart_without_stored_state() {
    let mut bed = TestBed::start(3);

    bed.nodes.iter_mut().for_each(RunningNode::kill);
    bed.nodes.clear();
    bed.nodes = bed.node_configs.iter().map(RunningNode::start).collect();

    wait_until(Duration::from_secs(4), "all nodes serve again", || {
        (0..3).all(|node| {
            let id = format!("again-{node}");
            let served = bed
                .lookup(node, &id)
                .is_some_and(|response| response.status == 200);
            let known = resolve(bed.node_configs[node].directory);
            served && known.is_some_and(|list| list.len() == 3)
        })
    });
}

#[test]
fn streams_are_placed_while_a_node_is_paused() {
    let bed = TestBed::start(3);
    for paused in 0..3 {
        bed.nodes[paused].signal("STOP");
        for node in (0..3).filter(|node| *node != paused) {
            let id = format!("pause-{paused}-{node}");

            let response = send(
                bed.node_configs[node].callers,
                &bed.stream(&id, "/single/a"),
            );

            assert_eq!(response.expect("a response").status, 200, "{paused} paused");
        }
        bed.nodes[paused].signal("CONT");
        thread::sleep(Duration::from_millis(1_500));
    }
}

#[test]
fn a_node_about_to_exit_rejects_new_requests() {
    let mut bed = TestBed::start(2);
    bed.engines
        .iter()
        .for_each(|engine| engine.set_delay(Duration::from_millis(900)));
    let stream = bed.stream("under-way", "/archive/a");
    let callers = bed.node_configs[0].callers;
    let caller = thread::spawn(move || send(callers, &stream));
    thread::sleep(Duration::from_millis(200));

    bed.nodes[0].signal("TERM");
    thread::sleep(Duration::from_millis(3_200));
    let late = bed.lookup(0, "late");

    assert!(late.is_none_or(|response| response.status == 503));
    assert!(bed.runs("late").is_empty());
    assert!(caller.join().expect("the caller's thread ends").is_some());
    assert!(bed.nodes[0].exited_cleanly(Duration::from_secs(8)));
}

#[test]
fn a_node_keeps_serving_after_sighup() {
    let bed = TestBed::start(1);

    bed.nodes[0].signal("HUP");

    wait_until(Duration::from_secs(2), "SIGHUP is logged", || {
        bed.nodes[0].log().contains("settings read again")
    });
    let response = bed.lookup(0, "after-sighup").expect("a response");
    assert_eq!(response.status, 200);
}

#[test]
fn metrics_report_requests_and_dropped_log_lines() {
    let bed = TestBed::start(1);
    bed.lookup(0, "counted").expect("a response");

    let page = CallerRequest::new("", "GET", "/metrics");
    let response = send(bed.node_configs[0].metrics, &page).expect("a page");

    let text = String::from_utf8_lossy(&response.body).into_owned();
    for name in [
        r#"notch_node_requests_total{route="lookup",outcome="served"}"#,
        "notch_node_answer_seconds_bucket",
        "notch_node_log_lines_dropped",
        "notch_node_config_version 1",
    ] {
        assert!(text.contains(name), "{name} is missing in\n{text}");
    }
}
