//! Client of the platform's append-only log.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::Offset;
use crate::view::record::{LogEntry, LogRecord};

const APPEND_WITHIN: Duration = Duration::from_secs(2);
const READ_WITHIN: Duration = Duration::from_secs(10);
const ANSWER_LIMIT: usize = 64 << 20;

/// Records that one read returns at most.
pub const READ_BATCH: usize = 500;

/// Result of a call to the log.
pub type Result<T> = std::result::Result<T, LogError>;

/// Why a call to the log failed.
#[derive(Debug, Error)]
pub enum LogError {
    /// No answer. An append may have taken effect all the same.
    #[error("the log at {url} gave no answer: {reason}; retry, and check --platform")]
    NoAnswer {
        /// The log's address.
        url: String,
        /// What the client met.
        reason: String,
    },
    /// The log refused the call.
    #[error("the log at {url} answered {status}; retry, and check the platform's own state")]
    Refused {
        /// The log's address.
        url: String,
        /// HTTP status.
        status: u16,
    },
    /// The answer cannot be read.
    #[error("the answer of the log at {url} cannot be read: {reason}; check --platform")]
    Unreadable {
        /// The log's address.
        url: String,
        /// What the reader met.
        reason: String,
    },
}

/// One stored record as the platform returns it.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its position.
    pub offset: u64,
    /// When it was taken, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The text appended.
    pub text: String,
}

impl StoredRecord {
    /// Reads the record; text that is not one of ours keeps its place without effect.
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

/// The platform's answer to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// The first offset that is still kept.
    pub head: u64,
    /// The last offset taken.
    pub end: u64,
    /// The records.
    pub records: Vec<StoredRecord>,
}

/// The body of an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendBody {
    /// The texts to append, in order.
    pub records: Vec<String>,
}

/// What a read found.
#[derive(Debug, Clone, PartialEq)]
pub struct LogRead {
    /// The first offset that is still kept.
    pub head: Offset,
    /// The last offset taken.
    pub end: Offset,
    /// The records asked for, as many as fit one read.
    pub entries: Vec<LogEntry>,
}

/// The log's address and an HTTP client.
#[derive(Clone)]
pub struct LogClient {
    url: String,
    http: awc::Client,
}

impl LogClient {
    /// A client of the log at `platform`, a URL without path.
    pub fn new(platform: &str) -> Self {
        Self {
            url: format!("{}/v1/log/records", platform.trim_end_matches('/')),
            http: awc::Client::builder().timeout(READ_WITHIN).finish(),
        }
    }

    /// Appends records. Success is known only by reading them back.
    ///
    /// # Errors
    ///
    /// Fails when no good answer comes; the records may stand in the log all the same.
    pub async fn append(&self, records: &[LogRecord]) -> Result<()> {
        let texts = records
            .iter()
            .map(|record| serde_json::to_string(record).expect("a record holds only plain data"));
        let body = AppendBody {
            records: texts.collect(),
        };
        let request = self.http.post(&self.url).timeout(APPEND_WITHIN);
        let answer = request.send_json(&body).await;
        let answer = answer.map_err(|error| self.no_answer(&error))?;
        self.check_status(answer.status().as_u16())
    }

    /// Reads records after an offset.
    ///
    /// # Errors
    ///
    /// Fails when no good answer comes.
    pub async fn read(&self, after: Offset) -> Result<LogRead> {
        let url = format!("{}?from={}&limit={READ_BATCH}", self.url, after.next());
        let answer = self.http.get(url).send().await;
        let mut answer = answer.map_err(|error| self.no_answer(&error))?;
        self.check_status(answer.status().as_u16())?;
        let body: ReadAnswer =
            answer
                .json()
                .limit(ANSWER_LIMIT)
                .await
                .map_err(|error| LogError::Unreadable {
                    url: self.url.clone(),
                    reason: error.to_string(),
                })?;
        Ok(LogRead {
            head: Offset(body.head),
            end: Offset(body.end),
            entries: body.records.iter().map(StoredRecord::parse).collect(),
        })
    }

    /// Reads everything that the log still has.
    ///
    /// # Errors
    ///
    /// Fails when no good answer comes.
    pub async fn read_all(&self) -> Result<LogRead> {
        let mut all = self.read(Offset(0)).await?;
        while let Some(last) = all.entries.last().map(|entry| entry.offset) {
            if last >= all.end {
                break;
            }
            let more = self.read(last).await?;
            if more.entries.is_empty() {
                break;
            }
            all.end = more.end;
            all.entries.extend(more.entries);
        }
        Ok(all)
    }

    fn no_answer(&self, error: &dyn std::fmt::Display) -> LogError {
        LogError::NoAnswer {
            url: self.url.clone(),
            reason: error.to_string(),
        }
    }

    fn check_status(&self, status: u16) -> Result<()> {
        if (200..300).contains(&status) {
            return Ok(());
        }
        Err(LogError::Refused {
            url: self.url.clone(),
            status,
        })
    }
}
