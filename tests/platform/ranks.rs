//! Ranks with real nodes: the loss of the owner of placement.

use std::time::{Duration, Instant};

use crate::lost_paths::{other_than, owner_of_placement};
use crate::support::bed::{PATHS_BY_RANK, TestBed, ranked_config};
use crate::support::caller::send;

// Guards against ranked requests that are lost, or placed without their ranks, when their owner dies.
#[test]
fn requests_keep_their_ranks_when_the_owner_of_placement_is_lost() {
    let mut bed = TestBed::start(3);
    bed.put_config_everywhere(&ranked_config(2));
    let owner = owner_of_placement(&bed);
    let node = other_than(owner);
    let callers = bed.node_configs[node].callers;
    let send_ranked = |bed: &TestBed, prefix: &str| {
        for (rank, path) in PATHS_BY_RANK.iter().enumerate() {
            let id = format!("{prefix}-{rank}");
            let response = send(callers, &bed.stream(&id, path)).expect("an answer");
            assert_eq!(response.status, 200, "{id}");
            let log = bed.nodes[node].log();
            let line = log
                .lines()
                .find(|line| line.contains("\"placed\"") && line.contains(&format!("\"{id}\"")))
                .expect("the placement is logged");
            assert!(line.contains(&format!("\"rank\":{rank}")), "{line}");
            assert!(line.contains("\"share\":\"within\""), "{line}");
        }
    };
    send_ranked(&bed, "before");

    bed.nodes[owner].kill();
    let killed_at = Instant::now();
    send_ranked(&bed, "after");

    let elapsed = killed_at.elapsed();
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
    let log = bed.nodes[node].log();
    let after = log.lines().filter(|line| line.contains("\"after-"));
    let by_lost = format!("\"decided_by\":\"vm-{owner}\"");
    assert_eq!(after.filter(|line| line.contains(&by_lost)).count(), 0);
}
