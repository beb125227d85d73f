//! JSON-line logs on standard error.

use tracing_subscriber::EnvFilter;

/// Starts logging; `NOTCH_LOG` sets the level, `info` by default.
pub fn init() {
    let filter = EnvFilter::try_from_env("NOTCH_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}
