//! `failures`: counts failed requests by cause, from the daemons' logs.

use std::path::PathBuf;

use bpaf::{Parser, construct, positional};
use tarragonhill_operator::log::failures;

use crate::cmd::{Command, CommandError, read_logs};

#[derive(Clone, Debug)]
pub(crate) struct Options {
    files: Vec<PathBuf>,
}

pub(crate) fn command() -> impl Parser<Command> {
    let files = positional("LOG")
        .help("Log files of the daemons, in any order")
        .some("specify at least one log file");
    let options = construct!(Options { files }).map(Command::Failures);
    options.to_options().descr("Count failed requests by cause, from the daemons' logs").command("failures")
}

pub(crate) fn execute(options: &Options) -> Result<(), CommandError> {
    let lines = read_logs(&options.files)?;
    let mut failures: Vec<_> = failures(&lines).into_iter().collect();
    failures.sort_by_key(|(_, failures)| std::cmp::Reverse(failures.count));
    for (cause, failures) in failures {
        println!("{:>7}  {cause}  (such as {})", failures.count, failures.example);
    }
    Ok(())
}
