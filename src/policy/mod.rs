//! Decisions: lanes, estimates and placement.

pub mod estimate;
pub mod lane;
pub mod placement;
pub mod retry;
