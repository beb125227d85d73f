//! Failures over real processes: kills, suspensions, outages, cut streams, concurrent changes.

mod callers;
mod failures;
mod fleet;
mod operators;
mod streams;
