//! Model: operators race on one row, and answers of appends are lost.

use pathfinding::prelude::bfs;
use plantainnotch::ids::DomainName;
use plantainnotch::view::table::ServiceState;
use plantainnotch::view::{Verdict, View};

use crate::fixtures::*;

/// Offsets at which the search stops.
const LOG_LIMIT: usize = 5;

/// A change as it was sent: who, and the version on which it was based.
type SentChange = (u8, u8);

/// Two operators and the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RaceState {
    log: Vec<SentChange>,
    /// What each operator sent and may send again, its answer being lost.
    sent: [Option<SentChange>; 2],
}

/// Whether the fold compares versions.
#[derive(Clone, Copy)]
struct RaceGuards {
    version_check: bool,
}

fn fold_log(log: &[SentChange], guards: RaceGuards) -> (View, Vec<Verdict>) {
    let mut view = View::default();
    let verdicts = log
        .iter()
        .enumerate()
        .map(|(place, (operator, base))| {
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
            view.fold(&entry(place as u64 + 1, body))
        })
        .collect();
    (view, verdicts)
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
        // Reads the row, and sends a change based on it; or one read earlier.
        for base in 0..=version {
            let sent = (operator, base as u8);
            let mut after = state.clone();
            after.log.push(sent);
            after.sent[usize::from(operator)] = Some(sent);
            next.push(after);
        }
        if let Some(sent) = state.sent[usize::from(operator)] {
            let mut after = state.clone();
            after.log.push(sent);
            next.push(after);
        }
    }
    next
}

/// An accepted change replaced by one that had not seen it.
fn lost_update(state: &RaceState, guards: RaceGuards) -> bool {
    let (view, verdicts) = fold_log(&state.log, guards);
    let accepted: Vec<usize> = (0..verdicts.len())
        .filter(|place| verdicts[*place] == Verdict::Accepted)
        .collect();
    let unseen = accepted.windows(2).any(|pair| {
        let seen = usize::from(state.log[pair[1]].1);
        seen != pair[0] + 1
    });
    unseen || view.domain(&DomainName::new("rw-a")).is_none() && !accepted.is_empty()
}

fn search(guards: RaceGuards) -> (Option<Vec<RaceState>>, usize) {
    let start = RaceState {
        log: Vec::new(),
        sent: [None; 2],
    };
    let mut seen = 0;
    let path = bfs(
        &start,
        |state| {
            seen += 1;
            successors(state, guards)
        },
        |state| lost_update(state, guards),
    );
    (path, seen)
}

#[test]
fn no_accepted_change_is_lost() {
    let (path, seen) = search(RaceGuards {
        version_check: true,
    });
    report_states("operators' race", seen);
    assert_eq!(path, None);
}

#[test]
fn without_the_version_check_a_change_is_lost() {
    let (path, _) = search(RaceGuards {
        version_check: false,
    });
    assert!(path.is_some());
}
