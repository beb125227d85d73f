//! Arbitrary input to each parser gives an error, without a panic and with bounded memory.

use plantainnotch::entry::chat::ChatBody;
use plantainnotch::ids::{ModelName, RequestId, TeamName};
use plantainnotch::logstore::log::{ReadResponse, StoredRecord};
use plantainnotch::target::control::StreamListing;
use plantainnotch::target::stream::ChunkReader;
use plantainnotch::view::checkpoint;
use plantainnotch::view::ownership::PoolKey;
use plantainnotch::view::sheet;
use plantainnotch::wire::codec::{decode, encode};
use plantainnotch::wire::hot::{AcquireRequest, HeartbeatMessage};
use plantainnotch::wire::{PeerCall, PeerReply};

use crate::fixtures::*;

fn acquire_request(number: u64) -> AcquireRequest {
    AcquireRequest {
        request: RequestId(number),
        team: TeamName::new("kigali"),
        pool: PoolKey {
            model: ModelName::new("appraisal"),
            domain: plantainnotch::ids::DomainName::new("rw-a"),
        },
        prompt_tokens: number,
        max_output_tokens: 10,
        prefix_hash: 3,
        deadline_ms: 1_000,
        idle_only: false,
    }
}

#[test]
fn messages_with_manual_serde_code_decode_to_what_was_encoded() {
    fn property(numbers: (u64, u64, u64, bool)) -> bool {
        let (a, b, c, flag) = numbers;
        let sent_request = AcquireRequest {
            max_output_tokens: b,
            prefix_hash: c,
            ..acquire_request(a)
        };
        let heartbeat = HeartbeatMessage {
            vm: vm(1),
            incarnation: a,
            offset: plantainnotch::ids::Offset(b),
            fresh_age_ms: flag.then_some(c),
            log_unreachable: flag,
        };
        decode::<AcquireRequest>(&encode(&sent_request).expect("encodes")).expect("decodes")
            == sent_request
            && decode::<HeartbeatMessage>(&encode(&heartbeat).expect("encodes")).expect("decodes")
                == heartbeat
    }
    check(41, property as fn((u64, u64, u64, bool)) -> bool);
}

#[test]
fn peer_messages_of_any_bytes_do_not_panic() {
    fn property(bytes: Vec<u8>, position: usize, value: u8) -> bool {
        let mut mutated = encode(&PeerCall::AcquirePool(acquire_request(7))).expect("encodes");
        let position = position % mutated.len();
        mutated[position] = value;
        decode::<PeerCall>(&bytes).ok();
        decode::<PeerReply>(&bytes).ok();
        decode::<PeerCall>(&mutated).ok();
        decode::<PeerCall>(&mutated[..position]).is_err()
    }
    check(42, property as fn(Vec<u8>, usize, u8) -> bool);
}

#[test]
fn a_false_length_prefix_is_refused() {
    // A list of claim events with a length prefix of 2^60 items.
    let mut bytes = encode(&PeerCall::Append(vec![])).expect("encodes");
    bytes.pop();
    bytes.push(253);
    bytes.extend((1_u64 << 60).to_le_bytes());
    assert!(decode::<PeerCall>(&bytes).is_err());
}

#[test]
fn log_records_of_any_text_do_not_panic() {
    fn property(text: String, offset: u64) -> bool {
        let stored = StoredRecord {
            offset,
            at_ms: 0,
            text,
        };
        let entry = stored.parse();
        entry.offset.0 == offset && serde_json::from_str::<ReadResponse>(&stored.text).is_err()
    }
    check(43, property as fn(String, u64) -> bool);
}

#[test]
fn checkpoints_of_any_text_do_not_panic() {
    fn property(text: String, bytes: Vec<u8>) -> bool {
        let encoded = base64::Engine::encode(&base64::engine::general_purpose::STANDARD, &bytes);
        let offset = plantainnotch::ids::Offset(1);
        checkpoint::decode(offset, &encoded).ok();
        checkpoint::decode(offset, &text).is_err() || text.is_empty()
    }
    check(44, property as fn(String, Vec<u8>) -> bool);
}

#[test]
fn mistakes_in_a_sheet_name_the_file() {
    fn property(cells: Vec<String>) -> bool {
        let text = format!("kind,name,weight\nteam,{}\n", cells.join(","));
        match sheet::read("t.csv", &text) {
            Ok(_) => true,
            Err(list) => list.0.iter().all(|mistake| mistake.starts_with("t.csv:")),
        }
    }
    check(45, property as fn(Vec<String>) -> bool);
}

#[test]
fn a_sheet_with_mistakes_is_refused_and_every_mistake_listed() {
    // Arrange
    let text = "kind,name,target,domain,owner,model,address,memory_tokens,cold_limit,warm_limit,state\n\
                domain,rw-a,,,,,,,,,sideways\n\
                engine,app-1,,rw-a,owner,appraisal,nowhere,0,4,2,in\n\
                teem,x,,,,,,,,,\n\
                domain,rw-a,,,,,,,,,in\n";

    // Act
    let mistakes = sheet::read("t.csv", text)
        .expect_err("the sheet has mistakes")
        .0;

    // Assert
    let has_mistake = |part: &str| mistakes.iter().any(|mistake| mistake.contains(part));
    assert!(has_mistake("t.csv:2: column state"));
    assert!(has_mistake("t.csv:3: column address"));
    assert!(has_mistake("t.csv:3: column memory_tokens"));
    assert!(has_mistake("t.csv:3: column warm_limit"));
    assert!(has_mistake("t.csv:4: column kind"));
    assert!(has_mistake(
        "t.csv:5: column name: domain/rw-a occurs twice"
    ));
}

#[test]
fn an_exported_sheet_reads_back_unchanged() {
    let view = view_of(small_table(3, 1000));
    let rows = sheet::read("t.csv", &sheet::write(&view)).expect("an export is a good sheet");
    let unchanged = rows.iter().all(|row| {
        let entry = view.rows().get(&row.key);
        entry.and_then(|entry| entry.row.as_ref()) == Some(&row.row)
    });
    assert!(unchanged);
    assert_eq!(rows.len(), view.rows().len());
}

#[test]
fn bodies_and_streams_of_any_bytes_do_not_panic() {
    fn property(bytes: Vec<u8>, text: String) -> bool {
        ChatBody::parse(&bytes).ok();
        ChatBody::parse(text.as_bytes()).ok();
        serde_json::from_slice::<StreamListing>(&bytes).ok();
        let mut reader = ChunkReader::default();
        reader.feed(&bytes).ok();
        reader.feed(format!("data: {text}\n\n").as_bytes()).ok();
        true
    }
    check(46, property as fn(Vec<u8>, String) -> bool);
}

#[test]
fn an_event_without_an_end_is_refused_above_the_size_limit() {
    let mut reader = ChunkReader::default();
    let part = vec![b'x'; 400_000];
    let accepted: Vec<bool> = (0..4).map(|_| reader.feed(&part).is_ok()).collect();
    assert_eq!(accepted, [true, true, false, false]);
}
