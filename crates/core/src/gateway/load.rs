//! What is under way at each endpoint, by this entry's own requests and the others' digests.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    digest::{Digest, Share},
    forecast::Size,
    growth::Growth,
    health::{Health, Outcome},
};
use crate::clock::Time;

/// A digest older than this says nothing of what runs now.
const STALE: Duration = Duration::from_secs(3);
/// Prompts that another entry was having read count as read if its digest is older than this, six
/// digests. A frozen entry that had both readers busy otherwise kept all others from reading for
/// [`STALE`].
const READING_STALE: Duration = Duration::from_millis(600);
/// After an endpoint refused for want of memory it is taken as full for this long: about the time
/// in which one of ten running requests ends.
const FULL: Duration = Duration::from_millis(100);

/// Failed part of the outcomes above which the others are told: one failure in twenty answers.
const TOLD: f64 = 0.05;

/// A request that takes memory.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// Tokens promised to it.
    memory: u64,
    /// How long its answer gets, if that is known.
    answer: Option<Length>,
    /// Tokens of its answer so far.
    made: u64,
}

impl Run {
    fn growth(&self) -> Growth {
        match self.answer {
            Some(Length { size, spread }) => Growth::of(size, self.made, spread),
            None => Growth::flat(self.memory),
        }
    }
}

/// How long an answer is expected to get.
#[derive(Clone, Copy, Debug)]
pub struct Length {
    /// What the request asks for.
    pub size: Size,
    /// How far answers are off from their estimates, of the logarithm.
    pub spread: f64,
}

/// What is under way at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// By this entry.
    pub own: Share,
    /// This entry's requests that take memory, by number.
    runs: BTreeMap<u64, Run>,
    /// By the others, with the time at which each said so.
    others: BTreeMap<Arc<str>, (Time, Share)>,
    /// Failed part of the others' outcomes, thousandths, with the time at which each said so.
    others_failing: BTreeMap<Arc<str>, (Time, u16)>,
    /// How its requests have ended of late.
    pub health: Health,
    full_until: Time,
    /// When its runs have had a rest from the last prompt that it read beside them.
    rested: Time,
}

impl Load {
    /// By all entries.
    pub fn all(&self, now: Time) -> Share {
        let fresh = self.others.values().filter(|(at, _)| now.since(*at) < STALE);
        fresh.fold(self.own, |sum, (at, share)| Share {
            running: sum.running + share.running,
            memory: sum.memory + share.memory,
            reading: sum.reading + if now.since(*at) < READING_STALE { share.reading } else { 0 },
            growth: sum.growth + share.growth,
        })
    }

    /// Works out what this entry's runs take over time; call it whenever one comes, goes or makes tokens.
    fn grow(&mut self) {
        self.own.growth = self.runs.values().fold(Growth::default(), |sum, run| sum + run.growth());
    }

    /// Failed part of the newest outcomes, as the entry that fared worst saw it: each sees few of an
    /// endpoint's answers, and together they know four times sooner that it fails.
    pub fn failing(&self, now: Time) -> f64 {
        let fresh = self.others_failing.values().filter(|(at, _)| now.since(*at) < STALE);
        fresh.map(|(_, failing)| f64::from(*failing) / 1_000.0).fold(self.health.failure_ratio(now), f64::max)
    }

    /// Whether it reads no prompt beside its runs, and its runs have had a rest from the last.
    pub fn is_rested(&self, now: Time) -> bool {
        self.rested <= now && self.all(now).reading == 0
    }

    /// Whether it refused for want of room a moment ago.
    pub fn is_full(&self, now: Time) -> bool {
        self.full_until > now
    }
}

/// One request's part in an endpoint's load; handed back when it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// What is taken there.
    pub share: Share,
    number: u64,
    sent: Time,
}

impl Lease {
    /// The lease without the prompt, once that has been read.
    pub fn read(&mut self) {
        self.share.reading = 0;
    }
}

/// The loads of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Loads(BTreeMap<Arc<str>, Load>);

impl Loads {
    /// The load of an endpoint; none if nothing was ever sent there.
    pub fn get(&self, endpoint: &str) -> Option<&Load> {
        self.0.get(endpoint)
    }

    /// Notes a request that is sent now.
    pub fn take(&mut self, now: Time, endpoint: &Arc<str>, share: Share) -> Lease {
        self.take_run(now, endpoint, share, None)
    }

    /// Notes a run that is sent now, whose memory grows with its answer if that is known.
    pub fn take_run(
        &mut self,
        now: Time,
        endpoint: &Arc<str>,
        share: Share,
        answer: Option<Length>,
    ) -> Lease {
        let load = self.0.entry(endpoint.clone()).or_default();
        load.own.running += share.running;
        load.own.memory += share.memory;
        load.own.reading += share.reading;
        let number = load.health.record_start(now);
        if share.memory > 0 {
            load.runs.insert(number, Run { memory: share.memory, answer, made: 0 });
            load.grow();
        }
        Lease { endpoint: endpoint.clone(), share, number, sent: now }
    }

    /// Notes an answer's beginning: what follows says nothing of how fast the endpoint answers. Its
    /// prompt has been read by then; [`Lease::read`] takes it off the lease. A decode endpoint that read
    /// it beside its runs reads the next one after `rest`.
    pub fn answered(&mut self, now: Time, lease: &Lease, rest: Duration) {
        if let Some(load) = self.0.get_mut(&lease.endpoint) {
            load.own.reading = load.own.reading.saturating_sub(lease.share.reading);
            if lease.share.reading > 0 {
                load.rested = now.plus(rest);
            }
            load.health.record_end(now, lease.number, Outcome::Answered(now.since(lease.sent)));
        }
    }

    /// Notes tokens that a run has made.
    pub fn made(&mut self, lease: &Lease, tokens: u64) {
        let Some(load) = self.0.get_mut(&lease.endpoint) else { return };
        if let Some(run) = load.runs.get_mut(&lease.number) {
            run.made += tokens;
            load.grow();
        }
    }

    /// Takes a lease back.
    pub fn give_back(&mut self, now: Time, lease: &Lease, outcome: Outcome) {
        let Some(load) = self.0.get_mut(&lease.endpoint) else { return };
        load.own.running = load.own.running.saturating_sub(lease.share.running);
        load.own.memory = load.own.memory.saturating_sub(lease.share.memory);
        load.own.reading = load.own.reading.saturating_sub(lease.share.reading);
        load.health.record_end(now, lease.number, outcome);
        if load.runs.remove(&lease.number).is_some() {
            load.grow();
        }
        if matches!(outcome, Outcome::Full | Outcome::Refused | Outcome::ReservationRejected) {
            load.full_until = now.plus(FULL);
        }
    }

    /// Takes another entry's digest.
    pub fn heard(&mut self, now: Time, digest: &Digest) {
        for load in self.0.values_mut() {
            load.others.remove(&digest.name);
            load.others_failing.remove(&digest.name);
        }
        for (endpoint, failing) in &digest.failure_permille {
            let load = self.0.entry(endpoint.clone()).or_default();
            load.others_failing.insert(digest.name.clone(), (now, *failing));
        }
        for (endpoint, share) in &digest.shares {
            let load = self.0.entry(endpoint.clone()).or_default();
            load.others.insert(digest.name.clone(), (now, *share));
        }
    }

    /// What this entry has taken, by endpoint; endpoints with nothing left out.
    pub fn own(&self) -> BTreeMap<Arc<str>, Share> {
        let busy = self.0.iter().filter(|(_, load)| load.own != Share::default());
        busy.map(|(endpoint, load)| (endpoint.clone(), load.own)).collect()
    }

    /// Failed part of this entry's newest outcomes, thousandths, where it is worth telling.
    pub fn own_failing(&self, now: Time) -> BTreeMap<Arc<str>, u16> {
        let failing = self.0.iter().map(|(endpoint, load)| (endpoint, load.health.failure_ratio(now)));
        let told = failing.filter(|(_, failing)| *failing >= TOLD);
        told.map(|(endpoint, failing)| (endpoint.clone(), (failing * 1_000.0) as u16)).collect()
    }

    /// Forgets an endpoint that is gone, unless requests still run there.
    pub fn forget(&mut self, endpoint: &str) {
        if self.0.get(endpoint).is_some_and(|load| load.own == Share::default()) {
            self.0.remove(endpoint);
        }
    }
}
