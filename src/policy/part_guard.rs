//! Finds the parts of prompts on which engines crash, and bans the requests that have them.
//!
//! An engine that crashes takes all requests on it along, so that each crash has many suspects. The
//! cause is a part that every crash has and that no request ever got an answer on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::ban_book::{Ban, BanBook};
use crate::ids::{PartName, RequestDigest, TargetName};

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
/// A target that serves a request this long after a supposed crash did not crash; one that did is
/// away for longer.
const SOUND_AFTER: std::ops::Range<Duration> =
    Duration::from_millis(150)..Duration::from_millis(1_500);
const MAX_CRASHES: usize = 16; // that a part is blamed for
const MAX_RECORDED_PARTS: usize = 4_096;
const MAX_BROKEN_REQUESTS: usize = 64; // of one crash; more have no other parts

/// A ban of the requests that have all of these parts, which are sorted.
pub type PartBan = Ban<Vec<PartName>>;

/// What is known of a part that no ban names.
#[derive(Debug, Clone, Default)]
struct PartRecord {
    /// When a request with the part last got its first event.
    served_at: Option<Instant>,
    /// Crashes since then that it is blamed for, by target, the last one last.
    crashes: Vec<PartCrash>,
}

/// A crash that a part is blamed for.
#[derive(Debug, Clone)]
struct PartCrash {
    target: TargetName,
    at: Instant,
    /// The requests with the part that it broke.
    requests: Vec<RequestDigest>,
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
        self.crashes.last().map(|crash| crash.at)
    }

    fn record_crash(&mut self, crash: PartCrash) {
        self.crashes
            .retain(|earlier| crash.at.saturating_duration_since(earlier.at) < EVIDENCE_TIME);
        let is_separate = self
            .crashed_at()
            .is_none_or(|last| crash.at.saturating_duration_since(last) >= CRASH_SPACING);
        if is_separate && self.crashes.len() < MAX_CRASHES {
            self.crashes.push(crash);
        }
    }

    /// Whether one request that came again was in all the crashes. It is the cause then, not its
    /// parts.
    fn is_explained_by_one_request(&self) -> bool {
        let Some((first, others)) = self.crashes.split_first() else {
            return false;
        };
        first
            .requests
            .iter()
            .any(|request| others.iter().all(|crash| crash.requests.contains(request)))
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
    requests: Vec<(RequestDigest, Vec<PartName>)>,
}

/// Evidence against parts, and the bans in force.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::{PartName, RequestDigest, TargetName};
/// use plantainnotch::policy::part_guard::PartGuard;
/// let mut guard = PartGuard::default();
/// let parts = [PartName::new("5a"), PartName::new("dead")];
/// let mut now = Instant::now();
/// let sound = RequestDigest::of("POST", "sound", None, &[], b"");
/// guard.record_served(sound, &parts[..1], &TargetName::new("e-1"), now);
/// for engine in ["e-1", "e-2", "e-3"] {
///     let request = RequestDigest::of("POST", engine, None, &[], b"");
///     guard.record_broken(request, &parts, &TargetName::new(engine), now);
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
    bans: BanBook<Vec<PartName>>,
}

impl PartGuard {
    /// Records that a request with these parts got its first event from a target, which clears each
    /// of them, and the parts blamed for a crash of the target that was none. Returns the bans that
    /// it ends.
    pub fn record_served(
        &mut self,
        request: RequestDigest,
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
                    .retain(|crash| !disproved(&crash.target, crash.at));
            }
        }
        let has_evidence = self
            .last_crash_at
            .is_some_and(|at| now.saturating_duration_since(at) < EVIDENCE_TIME);
        if has_evidence {
            // A request that is served at times does not explain crashes.
            let crashes = self
                .records
                .values_mut()
                .flat_map(|record| &mut record.crashes);
            crashes.for_each(|crash| crash.requests.retain(|known| *known != request));
        }
        for part in parts {
            let record = PartRecord {
                served_at: Some(now),
                crashes: Vec::new(),
            };
            self.records.insert(part.clone(), record);
        }
        self.drop_oldest_records();
        self.bans
            .acquit(now, |banned| banned.iter().all(|part| parts.contains(part)))
    }

    /// Records that a request with these parts lost its connection to a target before its first
    /// event.
    pub fn record_broken(
        &mut self,
        request: RequestDigest,
        parts: &[PartName],
        target: &TargetName,
        now: Instant,
    ) {
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
                crash.requests.push((request, parts.to_vec()));
            }
            Some(_) => {}
            None => self.open_crashes.push(OpenCrash {
                target: target.clone(),
                since: now,
                requests: vec![(request, parts.to_vec())],
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
        bans.dedup_by(|later, earlier| later.subject == earlier.subject);
        bans
    }

    /// Counts a crash against the most suspicious part, or parts, of the requests that it broke.
    fn blame(&mut self, crash: &OpenCrash, now: Instant) -> Option<PartBan> {
        let explained = crash
            .requests
            .iter()
            .any(|(_, parts)| self.banned_for(parts, now).is_some());
        if explained {
            return None;
        }
        let suspicion = |part: &PartName| {
            let record = self.records.get(part);
            record.map_or((0, Duration::MAX), |record| record.suspicion(now))
        };
        let parts = crash.requests.iter().flat_map(|(_, parts)| parts);
        let most = parts.clone().map(suspicion).max()?;
        let mut suspects: Vec<PartName> = parts
            .filter(|part| suspicion(part) == most)
            .cloned()
            .collect();
        suspects.sort();
        suspects.dedup();
        for part in &suspects {
            let with_part = crash
                .requests
                .iter()
                .filter(|(_, parts)| parts.contains(part));
            self.records
                .entry(part.clone())
                .or_default()
                .record_crash(PartCrash {
                    target: crash.target.clone(),
                    at: crash.since,
                    requests: with_part.map(|(request, _)| *request).collect(),
                });
        }
        // Parts that all crashes have are banned together: no request told them apart. If they come
        // from different requests, a further crash tells.
        let is_one_request = crash
            .requests
            .iter()
            .any(|(_, parts)| suspects.iter().all(|part| parts.contains(part)));
        let record = self.records.get(suspects.first()?)?;
        let has_crashed_enough =
            record.crashes.len() >= CRASHES_UNTIL_BAN && !record.is_explained_by_one_request();
        let is_enough = has_crashed_enough || self.bans.was_banned(&suspects);
        (is_one_request && is_enough).then(|| self.bans.ban(&suspects, now))
    }

    /// How long a request with these parts is banned; `None` if it is not.
    pub fn banned_for(&self, parts: &[PartName], now: Instant) -> Option<Duration> {
        self.bans
            .left(now, |banned| banned.iter().all(|part| parts.contains(part)))
    }

    /// Number of parts that evidence is kept of.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Number of bans in force.
    pub fn ban_count(&self, now: Instant) -> usize {
        self.bans.count(now)
    }

    /// All known bans, ended ones included, for other VMs.
    pub fn export_bans(&self, now: Instant) -> Vec<PartBan> {
        self.bans.export(now)
    }

    /// Takes over another VM's bans that are newer than the ones known here, and returns them. One
    /// without parts, which would refuse all requests, is ignored.
    pub fn import_bans(&mut self, bans: &[PartBan], now: Instant) -> Vec<PartBan> {
        let with_parts = bans.iter().filter(|ban| !ban.subject.is_empty());
        let with_parts: Vec<PartBan> = with_parts.cloned().collect();
        self.bans.import(&with_parts, now)
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
