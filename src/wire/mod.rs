//! Remote calls between the processes of a fleet: `bincode` messages over HTTP/2 streams.

pub mod client;
pub mod codec;
pub mod hot;
mod liveness;
pub mod message;
pub mod server;

pub use client::PeerClient;
pub use message::{PeerCall, PeerReply};
