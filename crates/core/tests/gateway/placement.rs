//! Tests of the selection of endpoints for requests.

use std::{
    collections::BTreeMap,
    sync::{Arc, LazyLock},
    time::Duration,
};

use tarragonhill_core::gateway::{
    digest::{Digest, Share},
    directory::{Directory, Endpoint, Stage},
    forecast::Forecasts,
    growth::Growth,
    health::Outcome,
    load::Loads,
    placement::{Filter, Partition, Prefill, Run, View, headroom},
    pools::Pools,
    throttle::Gate,
};

use crate::{SMALL, at, endpoint, engine, position, row, trained};

/// Target for the time to the first token.
const TTFT: Duration = Duration::from_millis(900);

fn directory(endpoints: Vec<Endpoint>) -> Directory {
    let mut directory = Directory::default();
    let rows = endpoints.into_iter().enumerate().map(|(index, endpoint)| row(index as u64 + 1, endpoint));
    directory.update(at(0), position(100), rows.collect());
    directory
}

fn view<'a>(directory: &'a Directory, loads: &'a Loads, now: u64) -> View<'a> {
    static GATE: LazyLock<Gate> = LazyLock::new(Gate::default);
    static POOLS: LazyLock<Pools> = LazyLock::new(Pools::default);
    static FORECASTS: LazyLock<Forecasts> = LazyLock::new(|| trained(SMALL));
    let partition = Partition { index: 0, count: 1 };
    View {
        now: at(now),
        directory,
        gate: &GATE,
        loads,
        pools: &POOLS,
        forecasts: &FORECASTS,
        zone: "zone-a",
        replica: "own",
        partition,
    }
}

/// Returns the ID of the selected endpoint, if any.
fn id(found: Prefill) -> Option<Arc<str>> {
    match found {
        Prefill::Endpoint(endpoint) => Some(endpoint.id.clone()),
        Prefill::Busy | Prefill::Unavailable => None,
    }
}

/// A run that uses `memory` tokens of KV cache.
fn run_of(memory: u64, headroom: u64) -> Run<'static> {
    Run { prompt: memory, growth: Growth::flat(memory), headroom, ttft_target: TTFT, ..Run::default() }
}

/// The load of one run that uses `memory` tokens of KV cache.
fn share_of(memory: u64) -> Share {
    Share { running: 1, memory, prefill_tokens: 0, growth: Growth::flat(memory) }
}

#[test]
fn a_run_goes_to_the_endpoint_with_the_most_free_memory() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode), endpoint("d-2", Stage::Decode)]);
    let mut loads = Loads::default();
    loads.acquire(at(0), &"d-1".into(), share_of(10_000));
    let place = |loads: &Loads, memory| {
        view(&directory, loads, 100)
            .pick_decode("drafting", &engine(), &run_of(memory, 0))
            .map(|found| found.id.clone())
    };
    assert_eq!(place(&loads, 5_000), Some("d-2".into()));
    let shares = [("d-2".into(), share_of(30_000))].into();
    loads.apply_digest(at(50), &Digest { name: "other".into(), shares, ..Digest::default() });
    assert_eq!(place(&loads, 5_000), Some("d-1".into()));
    assert_eq!(place(&loads, 50_001), None);
}

#[test]
fn a_late_request_leaves_headroom_for_requests_on_time() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode)]);
    let mut loads = Loads::default();
    loads.acquire(at(0), &"d-1".into(), share_of(45_000));
    let place = |is_late| {
        let headroom = headroom(&engine(), is_late);
        view(&directory, &loads, 100).pick_decode("drafting", &engine(), &run_of(5_000, headroom)).is_some()
    };
    assert!(place(false));
    assert!(!place(true));
}

#[test]
fn an_endpoint_out_of_memory_is_skipped_for_a_short_time() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode)]);
    let mut loads = Loads::default();
    let lease = loads.acquire(at(0), &"d-1".into(), share_of(5_000));
    loads.release(at(10), &lease, Outcome::Full);
    let place = |now| view(&directory, &loads, now).pick_decode("drafting", &engine(), &run_of(5_000, 0));
    assert!(place(20).is_none());
    assert!(place(200).is_some());
}

#[test]
fn prefill_stays_in_the_zone_unless_its_endpoint_has_a_backlog() {
    let far = Endpoint { zone: "zone-b".into(), ..endpoint("p-2", Stage::Prefill) };
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), far]);
    let mut loads = Loads::default();
    let place = |loads: &Loads| {
        id(view(&directory, loads, 10).pick_prefill("drafting", 5_000, TTFT, "zone-a", Filter::default()))
    };
    assert_eq!(place(&loads), Some("p-1".into()));
    let prefill = Share { prefill_tokens: 8_000, ..Share::default() };
    loads.acquire(at(0), &"p-1".into(), prefill);
    assert_eq!(place(&loads), Some("p-2".into()));
}

/// Completes `count` requests at an endpoint, of which `failed` fail.
fn complete(loads: &mut Loads, id: &str, count: u32, failed: u32) {
    for index in 0..count {
        let lease = loads.acquire(at(0), &id.into(), Share { running: 1, ..Share::default() });
        let success = Outcome::Responded(Duration::from_millis(20));
        loads.release(at(20), &lease, if index < count - failed { success } else { Outcome::Failed });
    }
}

/// A failing endpoint often responds fastest, so selection by response time alone would prefer it.
#[test]
fn an_endpoint_that_fails_more_than_others_is_skipped() {
    let directory = directory(vec![endpoint("w-1", Stage::Whole), endpoint("w-2", Stage::Whole)]);
    let mut loads = Loads::default();
    complete(&mut loads, "w-1", 8, 3);
    complete(&mut loads, "w-2", 8, 0);
    loads.acquire(at(20), &"w-2".into(), Share { running: 9, ..Share::default() });
    let found = view(&directory, &loads, 30).pick_whole("drafting", Filter::default());
    assert_eq!(found.map(|found| found.id.clone()), Some("w-2".into()));
}

/// A single replica gets few responses from an endpoint, so failures at one must count for all.
#[test]
fn an_endpoint_reported_as_failing_by_another_replica_is_skipped() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), endpoint("p-2", Stage::Prefill)]);
    let mut other = Loads::default();
    complete(&mut other, "p-1", 8, 3);
    let mut loads = Loads::default();
    let digest = Digest {
        name: "b".into(),
        failure_permille: other.local_failure_permille(at(30)),
        ..Digest::default()
    };
    loads.apply_digest(at(30), &digest);
    let found =
        view(&directory, &loads, 40).pick_prefill("drafting", 5_000, TTFT, "zone-a", Filter::default());
    assert_eq!(id(found), Some("p-2".into()));
}

#[test]
fn a_failing_endpoint_is_used_when_the_healthy_ones_are_full() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode), endpoint("d-2", Stage::Decode)]);
    let mut loads = Loads::default();
    complete(&mut loads, "d-1", 8, 3);
    let place = |loads: &Loads| {
        view(&directory, loads, 30)
            .pick_decode("drafting", &engine(), &run_of(5_000, 0))
            .map(|found| found.id.clone())
    };
    assert_eq!(place(&loads), Some("d-2".into()));
    loads.acquire(at(25), &"d-2".into(), share_of(58_000));
    assert_eq!(place(&loads), Some("d-1".into()));
}

#[test]
fn a_request_is_not_retried_at_an_endpoint_that_failed_it() {
    let directory = directory(vec![endpoint("w-1", Stage::Whole), endpoint("w-2", Stage::Whole)]);
    let loads = Loads::default();
    let avoid = ["w-1".into()];
    let found =
        view(&directory, &loads, 0).pick_whole("drafting", Filter { avoid: &avoid, ..Filter::default() });
    assert_eq!(found.map(|found| found.id.clone()), Some("w-2".into()));
}

/// With an unlimited backlog at the last prefill endpoint, every prompt would time out and be sent
/// to other endpoints as well.
#[test]
fn the_backlog_of_a_prefill_endpoint_is_limited() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill)]);
    let mut loads = Loads::default();
    let mut placed = 0;
    while let Prefill::Endpoint(found) =
        view(&directory, &loads, 10).pick_prefill("drafting", 5_000, TTFT, "zone-a", Filter::default())
    {
        loads.acquire(at(0), &found.id, Share { prefill_tokens: 5_000, ..Share::default() });
        placed += 1;
    }
    assert_eq!(placed, 5);
    assert_eq!(
        view(&directory, &loads, 10).pick_prefill("drafting", 5_000, TTFT, "zone-a", Filter::default()),
        Prefill::Busy
    );
    assert_eq!(
        view(&directory, &loads, 10).pick_prefill(
            "drafting",
            5_000,
            TTFT,
            "zone-a",
            Filter { avoid: &["p-1".into()], ..Filter::default() }
        ),
        Prefill::Unavailable
    );
}

/// A replica that hangs must not block prefill endpoints until its whole digest is stale.
#[test]
fn prompts_of_a_silent_replica_stop_counting_before_its_runs() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), endpoint("d-1", Stage::Decode)]);
    let mut loads = Loads::default();
    let prefill = Share { prefill_tokens: 30_000, ..Share::default() };
    let shares = [("p-1".into(), prefill), ("d-1".into(), share_of(30_000))].into();
    loads.apply_digest(at(0), &Digest { name: "frozen".into(), shares, ..Digest::default() });
    assert_eq!(
        view(&directory, &loads, 500).pick_prefill("drafting", 5_000, TTFT, "zone-a", Filter::default()),
        Prefill::Busy
    );
    assert_eq!(
        id(view(&directory, &loads, 700).pick_prefill("drafting", 5_000, TTFT, "zone-a", Filter::default())),
        Some("p-1".into())
    );
    // Its runs still count until the digest is stale.
    let place =
        |now| view(&directory, &loads, now).pick_decode("drafting", &engine(), &run_of(40_000, 0)).is_some();
    assert!(!place(2_900));
    assert!(place(3_100));
}

/// A hanging endpoint keeps its connections open, so only the age of its requests shows the
/// failure.
#[test]
fn a_prefill_endpoint_with_a_stalled_prompt_gets_no_more() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), endpoint("p-2", Stage::Prefill)]);
    let mut loads = Loads::default();
    let prefill = |tokens| Share { prefill_tokens: tokens, ..Share::default() };
    loads.acquire(at(0), &"p-1".into(), prefill(2_000));
    loads.acquire(at(900), &"p-2".into(), prefill(8_000));
    let place = |loads: &Loads, now| {
        id(view(&directory, loads, now).pick_prefill("drafting", 5_000, TTFT, "zone-a", Filter::default()))
    };
    assert_eq!(place(&loads, 700), Some("p-1".into()));
    assert_eq!(place(&loads, 901), Some("p-2".into()));
    // When all endpoints are stalled, they are tried again.
    assert_eq!(place(&loads, 1_800), Some("p-1".into()));
}

/// An endpoint that is about to change its stage rejects every prompt, and each rejection uses up
/// retry budget.
#[test]
fn a_prefill_endpoint_that_rejects_prompts_is_ejected() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), endpoint("p-2", Stage::Prefill)]);
    let mut loads = Loads::default();
    for now in [0, 10] {
        let lease =
            loads.acquire(at(now), &"p-1".into(), Share { prefill_tokens: 5_000, ..Share::default() });
        loads.release(at(now), &lease, Outcome::ReservationRejected);
    }
    loads.acquire(at(20), &"p-2".into(), Share { prefill_tokens: 8_000, ..Share::default() });
    let place = |now| {
        id(view(&directory, &loads, now).pick_prefill("drafting", 5_000, TTFT, "zone-a", Filter::default()))
    };
    assert_eq!(place(30), Some("p-2".into()));
    assert_eq!(place(300), Some("p-1".into()));
}

/// Two replicas must not use the same decode endpoint for prefill at the same time, which would
/// stall its runs twice.
#[test]
fn replicas_use_separate_decode_endpoints_for_prefill() {
    let directory = directory(
        ["d-1", "d-2", "d-3", "d-4"]
            .map(|id| endpoint(id, Stage::Decode))
            .into_iter()
            .chain([endpoint("p-1", Stage::Prefill)])
            .collect(),
    );
    let mut loads = Loads::default();
    loads.acquire(at(0), &"p-1".into(), Share { prefill_tokens: 30_000, ..Share::default() });
    let run = Run { target_gap: Duration::from_millis(300), ..run_of(5_000, 0) };
    let selected = |index| {
        let partition = Partition { index, count: 3 };
        let found = View { partition, ..view(&directory, &loads, 10) }.pick_pair("drafting", &engine(), &run);
        found.map(|found| (found.endpoint.id.clone(), found.prefill.is_none()))
    };
    assert_eq!(selected(1), Some(("d-2".into(), true)));
    assert_eq!(selected(2), Some(("d-3".into(), true)));
    // Other replicas may still count an endpoint that is unreachable from here.
    let lease = loads.acquire(at(0), &"d-1".into(), share_of(5_000));
    loads.release(at(0), &lease, Outcome::Unreachable);
    let partition = Partition { index: 1, count: 3 };
    let found = View { partition, ..view(&directory, &loads, 10) }.pick_pair("drafting", &engine(), &run);
    assert_eq!(found.map(|found| found.endpoint.id.clone()), Some("d-2".into()));
}

/// Two prompts in a row would delay the same event of a run twice.
#[test]
fn a_decode_endpoint_pauses_between_two_prefills() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode), endpoint("p-1", Stage::Prefill)]);
    let mut loads = Loads::default();
    loads.acquire(at(0), &"p-1".into(), Share { prefill_tokens: 30_000, ..Share::default() });
    let lease = loads.acquire(at(0), &"d-1".into(), Share { prefill_tokens: 5_000, ..share_of(5_000) });
    let run = Run { target_gap: Duration::from_millis(300), ..run_of(5_000, 0) };
    let is_placed =
        |loads: &Loads, now| view(&directory, loads, now).pick_pair("drafting", &engine(), &run).is_some();
    assert!(!is_placed(&loads, 10));
    loads.record_first_event(at(200), &lease, Duration::from_millis(120));
    assert!(!is_placed(&loads, 250));
    assert!(is_placed(&loads, 350));
}

/// An overloaded endpoint refuses faster than others respond, and each refusal uses up retry
/// budget.
#[test]
fn an_endpoint_that_refuses_requests_gets_fewer() {
    let directory = directory(vec![endpoint("w-1", Stage::Whole), endpoint("w-2", Stage::Whole)]);
    let mut loads = Loads::default();
    complete(&mut loads, "w-2", 3, 0);
    let lease = loads.acquire(at(20), &"w-1".into(), Share { running: 1, ..Share::default() });
    loads.release(at(21), &lease, Outcome::Refused);
    let place = |loads: &Loads, now| {
        view(&directory, loads, now).pick_whole("drafting", Filter::default()).map(|found| found.id.clone())
    };
    assert_eq!(place(&loads, 22), Some("w-2".into()));
    let lease = loads.acquire(at(200), &"w-1".into(), Share { running: 1, ..Share::default() });
    loads.release(at(201), &lease, Outcome::Refused);
    assert_eq!(place(&loads, 400), Some("w-2".into()));
}

/// In a burst, replicas that don't know each other's runs yet must not all select the endpoint with
/// the most free memory.
#[test]
fn replicas_unaware_of_each_other_spread_their_runs() {
    let ids: Vec<String> = (0..10).map(|index| format!("d-{index}")).collect();
    let directory = directory(ids.iter().map(|id| endpoint(id, Stage::Decode)).collect());
    let mut loads = Loads::default();
    loads.acquire(at(0), &"d-0".into(), share_of(1_000));
    let mut runs_by_endpoint: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for replica in 0..20 {
        let name = format!("entry-{replica}");
        let view = View { replica: &name, ..view(&directory, &loads, 10) };
        let found =
            view.pick_decode("drafting", &engine(), &run_of(7_000, 0)).expect("an endpoint with free memory");
        *runs_by_endpoint.entry(found.id.clone()).or_default() += 1;
    }
    // Each endpoint has memory for eight runs.
    assert!(runs_by_endpoint.values().all(|runs| *runs <= 8), "{runs_by_endpoint:?}");
    assert!(runs_by_endpoint.len() >= 5, "{runs_by_endpoint:?}");
}

#[test]
fn the_preference_does_not_outweigh_free_memory() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode), endpoint("d-2", Stage::Decode)]);
    let mut loads = Loads::default();
    loads.acquire(at(0), &"d-1".into(), share_of(20_000));
    for replica in 0..20 {
        let name = format!("entry-{replica}");
        let view = View { replica: &name, ..view(&directory, &loads, 10) };
        let found =
            view.pick_decode("drafting", &engine(), &run_of(7_000, 0)).expect("an endpoint with free memory");
        assert_eq!(&*found.id, "d-2");
    }
}

/// Guards against prompts of several replicas that queue at one idle endpoint while others stay idle.
#[test]
fn replicas_unaware_of_each_other_spread_their_prompts() {
    let names = ["p-1", "p-2", "p-3", "p-4", "p-5", "p-6"];
    let directory = directory(names.iter().map(|name| endpoint(name, Stage::Prefill)).collect());
    let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for number in 0..30 {
        let replica = format!("replica-{number}");
        let loads = Loads::default();
        let view = View { replica: &replica, ..view(&directory, &loads, 10) };
        let found = id(view.pick_prefill("drafting", 5_000, TTFT, "zone-a", Filter::default()));
        *counts.entry(found.expect("an endpoint")).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(most <= 10, "{counts:?}");
}

/// Guards against a preference for which a prompt waits behind another one.
#[test]
fn an_idle_prefill_endpoint_comes_before_a_preferred_busy_one() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), endpoint("p-2", Stage::Prefill)]);
    for number in 0..10 {
        let replica = format!("replica-{number}");
        for (busy, idle) in [("p-1", "p-2"), ("p-2", "p-1")] {
            let mut loads = Loads::default();
            loads.acquire(at(0), &busy.into(), Share { prefill_tokens: 5_000, ..Share::default() });
            let view = View { replica: &replica, ..view(&directory, &loads, 10) };
            let found = id(view.pick_prefill("drafting", 5_000, TTFT, "zone-a", Filter::default()));
            assert_eq!(found.as_deref(), Some(idle));
        }
    }
}

/// Otherwise decode endpoints would process all prompts at once, and their streams would stall.
#[test]
fn prompts_wait_while_all_prefill_endpoints_want_no_requests() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), endpoint("d-1", Stage::Decode)]);
    let mut loads = Loads::default();
    loads.backoffs.record(at(0), &"p-1".into(), at(1_000));
    assert_eq!(
        view(&directory, &loads, 10).pick_prefill("drafting", 4_000, TTFT, "zone-a", Filter::default()),
        Prefill::Busy
    );
}

fn of(version: &str, endpoint: Endpoint) -> Endpoint {
    Endpoint { software_version: version.into(), ..endpoint }
}

/// Guards against prefill results of one version in the memory of another one.
#[test]
fn prefill_and_decode_have_the_same_version() {
    let directory = directory(vec![
        of("v1", endpoint("d-1", Stage::Decode)),
        of("v2", endpoint("d-2", Stage::Decode)),
        of("v1", endpoint("p-1", Stage::Prefill)),
        of("v2", endpoint("p-2", Stage::Prefill)),
    ]);
    let mut loads = Loads::default();
    for busy in ["d-1", "d-2"] {
        let lease = loads.acquire(at(0), &busy.into(), share_of(40_000));
        let found = view(&directory, &loads, 10).pick_pair("drafting", &engine(), &run_of(5_000, 0));
        let found = found.expect("a pair");
        let prefill = found.prefill.expect("a prefill endpoint");
        assert_ne!(&*found.endpoint.id, busy);
        assert_eq!(found.endpoint.software_version, prefill.software_version);
        loads.release(at(10), &lease, Outcome::Abandoned);
    }
}

/// Guards against new versions that get all streams and read their prompts at half the speed.
#[test]
fn versions_without_a_prefill_endpoint_are_used_only_if_the_others_are_full() {
    let directory = directory(vec![
        of("v1", endpoint("d-1", Stage::Decode)),
        of("v2", endpoint("d-2", Stage::Decode)),
        of("v1", endpoint("p-1", Stage::Prefill)),
    ]);
    let mut loads = Loads::default();
    let place = |loads: &Loads| {
        let partition = Partition { index: 0, count: 1 };
        let view = View { partition, ..view(&directory, loads, 10) };
        let found = view.pick_pair("drafting", &engine(), &run_of(5_000, 0));
        found.map(|found| (found.endpoint.id.clone(), found.prefill.is_some()))
    };
    loads.acquire(at(0), &"d-1".into(), share_of(30_000));
    assert_eq!(place(&loads), Some(("d-1".into(), true)));
    loads.acquire(at(0), &"d-1".into(), share_of(29_000));
    assert_eq!(place(&loads), Some(("d-2".into(), false)));
}

/// Guards against streams that cannot be resumed because no prefill endpoint of their version is left.
#[test]
fn a_version_without_a_prefill_endpoint_takes_its_own_streams() {
    let directory = directory(vec![
        of("v1", endpoint("d-1", Stage::Decode)),
        of("v2", endpoint("d-2", Stage::Decode)),
        of("v1", endpoint("p-1", Stage::Prefill)),
    ]);
    let loads = Loads::default();
    let run = run_of(5_000, 0);
    let place = |version| {
        let filter = Filter { software_version: Some(version), ..Filter::default() };
        let found = view(&directory, &loads, 10).pick_pair("drafting", &engine(), &Run { filter, ..run });
        found.map(|found| (found.endpoint.id.clone(), found.prefill.is_some()))
    };
    assert_eq!(place("v2"), Some(("d-2".into(), false)));
    assert_eq!(place("v1"), Some(("d-1".into(), true)));
    assert_eq!(place("v3"), None);
}
