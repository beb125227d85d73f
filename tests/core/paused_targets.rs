//! Pauses that targets asked for.

use std::time::{Duration, Instant};

use plantainnotch::ids::TargetName;
use plantainnotch::policy::paused_targets::PausedTargets;

const PAUSE: Duration = Duration::from_secs(4);

fn name() -> TargetName {
    TargetName::new("i-1")
}

#[test]
fn a_pause_lasts_at_least_as_long_as_asked_and_a_fifth_longer_at_most() {
    let now = Instant::now();
    for jitter in [0.0, 0.5, 1.0] {
        let mut paused = PausedTargets::default();

        paused.record(&name(), 1, PAUSE, jitter, now);

        assert!(paused.is_paused(&name(), 1, now + PAUSE - Duration::from_millis(1)));
        assert!(!paused.is_paused(&name(), 1, now + PAUSE.mul_f64(1.2)));
    }
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut paused = PausedTargets::default();

    paused.record(&name(), 1, PAUSE, 0.0, now);
    paused.record(&name(), 1, PAUSE / 4, 0.0, now);

    assert!(paused.is_paused(&name(), 1, now + PAUSE / 2));
}

#[test]
fn a_target_that_started_again_is_not_held_to_a_pause() {
    let now = Instant::now();
    let mut paused = PausedTargets::default();

    paused.record(&name(), 1, PAUSE, 0.0, now);

    assert!(!paused.is_paused(&name(), 2, now));
}

#[test]
fn an_absurd_pause_ends_after_a_minute() {
    let now = Instant::now();
    let mut paused = PausedTargets::default();

    paused.record(&name(), 1, Duration::from_secs(86_400), 1.0, now);

    assert!(!paused.is_paused(&name(), 1, now + Duration::from_secs(72)));
}

#[test]
fn the_first_pause_to_end_tells_when_to_return() {
    let now = Instant::now();
    let names = [name(), TargetName::new("i-2")];
    let mut paused = PausedTargets::default();

    paused.record(&names[0], 1, PAUSE, 0.0, now);
    paused.record(&names[1], 1, PAUSE / 2, 0.0, now);

    assert_eq!(paused.first_end(names.iter(), now), Some(PAUSE / 2));
    assert_eq!(paused.first_end(names.iter(), now + PAUSE), None);
}
