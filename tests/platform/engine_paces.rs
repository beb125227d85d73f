//! Engines of unequal speed, as nodes measure and report them.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};

use crate::support::bed::{TestBed, wait_until};
use crate::support::caller::send;

const STREAMS_PER_NODE: usize = 3;

/// Sends some streams to each node at once and waits for them.
fn send_streams(bed: &TestBed, round: usize) {
    std::thread::scope(|scope| {
        for index in 0..bed.nodes.len() * STREAMS_PER_NODE {
            let callers = bed.node_configs[index % bed.nodes.len()].callers;
            let request = bed.stream(&format!("pace-{round}-{index}"), "/single/a");
            scope.spawn(move || send(callers, &request));
        }
    });
}

/// Starts a test bed whose streams all run on engine 0.
fn start_on_one_engine(nodes: usize) -> TestBed {
    let bed = TestBed::start(nodes);
    bed.put_target(1, "draining");
    bed.put_target(2, "draining");
    bed
}

/// Sends streams until the engine counts as slow at one of the nodes; returns the node and what it logged.
fn wait_until_slow(bed: &TestBed, nodes: &[usize]) -> (usize, Value) {
    let slow_line = |node: usize| {
        let log = bed.nodes[node].log();
        let slow = "\"engine counts as slow\"";
        let line = log.lines().find(|line| line.contains(slow))?;
        Some((node, serde_json::from_str(line).ok()?))
    };
    let find_line = || nodes.iter().find_map(|node| slow_line(*node));
    wait_until(Duration::from_secs(20), "the engine is slow", || {
        send_streams(bed, rand::random::<u16>().into());
        find_line().is_some()
    });
    find_line().expect("a node logged it")
}

// Guards against gaps that outweigh an engine's own report, and against a VM that takes over and does not request
// the report itself.
#[test]
fn a_slow_engine_is_found_by_its_own_report_also_after_the_loss_of_the_owner() {
    let mut bed = start_on_one_engine(3);
    bed.engines[0].set_report(json!({"pace": 1.2}));
    bed.engines[0].set_delay(Duration::from_millis(180));
    // By gaps alone it would count after two rounds.
    (0..5).for_each(|round| send_streams(&bed, round));
    let queries = bed.engines[0].report_requests.load(Ordering::Relaxed);
    bed.engines[0].set_report(json!({"pace": 2.5}));

    let (owner, by_owner) = wait_until_slow(&bed, &[0, 1, 2]);
    bed.nodes[owner].kill();
    let others: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
    let (_, by_successor) = wait_until_slow(&bed, &others);

    assert!(queries >= 3, "{queries}");
    for line in [by_owner, by_successor] {
        assert_eq!(
            (&line["is_reported"], &line["pace"]),
            (&json!(true), &json!(2.5))
        );
    }
}

// Guards against paces that do not reach the owner of placement: each VM sees one engine only, so that the
// engine, which reports no pace, counts as slow only once the reports of both have come together.
#[test]
fn the_owner_learns_of_a_slow_engine_from_the_other_vm_and_of_its_return() {
    let bed = start_on_one_engine(2);
    bed.engines[0].set_report(json!({"waiting": 0}));
    let logged = |line: &str| bed.nodes.iter().any(|node| node.log().contains(line));
    let rounds = std::cell::Cell::new(0);
    let send_until_logged = |line: &str, limit_s: u64| {
        wait_until(Duration::from_secs(limit_s), line, || {
            rounds.set(rounds.get() + 1);
            send_streams(&bed, rounds.get());
            logged(line)
        });
    };
    bed.engines[0].set_delay(Duration::from_millis(180));

    send_until_logged("\"engine counts as slow\"", 20);
    bed.engines[0].set_delay(Duration::from_millis(15));
    // By time alone it would take 10 s.
    send_until_logged("\"engine no longer counts as slow\"", 8);
}
