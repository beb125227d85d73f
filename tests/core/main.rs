//! Tests of the core modules: properties, model checks, and parsers of untrusted input.

// quickcheck passes owned values to properties.
#![allow(clippy::needless_pass_by_value)]

mod account_shares;
mod adapter;
mod assembler;
mod caller_limits;
mod catalog;
mod claims;
mod cold_pacing;
mod dispatch;
mod dispatch_decisions;
mod engine_paces;
mod engine_simulation;
mod fixtures;
mod fold;
mod freshness;
mod hubs;
mod ledger;
mod members;
mod model_claim;
mod model_ownership;
mod model_table;
mod orders;
mod packed_records;
mod part_guard;
mod paused_targets;
mod permits;
mod placement_owner;
mod queue;
mod queued_load;
mod ranks;
mod rate_limits;
mod read_pacing;
mod request_guard;
mod return_promises;
mod routes;
mod run_claims;
mod slow_readers;
mod steward;
mod store_eras;
mod target_paths;
mod untrusted_input;
mod waiting_prompts;
