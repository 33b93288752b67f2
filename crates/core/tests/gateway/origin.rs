//! Tests of the versions that began streams, and of the search for them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use quickcheck::{QuickCheck, TestResult};
use tarragonhill_core::gateway::{
    digest::Member,
    origin::{Message, Origin, Origins, Searches, Stream},
};

use crate::at;

fn member(number: usize) -> Member {
    Member {
        name: format!("entry-{number}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], number as u16)),
        zone: "zone-a".into(),
        millicores: 100,
    }
}

fn origin(stream: u64, version: &str) -> Origin {
    Origin { stream: Stream(stream), software_version: version.into(), left: Duration::from_secs(14) }
}

fn version(origins: &Origins, now: u64, stream: u64) -> Option<Arc<str>> {
    origins.get(at(now), Stream(stream)).map(|origin| origin.software_version)
}

#[test]
fn a_stream_is_kept_until_its_caller_can_no_longer_resume_it() {
    let mut origins = Origins::default();
    origins.record(at(0), &origin(1, "v1"), false);
    assert_eq!(version(&origins, 13_999, 1).as_deref(), Some("v1"));
    assert_eq!(version(&origins, 14_000, 1), None);
    origins.expire(at(14_000));
    assert!(origins.is_empty());
}

/// Guards against a guess between two versions where an id was used for two streams.
#[test]
fn a_stream_that_is_reported_with_two_versions_is_unknown() {
    let mut origins = Origins::default();
    origins.record(at(0), &origin(1, "v1"), true);
    origins.record(at(10), &origin(1, "v2"), false);
    origins.record(at(20), &origin(1, "v1"), false);
    assert_eq!(version(&origins, 30, 1), None);
}

/// Guards against streams of one customer that are taken for those of another one.
#[test]
fn the_same_attempt_of_two_customers_is_two_streams() {
    assert_ne!(Stream::of("faculty", "r1"), Stream::of("small", "r1"));
    assert_ne!(Stream::of("a", "b1"), Stream::of("ab", "1"));
}

#[test]
fn only_the_streams_relayed_here_are_told_again() {
    let mut origins = Origins::default();
    origins.record(at(0), &origin(1, "v1"), true);
    origins.record(at(0), &origin(2, "v1"), false);
    let own: Vec<Stream> = origins.own(at(10)).map(|origin| origin.stream).collect();
    assert_eq!(own, [Stream(1)]);
}

/// Guards against a memory that grows with callers that never come back.
#[test]
fn the_number_of_streams_is_bounded() {
    let mut origins = Origins::default();
    for stream in 0..60_000 {
        origins.record(at(stream), &origin(stream, "v1"), false);
    }
    assert!(origins.len() <= 50_000);
    assert!(version(&origins, 60_000, 59_999).is_some());
}

/// Guards against owners that are lost when a replica that is none of them comes or goes.
#[test]
fn owners_change_only_with_the_replicas_that_own() {
    fn check(id: u64, count: u8, gone: u8) -> TestResult {
        let count = usize::from(count % 40) + 4;
        let all: Vec<Member> = (0..count).map(member).collect();
        let gone = &all[usize::from(gone) % count];
        let owners = Stream(id).owners(all.clone(), 3);
        let left: Vec<Member> = all.iter().filter(|member| *member != gone).cloned().collect();
        let kept = Stream(id).owners(left, 3);
        let is_stable = owners.iter().all(|owner| owner == gone || kept.contains(owner));
        TestResult::from_bool(owners.len() == 3 && is_stable)
    }
    QuickCheck::new().quickcheck(check as fn(u64, u8, u8) -> TestResult);
}

#[test]
fn a_search_ends_when_all_replicas_have_said_that_they_do_not_know_the_stream() {
    let mut searches = Searches::default();
    assert!(searches.add(at(0), Stream(1), &[member(1), member(2)], "first"));
    assert!(!searches.add(at(1), Stream(1), &[member(1), member(2)], "second"));
    assert!(searches.record_unknown(Stream(1), "entry-1").is_empty());
    assert!(searches.record_unknown(Stream(1), "entry-1").is_empty());
    assert_eq!(searches.record_unknown(Stream(1), "entry-2"), ["first", "second"]);
    assert!(searches.is_empty());
}

/// Guards against searches that a lost datagram, or a replica that is cut off, keeps open.
#[test]
fn a_search_is_repeated_and_ends_in_time() {
    let mut searches = Searches::default();
    searches.add(at(0), Stream(1), &[member(1), member(2)], "caller");
    searches.record_unknown(Stream(1), "entry-2");
    assert!(searches.take_repeats(at(40)).is_empty());
    assert_eq!(searches.take_repeats(at(50)), [(member(1), vec![Stream(1)])]);
    assert!(searches.take_repeats(at(60)).is_empty());
    assert!(searches.expire(at(199)).is_empty());
    assert_eq!(searches.expire(at(200)), [(Stream(1), vec!["caller"])]);
    assert!(searches.is_empty());
}

#[test]
fn a_search_ends_when_the_stream_is_found() {
    let mut searches = Searches::default();
    searches.add(at(0), Stream(1), &[member(1)], "caller");
    assert_eq!(searches.finish(Stream(1)), ["caller"]);
    assert!(searches.finish(Stream(1)).is_empty());
}

#[test]
fn a_long_message_is_split_without_loss() {
    let message = Message {
        origins: (0..95).map(|stream| origin(stream, "v1")).collect(),
        sought: (0..41).map(Stream).collect(),
        unknown: Vec::new(),
    };
    let parts = message.split(40);
    assert_eq!(parts.len(), 3);
    let mut joined = Message::default();
    for part in parts {
        assert!(part.origins.len() <= 40 && part.sought.len() <= 40);
        joined.origins.extend(part.origins);
        joined.sought.extend(part.sought);
    }
    assert_eq!(joined, message);
    assert!(Message::default().split(40).is_empty());
}
