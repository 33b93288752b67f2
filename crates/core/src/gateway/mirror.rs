//! Copy of a table of the store, from which relays serve the other replicas of their zone.
//!
//! The store answers a read with all rows, or with those that changed after a version. So does the
//! copy; it never answers from data older than what the reader has.

use std::{collections::BTreeMap, sync::Arc};

/// A row, or the removal of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within the table.
    pub key: Arc<str>,
    /// Value as encoded by the store; empty if the row was removed.
    pub value: Arc<str>,
    /// Version of the transaction that wrote or removed the row.
    pub version: u64,
    /// Whether the row was removed.
    pub is_removed: bool,
}

/// Rows read from the store or from a copy of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The rows.
    pub rows: Vec<Row>,
    /// Version of the store as of which they were read.
    pub version: u64,
    /// Whether they are the whole table.
    pub is_complete: bool,
}

/// The copy of a table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Includes removed rows whose removal was read.
    rows: BTreeMap<Arc<str>, Row>,
    /// Version of the newest batch; `None` before the first complete one. An empty store has version 0.
    version: Option<u64>,
    /// Version from which all removals are in `rows`.
    complete_since: u64,
    is_available: bool,
}

impl Table {
    /// Applies rows that were read from the store.
    pub fn apply(&mut self, batch: &Batch) {
        if batch.is_complete {
            self.rows.clear();
            self.complete_since = batch.version;
        } else if self.version.is_none() {
            return;
        }
        self.is_available = true;
        self.version = self.version.max(Some(batch.version));
        for row in &batch.rows {
            self.rows.insert(row.key.clone(), row.clone());
        }
    }

    /// Records that the store cannot be read, so that readers turn to it themselves.
    pub fn mark_unavailable(&mut self) {
        self.is_available = false;
    }

    /// Returns whether readers may be answered from the copy.
    pub fn is_available(&self) -> bool {
        self.is_available && self.version.is_some()
    }

    /// Returns whether there is anything newer than `after`.
    pub fn has_changes(&self, after: u64) -> bool {
        self.version > Some(after)
    }

    /// Returns the rows that changed after a version, or all rows if the removals since then are
    /// unknown or `after` is `None`.
    pub fn read(&self, after: Option<u64>) -> Batch {
        let version = self.version.unwrap_or(0);
        match after.filter(|after| *after >= self.complete_since) {
            Some(after) => Batch {
                rows: self.rows.values().filter(|row| row.version > after).cloned().collect(),
                version: version.max(after),
                is_complete: false,
            },
            None => Batch {
                rows: self.rows.values().filter(|row| !row.is_removed).cloned().collect(),
                version,
                is_complete: true,
            },
        }
    }
}
