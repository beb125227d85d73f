//! Follows the log through a steward, and sends new owners notices of the reservations held here.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::shared::{EntryShared, FollowedState};
use crate::ids::Offset;
use crate::view::checkpoint;
use crate::view::record::LogEntry;
use crate::wire::{PeerCall, PeerReply};

/// How long a steward waits for new records before it replies to a poll.
const LONG_POLL_MS: u64 = 200;
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A new owner refuses the notice until it has folded the record that makes it the owner.
const MAX_NOTICE_ATTEMPTS: u32 = 20;
const ADOPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The entry follows another steward when the current one's view is older than this.
const SWITCH_STEWARD_VIEW_AGE_MS: u64 = 1_200;

/// Number of polls after which the entry returns to the first steward from the settings.
const LOCAL_RETRY_POLLS: u32 = 25;

/// Polls stewards for new log records until the process ends.
pub async fn follow(shared: Arc<EntryShared>) {
    let mut steward_index = 0;
    let mut polls_since_local = 0;
    loop {
        let stewards = steward_addresses(&shared);
        let address = &stewards[steward_index % stewards.len()];
        let up_to_date = poll_steward(&shared, address, LONG_POLL_MS).await;
        notify_new_owners(&shared);
        update_metrics(&shared);
        polls_since_local += 1;
        if !up_to_date {
            steward_index = (steward_index + 1) % stewards.len();
            sleep(FAILURE_RETRY_DELAY).await;
        } else if polls_since_local > LOCAL_RETRY_POLLS {
            steward_index = 0;
            polls_since_local = 0;
        }
    }
}

/// Fetches what the steward at `address` has folded, without waiting for further records.
pub async fn catch_up(shared: &EntryShared, address: &str) {
    poll_steward(shared, address, 0).await;
}

/// The stewards from the settings, then the other members.
fn steward_addresses(shared: &EntryShared) -> Vec<String> {
    let mut addresses = shared.settings.stewards.clone();
    shared.with_followed(|followed| {
        for (_, member) in followed.view.members().iter() {
            if !addresses.contains(&member.join.steward_address) {
                addresses.push(member.join.steward_address.clone());
            }
        }
    });
    addresses
}

/// Fetches new log records and pool loads from one steward. Returns whether its view is recent
/// enough to keep following it.
async fn poll_steward(shared: &EntryShared, address: &str, wait_ms: u64) -> bool {
    let client = shared.client(address);
    let sent_at = shared.now();
    let after = shared.with_followed(|followed| followed.view.offset());
    let call = PeerCall::Follow { after, wait_ms };
    let reply = match client.call(&call, CALL_TIMEOUT).await {
        Ok(reply) => reply,
        Err(error) => {
            tracing::debug!(%error, address, "steward did not reply to a poll");
            return false;
        }
    };
    let PeerReply::NewEntries {
        entries,
        snapshot_needed,
        fresh_age_ms,
        offset,
        loads,
        log_unreachable,
    } = reply
    else {
        return false;
    };
    if snapshot_needed && !load_snapshot(shared, address).await {
        return false;
    }
    let mut followed = shared
        .followed
        .write()
        .expect("no thread panics while it holds the lock");
    let folded = fold_entries(&mut followed, &entries);
    if let Some(age) = fresh_age_ms
        && followed.view.offset() >= offset
    {
        let as_of = sent_at.checked_sub(Duration::from_millis(age));
        followed.fresh_as_of = followed.fresh_as_of.max(as_of);
    }
    followed.log_unreachable = log_unreachable;
    followed.loads = loads
        .into_iter()
        .map(|status| (status.pool, status.load))
        .collect();
    drop(followed);
    if folded {
        shared.fold_count.send_modify(|count| *count += 1);
    }
    fresh_age_ms.is_some_and(|age| age < SWITCH_STEWARD_VIEW_AGE_MS)
}

fn fold_entries(followed: &mut FollowedState, entries: &[LogEntry]) -> bool {
    let previous_offset = followed.view.offset();
    for entry in entries {
        if entry.offset == followed.view.offset().next() {
            followed.view.fold(entry);
        }
    }
    followed.view.offset() > previous_offset
}

async fn load_snapshot(shared: &EntryShared, address: &str) -> bool {
    let client = shared.client(address);
    let Ok(PeerReply::Snapshot { state }) =
        client.call(&PeerCall::Snapshot, SNAPSHOT_TIMEOUT).await
    else {
        return false;
    };
    let view = match checkpoint::decode(Offset(0), &state) {
        Ok(view) => view,
        Err(error) => {
            tracing::warn!(%error, address, "snapshot from the steward cannot be decoded");
            return false;
        }
    };
    let mut followed = shared
        .followed
        .write()
        .expect("no thread panics while it holds the lock");
    if view.offset() > followed.view.offset() {
        followed.view = view;
    }
    true
}

/// Sends stewards that became owners a notice of the reservations that this entry holds.
fn notify_new_owners(shared: &Arc<EntryShared>) {
    let now = shared.now();
    let notices = shared
        .with_followed(|followed| shared.with_held(|held| held.take_notices(&followed.view, now)));
    for (address, notice) in notices {
        let client = shared.client(&address);
        actix_rt::spawn(async move {
            let call = PeerCall::Adopt {
                targets: notice.targets,
                teams: notice.teams,
            };
            for _ in 0..MAX_NOTICE_ATTEMPTS {
                if let Ok(PeerReply::Done) = client.call(&call, CALL_TIMEOUT).await {
                    return;
                }
                sleep(ADOPT_RETRY_DELAY).await;
            }
            tracing::warn!(
                address = client.address(),
                "new owner did not accept the notice of reservations"
            );
        });
    }
}

fn update_metrics(shared: &EntryShared) {
    let now = shared.now();
    shared.with_followed(|followed| {
        let age = followed
            .fresh_as_of
            .map(|as_of| now.saturating_duration_since(as_of).as_millis() as i64);
        shared.metrics.view_age_ms.set(age.unwrap_or(-1));
        let offset = followed.view.offset().0 as i64;
        shared.metrics.view_offset.set(offset);
    });
}
