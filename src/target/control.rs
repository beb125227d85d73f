//! A steward's calls to a target: list its streams, cancel one, order a version.

use std::time::Duration;

use actix_http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http_client::client::{ClientRequest, HttpClient};
use crate::ids::{InstanceId, RequestId};
use crate::ledger::target_ledger::StreamReport;
use crate::steward::orders::VersionOrder;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 4 << 20;

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
pub async fn list_streams(http: &HttpClient, address: &str) -> Option<StreamListing> {
    let url = format!("http://{address}/v1/streams");
    let request = ClientRequest::new(Method::GET, url);
    let fetched = http.fetch(request, CONTROL_TIMEOUT, MAX_RESPONSE_BYTES);
    let (_, body) = fetched
        .await
        .ok()
        .filter(|(status, _)| status.is_success())?;
    serde_json::from_slice(&body).ok()
}

/// Cancels a stream at a target. Returns whether the target confirmed; a 404 counts, as the
/// stream is gone.
pub async fn cancel_stream(http: &HttpClient, address: &str, request: RequestId) -> bool {
    let url = format!("http://{address}/v1/streams/{request}");
    let request = ClientRequest::new(Method::DELETE, url);
    let fetched = http.fetch(request, CONTROL_TIMEOUT, MAX_RESPONSE_BYTES);
    fetched
        .await
        .is_ok_and(|(status, _)| status.is_success() || status == StatusCode::NOT_FOUND)
}

/// Orders a target to run a version. Returns the response's status, or `None` without a response.
pub async fn send_order(http: &HttpClient, order: &VersionOrder) -> Option<u16> {
    let url = format!("http://{}/v1/orders", order.address);
    let body = OrderBody {
        number: order.number.0,
        version: order.version.clone(),
    };
    let request = ClientRequest::new(Method::POST, url).json(&body);
    let fetched = http.fetch(request, CONTROL_TIMEOUT, MAX_RESPONSE_BYTES);
    let (status, _) = fetched.await.ok()?;
    Some(status.as_u16())
}
