//! Calls between nodes: heartbeats to the hubs, the records fetched after them, and the replies
//! to peers' calls.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{LocalBoxFuture, join, join_all};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::connection_budget::LimitCause;
use super::crash_bans::{import_bans, import_evidence, known_bans};
use super::engine_paces::import_report;
use super::messages::{
    HeartbeatMessage, HeartbeatReply, NodeCall, NodeReply, RankedPlacementRequest, RecordsRequest,
    ReturningPlacementRequest,
};
use super::packed_records::{FetchedRecords, unpack_records};
use super::peer_calls::call_node;
use super::placement::{apply_update, place_locally, request_decisions};
use super::rate_limits::{
    apply_reply as apply_limits_reply, grant_permit, import_limits, limits_for_heartbeat,
    limits_for_reply,
};
use super::return_promises::import_promises;
use super::state::NodeState;
use crate::fleet::feed::LogPosition;
use crate::fleet::members::{MemberRecord, RosterScope};
use crate::fleet::settings::NodeSettings;
use crate::wire::client::CallError;
use crate::wire::server::{self, CallHandler, LimitReporter, ReachedLimit, ServerLimits};

const DESCRIPTOR_SHARE: f64 = 0.1; // for peers' connections; 410 on the smallest VMs, one for each peer
const CALLS_MEMORY_SHARE: f64 = 0.05; // for calls that are not complete
const MAX_CALL_BYTES: usize = 1 << 20; // the longest calls, those of heartbeats, have some 10 KB
/// Each request that waits for a placement is a call; a VM has fewer connections of callers.
const MAX_CALLS_PER_CONNECTION: u32 = 2_048;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400); // a throttled VM pauses for up to 75 ms; also bounds the start of a fetch
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000); // a configuration of 1,600 routes takes 40 ms on the smallest link

/// Answers peers' calls for as long as the listener works.
pub async fn serve(node: Rc<NodeState>, listener: TcpListener) {
    let handler: CallHandler<NodeCall, NodeReply> = Rc::new({
        let node = node.clone();
        move |call| answer_call(node.clone(), call)
    });
    let limits = server_limits(&node.settings);
    let report: LimitReporter = Rc::new(move |reached, peer| {
        let cause = match reached {
            ReachedLimit::Connections => LimitCause::PeerConnections,
            ReachedLimit::CallBytes => LimitCause::PeerCallBytes,
        };
        node.connections.report(cause, peer);
    });
    server::serve_limited(listener, handler, limits, report).await;
}

fn server_limits(settings: &NodeSettings) -> ServerLimits {
    ServerLimits {
        connections: ((settings.max_descriptors as f64 * DESCRIPTOR_SHARE) as usize).max(1),
        calls_per_connection: MAX_CALLS_PER_CONNECTION,
        call_bytes: MAX_CALL_BYTES,
        unfinished_bytes: (settings.memory_bytes as f64 * CALLS_MEMORY_SHARE) as usize,
    }
}

fn answer_call(node: Rc<NodeState>, call: NodeCall) -> LocalBoxFuture<'static, NodeReply> {
    Box::pin(async move {
        match call {
            NodeCall::Heartbeat(message) => {
                NodeReply::Heartbeat(Box::new(answer_heartbeat(&node, message)))
            }
            NodeCall::Place(_)
            | NodeCall::PlaceRanked(_)
            | NodeCall::PlaceReturning(_)
            | NodeCall::TakePermit(_)
                if node.paths.borrow().are_lost() || node.stop.has_begun() =>
            {
                NodeReply::NoPath
            }
            NodeCall::Place(request) => {
                let stop = node.stop.subscribe();
                tokio::select! {
                    decided = place_locally(&node, request, None, None) => {
                        NodeReply::Placed(decided.ranked.answer)
                    }
                    () = stop.begins() => NodeReply::NoPath,
                }
            }
            NodeCall::PlaceRanked(RankedPlacementRequest { request, rank }) => {
                let stop = node.stop.subscribe();
                tokio::select! {
                    decided = place_locally(&node, request, Some(rank), None) => {
                        NodeReply::PlacedRanked(decided.ranked)
                    }
                    () = stop.begins() => NodeReply::NoPath,
                }
            }
            NodeCall::PlaceReturning(ReturningPlacementRequest {
                request,
                rank,
                prompt,
            }) => {
                let stop = node.stop.subscribe();
                tokio::select! {
                    decided = place_locally(&node, request, rank, Some(prompt)) => {
                        NodeReply::PlacedReturning(decided)
                    }
                    () = stop.begins() => NodeReply::NoPath,
                }
            }
            NodeCall::SharePromises(promises) => {
                import_promises(&node, &promises);
                NodeReply::Acknowledged
            }
            NodeCall::Updates(report) => {
                for update in &report.updates {
                    apply_update(&node, update, &report.vm);
                }
                request_decisions(&node);
                NodeReply::Acknowledged
            }
            NodeCall::FetchRecords(request) => {
                let mut packer = node.record_packer.borrow_mut();
                NodeReply::Records(packer.pack(&node.catalog.borrow(), &request))
            }
            NodeCall::AnnounceBans(bans) => {
                import_bans(&node, &bans);
                NodeReply::Acknowledged
            }
            NodeCall::AnnounceLimits(limits) => {
                import_limits(&node, &limits);
                NodeReply::Acknowledged
            }
            NodeCall::ShareEvidence(evidence) => {
                import_evidence(&node, &evidence);
                NodeReply::Acknowledged
            }
            NodeCall::ClaimRun(claim) => {
                let taken = node.run_claims.borrow_mut().take(claim, node.now());
                NodeReply::Claimed(taken)
            }
            NodeCall::ReleaseRun(claim) => {
                node.run_claims.borrow_mut().release(claim);
                NodeReply::Acknowledged
            }
            NodeCall::ReportPaces(report) => {
                import_report(&node, &report);
                NodeReply::Acknowledged
            }
            NodeCall::TakePermit(request) => NodeReply::Permit(grant_permit(&node, &request)),
            NodeCall::ReportJobs(report) => {
                for dispatcher in node.dispatchers.borrow_mut().values_mut() {
                    dispatcher.reconcile_jobs_of(&report.vm, &report.jobs, node.now());
                }
                NodeReply::Acknowledged
            }
        }
    })
}

fn answer_heartbeat(node: &Rc<NodeState>, heartbeat: HeartbeatMessage) -> HeartbeatReply {
    let now = node.now();
    import_bans(node, &heartbeat.bans);
    import_limits(node, &heartbeat.rate_limits);
    fetch_if_behind(
        node,
        &heartbeat.sender,
        heartbeat.operator_end,
        heartbeat.target_end,
    );
    let running_for = node.running_for(now);
    let mut members = node.members.borrow_mut();
    let sender = heartbeat.sender;
    members.record_heartbeat(sender.clone(), now);
    members.record_fleet_age(Duration::from_millis(heartbeat.fleet_age_ms), now);
    let scope = if sender.domain == members.own().domain {
        RosterScope::Fleet
    } else {
        RosterScope::Domain
    };
    let catalog = node.catalog.borrow();
    HeartbeatReply {
        receiver: members.own().clone(),
        roster: members.serve_roster(heartbeat.known_roster_version, scope, now),
        contacts: members.contacts_for(&sender, heartbeat.knows_no_peer, now),
        fleet_age_ms: members.fleet_age(running_for, now).as_millis() as u64,
        operator_end: catalog.operator_feed.end(),
        target_end: catalog.target_feed.end(),
        bans: known_bans(node),
        limits_digest: node.rate_limits.borrow().digest(),
        rate_limits: limits_for_reply(node, heartbeat.limits_digest),
    }
}

/// Fetches records from a node that has newer ones, unless a fetch is under way or another VM of
/// this domain is to fetch them.
fn fetch_if_behind(
    node: &Rc<NodeState>,
    from: &MemberRecord,
    operator_end: LogPosition,
    target_end: LogPosition,
) {
    let behind = {
        let catalog = node.catalog.borrow();
        operator_end > catalog.operator_feed.end() || target_end > catalog.target_feed.end()
    };
    if !behind || node.fetching_records.get() {
        return;
    }
    let now = node.now();
    let behind_since = node.behind_since.get().unwrap_or(now);
    node.behind_since.set(Some(behind_since));
    let behind_for = now.saturating_duration_since(behind_since);
    if !node.members.borrow().may_fetch_from(from, behind_for, now) {
        return;
    }
    node.fetching_records.set(true);
    let (node, from) = (node.clone(), from.clone());
    actix_rt::spawn(async move {
        match fetch_records(&node, &from).await {
            Ok(()) => node.behind_since.set(None),
            Err(error) => {
                tracing::info!(peer = %from.vm, %error, "newer records not fetched");
                node.metrics.count_failure("peer_records");
            }
        }
        node.fetching_records.set(false);
    });
}

async fn fetch_records(node: &Rc<NodeState>, from: &MemberRecord) -> Result<(), CallError> {
    let request = {
        let catalog = node.catalog.borrow();
        RecordsRequest {
            operators_after: catalog.operator_feed.end(),
            targets_after: catalog.target_feed.end(),
        }
    };
    let call = NodeCall::FetchRecords(request.clone());
    let exchange = async {
        let pending = call_node(node, from.peer_address, &call, HEARTBEAT_TIMEOUT).await?;
        pending.read().await
    };
    let reply = timeout(FETCH_TIMEOUT, exchange)
        .await
        .map_err(|_| CallError::Timeout(FETCH_TIMEOUT))??;
    let NodeReply::Records(packed) = reply else {
        return Err(CallError::Status(http::StatusCode::BAD_GATEWAY));
    };
    let fetched = unpack_records(&packed)?;
    apply_fetched(node, &request, fetched);
    Ok(())
}

/// Applies the records of a peer, which are complete if they begin an era of the store.
fn apply_fetched(node: &Rc<NodeState>, request: &RecordsRequest, fetched: FetchedRecords) {
    let now = node.now();
    let (operators, mut targets) = (fetched.operators, fetched.targets);
    let starts_era = |after: LogPosition, end: LogPosition| {
        end.era > after.era && after != LogPosition::default()
    };
    if starts_era(request.operators_after, operators.end)
        || starts_era(request.targets_after, targets.end)
    {
        let before = node.catalog.borrow().store_era();
        let era = operators.end.era.max(targets.end.era);
        tracing::warn!(
            before,
            era,
            "store came back from an older copy, as a peer read"
        );
        node.store_outage.borrow_mut().record_restart(now);
    }
    let retain_until = node.retain_until_by_peer(now);
    for item in &mut targets.items {
        item.lapsed &= retain_until.is_some();
    }
    let changes = {
        let mut catalog = node.catalog.borrow_mut();
        let operator_items = if operators.end.era > catalog.operator_feed.end().era {
            catalog.reconcile_operators(operators)
        } else {
            operators.items
        };
        let target_items = if targets.end.era > catalog.target_feed.end().era {
            catalog.reconcile_targets(targets)
        } else {
            targets.items
        };
        let mut changes = catalog.apply_operator_items(&operator_items);
        changes.extend(catalog.apply_target_items(&target_items, now, retain_until));
        changes
    };
    node.handle_catalog_changes(&changes, "peer");
}

/// Sends heartbeats to the hubs for as long as the process runs. Other known addresses are also
/// tried: the seeds and some more while no other VM is live, else by a hub one in some rounds.
pub async fn heartbeat_loop(node: Rc<NodeState>) {
    loop {
        let (hubs, tried) = heartbeat_recipients(&node);
        let to_hubs = hubs.iter().map(|hub| send_heartbeat(&node, hub));
        let to_addresses = tried.iter().map(|address| try_address(&node, *address));
        join(join_all(to_hubs), join_all(to_addresses)).await;
        let now = node.now();
        let (interval, live) = {
            let members = node.members.borrow();
            let interval = members.next_heartbeat_in(&hubs, now);
            (interval, members.live(now).len())
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

/// The hubs and the other addresses to send heartbeats to in this round.
fn heartbeat_recipients(node: &NodeState) -> (Vec<MemberRecord>, BTreeSet<SocketAddr>) {
    let now = node.now();
    let members = node.members.borrow();
    let tried = members.addresses_to_try(&node.settings.seeds, &mut rand::rng(), now);
    (members.heartbeat_recipients(now), tried)
}

async fn send_heartbeat(node: &Rc<NodeState>, hub: &MemberRecord) {
    let roster_version = node
        .members
        .borrow()
        .known_roster_version(&hub.vm, hub.incarnation);
    if let Err(error) = exchange_heartbeat(node, hub.peer_address, roster_version).await {
        tracing::info!(peer = %hub.vm, %error, "hub did not answer");
        node.metrics.count_failure("hub");
        node.members.borrow_mut().mark_suspect(&hub.vm, node.now());
    }
}

async fn try_address(node: &Rc<NodeState>, address: SocketAddr) {
    if let Err(error) = exchange_heartbeat(node, address, 0).await {
        tracing::debug!(%address, %error, "no VM there");
    }
}

async fn exchange_heartbeat(
    node: &Rc<NodeState>,
    address: SocketAddr,
    known_roster_version: u64,
) -> Result<(), CallError> {
    let call = NodeCall::Heartbeat(heartbeat_message(node, known_roster_version));
    let exchange = async {
        let pending = call_node(node, address, &call, HEARTBEAT_TIMEOUT).await?;
        pending.read().await
    };
    let reply = timeout(HEARTBEAT_TIMEOUT, exchange)
        .await
        .map_err(|_| CallError::Timeout(HEARTBEAT_TIMEOUT))??;
    let NodeReply::Heartbeat(reply) = reply else {
        return Err(CallError::Status(http::StatusCode::BAD_GATEWAY));
    };
    apply_heartbeat_reply(node, *reply);
    Ok(())
}

fn heartbeat_message(node: &Rc<NodeState>, known_roster_version: u64) -> HeartbeatMessage {
    let now = node.now();
    let catalog = node.catalog.borrow();
    let members = node.members.borrow();
    HeartbeatMessage {
        sender: members.own().clone(),
        known_roster_version,
        knows_no_peer: members.knows_no_peer(now),
        fleet_age_ms: members.fleet_age(node.running_for(now), now).as_millis() as u64,
        operator_end: catalog.operator_feed.end(),
        target_end: catalog.target_feed.end(),
        bans: known_bans(node),
        limits_digest: node.rate_limits.borrow().digest(),
        rate_limits: limits_for_heartbeat(node),
    }
}

fn apply_heartbeat_reply(node: &Rc<NodeState>, reply: HeartbeatReply) {
    let now = node.now();
    import_bans(node, &reply.bans);
    apply_limits_reply(node, &reply);
    let member = reply.receiver;
    {
        let mut members = node.members.borrow_mut();
        members.apply_roster(&member, reply.roster, now);
        members.record_contacts(reply.contacts, now);
        members.record_fleet_age(Duration::from_millis(reply.fleet_age_ms), now);
        members.record_heartbeat(member.clone(), now);
    }
    fetch_if_behind(node, &member, reply.operator_end, reply.target_end);
}
