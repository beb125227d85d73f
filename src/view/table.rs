//! The rows of the table of weights and limits.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

use super::signature::PublicKey;
use crate::hex::{from_hex, to_hex};
use crate::ids::{AuthorName, DomainName, ModelName, Offset, TargetName, TeamName};

/// Whether a failure domain or target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceState {
    /// Takes new work.
    In,
    /// Takes no new work; what runs there may finish.
    Out,
}

/// What a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service, some of whose calls may not be repeated.
    Service,
}

/// Key of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RowKey {
    /// A failure domain.
    Domain(DomainName),
    /// A target.
    Target(TargetName),
    /// A team.
    Team(TeamName),
    /// A team's approval at the targets that match a pattern.
    Approval(TeamName, TargetPattern),
    /// An operator or owner who may change the table.
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

/// A target's name, or the start of one followed by `*`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetPattern(String);

impl TargetPattern {
    /// Wraps a pattern as it stands in the table.
    pub fn new(pattern: impl Into<String>) -> Self {
        Self(pattern.into())
    }

    /// The pattern as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the pattern covers `target`.
    ///
    /// ```
    /// use plantainnotch::{ids::TargetName, view::table::TargetPattern};
    /// assert!(TargetPattern::new("app-*").covers(&TargetName::new("app-1")));
    /// assert!(!TargetPattern::new("app").covers(&TargetName::new("app-1")));
    /// ```
    pub fn covers(&self, target: &TargetName) -> bool {
        match self.0.strip_suffix('*') {
            Some(start) => target.as_str().starts_with(start),
            None => target.as_str() == self.0,
        }
    }
}

const DIGEST_BYTES: usize = 32;

/// SHA-256 of a caller's bearer key; keys themselves are never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digest of a key in the clear.
    ///
    /// ```
    /// use plantainnotch::view::table::KeyDigest;
    /// assert_eq!(KeyDigest::of_key("secret").to_string().len(), 64);
    /// ```
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Reads a digest of 64 hexadecimal digits.
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

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainRow {
    /// Whether the domain takes new work.
    pub state: ServiceState,
}

/// A target and its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetRow {
    /// Engine or plain service.
    pub kind: TargetKind,
    /// The failure domain in which it stands.
    pub domain: DomainName,
    /// Who may approve teams here.
    pub owner: AuthorName,
    /// The model or service it offers.
    pub model: ModelName,
    /// Host and port.
    pub address: String,
    /// KV cache memory in tokens.
    pub memory_tokens: u64,
    /// Concurrent requests that it bears when cold.
    pub cold_limit: u32,
    /// Concurrent requests that it bears when warm.
    pub warm_limit: u32,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
    /// The version that it is to run; `None` leaves it as it is.
    #[serde(default)]
    pub version: Option<String>,
    /// Whether it takes new work.
    pub state: ServiceState,
}

/// A team's share and ceiling.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Weight of its share.
    pub weight: u32,
    /// Tokens that it may hold reserved at once, over all targets.
    pub ceiling_tokens: u64,
    /// Digest of its callers' bearer key.
    pub key: KeyDigest,
}

/// A target owner's approval of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ApprovalRow {
    /// Whether the team may send prompts.
    pub approved: bool,
}

/// An operator or owner who may change the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperatorRow {
    /// The key with which the operator signs.
    pub key: PublicKey,
}

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TableRow {
    /// A failure domain.
    Domain(DomainRow),
    /// A target.
    Target(Box<TargetRow>),
    /// A team.
    Team(TeamRow),
    /// An approval.
    Approval(ApprovalRow),
    /// An operator.
    Operator(OperatorRow),
}

impl TableRow {
    /// Whether the row is of the kind that `key` names.
    pub fn fits(&self, key: &RowKey) -> bool {
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

/// A row with the change that last wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowEntry {
    /// The row; `None` after a deletion.
    pub row: Option<TableRow>,
    /// Offset of the change, which is the row's version.
    pub version: Offset,
    /// Who made the change.
    pub author: AuthorName,
}
