//! Limits on what all replicas together send to an endpoint.
//!
//! A limit must hold whether replicas reach each other or not. Each throttled endpoint therefore belongs to a few
//! replicas, its owners, and each owner keeps a minimum interval between the requests that it sends there. [`cold`]
//! and [`limit`] tell when an endpoint is throttled, and at which rate.
//!
//! [`cold`]: super::cold
//! [`limit`]: super::limit

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

use crate::clock::Time;

/// Number of groups of replicas that may not know of each other and name owners of their own: those that were cut
/// off before the fleet grew, and all others.
pub(super) const GROUPS: f64 = 2.0;
/// Added to the interval between two requests, as one may take longer to arrive than the next.
pub(super) const INTERVAL_MARGIN: Duration = Duration::from_millis(20);
/// Longest time for which an endpoint is believed to be throttled; rows and responses may claim anything.
pub const MAX_DURATION: Duration = Duration::from_secs(60);

/// How the owners of a throttled endpoint share what it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Number of owners. Owners of all groups that send at this interval stay within the tolerance in any period.
    pub owners: usize,
    /// Minimum interval between two requests of one owner.
    pub interval: Duration,
}

/// The replicas that may own throttled endpoints.
///
/// The list holds every replica that the store or a peer has named, alive or not: replicas with the same list name the
/// same owners, and a replica that is cut off keeps those that it knew.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    own: Arc<str>,
    names: BTreeSet<Arc<str>>,
    /// Whether the store has been read. Before, this replica may know few others, and owns nothing.
    is_read: bool,
}

impl Roster {
    /// Creates the list of a replica that knows of no other.
    pub fn new(own: Arc<str>) -> Self {
        let names = BTreeSet::from([own.clone()]);
        Self { own, names, is_read: false }
    }

    /// Adds a replica. Returns whether it was unknown.
    pub fn add(&mut self, name: &Arc<str>) -> bool {
        self.names.insert(name.clone())
    }

    /// Records that the store's list of replicas has been read and added.
    pub fn mark_read(&mut self) {
        self.is_read = true;
    }

    /// Returns the number of replicas.
    pub fn count(&self) -> u32 {
        self.names.len() as u32
    }

    /// Returns whether this replica is one of the `count` owners of an endpoint.
    pub fn is_owner(&self, endpoint: &str, count: usize) -> bool {
        self.is_owner_in_round(endpoint, count, 0)
    }

    /// Returns whether this replica is one of the `count` owners of an endpoint in a round. In each round the next
    /// replicas are the owners; after the last ones the first follow.
    pub fn is_owner_in_round(&self, endpoint: &str, count: usize, round: usize) -> bool {
        let count = count.max(1);
        let rounds = self.names.len().div_ceil(count);
        let own = rank(&self.own, endpoint);
        let before = self.names.iter().filter(|name| rank(name, endpoint) < own).count();
        self.is_read && before / count == round % rounds
    }
}

/// Returns the place of a replica among the owners of an endpoint, by rendezvous hashing.
fn rank(replica: &str, endpoint: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(endpoint.as_bytes());
    hash.update(&[0]);
    hash.update(replica.as_bytes());
    hash.digest()
}

/// A throttled endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttle {
    /// End of the throttling, as far as known.
    pub until: Time,
    /// Minimum interval between two requests by the turns that this replica owns; `None` if it owns none.
    pub own: Option<Duration>,
    /// The same with the turns that replicas lend to each other; `None` if this replica must not send any.
    pub interval: Option<Duration>,
}

impl Throttle {
    /// Creates a throttle before any loans.
    pub fn new(until: Time, own: Option<Duration>) -> Self {
        Self { until, own, interval: own }
    }
}

/// The throttled endpoints, and when this replica may send to them.
#[derive(Clone, Debug, Default)]
pub struct Throttles {
    endpoints: BTreeMap<Arc<str>, Throttle>,
    /// Increases with each change of `endpoints`.
    generation: u64,
    /// Earliest time of the next request. Kept until the throttling ends, so that a change of the roster gives no
    /// request more.
    next: BTreeMap<Arc<str>, Time>,
}

impl Throttles {
    /// Throttles an endpoint, for longer if it is throttled already. An earlier end is not believed: a report may be
    /// older than the last one.
    pub fn extend(&mut self, now: Time, endpoint: &Arc<str>, throttle: Throttle) {
        let until = throttle.until.min(now.plus(MAX_DURATION));
        if until <= now {
            return;
        }
        let known = self.endpoints.get(endpoint).map(|throttle| throttle.until).filter(|until| *until > now);
        let until = known.map_or(until, |known| known.max(until));
        self.endpoints.insert(endpoint.clone(), Throttle { until, ..throttle });
        self.generation += 1;
    }

    /// Replaces all throttles. Does nothing if they are the same.
    pub fn replace(&mut self, throttles: BTreeMap<Arc<str>, Throttle>) {
        if self.endpoints != throttles {
            self.endpoints = throttles;
            self.generation += 1;
        }
    }

    /// Recomputes which turns this replica owns at all throttled endpoints.
    pub fn update_owners(&mut self, own: impl Fn(&Arc<str>) -> Option<Duration>) {
        for (endpoint, throttle) in &mut self.endpoints {
            throttle.own = own(endpoint);
        }
    }

    /// Recomputes the intervals from the turns that this replica owns. Must follow each change of those and of loans.
    pub fn update_intervals(&mut self, interval: impl Fn(&Arc<str>, Option<Duration>) -> Option<Duration>) {
        let mut is_changed = false;
        for (endpoint, throttle) in &mut self.endpoints {
            let interval = interval(endpoint, throttle.own);
            is_changed |= throttle.interval != interval;
            throttle.interval = interval;
        }
        self.generation += u64::from(is_changed);
    }

    /// Returns the generation of the list, by which a copy of it tells whether it is outdated.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Copies the list of endpoints from another one, but not when requests were sent there.
    pub fn copy_list(&mut self, other: &Self) {
        self.endpoints.clone_from(&other.endpoints);
        self.generation = other.generation;
    }

    /// Returns whether no endpoint is throttled.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Removes endpoints whose throttling has ended.
    pub fn expire(&mut self, now: Time) {
        self.endpoints.retain(|_, throttle| throttle.until > now);
        let endpoints = &self.endpoints;
        self.next.retain(|endpoint, next| *next > now || endpoints.contains_key(endpoint));
    }

    /// Returns the throttle of an endpoint if there is one.
    pub fn get(&self, now: Time, endpoint: &str) -> Option<Throttle> {
        self.endpoints.get(endpoint).copied().filter(|throttle| throttle.until > now)
    }

    /// Returns the throttled endpoints.
    pub fn all(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Throttle)> {
        self.endpoints.iter().filter(move |(_, throttle)| throttle.until > now)
    }

    /// Returns how long this replica has to wait before it may send to an endpoint; `None` if it may not while the
    /// throttling lasts.
    pub fn wait(&self, now: Time, endpoint: &str) -> Option<Duration> {
        let Some(throttle) = self.get(now, endpoint) else { return Some(Duration::ZERO) };
        throttle.interval?;
        Some(self.next.get(endpoint).map_or(Duration::ZERO, |next| next.since(now)))
    }

    /// Takes the next time at which this replica may send to an endpoint, and returns it; `None` if there is none
    /// while the throttling lasts.
    pub fn take(&mut self, now: Time, endpoint: &Arc<str>) -> Option<Time> {
        let at = now.plus(self.wait(now, endpoint)?);
        self.record_turn(now, endpoint, at);
        Some(at)
    }

    /// Records that this replica sends to an endpoint at `at`.
    fn record_turn(&mut self, now: Time, endpoint: &Arc<str>, at: Time) {
        if let Some(interval) = self.get(now, endpoint).and_then(|throttle| throttle.interval) {
            self.next.insert(endpoint.clone(), at.plus(interval));
        }
    }

    /// Returns how many requests this replica may send to an endpoint before `deadline`; `None` if the endpoint is
    /// not throttled all that time.
    fn turns_before(&self, now: Time, endpoint: &str, deadline: Time) -> Option<u64> {
        let throttle = self.get(now, endpoint).filter(|throttle| throttle.until >= deadline)?;
        let Some(interval) = throttle.interval else { return Some(0) };
        let Some(left) = self.wait(now, endpoint).and_then(|wait| deadline.since(now).checked_sub(wait))
        else {
            return Some(0);
        };
        Some(1 + left.div_duration_f64(interval.max(Duration::from_millis(1))) as u64)
    }
}

/// Why an endpoint is throttled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The endpoint is cold.
    Cold,
    /// The endpoint has named a limit.
    Limited,
}

/// All throttled endpoints. One that is cold and has named a limit is throttled by both.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// The cold endpoints.
    pub cold: Throttles,
    /// The endpoints that name a limit.
    pub limited: Throttles,
}

impl Gate {
    /// Returns whether no endpoint is throttled.
    pub fn is_empty(&self) -> bool {
        self.cold.is_empty() && self.limited.is_empty()
    }

    /// Returns whether an endpoint is throttled.
    pub fn is_throttled(&self, now: Time, endpoint: &str) -> bool {
        self.cold.get(now, endpoint).is_some() || self.limited.get(now, endpoint).is_some()
    }

    /// Removes endpoints whose throttling has ended.
    pub fn expire(&mut self, now: Time) {
        self.cold.expire(now);
        self.limited.expire(now);
    }

    /// Returns how long this replica has to wait before it may send to an endpoint; `None` if it may not while the
    /// throttling lasts.
    pub fn wait(&self, now: Time, endpoint: &str) -> Option<Duration> {
        Some(self.cold.wait(now, endpoint)?.max(self.limited.wait(now, endpoint)?))
    }

    /// Takes the next time at which this replica may send to an endpoint, and returns it. Fails if there is none within
    /// `limit`.
    pub fn take(&mut self, now: Time, endpoint: &Arc<str>, limit: Duration) -> Result<Time, Cause> {
        let is_within = |wait: &Duration| *wait <= limit;
        let cold = self.cold.wait(now, endpoint).filter(is_within).ok_or(Cause::Cold)?;
        let limited = self.limited.wait(now, endpoint).filter(is_within).ok_or(Cause::Limited)?;
        let at = now.plus(cold.max(limited));
        self.cold.record_turn(now, endpoint, at);
        self.limited.record_turn(now, endpoint, at);
        Ok(at)
    }

    /// Returns how many requests this replica may send to an endpoint before `deadline`; `None` if the endpoint is
    /// not throttled all that time.
    pub fn turns_before(&self, now: Time, endpoint: &str, deadline: Time) -> Option<u64> {
        let cold = self.cold.turns_before(now, endpoint, deadline);
        let limited = self.limited.turns_before(now, endpoint, deadline);
        match (cold, limited) {
            (Some(cold), Some(limited)) => Some(cold.min(limited)),
            (turns, None) | (None, turns) => turns,
        }
    }
}
