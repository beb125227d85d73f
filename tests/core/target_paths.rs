//! When a VM takes its paths to targets for lost, and when it uses them again.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use plantainnotch::ids::TargetName;
use plantainnotch::policy::target_paths::{TargetPaths, probe_order};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const TARGET_COUNT: usize = 14;
const STEP: Duration = Duration::from_millis(50);

fn paths() -> TargetPaths {
    TargetPaths::new().expect("the chart is valid")
}

fn targets(count: usize) -> Vec<TargetName> {
    let name = |index| TargetName::new(format!("target-{index:02}"));
    (0..count).map(name).collect()
}

/// Probes for a time, in steps of 50 ms; `answers` tells which targets do. Returns the number of probes.
fn probe_for(
    paths: &mut TargetPaths,
    known: &[TargetName],
    start: Instant,
    time: Duration,
    answers: impl Fn(&TargetName) -> bool,
) -> usize {
    let mut count = 0;
    let mut now = start;
    while now < start + time {
        for target in paths.due_probes(known, now) {
            count += 1;
            if answers(&target) {
                paths.record_answer(now);
            } else {
                paths.record_failure(&target, known.len(), now);
            }
        }
        now += STEP;
    }
    count
}

#[test]
fn one_silent_target_is_no_lost_path() {
    let (now, known) = (Instant::now(), targets(TARGET_COUNT));
    let mut paths = paths();
    for _ in 0..10 {
        paths.record_failure(&known[0], known.len(), now);
    }

    assert!(!paths.are_doubtful() && !paths.are_lost());
}

/// Two dead targets fail first, then probes try others in random order.
#[test]
fn half_of_the_targets_dead_is_taken_for_a_lost_path_in_one_of_fifty_cases_at_most() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(29);
    let mut lost = 0;
    for _ in 0..1_000 {
        let mut known = targets(TARGET_COUNT);
        let dead = known[..TARGET_COUNT / 2].to_vec();
        let mut paths = paths();
        paths.record_failure(&dead[0], known.len(), now);
        paths.record_failure(&dead[1], known.len(), now);
        known.shuffle(&mut rng);

        probe_for(&mut paths, &known, now, STEP, |name| !dead.contains(name));

        lost += usize::from(!paths.may_carry());
    }

    assert!(lost <= 20, "{lost} of 1,000");
}

#[test]
fn a_service_without_live_targets_is_no_lost_path_to_the_others() {
    let now = Instant::now();
    let (engines, replicas) = (targets(TARGET_COUNT), vec![TargetName::new("replica")]);
    let mut paths = paths();
    paths.record_failure(&engines[0], TARGET_COUNT + 1, now);
    paths.record_failure(&engines[1], TARGET_COUNT + 1, now);
    let known = probe_order(&[engines, replicas.clone()]);

    probe_for(&mut paths, &known, now, Duration::from_secs(2), |name| {
        replicas.contains(name)
    });

    assert!(paths.may_carry());
}

#[test]
fn paths_to_no_target_are_lost_after_one_round_of_probes() {
    let (now, known) = (Instant::now(), targets(TARGET_COUNT));
    let mut paths = paths();
    paths.record_failure(&known[0], known.len(), now);
    paths.record_failure(&known[1], known.len(), now);
    assert!(paths.are_doubtful());

    let probes = probe_for(&mut paths, &known, now, STEP, |_| false);

    assert!(paths.are_lost());
    assert_eq!(paths.own_share(now), 0.0);
    assert!(probes <= 4, "{probes} probes");
}

#[test]
fn answers_on_old_connections_do_not_prove_that_new_ones_can_be_opened() {
    let (now, known) = (Instant::now(), targets(TARGET_COUNT));
    let mut paths = paths();
    for target in &known[..6] {
        paths.record_failure(target, known.len(), now);
        paths.record_received(now);
    }

    assert!(paths.are_lost());
}

/// A silent target and another one are probed, never the same one twice.
#[test]
fn a_silent_target_is_probed_with_another_one_while_nothing_else_is_received() {
    let (now, known) = (Instant::now(), targets(TARGET_COUNT));
    for silent in &known {
        let mut paths = paths();
        paths.record_received(now);
        paths.record_silence(silent);
        let early = paths.due_probes(&known, now + STEP);

        let probes: BTreeSet<TargetName> = paths
            .due_probes(&known, now + Duration::from_millis(500))
            .into_iter()
            .collect();

        assert!(early.is_empty());
        assert_eq!(probes.len(), 2);
        assert!(probes.contains(silent));
    }
}

#[test]
fn own_paths_are_used_gradually_once_a_target_answers() {
    let (now, known) = (Instant::now(), targets(TARGET_COUNT));
    let mut paths = paths();
    for target in &known[..6] {
        paths.record_failure(target, known.len(), now);
    }
    let lost_probes = probe_for(&mut paths, &known, now, Duration::from_secs(4), |_| false);

    paths.record_answer(now);
    let shares: Vec<f64> = [0, 500, 1_000, 2_000]
        .map(|ms| paths.own_share(now + Duration::from_millis(ms)))
        .into();
    paths.due_probes(&known, now + Duration::from_secs(2));

    assert!(lost_probes <= 20, "{lost_probes} probes in 4 s");
    assert_eq!(shares, [0.0, 0.25, 0.5, 1.0]);
    assert!(paths.may_carry());
}

#[test]
fn paths_that_fail_again_while_they_return_are_lost_again() {
    let (now, known) = (Instant::now(), targets(TARGET_COUNT));
    let mut paths = paths();
    for target in &known[..6] {
        paths.record_failure(target, known.len(), now);
    }
    paths.record_answer(now);

    paths.record_failure(&known[7], known.len(), now + STEP);
    paths.record_failure(&known[8], known.len(), now + STEP);

    assert!(paths.are_lost());
}
