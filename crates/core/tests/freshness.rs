//! When an entry must stop serving by its settings.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tarragonhill_core::{
    Time,
    freshness::{Freshness, MAX_AGE},
    message::Heartbeat,
};

fn at(seconds: u64) -> Time {
    Time::ZERO.plus(Duration::from_secs(seconds))
}

fn beat(version: u64, age: u64) -> Heartbeat {
    Heartbeat { version, age: Duration::from_secs(age), ..Heartbeat::default() }
}

fn entries() -> BTreeSet<Arc<str>> {
    ["b".into(), "c".into()].into()
}

#[test]
fn fresh_process_serves_nobody() {
    assert!(!Freshness::default().may_serve(at(0), &BTreeSet::new()));
}

/// One entry is cut off from the table and from all others. A key is withdrawn through another
/// entry; this one would go on honouring it for ever.
#[test]
fn entry_cut_off_from_all_stops_serving() {
    let mut freshness = Freshness::default();
    freshness.confirmed(at(0), 3);
    assert!(freshness.may_serve(at(8), &entries()));
    assert!(!freshness.may_serve(at(9), &entries()));
}

/// The table is down for everyone for long. No entry can accept a change, so entries that hear one
/// another go on serving.
#[test]
fn entries_that_hear_all_others_serve_through_an_outage() {
    let mut freshness = Freshness::default();
    freshness.confirmed(at(0), 3);
    for second in 1..600 {
        freshness.heard(at(second), &"b".into(), &beat(3, second));
        freshness.heard(at(second), &"c".into(), &beat(3, second));
    }
    assert!(freshness.may_serve(at(600), &entries()));
}

/// As above, but one entry is silent. It may reach the table and accept a change.
#[test]
fn one_silent_entry_in_an_outage_stops_serving() {
    let mut freshness = Freshness::default();
    freshness.confirmed(at(0), 3);
    (1..60).for_each(|second| freshness.heard(at(second), &"b".into(), &beat(3, second)));
    assert!(!freshness.may_serve(at(60), &entries()));
}

/// An entry that cannot reach the table itself is vouched for by a peer or agent that can.
#[test]
fn word_of_a_peer_with_the_same_version_counts() {
    let mut freshness = Freshness::default();
    freshness.confirmed(at(0), 3);
    freshness.heard(at(20), &"agent 1".into(), &beat(3, 1));
    assert_eq!(freshness.age(at(20)), Duration::from_secs(1));
    assert!(freshness.may_serve(at(20), &entries()));
}

/// A process is paused with a confirmed version and wakes up after a key was withdrawn. It must
/// notice before its first request, not at the next poll.
#[test]
fn paused_process_notices_on_waking() {
    let mut freshness = Freshness::default();
    freshness.confirmed(at(0), 3);
    let woken = at(0).plus(MAX_AGE).plus(Duration::from_secs(60));
    assert!(!freshness.may_serve(woken, &entries()));
    freshness.confirmed(woken, 3);
    assert!(freshness.may_serve(woken, &entries()));
}

#[test]
fn known_newer_version_must_be_in_force_within_seconds() {
    let mut freshness = Freshness::default();
    freshness.confirmed(at(0), 3);
    freshness.heard(at(1), &"b".into(), &beat(4, 0));
    assert!(freshness.may_serve(at(2), &entries()));
    assert!(!freshness.may_serve(at(4), &entries()));
    freshness.confirmed(at(4), 4);
    assert!(freshness.may_serve(at(4), &entries()));
}

/// A read of the table that was overtaken tells an older version; it confirms nothing.
#[test]
fn overtaken_read_confirms_nothing() {
    let mut freshness = Freshness::default();
    freshness.confirmed(at(0), 4);
    freshness.confirmed(at(50), 3);
    assert_eq!(freshness.age(at(50)), Duration::from_secs(50));
}
