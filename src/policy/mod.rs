//! Scheduling policy: lanes, placement, retries, and the estimates that these use.

pub mod account_shares;
pub mod ban_book;
pub mod caller_admission;
pub mod carrier_choice;
pub mod cold_pacing;
pub mod decision_schedule;
pub mod dispatch;
pub mod engine_model;
pub mod engine_pace;
pub mod estimate;
pub mod lane;
pub mod part_guard;
pub mod paused_targets;
pub mod permits;
pub mod placement;
pub mod rate_limits;
pub mod read_pacing;
pub mod request_guard;
pub mod retry;
pub mod retry_share;
pub mod return_promises;
pub mod run_claims;
pub mod slow_readers;
pub mod summary_tree;
pub mod target_choice;
pub mod target_paths;
