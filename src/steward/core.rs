//! What a steward knows and decides, without input or output.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::orders::{OrderBook, TargetOrder};
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
use crate::view::{Verdict, View};
use crate::wire::hot::{BeatMessage, PoolAsk};
use crate::wire::message::{
    HeldTarget, HeldTeam, PeerReply, PoolStatus, RelayedReport, StewardRefusal,
};

const RETRY_UNSETTLED: Duration = Duration::from_millis(250);
const RETRY_STALE: Duration = Duration::from_secs(1);
const RETRY_CEILING: Duration = Duration::from_secs(1);

/// What folding records brought about.
#[derive(Debug, Default)]
pub struct FoldNews {
    /// The records folded, with the verdict on each.
    pub folded: Vec<(LogEntry, Verdict)>,
}

/// A steward's state.
#[derive(Debug)]
pub struct StewardCore {
    vm: VmName,
    incarnation: u64,
    leaving: bool,
    policy: PlacementPolicy,
    view: View,
    freshness: FreshnessTracker,
    pending: Vec<InForceTracker>,
    recent: RecentRecords,
    pools: BTreeMap<PoolKey, PoolLedger>,
    teams: BTreeMap<TeamName, TeamLedger>,
    next_team_serial: u64,
    orders: OrderBook,
    peer_loads: BTreeMap<VmName, Vec<PoolStatus>>,
}

impl StewardCore {
    /// A steward that has folded nothing and is not a member.
    ///
    /// # Errors
    ///
    /// Fails when a chart file is faulty.
    pub fn new(vm: VmName, policy: PlacementPolicy) -> chart::Result<Self> {
        chart::target_chart()?;
        Ok(Self {
            vm,
            incarnation: 0,
            leaving: false,
            policy,
            view: View::default(),
            freshness: FreshnessTracker::default(),
            pending: Vec::new(),
            recent: RecentRecords::default(),
            pools: BTreeMap::new(),
            teams: BTreeMap::new(),
            next_team_serial: 0,
            orders: OrderBook::default(),
            peer_loads: BTreeMap::new(),
        })
    }

    /// The VM.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// The view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The pools that this steward owns.
    pub fn pools(&self) -> &BTreeMap<PoolKey, PoolLedger> {
        &self.pools
    }

    /// Sets the incarnation with which this steward joins next.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }

    /// The incarnation with which this steward last tried to join.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the view says that this life of the steward is a member.
    pub fn is_member(&self) -> bool {
        let member = self.view.members().get(&self.vm);
        self.incarnation > 0
            && member.is_some_and(|member| member.join.incarnation == self.incarnation)
    }

    /// Stops taking new work for good.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }

    /// Whether this steward is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether new work may start.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.freshness
            .is_fresh(&self.vm, self.view.members(), self.view.offset(), now)
    }

    /// Time since the view was known to be the newest.
    pub fn fresh_age(&self, now: Instant) -> Option<Duration> {
        let members = self.view.members();
        let as_of = self
            .freshness
            .fresh_as_of(&self.vm, members, self.view.offset(), now)?;
        Some(now.saturating_duration_since(as_of))
    }

    /// Takes in an answer of the log that was asked for at `sent`.
    ///
    /// # Errors
    ///
    /// Fails when the log's head was cut past this view; it must then be rebuilt.
    pub fn log_answered(
        &mut self,
        read: &LogRead,
        sent: Instant,
        now: Instant,
    ) -> Result<FoldNews, RebuildError> {
        if read.head > self.view.offset().next() {
            return Err(RebuildError::HeadCut { head: read.head });
        }
        let news = self.fold(&read.entries, now);
        if self.view.offset() >= read.end {
            self.freshness.confirm(sent);
        }
        Ok(news)
    }

    /// Notes whether reads of the log go unanswered.
    pub fn set_log_unreachable(&mut self, unreachable: bool) {
        self.freshness.set_log_unreachable(unreachable);
    }

    /// Replaces a view that is older than `view`. An offset never goes back.
    pub fn adopt_view(&mut self, view: View, now: Instant) {
        if view.offset() <= self.view.offset() {
            return;
        }
        let known = self.view.members().last_change();
        self.view = view;
        self.recent.clear();
        self.note_membership(known);
        self.sync_pools();
        self.acknowledge_self(now);
    }

    /// Folds records that follow the view, from the log or a peer.
    pub fn fold(&mut self, entries: &[LogEntry], now: Instant) -> FoldNews {
        let mut news = FoldNews::default();
        let known = self.view.members().last_change();
        for entry in entries {
            if entry.offset != self.view.offset().next() {
                continue;
            }
            let verdict = self.view.fold(entry);
            self.recent.push(entry.clone());
            news.folded.push((entry.clone(), verdict));
        }
        if !news.folded.is_empty() {
            self.note_membership(known);
            self.sync_pools();
            self.acknowledge_self(now);
        }
        news
    }

    fn note_membership(&mut self, known: Offset) {
        let members = self.view.members();
        if members.last_change() == known {
            return;
        }
        let changes = members.recent_changes();
        let newer = changes.into_iter().filter(|(offset, _)| *offset > known);
        self.pending
            .extend(newer.map(|(offset, before)| InForceTracker::new(offset, &before)));
        let excess = self.pending.len().saturating_sub(MAX_KEPT_CHANGES);
        self.pending.drain(..excess);
        self.freshness.retain_members(members);
        self.peer_loads.retain(|vm, _| members.get(vm).is_some());
    }

    fn acknowledge_self(&mut self, now: Instant) {
        let (vm, offset) = (self.vm.clone(), self.view.offset());
        self.acknowledge(&vm, offset, now);
    }

    fn acknowledge(&mut self, vm: &VmName, offset: Offset, now: Instant) {
        for tracker in &mut self.pending {
            tracker.acknowledge(vm, offset, now);
        }
        self.orders.acknowledge(vm, offset, now);
        self.pending.retain(|tracker| !tracker.in_force(now));
    }

    /// Notes the platform's list of VMs: one that is gone counts as having folded all.
    pub fn vms_listed(&mut self, vms: &[VmName], now: Instant) {
        let gone: Vec<VmName> = self
            .pending
            .iter()
            .flat_map(|tracker| tracker.previous_members().iter())
            .map(|(vm, _)| vm.clone())
            .filter(|vm| !vms.contains(vm))
            .collect();
        for vm in gone {
            self.acknowledge(&vm, Offset(u64::MAX), now);
        }
    }

    /// Makes the ledgers of owned pools match the table and the members.
    fn sync_pools(&mut self) {
        let mut wanted: BTreeSet<PoolKey> = BTreeSet::new();
        if let Some(epoch) = self.own_epoch() {
            for pool in pool_keys(&self.view) {
                if self.owns(OwnedKey::Pool(&pool)) {
                    let ledger = self
                        .pools
                        .entry(pool.clone())
                        .or_insert_with(|| PoolLedger::new(checked_chart(), self.policy, epoch));
                    let view = &self.view;
                    let targets = view.targets().filter(|target| in_pool(&pool, target.row));
                    ledger.set_targets(targets, |target| view.in_service(target.row));
                    wanted.insert(pool);
                }
            }
        }
        for (key, ledger) in &mut self.pools {
            if !wanted.contains(key) {
                ledger.refuse_all();
            }
        }
    }

    /// Drops the ledgers of pools and teams that other stewards own now.
    fn drop_foreign(&mut self) {
        let view = &self.view;
        let vm = &self.vm;
        let mine = |key: OwnedKey<'_>| {
            owner_of(view.members(), key).is_some_and(|member| member.join.vm == *vm)
        };
        self.pools.retain(|key, _| mine(OwnedKey::Pool(key)));
        self.teams.retain(|team, _| mine(OwnedKey::Team(team)));
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
    fn settled(&self, key: OwnedKey<'_>, now: Instant) -> bool {
        let epoch = self.own_epoch();
        self.pending.iter().all(|tracker| {
            let owned_before = owner_of(tracker.previous_members(), key)
                .is_some_and(|member| member.join.vm == self.vm && Some(member.epoch) == epoch);
            owned_before || tracker.in_force(now)
        })
    }

    /// Checks that this steward may decide about `key`.
    fn check_owner(&self, key: OwnedKey<'_>, now: Instant) -> Result<(), PeerReply> {
        let refuse = |refusal, after: Duration| {
            Err(PeerReply::Refused {
                refusal,
                retry_after_ms: after.as_millis() as u64,
            })
        };
        if !self.is_fresh(now) {
            return refuse(StewardRefusal::Stale, RETRY_STALE);
        }
        if self.leaving || !self.owns(key) {
            return refuse(StewardRefusal::NotOwner, RETRY_UNSETTLED);
        }
        if !self.settled(key, now) {
            return refuse(StewardRefusal::NotSettled, RETRY_UNSETTLED);
        }
        Ok(())
    }

    /// Queues a request at a pool; an answer that comes at once is returned.
    pub fn acquire_pool(
        &mut self,
        ticket: TicketId,
        ask: &PoolAsk,
        now: Instant,
    ) -> Option<PeerReply> {
        if let Err(refusal) = self.check_owner(OwnedKey::Pool(&ask.pool), now) {
            return Some(refusal);
        }
        let Some(team) = self.view.team(&ask.team) else {
            return Some(PeerReply::Refused {
                refusal: StewardRefusal::Unknown,
                retry_after_ms: 0,
            });
        };
        let request = PoolRequest {
            request: ask.request,
            team: ask.team.clone(),
            weight: team.weight,
            prompt: ask.prompt,
            max_output: ask.max_output,
            prefix: ask.prefix,
            deadline: now + Duration::from_millis(ask.deadline_ms),
            idle_only: ask.idle_only,
        };
        let view = &self.view;
        let approved = |team: &TeamName, target: &TargetName| approved_at(view, team, target);
        let Some(pool) = self.pools.get_mut(&ask.pool) else {
            return Some(PeerReply::Refused {
                refusal: StewardRefusal::Unknown,
                retry_after_ms: 0,
            });
        };
        pool.acquire(ticket, request, &approved, now);
        pool.dispatch(&approved, now);
        None
    }

    /// Withdraws a request that waits at any pool.
    pub fn cancel(&mut self, ticket: TicketId) {
        for pool in self.pools.values_mut() {
            pool.cancel(ticket);
        }
    }

    /// Grants what fits in all settled pools, and returns the answers made.
    pub fn dispatch(&mut self, now: Instant) -> Vec<(TicketId, PeerReply)> {
        let settled = self.settled_pools(now);
        let view = &self.view;
        let approved = |team: &TeamName, target: &TargetName| approved_at(view, team, target);
        for key in &settled {
            if let Some(pool) = self.pools.get_mut(key) {
                pool.dispatch(&approved, now);
            }
        }
        self.take_replies(now)
    }

    /// Answers made since the last call.
    pub fn take_replies(&mut self, now: Instant) -> Vec<(TicketId, PeerReply)> {
        let mut replies = Vec::new();
        for pool in self.pools.values_mut() {
            for (ticket, reply) in pool.take_replies() {
                replies.push((ticket, peer_reply(reply, pool, now)));
            }
        }
        self.drop_foreign();
        replies
    }

    /// Reserves tokens under a team's ceiling.
    pub fn acquire_team(
        &mut self,
        team: &TeamName,
        amount: u64,
        deadline: Duration,
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
        self.next_team_serial += 1;
        let grant = GrantId {
            epoch,
            serial: self.next_team_serial,
        };
        let ledger = self.teams.entry(team.clone()).or_default();
        if ledger.reserve(grant, amount, row.ceiling_tokens, now + deadline, now) {
            return PeerReply::TeamGranted { grant };
        }
        PeerReply::Refused {
            refusal: StewardRefusal::Ceiling,
            retry_after_ms: RETRY_CEILING.as_millis() as u64,
        }
    }

    /// Gives tokens back to a team.
    pub fn release_team(&mut self, team: &TeamName, grant: GrantId) {
        if let Some(ledger) = self.teams.get_mut(team) {
            ledger.release(grant);
        }
    }

    /// Applies `change` to an owned pool's ledger.
    pub fn with_pool(&mut self, key: &PoolKey, change: impl FnOnce(&mut PoolLedger)) {
        if let Some(pool) = self.pools.get_mut(key) {
            change(pool);
        }
    }

    /// Takes over reservations that an entry holds from their previous owner. Returns
    /// whether this steward knows itself as the owner of all of them.
    pub fn adopt_grants(
        &mut self,
        targets: &[HeldTarget],
        teams: &[HeldTeam],
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
                amount: held.part.share,
                prompt: held.prompt,
                backlog: held.prompt,
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
            ledger.adopt(held.grant, held.amount, expires);
        }
        true
    }

    /// Takes in a target's own list; returns what to cancel there.
    pub fn target_listed(
        &mut self,
        key: &PoolKey,
        target: &TargetName,
        instance: &InstanceId,
        listed: &[StreamReport],
        asked: Instant,
        now: Instant,
    ) -> Vec<RequestId> {
        match self.pools.get_mut(key) {
            Some(pool) => pool.reconcile(target, instance, listed, asked, now),
            None => Vec::new(),
        }
    }

    /// Notes which version a target says it runs.
    pub fn version_reported(&mut self, target: &TargetName, version: &str) {
        self.orders.report(target, version);
    }

    /// The orders that are due to targets of owned and settled pools.
    pub fn due_orders(&mut self, now: Instant) -> Vec<TargetOrder> {
        self.acknowledge_self(now);
        let settled = self.settled_pools(now);
        let view = &self.view;
        let mut due = Vec::new();
        for target in view.targets() {
            let key = pool_key(&target.row.model, &target.row.domain);
            if !settled.contains(&key) {
                continue;
            }
            let row_key = RowKey::Target(target.name.clone());
            let Some(entry) = view.rows().get(&row_key) else {
                continue;
            };
            let order =
                self.orders
                    .due(target.name, target.row, entry.version, view.members(), now);
            due.extend(order);
        }
        due
    }

    /// The owned pools about which this steward may decide at present.
    fn settled_pools(&self, now: Instant) -> Vec<PoolKey> {
        self.pools
            .keys()
            .filter(|key| self.check_owner(OwnedKey::Pool(key), now).is_ok())
            .cloned()
            .collect()
    }

    /// What this steward says of itself.
    pub fn beat(&self, now: Instant) -> BeatMessage {
        BeatMessage {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            offset: self.view.offset(),
            fresh_age_ms: self.fresh_age(now).map(|age| age.as_millis() as u64 + 1),
            log_unreachable: self.freshness.log_unreachable(),
        }
    }

    /// What this steward heard of others, as long as a change of members is not in force or
    /// the log is out: only then do members need the word of more than their neighbours.
    pub fn relayed(&self, now: Instant) -> Vec<RelayedReport> {
        if self.pending.is_empty() && !self.freshness.log_unreachable() {
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

    /// Loads of the pools that this steward owns.
    pub fn own_loads(&self) -> Vec<PoolStatus> {
        self.pools
            .iter()
            .map(|(pool, ledger)| PoolStatus {
                pool: pool.clone(),
                load: ledger.load(),
            })
            .collect()
    }

    /// Loads of all pools that this steward knows of.
    pub fn known_loads(&self) -> Vec<PoolStatus> {
        let mut loads = self.own_loads();
        loads.extend(self.peer_loads.values().flatten().cloned());
        loads
    }

    /// Takes in what a peer said of itself unasked. How old that is cannot be known, so
    /// it counts for nothing that depends on time. Returns whether the peer has records
    /// that this steward lacks.
    pub fn peer_told(
        &mut self,
        beat: &BeatMessage,
        loads: Vec<PoolStatus>,
        relayed: &[RelayedReport],
        now: Instant,
    ) -> bool {
        if self.view.members().get(&beat.vm).is_some() {
            self.peer_loads.insert(beat.vm.clone(), loads);
        }
        self.acknowledge(&beat.vm, beat.offset, now);
        for report in relayed {
            self.acknowledge(&report.vm, report.offset, now);
        }
        beat.offset > self.view.offset()
    }

    /// Takes in a peer's answer to what was asked at `asked`. Returns whether the peer
    /// has records that this steward lacks.
    pub fn peer_answered(
        &mut self,
        beat: &BeatMessage,
        loads: Vec<PoolStatus>,
        relayed: &[RelayedReport],
        asked: Instant,
        now: Instant,
    ) -> bool {
        if self.view.members().get(&beat.vm).is_some() {
            let report = PeerReport {
                as_of: asked,
                offset: beat.offset,
                log_unreachable: beat.log_unreachable,
            };
            self.freshness.record_report(&beat.vm, report);
        }
        for heard in relayed {
            let age = Duration::from_millis(heard.age_ms);
            let known = self.view.members().get(&heard.vm).is_some();
            let Some(as_of) = asked.checked_sub(age).filter(|_| known) else {
                continue;
            };
            let report = PeerReport {
                as_of,
                offset: heard.offset,
                log_unreachable: heard.log_unreachable,
            };
            self.freshness.record_report(&heard.vm, report);
        }
        if beat.offset <= self.view.offset() {
            let age = beat.fresh_age_ms.map(Duration::from_millis);
            if let Some(as_of) = age.and_then(|age| asked.checked_sub(age)) {
                self.freshness.confirm(as_of);
            }
        }
        self.peer_told(beat, loads, relayed, now)
    }

    /// Records after `after`, if they are all still in memory.
    pub fn records_after(&self, after: Offset) -> Option<Vec<LogEntry>> {
        if after >= self.view.offset() {
            return Some(Vec::new());
        }
        self.recent.after(after)
    }

    /// The whole view as text.
    pub fn snapshot(&self) -> String {
        checkpoint::encode(&self.view)
    }
}

fn approved_at(view: &View, team: &TeamName, target: &TargetName) -> bool {
    view.target(target).is_some_and(|row| {
        let target = crate::view::fold::TargetRef { name: target, row };
        view.approved(team, target)
    })
}

/// The pools that the table's targets form.
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

fn checked_chart() -> StateChart {
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
            waited,
        } => PeerReply::PoolGranted {
            parts,
            use_by_ms: use_by.saturating_duration_since(now).as_millis() as u64,
            lane,
            priority,
            alternatives,
            waited_ms: waited.as_millis() as u64,
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
