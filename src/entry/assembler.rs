//! Puts the chunks of an answer in order and drops chunks of other streams and duplicates.

use std::collections::BTreeMap;

use crate::ids::RequestId;
use crate::target::stream::StreamChunk;

/// Chunks buffered while an earlier one is missing.
const MAX_EARLY_CHUNKS: usize = 10_000;

/// Result of feeding a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedResult {
    /// Parts of the answer that are now in order; may be empty.
    Ready(Vec<String>),
    /// Too many chunks arrived out of order; the stream must be resumed.
    Overflow,
}

/// How far an answer has arrived in order, and the chunks that arrived too early.
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
    stream: String,
    last_seq: u64,
    complete: bool,
    early_chunks: BTreeMap<u64, StreamChunk>,
}

impl AnswerAssembler {
    /// An assembler for the stream with this id, before its first chunk.
    pub fn new(stream: RequestId) -> Self {
        Self {
            stream: stream.to_string(),
            last_seq: 0,
            complete: false,
            early_chunks: BTreeMap::new(),
        }
    }

    /// Number of the last chunk received in order; 0 before the first.
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Whether all chunks up to the last one have been received.
    pub fn complete(&self) -> bool {
        self.complete
    }

    /// Adds a chunk. Chunks of other streams and duplicates are dropped.
    pub fn feed(&mut self, chunk: StreamChunk) -> FeedResult {
        let foreign = chunk.request != self.stream;
        if foreign || self.complete || chunk.seq <= self.last_seq {
            return FeedResult::Ready(Vec::new());
        }
        self.early_chunks.entry(chunk.seq).or_insert(chunk);
        let mut ready = Vec::new();
        while let Some(next) = self.early_chunks.remove(&(self.last_seq + 1)) {
            self.last_seq = next.seq;
            ready.push(next.content);
            if next.last {
                self.complete = true;
                self.early_chunks.clear();
            }
        }
        if self.early_chunks.len() > MAX_EARLY_CHUNKS {
            self.early_chunks.clear();
            return FeedResult::Overflow;
        }
        FeedResult::Ready(ready)
    }

    /// Continues the same answer under another stream id, whose chunks are numbered on.
    pub fn continue_as(&mut self, stream: RequestId) {
        self.stream = stream.to_string();
        self.early_chunks.clear();
    }

    /// Drops chunks that arrived too early, because a resumed stream sends them again.
    pub fn drop_early(&mut self) {
        self.early_chunks.clear();
    }
}
