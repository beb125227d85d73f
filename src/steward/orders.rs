//! Orders to targets to run the version that the table gives.
//!
//! The fencing number of an order is the version of the target's row, an offset of the log.
//! A target that checks fencing numbers refuses a delayed older order. Any other target gets
//! its order only once the row is in force: from then on no process acts on an older row.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::{Offset, TargetName, VmName};
use crate::view::in_force::InForceTracker;
use crate::view::membership::MemberTable;
use crate::view::table::TargetRow;

/// An order to run a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionOrder {
    /// Name of the target.
    pub target: TargetName,
    /// IP and port of the target.
    pub address: String,
    /// Fencing number: the version of the target's row.
    pub number: Offset,
    /// The version to run.
    pub version: String,
}

/// Versions that targets reported, and which rows are in force.
#[derive(Debug, Default)]
pub struct OrderTracker {
    reported_versions: BTreeMap<TargetName, String>,
    row_trackers: BTreeMap<TargetName, InForceTracker>,
}

impl OrderTracker {
    /// Records the version that a target reports to run.
    pub fn record_version(&mut self, target: &TargetName, version: &str) {
        self.reported_versions
            .insert(target.clone(), version.to_owned());
    }

    /// Records that a VM was known at `now` to have folded up to `offset`.
    pub fn acknowledge(&mut self, vm: &VmName, offset: Offset, now: Instant) {
        for tracker in self.row_trackers.values_mut() {
            tracker.acknowledge(vm, offset, now);
        }
    }

    /// The order that is due for a target with this row, whose version is `number`. A target
    /// that has not reported a version gets none.
    pub fn due_order(
        &mut self,
        target: &TargetName,
        row: &TargetRow,
        number: Offset,
        members: &MemberTable,
        now: Instant,
    ) -> Option<VersionOrder> {
        let wanted = row.version.as_ref()?;
        if self.reported_versions.get(target)? == wanted {
            self.row_trackers.remove(target);
            return None;
        }
        if !row.checks_fencing && !self.in_force(target, number, members, now) {
            return None;
        }
        Some(VersionOrder {
            target: target.clone(),
            address: row.address.clone(),
            number,
            version: wanted.clone(),
        })
    }

    /// The version that a target last reported to run.
    ///
    /// ```
    /// use plantainnotch::ids::TargetName;
    /// use plantainnotch::steward::orders::OrderTracker;
    /// let mut tracker = OrderTracker::default();
    /// let target = TargetName::new("app-1");
    /// tracker.record_version(&target, "2");
    /// assert_eq!(tracker.reported_version(&target), Some("2"));
    /// ```
    pub fn reported_version(&self, target: &TargetName) -> Option<&str> {
        self.reported_versions.get(target).map(String::as_str)
    }

    fn in_force(
        &mut self,
        target: &TargetName,
        number: Offset,
        members: &MemberTable,
        now: Instant,
    ) -> bool {
        let tracked = self.row_trackers.get(target).map(InForceTracker::offset);
        if tracked != Some(number) {
            let tracker = InForceTracker::new(number, members);
            self.row_trackers.insert(target.clone(), tracker);
        }
        self.row_trackers
            .get(target)
            .is_some_and(|tracker| tracker.in_force(now))
    }
}
