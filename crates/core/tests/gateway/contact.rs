//! Tests of what replicas conclude after they could not read the store.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::gateway::{
    contact::{Contact, Report},
    directory::{Change, Stage},
    mechanism::Mechanisms,
    state::{Listing, State},
};

use crate::{
    at,
    outage::{exchange, fleet, listed},
    position, removed_row, row,
};

const LEAVING: &str = "d-1";

fn is_used(state: &State<u32>) -> bool {
    state.directory().serving("drafting").any(|endpoint| &*endpoint.id == LEAVING)
}

/// Lets a replica read the store.
fn read(state: &mut State<u32>, now: u64, version: u64, rows: &[bool]) -> Vec<Change> {
    let rows = rows.iter().map(|is_removed| match is_removed {
        true => removed_row(version, LEAVING),
        false => row(version, listed(LEAVING, Stage::Decode)),
    });
    let listing = Listing { position: position(version), is_complete: false, rows: rows.collect() };
    state.apply_listing(at(now), listing)
}

/// Lets the first replica of a fleet find a row missing, 4 s after it lost the store and 1.2 s after its last failed call began.
fn lapse_after_outage(fleet: &mut [State<u32>]) {
    fleet[0].record_store_recovered(at(14_000), at(12_800));
    let changes = read(&mut fleet[0], 14_000, 101, &[true]);
    assert!(matches!(changes[..], [Change::Lapsed(_)]), "{changes:?}");
}

/// Guards against requests to endpoints that were removed while this replica alone was cut off from the store.
#[test]
fn an_endpoint_removed_during_a_cut_of_one_replica_is_not_kept() {
    let mut fleet = fleet(2, 4, &Mechanisms::default());
    fleet[0].mark_store_unreachable(at(10_000));
    read(&mut fleet[1], 13_000, 101, &[true]);
    lapse_after_outage(&mut fleet);
    exchange(&mut fleet, 14_050);
    assert!(!is_used(&fleet[0]));
}

/// Guards against endpoints that are dropped because their rows lapsed while the store was away for all replicas.
#[test]
fn an_endpoint_whose_row_lapsed_while_the_store_was_away_for_all_is_kept() {
    let mut fleet = fleet(3, 4, &Mechanisms::default());
    fleet.iter_mut().for_each(|replica| replica.mark_store_unreachable(at(10_000)));
    // Another replica found the store again half a second before, and a third one has not yet.
    fleet[1].record_store_recovered(at(13_500), at(12_800));
    read(&mut fleet[1], 13_500, 101, &[true]);
    lapse_after_outage(&mut fleet);
    exchange(&mut fleet, 14_050);
    assert!(is_used(&fleet[0]));
    fleet[0].tick(at(15_500));
    assert!(is_used(&fleet[0]));
    read(&mut fleet[0], 15_600, 102, &[false]);
    fleet[0].tick(at(20_000));
    assert!(is_used(&fleet[0]));
}

/// Guards against endpoints that stay in use for as long as after an outage, counted from when another replica found the
/// store again.
#[test]
fn the_grace_period_counts_from_the_first_replica_that_reaches_the_store() {
    let mut fleet = fleet(2, 4, &Mechanisms::default());
    fleet.iter_mut().for_each(|replica| replica.mark_store_unreachable(at(10_000)));
    fleet[1].record_store_recovered(at(12_900), at(12_800));
    read(&mut fleet[1], 12_900, 101, &[true]);
    lapse_after_outage(&mut fleet);
    exchange(&mut fleet, 14_050);
    fleet[0].tick(at(15_100));
    assert!(is_used(&fleet[0]));
    fleet[0].tick(at(15_250));
    assert!(!is_used(&fleet[0]));
}

/// Guards against requests to removed endpoints by replicas that cannot tell a cut from an outage: 3 s after the end of a cut,
/// which came after the last failed call, none may be sent.
#[test]
fn an_endpoint_is_kept_no_longer_than_until_three_seconds_after_a_cut() {
    let mut fleet = fleet(1, 4, &Mechanisms::default());
    fleet[0].mark_store_unreachable(at(10_000));
    lapse_after_outage(&mut fleet);
    fleet[0].tick(at(15_600));
    assert!(is_used(&fleet[0]));
    // One tick before.
    fleet[0].tick(at(15_700));
    assert!(!is_used(&fleet[0]));
}

/// Guards against conclusions from what a peer read before this replica lost the store.
#[test]
fn contact_of_a_peer_counts_from_the_loss_on() {
    let peer: Arc<str> = "peer".into();
    let report = |since, last_read| {
        Some(Report { since: Duration::from_millis(since), last_read: Duration::from_millis(last_read) })
    };
    let mut contact = Contact::default();
    contact.record_read(at(1_000));
    contact.apply_peer(at(1_000), &peer, report(1_000, 0));
    assert_eq!(contact.returned(), None);
    contact.record_loss(at(10_000));
    contact.record_loss(at(11_000));
    assert_eq!(contact.report(at(11_000)), None);
    contact.apply_peer(at(12_000), &peer, report(12_000, 2_500));
    assert_eq!(contact.returned(), None);
    contact.apply_peer(at(12_000), &peer, report(12_000, 500));
    assert_eq!(contact.returned(), Some(at(10_000)));
    contact.apply_peer(at(13_000), &peer, report(600, 0));
    assert_eq!(contact.returned(), Some(at(12_400)));
    contact.apply_peer(at(13_000), &peer, None);
    assert_eq!(contact.returned(), None);
}
