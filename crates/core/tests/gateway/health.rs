//! Tests of endpoint health.

use std::time::Duration;

use tarragonhill_core::gateway::health::{Health, Outcome};

use crate::at;

#[test]
fn an_unreachable_endpoint_is_ejected_longer_each_time() {
    let mut health = Health::default();
    let mut ejections = Vec::new();
    let mut now = 0;
    for _ in 0..6 {
        let number = health.record_start(at(now));
        health.record_end(at(now), number, Outcome::Unreachable);
        let started = now;
        while health.is_ejected(at(now)) {
            now += 1;
        }
        ejections.push(now - started);
    }
    assert_eq!(ejections, [250, 500, 1_000, 2_000, 2_000, 2_000]);
    let number = health.record_start(at(now));
    health.record_end(at(now), number, Outcome::Responded(Duration::from_millis(5)));
    assert!(!health.is_ejected(at(now)));
}

/// Guards against an endpoint that hangs but keeps a short mean response time.
#[test]
fn the_response_time_grows_while_a_request_hangs() {
    let mut health = Health::default();
    let number = health.record_start(at(0));
    health.record_end(at(10), number, Outcome::Responded(Duration::from_millis(10)));
    health.record_start(at(20));
    assert_eq!(health.response_time(at(21)), Duration::from_millis(10));
    assert_eq!(health.response_time(at(520)), Duration::from_millis(500));
}

#[test]
fn the_failure_ratio_decays() {
    let mut health = Health::default();
    for _ in 0..10 {
        let number = health.record_start(at(0));
        health.record_end(at(0), number, Outcome::Failed);
    }
    assert!(health.failure_ratio(at(0)) > 0.8);
    assert!(health.failure_ratio(at(9_000)) < 0.2);
}

/// Guards against sending requests to a replaced endpoint until the list shows the change.
#[test]
fn a_replaced_endpoint_is_ejected_until_the_list_is_updated() {
    let mut health = Health::default();
    let number = health.record_start(at(0));
    health.record_end(at(0), number, Outcome::Replaced);
    assert!(health.is_ejected(at(3_900)));
    assert!(!health.is_ejected(at(5_100)));
}

/// Guards against a hanging endpoint that looks fast because its requests are cancelled.
#[test]
fn a_cancelled_request_raises_the_response_time() {
    let mut health = Health::default();
    let number = health.record_start(at(0));
    health.record_end(at(10), number, Outcome::Responded(Duration::from_millis(10)));
    let number = health.record_start(at(20));
    health.record_end(at(520), number, Outcome::Abandoned);
    assert!(health.response_time(at(521)) > Duration::from_millis(100));
    // A request that is cancelled at once has no effect.
    let before = health.response_time(at(521));
    let number = health.record_start(at(530));
    health.record_end(at(531), number, Outcome::Abandoned);
    assert_eq!(health.response_time(at(532)), before);
}

/// A single rejection may be caused by the prefill endpoint; consecutive ones are not.
#[test]
fn consecutive_rejections_eject_an_endpoint() {
    let mut health = Health::default();
    let reject = |health: &mut Health, now| {
        let number = health.record_start(at(now));
        health.record_end(at(now), number, Outcome::ReservationRejected);
    };
    reject(&mut health, 0);
    assert!(!health.is_ejected(at(1)));
    reject(&mut health, 10);
    assert!(health.is_ejected(at(200)) && !health.is_ejected(at(300)));
    reject(&mut health, 300);
    assert!(health.is_ejected(at(700)) && !health.is_ejected(at(900)));
    let number = health.record_start(at(900));
    health.record_end(at(910), number, Outcome::Responded(Duration::from_millis(10)));
    reject(&mut health, 920);
    assert!(!health.is_ejected(at(921)));
}
