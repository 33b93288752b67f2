//! Settings that operators change at run time: customers, keys and endpoints.
//!
//! They are stored as rows in the platform's table. Each process keeps a [`Snapshot`], whose version
//! never decreases. The rows of one version are applied together.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest as _, Sha256};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Key prefix of all settings rows.
pub const PREFIX: &str = "settings/";
/// Key of the row with the current version. Every change checks and increments it in the same
/// transaction.
pub const VERSION_ROW: &str = "settings/version";

/// Limits of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Tokens per second over the whole fleet.
    pub rate: u64,
    /// Maximum number of tokens spent at once; at least one.
    pub burst: u64,
    /// Share of contended endpoints relative to other customers; at least one.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// An API key. It is stored under its digest; the key itself is not stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public identifier, safe to log and to send to agents.
    pub id: Arc<str>,
    /// Customer that the key belongs to.
    pub customer: Arc<str>,
    /// Whether the key is withdrawn; never reset to false.
    #[serde(default)]
    pub withdrawn: bool,
    /// What happens to answers that are streaming when the key is withdrawn.
    #[serde(default)]
    pub running: WithdrawalPolicy,
}

/// What happens to a running decode when its key is withdrawn.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WithdrawalPolicy {
    /// The decode is stopped.
    #[default]
    Cut,
    /// The decode may finish, since the expensive part of the work is already done.
    Finish,
}

/// Role of an endpoint.
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
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens from a KV cache.
    Decode,
    /// Serves plain HTTP requests.
    Plain,
}

/// An endpoint behind the router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Role of the endpoint.
    pub role: Role,
    /// Name of the model or service that it serves.
    pub serves: Arc<str>,
    /// Host that it runs on.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Address of the endpoint, `ip:port`.
    pub address: Arc<str>,
    /// Address of the agent in front of the endpoint, `ip:port`.
    pub agent: Arc<str>,
    /// KV cache size in pieces of [`PIECE_TOKENS`]; decode endpoints only.
    #[serde(default)]
    pub pieces: u32,
    /// Maximum number of prompt and answer tokens together; model endpoints only.
    #[serde(default)]
    pub context: u32,
    /// Whether the endpoint rejects orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the endpoint takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Settings version of the last change to `role` or `serves`, used as fencing number of orders.
    #[serde(default)]
    pub generation: u64,
}

/// Tokens in one piece, the unit in which engines account for KV cache.
pub const PIECE_TOKENS: u32 = 4_000;

/// Returns the pieces needed for `tokens` tokens of context.
pub fn pieces(tokens: u32) -> u32 {
    tokens.div_ceil(PIECE_TOKENS).max(1)
}

/// Returns the digest under which a key is stored, as lower-case hex SHA-256. Keys are long random
/// strings, so no salt is needed.
pub fn digest(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A settings row. The value is `None` if the row is deleted.
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
    /// Returns the table key of the row.
    pub fn key(&self) -> String {
        match self {
            Self::Version(_) => VERSION_ROW.to_owned(),
            Self::Customer(name, _) => format!("{PREFIX}customer/{name}"),
            Self::Key(digest, _) => format!("{PREFIX}key/{digest}"),
            Self::Endpoint(name, _) => format!("{PREFIX}endpoint/{name}"),
        }
    }

    /// Returns the value to store, or `None` to delete the row.
    pub fn value(&self) -> Option<serde_json::Value> {
        match self {
            Self::Version(version) => Some(json!(version)),
            Self::Customer(_, value) => value.as_ref().map(|value| json!(value)),
            Self::Key(_, value) => value.as_ref().map(|value| json!(value)),
            Self::Endpoint(_, value) => value.as_ref().map(|value| json!(value)),
        }
    }

    /// Parses a row from the table. The value of a deleted row is `None`.
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
            "customer" => Ok(Self::Customer(name, parse_value(key, value)?)),
            "key" => Ok(Self::Key(name, parse_value(key, value)?)),
            "endpoint" => Ok(Self::Endpoint(name, parse_value(key, value)?)),
            _ => Err(unknown()),
        }
    }
}

fn parse_value<T: serde::de::DeserializeOwned>(
    key: &str,
    value: Option<&serde_json::Value>,
) -> Result<Option<T>, RowError> {
    value
        .map(|value| {
            T::deserialize(value).map_err(|error| RowError::BadValue(key.to_owned(), error.to_string()))
        })
        .transpose()
}

/// Error from parsing a settings row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowError {
    /// The table key does not belong to a known kind of row.
    UnknownRow(String),
    /// The value of the row with this key is invalid, for the given reason.
    BadValue(String, String),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownRow(key) => write!(f, "unknown settings row {key:?}"),
            Self::BadValue(key, reason) => write!(f, "settings row {key:?}: {reason}"),
        }
    }
}

impl std::error::Error for RowError {}

/// An endpoint with its name.
pub type NamedEndpoint = (Arc<str>, Arc<Endpoint>);

/// All settings at one version.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Settings version; zero before the first read.
    pub version: u64,
    /// Customers by name.
    pub customers: BTreeMap<Arc<str>, Arc<Customer>>,
    /// Keys by digest.
    pub keys: BTreeMap<Arc<str>, Arc<Key>>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<Arc<str>, Arc<Endpoint>>,
    /// Endpoints by role and by what they serve, sorted by name. Derived from `endpoints`.
    served: BTreeMap<Role, BTreeMap<Arc<str>, Vec<NamedEndpoint>>>,
    /// Identifiers of withdrawn keys. Derived from `keys`.
    withdrawn: BTreeSet<Arc<str>>,
}

impl Snapshot {
    /// Returns the snapshot with `rows` applied at `version`, or `None` if `version` is older.
    ///
    /// Rejecting older versions keeps a slow or reordered table read from restoring a withdrawn key.
    pub fn apply(&self, version: u64, rows: &[Row]) -> Option<Self> {
        if version < self.version {
            return None;
        }
        let mut next = self.clone();
        next.version = version;
        for row in rows {
            next.apply_row(row);
        }
        Some(next)
    }

    fn apply_row(&mut self, row: &Row) {
        match row {
            Row::Version(_) => {}
            Row::Customer(name, value) => set_or_remove(&mut self.customers, name, value),
            Row::Key(digest, value) => {
                if let Some(key) = value.as_ref().filter(|key| key.withdrawn) {
                    self.withdrawn.insert(key.id.clone());
                }
                set_or_remove(&mut self.keys, digest, value);
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
        set_or_remove(&mut self.endpoints, name, value);
        let Some(endpoint) = self.endpoints.get(name) else { return };
        let list = self.served.entry(endpoint.role).or_default().entry(endpoint.serves.clone()).or_default();
        let index = list.partition_point(|(other, _)| other < name);
        list.insert(index, (name.clone(), endpoint.clone()));
    }

    /// Returns the record of an API key, unless it is unknown or withdrawn or its customer is removed.
    pub fn authenticate(&self, key: &str) -> Option<Arc<Key>> {
        let key = self.keys.get(digest(key).as_str())?;
        let is_active = !key.withdrawn && self.customers.contains_key(&key.customer);
        is_active.then(|| key.clone())
    }

    /// Returns whether the key with identifier `id` is withdrawn.
    pub fn is_withdrawn(&self, id: &str) -> bool {
        self.withdrawn.contains(id)
    }

    /// Returns the endpoints that serve `name` in `role`, including draining ones.
    pub fn serving(&self, name: &str, role: Role) -> &[NamedEndpoint] {
        self.served.get(&role).and_then(|served| served.get(name)).map_or(&[], Vec::as_slice)
    }

    /// Returns the maximum number of prompt and answer tokens together for `model`, if it is served.
    pub fn context(&self, model: &str) -> Option<u32> {
        self.serving(model, Role::Decode).iter().map(|(_, endpoint)| endpoint.context).max()
    }
}

fn set_or_remove<T: Clone>(map: &mut BTreeMap<Arc<str>, Arc<T>>, name: &Arc<str>, value: &Option<T>) {
    match value {
        Some(value) => map.insert(name.clone(), Arc::new(value.clone())),
        None => map.remove(name),
    };
}
