//! Client of the operators' API on the admin address of an entry, and analysis of the daemons' logs.
//!
//! Settings are changed in two steps: [`Client::plan`] computes the changes and [`Client::confirm`] applies
//! them.
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
use tarragonhill_core::{
    gateway::state::explain::Explanation,
    plan::{Intent, Plan},
};
use tarragonhill_http::client::{Error, Pool, Request};

/// Timeout of a request. Longer than the entry's own timeout for the table.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;

/// Failure of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// The HTTP request failed.
    Http(Error),
    /// The entry refused the request.
    Refused {
        /// Stable refusal code.
        code: String,
        /// Human-readable reason.
        message: String,
    },
    /// The system's random number generator failed.
    Random,
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Http(error) => write!(f, "{error}"),
            Self::Refused { code, message } => write!(f, "{code}: {message}"),
            Self::Random => f.write_str("the system's random number generator failed"),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<Error> for OperatorError {
    fn from(error: Error) -> Self {
        Self::Http(error)
    }
}

/// A plan with its digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Planned {
    /// The plan, as the entry computed it.
    pub plan: Plan,
    /// Digest of the plan, which the entry verifies when the plan is confirmed.
    pub digest: String,
}

/// Client of the admin address of one entry or gateway.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    token: Option<String>,
    pool: Pool,
}

impl Client {
    /// Creates a client. `token` is needed if the entry requires an operator token.
    pub fn new(address: SocketAddr, token: Option<String>) -> Self {
        Self { address, token, pool: Pool::default() }
    }

    async fn send(&self, request: Request) -> Result<Value, OperatorError> {
        let request = match &self.token {
            Some(token) => request.header("authorization", format!("Bearer {token}")),
            None => request,
        };
        let response = self.pool.send(self.address, request, TIMEOUT).await?;
        let status = response.status();
        let body: Value = response.json().await?;
        if status == 200 {
            return Ok(body);
        }
        let text = |field: &str| body["error"][field].as_str().unwrap_or_default().to_owned();
        Err(OperatorError::Refused { code: text("code"), message: text("message") })
    }

    /// Computes the changes that an intent makes, without applying them.
    pub async fn plan(&self, intent: &Intent) -> Result<Planned, OperatorError> {
        let body = self.send(Request::post("/plan", intent)).await?;
        serde_json::from_value(body).map_err(|error| Error::Unexpected(error.to_string()).into())
    }

    /// Applies a plan; returns the resulting settings version.
    pub async fn confirm(&self, planned: &Planned) -> Result<u64, OperatorError> {
        let body = self.send(Request::post("/confirm", planned)).await?;
        Ok(body["version"].as_u64().unwrap_or(0))
    }

    /// Returns the outcome of a plan whose confirmation got no response. An unconfirmed plan is invalidated.
    pub async fn resolve(&self, plan: &str) -> Result<Value, OperatorError> {
        self.send(Request::get(format!("/plans/{plan}"))).await
    }

    /// Returns the settings in force at the entry.
    pub async fn settings(&self) -> Result<Value, OperatorError> {
        self.send(Request::get("/settings")).await
    }

    /// Explains where a request would go now at a gateway. The parameters are those of its `/explain`.
    pub async fn explain<'a>(
        &self,
        parameters: impl IntoIterator<Item = (&'a str, String)>,
    ) -> Result<Explanation, OperatorError> {
        let body = self.send(Request::get_with("/explain", parameters)).await?;
        serde_json::from_value(body).map_err(|error| Error::Unexpected(error.to_string()).into())
    }

    /// Returns the internal state of the daemon.
    pub async fn dump(&self) -> Result<Value, OperatorError> {
        self.send(Request::get("/dump")).await
    }
}

/// Returns a new random key. Only its digest is sent to an entry.
pub fn new_key() -> Result<String, OperatorError> {
    let mut bytes = [0; KEY_BYTES];
    getrandom::fill(&mut bytes).map_err(|_| OperatorError::Random)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
