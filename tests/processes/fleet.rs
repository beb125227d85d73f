//! A small fleet of real processes on loopback, killed when dropped.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use plantainnotch::fake::load::{
    self, LoadClass, LoadPlan, LoadSample, LoadSummary, LoadTeam, ObservedOutcome,
};
use serde_json::Value;

/// Held by the running fleet, because two fleets at a time would slow each other down.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const ENGINES_PER_DOMAIN: usize = 2;
pub const DOMAINS: [&str; 3] = ["rw-a", "rw-b", "rw-c"];

/// A process of the fleet, killed when dropped.
pub struct RunningProcess {
    child: Child,
}

impl RunningProcess {
    fn start(program: &str, args: &[String]) -> Self {
        Self::start_with(program, args, &[])
    }

    /// Starts a program with further variables of the environment.
    fn start_with(program: &str, args: &[String], variables: &[(&str, String)]) -> Self {
        let child = Command::new(program)
            .args(args)
            .env("NOTCH_LOG", "error")
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program is built and can be started");
        Self { child }
    }

    #[allow(dead_code, reason = "for the tests of hostile callers")]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    #[allow(dead_code, reason = "for the tests of hostile callers")]
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        Command::new("kill").args(["-s", name, &pid]).status().ok();
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Whether the process exits by itself with status 0 before the limit.
    pub fn exited_cleanly(&mut self, limit: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The addresses of one VM.
#[derive(Clone)]
pub struct VmAddresses {
    pub entry: String,
    pub peer: String,
    pub admin: String,
}

/// A fake platform, engines, a service, and three VMs with a steward and an entry each.
pub struct TestFleet {
    pub platform: String,
    pub vms: Vec<VmAddresses>,
    pub engines: Vec<String>,
    pub service: String,
    pub stewards: Vec<Option<RunningProcess>>,
    pub entries: Vec<Option<RunningProcess>>,
    targets: Vec<RunningProcess>,
    _platform_process: RunningProcess,
    _fleet_lock: MutexGuard<'static, ()>,
}

fn free_addresses(count: usize) -> Vec<String> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free"))
        .collect();
    let addresses = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("it is bound"));
    addresses.map(|address| address.to_string()).collect()
}

fn split_args(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

impl TestFleet {
    /// Starts all processes, imports a table, and waits until requests are served.
    pub async fn start() -> Self {
        let fleet_lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let mut addresses = free_addresses(11 + DOMAINS.len() * ENGINES_PER_DOMAIN);
        let mut next_address = || addresses.pop().expect("enough were reserved");
        let platform = next_address();
        let service = next_address();
        let vms: Vec<VmAddresses> = DOMAINS
            .iter()
            .map(|_| VmAddresses {
                entry: next_address(),
                peer: next_address(),
                admin: next_address(),
            })
            .collect();
        let engines: Vec<String> = (0..DOMAINS.len() * ENGINES_PER_DOMAIN)
            .map(|_| next_address())
            .collect();
        let fake = env!("CARGO_BIN_EXE_notch-fake");
        let platform_process = RunningProcess::start(
            fake,
            &split_args(&format!(
                "platform --listen {platform} --vms vm-0,vm-1,vm-2"
            )),
        );
        let mut targets: Vec<RunningProcess> = engines
            .iter()
            .map(|address| {
                let args = format!(
                    "target --listen {address} --memory-tokens 20000 --cold-limit 2 --warm-limit 12 --prefill-per-s 40000 --decode-ms 5"
                );
                RunningProcess::start(fake, &split_args(&args))
            })
            .collect();
        let args = format!("target --service --listen {service} --work-ms 30");
        targets.push(RunningProcess::start(fake, &split_args(&args)));
        let mut fleet = Self {
            platform: format!("http://{platform}"),
            vms,
            engines,
            service,
            stewards: (0..DOMAINS.len()).map(|_| None).collect(),
            entries: (0..DOMAINS.len()).map(|_| None).collect(),
            targets,
            _platform_process: platform_process,
            _fleet_lock: fleet_lock,
        };
        for index in 0..DOMAINS.len() {
            fleet.start_steward(index);
            fleet.start_entry(index);
        }
        fleet
            .wait_until(READY_TIMEOUT, "all stewards are members", |fleet| {
                fleet.member_count() == 3
            })
            .await;
        fleet.import_tables();
        fleet.wait_until_served(READY_TIMEOUT).await;
        fleet
    }

    pub fn start_steward(&mut self, index: usize) {
        let seeds: Vec<&str> = self.vms.iter().map(|vm| vm.peer.as_str()).collect();
        let vm = &self.vms[index];
        let args = format!(
            "--vm vm-{index} --domain {} --platform {} --peer-address {} --admin-address {} --entry-address {} --seeds {} --drain-seconds 4",
            DOMAINS[index],
            self.platform,
            vm.peer,
            vm.admin,
            vm.entry,
            seeds.join(",")
        );
        let process =
            RunningProcess::start(env!("CARGO_BIN_EXE_notch-steward"), &split_args(&args));
        self.stewards[index] = Some(process);
    }

    pub fn start_entry(&mut self, index: usize) {
        self.start_entry_with(index, &[]);
    }

    /// Starts an entry in place of the one that runs, with further variables of the environment.
    pub fn start_entry_with(&mut self, index: usize, variables: &[(&str, String)]) {
        self.entries[index] = None;
        let vm = &self.vms[index];
        let others: Vec<&str> = self.vms.iter().map(|vm| vm.peer.as_str()).collect();
        let args = format!(
            "--vm vm-{index} --domain {} --listen {} --stewards {},{} --drain-seconds 4",
            DOMAINS[index],
            vm.entry,
            vm.peer,
            others.join(",")
        );
        let program = env!("CARGO_BIN_EXE_notch-entry");
        let process = RunningProcess::start_with(program, &split_args(&args), variables);
        self.entries[index] = Some(process);
    }

    /// Runs `notchctl` to its end and returns its status and output.
    pub fn run_ctl(&self, author: &str, args: &str) -> Output {
        self.start_ctl(author, args)
            .wait_with_output()
            .expect("notchctl ends")
    }

    pub fn start_ctl(&self, author: &str, args: &str) -> Child {
        Command::new(env!("CARGO_BIN_EXE_notchctl"))
            .args(["--platform", &self.platform, "--author", author])
            .args(args.split_whitespace())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program is built and can be started")
    }

    fn import_tables(&self) {
        let mut sheet = String::from(
            "kind,name,target,domain,owner,model,address,memory_tokens,cold_limit,warm_limit,fencing,weight,ceiling_tokens,key,state\n",
        );
        for domain in DOMAINS {
            sheet.push_str(&format!("domain,{domain},,,,,,,,,,,,,in\n"));
        }
        for (index, address) in self.engines.iter().enumerate() {
            let domain = DOMAINS[index / ENGINES_PER_DOMAIN];
            sheet.push_str(&format!(
                "engine,app-{index},,{domain},owner,appraisal,{address},20000,2,12,yes,,,,in\n"
            ));
        }
        let service = &self.service;
        sheet.push_str(&format!(
            "service,reg-0,,rw-a,owner,registry,{service},1000000,8,64,no,,,,in\n"
        ));
        sheet.push_str("team,kigali,,,,,,,,,,1,10000000,kigali-key,\n");
        let approvals = "kind,name,target,state\napproval,kigali,app-*,approved\napproval,kigali,reg-*,approved\n";
        for (author, text) in [("operator", sheet.as_str()), ("owner", approvals)] {
            self.import(author, text);
        }
    }

    /// Imports rows of the table.
    pub fn import(&self, author: &str, sheet: &str) {
        let file = std::env::temp_dir().join(format!("notch-{author}-{}.csv", std::process::id()));
        std::fs::write(&file, sheet).expect("the temporary folder can be written");
        let output = self.run_ctl(author, &format!("table import {}", file.display()));
        std::fs::remove_file(&file).ok();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "import failed: {error}");
    }

    /// The largest number of members that any steward reports; 0 if none responds.
    pub fn member_count(&self) -> usize {
        let statuses = self
            .vms
            .iter()
            .filter_map(|vm| get_json(&vm.admin, "/v1/status"));
        let counts = statuses.map(|status| status["members"].as_array().map_or(0, Vec::len));
        counts.max().unwrap_or(0)
    }

    pub async fn wait_until(
        &self,
        limit: Duration,
        description: &str,
        condition: impl Fn(&Self) -> bool,
    ) {
        let started_at = Instant::now();
        while !condition(self) {
            assert!(
                started_at.elapsed() < limit,
                "not within {limit:?}: {description}"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until all requests of a short load, to engines and to the service, finish.
    pub async fn wait_until_served(&self, limit: Duration) {
        let started_at = Instant::now();
        loop {
            let probe = self.load_plan(Duration::from_millis(600), 5);
            let samples = load::run(probe).await;
            let all_finished = samples
                .iter()
                .all(|sample| sample.outcome == ObservedOutcome::Finished);
            if all_finished && !samples.is_empty() {
                return;
            }
            assert!(
                started_at.elapsed() < limit,
                "not served within {limit:?}: {samples:?}"
            );
        }
    }

    /// A load of short, long and gang-sized prompts and of non-idempotent calls.
    pub fn load_plan(&self, duration: Duration, seed: u64) -> LoadPlan {
        let class = |name: &str,
                     prompt_tokens: u64,
                     output_tokens: u64,
                     arrivals_per_s: f64,
                     timeout: u64| LoadClass {
            name: name.to_owned(),
            prompt_tokens,
            output_tokens,
            arrivals_per_s,
            timeout: Duration::from_secs(timeout),
        };
        let mut audited_targets = self.engines.clone();
        audited_targets.push(self.service.clone());
        LoadPlan {
            entry: self.vms[0].entry.clone(),
            direct_target: None,
            audited_targets,
            model: "appraisal".into(),
            service: "registry".into(),
            classes: vec![
                class("short", 500, 40, 12.0, 15),
                class("long", 9_000, 60, 1.0, 30),
                class("gang", 25_000, 60, 0.3, 30),
                class("certificate", 0, 1, 6.0, 15),
            ],
            teams: vec![LoadTeam {
                key: "kigali-key".into(),
                share: 1.0,
            }],
            duration,
            seed,
        }
    }

    /// Kills an engine's process; it is not restarted.
    pub fn kill_engine(&mut self, index: usize) {
        self.targets[index].kill();
    }

    /// Kills the steward and the entry of a VM.
    pub fn kill_vm(&mut self, index: usize) {
        self.stewards[index] = None;
        self.entries[index] = None;
    }
}

/// The JSON body of a response to GET; `None` if there is none.
pub fn get_json(address: &str, path: &str) -> Option<Value> {
    let (_, text) = http_request(address, "GET", path, "", "")?;
    serde_json::from_str(&text).ok()
}

/// Posts JSON to a fake platform or target.
pub fn post_json(address: &str, path: &str, body: &Value) {
    let address = address.trim_start_matches("http://");
    http_request(address, "POST", path, "", &body.to_string()).expect("the fake answers");
}

/// Sends a request on a new connection and returns status and body. `headers` are lines that each
/// end in `\r\n`.
pub fn http_request(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Option<(u16, String)> {
    use std::io::{Read, Write};
    let timeout = Duration::from_secs(10);
    let address = address.parse().ok()?;
    let mut stream = std::net::TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-type: application/json\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    // The server may refuse a body before it has read all of it, so a failed write is not an error.
    stream.write_all(body.as_bytes()).ok();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok();
    let response = String::from_utf8_lossy(&response).into_owned();
    let status = response.split_whitespace().nth(1)?.parse().ok()?;
    let (_, text) = response.split_once("\r\n\r\n")?;
    Some((status, text.to_owned()))
}

/// Checks the counts that must be zero whatever fails, as seen by callers and counted by targets.
pub fn assert_guarantees(scenario: &str, samples: &[LoadSample], summary: &LoadSummary) {
    let kinds: BTreeSet<&str> = samples.iter().map(|sample| sample.error.as_str()).collect();
    println!(
        "{scenario}: {} kinds {kinds:?}",
        serde_json::to_string(summary).unwrap_or_default()
    );
    assert_eq!(
        summary.late, 0,
        "{scenario}: admitted requests without a final answer in time"
    );
    assert_eq!(
        summary.wrong, 0,
        "{scenario}: answers of another request, or incomplete ones"
    );
    assert_eq!(
        summary.executed_twice, 0,
        "{scenario}: non-idempotent calls executed twice"
    );
    assert_eq!(
        summary.untrue_not_run, 0,
        "{scenario}: requests reported as not run that did run"
    );
    assert_eq!(summary.limit_exceeded, 0, "{scenario}: limits exceeded");
    assert_eq!(
        summary.held_tokens, 0,
        "{scenario}: memory still held after the load"
    );
}
