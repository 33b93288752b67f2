//! How many endpoints of a service read prompts, and how many make tokens.
//!
//! Reading keeps a processor busy, making tokens keeps memory taken, and callers' prompts and
//! answers decide how much of each there is to do. The split that fits them is worked out from the
//! requests seen, and endpoints are ordered from one pool to the other, one at a time. The load
//! itself does not matter, only the ratio: a burst changes nothing, and a switch takes longer than
//! a burst lasts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    catalog::Engine,
    digest::Change,
    directory::{Directory, Endpoint, Stage},
    forecast::{Forecast, Size, memory},
    load::Loads,
};
use crate::clock::{Time, decay_factor};

/// Requests that must have been seen before their mean says something: the sizes of prompts and
/// answers vary by half to double, so the mean of these is right to a sixth.
const ENOUGH: f64 = 15.0;
/// Answers that must have been seen before it is known how long they take: estimates are off by half to
/// double, so the middle of these is right to a fifth.
const ENOUGH_ANSWERS: f64 = 8.0;
/// What was seen counts half after this long: longer than a burst, shorter than a shift of the
/// traffic that is worth a switch.
const HALF_LIFE: Duration = Duration::from_secs(15);
/// Reading gets this much more than its part: prompts wait for each other while they are read, and
/// with a part just enough they would wait for ever; with little more, callers that come back together
/// after a loss of power wait for the few readers for seconds.
const HEADROOM: f64 = 1.45;
/// Endpoints by which a pool must be off for one to be moved: half would be the nearest fit, and the
/// rest keeps the noise of the mean from moving the same one to and fro.
const WORTH_A_SWITCH: f64 = 0.8;
/// An answer long enough for the time of one token.
const TOKENS: u64 = 1_000;
/// Part of an engine's memory that runs can take: the rest is lost at the edges.
const USABLE: f64 = 0.9;
/// A change that is not seen to end is forgotten after this long: the longest run, the switch, and an
/// order that is carried out late.
const LONGEST_CHANGE: Duration = Duration::from_secs(25);
/// Time between two orders, so that the first shows in the list before the next is decided.
const ORDER_PAUSE: Duration = Duration::from_millis(1_000);
/// How long a pool must be off for one to be moved. While a burst begins or endpoints go dark, what was
/// seen swings for a moment, and a switch made for it is undone by the next.
const LASTING: Duration = Duration::from_secs(2);
/// The same for one to be taken from those that make tokens: it turns away runs whose prompts have been read,
/// and readers that went dark in a burst are back by the time it would read.
const LASTING_TO_READ: Duration = Duration::from_secs(4);
/// Most changes under way at once in one service.
const MOST_CHANGES: usize = 2;

/// What the requests of one service asked for, fading with time. Kept as sizes: how long they take is
/// asked when it is decided, so that what is learned later counts for what was seen before.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    requests: f64,
    /// Tokens of prompts.
    prompt: f64,
    /// Parts of an endpoint that makes tokens with full memory, or with all places taken.
    parts: f64,
    /// The same, each times the tokens of its answer.
    part_tokens: f64,
    at: Time,
}

impl Demand {
    fn fade(&mut self, now: Time) {
        let kept = decay_factor(now.since(self.at), HALF_LIFE);
        self.requests *= kept;
        self.prompt *= kept;
        self.parts *= kept;
        self.part_tokens *= kept;
        self.at = now;
    }

    /// Part of the endpoints that should read prompts; nothing while it is not known how long things take.
    fn reading_part(&self, engine: &Engine, forecast: &Forecast) -> Option<f64> {
        forecast.answer.filter(|answer| answer.weight >= ENOUGH_ANSWERS && forecast.knows_runs())?;
        let mean_prompt = (self.prompt / self.requests) as u64;
        let reading = forecast.reading?.at(mean_prompt).as_secs_f64() * self.requests * HEADROOM;
        let full = (engine.memory as f64 * USABLE) as u64;
        let token = forecast.run_time_beside(TOKENS, full).as_secs_f64() / TOKENS as f64;
        let first = forecast.first_event(mean_prompt).as_secs_f64();
        let making = first * self.parts + token * self.part_tokens;
        Some(reading / (reading + making).max(f64::MIN_POSITIVE))
    }
}

/// An endpoint that is to change its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Its new stage.
    pub stage: Stage,
}

/// A service as it is known when its split is decided.
#[derive(Clone, Copy, Debug)]
pub struct Known<'a> {
    /// Its name.
    pub name: &'a Arc<str>,
    /// The size of its engines.
    pub engine: &'a Engine,
    /// How long things take there.
    pub forecast: &'a Forecast,
}

/// The split of each service, and the changes under way.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    demand: BTreeMap<Arc<str>, Demand>,
    /// Until when an endpoint is left alone while it changes, and what it changes to.
    changing: BTreeMap<Arc<str>, (Time, Stage)>,
    /// The same as others told it.
    told: BTreeMap<Arc<str>, (Time, Stage)>,
    ordered: Option<Time>,
    /// Since when a service has too many readers, or too few.
    off: BTreeMap<Arc<str>, (Time, Stage)>,
}

impl Pools {
    /// Counts a request.
    pub fn note(&mut self, now: Time, service: &Arc<str>, engine: &Engine, size: Size) {
        let Size { prompt, expected, .. } = size;
        let demand = self.demand.entry(service.clone()).or_default();
        demand.fade(now);
        let runs = engine.memory as f64 * USABLE / memory(prompt, expected).max(1) as f64;
        let part = 1.0 / runs.clamp(1.0, f64::from(engine.slots.max(1)));
        demand.requests += 1.0;
        demand.prompt += prompt as f64;
        demand.parts += part;
        demand.part_tokens += part * expected as f64;
    }

    /// How many of `count` endpoints should read prompts, as a fraction too; nothing while too little
    /// was seen.
    pub fn readers(&mut self, now: Time, service: &Known<'_>, count: usize) -> Option<f64> {
        let Known { name, engine, forecast } = service;
        let demand = self.demand.get_mut(*name)?;
        demand.fade(now);
        if demand.requests < ENOUGH || count < 2 {
            return None;
        }
        let part = demand.reading_part(engine, forecast)?;
        Some((count as f64 * part).clamp(1.0, count as f64 - 1.0))
    }

    /// Whether an endpoint is in the middle of a change and takes no work.
    pub fn is_changing(&self, now: Time, endpoint: &str) -> bool {
        self.changing.get(endpoint).is_some_and(|(until, _)| *until > now)
            || self.told.get(endpoint).is_some_and(|(until, _)| *until > now)
    }

    /// The changes that this entry has ordered.
    pub fn changes(&self, now: Time) -> BTreeMap<Arc<str>, Change> {
        let open = self.changing.iter().filter(|(_, (until, _))| *until > now);
        let told = open.map(|(endpoint, (until, stage))| {
            (endpoint.clone(), Change { stage: *stage, left: until.since(now) })
        });
        told.collect()
    }

    /// Takes a change that another entry has ordered.
    pub fn heard(&mut self, now: Time, endpoint: &Arc<str>, change: Change) {
        let until = now.plus(change.left.min(LONGEST_CHANGE));
        self.told.insert(endpoint.clone(), (until, change.stage));
    }

    /// An endpoint shows its stage in the list: a change to it is over.
    pub fn seen(&mut self, endpoint: &Endpoint) {
        if self.changing.get(&endpoint.id).is_some_and(|(_, stage)| *stage == endpoint.stage) {
            self.changing.remove(&endpoint.id);
        }
        if self.told.get(&endpoint.id).is_some_and(|(_, stage)| *stage == endpoint.stage) {
            self.told.remove(&endpoint.id);
        }
    }

    /// An order was refused or cannot be given: the endpoint stays as it is.
    pub fn dropped(&mut self, endpoint: &str) {
        self.changing.remove(endpoint);
    }

    /// The next change that the split of a service calls for. `rank` counts the entries that go
    /// before this one: only the first decides. Each sees other requests, and if any of them might
    /// order, the one that is furthest off would.
    pub fn next(
        &mut self,
        now: Time,
        service: &Known<'_>,
        directory: &Directory,
        loads: &Loads,
        rank: u32,
    ) -> Option<Order> {
        let name = service.name;
        self.changing.retain(|_, (until, _)| *until > now);
        self.told.retain(|_, (until, _)| *until > now);
        let engines: Vec<&Arc<Endpoint>> =
            directory.serving(name).filter(|endpoint| endpoint.stage != Stage::Whole).collect();
        let wanted = self.readers(now, service, engines.len())?;
        let readers = engines.iter().filter(|endpoint| self.stage(endpoint) == Stage::Prefill).count();
        let excess = readers as f64 - wanted;
        if excess.abs() < WORTH_A_SWITCH {
            self.off.remove(name);
            return None;
        }
        let (from, to) =
            if excess > 0.0 { (Stage::Prefill, Stage::Decode) } else { (Stage::Decode, Stage::Prefill) };
        let off = self.off.entry(name.clone()).or_insert((now, from));
        if off.1 != from {
            *off = (now, from);
        }
        let lasting = if to == Stage::Prefill { LASTING_TO_READ } else { LASTING };
        if rank > 0 || now.since(off.0) < lasting {
            return None;
        }
        let is_due = self.ordered.is_none_or(|at| now.since(at) >= ORDER_PAUSE);
        if !is_due || self.changing.len() + self.told.len() >= MOST_CHANGES {
            return None;
        }
        let movable = engines.into_iter().filter(|endpoint| endpoint.stage == from);
        let idle = movable.filter(|endpoint| !self.is_changing(now, &endpoint.id));
        let endpoint = idle.min_by_key(|endpoint| busy(now, loads, endpoint))?.clone();
        self.ordered = Some(now);
        self.changing.insert(endpoint.id.clone(), (now.plus(LONGEST_CHANGE), to));
        Some(Order { endpoint, stage: to })
    }

    /// The stage that an endpoint has, or will have.
    fn stage(&self, endpoint: &Endpoint) -> Stage {
        let change = self.changing.get(&endpoint.id).or_else(|| self.told.get(&endpoint.id));
        change.map_or(endpoint.stage, |(_, stage)| *stage)
    }
}

/// What an endpoint has to finish before it can change.
fn busy(now: Time, loads: &Loads, endpoint: &Endpoint) -> u64 {
    loads.get(&endpoint.id).map_or(0, |load| {
        let all = load.all(now);
        all.reading + all.memory
    })
}
