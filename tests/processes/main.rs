//! Failures over real processes: kills, freezes, outages, cuts, operator races.

mod callers;
mod failures;
mod fleet;
mod operators;
mod streams;
