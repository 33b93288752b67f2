//! Tests of when a replica asks a peer for data that the store has not delivered.

use tarragonhill_core::gateway::{
    position::Edition,
    staleness::{Staleness, Versions},
};

use crate::{at, position};

fn edition(version: u64) -> Edition {
    Edition { version, position: position(version) }
}

fn versions(configuration: u64, endpoints: u64) -> Versions {
    Versions { configuration: edition(configuration), endpoints: position(endpoints) }
}

#[test]
fn a_version_that_arrives_within_a_second_is_not_overdue() {
    let mut staleness = Staleness::default();
    staleness.record_configuration(at(0), edition(5));
    staleness.record_peer(at(1_000), versions(6, 0));
    assert!(!staleness.is_overdue(at(1_999)));
    staleness.record_configuration(at(1_999), edition(6));
    assert!(!staleness.is_overdue(at(60_000)));
}

#[test]
fn a_version_that_only_a_peer_has_becomes_overdue() {
    for newer in [versions(6, 0), versions(0, 9)] {
        let mut staleness = Staleness::default();
        staleness.record_configuration(at(0), edition(5));
        staleness.record_endpoints(at(0), position(8));
        staleness.record_peer(at(1_000), newer);
        assert!(staleness.is_overdue(at(2_000)), "{newer:?}");
    }
}

#[test]
fn each_new_version_restarts_the_overdue_timer() {
    let mut staleness = Staleness::default();
    for version in 1..50 {
        let now = version * 900;
        staleness.record_peer(at(now), versions(version, 0));
        staleness.record_configuration(at(now + 800), edition(version - 1));
        assert!(!staleness.is_overdue(at(now + 899)), "version {version}");
    }
}

#[test]
fn an_older_version_is_ignored() {
    let mut staleness = Staleness::default();
    staleness.record_configuration(at(0), edition(5));
    staleness.record_configuration(at(1), edition(4));
    staleness.record_peer(at(2), versions(3, 0));
    assert_eq!(staleness.own(), versions(5, 0));
    assert!(!staleness.is_overdue(at(60_000)));
}
