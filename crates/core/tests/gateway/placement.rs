//! Where requests go.

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
    placement::{Partition, Prefill, Run, View, headroom},
    pools::Pools,
};

use crate::{SMALL, at, endpoint, engine, learned, row};

/// Time to a first event that is on time.
const TARGET: Duration = Duration::from_millis(900);

fn directory(endpoints: Vec<Endpoint>) -> Directory {
    let mut directory = Directory::default();
    let rows = endpoints.into_iter().enumerate().map(|(index, endpoint)| row(index as u64 + 1, endpoint));
    directory.update(at(0), 100, rows.collect());
    directory
}

fn view<'a>(directory: &'a Directory, loads: &'a Loads, now: u64) -> View<'a> {
    static POOLS: LazyLock<Pools> = LazyLock::new(Pools::default);
    static FORECASTS: LazyLock<Forecasts> = LazyLock::new(|| learned(SMALL));
    let partition = Partition { index: 0, count: 1 };
    View {
        now: at(now),
        directory,
        loads,
        pools: &POOLS,
        forecasts: &FORECASTS,
        zone: "zone-a",
        entry: "own",
        partition,
    }
}

fn reader(found: Prefill) -> Option<Arc<str>> {
    match found {
        Prefill::Endpoint(endpoint) => Some(endpoint.id.clone()),
        Prefill::Busy | Prefill::Unavailable => None,
    }
}

fn need(memory: u64, headroom: u64) -> Run<'static> {
    Run { prompt: memory, growth: Growth::flat(memory), headroom, ttft_target: TARGET, ..Run::default() }
}

fn run(memory: u64) -> Share {
    Share { running: 1, memory, reading: 0, growth: Growth::flat(memory) }
}

#[test]
fn a_run_goes_where_most_memory_is_left_over_all_entries() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode), endpoint("d-2", Stage::Decode)]);
    let mut loads = Loads::default();
    loads.acquire(at(0), &"d-1".into(), run(10_000));
    let place = |loads: &Loads, memory| {
        view(&directory, loads, 100)
            .decode("drafting", &engine(), &need(memory, 0))
            .map(|found| found.id.clone())
    };
    assert_eq!(place(&loads, 5_000), Some("d-2".into()));
    let shares = [("d-2".into(), run(30_000))].into();
    loads.merge_digest(at(50), &Digest { name: "other".into(), shares, ..Digest::default() });
    assert_eq!(place(&loads, 5_000), Some("d-1".into()));
    assert_eq!(place(&loads, 50_001), None);
}

#[test]
fn a_late_request_leaves_room_for_those_on_time() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode)]);
    let mut loads = Loads::default();
    loads.acquire(at(0), &"d-1".into(), run(45_000));
    let place = |is_late| {
        let headroom = headroom(&engine(), is_late);
        view(&directory, &loads, 100).decode("drafting", &engine(), &need(5_000, headroom)).is_some()
    };
    assert!(place(false));
    assert!(!place(true));
}

#[test]
fn an_endpoint_that_refused_for_want_of_memory_is_passed_over_for_a_moment() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode)]);
    let mut loads = Loads::default();
    let lease = loads.acquire(at(0), &"d-1".into(), run(5_000));
    loads.release(at(10), &lease, Outcome::Full);
    let place = |now| view(&directory, &loads, now).decode("drafting", &engine(), &need(5_000, 0));
    assert!(place(20).is_none());
    assert!(place(200).is_some());
}

#[test]
fn a_prompt_is_read_near_its_run_unless_that_means_waiting() {
    let far = Endpoint { zone: "zone-b".into(), ..endpoint("p-2", Stage::Prefill) };
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), far]);
    let mut loads = Loads::default();
    let place =
        |loads: &Loads| reader(view(&directory, loads, 10).prefill("drafting", 5_000, TARGET, "zone-a", &[]));
    assert_eq!(place(&loads), Some("p-1".into()));
    let reading = Share { reading: 8_000, ..Share::default() };
    loads.acquire(at(0), &"p-1".into(), reading);
    assert_eq!(place(&loads), Some("p-2".into()));
}

/// Ends `count` requests at an endpoint, `failed` of them badly.
fn play(loads: &mut Loads, id: &str, count: u32, failed: u32) {
    for index in 0..count {
        let lease = loads.acquire(at(0), &id.into(), Share { running: 1, ..Share::default() });
        let good = Outcome::Answered(Duration::from_millis(20));
        loads.release(at(20), &lease, if index < count - failed { good } else { Outcome::Failed });
    }
}

/// An endpoint fails requests while its health check is good, and answers failures faster than its
/// neighbours answer requests: the one that is expected to answer first would be the broken one.
#[test]
fn an_endpoint_that_fails_more_than_its_neighbours_is_left_out() {
    let directory = directory(vec![endpoint("w-1", Stage::Whole), endpoint("w-2", Stage::Whole)]);
    let mut loads = Loads::default();
    play(&mut loads, "w-1", 8, 3);
    play(&mut loads, "w-2", 8, 0);
    loads.acquire(at(20), &"w-2".into(), Share { running: 9, ..Share::default() });
    let found = view(&directory, &loads, 30).whole("drafting", &[]);
    assert_eq!(found.map(|found| found.id.clone()), Some("w-2".into()));
}

/// Four entries share the traffic, so each sees few of an endpoint's answers; what one has found out
/// spares the others' requests.
#[test]
fn what_another_entry_found_failing_is_left_out_here_too() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), endpoint("p-2", Stage::Prefill)]);
    let mut other = Loads::default();
    play(&mut other, "p-1", 8, 3);
    let mut loads = Loads::default();
    let told = Digest { name: "b".into(), failing: other.local_failure_ratios(at(30)), ..Digest::default() };
    loads.merge_digest(at(30), &told);
    let found = view(&directory, &loads, 40).prefill("drafting", 5_000, TARGET, "zone-a", &[]);
    assert_eq!(reader(found), Some("p-2".into()));
}

#[test]
fn a_failing_endpoint_takes_a_run_when_the_sound_ones_are_full() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode), endpoint("d-2", Stage::Decode)]);
    let mut loads = Loads::default();
    play(&mut loads, "d-1", 8, 3);
    let place = |loads: &Loads| {
        view(&directory, loads, 30)
            .decode("drafting", &engine(), &need(5_000, 0))
            .map(|found| found.id.clone())
    };
    assert_eq!(place(&loads), Some("d-2".into()));
    loads.acquire(at(25), &"d-2".into(), run(58_000));
    assert_eq!(place(&loads), Some("d-1".into()));
}

#[test]
fn endpoints_that_failed_a_request_are_not_asked_again() {
    let directory = directory(vec![endpoint("w-1", Stage::Whole), endpoint("w-2", Stage::Whole)]);
    let loads = Loads::default();
    let avoid = ["w-1".into()];
    let found = view(&directory, &loads, 0).whole("drafting", &avoid);
    assert_eq!(found.map(|found| found.id.clone()), Some("w-2".into()));
}

/// One endpoint is left to read prompts, in a burst. Each prompt would wait behind all others, be asked
/// of another endpoint when it takes too long, and wait there too: nothing is read in time any more.
#[test]
fn prompts_wait_in_the_line_and_not_at_an_endpoint() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill)]);
    let mut loads = Loads::default();
    let mut placed = 0;
    while let Prefill::Endpoint(found) =
        view(&directory, &loads, 10).prefill("drafting", 5_000, TARGET, "zone-a", &[])
    {
        loads.acquire(at(0), &found.id, Share { reading: 5_000, ..Share::default() });
        placed += 1;
    }
    assert_eq!(placed, 5);
    assert_eq!(view(&directory, &loads, 10).prefill("drafting", 5_000, TARGET, "zone-a", &[]), Prefill::Busy);
    assert_eq!(
        view(&directory, &loads, 10).prefill("drafting", 5_000, TARGET, "zone-a", &["p-1".into()]),
        Prefill::Unavailable
    );
}

/// An entry freezes while its prompts are being read. They are read within half a second, but nobody
/// says so; the others would take the reader as busy, and let their callers wait, for three seconds.
#[test]
fn what_a_silent_entry_had_read_is_taken_as_read_soon() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), endpoint("d-1", Stage::Decode)]);
    let mut loads = Loads::default();
    let reading = Share { reading: 30_000, ..Share::default() };
    let shares = [("p-1".into(), reading), ("d-1".into(), run(30_000))].into();
    loads.merge_digest(at(0), &Digest { name: "frozen".into(), shares, ..Digest::default() });
    assert_eq!(
        view(&directory, &loads, 500).prefill("drafting", 5_000, TARGET, "zone-a", &[]),
        Prefill::Busy
    );
    assert_eq!(
        reader(view(&directory, &loads, 700).prefill("drafting", 5_000, TARGET, "zone-a", &[])),
        Some("p-1".into())
    );
    // Its runs go on for seconds.
    let place = |now| view(&directory, &loads, now).decode("drafting", &engine(), &need(40_000, 0)).is_some();
    assert!(!place(2_900));
    assert!(place(3_100));
}

/// A reader goes dark: connections stay open and nothing comes back. Until the list drops it, seconds
/// later, each prompt sent there comes out late.
#[test]
fn a_reader_that_keeps_a_prompt_for_long_gets_no_more() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), endpoint("p-2", Stage::Prefill)]);
    let mut loads = Loads::default();
    let reading = |tokens| Share { reading: tokens, ..Share::default() };
    loads.acquire(at(0), &"p-1".into(), reading(2_000));
    loads.acquire(at(900), &"p-2".into(), reading(8_000));
    let place = |loads: &Loads, now| {
        reader(view(&directory, loads, now).prefill("drafting", 5_000, TARGET, "zone-a", &[]))
    };
    assert_eq!(place(&loads, 700), Some("p-1".into()));
    assert_eq!(place(&loads, 901), Some("p-2".into()));
    // With nobody else left it is tried all the same.
    assert_eq!(place(&loads, 1_800), Some("p-1".into()));
}

/// An endpoint is told to become a decode endpoint, and the entries that knew it are killed. It turns
/// every prompt away for seconds, and each refusal costs one of the few further sends.
#[test]
fn a_reader_that_turns_prompts_away_is_left_alone() {
    let directory = directory(vec![endpoint("p-1", Stage::Prefill), endpoint("p-2", Stage::Prefill)]);
    let mut loads = Loads::default();
    for now in [0, 10] {
        let lease = loads.acquire(at(now), &"p-1".into(), Share { reading: 5_000, ..Share::default() });
        loads.release(at(now), &lease, Outcome::TurnedAway);
    }
    loads.acquire(at(20), &"p-2".into(), Share { reading: 8_000, ..Share::default() });
    let place = |now| reader(view(&directory, &loads, now).prefill("drafting", 5_000, TARGET, "zone-a", &[]));
    assert_eq!(place(30), Some("p-2".into()));
    assert_eq!(place(300), Some("p-1".into()));
}

/// All readers are busy, and two entries have the same decode endpoint read a prompt at the same
/// moment, each without the other's word: the ten runs there pause for both, and come out late.
#[test]
fn entries_have_prompts_read_at_endpoints_of_their_own() {
    let directory = directory(
        ["d-1", "d-2", "d-3", "d-4"]
            .map(|id| endpoint(id, Stage::Decode))
            .into_iter()
            .chain([endpoint("p-1", Stage::Prefill)])
            .collect(),
    );
    let mut loads = Loads::default();
    loads.acquire(at(0), &"p-1".into(), Share { reading: 30_000, ..Share::default() });
    let need = Run { gap: Duration::from_millis(300), ..need(5_000, 0) };
    let chosen = |index| {
        let partition = Partition { index, count: 3 };
        let found = View { partition, ..view(&directory, &loads, 10) }.pair("drafting", &engine(), &need);
        found.map(|found| (found.endpoint.id.clone(), found.reader.is_none()))
    };
    assert_eq!(chosen(1), Some(("d-2".into(), true)));
    assert_eq!(chosen(2), Some(("d-3".into(), true)));
    // Another entry does not know that one of them cannot be reached, and counts it.
    let lease = loads.acquire(at(0), &"d-1".into(), run(5_000));
    loads.release(at(0), &lease, Outcome::Unreachable);
    let partition = Partition { index: 1, count: 3 };
    let found = View { partition, ..view(&directory, &loads, 10) }.pair("drafting", &engine(), &need);
    assert_eq!(found.map(|found| found.endpoint.id.clone()), Some("d-2".into()));
}

/// A decode endpoint has read one prompt beside its runs and starts on the next at once. A run's event
/// that falls between both waits for parts of both.
#[test]
fn an_endpoint_rests_between_two_prompts_that_it_reads_beside_its_runs() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode), endpoint("p-1", Stage::Prefill)]);
    let mut loads = Loads::default();
    loads.acquire(at(0), &"p-1".into(), Share { reading: 30_000, ..Share::default() });
    let lease = loads.acquire(at(0), &"d-1".into(), Share { reading: 5_000, ..run(5_000) });
    let need = Run { gap: Duration::from_millis(300), ..need(5_000, 0) };
    let is_placed =
        |loads: &Loads, now| view(&directory, loads, now).pair("drafting", &engine(), &need).is_some();
    assert!(!is_placed(&loads, 10));
    loads.record_first_event(at(200), &lease, Duration::from_millis(120));
    assert!(!is_placed(&loads, 250));
    assert!(is_placed(&loads, 350));
}

/// An endpoint sheds everything while its health check is good. It refuses faster than the others
/// answer, and each refusal costs one more send of the little that may be sent again.
#[test]
fn an_endpoint_that_sheds_is_asked_less() {
    let directory = directory(vec![endpoint("w-1", Stage::Whole), endpoint("w-2", Stage::Whole)]);
    let mut loads = Loads::default();
    play(&mut loads, "w-2", 3, 0);
    let lease = loads.acquire(at(20), &"w-1".into(), Share { running: 1, ..Share::default() });
    loads.release(at(21), &lease, Outcome::Refused);
    let place = |loads: &Loads, now| {
        view(&directory, loads, now).whole("drafting", &[]).map(|found| found.id.clone())
    };
    assert_eq!(place(&loads, 22), Some("w-2".into()));
    let lease = loads.acquire(at(200), &"w-1".into(), Share { running: 1, ..Share::default() });
    loads.release(at(201), &lease, Outcome::Refused);
    assert_eq!(place(&loads, 400), Some("w-2".into()));
}

/// A burst reaches twenty entries within the tenth of a second in which none has heard of the others' runs.
/// If each took the roomiest endpoint, all would meet there, and most of the runs be preempted.
#[test]
fn entries_that_have_not_heard_of_each_other_spread_their_runs() {
    let ids: Vec<String> = (0..10).map(|index| format!("d-{index}")).collect();
    let directory = directory(ids.iter().map(|id| endpoint(id, Stage::Decode)).collect());
    let mut loads = Loads::default();
    loads.acquire(at(0), &"d-0".into(), run(1_000));
    let mut taken: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for entry in 0..20 {
        let name = format!("entry-{entry}");
        let view = View { entry: &name, ..view(&directory, &loads, 10) };
        let found = view.decode("drafting", &engine(), &need(7_000, 0)).expect("there is room");
        *taken.entry(found.id.clone()).or_default() += 1;
    }
    // Eight runs fit into an endpoint.
    assert!(taken.values().all(|runs| *runs <= 8), "{taken:?}");
    assert!(taken.len() >= 5, "{taken:?}");
}

/// One endpoint is nearly full and preferred, another is empty: what is preferred must not matter more.
#[test]
fn an_endpoint_that_is_much_fuller_is_not_preferred() {
    let directory = directory(vec![endpoint("d-1", Stage::Decode), endpoint("d-2", Stage::Decode)]);
    let mut loads = Loads::default();
    loads.acquire(at(0), &"d-1".into(), run(20_000));
    for entry in 0..20 {
        let name = format!("entry-{entry}");
        let view = View { entry: &name, ..view(&directory, &loads, 10) };
        let found = view.decode("drafting", &engine(), &need(7_000, 0)).expect("there is room");
        assert_eq!(&*found.id, "d-2");
    }
}
