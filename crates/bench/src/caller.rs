//! A caller of an entry. It reports the outcome and the latency of each request.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tarragonhill_http::client::{Error, Pool, Request, Response};

use crate::sim;

/// Timeout for a response head, and for each line of a stream.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A completion request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Model name.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether tokens are streamed.
    pub stream: bool,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete response; its text may still be wrong.
    Answered {
        /// Generated text.
        text: String,
    },
    /// A refusal by the router.
    Refused(Refusal),
    /// A stream that ended before its last event.
    Broken {
        /// Text received until then.
        text: String,
        /// Whether the stream contained an error event.
        has_error: bool,
    },
    /// No valid HTTP response, for this reason.
    Failed(String),
    /// No connection could be opened, for this reason; nothing was sent.
    Unsent(String),
}

impl From<Error> for Outcome {
    fn from(error: Error) -> Self {
        match error.is_unsent() {
            true => Self::Unsent(error.to_string()),
            false => Self::Failed(error.to_string()),
        }
    }
}

/// A refusal as the caller receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Refusal code.
    pub code: String,
    /// Whether the router guarantees that the request was not executed.
    pub not_run: bool,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// Request id assigned by the router.
    pub request: String,
}

impl Refusal {
    /// Parses the body of a refusal. Missing fields become empty or false.
    pub fn parse(status: u16, body: &Value, retry_after: Option<u64>) -> Self {
        let text = |field: &str| body["error"][field].as_str().unwrap_or_default().to_owned();
        let not_run = body["error"]["not_run"].as_bool().unwrap_or(false);
        Self { status, code: text("code"), not_run, retry_after, request: text("request_id") }
    }
}

/// An outcome with its latencies.
#[derive(Clone, Debug)]
pub struct TimedOutcome {
    /// How the request ended.
    pub outcome: Outcome,
    /// Time to the first token; `None` without tokens or without streaming.
    pub first_token: Option<Duration>,
    /// Inter-token latencies.
    pub gaps: Vec<Duration>,
}

impl TimedOutcome {
    fn untimed(outcome: Outcome) -> Self {
        Self { outcome, first_token: None, gaps: Vec::new() }
    }

    /// Returns whether this is the complete, correct response to `completion`.
    pub fn is_correct(&self, completion: &Completion) -> bool {
        let expected = sim::output_text(&completion.prompt, completion.max_tokens);
        matches!(&self.outcome, Outcome::Answered { text } if *text == expected)
    }
}

/// A caller with an API key.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    key: String,
    pool: Pool,
}

impl Caller {
    /// Creates a caller of the entry at `address`.
    pub fn new(address: SocketAddr, key: impl Into<String>) -> Self {
        Self { address, key: key.into(), pool: Pool::default() }
    }

    fn authorize(&self, request: Request) -> Request {
        request.header("authorization", format!("Bearer {}", self.key))
    }

    /// Sends a completion request and reads the whole response.
    pub async fn complete(&self, completion: &Completion) -> TimedOutcome {
        let started_at = Instant::now();
        let body = json!({
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": completion.stream,
        });
        let request = self.authorize(Request::post("/v1/completions", &body).allow_reuse());
        match self.pool.send(self.address, request, RESPONSE_TIMEOUT).await {
            Err(error) => TimedOutcome::untimed(Outcome::from(error)),
            Ok(response) if response.status() != 200 => TimedOutcome::untimed(read_refusal(response).await),
            Ok(response) if completion.stream => read_stream(response, started_at).await,
            Ok(response) => TimedOutcome::untimed(read_completion(response).await),
        }
    }

    /// Calls a plain service; returns the status and body of the response.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &Value,
        idempotency_key: Option<&str>,
    ) -> Result<(u16, Value), Error> {
        let bytes = if method == "GET" { Vec::new() } else { body.to_string().into_bytes() };
        let request = Request::raw(method, path, bytes).ok_or_else(|| Error::Path(method.to_owned()))?;
        let mut request = self.authorize(request.allow_reuse());
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let response = self.pool.send(self.address, request, RESPONSE_TIMEOUT).await?;
        let status = response.status();
        Ok((status, response.json().await?))
    }

    /// Starts a streamed completion and closes the connection after `tokens` tokens.
    pub async fn disconnect_after(&self, completion: &Completion, tokens: usize) -> Result<(), Error> {
        let body = json!({
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": true,
        });
        let request = self.authorize(Request::post("/v1/completions", &body));
        let mut response = self.pool.send(self.address, request, RESPONSE_TIMEOUT).await?;
        let mut received = 0;
        while received < tokens {
            let Some(line) = response.line().await? else { break };
            received += usize::from(line.starts_with("data:"));
        }
        Ok(())
    }
}

async fn read_refusal(response: Response<'_>) -> Outcome {
    let status = response.status();
    let retry_after = response.header("retry-after").and_then(|value| value.parse().ok());
    let Ok(body) = response.json::<Value>().await else {
        return Outcome::Failed(format!("status {status} without a JSON body"));
    };
    Outcome::Refused(Refusal::parse(status, &body, retry_after))
}

async fn read_completion(response: Response<'_>) -> Outcome {
    match response.json::<Value>().await {
        Ok(body) => Outcome::Answered { text: body["text"].as_str().unwrap_or_default().to_owned() },
        Err(error) => Outcome::Failed(error.to_string()),
    }
}

async fn read_stream(mut response: Response<'_>, started_at: Instant) -> TimedOutcome {
    let mut timed = TimedOutcome::untimed(Outcome::Failed("stream ended before its last event".into()));
    let mut text = String::new();
    let mut last_token_at = started_at;
    let (mut is_done, mut has_error) = (false, false);
    loop {
        let line = match async_std::future::timeout(RESPONSE_TIMEOUT, response.line()).await {
            Ok(Ok(Some(line))) => line,
            Ok(Ok(None)) if is_done => {
                timed.outcome = Outcome::Answered { text };
                response.release();
                return timed;
            }
            _ => {
                timed.outcome = Outcome::Broken { text, has_error };
                return timed;
            }
        };
        has_error |= line == "event: error";
        let Some(data) = line.strip_prefix("data: ") else { continue };
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        is_done |= value["done"] == true;
        let Some(token) = value["text"].as_str() else { continue };
        let now = Instant::now();
        match timed.first_token {
            None => timed.first_token = Some(now - started_at),
            Some(_) => timed.gaps.push(now - last_token_at),
        }
        last_token_at = now;
        text.push_str(token);
    }
}
