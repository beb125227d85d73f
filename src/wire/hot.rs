//! The messages sent for every request and every heartbeat, with visitors by hand.

use std::fmt;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ids::{DomainName, ModelName, Offset, RequestId, TeamName, VmName};
use crate::view::ownership::PoolKey;

/// What an entry asks a pool's steward for.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolAsk {
    /// The caller's request.
    pub request: RequestId,
    /// The team.
    pub team: TeamName,
    /// The pool.
    pub pool: PoolKey,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most tokens that may be generated.
    pub max_output: u64,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// Milliseconds until the answer must be complete.
    pub deadline_ms: u64,
    /// Whether to refuse at once rather than queue.
    pub idle_only: bool,
}

const POOL_ASK_FIELDS: usize = 9;

impl Serialize for PoolAsk {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(POOL_ASK_FIELDS)?;
        tuple.serialize_element(&self.request.0)?;
        tuple.serialize_element(&self.team)?;
        tuple.serialize_element(&self.pool.model)?;
        tuple.serialize_element(&self.pool.domain)?;
        tuple.serialize_element(&self.prompt)?;
        tuple.serialize_element(&self.max_output)?;
        tuple.serialize_element(&self.prefix)?;
        tuple.serialize_element(&self.deadline_ms)?;
        tuple.serialize_element(&self.idle_only)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for PoolAsk {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(POOL_ASK_FIELDS, PoolAskVisitor)
    }
}

struct PoolAskVisitor;

impl<'de> Visitor<'de> for PoolAskVisitor {
    type Value = PoolAsk;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a pool ask of 9 fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<PoolAsk, A::Error> {
        Ok(PoolAsk {
            request: RequestId(field(&mut seq, 0)?),
            team: field::<TeamName, A>(&mut seq, 1)?,
            pool: PoolKey {
                model: field::<ModelName, A>(&mut seq, 2)?,
                domain: field::<DomainName, A>(&mut seq, 3)?,
            },
            prompt: field(&mut seq, 4)?,
            max_output: field(&mut seq, 5)?,
            prefix: field(&mut seq, 6)?,
            deadline_ms: field(&mut seq, 7)?,
            idle_only: field(&mut seq, 8)?,
        })
    }
}

/// What a steward says of itself in every heartbeat and its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct BeatMessage {
    /// The sender.
    pub vm: VmName,
    /// Its incarnation.
    pub incarnation: u64,
    /// The last offset that it has folded.
    pub offset: Offset,
    /// Milliseconds since its view was known to be the newest, if it ever was.
    pub fresh_age_ms: Option<u64>,
    /// Whether it cannot reach the log.
    pub log_unreachable: bool,
}

const BEAT_FIELDS: usize = 5;

impl Serialize for BeatMessage {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(BEAT_FIELDS)?;
        tuple.serialize_element(&self.vm)?;
        tuple.serialize_element(&self.incarnation)?;
        tuple.serialize_element(&self.offset)?;
        tuple.serialize_element(&self.fresh_age_ms)?;
        tuple.serialize_element(&self.log_unreachable)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for BeatMessage {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(BEAT_FIELDS, BeatVisitor)
    }
}

struct BeatVisitor;

impl<'de> Visitor<'de> for BeatVisitor {
    type Value = BeatMessage;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a heartbeat of 5 fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<BeatMessage, A::Error> {
        Ok(BeatMessage {
            vm: field(&mut seq, 0)?,
            incarnation: field(&mut seq, 1)?,
            offset: field(&mut seq, 2)?,
            fresh_age_ms: field(&mut seq, 3)?,
            log_unreachable: field(&mut seq, 4)?,
        })
    }
}

fn field<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    place: usize,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| de::Error::invalid_length(place, &"another field"))
}
