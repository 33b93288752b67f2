//! What was read from the store: configuration and endpoints.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{Listing, State};
use crate::{
    clock::Time,
    gateway::{
        catalog::Catalog,
        contact,
        digest::Member,
        directory::{Change, Departure, Row},
        evacuation::{self, Evacuations},
        limit::{Observation, Report},
        position::{Edition, Position},
        staleness::Versions,
        throttle::{Cause, Throttle},
    },
};

impl<T> State<T> {
    /// Applies a configuration; returns false if it is not newer than the current one.
    pub fn apply_catalog(&mut self, now: Time, position: Position, catalog: Arc<Catalog>) -> bool {
        let edition = Edition { version: catalog.version(), position };
        if self.catalog.is_some() && edition <= self.staleness.own().configuration {
            return false;
        }
        self.rate_limiter.update_customers(now, catalog.customers());
        self.staleness.record_configuration(now, edition);
        self.catalog = Some(catalog);
        self.update_cold_owners(now);
        true
    }

    /// Applies evacuations read from the store.
    pub fn apply_evacuations(&mut self, now: Time, batch: evacuation::Batch) {
        self.change_evacuations(now, |evacuations| evacuations.apply(now, batch));
    }

    /// Takes over the evacuations of a peer if they are newer.
    pub fn merge_evacuations(&mut self, now: Time, evacuations: &evacuation::Report) {
        self.change_evacuations(now, |own| own.merge(now, evacuations));
    }

    /// Changes the evacuations. Endpoints of zones that are no longer evacuated count as cold: they may have been
    /// restarted, and their rows may arrive later than the end of the evacuation.
    pub(super) fn change_evacuations(&mut self, now: Time, change: impl FnOnce(&mut Evacuations)) {
        let previous: BTreeSet<Arc<str>> = self.directory.evacuations().zones().cloned().collect();
        change(self.directory.evacuations_mut());
        let evacuations = self.directory.evacuations();
        // Each digest carries the evacuations, and nearly all are known.
        if previous.iter().eq(evacuations.zones()) {
            return;
        }
        let is_back = |zone: &str| previous.contains(zone) && !evacuations.contains(zone);
        let back = self.directory.all().filter(|endpoint| is_back(&endpoint.zone));
        let back: Vec<Arc<str>> = back.map(|endpoint| endpoint.id.clone()).collect();
        for endpoint in back {
            self.record_restart(now, &endpoint);
        }
    }

    /// Records that an endpoint may just have started, and may be cold for as long as its service declares.
    pub(super) fn record_restart(&mut self, now: Time, endpoint: &Arc<str>) {
        let service = self.directory.get(endpoint).map(|endpoint| &*endpoint.service);
        let service = service.and_then(|service| self.catalog.as_ref()?.service(service));
        if let Some(warmup) = service.and_then(|service| service.warmup) {
            self.record_cold(now, endpoint, warmup.duration);
        }
    }

    /// Records that an endpoint is cold for `span`.
    pub fn record_cold(&mut self, now: Time, endpoint: &Arc<str>, span: Duration) {
        let own = self.cold_interval(endpoint);
        let interval = self.loans.interval(now, Cause::Cold, endpoint, own);
        let throttle = Throttle { interval, ..Throttle::new(now.plus(span), own) };
        self.gate.cold.extend(now, endpoint, throttle);
    }

    /// Records the limit that an endpoint named in a response, or that it named none.
    pub fn record_limit(&mut self, now: Time, endpoint: &Arc<str>, limit: Option<f64>) {
        if self.directory.get(endpoint).is_some() {
            self.limits.record(endpoint, Observation { limit, at: now }, true);
            self.update_throttles(now);
        }
    }

    /// Records the limits that a peer saw.
    pub(super) fn apply_limits(&mut self, now: Time, reports: &BTreeMap<Arc<str>, Report>) {
        if reports.is_empty() {
            return;
        }
        let known = reports.iter().filter(|(endpoint, _)| self.directory.get(endpoint).is_some());
        for (endpoint, Report { limit, age }) in known {
            self.limits.record(endpoint, Observation { limit: *limit, at: now.minus(*age) }, false);
        }
        self.update_throttles(now);
    }

    /// Applies a list of endpoints read from the store.
    pub fn apply_listing(&mut self, now: Time, listing: Listing) -> Vec<Change> {
        self.contact.record_read(now);
        self.history.record_read(now, self.has_gap(&listing));
        self.update_directory(now, listing)
    }

    /// Records that the list of endpoints can be read again, after a call that began at `last_failure` and failed. Returns by
    /// when the store was available to a peer, if one says so.
    pub fn record_store_recovered(&mut self, now: Time, last_failure: Time) -> Option<Time> {
        self.directory.record_store_recovered(now, last_failure);
        self.limit_grace()
    }

    /// Shortens the use of endpoints whose rows have lapsed if the store was available to a peer before.
    fn limit_grace(&mut self) -> Option<Time> {
        let returned = self.contact.returned()?;
        self.directory.record_store_returned(returned);
        Some(returned)
    }

    /// Applies what a peer says of its contact with the store.
    pub(super) fn apply_contact(&mut self, now: Time, peer: &Arc<str>, report: Option<contact::Report>) {
        self.contact.apply_peer(now, peer, report);
        self.limit_grace();
    }

    /// Returns whether endpoints may have come and gone since the last list.
    fn has_gap(&self, listing: &Listing) -> bool {
        let is_read_again = listing.is_complete && self.directory.is_loaded();
        let is_unknown = |row: &Row| row.endpoint.is_none() && !self.directory.is_known(&row.id);
        is_read_again || listing.rows.iter().any(is_unknown)
    }

    /// Applies the list of a peer whose newest row is at `newest`.
    pub fn apply_peer_listing(&mut self, now: Time, mut listing: Listing, newest: Position) -> Vec<Change> {
        // Once a list has been read, rows that the peer lacks are kept: they may only have lapsed
        // during a store outage.
        listing.is_complete &= !self.directory.is_loaded();
        let changes = self.update_directory(now, listing);
        self.staleness.record_endpoints(now, newest);
        changes
    }

    fn update_directory(&mut self, now: Time, listing: Listing) -> Vec<Change> {
        let cold = listing.rows.iter().filter(|row| !row.cold.is_zero());
        let cold: Vec<(Arc<str>, Duration)> = cold.map(|row| (row.id.clone(), row.cold)).collect();
        let new = self.newly_listed(&listing.rows);
        let changes = if listing.is_complete {
            self.directory.replace(now, listing.position, listing.rows)
        } else {
            self.directory.update(now, listing.position, listing.rows)
        };
        self.staleness.record_endpoints(now, self.directory.newest_row());
        self.history.record(now, &self.directory);
        for (endpoint, span) in cold {
            self.record_cold(now, &endpoint, span);
        }
        self.apply_changes(now, &changes);
        self.pace_started(now, &changes, &new);
        self.update_outages(now);
        changes
    }

    pub(super) fn apply_changes(&mut self, now: Time, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Restarted(endpoint) => {
                    self.suspects.record_crash(now, &endpoint.id);
                    self.pools.cancel(now, &endpoint.id);
                    self.limits.remove(&endpoint.id);
                    // What was sent to the process before is lost.
                    self.budget.record_read(now, &endpoint.id, now);
                }
                Change::Removed(endpoint) => {
                    if endpoint.is_draining {
                        self.suspects.record_left(now, &endpoint.id);
                    } else {
                        self.suspects.record_crash(now, &endpoint.id);
                    }
                    self.loads.remove_if_idle(&endpoint.id);
                    self.limits.remove(&endpoint.id);
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

    /// Removes endpoints that a peer knows to have left.
    pub(super) fn apply_departures(&mut self, now: Time, departures: &[Departure]) {
        let changes = self.directory.apply_departures(departures);
        self.apply_changes(now, &changes);
    }

    /// Records that the store has come back from a copy, so that what this replica wrote there is gone.
    pub fn record_store_return(&mut self) {
        self.suspects.mark_lost();
    }

    /// Records that the list of endpoints cannot be read.
    pub fn mark_store_unreachable(&mut self, now: Time) {
        self.contact.record_loss(now);
        self.history.mark_store_unreachable();
    }

    /// Returns the versions of this replica's copy of the store.
    pub fn versions(&self) -> Versions {
        self.staleness.own()
    }

    /// Returns whether a peer has a newer configuration than this replica.
    pub fn is_configuration_stale(&self, now: Time) -> bool {
        let own = self.staleness.own().configuration;
        self.peers.any_live(now, |versions| versions.configuration > own)
    }

    /// Returns the peers that have data which the store should have delivered to this replica by
    /// now; empty if nothing is overdue.
    pub fn catch_up_peers(&self, now: Time) -> Vec<Member> {
        if !self.staleness.is_overdue(now) {
            return Vec::new();
        }
        self.peers.ahead_of(now, self.staleness.own()).collect()
    }

    /// Returns the list of endpoints, for a peer that cannot read the store.
    pub fn listing(&self, now: Time) -> Listing {
        let (position, mut rows) = self.directory.rows();
        for row in &mut rows {
            row.cold = self.gate.cold.get(now, &row.id).map_or(Duration::ZERO, |cold| cold.until.since(now));
        }
        Listing { position, is_complete: true, rows }
    }
}
