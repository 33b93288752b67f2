//! `confirm`: applies a plan.

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
    let file = positional::<PathBuf>("FILE").help("File written by `plan`");
    let options = construct!(Options { entry, file }).map(Command::Confirm);
    options.to_options().descr("Apply a plan").command("confirm")
}

pub(crate) async fn execute(options: Options) -> Result<(), CommandError> {
    let path = options.file;
    let bytes = fs::read(&path).map_err(|error| CommandError::File(path.clone(), error))?;
    let planned: Planned =
        serde_json::from_slice(&bytes).map_err(|error| CommandError::NotAPlan(path, error))?;
    let result = options.entry.client().confirm(&planned).await;
    if result.is_err() {
        eprintln!("to check whether the plan was applied: tarragonhill resolve {}", planned.plan.id);
    }
    println!("confirmed; settings version {} is in force at this entry", result?);
    Ok(())
}
