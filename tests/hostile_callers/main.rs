//! A node or entry process whose callers ignore the limits stays alive and within the memory and the descriptors
//! of its settings, and answers an ordinary request afterwards.
//!
//! The tests run one after the other. The settings' limits are lowered so that a small crowd reaches them.

#[path = "../support/mod.rs"]
mod support;

#[allow(
    dead_code,
    reason = "the tests of hostile callers use only some of the items"
)]
#[path = "../processes/fleet.rs"]
mod fleet;

mod bodies;
mod crowd;
mod entries;
mod fuzz;
mod heads;
mod peers;
mod pipelines;
