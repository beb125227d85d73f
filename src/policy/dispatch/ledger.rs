//! Claims on one engine: its slots, memory, reading, and the streams that pauses harm.

use std::time::{Duration, Instant};

use super::ask::{EngineTarget, JobReport};

/// A stream that runs for longer was held up before, and fails at its deadline if that goes on.
const FAILING_AGE: Duration = Duration::from_secs(4);
/// Share of a late stream's value that a further long pause costs: a few of them, and it
/// does not end in its time.
const LATE_HARM_SHARE: f64 = 0.3;
/// Share of the allowed pause beyond which a stream counts as late.
const PAUSE_LIMIT: f64 = 0.92;
/// Value of a prompt grows with this power of its length: an archive of 130,000 tokens is
/// worth about twelve checks of 5,000.
const VALUE_EXPONENT: f64 = 0.75;
/// Share of a request's value that is left when it is late.
pub(super) const LATE_VALUE: f64 = 0.25;

/// A request's claim on an engine, with when it ends.
#[derive(Debug, Clone)]
pub(super) struct EngineJob {
    pub(super) report: JobReport,
    pub(super) read_until: Option<Instant>,
    pub(super) booked: Instant,
    pub(super) expires: Instant,
    /// Late already, so that a further pause costs nothing.
    pub(super) spoiled: bool,
}

/// An engine and the claims on it.
#[derive(Debug)]
pub(super) struct EngineLedger {
    pub(super) target: EngineTarget,
    pub(super) usable: bool,
    pub(super) jobs: Vec<EngineJob>,
    pub(super) sends: Vec<Instant>,
}

impl EngineJob {
    /// Whether the stream's next pause would be too long.
    pub(super) fn is_held_up_by(&self, pause: Duration) -> bool {
        let begun = self.report.short || self.read_until.is_none();
        begun && !self.report.helper && pause > self.report.pause.mul_f64(PAUSE_LIMIT)
    }
}

impl EngineLedger {
    pub(super) fn running(&self) -> usize {
        self.jobs.iter().filter(|held| !held.report.helper).count()
    }

    pub(super) fn shorts(&self) -> usize {
        self.jobs.iter().filter(|held| held.report.short).count()
    }

    /// Value of the requests that generate here.
    pub(super) fn generating_value(&self) -> f64 {
        self.generating()
            .filter(|held| !held.spoiled)
            .map(|held| prompt_value(held.report.prompt))
            .sum()
    }

    fn generating(&self) -> impl Iterator<Item = &EngineJob> {
        self.jobs
            .iter()
            .filter(|held| held.read_until.is_none() && !held.report.helper)
    }

    /// What a part that takes `read` costs the streams here: those that pause too long
    /// are late.
    pub(super) fn harm_of(&self, read: Duration, pass: Duration, now: Instant) -> f64 {
        let pause = read + pass + self.unread(now);
        self.jobs
            .iter()
            .filter(|held| held.is_held_up_by(pause))
            .map(|held| {
                let age = now.saturating_duration_since(held.booked);
                let share = match held.spoiled {
                    _ if age > FAILING_AGE => 1.0,
                    true => LATE_VALUE * LATE_HARM_SHARE,
                    false => 1.0 - LATE_VALUE,
                };
                prompt_value(held.report.prompt) * share
            })
            .sum()
    }

    /// Notes the streams that a further part makes late.
    pub(super) fn spoil(&mut self, read: Duration, pass: Duration, now: Instant) {
        let pause = read + pass + self.unread(now);
        for held in &mut self.jobs {
            held.spoiled |= held.is_held_up_by(pause);
        }
    }

    /// Short prompts that are still in time.
    pub(super) fn tender(&self) -> usize {
        self.jobs
            .iter()
            .filter(|held| held.report.short && !held.spoiled)
            .count()
    }

    /// The least pause that anything generating here allows.
    pub(super) fn least_pause(&self, own: Duration) -> Duration {
        self.jobs
            .iter()
            .map(|held| held.report.pause)
            .fold(own, Duration::min)
    }

    pub(super) fn memory_used(&self) -> u64 {
        self.jobs.iter().map(|held| held.report.memory).sum()
    }

    pub(super) fn context(&self) -> u64 {
        self.jobs.iter().map(|held| held.report.context).sum()
    }

    pub(super) fn reading_left(&self, now: Instant) -> Duration {
        self.jobs
            .iter()
            .filter_map(|held| held.read_until)
            .max()
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Reading that the next pass here holds: what arrives during a pass waits for its end.
    pub(super) fn unread(&self, now: Instant) -> Duration {
        self.jobs
            .iter()
            .filter_map(|held| {
                let until = held.read_until?;
                Some(if held.report.short {
                    held.report.reading
                } else {
                    until.saturating_duration_since(now)
                })
            })
            .sum()
    }

    pub(super) fn long_reading_left(&self, now: Instant) -> Duration {
        self.jobs
            .iter()
            .filter(|held| !held.report.short)
            .filter_map(|held| held.read_until)
            .max()
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// What a prompt is worth to its caller, compared with others.
pub(super) fn prompt_value(prompt: u64) -> f64 {
    (prompt as f64).powf(VALUE_EXPONENT)
}
