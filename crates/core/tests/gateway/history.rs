//! Tests of the software versions that endpoints had lately.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tarragonhill_core::gateway::{
    directory::{Directory, Endpoint, Stage},
    history::History,
};

use crate::{at, endpoint, position, row};

const SPAN: Duration = Duration::from_secs(14);

/// Returns a directory with an endpoint of each of these versions.
fn listed(versions: &[&str]) -> Directory {
    let mut directory = Directory::default();
    let rows = versions.iter().enumerate().map(|(index, version)| {
        let endpoint = endpoint(&format!("d-{index}"), Stage::Decode);
        row(index as u64 + 1, Endpoint { software_version: (*version).into(), ..endpoint })
    });
    directory.update(at(0), position(versions.len() as u64), rows.collect());
    directory
}

fn sole(history: &History, now: u64) -> Option<&str> {
    history.sole(at(now), "drafting", SPAN).map(|version| &**version)
}

/// Guards against replicas that have just started and take what is listed now for all that there was.
#[test]
fn the_only_version_is_known_once_it_was_listed_for_the_whole_span() {
    let mut history = History::default();
    history.record_read(at(0), false);
    history.record(at(0), &listed(&["v1"]));
    history.record(at(13_900), &listed(&["v1"]));
    assert_eq!(sole(&history, 13_999), None);
    assert_eq!(sole(&history, 14_000), Some("v1"));
}

#[test]
fn a_version_counts_until_no_stream_of_it_can_be_left() {
    let mut history = History::default();
    history.record_read(at(0), false);
    history.record(at(0), &listed(&["v1"]));
    history.record(at(20_000), &listed(&["v1", "v2"]));
    history.record(at(21_000), &listed(&["v2"]));
    history.record(at(33_000), &listed(&["v2"]));
    assert_eq!(sole(&history, 33_900), None);
    assert_eq!(sole(&history, 34_000), Some("v2"));
}

/// Guards against versions that came and went unnoticed, and against newer ones.
#[test]
fn nothing_is_certain_while_the_store_cannot_be_read_or_after_a_gap() {
    let mut history = History::default();
    history.record_read(at(0), false);
    history.record(at(20_000), &listed(&["v1"]));
    assert_eq!(sole(&history, 20_000), Some("v1"));
    history.mark_store_unreachable();
    assert_eq!(sole(&history, 20_100), None);
    history.record_read(at(20_500), false);
    assert_eq!(sole(&history, 20_500), Some("v1"), "the feed went on without a gap");
    history.record_read(at(21_000), true);
    history.record(at(34_000), &listed(&["v1"]));
    assert_eq!(sole(&history, 34_900), None);
    assert_eq!(sole(&history, 35_000), Some("v1"));
}

/// Guards against streams that go on at the only version that is listed, although endpoints of another one have just left.
#[test]
fn a_single_listed_version_is_not_certain_before_its_time() {
    let mut history = History::default();
    history.record_read(at(0), false);
    history.record(at(0), &listed(&["v2"]));
    assert_eq!(sole(&history, 0), None);
    history.record(at(1_000), &listed(&["v3"]));
    history.record(at(14_000), &listed(&["v3"]));
    assert_eq!(sole(&history, 13_999), None, "v2 was listed less than the span ago");
    assert_eq!(sole(&history, 14_000), Some("v3"));
}

#[test]
fn a_replica_that_has_just_started_learns_from_its_peers() {
    let mut history = History::default();
    history.apply_peer(at(0), SPAN, &BTreeMap::new());
    history.record(at(10), &listed(&["v1"]));
    assert_eq!(sole(&history, 10), None, "it cannot read the store itself");
    history.record_read(at(20), false);
    history.apply_peer(at(30), SPAN, &BTreeMap::new());
    assert_eq!(sole(&history, 30), Some("v1"));
}

/// Guards against streams of a version whose last endpoint left before this replica started.
#[test]
fn versions_that_a_peer_knew_lately_count() {
    let mut history = History::default();
    history.record_read(at(0), false);
    history.record(at(0), &listed(&["v2"]));
    let mixed: BTreeMap<Arc<str>, Duration> = [("drafting".into(), Duration::from_secs(5))].into();
    history.apply_peer(at(100), Duration::from_secs(60), &mixed);
    history.record(at(9_000), &listed(&["v2"]));
    assert_eq!(sole(&history, 9_000), None);
    assert_eq!(sole(&history, 9_100), Some("v2"));
    assert_eq!(history.mixed(at(9_100)).get("drafting"), Some(&SPAN));
}
