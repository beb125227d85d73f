//! The platform's store, the settings and processes of nodes, and the record of a case.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

use crate::http::{Connection, Request, read_response, serve};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

pub fn open_record(path: &str) {
    let file = File::create(path).expect("the record can be written");
    RECORD.set((Mutex::new(file), Instant::now())).ok();
}

/// Writes a line with the time since the start to the record.
pub fn record(line: &str) {
    if let Some((file, started_at)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        writeln!(file, "{:8.3} {line}", started_at.elapsed().as_secs_f64()).ok();
    }
}

/// A loopback address of this run, `127.x.y.last`, on which the metrics port of the deploy file is
/// free.
pub fn loopback(last: u8) -> IpAddr {
    static NETWORK: OnceLock<(u8, u8)> = OnceLock::new();
    let (x, y) = *NETWORK.get_or_init(|| {
        let mut seed = std::process::id() as usize;
        loop {
            let (x, y) = ((seed % 200 + 20) as u8, (seed / 200 % 200 + 20) as u8);
            let is_free = (1..=8).all(|last| {
                TcpListener::bind((Ipv4Addr::new(127, x, y, last), METRICS_PORT)).is_ok()
            });
            if is_free {
                return (x, y);
            }
            seed += 1;
        }
    });
    IpAddr::V4(Ipv4Addr::new(127, x, y, last))
}

const METRICS_PORT: u16 = 9464; // as in the deploy file

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

/// The platform's store, as far as nodes use it: reads and appends of keyed topics.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> std::io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        let served = store.clone();
        let address = serve(ip, move |mut connection| {
            while let Some(request) = connection.read_request() {
                if !served.answer(&request, &mut connection) {
                    return;
                }
            }
        })?;
        Ok((store, address))
    }

    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        topic.records.push((key.to_owned(), value.to_vec()));
        if value.is_empty() {
            topic.newest.remove(key);
        } else {
            topic.newest.insert(key.to_owned(), (offset, value.to_vec()));
        }
        changed.notify_all();
    }

    fn answer(&self, request: &Request, connection: &mut Connection) -> bool {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        match request.path.split('?').next().unwrap_or_default() {
            "/api/log-newest" => {
                let body = self.newest(&topic);
                connection.respond(200, &[("content-type", "application/json")], body.as_bytes())
            }
            "/api/log-read" => match self.read(request, &topic) {
                Some(body) => connection.respond(200, &[], &body),
                None => connection.respond(410, &[], br#"{"first":0}"#),
            },
            "/api/log-append" => {
                self.append(&topic, &request.body);
                connection.respond(200, &[], br#"{"offset":0,"end":1}"#)
            }
            _ => connection.respond(404, &[], b""),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.0.lock().unwrap();
        let no_records = Topic::default();
        let topic = topics.get(topic).unwrap_or(&no_records);
        let items: Vec<String> = topic
            .newest
            .iter()
            .map(|(key, (offset, value))| {
                format!(
                    r#"{{"key":"{key}","offset":{offset},"value":"{}"}}"#,
                    base64(value)
                )
            })
            .collect();
        format!(
            r#"{{"items":[{}],"has_more":false,"end":{}}}"#,
            items.join(","),
            topic.records.len()
        )
    }

    fn read(&self, request: &Request, topic: &str) -> Option<Vec<u8>> {
        let number = |name: &str| -> u64 {
            let value = request.query(name).and_then(|value| value.parse().ok());
            value.unwrap_or(0)
        };
        let from = number("from") as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, |topic| topic.records.len());
            if from > end {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                break;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
        let no_records = Topic::default();
        let topic = topics.get(topic).unwrap_or(&no_records);
        let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in &topic.records[from..] {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        Some(body)
    }

    fn append(&self, topic: &str, mut rest: &[u8]) {
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            self.put(topic, &String::from_utf8_lossy(key), value);
            rest = &rest[4 + length..];
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0_u32, |number, byte| number << 8 | u32::from(*byte));
        for index in 0..4 {
            if index <= group.len() {
                let digit = number >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A node's addresses; its process is one of [`CHILDREN`].
pub struct Node {
    pub name: String,
    process: AtomicU32,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    folder: PathBuf,
}

fn free_ports(ip: IpAddr) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: std::io::Result<Vec<TcpListener>> =
        (0..4).map(|_| TcpListener::bind((ip, 0))).collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

/// Starts `count` nodes in the zones `zone-0`, `zone-1` and so on, and waits until all are ready.
pub fn start_nodes(count: usize, store: SocketAddr) -> Result<Vec<Node>, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut ports = Vec::new();
    for index in 0..count {
        ports.push(free_ports(loopback(index as u8 + 1)).map_err(failed)?);
    }
    let seeds: Vec<String> = ports.iter().take(3).map(|ports| format!("{:?}", ports[2].to_string())).collect();
    let mut nodes = Vec::new();
    for (index, ports) in ports.iter().enumerate() {
        let name = format!("edge-{index}");
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let settings = settings(&name, index, count, ports, &seeds, store);
        std::fs::write(folder.join("node.toml"), settings).map_err(failed)?;
        let node = Node {
            name,
            process: AtomicU32::new(0),
            front: ports[0],
            ready: ports[1],
            directory: ports[3],
            folder,
        };
        node.start()?;
        nodes.push(node);
    }
    let seen_all = || -> Result<(), String> {
        for node in &nodes {
            wait_until(Duration::from_secs(15), "a node is ready", || is_ready(node))?;
        }
        wait_until(Duration::from_secs(15), "all nodes are listed", || {
            nodes.iter().all(|node| listed(node) == count)
        })
    };
    if let Err(reason) = seen_all() {
        for node in &nodes {
            for line in node.log().lines().rev().take(3) {
                record(&format!("{} logged {line}", node.name));
            }
        }
        return Err(reason);
    }
    Ok(nodes)
}

fn settings(
    name: &str,
    index: usize,
    count: usize,
    ports: &[SocketAddr],
    seeds: &[String],
    store: SocketAddr,
) -> String {
    let zones: String = (0..count).map(|zone| format!("zone-{zone} = \"region\"\n")).collect();
    format!(
        r#"node = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge","control","directory"]
ip = "{}"
zone = "zone-{index}"
region = "region"
seeds = [{}]
bootstrap = true
discovery = "platform"
entry_point = "directory"
heartbeat_ms = 1200
[zones]
{zones}[listen_addrs]
front = "{}"
ready = "{}"
control = "{}"
directory = "{}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
back_ms = 250
max_skew_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 102
cold_over = 1.5
cold_slack = 5
evacuation_ms = 5000
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
ttl_max_s = 5
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"#,
        ports[0].ip(),
        seeds.join(","),
        ports[0],
        ports[1],
        ports[2],
        ports[3],
    )
}

fn spawn(node: &Node) -> Result<u32, String> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(node.folder.join("node.log"))
        .map_err(|error| error.to_string())?;
    let child = Command::new("target/release/notch-node")
        .args(["--metrics-port", "9464"])
        .env("PLANTAINNOTCH_SETTINGS", node.folder.join("node.toml"))
        .stdout(Stdio::from(log))
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("notch-node does not start: {error}"))?;
    let process = child.id();
    CHILDREN.lock().unwrap().push(child);
    record(&format!("{} started as process {process}", node.name));
    Ok(process)
}

impl Node {
    /// Starts the process, with the settings as they are.
    pub fn start(&self) -> Result<(), String> {
        self.process.store(spawn(self)?, Ordering::Relaxed);
        Ok(())
    }

    fn process(&self) -> u32 {
        self.process.load(Ordering::Relaxed)
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        record(&format!("{} gets SIG{name}", self.name));
        let process = self.process().to_string();
        Command::new("kill").args(["-s", name, &process]).status().ok();
    }

    /// Memory that the process holds now, in bytes; 0 once it has ended.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.map(|line| line.trim().trim_end_matches(" kB").trim().parse::<u64>());
        kib.and_then(Result::ok).unwrap_or(0) * 1_024
    }

    /// The node's log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("node.log")).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Ends all processes that were started.
pub fn end_nodes() {
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        child.kill().ok();
        child.wait().ok();
    }
}

pub fn wait_until(
    limit: Duration,
    what: &str,
    condition: impl Fn() -> bool,
) -> Result<(), String> {
    let started_at = Instant::now();
    while !condition() {
        if started_at.elapsed() > limit {
            return Err(format!("not in {limit:?}: {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn get(address: SocketAddr, path: &str) -> Option<crate::http::Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").ok()?;
    read_response(&mut stream, |_| {})
}

pub fn is_ready(node: &Node) -> bool {
    get(node.ready, "/api/ready").is_some_and(|response| response.status == 200)
}

fn listed(node: &Node) -> usize {
    let response = get(node.directory, "/api/resolve?name=callers.example&region=region&zone=zone-0");
    let body = response.map(|response| String::from_utf8_lossy(&response.body).into_owned());
    body.map_or(0, |body| body.matches("\"127.").count())
}

/// A route of the config.
pub struct Route {
    pub name: &'static str,
    pub path: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub latency_ms: u32,
    pub attempts: u32,
    pub resume: bool,
    pub gap_ms: u32,
}

/// Writes the first config: the routes, the services `engines` and `records`, and one tenant.
pub fn put_config(store: &Store, routes: &[Route], engine_memory: u64) {
    put_config_with_warmup(store, routes, engine_memory, (0.0, 0.0));
}

/// As [`put_config`], with the warm-up of `records`: its seconds, and the requests a second.
pub fn put_config_with_warmup(
    store: &Store,
    routes: &[Route],
    engine_memory: u64,
    (record_warmup_s, record_warmup_per_s): (f64, f64),
) {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                r#"{{"name":"{}","host":"callers.example","path_prefix":"{}","route_type":"{}","timeout_ms":{},"latency_target_ms":{},"priority":1,"service":"{}","max_attempts":{},"public":false,"session_affinity":{},"stream_resume":{},"gap_aim_ms":{}}}"#,
                route.name,
                route.path,
                route.kind,
                route.timeout_ms,
                route.latency_ms,
                route.service,
                route.attempts,
                route.kind == "stream",
                route.resume,
                route.gap_ms
            )
        })
        .collect();
    let config = format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"records","health_path":"/health","max_conns":100,"protocol":"h1","tls":false,"warmup_s":{record_warmup_s},"warmup_per_s":{record_warmup_per_s}}},{{"name":"engines","health_path":"/health","max_conns":294,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":28.0,"engine":{{"slots":16,"kv_capacity_tokens":{engine_memory},"kv_token_bytes":327680,"stride":43,"models":[{{"name":"m"}}],"step_ms":1.02,"per_seq_ms":0.00226,"context_per_k":0.00431,"read_per_s":206000.0,"pairs_per_m":0.138,"chunk":2048,"report_lag_ms":200.0,"hop_ms":0.075}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"team-a","api_keys":["key-a"],"priority":1}}]}}"#,
        routes.join(",")
    );
    store.put("keyed.op", "config", config.as_bytes());
}

/// Writes a replica's entry, and again every 1.2 s as replicas do.
pub fn publish(store: &Store, id: &str, service: &str, address: SocketAddr, zone: usize) {
    let (store, id, service) = (store.clone(), id.to_owned(), service.to_owned());
    std::thread::spawn(move || {
        for sequence in 1.. {
            let slots = if service == "engines" { 16 } else { 6 };
            let entry = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"zone-{zone}","version":"v1","slots":{slots},"state":"ready","warmup_left_ms":0,"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":1700000000000}}"#
            );
            store.put("keyed.servers", &id, entry.as_bytes());
            std::thread::sleep(Duration::from_millis(1_200));
        }
    });
}
