//! Model: an owner is evicted while processes are cut from the log and from each other.
//!
//! Three members. The old owner may act while its view is fresh; the new one once the
//! eviction is in force. Time passes in steps of one second, and any process may stand
//! still for as long as it likes. Reads, failed reads and questions between peers happen
//! in any order, so every cut is covered.

use std::time::{Duration, Instant};

use pathfinding::prelude::bfs;
use plantainnotch::ids::{DomainName, ModelName, Offset};
use plantainnotch::view::View;
use plantainnotch::view::freshness::{FreshnessTracker, PeerReport};
use plantainnotch::view::in_force::{GRANT_USE_BY, InForceTracker};
use plantainnotch::view::ownership::{OwnedKey, PoolKey, owner_of};

use crate::fixtures::*;

const MEMBERS: usize = 3;
const TICK: Duration = Duration::from_secs(1);

/// Ages beyond this many ticks make no difference.
const OLD: u8 = 4;

/// Ages in ticks; `None` is never, or too long ago to matter.
type TickAge = Option<u8>;

/// What the old owner last heard of a peer that cannot reach the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeardReport {
    age: u8,
    knows_eviction: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OwnershipState {
    /// Whether the eviction stands in the log.
    evicted: bool,
    /// Which processes have folded it.
    knows: [bool; MEMBERS],
    /// When the old owner last read the log's end.
    confirmed: TickAge,
    /// What the old owner heard of the others.
    reports: [Option<HeardReport>; MEMBERS],
    /// When the new owner learned that each process had folded the eviction.
    acks: [TickAge; MEMBERS],
    /// When the old owner last granted.
    old_grant: TickAge,
    /// When the new owner last granted.
    new_grant: TickAge,
}

/// Guards that the search switches off in turn.
#[derive(Debug, Clone, Copy)]
struct OwnershipGuards {
    /// The old owner acts only while its view is fresh.
    freshness: bool,
    /// A peer that knows more does not count as agreeing to an outage.
    peer_offset: bool,
    /// The new owner waits for a majority's acknowledgement.
    majority: bool,
    /// The new owner waits out freshness and grants after it.
    wait: bool,
}

const ALL_GUARDS: OwnershipGuards = OwnershipGuards {
    freshness: true,
    peer_offset: true,
    majority: true,
    wait: true,
};

/// The views before and after the eviction, and who is who in them.
struct OwnershipWorld {
    before: View,
    after: View,
    pool: PoolKey,
    old: usize,
    new: usize,
    now: Instant,
}

fn world() -> OwnershipWorld {
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
            .expect("it is one of ours")
    };
    let old = owner(&before);
    let after = view_of(joins().chain([evict(old, 1)]).collect());
    let new = owner(&after);
    OwnershipWorld {
        before,
        after,
        pool,
        old,
        new,
        now: Instant::now() + Duration::from_secs(1_000),
    }
}

impl OwnershipWorld {
    fn at(&self, age: u8) -> Instant {
        self.now - TICK * u32::from(age)
    }

    /// Whether the old owner may grant, by the core's own functions.
    fn old_may_grant(&self, state: &OwnershipState, guards: OwnershipGuards) -> bool {
        if state.knows[self.old] {
            return false;
        }
        if !guards.freshness {
            return true;
        }
        let mut tracker = FreshnessTracker::default();
        if let Some(age) = state.confirmed {
            tracker.confirm(self.at(age));
        }
        tracker.set_log_unreachable(true);
        for (number, heard) in state.reports.iter().enumerate() {
            let Some(heard) = heard else { continue };
            let knows = heard.knows_eviction && guards.peer_offset;
            let report = PeerReport {
                as_of: self.at(heard.age),
                offset: if knows {
                    self.after.offset()
                } else {
                    self.before.offset()
                },
                log_unreachable: true,
            };
            tracker.record_report(&vm(number), report);
        }
        let owns = owner_of(self.before.members(), OwnedKey::Pool(&self.pool))
            .is_some_and(|owner| owner.join.vm == vm(self.old));
        let members = self.before.members();
        owns && tracker.is_fresh(&vm(self.old), members, self.before.offset(), self.now)
    }

    /// Whether the new owner may grant, by the core's own functions.
    fn new_may_grant(&self, state: &OwnershipState, guards: OwnershipGuards) -> bool {
        if !state.knows[self.new] {
            return false;
        }
        let eviction = self.after.offset();
        let mut tracker = InForceTracker::new(eviction, self.before.members());
        for (number, age) in state.acks.iter().enumerate() {
            if let Some(age) = age {
                tracker.acknowledge(&vm(number), eviction, self.at(*age));
            }
        }
        if !guards.majority {
            let own = state.acks[self.new].map(|age| self.at(age));
            for number in 0..MEMBERS {
                tracker.acknowledge(&vm(number), eviction, own.unwrap_or(self.now));
            }
        }
        match tracker.in_force_at() {
            Some(_) if !guards.wait => true,
            _ => tracker.in_force(self.now),
        }
    }

    fn moves(&self, state: &OwnershipState, guards: OwnershipGuards) -> Vec<OwnershipState> {
        let mut next = vec![tick(state)];
        let mut push = |change: &dyn Fn(&mut OwnershipState)| {
            let mut after = state.clone();
            change(&mut after);
            next.push(after);
        };
        push(&|after| after.evicted = true);
        for number in 0..MEMBERS {
            if state.evicted && !state.knows[number] {
                push(&|after| after.knows[number] = true);
            }
            if number != self.old {
                push(&|after| {
                    after.reports[number] = Some(HeardReport {
                        age: 0,
                        knows_eviction: state.knows[number],
                    });
                });
            }
            if state.knows[number] && state.knows[self.new] && state.acks[number].is_none() {
                push(&|after| after.acks[number] = Some(0));
            }
        }
        if !state.evicted {
            push(&|after| after.confirmed = Some(0));
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

/// Two owners granted so close together that the first one's grant could still be used.
fn both_granted(state: &OwnershipState) -> bool {
    let usable = |age: TickAge| age.is_some_and(|age| TICK * u32::from(age) < GRANT_USE_BY);
    usable(state.old_grant) && usable(state.new_grant)
}

fn tick(state: &OwnershipState) -> OwnershipState {
    let mut after = state.clone();
    let older = |age: TickAge, limit: u8| age.map(|age| age + 1).filter(|age| *age <= limit);
    after.confirmed = older(state.confirmed, 2);
    for report in &mut after.reports {
        *report = report
            .map(|heard| HeardReport {
                age: heard.age + 1,
                ..heard
            })
            .filter(|heard| heard.age <= 2);
    }
    for ack in &mut after.acks {
        *ack = ack.map(|age| (age + 1).min(OLD));
    }
    after.old_grant = older(state.old_grant, 1);
    after.new_grant = older(state.new_grant, 1);
    after
}

fn search(guards: OwnershipGuards) -> (Option<Vec<OwnershipState>>, usize) {
    let world = world();
    let start = OwnershipState {
        evicted: false,
        knows: [false; MEMBERS],
        confirmed: None,
        reports: [None; MEMBERS],
        acks: [None; MEMBERS],
        old_grant: None,
        new_grant: None,
    };
    let mut seen = 0;
    let path = bfs(
        &start,
        |state| {
            seen += 1;
            world.moves(state, guards)
        },
        both_granted,
    );
    (path, seen)
}

#[test]
fn old_and_new_owner_never_grant_together() {
    let (path, seen) = search(ALL_GUARDS);
    report_states("ownership", seen);
    assert_eq!(path, None);
}

#[test]
fn each_guard_is_needed() {
    let without = [
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
    for guards in without {
        let (path, _) = search(guards);
        assert!(path.is_some(), "no counterexample with {guards:?}");
    }
}

#[test]
fn an_offset_at_the_end_of_the_log_is_all_that_a_member_can_know() {
    let world = world();
    assert_ne!(world.old, world.new);
    assert_eq!(world.after.offset(), Offset(MEMBERS as u64 + 1));
}
