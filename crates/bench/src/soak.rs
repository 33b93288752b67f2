//! Gateways, endpoints and a store as separate processes, which are paused, killed and restarted by signals, behind
//! proxies that hold back bytes and reset connections.
//!
//! The seed determines the disturbances and the requests. Processes interleave differently in every run, so a run cannot
//! be replayed exactly.

mod configuration;
mod crash;
mod fetch;
mod operator;
mod order;
mod plan;
mod process;
mod proxy;
mod run;
mod sample;

use std::{
    io,
    path::{Path, PathBuf},
    thread,
    time::Duration,
};

use async_std::task;
use tarragonhill_core::gateway::budget::Rule;

pub use self::{
    configuration::Changes,
    crash::{Crashes, Figures},
    order::Stream,
    plan::{Event, Kind, Plan},
    run::{History, Service},
};

/// Time that everything must have been undisturbed for a request to count, and in which gateways learn of what happens.
const CONTACT: Duration = Duration::from_secs(3);

/// Programs that are started as processes.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The `tarragonhilld` binary.
    pub daemon: PathBuf,
    /// The `tarragonhill-bench` binary, which contains the simulated servers.
    pub bench: PathBuf,
}

impl Programs {
    /// Returns the binaries that were built together with `bench`.
    pub fn beside(bench: &Path) -> Self {
        Self { daemon: bench.with_file_name("tarragonhilld"), bench: bench.to_owned() }
    }
}

/// Size and duration of a run.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of gateways.
    pub gateways: usize,
    /// Time in which disturbances begin.
    pub duration: Duration,
    /// Number of disturbances.
    pub events: usize,
    /// Retry budget of each service.
    pub retries: Rule,
    /// Whether engines have two software versions, some answer without a length, and callers take up broken streams.
    pub is_mixed: bool,
    /// Number of parts of prompts that crash decode engines.
    pub crashing_parts: usize,
    /// Whether an operator withdraws keys all the time, and a customer sends more than its limit allows.
    pub has_operator: bool,
}

impl Default for Shape {
    fn default() -> Self {
        let retries = Rule { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
        Self {
            gateways: 4,
            duration: Duration::from_secs(40),
            events: 12,
            retries,
            is_mixed: false,
            crashing_parts: 0,
            has_operator: false,
        }
    }
}

/// Plays these plans concurrently. Writes the logs of the gateways of each into a directory below `logs`.
pub fn run_all(programs: &Programs, shape: Shape, plans: Vec<Plan>, logs: &Path) -> io::Result<Vec<History>> {
    thread::scope(|scope| {
        let start = |plan: Plan| {
            let directory = logs.join(format!("seed-{}", plan.seed));
            scope.spawn(move || task::block_on(run::run(programs, shape, plan, &directory)))
        };
        let runs: Vec<_> = plans.into_iter().map(start).collect();
        runs.into_iter().map(|run| run.join().expect("a run does not panic")).collect()
    })
}
