//! Clients of the platform's services: the transactional table and the list of hosts, over HTTP.
//!
//! Other protocols can be supported by implementing [`Table`] and [`Hosts`]. The HTTP protocol is described
//! in `docs/protocol-platform.md`.

mod hosts;
mod http;
mod table;

pub use hosts::{Host, HostState, Hosts, HttpHosts};
pub use http::HttpTable;
pub use table::{Row, Rows, Table, TableError, Transaction, Write};
