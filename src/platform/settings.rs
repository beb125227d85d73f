//! The settings file that the platform lays out for a process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::error::ErrorList;
use crate::fleet::settings::{NodeAddresses, NodeBounds, NodeSettings};
use crate::ids::{DomainName, VmName};

/// Environment variable that holds the file's path.
pub const SETTINGS_VARIABLE: &str = "PLANTAINNOTCH_SETTINGS";

/// Result of reading the settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Why the settings do not hold.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The variable is not set.
    #[error("{SETTINGS_VARIABLE} is not set; set it to the path of the settings file")]
    NoPath,
    /// The file cannot be read.
    #[error("settings file {path}: {source}; check the path and its permissions")]
    Unreadable {
        /// The file's path.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not TOML of the right shape.
    #[error("settings file: {0}; mend the line it names")]
    Malformed(#[from] Box<toml::de::Error>),
    /// Values that do not hold.
    #[error(transparent)]
    Invalid(#[from] ErrorList),
}

#[derive(Debug, Deserialize)]
struct SettingsFile {
    node: String,
    zone: String,
    #[serde(default)]
    seeds: Vec<String>,
    listen_addrs: ListenFile,
    limits: LimitsFile,
    bounds: BoundsFile,
    platform: StoreFile,
    #[serde(default)]
    zones: BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
struct ListenFile {
    front: String,
    ready: String,
    control: String,
    directory: String,
}

#[derive(Debug, Deserialize)]
struct LimitsFile {
    cpu_share: f64,
    #[serde(default = "one_core")]
    cores: f64,
}

fn one_core() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
struct BoundsFile {
    grace_s: f64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    retry_slack: f64,
    hold_max_ms: u64,
    ttl_max_s: f64,
}

#[derive(Debug, Deserialize)]
struct StoreFile {
    address: String,
}

/// Reads and checks the file that the environment names.
///
/// # Errors
///
/// Fails when the variable is missing, the file is unreadable, or values do not hold; all
/// mistakes in values are told at once.
pub fn read_settings() -> Result<NodeSettings> {
    let path = std::env::var(SETTINGS_VARIABLE).map_err(|_| SettingsError::NoPath)?;
    let text = std::fs::read_to_string(Path::new(&path))
        .map_err(|source| SettingsError::Unreadable { path, source })?;
    parse_settings(&text)
}

/// Parses and checks the file's text.
///
/// # Errors
///
/// Fails when the text is not TOML of the right shape, or values do not hold.
///
/// ```
/// use plantainnotch::platform::settings::parse_settings;
/// assert!(parse_settings("node = 3").is_err());
/// ```
pub fn parse_settings(text: &str) -> Result<NodeSettings> {
    let file: SettingsFile = toml::from_str(text).map_err(Box::new)?;
    let mut mistakes = Vec::new();
    let mut socket = |name: &str, value: &str| -> SocketAddr {
        value.parse().unwrap_or_else(|error| {
            mistakes.push(format!("{name} = {value:?}: {error}; write IP:PORT"));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    };
    let addresses = NodeAddresses {
        callers: socket("listen_addrs.front", &file.listen_addrs.front),
        readiness: socket("listen_addrs.ready", &file.listen_addrs.ready),
        peers: socket("listen_addrs.control", &file.listen_addrs.control),
        directory: socket("listen_addrs.directory", &file.listen_addrs.directory),
    };
    let seeds = file
        .seeds
        .iter()
        .map(|seed| socket("seeds", seed))
        .collect();
    socket("platform.address", &file.platform.address);
    let positive = [
        ("limits.cpu_share", file.limits.cpu_share),
        ("bounds.grace_s", file.bounds.grace_s),
        ("bounds.budget_window_s", file.bounds.budget_window_s),
        ("bounds.ttl_max_s", file.bounds.ttl_max_s),
    ];
    for (name, value) in positive {
        if !(value > 0.0 && value.is_finite()) {
            mistakes.push(format!("{name} = {value}; write a number above 0"));
        }
    }
    for (name, value) in [
        ("bounds.retry_budget_ratio", file.bounds.retry_budget_ratio),
        ("bounds.retry_slack", file.bounds.retry_slack),
    ] {
        if !(value >= 0.0 && value.is_finite()) {
            mistakes.push(format!("{name} = {value}; write 0 or more"));
        }
    }
    if file.node.is_empty() {
        mistakes.push("node is empty; name this VM".to_owned());
    }
    if !file.zones.is_empty() && !file.zones.contains_key(&file.zone) {
        mistakes.push(format!(
            "zone = {:?} is not listed under [zones]; add it there",
            file.zone
        ));
    }
    ErrorList::check(mistakes)?;
    Ok(NodeSettings {
        vm: VmName::new(file.node),
        domain: DomainName::new(file.zone),
        addresses,
        seeds,
        store: file.platform.address,
        cpu_share: file.limits.cpu_share * file.limits.cores,
        bounds: NodeBounds {
            stop_grace: Duration::from_secs_f64(file.bounds.grace_s),
            retry_ratio: file.bounds.retry_budget_ratio,
            retry_window: Duration::from_secs_f64(file.bounds.budget_window_s),
            retry_slack: file.bounds.retry_slack,
            reservation_max: Duration::from_millis(file.bounds.hold_max_ms),
            directory_ttl_max: Duration::from_secs_f64(file.bounds.ttl_max_s),
        },
    })
}
