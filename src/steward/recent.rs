//! Cache of the last log records, for peers and entries that are slightly behind.

use std::collections::VecDeque;

use crate::ids::Offset;
use crate::view::record::{LogEntry, RecordBody};

/// Most rows and claim events kept, over all records.
const MAX_KEPT_ITEMS: usize = 4_000;

/// The last records, limited by the number of items in them.
#[derive(Debug, Default)]
pub struct RecentRecords {
    entries: VecDeque<LogEntry>,
    total_items: usize,
}

impl RecentRecords {
    /// Adds the next record, and drops the oldest ones over the limit. A checkpoint is
    /// kept without its state, because a reader that folds every record does not need it.
    pub fn push(&mut self, mut entry: LogEntry) {
        if let Some(RecordBody::Checkpoint { state, .. }) =
            entry.record.as_mut().map(|record| &mut record.body)
        {
            state.clear();
        }
        self.total_items += item_count(&entry);
        self.entries.push_back(entry);
        while self.total_items > MAX_KEPT_ITEMS {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.total_items -= item_count(&oldest);
        }
    }

    /// Drops all records.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// The records after offset `after`, if all of them are still cached.
    pub fn after(&self, after: Offset) -> Option<Vec<LogEntry>> {
        let first = self.entries.front()?.offset;
        if first > after.next() {
            return None;
        }
        let newer = self.entries.iter().filter(|entry| entry.offset > after);
        Some(newer.cloned().collect())
    }
}

/// Number of rows or claim events in a record, at least 1.
fn item_count(entry: &LogEntry) -> usize {
    let items = match entry.record.as_ref().map(|record| &record.body) {
        Some(RecordBody::Table(change)) => change.rows.len(),
        Some(RecordBody::Claims { items }) => items.len(),
        _ => 1,
    };
    items.max(1)
}
