//! The platform's lagging list of hosts.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tarragonhill_http::server::Outbound;
use tarragonhill_table::{Host, HostState};

use super::{Faults, Listener, lock};

type Known = BTreeMap<String, Vec<(Instant, HostState)>>;

/// The list.
#[derive(Debug)]
pub struct Hosts {
    /// Injected faults.
    pub faults: Arc<Faults>,
    listener: Listener,
    known: Arc<Mutex<Known>>,
}

impl Hosts {
    /// Starts an empty list that shows changes after `lag`.
    pub async fn start(lag: Duration) -> std::io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let known: Arc<Mutex<Known>> = Arc::default();
        let shared = known.clone();
        let listener = Listener::start(faults.clone(), move |_| {
            let known = shared.clone();
            async move { Outbound::json(200, &listed(&lock(&known), lag)) }
        })
        .await?;
        Ok(Self { faults, listener, known })
    }

    /// Where it listens.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listener.address
    }

    /// Sets a host's state; the list shows it after the lag.
    pub fn set(&self, name: &str, state: HostState) {
        lock(&self.known).entry(name.to_owned()).or_default().push((Instant::now(), state));
    }
}

fn listed(known: &Known, lag: Duration) -> Vec<Host> {
    let shown = known.iter().filter_map(|(name, states)| {
        let (_, state) = states.iter().rev().find(|(since, _)| since.elapsed() >= lag)?;
        Some(Host { name: name.clone(), state: *state })
    });
    shown.collect()
}
