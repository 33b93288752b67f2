//! Tests of rolling restarts under load. `tarragonhill-bench restarts` runs more seeds.

use std::sync::LazyLock;

use tarragonhill_bench::platform::restarts::{History, Promise, run_all};

const SEEDS: [u64; 3] = [1, 2, 3];

static HISTORIES: LazyLock<Vec<History>> = LazyLock::new(|| run_all(&SEEDS).expect("the sites start"));

fn assert_kept(promise: Promise) {
    let violations: Vec<_> = HISTORIES.iter().flat_map(|history| history.violations(promise)).collect();
    let lines: Vec<_> = violations.iter().map(|violation| violation.to_string()).collect();
    assert!(violations.is_empty(), "{} violations\n{}", lines.len(), lines.join("\n"));
}

/// Otherwise its caller cannot know whether it has run.
#[test]
fn a_request_that_outlasts_the_grace_period_is_answered_before_its_gateway_ends() {
    assert_kept(Promise::Answered);
}

/// A request that is taken shortly before its gateway ends has no time to run.
#[test]
fn a_request_sent_after_the_drain_delay_reaches_no_endpoint_or_is_answered() {
    assert_kept(Promise::LateAnswered);
}

#[test]
fn a_response_is_not_cut_by_a_restart() {
    assert_kept(Promise::Complete);
}

#[test]
fn a_request_refused_during_restarts_has_not_run() {
    assert_kept(Promise::NotRun);
}

#[test]
fn a_request_that_is_not_idempotent_runs_at_most_once_during_restarts() {
    assert_kept(Promise::AtMostOnce);
}

#[test]
fn a_response_during_restarts_belongs_to_its_request() {
    assert_kept(Promise::OwnResponse);
}

#[test]
fn an_evacuated_zone_gets_no_requests_during_restarts() {
    assert_kept(Promise::Evacuated);
}

/// Guards against cold endpoints that crash because restarted gateways have forgotten what they sent.
#[test]
fn cold_endpoints_get_few_requests_during_restarts() {
    assert_kept(Promise::Cold);
}

/// Guards against restarted gateways that have forgotten the limits that endpoints named.
#[test]
fn limited_endpoints_get_few_requests_during_restarts() {
    assert_kept(Promise::Limited);
}

/// Without such requests, the other tests would show nothing.
#[test]
fn requests_are_sent_and_served_during_shutdowns() {
    for history in &*HISTORIES {
        let totals = history.totals();
        assert!(totals.during_shutdown > 0 && totals.succeeded > 0, "{totals:?}");
    }
}
