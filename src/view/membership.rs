//! Which VMs are members, as the log's join, leave and evict records say.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::fold::Verdict;
use super::record::MemberJoin;
use crate::ids::{Offset, VmName};

/// A VM that has joined.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// What it said when it joined.
    pub join: MemberJoin,
    /// Offset of its join record: its epoch.
    pub epoch: Offset,
}

/// Changes remembered; older ones are taken to be in force everywhere.
pub const KEPT_CHANGES: usize = 64;

/// One change of who is a member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct MemberChange {
    offset: Offset,
    vm: VmName,
    before: Option<MemberEntry>,
}

/// Members by VM, and the highest incarnation of those that went.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberTable {
    live: BTreeMap<VmName, MemberEntry>,
    gone: BTreeMap<VmName, u64>,
    changed: Offset,
    history: VecDeque<MemberChange>,
}

impl MemberTable {
    /// The members in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&VmName, &MemberEntry)> {
        self.live.iter()
    }

    /// A member by name.
    pub fn get(&self, vm: &VmName) -> Option<&MemberEntry> {
        self.live.get(vm)
    }

    /// How many VMs are members.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Offset of the last record that changed who is a member.
    pub fn changed(&self) -> Offset {
        self.changed
    }

    /// The remembered changes, oldest first: each offset with the members before it.
    pub fn recent_changes(&self) -> Vec<(Offset, MemberTable)> {
        let mut table = Self {
            history: VecDeque::new(),
            ..self.clone()
        };
        let mut changes = Vec::new();
        for change in self.history.iter().rev() {
            match &change.before {
                Some(entry) => table.live.insert(change.vm.clone(), entry.clone()),
                None => table.live.remove(&change.vm),
            };
            changes.push((change.offset, table.clone()));
        }
        changes.reverse();
        changes
    }

    fn note_change(&mut self, offset: Offset, vm: &VmName, before: Option<MemberEntry>) {
        self.changed = offset;
        self.history.push_back(MemberChange {
            offset,
            vm: vm.clone(),
            before,
        });
        if self.history.len() > KEPT_CHANGES {
            self.history.pop_front();
        }
    }

    /// Smallest number of members that is more than half of them.
    pub fn majority(&self) -> usize {
        self.live.len() / 2 + 1
    }

    /// The highest incarnation known of a VM, live or gone.
    pub fn last_incarnation(&self, vm: &VmName) -> u64 {
        let live = self
            .live
            .get(vm)
            .map_or(0, |member| member.join.incarnation);
        live.max(self.gone.get(vm).copied().unwrap_or(0))
    }

    pub(super) fn join(&mut self, join: &MemberJoin, offset: Offset) -> Verdict {
        if join.incarnation <= self.last_incarnation(&join.vm) {
            return Verdict::Ignored;
        }
        let entry = MemberEntry {
            join: join.clone(),
            epoch: offset,
        };
        let before = self.live.insert(join.vm.clone(), entry);
        self.note_change(offset, &join.vm, before);
        Verdict::Accepted
    }

    pub(super) fn leave(&mut self, vm: &VmName, incarnation: u64, offset: Offset) -> Verdict {
        self.remove(vm, incarnation, offset)
    }

    pub(super) fn evict(&mut self, vm: &VmName, incarnation: u64, offset: Offset) -> Verdict {
        self.remove(vm, incarnation, offset)
    }

    fn remove(&mut self, vm: &VmName, incarnation: u64, offset: Offset) -> Verdict {
        let current = self.live.get(vm).map(|member| member.join.incarnation);
        if current != Some(incarnation) {
            return Verdict::Ignored;
        }
        let before = self.live.remove(vm);
        self.gone.insert(vm.clone(), incarnation);
        self.note_change(offset, vm, before);
        Verdict::Accepted
    }

    /// The members that `vm` watches: its two neighbours on a ring by hash, and the
    /// members with the lowest pair score, `count` in all.
    ///
    /// All members compute the same pairs, so a watched member watches back.
    pub fn neighbours(&self, vm: &VmName, count: usize) -> Vec<&MemberEntry> {
        let mut ring: Vec<(u64, &VmName)> = self
            .live
            .keys()
            .map(|name| (xxh3_64(name.as_str().as_bytes()), name))
            .collect();
        ring.sort();
        let Some(place) = ring.iter().position(|(_, name)| *name == vm) else {
            return Vec::new();
        };
        let size = ring.len();
        let mut chosen = vec![
            ring[(place + 1) % size].1,
            ring[(place + size - 1) % size].1,
        ];
        let mut pairs: Vec<(u64, &VmName)> = self
            .live
            .keys()
            .map(|name| (pair_score(vm, name), name))
            .collect();
        pairs.sort();
        chosen.extend(pairs.into_iter().map(|(_, name)| name));
        let mut seen = std::collections::BTreeSet::from([vm]);
        chosen
            .into_iter()
            .filter(|name| seen.insert(name))
            .take(count)
            .filter_map(|name| self.live.get(name))
            .collect()
    }
}

/// Score of an unordered pair of VMs.
fn pair_score(a: &VmName, b: &VmName) -> u64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    xxh3_64(format!("{low}\n{high}").as_bytes())
}
