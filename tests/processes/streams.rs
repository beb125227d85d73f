//! Engines whose streams are duplicated, reordered, cut or stalled, or that restart: the caller must
//! still get its own answer, complete.

use std::time::Duration;

use plantainnotch::fake::load::{self, ObservedOutcome};
use serde_json::json;
use tokio::time::sleep;

use crate::fleet::{TestFleet, assert_guarantees, post_json};

fn run_test(test: impl AsyncFnOnce()) {
    actix::System::new().block_on(test());
}

#[test]
fn disturbed_streams_still_yield_the_whole_answer() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let fault_sets = [
            json!({ "duplicate": true, "reorder": true, "strangers": true }),
            json!({ "cut_after": 15 }),
            json!({ "silent_after": 20 }),
        ];
        for (index, faults) in fault_sets.into_iter().enumerate() {
            for engine in &fleet.engines {
                post_json(engine, "/v1/fake/faults", &faults);
            }
            let load_plan = fleet.load_plan(Duration::from_secs(4), 300 + index as u64);
            let samples = load::run(load_plan.clone()).await;
            sleep(Duration::from_secs(2)).await;
            let summary = load::summarise(&load_plan, &samples).await;
            assert_guarantees(&faults.to_string(), &samples, &summary);
            let unfinished = samples
                .iter()
                .filter(|sample| sample.outcome != ObservedOutcome::Finished);
            assert_eq!(unfinished.count(), 0, "{faults}");
        }
    });
}

#[test]
fn engines_restart_with_empty_caches_during_streams() {
    run_test(async || {
        let fleet = TestFleet::start().await;
        let load_plan = fleet.load_plan(Duration::from_secs(8), 310);
        let load_task = actix_rt::spawn(load::run(load_plan.clone()));
        for index in [0, 3] {
            sleep(Duration::from_secs(2)).await;
            post_json(&fleet.engines[index], "/v1/fake/restart", &json!({}));
        }
        let samples = load_task.await.expect("the load ends");
        sleep(Duration::from_secs(3)).await;
        let summary = load::summarise(&load_plan, &samples).await;
        assert_guarantees("engines restarted", &samples, &summary);
    });
}
