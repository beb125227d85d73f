//! Follows the store's topics. In a large fleet only a few VMs read the store; the others fetch
//! the records from the hubs of their failure domains.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::rate_limits::forget_gone_targets;
use super::state::NodeState;
use crate::fleet::feed::{KeyedItem, LogPosition, TopicSnapshot};
use crate::ids::TargetName;
use crate::platform::records::{MEMBER_TOPIC, OPERATOR_TOPIC, TARGET_TOPIC};
use crate::platform::store::{StoreClient, StoreError};
use crate::policy::read_pacing::ReadPacing;

const TARGET_BATCH_DELAY: Duration = Duration::from_millis(350); // batches records; a change must take effect within 2 s
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(1_000); // by then a VM that starts knows whether it is a hub
const LONE_READ_INTERVAL: Duration = Duration::from_millis(2_000);
const HUB_READ_INTERVAL: Duration = Duration::from_secs(20);

/// A fleet of at most this many VMs reads the store on each of them.
const SMALL_FLEET_VMS: usize = 8;
/// How long a VM waits before its first read, so that one that joins a running fleet gets its
/// peers' records first. It is short because all VMs wait for it when the whole fleet starts, and
/// then no peer has any records.
const FIRST_READ_DELAY: Duration = Duration::from_millis(80);
/// Added to [`FIRST_READ_DELAY`] for each VM that may exist, times a random share: so that a large
/// fleet that starts at once finds its hubs before all of its VMs read the store.
const FIRST_READ_DELAY_PER_VM: Duration = Duration::from_millis(2);
/// Time after its start from which a VM without a configuration reads the store itself.
const UNFED_READ_DELAY: Duration = Duration::from_millis(1_500);
/// Consecutive failed reads from which on another VM reads in this one's place.
const FAILURES_UNTIL_REPLACED: u32 = 2;

#[derive(Debug, Clone, Copy, PartialEq)]
enum FeedKind {
    Operator,
    Target,
}

impl FeedKind {
    fn topic(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_TOPIC,
            Self::Target => TARGET_TOPIC,
        }
    }
}

/// Keeps the catalog up to date with the operators' topic for as long as the process runs.
pub async fn follow_operators(node: Rc<NodeState>, store: StoreClient) {
    follow_topic(node, store, FeedKind::Operator).await;
}

/// Keeps the catalog up to date with the targets' topic for as long as the process runs.
pub async fn follow_targets(node: Rc<NodeState>, store: StoreClient) {
    follow_topic(node, store, FeedKind::Target).await;
}

async fn follow_topic(node: Rc<NodeState>, store: StoreClient, feed: FeedKind) {
    let mut read_up_to: Option<LogPosition> = None;
    let mut pacing = ReadPacing::new(node.settings.bounds.stable_after);
    let delay_share = rand::random_range(0.0..1.0);
    loop {
        if !reads_store(&node, delay_share) {
            read_up_to = None;
            if node.feed_reads.borrow_mut().remove(feed.topic()).is_some() {
                node.metrics.remove_feed_metrics(feed.topic());
            }
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let started_at = node.now();
        match read_once(&node, &store, feed, &pacing, read_up_to).await {
            Ok(end) => {
                record_store_success(&node, feed, pacing.failures());
                pacing.record_success();
                read_up_to = Some(end);
                if feed == FeedKind::Target {
                    sleep(TARGET_BATCH_DELAY).await;
                }
            }
            Err(StoreError::Expired) => {
                tracing::info!(
                    topic = feed.topic(),
                    "records expired: reading the newest of each key"
                );
                // A store that refuses its own snapshot's end is not asked without a pause.
                if read_up_to.is_none() {
                    sleep(pacing.record_failure(rand::random_range(0.0..1.0))).await;
                }
                read_up_to = None;
            }
            Err(error) => {
                let elapsed = node.now().saturating_duration_since(started_at);
                record_store_failure(&node, feed, &error, elapsed, pacing.failures());
                sleep(pacing.record_failure(rand::random_range(0.0..1.0))).await;
            }
        }
    }
}

/// Whether this VM is one of those that read the store. One whose reads fail goes on trying, so
/// that the fleet learns when they work again.
fn reads_store(node: &NodeState, delay_share: f64) -> bool {
    let now = node.now();
    let running_for = node.running_for(now);
    let members = node.members.borrow();
    let known_count = members.known_count();
    let large_fleet_delay = FIRST_READ_DELAY_PER_VM * known_count as u32;
    if running_for < FIRST_READ_DELAY + large_fleet_delay.mul_f64(delay_share) {
        return false;
    }
    let is_unfed = node.catalog.borrow().table().is_none() && running_for >= UNFED_READ_DELAY;
    known_count <= SMALL_FLEET_VMS
        || is_unfed
        || !node.store_reachable.get()
        || members.is_hub(now) && members.reads_store(now)
}

async fn read_once(
    node: &Rc<NodeState>,
    store: &StoreClient,
    feed: FeedKind,
    pacing: &ReadPacing,
    read_up_to: Option<LogPosition>,
) -> Result<LogPosition, StoreError> {
    let topic = feed.topic();
    let Some(after) = read_up_to else {
        let snapshot = store.read_newest(topic, known_end(node, feed).era).await?;
        let end = snapshot.end;
        apply_snapshot(node, feed, snapshot);
        return Ok(end);
    };
    let tail = store
        .read_after(topic, after, pacing.next_wait(), pacing.answer_time())
        .await?;
    apply_items(node, feed, tail.items);
    Ok(tail.end)
}

fn known_end(node: &NodeState, feed: FeedKind) -> LogPosition {
    let catalog = node.catalog.borrow();
    match feed {
        FeedKind::Operator => catalog.operator_feed.end(),
        FeedKind::Target => catalog.target_feed.end(),
    }
}

fn apply_snapshot(node: &Rc<NodeState>, feed: FeedKind, mut snapshot: TopicSnapshot) {
    let known = known_end(node, feed);
    let era = snapshot.end.era;
    node.metrics.set_store_era(feed.topic(), era);
    if era > known.era && known != LogPosition::default() {
        let (topic, before) = (feed.topic(), known.era);
        tracing::warn!(
            topic,
            before,
            era,
            "store came back from an older copy: known records stay in force until they are written again"
        );
        node.store_outage.borrow_mut().record_restart(node.now());
        if feed == FeedKind::Target {
            // Peers may know newer ones, and are sent the first record that each target writes.
            for item in &mut snapshot.items {
                item.carried_over = true;
            }
        }
    }
    let items = {
        let catalog = node.catalog.borrow();
        match feed {
            FeedKind::Operator => catalog.reconcile_operators(snapshot),
            FeedKind::Target => catalog.reconcile_targets(snapshot),
        }
    };
    apply_items(node, feed, items);
}

fn apply_items(node: &Rc<NodeState>, feed: FeedKind, mut items: Vec<KeyedItem>) {
    let now = node.now();
    let retain_until = node.store_outage.borrow().retain_until(now);
    for item in &mut items {
        item.lapsed = item.value.is_none() && retain_until.is_some();
    }
    let changes = {
        let mut catalog = node.catalog.borrow_mut();
        match feed {
            FeedKind::Operator => catalog.apply_operator_items(&items),
            FeedKind::Target => catalog.apply_target_items(&items, now, retain_until),
        }
    };
    node.handle_catalog_changes(&changes, "store");
    if feed == FeedKind::Operator && !changes.is_empty() {
        // Hubs of other domains learn of it now, not at the next interval.
        node.heartbeat_now.notify_one();
    }
}

fn record_store_success(node: &NodeState, feed: FeedKind, failures: u32) {
    node.store_reachable.set(true);
    let now = node.now();
    let last_read_at = node.feed_reads.borrow_mut().insert(feed.topic(), now);
    if failures == 0 && !node.store_outage.borrow().is_failing() {
        return;
    }
    node.store_outage.borrow_mut().record_success(now);
    let unread_for = last_read_at.map(|at| now.saturating_duration_since(at));
    tracing::info!(
        topic = feed.topic(),
        failures,
        unread_ms = unread_for.map(|unread| unread.as_millis() as u64),
        "store answers again"
    );
}

fn record_store_failure(
    node: &NodeState,
    feed: FeedKind,
    error: &StoreError,
    elapsed: Duration,
    failures: u32,
) {
    let (topic, elapsed_ms) = (feed.topic(), elapsed.as_millis() as u64);
    node.metrics.count_failure("store");
    if failures == 0 {
        tracing::warn!(topic, elapsed_ms, %error, "store lost: last known records stay in force");
    } else {
        tracing::info!(topic, elapsed_ms, failures, %error, "store read failed again");
    }
    node.store_outage.borrow_mut().record_failure();
    if failures + 1 >= FAILURES_UNTIL_REPLACED {
        node.store_reachable.set(false);
    }
}

/// Removes lapsed targets, records that the store lost and connections past their idle limit, and
/// updates the dispatchers and the age of the feeds, every 100 ms.
pub async fn maintenance_loop(node: Rc<NodeState>) {
    loop {
        sleep(Duration::from_millis(100)).await;
        let now = node.now();
        for (topic, read_at) in node.feed_reads.borrow().iter() {
            let age = now.saturating_duration_since(*read_at);
            node.metrics.set_feed_age(topic, age.as_secs_f64());
        }
        let changes = {
            let mut catalog = node.catalog.borrow_mut();
            let mut changes = catalog.remove_lapsed(now);
            changes.extend(catalog.restore_lost_domains(now));
            changes
        };
        node.handle_catalog_changes(&changes, "lapse");
        node.connection_pool.borrow_mut().prune(now);
        forget_gone_targets(&node);
        forget_warm_targets(&node, now);
        node.withdraw_reports();
        node.refresh_dispatchers();
    }
}

/// Keeps addresses in the store at which VMs that know no other find the fleet: a hub writes its
/// own, again in each era of the store. Hubs read the others now and then, so that parts of the fleet
/// that lost sight of each other meet again; another VM reads them only while it knows no other.
pub async fn member_loop(node: Rc<NodeState>, store: StoreClient) {
    let own_address = node.settings.addresses.peers.to_string();
    let key = node.settings.vm.to_string();
    let mut written_in_era: Option<u64> = None;
    let mut read_at: Option<Instant> = None;
    loop {
        sleep(MEMBER_CHECK_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
        let now = node.now();
        let (is_hub, knows_no_peer) = {
            let members = node.members.borrow();
            (members.is_hub(now), members.knows_no_peer(now))
        };
        let era = node.catalog.borrow().store_era();
        if is_hub && written_in_era != Some(era) {
            match store
                .append_item(MEMBER_TOPIC, &key, own_address.as_bytes())
                .await
            {
                Ok(()) => written_in_era = Some(era),
                Err(error) => {
                    tracing::info!(%error, "own address not recorded yet");
                    node.metrics.count_failure("store");
                }
            }
        }
        let read_interval = if knows_no_peer {
            LONE_READ_INTERVAL
        } else {
            HUB_READ_INTERVAL
        };
        let read_due = read_at.is_none_or(|at| now.saturating_duration_since(at) >= read_interval);
        if is_hub && read_due {
            match store.read_newest(MEMBER_TOPIC, 0).await {
                Ok(snapshot) => {
                    read_at = Some(now);
                    add_addresses(&node, &snapshot.items);
                }
                Err(error) => {
                    tracing::info!(%error, "other VMs' addresses not read yet");
                    node.metrics.count_failure("store");
                }
            }
        }
    }
}

fn forget_warm_targets(node: &NodeState, now: Instant) {
    let catalog = node.catalog.borrow();
    let is_cold = |name: &TargetName| {
        let target = catalog.target(name);
        target.is_some_and(|target| target.cold_until > now)
    };
    node.cold_pacing.borrow_mut().retain(is_cold);
}

fn add_addresses(node: &NodeState, items: &[KeyedItem]) {
    let mut members = node.members.borrow_mut();
    for item in items {
        let address: Option<SocketAddr> = item
            .value
            .as_deref()
            .and_then(|value| std::str::from_utf8(value).ok())
            .and_then(|text| text.parse().ok());
        match address {
            Some(address) => members.add_address(address),
            None => tracing::warn!(key = item.key, "address of a VM is unreadable"),
        }
    }
}
