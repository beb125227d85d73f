//! Heartbeats between nodes, and what is relayed with them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{LocalBoxFuture, join_all};
use rand::seq::IndexedRandom;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::feeds::LAPSE_GRACE;
use super::messages::{BeatMessage, BeatReply, FeedItems, FeedPull, NodeCall, NodeReply};
use super::placing::{apply_event, decide, place_here};
use super::state::NodeState;
use crate::fleet::members::MemberRecord;
use crate::wire::client::CallError;
use crate::wire::server::{self, CallHandler};

const BEAT_WITHIN: Duration = Duration::from_millis(400); // a throttled VM pauses for up to 75 ms
const PULL_WITHIN: Duration = Duration::from_millis(1_000); // a configuration of 1,600 routes takes 40 ms on the smallest link
const EXPLORE_SHARE: f64 = 0.25; // of beats also try a seed or a VM not heard of lately

/// Answers peers for as long as the listener works.
pub async fn serve(node: Rc<NodeState>, listener: TcpListener) {
    let handler: CallHandler<NodeCall, NodeReply> = Rc::new(move |call| answer(node.clone(), call));
    server::serve(listener, handler).await;
}

fn answer(node: Rc<NodeState>, call: NodeCall) -> LocalBoxFuture<'static, NodeReply> {
    Box::pin(async move {
        match call {
            NodeCall::Beat(beat) => NodeReply::Beat(answer_beat(&node, beat)),
            NodeCall::Place(ask) => NodeReply::Placed(place_here(&node, ask).await),
            NodeCall::Events(events) => {
                for event in &events {
                    apply_event(&node, event);
                }
                decide(&node);
                NodeReply::Noted
            }
            NodeCall::Pull(pull) => NodeReply::Items(answer_pull(&node, &pull)),
        }
    })
}

fn answer_beat(node: &Rc<NodeState>, beat: BeatMessage) -> BeatReply {
    let now = node.now();
    pull_if_behind(node, &beat.from, beat.operator_end, beat.target_end);
    for dispatcher in node.dispatchers.borrow_mut().values_mut() {
        dispatcher.replace_jobs_of(&beat.from.vm, &beat.jobs, now);
    }
    let mut members = node.members.borrow_mut();
    members.hear(beat.from, now);
    let member = members.own().clone();
    let roster = members.served_roster(now);
    let roster = (roster.version != beat.roster_seen).then(|| roster.clone());
    let catalog = node.catalog.borrow();
    BeatReply {
        member,
        roster,
        operator_end: catalog.operator_feed.end(),
        target_end: catalog.target_feed.end(),
    }
}

fn answer_pull(node: &NodeState, pull: &FeedPull) -> FeedItems {
    let catalog = node.catalog.borrow();
    FeedItems {
        operator_items: catalog.operator_feed.items_from(pull.operator_from),
        target_items: catalog.target_feed.items_from(pull.target_from),
    }
}

/// Fetches records from a node that has newer ones, one fetch at a time. Whoever answers
/// first is mostly near, so records cross between domains once for each coordinator.
fn pull_if_behind(node: &Rc<NodeState>, from: &MemberRecord, operator_end: u64, target_end: u64) {
    let behind = {
        let catalog = node.catalog.borrow();
        operator_end > catalog.operator_feed.end() || target_end > catalog.target_feed.end()
    };
    if !behind || node.pulling.replace(true) {
        return;
    }
    let (node, from) = (node.clone(), from.clone());
    actix_rt::spawn(async move {
        if let Err(error) = pull_items(&node, &from).await {
            tracing::info!(peer = %from.vm, %error, "newer records not fetched");
            node.metrics.count_failure("peer_records");
        }
        node.pulling.set(false);
    });
}

async fn pull_items(node: &Rc<NodeState>, from: &MemberRecord) -> Result<(), CallError> {
    let pull = {
        let catalog = node.catalog.borrow();
        FeedPull {
            operator_from: catalog.operator_feed.end(),
            target_from: catalog.target_feed.end(),
        }
    };
    let peer = node.peer(from.peers);
    let exchange = async {
        let pending = peer.start(&NodeCall::Pull(pull), BEAT_WITHIN).await?;
        pending.read::<NodeReply>().await
    };
    let reply = timeout(PULL_WITHIN, exchange)
        .await
        .map_err(|_| CallError::Timeout(PULL_WITHIN))??;
    let NodeReply::Items(items) = reply else {
        return Err(CallError::Status(http::StatusCode::BAD_GATEWAY));
    };
    let now = node.now();
    let changes = {
        let lapse_until = node.lapse_until(now, LAPSE_GRACE);
        let mut catalog = node.catalog.borrow_mut();
        let mut changes = catalog.take_operator_items(&items.operator_items);
        changes.extend(catalog.take_target_items(&items.target_items, now, lapse_until));
        changes
    };
    node.note_changes(&changes, "peer");
    Ok(())
}

/// Sends heartbeats to the coordinators for as long as the process runs.
pub async fn beat_loop(node: Rc<NodeState>) {
    loop {
        let now = node.now();
        let targets = beat_targets(&node);
        let beats = targets.iter().map(|target| beat_target(&node, target));
        join_all(beats).await;
        let (interval, live) = {
            let members = node.members.borrow();
            (members.beat_interval(), members.live(now).len())
        };
        let before = node.metrics.members_live.set(live as i64);
        if before != live as i64 {
            tracing::info!(before, live, "VMs taken as alive changed");
        }
        let jitter = rand::random_range(0.8..1.2);
        tokio::select! {
            () = sleep(interval.mul_f64(jitter)) => {}
            () = node.beat_now.notified() => {}
        }
    }
}

enum BeatTarget {
    Member(MemberRecord),
    Address(SocketAddr),
}

fn beat_targets(node: &Rc<NodeState>) -> Vec<BeatTarget> {
    let now = node.now();
    let members = node.members.borrow();
    let own = node.settings.addresses.peers;
    let coordinators = members.coordinators(now);
    let mut targets: Vec<BeatTarget> = coordinators
        .into_iter()
        .filter(|member| member.vm != node.settings.vm)
        .map(BeatTarget::Member)
        .collect();
    let live: BTreeSet<SocketAddr> = members.live(now).iter().map(|m| m.peers).collect();
    let strangers: Vec<SocketAddr> = members
        .known_addresses(&node.settings.seeds)
        .into_iter()
        .filter(|address| *address != own && !live.contains(address))
        .collect();
    if live.len() == 1 {
        targets.extend(strangers.into_iter().map(BeatTarget::Address));
    } else if rand::random_bool(EXPLORE_SHARE)
        && let Some(address) = strangers.choose(&mut rand::rng())
    {
        targets.push(BeatTarget::Address(*address));
    }
    targets
}

async fn beat_target(node: &Rc<NodeState>, target: &BeatTarget) {
    match target {
        BeatTarget::Member(member) => {
            if let Err(error) = beat_member(node, member).await {
                tracing::info!(peer = %member.vm, %error, "coordinator did not answer");
                node.metrics.count_failure("coordinator");
                node.members.borrow_mut().suspect(&member.vm, node.now());
            }
        }
        BeatTarget::Address(address) => {
            if let Err(error) = beat_address(node, *address, 0).await {
                tracing::debug!(%address, %error, "no VM there");
            }
        }
    }
}

async fn beat_member(node: &Rc<NodeState>, member: &MemberRecord) -> Result<(), CallError> {
    let seen = node
        .members
        .borrow()
        .roster_seen(&member.vm, member.incarnation);
    beat_address(node, member.peers, seen).await
}

async fn beat_address(
    node: &Rc<NodeState>,
    address: SocketAddr,
    roster_seen: u64,
) -> Result<(), CallError> {
    let beat = beat_message(node, roster_seen);
    let peer = node.peer(address);
    let exchange = async {
        let pending = peer.start(&NodeCall::Beat(beat), BEAT_WITHIN).await?;
        pending.read::<NodeReply>().await
    };
    let reply = timeout(BEAT_WITHIN, exchange)
        .await
        .map_err(|_| CallError::Timeout(BEAT_WITHIN))??;
    let NodeReply::Beat(reply) = reply else {
        return Err(CallError::Status(http::StatusCode::BAD_GATEWAY));
    };
    take_reply(node, reply);
    Ok(())
}

fn beat_message(node: &Rc<NodeState>, roster_seen: u64) -> BeatMessage {
    let now = node.now();
    let catalog = node.catalog.borrow();
    let jobs = node
        .dispatchers
        .borrow()
        .values()
        .flat_map(|dispatcher| dispatcher.reports_of(&node.settings.vm, now))
        .collect();
    BeatMessage {
        from: node.members.borrow().own().clone(),
        roster_seen,
        operator_end: catalog.operator_feed.end(),
        target_end: catalog.target_feed.end(),
        jobs,
    }
}

fn take_reply(node: &Rc<NodeState>, reply: BeatReply) {
    let now = node.now();
    let member = reply.member;
    {
        let mut members = node.members.borrow_mut();
        members.take_roster(&member, reply.roster, now);
        members.hear(member.clone(), now);
    }
    pull_if_behind(node, &member, reply.operator_end, reply.target_end);
}
