//! Tests of the retry budget of a whole fleet, with replicas that are cut off and restarted.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tarragonhill_core::{
    Time,
    gateway::{
        budget::Rule,
        cold::Tolerance,
        digest::Member,
        state::{Admission, Identity, State},
    },
};

use crate::at;

const RULE: Rule = Rule { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) };
const STEP_MS: u64 = 250;
/// Time after its start at which a replica has read the store's list of replicas.
const LISTED_AFTER_MS: u64 = 3_500;
const SERVICE: &str = "notes";

/// What happens to one replica.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// It exchanges no digests with others during this time.
    Cut { from_ms: u64, until_ms: u64 },
    /// Its process is killed and starts again at once.
    Restart { at_ms: u64 },
}

/// Troubles of a fleet, by replica, and the number of requests that each replica gets in a step.
#[derive(Clone, Debug)]
struct Day {
    replicas: usize,
    requests_per_step: u32,
    troubles: Vec<(usize, Trouble)>,
}

const DAY_MS: u64 = 40_000;

impl Arbitrary for Day {
    fn arbitrary(random: &mut Gen) -> Self {
        let replicas = *random.choose(&[1, 2, 5, 24]).expect("a choice");
        let requests_per_step = *random.choose(&[0, 1, 3]).expect("a choice");
        let troubles = (0..u8::arbitrary(random) % 40)
            .map(|_| {
                let replica = usize::arbitrary(random) % replicas;
                let at_ms = 8_000 + u64::arbitrary(random) % (DAY_MS - 8_000);
                let trouble = if bool::arbitrary(random) {
                    Trouble::Restart { at_ms }
                } else {
                    Trouble::Cut { from_ms: at_ms, until_ms: at_ms + u64::arbitrary(random) % 25_000 }
                };
                (replica, trouble)
            })
            .collect();
        Self { replicas, requests_per_step, troubles }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let day = self.clone();
        Box::new(
            self.troubles.shrink_without_elements().map(move |troubles| Self { troubles, ..day.clone() }),
        )
    }
}

/// Shrinks a list by leaving elements out.
trait ShrinkWithoutElements: Sized {
    fn shrink_without_elements(&self) -> std::vec::IntoIter<Self>;
}

impl<T: Clone> ShrinkWithoutElements for Vec<T> {
    fn shrink_without_elements(&self) -> std::vec::IntoIter<Self> {
        let without = |index: usize| {
            let mut shorter = self.clone();
            shorter.remove(index);
            shorter
        };
        (0..self.len()).map(without).collect::<Vec<Self>>().into_iter()
    }
}

struct Replica {
    state: State<u32>,
    started_ms: u64,
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
        Self { state: State::new(identity, RULE, Tolerance::default(), at(now_ms)), started_ms: now_ms }
    }
}

/// Plays a day on which each replica retries whenever it may. Returns the times of requests and retries.
fn play(day: &Day) -> (Vec<Time>, Vec<Time>) {
    let admission = Admission { customer: None, tokens: 0, service: SERVICE.into(), fingerprint: 0 };
    let mut replicas: Vec<Replica> = (0..day.replicas).map(|index| Replica::start(index, 1, 0)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for (step, now_ms) in (0..DAY_MS).step_by(STEP_MS as usize).enumerate() {
        let now = at(now_ms);
        let mut reachable = vec![true; day.replicas];
        for (index, trouble) in &day.troubles {
            match *trouble {
                Trouble::Cut { from_ms, until_ms } if (from_ms..until_ms).contains(&now_ms) => {
                    reachable[*index] = false;
                }
                Trouble::Restart { at_ms } if (now_ms..now_ms + STEP_MS).contains(&at_ms) => {
                    replicas[*index] = Replica::start(*index, step as u64 + 2, now_ms);
                }
                Trouble::Cut { .. } | Trouble::Restart { .. } => {}
            }
        }
        for (index, replica) in replicas.iter_mut().enumerate() {
            if now_ms == replica.started_ms + LISTED_AFTER_MS && reachable[index] {
                (0..day.replicas).for_each(|other| replica.state.add_member(now, member(other)));
                replica.state.mark_members_read();
            }
        }
        let sent: Vec<_> = replicas.iter_mut().map(|replica| replica.state.next_digest(now).0).collect();
        for (index, replica) in replicas.iter_mut().enumerate().filter(|(index, _)| reachable[*index]) {
            for (from, digest) in
                sent.iter().enumerate().filter(|(from, _)| reachable[*from] && *from != index)
            {
                replica.state.apply_digest(now, digest, member(from).address);
            }
        }
        for replica in &mut replicas {
            replica.state.tick(now);
            for _ in 0..day.requests_per_step {
                replica.state.admit(now, &admission).expect("no limit applies");
                requests.push(now);
            }
            while replica.state.retry(now, &admission.service, 1) {
                retries.push(now);
            }
        }
    }
    (requests, retries)
}

/// Returns whether no window has more retries than the rule allows.
fn is_within_budget(requests: &[Time], retries: &[Time]) -> bool {
    let count = |times: &[Time], start: Time| {
        times.iter().filter(|at| **at >= start && at.since(start) < RULE.window).count()
    };
    let mut starts: VecDeque<Time> = retries.iter().copied().collect();
    starts.make_contiguous().sort();
    starts.into_iter().all(|start| {
        let windows = [start, start.minus(RULE.window / 2), start.minus(RULE.window)];
        let sent = windows.into_iter().map(|start| count(requests, start)).max().unwrap_or(0);
        count(retries, start) as f64 <= RULE.ratio * sent as f64 + RULE.slack
    })
}

fn keeps_budget(day: Day) -> bool {
    let (requests, retries) = play(&day);
    is_within_budget(&requests, &retries)
}

/// Guards against replicas that each use the slack of those from which they are cut off.
#[test]
fn replicas_that_are_cut_off_from_each_other_stay_within_the_retry_budget() {
    let troubles = (0..5).map(|index| (index, Trouble::Cut { from_ms: 8_000, until_ms: DAY_MS })).collect();
    assert!(keeps_budget(Day { replicas: 5, requests_per_step: 1, troubles }));
}

/// Guards against a share of the slack that each process of a series uses anew.
#[test]
fn replicas_that_are_restarted_in_series_stay_within_the_retry_budget() {
    let restarts = |index: usize| (0..10).map(move |round| (index, 20_000 + 1_000 * round));
    let troubles = (0..5).flat_map(restarts).map(|(index, at_ms)| (index, Trouble::Restart { at_ms }));
    assert!(keeps_budget(Day { replicas: 5, requests_per_step: 1, troubles: troubles.collect() }));
}

/// Guards against any mixture of the two.
#[test]
fn a_fleet_that_is_cut_and_restarted_at_random_stays_within_the_retry_budget() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 42))
        .tests(60)
        .quickcheck(keeps_budget as fn(Day) -> bool);
}

/// Guards against a budget that is never used: failed requests would not be retried at all.
#[test]
fn a_calm_fleet_uses_much_of_the_retry_budget() {
    let (requests, retries) = play(&Day { replicas: 5, requests_per_step: 1, troubles: Vec::new() });
    let windows = DAY_MS as f64 / RULE.window.as_millis() as f64;
    let allowed = RULE.ratio * requests.len() as f64 + RULE.slack * windows;
    assert!(retries.len() as f64 > 0.3 * allowed, "{} of {allowed}", retries.len());
}
