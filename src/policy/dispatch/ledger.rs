//! Claims on one engine: its slots, memory, passes, and the streams that pauses harm.

use std::time::{Duration, Instant};

use super::ask::{EngineTarget, JobId, JobReport};

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
/// How long a pass counts as going on after its predicted end, unless a first event tells
/// that it is over.
const OVERDUE_FOR: Duration = Duration::from_millis(400);
/// What is left of such a pass: longer than an engine may need to count as free.
const OVERDUE_LEFT: Duration = Duration::from_millis(80);
/// Share of a request's value that is left when it is late.
pub(super) const LATE_VALUE: f64 = 0.25;

/// A request's claim on an engine, with when it ends.
#[derive(Debug, Clone)]
pub(super) struct EngineJob {
    pub(super) report: JobReport,
    /// The pass that reads it; none once it generates.
    pub(super) read_in: Option<u64>,
    pub(super) booked: Instant,
    /// Until when its first event is in time.
    pub(super) in_time_until: Instant,
    pub(super) expires: Instant,
    /// Late already, so that a further pause costs nothing.
    pub(super) spoiled: bool,
}

/// An engine and the claims on it.
///
/// An engine works in passes: one reads all that waits when it begins, and gives each stream
/// an event at its end.
#[derive(Debug)]
pub(super) struct EngineLedger {
    pub(super) target: EngineTarget,
    pub(super) usable: bool,
    pub(super) jobs: Vec<EngineJob>,
    pub(super) sends: Vec<Instant>,
    /// The pass that goes on.
    pass: u64,
    /// When it ends, where it reads or something waits for its end.
    pass_ends: Option<Instant>,
}

/// What a request that arrives now waits for.
#[derive(Debug, Clone, Copy)]
pub(super) struct NextPass {
    /// Until the next pass begins.
    pub(super) begins_in: Duration,
    /// Reading that it already holds.
    pub(super) reading: Duration,
}

impl EngineJob {
    /// Whether the next event comes too late if the next pass of its engine, `pass` itself,
    /// holds more reading and ends at `pass_end`, `pause` after it began.
    fn is_held_up_by(&self, pass: u64, pause: Duration, pass_end: Instant) -> bool {
        if self.report.helper {
            return false;
        }
        match self.read_in {
            Some(own) if own == pass => self.in_time_until < pass_end,
            Some(_) if !self.report.short => false,
            _ => pause > self.report.pause.mul_f64(PAUSE_LIMIT),
        }
    }
}

impl EngineLedger {
    /// An engine without claims.
    pub(super) fn new(target: EngineTarget) -> Self {
        Self {
            target,
            usable: true,
            jobs: Vec::new(),
            sends: Vec::new(),
            pass: 0,
            pass_ends: None,
        }
    }

    /// What a request that arrives now waits for; a pass without reading takes `step`.
    pub(super) fn next_pass(&self, step: Duration, now: Instant) -> NextPass {
        let Some(ends) = self.pass_ends else {
            let under_way = self.generating().next().is_some();
            return NextPass {
                begins_in: if under_way { step / 2 } else { Duration::ZERO },
                reading: Duration::ZERO,
            };
        };
        let left = ends.saturating_duration_since(now);
        NextPass {
            begins_in: if left.is_zero() { OVERDUE_LEFT } else { left },
            reading: self.reading_in(self.pass + 1),
        }
    }

    fn reading_in(&self, pass: u64) -> Duration {
        self.jobs
            .iter()
            .filter(|held| held.read_in == Some(pass))
            .map(|held| held.report.reading)
            .sum()
    }

    /// Adds a claim whose prompt is read in the next pass.
    pub(super) fn claim(
        &mut self,
        report: JobReport,
        life: Duration,
        step: Duration,
        now: Instant,
    ) {
        let next = self.next_pass(step, now);
        let first_event = now + next.begins_in + next.reading + report.reading + step;
        let in_time_until = now + report.objective;
        let read_in = (!report.reading.is_zero()).then(|| self.enter_next_pass(&report, step, now));
        self.jobs.push(EngineJob {
            spoiled: read_in.is_some() && in_time_until < first_event,
            report,
            read_in,
            booked: now,
            in_time_until,
            expires: now + life,
        });
    }

    /// The pass that reads what arrives now: on an idle engine one that begins with it.
    fn enter_next_pass(&mut self, report: &JobReport, step: Duration, now: Instant) -> u64 {
        if self.pass_ends.is_none() && self.generating().next().is_none() {
            self.pass += 1;
            self.pass_ends = Some(now + report.reading + step);
            return self.pass;
        }
        self.pass_ends.get_or_insert(now + step / 2);
        self.pass + 1
    }

    /// Goes on to the pass that is under way at `now`.
    pub(super) fn roll(&mut self, step: Duration, now: Instant) {
        while let Some(ends) = self.pass_ends {
            if now < ends {
                return;
            }
            let unread = self
                .jobs
                .iter()
                .any(|held| held.read_in == Some(self.pass) && !held.report.helper);
            if unread && now < ends + OVERDUE_FOR {
                return;
            }
            self.begin_pass(if unread { now } else { ends }, step);
        }
    }

    fn begin_pass(&mut self, at: Instant, step: Duration) {
        self.pass += 1;
        let reading = self.reading_in(self.pass);
        self.pass_ends = (!reading.is_zero()).then(|| at + reading + step);
    }

    /// Notes that a request's prompt is read: the pass that read it is over.
    pub(super) fn note_read(&mut self, job: JobId, step: Duration, now: Instant) {
        let Some(held) = self.jobs.iter_mut().find(|held| held.report.job == job) else {
            return;
        };
        let Some(pass) = held.read_in.take() else {
            return;
        };
        let helper = held.report.helper;
        self.jobs
            .retain(|held| held.report.job != job || !helper || held.report.memory > 0);
        if pass == self.pass
            && let Some(ends) = self.pass_ends
        {
            // A helper may have been done long before the lead.
            let over = if helper { ends.min(now) } else { now };
            self.begin_pass(over, step);
        } else if pass == self.pass + 1 {
            // The last pass was over sooner than predicted.
            self.pass += 1;
            self.begin_pass(now, step);
        }
    }

    /// What is left of a claim's reading.
    pub(super) fn reading_left_of(&self, held: &EngineJob, now: Instant) -> Duration {
        match held.read_in {
            None => Duration::ZERO,
            Some(pass) if pass == self.pass => {
                let left = self
                    .pass_ends
                    .map_or(Duration::ZERO, |ends| ends.saturating_duration_since(now));
                left.min(held.report.reading)
            }
            Some(_) => held.report.reading,
        }
    }

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
            .filter(|held| held.read_in.is_none() && !held.report.helper)
    }

    /// What a part that takes `read` costs the streams here: those that pause too long
    /// are late. A pass without reading takes `step`.
    pub(super) fn harm_of(&self, read: Duration, step: Duration, now: Instant) -> f64 {
        let next = self.next_pass(step, now);
        let pause = next.reading + read + step;
        let end = now + next.begins_in + pause;
        self.jobs
            .iter()
            .filter(|held| held.is_held_up_by(self.pass + 1, pause, end))
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
    pub(super) fn spoil(&mut self, read: Duration, step: Duration, now: Instant) {
        let next = self.next_pass(step, now);
        let pause = next.reading + read + step;
        let end = now + next.begins_in + pause;
        for held in &mut self.jobs {
            held.spoiled |= held.is_held_up_by(self.pass + 1, pause, end);
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

    /// Until what is read here of long prompts is read; a pass without reading takes `step`.
    pub(super) fn long_reading_left(&self, step: Duration, now: Instant) -> Duration {
        let next = self.next_pass(step, now);
        self.jobs
            .iter()
            .filter(|held| !held.report.short)
            .filter_map(|held| held.read_in)
            .map(|pass| match pass {
                pass if pass == self.pass => next.begins_in,
                pass if pass > self.pass => next.begins_in + next.reading + step,
                _ => Duration::ZERO,
            })
            .max()
            .unwrap_or(Duration::ZERO)
    }
}

/// What a prompt is worth to its caller, compared with others.
pub(super) fn prompt_value(prompt: u64) -> f64 {
    (prompt as f64).powf(VALUE_EXPONENT)
}
