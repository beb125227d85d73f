//! Node processes against stand-ins for the users' platform, with faults injected between them.

#[path = "../support/mod.rs"]
mod support;

mod answers;
mod caller_limits;
mod changes;
mod cold_targets;
mod crashing_parts;
mod crashing_requests;
mod endless;
mod lost_paths;
mod members;
mod memory;
mod rate_limits;
mod records;
mod silent_targets;
mod stops;
mod store_copies;
mod streams;
