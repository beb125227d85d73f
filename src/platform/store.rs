//! Client of the platform's store.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use thiserror::Error;

use crate::fleet::catalog::KeyedItem;

const CALL_WITHIN: Duration = Duration::from_millis(1_500); // answers take a few ms; slow days 60 times as long
const READ_SLACK: Duration = Duration::from_millis(1_500); // beyond the time that a long read may wait
const ANSWER_LIMIT: usize = 64 << 20;
const HEADER_BYTES: usize = 16;

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No answer; a write may take effect all the same.
    #[error("the store gave no answer to {call}: {reason}; the call is made again")]
    NoAnswer {
        /// The call.
        call: &'static str,
        /// What the client met.
        reason: String,
    },
    /// The store refused the call.
    #[error("the store answered {status} to {call}; the call is made again later")]
    Refused {
        /// The call.
        call: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// The records asked for are no longer kept.
    #[error("the store no longer keeps the records asked for; read the newest of each key")]
    Expired,
    /// The answer cannot be read.
    #[error("the store's answer to {call} cannot be read: {reason}; check platform.address")]
    Unreadable {
        /// The call.
        call: &'static str,
        /// What the reader met.
        reason: String,
    },
}

/// The newest record of every key in a topic.
#[derive(Debug)]
pub struct KeyedSnapshot {
    /// One item for each key.
    pub items: Vec<KeyedItem>,
    /// Offset after the last record when the first page was read.
    pub end: u64,
}

/// Records read from an offset on.
#[derive(Debug)]
pub struct KeyedTail {
    /// The records in order.
    pub items: Vec<KeyedItem>,
    /// Offset to read from next.
    pub next: u64,
}

#[derive(Debug, Deserialize)]
struct NewestBody {
    items: Vec<NewestItem>,
    has_more: bool,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct NewestItem {
    key: String,
    value: String,
    offset: u64,
}

/// The store's address and an HTTP client.
#[derive(Clone)]
pub struct StoreClient {
    base: String,
    http: awc::Client,
}

impl StoreClient {
    /// A client of the store at `address`, an IP and port.
    pub fn new(address: &str) -> Self {
        let connector = awc::Connector::new().timeout(CALL_WITHIN);
        Self {
            base: format!("http://{address}/api"),
            http: awc::Client::builder()
                .connector(connector)
                .timeout(CALL_WITHIN)
                .disable_redirects()
                .finish(),
        }
    }

    /// Reads the newest record of each key in `topic`.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no good answer.
    pub async fn read_newest(&self, topic: &str) -> Result<KeyedSnapshot> {
        let mut items = Vec::new();
        let mut end = None;
        let mut after: Option<String> = None;
        loop {
            let mut url = format!("{}/log-newest?topic={topic}&part=0", self.base);
            if let Some(key) = &after {
                url.push_str("&after=");
                url.push_str(&encode_query(key));
            }
            let bytes = self.fetch("log-newest", &url, CALL_WITHIN).await?;
            let page: NewestBody =
                serde_json::from_slice(&bytes).map_err(|error| StoreError::Unreadable {
                    call: "log-newest",
                    reason: error.to_string(),
                })?;
            // Pages are no snapshot: reading on from the first page's end repeats what changed.
            let first_end = *end.get_or_insert(page.end);
            after = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                let value =
                    STANDARD
                        .decode(&item.value)
                        .map_err(|error| StoreError::Unreadable {
                            call: "log-newest",
                            reason: error.to_string(),
                        })?;
                items.push(KeyedItem {
                    key: item.key,
                    offset: item.offset,
                    value: Some(value),
                });
            }
            if !page.has_more || after.is_none() {
                return Ok(KeyedSnapshot {
                    items,
                    end: first_end,
                });
            }
        }
    }

    /// Reads records from `from` on, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no good answer, or no longer keeps the records.
    pub async fn read_tail(&self, topic: &str, from: u64, wait: Duration) -> Result<KeyedTail> {
        let url = format!(
            "{}/log-read?topic={topic}&part=0&from={from}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        let bytes = self.fetch("log-read", &url, wait + READ_SLACK).await?;
        decode_tail(&bytes, from)
    }

    /// Writes `value` as the newest record of `key` in `topic`.
    ///
    /// # Errors
    ///
    /// Fails when no good answer comes; the record may stand all the same.
    pub async fn write_keyed(&self, topic: &str, key: &str, value: &[u8]) -> Result<()> {
        let url = format!("{}/log-append?topic={topic}&part=0", self.base);
        let body = encode_keyed(key, value);
        let answer = self.http.post(url).send_body(body).await;
        let answer = answer.map_err(|error| no_answer("log-append", &error))?;
        check_status("log-append", answer.status().as_u16())
    }

    async fn fetch(&self, call: &'static str, url: &str, within: Duration) -> Result<Vec<u8>> {
        let request = self.http.get(url).timeout(within);
        let read = async {
            let mut answer = request
                .send()
                .await
                .map_err(|error| no_answer(call, &error))?;
            check_status(call, answer.status().as_u16())?;
            let bytes = answer.body().limit(ANSWER_LIMIT).await;
            bytes
                .map(|bytes| bytes.to_vec())
                .map_err(|error| no_answer(call, &error))
        };
        // The client's own time-out ends with the head of the answer.
        tokio::time::timeout(within, read)
            .await
            .map_err(|error| no_answer(call, &error))?
    }
}

fn no_answer(call: &'static str, error: &dyn std::fmt::Display) -> StoreError {
    StoreError::NoAnswer {
        call,
        reason: error.to_string(),
    }
}

fn check_status(call: &'static str, status: u16) -> Result<()> {
    match status {
        200..=299 => Ok(()),
        410 => Err(StoreError::Expired),
        _ => Err(StoreError::Refused { call, status }),
    }
}

fn encode_query(text: &str) -> String {
    text.bytes().fold(String::new(), |mut out, byte| {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
        out
    })
}

/// Encodes one keyed record: its length, the key's length, the key, the value.
///
/// ```
/// use plantainnotch::platform::store::encode_keyed;
/// assert_eq!(encode_keyed("k", b"v"), b"\0\0\0\x03\x01kv");
/// ```
pub fn encode_keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let key = &key.as_bytes()[..key.len().min(usize::from(u8::MAX))];
    let length = 1 + key.len() + value.len();
    let mut out = Vec::with_capacity(4 + length);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    out.push(key.len() as u8);
    out.extend_from_slice(key);
    out.extend_from_slice(value);
    out
}

/// Decodes the answer to a read from offset `from` on.
///
/// # Errors
///
/// Fails when the bytes do not hold whole records.
///
/// ```
/// use plantainnotch::platform::store::{decode_tail, encode_keyed};
/// let mut bytes = vec![0; 16];
/// bytes.extend(encode_keyed("k", b"v"));
/// assert_eq!(decode_tail(&bytes, 7).unwrap().next, 8);
/// ```
pub fn decode_tail(bytes: &[u8], from: u64) -> Result<KeyedTail> {
    let unreadable = |reason: &str| StoreError::Unreadable {
        call: "log-read",
        reason: reason.to_owned(),
    };
    if bytes.len() < HEADER_BYTES {
        return Err(unreadable("shorter than its header"));
    }
    let mut rest = &bytes[HEADER_BYTES..];
    let mut tail = KeyedTail {
        items: Vec::new(),
        next: from,
    };
    while !rest.is_empty() {
        let (length, body) = rest
            .split_first_chunk::<4>()
            .ok_or_else(|| unreadable("ends inside a length"))?;
        let length = u32::from_be_bytes(*length) as usize;
        if body.len() < length {
            return Err(unreadable("ends inside a record"));
        }
        let (record, after) = body.split_at(length);
        rest = after;
        let offset = tail.next;
        tail.next += 1;
        let Some((&key_length, record)) = record.split_first() else {
            continue;
        };
        let Some((key, value)) = record.split_at_checked(usize::from(key_length)) else {
            continue;
        };
        let Ok(key) = std::str::from_utf8(key) else {
            continue;
        };
        tail.items.push(KeyedItem {
            key: key.to_owned(),
            offset,
            value: (!value.is_empty()).then(|| value.to_vec()),
        });
    }
    Ok(tail)
}
