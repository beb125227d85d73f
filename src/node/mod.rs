//! `notch-node`: one process a VM that serves callers, the directory and its peers.

pub mod agent;
pub mod attempt;
pub mod connection;
pub mod doors;
pub mod feeds;
pub mod front;
pub mod generation;
pub mod messages;
pub mod metrics;
pub mod peers;
pub mod placing;
pub mod relay;
pub mod service;
pub mod state;
