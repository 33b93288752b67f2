//! A site of the simulated platform: store, endpoints and gateway replicas in one process.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use async_std::task;
use serde_json::{Value, json};
use tarragonhill_core::{
    Clock,
    gateway::{budget::Rule, cold::Tolerance, connections::Capacity, mechanism::Mechanisms},
};
use tarragonhill_daemon::{
    StartError,
    config::{CommonSettings, GatewaySettings},
    gateway::Process as Gateway,
    logging,
};

use super::{
    endpoint::{Endpoint, KvHandles, Role, start_number},
    store::Store,
};
use crate::sim::lock;

/// API key of the customer with a high rate limit.
pub const KEY: &str = "key-faculty";
/// API key of the customer with a low rate limit.
pub const SMALL_KEY: &str = "key-small";
/// Memory of each engine, in tokens.
pub const KV_CACHE_TOKENS: u64 = 20_000;
const MODEL_SERVICE: &str = "models";
const PLAIN_SERVICE: &str = "filing";
/// Availability zone of the gateways, and of endpoints for which no other is given.
pub const DEFAULT_ZONE: &str = "zone-a";
/// Start of processes that replace others under the same id; later than that of any first process.
pub const RESTARTED: u64 = 1_000_000;
/// Software version of endpoints unless a test chooses another one.
const DEFAULT_VERSION: &str = "v1";
/// Requests a second that a cold endpoint takes.
pub const COLD_REQUESTS_PER_S: f64 = 8.6;
/// What cold endpoints tolerate beyond their declared rate.
const COLD_TOLERANCE: Tolerance = Tolerance { factor: 1.5, slack: 5.0 };
const DEFAULT_GRACE: Duration = Duration::from_secs(8);
const DEFAULT_RETRIES: Rule = Rule { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Failure to start a site.
#[derive(Debug)]
pub enum SiteError {
    /// The store or an endpoint could not listen on its address.
    Io(io::Error),
    /// A gateway replica failed to start.
    Gateway(StartError),
}

impl std::fmt::Display for SiteError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(f, "failed to start the store or an endpoint: {error}"),
            Self::Gateway(error) => write!(f, "failed to start a gateway: {error}"),
        }
    }
}

impl std::error::Error for SiteError {}

impl From<io::Error> for SiteError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Numbers of processes in a site.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Gateway replicas.
    pub gateways: usize,
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
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
    /// Gateway replicas. A test may remove one to stop it.
    pub gateways: Vec<Gateway>,
    endpoints: Vec<Arc<Endpoint>>,
    /// Endpoints that have crashed and were replaced.
    replaced: Vec<Arc<Endpoint>>,
    kv_handles: KvHandles,
    /// Loopback address used by this site only. A port that becomes free cannot be reused by another site,
    /// whose endpoints would then get requests of this site.
    ip: Ipv4Addr,
    /// Loopback address for gossip. Each replica binds one port for both UDP and TCP, so no other sockets may
    /// use this address.
    peer_ip: Ipv4Addr,
    /// Grace period of gateways that are started.
    grace: Duration,
    /// Retry budget of gateways that are started.
    retries: Rule,
    /// Memory of gateways that are started.
    memory: Option<u64>,
    /// Availability zones of endpoints that are not in the default one.
    zones: BTreeMap<Arc<str>, &'static str>,
    /// Software versions of endpoints that do not have the default one.
    versions: BTreeMap<Arc<str>, &'static str>,
    /// What endpoints last wrote.
    registrations: BTreeMap<Arc<str>, Value>,
    /// What the operator last wrote; `None` for rows that it removed.
    operator_rows: Mutex<BTreeMap<String, Option<Value>>>,
    /// Source of endpoint numbers and of `seq` values.
    counter: u64,
}

impl Site {
    /// Starts a site and waits until every replica knows all of it.
    pub async fn start(shape: Shape) -> Result<Self, SiteError> {
        let mut site = Self::empty().await?;
        for (role, count) in
            [(Role::Prefill, shape.prefill), (Role::Decode, shape.decode), (Role::Plain, shape.plain)]
        {
            for _ in 0..count {
                site.add_endpoint(role).await?;
            }
        }
        site.configure(&configuration(1));
        for _ in 0..shape.gateways {
            site.add_gateway().await?;
        }
        site.wait_until_synced().await;
        Ok(site)
    }

    /// Starts a site that consists only of a store.
    pub async fn empty() -> Result<Self, SiteError> {
        let ip = unique_loopback_ip();
        let store = Store::start(SocketAddr::from((ip, 0))).await?;
        let kv_handles = KvHandles::default();
        Ok(Self {
            store,
            gateways: Vec::new(),
            endpoints: Vec::new(),
            replaced: Vec::new(),
            kv_handles,
            ip,
            peer_ip: unique_loopback_ip(),
            grace: DEFAULT_GRACE,
            retries: DEFAULT_RETRIES,
            memory: None,
            zones: BTreeMap::new(),
            versions: BTreeMap::new(),
            registrations: BTreeMap::new(),
            operator_rows: Mutex::default(),
            counter: 0,
        })
    }

    /// Sets the grace period of gateways that are started later.
    pub fn set_grace(&mut self, grace: Duration) {
        self.grace = grace;
    }

    /// Sets the retry budget of gateways that are started later.
    pub fn set_retries(&mut self, retries: Rule) {
        self.retries = retries;
    }

    /// Sets the memory of gateways that are started later, bytes.
    pub fn set_memory(&mut self, memory: u64) {
        self.memory = Some(memory);
    }

    /// Starts a replica without adding it to `gateways`.
    pub async fn start_gateway(&self, number: usize) -> Result<Gateway, SiteError> {
        let settings = self.settings(number, SocketAddr::from((self.peer_ip, 0)));
        Gateway::start(settings, Clock::runtime()).await.map_err(SiteError::Gateway)
    }

    /// Starts another replica.
    pub async fn add_gateway(&mut self) -> Result<(), SiteError> {
        self.add_gateway_with_clock(Clock::runtime()).await
    }

    /// Starts another replica that uses `clock`.
    pub async fn add_gateway_with_clock(&mut self, clock: Clock) -> Result<(), SiteError> {
        let store = self.store.address();
        self.add_gateway_with_store(store, clock).await
    }

    /// Starts another replica that uses `clock` and reads the store at `store`.
    pub async fn add_gateway_with_store(&mut self, store: SocketAddr, clock: Clock) -> Result<(), SiteError> {
        let peer = SocketAddr::from((self.peer_ip, 0));
        let mut settings = self.settings(self.gateways.len() + 1, peer);
        settings.common.table = store;
        let gateway = Gateway::start(settings, clock).await.map_err(SiteError::Gateway)?;
        self.gateways.push(gateway);
        Ok(())
    }

    fn settings(&self, number: usize, peer: SocketAddr) -> GatewaySettings {
        let any_port = SocketAddr::from((self.ip, 0));
        let common = CommonSettings {
            name: format!("entry-{number}").into(),
            zone: DEFAULT_ZONE.into(),
            listen: any_port,
            admin: any_port,
            table: self.store.address(),
            poll: Duration::from_secs(1),
            drain: Duration::ZERO,
            log: logging::off(),
        };
        GatewaySettings {
            common,
            peer,
            millicores: 1_000,
            grace: self.grace,
            retries: self.retries,
            cold_tolerance: COLD_TOLERANCE,
            mechanisms: Mechanisms::default(),
            memory: self.memory,
            capacity: Capacity::of(self.memory, None),
            admin_capacity: Capacity { connections: 64, requests: 64 },
        }
    }

    /// Kills a replica and starts it again with the same name and gossip address.
    pub async fn restart(&mut self, gateway: usize) -> Result<(), SiteError> {
        let old = self.gateways.remove(gateway);
        let peer = old.peer();
        old.kill().await;
        let settings = self.settings(gateway + 1, peer);
        let started = Gateway::start(settings, Clock::runtime()).await.map_err(SiteError::Gateway)?;
        self.gateways.insert(gateway, started);
        Ok(())
    }

    /// Starts an endpoint and registers it in the store.
    pub async fn add_endpoint(&mut self, role: Role) -> Result<Arc<Endpoint>, SiteError> {
        self.add_endpoint_at(role, SocketAddr::from((self.ip, 0))).await
    }

    /// Starts an endpoint at `address` and registers it in the store.
    pub async fn add_endpoint_at(
        &mut self,
        role: Role,
        address: SocketAddr,
    ) -> Result<Arc<Endpoint>, SiteError> {
        self.start_endpoint(role, DEFAULT_ZONE, DEFAULT_VERSION, address).await
    }

    /// Starts an endpoint in an availability zone and registers it in the store.
    pub async fn add_endpoint_in(
        &mut self,
        role: Role,
        zone: &'static str,
    ) -> Result<Arc<Endpoint>, SiteError> {
        self.start_endpoint(role, zone, DEFAULT_VERSION, SocketAddr::from((self.ip, 0))).await
    }

    /// Starts an endpoint of a software version and registers it in the store.
    pub async fn add_endpoint_of(
        &mut self,
        role: Role,
        version: &'static str,
    ) -> Result<Arc<Endpoint>, SiteError> {
        self.start_endpoint(role, DEFAULT_ZONE, version, SocketAddr::from((self.ip, 0))).await
    }

    async fn start_endpoint(
        &mut self,
        role: Role,
        zone: &'static str,
        version: &'static str,
        address: SocketAddr,
    ) -> Result<Arc<Endpoint>, SiteError> {
        self.counter += 1;
        let id = format!("{role}-{}", self.counter);
        self.zones.insert(id.as_str().into(), zone);
        self.versions.insert(id.as_str().into(), version);
        let endpoint =
            Arc::new(Endpoint::start(&id, role, address, KV_CACHE_TOKENS, self.kv_handles.clone()).await?);
        self.register(&endpoint, "ready");
        self.endpoints.push(endpoint.clone());
        Ok(endpoint)
    }

    /// Replaces the process of an endpoint by one of another software version, under the same id and at the same address.
    /// Its row stays as it was.
    pub async fn restart_endpoint(
        &mut self,
        endpoint: &Endpoint,
        version: &'static str,
    ) -> Result<Arc<Endpoint>, SiteError> {
        let (id, role, address) = (endpoint.id().clone(), endpoint.role(), endpoint.address());
        endpoint.kill().await;
        let restarted = Endpoint::start(&id, role, address, KV_CACHE_TOKENS, self.kv_handles.clone()).await?;
        let restarted = Arc::new(restarted);
        restarted.set_born(RESTARTED);
        self.versions.insert(id.clone(), version);
        self.endpoints.retain(|other| *other.id() != id);
        self.endpoints.push(restarted.clone());
        Ok(restarted)
    }

    /// Replaces endpoints that crashed at least `after` ago by new ones at their addresses. Must be called all the time, as it
    /// also closes the sockets of those that have just crashed.
    pub async fn replace_crashed(&mut self, after: Duration) -> Result<Vec<Arc<Endpoint>>, SiteError> {
        let mut started = Vec::new();
        for endpoint in self.endpoints.clone() {
            let Some(crashed_at) = endpoint.crashed_at() else { continue };
            endpoint.kill().await;
            if crashed_at.elapsed() >= after {
                self.endpoints.retain(|other| other.id() != endpoint.id());
                self.unregister(&endpoint);
                started.push(self.add_endpoint_at(endpoint.role(), endpoint.address()).await?);
                self.replaced.push(endpoint);
            }
        }
        Ok(started)
    }

    /// Returns all endpoints that have served, including those that have crashed and were replaced.
    pub fn all_endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.iter().chain(&self.replaced)
    }

    /// Writes the row of an endpoint, with this `state`.
    pub fn register(&mut self, endpoint: &Endpoint, state: &str) {
        self.register_incarnation(endpoint, state, start_number(endpoint.id()));
    }

    /// Writes the row of an endpoint that started at `born`, with this `state`.
    pub fn register_incarnation(&mut self, endpoint: &Endpoint, state: &str, born: u64) {
        self.counter += 1;
        let zone = self.zones.get(endpoint.id()).copied().unwrap_or(DEFAULT_ZONE);
        let version = self.versions.get(endpoint.id()).copied().unwrap_or(DEFAULT_VERSION);
        let mut row = json!({
            "service": if endpoint.role() == Role::Plain { PLAIN_SERVICE } else { MODEL_SERVICE },
            "address": endpoint.address().to_string(), "zone": zone, "version": version, "slots": 48,
            "state": state, "cold_remaining_ms": endpoint.cold().as_millis() as u64, "seq": self.counter, "born": born,
        });
        if endpoint.role() != Role::Plain {
            row["stage"] = endpoint.role().to_string().into();
        }
        self.store.put("servers", endpoint.id(), &row);
        self.registrations.insert(endpoint.id().clone(), row);
    }

    /// Returns the row of an endpoint as it was last written; null if it has none.
    pub fn registration(&self, endpoint: &Endpoint) -> Value {
        self.registrations.get(endpoint.id()).cloned().unwrap_or_default()
    }

    /// Removes the row of an endpoint that has left.
    pub fn unregister(&mut self, endpoint: &Endpoint) {
        self.registrations.remove(endpoint.id());
        self.store.remove("servers", endpoint.id());
    }

    /// Writes the rows of the operator and of the endpoints again, as they do after the store has come back from a copy.
    pub fn write_again(&mut self) {
        self.write_operator_rows_again();
        for (id, row) in &mut self.registrations {
            self.counter += 1;
            row["seq"] = self.counter.into();
            self.store.put("servers", id, row);
        }
    }

    /// Writes the rows of the operator again.
    pub fn write_operator_rows_again(&self) {
        for (key, row) in &*lock(&self.operator_rows) {
            match row {
                Some(row) => self.store.put("op", key, row),
                None => self.store.remove("op", key),
            }
        }
    }

    fn write_operator_row(&self, key: &str, row: Option<Value>) {
        match &row {
            Some(row) => self.store.put("op", key, row),
            None => self.store.remove("op", key),
        }
        lock(&self.operator_rows).insert(key.to_owned(), row);
    }

    /// Returns the endpoints with this role, in the order of their start.
    pub fn endpoints(&self, role: Role) -> Vec<Arc<Endpoint>> {
        self.endpoints.iter().filter(|endpoint| endpoint.role() == role).cloned().collect()
    }

    /// Writes the operator's configuration.
    pub fn configure(&self, configuration: &Value) {
        self.write_operator_row("config", Some(configuration.clone()));
    }

    /// Returns the software version of an endpoint.
    pub fn version(&self, endpoint: &Endpoint) -> &'static str {
        self.versions.get(endpoint.id()).copied().unwrap_or(DEFAULT_VERSION)
    }

    /// Returns whether an endpoint is in an availability zone.
    pub fn is_in(&self, endpoint: &Endpoint, zone: &str) -> bool {
        self.zones.get(endpoint.id()).is_some_and(|known| *known == zone)
    }

    /// Evacuates an availability zone.
    pub fn evacuate(&self, zone: &str) {
        self.write_operator_row(&format!("evacuate/{zone}"), Some(json!({})));
    }

    /// Lifts the evacuation of an availability zone.
    pub fn lift_evacuation(&self, zone: &str) {
        self.write_operator_row(&format!("evacuate/{zone}"), None);
    }

    /// Waits until a replica has exactly these zones evacuated.
    pub async fn wait_for_evacuations(&self, gateway: usize, zones: &[&str]) {
        wait_until("the evacuations are in force", async || {
            self.state(gateway).await["evacuated"] == json!(zones)
        })
        .await;
    }

    /// Returns the address at which the first replica serves callers.
    pub fn address(&self) -> SocketAddr {
        self.gateways[0].address()
    }

    /// Returns the `/state` dump of a replica; null if it does not respond.
    pub async fn state(&self, gateway: usize) -> Value {
        state(self.gateways[gateway].admin()).await
    }

    /// Waits until every replica knows every endpoint and every peer.
    pub async fn wait_until_synced(&self) {
        for gateway in 0..self.gateways.len() {
            wait_until("the replica knows the site", async || {
                let state = self.state(gateway).await;
                let known = state["endpoints"].as_array().map_or(0, Vec::len);
                known == self.endpoints.len()
                    && !state["version"].is_null()
                    && state["registered"] == true
                    && state["sharers"].as_u64() == Some(self.gateways.len() as u64)
            })
            .await;
        }
    }

    /// Waits until the first replica applies a version of the configuration.
    pub async fn wait_for_version(&self, version: u64) {
        wait_until("the configuration is applied", async || {
            self.state(0).await["version"].as_u64() == Some(version)
        })
        .await;
    }
}

/// Returns a loopback address that is unique in this process and rarely used by other test processes.
pub(crate) fn unique_loopback_ip() -> Ipv4Addr {
    static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let part = |value: u32| u8::try_from(value % 250).unwrap_or(0);
    Ipv4Addr::new(127, part(std::process::id()) + 2, part(number / 250), part(number) + 1)
}

/// Returns the `/state` dump of the replica at an admin address; null if it does not respond.
pub async fn state(admin: SocketAddr) -> Value {
    let mut head = tarragonhill_h1::head::Request::new("GET", "/state");
    head.fields.push("Host", "admin");
    let response = super::caller::request(admin, head, b"").await;
    response.ok().and_then(|response| serde_json::from_slice(&response.body).ok()).unwrap_or_default()
}

/// Waits until a condition is met. Panics if that takes too long.
pub async fn wait_until(condition: &str, mut is_met: impl AsyncFnMut() -> bool) {
    let started_at = std::time::Instant::now();
    while !is_met().await {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out waiting until {condition}");
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the replica at an admin address reports that it is not ready.
pub async fn wait_until_not_ready(admin: SocketAddr) {
    wait_until("the replica is not ready", async || {
        let mut head = tarragonhill_h1::head::Request::new("GET", "/v1/readiness");
        head.fields.push("Host", "admin");
        super::caller::request(admin, head, b"").await.is_ok_and(|response| response.head.status == 503)
    })
    .await;
}

/// Returns a configuration with a route of each kind.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "kind": kind, "service": service,
            "timeout_ms": 60_000, "target_latency_ms": 900, "priority": 1, "max_attempts": 1,
            "allow_anonymous": false, "allow_resume": false, "target_gap_ms": 300,
        })
    };
    let mut resumable = route("resumable", "streaming", MODEL_SERVICE);
    resumable["allow_resume"] = true.into();
    resumable["max_attempts"] = 2.into();
    let mut lookup = route("lookup", "safe", PLAIN_SERVICE);
    lookup["max_attempts"] = 2.into();
    json!({
        "version": version,
        "routes": [route("stream", "streaming", MODEL_SERVICE), resumable, route("submit", "unsafe", PLAIN_SERVICE), lookup],
        "services": [
            {"name": MODEL_SERVICE, "health_path": "/health", "max_connections": 290,
                "engine": {
                "slots": 48, "kv_cache_tokens": KV_CACHE_TOKENS, "kv_token_bytes": 131_072, "link_mbps": 1_500_000.0,
                "handle_ttl_s": 0.5, "switch_s": 6.0, "hold_ms": 2_000.0}},
            {"name": PLAIN_SERVICE, "health_path": "/health", "max_connections": 96},
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

/// Returns the same configuration with a limit on requests to cold endpoints.
pub fn with_cold_limit(version: u64) -> Value {
    let mut configuration = configuration(version);
    for service in configuration["services"].as_array_mut().expect("a list of services") {
        service["cold_start_s"] = 3.0.into();
        service["cold_per_s"] = COLD_REQUESTS_PER_S.into();
    }
    configuration
}

/// Returns the same configuration with `added` more rate-limited customers.
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

/// Returns the same configuration with `added` more routes `/added-N/` to the plain service, N from 0.
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
