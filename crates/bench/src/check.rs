//! History checking: concurrent runs with random faults, and one checker for each promise.
//!
//! A run records what callers sent and got, what engines and services really did, and what
//! operators changed. The checkers look at nothing else.

pub mod history;
pub mod promise;
pub mod run;
pub mod scenario;
