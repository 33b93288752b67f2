//! Tests of the split between prefill and decode endpoints, and of the lease on stage changes.

use std::{
    sync::{Arc, LazyLock},
    time::Duration,
};

use tarragonhill_core::gateway::{
    catalog::Engine,
    directory::{Directory, Endpoint, Stage},
    forecast::{Forecast, Forecasts, Size},
    lease::{Claim, HANDOVER_DELAY, LEASE_DURATION, Status, claimable_version},
    load::Loads,
    pools::{Demand, Order, Pools, Scope, ServiceInfo},
    position::Position,
};

use crate::{SMALL, Speed, at, endpoint, engine, position, removed_row, row, trained};

static ENGINE: LazyLock<Engine> = LazyLock::new(engine);

fn directory(prefill: usize, decode: usize) -> Directory {
    let mut directory = Directory::default();
    let stages =
        std::iter::repeat_n(Stage::Prefill, prefill).chain(std::iter::repeat_n(Stage::Decode, decode));
    let rows = stages.enumerate().map(|(index, stage)| {
        let address = format!("127.0.0.1:{}", index + 1).parse().expect("an address");
        row(index as u64 + 1, Endpoint { address, ..endpoint(&format!("e-{index:02}"), stage) })
    });
    directory.update(at(0), position(100), rows.collect());
    directory
}

fn record_request(pools: &mut Pools, now: u64, prompt: u64, expected_output: u64) {
    pools.record_request(
        at(now),
        &"drafting".into(),
        &engine(),
        Size { prompt, expected_output, max_output: expected_output },
    );
}

/// Returns the next order, with the forecasts of a [`SMALL`] engine.
fn next_order(pools: &mut Pools, now: u64, directory: &Directory, rank: u32) -> Option<Order> {
    static FORECASTS: LazyLock<Forecasts> = LazyLock::new(|| trained(SMALL));
    next_order_with(pools, now, directory, rank, &FORECASTS)
}

fn next_order_with(
    pools: &mut Pools,
    now: u64,
    directory: &Directory,
    rank: u32,
    forecasts: &Forecasts,
) -> Option<Order> {
    let forecast = forecasts.service("drafting");
    let name = "drafting".into();
    let info = info(&name, &forecast, Scope::Replica);
    pools.next_order(at(now), &info, directory, &Loads::default(), rank)
}

fn info<'a>(name: &'a Arc<str>, forecast: &'a Forecast, scope: Scope) -> ServiceInfo<'a> {
    ServiceInfo { name, engine: &ENGINE, forecast, scope }
}

/// Simulates 60 s of requests of one size and carries out every order. Returns the final number of
/// prefill endpoints, and the orders.
fn simulate(directory: &mut Directory, prompt: u64, expected_output: u64) -> (usize, Vec<Order>) {
    let mut pools = Pools::default();
    let mut orders = Vec::new();
    for now in (0..60_000).step_by(100) {
        record_request(&mut pools, now, prompt, expected_output);
        let Some(order) = next_order(&mut pools, now, directory, 0) else { continue };
        let changed = Endpoint { stage: order.stage, ..Endpoint::clone(&order.endpoint) };
        directory.update(at(now), position(1_000 + now), vec![row(1_000 + now, changed.clone())]);
        pools.confirm(&changed);
        orders.push(order);
    }
    let prefill_count = directory.all().filter(|endpoint| endpoint.stage == Stage::Prefill).count();
    (prefill_count, orders)
}

/// Prefill endpoints must not stay mostly idle while requests are queued for memory at decode
/// endpoints.
#[test]
fn endpoints_move_to_the_pool_with_more_work() {
    let (prefill_count, orders) = simulate(&mut directory(5, 7), 5_000, 700);
    assert_eq!((prefill_count, orders.len()), (3, 2));
    // Long prompts and short outputs need the opposite split.
    let (prefill_count, _) = simulate(&mut directory(2, 10), 10_000, 50);
    assert!(prefill_count >= 5, "{prefill_count}");
}

#[test]
fn a_balanced_split_does_not_change() {
    let (_, orders) = simulate(&mut directory(3, 9), 5_000, 700);
    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn each_pool_keeps_at_least_one_endpoint() {
    let (prefill_count, _) = simulate(&mut directory(2, 1), 100, 5_000);
    assert_eq!(prefill_count, 1);
    let (prefill_count, _) = simulate(&mut directory(1, 2), 50_000, 1);
    assert_eq!(prefill_count, 2);
}

#[test]
fn no_endpoint_moves_before_enough_requests_were_recorded() {
    let (mut pools, directory) = (Pools::default(), directory(5, 7));
    record_request(&mut pools, 0, 5_000, 700);
    assert_eq!(next_order(&mut pools, 10, &directory, 0), None);
}

/// Each replica receives other requests. If any of them could order changes, the least accurate
/// estimate would decide.
#[test]
fn only_the_first_replica_orders_changes() {
    let (mut pools, directory) = (Pools::default(), directory(5, 7));
    for now in (0..20_000).step_by(100) {
        record_request(&mut pools, now, 5_000, 700);
        assert_eq!(next_order(&mut pools, now, &directory, 1), None);
    }
    assert!(next_order(&mut pools, 20_000, &directory, 0).is_some());
}

/// A split without spare prefill capacity would build up a backlog in a burst.
#[test]
fn the_prefill_pool_keeps_capacity_for_a_burst() {
    let (prefill_count, _) = simulate(&mut directory(4, 8), 5_000, 860);
    assert_eq!(prefill_count, 3);
}

#[test]
fn an_endpoint_being_changed_gets_no_work_from_any_replica() {
    let (mut pools, directory) = (Pools::default(), directory(5, 7));
    let order = (0..5_000).step_by(100).find_map(|now| {
        record_request(&mut pools, now, 5_000, 700);
        next_order(&mut pools, now, &directory, 0)
    });
    let order = order.expect("an order");
    assert!(pools.is_changing(at(5_000), &order.endpoint.id));
    let mut other = Pools::default();
    for (endpoint, change) in pools.changes(at(5_000)) {
        other.record_peer_change(at(5_000), &endpoint, change);
    }
    assert!(other.is_changing(at(5_100), &order.endpoint.id));
    assert!(!other.is_changing(at(60_000), &order.endpoint.id));
    pools.cancel(at(5_200), &order.endpoint.id);
    assert!(!pools.is_changing(at(5_200), &order.endpoint.id));
}

/// Guards against peers that use an endpoint no more although its order was refused.
#[test]
fn a_refused_order_is_told_to_peers() {
    let directory = directory(1, 11);
    let mut pools = Pools::default();
    let order = (0..60_000).step_by(100).find_map(|now| {
        record_request(&mut pools, now, 9_000, 50);
        Some((now, next_order(&mut pools, now, &directory, 0)?))
    });
    let (ordered, order) = order.expect("an order");
    let mut peer = Pools::default();
    let mut tell = |pools: &Pools, now| {
        for (endpoint, change) in pools.changes(at(now)) {
            peer.record_peer_change(at(now), &endpoint, change);
        }
        peer.is_changing(at(now), &order.endpoint.id)
    };
    assert!(tell(&pools, ordered + 100));
    pools.cancel(at(ordered + 200), &order.endpoint.id);
    assert!(!tell(&pools, ordered + 300));
    assert!(pools.changes(at(ordered + 3_200)).is_empty());
}

/// A change stops an endpoint's work for seconds, so a short slowdown must not trigger one.
#[test]
fn a_short_imbalance_moves_no_endpoint() {
    let (mut pools, directory) = (Pools::default(), directory(3, 9));
    let normal = trained(SMALL);
    let slow = trained(Speed { prompt_us: 80, ..SMALL });
    for now in (0..20_000).step_by(100) {
        record_request(&mut pools, now, 5_000, 700);
        let forecasts = if (10_000..11_500).contains(&now) { &slow } else { &normal };
        assert_eq!(next_order_with(&mut pools, now, &directory, 0, forecasts), None, "{now}");
    }
}

/// A decode endpoint that changes rejects runs whose prompts were already processed, so an outage
/// of a few seconds must not trigger a change.
#[test]
fn a_prefill_endpoint_missing_for_seconds_is_not_replaced() {
    let (mut pools, mut directory) = (Pools::default(), directory(3, 9));
    let removed = directory.all().next().expect("a prefill endpoint").clone();
    for now in (0..20_000).step_by(100) {
        record_request(&mut pools, now, 5_000, 700);
        match now {
            10_000 => drop(directory.update(at(now), position(200), vec![removed_row(200, &removed.id)])),
            13_000 => {
                drop(directory.update(at(now), position(300), vec![row(300, Endpoint::clone(&removed))]))
            }
            _ => {}
        }
        directory.expire_lapsed(at(now));
        assert_eq!(next_order(&mut pools, now, &directory, 0), None, "{now}");
    }
}

fn claim(holder: &str, asked_ms: u64, era: Option<u64>) -> Claim {
    Claim { holder: holder.into(), asked_ms, version: 7, era }
}

/// Returns the lease as read in era 2.
fn status(claim: Option<Claim>, now_ms: u64) -> Status {
    Status { claim, now_ms, era: 2 }
}

/// If another replica took over too early, a suspended holder that resumes could send orders too.
#[test]
fn the_lease_passes_to_another_replica_only_after_it_has_expired() {
    let claim = |holder: &str, asked_ms| claim(holder, asked_ms, Some(2));
    assert_eq!(claimable_version(&status(Some(claim("a", 1_000)), 1_001), "a", Duration::ZERO), Some(7));
    let expiry = 1_000 + (LEASE_DURATION + HANDOVER_DELAY).as_millis() as u64;
    let claimable = |now_ms| claimable_version(&status(Some(claim("a", 1_000)), now_ms), "b", Duration::ZERO);
    assert_eq!(claimable(expiry - 1), None);
    assert_eq!(claimable(expiry), Some(7));
    assert!(HANDOVER_DELAY > Duration::from_secs(3));
}

/// Guards against a second holder because the store has come back from a copy that lacks the first.
#[test]
fn a_lease_that_a_copy_may_lack_is_taken_only_after_it_has_expired() {
    let expiry = LEASE_DURATION + HANDOVER_DELAY;
    let just_before = expiry - Duration::from_millis(1);
    for (found, version) in
        [(None, 0), (Some(claim("a", 1_000, Some(1))), 7), (Some(claim("b", 1_000, Some(1))), 7)]
    {
        let status = status(found, 90_000);
        assert_eq!(claimable_version(&status, "b", just_before), None, "{status:?}");
        assert_eq!(claimable_version(&status, "b", expiry), Some(version), "{status:?}");
    }
    // Replicas that know nothing of eras write none.
    let unnamed = status(Some(claim("a", 1_000, None)), 1_001);
    assert_eq!(claimable_version(&unnamed, "b", expiry), None);
}

/// Guards against orders of a new era that endpoints refuse because of lower fencing tokens.
#[test]
fn fencing_tokens_grow_from_era_to_era() {
    let positions = [(0, 900), (1, 901), (2, 30), (2, 31), (3, 1)];
    let tokens = positions.map(|(era, version)| Position::new(era, version).fencing_token());
    assert!(tokens.is_sorted_by(|one, next| one < next), "{tokens:?}");
}

/// Two replicas must not both move an endpoint because of the same imbalance.
#[test]
fn changes_ordered_by_other_replicas_count() {
    let directory = directory(4, 8);
    let (mut first, mut second) = (Pools::default(), Pools::default());
    let mut moved = 0;
    for now in (0..20_000).step_by(100) {
        for pools in [&mut first, &mut second] {
            record_request(pools, now, 5_000, 700);
        }
        moved += usize::from(next_order(&mut first, now, &directory, 0).is_some());
        for (endpoint, change) in first.changes(at(now)) {
            second.record_peer_change(at(now), &endpoint, change);
        }
        moved += usize::from(next_order(&mut second, now, &directory, 0).is_some());
    }
    assert_eq!(moved, 1);
}

/// The order could not be sent, and no other endpoint would be moved until the pause is over.
#[test]
fn an_endpoint_that_wants_no_requests_is_not_ordered_to_change_its_stage() {
    let directory = directory(10, 2);
    let mut loads = Loads::default();
    loads.backoffs.record(at(0), &"e-00".into(), at(60_000));
    let forecasts = trained(SMALL);
    let forecast = forecasts.service("drafting");
    let name = "drafting".into();
    let info = info(&name, &forecast, Scope::Replica);
    let mut pools = Pools::default();
    let order = (0..20_000).step_by(100).find_map(|now| {
        record_request(&mut pools, now, 500, 5_000);
        pools.next_order(at(now), &info, &directory, &loads, 0)
    });
    assert_eq!(order.expect("an order").endpoint.id, "e-01".into());
}

/// Returns a directory with this number of endpoints of each software version and stage.
fn versions(pools: &[(&str, Stage, usize)]) -> Directory {
    let mut directory = Directory::default();
    let endpoints =
        pools.iter().flat_map(|(version, stage, count)| std::iter::repeat_n((*version, *stage), *count));
    let rows = endpoints.enumerate().map(|(index, (version, stage))| {
        let address = format!("127.0.0.1:{}", index + 1).parse().expect("an address");
        let endpoint = endpoint(&format!("e-{index:02}"), stage);
        row(index as u64 + 1, Endpoint { address, software_version: version.into(), ..endpoint })
    });
    directory.update(at(0), position(100), rows.collect());
    directory
}

/// Guards against versions whose prompts or streams have no endpoint, because the only one was idle and changed its stage.
#[test]
fn no_version_loses_its_last_endpoint_of_a_stage() {
    let mut directory = versions(&[
        ("v1", Stage::Prefill, 4),
        ("v1", Stage::Decode, 3),
        ("v2", Stage::Prefill, 1),
        ("v2", Stage::Decode, 2),
    ]);
    let (_, orders) = simulate(&mut directory, 2_000, 2_000);
    assert!(!orders.is_empty());
    for version in ["v1", "v2"] {
        for stage in [Stage::Prefill, Stage::Decode] {
            let mut serving = directory.serving("drafting");
            let has_stage =
                serving.any(|endpoint| &*endpoint.software_version == version && endpoint.stage == stage);
            assert!(has_stage, "{version} has no {stage} endpoint after {orders:?}");
        }
    }
}

/// Guards against versions that read their prompts at their decode endpoints although others have spare ones.
#[test]
fn a_version_without_a_prefill_endpoint_gets_the_next_one() {
    let mut directory =
        versions(&[("v1", Stage::Prefill, 1), ("v1", Stage::Decode, 6), ("v2", Stage::Decode, 3)]);
    let (_, orders) = simulate(&mut directory, 9_000, 50);
    assert_eq!(orders.first().map(|order| &*order.endpoint.software_version), Some("v2"));
}

/// Plays requests of which this replica gets one in 27, every 700 ms, and returns when the orders were given.
fn play_fleet(scope: Scope, directory: &mut Directory) -> Vec<u64> {
    let (forecasts, name) = (trained(SMALL), "drafting".into());
    let forecast = forecasts.service("drafting");
    let (mut pools, mut peer) = (Pools::default(), Pools::default());
    let mut ordered = Vec::new();
    for now in (0..20_000).step_by(100) {
        if now % 700 == 0 {
            record_request(&mut pools, now, 5_000, 860);
            (0..26).for_each(|_| record_request(&mut peer, now, 5_000, 860));
        }
        if now % 1_000 == 0 {
            pools.record_peer_demands(at(now), &"peer".into(), &peer.demands(at(now)));
        }
        let info = info(&name, &forecast, scope);
        let Some(order) = pools.next_order(at(now), &info, directory, &Loads::default(), 0) else { continue };
        let changed = Endpoint { stage: order.stage, ..Endpoint::clone(&order.endpoint) };
        directory.update(at(now), position(1_000 + now), vec![row(1_000 + now, changed.clone())]);
        pools.confirm(&changed);
        ordered.push(now);
    }
    ordered
}

/// Guards against a fleet in which no replica sees enough requests to correct the split before a burst is over.
#[test]
fn a_split_follows_the_demand_of_the_fleet_long_before_that_of_one_replica() {
    let fleet = play_fleet(Scope::Fleet, &mut directory(17, 33));
    let replica = play_fleet(Scope::Replica, &mut directory(17, 33));
    assert!(fleet.len() >= 4, "{fleet:?}");
    assert!(fleet.first() < Some(&5_000) && replica.first() > Some(&8_000), "{fleet:?}, {replica:?}");
}

/// Guards against demand of peers that have gone or were cut off long ago.
#[test]
fn demand_of_silent_and_expired_peers_does_not_count() {
    let (forecasts, name) = (trained(SMALL), "drafting".into());
    let forecast = forecasts.service("drafting");
    let info = info(&name, &forecast, Scope::Fleet);
    let mut pools = Pools::default();
    let demand = Demand { requests: 30.0, prompt: 150_000.0, endpoints: 3.0, endpoint_tokens: 2_000.0 };
    pools.record_peer_demands(at(0), &"peer".into(), &[(name.clone(), demand)].into());
    assert!(pools.prefill_target(at(4_900), &info, 12).is_some());
    assert!(pools.prefill_target(at(5_100), &info, 12).is_none());
    pools.record_peer_demands(at(6_000), &"peer".into(), &[(name.clone(), demand)].into());
    pools.remove_peer("peer");
    assert!(pools.prefill_target(at(6_100), &info, 12).is_none());
}
