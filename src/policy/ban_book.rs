//! Bans that VMs exchange: what is refused, and for how long.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const FIRST_BAN_TIME: Duration = Duration::from_secs(120);
const MAX_BAN_TIME: Duration = Duration::from_secs(3_600);
/// How long an ended ban is kept: within this time one more crash renews it.
const BAN_MEMORY: Duration = Duration::from_secs(3_600);
const MAX_BANS: usize = 256;

/// A ban as VMs exchange it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ban<K> {
    /// What is refused.
    pub subject: K,
    /// Number of bans and acquittals of the subject so far; the highest is the newest.
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

/// The known bans, ended ones included.
///
/// ```
/// use std::time::Instant;
/// use plantainnotch::policy::ban_book::BanBook;
/// let (mut own, mut other, now) = (BanBook::default(), BanBook::default(), Instant::now());
/// other.import(&[own.ban(&"request", now)], now);
/// assert!(other.left(now, |subject| *subject == "request").is_some());
/// other.import(&own.acquit(now, |_| true), now);
/// assert_eq!(other.left(now, |_| true), None);
/// ```
#[derive(Debug)]
pub struct BanBook<K> {
    bans: BTreeMap<K, KnownBan>,
}

impl<K> Default for BanBook<K> {
    fn default() -> Self {
        Self {
            bans: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> BanBook<K> {
    /// Bans a subject, for twice as long as the last time.
    pub fn ban(&mut self, subject: &K, now: Instant) -> Ban<K> {
        let ban = self
            .bans
            .entry(subject.clone())
            .and_modify(|ban| ban.term = (ban.term * 2).clamp(FIRST_BAN_TIME, MAX_BAN_TIME))
            .or_insert(KnownBan {
                revision: 0,
                until: now,
                term: FIRST_BAN_TIME,
            });
        ban.revision += 1;
        ban.until = now + ban.term;
        let exported = exported(subject, ban, now);
        self.drop_oldest(now);
        exported
    }

    /// Ends the bans in force of these subjects, and returns them.
    pub fn acquit(&mut self, now: Instant, is_acquitted: impl Fn(&K) -> bool) -> Vec<Ban<K>> {
        let mut ended = Vec::new();
        for (subject, ban) in &mut self.bans {
            if now < ban.until && is_acquitted(subject) {
                ban.until = now;
                ban.term = Duration::ZERO;
                ban.revision += 1;
                ended.push(exported(subject, ban, now));
            }
        }
        ended
    }

    /// Longest time left of the bans in force whose subject applies.
    pub fn left(&self, now: Instant, applies: impl Fn(&K) -> bool) -> Option<Duration> {
        let in_force = self.bans.iter().filter(|(_, ban)| now < ban.until);
        in_force
            .filter(|(subject, _)| applies(subject))
            .map(|(_, ban)| ban.until - now)
            .max()
    }

    /// Whether the subject was banned and not acquitted.
    pub fn was_banned(&self, subject: &K) -> bool {
        let ban = self.bans.get(subject);
        ban.is_some_and(|ban| !ban.term.is_zero())
    }

    /// Number of bans in force.
    pub fn count(&self, now: Instant) -> usize {
        self.bans.values().filter(|ban| now < ban.until).count()
    }

    /// All known bans, for other VMs.
    pub fn export(&self, now: Instant) -> Vec<Ban<K>> {
        let bans = self.bans.iter();
        bans.map(|(subject, ban)| exported(subject, ban, now))
            .collect()
    }

    /// Takes over another VM's bans that are newer than the ones known here, and returns them.
    pub fn import(&mut self, bans: &[Ban<K>], now: Instant) -> Vec<Ban<K>> {
        let mut imported = Vec::new();
        for ban in bans {
            let known = self.bans.get(&ban.subject);
            if known.is_some_and(|known| known.revision >= ban.revision) {
                continue;
            }
            let known = KnownBan {
                revision: ban.revision,
                until: now + Duration::from_millis(ban.left_ms).min(MAX_BAN_TIME),
                term: Duration::from_millis(ban.term_ms).min(MAX_BAN_TIME),
            };
            self.bans.insert(ban.subject.clone(), known);
            imported.push(ban.clone());
        }
        self.drop_oldest(now);
        imported
    }

    fn drop_oldest(&mut self, now: Instant) {
        self.bans
            .retain(|_, ban| now.saturating_duration_since(ban.until) < BAN_MEMORY);
        while self.bans.len() > MAX_BANS {
            let oldest = self.bans.iter().min_by_key(|(_, ban)| ban.until);
            let Some(subject) = oldest.map(|(subject, _)| subject.clone()) else {
                return;
            };
            self.bans.remove(&subject);
        }
    }
}

fn exported<K: Clone>(subject: &K, ban: &KnownBan, now: Instant) -> Ban<K> {
    Ban {
        subject: subject.clone(),
        revision: ban.revision,
        left_ms: ban.until.saturating_duration_since(now).as_millis() as u64,
        term_ms: ban.term.as_millis() as u64,
    }
}
