//! The steward's actor: runs its timers and its input and output, and leaves decisions to
//! [`StewardCore`].

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tokio::sync::oneshot;

use super::core::{FoldedRecords, StewardCore};
use super::failure_detector::{FailureDetector, HEARTBEAT_INTERVAL, ProbeDecision};
use super::messages::{
    HeartbeatCompleted, HeartbeatPayload, LeaveMembership, LogReadCompleted, ProbeCompleted,
    ReadLogNow, RecordsPulled, TargetPolled, ViewRebuilt, VmsPolled,
};
use super::metrics::StewardMetrics;
use super::rebuild::rebuild_view;
use super::writer::{LogWriter, WriteState};
use crate::clock::TimeSource;
use crate::config::StewardSettings;
use crate::http_client::client::{ClientOptions, HttpClient};
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

const LOG_READ_INTERVAL: Duration = Duration::from_millis(400);
const MAX_READS_IN_FLIGHT: usize = 30; // one for each interval until a lost read times out after 10 s, and some for appends

/// Members that read the log at every interval; the others rely on their heartbeats.
const LOG_READER_COUNT: usize = 16;

/// A view that heartbeats keep younger than this needs no read of the log.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(900);

/// A read that takes longer counts as an unreachable log.
const SLOW_READ_THRESHOLD: Duration = Duration::from_millis(1000);
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(500);
const VM_POLL_INTERVAL: Duration = Duration::from_secs(5);
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_PROBE_HELPERS: usize = 3;

/// Factor on [`TICK_INTERVAL`]: the actor's tick runs once in this many intervals.
const INTERVALS_PER_TICK: u32 = 1;

/// A `Follow` call that waits for records after an offset.
pub(super) struct PendingFollow {
    pub(super) after: Offset,
    pub(super) until: Instant,
    pub(super) reply_sender: oneshot::Sender<PeerReply>,
}

/// Actor that connects the steward's core to the log, peers and targets.
pub struct StewardActor {
    pub(super) settings: StewardSettings,
    pub(super) clock: TimeSource,
    pub(super) core: StewardCore,
    pub(super) log: LogClient,
    pub(super) http: HttpClient,
    pub(super) writer: LogWriter,
    pub(super) failure_detector: FailureDetector,
    pub(super) peer_clients: BTreeMap<String, Arc<PeerClient>>,
    pub(super) reply_senders: BTreeMap<TicketId, oneshot::Sender<PeerReply>>,
    pub(super) pending_follows: Vec<PendingFollow>,
    pub(super) reads_in_flight: Vec<Instant>,
    pub(super) rebuilding: bool,
    pub(super) last_checkpoint_offset: Offset,
    pub(super) last_checkpoint_read_at: Instant,
    pub(super) metrics: Rc<StewardMetrics>,
}

impl StewardActor {
    /// Creates an actor that has not read the log yet.
    ///
    /// # Errors
    ///
    /// Fails when a chart file is invalid.
    pub fn new(
        settings: StewardSettings,
        clock: TimeSource,
        metrics: Rc<StewardMetrics>,
    ) -> crate::chart::Result<Self> {
        let core = StewardCore::new(settings.vm.clone(), settings.policy)?;
        Ok(Self {
            log: LogClient::new(&settings.platform, clock.clone()),
            http: HttpClient::new(ClientOptions::default(), clock.clone()),
            core,
            settings,
            last_checkpoint_read_at: clock.now(),
            clock,
            writer: LogWriter::default(),
            failure_detector: FailureDetector::default(),
            peer_clients: BTreeMap::new(),
            reply_senders: BTreeMap::new(),
            pending_follows: Vec::new(),
            reads_in_flight: Vec::new(),
            rebuilding: false,
            last_checkpoint_offset: Offset(0),
            metrics,
        })
    }

    fn peer_client(&mut self, address: &str) -> Arc<PeerClient> {
        let client = self
            .peer_clients
            .entry(address.to_owned())
            .or_insert_with(|| Arc::new(PeerClient::new(address)));
        client.clone()
    }

    /// Reads the log if this member is one of [`LOG_READER_COUNT`] readers, or if heartbeats
    /// have not confirmed the view within [`MAX_RELAYED_AGE`]. This bounds the load of a
    /// large membership on the log.
    fn read_if_due(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let members = self.core.view().members();
        let is_reader = ranks_in_top(
            members,
            OwnedKey::LogReader,
            self.core.vm(),
            LOG_READER_COUNT,
        );
        let age = self.core.fresh_age(now);
        if is_reader || age.is_none_or(|age| age > MAX_RELAYED_AGE) {
            self.start_read(ctx);
        }
    }

    fn start_read(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let has_slow_read = self
            .reads_in_flight
            .iter()
            .any(|sent| now.duration_since(*sent) > SLOW_READ_THRESHOLD);
        if has_slow_read {
            self.core.set_log_unreachable(true);
        }
        if self.reads_in_flight.len() >= MAX_READS_IN_FLIGHT {
            return;
        }
        self.reads_in_flight.push(now);
        let log = self.log.clone();
        let after = self.core.view().offset();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let result = log.read(after).await;
            addr.do_send(LogReadCompleted { sent: now, result });
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
                tracing::warn!(%error, "append not confirmed; the records are resent until they are read back, for up to 10 minutes");
            }
            addr.do_send(ReadLogNow);
        });
    }

    fn write_record(
        &mut self,
        body: RecordBody,
        waiters: Vec<oneshot::Sender<WriteState>>,
        ctx: &mut Context<Self>,
    ) {
        let record = self.writer.start(body, waiters, self.clock.now());
        self.send_records(vec![record], ctx);
    }

    fn handle_folded(&mut self, folded: &FoldedRecords, ctx: &mut Context<Self>) {
        for (entry, outcome) in &folded.records {
            let Some(record) = &entry.record else {
                tracing::warn!(offset = %entry.offset, "the log contains text that is not a record of this release");
                continue;
            };
            self.writer.confirm(record.id, outcome);
            if let RecordBody::Checkpoint { as_of, .. } = &record.body {
                self.last_checkpoint_offset = self.last_checkpoint_offset.max(*as_of);
                self.last_checkpoint_read_at = self.clock.now();
            }
        }
        if !folded.records.is_empty() {
            self.reply_to_follow_calls();
            self.update_membership(ctx);
            self.dispatch_and_reply();
        }
    }

    /// Monitors the current neighbours, and joins if this incarnation of the steward is not
    /// a member, for example after an eviction.
    fn update_membership(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let own_vm = self.core.vm().clone();
        let neighbours: Vec<(VmName, u64)> = self
            .core
            .view()
            .members()
            .neighbours(&own_vm, self.settings.neighbours)
            .into_iter()
            .map(|member| (member.join.vm.clone(), member.join.incarnation))
            .collect();
        self.failure_detector
            .retain(|vm| neighbours.iter().any(|(name, _)| name == vm));
        for (vm, incarnation) in &neighbours {
            self.failure_detector.monitor(vm, *incarnation, now);
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
        let incarnation = self.core.view().members().last_incarnation(&own_vm) + 1;
        self.core.set_incarnation(incarnation);
        let join = MemberJoin {
            vm: own_vm,
            incarnation,
            domain: self.settings.domain.clone(),
            entry_address: self.settings.entry_address.clone(),
            steward_address: self.settings.peer_address.clone(),
            admin_address: self.settings.admin_address.clone(),
        };
        tracing::info!(incarnation, "joining");
        self.write_record(RecordBody::Join(join), Vec::new(), ctx);
    }

    fn write_checkpoint_if_due(&mut self, ctx: &mut Context<Self>) {
        let offset = self.core.view().offset();
        let records = offset.0.saturating_sub(self.last_checkpoint_offset.0);
        let age = self
            .clock
            .now()
            .duration_since(self.last_checkpoint_read_at);
        let slot = OwnedKey::ClaimSlot(self.last_checkpoint_offset.0);
        let is_owner = owner_of(self.core.view().members(), slot)
            .is_some_and(|member| member.join.vm == *self.core.vm());
        let in_flight = self
            .writer
            .has_pending(|body| matches!(body, RecordBody::Checkpoint { .. }));
        if !checkpoint::is_due(records, age) || !is_owner || in_flight {
            return;
        }
        let record = checkpoint::write(self.core.view());
        self.write_record(record.body, Vec::new(), ctx);
    }

    /// Rebuilds the view after the log was truncated past it, or after a peer no longer caches
    /// the records that follow it.
    fn start_rebuild(&mut self, ctx: &mut Context<Self>) {
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
        let clients: Vec<Arc<PeerClient>> =
            peers.iter().map(|peer| self.peer_client(peer)).collect();
        let own_offset = self.core.view().offset();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let view = rebuild_view(&log, &clients, own_offset).await;
            addr.do_send(ViewRebuilt(view.unwrap_or_default()));
        });
    }

    /// Addresses of the other stewards: the members, and the seeds from the settings.
    fn peer_addresses(&self) -> Vec<String> {
        let own_address = &self.settings.peer_address;
        let members = self.core.view().members().iter();
        let mut addresses: Vec<String> = members
            .map(|(_, member)| member.join.steward_address.clone())
            .chain(self.settings.seeds.iter().cloned())
            .filter(|address| address != own_address)
            .collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    fn reply_to_follow_calls(&mut self) {
        let now = self.clock.now();
        let offset = self.core.view().offset();
        let follows = std::mem::take(&mut self.pending_follows);
        for follow in follows {
            if follow.after < offset || follow.until <= now {
                let reply = self.follow_reply(follow.after);
                follow.reply_sender.send(reply).ok();
            } else {
                self.pending_follows.push(follow);
            }
        }
    }

    pub(super) fn follow_reply(&self, after: Offset) -> PeerReply {
        let entries = self.core.records_after(after);
        let now = self.clock.now();
        PeerReply::NewEntries {
            snapshot_needed: entries.is_none(),
            entries: entries.unwrap_or_default(),
            fresh_age_ms: self
                .core
                .fresh_age(now)
                .map(|age| age.as_millis() as u64 + 1),
            offset: self.core.view().offset(),
            loads: self.core.known_loads(),
            log_unreachable: self.core.heartbeat(now).log_unreachable,
        }
    }

    pub(super) fn dispatch_and_reply(&mut self) {
        for (ticket, reply) in self.core.dispatch(self.clock.now()) {
            self.log_placement(ticket, &reply);
            let undelivered = match self.reply_senders.remove(&ticket) {
                Some(sender) => sender.send(reply).err(),
                None => Some(reply),
            };
            if let Some(reply) = undelivered {
                self.withdraw_grants(&reply);
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

    /// Releases the grants of a reply whose caller gave up.
    pub(super) fn withdraw_grants(&mut self, reply: &PeerReply) {
        let PeerReply::PoolGranted { parts, .. } = reply else {
            return;
        };
        let now = self.clock.now();
        let keys: Vec<PoolKey> = self.core.pools().keys().cloned().collect();
        for key in keys {
            self.core.with_pool(&key, |pool| {
                for part in parts {
                    if pool.targets().contains_key(&part.target) {
                        pool.release(
                            part.grant,
                            crate::ledger::grant::GrantOutcome::Withdrawn,
                            now,
                        );
                    }
                }
            });
        }
    }

    fn send_heartbeats(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let own_vm = self.core.vm().clone();
        let peers: Vec<(VmName, u64, String)> = self
            .core
            .view()
            .members()
            .neighbours(&own_vm, self.settings.neighbours)
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
        let call = Arc::new(PeerCall::Heartbeat {
            heartbeat: self.core.heartbeat(now),
            loads: self.core.own_loads(),
            relayed: self.core.relayed_reports(now),
        });
        for (vm, incarnation, address) in peers {
            let client = self.peer_client(&address);
            let addr = ctx.address();
            let call = call.clone();
            let name = vm.clone();
            actix_rt::spawn(async move {
                let reply = match client.call(&call, PEER_CALL_TIMEOUT).await {
                    Ok(PeerReply::Heartbeat {
                        heartbeat,
                        loads,
                        relayed,
                    }) => Some(HeartbeatPayload {
                        heartbeat,
                        loads,
                        relayed,
                    }),
                    _ => None,
                };
                addr.do_send(HeartbeatCompleted {
                    vm: name,
                    sent: now,
                    reply,
                });
            });
            if self.failure_detector.decide(&vm, now) == ProbeDecision::Probe {
                self.probe_through_members(vm, incarnation, ctx);
            }
        }
    }

    /// Asks other members whether they have contact with a peer that this steward has none with.
    /// A member that does not monitor the peer replies that it is not alive.
    fn probe_through_members(&mut self, vm: VmName, incarnation: u64, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let helpers: Vec<String> = self
            .core
            .view()
            .members()
            .iter()
            .filter(|(name, _)| **name != vm && *name != self.core.vm())
            .filter(|(name, _)| self.failure_detector.is_alive(name, now))
            .map(|(_, member)| member.join.steward_address.clone())
            .take(MAX_PROBE_HELPERS)
            .collect();
        let unreachable_by_timeout =
            helpers.is_empty() && self.failure_detector.is_past_evict_timeout(&vm, now);
        let clients: Vec<Arc<PeerClient>> =
            helpers.iter().map(|peer| self.peer_client(peer)).collect();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let call = PeerCall::Probe { vm: vm.clone() };
            let calls = clients
                .iter()
                .map(|client| client.call(&call, PEER_CALL_TIMEOUT * 2));
            let replies = futures_util::future::join_all(calls).await;
            let any_reports = |alive: bool| {
                let expected = PeerReply::Probed { alive };
                replies.iter().flatten().any(|reply| *reply == expected)
            };
            let is_unreachable =
                unreachable_by_timeout || (any_reports(false) && !any_reports(true));
            addr.do_send(ProbeCompleted {
                vm,
                incarnation,
                is_unreachable,
            });
        });
    }

    fn poll_targets(&mut self, ctx: &mut Context<Self>) {
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
                    addr.do_send(TargetPolled {
                        pool,
                        target,
                        sent: now,
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

    fn poll_vms(&mut self, ctx: &mut Context<Self>) {
        let (http, addr) = (self.http.clone(), ctx.address());
        let platform = self.settings.platform.clone();
        actix_rt::spawn(async move {
            if let Some(list) = fetch_vms(&http, &platform).await {
                addr.do_send(VmsPolled(list.vms));
            }
        });
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(record) = self.writer.flush_claims(now) {
            self.send_records(vec![record], ctx);
        }
        let due = self.writer.due_for_resend(now);
        self.send_records(due, ctx);
        self.reply_to_follow_calls();
        self.dispatch_and_reply();
        self.write_checkpoint_if_due(ctx);
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

    /// Requests the records that this steward lacks from a peer.
    pub(super) fn pull_records(&mut self, vm: &VmName, ctx: &mut Context<Self>) {
        let Some(member) = self.core.view().members().get(vm) else {
            return;
        };
        let address = member.join.steward_address.clone();
        let client = self.peer_client(&address);
        let call = PeerCall::Follow {
            after: self.core.view().offset(),
            wait_ms: 0,
        };
        let addr = ctx.address();
        actix_rt::spawn(async move {
            if let Ok(reply) = client.call(&call, PEER_CALL_TIMEOUT).await {
                addr.do_send(RecordsPulled(reply));
            }
        });
    }
}

impl Actor for StewardActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(4096);
        self.start_read(ctx);
        self.poll_vms(ctx);
        ctx.run_interval(LOG_READ_INTERVAL, Self::read_if_due);
        ctx.run_interval(TICK_INTERVAL * INTERVALS_PER_TICK, Self::tick);
        ctx.run_interval(HEARTBEAT_INTERVAL, Self::send_heartbeats);
        ctx.run_interval(TARGET_POLL_INTERVAL, Self::poll_targets);
        ctx.run_interval(TARGET_POLL_INTERVAL, Self::send_orders);
        ctx.run_interval(VM_POLL_INTERVAL, Self::poll_vms);
    }
}

impl Handler<ReadLogNow> for StewardActor {
    type Result = ();

    fn handle(&mut self, _: ReadLogNow, ctx: &mut Self::Context) {
        self.start_read(ctx);
    }
}

impl Handler<LogReadCompleted> for StewardActor {
    type Result = ();

    fn handle(&mut self, completed: LogReadCompleted, ctx: &mut Self::Context) {
        let now = self.clock.now();
        if let Some(index) = self
            .reads_in_flight
            .iter()
            .position(|sent| *sent == completed.sent)
        {
            self.reads_in_flight.swap_remove(index);
        }
        let read = match completed.result {
            Ok(read) => read,
            Err(error) => {
                if !self.core.heartbeat(now).log_unreachable {
                    tracing::warn!(%error, "log read failed");
                }
                self.core.set_log_unreachable(true);
                return;
            }
        };
        let on_time = now.duration_since(completed.sent) <= SLOW_READ_THRESHOLD;
        self.core.set_log_unreachable(!on_time);
        match self.core.apply_log_read(&read, completed.sent, now) {
            Ok(folded) => {
                self.handle_folded(&folded, ctx);
                self.update_membership(ctx);
                if self.core.view().offset() < read.end {
                    self.start_read(ctx);
                }
            }
            Err(_) => self.start_rebuild(ctx),
        }
    }
}

impl Handler<ViewRebuilt> for StewardActor {
    type Result = ();

    fn handle(&mut self, rebuilt: ViewRebuilt, ctx: &mut Self::Context) {
        self.rebuilding = false;
        self.core.adopt_view(rebuilt.0, self.clock.now());
        self.reply_to_follow_calls();
        self.update_membership(ctx);
        self.dispatch_and_reply();
    }
}

impl Handler<HeartbeatCompleted> for StewardActor {
    type Result = ();

    fn handle(&mut self, completed: HeartbeatCompleted, ctx: &mut Self::Context) {
        if let Some(HeartbeatPayload {
            heartbeat,
            loads,
            relayed,
        }) = completed.reply
            && heartbeat.vm == completed.vm
        {
            let now = self.clock.now();
            self.failure_detector.record_contact(&heartbeat.vm, now);
            if self
                .core
                .record_heartbeat_reply(&heartbeat, loads, &relayed, completed.sent, now)
            {
                self.pull_records(&heartbeat.vm, ctx);
            }
        }
    }
}

impl Handler<RecordsPulled> for StewardActor {
    type Result = ();

    fn handle(&mut self, pulled: RecordsPulled, ctx: &mut Self::Context) {
        let PeerReply::NewEntries {
            entries,
            snapshot_needed,
            ..
        } = pulled.0
        else {
            return;
        };
        if snapshot_needed {
            self.start_rebuild(ctx);
            return;
        }
        let folded = self.core.fold(&entries, self.clock.now());
        self.handle_folded(&folded, ctx);
    }
}

impl Handler<ProbeCompleted> for StewardActor {
    type Result = ();

    fn handle(&mut self, completed: ProbeCompleted, ctx: &mut Self::Context) {
        let now = self.clock.now();
        self.failure_detector.probe_ended(&completed.vm);
        let member = self.core.view().members().get(&completed.vm);
        let is_current =
            member.is_some_and(|member| member.join.incarnation == completed.incarnation);
        let evicting = self.writer.has_pending(
            |body| matches!(body, RecordBody::Evict { vm, .. } if *vm == completed.vm),
        );
        let suspected = !self.failure_detector.is_alive(&completed.vm, now);
        let may_evict = self.core.is_member() && self.core.is_fresh(now);
        if !completed.is_unreachable || !is_current || evicting || !suspected || !may_evict {
            return;
        }
        tracing::warn!(vm = %completed.vm, incarnation = completed.incarnation, "evicting an unreachable VM");
        let body = RecordBody::Evict {
            vm: completed.vm,
            incarnation: completed.incarnation,
        };
        self.write_record(body, Vec::new(), ctx);
    }
}

impl Handler<TargetPolled> for StewardActor {
    type Result = ();

    fn handle(&mut self, polled: TargetPolled, _: &mut Self::Context) {
        let now = self.clock.now();
        let Some(listing) = polled.listing else {
            self.core.with_pool(&polled.pool, |pool| {
                pool.mark_unreachable(&polled.target, now);
            });
            return;
        };
        if let Some(version) = &listing.version {
            self.core.record_target_version(&polled.target, version);
        }
        let instance: &InstanceId = &listing.instance;
        let cancels = self.core.reconcile_target(
            &polled.pool,
            &polled.target,
            instance,
            &listing.reports(),
            polled.sent,
            now,
        );
        let pool = self.core.pools().get(&polled.pool);
        let Some(address) = pool.and_then(|pool| pool.address(&polled.target)) else {
            return;
        };
        for request in cancels {
            self.metrics.orphans_cancelled.inc();
            tracing::warn!(%request, target = %polled.target, "cancelling a stream that is past its deadline or has no grant");
            let (http, address) = (self.http.clone(), address.to_owned());
            actix_rt::spawn(async move {
                cancel_stream(&http, &address, request).await;
            });
        }
        self.dispatch_and_reply();
    }
}

impl Handler<VmsPolled> for StewardActor {
    type Result = ();

    fn handle(&mut self, polled: VmsPolled, _: &mut Self::Context) {
        self.core.record_vm_list(&polled.0, self.clock.now());
    }
}

impl Handler<LeaveMembership> for StewardActor {
    type Result = MessageResult<LeaveMembership>;

    fn handle(&mut self, _: LeaveMembership, ctx: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.core.start_leaving();
        if self.core.is_member() {
            let body = RecordBody::Leave {
                vm: self.core.vm().clone(),
                incarnation: self.core.incarnation(),
            };
            self.write_record(body, vec![sender], ctx);
        } else {
            sender.send(WriteState::Ignored).ok();
        }
        MessageResult(receiver)
    }
}
