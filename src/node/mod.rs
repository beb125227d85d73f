//! `notch-node`: one process a VM that serves callers, the directory and its peers.

pub mod attempt;
pub mod connection;
pub mod feeds;
pub mod generation;
pub mod lifecycle;
pub mod listeners;
pub mod messages;
pub mod metrics;
pub mod peers;
pub mod placement;
pub mod relay;
pub mod request_handler;
pub mod service;
pub mod state;
