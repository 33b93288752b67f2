//! Retry budgets.

use std::sync::Arc;

use tarragonhill_core::{
    message::FailureCause,
    retry::{Budget, MAX_ATTEMPTS},
};

fn names() -> (Arc<str>, Arc<str>) {
    ("faculty".into(), "decode".into())
}

/// Everything fails. Retries without a budget would multiply the load on what is left.
#[test]
fn retries_stop_when_everything_fails() {
    let (customer, endpoint) = names();
    let mut budget = Budget::default();
    let spent =
        (0..10_000).filter(|_| budget.try_spend(&customer, &endpoint, 1, FailureCause::Crashed)).count();
    assert!((20..=100).contains(&spent), "{spent}");
}

#[test]
fn success_earns_a_part_of_a_retry() {
    let (customer, endpoint) = names();
    let mut budget = Budget::default();
    while budget.try_spend(&customer, &endpoint, 1, FailureCause::Crashed) {}
    (0..10).for_each(|_| budget.record_success(&customer, &endpoint));
    let spent = (0..100).filter(|_| budget.try_spend(&customer, &endpoint, 1, FailureCause::Crashed)).count();
    assert!((1..10).contains(&spent), "{spent}");
}

#[test]
fn one_customer_cannot_spend_anothers_budget() {
    let (customer, endpoint) = names();
    let mut budget = Budget::default();
    while budget.try_spend(&customer, &endpoint, 1, FailureCause::Crashed) {}
    assert!(budget.try_spend(&"grants".into(), &"other".into(), 1, FailureCause::Crashed));
}

#[test]
fn errors_of_the_request_and_last_tries_are_not_retried() {
    let (customer, endpoint) = names();
    let mut budget = Budget::default();
    assert!(!budget.try_spend(&customer, &endpoint, 1, FailureCause::Failed));
    assert!(!budget.try_spend(&customer, &endpoint, MAX_ATTEMPTS, FailureCause::Crashed));
    assert!(budget.is_empty());
}
