//! Memory that the bodies of requests, or of responses, share.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use thiserror::Error;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

const SMALL_BODY_BYTES: usize = 16 * 1024; // up to which a body is read even if large ones take all memory

/// Of a body that is being read; blocks of one size are reused by the allocator without leaving gaps.
const SEGMENT_BYTES: usize = 64 * 1024;
const FIRST_SEGMENT_BYTES: usize = 4 * 1024; // of a body whose length is not announced

/// Bounds of a [`BodyBudget`], in bytes.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Of one body.
    pub body: usize,
    /// Of all bodies together, beyond the first 16 KiB of each.
    pub total: usize,
    /// How often the bytes of a body are held at a time while it is served; each counts in the total.
    pub copies: usize,
}

/// Memory that all bodies of one kind share, also between threads: a part for each thread would be too
/// small for one large body.
///
/// ```
/// use std::sync::Arc;
/// use plantainnotch::node::body_budget::{BodyBudget, BodyLimits, BudgetShare};
/// let budget = Arc::new(BodyBudget::new(BodyLimits { body: 50_000, total: 60_000, copies: 1 }));
/// let (mut first, mut second) = (BudgetShare::new(&budget), BudgetShare::new(&budget));
/// assert!(first.grow_to(50_000));
/// assert!(!second.grow_to(50_000));
/// drop(first);
/// assert!(second.grow_to(50_000));
/// ```
#[derive(Debug)]
pub struct BodyBudget {
    limits: BodyLimits,
    used_bytes: AtomicUsize,
}

impl BodyBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: BodyLimits) -> Self {
        Self {
            limits,
            used_bytes: AtomicUsize::new(0),
        }
    }
}

/// The share of one body in a [`BodyBudget`], given back when dropped.
#[derive(Debug)]
pub struct BudgetShare {
    budget: Arc<BodyBudget>,
    taken_bytes: usize,
}

impl BudgetShare {
    /// The share of a body without bytes yet.
    pub fn new(budget: &Arc<BodyBudget>) -> Self {
        Self {
            budget: budget.clone(),
            taken_bytes: 0,
        }
    }

    /// Takes what a body of `body_bytes` needs, and returns whether it may grow to that size.
    pub fn grow_to(&mut self, body_bytes: usize) -> bool {
        let limits = self.budget.limits;
        let counted_bytes = body_bytes.saturating_sub(SMALL_BODY_BYTES);
        let needed = counted_bytes
            .saturating_mul(limits.copies)
            .max(self.taken_bytes);
        let more_bytes = needed - self.taken_bytes;
        if body_bytes > limits.body {
            return false;
        }
        if more_bytes == 0 {
            return true;
        }
        // The count guards no other data, so that its order with other accesses does not matter.
        let order = Ordering::Relaxed;
        let grown = self
            .budget
            .used_bytes
            .fetch_update(order, order, |used_bytes| {
                let used_bytes = used_bytes.checked_add(more_bytes)?;
                (used_bytes <= limits.total).then_some(used_bytes)
            });
        if grown.is_ok() {
            self.taken_bytes = needed;
        }
        grown.is_ok()
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.budget
            .used_bytes
            .fetch_sub(self.taken_bytes, Ordering::Relaxed);
    }
}

/// Why the body of a request was not read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is over the limit of one body.
    #[error("the body is over the limit")]
    TooLarge,
    /// The bodies of other requests leave too little memory.
    #[error("the bodies of other requests take all memory")]
    NoMemory,
    /// It ended early, or its framing is invalid.
    #[error("{0}")]
    Unreadable(String),
}

/// Reads a body from `payload`, and takes memory for it as it arrives. One whose announced length, 0 if there
/// is none, is over `limit` or needs more than is left is not read at all.
///
/// # Errors
///
/// Fails when the body is over `limit` bytes, when memory runs short, or when it cannot be read.
pub async fn read_body<E: Display>(
    budget: &Arc<BodyBudget>,
    limit: usize,
    length: usize,
    mut payload: impl Stream<Item = std::result::Result<Bytes, E>> + Unpin,
) -> Result<(Bytes, BudgetShare)> {
    if length > limit {
        return Err(BodyError::TooLarge);
    }
    if !BudgetShare::new(budget).grow_to(length) {
        return Err(BodyError::NoMemory);
    }
    let mut share = BudgetShare::new(budget);
    let mut body = BodyBuffer::new(length);
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| BodyError::Unreadable(error.to_string()))?;
        let read_bytes = body.body_bytes() + chunk.len();
        if read_bytes > limit {
            return Err(BodyError::TooLarge);
        }
        if !share.grow_to(read_bytes) {
            return Err(BodyError::NoMemory);
        }
        body.push(&chunk);
    }
    Ok((body.into_bytes(), share))
}

/// A body that is being read, which takes memory as its bytes arrive.
///
/// ```
/// use plantainnotch::node::body_budget::BodyBuffer;
/// let mut buffer = BodyBuffer::new(5);
/// buffer.push(b"so ");
/// buffer.push(b"me");
/// assert_eq!(buffer.into_bytes(), "so me");
/// ```
#[derive(Debug)]
pub struct BodyBuffer {
    full_segments: Vec<BytesMut>,
    last_segment: BytesMut,
    body_bytes: usize,
}

impl BodyBuffer {
    /// Creates a buffer for a body whose announced length is `length`, 0 if it is not announced.
    pub fn new(length: usize) -> Self {
        Self {
            full_segments: Vec::new(),
            last_segment: BytesMut::with_capacity(length.min(SEGMENT_BYTES)),
            body_bytes: 0,
        }
    }

    /// Bytes of the body so far.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Adds bytes at the end.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.body_bytes += bytes.len();
        while !bytes.is_empty() {
            let mut room = self.last_segment.capacity() - self.last_segment.len();
            if room == 0 {
                let capacity = if self.last_segment.is_empty() {
                    bytes.len().clamp(FIRST_SEGMENT_BYTES, SEGMENT_BYTES)
                } else {
                    SEGMENT_BYTES
                };
                let full =
                    std::mem::replace(&mut self.last_segment, BytesMut::with_capacity(capacity));
                if !full.is_empty() {
                    self.full_segments.push(full);
                }
                room = capacity;
            }
            let (start, rest) = bytes.split_at(room.min(bytes.len()));
            self.last_segment.extend_from_slice(start);
            bytes = rest;
        }
    }

    /// The whole body in one piece.
    pub fn into_bytes(self) -> Bytes {
        if self.full_segments.is_empty() {
            return self.last_segment.freeze();
        }
        let mut body = BytesMut::with_capacity(self.body_bytes);
        for segment in self.full_segments {
            body.extend_from_slice(&segment);
        }
        body.extend_from_slice(&self.last_segment);
        body.freeze()
    }
}
