//! State charts: read from the files in `charts/`, and interpreted at run time.

use std::collections::BTreeMap;

use serde::Deserialize;
use thiserror::Error;

/// Result of reading a chart or taking a transition.
pub type Result<T> = std::result::Result<T, ChartError>;

/// An invalid chart file, or an event that the chart does not allow.
#[derive(Debug, Error)]
pub enum ChartError {
    /// The file is not a chart in JSON.
    #[error("chart {name}: {source}; fix the file under charts/ and build again")]
    Unreadable {
        /// Name of the chart's file, without its extension.
        name: &'static str,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The initial state, or one that a transition leads from or to, is not listed.
    #[error("chart {name}: state {state} is not listed; add it to `states`")]
    UnknownState {
        /// Name of the chart's file, without its extension.
        name: &'static str,
        /// The state that is not listed.
        state: String,
    },
    /// The event is not allowed in the state.
    #[error("chart {name}: no transition from {state} on {event}; add one to charts/{name}.json")]
    NoTransition {
        /// Name of the chart's file, without its extension.
        name: &'static str,
        /// The current state.
        state: String,
        /// The event that is not allowed.
        event: String,
    },
}

#[derive(Debug, Deserialize)]
struct ChartFile {
    initial: String,
    states: Vec<String>,
    transitions: Vec<ChartTransition>,
}

#[derive(Debug, Deserialize)]
struct ChartTransition {
    from: String,
    on: String,
    to: String,
}

/// A state chart: states, and the transition each event causes.
#[derive(Debug)]
pub struct StateChart {
    name: &'static str,
    initial: String,
    transitions: BTreeMap<String, BTreeMap<String, String>>,
}

impl StateChart {
    /// Reads a chart and checks that it names only listed states. Of transitions from one
    /// state on one event, the last applies.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a chart or names an unlisted state.
    ///
    /// ```
    /// use plantainnotch::chart::StateChart;
    /// let text = r#"{"initial":"a","states":["a","b"],
    ///   "transitions":[{"from":"a","on":"go","to":"b"}]}"#;
    /// let chart = StateChart::parse("example", text)?;
    /// assert_eq!(chart.next_state(chart.initial(), "go")?, "b");
    /// # Ok::<(), plantainnotch::chart::ChartError>(())
    /// ```
    pub fn parse(name: &'static str, text: &str) -> Result<Self> {
        let file: ChartFile =
            serde_json::from_str(text).map_err(|source| ChartError::Unreadable { name, source })?;
        let mut transitions: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
        for state in [&file.initial].into_iter().chain(
            file.transitions
                .iter()
                .flat_map(|transition| [&transition.from, &transition.to]),
        ) {
            if !file.states.contains(state) {
                return Err(ChartError::UnknownState {
                    name,
                    state: state.clone(),
                });
            }
        }
        for transition in file.transitions {
            transitions
                .entry(transition.from)
                .or_default()
                .insert(transition.on, transition.to);
        }
        Ok(Self {
            name,
            initial: file.initial,
            transitions,
        })
    }

    /// The state of a new request or target.
    pub fn initial(&self) -> &str {
        &self.initial
    }

    /// The state after `event` in `state`.
    ///
    /// # Errors
    ///
    /// Fails when the chart has no such transition.
    pub fn next_state(&self, state: &str, event: &str) -> Result<&str> {
        self.transitions
            .get(state)
            .and_then(|events| events.get(event))
            .map(String::as_str)
            .ok_or_else(|| ChartError::NoTransition {
                name: self.name,
                state: state.to_owned(),
                event: event.to_owned(),
            })
    }
}

/// The chart of a request at an entry.
///
/// # Errors
///
/// Fails when the file under `charts/` is not a valid chart.
pub fn request_chart() -> Result<StateChart> {
    StateChart::parse("request", include_str!("../charts/request.json"))
}

/// The chart of a VM's paths to its targets.
///
/// # Errors
///
/// Fails when the file under `charts/` is not a valid chart.
pub fn paths_chart() -> Result<StateChart> {
    StateChart::parse("paths", include_str!("../charts/paths.json"))
}

/// The chart of a target's slow start at its steward.
///
/// # Errors
///
/// Fails when the file under `charts/` is not a valid chart.
pub fn target_chart() -> Result<StateChart> {
    StateChart::parse("target", include_str!("../charts/target.json"))
}
