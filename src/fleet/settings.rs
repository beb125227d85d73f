//! Settings of `notch-node` in the project's own terms.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DomainName, VmName};

/// Where a node listens.
#[derive(Debug, Clone)]
pub struct NodeAddresses {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// The platform's readiness checks.
    pub readiness: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
    /// Callers that ask which addresses to use.
    pub directory: SocketAddr,
}

/// Bounds that the deployment sets.
#[derive(Debug, Clone)]
pub struct NodeBounds {
    /// Time between the signal to stop and the kill.
    pub stop_grace: Duration,
    /// Retries allowed for each request, over the retry window.
    pub retry_ratio: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in each window besides the ratio, over all VMs.
    pub retry_slack: f64,
    /// Longest reservation of memory.
    pub reservation_max: Duration,
    /// Longest time for which callers may keep the directory's answer.
    pub directory_ttl_max: Duration,
}

/// Everything that a node is told at its start.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The VM's name.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it listens.
    pub addresses: NodeAddresses,
    /// Peers to try first.
    pub seeds: Vec<SocketAddr>,
    /// IP and port of the platform's store.
    pub store: String,
    /// Share of a processor core.
    pub cpu_share: f64,
    /// Bounds.
    pub bounds: NodeBounds,
}
