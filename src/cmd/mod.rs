//! One module for each command.

pub mod ctl;
pub mod entry;
pub mod fake_decisions;
pub mod fake_fuzz;
pub mod fake_load;
pub mod fake_platform;
pub mod fake_target;
pub mod node;
pub mod steward;
