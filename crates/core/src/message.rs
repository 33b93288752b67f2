//! Messages between entries and agents, as the decisions see them. The `wire` crate turns them
//! into protobuf and back.

use std::{sync::Arc, time::Duration};

use crate::{
    id::Attempt,
    quarantine::Strike,
    quota::{Grant, LoanRequest},
    refusal::Code,
};

/// What every costly order says of the work it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The try this order serves.
    pub attempt: Attempt,
    /// Name of the endpoint that is to run it.
    pub endpoint: Arc<str>,
    /// Who pays.
    pub customer: Arc<str>,
    /// Identifier of the caller's key (never the key itself); checked again before each stage.
    pub key: Arc<str>,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
    /// The most tokens the answer may have.
    pub max_tokens: u32,
    /// Time left until the first token is due, counted by the receiver from arrival.
    pub slack: Duration,
    /// Time after which the work is given up, counted likewise. What cannot meet the first-token
    /// target is served after everything that can, until then.
    pub patience: Duration,
    /// It was running when an endpoint crashed. An endpoint runs one such at a time.
    pub suspect: bool,
}

/// What an entry tells an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Opens a link.
    Hello {
        /// Name of the entry.
        entry: Arc<str>,
    },
    /// Asks for decode memory.
    Hold {
        /// The work the memory is for.
        work: Work,
        /// Whether a place that is about to fall free may be promised.
        ahead: bool,
    },
    /// Orders a prefill.
    Prefill {
        /// The work.
        work: Work,
        /// The prompt.
        prompt: Arc<str>,
        /// Start no earlier than this from now: the decode place falls free only then.
        wait: Duration,
    },
    /// Orders the import of a prefill result and its decode.
    Decode {
        /// The work.
        work: Work,
        /// Address of the prefill engine that exports the result.
        source: Arc<str>,
        /// Names the result there.
        kv: Arc<str>,
        /// First token index wanted; above zero when a broken decode resumes.
        from_index: u32,
        /// Whether a hold was granted for this attempt.
        held: bool,
    },
    /// Orders a call of a plain service.
    Call {
        /// The work.
        work: Work,
        /// HTTP method.
        method: Arc<str>,
        /// Path and query.
        path: Arc<str>,
        /// Request body.
        body: Vec<u8>,
        /// The caller's idempotency key, empty for calls that may be repeated.
        idempotency_key: Arc<str>,
    },
    /// Gives an attempt up. Idempotent; also stops an attempt whose other orders arrive later.
    Cancel(Attempt),
    /// Shows that the entry and the connection live.
    Beat(Beat),
}

/// What an agent tells an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Decode memory is held for the attempt.
    Held {
        /// The attempt.
        attempt: Attempt,
        /// When the place will be free; zero if it is free now.
        ready_in: Duration,
    },
    /// The order was turned down.
    Refused {
        /// The attempt.
        attempt: Attempt,
        /// Why.
        code: Code,
        /// True if this order started nothing and, by its tombstone, never will.
        not_run: bool,
        /// When asking again makes sense; zero if not known.
        retry_after: Duration,
    },
    /// A prefill is done.
    Prefilled {
        /// The attempt.
        attempt: Attempt,
        /// Address of the engine that holds the result.
        source: Arc<str>,
        /// Names the result there.
        kv: Arc<str>,
        /// How long the engine will keep it.
        lives: Duration,
    },
    /// Tokens of the answer.
    Tokens {
        /// The attempt.
        attempt: Attempt,
        /// Index of the first of them.
        first_index: u32,
        /// The tokens in order.
        texts: Vec<Arc<str>>,
    },
    /// The answer is whole.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How many tokens it has.
        total: u32,
    },
    /// Work that had started broke off.
    Broken {
        /// The attempt.
        attempt: Attempt,
        /// What happened.
        cause: Breakage,
    },
    /// A plain service answered.
    Answered {
        /// The attempt.
        attempt: Attempt,
        /// HTTP status.
        status: u16,
        /// Response body.
        body: Vec<u8>,
    },
    /// Shows that the agent and the connection live.
    Beat(Beat),
}

impl Event {
    /// The attempt the event speaks of, if of one.
    pub fn attempt(&self) -> Option<Attempt> {
        match self {
            Self::Held { attempt, .. }
            | Self::Refused { attempt, .. }
            | Self::Prefilled { attempt, .. }
            | Self::Tokens { attempt, .. }
            | Self::Ended { attempt, .. }
            | Self::Broken { attempt, .. }
            | Self::Answered { attempt, .. } => Some(*attempt),
            Self::Beat(_) => None,
        }
    }
}

/// How started work broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Breakage {
    /// The engine's connection closed or its process died while the work ran.
    Crashed,
    /// The prefill result was gone before it could be transferred.
    Evicted,
    /// The transfer did not finish in time.
    Stalled,
    /// The link between entry and agent was lost.
    LinkLost,
    /// The engine answered with an error.
    Failed,
}

/// A heartbeat with what its sender knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Beat {
    /// Newest settings version the sender has in force.
    pub version: u64,
    /// How long ago the sender, or someone it heard of, confirmed that version with the table.
    pub age: Duration,
    /// How often the sender beats and wants to be beaten to; zero for as the receiver likes.
    pub every: Duration,
    /// Fresh load of the endpoints that an agent fronts; empty from entries.
    pub loads: Vec<Load>,
}

/// Load of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Memory pieces neither used nor held.
    pub free_pieces: u32,
    /// All memory pieces.
    pub capacity_pieces: u32,
    /// Prompt tokens queued or running.
    pub queued_tokens: u64,
    /// Requests running.
    pub running: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// What an entry asks of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Asks a customer's home for tokens, or gives some back.
    Borrow {
        /// The customer.
        customer: Arc<str>,
        /// The question.
        loan: LoanRequest,
    },
    /// A heartbeat.
    Beat(Beat),
    /// Reports or looks up crashes of one request's fingerprint.
    Strike {
        /// The customer.
        customer: Arc<str>,
        /// Digest of customer and body.
        fingerprint: u64,
        /// Whether this reports one more crash.
        crashed: bool,
    },
    /// Asks the successor not to take over for one lease, the table being out of reach.
    Renew {
        /// Incarnation of the member that asks.
        incarnation: u64,
    },
    /// Asks to read the rows of homes now: a home has been offered.
    Look,
}

/// What an entry answers another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Tokens lent, possibly none.
    Lent(Grant),
    /// A heartbeat.
    Beat(Beat),
    /// What is known of a fingerprint.
    Struck(Strike),
    /// Answer to a renewal.
    Renewed {
        /// Whether the lease was extended.
        granted: bool,
    },
    /// Understood.
    Noted,
    /// The customer's home is elsewhere.
    NotHome {
        /// The owner as far as known, empty if not.
        owner: Arc<str>,
        /// Epoch of that ownership.
        epoch: u64,
    },
}
