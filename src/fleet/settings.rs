//! Settings of `notch-node`, independent of the platform's file format.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::ids::{DomainName, VmName};

/// Addresses at which a node listens.
#[derive(Debug, Clone)]
pub struct NodeAddresses {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the platform's readiness checks.
    pub readiness: SocketAddr,
    /// For heartbeats and calls of other nodes.
    pub peers: SocketAddr,
    /// For callers that look up the addresses of nodes.
    pub directory: SocketAddr,
}

/// Time limits and retry budget, set by the deployment.
#[derive(Debug, Clone)]
pub struct NodeBounds {
    /// Time between the platform's stop signal and its kill.
    pub stop_grace: Duration,
    /// How long after the end of a disturbance the deployment's time limits hold again.
    pub stable_after: Duration,
    /// Retries allowed per request within the retry window.
    pub retry_ratio: f64,
    /// Sliding window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Retries allowed per window on top of the ratio, for all VMs together.
    pub retry_slack: f64,
    /// Longest time for which memory of a target may be reserved.
    pub max_reservation: Duration,
    /// Longest time for which callers may cache the directory's response.
    pub max_directory_ttl: Duration,
}

/// Settings that a node reads at its start.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name by which peers know the VM.
    pub vm: VmName,
    /// Failure domain that the VM runs in.
    pub domain: DomainName,
    /// Where it listens, by kind of client.
    pub addresses: NodeAddresses,
    /// Peers to contact first; the others are learnt from them.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store, as `IP:PORT`.
    pub store: String,
    /// CPU limit in cores.
    pub cpu_cores: f64,
    /// Memory limit of the process in bytes.
    pub memory_bytes: u64,
    /// Limit of the process's open file descriptors.
    pub max_descriptors: usize,
    /// Bounds that the deployment sets.
    pub bounds: NodeBounds,
    /// Own address from which targets are called; the operating system chooses if `None`.
    pub target_source: Option<IpAddr>,
}
