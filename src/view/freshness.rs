//! How recently a process knew that its view was the log's newest.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::membership::MemberTable;
use crate::ids::{Offset, VmName};

/// A view older than this starts no new work.
pub const FRESH_FOR: Duration = Duration::from_secs(2);

/// What a peer said about the log, as of a time before the peer was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerReport {
    /// Before the peer was asked, on this process's clock.
    pub as_of: Instant,
    /// The last offset that the peer had folded.
    pub offset: Offset,
    /// Whether the peer could not reach the log.
    pub log_unreachable: bool,
}

/// Tracks how fresh the view is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FreshnessTracker {
    confirmed: Option<Instant>,
    unreachable: bool,
    reports: BTreeMap<VmName, PeerReport>,
}

impl FreshnessTracker {
    /// Notes that the log's end, at or below the view's offset, was read by a call
    /// sent at `sent`, by this process or by a peer.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Notes whether this process's own last attempt reached the log.
    pub fn set_unreachable(&mut self, unreachable: bool) {
        self.unreachable = unreachable;
    }

    /// Whether this process's own last attempt did not reach the log.
    pub fn unreachable(&self) -> bool {
        self.unreachable
    }

    /// Notes a peer's report, unless a newer one is known.
    pub fn report(&mut self, vm: &VmName, report: PeerReport) {
        let known = self.reports.entry(vm.clone()).or_insert(report);
        if known.as_of < report.as_of {
            *known = report;
        }
    }

    /// The reports that are not too old to matter.
    pub fn recent_reports(&self, now: Instant) -> impl Iterator<Item = (&VmName, &PeerReport)> {
        let age = move |report: &PeerReport| now.saturating_duration_since(report.as_of);
        self.reports
            .iter()
            .filter(move |(_, report)| age(report) < FRESH_FOR)
    }

    /// Drops the reports of VMs that are not members any more.
    pub fn retain_members(&mut self, members: &MemberTable) {
        self.reports.retain(|vm, _| members.get(vm).is_some());
    }

    /// The latest time at which the view at `offset` was known to be the newest.
    ///
    /// In a log outage that is the time since when a majority of the members, this
    /// process included, reported that they cannot reach the log and have folded no
    /// more than `offset`.
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
        self.confirmed
            .max(self.outage_agreed_at(vm, members, offset, now))
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
            .is_some_and(|as_of| now.saturating_duration_since(as_of) < FRESH_FOR)
    }

    fn outage_agreed_at(
        &self,
        vm: &VmName,
        members: &MemberTable,
        offset: Offset,
        now: Instant,
    ) -> Option<Instant> {
        if !self.unreachable || members.get(vm).is_none() {
            return None;
        }
        let mut times: Vec<Instant> = self
            .reports
            .iter()
            .filter(|(peer, _)| *peer != vm && members.get(peer).is_some())
            .filter(|(_, report)| report.log_unreachable && report.offset <= offset)
            .map(|(_, report)| report.as_of)
            .collect();
        times.push(now);
        times.sort_by(|a, b| b.cmp(a));
        times.get(members.majority() - 1).copied()
    }
}
