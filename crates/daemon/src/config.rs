//! Settings of a daemon: flags and environment variables, validated at startup.
//!
//! Each setting has a flag and an environment variable of the same name, such as `--first-token-ms` and
//! `TARRAGONHILL_FIRST_TOKEN_MS`. Errors name the setting.

use std::{collections::BTreeSet, fmt, net::SocketAddr, sync::Arc, time::Duration};

use bpaf::Bpaf;
use rustix::process::{Resource, getrlimit};
use spdlog::LevelFilter;
use tarragonhill_core::{
    gateway::{
        budget::Rule,
        cold::Tolerance,
        connections::Capacity,
        mechanism::{Mechanism, Mechanisms},
    },
    placement::Policy,
};
use tarragonhill_http::server::Limits;

use crate::logging;

/// Prefix of the environment variables.
const ENV_PREFIX: &str = "TARRAGONHILL_";
const MAX_MEMORY_MB: f64 = 1e9;
const MAX_DESCRIPTORS: f64 = 1e9;

/// Command line before validation.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Routes requests to separate prefill and decode pools.
pub enum Options {
    #[bpaf(command("entry"))]
    /// Accepts requests from callers and operators on an entry host
    Entry {
        #[bpaf(external(common))]
        /// Settings shared by all roles.
        common: Common,
        #[bpaf(external(entry_options))]
        /// Settings of this role.
        entry: EntryOptions,
    },
    #[bpaf(command("agent"))]
    /// Runs next to endpoints and schedules work on them
    Agent {
        #[bpaf(external(common))]
        /// Settings shared by all roles.
        common: Common,
        #[bpaf(external(agent_options))]
        /// Settings of this role.
        agent: AgentOptions,
    },
    #[bpaf(command("gateway"))]
    /// Forwards requests from an entry host to the platform's endpoints
    Gateway {
        #[bpaf(external(common))]
        /// Settings shared by all roles.
        common: Common,
        #[bpaf(external(gateway_options))]
        /// Settings of this role.
        gateway: GatewayOptions,
    },
}

impl Options {
    /// Returns whether to check the settings and exit.
    pub fn is_check(&self) -> bool {
        match self {
            Self::Entry { common, .. } | Self::Agent { common, .. } | Self::Gateway { common, .. } => {
                common.check
            }
        }
    }
}

/// Settings shared by all roles
#[derive(Clone, Debug, Bpaf)]
pub struct Common {
    /// Name of this process, unique in the fleet
    #[bpaf(long, env("TARRAGONHILL_NAME"), argument("NAME"))]
    pub name: String,
    /// Availability zone of the host
    #[bpaf(long, env("TARRAGONHILL_ZONE"), argument("ZONE"))]
    pub zone: String,
    /// Listen address for callers (entry and gateway) or for entries (agent)
    #[bpaf(long, env("TARRAGONHILL_LISTEN"), argument("IP:PORT"))]
    pub listen: String,
    /// Listen address for metrics, health checks, state dumps and, on an entry, operators
    #[bpaf(long, env("TARRAGONHILL_ADMIN"), argument("IP:PORT"))]
    pub admin: String,
    /// Address of the platform's table service
    #[bpaf(long, env("TARRAGONHILL_TABLE"), argument("IP:PORT"))]
    pub table: String,
    /// Interval at which the table is polled for new settings, milliseconds
    #[bpaf(long, env("TARRAGONHILL_POLL_MS"), argument("MS"), fallback(1_000), display_fallback)]
    pub poll_ms: u64,
    /// Maximum wait for running requests in a graceful shutdown, milliseconds
    #[bpaf(long, env("TARRAGONHILL_DRAIN_MS"), argument("MS"), fallback(120_000), display_fallback)]
    pub drain_ms: u64,
    /// Log level: off, error, warn, info or debug
    #[bpaf(long, env("TARRAGONHILL_LOG"), argument("LEVEL"), fallback("info".into()), display_fallback)]
    pub log: String,
    /// Check the settings and exit
    #[bpaf(long, switch)]
    pub check: bool,
}

/// Settings of an entry
#[derive(Clone, Debug, Bpaf)]
pub struct EntryOptions {
    /// Listen address for other entries
    #[bpaf(long, env("TARRAGONHILL_PEER"), argument("IP:PORT"))]
    pub peer: String,
    /// Address of the platform's host list; without it, only expired leases reveal lost hosts
    #[bpaf(long, env("TARRAGONHILL_HOSTS"), argument("IP:PORT"), optional)]
    pub hosts: Option<String>,
    /// Target time to first token, milliseconds
    #[bpaf(long, env("TARRAGONHILL_FIRST_TOKEN_MS"), argument("MS"), fallback(900), display_fallback)]
    pub first_token_ms: u64,
    /// Maximum time to first token of a request that cannot meet the target, milliseconds
    #[bpaf(long, env("TARRAGONHILL_PATIENCE_MS"), argument("MS"), fallback(4_000), display_fallback)]
    pub patience_ms: u64,
    /// Maximum wait for the customer's token bucket, milliseconds
    #[bpaf(long, env("TARRAGONHILL_RATE_WAIT_MS"), argument("MS"), fallback(300), display_fallback)]
    pub rate_wait_ms: u64,
    /// Maximum size of a request body, bytes
    #[bpaf(long, env("TARRAGONHILL_MAX_BODY"), argument("BYTES"), fallback(1_048_576), display_fallback)]
    pub max_body: usize,
    /// Timeout for a request's head and for idle connections, milliseconds
    #[bpaf(long, env("TARRAGONHILL_HEAD_MS"), argument("MS"), fallback(10_000), display_fallback)]
    pub head_ms: u64,
    /// Timeout for a request's body, milliseconds
    #[bpaf(long, env("TARRAGONHILL_BODY_MS"), argument("MS"), fallback(10_000), display_fallback)]
    pub body_ms: u64,
    /// Maximum number of open connections from callers
    #[bpaf(long, env("TARRAGONHILL_MAX_CONNECTIONS"), argument("N"), fallback(10_000), display_fallback)]
    pub max_connections: usize,
    /// Placement policy: current, hold-first, least-loaded or round-robin
    #[bpaf(long, env("TARRAGONHILL_POLICY"), argument("POLICY"), fallback("current".into()), display_fallback)]
    pub policy: String,
    /// Token that operators must send; without it, the admin address accepts operators' requests from anyone
    #[bpaf(long, env("TARRAGONHILL_OPERATOR_TOKEN"), argument("TOKEN"), optional)]
    pub operator_token: Option<String>,
}

/// Settings of an agent
#[derive(Clone, Debug, Bpaf)]
pub struct AgentOptions {
    /// Names of the endpoints that the agent manages, separated by commas
    #[bpaf(long, env("TARRAGONHILL_FRONTS"), argument("NAMES"))]
    pub fronts: String,
}

/// Settings of a gateway
#[derive(Clone, Debug, Bpaf)]
pub struct GatewayOptions {
    /// Listen address for digests from other gateways
    #[bpaf(long, env("TARRAGONHILL_PEER"), argument("IP:PORT"))]
    pub peer: String,
    /// Processor time that the gateway may use, cores; gateways with more of it relay digests for others
    #[bpaf(long, env("TARRAGONHILL_CPU_SHARE"), argument("CORES"), fallback(1.0), display_fallback)]
    pub cpu_share: f64,
    /// Maximum duration of a shutdown, seconds
    #[bpaf(long, env("TARRAGONHILL_GRACE_S"), argument("S"), fallback(8.0), display_fallback)]
    pub grace_s: f64,
    /// Retries on another endpoint allowed per request of a service
    #[bpaf(long, env("TARRAGONHILL_RETRY_RATIO"), argument("RATIO"), fallback(0.2), display_fallback)]
    pub retry_ratio: f64,
    /// Retries allowed in addition to the ratio, over all gateways
    #[bpaf(long, env("TARRAGONHILL_RETRY_SLACK"), argument("N"), fallback(50.0), display_fallback)]
    pub retry_slack: f64,
    /// Window over which retries are counted, seconds
    #[bpaf(long, env("TARRAGONHILL_RETRY_WINDOW_S"), argument("S"), fallback(10.0), display_fallback)]
    pub retry_window_s: f64,
    /// Factor on the declared rate of cold endpoints that they tolerate; empty for the default
    #[bpaf(long, env("TARRAGONHILL_COLD_OVERAGE"), argument("N"), fallback("1.0".into()), display_fallback)]
    pub cold_overage: String,
    /// Requests a second that cold endpoints tolerate in addition; empty for the default
    #[bpaf(long, env("TARRAGONHILL_COLD_SLACK"), argument("N"), fallback("0.0".into()), display_fallback)]
    pub cold_slack: String,
    /// Memory of the host, MB, a part of which may be held for slow callers and endpoints; empty or 0 for no bound
    #[bpaf(long, env("TARRAGONHILL_MEMORY_MB"), argument("MB"), fallback(String::new()))]
    pub memory_mb: String,
    /// Descriptors that the process may have open; empty or 0 for the limit of the process
    #[bpaf(long, env("TARRAGONHILL_DESCRIPTORS"), argument("N"), fallback(String::new()))]
    pub descriptors: String,
    /// Connections that callers may have open; 0 for what the memory and the descriptors bear
    #[bpaf(long, env("TARRAGONHILL_MAX_CALLER_CONNECTIONS"), argument("N"), fallback(0), display_fallback)]
    pub max_caller_connections: usize,
    /// Requests of callers that are served at once; 0 for what the descriptors bear
    #[bpaf(long, env("TARRAGONHILL_MAX_REQUESTS"), argument("N"), fallback(0), display_fallback)]
    pub max_requests: usize,
    /// Connections that clients of the admin address may have open
    #[bpaf(long, env("TARRAGONHILL_MAX_ADMIN_CONNECTIONS"), argument("N"), fallback(64), display_fallback)]
    pub max_admin_connections: usize,
    /// Mechanisms to switch off, separated by commas, to see what each is worth
    #[bpaf(long, env("TARRAGONHILL_WITHOUT"), argument("NAMES"), fallback(String::new()))]
    pub without: String,
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Name of the setting: the flag without the leading dashes.
    pub setting: String,
    /// Why it is invalid.
    pub problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{}: {}", self.setting, self.problem)
    }
}

impl std::error::Error for ConfigError {}

fn invalid(setting: &str, problem: impl Into<String>) -> ConfigError {
    ConfigError { setting: setting.to_owned(), problem: problem.into() }
}

/// Validated settings shared by all roles.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Name of this process, unique in the fleet.
    pub name: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Listen address for callers or, on an agent, for entries.
    pub listen: SocketAddr,
    /// Listen address of the admin server.
    pub admin: SocketAddr,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Interval at which the table is polled.
    pub poll: Duration,
    /// Maximum wait for running requests in a shutdown.
    pub drain: Duration,
    /// Minimum level of log lines.
    pub log: LevelFilter,
}

/// Validated settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Settings shared by all roles.
    pub common: CommonSettings,
    /// Listen address for other entries.
    pub peer: SocketAddr,
    /// Address of the platform's list of hosts.
    pub hosts: Option<SocketAddr>,
    /// Target time to first token.
    pub first_token: Duration,
    /// Maximum time to first token of a request that cannot meet the target.
    pub first_token_timeout: Duration,
    /// Maximum wait for the customer's token bucket.
    pub rate_wait: Duration,
    /// Limits of callers' connections and requests.
    pub limits: Limits,
    /// Placement policy.
    pub policy: Policy,
    /// Token that operators must send. `None` disables the check.
    pub operator_token: Option<Arc<str>>,
}

/// Validated settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings shared by all roles.
    pub common: CommonSettings,
    /// Names of the endpoints that the agent manages.
    pub endpoints: BTreeSet<Arc<str>>,
}

/// Validated settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Settings shared by all roles.
    pub common: CommonSettings,
    /// Listen address for peers.
    pub peer: SocketAddr,
    /// Processor time that the process may use, in thousandths of a core.
    pub millicores: u32,
    /// Maximum duration of a shutdown.
    pub grace: Duration,
    /// Retry budget.
    pub retries: Rule,
    /// What cold endpoints tolerate beyond the rate that the operator declares.
    pub cold_tolerance: Tolerance,
    /// Mechanisms in use.
    pub mechanisms: Mechanisms,
    /// Memory of the host, bytes; `None` if it is not known.
    pub memory: Option<u64>,
    /// How many connections callers may have, and how many of their requests are served at once.
    pub capacity: Capacity,
    /// The same for clients of the admin address.
    pub admin_capacity: Capacity,
}

/// Validated settings of a daemon.
#[derive(Clone, Debug)]
pub enum Settings {
    /// Settings of an entry.
    Entry(Box<EntrySettings>),
    /// Settings of an agent.
    Agent(AgentSettings),
    /// Settings of a gateway.
    Gateway(GatewaySettings),
}

impl Settings {
    /// Returns the settings shared by all roles.
    pub fn common(&self) -> &CommonSettings {
        match self {
            Self::Entry(settings) => &settings.common,
            Self::Agent(settings) => &settings.common,
            Self::Gateway(settings) => &settings.common,
        }
    }
}

impl TryFrom<Options> for Settings {
    type Error = ConfigError;

    fn try_from(options: Options) -> Result<Self, Self::Error> {
        match options {
            Options::Entry { common, entry } => {
                Ok(Self::Entry(Box::new(EntrySettings::validate(common, entry)?)))
            }
            Options::Agent { common, agent } => Ok(Self::Agent(AgentSettings::validate(common, agent)?)),
            Options::Gateway { common, gateway } => {
                Ok(Self::Gateway(GatewaySettings::validate(common, gateway)?))
            }
        }
    }
}

impl TryFrom<Common> for CommonSettings {
    type Error = ConfigError;

    fn try_from(common: Common) -> Result<Self, Self::Error> {
        Ok(Self {
            name: name("name", &common.name)?,
            zone: name("zone", &common.zone)?,
            listen: address("listen", &common.listen)?,
            admin: address("admin", &common.admin)?,
            table: address("table", &common.table)?,
            poll: millis("poll-ms", common.poll_ms, 10, 10_000)?,
            drain: millis("drain-ms", common.drain_ms, 0, 3_600_000)?,
            log: logging::parse_level(&common.log).ok_or_else(|| {
                invalid("log", format!("{:?} is not one of off, error, warn, info, debug", common.log))
            })?,
        })
    }
}

impl EntrySettings {
    fn validate(common: Common, entry: EntryOptions) -> Result<Self, ConfigError> {
        let limits = Limits {
            max_body_bytes: count("max-body", entry.max_body, 1_024, 1 << 30)?,
            head_timeout: millis("head-ms", entry.head_ms, 10, 600_000)?,
            body_timeout: millis("body-ms", entry.body_ms, 10, 600_000)?,
            max_connections: count("max-connections", entry.max_connections, 1, 1_000_000)?,
        };
        let policy = entry.policy.parse().map_err(|_| {
            invalid(
                "policy",
                format!("{:?} is not one of current, hold-first, least-loaded, round-robin", entry.policy),
            )
        })?;
        if entry.operator_token.as_ref().is_some_and(|token| token.len() < 16) {
            return Err(invalid("operator-token", "must be at least 16 characters"));
        }
        Ok(Self {
            common: common.try_into()?,
            peer: address("peer", &entry.peer)?,
            hosts: entry.hosts.map(|hosts| address("hosts", &hosts)).transpose()?,
            first_token: millis("first-token-ms", entry.first_token_ms, 10, 600_000)?,
            first_token_timeout: millis("patience-ms", entry.patience_ms, entry.first_token_ms, 600_000)?,
            rate_wait: millis("rate-wait-ms", entry.rate_wait_ms, 0, 60_000)?,
            limits,
            policy,
            operator_token: entry.operator_token.map(Arc::from),
        })
    }
}

impl AgentSettings {
    fn validate(common: Common, agent: AgentOptions) -> Result<Self, ConfigError> {
        let names = agent.fronts.split(',').map(|part| name("fronts", part.trim()));
        Ok(Self { common: common.try_into()?, endpoints: names.collect::<Result<_, _>>()? })
    }
}

impl GatewaySettings {
    fn validate(common: Common, gateway: GatewayOptions) -> Result<Self, ConfigError> {
        let retries = Rule {
            ratio: number("retry-ratio", gateway.retry_ratio, 0.0, 10.0)?,
            slack: number("retry-slack", gateway.retry_slack, 0.0, 1e6)?,
            window: Duration::from_secs_f64(number("retry-window-s", gateway.retry_window_s, 0.5, 600.0)?),
        };
        let declared = Tolerance::default();
        let cold_tolerance = Tolerance {
            factor: optional_number("cold-overage", &gateway.cold_overage, 0.0, 100.0)?
                .unwrap_or(declared.factor),
            slack: optional_number("cold-slack", &gateway.cold_slack, 0.0, 1e6)?.unwrap_or(declared.slack),
        };
        let memory = optional_number("memory-mb", &gateway.memory_mb, 0.0, MAX_MEMORY_MB)?;
        let memory = memory.filter(|memory| *memory > 0.0).map(|memory| (memory * 1e6) as u64);
        let descriptors = optional_number("descriptors", &gateway.descriptors, 0.0, MAX_DESCRIPTORS)?;
        let descriptors = descriptors.filter(|count| *count > 0.0).map(|count| count as u64);
        Ok(Self {
            common: common.try_into()?,
            peer: address("peer", &gateway.peer)?,
            millicores: (number("cpu-share", gateway.cpu_share, 0.001, 1e3)? * 1e3) as u32,
            grace: Duration::from_secs_f64(number("grace-s", gateway.grace_s, 0.0, 3_600.0)?),
            retries,
            cold_tolerance,
            mechanisms: mechanisms("without", &gateway.without)?,
            memory,
            capacity: capacity(Capacity::of(memory, descriptors.or_else(descriptor_limit)), &gateway),
            admin_capacity: Capacity {
                connections: gateway.max_admin_connections.max(1),
                requests: gateway.max_admin_connections.max(1),
            },
        })
    }
}

/// Returns the capacity by the settings, and by what the host bears where they leave it open.
fn capacity(host: Capacity, gateway: &GatewayOptions) -> Capacity {
    let choose = |set: usize, borne: usize| if set > 0 { set } else { borne };
    Capacity {
        connections: choose(gateway.max_caller_connections, host.connections),
        requests: choose(gateway.max_requests, host.requests),
    }
}

/// Returns the limit of the process on its descriptors, if it has one.
fn descriptor_limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Parses the names of mechanisms that are switched off.
fn mechanisms(setting: &str, text: &str) -> Result<Mechanisms, ConfigError> {
    let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
    let parse = |name: &str| {
        name.parse::<Mechanism>().map_err(|_| {
            let known: Vec<&str> = Mechanism::names().collect();
            invalid(setting, format!("{name:?} is not one of {}", known.join(", ")))
        })
    };
    Ok(Mechanisms::without(names.map(parse).collect::<Result<Vec<_>, _>>()?))
}

fn name(setting: &str, text: &str) -> Result<Arc<str>, ConfigError> {
    let has_valid_characters =
        text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if text.is_empty() || text.len() > 64 || !has_valid_characters {
        return Err(invalid(
            setting,
            format!("{text:?} is not 1 to 64 letters, digits, dots, hyphens and underscores"),
        ));
    }
    Ok(text.into())
}

fn address(setting: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| invalid(setting, format!("{text:?} is not of the form ip:port")))
}

fn millis(setting: &str, value: u64, min: u64, max: u64) -> Result<Duration, ConfigError> {
    if !(min..=max).contains(&value) {
        return Err(invalid(setting, format!("{value} is not between {min} and {max}")));
    }
    Ok(Duration::from_millis(value))
}

fn number(setting: &str, value: f64, min: f64, max: f64) -> Result<f64, ConfigError> {
    if !(min..=max).contains(&value) {
        return Err(invalid(setting, format!("{value} is not between {min} and {max}")));
    }
    Ok(value)
}

/// Parses a number; an empty text is none.
fn optional_number(setting: &str, text: &str, min: f64, max: f64) -> Result<Option<f64>, ConfigError> {
    if text.is_empty() {
        return Ok(None);
    }
    let value = text.parse().map_err(|_| invalid(setting, format!("{text:?} is not a number")))?;
    number(setting, value, min, max).map(Some)
}

fn count(setting: &str, value: usize, min: usize, max: usize) -> Result<usize, ConfigError> {
    if !(min..=max).contains(&value) {
        return Err(invalid(setting, format!("{value} is not between {min} and {max}")));
    }
    Ok(value)
}

/// Names of all settings: flags without the leading dashes.
pub const SETTING_NAMES: [&str; 33] = [
    "name",
    "zone",
    "listen",
    "admin",
    "table",
    "poll-ms",
    "drain-ms",
    "log",
    "peer",
    "hosts",
    "first-token-ms",
    "patience-ms",
    "rate-wait-ms",
    "max-body",
    "head-ms",
    "body-ms",
    "max-connections",
    "policy",
    "operator-token",
    "fronts",
    "cpu-share",
    "grace-s",
    "retry-ratio",
    "retry-slack",
    "retry-window-s",
    "cold-overage",
    "cold-slack",
    "memory-mb",
    "descriptors",
    "max-caller-connections",
    "max-requests",
    "max-admin-connections",
    "without",
];

/// Variable that the platform sets; it has the prefix but is not a setting of the daemon.
const PLATFORM_VARIABLE: &str = "TARRAGONHILL_SETTINGS";

/// Returns an error for a variable that has the prefix but names no setting, such as a misspelled one.
pub fn check_environment(names: impl Iterator<Item = String>) -> Result<(), ConfigError> {
    for variable in names {
        if variable == PLATFORM_VARIABLE {
            continue;
        }
        let Some(rest) = variable.strip_prefix(ENV_PREFIX) else { continue };
        let setting = rest.to_ascii_lowercase().replace('_', "-");
        if !SETTING_NAMES.contains(&setting.as_str()) {
            return Err(invalid(
                &setting,
                format!("environment variable {variable} is not the name of a setting"),
            ));
        }
    }
    Ok(())
}
