//! Membership of VMs, derived from the log's join, leave and evict records.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::fold::FoldOutcome;
use super::record::MemberJoin;
use crate::ids::{Offset, VmName};

/// A current member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Its join record.
    pub join: MemberJoin,
    /// Offset of its join record.
    pub epoch: Offset,
}

/// Membership changes kept; older ones are assumed to be in force everywhere.
pub const MAX_KEPT_CHANGES: usize = 64;

/// One membership change. `previous` is the VM's entry before it, from which
/// [`MemberTable::recent_changes`] derives the members at that time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct MemberChange {
    offset: Offset,
    vm: VmName,
    previous: Option<MemberEntry>,
}

/// Current members by VM, and the highest incarnation of each removed one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberTable {
    current: BTreeMap<VmName, MemberEntry>,
    removed_incarnations: BTreeMap<VmName, u64>,
    last_change: Offset,
    recent_changes: VecDeque<MemberChange>,
}

impl MemberTable {
    /// The current members in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&VmName, &MemberEntry)> {
        self.current.iter()
    }

    /// The current member on a VM.
    pub fn get(&self, vm: &VmName) -> Option<&MemberEntry> {
        self.current.get(vm)
    }

    /// Number of current members.
    pub fn len(&self) -> usize {
        self.current.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// Offset of the last record that changed the membership.
    pub fn last_change(&self) -> Offset {
        self.last_change
    }

    /// The last [`MAX_KEPT_CHANGES`] changes, oldest first: each offset with the members
    /// before it.
    pub fn recent_changes(&self) -> Vec<(Offset, MemberTable)> {
        let mut table = Self {
            recent_changes: VecDeque::new(),
            ..self.clone()
        };
        let mut changes = Vec::new();
        for change in self.recent_changes.iter().rev() {
            match &change.previous {
                Some(entry) => table.current.insert(change.vm.clone(), entry.clone()),
                None => table.current.remove(&change.vm),
            };
            changes.push((change.offset, table.clone()));
        }
        changes.reverse();
        changes
    }

    fn record_change(&mut self, offset: Offset, vm: &VmName, previous: Option<MemberEntry>) {
        self.last_change = offset;
        self.recent_changes.push_back(MemberChange {
            offset,
            vm: vm.clone(),
            previous,
        });
        if self.recent_changes.len() > MAX_KEPT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    /// Smallest number of members that is more than half of them.
    pub fn majority(&self) -> usize {
        self.current.len() / 2 + 1
    }

    /// The highest incarnation with which a VM has joined; 0 if it never did.
    pub fn last_incarnation(&self, vm: &VmName) -> u64 {
        let current = self
            .current
            .get(vm)
            .map_or(0, |member| member.join.incarnation);
        current.max(self.removed_incarnations.get(vm).copied().unwrap_or(0))
    }

    pub(super) fn join(&mut self, join: &MemberJoin, offset: Offset) -> FoldOutcome {
        if join.incarnation <= self.last_incarnation(&join.vm) {
            return FoldOutcome::Ignored;
        }
        let entry = MemberEntry {
            join: join.clone(),
            epoch: offset,
        };
        let previous = self.current.insert(join.vm.clone(), entry);
        self.record_change(offset, &join.vm, previous);
        FoldOutcome::Accepted
    }

    pub(super) fn leave(&mut self, vm: &VmName, incarnation: u64, offset: Offset) -> FoldOutcome {
        self.remove(vm, incarnation, offset)
    }

    pub(super) fn evict(&mut self, vm: &VmName, incarnation: u64, offset: Offset) -> FoldOutcome {
        self.remove(vm, incarnation, offset)
    }

    fn remove(&mut self, vm: &VmName, incarnation: u64, offset: Offset) -> FoldOutcome {
        let current = self.current.get(vm).map(|member| member.join.incarnation);
        if current != Some(incarnation) {
            return FoldOutcome::Ignored;
        }
        let previous = self.current.remove(vm);
        self.removed_incarnations.insert(vm.clone(), incarnation);
        self.record_change(offset, vm, previous);
        FoldOutcome::Accepted
    }

    /// The members with which `vm` exchanges heartbeats: its two neighbours on a ring
    /// ordered by hash, then the members with the lowest pair score, `count` in all.
    ///
    /// All members compute the same ring and scores, so neighbours on the ring monitor each
    /// other. A member chosen by its pair score need not monitor `vm`: others may have lower
    /// scores with it.
    pub fn neighbours(&self, vm: &VmName, count: usize) -> Vec<&MemberEntry> {
        let mut ring: Vec<(u64, &VmName)> = self
            .current
            .keys()
            .map(|name| (xxh3_64(name.as_str().as_bytes()), name))
            .collect();
        ring.sort();
        let Some(position) = ring.iter().position(|(_, name)| *name == vm) else {
            return Vec::new();
        };
        let size = ring.len();
        let mut candidates = vec![
            ring[(position + 1) % size].1,
            ring[(position + size - 1) % size].1,
        ];
        let mut pairs: Vec<(u64, &VmName)> = self
            .current
            .keys()
            .map(|name| (pair_score(vm, name), name))
            .collect();
        pairs.sort();
        candidates.extend(pairs.into_iter().map(|(_, name)| name));
        let mut seen = std::collections::BTreeSet::from([vm]);
        candidates
            .into_iter()
            .filter(|name| seen.insert(name))
            .take(count)
            .filter_map(|name| self.current.get(name))
            .collect()
    }
}

/// Score of an unordered pair of VMs; all members compute the same one.
fn pair_score(a: &VmName, b: &VmName) -> u64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    xxh3_64(format!("{low}\n{high}").as_bytes())
}
