//! `notch-entry`: serves callers until SIGTERM or SIGINT.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Context, Result};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::clock::TimeSource;
use crate::config::EntrySettings;
use crate::entry::shared::EntryShared;
use crate::entry::{follower, server};
use crate::logging;

const FINISH_TIMEOUT: Duration = Duration::from_secs(300);
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Serves until a stop signal, then for the drain time and until no request is in flight or
/// `FINISH_TIMEOUT` is over.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn run(settings: EntrySettings) -> Result<()> {
    logging::init();
    actix::System::new().block_on(run_until_stopped(settings))
}

async fn run_until_stopped(settings: EntrySettings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listen = settings.listen.clone();
    let shared = Arc::new(EntryShared::new(settings, TimeSource::system()));
    let http_server =
        server::serve(&shared).wrap_err_with(|| format!("cannot listen on --listen {listen}"))?;
    let handle = http_server.handle();
    actix_rt::spawn(http_server);
    actix_rt::spawn(follower::follow(shared.clone()));
    tracing::info!(listen, "entry started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("stopping: still serving callers whose list of entries names this one");
    shared.stopping.send_replace(true);
    sleep(shared.settings.drain_time).await;
    wait_until_idle(&shared).await;
    timeout(FINISH_TIMEOUT, handle.stop(true)).await.ok();
    tracing::info!("stopped");
    Ok(())
}

async fn wait_until_idle(shared: &EntryShared) {
    let idle = async {
        while shared.metrics.in_flight.get() > 0 {
            sleep(IDLE_CHECK_INTERVAL).await;
        }
    };
    timeout(FINISH_TIMEOUT, idle).await.ok();
}
