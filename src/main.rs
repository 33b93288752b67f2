//! `tarragonhill`, the operators' command line. The subcommands are in [`cmd`].

mod cmd;

use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure, Parser as _, construct};

use crate::cmd::Command;

/// Width of help texts, in characters.
const MAX_WIDTH: usize = 100;

fn options() -> OptionParser<Command> {
    let plan = cmd::plan::command();
    let confirm = cmd::confirm::command();
    let resolve = cmd::resolve::command();
    let show = cmd::show::command();
    let dump = cmd::dump::command();
    let explain = cmd::explain::command();
    let story = cmd::story::command();
    let failures = cmd::failures::command();
    construct!([plan, confirm, resolve, show, dump, explain, story, failures])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates tarragonhill: plans and confirms changes, shows state and analyzes logs")
}

fn main() -> ExitCode {
    let command = match options().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(MAX_WIDTH);
            return ExitCode::from(if matches!(failure, ParseFailure::Stderr(_)) { 2 } else { 0 });
        }
    };
    match async_std::task::block_on(command.execute()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tarragonhill: {error}");
            error.exit_code()
        }
    }
}
