//! Tests of retry budgets.

use std::sync::Arc;

use tarragonhill_core::{
    message::FailureCause,
    retry::{Budget, MAX_ATTEMPTS},
};

fn names() -> (Arc<str>, Arc<str>) {
    ("faculty".into(), "decode".into())
}

/// Unbounded retries would multiply the load during an outage.
#[test]
fn retries_stop_if_every_request_fails() {
    let (customer, endpoint) = names();
    let mut budget = Budget::default();
    let retries =
        (0..10_000).filter(|_| budget.try_spend(&customer, &endpoint, 1, FailureCause::Crashed)).count();
    assert!((20..=100).contains(&retries), "{retries}");
}

#[test]
fn successes_refill_the_budget_in_part() {
    let (customer, endpoint) = names();
    let mut budget = Budget::default();
    while budget.try_spend(&customer, &endpoint, 1, FailureCause::Crashed) {}
    (0..10).for_each(|_| budget.record_success(&customer, &endpoint));
    let retries =
        (0..100).filter(|_| budget.try_spend(&customer, &endpoint, 1, FailureCause::Crashed)).count();
    assert!((1..10).contains(&retries), "{retries}");
}

#[test]
fn customers_have_separate_budgets() {
    let (customer, endpoint) = names();
    let mut budget = Budget::default();
    while budget.try_spend(&customer, &endpoint, 1, FailureCause::Crashed) {}
    assert!(budget.try_spend(&"grants".into(), &"other".into(), 1, FailureCause::Crashed));
}

#[test]
fn engine_errors_and_last_attempts_are_not_retried() {
    let (customer, endpoint) = names();
    let mut budget = Budget::default();
    assert!(!budget.try_spend(&customer, &endpoint, 1, FailureCause::Failed));
    assert!(!budget.try_spend(&customer, &endpoint, MAX_ATTEMPTS, FailureCause::Crashed));
    assert!(budget.is_empty());
}
