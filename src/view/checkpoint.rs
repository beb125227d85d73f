//! Checkpoints: the whole view as one log record, so that older records can be truncated.

use std::time::Duration;

use thiserror::Error;

use super::fold::View;
use super::record::{LogEntry, LogRecord, RecordBody};
use crate::ids::Offset;

const MAX_RECORDS_BETWEEN_CHECKPOINTS: u64 = 20_000;
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(600);
const IDLE_CHECKPOINT_INTERVAL: Duration = Duration::from_secs(6 * 3600);

/// Whether a checkpoint is due, `records` after the last one's offset and `age` after it
/// was read. The last checkpoint's own record does not count as new. A checkpoint without
/// new records is still written again, before the log's retention can drop the last one.
///
/// ```
/// use std::time::Duration;
/// use plantainnotch::view::checkpoint::is_due;
/// assert!(!is_due(1, Duration::from_secs(3600)));
/// assert!(is_due(2, Duration::from_secs(3600)));
/// assert!(is_due(1, Duration::from_secs(7 * 3600)));
/// ```
pub fn is_due(records: u64, age: Duration) -> bool {
    let has_new_records = records > 1;
    records >= MAX_RECORDS_BETWEEN_CHECKPOINTS
        || (has_new_records && age >= CHECKPOINT_INTERVAL)
        || age >= IDLE_CHECKPOINT_INTERVAL
}

/// Result of decoding a checkpoint or rebuilding a view.
pub type Result<T> = std::result::Result<T, RebuildError>;

/// Why a view cannot be built from the log alone.
#[derive(Debug, Error, PartialEq)]
pub enum RebuildError {
    /// The log was truncated past the newest checkpoint, or past this view.
    #[error(
        "the log starts at {head} and no checkpoint covers the truncated records; start next to a running steward, which provides its view"
    )]
    Truncated {
        /// The first offset that the log still holds.
        head: Offset,
    },
    /// A checkpoint in the log or a peer's snapshot cannot be decoded.
    #[error(
        "checkpoint or snapshot at {at} cannot be read: {reason}; a newer release may have written it, so upgrade this VM"
    )]
    Unreadable {
        /// Offset of the checkpoint record; for a peer's snapshot, that of the own view.
        at: Offset,
        /// The decoder's error.
        reason: String,
    },
}

/// Builds a checkpoint record of the view, with a new record id.
///
/// ```
/// use plantainnotch::view::{View, checkpoint};
/// let record = checkpoint::write(&View::default());
/// assert!(matches!(record.body, plantainnotch::view::record::RecordBody::Checkpoint { .. }));
/// ```
pub fn write(view: &View) -> LogRecord {
    LogRecord::new(RecordBody::Checkpoint {
        as_of: view.offset(),
        state: encode(view),
    })
}

/// Encodes the view as bincode in base64.
pub fn encode(view: &View) -> String {
    let bytes = bincode::serde::encode_to_vec(view, bincode::config::standard())
        .expect("a view holds only plain data");
    base64::Engine::encode(&base64::engine::general_purpose::STANDARD, bytes)
}

/// Decodes a view that [`encode`] wrote; `at` is the offset that an error names.
///
/// # Errors
///
/// Fails when the text is not a view in the format of this release.
pub fn decode(at: Offset, text: &str) -> Result<View> {
    let unreadable = |reason: String| RebuildError::Unreadable { at, reason };
    let bytes = base64::Engine::decode(&base64::engine::general_purpose::STANDARD, text)
        .map_err(|error| unreadable(error.to_string()))?;
    let limits = bincode::config::standard().with_limit::<{ 64 << 20 }>();
    let (view, _) = bincode::serde::decode_from_slice(&bytes, limits)
        .map_err(|error| unreadable(error.to_string()))?;
    Ok(view)
}

/// Builds a view from all records, or from the newest usable checkpoint and the records
/// after it if the log was truncated.
///
/// # Errors
///
/// Fails when the log was truncated and no readable checkpoint covers the missing records.
pub fn rebuild(head: Offset, entries: &[LogEntry]) -> Result<View> {
    let mut view = if head <= Offset(1) {
        View::default()
    } else {
        newest_checkpoint(head, entries)?
    };
    for entry in entries {
        view.fold(entry);
    }
    Ok(view)
}

fn newest_checkpoint(head: Offset, entries: &[LogEntry]) -> Result<View> {
    let mut last_error = RebuildError::Truncated { head };
    for entry in entries.iter().rev() {
        let Some(RecordBody::Checkpoint { as_of, state }) =
            entry.record.as_ref().map(|record| &record.body)
        else {
            continue;
        };
        if as_of.next() < head {
            continue;
        }
        match decode(entry.offset, state) {
            Ok(view) => return Ok(view),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
