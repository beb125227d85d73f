//! Pace of requests to cold targets.

use std::time::{Duration, Instant};

use plantainnotch::ids::TargetName;
use plantainnotch::policy::cold_pacing::ColdPacing;

use crate::fixtures::check;

#[test]
fn no_vm_sends_a_cold_target_more_than_its_part_of_the_limit() {
    fn property(gaps_ms: Vec<u8>, phase: u8) -> bool {
        const RATE: f64 = 9.0;
        let (mut pacing, name) = (ColdPacing::default(), TargetName::new("i-1"));
        let mut now = Instant::now();
        let mut sent: Vec<Instant> = Vec::new();
        for gap in gaps_ms {
            now += Duration::from_millis(u64::from(gap) / 4);
            if pacing
                .wait(&name, RATE, f64::from(phase) / 255.0, now)
                .is_zero()
            {
                pacing.record(&name, RATE, now);
                sent.push(now);
            }
        }
        sent.iter().all(|start| {
            let window = *start..*start + Duration::from_secs(1);
            sent.iter().filter(|at| window.contains(*at)).count() <= 10
        })
    }
    check(61, property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn a_large_fleet_does_not_begin_together() {
    const VMS: usize = 195;
    let (name, start) = (TargetName::new("i-1"), Instant::now());
    let rate = 28.0 / VMS as f64;
    let mut fleet: Vec<ColdPacing> = (0..VMS).map(|_| ColdPacing::default()).collect();
    let mut sent = Vec::new();
    for ms in (0..3_000).step_by(10) {
        let now = start + Duration::from_millis(ms);
        for (index, pacing) in fleet.iter_mut().enumerate() {
            if pacing
                .wait(&name, rate, index as f64 / VMS as f64, now)
                .is_zero()
            {
                pacing.record(&name, rate, now);
                sent.push(ms);
            }
        }
    }

    for second in 0..2 {
        let window = second * 1_000..(second + 1) * 1_000;
        let count = sent.iter().filter(|ms| window.contains(*ms)).count();
        assert!((20..=47).contains(&count), "{count} in second {second}");
    }
}
