//! Finds the requests that crash the targets that run them, and bans them.
//!
//! A target that crashes takes all requests on it along. The cause is the request that each crash
//! has and that was never answered: it comes again, with the same method, path, team and body.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::ban_book::{Ban, BanBook};
use crate::ids::{RequestDigest, TargetName};

/// Crashes after which a request is banned.
const CRASHES_UNTIL_BAN: usize = 3;
/// How long requests are collected that one crash broke. An attempt that was given up before the
/// crash is known to be one of them only once its target refuses connections.
const CRASH_WINDOW: Duration = Duration::from_millis(500);
/// How long requests that lose their connection to a target that has crashed say nothing: it needs
/// longer to start again.
const DOWN_TIME: Duration = Duration::from_millis(1_200);
/// A target that answers a request this long after a supposed crash did not crash.
const SOUND_AFTER: std::ops::Range<Duration> =
    Duration::from_millis(150)..Duration::from_millis(1_500);
/// How long a crash counts.
const EVIDENCE_TIME: Duration = Duration::from_secs(600);
const MAX_CRASHES: usize = 16; // of one request
const MAX_BROKEN_REQUESTS: usize = 256; // of one crash
const MAX_RECORDS: usize = 4_096;

/// A ban of one request.
pub type RequestBan = Ban<RequestDigest>;

/// Crashes that a request is blamed for, as coordinators exchange them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestEvidence {
    /// The request.
    pub request: RequestDigest,
    /// The targets that crashed, with the age of each crash in milliseconds; none once it was
    /// answered.
    pub crashes: Vec<(TargetName, u64)>,
}

/// A crash that requests are collected for.
#[derive(Debug)]
struct OpenCrash {
    target: TargetName,
    since: Instant,
    requests: Vec<RequestDigest>,
}

/// What [`RequestGuard::settle`] found.
#[derive(Debug, Default)]
pub struct GuardFindings {
    /// New bans.
    pub bans: Vec<RequestBan>,
    /// Requests whose evidence changed.
    pub evidence: Vec<RequestEvidence>,
}

/// Evidence against requests, and the bans in force.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::{RequestDigest, TargetName};
/// use plantainnotch::policy::request_guard::RequestGuard;
/// let (mut guard, mut now) = (RequestGuard::default(), Instant::now());
/// let deadly = RequestDigest::of("GET", "/lookup/1", None, &[], b"");
/// for target in ["i-1", "i-2", "i-3"] {
///     guard.record_broken(deadly, &TargetName::new(target), now);
///     now += Duration::from_secs(1);
///     guard.settle(now);
/// }
/// assert!(guard.banned_for(deadly, now).is_some());
/// ```
#[derive(Debug, Default)]
pub struct RequestGuard {
    /// Crashes since the request was last answered.
    crashes: BTreeMap<RequestDigest, Vec<(TargetName, Instant)>>,
    open_crashes: Vec<OpenCrash>,
    /// Targets that crashed a short time ago.
    down_targets: BTreeMap<TargetName, Instant>,
    bans: BanBook<RequestDigest>,
}

impl RequestGuard {
    /// Records that a target answered a request, which clears it, and all requests blamed for a
    /// crash of the target that was none. Returns the ban that it ends and the changed evidence.
    pub fn record_answered(
        &mut self,
        request: RequestDigest,
        target: &TargetName,
        now: Instant,
    ) -> GuardFindings {
        let is_disproved = |crashed: &TargetName, at: Instant| {
            crashed == target && SOUND_AFTER.contains(&now.saturating_duration_since(at))
        };
        self.open_crashes
            .retain(|crash| !is_disproved(&crash.target, crash.since));
        let mut changed: Vec<RequestDigest> = Vec::new();
        for (blamed, crashes) in &mut self.crashes {
            let before = crashes.len();
            crashes.retain(|(crashed, at)| !is_disproved(crashed, *at));
            if *blamed == request {
                crashes.clear();
            }
            if crashes.len() != before {
                changed.push(*blamed);
            }
        }
        let evidence = changed
            .iter()
            .map(|changed| self.evidence_of(*changed, now))
            .collect();
        self.crashes.retain(|_, crashes| !crashes.is_empty());
        GuardFindings {
            bans: self.bans.acquit(now, |banned| *banned == request),
            evidence,
        }
    }

    /// Records that a request lost its connection to a target before it was answered, or that the
    /// target ended after the attempt was given up.
    pub fn record_broken(&mut self, request: RequestDigest, target: &TargetName, now: Instant) {
        self.down_targets
            .retain(|_, at| now.saturating_duration_since(*at) < DOWN_TIME);
        let open = self
            .open_crashes
            .iter_mut()
            .find(|crash| crash.target == *target);
        match open {
            Some(crash) if crash.requests.len() < MAX_BROKEN_REQUESTS => {
                crash.requests.push(request);
            }
            Some(_) => {}
            None if self.down_targets.contains_key(target) => {}
            None => self.open_crashes.push(OpenCrash {
                target: target.clone(),
                since: now,
                requests: vec![request],
            }),
        }
    }

    /// Blames the crashes whose requests have been collected, each on the request with the most
    /// crashes before it, or all such requests.
    pub fn settle(&mut self, now: Instant) -> GuardFindings {
        let is_due =
            |crash: &mut OpenCrash| now.saturating_duration_since(crash.since) >= CRASH_WINDOW;
        let due: Vec<OpenCrash> = self.open_crashes.extract_if(.., is_due).collect();
        let mut findings = GuardFindings::default();
        for crash in due {
            self.down_targets.insert(crash.target.clone(), crash.since);
            self.blame(&crash, &mut findings, now);
        }
        self.drop_oldest();
        findings
    }

    fn blame(&mut self, crash: &OpenCrash, findings: &mut GuardFindings, now: Instant) {
        let is_banned =
            |request: &RequestDigest| self.bans.left(now, |banned| banned == request).is_some();
        if crash.requests.iter().any(is_banned) {
            return;
        }
        let count = |request: &RequestDigest| self.crashes.get(request).map_or(0, Vec::len);
        let most = crash.requests.iter().map(count).max().unwrap_or(0);
        let mut blamed: Vec<RequestDigest> = crash
            .requests
            .iter()
            .copied()
            .filter(|request| count(request) == most)
            .collect();
        blamed.sort();
        blamed.dedup();
        for request in blamed {
            let crashes = self.crashes.entry(request).or_default();
            crashes.retain(|(_, at)| now.saturating_duration_since(*at) < EVIDENCE_TIME);
            if crashes.len() < MAX_CRASHES {
                crashes.push((crash.target.clone(), crash.since));
            }
            let is_enough = crashes.len() >= CRASHES_UNTIL_BAN || self.bans.was_banned(&request);
            findings.evidence.push(self.evidence_of(request, now));
            if is_enough {
                findings.bans.push(self.bans.ban(&request, now));
            }
        }
    }

    fn evidence_of(&self, request: RequestDigest, now: Instant) -> RequestEvidence {
        let crashes = self.crashes.get(&request).into_iter().flatten();
        let age_ms = |at: &Instant| now.saturating_duration_since(*at).as_millis() as u64;
        RequestEvidence {
            request,
            crashes: crashes
                .map(|(target, at)| (target.clone(), age_ms(at)))
                .collect(),
        }
    }

    /// Replaces what is known of requests by the owner's evidence, for when this VM takes over.
    pub fn import_evidence(&mut self, evidence: &[RequestEvidence], now: Instant) {
        for record in evidence {
            let crashes: Vec<(TargetName, Instant)> = record
                .crashes
                .iter()
                .filter_map(|(target, age_ms)| {
                    let at = now.checked_sub(Duration::from_millis(*age_ms))?;
                    Some((target.clone(), at))
                })
                .take(MAX_CRASHES)
                .collect();
            if crashes.is_empty() {
                self.crashes.remove(&record.request);
            } else {
                self.crashes.insert(record.request, crashes);
            }
        }
        self.drop_oldest();
    }

    /// How long a request is banned; `None` if it is not.
    pub fn banned_for(&self, request: RequestDigest, now: Instant) -> Option<Duration> {
        self.bans.left(now, |banned| *banned == request)
    }

    /// Number of requests that evidence is kept of.
    pub fn record_count(&self) -> usize {
        self.crashes.len()
    }

    /// Number of bans in force.
    pub fn ban_count(&self, now: Instant) -> usize {
        self.bans.count(now)
    }

    /// All known bans, ended ones included, for other VMs.
    pub fn export_bans(&self, now: Instant) -> Vec<RequestBan> {
        self.bans.export(now)
    }

    /// Takes over another VM's bans that are newer than the ones known here, and returns them.
    pub fn import_bans(&mut self, bans: &[RequestBan], now: Instant) -> Vec<RequestBan> {
        self.bans.import(bans, now)
    }

    fn drop_oldest(&mut self) {
        if self.crashes.len() <= MAX_RECORDS {
            return;
        }
        let crashed_at = |crashes: &Vec<(TargetName, Instant)>| crashes.last().map(|(_, at)| *at);
        let mut times: Vec<Option<Instant>> = self.crashes.values().map(crashed_at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.crashes
            .retain(|_, crashes| crashed_at(crashes) > median);
    }
}
