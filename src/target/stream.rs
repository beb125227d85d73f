//! The streaming format of targets: server-sent events with numbered chunks.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Header with the request's id.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header with the request's priority; lower goes first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header with the number of targets that share the prompt.
pub const GANG_SIZE_HEADER: &str = "x-gang-size";

/// Header with the addresses of the other targets that share the prompt.
pub const GANG_MEMBERS_HEADER: &str = "x-gang-members";

const MAX_EVENT_BYTES: usize = 1 << 20;

/// Result of reading a stream.
pub type Result<T> = std::result::Result<T, StreamError>;

/// A stream that is not in the targets' format.
#[derive(Debug, Error)]
pub enum StreamError {
    /// An event is not complete, and already longer than the limit.
    #[error(
        "an event of the target's stream is over {MAX_EVENT_BYTES} bytes; check the target's version"
    )]
    TooLong,
    /// An event is not a chunk in JSON.
    #[error("an event of the target's stream cannot be read: {0}; check the target's version")]
    Unreadable(#[from] serde_json::Error),
    /// An event is not text.
    #[error("an event of the target's stream is not UTF-8; check the target's version")]
    NotText,
}

/// One chunk of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamChunk {
    /// The request's id, as the target received it.
    pub request: String,
    /// Position in the whole response, from 1; a resumed stream continues the count.
    pub seq: u64,
    /// The text that this chunk adds.
    pub content: String,
    /// Whether this is the last chunk of the response.
    pub last: bool,
}

#[derive(Serialize, Deserialize)]
struct ChunkEvent {
    id: String,
    object: String,
    seq: u64,
    choices: Vec<ChunkChoice>,
}

#[derive(Serialize, Deserialize)]
struct ChunkChoice {
    index: u32,
    delta: ChunkDelta,
    finish_reason: Option<String>,
}

#[derive(Serialize, Deserialize)]
struct ChunkDelta {
    #[serde(default)]
    content: String,
}

/// Encodes a chunk as a server-sent event.
///
/// ```
/// use plantainnotch::target::stream::{ChunkReader, StreamChunk, encode_chunk};
/// let chunk = StreamChunk { request: "req-1".into(), seq: 1, content: "a".into(), last: true };
/// let mut reader = ChunkReader::default();
/// let read = reader.feed(encode_chunk(&chunk).as_bytes())?;
/// assert_eq!(read, [chunk]);
/// # Ok::<(), plantainnotch::target::stream::StreamError>(())
/// ```
pub fn encode_chunk(chunk: &StreamChunk) -> String {
    let event = ChunkEvent {
        id: chunk.request.clone(),
        object: "chat.completion.chunk".to_owned(),
        seq: chunk.seq,
        choices: vec![ChunkChoice {
            index: 0,
            delta: ChunkDelta {
                content: chunk.content.clone(),
            },
            finish_reason: chunk.last.then(|| "stop".to_owned()),
        }],
    };
    let json = serde_json::to_string(&event).expect("a chunk holds only plain data");
    format!("data: {json}\n\n")
}

/// Incremental decoder of a stream's chunks.
#[derive(Debug, Default)]
pub struct ChunkReader {
    buffer: Vec<u8>,
}

impl ChunkReader {
    /// Adds received bytes, and returns the chunks that are now complete.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not in the targets' format.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<StreamChunk>> {
        self.buffer.extend_from_slice(bytes);
        let mut chunks = Vec::new();
        let mut start = 0;
        while let Some(length) = find_event_end(&self.buffer[start..]) {
            let event = &self.buffer[start..start + length];
            chunks.extend(parse_event(event)?);
            start += length;
        }
        self.buffer.drain(..start);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        Ok(chunks)
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let position = bytes.windows(2).position(|pair| pair == b"\n\n")?;
    Some(position + 2)
}

fn parse_event(event: &[u8]) -> Result<Option<StreamChunk>> {
    let text = std::str::from_utf8(event).map_err(|_| StreamError::NotText)?;
    let Some(data) = text.trim().strip_prefix("data:").map(str::trim) else {
        return Ok(None);
    };
    if data == "[DONE]" {
        return Ok(None);
    }
    let event: ChunkEvent = serde_json::from_str(data)?;
    let choice = event.choices.into_iter().next();
    Ok(choice.map(|choice| StreamChunk {
        request: event.id,
        seq: event.seq,
        content: choice.delta.content,
        last: choice.finish_reason.is_some(),
    }))
}
