//! Split of a service's endpoints into a prefill and a decode pool.
//!
//! Prefill is bound by compute, decode by memory, and the sizes of prompts and outputs determine
//! how much of each is needed. The split is computed from recent requests, and endpoints are
//! ordered to change their pool one at a time. Only the ratio of prefill to decode work matters,
//! not the total load, so a burst does not trigger a change.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    catalog::Engine,
    digest::StageChange,
    directory::{Directory, Endpoint, Stage},
    forecast::{Forecast, Size, mean_memory},
    load::Loads,
};
use crate::clock::{Time, decay_factor};

/// Number of requests needed to compute a split, with older ones counting less. Prompt and output
/// sizes vary by half to double, so the mean of this many is accurate to about a sixth.
const MIN_REQUESTS: f64 = 15.0;
/// Number of observed outputs needed to compute a split, with older ones counting less. Callers'
/// estimates are off by half to double, so the mean of this many is accurate to about a fifth.
const MIN_OUTPUT_WEIGHT: f64 = 8.0;
/// Half-life of recorded requests: longer than a burst, shorter than a lasting shift of the
/// traffic.
const HALF_LIFE: Duration = Duration::from_secs(15);
/// Factor on the computed prefill demand. Prompts queue behind each other, so a pool without spare
/// capacity builds up a backlog. With little more, callers that return together after an outage
/// would wait for the few prefill endpoints for seconds.
const PREFILL_HEADROOM: f64 = 1.45;
/// Number of endpoints by which the split must differ from the target before one is moved. Above
/// one half, so that noise does not move the same endpoint back and forth.
const MIN_IMBALANCE: f64 = 0.8;
/// Output length for which the time per token is computed.
const REFERENCE_TOKENS: u64 = 1_000;
/// Fraction of an engine's memory that runs can use; the rest is lost to fragmentation.
const USABLE_MEMORY: f64 = 0.9;
/// Time after which an unconfirmed change is dropped. Covers the longest run, the change itself and
/// a delayed order.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(25);
/// How long digests carry a change that was not carried out, since some of them may be lost.
const CANCELLATION_SPAN: Duration = Duration::from_secs(3);
/// Shortest time between two orders, so that the directory shows the first before the next is
/// decided.
const MIN_ORDER_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long an imbalance must last before an endpoint moves to decode, so that a short one, such as
/// at the start of a burst or when endpoints fail, is ignored. A change made for it would soon be
/// reversed.
const TO_DECODE_DELAY: Duration = Duration::from_secs(2);
/// The same for a move to prefill. Longer, because a decode endpoint rejects runs while it changes,
/// and their prompts have then been prefilled for nothing. Prefill endpoints that fail in a burst
/// are back by the time that another could replace them.
const TO_PREFILL_DELAY: Duration = Duration::from_secs(4);
/// Maximum number of changes in progress.
const MAX_CHANGES: usize = 2;
/// Divisor of the number of endpoints that gives the number of changes to decode in progress where the demand of the
/// whole fleet is known. Prefill endpoints are free to change within a prompt, and only those beyond the target do.
const ENDPOINTS_PER_CHANGE: usize = 8;
/// Shortest time between two orders where the demand of the whole fleet is known.
const MIN_FLEET_ORDER_INTERVAL: Duration = Duration::from_millis(250);
/// Age at which the demand in a peer's digest no longer counts. Digests carry it about once a second.
const PEER_DEMAND_TTL: Duration = Duration::from_secs(5);

/// Exponentially decaying demand of one service. Stored as sizes and converted to times when used,
/// so that newer forecasts apply to older requests too.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Number of requests.
    pub requests: f64,
    /// Prompt tokens.
    pub prompt: f64,
    /// Fraction of a decode endpoint that each request occupies, by memory or by slots, summed.
    pub endpoints: f64,
    /// The same, weighted by the expected output tokens.
    pub endpoint_tokens: f64,
}

/// Demand by service.
pub type Demands = BTreeMap<Arc<str>, Demand>;

impl Demand {
    fn scale(&mut self, factor: f64) {
        self.requests *= factor;
        self.prompt *= factor;
        self.endpoints *= factor;
        self.endpoint_tokens *= factor;
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt += other.prompt;
        self.endpoints += other.endpoints;
        self.endpoint_tokens += other.endpoint_tokens;
    }

    /// Returns the fraction of endpoints needed for prefill, or `None` while forecasts lack data.
    fn prefill_fraction(&self, engine: &Engine, forecast: &Forecast) -> Option<f64> {
        forecast
            .output_length
            .filter(|output| output.weight >= MIN_OUTPUT_WEIGHT && forecast.has_decode_data())?;
        let mean_prompt = (self.prompt / self.requests) as u64;
        let prefill = forecast.prefill?.at(mean_prompt).as_secs_f64() * self.requests * PREFILL_HEADROOM;
        let full_memory = (engine.memory as f64 * USABLE_MEMORY) as u64;
        let decode_token =
            forecast.decode_time_at(REFERENCE_TOKENS, full_memory).as_secs_f64() / REFERENCE_TOKENS as f64;
        let first_event = forecast.first_event_time(mean_prompt).as_secs_f64();
        let decode = first_event * self.endpoints + decode_token * self.endpoint_tokens;
        Some(prefill / (prefill + decode).max(f64::MIN_POSITIVE))
    }
}

/// Order to an endpoint to change its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The endpoint to change.
    pub endpoint: Arc<Endpoint>,
    /// The new stage.
    pub stage: Stage,
}

/// Whose demand a split is computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// That of this replica, which takes a while to be known where callers spread over many replicas.
    #[default]
    Replica,
    /// That of all replicas.
    Fleet,
}

/// Inputs about a service for computing its split.
#[derive(Clone, Copy, Debug)]
pub struct ServiceInfo<'a> {
    /// Name of the service.
    pub name: &'a Arc<str>,
    /// Capacity of its engines.
    pub engine: &'a Engine,
    /// Forecast of its prefill and decode times.
    pub forecast: &'a Forecast,
    /// Whose demand counts.
    pub scope: Scope,
}

/// Demand of all services, and the stage changes in progress.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    /// Demand by service, with the time up to which it has decayed.
    demand: BTreeMap<Arc<str>, (Time, Demand)>,
    /// Demand at peers by service, with the time of each report.
    peer_demands: BTreeMap<Arc<str>, (Time, Demands)>,
    /// Changes ordered by this replica, with their timeout and the new stage.
    changing: BTreeMap<Arc<str>, (Time, Stage)>,
    /// Changes ordered by this replica that were not carried out, with the time until which digests carry them.
    cancelled: BTreeMap<Arc<str>, (Time, Stage)>,
    /// Changes ordered by peers, likewise.
    peer_changing: BTreeMap<Arc<str>, (Time, Stage)>,
    last_order: Option<Time>,
    /// Since when a service has too many endpoints of a stage, and which stage.
    imbalanced: BTreeMap<Arc<str>, (Time, Stage)>,
}

impl Pools {
    /// Records a request.
    pub fn record_request(&mut self, now: Time, service: &Arc<str>, engine: &Engine, size: Size) {
        let Size { prompt, expected_output, .. } = size;
        let (decayed_at, demand) = self.demand.entry(service.clone()).or_default();
        demand.scale(decay_factor(now.since(*decayed_at), HALF_LIFE));
        *decayed_at = now;
        let runs = engine.memory as f64 * USABLE_MEMORY / mean_memory(prompt, expected_output).max(1) as f64;
        let endpoints = 1.0 / runs.clamp(1.0, f64::from(engine.slots.max(1)));
        demand.requests += 1.0;
        demand.prompt += prompt as f64;
        demand.endpoints += endpoints;
        demand.endpoint_tokens += endpoints * expected_output as f64;
    }

    /// Returns the demand at this replica, for its digest.
    pub fn demands(&self, now: Time) -> Demands {
        let decayed = |(decayed_at, demand): &(Time, Demand)| {
            let mut demand = *demand;
            demand.scale(decay_factor(now.since(*decayed_at), HALF_LIFE));
            demand
        };
        self.demand.iter().map(|(service, demand)| (service.clone(), decayed(demand))).collect()
    }

    /// Records the demand that a peer reports.
    pub fn record_peer_demands(&mut self, now: Time, peer: &Arc<str>, demands: &Demands) {
        self.peer_demands.insert(peer.clone(), (now, demands.clone()));
    }

    /// Removes the demand that an expired peer reported.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peer_demands.remove(peer);
    }

    /// Returns the demand for a service in a scope.
    fn demand(&self, now: Time, service: &str, scope: Scope) -> Demand {
        let mut sum = self.demands(now).get(service).copied().unwrap_or_default();
        if scope == Scope::Fleet {
            let fresh = self.peer_demands.values().filter(|(at, _)| now.since(*at) < PEER_DEMAND_TTL);
            fresh.filter_map(|(_, demands)| demands.get(service)).for_each(|demand| sum.add(demand));
        }
        sum
    }

    /// Returns how many of `count` endpoints prefill needs, as a fractional number. `None` without
    /// enough data.
    pub fn prefill_target(&self, now: Time, service: &ServiceInfo<'_>, count: usize) -> Option<f64> {
        let ServiceInfo { name, engine, forecast, scope } = service;
        let demand = self.demand(now, name, *scope);
        if demand.requests < MIN_REQUESTS || count < 2 {
            return None;
        }
        let fraction = demand.prefill_fraction(engine, forecast)?;
        Some((count as f64 * fraction).clamp(1.0, count as f64 - 1.0))
    }

    /// Returns whether an endpoint is changing its stage and must get no work.
    pub fn is_changing(&self, now: Time, endpoint: &str) -> bool {
        self.changing.get(endpoint).is_some_and(|(until, _)| *until > now)
            || self.peer_changing.get(endpoint).is_some_and(|(until, _)| *until > now)
    }

    /// Returns the changes that this replica has ordered, for its digest. No time remains for those that were not carried
    /// out.
    pub fn changes(&self, now: Time) -> BTreeMap<Arc<str>, StageChange> {
        let is_due = |(_, (until, _)): &(&Arc<str>, &(Time, Stage))| *until > now;
        let cancelled = self.cancelled.iter().filter(is_due);
        let cancelled = cancelled.map(|(endpoint, (_, stage))| {
            (endpoint.clone(), StageChange { stage: *stage, remaining: Duration::ZERO })
        });
        let pending = self.changing.iter().filter(is_due);
        let pending = pending.map(|(endpoint, (until, stage))| {
            (endpoint.clone(), StageChange { stage: *stage, remaining: until.since(now) })
        });
        cancelled.chain(pending).collect()
    }

    /// Records a change that a peer has ordered.
    pub fn record_peer_change(&mut self, now: Time, endpoint: &Arc<str>, change: StageChange) {
        let until = now.plus(change.remaining.min(CHANGE_TIMEOUT));
        self.peer_changing.insert(endpoint.clone(), (until, change.stage));
    }

    /// Completes a change once the directory lists the endpoint with its new stage.
    pub fn confirm(&mut self, endpoint: &Endpoint) {
        if self.changing.get(&endpoint.id).is_some_and(|(_, stage)| *stage == endpoint.stage) {
            self.changing.remove(&endpoint.id);
        }
        if self.peer_changing.get(&endpoint.id).is_some_and(|(_, stage)| *stage == endpoint.stage) {
            self.peer_changing.remove(&endpoint.id);
        }
    }

    /// Drops a change whose order was rejected or could not be sent.
    pub fn cancel(&mut self, now: Time, endpoint: &str) {
        if let Some((endpoint, (_, stage))) = self.changing.remove_entry(endpoint) {
            self.cancelled.insert(endpoint, (now.plus(CANCELLATION_SPAN), stage));
        }
    }

    /// Returns the next change that the split of a service requires. `rank` is the number of
    /// replicas with precedence over this one. Only the first replica decides: each receives other
    /// requests, so otherwise the least accurate estimate would move an endpoint.
    pub fn next_order(
        &mut self,
        now: Time,
        service: &ServiceInfo<'_>,
        directory: &Directory,
        loads: &Loads,
        rank: u32,
    ) -> Option<Order> {
        let name = service.name;
        self.changing.retain(|_, (until, _)| *until > now);
        self.cancelled.retain(|_, (until, _)| *until > now);
        self.peer_changing.retain(|_, (until, _)| *until > now);
        let endpoints: Vec<&Arc<Endpoint>> =
            directory.serving(name).filter(|endpoint| endpoint.stage != Stage::Whole).collect();
        let target = self.prefill_target(now, service, endpoints.len())?;
        let prefilling =
            endpoints.iter().filter(|endpoint| self.target_stage(endpoint) == Stage::Prefill).count();
        let excess = prefilling as f64 - target;
        if excess.abs() < MIN_IMBALANCE {
            self.imbalanced.remove(name);
            return None;
        }
        let (from, to) =
            if excess > 0.0 { (Stage::Prefill, Stage::Decode) } else { (Stage::Decode, Stage::Prefill) };
        let imbalance = self.imbalanced.entry(name.clone()).or_insert((now, from));
        if imbalance.1 != from {
            *imbalance = (now, from);
        }
        let delay = if to == Stage::Prefill { TO_PREFILL_DELAY } else { TO_DECODE_DELAY };
        if rank > 0 || now.since(imbalance.0) < delay {
            return None;
        }
        let (interval, most) = pace(service.scope, to, endpoints.len());
        let is_due = self.last_order.is_none_or(|at| now.since(at) >= interval);
        if !is_due || self.changing.len() + self.peer_changing.len() >= most {
            return None;
        }
        // Prefill and decode have the same software version, so no version loses its last endpoint of a stage, and one
        // without any gets it first.
        let count = |version: &Arc<str>, stage| {
            let of_version = endpoints.iter().filter(|endpoint| endpoint.software_version == *version);
            of_version.filter(|endpoint| self.target_stage(endpoint) == stage).count()
        };
        let candidates = endpoints.iter().filter(|endpoint| endpoint.stage == from);
        let candidates = candidates.filter(|endpoint| loads.backoffs.remaining(now, &endpoint.id).is_zero());
        let idle = candidates.filter(|endpoint| !self.is_changing(now, &endpoint.id));
        let spare = idle.filter(|endpoint| count(&endpoint.software_version, from) > 1);
        let key = |endpoint: &&&Arc<Endpoint>| {
            let has_stage = count(&endpoint.software_version, to) > 0;
            (has_stage, pending_work(now, loads, endpoint))
        };
        let endpoint: Arc<Endpoint> = (*spare.min_by_key(key)?).clone();
        self.last_order = Some(now);
        self.changing.insert(endpoint.id.clone(), (now.plus(CHANGE_TIMEOUT), to));
        Some(Order { endpoint, stage: to })
    }

    /// Returns the stage that an endpoint will have after any change in progress.
    fn target_stage(&self, endpoint: &Endpoint) -> Stage {
        let change = self.changing.get(&endpoint.id).or_else(|| self.peer_changing.get(&endpoint.id));
        change.map_or(endpoint.stage, |(_, stage)| *stage)
    }
}

/// Returns the shortest time between two orders, and the maximum number of changes in progress.
fn pace(scope: Scope, to: Stage, endpoints: usize) -> (Duration, usize) {
    match (scope, to) {
        (Scope::Fleet, Stage::Decode) => {
            (MIN_FLEET_ORDER_INTERVAL, MAX_CHANGES.max(endpoints / ENDPOINTS_PER_CHANGE))
        }
        (Scope::Fleet | Scope::Replica, _) => (MIN_ORDER_INTERVAL, MAX_CHANGES),
    }
}

/// Returns the tokens that an endpoint must finish before it can change.
fn pending_work(now: Time, loads: &Loads, endpoint: &Endpoint) -> u64 {
    loads.get(&endpoint.id).map_or(0, |load| {
        let total = load.total(now);
        total.prefill_tokens + total.memory
    })
}
