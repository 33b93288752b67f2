//! Tests of the limit on requests to cold endpoints, which holds for all replicas together.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use quickcheck::{Gen, QuickCheck, TestResult};
use tarragonhill_core::{
    Time,
    gateway::{
        cold::{Tolerance, share},
        throttle::{MAX_DURATION, Roster, Throttle, Throttles},
    },
};

use crate::at;

const RATE: f64 = 8.6;
const TOLERANCE: Tolerance = Tolerance { factor: 1.5, slack: 5.0 };
/// Requests in one second at which a cold endpoint may crash, from `RATE` and `TOLERANCE`.
const LIMIT: f64 = 17.9;
const FLEETS: [usize; 4] = [1, 24, 68, 300];
const ENDPOINT: &str = "i-1";

fn name(index: usize) -> Arc<str> {
    format!("replica-{index:03}").into()
}

/// Returns the roster of a replica that has read the store when it listed the first `listed` replicas.
fn roster(own: usize, listed: usize) -> Roster {
    let mut roster = Roster::new(name(own));
    for index in 0..listed {
        roster.add(&name(index));
    }
    roster.mark_read();
    roster
}

fn cold(until: Time, interval: Option<Duration>) -> Throttle {
    Throttle::new(until, interval)
}

/// Returns the most requests that arrive in any second if each replica sends whenever its list allows.
fn busiest_second(intervals: &[Duration]) -> usize {
    let end = at(5_000);
    let mut sends: Vec<Time> = Vec::new();
    for interval in intervals {
        let mut endpoints = Throttles::default();
        let id: Arc<str> = ENDPOINT.into();
        endpoints.extend(at(0), &id, cold(end, Some(*interval)));
        let mut now = at(0);
        while now < end {
            if endpoints.wait(now, ENDPOINT) == Some(Duration::ZERO) {
                sends.extend(endpoints.take(now, &id));
            }
            now = now.plus(Duration::from_millis(1));
        }
    }
    sends.sort();
    let within = |start: usize| {
        sends[start..].iter().take_while(|at| at.since(sends[start]) <= Duration::from_secs(1)).count()
    };
    (0..sends.len()).map(within).max().unwrap_or(0)
}

/// Returns the intervals of those of the replicas that own the endpoint by their rosters.
fn owners_intervals(rosters: &[Roster]) -> Vec<Duration> {
    let share = share(RATE, TOLERANCE).expect("a share");
    let owners = rosters.iter().filter(|roster| roster.is_owner(ENDPOINT, share.owners));
    owners.map(|_| share.interval).collect()
}

/// Guards against more requests than a cold endpoint bears from a fleet that knows itself.
#[test]
fn the_owners_of_a_cold_endpoint_stay_within_its_limit() {
    for size in FLEETS {
        let rosters: Vec<Roster> = (0..size).map(|own| roster(own, size)).collect();
        let intervals = owners_intervals(&rosters);
        let busiest = busiest_second(&intervals);
        assert_eq!(intervals.len(), size.min(4), "{size} replicas");
        assert!(busiest as f64 <= LIMIT, "{size} replicas: {busiest} requests in one second");
        // The endpoint must not stay unused either.
        assert!(size < 4 || busiest as f64 >= LIMIT / 4.0, "{size} replicas: {busiest} requests");
    }
}

/// Guards against a share of the rate for each replica: all of them may send their first request in the same second.
#[test]
fn an_equal_share_for_each_replica_would_exceed_the_limit_of_a_large_fleet() {
    for (size, holds) in [(1, true), (24, false), (68, false), (300, false)] {
        let intervals = vec![Duration::from_secs_f64(size as f64 / RATE); size];
        assert_eq!(busiest_second(&intervals) as f64 <= LIMIT, holds, "{size} replicas");
    }
}

/// Guards against owners that add up beyond the limit while replicas are cut off and the fleet changes.
#[test]
fn a_cut_and_growing_fleet_stays_within_the_limit() {
    fn holds(size: usize, added: u8, cut: Vec<bool>, removed: Vec<u8>) -> TestResult {
        let size = FLEETS[size % FLEETS.len()];
        let grown = size + usize::from(added);
        let is_cut = |index: usize| index < size && cut.get(index).copied().unwrap_or(false);
        // Those that are cut off keep the list from before; the others have read the new one. Lists still name the
        // removed replicas, which send nothing.
        let removed: BTreeSet<usize> = removed.into_iter().map(usize::from).collect();
        let alive = (0..grown).filter(|index| !removed.contains(index));
        let rosters: Vec<Roster> =
            alive.map(|own| roster(own, if is_cut(own) { size } else { grown })).collect();
        let busiest = busiest_second(&owners_intervals(&rosters));
        TestResult::from_bool(busiest as f64 <= LIMIT)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 9))
        .tests(60)
        .quickcheck(holds as fn(usize, u8, Vec<bool>, Vec<u8>) -> TestResult);
}

/// Guards against a replica that owns every cold endpoint because its list of replicas is incomplete.
#[test]
fn a_replica_that_has_not_read_the_store_owns_nothing() {
    let mut roster = Roster::new("own".into());
    assert!(!roster.is_owner(ENDPOINT, 4));
    roster.mark_read();
    assert!(roster.is_owner(ENDPOINT, 4));
}

/// Guards against shares that exceed small or odd limits.
#[test]
fn shares_keep_to_any_declared_limit() {
    fn keeps(rate: f64, factor: f64, slack: f64) -> TestResult {
        let tolerance = Tolerance { factor, slack };
        let most = rate.max(0.0) * factor.max(0.0) + slack.max(0.0);
        if !most.is_finite() || most > 200.0 {
            return TestResult::discard();
        }
        let Some(share) = share(rate, tolerance) else { return TestResult::passed() };
        // Two groups of replicas may each name their owners.
        let busiest = busiest_second(&vec![share.interval; share.owners * 2]);
        TestResult::from_bool(rate > 0.0 && busiest as f64 <= most)
    }
    for (rate, factor, slack) in
        [(8.6, 1.5, 5.0), (1.0, 1.0, 1.0), (0.3, 1.5, 0.0), (60.0, 1.2, 3.0), (3.0, 1.0, 0.0)]
    {
        assert!(!keeps(rate, factor, slack).is_failure(), "{rate} {factor} {slack}");
    }
    assert_eq!(share(0.0, TOLERANCE), None);
    assert_eq!(share(-4.0, TOLERANCE), None);
    assert_eq!(share(f64::NAN, TOLERANCE), None);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 3))
        .tests(200)
        .quickcheck(keeps as fn(f64, f64, f64) -> TestResult);
}

/// Guards against a row from before the last start that makes a cold endpoint look warm.
#[test]
fn an_endpoint_stays_cold_for_the_longest_time_reported() {
    let (id, mut endpoints): (Arc<str>, _) = (ENDPOINT.into(), Throttles::default());
    endpoints.extend(at(0), &id, cold(at(3_000), None));
    endpoints.extend(at(100), &id, cold(at(200), None));
    assert!(endpoints.get(at(2_999), ENDPOINT).is_some());
    assert!(endpoints.get(at(3_000), ENDPOINT).is_none());
}

/// Guards against an endpoint that is never used again because its row claims to be cold for years.
#[test]
fn an_absurd_cold_time_is_cut_off() {
    let (id, mut endpoints): (Arc<str>, _) = (ENDPOINT.into(), Throttles::default());
    endpoints.extend(at(0), &id, cold(at(0).plus(Duration::MAX), None));
    assert!(endpoints.get(at(0).plus(MAX_DURATION), ENDPOINT).is_none());
}

/// Guards against a burst of requests after each change of the list of replicas.
#[test]
fn a_changed_interval_does_not_forget_the_last_request() {
    let (id, mut endpoints): (Arc<str>, _) = (ENDPOINT.into(), Throttles::default());
    let interval = Duration::from_millis(500);
    endpoints.extend(at(0), &id, cold(at(3_000), Some(interval)));
    assert_eq!(endpoints.take(at(0), &id), Some(at(0)));
    endpoints.update_intervals(|_, _| None);
    assert_eq!(endpoints.take(at(10), &id), None);
    endpoints.update_intervals(|_, _| Some(interval));
    assert_eq!(endpoints.wait(at(10), ENDPOINT), Some(Duration::from_millis(490)));
}
