//! Who is served when memory is short.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tarragonhill_core::{
    Time,
    gateway::{
        forecast::Size,
        queue::{Entry, Queue, Verdict},
    },
};

use crate::at;

fn entry(tag: u32, soft_deadline: u64, hard_deadline: u64) -> Entry<u32> {
    Entry {
        tag,
        service: "drafting".into(),
        size: Size { prompt: 5_000, expected_output: 0, max_output: 0 },
        memory: 5_000,
        soft_deadline: at(soft_deadline),
        hard_deadline: at(hard_deadline),
        priority: 1,
        gap: Duration::from_millis(300),
        ttft_target: Duration::from_millis(900),
        avoid: Vec::new(),
    }
}

fn placed(verdicts: Vec<(Entry<u32>, Verdict<()>)>) -> Vec<u32> {
    let placed = verdicts.into_iter().filter(|(_, verdict)| matches!(verdict, Verdict::Placed(())));
    placed.map(|(entry, _)| entry.tag).collect()
}

#[test]
fn whoever_can_still_be_on_time_goes_before_those_that_cannot() {
    let mut queue = Queue::default();
    queue.push(entry(1, 500, 9_000));
    queue.push(entry(2, 1_100, 9_600));
    queue.push(entry(3, 1_200, 9_700));
    assert_eq!(placed(queue.dispatch(at(800), |_| Some(()))), [2, 3, 1]);
}

/// A long prompt comes right behind a short one, in a burst. It is read for longer, so it has less time to
/// wait; served by arrival, it comes out late while the short one has time to spare.
#[test]
fn whoever_has_least_time_left_goes_first() {
    let mut queue = Queue::default();
    queue.push(entry(1, 700, 9_000));
    queue.push(entry(2, 550, 9_010));
    assert_eq!(placed(queue.dispatch(at(20), |_| Some(()))), [2, 1]);
}

#[test]
fn a_large_request_is_not_passed_over() {
    let mut queue = Queue::default();
    queue.push(Entry { memory: 50_000, ..entry(1, 500, 9_000) });
    queue.push(entry(2, 501, 9_001));
    let fits_small = |entry: &Entry<u32>| (entry.memory < 10_000).then_some(());
    assert!(placed(queue.dispatch(at(10), fits_small)).is_empty());
    assert_eq!(placed(queue.dispatch(at(20), |_| Some(()))), [1, 2]);
}

#[test]
fn one_service_does_not_hold_up_another() {
    let mut queue = Queue::default();
    queue.push(entry(1, 500, 9_000));
    queue.push(Entry { service: "other".into(), ..entry(2, 501, 9_001) });
    assert_eq!(placed(queue.dispatch(at(10), |entry| (&*entry.service == "other").then_some(()))), [2]);
}

/// Callers leave a stream that shows nothing for some seconds. A request that starts after that
/// runs for nobody; one that is told at once may come back in time.
#[test]
fn a_request_that_waits_in_vain_is_told() {
    let mut queue = Queue::default();
    queue.push(entry(1, 500, 3_000));
    assert!(queue.dispatch(at(2_999), |_| None::<()>).is_empty());
    let expired = queue.dispatch(at(3_001), |_| None::<()>);
    assert!(matches!(&expired[..], [(Entry { tag: 1, .. }, Verdict::Expired)]), "{expired:?}");
}

/// What callers get of a burst.
#[derive(Debug, Default)]
struct Result {
    on_time: u32,
    late: u32,
    refused: u32,
}

/// How the line is served.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    /// Strictly by arrival.
    Arrival,
    /// As the line does it.
    Deadline,
}

const PLACES: usize = 80;
const RUN: u64 = 3_300;
const FIRST: u64 = 300;
const TARGET: u64 = 900;
const SILENCE: u64 = 3_600;

/// Plays a burst of 5 s at 1.3 times what 80 places can take, between calm times at 0.7 times.
fn play(order: Order, seed: u64) -> Result {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = Queue::default();
    let mut arrivals: BTreeMap<u32, u64> = BTreeMap::new();
    let mut ends: Vec<u64> = Vec::new();
    let mut result = Result::default();
    for now in (0..15_000_u64).step_by(10) {
        let load = if (5_000..10_000).contains(&now) { 1.3 } else { 0.7 };
        let chance = load * PLACES as f64 / RUN as f64 * 10.0;
        if rng.random_bool(chance) {
            let tag = arrivals.len() as u32;
            arrivals.insert(tag, now);
            let soft_deadline = if order == Order::Arrival { now + SILENCE } else { now + TARGET - FIRST };
            queue.push(entry(tag, soft_deadline, now + SILENCE - FIRST));
        }
        ends.retain(|end| *end > now);
        let mut free = PLACES - ends.len();
        let verdicts = queue.dispatch(at(now), |entry| {
            let spare = if entry.is_late(Time::ZERO.plus(std::time::Duration::from_millis(now))) {
                PLACES / 5
            } else {
                0
            };
            let fits = free > spare;
            free -= usize::from(fits);
            fits.then_some(())
        });
        for (Entry { tag, .. }, verdict) in verdicts {
            match verdict {
                Verdict::Placed(()) if now + FIRST <= arrivals[&tag] + TARGET => result.on_time += 1,
                Verdict::Placed(()) => result.late += 1,
                Verdict::Expired => result.refused += 1,
            }
            if matches!(verdict, Verdict::Placed(())) {
                ends.push(now + rng.random_range(RUN / 2..RUN * 3 / 2));
            }
        }
    }
    result
}

/// A burst takes more memory than there is for five seconds. Served strictly by arrival, everybody
/// waits until nobody's first event is on time any more, and stays so until long after the burst.
#[test]
fn a_burst_leaves_most_callers_on_time() {
    for seed in 1..=5 {
        let by_arrival = play(Order::Arrival, seed);
        let by_deadline = play(Order::Deadline, seed);
        assert!(by_deadline.on_time > by_arrival.on_time, "{seed}: {by_deadline:?} against {by_arrival:?}");
        let all = by_deadline.on_time + by_deadline.late + by_deadline.refused;
        assert!(by_deadline.on_time * 10 >= all * 8, "{seed}: {by_deadline:?}");
    }
}
