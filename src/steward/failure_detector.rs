//! Failure detection of peers by heartbeats and indirect probes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::VmName;

/// Time between heartbeats to one peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A peer without contact for this long is probed through other members.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(2000);

/// Without other members to confirm it, a peer is evicted after this long without contact.
pub const EVICT_TIMEOUT: Duration = Duration::from_secs(6);

/// Last contact with one incarnation of a peer.
#[derive(Debug, Clone)]
struct PeerLiveness {
    incarnation: u64,
    last_contact: Instant,
    probe_in_flight: bool,
}

/// What to do next about a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeDecision {
    /// Nothing: the peer is alive, or a probe is in flight.
    Wait,
    /// Ask other members whether they have contact with the peer.
    Probe,
}

/// Tracks the last contact with each monitored peer.
#[derive(Debug, Default)]
pub struct FailureDetector {
    peers: BTreeMap<VmName, PeerLiveness>,
}

impl FailureDetector {
    /// Starts to monitor a peer, or restarts if its incarnation is newer.
    pub fn monitor(&mut self, vm: &VmName, incarnation: u64, now: Instant) {
        let peer = self.peers.entry(vm.clone()).or_insert(PeerLiveness {
            incarnation,
            last_contact: now,
            probe_in_flight: false,
        });
        if peer.incarnation < incarnation {
            peer.incarnation = incarnation;
            peer.last_contact = now;
            peer.probe_in_flight = false;
        }
    }

    /// Stops monitoring all peers for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&VmName) -> bool) {
        self.peers.retain(|vm, _| keep(vm));
    }

    /// Records a call from a peer or a reply of it.
    pub fn record_contact(&mut self, vm: &VmName, now: Instant) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.last_contact = peer.last_contact.max(now);
            peer.probe_in_flight = false;
        }
    }

    /// Whether the last contact with a peer is younger than [`SUSPECT_TIMEOUT`]; `false` also for
    /// a peer that is not monitored.
    pub fn is_alive(&self, vm: &VmName, now: Instant) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| now.saturating_duration_since(peer.last_contact) < SUSPECT_TIMEOUT)
    }

    /// Whether the last contact with a peer is older than [`EVICT_TIMEOUT`].
    pub fn is_past_evict_timeout(&self, vm: &VmName, now: Instant) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| now.saturating_duration_since(peer.last_contact) > EVICT_TIMEOUT)
    }

    /// Decides whether to probe a peer now: [`ProbeDecision::Probe`] if it is suspect and no probe
    /// is in flight, else [`ProbeDecision::Wait`]. `Probe` marks the probe as in flight until
    /// [`Self::probe_ended`] or [`Self::record_contact`].
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use plantainnotch::ids::VmName;
    /// use plantainnotch::steward::failure_detector::{FailureDetector, ProbeDecision};
    /// let (vm, now) = (VmName::new("vm-1"), Instant::now());
    /// let mut detector = FailureDetector::default();
    /// detector.monitor(&vm, 1, now);
    /// assert_eq!(detector.decide(&vm, now), ProbeDecision::Wait);
    /// assert_eq!(detector.decide(&vm, now + Duration::from_secs(3)), ProbeDecision::Probe);
    /// ```
    pub fn decide(&mut self, vm: &VmName, now: Instant) -> ProbeDecision {
        let Some(peer) = self.peers.get_mut(vm) else {
            return ProbeDecision::Wait;
        };
        let is_suspect = now.saturating_duration_since(peer.last_contact) >= SUSPECT_TIMEOUT;
        if !is_suspect || peer.probe_in_flight {
            return ProbeDecision::Wait;
        }
        peer.probe_in_flight = true;
        ProbeDecision::Probe
    }

    /// Records that a probe has ended, so that another one may start.
    pub fn probe_ended(&mut self, vm: &VmName) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.probe_in_flight = false;
        }
    }
}
