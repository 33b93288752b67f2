//! Tests of peer membership and the ordering of digests.

use tarragonhill_core::gateway::digest::{Digest, Member, Peers};

use crate::at;

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        address: "127.0.0.1:7".parse().expect("an address"),
        zone: "zone-a".into(),
        millicores: 1_000,
    }
}

fn digest(name: &str, incarnation: u64, serial: u64) -> Digest {
    Digest { name: name.into(), incarnation, serial, members: vec![member(name)], ..Digest::default() }
}

#[test]
fn outdated_digests_are_rejected_and_new_incarnations_accepted() {
    let mut peers = Peers::new("own".into());
    let from = member("b").address;
    assert!(peers.record_digest(at(0), &digest("b", 1, 5), from));
    assert!(!peers.record_digest(at(1), &digest("b", 1, 4), from));
    assert!(!peers.record_digest(at(1), &digest("b", 1, 5), from));
    assert!(peers.record_digest(at(2), &digest("b", 2, 1), from));
    assert!(!peers.record_digest(at(3), &digest("b", 1, 9), from));
}

/// Guards against rejecting the digests of a restarted replica whose host's clock was set back.
#[test]
fn a_replica_that_restarts_with_an_earlier_clock_is_accepted() {
    let mut peers = Peers::new("own".into());
    let from = member("b").address;
    assert!(peers.record_digest(at(0), &digest("b", 1_700_000_002_000, 5), from));
    assert!(peers.record_digest(at(1_000), &digest("b", 1_700_000_001_000, 1), from));
    // A late datagram of the previous incarnation is ignored.
    assert!(!peers.record_digest(at(1_001), &digest("b", 1_700_000_002_000, 6), from));
    assert!(peers.record_digest(at(1_100), &digest("b", 1_700_000_001_000, 2), from));
}

#[test]
fn members_of_a_digest_become_peers() {
    let mut peers = Peers::new("own".into());
    let mut digest = digest("b", 1, 1);
    digest.members.push(member("c"));
    digest.members.push(member("own"));
    peers.record_digest(at(0), &digest, member("b").address);
    let names: Vec<_> = peers.members().map(|member| member.name).collect();
    assert_eq!(names, ["b".into(), "c".into()]);
    assert_eq!(peers.count(), 3);
}

/// Guards against replicas that keep adding a stopped peer to each other's lists.
#[test]
fn a_stopped_peer_is_removed_everywhere() {
    let (mut one, mut two) = (Peers::new("one".into()), Peers::new("two".into()));
    one.record_digest(at(0), &digest("gone", 1, 1), member("gone").address);
    for serial in 1..200 {
        let now = at(serial * 200);
        let digest_of = |name: &str, peers: &Peers| {
            let members = peers.live_members(now).collect();
            Digest { members, ..digest(name, 1, serial) }
        };
        let (from_one, from_two) = (digest_of("one", &one), digest_of("two", &two));
        one.record_digest(now, &from_two, member("two").address);
        two.record_digest(now, &from_one, member("one").address);
        one.remove_expired(now);
        two.remove_expired(now);
    }
    assert_eq!((one.count(), two.count()), (2, 2));
}
