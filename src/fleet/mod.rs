//! What a VM knows of the fleet: settings, routes, targets, members. No IO.

pub mod catalog;
pub mod members;
pub mod routes;
pub mod settings;
