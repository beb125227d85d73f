//! HTTP client of the platform's store, a log of keyed topics.

use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderValue;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

use crate::clock::TimeSource;
use crate::fleet::feed::{KeyedItem, LogPosition, TopicSnapshot};
use crate::http_client::client::{ClientOptions, ClientRequest, HttpClient};

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500); // responses take a few ms, 60 times as long on slow days
const BODY_TIMEOUT: Duration = Duration::from_secs(5); // a page of 1 MiB takes half a second on the smallest link
const MAX_RESPONSE_BYTES: usize = 8 << 20; // the store sends at most 1 MiB of records at a time, a third more in base64
const READ_HEADER_BYTES: usize = 16; // the topic's end and first offset, not used here
const ERA_HEADER: &str = "store-era";

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Error of a call to the store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No response arrived; a write may have taken effect.
    #[error("no response from the store to {call}: {reason}; the call is retried")]
    NoResponse {
        /// Name of the call, as in its path.
        call: &'static str,
        /// Error of the HTTP client.
        reason: String,
    },
    /// The store responded with a status other than success.
    #[error("the store responded {status} to {call}; the call is retried later")]
    Refused {
        /// Name of the call, as in its path.
        call: &'static str,
        /// HTTP status code.
        status: u16,
    },
    /// The requested records have been removed from the log, or lost in an earlier era.
    #[error("the store no longer has the requested records; read the newest of each key")]
    Expired,
    /// The response is of an earlier era than records that are known.
    #[error("the response to {call} is of era {era}, before era {known}; the call is retried")]
    Outdated {
        /// Name of the call, as in its path.
        call: &'static str,
        /// Era that the response names.
        era: u64,
        /// Era that is known.
        known: u64,
    },
    /// The response cannot be decoded.
    #[error("the store's response to {call} cannot be decoded: {reason}; check platform.address")]
    Unreadable {
        /// Name of the call, as in its path.
        call: &'static str,
        /// Error of the decoder.
        reason: String,
    },
}

/// Records read after a given position.
#[derive(Debug)]
pub struct RecordsAfter {
    /// The records in the order of their offsets; malformed ones are left out.
    pub items: Vec<KeyedItem>,
    /// Position after which to read next.
    pub end: LogPosition,
}

/// A response's body, and the era of the store that answered: how often it came back from an older
/// copy.
struct StoreResponse {
    era: u64,
    body: Vec<u8>,
}

#[derive(Debug, Deserialize)]
struct NewestPage<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    has_more: bool,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct NewestItem {
    key: String,
    value: String,
    offset: u64,
}

/// Client of the store at one address.
#[derive(Clone)]
pub struct StoreClient {
    base: String,
    http: HttpClient,
}

impl StoreClient {
    /// Creates a client of the store at `address`, given as `IP:PORT`.
    pub fn new(address: &str, clock: TimeSource) -> Self {
        let options = ClientOptions {
            connect_timeout: CALL_TIMEOUT,
            ..ClientOptions::default()
        };
        Self {
            base: format!("http://{address}/api"),
            http: HttpClient::new(options, clock),
        }
    }

    /// Reads the newest record of each key in `topic`.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond, refuses the call, sends a malformed page, or answers
    /// from an earlier era than `known_era`.
    pub async fn read_newest(&self, topic: &str, known_era: u64) -> Result<TopicSnapshot> {
        let mut items = Vec::new();
        let mut end: Option<LogPosition> = None;
        let mut last_key: Option<String> = None;
        loop {
            let mut url = format!("{}/log-newest?topic={topic}&part=0", self.base);
            if let Some(key) = &last_key {
                url.push_str("&after=");
                url.push_str(&percent_encode(key));
            }
            let response = self
                .fetch("log-newest", &url, Duration::ZERO, CALL_TIMEOUT)
                .await?;
            let page = decode_newest_page(&response.body)?;
            let era = response.era;
            check_era("log-newest", era, known_era)?;
            // The topic may change between pages. A reader that continues at the end offset of
            // the first page reads those changes again and misses none.
            let snapshot_end = *end.get_or_insert(LogPosition {
                era,
                next_offset: page.end,
            });
            if snapshot_end.era != era {
                return Err(StoreError::Expired);
            }
            last_key = page.records.last().map(|record| record.key.clone());
            items.extend(page.records.into_iter().map(|record| KeyedItem {
                key: record.key,
                position: LogPosition::after(era, record.offset),
                value: Some(record.value),
                lapsed: false,
                carried_over: false,
            }));
            if !page.has_more || last_key.is_none() {
                return Ok(TopicSnapshot {
                    items,
                    end: snapshot_end,
                });
            }
        }
    }

    /// Reads the records after a position, waiting up to `wait` for the first one and up to
    /// `answer_time` longer for the response, and as long for each part of its body.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond, refuses the call, sends malformed records, no longer
    /// has the requested ones, or answers from another era than that of the position.
    pub async fn read_after(
        &self,
        topic: &str,
        after: LogPosition,
        wait: Duration,
        answer_time: Duration,
    ) -> Result<RecordsAfter> {
        let url = format!(
            "{}/log-read?topic={topic}&part=0&from={}&wait_ms={}",
            self.base,
            after.next_offset,
            wait.as_millis()
        );
        let response = self.fetch("log-read", &url, wait, answer_time).await?;
        check_era("log-read", response.era, after.era)?;
        if response.era > after.era {
            return Err(StoreError::Expired);
        }
        decode_records_after(&response.body, after)
    }

    /// Appends `value` to `topic` as the newest record of `key`.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond or refuses the call; without a response, the record
    /// may have been written.
    pub async fn append_item(&self, topic: &str, key: &str, value: &[u8]) -> Result<()> {
        let url = format!("{}/log-append?topic={topic}&part=0", self.base);
        let request = ClientRequest::new(Method::POST, url).body(encode_item(key, value));
        let sent = within("log-append", CALL_TIMEOUT, self.http.send(request)).await?;
        let response = sent.map_err(|error| no_response("log-append", &error))?;
        check_status("log-append", response.status().as_u16())
    }

    async fn fetch(
        &self,
        call: &'static str,
        url: &str,
        wait: Duration,
        answer_time: Duration,
    ) -> Result<StoreResponse> {
        let head_timeout = wait + answer_time;
        let request = ClientRequest::new(Method::GET, url);
        let response = within(call, head_timeout, self.http.send(request)).await?;
        let mut response = response.map_err(|error| no_response(call, &error))?;
        check_status(call, response.status().as_u16())?;
        let era = decode_era(call, response.header(ERA_HEADER))?;
        let read_body = async {
            let mut body = Vec::new();
            loop {
                let chunk = within(call, answer_time, response.next_chunk()).await?;
                let Some(chunk) = chunk.map_err(|error| no_response(call, &error))? else {
                    break;
                };
                if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                    return Err(no_response(call, &"the response is too large"));
                }
                body.extend_from_slice(&chunk);
            }
            response.release();
            Ok(body)
        };
        let body = within(call, BODY_TIMEOUT, read_body).await??;
        Ok(StoreResponse { era, body })
    }
}

/// A page of the newest records of a topic.
#[derive(Debug, PartialEq)]
pub struct NewestRecords {
    /// The records in the order of their keys; malformed ones are left out.
    pub records: Vec<NewestRecord>,
    /// Whether further keys follow.
    pub has_more: bool,
    /// Offset after the topic's last record.
    pub end: u64,
}

/// The newest record of a key.
#[derive(Debug, PartialEq)]
pub struct NewestRecord {
    /// Its key.
    pub key: String,
    /// Its value as the writer encoded it.
    pub value: Vec<u8>,
    /// Its offset in the topic.
    pub offset: u64,
}

/// Decodes a page of the newest records of a topic. Anyone may have written a key that JSON does not
/// represent, so that bytes which are not UTF-8 are replaced and malformed records left out.
///
/// # Errors
///
/// Fails when the bytes are not JSON with the fields of a page, or a page that others follow has no
/// record.
///
/// ```
/// use plantainnotch::platform::store::decode_newest_page;
/// let body = br#"{"items":[{"key":"a","value":"eA==","offset":3},{"key":7}],"has_more":false,"end":9}"#;
/// let page = decode_newest_page(body).unwrap();
/// assert_eq!((page.records.len(), page.records[0].value.as_slice()), (1, &b"x"[..]));
/// ```
pub fn decode_newest_page(body: &[u8]) -> Result<NewestRecords> {
    let text = String::from_utf8_lossy(body);
    let page: NewestPage<'_> =
        serde_json::from_str(&text).map_err(|error| StoreError::Unreadable {
            call: "log-newest",
            reason: error.to_string(),
        })?;
    let decode = |item: &RawValue| {
        let item: NewestItem = serde_json::from_str(item.get()).ok()?;
        let value = STANDARD.decode(&item.value).ok()?;
        Some(NewestRecord {
            key: item.key,
            value,
            offset: item.offset,
        })
    };
    let records: Vec<NewestRecord> = page.items.iter().filter_map(|item| decode(item)).collect();
    let left_out = page.items.len() - records.len();
    if left_out > 0 {
        tracing::warn!(
            left_out,
            "malformed records of the store ignored; remove them"
        );
    }
    if records.is_empty() && page.has_more {
        // The next page is asked for by the last key of this one.
        return Err(StoreError::Unreadable {
            call: "log-newest",
            reason: "no record on a page that others follow".to_owned(),
        });
    }
    Ok(NewestRecords {
        records,
        has_more: page.has_more,
        end: page.end,
    })
}

/// Decodes the era that a response names; a store that names none never came back older.
fn decode_era(call: &'static str, header: Option<&HeaderValue>) -> Result<u64> {
    let Some(value) = header else {
        return Ok(0);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .ok_or_else(|| StoreError::Unreadable {
            call,
            reason: format!("{ERA_HEADER} is no number: {value:?}"),
        })
}

/// Waits for a part of an exchange with the store.
async fn within<T>(
    call: &'static str,
    time_limit: Duration,
    part: impl Future<Output = T>,
) -> Result<T> {
    tokio::time::timeout(time_limit, part)
        .await
        .map_err(|error| no_response(call, &error))
}

fn no_response(call: &'static str, error: &dyn std::fmt::Display) -> StoreError {
    StoreError::NoResponse {
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

fn check_era(call: &'static str, era: u64, known: u64) -> Result<()> {
    if era < known {
        return Err(StoreError::Outdated { call, era, known });
    }
    Ok(())
}

fn percent_encode(text: &str) -> String {
    text.bytes().fold(String::new(), |mut encoded, byte| {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
        encoded
    })
}

/// Encodes one record: its length, the key's length, the key and the value.
///
/// Keys are cut off after 255 bytes.
///
/// ```
/// use plantainnotch::platform::store::encode_item;
/// assert_eq!(encode_item("k", b"v"), b"\0\0\0\x03\x01kv");
/// ```
pub fn encode_item(key: &str, value: &[u8]) -> Vec<u8> {
    let key = &key.as_bytes()[..key.len().min(usize::from(u8::MAX))];
    let length = 1 + key.len() + value.len();
    let mut encoded = Vec::with_capacity(4 + length);
    encoded.extend_from_slice(&(length as u32).to_be_bytes());
    encoded.push(key.len() as u8);
    encoded.extend_from_slice(key);
    encoded.extend_from_slice(value);
    encoded
}

/// Decodes the response to a read of the records after a position.
///
/// # Errors
///
/// Fails when the bytes end inside the header or a record.
///
/// ```
/// use plantainnotch::fleet::feed::LogPosition;
/// use plantainnotch::platform::store::{decode_records_after, encode_item};
/// let mut bytes = vec![0; 16];
/// bytes.extend(encode_item("k", b"v"));
/// let records = decode_records_after(&bytes, LogPosition::after(2, 6)).unwrap();
/// assert_eq!(records.end, LogPosition::after(2, 7));
/// ```
pub fn decode_records_after(bytes: &[u8], after: LogPosition) -> Result<RecordsAfter> {
    let unreadable = |reason: &str| StoreError::Unreadable {
        call: "log-read",
        reason: reason.to_owned(),
    };
    if bytes.len() < READ_HEADER_BYTES {
        return Err(unreadable("shorter than its header"));
    }
    let mut rest = &bytes[READ_HEADER_BYTES..];
    let mut records = RecordsAfter {
        items: Vec::new(),
        end: after,
    };
    while !rest.is_empty() {
        let (length, body) = rest
            .split_first_chunk::<4>()
            .ok_or_else(|| unreadable("ends inside a length"))?;
        let length = u32::from_be_bytes(*length) as usize;
        if body.len() < length {
            return Err(unreadable("ends inside a record"));
        }
        let (record, following) = body.split_at(length);
        rest = following;
        records.end.next_offset += 1;
        let Some((&key_length, record)) = record.split_first() else {
            continue;
        };
        let Some((key, value)) = record.split_at_checked(usize::from(key_length)) else {
            continue;
        };
        let Ok(key) = std::str::from_utf8(key) else {
            continue;
        };
        records.items.push(KeyedItem {
            key: key.to_owned(),
            position: records.end,
            value: (!value.is_empty()).then(|| value.to_vec()),
            lapsed: false,
            carried_over: false,
        });
    }
    Ok(records)
}
