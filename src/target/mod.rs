//! Client of targets: the only module that knows their wire formats.

pub mod control;
pub mod stream;
