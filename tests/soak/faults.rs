//! Fault injection for the soak test, drawn from a seed; faults may overlap.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::bed::{TestBed, config};
use crate::support::proxy::ProxyFault;
use crate::support::store::{StoreCopy, StoreMode};
use crate::support::target::TargetMode;

const DENSE_PAUSE_MS: std::ops::Range<u64> = 50..500;
const SPARSE_PAUSE_MS: std::ops::Range<u64> = 2_000..6_000;
const WAIT_SLICE: Duration = Duration::from_millis(50);
const STOP_TIMEOUT: Duration = Duration::from_secs(8); // grace_s in the nodes' settings
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..2_000;
const CUT_DURATION_MS: std::ops::Range<u64> = 500..5_000;
const CUT_SHARE: f64 = 0.12;
const STORE_COPY_SHARE: f64 = 0.12;
const SILENCE_SHARE: f64 = 0.15;
const SILENCE_MS: std::ops::Range<u64> = 300..1_500;

/// How often faults begin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultPace {
    /// Several a second, so that they overlap.
    Dense,
    /// One in some seconds, so that rules that leave out VMs with recent faults are checked.
    Sparse,
}

/// Action that ends a fault.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FaultEnd {
    RestartNode(usize),
    ResumeNode(usize),
    RestoreStore,
    ClearStoreProxy(usize),
    RestoreTarget(usize),
    ClearTargetProxy(usize),
    MarkTargetReady(usize),
    RestoreDomain(usize),
    RestorePaths(usize),
    ContinueTarget(usize),
}

/// What happens to a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NodeFaultKind {
    Killed,
    Stopped,
    Paused,
    CutFromTargets,
}

/// A time in which a node was not sound.
#[derive(Debug, Clone)]
pub struct NodeFault {
    pub node: usize,
    pub kind: NodeFaultKind,
    from: Instant,
    until: Option<Instant>,
}

impl NodeFault {
    /// Whether it lasted at any time between `from` and `until`.
    pub fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from < until && self.until.is_none_or(|end| from <= end)
    }
}

/// Injects faults and ends each after a random time.
pub struct FaultInjector {
    rng: StdRng,
    /// Draws lost paths and older copies of the store apart, so that the other faults of a seed stay.
    second_rng: StdRng,
    /// Draws silent targets apart, for the same reason.
    third_rng: StdRng,
    store_copy: Option<StoreCopy>,
    pace: FaultPace,
    started_at: Instant,
    pending_ends: Vec<(Instant, FaultEnd)>,
    config_version: u64,
    target_count: usize,
    event_log: Vec<String>,
    stopping_nodes: BTreeSet<usize>,
    node_faults: Vec<NodeFault>,
}

impl FaultInjector {
    pub fn new(seed: u64, pace: FaultPace, bed: &TestBed) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            second_rng: StdRng::seed_from_u64(!seed),
            third_rng: StdRng::seed_from_u64(seed.rotate_left(32)),
            store_copy: None,
            pace,
            started_at: Instant::now(),
            pending_ends: Vec::new(),
            config_version: 1,
            target_count: bed.engines.len() + bed.replicas.len(),
            event_log: Vec::new(),
            stopping_nodes: BTreeSet::new(),
            node_faults: Vec::new(),
        }
    }

    /// Log of the injected faults and node starts, each with the time since the start.
    pub fn event_log(&self) -> &[String] {
        &self.event_log
    }

    /// The times in which nodes were not sound.
    pub fn node_faults(&self) -> &[NodeFault] {
        &self.node_faults
    }

    fn begin_node_fault(&mut self, node: usize, kind: NodeFaultKind) {
        self.node_faults.push(NodeFault {
            node,
            kind,
            from: Instant::now(),
            until: None,
        });
    }

    fn end_node_faults(&mut self, node: usize) {
        let faults = self.node_faults.iter_mut();
        for fault in faults.filter(|fault| fault.node == node && fault.until.is_none()) {
            fault.until = Some(Instant::now());
        }
    }

    /// Injects one fault, waits for a random time, and ends the faults that are due. `during` is
    /// called again and again while it waits.
    pub fn step(&mut self, bed: &mut TestBed, mut during: impl FnMut(&TestBed)) {
        self.inject(bed);
        self.lose_paths(bed);
        self.silence_targets(bed);
        self.restore_store_copy(bed);
        let pause_ms = match self.pace {
            FaultPace::Dense => self.rng.random_range(DENSE_PAUSE_MS),
            FaultPace::Sparse => self.rng.random_range(SPARSE_PAUSE_MS),
        };
        let pause_ends_at = Instant::now() + Duration::from_millis(pause_ms);
        while Instant::now() < pause_ends_at {
            during(bed);
            let left = pause_ends_at.saturating_duration_since(Instant::now());
            thread::sleep(left.min(WAIT_SLICE));
        }
        let now = Instant::now();
        let (due_ends, pending_ends) = self.pending_ends.iter().partition(|(at, _)| *at <= now);
        self.pending_ends = pending_ends;
        let due_ends: Vec<(Instant, FaultEnd)> = due_ends;
        for (_, end) in due_ends {
            self.end_fault(bed, end);
        }
    }

    /// Ends all faults.
    pub fn end_all_faults(&mut self, bed: &mut TestBed) {
        for (_, end) in std::mem::take(&mut self.pending_ends) {
            self.end_fault(bed, end);
        }
        for index in 0..bed.nodes.len() {
            bed.nodes[index].signal("CONT");
            let waiting_since = Instant::now();
            // A node that was sent a stop signal exits by itself.
            while self.stopping_nodes.contains(&index)
                && !bed.nodes[index].has_ended()
                && waiting_since.elapsed() < STOP_TIMEOUT
            {
                thread::sleep(Duration::from_millis(20));
            }
            if bed.nodes[index].has_ended() {
                self.restart(bed, index);
            }
        }
    }

    fn log_event(&mut self, description: &str) {
        let elapsed_ms = self.started_at.elapsed().as_millis();
        self.event_log
            .push(format!("{elapsed_ms} ms: {description}"));
    }

    fn schedule(&mut self, end: FaultEnd) {
        let duration = Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS));
        self.pending_ends.push((Instant::now() + duration, end));
    }

    fn inject(&mut self, bed: &mut TestBed) {
        let node = self.rng.random_range(0..bed.nodes.len());
        let target = self.rng.random_range(0..self.target_count);
        match self.rng.random_range(0..13) {
            0 | 1 => {
                self.log_event(&format!("node {node} is killed"));
                self.begin_node_fault(node, NodeFaultKind::Killed);
                bed.nodes[node].kill();
                self.schedule(FaultEnd::RestartNode(node));
            }
            2 => {
                self.log_event(&format!("node {node} is sent a stop signal"));
                self.begin_node_fault(node, NodeFaultKind::Stopped);
                bed.nodes[node].signal("TERM");
                self.stopping_nodes.insert(node);
                self.schedule(FaultEnd::RestartNode(node));
            }
            3 => {
                self.log_event(&format!("node {node} is paused"));
                self.begin_node_fault(node, NodeFaultKind::Paused);
                bed.nodes[node].signal("STOP");
                self.schedule(FaultEnd::ResumeNode(node));
            }
            4 => {
                let modes = [
                    StoreMode::Busy,
                    StoreMode::Silent,
                    StoreMode::Slow(Duration::from_millis(300)),
                    StoreMode::LosesWrites,
                ];
                let mode = modes[self.rng.random_range(0..modes.len())];
                self.log_event(&format!("the store is {mode:?}"));
                bed.store.set_mode(mode);
                self.schedule(FaultEnd::RestoreStore);
            }
            5 => {
                let fault = self.draw_proxy_fault();
                self.log_event(&format!("node {node} and the store: {fault:?}"));
                bed.store_proxies[node].set(fault);
                self.schedule(FaultEnd::ClearStoreProxy(node));
            }
            6 | 7 => {
                let modes = [
                    TargetMode::ResetsAfterRun,
                    TargetMode::Hangs,
                    TargetMode::Full,
                    TargetMode::Truncates,
                    TargetMode::AnswersTwice,
                    TargetMode::Unframed,
                    TargetMode::UnframedReset,
                    TargetMode::Fails,
                ];
                let mode = modes[self.rng.random_range(0..modes.len())];
                self.log_event(&format!("target {target} is {mode:?}"));
                bed.target(target).set_mode(mode);
                self.schedule(FaultEnd::RestoreTarget(target));
            }
            8 => {
                let fault = self.draw_proxy_fault();
                self.log_event(&format!("nodes and target {target}: {fault:?}"));
                bed.target_proxies[target].set(fault);
                self.schedule(FaultEnd::ClearTargetProxy(target));
            }
            9 => {
                self.config_version += self.rng.random_range(1..5);
                self.log_event(&format!("configuration {}", self.config_version));
                bed.put_config(&config(self.config_version));
                if self.rng.random_bool(0.3) {
                    bed.store.compact("keyed.op");
                }
            }
            10 => {
                self.log_event(&format!("target {target} drains"));
                bed.put_target(target, "draining");
                self.schedule(FaultEnd::MarkTargetReady(target));
            }
            11 => {
                let domain = self.rng.random_range(0..3);
                self.log_event(&format!("domain {domain} is out of service"));
                let key = format!("evacuate/domain-{domain}");
                bed.store.put("keyed.op", &key, b"{}");
                self.schedule(FaultEnd::RestoreDomain(domain));
            }
            _ => {
                self.log_event("all nodes are killed");
                for node in 0..bed.nodes.len() {
                    self.begin_node_fault(node, NodeFaultKind::Killed);
                    bed.nodes[node].kill();
                    self.schedule(FaultEnd::RestartNode(node));
                }
            }
        }
    }

    /// At times cuts a node off from all targets.
    fn lose_paths(&mut self, bed: &TestBed) {
        if !self.second_rng.random_bool(CUT_SHARE) {
            return;
        }
        let node = self.second_rng.random_range(0..bed.nodes.len());
        let faults = [ProxyFault::Reset, ProxyFault::ResetNew, ProxyFault::Silence];
        let fault = faults[self.second_rng.random_range(0..faults.len())];
        let duration = Duration::from_millis(self.second_rng.random_range(CUT_DURATION_MS));
        self.log_event(&format!("node {node} and all targets: {fault:?}"));
        self.begin_node_fault(node, NodeFaultKind::CutFromTargets);
        set_paths(bed, node, fault);
        let end = (Instant::now() + duration, FaultEnd::RestorePaths(node));
        self.pending_ends.push(end);
    }

    /// At times stops the processes of some targets for a moment, or of all.
    fn silence_targets(&mut self, bed: &TestBed) {
        if !self.third_rng.random_bool(SILENCE_SHARE) {
            return;
        }
        let share = [0.3, 0.6, 1.0][self.third_rng.random_range(0..3)];
        let duration = Duration::from_millis(self.third_rng.random_range(SILENCE_MS));
        for target in 0..self.target_count {
            if !self.third_rng.random_bool(share) {
                continue;
            }
            self.log_event(&format!("target {target} is stopped for {duration:?}"));
            bed.target(target).set_stopped(true);
            let end = (Instant::now() + duration, FaultEnd::ContinueTarget(target));
            self.pending_ends.push(end);
        }
    }

    /// At times lets the store come back from a copy made some steps before; operators and targets
    /// then write again.
    fn restore_store_copy(&mut self, bed: &TestBed) {
        if !self.second_rng.random_bool(STORE_COPY_SHARE) {
            return;
        }
        let Some(copy) = self.store_copy.replace(bed.store.copy()) else {
            return;
        };
        self.log_event("the store comes back from a copy");
        bed.store.restore(&copy);
        bed.put_config(&config(self.config_version));
        for target in 0..self.target_count {
            bed.put_target(target, "ready");
        }
        self.store_copy = Some(bed.store.copy());
    }

    fn draw_proxy_fault(&mut self) -> ProxyFault {
        let faults = [
            ProxyFault::Delay(Duration::from_millis(40)),
            ProxyFault::Reset,
            ProxyFault::Silence,
            ProxyFault::OneWay,
        ];
        faults[self.rng.random_range(0..faults.len())]
    }

    fn end_fault(&mut self, bed: &mut TestBed, end: FaultEnd) {
        match end {
            FaultEnd::RestartNode(node) => self.restart(bed, node),
            FaultEnd::ResumeNode(node) => {
                bed.nodes[node].signal("CONT");
                self.end_node_faults(node);
            }
            FaultEnd::RestoreStore => bed.store.set_mode(StoreMode::Healthy),
            FaultEnd::ClearStoreProxy(node) => bed.store_proxies[node].set(ProxyFault::None),
            FaultEnd::RestoreTarget(target) => bed.target(target).set_mode(TargetMode::Healthy),
            FaultEnd::ClearTargetProxy(target) => bed.target_proxies[target].set(ProxyFault::None),
            FaultEnd::ContinueTarget(target) => bed.target(target).set_stopped(false),
            FaultEnd::RestorePaths(node) => {
                set_paths(bed, node, ProxyFault::None);
                self.end_node_faults(node);
            }
            FaultEnd::MarkTargetReady(target) => bed.put_target(target, "ready"),
            FaultEnd::RestoreDomain(domain) => {
                let key = format!("evacuate/domain-{domain}");
                bed.store.put("keyed.op", &key, b"");
            }
        }
    }

    /// Starts a node again, or postpones that while its process is still running.
    fn restart(&mut self, bed: &mut TestBed, node: usize) {
        if !bed.nodes[node].has_ended() {
            self.pending_ends.push((
                Instant::now() + Duration::from_millis(300),
                FaultEnd::RestartNode(node),
            ));
            return;
        }
        self.log_event(&format!("node {node} starts"));
        self.stopping_nodes.remove(&node);
        bed.nodes[node].restart();
        self.end_node_faults(node);
    }
}

fn set_paths(bed: &TestBed, node: usize, fault: ProxyFault) {
    let source = bed.node_configs[node].callers.ip();
    for proxy in &bed.target_proxies {
        proxy.set_from(source, fault);
    }
}
