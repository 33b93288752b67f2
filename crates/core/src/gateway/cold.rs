//! Endpoints that have started lately and take only few requests.
//!
//! What all replicas together send to a cold endpoint is limited by the operator, whether they reach each other or
//! not. Each cold endpoint therefore belongs to a few replicas, its owners, and each owner keeps a minimum interval
//! between the requests that it sends there.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

use crate::clock::Time;

/// Period in which requests to a cold endpoint are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Largest number of owners of a cold endpoint. More would need longer intervals.
const MAX_OWNERS: usize = 4;
/// Number of groups of replicas that may not know of each other and name owners of their own: those that were cut
/// off before the fleet grew, and all others.
const GROUPS: f64 = 2.0;
/// Added to the interval between two requests, as one may take longer to arrive than the next.
const INTERVAL_MARGIN: Duration = Duration::from_millis(20);
/// Longest time for which an endpoint is believed to be cold; rows and responses may claim anything.
pub const MAX_COLD: Duration = Duration::from_secs(60);

/// Requests that cold endpoints tolerate beyond their declared rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Factor on the declared rate.
    pub factor: f64,
    /// Requests a second in addition.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self { factor: 1.0, slack: 0.0 }
    }
}

/// What the operator declares about the cold endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// How long an endpoint is cold after its start.
    pub duration: Duration,
    /// Requests a second that a cold endpoint takes.
    pub rate: f64,
}

/// How the owners of a cold endpoint share what it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Number of owners. Owners of all groups that send at this interval stay within the tolerance in any period.
    pub owners: usize,
    /// Minimum interval between two requests of one owner.
    pub interval: Duration,
}

impl Share {
    /// Computes the share for a declared rate; `None` if nothing may be sent.
    pub fn new(rate: f64, tolerance: Tolerance) -> Option<Self> {
        let most = rate.max(0.0) * tolerance.factor.max(0.0) + tolerance.slack.max(0.0);
        // A rate of zero takes nothing, whatever is tolerated.
        let per_group = (most / GROUPS).floor();
        if rate.is_nan() || rate <= 0.0 || !per_group.is_finite() || per_group < 1.0 {
            return None;
        }
        // Fewer owners with two requests each in a period serve a burst sooner than more owners with one.
        let owners = ((per_group / 2.0) as usize).clamp(1, MAX_OWNERS);
        let requests = (per_group / owners as f64).floor();
        Some(Self { owners, interval: PERIOD.div_f64(requests) + INTERVAL_MARGIN })
    }
}

/// The replicas that may own cold endpoints.
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

    /// Returns the number of replicas; `None` before the store's list of replicas has been read.
    pub fn count(&self) -> Option<u32> {
        self.is_read.then_some(self.names.len() as u32)
    }

    /// Returns whether this replica is one of the `count` owners of an endpoint.
    pub fn is_owner(&self, endpoint: &str, count: usize) -> bool {
        let own = rank(&self.own, endpoint);
        let before = self.names.iter().filter(|name| rank(name, endpoint) < own);
        self.is_read && before.take(count).count() < count
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

/// A cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cold {
    /// When the endpoint is warm, as far as known.
    pub until: Time,
    /// Minimum interval between two requests of this replica; `None` if it must not send any.
    pub interval: Option<Duration>,
}

/// The cold endpoints, and when this replica may send to them.
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
    endpoints: BTreeMap<Arc<str>, Cold>,
    /// Increases with each change of `endpoints`.
    generation: u64,
    /// Earliest time of the next request. Kept until the endpoint is warm, so that a change of the roster gives no
    /// request more.
    next: BTreeMap<Arc<str>, Time>,
}

impl ColdEndpoints {
    /// Records that an endpoint is cold until `until`, unless it is already known to be cold for longer. An earlier
    /// end is not believed: a report may be older than the last start.
    pub fn record(&mut self, now: Time, endpoint: &Arc<str>, cold: Cold) {
        let until = cold.until.min(now.plus(MAX_COLD));
        if until <= now {
            return;
        }
        let known = self.endpoints.get(endpoint).map(|cold| cold.until).filter(|until| *until > now);
        let until = known.map_or(until, |known| known.max(until));
        self.endpoints.insert(endpoint.clone(), Cold { until, ..cold });
        self.generation += 1;
    }

    /// Replaces the intervals of all cold endpoints.
    pub fn update_intervals(&mut self, interval: impl Fn(&Arc<str>) -> Option<Duration>) {
        for (endpoint, cold) in &mut self.endpoints {
            cold.interval = interval(endpoint);
        }
        self.generation += 1;
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

    /// Returns whether there are no cold endpoints.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Removes endpoints that have become warm.
    pub fn expire(&mut self, now: Time) {
        self.endpoints.retain(|_, cold| cold.until > now);
        let endpoints = &self.endpoints;
        self.next.retain(|endpoint, next| *next > now || endpoints.contains_key(endpoint));
    }

    /// Returns an endpoint if it is cold.
    pub fn get(&self, now: Time, endpoint: &str) -> Option<Cold> {
        self.endpoints.get(endpoint).copied().filter(|cold| cold.until > now)
    }

    /// Returns the cold endpoints.
    pub fn all(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Cold)> {
        self.endpoints.iter().filter(move |(_, cold)| cold.until > now)
    }

    /// Returns how long this replica has to wait before it may send to an endpoint; `None` if it may not while the
    /// endpoint is cold.
    pub fn wait(&self, now: Time, endpoint: &str) -> Option<Duration> {
        let Some(cold) = self.get(now, endpoint) else { return Some(Duration::ZERO) };
        cold.interval?;
        Some(self.next.get(endpoint).map_or(Duration::ZERO, |next| next.since(now)))
    }

    /// Takes the next time at which this replica may send to an endpoint, and returns it; `None` if there is none
    /// while the endpoint is cold.
    pub fn take(&mut self, now: Time, endpoint: &Arc<str>) -> Option<Time> {
        let at = now.plus(self.wait(now, endpoint)?);
        if let Some(interval) = self.get(now, endpoint).and_then(|cold| cold.interval) {
            self.next.insert(endpoint.clone(), at.plus(interval));
        }
        Some(at)
    }
}
