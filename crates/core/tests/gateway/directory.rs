//! Tests of the endpoint directory under outages and stale reads of the store.

use std::sync::Arc;

use tarragonhill_core::gateway::directory::{Change, Directory, Endpoint, Row, Stage};

use crate::{at, endpoint, position, removed_row, row};

fn draining(id: &str) -> Endpoint {
    Endpoint { is_draining: true, ..endpoint(id, Stage::Whole) }
}

/// Returns the IDs of the endpoints that get new requests.
fn serving_ids(directory: &Directory) -> Vec<Arc<str>> {
    directory.serving("drafting").map(|endpoint| endpoint.id.clone()).collect()
}

#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    let mut directory = Directory::default();
    directory.update(at(0), position(1), vec![row(1, endpoint("e-1", Stage::Whole))]);
    assert_eq!(serving_ids(&directory), ["e-1".into()]);
    let changes = directory.update(at(1), position(2), vec![row(2, draining("e-1"))]);
    assert!(matches!(changes[..], [Change::Draining(_)]), "{changes:?}");
    assert!(serving_ids(&directory).is_empty());
}

/// Guards against a stale read of the store that restores a removed endpoint.
#[test]
fn an_older_list_does_not_restore_endpoints() {
    let mut directory = Directory::default();
    directory.update(at(0), position(5), vec![row(5, endpoint("e-1", Stage::Whole))]);
    directory.update(at(1), position(9), vec![removed_row(9, "e-1"), row(8, endpoint("e-2", Stage::Whole))]);
    directory.replace(at(2), position(6), vec![row(5, endpoint("e-1", Stage::Whole))]);
    assert_eq!(serving_ids(&directory), ["e-2".into()]);
}

#[test]
fn endpoints_missing_from_a_current_list_are_removed() {
    let mut directory = Directory::default();
    directory.update(
        at(0),
        position(5),
        vec![row(4, endpoint("e-1", Stage::Whole)), row(5, endpoint("e-2", Stage::Whole))],
    );
    let changes = directory.replace(at(1), position(7), vec![row(5, endpoint("e-2", Stage::Whole))]);
    assert!(matches!(&changes[..], [Change::Removed(endpoint)] if &*endpoint.id == "e-1"), "{changes:?}");
    assert_eq!(serving_ids(&directory), ["e-2".into()]);
}

/// Guards against a delayed write that makes a draining endpoint available again.
#[test]
fn a_late_write_does_not_undo_draining() {
    let mut directory = Directory::default();
    let written = |version, sequence, endpoint| Row { sequence, ..row(version, endpoint) };
    directory.update(at(0), position(1), vec![written(1, 4, endpoint("e-1", Stage::Whole))]);
    directory.update(at(1), position(2), vec![written(2, 6, draining("e-1"))]);
    directory.update(at(2), position(3), vec![written(3, 5, endpoint("e-1", Stage::Whole))]);
    assert!(serving_ids(&directory).is_empty());
}

/// Guards against losing all endpoints when their rows lapse during a store outage.
#[test]
fn rows_that_lapse_in_a_store_outage_are_kept_for_a_grace_period() {
    let mut directory = Directory::default();
    directory.update(
        at(0),
        position(1),
        vec![row(1, endpoint("e-1", Stage::Whole)), row(1, endpoint("e-2", Stage::Whole))],
    );
    directory.record_store_recovered(at(6_000), at(5_600));
    let changes =
        directory.update(at(6_000), position(5), vec![removed_row(4, "e-1"), removed_row(5, "e-2")]);
    assert!(matches!(changes[..], [Change::Lapsed(_), Change::Lapsed(_)]), "{changes:?}");
    assert_eq!(serving_ids(&directory).len(), 2);

    directory.update(at(7_500), position(6), vec![row(6, endpoint("e-1", Stage::Whole))]);
    let changes = directory.expire_lapsed(at(9_000));
    assert!(matches!(&changes[..], [Change::Removed(endpoint)] if &*endpoint.id == "e-2"), "{changes:?}");
    assert_eq!(serving_ids(&directory), ["e-1".into()]);
}

#[test]
fn a_row_removed_while_the_store_is_reachable_is_removed_at_once() {
    let mut directory = Directory::default();
    directory.update(at(0), position(1), vec![row(1, endpoint("e-1", Stage::Whole))]);
    let changes = directory.update(at(9_000), position(2), vec![removed_row(2, "e-1")]);
    assert!(matches!(changes[..], [Change::Removed(_)]), "{changes:?}");
    assert!(serving_ids(&directory).is_empty());
}

#[test]
fn a_restart_under_the_same_name_is_reported() {
    let mut directory = Directory::default();
    directory.update(at(0), position(1), vec![row(1, endpoint("e-1", Stage::Decode))]);
    let restarted = Endpoint { started_ms: 2, ..endpoint("e-1", Stage::Decode) };
    let changes = directory.update(at(1), position(2), vec![Row { sequence: 0, ..row(2, restarted) }]);
    assert!(matches!(changes[..], [Change::Restarted(_)]), "{changes:?}");
}

/// Guards against sending requests to an endpoint whose address a restarted process has taken.
#[test]
fn a_newer_endpoint_at_the_same_address_replaces_the_older() {
    let mut directory = Directory::default();
    directory.update(at(0), position(1), vec![row(1, endpoint("old", Stage::Decode))]);
    let newer = Endpoint { started_ms: 2, ..endpoint("new", Stage::Decode) };
    let changes = directory.update(at(1), position(2), vec![row(2, newer)]);
    assert!(
        changes.iter().any(|change| matches!(change, Change::Removed(endpoint) if &*endpoint.id == "old")),
        "{changes:?}"
    );
    assert_eq!(serving_ids(&directory), ["new".into()]);
    // A late write of the replaced endpoint is ignored.
    directory.update(at(2), position(3), vec![row(3, endpoint("old", Stage::Decode))]);
    assert_eq!(serving_ids(&directory), ["new".into()]);
}

/// Until the store accepts the endpoint's report, its rows still say that it is ready.
#[test]
fn a_ready_row_does_not_undo_what_a_leaving_endpoint_said() {
    let mut directory = Directory::default();
    directory.update(at(0), position(1), vec![row(1, endpoint("e-1", Stage::Whole))]);
    assert!(matches!(directory.mark_leaving("e-1", 1), Some(Change::Draining(_))));
    assert!(directory.mark_leaving("e-1", 1).is_none());
    directory.update(at(1), position(2), vec![row(2, endpoint("e-1", Stage::Whole))]);
    directory.replace(at(2), position(3), vec![row(3, endpoint("e-1", Stage::Whole))]);
    assert!(serving_ids(&directory).is_empty());
    // The row returns after it has lapsed.
    directory.update(at(3), position(4), vec![removed_row(4, "e-1")]);
    directory.update(at(4), position(5), vec![row(5, endpoint("e-1", Stage::Whole))]);
    assert!(serving_ids(&directory).is_empty());
}

#[test]
fn a_new_incarnation_of_a_leaving_endpoint_gets_requests() {
    let mut directory = Directory::default();
    directory.update(at(0), position(1), vec![row(1, endpoint("e-1", Stage::Whole))]);
    directory.mark_leaving("e-1", 1);
    let restarted = Endpoint { started_ms: 2, ..endpoint("e-1", Stage::Whole) };
    directory.update(at(1), position(2), vec![row(2, restarted)]);
    assert_eq!(serving_ids(&directory), ["e-1".into()]);
    // A late response of the previous incarnation.
    assert!(directory.mark_leaving("e-1", 1).is_none());
    assert_eq!(serving_ids(&directory), ["e-1".into()]);
}

/// A row may be unreadable or lapsed while a response says that the endpoint is leaving.
#[test]
fn a_leaving_endpoint_whose_row_is_away_gets_no_requests_when_it_returns() {
    let mut directory = Directory::default();
    directory.update(at(0), position(1), vec![row(1, endpoint("e-1", Stage::Whole))]);
    directory.update(at(1), position(2), vec![removed_row(2, "e-1")]);
    directory.mark_leaving("e-1", 1);
    directory.update(at(2), position(3), vec![row(3, endpoint("e-1", Stage::Whole))]);
    assert!(serving_ids(&directory).is_empty());
}

/// Otherwise its load and forecasts are kept for good.
#[test]
fn a_lapsed_endpoint_that_leaves_is_reported_as_removed() {
    let mut directory = Directory::default();
    directory.update(at(0), position(1), vec![row(1, endpoint("e-1", Stage::Whole))]);
    directory.record_store_recovered(at(10), at(10));
    let changes = directory.update(at(11), position(2), vec![removed_row(2, "e-1")]);
    assert!(matches!(changes[..], [Change::Lapsed(_)]), "{changes:?}");
    directory.mark_leaving("e-1", 1);
    let changes = directory.update(at(12), position(3), vec![removed_row(3, "e-1")]);
    assert!(matches!(changes[..], [Change::Removed(_)]), "{changes:?}");
}
