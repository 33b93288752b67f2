//! Refusals and their codes, which are stable across the API, logs and metrics.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Reason why a request was refused or failed. The names are part of the public API.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// The request is invalid: malformed JSON, an unknown field or a wrong type.
    BadRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The request head or body was not received in time.
    SlowRequest,
    /// The path or method does not exist.
    NotFound,
    /// No endpoint serves the requested model or service.
    UnknownModel,
    /// The prompt and the requested answer exceed the context of the model.
    PromptTooLong,
    /// The key is missing, unknown or withdrawn.
    BadKey,
    /// The customer has exceeded its rate limit.
    OverRate,
    /// The rate limit cannot be checked because the customer's home is unreachable.
    QuotaUnavailable,
    /// No endpoint has the capacity to serve the request in time.
    Overloaded,
    /// Every endpoint for the request is leaving or unreachable.
    NoEndpoint,
    /// No gateway knows which software version began the stream, which has to go on at the same one.
    UnknownStream,
    /// The settings of the entry may be stale.
    SettingsUnconfirmed,
    /// The entry is shutting down.
    ShuttingDown,
    /// The request has crashed endpoints and is quarantined.
    Quarantined,
    /// The idempotency record of the call cannot be written.
    RecordUnavailable,
    /// The idempotency key was already used with another body.
    KeyReused,
    /// A call with the same idempotency key is still running.
    InProgress,
    /// The call may or may not have taken effect.
    OutcomeUnknown,
    /// The time limit of the caller or the operator expired.
    Timeout,
    /// The answer failed partway and could not be resumed.
    Broken,
    /// The caller disconnected or cancelled.
    Cancelled,
}

impl Code {
    /// Returns the HTTP status for the code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::PromptTooLong => 400,
            Self::BadKey => 401,
            Self::NotFound | Self::UnknownModel => 404,
            Self::SlowRequest => 408,
            Self::InProgress => 409,
            Self::BodyTooLarge => 413,
            Self::KeyReused | Self::Quarantined => 422,
            Self::OverRate => 429,
            Self::Cancelled => 499,
            Self::Broken | Self::OutcomeUnknown => 502,
            Self::Timeout => 504,
            Self::QuotaUnavailable
            | Self::Overloaded
            | Self::NoEndpoint
            | Self::UnknownStream
            | Self::SettingsUnconfirmed
            | Self::ShuttingDown
            | Self::RecordUnavailable => 503,
        }
    }
}

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Machine-readable reason.
    pub code: Code,
    /// Human-readable explanation.
    pub message: String,
    /// True only if no endpoint has run or will run any part of the request.
    pub not_run: bool,
    /// How long to wait before a retry, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that no endpoint has run or will run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), not_run: true, retry_after: None }
    }

    /// Creates a refusal of a request that an endpoint may have run at least in part.
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), not_run: false, retry_after: None }
    }

    /// Sets how long the caller should wait before a retry.
    pub fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}
