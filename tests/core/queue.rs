//! Weighted fair queueing: shares by tokens, lent share back within one request.

use std::collections::BTreeMap;

use plantainnotch::ids::TeamName;
use plantainnotch::ledger::fair_queue::FairQueue;

use crate::fixtures::check;

#[test]
fn backlogged_teams_get_their_weights_to_within_one_request() {
    fn property(costs: Vec<u8>) -> bool {
        let weights = [("a", 1_u32), ("b", 2), ("c", 4)];
        let largest = 256.0;
        let mut queue = FairQueue::default();
        for (team, weight) in weights {
            for cost in costs.iter().chain([&9]) {
                let cost = u64::from(*cost) + 1;
                queue.push(&TeamName::new(team), weight, cost, (team, cost));
            }
        }
        let mut served: BTreeMap<&str, f64> =
            weights.iter().map(|(team, _)| (*team, 0.0)).collect();
        let mut left: BTreeMap<&str, usize> = weights
            .iter()
            .map(|(team, _)| (*team, costs.len() + 1))
            .collect();
        while left.values().all(|left| *left > 0) {
            let Some((team, cost)) = queue.pop_where(|_| true) else {
                return false;
            };
            *served.entry(team).or_default() += cost as f64;
            *left.entry(team).or_default() -= 1;
            let normal: Vec<f64> = weights
                .iter()
                .map(|(team, weight)| served[team] / f64::from(*weight))
                .collect();
            let spread = normal.iter().cloned().fold(0.0, f64::max)
                - normal.iter().cloned().fold(f64::MAX, f64::min);
            if spread > 2.0 * largest {
                return false;
            }
        }
        true
    }
    check(51, property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_team_that_comes_back_waits_for_one_request_at_most() {
    // Arrange: one team floods while the other is idle.
    let mut queue = FairQueue::default();
    for number in 0..100 {
        queue.push(&TeamName::new("flood"), 1, 10, ("flood", number));
    }
    for _ in 0..50 {
        queue.pop_where(|_| true);
    }

    // Act
    queue.push(&TeamName::new("quiet"), 1, 10, ("quiet", 0));
    let next: Vec<&str> = (0..2)
        .filter_map(|_| queue.pop_where(|_| true))
        .map(|item| item.0)
        .collect();

    // Assert
    assert!(next.contains(&"quiet"));
}

#[test]
fn a_head_that_does_not_fit_holds_up_only_its_own_team() {
    let mut queue = FairQueue::default();
    queue.push(&TeamName::new("a"), 1, 1, "large");
    queue.push(&TeamName::new("b"), 1, 1, "small");
    let taken = queue.pop_where(|item| *item == "small");
    assert_eq!(taken, Some("small"));
    assert_eq!(queue.len(), 1);
}

#[test]
fn what_is_ahead_of_a_quiet_team_is_not_the_whole_flood() {
    // Arrange
    let mut queue = FairQueue::default();
    for number in 0..100 {
        queue.push(&TeamName::new("flood"), 1, 10, number);
    }

    // Act
    let quiet = queue.cost_ahead(&TeamName::new("quiet"), 1);
    let flood = queue.cost_ahead(&TeamName::new("flood"), 1);

    // Assert
    assert_eq!((quiet, flood), (10, 1_000));
}
