//! Memory that the bodies of requests, or of responses, share.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

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
}

/// Memory that all bodies of one kind share.
///
/// ```
/// use std::rc::Rc;
/// use plantainnotch::node::body_budget::{BodyBudget, BodyLimits, BudgetShare};
/// let budget = Rc::new(BodyBudget::new(BodyLimits { body: 50_000, total: 60_000 }));
/// let (mut first, mut second) = (BudgetShare::new(&budget), BudgetShare::new(&budget));
/// assert!(first.grow_to(50_000));
/// assert!(!second.grow_to(50_000));
/// drop(first);
/// assert!(second.grow_to(50_000));
/// ```
#[derive(Debug)]
pub struct BodyBudget {
    limits: BodyLimits,
    used_bytes: Cell<usize>,
}

impl BodyBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: BodyLimits) -> Self {
        Self {
            limits,
            used_bytes: Cell::new(0),
        }
    }
}

/// The share of one body in a [`BodyBudget`], given back when dropped.
#[derive(Debug)]
pub struct BudgetShare {
    budget: Rc<BodyBudget>,
    taken_bytes: usize,
}

impl BudgetShare {
    /// The share of a body without bytes yet.
    pub fn new(budget: &Rc<BodyBudget>) -> Self {
        Self {
            budget: budget.clone(),
            taken_bytes: 0,
        }
    }

    /// Takes what a body of `body_bytes` needs, and returns whether it may grow to that size.
    pub fn grow_to(&mut self, body_bytes: usize) -> bool {
        let BodyLimits { body, total } = self.budget.limits;
        let needed = body_bytes
            .saturating_sub(SMALL_BODY_BYTES)
            .max(self.taken_bytes);
        let used = self.budget.used_bytes.get() - self.taken_bytes + needed;
        let fits = body_bytes <= body && (needed == self.taken_bytes || used <= total);
        if fits {
            self.budget.used_bytes.set(used);
            self.taken_bytes = needed;
        }
        fits
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        let used = self.budget.used_bytes.get();
        self.budget.used_bytes.set(used - self.taken_bytes);
    }
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
