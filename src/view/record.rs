//! The records that processes append to the platform's log.

use serde::{Deserialize, Serialize};

use super::table::{RowKey, TableRow};
use crate::ids::{AuthorName, ClaimId, DomainName, Offset, RecordId, RequestId, TeamName, VmName};

/// A record read from the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log, from 1 on and without gaps.
    pub offset: Offset,
    /// When the platform appended it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The record; `None` when the text at this offset is not a record of this release.
    pub record: Option<LogRecord>,
}

/// A record with the id by which its writer recognizes it when reading the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Stays the same when the record is appended again.
    pub id: RecordId,
    /// Content of the record.
    pub body: RecordBody,
}

impl LogRecord {
    /// Creates a record with a random id.
    pub fn new(body: RecordBody) -> Self {
        Self {
            id: RecordId::random(),
            body,
        }
    }
}

/// Content of a record, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordBody {
    /// A VM becomes a member, or does so again with a higher incarnation.
    Join(MemberJoin),
    /// A VM stops being a member because its steward shuts down.
    Leave {
        /// The VM that shuts down.
        vm: VmName,
        /// The incarnation that leaves.
        incarnation: u64,
    },
    /// A peer removes a VM that it found unreachable.
    Evict {
        /// The unreachable VM.
        vm: VmName,
        /// The incarnation that was unreachable; a newer one is not removed.
        incarnation: u64,
    },
    /// Changes of rows, accepted or rejected as a whole.
    Table(TableChange),
    /// Claims on idempotency keys, their releases and outcomes.
    Claims {
        /// The events, which take effect in this order.
        items: Vec<ClaimEvent>,
    },
    /// The whole view as of an offset.
    Checkpoint {
        /// The last offset that the view includes.
        as_of: Offset,
        /// The view, encoded by [`super::checkpoint::encode`].
        state: String,
    },
}

/// Identity and addresses of a VM that joins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberJoin {
    /// The joining VM.
    pub vm: VmName,
    /// Increases with every join of the VM.
    pub incarnation: u64,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// IP and port of its entry, for callers.
    pub entry_address: String,
    /// IP and port of its steward, for peers and entries.
    pub steward_address: String,
    /// IP and port of its steward's operator pages.
    pub admin_address: String,
}

/// Changes of rows by one author, accepted or rejected as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableChange {
    /// Operator or target owner who makes the change.
    pub author: AuthorName,
    /// The changed rows.
    pub rows: Vec<RowChange>,
    /// The author's Ed25519 signature in hexadecimal, if the change is signed.
    #[serde(default)]
    pub signature: Option<String>,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowChange {
    /// Key of the changed row.
    pub key: RowKey,
    /// Version of the row on which the change is based; 0 for a new row.
    pub base: Offset,
    /// The new row, or `None` to delete it.
    pub row: Option<TableRow>,
}

/// Identifies a non-idempotent request: two requests with equal keys are the same one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The calling team.
    pub team: TeamName,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
}

/// An event about a claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEvent {
    /// A sender claims the right to send the request; the first claim in the log gets it.
    Claim {
        /// Key of the request.
        key: ClaimKey,
        /// Id of the claim, new for each try to get the key.
        claim: ClaimId,
        /// Digest of the request's content.
        digest: u64,
        /// VM of the sender.
        vm: VmName,
        /// The caller's request for which the claim is made.
        request: RequestId,
    },
    /// The holder did not send the request; the key may be claimed again.
    Release {
        /// Key of the request.
        key: ClaimKey,
        /// Id of the claim that ends.
        claim: ClaimId,
    },
    /// The result of the request that the holder sent.
    Outcome {
        /// Key of the request.
        key: ClaimKey,
        /// Id of the claim under which the request was sent.
        claim: ClaimId,
        /// Result of the request.
        outcome: ClaimOutcome,
    },
}

/// Result of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The target responded.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response, when small enough to store.
        body: Option<String>,
    },
    /// The request was sent and no response came, so it may have run.
    Unknown,
}
