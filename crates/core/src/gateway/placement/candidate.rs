//! Why endpoints are or are not candidates for a request, for operators.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use strum::Display;

use super::{Filter, MAX_EXCESS_FAILURE_RATIO, MAX_PREFILL_BACKLOG, Run, View};
use crate::gateway::{
    catalog::Engine,
    directory::{Endpoint, Stage},
};

/// The first reason for which an endpoint does not get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// It accepts no new requests.
    #[strum(to_string = "draining")]
    Draining,
    /// Its availability zone is evacuated.
    #[strum(to_string = "its zone is evacuated")]
    Evacuated,
    /// It is changing its stage.
    #[strum(to_string = "changing its stage")]
    ChangingStage,
    /// It takes only few requests, and this replica may send it none at the moment.
    #[strum(to_string = "takes only few requests")]
    Throttled,
    /// It has asked for a backoff.
    #[strum(to_string = "backing off")]
    BackingOff,
    /// This replica or a peer noticed that it has ended.
    #[strum(to_string = "has ended")]
    Ended,
    /// It was unreachable or rejected requests several times.
    #[strum(to_string = "ejected")]
    Ejected,
    /// It fails more often than others. Decode endpoints are used nonetheless if all others are full.
    #[strum(to_string = "fails more often than others")]
    Failing,
    /// A prompt has been in flight there for too long.
    #[strum(to_string = "a prompt stalls there")]
    Stalled,
    /// It has refused requests lately because it was full.
    #[strum(to_string = "refused requests lately")]
    Full,
    /// It runs as many requests as it has slots.
    #[strum(to_string = "no free slot")]
    NoSlot,
    /// The run does not fit into its memory.
    #[strum(to_string = "the run does not fit into its memory")]
    TooLittleMemory,
    /// Its backlog of prompts is too long.
    #[strum(to_string = "too many prompts queued")]
    Busy,
}

/// An endpoint, as a request sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name.
    pub endpoint: Arc<str>,
    /// Stage that it serves.
    pub stage: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Whether that is the zone of the gateway.
    pub is_local: bool,
    /// Software version.
    pub version: Arc<str>,
    /// Why it does not get the request; `None` if it may.
    pub excluded: Option<Exclusion>,
    /// Requests that it runs, as far as this replica knows.
    pub running: u32,
    /// Memory reserved there, in tokens.
    pub memory: u64,
    /// Prompt tokens queued there.
    pub prefill_tokens: u64,
    /// Share of its requests that failed lately.
    pub failure_ratio: f64,
    /// Of a decode endpoint, the memory that stays free with the run, with what it gains as a preferred endpoint, in
    /// tokens; the largest decides.
    pub free_memory: Option<u64>,
    /// Of a prefill endpoint, the time until the prompt is processed; the shortest decides, with a preference for the zone
    /// of the decode endpoint.
    pub prefill_ms: Option<u64>,
    /// Of another endpoint, the expected time to the response; the shortest decides.
    pub response_ms: Option<u64>,
}

impl View<'_> {
    /// Describes all endpoints of a service for a run; `engine` is the service's, if it has one.
    pub fn describe_candidates(
        &self,
        service: &str,
        engine: Option<&Engine>,
        run: &Run<'_>,
    ) -> Vec<Candidate> {
        let known = self.directory.all().filter(|endpoint| &*endpoint.service == service);
        known.map(|endpoint| self.candidate(endpoint, engine, run)).collect()
    }

    fn candidate(&self, endpoint: &Endpoint, engine: Option<&Engine>, run: &Run<'_>) -> Candidate {
        let current = self.load(endpoint).map(|load| load.total(self.now)).unwrap_or_default();
        let decode = engine.filter(|_| endpoint.stage == Stage::Decode);
        let is_prefill = endpoint.stage == Stage::Prefill;
        Candidate {
            endpoint: endpoint.id.clone(),
            stage: endpoint.stage.to_string().into(),
            zone: endpoint.zone.clone(),
            is_local: self.is_in_zone(endpoint, self.zone),
            version: endpoint.software_version.clone(),
            excluded: self.exclusion(endpoint, engine, run),
            running: current.running,
            memory: current.memory,
            prefill_tokens: current.prefill_tokens,
            failure_ratio: self.failure_ratio(endpoint),
            free_memory: decode.and_then(|engine| self.free_memory(endpoint, engine, run)),
            prefill_ms: is_prefill.then(|| self.prefill_times(endpoint, run.prompt).1.as_millis() as u64),
            response_ms: (endpoint.stage == Stage::Whole).then(|| self.expected_response(endpoint) / 1_000),
        }
    }

    /// Returns the first reason for which an endpoint does not get a run.
    fn exclusion(&self, endpoint: &Endpoint, engine: Option<&Engine>, run: &Run<'_>) -> Option<Exclusion> {
        if let Some(reason) = self.unreachable_because(endpoint) {
            return Some(reason);
        }
        let reachable = self.reachable(&endpoint.service, endpoint.stage, Filter::default());
        let best = reachable.iter().map(|other| self.failure_ratio(other)).fold(1.0, f64::min);
        if self.failure_ratio(endpoint) > best + MAX_EXCESS_FAILURE_RATIO {
            return Some(Exclusion::Failing);
        }
        match (endpoint.stage, engine) {
            (Stage::Prefill, _) => self.prefill_exclusion(endpoint, run),
            (Stage::Decode, Some(engine)) => self.decode_exclusion(endpoint, engine, run),
            (Stage::Decode, None) | (Stage::Whole, _) => None,
        }
    }

    /// Returns the first reason for which no request may be sent to an endpoint.
    fn unreachable_because(&self, endpoint: &Endpoint) -> Option<Exclusion> {
        let reasons = [
            (endpoint.is_draining, Exclusion::Draining),
            (self.directory.evacuations().contains(&endpoint.zone), Exclusion::Evacuated),
            (self.pools.is_changing(self.now, &endpoint.id), Exclusion::ChangingStage),
            (self.gate.wait(self.now, &endpoint.id) != Some(Duration::ZERO), Exclusion::Throttled),
            (!self.backoff(endpoint).is_zero(), Exclusion::BackingOff),
            (self.loads.outages.is_out(&endpoint.id), Exclusion::Ended),
            (self.is_ejected(endpoint), Exclusion::Ejected),
        ];
        reasons.into_iter().find(|(applies, _)| *applies).map(|(_, reason)| reason)
    }

    fn prefill_exclusion(&self, endpoint: &Endpoint, run: &Run<'_>) -> Option<Exclusion> {
        let (backlog, _) = self.prefill_times(endpoint, run.prompt);
        if self.is_stalled(endpoint, run.ttft_target) {
            return Some(Exclusion::Stalled);
        }
        (backlog > run.ttft_target.mul_f64(MAX_PREFILL_BACKLOG)).then_some(Exclusion::Busy)
    }

    fn decode_exclusion(&self, endpoint: &Endpoint, engine: &Engine, run: &Run<'_>) -> Option<Exclusion> {
        if self.free_memory(endpoint, engine, run).is_some() {
            return None;
        }
        let load = self.load(endpoint);
        if load.is_some_and(|load| load.is_full(self.now)) {
            return Some(Exclusion::Full);
        }
        let running = load.map_or(0, |load| load.total(self.now).running);
        Some(if running >= engine.slots { Exclusion::NoSlot } else { Exclusion::TooLittleMemory })
    }
}
