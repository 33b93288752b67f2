//! `tarragonhill-bench`: simulated servers, load generation and experiments, for tests and benchmarks
//! only.

use std::process::ExitCode;

use async_std::task;
use bpaf::Bpaf;
use tarragonhill_bench::{
    cmd::{abuse, attack, check, demo, gossip, measure, overhead, restarts, site, slopes, soak, stand_in},
    fleet::FleetError,
};
use tarragonhill_daemon::logging;

/// Simulated servers, load generation and experiments for the tarragonhill router
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Start a complete fleet in one process and send example requests to it
    #[bpaf(command)]
    Demo,
    /// Run random scenarios with faults and check every invariant on each history
    #[bpaf(command)]
    Check(#[bpaf(external(check::options))] check::Options),
    /// Start simulated servers for manual tests of the daemons
    #[bpaf(command)]
    Site,
    /// Measure the latency and processor time that the router adds to a request
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::options))] overhead::Options),
    /// Measure goodput, wasted prefill work and fairness of each policy under load and faults
    #[bpaf(command)]
    Measure(#[bpaf(external(measure::options))] measure::Options),
    /// Measure how the cost of each role grows with the fleet size
    #[bpaf(command)]
    Slopes,
    /// Measure the digests that gateways exchange, by fleet size, in a simulated network
    #[bpaf(command)]
    Gossip(#[bpaf(external(gossip::options))] gossip::Options),
    /// Restart gateways under load and check what callers and endpoints saw
    #[bpaf(command)]
    Restarts(#[bpaf(external(restarts::options))] restarts::Options),
    /// Run gateways, endpoints and a store as processes, disturb them by signals and proxies, and check the retry budget
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::options))] soak::Options),
    /// Play clients that do not behave against a gateway, and check its memory and what ordinary callers get
    #[bpaf(command)]
    Abuse(#[bpaf(external(abuse::options))] abuse::Options),
    /// Run clients that do not behave as a process of its own, for `abuse`
    #[bpaf(command)]
    Attack(#[bpaf(external(attack::options))] attack::Options),
    /// Run one simulated server as a process of its own, for `soak`
    #[bpaf(command("stand-in"))]
    StandIn(#[bpaf(external(stand_in::options))] stand_in::Options),
}

fn main() -> ExitCode {
    // Keeps the daemons' logs out of the report.
    if let Err(error) = logging::init(logging::off()) {
        eprintln!("tarragonhill-bench: {error}");
        return ExitCode::FAILURE;
    }
    let result = match options().run() {
        Options::Demo => task::block_on(demo::execute()),
        Options::Check(options) => task::block_on(check::execute(options)),
        Options::Site => task::block_on(site::execute()),
        Options::Slopes => task::block_on(slopes::execute()),
        Options::Gossip(options) => gossip::execute(options),
        Options::Restarts(options) => restarts::execute(options).map_err(FleetError::from),
        Options::Soak(options) => soak::execute(options).map_err(FleetError::from),
        Options::Abuse(options) => abuse::execute(options).map_err(FleetError::from),
        Options::Attack(options) => task::block_on(attack::execute(options)).map_err(FleetError::from),
        Options::StandIn(options) => task::block_on(stand_in::execute(options)).map_err(FleetError::from),
        Options::Measure(options) => task::block_on(measure::execute(options)),
        Options::Overhead(options) => task::block_on(overhead::execute(options)),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("tarragonhill-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
