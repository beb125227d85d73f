//! Parser of the settings file that the platform provides for each process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::error::ErrorList;
use crate::fleet::settings::{NodeAddresses, NodeBounds, NodeSettings};
use crate::ids::{DomainName, VmName};

/// Environment variable with the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "PLANTAINNOTCH_SETTINGS";

const MS_PER_S: f64 = 1000.0;
const BYTES_PER_MB: f64 = 1_000_000.0;
const DEFAULT_MEMORY_MB: f64 = 160.0; // of the smallest VMs
const DEFAULT_MAX_FDS: f64 = 4_100.0; // of the smallest VMs

/// Result of reading the settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Error of reading the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The environment variable is not set.
    #[error("{SETTINGS_PATH_VARIABLE} is not set; set it to the path of the settings file")]
    NoPath,
    /// The file cannot be read.
    #[error("settings file {path}: {source}; check the path and its permissions")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML with the expected fields.
    #[error("settings file: {0}; correct the line it names")]
    Malformed(#[from] Box<toml::de::Error>),
    /// Some values are invalid; lists all of them.
    #[error(transparent)]
    Invalid(#[from] ErrorList),
}

#[derive(Debug, Deserialize)]
struct SettingsFile {
    node: String,
    zone: String,
    #[serde(default)]
    seeds: Vec<String>,
    listen_addrs: ListenSection,
    limits: LimitsSection,
    bounds: BoundsSection,
    platform: PlatformSection,
    #[serde(default)]
    zones: BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
struct ListenSection {
    front: String,
    ready: String,
    control: String,
    directory: String,
}

#[derive(Debug, Deserialize)]
struct LimitsSection {
    cpu_share: f64,
    #[serde(default = "one_core")]
    cores: f64,
    #[serde(default = "default_memory_mb")]
    memory_mb: f64,
    #[serde(default = "default_max_fds")]
    max_fds: f64,
}

fn default_max_fds() -> f64 {
    DEFAULT_MAX_FDS
}

fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}

fn one_core() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
struct BoundsSection {
    grace_s: f64,
    #[serde(default = "three_seconds_in_ms")]
    stable_ms: f64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    retry_slack: f64,
    hold_max_ms: u64,
    ttl_max_s: f64,
}

fn three_seconds_in_ms() -> f64 {
    3_000.0
}

#[derive(Debug, Deserialize)]
struct PlatformSection {
    address: String,
}

/// Reads and validates the file named by [`SETTINGS_PATH_VARIABLE`].
///
/// # Errors
///
/// Fails when the variable is not set, or the file is unreadable or invalid; all invalid
/// values are reported at once.
pub fn read_settings() -> Result<NodeSettings> {
    let path = std::env::var(SETTINGS_PATH_VARIABLE).map_err(|_| SettingsError::NoPath)?;
    let text = std::fs::read_to_string(Path::new(&path))
        .map_err(|source| SettingsError::Unreadable { path, source })?;
    parse_settings(&text)
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Fails when the text is not TOML with the expected fields, or values are invalid.
///
/// ```
/// use plantainnotch::platform::settings::parse_settings;
/// assert!(parse_settings("node = 3").is_err());
/// ```
pub fn parse_settings(text: &str) -> Result<NodeSettings> {
    let file: SettingsFile = toml::from_str(text).map_err(Box::new)?;
    let mut errors = Vec::new();
    let mut parse_address = |name: &str, value: &str| -> SocketAddr {
        value.parse().unwrap_or_else(|error| {
            errors.push(format!("{name} = {value:?}: {error}; write IP:PORT"));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    };
    let addresses = NodeAddresses {
        callers: parse_address("listen_addrs.front", &file.listen_addrs.front),
        readiness: parse_address("listen_addrs.ready", &file.listen_addrs.ready),
        peers: parse_address("listen_addrs.control", &file.listen_addrs.control),
        directory: parse_address("listen_addrs.directory", &file.listen_addrs.directory),
    };
    let seeds = file
        .seeds
        .iter()
        .map(|seed| parse_address("seeds", seed))
        .collect();
    // The store's address stays a text; parsing it only validates it.
    parse_address("platform.address", &file.platform.address);
    let positive_settings = [
        ("limits.cpu_share", file.limits.cpu_share),
        ("limits.memory_mb", file.limits.memory_mb),
        ("limits.max_fds", file.limits.max_fds),
        ("bounds.grace_s", file.bounds.grace_s),
        ("bounds.stable_ms", file.bounds.stable_ms),
        ("bounds.budget_window_s", file.bounds.budget_window_s),
        ("bounds.ttl_max_s", file.bounds.ttl_max_s),
    ];
    for (name, value) in positive_settings {
        if !(value > 0.0 && value.is_finite()) {
            errors.push(format!("{name} = {value}; write a number above 0"));
        }
    }
    for (name, value) in [
        ("bounds.retry_budget_ratio", file.bounds.retry_budget_ratio),
        ("bounds.retry_slack", file.bounds.retry_slack),
    ] {
        if !(value >= 0.0 && value.is_finite()) {
            errors.push(format!("{name} = {value}; write 0 or more"));
        }
    }
    if file.node.is_empty() {
        errors.push("node is empty; name this VM".to_owned());
    }
    if !file.zones.is_empty() && !file.zones.contains_key(&file.zone) {
        errors.push(format!(
            "zone = {:?} is not listed under [zones]; add it there",
            file.zone
        ));
    }
    ErrorList::check(errors)?;
    Ok(NodeSettings {
        vm: VmName::new(file.node),
        domain: DomainName::new(file.zone),
        addresses,
        seeds,
        store: file.platform.address,
        // The file has the CPU limit as a share of its `cores`.
        cpu_cores: file.limits.cpu_share * file.limits.cores,
        memory_bytes: (file.limits.memory_mb * BYTES_PER_MB) as u64,
        max_descriptors: file.limits.max_fds as usize,
        target_source: None,
        bounds: NodeBounds {
            stop_grace: Duration::from_secs_f64(file.bounds.grace_s),
            stable_after: Duration::from_secs_f64(file.bounds.stable_ms / MS_PER_S),
            retry_ratio: file.bounds.retry_budget_ratio,
            retry_window: Duration::from_secs_f64(file.bounds.budget_window_s),
            retry_slack: file.bounds.retry_slack,
            max_reservation: Duration::from_millis(file.bounds.hold_max_ms),
            max_directory_ttl: Duration::from_secs_f64(file.bounds.ttl_max_s),
        },
    })
}
