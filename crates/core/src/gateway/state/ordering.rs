//! Order of the requests of all replicas.

use std::{collections::BTreeMap, sync::Arc};

use super::State;
use crate::{
    clock::Time,
    gateway::{
        catalog::Engine,
        directory::{Endpoint, Stage},
        interval::digest_interval,
        mechanism::Mechanism,
        order::{Expected, Report, Urgency, Waiting, Yields, must_yield, report},
        placement::Run,
        queue::Entry,
    },
};

/// Digest intervals after which replicas know of a request that waits.
const NEWS_INTERVALS: u32 = 2;

impl<T> State<T> {
    /// Returns what waits here, for the services whose requests are ordered across replicas.
    pub fn waiting(&self, now: Time) -> Report {
        let mut report = report(now, self.queue.entries());
        report.retain(|service, _| self.uses(service, Mechanism::Order));
        report
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
        let decodes = self.directory.serving(service).filter(|endpoint| endpoint.stage == Stage::Decode);
        let loads = decodes.filter_map(|endpoint| self.loads.get(&endpoint.id)).map(|load| load.total(now));
        let (running, memory) =
            loads.fold((0, 0), |(running, memory), load| (running + load.running, memory + load.memory));
        let rate = f64::from(running) / (half * 2).as_secs_f64().max(f64::MIN_POSITIVE);
        let window = digest_interval(self.peers.count()) * NEWS_INTERVALS;
        Expected { count: rate * share * window.as_secs_f64(), memory: memory / u64::from(running.max(1)) }
    }
}
