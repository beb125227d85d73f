//! State and decisions of a steward, without input or output.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::orders::{OrderTracker, VersionOrder};
use super::recent::RecentRecords;
use crate::chart::{self, StateChart};
use crate::ids::{
    DomainName, GrantId, InstanceId, ModelName, Offset, RequestId, TargetName, TeamName, VmName,
};
use crate::ledger::grant::{PoolReply, PoolRequest, TicketId};
use crate::ledger::pool::PoolLedger;
use crate::ledger::target_ledger::{StreamReport, TargetGrant};
use crate::ledger::team_ledger::TeamLedger;
use crate::logstore::log::LogRead;
use crate::policy::placement::PlacementPolicy;
use crate::view::checkpoint::{self, RebuildError};
use crate::view::freshness::{FreshnessTracker, PeerReport};
use crate::view::in_force::InForceTracker;
use crate::view::membership::MAX_KEPT_CHANGES;
use crate::view::ownership::{OwnedKey, PoolKey, owner_of};
use crate::view::record::LogEntry;
use crate::view::table::RowKey;
use crate::view::{FoldOutcome, View};
use crate::wire::hot::{AcquireRequest, HeartbeatMessage};
use crate::wire::message::{
    HeldTargetGrant, HeldTeamGrant, PeerReply, PoolStatus, RelayedReport, StewardRefusal,
};

const OWNERSHIP_RETRY_DELAY: Duration = Duration::from_millis(250);
const STALE_RETRY_DELAY: Duration = Duration::from_secs(1);
const CEILING_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Records that were folded into the view.
#[derive(Debug, Default)]
pub struct FoldedRecords {
    /// The records in offset order, with the result of each.
    pub records: Vec<(LogEntry, FoldOutcome)>,
}

/// State of a steward: its view, and the ledgers of the pools and teams that it owns.
#[derive(Debug)]
pub struct StewardCore {
    vm: VmName,
    incarnation: u64,
    leaving: bool,
    policy: PlacementPolicy,
    view: View,
    freshness: FreshnessTracker,
    pending_changes: Vec<InForceTracker>,
    recent_records: RecentRecords,
    pools: BTreeMap<PoolKey, PoolLedger>,
    teams: BTreeMap<TeamName, TeamLedger>,
    last_team_serial: u64,
    orders: OrderTracker,
    peer_loads: BTreeMap<VmName, Vec<PoolStatus>>,
}

impl StewardCore {
    /// Creates a steward with an empty view that is not a member.
    ///
    /// # Errors
    ///
    /// Fails when a chart file is invalid.
    pub fn new(vm: VmName, policy: PlacementPolicy) -> chart::Result<Self> {
        chart::target_chart()?;
        Ok(Self {
            vm,
            incarnation: 0,
            leaving: false,
            policy,
            view: View::default(),
            freshness: FreshnessTracker::default(),
            pending_changes: Vec::new(),
            recent_records: RecentRecords::default(),
            pools: BTreeMap::new(),
            teams: BTreeMap::new(),
            last_team_serial: 0,
            orders: OrderTracker::default(),
            peer_loads: BTreeMap::new(),
        })
    }

    /// The VM on which this steward runs.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// The state folded from the log so far.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Ledgers of the pools that this steward owns, and of those that it lost since the last
    /// [`Self::take_replies`].
    pub fn pools(&self) -> &BTreeMap<PoolKey, PoolLedger> {
        &self.pools
    }

    /// Sets the incarnation with which this steward joins next.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }

    /// The incarnation with which this steward last tried to join; 0 before it did.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether this incarnation of the steward is a member in the view.
    pub fn is_member(&self) -> bool {
        let member = self.view.members().get(&self.vm);
        self.incarnation > 0
            && member.is_some_and(|member| member.join.incarnation == self.incarnation)
    }

    /// Stops taking new work permanently.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }

    /// Whether [`Self::start_leaving`] was called.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the view is recent enough to start new work.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.freshness
            .is_fresh(&self.vm, self.view.members(), self.view.offset(), now)
    }

    /// Time since the view was known to be at the log's end; `None` if it never was.
    pub fn fresh_age(&self, now: Instant) -> Option<Duration> {
        let members = self.view.members();
        let as_of = self
            .freshness
            .fresh_as_of(&self.vm, members, self.view.offset(), now)?;
        Some(now.saturating_duration_since(as_of))
    }

    /// Folds the result of a log read that was sent at `sent`.
    ///
    /// # Errors
    ///
    /// Fails when records that follow this view were truncated; it must then be rebuilt.
    pub fn apply_log_read(
        &mut self,
        read: &LogRead,
        sent: Instant,
        now: Instant,
    ) -> Result<FoldedRecords, RebuildError> {
        if read.head > self.view.offset().next() {
            return Err(RebuildError::Truncated { head: read.head });
        }
        let folded = self.fold(&read.entries, now);
        if self.view.offset() >= read.end {
            self.freshness.confirm(sent);
        }
        Ok(folded)
    }

    /// Records whether the log counts as unreachable: the last read failed, or a read takes or
    /// took too long.
    pub fn set_log_unreachable(&mut self, unreachable: bool) {
        self.freshness.set_log_unreachable(unreachable);
    }

    /// Replaces the view with a newer one. An older one is ignored, so that the offset never
    /// decreases.
    pub fn adopt_view(&mut self, view: View, now: Instant) {
        if view.offset() <= self.view.offset() {
            return;
        }
        let last_known_change = self.view.members().last_change();
        self.view = view;
        self.recent_records.clear();
        self.track_member_changes(last_known_change);
        self.sync_pool_ledgers();
        self.acknowledge_self(now);
    }

    /// Folds records that directly follow the view, and skips others.
    pub fn fold(&mut self, entries: &[LogEntry], now: Instant) -> FoldedRecords {
        let mut folded = FoldedRecords::default();
        let last_known_change = self.view.members().last_change();
        for entry in entries {
            if entry.offset != self.view.offset().next() {
                continue;
            }
            let outcome = self.view.fold(entry);
            self.recent_records.push(entry.clone());
            folded.records.push((entry.clone(), outcome));
        }
        if !folded.records.is_empty() {
            self.track_member_changes(last_known_change);
            self.sync_pool_ledgers();
            self.acknowledge_self(now);
        }
        folded
    }

    /// Starts to track the membership changes after offset `last_known_change` until they are in
    /// force, and drops what former members reported.
    fn track_member_changes(&mut self, last_known_change: Offset) {
        let members = self.view.members();
        if members.last_change() == last_known_change {
            return;
        }
        let changes = members.recent_changes();
        let newer = changes
            .into_iter()
            .filter(|(offset, _)| *offset > last_known_change);
        self.pending_changes
            .extend(newer.map(|(offset, previous)| InForceTracker::new(offset, &previous)));
        let excess = self.pending_changes.len().saturating_sub(MAX_KEPT_CHANGES);
        self.pending_changes.drain(..excess);
        self.freshness.retain_members(members);
        self.peer_loads.retain(|vm, _| members.get(vm).is_some());
    }

    fn acknowledge_self(&mut self, now: Instant) {
        let (vm, offset) = (self.vm.clone(), self.view.offset());
        self.acknowledge(&vm, offset, now);
    }

    fn acknowledge(&mut self, vm: &VmName, offset: Offset, now: Instant) {
        for tracker in &mut self.pending_changes {
            tracker.acknowledge(vm, offset, now);
        }
        self.orders.acknowledge(vm, offset, now);
        self.pending_changes
            .retain(|tracker| !tracker.in_force(now));
    }

    /// Records the platform's list of VMs. A member before a pending change that is not listed
    /// is taken as no longer running, so it counts as having acknowledged every record.
    pub fn record_vm_list(&mut self, vms: &[VmName], now: Instant) {
        let unlisted: Vec<VmName> = self
            .pending_changes
            .iter()
            .flat_map(|tracker| tracker.previous_members().iter())
            .map(|(vm, _)| vm.clone())
            .filter(|vm| !vms.contains(vm))
            .collect();
        for vm in unlisted {
            self.acknowledge(&vm, Offset(u64::MAX), now);
        }
    }

    /// Updates the ledgers of owned pools from the table and the members. Ledgers of pools
    /// that this steward no longer owns refuse all queued requests.
    fn sync_pool_ledgers(&mut self) {
        let mut owned: BTreeSet<PoolKey> = BTreeSet::new();
        if let Some(epoch) = self.own_epoch() {
            for pool in pool_keys(&self.view) {
                if self.owns(OwnedKey::Pool(&pool)) {
                    let ledger = self
                        .pools
                        .entry(pool.clone())
                        .or_insert_with(|| PoolLedger::new(target_chart(), self.policy, epoch));
                    let view = &self.view;
                    let targets = view.targets().filter(|target| in_pool(&pool, target.row));
                    ledger.set_targets(targets, |target| view.in_service(target.row));
                    owned.insert(pool);
                }
            }
        }
        for (key, ledger) in &mut self.pools {
            if !owned.contains(key) {
                ledger.refuse_all();
            }
        }
    }

    fn drop_unowned_ledgers(&mut self) {
        let view = &self.view;
        let vm = &self.vm;
        let owned = |key: OwnedKey<'_>| {
            owner_of(view.members(), key).is_some_and(|member| member.join.vm == *vm)
        };
        self.pools.retain(|key, _| owned(OwnedKey::Pool(key)));
        self.teams.retain(|team, _| owned(OwnedKey::Team(team)));
    }

    fn own_epoch(&self) -> Option<Offset> {
        if !self.is_member() {
            return None;
        }
        self.view.members().get(&self.vm).map(|member| member.epoch)
    }

    fn owns(&self, key: OwnedKey<'_>) -> bool {
        let owner = owner_of(self.view.members(), key);
        self.is_member() && owner.is_some_and(|member| member.join.vm == self.vm)
    }

    /// Whether every change that made this steward the owner of `key` is in force.
    fn ownership_in_force(&self, key: OwnedKey<'_>, now: Instant) -> bool {
        let epoch = self.own_epoch();
        self.pending_changes.iter().all(|tracker| {
            // Ownership under an earlier epoch does not count: another member may have owned
            // `key` since, or this steward has restarted without its ledgers.
            let owned_before = owner_of(tracker.previous_members(), key)
                .is_some_and(|member| member.join.vm == self.vm && Some(member.epoch) == epoch);
            owned_before || tracker.in_force(now)
        })
    }

    /// Checks that this steward may decide about `key`: its view is fresh, and its ownership
    /// is in force.
    fn check_owner(&self, key: OwnedKey<'_>, now: Instant) -> Result<(), PeerReply> {
        let refuse = |refusal, retry_delay: Duration| {
            Err(PeerReply::Refused {
                refusal,
                retry_after_ms: retry_delay.as_millis() as u64,
            })
        };
        if !self.is_fresh(now) {
            return refuse(StewardRefusal::Stale, STALE_RETRY_DELAY);
        }
        if self.leaving || !self.owns(key) {
            return refuse(StewardRefusal::NotOwner, OWNERSHIP_RETRY_DELAY);
        }
        if !self.ownership_in_force(key, now) {
            return refuse(StewardRefusal::NotInForce, OWNERSHIP_RETRY_DELAY);
        }
        Ok(())
    }

    /// Queues a request at a pool. Returns a refusal if it cannot be queued; once it is queued,
    /// the pool's grant or refusal comes from [`Self::take_replies`].
    pub fn queue_at_pool(
        &mut self,
        ticket: TicketId,
        request: &AcquireRequest,
        now: Instant,
    ) -> Option<PeerReply> {
        if let Err(refusal) = self.check_owner(OwnedKey::Pool(&request.pool), now) {
            return Some(refusal);
        }
        let Some(team) = self.view.team(&request.team) else {
            return Some(PeerReply::Refused {
                refusal: StewardRefusal::Unknown,
                retry_after_ms: 0,
            });
        };
        let pool_request = PoolRequest {
            request: request.request,
            team: request.team.clone(),
            weight: team.weight,
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: request.max_output_tokens,
            prefix_hash: request.prefix_hash,
            deadline: now + Duration::from_millis(request.deadline_ms),
            idle_only: request.idle_only,
        };
        let view = &self.view;
        let approved = |team: &TeamName, target: &TargetName| is_approved(view, team, target);
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return Some(PeerReply::Refused {
                refusal: StewardRefusal::Unknown,
                retry_after_ms: 0,
            });
        };
        pool.acquire(ticket, pool_request, &approved, now);
        pool.dispatch(&approved, now);
        None
    }

    /// Removes a request from the queue of its pool.
    pub fn cancel(&mut self, ticket: TicketId) {
        for pool in self.pools.values_mut() {
            pool.cancel(ticket);
        }
    }

    /// Grants queued requests that fit in the pools about which this steward may decide, and
    /// returns all new replies.
    pub fn dispatch(&mut self, now: Instant) -> Vec<(TicketId, PeerReply)> {
        let decidable = self.decidable_pools(now);
        let view = &self.view;
        let approved = |team: &TeamName, target: &TargetName| is_approved(view, team, target);
        for key in &decidable {
            if let Some(pool) = self.pools.get_mut(key) {
                pool.dispatch(&approved, now);
            }
        }
        self.take_replies(now)
    }

    /// Returns the replies since the last call, and drops the ledgers of pools and teams that
    /// other stewards now own.
    pub fn take_replies(&mut self, now: Instant) -> Vec<(TicketId, PeerReply)> {
        let mut replies = Vec::new();
        for pool in self.pools.values_mut() {
            for (ticket, reply) in pool.take_replies() {
                replies.push((ticket, peer_reply(reply, pool, now)));
            }
        }
        self.drop_unowned_ledgers();
        replies
    }

    /// Reserves tokens under a team's ceiling for at most `time_left`.
    pub fn reserve_team_tokens(
        &mut self,
        team: &TeamName,
        tokens: u64,
        time_left: Duration,
        now: Instant,
    ) -> PeerReply {
        if let Err(refusal) = self.check_owner(OwnedKey::Team(team), now) {
            return refusal;
        }
        let (Some(row), Some(epoch)) = (self.view.team(team), self.own_epoch()) else {
            return PeerReply::Refused {
                refusal: StewardRefusal::Unknown,
                retry_after_ms: 0,
            };
        };
        self.last_team_serial += 1;
        let grant = GrantId {
            epoch,
            serial: self.last_team_serial,
        };
        let ledger = self.teams.entry(team.clone()).or_default();
        if ledger.reserve(grant, tokens, row.ceiling_tokens, now + time_left, now) {
            return PeerReply::TeamGranted { grant };
        }
        PeerReply::Refused {
            refusal: StewardRefusal::Ceiling,
            retry_after_ms: CEILING_RETRY_DELAY.as_millis() as u64,
        }
    }

    /// Releases a reservation under a team's ceiling.
    pub fn release_team(&mut self, team: &TeamName, grant: GrantId) {
        if let Some(ledger) = self.teams.get_mut(team) {
            ledger.release(grant);
        }
    }

    /// Applies `change` to the ledger of a pool, if this steward has it.
    pub fn with_pool(&mut self, key: &PoolKey, change: impl FnOnce(&mut PoolLedger)) {
        if let Some(pool) = self.pools.get_mut(key) {
            change(pool);
        }
    }

    /// Adopts reservations that an entry holds from their previous owner. Returns `false`,
    /// and adopts none, if this steward does not own all of their pools and teams.
    pub fn adopt_grants(
        &mut self,
        targets: &[HeldTargetGrant],
        teams: &[HeldTeamGrant],
        now: Instant,
    ) -> bool {
        let owns_pools = targets
            .iter()
            .all(|held| self.owns(OwnedKey::Pool(&held.pool)));
        let owns_teams = teams
            .iter()
            .all(|held| self.owns(OwnedKey::Team(&held.team)));
        if !owns_pools || !owns_teams {
            return false;
        }
        for held in targets {
            let expires = now + Duration::from_millis(held.deadline_ms);
            let grant = TargetGrant {
                request: held.request,
                memory_tokens: held.part.memory_tokens,
                prompt_tokens: held.prompt_tokens,
                backlog_tokens: held.prompt_tokens,
                lane: held.lane,
                prefilled: held.prefilled,
                use_by: now,
                expires,
            };
            self.with_pool(&held.pool, |pool| {
                pool.adopt(&held.part.target, held.part.grant, grant);
            });
        }
        for held in teams {
            let expires = now + Duration::from_millis(held.deadline_ms);
            let ledger = self.teams.entry(held.team.clone()).or_default();
            ledger.adopt(held.grant, held.tokens, expires);
        }
        true
    }

    /// Reconciles the ledger with a target's list of streams. Returns the requests to cancel
    /// at the target.
    pub fn reconcile_target(
        &mut self,
        key: &PoolKey,
        target: &TargetName,
        instance: &InstanceId,
        listed: &[StreamReport],
        sent: Instant,
        now: Instant,
    ) -> Vec<RequestId> {
        match self.pools.get_mut(key) {
            Some(pool) => pool.reconcile(target, instance, listed, sent, now),
            None => Vec::new(),
        }
    }

    /// Records the version that a target reports to run.
    pub fn record_target_version(&mut self, target: &TargetName, version: &str) {
        self.orders.record_version(target, version);
    }

    /// The orders that are due, for targets of pools about which this steward may decide.
    pub fn due_orders(&mut self, now: Instant) -> Vec<VersionOrder> {
        self.acknowledge_self(now);
        let decidable = self.decidable_pools(now);
        let view = &self.view;
        let mut due = Vec::new();
        for target in view.targets() {
            let key = pool_key(&target.row.model, &target.row.domain);
            if !decidable.contains(&key) {
                continue;
            }
            let row_key = RowKey::Target(target.name.clone());
            let Some(entry) = view.rows().get(&row_key) else {
                continue;
            };
            let order =
                self.orders
                    .due_order(target.name, target.row, entry.version, view.members(), now);
            due.extend(order);
        }
        due
    }

    /// The owned pools for which [`Self::check_owner`] finds no refusal.
    fn decidable_pools(&self, now: Instant) -> Vec<PoolKey> {
        self.pools
            .keys()
            .filter(|key| self.check_owner(OwnedKey::Pool(key), now).is_ok())
            .cloned()
            .collect()
    }

    /// The heartbeat to send or reply at `now`; its view age is an upper bound.
    pub fn heartbeat(&self, now: Instant) -> HeartbeatMessage {
        HeartbeatMessage {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            offset: self.view.offset(),
            fresh_age_ms: self.fresh_age(now).map(|age| age.as_millis() as u64 + 1),
            log_unreachable: self.freshness.log_unreachable(),
        }
    }

    /// Recent reports of peers, to relay in heartbeats. They are needed only while a
    /// membership change is not in force or the log is unreachable: then a majority counts,
    /// which is more than a member's neighbours.
    pub fn relayed_reports(&self, now: Instant) -> Vec<RelayedReport> {
        if self.pending_changes.is_empty() && !self.freshness.log_unreachable() {
            return Vec::new();
        }
        let recent = self.freshness.recent_reports(now);
        let relayed = recent.map(|(vm, report)| RelayedReport {
            vm: vm.clone(),
            offset: report.offset,
            log_unreachable: report.log_unreachable,
            age_ms: now.saturating_duration_since(report.as_of).as_millis() as u64 + 1,
        });
        relayed.collect()
    }

    /// Load of each pool in [`Self::pools`].
    pub fn own_loads(&self) -> Vec<PoolStatus> {
        self.pools
            .iter()
            .map(|(pool, ledger)| PoolStatus {
                pool: pool.clone(),
                load: ledger.load(),
            })
            .collect()
    }

    /// Load of each own pool, and of the pools that peers reported.
    pub fn known_loads(&self) -> Vec<PoolStatus> {
        let mut loads = self.own_loads();
        loads.extend(self.peer_loads.values().flatten().cloned());
        loads
    }

    /// Records a heartbeat that a peer sent. Its age is unknown, so it does not count
    /// towards freshness. Returns whether the peer has records that this steward lacks.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: &HeartbeatMessage,
        loads: Vec<PoolStatus>,
        relayed: &[RelayedReport],
        now: Instant,
    ) -> bool {
        if self.view.members().get(&heartbeat.vm).is_some() {
            self.peer_loads.insert(heartbeat.vm.clone(), loads);
        }
        self.acknowledge(&heartbeat.vm, heartbeat.offset, now);
        for report in relayed {
            self.acknowledge(&report.vm, report.offset, now);
        }
        heartbeat.offset > self.view.offset()
    }

    /// Records a peer's reply to a heartbeat that was sent at `sent`. Returns whether the
    /// peer has records that this steward lacks.
    pub fn record_heartbeat_reply(
        &mut self,
        heartbeat: &HeartbeatMessage,
        loads: Vec<PoolStatus>,
        relayed: &[RelayedReport],
        sent: Instant,
        now: Instant,
    ) -> bool {
        if self.view.members().get(&heartbeat.vm).is_some() {
            let report = PeerReport {
                as_of: sent,
                offset: heartbeat.offset,
                log_unreachable: heartbeat.log_unreachable,
            };
            self.freshness.record_report(&heartbeat.vm, report);
        }
        for relayed_report in relayed {
            let age = Duration::from_millis(relayed_report.age_ms);
            let is_member = self.view.members().get(&relayed_report.vm).is_some();
            let Some(as_of) = sent.checked_sub(age).filter(|_| is_member) else {
                continue;
            };
            let report = PeerReport {
                as_of,
                offset: relayed_report.offset,
                log_unreachable: relayed_report.log_unreachable,
            };
            self.freshness.record_report(&relayed_report.vm, report);
        }
        if heartbeat.offset <= self.view.offset() {
            let age = heartbeat.fresh_age_ms.map(Duration::from_millis);
            if let Some(as_of) = age.and_then(|age| sent.checked_sub(age)) {
                self.freshness.confirm(as_of);
            }
        }
        self.record_heartbeat(heartbeat, loads, relayed, now)
    }

    /// The records after offset `after`, if all of them are still cached.
    pub fn records_after(&self, after: Offset) -> Option<Vec<LogEntry>> {
        if after >= self.view.offset() {
            return Some(Vec::new());
        }
        self.recent_records.after(after)
    }

    /// The whole view, encoded as in a checkpoint.
    pub fn encode_view(&self) -> String {
        checkpoint::encode(&self.view)
    }
}

fn is_approved(view: &View, team: &TeamName, target: &TargetName) -> bool {
    view.target(target).is_some_and(|row| {
        let target = crate::view::fold::TargetRef { name: target, row };
        view.approved(team, target)
    })
}

/// The pools of all targets in the table.
pub fn pool_keys(view: &View) -> BTreeSet<PoolKey> {
    view.targets()
        .map(|target| pool_key(&target.row.model, &target.row.domain))
        .collect()
}

fn pool_key(model: &ModelName, domain: &DomainName) -> PoolKey {
    PoolKey {
        model: model.clone(),
        domain: domain.clone(),
    }
}

fn in_pool(pool: &PoolKey, row: &crate::view::table::TargetRow) -> bool {
    row.model == pool.model && row.domain == pool.domain
}

fn target_chart() -> StateChart {
    chart::target_chart().expect("the chart was checked at start")
}

fn peer_reply(reply: PoolReply, pool: &PoolLedger, now: Instant) -> PeerReply {
    match reply {
        PoolReply::Granted {
            parts,
            use_by,
            lane,
            priority,
            alternatives,
            queue_time,
        } => PeerReply::PoolGranted {
            parts,
            use_by_ms: use_by.saturating_duration_since(now).as_millis() as u64,
            lane,
            priority,
            alternatives,
            waited_ms: queue_time.as_millis() as u64,
            load: pool.load(),
        },
        PoolReply::Refused {
            refusal,
            retry_after,
        } => PeerReply::PoolRefused {
            refusal,
            retry_after_ms: retry_after.as_millis() as u64,
            load: pool.load(),
        },
    }
}
