//! Engines of unequal speed, as nodes measure and report them.

use std::time::Duration;

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

// Guards against paces that do not reach the owner of placement: each VM sees one engine only, so that the
// engine counts as slow only once the reports of both have come together.
#[test]
fn the_owner_learns_of_a_slow_engine_from_the_other_vm_and_of_its_return() {
    let bed = TestBed::start(2);
    bed.put_target(1, "draining");
    bed.put_target(2, "draining");
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
