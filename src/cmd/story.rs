//! `story`: what became of one request, from the daemons' logs.

use std::path::PathBuf;

use bpaf::{Parser, construct, positional};
use tarragonhill_operator::log::story;

use crate::cmd::{Command, CommandError, read_logs};

#[derive(Clone, Debug)]
pub(crate) struct Options {
    request: String,
    files: Vec<PathBuf>,
}

pub(crate) fn command() -> impl Parser<Command> {
    let request = positional("ID").help("The request's id, as the caller has it");
    let files = positional("LOG").help("Logs of the daemons, in any order").some("name at least one log");
    let options = construct!(Options { request, files }).map(Command::Story);
    options.to_options().descr("Tell what became of a request, from the daemons' logs").command("story")
}

pub(crate) fn execute(options: &Options) -> Result<(), CommandError> {
    let lines = read_logs(&options.files)?;
    let story = story(&lines, &options.request);
    let Some(first) = story.first() else { return Err(CommandError::NoStory(options.request.clone())) };
    for line in &story {
        println!("{:>8.3} s  {}", (line.at - first.at) as f64 / 1_000.0, line.describe());
    }
    Ok(())
}
