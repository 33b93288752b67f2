//! The platform's list of live and leaving hosts. It lags, so it only ever speeds things up.

use std::{future::Future, net::SocketAddr, pin::Pin, time::Duration};

use serde::{Deserialize, Serialize};
use tarragonhill_http::client::{Error, Pool, Request};

/// Longest wait for the list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It runs.
    Live,
    /// It is being taken away; its endpoints should get no new work.
    Leaving,
    /// It runs no more.
    Gone,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// What the platform says of it.
    pub state: HostState,
}

/// A listing on its way.
pub type Listing<'a> = Pin<Box<dyn Future<Output = Result<Vec<Host>, Error>> + Send + 'a>>;

/// Where the list comes from.
pub trait Hosts: Send + Sync {
    /// The list as the platform has it now.
    fn hosts(&self) -> Listing<'_>;
}

/// The list over HTTP.
#[derive(Debug)]
pub struct HttpHosts {
    address: SocketAddr,
    pool: Pool,
}

impl HttpHosts {
    /// A client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: Pool::default() }
    }
}

impl Hosts for HttpHosts {
    fn hosts(&self) -> Listing<'_> {
        Box::pin(
            async move { self.pool.send(self.address, Request::get("/hosts"), TIMEOUT).await?.json().await },
        )
    }
}
