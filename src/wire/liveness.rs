//! Detects dead connections with HTTP/2 pings.

use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::time::{sleep, timeout};

const PING_INTERVAL: Duration = Duration::from_secs(2);
const PONG_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends pings until one is not answered in time.
pub(super) async fn ping_until_dead(mut pings: PingPong) {
    loop {
        sleep(PING_INTERVAL).await;
        match timeout(PONG_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            _ => return,
        }
    }
}
