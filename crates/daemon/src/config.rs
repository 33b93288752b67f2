//! Settings of a daemon: flags and environment variables, all checked at start.
//!
//! Every setting has a flag and an environment variable of the same name
//! (`--first-token-ms`, `TARRAGONHILL_FIRST_TOKEN_MS`). What is wrong is told by the setting's name.

use std::{collections::BTreeSet, fmt, net::SocketAddr, sync::Arc, time::Duration};

use bpaf::Bpaf;
use spdlog::LevelFilter;
use tarragonhill_core::{gateway::budget::Rule, placement::Policy};
use tarragonhill_http::server::Limits;

use crate::logging;

/// Prefix of all environment variables.
const ENV_PREFIX: &str = "TARRAGONHILL_";

/// The command line as given.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Routes requests to separate prefill and decode pools.
pub enum Options {
    #[bpaf(command("entry"))]
    /// Faces callers and operators on an entry host
    Entry {
        #[bpaf(external(common))]
        /// Settings of both roles.
        common: Common,
        #[bpaf(external(entry_options))]
        /// Settings of this role.
        entry: EntryOptions,
    },
    #[bpaf(command("agent"))]
    /// Stands beside endpoints and drives them
    Agent {
        #[bpaf(external(common))]
        /// Settings of both roles.
        common: Common,
        #[bpaf(external(agent_options))]
        /// Settings of this role.
        agent: AgentOptions,
    },
    #[bpaf(command("gateway"))]
    /// Passes requests on to the platform's endpoints on an entry host
    Gateway {
        #[bpaf(external(common))]
        /// Settings of all roles.
        common: Common,
        #[bpaf(external(gateway_options))]
        /// Settings of this role.
        gateway: GatewayOptions,
    },
}

impl Options {
    /// Whether the settings are only to be checked.
    pub fn is_check(&self) -> bool {
        match self {
            Self::Entry { common, .. } | Self::Agent { common, .. } | Self::Gateway { common, .. } => {
                common.check
            }
        }
    }
}

/// Settings of both roles, as given.
#[derive(Clone, Debug, Bpaf)]
pub struct Common {
    /// Name of this process, unique in the fleet
    #[bpaf(long, env("TARRAGONHILL_NAME"), argument("NAME"))]
    pub name: String,
    /// Availability zone of the host
    #[bpaf(long, env("TARRAGONHILL_ZONE"), argument("ZONE"))]
    pub zone: String,
    /// Where to listen: callers on an entry, entries on an agent
    #[bpaf(long, env("TARRAGONHILL_LISTEN"), argument("IP:PORT"))]
    pub listen: String,
    /// Where to listen for metrics, health, dumps and, on an entry, operators
    #[bpaf(long, env("TARRAGONHILL_ADMIN"), argument("IP:PORT"))]
    pub admin: String,
    /// The platform's table service
    #[bpaf(long, env("TARRAGONHILL_TABLE"), argument("IP:PORT"))]
    pub table: String,
    /// How often the table is asked for new settings, milliseconds
    #[bpaf(long, env("TARRAGONHILL_POLL_MS"), argument("MS"), fallback(1_000), display_fallback)]
    pub poll_ms: u64,
    /// Longest wait for running requests on a graceful shutdown, milliseconds
    #[bpaf(long, env("TARRAGONHILL_DRAIN_MS"), argument("MS"), fallback(120_000), display_fallback)]
    pub drain_ms: u64,
    /// Log level: off, error, warn, info or debug
    #[bpaf(long, env("TARRAGONHILL_LOG"), argument("LEVEL"), fallback("info".into()), display_fallback)]
    pub log: String,
    /// Check the settings and exit
    #[bpaf(long, switch)]
    pub check: bool,
}

/// Settings of an entry, as given.
#[derive(Clone, Debug, Bpaf)]
pub struct EntryOptions {
    /// Where to listen for other entries
    #[bpaf(long, env("TARRAGONHILL_PEER"), argument("IP:PORT"))]
    pub peer: String,
    /// The platform's list of hosts; without it, only leases tell who is gone
    #[bpaf(long, env("TARRAGONHILL_HOSTS"), argument("IP:PORT"), optional)]
    pub hosts: Option<String>,
    /// Target for the first token, milliseconds
    #[bpaf(long, env("TARRAGONHILL_FIRST_TOKEN_MS"), argument("MS"), fallback(900), display_fallback)]
    pub first_token_ms: u64,
    /// Longest wait for the first token of a request that cannot meet the target, milliseconds
    #[bpaf(long, env("TARRAGONHILL_PATIENCE_MS"), argument("MS"), fallback(4_000), display_fallback)]
    pub patience_ms: u64,
    /// Longest wait for tokens of the customer's rate, milliseconds
    #[bpaf(long, env("TARRAGONHILL_RATE_WAIT_MS"), argument("MS"), fallback(300), display_fallback)]
    pub rate_wait_ms: u64,
    /// Largest request body, bytes
    #[bpaf(long, env("TARRAGONHILL_MAX_BODY"), argument("BYTES"), fallback(1_048_576), display_fallback)]
    pub max_body: usize,
    /// Longest time for a request's head and for an idle connection, milliseconds
    #[bpaf(long, env("TARRAGONHILL_HEAD_MS"), argument("MS"), fallback(10_000), display_fallback)]
    pub head_ms: u64,
    /// Longest time for a request's body, milliseconds
    #[bpaf(long, env("TARRAGONHILL_BODY_MS"), argument("MS"), fallback(10_000), display_fallback)]
    pub body_ms: u64,
    /// Most callers' connections at once
    #[bpaf(long, env("TARRAGONHILL_MAX_CONNECTIONS"), argument("N"), fallback(10_000), display_fallback)]
    pub max_connections: usize,
    /// How requests are placed: current, hold-first, least-loaded or round-robin
    #[bpaf(long, env("TARRAGONHILL_POLICY"), argument("POLICY"), fallback("current".into()), display_fallback)]
    pub policy: String,
    /// Token that operators must show; without it, whoever reaches the admin address may operate
    #[bpaf(long, env("TARRAGONHILL_OPERATOR_TOKEN"), argument("TOKEN"), optional)]
    pub operator_token: Option<String>,
}

/// Settings of an agent, as given.
#[derive(Clone, Debug, Bpaf)]
pub struct AgentOptions {
    /// Names of the endpoints it fronts, separated by commas
    #[bpaf(long, env("TARRAGONHILL_FRONTS"), argument("NAMES"))]
    pub fronts: String,
}

/// Settings of a gateway, as given.
#[derive(Clone, Debug, Bpaf)]
pub struct GatewayOptions {
    /// Where to hear other entries' digests
    #[bpaf(long, env("TARRAGONHILL_PEER"), argument("IP:PORT"))]
    pub peer: String,
    /// Longest time from the order to stop to the end, seconds
    #[bpaf(long, env("TARRAGONHILL_GRACE_S"), argument("S"), fallback(8.0), display_fallback)]
    pub grace_s: f64,
    /// Sends to a further endpoint for each request of a service
    #[bpaf(long, env("TARRAGONHILL_RETRY_RATIO"), argument("RATIO"), fallback(0.2), display_fallback)]
    pub retry_ratio: f64,
    /// Sends to a further endpoint on top, over all entries
    #[bpaf(long, env("TARRAGONHILL_RETRY_SLACK"), argument("N"), fallback(50.0), display_fallback)]
    pub retry_slack: f64,
    /// Span over which sends to a further endpoint are counted, seconds
    #[bpaf(long, env("TARRAGONHILL_RETRY_WINDOW_S"), argument("S"), fallback(10.0), display_fallback)]
    pub retry_window_s: f64,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Name of the setting, as a flag without the dashes.
    pub setting: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{}: {}", self.setting, self.problem)
    }
}

impl std::error::Error for ConfigError {}

fn wrong(setting: &str, problem: impl Into<String>) -> ConfigError {
    ConfigError { setting: setting.to_owned(), problem: problem.into() }
}

/// Checked settings of both roles.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Name of this process.
    pub name: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Where to listen.
    pub listen: SocketAddr,
    /// Where to listen for operators.
    pub admin: SocketAddr,
    /// The table service.
    pub table: SocketAddr,
    /// How often the table is polled.
    pub poll: Duration,
    /// Longest wait for running requests on shutdown.
    pub drain: Duration,
    /// Log level.
    pub log: LevelFilter,
}

/// Checked settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Settings of both roles.
    pub common: CommonSettings,
    /// Where to listen for other entries.
    pub peer: SocketAddr,
    /// The list of hosts.
    pub hosts: Option<SocketAddr>,
    /// Target for the first token.
    pub first_token: Duration,
    /// Longest wait for the first token.
    pub first_token_timeout: Duration,
    /// Longest wait for tokens of the customer's rate.
    pub rate_wait: Duration,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// How requests are placed.
    pub policy: Policy,
    /// Token that operators must show.
    pub operator_token: Option<Arc<str>>,
}

/// Checked settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings of both roles.
    pub common: CommonSettings,
    /// Names of the endpoints it fronts.
    pub fronts: BTreeSet<Arc<str>>,
}

/// Checked settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Settings of all roles.
    pub common: CommonSettings,
    /// Where to hear other entries.
    pub peer: SocketAddr,
    /// Longest time from the order to stop to the end.
    pub grace: Duration,
    /// How often requests may be sent to a further endpoint.
    pub retries: Rule,
}

/// Checked settings of a daemon.
#[derive(Clone, Debug)]
pub enum Settings {
    /// Run an entry.
    Entry(Box<EntrySettings>),
    /// Run an agent.
    Agent(AgentSettings),
    /// Run a gateway.
    Gateway(GatewaySettings),
}

impl Settings {
    /// Settings of both roles.
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
                Ok(Self::Entry(Box::new(EntrySettings::check(common, entry)?)))
            }
            Options::Agent { common, agent } => Ok(Self::Agent(AgentSettings::check(common, agent)?)),
            Options::Gateway { common, gateway } => {
                Ok(Self::Gateway(GatewaySettings::check(common, gateway)?))
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
            log: logging::level(&common.log).ok_or_else(|| {
                wrong("log", format!("{:?} is not one of off, error, warn, info, debug", common.log))
            })?,
        })
    }
}

impl EntrySettings {
    fn check(common: Common, entry: EntryOptions) -> Result<Self, ConfigError> {
        let limits = Limits {
            max_body_bytes: count("max-body", entry.max_body, 1_024, 1 << 30)?,
            head_timeout: millis("head-ms", entry.head_ms, 10, 600_000)?,
            body_timeout: millis("body-ms", entry.body_ms, 10, 600_000)?,
            max_connections: count("max-connections", entry.max_connections, 1, 1_000_000)?,
        };
        let policy = entry.policy.parse().map_err(|_| {
            wrong(
                "policy",
                format!("{:?} is not one of current, hold-first, least-loaded, round-robin", entry.policy),
            )
        })?;
        if entry.operator_token.as_ref().is_some_and(|token| token.len() < 16) {
            return Err(wrong("operator-token", "must be at least 16 characters"));
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
    fn check(common: Common, agent: AgentOptions) -> Result<Self, ConfigError> {
        let names = agent.fronts.split(',').map(|part| name("fronts", part.trim()));
        Ok(Self { common: common.try_into()?, fronts: names.collect::<Result<_, _>>()? })
    }
}

impl GatewaySettings {
    fn check(common: Common, gateway: GatewayOptions) -> Result<Self, ConfigError> {
        let retries = Rule {
            ratio: number("retry-ratio", gateway.retry_ratio, 0.0, 10.0)?,
            slack: number("retry-slack", gateway.retry_slack, 0.0, 1e6)?,
            window: Duration::from_secs_f64(number("retry-window-s", gateway.retry_window_s, 0.5, 600.0)?),
        };
        Ok(Self {
            common: common.try_into()?,
            peer: address("peer", &gateway.peer)?,
            grace: Duration::from_secs_f64(number("grace-s", gateway.grace_s, 0.0, 3_600.0)?),
            retries,
        })
    }
}

fn name(setting: &str, text: &str) -> Result<Arc<str>, ConfigError> {
    let plain = text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if text.is_empty() || text.len() > 64 || !plain {
        return Err(wrong(
            setting,
            format!("{text:?} is not 1 to 64 letters, digits, dots, hyphens and underscores"),
        ));
    }
    Ok(text.into())
}

fn address(setting: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| wrong(setting, format!("{text:?} is not an ip:port")))
}

fn millis(setting: &str, value: u64, least: u64, most: u64) -> Result<Duration, ConfigError> {
    if !(least..=most).contains(&value) {
        return Err(wrong(setting, format!("{value} is not between {least} and {most}")));
    }
    Ok(Duration::from_millis(value))
}

fn number(setting: &str, value: f64, least: f64, most: f64) -> Result<f64, ConfigError> {
    if !(least..=most).contains(&value) {
        return Err(wrong(setting, format!("{value} is not between {least} and {most}")));
    }
    Ok(value)
}

fn count(setting: &str, value: usize, least: usize, most: usize) -> Result<usize, ConfigError> {
    if !(least..=most).contains(&value) {
        return Err(wrong(setting, format!("{value} is not between {least} and {most}")));
    }
    Ok(value)
}

/// Names of all settings, as flags without the dashes.
pub const NAMES: [&str; 24] = [
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
    "grace-s",
    "retry-ratio",
    "retry-slack",
    "retry-window-s",
];

/// Names the platform's own file of settings; ours come as flags and environment variables.
const PLATFORM_FILE: &str = "TARRAGONHILL_SETTINGS";

/// Refuses environment variables with our prefix that name no setting: a misspelt one would
/// otherwise be ignored without a word.
pub fn check_environment(names: impl Iterator<Item = String>) -> Result<(), ConfigError> {
    for variable in names {
        if variable == PLATFORM_FILE {
            continue;
        }
        let Some(rest) = variable.strip_prefix(ENV_PREFIX) else { continue };
        let setting = rest.to_ascii_lowercase().replace('_', "-");
        if !NAMES.contains(&setting.as_str()) {
            return Err(wrong(&setting, format!("environment variable {variable} names no setting")));
        }
    }
    Ok(())
}
