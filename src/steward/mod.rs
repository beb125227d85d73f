//! The steward: folds the log into a view, detects failed peers, and grants capacity of the
//! pools and teams that it owns.

pub mod actor;
pub mod admin;
pub mod calls;
pub mod core;
mod describe;
pub mod messages;
pub mod metrics;
pub mod orders;
pub mod peers;
mod rebuild;
pub mod recent;
pub mod writer;
