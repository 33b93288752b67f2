//! Parsing and validation of callers' requests, and the body of refusals.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::json;
use tarragonhill_core::{Code, Refusal, Request};
use tarragonhill_http::server::Inbound;

/// Prompt bytes counted as one token. The engines' tokenizers are not available here; for ordinary
/// text this overestimates the number of tokens.
pub(crate) const BYTES_PER_TOKEN: usize = 4;
/// Default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Body of a completion request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Completion {
    pub(crate) model: Arc<str>,
    pub(crate) prompt: Arc<str>,
    /// Maximum length of the answer.
    #[serde(default = "default_max_tokens")]
    pub(crate) max_tokens: u32,
    /// Whether to send tokens as server-sent events.
    #[serde(default)]
    pub(crate) stream: bool,
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

impl Completion {
    /// Returns the estimated length of the prompt.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
    }

    /// Parses and validates a request body.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let bad_request = |message: String| Refusal::not_run(Code::BadRequest, message);
        let completion: Self =
            serde_json::from_slice(body).map_err(|error| bad_request(error.to_string()))?;
        if completion.prompt.is_empty() {
            return Err(bad_request("prompt is empty".into()));
        }
        if completion.max_tokens == 0 {
            return Err(bad_request("max_tokens must be at least 1".into()));
        }
        Ok(completion)
    }
}

/// A validated call of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) service: Arc<str>,
    pub(crate) method: Arc<str>,
    /// Path within the service, and query.
    pub(crate) path: Arc<str>,
    pub(crate) body: Vec<u8>,
    /// `None` if the call is safe to repeat.
    pub(crate) idempotency_key: Option<Arc<str>>,
}

impl Call {
    /// Parses and validates a call; `rest` is the path after the service prefix.
    pub(crate) fn parse(inbound: &Inbound, rest: &str, body: Vec<u8>) -> Result<Self, Refusal> {
        let bad_request = |message: &str| Refusal::not_run(Code::BadRequest, message);
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let idempotency_key = inbound.header("idempotency-key").map(Arc::<str>::from);
        if idempotency_key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES)
        {
            return Err(bad_request("idempotency-key must have 1 to 256 bytes"));
        }
        let is_read_only = matches!(inbound.method.as_str(), "GET" | "HEAD");
        if !is_read_only && idempotency_key.is_none() {
            return Err(bad_request("calls that change something need an idempotency-key"));
        }
        let query = if inbound.query.is_empty() { String::new() } else { format!("?{}", inbound.query) };
        Ok(Self {
            service: service.into(),
            method: inbound.method.as_str().into(),
            path: format!("/{path}{query}").into(),
            body,
            idempotency_key: idempotency_key.filter(|_| !is_read_only),
        })
    }
}

/// Returns the JSON body of a refusal.
pub(crate) fn refusal_body(request: Request, refusal: &Refusal) -> serde_json::Value {
    let mut error = json!({
        "code": refusal.code.to_string(),
        "message": refusal.message,
        "request_id": request.to_string(),
    });
    if refusal.not_run {
        error["not_run"] = true.into();
    }
    if let Some(span) = refusal.retry_after {
        error["retry_after_ms"] = u64::try_from(span.as_millis()).unwrap_or(u64::MAX).into();
    }
    json!({ "error": error })
}
