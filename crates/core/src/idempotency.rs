//! Calls with an idempotency key, which are dispatched at most once.
//!
//! A record per key is inserted into the table before the call is dispatched and completed after
//! it. If the result of a write is unknown, the record is read back and its token compared; it is
//! never written again unconditionally.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    id::Request,
    refusal::{Code, Refusal},
};

/// Key prefix of the record rows.
pub const PREFIX: &str = "once/";

/// The stored record of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Digest of the call, so that the key cannot be reused for a different call.
    pub digest: Arc<str>,
    /// Request that wrote the record; identifies the writer after a write of unknown result.
    pub token: Request,
    /// Progress of the call.
    pub state: State,
}

/// Progress of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The call may have been dispatched; no outcome is recorded yet.
    Started,
    /// The call was dispatched and answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// The call was not executed and its key may be used again. Also written as a tombstone that makes
    /// a lost write of `Started` fail.
    Abandoned,
    /// The call was dispatched, but its outcome is unknown.
    Unknown,
}

/// Returns the row key of a call. Idempotency keys are scoped to the customer.
pub fn row_key(customer: &str, idempotency_key: &str) -> String {
    format!("{PREFIX}{customer}/{}", crate::settings::digest(idempotency_key))
}

/// Next action for a call, given the record under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Dispatch the call: this request wrote the record.
    Dispatch,
    /// Return the recorded answer.
    Replay {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// Replace the abandoned record by compare-and-set, then decide again.
    Reclaim,
    /// Refuse the call.
    Refuse(Refusal),
}

/// Decides how request `token` proceeds with the call `digest`, given the record `found`.
pub fn decide(found: &Record, digest: &str, token: Request) -> Action {
    if &*found.digest != digest {
        return Action::Refuse(Refusal::not_run(
            Code::KeyReused,
            "idempotency key was used with another call",
        ));
    }
    match &found.state {
        State::Started if found.token == token => Action::Dispatch,
        // The request that wrote the record may have dispatched the call, even if it has since
        // failed, so the call is never sent again.
        State::Started => Action::Refuse(Refusal::may_have_run(
            Code::InProgress,
            "a call under this idempotency key has started and its outcome is not recorded",
        )),
        State::Answered { status, body } => Action::Replay { status: *status, body: body.clone() },
        State::Abandoned => Action::Reclaim,
        State::Unknown => Action::Refuse(refuse_unknown_outcome()),
    }
}

/// Returns the refusal for a call with unknown outcome.
pub fn refuse_unknown_outcome() -> Refusal {
    Refusal::may_have_run(
        Code::OutcomeUnknown,
        "the call was sent once and its outcome is not known; it will not be sent again",
    )
}

/// Result of a write of `Started` whose reply was lost, as found by reading the record back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied.
    Applied,
    /// Another request's record was found; pass it to [`decide`].
    Conflict,
    /// No record was found, but the write may still be applied later. A tombstone must be written
    /// before the call can be reported as not run.
    Missing,
}

/// Resolves a write whose reply was lost.
pub fn resolve_write(found: Option<&Record>, token: Request) -> WriteOutcome {
    match found {
        Some(record) if record.token == token => WriteOutcome::Applied,
        Some(_) => WriteOutcome::Conflict,
        None => WriteOutcome::Missing,
    }
}
