//! Everything that one entry's decisions rest on, behind one door.
//!
//! The control thread owns it. `T` is whom to answer when a request that waits is placed.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::{
    allowance::{Allowance, Totals},
    budget::{Budget, Rule},
    catalog::{Catalog, Customer, Engine},
    completion::{Completion, Prompt, target_or_default},
    digest::{Digest, Member, Peers, Share},
    directory::{Change, Directory, Endpoint, Row, Stage},
    forecast::{Forecast, Forecasts, Observation},
    growth::Growth,
    health::Outcome,
    load::{Estimate, Lease, Loads},
    placement::{Partition, Placement, Prefill, Run, View, headroom},
    pools::{Order, Pools, ServiceInfo},
    queue::{Entry, Queue, Verdict},
    staleness::{Staleness, Versions},
    suspect::Suspects,
};
use crate::{
    clock::Time,
    refusal::{Code, Refusal},
};

/// What callers are told to wait when an endpoint is expected back soon.
pub const COME_BACK: Duration = Duration::from_millis(1_000);
/// Soonest and latest that a caller is told to come back that waited in vain for memory: sooner it would
/// meet the same runs, later it has often left.
const SOONEST_BACK: Duration = Duration::from_millis(300);
const LATEST_BACK: Duration = Duration::from_millis(3_000);
/// Times of an event that the runs of a decode endpoint get between two prompts that it reads beside
/// them: with the second right behind the first, an event that falls between both waits for both.
const REST_EVENTS: u32 = 2;
/// Digests of which one carries forecasts; one that starts has them within a second.
const FORECASTS_EVERY: u64 = 10;

/// Who this entry is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Tells starts of one name apart; drawn at random.
    pub incarnation: u64,
    /// Where it hears digests.
    pub address: SocketAddr,
}

/// An endpoint for a request, and the request's part in its load.
#[derive(Clone, Debug)]
pub struct Place {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// To be given back when the request ends there.
    pub lease: Lease,
    /// Prompt tokens to be read there, those before it included; zero if it is no reader's place.
    pub tokens: u64,
    /// How long to wait for its prompt to be read before another endpoint is asked; zero likewise.
    pub limit: Duration,
}

/// A list of endpoints, or a part that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Version of the list.
    pub version: u64,
    /// Whether rows that are missing are gone.
    pub whole: bool,
    /// The rows.
    pub rows: Vec<Row>,
}

/// What a request asks to be admitted with.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Who calls.
    pub customer: Option<Arc<Customer>>,
    /// Tokens it counts for.
    pub tokens: u64,
    /// Where it goes.
    pub service: Arc<str>,
    /// Digest of customer, path and body.
    pub fingerprint: u64,
}

/// Where a completion runs.
#[derive(Clone, Debug)]
pub struct Pair {
    /// Where its tokens are made.
    pub run: Place,
    /// Where its prompt is read; without one, where its tokens are made.
    pub reader: Option<Place>,
}

/// Whom to answer, and how.
pub type Placed<T> = (Entry<T>, Verdict<Pair>);

/// The state of one entry.
#[derive(Debug)]
pub struct State<T> {
    identity: Identity,
    catalog: Option<Arc<Catalog>>,
    /// What was read of the store; orders versions of the catalog, larger is newer.
    staleness: Staleness,
    directory: Directory,
    loads: Loads,
    allowance: Allowance,
    budget: Budget,
    peers: Peers,
    line: Queue<T>,
    suspects: Suspects,
    pools: Pools,
    forecasts: Forecasts,
    serial: u64,
}

impl<T> State<T> {
    /// The state of an entry that starts now.
    pub fn new(identity: Identity, retries: Rule, now: Time) -> Self {
        Self {
            peers: Peers::new(identity.name.clone()),
            identity,
            catalog: None,
            staleness: Staleness::default(),
            directory: Directory::default(),
            loads: Loads::default(),
            allowance: Allowance::new(now),
            budget: Budget::new(retries, now),
            line: Queue::default(),
            suspects: Suspects::default(),
            pools: Pools::default(),
            forecasts: Forecasts::default(),
            serial: 0,
        }
    }

    /// Puts a configuration in force, unless it is older than the one that is; says whether it did.
    pub fn adopt(&mut self, now: Time, order: u64, catalog: Arc<Catalog>) -> bool {
        if self.catalog.is_some() && order <= self.staleness.own().configuration {
            return false;
        }
        self.allowance.adjust(now, catalog.customers());
        self.staleness.read_configuration(now, order);
        self.catalog = Some(catalog);
        true
    }

    /// Takes a list of endpoints that the store gave.
    pub fn list(&mut self, now: Time, listing: Listing) -> Vec<Change> {
        self.directory.heard(now);
        self.take_listing(now, listing)
    }

    /// Takes the list of another entry, whose newest row is `newest`.
    pub fn told(&mut self, now: Time, mut listing: Listing, newest: u64) -> Vec<Change> {
        // What the other one leaves out may only have lapsed while the store was away.
        listing.whole &= !self.directory.is_known();
        let changes = self.take_listing(now, listing);
        self.staleness.read_endpoints(now, newest);
        changes
    }

    fn take_listing(&mut self, now: Time, listing: Listing) -> Vec<Change> {
        let changes = if listing.whole {
            self.directory.replace(now, listing.version, listing.rows)
        } else {
            self.directory.update(now, listing.version, listing.rows)
        };
        self.staleness.read_endpoints(now, self.directory.newest_row());
        self.follow(now, &changes);
        changes
    }

    fn follow(&mut self, now: Time, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Restarted(endpoint) => {
                    self.suspects.crashed(now, &endpoint.id);
                    self.pools.cancel(&endpoint.id);
                }
                Change::Gone(endpoint) => {
                    self.suspects.crashed(now, &endpoint.id);
                    self.loads.forget(&endpoint.id);
                    self.forecasts.forget(&endpoint.service, &endpoint.id);
                }
                Change::Seen(endpoint) => self.pools.confirm(endpoint),
                Change::Leaving(_) | Change::Lapsed(_) => {}
            }
        }
    }

    /// The store cannot be reached.
    pub fn store_lost(&mut self) {
        self.directory.lost();
    }

    /// Takes an entry that the store names.
    pub fn member(&mut self, now: Time, member: Member) {
        self.peers.named(now, member);
    }

    /// Takes another entry's digest.
    pub fn heard(&mut self, now: Time, digest: &Digest, from: SocketAddr) {
        if !self.peers.heard(now, digest, from) {
            return;
        }
        self.staleness.heard(now, digest.versions);
        self.allowance.heard(now, digest);
        self.loads.merge_digest(now, digest);
        self.suspects.heard(digest);
        self.forecasts.merge_peer(&digest.name, &digest.forecasts);
        for (endpoint, change) in &digest.changing {
            self.pools.merge_change(now, endpoint, *change);
        }
    }

    /// Whether the others should hear of this entry before its next digest is due.
    pub fn is_urgent(&self) -> bool {
        self.allowance.is_urgent()
    }

    /// What this entry tells the others, and whom.
    pub fn digest(&mut self, now: Time) -> (Digest, Vec<Member>) {
        self.serial += 1;
        let Totals { spent, left } = self.allowance.take_totals(now);
        let own = Member { name: self.identity.name.clone(), address: self.identity.address };
        let members = self.peers.heard_of_late(now).chain([own]).collect();
        let digest = Digest {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            serial: self.serial,
            members,
            spent,
            left,
            shares: self.loads.local(),
            failing: self.loads.local_failure_ratios(now),
            changing: self.pools.changes(now),
            suspects: self.suspects.told(now),
            versions: self.staleness.own(),
            forecasts: if self.serial.is_multiple_of(FORECASTS_EVERY) {
                self.forecasts.local()
            } else {
                BTreeMap::new()
            },
        };
        (digest, self.peers.members().collect())
    }

    /// What passes by itself with time; call it several times a second.
    pub fn settle(&mut self, now: Time) -> (Vec<Change>, Vec<Arc<str>>) {
        let gone = self.peers.settle(now);
        for peer in &gone {
            self.allowance.forget(peer);
            self.suspects.forget(peer);
            self.forecasts.forget_peer(peer);
        }
        self.allowance.settle(now, &self.peers);
        self.forecasts.recompute();
        let changes = self.directory.settle(now);
        self.follow(now, &changes);
        (changes, gone)
    }

    /// Whether a request may run at all; charges its customer if so.
    pub fn admit(&mut self, now: Time, admission: &Admission) -> Result<(), Refusal> {
        if self.suspects.is_refused(now, admission.fingerprint) {
            return Err(Refusal::not_run(Code::Quarantined, "this request has crashed endpoints"));
        }
        if let Some(customer) = &admission.customer
            && let Err(wait) = self.allowance.spend(now, &customer.name, admission.tokens)
        {
            let left = self.allowance.left_to(&customer.name);
            let Customer { name, rate, burst, .. } = &**customer;
            let asked = admission.tokens;
            let message = format!("{name} has {left} tokens left, asked {asked}; rate {rate}, burst {burst}");
            return Err(Refusal::not_run(Code::OverRate, message).with_retry_after(wait));
        }
        self.budget.record_request(now, &admission.service);
        Ok(())
    }

    /// Gives back what a request was charged that nobody ran.
    pub fn give_back(&mut self, admission: &Admission) {
        if let Some(customer) = &admission.customer {
            self.allowance.give_back(&customer.name, admission.tokens);
        }
    }

    /// Whether a request may be sent to a further endpoint; pays for it if so.
    pub fn retry(&mut self, now: Time, service: &Arc<str>) -> bool {
        self.budget.try_spend(now, service, self.peers.count())
    }

    /// What a service's requests are split into, at this moment.
    pub fn is_split(&self, now: Time, service: &str) -> bool {
        let view = self.view(now);
        view.has_stage(service, Stage::Decode) || view.has_stage(service, Stage::Prefill)
    }

    /// An endpoint for a whole request.
    pub fn whole(&mut self, now: Time, service: &str, avoid: &[Arc<str>]) -> Result<Place, Refusal> {
        let found = self.view(now).whole(service, avoid);
        let share = Share { running: 1, ..Share::default() };
        found.map(|endpoint| self.take(now, endpoint, share, None)).ok_or_else(no_endpoint)
    }

    /// A further endpoint that reads a prompt; none if none can.
    pub fn prefill(&mut self, now: Time, prompt: &Prompt) -> Option<Place> {
        let Prompt { service, tokens, ttft_target, zone, avoid } = prompt;
        let ttft_target = target_or_default(*ttft_target);
        let Prefill::Endpoint(endpoint) = self.view(now).prefill(service, *tokens, ttft_target, zone, avoid)
        else {
            return None;
        };
        Some(self.take_reader(now, endpoint, *tokens, ttft_target))
    }

    /// Lines a completion up for a decode endpoint; whoever is placed then comes out of [`Self::pump`].
    pub fn line_up(&mut self, now: Time, completion: Completion, tag: T) {
        let forecast = self.forecasts.service(&completion.service);
        let engine = self.engine(&completion.service);
        if let Some(engine) = &engine {
            self.pools.record_request(now, &completion.service, engine, completion.size);
        }
        let mut waiting = completion.into_entry(&forecast, tag);
        // What is larger than an endpoint's memory runs alone, as far as its answer fits.
        waiting.memory = waiting.memory.min(engine.map_or(u64::MAX, |engine| engine.memory));
        self.line.push(waiting);
    }

    fn engine(&self, service: &str) -> Option<Engine> {
        self.catalog.as_ref()?.service(service)?.engine
    }

    /// Takes what a request showed of an endpoint, unless that is gone: nobody would forget it again.
    pub fn observed(&mut self, now: Time, endpoint: &Endpoint, observation: Observation) {
        if self.directory.get(&endpoint.id).is_none() {
            return;
        }
        let memory = self.loads.get(&endpoint.id).map_or(0, |load| load.total(now).memory);
        self.forecasts.record(now, &endpoint.service, &endpoint.id, memory, observation);
    }

    /// Takes events that a run has made.
    pub fn made(&mut self, lease: &Lease, service: &str, events: u64) {
        let event_tokens = self.forecasts.service(service).output_length_or_default().event_tokens;
        self.loads.record_tokens(lease, (events as f64 * event_tokens) as u64);
    }

    /// What is known of a service's endpoints together.
    pub fn forecast(&self, service: &str) -> Forecast {
        self.forecasts.service(service)
    }

    /// What is known of all services.
    pub fn forecasts(&self) -> BTreeMap<Arc<str>, Forecast> {
        self.forecasts.typical()
    }

    /// When a caller should come back that waited in vain for memory of a service.
    pub fn memory_free_after(&self, service: &str) -> Duration {
        let half = self.forecasts.service(service).half_decode_time();
        half.map_or(COME_BACK, |half| half.clamp(SOONEST_BACK, LATEST_BACK))
    }

    /// The next endpoint that should change its pool; call it once a tick.
    pub fn order(&mut self, now: Time) -> Option<Order> {
        let catalog = self.catalog.clone()?;
        let rank = self.peers.rank(now);
        let Self { pools, directory, loads, forecasts, .. } = self;
        catalog.services().find_map(|service| {
            let forecast = forecasts.service(&service.name);
            let engine = service.engine.as_ref()?;
            let info = ServiceInfo { name: &service.name, engine, forecast: &forecast };
            pools.next_order(now, &info, directory, loads, rank)
        })
    }

    /// An order was not carried out.
    pub fn order_dropped(&mut self, endpoint: &str) {
        self.pools.cancel(endpoint);
    }

    /// Places those in the line whom there is room for.
    pub fn pump(&mut self, now: Time) -> Vec<Placed<T>> {
        if self.catalog.is_none() {
            return Vec::new();
        }
        let mut line = std::mem::take(&mut self.line);
        let placed = line.dispatch(now, |waiting| self.place(now, waiting));
        self.line = line;
        placed
    }

    /// Takes the places of a completion; none if it has to wait.
    fn place(&mut self, now: Time, waiting: &Entry<T>) -> Option<Pair> {
        let Entry { service, size, memory, gap, ttft_target, avoid, .. } = waiting;
        let engine = self.engine(service)?;
        let spread = self.forecasts.service(service).output_length_or_default().spread;
        let run = Run {
            prompt: size.prompt,
            growth: Growth::for_run(*size, 0, spread),
            headroom: headroom(&engine, waiting.is_late(now)),
            gap: *gap,
            ttft_target: *ttft_target,
            avoid,
        };
        let Placement { endpoint, prefill } = self.view(now).pair(service, &engine, &run)?;
        let reading = if prefill.is_some() { 0 } else { size.prompt };
        let share = Share { running: 1, memory: *memory, reading, ..Share::default() };
        let run = self.take(now, endpoint, share, Some(Estimate { size: *size, spread }));
        let reader = prefill.map(|prefill| self.take_reader(now, prefill, size.prompt, *ttft_target));
        Some(Pair { run, reader })
    }

    /// What decides who is placed, in one line for logs.
    pub fn describe(&self, now: Time, service: &str) -> String {
        let waiting = self.line.len();
        format!("{waiting} wait; {}", self.view(now).describe(service, Stage::Decode))
    }

    /// Drops those in the line whose callers are gone.
    pub fn retain_line(&mut self, keep: impl Fn(&T) -> bool) {
        self.line.retain(keep);
    }

    /// How many wait.
    pub fn line_length(&self) -> usize {
        self.line.len()
    }

    /// A request's answer has begun.
    pub fn answered(&mut self, now: Time, lease: &Lease) {
        let endpoint = self.directory.get(&lease.endpoint);
        let forecast = endpoint.map(|endpoint| self.forecasts.endpoint(now, &endpoint.service, &endpoint.id));
        let rest = forecast.unwrap_or_default().typical_event_interval() * REST_EVENTS;
        self.loads.record_first_event(now, lease, rest);
    }

    /// A request has ended at its endpoint.
    pub fn ended(&mut self, now: Time, lease: &Lease, outcome: Outcome) {
        self.loads.release(now, lease, outcome);
        if outcome == Outcome::Unreachable {
            self.suspects.crashed(now, &lease.endpoint);
        }
        if self.directory.get(&lease.endpoint).is_none() {
            self.loads.forget(&lease.endpoint);
        }
    }

    /// A request broke off at an endpoint.
    pub fn broke(&mut self, now: Time, endpoint: &Arc<str>, fingerprint: u64) {
        self.suspects.broke(now, endpoint, fingerprint);
    }

    /// Whether configuration and endpoints have been read, so that requests can be placed.
    pub fn is_informed(&self) -> bool {
        self.catalog.is_some() && self.directory.is_known()
    }

    /// How new this entry's copy of the store is.
    pub fn versions(&self) -> Versions {
        self.staleness.own()
    }

    /// Whether another entry has a newer configuration than the one in force here.
    pub fn is_behind(&self, now: Time) -> bool {
        let own = Versions { endpoints: u64::MAX, ..self.staleness.own() };
        self.peers.ahead_of(now, own).next().is_some()
    }

    /// The entries to ask for what the store should have given by now; none while nothing is overdue.
    pub fn ahead(&self, now: Time) -> Vec<Member> {
        if !self.staleness.is_overdue(now) {
            return Vec::new();
        }
        self.peers.ahead_of(now, self.staleness.own()).collect()
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// The other entries known.
    pub fn members(&self) -> Vec<Member> {
        self.peers.members().collect()
    }

    /// The list of endpoints, for an entry that cannot read it.
    pub fn listing(&self) -> Listing {
        let (version, rows) = self.directory.listed();
        Listing { version, whole: true, rows }
    }

    /// The endpoints known.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// What is under way.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Tokens left, by customer.
    pub fn left(&mut self, now: Time) -> BTreeMap<Arc<str>, i64> {
        self.allowance.left(now)
    }

    /// The entries that share the traffic, this one among them.
    pub fn sharers(&self) -> u32 {
        self.peers.count()
    }

    fn view(&self, now: Time) -> View<'_> {
        View {
            now,
            directory: &self.directory,
            loads: &self.loads,
            pools: &self.pools,
            forecasts: &self.forecasts,
            zone: &self.identity.zone,
            replica: &self.identity.name,
            partition: self.partition(),
        }
    }

    fn partition(&self) -> Partition {
        Partition { index: self.peers.position(), count: self.peers.count() }
    }

    fn take(&mut self, now: Time, endpoint: Arc<Endpoint>, share: Share, answer: Option<Estimate>) -> Place {
        let lease = self.loads.acquire_run(now, &endpoint.id, share, answer);
        Place { endpoint, lease, tokens: 0, limit: Duration::ZERO }
    }

    fn take_reader(
        &mut self,
        now: Time,
        endpoint: Arc<Endpoint>,
        prompt: u64,
        ttft_target: Duration,
    ) -> Place {
        let ahead = self.loads.get(&endpoint.id).map_or(0, |load| load.total(now).reading);
        let forecast = self.forecasts.endpoint(now, &endpoint.service, &endpoint.id);
        let tokens = ahead + prompt;
        let limit = forecast.prefill_timeout(tokens, ttft_target);
        let share = Share { reading: prompt, ..Share::default() };
        Place { tokens, limit, ..self.take(now, endpoint, share, None) }
    }
}

fn no_endpoint() -> Refusal {
    Refusal::not_run(Code::NoEndpoint, "no endpoint can be reached").with_retry_after(COME_BACK)
}
