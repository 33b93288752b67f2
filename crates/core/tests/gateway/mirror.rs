//! Tests of the copy of a table that relays serve.

use tarragonhill_core::gateway::mirror::{Batch, Row, Table};

use crate::position;

fn row(key: &str, version: u64) -> Row {
    Row { key: key.into(), value: "value".into(), version, is_removed: false }
}

fn removed(key: &str, version: u64) -> Row {
    Row { value: "".into(), is_removed: true, ..row(key, version) }
}

fn table() -> Table {
    let mut table = Table::default();
    table.apply(&Batch { rows: vec![row("a", 3), row("b", 5)], position: position(6), is_complete: true });
    table
}

#[test]
fn readers_get_changes_and_removals_after_their_version() {
    let mut table = table();
    table.apply(&Batch { rows: vec![removed("a", 8)], position: position(8), is_complete: false });
    table.apply(&Batch { rows: vec![row("c", 9)], position: position(9), is_complete: false });
    let changes = table.read(Some(position(7)));
    assert_eq!(
        changes,
        Batch { rows: vec![removed("a", 8), row("c", 9)], position: position(9), is_complete: false }
    );
    assert_eq!(table.read(None).rows, [row("b", 5), row("c", 9)]);
}

/// Guards against readers that keep a row whose removal the relay has not read.
#[test]
fn a_reader_older_than_the_known_removals_gets_the_whole_table() {
    let table = table();
    assert!(table.read(Some(position(5))).is_complete);
    assert!(!table.read(Some(position(6))).is_complete);
}

/// Guards against a reader whose version goes back when its relay is behind.
#[test]
fn a_reader_ahead_of_the_relay_keeps_its_version() {
    let table = table();
    assert!(!table.has_changes(position(10)));
    assert_eq!(
        table.read(Some(position(10))),
        Batch { rows: vec![], position: position(10), is_complete: false }
    );
}

/// Guards against a relay that answers for a store it has lost.
#[test]
fn a_relay_without_the_store_serves_nobody() {
    let mut table = table();
    assert!(table.is_available());
    table.mark_unavailable();
    assert!(!table.is_available());
    table.apply(&Batch { rows: vec![], position: position(7), is_complete: false });
    assert!(table.is_available());
    assert!(!Table::default().is_available());
}

/// Guards against a relay whose copy stays unavailable because its first read found an empty store.
#[test]
fn a_copy_of_an_empty_store_follows_its_first_changes() {
    let mut table = Table::default();
    table.apply(&Batch { rows: Vec::new(), position: position(0), is_complete: true });
    assert!(table.is_available());
    table.apply(&Batch { rows: vec![row("a", 1)], position: position(1), is_complete: false });
    assert!(table.has_changes(position(0)));
    assert_eq!(table.read(Some(position(0))).rows, [row("a", 1)]);
}
