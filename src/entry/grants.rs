//! Asks stewards for reservations, and gives them back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::error::{ApiError, ErrorKind, Result};
use super::held::{PoolHold, TeamHold};
use super::route::{RankedPool, RouteNeed, rank_pools};
use super::shared::{EntryShared, RequestContext};
use crate::ids::{GrantId, ModelName, Offset, RequestId, TargetName, TeamName};
use crate::ledger::grant::{GrantEnd, GrantPart, PoolRefusal};
use crate::policy::lane::PromptLane;
use crate::view::ownership::{OwnedKey, PoolKey, owner_of};
use crate::wire::hot::PoolAsk;
use crate::wire::message::StewardRefusal;
use crate::wire::{PeerCall, PeerReply};

const TEAM_CALL_WITHIN: Duration = Duration::from_secs(1);
const RELEASE_WITHIN: Duration = Duration::from_secs(1);
const RELEASE_TRIES: u32 = 5;
const PAUSE_BETWEEN_ROUNDS: Duration = Duration::from_millis(150);
const RETRY_NO_CAPACITY: Duration = Duration::from_secs(2);

/// An answer that needs no queueing is due at once; a steward that is silent is passed over.
const IDLE_ANSWER_WITHIN: Duration = Duration::from_millis(300);

/// With no steward able to decide, a request is refused after this long.
const UNSETTLED_PATIENCE: Duration = Duration::from_secs(10);

/// What to reserve.
#[derive(Debug, Clone)]
pub struct ReserveNeed {
    /// The model or service.
    pub model: ModelName,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most tokens that may be generated.
    pub max_output: u64,
    /// Hash of the start of the prompt.
    pub prefix: u64,
}

/// A reservation under a ceiling, given back when dropped.
#[derive(Debug)]
pub struct TeamGuard {
    shared: Arc<EntryShared>,
    team: TeamName,
    grant: GrantId,
}

impl Drop for TeamGuard {
    fn drop(&mut self) {
        self.shared.with_held(|held| held.drop_team(self.grant));
        let call = PeerCall::ReleaseTeam {
            team: self.team.clone(),
            grant: self.grant,
        };
        let team = self.team.clone();
        let owner = move |shared: &EntryShared| owner_address(shared, OwnedKey::Team(&team));
        send_until_done(self.shared.clone(), call, owner);
    }
}

/// A reservation at a pool's targets, given back when dropped.
#[derive(Debug)]
pub struct PoolGuard {
    shared: Arc<EntryShared>,
    /// The pool.
    pub pool: PoolKey,
    /// The parts; the first leads.
    pub parts: Vec<GrantPart>,
    /// Until when the request may be sent.
    pub use_by: Instant,
    /// The lane.
    pub lane: PromptLane,
    /// Priority at the target.
    pub priority: i64,
    /// How the reservation ends when dropped.
    pub end: GrantEnd,
}

impl PoolGuard {
    /// Tells the pool's steward that the first token came.
    pub fn first_token(&self, elapsed: Duration) {
        let grants: Vec<GrantId> = self.parts.iter().map(|part| part.grant).collect();
        if let Some(first) = grants.first() {
            self.shared.with_held(|held| held.mark_prefilled(*first));
        }
        let call = PeerCall::FirstToken {
            pool: self.pool.clone(),
            grants,
            elapsed_ms: elapsed.as_millis() as u64,
        };
        self.send(call);
    }

    fn send(&self, call: PeerCall) {
        let pool = self.pool.clone();
        let owner = move |shared: &EntryShared| owner_address(shared, OwnedKey::Pool(&pool));
        send_until_done(self.shared.clone(), call, owner);
    }

    /// Checks, right before sending, everything that may have changed since the grant.
    ///
    /// # Errors
    ///
    /// Fails with what has changed; nothing may be sent then.
    pub fn check_before_send(&self) -> std::result::Result<(), &'static str> {
        let now = self.shared.now();
        if now >= self.use_by {
            return Err("the reservation lapsed before it was used");
        }
        self.shared.read(|followed| {
            if !followed.is_fresh(now) {
                return Err("this entry does not know the present state of the fleet");
            }
            let in_service = self.parts.iter().all(|part| {
                let row = followed.view.target(&part.target);
                row.is_some_and(|row| followed.view.in_service(row))
            });
            match in_service {
                true => Ok(()),
                false => Err("the target was taken out of service"),
            }
        })
    }

    /// Names of the targets.
    pub fn targets(&self) -> Vec<TargetName> {
        self.parts.iter().map(|part| part.target.clone()).collect()
    }
}

impl Drop for PoolGuard {
    fn drop(&mut self) {
        let grants: Vec<GrantId> = self.parts.iter().map(|part| part.grant).collect();
        if let Some(first) = grants.first() {
            self.shared.with_held(|held| held.drop_pool(*first));
        }
        let call = PeerCall::ReleasePool {
            pool: self.pool.clone(),
            grants,
            end: self.end,
        };
        self.send(call);
    }
}

fn owner_address(shared: &EntryShared, key: OwnedKey<'_>) -> Option<String> {
    shared.read(|followed| {
        let owner = owner_of(followed.view.members(), key)?;
        Some(owner.join.steward_address.clone())
    })
}

/// Sends a call in the background to whoever owns its subject, a few times at most;
/// what is lost all the same ends at the steward by reconciliation or expiry.
fn send_until_done(
    shared: Arc<EntryShared>,
    call: PeerCall,
    owner: impl Fn(&EntryShared) -> Option<String> + 'static,
) {
    actix_rt::spawn(async move {
        for _ in 0..RELEASE_TRIES {
            if let Some(address) = owner(&shared) {
                let client = shared.client(&address);
                if client.call(&call, RELEASE_WITHIN).await.is_ok() {
                    return;
                }
            }
            sleep(PAUSE_BETWEEN_ROUNDS).await;
        }
    });
}

/// Reserves tokens under the team's ceiling.
///
/// # Errors
///
/// Fails when the ceiling is reached, or no steward can decide in time.
pub async fn reserve_team(context: &RequestContext, amount: u64) -> Result<TeamGuard> {
    let shared = &context.shared;
    let give_up = shared.now() + UNSETTLED_PATIENCE.min(context.time_left());
    loop {
        let answer = ask_team_owner(context, amount).await;
        match answer {
            Some(PeerReply::TeamGranted { grant }) => {
                let hold = TeamHold {
                    team: context.team.clone(),
                    amount,
                    deadline: context.deadline,
                };
                shared.with_held(|held| held.hold_team(grant, hold));
                return Ok(TeamGuard {
                    shared: shared.clone(),
                    team: context.team.clone(),
                    grant,
                });
            }
            Some(PeerReply::Refused {
                refusal: StewardRefusal::Ceiling,
                retry_after_ms,
            }) => {
                context.note("refusal", vec![], vec![], "team ceiling reached");
                let error = ApiError::not_run(
                    ErrorKind::CeilingReached,
                    "the team's ceiling is reached; wait for its other requests, or ask the operators to raise it",
                );
                return Err(error.retry_after(Duration::from_millis(retry_after_ms)));
            }
            _ => {}
        }
        if let Some(guard) = reserve_static_share(context, amount) {
            return Ok(guard);
        }
        if shared.now() >= give_up {
            return Err(no_steward());
        }
        sleep(PAUSE_BETWEEN_ROUNDS).await;
    }
}

/// Reserves from this entry's static share of the ceiling: for a log outage in which the
/// team's steward died and no other can take over.
fn reserve_static_share(context: &RequestContext, amount: u64) -> Option<TeamGuard> {
    let shared = &context.shared;
    let now = shared.now();
    let share = shared.read(|followed| {
        let outage = followed.log_unreachable && followed.is_fresh(now);
        let ceiling = followed.view.team(&context.team)?.ceiling_tokens;
        let members = followed.view.members().len().max(1) as u64;
        outage.then_some(ceiling / members)
    })?;
    let grant = GrantId {
        epoch: Offset(0),
        serial: rand::random(),
    };
    let hold = TeamHold {
        team: context.team.clone(),
        amount,
        deadline: context.deadline,
    };
    let reserved = shared.with_held(|held| {
        let fits = held.team_held(&context.team) + amount <= share;
        if fits {
            held.hold_team(grant, hold);
        }
        fits
    });
    if !reserved {
        return None;
    }
    context.note("route", vec![], vec![], "static share of the ceiling");
    Some(TeamGuard {
        shared: shared.clone(),
        team: context.team.clone(),
        grant,
    })
}

async fn ask_team_owner(context: &RequestContext, amount: u64) -> Option<PeerReply> {
    let shared = &context.shared;
    let address = owner_address(shared, OwnedKey::Team(&context.team))?;
    let call = PeerCall::AcquireTeam {
        team: context.team.clone(),
        amount,
        deadline_ms: context.time_left().as_millis() as u64,
    };
    shared
        .client(&address)
        .call(&call, TEAM_CALL_WITHIN)
        .await
        .ok()
}

fn no_steward() -> ApiError {
    ApiError::not_run(
        ErrorKind::NoCapacity,
        "no steward can decide at present; come back later or use another entry of GET /v1/entries",
    )
    .retry_after(RETRY_NO_CAPACITY)
}

/// How one pool answered.
enum PoolAnswer {
    Granted(PoolGuard),
    Refused {
        refusal: PoolRefusal,
        retry_after: Duration,
    },
    Unsettled,
}

/// Reserves targets for a request, trying pools from the best on.
/// `stream` is the id under which the targets are to know the attempt.
///
/// # Errors
///
/// Fails at once when no pool can serve the request in time, or when no steward
/// can decide.
pub async fn reserve_targets(
    context: &RequestContext,
    need: &ReserveNeed,
    stream: RequestId,
) -> Result<PoolGuard> {
    let shared = &context.shared;
    let give_up = shared.now() + UNSETTLED_PATIENCE.min(context.time_left());
    loop {
        let pools = ranked(context, need)?;
        let mut round = PoolRound::default();
        let mut queues: Vec<&RankedPool> = pools.iter().collect();
        if pools.len() > 1 {
            // First whichever pool is idle; then the best queue of those that answered.
            let mut silent = Vec::new();
            for pool in &pools {
                match ask_pool(context, need, stream, &pool.pool, true).await {
                    PoolAnswer::Granted(guard) => {
                        note_grant(context, &guard, &pools, pool);
                        return Ok(guard);
                    }
                    PoolAnswer::Unsettled => silent.push(&pool.pool),
                    PoolAnswer::Refused { .. } => {}
                }
            }
            queues.sort_by_key(|pool| silent.contains(&&pool.pool));
        }
        for pool in queues {
            match ask_pool(context, need, stream, &pool.pool, false).await {
                PoolAnswer::Granted(guard) => {
                    note_grant(context, &guard, &pools, pool);
                    return Ok(guard);
                }
                answer => round.note(&answer),
            }
        }
        if !round.unsettled || shared.now() >= give_up {
            let error = final_refusal(&round.refusals);
            context.note("refusal", vec![], describe(&pools), error.message.clone());
            return Err(error);
        }
        sleep(PAUSE_BETWEEN_ROUNDS).await;
    }
}

/// What all pools answered in one round.
#[derive(Default)]
struct PoolRound {
    refusals: Vec<(PoolRefusal, Duration)>,
    unsettled: bool,
}

impl PoolRound {
    fn note(&mut self, answer: &PoolAnswer) {
        match answer {
            PoolAnswer::Refused {
                refusal: PoolRefusal::Unreachable,
                ..
            }
            | PoolAnswer::Unsettled => self.unsettled = true,
            PoolAnswer::Refused {
                refusal,
                retry_after,
            } => self.refusals.push((*refusal, *retry_after)),
            PoolAnswer::Granted(_) => {}
        }
    }
}

fn note_grant(
    context: &RequestContext,
    guard: &PoolGuard,
    pools: &[RankedPool],
    chosen: &RankedPool,
) {
    let reason = format!(
        "pool {} ranked {} of {}, lane {}",
        chosen.pool,
        pools.iter().position(|pool| pool == chosen).unwrap_or(0) + 1,
        pools.len(),
        guard.lane.as_str(),
    );
    context.note("route", guard.targets(), describe(pools), reason);
}

fn describe(pools: &[RankedPool]) -> Vec<String> {
    pools.iter().map(RankedPool::describe).collect()
}

fn ranked(context: &RequestContext, need: &ReserveNeed) -> Result<Vec<RankedPool>> {
    let shared = &context.shared;
    let now = shared.now();
    shared.read(|followed| {
        if !followed.is_fresh(now) {
            return Err(stale_view());
        }
        let route = RouteNeed {
            team: &context.team,
            model: &need.model,
            prompt: need.prompt,
            prefix: need.prefix,
            home: &shared.settings.domain,
        };
        let pools = rank_pools(followed, route);
        if pools.is_empty() {
            return Err(no_target(followed, context, &need.model));
        }
        Ok(pools)
    })
}

/// The error of an entry whose view is stale.
pub fn stale_view() -> ApiError {
    ApiError::not_run(
        ErrorKind::StaleView,
        "this entry does not know the present state of the fleet; use another entry of GET /v1/entries",
    )
    .retry_after(Duration::from_secs(1))
}

fn no_target(
    followed: &super::shared::FollowedView,
    context: &RequestContext,
    model: &ModelName,
) -> ApiError {
    let view = &followed.view;
    let offered = || view.targets().filter(|target| target.row.model == *model);
    if offered().next().is_none() {
        return ApiError::not_run(
            ErrorKind::NoSuchModel,
            format!("no target offers {model}; use a model that the table names"),
        );
    }
    if !offered().any(|target| view.approved(&context.team, target)) {
        return ApiError::not_run(
            ErrorKind::NotApproved,
            format!(
                "no owner of a target of {model} has approved team {}; ask one to",
                context.team
            ),
        );
    }
    ApiError::not_run(
        ErrorKind::NoCapacity,
        format!("all targets of {model} are out of service; come back later"),
    )
    .retry_after(RETRY_NO_CAPACITY)
}

async fn ask_pool(
    context: &RequestContext,
    need: &ReserveNeed,
    stream: RequestId,
    pool: &PoolKey,
    idle_only: bool,
) -> PoolAnswer {
    let shared = &context.shared;
    let Some(address) = owner_address(shared, OwnedKey::Pool(pool)) else {
        return PoolAnswer::Unsettled;
    };
    let time_left = context.time_left();
    let call = PeerCall::AcquirePool(PoolAsk {
        request: stream,
        team: context.team.clone(),
        pool: pool.clone(),
        prompt: need.prompt,
        max_output: need.max_output,
        prefix: need.prefix,
        deadline_ms: time_left.as_millis() as u64,
        idle_only,
    });
    let within = match idle_only {
        true => IDLE_ANSWER_WITHIN.min(time_left),
        false => time_left,
    };
    let asked = shared.now();
    match shared.client(&address).call(&call, within).await {
        Ok(PeerReply::PoolGranted {
            parts,
            use_by_ms,
            lane,
            priority,
            waited_ms,
            ..
        }) => {
            let hold = PoolHold {
                pool: pool.clone(),
                request: stream,
                parts: parts.clone(),
                prompt: need.prompt,
                lane,
                prefilled: false,
                deadline: context.deadline,
            };
            shared.with_held(|held| held.hold_pool(hold));
            PoolAnswer::Granted(PoolGuard {
                shared: shared.clone(),
                pool: pool.clone(),
                parts,
                use_by: asked + Duration::from_millis(waited_ms + use_by_ms),
                lane,
                priority,
                end: GrantEnd::Withdrawn,
            })
        }
        Ok(PeerReply::PoolRefused {
            refusal,
            retry_after_ms,
            ..
        }) => PoolAnswer::Refused {
            refusal,
            retry_after: Duration::from_millis(retry_after_ms),
        },
        _ => PoolAnswer::Unsettled,
    }
}

/// The error that sums up what all pools answered.
fn final_refusal(refusals: &[(PoolRefusal, Duration)]) -> ApiError {
    let soonest = refusals
        .iter()
        .filter(|(refusal, _)| *refusal != PoolRefusal::Busy)
        .map(|(_, after)| *after)
        .min()
        .unwrap_or(RETRY_NO_CAPACITY);
    let any = |wanted: PoolRefusal| refusals.iter().any(|(refusal, _)| *refusal == wanted);
    if any(PoolRefusal::Deadline) {
        return ApiError::not_run(
            ErrorKind::DeadlineTooShort,
            "the answer could not be complete in time; give more time with Request-Timeout-Ms, or come back later",
        )
        .retry_after(soonest);
    }
    if any(PoolRefusal::TooLong) {
        return ApiError::not_run(
            ErrorKind::PromptTooLong,
            "the prompt is longer than the targets of one failure domain together can hold; shorten it",
        );
    }
    no_steward()
}
