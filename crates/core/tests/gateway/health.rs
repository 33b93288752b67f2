//! How an endpoint is judged by its own requests.

use std::time::Duration;

use tarragonhill_core::gateway::health::{Health, Outcome};

use crate::at;

#[test]
fn an_endpoint_that_cannot_be_reached_is_left_alone_longer_each_time() {
    let mut health = Health::default();
    let mut pauses = Vec::new();
    let mut now = 0;
    for _ in 0..6 {
        let number = health.record_start(at(now));
        health.record_end(at(now), number, Outcome::Unreachable);
        let began = now;
        while health.is_ejected(at(now)) {
            now += 1;
        }
        pauses.push(now - began);
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 2_000, 2_000]);
    let number = health.record_start(at(now));
    health.record_end(at(now), number, Outcome::Answered(Duration::from_millis(5)));
    assert!(!health.is_ejected(at(now)));
}

/// An endpoint hangs: it takes requests and answers none. Its mean answer time stays good, since
/// only answers count there, and it would go on getting its share.
#[test]
fn an_endpoint_that_hangs_looks_slower_the_longer_it_hangs() {
    let mut health = Health::default();
    let number = health.record_start(at(0));
    health.record_end(at(10), number, Outcome::Answered(Duration::from_millis(10)));
    health.record_start(at(20));
    assert_eq!(health.answer_time(at(21)), Duration::from_millis(10));
    assert_eq!(health.answer_time(at(520)), Duration::from_millis(500));
}

#[test]
fn failures_fade() {
    let mut health = Health::default();
    for _ in 0..10 {
        let number = health.record_start(at(0));
        health.record_end(at(0), number, Outcome::Failed);
    }
    assert!(health.failure_ratio(at(0)) > 0.8);
    assert!(health.failure_ratio(at(9_000)) < 0.2);
}

/// An endpoint was replaced at its address, and the list does not show it yet. Every request that is
/// sent there is turned away by the newcomer, after its prompt has been read elsewhere.
#[test]
fn an_endpoint_that_was_replaced_is_left_alone_until_the_list_shows_it() {
    let mut health = Health::default();
    let number = health.record_start(at(0));
    health.record_end(at(0), number, Outcome::Replaced);
    assert!(health.is_ejected(at(3_900)));
    assert!(!health.is_ejected(at(5_100)));
}

/// Requests that hang are sent to a second endpoint, whose answer ends the wait at the first. Given up
/// without a trace, the endpoint that hangs would look as fast as ever to the next request.
#[test]
fn a_wait_that_was_given_up_counts_as_slow() {
    let mut health = Health::default();
    let number = health.record_start(at(0));
    health.record_end(at(10), number, Outcome::Answered(Duration::from_millis(10)));
    let number = health.record_start(at(20));
    health.record_end(at(520), number, Outcome::Abandoned);
    assert!(health.answer_time(at(521)) > Duration::from_millis(100));
    // A caller that leaves at once says nothing.
    let before = health.answer_time(at(521));
    let number = health.record_start(at(530));
    health.record_end(at(531), number, Outcome::Abandoned);
    assert_eq!(health.answer_time(at(532)), before);
}

/// One run turned away may be the fault of whoever read its prompt; two in a row are the endpoint's.
#[test]
fn an_endpoint_that_turns_runs_away_in_a_row_is_left_alone() {
    let mut health = Health::default();
    let turn_away = |health: &mut Health, now| {
        let number = health.record_start(at(now));
        health.record_end(at(now), number, Outcome::ReservationRejected);
    };
    turn_away(&mut health, 0);
    assert!(!health.is_ejected(at(1)));
    turn_away(&mut health, 10);
    assert!(health.is_ejected(at(200)) && !health.is_ejected(at(300)));
    turn_away(&mut health, 300);
    assert!(health.is_ejected(at(700)) && !health.is_ejected(at(900)));
    let number = health.record_start(at(900));
    health.record_end(at(910), number, Outcome::Answered(Duration::from_millis(10)));
    turn_away(&mut health, 920);
    assert!(!health.is_ejected(at(921)));
}
