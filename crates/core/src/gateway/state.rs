//! The state that one replica's routing decisions are based on.
//!
//! It is owned by the control thread. `T` is the handle by which the caller of a queued request
//! gets the result.

mod admission;
pub mod explain;
mod ordering;
mod outages;
mod paces;
mod peers;
mod placing;
mod progress;
mod sharing;
mod store;
mod streams;
mod suspects;
mod throttling;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

pub use self::{
    placing::{ENDPOINT_RETRY_AFTER, no_endpoint},
    suspects::quarantined,
};
use super::{
    budget::{Budget, Rule},
    catalog::{Catalog, Customer, Engine},
    cold::Tolerance,
    contact::Contact,
    digest::{Member, Peers},
    directory::{Change, Directory, Endpoint, Row},
    fairness::Fairness,
    forecast::Forecasts,
    history::History,
    limit::Limits,
    load::{Lease, Loads},
    loan::Loans,
    mechanism::{Mechanism, Mechanisms},
    order,
    origin::Origins,
    pools::{Order, Pools, Scope, ServiceInfo},
    position::Position,
    profile::Profile,
    queue::{Entry, Queue, Verdict},
    rate_limit::RateLimiter,
    relay::{Outbox, Topology},
    staleness::Staleness,
    suspect::{Suspect, Suspects},
    throttle::{Gate, Roster},
};
use crate::clock::Time;

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
    /// Position of the store as of which it was read.
    pub position: Position,
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
    /// What of the request may crash endpoints.
    pub suspects: Arc<[Suspect]>,
}

/// How a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// Like any other.
    Freely,
    /// As a trial of its suspects that are held off, which must end with [`State::end_trial`].
    AsTrial,
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
    contact: Contact,
    directory: Directory,
    /// Endpoints that take only few requests, and when this replica may send to them.
    gate: Gate,
    limits: Limits,
    /// Turns at throttled endpoints that replicas lend to each other.
    loans: Loans,
    /// What cold endpoints tolerate, by the operator.
    tolerance: Tolerance,
    roster: Roster,
    loads: Loads,
    rate_limiter: RateLimiter,
    budget: Budget,
    peers: Peers,
    queue: Queue<T>,
    /// What waits for memory at the peers.
    waiting_peers: order::Peers,
    yields: order::Yields,
    returns: order::Returns,
    /// Recent requests by service.
    mixes: BTreeMap<Arc<str>, order::Mix>,
    suspects: Suspects,
    pools: Pools,
    forecasts: Forecasts,
    serial: u64,
    /// Recipients of digests; `None` in a small fleet, where all replicas are.
    topology: Option<Topology>,
    outbox: Outbox,
    /// Versions that began streams.
    origins: Origins,
    /// Live peers, with their incarnations, since the streams relayed here were last announced.
    announced_to: BTreeMap<Arc<str>, u64>,
    /// Whether the next digest has to carry forecasts and software versions.
    is_full_digest_due: bool,
    history: History,
    mechanisms: Mechanisms,
    fairness: Fairness,
    /// What the services call for, by name; recomputed in each tick.
    profiles: BTreeMap<Arc<str>, Profile>,
}

impl<T> State<T> {
    /// Creates the state of a replica that starts now.
    pub fn new(identity: Identity, retries: Rule, tolerance: Tolerance, now: Time) -> Self {
        Self {
            roster: Roster::new(identity.name.clone()),
            peers: Peers::new(identity.name.clone()),
            suspects: Suspects::new(identity.name.clone()),
            identity,
            catalog: None,
            staleness: Staleness::default(),
            contact: Contact::default(),
            directory: Directory::default(),
            gate: Gate::default(),
            limits: Limits::default(),
            loans: Loans::default(),
            tolerance,
            loads: Loads::default(),
            rate_limiter: RateLimiter::new(now),
            budget: Budget::new(retries),
            queue: Queue::default(),
            waiting_peers: order::Peers::default(),
            yields: order::Yields::default(),
            returns: order::Returns::default(),
            mixes: BTreeMap::new(),
            pools: Pools::default(),
            forecasts: Forecasts::default(),
            serial: 0,
            topology: None,
            outbox: Outbox::default(),
            origins: Origins::default(),
            announced_to: BTreeMap::new(),
            is_full_digest_due: false,
            history: History::default(),
            mechanisms: Mechanisms::default(),
            fairness: Fairness::default(),
            profiles: BTreeMap::new(),
        }
    }

    /// Sets the mechanisms in use; all of them by default.
    pub fn with_mechanisms(self, mechanisms: Mechanisms) -> Self {
        Self { mechanisms, ..self }
    }

    /// Replaces the mechanisms in use.
    pub fn set_mechanisms(&mut self, mechanisms: Mechanisms) {
        self.mechanisms = mechanisms;
    }

    /// Returns what a service calls for.
    pub fn profile(&self, service: &str) -> Profile {
        self.profiles.get(service).copied().unwrap_or_default()
    }

    /// Returns whether a mechanism acts on a service: the service calls for it, and it is not switched off.
    pub fn uses(&self, service: &str, mechanism: Mechanism) -> bool {
        self.mechanisms.has(mechanism) && self.profile(service).calls_for(mechanism)
    }

    fn update_profiles(&mut self) {
        let Some(catalog) = &self.catalog else { return };
        let split = catalog.services().filter(|service| service.engine.is_some());
        let profile = |name| Profile::of(name, catalog, &self.forecasts);
        self.profiles = split.map(|service| (service.name.clone(), profile(&service.name))).collect();
    }

    /// Applies timeouts and recomputes the forecasts; must be called several times a second.
    /// Returns changed endpoints and expired peers.
    pub fn tick(&mut self, now: Time) -> (Vec<Change>, Vec<Arc<str>>) {
        let expired = self.peers.remove_expired(now);
        for peer in &expired {
            self.rate_limiter.remove_peer(peer);
            self.loads.remove_peer(peer);
            self.waiting_peers.remove(peer);
            self.suspects.remove_peer(peer);
            self.contact.remove_peer(peer);
            self.loans.remove_peer(peer);
            self.pools.remove_peer(peer);
            self.forecasts.remove_peer(peer);
            self.fairness.remove_peer(peer);
        }
        self.suspects.expire(now);
        self.budget.expire(now);
        self.gate.expire(now);
        self.limits.expire(now);
        self.fairness.expire(now);
        self.update_throttles(now);
        self.update_outages(now);
        self.expire_paces(now);
        self.rate_limiter.charge_silent_peers(now, &self.peers);
        self.forecasts.recompute();
        self.update_profiles();
        let changes = self.directory.expire_lapsed(now);
        self.apply_changes(now, &changes);
        self.origins.expire(now);
        self.history.record(now, &self.directory);
        (changes, expired)
    }

    fn engine(&self, service: &str) -> Option<Engine> {
        self.catalog.as_ref()?.service(service)?.engine
    }

    /// Returns the next order to move an endpoint to another pool, if one is due; must be called
    /// once per tick.
    pub fn next_order(&mut self, now: Time) -> Option<Order> {
        let catalog = self.catalog.clone()?;
        let rank = self.peers.rank(now);
        let scopes: BTreeMap<Arc<str>, Scope> =
            catalog.services().map(|service| (service.name.clone(), self.scope(&service.name))).collect();
        let Self { pools, directory, loads, forecasts, .. } = self;
        catalog.services().find_map(|service| {
            let forecast = forecasts.service(&service.name);
            let engine = service.engine.as_ref()?;
            let scope = scopes.get(&service.name).copied().unwrap_or_default();
            let info = ServiceInfo { name: &service.name, engine, forecast: &forecast, scope };
            pools.next_order(now, &info, directory, loads, rank)
        })
    }

    /// Returns whose demand the split of a service is computed from.
    fn scope(&self, service: &str) -> Scope {
        if self.uses(service, Mechanism::Demand) { Scope::Fleet } else { Scope::Replica }
    }

    /// Drops an order that was not carried out.
    pub fn cancel_order(&mut self, now: Time, endpoint: &str) {
        self.pools.cancel(now, endpoint);
    }

    /// Returns whether the configuration and endpoints have been read, so that requests can be
    /// placed.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_some() && self.directory.is_loaded()
    }

    /// Returns the current configuration.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the known endpoints.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the endpoints that take only few requests.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Returns the limits that endpoints name.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the requests and parts of prompts that may crash endpoints.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns the load of all endpoints.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Returns the tokens left by customer.
    pub fn tokens_left(&mut self, now: Time) -> BTreeMap<Arc<str>, i64> {
        self.rate_limiter.tokens_left(now)
    }
}
