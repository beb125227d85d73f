//! The last records, kept for peers and entries that are a little behind.

use std::collections::VecDeque;

use crate::ids::Offset;
use crate::view::record::{LogEntry, RecordBody};

/// Rows and claim steps kept, over all records.
const KEPT_ITEMS: usize = 4_000;

/// The last records, bounded by what they hold.
#[derive(Debug, Default)]
pub struct RecentRecords {
    entries: VecDeque<LogEntry>,
    items: usize,
}

impl RecentRecords {
    /// Adds the next record, and drops the oldest ones over the bound. A checkpoint is
    /// kept without its state, which who follows record by record does not need.
    pub fn push(&mut self, mut entry: LogEntry) {
        if let Some(RecordBody::Checkpoint { state, .. }) =
            entry.record.as_mut().map(|record| &mut record.body)
        {
            state.clear();
        }
        self.items += item_count(&entry);
        self.entries.push_back(entry);
        while self.items > KEPT_ITEMS {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.items -= item_count(&oldest);
        }
    }

    /// Forgets all records.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// The records after `after`, if all of them are kept.
    pub fn after(&self, after: Offset) -> Option<Vec<LogEntry>> {
        let first = self.entries.front()?.offset;
        if first > after.next() {
            return None;
        }
        let newer = self.entries.iter().filter(|entry| entry.offset > after);
        Some(newer.cloned().collect())
    }
}

/// How much a record holds.
fn item_count(entry: &LogEntry) -> usize {
    let items = match entry.record.as_ref().map(|record| &record.body) {
        Some(RecordBody::Table(change)) => change.rows.len(),
        Some(RecordBody::Claims { items }) => items.len(),
        _ => 1,
    };
    items.max(1)
}
