//! Weighted fair queueing: shares in proportion to weight, and no wait behind another team's
//! backlog.

use std::collections::BTreeMap;

use plantainnotch::ids::TeamName;
use plantainnotch::ledger::fair_queue::FairQueue;

use crate::fixtures::check;

#[test]
fn teams_with_a_backlog_are_served_in_proportion_to_their_weights() {
    fn property(costs: Vec<u8>) -> bool {
        let weights = [("a", 1_u32), ("b", 2), ("c", 4)];
        let max_cost = 256.0;
        let mut queue = FairQueue::default();
        for (team, weight) in weights {
            for cost in costs.iter().chain([&9]) {
                let cost = u64::from(*cost) + 1;
                queue.push(&TeamName::new(team), weight, cost, (team, cost));
            }
        }
        let mut served: BTreeMap<&str, f64> =
            weights.iter().map(|(team, _)| (*team, 0.0)).collect();
        let mut items_left: BTreeMap<&str, usize> = weights
            .iter()
            .map(|(team, _)| (*team, costs.len() + 1))
            .collect();
        while items_left.values().all(|count| *count > 0) {
            let Some((team, cost)) = queue.pop_where(|_| true) else {
                return false;
            };
            *served.entry(team).or_default() += cost as f64;
            *items_left.entry(team).or_default() -= 1;
            let served_by_weight: Vec<f64> = weights
                .iter()
                .map(|(team, weight)| served[team] / f64::from(*weight))
                .collect();
            let spread = served_by_weight.iter().cloned().fold(0.0, f64::max)
                - served_by_weight.iter().cloned().fold(f64::MAX, f64::min);
            if spread > 2.0 * max_cost {
                return false;
            }
        }
        true
    }
    check(51, property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_team_that_was_idle_waits_for_one_request_at_most() {
    // Arrange: one team has a long backlog while the other is idle.
    let mut queue = FairQueue::default();
    for number in 0..100 {
        queue.push(&TeamName::new("busy"), 1, 10, ("busy", number));
    }
    for _ in 0..50 {
        queue.pop_where(|_| true);
    }

    // Act
    queue.push(&TeamName::new("idle"), 1, 10, ("idle", 0));
    let popped: Vec<&str> = (0..2)
        .filter_map(|_| queue.pop_where(|_| true))
        .map(|item| item.0)
        .collect();

    // Assert
    assert!(popped.contains(&"idle"));
}

#[test]
fn a_head_that_does_not_fit_blocks_only_its_own_team() {
    let mut queue = FairQueue::default();
    queue.push(&TeamName::new("a"), 1, 1, "large");
    queue.push(&TeamName::new("b"), 1, 1, "small");
    let popped = queue.pop_where(|item| *item == "small");
    assert_eq!(popped, Some("small"));
    assert_eq!(queue.len(), 1);
}

#[test]
fn the_cost_ahead_of_an_idle_team_is_its_share_of_another_teams_backlog() {
    // Arrange
    let mut queue = FairQueue::default();
    for number in 0..100 {
        queue.push(&TeamName::new("busy"), 1, 10, number);
    }

    // Act
    let ahead_of_idle = queue.cost_ahead(&TeamName::new("idle"), 1);
    let ahead_of_busy = queue.cost_ahead(&TeamName::new("busy"), 1);

    // Assert
    assert_eq!((ahead_of_idle, ahead_of_busy), (10, 1_000));
}
