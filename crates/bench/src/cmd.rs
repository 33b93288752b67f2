//! The subcommands, one module each.

pub mod demo;
pub mod measure;
pub mod overhead;
pub mod slopes;
