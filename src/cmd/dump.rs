//! `dump`: prints the state of a daemon.

use std::net::SocketAddr;

use bpaf::{Parser, construct, positional};
use tarragonhill_operator::Client;

use crate::cmd::{Command, CommandError, print, token};

#[derive(Clone, Debug)]
pub(crate) struct Options {
    token: Option<String>,
    address: SocketAddr,
}

pub(crate) fn command() -> impl Parser<Command> {
    let token = token();
    let address = positional::<SocketAddr>("ADDR").help("Admin address of an entry or agent");
    let options = construct!(Options { token, address }).map(Command::Dump);
    options.to_options().descr("Print the state of a daemon as JSON").command("dump")
}

pub(crate) async fn execute(options: Options) -> Result<(), CommandError> {
    print(&Client::new(options.address, options.token).dump().await?);
    Ok(())
}
