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
const PREFILL_STALE: Duration = Duration::from_millis(600);
/// After an endpoint refused for want of memory it is taken as full for this long: about the time
/// in which one of ten running requests ends.
const FULL_DURATION: Duration = Duration::from_millis(100);

/// Failed part of the outcomes above which the others are told: one failure in twenty answers.
const MIN_REPORTED_FAILURE_RATIO: f64 = 0.05;

/// A request that takes memory.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// Tokens promised to it.
    memory: u64,
    /// How long its answer gets, if that is known.
    output: Option<Estimate>,
    /// Tokens of its answer so far.
    generated: u64,
}

impl Run {
    fn growth(&self) -> Growth {
        match self.output {
            Some(Estimate { size, spread }) => Growth::for_run(size, self.generated, spread),
            None => Growth::flat(self.memory),
        }
    }
}

/// How long an answer is expected to get.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// What the request asks for.
    pub size: Size,
    /// How far answers are off from their estimates, of the logarithm.
    pub spread: f64,
}

/// What is under way at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// By this entry.
    pub local: Share,
    /// This entry's requests that take memory, by number.
    runs: BTreeMap<u64, Run>,
    /// By the others, with the time at which each said so.
    peers: BTreeMap<Arc<str>, (Time, Share)>,
    /// Failed part of the others' outcomes, thousandths, with the time at which each said so.
    peer_failure_ratios: BTreeMap<Arc<str>, (Time, u16)>,
    /// How its requests have ended of late.
    pub health: Health,
    full_until: Time,
    /// When its runs have had a rest from the last prompt that it read beside them.
    prefill_ready_at: Time,
}

impl Load {
    /// By all entries.
    pub fn total(&self, now: Time) -> Share {
        let fresh = self.peers.values().filter(|(at, _)| now.since(*at) < STALE);
        fresh.fold(self.local, |sum, (at, share)| Share {
            running: sum.running + share.running,
            memory: sum.memory + share.memory,
            reading: sum.reading + if now.since(*at) < PREFILL_STALE { share.reading } else { 0 },
            growth: sum.growth + share.growth,
        })
    }

    /// Works out what this entry's runs take over time; call it whenever one comes, goes or makes tokens.
    fn update_growth(&mut self) {
        self.local.growth = self.runs.values().fold(Growth::default(), |sum, run| sum + run.growth());
    }

    /// Failed part of the newest outcomes, as the entry that fared worst saw it: each sees few of an
    /// endpoint's answers, and together they know four times sooner that it fails.
    pub fn failure_ratio(&self, now: Time) -> f64 {
        let fresh = self.peer_failure_ratios.values().filter(|(at, _)| now.since(*at) < STALE);
        fresh.map(|(_, failing)| f64::from(*failing) / 1_000.0).fold(self.health.failing(now), f64::max)
    }

    /// Whether it reads no prompt beside its runs, and its runs have had a rest from the last.
    pub fn is_ready_for_prefill(&self, now: Time) -> bool {
        self.prefill_ready_at <= now && self.total(now).reading == 0
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
    sent_at: Time,
}

impl Lease {
    /// The lease without the prompt, once that has been read.
    pub fn clear_prefill(&mut self) {
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
    pub fn acquire(&mut self, now: Time, endpoint: &Arc<str>, share: Share) -> Lease {
        self.acquire_run(now, endpoint, share, None)
    }

    /// Notes a run that is sent now, whose memory grows with its answer if that is known.
    pub fn acquire_run(
        &mut self,
        now: Time,
        endpoint: &Arc<str>,
        share: Share,
        output: Option<Estimate>,
    ) -> Lease {
        let load = self.0.entry(endpoint.clone()).or_default();
        load.local.running += share.running;
        load.local.memory += share.memory;
        load.local.reading += share.reading;
        let number = load.health.sent(now);
        if share.memory > 0 {
            load.runs.insert(number, Run { memory: share.memory, output, generated: 0 });
            load.update_growth();
        }
        Lease { endpoint: endpoint.clone(), share, number, sent_at: now }
    }

    /// Notes an answer's beginning: what follows says nothing of how fast the endpoint answers. Its
    /// prompt has been read by then; [`Lease::read`] takes it off the lease. A decode endpoint that read
    /// it beside its runs reads the next one after `rest`.
    pub fn record_first_event(&mut self, now: Time, lease: &Lease, pause: Duration) {
        if let Some(load) = self.0.get_mut(&lease.endpoint) {
            load.local.reading = load.local.reading.saturating_sub(lease.share.reading);
            if lease.share.reading > 0 {
                load.prefill_ready_at = now.plus(pause);
            }
            load.health.ended(now, lease.number, Outcome::Answered(now.since(lease.sent_at)));
        }
    }

    /// Notes tokens that a run has made.
    pub fn record_tokens(&mut self, lease: &Lease, tokens: u64) {
        let Some(load) = self.0.get_mut(&lease.endpoint) else { return };
        if let Some(run) = load.runs.get_mut(&lease.number) {
            run.generated += tokens;
            load.update_growth();
        }
    }

    /// Takes a lease back.
    pub fn release(&mut self, now: Time, lease: &Lease, outcome: Outcome) {
        let Some(load) = self.0.get_mut(&lease.endpoint) else { return };
        load.local.running = load.local.running.saturating_sub(lease.share.running);
        load.local.memory = load.local.memory.saturating_sub(lease.share.memory);
        load.local.reading = load.local.reading.saturating_sub(lease.share.reading);
        load.health.ended(now, lease.number, outcome);
        if load.runs.remove(&lease.number).is_some() {
            load.update_growth();
        }
        if matches!(outcome, Outcome::Full | Outcome::Refused | Outcome::TurnedAway) {
            load.full_until = now.plus(FULL_DURATION);
        }
    }

    /// Takes another entry's digest.
    pub fn merge_digest(&mut self, now: Time, digest: &Digest) {
        for load in self.0.values_mut() {
            load.peers.remove(&digest.name);
            load.peer_failure_ratios.remove(&digest.name);
        }
        for (endpoint, failing) in &digest.failing {
            let load = self.0.entry(endpoint.clone()).or_default();
            load.peer_failure_ratios.insert(digest.name.clone(), (now, *failing));
        }
        for (endpoint, share) in &digest.shares {
            let load = self.0.entry(endpoint.clone()).or_default();
            load.peers.insert(digest.name.clone(), (now, *share));
        }
    }

    /// What this entry has taken, by endpoint; endpoints with nothing left out.
    pub fn local(&self) -> BTreeMap<Arc<str>, Share> {
        let busy = self.0.iter().filter(|(_, load)| load.local != Share::default());
        busy.map(|(endpoint, load)| (endpoint.clone(), load.local)).collect()
    }

    /// Failed part of this entry's newest outcomes, thousandths, where it is worth telling.
    pub fn local_failure_ratios(&self, now: Time) -> BTreeMap<Arc<str>, u16> {
        let ratios = self.0.iter().map(|(endpoint, load)| (endpoint, load.health.failing(now)));
        let reported = ratios.filter(|(_, failing)| *failing >= MIN_REPORTED_FAILURE_RATIO);
        reported.map(|(endpoint, failing)| (endpoint.clone(), (failing * 1_000.0) as u16)).collect()
    }

    /// Forgets an endpoint that is gone, unless requests still run there.
    pub fn forget(&mut self, endpoint: &str) {
        if self.0.get(endpoint).is_some_and(|load| load.local == Share::default()) {
            self.0.remove(endpoint);
        }
    }
}
