//! Checkpoints: the whole view as a record, so that the log's head may be cut.

use std::time::Duration;

use thiserror::Error;

use super::fold::View;
use super::record::{LogEntry, LogRecord, RecordBody};
use crate::ids::Offset;

const CHECKPOINT_RECORDS: u64 = 20_000;
const CHECKPOINT_AFTER: Duration = Duration::from_secs(600);
const CHECKPOINT_AT_LEAST: Duration = Duration::from_secs(6 * 3600);

/// Whether a checkpoint is due, `records` after the last one's offset and `age` after it
/// was seen. The checkpoint's own record does not count as news; even without news it is
/// written again before the log's retention can take it.
///
/// ```
/// use std::time::Duration;
/// use plantainnotch::view::checkpoint::is_due;
/// assert!(!is_due(1, Duration::from_secs(3600)));
/// assert!(is_due(2, Duration::from_secs(3600)));
/// assert!(is_due(1, Duration::from_secs(7 * 3600)));
/// ```
pub fn is_due(records: u64, age: Duration) -> bool {
    let news = records > 1;
    records >= CHECKPOINT_RECORDS || (news && age >= CHECKPOINT_AFTER) || age >= CHECKPOINT_AT_LEAST
}

/// Result of building a view.
pub type Result<T> = std::result::Result<T, RebuildError>;

/// Why a view cannot be built from the log alone.
#[derive(Debug, Error, PartialEq)]
pub enum RebuildError {
    /// The records between the newest checkpoint and the log's head are gone.
    #[error(
        "the log starts at {head} and no checkpoint covers what was cut; start beside a running steward, which hands over its view"
    )]
    HeadCut {
        /// The first offset that the log still has.
        head: Offset,
    },
    /// A checkpoint cannot be read.
    #[error(
        "checkpoint at {at} cannot be read: {reason}; a newer release may have written it, so upgrade this VM"
    )]
    Unreadable {
        /// Its offset.
        at: Offset,
        /// What the reader met.
        reason: String,
    },
}

/// Writes the view as a checkpoint record.
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

/// The view as text.
pub fn encode(view: &View) -> String {
    let bytes = bincode::serde::encode_to_vec(view, bincode::config::standard())
        .expect("a view holds only plain data");
    base64::Engine::encode(&base64::engine::general_purpose::STANDARD, bytes)
}

/// Reads a view back from text.
///
/// # Errors
///
/// Fails when the text is not a view of this release.
pub fn decode(at: Offset, text: &str) -> Result<View> {
    let unreadable = |reason: String| RebuildError::Unreadable { at, reason };
    let bytes = base64::Engine::decode(&base64::engine::general_purpose::STANDARD, text)
        .map_err(|error| unreadable(error.to_string()))?;
    let limits = bincode::config::standard().with_limit::<{ 64 << 20 }>();
    let (view, _) = bincode::serde::decode_from_slice(&bytes, limits)
        .map_err(|error| unreadable(error.to_string()))?;
    Ok(view)
}

/// Builds a view from all the records that the log still has.
///
/// # Errors
///
/// Fails when records are missing that no checkpoint covers.
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
    let mut reason = RebuildError::HeadCut { head };
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
            Err(error) => reason = error,
        }
    }
    Err(reason)
}
