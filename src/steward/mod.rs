//! The steward: folds the log into a view, detects failed peers, and grants capacity of the
//! pools and teams that it owns.

pub mod actor;
pub mod admin;
pub mod calls;
pub mod core;
mod describe;
pub mod failure_detector;
pub mod messages;
pub mod metrics;
pub mod orders;
mod rebuild;
pub mod recent;
pub mod writer;
