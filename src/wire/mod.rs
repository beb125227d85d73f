//! Calls between the system's own processes: `bincode` messages over `h2` streams.

pub mod client;
pub mod codec;
pub mod hot;
mod liveness;
pub mod message;
pub mod server;

pub use client::PeerClient;
pub use message::{PeerCall, PeerReply};
