//! `show`: prints the settings in force.

use bpaf::{Parser, construct};

use crate::cmd::{Command, CommandError, Entry, print};

#[derive(Clone, Debug)]
pub(crate) struct Options {
    entry: Entry,
}

pub(crate) fn command() -> impl Parser<Command> {
    let entry = Entry::parser();
    let options = construct!(Options { entry }).map(Command::Show);
    options.to_options().descr("Show the customers, keys and endpoints in force").command("show")
}

pub(crate) async fn execute(options: Options) -> Result<(), CommandError> {
    print(&options.entry.client().settings().await?);
    Ok(())
}
