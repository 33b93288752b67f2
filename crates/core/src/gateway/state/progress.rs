//! What requests show about their endpoints.

use std::{collections::BTreeMap, sync::Arc};

use super::State;
use crate::{
    clock::Time,
    gateway::{
        directory::Endpoint,
        forecast::{Forecast, Observation},
        health::Outcome,
        load::Lease,
        outage::Reason,
        speed::Speeds,
    },
};

/// Pause between two prefills on a decode endpoint, in event intervals of its runs, so that no
/// event is delayed by both.
const PREFILL_PAUSE_EVENTS: u32 = 2;
/// Largest known load of an endpoint, as a fraction of its memory, at which a refused reservation is
/// unexpected. Reports of other replicas' newest runs are delayed.
const MAX_UNEXPECTED_LOAD: f64 = 0.5;

impl<T> State<T> {
    /// Records that an endpoint has asked for a backoff.
    pub fn record_backoff(&mut self, now: Time, endpoint: &Arc<str>, until: Time) {
        self.loads.backoffs.record(now, endpoint, until);
    }

    /// Records an observation. Ignored if the endpoint was removed, since the record would never be
    /// deleted.
    pub fn record_observation(&mut self, now: Time, endpoint: &Endpoint, observation: Observation) {
        if self.directory.get(&endpoint.id).is_none() {
            return;
        }
        if matches!(observation, Observation::Events { .. }) {
            self.record_answer(now, &endpoint.id);
        }
        self.record_pace(now, endpoint, &observation);
        let memory = self.loads.get(&endpoint.id).map_or(0, |load| load.total(now).memory);
        self.forecasts.record(now, &endpoint.service, &endpoint.id, memory, observation);
    }

    /// Records events that a run has produced.
    pub fn record_events(&mut self, lease: &Lease, service: &str, events: u64) {
        let event_tokens = self.forecasts.service(service).output_length_or_default().event_tokens;
        self.loads.record_tokens(lease, (events as f64 * event_tokens) as u64);
    }

    /// Returns the forecast for a service.
    pub fn forecast(&self, service: &str) -> Forecast {
        self.forecasts.service(service)
    }

    /// Returns the forecasts for all services.
    pub fn forecasts(&self) -> BTreeMap<Arc<str>, Forecast> {
        self.forecasts.typical()
    }

    /// Returns the speeds of the endpoints of each service.
    pub fn speeds(&self) -> impl Iterator<Item = (&Arc<str>, &Speeds)> {
        self.forecasts.all_speeds()
    }

    /// Returns an endpoint's event interval as a multiple of the typical one.
    pub fn relative_interval(&self, now: Time, endpoint: &Endpoint) -> f64 {
        self.forecasts.relative_interval(now, &endpoint.service, &endpoint.id)
    }

    /// Records the first event of a response.
    pub fn record_first_event(&mut self, now: Time, lease: &Lease) {
        let endpoint = self.directory.get(&lease.endpoint);
        let forecast = endpoint.map(|endpoint| self.forecasts.endpoint(now, &endpoint.service, &endpoint.id));
        let pause = forecast.unwrap_or_default().typical_event_interval() * PREFILL_PAUSE_EVENTS;
        self.loads.record_first_event(now, lease, pause);
        self.record_answer(now, &lease.endpoint);
    }

    /// Records the end of a request at its endpoint.
    pub fn record_end(&mut self, now: Time, lease: &Lease, outcome: Outcome) {
        let is_unexpected = outcome == Outcome::Full && self.seems_free(now, lease);
        if outcome == Outcome::Full
            && let Some(endpoint) = self.directory.get(&lease.endpoint)
        {
            self.yields.record_refusal(now, &endpoint.service);
        }
        self.loads.release(now, lease, outcome);
        if is_unexpected {
            self.loads.record_unexpected_refusal(now, &lease.endpoint);
        }
        if matches!(outcome, Outcome::Unreachable | Outcome::Unresponsive) {
            self.suspects.record_crash(now, &lease.endpoint);
            self.record_restart(now, &lease.endpoint);
        }
        self.record_pace_end(now, &lease.endpoint, outcome);
        match outcome {
            Outcome::Unreachable | Outcome::Replaced => {
                self.record_outage(now, &lease.endpoint, Reason::Unreachable);
            }
            Outcome::Responded(_) | Outcome::Refused | Outcome::ReservationRejected | Outcome::Full => {
                self.record_answer(now, &lease.endpoint);
            }
            Outcome::Failed | Outcome::Unresponsive | Outcome::Abandoned => {}
        }
        if self.directory.get(&lease.endpoint).is_none() {
            self.loads.remove_if_idle(&lease.endpoint);
        }
    }

    /// Returns whether an endpoint seems to have much free memory, with the memory of the lease in use.
    fn seems_free(&self, now: Time, lease: &Lease) -> bool {
        let endpoint = self.directory.get(&lease.endpoint);
        let engine = endpoint.and_then(|endpoint| self.engine(&endpoint.service));
        let used = self.loads.get(&lease.endpoint).map_or(0, |load| load.total(now).memory);
        engine.is_some_and(|engine| used as f64 <= engine.memory as f64 * MAX_UNEXPECTED_LOAD)
    }
}
