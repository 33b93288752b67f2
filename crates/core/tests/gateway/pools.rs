//! The split between endpoints that read and endpoints that make tokens.

use std::{sync::LazyLock, time::Duration};

use tarragonhill_core::gateway::{
    directory::{Directory, Endpoint, Stage},
    forecast::{Forecasts, Size},
    lease::{Claim, HANDOVER_DELAY, LEASE_DURATION, Snapshot, claimable_version},
    load::Loads,
    pools::{Order, Pools, ServiceInfo},
};

use crate::{SMALL, Sheet, at, endpoint, engine, gone, learned, row};

fn directory(prefill: usize, decode: usize) -> Directory {
    let mut directory = Directory::default();
    let stages =
        std::iter::repeat_n(Stage::Prefill, prefill).chain(std::iter::repeat_n(Stage::Decode, decode));
    let rows = stages.enumerate().map(|(index, stage)| {
        let address = format!("127.0.0.1:{}", index + 1).parse().expect("an address");
        row(index as u64 + 1, Endpoint { address, ..endpoint(&format!("e-{index:02}"), stage) })
    });
    directory.update(at(0), 100, rows.collect());
    directory
}

/// Has pools see a request.
fn note(pools: &mut Pools, now: u64, prompt: u64, expected_output: u64) {
    pools.record_request(
        at(now),
        &"drafting".into(),
        &engine(),
        Size { prompt, expected_output, max_output: expected_output },
    );
}

/// What the pools of the service should do, with its engines known.
fn next(pools: &mut Pools, now: u64, directory: &Directory, rank: u32) -> Option<Order> {
    static FORECASTS: LazyLock<Forecasts> = LazyLock::new(|| learned(SMALL));
    next_at(pools, now, directory, rank, &FORECASTS)
}

/// The same with what was seen of the engines.
fn next_at(
    pools: &mut Pools,
    now: u64,
    directory: &Directory,
    rank: u32,
    forecasts: &Forecasts,
) -> Option<Order> {
    let forecast = forecasts.service("drafting");
    let info = ServiceInfo { name: &"drafting".into(), engine: &engine(), forecast: &forecast };
    pools.next_order(at(now), &info, directory, &Loads::default(), rank)
}

/// Plays 60 s of requests of one size and carries out every order; gives the readers at the end and
/// the orders given.
fn play(directory: &mut Directory, prompt: u64, expected_output: u64) -> (usize, Vec<Order>) {
    let mut pools = Pools::default();
    let mut orders = Vec::new();
    for now in (0..60_000).step_by(100) {
        note(&mut pools, now, prompt, expected_output);
        let Some(order) = next(&mut pools, now, directory, 0) else { continue };
        let changed = Endpoint { stage: order.stage, ..Endpoint::clone(&order.endpoint) };
        directory.update(at(now), 1_000 + now, vec![row(1_000 + now, changed.clone())]);
        pools.confirm(&changed);
        orders.push(order);
    }
    let readers = directory.all().filter(|endpoint| endpoint.stage == Stage::Prefill).count();
    (readers, orders)
}

/// Five endpoints of twelve read prompts at a third of their load, while requests wait for memory at
/// the other seven: the operator's split does not fit what callers send.
#[test]
fn endpoints_move_to_where_the_work_is() {
    let (readers, orders) = play(&mut directory(5, 7), 5_000, 700);
    assert_eq!((readers, orders.len()), (3, 2));
    // Long prompts and short answers call for the opposite.
    let (readers, _) = play(&mut directory(2, 10), 10_000, 50);
    assert!(readers >= 5, "{readers}");
}

#[test]
fn a_split_that_fits_is_left_alone() {
    let (_, orders) = play(&mut directory(3, 9), 5_000, 700);
    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn one_of_each_always_stays() {
    let (readers, _) = play(&mut directory(2, 1), 100, 5_000);
    assert_eq!(readers, 1);
    let (readers, _) = play(&mut directory(1, 2), 50_000, 1);
    assert_eq!(readers, 2);
}

#[test]
fn nothing_moves_before_enough_was_seen() {
    let (mut pools, directory) = (Pools::default(), directory(5, 7));
    note(&mut pools, 0, 5_000, 700);
    assert_eq!(next(&mut pools, 10, &directory, 0), None);
}

/// Each entry sees other requests and works out another split. If any of them might order, the one
/// that is furthest off would: two of twelve endpoints were left to read prompts that way.
#[test]
fn only_the_first_entry_orders() {
    let (mut pools, directory) = (Pools::default(), directory(5, 7));
    for now in (0..20_000).step_by(100) {
        note(&mut pools, now, 5_000, 700);
        assert_eq!(next(&mut pools, now, &directory, 1), None);
    }
    assert!(next(&mut pools, 20_000, &directory, 0).is_some());
}

/// Callers expect long answers and get shorter ones; the readers that are left must still keep up with
/// a burst at twice the usual traffic.
#[test]
fn enough_stay_to_read_a_burst() {
    let (readers, _) = play(&mut directory(4, 8), 5_000, 860);
    assert_eq!(readers, 3);
}

#[test]
fn an_endpoint_under_change_takes_no_work_here_nor_at_the_others() {
    let (mut pools, directory) = (Pools::default(), directory(5, 7));
    let order = (0..5_000).step_by(100).find_map(|now| {
        note(&mut pools, now, 5_000, 700);
        next(&mut pools, now, &directory, 0)
    });
    let order = order.expect("an order");
    assert!(pools.is_changing(at(5_000), &order.endpoint.id));
    let mut other = Pools::default();
    for (endpoint, change) in pools.changes(at(5_000)) {
        other.merge_change(at(5_000), &endpoint, change);
    }
    assert!(other.is_changing(at(5_100), &order.endpoint.id));
    assert!(!other.is_changing(at(60_000), &order.endpoint.id));
    pools.cancel(&order.endpoint.id);
    assert!(!pools.is_changing(at(5_200), &order.endpoint.id));
}

/// Readers are held up for a second and a half, and it looks as if five more were needed. A switch for it
/// stops an endpoint's work for six seconds and is undone by the next.
#[test]
fn what_lasts_for_a_moment_moves_nothing() {
    let (mut pools, directory) = (Pools::default(), directory(3, 9));
    let usual = learned(SMALL);
    let held_up = learned(Sheet { prompt_us: 80, ..SMALL });
    for now in (0..20_000).step_by(100) {
        note(&mut pools, now, 5_000, 700);
        let forecasts = if (10_000..11_500).contains(&now) { &held_up } else { &usual };
        assert_eq!(next_at(&mut pools, now, &directory, 0, forecasts), None, "{now}");
    }
}

/// A reader goes dark in a burst, its entry lapses, and three seconds later it is back. An endpoint that was
/// taken from making tokens meanwhile turned thirty runs away whose prompts had been read.
#[test]
fn a_reader_that_is_away_for_seconds_is_not_replaced() {
    let (mut pools, mut directory) = (Pools::default(), directory(3, 9));
    let reader = directory.all().next().expect("a reader").clone();
    for now in (0..20_000).step_by(100) {
        note(&mut pools, now, 5_000, 700);
        match now {
            10_000 => drop(directory.update(at(now), 200, vec![gone(200, &reader.id)])),
            13_000 => drop(directory.update(at(now), 300, vec![row(300, Endpoint::clone(&reader))])),
            _ => {}
        }
        directory.settle(at(now));
        assert_eq!(next(&mut pools, now, &directory, 0), None, "{now}");
    }
}

/// An entry that holds the right to order endpoints is suspended, another takes over, and the first
/// wakes up: for a moment both would give orders, and endpoints cannot tell who is right.
#[test]
fn a_claim_passes_on_only_after_the_last_order_under_it() {
    let claim = |holder: &str, asked_ms| Claim { holder: holder.into(), asked_ms, version: 7 };
    let snapshot = |claim, now_ms| Snapshot { claim, now_ms };
    assert_eq!(claimable_version(&snapshot(None, 50), "a"), Some(0));
    assert_eq!(claimable_version(&snapshot(Some(claim("a", 1_000)), 1_001), "a"), Some(7));
    let passes = 1_000 + (LEASE_DURATION + HANDOVER_DELAY).as_millis() as u64;
    assert_eq!(claimable_version(&snapshot(Some(claim("a", 1_000)), passes - 1), "b"), None);
    assert_eq!(claimable_version(&snapshot(Some(claim("a", 1_000)), passes), "b"), Some(7));
    assert!(HANDOVER_DELAY > Duration::from_secs(3));
}

/// Two entries saw the same excess one after the other, and both moved an endpoint for it: the second
/// counted the first one's as unmoved until the list showed it.
#[test]
fn a_change_that_another_entry_ordered_counts() {
    let directory = directory(4, 8);
    let (mut first, mut second) = (Pools::default(), Pools::default());
    let mut moved = 0;
    for now in (0..20_000).step_by(100) {
        for pools in [&mut first, &mut second] {
            note(pools, now, 5_000, 700);
        }
        moved += usize::from(next(&mut first, now, &directory, 0).is_some());
        for (endpoint, change) in first.changes(at(now)) {
            second.merge_change(at(now), &endpoint, change);
        }
        moved += usize::from(next(&mut second, now, &directory, 0).is_some());
    }
    assert_eq!(moved, 1);
}
