//! The steward as an actor: timers, calls, and the core between them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tokio::sync::oneshot;

use super::core::{FoldNews, StewardCore};
use super::messages::{
    BeatAnswer, BeatArrived, LeaveFleet, LogArrived, NewsArrived, ProbeEnded, ReadSoon,
    TargetListed, ViewRebuilt, VmsListed,
};
use super::metrics::StewardMetrics;
use super::peers::{BEAT_EVERY, PeerWatch, SuspicionStep};
use super::rebuild::rebuild_view;
use super::writer::{LogWriter, WriteState};
use crate::clock::TimeSource;
use crate::config::StewardSettings;
use crate::ids::{InstanceId, Offset, VmName};
use crate::ledger::grant::TicketId;
use crate::logstore::log::LogClient;
use crate::logstore::vms::fetch_vms;
use crate::target::control::{cancel_stream, list_streams, send_order};
use crate::view::checkpoint;
use crate::view::ownership::{OwnedKey, PoolKey, owner_of, ranks_in_top};
use crate::view::record::{LogRecord, MemberJoin, RecordBody};
use crate::view::table::TargetKind;
use crate::wire::message::target_names;
use crate::wire::{PeerCall, PeerClient, PeerReply};

const READ_EVERY: Duration = Duration::from_millis(400);
const READS_IN_FLIGHT: usize = 6;

/// Members that read the log whatever their peers tell them.
const LOG_READERS: usize = 16;

/// A view that peers keep newer than this needs no read of its own.
const RELAYED_AGE: Duration = Duration::from_millis(900);
const READ_LATE: Duration = Duration::from_millis(1000);
const TICK_EVERY: Duration = Duration::from_millis(50);
const LIST_TARGETS_EVERY: Duration = Duration::from_millis(500);
const LIST_VMS_EVERY: Duration = Duration::from_secs(5);
const CALL_WITHIN: Duration = Duration::from_secs(1);
const PROBE_HELPERS: usize = 3;
const CLAIM_TICKS: u32 = 1;

pub(super) struct FollowWaiter {
    pub(super) after: Offset,
    pub(super) until: Instant,
    pub(super) reply: oneshot::Sender<PeerReply>,
}

/// The steward's actor.
pub struct StewardActor {
    pub(super) settings: StewardSettings,
    pub(super) clock: TimeSource,
    pub(super) core: StewardCore,
    pub(super) log: LogClient,
    pub(super) http: awc::Client,
    pub(super) writer: LogWriter,
    pub(super) watch: PeerWatch,
    pub(super) clients: BTreeMap<String, Arc<PeerClient>>,
    pub(super) tickets: BTreeMap<TicketId, oneshot::Sender<PeerReply>>,
    pub(super) followers: Vec<FollowWaiter>,
    pub(super) reads: Vec<Instant>,
    pub(super) rebuilding: bool,
    pub(super) last_checkpoint: Offset,
    pub(super) checkpoint_seen: Instant,
    pub(super) metrics: Rc<StewardMetrics>,
}

impl StewardActor {
    /// An actor that starts to read the log when it is started.
    ///
    /// # Errors
    ///
    /// Fails when a chart file is faulty.
    pub fn new(
        settings: StewardSettings,
        clock: TimeSource,
        metrics: Rc<StewardMetrics>,
    ) -> crate::chart::Result<Self> {
        let core = StewardCore::new(settings.vm.clone(), settings.policy)?;
        Ok(Self {
            log: LogClient::new(&settings.platform),
            http: awc::Client::default(),
            core,
            settings,
            checkpoint_seen: clock.now(),
            clock,
            writer: LogWriter::default(),
            watch: PeerWatch::default(),
            clients: BTreeMap::new(),
            tickets: BTreeMap::new(),
            followers: Vec::new(),
            reads: Vec::new(),
            rebuilding: false,
            last_checkpoint: Offset(0),
            metrics,
        })
    }

    fn client(&mut self, address: &str) -> Arc<PeerClient> {
        let client = self
            .clients
            .entry(address.to_owned())
            .or_insert_with(|| Arc::new(PeerClient::new(address)));
        client.clone()
    }

    /// Beyond a few members, most learn of the log's end from the peers that read it, and
    /// read it themselves only when that takes too long.
    fn read_in_turn(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let members = self.core.view().members();
        let reader = ranks_in_top(members, OwnedKey::LogReader, self.core.vm(), LOG_READERS);
        let age = self.core.fresh_age(now);
        if reader || age.is_none_or(|age| age > RELAYED_AGE) {
            self.start_read(ctx);
        }
    }

    fn start_read(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let late = self
            .reads
            .iter()
            .any(|sent| now.duration_since(*sent) > READ_LATE);
        if late {
            self.core.set_log_unreachable(true);
        }
        if self.reads.len() >= READS_IN_FLIGHT {
            return;
        }
        self.reads.push(now);
        let log = self.log.clone();
        let after = self.core.view().offset();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let result = log.read(after).await;
            addr.do_send(LogArrived { sent: now, result });
        });
    }

    fn send_records(&mut self, records: Vec<LogRecord>, ctx: &mut Context<Self>) {
        if records.is_empty() {
            return;
        }
        self.metrics.appends.inc_by(records.len() as u64);
        let log = self.log.clone();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            if let Err(error) = log.append(&records).await {
                tracing::warn!(%error, "append not confirmed; it is sent again until read back");
            }
            addr.do_send(ReadSoon);
        });
    }

    fn write(
        &mut self,
        body: RecordBody,
        waiters: Vec<oneshot::Sender<WriteState>>,
        ctx: &mut Context<Self>,
    ) {
        let record = self.writer.start(body, waiters, self.clock.now());
        self.send_records(vec![record], ctx);
    }

    fn take_news(&mut self, news: &FoldNews, ctx: &mut Context<Self>) {
        for (entry, verdict) in &news.folded {
            let Some(record) = &entry.record else {
                tracing::warn!(offset = %entry.offset, "the log holds a text that is not a record of this release");
                continue;
            };
            self.writer.read_back(record.id, verdict);
            if let RecordBody::Checkpoint { as_of, .. } = &record.body {
                self.last_checkpoint = self.last_checkpoint.max(*as_of);
                self.checkpoint_seen = self.clock.now();
            }
        }
        if !news.folded.is_empty() {
            self.answer_followers();
            self.maintain_membership(ctx);
            self.flush_replies();
        }
    }

    /// Joins when this life of the steward is not a member; rejoins after eviction.
    fn maintain_membership(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let own = self.core.vm().clone();
        let neighbours: Vec<(VmName, u64)> = self
            .core
            .view()
            .members()
            .neighbours(&own, self.settings.neighbours)
            .into_iter()
            .map(|member| (member.join.vm.clone(), member.join.incarnation))
            .collect();
        self.watch
            .retain(|vm| neighbours.iter().any(|(name, _)| name == vm));
        for (vm, incarnation) in &neighbours {
            self.watch.watch(vm, *incarnation, now);
        }
        let joining = self
            .writer
            .has_pending(|body| matches!(body, RecordBody::Join(_)));
        if self.core.is_member() || self.core.is_leaving() || joining {
            return;
        }
        if !self.core.is_fresh(now) {
            return;
        }
        let incarnation = self.core.view().members().last_incarnation(&own) + 1;
        self.core.set_incarnation(incarnation);
        let join = MemberJoin {
            vm: own,
            incarnation,
            domain: self.settings.domain.clone(),
            entry_address: self.settings.entry_address.clone(),
            steward_address: self.settings.peer_address.clone(),
            admin_address: self.settings.admin_address.clone(),
        };
        tracing::info!(incarnation, "joining");
        self.write(RecordBody::Join(join), Vec::new(), ctx);
    }

    fn maintain_checkpoint(&mut self, ctx: &mut Context<Self>) {
        let offset = self.core.view().offset();
        let records = offset.0.saturating_sub(self.last_checkpoint.0);
        let age = self.clock.now().duration_since(self.checkpoint_seen);
        let slot = OwnedKey::ClaimSlot(self.last_checkpoint.0);
        let chosen = owner_of(self.core.view().members(), slot)
            .is_some_and(|member| member.join.vm == *self.core.vm());
        let writing = self
            .writer
            .has_pending(|body| matches!(body, RecordBody::Checkpoint { .. }));
        if !checkpoint::is_due(records, age) || !chosen || writing {
            return;
        }
        let record = checkpoint::write(self.core.view());
        self.write(record.body, Vec::new(), ctx);
    }

    fn rebuild(&mut self, ctx: &mut Context<Self>) {
        if self.rebuilding {
            return;
        }
        self.rebuilding = true;
        tracing::warn!(
            offset = %self.core.view().offset(),
            "the log's head was cut past this view; rebuilding from a checkpoint or a peer"
        );
        let log = self.log.clone();
        let peers = self.peer_addresses();
        let clients: Vec<Arc<PeerClient>> = peers.iter().map(|peer| self.client(peer)).collect();
        let own = self.core.view().offset();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let view = rebuild_view(&log, &clients, own).await;
            addr.do_send(ViewRebuilt(view.unwrap_or_default()));
        });
    }

    /// Stewards to ask: members, and the seeds from the settings.
    fn peer_addresses(&self) -> Vec<String> {
        let own = &self.settings.peer_address;
        let members = self.core.view().members().iter();
        let mut addresses: Vec<String> = members
            .map(|(_, member)| member.join.steward_address.clone())
            .chain(self.settings.seeds.iter().cloned())
            .filter(|address| address != own)
            .collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    fn answer_followers(&mut self) {
        let now = self.clock.now();
        let offset = self.core.view().offset();
        let waiters = std::mem::take(&mut self.followers);
        for waiter in waiters {
            if waiter.after < offset || waiter.until <= now {
                let reply = self.news(waiter.after);
                waiter.reply.send(reply).ok();
            } else {
                self.followers.push(waiter);
            }
        }
    }

    pub(super) fn news(&self, after: Offset) -> PeerReply {
        let entries = self.core.records_after(after);
        let now = self.clock.now();
        PeerReply::News {
            snapshot_needed: entries.is_none(),
            entries: entries.unwrap_or_default(),
            fresh_age_ms: self
                .core
                .fresh_age(now)
                .map(|age| age.as_millis() as u64 + 1),
            offset: self.core.view().offset(),
            loads: self.core.known_loads(),
            log_unreachable: self.core.beat(now).log_unreachable,
        }
    }

    pub(super) fn flush_replies(&mut self) {
        for (ticket, reply) in self.core.dispatch(self.clock.now()) {
            self.log_placement(ticket, &reply);
            let delivered = match self.tickets.remove(&ticket) {
                Some(sender) => sender.send(reply).err(),
                None => Some(reply),
            };
            if let Some(reply) = delivered {
                self.withdraw_granted(&reply);
            }
        }
    }

    fn log_placement(&self, ticket: TicketId, reply: &PeerReply) {
        match reply {
            PeerReply::PoolGranted {
                parts,
                alternatives,
                waited_ms,
                lane,
                ..
            } => {
                self.metrics.granted.inc();
                tracing::info!(
                    decision = "placement",
                    ticket = ticket.0,
                    targets = ?target_names(parts),
                    grant = ?parts.first().map(|part| part.grant.to_string()),
                    alternatives,
                    waited_ms,
                    lane = lane.as_str(),
                    reason = if *waited_ms == 0 { "room at once" } else { "room after queueing" },
                );
            }
            PeerReply::PoolRefused {
                refusal,
                retry_after_ms,
                ..
            } => {
                self.metrics.refused.inc();
                tracing::info!(
                    decision = "placement",
                    ticket = ticket.0,
                    retry_after_ms,
                    reason = ?refusal,
                );
            }
            _ => {}
        }
    }

    /// Gives back a grant whose asker is gone.
    pub(super) fn withdraw_granted(&mut self, reply: &PeerReply) {
        let PeerReply::PoolGranted { parts, .. } = reply else {
            return;
        };
        let now = self.clock.now();
        let keys: Vec<PoolKey> = self.core.pools().keys().cloned().collect();
        for key in keys {
            self.core.with_pool(&key, |pool| {
                for part in parts {
                    if pool.targets().contains_key(&part.target) {
                        pool.release(part.grant, crate::ledger::grant::GrantEnd::Withdrawn, now);
                    }
                }
            });
        }
    }

    fn send_beats(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let own = self.core.vm().clone();
        let peers: Vec<(VmName, u64, String)> = self
            .core
            .view()
            .members()
            .neighbours(&own, self.settings.neighbours)
            .into_iter()
            .map(|member| {
                let join = &member.join;
                (
                    join.vm.clone(),
                    join.incarnation,
                    join.steward_address.clone(),
                )
            })
            .collect();
        let call = Arc::new(PeerCall::Beat {
            beat: self.core.beat(now),
            loads: self.core.own_loads(),
            relayed: self.core.relayed(now),
        });
        for (vm, incarnation, address) in peers {
            let client = self.client(&address);
            let addr = ctx.address();
            let call = call.clone();
            let name = vm.clone();
            actix_rt::spawn(async move {
                let answer = match client.call(&call, CALL_WITHIN).await {
                    Ok(PeerReply::Beat {
                        beat,
                        loads,
                        relayed,
                    }) => Some(BeatAnswer {
                        beat,
                        loads,
                        relayed,
                    }),
                    _ => None,
                };
                addr.do_send(BeatArrived {
                    vm: name,
                    asked: now,
                    answer,
                });
            });
            if self.watch.step(&vm, now) == SuspicionStep::Probe {
                self.probe(vm, incarnation, ctx);
            }
        }
    }

    /// Asks other members whether they reach a silent peer.
    fn probe(&mut self, vm: VmName, incarnation: u64, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let helpers: Vec<String> = self
            .core
            .view()
            .members()
            .iter()
            .filter(|(name, _)| **name != vm && *name != self.core.vm())
            .filter(|(name, _)| self.watch.is_alive(name, now))
            .map(|(_, member)| member.join.steward_address.clone())
            .take(PROBE_HELPERS)
            .collect();
        let alone = helpers.is_empty() && self.watch.long_silent(&vm, now);
        let clients: Vec<Arc<PeerClient>> = helpers.iter().map(|peer| self.client(peer)).collect();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let call = PeerCall::Probe { vm: vm.clone() };
            let asked = clients
                .iter()
                .map(|client| client.call(&call, CALL_WITHIN * 2));
            let answers = futures_util::future::join_all(asked).await;
            let says = |alive: bool| {
                let reply = PeerReply::Probed { alive };
                answers.iter().flatten().any(|answer| *answer == reply)
            };
            let dead = alone || (says(false) && !says(true));
            addr.do_send(ProbeEnded {
                vm,
                incarnation,
                dead,
            });
        });
    }

    fn list_targets(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        for (pool, ledger) in self.core.pools() {
            for (target, state) in ledger.targets() {
                if state.kind == TargetKind::Service {
                    continue;
                }
                let Some(address) = ledger.address(target).map(str::to_owned) else {
                    continue;
                };
                let (http, addr) = (self.http.clone(), ctx.address());
                let (pool, target) = (pool.clone(), target.clone());
                actix_rt::spawn(async move {
                    let listing = list_streams(&http, &address).await;
                    addr.do_send(TargetListed {
                        pool,
                        target,
                        asked: now,
                        listing,
                    });
                });
            }
        }
    }

    fn send_orders(&mut self, _: &mut Context<Self>) {
        let now = self.clock.now();
        for order in self.core.due_orders(now) {
            let http = self.http.clone();
            actix_rt::spawn(async move {
                let status = send_order(&http, &order).await;
                tracing::info!(
                    decision = "order",
                    target = %order.target,
                    version = %order.version,
                    number = order.number.0,
                    ?status,
                    reason = "the target runs another version than the table says",
                );
            });
        }
    }

    fn list_vms(&mut self, ctx: &mut Context<Self>) {
        let (http, addr) = (self.http.clone(), ctx.address());
        let platform = self.settings.platform.clone();
        actix_rt::spawn(async move {
            if let Some(list) = fetch_vms(&http, &platform).await {
                addr.do_send(VmsListed(list.vms));
            }
        });
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(record) = self.writer.flush_claims(now) {
            self.send_records(vec![record], ctx);
        }
        let due = self.writer.due(now);
        self.send_records(due, ctx);
        self.answer_followers();
        self.flush_replies();
        self.maintain_checkpoint(ctx);
        self.update_metrics(now);
    }

    fn update_metrics(&self, now: Instant) {
        let view = self.core.view();
        self.metrics.view_offset.set(view.offset().0 as i64);
        let age = self.core.fresh_age(now);
        self.metrics
            .view_age_ms
            .set(age.map_or(-1, |age| age.as_millis() as i64));
        self.metrics.members.set(view.members().len() as i64);
        self.metrics.pools.set(self.core.pools().len() as i64);
        let loads = self.core.own_loads();
        let waiting: u32 = loads.iter().map(|status| status.load.waiting).sum();
        let running: u32 = loads.iter().map(|status| status.load.running).sum();
        self.metrics.waiting.set(i64::from(waiting));
        self.metrics.running.set(i64::from(running));
    }

    /// Asks a peer for the records that this steward lacks.
    pub(super) fn pull_from(&mut self, vm: &VmName, ctx: &mut Context<Self>) {
        let Some(member) = self.core.view().members().get(vm) else {
            return;
        };
        let address = member.join.steward_address.clone();
        let client = self.client(&address);
        let call = PeerCall::Follow {
            after: self.core.view().offset(),
            wait_ms: 0,
        };
        let addr = ctx.address();
        actix_rt::spawn(async move {
            if let Ok(news) = client.call(&call, CALL_WITHIN).await {
                addr.do_send(NewsArrived(news));
            }
        });
    }
}

impl Actor for StewardActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(4096);
        self.start_read(ctx);
        self.list_vms(ctx);
        ctx.run_interval(READ_EVERY, Self::read_in_turn);
        ctx.run_interval(TICK_EVERY * CLAIM_TICKS, Self::tick);
        ctx.run_interval(BEAT_EVERY, Self::send_beats);
        ctx.run_interval(LIST_TARGETS_EVERY, Self::list_targets);
        ctx.run_interval(LIST_TARGETS_EVERY, Self::send_orders);
        ctx.run_interval(LIST_VMS_EVERY, Self::list_vms);
    }
}

impl Handler<ReadSoon> for StewardActor {
    type Result = ();

    fn handle(&mut self, _: ReadSoon, ctx: &mut Self::Context) {
        self.start_read(ctx);
    }
}

impl Handler<LogArrived> for StewardActor {
    type Result = ();

    fn handle(&mut self, arrived: LogArrived, ctx: &mut Self::Context) {
        let now = self.clock.now();
        if let Some(place) = self.reads.iter().position(|sent| *sent == arrived.sent) {
            self.reads.swap_remove(place);
        }
        let read = match arrived.result {
            Ok(read) => read,
            Err(error) => {
                if !self.core.beat(now).log_unreachable {
                    tracing::warn!(%error, "log read failed");
                }
                self.core.set_log_unreachable(true);
                return;
            }
        };
        let on_time = now.duration_since(arrived.sent) <= READ_LATE;
        self.core.set_log_unreachable(!on_time);
        match self.core.log_answered(&read, arrived.sent, now) {
            Ok(news) => {
                self.take_news(&news, ctx);
                self.maintain_membership(ctx);
                if self.core.view().offset() < read.end {
                    self.start_read(ctx);
                }
            }
            Err(_) => self.rebuild(ctx),
        }
    }
}

impl Handler<ViewRebuilt> for StewardActor {
    type Result = ();

    fn handle(&mut self, rebuilt: ViewRebuilt, ctx: &mut Self::Context) {
        self.rebuilding = false;
        self.core.adopt_view(rebuilt.0, self.clock.now());
        self.answer_followers();
        self.maintain_membership(ctx);
        self.flush_replies();
    }
}

impl Handler<BeatArrived> for StewardActor {
    type Result = ();

    fn handle(&mut self, arrived: BeatArrived, ctx: &mut Self::Context) {
        if let Some(BeatAnswer {
            beat,
            loads,
            relayed,
        }) = arrived.answer
            && beat.vm == arrived.vm
        {
            let now = self.clock.now();
            self.watch.heard(&beat.vm, now);
            if self
                .core
                .peer_answered(&beat, loads, &relayed, arrived.asked, now)
            {
                self.pull_from(&beat.vm, ctx);
            }
        }
    }
}

impl Handler<NewsArrived> for StewardActor {
    type Result = ();

    fn handle(&mut self, news: NewsArrived, ctx: &mut Self::Context) {
        let PeerReply::News {
            entries,
            snapshot_needed,
            ..
        } = news.0
        else {
            return;
        };
        if snapshot_needed {
            self.rebuild(ctx);
            return;
        }
        let folded = self.core.fold(&entries, self.clock.now());
        self.take_news(&folded, ctx);
    }
}

impl Handler<ProbeEnded> for StewardActor {
    type Result = ();

    fn handle(&mut self, ended: ProbeEnded, ctx: &mut Self::Context) {
        let now = self.clock.now();
        self.watch.probed(&ended.vm);
        let member = self.core.view().members().get(&ended.vm);
        let stands = member.is_some_and(|member| member.join.incarnation == ended.incarnation);
        let evicting = self
            .writer
            .has_pending(|body| matches!(body, RecordBody::Evict { vm, .. } if *vm == ended.vm));
        let silent = !self.watch.is_alive(&ended.vm, now);
        let may_judge = self.core.is_member() && self.core.is_fresh(now);
        if !ended.dead || !stands || evicting || !silent || !may_judge {
            return;
        }
        tracing::warn!(vm = %ended.vm, incarnation = ended.incarnation, "evicting a silent VM");
        let body = RecordBody::Evict {
            vm: ended.vm,
            incarnation: ended.incarnation,
        };
        self.write(body, Vec::new(), ctx);
    }
}

impl Handler<TargetListed> for StewardActor {
    type Result = ();

    fn handle(&mut self, listed: TargetListed, _: &mut Self::Context) {
        let now = self.clock.now();
        let Some(listing) = listed.listing else {
            self.core.with_pool(&listed.pool, |pool| {
                pool.target_unreachable(&listed.target, now);
            });
            return;
        };
        if let Some(version) = &listing.version {
            self.core.version_reported(&listed.target, version);
        }
        let instance: &InstanceId = &listing.instance;
        let cancels = self.core.target_listed(
            &listed.pool,
            &listed.target,
            instance,
            &listing.reports(),
            listed.asked,
            now,
        );
        let pool = self.core.pools().get(&listed.pool);
        let Some(address) = pool.and_then(|pool| pool.address(&listed.target)) else {
            return;
        };
        for request in cancels {
            self.metrics.orphans.inc();
            tracing::warn!(%request, target = %listed.target, "cancelling a stream past its deadline or unexplained");
            let (http, address) = (self.http.clone(), address.to_owned());
            actix_rt::spawn(async move {
                cancel_stream(&http, &address, request).await;
            });
        }
        self.flush_replies();
    }
}

impl Handler<VmsListed> for StewardActor {
    type Result = ();

    fn handle(&mut self, listed: VmsListed, _: &mut Self::Context) {
        self.core.vms_listed(&listed.0, self.clock.now());
    }
}

impl Handler<LeaveFleet> for StewardActor {
    type Result = MessageResult<LeaveFleet>;

    fn handle(&mut self, _: LeaveFleet, ctx: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.core.start_leaving();
        if self.core.is_member() {
            let body = RecordBody::Leave {
                vm: self.core.vm().clone(),
                incarnation: self.core.incarnation(),
            };
            self.write(body, vec![sender], ctx);
        } else {
            sender.send(WriteState::Ignored).ok();
        }
        MessageResult(receiver)
    }
}
