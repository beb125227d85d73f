//! Settings from flags and environment variables. A check reports all mistakes at once.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};

use crate::error::ErrorList;
use crate::ids::{DomainName, VmName};
use crate::policy::placement::PlacementPolicy;

/// Result of a check; the error lists every mistake.
pub type Result<T> = std::result::Result<T, ErrorList>;

/// Settings of `notch-steward`.
#[derive(Debug, Clone)]
pub struct StewardSettings {
    /// Name of this VM, the same at every start.
    pub vm: VmName,
    /// Failure domain of this VM, as the table names it.
    pub domain: DomainName,
    /// URL of the platform.
    pub platform: String,
    /// IP and port where peers and entries reach this steward.
    pub peer_address: String,
    /// IP and port of this steward's operator pages.
    pub admin_address: String,
    /// IP and port where callers reach this VM's entry.
    pub entry_address: String,
    /// Addresses of other stewards to contact while the log is unreachable, beside the members.
    pub seeds: Vec<String>,
    /// How requests are assigned to targets.
    pub policy: PlacementPolicy,
    /// How long to keep serving after the leave record was sent, confirmed or not.
    pub drain_time: Duration,
    /// Number of members that each member watches, the same everywhere.
    pub neighbours: usize,
}

/// Settings of `notch-entry`.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of this VM, the same at every start.
    pub vm: VmName,
    /// Failure domain of this VM, as the table names it.
    pub domain: DomainName,
    /// IP and port where callers reach this entry.
    pub listen: String,
    /// Addresses of the stewards to follow, this VM's own first.
    pub stewards: Vec<String>,
    /// Threads that serve callers.
    pub workers: usize,
    /// How long a stopping entry keeps serving at least; callers keep the list of entries for
    /// half of it.
    pub drain_time: Duration,
    /// Largest request body in bytes.
    pub body_limit: usize,
    /// Memory of the process in bytes, of which parts bound what is held for callers.
    pub memory_bytes: usize,
    /// Connections of callers at a time.
    pub max_connections: usize,
}

/// Text of one setting as given, unchecked.
type RawSetting = Option<String>;

fn setting(name: &'static str, env: &'static str, help: &'static str) -> impl Parser<RawSetting> {
    long(name)
        .env(env)
        .help(help)
        .argument::<String>("VALUE")
        .optional()
}

fn vm_setting() -> impl Parser<RawSetting> {
    setting("vm", "NOTCH_VM", "Name of this VM, the same at every start")
}

fn domain_setting() -> impl Parser<RawSetting> {
    setting(
        "domain",
        "NOTCH_DOMAIN",
        "Failure domain of this VM, as the table names it",
    )
}

fn platform_setting() -> impl Parser<RawSetting> {
    setting(
        "platform",
        "NOTCH_PLATFORM",
        "URL of the platform, such as http://10.0.0.1:7000",
    )
}

fn peer_address_setting() -> impl Parser<RawSetting> {
    setting(
        "peer-address",
        "NOTCH_PEER_ADDRESS",
        "IP and port where peers reach this steward",
    )
}

fn admin_address_setting() -> impl Parser<RawSetting> {
    setting(
        "admin-address",
        "NOTCH_ADMIN_ADDRESS",
        "IP and port of this steward's operator pages",
    )
}

fn entry_address_setting() -> impl Parser<RawSetting> {
    setting(
        "entry-address",
        "NOTCH_ENTRY_ADDRESS",
        "IP and port where callers reach this VM's entry",
    )
}

fn seeds_setting() -> impl Parser<RawSetting> {
    setting(
        "seeds",
        "NOTCH_SEEDS",
        "Other stewards' IPs and ports, separated by commas",
    )
}

fn policy_setting() -> impl Parser<RawSetting> {
    setting(
        "policy",
        "NOTCH_POLICY",
        "lanes (default), round-robin, least-loaded or shared-queue",
    )
}

fn drain_setting() -> impl Parser<RawSetting> {
    setting(
        "drain-seconds",
        "NOTCH_DRAIN_SECONDS",
        "How long a stopping process keeps serving at least (default 15)",
    )
}

fn neighbours_setting() -> impl Parser<RawSetting> {
    setting(
        "neighbours",
        "NOTCH_NEIGHBOURS",
        "Members that each member watches, the same everywhere (default 12)",
    )
}

fn listen_setting() -> impl Parser<RawSetting> {
    setting(
        "listen",
        "NOTCH_LISTEN",
        "IP and port where callers reach this entry",
    )
}

fn stewards_setting() -> impl Parser<RawSetting> {
    setting(
        "stewards",
        "NOTCH_STEWARDS",
        "Stewards' IPs and ports, this VM's own first, separated by commas",
    )
}

fn workers_setting() -> impl Parser<RawSetting> {
    setting(
        "workers",
        "NOTCH_WORKERS",
        "Threads that serve callers (default 2)",
    )
}

fn body_limit_setting() -> impl Parser<RawSetting> {
    setting(
        "body-limit-bytes",
        "NOTCH_BODY_LIMIT_BYTES",
        "Largest request body (default 16777216)",
    )
}

fn memory_setting() -> impl Parser<RawSetting> {
    setting(
        "memory-mb",
        "NOTCH_MEMORY_MB",
        "Memory that the process may use, in MB (default 160)",
    )
}

fn max_connections_setting() -> impl Parser<RawSetting> {
    setting(
        "max-connections",
        "NOTCH_MAX_CONNECTIONS",
        "Connections of callers at a time (default 1000)",
    )
}

/// Settings of `notch-steward` as given, unchecked.
#[derive(Debug, Clone)]
pub struct RawStewardSettings {
    vm: RawSetting,
    domain: RawSetting,
    platform: RawSetting,
    peer_address: RawSetting,
    admin_address: RawSetting,
    entry_address: RawSetting,
    seeds: RawSetting,
    policy: RawSetting,
    drain_time: RawSetting,
    neighbours: RawSetting,
}

/// Settings of `notch-entry` as given, unchecked.
#[derive(Debug, Clone)]
pub struct RawEntrySettings {
    vm: RawSetting,
    domain: RawSetting,
    listen: RawSetting,
    stewards: RawSetting,
    workers: RawSetting,
    drain_time: RawSetting,
    body_limit: RawSetting,
    memory: RawSetting,
    max_connections: RawSetting,
}

/// The command line of `notch-steward`.
pub fn steward_options() -> OptionParser<RawStewardSettings> {
    let vm = vm_setting();
    let domain = domain_setting();
    let platform = platform_setting();
    let peer_address = peer_address_setting();
    let admin_address = admin_address_setting();
    let entry_address = entry_address_setting();
    let seeds = seeds_setting();
    let policy = policy_setting();
    let drain_time = drain_setting();
    let neighbours = neighbours_setting();
    construct!(RawStewardSettings {
        vm,
        domain,
        platform,
        peer_address,
        admin_address,
        entry_address,
        seeds,
        policy,
        drain_time,
        neighbours
    })
    .to_options()
    .descr("Steward: folds the log, watches peers, owns the ledgers of targets and teams")
    .version(env!("CARGO_PKG_VERSION"))
}

/// The command line of `notch-entry`.
pub fn entry_options() -> OptionParser<RawEntrySettings> {
    let vm = vm_setting();
    let domain = domain_setting();
    let listen = listen_setting();
    let stewards = stewards_setting();
    let workers = workers_setting();
    let drain_time = drain_setting();
    let body_limit = body_limit_setting();
    let memory = memory_setting();
    let max_connections = max_connections_setting();
    construct!(RawEntrySettings {
        vm,
        domain,
        listen,
        stewards,
        workers,
        drain_time,
        body_limit,
        memory,
        max_connections
    })
    .to_options()
    .descr("Entry: serves callers over HTTP")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Parses settings and collects their mistakes.
#[derive(Debug, Default)]
struct SettingCheck {
    mistakes: Vec<String>,
}

impl SettingCheck {
    fn text(&mut self, name: &str, raw: RawSetting) -> String {
        match raw {
            Some(text) if !text.trim().is_empty() => text,
            _ => {
                self.mistakes.push(format!("--{name} is missing; set it"));
                String::new()
            }
        }
    }

    fn address(&mut self, name: &str, raw: RawSetting) -> String {
        let text = self.text(name, raw);
        self.check_address(name, &text);
        text
    }

    fn addresses(&mut self, name: &str, raw: RawSetting) -> Vec<String> {
        let text = raw.unwrap_or_default();
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let list: Vec<String> = parts.map(str::to_owned).collect();
        for address in &list {
            self.check_address(name, address);
        }
        list
    }

    fn check_address(&mut self, name: &str, text: &str) {
        if !text.is_empty() && text.parse::<SocketAddr>().is_err() {
            self.mistakes.push(format!(
                "--{name} {text:?} is not an IP and port; write it like 10.0.0.1:7100"
            ));
        }
    }

    fn url(&mut self, name: &str, raw: RawSetting) -> String {
        let text = self.text(name, raw);
        if !text.is_empty() && !text.starts_with("http://") {
            self.mistakes.push(format!(
                "--{name} {text:?} is not an HTTP URL; write it like http://10.0.0.1:7000"
            ));
        }
        text
    }

    fn number(&mut self, name: &str, raw: RawSetting, default: u64, minimum: u64) -> u64 {
        let Some(text) = raw else {
            return default;
        };
        match text.parse::<u64>() {
            Ok(number) if number >= minimum => number,
            _ => {
                self.mistakes.push(format!(
                    "--{name} {text:?} is not a whole number from {minimum} up; fix it"
                ));
                default
            }
        }
    }

    fn policy(&mut self, raw: &RawSetting) -> PlacementPolicy {
        match raw.as_deref().unwrap_or("lanes").parse() {
            Ok(policy) => policy,
            Err(error) => {
                self.mistakes.push(format!("--policy: {error}"));
                PlacementPolicy::Lanes
            }
        }
    }
}

impl RawStewardSettings {
    /// Parses and checks all settings.
    ///
    /// # Errors
    ///
    /// Fails with the list of all mistakes.
    pub fn check(self) -> Result<StewardSettings> {
        let mut check = SettingCheck::default();
        let settings = StewardSettings {
            vm: VmName::new(check.text("vm", self.vm)),
            domain: DomainName::new(check.text("domain", self.domain)),
            platform: check.url("platform", self.platform),
            peer_address: check.address("peer-address", self.peer_address),
            admin_address: check.address("admin-address", self.admin_address),
            entry_address: check.address("entry-address", self.entry_address),
            seeds: check.addresses("seeds", self.seeds),
            policy: check.policy(&self.policy),
            drain_time: Duration::from_secs(check.number("drain-seconds", self.drain_time, 15, 0)),
            neighbours: check.number("neighbours", self.neighbours, 12, 2) as usize,
        };
        ErrorList::check(check.mistakes)?;
        Ok(settings)
    }
}

impl RawEntrySettings {
    /// Parses and checks all settings.
    ///
    /// # Errors
    ///
    /// Fails with the list of all mistakes.
    pub fn check(self) -> Result<EntrySettings> {
        let mut check = SettingCheck::default();
        let stewards = check.addresses("stewards", self.stewards);
        if stewards.is_empty() {
            check
                .mistakes
                .push("--stewards is missing; name this VM's steward first".to_owned());
        }
        let settings = EntrySettings {
            vm: VmName::new(check.text("vm", self.vm)),
            domain: DomainName::new(check.text("domain", self.domain)),
            listen: check.address("listen", self.listen),
            stewards,
            workers: check.number("workers", self.workers, 2, 1) as usize,
            drain_time: Duration::from_secs(check.number("drain-seconds", self.drain_time, 15, 0)),
            body_limit: check.number("body-limit-bytes", self.body_limit, 16 << 20, 1024) as usize,
            memory_bytes: check.number("memory-mb", self.memory, 160, 16) as usize * 1_000_000,
            max_connections: check.number("max-connections", self.max_connections, 1_000, 1)
                as usize,
        };
        ErrorList::check(check.mistakes)?;
        Ok(settings)
    }
}
