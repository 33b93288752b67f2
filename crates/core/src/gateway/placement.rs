//! Which endpoint takes a request.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::Xxh3;

use super::{
    catalog::Engine,
    directory::{Directory, Endpoint, Stage},
    forecast::Forecasts,
    growth::Growth,
    load::{Load, Loads},
    pools::Pools,
};
use crate::clock::{Time, micros};

/// An endpoint whose failure ratio is this far above the best of its service is left out while
/// another can take the request. Ten calls with one failure stay below it; an endpoint that fails
/// two in five goes above it.
const MAX_EXCESS_FAILURE_RATIO: f64 = 0.3;
/// An answer from another availability zone counts this much slower, so that the own zone is taken
/// where both are alike: bytes between zones cost.
const CROSS_ZONE_FACTOR: f64 = 1.2;
/// A prompt is read in another zone only to save waiting for this part of its ttft_target: moving its result
/// costs twice there.
const CROSS_ZONE_PREFILL_SAVING: f64 = 0.06;
/// Part of a prompt's aim that reading what is ahead of it may take. With more it would be late, and
/// asked of a second endpoint before the first is done, which makes the queues of both longer still.
const MAX_PREFILL_BACKLOG: f64 = 0.45;
/// Part of its aim within which a prompt is read unless its endpoint hangs: twice what is let stand ahead
/// of it, since others' word of what they sent is on its way.
const STALLED_PREFILL: f64 = 2.0 * MAX_PREFILL_BACKLOG;
/// Part of an engine's memory that a decode endpoint in the own zone may be fuller and still be
/// taken.
const LOCAL_ZONE_BONUS: f64 = 0.05;

/// Part of an engine's memory that an endpoint which this entry prefers may be fuller and still be taken.
/// Entries that all took the roomiest would meet there: what each takes is seen by the others a tenth of a
/// second later, and by then several have filled the same endpoint.
const PREFERENCE_BONUS: f64 = 0.2;

/// Part of an engine's memory that stays free for what the others have taken and not told yet.
const HEADROOM: f64 = 0.03;
/// Part of an engine's memory that stays free when a late request is placed. A late answer is worth
/// a fifth of one on time and takes memory as long: under a burst it would make the next one late.
const LATE_HEADROOM: f64 = 0.2;

/// Memory of an engine that placing a request must leave free, tokens.
pub fn headroom(engine: &Engine, is_late: bool) -> u64 {
    let part = if is_late { LATE_HEADROOM } else { HEADROOM };
    (engine.memory as f64 * part) as u64
}

/// A run that is to be placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Run<'a> {
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Memory it is expected to take over time.
    pub growth: Growth,
    /// Memory that must stay free beside it, tokens.
    pub headroom: u64,
    /// Longest pause between events that is on time; zero if none is declared.
    pub gap: Duration,
    /// Time to the first event that is on time.
    pub ttft_target: Duration,
    /// Endpoints that have failed it.
    pub avoid: &'a [Arc<str>],
}

/// Where a run goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Where its tokens are made.
    pub endpoint: Arc<Endpoint>,
    /// Where its prompt is read; without one, where its tokens are made.
    pub reader: Option<Arc<Endpoint>>,
}

/// Who reads a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prefill {
    /// This endpoint.
    Endpoint(Arc<Endpoint>),
    /// Nobody at the moment: too much is ahead everywhere.
    Busy,
    /// Nobody: no endpoint that only reads can be reached.
    Unavailable,
}

/// What placement looks at.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The moment of the decision.
    pub now: Time,
    /// The endpoints.
    pub directory: &'a Directory,
    /// What is under way at them.
    pub loads: &'a Loads,
    /// Endpoints that change their stage take no work.
    pub pools: &'a Pools,
    /// How long things take at them.
    pub forecasts: &'a Forecasts,
    /// The availability zone of this entry.
    pub zone: &'a str,
    /// The name of this entry.
    pub entry: &'a str,
    /// Which endpoints are this entry's own to have prompts read.
    pub partition: Partition,
}

/// An entry's part of what only one entry should do with an endpoint at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partition {
    /// Entries that go before it.
    pub index: u32,
    /// All entries.
    pub count: u32,
}

impl Partition {
    /// Whether the endpoint at an index of a list that all entries share is this entry's own.
    fn contains(self, index: usize) -> bool {
        index as u32 % self.count.max(1) == self.index
    }
}

impl<'a> View<'a> {
    fn load(&self, endpoint: &Endpoint) -> Option<&'a Load> {
        self.loads.get(&endpoint.id)
    }

    /// Endpoints that may be tried.
    fn reachable(&self, service: &'a str, stage: Stage, avoid: &[Arc<str>]) -> Vec<&'a Arc<Endpoint>> {
        let serving = self.directory.serving(service).filter(|endpoint| endpoint.stage == stage);
        let tried = serving.filter(|endpoint| !avoid.contains(&endpoint.id));
        let stable = tried.filter(|endpoint| !self.pools.is_changing(self.now, &endpoint.id));
        stable.filter(|endpoint| !self.is_ejected(endpoint)).collect()
    }

    /// The same without those known to do worse than the rest.
    fn candidates(&self, service: &'a str, stage: Stage, avoid: &[Arc<str>]) -> Vec<&'a Arc<Endpoint>> {
        let mut reachable = self.reachable(service, stage, avoid);
        let best = reachable.iter().map(|endpoint| self.failure_ratio(endpoint)).fold(1.0, f64::min);
        reachable.retain(|endpoint| self.failure_ratio(endpoint) <= best + MAX_EXCESS_FAILURE_RATIO);
        reachable
    }

    fn is_ejected(&self, endpoint: &Endpoint) -> bool {
        self.load(endpoint).is_some_and(|load| load.health.is_shunned(self.now))
    }

    /// Whether an endpoint has kept a prompt for so long that it has probably gone dark.
    fn is_stalled(&self, endpoint: &Endpoint, ttft_target: Duration) -> bool {
        let longest = ttft_target.mul_f64(STALLED_PREFILL);
        self.load(endpoint).is_some_and(|load| load.health.longest_wait(self.now) > longest)
    }

    fn failure_ratio(&self, endpoint: &Endpoint) -> f64 {
        self.load(endpoint).map_or(0.0, |load| load.failure_ratio(self.now))
    }

    /// An endpoint for a whole request: the one that is expected to answer first.
    pub fn whole(&self, service: &str, avoid: &[Arc<str>]) -> Option<Arc<Endpoint>> {
        let expected = |endpoint: &Endpoint| {
            let Some(load) = self.load(endpoint) else { return 0 };
            let ahead = f64::from(load.total(self.now).running + 1);
            let zones = if self.is_in_zone(endpoint, self.zone) { 1.0 } else { CROSS_ZONE_FACTOR };
            micros(load.health.answer_time(self.now).mul_f64(ahead * zones))
        };
        let is_full = |endpoint: &Endpoint| self.load(endpoint).is_some_and(|load| load.is_full(self.now));
        let candidates = self.candidates(service, Stage::Whole, avoid).into_iter();
        candidates.min_by_key(|endpoint| (is_full(endpoint), expected(endpoint))).cloned()
    }

    /// How long an endpoint is busy with the prompts that it has, and how long with `prompt` tokens more.
    fn prefill_times(&self, endpoint: &Endpoint, prompt: u64) -> (Duration, Duration) {
        let ahead = self.load(endpoint).map_or(0, |load| load.total(self.now).reading);
        let forecast = self.forecasts.endpoint(self.now, &endpoint.service, &endpoint.id);
        let busy = if ahead == 0 { Duration::ZERO } else { forecast.prefill_time(ahead) };
        (busy, forecast.prefill_time(ahead + prompt))
    }

    /// An endpoint that reads a prompt: the one that has read it first, near `zone` where its result
    /// goes.
    pub fn prefill(
        &self,
        service: &str,
        prompt: u64,
        ttft_target: Duration,
        zone: &str,
        avoid: &[Arc<str>],
    ) -> Prefill {
        let penalty = ttft_target.mul_f64(CROSS_ZONE_PREFILL_SAVING);
        let mut candidates = self.candidates(service, Stage::Prefill, avoid);
        if candidates.iter().any(|endpoint| !self.is_stalled(endpoint, ttft_target)) {
            candidates.retain(|endpoint| !self.is_stalled(endpoint, ttft_target));
        }
        let timed = candidates.into_iter().map(|endpoint| (self.prefill_times(endpoint, prompt), endpoint));
        let first = timed.min_by_key(
            |((_, read), endpoint)| {
                if self.is_in_zone(endpoint, zone) { *read } else { *read + penalty }
            },
        );
        match first {
            None => Prefill::Unavailable,
            Some(((busy, _), _)) if busy > ttft_target.mul_f64(MAX_PREFILL_BACKLOG) => Prefill::Busy,
            Some((_, endpoint)) => Prefill::Endpoint(endpoint.clone()),
        }
    }

    /// Where a run goes, and who reads its prompt; nothing if it has to wait.
    pub fn pair(&self, service: &str, engine: &Engine, run: &Run<'_>) -> Option<Placement> {
        let endpoint = self.decode(service, engine, run)?;
        match self.prefill(service, run.prompt, run.ttft_target, &endpoint.zone, &[]) {
            Prefill::Endpoint(reader) => Some(Placement { endpoint, reader: Some(reader) }),
            Prefill::Unavailable => Some(Placement { endpoint, reader: None }),
            Prefill::Busy => {
                let endpoint = self.decode_with_prefill(service, engine, run)?;
                Some(Placement { endpoint, reader: None })
            }
        }
    }

    /// An endpoint with room for a run: the one with the most room.
    pub fn decode(&self, service: &str, engine: &Engine, run: &Run<'_>) -> Option<Arc<Endpoint>> {
        // Where the healthy ones are full, three runs in five at a failing one are better than none.
        let healthy = self.most_free(self.candidates(service, Stage::Decode, run.avoid), engine, run);
        healthy.or_else(|| self.most_free(self.reachable(service, Stage::Decode, run.avoid), engine, run))
    }

    /// A decode endpoint that reads a prompt itself while all readers are busy. In a burst the readers
    /// bind before memory does, and runs wait for them beside empty places.
    ///
    /// Reading holds up the endpoint's other runs: it reads one prompt at a time, with a rest behind it,
    /// and none that would make its runs pause longer than is on time. Two entries that did not know of
    /// each other's prompts would make them pause twice as long, so each has endpoints of its own.
    fn decode_with_prefill(&self, service: &str, engine: &Engine, run: &Run<'_>) -> Option<Arc<Endpoint>> {
        let forecast = self.forecasts.service(service);
        let pause = forecast.local_prefill_time(run.prompt) + forecast.typical_event_interval();
        if !run.gap.is_zero() && pause > run.gap {
            return None;
        }
        // Counted over all endpoints listed: what each entry leaves out differs, and would shift them.
        let listed = self.directory.serving(service).filter(|endpoint| endpoint.stage == Stage::Decode);
        let own = listed.enumerate().filter(|(index, _)| self.partition.contains(*index));
        let own: Vec<&Arc<str>> = own.map(|(_, endpoint)| &endpoint.id).collect();
        let mut idle = self.candidates(service, Stage::Decode, run.avoid);
        idle.retain(|endpoint| own.contains(&&endpoint.id) && self.is_ready_for_prefill(endpoint));
        self.most_free(idle, engine, run)
    }

    fn is_ready_for_prefill(&self, endpoint: &Endpoint) -> bool {
        self.load(endpoint).is_none_or(|load| load.is_ready_for_prefill(self.now))
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
        fitting.max_by_key(|(free, _)| *free).map(|(_, endpoint)| endpoint.clone())
    }

    /// Memory left at an endpoint, at the time when most is taken, once a run has been placed there;
    /// corrected for its zone.
    fn free_memory(&self, endpoint: &Endpoint, engine: &Engine, run: &Run<'_>) -> Option<u64> {
        let load = self.load(endpoint);
        if load.is_some_and(|load| load.is_full(self.now)) {
            return None;
        }
        let taken = load.map(|load| load.total(self.now)).unwrap_or_default();
        if taken.running >= engine.slots {
            return None;
        }
        let peak = (taken.growth + run.growth).peak();
        // One that is larger than what may be taken at all runs alone, as far as its answer fits.
        let is_alone = taken.running == 0 && u64::from(run.growth.0[0]) <= engine.memory;
        let left = if is_alone {
            engine.memory.saturating_sub(peak)
        } else {
            engine.memory.checked_sub(peak + run.headroom)?
        };
        let zone_bonus = if self.is_in_zone(endpoint, self.zone) { LOCAL_ZONE_BONUS } else { 0.0 };
        let bonus = zone_bonus + PREFERENCE_BONUS * self.preference(endpoint);
        Some(left + (engine.memory as f64 * bonus) as u64)
    }

    /// How much this entry prefers an endpoint, 0 to 1: the same at any time, and another order at each
    /// entry.
    fn preference(&self, endpoint: &Endpoint) -> f64 {
        let mut hash = Xxh3::new();
        hash.update(self.entry.as_bytes());
        hash.update(&[0]);
        hash.update(endpoint.id.as_bytes());
        hash.digest() as f64 / u64::MAX as f64
    }

    /// What a service's endpoints of a stage have room for, in one line for logs.
    pub fn describe(&self, service: &str, stage: Stage) -> String {
        let serving = self.directory.serving(service).filter(|endpoint| endpoint.stage == stage);
        let (mut all, mut shunned, mut full, mut running, mut memory) = (0, 0, 0, 0, 0);
        for endpoint in serving {
            all += 1;
            let Some(load) = self.load(endpoint) else { continue };
            shunned += u32::from(load.health.is_shunned(self.now));
            full += u32::from(load.is_full(self.now));
            running += load.total(self.now).running;
            memory += load.total(self.now).memory;
        }
        format!(
            "{all} {stage} endpoints, {shunned} left alone, {full} full, {running} runs, {memory} tokens taken"
        )
    }

    fn is_in_zone(&self, endpoint: &Endpoint, zone: &str) -> bool {
        &*endpoint.zone == zone
    }

    /// Whether a service has any endpoint of a stage that takes work.
    pub fn has_stage(&self, service: &str, stage: Stage) -> bool {
        self.directory.serving(service).any(|endpoint| endpoint.stage == stage)
    }
}
