//! Calls to other nodes, counted by kind and by whether they leave the failure domain.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use super::messages::{NodeCall, NodeReply};
use super::metrics::PeerTrafficLabels;
use super::state::NodeState;
use crate::fleet::members::MemberRecord;
use crate::wire::client::{PendingReply, Result};

const TELL_TIMEOUT: Duration = Duration::from_millis(300);
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A call that the peer accepted, and whose reply has not arrived. Dropping it cancels the call.
pub struct PendingNodeReply {
    node: Rc<NodeState>,
    labels: PeerTrafficLabels,
    pending: PendingReply,
}

impl PendingNodeReply {
    /// Waits for the reply, without a time limit, and counts its bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the reply cannot be decoded.
    pub async fn read(self) -> Result<NodeReply> {
        let (reply, received_bytes) = self.pending.read_sized().await?;
        self.node
            .metrics
            .count_peer_reply(&self.labels, received_bytes);
        Ok(reply)
    }
}

/// Sends a call to the node at `address` and waits until the node accepts it.
///
/// # Errors
///
/// Fails when the connection fails, or the call is not accepted within `accept_timeout`.
pub async fn call_node(
    node: &Rc<NodeState>,
    address: SocketAddr,
    call: &NodeCall,
    accept_timeout: Duration,
) -> Result<PendingNodeReply> {
    let labels = PeerTrafficLabels {
        call: call.kind(),
        reach: reach_of(node, address),
    };
    let pending = node.peer_client(address).send(call, accept_timeout).await?;
    node.metrics.count_peer_call(&labels, pending.sent_bytes());
    Ok(PendingNodeReply {
        node: node.clone(),
        labels,
        pending,
    })
}

/// Sends a call to all other live VMs, as [`tell`] does. A VM that misses it learns the same with a
/// heartbeat.
pub fn tell_all(node: &Rc<NodeState>, call: NodeCall) {
    let others: Vec<MemberRecord> = {
        let members = node.members.borrow();
        let live = members.live(node.now());
        live.into_iter()
            .filter(|member| member.vm != node.settings.vm)
            .cloned()
            .collect()
    };
    tell(node, others, call);
}

/// Sends a call to other VMs in the background, without regard to their replies.
pub fn tell(node: &Rc<NodeState>, others: Vec<MemberRecord>, call: NodeCall) {
    let node = node.clone();
    actix_rt::spawn(async move {
        let calls = others.iter().map(|other| async {
            let sent = call_node(&node, other.peer_address, &call, TELL_TIMEOUT).await;
            if let Err(error) = sent {
                tracing::info!(peer = %other.vm, call = call.kind(), %error, "announcement not taken");
            }
        });
        join_all(calls).await;
    });
}

fn reach_of(node: &NodeState, address: SocketAddr) -> &'static str {
    let members = node.members.borrow();
    match members.domain_at(address) {
        None => "unknown",
        Some(domain) if *domain == members.own().domain => "same_domain",
        Some(_) => "other_domain",
    }
}

/// Logs the totals of calls to other nodes at an interval.
pub async fn log_traffic(node: Rc<NodeState>) {
    loop {
        sleep(TRAFFIC_LOG_INTERVAL).await;
        tracing::info!(
            totals = node.metrics.peer_traffic_summary(),
            "calls to other nodes"
        );
    }
}
