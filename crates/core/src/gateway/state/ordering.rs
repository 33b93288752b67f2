//! Order of the requests of all replicas.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{State, placing::MIN_MEMORY_RETRY_AFTER};
use crate::{
    clock::Time,
    gateway::{
        catalog::Engine,
        digest::Share,
        directory::{Endpoint, Stage},
        interval::digest_interval,
        mechanism::Mechanism,
        order::{Expected, Report, Supply, Urgency, Waiting, Yields, memory_before, must_yield, report},
        placement::{Filter, Run},
        queue::{Entry, Queue},
    },
};

/// Digest intervals after which replicas know of a request that waits.
const NEWS_INTERVALS: u32 = 2;
/// Smallest part of the memory that becomes free which counts as left by more urgent requests.
const MIN_RATE_SHARE: f64 = 0.2;

impl<T> State<T> {
    /// Returns what waits here, for the services whose requests are ordered across replicas.
    pub fn waiting(&self, now: Time) -> Report {
        let mut report = report(now, self.queue.entries());
        report.retain(|service, _| self.uses(service, Mechanism::Order));
        report
    }

    /// Returns the services whose requests are ordered across replicas.
    pub fn ordered_services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.profiles.keys().filter(|service| self.uses(service, Mechanism::Order))
    }

    /// Returns what waits at peers for a service.
    pub fn waiting_at_peers(&self, now: Time, service: &str) -> BTreeMap<Urgency, Waiting> {
        self.waiting_peers.waiting(now, digest_interval(self.peers.count()), service)
    }

    /// Returns the services whose first request leaves memory to more urgent ones at peers.
    pub fn yields(&self) -> &Yields {
        &self.yields
    }

    /// Returns whether a request leaves the memory that is free to more urgent ones at peers. `endpoint` is the one that
    /// it would use.
    pub(super) fn must_yield(
        &mut self,
        now: Time,
        entry: &Entry<T>,
        engine: &Engine,
        run: &Run<'_>,
        endpoint: &Arc<Endpoint>,
    ) -> bool {
        let service = &entry.service;
        if !self.uses(service, Mechanism::Order) {
            return false;
        }
        let urgency = Urgency::of(now, entry);
        let share = self.mixes.get(service).map_or(0.0, |mix| mix.share_before(urgency));
        if self.is_blind(now) {
            return self.yields.is_held(now, service, share);
        }
        let waiting = self.waiting_at_peers(now, service);
        let rooms = self.view(now).rooms(service, Stage::Decode, engine, run.filter);
        let expected = self.expected(now, service, share);
        if !must_yield(&rooms, urgency, entry.memory, &waiting, expected) {
            self.yields.end(service);
            return false;
        }
        let fitting = rooms.into_iter().filter(|room| room.memory >= entry.memory);
        !self.yields.record(now, digest_interval(self.peers.count()), service, fitting, &endpoint.id)
    }

    /// Returns the memory of a service and the pace at which runs free it; `None` without forecasts or runs.
    fn supply(&self, now: Time, service: &str) -> Option<Supply> {
        let engine = self.engine(service)?;
        let half = self.forecasts.service(service).half_decode_time()?;
        let in_use = self.in_use(now, service).memory;
        let rooms = self.view(now).rooms(service, Stage::Decode, &engine, Filter::default());
        let free = rooms.iter().map(|room| room.memory).sum();
        let rate = in_use as f64 / (half * 2).as_secs_f64().max(f64::MIN_POSITIVE);
        (in_use > 0).then_some(Supply { free, rate })
    }

    /// Expires requests that cannot start before their callers disconnect, because what comes before them at any replica
    /// needs the memory that becomes free until then. Further requests are not foreseen, so that none is refused that
    /// could be served.
    pub(super) fn expire_out_of_reach(&mut self, now: Time, queue: &mut Queue<T>) {
        let services = queue.services().into_iter().filter(|service| self.uses(service, Mechanism::Order));
        let supplies = services.filter_map(|service| Some((service.clone(), self.supply(now, &service)?)));
        let supplies: BTreeMap<Arc<str>, Supply> = supplies.collect();
        if supplies.is_empty() || self.is_blind(now) {
            return;
        }
        let mut own: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        queue.sort(now);
        queue.expire(|entry| {
            let Some(supply) = supplies.get(&entry.service) else { return false };
            let own = own.entry(entry.service.clone()).or_default();
            let before = memory_before(&self.waiting_at_peers(now, &entry.service), Urgency::of(now, entry));
            let wait = supply.wait(before + *own + entry.memory);
            let is_out_of_reach = now.plus(wait) > entry.hard_deadline;
            if !is_out_of_reach {
                *own += entry.memory;
            }
            is_out_of_reach
        });
    }

    /// Returns the retry delay for the caller of a request that found no free memory: when there will be room for it, so
    /// that callers come back in their order and not all at once.
    pub fn retry_after(&mut self, now: Time, entry: &Entry<T>) -> Duration {
        let service = &entry.service;
        let usual = self.memory_retry_after(now, service);
        let has_backoff = self.view(now).shortest_backoff(service, Stage::Decode).is_some();
        if has_backoff || !self.uses(service, Mechanism::Order) {
            return usual;
        }
        let Some(supply) = self.supply(now, service) else { return usual };
        // A caller that comes back is on time again, and comes after those of its priority that wait.
        let urgency = Urgency { is_late: false, priority: entry.priority.saturating_add(1) };
        let own = self.waiting(now).remove(service).unwrap_or_default();
        let before =
            memory_before(&own, urgency) + memory_before(&self.waiting_at_peers(now, service), urgency);
        let share = self.mixes.get(service).map_or(0.0, |mix| mix.share_before(urgency));
        let rate = supply.rate * (1.0 - share).max(MIN_RATE_SHARE);
        let supply = Supply { rate, ..supply };
        let wait = supply.wait(before + entry.memory).max(MIN_MEMORY_RETRY_AFTER);
        let everyone = entry.memory * u64::from(self.peers.count());
        let spacing = Supply { free: 0, ..supply }.wait(everyone);
        let name = self.identity.name.clone();
        self.returns.next(now, &name, service, entry.priority, wait, spacing)
    }

    /// Returns whether this replica hears few of its peers.
    fn is_blind(&self, now: Time) -> bool {
        let count = self.peers.count();
        self.waiting_peers.is_blind(now, digest_interval(count), count as usize - 1)
    }

    /// Returns the requests of the fleet that are expected to arrive before replicas learn of them. Replicas know the runs
    /// in progress well, and the mix of priorities only by their own requests; `share` is the part that counts.
    fn expected(&self, now: Time, service: &str, share: f64) -> Expected {
        let Some(half) = self.forecasts.service(service).half_decode_time() else {
            return Expected::default();
        };
        let in_use = self.in_use(now, service);
        let rate = f64::from(in_use.running) / (half * 2).as_secs_f64().max(f64::MIN_POSITIVE);
        let window = digest_interval(self.peers.count()) * NEWS_INTERVALS;
        Expected {
            count: rate * share * window.as_secs_f64(),
            memory: in_use.memory / u64::from(in_use.running.max(1)),
        }
    }

    /// Returns the load of all decode endpoints of a service.
    fn in_use(&self, now: Time, service: &str) -> Share {
        let decodes = self.directory.serving(service).filter(|endpoint| endpoint.stage == Stage::Decode);
        let loads = decodes.filter_map(|endpoint| self.loads.get(&endpoint.id)).map(|load| load.total(now));
        loads.fold(Share::default(), |sum, load| Share {
            running: sum.running + load.running,
            memory: sum.memory + load.memory,
            ..sum
        })
    }
}
