//! `notch-node`: the process on each VM that routes callers' requests to targets, answers
//! directory look-ups and coordinates with the nodes of other VMs.

pub mod attempt;
pub mod body_budget;
pub mod caller_stream;
pub mod carrying;
pub mod connection_budget;
pub mod crash_bans;
pub mod engine_paces;
pub mod feeds;
pub mod generation;
pub mod lifecycle;
pub mod listeners;
pub mod messages;
pub mod metrics;
pub mod packed_records;
pub mod paths;
pub mod peer_calls;
pub mod peers;
pub mod placement;
pub mod rate_limits;
pub mod read_ahead;
pub mod relay;
pub mod request_framing;
pub mod request_handler;
pub mod reservations;
pub mod return_promises;
pub mod run_claims;
pub mod service;
pub mod state;
pub mod stopping;
