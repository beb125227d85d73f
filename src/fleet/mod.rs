//! A VM's view of the fleet: settings, routes, targets and members. Does no I/O.

pub mod catalog;
pub mod feed;
pub mod members;
pub mod routes;
pub mod settings;
pub mod store_outage;
