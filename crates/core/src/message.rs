//! Messages between entries and agents and between entries. The `wire` crate converts them to and
//! from protobuf.

use std::{sync::Arc, time::Duration};

use crate::{
    id::Attempt,
    quarantine::CrashStatus,
    quota::{Grant, LoanRequest},
    refusal::Code,
};

/// Description of the work that an order belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Attempt that the order belongs to.
    pub attempt: Attempt,
    /// Name of the endpoint that runs the work.
    pub endpoint: Arc<str>,
    /// Customer whose quota is charged.
    pub customer: Arc<str>,
    /// Identifier of the caller's key, not the key itself. The key is checked before each stage.
    pub key: Arc<str>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Maximum length of the answer.
    pub max_tokens: u32,
    /// Time until the first token is due, counted from arrival at the agent.
    pub slack: Duration,
    /// Time until the work is refused if it has not started, counted from arrival at the agent.
    /// Work that will miss its first-token deadline runs after work that can meet it.
    pub timeout: Duration,
    /// Whether the request was running when an endpoint crashed. An endpoint runs one suspect at a
    /// time.
    pub suspect: bool,
}

/// Message from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// First message on a link.
    Hello {
        /// Name of the sending entry.
        entry: Arc<str>,
    },
    /// Requests a hold on decode memory.
    Hold {
        /// The work that needs the memory.
        work: Work,
        /// Whether memory that is in use but about to be freed may be promised.
        ahead: bool,
    },
    /// Requests a prefill.
    Prefill {
        /// The work to prefill.
        work: Work,
        /// The prompt.
        prompt: Arc<str>,
        /// Earliest start, counted from arrival, so that the result is not ready long before the
        /// decode memory.
        delay: Duration,
    },
    /// Requests the import of a prefill result and its decode.
    Decode {
        /// The work to decode.
        work: Work,
        /// Address of the prefill engine that exports the KV cache.
        source: Arc<str>,
        /// Identifies the KV cache on that engine.
        kv: Arc<str>,
        /// Index of the first token to send; above zero when a failed decode is resumed.
        from_index: u32,
        /// Whether a hold was granted for this attempt.
        held: bool,
    },
    /// Requests a call of a plain service.
    Call {
        /// The work that the call belongs to.
        work: Work,
        /// HTTP method.
        method: Arc<str>,
        /// Path and query.
        path: Arc<str>,
        /// Request body.
        body: Vec<u8>,
        /// The caller's idempotency key; empty if the call is safe to repeat.
        idempotency_key: Arc<str>,
    },
    /// Cancels an attempt. Idempotent; also covers orders of the attempt that arrive later.
    Cancel(Attempt),
    /// Heartbeat of the entry.
    Heartbeat(Heartbeat),
}

/// Message from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Decode memory was granted.
    Held {
        /// Attempt that the event belongs to.
        attempt: Attempt,
        /// Time until the memory is free; zero if it is free now.
        ready_in: Duration,
    },
    /// The order was refused.
    Refused {
        /// Attempt that the event belongs to.
        attempt: Attempt,
        /// Reason for the refusal.
        code: Code,
        /// True if the agent has not started the work and will not start it.
        not_run: bool,
        /// How long to wait before a retry; zero if unknown.
        retry_after: Duration,
    },
    /// The prefill completed.
    Prefilled {
        /// Attempt that the event belongs to.
        attempt: Attempt,
        /// Address of the engine that holds the KV cache.
        source: Arc<str>,
        /// Identifies the KV cache on that engine.
        kv: Arc<str>,
        /// How long the engine keeps the KV cache.
        ttl: Duration,
    },
    /// Tokens of the answer.
    Tokens {
        /// Attempt that the event belongs to.
        attempt: Attempt,
        /// Index of the first of these tokens in the answer.
        first_index: u32,
        /// Texts of the tokens, in order.
        texts: Vec<Arc<str>>,
    },
    /// The answer is complete.
    Ended {
        /// Attempt that the event belongs to.
        attempt: Attempt,
        /// Number of tokens in the answer.
        total: u32,
    },
    /// Work failed after it started.
    Failed {
        /// Attempt that the event belongs to.
        attempt: Attempt,
        /// Cause of the failure.
        cause: FailureCause,
    },
    /// The plain service returned a response.
    Answered {
        /// Attempt that the event belongs to.
        attempt: Attempt,
        /// HTTP status.
        status: u16,
        /// Response body.
        body: Vec<u8>,
    },
    /// Heartbeat of the agent.
    Heartbeat(Heartbeat),
}

impl Event {
    /// Returns the attempt that the event belongs to; `None` for heartbeats.
    pub fn attempt(&self) -> Option<Attempt> {
        match self {
            Self::Held { attempt, .. }
            | Self::Refused { attempt, .. }
            | Self::Prefilled { attempt, .. }
            | Self::Tokens { attempt, .. }
            | Self::Ended { attempt, .. }
            | Self::Failed { attempt, .. }
            | Self::Answered { attempt, .. } => Some(*attempt),
            Self::Heartbeat(_) => None,
        }
    }
}

/// Cause of the failure of started work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum FailureCause {
    /// The engine crashed or its connection closed while the work ran.
    Crashed,
    /// The prefill result was evicted before it could be transferred.
    Evicted,
    /// The transfer timed out.
    Stalled,
    /// The link between entry and agent was lost.
    LinkLost,
    /// The engine returned an error.
    Failed,
}

/// Heartbeat, which also carries settings freshness and load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Settings version that the sender uses.
    pub version: u64,
    /// Time since the sender, or another process that reported it to the sender, confirmed that
    /// version with the table.
    pub age: Duration,
    /// Heartbeat interval in both directions; zero if the receiver may choose.
    pub interval: Duration,
    /// Current load of the agent's endpoints; empty in heartbeats of entries.
    pub loads: Vec<Load>,
}

/// Load of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Memory pieces that are not in use, held or promised.
    pub free_pieces: u32,
    /// Total memory pieces.
    pub capacity_pieces: u32,
    /// Queued tokens; on prefill endpoints, running prompts are included.
    pub queued_tokens: u64,
    /// Number of running requests.
    pub running: u32,
    /// Whether the endpoint is leaving and accepts no new work.
    pub leaving: bool,
}

/// Request from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRequest {
    /// Borrows quota tokens from a customer's home or returns unspent ones.
    Borrow {
        /// Customer that owns the tokens.
        customer: Arc<str>,
        /// Tokens to borrow or return.
        loan: LoanRequest,
    },
    /// Heartbeat of the requesting entry.
    Heartbeat(Heartbeat),
    /// Queries the crash status of a request fingerprint, after counting a crash if `crashed`.
    CrashStatus {
        /// Customer that sent the request.
        customer: Arc<str>,
        /// Digest of the customer and the request body.
        fingerprint: u64,
        /// Whether to count another crash.
        crashed: bool,
    },
    /// Asks the successor to extend the sender's lease while the table is unreachable.
    Renew {
        /// Incarnation of the sending entry.
        incarnation: u64,
    },
    /// Asks the receiver to read the shard rows now, because a shard was offered to it.
    RefreshShards,
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerReply {
    /// Lent tokens, possibly none.
    Lent(Grant),
    /// Heartbeat of the replying entry.
    Heartbeat(Heartbeat),
    /// Crash status of the fingerprint.
    CrashStatus(CrashStatus),
    /// Result of a lease renewal.
    Renewed {
        /// Whether the lease was extended.
        granted: bool,
    },
    /// The request was received.
    Acknowledged,
    /// The receiver is not the customer's home.
    NotHome {
        /// Last known owner of the customer's shard; empty if unknown.
        owner: Arc<str>,
        /// Epoch of that ownership.
        epoch: u64,
    },
}
