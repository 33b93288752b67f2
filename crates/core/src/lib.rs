//! Routing logic: admission, quotas, placement, scheduling and retries.
//!
//! The state machines in this crate do no I/O, spawn no tasks, read no clock and use no global
//! state. They take the current time and an input and return actions, so the same code runs in the
//! daemon, in property tests and in benchmarks.
//!
//! ```
//! use std::time::Duration;
//! use tarragonhill_core::{clock::Time, quota::Bucket};
//!
//! let mut bucket = Bucket::full(100, 500, Time::ZERO);
//! assert_eq!(bucket.take(Time::ZERO, 600), None);
//! assert_eq!(bucket.take(Time::ZERO, 500), Some(500));
//! assert_eq!(bucket.take(Time::ZERO.plus(Duration::from_secs(1)), 100), Some(100));
//! ```

pub mod agent;
pub mod clock;
pub mod freshness;
pub mod gateway;
pub mod home;
pub mod id;
pub mod idempotency;
pub mod memory;
pub mod message;
pub mod placement;
pub mod plan;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod refusal;
pub mod retry;
pub mod settings;

pub use clock::{Clock, Time};
pub use id::{Attempt, Request};
pub use refusal::{Code, Refusal};
