//! Claims of non-idempotent requests, through the log.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::error::{ApiError, ErrorKind, Result};
use super::follower::catch_up;
use super::shared::{EntryShared, RequestContext};
use crate::claim::ClaimHolder;
use crate::ids::{ClaimId, VmName};
use crate::view::ownership::{OwnedKey, owner_of};
use crate::view::record::{ClaimEvent, ClaimKey, ClaimOutcome};
use crate::wire::{PeerCall, PeerReply};

/// Stewards that append claims, so that the log's rate is not exceeded.
const CLAIM_SLOTS: u64 = 8;
const APPEND_WITHIN: Duration = Duration::from_secs(5);
const VIEW_WITHIN: Duration = Duration::from_secs(3);
const RETRY_LOG: Duration = Duration::from_secs(2);
const OUTCOME_TRIES: u32 = 120;
const PAUSE_BETWEEN_TRIES: Duration = Duration::from_millis(500);

/// Whether this entry may run a request, or what is known of it.
#[derive(Debug)]
pub enum ClaimAnswer {
    /// This attempt won.
    Won(ClaimId),
    /// The request has run, with this outcome.
    Done(ClaimOutcome),
}

/// Claims a key, joins the attempt that holds it, or learns its outcome.
///
/// # Errors
///
/// Fails when the log does not record the claim, when the key was used for another
/// request, or when the holder's outcome does not come by the deadline.
pub async fn claim(context: &RequestContext, key: &ClaimKey, digest: u64) -> Result<ClaimAnswer> {
    let shared = &context.shared;
    if let Some(holder) = holder(shared, key) {
        return join_holder(context, key, digest, holder).await;
    }
    let claim = ClaimId::random();
    let step = ClaimEvent::Claim {
        key: key.clone(),
        claim,
        digest,
        vm: shared.settings.vm.clone(),
        request: context.request,
    };
    let appended = append(shared, key, step).await;
    let held = if appended {
        wait_for_holder(shared, key).await
    } else {
        None
    };
    let Some(holder) = held else {
        release(shared, key, claim);
        return Err(ApiError::not_run(
            ErrorKind::LogUnavailable,
            "the claim was not recorded, so nothing was sent; come back later with the same key",
        )
        .retry_after(RETRY_LOG));
    };
    if holder.claim == claim {
        return Ok(ClaimAnswer::Won(claim));
    }
    join_holder(context, key, digest, holder).await
}

fn holder(shared: &EntryShared, key: &ClaimKey) -> Option<ClaimHolder> {
    shared.read(|followed| followed.view.claims().holder(key).cloned())
}

async fn wait_for_holder(shared: &EntryShared, key: &ClaimKey) -> Option<ClaimHolder> {
    let mut folded = shared.folded.subscribe();
    let waiting = async {
        loop {
            if let Some(holder) = holder(shared, key) {
                return holder;
            }
            if folded.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    timeout(VIEW_WITHIN, waiting).await.ok()
}

/// Waits for the outcome of the attempt that holds the key.
async fn join_holder(
    context: &RequestContext,
    key: &ClaimKey,
    digest: u64,
    first: ClaimHolder,
) -> Result<ClaimAnswer> {
    if first.digest != digest {
        return Err(ApiError::not_run(
            ErrorKind::KeyReused,
            "this Idempotency-Key was used for another request; use a new key",
        ));
    }
    let shared = &context.shared;
    let mut folded = shared.folded.subscribe();
    let waiting = async {
        loop {
            match holder(shared, key) {
                Some(holder) => match holder.outcome {
                    Some(outcome) => return Ok(outcome),
                    None if !sender_lives(shared, &holder.vm) => return Err(sender_gone()),
                    None => {}
                },
                None => return Err(released_meanwhile()),
            }
            if folded.changed().await.is_err() {
                return Err(still_running());
            }
        }
    };
    match timeout(context.time_left(), waiting).await {
        Ok(outcome) => Ok(ClaimAnswer::Done(outcome?)),
        Err(_) => Err(still_running()),
    }
}

fn sender_lives(shared: &EntryShared, vm: &VmName) -> bool {
    shared.read(|followed| followed.view.members().get(vm).is_some())
}

fn sender_gone() -> ApiError {
    ApiError::unknown(
        ErrorKind::ResultUnknown,
        "the VM that ran this request is gone and left no result; check at the service whether it was done",
    )
}

fn released_meanwhile() -> ApiError {
    ApiError::not_run(
        ErrorKind::NoCapacity,
        "the earlier attempt with this key did not run; send the request again",
    )
    .retry_after(Duration::from_secs(1))
}

fn still_running() -> ApiError {
    ApiError::unknown(
        ErrorKind::ResultUnknown,
        "an earlier attempt with this key has no result yet; ask again with the same key",
    )
    .retry_after(RETRY_LOG)
}

/// Appends a step through the steward that batches claims for this key's slot.
async fn append(shared: &EntryShared, key: &ClaimKey, step: ClaimEvent) -> bool {
    let slot = xxhash_rust::xxh3::xxh3_64(key.key.as_bytes()) % CLAIM_SLOTS;
    let chosen = shared.read(|followed| {
        let owner = owner_of(followed.view.members(), OwnedKey::ClaimSlot(slot));
        owner.map(|member| member.join.steward_address.clone())
    });
    let own = shared.settings.stewards.first().cloned();
    let call = PeerCall::Append(vec![step]);
    for address in chosen.into_iter().chain(own) {
        let client = shared.client(&address);
        match client.call(&call, APPEND_WITHIN).await {
            Ok(PeerReply::Done) => {
                // That steward has read the step back; the others may be a read behind.
                catch_up(shared, &address).await;
                return true;
            }
            Err(error) if error.not_sent() => {}
            _ => return false,
        }
    }
    false
}

/// Appends a step in the background until the log has taken it.
fn append_until_done(shared: &std::sync::Arc<EntryShared>, key: &ClaimKey, step: ClaimEvent) {
    let (shared, key) = (shared.clone(), key.clone());
    actix_rt::spawn(async move {
        for _ in 0..OUTCOME_TRIES {
            if append(&shared, &key, step.clone()).await {
                return;
            }
            sleep(PAUSE_BETWEEN_TRIES).await;
        }
        tracing::error!(key = %key.key, "a claim step was not recorded; repeats of the request are told that its result is unknown");
    });
}

/// Frees a key whose request was not sent.
pub fn release(shared: &std::sync::Arc<EntryShared>, key: &ClaimKey, claim: ClaimId) {
    let step = ClaimEvent::Release {
        key: key.clone(),
        claim,
    };
    append_until_done(shared, key, step);
}

/// Records what came of a request that was sent.
pub fn record_outcome(
    shared: &std::sync::Arc<EntryShared>,
    key: &ClaimKey,
    claim: ClaimId,
    outcome: ClaimOutcome,
) {
    let step = ClaimEvent::Outcome {
        key: key.clone(),
        claim,
        outcome,
    };
    append_until_done(shared, key, step);
}
