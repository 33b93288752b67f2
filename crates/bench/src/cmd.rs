//! Subcommands of `tarragonhill-bench`, one module each.

pub mod abuse;
pub mod attack;
pub mod check;
pub mod demo;
pub mod gossip;
pub mod measure;
pub mod overhead;
pub mod restarts;
pub mod site;
pub mod slopes;
pub mod soak;
pub mod stand_in;
