//! Orders to targets: memory set aside for the parts of a split prompt.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Path of orders.
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
struct OrderAnswer {
    free: u64,
}

/// An order that sets `tokens` of memory aside for `lease`; sent again, it renews.
///
/// ```
/// use std::time::Duration;
/// use plantainnotch::platform::orders::encode_reserve;
/// assert!(encode_reserve("t", 60, Duration::from_secs(3)).contains("reserve"));
/// ```
pub fn encode_reserve(id: &str, tokens: u64, lease: Duration) -> String {
    encode(&OrderBody {
        operation: "reserve",
        id,
        tokens: Some(tokens),
        hold_ms: Some(lease.as_millis() as u64),
        wait: Some(false),
    })
}

/// An order that frees the memory set aside under `id`.
///
/// ```
/// use plantainnotch::platform::orders::encode_release;
/// assert!(encode_release("t").contains("release"));
/// ```
pub fn encode_release(id: &str) -> String {
    encode(&OrderBody {
        operation: "release",
        id,
        tokens: None,
        hold_ms: None,
        wait: None,
    })
}

fn encode(body: &OrderBody<'_>) -> String {
    serde_json::to_string(body).expect("an order holds only plain data")
}

/// Tokens of memory that the answer to an order says are free.
///
/// ```
/// use plantainnotch::platform::orders::decode_free;
/// assert_eq!(decode_free(br#"{"free":5}"#), Some(5));
/// ```
pub fn decode_free(body: &[u8]) -> Option<u64> {
    let answer: OrderAnswer = serde_json::from_slice(body).ok()?;
    Some(answer.free)
}
