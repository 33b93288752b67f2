//! Tests of the rates of customers over a whole fleet with replicas that are restarted.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    Time,
    gateway::{
        catalog::{Catalog, Limits},
        state::{Admission, State},
    },
};

use crate::{
    at, customer,
    fleet::{DAY_MS, Fleet, Plan, Trouble, busiest},
    position,
};

const STEP_MS: u64 = 100;
/// Rate in tokens a second, and burst in tokens, of the customer.
const RATE: u64 = 66_780;
/// What the customer asks for, as a multiple of its rate.
const DEMAND: u64 = 10;
const REQUEST_TOKENS: u64 = 2_000;
const WINDOW: Duration = Duration::from_secs(8);
/// Tokens that may be used in a window beyond rate and burst: a tenth of both, and a fixed amount.
const TOLERATED_DIVISOR: u64 = 10;
const TOLERATED_SLACK: u64 = 190_000;

fn prepare(state: &mut State<u32>, now: Time) {
    let mut catalog = Catalog::new(1, Limits::default());
    catalog.add_customer(customer("faculty", RATE, RATE), ["key".into()]);
    state.apply_catalog(now, position(1), Arc::new(catalog));
}

/// Guards against a part of each burst that every process of a series uses anew.
#[test]
fn replicas_that_are_all_restarted_in_series_keep_to_the_rate_of_a_customer() {
    let restarts =
        |index: usize| (0..10).map(move |round| (index, Trouble::Restart { at_ms: 20_000 + 1_000 * round }));
    let plan = Plan { troubles: (0..24).flat_map(restarts).collect(), ..Plan::calm(24) };
    let mut fleet = Fleet::new(plan, STEP_MS, prepare);
    let customer = Some(Arc::new(customer("faculty", RATE, RATE)));
    let admission =
        Admission { customer, tokens: REQUEST_TOKENS, service: "notes".into(), suspects: Arc::default() };
    let requests_per_step = DEMAND * RATE * STEP_MS / 1_000 / REQUEST_TOKENS;
    let mut spent = Vec::new();
    for now_ms in (0..DAY_MS).step_by(STEP_MS as usize) {
        fleet.step(now_ms);
        let mut replicas: Vec<_> = fleet.alive().collect();
        let count = replicas.len();
        for request in 0..requests_per_step as usize {
            let (_, replica) = &mut replicas[request % count];
            if replica.state.admit(at(now_ms), &admission).is_ok() {
                spent.push((at(now_ms), REQUEST_TOKENS));
            }
        }
    }
    let owed = RATE * WINDOW.as_secs() + RATE;
    let most = owed + owed / TOLERATED_DIVISOR + TOLERATED_SLACK;
    let busiest = busiest(&spent, WINDOW);
    assert!(busiest <= most, "{busiest} tokens in {WINDOW:?}, allowed {most}");
}
