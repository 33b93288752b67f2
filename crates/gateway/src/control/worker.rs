//! Control thread: owns the routing state, executes commands and runs periodic work.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use async_channel::{Receiver, Sender, WeakSender};
use async_std::{future::timeout, task};
use rustix::time::{ClockId, clock_gettime};
use tarragonhill_core::{
    Clock, Refusal, Time,
    gateway::{
        catalog::Catalog,
        digest::{Digest, Member},
        directory::Change as EndpointChange,
        fairness::{Change, Holding, Part},
        forecast::Forecast,
        health::Outcome,
        order::{Urgency, Waiting},
        origin::{Message, Origin, Searches, Stream},
        outage::Event,
        pace,
        placement::Filter,
        pools::Order,
        position::Position,
        queue::{Entry, Verdict},
        relay::{Delivery, Role},
        snapshot::Snapshot,
        speed::Speeds,
        state::{Assignment, ENDPOINT_RETRY_AFTER, Pair, State, no_endpoint, quarantined},
        suspect::{Report, Summary, Suspect},
        throttle::{Throttle, Throttles},
    },
    refusal::Code,
};

use super::{
    Command, Control, FORECAST_PROMPT_TOKENS, Permit, Permits, PermitsResult, ReplySender, Shared, lock,
    shutting_down,
};
use crate::edge::{Table, Update};

/// Interval of expiring state.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which the queue is checked while requests wait, so that expired requests are refused soon.
const QUEUE_TICK: Duration = Duration::from_millis(25);
/// Interval at which searches are checked, so that callers whose stream no peer knows are refused soon.
const SEARCH_TICK: Duration = Duration::from_millis(20);
/// Time after which the process counts as paused; the thread usually wakes up several times a second.
const PAUSE: Duration = Duration::from_secs(1);
/// Interval at which forecasts are logged; they explain refusals.
const FORECAST_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Digests to send to peers.
#[derive(Debug)]
pub enum Outgoing {
    /// A digest of this replica and its recipients.
    Digest(Box<Digest>, Vec<Member>),
    /// Digests of other replicas that this one passes on.
    Forwards(Vec<Delivery>),
}

/// Channels for the thread's output.
#[derive(Debug)]
pub struct Outputs {
    /// Digests for peers.
    pub digests: Sender<Outgoing>,
    /// Orders for endpoints.
    pub orders: Sender<Order>,
    /// Announcements and queries of streams, for peers.
    pub messages: Sender<(Member, Message)>,
    /// What is known of suspects, for the store. Holds the newest only.
    pub suspects: Sender<Vec<Report>>,
}

/// Starts the thread and returns a handle to it. The thread sends digests and orders to `outputs`.
pub fn start(
    state: State<ReplySender<PermitsResult>>,
    clock: Clock,
    outputs: Outputs,
) -> io::Result<Control> {
    let (commands, received) = async_channel::unbounded();
    let (initializing, initialized) = async_channel::bounded(1);
    let (registering, registered) = async_channel::bounded(1);
    let (recalling, recalled) = async_channel::bounded(1);
    let started = clock.now();
    let control = Control { commands, shared: Arc::default(), initialized, registered, recalled, started };
    // A weak handle, so that the thread ends once all other handles have been dropped.
    let commands = control.commands.downgrade();
    let (shared, initialized) = (control.shared.clone(), control.initialized.clone());
    let (registered, recalled) = (control.registered.clone(), control.recalled.clone());
    let weak_control = WeakControl { commands, shared, initialized, registered, recalled, started };
    let mut worker = Worker {
        state,
        searches: Searches::default(),
        clock,
        weak_control,
        source: None,
        registering: Some(registering),
        recalling: Some(recalling),
        initializing: Some(initializing),
        outputs,
        awake_at: since_boot(),
        last_tick: Time::ZERO,
        last_digest: Time::ZERO,
        last_forward: Time::ZERO,
        last_forecast_log: Time::ZERO,
        uneven: BTreeSet::new(),
        held_generation: 0,
        role: (false, None),
        yielding: BTreeSet::new(),
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(move || task::block_on(async move { worker.run(received).await }))?;
    Ok(control)
}

/// Weak form of [`Control`].
struct WeakControl {
    commands: WeakSender<Command>,
    shared: Arc<Mutex<Shared>>,
    initialized: Receiver<()>,
    registered: Receiver<()>,
    recalled: Receiver<()>,
    started: Time,
}

impl WeakControl {
    /// Returns a handle, or `None` once all other handles have been dropped.
    fn upgrade(&self) -> Option<Control> {
        let Self { commands, shared, initialized, registered, recalled, started } = self;
        Some(Control {
            commands: commands.upgrade()?,
            shared: shared.clone(),
            initialized: initialized.clone(),
            registered: registered.clone(),
            recalled: recalled.clone(),
            started: *started,
        })
    }
}

/// Whoever waits for the software version of a stream.
#[derive(Debug)]
struct Seeker {
    service: Arc<str>,
    /// How long a stream may have lasted.
    span: Duration,
    reply: ReplySender<Option<Arc<str>>>,
}

struct Worker {
    state: State<ReplySender<PermitsResult>>,
    /// Streams for which peers are queried.
    searches: Searches<Seeker>,
    clock: Clock,
    weak_control: WeakControl,
    /// Active configuration, encoded as in the store.
    source: Option<Arc<[u8]>>,
    /// Dropped once this process has written its row to the store.
    registering: Option<Sender<()>>,
    /// Dropped once the store's evidence on suspects has been read.
    recalling: Option<Sender<()>>,
    /// Dropped once configuration and endpoints have been read.
    initializing: Option<Sender<()>>,
    outputs: Outputs,
    /// When the thread last woke up, since the host's boot.
    awake_at: Duration,
    /// When state was last expired.
    last_tick: Time,
    /// When the last digest was sent.
    last_digest: Time,
    /// When digests of other replicas were last passed on.
    last_forward: Time,
    /// When forecasts were last logged.
    last_forecast_log: Time,
    /// Services whose endpoints differ much in speed.
    uneven: BTreeSet<Arc<str>>,
    /// Generation of the suspects that are held off which other threads know.
    held_generation: u64,
    /// Whether this replica is a relay, and the relay that it follows.
    role: (bool, Option<Arc<str>>),
    /// Services whose first request leaves memory to more urgent ones at peers, as logged.
    yielding: BTreeSet<Arc<str>>,
}

impl Worker {
    async fn run(&mut self, commands: Receiver<Command>) {
        loop {
            let tick = if self.state.queue_length() > 0 { QUEUE_TICK } else { TICK };
            let tick = if self.searches.is_empty() { tick } else { tick.min(SEARCH_TICK) };
            let tick = self.state.forward_interval().map_or(tick, |interval| tick.min(interval));
            let received = timeout(tick, commands.recv()).await;
            // Before any command: the process may have been paused while requests were waiting.
            self.notice_pause();
            match received {
                Ok(Ok(command)) => {
                    self.execute(command);
                    self.publish_evacuations();
                    self.publish_gate();
                    self.log_outages();
                    self.log_paces();
                    self.publish_awaited();
                    self.save_suspects();
                    self.publish_held();
                }
                Ok(Err(_)) => return,
                Err(_) => {}
            }
            self.tick();
        }
    }

    /// Notices that the process did not run for a while. The time since boot also counts while the host is suspended.
    fn notice_pause(&mut self) {
        let awake_at = since_boot();
        let paused = awake_at.saturating_sub(std::mem::replace(&mut self.awake_at, awake_at));
        if paused >= PAUSE {
            spdlog::warn!("process paused", kv: { ms = paused.as_millis() as u64 });
            self.state.record_pause(self.clock.now());
        }
    }

    /// Runs the periodic work that is due and places queued requests.
    fn tick(&mut self) {
        let now = self.clock.now();
        if now.since(self.last_tick) >= TICK {
            self.last_tick = now;
            lock(&self.weak_control.shared).is_stale = self.state.is_configuration_stale(now);
            let (changes, expired) = self.state.tick(now);
            log_changes(&changes);
            self.log_uneven();
            for peer in expired {
                spdlog::info!("peer expired", kv: { peer = &*peer });
            }
            if let Some(order) = self.state.next_order(now)
                && let Err(error) = self.outputs.orders.try_send(order)
            {
                self.state.cancel_order(now, &error.into_inner().endpoint.id);
            }
            self.log_outages();
            self.log_paces();
            let mut shared = lock(&self.weak_control.shared);
            shared.out_count = self.state.outages().out().count();
            shared.paced_count = self.state.paces().all().count();
            drop(shared);
            self.publish_shares();
            for (member, message) in self.state.take_announcements(now) {
                self.send_message(member, message);
            }
            self.log_yields(now);
        }
        for (member, sought) in self.searches.take_repeats(now) {
            self.send_message(member, Message { sought, ..Message::default() });
        }
        for (stream, seekers) in self.searches.expire(now) {
            self.give_up_search(now, Some(stream), seekers);
        }
        // If the channel is full, digests are dropped; later ones supersede them.
        if now.since(self.last_digest) >= self.state.digest_interval(now) {
            self.last_digest = now;
            let (digest, recipients) = self.state.next_digest(now);
            self.log_role();
            let _ = self.outputs.digests.try_send(Outgoing::Digest(Box::new(digest), recipients));
        }
        if let Some(interval) = self.state.forward_interval()
            && now.since(self.last_forward) >= interval
        {
            self.last_forward = now;
            let _ = self.outputs.digests.try_send(Outgoing::Forwards(self.state.take_forwards()));
        }
        if now.since(self.last_forecast_log) >= FORECAST_LOG_INTERVAL {
            self.last_forecast_log = now;
            log_forecasts(&self.state.forecasts());
        }
        self.state.retain_queued(|reply| !reply.is_closed());
        for (entry, verdict) in self.state.dispatch(now) {
            let result = match verdict {
                Verdict::Placed(pair) => self.permits(pair).ok_or_else(shutting_down),
                Verdict::Expired
                    if self.state.is_evacuated(now, &entry.service)
                        || self.state.lacks_version(now, &entry) =>
                {
                    Err(no_endpoint(ENDPOINT_RETRY_AFTER))
                }
                Verdict::Expired if self.state.is_held_off(&entry) => Err(quarantined(Duration::ZERO)),
                Verdict::Expired => Err(self.overloaded(now, &entry)),
            };
            // If the request has been cancelled, the permits are dropped here and thereby released.
            let _ = entry.tag.try_send(result);
        }
    }

    /// Sends a message to a peer. If the channel is full, it is lost like a datagram.
    fn send_message(&self, member: Member, message: Message) {
        let _ = self.outputs.messages.try_send((member, message));
    }

    /// Records that this replica relays a stream, and announces it to the owners.
    fn record_origin(&mut self, now: Time, origin: Origin) {
        for member in self.state.record_origin(now, &origin) {
            self.send_message(member, Message { origins: vec![origin.clone()], ..Message::default() });
        }
    }

    /// Finds the version that began a stream, here or at peers.
    fn find_origin(&mut self, now: Time, stream: Option<Stream>, seeker: Seeker) {
        let Some(stream) = stream else { return self.give_up_search(now, None, vec![seeker]) };
        if let Some(origin) = self.state.origin(now, stream) {
            let _ = seeker.reply.try_send(Some(origin.software_version));
            return;
        }
        let candidates = self.state.candidates(now, stream);
        if candidates.is_empty() {
            return self.give_up_search(now, Some(stream), vec![seeker]);
        }
        if self.searches.add(now, stream, &candidates, seeker) {
            for member in candidates {
                self.send_message(member, Message { sought: vec![stream], ..Message::default() });
            }
        }
    }

    fn receive_message(&mut self, now: Time, sender: Member, message: &Message) {
        let reply = self.state.apply_message(now, message);
        for origin in &message.origins {
            for seeker in self.searches.finish(origin.stream) {
                let _ = seeker.reply.try_send(Some(origin.software_version.clone()));
            }
        }
        for stream in &message.unknown {
            let seekers = self.searches.record_unknown(*stream, &sender.name);
            self.give_up_search(now, Some(*stream), seekers);
        }
        if !reply.is_empty() {
            self.send_message(sender, reply);
        }
    }

    /// Answers those who wait for a stream that no peer knows, or that is not named.
    fn give_up_search(&self, now: Time, stream: Option<Stream>, seekers: Vec<Seeker>) {
        for Seeker { service, span, reply } in seekers {
            let version = self.state.assumed_version(now, &service, span);
            let name = stream.map_or_else(String::new, |stream| format!("{:016x}", stream.0));
            spdlog::info!("stream not known", kv: {
                stream = name.as_str(), service = &*service,
                version = version.as_deref().unwrap_or(""), replicas = self.state.replica_count()
            });
            let _ = reply.try_send(version);
        }
    }

    /// Makes newer evacuations known to the threads that send to endpoints.
    fn publish_evacuations(&self) {
        let evacuations = self.state.directory().evacuations();
        let mut shared = lock(&self.weak_control.shared);
        if shared.evacuations == *evacuations {
            return;
        }
        let previous = std::mem::replace(&mut shared.evacuations, evacuations.clone());
        drop(shared);
        if !previous.zones().eq(evacuations.zones()) {
            let zones = evacuations.zones().map(|zone| &**zone).collect::<Vec<&str>>().join(",");
            let listed = self.state.directory().all();
            let endpoints = listed.filter(|endpoint| evacuations.contains(&endpoint.zone)).count();
            spdlog::info!("evacuations in force", kv: {
                zones = zones.as_str(), era = evacuations.position().era(), order = evacuations.position().version(),
                endpoints
            });
        }
    }

    /// Makes changes of the endpoints that take only few requests known to the threads that send to endpoints.
    fn publish_gate(&self) {
        let (gate, now) = (self.state.gate(), self.clock.now());
        let mut shared = lock(&self.weak_control.shared);
        let is_same = |one: &Throttles, other: &Throttles| one.generation() == other.generation();
        if is_same(&shared.gate.cold, &gate.cold) && is_same(&shared.gate.limited, &gate.limited) {
            return;
        }
        let previous = shared.gate.clone();
        shared.gate.cold.copy_list(&gate.cold);
        shared.gate.limited.copy_list(&gate.limited);
        drop(shared);
        for (endpoint, throttle) in newly_throttled(now, &previous.cold, &gate.cold) {
            spdlog::info!("endpoint cold", kv: {
                endpoint = &**endpoint, cold_ms = throttle.until.since(now).as_millis() as u64,
                is_owner = throttle.interval.is_some(), interval_ms = interval_ms(throttle)
            });
        }
        for (endpoint, throttle) in newly_throttled(now, &previous.limited, &gate.limited) {
            spdlog::info!("endpoint limited", kv: {
                endpoint = &**endpoint, requests_per_s = self.state.limits().get(endpoint).unwrap_or(0.0),
                is_owner = throttle.interval.is_some(), interval_ms = interval_ms(throttle)
            });
        }
        for (endpoint, _) in newly_throttled(now, &gate.limited, &previous.limited) {
            spdlog::info!("endpoint no longer limited", kv: { endpoint = &**endpoint });
        }
    }

    /// Logs changes of outages.
    fn log_outages(&mut self) {
        for event in self.state.take_outage_events() {
            match event {
                Event::Out { endpoint, reason, noticed_by, age } => spdlog::info!("endpoint out", kv: {
                    endpoint = &*endpoint, reason = <&'static str>::from(reason), noticed_by = &*noticed_by,
                    age_ms = age.as_millis() as u64
                }),
                Event::Back { endpoint, sign, after } => spdlog::info!("endpoint back", kv: {
                    endpoint = &*endpoint, sign = <&'static str>::from(sign), after_ms = after.as_millis() as u64
                }),
            }
        }
    }

    /// Logs changes of paces.
    fn log_paces(&mut self) {
        for event in self.state.take_pace_events() {
            match event {
                pace::Event::Paced { endpoint, limit } => {
                    spdlog::info!("endpoint paced", kv: { endpoint = &*endpoint, limit });
                }
                pace::Event::Full { endpoint, answers, after } => {
                    spdlog::info!("endpoint at full pace", kv: {
                        endpoint = &*endpoint, answers, after_ms = after.as_millis() as u64
                    })
                }
            }
        }
    }

    /// Logs which customers have begun or ceased to hold more than their share, and makes the number of yields known.
    fn publish_shares(&mut self) {
        for Change { owner, is_over, held, share } in self.state.take_share_changes() {
            spdlog::info!("customer share", kv: {
                service = &*owner.service, customer = &*owner.customer, is_over, held, share
            });
        }
        lock(&self.weak_control.shared).yields.to_customers = self.state.fairness().yields();
    }

    /// Makes the endpoints that may still read messages of ended requests known to the threads that read responses.
    fn publish_awaited(&self) {
        let awaited = self.state.awaited_endpoints();
        let mut shared = lock(&self.weak_control.shared);
        if shared.awaited != awaited {
            shared.awaited = awaited;
        }
    }

    /// Has new evidence on suspects written to the store.
    fn save_suspects(&mut self) {
        if let Some(reports) = self.state.take_unsaved_suspects(self.clock.now()) {
            // Replaces what the writer has not taken yet.
            let _ = self.outputs.suspects.force_send(reports);
        }
    }

    /// Makes changes of the suspects that are held off known to the threads that send to endpoints.
    fn publish_held(&mut self) {
        let now = self.clock.now();
        let suspects = self.state.suspects();
        if suspects.generation() == self.held_generation {
            return;
        }
        self.held_generation = suspects.generation();
        let previous = std::mem::replace(&mut lock(&self.weak_control.shared).held, suspects.held().clone());
        for suspect in suspects.held().difference(&previous) {
            let Summary { crashes, failed_trials, since_last } = suspects.summary(now, *suspect);
            let age_ms = since_last.as_millis() as u64;
            spdlog::warn!("suspect held off", kv: {
                suspect = hex(*suspect).as_str(), crashes, trials = failed_trials, age_ms
            });
        }
        for suspect in previous.difference(suspects.held()) {
            spdlog::info!("suspect no longer held off", kv: { suspect = hex(*suspect).as_str() });
        }
    }

    /// Logs when a service becomes uneven or even.
    fn log_uneven(&mut self) {
        let uneven = self.state.speeds().filter(|(_, speeds)| speeds.is_uneven());
        let uneven: BTreeSet<Arc<str>> = uneven.map(|(service, _)| service.clone()).collect();
        for service in uneven.symmetric_difference(&self.uneven) {
            let ratio =
                self.state.speeds().find(|(name, _)| *name == service).and_then(|(_, speeds)| speeds.ratio());
            spdlog::info!("endpoint speeds", kv: {
                service = &**service, uneven = uneven.contains(service), ratio = ratio.unwrap_or(0.0)
            });
        }
        self.uneven = uneven;
    }

    /// Logs a change of this replica's part in the exchange of digests and endpoints.
    fn log_role(&mut self) {
        let role = (self.state.is_relay(), followed(&self.state.role()).cloned());
        if role == self.role {
            return;
        }
        let follows = role.1.as_deref().unwrap_or("");
        spdlog::info!("relay role", kv: { relay = role.0, follows, replicas = self.state.replica_count() });
        self.role = role;
    }

    /// Logs the services whose requests begin or cease to leave memory to more urgent ones at peers.
    fn log_yields(&mut self, now: Time) {
        let yielding = self.state.yields().services(now);
        let yields = self.state.yields().count();
        for service in yielding.difference(&self.yielding) {
            let waiting = self.state.waiting_at_peers(now, service);
            let waiting = waiting.values().map(|waiting| waiting.count).sum::<u32>();
            spdlog::info!("yielding memory", kv: { service = &**service, waiting, yields });
        }
        for service in self.yielding.difference(&yielding) {
            spdlog::info!("no longer yielding memory", kv: { service = &**service, yields });
        }
        lock(&self.weak_control.shared).yields.to_urgent = yields;
        self.yielding = yielding;
    }

    /// Returns `None` once all handles have been dropped; then no request waits for the permit.
    fn permit(&self, assignment: Assignment) -> Option<Permit> {
        let Assignment { endpoint, lease, prefill_tokens, prefill_timeout } = assignment;
        let control = self.weak_control.upgrade()?;
        Some(Permit {
            endpoint,
            prefill_tokens,
            prefill_timeout,
            lease,
            outcome: Outcome::Abandoned,
            control,
        })
    }

    fn permits(&self, pair: Pair) -> Option<Permits> {
        let Pair { decode, prefill } = pair;
        let decode = self.permit(decode)?;
        Some(Permits { decode, prefill: prefill.and_then(|prefill| self.permit(prefill)) })
    }

    fn execute(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Admit(admission, reply) => drop(reply.try_send(self.state.admit(now, &admission))),
            Command::Refund(admission) => self.state.refund(&admission),
            Command::ChargeRetries(service, count, reply) => {
                let _ = reply.try_send(self.state.charge_retries(now, &service, count));
            }
            Command::ConcludeRetries(service, count) => self.state.conclude_retries(now, &service, count),
            Command::EndRetries(service, remainder) => self.state.end_retries(now, &service, remainder),
            Command::RecordRead(endpoint, sent) => self.state.record_read(now, &endpoint, sent),
            Command::IsSplit(service, reply) => drop(reply.try_send(self.state.is_split(now, &service))),
            Command::Place(service, avoid, version, reply) => {
                let filter = Filter { avoid: &avoid, software_version: version.as_deref() };
                let assignment = self.state.place_whole(now, &service, filter);
                drop(reply.try_send(
                    assignment.and_then(|assignment| self.permit(assignment).ok_or_else(shutting_down)),
                ));
            }
            Command::PlacePrompt(prompt, reply) => {
                let assignment = self.state.place_prefill(now, &prompt);
                drop(reply.try_send(assignment.and_then(|assignment| self.permit(assignment))));
            }
            Command::Enqueue(completion, reply) => self.state.enqueue(now, completion, reply),
            Command::Forecast(service, reply) => drop(reply.try_send(self.state.forecast(&service))),
            Command::Forecasts(reply) => drop(reply.try_send(self.state.forecasts())),
            Command::Observe(endpoint, observation) => {
                self.state.record_observation(now, &endpoint, observation)
            }
            Command::RecordEvents(lease, service, events) => {
                self.state.record_events(&lease, &service, events)
            }
            Command::RecordResponse(lease) => self.state.record_first_event(now, &lease),
            Command::Release(lease, outcome) => self.state.record_end(now, &lease, outcome),
            Command::RecordInterrupted(endpoint, suspects, run, is_trial) => {
                self.state.record_interrupted(now, &endpoint, &suspects, run, is_trial);
            }
            Command::RecordCompleted(endpoint, suspects, sent, is_trial) => {
                self.state.record_completed(now, &endpoint, &suspects, sent, is_trial);
            }
            Command::RecordAlive(endpoint, began) => self.state.record_alive(now, &endpoint, began),
            Command::RecordCrash(endpoint) => {
                let suspects = self.state.record_crash(now, &endpoint);
                spdlog::info!("crash recorded", kv: { endpoint = &*endpoint, suspects });
            }
            Command::EndTrial(suspects) => self.state.end_trial(now, &suspects),
            Command::RecordLeaving(endpoint, started_ms) => {
                if let Some(change) = self.state.record_leaving(&endpoint, started_ms) {
                    spdlog::info!("endpoint notice", kv: { endpoint = &*endpoint, leaving = true });
                    log_changes(&[change]);
                }
            }
            Command::RecordBackoff(endpoint, until) => {
                self.state.record_backoff(now, &endpoint, until);
                let retry_after_ms = until.since(now).as_millis() as u64;
                spdlog::info!("endpoint notice", kv: { endpoint = &*endpoint, retry_after_ms });
            }
            Command::RecordCold(endpoint, span) => self.state.record_cold(now, &endpoint, span),
            Command::RecordLimit(endpoint, limit) => self.state.record_limit(now, &endpoint, limit),
            Command::CancelOrder(endpoint) => self.state.cancel_order(now, &endpoint),
            Command::Update(update) => self.update(now, update),
            Command::Bundle(bundle) => self.state.apply_bundle(now, &bundle),
            Command::Message(sender, message) => self.receive_message(now, sender, &message),
            Command::RecordOrigin(origin) => self.record_origin(now, origin),
            Command::FindOrigin(stream, service, span, reply) => {
                self.find_origin(now, stream, Seeker { service, span, reply });
            }
            Command::Speeds(reply) => {
                let summary =
                    |(service, speeds): (&Arc<str>, &Speeds)| Some((service.clone(), speeds.summary(now)?));
                drop(reply.try_send(self.state.speeds().filter_map(summary).collect()));
            }
            Command::Snapshot(reply) => drop(reply.try_send(self.snapshot(now))),
            Command::NewerPeers(reply) => drop(reply.try_send(self.state.catch_up_peers(now))),
            Command::Versions(reply) => drop(reply.try_send(self.state.versions())),
            Command::Members(reply) => drop(reply.try_send(self.state.members())),
            Command::Role(reply) => drop(reply.try_send(self.state.role())),
            Command::Explain(query, reply) => drop(reply.try_send(self.state.explain(now, &query))),
            Command::Dump(reply) => drop(reply.try_send(self.dump(now))),
        }
    }

    fn overloaded(&mut self, now: Time, entry: &Entry<ReplySender<PermitsResult>>) -> Refusal {
        let why = self.state.describe(now, &entry.service);
        let message = format!("no endpoint memory becomes free before the deadline: {why}");
        Refusal::not_run(Code::Overloaded, message).with_retry_after(self.state.retry_after(now, entry))
    }

    fn update(&mut self, now: Time, update: Update) {
        match update {
            Update::Catalog { position, catalog, source } => self.adopt(now, position, catalog, source),
            Update::Evacuations(batch) => self.state.apply_evacuations(now, batch),
            Update::PeerEvacuations(evacuations) => self.state.merge_evacuations(now, &evacuations),
            Update::Listing(listing) => log_changes(&self.state.apply_listing(now, listing)),
            Update::PeerListing { listing, newest } => {
                log_changes(&self.state.apply_peer_listing(now, listing, newest));
            }
            Update::InvalidRow { what, key, reason } => {
                spdlog::warn!("invalid row", kv: { what, key = key.as_str(), reason = reason.as_str() });
            }
            Update::Member(member) => {
                spdlog::info!("peer read from the store", kv: { peer = &*member.name, address = member.address.to_string().as_str() });
                self.state.add_member(now, member);
            }
            Update::Registered { since_previous } => {
                let since_previous_ms = since_previous.map_or(0, |since| since.as_millis() as u64);
                spdlog::info!("registered", kv: { is_first = since_previous.is_none(), since_previous_ms });
                self.state.record_registered(since_previous);
                self.registering = None;
            }
            Update::Suspects(reports) => {
                self.state.apply_stored_suspects(now, &reports);
                self.recalling = None;
            }
            Update::MembersRead => self.state.mark_members_read(now),
            Update::Era(era) => self.record_era(now, era),
            Update::StoreLost { table, reason } => {
                let what: &'static str = table.into();
                spdlog::warn!("store lost", kv: { what, reason = reason.as_str() });
                if table == Table::Endpoints {
                    self.state.mark_store_unreachable(now);
                }
            }
            Update::StoreRecovered { table, since_failure } => {
                let returned = match table {
                    Table::Configuration => None,
                    Table::Endpoints => self.state.record_store_recovered(now, now.minus(since_failure)),
                };
                let (what, since_failure_ms): (&'static str, u64) =
                    (table.into(), since_failure.as_millis() as u64);
                let peer_contact_ms = returned.map_or(0, |returned| now.since(returned).as_millis() as u64);
                spdlog::info!("store recovered", kv: { what, since_failure_ms, peer_contact_ms });
            }
        }
        if self.state.is_ready() {
            self.initializing = None;
        }
    }

    fn snapshot(&self, now: Time) -> Option<Snapshot> {
        let configuration = self.source.clone()?;
        let versions = self.state.versions();
        let evacuations = self.state.directory().evacuations().report(now);
        Some(Snapshot { versions, configuration, evacuations, listing: self.state.listing(now) })
    }

    /// Activates a configuration, unless it is not newer than the active one.
    fn adopt(&mut self, now: Time, position: Position, catalog: Arc<Catalog>, source: Arc<[u8]>) {
        let (version, routes) = (catalog.version(), catalog.route_count());
        let (era, order) = (position.era(), position.version());
        if !self.state.apply_catalog(now, position, catalog.clone()) {
            let active = self.state.versions().configuration.version;
            spdlog::info!("outdated configuration ignored", kv: { version, active, era, order });
            return;
        }
        self.source = Some(source);
        lock(&self.weak_control.shared).catalog = Some(catalog);
        spdlog::info!("configuration in force", kv: { version, era, order, routes });
    }

    /// Records the era of the store's answers.
    fn record_era(&mut self, now: Time, era: u64) {
        let previous = lock(&self.weak_control.shared).era.map(|(era, _)| era);
        if previous >= Some(era) {
            return;
        }
        lock(&self.weak_control.shared).era = Some((era, now));
        let Some(previous) = previous else {
            spdlog::info!("store era", kv: { era });
            return;
        };
        spdlog::warn!("store came back from a copy", kv: { era, previous });
        self.state.record_store_return();
    }

    /// Returns what waits here and at peers, for the services whose requests are ordered across replicas.
    fn dump_waiting(&self, now: Time) -> serde_json::Value {
        let own = self.state.waiting(now);
        let ordered = self.state.ordered_services();
        let all = ordered.map(|service| {
            let here = own.get(service).map(waiting_json);
            let at_peers = waiting_json(&self.state.waiting_at_peers(now, service));
            (service.to_string(), serde_json::json!({ "here": here, "at_peers": at_peers }))
        });
        all.collect::<serde_json::Map<_, _>>().into()
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
                    "stage": endpoint.stage.to_string(), "leaving": endpoint.is_draining,
                    "running": all.running, "memory": all.memory, "reading": all.prefill_tokens,
                    "cold_ms": self.state.gate().cold.get(now, &endpoint.id).map(|cold| cold.until.since(now).as_millis() as u64),
                    "out": self.state.outages().is_out(&endpoint.id),
                    "pace": self.state.paces().limit(&endpoint.id),
                    "limit": self.state.limits().get(&endpoint.id),
                    "relative_interval": self.state.relative_interval(now, endpoint),
                    "failing": load.map(|load| load.health.failure_ratio(now)),
                })
            })
            .collect();
        let forecasts: serde_json::Map<String, serde_json::Value> = self
            .state
            .forecasts()
            .iter()
            .map(|(service, forecast)| (service.to_string(), forecast_json(forecast)))
            .collect();
        let shares: serde_json::Map<String, serde_json::Value> = self
            .state
            .fairness()
            .divisions()
            .map(|(service, parts)| (service.to_string(), shares_json(parts)))
            .collect();
        serde_json::json!({
            "version": self.state.catalog().map(|catalog| catalog.version()),
            "behind": lock(&self.weak_control.shared).is_stale,
            "endpoints": endpoints,
            "evacuated": self.state.directory().evacuations().zones().collect::<Vec<_>>(),
            "is_relay": self.state.is_relay(),
            "follows": followed(&self.state.role()),
            "left": self.state.tokens_left(now),
            "sharers": self.state.replica_count(),
            "registered": self.registering.is_none(),
            "waiting": self.state.queue_length(),
            "waiting_by_urgency": self.dump_waiting(now),
            "yields_to_urgent": self.state.yields().count(),
            "shares": shares,
            "yields_to_customers": self.state.fairness().yields(),
            "uneven": self.uneven,
            "forecasts": forecasts,
        })
    }
}

fn waiting_json(waiting: &BTreeMap<Urgency, Waiting>) -> serde_json::Value {
    let all = waiting.iter().map(|(urgency, waiting)| {
        serde_json::json!({
            "late": urgency.is_late, "priority": urgency.priority, "count": waiting.count,
            "memory": waiting.memory, "due_ms": waiting.due_in.as_millis() as u64,
        })
    });
    all.collect()
}

/// Returns the time since the host's boot, with the time in which it was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the relay whose endpoint table a replica with this role follows.
fn followed(role: &Role) -> Option<&Arc<str>> {
    match role {
        Role::Independent | Role::Reader => None,
        Role::Follower(relay) => Some(&relay.name),
    }
}

fn hex(Suspect(id): Suspect) -> String {
    format!("{id:016x}")
}

fn log_forecasts(forecasts: &BTreeMap<Arc<str>, Forecast>) {
    for (service, forecast) in forecasts {
        let known = forecast_json(forecast).to_string();
        spdlog::info!("forecast", kv: { service = &**service, known = known.as_str() });
    }
}

fn shares_json(parts: &BTreeMap<Arc<str>, Part>) -> serde_json::Value {
    let customers = parts.iter().map(|(customer, Part { holding: Holding { held, wanted }, share })| {
        (customer.to_string(), serde_json::json!({ "held": held, "wanted": wanted, "share": share }))
    });
    serde_json::Value::Object(customers.collect())
}

fn forecast_json(forecast: &Forecast) -> serde_json::Value {
    let output_length = forecast.output_length_or_default();
    serde_json::json!({
        "reading_us_per_token": forecast.prefill.map(|trend| trend.slope * 1e6),
        "own_reading_us_per_token": forecast.local_prefill.map(|trend| trend.slope * 1e6),
        "first_event_ms": forecast.first_event.map(|trend| trend.at(FORECAST_PROMPT_TOKENS).as_secs_f64() * 1e3),
        "event_us": forecast.event_interval.map(|_| forecast.typical_event_interval().as_micros() as u64),
        "tokens_per_event": forecast.output_length.map(|_| output_length.event_tokens),
        "estimate_spread": output_length.spread,
    })
}

/// Returns the endpoints of `new` that `old` lacks.
fn newly_throttled<'a>(
    now: Time,
    old: &'a Throttles,
    new: &'a Throttles,
) -> impl Iterator<Item = (&'a Arc<str>, &'a Throttle)> {
    new.all(now).filter(move |(endpoint, _)| old.get(now, endpoint).is_none())
}

fn interval_ms(throttle: &Throttle) -> u64 {
    throttle.interval.map_or(0, |interval| interval.as_millis() as u64)
}

fn log_changes(changes: &[EndpointChange]) {
    for change in changes {
        let (what, endpoint) = match change {
            EndpointChange::Updated(endpoint) => ("seen", endpoint),
            EndpointChange::Restarted(endpoint) => ("restarted", endpoint),
            EndpointChange::Draining(endpoint) => ("leaving", endpoint),
            EndpointChange::Lapsed(endpoint) => ("lapsed", endpoint),
            EndpointChange::Removed(endpoint) => ("gone", endpoint),
        };
        let stage: &'static str = endpoint.stage.into();
        spdlog::info!("endpoint", kv: {
            change = what, endpoint = &*endpoint.id, service = &*endpoint.service, zone = &*endpoint.zone, stage,
            address = endpoint.address.to_string().as_str(), version = &*endpoint.software_version
        });
    }
}
