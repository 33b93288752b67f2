//! The trait of all engines, and its implementation over HTTP.

use std::{fmt, future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use async_std::future::timeout;
use tarragonhill_core::{
    agent::{Call, Outcome},
    message::{FailureCause, Work},
    settings::Endpoint,
};
use tarragonhill_http::client::{self, Pool};

use crate::protocol::{Decode, Line, Prefill, Prefilled, Serve};

/// Longest time for a prefill or a plain call.
const WORK_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for the import of a prefill result: longer ones are stalled.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest silence between two tokens. The connection may have gone silent for good.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for a cancel or an order.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Times a cancel is tried before the engine is taken for dead.
const CANCELS: u32 = 3;

/// Why an order to an engine was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// The engine has seen a higher fencing number.
    Fenced,
    /// It could not be reached, or answered with an error.
    Failed(String),
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced => f.write_str("engine has seen a newer order"),
            Self::Failed(why) => write!(f, "order failed: {why}"),
        }
    }
}

impl std::error::Error for EngineError {}

/// Takes tokens as they come: first index and texts.
pub trait Sink: Send + Sync {
    /// Takes one token; completes when there is room for the next.
    fn token(&self, index: u32, text: Arc<str>) -> Pin<Box<dyn Future<Output = ()> + Send + '_>>;
}

/// Work on its way.
pub type Working<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// An engine or plain service as its agent drives it.
pub trait Engine: Send + Sync {
    /// Runs a prefill.
    fn prefill<'a>(&'a self, work: &'a Work, prompt: Arc<str>) -> Working<'a, Outcome>;

    /// Imports a result and streams its tokens into `sink`.
    fn decode<'a>(
        &'a self,
        work: &'a Work,
        source: Arc<str>,
        kv: Arc<str>,
        from_index: u32,
        sink: &'a dyn Sink,
    ) -> Working<'a, Outcome>;

    /// Calls a plain service, exactly once.
    fn call<'a>(&'a self, work: &'a Work, call: &'a Call) -> Working<'a, Outcome>;

    /// Has the engine let go of an attempt's work and memory; completes when it has.
    fn cancel<'a>(&'a self, id: &'a str) -> Working<'a, ()>;

    /// Orders another role or model.
    fn serve<'a>(&'a self, endpoint: &'a Endpoint) -> Working<'a, Result<(), EngineError>>;
}

/// An engine that speaks the protocol of `docs/protocol-engine.md`.
#[derive(Debug)]
pub struct HttpEngine {
    address: SocketAddr,
    pool: Pool,
}

impl HttpEngine {
    /// A client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: Pool::default() }
    }

    async fn run_prefill(&self, work: &Work, prompt: Arc<str>) -> Outcome {
        let body = Prefill { id: work.attempt.to_string(), prompt, prompt_tokens: work.prompt_tokens };
        let call = client::Request::post("/prefill", &body).allow_reuse();
        let answer = match self.pool.send(self.address, call, WORK_TIMEOUT).await {
            Ok(answer) if answer.status() == 200 => answer.json::<Prefilled>().await,
            Ok(_) => return Outcome::Failed(FailureCause::Failed),
            Err(error) => Err(error),
        };
        match answer {
            Ok(done) => Outcome::Prefilled {
                source: self.address.to_string().into(),
                kv: done.kv,
                ttl: Duration::from_millis(done.lives_ms),
            },
            Err(error) => Outcome::Failed(failure_cause(&error)),
        }
    }

    async fn run_decode(&self, body: &Decode, sink: &dyn Sink) -> Result<Outcome, client::Error> {
        let call = client::Request::post("/decode", body).allow_reuse();
        let mut answer = self.pool.send(self.address, call, IMPORT_TIMEOUT).await?;
        if answer.status() != 200 {
            return Ok(Outcome::Failed(FailureCause::Failed));
        }
        let mut limit = IMPORT_TIMEOUT;
        loop {
            let line = timeout(limit, answer.line()).await.unwrap_or(Err(client::Error::Timeout))?;
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
                    if timeout(CONTROL_TIMEOUT, answer.line()).await == Ok(Ok(None)) {
                        answer.release();
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
        let answer = match self.pool.send(self.address, request, WORK_TIMEOUT).await {
            Ok(answer) => answer,
            Err(error) => return Outcome::Failed(failure_cause(&error)),
        };
        let status = answer.status();
        match answer.bytes().await {
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
    fn prefill<'a>(&'a self, work: &'a Work, prompt: Arc<str>) -> Working<'a, Outcome> {
        Box::pin(self.run_prefill(work, prompt))
    }

    fn decode<'a>(
        &'a self,
        work: &'a Work,
        source: Arc<str>,
        kv: Arc<str>,
        from_index: u32,
        sink: &'a dyn Sink,
    ) -> Working<'a, Outcome> {
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

    fn call<'a>(&'a self, work: &'a Work, call: &'a Call) -> Working<'a, Outcome> {
        Box::pin(self.run_call(work, call))
    }

    fn cancel<'a>(&'a self, id: &'a str) -> Working<'a, ()> {
        Box::pin(async move {
            for _ in 0..CANCELS {
                let call = client::Request::delete(format!("/work/{id}"));
                if let Ok(answer) = self.pool.send(self.address, call, CONTROL_TIMEOUT).await {
                    answer.release();
                    return;
                }
            }
        })
    }

    fn serve<'a>(&'a self, endpoint: &'a Endpoint) -> Working<'a, Result<(), EngineError>> {
        let order = Serve {
            role: endpoint.role.to_string(),
            serves: endpoint.serves.clone(),
            fence: endpoint.generation,
        };
        Box::pin(async move {
            let call = client::Request::post("/serve", &order).allow_reuse();
            let answer = self.pool.send(self.address, call, CONTROL_TIMEOUT).await;
            match answer.map(|answer| answer.status()) {
                Ok(200..=299) => Ok(()),
                Ok(409) => Err(EngineError::Fenced),
                Ok(status) => Err(EngineError::Failed(format!("status {status}"))),
                Err(error) => Err(EngineError::Failed(error.to_string())),
            }
        })
    }
}
