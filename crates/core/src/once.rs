//! Calls that may not be repeated.
//!
//! A record in the table stands between a caller's idempotency key and the plain service: it is
//! inserted before the one dispatch and completed after. Every uncertain write is settled by
//! reading it back and comparing tokens, never by writing again blindly.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    id::Request,
    refusal::{Code, Refusal},
};

/// Prefix of the records' rows.
pub const PREFIX: &str = "once/";

/// The stored record of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Digest of method, path and body, so that a key cannot be used for another call.
    pub digest: Arc<str>,
    /// The request that wrote the record; tells one's own write from another's.
    pub token: Request,
    /// How far the call is.
    pub state: State,
}

/// How far a call is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The call may have been dispatched.
    Started,
    /// It was dispatched and answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// It was never dispatched and never will be: a tombstone under a record whose write was lost.
    Abandoned,
    /// It was dispatched and its outcome cannot be known.
    Unknown,
}

/// The row of a call: keys belong to their customer.
pub fn row(customer: &str, idempotency_key: &str) -> String {
    format!("{PREFIX}{customer}/{}", crate::settings::digest(idempotency_key))
}

/// What to do about a call, given the record found under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The record is ours: dispatch, once.
    Dispatch,
    /// Give the recorded answer.
    Replay {
        /// HTTP status.
        status: u16,
        /// Body.
        body: String,
    },
    /// Take the abandoned record over, by compare-and-set, then look again.
    Reclaim,
    /// Refuse.
    Refuse(Refusal),
}

/// Decides what follows from the record `found` for a call of `digest` by `token`.
pub fn step(found: &Record, digest: &str, token: Request) -> Step {
    if &*found.digest != digest {
        return Step::Refuse(Refusal::not_run(Code::KeyReused, "idempotency key was used with another call"));
    }
    match &found.state {
        State::Started if found.token == token => Step::Dispatch,
        // Another request wrote the record. It may have dispatched, be about to, or have died in
        // between: nothing proves that the call did not run, so this one never sends it again.
        State::Started => Step::Refuse(Refusal::may_have_run(
            Code::InProgress,
            "a call under this idempotency key has started and its outcome is not recorded",
        )),
        State::Answered { status, body } => Step::Replay { status: *status, body: body.clone() },
        State::Abandoned => Step::Reclaim,
        State::Unknown => Step::Refuse(unknown()),
    }
}

/// The refusal for a call whose outcome cannot be known.
pub fn unknown() -> Refusal {
    Refusal::may_have_run(
        Code::OutcomeUnknown,
        "the call was sent once and its outcome is not known; it will not be sent again",
    )
}

/// What to do after a write of `Started` whose answer was lost, from what a read back found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// Our write took effect.
    Landed,
    /// Another's record stands there; decide by [`step`].
    Other,
    /// Nothing stands there, but our write may still land: put a tombstone there first.
    Tombstone,
}

/// Settles a lost answer.
pub fn settle(found: Option<&Record>, token: Request) -> Lost {
    match found {
        Some(record) if record.token == token => Lost::Landed,
        Some(_) => Lost::Other,
        None => Lost::Tombstone,
    }
}
