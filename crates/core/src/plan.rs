//! Plans: what an operator's intent would change, to be confirmed before anything does.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest as _, Sha256};

use crate::settings::{Customer, Endpoint, Key, Role, Row, Snapshot, WithdrawalPolicy};

/// Prefix of the rows that record confirmed plans.
pub const PREFIX: &str = "plan/";

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Creates a customer or changes its rate, burst or weight.
    PutCustomer {
        /// Name of the customer.
        name: Arc<str>,
        /// Tokens a second.
        rate: u64,
        /// Most tokens at once.
        burst: u64,
        /// Share on contended endpoints.
        weight: u32,
    },
    /// Removes a customer; its keys must be withdrawn first.
    RemoveCustomer {
        /// Name of the customer.
        name: Arc<str>,
    },
    /// Gives a key to a customer. Only the digest is sent.
    GiveKey {
        /// Public identifier of the key.
        id: Arc<str>,
        /// Digest of the key.
        digest: Arc<str>,
        /// The customer.
        customer: Arc<str>,
    },
    /// Withdraws a key for good.
    WithdrawKey {
        /// Public identifier of the key.
        id: Arc<str>,
        /// What becomes of answers already streaming.
        running: WithdrawalPolicy,
    },
    /// Creates or changes an endpoint.
    PutEndpoint {
        /// Name of the endpoint.
        name: Arc<str>,
        /// Its settings; `generation` is set by the plan.
        endpoint: Endpoint,
    },
    /// Removes an endpoint; it must be leaving already.
    RemoveEndpoint {
        /// Name of the endpoint.
        name: Arc<str>,
    },
    /// Lets no new work onto a host.
    DrainHost {
        /// Name of the endpoint host.
        host: Arc<str>,
    },
    /// Lets work onto a drained host again.
    ResumeHost {
        /// Name of the endpoint host.
        host: Arc<str>,
    },
    /// Orders an endpoint to load another model or change its role.
    Serve {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// The role it shall have.
        role: Role,
        /// The model it shall serve.
        serves: Arc<str>,
    },
}

/// One row that a plan changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Table key of the row.
    pub row: String,
    /// Value now; null if there is none.
    pub before: Option<serde_json::Value>,
    /// Value after; null if it is deleted.
    pub after: Option<serde_json::Value>,
}

/// What a plan touches, for the operator to judge it by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Impact {
    /// Endpoints whose work changes.
    pub endpoints: Vec<Arc<str>>,
    /// Customers whose share or keys change.
    pub customers: Vec<Arc<str>>,
    /// Requests running through the planning entry now that it touches.
    pub requests: usize,
    /// What an operator might overlook.
    pub warnings: Vec<String>,
}

/// An intent worked out against one version of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Random; asking for it tells whether a confirm took effect.
    pub id: String,
    /// Settings version it rests on; a confirm fails if that has moved.
    pub version: u64,
    /// What the operator wants.
    pub intent: Intent,
    /// What would change.
    pub changes: Vec<Change>,
    /// What that touches.
    pub touches: Impact,
}

/// Why there is no plan, or why it cannot be confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// Something the intent names does not exist.
    NotFound(&'static str, Arc<str>),
    /// The intent asks for something that makes no sense; says what.
    Invalid(String),
    /// Nothing would change.
    Unchanged,
    /// The settings have moved on since the plan was made.
    VersionConflict {
        /// Version the plan rests on.
        planned: u64,
        /// Version now.
        current: u64,
    },
    /// The digest sent with the confirm is not the plan's.
    DigestMismatch,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound(kind, name) => write!(f, "no {kind} named {name:?}"),
            Self::Invalid(why) => f.write_str(why),
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
    /// Works an intent out against `settings`; `running` tells how many requests a row's name
    /// touches now.
    pub fn build(
        id: String,
        settings: &Snapshot,
        intent: Intent,
        running: impl Fn(&Impact) -> usize,
    ) -> Result<Self, PlanError> {
        let (rows, mut touches) = work_out(settings, &intent)?;
        let changes: Vec<Change> =
            rows.iter().map(|row| change(settings, row)).filter(|c| c.before != c.after).collect();
        if changes.is_empty() {
            return Err(PlanError::Unchanged);
        }
        touches.requests = running(&touches);
        Ok(Self { id, version: settings.version, intent, changes, touches })
    }

    /// Digest that a confirm must carry.
    pub fn digest(&self) -> String {
        let text = json!([self.id, self.version, self.intent, self.changes]).to_string();
        Sha256::digest(text.as_bytes()).iter().take(8).map(|byte| format!("{byte:02x}")).collect()
    }

    /// Checks the plan against the settings in force, and returns the rows to write, the new
    /// version among them. Rows come from the intent, never from the plan as sent, so that an
    /// edited plan cannot smuggle a change in.
    pub fn confirm(&self, settings: &Snapshot, digest: &str) -> Result<Vec<Row>, PlanError> {
        if digest != self.digest() {
            return Err(PlanError::DigestMismatch);
        }
        if settings.version != self.version {
            return Err(PlanError::VersionConflict { planned: self.version, current: settings.version });
        }
        let again = Self::build(self.id.clone(), settings, self.intent.clone(), |_| 0)?;
        if again.digest() != digest {
            return Err(PlanError::DigestMismatch);
        }
        let (mut rows, _) = work_out(settings, &self.intent)?;
        rows.push(Row::Version(self.version + 1));
        Ok(rows)
    }

    /// Table key of the record that tells that the plan was confirmed.
    pub fn record_key(&self) -> String {
        format!("{PREFIX}{}", self.id)
    }
}

fn change(settings: &Snapshot, row: &Row) -> Change {
    let before = match row {
        Row::Version(_) => None,
        Row::Customer(name, _) => settings.customers.get(name).map(|value| json!(value)),
        Row::Key(digest, _) => settings.keys.get(digest).map(|value| json!(value)),
        Row::Endpoint(name, _) => settings.endpoints.get(name).map(|value| json!(value)),
    };
    Change { row: row.key(), before, after: row.value() }
}

fn work_out(settings: &Snapshot, intent: &Intent) -> Result<(Vec<Row>, Impact), PlanError> {
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

type Work = Result<(Vec<Row>, Impact), PlanError>;

fn check_name(kind: &str, name: &str) -> Result<(), PlanError> {
    let fits = (1..=64).contains(&name.len());
    let plain = name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    match fits && plain {
        true => Ok(()),
        false => Err(PlanError::Invalid(format!(
            "{kind} name {name:?}: 1 to 64 letters, digits, dots, hyphens and underscores"
        ))),
    }
}

fn put_customer(name: &Arc<str>, rate: u64, burst: u64, weight: u32) -> Work {
    check_name("customer", name)?;
    if rate == 0 || burst == 0 || weight == 0 {
        return Err(PlanError::Invalid("rate, burst and weight must be at least 1".into()));
    }
    let touches = Impact { customers: vec![name.clone()], ..Impact::default() };
    Ok((vec![Row::Customer(name.clone(), Some(Customer { rate, burst, weight }))], touches))
}

fn remove_customer(settings: &Snapshot, name: &Arc<str>) -> Work {
    if !settings.customers.contains_key(name) {
        return Err(PlanError::NotFound("customer", name.clone()));
    }
    let live = settings.keys.values().filter(|key| key.customer == *name && !key.withdrawn).count();
    if live > 0 {
        return Err(PlanError::Invalid(format!(
            "customer {name:?} still has {live} keys; withdraw them first"
        )));
    }
    let touches = Impact { customers: vec![name.clone()], ..Impact::default() };
    Ok((vec![Row::Customer(name.clone(), None)], touches))
}

fn give_key(settings: &Snapshot, id: &Arc<str>, digest: &Arc<str>, customer: &Arc<str>) -> Work {
    check_name("key", id)?;
    let hex = digest.len() == 64 && digest.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if !hex {
        return Err(PlanError::Invalid("digest must be 64 lower-case hex digits".into()));
    }
    if !settings.customers.contains_key(customer) {
        return Err(PlanError::NotFound("customer", customer.clone()));
    }
    let taken = settings.keys.values().any(|key| key.id == *id) || settings.keys.contains_key(digest);
    if taken {
        return Err(PlanError::Invalid(format!("key {id:?} or its digest exists already")));
    }
    let key = Key {
        id: id.clone(),
        customer: customer.clone(),
        withdrawn: false,
        running: WithdrawalPolicy::default(),
    };
    let touches = Impact { customers: vec![customer.clone()], ..Impact::default() };
    Ok((vec![Row::Key(digest.clone(), Some(key))], touches))
}

fn withdraw_key(settings: &Snapshot, id: &Arc<str>, running: WithdrawalPolicy) -> Work {
    let found = settings.keys.iter().find(|(_, key)| key.id == *id);
    let Some((digest, key)) = found else { return Err(PlanError::NotFound("key", id.clone())) };
    let mut touches = Impact { customers: vec![key.customer.clone()], ..Impact::default() };
    let others = settings.keys.values().filter(|other| other.customer == key.customer && other.id != *id);
    if others.filter(|other| !other.withdrawn).count() == 0 {
        touches.warnings.push(format!("customer {:?} has no other key", key.customer));
    }
    let key = Key { withdrawn: true, running, ..(**key).clone() };
    Ok((vec![Row::Key(digest.clone(), Some(key))], touches))
}

fn put_endpoint(settings: &Snapshot, name: &Arc<str>, endpoint: &Endpoint) -> Work {
    check_name("endpoint", name)?;
    let model = matches!(endpoint.role, Role::Prefill | Role::Decode);
    if model && endpoint.context == 0 {
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
    let ordered = old.is_some_and(|old| (old.role, &old.serves) != (endpoint.role, &endpoint.serves));
    let generation = match old {
        Some(old) if !ordered => old.generation,
        Some(_) | None => settings.version + 1,
    };
    let touches = Impact { endpoints: vec![name.clone()], ..Impact::default() };
    Ok((vec![Row::Endpoint(name.clone(), Some(Endpoint { generation, ..endpoint.clone() }))], touches))
}

fn remove_endpoint(settings: &Snapshot, name: &Arc<str>) -> Work {
    let Some(endpoint) = settings.endpoints.get(name) else {
        return Err(PlanError::NotFound("endpoint", name.clone()));
    };
    if !endpoint.leaving {
        return Err(PlanError::Invalid(format!("endpoint {name:?} still takes work; drain its host first")));
    }
    let touches = Impact { endpoints: vec![name.clone()], ..Impact::default() };
    Ok((vec![Row::Endpoint(name.clone(), None)], touches))
}

fn set_leaving(settings: &Snapshot, host: &Arc<str>, leaving: bool) -> Work {
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
    let mut touches =
        Impact { endpoints: on_host.iter().map(|(name, _)| (*name).clone()).collect(), ..Impact::default() };
    if leaving {
        touches.warnings = last_ones(settings, host);
    }
    Ok((rows, touches))
}

fn last_ones(settings: &Snapshot, host: &Arc<str>) -> Vec<String> {
    let on_host = settings.endpoints.values().filter(|endpoint| endpoint.host == *host);
    let alone = on_host.filter(|endpoint| {
        let others = settings.serving(&endpoint.serves, endpoint.role);
        others.iter().filter(|(_, other)| other.host != *host && !other.leaving).count() == 0
    });
    alone
        .map(|endpoint| format!("no other {} endpoint serves {:?}", endpoint.role, endpoint.serves))
        .collect()
}

fn serve(settings: &Snapshot, name: &Arc<str>, role: Role, serves: &Arc<str>) -> Work {
    let Some(endpoint) = settings.endpoints.get(name) else {
        return Err(PlanError::NotFound("endpoint", name.clone()));
    };
    let mut next = (**endpoint).clone();
    (next.role, next.serves) = (role, serves.clone());
    let (rows, mut touches) = put_endpoint(settings, name, &next)?;
    if !endpoint.checks_fencing {
        touches
            .warnings
            .push(format!("{name:?} ignores fencing numbers; its agent waits out earlier orders"));
    }
    Ok((rows, touches))
}
