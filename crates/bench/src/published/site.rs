//! A whole site on the platform's protocols: store, endpoints and gateways in one process.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use async_std::task;
use serde_json::{Value, json};
use tarragonhill_core::{Clock, gateway::budget::Rule};
use tarragonhill_daemon::{
    StartError,
    config::{CommonSettings, GatewaySettings},
    gateway::Process as Gateway,
    logging,
};

use super::{
    endpoint::{Endpoint, Results, Role},
    store::Store,
};

/// A key of the customer that has no limit in practice.
pub const KEY: &str = "key-faculty";
/// A key of the customer with a small rate.
pub const SMALL_KEY: &str = "key-small";
/// Memory of each engine, tokens.
pub const MEMORY: u64 = 20_000;
/// The service of the engines.
const MODELS: &str = "models";
/// The plain service.
const FILING: &str = "filing";
/// How often a test looks whether something has come about.
const POLL: Duration = Duration::from_millis(5);
/// Longest wait for something to come about.
const PATIENCE: Duration = Duration::from_secs(20);

/// Why a site does not start.
#[derive(Debug)]
pub enum SiteError {
    /// A stand-in cannot listen.
    Io(io::Error),
    /// A gateway does not start.
    Gateway(StartError),
}

impl std::fmt::Display for SiteError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(f, "a stand-in does not start: {error}"),
            Self::Gateway(error) => write!(f, "a gateway does not start: {error}"),
        }
    }
}

impl std::error::Error for SiteError {}

impl From<io::Error> for SiteError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// How many of each there are.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Entries.
    pub gateways: usize,
    /// Engines that read prompts.
    pub prefill: usize,
    /// Engines that make tokens.
    pub decode: usize,
    /// Endpoints of the plain service.
    pub plain: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self { gateways: 1, prefill: 2, decode: 2, plain: 2 }
    }
}

/// A running site.
pub struct Site {
    /// The store.
    pub store: Store,
    /// Entries; a test may take one out to stop it.
    pub gateways: Vec<Gateway>,
    endpoints: Vec<Arc<Endpoint>>,
    results: Results,
    /// The loopback address of this site alone: a port that comes free here is not taken by another
    /// site of the same process, whose processes would be taken for ours.
    ip: Ipv4Addr,
    /// Where the entries hear one another. They take the same port for datagrams and connections, so nothing
    /// else may take ports there.
    peer_ip: Ipv4Addr,
    /// Numbers endpoints, configurations and heartbeats.
    counter: u64,
}

impl Site {
    /// Starts a site and waits until every gateway has read it.
    pub async fn start(shape: Shape) -> Result<Self, SiteError> {
        let mut site = Self::empty().await?;
        for (role, count) in
            [(Role::Prefill, shape.prefill), (Role::Decode, shape.decode), (Role::Plain, shape.plain)]
        {
            for _ in 0..count {
                site.add(role).await?;
            }
        }
        site.configure(&configuration(1));
        for _ in 0..shape.gateways {
            site.add_gateway().await?;
        }
        site.settled().await;
        Ok(site)
    }

    /// A site with nothing but a store.
    pub async fn empty() -> Result<Self, SiteError> {
        let ip = own_ip();
        let store = Store::start(SocketAddr::from((ip, 0))).await?;
        let results = Results::default();
        Ok(Self {
            store,
            gateways: Vec::new(),
            endpoints: Vec::new(),
            results,
            ip,
            peer_ip: own_ip(),
            counter: 0,
        })
    }

    /// Starts a further gateway.
    pub async fn add_gateway(&mut self) -> Result<(), SiteError> {
        self.add_gateway_by(Clock::runtime()).await
    }

    /// Starts a further gateway that lives by a clock.
    pub async fn add_gateway_by(&mut self, clock: Clock) -> Result<(), SiteError> {
        let table = self.store.address();
        self.add_gateway_on(table, clock).await
    }

    /// Starts a further gateway that reads a store of its own.
    pub async fn add_gateway_on(&mut self, table: SocketAddr, clock: Clock) -> Result<(), SiteError> {
        let peer = SocketAddr::from((self.peer_ip, 0));
        let mut settings = self.settings(self.gateways.len() + 1, peer);
        settings.common.table = table;
        let gateway = Gateway::start(settings, clock).await.map_err(SiteError::Gateway)?;
        self.gateways.push(gateway);
        Ok(())
    }

    fn settings(&self, number: usize, peer: SocketAddr) -> GatewaySettings {
        let any = SocketAddr::from((self.ip, 0));
        let common = CommonSettings {
            name: format!("entry-{number}").into(),
            zone: "zone-a".into(),
            listen: any,
            admin: any,
            table: self.store.address(),
            poll: Duration::from_secs(1),
            drain: Duration::ZERO,
            log: logging::off(),
        };
        let retries = Rule { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
        GatewaySettings { common, peer, grace: Duration::from_secs(8), retries }
    }

    /// Ends a gateway and starts it again under its name, where the others know it.
    pub async fn restart(&mut self, gateway: usize) -> Result<(), SiteError> {
        let old = self.gateways.remove(gateway);
        let peer = old.peer();
        old.kill().await;
        let settings = self.settings(gateway + 1, peer);
        let started = Gateway::start(settings, Clock::runtime()).await.map_err(SiteError::Gateway)?;
        self.gateways.insert(gateway, started);
        Ok(())
    }

    /// Starts a further endpoint and lists it.
    pub async fn add(&mut self, role: Role) -> Result<Arc<Endpoint>, SiteError> {
        self.add_at(role, SocketAddr::from((self.ip, 0))).await
    }

    /// Starts a further endpoint at an address and lists it.
    pub async fn add_at(&mut self, role: Role, address: SocketAddr) -> Result<Arc<Endpoint>, SiteError> {
        self.counter += 1;
        let id = format!("{role}-{}", self.counter);
        let endpoint = Arc::new(Endpoint::start(&id, role, address, MEMORY, self.results.clone()).await?);
        self.list(&endpoint, "ready");
        self.endpoints.push(endpoint.clone());
        Ok(endpoint)
    }

    /// Writes an endpoint's entry.
    pub fn list(&mut self, endpoint: &Endpoint, state: &str) {
        self.counter += 1;
        let mut entry = json!({
            "service": if endpoint.role() == Role::Plain { FILING } else { MODELS },
            "address": endpoint.address().to_string(), "zone": "zone-a", "version": "v1", "slots": 48,
            "state": state, "cold_remaining_ms": 0, "seq": self.counter, "born": born(endpoint),
        });
        if endpoint.role() != Role::Plain {
            entry["stage"] = endpoint.role().to_string().into();
        }
        self.store.put("servers", endpoint.id(), &entry);
    }

    /// The endpoints of a role, in the order of their start.
    pub fn endpoints(&self, role: Role) -> Vec<Arc<Endpoint>> {
        self.endpoints.iter().filter(|endpoint| endpoint.role() == role).cloned().collect()
    }

    /// Writes the operator's configuration.
    pub fn configure(&self, configuration: &Value) {
        self.store.put("op", "config", configuration);
    }

    /// Where callers reach the first gateway.
    pub fn address(&self) -> SocketAddr {
        self.gateways[0].address()
    }

    /// What a gateway believes.
    pub async fn state(&self, gateway: usize) -> Value {
        let admin = self.gateways[gateway].admin();
        let mut head = tarragonhill_h1::head::Request::new("GET", "/state");
        head.fields.push("Host", "admin");
        let answer = super::caller::ask(admin, head, b"").await;
        answer.ok().and_then(|answer| serde_json::from_slice(&answer.body).ok()).unwrap_or_default()
    }

    /// Waits until every gateway knows every endpoint and every other gateway.
    pub async fn settled(&self) {
        for gateway in 0..self.gateways.len() {
            eventually("the gateway knows the site", async || {
                let state = self.state(gateway).await;
                let known = state["endpoints"].as_array().map_or(0, Vec::len);
                known == self.endpoints.len()
                    && !state["version"].is_null()
                    && state["sharers"].as_u64() == Some(self.gateways.len() as u64)
            })
            .await;
        }
    }

    /// Waits until the first gateway has a version of the configuration.
    pub async fn in_force(&self, version: u64) {
        eventually("the configuration is in force", async || {
            self.state(0).await["version"].as_u64() == Some(version)
        })
        .await;
    }
}

/// A loopback address for one site, different from those of other sites and other processes.
fn own_ip() -> Ipv4Addr {
    static SITES: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = SITES.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = u8::try_from(std::process::id() % 250).unwrap_or(0) + 2;
    Ipv4Addr::new(127, process, high, low.saturating_add(1))
}

/// Ordered as the endpoints' names are.
fn born(endpoint: &Endpoint) -> u64 {
    endpoint.id().rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Waits until something has come about; panics if it does not for long.
pub async fn eventually(what: &str, mut look: impl AsyncFnMut() -> bool) {
    let began = std::time::Instant::now();
    while !look().await {
        assert!(began.elapsed() < PATIENCE, "not seen: {what}");
        task::sleep(POLL).await;
    }
}

/// Waits until the gateway at an admin address says that it is not ready.
pub async fn not_ready(admin: SocketAddr) {
    eventually("it is not ready", async || {
        let mut head = tarragonhill_h1::head::Request::new("GET", "/v1/readiness");
        head.fields.push("Host", "admin");
        super::caller::ask(admin, head, b"").await.is_ok_and(|answer| answer.head.status == 503)
    })
    .await;
}

/// A configuration with a route of each kind.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "kind": kind, "service": service,
            "timeout_ms": 60_000, "target_latency_ms": 900, "priority": 1, "max_attempts": 1,
            "allow_anonymous": false, "allow_resume": false, "target_gap_ms": 300,
        })
    };
    let mut resumable = route("resumable", "streaming", MODELS);
    resumable["allow_resume"] = true.into();
    resumable["max_attempts"] = 2.into();
    let mut lookup = route("lookup", "safe", FILING);
    lookup["max_attempts"] = 2.into();
    json!({
        "version": version,
        "routes": [route("stream", "streaming", MODELS), resumable, route("submit", "unsafe", FILING), lookup],
        "services": [
            {"name": MODELS, "health_path": "/health", "max_connections": 290, "engine": {
                "slots": 48, "kv_cache_tokens": MEMORY, "kv_token_bytes": 131_072, "link_mbps": 1_500_000.0,
                "handle_ttl_s": 0.5, "switch_s": 6.0, "hold_ms": 2_000.0}},
            {"name": FILING, "health_path": "/health", "max_connections": 96},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [
            {"name": "faculty", "api_keys": [KEY], "priority": 1, "unit": "tokens", "plain_tokens": 200,
                "rate_per_s": 100_000_000, "burst": 100_000_000},
            {"name": "small", "api_keys": [SMALL_KEY], "priority": 1, "unit": "tokens", "plain_tokens": 200,
                "rate_per_s": 100, "burst": 4_000},
        ],
    })
}

/// The same with further customers that have a rate, `added` of them.
pub fn with_customers(version: u64, added: usize) -> Value {
    let mut configuration = configuration(version);
    let template = configuration["tenants"][1].clone();
    let customers = configuration["tenants"].as_array_mut().expect("a list of customers");
    for number in 0..added {
        let mut customer = template.clone();
        customer["name"] = format!("customer-{number:05}").into();
        customer["api_keys"] = json!([format!("key-{number:05}")]);
        customers.push(customer);
    }
    configuration
}

/// The same with further routes `/added-N/` of the plain service, N below `added`.
pub fn with_routes(version: u64, added: usize) -> Value {
    let mut configuration = configuration(version);
    let template = configuration["routes"][3].clone();
    let routes = configuration["routes"].as_array_mut().expect("a list of routes");
    for number in 0..added {
        let mut route = template.clone();
        route["name"] = format!("added-{number}").into();
        route["prefix"] = format!("/added-{number}/").into();
        routes.push(route);
    }
    configuration
}
