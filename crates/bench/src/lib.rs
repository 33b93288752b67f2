//! Stand-ins of what the router serves and stands on, callers, load and experiments.
//!
//! Everything runs as tasks of one process over loopback TCP: the daemons' own code, and small
//! stand-ins that speak the protocols of `docs/protocol-*.md`. Nothing starts a child process.
//!
//! ```no_run
//! use tarragonhill_bench::fleet::{Fleet, Shape};
//!
//! # async fn example() -> Result<(), tarragonhill_bench::fleet::FleetError> {
//! let fleet = Fleet::start(Shape::small()).await?;
//! println!("callers go to {}", fleet.entry(0).address());
//! # Ok(())
//! # }
//! ```

pub mod caller;
pub mod check;
pub mod cmd;
pub mod fleet;
pub mod platform;
pub mod score;
pub mod sim;
pub mod usage;
pub mod workload;
