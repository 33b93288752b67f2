//! A simulated host list of the platform, which shows changes after a delay.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tarragonhill_http::server::Outbound;
use tarragonhill_table::{Host, HostState};

use super::{Faults, Listener, lock};

/// State changes of each host, with their times.
type States = BTreeMap<String, Vec<(Instant, HostState)>>;

/// A running host list.
#[derive(Debug)]
pub struct Hosts {
    /// Injected faults.
    pub faults: Arc<Faults>,
    listener: Listener,
    hosts: Arc<Mutex<States>>,
}

impl Hosts {
    /// Starts an empty list that shows changes after `lag`.
    pub async fn start(lag: Duration) -> std::io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let hosts: Arc<Mutex<States>> = Arc::default();
        let shared = hosts.clone();
        let listener = Listener::start(faults.clone(), move |_| {
            let hosts = shared.clone();
            async move { Outbound::json(200, &visible_hosts(&lock(&hosts), lag)) }
        })
        .await?;
        Ok(Self { faults, listener, hosts })
    }

    /// Returns the local address.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listener.address
    }

    /// Sets the state of a host; the list shows it after the lag.
    pub fn set(&self, name: &str, state: HostState) {
        lock(&self.hosts).entry(name.to_owned()).or_default().push((Instant::now(), state));
    }
}

fn visible_hosts(hosts: &States, lag: Duration) -> Vec<Host> {
    let visible = hosts.iter().filter_map(|(name, states)| {
        let (_, state) = states.iter().rev().find(|(changed_at, _)| changed_at.elapsed() >= lag)?;
        Some(Host { name: name.clone(), state: *state })
    });
    visible.collect()
}
