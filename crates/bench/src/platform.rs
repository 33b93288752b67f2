//! Stand-ins that speak the protocols which the users' platform publishes: its store, its model
//! endpoints and its plain services, with switches for their failures.
//!
//! They stand in for the platform in tests of the whole path and in `tarragonhill-bench platform`.
//! They are kept as simple as the tests allow: an engine makes its events at even steps.

pub mod caller;
pub mod endpoint;
mod server;
pub mod site;
pub mod store;

pub use site::Site;
