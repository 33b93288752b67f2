//! Plans: an operator's intended change to the settings, computed first and applied on confirmation.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest as _, Sha256};

use crate::settings::{Customer, Endpoint, Key, Role, Row, Snapshot, WithdrawalPolicy};

/// Key prefix of the rows that record confirmed plans.
pub const PREFIX: &str = "plan/";

/// Change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Creates a customer or changes its rate, burst or weight.
    PutCustomer {
        /// Name of the customer.
        name: Arc<str>,
        /// Tokens per second.
        rate: u64,
        /// Maximum number of tokens spent at once.
        burst: u64,
        /// Relative share of contended endpoints.
        weight: u32,
    },
    /// Removes a customer. Its keys must be withdrawn first.
    RemoveCustomer {
        /// Name of the customer.
        name: Arc<str>,
    },
    /// Adds a key to a customer. Only the digest of the key is sent.
    GiveKey {
        /// Public identifier of the key.
        id: Arc<str>,
        /// Digest of the key, see [`digest`](crate::settings::digest).
        digest: Arc<str>,
        /// Customer that the key belongs to.
        customer: Arc<str>,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Public identifier of the key.
        id: Arc<str>,
        /// What happens to answers that are already streaming.
        running: WithdrawalPolicy,
    },
    /// Creates or changes an endpoint.
    PutEndpoint {
        /// Name of the endpoint.
        name: Arc<str>,
        /// Endpoint settings; `generation` is overwritten by the plan.
        endpoint: Endpoint,
    },
    /// Removes an endpoint. Its host must be drained first.
    RemoveEndpoint {
        /// Name of the endpoint.
        name: Arc<str>,
    },
    /// Stops sending new work to a host.
    DrainHost {
        /// Name of the endpoint host.
        host: Arc<str>,
    },
    /// Resumes sending work to a drained host.
    ResumeHost {
        /// Name of the endpoint host.
        host: Arc<str>,
    },
    /// Changes the model or role of an endpoint.
    Serve {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// New role.
        role: Role,
        /// New model.
        serves: Arc<str>,
    },
}

/// Change of one settings row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Table key of the row.
    pub row: String,
    /// Current value; null if the row does not exist.
    pub before: Option<serde_json::Value>,
    /// New value; null if the row is deleted.
    pub after: Option<serde_json::Value>,
}

/// Impact of a plan, shown to the operator before confirmation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Impact {
    /// Affected endpoints.
    pub endpoints: Vec<Arc<str>>,
    /// Affected customers.
    pub customers: Vec<Arc<str>>,
    /// Requests in flight at the planning entry.
    pub requests: usize,
    /// Side effects that an operator may overlook.
    pub warnings: Vec<String>,
}

/// Changes computed from an intent against one version of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Random identifier, which can be looked up to find out whether the plan was applied.
    pub id: String,
    /// Settings version that the plan is based on. Confirming fails at any other version.
    pub version: u64,
    /// Intent that the plan implements.
    pub intent: Intent,
    /// Rows that would change.
    pub changes: Vec<Change>,
    /// Impact of the changes.
    pub touches: Impact,
}

/// Error from building or confirming a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// An object of the given kind and name does not exist.
    NotFound(&'static str, Arc<str>),
    /// The intent is invalid for the given reason.
    Invalid(String),
    /// The settings already match the intent.
    Unchanged,
    /// The settings have changed since the plan was built.
    VersionConflict {
        /// Version that the plan is based on.
        planned: u64,
        /// Current version.
        current: u64,
    },
    /// The digest sent for confirmation is not that of the plan.
    DigestMismatch,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound(kind, name) => write!(f, "no {kind} named {name:?}"),
            Self::Invalid(reason) => f.write_str(reason),
            Self::Unchanged => f.write_str("nothing would change"),
            Self::VersionConflict { planned, current } => write!(
                f,
                "the plan rests on settings version {planned}, but version {current} is in force; \
                 nothing was changed, plan again"
            ),
            Self::DigestMismatch => f.write_str("the digest does not match the plan; nothing was changed"),
        }
    }
}

impl std::error::Error for PlanError {}

impl Plan {
    /// Builds a plan against `settings`. `count_requests` returns the number of requests in flight
    /// that are affected.
    pub fn build(
        id: String,
        settings: &Snapshot,
        intent: Intent,
        count_requests: impl Fn(&Impact) -> usize,
    ) -> Result<Self, PlanError> {
        let (rows, mut touches) = resolve(settings, &intent)?;
        let changes: Vec<Change> =
            rows.iter().map(|row| build_change(settings, row)).filter(|c| c.before != c.after).collect();
        if changes.is_empty() {
            return Err(PlanError::Unchanged);
        }
        touches.requests = count_requests(&touches);
        Ok(Self { id, version: settings.version, intent, changes, touches })
    }

    /// Returns the digest that must be sent to confirm the plan.
    pub fn digest(&self) -> String {
        let text = json!([self.id, self.version, self.intent, self.changes]).to_string();
        Sha256::digest(text.as_bytes()).iter().take(8).map(|byte| format!("{byte:02x}")).collect()
    }

    /// Checks the plan against the current settings and returns the rows to write, including the new
    /// version. The rows are computed from the intent again, so that an edited plan cannot add any.
    pub fn confirm(&self, settings: &Snapshot, digest: &str) -> Result<Vec<Row>, PlanError> {
        if digest != self.digest() {
            return Err(PlanError::DigestMismatch);
        }
        if settings.version != self.version {
            return Err(PlanError::VersionConflict { planned: self.version, current: settings.version });
        }
        let rebuilt = Self::build(self.id.clone(), settings, self.intent.clone(), |_| 0)?;
        if rebuilt.digest() != digest {
            return Err(PlanError::DigestMismatch);
        }
        let (mut rows, _) = resolve(settings, &self.intent)?;
        rows.push(Row::Version(self.version + 1));
        Ok(rows)
    }

    /// Returns the table key of the record that is written when the plan is confirmed.
    pub fn record_key(&self) -> String {
        format!("{PREFIX}{}", self.id)
    }
}

fn build_change(settings: &Snapshot, row: &Row) -> Change {
    let before = match row {
        Row::Version(_) => None,
        Row::Customer(name, _) => settings.customers.get(name).map(|value| json!(value)),
        Row::Key(digest, _) => settings.keys.get(digest).map(|value| json!(value)),
        Row::Endpoint(name, _) => settings.endpoints.get(name).map(|value| json!(value)),
    };
    Change { row: row.key(), before, after: row.value() }
}

fn resolve(settings: &Snapshot, intent: &Intent) -> Result<(Vec<Row>, Impact), PlanError> {
    match intent {
        Intent::PutCustomer { name, rate, burst, weight } => put_customer(name, *rate, *burst, *weight),
        Intent::RemoveCustomer { name } => remove_customer(settings, name),
        Intent::GiveKey { id, digest, customer } => give_key(settings, id, digest, customer),
        Intent::WithdrawKey { id, running } => withdraw_key(settings, id, *running),
        Intent::PutEndpoint { name, endpoint } => put_endpoint(settings, name, endpoint),
        Intent::RemoveEndpoint { name } => remove_endpoint(settings, name),
        Intent::DrainHost { host } => set_leaving(settings, host, true),
        Intent::ResumeHost { host } => set_leaving(settings, host, false),
        Intent::Serve { endpoint, role, serves } => serve(settings, endpoint, *role, serves),
    }
}

/// Rows to write for an intent, and their impact.
type Resolved = Result<(Vec<Row>, Impact), PlanError>;

fn check_name(kind: &str, name: &str) -> Result<(), PlanError> {
    let is_valid_length = (1..=64).contains(&name.len());
    let has_valid_chars = name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    match is_valid_length && has_valid_chars {
        true => Ok(()),
        false => Err(PlanError::Invalid(format!(
            "{kind} name {name:?}: 1 to 64 letters, digits, dots, hyphens and underscores"
        ))),
    }
}

fn put_customer(name: &Arc<str>, rate: u64, burst: u64, weight: u32) -> Resolved {
    check_name("customer", name)?;
    if rate == 0 || burst == 0 || weight == 0 {
        return Err(PlanError::Invalid("rate, burst and weight must be at least 1".into()));
    }
    let impact = Impact { customers: vec![name.clone()], ..Impact::default() };
    Ok((vec![Row::Customer(name.clone(), Some(Customer { rate, burst, weight }))], impact))
}

fn remove_customer(settings: &Snapshot, name: &Arc<str>) -> Resolved {
    if !settings.customers.contains_key(name) {
        return Err(PlanError::NotFound("customer", name.clone()));
    }
    let active = settings.keys.values().filter(|key| key.customer == *name && !key.withdrawn).count();
    if active > 0 {
        return Err(PlanError::Invalid(format!(
            "customer {name:?} still has {active} keys; withdraw them first"
        )));
    }
    let impact = Impact { customers: vec![name.clone()], ..Impact::default() };
    Ok((vec![Row::Customer(name.clone(), None)], impact))
}

fn give_key(settings: &Snapshot, id: &Arc<str>, digest: &Arc<str>, customer: &Arc<str>) -> Resolved {
    check_name("key", id)?;
    let is_hex = digest.len() == 64 && digest.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if !is_hex {
        return Err(PlanError::Invalid("digest must be 64 lower-case hex digits".into()));
    }
    if !settings.customers.contains_key(customer) {
        return Err(PlanError::NotFound("customer", customer.clone()));
    }
    let exists = settings.keys.values().any(|key| key.id == *id) || settings.keys.contains_key(digest);
    if exists {
        return Err(PlanError::Invalid(format!("key {id:?} or its digest exists already")));
    }
    let key = Key {
        id: id.clone(),
        customer: customer.clone(),
        withdrawn: false,
        running: WithdrawalPolicy::default(),
    };
    let impact = Impact { customers: vec![customer.clone()], ..Impact::default() };
    Ok((vec![Row::Key(digest.clone(), Some(key))], impact))
}

fn withdraw_key(settings: &Snapshot, id: &Arc<str>, running: WithdrawalPolicy) -> Resolved {
    let found = settings.keys.iter().find(|(_, key)| key.id == *id);
    let Some((digest, key)) = found else { return Err(PlanError::NotFound("key", id.clone())) };
    let mut impact = Impact { customers: vec![key.customer.clone()], ..Impact::default() };
    let others = settings.keys.values().filter(|other| other.customer == key.customer && other.id != *id);
    if others.filter(|other| !other.withdrawn).count() == 0 {
        impact.warnings.push(format!("customer {:?} has no other key", key.customer));
    }
    let key = Key { withdrawn: true, running, ..(**key).clone() };
    Ok((vec![Row::Key(digest.clone(), Some(key))], impact))
}

fn put_endpoint(settings: &Snapshot, name: &Arc<str>, endpoint: &Endpoint) -> Resolved {
    check_name("endpoint", name)?;
    let is_model = matches!(endpoint.role, Role::Prefill | Role::Decode);
    if is_model && endpoint.context == 0 {
        return Err(PlanError::Invalid("context must be at least 1 for a model endpoint".into()));
    }
    if endpoint.role == Role::Decode && endpoint.pieces == 0 {
        return Err(PlanError::Invalid("pieces must be at least 1 for a decode endpoint".into()));
    }
    for (field, text) in [("address", &endpoint.address), ("agent", &endpoint.agent)] {
        if text.parse::<std::net::SocketAddr>().is_err() {
            return Err(PlanError::Invalid(format!("{field} {text:?} is not an ip:port")));
        }
    }
    let old = settings.endpoints.get(name);
    let is_reassigned = old.is_some_and(|old| (old.role, &old.serves) != (endpoint.role, &endpoint.serves));
    let generation = match old {
        Some(old) if !is_reassigned => old.generation,
        Some(_) | None => settings.version + 1,
    };
    let impact = Impact { endpoints: vec![name.clone()], ..Impact::default() };
    Ok((vec![Row::Endpoint(name.clone(), Some(Endpoint { generation, ..endpoint.clone() }))], impact))
}

fn remove_endpoint(settings: &Snapshot, name: &Arc<str>) -> Resolved {
    let Some(endpoint) = settings.endpoints.get(name) else {
        return Err(PlanError::NotFound("endpoint", name.clone()));
    };
    if !endpoint.leaving {
        return Err(PlanError::Invalid(format!("endpoint {name:?} still takes work; drain its host first")));
    }
    let impact = Impact { endpoints: vec![name.clone()], ..Impact::default() };
    Ok((vec![Row::Endpoint(name.clone(), None)], impact))
}

fn set_leaving(settings: &Snapshot, host: &Arc<str>, leaving: bool) -> Resolved {
    let on_host: Vec<_> = settings.endpoints.iter().filter(|(_, endpoint)| endpoint.host == *host).collect();
    if on_host.is_empty() {
        return Err(PlanError::NotFound("endpoint host", host.clone()));
    }
    let rows = on_host
        .iter()
        .map(|(name, endpoint)| {
            Row::Endpoint((*name).clone(), Some(Endpoint { leaving, ..(***endpoint).clone() }))
        })
        .collect();
    let mut impact =
        Impact { endpoints: on_host.iter().map(|(name, _)| (*name).clone()).collect(), ..Impact::default() };
    if leaving {
        impact.warnings = sole_server_warnings(settings, host);
    }
    Ok((rows, impact))
}

fn sole_server_warnings(settings: &Snapshot, host: &Arc<str>) -> Vec<String> {
    let on_host = settings.endpoints.values().filter(|endpoint| endpoint.host == *host);
    let sole = on_host.filter(|endpoint| {
        let others = settings.serving(&endpoint.serves, endpoint.role);
        others.iter().filter(|(_, other)| other.host != *host && !other.leaving).count() == 0
    });
    sole.map(|endpoint| format!("no other {} endpoint serves {:?}", endpoint.role, endpoint.serves)).collect()
}

fn serve(settings: &Snapshot, name: &Arc<str>, role: Role, serves: &Arc<str>) -> Resolved {
    let Some(endpoint) = settings.endpoints.get(name) else {
        return Err(PlanError::NotFound("endpoint", name.clone()));
    };
    let mut next = (**endpoint).clone();
    (next.role, next.serves) = (role, serves.clone());
    let (rows, mut impact) = put_endpoint(settings, name, &next)?;
    if !endpoint.checks_fencing {
        impact.warnings.push(format!("{name:?} ignores fencing numbers; its agent waits out earlier orders"));
    }
    Ok((rows, impact))
}
