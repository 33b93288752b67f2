//! `resolve`: learn what became of a plan.

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
    let descr = "Learn what became of a plan; one that was not confirmed never will be after this";
    options.to_options().descr(descr).command("resolve")
}

pub(crate) async fn execute(options: Options) -> Result<(), CommandError> {
    print(&options.entry.client().resolve(&options.plan).await?);
    Ok(())
}
