//! The state that one replica's routing decisions are based on.
//!
//! It is owned by the control thread. `T` is the handle by which the caller of a queued request
//! gets the result.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::{
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
    rate_limit::{RateLimiter, Totals},
    relay::{Bundle, Delivery, Outbox, Role, Topology, digest_interval, forward_interval, urgent_interval},
    staleness::{Staleness, Versions},
    suspect::Suspects,
};
use crate::{
    clock::Time,
    refusal::{Code, Refusal},
};

/// Retry delay for callers when an endpoint is expected to return soon.
pub const ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Shortest retry delay for callers while all endpoints are backing off.
const MIN_BACKOFF_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Bounds of the retry delay for callers that found no free memory. A shorter delay would find the
/// same runs in memory; with a longer one, many callers give up.
const MIN_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(3_000);
/// Pause between two prefills on a decode endpoint, in event intervals of its runs, so that no
/// event is delayed by both.
const PREFILL_PAUSE_EVENTS: u32 = 2;
/// Largest known load of an endpoint, as a fraction of its memory, at which a refused reservation is
/// unexpected. Reports of other replicas' newest runs are delayed.
const MAX_UNEXPECTED_LOAD: f64 = 0.5;
/// One in this many digests carries forecasts.
const DIGESTS_PER_FORECAST: u64 = 10;

/// Identity of this replica.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Unique name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Random number that identifies one start of the process.
    pub incarnation: u64,
    /// Address that receives digests.
    pub address: SocketAddr,
    /// Processor time that the process may use, in thousandths of a core.
    pub millicores: u32,
}

impl Identity {
    fn member(&self) -> Member {
        let Self { name, zone, address, millicores, .. } = self.clone();
        Member { name, address, zone, millicores }
    }
}

/// An endpoint for a request, with the request's lease there.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// The request's load on the endpoint; to be released when the request ends there.
    pub lease: Lease,
    /// Prompt tokens queued for prefill at the endpoint, including this prompt; zero if there is
    /// nothing to prefill.
    pub prefill_tokens: u64,
    /// Time limit for the prefill before another endpoint is tried; zero if there is nothing to
    /// prefill.
    pub prefill_timeout: Duration,
}

/// A complete or partial list of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Version of the list.
    pub version: u64,
    /// Whether the list has all endpoints, so that those missing from it were removed.
    pub is_complete: bool,
    /// The rows.
    pub rows: Vec<Row>,
}

/// Properties of a request that decide whether it is admitted.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The caller, if it is known.
    pub customer: Option<Arc<Customer>>,
    /// Tokens to charge.
    pub tokens: u64,
    /// Name of the service.
    pub service: Arc<str>,
    /// Hash of customer, path and body.
    pub fingerprint: u64,
}

/// The endpoints of a completion.
#[derive(Clone, Debug)]
pub struct Pair {
    /// Endpoint that decodes the output.
    pub decode: Assignment,
    /// Endpoint that prefills the prompt; if `None`, the decode endpoint does.
    pub prefill: Option<Assignment>,
}

/// A request that leaves the queue, and its outcome.
pub type Dispatched<T> = (Entry<T>, Verdict<Pair>);

/// The state of one replica.
#[derive(Debug)]
pub struct State<T> {
    identity: Identity,
    catalog: Option<Arc<Catalog>>,
    /// Versions read from the store and known to peers.
    staleness: Staleness,
    directory: Directory,
    loads: Loads,
    rate_limiter: RateLimiter,
    budget: Budget,
    peers: Peers,
    queue: Queue<T>,
    suspects: Suspects,
    pools: Pools,
    forecasts: Forecasts,
    serial: u64,
    /// Recipients of digests; `None` in a small fleet, where all replicas are.
    topology: Option<Topology>,
    outbox: Outbox,
}

impl<T> State<T> {
    /// Creates the state of a replica that starts now.
    pub fn new(identity: Identity, retries: Rule, now: Time) -> Self {
        Self {
            peers: Peers::new(identity.name.clone()),
            identity,
            catalog: None,
            staleness: Staleness::default(),
            directory: Directory::default(),
            loads: Loads::default(),
            rate_limiter: RateLimiter::new(now),
            budget: Budget::new(retries, now),
            queue: Queue::default(),
            suspects: Suspects::default(),
            pools: Pools::default(),
            forecasts: Forecasts::default(),
            serial: 0,
            topology: None,
            outbox: Outbox::default(),
        }
    }

    /// Applies a configuration; returns false if it is not newer than the current one.
    pub fn apply_catalog(&mut self, now: Time, row_version: u64, catalog: Arc<Catalog>) -> bool {
        if self.catalog.is_some() && row_version <= self.staleness.own().configuration {
            return false;
        }
        self.rate_limiter.update_customers(now, catalog.customers());
        self.staleness.record_configuration(now, row_version);
        self.catalog = Some(catalog);
        true
    }

    /// Applies a list of endpoints read from the store.
    pub fn apply_listing(&mut self, now: Time, listing: Listing) -> Vec<Change> {
        self.directory.mark_store_reachable(now);
        self.update_directory(now, listing)
    }

    /// Applies the list of a peer whose newest row is `newest`.
    pub fn apply_peer_listing(&mut self, now: Time, mut listing: Listing, newest: u64) -> Vec<Change> {
        // Once a list has been read, rows that the peer lacks are kept: they may only have lapsed
        // during a store outage.
        listing.is_complete &= !self.directory.is_loaded();
        let changes = self.update_directory(now, listing);
        self.staleness.record_endpoints(now, newest);
        changes
    }

    fn update_directory(&mut self, now: Time, listing: Listing) -> Vec<Change> {
        let changes = if listing.is_complete {
            self.directory.replace(now, listing.version, listing.rows)
        } else {
            self.directory.update(now, listing.version, listing.rows)
        };
        self.staleness.record_endpoints(now, self.directory.newest_row());
        self.apply_changes(now, &changes);
        changes
    }

    fn apply_changes(&mut self, now: Time, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Restarted(endpoint) => {
                    self.suspects.record_crash(now, &endpoint.id);
                    self.pools.cancel(&endpoint.id);
                }
                Change::Removed(endpoint) => {
                    self.suspects.record_crash(now, &endpoint.id);
                    self.loads.remove_if_idle(&endpoint.id);
                    self.forecasts.remove_endpoint(&endpoint.service, &endpoint.id);
                }
                Change::Updated(endpoint) => self.pools.confirm(endpoint),
                Change::Draining(_) | Change::Lapsed(_) => {}
            }
        }
    }

    /// Records that an incarnation of an endpoint said that it is leaving. Returns the change if it was not
    /// known.
    pub fn record_leaving(&mut self, endpoint: &str, started_ms: u64) -> Option<Change> {
        self.directory.mark_leaving(endpoint, started_ms)
    }

    /// Records that an endpoint has asked for a backoff.
    pub fn record_backoff(&mut self, now: Time, endpoint: &Arc<str>, until: Time) {
        self.loads.backoffs.record(now, endpoint, until);
    }

    /// Records that the store is unreachable.
    pub fn mark_store_unreachable(&mut self) {
        self.directory.mark_store_unreachable();
    }

    /// Adds a peer that is listed in the store.
    pub fn add_member(&mut self, now: Time, member: Member) {
        self.peers.add(now, member);
    }

    /// Applies the digests of a datagram, and keeps those that this replica has to pass on.
    pub fn apply_bundle(&mut self, now: Time, bundle: &Bundle) {
        for parcel in &bundle.parcels {
            if self.apply_digest(now, &parcel.digest, bundle.from)
                && let Some(topology) = &self.topology
            {
                self.outbox.add(&self.identity.member(), topology, &bundle.sender, parcel);
            }
        }
        self.peers.record_datagram(now, &bundle.sender);
    }

    /// Applies the digest of a peer; returns false if it is outdated.
    pub fn apply_digest(&mut self, now: Time, digest: &Digest, from: SocketAddr) -> bool {
        if !self.peers.record_digest(now, digest, from) {
            return false;
        }
        self.staleness.record_peer(now, digest.versions);
        self.rate_limiter.apply_digest(now, digest);
        self.loads.apply_digest(now, digest);
        self.suspects.apply_digest(digest);
        self.forecasts.apply_peer_forecasts(&digest.name, &digest.forecasts);
        for (endpoint, change) in &digest.changing {
            self.pools.record_peer_change(now, endpoint, *change);
        }
        true
    }

    /// Returns whether peers should learn of this replica's spending soon.
    fn is_digest_urgent(&self) -> bool {
        self.rate_limiter.is_digest_urgent()
    }

    /// Returns the time from one digest to the next.
    pub fn digest_interval(&self) -> Duration {
        let replicas = self.peers.count();
        if self.is_digest_urgent() { urgent_interval(replicas) } else { digest_interval(replicas) }
    }

    /// Returns the interval at which digests of other replicas are passed on; `None` if there are
    /// none to pass on.
    pub fn forward_interval(&self) -> Option<Duration> {
        let is_urgent = self.outbox.is_urgent();
        (!self.outbox.is_empty()).then(|| forward_interval(self.peers.count(), is_urgent))
    }

    /// Returns the digests of other replicas that this one passes on, with their recipients.
    pub fn take_forwards(&mut self) -> Vec<Delivery> {
        // In a fleet that has become small, all replicas send their digests directly.
        self.outbox.take(self.topology.as_ref().unwrap_or(&Topology::default()))
    }

    /// Returns the next digest and its recipients.
    pub fn next_digest(&mut self, now: Time) -> (Digest, Vec<Member>) {
        self.serial += 1;
        let is_urgent = self.is_digest_urgent();
        let Totals { spent, left, refused } = self.rate_limiter.take_totals(now);
        let own = self.identity.member();
        self.topology = Topology::new(now, &own, &self.peers);
        let (members, recipients) = match &self.topology {
            None => (self.peers.live_members(now).chain([own]).collect(), self.peers.members().collect()),
            Some(Topology { siblings, members, remotes, .. }) => {
                (vec![own], [siblings, members, remotes].into_iter().flatten().cloned().collect())
            }
        };
        let digest = Digest {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            serial: self.serial,
            is_urgent,
            members,
            spent,
            left,
            refused,
            shares: self.loads.local(),
            failure_permille: self.loads.local_failure_permille(now),
            changing: self.pools.changes(now),
            suspects: self.suspects.report(now),
            versions: self.staleness.own(),
            forecasts: if self.serial.is_multiple_of(DIGESTS_PER_FORECAST) {
                self.forecasts.local()
            } else {
                BTreeMap::new()
            },
        };
        (digest, recipients)
    }

    /// Applies timeouts and recomputes the forecasts; must be called several times a second.
    /// Returns changed endpoints and expired peers.
    pub fn tick(&mut self, now: Time) -> (Vec<Change>, Vec<Arc<str>>) {
        let expired = self.peers.remove_expired(now);
        for peer in &expired {
            self.rate_limiter.remove_peer(peer);
            self.loads.remove_peer(peer);
            self.suspects.remove_peer(peer);
            self.forecasts.remove_peer(peer);
        }
        self.rate_limiter.charge_silent_peers(now, &self.peers);
        self.forecasts.recompute();
        let changes = self.directory.expire_lapsed(now);
        self.apply_changes(now, &changes);
        (changes, expired)
    }

    /// Admits a request and charges its customer.
    pub fn admit(&mut self, now: Time, admission: &Admission) -> Result<(), Refusal> {
        if self.suspects.is_refused(now, admission.fingerprint) {
            return Err(Refusal::not_run(Code::Quarantined, "the request has crashed endpoints"));
        }
        if let Some(customer) = &admission.customer
            && let Err(delay) = self.rate_limiter.spend(now, &customer.name, admission.tokens)
        {
            let left = self.rate_limiter.tokens_left_for(&customer.name);
            let Customer { name, rate, burst, .. } = &**customer;
            let requested = admission.tokens;
            let message = format!(
                "{name} requested {requested} tokens but has {left} left; rate {rate}, burst {burst}"
            );
            return Err(Refusal::not_run(Code::OverRate, message).with_retry_after(delay));
        }
        self.budget.record_request(now, &admission.service);
        Ok(())
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&mut self, admission: &Admission) {
        if let Some(customer) = &admission.customer {
            self.rate_limiter.refund(&customer.name, admission.tokens);
        }
    }

    /// Spends one retry of the service's retry budget; returns false if none is left.
    pub fn retry(&mut self, now: Time, service: &Arc<str>) -> bool {
        self.budget.try_spend(now, service, self.peers.count())
    }

    /// Returns whether a service currently has separate prefill or decode endpoints.
    pub fn is_split(&self, now: Time, service: &str) -> bool {
        let view = self.view(now);
        view.has_stage(service, Stage::Decode) || view.has_stage(service, Stage::Prefill)
    }

    /// Assigns an endpoint to a whole request.
    pub fn place_whole(
        &mut self,
        now: Time,
        service: &str,
        avoid: &[Arc<str>],
    ) -> Result<Assignment, Refusal> {
        let found = self.view(now).pick_whole(service, avoid);
        let share = Share { running: 1, ..Share::default() };
        let Some(endpoint) = found else {
            let backoff = self.view(now).shortest_backoff(service, Stage::Whole);
            let retry_after =
                backoff.map_or(ENDPOINT_RETRY_AFTER, |backoff| backoff.max(MIN_BACKOFF_RETRY_AFTER));
            return Err(no_endpoint(retry_after));
        };
        Ok(self.assign(now, endpoint, share, None))
    }

    /// Assigns another prefill endpoint to a prompt; `None` if none is available.
    pub fn place_prefill(&mut self, now: Time, prompt: &Prompt) -> Option<Assignment> {
        let Prompt { service, tokens, ttft_target, zone, avoid } = prompt;
        let ttft_target = target_or_default(*ttft_target);
        let Prefill::Endpoint(endpoint) =
            self.view(now).pick_prefill(service, *tokens, ttft_target, zone, avoid)
        else {
            return None;
        };
        Some(self.assign_prefill(now, endpoint, *tokens, ttft_target))
    }

    /// Queues a completion; [`Self::dispatch`] returns it once it is placed or has expired.
    pub fn enqueue(&mut self, now: Time, completion: Completion, tag: T) {
        let forecast = self.forecasts.service(&completion.service);
        let engine = self.engine(&completion.service);
        if let Some(engine) = &engine {
            self.pools.record_request(now, &completion.service, engine, completion.size);
        }
        let mut entry = completion.into_entry(&forecast, tag);
        // A request that needs more than an endpoint's memory reserves all of it and runs alone.
        entry.memory = entry.memory.min(engine.map_or(u64::MAX, |engine| engine.memory));
        self.queue.push(entry);
    }

    fn engine(&self, service: &str) -> Option<Engine> {
        self.catalog.as_ref()?.service(service)?.engine
    }

    /// Records an observation. Ignored if the endpoint was removed, since the record would never be
    /// deleted.
    pub fn record_observation(&mut self, now: Time, endpoint: &Endpoint, observation: Observation) {
        if self.directory.get(&endpoint.id).is_none() {
            return;
        }
        let memory = self.loads.get(&endpoint.id).map_or(0, |load| load.total(now).memory);
        self.forecasts.record(now, &endpoint.service, &endpoint.id, memory, observation);
    }

    /// Records events that a run has produced.
    pub fn record_events(&mut self, lease: &Lease, service: &str, events: u64) {
        let event_tokens = self.forecasts.service(service).output_length_or_default().event_tokens;
        self.loads.record_tokens(lease, (events as f64 * event_tokens) as u64);
    }

    /// Returns the forecast for a service.
    pub fn forecast(&self, service: &str) -> Forecast {
        self.forecasts.service(service)
    }

    /// Returns the forecasts for all services.
    pub fn forecasts(&self) -> BTreeMap<Arc<str>, Forecast> {
        self.forecasts.typical()
    }

    /// Returns the retry delay for callers that found no free memory for a service.
    pub fn memory_retry_after(&self, now: Time, service: &str) -> Duration {
        if let Some(backoff) = self.view(now).shortest_backoff(service, Stage::Decode) {
            return backoff.max(MIN_BACKOFF_RETRY_AFTER);
        }
        let half = self.forecasts.service(service).half_decode_time();
        half.map_or(ENDPOINT_RETRY_AFTER, |half| half.clamp(MIN_MEMORY_RETRY_AFTER, MAX_MEMORY_RETRY_AFTER))
    }

    /// Returns the next order to move an endpoint to another pool, if one is due; must be called
    /// once per tick.
    pub fn next_order(&mut self, now: Time) -> Option<Order> {
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

    /// Drops an order that was not carried out.
    pub fn cancel_order(&mut self, endpoint: &str) {
        self.pools.cancel(endpoint);
    }

    /// Removes requests from the queue that can be placed now or have expired, and returns them.
    pub fn dispatch(&mut self, now: Time) -> Vec<Dispatched<T>> {
        if self.catalog.is_none() {
            return Vec::new();
        }
        let mut queue = std::mem::take(&mut self.queue);
        if !self.loads.backoffs.is_empty() {
            let view = self.view(now);
            queue.expire(|entry| {
                let backoff = view.shortest_backoff(&entry.service, Stage::Decode);
                backoff.is_some_and(|backoff| now.plus(backoff) > entry.hard_deadline)
            });
        }
        let placed = queue.dispatch(now, |entry| self.place(now, entry));
        self.queue = queue;
        placed
    }

    /// Assigns endpoints to a completion; `None` if it has to stay queued.
    fn place(&mut self, now: Time, entry: &Entry<T>) -> Option<Pair> {
        let Entry { service, size, memory, target_gap, ttft_target, avoid, .. } = entry;
        let engine = self.engine(service)?;
        let spread = self.forecasts.service(service).output_length_or_default().spread;
        let run = Run {
            prompt: size.prompt,
            growth: Growth::for_run(*size, 0, spread),
            headroom: headroom(&engine, entry.is_late(now)),
            target_gap: *target_gap,
            ttft_target: *ttft_target,
            avoid,
        };
        let Placement { endpoint, prefill } = self.view(now).pick_pair(service, &engine, &run)?;
        let prefill_tokens = if prefill.is_some() { 0 } else { size.prompt };
        let share = Share { running: 1, memory: *memory, prefill_tokens, ..Share::default() };
        let decode = self.assign(now, endpoint, share, Some(Estimate { size: *size, spread }));
        let prefill = prefill.map(|prefill| self.assign_prefill(now, prefill, size.prompt, *ttft_target));
        Some(Pair { decode, prefill })
    }

    /// Summarizes the queue and the decode pool of a service on one line, for logs of refusals.
    pub fn describe(&self, now: Time, service: &str) -> String {
        let queued = self.queue.len();
        format!("{queued} requests queued; {}", self.view(now).describe(service, Stage::Decode))
    }

    /// Removes queued requests whose callers have disconnected.
    pub fn retain_queued(&mut self, keep: impl Fn(&T) -> bool) {
        self.queue.retain(keep);
    }

    /// Returns the number of queued requests.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Records the first event of a response.
    pub fn record_first_event(&mut self, now: Time, lease: &Lease) {
        let endpoint = self.directory.get(&lease.endpoint);
        let forecast = endpoint.map(|endpoint| self.forecasts.endpoint(now, &endpoint.service, &endpoint.id));
        let pause = forecast.unwrap_or_default().typical_event_interval() * PREFILL_PAUSE_EVENTS;
        self.loads.record_first_event(now, lease, pause);
    }

    /// Records the end of a request at its endpoint.
    pub fn record_end(&mut self, now: Time, lease: &Lease, outcome: Outcome) {
        let is_unexpected = outcome == Outcome::Full && self.seems_free(now, lease);
        self.loads.release(now, lease, outcome);
        if is_unexpected {
            self.loads.record_unexpected_refusal(now, &lease.endpoint);
        }
        if outcome == Outcome::Unreachable {
            self.suspects.record_crash(now, &lease.endpoint);
        }
        if self.directory.get(&lease.endpoint).is_none() {
            self.loads.remove_if_idle(&lease.endpoint);
        }
    }

    /// Returns whether an endpoint seems to have much free memory, with the memory of the lease in use.
    fn seems_free(&self, now: Time, lease: &Lease) -> bool {
        let endpoint = self.directory.get(&lease.endpoint);
        let engine = endpoint.and_then(|endpoint| self.engine(&endpoint.service));
        let used = self.loads.get(&lease.endpoint).map_or(0, |load| load.total(now).memory);
        engine.is_some_and(|engine| used as f64 <= engine.memory as f64 * MAX_UNEXPECTED_LOAD)
    }

    /// Records that a request was interrupted on an endpoint.
    pub fn record_interrupted(&mut self, now: Time, endpoint: &Arc<str>, fingerprint: u64) {
        self.suspects.record_interrupted(now, endpoint, fingerprint);
    }

    /// Returns whether the configuration and endpoints have been read, so that requests can be
    /// placed.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_some() && self.directory.is_loaded()
    }

    /// Returns the versions of this replica's copy of the store.
    pub fn versions(&self) -> Versions {
        self.staleness.own()
    }

    /// Returns whether a peer has a newer configuration than this replica.
    pub fn is_configuration_stale(&self, now: Time) -> bool {
        let own = Versions { endpoints: u64::MAX, ..self.staleness.own() };
        self.peers.ahead_of(now, own).next().is_some()
    }

    /// Returns the peers that have data which the store should have delivered to this replica by
    /// now; empty if nothing is overdue.
    pub fn catch_up_peers(&self, now: Time) -> Vec<Member> {
        if !self.staleness.is_overdue(now) {
            return Vec::new();
        }
        self.peers.ahead_of(now, self.staleness.own()).collect()
    }

    /// Returns the current configuration.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the known peers.
    pub fn members(&self) -> Vec<Member> {
        self.peers.members().collect()
    }

    /// Returns the list of endpoints, for a peer that cannot read the store.
    pub fn listing(&self) -> Listing {
        let (version, rows) = self.directory.versioned_rows();
        Listing { version, is_complete: true, rows }
    }

    /// Returns the known endpoints.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the load of all endpoints.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Returns the tokens left by customer.
    pub fn tokens_left(&mut self, now: Time) -> BTreeMap<Arc<str>, i64> {
        self.rate_limiter.tokens_left(now)
    }

    /// Returns whether this replica is a relay of its zone.
    pub fn is_relay(&self) -> bool {
        self.topology.as_ref().is_some_and(|topology| topology.is_relay)
    }

    /// Returns where this replica reads the endpoint table.
    pub fn role(&self) -> Role {
        match &self.topology {
            None => Role::Independent,
            Some(Topology { followed: None, .. }) => Role::Reader,
            Some(Topology { followed: Some(relay), .. }) => Role::Follower(relay.clone()),
        }
    }

    /// Returns the number of replicas that share the traffic, including this one.
    pub fn replica_count(&self) -> u32 {
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

    fn assign(
        &mut self,
        now: Time,
        endpoint: Arc<Endpoint>,
        share: Share,
        output: Option<Estimate>,
    ) -> Assignment {
        let lease = self.loads.acquire_run(now, &endpoint.id, share, output);
        Assignment { endpoint, lease, prefill_tokens: 0, prefill_timeout: Duration::ZERO }
    }

    fn assign_prefill(
        &mut self,
        now: Time,
        endpoint: Arc<Endpoint>,
        prompt: u64,
        ttft_target: Duration,
    ) -> Assignment {
        let queued = self.loads.get(&endpoint.id).map_or(0, |load| load.total(now).prefill_tokens);
        let forecast = self.forecasts.endpoint(now, &endpoint.service, &endpoint.id);
        let prefill_tokens = queued + prompt;
        let prefill_timeout = forecast.prefill_timeout(prefill_tokens, ttft_target);
        let share = Share { prefill_tokens: prompt, ..Share::default() };
        Assignment { prefill_tokens, prefill_timeout, ..self.assign(now, endpoint, share, None) }
    }
}

fn no_endpoint(retry_after: Duration) -> Refusal {
    Refusal::not_run(Code::NoEndpoint, "no endpoint is available").with_retry_after(retry_after)
}
