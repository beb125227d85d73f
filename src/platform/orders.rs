//! Orders to targets, by which nodes reserve and release memory for the parts of a split prompt, and the
//! reports of targets on their state.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Path at which a target reports its state, at once and to anyone.
pub const REPORT_PATH: &str = "/api/report";
/// Path of the endpoint at which a target takes orders to reserve or release its memory.
pub const ORDER_PATH: &str = "/api/order";

#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    operation: &'static str,
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    tokens: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    hold_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait: Option<bool>,
}

#[derive(Debug, Deserialize)]
struct OrderResponse {
    free: u64,
}

#[derive(Debug, Deserialize)]
struct ReportResponse {
    pace: Option<f64>,
}

/// Encodes an order that reserves memory for `tokens`, under the reservation id `id`, for
/// `lease_time`.
///
/// The same order sent again renews the lease.
///
/// ```
/// use std::time::Duration;
/// use plantainnotch::platform::orders::encode_memory_reserve;
/// assert!(encode_memory_reserve("t", 60, Duration::from_secs(3)).contains("reserve"));
/// ```
pub fn encode_memory_reserve(id: &str, tokens: u64, lease_time: Duration) -> String {
    encode(&OrderBody {
        operation: "reserve",
        id,
        tokens: Some(tokens),
        hold_ms: Some(lease_time.as_millis() as u64),
        wait: Some(false), // refuse at once when memory is short; true would wait
    })
}

/// Encodes an order that releases the memory reserved under the reservation id `id`.
///
/// ```
/// use plantainnotch::platform::orders::encode_memory_release;
/// assert!(encode_memory_release("t").contains("release"));
/// ```
pub fn encode_memory_release(id: &str) -> String {
    encode(&OrderBody {
        operation: "release",
        id,
        tokens: None,
        hold_ms: None,
        wait: None,
    })
}

fn encode(body: &OrderBody<'_>) -> String {
    serde_json::to_string(body).expect("strings and numbers serialize to JSON")
}

/// Decodes the number of tokens for which the target has memory free.
///
/// ```
/// use plantainnotch::platform::orders::decode_free_tokens;
/// assert_eq!(decode_free_tokens(br#"{"free":5}"#), Some(5));
/// ```
pub fn decode_free_tokens(body: &[u8]) -> Option<u64> {
    let response: OrderResponse = serde_json::from_slice(body).ok()?;
    Some(response.free)
}

/// Decodes the pace that an engine reports: over 1 if it takes longer than its service declares.
///
/// Returns `None` if the report has no pace, or one that is no finite number above 0.
///
/// ```
/// use plantainnotch::platform::orders::decode_reported_pace;
/// assert_eq!(decode_reported_pace(br#"{"running":3,"pace":1.5}"#), Some(1.5));
/// assert_eq!(decode_reported_pace(br#"{"running":3}"#), None);
/// ```
pub fn decode_reported_pace(body: &[u8]) -> Option<f64> {
    let response: ReportResponse = serde_json::from_slice(body).ok()?;
    response.pace.filter(|pace| pace.is_finite() && *pace > 0.0)
}
