//! Membership and failure detection: which VMs are alive, and which of them coordinate.
//!
//! Every VM sends heartbeats to the coordinators, a few VMs that every VM ranks in the same
//! order. A coordinator's roster lists the VMs whose heartbeats it receives. A VM considers
//! those alive that are in a recently fetched roster or sent it a heartbeat themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DomainName, VmName};

/// Number of coordinators: with three failure domains or more, losing one leaves at least two.
pub const COORDINATOR_COUNT: usize = 3;

const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250); // five of them fit into MIN_DEAD_AFTER
const HEARTBEAT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(8); // at most 125 heartbeats a second at a coordinator, in fleets of up to 118 VMs
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(950); // a VM counts as dead within 3 s at any fleet size
const MIN_DEAD_AFTER: Duration = Duration::from_millis(1_400); // below the 3 s within which a dead VM must leave the directory
const DEAD_AFTER_HEARTBEATS: u32 = 3;
const ROSTER_RETENTION: Duration = Duration::from_secs(10); // several heartbeats at any fleet size
const SUSPICION_TIME: Duration = Duration::from_millis(1_000); // then a VM that was only paused is tried again
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
    /// CPU limit in cores; a larger VM ranks first as a coordinator.
    pub cpu_cores: f64,
    /// Whether it takes callers' requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// A coordinator's list of the VMs whose heartbeats it receives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRoster {
    /// Incremented with each change; starts again at 1 in a new incarnation of the coordinator.
    pub version: u64,
    /// Records of the VMs, the coordinator's own included.
    pub members: Vec<MemberRecord>,
}

#[derive(Debug)]
struct ReceivedHeartbeat {
    record: MemberRecord,
    received_at: Instant,
}

#[derive(Debug)]
struct FetchedRoster {
    incarnation: u64,
    roster: MemberRoster,
    fetched_at: Instant,
}

/// This VM's view of the members, from heartbeats and fetched rosters.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    last_heartbeats: BTreeMap<VmName, ReceivedHeartbeat>,
    rosters: BTreeMap<VmName, FetchedRoster>,
    suspects: BTreeMap<VmName, Instant>,
    served_roster: MemberRoster,
    addresses: BTreeSet<SocketAddr>,
}

impl MemberTable {
    /// Creates a table with this VM as its only member.
    pub fn new(own: MemberRecord) -> Self {
        let served_roster = MemberRoster {
            version: 1,
            members: vec![own.clone()],
        };
        Self {
            own,
            last_heartbeats: BTreeMap::new(),
            rosters: BTreeMap::new(),
            suspects: BTreeMap::new(),
            served_roster,
            addresses: BTreeSet::new(),
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

    /// This VM's own record, as sent with its heartbeats.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Updates the state in this VM's own record.
    pub fn update_own(&mut self, ready: bool, leaving: bool) {
        self.own.ready = ready;
        self.own.leaving = leaving;
    }

    /// Records a heartbeat of another VM and clears its suspicion.
    pub fn record_heartbeat(&mut self, record: MemberRecord, now: Instant) {
        if record.vm == self.own.vm {
            return;
        }
        self.suspects.remove(&record.vm);
        let vm = record.vm.clone();
        self.last_heartbeats.insert(
            vm,
            ReceivedHeartbeat {
                record,
                received_at: now,
            },
        );
    }

    /// Records a coordinator's response to a heartbeat; `None` when its roster is unchanged.
    pub fn apply_roster(
        &mut self,
        coordinator: &MemberRecord,
        roster: Option<MemberRoster>,
        now: Instant,
    ) {
        self.suspects.remove(&coordinator.vm);
        self.rosters
            .retain(|_, known| now.saturating_duration_since(known.fetched_at) < ROSTER_RETENTION);
        match roster {
            Some(roster) => {
                let fetched_roster = FetchedRoster {
                    incarnation: coordinator.incarnation,
                    roster,
                    fetched_at: now,
                };
                self.rosters.insert(coordinator.vm.clone(), fetched_roster);
            }
            None => {
                if let Some(known) = self.rosters.get_mut(&coordinator.vm) {
                    known.fetched_at = now;
                }
            }
        }
    }

    /// Version of the roster last fetched from `vm`; 0 if none is known of that incarnation.
    pub fn known_roster_version(&self, vm: &VmName, incarnation: u64) -> u64 {
        self.rosters
            .get(vm)
            .filter(|known| known.incarnation == incarnation)
            .map_or(0, |known| known.roster.version)
    }

    /// Marks a VM as suspect for a second after it did not respond; it does not coordinate then.
    pub fn mark_suspect(&mut self, vm: &VmName, now: Instant) {
        self.suspects.insert(vm.clone(), now + SUSPICION_TIME);
    }

    /// Interval between heartbeats, growing with the number of known VMs.
    pub fn heartbeat_interval(&self) -> Duration {
        (HEARTBEAT_INTERVAL_PER_MEMBER * self.known_member_count() as u32)
            .clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }

    /// Counts members of outdated rosters too. Otherwise an outdated roster would shorten the
    /// interval, and with it the time after which other rosters count as outdated.
    fn known_member_count(&self) -> usize {
        let listed = self
            .rosters
            .values()
            .map(|known| known.roster.members.len())
            .max();
        listed.unwrap_or(0).max(self.last_heartbeats.len() + 1)
    }

    fn dead_after(&self) -> Duration {
        MIN_DEAD_AFTER.max(self.heartbeat_interval() * DEAD_AFTER_HEARTBEATS)
    }

    /// Records of all VMs considered alive, this one included, sorted by name.
    pub fn live(&self, now: Instant) -> Vec<&MemberRecord> {
        let dead_after = self.dead_after();
        let fresh = |at: Instant| now.saturating_duration_since(at) < dead_after;
        let mut live: BTreeMap<&VmName, (&MemberRecord, Instant)> = BTreeMap::new();
        for known in self
            .rosters
            .values()
            .filter(|known| fresh(known.fetched_at))
        {
            for record in &known.roster.members {
                match live.get(&record.vm) {
                    Some((other, _)) if other.incarnation > record.incarnation => {}
                    Some((other, at))
                        if other.incarnation == record.incarnation && *at >= known.fetched_at => {}
                    _ => {
                        live.insert(&record.vm, (record, known.fetched_at));
                    }
                }
            }
        }
        for last in self
            .last_heartbeats
            .values()
            .filter(|last| fresh(last.received_at))
        {
            live.insert(&last.record.vm, (&last.record, last.received_at));
        }
        live.insert(&self.own.vm, (&self.own, now));
        live.into_values().map(|(record, _)| record).collect()
    }

    /// The coordinators in rank order; the first one is the owner of placement, which decides on
    /// the engines that take requests.
    ///
    /// Larger VMs rank first, ties are broken by a hash of the name. A failure domain gets a
    /// second coordinator only after every domain has one. VMs that are leaving or suspect are
    /// skipped.
    pub fn coordinators(&self, now: Instant) -> Vec<MemberRecord> {
        let mut ranked: Vec<&MemberRecord> = self
            .live(now)
            .into_iter()
            .filter(|member| !member.leaving)
            .filter(|member| !self.is_suspect(&member.vm, now))
            .collect();
        ranked.sort_by_cached_key(|member| {
            let cpu_rank = (member.cpu_cores / CPU_RANK_STEP_CORES).round() as i64;
            (-cpu_rank, xxh3_64(member.vm.as_str().as_bytes()))
        });
        let mut domains = BTreeSet::new();
        let (one_per_domain, others): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|member| domains.insert(&member.domain));
        one_per_domain
            .into_iter()
            .chain(others)
            .take(COORDINATOR_COUNT)
            .cloned()
            .collect()
    }

    /// Whether a VM counts as suspect at `now`.
    pub fn is_suspect(&self, vm: &VmName, now: Instant) -> bool {
        self.suspects.get(vm).is_some_and(|until| now < *until)
    }

    /// Drops VMs whose heartbeats stopped and returns the roster that this VM serves to others.
    pub fn served_roster(&mut self, now: Instant) -> &MemberRoster {
        let dead_after = self.dead_after();
        self.last_heartbeats
            .retain(|_, last| now.saturating_duration_since(last.received_at) < dead_after);
        let mut members = vec![self.own.clone()];
        members.extend(
            self.last_heartbeats
                .values()
                .map(|last| last.record.clone()),
        );
        if members != self.served_roster.members {
            self.served_roster = MemberRoster {
                version: self.served_roster.version + 1,
                members,
            };
        }
        &self.served_roster
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
