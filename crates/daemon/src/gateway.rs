//! The gateway role: passes requests on to the platform's endpoints.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Receiver;
use async_std::task::{self, JoinHandle};
use prometheus::{IntGauge, Registry};
use tarragonhill_core::{Clock, gateway::digest::Member};
use tarragonhill_gateway::{Gateway, Settings, Status, Store};
use tarragonhill_http::server::{Inbound, Limits, Outbound, Server};
use tarragonhill_platform::{READINESS_PATH, claims::Claims, dialect::Dialect, store};

use crate::{StartError, admin, config::GatewaySettings, logging};

/// New connections still come this long after the process has said that it is leaving: the
/// balancer asks once a second and believes the second answer.
const LINGER: Duration = Duration::from_millis(2_600);
/// Kept of the grace for the end itself: flushing logs and ending tasks.
const END: Duration = Duration::from_millis(300);
/// Updates of the store that may wait for the control thread.
const UPDATES: usize = 64;

/// A running gateway with its admin address and its view of the store.
pub struct Role {
    name: Arc<str>,
    gateway: Gateway,
    admin: SocketAddr,
    answering: JoinHandle<()>,
}

impl Role {
    /// Starts a gateway.
    pub async fn start(settings: GatewaySettings, clock: Clock) -> Result<Self, StartError> {
        let registry = Registry::new();
        let common = &settings.common;
        let (updates, received) = async_channel::bounded(UPDATES);
        let gateway = Settings {
            name: common.name.clone(),
            zone: common.zone.clone(),
            listen: common.listen,
            peer: settings.peer,
            incarnation: rand::random(),
            retries: settings.retries,
            drain_delay: LINGER,
            grace: settings.grace.saturating_sub(END),
        };
        let claims = Box::new(Claims::new(common.table));
        let edge = Store { updates: received, claims };
        let started = Gateway::start(gateway, clock, Arc::new(Dialect), edge, &registry).await;
        let gateway = started.map_err(StartError::Gateway)?;
        let own = Member { name: common.name.clone(), address: gateway.peer_address() };
        store::follow(common.table, own, updates);
        let server = Server::bind(&common.admin.to_string(), Limits::default()).await;
        let server = server.map_err(|error| StartError::Listen {
            setting: "admin",
            address: common.admin.to_string(),
            error,
        })?;
        let admin = server.address();
        let admin_state = Admin { status: gateway.status(), dropped: dropped_lines(&registry), registry };
        let answering = task::spawn(server.serve(move |inbound| answer(inbound, admin_state.clone())));
        spdlog::info!("gateway started", kv: {
            name = &*common.name, zone = &*common.zone, listen = gateway.address().to_string().as_str()
        });
        Ok(Self { name: common.name.clone(), gateway, admin, answering })
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.gateway.address()
    }

    /// Where its metrics, readiness and state are.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Where other entries reach it.
    pub fn peer(&self) -> SocketAddr {
        self.gateway.peer_address()
    }

    /// Ends at once, as a crash would.
    pub async fn kill(self) {
        self.gateway.kill().await;
        self.answering.cancel().await;
    }

    /// Stops gracefully.
    pub async fn shutdown(self) {
        spdlog::info!("gateway stopping", kv: { name = &*self.name });
        self.gateway.shutdown().await;
        self.answering.cancel().await;
    }
}

/// Runs a gateway until `stop` gives the word.
pub async fn run(settings: GatewaySettings, clock: Clock, stop: Receiver<()>) -> Result<(), StartError> {
    let role = Role::start(settings, clock).await?;
    let _ = stop.recv().await;
    role.shutdown().await;
    Ok(())
}

/// What the admin address answers from.
#[derive(Clone)]
struct Admin {
    status: Status,
    registry: Registry,
    /// Log lines dropped since the start.
    dropped: IntGauge,
}

fn dropped_lines(registry: &Registry) -> IntGauge {
    let gauge = IntGauge::new("log_lines_dropped", "Log lines dropped because the queue was full");
    let gauge = gauge.expect("the name is constant and valid");
    if let Err(error) = registry.register(Box::new(gauge.clone())) {
        spdlog::error!("metric not registered: {error}");
    }
    gauge
}

async fn answer(inbound: Inbound, admin: Admin) -> Outbound {
    let is_ready = admin.status.is_ready();
    if inbound.path == READINESS_PATH {
        return Outbound::text(if is_ready { 200 } else { 503 }, "");
    }
    if inbound.path == "/state" {
        return Outbound::json(200, &admin.status.dump().await);
    }
    admin.status.update_metrics().await;
    admin.dropped.set(i64::try_from(logging::dropped()).unwrap_or(i64::MAX));
    admin::common(&inbound, &admin.registry, is_ready).unwrap_or_else(|| admin::not_found(&inbound))
}
