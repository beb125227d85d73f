//! Failures over real processes: kills, freezes, outages, cuts, operator races.

mod failures;
mod fleet;
mod operators;
mod streams;
