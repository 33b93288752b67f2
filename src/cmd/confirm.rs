//! `confirm`: put a plan in force.

use std::{fs, path::PathBuf};

use bpaf::{Parser, construct, positional};
use tarragonhill_operator::Planned;

use crate::cmd::{Command, CommandError, Entry};

#[derive(Clone, Debug)]
pub(crate) struct Options {
    entry: Entry,
    file: PathBuf,
}

pub(crate) fn command() -> impl Parser<Command> {
    let entry = Entry::parser();
    let file = positional::<PathBuf>("FILE").help("The plan, as `plan` wrote it");
    let options = construct!(Options { entry, file }).map(Command::Confirm);
    options.to_options().descr("Put a plan in force").command("confirm")
}

pub(crate) async fn execute(options: Options) -> Result<(), CommandError> {
    let path = options.file;
    let bytes = fs::read(&path).map_err(|error| CommandError::File(path.clone(), error))?;
    let planned: Planned =
        serde_json::from_slice(&bytes).map_err(|error| CommandError::NotAPlan(path, error))?;
    let confirmed = options.entry.client().confirm(&planned).await;
    if confirmed.is_err() {
        eprintln!("to learn what became of it: tarragonhill resolve {}", planned.plan.id);
    }
    println!("confirmed; settings version {} is in force at this entry", confirmed?);
    Ok(())
}
