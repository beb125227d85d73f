//! Follows the log through a steward, and tells new owners what this entry holds.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::shared::{EntryShared, FollowedView};
use crate::ids::Offset;
use crate::view::checkpoint;
use crate::view::record::LogEntry;
use crate::wire::{PeerCall, PeerReply};

const NEWS_WAIT_MS: u64 = 200;
const CALL_WITHIN: Duration = Duration::from_millis(900);
const SNAPSHOT_WITHIN: Duration = Duration::from_secs(5);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// The new owner may not have folded yet that it is the owner.
const ADOPT_TRIES: u32 = 20;
const PAUSE_BETWEEN_ADOPTS: Duration = Duration::from_millis(100);

/// A steward whose view is older than this is left for another.
const PREFERRED_AGE_MS: u64 = 1_200;

/// Answers after which the VM's own steward is tried again.
const RETURN_HOME_AFTER: u32 = 25;

/// Follows until the process ends.
pub async fn follow(shared: Arc<EntryShared>) {
    let mut place = 0;
    let mut since_home = 0;
    loop {
        let stewards = steward_addresses(&shared);
        let address = &stewards[place % stewards.len()];
        let good = follow_once(&shared, address, NEWS_WAIT_MS).await;
        tell_new_owners(&shared);
        update_metrics(&shared);
        since_home += 1;
        if !good {
            place = (place + 1) % stewards.len();
            sleep(PAUSE_AFTER_FAILURE).await;
        } else if since_home > RETURN_HOME_AFTER {
            place = 0;
            since_home = 0;
        }
    }
}

/// Takes in at once what the steward at `address` has folded.
pub async fn catch_up(shared: &EntryShared, address: &str) {
    follow_once(shared, address, 0).await;
}

/// The stewards from the settings, then the other members.
fn steward_addresses(shared: &EntryShared) -> Vec<String> {
    let mut addresses = shared.settings.stewards.clone();
    shared.read(|followed| {
        for (_, member) in followed.view.members().iter() {
            if !addresses.contains(&member.join.steward_address) {
                addresses.push(member.join.steward_address.clone());
            }
        }
    });
    addresses
}

/// Asks one steward for news; returns whether it is worth asking again.
async fn follow_once(shared: &EntryShared, address: &str, wait_ms: u64) -> bool {
    let client = shared.client(address);
    let asked = shared.now();
    let after = shared.read(|followed| followed.view.offset());
    let call = PeerCall::Follow { after, wait_ms };
    let reply = match client.call(&call, CALL_WITHIN).await {
        Ok(reply) => reply,
        Err(error) => {
            tracing::debug!(%error, address, "steward gave no news");
            return false;
        }
    };
    let PeerReply::News {
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
    if snapshot_needed && !take_snapshot(shared, address).await {
        return false;
    }
    let mut followed = shared.followed.write().expect("no holder panics");
    let folded = fold_entries(&mut followed, &entries);
    if let Some(age) = fresh_age_ms
        && followed.view.offset() >= offset
    {
        let as_of = asked.checked_sub(Duration::from_millis(age));
        followed.fresh_as_of = followed.fresh_as_of.max(as_of);
    }
    followed.log_unreachable = log_unreachable;
    followed.loads = loads
        .into_iter()
        .map(|status| (status.pool, status.load))
        .collect();
    drop(followed);
    if folded {
        shared.folded.send_modify(|count| *count += 1);
    }
    fresh_age_ms.is_some_and(|age| age < PREFERRED_AGE_MS)
}

fn fold_entries(followed: &mut FollowedView, entries: &[LogEntry]) -> bool {
    let before = followed.view.offset();
    for entry in entries {
        if entry.offset == followed.view.offset().next() {
            followed.view.fold(entry);
        }
    }
    followed.view.offset() > before
}

async fn take_snapshot(shared: &EntryShared, address: &str) -> bool {
    let client = shared.client(address);
    let Ok(PeerReply::Snapshot { state }) = client.call(&PeerCall::Snapshot, SNAPSHOT_WITHIN).await
    else {
        return false;
    };
    let view = match checkpoint::decode(Offset(0), &state) {
        Ok(view) => view,
        Err(error) => {
            tracing::warn!(%error, address, "the steward's view cannot be read");
            return false;
        }
    };
    let mut followed = shared.followed.write().expect("no holder panics");
    if view.offset() > followed.view.offset() {
        followed.view = view;
    }
    true
}

/// Tells stewards that became owners which reservations this entry holds.
fn tell_new_owners(shared: &Arc<EntryShared>) {
    let now = shared.now();
    let notices =
        shared.read(|followed| shared.with_held(|held| held.take_notices(&followed.view, now)));
    for (address, notice) in notices {
        let client = shared.client(&address);
        actix_rt::spawn(async move {
            let call = PeerCall::Adopt {
                targets: notice.targets,
                teams: notice.teams,
            };
            for _ in 0..ADOPT_TRIES {
                if let Ok(PeerReply::Done) = client.call(&call, CALL_WITHIN).await {
                    return;
                }
                sleep(PAUSE_BETWEEN_ADOPTS).await;
            }
            tracing::warn!(
                address = client.address(),
                "new owner not told of reservations"
            );
        });
    }
}

fn update_metrics(shared: &EntryShared) {
    let now = shared.now();
    shared.read(|followed| {
        let age = followed
            .fresh_as_of
            .map(|as_of| now.saturating_duration_since(as_of).as_millis() as i64);
        shared.metrics.view_age_ms.set(age.unwrap_or(-1));
        let offset = followed.view.offset().0 as i64;
        shared.metrics.view_offset.set(offset);
    });
}
