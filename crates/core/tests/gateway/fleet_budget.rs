//! Tests of the retry budget of a whole fleet, with replicas that are cut off and restarted.

use std::{sync::Arc, time::Duration};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tarragonhill_core::{Time, gateway::state::Admission};

use crate::{
    at,
    fleet::{DAY_MS, Fleet, Plan, RETRIES, Trouble},
};

const STEP_MS: u64 = 250;

/// Times between two bursts of retries.
const PAUSES_MS: [u64; 4] = [STEP_MS, 3_000, 6_000, 20_000];

/// A fleet, and how much it is used.
#[derive(Clone, Debug)]
struct Day {
    plan: Plan,
    /// Requests that each replica gets in a step.
    requests_per_step: u32,
    /// Time between two bursts of retries, in which replicas save up what they may use.
    pause_ms: u64,
}

impl Arbitrary for Day {
    fn arbitrary(random: &mut Gen) -> Self {
        let requests_per_step = *random.choose(&[0, 1, 3]).expect("a choice");
        let pause_ms = *random.choose(&PAUSES_MS).expect("a choice");
        Self { plan: Plan::arbitrary(random), requests_per_step, pause_ms }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let Self { requests_per_step, pause_ms, .. } = *self;
        Box::new(self.plan.shrink().map(move |plan| Self { plan, requests_per_step, pause_ms }))
    }
}

/// Plays a day on which each replica retries as often as it may after each pause. Returns the times of requests and retries.
fn play(day: &Day) -> (Vec<Time>, Vec<Time>) {
    let admission =
        Admission { customer: None, tokens: 0, service: "notes".into(), suspects: Arc::default() };
    let mut fleet = Fleet::new(day.plan.clone(), STEP_MS, |_, _| {});
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for now_ms in (0..DAY_MS).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        fleet.step(now_ms);
        for (_, replica) in fleet.alive() {
            for _ in 0..day.requests_per_step {
                replica.state.admit(now, &admission).expect("no limit applies");
                requests.push(now);
            }
            let is_burst = now_ms.is_multiple_of(day.pause_ms);
            while is_burst && replica.state.charge_retries(now, &admission.service, 1).is_granted {
                replica.state.conclude_retries(now, &admission.service, 1);
                retries.push(now);
            }
        }
    }
    (requests, retries)
}

/// Returns whether no window has more retries than the rule allows.
fn keeps_budget(day: Day) -> bool {
    let (requests, retries) = play(&day);
    let count = |times: &[Time], start: Time| {
        let after = times.partition_point(|at| *at < start);
        times[after..].iter().take_while(|at| at.since(start) < RETRIES.window).count()
    };
    retries.iter().all(|start| {
        let starts = [Duration::ZERO, RETRIES.window / 2, RETRIES.window];
        let sent = starts.into_iter().map(|before| count(&requests, start.minus(before))).max().unwrap_or(0);
        count(&retries, *start) as f64 <= RETRIES.ratio * sent as f64 + RETRIES.slack
    })
}

/// Guards against replicas that each use the slack of those from which they are cut off.
#[test]
fn replicas_that_are_cut_off_from_each_other_stay_within_the_retry_budget() {
    for pause_ms in PAUSES_MS {
        let plan = Plan::same(5, Trouble::Cut { from_ms: 8_000, until_ms: DAY_MS });
        assert!(keeps_budget(Day { plan, requests_per_step: 1, pause_ms }), "bursts every {pause_ms} ms");
    }
}

/// Guards against a share of the slack that each process of a series uses anew.
#[test]
fn replicas_that_are_restarted_in_series_stay_within_the_retry_budget() {
    for (interval_ms, pause_ms) in [(1_000, STEP_MS), (1_000, 20_000), (4_000, STEP_MS), (4_000, 3_750)] {
        let restarts = |index: usize| {
            let times = (20_000..30_000).step_by(interval_ms);
            times.map(move |at_ms| (index, Trouble::Restart { at_ms }))
        };
        let plan = Plan { troubles: (0..5).flat_map(restarts).collect(), ..Plan::calm(5) };
        // Without requests, all retries come from the slack.
        let day = Day { plan, requests_per_step: 0, pause_ms };
        assert!(keeps_budget(day), "restarts every {interval_ms} ms, bursts every {pause_ms} ms");
    }
}

/// Guards against new processes that take the whole slack for theirs before they know the other replicas.
#[test]
fn replicas_that_learn_of_each_other_late_stay_within_the_retry_budget() {
    for replicas in [4, 12, 24] {
        let plan =
            Plan { listed_after_ms: 2_000, ..Plan::same(replicas, Trouble::Restart { at_ms: 20_000 }) };
        let day = Day { plan, requests_per_step: 0, pause_ms: STEP_MS };
        assert!(keeps_budget(day), "{replicas} replicas");
    }
}

/// Guards against a share of the slack that each process of a crash loop uses anew.
#[test]
fn a_replica_in_a_crash_loop_stays_within_the_retry_budget() {
    let restarts = (20_000..30_000).step_by(STEP_MS as usize).map(|at_ms| (0, Trouble::Restart { at_ms }));
    let plan = Plan { troubles: restarts.collect(), ..Plan::calm(1) };
    let day = Day { plan, requests_per_step: 0, pause_ms: STEP_MS };
    assert!(keeps_budget(day));
}

/// Guards against any mixture of them.
#[test]
fn a_fleet_that_is_cut_and_restarted_at_random_stays_within_the_retry_budget() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 42))
        .tests(120)
        .quickcheck(keeps_budget as fn(Day) -> bool);
}

/// Guards against a budget that is never used: failed requests would not be retried at all.
#[test]
fn a_calm_fleet_uses_much_of_the_retry_budget() {
    let plan = Plan::calm(5);
    let (requests, retries) = play(&Day { plan, requests_per_step: 1, pause_ms: STEP_MS });
    let windows = DAY_MS as f64 / RETRIES.window.as_millis() as f64;
    let allowed = RETRIES.ratio * requests.len() as f64 + RETRIES.slack * windows;
    assert!(retries.len() as f64 > 0.3 * allowed, "{} of {allowed}", retries.len());
}
