//! The reservations that this entry holds, and the notices of them to new owners.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{GrantId, Offset, RequestId, TeamName};
use crate::ledger::grant::GrantPart;
use crate::policy::lane::PromptLane;
use crate::view::View;
use crate::view::ownership::{OwnedKey, PoolKey, owner_of};
use crate::wire::message::{HeldTargetGrant, HeldTeamGrant};

/// A reservation at a pool's targets.
#[derive(Debug, Clone)]
pub struct PoolReservation {
    /// The pool whose steward granted the reservation.
    pub pool: PoolKey,
    /// Id under which the targets know the attempt.
    pub request: RequestId,
    /// One part per target, the leader first.
    pub parts: Vec<GrantPart>,
    /// Prompt tokens of the whole request, over all parts.
    pub prompt_tokens: u64,
    /// The lane in which the request was queued.
    pub lane: PromptLane,
    /// Whether the first token has arrived.
    pub prefilled: bool,
    /// The request's deadline, at which the reservation expires.
    pub deadline: Instant,
}

/// A reservation under a team's ceiling.
#[derive(Debug, Clone)]
pub struct TeamReservation {
    /// Team whose ceiling counts the tokens.
    pub team: TeamName,
    /// Reserved tokens; 1 for a service call.
    pub amount: u64,
    /// The request's deadline, at which the reservation expires.
    pub deadline: Instant,
}

#[derive(Debug, Clone)]
struct Held<T> {
    reservation: T,
    /// Epoch of the owner that granted the reservation, or of the last one to get a notice of it.
    owner_epoch: Offset,
}

/// All reservations that this entry holds.
#[derive(Debug, Default)]
pub struct ReservationTable {
    pools: BTreeMap<GrantId, Held<PoolReservation>>,
    teams: BTreeMap<GrantId, Held<TeamReservation>>,
}

/// The reservations that one steward must take over.
#[derive(Debug, Default)]
pub struct AdoptNotice {
    /// Reservations at targets.
    pub targets: Vec<HeldTargetGrant>,
    /// Reservations under ceilings.
    pub teams: Vec<HeldTeamGrant>,
}

impl ReservationTable {
    /// Adds a reservation at a pool under the grant of its first part; does nothing without parts.
    pub fn insert_pool(&mut self, reservation: PoolReservation) {
        let Some(id) = reservation.parts.first().map(|part| part.grant) else {
            return;
        };
        let owner_epoch = id.epoch;
        self.pools.insert(
            id,
            Held {
                reservation,
                owner_epoch,
            },
        );
    }

    /// Adds a reservation under a ceiling.
    pub fn insert_team(&mut self, id: GrantId, reservation: TeamReservation) {
        let owner_epoch = id.epoch;
        self.teams.insert(
            id,
            Held {
                reservation,
                owner_epoch,
            },
        );
    }

    /// Records that the first token of a request has arrived.
    pub fn mark_prefilled(&mut self, id: GrantId) {
        if let Some(held) = self.pools.get_mut(&id) {
            held.reservation.prefilled = true;
        }
    }

    /// Removes the reservation at a pool whose first part has the grant `id`, if there is one.
    pub fn remove_pool(&mut self, id: GrantId) {
        self.pools.remove(&id);
    }

    /// Removes the reservation under a ceiling with the grant `id`, if there is one.
    pub fn remove_team(&mut self, id: GrantId) {
        self.teams.remove(&id);
    }

    /// Tokens that this entry holds under a team's ceiling.
    pub fn team_tokens(&self, team: &TeamName) -> u64 {
        let reservations = self.teams.values().map(|held| &held.reservation);
        reservations
            .filter(|reservation| reservation.team == *team)
            .map(|reservation| reservation.amount)
            .sum()
    }

    /// Reservations whose owner changed since the last call, by the new owner's address. A change
    /// is returned once.
    pub fn take_notices(&mut self, view: &View, now: Instant) -> BTreeMap<String, AdoptNotice> {
        let mut notices: BTreeMap<String, AdoptNotice> = BTreeMap::new();
        let remaining_ms = |deadline: Instant| millis(deadline.saturating_duration_since(now));
        for held in self.pools.values_mut() {
            let Some(address) = changed_owner(
                view,
                OwnedKey::Pool(&held.reservation.pool),
                &mut held.owner_epoch,
            ) else {
                continue;
            };
            let reservation = &held.reservation;
            let part_count = reservation.parts.len().max(1) as u64;
            let held_targets = reservation.parts.iter().map(|part| HeldTargetGrant {
                pool: reservation.pool.clone(),
                request: reservation.request,
                part: part.clone(),
                prompt_tokens: reservation.prompt_tokens / part_count,
                lane: reservation.lane,
                prefilled: reservation.prefilled,
                deadline_ms: remaining_ms(reservation.deadline),
            });
            notices
                .entry(address)
                .or_default()
                .targets
                .extend(held_targets);
        }
        for (id, held) in &mut self.teams {
            let Some(address) = changed_owner(
                view,
                OwnedKey::Team(&held.reservation.team),
                &mut held.owner_epoch,
            ) else {
                continue;
            };
            notices
                .entry(address)
                .or_default()
                .teams
                .push(HeldTeamGrant {
                    team: held.reservation.team.clone(),
                    grant: *id,
                    tokens: held.reservation.amount,
                    deadline_ms: remaining_ms(held.reservation.deadline),
                });
        }
        notices
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// The owner's address, if its epoch is not `known_epoch`; updates `known_epoch`.
fn changed_owner(view: &View, key: OwnedKey<'_>, known_epoch: &mut Offset) -> Option<String> {
    let owner = owner_of(view.members(), key)?;
    if *known_epoch == owner.epoch {
        return None;
    }
    *known_epoch = owner.epoch;
    Some(owner.join.steward_address.clone())
}
