//! Jobs on one engine: the slots and memory that they take, the passes that prefill them, and
//! the value lost when their events come late.

use std::time::{Duration, Instant};

use super::request::{EngineTarget, JobId, JobReport};
use crate::policy::engine_pace::AddedPrefill;
use crate::policy::permits::PermitBucket;

/// Age from which a delay is taken to cost a job its whole value, whether or not it was late
/// before: a stream of that age is assumed to have been delayed already, and to miss its deadline
/// if that goes on.
const FULL_LOSS_AGE: Duration = Duration::from_secs(4);
/// Share of a late stream's remaining value that a further long event gap costs: after a few of
/// them the stream misses its deadline.
const LATE_GAP_COST_SHARE: f64 = 0.3;
/// Share of the allowed event gap from which a stream counts as late.
const LATE_GAP_SHARE: f64 = 0.92;
/// Exponent of a prompt's value by its length: one prompt of 130,000 tokens is worth about
/// twelve of 5,000.
const VALUE_EXPONENT: f64 = 0.75;
/// Time after its predicted end until an overdue pass is taken as over, unless a first event
/// shows that earlier.
const OVERDUE_GRACE: Duration = Duration::from_millis(400);
/// Assumed time left of an overdue pass: above `MAX_AVAILABLE_PREFILL_LEFT`, so that its engine
/// does not count as available.
const ASSUMED_OVERDUE_PASS_LEFT: Duration = Duration::from_millis(80);
/// Share of a request's value that remains once it is late.
pub(super) const LATE_VALUE_SHARE: f64 = 0.25;

/// A request, or a part of one, on an engine.
#[derive(Debug, Clone)]
pub(super) struct EngineJob {
    pub(super) report: JobReport,
    /// Number of the pass that prefills it; `None` once it generates.
    pub(super) prefill_pass: Option<u64>,
    pub(super) added_at: Instant,
    /// Latest time for its first event to be on time.
    pub(super) objective_at: Instant,
    pub(super) expires_at: Instant,
    /// Predicted time from its first event to its last one.
    decode: Duration,
    /// Predicted time at which its memory is free.
    pub(super) ends_at: Instant,
    /// Whether it is late or predicted to be, so that a further delay costs less.
    pub(super) is_late: bool,
    /// Its prompt's value, by length and rank.
    value: f64,
}

/// Sums over the jobs of one engine. They are computed when its jobs or its pass number change,
/// which is far less often than they are read; the sum of values is kept exact that way.
#[derive(Debug, Default)]
struct JobTotals {
    running: usize,
    short_prompts: usize,
    on_time_short_prompts: usize,
    generating: usize,
    on_time_generating_value: f64,
    context_tokens: u64,
    memory_tokens: u64,
    min_event_gap: Option<Duration>,
    /// Prefill time that is scheduled in the next pass.
    next_prefill: Duration,
    /// Whether the current pass prefills a prompt whose first event comes from this engine.
    current_prefills_lead: bool,
    /// Whether the current pass prefills a long prompt.
    current_prefills_long: bool,
    /// Whether a later pass prefills a long prompt.
    later_prefills_long: bool,
    /// Earliest objective of the prompts that the next pass prefills.
    next_objective_at: Option<Instant>,
    /// Shortest event gap that makes a stream late.
    min_late_gap: Option<Duration>,
    earliest_expiry: Option<Instant>,
}

fn min_option<T: Ord>(least: Option<T>, other: T) -> Option<T> {
    Some(match least {
        Some(least) => least.min(other),
        None => other,
    })
}

impl JobTotals {
    fn new(jobs: &[EngineJob], pass: u64) -> Self {
        let mut totals = Self::default();
        for job in jobs {
            totals.add(job, pass);
        }
        totals
    }

    fn add(&mut self, job: &EngineJob, pass: u64) {
        let report = &job.report;
        self.context_tokens += report.context_tokens;
        self.memory_tokens += report.memory_tokens;
        self.min_event_gap = min_option(self.min_event_gap, report.max_event_gap);
        self.earliest_expiry = min_option(self.earliest_expiry, job.expires_at);
        if report.is_short {
            self.short_prompts += 1;
            self.on_time_short_prompts += usize::from(!job.is_late);
        }
        if let Some(own) = job.prefill_pass {
            if own == pass + 1 {
                self.next_prefill += report.prefill_left;
            }
            self.current_prefills_long |= !report.is_short && own == pass;
            self.later_prefills_long |= !report.is_short && own > pass;
        }
        if report.is_helper {
            return;
        }
        self.running += 1;
        self.current_prefills_lead |= job.prefill_pass == Some(pass);
        if job.prefill_pass.is_none() {
            self.generating += 1;
            if !job.is_late {
                self.on_time_generating_value += job.value;
            }
        }
        // A prompt without tokens has no value to lose.
        if report.prompt_tokens == 0 {
            return;
        }
        match job.prefill_pass {
            Some(own) if own == pass + 1 => {
                self.next_objective_at = min_option(self.next_objective_at, job.objective_at);
            }
            Some(_) if !report.is_short => {}
            _ => self.min_late_gap = min_option(self.min_late_gap, job.late_gap()),
        }
    }
}

/// An engine and the jobs on it.
///
/// An engine works in forward passes over all its requests, of several decode steps each. A pass
/// prefills all prompts that wait when it starts, and produces one event for each stream when it
/// ends.
#[derive(Debug)]
pub(super) struct EngineLedger {
    pub(super) target: EngineTarget,
    pub(super) accepts_work: bool,
    jobs: Vec<EngineJob>,
    totals: JobTotals,
    pub(super) recent_sends: Vec<Instant>,
    /// Number and total time of the prefills that were added here, at the declared speed.
    pub(super) added_prefill: AddedPrefill,
    /// How much longer it takes than its service declares; 1 unless it counts as slow.
    pub(super) pace: f64,
    /// Permits to send requests, if the engine named a rate limit.
    pub(super) permits: Option<PermitBucket>,
    /// Number of the current pass.
    pass: u64,
    /// Predicted end of the current pass; `None` if it prefills nothing and no prompt waits.
    pass_ends_at: Option<Instant>,
}

/// Times that are predicted for a job when it is added, and the factor of its value.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobTimes {
    /// From its first event to its last one.
    pub(super) decode: Duration,
    /// Until it is dropped if no end is reported.
    pub(super) lifetime: Duration,
    /// Factor of its prompt's value by its rank.
    pub(super) value_factor: f64,
}

/// The pass that prefills a request that arrives now.
#[derive(Debug, Clone, Copy)]
pub(super) struct NextPass {
    pub(super) starts_in: Duration,
    /// Prefill time of the prompts that are already scheduled in it.
    pub(super) prefill: Duration,
}

impl EngineJob {
    /// Event gap above which its stream counts as late.
    fn late_gap(&self) -> Duration {
        self.report.max_event_gap.mul_f64(LATE_GAP_SHARE)
    }

    /// Whether the job's next event is late if pass number `pass`, the next one of its engine,
    /// takes more prefill and ends at `pass_end`, `event_gap` after it started.
    fn is_delayed_by(&self, pass: u64, event_gap: Duration, pass_end: Instant) -> bool {
        if self.report.is_helper {
            return false;
        }
        match self.prefill_pass {
            // Its first event comes at the end of that pass.
            Some(own) if own == pass => self.objective_at < pass_end,
            // A long prompt that another pass prefills.
            Some(_) if !self.report.is_short => false,
            // It generates, or is short and generates after another pass.
            _ => event_gap > self.late_gap(),
        }
    }
}

impl EngineLedger {
    pub(super) fn new(target: EngineTarget) -> Self {
        Self {
            target,
            accepts_work: true,
            jobs: Vec::new(),
            totals: JobTotals::default(),
            recent_sends: Vec::new(),
            added_prefill: AddedPrefill::default(),
            pace: 1.0,
            permits: None,
            pass: 0,
            pass_ends_at: None,
        }
    }

    /// Replaces what is known of the engine, which accepts work from now on.
    pub(super) fn accept(&mut self, target: &EngineTarget) {
        match (&mut self.permits, target.requests_per_s) {
            (Some(bucket), Some(rate)) => bucket.set_rate(rate),
            (permits, rate) => *permits = rate.map(PermitBucket::new),
        }
        self.target = target.clone();
        self.accepts_work = true;
    }

    pub(super) fn jobs(&self) -> &[EngineJob] {
        &self.jobs
    }

    /// Drops the jobs that `is_kept` does not hold for, and returns their ids.
    pub(super) fn retain_jobs(&mut self, is_kept: impl Fn(&EngineJob) -> bool) -> Vec<JobId> {
        let mut dropped = Vec::new();
        self.jobs.retain(|job| {
            let kept = is_kept(job);
            if !kept {
                dropped.push(job.report.job);
            }
            kept
        });
        if !dropped.is_empty() {
            self.update_totals();
        }
        dropped
    }

    /// Drops the jobs that expired by `now`, and returns their ids.
    pub(super) fn expire_jobs(&mut self, now: Instant) -> Vec<JobId> {
        match self.totals.earliest_expiry {
            Some(at) if at <= now => self.retain_jobs(|job| now < job.expires_at),
            _ => Vec::new(),
        }
    }

    fn update_totals(&mut self) {
        self.totals = JobTotals::new(&self.jobs, self.pass);
    }

    /// Whether a rate limit that the engine named allows a request.
    pub(super) fn has_permit(&self, now: Instant) -> bool {
        let permits = self.permits.as_ref();
        permits.is_none_or(|bucket| bucket.has_permit(now))
    }

    /// The pass that prefills a request that arrives now; a pass without prefill takes
    /// `decode_pass`, and is on average half over.
    pub(super) fn next_pass(&self, decode_pass: Duration, now: Instant) -> NextPass {
        let Some(ends_at) = self.pass_ends_at else {
            let is_decoding = self.totals.generating > 0;
            return NextPass {
                starts_in: if is_decoding {
                    decode_pass / 2
                } else {
                    Duration::ZERO
                },
                prefill: Duration::ZERO,
            };
        };
        let left = ends_at.saturating_duration_since(now);
        NextPass {
            starts_in: if left.is_zero() {
                ASSUMED_OVERDUE_PASS_LEFT
            } else {
                left
            },
            prefill: self.totals.next_prefill,
        }
    }

    /// Adds a job; what is left of its prefill is scheduled in the next pass.
    pub(super) fn add_job(
        &mut self,
        report: JobReport,
        times: JobTimes,
        decode_pass: Duration,
        now: Instant,
    ) {
        if !report.prefill_left.is_zero() {
            self.added_prefill.count += 1;
            self.added_prefill.time += report.prefill_left.div_f64(self.pace);
        }
        let next = self.next_pass(decode_pass, now);
        let first_event = now + next.starts_in + next.prefill + report.prefill_left + decode_pass;
        let objective_at = now + report.objective;
        let value = prompt_value(report.prompt_tokens) * times.value_factor;
        let prefill_pass = (!report.prefill_left.is_zero())
            .then(|| self.schedule_prefill(&report, decode_pass, now));
        self.jobs.push(EngineJob {
            is_late: prefill_pass.is_some() && objective_at < first_event,
            ends_at: now + report.prefill_left + times.decode,
            report,
            prefill_pass,
            added_at: now,
            objective_at,
            expires_at: now + times.lifetime,
            decode: times.decode,
            value,
        });
        self.update_totals();
    }

    /// Returns the number of the pass that prefills a new job: on an idle engine one that
    /// starts now.
    fn schedule_prefill(&mut self, report: &JobReport, decode_pass: Duration, now: Instant) -> u64 {
        if self.pass_ends_at.is_none() && self.totals.generating == 0 {
            self.pass += 1;
            self.pass_ends_at = Some(now + report.prefill_left + decode_pass);
            return self.pass;
        }
        self.pass_ends_at.get_or_insert(now + decode_pass / 2);
        self.pass + 1
    }

    /// Whether the predicted end of the current pass has come.
    pub(super) fn is_pass_due(&self, now: Instant) -> bool {
        self.pass_ends_at.is_some_and(|ends_at| ends_at <= now)
    }

    /// Advances the pass number and predicted end to the pass that runs at `now`. A pass with an
    /// overdue prefill counts as running until its first event, or [`OVERDUE_GRACE`] has passed.
    pub(super) fn advance_to_current_pass(&mut self, decode_pass: Duration, now: Instant) {
        while let Some(ends_at) = self.pass_ends_at {
            if now < ends_at {
                return;
            }
            let prefilling = self.totals.current_prefills_lead;
            if prefilling && now < ends_at + OVERDUE_GRACE {
                return;
            }
            self.start_pass(if prefilling { now } else { ends_at }, decode_pass);
        }
    }

    fn start_pass(&mut self, at: Instant, decode_pass: Duration) {
        let prefill = self.totals.next_prefill;
        self.pass += 1;
        self.update_totals();
        self.pass_ends_at = (!prefill.is_zero()).then(|| at + prefill + decode_pass);
    }

    /// Records that the prefill of a request is done, and with it the pass that ran it. A
    /// helper's job ends here unless it keeps memory for the request.
    pub(super) fn finish_prefill(&mut self, id: JobId, decode_pass: Duration, now: Instant) {
        let Some(job) = self.jobs.iter_mut().find(|job| job.report.job == id) else {
            return;
        };
        let Some(pass) = job.prefill_pass.take() else {
            return;
        };
        job.ends_at = now + job.decode;
        let is_helper = job.report.is_helper;
        self.jobs
            .retain(|job| job.report.job != id || !is_helper || job.report.memory_tokens > 0);
        self.update_totals();
        if pass == self.pass
            && let Some(ends_at) = self.pass_ends_at
        {
            // A helper may have finished its part long before the lead.
            let ended_at = if is_helper { ends_at.min(now) } else { now };
            self.start_pass(ended_at, decode_pass);
        } else if pass == self.pass + 1 {
            // The current pass ended earlier than predicted, and the next one, which prefilled
            // the request, has ended as well.
            self.pass += 1;
            self.update_totals();
            self.start_pass(now, decode_pass);
        }
    }

    /// Prefill time, at the declared speed, of the jobs whose first event is not known yet.
    pub(super) fn pending_prefill(&self) -> Duration {
        let pending = self.jobs.iter().filter(|job| job.prefill_pass.is_some());
        let prefill: Duration = pending.map(|job| job.report.prefill_left).sum();
        prefill.div_f64(self.pace)
    }

    /// Prefill time left of a job.
    pub(super) fn prefill_left_of(&self, job: &EngineJob, now: Instant) -> Duration {
        match job.prefill_pass {
            None => Duration::ZERO,
            Some(pass) if pass == self.pass => {
                let left = self
                    .pass_ends_at
                    .map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
                left.min(job.report.prefill_left)
            }
            Some(_) => job.report.prefill_left,
        }
    }

    /// Whether it counts as slow.
    pub(super) fn is_slow(&self) -> bool {
        self.pace > 1.0
    }

    /// Time that this engine takes for what takes `time` at the declared speed.
    pub(super) fn paced(&self, time: Duration) -> Duration {
        if self.is_slow() {
            time.mul_f64(self.pace)
        } else {
            time
        }
    }

    /// Number of requests that take a slot here; helpers take none.
    pub(super) fn running(&self) -> usize {
        self.totals.running
    }

    pub(super) fn short_prompts(&self) -> usize {
        self.totals.short_prompts
    }

    pub(super) fn on_time_generating_value(&self) -> f64 {
        self.totals.on_time_generating_value
    }

    /// Value that the jobs here lose if `prefill` more is scheduled in the next pass. A pass
    /// without prefill takes `decode_pass`.
    pub(super) fn lateness_cost(
        &self,
        prefill: Duration,
        decode_pass: Duration,
        now: Instant,
    ) -> f64 {
        let next = self.next_pass(decode_pass, now);
        let event_gap = next.prefill + prefill + decode_pass;
        let pass_end = now + next.starts_in + event_gap;
        if !self.delays_any(event_gap, pass_end) {
            return 0.0;
        }
        self.jobs
            .iter()
            .filter(|job| job.is_delayed_by(self.pass + 1, event_gap, pass_end))
            .map(|job| {
                let age = now.saturating_duration_since(job.added_at);
                let lost_share = match job.is_late {
                    _ if age > FULL_LOSS_AGE => 1.0,
                    true => LATE_VALUE_SHARE * LATE_GAP_COST_SHARE,
                    false => 1.0 - LATE_VALUE_SHARE,
                };
                job.value * lost_share
            })
            .sum()
    }

    /// Marks the jobs that become late if `prefill` more is scheduled in the next pass.
    pub(super) fn mark_late(&mut self, prefill: Duration, decode_pass: Duration, now: Instant) {
        let next = self.next_pass(decode_pass, now);
        let event_gap = next.prefill + prefill + decode_pass;
        let pass_end = now + next.starts_in + event_gap;
        for job in &mut self.jobs {
            job.is_late |= job.is_delayed_by(self.pass + 1, event_gap, pass_end);
        }
        self.update_totals();
    }

    /// Whether a job here that has value is delayed, as in [`EngineJob::is_delayed_by`].
    fn delays_any(&self, event_gap: Duration, pass_end: Instant) -> bool {
        let totals = &self.totals;
        totals.next_objective_at.is_some_and(|at| at < pass_end)
            || totals.min_late_gap.is_some_and(|gap| event_gap > gap)
    }

    pub(super) fn on_time_short_prompts(&self) -> usize {
        self.totals.on_time_short_prompts
    }

    /// The shortest of the allowed event gaps of all jobs here and of `own`.
    pub(super) fn min_allowed_gap(&self, own: Duration) -> Duration {
        self.totals.min_event_gap.map_or(own, |gap| gap.min(own))
    }

    /// Tokens of memory that the jobs take.
    pub(super) fn memory_used(&self) -> u64 {
        self.totals.memory_tokens
    }

    /// Tokens of memory that the jobs are predicted to take at `at`.
    pub(super) fn memory_used_at(&self, at: Instant) -> u64 {
        let running = self.jobs.iter().filter(|job| job.ends_at > at);
        running.map(|job| job.report.memory_tokens).sum()
    }

    pub(super) fn context_tokens(&self) -> u64 {
        self.totals.context_tokens
    }

    /// Time until the prefills of long prompts here are done; a pass without prefill takes
    /// `decode_pass`.
    pub(super) fn long_prefill_left(&self, decode_pass: Duration, now: Instant) -> Duration {
        let next = self.next_pass(decode_pass, now);
        if self.totals.later_prefills_long {
            next.starts_in + next.prefill + decode_pass
        } else if self.totals.current_prefills_long {
            next.starts_in
        } else {
            Duration::ZERO
        }
    }
}

/// A prompt's value to its caller, relative to that of other prompts.
pub(super) fn prompt_value(prompt_tokens: u64) -> f64 {
    (prompt_tokens as f64).powf(VALUE_EXPONENT)
}
