//! The control thread, and the handle by which traffic asks it.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use async_channel::{Receiver, Sender, WeakSender};
use async_std::{future::timeout, task};
use futures_lite::FutureExt as _;
use tarragonhill_core::{
    Clock, Refusal, Time,
    gateway::{
        budget::Rule,
        catalog::Catalog,
        digest::{Digest, Member},
        directory::{Change, Endpoint},
        health::Outcome,
        knowledge::Knowledge,
        line::{Verdict, Waiting},
        load::Lease,
        pools::Order,
        state::{Admission, Identity, Pair, Place, State},
    },
    refusal::Code,
};

use crate::edge::Update;

/// How often time alone is looked at: digests are sent and lapsed things settled. What others have
/// taken is seen this late, and a burst brings two or three streams to an entry meanwhile. With 0.2 s,
/// 17,613 of 25,710 streams were on time on heavy days; with this, 17,764, for a tenth more bytes
/// between zones.
const TICK: Duration = Duration::from_millis(100);
/// The same while requests wait, so that one that waits in vain is told soon.
const BUSY_TICK: Duration = Duration::from_millis(25);

/// Age at which a process that has read nothing gives callers up at once: ten times what the store
/// takes when it is there, and short enough for a caller that bears a second to go elsewhere.
const FIRST_READING: Duration = Duration::from_millis(300);

/// Whom to answer.
type Reply<T> = Sender<T>;
/// A place, or why there is none.
type Placing = Result<Ticket, Refusal>;
/// The places of a completion, or why there are none.
type Pairing = Result<Tickets, Refusal>;

enum Command {
    Admit(Admission, Reply<Result<(), Refusal>>),
    GiveBack(Admission),
    Retry(Arc<str>, Reply<bool>),
    IsSplit(Arc<str>, Reply<bool>),
    Whole(Arc<str>, Vec<Arc<str>>, Reply<Placing>),
    Prefill(Reading, Reply<Option<Ticket>>),
    LineUp(Waiting<Reply<Pairing>>),
    Answered(Lease),
    Ended(Lease, Outcome),
    Broke(Arc<str>, u64),
    OrderDropped(Arc<str>),
    Update(Update),
    Digest(Box<Digest>, SocketAddr),
    Knowledge(Reply<Option<Knowledge>>),
    Members(Reply<Vec<Member>>),
    Dump(Reply<serde_json::Value>),
}

/// A prompt that is to be read.
#[derive(Clone, Debug)]
pub struct Reading {
    /// The service.
    pub service: Arc<str>,
    /// Prompt tokens.
    pub tokens: u64,
    /// The availability zone where the result goes.
    pub zone: Arc<str>,
    /// Endpoints that have failed it.
    pub avoid: Vec<Arc<str>>,
}

/// A request's place at an endpoint; given back when dropped.
pub struct Ticket {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Prompt tokens that were to be read there before it.
    pub ahead: u64,
    lease: Lease,
    outcome: Outcome,
    control: Control,
}

impl Ticket {
    /// The answer has begun.
    pub fn answered(&mut self) {
        self.outcome = Outcome::Abandoned;
        self.control.tell(Command::Answered(self.lease.clone()));
        self.lease.read();
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

/// A handle on the control thread.
#[derive(Clone)]
pub struct Control {
    commands: Sender<Command>,
    catalog: Arc<Mutex<Option<Arc<Catalog>>>>,
    /// Closed once configuration and endpoints have been read; nothing is ever sent.
    informed: Receiver<()>,
    started: Time,
}

/// A digest that is to be sent, and to whom.
pub type Outgoing = (Digest, Vec<Member>);

/// Where the thread's own actions go.
#[derive(Debug)]
pub struct Outlets {
    /// Digests for the other entries.
    pub digests: Sender<Outgoing>,
    /// Orders for endpoints.
    pub orders: Sender<Order>,
}

impl Control {
    /// Starts the thread; digests to be sent and orders to be given come out of `outgoing`.
    pub fn start(identity: Identity, retries: Rule, clock: Clock, outgoing: Outlets) -> io::Result<Self> {
        let (commands, received) = async_channel::unbounded();
        let (uninformed, informed) = async_channel::bounded(1);
        let started = clock.now();
        let control = Self { commands, catalog: Arc::default(), informed, started };
        let state = State::new(identity, retries, started);
        // Held weakly: the thread ends when the traffic has dropped its last handle.
        let commands = control.commands.downgrade();
        let (catalog, informed) = (control.catalog.clone(), control.informed.clone());
        let shared = Shared { commands, catalog, informed, started };
        let uninformed = Some(uninformed);
        let mut desk = Desk { state, clock, shared, source: None, uninformed, outgoing, told: Time::ZERO };
        thread::Builder::new()
            .name("control".into())
            .spawn(move || task::block_on(async move { desk.run(received).await }))?;
        Ok(control)
    }

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
        self.catalog.lock().unwrap_or_else(PoisonError::into_inner).clone()
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
    pub async fn prefill(&self, reading: Reading) -> Option<Ticket> {
        self.ask(|reply| Command::Prefill(reading, reply)).await.flatten()
    }

    /// Waits for the places of a completion.
    pub async fn decode(&self, waiting: Waiting<()>) -> Pairing {
        let asked = self.ask(|reply| Command::LineUp(waiting.tagged(reply)));
        asked.await.unwrap_or(Err(stopping()))
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

/// What a handle is made of, held weakly.
struct Shared {
    commands: WeakSender<Command>,
    catalog: Arc<Mutex<Option<Arc<Catalog>>>>,
    informed: Receiver<()>,
    started: Time,
}

impl Shared {
    /// Nothing once the traffic has ended.
    fn control(&self) -> Option<Control> {
        let Self { commands, catalog, informed, started } = self;
        let (catalog, informed) = (catalog.clone(), informed.clone());
        Some(Control { commands: commands.upgrade()?, catalog, informed, started: *started })
    }
}

/// The control thread's own.
struct Desk {
    state: State<Reply<Pairing>>,
    clock: Clock,
    shared: Shared,
    /// The configuration in force as the store holds it, and its order.
    source: Option<(u64, Arc<[u8]>)>,
    /// Dropped once configuration and endpoints have been read.
    uninformed: Option<Sender<()>>,
    outgoing: Outlets,
    /// When the last digest was sent.
    told: Time,
}

impl Desk {
    async fn run(&mut self, commands: Receiver<Command>) {
        loop {
            let tick = if self.state.line_length() > 0 { BUSY_TICK } else { TICK };
            match timeout(tick, commands.recv()).await {
                Ok(Ok(command)) => self.take(command),
                Ok(Err(_)) => return,
                Err(_) => {}
            }
            self.pass_time();
        }
    }

    fn pass_time(&mut self) {
        let now = self.clock.now();
        if now.since(self.told) >= TICK {
            self.told = now;
            let (changes, gone) = self.state.settle(now);
            log_changes(&changes);
            for peer in gone {
                spdlog::info!("entry forgotten", kv: { peer = &*peer });
            }
            // Full only while the sender is behind; the next digest says the same and more.
            let _ = self.outgoing.digests.try_send(self.state.digest(now));
            if let Some(order) = self.state.order(now)
                && let Err(error) = self.outgoing.orders.try_send(order)
            {
                self.state.order_dropped(&error.into_inner().endpoint.id);
            }
        }
        self.state.retain_line(|reply| !reply.is_closed());
        for (waiting, verdict) in self.state.pump(now) {
            let placing = match verdict {
                Verdict::Placed(pair) => self.tickets(pair).ok_or_else(stopping),
                Verdict::Hopeless => Err(overloaded(self.state.describe(now, &waiting.service))),
            };
            // A ticket whose asker is gone is dropped here, which gives it back.
            let _ = waiting.tag.try_send(placing);
        }
    }

    /// Nothing once the traffic has ended: then nobody waits for it either.
    fn ticket(&self, place: Place) -> Option<Ticket> {
        let Place { endpoint, lease, ahead } = place;
        let control = self.shared.control()?;
        Some(Ticket { endpoint, ahead, lease, outcome: Outcome::Abandoned, control })
    }

    fn tickets(&self, pair: Pair) -> Option<Tickets> {
        let Pair { run, reader } = pair;
        let run = self.ticket(run)?;
        Some(Tickets { run, reader: reader.and_then(|reader| self.ticket(reader)) })
    }

    fn take(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Admit(admission, reply) => drop(reply.try_send(self.state.admit(now, &admission))),
            Command::GiveBack(admission) => self.state.give_back(&admission),
            Command::Retry(service, reply) => drop(reply.try_send(self.state.retry(now, &service))),
            Command::IsSplit(service, reply) => drop(reply.try_send(self.state.is_split(now, &service))),
            Command::Whole(service, avoid, reply) => {
                let place = self.state.whole(now, &service, &avoid);
                drop(reply.try_send(place.and_then(|place| self.ticket(place).ok_or_else(stopping))));
            }
            Command::Prefill(reading, reply) => {
                let Reading { service, tokens, zone, avoid } = &reading;
                let place = self.state.prefill(now, service, *tokens, zone, avoid);
                drop(reply.try_send(place.and_then(|place| self.ticket(place))));
            }
            Command::LineUp(waiting) => self.state.line_up(now, waiting),
            Command::Answered(lease) => self.state.answered(now, &lease),
            Command::Ended(lease, outcome) => self.state.ended(now, &lease, outcome),
            Command::Broke(endpoint, fingerprint) => self.state.broke(now, &endpoint, fingerprint),
            Command::OrderDropped(endpoint) => self.state.order_dropped(&endpoint),
            Command::Update(update) => self.update(now, update),
            Command::Digest(digest, from) => self.state.heard(now, &digest, from),
            Command::Knowledge(reply) => drop(reply.try_send(self.knowledge())),
            Command::Members(reply) => drop(reply.try_send(self.state.members())),
            Command::Dump(reply) => drop(reply.try_send(self.dump(now))),
        }
    }

    fn update(&mut self, now: Time, update: Update) {
        match update {
            Update::Catalog { order, catalog, source } => self.adopt(now, order, catalog, source),
            Update::Listing(listing) => log_changes(&self.state.list(now, listing)),
            Update::ToldListing(listing) => log_changes(&self.state.told(now, listing)),
            Update::Member(member) => {
                spdlog::info!("entry named", kv: { peer = &*member.name, address = member.address.to_string().as_str() });
                self.state.member(now, member);
            }
            Update::Lost { what, reason } => {
                spdlog::warn!("store lost", kv: { what, reason = reason.as_str() });
                self.state.store_lost();
            }
            Update::Regained { what } => spdlog::info!("store regained", kv: { what }),
        }
        if self.state.is_informed() {
            self.uninformed = None;
        }
    }

    fn knowledge(&self) -> Option<Knowledge> {
        let (order, configuration) = self.source.clone()?;
        Some(Knowledge { order, configuration, listing: self.state.listing() })
    }

    fn adopt(&mut self, now: Time, order: u64, catalog: Arc<Catalog>, source: Arc<[u8]>) {
        let (version, routes) = (catalog.version(), catalog.route_count());
        if !self.state.adopt(now, order, catalog.clone()) {
            spdlog::info!("older configuration ignored", kv: { version, order });
            return;
        }
        self.source = Some((order, source));
        *self.shared.catalog.lock().unwrap_or_else(PoisonError::into_inner) = Some(catalog);
        spdlog::info!("configuration in force", kv: { version, order, routes });
    }

    fn dump(&mut self, now: Time) -> serde_json::Value {
        let endpoints: Vec<serde_json::Value> = self
            .state
            .directory()
            .all()
            .map(|endpoint| {
                let load = self.state.loads().get(&endpoint.id);
                let all = load.map(|load| load.all(now)).unwrap_or_default();
                serde_json::json!({
                    "id": endpoint.id, "service": endpoint.service, "zone": endpoint.zone,
                    "stage": endpoint.stage.to_string(), "leaving": endpoint.leaving,
                    "running": all.running, "memory": all.memory, "reading": all.reading,
                    "failing": load.map(|load| load.health.failing(now)),
                })
            })
            .collect();
        serde_json::json!({
            "version": self.state.catalog().map(|catalog| catalog.version()),
            "endpoints": endpoints,
            "left": self.state.left(now),
            "sharers": self.state.sharers(),
            "waiting": self.state.line_length(),
        })
    }
}

fn overloaded(why: String) -> Refusal {
    let message = format!("no memory becomes free in time: {why}");
    Refusal::not_run(Code::Overloaded, message).retry_after(LINE_SHORTER)
}

/// What a caller is told that waited in vain: about half the time a run takes, after which half of
/// what is in memory has ended.
const LINE_SHORTER: Duration = Duration::from_millis(1_500);

fn log_changes(changes: &[Change]) {
    for change in changes {
        let (what, endpoint) = match change {
            Change::Seen(endpoint) => ("seen", endpoint),
            Change::Restarted(endpoint) => ("restarted", endpoint),
            Change::Leaving(endpoint) => ("leaving", endpoint),
            Change::Lapsed(endpoint) => ("lapsed", endpoint),
            Change::Gone(endpoint) => ("gone", endpoint),
        };
        let stage: &'static str = endpoint.stage.into();
        spdlog::info!("endpoint", kv: {
            change = what, endpoint = &*endpoint.id, service = &*endpoint.service, zone = &*endpoint.zone, stage,
            address = endpoint.address.to_string().as_str()
        });
    }
}
