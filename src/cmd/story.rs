//! `story`: prints the timeline of a request, from the daemons' logs.

use std::path::PathBuf;

use bpaf::{Parser, construct, positional};
use tarragonhill_operator::log::timeline;

use crate::cmd::{Command, CommandError, read_logs};

#[derive(Clone, Debug)]
pub(crate) struct Options {
    request: String,
    files: Vec<PathBuf>,
}

pub(crate) fn command() -> impl Parser<Command> {
    let request = positional("ID").help("Request identifier, as known to the caller");
    let files = positional("LOG")
        .help("Log files of the daemons, in any order")
        .some("specify at least one log file");
    let options = construct!(Options { request, files }).map(Command::Story);
    options.to_options().descr("Print the timeline of a request, from the daemons' logs").command("story")
}

pub(crate) fn execute(options: &Options) -> Result<(), CommandError> {
    let lines = read_logs(&options.files)?;
    let timeline = timeline(&lines, &options.request);
    let Some(first) = timeline.first() else { return Err(CommandError::NotFound(options.request.clone())) };
    for line in &timeline {
        println!("{:>8.3} s  {}", (line.at_ms - first.at_ms) as f64 / 1_000.0, line.describe());
    }
    Ok(())
}
