//! The dispatcher under the loads that it answers.

use std::time::Duration;

use plantainnotch::policy::engine_model::example_spec;

use crate::engine_play::{
    LoadKind, LoadRequest, PlayPolicy, PlayReport, draw_load, kigali_kinds, play,
};

const HEAVY: [f64; 3] = [0.36, 1.3, 2.8];
const MANY_SHORT: [f64; 3] = [2.4, 0.5, 0.05];

fn alternating_load(seed: u64) -> (Vec<LoadKind>, Vec<LoadRequest>) {
    let phases = [MANY_SHORT, HEAVY, MANY_SHORT, HEAVY];
    let mut load = Vec::new();
    for (index, factors) in phases.iter().enumerate() {
        let from = Duration::from_secs(10 * index as u64);
        let kinds = kigali_kinds(*factors);
        load.extend(draw_load(
            &kinds,
            from,
            Duration::from_secs(10),
            seed * 10 + index as u64,
        ));
    }
    (kigali_kinds(HEAVY), load)
}

fn describe(report: &PlayReport) -> String {
    let kinds: Vec<String> = report
        .kinds
        .iter()
        .map(|kind| {
            format!(
                "asked {} aim {:.2} late {:.2} (pause {:.2} {:?}) refused {:.2} left {:.2} largest {}/{}",
                kind.asked,
                kind.in_aim as f64 / kind.asked as f64,
                kind.late as f64 / kind.asked as f64,
                kind.late_pause as f64 / kind.asked as f64,
                kind.by_phase,
                kind.refused as f64 / kind.asked as f64,
                kind.left as f64 / kind.asked as f64,
                kind.largest_served,
                kind.largest_asked,
            )
        })
        .collect();
    format!("worth {:.3}: {}", report.worth(), kinds.join("; "))
}

#[test]
fn dispatcher_beats_baselines_on_alternating_load() {
    for seed in 1..4 {
        let (kinds, load) = alternating_load(seed);
        for policy in [
            PlayPolicy::Dispatcher,
            PlayPolicy::SharedQueue,
            PlayPolicy::LeastLoaded,
            PlayPolicy::RoundRobin,
        ] {
            let report = play(policy, &example_spec(), &kinds, &load, 14, &[]);
            println!("{seed} {policy:?} {}", describe(&report));
        }
        let lost: Vec<(Duration, usize)> = (0..5)
            .map(|engine| (Duration::from_secs(8), engine * 3))
            .collect();
        let report = play(
            PlayPolicy::Dispatcher,
            &example_spec(),
            &kinds,
            &load,
            14,
            &lost,
        );
        println!("{seed} lost domain {}", describe(&report));
        let report = play(
            PlayPolicy::LeastLoaded,
            &example_spec(),
            &kinds,
            &load,
            14,
            &lost,
        );
        println!("{seed} lost domain least loaded {}", describe(&report));
    }
}
