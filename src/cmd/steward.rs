//! `notch-steward`: runs a steward until SIGTERM or SIGINT.

use std::rc::Rc;
use std::time::Duration;

use actix::Actor;
use eyre::{Context, Result};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::clock::TimeSource;
use crate::config::StewardSettings;
use crate::logging;
use crate::steward::actor::StewardActor;
use crate::steward::admin;
use crate::steward::calls::call_handler;
use crate::steward::messages::LeaveMembership;
use crate::steward::metrics::StewardMetrics;
use crate::wire::server;

const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves until a stop signal, then leaves the fleet and serves on for the drain time.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub fn run(settings: StewardSettings) -> Result<()> {
    logging::init();
    actix::System::new().block_on(run_until_stopped(settings))
}

async fn run_until_stopped(settings: StewardSettings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let drain_time = settings.drain_time;
    let listener = TcpListener::bind(&settings.peer_address)
        .await
        .wrap_err_with(|| format!("cannot listen on --peer-address {}", settings.peer_address))?;
    let admin_address = settings.admin_address.clone();
    let metrics = Rc::new(StewardMetrics::new());
    let steward = StewardActor::new(settings, TimeSource::system(), metrics.clone())?.start();
    let admin_server = admin::serve(&admin_address, steward.clone(), &metrics)
        .wrap_err_with(|| format!("cannot listen on --admin-address {admin_address}"))?;
    let handle = admin_server.handle();
    actix_rt::spawn(admin_server);
    actix_rt::spawn(server::serve(listener, call_handler(steward.clone())));
    tracing::info!("steward started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("stopping: appending the leave record");
    let leave_result = steward.send(LeaveMembership).await?;
    match timeout(LEAVE_TIMEOUT, leave_result).await {
        Ok(Ok(state)) => tracing::info!(?state, "leave record"),
        _ => tracing::warn!(
            "leave record not confirmed by the log; without it, peers will evict this VM"
        ),
    }
    sleep(drain_time).await;
    handle.stop(true).await;
    tracing::info!("stopped");
    Ok(())
}
