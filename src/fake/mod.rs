//! Fake platform and targets for tests and experiments, and a load generator.

pub mod caller_bytes;
pub mod engine;
pub mod load;
pub mod platform;
pub mod service;
