//! Refusals: stable codes that callers, logs and metrics share.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Why a request got no answer. The names are part of the callers' API.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// The request cannot be read: malformed JSON, an unknown field, a wrong type.
    BadRequest,
    /// The body is larger than the entry takes.
    BodyTooLarge,
    /// Head or body arrived too slowly.
    SlowRequest,
    /// No such path or method.
    NotFound,
    /// No endpoint serves the model or service named.
    UnknownModel,
    /// The prompt and the answer asked for do not fit the model.
    PromptTooLong,
    /// No key, or one that is unknown or withdrawn.
    BadKey,
    /// The customer has spent its rate and burst.
    OverRate,
    /// The customer's home cannot be reached, so its rate is not known.
    QuotaUnavailable,
    /// No endpoint can meet the first-token target any more.
    Overloaded,
    /// All endpoints for this work are leaving or gone.
    NoEndpoint,
    /// The entry cannot bound the age of its settings.
    SettingsUnconfirmed,
    /// The entry is shutting down.
    ShuttingDown,
    /// This request has crashed endpoints and is refused for a while.
    Quarantined,
    /// The record of a call that may not be repeated cannot be written.
    RecordUnavailable,
    /// The idempotency key was used with another body.
    KeyReused,
    /// A call that may not be repeated is still running under this key.
    InProgress,
    /// It cannot be told whether the call took effect.
    OutcomeUnknown,
    /// The caller's or the operator's time ran out.
    Timeout,
    /// The answer broke off and could not be resumed.
    Broken,
    /// The caller left.
    Cancelled,
}

impl Code {
    /// The HTTP status that carries the code.
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
            | Self::SettingsUnconfirmed
            | Self::ShuttingDown
            | Self::RecordUnavailable => 503,
        }
    }
}

/// A refusal as the caller gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What went wrong.
    pub code: Code,
    /// Says more, for people.
    pub message: String,
    /// True only if no endpoint has run any part of the request and none will.
    pub not_run: bool,
    /// When trying again makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that never reached an endpoint.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), not_run: true, retry_after: None }
    }

    /// A refusal of a request that may have run in part.
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), not_run: false, retry_after: None }
    }

    /// The same refusal, telling the caller when to come back.
    pub fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}
