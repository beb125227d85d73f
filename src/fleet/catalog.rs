//! Routes, targets and failure domains out of service, as the store's records tell them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::routes::RouteTable;
use crate::ids::{DomainName, TargetName};

/// One record of a keyed topic; without a value the key is dropped.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyedItem {
    /// The key.
    pub key: String,
    /// Position in the topic.
    pub offset: u64,
    /// The value.
    pub value: Option<Vec<u8>>,
}

/// What an operator's record is about.
#[derive(Debug, PartialEq)]
pub enum RecordKind {
    /// The configuration.
    Routes,
    /// A failure domain that takes no new work.
    OutOfService(DomainName),
    /// Nothing that concerns this system.
    Other,
}

/// A target as it describes itself.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetRecord {
    /// Its name.
    pub name: TargetName,
    /// The service that it offers.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests at once.
    pub slots: usize,
    /// Whether it is leaving.
    pub draining: bool,
    /// How long it stays cold.
    pub cold_for: Duration,
    /// When it started, in Unix milliseconds; tells one lifetime from the next.
    pub started_ms: u64,
}

impl TargetRecord {
    /// Whether nothing but the rest of its cold time differs.
    fn is_same_state(&self, other: &Self) -> bool {
        let counted_down = Self {
            cold_for: other.cold_for,
            ..self.clone()
        };
        counted_down == *other && self.cold_for >= other.cold_for
    }
}

/// How records are decoded; the platform's adapter supplies the functions.
#[derive(Debug, Clone, Copy)]
pub struct RecordDecoder {
    /// What an operator's record is about.
    pub kind: fn(&str) -> RecordKind,
    /// Decodes the configuration.
    pub routes: fn(&[u8]) -> eyre::Result<RouteTable>,
    /// Decodes a target's record.
    pub target: fn(&str, &[u8]) -> eyre::Result<TargetRecord>,
}

/// The newest record of each key, with tombstones, as relayed between peers.
#[derive(Debug, Default)]
pub struct FeedLog {
    items: BTreeMap<String, KeyedItem>,
    end: u64,
}

impl FeedLog {
    /// Offset after the last record that changed anything.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Whether a record is newer than the known one of its key.
    pub fn is_newer(&self, item: &KeyedItem) -> bool {
        self.items
            .get(&item.key)
            .is_none_or(|known| known.offset < item.offset)
    }

    /// Keeps a record, to be relayed to peers.
    pub fn keep_item(&mut self, item: &KeyedItem) {
        self.end = self.end.max(item.offset + 1);
        self.items.insert(item.key.clone(), item.clone());
    }

    /// Items that replace the known ones where a snapshot up to `end` no longer has them.
    pub fn missing_from(&self, snapshot: &[KeyedItem], end: u64) -> Vec<KeyedItem> {
        let present: BTreeSet<&str> = snapshot.iter().map(|item| item.key.as_str()).collect();
        self.items
            .values()
            .filter(|item| item.value.is_some() && item.offset < end)
            .filter(|item| !present.contains(item.key.as_str()))
            .map(|item| KeyedItem {
                key: item.key.clone(),
                offset: end.saturating_sub(1).max(item.offset + 1),
                value: None,
            })
            .collect()
    }

    /// Records at or after `from`, tombstones included.
    pub fn items_from(&self, from: u64) -> Vec<KeyedItem> {
        self.items
            .values()
            .filter(|item| item.offset >= from)
            .cloned()
            .collect()
    }
}

/// A target with what the records' history adds.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// Its newest record.
    pub record: TargetRecord,
    /// When it ceases to be cold.
    pub cold_until: Instant,
    /// When it is taken as gone, if its record lapsed while the store was away.
    pub gone_at: Option<Instant>,
}

/// What a change of the catalog means to the rest of the node.
#[derive(Debug, PartialEq)]
pub enum CatalogChange {
    /// A newer configuration is in force.
    Routes {
        /// Its version.
        version: u64,
    },
    /// A failure domain left service or came back.
    Domain {
        /// The domain.
        domain: DomainName,
        /// Whether it takes work.
        in_service: bool,
    },
    /// A target came, changed or left.
    Target {
        /// The target.
        target: TargetName,
        /// What it became: ready, draining, gone or lapsed.
        state: &'static str,
    },
    /// A record could not be read and was passed over.
    Unreadable {
        /// Its key.
        key: String,
        /// Why.
        reason: String,
    },
}

/// Everything that the records say.
#[derive(Debug)]
pub struct FleetCatalog {
    decoder: RecordDecoder,
    /// Records of operators.
    pub operator_feed: FeedLog,
    /// Records of targets.
    pub target_feed: FeedLog,
    table: Option<Rc<RouteTable>>,
    out: BTreeSet<DomainName>,
    targets: BTreeMap<TargetName, TargetState>,
}

impl FleetCatalog {
    /// A catalog that knows nothing yet.
    pub fn new(decoder: RecordDecoder) -> Self {
        Self {
            decoder,
            operator_feed: FeedLog::default(),
            target_feed: FeedLog::default(),
            table: None,
            out: BTreeSet::new(),
            targets: BTreeMap::new(),
        }
    }

    /// The configuration in force; none before the first one is known.
    pub fn table(&self) -> Option<&Rc<RouteTable>> {
        self.table.as_ref()
    }

    /// Whether a failure domain takes work.
    pub fn in_service(&self, domain: &DomainName) -> bool {
        !self.out.contains(domain)
    }

    /// A target by name.
    pub fn target(&self, name: &TargetName) -> Option<&TargetState> {
        self.targets.get(name)
    }

    /// Targets of `service` that may be sent new work.
    pub fn usable_targets<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a TargetState> {
        self.targets.values().filter(move |target| {
            target.record.service == service
                && !target.record.draining
                && self.in_service(&target.record.domain)
                && target.gone_at.is_none_or(|at| now < at)
        })
    }

    /// Takes operators' records; older ones than those known change nothing.
    pub fn take_operator_items(&mut self, items: &[KeyedItem]) -> Vec<CatalogChange> {
        let mut changes = Vec::new();
        for item in items {
            if !self.operator_feed.is_newer(item) {
                continue;
            }
            self.operator_feed.keep_item(item);
            match (self.decoder.kind)(&item.key) {
                RecordKind::Routes => changes.extend(self.take_routes(item)),
                RecordKind::OutOfService(domain) => {
                    let in_service = item.value.is_none();
                    let changed = if in_service {
                        self.out.remove(&domain)
                    } else {
                        self.out.insert(domain.clone())
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

    fn take_routes(&mut self, item: &KeyedItem) -> Option<CatalogChange> {
        // A dropped key keeps the last configuration in force.
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

    /// Takes targets' records. Removed targets stay until `lapse_until` when it is set:
    /// records that lapsed while the store was away come back if the target lives.
    pub fn take_target_items(
        &mut self,
        items: &[KeyedItem],
        now: Instant,
        lapse_until: Option<Instant>,
    ) -> Vec<CatalogChange> {
        let mut changes = Vec::new();
        for item in items {
            if !self.target_feed.is_newer(item) {
                continue;
            }
            let change = match &item.value {
                Some(value) => self.take_target(&item.key, value, now),
                None => self.drop_target(&item.key, now, lapse_until),
            };
            // A heartbeat that changes nothing is of no use to peers.
            if change.is_some() || item.value.is_none() {
                self.target_feed.keep_item(item);
            }
            changes.extend(change);
        }
        changes
    }

    fn take_target(&mut self, key: &str, value: &[u8], now: Instant) -> Option<CatalogChange> {
        let record = match (self.decoder.target)(key, value) {
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
        let state = if record.draining { "draining" } else { "ready" };
        let known = self.targets.get(&name);
        let same = known
            .is_some_and(|known| known.gone_at.is_none() && known.record.is_same_state(&record));
        let cold_until = now + record.cold_for;
        self.targets.insert(
            name.clone(),
            TargetState {
                record,
                cold_until,
                gone_at: None,
            },
        );
        (!same).then_some(CatalogChange::Target {
            target: name,
            state,
        })
    }

    fn drop_target(
        &mut self,
        key: &str,
        now: Instant,
        lapse_until: Option<Instant>,
    ) -> Option<CatalogChange> {
        let target = TargetName::new(key);
        let lapsing = lapse_until.filter(|until| now < *until);
        let state = self.targets.get_mut(&target)?;
        if let Some(until) = lapsing
            && !state.record.draining
        {
            state.gone_at = Some(until);
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

    /// Removes targets whose lapsed record did not come back in time.
    pub fn drop_lapsed(&mut self, now: Instant) -> Vec<CatalogChange> {
        let gone: Vec<TargetName> = self
            .targets
            .iter()
            .filter(|(_, target)| target.gone_at.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        gone.into_iter()
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
