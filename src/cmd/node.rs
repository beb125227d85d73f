//! `notch-node`: serves callers, the directory and peers on one VM of the hosting platform.

use std::net::{IpAddr, SocketAddr};

use bpaf::{OptionParser, Parser, construct, long};
use eyre::{Context, Result};

use crate::clock::TimeSource;
use crate::logging;
use crate::node::lifecycle;
use crate::platform::settings::read_settings;

const DEFAULT_METRICS_PORT: u16 = 9464; // default port of OpenTelemetry's Prometheus exporter

/// Flags of `notch-node`; all other settings are in the hosting platform's settings file.
#[derive(Debug, Clone)]
pub struct NodeFlags {
    /// Port on which metrics are served, at the IP address for callers.
    pub metrics_port: u16,
    /// Address from which targets are called; the operating system chooses if `None`.
    pub target_source: Option<IpAddr>,
}

/// The command line of `notch-node`.
pub fn options() -> OptionParser<NodeFlags> {
    let metrics_port = long("metrics-port")
        .env("NOTCH_METRICS_PORT")
        .help("Port on which metrics are served")
        .argument::<u16>("PORT")
        .fallback(DEFAULT_METRICS_PORT)
        .display_fallback();
    let target_source = long("target-source-ip")
        .env("NOTCH_TARGET_SOURCE_IP")
        .help("Own address from which targets are called, on a VM with several")
        .argument::<IpAddr>("IP")
        .optional();
    construct!(NodeFlags {
        metrics_port,
        target_source,
    })
    .to_options()
        .descr("Serves callers, the directory and peers on one VM. PLANTAINNOTCH_SETTINGS names the settings file; NOTCH_LOG sets the log level.")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Reads the settings file, and serves until the process is stopped.
///
/// # Errors
///
/// Fails when the settings are invalid or an address cannot be bound.
pub fn run(flags: &NodeFlags) -> Result<()> {
    let log_guard = logging::init_bounded();
    let mut settings = read_settings().wrap_err("settings")?;
    settings.target_source = flags.target_source;
    let ip: IpAddr = settings.addresses.callers.ip();
    let metrics = SocketAddr::new(ip, flags.metrics_port);
    let dropped_lines_counter = log_guard.dropped_lines_counter();
    let dropped_lines = move || dropped_lines_counter.dropped_lines();
    let clock = TimeSource::system();
    actix_rt::System::new().block_on(lifecycle::run(settings, metrics, clock, dropped_lines))
}
