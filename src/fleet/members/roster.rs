//! The roster that a hub serves, and the changes of it that heartbeats fetch.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::MemberRecord;
use crate::ids::{DomainName, VmName};

const MAX_REMEMBERED_REMOVALS: usize = 512; // a hub that forgot a removal sends its whole roster

/// Part of a roster that a heartbeat's sender gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RosterScope {
    /// All VMs of the fleet, for VMs of the hub's own domain.
    Fleet,
    /// The VMs of the hub's domain, for hubs of other domains.
    Domain,
}

/// Changes of a hub's roster between two versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RosterUpdate {
    /// Version that the changes are based on; 0 if `changed` is the whole roster.
    pub base_version: u64,
    /// Version after the changes; starts again at 1 in a new incarnation of the hub.
    pub version: u64,
    /// Records that are new or changed.
    pub changed: Vec<MemberRecord>,
    /// VMs that are no longer in the roster.
    pub removed: Vec<VmName>,
}

#[derive(Debug)]
struct VersionedRecord {
    record: MemberRecord,
    changed_in: u64,
}

#[derive(Debug)]
struct RemovedMember {
    domain: DomainName,
    removed_in: u64,
}

/// A roster in which each entry has the version that changed it last.
#[derive(Debug, Default)]
pub(super) struct ServedRoster {
    version: u64,
    members: BTreeMap<VmName, VersionedRecord>,
    removed: BTreeMap<VmName, RemovedMember>,
    forgotten_before: u64,
}

impl ServedRoster {
    /// Replaces the entries; the version grows if any of them changed.
    pub(super) fn replace(&mut self, records: &BTreeMap<&VmName, &MemberRecord>) {
        let next = self.version + 1;
        let removed = &mut self.removed;
        let count = self.members.len();
        self.members.retain(|vm, known| {
            let kept = records.contains_key(vm);
            if !kept {
                let removal = RemovedMember {
                    domain: known.record.domain.clone(),
                    removed_in: next,
                };
                removed.insert(vm.clone(), removal);
            }
            kept
        });
        let mut changed = self.members.len() != count;
        for (vm, record) in records {
            if self
                .members
                .get(*vm)
                .is_some_and(|known| known.record == **record)
            {
                continue;
            }
            changed = true;
            self.removed.remove(*vm);
            let versioned = VersionedRecord {
                record: (*record).clone(),
                changed_in: next,
            };
            self.members.insert((*vm).clone(), versioned);
        }
        if changed {
            self.version = next;
        }
        self.forget_oldest_removals();
    }

    fn forget_oldest_removals(&mut self) {
        while self.removed.len() > MAX_REMEMBERED_REMOVALS {
            let oldest = self
                .removed
                .iter()
                .min_by_key(|(_, removal)| removal.removed_in);
            let Some((vm, removed_in)) = oldest.map(|(vm, old)| (vm.clone(), old.removed_in))
            else {
                return;
            };
            self.removed.remove(&vm);
            self.forgotten_before = self.forgotten_before.max(removed_in);
        }
    }

    /// The changes since `known_version` within `scope`, or all entries if that version is unknown
    /// or too old. `own_domain` is the domain of the hub.
    pub(super) fn changes_since(
        &self,
        known_version: u64,
        scope: RosterScope,
        own_domain: &DomainName,
    ) -> RosterUpdate {
        let is_known = known_version <= self.version && known_version >= self.forgotten_before;
        let base_version = if is_known { known_version } else { 0 };
        let in_scope = |domain: &DomainName| scope == RosterScope::Fleet || domain == own_domain;
        let changed = self
            .members
            .values()
            .filter(|known| known.changed_in > base_version && in_scope(&known.record.domain))
            .map(|known| known.record.clone())
            .collect();
        let removed = self
            .removed
            .iter()
            .filter(|(_, removal)| {
                base_version > 0 && removal.removed_in > base_version && in_scope(&removal.domain)
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        RosterUpdate {
            base_version,
            version: self.version,
            changed,
            removed,
        }
    }
}
