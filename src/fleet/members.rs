//! Membership and failure detection: which VMs are alive, and which of them have a duty.
//!
//! Each failure domain has two hubs, VMs that all VMs rank in the same order. A VM sends
//! heartbeats to the hubs of its own domain only; hubs also send them to the first hub of each
//! other domain. A hub replies with changes of its roster: to its own domain with all VMs of the
//! fleet, to another domain with those of its own. So the traffic between domains grows with the
//! number of domains, and that of a VM with the size of its domain.
//!
//! A VM considers those alive that sent it a heartbeat or are in a recently fetched roster. Of two
//! records of the same VM the newer one counts, by incarnation and revision, however it came.

mod roster;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DomainName, VmName};

use roster::ServedRoster;
pub use roster::{RosterScope, RosterUpdate};

/// Number of coordinators: with three failure domains or more, losing one leaves at least two.
pub const COORDINATOR_COUNT: usize = 3;
/// Coordinators that get reports of jobs: the owner of placement and its successor.
const REPORTED_COORDINATORS: usize = 2;
/// VMs that keep claims, in different failure domains: losing one leaves one that knows them.
const CLAIM_KEEPER_COUNT: usize = 2;
/// Hubs of a failure domain: losing one leaves one that knows the domain already.
pub const HUBS_PER_DOMAIN: usize = 2;
/// Most VMs that try to read the store while it turns VMs away.
pub const MAX_READERS_TRIED: usize = 9;

const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250); // five of them fit into MIN_DEAD_AFTER
const HEARTBEAT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(8); // at most 125 heartbeats a second at a hub, in domains of up to 118 VMs
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(950); // a VM counts as dead within 3 s at any fleet size
const MIN_DEAD_AFTER: Duration = Duration::from_millis(1_400); // below the 3 s within which a dead VM must leave the directory
const DEAD_AFTER_HEARTBEATS: u32 = 3;
const ROSTER_GRACE: Duration = Duration::from_secs(1); // a domain whose first hub dies is reached through the second one by then
const RECORD_RETENTION: Duration = Duration::from_secs(10); // for rosters and contacts: several heartbeats at any fleet size
const SUSPICION_TIME: Duration = Duration::from_millis(1_000); // then a VM that was only paused is tried again
const SETTLING_TIME: Duration = Duration::from_millis(2_500); // two reports of jobs by every VM
const FLEET_START_SPREAD: Duration = Duration::from_millis(1_000); // VMs of a fleet that starts do so within a few hundred ms
const LONE_START_TIME: Duration = Duration::from_millis(1_000); // a VM that heard of no other by then starts a fleet
const NEW_HUB_DELAY: Duration = Duration::from_millis(60); // until a hub that was not known in the last round is sent a heartbeat
const DISCOVERY_PROBABILITY: f64 = 0.25; // that a hub's heartbeat round also tries an address without a live VM
const DISCOVERY_FANOUT: usize = 3; // addresses tried in a round, beside the seeds, while no other VM is live
const DOMAIN_FETCH_TIME: Duration = Duration::from_millis(600); // the first hub of a domain has fetched by then what the domain lacks
const CPU_RANK_STEP_CORES: f64 = 0.1; // VMs whose CPU limits round to the same step rank alike

/// Record that a VM sends about itself with each heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name from the VM's settings.
    pub vm: VmName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Address at which peers reach it.
    pub peer_address: SocketAddr,
    /// Address at which callers reach it.
    pub caller_address: SocketAddr,
    /// Start of its process in Unix milliseconds; distinguishes a restarted VM from its predecessor.
    pub incarnation: u64,
    /// Incremented by the VM with each change of its record within an incarnation.
    pub revision: u32,
    /// CPU limit in cores; a larger VM ranks first for duties.
    pub cpu_cores: f64,
    /// Whether it takes callers' requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// False while its own reads of the store fail.
    pub store_reachable: bool,
    /// Whether it has run long enough to know the fleet and its requests. VMs that do not rank
    /// last for duties, so that one that restarts does not take over with an empty memory.
    pub is_settled: bool,
    /// False while it has lost its paths to all targets.
    pub reaches_targets: bool,
}

impl MemberRecord {
    /// Order in which records of the same VM replace each other.
    fn age_rank(&self) -> (u64, u32) {
        (self.incarnation, self.revision)
    }
}

/// The part of a VM's own record that changes while it runs.
#[derive(Debug, Clone, Copy)]
pub struct OwnState {
    /// [`MemberRecord::ready`].
    pub ready: bool,
    /// [`MemberRecord::leaving`].
    pub leaving: bool,
    /// [`MemberRecord::store_reachable`].
    pub store_reachable: bool,
    /// [`MemberRecord::is_settled`].
    pub is_settled: bool,
    /// [`MemberRecord::reaches_targets`].
    pub reaches_targets: bool,
}

#[derive(Debug)]
struct ReceivedHeartbeat {
    record: MemberRecord,
    received_at: Instant,
}

#[derive(Debug)]
struct FetchedRoster {
    domain: DomainName,
    incarnation: u64,
    version: u64,
    members: BTreeMap<VmName, MemberRecord>,
    fetched_at: Instant,
}

/// This VM's view of the members, from heartbeats and fetched rosters.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    last_heartbeats: BTreeMap<VmName, ReceivedHeartbeat>,
    rosters: BTreeMap<VmName, FetchedRoster>,
    contacts: BTreeMap<VmName, ReceivedHeartbeat>,
    suspects: BTreeMap<VmName, Instant>,
    served_roster: ServedRoster,
    addresses: BTreeSet<SocketAddr>,
    fleet_started_at: Option<Instant>,
}

impl MemberTable {
    /// Creates a table with this VM as its only member.
    pub fn new(own: MemberRecord) -> Self {
        Self {
            own,
            last_heartbeats: BTreeMap::new(),
            rosters: BTreeMap::new(),
            contacts: BTreeMap::new(),
            suspects: BTreeMap::new(),
            served_roster: ServedRoster::default(),
            addresses: BTreeSet::new(),
            fleet_started_at: None,
        }
    }

    /// Adds an address at which a VM may be reached, as read from the store.
    pub fn add_address(&mut self, address: SocketAddr) {
        self.addresses.insert(address);
    }

    /// Addresses at which VMs may be reached: seeds, added addresses and senders of heartbeats.
    pub fn known_addresses(&self, seeds: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let senders = self
            .last_heartbeats
            .values()
            .map(|last| last.record.peer_address);
        seeds
            .iter()
            .copied()
            .chain(self.addresses.iter().copied())
            .chain(senders)
            .collect()
    }

    /// Failure domain of the VM at a peer address, if a heartbeat, contact or roster named it.
    pub fn domain_at(&self, peer_address: SocketAddr) -> Option<&DomainName> {
        let heard = self.last_heartbeats.values().chain(self.contacts.values());
        let listed = self
            .rosters
            .values()
            .flat_map(|known| known.members.values());
        heard
            .map(|last| &last.record)
            .chain(listed)
            .find(|member| member.peer_address == peer_address)
            .map(|member| &member.domain)
    }

    /// This VM's own record, as sent with its heartbeats.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Updates the state in this VM's own record, and returns whether it changed.
    pub fn update_own(&mut self, state: OwnState) -> bool {
        let updated = MemberRecord {
            ready: state.ready,
            leaving: state.leaving,
            store_reachable: state.store_reachable,
            is_settled: state.is_settled,
            reaches_targets: state.reaches_targets,
            ..self.own.clone()
        };
        let changed = updated != self.own;
        if changed {
            self.own = updated;
            self.own.revision += 1;
        }
        changed
    }

    /// Records how long a peer has known the fleet to run.
    pub fn record_fleet_age(&mut self, fleet_age: Duration, now: Instant) {
        let started_at = now.checked_sub(fleet_age).unwrap_or(now);
        let known = self.fleet_started_at.unwrap_or(started_at);
        self.fleet_started_at = Some(known.min(started_at));
    }

    /// How long the fleet is known to run: as long as the VM among those heard of that runs
    /// longest, or this one after `running_for`.
    pub fn fleet_age(&self, running_for: Duration, now: Instant) -> Duration {
        self.fleet_started_at.map_or(running_for, |at| {
            now.saturating_duration_since(at).max(running_for)
        })
    }

    /// Whether this VM counts as settled after it has run for `running_for`. In a fleet that
    /// started as late as this VM, no other knows more.
    pub fn settles(&self, running_for: Duration, now: Instant) -> bool {
        let heard_of_fleet = self.fleet_started_at.is_some() || running_for >= LONE_START_TIME;
        let head_start = self.fleet_age(running_for, now).saturating_sub(running_for);
        running_for >= SETTLING_TIME || heard_of_fleet && head_start <= FLEET_START_SPREAD
    }

    /// Records a heartbeat of another VM and clears its suspicion.
    pub fn record_heartbeat(&mut self, record: MemberRecord, now: Instant) {
        if record.vm == self.own.vm {
            return;
        }
        self.suspects.remove(&record.vm);
        self.contacts.remove(&record.vm);
        let vm = record.vm.clone();
        self.last_heartbeats.insert(
            vm,
            ReceivedHeartbeat {
                record,
                received_at: now,
            },
        );
    }

    /// Records VMs that a peer named as hubs. They may be sent heartbeats, but count as alive only
    /// once they or their domain's hubs answer.
    pub fn record_contacts(&mut self, contacts: Vec<MemberRecord>, now: Instant) {
        for record in contacts {
            if record.vm == self.own.vm {
                continue;
            }
            let contact = ReceivedHeartbeat {
                record,
                received_at: now,
            };
            self.contacts.insert(contact.record.vm.clone(), contact);
        }
        self.contacts.retain(|_, contact| {
            now.saturating_duration_since(contact.received_at) < RECORD_RETENTION
        });
    }

    /// Records a hub's reply to a heartbeat: the changes of its roster since the version that the
    /// heartbeat named, or the whole roster.
    pub fn apply_roster(&mut self, hub: &MemberRecord, update: RosterUpdate, now: Instant) {
        self.suspects.remove(&hub.vm);
        self.rosters
            .retain(|_, known| now.saturating_duration_since(known.fetched_at) < RECORD_RETENTION);
        let known = self
            .rosters
            .remove(&hub.vm)
            .filter(|known| known.incarnation == hub.incarnation);
        let members = match (update.base_version, known) {
            (0, _) => BTreeMap::new(),
            (base, Some(known)) if base == known.version => known.members,
            // Changes to a version that is not known here: the next heartbeat asks for all of it.
            _ => return,
        };
        let mut roster = FetchedRoster {
            domain: hub.domain.clone(),
            incarnation: hub.incarnation,
            version: update.version,
            members,
            fetched_at: now,
        };
        for vm in &update.removed {
            roster.members.remove(vm);
        }
        roster.members.extend(
            update
                .changed
                .into_iter()
                .map(|member| (member.vm.clone(), member)),
        );
        self.rosters.insert(hub.vm.clone(), roster);
    }

    /// Version of the roster last fetched from `vm`; 0 if none is known of that incarnation.
    pub fn known_roster_version(&self, vm: &VmName, incarnation: u64) -> u64 {
        self.rosters
            .get(vm)
            .filter(|known| known.incarnation == incarnation)
            .map_or(0, |known| known.version)
    }

    /// Marks a VM as suspect for a second after it did not respond; it has no duty then.
    pub fn mark_suspect(&mut self, vm: &VmName, now: Instant) {
        self.suspects.insert(vm.clone(), now + SUSPICION_TIME);
    }

    /// Interval between heartbeats, growing with the size of the largest known failure domain.
    pub fn heartbeat_interval(&self) -> Duration {
        interval_for(self.largest_domain_size())
    }

    /// Time from a round of heartbeats to `sent_to` until the next: the interval, or less if other
    /// VMs have become hubs since.
    pub fn next_heartbeat_in(&self, sent_to: &[MemberRecord], now: Instant) -> Duration {
        let recipients = self.heartbeat_recipients(now);
        let is_new = |hub: &MemberRecord| sent_to.iter().all(|sent| sent.vm != hub.vm);
        if recipients.iter().any(is_new) {
            return NEW_HUB_DELAY;
        }
        self.heartbeat_interval()
    }

    /// Interval between reports of this VM's jobs to coordinators, growing with the fleet's size.
    pub fn report_interval(&self) -> Duration {
        interval_for(self.domain_sizes().values().sum())
    }

    fn largest_domain_size(&self) -> usize {
        self.domain_sizes().into_values().max().unwrap_or(1)
    }

    /// Counts members of outdated rosters too. Otherwise an outdated roster would shorten the
    /// interval, and with it the time after which other rosters count as outdated.
    fn domain_sizes(&self) -> BTreeMap<&DomainName, usize> {
        let heard = self.last_heartbeats.values().map(|last| &last.record);
        let listed = self
            .rosters
            .values()
            .flat_map(|known| known.members.values());
        let domains: BTreeMap<&VmName, &DomainName> = heard
            .chain(listed)
            .chain([&self.own])
            .map(|member| (&member.vm, &member.domain))
            .collect();
        let mut sizes = BTreeMap::new();
        for domain in domains.into_values() {
            *sizes.entry(domain).or_insert(0) += 1;
        }
        sizes
    }

    fn dead_after(&self) -> Duration {
        MIN_DEAD_AFTER.max(self.heartbeat_interval() * DEAD_AFTER_HEARTBEATS)
    }

    fn fresh_heartbeats(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        let dead_after = self.dead_after();
        self.last_heartbeats
            .values()
            .filter(move |last| now.saturating_duration_since(last.received_at) < dead_after)
            .map(|last| &last.record)
    }

    fn fresh_rosters(&self, now: Instant) -> impl Iterator<Item = &FetchedRoster> {
        let outdated_after = self.dead_after() + ROSTER_GRACE;
        self.rosters
            .values()
            .filter(move |known| now.saturating_duration_since(known.fetched_at) < outdated_after)
    }

    /// Records of all VMs considered alive, this one included, sorted by name.
    pub fn live(&self, now: Instant) -> Vec<&MemberRecord> {
        newest_records(self.live_records(now))
            .into_values()
            .collect()
    }

    /// Records of the VMs considered alive from all sources, several of a VM.
    fn live_records(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        self.fresh_rosters(now)
            .flat_map(|known| known.members.values())
            .chain(self.fresh_heartbeats(now))
            .chain([&self.own])
    }

    /// The VMs that decide on the engines that take requests, the owner of placement first.
    ///
    /// VMs that reach targets rank before others, settled ones before others, larger ones before
    /// smaller ones; ties are broken by a hash of the name. A failure domain gets a second coordinator only after every domain has one. VMs
    /// that are leaving or suspect are skipped.
    pub fn coordinators(&self, now: Instant) -> Vec<MemberRecord> {
        self.spread_over_domains(placement_rank, now)
            .into_iter()
            .take(COORDINATOR_COUNT)
            .cloned()
            .collect()
    }

    /// The VMs to report this VM's jobs to: the owner of placement, its successor, and those that
    /// take their places once they are settled.
    pub fn job_report_recipients(&self, now: Instant) -> Vec<MemberRecord> {
        let present = self.spread_over_domains(placement_rank, now);
        let future = self.spread_over_domains(size_rank, now);
        let recipients: BTreeMap<&VmName, &MemberRecord> = present
            .into_iter()
            .take(REPORTED_COORDINATORS)
            .chain(future.into_iter().take(REPORTED_COORDINATORS))
            .filter(|member| member.vm != self.own.vm)
            .map(|member| (&member.vm, member))
            .collect();
        recipients.into_values().cloned().collect()
    }

    /// The VMs that keep claims of requests that run at most once, without this one: the first VMs by
    /// rank, to which every VM is connected. Whether they reach targets does not matter here.
    pub fn claim_keepers(&self, now: Instant) -> Vec<MemberRecord> {
        self.spread_over_domains(duty_rank, now)
            .into_iter()
            .take(CLAIM_KEEPER_COUNT)
            .filter(|keeper| keeper.vm != self.own.vm)
            .cloned()
            .collect()
    }

    /// Whether this VM is to read the store: it is among the first coordinators and successors
    /// whose own reads do not fail. With all of [`MAX_READERS_TRIED`] failing, they all read on.
    pub fn reads_store(&self, now: Instant) -> bool {
        let mut readers = self.spread_over_domains(duty_rank, now);
        readers.truncate(MAX_READERS_TRIED);
        readers.sort_by_key(|member| !member.store_reachable);
        readers
            .into_iter()
            .take(COORDINATOR_COUNT)
            .any(|member| member.vm == self.own.vm)
    }

    fn spread_over_domains<K: Ord>(
        &self,
        rank: impl Fn(&MemberRecord) -> K,
        now: Instant,
    ) -> Vec<&MemberRecord> {
        let mut ranked = self.live(now);
        ranked.retain(|member| self.may_have_duty(member, now));
        ranked.sort_by_cached_key(|member| rank(member));
        let mut domains = BTreeSet::new();
        let (mut first, others): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|member| domains.insert(&member.domain));
        first.extend(others);
        first
    }

    fn may_have_duty(&self, member: &MemberRecord, now: Instant) -> bool {
        !member.leaving && !self.is_suspect(&member.vm, now)
    }

    /// The hubs of all failure domains, by domain and then by rank.
    ///
    /// Contacts count as well as VMs considered alive, so that a VM that joins reaches its hubs.
    pub fn hubs(&self, now: Instant) -> BTreeMap<&DomainName, Vec<&MemberRecord>> {
        let contacts = self
            .contacts
            .values()
            .filter(|contact| now.saturating_duration_since(contact.received_at) < RECORD_RETENTION)
            .map(|contact| &contact.record);
        let mut ranked: Vec<&MemberRecord> = newest_records(self.live_records(now).chain(contacts))
            .into_values()
            .filter(|member| self.may_have_duty(member, now))
            .collect();
        ranked.sort_by_cached_key(|member| duty_rank(member));
        let mut hubs: BTreeMap<&DomainName, Vec<&MemberRecord>> = BTreeMap::new();
        for member in ranked {
            let of_domain = hubs.entry(&member.domain).or_default();
            if of_domain.len() < HUBS_PER_DOMAIN {
                of_domain.push(member);
            }
        }
        hubs
    }

    /// The VMs to send heartbeats to: the hubs of this VM's domain and, from a hub or a VM whose domain
    /// has no other hub, the first hub of each other domain.
    pub fn heartbeat_recipients(&self, now: Instant) -> Vec<MemberRecord> {
        let mut hubs = self.hubs(now);
        let own_hubs = hubs.remove(&self.own.domain).unwrap_or_default();
        let is_hub = own_hubs.iter().any(|hub| hub.vm == self.own.vm);
        let mut recipients: Vec<MemberRecord> = own_hubs
            .into_iter()
            .filter(|hub| hub.vm != self.own.vm)
            .cloned()
            .collect();
        if is_hub || recipients.is_empty() {
            let first_hubs = hubs.values().filter_map(|of_domain| of_domain.first());
            recipients.extend(first_hubs.copied().cloned());
        }
        recipients
    }

    /// Addresses without a live VM to send heartbeats to in this round: the seeds and some others
    /// while no other VM is live; one in some of the rounds from a hub, so that parts of the fleet
    /// that lost sight of each other meet again.
    pub fn addresses_to_try(
        &self,
        seeds: &[SocketAddr],
        rng: &mut impl Rng,
        now: Instant,
    ) -> BTreeSet<SocketAddr> {
        let live = self.live(now);
        let hubs = self.heartbeat_recipients(now);
        let taken = live.iter().copied().chain(&hubs);
        let taken: BTreeSet<SocketAddr> = taken.map(|member| member.peer_address).collect();
        let untaken = |address: &SocketAddr| !taken.contains(address);
        let unseen: Vec<SocketAddr> = self
            .known_addresses(seeds)
            .into_iter()
            .filter(untaken)
            .collect();
        if live.len() == 1 {
            let chosen = unseen.choose_multiple(rng, DISCOVERY_FANOUT);
            return seeds
                .iter()
                .copied()
                .filter(untaken)
                .chain(chosen.copied())
                .collect();
        }
        if self.is_hub(now) && rng.random_bool(DISCOVERY_PROBABILITY) {
            return unseen.choose(rng).copied().into_iter().collect();
        }
        BTreeSet::new()
    }

    /// Whether this VM may fetch records from another one, after lacking them for `behind_for`.
    ///
    /// From another failure domain only the first hub fetches at once. The domain's other VMs get
    /// the records from it, and fetch them themselves only if it does not bring them in time.
    pub fn may_fetch_from(&self, other: &MemberRecord, behind_for: Duration, now: Instant) -> bool {
        other.domain == self.own.domain || behind_for >= DOMAIN_FETCH_TIME || self.is_first_hub(now)
    }

    /// Whether a VM says that it has lost its paths to all targets.
    pub fn has_lost_targets(&self, vm: &VmName, now: Instant) -> bool {
        let lost = |member: &&MemberRecord| member.vm == *vm && !member.reaches_targets;
        self.live(now).iter().any(lost)
    }

    /// The other VMs that take requests and reach targets.
    pub fn carriers(&self, now: Instant) -> Vec<&MemberRecord> {
        let mut carriers = self.live(now);
        carriers.retain(|member| {
            member.vm != self.own.vm
                && member.ready
                && member.reaches_targets
                && self.may_have_duty(member, now)
        });
        carriers
    }

    /// Whether this VM is a hub of its domain.
    pub fn is_hub(&self, now: Instant) -> bool {
        self.hubs(now)
            .get(&self.own.domain)
            .is_some_and(|of_domain| of_domain.iter().any(|hub| hub.vm == self.own.vm))
    }

    /// Whether this VM has heard of no other.
    pub fn knows_no_peer(&self, now: Instant) -> bool {
        self.hubs(now)
            .values()
            .flatten()
            .all(|hub| hub.vm == self.own.vm)
    }

    /// Number of VMs that may exist: those that a peer named, or whose addresses are stored.
    pub fn known_count(&self) -> usize {
        let named: usize = self.domain_sizes().values().sum();
        named.max(self.addresses.len())
    }

    /// Whether this VM is the first hub of its domain, through which records from other domains
    /// come in.
    pub fn is_first_hub(&self, now: Instant) -> bool {
        self.hubs(now)
            .get(&self.own.domain)
            .and_then(|of_domain| of_domain.first())
            .is_some_and(|hub| hub.vm == self.own.vm)
    }

    /// Hubs for the sender of a heartbeat to try: those of all domains if it knows no other VM,
    /// else the first one of its own domain unless that is the sender.
    pub fn contacts_for(
        &self,
        sender: &MemberRecord,
        knows_no_peer: bool,
        now: Instant,
    ) -> Vec<MemberRecord> {
        if sender.domain == self.own.domain && !knows_no_peer {
            return Vec::new();
        }
        let hubs = self.hubs(now);
        if knows_no_peer {
            return hubs.into_values().flatten().cloned().collect();
        }
        let first = hubs
            .get(&sender.domain)
            .and_then(|of_domain| of_domain.first())
            .filter(|hub| hub.vm != sender.vm);
        first.into_iter().copied().cloned().collect()
    }

    /// Whether a VM counts as suspect at `now`.
    pub fn is_suspect(&self, vm: &VmName, now: Instant) -> bool {
        self.suspects.get(vm).is_some_and(|until| now < *until)
    }

    /// Drops VMs whose heartbeats stopped, and returns the changes of the roster that this VM
    /// serves since `known_version`, within `scope`.
    ///
    /// Rosters of hubs of the same domain are not part of it: two hubs that served each other's
    /// entries would keep a dead VM alive.
    pub fn serve_roster(
        &mut self,
        known_version: u64,
        scope: RosterScope,
        now: Instant,
    ) -> RosterUpdate {
        let dead_after = self.dead_after();
        self.last_heartbeats
            .retain(|_, last| now.saturating_duration_since(last.received_at) < dead_after);
        let mut served_roster = std::mem::take(&mut self.served_roster);
        let from_other_domains = self
            .fresh_rosters(now)
            .filter(|known| known.domain != self.own.domain)
            .flat_map(|known| known.members.values());
        served_roster.replace(&newest_records(
            from_other_domains
                .chain(self.fresh_heartbeats(now))
                .chain([&self.own]),
        ));
        self.served_roster = served_roster;
        self.served_roster
            .changes_since(known_version, scope, &self.own.domain)
    }

    /// Addresses of the VMs that take callers' requests.
    pub fn caller_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        self.live(now)
            .into_iter()
            .filter(|member| member.ready && !member.leaving)
            .map(|member| member.caller_address)
            .collect()
    }

    /// At most `limit` addresses of VMs that take callers' requests, those in `domain` first.
    pub fn nearest_addresses(
        &self,
        domain: Option<&str>,
        limit: usize,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut ready: Vec<&MemberRecord> = self
            .live(now)
            .into_iter()
            .filter(|member| member.ready && !member.leaving)
            .collect();
        ready.sort_by_cached_key(|member| {
            let same_domain = domain == Some(member.domain.as_str());
            (!same_domain, xxh3_64(member.vm.as_str().as_bytes()))
        });
        ready.truncate(limit);
        ready
            .into_iter()
            .map(|member| member.caller_address)
            .collect()
    }
}

fn interval_for(member_count: usize) -> Duration {
    (HEARTBEAT_INTERVAL_PER_MEMBER * member_count as u32)
        .clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
}

fn newest_records<'a>(
    records: impl Iterator<Item = &'a MemberRecord>,
) -> BTreeMap<&'a VmName, &'a MemberRecord> {
    let mut newest: BTreeMap<&VmName, &MemberRecord> = BTreeMap::new();
    for record in records {
        match newest.get(&record.vm) {
            Some(known) if known.age_rank() >= record.age_rank() => {}
            _ => {
                newest.insert(&record.vm, record);
            }
        }
    }
    newest
}

/// Order in which VMs decide on placements: one without targets knows too little of them.
fn placement_rank(member: &MemberRecord) -> impl Ord + use<> {
    (!member.reaches_targets, duty_rank(member))
}

/// Order in which VMs take duties.
fn duty_rank(member: &MemberRecord) -> impl Ord + use<> {
    (!member.is_settled, size_rank(member))
}

fn size_rank(member: &MemberRecord) -> impl Ord + use<> {
    let cpu_rank = (member.cpu_cores / CPU_RANK_STEP_CORES).round() as i64;
    (Reverse(cpu_rank), xxh3_64(member.vm.as_str().as_bytes()))
}
