//! The state that every process derives from the platform's log by folding its records.

pub mod checkpoint;
pub mod fold;
pub mod freshness;
pub mod in_force;
pub mod membership;
pub mod ownership;
pub mod record;
pub mod sheet;
pub mod signature;
pub mod table;

pub use fold::{FoldOutcome, View};
