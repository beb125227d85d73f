//! Serving layer for prompts of a thousand to a million tokens.
//!
//! Stewards and entries fold the same records of the platform's log into the same
//! [`view::View`] and start new work only while that view is fresh. The core
//! modules ([`view`], [`ledger`], [`claim`], [`policy`]) perform no I/O
//! and take the current time as an argument.

pub mod chart;
pub mod claim;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod entry;
pub mod error;
pub mod fake;
pub mod fleet;
pub mod hex;
pub mod http_client;
pub mod ids;
pub mod ledger;
pub mod logging;
pub mod logstore;
pub mod node;
pub mod platform;
pub mod policy;
pub mod steward;
pub mod target;
pub mod view;
pub mod wire;
