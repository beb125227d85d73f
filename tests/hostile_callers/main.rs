//! A node process whose callers ignore the limits stays alive and within the memory and the descriptors
//! of its settings, and answers an ordinary request afterwards.
//!
//! The tests run one after the other. The settings' limits are lowered so that a small crowd reaches them.

#[path = "../support/mod.rs"]
mod support;

mod bodies;
mod crowd;
mod heads;
mod peers;
mod pipelines;
