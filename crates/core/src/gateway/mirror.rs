//! Copy of a table of the store, from which relays serve the other replicas of their zone.
//!
//! The store answers a read with all rows, or with those that changed after a version. So does the
//! copy; it never answers from data older than what the reader has.

use std::{collections::BTreeMap, sync::Arc};

use super::position::Position;

/// A row, or the removal of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within the table.
    pub key: Arc<str>,
    /// Value as encoded by the store; empty if the row was removed.
    pub value: Arc<str>,
    /// Version, in the era of the batch or table, of the transaction that wrote or removed the row.
    pub version: u64,
    /// Whether the row was removed.
    pub is_removed: bool,
}

impl Row {
    fn is_after(&self, position: Position) -> bool {
        Position::new(position.era(), self.version) > position
    }
}

/// Rows read from the store or from a copy of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The rows.
    pub rows: Vec<Row>,
    /// Position of the store as of which they were read.
    pub position: Position,
    /// Whether they are the whole table.
    pub is_complete: bool,
}

/// The copy of a table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Includes removed rows whose removal was read.
    rows: BTreeMap<Arc<str>, Row>,
    /// Position of the newest batch, in whose era all rows are; `None` before the first complete one. An empty store is at
    /// version 0.
    position: Option<Position>,
    /// Position from which all removals are in `rows`.
    complete_since: Position,
    is_available: bool,
}

impl Table {
    /// Applies rows that were read from the store.
    pub fn apply(&mut self, batch: &Batch) {
        let is_older_era = self.position.is_some_and(|own| own.is_later_era_than(batch.position));
        let continues = self.position.is_some_and(|own| batch.position.continues(own));
        if is_older_era || !(batch.is_complete || continues) {
            return;
        }
        if batch.is_complete {
            self.rows.clear();
            self.complete_since = batch.position;
        }
        self.is_available = true;
        self.position = self.position.max(Some(batch.position));
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
        self.is_available && self.position.is_some()
    }

    /// Returns the era of the copy; zero if the store names none.
    pub fn era(&self) -> u64 {
        self.position.unwrap_or_default().era()
    }

    /// Returns whether the copy is of an older era than a reader's.
    pub fn is_behind_era_of(&self, reader: Position) -> bool {
        self.position.is_some_and(|own| reader.is_later_era_than(own))
    }

    /// Returns whether there is anything newer than `after`.
    pub fn has_changes(&self, after: Position) -> bool {
        self.position > Some(after)
    }

    /// Returns the rows that changed after a position, or all rows if the removals since then are
    /// unknown or `after` is `None` or in another era.
    pub fn read(&self, after: Option<Position>) -> Batch {
        let position = self.position.unwrap_or_default();
        let known = after.filter(|after| after.continues(position) && *after >= self.complete_since);
        match known {
            Some(after) => Batch {
                rows: self.rows.values().filter(|row| row.is_after(after)).cloned().collect(),
                position: position.max(after),
                is_complete: false,
            },
            None => Batch {
                rows: self.rows.values().filter(|row| !row.is_removed).cloned().collect(),
                position,
                is_complete: true,
            },
        }
    }
}
