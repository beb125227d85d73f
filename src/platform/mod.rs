//! Clients of the platform's services.

pub mod log;
pub mod vms;
