//! Which VMs are alive, and which of them coordinate.
//!
//! Every VM sends heartbeats to the coordinators, a few VMs that all rank alike. A
//! coordinator's roster lists the VMs it hears; a VM takes as alive whoever stands in a
//! roster that it fetched lately, or was heard by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DomainName, VmName};

/// VMs that coordinate at a time: one lost with its failure domain leaves two.
pub const COORDINATORS: usize = 3;

const BEAT_FLOOR: Duration = Duration::from_millis(250); // leaves three beats before a VM is taken as dead
const BEAT_PER_MEMBER: Duration = Duration::from_millis(8); // bounds a coordinator to 125 beats a second
const BEAT_CEILING: Duration = Duration::from_millis(950); // a VM is taken as dead within 3 s at any size
const DEAD_FLOOR: Duration = Duration::from_millis(1_400); // callers must not be sent to a dead VM for 3 s
const DEAD_AFTER_BEATS: u32 = 3;
const ROSTER_KEPT_FOR: Duration = Duration::from_secs(10); // several beats at any size
const SUSPECT_FOR: Duration = Duration::from_millis(1_000); // a paused VM is asked again after this
const CPU_RANK_STEP: f64 = 0.1; // shares of a core that rank alike

/// A VM as it describes itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// When its process started, in Unix milliseconds.
    pub incarnation: u64,
    /// Share of a core.
    pub cpu_share: f64,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// A coordinator's list of the VMs it hears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRoster {
    /// Grows with each change, within one incarnation of the coordinator.
    pub version: u64,
    /// The VMs, the coordinator included.
    pub members: Vec<MemberRecord>,
}

#[derive(Debug)]
struct HeardMember {
    record: MemberRecord,
    heard: Instant,
}

#[derive(Debug)]
struct FetchedRoster {
    incarnation: u64,
    roster: MemberRoster,
    fetched: Instant,
}

/// What this VM knows of all VMs.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    heard: BTreeMap<VmName, HeardMember>,
    rosters: BTreeMap<VmName, FetchedRoster>,
    suspects: BTreeMap<VmName, Instant>,
    served: MemberRoster,
    addresses: BTreeSet<SocketAddr>,
}

impl MemberTable {
    /// A table that knows this VM only.
    pub fn new(own: MemberRecord) -> Self {
        let served = MemberRoster {
            version: 1,
            members: vec![own.clone()],
        };
        Self {
            own,
            heard: BTreeMap::new(),
            rosters: BTreeMap::new(),
            suspects: BTreeMap::new(),
            served,
            addresses: BTreeSet::new(),
        }
    }

    /// Notes where a VM may be found, such as a record in the store tells.
    pub fn note_address(&mut self, address: SocketAddr) {
        self.addresses.insert(address);
    }

    /// Where VMs may be found: the seeds and all addresses noted or heard of.
    pub fn known_addresses(&self, seeds: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let heard = self.heard.values().map(|member| member.record.peers);
        seeds
            .iter()
            .copied()
            .chain(self.addresses.iter().copied())
            .chain(heard)
            .collect()
    }

    /// This VM's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Changes what this VM tells of itself.
    pub fn set_own(&mut self, ready: bool, leaving: bool) {
        self.own.ready = ready;
        self.own.leaving = leaving;
    }

    /// Notes a heartbeat of another VM.
    pub fn hear(&mut self, record: MemberRecord, now: Instant) {
        if record.vm == self.own.vm {
            return;
        }
        self.suspects.remove(&record.vm);
        let vm = record.vm.clone();
        self.heard.insert(vm, HeardMember { record, heard: now });
    }

    /// Notes what a coordinator answered to a heartbeat; `None` when its roster is unchanged.
    pub fn take_roster(
        &mut self,
        coordinator: &MemberRecord,
        roster: Option<MemberRoster>,
        now: Instant,
    ) {
        self.suspects.remove(&coordinator.vm);
        self.rosters
            .retain(|_, known| now.saturating_duration_since(known.fetched) < ROSTER_KEPT_FOR);
        match roster {
            Some(roster) => {
                let fetched = FetchedRoster {
                    incarnation: coordinator.incarnation,
                    roster,
                    fetched: now,
                };
                self.rosters.insert(coordinator.vm.clone(), fetched);
            }
            None => {
                if let Some(known) = self.rosters.get_mut(&coordinator.vm) {
                    known.fetched = now;
                }
            }
        }
    }

    /// The version of the roster last fetched from `vm`, if it is of that incarnation.
    pub fn roster_seen(&self, vm: &VmName, incarnation: u64) -> u64 {
        self.rosters
            .get(vm)
            .filter(|known| known.incarnation == incarnation)
            .map_or(0, |known| known.roster.version)
    }

    /// Passes a VM over for a moment, after it did not answer.
    pub fn suspect(&mut self, vm: &VmName, now: Instant) {
        self.suspects.insert(vm.clone(), now + SUSPECT_FOR);
    }

    /// Time between heartbeats for a fleet of the known size.
    pub fn beat_interval(&self) -> Duration {
        (BEAT_PER_MEMBER * self.known_count() as u32).clamp(BEAT_FLOOR, BEAT_CEILING)
    }

    /// VMs heard of lately, also in rosters that are due again: the interval must not depend
    /// on whether they are still fresh.
    fn known_count(&self) -> usize {
        let listed = self
            .rosters
            .values()
            .map(|known| known.roster.members.len())
            .max();
        listed.unwrap_or(0).max(self.heard.len() + 1)
    }

    fn dead_after(&self) -> Duration {
        DEAD_FLOOR.max(self.beat_interval() * DEAD_AFTER_BEATS)
    }

    /// All VMs taken as alive, this one included, by name.
    pub fn live(&self, now: Instant) -> Vec<&MemberRecord> {
        let dead_after = self.dead_after();
        let fresh = |at: Instant| now.saturating_duration_since(at) < dead_after;
        let mut live: BTreeMap<&VmName, (&MemberRecord, Instant)> = BTreeMap::new();
        for known in self.rosters.values().filter(|known| fresh(known.fetched)) {
            for record in &known.roster.members {
                match live.get(&record.vm) {
                    Some((other, _)) if other.incarnation > record.incarnation => {}
                    Some((other, at))
                        if other.incarnation == record.incarnation && *at >= known.fetched => {}
                    _ => {
                        live.insert(&record.vm, (record, known.fetched));
                    }
                }
            }
        }
        for member in self.heard.values().filter(|member| fresh(member.heard)) {
            live.insert(&member.record.vm, (&member.record, member.heard));
        }
        live.insert(&self.own.vm, (&self.own, now));
        live.into_values().map(|(record, _)| record).collect()
    }

    /// The coordinators in rank order, leaving VMs passed over. The first one owns placement.
    ///
    /// Large VMs rank first; a domain gets its second coordinator after each has one.
    pub fn coordinators(&self, now: Instant) -> Vec<MemberRecord> {
        let mut ranked: Vec<&MemberRecord> = self
            .live(now)
            .into_iter()
            .filter(|member| !member.leaving)
            .filter(|member| !self.is_suspect(&member.vm, now))
            .collect();
        ranked.sort_by_cached_key(|member| {
            let size = (member.cpu_share / CPU_RANK_STEP).round() as i64;
            (-size, xxh3_64(member.vm.as_str().as_bytes()))
        });
        let mut domains = BTreeSet::new();
        let (first, second): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|member| domains.insert(&member.domain));
        first
            .into_iter()
            .chain(second)
            .take(COORDINATORS)
            .cloned()
            .collect()
    }

    /// Whether a VM is passed over for now.
    pub fn is_suspect(&self, vm: &VmName, now: Instant) -> bool {
        self.suspects.get(vm).is_some_and(|until| now < *until)
    }

    /// The roster that this VM serves to others.
    pub fn served_roster(&mut self, now: Instant) -> &MemberRoster {
        let dead_after = self.dead_after();
        self.heard
            .retain(|_, member| now.saturating_duration_since(member.heard) < dead_after);
        let mut members = vec![self.own.clone()];
        members.extend(self.heard.values().map(|member| member.record.clone()));
        if members != self.served.members {
            self.served = MemberRoster {
                version: self.served.version + 1,
                members,
            };
        }
        &self.served
    }

    /// Addresses that callers may use.
    pub fn caller_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        self.live(now)
            .into_iter()
            .filter(|member| member.ready && !member.leaving)
            .map(|member| member.callers)
            .collect()
    }

    /// At most `limit` addresses that callers may use, those in `domain` first.
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
            let near = domain == Some(member.domain.as_str());
            (!near, xxh3_64(member.vm.as_str().as_bytes()))
        });
        ready.truncate(limit);
        ready.into_iter().map(|member| member.callers).collect()
    }
}
