//! Model: two operators change the same row concurrently, and responses to appends are lost.

use pathfinding::prelude::bfs;
use plantainnotch::ids::DomainName;
use plantainnotch::view::table::ServiceState;
use plantainnotch::view::{FoldOutcome, View};

use crate::fixtures::*;

/// Records after which the search adds no more.
const LOG_LIMIT: usize = 5;

/// A sent change: the operator, and the version on which it was based.
type SentChange = (u8, u8);

/// The log, and the changes that two operators may resend.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RaceState {
    log: Vec<SentChange>,
    /// The last change of each operator, which it may resend because the response was lost.
    last_sent: [Option<SentChange>; 2],
}

/// Guard that a test disables: whether the fold compares versions.
#[derive(Clone, Copy)]
struct RaceGuards {
    version_check: bool,
}

fn fold_log(log: &[SentChange], guards: RaceGuards) -> (View, Vec<FoldOutcome>) {
    let mut view = View::default();
    let outcomes = log
        .iter()
        .enumerate()
        .map(|(index, (operator, base))| {
            let state = if *operator == 0 {
                ServiceState::In
            } else {
                ServiceState::Out
            };
            let row = view.rows().get(&domain_key("rw-a"));
            let current = row.map_or(0, |row| row.version.0);
            let base = if guards.version_check {
                u64::from(*base)
            } else {
                current
            };
            let body = change(
                &format!("op-{operator}"),
                domain_key("rw-a"),
                base,
                Some(domain_row(state)),
            );
            view.fold(&entry(index as u64 + 1, body))
        })
        .collect();
    (view, outcomes)
}

fn successors(state: &RaceState, guards: RaceGuards) -> Vec<RaceState> {
    if state.log.len() >= LOG_LIMIT {
        return Vec::new();
    }
    let mut next = Vec::new();
    let (view, _) = fold_log(&state.log, guards);
    let version = view
        .rows()
        .get(&domain_key("rw-a"))
        .map_or(0, |row| row.version.0);
    for operator in 0..2_u8 {
        // Sends a change based on the current row, or on one read earlier.
        for base in 0..=version {
            let sent = (operator, base as u8);
            let mut after = state.clone();
            after.log.push(sent);
            after.last_sent[usize::from(operator)] = Some(sent);
            next.push(after);
        }
        if let Some(sent) = state.last_sent[usize::from(operator)] {
            let mut after = state.clone();
            after.log.push(sent);
            next.push(after);
        }
    }
    next
}

/// Whether an accepted change was replaced by one that was not based on it.
fn lost_update(state: &RaceState, guards: RaceGuards) -> bool {
    let (view, outcomes) = fold_log(&state.log, guards);
    let accepted: Vec<usize> = (0..outcomes.len())
        .filter(|index| outcomes[*index] == FoldOutcome::Accepted)
        .collect();
    let not_based_on_last = accepted.windows(2).any(|pair| {
        let base = usize::from(state.log[pair[1]].1);
        base != pair[0] + 1
    });
    not_based_on_last || view.domain(&DomainName::new("rw-a")).is_none() && !accepted.is_empty()
}

fn search(guards: RaceGuards) -> (Option<Vec<RaceState>>, usize) {
    let start = RaceState {
        log: Vec::new(),
        last_sent: [None; 2],
    };
    let mut states = 0;
    let path = bfs(
        &start,
        |state| {
            states += 1;
            successors(state, guards)
        },
        |state| lost_update(state, guards),
    );
    (path, states)
}

#[test]
fn no_accepted_change_is_lost() {
    let (path, states) = search(RaceGuards {
        version_check: true,
    });
    report_states("concurrent operators", states);
    assert_eq!(path, None);
}

#[test]
fn without_the_version_check_a_change_is_lost() {
    let (path, _) = search(RaceGuards {
        version_check: false,
    });
    assert!(path.is_some());
}
