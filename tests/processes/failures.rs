//! Kills, freezes and outages while requests run. Whatever fails, every count is zero.

use std::time::Duration;

use plantainnotch::fake::load::{self, LoadClass, LoadPlan, LoadSample, SeenOutcome};
use serde_json::json;
use tokio::time::sleep;

use crate::fleet::{TestFleet, assert_promises, page, post};

const QUIET: Duration = Duration::from_secs(3);
const EVICTED_WITHIN: Duration = Duration::from_secs(10);

/// Runs a load while `faults` happen, then checks every promise.
async fn run_through(
    what: &str,
    fleet: &mut TestFleet,
    seed: u64,
    seconds: u64,
    faults: impl AsyncFnOnce(&mut TestFleet),
) -> Vec<LoadSample> {
    let plan = fleet.plan(Duration::from_secs(seconds), seed);
    let running = actix_rt::spawn(load::run(plan.clone()));
    sleep(Duration::from_secs(2)).await;
    faults(fleet).await;
    let samples = running.await.expect("the load ends");
    check_after_quiet(what, &plan, &samples).await;
    samples
}

async fn check_after_quiet(what: &str, plan: &LoadPlan, samples: &[LoadSample]) {
    sleep(QUIET).await;
    let summary = load::summarise(plan, samples).await;
    assert_promises(what, samples, &summary);
    assert!(summary.finished > 0, "{what}: nothing finished");
}

fn finished_after(samples: &[LoadSample], at_s: f64) -> usize {
    let late = samples.iter().filter(|sample| sample.at_s > at_s);
    late.filter(|sample| sample.outcome == SeenOutcome::Finished)
        .count()
}

fn run_test(test: impl AsyncFnOnce()) {
    actix::System::new().block_on(test());
}

#[test]
fn a_steward_is_killed_and_starts_again_with_nothing_kept() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        let samples = run_through("steward killed", &mut fleet, 101, 16, async |fleet| {
            fleet.stewards[1] = None;
            fleet
                .wait_until(EVICTED_WITHIN, "the dead steward is evicted", |fleet| {
                    fleet.members() == 2
                })
                .await;
            sleep(Duration::from_secs(5)).await;
            fleet.start_steward(1);
        })
        .await;
        assert!(
            finished_after(&samples, 12.0) > 0,
            "served again within 10 s"
        );
        fleet
            .wait_until(Duration::from_secs(15), "it rejoined", |fleet| {
                fleet.members() == 3
            })
            .await;
    });
}

#[test]
fn an_entry_is_killed() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        run_through("entry killed", &mut fleet, 102, 10, async |fleet| {
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
        run_through("VM killed", &mut fleet, 103, 16, async |fleet| {
            fleet.kill_vm(0);
            sleep(Duration::from_secs(8)).await;
            fleet.start_steward(0);
            fleet.start_entry(0);
        })
        .await;
    });
}

#[test]
fn a_steward_freezes_and_resumes_as_if_nothing_had_happened() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        run_through("steward frozen", &mut fleet, 104, 18, async |fleet| {
            for number in [0, 2] {
                let steward = fleet.stewards[number].as_ref().expect("it runs");
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
fn the_log_is_out_and_a_steward_dies_in_it() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        let platform = fleet.platform.clone();
        let samples = run_through("outage with a death", &mut fleet, 105, 20, async |fleet| {
            post(&platform, "/v1/fake/faults", &json!({ "down": true }));
            sleep(Duration::from_secs(5)).await;
            fleet.stewards[1] = None;
            sleep(Duration::from_secs(8)).await;
            post(&platform, "/v1/fake/faults", &json!({}));
        })
        .await;
        let in_outage = samples
            .iter()
            .filter(|sample| (5.0..14.0).contains(&sample.at_s));
        let chats = in_outage.filter(|sample| sample.key.is_none());
        let finished = chats
            .filter(|sample| sample.outcome == SeenOutcome::Finished)
            .count();
        assert!(
            finished > 50,
            "requests of existing approvals are served: {finished}"
        );
    });
}

#[test]
fn appends_lose_their_answers_while_an_entry_dies() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        let platform = fleet.platform.clone();
        run_through("lost answers", &mut fleet, 106, 14, async |fleet| {
            let faults =
                json!({ "lose_answer_every": 2, "refuse_append_every": 5, "delay_ms": 100 });
            post(&platform, "/v1/fake/faults", &faults);
            sleep(Duration::from_secs(4)).await;
            fleet.entries[1] = None;
            sleep(Duration::from_secs(3)).await;
            fleet.start_entry(1);
            post(&platform, "/v1/fake/faults", &json!({}));
        })
        .await;
    });
}

#[test]
fn the_service_loses_answers_and_is_never_asked_twice() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        let service = fleet.service.clone();
        post(
            &service,
            "/v1/fake/faults",
            &json!({ "lose_answer_every": 4 }),
        );
        let samples = run_through("service silent", &mut fleet, 107, 6, async |_| {}).await;
        let unknown = samples
            .iter()
            .filter(|sample| sample.outcome == SeenOutcome::Unknown);
        assert!(
            unknown.count() > 0,
            "what got no answer is said to be unknown"
        );
    });
}

#[test]
fn an_engine_dies_for_good() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        run_through("engine killed", &mut fleet, 108, 10, async |fleet| {
            fleet.kill_engine(0);
        })
        .await;
    });
}

#[test]
fn the_logs_head_is_cut_and_a_new_steward_starts_from_a_peer() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        let platform = fleet.platform.clone();
        run_through("head cut", &mut fleet, 109, 14, async |fleet| {
            fleet.stewards[2] = None;
            // Retention takes old records, never ones that no running steward has read.
            let folded = fleet.vms[..2]
                .iter()
                .filter_map(|vm| page(&vm.admin, "/v1/status"));
            let oldest = folded.filter_map(|status| status["offset"].as_u64()).min();
            let head = oldest.expect("stewards answer") + 1;
            post(&platform, "/v1/fake/cut", &json!({ "head": head }));
            sleep(Duration::from_secs(1)).await;
            fleet.start_steward(2);
        })
        .await;
        fleet
            .wait_until(Duration::from_secs(15), "it rejoined", |fleet| {
                let status = page(&fleet.vms[2].admin, "/v1/status");
                status.is_some_and(|status| status["member"] == true)
            })
            .await;
    });
}

#[test]
fn a_planned_stop_loses_nothing_though_callers_keep_an_old_list() {
    run_test(async || {
        let mut fleet = TestFleet::start().await;
        // Answers of two seconds, so that some are under way wherever the stop comes.
        let mut plan = fleet.plan(Duration::from_secs(12), 110);
        let slow = LoadClass {
            name: "slow".into(),
            output: 400,
            per_s: 6.0,
            ..plan.classes[0].clone()
        };
        plan.classes.push(slow);
        let running = actix_rt::spawn(load::run(plan.clone()));
        sleep(Duration::from_secs(4)).await;
        for process in [fleet.stewards[1].as_ref(), fleet.entries[1].as_ref()] {
            process.expect("it runs").signal("TERM");
        }
        let samples = running.await.expect("the load ends");
        check_after_quiet("planned stop", &plan, &samples).await;
        let lost = samples
            .iter()
            .filter(|sample| sample.outcome != SeenOutcome::Finished);
        let lost: Vec<&LoadSample> = lost.collect();
        assert!(lost.is_empty(), "lost: {lost:?}");
        for process in [&mut fleet.stewards[1], &mut fleet.entries[1]] {
            let process = process.as_mut().expect("it was started");
            assert!(
                process.ended_well(Duration::from_secs(20)),
                "it ends by itself"
            );
        }
    });
}
