//! The [`Engine`] trait and its implementation over HTTP.

use std::{fmt, future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use async_std::future::timeout;
use tarragonhill_core::{
    agent::{Call, Outcome},
    message::{FailureCause, Work},
    settings::Endpoint,
};
use tarragonhill_http::client::{self, Pool};

use crate::protocol::{Decode, Line, Prefill, Prefilled, Serve};

/// Timeout of a prefill or a plain call.
const WORK_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of the import of a KV cache.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time between two tokens. Detects connections that stay open but no longer deliver data.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a cancellation or a serve order, and of the end of a token stream.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of attempts to cancel work.
const CANCEL_ATTEMPTS: u32 = 3;

/// Failure of a serve order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// The engine has received an order with a higher fencing number.
    Fenced,
    /// The engine could not be reached, or returned an error.
    Failed(String),
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced => f.write_str("engine has received a newer order"),
            Self::Failed(reason) => write!(f, "request failed: {reason}"),
        }
    }
}

impl std::error::Error for EngineError {}

/// Receiver of generated tokens.
pub trait Sink: Send + Sync {
    /// Accepts the token at `index`; completes when the sink can accept the next one.
    fn token(&self, index: u32, text: Arc<str>) -> Pin<Box<dyn Future<Output = ()> + Send + '_>>;
}

/// Future returned by [`Engine`].
pub type EngineFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// An engine or plain service.
pub trait Engine: Send + Sync {
    /// Runs a prefill.
    fn prefill<'a>(&'a self, work: &'a Work, prompt: Arc<str>) -> EngineFuture<'a, Outcome>;

    /// Imports the KV cache `kv` from the engine at `source` and streams tokens into `sink`, starting at
    /// `from_index`.
    fn decode<'a>(
        &'a self,
        work: &'a Work,
        source: Arc<str>,
        kv: Arc<str>,
        from_index: u32,
        sink: &'a dyn Sink,
    ) -> EngineFuture<'a, Outcome>;

    /// Calls a plain service. Implementations must not retry.
    fn call<'a>(&'a self, work: &'a Work, call: &'a Call) -> EngineFuture<'a, Outcome>;

    /// Cancels work by its identifier and frees its memory. Completes when the engine has confirmed it, or
    /// after a limited number of attempts.
    fn cancel<'a>(&'a self, id: &'a str) -> EngineFuture<'a, ()>;

    /// Orders the engine to change its role or model.
    fn serve<'a>(&'a self, endpoint: &'a Endpoint) -> EngineFuture<'a, Result<(), EngineError>>;
}

/// Client for the HTTP protocol of `docs/protocol-engine.md`.
#[derive(Debug)]
pub struct HttpEngine {
    address: SocketAddr,
    pool: Pool,
}

impl HttpEngine {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: Pool::default() }
    }

    async fn run_prefill(&self, work: &Work, prompt: Arc<str>) -> Outcome {
        let body = Prefill { id: work.attempt.to_string(), prompt, prompt_tokens: work.prompt_tokens };
        let request = client::Request::post("/prefill", &body).allow_reuse();
        let response = match self.pool.send(self.address, request, WORK_TIMEOUT).await {
            Ok(response) if response.status() == 200 => response.json::<Prefilled>().await,
            Ok(_) => return Outcome::Failed(FailureCause::Failed),
            Err(error) => Err(error),
        };
        match response {
            Ok(prefilled) => Outcome::Prefilled {
                source: self.address.to_string().into(),
                kv: prefilled.kv,
                ttl: Duration::from_millis(prefilled.lives_ms),
            },
            Err(error) => Outcome::Failed(failure_cause(&error)),
        }
    }

    async fn run_decode(&self, body: &Decode, sink: &dyn Sink) -> Result<Outcome, client::Error> {
        let request = client::Request::post("/decode", body).allow_reuse();
        let mut response = self.pool.send(self.address, request, IMPORT_TIMEOUT).await?;
        if response.status() != 200 {
            return Ok(Outcome::Failed(FailureCause::Failed));
        }
        let mut limit = IMPORT_TIMEOUT;
        loop {
            let line = timeout(limit, response.line()).await.unwrap_or(Err(client::Error::Timeout))?;
            let Some(line) = line else {
                return Ok(Outcome::Failed(FailureCause::Crashed));
            };
            let line =
                serde_json::from_str(&line).map_err(|error| client::Error::Unexpected(error.to_string()))?;
            match line {
                Line::Imported => limit = TOKEN_TIMEOUT,
                Line::Evicted => return Ok(Outcome::Failed(FailureCause::Evicted)),
                Line::Full => return Ok(Outcome::Failed(FailureCause::Failed)),
                Line::Token { index, text } => sink.token(index, text).await,
                Line::End { total } => {
                    if timeout(CONTROL_TIMEOUT, response.line()).await == Ok(Ok(None)) {
                        response.release();
                    }
                    return Ok(Outcome::Decoded { total });
                }
            }
        }
    }

    async fn run_call(&self, work: &Work, call: &Call) -> Outcome {
        let Some(mut request) = client::Request::raw(&call.method, &*call.path, call.body.clone()) else {
            return Outcome::Failed(FailureCause::Failed);
        };
        request = request.header("x-request-id", work.attempt.request.to_string());
        request = request.header("x-customer", &*work.customer);
        if call.idempotency_key.is_empty() {
            request = request.allow_reuse();
        } else {
            request = request.header("idempotency-key", &*call.idempotency_key);
        }
        let response = match self.pool.send(self.address, request, WORK_TIMEOUT).await {
            Ok(response) => response,
            Err(error) => return Outcome::Failed(failure_cause(&error)),
        };
        let status = response.status();
        match response.bytes().await {
            Ok(body) => Outcome::Answered { status, body },
            Err(error) => Outcome::Failed(failure_cause(&error)),
        }
    }
}

fn failure_cause(error: &client::Error) -> FailureCause {
    match error {
        client::Error::Connect(_) | client::Error::Connection(_) => FailureCause::Crashed,
        client::Error::Timeout => FailureCause::Stalled,
        client::Error::Path(_) | client::Error::Unexpected(_) => FailureCause::Failed,
    }
}

impl Engine for HttpEngine {
    fn prefill<'a>(&'a self, work: &'a Work, prompt: Arc<str>) -> EngineFuture<'a, Outcome> {
        Box::pin(self.run_prefill(work, prompt))
    }

    fn decode<'a>(
        &'a self,
        work: &'a Work,
        source: Arc<str>,
        kv: Arc<str>,
        from_index: u32,
        sink: &'a dyn Sink,
    ) -> EngineFuture<'a, Outcome> {
        let body = Decode {
            id: work.attempt.to_string(),
            source,
            kv,
            max_tokens: work.max_tokens,
            from_index,
            prompt_tokens: work.prompt_tokens,
        };
        Box::pin(async move {
            match self.run_decode(&body, sink).await {
                Ok(outcome) => outcome,
                Err(error) => Outcome::Failed(failure_cause(&error)),
            }
        })
    }

    fn call<'a>(&'a self, work: &'a Work, call: &'a Call) -> EngineFuture<'a, Outcome> {
        Box::pin(self.run_call(work, call))
    }

    fn cancel<'a>(&'a self, id: &'a str) -> EngineFuture<'a, ()> {
        Box::pin(async move {
            for _ in 0..CANCEL_ATTEMPTS {
                let request = client::Request::delete(format!("/work/{id}"));
                if let Ok(response) = self.pool.send(self.address, request, CONTROL_TIMEOUT).await {
                    response.release();
                    return;
                }
            }
        })
    }

    fn serve<'a>(&'a self, endpoint: &'a Endpoint) -> EngineFuture<'a, Result<(), EngineError>> {
        let order = Serve {
            role: endpoint.role.to_string(),
            serves: endpoint.serves.clone(),
            fence: endpoint.generation,
        };
        Box::pin(async move {
            let request = client::Request::post("/serve", &order).allow_reuse();
            let response = self.pool.send(self.address, request, CONTROL_TIMEOUT).await;
            match response.map(|response| response.status()) {
                Ok(200..=299) => Ok(()),
                Ok(409) => Err(EngineError::Fenced),
                Ok(status) => Err(EngineError::Failed(format!("status {status}"))),
                Err(error) => Err(EngineError::Failed(error.to_string())),
            }
        })
    }
}
