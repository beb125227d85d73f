//! Small stand-ins for the platform and the targets, and a load generator.

pub mod engine;
pub mod load;
pub mod platform;
pub mod service;
