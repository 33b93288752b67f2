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
        order::{Report, Urgency, Waiting, Yields, must_yield, report},
        placement::Run,
        queue::Entry,
    },
};

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
        let waiting = self.waiting_at_peers(now, service);
        let rooms = self.view(now).rooms(service, Stage::Decode, engine, run.filter);
        if !must_yield(&rooms, Urgency::of(now, entry), entry.memory, &waiting) {
            self.yields.end(service);
            return false;
        }
        let interval = digest_interval(self.peers.count());
        let fitting = rooms.into_iter().filter(|room| room.memory >= entry.memory);
        !self.yields.record(now, interval, service, fitting, &endpoint.id)
    }
}
