//! `attack`: clients that do not behave, in a process of their own.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

use crate::{
    abuse::client::{Attack, Door, Kind, Log, Target, run},
    sim::lock,
};

/// Options of `attack`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// What the clients do
    #[bpaf(long, argument("KIND"))]
    kind: Kind,
    /// Where they do it
    #[bpaf(long, argument("DOOR"))]
    door: Door,
    /// Number of connections at once
    #[bpaf(long, argument("N"))]
    connections: usize,
    /// Seed of what they choose
    #[bpaf(long, argument("N"))]
    seed: u64,
    /// How long they go on, milliseconds
    #[bpaf(long, argument("MS"))]
    ms: u64,
    /// Address for callers
    #[bpaf(long, argument("IP:PORT"))]
    callers: SocketAddr,
    /// Address for readiness, metrics and state
    #[bpaf(long, argument("IP:PORT"))]
    admin: SocketAddr,
}

/// What the clients did and got, printed as JSON.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Connections opened.
    pub opened: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Ids of requests that were refused as not run.
    pub refused: Vec<String>,
}

/// Runs the clients and prints a [`Report`].
pub async fn execute(options: Options) -> io::Result<bool> {
    let Options { kind, door, connections, seed, ms, callers, admin } = options;
    let log: Arc<Log> = Arc::default();
    let until = Instant::now() + Duration::from_millis(ms);
    run(Target { callers, admin }, Attack { kind, door, connections, seed }, until, log.clone()).await;
    let report = Report {
        opened: log.opened.load(Ordering::Relaxed),
        sent: log.sent.load(Ordering::Relaxed),
        refused: lock(&log.refused).clone(),
    };
    println!("{}", serde_json::to_string(&report)?);
    Ok(true)
}
