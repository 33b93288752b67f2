//! Which endpoints are used, whatever the store says in which order.

use std::sync::Arc;

use tarragonhill_core::gateway::directory::{Change, Directory, Endpoint, Row, Stage};

use crate::{at, endpoint, gone, row};

fn leaving(id: &str) -> Endpoint {
    Endpoint { is_draining: true, ..endpoint(id, Stage::Whole) }
}

fn names(directory: &Directory) -> Vec<Arc<str>> {
    directory.serving("drafting").map(|endpoint| endpoint.id.clone()).collect()
}

#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    let mut directory = Directory::default();
    directory.update(at(0), 1, vec![row(1, endpoint("e-1", Stage::Whole))]);
    assert_eq!(names(&directory), ["e-1".into()]);
    let changes = directory.update(at(1), 2, vec![row(2, leaving("e-1"))]);
    assert!(matches!(changes[..], [Change::Draining(_)]), "{changes:?}");
    assert!(names(&directory).is_empty());
}

/// A request goes to an endpoint that left a while ago. The store forgot its history and then, for
/// some seconds, answered reads with an older state; the process read the whole list anew and took
/// the old entry for a new one.
#[test]
fn an_older_list_undoes_nothing() {
    let mut directory = Directory::default();
    directory.update(at(0), 5, vec![row(5, endpoint("e-1", Stage::Whole))]);
    directory.update(at(1), 9, vec![gone(9, "e-1"), row(8, endpoint("e-2", Stage::Whole))]);
    directory.replace(at(2), 6, vec![row(5, endpoint("e-1", Stage::Whole))]);
    assert_eq!(names(&directory), ["e-2".into()]);
}

#[test]
fn what_a_current_list_lacks_is_gone() {
    let mut directory = Directory::default();
    directory.update(
        at(0),
        5,
        vec![row(4, endpoint("e-1", Stage::Whole)), row(5, endpoint("e-2", Stage::Whole))],
    );
    let changes = directory.replace(at(1), 7, vec![row(5, endpoint("e-2", Stage::Whole))]);
    assert!(matches!(&changes[..], [Change::Removed(gone)] if &*gone.id == "e-1"), "{changes:?}");
    assert_eq!(names(&directory), ["e-2".into()]);
}

/// An endpoint says that it leaves; a write it had made before, whose answer was lost, is carried
/// out by the store some seconds later and says that it is ready. Callers would be sent to a process
/// that is about to exit.
#[test]
fn a_late_write_does_not_bring_an_endpoint_back() {
    let mut directory = Directory::default();
    let said = |version, sequence, endpoint| Row { sequence, ..row(version, endpoint) };
    directory.update(at(0), 1, vec![said(1, 4, endpoint("e-1", Stage::Whole))]);
    directory.update(at(1), 2, vec![said(2, 6, leaving("e-1"))]);
    directory.update(at(2), 3, vec![said(3, 5, endpoint("e-1", Stage::Whole))]);
    assert!(names(&directory).is_empty());
}

/// The store is away for six seconds and drops the entries of endpoints that could not renew them.
/// On its return every endpoint seems gone for two seconds, and every request would be refused.
#[test]
fn an_entry_that_lapsed_while_the_store_was_away_is_used_until_it_is_back() {
    let mut directory = Directory::default();
    directory.update(
        at(0),
        1,
        vec![row(1, endpoint("e-1", Stage::Whole)), row(1, endpoint("e-2", Stage::Whole))],
    );
    directory.mark_store_unreachable();
    directory.mark_store_reachable(at(6_000));
    let changes = directory.update(at(6_000), 5, vec![gone(4, "e-1"), gone(5, "e-2")]);
    assert!(matches!(changes[..], [Change::Lapsed(_), Change::Lapsed(_)]), "{changes:?}");
    assert_eq!(names(&directory).len(), 2);

    directory.update(at(7_500), 6, vec![row(6, endpoint("e-1", Stage::Whole))]);
    let changes = directory.expire_lapsed(at(9_000));
    assert!(matches!(&changes[..], [Change::Removed(gone)] if &*gone.id == "e-2"), "{changes:?}");
    assert_eq!(names(&directory), ["e-1".into()]);
}

#[test]
fn an_entry_that_goes_while_the_store_is_there_is_gone_at_once() {
    let mut directory = Directory::default();
    directory.update(at(0), 1, vec![row(1, endpoint("e-1", Stage::Whole))]);
    let changes = directory.update(at(9_000), 2, vec![gone(2, "e-1")]);
    assert!(matches!(changes[..], [Change::Removed(_)]), "{changes:?}");
    assert!(names(&directory).is_empty());
}

#[test]
fn a_restart_under_the_old_name_is_told() {
    let mut directory = Directory::default();
    directory.update(at(0), 1, vec![row(1, endpoint("e-1", Stage::Decode))]);
    let again = Endpoint { started_ms: 2, ..endpoint("e-1", Stage::Decode) };
    let changes = directory.update(at(1), 2, vec![Row { sequence: 0, ..row(2, again) }]);
    assert!(matches!(changes[..], [Change::Restarted(_)]), "{changes:?}");
}

/// Three endpoints crash and start again at their old addresses under new names. Their old entries
/// lapse only after some seconds; until then the old names are given work that the new processes
/// turn away, after the prompts have been read for it.
#[test]
fn an_endpoint_at_the_address_of_another_takes_its_place() {
    let mut directory = Directory::default();
    directory.update(at(0), 1, vec![row(1, endpoint("old", Stage::Decode))]);
    let newer = Endpoint { started_ms: 2, ..endpoint("new", Stage::Decode) };
    let changes = directory.update(at(1), 2, vec![row(2, newer)]);
    assert!(
        changes.iter().any(|change| matches!(change, Change::Removed(gone) if &*gone.id == "old")),
        "{changes:?}"
    );
    assert_eq!(names(&directory), ["new".into()]);
    // A late write of the old one changes nothing.
    directory.update(at(2), 3, vec![row(3, endpoint("old", Stage::Decode))]);
    assert_eq!(names(&directory), ["new".into()]);
}
