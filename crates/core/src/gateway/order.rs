//! Order in which the requests of all replicas get memory that becomes free.
//!
//! Each replica reports what waits in its queue. A request that could be placed yields while more urgent ones wait
//! at peers and what is free does not suffice for all of them. A peer's report counts only while it is fresh, and an
//! endpoint whose memory stays free is used after a timeout, so that wrong reports never leave memory idle for long.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::AddAssign,
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

use super::queue::Entry;
use crate::clock::{Time, decay_factor};

/// Age, in addition to the digest interval, at which a peer's report no longer counts.
const STALE_AFTER: Duration = Duration::from_secs(1);
/// Time for which requests yield the memory of an endpoint, in addition to two digest intervals: more urgent ones at
/// peers learn within one that it is free.
const MAX_YIELD: Duration = Duration::from_millis(300);
/// Time without a decision after which an endpoint counts as not observed, so that it was perhaps used meanwhile.
const MAX_UNOBSERVED: Duration = Duration::from_millis(200);
/// Time from a refused reservation to the next attempt of a request that comes after all others, while no peers are heard.
const BLIND_HOLD: Duration = Duration::from_millis(500);
/// Upper bound of computed waits.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Longest retry delay for callers that found no free memory; with a longer one, most give up.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Part of the longest retry delay over which callers are spread who would have to wait for longer.
const RETRY_SPREAD: f64 = 0.4;
/// Half-life of the mix of priorities; a replica gets few requests.
const MIX_HALF_LIFE: Duration = Duration::from_secs(10);
/// Number of requests that count as of the lowest priority, so that the first ones do not decide.
const MIX_PRIOR: f64 = 2.0;

/// Urgency of a waiting request; the least comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether the request can no longer meet its time-to-first-token target.
    pub is_late: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// Requests of one service and urgency that wait for memory at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Number of requests.
    pub count: u32,
    /// Memory that they need together, in tokens.
    pub memory: u64,
    /// Time left until the first of them has to start; zero if it is late.
    pub due_in: Duration,
}

/// What waits at one replica, by service.
pub type Report = BTreeMap<Arc<str>, BTreeMap<Urgency, Waiting>>;

impl AddAssign for Waiting {
    fn add_assign(&mut self, other: Self) {
        let due_in = if self.count == 0 { other.due_in } else { self.due_in.min(other.due_in) };
        *self = Self {
            count: self.count.saturating_add(other.count),
            memory: self.memory.saturating_add(other.memory),
            due_in,
        };
    }
}

impl Waiting {
    /// Returns the mean memory of a request, in tokens.
    pub fn mean_memory(&self) -> u64 {
        self.memory / u64::from(self.count.max(1))
    }
}

impl Urgency {
    /// Returns the urgency of a queued request.
    pub fn of<T>(now: Time, entry: &Entry<T>) -> Self {
        Self { is_late: entry.is_late(now), priority: entry.priority }
    }
}

/// Summarizes queued requests by service and urgency.
pub fn report<'a, T: 'a>(now: Time, entries: impl Iterator<Item = &'a Entry<T>>) -> Report {
    let mut report = Report::new();
    for entry in entries {
        let waiting = Waiting { count: 1, memory: entry.memory, due_in: entry.soft_deadline.since(now) };
        let service = report.entry(entry.service.clone()).or_default();
        *service.entry(Urgency::of(now, entry)).or_default() += waiting;
    }
    report
}

/// What waits at the peers.
#[derive(Clone, Debug, Default)]
pub struct Peers(BTreeMap<Arc<str>, (Time, Report)>);

impl Peers {
    /// Replaces what a peer reported before.
    pub fn apply(&mut self, now: Time, peer: &Arc<str>, report: &Report) {
        self.0.insert(peer.clone(), (now, report.clone()));
    }

    /// Removes the report of an expired peer.
    pub fn remove(&mut self, peer: &str) {
        self.0.remove(peer);
    }

    /// Returns what waits at all peers for a service, by urgency, as far as the reports are fresh.
    pub fn waiting(&self, now: Time, digest_interval: Duration, service: &str) -> BTreeMap<Urgency, Waiting> {
        let mut sum: BTreeMap<Urgency, Waiting> = BTreeMap::new();
        let fresh = self.fresh(now, digest_interval);
        for (urgency, waiting) in fresh.filter_map(|report| report.get(service)).flatten() {
            *sum.entry(*urgency).or_default() += *waiting;
        }
        sum
    }

    /// Returns whether there are no fresh reports from most of `count` peers.
    pub fn is_blind(&self, now: Time, digest_interval: Duration, count: usize) -> bool {
        self.fresh(now, digest_interval).count() * 2 < count
    }

    fn fresh(&self, now: Time, digest_interval: Duration) -> impl Iterator<Item = &Report> {
        let fresh = self.0.values().filter(move |(at, _)| now.since(*at) < STALE_AFTER + digest_interval);
        fresh.map(|(_, report)| report)
    }
}

/// Free memory of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    /// ID of the endpoint.
    pub endpoint: Arc<str>,
    /// Memory that is free at peak use, in tokens.
    pub memory: u64,
    /// Number of further runs that the endpoint may have.
    pub slots: u32,
}

/// Returns how many requests of a size fit into the endpoints.
pub fn places(rooms: &[Room], memory: u64) -> u64 {
    rooms.iter().map(|room| (room.memory / memory.max(1)).min(room.slots.into())).sum()
}

/// Recent requests of a service here, by priority.
#[derive(Clone, Debug, Default)]
pub struct Mix {
    counts: BTreeMap<u8, f64>,
    updated: Time,
}

impl Mix {
    /// Records a request.
    pub fn record(&mut self, now: Time, priority: u8) {
        let factor = decay_factor(now.since(self.updated), MIX_HALF_LIFE);
        self.counts.values_mut().for_each(|count| *count *= factor);
        self.updated = now;
        *self.counts.entry(priority).or_default() += 1.0;
    }

    /// Returns the share of requests that come before those of an urgency when they arrive.
    pub fn share_before(&self, urgency: Urgency) -> f64 {
        if urgency.is_late {
            return 1.0;
        }
        let before = self.counts.range(..urgency.priority).map(|(_, count)| count).sum::<f64>();
        before / (self.counts.values().sum::<f64>() + MIX_PRIOR)
    }
}

/// More urgent requests that are expected to arrive before replicas learn of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expected {
    /// Number of requests.
    pub count: f64,
    /// Memory of each, in tokens.
    pub memory: u64,
}

/// Returns whether a request of `memory` tokens has to leave what is free to more urgent ones, which wait at peers or are
/// expected.
pub fn must_yield(
    rooms: &[Room],
    urgency: Urgency,
    memory: u64,
    waiting: &BTreeMap<Urgency, Waiting>,
    expected: Expected,
) -> bool {
    let mut ahead = Waiting::default();
    let mut is_on_time_waiting = false;
    for (other, waiting) in waiting.range(..urgency) {
        ahead += *waiting;
        is_on_time_waiting |= !other.is_late;
    }
    if urgency.is_late && is_on_time_waiting {
        return true;
    }
    // The cast saturates.
    let count = u64::from(ahead.count) + expected.count.round() as u64;
    if count == 0 {
        return false;
    }
    let unit = if ahead.count > 0 { ahead.mean_memory() } else { expected.memory }.max(1);
    places(rooms, unit) < count + memory.div_ceil(unit)
}

/// Memory of a service and the pace at which runs free it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Memory that is free now, in tokens.
    pub free: u64,
    /// Memory that becomes free in a second, in tokens.
    pub rate: f64,
}

impl Supply {
    /// Returns the time until this much memory, in tokens, has become free.
    pub fn wait(&self, memory: u64) -> Duration {
        let secs = memory.saturating_sub(self.free) as f64 / self.rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(secs.min(MAX_WAIT.as_secs_f64()))
    }
}

/// Returns the memory of waiting requests that come before those of an urgency, in tokens.
pub fn memory_before(waiting: &BTreeMap<Urgency, Waiting>, urgency: Urgency) -> u64 {
    waiting.range(..urgency).map(|(_, waiting)| waiting.memory).sum()
}

/// Retry delays of refused callers.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// The latest return by service and priority.
    latest: BTreeMap<(Arc<str>, u8), Time>,
    count: u64,
}

impl Returns {
    /// Returns the time after which a caller should come back. `wait` is the time until there is room for its urgency;
    /// callers of this replica follow at intervals of `spacing`, and of other replicas in between.
    pub fn next(
        &mut self,
        now: Time,
        replica: &str,
        service: &Arc<str>,
        priority: u8,
        wait: Duration,
        spacing: Duration,
    ) -> Duration {
        self.count += 1;
        let fraction = hash_fraction(replica, self.count);
        let latest = self.latest.entry((service.clone(), priority)).or_default();
        let first = now.plus(wait + spacing.mul_f64(fraction));
        let slot = first.max(latest.plus(spacing));
        let last = now.plus(MAX_RETRY_AFTER);
        if slot > last {
            // Later callers share the end of the range, since few would wait for longer.
            return MAX_RETRY_AFTER.mul_f64(1.0 - RETRY_SPREAD * fraction);
        }
        *latest = slot;
        slot.since(now)
    }
}

/// Returns a number from 0 to 1 that differs between replicas and calls.
fn hash_fraction(replica: &str, count: u64) -> f64 {
    let mut hash = Xxh3::new();
    hash.update(replica.as_bytes());
    hash.update(&count.to_le_bytes());
    hash.digest() as f64 / u64::MAX as f64
}

/// What the first request of a service leaves to more urgent ones at peers.
#[derive(Clone, Debug)]
struct Yield {
    /// Since when each endpoint has had room for it.
    free: BTreeMap<Arc<str>, Time>,
    /// Time of the newest decision.
    observed: Time,
    is_yielding: bool,
}

/// Memory that requests here leave to more urgent ones at peers.
#[derive(Clone, Debug, Default)]
pub struct Yields {
    services: BTreeMap<Arc<str>, Yield>,
    /// When an endpoint last refused a reservation, by service.
    refused: BTreeMap<Arc<str>, Time>,
    /// Number of times that a request began to yield.
    count: u64,
}

impl Yields {
    /// Records a refused reservation.
    pub fn record_refusal(&mut self, now: Time, service: &Arc<str>) {
        self.refused.insert(service.clone(), now);
    }

    /// Returns whether a replica that hears no peers should not ask for memory yet. A refusal is all that tells it that
    /// memory is scarce. `share` is the share of requests that come before this one.
    pub fn is_held(&self, now: Time, service: &str, share: f64) -> bool {
        self.refused.get(service).is_some_and(|at| now.since(*at) < BLIND_HOLD.mul_f64(share))
    }

    /// Records the endpoints that have room for a request of `service` that yields, and returns whether it may use
    /// `endpoint` nevertheless, because its memory stayed free.
    pub fn record(
        &mut self,
        now: Time,
        digest_interval: Duration,
        service: &Arc<str>,
        rooms: impl Iterator<Item = Room>,
        endpoint: &Arc<str>,
    ) -> bool {
        let known = self.services.remove(service);
        let known = known.filter(|known| now.since(known.observed) < MAX_UNOBSERVED);
        let since = |id: &str| known.as_ref().and_then(|known| known.free.get(id)).copied().unwrap_or(now);
        let mut free: BTreeMap<Arc<str>, Time> =
            rooms.map(|room| (room.endpoint.clone(), since(&room.endpoint))).collect();
        let first_free = since(endpoint);
        free.insert(endpoint.clone(), first_free);
        let is_unused = now.since(first_free) >= MAX_YIELD + digest_interval * 2;
        if is_unused {
            free.insert(endpoint.clone(), now);
        } else if known.as_ref().is_none_or(|known| !known.is_yielding) {
            self.count += 1;
        }
        self.services.insert(service.clone(), Yield { free, observed: now, is_yielding: !is_unused });
        is_unused
    }

    /// Records that the first request of a service does not yield, or that no endpoint has room for it.
    pub fn end(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// Returns the services whose first request yields.
    pub fn services(&self, now: Time) -> BTreeSet<Arc<str>> {
        let is_yielding = |known: &Yield| known.is_yielding && now.since(known.observed) < MAX_UNOBSERVED;
        let yielding = self.services.iter().filter(|(_, known)| is_yielding(known));
        yielding.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the number of times that a request began to yield.
    pub fn count(&self) -> u64 {
        self.count
    }
}
