//! Selection of the endpoints for a request.

pub mod candidate;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use xxhash_rust::xxh3::Xxh3;

use super::{
    catalog::Engine,
    directory::{Directory, Endpoint, Stage},
    forecast::{Forecasts, Size},
    growth::Growth,
    load::{Load, Loads},
    order::Room,
    outage::Access,
    pools::Pools,
    throttle::Gate,
};
use crate::clock::{Time, micros};

/// Endpoints whose failure ratio exceeds the lowest of their service by more than this are used
/// only if no other can take the request. Tolerates a single recent failure; an endpoint that fails
/// two requests in five is above it on average.
const MAX_EXCESS_FAILURE_RATIO: f64 = 0.3;
/// Factor on the expected response time of an endpoint in another availability zone. The local zone
/// is used where both are alike, since traffic between zones costs money.
const CROSS_ZONE_FACTOR: f64 = 1.2;
/// Prefill time that an endpoint in another availability zone must save, as a fraction of the
/// time-to-first-token target. Accounts for the transfer of the KV cache between zones.
const CROSS_ZONE_PREFILL_SAVING: f64 = 0.06;
/// Largest head start that a replica gives to the prefill endpoints it prefers, as a fraction of the
/// time-to-first-token target. Replicas that do not know each other's newest prompts would otherwise
/// all pick the same idle endpoint. Below [`CROSS_ZONE_PREFILL_SAVING`], so that no preference leaves
/// the zone.
const PREFILL_PREFERENCE: f64 = 0.05;
/// Largest backlog at a prefill endpoint, as a fraction of the time-to-first-token target. With a
/// larger one, the prompt would time out and be sent to a second endpoint, which adds to the load.
const MAX_PREFILL_BACKLOG: f64 = 0.45;
/// Time after which a prefill counts as stalled, as a fraction of the time-to-first-token target.
/// Above [`MAX_PREFILL_BACKLOG`], because reports from other replicas are delayed.
const STALLED_PREFILL: f64 = 2.0 * MAX_PREFILL_BACKLOG;
/// Bonus for a decode endpoint in the local availability zone, as a fraction of its memory.
const LOCAL_ZONE_BONUS: f64 = 0.05;

/// Largest bonus by which replicas prefer different endpoints, as a fraction of the memory. Without
/// it, replicas that do not know each other's newest runs would all pick the same endpoint.
const PREFERENCE_BONUS: f64 = 0.2;

/// Bounds of the exponent by which the interval counts more for a longer output. The output is only estimated.
const OUTPUT_EXPONENTS: (f64, f64) = (0.5, 1.5);

/// Retry delay while all endpoints have named limits that belong to other replicas. A caller that comes back may reach
/// one of these.
const OWNER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Fraction of an engine's memory kept free for runs of other replicas that are not reported yet.
const HEADROOM: f64 = 0.03;
/// Fraction of an engine's memory kept free when placing a late request, for requests that can
/// still meet their target. A late response is worth less than one on time, but its run occupies
/// memory as long and would make the next request of a burst late.
const LATE_HEADROOM: f64 = 0.2;

/// Returns the memory that must stay free at an endpoint after placing a request, in tokens.
pub fn headroom(engine: &Engine, is_late: bool) -> u64 {
    let fraction = if is_late { LATE_HEADROOM } else { HEADROOM };
    (engine.memory as f64 * fraction) as u64
}

/// Which endpoints a request may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Filter<'a> {
    /// Endpoints that failed the request before.
    pub avoid: &'a [Arc<str>],
    /// Software version that an endpoint must have; `None` if any will do.
    pub software_version: Option<&'a str>,
}

impl Filter<'_> {
    fn admits(&self, endpoint: &Endpoint) -> bool {
        let has_version = self.software_version.is_none_or(|version| version == &*endpoint.software_version);
        has_version && !self.avoid.contains(&endpoint.id)
    }
}

/// How long a run may hold its memory, at endpoints that differ in speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Expected output, in tokens.
    pub output: u64,
    /// When the caller disconnects.
    pub deadline: Time,
}

/// A run to be placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Run<'a> {
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Expected KV cache use over time.
    pub growth: Growth,
    /// Memory that must stay free in addition to the run, in tokens.
    pub headroom: u64,
    /// Target for the longest pause between events; zero if none is declared.
    pub target_gap: Duration,
    /// Target for the time to the first event.
    pub ttft_target: Duration,
    /// What it claims of an endpoint's time; `None` if only memory decides.
    pub claim: Option<Claim>,
    /// Decode endpoints that it may use.
    pub filter: Filter<'a>,
}

/// Endpoints selected for a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Decode endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Prefill endpoint; if `None`, the decode endpoint processes the prompt itself.
    pub prefill: Option<Arc<Endpoint>>,
}

/// Result of selecting a prefill endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prefill {
    /// The prompt goes to this endpoint.
    Endpoint(Arc<Endpoint>),
    /// The backlog of the prefill endpoints is too large at the moment.
    Busy,
    /// There is no prefill endpoint to try.
    Unavailable,
}

/// Inputs of a placement decision.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Time of the decision.
    pub now: Time,
    /// Known endpoints.
    pub directory: &'a Directory,
    /// Those of them that take only few requests.
    pub gate: &'a Gate,
    /// Their loads.
    pub loads: &'a Loads,
    /// Stage changes in progress.
    pub pools: &'a Pools,
    /// Forecasts of prefill and decode times.
    pub forecasts: &'a Forecasts,
    /// Availability zone of this replica.
    pub zone: &'a str,
    /// Name of this replica.
    pub replica: &'a str,
    /// Decode endpoints that this replica may use for prefill.
    pub partition: Partition,
}

/// Assignment of decode endpoints to replicas for local prefill. Each endpoint belongs to one
/// replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partition {
    /// Index of this replica, below `count`.
    pub index: u32,
    /// Number of replicas.
    pub count: u32,
}

impl Partition {
    /// Returns whether the endpoint at an index of the shared list belongs to this replica.
    fn contains(self, index: usize) -> bool {
        index as u32 % self.count.max(1) == self.index
    }
}

impl<'a> View<'a> {
    fn load(&self, endpoint: &Endpoint) -> Option<&'a Load> {
        self.loads.get(&endpoint.id)
    }

    /// Returns the endpoints that the filter admits and that are not changing their stage, ejected, backing off, or
    /// throttled with no request due from this replica.
    fn reachable(&self, service: &'a str, stage: Stage, filter: Filter<'_>) -> Vec<&'a Arc<Endpoint>> {
        let serving = self.directory.serving(service).filter(|endpoint| endpoint.stage == stage);
        let admitted = serving.filter(|endpoint| filter.admits(endpoint));
        let stable = admitted.filter(|endpoint| !self.pools.is_changing(self.now, &endpoint.id));
        let open = stable.filter(|endpoint| self.gate.wait(self.now, &endpoint.id) == Some(Duration::ZERO));
        let available = open.filter(|endpoint| self.backoff(endpoint).is_zero());
        let healthy = available.filter(|endpoint| !self.is_ejected(endpoint)).collect();
        self.without_outages(service, stage, healthy, filter)
    }

    /// Removes endpoints that have ended, unless one is due for a try. A request that has met one tries no other, and one that
    /// has just met several waits. If all
    /// have ended, those that only peers noticed are kept: the peers may be cut off.
    fn without_outages(
        &self,
        service: &str,
        stage: Stage,
        endpoints: Vec<&'a Arc<Endpoint>>,
        filter: Filter<'_>,
    ) -> Vec<&'a Arc<Endpoint>> {
        let outages = &self.loads.outages;
        if outages.out().next().is_none() {
            return endpoints;
        }
        if stage == Stage::Decode && outages.is_settling(self.now, filter.avoid) {
            return Vec::new();
        }
        let has_tried = filter.avoid.iter().any(|endpoint| outages.is_out(endpoint));
        let access = |endpoint: &Endpoint| outages.access(self.now, &endpoint.id, self.preference(endpoint));
        let is_open = |endpoint: &Endpoint| match access(endpoint) {
            Access::Open => true,
            Access::Try => !has_tried,
            Access::Closed { .. } => false,
        };
        let open: Vec<_> = endpoints.iter().copied().filter(|endpoint| is_open(endpoint)).collect();
        let mut pool = self.directory.serving(service).filter(|endpoint| endpoint.stage == stage);
        if pool.any(|endpoint| access(endpoint) == Access::Open) || has_tried {
            return open;
        }
        let is_hearsay = |endpoint: &Endpoint| access(endpoint) == Access::Closed { is_hearsay: true };
        endpoints.into_iter().filter(|endpoint| is_open(endpoint) || is_hearsay(endpoint)).collect()
    }

    /// Returns the reachable endpoints, without those that fail more often than the others.
    fn candidates(&self, service: &'a str, stage: Stage, filter: Filter<'_>) -> Vec<&'a Arc<Endpoint>> {
        let mut reachable = self.reachable(service, stage, filter);
        let best = reachable.iter().map(|endpoint| self.failure_ratio(endpoint)).fold(1.0, f64::min);
        reachable.retain(|endpoint| self.failure_ratio(endpoint) <= best + MAX_EXCESS_FAILURE_RATIO);
        reachable
    }

    fn is_ejected(&self, endpoint: &Endpoint) -> bool {
        self.load(endpoint).is_some_and(|load| load.health.is_ejected(self.now))
    }

    /// Returns the remaining backoff of an endpoint.
    fn backoff(&self, endpoint: &Endpoint) -> Duration {
        self.loads.backoffs.remaining(self.now, &endpoint.id)
    }

    /// Returns the shortest remaining backoff of a stage's endpoints; `None` unless all of them are backing
    /// off.
    pub fn shortest_backoff(&self, service: &str, stage: Stage) -> Option<Duration> {
        let serving = self.directory.serving(service).filter(|endpoint| endpoint.stage == stage);
        serving.map(|endpoint| self.backoff(endpoint)).min().filter(|backoff| !backoff.is_zero())
    }

    /// Returns the shortest time until this replica may send to a throttled endpoint of a stage; `None` if no endpoint
    /// is throttled.
    pub fn shortest_throttle_wait(&self, service: &str, stage: Stage) -> Option<Duration> {
        let serving = self.directory.serving(service).filter(|endpoint| endpoint.stage == stage);
        let throttled = serving.filter(|endpoint| self.gate.is_throttled(self.now, &endpoint.id));
        throttled
            .map(|endpoint| {
                let until_warm = || {
                    let cold = self.gate.cold.get(self.now, &endpoint.id);
                    cold.map_or(OWNER_RETRY_AFTER, |cold| cold.until.since(self.now))
                };
                self.gate.wait(self.now, &endpoint.id).unwrap_or_else(until_warm)
            })
            .min()
    }

    /// Returns how many requests this replica may send to the endpoints of a stage before `deadline`; `None` unless all
    /// of them are throttled.
    pub fn turns_before(&self, service: &str, stage: Stage, deadline: Time) -> Option<u64> {
        let mut serving =
            self.directory.serving(service).filter(|endpoint| endpoint.stage == stage).peekable();
        serving.peek()?;
        serving.map(|endpoint| self.gate.turns_before(self.now, &endpoint.id, deadline)).sum()
    }

    /// Returns whether a prompt has been in flight for so long that the endpoint probably hangs.
    fn is_stalled(&self, endpoint: &Endpoint, ttft_target: Duration) -> bool {
        let longest = ttft_target.mul_f64(STALLED_PREFILL);
        self.load(endpoint).is_some_and(|load| load.health.longest_wait(self.now) > longest)
    }

    fn failure_ratio(&self, endpoint: &Endpoint) -> f64 {
        self.load(endpoint).map_or(0.0, |load| load.failure_ratio(self.now))
    }

    /// Picks an endpoint for a whole request: the one with the shortest expected response time.
    pub fn pick_whole(&self, service: &str, filter: Filter<'_>) -> Option<Arc<Endpoint>> {
        let is_full = |endpoint: &Endpoint| self.load(endpoint).is_some_and(|load| load.is_full(self.now));
        let candidates = self.candidates(service, Stage::Whole, filter).into_iter();
        candidates.min_by_key(|endpoint| (is_full(endpoint), self.expected_response(endpoint))).cloned()
    }

    /// Returns the expected response time of an endpoint for one more request, in microseconds, with an allowance for another
    /// zone.
    fn expected_response(&self, endpoint: &Endpoint) -> u64 {
        let Some(load) = self.load(endpoint) else { return 0 };
        let in_flight = f64::from(load.total(self.now).running + 1);
        let zone_factor = if self.is_in_zone(endpoint, self.zone) { 1.0 } else { CROSS_ZONE_FACTOR };
        micros(load.health.response_time(self.now).mul_f64(in_flight * zone_factor))
    }

    /// Returns the time until an endpoint's backlog is processed, without and with `prompt` further
    /// tokens.
    fn prefill_times(&self, endpoint: &Endpoint, prompt: u64) -> (Duration, Duration) {
        let queued = self.load(endpoint).map_or(0, |load| load.total(self.now).prefill_tokens);
        let forecast = self.forecasts.endpoint(self.now, &endpoint.service, &endpoint.id);
        let backlog = if queued == 0 { Duration::ZERO } else { forecast.prefill_time(queued) };
        (backlog, forecast.prefill_time(queued + prompt))
    }

    /// Picks the prefill endpoint that finishes the prompt first, with a preference for `zone`,
    /// where the KV cache is needed.
    pub fn pick_prefill(
        &self,
        service: &str,
        prompt: u64,
        ttft_target: Duration,
        zone: &str,
        filter: Filter<'_>,
    ) -> Prefill {
        let penalty = ttft_target.mul_f64(CROSS_ZONE_PREFILL_SAVING);
        let mut candidates = self.candidates(service, Stage::Prefill, filter);
        if candidates.iter().any(|endpoint| !self.is_stalled(endpoint, ttft_target)) {
            candidates.retain(|endpoint| !self.is_stalled(endpoint, ttft_target));
        }
        let is_within_pace = |endpoint: &Endpoint| {
            let queued = self.load(endpoint).map_or(0, |load| load.total(self.now).prefill_tokens);
            self.is_within_pace(endpoint, queued, prompt)
        };
        if candidates.iter().any(|endpoint| is_within_pace(endpoint)) {
            candidates.retain(|endpoint| is_within_pace(endpoint));
        }
        let timed = candidates.into_iter().map(|endpoint| (self.prefill_times(endpoint, prompt), endpoint));
        let best = timed.min_by_key(|((_, end), endpoint)| {
            let zone_penalty = if self.is_in_zone(endpoint, zone) { Duration::ZERO } else { penalty };
            let aversion = PREFILL_PREFERENCE * (1.0 - self.preference(endpoint));
            *end + zone_penalty + ttft_target.mul_f64(aversion)
        });
        match best {
            // Otherwise decode endpoints would get all prompts at once.
            None if self.shortest_backoff(service, Stage::Prefill).is_some()
                || self.shortest_throttle_wait(service, Stage::Prefill).is_some() =>
            {
                Prefill::Busy
            }
            None => Prefill::Unavailable,
            Some(((backlog, _), _)) if backlog > ttft_target.mul_f64(MAX_PREFILL_BACKLOG) => Prefill::Busy,
            Some((_, endpoint)) => Prefill::Endpoint(endpoint.clone()),
        }
    }

    /// Picks the endpoints for a run; `None` if it has to stay queued. Both have the same software version, because what two
    /// versions keep in memory may not fit together.
    pub fn pick_pair(&self, service: &str, engine: &Engine, run: &Run<'_>) -> Option<Placement> {
        let Some(endpoint) = self.pick_decode_beside_prefill(service, engine, run) else {
            return self.pick_alone(service, engine, run);
        };
        let filter = Filter { software_version: Some(&endpoint.software_version), ..Filter::default() };
        match self.pick_prefill(service, run.prompt, run.ttft_target, &endpoint.zone, filter) {
            Prefill::Endpoint(prefill) => Some(Placement { endpoint, prefill: Some(prefill) }),
            Prefill::Unavailable => Some(Placement { endpoint, prefill: None }),
            Prefill::Busy => {
                let endpoint = self.pick_decode_with_prefill(service, engine, run)?;
                Some(Placement { endpoint, prefill: None })
            }
        }
    }

    /// Picks the decode endpoint with the most free memory or, if the run has a claim, with the least memory in use over
    /// the endpoint's speed.
    pub fn pick_decode(&self, service: &str, engine: &Engine, run: &Run<'_>) -> Option<Arc<Endpoint>> {
        self.pick_decode_where(service, engine, run, |_| true)
    }

    fn pick_decode_where(
        &self,
        service: &str,
        engine: &Engine,
        run: &Run<'_>,
        is_admitted: impl Fn(&Endpoint) -> bool,
    ) -> Option<Arc<Endpoint>> {
        // Falls back to failing endpoints when the healthy ones are full: most of their runs still
        // succeed.
        let mut healthy = self.candidates(service, Stage::Decode, run.filter);
        healthy.retain(|endpoint| is_admitted(endpoint));
        self.most_free(healthy, engine, run).or_else(|| {
            let mut reachable = self.reachable(service, Stage::Decode, run.filter);
            reachable.retain(|endpoint| is_admitted(endpoint));
            self.most_free(reachable, engine, run)
        })
    }

    /// Picks a decode endpoint whose software version has prefill endpoints.
    fn pick_decode_beside_prefill(
        &self,
        service: &str,
        engine: &Engine,
        run: &Run<'_>,
    ) -> Option<Arc<Endpoint>> {
        let prefills = self.directory.serving(service).filter(|endpoint| endpoint.stage == Stage::Prefill);
        let versions: BTreeSet<&Arc<str>> = prefills.map(|endpoint| &endpoint.software_version).collect();
        self.pick_decode_where(service, engine, run, |endpoint| versions.contains(&endpoint.software_version))
    }

    /// Picks a decode endpoint that processes the prompt itself because its software version has no prefill endpoint. Where
    /// other versions have some, it is used only as if those were busy.
    fn pick_alone(&self, service: &str, engine: &Engine, run: &Run<'_>) -> Option<Placement> {
        let has_choice = run.filter.software_version.is_none() && self.has_stage(service, Stage::Prefill);
        let endpoint = if has_choice {
            self.pick_decode_with_prefill(service, engine, run)
        } else {
            self.pick_decode(service, engine, run)
        };
        Some(Placement { endpoint: endpoint?, prefill: None })
    }

    /// Picks a decode endpoint that processes the prompt itself while all prefill endpoints are
    /// busy. In a burst, prefill can be exhausted before decode memory is, and runs would then wait
    /// although there is room for them.
    ///
    /// Prefill stalls the endpoint's other runs. An endpoint therefore takes one prompt at a time,
    /// with a pause afterwards, and none that would stall runs for longer than `target_gap`. Each
    /// replica uses its own partition of endpoints, since two replicas unaware of each other's
    /// prompts would double the stall.
    fn pick_decode_with_prefill(
        &self,
        service: &str,
        engine: &Engine,
        run: &Run<'_>,
    ) -> Option<Arc<Endpoint>> {
        let forecast = self.forecasts.service(service);
        let stall = forecast.local_prefill_time(run.prompt) + forecast.typical_event_interval();
        if !run.target_gap.is_zero() && stall > run.target_gap {
            return None;
        }
        // Indexes all listed endpoints, since replicas may disagree on which ones are candidates.
        let listed = self.directory.serving(service).filter(|endpoint| endpoint.stage == Stage::Decode);
        let own = listed.enumerate().filter(|(index, _)| self.partition.contains(*index));
        let own: Vec<&Arc<str>> = own.map(|(_, endpoint)| &endpoint.id).collect();
        let mut idle = self.candidates(service, Stage::Decode, run.filter);
        idle.retain(|endpoint| own.contains(&&endpoint.id) && self.is_ready_for_prefill(endpoint));
        self.most_free(idle, engine, run)
    }

    fn is_ready_for_prefill(&self, endpoint: &Endpoint) -> bool {
        self.load(endpoint).is_none_or(|load| load.is_ready_for_prefill(self.now))
    }

    /// Returns the free memory of the endpoints that may take a run, without those that are full.
    pub fn rooms(&self, service: &str, stage: Stage, engine: &Engine, filter: Filter<'_>) -> Vec<Room> {
        let room = |endpoint: &Arc<Endpoint>| {
            let load = self.load(endpoint);
            let is_full = load.is_some_and(|load| load.is_full(self.now));
            let current = load.map(|load| load.total(self.now)).unwrap_or_default();
            let memory = engine.memory.saturating_sub(current.growth.peak() + headroom(engine, false));
            let slots = engine.slots.saturating_sub(current.running);
            let has_room = !is_full && memory > 0 && slots > 0;
            has_room.then(|| Room { endpoint: endpoint.id.clone(), memory, slots })
        };
        self.candidates(service, stage, filter).into_iter().filter_map(room).collect()
    }

    fn most_free(
        &self,
        endpoints: Vec<&Arc<Endpoint>>,
        engine: &Engine,
        run: &Run<'_>,
    ) -> Option<Arc<Endpoint>> {
        let candidates = endpoints.into_iter();
        let fitting =
            candidates.filter_map(|endpoint| Some((self.free_memory(endpoint, engine, run)?, endpoint)));
        let best = match &run.claim {
            Some(claim) => self.least_claimed(fitting, engine, run, claim),
            None => {
                let bonus = |endpoint| (engine.memory as f64 * self.bonus(endpoint)) as u64;
                let most = fitting.max_by_key(|(free, endpoint)| free + bonus(endpoint));
                most.map(|(_, endpoint)| endpoint)
            }
        };
        best.cloned()
    }

    /// Returns the number of decode endpoints where a run fits.
    pub fn room(&self, service: &str, engine: &Engine, run: &Run<'_>) -> usize {
        let candidates = self.candidates(service, Stage::Decode, run.filter).into_iter();
        candidates.filter(|endpoint| self.free_memory(endpoint, engine, run).is_some()).count()
    }

    /// Returns the memory that stays free at peak use after placing a run; `None` if the run does not fit.
    fn free_memory(&self, endpoint: &Endpoint, engine: &Engine, run: &Run<'_>) -> Option<u64> {
        let load = self.load(endpoint);
        if load.is_some_and(|load| load.is_full(self.now)) {
            return None;
        }
        let current = load.map(|load| load.total(self.now)).unwrap_or_default();
        if current.running >= engine.slots {
            return None;
        }
        let peak = (current.growth + run.growth).peak();
        if !self.is_within_pace(endpoint, current.growth.peak(), peak - current.growth.peak()) {
            return None;
        }
        // A run too large to leave the headroom free may still run alone.
        let is_alone = current.running == 0 && u64::from(run.growth.0[0]) <= engine.memory;
        if is_alone {
            Some(engine.memory.saturating_sub(peak))
        } else {
            engine.memory.checked_sub(peak + run.headroom)
        }
    }

    /// Returns the fraction of an endpoint's memory by which it is preferred to others.
    fn bonus(&self, endpoint: &Endpoint) -> f64 {
        let zone_bonus = if self.is_in_zone(endpoint, self.zone) { LOCAL_ZONE_BONUS } else { 0.0 };
        zone_bonus + PREFERENCE_BONUS * self.preference(endpoint)
    }

    /// Picks the endpoint at which a run claims the least, with its free memory in tokens. One where it would miss a
    /// target is used only if no other has room.
    fn least_claimed<'e>(
        &self,
        fitting: impl Iterator<Item = (u64, &'e Arc<Endpoint>)>,
        engine: &Engine,
        run: &Run<'_>,
        claim: &Claim,
    ) -> Option<&'e Arc<Endpoint>> {
        let costs = fitting.map(|(free, endpoint)| {
            let relative = self.forecasts.relative_interval(self.now, &endpoint.service, &endpoint.id);
            let cost = self.cost(endpoint, engine, free, relative, claim);
            ((self.misses_target(endpoint, run, claim, relative), cost), endpoint)
        });
        let (_, endpoint) = costs.min_by(|((misses, cost), _), ((other_misses, other), _)| {
            misses.cmp(other_misses).then(cost.total_cmp(other))
        })?;
        Some(endpoint)
    }

    /// Returns the fraction of an endpoint's memory in use after placing a run, times the time for which the run holds it
    /// there. Endpoints so get work in proportion to their speed, and long outputs go to fast ones.
    fn cost(&self, endpoint: &Endpoint, engine: &Engine, free: u64, relative: f64, claim: &Claim) -> f64 {
        let used = 1.0 - free as f64 / engine.memory.max(1) as f64;
        let output = self.forecasts.service(&endpoint.service).output_length_or_default();
        let mean = (output.events * output.event_tokens).max(1.0);
        let (least, most) = OUTPUT_EXPONENTS;
        let exponent = (claim.output as f64 / mean).sqrt().clamp(least, most);
        used * relative.powf(exponent) * (1.0 - self.bonus(endpoint))
    }

    /// Returns whether a run would pause longer than its target at an endpoint, or not finish before its deadline.
    fn misses_target(&self, endpoint: &Endpoint, run: &Run<'_>, claim: &Claim, relative: f64) -> bool {
        let forecast = self.forecasts.service(&endpoint.service);
        if !forecast.has_decode_data() {
            return false;
        }
        let used = self.load(endpoint).map_or(0, |load| load.total(self.now).memory);
        let pause = forecast.event_interval_at(used + run.prompt).mul_f64(relative);
        let size = Size { prompt: run.prompt, expected_output: claim.output, max_output: claim.output };
        let total = forecast.slowed(relative).known_total_time(size);
        (!run.target_gap.is_zero() && pause > run.target_gap) || self.now.plus(total) > claim.deadline
    }

    /// Returns whether a request fits within the limit of an endpoint that has just started or recovered.
    fn is_within_pace(&self, endpoint: &Endpoint, used: u64, added: u64) -> bool {
        let replica = (self.preference(endpoint), self.partition.count);
        self.loads.paces.admits(self.now, &endpoint.id, (used, added), replica)
    }

    /// Returns this replica's preference for an endpoint, from 0 to 1: a hash that is stable over
    /// time and differs between replicas.
    fn preference(&self, endpoint: &Endpoint) -> f64 {
        let mut hash = Xxh3::new();
        hash.update(self.replica.as_bytes());
        hash.update(&[0]);
        hash.update(endpoint.id.as_bytes());
        hash.digest() as f64 / u64::MAX as f64
    }

    /// Summarizes the endpoints of a stage, for logs of refusals.
    pub fn describe(&self, service: &str, stage: Stage) -> String {
        let serving = self.directory.serving(service).filter(|endpoint| endpoint.stage == stage);
        let (mut all, mut ejected, mut full, mut running, mut memory) = (0, 0, 0, 0, 0);
        for endpoint in serving {
            all += 1;
            let Some(load) = self.load(endpoint) else { continue };
            ejected += u32::from(load.health.is_ejected(self.now));
            full += u32::from(load.is_full(self.now));
            running += load.total(self.now).running;
            memory += load.total(self.now).memory;
        }
        format!(
            "{all} {stage} endpoints, {ejected} ejected, {full} full, {running} runs, {memory} tokens reserved"
        )
    }

    fn is_in_zone(&self, endpoint: &Endpoint, zone: &str) -> bool {
        &*endpoint.zone == zone
    }

    /// Returns whether a service has endpoints that accept work, but all of them in evacuated zones.
    pub fn is_evacuated(&self, service: &str) -> bool {
        self.directory.serving(service).next().is_none()
            && self.directory.all().any(|endpoint| &*endpoint.service == service && !endpoint.is_draining)
    }

    /// Returns whether any endpoint of a stage accepts work and has this software version.
    pub fn serves_version(&self, service: &str, stage: Stage, version: &str) -> bool {
        let mut serving = self.directory.serving(service).filter(|endpoint| endpoint.stage == stage);
        serving.any(|endpoint| &*endpoint.software_version == version)
    }

    /// Returns whether a service has any endpoint of a stage that accepts work.
    pub fn has_stage(&self, service: &str, stage: Stage) -> bool {
        self.directory.serving(service).any(|endpoint| endpoint.stage == stage)
    }
}
