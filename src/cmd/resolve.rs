//! `resolve`: prints whether a plan was applied.

use bpaf::{Parser, construct, positional};

use crate::cmd::{Command, CommandError, Entry, print};

#[derive(Clone, Debug)]
pub(crate) struct Options {
    entry: Entry,
    plan: String,
}

pub(crate) fn command() -> impl Parser<Command> {
    let entry = Entry::parser();
    let plan = positional::<String>("PLAN").help("Identifier of the plan");
    let options = construct!(Options { entry, plan }).map(Command::Resolve);
    let descr = "Print whether a plan was applied; an unconfirmed plan is invalidated";
    options.to_options().descr(descr).command("resolve")
}

pub(crate) async fn execute(options: Options) -> Result<(), CommandError> {
    print(&options.entry.client().resolve(&options.plan).await?);
    Ok(())
}
