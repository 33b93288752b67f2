//! What a run has recorded.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    caller::{Completion, Outcome},
    check::scenario::Fault,
};

/// What a caller sent.
#[derive(Clone, Debug)]
pub enum Sent {
    /// A completion.
    Completion(Completion),
    /// A filing under an idempotency key.
    Filing {
        /// The key, as the service sees it.
        key: String,
        /// The body.
        body: String,
    },
}

/// One request with everything its caller saw.
#[derive(Clone, Debug)]
pub struct Call {
    /// Whose key came with it.
    pub tenant: String,
    /// Through which entry it went.
    pub entry: usize,
    /// What was sent.
    pub sent: Sent,
    /// When, from the start of the run.
    pub began: Duration,
    /// When the last answer came.
    pub ended: Duration,
    /// The answers, which should be exactly one.
    pub answers: Vec<Outcome>,
    /// The router's identifier of the request, if an answer told it.
    pub request: Option<String>,
}

/// A span in which an entry was shut down gracefully.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Which entry.
    pub entry: usize,
    /// When it began.
    pub began: Duration,
}

/// What an operator changed.
#[derive(Clone, Debug)]
pub enum Change {
    /// A key was withdrawn.
    Withdrawn(String),
    /// An endpoint was told to leave.
    Drained(String),
    /// A customer's burst was set.
    Burst(u64),
}

/// A confirmed change.
#[derive(Clone, Debug)]
pub struct Confirmed {
    /// What.
    pub change: Change,
    /// When the operator was told.
    pub at: Duration,
    /// The settings version it made.
    pub version: u64,
}

/// Everything recorded of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What callers sent and got.
    pub calls: Vec<Call>,
    /// Requests that any endpoint began to run, by identifier.
    pub executed: BTreeSet<String>,
    /// Filings executed: key to customers on whose behalf, one for each execution.
    pub filings: BTreeMap<String, Vec<String>>,
    /// When work began at each endpoint.
    pub starts: BTreeMap<String, Vec<Duration>>,
    /// Whether any endpoint has seen a caller's key.
    pub key_seen: bool,
    /// Memory pieces still used by decode engines once everything had ended.
    pub pieces_left: u32,
    /// Changes that operators were told are in force.
    pub confirmed: Vec<Confirmed>,
    /// Settings versions seen at each process (entry number and start), in order of time.
    pub versions: BTreeMap<String, Vec<(Duration, u64)>>,
    /// Graceful shutdowns.
    pub shutdowns: Vec<Shutdown>,
    /// Rate and burst of each customer, and tokens served with when.
    pub limits: BTreeMap<String, (u64, u64)>,
    /// Faults brought about.
    pub faults: BTreeMap<Fault, usize>,
    /// When the run ended.
    pub ended: Duration,
}
