//! Pings that end a connection which went silent.

use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::time::{sleep, timeout};

const PING_EVERY: Duration = Duration::from_secs(2);
const PONG_WITHIN: Duration = Duration::from_secs(1);

/// Returns once a ping stays unanswered.
pub(super) async fn watch_pings(mut pings: PingPong) {
    loop {
        sleep(PING_EVERY).await;
        match timeout(PONG_WITHIN, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            _ => return,
        }
    }
}
