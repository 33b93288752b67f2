//! Handle to the control thread, which owns the routing state.
//!
//! The thread itself is in [`worker`]. Placements are returned as [`Permit`]s.

pub mod worker;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt as _;
use strum::Display;
use tarragonhill_core::{
    Clock, Refusal, Time,
    gateway::{
        backoff::Backoffs,
        budget::Decision,
        catalog::Catalog,
        completion::{Completion, Prompt},
        digest::Member,
        directory::Endpoint,
        evacuation::Evacuations,
        forecast::{Forecast, Observation},
        health::Outcome,
        ledger::Remainder,
        load::Lease,
        origin::{Message, Origin, Stream},
        relay::{Bundle, Role},
        snapshot::Snapshot,
        speed::Summary,
        staleness::Versions,
        state::{
            Admission, Admitted,
            explain::{Explanation, Query, Unknown},
        },
        suspect::{Run, Suspect},
        throttle::{Cause, Gate},
    },
    refusal::Code,
};

use crate::edge::Update;

/// How long requests wait for the first read of the store after startup. Short enough that a caller can
/// still retry at another replica if the store is unreachable.
const INITIAL_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest number of unknown response fields that are remembered.
const MAX_UNKNOWN_FIELDS: usize = 32;

/// Prompt length for which forecasts are logged and exported, tokens.
pub(crate) const FORECAST_PROMPT_TOKENS: u64 = 1_000;

pub(crate) type ReplySender<T> = Sender<T>;
pub(crate) type PermitResult = Result<Permit, Refusal>;
pub(crate) type PermitsResult = Result<Permits, Refusal>;

pub(crate) enum Command {
    Admit(Admission, ReplySender<Result<Admitted, Refusal>>),
    Refund(Admission),
    ChargeRetries(Arc<str>, u32, ReplySender<Decision>),
    ConcludeRetries(Arc<str>, u32),
    EndRetries(Arc<str>, Remainder),
    RecordRead(Arc<str>, Time),
    IsSplit(Arc<str>, ReplySender<bool>),
    Place(Arc<str>, Vec<Arc<str>>, Option<Arc<str>>, ReplySender<PermitResult>),
    PlacePrompt(Prompt, ReplySender<Option<Permit>>),
    Enqueue(Completion, ReplySender<PermitsResult>),
    Forecast(Arc<str>, ReplySender<Forecast>),
    Forecasts(ReplySender<BTreeMap<Arc<str>, Forecast>>),
    Speeds(ReplySender<BTreeMap<Arc<str>, Summary>>),
    Observe(Arc<Endpoint>, Observation),
    RecordEvents(Lease, Arc<str>, u64),
    RecordResponse(Lease),
    Release(Lease, Outcome),
    RecordInterrupted(Arc<Endpoint>, Arc<[Suspect]>, Run, bool),
    RecordAlive(Arc<str>, Time),
    RecordCrash(Arc<str>),
    RecordCompleted(Arc<Endpoint>, Arc<[Suspect]>, Time, bool),
    EndTrial(Arc<[Suspect]>),
    RecordLeaving(Arc<str>, u64),
    RecordBackoff(Arc<str>, Time),
    RecordCold(Arc<str>, Duration),
    RecordLimit(Arc<str>, Option<f64>),
    CancelOrder(Arc<str>),
    Update(Update),
    Bundle(Box<Bundle>),
    Message(Member, Message),
    RecordOrigin(Origin),
    FindOrigin(Option<Stream>, Arc<str>, Duration, ReplySender<Option<Arc<str>>>),
    Snapshot(ReplySender<Option<Snapshot>>),
    NewerPeers(ReplySender<Vec<Member>>),
    Versions(ReplySender<Versions>),
    Members(ReplySender<Vec<Member>>),
    Role(ReplySender<Role>),
    Explain(Query, ReplySender<Result<Explanation, Unknown>>),
    Dump(ReplySender<serde_json::Value>),
}

/// Why no request may be sent to an endpoint, even if one has already been placed there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Block {
    /// The endpoint has asked for a backoff that is not over.
    #[strum(to_string = "the endpoint is backing off")]
    BackingOff,
    /// The operator has evacuated the endpoint's zone.
    #[strum(to_string = "the endpoint's zone is evacuated")]
    Evacuated,
    /// The endpoint is cold, and other replicas send to it, or this one has sent to it too often.
    #[strum(to_string = "the endpoint is cold")]
    Cold,
    /// Endpoints crash under the request or a part of its prompt.
    #[strum(to_string = "endpoints crash under the request")]
    HeldOff,
    /// The endpoint has named a limit, and other replicas send to it, or this one has sent to it too often.
    #[strum(to_string = "the endpoint's limit is reached")]
    Limited,
}

impl From<Cause> for Block {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::Cold => Self::Cold,
            Cause::Limited => Self::Limited,
        }
    }
}

/// Placement of a request on an endpoint. Dropping it releases the request's share of the endpoint's load.
pub struct Permit {
    /// Endpoint that the request is placed on.
    pub endpoint: Arc<Endpoint>,
    /// Prompt tokens queued at a prefill endpoint, including this prompt; zero for other placements.
    pub prefill_tokens: u64,
    /// Prefill timeout, after which another endpoint is tried; zero for other placements.
    pub prefill_timeout: Duration,
    lease: Lease,
    outcome: Outcome,
    control: Control,
}

impl Permit {
    /// Records that the response has begun.
    pub fn record_response(&mut self) {
        self.outcome = Outcome::Abandoned;
        self.control.send(Command::RecordResponse(self.lease.clone()));
        self.lease.clear_prefill();
    }

    /// Returns the memory reserved for the request, tokens.
    pub fn memory(&self) -> u64 {
        self.lease.share.memory
    }

    /// Records an observation of the endpoint.
    pub fn observe(&self, observation: Observation) {
        self.control.send(Command::Observe(self.endpoint.clone(), observation));
    }

    /// Records events that the endpoint generated within `span`.
    pub fn record_events(&self, events: u64, span: Duration) {
        self.observe(Observation::Events { events, span });
        self.control.send(Command::RecordEvents(self.lease.clone(), self.endpoint.service.clone(), events));
    }

    /// Releases the permit with the outcome of the request.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.control.send(Command::Release(self.lease.clone(), self.outcome));
    }
}

/// Placements of a completion.
pub struct Permits {
    /// Endpoint that generates the tokens.
    pub decode: Permit,
    /// Endpoint that prefills the prompt; `None` if the decode endpoint does so itself.
    pub prefill: Option<Permit>,
}

/// How often requests left memory to others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Yields {
    /// To more urgent requests at peers.
    pub to_urgent: u64,
    /// To customers within their shares.
    pub to_customers: u64,
}

/// State that other threads read directly.
#[derive(Default)]
struct Shared {
    /// `None` before the first configuration.
    catalog: Option<Arc<Catalog>>,
    /// Era of the store, and since when it is known.
    era: Option<(u64, Time)>,
    /// Whether a peer has a newer configuration.
    is_stale: bool,
    /// Backoffs of endpoints, for requests that were placed before an endpoint asked for one.
    backoffs: Backoffs,
    /// Evacuated zones, for requests that were placed before the evacuation.
    evacuations: Evacuations,
    /// Endpoints that take only few requests, and when requests were sent to them.
    gate: Gate,
    /// Suspects that are held off, for requests that were admitted before.
    held: BTreeSet<Suspect>,
    /// Endpoints that may still read messages of requests that have ended.
    awaited: BTreeSet<Arc<str>>,
    /// Names of response fields that the gateway does not know, in lowercase.
    unknown_fields: BTreeSet<String>,
    /// Number of endpoints that have ended as far as this replica knows.
    out_count: usize,
    /// Number of endpoints that do not take their full share yet.
    paced_count: usize,
    /// How often requests left memory to others.
    yields: Yields,
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Handle to the control thread.
#[derive(Clone)]
pub struct Control {
    commands: Sender<Command>,
    shared: Arc<Mutex<Shared>>,
    /// Closed once configuration and endpoints have been read; no message is ever sent.
    initialized: Receiver<()>,
    /// Closed once the process has registered, likewise.
    registered: Receiver<()>,
    /// Closed once the store's evidence on suspects has been read, likewise.
    recalled: Receiver<()>,
    started: Time,
}

impl Control {
    /// Waits until configuration, endpoints and suspects have been read and the process has registered, at most until
    /// `INITIAL_READ_TIMEOUT` after startup. Without the wait, requests that arrive during the first read would be refused, or
    /// charged to token buckets that are still empty.
    pub async fn wait_initialized(&self, clock: &Clock) {
        let left = INITIAL_READ_TIMEOUT.saturating_sub(clock.now().since(self.started));
        let read = async {
            let _ = self.initialized.recv().await;
            let _ = self.registered.recv().await;
            let _ = self.recalled.recv().await;
        };
        read.or(clock.sleep(left)).await;
    }

    /// Returns the active configuration.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        lock(&self.shared).catalog.clone()
    }

    /// Returns for how long an era of the store has been known to be the newest.
    pub fn era_age(&self, now: Time, era: u64) -> Duration {
        let known = lock(&self.shared).era.filter(|(known, _)| *known == era);
        known.map_or(Duration::ZERO, |(_, since)| now.since(since))
    }

    /// Returns whether a peer has a newer configuration.
    pub fn is_stale(&self) -> bool {
        lock(&self.shared).is_stale
    }

    fn send(&self, command: Command) {
        // Fails only once the control thread has ended, at process exit.
        let _ = self.commands.try_send(command);
    }

    async fn request<T>(&self, command: impl FnOnce(ReplySender<T>) -> Command) -> Option<T> {
        let (sender, reply) = async_channel::bounded(1);
        self.send(command(sender));
        reply.recv().await.ok()
    }

    /// Admits a request and charges its customer, or refuses it.
    pub async fn admit(&self, admission: Admission) -> Result<Admitted, Refusal> {
        self.request(|reply| Command::Admit(admission, reply)).await.unwrap_or(Err(shutting_down()))
    }

    /// Refunds the charge for a request that has not run.
    pub fn refund(&self, admission: Admission) {
        self.send(Command::Refund(admission));
    }

    /// Charges `count` retries to the service's retry budget, or none if fewer are left. Returns `None` if the control
    /// thread has ended.
    pub async fn charge_retries(&self, service: &Arc<str>, count: u32) -> Option<Decision> {
        self.request(|reply| Command::ChargeRetries(service.clone(), count, reply)).await
    }

    /// Records that the messages of `count` charges were read.
    pub fn conclude_retries(&self, service: &Arc<str>, count: u32) {
        if count > 0 {
            self.send(Command::ConcludeRetries(service.clone(), count));
        }
    }

    /// Records the end of a request.
    pub fn end_retries(&self, service: &Arc<str>, remainder: Remainder) {
        if remainder != Remainder::default() {
            self.send(Command::EndRetries(service.clone(), remainder));
        }
    }

    /// Records that an endpoint has read a message that was sent at `sent`.
    pub fn record_read(&self, endpoint: &Arc<str>, sent: Time) {
        // Rarely awaited, so that most responses need no command.
        if lock(&self.shared).awaited.contains(endpoint) {
            self.send(Command::RecordRead(endpoint.clone(), sent));
        }
    }

    /// Returns whether a service has separate prefill and decode endpoints.
    pub async fn is_split(&self, service: &Arc<str>) -> bool {
        self.request(|reply| Command::IsSplit(service.clone(), reply)).await.unwrap_or(false)
    }

    /// Places a whole request on an endpoint that is not in `avoid` and has the software version, if one is given.
    pub async fn place(
        &self,
        service: &Arc<str>,
        avoid: &[Arc<str>],
        version: Option<&Arc<str>>,
    ) -> PermitResult {
        let place = |reply| Command::Place(service.clone(), avoid.to_vec(), version.cloned(), reply);
        let placed = self.request(place).await;
        placed.unwrap_or(Err(shutting_down()))
    }

    /// Places a prompt on a prefill endpoint; `None` if no endpoint is available.
    pub async fn place_prompt(&self, prompt: Prompt) -> Option<Permit> {
        self.request(|reply| Command::PlacePrompt(prompt, reply)).await.flatten()
    }

    /// Queues a completion and waits for its placement.
    pub async fn place_completion(&self, completion: Completion) -> PermitsResult {
        let placed = self.request(|reply| Command::Enqueue(completion, reply));
        placed.await.unwrap_or(Err(shutting_down()))
    }

    /// Returns the forecast for a service.
    pub async fn forecast(&self, service: &Arc<str>) -> Forecast {
        self.request(|reply| Command::Forecast(service.clone(), reply)).await.unwrap_or_default()
    }

    /// Returns the forecasts for all services.
    pub async fn forecasts(&self) -> BTreeMap<Arc<str>, Forecast> {
        self.request(Command::Forecasts).await.unwrap_or_default()
    }

    /// Returns how the speeds of each service's decode endpoints differ.
    pub async fn speeds(&self) -> BTreeMap<Arc<str>, Summary> {
        self.request(Command::Speeds).await.unwrap_or_default()
    }

    /// Returns whether a request with any of these suspects is held off.
    pub fn holds(&self, suspects: &[Suspect]) -> bool {
        let shared = lock(&self.shared);
        !shared.held.is_empty() && suspects.iter().any(|suspect| shared.held.contains(suspect))
    }

    /// Records that a request was interrupted at an endpoint, which may have been running it.
    pub fn record_interrupted(
        &self,
        endpoint: &Arc<Endpoint>,
        suspects: &Arc<[Suspect]>,
        run: Run,
        is_trial: bool,
    ) {
        self.send(Command::RecordInterrupted(endpoint.clone(), suspects.clone(), run, is_trial));
    }

    /// Records that a run from the beginning of a request, which was sent at `sent`, has brought its whole response.
    pub fn record_completed(
        &self,
        endpoint: &Arc<Endpoint>,
        suspects: &Arc<[Suspect]>,
        sent: Time,
        is_trial: bool,
    ) {
        self.send(Command::RecordCompleted(endpoint.clone(), suspects.clone(), sent, is_trial));
    }

    /// Records that an endpoint was found alive by a check that began at `began`.
    pub fn record_alive(&self, endpoint: &Arc<str>, began: Time) {
        self.send(Command::RecordAlive(endpoint.clone(), began));
    }

    /// Records that an endpoint was found crashed.
    pub fn record_crash(&self, endpoint: &Arc<str>) {
        self.send(Command::RecordCrash(endpoint.clone()));
    }

    /// Records that a request that was admitted as a trial has ended or failed.
    pub fn end_trial(&self, suspects: &Arc<[Suspect]>) {
        self.send(Command::EndTrial(suspects.clone()));
    }

    /// Records that an endpoint said that it is leaving.
    pub fn record_leaving(&self, endpoint: &Endpoint) {
        self.send(Command::RecordLeaving(endpoint.id.clone(), endpoint.started_ms));
    }

    /// Records that an endpoint has asked for a backoff of `span`.
    pub fn record_backoff(&self, now: Time, endpoint: &Endpoint, span: Duration) {
        let until = now.plus(span);
        lock(&self.shared).backoffs.record(now, &endpoint.id, until);
        self.send(Command::RecordBackoff(endpoint.id.clone(), until));
    }

    /// Returns why nothing may be sent to an endpoint at the moment; `None` if it may.
    pub fn block(&self, now: Time, endpoint: &Endpoint) -> Option<Block> {
        let shared = lock(&self.shared);
        if shared.evacuations.contains(&endpoint.zone) {
            return Some(Block::Evacuated);
        }
        let is_backing_off = !shared.backoffs.remaining(now, &endpoint.id).is_zero();
        is_backing_off.then_some(Block::BackingOff)
    }

    /// Takes a turn to send a request to an endpoint, and returns when. Fails if the endpoint takes only few requests
    /// and there is no turn within `limit`.
    pub fn take_turn(&self, now: Time, endpoint: &Endpoint, limit: Duration) -> Result<Time, Block> {
        lock(&self.shared).gate.take(now, &endpoint.id, limit).map_err(Block::from)
    }

    /// Returns how often requests left memory to others.
    pub fn yields(&self) -> Yields {
        lock(&self.shared).yields
    }

    /// Returns the number of cold endpoints.
    pub fn cold_count(&self, now: Time) -> usize {
        lock(&self.shared).gate.cold.all(now).count()
    }

    /// Returns the number of endpoints that have ended as far as this replica knows.
    pub fn out_count(&self) -> usize {
        lock(&self.shared).out_count
    }

    /// Returns the number of endpoints that do not take their full share yet.
    pub fn paced_count(&self) -> usize {
        lock(&self.shared).paced_count
    }

    /// Returns the number of endpoints that name a limit.
    pub fn limited_count(&self, now: Time) -> usize {
        lock(&self.shared).gate.limited.all(now).count()
    }

    /// Records the limit that an endpoint named in a response, or that it named none.
    pub fn record_limit(&self, now: Time, endpoint: &Endpoint, limit: Option<f64>) {
        // Most endpoints have no limit, and then there is nothing to record.
        if limit.is_some() || lock(&self.shared).gate.limited.get(now, &endpoint.id).is_some() {
            self.send(Command::RecordLimit(endpoint.id.clone(), limit));
        }
    }

    /// Records that an endpoint said that it is cold for `span`.
    pub fn record_cold(&self, now: Time, endpoint: &Endpoint, span: Duration) {
        let is_known = lock(&self.shared).gate.cold.get(now, &endpoint.id).is_some();
        if !is_known {
            self.send(Command::RecordCold(endpoint.id.clone(), span));
        }
    }

    /// Records the name of a response field that the gateway does not know. Returns whether it is a new one; a limited
    /// number of names is remembered.
    pub fn record_unknown_field(&self, name: &str) -> bool {
        let mut shared = lock(&self.shared);
        let is_full = shared.unknown_fields.len() >= MAX_UNKNOWN_FIELDS;
        !is_full && shared.unknown_fields.insert(name.to_ascii_lowercase())
    }

    /// Returns the names of the response fields that the gateway does not know.
    pub fn unknown_fields(&self) -> BTreeSet<String> {
        lock(&self.shared).unknown_fields.clone()
    }

    /// Returns the evacuated zones.
    pub fn evacuations(&self) -> Evacuations {
        lock(&self.shared).evacuations.clone()
    }

    /// Records that an order was not carried out.
    pub fn cancel_order(&self, endpoint: &Arc<str>) {
        self.send(Command::CancelOrder(endpoint.clone()));
    }

    /// Applies an update of the local copy of the store.
    pub fn update(&self, update: Update) {
        self.send(Command::Update(update));
    }

    /// Applies the digests of a datagram received from a peer.
    pub fn receive_bundle(&self, bundle: Bundle) {
        self.send(Command::Bundle(Box::new(bundle)));
    }

    /// Applies a peer's announcements of streams and queries for them.
    pub fn receive_message(&self, sender: Member, message: Message) {
        self.send(Command::Message(sender, message));
    }

    /// Records the version that began a stream whose events this replica relays.
    pub fn record_origin(&self, origin: Origin) {
        self.send(Command::RecordOrigin(origin));
    }

    /// Returns the software version that began a stream of a service; `None` if it is not known. The stream may not be
    /// named, and may have lasted for `span`.
    pub async fn find_origin(
        &self,
        stream: Option<Stream>,
        service: &Arc<str>,
        span: Duration,
    ) -> Option<Arc<str>> {
        self.request(|reply| Command::FindOrigin(stream, service.clone(), span, reply)).await.flatten()
    }

    /// Returns a snapshot of the local copy of the store; `None` before the first configuration.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        self.request(Command::Snapshot).await.flatten()
    }

    /// Returns the peers that have data which the store should have delivered here by now.
    pub async fn newer_peers(&self) -> Vec<Member> {
        self.request(Command::NewerPeers).await.unwrap_or_default()
    }

    /// Returns the versions of the local copy of the store.
    pub async fn versions(&self) -> Versions {
        self.request(Command::Versions).await.unwrap_or_default()
    }

    /// Returns the known peers.
    pub async fn members(&self) -> Vec<Member> {
        self.request(Command::Members).await.unwrap_or_default()
    }

    /// Returns where this replica reads the endpoint table.
    pub async fn role(&self) -> Role {
        self.request(Command::Role).await.unwrap_or(Role::Independent)
    }

    /// Returns whether configuration and endpoints have been read.
    pub fn is_initialized(&self) -> bool {
        self.initialized.is_closed()
    }

    /// Explains where a request would go now; `None` if the control thread has ended.
    pub async fn explain(&self, query: Query) -> Option<Result<Explanation, Unknown>> {
        self.request(|reply| Command::Explain(query, reply)).await
    }

    /// Returns the routing state for the admin address.
    pub async fn dump(&self) -> serde_json::Value {
        self.request(Command::Dump).await.unwrap_or_default()
    }
}

fn shutting_down() -> Refusal {
    Refusal::not_run(Code::ShuttingDown, "the gateway is shutting down")
}
