//! The subcommands, one module each.

pub mod demo;
pub mod overhead;
pub mod slopes;
