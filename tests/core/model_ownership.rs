//! Model: an owner is evicted while processes cannot reach the log or each other.
//!
//! Three members. The old owner may grant while its view is fresh, the new one once the
//! eviction is in force. Time passes in steps of one second, and any process may pause for
//! any time. Reads, failed reads and calls between peers happen in any order, so every
//! network partition is covered.

use std::time::{Duration, Instant};

use pathfinding::prelude::bfs;
use plantainnotch::ids::{DomainName, ModelName, Offset};
use plantainnotch::view::View;
use plantainnotch::view::freshness::{FreshnessTracker, PeerReport};
use plantainnotch::view::in_force::{GRANT_USE_TIMEOUT, InForceTracker};
use plantainnotch::view::ownership::{OwnedKey, PoolKey, owner_of};

use crate::fixtures::*;

const MEMBERS: usize = 3;
const TICK: Duration = Duration::from_secs(1);

/// Greater ages in ticks make no difference.
const MAX_AGE: u8 = 4;

/// Age in ticks; `None` is never, or too long ago to matter.
type TickAge = Option<u8>;

/// The last report to the old owner from a peer that cannot reach the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ModelReport {
    age: u8,
    knows_eviction: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OwnershipState {
    /// Whether the log contains the eviction.
    eviction_logged: bool,
    /// Which processes have folded the eviction.
    knows_eviction: [bool; MEMBERS],
    /// When the old owner last read the log's end.
    confirmed_at: TickAge,
    /// Reports of the others to the old owner.
    peer_reports: [Option<ModelReport>; MEMBERS],
    /// When the new owner learned that each process had folded the eviction.
    acknowledged_at: [TickAge; MEMBERS],
    /// When the old owner last granted.
    old_grant: TickAge,
    /// When the new owner last granted.
    new_grant: TickAge,
}

/// Guards that the tests disable one by one.
#[derive(Debug, Clone, Copy)]
struct OwnershipGuards {
    /// The old owner acts only while its view is fresh.
    freshness: bool,
    /// A peer with newer records does not count towards a majority in an outage.
    peer_offset: bool,
    /// The new owner waits for a majority's acknowledgement.
    majority: bool,
    /// The new owner waits until older views are stale and their grants are void.
    wait: bool,
}

const ALL_GUARDS: OwnershipGuards = OwnershipGuards {
    freshness: true,
    peer_offset: true,
    majority: true,
    wait: true,
};

/// The views before and after the eviction, and the owners in them.
struct OwnershipModel {
    before: View,
    after: View,
    pool: PoolKey,
    old_owner: usize,
    new_owner: usize,
    now: Instant,
}

fn model() -> OwnershipModel {
    let joins = || (0..MEMBERS).map(|number| join(number, 1));
    let before = view_of(joins().collect());
    let pool = PoolKey {
        model: ModelName::new("appraisal"),
        domain: DomainName::new("rw-a"),
    };
    let owner = |view: &View| {
        let owner = owner_of(view.members(), OwnedKey::Pool(&pool)).expect("there are members");
        (0..MEMBERS)
            .find(|number| vm(*number) == owner.join.vm)
            .expect("the owner is one of them")
    };
    let old_owner = owner(&before);
    let after = view_of(joins().chain([evict(old_owner, 1)]).collect());
    let new_owner = owner(&after);
    OwnershipModel {
        before,
        after,
        pool,
        old_owner,
        new_owner,
        now: Instant::now() + Duration::from_secs(1_000),
    }
}

impl OwnershipModel {
    fn at(&self, age: u8) -> Instant {
        self.now - TICK * u32::from(age)
    }

    /// Whether the old owner may grant, according to [`FreshnessTracker`].
    fn old_may_grant(&self, state: &OwnershipState, guards: OwnershipGuards) -> bool {
        if state.knows_eviction[self.old_owner] {
            return false;
        }
        if !guards.freshness {
            return true;
        }
        let mut tracker = FreshnessTracker::default();
        if let Some(age) = state.confirmed_at {
            tracker.confirm(self.at(age));
        }
        tracker.set_log_unreachable(true);
        for (number, reported) in state.peer_reports.iter().enumerate() {
            let Some(reported) = reported else { continue };
            let newer = reported.knows_eviction && guards.peer_offset;
            let report = PeerReport {
                as_of: self.at(reported.age),
                offset: if newer {
                    self.after.offset()
                } else {
                    self.before.offset()
                },
                log_unreachable: true,
            };
            tracker.record_report(&vm(number), report);
        }
        let owns = owner_of(self.before.members(), OwnedKey::Pool(&self.pool))
            .is_some_and(|owner| owner.join.vm == vm(self.old_owner));
        let members = self.before.members();
        owns && tracker.is_fresh(&vm(self.old_owner), members, self.before.offset(), self.now)
    }

    /// Whether the new owner may grant, according to [`InForceTracker`].
    fn new_may_grant(&self, state: &OwnershipState, guards: OwnershipGuards) -> bool {
        if !state.knows_eviction[self.new_owner] {
            return false;
        }
        let eviction = self.after.offset();
        let mut tracker = InForceTracker::new(eviction, self.before.members());
        for (number, age) in state.acknowledged_at.iter().enumerate() {
            if let Some(age) = age {
                tracker.acknowledge(&vm(number), eviction, self.at(*age));
            }
        }
        if !guards.majority {
            let own = state.acknowledged_at[self.new_owner].map(|age| self.at(age));
            for number in 0..MEMBERS {
                tracker.acknowledge(&vm(number), eviction, own.unwrap_or(self.now));
            }
        }
        match tracker.in_force_at() {
            Some(_) if !guards.wait => true,
            _ => tracker.in_force(self.now),
        }
    }

    fn successors(&self, state: &OwnershipState, guards: OwnershipGuards) -> Vec<OwnershipState> {
        let mut next = vec![tick(state)];
        let mut push = |change: &dyn Fn(&mut OwnershipState)| {
            let mut after = state.clone();
            change(&mut after);
            next.push(after);
        };
        push(&|after| after.eviction_logged = true);
        for number in 0..MEMBERS {
            if state.eviction_logged && !state.knows_eviction[number] {
                push(&|after| after.knows_eviction[number] = true);
            }
            if number != self.old_owner {
                push(&|after| {
                    after.peer_reports[number] = Some(ModelReport {
                        age: 0,
                        knows_eviction: state.knows_eviction[number],
                    });
                });
            }
            if state.knows_eviction[number]
                && state.knows_eviction[self.new_owner]
                && state.acknowledged_at[number].is_none()
            {
                push(&|after| after.acknowledged_at[number] = Some(0));
            }
        }
        if !state.eviction_logged {
            push(&|after| after.confirmed_at = Some(0));
        }
        if self.old_may_grant(state, guards) {
            push(&|after| after.old_grant = Some(0));
        }
        if self.new_may_grant(state, guards) {
            push(&|after| after.new_grant = Some(0));
        }
        next
    }
}

/// Whether grants of both owners can be used at the same time.
fn grants_overlap(state: &OwnershipState) -> bool {
    let usable = |age: TickAge| age.is_some_and(|age| TICK * u32::from(age) < GRANT_USE_TIMEOUT);
    usable(state.old_grant) && usable(state.new_grant)
}

fn tick(state: &OwnershipState) -> OwnershipState {
    let mut after = state.clone();
    let aged = |age: TickAge, limit: u8| age.map(|age| age + 1).filter(|age| *age <= limit);
    after.confirmed_at = aged(state.confirmed_at, 2);
    for report in &mut after.peer_reports {
        *report = report
            .map(|reported| ModelReport {
                age: reported.age + 1,
                ..reported
            })
            .filter(|reported| reported.age <= 2);
    }
    for ack in &mut after.acknowledged_at {
        *ack = ack.map(|age| (age + 1).min(MAX_AGE));
    }
    after.old_grant = aged(state.old_grant, 1);
    after.new_grant = aged(state.new_grant, 1);
    after
}

fn search(guards: OwnershipGuards) -> (Option<Vec<OwnershipState>>, usize) {
    let model = model();
    let start = OwnershipState {
        eviction_logged: false,
        knows_eviction: [false; MEMBERS],
        confirmed_at: None,
        peer_reports: [None; MEMBERS],
        acknowledged_at: [None; MEMBERS],
        old_grant: None,
        new_grant: None,
    };
    let mut states = 0;
    let path = bfs(
        &start,
        |state| {
            states += 1;
            model.successors(state, guards)
        },
        grants_overlap,
    );
    (path, states)
}

#[test]
fn old_and_new_owner_never_grant_together() {
    let (path, states) = search(ALL_GUARDS);
    report_states("ownership", states);
    assert_eq!(path, None);
}

#[test]
fn each_guard_is_needed() {
    let guard_sets = [
        OwnershipGuards {
            freshness: false,
            ..ALL_GUARDS
        },
        OwnershipGuards {
            peer_offset: false,
            ..ALL_GUARDS
        },
        OwnershipGuards {
            majority: false,
            ..ALL_GUARDS
        },
        OwnershipGuards {
            wait: false,
            ..ALL_GUARDS
        },
    ];
    for guards in guard_sets {
        let (path, _) = search(guards);
        assert!(path.is_some(), "no counterexample with {guards:?}");
    }
}

#[test]
fn the_eviction_changes_the_owner() {
    let model = model();
    assert_ne!(model.old_owner, model.new_owner);
    assert_eq!(model.after.offset(), Offset(MEMBERS as u64 + 1));
}
