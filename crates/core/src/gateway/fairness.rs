//! Shares of customers in scarce memory.
//!
//! While requests wait for memory of a service, replicas tell each other how much of it the runs of
//! each customer hold. The memory is divided max-min fairly by weight: a customer that demands less than its share
//! keeps what it demands, and the others divide the rest. Among requests of the same lateness and
//! priority, those of customers that hold more than their share come last.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    catalog::Catalog,
    digest::Digest,
    order::{self, Urgency},
};
use crate::clock::Time;

/// Age at which the memory that a peer's customers hold no longer counts.
const HELD_STALE_AFTER: Duration = Duration::from_secs(3);
/// Age at which requests that wait at a peer no longer count. Shorter than [`HELD_STALE_AFTER`], so that nobody leaves
/// memory to a replica that may be gone.
const WANTED_STALE_AFTER: Duration = Duration::from_secs(1);
/// How long holdings are still reported after the last request waited, so that the next shortage finds them known.
const REPORT_LINGER: Duration = Duration::from_secs(2);
/// Largest number of holdings in a digest.
const MAX_REPORTED: usize = 64;
/// Age at which a division is computed anew.
const DIVISION_AGE: Duration = Duration::from_millis(25);
/// How long a customer must have been within its share before that is told. Every run that starts or ends may cross the
/// line.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Lower bound of weights, which keeps their sums exact enough.
const MIN_WEIGHT: f64 = 1e-3;
/// Largest number of changes kept for logs.
const MAX_CHANGES: usize = 64;

/// Memory of one customer at the endpoints of one service, by one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Memory reserved for its runs, in tokens.
    pub held: u64,
    /// Memory that its queued requests need which can still meet their target, in tokens.
    pub wanted: u64,
}

impl Holding {
    fn total(self) -> u64 {
        self.held.saturating_add(self.wanted)
    }
}

/// Holdings at one replica, by service and customer.
pub type Report = BTreeMap<Arc<str>, BTreeMap<Arc<str>, Holding>>;

/// Whom a run is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the customer; empty if it is not known.
    pub customer: Arc<str>,
}

/// Memory by service and customer, in tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    /// Contains no zeros and no services without customers.
    services: BTreeMap<Arc<str>, BTreeMap<Arc<str>, u64>>,
}

impl Holdings {
    /// Adds memory of a customer.
    pub fn add(&mut self, owner: &Owner, memory: u64) {
        if memory > 0 {
            let customers = self.services.entry(owner.service.clone()).or_default();
            *customers.entry(owner.customer.clone()).or_default() += memory;
        }
    }

    /// Removes memory that was added before.
    pub fn remove(&mut self, owner: &Owner, memory: u64) {
        let Some(customers) = self.services.get_mut(&owner.service) else { return };
        if let Some(held) = customers.get_mut(&owner.customer) {
            *held = held.saturating_sub(memory);
        }
        customers.retain(|_, held| *held > 0);
        if customers.is_empty() {
            self.services.remove(&owner.service);
        }
    }

    /// Returns the memory of a customer.
    pub fn get(&self, service: &str, customer: &str) -> u64 {
        self.services.get(service).and_then(|customers| customers.get(customer)).copied().unwrap_or_default()
    }

    /// Returns the customers of a service with their memory.
    pub fn customers(&self, service: &str) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.services.get(service).into_iter().flatten().map(|(customer, held)| (customer, *held))
    }
}

/// What a customer asks of memory that is divided.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Memory that it can use, in tokens.
    pub demand: u64,
    /// Its weight.
    pub weight: f64,
}

impl Claim {
    /// Returns a weight that can be divided by.
    fn weight(self) -> f64 {
        if self.weight.is_finite() { self.weight.max(MIN_WEIGHT) } else { MIN_WEIGHT }
    }
}

/// Divides memory max-min fairly: nobody gets more than it demands, and those who get less get memory in proportion to
/// their weights. Returns the shares in the order of the claims.
pub fn divide(memory: u64, claims: &[Claim]) -> Vec<u64> {
    let need = |claim: Claim| claim.demand as f64 / claim.weight();
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|one, other| need(claims[*one]).total_cmp(&need(claims[*other])));
    let mut left = memory as f64;
    let mut weights: f64 = claims.iter().map(|claim| claim.weight()).sum();
    let mut shares = vec![0; claims.len()];
    for index in order {
        let claim = claims[index];
        let fair = left * (claim.weight() / weights).min(1.0);
        let share = fair.min(claim.demand as f64);
        shares[index] = share.round() as u64;
        left -= share;
        weights = (weights - claim.weight()).max(MIN_WEIGHT);
    }
    shares
}

/// Weights of customers: their rates, and the mean rate for those that have none.
#[derive(Clone, Copy, Debug)]
pub struct Weights<'a> {
    catalog: &'a Catalog,
    /// Positive.
    mean: f64,
}

impl<'a> Weights<'a> {
    /// Returns the weights in a configuration.
    pub fn of(catalog: &'a Catalog) -> Self {
        let rates = || catalog.customers().map(|customer| customer.rate).filter(|rate| *rate > 0);
        let count = rates().count();
        let sum: f64 = rates().map(|rate| rate as f64).sum();
        Self { catalog, mean: if count == 0 { 1.0 } else { sum / count as f64 } }
    }

    /// Returns the weight of a customer, which need not be configured.
    pub fn get(&self, customer: &str) -> f64 {
        let rate = self.catalog.customer(customer).map_or(0, |customer| customer.rate);
        if rate == 0 { self.mean } else { rate as f64 }
    }
}

/// A request that waits for memory.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Whom it is for.
    pub owner: Owner,
    /// Memory that it needs, in tokens.
    pub memory: u64,
    /// Whether it can no longer meet its target.
    pub is_late: bool,
}

/// A customer that has begun or ceased to hold more than its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The customer.
    pub owner: Owner,
    /// Whether it now holds more than its share.
    pub is_over: bool,
    /// Memory that it was last known to hold at all replicas, in tokens.
    pub held: u64,
    /// Its share of that time, in tokens.
    pub share: u64,
}

/// Share of a customer, and what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// At all replicas, as far as known.
    pub holding: Holding,
    /// Memory that it should hold, in tokens.
    pub share: u64,
}

impl Part {
    /// Returns whether the customer holds more than its share.
    pub fn is_over(&self) -> bool {
        self.holding.held > self.share
    }
}

/// How the memory of a service is divided among customers.
#[derive(Clone, Debug, Default)]
struct Division {
    at: Time,
    parts: BTreeMap<Arc<str>, Part>,
}

/// The newest report of a peer.
#[derive(Clone, Debug)]
struct News {
    at: Time,
    holdings: Report,
    /// By urgency; without a service if the peer does not tell.
    waiting: order::Report,
}

impl News {
    /// Returns whether requests for a service wait there.
    fn has_waiters(&self, service: &str) -> bool {
        let is_waiting = |customers: &BTreeMap<_, Holding>| customers.values().any(|one| one.wanted > 0);
        self.holdings.get(service).is_some_and(is_waiting) || self.waiting.contains_key(service)
    }

    /// Returns the memory that waiting requests of customers within their shares need, as far as they are at least as
    /// urgent as `urgency`.
    fn claimed(&self, service: &str, urgency: Urgency, is_over: impl Fn(&str) -> bool) -> u64 {
        let customers = self.holdings.get(service).into_iter().flatten();
        let within = customers.filter(|(customer, _)| !is_over(customer));
        let wanted = within.map(|(_, holding)| holding.wanted).fold(0, u64::saturating_add);
        let Some(waiting) = self.waiting.get(service) else { return wanted };
        let urgent = waiting.range(..=urgency).map(|(_, waiting)| waiting.memory);
        wanted.min(urgent.fold(0, u64::saturating_add))
    }
}

/// What a replica knows of customers' shares.
#[derive(Clone, Debug, Default)]
pub struct Fairness {
    /// By peer.
    news: BTreeMap<Arc<str>, News>,
    /// Memory that requests at this replica wait for and can still use in time.
    wanted: Holdings,
    /// Services for which requests wait at this replica.
    waiting: BTreeSet<Arc<str>>,
    /// When requests were last known to wait at any replica, by service.
    scarce_at: BTreeMap<Arc<str>, Time>,
    /// By service.
    divisions: BTreeMap<Arc<str>, Division>,
    /// Customers over their shares, by service and name, with the last time at which they were.
    over: BTreeMap<(Arc<str>, Arc<str>), (Time, Part)>,
    /// At most [`MAX_CHANGES`].
    changes: Vec<Change>,
    yields: u64,
}

impl Fairness {
    /// Replaces what a peer reported before.
    pub fn apply_digest(&mut self, now: Time, digest: &Digest) {
        if digest.holdings.is_empty() && digest.waiting.is_empty() {
            self.news.remove(&digest.name);
            return;
        }
        let Digest { holdings, waiting, .. } = digest;
        let news = News { at: now, holdings: holdings.clone(), waiting: waiting.clone() };
        for service in holdings.keys().chain(waiting.keys()).filter(|service| news.has_waiters(service)) {
            self.scarce_at.insert(service.clone(), now);
        }
        self.news.insert(digest.name.clone(), news);
    }

    /// Forgets an expired peer.
    pub fn remove_peer(&mut self, peer: &str) {
        self.news.remove(peer);
    }

    /// Replaces the requests that wait at this replica. Must be called after each placement, with requests that found no
    /// memory.
    pub fn set_waiting(&mut self, now: Time, waiters: impl IntoIterator<Item = Waiter>) {
        self.wanted = Holdings::default();
        self.waiting.clear();
        for Waiter { owner, memory, is_late } in waiters {
            self.scarce_at.insert(owner.service.clone(), now);
            self.waiting.insert(owner.service.clone());
            if !is_late {
                self.wanted.add(&owner, memory);
            }
        }
    }

    /// Returns whether requests for a service wait for memory at this replica, or by fresh news at another one.
    pub fn is_scarce(&self, now: Time, service: &str) -> bool {
        self.waiting.contains(service) || self.fresh(now).any(|news| news.has_waiters(service))
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = &News> {
        self.news.values().filter(move |news| now.since(news.at) < WANTED_STALE_AFTER)
    }

    /// Divides the memory of a service, unless that was done just before.
    pub fn update(&mut self, now: Time, service: &Arc<str>, held: &Holdings, catalog: &Catalog) {
        let known = self.divisions.get(service);
        if known.is_some_and(|division| now.since(division.at) < DIVISION_AGE) {
            return;
        }
        let holdings = self.sum(now, service, held);
        let weights = Weights::of(catalog);
        let claims: Vec<Claim> = holdings
            .iter()
            .map(|(customer, holding)| Claim { demand: holding.total(), weight: weights.get(customer) })
            .collect();
        let memory = holdings.values().map(|holding| holding.held).fold(0, u64::saturating_add);
        let shares = divide(memory, &claims);
        let parts: BTreeMap<Arc<str>, Part> = holdings
            .into_iter()
            .zip(shares)
            .map(|((customer, holding), share)| (customer, Part { holding, share }))
            .collect();
        for (customer, part) in parts.iter().filter(|(_, part)| part.is_over()) {
            self.record_over(now, service, customer, *part);
        }
        self.divisions.insert(service.clone(), Division { at: now, parts });
    }

    /// Returns what each customer of a service holds and wants at all replicas.
    fn sum(&self, now: Time, service: &str, held: &Holdings) -> BTreeMap<Arc<str>, Holding> {
        let mut sum = self.own(service, held);
        for News { at, holdings, .. } in self.news.values() {
            let age = now.since(*at);
            if age >= HELD_STALE_AFTER {
                continue;
            }
            for (customer, holding) in holdings.get(service).into_iter().flatten() {
                let total = sum.entry(customer.clone()).or_default();
                total.held = total.held.saturating_add(holding.held);
                if age < WANTED_STALE_AFTER {
                    total.wanted = total.wanted.saturating_add(holding.wanted);
                }
            }
        }
        sum
    }

    fn own(&self, service: &str, held: &Holdings) -> BTreeMap<Arc<str>, Holding> {
        let mut own: BTreeMap<Arc<str>, Holding> = BTreeMap::new();
        for (customer, memory) in held.customers(service) {
            own.entry(customer.clone()).or_default().held = memory;
        }
        for (customer, memory) in self.wanted.customers(service) {
            own.entry(customer.clone()).or_default().wanted = memory;
        }
        own
    }

    fn record_over(&mut self, now: Time, service: &Arc<str>, customer: &Arc<str>, part: Part) {
        let key = (service.clone(), customer.clone());
        if self.over.insert(key, (now, part)).is_none() {
            let owner = Owner { service: service.clone(), customer: customer.clone() };
            self.push_change(owner, true, part);
        }
    }

    fn push_change(&mut self, owner: Owner, is_over: bool, part: Part) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(Change { owner, is_over, held: part.holding.held, share: part.share });
        }
    }

    /// Returns whether a customer holds more than its share.
    pub fn is_over(&self, service: &str, customer: &str) -> bool {
        let division = self.divisions.get(service);
        division.and_then(|division| division.parts.get(customer)).is_some_and(Part::is_over)
    }

    /// Returns the memory for which requests of customers within their shares wait at other replicas, by fresh news, as
    /// far as they are at least as urgent. Where a replica does not tell how urgent they are, all count.
    pub fn claimed_elsewhere(&self, now: Time, service: &str, urgency: Urgency) -> u64 {
        let claimed =
            |news: &News| news.claimed(service, urgency, |customer| self.is_over(service, customer));
        self.fresh(now).map(claimed).fold(0, u64::saturating_add)
    }

    /// Records that a request left memory to others.
    pub fn record_yield(&mut self) {
        self.yields += 1;
    }

    /// Returns how many times a request left memory to others.
    pub fn yields(&self) -> u64 {
        self.yields
    }

    /// Forgets what is outdated.
    pub fn expire(&mut self, now: Time) {
        self.news.retain(|_, news| now.since(news.at) < HELD_STALE_AFTER);
        self.scarce_at.retain(|_, at| now.since(*at) < REPORT_LINGER);
        let Self { scarce_at, divisions, .. } = self;
        divisions.retain(|service, _| scarce_at.contains_key(service));
        let is_settled = |(at, _): &(Time, Part)| now.since(*at) >= SETTLED_AFTER;
        let settled: Vec<_> = self.over.extract_if(.., |_, last| is_settled(last)).collect();
        for ((service, customer), (_, part)) in settled {
            self.push_change(Owner { service, customer }, false, part);
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the largest holdings at this replica in services for which requests wait at any replica or lately did.
    pub fn report(&self, now: Time, held: &Holdings) -> Report {
        let scarce = self.scarce_at.iter().filter(|(_, at)| now.since(**at) < REPORT_LINGER);
        let mut all: Vec<_> = scarce
            .flat_map(|(service, _)| self.own(service, held).into_iter().map(move |one| (service, one)))
            .collect();
        all.sort_by_key(|(_, (_, holding))| Reverse(holding.total()));
        let mut report = Report::new();
        for (service, (customer, holding)) in all.into_iter().take(MAX_REPORTED) {
            report.entry(service.clone()).or_default().insert(customer, holding);
        }
        report
    }

    /// Returns the services whose memory is divided, with the part of each customer.
    pub fn divisions(&self) -> impl Iterator<Item = (&Arc<str>, &BTreeMap<Arc<str>, Part>)> {
        self.divisions.iter().map(|(service, division)| (service, &division.parts))
    }
}
