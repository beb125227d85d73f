//! Properties of the core, its model, and the doors through which input comes.

// Properties take owned values, as quickcheck hands them over.
#![allow(clippy::needless_pass_by_value)]

mod adapter;
mod assembler;
mod catalog;
mod claims;
mod dispatch;
mod engine_simulation;
mod fixtures;
mod fold;
mod freshness;
mod ledger;
mod members;
mod model_claim;
mod model_ownership;
mod model_table;
mod orders;
mod queue;
mod routes;
mod steward;
mod untrusted_input;
