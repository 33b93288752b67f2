//! Decisions of the router: who may run, where, when, and at whose expense.
//!
//! Nothing here does I/O, spawns tasks, reads a clock or touches a global. Every decision takes
//! `now` and a typed event and returns typed actions, so the same code runs in the daemon, under
//! quickcheck and in the bench.
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
