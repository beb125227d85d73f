//! The entry: serves callers over HTTP, admits their requests and relays answers from targets.

pub mod assembler;
pub mod chat;
pub mod claims;
pub mod decisions;
pub mod error;
pub mod follower;
pub mod grants;
pub mod handlers;
pub mod held;
pub mod metrics;
pub mod relay;
pub mod route;
pub mod server;
pub mod services;
pub mod shared;
