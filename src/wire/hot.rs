//! The most frequent messages, sent per request or per heartbeat, with manual serde code. Fields are
//! encoded by position, so their order is part of the format.

use std::fmt;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ids::{DomainName, ModelName, Offset, RequestId, TeamName, VmName};
use crate::view::ownership::PoolKey;

/// An entry's request to a pool's steward for a reservation at targets.
#[derive(Debug, Clone, PartialEq)]
pub struct AcquireRequest {
    /// Id under which the targets know the attempt.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamName,
    /// The pool to reserve targets from; the steward must own it.
    pub pool: PoolKey,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u64,
    /// Hash of the start of the prompt.
    pub prefix_hash: u64,
    /// Milliseconds until the answer must be complete.
    pub deadline_ms: u64,
    /// Whether to refuse the request rather than queue it.
    pub idle_only: bool,
}

const ACQUIRE_FIELD_COUNT: usize = 9;

impl Serialize for AcquireRequest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(ACQUIRE_FIELD_COUNT)?;
        tuple.serialize_element(&self.request.0)?;
        tuple.serialize_element(&self.team)?;
        tuple.serialize_element(&self.pool.model)?;
        tuple.serialize_element(&self.pool.domain)?;
        tuple.serialize_element(&self.prompt_tokens)?;
        tuple.serialize_element(&self.max_output_tokens)?;
        tuple.serialize_element(&self.prefix_hash)?;
        tuple.serialize_element(&self.deadline_ms)?;
        tuple.serialize_element(&self.idle_only)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for AcquireRequest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(ACQUIRE_FIELD_COUNT, AcquireVisitor)
    }
}

struct AcquireVisitor;

impl<'de> Visitor<'de> for AcquireVisitor {
    type Value = AcquireRequest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an acquire request of 9 fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<AcquireRequest, A::Error> {
        Ok(AcquireRequest {
            request: RequestId(next_field(&mut seq, 0)?),
            team: next_field::<TeamName, A>(&mut seq, 1)?,
            pool: PoolKey {
                model: next_field::<ModelName, A>(&mut seq, 2)?,
                domain: next_field::<DomainName, A>(&mut seq, 3)?,
            },
            prompt_tokens: next_field(&mut seq, 4)?,
            max_output_tokens: next_field(&mut seq, 5)?,
            prefix_hash: next_field(&mut seq, 6)?,
            deadline_ms: next_field(&mut seq, 7)?,
            idle_only: next_field(&mut seq, 8)?,
        })
    }
}

/// A steward's own state, in every heartbeat and in every reply to one.
#[derive(Debug, Clone, PartialEq)]
pub struct HeartbeatMessage {
    /// VM of the sender.
    pub vm: VmName,
    /// Incarnation of the sender; a restart changes it.
    pub incarnation: u64,
    /// Offset of the last record that the sender has folded.
    pub offset: Offset,
    /// Milliseconds since the sender's view was known to be up to date; `None` if it never was.
    pub fresh_age_ms: Option<u64>,
    /// Whether the sender cannot reach the log.
    pub log_unreachable: bool,
}

const HEARTBEAT_FIELD_COUNT: usize = 5;

impl Serialize for HeartbeatMessage {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(HEARTBEAT_FIELD_COUNT)?;
        tuple.serialize_element(&self.vm)?;
        tuple.serialize_element(&self.incarnation)?;
        tuple.serialize_element(&self.offset)?;
        tuple.serialize_element(&self.fresh_age_ms)?;
        tuple.serialize_element(&self.log_unreachable)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for HeartbeatMessage {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(HEARTBEAT_FIELD_COUNT, HeartbeatVisitor)
    }
}

struct HeartbeatVisitor;

impl<'de> Visitor<'de> for HeartbeatVisitor {
    type Value = HeartbeatMessage;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a heartbeat of 5 fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<HeartbeatMessage, A::Error> {
        Ok(HeartbeatMessage {
            vm: next_field(&mut seq, 0)?,
            incarnation: next_field(&mut seq, 1)?,
            offset: next_field(&mut seq, 2)?,
            fresh_age_ms: next_field(&mut seq, 3)?,
            log_unreachable: next_field(&mut seq, 4)?,
        })
    }
}

fn next_field<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    index: usize,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| de::Error::invalid_length(index, &"another field"))
}
