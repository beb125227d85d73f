//! Records of the store's keyed topics, ordered by position, for relaying to peers.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Place in a topic's order of records: by the store's era, then by offset. A position stands after
/// the record at that offset, and before all records of the topic if it counts none.
///
/// The store may come back from an older copy. It gives offsets out again then, in a later era.
///
/// ```
/// use plantainnotch::fleet::feed::LogPosition;
/// assert!(LogPosition::after(1, 900) < LogPosition::after(2, 3));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// How often the store came back from an older copy.
    pub era: u64,
    /// Offset of the next record.
    pub next_offset: u64,
}

impl LogPosition {
    /// Position of the record at `offset`.
    pub fn after(era: u64, offset: u64) -> Self {
        Self {
            era,
            next_offset: offset.saturating_add(1),
        }
    }
}

/// A record of a keyed topic before it is decoded; one without a value is a tombstone for its key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyedItem {
    /// Key, unique among the live records of the topic.
    pub key: String,
    /// Position in the topic; higher is newer.
    pub position: LogPosition,
    /// Value as the platform encodes it; `None` for a tombstone.
    pub value: Option<Vec<u8>>,
    /// Whether a tombstone was read during a store outage or just after, when the records of live
    /// targets expire.
    pub lapsed: bool,
    /// Whether the key was not written in the position's era: the record is of the copy that the
    /// store came back from, or of an earlier era.
    pub carried_over: bool,
}

/// All records of a topic that the store, or a peer, has at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TopicSnapshot {
    /// One item per key. Those of the store have no tombstones.
    pub items: Vec<KeyedItem>,
    /// Position of the topic's last record.
    pub end: LogPosition,
}

/// Newest stored record of each key, tombstones included, for relaying to peers.
#[derive(Debug, Default)]
pub struct CompactedFeed {
    items: BTreeMap<String, KeyedItem>,
    end: LogPosition,
}

impl CompactedFeed {
    /// Position of the newest record of the feed.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// The feed's record of `key`.
    pub fn item(&self, key: &str) -> Option<&KeyedItem> {
        self.items.get(key)
    }

    /// Whether `item` is newer than the feed's record of the same key, and not of an earlier era.
    pub fn is_newer(&self, item: &KeyedItem) -> bool {
        item.position.era >= self.end.era
            && self
                .items
                .get(&item.key)
                .is_none_or(|known| known.position < item.position)
    }

    /// Stores `item` as the newest record of its key.
    pub fn insert_item(&mut self, item: &KeyedItem) {
        self.end = self.end.max(item.position);
        self.items.insert(item.key.clone(), item.clone());
    }

    /// Tombstones for the known keys up to position `end` that a snapshot of the same era up to `end`
    /// lacks.
    ///
    /// A tombstone has the snapshot's last position, so that records written later replace it, or
    /// else the position after the record that it deletes, to be newer than that record.
    pub fn tombstones_for(&self, snapshot: &[KeyedItem], end: LogPosition) -> Vec<KeyedItem> {
        self.missing_in(snapshot)
            .filter(|item| item.value.is_some() && item.position <= end)
            .map(|item| KeyedItem {
                key: item.key.clone(),
                position: end.max(LogPosition {
                    next_offset: item.position.next_offset + 1,
                    ..item.position
                }),
                value: None,
                lapsed: false,
                carried_over: false,
            })
            .collect()
    }

    /// Records that were not written in the feed's era.
    pub fn carried_over(&self) -> impl Iterator<Item = &KeyedItem> {
        self.items.values().filter(|item| item.carried_over)
    }

    /// Known records, tombstones included, whose keys are not among `items`.
    pub fn missing_in(&self, items: &[KeyedItem]) -> impl Iterator<Item = &KeyedItem> {
        let present: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        self.items
            .values()
            .filter(move |item| !present.contains(item.key.as_str()))
    }

    /// Records after position `after`, tombstones included.
    pub fn items_after(&self, after: LogPosition) -> Vec<KeyedItem> {
        self.items
            .values()
            .filter(|item| item.position > after)
            .cloned()
            .collect()
    }
}
