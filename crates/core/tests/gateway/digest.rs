//! Who the other entries are.

use tarragonhill_core::gateway::digest::{Digest, Member, Peers};

use crate::at;

fn member(name: &str) -> Member {
    Member { name: name.into(), address: "127.0.0.1:7".parse().expect("an address") }
}

fn digest(name: &str, incarnation: u64, serial: u64) -> Digest {
    Digest { name: name.into(), incarnation, serial, members: vec![member(name)], ..Digest::default() }
}

#[test]
fn an_overtaken_digest_is_dropped_and_a_new_start_is_not() {
    let mut peers = Peers::new("own".into());
    let from = member("b").address;
    assert!(peers.record_digest(at(0), &digest("b", 1, 5), from));
    assert!(!peers.record_digest(at(1), &digest("b", 1, 4), from));
    assert!(!peers.record_digest(at(1), &digest("b", 1, 5), from));
    assert!(peers.record_digest(at(2), &digest("b", 2, 1), from));
    assert!(!peers.record_digest(at(3), &digest("b", 1, 9), from));
}

/// The time of day of a host steps back by two seconds, and its entry is killed and starts again a
/// second later. By that time it started before the start that the others know, and they dropped what it
/// said for twelve seconds: its customers spent their rate twice.
#[test]
fn an_entry_whose_clock_stepped_back_between_two_starts_is_heard() {
    let mut peers = Peers::new("own".into());
    let from = member("b").address;
    assert!(peers.record_digest(at(0), &digest("b", 1_700_000_002_000, 5), from));
    assert!(peers.record_digest(at(1_000), &digest("b", 1_700_000_001_000, 1), from));
    // A datagram of the start before that comes late changes nothing.
    assert!(!peers.record_digest(at(1_001), &digest("b", 1_700_000_002_000, 6), from));
    assert!(peers.record_digest(at(1_100), &digest("b", 1_700_000_001_000, 2), from));
}

#[test]
fn an_entry_is_learnt_from_another() {
    let mut peers = Peers::new("own".into());
    let mut told = digest("b", 1, 1);
    told.members.push(member("c"));
    told.members.push(member("own"));
    peers.record_digest(at(0), &told, member("b").address);
    let names: Vec<_> = peers.members().map(|member| member.name).collect();
    assert_eq!(names, ["b".into(), "c".into()]);
    assert_eq!(peers.count(), 3);
}

/// A host is gone for good, but everybody goes on counting it: each entry names it to the others,
/// and each hears it named and remembers it for longer.
#[test]
fn an_entry_that_is_gone_is_forgotten_by_all() {
    let (mut one, mut two) = (Peers::new("one".into()), Peers::new("two".into()));
    one.record_digest(at(0), &digest("gone", 1, 1), member("gone").address);
    for serial in 1..200 {
        let now = at(serial * 200);
        let tell = |name: &str, peers: &Peers| {
            let members = peers.live_members(now).collect();
            Digest { members, ..digest(name, 1, serial) }
        };
        let (from_one, from_two) = (tell("one", &one), tell("two", &two));
        one.record_digest(now, &from_two, member("two").address);
        two.record_digest(now, &from_one, member("one").address);
        one.remove_expired(now);
        two.remove_expired(now);
    }
    assert_eq!((one.count(), two.count()), (2, 2));
}
