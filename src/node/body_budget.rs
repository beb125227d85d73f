//! Memory that the bodies of requests, or of responses, share.

use std::cell::Cell;
use std::rc::Rc;

const SMALL_BODY_BYTES: usize = 16 * 1024; // up to which a body is read even if large ones take all memory

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
