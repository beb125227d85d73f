//! In-memory catalog of routes, targets and failure domains, built from the store's records.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::feed::{CompactedFeed, KeyedItem, LogPosition, TopicSnapshot};
use super::routes::RouteTable;
use crate::ids::{DomainName, TargetName};

/// How long a domain stays out of service by a record that the store lost and operators do not
/// write again. They do so within seconds, unless they put the domain back.
pub const LOST_RECORD_GRACE: Duration = Duration::from_secs(10);
const MAX_LEAVING: usize = 1_024; // those that left long ago are never removed otherwise

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
    /// Rises with each record that the process writes.
    pub sequence: u64,
}

impl TargetRecord {
    /// Whether `newer` differs at most in its sequence and in having less of the warm-up left.
    fn is_same_state(&self, newer: &Self) -> bool {
        let with_same_progress = Self {
            warmup_left: newer.warmup_left,
            sequence: newer.sequence,
            ..self.clone()
        };
        with_same_progress == *newer && self.warmup_left >= newer.warmup_left
    }

    fn age(&self) -> RecordAge {
        RecordAge {
            started_ms: self.started_ms,
            sequence: self.sequence,
        }
    }
}

/// Order in which a target's records were written, whatever their positions.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct RecordAge {
    started_ms: u64,
    sequence: u64,
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
    /// Keys of the domains out of service whose records the store lost, and since when.
    lost_keys: BTreeMap<String, Instant>,
    targets: BTreeMap<TargetName, TargetState>,
    /// Targets whose responses say that they are shutting down, with the start of the process that
    /// said so. Their records may say otherwise for a while.
    leaving: BTreeMap<TargetName, u64>,
    /// The last record of each target that was removed.
    removed: BTreeMap<TargetName, RecordAge>,
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
            lost_keys: BTreeMap::new(),
            targets: BTreeMap::new(),
            leaving: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    /// The latest era of the store that records are known of.
    pub fn store_era(&self) -> u64 {
        let (operators, targets) = (self.operator_feed.end(), self.target_feed.end());
        operators.era.max(targets.era)
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

    /// The items to apply for a snapshot of the operators' topic, so that its keys, and no others,
    /// have values after it.
    ///
    /// A snapshot that is the first of a later era may lack what was written in the last seconds
    /// before. What is known then stays in force until its key is written again: the newer one of
    /// two configurations, and domains that are out of service, these for [`LOST_RECORD_GRACE`].
    /// Snapshots of earlier eras are ignored.
    pub fn reconcile_operators(&self, snapshot: TopicSnapshot) -> Vec<KeyedItem> {
        let TopicSnapshot { items, end } = snapshot;
        let feed = &self.operator_feed;
        match end.era.cmp(&feed.end().era) {
            Ordering::Less => Vec::new(),
            Ordering::Equal => {
                let mut tombstones = feed.tombstones_for(&items, end);
                tombstones.retain(|item| !feed.item(&item.key).is_some_and(|it| it.carried_over));
                items.into_iter().chain(tombstones).collect()
            }
            Ordering::Greater => {
                let missing: Vec<KeyedItem> = feed.missing_in(&items).cloned().collect();
                let newest = items.into_iter().map(|item| match feed.item(&item.key) {
                    Some(known) if self.is_newer_version(known, &item) => known.clone(),
                    _ => item,
                });
                let newest: Vec<KeyedItem> = newest.collect();
                carry_over(newest.into_iter().chain(missing), end)
            }
        }
    }

    fn is_newer_version(&self, known: &KeyedItem, item: &KeyedItem) -> bool {
        let version = |item: &KeyedItem| {
            let value = item.value.as_deref()?;
            Some((self.decoder.routes)(value).ok()?.version)
        };
        let is_routes = matches!((self.decoder.kind)(&item.key), RecordKind::Routes);
        is_routes && version(known) > version(item)
    }

    /// The items to apply for a snapshot of the targets' topic, so that its keys, and no others,
    /// have values after it.
    ///
    /// In a snapshot that is the first of a later era, a record counts only if its target wrote it
    /// after the one that is known; a target whose record is missing is taken for lapsed. Snapshots
    /// of earlier eras are ignored.
    pub fn reconcile_targets(&self, snapshot: TopicSnapshot) -> Vec<KeyedItem> {
        let TopicSnapshot { items, end } = snapshot;
        let feed = &self.target_feed;
        match end.era.cmp(&feed.end().era) {
            Ordering::Less => Vec::new(),
            Ordering::Equal => {
                let tombstones = feed.tombstones_for(&items, end);
                items.into_iter().chain(tombstones).collect()
            }
            Ordering::Greater => {
                let missing: Vec<KeyedItem> = feed
                    .missing_in(&items)
                    .map(|known| KeyedItem {
                        value: None,
                        lapsed: known.value.is_some() || known.lapsed,
                        ..known.clone()
                    })
                    .collect();
                let newest = items.into_iter().map(|item| match feed.item(&item.key) {
                    Some(known) if self.is_outdated(&item) => known.clone(),
                    _ => item,
                });
                let newest: Vec<KeyedItem> = newest.collect();
                carry_over(newest.into_iter().chain(missing), end)
            }
        }
    }

    /// Whether a target's record was written before the one that is known of it, or before it was
    /// removed.
    fn is_outdated(&self, item: &KeyedItem) -> bool {
        let Some(value) = item.value.as_deref() else {
            return false;
        };
        let Ok(record) = (self.decoder.target)(&item.key, value) else {
            return false;
        };
        let known = self.targets.get(&record.name);
        let removed = self.removed.get(&record.name);
        known.is_some_and(|known| record.age() < known.record.age())
            || removed.is_some_and(|removed| record.age() <= *removed)
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
            // Targets publish their record again without a change. Peers are not sent those, unless
            // it replaces one that may be outdated.
            let known = self.target_feed.item(&item.key);
            let replaces_copy = known.is_some_and(|known| known.carried_over);
            if change.is_some() || item.value.is_none() || replaces_copy || item.carried_over {
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
                self.take_target(&TargetName::new(key));
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
        self.removed.remove(&name);
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
        self.take_target(&target);
        Some(CatalogChange::Target {
            target,
            state: "gone",
        })
    }

    /// Removes a target, and remembers its last record.
    fn take_target(&mut self, target: &TargetName) {
        if let Some(state) = self.targets.remove(target) {
            self.removed.insert(target.clone(), state.record.age());
        }
    }

    /// Puts the domains back whose records the store lost [`LOST_RECORD_GRACE`] ago or earlier.
    pub fn restore_lost_domains(&mut self, now: Instant) -> Vec<CatalogChange> {
        let lost: Vec<KeyedItem> = self
            .operator_feed
            .carried_over()
            .filter(|item| item.value.is_some())
            .cloned()
            .collect();
        self.lost_keys
            .retain(|key, _| lost.iter().any(|item| item.key == *key));
        let mut changes = Vec::new();
        for item in lost {
            let RecordKind::OutOfService(domain) = (self.decoder.kind)(&item.key) else {
                continue;
            };
            let since = *self.lost_keys.entry(item.key.clone()).or_insert(now);
            if now.saturating_duration_since(since) < LOST_RECORD_GRACE {
                continue;
            }
            let value = None;
            self.operator_feed.insert_item(&KeyedItem { value, ..item });
            self.out_of_service.remove(&domain);
            let in_service = true;
            changes.push(CatalogChange::Domain { domain, in_service });
        }
        changes
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
                self.take_target(&target);
                CatalogChange::Target {
                    target,
                    state: "gone",
                }
            })
            .collect()
    }
}

/// Moves records of an earlier era to the one that ends at `end`, so that each record written later
/// replaces them.
fn carry_over(items: impl Iterator<Item = KeyedItem>, end: LogPosition) -> Vec<KeyedItem> {
    items
        .map(|item| {
            if item.position.era == end.era {
                return item;
            }
            KeyedItem {
                position: end,
                carried_over: true,
                ..item
            }
        })
        .collect()
}
