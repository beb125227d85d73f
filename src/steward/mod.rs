//! The steward: folds the log, watches peers, and owns ledgers.

pub mod actor;
pub mod admin;
pub mod core;
pub mod metrics;
pub mod peers;
pub mod writer;
