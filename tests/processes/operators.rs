//! Changes by operators over real processes: concurrent changes, domains and targets out of service,
//! orders to targets.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use plantainnotch::fake::load::{self, ObservedOutcome};
use serde_json::json;
use tokio::time::sleep;

use crate::fleet::{TestFleet, assert_guarantees, get_json, post_json};

/// A domain or target gets no new work this long after the record that takes it out of service.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(5);

fn run_test(test: impl AsyncFnOnce()) {
    actix::System::new().block_on(test());
}

fn unix_ms() -> u64 {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
    unix_time.map_or(0, |unix_time| unix_time.as_millis() as u64)
}

/// Number of requests that a target received after a time.
fn arrivals_after(address: &str, after_ms: u64) -> usize {
    let audit = get_json(address, "/v1/fake/audit").expect("the fake answers");
    let arrivals = audit["arrivals_ms"].as_array().cloned().unwrap_or_default();
    arrivals
        .iter()
        .filter(|at| at.as_u64() > Some(after_ms))
        .count()
}

#[test]
fn a_domain_goes_out_and_comes_back_under_load() {
    run_test(async || {
        // Arrange
        let fleet = TestFleet::start().await;
        let load_plan = fleet.load_plan(Duration::from_secs(20), 201);
        let load_task = actix_rt::spawn(load::run(load_plan.clone()));
        sleep(Duration::from_secs(2)).await;

        // Act
        let out = fleet.run_ctl("operator", "--wait domain out rw-b");
        let out_at = unix_ms();
        sleep(Duration::from_secs(10)).await;
        let propagated_at = out_at + MAX_PROPAGATION_TIME.as_millis() as u64;
        let arrivals_while_out: usize = fleet.engines[2..4]
            .iter()
            .map(|engine| arrivals_after(engine, propagated_at))
            .sum();
        let back_at = unix_ms();
        let back = fleet.run_ctl("operator", "domain in rw-b");
        let samples = load_task.await.expect("the load ends");

        // Assert
        assert!(out.status.success() && back.status.success());
        assert_eq!(
            arrivals_while_out, 0,
            "requests sent to a domain that is out of service"
        );
        let arrivals_after_return: usize = fleet.engines[2..4]
            .iter()
            .map(|engine| arrivals_after(engine, back_at))
            .sum();
        assert!(
            arrivals_after_return > 0,
            "no request sent to the domain that is back in service"
        );
        sleep(Duration::from_secs(2)).await;
        let summary = load::summarise(&load_plan, &samples).await;
        assert_guarantees("domain out and in", &samples, &summary);
        let unfinished = samples
            .iter()
            .filter(|sample| sample.outcome != ObservedOutcome::Finished);
        assert_eq!(
            unfinished.count(),
            0,
            "requests not finished without the domain"
        );
    });
}

#[test]
fn a_domain_goes_out_in_time_after_the_log_was_silent() {
    run_test(async || {
        // Arrange
        let fleet = TestFleet::start().await;
        let load_plan = fleet.load_plan(Duration::from_secs(16), 202);
        let load_task = actix_rt::spawn(load::run(load_plan.clone()));
        sleep(Duration::from_secs(2)).await;

        // Act
        let silence = json!({ "delay_ms": 60_000 });
        post_json(&fleet.platform, "/v1/fake/faults", &silence);
        sleep(Duration::from_secs(3)).await;
        post_json(&fleet.platform, "/v1/fake/faults", &json!({}));
        let out_at = unix_ms();
        let out = fleet.run_ctl("operator", "domain out rw-b");
        load_task.await.expect("the load ends");

        // Assert
        let propagated_at = out_at + MAX_PROPAGATION_TIME.as_millis() as u64;
        let arrivals_while_out: usize = fleet.engines[2..4]
            .iter()
            .map(|engine| arrivals_after(engine, propagated_at))
            .sum();
        assert!(out.status.success(), "{out:?}");
        assert_eq!(
            arrivals_while_out, 0,
            "requests sent to a domain that is out of service"
        );
    });
}

#[test]
fn a_change_is_in_force_within_the_bound_while_the_log_answers_slowly() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        post_json(
            &fleet.platform,
            "/v1/fake/faults",
            &json!({ "delay_ms": 800 }),
        );
        let started_at = std::time::Instant::now();
        let output = fleet.run_ctl("operator", "--wait target out app-0");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{text}");
        assert!(text.contains("in force on vm-0, vm-1, vm-2"), "{text}");
        // `notchctl` waits for two slow responses of the log before it appends the change.
        assert!(started_at.elapsed() < MAX_PROPAGATION_TIME + Duration::from_secs(3));
    });
}

#[test]
fn of_concurrent_changes_one_wins_and_the_others_report_a_conflict() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        post_json(
            &fleet.platform,
            "/v1/fake/faults",
            &json!({ "delay_ms": 300, "lose_answer_every": 2 }),
        );
        let changes: Vec<_> = (1..=3)
            .map(|weight| {
                fleet.start_ctl(
                    "operator",
                    &format!("table set team kigali weight={}", weight * 10),
                )
            })
            .collect();
        let outputs = changes
            .into_iter()
            .map(|change| change.wait_with_output().expect("it ends"));
        let (won, conflicted): (Vec<_>, Vec<_>) =
            outputs.partition(|output| output.status.success());
        post_json(&fleet.platform, "/v1/fake/faults", &json!({}));
        assert_eq!((won.len(), conflicted.len()), (1, 2));
        for output in conflicted {
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(
                text.contains("was changed meanwhile and now stands as"),
                "{text}"
            );
        }
    });
}

#[test]
fn only_the_owner_approves_and_refused_changes_have_no_effect() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let before = fleet.run_ctl("operator", "table export").stdout;
        let non_owner = fleet.run_ctl("operator", "table set approval kigali@app-* state=refused");
        let unknown_column = fleet.run_ctl("operator", "table set team kigali wait=1");
        let zero_weight = fleet.run_ctl("operator", "table set team kigali weight=0");
        let after = fleet.run_ctl("operator", "table export").stdout;
        let error =
            |output: &std::process::Output| String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            error(&non_owner).contains("accepted only from the owner owner"),
            "{}",
            error(&non_owner)
        );
        assert!(
            error(&unknown_column).contains("is not a column"),
            "{}",
            error(&unknown_column)
        );
        assert!(
            error(&zero_weight).contains("column weight"),
            "{}",
            error(&zero_weight)
        );
        assert_eq!(before, after);
    });
}

#[test]
fn orders_reach_targets_and_are_not_reverted_by_a_suspended_steward() {
    run_test(async || {
        // Arrange: engines that do not check fencing numbers, and a steward to be suspended.
        let fleet = TestFleet::start().await;
        for index in 0..fleet.engines.len() {
            fleet.run_ctl(
                "operator",
                &format!("table set engine app-{index} fencing=no version=v1"),
            );
        }
        let version =
            |addr: &String| get_json(addr, "/v1/fake/audit").map(|audit| audit["version"].clone());
        let all_run_version = |fleet: &TestFleet, expected: &str| {
            fleet
                .engines
                .iter()
                .all(|engine| version(engine) == Some(json!(expected)))
        };
        let timeout = Duration::from_secs(20);
        fleet
            .wait_until(timeout, "all run v1", |fleet| all_run_version(fleet, "v1"))
            .await;
        let suspended = fleet.stewards[0].as_ref().expect("it runs");

        // Act
        suspended.signal("STOP");
        for index in 0..fleet.engines.len() {
            fleet.run_ctl(
                "operator",
                &format!("table set engine app-{index} version=v2"),
            );
        }
        fleet
            .wait_until(timeout, "all run v2", |fleet| all_run_version(fleet, "v2"))
            .await;
        suspended.signal("CONT");
        sleep(Duration::from_secs(4)).await;

        // Assert
        assert!(all_run_version(&fleet, "v2"));
        for engine in &fleet.engines {
            let audit = get_json(engine, "/v1/fake/audit").expect("the fake answers");
            assert_eq!(audit["orders_reverted"], 0);
        }
    });
}
