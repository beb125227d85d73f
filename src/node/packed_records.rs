//! Records in the form in which nodes fetch them from each other: compressed, since they are text
//! in which most names repeat.

use super::messages::{PackedRecords, RecordsRequest};
use crate::fleet::catalog::{FleetCatalog, KeyedItem};
use crate::wire::client::CallError;
use crate::wire::codec::{self, MAX_MESSAGE_BYTES};

/// Offsets from which and up to which a reply has records.
#[derive(Debug, Clone, PartialEq)]
struct RecordsRange {
    request: RecordsRequest,
    operator_end: u64,
    target_end: u64,
}

/// Packs records for peers, and keeps the last reply: after a change or a common start, all VMs of
/// a failure domain ask for the same.
#[derive(Debug, Default)]
pub struct RecordPacker {
    last: Option<(RecordsRange, PackedRecords)>,
}

impl RecordPacker {
    /// Packs all records of `catalog` at or after the requested offsets.
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
            operator_items: catalog
                .operator_feed
                .items_from(request.operator_from_offset),
            target_items: catalog.target_feed.items_from(request.target_from_offset),
        });
        self.last = Some((range, packed.clone()));
        packed
    }
}

/// All records that a node has from the offsets of a [`RecordsRequest`] on.
#[derive(Debug, PartialEq)]
pub struct FetchedRecords {
    /// Records of the operators' topic, tombstones included.
    pub operator_items: Vec<KeyedItem>,
    /// Records of the targets' topic, tombstones included.
    pub target_items: Vec<KeyedItem>,
}

/// Encodes and compresses records.
pub fn pack_records(records: &FetchedRecords) -> PackedRecords {
    let encoded = codec::encode(&(&records.operator_items, &records.target_items))
        .expect("keys, offsets and bytes have an encoding");
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
/// use plantainnotch::fleet::catalog::KeyedItem;
/// use plantainnotch::node::packed_records::{FetchedRecords, pack_records, unpack_records};
/// let item = KeyedItem { key: "a".to_owned(), offset: 7, value: None, lapsed: true };
/// let records = FetchedRecords { operator_items: vec![item], target_items: Vec::new() };
/// assert_eq!(unpack_records(&pack_records(&records)).unwrap(), records);
/// ```
pub fn unpack_records(packed: &PackedRecords) -> Result<FetchedRecords, CallError> {
    let encoded_bytes = usize::try_from(packed.encoded_bytes)
        .ok()
        .filter(|bytes| *bytes <= MAX_MESSAGE_BYTES)
        .ok_or(CallError::TooLarge)?;
    let encoded = lz4_flex::block::decompress(&packed.compressed, encoded_bytes)
        .map_err(|error| CallError::Compression(error.to_string()))?;
    let (operator_items, target_items) = codec::decode(&encoded)?;
    Ok(FetchedRecords {
        operator_items,
        target_items,
    })
}
