//! The reservations that this entry holds, so that a new owner can be told of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{GrantId, Offset, RequestId, TeamName};
use crate::ledger::grant::GrantPart;
use crate::policy::lane::PromptLane;
use crate::view::View;
use crate::view::ownership::{OwnedKey, PoolKey, owner_of};
use crate::wire::message::{HeldTarget, HeldTeam};

/// A reservation at a pool's targets.
#[derive(Debug, Clone)]
pub struct PoolHold {
    /// The pool.
    pub pool: PoolKey,
    /// The request.
    pub request: RequestId,
    /// The parts.
    pub parts: Vec<GrantPart>,
    /// Prompt tokens of the whole request.
    pub prompt: u64,
    /// The lane.
    pub lane: PromptLane,
    /// Whether the first token has come.
    pub prefilled: bool,
    /// The request's deadline.
    pub deadline: Instant,
}

/// A reservation under a team's ceiling.
#[derive(Debug, Clone)]
pub struct TeamHold {
    /// The team.
    pub team: TeamName,
    /// Tokens.
    pub amount: u64,
    /// The request's deadline.
    pub deadline: Instant,
}

#[derive(Debug, Clone)]
struct Held<T> {
    hold: T,
    owner_epoch: Offset,
}

/// All reservations held.
#[derive(Debug, Default)]
pub struct HeldTable {
    pools: BTreeMap<GrantId, Held<PoolHold>>,
    teams: BTreeMap<GrantId, Held<TeamHold>>,
}

/// What to tell one steward.
#[derive(Debug, Default)]
pub struct AdoptNotice {
    /// Reservations at targets.
    pub targets: Vec<HeldTarget>,
    /// Reservations under ceilings.
    pub teams: Vec<HeldTeam>,
}

impl HeldTable {
    /// Notes a reservation at a pool, under its first part's id.
    pub fn hold_pool(&mut self, hold: PoolHold) {
        let Some(id) = hold.parts.first().map(|part| part.grant) else {
            return;
        };
        let owner_epoch = id.epoch;
        self.pools.insert(id, Held { hold, owner_epoch });
    }

    /// Notes a reservation under a ceiling.
    pub fn hold_team(&mut self, id: GrantId, hold: TeamHold) {
        let owner_epoch = id.epoch;
        self.teams.insert(id, Held { hold, owner_epoch });
    }

    /// Notes that a reservation's first token has come.
    pub fn mark_prefilled(&mut self, id: GrantId) {
        if let Some(held) = self.pools.get_mut(&id) {
            held.hold.prefilled = true;
        }
    }

    /// Forgets a reservation at a pool.
    pub fn drop_pool(&mut self, id: GrantId) {
        self.pools.remove(&id);
    }

    /// Forgets a reservation under a ceiling.
    pub fn drop_team(&mut self, id: GrantId) {
        self.teams.remove(&id);
    }

    /// Tokens held for a team by this entry.
    pub fn team_held(&self, team: &TeamName) -> u64 {
        let holds = self.teams.values().map(|held| &held.hold);
        holds
            .filter(|hold| hold.team == *team)
            .map(|hold| hold.amount)
            .sum()
    }

    /// What the stewards that became owners since the last call must be told, by
    /// steward address.
    pub fn notices(&mut self, view: &View, now: Instant) -> BTreeMap<String, AdoptNotice> {
        let mut notices: BTreeMap<String, AdoptNotice> = BTreeMap::new();
        let left = |deadline: Instant| millis(deadline.saturating_duration_since(now));
        for held in self.pools.values_mut() {
            let Some(address) =
                new_owner(view, OwnedKey::Pool(&held.hold.pool), &mut held.owner_epoch)
            else {
                continue;
            };
            let hold = &held.hold;
            let size = hold.parts.len().max(1) as u64;
            let told = hold.parts.iter().map(|part| HeldTarget {
                pool: hold.pool.clone(),
                request: hold.request,
                part: part.clone(),
                prompt: hold.prompt / size,
                lane: hold.lane,
                prefilled: hold.prefilled,
                deadline_ms: left(hold.deadline),
            });
            notices.entry(address).or_default().targets.extend(told);
        }
        for (id, held) in &mut self.teams {
            let Some(address) =
                new_owner(view, OwnedKey::Team(&held.hold.team), &mut held.owner_epoch)
            else {
                continue;
            };
            notices.entry(address).or_default().teams.push(HeldTeam {
                team: held.hold.team.clone(),
                grant: *id,
                amount: held.hold.amount,
                deadline_ms: left(held.hold.deadline),
            });
        }
        notices
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// The owner's address, if the owner is not the one noted last.
fn new_owner(view: &View, key: OwnedKey<'_>, noted: &mut Offset) -> Option<String> {
    let owner = owner_of(view.members(), key)?;
    if *noted == owner.epoch {
        return None;
    }
    *noted = owner.epoch;
    Some(owner.join.steward_address.clone())
}
