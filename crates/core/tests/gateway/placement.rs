//! Where requests go.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::gateway::{
    digest::{Digest, Share},
    directory::{Directory, Endpoint, Stage},
    health::Outcome,
    load::Loads,
    placement::{View, spare},
};

use crate::{at, endpoint, engine, row};

fn directory(endpoints: Vec<Endpoint>) -> Directory {
    let mut directory = Directory::default();
    let rows = endpoints.into_iter().enumerate().map(|(index, endpoint)| row(index as u64 + 1, endpoint));
    directory.update(at(0), 100, rows.collect());
    directory
}

fn view<'a>(directory: &'a Directory, loads: &'a Loads, now: u64) -> View<'a> {
    View { now: at(now), directory, loads, zone: "zone-a" }
}

fn run(memory: u64) -> Share {
    Share { running: 1, memory, reading: 0 }
}

#[test]
fn a_run_goes_where_most_memory_is_left_over_all_entries() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode), endpoint("d-2", Stage::Decode)]);
    let mut loads = Loads::default();
    loads.take(at(0), &"d-1".into(), run(10_000));
    let place = |loads: &Loads, memory| {
        view(&directory, loads, 100)
            .decode("drafting", &engine(), memory, 0, &[])
            .map(|found| found.id.clone())
    };
    assert_eq!(place(&loads, 5_000), Some("d-2".into()));
    let shares = [("d-2".into(), run(30_000))].into();
    loads.heard(at(50), &Digest { name: "other".into(), shares, ..Digest::default() });
    assert_eq!(place(&loads, 5_000), Some("d-1".into()));
    assert_eq!(place(&loads, 50_001), None);
}

#[test]
fn a_late_request_leaves_room_for_those_on_time() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode)]);
    let mut loads = Loads::default();
    loads.take(at(0), &"d-1".into(), run(45_000));
    let place = |is_late| {
        let spare = spare(&engine(), is_late);
        view(&directory, &loads, 100).decode("drafting", &engine(), 5_000, spare, &[]).is_some()
    };
    assert!(place(false));
    assert!(!place(true));
}

#[test]
fn an_endpoint_that_refused_for_want_of_memory_is_passed_over_for_a_moment() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode)]);
    let mut loads = Loads::default();
    let lease = loads.take(at(0), &"d-1".into(), run(5_000));
    loads.give_back(at(10), &lease, Outcome::Full);
    let place = |now| view(&directory, &loads, now).decode("drafting", &engine(), 5_000, 0, &[]);
    assert!(place(20).is_none());
    assert!(place(200).is_some());
}

#[test]
fn a_prompt_is_read_near_its_run_unless_that_means_waiting() {
    let far = Endpoint { zone: "zone-b".into(), ..endpoint("p-2", Stage::Prefill) };
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), far]);
    let mut loads = Loads::default();
    let place = |loads: &Loads| {
        view(&directory, loads, 10).prefill("drafting", "zone-a", &[]).map(|found| found.id.clone())
    };
    assert_eq!(place(&loads), Some("p-1".into()));
    let reading = Share { reading: 8_000, ..Share::default() };
    loads.take(at(0), &"p-1".into(), reading);
    assert_eq!(place(&loads), Some("p-2".into()));
}

/// An endpoint fails two requests in five while its health check is good. It answers failures
/// faster than its neighbours answer requests, so the least loaded one would be the broken one.
#[test]
fn an_endpoint_that_fails_more_than_its_neighbours_is_left_out() {
    let directory = directory(vec![endpoint("w-1", Stage::Whole), endpoint("w-2", Stage::Whole)]);
    let mut loads = Loads::default();
    for index in 0..20 {
        for (id, took, fails) in [("w-1", 2, index % 5 < 2), ("w-2", 20, false)] {
            let lease = loads.take(at(index * 30), &id.into(), Share { running: 1, ..Share::default() });
            let outcome = Outcome::Answered(Duration::from_millis(took));
            loads.give_back(at(index * 30 + took), &lease, if fails { Outcome::Failed } else { outcome });
        }
        if index > 10 {
            let found = view(&directory, &loads, index * 30 + 21).whole("drafting", &[]);
            let failing = loads.get("w-1").map(|load| load.health.failing(at(index * 30 + 21)));
            if failing > Some(0.3) {
                assert_eq!(found.map(|found| found.id.clone()), Some(Arc::from("w-2")));
            }
        }
    }
    let last = loads.get("w-1").map(|load| load.health.failing(at(571)));
    assert!(last > Some(0.1), "{last:?}");
}

#[test]
fn endpoints_that_failed_a_request_are_not_asked_again() {
    let directory = directory(vec![endpoint("w-1", Stage::Whole), endpoint("w-2", Stage::Whole)]);
    let loads = Loads::default();
    let avoid = ["w-1".into()];
    let found = view(&directory, &loads, 0).whole("drafting", &avoid);
    assert_eq!(found.map(|found| found.id.clone()), Some("w-2".into()));
}
