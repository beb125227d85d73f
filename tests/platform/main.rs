//! Node processes against stand-ins for the users' platform, with faults injected between them.

#[path = "../support/mod.rs"]
mod support;

mod answers;
mod broken_answers;
mod caller_limits;
mod changes;
mod cold_targets;
mod crashing_parts;
mod crashing_requests;
mod endless;
mod engine_paces;
mod lost_paths;
mod members;
mod memory;
mod ranks;
mod rate_limits;
mod records;
mod return_promises;
mod silent_targets;
mod slow_readers;
mod stops;
mod store_copies;
mod streams;
