//! Tests of the limits that endpoints name, over a whole fleet with replicas that are cut off and restarted.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use tarragonhill_core::{
    Time,
    gateway::{
        budget::Rule,
        cold::Tolerance,
        digest::Member,
        directory::Stage,
        state::{Identity, Listing, State},
    },
};

use crate::{at, endpoint, row};

const STEP_MS: u64 = 100;
const DAY_MS: u64 = 40_000;
const LIMITED_FROM_MS: u64 = 8_000;
/// Time until all replicas must keep to a limit.
const NOTICE_MS: u64 = 3_000;
/// Time after its start at which a replica has read the store's list of replicas.
const LISTED_AFTER_MS: u64 = 3_500;
/// Time until a replica that was told a limit must keep to it.
const TOLD_MS: u64 = 500;
const WINDOW: Duration = Duration::from_secs(4);
const SERVICE: &str = "drafting";
const ENDPOINT: &str = "i-1";

/// What happens to one replica.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// It exchanges no digests with others during this time.
    Cut { from_ms: u64, until_ms: u64 },
    /// Its process is killed and starts again at once.
    Restart { at_ms: u64 },
    /// It ends for good.
    End { at_ms: u64 },
}

#[derive(Clone, Debug)]
struct Day {
    replicas: usize,
    /// Requests a second that the endpoint takes.
    limit: f64,
    /// When the endpoint no longer names a limit.
    limited_until_ms: u64,
    troubles: Vec<(usize, Trouble)>,
}

impl Arbitrary for Day {
    fn arbitrary(random: &mut Gen) -> Self {
        let replicas = *random.choose(&[1, 2, 4, 24]).expect("a choice");
        let limit = *random.choose(&[0.0, 0.4, 1.6, 2.9, 8.0, 30.0]).expect("a choice");
        let troubles = (0..u8::arbitrary(random) % 30)
            .map(|_| {
                let replica = usize::arbitrary(random) % replicas;
                let at_ms = 5_000 + u64::arbitrary(random) % (DAY_MS - 5_000);
                let trouble = match u8::arbitrary(random) % 5 {
                    0 | 1 => Trouble::Restart { at_ms },
                    2 | 3 => {
                        Trouble::Cut { from_ms: at_ms, until_ms: at_ms + u64::arbitrary(random) % 25_000 }
                    }
                    _ => Trouble::End { at_ms },
                };
                (replica, trouble)
            })
            .collect();
        Self { replicas, limit, limited_until_ms: DAY_MS, troubles }
    }
}

struct Replica {
    state: State<u32>,
    started_ms: u64,
    /// When a response first told this process the limit.
    told_ms: Option<u64>,
    is_alive: bool,
}

fn name(index: usize) -> Arc<str> {
    format!("entry-{index:03}").into()
}

fn member(index: usize) -> Member {
    let address = "127.0.0.1:7".parse().expect("an address");
    Member { name: name(index), address, zone: "zone-a".into(), millicores: 1_000 }
}

impl Replica {
    fn start(index: usize, incarnation: u64, now_ms: u64) -> Self {
        let Member { name, address, zone, millicores } = member(index);
        let identity = Identity { name, zone, incarnation, address, millicores };
        let retries = Rule { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
        let mut state = State::new(identity, retries, Tolerance::default(), at(now_ms));
        let rows = vec![row(1, endpoint(ENDPOINT, Stage::Whole))];
        state.apply_listing(at(now_ms), Listing { version: 1, is_complete: true, rows });
        Self { state, started_ms: now_ms, told_ms: None, is_alive: true }
    }
}

/// What the endpoint got.
#[derive(Debug, Default)]
struct Arrivals {
    /// Requests from replicas that had been told the limit.
    told: Vec<Time>,
    all: Vec<Time>,
}

/// Plays a day on which each replica sends to the endpoint whenever it may, at most once in a step.
fn play(day: &Day) -> Arrivals {
    let mut replicas: Vec<Replica> = (0..day.replicas).map(|index| Replica::start(index, 1, 0)).collect();
    let mut arrivals = Arrivals::default();
    for (step, now_ms) in (0..DAY_MS).step_by(STEP_MS as usize).enumerate() {
        let now = at(now_ms);
        let mut cut = BTreeSet::new();
        for (index, trouble) in &day.troubles {
            let is_now = |at_ms: u64| (now_ms..now_ms + STEP_MS).contains(&at_ms);
            match *trouble {
                Trouble::Cut { from_ms, until_ms } if (from_ms..until_ms).contains(&now_ms) => {
                    cut.insert(*index);
                }
                Trouble::Restart { at_ms } if is_now(at_ms) && replicas[*index].is_alive => {
                    replicas[*index] = Replica::start(*index, step as u64 + 2, now_ms);
                }
                Trouble::End { at_ms } if is_now(at_ms) => replicas[*index].is_alive = false,
                Trouble::Cut { .. } | Trouble::Restart { .. } | Trouble::End { .. } => {}
            }
        }
        let is_reachable = |index: usize, replica: &Replica| replica.is_alive && !cut.contains(&index);
        for (index, replica) in replicas.iter_mut().enumerate() {
            if now_ms == replica.started_ms + LISTED_AFTER_MS && is_reachable(index, replica) {
                (0..day.replicas).for_each(|other| replica.state.add_member(now, member(other)));
                replica.state.mark_members_read();
            }
        }
        let sent: Vec<_> = replicas.iter_mut().map(|replica| replica.state.next_digest(now).0).collect();
        let reachable: Vec<bool> =
            replicas.iter().enumerate().map(|(index, replica)| is_reachable(index, replica)).collect();
        for (index, replica) in replicas.iter_mut().enumerate().filter(|(index, _)| reachable[*index]) {
            for (from, digest) in
                sent.iter().enumerate().filter(|(from, _)| reachable[*from] && *from != index)
            {
                replica.state.apply_digest(now, digest, member(from).address);
            }
        }
        let is_limited = (LIMITED_FROM_MS..day.limited_until_ms).contains(&now_ms);
        for replica in replicas.iter_mut().filter(|replica| replica.is_alive) {
            replica.state.tick(now);
            if replica.state.place_whole(now, SERVICE, &[]).is_err() {
                continue;
            }
            arrivals.all.push(now);
            if replica.told_ms.is_some_and(|told_ms| told_ms + TOLD_MS <= now_ms)
                && now_ms >= LIMITED_FROM_MS + NOTICE_MS
            {
                arrivals.told.push(now);
            }
            replica.state.record_limit(now, &ENDPOINT.into(), is_limited.then_some(day.limit));
            if is_limited {
                replica.told_ms.get_or_insert(now_ms);
            }
        }
    }
    arrivals
}

fn busiest(arrivals: &[Time]) -> usize {
    let within =
        |start: usize| arrivals[start..].iter().take_while(move |at| at.since(arrivals[start]) < WINDOW);
    (0..arrivals.len()).map(|start| within(start).count()).max().unwrap_or(0)
}

fn most(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

fn keeps_limit(day: Day) -> TestResult {
    let busiest = busiest(&play(&day).told);
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

/// Guards against replicas that take the place of owners from which they are cut off, all at the same time.
#[test]
fn replicas_that_are_all_cut_off_from_each_other_keep_to_the_limit_of_an_endpoint() {
    for replicas in [4, 24, 68] {
        let cut = Trouble::Cut { from_ms: 9_000, until_ms: DAY_MS };
        let troubles = (0..replicas).map(|index| (index, cut)).collect();
        let day = Day { replicas, limit: 1.6, limited_until_ms: DAY_MS, troubles };
        assert!(!keeps_limit(day).is_failure(), "{replicas} replicas");
    }
}

/// Guards against a limited endpoint that is hardly used, or not at all once its owners are gone.
#[test]
fn a_limited_endpoint_is_used_also_when_its_owners_are_gone() {
    let count = |replicas: usize, ended: usize| {
        let troubles = (0..ended).map(|index| (index, Trouble::End { at_ms: 15_000 })).collect();
        let day = Day { replicas, limit: 2.0, limited_until_ms: DAY_MS, troubles };
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
    let day = Day { replicas: 24, limit: 1.6, limited_until_ms: 20_000, troubles: Vec::new() };
    let arrivals = play(&day);
    let later = arrivals.all.iter().filter(|arrived| **arrived >= at(25_000)).count();
    // Each replica sends once in each step.
    assert_eq!(later as u64, 24 * (DAY_MS - 25_000) / STEP_MS);
}
