//! The control thread: owns the state, carries out what traffic asks, and lets time pass.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use async_channel::{Receiver, Sender, WeakSender};
use async_std::{future::timeout, task};
use tarragonhill_core::{
    Clock, Refusal, Time,
    gateway::{
        budget::Rule,
        catalog::Catalog,
        digest::{Digest, Member},
        directory::Change,
        forecast::Forecast,
        health::Outcome,
        knowledge::Knowledge,
        pools::Order,
        queue::Verdict,
        state::{Identity, Pair, Place, State},
    },
    refusal::Code,
};

use super::{Command, Control, InForce, PROMPT_SHOWN, Pairing, Reply, Ticket, Tickets, lock, stopping};
use crate::edge::Update;

/// How often time alone is looked at: digests are sent and lapsed things settled. What others have
/// taken is seen this late, and a burst brings two or three streams to an entry meanwhile; twice as often
/// would cost twice the bytes between zones.
const TICK: Duration = Duration::from_millis(100);
/// Shortest time between two digests, where the others should hear at once.
const URGENT_TICK: Duration = Duration::from_millis(25);
/// The same while requests wait, so that one that waits in vain is told soon.
const BUSY_TICK: Duration = Duration::from_millis(25);
/// How often forecasts are logged, so that a refusal can be traced to what was believed.
const LOG_FORECASTS: Duration = Duration::from_secs(2);

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

/// Starts the thread and gives a handle on it; digests to be sent and orders to be given come out of
/// `outgoing`.
pub fn start(identity: Identity, retries: Rule, clock: Clock, outgoing: Outlets) -> io::Result<Control> {
    let (commands, received) = async_channel::unbounded();
    let (uninformed, informed) = async_channel::bounded(1);
    let started = clock.now();
    let control = Control { commands, in_force: Arc::default(), informed, started };
    let state = State::new(identity, retries, started);
    // Held weakly: the thread ends when the traffic has dropped its last handle.
    let commands = control.commands.downgrade();
    let (in_force, informed) = (control.in_force.clone(), control.informed.clone());
    let shared = Shared { commands, in_force, informed, started };
    let uninformed = Some(uninformed);
    let mut worker = Worker {
        state,
        clock,
        shared,
        source: None,
        uninformed,
        outgoing,
        told: Time::ZERO,
        logged: Time::ZERO,
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(move || task::block_on(async move { worker.run(received).await }))?;
    Ok(control)
}

/// What a handle is made of, held weakly.
struct Shared {
    commands: WeakSender<Command>,
    in_force: Arc<Mutex<InForce>>,
    informed: Receiver<()>,
    started: Time,
}

impl Shared {
    /// Nothing once the traffic has ended.
    fn control(&self) -> Option<Control> {
        let Self { commands, in_force, informed, started } = self;
        let (in_force, informed) = (in_force.clone(), informed.clone());
        Some(Control { commands: commands.upgrade()?, in_force, informed, started: *started })
    }
}

/// The control thread's own.
struct Worker {
    state: State<Reply<Pairing>>,
    clock: Clock,
    shared: Shared,
    /// The configuration in force as the store holds it.
    source: Option<Arc<[u8]>>,
    /// Dropped once configuration and endpoints have been read.
    uninformed: Option<Sender<()>>,
    outgoing: Outlets,
    /// When the last digest was sent.
    told: Time,
    /// When forecasts were last logged.
    logged: Time,
}

impl Worker {
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
        let since = now.since(self.told);
        if since >= TICK || (since >= URGENT_TICK && self.state.is_urgent()) {
            self.told = now;
            lock(&self.shared.in_force).is_behind = self.state.is_behind(now);
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
        if now.since(self.logged) >= LOG_FORECASTS {
            self.logged = now;
            log_forecasts(&self.state.forecasts());
        }
        self.state.retain_line(|reply| !reply.is_closed());
        for (waiting, verdict) in self.state.pump(now) {
            let placing = match verdict {
                Verdict::Placed(pair) => self.tickets(pair).ok_or_else(stopping),
                Verdict::Expired => Err(self.overloaded(now, &waiting.service)),
            };
            // A ticket whose asker is gone is dropped here, which gives it back.
            let _ = waiting.tag.try_send(placing);
        }
    }

    /// Nothing once the traffic has ended: then nobody waits for it either.
    fn ticket(&self, place: Place) -> Option<Ticket> {
        let Place { endpoint, lease, tokens, limit } = place;
        let control = self.shared.control()?;
        Some(Ticket { endpoint, tokens, limit, lease, outcome: Outcome::Abandoned, control })
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
            Command::Prefill(prompt, reply) => {
                let place = self.state.prefill(now, &prompt);
                drop(reply.try_send(place.and_then(|place| self.ticket(place))));
            }
            Command::LineUp(completion, reply) => self.state.line_up(now, completion, reply),
            Command::Forecast(service, reply) => drop(reply.try_send(self.state.forecast(&service))),
            Command::Forecasts(reply) => drop(reply.try_send(self.state.forecasts())),
            Command::Observed(endpoint, observation) => self.state.observed(now, &endpoint, observation),
            Command::Made(lease, service, events) => self.state.made(&lease, &service, events),
            Command::Answered(lease) => self.state.answered(now, &lease),
            Command::Ended(lease, outcome) => self.state.ended(now, &lease, outcome),
            Command::Broke(endpoint, fingerprint) => self.state.broke(now, &endpoint, fingerprint),
            Command::OrderDropped(endpoint) => self.state.order_dropped(&endpoint),
            Command::Update(update) => self.update(now, update),
            Command::Digest(digest, from) => self.state.heard(now, &digest, from),
            Command::Knowledge(reply) => drop(reply.try_send(self.knowledge())),
            Command::Ahead(reply) => drop(reply.try_send(self.state.ahead(now))),
            Command::Versions(reply) => drop(reply.try_send(self.state.versions())),
            Command::Members(reply) => drop(reply.try_send(self.state.members())),
            Command::Dump(reply) => drop(reply.try_send(self.dump(now))),
        }
    }

    fn overloaded(&self, now: Time, service: &str) -> Refusal {
        let why = self.state.describe(now, service);
        let message = format!("no memory becomes free in time: {why}");
        Refusal::not_run(Code::Overloaded, message).with_retry_after(self.state.memory_free_after(service))
    }

    fn update(&mut self, now: Time, update: Update) {
        match update {
            Update::Catalog { order, catalog, source } => self.adopt(now, order, catalog, source),
            Update::Listing(listing) => log_changes(&self.state.list(now, listing)),
            Update::ToldListing { listing, newest } => {
                log_changes(&self.state.told(now, listing, newest));
            }
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
        let configuration = self.source.clone()?;
        let versions = self.state.versions();
        Some(Knowledge { versions, configuration, listing: self.state.listing() })
    }

    fn adopt(&mut self, now: Time, order: u64, catalog: Arc<Catalog>, source: Arc<[u8]>) {
        let (version, routes) = (catalog.version(), catalog.route_count());
        if !self.state.adopt(now, order, catalog.clone()) {
            spdlog::info!("older configuration ignored", kv: { version, order });
            return;
        }
        self.source = Some(source);
        lock(&self.shared.in_force).catalog = Some(catalog);
        spdlog::info!("configuration in force", kv: { version, order, routes });
    }

    fn dump(&mut self, now: Time) -> serde_json::Value {
        let endpoints: Vec<serde_json::Value> = self
            .state
            .directory()
            .all()
            .map(|endpoint| {
                let load = self.state.loads().get(&endpoint.id);
                let all = load.map(|load| load.total(now)).unwrap_or_default();
                serde_json::json!({
                    "id": endpoint.id, "service": endpoint.service, "zone": endpoint.zone,
                    "stage": endpoint.stage.to_string(), "leaving": endpoint.leaving,
                    "running": all.running, "memory": all.memory, "reading": all.reading,
                    "failing": load.map(|load| load.health.failing(now)),
                })
            })
            .collect();
        let forecasts: serde_json::Map<String, serde_json::Value> = self
            .state
            .forecasts()
            .iter()
            .map(|(service, forecast)| (service.to_string(), forecast_json(forecast)))
            .collect();
        serde_json::json!({
            "version": self.state.catalog().map(|catalog| catalog.version()),
            "behind": lock(&self.shared.in_force).is_behind,
            "endpoints": endpoints,
            "left": self.state.left(now),
            "sharers": self.state.sharers(),
            "waiting": self.state.line_length(),
            "forecasts": forecasts,
        })
    }
}

fn log_forecasts(forecasts: &BTreeMap<Arc<str>, Forecast>) {
    for (service, forecast) in forecasts {
        let known = forecast_json(forecast).to_string();
        spdlog::info!("forecast", kv: { service = &**service, known = known.as_str() });
    }
}

fn forecast_json(forecast: &Forecast) -> serde_json::Value {
    let answer = forecast.output_length_or_default();
    serde_json::json!({
        "reading_us_per_token": forecast.prefill.map(|trend| trend.slope * 1e6),
        "own_reading_us_per_token": forecast.local_prefill.map(|trend| trend.slope * 1e6),
        "first_event_ms": forecast.first_event.map(|trend| trend.at(PROMPT_SHOWN).as_secs_f64() * 1e3),
        "event_us": forecast.event_interval.map(|_| forecast.typical_event_interval().as_micros() as u64),
        "tokens_per_event": forecast.output_length.map(|_| answer.event_tokens),
        "estimate_spread": answer.spread,
    })
}

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
