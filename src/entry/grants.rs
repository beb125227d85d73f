//! Acquires reservations from stewards and releases them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::error::{ApiError, ErrorKind, Result};
use super::held::{PoolReservation, TeamReservation};
use super::route::{RankedPool, RouteQuery, rank_pools};
use super::shared::{EntryShared, RequestContext};
use crate::ids::{GrantId, ModelName, Offset, RequestId, TargetName, TeamName};
use crate::ledger::grant::{GrantOutcome, GrantPart, PoolRefusal};
use crate::policy::lane::PromptLane;
use crate::view::ownership::{OwnedKey, PoolKey, owner_of};
use crate::wire::hot::AcquireRequest;
use crate::wire::message::StewardRefusal;
use crate::wire::{PeerCall, PeerReply};

const TEAM_CALL_TIMEOUT: Duration = Duration::from_secs(1);
const BACKGROUND_CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_BACKGROUND_ATTEMPTS: u32 = 5;
const RETRY_DELAY: Duration = Duration::from_millis(150);
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Short, because an idle-only request is never queued: a pool whose steward does not reply is
/// skipped.
const IDLE_REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// While any pool is undecided, a request is tried again for this long.
const UNDECIDED_TIMEOUT: Duration = Duration::from_secs(10);

/// What to reserve for a request.
#[derive(Debug, Clone)]
pub struct ReservationSpec {
    /// The model or service that the targets must offer.
    pub model: ModelName,
    /// Estimated length of the prompt, in tokens; 0 for a service call.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u64,
    /// Hash of the start of the prompt, from [`ChatBody::prefix_hash`](super::chat::ChatBody::prefix_hash).
    pub prefix_hash: u64,
}

/// A reservation under a team's ceiling; released on drop.
#[derive(Debug)]
pub struct TeamGuard {
    shared: Arc<EntryShared>,
    team: TeamName,
    grant: GrantId,
}

impl Drop for TeamGuard {
    fn drop(&mut self) {
        self.shared.with_held(|held| held.remove_team(self.grant));
        let call = PeerCall::ReleaseTeam {
            team: self.team.clone(),
            grant: self.grant,
        };
        let team = self.team.clone();
        let owner = move |shared: &EntryShared| owner_address(shared, OwnedKey::Team(&team));
        send_in_background(self.shared.clone(), call, owner);
    }
}

/// A reservation at a pool's targets; released on drop.
#[derive(Debug)]
pub struct PoolGuard {
    shared: Arc<EntryShared>,
    /// The pool whose steward granted the reservation.
    pub pool: PoolKey,
    /// One part per target; the first target leads the gang.
    pub parts: Vec<GrantPart>,
    /// The request may be sent only before this time.
    pub use_by: Instant,
    /// The lane in which the request was queued.
    pub lane: PromptLane,
    /// Priority at the target; lower goes first.
    pub priority: i64,
    /// The result that is reported to the steward on drop.
    pub outcome: GrantOutcome,
}

impl PoolGuard {
    /// Reports the time to the first token to the pool's steward.
    pub fn report_first_token(&self, elapsed: Duration) {
        let grants: Vec<GrantId> = self.parts.iter().map(|part| part.grant).collect();
        if let Some(first) = grants.first() {
            self.shared.with_held(|held| held.mark_prefilled(*first));
        }
        let call = PeerCall::FirstToken {
            pool: self.pool.clone(),
            grants,
            elapsed_ms: elapsed.as_millis() as u64,
        };
        self.send_to_owner(call);
    }

    fn send_to_owner(&self, call: PeerCall) {
        let pool = self.pool.clone();
        let owner = move |shared: &EntryShared| owner_address(shared, OwnedKey::Pool(&pool));
        send_in_background(self.shared.clone(), call, owner);
    }

    /// Checks, right before the request is sent, that the reservation may still be used.
    ///
    /// # Errors
    ///
    /// Fails with the reason why nothing may be sent.
    pub fn check_before_send(&self) -> std::result::Result<(), &'static str> {
        let now = self.shared.now();
        if now >= self.use_by {
            return Err("the reservation expired before it was used");
        }
        self.shared.with_followed(|followed| {
            if !followed.is_fresh(now) {
                return Err("this entry's view of the fleet is stale");
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

    /// Names of the reserved targets, the leader first.
    pub fn targets(&self) -> Vec<TargetName> {
        self.parts.iter().map(|part| part.target.clone()).collect()
    }
}

impl Drop for PoolGuard {
    fn drop(&mut self) {
        let grants: Vec<GrantId> = self.parts.iter().map(|part| part.grant).collect();
        if let Some(first) = grants.first() {
            self.shared.with_held(|held| held.remove_pool(*first));
        }
        let call = PeerCall::ReleasePool {
            pool: self.pool.clone(),
            grants,
            end: self.outcome,
        };
        self.send_to_owner(call);
    }
}

fn owner_address(shared: &EntryShared, key: OwnedKey<'_>) -> Option<String> {
    shared.with_followed(|followed| {
        let owner = owner_of(followed.view.members(), key)?;
        Some(owner.join.steward_address.clone())
    })
}

/// Sends a call to the current owner in the background, with a limited number of retries. If all
/// fail, the steward frees the reservation by reconciliation or expiry.
fn send_in_background(
    shared: Arc<EntryShared>,
    call: PeerCall,
    owner: impl Fn(&EntryShared) -> Option<String> + 'static,
) {
    actix_rt::spawn(async move {
        for _ in 0..MAX_BACKGROUND_ATTEMPTS {
            if let Some(address) = owner(&shared) {
                let client = shared.client(&address);
                if client.call(&call, BACKGROUND_CALL_TIMEOUT).await.is_ok() {
                    return;
                }
            }
            sleep(RETRY_DELAY).await;
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
    let give_up_at = shared.now() + UNDECIDED_TIMEOUT.min(context.time_left());
    loop {
        let reply = acquire_team(context, amount).await;
        match reply {
            Some(PeerReply::TeamGranted { grant }) => {
                let reservation = TeamReservation {
                    team: context.team.clone(),
                    amount,
                    deadline: context.deadline,
                };
                shared.with_held(|held| held.insert_team(grant, reservation));
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
                context.log_decision("refusal", vec![], vec![], "team ceiling reached");
                let error = ApiError::not_run(
                    ErrorKind::CeilingReached,
                    "the team's ceiling is reached; wait for its other requests, or ask the operators to raise it",
                );
                return Err(error.retry_after(Duration::from_millis(retry_after_ms)));
            }
            _ => {}
        }
        if let Some(guard) = reserve_equal_share(context, amount) {
            return Ok(guard);
        }
        if shared.now() >= give_up_at {
            return Err(no_steward_error());
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reserves from this entry's equal share of the ceiling, only while the log is unreachable: the
/// team's steward may have died, and no other can take over until the log is back.
fn reserve_equal_share(context: &RequestContext, amount: u64) -> Option<TeamGuard> {
    let shared = &context.shared;
    let now = shared.now();
    let share = shared.with_followed(|followed| {
        let share_allowed = followed.log_unreachable && followed.is_fresh(now);
        let ceiling = followed.view.team(&context.team)?.ceiling_tokens;
        let members = followed.view.members().len().max(1) as u64;
        share_allowed.then_some(ceiling / members)
    })?;
    // No steward made this grant. Epoch 0 is that of no owner, so the team's owner is sent a notice
    // of the reservation.
    let grant = GrantId {
        epoch: Offset(0),
        serial: rand::random(),
    };
    let reservation = TeamReservation {
        team: context.team.clone(),
        amount,
        deadline: context.deadline,
    };
    let reserved = shared.with_held(|held| {
        let fits_share = held.team_tokens(&context.team) + amount <= share;
        if fits_share {
            held.insert_team(grant, reservation);
        }
        fits_share
    });
    if !reserved {
        return None;
    }
    context.log_decision("route", vec![], vec![], "static share of the ceiling");
    Some(TeamGuard {
        shared: shared.clone(),
        team: context.team.clone(),
        grant,
    })
}

async fn acquire_team(context: &RequestContext, amount: u64) -> Option<PeerReply> {
    let shared = &context.shared;
    let address = owner_address(shared, OwnedKey::Team(&context.team))?;
    let call = PeerCall::AcquireTeam {
        team: context.team.clone(),
        tokens: amount,
        deadline_ms: context.time_left().as_millis() as u64,
    };
    shared
        .client(&address)
        .call(&call, TEAM_CALL_TIMEOUT)
        .await
        .ok()
}

fn no_steward_error() -> ApiError {
    ApiError::not_run(
        ErrorKind::NoCapacity,
        "no steward can decide at present; retry later or use another entry of GET /v1/entries",
    )
    .retry_after(NO_CAPACITY_RETRY_AFTER)
}

/// A pool's decision on a request; `Undecided` when its steward did not reply or cannot decide.
enum PoolDecision {
    Granted(PoolGuard),
    Refused {
        refusal: PoolRefusal,
        retry_after: Duration,
    },
    Undecided,
}

/// Reserves targets for a request, trying pools in order of rank. `stream` is the id under which
/// targets know the attempt.
///
/// # Errors
///
/// Fails at once when there is no pool to ask or every pool refuses the request. While any pool is
/// undecided, tries again for up to 10 s; a queued request waits until its deadline.
pub async fn reserve_targets(
    context: &RequestContext,
    spec: &ReservationSpec,
    stream: RequestId,
) -> Result<PoolGuard> {
    let shared = &context.shared;
    let give_up_at = shared.now() + UNDECIDED_TIMEOUT.min(context.time_left());
    loop {
        let pools = rank_for_request(context, spec)?;
        let mut round = RoundResult::default();
        let mut queue_order: Vec<&RankedPool> = pools.iter().collect();
        if pools.len() > 1 {
            // Prefer any idle pool; then queue, and try the pools that did not decide last.
            let mut undecided_pools = Vec::new();
            for pool in &pools {
                match acquire_pool(context, spec, stream, &pool.pool, true).await {
                    PoolDecision::Granted(guard) => {
                        log_grant(context, &guard, &pools, pool);
                        return Ok(guard);
                    }
                    PoolDecision::Undecided => undecided_pools.push(&pool.pool),
                    PoolDecision::Refused { .. } => {}
                }
            }
            queue_order.sort_by_key(|pool| undecided_pools.contains(&&pool.pool));
        }
        for pool in queue_order {
            match acquire_pool(context, spec, stream, &pool.pool, false).await {
                PoolDecision::Granted(guard) => {
                    log_grant(context, &guard, &pools, pool);
                    return Ok(guard);
                }
                decision => round.add(&decision),
            }
        }
        if !round.undecided || shared.now() >= give_up_at {
            let error = refusal_error(&round.refusals);
            context.log_decision(
                "refusal",
                vec![],
                describe_pools(&pools),
                error.message.clone(),
            );
            return Err(error);
        }
        sleep(RETRY_DELAY).await;
    }
}

/// The refusals of one round over all pools.
#[derive(Default)]
struct RoundResult {
    refusals: Vec<(PoolRefusal, Duration)>,
    undecided: bool,
}

impl RoundResult {
    fn add(&mut self, decision: &PoolDecision) {
        match decision {
            PoolDecision::Refused {
                refusal: PoolRefusal::Unreachable,
                ..
            }
            | PoolDecision::Undecided => self.undecided = true,
            PoolDecision::Refused {
                refusal,
                retry_after,
            } => self.refusals.push((*refusal, *retry_after)),
            PoolDecision::Granted(_) => {}
        }
    }
}

fn log_grant(
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
    context.log_decision("route", guard.targets(), describe_pools(pools), reason);
}

fn describe_pools(pools: &[RankedPool]) -> Vec<String> {
    pools.iter().map(RankedPool::describe).collect()
}

fn rank_for_request(context: &RequestContext, spec: &ReservationSpec) -> Result<Vec<RankedPool>> {
    let shared = &context.shared;
    let now = shared.now();
    shared.with_followed(|followed| {
        if !followed.is_fresh(now) {
            return Err(stale_view_error());
        }
        let query = RouteQuery {
            team: &context.team,
            model: &spec.model,
            prompt_tokens: spec.prompt_tokens,
            prefix_hash: spec.prefix_hash,
            local_domain: &shared.settings.domain,
        };
        let pools = rank_pools(followed, query);
        if pools.is_empty() {
            return Err(no_target_error(followed, context, &spec.model));
        }
        Ok(pools)
    })
}

/// The error of an entry whose view is stale; callers are sent to another entry.
pub fn stale_view_error() -> ApiError {
    ApiError::not_run(
        ErrorKind::StaleView,
        "this entry's view of the fleet is stale; use another entry of GET /v1/entries",
    )
    .retry_after(Duration::from_secs(1))
}

fn no_target_error(
    followed: &super::shared::FollowedState,
    context: &RequestContext,
    model: &ModelName,
) -> ApiError {
    let view = &followed.view;
    let offered = || view.targets().filter(|target| target.row.model == *model);
    if offered().next().is_none() {
        return ApiError::not_run(
            ErrorKind::NoSuchModel,
            format!("no target offers {model}; use a model from the table"),
        );
    }
    if !offered().any(|target| view.approved(&context.team, target)) {
        return ApiError::not_run(
            ErrorKind::NotApproved,
            format!(
                "no owner of a target of {model} has approved team {}; ask an owner for approval",
                context.team
            ),
        );
    }
    ApiError::not_run(
        ErrorKind::NoCapacity,
        format!("all targets of {model} are out of service; retry later"),
    )
    .retry_after(NO_CAPACITY_RETRY_AFTER)
}

async fn acquire_pool(
    context: &RequestContext,
    spec: &ReservationSpec,
    stream: RequestId,
    pool: &PoolKey,
    idle_only: bool,
) -> PoolDecision {
    let shared = &context.shared;
    let Some(address) = owner_address(shared, OwnedKey::Pool(pool)) else {
        return PoolDecision::Undecided;
    };
    let time_left = context.time_left();
    let call = PeerCall::AcquirePool(AcquireRequest {
        request: stream,
        team: context.team.clone(),
        pool: pool.clone(),
        prompt_tokens: spec.prompt_tokens,
        max_output_tokens: spec.max_output_tokens,
        prefix_hash: spec.prefix_hash,
        deadline_ms: time_left.as_millis() as u64,
        idle_only,
    });
    let reply_timeout = match idle_only {
        true => IDLE_REPLY_TIMEOUT.min(time_left),
        false => time_left,
    };
    let call_sent_at = shared.now();
    match shared.client(&address).call(&call, reply_timeout).await {
        Ok(PeerReply::PoolGranted {
            parts,
            use_by_ms,
            lane,
            priority,
            waited_ms,
            ..
        }) => {
            let reservation = PoolReservation {
                pool: pool.clone(),
                request: stream,
                parts: parts.clone(),
                prompt_tokens: spec.prompt_tokens,
                lane,
                prefilled: false,
                deadline: context.deadline,
            };
            shared.with_held(|held| held.insert_pool(reservation));
            PoolDecision::Granted(PoolGuard {
                shared: shared.clone(),
                pool: pool.clone(),
                parts,
                // Counted from the sending of the call, so that it ends no later than the limit
                // of the steward.
                use_by: call_sent_at + Duration::from_millis(waited_ms + use_by_ms),
                lane,
                priority,
                outcome: GrantOutcome::Withdrawn,
            })
        }
        Ok(PeerReply::PoolRefused {
            refusal,
            retry_after_ms,
            ..
        }) => PoolDecision::Refused {
            refusal,
            retry_after: Duration::from_millis(retry_after_ms),
        },
        _ => PoolDecision::Undecided,
    }
}

/// The error for the caller when no pool granted the request.
fn refusal_error(refusals: &[(PoolRefusal, Duration)]) -> ApiError {
    let min_retry_after = refusals
        .iter()
        .filter(|(refusal, _)| *refusal != PoolRefusal::Busy)
        .map(|(_, after)| *after)
        .min()
        .unwrap_or(NO_CAPACITY_RETRY_AFTER);
    let any_refusal =
        |expected: PoolRefusal| refusals.iter().any(|(refusal, _)| *refusal == expected);
    if any_refusal(PoolRefusal::Deadline) {
        return ApiError::not_run(
            ErrorKind::DeadlineTooShort,
            "the answer could not be complete in time; set a longer Request-Timeout-Ms, or retry later",
        )
        .retry_after(min_retry_after);
    }
    if any_refusal(PoolRefusal::TooLong) {
        return ApiError::not_run(
            ErrorKind::PromptTooLong,
            "the prompt is longer than the targets of one failure domain together can hold; shorten it",
        );
    }
    no_steward_error()
}
