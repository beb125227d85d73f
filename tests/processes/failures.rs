//! Kills, suspensions and outages while requests run. The counts checked by `assert_guarantees` must
//! stay zero in each case.

use std::time::Duration;

use plantainnotch::fake::load::{self, LoadClass, LoadPlan, LoadSample, ObservedOutcome};
use serde_json::json;
use tokio::time::sleep;

use crate::fleet::{TestFleet, assert_guarantees, get_json, post_json};

const SETTLE_TIME: Duration = Duration::from_secs(3);
const EVICTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a load while `inject_faults` runs, then checks the guarantees and returns the samples.
async fn run_scenario(
    scenario: &str,
    fleet: &mut TestFleet,
    seed: u64,
    seconds: u64,
    inject_faults: impl AsyncFnOnce(&mut TestFleet),
) -> Vec<LoadSample> {
    let load_plan = fleet.load_plan(Duration::from_secs(seconds), seed);
    let load_task = actix_rt::spawn(load::run(load_plan.clone()));
    sleep(Duration::from_secs(2)).await;
    inject_faults(fleet).await;
    let samples = load_task.await.expect("the load ends");
    check_guarantees(scenario, &load_plan, &samples).await;
    samples
}

/// Waits for targets to free what is held, then checks the guarantees.
async fn check_guarantees(scenario: &str, load_plan: &LoadPlan, samples: &[LoadSample]) {
    sleep(SETTLE_TIME).await;
    let summary = load::summarise(load_plan, samples).await;
    assert_guarantees(scenario, samples, &summary);
    assert!(summary.finished > 0, "{scenario}: nothing finished");
}

fn finished_after(samples: &[LoadSample], at_s: f64) -> usize {
    let later_samples = samples.iter().filter(|sample| sample.at_s > at_s);
    later_samples
        .filter(|sample| sample.outcome == ObservedOutcome::Finished)
        .count()
}

fn run_test(test: impl AsyncFnOnce()) {
    actix::System::new().block_on(test());
}

#[test]
fn a_steward_is_killed_and_starts_again_with_nothing_kept() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        let samples = run_scenario("steward killed", &mut fleet, 101, 16, async |fleet| {
            fleet.stewards[1] = None;
            fleet
                .wait_until(EVICTION_TIMEOUT, "the killed steward is evicted", |fleet| {
                    fleet.member_count() == 2
                })
                .await;
            sleep(Duration::from_secs(5)).await;
            fleet.start_steward(1);
        })
        .await;
        assert!(
            finished_after(&samples, 12.0) > 0,
            "no request finished after 12 s, 10 s after the kill"
        );
        fleet
            .wait_until(Duration::from_secs(15), "it rejoined", |fleet| {
                fleet.member_count() == 3
            })
            .await;
    });
}

#[test]
fn an_entry_is_killed() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        run_scenario("entry killed", &mut fleet, 102, 10, async |fleet| {
            fleet.entries[2] = None;
            sleep(Duration::from_secs(4)).await;
            fleet.start_entry(2);
        })
        .await;
    });
}

#[test]
fn a_whole_vm_is_killed_and_replaced() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        run_scenario("VM killed", &mut fleet, 103, 16, async |fleet| {
            fleet.kill_vm(0);
            sleep(Duration::from_secs(8)).await;
            fleet.start_steward(0);
            fleet.start_entry(0);
        })
        .await;
    });
}

#[test]
fn a_steward_is_suspended_and_resumed() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        run_scenario("steward suspended", &mut fleet, 104, 18, async |fleet| {
            for index in [0, 2] {
                let steward = fleet.stewards[index].as_ref().expect("it runs");
                steward.signal("STOP");
                sleep(Duration::from_secs(6)).await;
                steward.signal("CONT");
                sleep(Duration::from_secs(2)).await;
            }
        })
        .await;
    });
}

#[test]
fn the_log_is_out_and_a_steward_is_killed_meanwhile() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        let platform = fleet.platform.clone();
        let samples = run_scenario(
            "log outage, steward killed",
            &mut fleet,
            105,
            20,
            async |fleet| {
                post_json(&platform, "/v1/fake/faults", &json!({ "down": true }));
                sleep(Duration::from_secs(5)).await;
                fleet.stewards[1] = None;
                sleep(Duration::from_secs(8)).await;
                post_json(&platform, "/v1/fake/faults", &json!({}));
            },
        )
        .await;
        let in_outage = samples
            .iter()
            .filter(|sample| (5.0..14.0).contains(&sample.at_s));
        let chats = in_outage.filter(|sample| sample.key.is_none());
        let finished = chats
            .filter(|sample| sample.outcome == ObservedOutcome::Finished)
            .count();
        assert!(
            finished > 50,
            "too few chat requests finished during the outage: {finished}"
        );
    });
}

#[test]
fn append_responses_are_lost_while_an_entry_is_killed() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        let platform = fleet.platform.clone();
        run_scenario(
            "append responses lost",
            &mut fleet,
            106,
            14,
            async |fleet| {
                let faults =
                    json!({ "lose_answer_every": 2, "refuse_append_every": 5, "delay_ms": 100 });
                post_json(&platform, "/v1/fake/faults", &faults);
                sleep(Duration::from_secs(4)).await;
                fleet.entries[1] = None;
                sleep(Duration::from_secs(3)).await;
                fleet.start_entry(1);
                post_json(&platform, "/v1/fake/faults", &json!({}));
            },
        )
        .await;
    });
}

#[test]
fn service_responses_are_lost_and_calls_are_not_repeated() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        let service = fleet.service.clone();
        post_json(
            &service,
            "/v1/fake/faults",
            &json!({ "lose_answer_every": 4 }),
        );
        let samples =
            run_scenario("service responses lost", &mut fleet, 107, 6, async |_| {}).await;
        let unknown = samples
            .iter()
            .filter(|sample| sample.outcome == ObservedOutcome::Unknown);
        assert!(
            unknown.count() > 0,
            "no call without an answer was reported as unknown"
        );
    });
}

#[test]
fn an_engine_is_killed_and_not_restarted() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        run_scenario("engine killed", &mut fleet, 108, 10, async |fleet| {
            fleet.kill_engine(0);
        })
        .await;
    });
}

#[test]
fn the_log_is_truncated_and_a_new_steward_starts_from_a_peer() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        let platform = fleet.platform.clone();
        run_scenario("log truncated", &mut fleet, 109, 14, async |fleet| {
            fleet.stewards[2] = None;
            // Retention deletes old records, but none that a running steward has not read yet.
            let statuses = fleet.vms[..2]
                .iter()
                .filter_map(|vm| get_json(&vm.admin, "/v1/status"));
            let oldest_offset = statuses
                .filter_map(|status| status["offset"].as_u64())
                .min();
            let head = oldest_offset.expect("stewards respond") + 1;
            post_json(&platform, "/v1/fake/cut", &json!({ "head": head }));
            sleep(Duration::from_secs(1)).await;
            fleet.start_steward(2);
        })
        .await;
        fleet
            .wait_until(Duration::from_secs(15), "it rejoined", |fleet| {
                let status = get_json(&fleet.vms[2].admin, "/v1/status");
                status.is_some_and(|status| status["member"] == true)
            })
            .await;
    });
}

#[test]
fn a_planned_stop_fails_no_request_though_callers_keep_an_old_entry_list() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        // Answers that take two seconds, so that some are in flight when the processes stop.
        let mut load_plan = fleet.load_plan(Duration::from_secs(12), 110);
        let slow = LoadClass {
            name: "slow".into(),
            output_tokens: 400,
            arrivals_per_s: 6.0,
            ..load_plan.classes[0].clone()
        };
        load_plan.classes.push(slow);
        let load_task = actix_rt::spawn(load::run(load_plan.clone()));
        sleep(Duration::from_secs(4)).await;
        for process in [fleet.stewards[1].as_ref(), fleet.entries[1].as_ref()] {
            process.expect("it runs").signal("TERM");
        }
        let samples = load_task.await.expect("the load ends");
        check_guarantees("planned stop", &load_plan, &samples).await;
        let unfinished = samples
            .iter()
            .filter(|sample| sample.outcome != ObservedOutcome::Finished);
        let unfinished: Vec<&LoadSample> = unfinished.collect();
        assert!(unfinished.is_empty(), "not finished: {unfinished:?}");
        for process in [&mut fleet.stewards[1], &mut fleet.entries[1]] {
            let process = process.as_mut().expect("it was started");
            assert!(
                process.exited_cleanly(Duration::from_secs(20)),
                "the process did not exit by itself with status 0"
            );
        }
    });
}
