//! Client of the platform's append-only log.

use std::time::Duration;

use actix_http::Method;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::TimeSource;
use crate::http_client::client::{ClientOptions, ClientRequest, HttpClient};
use crate::ids::Offset;
use crate::view::record::{LogEntry, LogRecord};

const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Most records that one read returns.
pub const READ_BATCH: usize = 500;

/// Result of a call to the log.
pub type Result<T> = std::result::Result<T, LogError>;

/// Why a call to the log failed.
#[derive(Debug, Error)]
pub enum LogError {
    /// No response came. An append may have taken effect nevertheless.
    #[error("the log at {url} did not respond: {reason}; retry, and check --platform")]
    NoResponse {
        /// URL of the log.
        url: String,
        /// Error of the HTTP client.
        reason: String,
    },
    /// The log responded with a status that is not a success.
    #[error(
        "the log at {url} responded with status {status}; retry, and check the platform's own state"
    )]
    BadStatus {
        /// URL of the log.
        url: String,
        /// HTTP status of the response.
        status: u16,
    },
    /// The body of the response cannot be decoded.
    #[error("the response of the log at {url} cannot be decoded: {reason}; check --platform")]
    Unreadable {
        /// URL of the log.
        url: String,
        /// Error of the decoder.
        reason: String,
    },
}

/// One record as the platform returns it.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Position in the log, from 1 on and without gaps.
    pub offset: u64,
    /// When the platform appended it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The text that was appended; JSON if it is a record of this system.
    pub text: String,
}

impl StoredRecord {
    /// Parses the text; one that is not a record becomes a [`LogEntry`] without a record, so that
    /// offsets stay without gaps.
    ///
    /// ```
    /// use plantainnotch::logstore::log::StoredRecord;
    /// let stored = StoredRecord { offset: 1, at_ms: 0, text: "not ours".into() };
    /// assert!(stored.parse().record.is_none());
    /// ```
    pub fn parse(&self) -> LogEntry {
        LogEntry {
            offset: Offset(self.offset),
            at_ms: self.at_ms,
            record: serde_json::from_str::<LogRecord>(&self.text).ok(),
        }
    }
}

/// Body of the platform's response to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// The first offset that the log still holds.
    pub head: u64,
    /// The last offset in the log.
    pub end: u64,
    /// The records read, in offset order.
    pub records: Vec<StoredRecord>,
}

/// Body of an append request.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendBody {
    /// The texts to append, in order.
    pub records: Vec<String>,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq)]
pub struct LogRead {
    /// The first offset that the log still holds.
    pub head: Offset,
    /// The last offset in the log.
    pub end: Offset,
    /// The records after the requested offset: up to [`READ_BATCH`] from [`LogClient::read`],
    /// all of them from [`LogClient::read_all`].
    pub entries: Vec<LogEntry>,
}

/// HTTP client of the log.
#[derive(Clone)]
pub struct LogClient {
    url: String,
    http: HttpClient,
}

impl LogClient {
    /// Creates a client; `platform` is a URL without path.
    pub fn new(platform: &str, clock: TimeSource) -> Self {
        Self {
            url: format!("{}/v1/log/records", platform.trim_end_matches('/')),
            http: HttpClient::new(ClientOptions::default(), clock),
        }
    }

    /// Appends records. Only reading them back shows whether they are in the log.
    ///
    /// # Errors
    ///
    /// Fails without a successful response; the records may be in the log nevertheless.
    pub async fn append(&self, records: &[LogRecord]) -> Result<()> {
        let texts = records
            .iter()
            .map(|record| serde_json::to_string(record).expect("a record holds only plain data"));
        let body = AppendBody {
            records: texts.collect(),
        };
        let request = ClientRequest::new(Method::POST, &self.url).json(&body);
        let fetched = self.http.fetch(request, APPEND_TIMEOUT, MAX_RESPONSE_BYTES);
        let (status, _) = fetched.await.map_err(|error| self.no_response(&error))?;
        self.check_status(status.as_u16())
    }

    /// Reads up to [`READ_BATCH`] records after an offset.
    ///
    /// # Errors
    ///
    /// Fails without a successful response that can be decoded.
    pub async fn read(&self, after: Offset) -> Result<LogRead> {
        let url = format!("{}?from={}&limit={READ_BATCH}", self.url, after.next());
        let request = ClientRequest::new(Method::GET, url);
        let fetched = self.http.fetch(request, READ_TIMEOUT, MAX_RESPONSE_BYTES);
        let (status, body) = fetched.await.map_err(|error| self.no_response(&error))?;
        self.check_status(status.as_u16())?;
        let body: ReadResponse =
            serde_json::from_slice(&body).map_err(|error| LogError::Unreadable {
                url: self.url.clone(),
                reason: error.to_string(),
            })?;
        Ok(LogRead {
            head: Offset(body.head),
            end: Offset(body.end),
            entries: body.records.iter().map(StoredRecord::parse).collect(),
        })
    }

    /// Reads all records that the log still holds, in batches.
    ///
    /// # Errors
    ///
    /// Fails when one of the reads fails.
    pub async fn read_all(&self) -> Result<LogRead> {
        let mut all = self.read(Offset(0)).await?;
        while let Some(last) = all.entries.last().map(|entry| entry.offset) {
            if last >= all.end {
                break;
            }
            let batch = self.read(last).await?;
            if batch.entries.is_empty() {
                break;
            }
            all.end = batch.end;
            all.entries.extend(batch.entries);
        }
        Ok(all)
    }

    fn no_response(&self, error: &dyn std::fmt::Display) -> LogError {
        LogError::NoResponse {
            url: self.url.clone(),
            reason: error.to_string(),
        }
    }

    fn check_status(&self, status: u16) -> Result<()> {
        if (200..300).contains(&status) {
            return Ok(());
        }
        Err(LogError::BadStatus {
            url: self.url.clone(),
            status,
        })
    }
}
