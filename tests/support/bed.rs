//! Test bed: a fake store, fake targets and real nodes, connected through proxies.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::BackgroundRuntime;
use super::caller::{CallerRequest, CallerResponse, send};
use super::node::{NodeConfig, RunningNode, node_configs};
use super::proxy::FaultProxy;
use super::store::FakeStore;
use super::target::{FakeTarget, RunLedger, RunRecord, SharedRunLedger, TargetMode};

const ENGINE_COUNT: usize = 3;
const REPLICA_COUNT: usize = 3;
/// Paths whose routes have the ranks 0, 1 and 2 in [`ranked_config`].
pub const PATHS_BY_RANK: [&str; 3] = ["/single/a", "/resumable/a", "/archive/a"];
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running parts of a test.
pub struct TestBed {
    pub nodes: Vec<RunningNode>,
    pub node_configs: Vec<NodeConfig>,
    pub engines: Vec<FakeTarget>,
    pub replicas: Vec<FakeTarget>,
    pub store: FakeStore,
    /// Proxies between each node and the store, in the order of `nodes`.
    pub store_proxies: Vec<FaultProxy>,
    /// Proxies between the nodes and each target, engines first.
    pub target_proxies: Vec<FaultProxy>,
    pub ledger: SharedRunLedger,
    pub runtime: BackgroundRuntime,
}

/// Configuration with which the tests start, under the given version.
pub fn config(version: u64) -> Value {
    let route = |name: &str, path: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "callers.example", "path_prefix": path, "route_type": kind,
            "timeout_ms": 6000, "latency_target_ms": 300, "priority": 1, "service": service,
            "max_attempts": 2, "public": false, "session_affinity": false,
            "stream_resume": false, "gap_aim_ms": 250,
        })
    };
    let mut resumable = route("resumable", "/resumable/", "stream", "engines");
    resumable["stream_resume"] = json!(true);
    let mut archive = route("archive", "/archive/", "stream", "engines");
    archive["stream_resume"] = json!(true);
    archive["latency_target_ms"] = json!(3000);
    archive["gap_aim_ms"] = json!(1000);
    json!({
        "version": version,
        "routes": [
            route("lookup", "/lookup/", "safe", "records"),
            route("issue", "/issue/", "unsafe", "records"),
            route("single", "/single/", "stream", "engines"),
            resumable,
            archive,
        ],
        "services": [
            {"name": "records", "health_path": "/health", "max_conns": 100, "warmup_per_s": 0.0},
            {"name": "engines", "health_path": "/health", "max_conns": 100, "warmup_per_s": 28.0,
             "engine": {"slots": 16, "kv_capacity_tokens": 232_000, "stride": 43, "step_ms": 1.02,
                "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206_000.0,
                "pairs_per_m": 0.138, "hop_ms": 0.075}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "team-a", "api_keys": ["key-a"], "priority": 1},
            {"name": "team-b", "api_keys": ["key-b"], "priority": 1},
        ],
    })
}

/// A configuration whose three routes to the engines have the ranks 0, 1 and 2, in the order of [`PATHS_BY_RANK`].
pub fn ranked_config(version: u64) -> Value {
    let mut table = config(version);
    for (rank, route) in [2, 3, 4].into_iter().enumerate() {
        table["routes"][route]["priority"] = json!(rank);
    }
    for tenant in table["tenants"].as_array_mut().expect("a list") {
        tenant
            .as_object_mut()
            .expect("an object")
            .remove("priority");
    }
    table
}

impl TestBed {
    /// Starts a test bed and waits until its `count` nodes serve requests.
    pub fn start(count: usize) -> Self {
        Self::start_with(count, |_| {})
    }

    /// Starts a test bed whose nodes have the settings that `adjust` leaves them.
    pub fn start_with(count: usize, adjust: impl Fn(&mut NodeConfig)) -> Self {
        let runtime = BackgroundRuntime::start();
        let store = FakeStore::start(&runtime);
        let ledger = SharedRunLedger::default();
        let target = |name: &str, service: &str, index: usize, engine: bool| {
            let (id, domain) = (format!("{name}-{index}"), format!("domain-{}", index % 3));
            FakeTarget::start(&runtime, &id, service, &domain, engine, ledger.clone())
        };
        let engines: Vec<FakeTarget> = (0..ENGINE_COUNT)
            .map(|index| target("engine", "engines", index, true))
            .collect();
        let replicas: Vec<FakeTarget> = (0..REPLICA_COUNT)
            .map(|index| target("replica", "records", index, false))
            .collect();
        let proxy = |address: SocketAddr| FaultProxy::start(&runtime, address);
        let target_proxies: Vec<FaultProxy> = engines
            .iter()
            .chain(&replicas)
            .map(|target| proxy(target.address))
            .collect();
        for (target, proxy) in engines.iter().chain(&replicas).zip(&target_proxies) {
            target.set_proxy(proxy);
        }
        let mut node_configs = node_configs(count, store.address);
        let store_proxies: Vec<FaultProxy> =
            node_configs.iter().map(|_| proxy(store.address)).collect();
        for (node_config, proxy) in node_configs.iter_mut().zip(&store_proxies) {
            node_config.store = proxy.address;
            adjust(node_config);
        }
        let bed = Self {
            nodes: Vec::new(),
            node_configs,
            engines,
            replicas,
            store,
            store_proxies,
            target_proxies,
            ledger,
            runtime,
        };
        bed.put_config(&config(1));
        for index in 0..ENGINE_COUNT + REPLICA_COUNT {
            bed.put_target(index, "ready");
        }
        let mut bed = bed;
        bed.nodes = bed.node_configs.iter().map(RunningNode::start).collect();
        for node in &bed.nodes {
            node.wait_ready();
        }
        bed.wait_until_served();
        bed
    }

    /// Waits until every node serves requests and lists all nodes in its directory.
    fn wait_until_served(&self) {
        let round = Cell::new(0);
        let all_nodes_serve = || {
            round.set(round.get() + 1);
            self.nodes.iter().enumerate().all(|(index, node)| {
                // An id that came before is not sent again.
                let id = format!("warm-{index}-{}", round.get());
                let stream = self.stream(&id, "/single/warm");
                let streamed = send(node.config.callers, &stream);
                let looked_up = self.lookup(index, &format!("warm-l-{index}"));
                let listed = super::caller::resolve(node.config.directory);
                streamed.is_some_and(|response| response.status == 200)
                    && looked_up.is_some_and(|response| response.status == 200)
                    && listed.is_some_and(|list| list.len() == self.nodes.len())
            })
        };
        wait_until(Duration::from_secs(15), "all nodes serve", all_nodes_serve);
    }

    pub fn put_config(&self, config: &Value) {
        let text = config.to_string();
        self.store.put("keyed.op", "config", text.as_bytes());
    }

    /// Writes a configuration and waits until it is in force at all nodes.
    pub fn put_config_everywhere(&self, config: &Value) {
        self.put_config(config);
        let entry = format!("\"version\":{}", config["version"]);
        wait_until(Duration::from_secs(5), "all nodes have the table", || {
            self.nodes.iter().all(|node| node.log().contains(&entry))
        });
    }

    pub fn target(&self, index: usize) -> &FakeTarget {
        self.engines
            .iter()
            .chain(&self.replicas)
            .nth(index)
            .expect("the index is that of a target")
    }

    pub fn put_target(&self, index: usize, state: &str) {
        let target = self.target(index);
        let record = target.record(self.target_proxies[index].address, state);
        let text = record.to_string();
        self.store.put("keyed.servers", &target.id, text.as_bytes());
    }

    pub fn set_engines(&self, mode: TargetMode) {
        self.engines.iter().for_each(|engine| engine.set_mode(mode));
    }

    pub fn set_replicas(&self, mode: TargetMode) {
        self.replicas
            .iter()
            .for_each(|replica| replica.set_mode(mode));
    }

    /// Builds a request for a short stream.
    pub fn stream(&self, id: &str, path: &str) -> CallerRequest {
        let mut request = CallerRequest::new(id, "POST", path);
        request.tokens = Some("1000,400".to_owned());
        request.body = b"prompt".to_vec();
        request
    }

    pub fn lookup(&self, node: usize, id: &str) -> Option<CallerResponse> {
        send(
            self.node_configs[node].callers,
            &CallerRequest::new(id, "GET", "/lookup/7"),
        )
    }

    pub fn issue(&self, node: usize, id: &str) -> Option<CallerResponse> {
        let mut request = CallerRequest::new(id, "POST", "/issue/7");
        request.body = id.as_bytes().to_vec();
        send(self.node_configs[node].callers, &request)
    }

    /// Returns the runs of a request so far, at all targets.
    pub fn runs(&self, id: &str) -> Vec<RunRecord> {
        let ledger = self.ledger();
        ledger
            .runs
            .iter()
            .filter(|run| run.id == id)
            .cloned()
            .collect()
    }

    pub fn ledger(&self) -> std::sync::MutexGuard<'_, RunLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until `condition` holds; panics with `description` if it does not within `limit`.
pub fn wait_until(limit: Duration, description: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < limit,
            "not within {limit:?}: {description}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
