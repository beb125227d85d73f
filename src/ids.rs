//! Typed names and ids that all processes share.

use std::borrow::Borrow;
use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps a name without checking it.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// The name as written.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type!(
    /// A VM on which an entry and a steward run, or a node.
    VmName
);
name_type!(
    /// A failure domain: VMs and targets that may fail together.
    DomainName
);
name_type!(
    /// A team that sends requests; weights and ceilings apply per team.
    TeamName
);
name_type!(
    /// A target: a model engine or a plain service.
    TargetName
);
name_type!(
    /// A model or plain service that targets offer.
    ModelName
);
name_type!(
    /// The author of a change to the table: an operator or an owner of targets.
    AuthorName
);
name_type!(
    /// A part of a prompt that requests may share, such as its system prompt.
    PartName
);
name_type!(
    /// One run of a target's process; a restart changes it.
    InstanceId
);

/// Position of a record in the platform's log; the first record has offset 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// The position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Draws a new random id.
            pub fn random() -> Self {
                Self(rand::random())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{:016x}"), self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            /// Parses hexadecimal digits, with or without the prefix.
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_prefix($prefix).unwrap_or(text);
                u64::from_str_radix(digits, 16).map(Self)
            }
        }
    };
}

hex_type!(
    /// One caller's request, over all its attempts.
    RequestId,
    "req-"
);
hex_type!(
    /// One record that this system writes to the log; a resent record keeps its id.
    RecordId,
    "rec-"
);
hex_type!(
    /// One attempt to run a non-idempotent request.
    ClaimId,
    "clm-"
);

/// One grant at a target or team, unique across owners and restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// Offset of the granting steward's join record; a restarted steward has a new one.
    pub epoch: Offset,
    /// Number of the grant within the epoch.
    pub serial: u64,
}

impl fmt::Display for GrantId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "grant-{}-{}", self.epoch, self.serial)
    }
}

/// Hash by which a request is recognised when it comes again: of its method, path, team, shared parts
/// of the prompt, and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// Hashes a request; `path` includes the query.
    ///
    /// ```
    /// use plantainnotch::ids::RequestDigest;
    /// let digest = RequestDigest::of("GET", "/lookup/7", Some("team-a"), &[], b"");
    /// assert_eq!(digest, RequestDigest::of("GET", "/lookup/7", Some("team-a"), &[], b""));
    /// assert_ne!(digest, RequestDigest::of("GET", "/lookup/7", Some("team-b"), &[], b""));
    /// ```
    pub fn of(
        method: &str,
        path: &str,
        team: Option<&str>,
        shared_parts: &[PartName],
        body: &[u8],
    ) -> Self {
        let mut hash = Xxh3::new();
        let parts = shared_parts.iter().map(PartName::as_str);
        for field in [method, path, team.unwrap_or_default()]
            .into_iter()
            .chain(parts)
        {
            hash.update(field.as_bytes());
            hash.update(b"\n");
        }
        hash.update(body);
        Self(hash.digest())
    }

    /// The hash as a number.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
