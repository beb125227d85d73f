//! Assigns pools of targets, teams and shared tasks to stewards by rendezvous hashing over
//! the members.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::membership::{MemberEntry, MemberTable};
use crate::ids::{DomainName, ModelName, TeamName, VmName};

/// The targets of one model in one failure domain, which one steward owns.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolKey {
    /// The model or service.
    pub model: ModelName,
    /// The failure domain.
    pub domain: DomainName,
}

impl fmt::Display for PoolKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.domain)
    }
}

/// Something that is assigned to one steward at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnedKey<'a> {
    /// A pool of targets.
    Pool(&'a PoolKey),
    /// A team's ceiling.
    Team(&'a TeamName),
    /// A number that selects a steward: either the slot to which the key of a claim hashes, for
    /// its appends, or the offset of the last checkpoint, for writing the next one.
    ClaimSlot(u64),
    /// Reading the log on behalf of other members.
    LogReader,
}

impl OwnedKey<'_> {
    fn score(&self, vm: &VmName) -> u64 {
        let text = match self {
            Self::Pool(pool) => format!("pool\n{pool}\n{vm}"),
            Self::Team(team) => format!("team\n{team}\n{vm}"),
            Self::LogReader => format!("log\n{vm}"),
            Self::ClaimSlot(slot) => format!("claim\n{slot}\n{vm}"),
        };
        xxh3_64(text.as_bytes())
    }
}

/// The member that owns `key`, the same in all processes at the same offset; `None` without
/// members.
///
/// ```
/// use plantainnotch::ids::TeamName;
/// use plantainnotch::view::{View, ownership::{OwnedKey, owner_of}};
/// let view = View::default();
/// assert!(owner_of(view.members(), OwnedKey::Team(&TeamName::new("kigali"))).is_none());
/// ```
pub fn owner_of<'a>(members: &'a MemberTable, key: OwnedKey<'_>) -> Option<&'a MemberEntry> {
    members
        .iter()
        .max_by_key(|(vm, _)| (key.score(vm), *vm))
        .map(|(_, member)| member)
}

/// Whether `vm` is among the `count` members with the highest scores for `key`.
///
/// ```
/// use plantainnotch::ids::VmName;
/// use plantainnotch::view::{View, ownership::{OwnedKey, ranks_in_top}};
/// let view = View::default();
/// assert!(ranks_in_top(view.members(), OwnedKey::LogReader, &VmName::new("vm-1"), 16));
/// ```
pub fn ranks_in_top(members: &MemberTable, key: OwnedKey<'_>, vm: &VmName, count: usize) -> bool {
    let own_score = key.score(vm);
    let higher = members
        .iter()
        .filter(|(name, _)| key.score(name) > own_score);
    higher.count() < count
}
