//! `check`: runs random scenarios with faults and checks every invariant on each history.

use std::{collections::BTreeMap, sync::Arc};

use async_std::task;
use bpaf::Bpaf;
use quickcheck::Arbitrary as _;
use serde_json::json;
use strum::IntoEnumIterator as _;

use crate::{
    check::{
        history::History,
        invariant::Invariant,
        run::run,
        scenario::{Scenario, scenarios},
    },
    fleet::FleetError,
};

/// Maximum number of runs spent on shrinking a scenario that violates an invariant.
const MAX_SHRINK_RUNS: usize = 40;

/// Options of `check`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Seed of the random scenarios
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Number of runs
    #[bpaf(long, argument("R"), fallback(20), display_fallback)]
    pub runs: usize,
    /// Number of concurrent runs
    #[bpaf(long, argument("N"), fallback(6), display_fallback)]
    pub at_once: usize,
    /// Inject a defect that violates one invariant, to test its checker; `help` lists the names
    #[bpaf(long("break"), argument("NAME"), optional)]
    pub defect: Option<String>,
}

struct Violation {
    invariant: Invariant,
    details: String,
    scenario: Scenario,
}

/// Runs and checks scenarios. Returns true if no invariant was violated.
pub async fn execute(options: Options) -> Result<bool, FleetError> {
    let defect = match options.defect.as_deref() {
        Some("help") => {
            Invariant::iter().for_each(|invariant| println!("{invariant}"));
            return Ok(true);
        }
        Some(name) => match name.parse() {
            Ok(invariant) => Some(invariant),
            Err(_) => {
                eprintln!("--break {name}: unknown invariant; `--break help` lists the names");
                return Ok(false);
            }
        },
        None => None,
    };
    let scenarios = scenarios(options.seed, options.runs);
    let (mut violations, mut faults) = (Vec::new(), BTreeMap::new());
    let mut completed = 0;
    for batch in scenarios.chunks(options.at_once.max(1)) {
        let tasks: Vec<_> = batch
            .iter()
            .cloned()
            .map(|scenario| task::spawn(run_scenario(Arc::new(scenario), defect)))
            .collect();
        for task in tasks {
            let (scenario, history) = task.await?;
            completed += 1;
            for (fault, count) in &history.faults {
                *faults.entry(fault.to_string()).or_insert(0) += count;
            }
            for violation in find_violations(&scenario, &history) {
                eprintln!("{}: {}", violation.invariant, violation.details);
                violations.push(violation);
            }
        }
        eprintln!("{completed} of {} histories, {} violations", scenarios.len(), violations.len());
    }
    if defect.is_none()
        && let Some(first) = violations.first()
    {
        minimize(first).await?;
    }
    print_report(completed, &violations, &faults);
    Ok(violations.is_empty())
}

async fn run_scenario(
    scenario: Arc<Scenario>,
    defect: Option<Invariant>,
) -> Result<(Scenario, History), FleetError> {
    let history = run(&scenario, defect).await?;
    Ok(((*scenario).clone(), history))
}

fn find_violations(scenario: &Scenario, history: &History) -> Vec<Violation> {
    let violations = Invariant::iter().filter_map(|invariant| Some((invariant, invariant.check(history)?)));
    violations
        .map(|(invariant, details)| Violation { invariant, details, scenario: scenario.clone() })
        .collect()
}

/// Shrinks the scenario while it violates the same invariant, and prints the shortest one found.
async fn minimize(violation: &Violation) -> Result<(), FleetError> {
    let mut shortest = violation.scenario.clone();
    let mut remaining = MAX_SHRINK_RUNS;
    'shorter: loop {
        for candidate in shortest.shrink() {
            if remaining == 0 {
                break 'shorter;
            }
            remaining -= 1;
            let history = run(&candidate, None).await?;
            if violation.invariant.check(&history).is_some() {
                shortest = candidate;
                continue 'shorter;
            }
        }
        break;
    }
    println!("{} is violated: {}", violation.invariant, violation.details);
    println!("shortest scenario found, {} steps:", shortest.0.len());
    shortest.0.iter().for_each(|step| println!("  {step:?}"));
    Ok(())
}

fn print_report(completed: usize, violations: &[Violation], faults: &BTreeMap<String, usize>) {
    let mut by_invariant: BTreeMap<String, usize> = BTreeMap::new();
    for violation in violations {
        *by_invariant.entry(violation.invariant.to_string()).or_insert(0) += 1;
    }
    println!(
        "{}",
        json!({ "histories": completed, "violations": violations.len(), "by_promise": by_invariant, "faults": faults })
    );
}
