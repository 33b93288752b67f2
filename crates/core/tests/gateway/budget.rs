//! Tests of the retry budget.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::gateway::budget::{Budget, Rule};

use crate::at;

const RULE: Rule = Rule { ratio: 0.2, slack: 40.0, window: Duration::from_secs(10) };

/// When all requests to a service fail, retries must not double its load.
#[test]
fn retries_of_all_replicas_stay_within_ratio_and_slack() {
    let service: Arc<str> = "filing".into();
    let mut replicas = vec![Budget::new(RULE, at(0)); 4];
    let (mut requests, mut retries) = (0.0, 0.0);
    for now in (10_000..19_000).step_by(50) {
        for replica in &mut replicas {
            replica.record_request(at(now), &service);
            requests += 1.0;
            retries += if replica.try_spend(at(now), &service, 4) { 1.0 } else { 0.0 };
        }
    }
    assert!(retries <= RULE.ratio * requests + RULE.slack, "{retries} of {requests}");
    assert!(retries > 0.5 * (RULE.ratio * requests + RULE.slack), "{retries} of {requests}: hardly used");
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let service: Arc<str> = "filing".into();
    let mut budget = Budget::new(RULE, at(0));
    let used = (0..100).filter(|_| budget.try_spend(at(20_000), &service, 1)).count();
    assert!(used > 0 && used < 40, "{used}");
    assert!(!budget.try_spend(at(29_000), &service, 1));
    assert!(budget.try_spend(at(30_100), &service, 1));
}

/// Replicas that restart together don't know each other yet, and their previous processes may have
/// used up the slack.
#[test]
fn replicas_that_have_just_started_share_the_slack() {
    let service: Arc<str> = "filing".into();
    let mut retries = 0;
    for _ in 0..4 {
        let mut old = Budget::new(RULE, at(0));
        retries += (0..50).filter(|_| old.try_spend(at(20_000), &service, 4)).count();
        let mut new = Budget::new(RULE, at(21_000));
        retries += (0..50).filter(|_| new.try_spend(at(21_000), &service, 1)).count();
    }
    assert!(retries as f64 <= RULE.slack, "{retries}");
}
