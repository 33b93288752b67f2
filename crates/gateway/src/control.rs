//! The handle by which traffic asks the control thread.
//!
//! The thread itself is in [`worker`]; traffic gets places from it as [`Ticket`]s.

pub mod worker;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt as _;
use tarragonhill_core::{
    Clock, Refusal, Time,
    gateway::{
        catalog::Catalog,
        completion::{Completion, Prompt},
        digest::{Digest, Member},
        directory::Endpoint,
        forecast::{Forecast, Observation},
        health::Outcome,
        knowledge::Knowledge,
        load::Lease,
        staleness::Versions,
        state::Admission,
    },
    refusal::Code,
};

use crate::edge::Update;

/// Age at which a process that has read nothing gives callers up at once: ten times what the store
/// takes when it is there, and short enough for a caller that bears a second to go elsewhere.
const FIRST_READING: Duration = Duration::from_millis(300);

/// Prompt tokens for which forecasts are shown.
pub(crate) const PROMPT_SHOWN: u64 = 1_000;

/// Whom to answer.
pub(crate) type Reply<T> = Sender<T>;
/// A place, or why there is none.
pub(crate) type Placing = Result<Ticket, Refusal>;
/// The places of a completion, or why there are none.
pub(crate) type Pairing = Result<Tickets, Refusal>;

pub(crate) enum Command {
    Admit(Admission, Reply<Result<(), Refusal>>),
    GiveBack(Admission),
    Retry(Arc<str>, Reply<bool>),
    IsSplit(Arc<str>, Reply<bool>),
    Whole(Arc<str>, Vec<Arc<str>>, Reply<Placing>),
    Prefill(Prompt, Reply<Option<Ticket>>),
    LineUp(Completion, Reply<Pairing>),
    Forecast(Arc<str>, Reply<Forecast>),
    Forecasts(Reply<BTreeMap<Arc<str>, Forecast>>),
    Observed(Arc<Endpoint>, Observation),
    Made(Lease, Arc<str>, u64),
    Answered(Lease),
    Ended(Lease, Outcome),
    Broke(Arc<str>, u64),
    OrderDropped(Arc<str>),
    Update(Update),
    Digest(Box<Digest>, SocketAddr),
    Knowledge(Reply<Option<Knowledge>>),
    Ahead(Reply<Vec<Member>>),
    Versions(Reply<Versions>),
    Members(Reply<Vec<Member>>),
    Dump(Reply<serde_json::Value>),
}

/// A request's place at an endpoint; given back when dropped.
pub struct Ticket {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Prompt tokens to be read there, those before it included; zero if it is no reader's place.
    pub tokens: u64,
    /// How long to wait for its prompt to be read before another endpoint is asked; zero likewise.
    pub limit: Duration,
    lease: Lease,
    outcome: Outcome,
    control: Control,
}

impl Ticket {
    /// The answer has begun.
    pub fn answered(&mut self) {
        self.outcome = Outcome::Abandoned;
        self.control.tell(Command::Answered(self.lease.clone()));
        self.lease.clear_prefill();
    }

    /// Tokens of memory that are promised to the request.
    pub fn memory(&self) -> u64 {
        self.lease.share.memory
    }

    /// What the request showed of the endpoint.
    pub fn observed(&self, observation: Observation) {
        self.control.tell(Command::Observed(self.endpoint.clone(), observation));
    }

    /// Events that the run has made, and the time since those before.
    pub fn paced(&self, events: u64, span: Duration) {
        self.observed(Observation::Events { events, span });
        self.control.tell(Command::Made(self.lease.clone(), self.endpoint.service.clone(), events));
    }

    /// How the request ended here.
    pub fn ended(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.control.tell(Command::Ended(self.lease.clone(), self.outcome));
    }
}

/// A completion's places.
pub struct Tickets {
    /// Where its tokens are made.
    pub run: Ticket,
    /// Where its prompt is read; without one, where its tokens are made.
    pub reader: Option<Ticket>,
}

/// The configuration that requests are served by.
#[derive(Default)]
struct InForce {
    /// None before the first.
    catalog: Option<Arc<Catalog>>,
    /// Whether another entry has a newer one.
    is_behind: bool,
}

fn lock(in_force: &Mutex<InForce>) -> MutexGuard<'_, InForce> {
    in_force.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A handle on the control thread.
#[derive(Clone)]
pub struct Control {
    commands: Sender<Command>,
    in_force: Arc<Mutex<InForce>>,
    /// Closed once configuration and endpoints have been read; nothing is ever sent.
    informed: Receiver<()>,
    started: Time,
}

impl Control {
    /// Waits until configuration and endpoints have been read, or until it is plain that the store
    /// is away: a process that has just started reads them within some 30 ms, and a caller that came
    /// before that would lose its only repeat to a refusal.
    pub async fn informed(&self, clock: &Clock) {
        let left = FIRST_READING.saturating_sub(clock.now().since(self.started));
        // Either it is informed, or requests are refused for want of a configuration.
        let read = async {
            let _ = self.informed.recv().await;
        };
        read.or(clock.sleep(left)).await;
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        lock(&self.in_force).catalog.clone()
    }

    /// Whether another entry has a newer one.
    pub fn is_behind(&self) -> bool {
        lock(&self.in_force).is_behind
    }

    fn tell(&self, command: Command) {
        // Fails only once the control thread has ended, with the process.
        let _ = self.commands.try_send(command);
    }

    async fn ask<T>(&self, command: impl FnOnce(Reply<T>) -> Command) -> Option<T> {
        let (reply, answer) = async_channel::bounded(1);
        self.tell(command(reply));
        answer.recv().await.ok()
    }

    /// Whether a request may run at all; charges its customer if so.
    pub async fn admit(&self, admission: Admission) -> Result<(), Refusal> {
        self.ask(|reply| Command::Admit(admission, reply)).await.unwrap_or(Err(stopping()))
    }

    /// Gives back what a request was charged that nobody ran.
    pub fn give_back(&self, admission: Admission) {
        self.tell(Command::GiveBack(admission));
    }

    /// Whether a request may be sent to a further endpoint.
    pub async fn retry(&self, service: &Arc<str>) -> bool {
        self.ask(|reply| Command::Retry(service.clone(), reply)).await.unwrap_or(false)
    }

    /// Whether a service reads prompts and makes tokens at different endpoints.
    pub async fn is_split(&self, service: &Arc<str>) -> bool {
        self.ask(|reply| Command::IsSplit(service.clone(), reply)).await.unwrap_or(false)
    }

    /// A place for a whole request.
    pub async fn whole(&self, service: &Arc<str>, avoid: &[Arc<str>]) -> Placing {
        let asked = self.ask(|reply| Command::Whole(service.clone(), avoid.to_vec(), reply)).await;
        asked.unwrap_or(Err(stopping()))
    }

    /// A place for reading a prompt.
    pub async fn prefill(&self, prompt: Prompt) -> Option<Ticket> {
        self.ask(|reply| Command::Prefill(prompt, reply)).await.flatten()
    }

    /// Waits for the places of a completion.
    pub async fn decode(&self, completion: Completion) -> Pairing {
        let asked = self.ask(|reply| Command::LineUp(completion, reply));
        asked.await.unwrap_or(Err(stopping()))
    }

    /// What is known of a service's endpoints together.
    pub async fn forecast(&self, service: &Arc<str>) -> Forecast {
        self.ask(|reply| Command::Forecast(service.clone(), reply)).await.unwrap_or_default()
    }

    /// The same for all services.
    pub async fn forecasts(&self) -> BTreeMap<Arc<str>, Forecast> {
        self.ask(Command::Forecasts).await.unwrap_or_default()
    }

    /// A request broke off at an endpoint.
    pub fn broke(&self, endpoint: &Arc<str>, fingerprint: u64) {
        self.tell(Command::Broke(endpoint.clone(), fingerprint));
    }

    /// An order was not carried out.
    pub fn order_dropped(&self, endpoint: &Arc<str>) {
        self.tell(Command::OrderDropped(endpoint.clone()));
    }

    /// Takes what the store tells.
    pub fn update(&self, update: Update) {
        self.tell(Command::Update(update));
    }

    /// Takes another entry's digest.
    pub fn digest(&self, digest: Digest, from: SocketAddr) {
        self.tell(Command::Digest(Box::new(digest), from));
    }

    /// What has been read from the store; nothing before the first configuration.
    pub async fn knowledge(&self) -> Option<Knowledge> {
        self.ask(Command::Knowledge).await.flatten()
    }

    /// The entries to ask for what the store should have given by now; none while nothing is overdue.
    pub async fn ahead(&self) -> Vec<Member> {
        self.ask(Command::Ahead).await.unwrap_or_default()
    }

    /// How new this entry's copy of the store is.
    pub async fn versions(&self) -> Versions {
        self.ask(Command::Versions).await.unwrap_or_default()
    }

    /// The other entries.
    pub async fn members(&self) -> Vec<Member> {
        self.ask(Command::Members).await.unwrap_or_default()
    }

    /// Whether configuration and endpoints have been read.
    pub fn is_informed(&self) -> bool {
        self.informed.is_closed()
    }

    /// What the process believes, for people.
    pub async fn dump(&self) -> serde_json::Value {
        self.ask(Command::Dump).await.unwrap_or_default()
    }
}

fn stopping() -> Refusal {
    Refusal::not_run(Code::ShuttingDown, "the process is stopping")
}
