//! Interface of the transactional table service.

use std::{fmt, future::Future, pin::Pin};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A stored row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Table version at the row's last change. Each change of any row increases the table version. Zero means
    /// that the row does not exist.
    pub version: u64,
    /// Value; null if the row was deleted.
    pub value: Option<Value>,
}

/// Result of [`Table::list`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// Rows changed after the requested version, including deleted ones.
    pub rows: Vec<Row>,
    /// Newest table version that the listing covers; the next listing can start after it.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have, zero if it must not exist. `None` writes unconditionally.
    pub expected: Option<u64>,
    /// New value; null deletes the row.
    pub value: Option<Value>,
}

/// Writes that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The writes.
    pub writes: Vec<Write>,
}

/// Failure of a table operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// The row with this key does not have the expected version; nothing was written.
    Conflict(String),
    /// The operation was not executed: the service is down, unreachable or limits the rate.
    Unavailable(String),
    /// The outcome is unknown: a write may have taken effect, or may still take effect.
    Unknown(String),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(key) => write!(f, "row {key:?} has a different version than expected"),
            Self::Unavailable(reason) => write!(f, "table unavailable: {reason}"),
            Self::Unknown(reason) => write!(f, "table's answer was lost: {reason}"),
        }
    }
}

impl std::error::Error for TableError {}

/// Future returned by [`Table`].
pub type TableFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, TableError>> + Send + 'a>>;

/// The table service. Implementations must not retry writes.
pub trait Table: Send + Sync {
    /// Reads a row; returns `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> TableFuture<'a, Option<Row>>;

    /// Lists the rows whose keys start with `prefix` and that have changed after version `after`.
    fn list<'a>(&'a self, prefix: &'a str, after: u64) -> TableFuture<'a, Rows>;

    /// Commits a transaction; returns the resulting table version.
    fn commit<'a>(&'a self, transaction: &'a Transaction) -> TableFuture<'a, u64>;
}
