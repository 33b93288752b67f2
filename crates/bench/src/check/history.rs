//! History of a run, the input of the invariant checkers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    caller::{Completion, Outcome},
    check::scenario::Fault,
};

/// Payload of a request.
#[derive(Clone, Debug)]
pub enum Payload {
    /// Completion.
    Completion(Completion),
    /// Call of the plain service with an idempotency key.
    Submission {
        /// Idempotency key, as received by the service.
        key: String,
        /// Request body.
        body: String,
    },
}

/// Request with its answers, as recorded by the caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Customer whose key authorized the request.
    pub customer: String,
    /// Index of the entry that received the request.
    pub entry: usize,
    /// Payload.
    pub payload: Payload,
    /// Send time since the start of the run.
    pub began: Duration,
    /// Time of the last answer since the start of the run.
    pub ended: Duration,
    /// Answers; more than one violates an invariant.
    pub answers: Vec<Outcome>,
    /// Request id assigned by the router; `None` unless the answer contains it.
    pub request: Option<String>,
}

/// Graceful shutdown of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Index of the entry.
    pub entry: usize,
    /// Time of the shutdown request since the start of the run.
    pub began: Duration,
}

/// Settings change by an operator.
#[derive(Clone, Debug)]
pub enum Change {
    /// The key of this customer was withdrawn.
    Withdrawn(String),
    /// The host of this endpoint was drained.
    Drained(String),
    /// The burst of a customer was set to this number of tokens.
    Burst(u64),
}

/// Change that was confirmed to the operator.
#[derive(Clone, Debug)]
pub struct Confirmation {
    /// Changed setting.
    pub change: Change,
    /// Time of the confirmation since the start of the run.
    pub at: Duration,
    /// Settings version that contains the change.
    pub version: u64,
}

/// Record of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests with their answers.
    pub calls: Vec<Call>,
    /// Ids of the requests that any endpoint started to execute.
    pub executed: BTreeSet<String>,
    /// Executed submissions by idempotency key, with the customer of each execution.
    pub submissions: BTreeMap<String, Vec<String>>,
    /// Times at which each endpoint started work.
    pub starts: BTreeMap<String, Vec<Duration>>,
    /// Whether any endpoint received a caller's API key.
    pub is_key_exposed: bool,
    /// Memory pieces in use at decode engines after all requests ended.
    pub pieces_in_use: u32,
    /// Confirmed changes.
    pub confirmations: Vec<Confirmation>,
    /// Sampled settings versions of each entry process in time order; the key holds the entry's name
    /// and incarnation.
    pub versions: BTreeMap<String, Vec<(Duration, u64)>>,
    /// Graceful shutdowns.
    pub shutdowns: Vec<Shutdown>,
    /// Rate (tokens per second) and burst (tokens) of each customer.
    pub limits: BTreeMap<String, (u64, u64)>,
    /// Number of injected faults of each kind.
    pub faults: BTreeMap<Fault, usize>,
    /// End time since the start of the run.
    pub ended: Duration,
}
