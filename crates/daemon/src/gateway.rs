//! The gateway role: forwards requests to the platform's endpoints.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Receiver;
use prometheus::{IntGauge, Registry};
use tarragonhill_core::{Clock, gateway::digest::Member};
use tarragonhill_gateway::{
    Gateway, Settings, Status, Store,
    admin::{Cost, Page, Pages},
};
use tarragonhill_h1::head::Request;
use tarragonhill_http::server::Outbound;
use tarragonhill_platform::{
    READINESS_PATH, claims::Claims, client::Client, dialect::Dialect, era::Eras, store, suspects,
};

use crate::{StartError, admin, config::GatewaySettings, explain, logging};

/// How long new connections still arrive after the readiness check starts to fail: the load balancer
/// checks once a second and removes the process after the second failure.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is reserved for ending tasks and flushing logs.
const EXIT_RESERVE: Duration = Duration::from_millis(300);
/// Capacity of the channel from the store watcher to the control thread.
const UPDATE_CAPACITY: usize = 64;

/// A running gateway with its admin server and store watcher.
pub struct Process {
    name: Arc<str>,
    gateway: Gateway,
    admin: SocketAddr,
}

impl Process {
    /// Starts a gateway and returns once it is listening.
    pub async fn start(settings: GatewaySettings, clock: Clock) -> Result<Self, StartError> {
        let registry = Registry::new();
        let common = &settings.common;
        let (updates, received) = async_channel::bounded(UPDATE_CAPACITY);
        let gateway = Settings {
            name: common.name.clone(),
            zone: common.zone.clone(),
            listen: common.listen,
            peer: settings.peer,
            millicores: settings.millicores,
            incarnation: rand::random(),
            retries: settings.retries,
            cold_tolerance: settings.cold_tolerance,
            mechanisms: settings.mechanisms,
            memory: settings.memory,
            capacity: settings.capacity,
            admin_capacity: settings.admin_capacity,
            drain_delay: DEREGISTRATION_DELAY,
            grace: settings.grace.saturating_sub(EXIT_RESERVE),
        };
        let eras = Eras::default();
        let claims = Box::new(Claims::new(common.table, eras.clone()));
        let store = Store { updates: received, claims };
        let result = Gateway::start(gateway, clock, Arc::new(Dialect), store, &registry).await;
        let mut gateway = result.map_err(StartError::Gateway)?;
        let own = Member {
            name: common.name.clone(),
            address: gateway.peer_address(),
            zone: common.zone.clone(),
            millicores: settings.millicores,
        };
        let client = Client::new(common.table, eras.clone());
        suspects::keep(client, common.name.clone(), gateway.unsaved_suspects(), updates.clone());
        store::follow(common.table, &eras, own, gateway.mirror(), updates);
        let pages =
            Admin { status: gateway.status(), dropped_lines: register_dropped_lines(&registry), registry };
        let admin = gateway.serve_admin(common.admin, pages).map_err(|error| StartError::Listen {
            setting: "admin",
            address: common.admin.to_string(),
            error,
        })?;
        spdlog::info!("gateway started", kv: {
            name = &*common.name, zone = &*common.zone, listen = gateway.address().to_string().as_str()
        });
        Ok(Self { name: common.name.clone(), gateway, admin })
    }

    /// Returns the bound address for callers.
    pub fn address(&self) -> SocketAddr {
        self.gateway.address()
    }

    /// Returns the bound address of the admin server.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the bound address for peers.
    pub fn peer(&self) -> SocketAddr {
        self.gateway.peer_address()
    }

    /// Cancels all tasks at once, as in a crash.
    pub async fn kill(self) {
        self.gateway.kill().await;
    }

    /// Drains running requests within the grace period, then stops.
    pub async fn shutdown(self) {
        spdlog::info!("gateway stopping", kv: { name = &*self.name });
        self.gateway.shutdown().await;
    }
}

/// Runs a gateway until `stop` receives a message or is closed.
pub async fn run(settings: GatewaySettings, clock: Clock, stop: Receiver<()>) -> Result<(), StartError> {
    let process = Process::start(settings, clock).await?;
    let _ = stop.recv().await;
    process.shutdown().await;
    Ok(())
}

/// Pages of the admin address.
struct Admin {
    status: Status,
    registry: Registry,
    dropped_lines: IntGauge,
}

fn register_dropped_lines(registry: &Registry) -> IntGauge {
    let gauge = IntGauge::new("log_lines_dropped", "Log lines dropped because the queue was full");
    let gauge = gauge.expect("the name is constant and valid");
    if let Err(error) = registry.register(Box::new(gauge.clone())) {
        spdlog::error!("cannot register the metric log_lines_dropped: {error}");
    }
    gauge
}

impl Pages for Admin {
    fn cost(&self, request: &Request) -> Cost {
        match request.path() {
            "/state" | "/metrics" | explain::PATH => Cost::Large,
            _ => Cost::Small,
        }
    }

    async fn page(&self, request: Request) -> Page {
        let (status, content_type, body) = self.outbound(&request).await.into_parts();
        Page { status, content_type, body }
    }
}

impl Admin {
    async fn outbound(&self, request: &Request) -> Outbound {
        let (method, path) = (request.method.as_str(), request.path());
        let is_ready = self.status.is_ready();
        match path {
            READINESS_PATH => return Outbound::text(if is_ready { 200 } else { 503 }, ""),
            "/state" => return Outbound::json(200, &self.status.dump().await),
            explain::PATH => return explain::handle(method, request.query(), &self.status).await,
            "/metrics" => {
                self.status.update_metrics().await;
                self.dropped_lines.set(i64::try_from(logging::dropped_lines()).unwrap_or(i64::MAX));
            }
            _ => {}
        }
        admin::handle_common(method, path, &self.registry, is_ready)
            .unwrap_or_else(|| admin::not_found(method, path))
    }
}
