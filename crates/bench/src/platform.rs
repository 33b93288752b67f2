//! A simulated platform for tests of the gateway: its store, model endpoints and plain services, with fault
//! injection.
//!
//! The simulation speaks the platform's published protocols. It is kept simple: for example, engines send
//! events at a fixed interval.

pub mod caller;
pub mod endpoint;
pub mod raw;
pub mod restarts;
pub mod retries;
mod server;
pub mod site;
pub mod store;

pub use site::Site;
