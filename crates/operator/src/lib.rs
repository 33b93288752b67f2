//! Client of the operators' API: plan, confirm, resolve, show, dump.
//!
//! ```no_run
//! use tarragonhill_core::plan::Intent;
//! use tarragonhill_operator::Client;
//!
//! # async fn example() -> Result<(), tarragonhill_operator::OperatorError> {
//! let client = Client::new("127.0.0.1:7001".parse().unwrap(), None);
//! let planned = client.plan(&Intent::DrainHost { host: "host-7".into() }).await?;
//! println!("{} changes", planned.plan.changes.len());
//! client.confirm(&planned).await?;
//! # Ok(())
//! # }
//! ```

pub mod log;

use std::{fmt, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tarragonhill_core::plan::{Intent, Plan};
use tarragonhill_http::client::{Error, Pool, Request};

/// Longest wait for an entry's answer; above the entry's own wait for the table.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Random bytes of a key.
const KEY_BYTES: usize = 32;

/// Why an operator's request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// The entry could not be asked.
    Http(Error),
    /// The entry refused; code and message are its own.
    Refused {
        /// Stable code.
        code: String,
        /// For people.
        message: String,
    },
    /// No randomness for a key.
    Random,
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Http(error) => write!(f, "{error}"),
            Self::Refused { code, message } => write!(f, "{code}: {message}"),
            Self::Random => f.write_str("the system gives no random numbers"),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<Error> for OperatorError {
    fn from(error: Error) -> Self {
        Self::Http(error)
    }
}

/// A plan with the digest that confirms it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Planned {
    /// What the entry worked out.
    pub plan: Plan,
    /// To be sent with the confirm.
    pub digest: String,
}

/// Talks to the admin address of one entry.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    token: Option<String>,
    pool: Pool,
}

impl Client {
    /// A client of the admin address given.
    pub fn new(address: SocketAddr, token: Option<String>) -> Self {
        Self { address, token, pool: Pool::default() }
    }

    async fn ask(&self, call: Request) -> Result<Value, OperatorError> {
        let call = match &self.token {
            Some(token) => call.header("authorization", format!("Bearer {token}")),
            None => call,
        };
        let answer = self.pool.send(self.address, call, TIMEOUT).await?;
        let status = answer.status();
        let body: Value = answer.json().await?;
        if status == 200 {
            return Ok(body);
        }
        let text = |field: &str| body["error"][field].as_str().unwrap_or_default().to_owned();
        Err(OperatorError::Refused { code: text("code"), message: text("message") })
    }

    /// Works an intent out; nothing changes.
    pub async fn plan(&self, intent: &Intent) -> Result<Planned, OperatorError> {
        let body = self.ask(Request::post("/plan", intent)).await?;
        serde_json::from_value(body).map_err(|error| Error::Unexpected(error.to_string()).into())
    }

    /// Puts a plan in force; the settings version it made.
    pub async fn confirm(&self, planned: &Planned) -> Result<u64, OperatorError> {
        let body = self.ask(Request::post("/confirm", planned)).await?;
        Ok(body["version"].as_u64().unwrap_or(0))
    }

    /// Tells what became of a plan whose confirm had no answer.
    pub async fn resolve(&self, plan: &str) -> Result<Value, OperatorError> {
        self.ask(Request::get(format!("/plans/{plan}"))).await
    }

    /// The settings in force at the entry.
    pub async fn settings(&self) -> Result<Value, OperatorError> {
        self.ask(Request::get("/settings")).await
    }

    /// The state of a daemon.
    pub async fn dump(&self) -> Result<Value, OperatorError> {
        self.ask(Request::get("/dump")).await
    }
}

/// A new random key; only its digest ever leaves the operator's machine.
pub fn new_key() -> Result<String, OperatorError> {
    let mut bytes = [0; KEY_BYTES];
    getrandom::fill(&mut bytes).map_err(|_| OperatorError::Random)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
