//! When a record binds every process, so that a new owner may act on it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::freshness::FRESH_FOR;
use super::membership::MemberTable;
use crate::ids::{Offset, VmName};

/// How long a grant may wait before it is used.
pub const GRANT_USE_BY: Duration = Duration::from_millis(1500);

/// Times at which each VM was first known to have folded a watched offset.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ForceTracker {
    offset: Offset,
    before: MemberTable,
    acks: BTreeMap<VmName, Instant>,
}

impl ForceTracker {
    /// Watches the record at `offset`; `before` are the members that stood before it.
    pub fn watch(offset: Offset, before: &MemberTable) -> Self {
        Self {
            offset,
            before: before.clone(),
            acks: BTreeMap::new(),
        }
    }

    /// The watched offset.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// The members that stood before the watched record.
    pub fn before(&self) -> &MemberTable {
        &self.before
    }

    /// Notes that `vm` was known at `now` to have folded up to `offset`, or to be
    /// gone from the platform's list of VMs.
    pub fn acknowledge(&mut self, vm: &VmName, offset: Offset, now: Instant) {
        if offset < self.offset || self.before.get(vm).is_none() {
            return;
        }
        self.acks.entry(vm.clone()).or_insert(now);
    }

    /// When the record is in force; `None` until a majority has acknowledged it.
    pub fn in_force_at(&self) -> Option<Instant> {
        if self.before.is_empty() {
            return self.acks.values().min().copied();
        }
        let mut times: Vec<Instant> = self.acks.values().copied().collect();
        times.sort();
        times
            .get(self.before.majority() - 1)
            .map(|agreed| *agreed + FRESH_FOR + GRANT_USE_BY)
    }

    /// Whether the record is in force at `now`.
    pub fn in_force(&self, now: Instant) -> bool {
        self.before.is_empty() || self.in_force_at().is_some_and(|at| at <= now)
    }
}
