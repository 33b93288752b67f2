//! A short soak with separate processes. `tarragonhill-bench soak` runs more seeds.
//!
//! Needs the `tarragonhilld` binary, which `cargo test --workspace` builds.

use std::{path::Path, sync::LazyLock, thread, time::Duration};

use strum::IntoEnumIterator as _;
use tarragonhill_bench::soak::{Event, History, Kind, Plan, Programs, Service, Shape, run_all};
use tarragonhill_core::gateway::budget::Rule;

/// Seeds whose disturbances once led to more retries than the budget allows.
const SEEDS: [u64; 2] = [404, 405];
/// Disturbances after which many requests are retried, by processes that follow each other.
const KINDS: [Kind; 9] = [
    Kind::FailAll,
    Kind::LoseAll,
    Kind::RejectAll,
    Kind::RejectAll,
    Kind::KillGateways,
    Kind::KillAllInSeries,
    Kind::KillInSeries,
    Kind::PauseStore,
    Kind::PauseGateways,
];
/// Seeds of streams at two versions; the first once led to resumes that were refused although their version served.
const MIXED_SEEDS: [u64; 2] = [14, 16];
/// Disturbances after which streams break and callers resume them elsewhere.
const MIXED_KINDS: [Kind; 11] = [
    Kind::KillInSeries,
    Kind::KillInSeries,
    Kind::KillGateway,
    Kind::KillGateways,
    Kind::RestartGateway,
    Kind::PauseGateway,
    Kind::KillEndpoint,
    Kind::SwapVersion,
    Kind::Cut,
    Kind::End,
    Kind::ResetEndpoint,
];
/// Seeds of parts of prompts that crash engines, one and two of them.
const PART_SEEDS: [(u64, usize); 2] = [(2, 1), (6, 2)];
/// Disturbances beside them: engines that crash for other reasons, gateways that forget, and connections to one gateway.
const PART_KINDS: [Kind; 8] = [
    Kind::CrashWave,
    Kind::CrashWave,
    Kind::KillInSeries,
    Kind::KillGateways,
    Kind::RestartGateway,
    Kind::PauseGateway,
    Kind::Skew,
    Kind::Skew,
];
/// Seeds of stores that come back from copies.
const RETURN_SEEDS: [u64; 2] = [2, 6];
/// Disturbances beside them.
const RETURN_KINDS: [Kind; 7] = [
    Kind::ReturnStore,
    Kind::ReturnInSeries,
    Kind::CutStore,
    Kind::KillGateway,
    Kind::KillGateways,
    Kind::PauseGateway,
    Kind::PauseGateways,
];
/// Selects the plain endpoints.
const PLAIN: usize = 8;

fn play(shape: Shape, plans: Vec<Plan>) -> Vec<History> {
    let programs = Programs::beside(Path::new(env!("CARGO_BIN_EXE_tarragonhill-bench")));
    assert!(programs.daemon.exists(), "cargo build -p tarragonhill-daemon builds the daemon");
    // Runs of one seed in several shapes must not share their logs.
    let directory = if shape.has_operator { "soak-operator" } else { "soak" };
    let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(directory);
    run_all(&programs, shape, plans, &logs).expect("the processes start")
}

static RANDOM: LazyLock<Vec<History>> = LazyLock::new(|| {
    let shape = Shape { duration: Duration::from_secs(45), events: 14, ..Shape::default() };
    play(shape, SEEDS.iter().map(|seed| Plan::random(*seed, shape, &KINDS)).collect())
});

/// A run in which gateways read the requests of a pause when it is over, and all of them fail.
static LATE_REQUESTS: LazyLock<Vec<History>> = LazyLock::new(|| {
    let event =
        |kind, lasts| Event { at: Duration::ZERO, lasts: Duration::from_secs(lasts), kind, target: PLAIN };
    let events = vec![event(Kind::PauseGateways, 14), event(Kind::RejectAll, 28)];
    let shape = Shape::default();
    let retries = Rule { slack: 10.0, ..shape.retries };
    play(Shape { retries, ..shape }, vec![Plan { seed: 1, events }])
});

/// Runs with engines of two software versions, of which some answer without a length.
static MIXED: LazyLock<Vec<History>> = LazyLock::new(|| {
    let shape = Shape { duration: Duration::from_secs(30), events: 14, is_mixed: true, ..Shape::default() };
    play(shape, MIXED_SEEDS.iter().map(|seed| Plan::random(*seed, shape, &MIXED_KINDS)).collect())
});

/// Runs with engines that crash under parts of prompts.
static PARTS: LazyLock<Vec<History>> = LazyLock::new(|| {
    let play = |(seed, crashing_parts)| {
        let shape =
            Shape { duration: Duration::from_secs(30), events: 10, crashing_parts, ..Shape::default() };
        play(shape, vec![Plan::random(seed, shape, &PART_KINDS)])
    };
    thread::scope(|scope| {
        let runs = PART_SEEDS.map(|case| scope.spawn(move || play(case)));
        runs.into_iter().flat_map(|run| run.join().expect("a run does not panic")).collect()
    })
});

/// Runs with a store that comes back from copies while an operator withdraws keys.
static RETURNS: LazyLock<Vec<History>> = LazyLock::new(|| {
    let shape =
        Shape { duration: Duration::from_secs(30), events: 8, has_operator: true, ..Shape::default() };
    play(shape, RETURN_SEEDS.iter().map(|seed| Plan::random(*seed, shape, &RETURN_KINDS)).collect())
});

fn assert_kept(history: &History) {
    for service in Service::iter() {
        let tightest = history.tightest(service);
        let is_kept = tightest.is_none_or(|window| window.room() >= 0.0);
        assert!(is_kept, "seed {}, {service}: {tightest:?}, logs in {:?}", history.plan.seed, history.logs);
    }
}

/// Guards against processes that use the retry budget of those before them, and against messages that are not charged.
#[test]
fn endpoints_get_no_more_retries_than_the_budget_while_gateways_are_killed_in_series() {
    RANDOM.iter().for_each(assert_kept);
}

/// Guards against requests that earn retries when they are read, long after callers sent them.
#[test]
fn endpoints_get_no_more_retries_than_the_budget_after_a_pause_of_all_gateways() {
    LATE_REQUESTS.iter().for_each(assert_kept);
}

/// Guards against streams of two versions, and against parts of streams that are framed as complete.
#[test]
fn streams_are_of_one_version_and_whole_if_they_look_so() {
    for history in MIXED.iter() {
        let faults = history.stream_faults();
        assert!(faults.is_empty(), "seed {}, logs in {:?}: {faults:#?}", history.plan.seed, history.logs);
        assert_kept(history);
    }
}

/// Guards against resumes that are refused because no gateway knows their version.
#[test]
fn streams_go_on_at_least_half_as_often_as_new_ones_begin() {
    let shares: Vec<(u64, Option<(f64, f64)>)> =
        MIXED.iter().map(|history| (history.plan.seed, history.stream_shares())).collect();
    for (seed, shares) in &shares {
        let is_kept = shares.is_none_or(|(began, went_on)| went_on >= began / 2.0);
        assert!(is_kept, "seed {seed}: {shares:?}");
    }
    let resumed: u32 = MIXED.iter().flat_map(|history| &history.streams).map(|stream| stream.resumes).sum();
    assert!(resumed > 0, "no stream was resumed");
}

/// Guards against parts that are forgotten, sound requests that are taken for the cause, and gateways that cannot serve alone.
#[test]
fn few_requests_with_crashing_parts_reach_engines_and_sound_ones_are_served() {
    for history in PARTS.iter() {
        let figures = history.crashes.figures().expect("requests with parts");
        let faults = figures.faults();
        let seed = history.plan.seed;
        assert!(faults.is_empty(), "seed {seed}, logs in {:?}: {faults:#?}", history.logs);
        assert!(figures.crashes.iter().all(|crashes| *crashes > 0), "seed {seed}: no engine crashed");
        assert_kept(history);
    }
}

/// Without retries, the other tests would show nothing.
#[test]
fn requests_are_served_and_retried_in_the_soak() {
    for history in RANDOM.iter().chain(&*LATE_REQUESTS) {
        let retries: usize = Service::iter().map(|service| history.retries(service)).sum();
        assert!(
            history.succeeded > 0 && retries > 0,
            "seed {}: {} served",
            history.plan.seed,
            history.succeeded
        );
    }
}

/// Guards against withdrawn keys that work on, and limits that are exceeded, after the store has come back from copies.
#[test]
fn changes_are_in_force_in_time_while_the_store_comes_back_from_copies() {
    for history in RETURNS.iter() {
        let faults = history.changes.faults();
        let seed = history.plan.seed;
        assert!(faults.is_empty(), "seed {seed}, logs in {:?}: {faults:#?}", history.logs);
        let (refused, served) = history.changes.decided();
        assert!(
            refused > 0 && served > 0,
            "seed {seed}: {refused} requests had to be refused, {served} to be served"
        );
        assert!(history.changes.returns > 0, "seed {seed}: the store never came back");
        assert_kept(history);
    }
}
