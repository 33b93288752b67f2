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
    let mut entries = vec![Budget::new(RULE); 4];
    let (mut requests, mut extras) = (0.0, 0.0);
    for now in (0..9_000).step_by(50) {
        for entry in &mut entries {
            entry.request(at(now), &service);
            requests += 1.0;
            extras += if entry.extra(at(now), &service, 4) { 1.0 } else { 0.0 };
        }
    }
    assert!(extras <= RULE.ratio * requests + RULE.slack, "{extras} of {requests}");
    assert!(extras > 0.5 * (RULE.ratio * requests + RULE.slack), "{extras} of {requests}: hardly used");
}

#[test]
fn the_window_slides() {
    let service: Arc<str> = "filing".into();
    let mut budget = Budget::new(RULE);
    let used = (0..100).filter(|_| budget.extra(at(0), &service, 1)).count();
    assert!(used > 0 && used < 40, "{used}");
    assert!(!budget.extra(at(9_000), &service, 1));
    assert!(budget.extra(at(10_100), &service, 1));
}
