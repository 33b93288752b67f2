//! The tarragonhill daemon as a library: the `entry` and `gateway` roles, which run on entry hosts, and the
//! `agent` role, which runs next to endpoints. Benchmarks start several of them in one process.
//!
//! In each process, one control thread owns the state that decisions are based on. Connections, streams
//! and timers run on other threads and communicate with it through channels.
//!
//! ```no_run
//! use tarragonhill_core::Clock;
//! use tarragonhill_daemon::{agent::Agent, config::AgentSettings};
//!
//! # async fn example(settings: AgentSettings) -> Result<(), tarragonhill_daemon::StartError> {
//! let agent = Agent::start(settings, Clock::runtime()).await?;
//! println!("listening on {}", agent.address());
//! agent.shutdown().await;
//! # Ok(())
//! # }
//! ```

mod admin;
pub mod agent;
pub mod config;
pub mod entry;
mod error;
mod explain;
pub mod gateway;
pub mod logging;
mod settings;

pub use error::StartError;
