//! Adapter to the users' platform: the only module that uses its names.
//!
//! Each submodule decodes one kind of message into the types of [`crate::fleet`], or encodes
//! one from them. `docs/design/platform.md` lists every wire name.

pub mod callers;
pub mod directory;
pub mod orders;
pub mod records;
pub mod settings;
pub mod store;
