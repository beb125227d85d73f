//! Records as nodes fetch them from each other.

use plantainnotch::fleet::catalog::{FleetCatalog, RecordDecoder, RecordKind};
use plantainnotch::fleet::feed::{KeyedItem, LogPosition, TopicSnapshot};
use plantainnotch::node::messages::{PackedRecords, RecordsRequest};
use plantainnotch::node::packed_records::{
    FetchedRecords, RecordPacker, pack_records, unpack_records,
};
use plantainnotch::wire::codec::MAX_MESSAGE_BYTES;

use crate::fixtures::check;

fn item(key: String, offset: u64, value: Option<Vec<u8>>) -> KeyedItem {
    let lapsed = value.is_none() && offset.is_multiple_of(2);
    KeyedItem {
        key,
        position: LogPosition::after(offset % 3, offset),
        value,
        lapsed,
        carried_over: offset.is_multiple_of(5),
    }
}

fn catalog() -> FleetCatalog {
    FleetCatalog::new(RecordDecoder {
        kind: |_| RecordKind::Other,
        routes: |_| eyre::bail!("no routes in this test"),
        target: |_, _| eyre::bail!("no targets in this test"),
    })
}

fn topic(items: &[KeyedItem]) -> TopicSnapshot {
    let end = items.iter().map(|item| item.position).max();
    TopicSnapshot {
        items: items.to_vec(),
        end: end.unwrap_or_default(),
    }
}

fn all_records() -> RecordsRequest {
    RecordsRequest {
        operators_after: LogPosition::default(),
        targets_after: LogPosition::default(),
    }
}

#[test]
fn packed_records_unpack_to_what_was_packed() {
    fn property(entries: Vec<(String, u64, Option<Vec<u8>>)>, split: usize) -> bool {
        let items: Vec<KeyedItem> = entries
            .into_iter()
            .map(|(key, offset, value)| item(key, offset, value))
            .collect();
        let (operator, target) = items.split_at(split % (items.len() + 1));
        let records = FetchedRecords {
            operators: topic(operator),
            targets: topic(target),
        };
        unpack_records(&pack_records(&records)).is_ok_and(|unpacked| unpacked == records)
    }
    check(
        46,
        property as fn(Vec<(String, u64, Option<Vec<u8>>)>, usize) -> bool,
    );
}

#[test]
fn packed_records_of_any_bytes_do_not_panic() {
    fn property(compressed: Vec<u8>, encoded_bytes: u32) -> bool {
        let packed = PackedRecords {
            encoded_bytes: u64::from(encoded_bytes % (1 << 20)),
            compressed,
        };
        let _ = unpack_records(&packed);
        true
    }
    check(47, property as fn(Vec<u8>, u32) -> bool);
}

#[test]
fn records_larger_than_a_message_are_rejected() {
    let packed = PackedRecords {
        encoded_bytes: MAX_MESSAGE_BYTES as u64 + 1,
        compressed: Vec::new(),
    };

    assert!(unpack_records(&packed).is_err());
}

#[test]
fn a_repeated_request_gets_the_records_as_of_now() {
    let mut catalog = catalog();
    let mut packer = RecordPacker::default();
    catalog.apply_operator_items(&[item("a".into(), 1, Some(vec![1]))]);
    let before = packer.pack(&catalog, &all_records());
    catalog.apply_operator_items(&[item("a".into(), 2, Some(vec![2]))]);

    let after = packer.pack(&catalog, &all_records());

    let offsets = |packed: &PackedRecords| -> Vec<u64> {
        let records = unpack_records(packed).expect("unpacks");
        records
            .operators
            .items
            .iter()
            .map(|item| item.position.next_offset)
            .collect()
    };
    assert_eq!(offsets(&before), [2]);
    assert_eq!(offsets(&after), [3]);
}

/// A configuration of many routes repeats most of its text.
#[test]
fn a_large_configuration_takes_a_fifth_of_its_size() {
    let routes: String = (0..1_640)
        .map(|n| {
            format!(
                r#"{{"name":"route-{n:05x}","host":"h{n:04x}.example","path_prefix":"/p{n:04x}/","route_type":"stream","timeout_ms":10000,"service":"appraiser-llm"}},"#
            )
        })
        .collect();
    let records = FetchedRecords {
        operators: topic(&[item("config".into(), 1, Some(routes.clone().into_bytes()))]),
        targets: topic(&[]),
    };

    let packed = pack_records(&records);

    assert!(
        packed.compressed.len() * 5 <= routes.len(),
        "{} of {} bytes",
        packed.compressed.len(),
        routes.len()
    );
}
