//! Chunks may be late, duplicated, out of order or of other requests; the caller must still get its
//! own answer, complete and in order.

use plantainnotch::entry::assembler::{AnswerAssembler, FeedResult};
use plantainnotch::ids::RequestId;
use plantainnotch::target::stream::{ChunkReader, StreamChunk, encode_chunk};

use crate::fixtures::check;

const ANSWER_PARTS: [&str; 6] = ["one ", "two ", "three ", "four ", "five ", "six "];

fn chunk(request: RequestId, seq: u64) -> StreamChunk {
    StreamChunk {
        request: request.to_string(),
        seq,
        content: ANSWER_PARTS[seq as usize - 1].to_owned(),
        last: seq == ANSWER_PARTS.len() as u64,
    }
}

fn foreign_chunk(seq: u64) -> StreamChunk {
    StreamChunk {
        request: RequestId(99).to_string(),
        seq,
        content: "not yours ".into(),
        last: true,
    }
}

#[test]
fn any_mix_of_chunks_yields_the_answer_or_a_prefix_of_it() {
    fn property(draws: Vec<(u8, bool)>) -> bool {
        let own_id = RequestId(1);
        let mut assembler = AnswerAssembler::new(own_id);
        let mut text = String::new();
        for (draw, is_foreign) in &draws {
            let seq = u64::from(*draw) % ANSWER_PARTS.len() as u64 + 1;
            let input_chunk = if *is_foreign {
                foreign_chunk(seq)
            } else {
                chunk(own_id, seq)
            };
            if let FeedResult::Ready(parts) = assembler.feed(input_chunk) {
                text.extend(parts);
            }
        }
        let received = |seq: u64| {
            draws
                .iter()
                .any(|(draw, is_foreign)| !is_foreign && u64::from(*draw) % 6 + 1 == seq)
        };
        let in_order = (1..=6).take_while(|seq| received(*seq)).count();
        text == ANSWER_PARTS[..in_order].concat() && assembler.complete() == (in_order == 6)
    }
    check(31, property as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn chunks_decode_the_same_wherever_the_byte_stream_is_split() {
    fn property(cuts: Vec<u8>) -> bool {
        let own_id = RequestId(1);
        let text: String = (1..=6)
            .map(|seq| encode_chunk(&chunk(own_id, seq)))
            .collect();
        let mut reader = ChunkReader::default();
        let mut received_chunks = Vec::new();
        let mut remaining = text.as_bytes();
        for cut in cuts {
            let (part, after_cut) = remaining.split_at(usize::from(cut).min(remaining.len()));
            received_chunks.extend(reader.feed(part).expect("the stream is well formed"));
            remaining = after_cut;
        }
        received_chunks.extend(reader.feed(remaining).expect("the stream is well formed"));
        received_chunks == (1..=6).map(|seq| chunk(own_id, seq)).collect::<Vec<_>>()
    }
    check(32, property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_continued_answer_ignores_chunks_of_the_failed_attempt() {
    // Arrange
    let (first_id, second_id) = (RequestId(1), RequestId(2));
    let mut assembler = AnswerAssembler::new(first_id);
    assembler.feed(chunk(first_id, 1));
    assembler.feed(chunk(first_id, 3));

    // Act
    assembler.continue_as(second_id);
    let chunk_of_failed_attempt = assembler.feed(chunk(first_id, 2));
    let chunk_of_new_attempt = assembler.feed(chunk(second_id, 2));

    // Assert
    assert_eq!(chunk_of_failed_attempt, FeedResult::Ready(vec![]));
    assert_eq!(chunk_of_new_attempt, FeedResult::Ready(vec!["two ".into()]));
}
