//! Real nodes beside a stand-in of a node that runs an earlier build.

#[path = "../support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::Duration;

use plantainnotch::fleet::members::{MemberRecord, RosterUpdate};
use plantainnotch::ids::{DomainName, TargetName, VmName};
use plantainnotch::node::messages::{
    HeartbeatMessage, HeartbeatReply, JobsReport, KnownBans, NodeReply, PermitRequest,
    RecordsRequest, UpdatesReport,
};
use plantainnotch::policy::dispatch::{DispatchAnswer, EnginePlacement, JobId, PlacementRequest};
use plantainnotch::policy::rate_limits::RateLimit;
use plantainnotch::policy::request_guard::RequestEvidence;
use plantainnotch::policy::run_claims::RunClaim;
use plantainnotch::wire::server::{CallHandler, serve};
use serde::Deserialize;

use support::bed::{PATHS_BY_RANK, TestBed, ranked_config, wait_until};
use support::caller::send;
use support::node::RunningNode;

const OWNER_NAME: &str = "vm-earlier";

/// The calls that builds before ranks know.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "most calls are decoded and acknowledged only")]
enum EarlierCall {
    Heartbeat(HeartbeatMessage),
    Place(PlacementRequest),
    Updates(UpdatesReport),
    FetchRecords(RecordsRequest),
    ReportJobs(JobsReport),
    AnnounceBans(KnownBans),
    AnnounceLimits(Vec<RateLimit>),
    TakePermit(PermitRequest),
    ShareEvidence(Vec<RequestEvidence>),
    ClaimRun(RunClaim),
    ReleaseRun(RunClaim),
}

/// A stand-in of an owner of placement that runs an earlier build.
struct EarlierOwner {
    address: SocketAddr,
    placed: Arc<Mutex<Vec<JobId>>>,
}

impl EarlierOwner {
    fn start(lead: &str) -> Self {
        let placed = Arc::new(Mutex::new(Vec::new()));
        let (lead, recorded) = (TargetName::new(lead), placed.clone());
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
                let listener = listener.expect("a port is free");
                let address = listener.local_addr().expect("the socket is bound");
                sender.send(address).ok();
                let handler: CallHandler<EarlierCall, NodeReply> = std::rc::Rc::new(move |call| {
                    let reply = answer(call, address, &lead, &recorded);
                    Box::pin(async move { reply })
                });
                serve(listener, handler).await;
            });
        });
        let address = receiver.recv().expect("the owner listens");
        Self { address, placed }
    }

    fn placed_count(&self) -> usize {
        let placed = self.placed.lock().unwrap_or_else(PoisonError::into_inner);
        placed.len()
    }
}

fn answer(
    call: EarlierCall,
    address: SocketAddr,
    lead: &TargetName,
    placed: &Mutex<Vec<JobId>>,
) -> NodeReply {
    match call {
        EarlierCall::Heartbeat(heartbeat) => {
            NodeReply::Heartbeat(Box::new(heartbeat_reply(&heartbeat, address)))
        }
        EarlierCall::Place(request) => {
            let mut placed = placed.lock().unwrap_or_else(PoisonError::into_inner);
            placed.push(request.job);
            NodeReply::Placed(DispatchAnswer::Placed(EnginePlacement {
                lead: lead.clone(),
                lead_reserve_tokens: 0,
                helpers: Vec::new(),
                predicted_first_event: Duration::from_millis(100),
            }))
        }
        EarlierCall::ClaimRun(_) => NodeReply::Claimed(true),
        EarlierCall::TakePermit(_) => NodeReply::NoPath,
        _ => NodeReply::Acknowledged,
    }
}

/// The reply of a large, settled VM that knows the same records as the sender.
fn heartbeat_reply(heartbeat: &HeartbeatMessage, address: SocketAddr) -> HeartbeatReply {
    let record = MemberRecord {
        vm: VmName::new(OWNER_NAME),
        domain: DomainName::new("domain-2"),
        peer_address: address,
        caller_address: address,
        incarnation: 1,
        revision: 1,
        cpu_cores: 8.0,
        ready: true,
        leaving: false,
        store_reachable: true,
        is_settled: true,
        reaches_targets: true,
    };
    HeartbeatReply {
        receiver: record.clone(),
        roster: RosterUpdate {
            base_version: 0,
            version: 1,
            changed: vec![record],
            removed: Vec::new(),
        },
        contacts: Vec::new(),
        fleet_age_ms: 60_000,
        operator_end: heartbeat.operator_end,
        target_end: heartbeat.target_end,
        bans: KnownBans::default(),
        limits_digest: heartbeat.limits_digest,
        rate_limits: Vec::new(),
    }
}

fn placed_by(log: &str, vm: &str) -> usize {
    let decided_by = format!("\"decided_by\":\"{vm}\"");
    log.lines()
        .filter(|line| line.contains("\"placed\"") && line.contains(&decided_by))
        .count()
}

/// Starts a node whose owner of placement runs an earlier build and has placed a request.
fn start_under_earlier_owner() -> (TestBed, EarlierOwner) {
    let mut bed = TestBed::start(1);
    bed.put_config_everywhere(&ranked_config(2));
    let owner = EarlierOwner::start("engine-0");
    let mut node_config = bed.node_configs[0].clone();
    node_config.seeds = vec![owner.address];
    bed.nodes.clear();
    bed.nodes.push(RunningNode::start(&node_config));
    bed.nodes[0].wait_ready();
    let callers = node_config.callers;
    wait_until(Duration::from_secs(8), "the owner places", || {
        let id = format!("early-{}", rand::random::<u32>());
        send(callers, &bed.stream(&id, PATHS_BY_RANK[0]));
        owner.placed_count() > 0
    });
    (bed, owner)
}

// Guards against a VM that passes over an owner of an earlier build, or refuses its callers' requests,
// because that owner does not know ranked requests.
#[test]
fn an_owner_of_an_earlier_build_places_requests_without_their_ranks() {
    let (bed, owner) = start_under_earlier_owner();
    let callers = bed.nodes[0].config.callers;
    let before = owner.placed_count();

    let statuses: Vec<Option<u16>> = (0..12)
        .map(|index| {
            let request = bed.stream(&format!("ranked-{index}"), PATHS_BY_RANK[index % 3]);
            send(callers, &request).map(|response| response.status)
        })
        .collect();

    assert_eq!(statuses, vec![Some(200); 12]);
    assert_eq!(owner.placed_count(), before + 12);
    let log = bed.nodes[0].log();
    assert!(placed_by(&log, OWNER_NAME) >= 12);
    assert!(!log.contains("owner of placement passed over"), "{log}");
    let told = log.matches("owner of placement does not know ranks");
    assert_eq!(told.count(), 1);
}

// Guards against a VM that queries engines in place of an owner of an earlier build, or passes over that owner
// because it takes no reports of paces.
#[test]
fn an_owner_of_an_earlier_build_serves_callers_as_before_while_its_engine_is_slow() {
    let (bed, owner) = start_under_earlier_owner();
    let before = owner.placed_count();
    let queries = bed.engines[0].report_requests.load(Ordering::Relaxed);
    bed.engines[0].set_delay(Duration::from_millis(150));

    let statuses: Vec<Option<u16>> = (0..5)
        .map(|index| {
            let request = bed.stream(&format!("slow-{index}"), PATHS_BY_RANK[0]);
            send(bed.nodes[0].config.callers, &request).map(|response| response.status)
        })
        .collect();

    assert_eq!(statuses, vec![Some(200); 5]);
    assert_eq!(owner.placed_count(), before + 5);
    let queried = bed.engines[0].report_requests.load(Ordering::Relaxed);
    assert_eq!(queried, queries);
    assert!(
        !bed.nodes[0]
            .log()
            .contains("owner of placement passed over")
    );
}
