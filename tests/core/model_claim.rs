//! Model: two senders claim one key; responses of the log are lost, and senders crash between
//! claim and send.

use pathfinding::prelude::bfs;
use plantainnotch::ids::{ClaimId, RequestId, TeamName};
use plantainnotch::view::View;
use plantainnotch::view::record::{ClaimEvent, ClaimKey, ClaimOutcome, RecordBody};

use crate::fixtures::*;

const LOG_LIMIT: usize = 6;
const SENDERS: usize = 2;

/// A claim event in the log, with the id that [`claim_id`] gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ClaimStep {
    Claim(u8),
    Release(u8),
    Outcome(u8),
}

/// Progress of a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum SenderPhase {
    Idle,
    /// The claim was sent to the log, and no response came.
    Claimed,
    /// The log confirmed the claim's append, and nothing was read back.
    Confirmed,
    Sent,
    Crashed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ClaimState {
    log: Vec<ClaimStep>,
    /// Number of records that each sender has folded.
    folded: [usize; SENDERS],
    phase: [SenderPhase; SENDERS],
    attempt: [u8; SENDERS],
    sends: u8,
}

/// Guards that the tests disable one by one.
#[derive(Debug, Clone, Copy)]
struct ClaimGuards {
    /// A sender acts only on records that it read back.
    read_back: bool,
    /// The claim of a crashed sender is never taken over.
    no_takeover: bool,
    /// A sender that has sent does not send again.
    sent_once: bool,
    /// A sender that has sent does not release.
    no_release_after_send: bool,
}

const ALL_GUARDS: ClaimGuards = ClaimGuards {
    read_back: true,
    no_takeover: true,
    sent_once: true,
    no_release_after_send: true,
};

fn claim_id(sender: usize, attempt: u8) -> u8 {
    sender as u8 * 10 + attempt
}

fn key() -> ClaimKey {
    ClaimKey {
        team: TeamName::new("kigali"),
        key: "certificate-1".into(),
    }
}

fn event(step: ClaimStep) -> ClaimEvent {
    let key = key();
    match step {
        ClaimStep::Claim(id) => ClaimEvent::Claim {
            key,
            claim: ClaimId(id.into()),
            digest: 1,
            vm: vm(usize::from(id / 10)),
            request: RequestId(id.into()),
        },
        ClaimStep::Release(id) => ClaimEvent::Release {
            key,
            claim: ClaimId(id.into()),
        },
        ClaimStep::Outcome(id) => ClaimEvent::Outcome {
            key,
            claim: ClaimId(id.into()),
            outcome: ClaimOutcome::Unknown,
        },
    }
}

fn view_at(log: &[ClaimStep]) -> View {
    let mut view = View::default();
    for (index, step) in log.iter().enumerate() {
        view.fold(&entry(
            index as u64 + 1,
            RecordBody::Claims {
                items: vec![event(*step)],
            },
        ));
    }
    view
}

impl ClaimState {
    fn may_send(&self, sender: usize, guards: ClaimGuards) -> bool {
        let phase = self.phase[sender];
        if phase == SenderPhase::Crashed || phase == SenderPhase::Idle {
            return false;
        }
        if !guards.read_back && phase == SenderPhase::Confirmed {
            return true;
        }
        let view = view_at(&self.log[..self.folded[sender]]);
        let sent = guards.sent_once && phase == SenderPhase::Sent;
        let own_claim = ClaimId(claim_id(sender, self.attempt[sender]).into());
        if view.claims().may_send(&key(), own_claim, sent) {
            return true;
        }
        let holder = view.claims().holder(&key());
        let other_crashed = self.phase[1 - sender] == SenderPhase::Crashed;
        !guards.no_takeover
            && other_crashed
            && holder.is_some_and(|holder| holder.outcome.is_none() && holder.claim != own_claim)
    }

    fn append(&self, step: ClaimStep) -> Option<Self> {
        if self.log.len() >= LOG_LIMIT {
            return None;
        }
        let mut after = self.clone();
        after.log.push(step);
        Some(after)
    }
}

fn sender_successors(state: &ClaimState, sender: usize, guards: ClaimGuards) -> Vec<ClaimState> {
    let mut next = Vec::new();
    let phase = state.phase[sender];
    let id = claim_id(sender, state.attempt[sender]);
    if phase == SenderPhase::Crashed {
        return next;
    }
    let with_phase = |state: &ClaimState, phase: SenderPhase| {
        let mut after = state.clone();
        after.phase[sender] = phase;
        after
    };
    next.push(with_phase(state, SenderPhase::Crashed));
    if state.folded[sender] < state.log.len() {
        let mut after = state.clone();
        after.folded[sender] += 1;
        next.push(after);
    }
    if phase == SenderPhase::Idle {
        // The append takes effect; its response arrives or is lost.
        if let Some(after) = state.append(ClaimStep::Claim(id)) {
            next.push(with_phase(&after, SenderPhase::Claimed));
            next.push(with_phase(&after, SenderPhase::Confirmed));
        }
        // Or it has no effect yet, and is resent in the `else` branch.
        next.push(with_phase(state, SenderPhase::Claimed));
    } else {
        next.extend(state.append(ClaimStep::Claim(id)));
    }
    if state.may_send(sender, guards) {
        let mut after = with_phase(state, SenderPhase::Sent);
        after.sends += 1;
        next.push(after);
    }
    let may_release = phase != SenderPhase::Sent || !guards.no_release_after_send;
    if phase != SenderPhase::Idle && may_release && state.attempt[sender] == 0 {
        // Gives up this attempt, and claims again with another id.
        if let Some(mut after) = state.append(ClaimStep::Release(id)) {
            after.attempt[sender] += 1;
            next.push(with_phase(&after, SenderPhase::Idle));
        }
    }
    if phase == SenderPhase::Sent {
        next.extend(state.append(ClaimStep::Outcome(id)));
    }
    next
}

fn search(guards: ClaimGuards) -> (Option<Vec<ClaimState>>, usize) {
    let start = ClaimState {
        log: Vec::new(),
        folded: [0; SENDERS],
        phase: [SenderPhase::Idle; SENDERS],
        attempt: [0; SENDERS],
        sends: 0,
    };
    let mut states = 0;
    let path = bfs(
        &start,
        |state| {
            states += 1;
            let successors =
                (0..SENDERS).flat_map(|sender| sender_successors(state, sender, guards));
            successors.collect::<Vec<_>>()
        },
        |state| state.sends > 1,
    );
    (path, states)
}

#[test]
fn a_key_is_sent_at_most_once() {
    let (path, states) = search(ALL_GUARDS);
    report_states("claims", states);
    assert_eq!(path, None);
}

#[test]
fn each_guard_is_needed() {
    let guard_sets = [
        ClaimGuards {
            read_back: false,
            ..ALL_GUARDS
        },
        ClaimGuards {
            no_takeover: false,
            ..ALL_GUARDS
        },
        ClaimGuards {
            sent_once: false,
            ..ALL_GUARDS
        },
        ClaimGuards {
            no_release_after_send: false,
            ..ALL_GUARDS
        },
    ];
    for guards in guard_sets {
        let (path, _) = search(guards);
        assert!(path.is_some(), "no counterexample with {guards:?}");
    }
}
