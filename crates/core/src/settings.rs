//! Settings that operators change while traffic runs: customers, keys and endpoints.
//!
//! They live as rows in the platform's table. Each process keeps a [`Snapshot`]; its version never
//! goes down, and a change is applied whole or not at all.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest as _, Sha256};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Prefix of all rows that belong to the settings.
pub const PREFIX: &str = "settings/";
/// Row with the current version. Every change checks and bumps it in its own transaction.
pub const VERSION_ROW: &str = "settings/version";

/// A customer and its share of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Tokens a second over all hosts together.
    pub rate: u64,
    /// Most tokens spent at once; at least one.
    pub burst: u64,
    /// Share of a contended endpoint relative to other customers; at least one.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}

/// A caller's key, stored under its digest only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public identifier, safe to log and to send to agents.
    pub id: Arc<str>,
    /// The customer it stands for.
    pub customer: Arc<str>,
    /// Never set back to false.
    #[serde(default)]
    pub withdrawn: bool,
    /// What happens to answers already streaming when the key is withdrawn.
    #[serde(default)]
    pub running: WithdrawalPolicy,
}

/// What becomes of a running decode when its key is withdrawn.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WithdrawalPolicy {
    /// It is cut: a withdrawn key has stopped working, whatever it had begun.
    #[default]
    Cut,
    /// It may finish; the costly part is already spent.
    Finish,
}

/// What an endpoint does.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Turns prompts into KV cache.
    Prefill,
    /// Turns KV cache into tokens.
    Decode,
    /// A plain HTTP service.
    Plain,
}

/// One endpoint behind the router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// What it does.
    pub role: Role,
    /// Name of the model or service it serves.
    pub serves: Arc<str>,
    /// Endpoint host it stands on.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Where the endpoint itself listens, `ip:port`.
    pub address: Arc<str>,
    /// Where the agent that fronts it listens, `ip:port`.
    pub agent: Arc<str>,
    /// Memory in pieces of [`PIECE_TOKENS`]; decode endpoints only.
    #[serde(default)]
    pub pieces: u32,
    /// Most tokens of prompt and answer together; model endpoints only.
    #[serde(default)]
    pub context: u32,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Settings version of the last change to `role` or `serves`; the fencing number of orders.
    #[serde(default)]
    pub generation: u64,
}

/// Tokens in one piece of engine memory (the unit in which engines account for KV cache).
pub const PIECE_TOKENS: u32 = 4_000;

/// Pieces that `tokens` tokens of context take.
pub fn pieces(tokens: u32) -> u32 {
    tokens.div_ceil(PIECE_TOKENS).max(1)
}

/// Digest under which a key is stored: SHA-256, lower-case hex. Keys are long random strings, so
/// no salt is needed.
pub fn digest(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// One row of the settings, by the table key it is stored under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Row {
    /// `settings/version`.
    Version(u64),
    /// `settings/customer/NAME`.
    Customer(Arc<str>, Option<Customer>),
    /// `settings/key/DIGEST`.
    Key(Arc<str>, Option<Key>),
    /// `settings/endpoint/NAME`.
    Endpoint(Arc<str>, Option<Endpoint>),
}

impl Row {
    /// The table key of the row.
    pub fn key(&self) -> String {
        match self {
            Self::Version(_) => VERSION_ROW.to_owned(),
            Self::Customer(name, _) => format!("{PREFIX}customer/{name}"),
            Self::Key(digest, _) => format!("{PREFIX}key/{digest}"),
            Self::Endpoint(name, _) => format!("{PREFIX}endpoint/{name}"),
        }
    }

    /// The stored value; `None` deletes the row.
    pub fn value(&self) -> Option<serde_json::Value> {
        match self {
            Self::Version(version) => Some(json!(version)),
            Self::Customer(_, value) => value.as_ref().map(|value| json!(value)),
            Self::Key(_, value) => value.as_ref().map(|value| json!(value)),
            Self::Endpoint(_, value) => value.as_ref().map(|value| json!(value)),
        }
    }

    /// Reads a row from the table; `None` as value is a deleted row.
    pub fn parse(key: &str, value: Option<&serde_json::Value>) -> Result<Self, RowError> {
        let unknown = || RowError::UnknownRow(key.to_owned());
        let rest = key.strip_prefix(PREFIX).ok_or_else(unknown)?;
        if rest == "version" {
            let version = value.and_then(serde_json::Value::as_u64);
            return version
                .map(Self::Version)
                .ok_or_else(|| RowError::BadValue(key.to_owned(), "not a number".into()));
        }
        let (kind, name) = rest.split_once('/').ok_or_else(unknown)?;
        let name: Arc<str> = name.into();
        match kind {
            "customer" => Ok(Self::Customer(name, decode(key, value)?)),
            "key" => Ok(Self::Key(name, decode(key, value)?)),
            "endpoint" => Ok(Self::Endpoint(name, decode(key, value)?)),
            _ => Err(unknown()),
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(
    key: &str,
    value: Option<&serde_json::Value>,
) -> Result<Option<T>, RowError> {
    value
        .map(|value| {
            T::deserialize(value).map_err(|error| RowError::BadValue(key.to_owned(), error.to_string()))
        })
        .transpose()
}

/// A row that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowError {
    /// The table key names no known kind of row.
    UnknownRow(String),
    /// The value does not fit the kind; says why.
    BadValue(String, String),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownRow(key) => write!(f, "unknown settings row {key:?}"),
            Self::BadValue(key, why) => write!(f, "settings row {key:?}: {why}"),
        }
    }
}

impl std::error::Error for RowError {}

/// An endpoint with its name.
pub type NamedEndpoint = (Arc<str>, Arc<Endpoint>);

/// All settings at one version.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Version of the table's settings that this equals; zero before the first read.
    pub version: u64,
    /// Customers by name.
    pub customers: BTreeMap<Arc<str>, Arc<Customer>>,
    /// Keys by digest.
    pub keys: BTreeMap<Arc<str>, Arc<Key>>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<Arc<str>, Arc<Endpoint>>,
    /// Endpoints for each thing served, by role; each list in the order of names. Derived from
    /// `endpoints`.
    served: BTreeMap<Role, BTreeMap<Arc<str>, Vec<NamedEndpoint>>>,
    /// Digests of withdrawn keys by key identifier. Derived from `keys`.
    withdrawn: BTreeSet<Arc<str>>,
}

impl Snapshot {
    /// The snapshot with `rows` applied at `version`, or `None` if that would go back.
    ///
    /// Guards against a settings version that reverts: a slow or reordered read of the table
    /// would otherwise bring a withdrawn key back for a moment.
    pub fn apply(&self, version: u64, rows: &[Row]) -> Option<Self> {
        if version < self.version {
            return None;
        }
        let mut next = self.clone();
        next.version = version;
        for row in rows {
            next.put(row);
        }
        Some(next)
    }

    fn put(&mut self, row: &Row) {
        match row {
            Row::Version(_) => {}
            Row::Customer(name, value) => set(&mut self.customers, name, value),
            Row::Key(digest, value) => {
                if let Some(key) = value.as_ref().filter(|key| key.withdrawn) {
                    self.withdrawn.insert(key.id.clone());
                }
                set(&mut self.keys, digest, value);
            }
            Row::Endpoint(name, value) => self.put_endpoint(name, value),
        }
    }

    fn put_endpoint(&mut self, name: &Arc<str>, value: &Option<Endpoint>) {
        if let Some(old) = self.endpoints.get(name) {
            let list = self.served.get_mut(&old.role).and_then(|served| served.get_mut(&old.serves));
            if let Some(list) = list {
                list.retain(|(other, _)| other != name);
            }
        }
        set(&mut self.endpoints, name, value);
        let Some(endpoint) = self.endpoints.get(name) else { return };
        let list = self.served.entry(endpoint.role).or_default().entry(endpoint.serves.clone()).or_default();
        let at = list.partition_point(|(other, _)| other < name);
        list.insert(at, (name.clone(), endpoint.clone()));
    }

    /// The customer and key behind a caller's key, unless unknown or withdrawn.
    pub fn authenticate(&self, key: &str) -> Option<Arc<Key>> {
        let key = self.keys.get(digest(key).as_str())?;
        let live = !key.withdrawn && self.customers.contains_key(&key.customer);
        live.then(|| key.clone())
    }

    /// Whether the key with identifier `id` is known to be withdrawn.
    pub fn is_withdrawn(&self, id: &str) -> bool {
        self.withdrawn.contains(id)
    }

    /// The endpoints that serve `name` in `role`, leaving ones included.
    pub fn serving(&self, name: &str, role: Role) -> &[NamedEndpoint] {
        self.served.get(&role).and_then(|served| served.get(name)).map_or(&[], Vec::as_slice)
    }

    /// The most tokens of prompt and answer together that `model` takes, if it is served.
    pub fn context(&self, model: &str) -> Option<u32> {
        self.serving(model, Role::Decode).iter().map(|(_, endpoint)| endpoint.context).max()
    }
}

fn set<T: Clone>(map: &mut BTreeMap<Arc<str>, Arc<T>>, name: &Arc<str>, value: &Option<T>) {
    match value {
        Some(value) => map.insert(name.clone(), Arc::new(value.clone())),
        None => map.remove(name),
    };
}
