//! `check`: concurrent runs with random faults; every promise checked on every history.

use std::{collections::BTreeMap, sync::Arc};

use async_std::task;
use bpaf::Bpaf;
use quickcheck::Arbitrary as _;
use serde_json::json;
use strum::IntoEnumIterator as _;

use crate::{
    check::{
        history::History,
        promise::Promise,
        run::run,
        scenario::{Scenario, scenarios},
    },
    fleet::FleetError,
};

/// Tries to make a violating scenario shorter.
const SHRINKS: usize = 40;

/// Options of `check`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Seed of the scenarios
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Number of runs
    #[bpaf(long, argument("R"), fallback(20), display_fallback)]
    pub runs: usize,
    /// Runs at once
    #[bpaf(long, argument("N"), fallback(6), display_fallback)]
    pub at_once: usize,
    /// Plant the defect of one promise, which its checker must catch; `help` lists them
    #[bpaf(long("break"), argument("NAME"), optional)]
    pub broken: Option<String>,
}

/// One violation.
struct Violation {
    promise: Promise,
    what: String,
    scenario: Scenario,
}

/// Runs and checks; true if nothing was violated.
pub async fn execute(options: Options) -> Result<bool, FleetError> {
    let broken = match options.broken.as_deref() {
        Some("help") => {
            Promise::iter().for_each(|promise| println!("{promise}"));
            return Ok(true);
        }
        Some(name) => match name.parse() {
            Ok(promise) => Some(promise),
            Err(_) => {
                eprintln!("--break {name}: no such promise; --break help lists them");
                return Ok(false);
            }
        },
        None => None,
    };
    let all = scenarios(options.seed, options.runs);
    let (mut violations, mut faults) = (Vec::new(), BTreeMap::new());
    let mut done = 0;
    for some in all.chunks(options.at_once.max(1)) {
        let tasks: Vec<_> =
            some.iter().cloned().map(|scenario| task::spawn(one(Arc::new(scenario), broken))).collect();
        for task in tasks {
            let (scenario, history) = task.await?;
            done += 1;
            for (fault, count) in &history.faults {
                *faults.entry(fault.to_string()).or_insert(0) += count;
            }
            for violation in check(&scenario, &history) {
                eprintln!("{}: {}", violation.promise, violation.what);
                violations.push(violation);
            }
        }
        eprintln!("{done} of {} histories, {} violations", all.len(), violations.len());
    }
    if broken.is_none()
        && let Some(first) = violations.first()
    {
        shorten(first).await?;
    }
    report(done, &violations, &faults);
    Ok(violations.is_empty())
}

async fn one(scenario: Arc<Scenario>, broken: Option<Promise>) -> Result<(Scenario, History), FleetError> {
    let history = run(&scenario, broken).await?;
    Ok(((*scenario).clone(), history))
}

fn check(scenario: &Scenario, history: &History) -> Vec<Violation> {
    let broken = Promise::iter().filter_map(|promise| Some((promise, promise.check(history)?)));
    broken.map(|(promise, what)| Violation { promise, what, scenario: scenario.clone() }).collect()
}

/// Runs ever shorter scenarios as long as they break the same promise, and prints the shortest.
async fn shorten(violation: &Violation) -> Result<(), FleetError> {
    let mut shortest = violation.scenario.clone();
    let mut left = SHRINKS;
    'shorter: loop {
        for candidate in shortest.shrink() {
            if left == 0 {
                break 'shorter;
            }
            left -= 1;
            let history = run(&candidate, None).await?;
            if violation.promise.check(&history).is_some() {
                shortest = candidate;
                continue 'shorter;
            }
        }
        break;
    }
    println!("{} is broken: {}", violation.promise, violation.what);
    println!("shortest scenario found, {} steps:", shortest.0.len());
    shortest.0.iter().for_each(|step| println!("  {step:?}"));
    Ok(())
}

fn report(done: usize, violations: &[Violation], faults: &BTreeMap<String, usize>) {
    let mut by_promise: BTreeMap<String, usize> = BTreeMap::new();
    for violation in violations {
        *by_promise.entry(violation.promise.to_string()).or_insert(0) += 1;
    }
    println!(
        "{}",
        json!({ "histories": done, "violations": violations.len(), "by_promise": by_promise, "faults": faults })
    );
}
