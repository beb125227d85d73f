//! HTTP/1.1 client that takes a response only if its head is sound and its body complete.

pub mod client;
pub mod connection;
