//! Failures over real processes: kills, suspensions, outages, cut streams, concurrent changes.

mod broken_answers;
mod callers;
mod failures;
mod fleet;
mod operators;
mod streams;
#[path = "../support/mod.rs"]
mod support;
