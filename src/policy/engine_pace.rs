//! Pace of model engines, measured from the time between the events of their streams.
//!
//! Pace 1 is what the service declares; an engine of pace 2 takes twice as long. A VM sees the events of
//! its own streams only, so it reports the shortest event gaps of an engine, and the owner of placement,
//! which knows the jobs on all engines, compares them with the pass that the engine model predicts.
//! The shortest gaps are those of passes without prefill: a long prefill beside a stream does not raise
//! them.
//!
//! Long gaps only make an engine suspect. The owner then requests the engine's own report, whose pace
//! decides; gaps decide only where an engine reports no pace, and only if no load explains them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::dispatch::JobId;
use crate::ids::{TargetName, VmName};

/// Shortest time between two reports of a VM.
pub const PACE_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a queried engine must answer: engines report at once, and a throttled VM pauses for up
/// to 75 ms.
pub const ENGINE_QUERY_TIMEOUT: Duration = Duration::from_millis(250);
/// Shortest time between two queries of an engine: each costs it time.
const ENGINE_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Queries of all engines together in [`ENGINE_QUERY_INTERVAL`].
const MAX_QUERIES_PER_INTERVAL: usize = 4;
/// Query intervals for which a reported pace counts: one answer may be lost, and the next one late.
const REPORTED_PACE_INTERVALS: u32 = 3;
/// Pace up to which an engine counts as having the declared speed. The model leaves out generated
/// tokens and network delays, which add up to a tenth.
const NOTABLE_PACE: f64 = 1.25;
/// Highest pace that counts, so that an engine that stalled for once regains its share in time.
const MAX_PACE: f64 = 8.0;
/// Gaps of a stream that are compared with each other.
const WINDOW_GAPS: usize = 6;
/// Time and number of gaps after which fewer gaps are compared, since the engine may be slow.
const MAX_WINDOW_TIME: Duration = Duration::from_millis(1_500);
const MIN_WINDOW_GAPS: usize = 4;
/// Age up to which a VM uses the gaps that it measured.
const MEASURED_LIFETIME: Duration = Duration::from_secs(1);
/// Time for which a VM remembers that an engine looked slow: without evidence, the highest pace ends in 14.4 s.
const SLOW_MEMORY: Duration = Duration::from_secs(15);
/// Age up to which a VM's report counts: three intervals, as one report may be lost.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_600);
/// Time over which an engine's load is compared with a gap: that of the oldest gap that may be reported.
const LOAD_LIFETIME: Duration = Duration::from_secs(2);
/// Longest time over which gaps alone are compared with the load, which bounds the loads that are kept.
const MAX_UNCONFIRMED_TIME: Duration = Duration::from_secs(3);
/// Time from the start of a VM's oldest gaps until its report arrives: [`MAX_WINDOW_TIME`],
/// [`MEASURED_LIFETIME`] and one [`PACE_REPORT_INTERVAL`].
const MAX_GAP_AGE: Duration = Duration::from_secs(3);
/// Requests whose gaps must show that an engine is slow.
const MIN_SLOW_REQUESTS: usize = 3;
/// Time over which they must show it, three intervals between reports. With 900 ms, full engines that
/// prefilled in nearly every pass counted as slow once in a simulated phase.
const MIN_SLOW_TIME: Duration = Duration::from_millis(1_400);
/// Share of an engine's passes with prefill up to which some gap of a few is taken to be without. The
/// passes are counted from prompts that may come in clusters; with a share of 0.5, simulated
/// engines under load counted as slow.
const MAX_PREFILLED_SHARE: f64 = 0.2;
/// Smallest share of an engine's time that is taken as left by prefills.
const MIN_DECODE_SHARE: f64 = 0.1;
/// A quarter of the requests must show a faster engine for it to count as that.
const SHORT_GAP_DIVISOR: usize = 4;
/// Engines that a VM must see before its report tells a slow engine from a slow VM.
const MIN_COMPARED_ENGINES: usize = 3;
/// Half-life of the excess of a pace over 1 without new evidence: an engine that gets no more work
/// must get some again after some seconds to show its speed.
const PACE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Prefills that an engine was given, counted from an arbitrary time on.
#[derive(Debug, Default, Clone, Copy)]
pub struct AddedPrefill {
    /// Number of prompts and parts of prompts.
    pub count: u32,
    /// Their prefill time.
    pub time: Duration,
}

/// What an engine has to do, at the declared speed.
#[derive(Debug, Clone, Copy)]
pub struct EngineLoad {
    /// Time of a pass without prefill.
    pub pass: Duration,
    /// Prefills that were added so far.
    pub added_prefill: AddedPrefill,
    /// Prefill time of the prompts and parts whose first event is not known yet.
    pub pending_prefill: Duration,
}

/// The latest event gaps of one stream.
#[derive(Debug, Default)]
pub struct GapWindow {
    gaps: Vec<Duration>,
    last_event_at: Option<Instant>,
}

impl GapWindow {
    /// Records an event; returns the event gap without prefill whenever enough gaps are known.
    ///
    /// `was_awaited` tells whether the reader waited for the event. If not, the event arrived earlier, at
    /// an unknown time, because this VM or the caller was slow.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use plantainnotch::policy::engine_pace::GapWindow;
    /// let (start, mut window) = (Instant::now(), GapWindow::default());
    /// let at = |ms| start + Duration::from_millis(ms);
    /// let gaps = [0, 50, 100, 400, 450, 500, 550].map(|ms| window.record_event(at(ms), true));
    /// assert_eq!(gaps[6], Some(Duration::from_millis(50)));
    /// ```
    pub fn record_event(&mut self, at: Instant, was_awaited: bool) -> Option<Duration> {
        let last_event_at = std::mem::replace(&mut self.last_event_at, was_awaited.then_some(at));
        if !was_awaited {
            return None;
        }
        self.gaps.push(at.saturating_duration_since(last_event_at?));
        let is_full = self.gaps.len() >= WINDOW_GAPS;
        let is_long = self.gaps.len() >= MIN_WINDOW_GAPS
            && self.gaps.iter().sum::<Duration>() >= MAX_WINDOW_TIME;
        if !is_full && !is_long {
            return None;
        }
        self.gaps.sort_unstable();
        // Delivery may shorten one gap by what it added to the one before, and the last event of an
        // answer may hold fewer tokens; next to gaps of some 100 ms this does not matter.
        let gap = self.gaps[usize::from(is_full)];
        self.gaps.clear();
        Some(gap)
    }
}

/// An engine's event gaps as one VM sees them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObservedGap {
    /// The engine.
    pub target: TargetName,
    /// Shortest time between two events.
    pub event_gap: Duration,
    /// Requests that it was measured for.
    pub requests: u64,
}

/// The engines that look slow to a VM, or do no longer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PaceReport {
    /// The VM.
    pub vm: VmName,
    /// Number of engines whose streams it has measured lately, those not listed included.
    pub observed_engines: u64,
    /// Engines that look slow, and once each of those that no longer do.
    pub gaps: Vec<ObservedGap>,
}

#[derive(Debug)]
struct MeasuredGap {
    job: JobId,
    gap: Duration,
    at: Instant,
}

#[derive(Debug, Default)]
struct MeasuredEngine {
    gaps: VecDeque<MeasuredGap>,
    has_new_gaps: bool,
    /// When it was last reported as slow, unless its return was reported since.
    looked_slow_at: Option<Instant>,
}

/// The event gaps that a VM has measured.
#[derive(Debug, Default)]
pub struct GapLedger {
    engines: BTreeMap<TargetName, MeasuredEngine>,
}

impl GapLedger {
    /// Records an event gap of a stream, as [`GapWindow::record_event`] returns it.
    pub fn record(&mut self, target: &TargetName, job: JobId, gap: Duration, now: Instant) {
        let engine = self.engines.entry(target.clone()).or_default();
        engine.has_new_gaps = true;
        engine.gaps.push_back(MeasuredGap { job, gap, at: now });
    }

    /// An engine's pace as this VM measured it lately, for a pass of `known_pass` at pace 1.
    pub fn pace_of(&self, target: &TargetName, known_pass: Duration, now: Instant) -> Option<f64> {
        let gaps = self.engines.get(target)?.gaps.iter();
        let recent =
            gaps.filter(|measured| now.saturating_duration_since(measured.at) < MEASURED_LIFETIME);
        let gap = recent.map(|measured| measured.gap).min()?;
        Some(pace_of(gap, known_pass))
    }

    /// The report to the owner of placement, if there is news.
    ///
    /// `known_pass` returns the time of a pass of an engine with the jobs that this VM knows. These may
    /// be its own only, so that an engine with many other jobs is reported although it is not slow.
    pub fn report(
        &mut self,
        vm: &VmName,
        known_pass: impl Fn(&TargetName) -> Option<Duration>,
        now: Instant,
    ) -> Option<PaceReport> {
        self.engines.retain(|_, engine| {
            let is_recent = |measured: &MeasuredGap| {
                now.saturating_duration_since(measured.at) < MEASURED_LIFETIME
            };
            engine.gaps.retain(is_recent);
            // An engine may be fast again after a pause in its streams, which must be reported too.
            let is_remembered = |at: Instant| now.saturating_duration_since(at) < SLOW_MEMORY;
            engine.looked_slow_at = engine.looked_slow_at.filter(|at| is_remembered(*at));
            !engine.gaps.is_empty() || engine.looked_slow_at.is_some()
        });
        let mut gaps = Vec::new();
        for (target, engine) in &mut self.engines {
            let Some(observed) = engine.observed(target) else {
                continue;
            };
            let Some(known_pass) = known_pass(target) else {
                continue;
            };
            if !std::mem::take(&mut engine.has_new_gaps) {
                continue;
            }
            let looks_slow = pace_of(observed.event_gap, known_pass) > NOTABLE_PACE;
            let looked_slow_at =
                std::mem::replace(&mut engine.looked_slow_at, looks_slow.then_some(now));
            if looks_slow || looked_slow_at.is_some() {
                gaps.push(observed);
            }
        }
        let observed_engines = self.engines.values();
        let observed_engines = observed_engines.filter(|engine| !engine.gaps.is_empty());
        let observed_engines = observed_engines.count() as u64;
        (!gaps.is_empty()).then(|| PaceReport {
            vm: vm.clone(),
            observed_engines,
            gaps,
        })
    }
}

impl MeasuredEngine {
    fn observed(&self, target: &TargetName) -> Option<ObservedGap> {
        let jobs: BTreeSet<JobId> = self.gaps.iter().map(|measured| measured.job).collect();
        Some(ObservedGap {
            target: target.clone(),
            event_gap: self.gaps.iter().map(|measured| measured.gap).min()?,
            requests: jobs.len() as u64,
        })
    }
}

#[derive(Debug)]
struct VmEvidence {
    pace: f64,
    event_gap: Duration,
    requests: usize,
    /// Whether the VM sees enough engines to tell a slow engine from its own slowness.
    is_compared: bool,
    at: Instant,
}

#[derive(Debug, Default)]
struct EngineEvidence {
    by_vm: BTreeMap<VmName, VmEvidence>,
    /// Since when the evidence has shown a slow engine.
    slow_since: Option<Instant>,
    /// Pace that the gaps show and that no answer has settled since, and its time.
    suspected: Option<(f64, Instant)>,
    queries: QueryState,
    counted: Option<CountedPace>,
    /// Pace in force at the last [`PaceBook::refresh`].
    in_force: Option<f64>,
    /// Loads at the last refreshes, the latest last.
    loads: VecDeque<(Instant, EngineLoad)>,
}

/// The queries of one engine's own report.
#[derive(Debug, Default)]
struct QueryState {
    last_at: Option<Instant>,
    is_in_flight: bool,
    /// Whether the last one ended without a pace.
    gave_no_pace: bool,
}

/// The pace that counts for an engine.
#[derive(Debug)]
struct CountedPace {
    pace: f64,
    /// From when on its excess over 1 halves every [`PACE_HALF_LIFE`].
    decays_from: Instant,
    /// Whether the engine reported it.
    is_reported: bool,
}

/// An engine that begins to count as slow, or ceases to.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceChange {
    /// The engine.
    pub target: TargetName,
    /// Its pace; `None` if it no longer counts as slow.
    pub pace: Option<f64>,
    /// Whether the engine reported the pace, which is otherwise measured.
    pub is_reported: bool,
}

/// The paces of engines as the VMs' reports and the engines' own show them.
#[derive(Debug, Default)]
pub struct PaceBook {
    engines: BTreeMap<TargetName, EngineEvidence>,
    /// Times of the queries within the last [`ENGINE_QUERY_INTERVAL`].
    recent_queries: Vec<Instant>,
}

impl PaceBook {
    /// Takes over a VM's report.
    ///
    /// A report in which most engines look slow counts for nothing: the VM itself is the cause.
    pub fn apply(&mut self, report: &PaceReport, now: Instant) {
        let paces: Vec<(&ObservedGap, f64)> = report
            .gaps
            .iter()
            .filter_map(|observed| {
                let predicted_gap = self.engines.get(&observed.target)?.predicted_gap(now)?;
                Some((observed, pace_of(observed.event_gap, predicted_gap)))
            })
            .collect();
        let slow = paces.iter().filter(|(_, pace)| *pace > NOTABLE_PACE);
        let observed_engines = report.observed_engines as usize;
        let is_compared = observed_engines >= MIN_COMPARED_ENGINES;
        if is_compared && slow.count() * 2 > observed_engines {
            for engine in self.engines.values_mut() {
                engine.by_vm.remove(&report.vm);
            }
            return;
        }
        for (observed, pace) in paces {
            let evidence = VmEvidence {
                pace,
                event_gap: observed.event_gap,
                requests: observed.requests as usize,
                is_compared,
                at: now,
            };
            if let Some(engine) = self.engines.get_mut(&observed.target) {
                engine.by_vm.insert(report.vm.clone(), evidence);
                engine.evaluate(now);
            }
        }
    }

    /// The engines to query for their own reports now; each query is to end with [`Self::record_answer`].
    ///
    /// These are engines that the gaps make suspect, and engines that have reported a pace that counts.
    /// Those that were not queried for longest come first.
    pub fn due_queries(&mut self, now: Instant) -> Vec<TargetName> {
        self.recent_queries
            .retain(|at| now.saturating_duration_since(*at) < ENGINE_QUERY_INTERVAL);
        let free_queries = MAX_QUERIES_PER_INTERVAL.saturating_sub(self.recent_queries.len());
        let mut due: Vec<(&TargetName, &mut EngineEvidence)> = self
            .engines
            .iter_mut()
            .filter(|(_, engine)| engine.needs_report(now) && engine.queries.is_due(now))
            .collect();
        due.sort_by_key(|(_, engine)| engine.queries.last_at);
        due.truncate(free_queries);
        self.recent_queries.extend(due.iter().map(|_| now));
        due.into_iter()
            .map(|(target, engine)| {
                engine.queries.last_at = Some(now);
                engine.queries.is_in_flight = true;
                target.clone()
            })
            .collect()
    }

    /// Records the pace that an engine reports; `None` if its report has none, or none arrived within
    /// [`ENGINE_QUERY_TIMEOUT`].
    pub fn record_answer(&mut self, target: &TargetName, pace: Option<f64>, now: Instant) {
        let queried = self.engines.values();
        let queried = queried.filter(|engine| engine.needs_report(now)).count();
        let rounds = queried.div_ceil(MAX_QUERIES_PER_INTERVAL).max(1) as u32;
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.queries.is_in_flight = false;
        engine.queries.gave_no_pace = pace.is_none();
        engine.suspected = None;
        let Some(pace) = pace else { return };
        engine.counted = is_slow(pace).then(|| CountedPace {
            pace: pace.min(MAX_PACE),
            decays_from: now + ENGINE_QUERY_INTERVAL * rounds * REPORTED_PACE_INTERVALS,
            is_reported: true,
        });
    }

    /// Records the present engines with the load of each, and returns the engines that begin or cease to count as slow.
    pub fn refresh(
        &mut self,
        loads: impl IntoIterator<Item = (TargetName, EngineLoad)>,
        now: Instant,
    ) -> Vec<PaceChange> {
        for (target, load) in loads {
            let engine = self.engines.entry(target).or_default();
            engine.loads.push_back((now, load));
        }
        let mut changes = Vec::new();
        self.engines.retain(|target, engine| {
            engine.drop_outdated(now);
            let is_present = engine.is_present(now);
            let pace = engine.pace(now).filter(|_| is_present);
            if pace.is_some() != engine.in_force.is_some() {
                let counted = engine.counted.as_ref();
                changes.push(PaceChange {
                    target: target.clone(),
                    pace,
                    is_reported: counted.is_some_and(|counted| counted.is_reported),
                });
            }
            engine.in_force = pace;
            is_present
        });
        changes
    }

    /// The engines that count as slow, with their paces as of the last [`Self::refresh`].
    pub fn slow_engines(&self) -> BTreeMap<TargetName, f64> {
        let slow = |(target, engine): (&TargetName, &EngineEvidence)| {
            engine.in_force.map(|pace| (target.clone(), pace))
        };
        self.engines.iter().filter_map(slow).collect()
    }
}

impl EngineEvidence {
    /// Event gap that the engine model predicts for the shortest of several gaps measured lately.
    ///
    /// That is the longest of the passes without prefill, since a gap may have been measured before jobs
    /// ended. If so many prompts came that most passes prefilled, it is the mean of all passes.
    fn predicted_gap(&self, now: Instant) -> Option<Duration> {
        let is_recent =
            |(at, _): &&(Instant, EngineLoad)| now.saturating_duration_since(*at) < LOAD_LIFETIME;
        let (from, first) = self.loads.iter().find(is_recent)?;
        let (_, last) = self.loads.back()?;
        let recent = self.loads.iter().filter(is_recent);
        let pass = recent.map(|(_, load)| load.pass).max()?;
        let elapsed = now.saturating_duration_since(*from);
        if elapsed.is_zero() {
            return Some(pass);
        }
        let count = last
            .added_prefill
            .count
            .saturating_sub(first.added_prefill.count);
        let prefill = last
            .added_prefill
            .time
            .saturating_sub(first.added_prefill.time);
        let decode_share = 1.0 - prefill.as_secs_f64() / elapsed.as_secs_f64();
        let decode_share = decode_share.max(MIN_DECODE_SHARE);
        let passes = elapsed.as_secs_f64() * decode_share / pass.as_secs_f64();
        if f64::from(count) <= passes * MAX_PREFILLED_SHARE {
            return Some(pass);
        }
        Some(pass.div_f64(decode_share))
    }

    /// Longest event gap that the engine's load may cause at the declared speed in evidence that has
    /// lasted since `slow_since`; `None` if it may cause any.
    ///
    /// All prefill that may have run in that time is taken to have run in it: what was pending before the
    /// first gap began, and all that came later. In what is left of the time, the engine made passes, and
    /// all but one gap of a window are at least as long as the reported one.
    fn explained_gap(&self, slow_since: Instant, now: Instant) -> Option<Duration> {
        let lasted = now.saturating_duration_since(slow_since);
        let lasted = lasted.min(MAX_UNCONFIRMED_TIME);
        let is_before = |at: Instant| now.saturating_duration_since(at) >= lasted + MAX_GAP_AGE;
        let first = self.loads.iter().rev().find(|(at, _)| is_before(*at));
        let (from, first) = first.or_else(|| self.loads.front())?;
        let (_, last) = self.loads.back()?;
        let compared = self.loads.iter().filter(|(at, _)| at >= from);
        let pass = compared.map(|(_, load)| load.pass).max()?;
        let added = last
            .added_prefill
            .time
            .saturating_sub(first.added_prefill.time);
        let prefill = first.pending_prefill + added;
        let decode_share = 1.0 - prefill.as_secs_f64() / lasted.as_secs_f64();
        let longer_gaps = (WINDOW_GAPS - 1) as f64 / WINDOW_GAPS as f64;
        (decode_share > MIN_DECODE_SHARE).then(|| pass.div_f64(decode_share * longer_gaps))
    }

    fn is_present(&self, now: Instant) -> bool {
        let last = self.loads.back();
        last.is_some_and(|(at, _)| now.saturating_duration_since(*at) < LOAD_LIFETIME)
    }

    fn drop_outdated(&mut self, now: Instant) {
        // The last load from before the time that is compared is kept too.
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) < MAX_UNCONFIRMED_TIME + MAX_GAP_AGE;
        let outdated = self.loads.iter().take_while(|(at, _)| !is_recent(*at));
        let outdated = outdated.count().saturating_sub(1);
        self.loads.drain(..outdated);
        self.by_vm
            .retain(|_, evidence| now.saturating_duration_since(evidence.at) < REPORT_LIFETIME);
        if self.by_vm.is_empty() {
            self.slow_since = None;
        }
    }

    fn evaluate(&mut self, now: Instant) {
        self.drop_outdated(now);
        let mut evidence: Vec<&VmEvidence> = self.by_vm.values().collect();
        evidence.sort_by(|a, b| a.pace.total_cmp(&b.pace));
        let requests: usize = evidence.iter().map(|evidence| evidence.requests).sum();
        // Gaps are longer than passes where every pass prefills, and shorter only by chance.
        let mut left = requests.div_ceil(SHORT_GAP_DIVISOR);
        let shortest = evidence.iter().find(|evidence| {
            left = left.saturating_sub(evidence.requests);
            left == 0
        });
        let Some((pace, gap)) = shortest.map(|evidence| (evidence.pace, evidence.event_gap)) else {
            return;
        };
        let is_engine = evidence.len() > 1 || evidence.iter().any(|evidence| evidence.is_compared);
        if pace <= NOTABLE_PACE {
            self.slow_since = None;
            self.suspected = None;
            self.counted = None;
            return;
        }
        let slow_since = *self.slow_since.get_or_insert(now);
        if requests < MIN_SLOW_REQUESTS {
            return;
        }
        let pace = pace.min(MAX_PACE);
        self.suspected = Some((pace, now));
        if self.queries.gave_no_pace
            && is_engine
            && now.saturating_duration_since(slow_since) >= MIN_SLOW_TIME
            && let Some(explained_gap) = self.explained_gap(slow_since, now)
            && pace_of(gap, explained_gap) > NOTABLE_PACE
        {
            self.counted = Some(CountedPace {
                pace,
                decays_from: now,
                is_reported: false,
            });
        }
    }

    fn pace(&self, now: Instant) -> Option<f64> {
        let counted = self.counted.as_ref()?;
        decayed_pace(counted.pace, counted.decays_from, now)
    }

    fn needs_report(&self, now: Instant) -> bool {
        let is_suspect = self
            .suspected
            .is_some_and(|(pace, at)| decayed_pace(pace, at, now).is_some());
        let has_reported = self.counted.as_ref();
        let has_reported = has_reported.is_some_and(|counted| counted.is_reported);
        is_suspect || (has_reported && self.pace(now).is_some())
    }
}

impl QueryState {
    fn is_due(&self, now: Instant) -> bool {
        let is_early = |at: Instant| now.saturating_duration_since(at) < ENGINE_QUERY_INTERVAL;
        !self.is_in_flight && !self.last_at.is_some_and(is_early)
    }
}

/// What is left of a pace without evidence since `at`, if it is still notable.
fn decayed_pace(pace: f64, at: Instant, now: Instant) -> Option<f64> {
    let age = now.saturating_duration_since(at);
    let half_lives = age.as_secs_f64() / PACE_HALF_LIFE.as_secs_f64();
    let left = 1.0 + (pace - 1.0) * 0.5_f64.powf(half_lives);
    is_slow(left).then_some(left)
}

/// Whether an engine of this pace is slower than the declared speed.
///
/// ```
/// use plantainnotch::policy::engine_pace::is_slow;
/// assert!(is_slow(1.5) && !is_slow(1.25));
/// ```
pub fn is_slow(pace: f64) -> bool {
    pace > NOTABLE_PACE
}

fn pace_of(gap: Duration, pass: Duration) -> f64 {
    gap.as_secs_f64() / pass.as_secs_f64().max(f64::MIN_POSITIVE)
}
