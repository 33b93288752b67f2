//! Tests of the limits that endpoints name, over a whole fleet with replicas that are cut off and restarted.

use std::{collections::BTreeMap, time::Duration};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use tarragonhill_core::{
    Time,
    gateway::{directory::Stage, placement::Filter, state::Listing},
};

use crate::{
    at, endpoint,
    fleet::{DAY_MS, Fleet, Plan, Trouble, busiest},
    position, row,
};

const STEP_MS: u64 = 100;
const LIMITED_FROM_MS: u64 = 8_000;
/// Time until all replicas must keep to a limit.
const NOTICE_MS: u64 = 3_000;
/// Time until a replica that has read a limit in a response must keep to it.
const REACTION_MS: u64 = 500;
const WINDOW: Duration = Duration::from_secs(4);
const SERVICE: &str = "drafting";
const ENDPOINT: &str = "i-1";

#[derive(Clone, Debug)]
struct Day {
    plan: Plan,
    /// Requests a second that the endpoint takes.
    limit: f64,
    /// When the endpoint no longer names a limit.
    limited_until_ms: u64,
    /// Number of replicas to which callers come; the others have none.
    asked: usize,
}

impl Arbitrary for Day {
    fn arbitrary(random: &mut Gen) -> Self {
        let limit = *random.choose(&[0.0, 0.4, 1.6, 2.9, 8.0, 30.0]).expect("a choice");
        Self { plan: Plan::arbitrary(random), limit, limited_until_ms: DAY_MS, asked: usize::MAX }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let Self { limit, limited_until_ms, asked, .. } = *self;
        Box::new(self.plan.shrink().map(move |plan| Self { plan, limit, limited_until_ms, asked }))
    }
}

/// What the endpoint got.
#[derive(Debug, Default)]
struct Arrivals {
    /// Requests from processes that had read the limit in a response.
    informed: Vec<(Time, u64)>,
    all: Vec<Time>,
}

/// Plays a day on which each replica sends to the endpoint whenever it may, at most once in a step.
fn play(day: &Day) -> Arrivals {
    let mut fleet = Fleet::new(day.plan.clone(), STEP_MS, |state, now| {
        let rows = vec![row(1, endpoint(ENDPOINT, Stage::Whole))];
        state.apply_listing(now, Listing { position: position(1), is_complete: true, rows });
    });
    let mut arrivals = Arrivals::default();
    // When each process first read the limit in a response.
    let mut informed: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    for now_ms in (0..DAY_MS).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        fleet.step(now_ms);
        let is_limited = (LIMITED_FROM_MS..day.limited_until_ms).contains(&now_ms);
        for (index, replica) in fleet.alive().filter(|(index, _)| *index < day.asked) {
            if replica.state.place_whole(now, SERVICE, Filter::default()).is_err() {
                continue;
            }
            arrivals.all.push(now);
            let process = (index, replica.incarnation);
            let is_informed =
                informed.get(&process).is_some_and(|informed_ms| informed_ms + REACTION_MS <= now_ms);
            if is_informed && now_ms >= LIMITED_FROM_MS + NOTICE_MS {
                arrivals.informed.push((now, 1));
            }
            replica.state.record_limit(now, &ENDPOINT.into(), is_limited.then_some(day.limit));
            if is_limited {
                informed.entry(process).or_insert(now_ms);
            }
        }
    }
    arrivals
}

fn most(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

fn keeps_limit(day: Day) -> TestResult {
    let busiest = busiest(&play(&day).informed, WINDOW);
    if busiest as f64 > most(day.limit) {
        return TestResult::error(format!("{busiest} requests"));
    }
    TestResult::passed()
}

/// Guards against replicas that together send more than an endpoint has said it takes.
#[test]
fn a_fleet_that_is_cut_and_restarted_at_random_keeps_to_the_limit_of_an_endpoint() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 17))
        .tests(80)
        .quickcheck(keeps_limit as fn(Day) -> TestResult);
}

/// Guards against turns that a replica uses although it has lent them.
#[test]
fn replicas_that_lend_each_other_turns_keep_to_the_limit_of_an_endpoint() {
    for asked in [1, 2] {
        let keeps_limit = move |day: Day| keeps_limit(Day { asked, ..day });
        for seed in 0..25 {
            let day = Day::arbitrary(&mut Gen::from_size_and_seed(40, 100 + seed));
            assert!(!keeps_limit(day.clone()).is_failure(), "{asked} replicas asked: {day:?}");
        }
    }
}

/// Guards against a replica with most of the callers and few of the turns.
#[test]
fn a_replica_with_all_callers_uses_most_of_the_limit_of_an_endpoint() {
    for replicas in [4, 6, 24] {
        let day = Day { plan: Plan::calm(replicas), limit: 8.0, limited_until_ms: DAY_MS, asked: 1 };
        let from = at(LIMITED_FROM_MS + 2 * NOTICE_MS);
        let served = play(&day).all.iter().filter(|arrived| **arrived >= from).count();
        let seconds = (DAY_MS - LIMITED_FROM_MS - 2 * NOTICE_MS) as f64 / 1_000.0;
        assert!(served as f64 > 0.5 * 8.0 * seconds, "{replicas} replicas: {served} in {seconds} s");
    }
}

/// Guards against replicas that take the place of owners from which they are cut off, all at the same time.
#[test]
fn replicas_that_are_all_cut_off_from_each_other_keep_to_the_limit_of_an_endpoint() {
    for replicas in [4, 24, 68] {
        let plan = Plan::same(replicas, Trouble::Cut { from_ms: 9_000, until_ms: DAY_MS });
        let day = Day { plan, limit: 1.6, limited_until_ms: DAY_MS, asked: usize::MAX };
        assert!(!keeps_limit(day).is_failure(), "{replicas} replicas");
    }
}

/// Guards against a limited endpoint that is hardly used, or not at all once its owners are gone.
#[test]
fn a_limited_endpoint_is_used_also_when_its_owners_are_gone() {
    let count = |replicas: usize, ended: usize| {
        let troubles = (0..ended).map(|index| (index, Trouble::End { at_ms: 15_000 })).collect();
        let day = Day {
            plan: Plan { troubles, ..Plan::calm(replicas) },
            limit: 2.0,
            limited_until_ms: DAY_MS,
            asked: usize::MAX,
        };
        let from = at(16_000);
        play(&day).all.iter().filter(|arrived| **arrived >= from).count()
    };
    let seconds = (DAY_MS - 16_000) as f64 / 1_000.0;
    assert!(count(4, 0) as f64 > 0.5 * 2.0 * seconds, "{}", count(4, 0));
    for ended in 1..4 {
        assert!(count(4, ended) >= 4, "{ended} of 4 ended: {}", count(4, ended));
    }
    assert!(count(24, 23) > 0);
}

/// Guards against a limit that is believed after the endpoint no longer names it.
#[test]
fn all_replicas_forget_a_limit_once_one_of_them_sees_its_end() {
    let plan = Plan::calm(24);
    let day = Day { plan, limit: 1.6, limited_until_ms: 20_000, asked: usize::MAX };
    let arrivals = play(&day);
    let later = arrivals.all.iter().filter(|arrived| **arrived >= at(25_000)).count();
    // Each replica sends once in each step.
    assert_eq!(later as u64, 24 * (DAY_MS - 25_000) / STEP_MS);
}
