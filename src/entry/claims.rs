//! Claims idempotency keys through the log, so that a non-idempotent request runs at most once.

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

/// Keys hash to this many slots, each owned by one steward that batches its appends. This bounds
/// the rate of appends to the log.
const CLAIM_SLOT_COUNT: u64 = 8;
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
const VIEW_TIMEOUT: Duration = Duration::from_secs(3);
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);
const MAX_APPEND_ATTEMPTS: u32 = 120;
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Result of claiming a key.
#[derive(Debug)]
pub enum ClaimAnswer {
    /// This attempt holds the key and may send the request.
    Won(ClaimId),
    /// An earlier attempt ran the request, with this outcome.
    Done(ClaimOutcome),
}

/// Claims a key. If another attempt holds it already, waits for that attempt's outcome instead.
///
/// # Errors
///
/// Fails when the log does not record the claim, when the key was used for another request, or
/// when the holder has no outcome by the deadline.
pub async fn claim_or_await_outcome(
    context: &RequestContext,
    key: &ClaimKey,
    digest: u64,
) -> Result<ClaimAnswer> {
    let shared = &context.shared;
    if let Some(holder) = current_holder(shared, key) {
        return wait_for_outcome(context, key, digest, holder).await;
    }
    let claim = ClaimId::random();
    let event = ClaimEvent::Claim {
        key: key.clone(),
        claim,
        digest,
        vm: shared.settings.vm.clone(),
        request: context.request,
    };
    let appended = try_append_event(shared, key, event).await;
    let new_holder = if appended {
        wait_for_holder(shared, key).await
    } else {
        None
    };
    let Some(holder) = new_holder else {
        release_claim(shared, key, claim);
        return Err(ApiError::not_run(
            ErrorKind::LogUnavailable,
            "the claim was not recorded, so nothing was sent; retry later with the same key",
        )
        .retry_after(LOG_RETRY_AFTER));
    };
    if holder.claim == claim {
        return Ok(ClaimAnswer::Won(claim));
    }
    wait_for_outcome(context, key, digest, holder).await
}

fn current_holder(shared: &EntryShared, key: &ClaimKey) -> Option<ClaimHolder> {
    shared.with_followed(|followed| followed.view.claims().holder(key).cloned())
}

async fn wait_for_holder(shared: &EntryShared, key: &ClaimKey) -> Option<ClaimHolder> {
    let mut fold_count_changes = shared.fold_count.subscribe();
    let wait = async {
        loop {
            if let Some(holder) = current_holder(shared, key) {
                return holder;
            }
            if fold_count_changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    timeout(VIEW_TIMEOUT, wait).await.ok()
}

/// Waits until the attempt that holds the key has an outcome.
async fn wait_for_outcome(
    context: &RequestContext,
    key: &ClaimKey,
    digest: u64,
    initial_holder: ClaimHolder,
) -> Result<ClaimAnswer> {
    if initial_holder.digest != digest {
        return Err(ApiError::not_run(
            ErrorKind::KeyReused,
            "this Idempotency-Key was used for another request; use a new key",
        ));
    }
    let shared = &context.shared;
    let mut fold_count_changes = shared.fold_count.subscribe();
    let wait = async {
        loop {
            match current_holder(shared, key) {
                Some(holder) => match holder.outcome {
                    Some(outcome) => return Ok(outcome),
                    None if !is_member(shared, &holder.vm) => return Err(holder_evicted_error()),
                    None => {}
                },
                None => return Err(claim_released_error()),
            }
            if fold_count_changes.changed().await.is_err() {
                return Err(outcome_pending_error());
            }
        }
    };
    match timeout(context.time_left(), wait).await {
        Ok(outcome) => Ok(ClaimAnswer::Done(outcome?)),
        Err(_) => Err(outcome_pending_error()),
    }
}

fn is_member(shared: &EntryShared, vm: &VmName) -> bool {
    shared.with_followed(|followed| followed.view.members().get(vm).is_some())
}

fn holder_evicted_error() -> ApiError {
    ApiError::unknown(
        ErrorKind::ResultUnknown,
        "the VM that ran this request was lost before it recorded a result; check at the service whether it was done",
    )
}

fn claim_released_error() -> ApiError {
    ApiError::not_run(
        ErrorKind::NoCapacity,
        "the earlier attempt with this key did not run; send the request again",
    )
    .retry_after(Duration::from_secs(1))
}

fn outcome_pending_error() -> ApiError {
    ApiError::unknown(
        ErrorKind::ResultUnknown,
        "an earlier attempt with this key has no result yet; retry with the same key",
    )
    .retry_after(LOG_RETRY_AFTER)
}

/// Appends an event through the steward that owns the key's slot, or else through the VM's own
/// steward, without a retry. Returns whether the log recorded it. Tries the second steward only when
/// the first was not reached, because a call without a reply may have been appended.
async fn try_append_event(shared: &EntryShared, key: &ClaimKey, event: ClaimEvent) -> bool {
    let slot = xxhash_rust::xxh3::xxh3_64(key.key.as_bytes()) % CLAIM_SLOT_COUNT;
    let owner_address = shared.with_followed(|followed| {
        let owner = owner_of(followed.view.members(), OwnedKey::ClaimSlot(slot));
        owner.map(|member| member.join.steward_address.clone())
    });
    let local_address = shared.settings.stewards.first().cloned();
    let call = PeerCall::Append(vec![event]);
    for address in owner_address.into_iter().chain(local_address) {
        let client = shared.client(&address);
        match client.call(&call, APPEND_TIMEOUT).await {
            Ok(PeerReply::Done) => {
                // This steward has read the event back; other stewards may not have it yet.
                catch_up(shared, &address).await;
                return true;
            }
            Err(error) if error.not_sent() => {}
            _ => return false,
        }
    }
    false
}

/// Appends an event in the background, and retries up to `MAX_APPEND_ATTEMPTS` times.
fn append_in_background(shared: &std::sync::Arc<EntryShared>, key: &ClaimKey, event: ClaimEvent) {
    let (shared, key) = (shared.clone(), key.clone());
    actix_rt::spawn(async move {
        for _ in 0..MAX_APPEND_ATTEMPTS {
            if try_append_event(&shared, &key, event.clone()).await {
                return;
            }
            sleep(APPEND_RETRY_DELAY).await;
        }
        tracing::error!(key = %key.key, "claim event was not recorded; repeats of the request get an unknown result");
    });
}

/// Releases a key whose request was not sent, in the background.
pub fn release_claim(shared: &std::sync::Arc<EntryShared>, key: &ClaimKey, claim: ClaimId) {
    let event = ClaimEvent::Release {
        key: key.clone(),
        claim,
    };
    append_in_background(shared, key, event);
}

/// Records the outcome of a request that was sent, in the background.
pub fn record_outcome(
    shared: &std::sync::Arc<EntryShared>,
    key: &ClaimKey,
    claim: ClaimId,
    outcome: ClaimOutcome,
) {
    let event = ClaimEvent::Outcome {
        key: key.clone(),
        claim,
        outcome,
    };
    append_in_background(shared, key, event);
}
