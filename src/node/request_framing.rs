//! Where a request ends in the bytes that a caller sends, so that no more of them are read.

/// How long a request's body is, by its head.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BodyFraming {
    /// Of this many bytes, none if 0.
    Sized(u64),
    /// In chunks, of which the last is empty.
    Chunked,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum LinePosition {
    BeforeFirst,
    Inside,
    Start,
    AfterReturn,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum ChunkPosition {
    Size,
    Extension,
    Data,
    /// After the data, or after an empty chunk's size, with this many bytes to its line's end.
    End {
        left: u8,
        is_last: bool,
    },
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestPosition {
    Head(LinePosition),
    HeadEnd,
    Sized { left: u64 },
    Chunked { at: ChunkPosition, size: u64 },
    Complete,
}

/// Follows one request through the bytes of a connection.
///
/// It only finds the request's end; the HTTP server checks whether the bytes are valid.
///
/// ```
/// use plantainnotch::node::request_framing::{BodyFraming, RequestScanner};
/// let mut scanner = RequestScanner::new();
/// assert_eq!(scanner.scan(b"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 18);
/// scanner.begin_body(BodyFraming::Sized(0));
/// assert!(scanner.is_complete());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RequestScanner {
    position: RequestPosition,
    head_bytes: usize,
    body_bytes: usize,
}

impl RequestScanner {
    /// Begins before a request's first byte.
    pub fn new() -> Self {
        Self {
            position: RequestPosition::Head(LinePosition::BeforeFirst),
            head_bytes: 0,
            body_bytes: 0,
        }
    }

    /// Passes the bytes that belong to the request, and returns their number: up to the end of the head, or
    /// after [`Self::begin_body`] of the body.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let passed = match self.position {
            RequestPosition::Head(_) => self.scan_head(bytes),
            RequestPosition::Sized { left } => {
                let passed =
                    usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
                self.begin_body(BodyFraming::Sized(left - passed as u64));
                passed
            }
            RequestPosition::Chunked { .. } => self.scan_chunks(bytes),
            RequestPosition::HeadEnd | RequestPosition::Complete => 0,
        };
        if self.is_in_head() || self.position == RequestPosition::HeadEnd {
            self.head_bytes += passed;
        } else {
            self.body_bytes += passed;
        }
        passed
    }

    fn scan_head(&mut self, bytes: &[u8]) -> usize {
        for (index, byte) in bytes.iter().enumerate() {
            let RequestPosition::Head(line) = self.position else {
                return index;
            };
            self.position = match (line, byte) {
                (LinePosition::BeforeFirst, b'\r' | b'\n') => {
                    RequestPosition::Head(LinePosition::BeforeFirst)
                }
                (LinePosition::Start | LinePosition::AfterReturn, b'\n') => {
                    RequestPosition::HeadEnd
                }
                (LinePosition::Start, b'\r') => RequestPosition::Head(LinePosition::AfterReturn),
                (_, b'\n') => RequestPosition::Head(LinePosition::Start),
                _ => RequestPosition::Head(LinePosition::Inside),
            };
        }
        bytes.len()
    }

    fn scan_chunks(&mut self, bytes: &[u8]) -> usize {
        let mut index = 0;
        while index < bytes.len() {
            let RequestPosition::Chunked { at, size } = self.position else {
                break;
            };
            if at == ChunkPosition::Data {
                let rest = bytes.len() - index;
                let passed = usize::try_from(size).map_or(rest, |size| size.min(rest));
                index += passed;
                let left = size - passed as u64;
                self.position = RequestPosition::Chunked {
                    at: if left > 0 {
                        ChunkPosition::Data
                    } else {
                        ChunkPosition::End {
                            left: 2,
                            is_last: false,
                        }
                    },
                    size: left,
                };
                continue;
            }
            self.position = next_chunk_position(at, size, bytes[index]);
            index += 1;
        }
        index
    }

    /// Begins the body after a head that is complete.
    pub fn begin_body(&mut self, framing: BodyFraming) {
        self.position = match framing {
            BodyFraming::Sized(0) => RequestPosition::Complete,
            BodyFraming::Sized(left) => RequestPosition::Sized { left },
            BodyFraming::Chunked => RequestPosition::Chunked {
                at: ChunkPosition::Size,
                size: 0,
            },
        };
    }

    /// Whether the head is not complete.
    pub fn is_in_head(&self) -> bool {
        matches!(self.position, RequestPosition::Head(_))
    }

    /// Whether the body is not complete.
    pub fn is_in_body(&self) -> bool {
        matches!(
            self.position,
            RequestPosition::Sized { .. } | RequestPosition::Chunked { .. }
        )
    }

    /// Whether the whole request has been passed.
    pub fn is_complete(&self) -> bool {
        self.position == RequestPosition::Complete
    }

    /// Bytes of the head passed so far.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Bytes of the body passed so far, its framing included.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }
}

impl Default for RequestScanner {
    fn default() -> Self {
        Self::new()
    }
}

fn next_chunk_position(at: ChunkPosition, size: u64, byte: u8) -> RequestPosition {
    let chunked = |at, size| RequestPosition::Chunked { at, size };
    match (at, byte) {
        (ChunkPosition::Size | ChunkPosition::Extension, b'\n') if size > 0 => {
            chunked(ChunkPosition::Data, size)
        }
        (ChunkPosition::Size | ChunkPosition::Extension, b'\n') => {
            let end = ChunkPosition::End {
                left: 2,
                is_last: true,
            };
            chunked(end, 0)
        }
        (ChunkPosition::Size, _) => match char::from(byte).to_digit(16) {
            Some(digit) => chunked(
                ChunkPosition::Size,
                size.saturating_mul(16).saturating_add(u64::from(digit)),
            ),
            None => chunked(ChunkPosition::Extension, size),
        },
        (
            ChunkPosition::End {
                left: 1,
                is_last: true,
            },
            _,
        ) => RequestPosition::Complete,
        (ChunkPosition::End { left: 1, .. }, _) => chunked(ChunkPosition::Size, 0),
        (ChunkPosition::End { left, is_last }, _) => {
            let left = left.saturating_sub(1);
            chunked(ChunkPosition::End { left, is_last }, 0)
        }
        (ChunkPosition::Extension | ChunkPosition::Data, _) => chunked(at, size),
    }
}
