//! What the platform gives: a transactional table and a lagging list of hosts, over HTTP.
//!
//! [`Table`] is an edge: a client for another protocol fits behind the same trait. The protocol
//! assumed here is written down in `docs/protocol-platform.md`.

mod hosts;
mod http;
mod table;

pub use hosts::{Host, HostState, Hosts, HttpHosts};
pub use http::HttpTable;
pub use table::{Row, Rows, Table, TableError, Transaction, Write};
