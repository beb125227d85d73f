//! Answers late, duplicated, out of order or mixed: the caller gets its own, whole.

use plantainnotch::entry::assembler::{AnswerAssembler, FeedResult};
use plantainnotch::ids::RequestId;
use plantainnotch::target::stream::{ChunkReader, StreamChunk, encode_chunk};

use crate::fixtures::check;

const ANSWER: [&str; 6] = ["one ", "two ", "three ", "four ", "five ", "six "];

fn chunk(request: RequestId, seq: u64) -> StreamChunk {
    StreamChunk {
        request: request.to_string(),
        seq,
        content: ANSWER[seq as usize - 1].to_owned(),
        last: seq == ANSWER.len() as u64,
    }
}

fn stranger(seq: u64) -> StreamChunk {
    StreamChunk {
        request: RequestId(99).to_string(),
        seq,
        content: "not yours ".into(),
        last: true,
    }
}

#[test]
fn any_mix_of_chunks_gives_the_answer_in_order_or_a_prefix_of_it() {
    fn property(draws: Vec<(u8, bool)>) -> bool {
        let own = RequestId(1);
        let mut assembler = AnswerAssembler::new(own);
        let mut text = String::new();
        for (draw, strange) in &draws {
            let seq = u64::from(*draw) % ANSWER.len() as u64 + 1;
            let fed = if *strange {
                stranger(seq)
            } else {
                chunk(own, seq)
            };
            if let FeedResult::Ready(parts) = assembler.feed(fed) {
                text.extend(parts);
            }
        }
        let seen = |seq: u64| {
            draws
                .iter()
                .any(|(draw, strange)| !strange && u64::from(*draw) % 6 + 1 == seq)
        };
        let in_order = (1..=6).take_while(|seq| seen(*seq)).count();
        text == ANSWER[..in_order].concat() && assembler.complete() == (in_order == 6)
    }
    check(31, property as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn chunks_are_read_alike_however_the_bytes_are_cut() {
    fn property(cuts: Vec<u8>) -> bool {
        let own = RequestId(1);
        let text: String = (1..=6).map(|seq| encode_chunk(&chunk(own, seq))).collect();
        let mut reader = ChunkReader::default();
        let mut read = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts {
            let (part, left) = rest.split_at(usize::from(cut).min(rest.len()));
            read.extend(reader.feed(part).expect("the stream is well formed"));
            rest = left;
        }
        read.extend(reader.feed(rest).expect("the stream is well formed"));
        read == (1..=6).map(|seq| chunk(own, seq)).collect::<Vec<_>>()
    }
    check(32, property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_continued_answer_ignores_the_lost_attempt() {
    // Arrange
    let (first, second) = (RequestId(1), RequestId(2));
    let mut assembler = AnswerAssembler::new(first);
    assembler.feed(chunk(first, 1));
    assembler.feed(chunk(first, 3));

    // Act
    assembler.continue_as(second);
    let late = assembler.feed(chunk(first, 2));
    let next = assembler.feed(chunk(second, 2));

    // Assert
    assert_eq!(late, FeedResult::Ready(vec![]));
    assert_eq!(next, FeedResult::Ready(vec!["two ".into()]));
}
