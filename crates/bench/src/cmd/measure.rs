//! `measure`: runs each placement policy on the same synthetic load and prints its scores.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use bpaf::Bpaf;
use serde_json::json;
use strum::{Display, EnumString, IntoEnumIterator as _};
use tarragonhill_core::placement::Policy;

use crate::{
    caller::Caller,
    fleet::{Fleet, FleetError, key_of},
    score::{Record, Score},
    workload::{Arrival, Deployment, arrivals, parse_deployment},
};

/// Delay between the start of the fleet and the first request.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Fraction of the run after which the fault is injected.
const FAULT_START: f64 = 0.4;
/// Duration of temporary faults.
const FAULT_DURATION: Duration = Duration::from_secs(4);

/// Fault injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    None,
    /// The table is down until the end of the run.
    TableDown,
    /// One entry crashes and the load balancer sends its requests to the others.
    EntryKilled,
    /// One decode engine crashes and restarts.
    DecodeCrash,
    /// One prefill engine crashes and restarts.
    PrefillCrash,
    /// The load balancer sends all requests to one entry.
    Uneven,
}

/// Options of `measure`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// blue-mahoe or cascade
    #[bpaf(long, argument::<String>("NAME"), parse(|name| parse_deployment(&name)))]
    pub deployment: Deployment,
    /// Seed of the offered load
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Duration of the load, seconds
    #[bpaf(long, argument("S"), fallback(20), display_fallback)]
    pub seconds: u64,
    /// Factor on the request rates; at 1 all customers but one stay within their rates
    #[bpaf(long, argument("X"), fallback(1.0), display_fallback)]
    pub load: f64,
    /// current, hold-first, least-loaded, round-robin or all
    #[bpaf(long, argument::<String>("NAME"), parse(|name| parse_policies(&name)), fallback(Policy::iter().collect()))]
    pub policy: Vec<Policy>,
    /// none, table-down, entry-killed, decode-crash, prefill-crash or uneven
    #[bpaf(long, argument("NAME"), fallback(Fault::None), display_fallback)]
    pub fault: Fault,
}

fn parse_policies(name: &str) -> Result<Vec<Policy>, String> {
    match name {
        "all" => Ok(Policy::iter().collect()),
        _ => name.parse().map(|policy| vec![policy]).map_err(|_| format!("unknown policy {name:?}")),
    }
}

/// Runs each policy on the same load. Returns true if no answer was wrong and no customer exceeded its
/// rate limit.
pub async fn execute(options: Options) -> Result<bool, FleetError> {
    let length = Duration::from_secs(options.seconds);
    let load = arrivals(options.deployment, options.seed, length, options.load);
    let mut is_clean = true;
    for policy in &options.policy {
        let score = run_policy(&options, *policy, &load).await?;
        is_clean &= score.violations == 0 && score.over_limit == 0;
        let mut line = score.json();
        line["policy"] = json!(policy.to_string());
        line["deployment"] = json!(options.deployment.to_string());
        line["seed"] = json!(options.seed);
        line["load"] = json!(options.load);
        line["fault"] = json!(options.fault.to_string());
        println!("{line}");
    }
    Ok(is_clean)
}

async fn run_policy(options: &Options, policy: Policy, load: &[Arrival]) -> Result<Score, FleetError> {
    let shape = options.deployment.shape(policy);
    let customers = shape.customers.clone();
    let mut fleet = Fleet::start(shape).await?;
    let delay = options.deployment.delay();
    fleet.prefill.iter().for_each(|engine| engine.faults.set_delay(delay));
    fleet.decode.iter().for_each(|engine| engine.faults.set_delay(delay));
    fleet.table.faults.set_delay(2 * delay);
    task::sleep(SETTLE_TIME).await;

    let addresses: Vec<_> = fleet.entries.iter().flatten().map(|entry| entry.address()).collect();
    let callers: Vec<Vec<Arc<Caller>>> = addresses
        .iter()
        .map(|address| customers.iter().map(|t| Arc::new(Caller::new(*address, key_of(&t.name)))).collect())
        .collect();
    let began = Instant::now();
    let fault_at = Duration::from_secs_f64(options.seconds as f64 * FAULT_START);
    let mut is_injected = false;
    let mut tasks = Vec::new();
    for arrival in load {
        if !is_injected && arrival.at >= fault_at {
            inject_fault(&mut fleet, options.fault).await;
            is_injected = true;
        }
        task::sleep((began + arrival.at).saturating_duration_since(Instant::now())).await;
        let entry = match (options.fault, is_injected) {
            (Fault::Uneven, _) => 0,
            (Fault::EntryKilled, true) => 1 + arrival.entry % 2,
            _ => arrival.entry,
        };
        let caller = callers[entry][arrival.customer].clone();
        let arrival = arrival.clone();
        tasks.push(task::spawn(async move {
            let timed = caller.complete(&arrival.completion).await;
            Record { arrival, timed }
        }));
    }
    let mut records = Vec::new();
    for task in tasks {
        records.push(task.await);
    }
    let score = Score::of(&records, &fleet, &customers);
    fleet.stop().await;
    Ok(score)
}

async fn inject_fault(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::None | Fault::Uneven => {}
        Fault::TableDown => fleet.table.faults.set_down(true),
        Fault::EntryKilled => {
            if let Some(entry) = fleet.entries[0].take() {
                entry.kill().await;
            }
        }
        Fault::DecodeCrash => crash_briefly(&fleet.decode[0].faults),
        Fault::PrefillCrash => crash_briefly(&fleet.prefill[0].faults),
    }
}

fn crash_briefly(faults: &Arc<crate::sim::Faults>) {
    let faults = faults.clone();
    faults.set_down(true);
    task::spawn(async move {
        task::sleep(FAULT_DURATION).await;
        faults.set_down(false);
    });
}
