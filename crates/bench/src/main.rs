//! `tarragonhill-bench`: stand-ins, load and experiments. For tests and measurement only.

use std::process::ExitCode;

use async_std::task;
use bpaf::Bpaf;
use tarragonhill_bench::cmd::{check, demo, measure, overhead, site, slopes};
use tarragonhill_daemon::logging;

/// Stand-ins, load and experiments for the tarragonhill router
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Start a whole site in one process and show it at work
    #[bpaf(command)]
    Demo,
    /// Run random histories with faults and check every promise on each
    #[bpaf(command)]
    Check(#[bpaf(external(check::options))] check::Options),
    /// Start stand-ins for trying the daemons out by hand
    #[bpaf(command)]
    Site,
    /// Measure the time that entry and agent add to a request
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::options))] overhead::Options),
    /// Measure goodput, waste and fairness of each policy under load and faults
    #[bpaf(command)]
    Measure(#[bpaf(external(measure::options))] measure::Options),
    /// Measure how the cost of each role grows with the size of the fleet
    #[bpaf(command)]
    Slopes,
}

fn main() -> ExitCode {
    // The daemons' logs would drown the report.
    if let Err(error) = logging::init(logging::off()) {
        eprintln!("tarragonhill-bench: {error}");
        return ExitCode::FAILURE;
    }
    let result = match options().run() {
        Options::Demo => task::block_on(demo::execute()),
        Options::Check(options) => task::block_on(check::execute(options)),
        Options::Site => task::block_on(site::execute()),
        Options::Slopes => task::block_on(slopes::execute()),
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
