//! A steward's calls to a target: list its streams, cancel one, order a version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, RequestId};
use crate::ledger::target_ledger::StreamReport;
use crate::steward::orders::VersionOrder;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// A target's list of streams, and the version it runs.
#[derive(Debug, Serialize, Deserialize)]
pub struct StreamListing {
    /// The run of the target's process; a restart changes it.
    pub instance: InstanceId,
    /// Streams that hold memory.
    pub streams: Vec<ListedStream>,
    /// The version that the target runs, if it reports one.
    #[serde(default)]
    pub version: Option<String>,
}

/// A stream that holds memory at a target.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListedStream {
    /// The request's id, as the target received it.
    pub request: String,
    /// Tokens of KV cache memory that it holds.
    pub tokens: u64,
}

/// Body of an order to a target.
#[derive(Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing number; a target that checks fencing refuses a lower one than its last.
    pub number: u64,
    /// The version to run.
    pub version: String,
}

impl StreamListing {
    /// The streams whose ids can be read as request ids, with or without the prefix `req-`;
    /// others are left out.
    pub fn reports(&self) -> Vec<StreamReport> {
        let reports = self.streams.iter().filter_map(|stream| {
            Some(StreamReport {
                request: stream.request.parse().ok()?,
                tokens: stream.tokens,
            })
        });
        reports.collect()
    }
}

/// Lists a target's streams; `None` on a timeout, an error status or an unreadable body.
pub async fn list_streams(http: &awc::Client, address: &str) -> Option<StreamListing> {
    let url = format!("http://{address}/v1/streams");
    let mut response = http.get(url).timeout(CONTROL_TIMEOUT).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json::<StreamListing>().limit(4 << 20).await.ok()
}

/// Cancels a stream at a target. Returns whether the target confirmed; a 404 counts, as the
/// stream is gone.
pub async fn cancel_stream(http: &awc::Client, address: &str, request: RequestId) -> bool {
    let url = format!("http://{address}/v1/streams/{request}");
    match http.delete(url).timeout(CONTROL_TIMEOUT).send().await {
        Ok(response) => response.status().is_success() || response.status().as_u16() == 404,
        Err(_) => false,
    }
}

/// Orders a target to run a version. Returns the response's status, or `None` without a response.
pub async fn send_order(http: &awc::Client, order: &VersionOrder) -> Option<u16> {
    let url = format!("http://{}/v1/orders", order.address);
    let body = OrderBody {
        number: order.number.0,
        version: order.version.clone(),
    };
    let sending = http.post(url).timeout(CONTROL_TIMEOUT).send_json(&body);
    Some(sending.await.ok()?.status().as_u16())
}
