//! The tarragonhill daemon as a library: the `entry` role on entry hosts and the `agent` role
//! beside endpoints. The binary only reads settings and waits for signals; the bench starts many
//! of both in one process.
//!
//! Each process keeps its decisions on one control thread; connections, streams and timers live on
//! the traffic threads and talk to it over channels.
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
pub mod gateway;
pub mod logging;
mod settings;

pub use error::StartError;
