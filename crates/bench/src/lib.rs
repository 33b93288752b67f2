//! Benchmarks, load generators and fault checks of the router, and the simulated back ends they use.
//!
//! Nearly everything runs as tasks of one process over loopback TCP: the daemons' own code, and simulated
//! engines and services that speak the protocols of `docs/protocol-*.md`. Only [`soak`] and [`abuse`] start child processes.
//!
//! ```no_run
//! use tarragonhill_bench::fleet::{Fleet, Shape};
//!
//! # async fn example() -> Result<(), tarragonhill_bench::fleet::FleetError> {
//! let fleet = Fleet::start(Shape::small()).await?;
//! println!("send requests to {}", fleet.entry(0).address());
//! # Ok(())
//! # }
//! ```

pub mod abuse;
pub mod caller;
pub mod check;
pub mod cmd;
pub mod fleet;
pub mod gossip;
pub mod platform;
pub mod score;
pub mod sim;
pub mod soak;
pub mod usage;
pub mod workload;
