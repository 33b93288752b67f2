//! `tarragonhill`, the operators' command line. The subcommands are in [`cmd`].

mod cmd;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser as _, construct};

use crate::cmd::Command;

fn options() -> OptionParser<Command> {
    let plan = cmd::plan::command();
    let confirm = cmd::confirm::command();
    let resolve = cmd::resolve::command();
    let show = cmd::show::command();
    let dump = cmd::dump::command();
    let story = cmd::story::command();
    let failures = cmd::failures::command();
    construct!([plan, confirm, resolve, show, dump, story, failures])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates tarragonhill: plans and confirms changes, shows state and analyzes logs")
}

fn main() -> ExitCode {
    let command = options().run();
    match async_std::task::block_on(command.execute()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tarragonhill: {error}");
            ExitCode::FAILURE
        }
    }
}
