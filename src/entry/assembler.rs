//! Puts a target's chunks in order, so that a caller gets the whole of its own answer.

use std::collections::BTreeMap;

use crate::ids::RequestId;
use crate::target::stream::StreamChunk;

/// Chunks held back while an earlier one is missing.
const HELD_CHUNKS: usize = 10_000;

/// What feeding a chunk gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedResult {
    /// Text that is now in order; empty if none is.
    Ready(Vec<String>),
    /// So much is out of order that the stream must be resumed.
    Overflow,
}

/// The part of an answer that has come in order, and chunks that came too early.
///
/// ```
/// use plantainnotch::entry::assembler::{AnswerAssembler, FeedResult};
/// use plantainnotch::ids::RequestId;
/// use plantainnotch::target::stream::StreamChunk;
/// let id = RequestId(1);
/// let chunk = |seq, text: &str, last| StreamChunk {
///     request: id.to_string(), seq, content: text.into(), last,
/// };
/// let mut assembler = AnswerAssembler::new(id);
/// assert_eq!(assembler.feed(chunk(2, "b", true)), FeedResult::Ready(vec![]));
/// assert_eq!(assembler.feed(chunk(1, "a", false)), FeedResult::Ready(vec!["a".into(), "b".into()]));
/// assert!(assembler.complete());
/// ```
#[derive(Debug)]
pub struct AnswerAssembler {
    request: String,
    last_seq: u64,
    complete: bool,
    early: BTreeMap<u64, StreamChunk>,
}

impl AnswerAssembler {
    /// Nothing has come yet.
    pub fn new(request: RequestId) -> Self {
        Self {
            request: request.to_string(),
            last_seq: 0,
            complete: false,
            early: BTreeMap::new(),
        }
    }

    /// Number of the last chunk that is in order.
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Whether the end of the answer has come, in order.
    pub fn complete(&self) -> bool {
        self.complete
    }

    /// Takes a chunk in. Chunks of other requests and duplicates are dropped.
    pub fn feed(&mut self, chunk: StreamChunk) -> FeedResult {
        let stranger = chunk.request != self.request;
        if stranger || self.complete || chunk.seq <= self.last_seq {
            return FeedResult::Ready(Vec::new());
        }
        self.early.entry(chunk.seq).or_insert(chunk);
        let mut ready = Vec::new();
        while let Some(next) = self.early.remove(&(self.last_seq + 1)) {
            self.last_seq = next.seq;
            ready.push(next.content);
            if next.last {
                self.complete = true;
                self.early.clear();
            }
        }
        if self.early.len() > HELD_CHUNKS {
            self.early.clear();
            return FeedResult::Overflow;
        }
        FeedResult::Ready(ready)
    }

    /// Goes on with the same answer under another stream id.
    pub fn continue_as(&mut self, stream: RequestId) {
        self.request = stream.to_string();
        self.early.clear();
    }

    /// Drops what came too early, before the stream is resumed elsewhere.
    pub fn drop_early(&mut self) {
        self.early.clear();
    }
}
