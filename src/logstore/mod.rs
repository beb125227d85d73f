//! HTTP clients of the platform's log and its list of VMs.

pub mod log;
pub mod vms;
