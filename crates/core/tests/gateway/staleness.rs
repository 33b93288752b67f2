//! When an entry asks another one for what the store has not given it.

use tarragonhill_core::gateway::staleness::{Staleness, Versions};

use crate::at;

fn versions(configuration: u64, endpoints: u64) -> Versions {
    Versions { configuration, endpoints }
}

#[test]
fn what_the_store_gives_within_a_second_is_not_overdue() {
    let mut staleness = Staleness::default();
    staleness.record_configuration(at(0), 5);
    staleness.record_peer(at(1_000), versions(6, 0));
    assert!(!staleness.is_overdue(at(1_999)));
    staleness.record_configuration(at(1_999), 6);
    assert!(!staleness.is_overdue(at(60_000)));
}

#[test]
fn a_part_that_others_have_and_the_store_does_not_give_is_overdue() {
    for newer in [versions(6, 0), versions(0, 9)] {
        let mut staleness = Staleness::default();
        staleness.record_configuration(at(0), 5);
        staleness.record_endpoints(at(0), 8);
        staleness.record_peer(at(1_000), newer);
        assert!(staleness.is_overdue(at(2_000)), "{newer:?}");
    }
}

#[test]
fn changes_that_come_one_after_the_other_each_get_their_time() {
    let mut staleness = Staleness::default();
    for version in 1..50 {
        let now = version * 900;
        staleness.record_peer(at(now), versions(version, 0));
        staleness.record_configuration(at(now + 800), version - 1);
        assert!(!staleness.is_overdue(at(now + 899)), "version {version}");
    }
}

#[test]
fn an_older_version_that_comes_late_changes_nothing() {
    let mut staleness = Staleness::default();
    staleness.record_configuration(at(0), 5);
    staleness.record_configuration(at(1), 4);
    staleness.record_peer(at(2), versions(3, 0));
    assert_eq!(staleness.own(), versions(5, 0));
    assert!(!staleness.is_overdue(at(60_000)));
}
