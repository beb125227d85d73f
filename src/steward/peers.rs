//! Watching peers: heartbeats, suspicion, indirect probes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::VmName;

/// Time between heartbeats to one peer.
pub const BEAT_EVERY: Duration = Duration::from_millis(500);

/// A peer that was not heard for this long is probed through others.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2000);

/// With nobody to ask, a silent peer is evicted after this long.
pub const EVICT_ALONE_AFTER: Duration = Duration::from_secs(6);

/// What is known of one peer's life.
#[derive(Debug, Clone)]
struct PeerLife {
    incarnation: u64,
    heard: Instant,
    probing: bool,
}

/// What to do about a silent peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspicionStep {
    /// Nothing.
    Wait,
    /// Ask others whether they reach it.
    Probe,
}

/// Tracks when each watched peer was last heard.
#[derive(Debug, Default)]
pub struct PeerWatch {
    peers: BTreeMap<VmName, PeerLife>,
}

impl PeerWatch {
    /// Starts to watch a peer, or notes its new incarnation.
    pub fn watch(&mut self, vm: &VmName, incarnation: u64, now: Instant) {
        let life = self.peers.entry(vm.clone()).or_insert(PeerLife {
            incarnation,
            heard: now,
            probing: false,
        });
        if life.incarnation < incarnation {
            life.incarnation = incarnation;
            life.heard = now;
            life.probing = false;
        }
    }

    /// Stops watching all but the peers that `keep` names.
    pub fn retain(&mut self, keep: impl Fn(&VmName) -> bool) {
        self.peers.retain(|vm, _| keep(vm));
    }

    /// Notes that a peer answered or asked.
    pub fn heard(&mut self, vm: &VmName, now: Instant) {
        if let Some(life) = self.peers.get_mut(vm) {
            life.heard = life.heard.max(now);
            life.probing = false;
        }
    }

    /// Whether a peer was heard within the suspicion time.
    pub fn is_alive(&self, vm: &VmName, now: Instant) -> bool {
        let life = self.peers.get(vm);
        life.is_some_and(|life| now.saturating_duration_since(life.heard) < SUSPECT_AFTER)
    }

    /// Whether a peer is silent for so long that nobody else needs to be asked.
    pub fn long_silent(&self, vm: &VmName, now: Instant) -> bool {
        let life = self.peers.get(vm);
        life.is_some_and(|life| now.saturating_duration_since(life.heard) > EVICT_ALONE_AFTER)
    }

    /// The next step for a peer; a probe is under way until [`Self::probed`].
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use plantainnotch::ids::VmName;
    /// use plantainnotch::steward::peers::{PeerWatch, SuspicionStep};
    /// let (vm, now) = (VmName::new("vm-1"), Instant::now());
    /// let mut watch = PeerWatch::default();
    /// watch.watch(&vm, 1, now);
    /// assert_eq!(watch.step(&vm, now), SuspicionStep::Wait);
    /// assert_eq!(watch.step(&vm, now + Duration::from_secs(3)), SuspicionStep::Probe);
    /// ```
    pub fn step(&mut self, vm: &VmName, now: Instant) -> SuspicionStep {
        let Some(life) = self.peers.get_mut(vm) else {
            return SuspicionStep::Wait;
        };
        let silent = now.saturating_duration_since(life.heard) >= SUSPECT_AFTER;
        if !silent || life.probing {
            return SuspicionStep::Wait;
        }
        life.probing = true;
        SuspicionStep::Probe
    }

    /// Notes that a probe has ended.
    pub fn probed(&mut self, vm: &VmName) {
        if let Some(life) = self.peers.get_mut(vm) {
            life.probing = false;
        }
    }
}
