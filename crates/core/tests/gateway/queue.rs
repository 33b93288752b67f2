//! Tests of the queue's order when memory is scarce.

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
        customer: "faculty".into(),
        size: Size { prompt: 5_000, expected_output: 0, max_output: 0 },
        memory: 5_000,
        soft_deadline: at(soft_deadline),
        hard_deadline: at(hard_deadline),
        deadline: at(hard_deadline),
        priority: 1,
        target_gap: Duration::from_millis(300),
        ttft_target: Duration::from_millis(900),
        avoid: Vec::new(),
        software_version: None,
        suspects: [].into(),
        is_over_share: false,
    }
}

fn placed(verdicts: Vec<(Entry<u32>, Verdict<()>)>) -> Vec<u32> {
    let placed = verdicts.into_iter().filter(|(_, verdict)| matches!(verdict, Verdict::Placed(())));
    placed.map(|(entry, _)| entry.tag).collect()
}

#[test]
fn requests_on_time_come_before_late_ones() {
    let mut queue = Queue::default();
    queue.push(entry(1, 500, 9_000));
    queue.push(entry(2, 1_100, 9_600));
    queue.push(entry(3, 1_200, 9_700));
    assert_eq!(placed(queue.dispatch(at(800), |_| Some(()))), [2, 3, 1]);
}

/// A long prompt takes longer to prefill, so it can be due before a short one that arrived earlier.
#[test]
fn the_earliest_deadline_comes_first() {
    let mut queue = Queue::default();
    queue.push(entry(1, 700, 9_000));
    queue.push(entry(2, 550, 9_010));
    assert_eq!(placed(queue.dispatch(at(20), |_| Some(()))), [2, 1]);
}

#[test]
fn customers_over_their_share_come_last_within_a_priority() {
    let mut queue = Queue::default();
    queue.push(Entry { customer: "over".into(), ..entry(1, 500, 9_000) });
    queue.push(entry(2, 700, 9_000));
    queue.push(Entry { customer: "over".into(), priority: 0, ..entry(3, 900, 9_000) });
    queue.push(entry(4, 100, 9_000));
    queue.mark_over_share(|entry| &*entry.customer == "over");
    assert_eq!(placed(queue.dispatch(at(200), |_| Some(()))), [3, 2, 1, 4]);
}

/// Guards against resumes of one version that hold up new streams and resumes of other versions.
#[test]
fn a_request_that_waits_for_its_version_holds_up_only_those_of_that_version() {
    let of = |version: &str, entry| Entry { software_version: Some(version.into()), ..entry };
    let mut queue = Queue::default();
    queue.push(of("v1", entry(1, 500, 9_000)));
    queue.push(of("v1", Entry { memory: 100, ..entry(2, 501, 9_001) }));
    queue.push(of("v2", entry(3, 502, 9_002)));
    queue.push(entry(4, 503, 9_003));
    let fits = |entry: &Entry<u32>| {
        let is_full = entry.software_version.as_deref() == Some("v1") && entry.memory > 1_000;
        (!is_full).then_some(())
    };
    assert_eq!(placed(queue.dispatch(at(20), fits)), [3, 4]);
}

#[test]
fn a_large_request_is_not_overtaken_by_smaller_ones() {
    let mut queue = Queue::default();
    queue.push(Entry { memory: 50_000, ..entry(1, 500, 9_000) });
    queue.push(entry(2, 501, 9_001));
    let fits = |entry: &Entry<u32>| (entry.memory < 10_000).then_some(());
    assert!(placed(queue.dispatch(at(10), fits)).is_empty());
    assert_eq!(placed(queue.dispatch(at(20), |_| Some(()))), [1, 2]);
}

#[test]
fn a_blocked_service_does_not_block_another() {
    let mut queue = Queue::default();
    queue.push(entry(1, 500, 9_000));
    queue.push(Entry { service: "other".into(), ..entry(2, 501, 9_001) });
    assert_eq!(placed(queue.dispatch(at(10), |entry| (&*entry.service == "other").then_some(()))), [2]);
}

/// A request that outlives its caller's connection wastes memory; one that is refused can be
/// retried elsewhere.
#[test]
fn a_request_past_its_hard_deadline_expires() {
    let mut queue = Queue::default();
    queue.push(entry(1, 500, 3_000));
    assert!(queue.dispatch(at(2_999), |_| None::<()>).is_empty());
    let expired = queue.dispatch(at(3_001), |_| None::<()>);
    assert!(matches!(&expired[..], [(Entry { tag: 1, .. }, Verdict::Expired)]), "{expired:?}");
}

/// Outcome counts of a simulated burst.
#[derive(Debug, Default)]
struct Counts {
    on_time: u32,
    late: u32,
    refused: u32,
}

/// Queue order in the simulation.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    /// By arrival.
    Arrival,
    /// By deadline, as implemented.
    Deadline,
}

const SLOTS: usize = 80;
/// Mean duration of a run.
const RUN_MS: u64 = 3_300;
/// Time from placement to the first event.
const FIRST_MS: u64 = 300;
/// Target for the time to the first event.
const TARGET_MS: u64 = 900;
/// Time after which callers without an event disconnect.
const STALL_TIMEOUT_MS: u64 = 3_600;

/// Simulates 15 s at 0.7 times the capacity, with a burst of 5 s at 1.3 times the capacity.
fn simulate(order: Order, seed: u64) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = Queue::default();
    let mut arrivals: BTreeMap<u32, u64> = BTreeMap::new();
    let mut ends: Vec<u64> = Vec::new();
    let mut counts = Counts::default();
    for now in (0..15_000_u64).step_by(10) {
        let load = if (5_000..10_000).contains(&now) { 1.3 } else { 0.7 };
        let chance = load * SLOTS as f64 / RUN_MS as f64 * 10.0;
        if rng.random_bool(chance) {
            let tag = arrivals.len() as u32;
            arrivals.insert(tag, now);
            let soft_deadline =
                if order == Order::Arrival { now + STALL_TIMEOUT_MS } else { now + TARGET_MS - FIRST_MS };
            queue.push(entry(tag, soft_deadline, now + STALL_TIMEOUT_MS - FIRST_MS));
        }
        ends.retain(|end| *end > now);
        let mut free_slots = SLOTS - ends.len();
        let verdicts = queue.dispatch(at(now), |entry| {
            let headroom = if entry.is_late(Time::ZERO.plus(std::time::Duration::from_millis(now))) {
                SLOTS / 5
            } else {
                0
            };
            let fits = free_slots > headroom;
            free_slots -= usize::from(fits);
            fits.then_some(())
        });
        for (Entry { tag, .. }, verdict) in verdicts {
            match verdict {
                Verdict::Placed(()) if now + FIRST_MS <= arrivals[&tag] + TARGET_MS => counts.on_time += 1,
                Verdict::Placed(()) => counts.late += 1,
                Verdict::Expired => counts.refused += 1,
            }
            if matches!(verdict, Verdict::Placed(())) {
                ends.push(now + rng.random_range(RUN_MS / 2..RUN_MS * 3 / 2));
            }
        }
    }
    counts
}

/// Served by arrival, all requests would be late from early in the burst until well after it.
#[test]
fn most_requests_stay_on_time_in_a_burst() {
    for seed in 1..=5 {
        let by_arrival = simulate(Order::Arrival, seed);
        let by_deadline = simulate(Order::Deadline, seed);
        assert!(by_deadline.on_time > by_arrival.on_time, "{seed}: {by_deadline:?} against {by_arrival:?}");
        let all = by_deadline.on_time + by_deadline.late + by_deadline.refused;
        assert!(by_deadline.on_time * 10 >= all * 8, "{seed}: {by_deadline:?}");
    }
}
