//! When a record is in force: no process still acts on the state before it, so a new owner
//! may start to decide.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::freshness::MAX_VIEW_AGE;
use super::membership::MemberTable;
use crate::ids::{Offset, VmName};

/// A grant that is not used within this time is void.
pub const GRANT_USE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Tracks when the members acknowledged a record, and so when it is in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InForceTracker {
    offset: Offset,
    previous_members: MemberTable,
    acknowledged_at: BTreeMap<VmName, Instant>,
}

impl InForceTracker {
    /// Tracks the record at `offset`; `previous_members` are the members that may still act on
    /// the state before it: for a membership change those before it, for a table change the
    /// current ones.
    pub fn new(offset: Offset, previous_members: &MemberTable) -> Self {
        Self {
            offset,
            previous_members: previous_members.clone(),
            acknowledged_at: BTreeMap::new(),
        }
    }

    /// Offset of the tracked record.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// The members that may still act on the state before the tracked record, a majority of
    /// which must acknowledge it.
    pub fn previous_members(&self) -> &MemberTable {
        &self.previous_members
    }

    /// Records that `vm` was known at `now` to have folded up to `offset`. A VM that no longer
    /// runs counts with the highest offset.
    pub fn acknowledge(&mut self, vm: &VmName, offset: Offset, now: Instant) {
        if offset < self.offset || self.previous_members.get(vm).is_none() {
            return;
        }
        self.acknowledged_at.entry(vm.clone()).or_insert(now);
    }

    /// When the record comes into force; `None` until a majority has acknowledged it. Without
    /// previous members it is always `None`: such a record is in force at once.
    ///
    /// A member that lacks the record may act on its older view until [`MAX_VIEW_AGE`] after the
    /// majority's acknowledgement, and its last grant may be used for [`GRANT_USE_TIMEOUT`] more.
    pub fn in_force_at(&self) -> Option<Instant> {
        if self.previous_members.is_empty() {
            return self.acknowledged_at.values().min().copied();
        }
        let mut times: Vec<Instant> = self.acknowledged_at.values().copied().collect();
        times.sort();
        times
            .get(self.previous_members.majority() - 1)
            .map(|majority_at| *majority_at + MAX_VIEW_AGE + GRANT_USE_TIMEOUT)
    }

    /// Whether the record is in force at `now`.
    pub fn in_force(&self, now: Instant) -> bool {
        self.previous_members.is_empty() || self.in_force_at().is_some_and(|at| at <= now)
    }
}
