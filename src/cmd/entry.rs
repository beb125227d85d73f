//! `notch-entry`: serves callers until it is told to stop.

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

const FINISH_WITHIN: Duration = Duration::from_secs(300);
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// Runs the entry.
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
    let pages =
        server::serve(&shared).wrap_err_with(|| format!("cannot listen on --listen {listen}"))?;
    let handle = pages.handle();
    actix_rt::spawn(pages);
    actix_rt::spawn(follower::follow(shared.clone()));
    tracing::info!(listen, "entry started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("stopping: callers that keep an old list are still served");
    shared.stopping.send_replace(true);
    sleep(shared.settings.keep_entries).await;
    wait_until_idle(&shared).await;
    timeout(FINISH_WITHIN, handle.stop(true)).await.ok();
    tracing::info!("stopped");
    Ok(())
}

async fn wait_until_idle(shared: &EntryShared) {
    let idle = async {
        while shared.metrics.in_flight.get() > 0 {
            sleep(CHECK_EVERY).await;
        }
    };
    timeout(FINISH_WITHIN, idle).await.ok();
}
