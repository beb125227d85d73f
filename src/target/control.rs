//! What a steward asks of a target: its streams, and to cancel one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, RequestId};
use crate::ledger::target_ledger::StreamReport;
use crate::steward::orders::TargetOrder;

const CONTROL_WITHIN: Duration = Duration::from_secs(1);

/// A target's list of streams and exported KV caches.
#[derive(Debug, Serialize, Deserialize)]
pub struct StreamListing {
    /// This life of the target's process.
    pub instance: InstanceId,
    /// Streams that hold memory.
    pub streams: Vec<ListedStream>,
    /// The version that the target runs, if it says so.
    #[serde(default)]
    pub version: Option<String>,
}

/// A stream that holds memory at a target.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListedStream {
    /// The request, as the target was told.
    pub request: String,
    /// Tokens of memory.
    pub tokens: u64,
}

/// An order as a target receives it.
#[derive(Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing number.
    pub number: u64,
    /// The version to run.
    pub version: String,
}

impl StreamListing {
    /// The streams whose ids are ours.
    pub fn reports(&self) -> Vec<StreamReport> {
        let ours = self.streams.iter().filter_map(|stream| {
            Some(StreamReport {
                request: stream.request.parse().ok()?,
                tokens: stream.tokens,
            })
        });
        ours.collect()
    }
}

/// Asks a target for its streams; `None` when it gives no good answer.
pub async fn list_streams(http: &awc::Client, address: &str) -> Option<StreamListing> {
    let url = format!("http://{address}/v1/streams");
    let mut answer = http.get(url).timeout(CONTROL_WITHIN).send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    answer.json::<StreamListing>().limit(4 << 20).await.ok()
}

/// Cancels a stream at a target. Returns whether the target confirmed.
pub async fn cancel_stream(http: &awc::Client, address: &str, request: RequestId) -> bool {
    let url = format!("http://{address}/v1/streams/{request}");
    match http.delete(url).timeout(CONTROL_WITHIN).send().await {
        Ok(answer) => answer.status().is_success() || answer.status().as_u16() == 404,
        Err(_) => false,
    }
}

/// Orders a target to run a version. Returns the status of its answer, if it gave one.
pub async fn send_order(http: &awc::Client, order: &TargetOrder) -> Option<u16> {
    let url = format!("http://{}/v1/orders", order.address);
    let body = OrderBody {
        number: order.number.0,
        version: order.version.clone(),
    };
    let sending = http.post(url).timeout(CONTROL_WITHIN).send_json(&body);
    Some(sending.await.ok()?.status().as_u16())
}
