//! Tracks how recently the view was known to be at the log's end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::membership::MemberTable;
use crate::ids::{Offset, VmName};

/// A process whose view is older than this starts no new work.
pub const MAX_VIEW_AGE: Duration = Duration::from_secs(2);

/// What a peer reported about its view of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerReport {
    /// When the heartbeat was sent, on this process's clock; the report is no older.
    pub as_of: Instant,
    /// The last offset that the peer had folded.
    pub offset: Offset,
    /// Whether the peer's last attempt did not reach the log.
    pub log_unreachable: bool,
}

/// Evidence that the view is current: reads of the log and reports of peers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FreshnessTracker {
    confirmed_at: Option<Instant>,
    log_unreachable: bool,
    peer_reports: BTreeMap<VmName, PeerReport>,
}

impl FreshnessTracker {
    /// Records that a read sent at `sent`, by this process or a peer, found the log's end
    /// at or below the view's offset.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Records whether this process's own last attempt failed to reach the log.
    pub fn set_log_unreachable(&mut self, unreachable: bool) {
        self.log_unreachable = unreachable;
    }

    /// Whether this process's own last attempt failed to reach the log.
    pub fn log_unreachable(&self) -> bool {
        self.log_unreachable
    }

    /// Records a peer's report, unless a newer one is known.
    pub fn record_report(&mut self, vm: &VmName, report: PeerReport) {
        let known = self.peer_reports.entry(vm.clone()).or_insert(report);
        if known.as_of < report.as_of {
            *known = report;
        }
    }

    /// The reports that are younger than [`MAX_VIEW_AGE`].
    pub fn recent_reports(&self, now: Instant) -> impl Iterator<Item = (&VmName, &PeerReport)> {
        let age = move |report: &PeerReport| now.saturating_duration_since(report.as_of);
        self.peer_reports
            .iter()
            .filter(move |(_, report)| age(report) < MAX_VIEW_AGE)
    }

    /// Drops the reports of VMs that are no longer members.
    pub fn retain_members(&mut self, members: &MemberTable) {
        self.peer_reports.retain(|vm, _| members.get(vm).is_some());
    }

    /// The latest time at which the view at `offset` was known to be at the log's end.
    ///
    /// During a log outage a majority of the members, including this process, replaces the
    /// log: each must have reported, at or after the returned time, that it cannot reach the
    /// log and has folded no more than `offset`.
    ///
    /// ```
    /// use std::time::Instant;
    /// use plantainnotch::ids::{Offset, VmName};
    /// use plantainnotch::view::{View, freshness::FreshnessTracker};
    /// let mut tracker = FreshnessTracker::default();
    /// let now = Instant::now();
    /// tracker.confirm(now);
    /// let view = View::default();
    /// let vm = VmName::new("vm-1");
    /// assert_eq!(tracker.fresh_as_of(&vm, view.members(), Offset(0), now), Some(now));
    /// ```
    pub fn fresh_as_of(
        &self,
        vm: &VmName,
        members: &MemberTable,
        offset: Offset,
        now: Instant,
    ) -> Option<Instant> {
        self.confirmed_at
            .max(self.outage_confirmed_at(vm, members, offset, now))
    }

    /// Whether new work may start at `now`.
    pub fn is_fresh(
        &self,
        vm: &VmName,
        members: &MemberTable,
        offset: Offset,
        now: Instant,
    ) -> bool {
        self.fresh_as_of(vm, members, offset, now)
            .is_some_and(|as_of| now.saturating_duration_since(as_of) < MAX_VIEW_AGE)
    }

    fn outage_confirmed_at(
        &self,
        vm: &VmName,
        members: &MemberTable,
        offset: Offset,
        now: Instant,
    ) -> Option<Instant> {
        if !self.log_unreachable || members.get(vm).is_none() {
            return None;
        }
        let mut times: Vec<Instant> = self
            .peer_reports
            .iter()
            .filter(|(peer, _)| *peer != vm && members.get(peer).is_some())
            .filter(|(_, report)| report.log_unreachable && report.offset <= offset)
            .map(|(_, report)| report.as_of)
            .collect();
        times.push(now);
        // Newest first: this process and enough peers for a majority reported at or after the
        // time at this index.
        times.sort_by(|a, b| b.cmp(a));
        times.get(members.majority() - 1).copied()
    }
}
