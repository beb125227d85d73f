//! Real nodes before stand-ins of the users' platform, with failures between them.

#[path = "../support/mod.rs"]
mod support;

mod answers;
mod members;
mod records;
mod streams;
