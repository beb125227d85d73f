//! Finds the parts of prompts on which engines crash, and bans the requests that have them.
//!
//! An engine that crashes takes all requests on it along, so that each crash has many suspects. The
//! cause is a part that every crash has and that no request ever got an answer on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{PartName, TargetName};

/// Crashes after which the parts that they have in common are banned. With two, a chance pair of
/// crashes would ban a part that is seldom used.
const CRASHES_UNTIL_BAN: usize = 3;
/// Time between two crashes from which on they count as separate ones: engines of a failure domain
/// that is lost end together.
const CRASH_SPACING: Duration = Duration::from_millis(100);
/// How long requests are collected that one crash broke; several VMs report them.
const CRASH_WINDOW: Duration = Duration::from_millis(50);
/// How long a target that has not served a request since its last crash counts as down. Requests that
/// lose their connection there say nothing of their parts.
const DOWN_TIME: Duration = Duration::from_secs(30);
/// How long a crash counts.
const EVIDENCE_TIME: Duration = Duration::from_secs(600);
const FIRST_BAN_TIME: Duration = Duration::from_secs(120);
const MAX_BAN_TIME: Duration = Duration::from_secs(3_600);
/// How long an ended ban is kept: within this time one more crash renews it.
const BAN_MEMORY: Duration = Duration::from_secs(3_600);
/// A target that serves a request this long after a supposed crash did not crash; one that did is
/// away for longer.
const SOUND_AFTER: std::ops::Range<Duration> =
    Duration::from_millis(150)..Duration::from_millis(1_500);
const MAX_CRASHES: usize = 16; // that a part is blamed for
const MAX_RECORDED_PARTS: usize = 4_096;
const MAX_BROKEN_REQUESTS: usize = 64; // of one crash; more have no other parts
const MAX_BANS: usize = 256;

/// A ban as VMs exchange it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartBan {
    /// The parts, sorted; a request is banned if it has all of them.
    pub parts: Vec<PartName>,
    /// Number of bans and acquittals of these parts so far; the highest is the newest.
    pub revision: u32,
    /// Time left in milliseconds, zero for an ended ban or an acquittal.
    pub left_ms: u64,
    /// Length of the ban in milliseconds, zero for an acquittal; the next one is twice as long.
    pub term_ms: u64,
}

#[derive(Debug, Clone)]
struct KnownBan {
    revision: u32,
    until: Instant,
    /// Zero after an acquittal.
    term: Duration,
}

/// What is known of a part that no ban names.
#[derive(Debug, Clone, Default)]
struct PartRecord {
    /// When a request with the part last got its first event.
    served_at: Option<Instant>,
    /// Crashes since then that it is blamed for, by target, the last one last.
    crashes: Vec<(TargetName, Instant)>,
}

impl PartRecord {
    /// Order of suspicion: more crashes, then longer without a served request.
    fn suspicion(&self, now: Instant) -> (usize, Duration) {
        let unserved = self
            .served_at
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        (self.crashes.len(), unserved)
    }

    fn crashed_at(&self) -> Option<Instant> {
        self.crashes.last().map(|(_, at)| *at)
    }

    fn record_crash(&mut self, target: &TargetName, at: Instant) {
        self.crashes
            .retain(|(_, crashed_at)| at.saturating_duration_since(*crashed_at) < EVIDENCE_TIME);
        let is_separate = self
            .crashed_at()
            .is_none_or(|last| at.saturating_duration_since(last) >= CRASH_SPACING);
        if is_separate && self.crashes.len() < MAX_CRASHES {
            self.crashes.push((target.clone(), at));
        }
    }

    fn touched_at(&self) -> Option<Instant> {
        self.served_at.max(self.crashed_at())
    }
}

/// A crash that requests are collected for.
#[derive(Debug)]
struct OpenCrash {
    target: TargetName,
    since: Instant,
    requests: Vec<Vec<PartName>>,
}

/// Evidence against parts, and the bans in force.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::{PartName, TargetName};
/// use plantainnotch::policy::part_guard::PartGuard;
/// let mut guard = PartGuard::default();
/// let parts = [PartName::new("5a"), PartName::new("dead")];
/// let mut now = Instant::now();
/// guard.record_served(&parts[..1], &TargetName::new("e-1"), now);
/// for engine in ["e-1", "e-2", "e-3"] {
///     guard.record_broken(&parts, &TargetName::new(engine), now);
///     now += Duration::from_millis(200);
///     guard.settle(now);
/// }
/// assert!(guard.banned_for(&parts, now).is_some());
/// assert!(guard.banned_for(&parts[..1], now).is_none());
/// ```
#[derive(Debug, Default)]
pub struct PartGuard {
    records: BTreeMap<PartName, PartRecord>,
    open_crashes: Vec<OpenCrash>,
    last_crash_at: Option<Instant>,
    /// Targets that crashed and have not served a request since, with the time of the crash.
    down_targets: BTreeMap<TargetName, Instant>,
    bans: BTreeMap<Vec<PartName>, KnownBan>,
}

impl PartGuard {
    /// Records that a request with these parts got its first event from a target, which clears each
    /// of them, and the parts blamed for a crash of the target that was none. Returns the bans that
    /// it ends.
    pub fn record_served(
        &mut self,
        parts: &[PartName],
        target: &TargetName,
        now: Instant,
    ) -> Vec<PartBan> {
        let disproved = |crashed: &TargetName, at: Instant| {
            crashed == target && SOUND_AFTER.contains(&now.saturating_duration_since(at))
        };
        self.down_targets.remove(target);
        let crashed_lately = self
            .last_crash_at
            .is_some_and(|at| now.saturating_duration_since(at) < SOUND_AFTER.end);
        if crashed_lately {
            for record in self.records.values_mut() {
                record
                    .crashes
                    .retain(|(crashed, at)| !disproved(crashed, *at));
            }
        }
        for part in parts {
            let record = PartRecord {
                served_at: Some(now),
                crashes: Vec::new(),
            };
            self.records.insert(part.clone(), record);
        }
        self.drop_oldest_records();
        let mut ended = Vec::new();
        for (banned, ban) in &mut self.bans {
            if now < ban.until && banned.iter().all(|part| parts.contains(part)) {
                ban.until = now;
                ban.term = Duration::ZERO;
                ban.revision += 1;
                ended.push(exported(banned, ban, now));
            }
        }
        ended
    }

    /// Records that a request with these parts lost its connection to a target before its first
    /// event.
    pub fn record_broken(&mut self, parts: &[PartName], target: &TargetName, now: Instant) {
        self.down_targets
            .retain(|_, crashed_at| now.saturating_duration_since(*crashed_at) < DOWN_TIME);
        if parts.is_empty() || self.down_targets.contains_key(target) {
            return;
        }
        self.last_crash_at = Some(now);
        let known = self
            .open_crashes
            .iter_mut()
            .find(|crash| crash.target == *target);
        match known {
            Some(crash) if crash.requests.len() < MAX_BROKEN_REQUESTS => {
                crash.requests.push(parts.to_vec());
            }
            Some(_) => {}
            None => self.open_crashes.push(OpenCrash {
                target: target.clone(),
                since: now,
                requests: vec![parts.to_vec()],
            }),
        }
    }

    /// Blames the crashes whose requests have been collected, and returns the bans that follow.
    pub fn settle(&mut self, now: Instant) -> Vec<PartBan> {
        let is_due =
            |crash: &mut OpenCrash| now.saturating_duration_since(crash.since) >= CRASH_WINDOW;
        let due: Vec<OpenCrash> = self.open_crashes.extract_if(.., is_due).collect();
        let crashed = due.iter().map(|crash| (crash.target.clone(), crash.since));
        self.down_targets.extend(crashed);
        let mut bans: Vec<PartBan> = due
            .into_iter()
            .filter_map(|crash| self.blame(&crash, now))
            .collect();
        self.drop_oldest_records();
        bans.dedup_by(|later, earlier| later.parts == earlier.parts);
        bans
    }

    /// Counts a crash against the most suspicious part, or parts, of the requests that it broke.
    fn blame(&mut self, crash: &OpenCrash, now: Instant) -> Option<PartBan> {
        let explained = crash
            .requests
            .iter()
            .any(|parts| self.banned_for(parts, now).is_some());
        if explained {
            return None;
        }
        let suspicion = |part: &PartName| {
            let record = self.records.get(part);
            record.map_or((0, Duration::MAX), |record| record.suspicion(now))
        };
        let parts = crash.requests.iter().flatten();
        let most = parts.clone().map(suspicion).max()?;
        let mut suspects: Vec<PartName> = parts
            .filter(|part| suspicion(part) == most)
            .cloned()
            .collect();
        suspects.sort();
        suspects.dedup();
        for part in &suspects {
            self.records
                .entry(part.clone())
                .or_default()
                .record_crash(&crash.target, crash.since);
        }
        // Parts that all crashes have are banned together: no request told them apart. If they come
        // from different requests, a further crash tells.
        let is_one_request = crash
            .requests
            .iter()
            .any(|parts| suspects.iter().all(|part| parts.contains(part)));
        let crashes = self.records.get(suspects.first()?)?.crashes.len();
        let was_banned = self
            .bans
            .get(&suspects)
            .is_some_and(|ban| !ban.term.is_zero());
        let is_enough = crashes >= CRASHES_UNTIL_BAN || was_banned;
        (is_one_request && is_enough).then(|| self.ban(&suspects, now))
    }

    fn ban(&mut self, parts: &[PartName], now: Instant) -> PartBan {
        let ban = self
            .bans
            .entry(parts.to_vec())
            .and_modify(|ban| ban.term = (ban.term * 2).clamp(FIRST_BAN_TIME, MAX_BAN_TIME))
            .or_insert(KnownBan {
                revision: 0,
                until: now,
                term: FIRST_BAN_TIME,
            });
        ban.revision += 1;
        ban.until = now + ban.term;
        let exported = exported(parts, ban, now);
        self.drop_oldest_bans(now);
        exported
    }

    /// How long a request with these parts is banned; `None` if it is not.
    pub fn banned_for(&self, parts: &[PartName], now: Instant) -> Option<Duration> {
        self.bans
            .iter()
            .filter(|(banned, ban)| {
                now < ban.until && banned.iter().all(|part| parts.contains(part))
            })
            .map(|(_, ban)| ban.until - now)
            .max()
    }

    /// Number of parts that evidence is kept of.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Number of bans in force.
    pub fn ban_count(&self, now: Instant) -> usize {
        self.bans.values().filter(|ban| now < ban.until).count()
    }

    /// All known bans, ended ones included, for other VMs.
    pub fn export_bans(&self, now: Instant) -> Vec<PartBan> {
        self.bans
            .iter()
            .map(|(parts, ban)| exported(parts, ban, now))
            .collect()
    }

    /// Takes over another VM's bans that are newer than the ones known here, and returns them.
    pub fn import_bans(&mut self, bans: &[PartBan], now: Instant) -> Vec<PartBan> {
        let mut imported = Vec::new();
        for ban in bans {
            let known = self.bans.get(&ban.parts);
            if ban.parts.is_empty() || known.is_some_and(|known| known.revision >= ban.revision) {
                continue;
            }
            let term = Duration::from_millis(ban.term_ms).min(MAX_BAN_TIME);
            let left = Duration::from_millis(ban.left_ms).min(MAX_BAN_TIME);
            let known = KnownBan {
                revision: ban.revision,
                until: now + left,
                term,
            };
            self.bans.insert(ban.parts.clone(), known);
            imported.push(ban.clone());
        }
        self.drop_oldest_bans(now);
        imported
    }

    fn drop_oldest_bans(&mut self, now: Instant) {
        self.bans
            .retain(|_, ban| now.saturating_duration_since(ban.until) < BAN_MEMORY);
        while self.bans.len() > MAX_BANS {
            let oldest = self.bans.iter().min_by_key(|(_, ban)| ban.until);
            let Some(parts) = oldest.map(|(parts, _)| parts.clone()) else {
                return;
            };
            self.bans.remove(&parts);
        }
    }

    fn drop_oldest_records(&mut self) {
        if self.records.len() <= MAX_RECORDED_PARTS {
            return;
        }
        let mut touched: Vec<Option<Instant>> =
            self.records.values().map(PartRecord::touched_at).collect();
        let middle = touched.len() / 2;
        let (_, median, _) = touched.select_nth_unstable(middle);
        let median = *median;
        self.records
            .retain(|_, record| record.touched_at() > median);
    }
}

fn exported(parts: &[PartName], ban: &KnownBan, now: Instant) -> PartBan {
    PartBan {
        parts: parts.to_vec(),
        revision: ban.revision,
        left_ms: ban.until.saturating_duration_since(now).as_millis() as u64,
        term_ms: ban.term.as_millis() as u64,
    }
}
