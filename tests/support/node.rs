//! Real `notch-node` processes on loopback, killed when dropped.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Last byte of the next VM's loopback address. Addresses differ between the VMs of one
/// process and, by a byte derived from its id, between concurrent test programs.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Addresses and settings of one node.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    pub name: String,
    pub domain: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// `limits.memory_mb`; the settings do not name it if `None`.
    pub memory_mb: Option<u64>,
    /// `limits.max_fds`.
    pub max_fds: usize,
    work_dir: PathBuf,
}

/// Settings of `count` nodes; the first three are the seeds of all.
pub fn node_configs(count: usize, store: SocketAddr) -> Vec<NodeConfig> {
    let process = (std::process::id() % 250 + 1) as u8;
    let mut configs: Vec<NodeConfig> = (0..count)
        .map(|index| {
            let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
            let ip = IpAddr::V4(Ipv4Addr::new(127, process, 7, host));
            let name = format!("vm-{index}");
            let work_dir =
                std::env::temp_dir().join(format!("notch-{}-{host}-{name}", std::process::id()));
            let ports = free_ports(ip);
            NodeConfig {
                name,
                domain: format!("domain-{}", index % 3),
                callers: ports[0],
                readiness: ports[1],
                peers: ports[2],
                directory: ports[3],
                metrics: ports[4],
                store,
                seeds: Vec::new(),
                memory_mb: None,
                max_fds: 4_200,
                work_dir,
            }
        })
        .collect();
    let seeds: Vec<SocketAddr> = configs.iter().take(3).map(|config| config.peers).collect();
    for config in &mut configs {
        config.seeds = seeds.clone();
    }
    configs
}

/// Finds five free ports. All stay bound until the last is found, so they are distinct.
fn free_ports(ip: IpAddr) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..5)
        .map(|_| TcpListener::bind((ip, 0)).expect("a port is free"))
        .collect();
    listeners
        .iter()
        .map(|listener| {
            listener
                .local_addr()
                .expect("a bound socket has an address")
        })
        .collect()
}

impl NodeConfig {
    fn settings(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("{seed:?}")).collect();
        let memory = self.memory_mb.map_or(String::new(), |memory_mb| {
            format!("memory_mb = {memory_mb}\n")
        });
        format!(
            r#"node = "{}"
role = "node"
zone = "{}"
seeds = ["{}"]
[listen_addrs]
front = "{}"
ready = "{}"
control = "{}"
directory = "{}"
[limits]
cpu_share = 0.25
cores = 1
max_fds = {}
{memory}[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 102
stall_ms = 1500
hold_max_ms = 20000
ttl_max_s = 5
[platform]
address = "{}"
"#,
            self.name,
            self.domain,
            seeds.join("\",\""),
            self.callers,
            self.readiness,
            self.peers,
            self.directory,
            self.max_fds,
            self.store,
        )
    }
}

/// A running node, killed when dropped.
pub struct RunningNode {
    pub config: NodeConfig,
    child: Child,
}

impl RunningNode {
    pub fn start(config: &NodeConfig) -> Self {
        std::fs::create_dir_all(&config.work_dir).expect("the working directory can be created");
        let settings = config.work_dir.join("node.toml");
        std::fs::write(settings, config.settings()).expect("the settings file can be written");
        let child = Self::spawn(config);
        Self {
            config: config.clone(),
            child,
        }
    }

    /// Kills the process if it is running, and starts it again.
    pub fn restart(&mut self) {
        self.kill();
        self.child = Self::spawn(&self.config);
    }

    fn spawn(config: &NodeConfig) -> Child {
        let settings = config.work_dir.join("node.toml");
        let log = File::options()
            .create(true)
            .append(true)
            .open(config.work_dir.join("node.log"))
            .expect("the log file can be opened");
        Command::new(program(config))
            .args(["--metrics-port", &config.metrics.port().to_string()])
            .args(["--target-source-ip", &config.callers.ip().to_string()])
            .env("PLANTAINNOTCH_SETTINGS", settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program is built and can be started")
    }

    /// The node's log so far, over all its starts.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.config.work_dir.join("node.log")).unwrap_or_default()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Most memory that the process held so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        peak_memory(self.id())
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-s", name, &id]).status().ok();
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process has exited by itself, and returns whether it did so in time and
    /// with success.
    pub fn exited_cleanly(&mut self, limit: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Waits until the node reports that it is ready.
    pub fn wait_ready(&self) {
        let started_at = Instant::now();
        while !super::caller::is_ready(self.config.readiness) {
            assert!(
                started_at.elapsed() < READY_TIMEOUT,
                "{} is not ready:\n{}",
                self.config.name,
                self.log()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Most memory that the process `id` held so far, in bytes.
pub fn peak_memory(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("the kernel reports the peak");
    let kib: u64 = line
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number of kB");
    kib * 1024
}

/// Descriptors that the process `id` has open.
pub fn open_descriptors(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |entries| entries.count())
}

/// The program of a node: of the present build, or for each second node the one that `NOTCH_OTHER_NODE`
/// names, so that a test runs an earlier build beside it.
fn program(config: &NodeConfig) -> PathBuf {
    let is_second = config.name.ends_with(['1', '3', '5', '7', '9']);
    match std::env::var_os("NOTCH_OTHER_NODE") {
        Some(other) if is_second => other.into(),
        _ => env!("CARGO_BIN_EXE_notch-node").into(),
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.kill();
        if !std::thread::panicking() {
            std::fs::remove_dir_all(&self.config.work_dir).ok();
        }
    }
}
