//! Tests of which connections of callers give way to others.

use std::time::Duration;

use tarragonhill_core::{
    Time,
    gateway::connections::{Capacity, Connections, Id, Phase},
};

const START: Time = Time::from_micros(1_000_000);
const MOST: usize = 3;

fn at(millis: u64) -> Time {
    START.plus(Duration::from_millis(millis))
}

fn connections() -> Connections {
    Connections::new(Capacity { connections: MOST, requests: MOST })
}

fn open(connections: &mut Connections, millis: u64) -> Id {
    connections.open(at(millis)).expect("a place").id
}

/// Opens one more connection and returns which one gives way.
fn victim(connections: &mut Connections, millis: u64) -> Option<Id> {
    connections.open(at(millis)).expect("a place").victim
}

/// Guards against crowds that stop half-way and take all places, and against new callers that give way to each other.
#[test]
fn slow_callers_give_way_before_idle_ones_and_these_before_new_ones() {
    let mut connections = connections();
    let (slow, idle, new) = (open(&mut connections, 0), open(&mut connections, 1), open(&mut connections, 2));
    connections.enter(at(3), slow, Phase::Receiving { received: 10 });
    connections.enter(at(4), idle, Phase::Serving);
    connections.record_served(idle);
    connections.enter(at(5), idle, Phase::Idle);
    connections.enter(at(1_900), new, Phase::Receiving { received: 10 });
    assert_eq!(victim(&mut connections, 2_000), Some(slow));
    assert_eq!(victim(&mut connections, 2_000), Some(idle));
    assert_eq!(victim(&mut connections, 2_000), Some(new));
}

/// Guards against a caller that is cut while it sends a long body at a good pace.
#[test]
fn a_caller_that_sends_fast_is_not_slow_however_long_it_takes() {
    let mut connections = connections();
    let (fast, idle) = (open(&mut connections, 0), open(&mut connections, 0));
    open(&mut connections, 4_000);
    connections.enter(at(0), fast, Phase::Receiving { received: 0 });
    connections.receive(fast, 1 << 20);
    assert_eq!(victim(&mut connections, 4_000), Some(idle));
}

/// Guards against requests that are cut for new connections.
#[test]
fn requests_that_are_served_give_way_only_if_their_callers_do_not_read() {
    let mut connections = connections();
    let ids = [0; MOST].map(|_| open(&mut connections, 0));
    for id in ids {
        connections.enter(at(0), id, Phase::Serving);
    }
    assert_eq!(connections.open(at(60_000)), None);
    connections.set_stalled(at(60_000), ids[1], true);
    assert_eq!(connections.open(at(60_500)), None);
    connections.set_stalled(at(60_600), ids[1], true);
    let opened = connections.open(at(61_000)).expect("a place");
    assert_eq!(opened.victim, Some(ids[1]));
    connections.enter(at(61_000), opened.id, Phase::Serving);
    connections.set_stalled(at(61_000), ids[0], true);
    connections.set_stalled(at(61_900), ids[0], false);
    assert_eq!(connections.open(at(62_500)), None);
}

/// Guards against long bodies that crowd out others, and against those that hold memory and do not go on.
#[test]
fn the_largest_request_gives_way_to_a_smaller_one_and_a_slow_one_to_any() {
    let mut connections = connections();
    let [large, larger, own] = [0; MOST].map(|_| open(&mut connections, 0));
    for (id, bytes) in [(large, 100), (larger, 200), (own, 50)] {
        connections.enter(at(0), id, Phase::Receiving { received: bytes });
        connections.set_held(id, bytes);
    }
    assert_eq!(connections.victim_for_room(at(100), own, 250), None);
    assert_eq!(connections.victim_for_room(at(100), own, 150), None, "not much larger");
    assert_eq!(connections.victim_for_room(at(100), own, 60), Some(larger));
    assert!(connections.is_room_expected());
    connections.close(larger);
    assert!(!connections.is_room_expected());
    assert_eq!(connections.victim_for_room(at(2_000), own, 250), Some(large));
}

/// Guards against a request that is cut for the memory of one that has not run.
#[test]
fn requests_that_are_served_do_not_give_way_to_memory() {
    let mut connections = connections();
    let (served, own) = (open(&mut connections, 0), open(&mut connections, 0));
    connections.enter(at(0), served, Phase::Receiving { received: 0 });
    connections.set_held(served, 1_000);
    connections.enter(at(0), served, Phase::Serving);
    assert_eq!(connections.victim_for_room(at(9_000), own, 1), None);
}

/// Guards against unread bytes of many callers, which the operating system keeps.
#[test]
fn of_too_many_callers_that_send_ahead_the_first_gives_way() {
    let mut connections = Connections::new(Capacity { connections: 16, requests: 16 });
    let ids = [0; 3].map(|_| open(&mut connections, 0));
    for id in ids {
        connections.enter(at(0), id, Phase::Serving);
    }
    assert_eq!(connections.record_ahead(at(1), ids[0]), None);
    assert_eq!(connections.record_ahead(at(2), ids[1]), None);
    assert_eq!(connections.record_ahead(at(3), ids[2]), Some(ids[0]));
}

/// Guards against places that stay taken, and against a limit that none of the hosts can bear.
#[test]
fn places_are_free_again_and_follow_from_the_host() {
    let mut connections = connections();
    for round in 0..10 {
        let ids = [0; MOST].map(|_| open(&mut connections, round));
        assert!(connections.may_serve());
        ids.iter().for_each(|id| connections.enter(at(round), *id, Phase::Serving));
        assert!(!connections.may_serve());
        ids.iter().for_each(|id| connections.close(*id));
        assert!(connections.is_empty());
    }
    let Capacity { connections, requests } = Capacity::of(Some(88_000_000), Some(3_075));
    assert!(connections + requests < 3_075 - 200, "{connections} and {requests}");
    assert!(connections >= 1_000 && requests >= 500, "{connections} and {requests}");
    let unknown = Capacity::of(None, None);
    assert!(unknown.connections >= connections && unknown.requests >= requests);
}
