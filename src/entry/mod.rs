//! The entry: serves callers over HTTP, admits their requests and relays answers from targets.
//!
//! A team's ceiling limits the tokens that its requests may have reserved at a time. A request that
//! needs more memory than one target has is served by a gang of targets; the first of them, the
//! leader, generates the answer. A plain service is a target without a model, to which calls are
//! forwarded as they are.

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
