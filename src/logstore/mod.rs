//! Clients of the product's own log service and list of VMs.

pub mod log;
pub mod vms;
