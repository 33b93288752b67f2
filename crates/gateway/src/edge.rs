//! The edges of the process: how callers and endpoints spell what the gateway works with, and what
//! the store tells it.

use std::{net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use tarragonhill_core::{
    Refusal,
    gateway::{
        catalog::Catalog,
        digest::Member,
        directory::{Endpoint, Stage},
        lease::Snapshot,
        state::Listing,
    },
};
use tarragonhill_h1::head::{Request, Response};

/// What a caller says of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Names this attempt of the caller.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The key it shows.
    pub key: Option<Arc<str>>,
    /// What a completion needs; `None` on plain calls.
    pub tokens: Option<Tokens>,
}

/// The size of a completion, tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// In the prompt.
    pub prompt: u64,
    /// In the longest answer.
    pub output: u64,
    /// In the answer, by the caller's estimate.
    pub expected: Option<u64>,
}

impl Tokens {
    /// Tokens that the answer is expected to have.
    pub fn expected_output(&self) -> u64 {
        self.expected.unwrap_or(self.output).min(self.output)
    }
}

/// How a request is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Passage<'a> {
    /// The endpoint meant; any other must refuse.
    pub endpoint: &'a Endpoint,
    /// The customer who calls.
    pub customer: Option<&'a str>,
    /// Time left for the answer.
    pub left: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// What is asked of the endpoint.
    pub task: Task<'a>,
}

/// What is asked of an endpoint.
#[derive(Clone, Copy, Debug)]
pub enum Task<'a> {
    /// The whole request.
    Whole,
    /// To read the prompt and keep the result.
    Prefill,
    /// To make tokens.
    Decode(Decode<'a>),
}

/// What a decode may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decode<'a> {
    /// Where the prompt's result is kept, and its name there; without it the endpoint reads itself.
    pub source: Option<(SocketAddr, &'a str)>,
    /// The reservation made for it.
    pub hold: Option<&'a str>,
    /// The last event that the caller has; the run goes on behind it.
    pub after: Option<&'a str>,
}

/// What an endpoint says in the head of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The request that it answers.
    pub id: Option<String>,
    /// The endpoint that answers, if it says.
    pub instance: Option<String>,
    /// Whether the endpoint has signed it.
    pub signed: bool,
    /// Whether it says that the request has not run and will not.
    pub not_run: bool,
    /// Whether the body has been encoded by somebody on the way.
    pub encoded: bool,
    /// How long the endpoint keeps the connection open while it is idle.
    pub keep_alive: Option<Duration>,
}

/// A message to an endpoint of the gateway's own.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its head, without framing.
    pub head: Request,
    /// Its body.
    pub body: Vec<u8>,
}

/// How heads and the gateway's own messages are spelled.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a configuration as the store holds it; an error says what is wrong with it.
    fn catalog(&self, source: &[u8]) -> Result<Catalog, String>;

    /// Reads what a caller says of its request.
    fn call(&self, request: &Request) -> Call;

    /// The head that goes to an endpoint: the caller's, without what is the gateway's to say.
    fn pass(&self, request: &Request, passage: &Passage<'_>) -> Request;

    /// Reads the head of an endpoint's answer.
    fn reply(&self, response: &Response) -> Reply;

    /// The answer that tells a caller of a refusal, without framing.
    fn refuse(&self, refusal: &Refusal, id: Option<&str>) -> (Response, Vec<u8>);

    /// Asks an endpoint to reserve a place with memory for `tokens`, for `ttl` at most.
    fn hold(&self, endpoint: &Endpoint, tokens: u64, ttl: Duration) -> Message;

    /// The name of a reservation that was granted.
    fn held(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Gives a reservation back.
    fn release_hold(&self, endpoint: &Endpoint, hold: &str) -> Message;

    /// The name under which a prompt's result is kept.
    fn prefilled(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Asks an endpoint for its report.
    fn ask_report(&self, endpoint: &Endpoint) -> Message;

    /// Reads an endpoint's report.
    fn report(&self, body: &[u8]) -> Option<Report>;

    /// Orders an endpoint to change its stage.
    fn command(&self, endpoint: &Endpoint, command: &Command<'_>) -> Message;

    /// Lets an endpoint forget a prompt's result.
    fn release_result(&self, endpoint: &Endpoint, result: &str) -> Message;
}

/// What an endpoint reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// What it does now.
    pub stage: Stage,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Orders that it has taken since its start.
    pub orders: u64,
}

/// An order to an endpoint.
#[derive(Clone, Debug)]
pub struct Command<'a> {
    /// The stage it is to have.
    pub stage: Stage,
    /// The entry that orders.
    pub holder: &'a str,
    /// Grows with every order of anybody.
    pub token: u64,
    /// Orders that the endpoint must have taken before: a late one is then refused.
    pub orders: u64,
}

/// Something that will be, boxed for use behind a trait object.
pub type Boxed<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The claim on orders, in the store.
pub trait Claims: Send + 'static {
    /// Reads the claim.
    fn read(&mut self) -> Boxed<'_, Result<Snapshot, String>>;

    /// Writes a claim if the row still has a version (0: if there is none); gives the new version,
    /// or nothing if somebody else was faster.
    fn write<'a>(
        &'a mut self,
        holder: &'a str,
        asked_ms: u64,
        version: u64,
    ) -> Boxed<'a, Result<Option<u64>, String>>;
}

/// What the store tells.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration; a larger order is newer.
    Catalog {
        /// Orders configurations.
        order: u64,
        /// The configuration.
        catalog: Arc<Catalog>,
        /// The same as the store holds it, for entries that cannot read it.
        source: Arc<[u8]>,
    },
    /// Endpoints.
    Listing(Listing),
    /// Endpoints, as another entry has them: says nothing of whether the store can be reached.
    ToldListing {
        /// What it has.
        listing: Listing,
        /// Version of the newest row that it has read.
        newest: u64,
    },
    /// An entry, and where it hears digests.
    Member(Member),
    /// The store cannot be reached.
    Lost {
        /// What was to be read.
        what: &'static str,
        /// Why it could not be.
        reason: String,
    },
    /// The store can be reached again.
    Regained {
        /// What is read again.
        what: &'static str,
    },
}
