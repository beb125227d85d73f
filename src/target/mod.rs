//! Client of targets: the only module that knows their outside formats.

pub mod control;
pub mod stream;
