//! The retry budget.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::gateway::budget::{Budget, Rule};

use crate::at;

const RULE: Rule = Rule { ratio: 0.2, slack: 40.0, window: Duration::from_secs(10) };

/// Every answer of a service is lost for some seconds. Each entry sends every request once more,
/// and the service, already in trouble, gets twice its load.
#[test]
fn further_sends_stay_within_ratio_and_slack_over_all_entries() {
    let service: Arc<str> = "filing".into();
    let mut entries = vec![Budget::new(RULE, at(0)); 4];
    let (mut requests, mut extras) = (0.0, 0.0);
    for now in (10_000..19_000).step_by(50) {
        for entry in &mut entries {
            entry.record_request(at(now), &service);
            requests += 1.0;
            extras += if entry.try_spend(at(now), &service, 4) { 1.0 } else { 0.0 };
        }
    }
    assert!(extras <= RULE.ratio * requests + RULE.slack, "{extras} of {requests}");
    assert!(extras > 0.5 * (RULE.ratio * requests + RULE.slack), "{extras} of {requests}: hardly used");
}

#[test]
fn the_window_slides() {
    let service: Arc<str> = "filing".into();
    let mut budget = Budget::new(RULE, at(0));
    let used = (0..100).filter(|_| budget.try_spend(at(20_000), &service, 1)).count();
    assert!(used > 0 && used < 40, "{used}");
    assert!(!budget.try_spend(at(29_000), &service, 1));
    assert!(budget.try_spend(at(30_100), &service, 1));
}

/// All entries are killed at once while answers are lost, and start again: each knows nobody, took
/// the whole slack for itself, and the process before it had used its part a moment ago.
#[test]
fn entries_that_have_just_started_share_the_slack_too() {
    let service: Arc<str> = "filing".into();
    let mut extras = 0;
    for _ in 0..4 {
        let mut old = Budget::new(RULE, at(0));
        extras += (0..50).filter(|_| old.try_spend(at(20_000), &service, 4)).count();
        let mut new = Budget::new(RULE, at(21_000));
        extras += (0..50).filter(|_| new.try_spend(at(21_000), &service, 1)).count();
    }
    assert!(extras as f64 <= RULE.slack, "{extras}");
}
