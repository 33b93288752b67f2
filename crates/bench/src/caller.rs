//! Callers: send requests and tell what came back.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tarragonhill_http::client::{Error, Pool, Request, Response};

use crate::standin;

/// Longest wait for an answer's head, and for each part of a stream.
const PATIENCE: Duration = Duration::from_secs(60);

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Name of the model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens wanted.
    pub max_tokens: u32,
    /// Whether to take tokens as they come.
    pub stream: bool,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer, which may still be a wrong one.
    Answered {
        /// The text.
        text: String,
    },
    /// A refusal.
    Refused(Refused),
    /// A stream that ended visibly broken.
    Broken {
        /// What came before.
        text: String,
        /// Whether an error event told why.
        told: bool,
    },
    /// No proper HTTP answer.
    Failed(String),
    /// No connection: nothing was sent.
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

/// A refusal as the caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused {
    /// HTTP status.
    pub status: u16,
    /// The stable code.
    pub code: String,
    /// Whether the router promises that nothing ran.
    pub not_run: bool,
    /// Seconds after which to come back.
    pub retry_after: Option<u64>,
    /// The router's identifier of the request.
    pub request: String,
}

impl Refused {
    /// Reads the body of a refusal.
    pub fn read(status: u16, body: &Value, retry_after: Option<u64>) -> Self {
        let text = |field: &str| body["error"][field].as_str().unwrap_or_default().to_owned();
        let not_run = body["error"]["not_run"].as_bool().unwrap_or(false);
        Self { status, code: text("code"), not_run, retry_after, request: text("request_id") }
    }
}

/// An outcome with its times.
#[derive(Clone, Debug)]
pub struct Timed {
    /// What became of it.
    pub outcome: Outcome,
    /// Time to the first token, if one came.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

impl Timed {
    fn plain(outcome: Outcome) -> Self {
        Self { outcome, first_token: None, gaps: Vec::new() }
    }

    /// Whether it is the whole and right answer to `completion`.
    pub fn is_right(&self, completion: &Completion) -> bool {
        let expected = standin::answer(&completion.prompt, completion.max_tokens);
        matches!(&self.outcome, Outcome::Answered { text } if *text == expected)
    }
}

/// One caller with its key.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    key: String,
    pool: Pool,
}

impl Caller {
    /// A caller of the entry at `address`.
    pub fn new(address: SocketAddr, key: impl Into<String>) -> Self {
        Self { address, key: key.into(), pool: Pool::default() }
    }

    fn authorize(&self, call: Request) -> Request {
        call.header("authorization", format!("Bearer {}", self.key))
    }

    /// Asks for a completion and waits for its end.
    pub async fn complete(&self, completion: &Completion) -> Timed {
        let began = Instant::now();
        let body = json!({
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": completion.stream,
        });
        let call = self.authorize(Request::post("/v1/completions", &body).allow_reuse());
        match self.pool.send(self.address, call, PATIENCE).await {
            Err(error) => Timed::plain(Outcome::from(error)),
            Ok(answer) if answer.status() != 200 => Timed::plain(refused(answer).await),
            Ok(answer) if completion.stream => read_stream(answer, began).await,
            Ok(answer) => Timed::plain(read_whole(answer).await),
        }
    }

    /// Calls a plain service; the answer's status and body.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &Value,
        idempotency_key: Option<&str>,
    ) -> Result<(u16, Value), Error> {
        let bytes = if method == "GET" { Vec::new() } else { body.to_string().into_bytes() };
        let call = Request::raw(method, path, bytes).ok_or_else(|| Error::Path(method.to_owned()))?;
        let mut call = self.authorize(call.allow_reuse());
        if let Some(key) = idempotency_key {
            call = call.header("idempotency-key", key);
        }
        let answer = self.pool.send(self.address, call, PATIENCE).await?;
        let status = answer.status();
        Ok((status, answer.json().await?))
    }

    /// Opens a streamed completion and leaves after `tokens` tokens.
    pub async fn leave_after(&self, completion: &Completion, tokens: usize) -> Result<(), Error> {
        let body = json!({
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": true,
        });
        let call = self.authorize(Request::post("/v1/completions", &body));
        let mut answer = self.pool.send(self.address, call, PATIENCE).await?;
        let mut seen = 0;
        while seen < tokens {
            let Some(line) = answer.line().await? else { break };
            seen += usize::from(line.starts_with("data:"));
        }
        Ok(())
    }
}

async fn refused(answer: Response<'_>) -> Outcome {
    let status = answer.status();
    let retry_after = answer.header("retry-after").and_then(|value| value.parse().ok());
    let Ok(body) = answer.json::<Value>().await else {
        return Outcome::Failed(format!("status {status} without a JSON body"));
    };
    Outcome::Refused(Refused::read(status, &body, retry_after))
}

async fn read_whole(answer: Response<'_>) -> Outcome {
    match answer.json::<Value>().await {
        Ok(body) => Outcome::Answered { text: body["text"].as_str().unwrap_or_default().to_owned() },
        Err(error) => Outcome::Failed(error.to_string()),
    }
}

async fn read_stream(mut answer: Response<'_>, began: Instant) -> Timed {
    let mut timed = Timed::plain(Outcome::Failed("stream ended early".into()));
    let mut text = String::new();
    let mut last = began;
    let (mut done, mut told) = (false, false);
    loop {
        let line = match async_std::future::timeout(PATIENCE, answer.line()).await {
            Ok(Ok(Some(line))) => line,
            Ok(Ok(None)) if done => {
                timed.outcome = Outcome::Answered { text };
                answer.release();
                return timed;
            }
            _ => {
                timed.outcome = Outcome::Broken { text, told };
                return timed;
            }
        };
        told |= line == "event: error";
        let Some(data) = line.strip_prefix("data: ") else { continue };
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        done |= value["done"] == true;
        let Some(token) = value["text"].as_str() else { continue };
        let now = Instant::now();
        match timed.first_token {
            None => timed.first_token = Some(now - began),
            Some(_) => timed.gaps.push(now - last),
        }
        last = now;
        text.push_str(token);
    }
}
