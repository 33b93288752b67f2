//! Decisions for requests that are passed on as they come: which route and customer they belong
//! to, whether the customer may spend, where they run, and when they run again.
//!
//! All entries decide alike from the same inputs: the operator's [`catalog`], the [`directory`] of
//! endpoints, and the [`digest`]s that entries send each other. None of them waits for another.

pub mod allowance;
pub mod budget;
pub mod catalog;
pub mod completion;
pub mod digest;
pub mod directory;
pub mod forecast;
pub mod growth;
pub mod health;
pub mod knowledge;
pub mod lease;
pub mod load;
pub mod placement;
pub mod pools;
pub mod queue;
pub mod staleness;
pub mod state;
pub mod suspect;
