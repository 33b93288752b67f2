//! Invariant checks on runs with concurrent requests and random faults.
//!
//! A run records the requests and answers of callers, the work executed by engines and services,
//! and the changes made by operators. Each invariant has a checker that reads only this history.

pub mod history;
pub mod invariant;
pub mod run;
pub mod scenario;
