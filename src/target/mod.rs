//! Client of targets: their control calls, and the format of their streams.

pub mod control;
pub mod stream;
