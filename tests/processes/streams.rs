//! Engines that send late, twice, out of order, or stop: the caller's own answer, whole.

use std::time::Duration;

use plantainnotch::fake::load::{self, SeenOutcome};
use serde_json::json;
use tokio::time::sleep;

use crate::fleet::{TestFleet, assert_promises, post};

fn run_test(test: impl AsyncFnOnce()) {
    actix::System::new().block_on(test());
}

#[test]
fn disturbed_streams_still_give_the_whole_answer() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let disturbances = [
            json!({ "duplicate": true, "reorder": true, "strangers": true }),
            json!({ "cut_after": 15 }),
            json!({ "silent_after": 20 }),
        ];
        for (number, faults) in disturbances.into_iter().enumerate() {
            for engine in &fleet.engines {
                post(engine, "/v1/fake/faults", &faults);
            }
            let plan = fleet.plan(Duration::from_secs(4), 300 + number as u64);
            let samples = load::run(plan.clone()).await;
            sleep(Duration::from_secs(2)).await;
            let summary = load::summarise(&plan, &samples).await;
            assert_promises(&faults.to_string(), &samples, &summary);
            let lost = samples
                .iter()
                .filter(|sample| sample.outcome != SeenOutcome::Finished);
            assert_eq!(lost.count(), 0, "{faults}");
        }
    });
}

#[test]
fn engines_restart_cold_in_the_middle_of_streams() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let plan = fleet.plan(Duration::from_secs(8), 310);
        let running = actix_rt::spawn(load::run(plan.clone()));
        for engine in [0, 3] {
            sleep(Duration::from_secs(2)).await;
            post(&fleet.engines[engine], "/v1/fake/restart", &json!({}));
        }
        let samples = running.await.expect("the load ends");
        sleep(Duration::from_secs(3)).await;
        let summary = load::summarise(&plan, &samples).await;
        assert_promises("engines restarted", &samples, &summary);
    });
}
