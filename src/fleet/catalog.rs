//! In-memory catalog of routes, targets and failure domains, built from the store's records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::routes::RouteTable;
use crate::ids::{DomainName, TargetName};

const MAX_LEAVING: usize = 1_024; // those that left long ago are never removed otherwise

/// A record of a keyed topic before it is decoded; one without a value is a tombstone for its key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyedItem {
    /// Key, unique among the live records of the topic.
    pub key: String,
    /// Position in the topic; higher is newer.
    pub offset: u64,
    /// Value as the platform encodes it; `None` for a tombstone.
    pub value: Option<Vec<u8>>,
    /// Whether a tombstone was read during a store outage or just after, when the records of live
    /// targets expire.
    pub lapsed: bool,
}

/// Subject of an operator's record, determined by its key.
#[derive(Debug, PartialEq)]
pub enum RecordKind {
    /// The configuration of routes, services and teams.
    Routes,
    /// A failure domain that takes no new work while the record exists.
    OutOfService(DomainName),
    /// A record that this system does not use.
    Other,
}

/// Record that a target publishes about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetRecord {
    /// The record's key.
    pub name: TargetName,
    /// Name of the service that it offers.
    pub service: String,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Whether it is shutting down and takes no new requests.
    pub draining: bool,
    /// Time left until it is warm, as of the record.
    pub warmup_left: Duration,
    /// Start of its process in Unix milliseconds; distinguishes a restarted target.
    pub started_ms: u64,
}

impl TargetRecord {
    /// Whether `newer` differs at most in having less of the warm-up left.
    fn is_same_state(&self, newer: &Self) -> bool {
        let with_same_warmup = Self {
            warmup_left: newer.warmup_left,
            ..self.clone()
        };
        with_same_warmup == *newer && self.warmup_left >= newer.warmup_left
    }
}

/// Functions that decode records, supplied by the platform adapter.
#[derive(Debug, Clone, Copy)]
pub struct RecordDecoder {
    /// Classifies an operator's record by its key.
    pub kind: fn(&str) -> RecordKind,
    /// Decodes the configuration.
    pub routes: fn(&[u8]) -> eyre::Result<RouteTable>,
    /// Decodes a target's record from its key and value.
    pub target: fn(&str, &[u8]) -> eyre::Result<TargetRecord>,
}

/// Newest stored record of each key, tombstones included, for relaying to peers.
#[derive(Debug, Default)]
pub struct CompactedFeed {
    items: BTreeMap<String, KeyedItem>,
    end: u64,
}

impl CompactedFeed {
    /// Offset after the newest record of the feed.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Whether `item` is newer than the feed's record of the same key.
    pub fn is_newer(&self, item: &KeyedItem) -> bool {
        self.items
            .get(&item.key)
            .is_none_or(|known| known.offset < item.offset)
    }

    /// Stores `item` as the newest record of its key.
    pub fn insert_item(&mut self, item: &KeyedItem) {
        self.end = self.end.max(item.offset + 1);
        self.items.insert(item.key.clone(), item.clone());
    }

    /// Tombstones for the known keys before offset `end` that a snapshot up to `end` lacks.
    ///
    /// A tombstone has the snapshot's last offset, so that records written later replace it, or
    /// else the offset after the record that it deletes, to be newer than that record.
    pub fn tombstones_for(&self, snapshot: &[KeyedItem], end: u64) -> Vec<KeyedItem> {
        let present: BTreeSet<&str> = snapshot.iter().map(|item| item.key.as_str()).collect();
        self.items
            .values()
            .filter(|item| item.value.is_some() && item.offset < end)
            .filter(|item| !present.contains(item.key.as_str()))
            .map(|item| KeyedItem {
                key: item.key.clone(),
                offset: end.saturating_sub(1).max(item.offset + 1),
                value: None,
                lapsed: false,
            })
            .collect()
    }

    /// Records at offset `from` or later, tombstones included.
    pub fn items_from(&self, from: u64) -> Vec<KeyedItem> {
        self.items
            .values()
            .filter(|item| item.offset >= from)
            .cloned()
            .collect()
    }
}

/// A target's newest record, and the deadlines that follow from its records.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// As the target last published it.
    pub record: TargetRecord,
    /// End of its warm-up.
    pub cold_until: Instant,
    /// When a lapsed target counts as removed; `None` unless its record was deleted during a store
    /// outage.
    pub retained_until: Option<Instant>,
}

/// Change of the catalog, for logs and the rest of the node.
#[derive(Debug, PartialEq)]
pub enum CatalogChange {
    /// A newer configuration came into force.
    Routes {
        /// Version of the configuration.
        version: u64,
    },
    /// A failure domain was taken out of service or put back.
    Domain {
        /// The domain that the operator's record names.
        domain: DomainName,
        /// Whether it takes new work now.
        in_service: bool,
    },
    /// A target was added, changed or removed.
    Target {
        /// Key of the target's record.
        target: TargetName,
        /// Its new state: `ready`, `draining`, `gone`, or `lapsed` while it is retained although its
        /// record was deleted during a store outage.
        state: &'static str,
    },
    /// A record could not be decoded. A target is removed then; an earlier configuration stays in
    /// force.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Message of the decoder's error.
        reason: String,
    },
}

/// Routes, targets and failure domains as of the records applied so far.
#[derive(Debug)]
pub struct FleetCatalog {
    decoder: RecordDecoder,
    /// Operators' records, for relaying to peers.
    pub operator_feed: CompactedFeed,
    /// Targets' records that changed the catalog, for relaying to peers.
    pub target_feed: CompactedFeed,
    table: Option<Rc<RouteTable>>,
    out_of_service: BTreeSet<DomainName>,
    targets: BTreeMap<TargetName, TargetState>,
    /// Targets whose responses say that they are shutting down, with the start of the process that
    /// said so. Their records may say otherwise for a while.
    leaving: BTreeMap<TargetName, u64>,
}

impl FleetCatalog {
    /// Creates an empty catalog of records that `decoder` can decode.
    pub fn new(decoder: RecordDecoder) -> Self {
        Self {
            decoder,
            operator_feed: CompactedFeed::default(),
            target_feed: CompactedFeed::default(),
            table: None,
            out_of_service: BTreeSet::new(),
            targets: BTreeMap::new(),
            leaving: BTreeMap::new(),
        }
    }

    /// Returns the configuration in force; `None` until the first one has been read.
    pub fn table(&self) -> Option<&Rc<RouteTable>> {
        self.table.as_ref()
    }

    /// Whether a failure domain takes new work.
    pub fn in_service(&self, domain: &DomainName) -> bool {
        !self.out_of_service.contains(domain)
    }

    /// State of a target, also of a lapsed one; `None` if it is unknown or was removed.
    pub fn target(&self, name: &TargetName) -> Option<&TargetState> {
        self.targets.get(name)
    }

    /// Targets of `service` that may get new work at `now`.
    pub fn usable_targets<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a TargetState> {
        self.targets.values().filter(move |target| {
            target.record.service == service
                && !target.record.draining
                && self.in_service(&target.record.domain)
                && target.retained_until.is_none_or(|at| now < at)
        })
    }

    /// Applies operators' records and returns what changed; outdated records are ignored.
    pub fn apply_operator_items(&mut self, items: &[KeyedItem]) -> Vec<CatalogChange> {
        let mut changes = Vec::new();
        for item in items {
            if !self.operator_feed.is_newer(item) {
                continue;
            }
            self.operator_feed.insert_item(item);
            match (self.decoder.kind)(&item.key) {
                RecordKind::Routes => changes.extend(self.apply_routes(item)),
                RecordKind::OutOfService(domain) => {
                    let in_service = item.value.is_none();
                    let changed = if in_service {
                        self.out_of_service.remove(&domain)
                    } else {
                        self.out_of_service.insert(domain.clone())
                    };
                    if changed {
                        changes.push(CatalogChange::Domain { domain, in_service });
                    }
                }
                RecordKind::Other => {}
            }
        }
        changes
    }

    fn apply_routes(&mut self, item: &KeyedItem) -> Option<CatalogChange> {
        // Deleting the key leaves the last configuration in force.
        let value = item.value.as_deref()?;
        match (self.decoder.routes)(value) {
            Ok(table) => {
                let newer = self
                    .table
                    .as_ref()
                    .is_none_or(|known| known.version < table.version);
                newer.then(|| {
                    let version = table.version;
                    self.table = Some(Rc::new(table));
                    CatalogChange::Routes { version }
                })
            }
            Err(error) => Some(CatalogChange::Unreadable {
                key: item.key.clone(),
                reason: error.to_string(),
            }),
        }
    }

    /// Applies targets' records and returns what changed; outdated records are ignored.
    ///
    /// A target whose record lapsed is retained until `retain_until`, so that it can publish the
    /// record again.
    pub fn apply_target_items(
        &mut self,
        items: &[KeyedItem],
        now: Instant,
        retain_until: Option<Instant>,
    ) -> Vec<CatalogChange> {
        let mut changes = Vec::new();
        for item in items {
            if !self.target_feed.is_newer(item) {
                continue;
            }
            let change = match &item.value {
                Some(value) => self.apply_target(&item.key, value, now),
                None => {
                    let retain_until = retain_until.filter(|_| item.lapsed);
                    self.remove_target(&item.key, now, retain_until)
                }
            };
            // Targets publish their record again without a change; peers are not sent those.
            if change.is_some() || item.value.is_none() {
                self.target_feed.insert_item(item);
            }
            changes.extend(change);
        }
        changes
    }

    fn apply_target(&mut self, key: &str, value: &[u8], now: Instant) -> Option<CatalogChange> {
        let mut record = match (self.decoder.target)(key, value) {
            Ok(record) => record,
            Err(error) => {
                self.targets.remove(key);
                return Some(CatalogChange::Unreadable {
                    key: key.to_owned(),
                    reason: error.to_string(),
                });
            }
        };
        let name = record.name.clone();
        match self.leaving.get(&name) {
            Some(started_ms) if *started_ms == record.started_ms => record.draining = true,
            Some(_) => {
                self.leaving.remove(&name);
            }
            None => {}
        }
        let state = if record.draining { "draining" } else { "ready" };
        let known = self.targets.get(&name);
        let unchanged = known.is_some_and(|known| {
            known.retained_until.is_none() && known.record.is_same_state(&record)
        });
        let cold_until = now + record.warmup_left;
        self.targets.insert(
            name.clone(),
            TargetState {
                record,
                cold_until,
                retained_until: None,
            },
        );
        (!unchanged).then_some(CatalogChange::Target {
            target: name,
            state,
        })
    }

    /// Records that a response of the target's process that started at `started_ms` said that it is
    /// shutting down; returns the change, if that is news.
    pub fn record_leaving(&mut self, name: &TargetName, started_ms: u64) -> Option<CatalogChange> {
        let state = self.targets.get_mut(name)?;
        if state.record.started_ms != started_ms || state.record.draining {
            return None;
        }
        state.record.draining = true;
        self.leaving.insert(name.clone(), started_ms);
        if self.leaving.len() > MAX_LEAVING {
            self.leaving.pop_first();
        }
        Some(CatalogChange::Target {
            target: name.clone(),
            state: "draining",
        })
    }

    fn remove_target(
        &mut self,
        key: &str,
        now: Instant,
        retain_until: Option<Instant>,
    ) -> Option<CatalogChange> {
        let target = TargetName::new(key);
        let retained_until = retain_until.filter(|until| now < *until);
        let state = self.targets.get_mut(&target)?;
        if let Some(until) = retained_until
            && !state.record.draining
        {
            state.retained_until = Some(until);
            return Some(CatalogChange::Target {
                target,
                state: "lapsed",
            });
        }
        self.targets.remove(&target);
        Some(CatalogChange::Target {
            target,
            state: "gone",
        })
    }

    /// Removes the lapsed targets that did not publish their record again in time.
    pub fn remove_lapsed(&mut self, now: Instant) -> Vec<CatalogChange> {
        let removed: Vec<TargetName> = self
            .targets
            .iter()
            .filter(|(_, target)| target.retained_until.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        removed
            .into_iter()
            .map(|target| {
                self.targets.remove(&target);
                CatalogChange::Target {
                    target,
                    state: "gone",
                }
            })
            .collect()
    }
}
