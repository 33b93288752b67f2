//! Complete fleet in one process: simulated servers, agents and entries over loopback TCP.

use std::{collections::BTreeMap, fmt, io, net::SocketAddr, time::Duration};

use async_std::task;
use serde_json::{Value, json};
use tarragonhill_core::{
    Clock,
    placement::Policy,
    settings::{
        Customer as CustomerSettings, Endpoint, Key, Role, Row, VERSION_ROW, WithdrawalPolicy, digest,
    },
};
use tarragonhill_daemon::{
    StartError,
    agent::Agent,
    config::{AgentSettings, CommonSettings, EntrySettings},
    entry::Entry,
    logging,
};
use tarragonhill_http::{
    client::{Pool, Request},
    server::Limits,
};

use crate::{
    platform::site::SiteError,
    sim::{
        decode,
        hosts::Hosts,
        plain::Service,
        prefill,
        table::{Rates, Table},
    },
};

/// Maximum wait until a started fleet is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the model that all engines serve.
pub const MODEL: &str = "drafting";
/// Name of the plain service.
pub const SERVICE: &str = "filing";

/// Customer of the fleet.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name; [`key_of`] returns the API key.
    pub name: String,
    /// Rate limit, tokens per second.
    pub rate: u64,
    /// Maximum burst, tokens.
    pub burst: u64,
}

impl Customer {
    /// Creates a customer.
    pub fn new(name: &str, rate: u64, burst: u64) -> Self {
        Self { name: name.to_owned(), rate, burst }
    }
}

/// Returns the API key of a customer.
pub fn key_of(customer: &str) -> String {
    format!("{customer}-key")
}

/// Size and configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Number of entries.
    pub entries: usize,
    /// Number of prefill engines.
    pub prefill: usize,
    /// Number of decode engines.
    pub decode: usize,
    /// Number of plain services.
    pub plain: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Customers.
    pub customers: Vec<Customer>,
    /// Placement policy.
    pub policy: Policy,
    /// Performance profile of the prefill engines.
    pub prefill_profile: prefill::Profile,
    /// Performance profile of the decode engines.
    pub decode_profile: decode::Profile,
    /// Response time of plain services.
    pub plain_latency: Duration,
    /// Drain time of agents and entries.
    pub drain: Duration,
}

impl Shape {
    /// Returns a small fleet with several processes of each role and two customers.
    pub fn small() -> Self {
        Self {
            entries: 3,
            prefill: 2,
            decode: 3,
            plain: 2,
            zones: 3,
            customers: vec![
                Customer::new("faculty", 200_000, 400_000),
                Customer::new("grants", 50_000, 100_000),
            ],
            policy: Policy::Current,
            prefill_profile: prefill::Profile::default(),
            decode_profile: decode::Profile::default(),
            plain_latency: Duration::from_millis(2),
            drain: Duration::from_secs(20),
        }
    }
}

/// Failure to start a fleet.
#[derive(Debug)]
pub enum FleetError {
    /// A simulated server cannot listen.
    Io(io::Error),
    /// A daemon failed to start.
    Start(StartError),
    /// The fleet was not ready before the timeout.
    NotReady,
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "failed to start a simulated server: {error}"),
            Self::Start(error) => write!(f, "failed to start a daemon: {error}"),
            Self::NotReady => f.write_str("timed out while waiting for the fleet to become ready"),
        }
    }
}

impl std::error::Error for FleetError {}

impl From<io::Error> for FleetError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<SiteError> for FleetError {
    fn from(error: SiteError) -> Self {
        match error {
            SiteError::Io(error) => Self::Io(error),
            SiteError::Gateway(error) => Self::Start(error),
        }
    }
}

impl From<StartError> for FleetError {
    fn from(error: StartError) -> Self {
        Self::Start(error)
    }
}

/// Running fleet.
pub struct Fleet {
    /// Table that stores the settings and the leases.
    pub table: Table,
    /// Host list of the platform.
    pub hosts: Hosts,
    /// Prefill engines.
    pub prefill: Vec<prefill::Engine>,
    /// Decode engines.
    pub decode: Vec<decode::Engine>,
    /// Plain services.
    pub plain: Vec<Service>,
    /// Agents by endpoint name.
    pub agents: BTreeMap<String, Agent>,
    /// Entries by number; `None` if the entry was killed.
    pub entries: Vec<Option<Entry>>,
    shape: Shape,
}

impl Fleet {
    /// Starts all processes and waits until all entries serve.
    pub async fn start(shape: Shape) -> Result<Self, FleetError> {
        let mut fleet = Self {
            table: Table::start(Rates::default()).await?,
            hosts: Hosts::start(Duration::from_secs(2)).await?,
            prefill: Vec::new(),
            decode: Vec::new(),
            plain: Vec::new(),
            agents: BTreeMap::new(),
            entries: Vec::new(),
            shape,
        };
        let mut rows = fleet.start_endpoints().await?;
        rows.extend(fleet.customer_rows());
        rows.push((VERSION_ROW.to_owned(), json!(1)));
        fleet.table.put(rows);
        for number in 0..fleet.shape.entries {
            let entry = fleet.start_entry(number).await?;
            fleet.entries.push(Some(entry));
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    async fn start_endpoints(&mut self) -> Result<Vec<(String, Value)>, FleetError> {
        let mut rows = Vec::new();
        for number in 0..self.shape.prefill {
            let engine = prefill::Engine::start(self.shape.prefill_profile).await?;
            rows.push(self.start_endpoint(Role::Prefill, number, engine.address()).await?);
            self.prefill.push(engine);
        }
        for number in 0..self.shape.decode {
            let engine = decode::Engine::start(self.shape.decode_profile).await?;
            rows.push(self.start_endpoint(Role::Decode, number, engine.address()).await?);
            self.decode.push(engine);
        }
        for number in 0..self.shape.plain {
            let service = Service::start(self.shape.plain_latency).await?;
            rows.push(self.start_endpoint(Role::Plain, number, service.address()).await?);
            self.plain.push(service);
        }
        Ok(rows)
    }

    async fn start_endpoint(
        &mut self,
        role: Role,
        number: usize,
        address: SocketAddr,
    ) -> Result<(String, Value), FleetError> {
        let name = format!("{role}-{number}");
        let agent = self.start_agent(&name, number).await?;
        let endpoint = Endpoint {
            role,
            serves: if role == Role::Plain { SERVICE.into() } else { MODEL.into() },
            host: format!("host-{name}").into(),
            zone: self.zone(number).into(),
            address: address.to_string().into(),
            agent: agent.address().to_string().into(),
            pieces: if role == Role::Decode { self.shape.decode_profile.pieces } else { 0 },
            context: if role == Role::Plain { 0 } else { 100_000 },
            checks_fencing: role == Role::Prefill,
            leaving: false,
            generation: 1,
        };
        self.agents.insert(name.clone(), agent);
        Ok(encode_row(&Row::Endpoint(name.into(), Some(endpoint))))
    }

    fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.shape.zones.max(1))
    }

    fn common_settings(&self, name: &str, number: usize) -> CommonSettings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        CommonSettings {
            name: name.into(),
            zone: self.zone(number).into(),
            listen: any_port,
            admin: any_port,
            table: self.table.address(),
            poll: Duration::from_millis(500),
            drain: self.shape.drain,
            log: logging::off(),
        }
    }

    async fn start_agent(&self, endpoint: &str, number: usize) -> Result<Agent, FleetError> {
        let common = self.common_settings(&format!("agent-{endpoint}"), number);
        let settings = AgentSettings { common, endpoints: [endpoint.into()].into() };
        Ok(Agent::start(settings, Clock::runtime()).await?)
    }

    /// Starts or restarts entry `number`. The caller stores it in [`Fleet::entries`].
    pub async fn start_entry(&self, number: usize) -> Result<Entry, FleetError> {
        let settings = EntrySettings {
            common: self.common_settings(&format!("entry-{number}"), number),
            peer: SocketAddr::from(([127, 0, 0, 1], 0)),
            hosts: Some(self.hosts.address()),
            first_token: Duration::from_millis(900),
            first_token_timeout: Duration::from_secs(4),
            rate_wait: Duration::from_millis(300),
            limits: Limits { max_body_bytes: 1 << 20, ..Limits::default() },
            policy: self.shape.policy,
            operator_token: None,
        };
        Ok(Entry::start(settings, Clock::runtime()).await?)
    }

    fn customer_rows(&self) -> Vec<(String, Value)> {
        let mut rows = Vec::new();
        for Customer { name, rate, burst } in &self.shape.customers {
            let customer = CustomerSettings { rate: *rate, burst: *burst, weight: 1 };
            let key = Key {
                id: format!("{name}-1").into(),
                customer: name.as_str().into(),
                withdrawn: false,
                running: WithdrawalPolicy::Cut,
            };
            rows.push(encode_row(&Row::Customer(name.as_str().into(), Some(customer))));
            rows.push(encode_row(&Row::Key(digest(&key_of(name)).into(), Some(key))));
        }
        rows
    }

    async fn wait_until_ready(&self) -> Result<(), FleetError> {
        let began = std::time::Instant::now();
        let expected_links = self.agents.len();
        while began.elapsed() < READY_TIMEOUT {
            if self.is_ready(expected_links).await {
                return Ok(());
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        Err(FleetError::NotReady)
    }

    async fn is_ready(&self, expected_links: usize) -> bool {
        let mut homes = 0;
        for entry in self.entries.iter().flatten() {
            let Some(dump) = fetch_dump(entry.admin()).await else { return false };
            if dump["serving"] != true
                || dump["links"]["up"] != expected_links
                || dump["lease_renewed"] != true
            {
                return false;
            }
            homes += dump["homes"].as_u64().unwrap_or(0);
        }
        homes == u64::from(tarragonhill_core::home::SHARDS)
    }

    /// Returns entry `number`.
    ///
    /// # Panics
    ///
    /// Panics if the entry was killed.
    #[allow(clippy::expect_used, reason = "a caller of the bench asks only for entries it has not killed")]
    pub fn entry(&self, number: usize) -> &Entry {
        self.entries[number].as_ref().expect("entry was killed")
    }

    /// Kills all entries and agents without draining them.
    pub async fn stop(self) {
        for entry in self.entries.into_iter().flatten() {
            entry.kill().await;
        }
        for (_, agent) in self.agents {
            agent.kill().await;
        }
    }
}

fn encode_row(row: &Row) -> (String, Value) {
    (row.key(), row.value().unwrap_or_default())
}

/// Fetches the state dump of the daemon with this admin address, or `None` if the request fails.
pub async fn fetch_dump(admin: SocketAddr) -> Option<Value> {
    let pool = Pool::default();
    let response = pool.send(admin, Request::get("/dump"), Duration::from_secs(2)).await.ok()?;
    response.json().await.ok()
}
