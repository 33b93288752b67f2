//! The platform's list of hosts. It lags behind, so it may only speed up the detection of lost hosts.

use std::{future::Future, net::SocketAddr, pin::Pin, time::Duration};

use serde::{Deserialize, Serialize};
use tarragonhill_http::client::{Error, Pool, Request};

/// Timeout of a request for the list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// State of a host, as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is running.
    Live,
    /// The host is being removed; its endpoints should get no new work.
    Leaving,
    /// The host has stopped.
    Gone,
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// State reported by the platform.
    pub state: HostState,
}

/// Future returned by [`Hosts`].
pub type HostsFuture<'a> = Pin<Box<dyn Future<Output = Result<Vec<Host>, Error>> + Send + 'a>>;

/// A source of the list of hosts.
pub trait Hosts: Send + Sync {
    /// Fetches the current list.
    fn hosts(&self) -> HostsFuture<'_>;
}

/// Client that fetches the list over HTTP.
#[derive(Debug)]
pub struct HttpHosts {
    address: SocketAddr,
    pool: Pool,
}

impl HttpHosts {
    /// Creates a client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: Pool::default() }
    }
}

impl Hosts for HttpHosts {
    fn hosts(&self) -> HostsFuture<'_> {
        Box::pin(
            async move { self.pool.send(self.address, Request::get("/hosts"), TIMEOUT).await?.json().await },
        )
    }
}
