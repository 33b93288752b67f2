//! Interfaces between the gateway and its surroundings: the encoding of requests and responses towards
//! callers and endpoints, and access to the store.

use std::{net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use strum::{Display, IntoStaticStr};
use tarragonhill_core::{
    Refusal,
    gateway::{
        catalog::Catalog,
        digest::Member,
        directory::{Endpoint, Stage},
        evacuation,
        lease::Status as LeaseStatus,
        position::Position,
        state::Listing,
        suspect,
    },
};
use tarragonhill_h1::head::{Request, Response};

/// Metadata that a caller sends with its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Request id; a caller's retry has a new one.
    pub id: Option<Arc<str>>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// API key.
    pub key: Option<Arc<str>>,
    /// Token counts of a completion; `None` for other requests.
    pub tokens: Option<Tokens>,
    /// Names of the parts of a completion's prompt that other requests may share, in order.
    pub parts: Vec<Arc<str>>,
    /// The stream that the request takes up; `None` for new ones.
    pub resume: Option<Resume>,
}

/// A stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resume {
    /// Id of the attempt that brought the stream's first event; `None` if the caller does not name it.
    pub stream: Option<Arc<str>>,
    /// Id of the last event that the caller received.
    pub last_event: Option<Arc<str>>,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Prompt tokens.
    pub prompt: u64,
    /// Maximum output tokens.
    pub output: u64,
    /// Output tokens that the caller expects, if it gave an estimate.
    pub expected: Option<u64>,
}

impl Tokens {
    /// Returns the expected output tokens, at most `output`.
    pub fn expected_output(&self) -> u64 {
        self.expected.unwrap_or(self.output).min(self.output)
    }
}

/// Parameters of a request that is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Intended endpoint; any other endpoint must refuse the request.
    pub endpoint: &'a Endpoint,
    /// Customer that made the request.
    pub customer: Option<&'a str>,
    /// Time left until the deadline.
    pub left: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Work for the endpoint.
    pub task: Task<'a>,
}

/// Work that an endpoint does for a request.
#[derive(Clone, Copy, Debug)]
pub enum Task<'a> {
    /// Handle the whole request.
    Whole,
    /// Prefill the prompt and keep its KV cache.
    Prefill,
    /// Generate tokens.
    Decode(Decode<'a>),
}

/// Inputs of a decode.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decode<'a> {
    /// Address of the prefill endpoint and name of the prefill result there. If `None`, the decode
    /// endpoint prefills the prompt itself.
    pub source: Option<(SocketAddr, &'a str)>,
    /// Name of the memory reservation.
    pub reservation: Option<&'a str>,
    /// Id of the last event that the caller received; the stream resumes after it.
    pub last_event: Option<&'a str>,
}

/// Fields of an endpoint's response head that the gateway interprets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// Id of the request that the response belongs to.
    pub id: Option<String>,
    /// Id of the responding endpoint.
    pub instance: Option<String>,
    /// Whether the endpoint signed the response.
    pub is_signed: bool,
    /// Whether the endpoint states that the request has not run and will not run.
    pub not_run: bool,
    /// Whether the body has a content encoding; endpoints never add one, so an intermediary did.
    pub is_encoded: bool,
    /// How long the endpoint keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the endpoint is leaving and must soon get no requests.
    pub is_leaving: bool,
    /// How much longer the endpoint is cold, if it says so.
    pub cold: Option<Duration>,
    /// Requests a second that the endpoint takes from all gateways together, if it names a limit.
    pub limit: Option<f64>,
    /// Backoff that the endpoint asks this gateway for.
    pub retry_after: Option<Duration>,
}

/// Request that the gateway itself sends to an endpoint.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request head, without framing fields.
    pub head: Request,
    /// Request body.
    pub body: Vec<u8>,
}

/// Encoding of requests and responses towards callers and endpoints.
pub trait Dialect: Send + Sync + 'static {
    /// Decodes a configuration that is encoded as in the store.
    fn decode_catalog(&self, source: &[u8]) -> Result<Catalog, String>;

    /// Decodes the metadata of a caller's request.
    fn decode_metadata(&self, request: &Request) -> Metadata;

    /// Encodes the request head for an endpoint. Fields reserved for the gateway are removed from the
    /// caller's head.
    fn encode_request(&self, request: &Request, dispatch: &Dispatch<'_>) -> Request;

    /// Decodes the head of an endpoint's response.
    fn decode_reply(&self, response: &Response) -> Reply;

    /// Returns the names of the fields of an endpoint's response that mean nothing to the gateway and are not known to
    /// be for the caller either.
    fn unknown_fields<'a>(&self, response: &'a Response) -> Vec<&'a str>;

    /// Encodes a refusal as a response, without framing fields.
    fn encode_refusal(&self, refusal: &Refusal, id: Option<&str>) -> (Response, Vec<u8>);

    /// Builds the request that reserves memory for `tokens` at an endpoint, for at most `ttl`.
    fn reserve(&self, endpoint: &Endpoint, tokens: u64, ttl: Duration) -> Message;

    /// Decodes the name of a granted reservation.
    fn decode_reservation(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Builds the request that releases a reservation.
    fn release_reservation(&self, endpoint: &Endpoint, reservation: &str) -> Message;

    /// Decodes the name of a prefill result.
    fn decode_prefill(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Builds the request for an endpoint's report.
    fn request_report(&self, endpoint: &Endpoint) -> Message;

    /// Decodes an endpoint's report.
    fn decode_report(&self, body: &[u8]) -> Option<Report>;

    /// Builds the request that changes an endpoint's stage.
    fn change_stage(&self, endpoint: &Endpoint, change: &StageChange<'_>) -> Message;

    /// Builds the request that releases a prefill result.
    fn release_prefill(&self, endpoint: &Endpoint, result: &str) -> Message;
}

/// Status that an endpoint reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Current stage.
    pub stage: Stage,
    /// Whether a stage change is in progress.
    pub is_busy: bool,
    /// Number of stage changes accepted since the endpoint started.
    pub revision: u64,
    /// Start time by the endpoint's own clock, in Unix milliseconds; `None` if it does not say.
    pub started_ms: Option<u64>,
}

/// Order to an endpoint to change its stage.
#[derive(Clone, Debug)]
pub struct StageChange<'a> {
    /// New stage.
    pub stage: Stage,
    /// Name of the replica that sends the order.
    pub holder: &'a str,
    /// Fencing token; grows with every order of any replica.
    pub fencing_token: u64,
    /// Revision that the endpoint must still report, so that a delayed order is refused.
    pub expected_revision: u64,
}

/// Boxed future, for methods of trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Access to the lease on sending orders. The lease is a row of the store, held by one replica at a time.
pub trait Claims: Send + 'static {
    /// Reads the lease.
    fn read(&mut self) -> BoxFuture<'_, Result<LeaseStatus, String>>;

    /// Writes the row if it still has `version` (0 if there is no row). `status` is what was read before the write.
    /// Returns the position of the write, or `None` if another replica wrote the row first, or the store has come back
    /// from a copy since the read.
    fn write<'a>(
        &'a mut self,
        holder: &'a str,
        status: &'a LeaseStatus,
        version: u64,
    ) -> BoxFuture<'a, Result<Option<Position>, String>>;
}

/// Update of the local copy of the store.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration was read.
    Catalog {
        /// Where the configuration was written.
        position: Position,
        /// Decoded configuration.
        catalog: Arc<Catalog>,
        /// Configuration encoded as in the store, for peers that cannot reach the store.
        source: Arc<[u8]>,
    },
    /// Evacuations were read from the store. Sent before the configuration that was read with them.
    Evacuations(evacuation::Batch),
    /// Evacuations were fetched from a peer.
    PeerEvacuations(evacuation::Report),
    /// Endpoints were read from the store.
    Listing(Listing),
    /// Endpoints were fetched from a peer; unlike `Listing`, not a sign that the store is reachable.
    PeerListing {
        /// The peer's endpoint list.
        listing: Listing,
        /// Position of the newest row that the peer has read.
        newest: Position,
    },
    /// A row of the store could not be decoded.
    InvalidRow {
        /// Kind of row.
        what: &'static str,
        /// Key of the row.
        key: String,
        /// Why it is invalid.
        reason: String,
    },
    /// The name and gossip address of a peer were read.
    Member(Member),
    /// The row of this process was written, after all members that the store lists were sent.
    Registered {
        /// Time since an earlier process of this replica wrote the row; `None` if there was none.
        since_previous: Option<Duration>,
    },
    /// What replicas have written to the store on suspects was read.
    Suspects(Vec<suspect::Report>),
    /// All members that the store lists have been sent, at a time when all replicas that started before this one know
    /// it.
    MembersRead,
    /// The era of the store was read: the first one, or a new one, in which the store has come back from a copy.
    Era(u64),
    /// A table of the store became unreachable.
    StoreLost {
        /// The table.
        table: Table,
        /// Cause of the failure.
        reason: String,
    },
    /// A table of the store can be read again. Sent before what was read.
    StoreRecovered {
        /// The table.
        table: Table,
        /// Time since the last call that failed began.
        since_failure: Duration,
    },
}

/// A table of the store that replicas follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// Configuration and evacuations.
    Configuration,
    /// Endpoints.
    Endpoints,
}
