//! Operators' changes over real processes: races, and places that go out of service.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use plantainnotch::fake::load::{self, SeenOutcome};
use serde_json::json;
use tokio::time::sleep;

use crate::fleet::{TestFleet, assert_promises, page, post};

/// No new work this long after the record's append.
const OUT_BOUND: Duration = Duration::from_secs(5);

fn run_test(test: impl AsyncFnOnce()) {
    actix::System::new().block_on(test());
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Arrivals at a target after a time.
fn arrivals_after(address: &str, after_ms: u64) -> usize {
    let audit = page(address, "/v1/fake/audit").expect("the stand-in answers");
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
        let plan = fleet.plan(Duration::from_secs(20), 201);
        let running = actix_rt::spawn(load::run(plan.clone()));
        sleep(Duration::from_secs(2)).await;

        // Act
        let out = fleet.ctl("operator", "--wait domain out rw-b");
        let out_at = unix_ms();
        sleep(Duration::from_secs(10)).await;
        let bound = out_at + OUT_BOUND.as_millis() as u64;
        let while_out: usize = fleet.engines[2..4]
            .iter()
            .map(|e| arrivals_after(e, bound))
            .sum();
        let back_at = unix_ms();
        let back = fleet.ctl("operator", "domain in rw-b");
        let samples = running.await.expect("the load ends");

        // Assert
        assert!(out.status.success() && back.status.success());
        assert_eq!(while_out, 0, "work sent to a domain that is out");
        let after_back: usize = fleet.engines[2..4]
            .iter()
            .map(|e| arrivals_after(e, back_at))
            .sum();
        assert!(after_back > 0, "the domain is used again");
        sleep(Duration::from_secs(2)).await;
        let summary = load::summarise(&plan, &samples).await;
        assert_promises("domain out and in", &samples, &summary);
        let lost = samples
            .iter()
            .filter(|sample| sample.outcome != SeenOutcome::Finished);
        assert_eq!(lost.count(), 0, "capacity is enough without the domain");
    });
}

#[test]
fn a_change_is_in_force_within_the_bound_while_the_log_answers_slowly() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        post(
            &fleet.platform,
            "/v1/fake/faults",
            &json!({ "delay_ms": 800 }),
        );
        let appended_after = std::time::Instant::now();
        let output = fleet.ctl("operator", "--wait target out app-0");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{text}");
        assert!(text.contains("in force on vm-0, vm-1, vm-2"), "{text}");
        // Reading the table takes two slow answers before the append.
        assert!(appended_after.elapsed() < OUT_BOUND + Duration::from_secs(3));
    });
}

#[test]
fn of_racing_operators_one_is_told_that_it_lost() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        post(
            &fleet.platform,
            "/v1/fake/faults",
            &json!({ "delay_ms": 300, "lose_answer_every": 2 }),
        );
        let racers: Vec<_> = (1..=3)
            .map(|weight| {
                fleet.start_ctl(
                    "operator",
                    &format!("table set team kigali weight={}", weight * 10),
                )
            })
            .collect();
        let outputs = racers
            .into_iter()
            .map(|racer| racer.wait_with_output().expect("it ends"));
        let (won, lost): (Vec<_>, Vec<_>) = outputs.partition(|output| output.status.success());
        post(&fleet.platform, "/v1/fake/faults", &json!({}));
        assert_eq!((won.len(), lost.len()), (1, 2));
        for output in lost {
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(
                text.contains("was changed meanwhile and now stands as"),
                "{text}"
            );
        }
    });
}

#[test]
fn only_the_owner_approves_and_a_bad_sheet_changes_nothing() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let before = fleet.ctl("operator", "table export").stdout;
        let stranger = fleet.ctl("operator", "table set approval kigali@app-* state=refused");
        let unknown = fleet.ctl("operator", "table set team kigali wait=1");
        let zero = fleet.ctl("operator", "table set team kigali weight=0");
        let after = fleet.ctl("operator", "table export").stdout;
        let error =
            |output: &std::process::Output| String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            error(&stranger).contains("accepted only from the owner owner"),
            "{}",
            error(&stranger)
        );
        assert!(
            error(&unknown).contains("is not a column"),
            "{}",
            error(&unknown)
        );
        assert!(error(&zero).contains("column weight"), "{}", error(&zero));
        assert_eq!(before, after);
    });
}

#[test]
fn orders_reach_targets_and_never_go_back_while_stewards_freeze() {
    run_test(async || {
        // Arrange: engines that do not check fencing numbers, and a steward that stands still.
        let fleet = TestFleet::start().await;
        for number in 0..fleet.engines.len() {
            fleet.ctl(
                "operator",
                &format!("table set engine app-{number} fencing=no version=v1"),
            );
        }
        let version =
            |engine: &String| page(engine, "/v1/fake/audit").map(|audit| audit["version"].clone());
        let all_run = |fleet: &TestFleet, wanted: &str| {
            fleet
                .engines
                .iter()
                .all(|engine| version(engine) == Some(json!(wanted)))
        };
        let within = Duration::from_secs(20);
        fleet
            .wait_until(within, "all run v1", |fleet| all_run(fleet, "v1"))
            .await;
        let frozen = fleet.stewards[0].as_ref().expect("it runs");

        // Act
        frozen.signal("STOP");
        for number in 0..fleet.engines.len() {
            fleet.ctl(
                "operator",
                &format!("table set engine app-{number} version=v2"),
            );
        }
        fleet
            .wait_until(within, "all run v2", |fleet| all_run(fleet, "v2"))
            .await;
        frozen.signal("CONT");
        sleep(Duration::from_secs(4)).await;

        // Assert
        assert!(all_run(&fleet, "v2"));
        for engine in &fleet.engines {
            let audit = page(engine, "/v1/fake/audit").expect("the stand-in answers");
            assert_eq!(audit["orders_reverted"], 0);
        }
    });
}
