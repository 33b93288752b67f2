//! Pace of endpoints that have just started or recovered.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::State;
use crate::{
    clock::Time,
    gateway::{
        directory::{Change, Endpoint, Row},
        forecast::Observation,
        health::Outcome,
        mechanism::Mechanism,
        pace::{Event, Paces, Report, judge},
    },
};

/// Shortest outage after which an endpoint is paced. Shorter ones are mostly false alarms.
const MIN_OUTAGE: Duration = Duration::from_millis(500);

impl<T> State<T> {
    /// Returns the endpoints of rows that list processes which were not listed before. Rows of the first list count as known.
    pub(super) fn newly_listed(&self, rows: &[Row]) -> BTreeSet<Arc<str>> {
        if !self.directory.is_loaded() {
            return BTreeSet::new();
        }
        let started = rows.iter().filter_map(|row| row.endpoint.as_ref());
        let is_new =
            |endpoint: &&Arc<Endpoint>| self.directory.newest_start(&endpoint.id) < Some(endpoint.started_ms);
        started.filter(is_new).map(|endpoint| endpoint.id.clone()).collect()
    }

    /// Paces the endpoints among `changes` that have just started; `new` are processes that were not listed before.
    pub(super) fn pace_started(&mut self, now: Time, changes: &[Change], new: &BTreeSet<Arc<str>>) {
        for change in changes {
            let (Change::Updated(endpoint) | Change::Restarted(endpoint)) = change else { continue };
            if matches!(change, Change::Restarted(_)) && !self.loads.outages.is_known(&endpoint.id) {
                self.loads.paces.record_end(now, &endpoint.id);
            }
            if new.contains(&endpoint.id) {
                self.begin_pace(now, endpoint);
            }
        }
    }

    /// Paces the endpoints whose outages are over.
    pub(super) fn pace_recovered(&mut self, now: Time) {
        for (endpoint, outage) in self.loads.outages.take_turns() {
            let Some(outage) = outage else {
                self.loads.paces.record_end(now, &endpoint);
                continue;
            };
            let endpoint = self.directory.get(&endpoint).filter(|_| outage >= MIN_OUTAGE).cloned();
            if let Some(endpoint) = endpoint
                && self.loads.paces.limit(&endpoint.id).is_none()
            {
                self.begin_pace(now, &endpoint);
            }
        }
    }

    /// Paces an endpoint, unless most of its stage is new: then its neighbours could not take the load meanwhile.
    fn begin_pace(&mut self, now: Time, endpoint: &Endpoint) {
        if !self.uses(&endpoint.service, Mechanism::Pace) {
            return;
        }
        let Some(engine) = self.engine(&endpoint.service) else { return };
        let pool = self.directory.serving(&endpoint.service).filter(|other| other.stage == endpoint.stage);
        let others: Vec<&Arc<Endpoint>> = pool.filter(|other| other.id != endpoint.id).collect();
        let is_paced = |other: &Endpoint| self.loads.paces.limit(&other.id).is_some();
        let paced = 1 + others.iter().filter(|other| is_paced(other)).count();
        if paced * 2 > others.len() + 1 {
            return;
        }
        let run = self.typical_run(now, &endpoint.service);
        self.loads.paces.begin(now, endpoint, run, engine.memory);
    }

    /// Returns the mean memory of the runs of a service, if there are any.
    fn typical_run(&self, now: Time, service: &str) -> Option<u64> {
        let loads = self.directory.serving(service).filter_map(|endpoint| self.loads.get(&endpoint.id));
        let (memory, running) = loads.map(|load| load.total(now)).fold((0, 0), |(memory, running), share| {
            (memory + share.memory, running + u64::from(share.running))
        });
        memory.checked_div(running).filter(|memory| *memory > 0)
    }

    /// Records what an observation shows of a paced endpoint.
    pub(super) fn record_pace(&mut self, now: Time, endpoint: &Endpoint, observation: &Observation) {
        if self.loads.paces.limit(&endpoint.id).is_none() {
            return;
        }
        let own = self.forecasts.endpoint(now, &endpoint.service, &endpoint.id);
        let verdict = judge(observation, &own, &self.forecasts.service(&endpoint.service));
        self.loads.paces.record_answer(now, &endpoint.id, verdict);
    }

    /// Records how a request at a paced endpoint ended.
    pub(super) fn record_pace_end(&mut self, now: Time, endpoint: &str, outcome: Outcome) {
        let is_failure = match outcome {
            Outcome::Failed
            | Outcome::Unreachable
            | Outcome::Unresponsive
            | Outcome::Refused
            | Outcome::ReservationRejected
            | Outcome::Full => true,
            Outcome::Responded(_) | Outcome::Replaced | Outcome::Abandoned => false,
        };
        if is_failure {
            self.loads.paces.record_failure(now, endpoint);
        }
    }

    /// Applies the findings of a peer.
    pub(super) fn apply_paces(&mut self, now: Time, report: &Report) {
        for (endpoint, finding) in report {
            self.loads.paces.apply(now, endpoint, *finding);
        }
    }

    pub(super) fn expire_paces(&mut self, now: Time) {
        let Self { loads, directory, .. } = self;
        loads.paces.expire(now, |endpoint| directory.get(endpoint).is_some());
    }

    /// Returns the paces of endpoints.
    pub fn paces(&self) -> &Paces {
        &self.loads.paces
    }

    /// Returns the changes of paces since the last call, to be logged.
    pub fn take_pace_events(&mut self) -> Vec<Event> {
        self.loads.paces.take_events()
    }
}
