//! When an entry must stop serving because its settings may be stale.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tarragonhill_core::{
    Time,
    freshness::{Freshness, MAX_AGE},
    message::Heartbeat,
};

fn at(seconds: u64) -> Time {
    Time::ZERO.plus(Duration::from_secs(seconds))
}

fn heartbeat(version: u64, age: u64) -> Heartbeat {
    Heartbeat { version, age: Duration::from_secs(age), ..Heartbeat::default() }
}

fn entries() -> BTreeSet<Arc<str>> {
    ["b".into(), "c".into()].into()
}

#[test]
fn process_without_settings_does_not_serve() {
    assert!(!Freshness::default().may_serve(at(0), &BTreeSet::new()));
}

/// Guards against an isolated entry that keeps accepting a key withdrawn through another entry.
#[test]
fn isolated_entry_stops_serving() {
    let mut freshness = Freshness::default();
    freshness.record_read(at(0), 3);
    assert!(freshness.may_serve(at(8), &entries()));
    assert!(!freshness.may_serve(at(9), &entries()));
}

/// No entry can change settings while the table is down, so stale settings are still the newest.
#[test]
fn entry_with_heartbeats_from_all_others_serves_during_a_table_outage() {
    let mut freshness = Freshness::default();
    freshness.record_read(at(0), 3);
    for second in 1..600 {
        freshness.record_heartbeat(at(second), &"b".into(), &heartbeat(3, second));
        freshness.record_heartbeat(at(second), &"c".into(), &heartbeat(3, second));
    }
    assert!(freshness.may_serve(at(600), &entries()));
}

/// The entry without heartbeats may be able to reach the table and change settings.
#[test]
fn entry_stops_serving_in_an_outage_if_one_other_sends_no_heartbeats() {
    let mut freshness = Freshness::default();
    freshness.record_read(at(0), 3);
    (1..60).for_each(|second| freshness.record_heartbeat(at(second), &"b".into(), &heartbeat(3, second)));
    assert!(!freshness.may_serve(at(60), &entries()));
}

/// An entry that cannot reach the table relies on a peer or agent that can.
#[test]
fn heartbeat_with_the_same_version_confirms_the_settings() {
    let mut freshness = Freshness::default();
    freshness.record_read(at(0), 3);
    freshness.record_heartbeat(at(20), &"agent 1".into(), &heartbeat(3, 1));
    assert_eq!(freshness.age(at(20)), Duration::from_secs(1));
    assert!(freshness.may_serve(at(20), &entries()));
}

/// Guards against a process that resumes after a pause and serves with stale settings until the next
/// poll.
#[test]
fn resumed_process_does_not_serve_before_it_reads_the_table() {
    let mut freshness = Freshness::default();
    freshness.record_read(at(0), 3);
    let resumed = at(0).plus(MAX_AGE).plus(Duration::from_secs(60));
    assert!(!freshness.may_serve(resumed, &entries()));
    freshness.record_read(resumed, 3);
    assert!(freshness.may_serve(resumed, &entries()));
}

#[test]
fn entry_that_knows_of_a_newer_version_stops_serving_until_it_has_it() {
    let mut freshness = Freshness::default();
    freshness.record_read(at(0), 3);
    freshness.record_heartbeat(at(1), &"b".into(), &heartbeat(4, 0));
    assert!(freshness.may_serve(at(2), &entries()));
    assert!(!freshness.may_serve(at(4), &entries()));
    freshness.record_read(at(4), 4);
    assert!(freshness.may_serve(at(4), &entries()));
}

/// A reordered table read with an older version must not refresh the age.
#[test]
fn read_of_an_older_version_confirms_nothing() {
    let mut freshness = Freshness::default();
    freshness.record_read(at(0), 4);
    freshness.record_read(at(50), 3);
    assert_eq!(freshness.age(at(50)), Duration::from_secs(50));
}
