//! Calls between nodes: heartbeats to the coordinators, the records fetched after them, and the
//! replies to peers' calls.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{LocalBoxFuture, join_all};
use rand::seq::IndexedRandom;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::feeds::REMOVAL_GRACE;
use super::messages::{
    HeartbeatMessage, HeartbeatReply, NodeCall, NodeReply, RecordsReply, RecordsRequest,
};
use super::placement::{apply_update, decide_waiting_jobs, place_locally};
use super::state::NodeState;
use crate::fleet::members::MemberRecord;
use crate::wire::client::CallError;
use crate::wire::server::{self, CallHandler};

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400); // a throttled VM pauses for up to 75 ms; also bounds the start of a fetch
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000); // a configuration of 1,600 routes takes 40 ms on the smallest link
const DISCOVERY_PROBABILITY: f64 = 0.25; // that a heartbeat round also tries a seed or an address without a live VM

/// Answers peers' calls for as long as the listener works.
pub async fn serve(node: Rc<NodeState>, listener: TcpListener) {
    let handler: CallHandler<NodeCall, NodeReply> =
        Rc::new(move |call| answer_call(node.clone(), call));
    server::serve(listener, handler).await;
}

fn answer_call(node: Rc<NodeState>, call: NodeCall) -> LocalBoxFuture<'static, NodeReply> {
    Box::pin(async move {
        match call {
            NodeCall::Heartbeat(message) => NodeReply::Heartbeat(answer_heartbeat(&node, message)),
            NodeCall::Place(request) => NodeReply::Placed(place_locally(&node, request).await),
            NodeCall::Updates(updates) => {
                for update in &updates {
                    apply_update(&node, update);
                }
                decide_waiting_jobs(&node);
                NodeReply::Acknowledged
            }
            NodeCall::FetchRecords(request) => NodeReply::Records(answer_fetch(&node, &request)),
        }
    })
}

fn answer_heartbeat(node: &Rc<NodeState>, heartbeat: HeartbeatMessage) -> HeartbeatReply {
    let now = node.now();
    fetch_if_behind(
        node,
        &heartbeat.sender,
        heartbeat.operator_end_offset,
        heartbeat.target_end_offset,
    );
    for dispatcher in node.dispatchers.borrow_mut().values_mut() {
        dispatcher.reconcile_jobs_of(&heartbeat.sender.vm, &heartbeat.jobs, now);
    }
    let mut members = node.members.borrow_mut();
    members.record_heartbeat(heartbeat.sender, now);
    let receiver = members.own().clone();
    let roster = members.served_roster(now);
    let roster = (roster.version != heartbeat.known_roster_version).then(|| roster.clone());
    let catalog = node.catalog.borrow();
    HeartbeatReply {
        receiver,
        roster,
        operator_end_offset: catalog.operator_feed.end(),
        target_end_offset: catalog.target_feed.end(),
    }
}

fn answer_fetch(node: &NodeState, request: &RecordsRequest) -> RecordsReply {
    let catalog = node.catalog.borrow();
    RecordsReply {
        operator_items: catalog
            .operator_feed
            .items_from(request.operator_from_offset),
        target_items: catalog.target_feed.items_from(request.target_from_offset),
    }
}

/// Fetches records from a node that has newer ones, unless a fetch is under way.
///
/// The first node whose heartbeat or reply shows newer records is mostly a near one, so they cross
/// between failure domains only once for each coordinator.
fn fetch_if_behind(
    node: &Rc<NodeState>,
    from: &MemberRecord,
    operator_end_offset: u64,
    target_end_offset: u64,
) {
    let behind = {
        let catalog = node.catalog.borrow();
        operator_end_offset > catalog.operator_feed.end()
            || target_end_offset > catalog.target_feed.end()
    };
    if !behind || node.fetching_records.replace(true) {
        return;
    }
    let (node, from) = (node.clone(), from.clone());
    actix_rt::spawn(async move {
        if let Err(error) = fetch_records(&node, &from).await {
            tracing::info!(peer = %from.vm, %error, "newer records not fetched");
            node.metrics.count_failure("peer_records");
        }
        node.fetching_records.set(false);
    });
}

async fn fetch_records(node: &Rc<NodeState>, from: &MemberRecord) -> Result<(), CallError> {
    let request = {
        let catalog = node.catalog.borrow();
        RecordsRequest {
            operator_from_offset: catalog.operator_feed.end(),
            target_from_offset: catalog.target_feed.end(),
        }
    };
    let peer = node.peer_client(from.peer_address);
    let exchange = async {
        let pending = peer
            .send(&NodeCall::FetchRecords(request), HEARTBEAT_TIMEOUT)
            .await?;
        pending.read::<NodeReply>().await
    };
    let reply = timeout(FETCH_TIMEOUT, exchange)
        .await
        .map_err(|_| CallError::Timeout(FETCH_TIMEOUT))??;
    let NodeReply::Records(items) = reply else {
        return Err(CallError::Status(http::StatusCode::BAD_GATEWAY));
    };
    let now = node.now();
    let changes = {
        let keep_removed_until = node.keep_removed_until(now, REMOVAL_GRACE);
        let mut catalog = node.catalog.borrow_mut();
        let mut changes = catalog.apply_operator_items(&items.operator_items);
        changes.extend(catalog.apply_target_items(&items.target_items, now, keep_removed_until));
        changes
    };
    node.handle_catalog_changes(&changes, "peer");
    Ok(())
}

/// Sends heartbeats to the coordinators for as long as the process runs. Addresses without a live
/// VM are also tried: all of them while no other VM is live, else one in some of the rounds.
pub async fn heartbeat_loop(node: Rc<NodeState>) {
    loop {
        let now = node.now();
        let recipients = heartbeat_recipients(&node);
        let heartbeats = recipients
            .iter()
            .map(|recipient| send_heartbeat(&node, recipient));
        join_all(heartbeats).await;
        let (interval, live) = {
            let members = node.members.borrow();
            (members.heartbeat_interval(), members.live(now).len())
        };
        let before = node.metrics.members_live.set(live as i64);
        if before != live as i64 {
            tracing::info!(before, live, "VMs taken as alive changed");
        }
        let jitter = rand::random_range(0.8..1.2);
        tokio::select! {
            () = sleep(interval.mul_f64(jitter)) => {}
            () = node.heartbeat_now.notified() => {}
        }
    }
}

enum HeartbeatRecipient {
    Member(MemberRecord),
    Address(SocketAddr),
}

fn heartbeat_recipients(node: &Rc<NodeState>) -> Vec<HeartbeatRecipient> {
    let now = node.now();
    let members = node.members.borrow();
    let own_address = node.settings.addresses.peers;
    let coordinators = members.coordinators(now);
    let mut recipients: Vec<HeartbeatRecipient> = coordinators
        .into_iter()
        .filter(|member| member.vm != node.settings.vm)
        .map(HeartbeatRecipient::Member)
        .collect();
    let live: BTreeSet<SocketAddr> = members.live(now).iter().map(|m| m.peer_address).collect();
    let unseen_addresses: Vec<SocketAddr> = members
        .known_addresses(&node.settings.seeds)
        .into_iter()
        .filter(|address| *address != own_address && !live.contains(address))
        .collect();
    if live.len() == 1 {
        recipients.extend(
            unseen_addresses
                .into_iter()
                .map(HeartbeatRecipient::Address),
        );
    } else if rand::random_bool(DISCOVERY_PROBABILITY)
        && let Some(address) = unseen_addresses.choose(&mut rand::rng())
    {
        recipients.push(HeartbeatRecipient::Address(*address));
    }
    recipients
}

async fn send_heartbeat(node: &Rc<NodeState>, recipient: &HeartbeatRecipient) {
    match recipient {
        HeartbeatRecipient::Member(member) => {
            if let Err(error) = send_heartbeat_to_member(node, member).await {
                tracing::info!(peer = %member.vm, %error, "coordinator did not answer");
                node.metrics.count_failure("coordinator");
                node.members
                    .borrow_mut()
                    .mark_suspect(&member.vm, node.now());
            }
        }
        HeartbeatRecipient::Address(address) => {
            if let Err(error) = exchange_heartbeat(node, *address, 0).await {
                tracing::debug!(%address, %error, "no VM there");
            }
        }
    }
}

async fn send_heartbeat_to_member(
    node: &Rc<NodeState>,
    member: &MemberRecord,
) -> Result<(), CallError> {
    let roster_version = node
        .members
        .borrow()
        .known_roster_version(&member.vm, member.incarnation);
    exchange_heartbeat(node, member.peer_address, roster_version).await
}

async fn exchange_heartbeat(
    node: &Rc<NodeState>,
    address: SocketAddr,
    known_roster_version: u64,
) -> Result<(), CallError> {
    let heartbeat = heartbeat_message(node, known_roster_version);
    let peer = node.peer_client(address);
    let exchange = async {
        let pending = peer
            .send(&NodeCall::Heartbeat(heartbeat), HEARTBEAT_TIMEOUT)
            .await?;
        pending.read::<NodeReply>().await
    };
    let reply = timeout(HEARTBEAT_TIMEOUT, exchange)
        .await
        .map_err(|_| CallError::Timeout(HEARTBEAT_TIMEOUT))??;
    let NodeReply::Heartbeat(reply) = reply else {
        return Err(CallError::Status(http::StatusCode::BAD_GATEWAY));
    };
    apply_heartbeat_reply(node, reply);
    Ok(())
}

fn heartbeat_message(node: &Rc<NodeState>, known_roster_version: u64) -> HeartbeatMessage {
    let now = node.now();
    let catalog = node.catalog.borrow();
    let jobs = node
        .dispatchers
        .borrow()
        .values()
        .flat_map(|dispatcher| dispatcher.reports_of(&node.settings.vm, now))
        .collect();
    HeartbeatMessage {
        sender: node.members.borrow().own().clone(),
        known_roster_version,
        operator_end_offset: catalog.operator_feed.end(),
        target_end_offset: catalog.target_feed.end(),
        jobs,
    }
}

fn apply_heartbeat_reply(node: &Rc<NodeState>, reply: HeartbeatReply) {
    let now = node.now();
    let member = reply.receiver;
    {
        let mut members = node.members.borrow_mut();
        members.apply_roster(&member, reply.roster, now);
        members.record_heartbeat(member.clone(), now);
    }
    fetch_if_behind(
        node,
        &member,
        reply.operator_end_offset,
        reply.target_end_offset,
    );
}
