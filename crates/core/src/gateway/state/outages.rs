//! Endpoints that have ended.

use std::sync::Arc;

use super::State;
use crate::{
    clock::Time,
    gateway::{
        mechanism::Mechanism,
        outage::{Event, Outages, Reason, Report},
    },
};

impl<T> State<T> {
    /// Records that this replica noticed the end of an endpoint.
    pub(super) fn record_outage(&mut self, now: Time, endpoint: &str, reason: Reason) {
        let Some(endpoint) = self.directory.get(endpoint).cloned() else { return };
        if self.uses(&endpoint.service, Mechanism::Outages) {
            let sequence = self.directory.last_write(&endpoint.id).map_or(0, |(_, sequence)| sequence);
            let own = &self.identity.name;
            self.loads.outages.record_failure(now, own, &endpoint, sequence, reason);
            self.pace_recovered(now);
        }
    }

    /// Records that an endpoint answered.
    pub(super) fn record_answer(&mut self, now: Time, endpoint: &Arc<str>) {
        let service = self.directory.get(endpoint).map(|endpoint| endpoint.service.clone());
        if service.is_some_and(|service| self.uses(&service, Mechanism::Outages)) {
            self.loads.outages.record_answer(now, endpoint);
            self.pace_recovered(now);
        }
    }

    /// Applies what a peer noticed.
    pub(super) fn apply_outages(&mut self, now: Time, peer: &Arc<str>, report: &Report) {
        if report.is_empty() {
            return;
        }
        for (endpoint, notice) in report {
            let Some(endpoint) = self.directory.get(endpoint).cloned() else { continue };
            if self.uses(&endpoint.service, Mechanism::Outages) {
                let sequence = self.directory.last_write(&endpoint.id).map_or(0, |(_, sequence)| sequence);
                self.loads.outages.apply(now, peer, &endpoint, sequence, *notice);
            }
        }
        self.pace_recovered(now);
    }

    pub(super) fn update_outages(&mut self, now: Time) {
        let Self { loads, directory, peers, identity, .. } = self;
        let live = if loads.outages.is_empty() { Vec::new() } else { peers.live_members(now).collect() };
        loads.outages.review(now, |endpoint| directory.last_write(endpoint));
        loads.outages.update(now, &identity.name, &live, |endpoint| directory.get(endpoint).is_some());
        self.pace_recovered(now);
    }

    /// Returns the outages.
    pub fn outages(&self) -> &Outages {
        &self.loads.outages
    }

    /// Returns the changes of outages since the last call, to be logged.
    pub fn take_outage_events(&mut self) -> Vec<Event> {
        self.loads.outages.take_events()
    }
}
