//! The transactional table service as the router needs it.

use std::{fmt, future::Future, pin::Pin};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One stored row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Table key.
    pub key: String,
    /// Goes up with every change of any row; compare against it. Zero stands for "no such row".
    pub version: u64,
    /// The value; null if the row was deleted.
    pub value: Option<Value>,
}

/// Rows listed, and where the listing stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// Rows changed after the version asked for, deleted ones included.
    pub rows: Vec<Row>,
    /// Newest version the listing covers; ask for changes after it next time.
    pub version: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Table key.
    pub key: String,
    /// Version that must stand there, zero for none; `None` writes whatever stands there.
    pub expected: Option<u64>,
    /// The new value; null deletes.
    pub value: Option<Value>,
}

/// Writes that take effect all together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The writes.
    pub writes: Vec<Write>,
}

/// Why a call of the table failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// Another version stands where one was expected; nothing was written.
    Conflict(String),
    /// Nothing was written, or nothing could be read: the service is down, limits the rate or
    /// could not be reached.
    Unavailable(String),
    /// The answer was lost; a write may have taken effect, now or later.
    Unknown(String),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(key) => write!(f, "another version of row {key:?} stands there"),
            Self::Unavailable(why) => write!(f, "table unavailable: {why}"),
            Self::Unknown(why) => write!(f, "table's answer was lost: {why}"),
        }
    }
}

impl std::error::Error for TableError {}

/// A future that a trait object can return.
pub type TableFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, TableError>> + Send + 'a>>;

/// The table service. Implementations never repeat a write on their own.
pub trait Table: Send + Sync {
    /// Reads one row; `None` if there is none.
    fn get<'a>(&'a self, key: &'a str) -> TableFuture<'a, Option<Row>>;

    /// Lists rows whose key starts with `prefix` and that changed after version `after`.
    fn list<'a>(&'a self, prefix: &'a str, after: u64) -> TableFuture<'a, Rows>;

    /// Writes; returns the version of the transaction.
    fn commit<'a>(&'a self, transaction: &'a Transaction) -> TableFuture<'a, u64>;
}
