//! Orders to targets: which version each is to run, as the table says.
//!
//! An order carries the offset of the row that asks for it as its fencing number, so that
//! a target that checks numbers refuses a late older order. A target that does not check
//! gets its order only once that row is in force: by then no process acts on an older one.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::{Offset, TargetName, VmName};
use crate::view::in_force::InForceTracker;
use crate::view::membership::MemberTable;
use crate::view::table::TargetRow;

/// An order to run a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetOrder {
    /// The target.
    pub target: TargetName,
    /// Host and port.
    pub address: String,
    /// Fencing number: the offset of the row that asks for it.
    pub number: Offset,
    /// The version to run.
    pub version: String,
}

/// What targets said they run, and which rows are in force.
#[derive(Debug, Default)]
pub struct OrderBook {
    reported: BTreeMap<TargetName, String>,
    waiting: BTreeMap<TargetName, InForceTracker>,
}

impl OrderBook {
    /// Notes which version a target says it runs.
    pub fn report(&mut self, target: &TargetName, version: &str) {
        self.reported.insert(target.clone(), version.to_owned());
    }

    /// Notes that a VM was known at `now` to have folded up to `offset`.
    pub fn acknowledge(&mut self, vm: &VmName, offset: Offset, now: Instant) {
        for tracker in self.waiting.values_mut() {
            tracker.acknowledge(vm, offset, now);
        }
    }

    /// The order that is due for a target whose row, of this version, stands in the table.
    ///
    /// ```
    /// use std::time::Instant;
    /// use plantainnotch::steward::orders::OrderBook;
    /// let book = OrderBook::default();
    /// assert!(book.reported(&plantainnotch::ids::TargetName::new("app-1")).is_none());
    /// ```
    pub fn due(
        &mut self,
        target: &TargetName,
        row: &TargetRow,
        number: Offset,
        members: &MemberTable,
        now: Instant,
    ) -> Option<TargetOrder> {
        let wanted = row.version.as_ref()?;
        if self.reported.get(target)? == wanted {
            self.waiting.remove(target);
            return None;
        }
        if !row.checks_fencing && !self.in_force(target, number, members, now) {
            return None;
        }
        Some(TargetOrder {
            target: target.clone(),
            address: row.address.clone(),
            number,
            version: wanted.clone(),
        })
    }

    /// What a target last said it runs.
    pub fn reported(&self, target: &TargetName) -> Option<&str> {
        self.reported.get(target).map(String::as_str)
    }

    fn in_force(
        &mut self,
        target: &TargetName,
        number: Offset,
        members: &MemberTable,
        now: Instant,
    ) -> bool {
        let watched = self.waiting.get(target).map(InForceTracker::offset);
        if watched != Some(number) {
            let tracker = InForceTracker::new(number, members);
            self.waiting.insert(target.clone(), tracker);
        }
        self.waiting
            .get(target)
            .is_some_and(|tracker| tracker.in_force(now))
    }
}
