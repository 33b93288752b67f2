//! The agent role: runs next to endpoints and is the only process that starts work on them.

mod controller;
mod handle;
mod metrics;
mod server;
mod work;

pub(crate) use metrics::counters;
pub(crate) use server::listen;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task::{self, JoinHandle};
use tarragonhill_core::{Clock, agent::Input};
use tarragonhill_http::server::{Inbound, Limits, Outbound, Server};
use tarragonhill_table::HttpTable;

use crate::{
    StartError, admin,
    agent::{handle::Control, metrics::Metrics},
    config::AgentSettings,
    settings::Current,
};

/// The table is not polled while heartbeats confirm that the settings are at most this old.
const MAX_UNPOLLED_AGE: Duration = Duration::from_secs(6);
/// Interval at which a shutdown checks for remaining work.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// A running agent.
pub struct Agent {
    address: SocketAddr,
    admin: SocketAddr,
    control: Control,
    clock: Clock,
    drain: Duration,
    tasks: Vec<JoinHandle<()>>,
}

impl Agent {
    /// Starts an agent and returns once it is listening.
    pub async fn start(settings: AgentSettings, clock: Clock) -> Result<Self, StartError> {
        let common = settings.common;
        let current = Arc::new(Current::new(clock.clone()));
        let metrics = Metrics::new();
        let control = controller::start(settings.endpoints, clock.clone(), current.clone(), metrics.clone())
            .map_err(StartError::Thread)?;
        let (address, link_server) = server::serve(common.listen, control.clone(), current.clone())?;
        let admin_server = bind("admin", common.admin).await?;
        let admin = admin_server.address();
        let mut tasks = vec![link_server];
        tasks.push(task::spawn(follow_settings(current.clone(), common.table, common.poll, control.clone())));
        let handler_control = control.clone();
        tasks.push(task::spawn(admin_server.serve(move |inbound| {
            handle(inbound, handler_control.clone(), current.clone(), metrics.clone())
        })));
        spdlog::info!("agent started", kv: { name = &*common.name, listen = address.to_string().as_str() });
        Ok(Self { address, admin, control, clock, drain: common.drain, tasks })
    }

    /// Returns the bound address for entries.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bound address of the admin server.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Rejects new work, waits for running work up to the drain limit, then stops.
    pub async fn shutdown(self) {
        self.control.input(Input::Leave);
        let started_at = self.clock.now();
        while self.clock.now().since(started_at) < self.drain && !self.control.is_idle().await {
            self.clock.sleep(DRAIN_POLL).await;
        }
        self.kill().await;
    }

    /// Cancels all tasks at once, as in a crash.
    pub async fn kill(self) {
        self.control.stop();
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

/// Binds an HTTP server to the address that `setting` holds.
pub(crate) async fn bind(setting: &'static str, address: SocketAddr) -> Result<Server, StartError> {
    let server = Server::bind(&address.to_string(), Limits::default()).await;
    server.map_err(|error| StartError::Listen { setting, address: address.to_string(), error })
}

async fn follow_settings(current: Arc<Current>, table: SocketAddr, poll: Duration, control: Control) {
    let table = HttpTable::new(table);
    current
        .follow(&table, poll, Some(MAX_UNPOLLED_AGE), |snapshot| control.input(Input::Settings(snapshot)))
        .await;
}

async fn handle(
    inbound: Inbound,
    control: Control,
    current: Arc<Current>,
    metrics: Arc<Metrics>,
) -> Outbound {
    let is_ready = current.get().version > 0;
    if let Some(outbound) = admin::handle_common(&inbound.method, &inbound.path, metrics.registry(), is_ready)
    {
        return outbound;
    }
    match (inbound.method.as_str(), inbound.path.as_str()) {
        ("GET", "/dump") => Outbound::json(200, &control.dump().await),
        _ => admin::not_found(&inbound.method, &inbound.path),
    }
}
