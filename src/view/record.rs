//! The records that the system appends to the platform's log.

use serde::{Deserialize, Serialize};

use super::table::{RowKey, TableRow};
use crate::ids::{AuthorName, ClaimId, DomainName, Offset, RecordId, RequestId, TeamName, VmName};

/// A record as it stands in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its position.
    pub offset: Offset,
    /// When the platform took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The record; `None` when the text at this position is not one of ours.
    pub record: Option<LogRecord>,
}

/// A record with the id under which its writer reads it back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Stays the same when the record is sent again.
    pub id: RecordId,
    /// What happened.
    pub body: RecordBody,
}

impl LogRecord {
    /// A record with a new random id.
    pub fn new(body: RecordBody) -> Self {
        Self {
            id: RecordId::random(),
            body,
        }
    }
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordBody {
    /// A VM joins, or rejoins with a higher incarnation.
    Join(MemberJoin),
    /// A VM stops in a planned way.
    Leave {
        /// The VM.
        vm: VmName,
        /// The incarnation that leaves.
        incarnation: u64,
    },
    /// A peer found a VM dead.
    Evict {
        /// The VM.
        vm: VmName,
        /// The incarnation that is dead.
        incarnation: u64,
    },
    /// Changes of rows, accepted or rejected as a whole.
    Table(TableChange),
    /// Attempts to run non-idempotent requests, and what came of them.
    Claims {
        /// In the order in which they count.
        items: Vec<ClaimEvent>,
    },
    /// The whole view as of an offset.
    Checkpoint {
        /// The last offset that it covers.
        as_of: Offset,
        /// The view, as [`super::checkpoint`] writes it.
        state: String,
    },
}

/// A VM that joins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberJoin {
    /// The VM.
    pub vm: VmName,
    /// Rises with every start of the VM's steward.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers reach its entry.
    pub entry_address: String,
    /// Where peers reach its steward.
    pub steward_address: String,
    /// Where operators reach its steward.
    pub admin_address: String,
}

/// Changes of rows by one author, accepted or rejected as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableChange {
    /// Who makes the change.
    pub author: AuthorName,
    /// The rows.
    pub rows: Vec<RowChange>,
    /// The author's signature, in hexadecimal.
    #[serde(default)]
    pub signature: Option<String>,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowChange {
    /// The row's key.
    pub key: RowKey,
    /// The row's version on which the change is based; 0 for a new row.
    pub base: Offset,
    /// The new row, or `None` to delete it.
    pub row: Option<TableRow>,
}

/// What makes a non-idempotent request the same one: the team and its key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The calling team.
    pub team: TeamName,
    /// The `Idempotency-Key` it sent.
    pub key: String,
}

/// One step of a claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEvent {
    /// A sender wants to run the request.
    Claim {
        /// The request's key.
        key: ClaimKey,
        /// This attempt.
        claim: ClaimId,
        /// Digest of the request's content.
        digest: u64,
        /// The VM of the sender.
        vm: VmName,
        /// The caller's request that made the attempt.
        request: RequestId,
    },
    /// The winner did not send; the key is free again.
    Release {
        /// The request's key.
        key: ClaimKey,
        /// The attempt.
        claim: ClaimId,
    },
    /// The winner's result.
    Outcome {
        /// The request's key.
        key: ClaimKey,
        /// The attempt.
        claim: ClaimId,
        /// What came of it.
        outcome: ClaimOutcome,
    },
}

/// What came of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The target answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// The answer, when small enough to keep.
        body: Option<String>,
    },
    /// It was sent and no answer came.
    Unknown,
}
