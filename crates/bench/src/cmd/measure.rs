//! `measure`: the three measures of the brief for each policy, on one seed in one run.

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
    score::{Done, Score},
    workload::{Arrival, Deployment, arrivals, deployment},
};

/// Time for the fleet to come to rest before load begins.
const SETTLE: Duration = Duration::from_millis(500);
/// Part of the run after which a fault strikes.
const FAULT_AT: f64 = 0.4;
/// How long a fault lasts, if it ends by itself.
const FAULT_LASTS: Duration = Duration::from_secs(4);

/// A failure brought about in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// None.
    None,
    /// The table is down until the end.
    TableDown,
    /// One entry dies; the balancer sends its callers to the others.
    EntryKilled,
    /// One decode engine's process dies and comes back.
    DecodeCrash,
    /// One prefill engine's process dies and comes back.
    PrefillCrash,
    /// The balancer sends all callers to one entry.
    Uneven,
}

/// Options of `measure`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// blue-mahoe or cascade
    #[bpaf(long, argument::<String>("NAME"), parse(|name| deployment(&name)))]
    pub deployment: Deployment,
    /// Seed of the offered load
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Length of the load, seconds
    #[bpaf(long, argument("S"), fallback(20), display_fallback)]
    pub seconds: u64,
    /// Offered load; at 1 all customers but one keep within their rates
    #[bpaf(long, argument("X"), fallback(1.0), display_fallback)]
    pub load: f64,
    /// current, hold-first, least-loaded, round-robin or all
    #[bpaf(long, argument::<String>("NAME"), parse(|name| policies(&name)), fallback(Policy::iter().collect()))]
    pub policy: Vec<Policy>,
    /// none, table-down, entry-killed, decode-crash, prefill-crash or uneven
    #[bpaf(long, argument("NAME"), fallback(Fault::None), display_fallback)]
    pub fault: Fault,
}

fn policies(name: &str) -> Result<Vec<Policy>, String> {
    match name {
        "all" => Ok(Policy::iter().collect()),
        _ => name.parse().map(|policy| vec![policy]).map_err(|_| format!("{name:?} is not a policy")),
    }
}

/// Runs each policy on the same load; true if nothing was violated.
pub async fn execute(options: Options) -> Result<bool, FleetError> {
    let length = Duration::from_secs(options.seconds);
    let load = arrivals(options.deployment, options.seed, length, options.load);
    let mut clean = true;
    for policy in &options.policy {
        let score = run(&options, *policy, &load).await?;
        clean &= score.violations == 0 && score.over_limit == 0;
        let mut line = score.json();
        line["policy"] = json!(policy.to_string());
        line["deployment"] = json!(options.deployment.to_string());
        line["seed"] = json!(options.seed);
        line["load"] = json!(options.load);
        line["fault"] = json!(options.fault.to_string());
        println!("{line}");
    }
    Ok(clean)
}

async fn run(options: &Options, policy: Policy, load: &[Arrival]) -> Result<Score, FleetError> {
    let shape = options.deployment.shape(policy);
    let tenants = shape.tenants.clone();
    let mut fleet = Fleet::start(shape).await?;
    let delay = options.deployment.delay();
    fleet.prefill.iter().for_each(|engine| engine.faults.set_delay(delay));
    fleet.decode.iter().for_each(|engine| engine.faults.set_delay(delay));
    fleet.table.faults.set_delay(2 * delay);
    task::sleep(SETTLE).await;

    let addresses: Vec<_> = fleet.entries.iter().flatten().map(|entry| entry.address()).collect();
    let callers: Vec<Vec<Arc<Caller>>> = addresses
        .iter()
        .map(|address| tenants.iter().map(|t| Arc::new(Caller::new(*address, key_of(&t.name)))).collect())
        .collect();
    let began = Instant::now();
    let fault_at = Duration::from_secs_f64(options.seconds as f64 * FAULT_AT);
    let mut struck = false;
    let mut tasks = Vec::new();
    for arrival in load {
        if !struck && arrival.at >= fault_at {
            strike(&mut fleet, options.fault).await;
            struck = true;
        }
        task::sleep((began + arrival.at).saturating_duration_since(Instant::now())).await;
        let entry = match (options.fault, struck) {
            (Fault::Uneven, _) => 0,
            (Fault::EntryKilled, true) => 1 + arrival.entry % 2,
            _ => arrival.entry,
        };
        let caller = callers[entry][arrival.tenant].clone();
        let arrival = arrival.clone();
        tasks.push(task::spawn(async move {
            let timed = caller.complete(&arrival.completion).await;
            Done { arrival, timed }
        }));
    }
    let mut done = Vec::new();
    for task in tasks {
        done.push(task.await);
    }
    let score = Score::of(&done, &fleet, &tenants);
    fleet.stop().await;
    Ok(score)
}

async fn strike(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::None | Fault::Uneven => {}
        Fault::TableDown => fleet.table.faults.set_down(true),
        Fault::EntryKilled => {
            if let Some(entry) = fleet.entries[0].take() {
                entry.kill().await;
            }
        }
        Fault::DecodeCrash => restart_later(&fleet.decode[0].faults),
        Fault::PrefillCrash => restart_later(&fleet.prefill[0].faults),
    }
}

fn restart_later(faults: &Arc<crate::sim::Faults>) {
    let faults = faults.clone();
    faults.set_down(true);
    task::spawn(async move {
        task::sleep(FAULT_LASTS).await;
        faults.set_down(false);
    });
}
