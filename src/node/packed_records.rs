//! Records in the form in which nodes fetch them from each other: compressed, since they are text
//! in which most names repeat.

use serde::{Deserialize, Serialize};

use super::messages::{PackedRecords, RecordsRequest};
use crate::fleet::catalog::FleetCatalog;
use crate::fleet::feed::{LogPosition, TopicSnapshot};
use crate::wire::client::CallError;
use crate::wire::codec::{self, MAX_MESSAGE_BYTES};

/// Positions after which and up to which a reply has records.
#[derive(Debug, Clone, PartialEq)]
struct RecordsRange {
    request: RecordsRequest,
    operator_end: LogPosition,
    target_end: LogPosition,
}

/// Packs records for peers, and keeps the last reply: after a change or a common start, all VMs of
/// a failure domain ask for the same.
#[derive(Debug, Default)]
pub struct RecordPacker {
    last: Option<(RecordsRange, PackedRecords)>,
}

impl RecordPacker {
    /// Packs all records of `catalog` after the requested positions.
    pub fn pack(&mut self, catalog: &FleetCatalog, request: &RecordsRequest) -> PackedRecords {
        let range = RecordsRange {
            request: request.clone(),
            operator_end: catalog.operator_feed.end(),
            target_end: catalog.target_feed.end(),
        };
        if let Some((known, packed)) = &self.last
            && *known == range
        {
            return packed.clone();
        }
        let packed = pack_records(&FetchedRecords {
            operators: TopicSnapshot {
                items: catalog.operator_feed.items_after(request.operators_after),
                end: catalog.operator_feed.end(),
            },
            targets: TopicSnapshot {
                items: catalog.target_feed.items_after(request.targets_after),
                end: catalog.target_feed.end(),
            },
        });
        self.last = Some((range, packed.clone()));
        packed
    }
}

/// All records that a node has after the positions of a [`RecordsRequest`].
///
/// They are complete if the requested position is of an earlier era than their end: a node moves
/// all its records to an era that begins.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchedRecords {
    /// Records of the operators' topic, tombstones included.
    pub operators: TopicSnapshot,
    /// Records of the targets' topic, tombstones included.
    pub targets: TopicSnapshot,
}

/// Encodes and compresses records.
pub fn pack_records(records: &FetchedRecords) -> PackedRecords {
    let encoded = codec::encode(records).expect("keys, positions and bytes have an encoding");
    PackedRecords {
        encoded_bytes: encoded.len() as u64,
        compressed: lz4_flex::block::compress(&encoded),
    }
}

/// Reverses [`pack_records`].
///
/// # Errors
///
/// Fails when the records would be larger than a message may be, or cannot be decoded.
///
/// ```
/// use plantainnotch::fleet::feed::{LogPosition, TopicSnapshot};
/// use plantainnotch::node::packed_records::{FetchedRecords, pack_records, unpack_records};
/// let topic = TopicSnapshot { items: Vec::new(), end: LogPosition::after(1, 7) };
/// let records = FetchedRecords { operators: topic.clone(), targets: topic };
/// assert_eq!(unpack_records(&pack_records(&records)).unwrap(), records);
/// ```
pub fn unpack_records(packed: &PackedRecords) -> Result<FetchedRecords, CallError> {
    let encoded_bytes = usize::try_from(packed.encoded_bytes)
        .ok()
        .filter(|bytes| *bytes <= MAX_MESSAGE_BYTES)
        .ok_or(CallError::TooLarge)?;
    let encoded = lz4_flex::block::decompress(&packed.compressed, encoded_bytes)
        .map_err(|error| CallError::Compression(error.to_string()))?;
    Ok(codec::decode(&encoded)?)
}
