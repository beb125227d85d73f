//! The rows of the table that operators change: failure domains, targets, teams, approvals
//! and operators.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

use super::signature::PublicKey;
use crate::hex::{from_hex, to_hex};
use crate::ids::{AuthorName, DomainName, ModelName, Offset, TargetName, TeamName};

/// Whether a failure domain or target is in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceState {
    /// Takes new work.
    In,
    /// Takes no new work; running requests may finish.
    Out,
}

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine, which streams generated tokens.
    Engine,
    /// A plain service, some of whose calls are not idempotent.
    Service,
}

/// Key of a row: its kind and name. Queries for the rows of one kind rely on the order of the
/// variants.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RowKey {
    /// A failure domain, by name.
    Domain(DomainName),
    /// A target, by name.
    Target(TargetName),
    /// A team, by name.
    Team(TeamName),
    /// A team's approval for the targets that match a pattern.
    Approval(TeamName, TargetPattern),
    /// An operator or target owner who may change the table, by name.
    Operator(AuthorName),
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Domain(name) => write!(f, "domain/{name}"),
            Self::Target(name) => write!(f, "target/{name}"),
            Self::Team(name) => write!(f, "team/{name}"),
            Self::Operator(name) => write!(f, "operator/{name}"),
            Self::Approval(team, pattern) => write!(f, "approval/{team}@{}", pattern.as_str()),
        }
    }
}

/// A target's name, or a prefix of names followed by `*`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetPattern(String);

impl TargetPattern {
    /// Wraps the text of a pattern; any text is valid.
    pub fn new(pattern: impl Into<String>) -> Self {
        Self(pattern.into())
    }

    /// The pattern as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the pattern matches `target`.
    ///
    /// ```
    /// use plantainnotch::{ids::TargetName, view::table::TargetPattern};
    /// assert!(TargetPattern::new("app-*").matches(&TargetName::new("app-1")));
    /// assert!(!TargetPattern::new("app").matches(&TargetName::new("app-1")));
    /// ```
    pub fn matches(&self, target: &TargetName) -> bool {
        match self.0.strip_suffix('*') {
            Some(prefix) => target.as_str().starts_with(prefix),
            None => target.as_str() == self.0,
        }
    }
}

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a team's bearer key; the key itself is never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digest of a key in plain text.
    ///
    /// ```
    /// use plantainnotch::view::table::KeyDigest;
    /// assert_eq!(KeyDigest::of_key("secret").to_string().len(), 64);
    /// ```
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses a digest of 64 hexadecimal digits.
    pub fn parse_hex(hex: &str) -> Option<Self> {
        from_hex(hex)?.try_into().ok().map(Self)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&to_hex(&self.0))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(Self);
        }
        let hex = String::deserialize(deserializer)?;
        Self::parse_hex(&hex)
            .ok_or_else(|| de::Error::custom("not a digest of 64 hexadecimal digits"))
    }
}

/// Service state of a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainRow {
    /// Whether the domain takes new work.
    pub state: ServiceState,
}

/// Owner, address, limits and service state of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetRow {
    /// Engine or plain service.
    pub kind: TargetKind,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Who may approve teams for the target.
    pub owner: AuthorName,
    /// Name of the model or service that it offers.
    pub model: ModelName,
    /// IP and port.
    pub address: String,
    /// Capacity of the KV cache in tokens.
    pub memory_tokens: u64,
    /// Limit of concurrent requests after a start, before it is warm.
    pub cold_limit: u32,
    /// Limit of concurrent requests when warm.
    pub warm_limit: u32,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// The version that it should run; `None` orders nothing.
    #[serde(default)]
    pub version: Option<String>,
    /// Whether it takes new work.
    pub state: ServiceState,
}

/// A team's weight, ceiling and key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Weight of its share in fair queueing.
    pub weight: u32,
    /// Most tokens that it may have reserved at once, over all targets.
    pub ceiling_tokens: u64,
    /// Digest of the bearer key that its callers send.
    pub key: KeyDigest,
}

/// A target owner's decision about a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ApprovalRow {
    /// Whether the team may use the targets; `false` is an explicit refusal.
    pub approved: bool,
}

/// An operator or target owner who may change the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperatorRow {
    /// Public key that verifies the operator's signatures.
    pub key: PublicKey,
}

/// Content of a row, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TableRow {
    /// Service state of a failure domain.
    Domain(DomainRow),
    /// Owner, address, limits and service state of a target.
    Target(Box<TargetRow>),
    /// Weight, ceiling and key of a team.
    Team(TeamRow),
    /// A target owner's decision about a team.
    Approval(ApprovalRow),
    /// Public key of an operator or target owner.
    Operator(OperatorRow),
}

impl TableRow {
    /// Whether the row is of the same kind as `key`.
    pub fn matches_key(&self, key: &RowKey) -> bool {
        matches!(
            (self, key),
            (Self::Domain(_), RowKey::Domain(_))
                | (Self::Target(_), RowKey::Target(_))
                | (Self::Team(_), RowKey::Team(_))
                | (Self::Approval(_), RowKey::Approval(..))
                | (Self::Operator(_), RowKey::Operator(_))
        )
    }
}

/// The current state of a row and the change that wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowEntry {
    /// The row; `None` after a deletion.
    pub row: Option<TableRow>,
    /// Version of the row: the offset of the change.
    pub version: Offset,
    /// Author of the change.
    pub author: AuthorName,
}
