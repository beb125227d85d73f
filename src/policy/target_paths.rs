//! Whether this VM reaches targets at all, from the failures and answers on its own connections.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::chart::{ChartError, StateChart, paths_chart};
use crate::ids::TargetName;

/// Distinct targets that fail in a row before the paths are in doubt: one may be dead or silent.
const DOUBTED_TARGETS: usize = 2;
/// Distinct targets that fail in a row before the paths count as lost: those in doubt and a round of
/// probes.
const CONCLUSIVE_TARGETS: usize = DOUBTED_TARGETS + DOUBT_PROBES;
const FAILURE_WINDOW: Duration = Duration::from_secs(3); // a failure longer ago says nothing of the path now
const DOUBT_PROBES: usize = 4;
const LOST_PROBES: usize = 2;
const DOUBT_PROBE_INTERVAL: Duration = Duration::from_millis(300);
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(400);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const RETURN_TIME: Duration = Duration::from_secs(2);

const OPEN: &str = "open";
const DOUBTFUL: &str = "doubtful";
const LOST: &str = "lost";
const RETURNING: &str = "returning";

/// The order in which targets are probed: one of each service in turn, so that one whose targets are
/// all dead is not taken for a lost path.
///
/// ```
/// use plantainnotch::ids::TargetName;
/// use plantainnotch::policy::target_paths::probe_order;
/// let names = |names: [&str; 2]| names.map(TargetName::new).to_vec();
/// let order = probe_order(&[names(["a", "b"]), names(["x", "y"])]);
/// assert_eq!(order, ["a", "x", "b", "y"].map(TargetName::new));
/// ```
pub fn probe_order(services: &[Vec<TargetName>]) -> Vec<TargetName> {
    let longest = services.iter().map(Vec::len).max().unwrap_or(0);
    let turns =
        (0..longest).flat_map(|turn| services.iter().filter_map(move |names| names.get(turn)));
    turns.cloned().collect()
}

/// This VM's paths to its targets.
///
/// A failure tells of the path between one VM and one target only. Paths are in doubt after failures
/// at two targets in a row, and lost after failures at six, or at all that are known. An answer on a
/// connection opened since proves the opposite; answers on older connections do not, as these may
/// live on while new ones are refused.
///
/// ```
/// use std::time::Instant;
/// use plantainnotch::ids::TargetName;
/// use plantainnotch::policy::target_paths::TargetPaths;
/// let now = Instant::now();
/// let mut paths = TargetPaths::new()?;
/// for name in ["a", "b", "c"] {
///     paths.record_failure(&TargetName::new(name), 3, now);
/// }
/// assert!(paths.are_lost());
/// # Ok::<(), plantainnotch::chart::ChartError>(())
/// ```
#[derive(Debug)]
pub struct TargetPaths {
    chart: StateChart,
    state: String,
    entered_at: Option<Instant>,
    /// Targets that failed since the last answer on a new connection, and when.
    failed: BTreeMap<TargetName, Instant>,
    probed_at: Option<Instant>,
    /// When anything was last received from a target.
    heard_at: Option<Instant>,
    /// A target whose answer is awaited for long, to be probed.
    silent_target: Option<TargetName>,
}

impl TargetPaths {
    /// Creates paths that count as open.
    ///
    /// # Errors
    ///
    /// Fails when the chart of the paths is invalid.
    pub fn new() -> Result<Self, ChartError> {
        let chart = paths_chart()?;
        let state = chart.initial().to_owned();
        Ok(Self {
            chart,
            state,
            entered_at: None,
            failed: BTreeMap::new(),
            probed_at: None,
            heard_at: None,
            silent_target: None,
        })
    }

    /// Name of the present state in the chart of the paths.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Whether this VM reaches no target.
    pub fn are_lost(&self) -> bool {
        self.state == LOST
    }

    /// Whether failures have put the paths in doubt, and probes are to decide.
    pub fn are_doubtful(&self) -> bool {
        self.state == DOUBTFUL
    }

    /// Whether this VM may serve requests of others: nothing says that its paths are lost.
    pub fn may_carry(&self) -> bool {
        self.state == OPEN || self.state == DOUBTFUL
    }

    /// Share of its requests that this VM sends to targets itself at `now`; after the paths were
    /// lost it grows over two seconds.
    pub fn own_share(&self, now: Instant) -> f64 {
        match self.state.as_str() {
            LOST => 0.0,
            RETURNING => {
                let since = self.entered_at.unwrap_or(now);
                let elapsed = now.saturating_duration_since(since);
                (elapsed.as_secs_f64() / RETURN_TIME.as_secs_f64()).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Records a connection that failed, or a target that did not answer; `known_targets` is the number
    /// of those that may be tried.
    pub fn record_failure(&mut self, target: &TargetName, known_targets: usize, now: Instant) {
        self.failed
            .retain(|_, at| now.saturating_duration_since(*at) < FAILURE_WINDOW);
        self.failed.insert(target.clone(), now);
        if self.failed.len() >= DOUBTED_TARGETS {
            self.apply("doubted", now);
        }
        let conclusive = CONCLUSIVE_TARGETS.min(known_targets).max(DOUBTED_TARGETS);
        if self.state == DOUBTFUL && self.failed.len() >= conclusive {
            self.apply("all_failed", now);
        }
    }

    /// Records that a target answered on a connection opened since the last answer.
    pub fn record_answer(&mut self, now: Instant) {
        self.failed.clear();
        self.record_received(now);
        self.apply("answered", now);
    }

    /// Records that bytes were received from a target, on any connection.
    pub fn record_received(&mut self, now: Instant) {
        self.heard_at = Some(now);
        self.silent_target = None;
    }

    /// Records that `target` has not answered for longer than its answer usually takes. It is probed
    /// once nothing was received from any target for half a second.
    pub fn record_silence(&mut self, target: &TargetName) {
        self.silent_target = Some(target.clone());
    }

    /// The targets among `known` to probe now, in that order: some that have not failed while the paths
    /// are in doubt, any while they are lost.
    pub fn due_probes(&mut self, known: &[TargetName], now: Instant) -> Vec<TargetName> {
        if self.state == RETURNING && self.own_share(now) >= 1.0 {
            self.apply("steady", now);
        }
        let interval = match self.state.as_str() {
            DOUBTFUL => DOUBT_PROBE_INTERVAL,
            LOST => LOST_PROBE_INTERVAL,
            _ => CHECK_INTERVAL,
        };
        let is_due = |at: Instant| now.saturating_duration_since(at) >= interval;
        if !self.probed_at.is_none_or(is_due) {
            return Vec::new();
        }
        let is_quiet = self.heard_at.is_none_or(is_due);
        let silent = self.silent_target.take_if(|_| is_quiet);
        let others: Vec<&TargetName> = known
            .iter()
            .filter(|name| !self.failed.contains_key(*name) && silent.as_ref() != Some(*name))
            .collect();
        let probes: Vec<TargetName> = match self.state.as_str() {
            LOST => known.iter().take(LOST_PROBES).cloned().collect(),
            DOUBTFUL if others.is_empty() => known.iter().take(DOUBT_PROBES).cloned().collect(),
            DOUBTFUL => others.into_iter().take(DOUBT_PROBES).cloned().collect(),
            _ if silent.is_some() => others.into_iter().take(1).cloned().chain(silent).collect(),
            _ => Vec::new(),
        };
        if !probes.is_empty() {
            self.probed_at = Some(now);
        }
        probes
    }

    fn apply(&mut self, event: &str, now: Instant) {
        // Events that the chart does not list change nothing.
        let Ok(next) = self.chart.next_state(&self.state, event) else {
            return;
        };
        if next != self.state {
            self.state = next.to_owned();
            self.entered_at = Some(now);
            self.probed_at = None;
        }
    }
}
