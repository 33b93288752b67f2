//! Load of each endpoint: this replica's own requests and those that peers report.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    backoff::Backoffs,
    digest::{Digest, Share},
    fairness::{Holdings, Owner},
    forecast::Size,
    growth::Growth,
    health::{Health, Outcome},
    outage::Outages,
    pace::Paces,
};
use crate::clock::Time;

/// Age at which the load in a peer's digest no longer counts.
const STALE_AFTER: Duration = Duration::from_secs(3);
/// Age at which prompts in a peer's digest count as processed. Shorter than [`STALE_AFTER`], so
/// that a replica that hangs does not block prefill endpoints for the others.
const PREFILL_STALE_AFTER: Duration = Duration::from_millis(600);
/// How long an endpoint counts as full after it refused a request or run.
const FULL_DURATION: Duration = Duration::from_millis(100);
/// Largest number of times that the duration doubles while an endpoint refuses reservations although
/// it seems to have free memory. It may be draining, or serve callers that no replica knows of.
const MAX_FULL_DOUBLINGS: u32 = 4;

/// Lowest failure ratio that is reported to peers.
const MIN_REPORTED_FAILURE_RATIO: f64 = 0.05;

/// A run that occupies KV cache memory.
#[derive(Clone, Debug)]
struct Run {
    /// KV cache reserved for the run, in tokens.
    memory: u64,
    /// Output estimate; without one, memory use is taken as constant.
    output: Option<Estimate>,
    /// Output tokens generated so far.
    generated: u64,
    /// Whom it is for, if that is known.
    owner: Option<Owner>,
}

impl Run {
    fn growth(&self) -> Growth {
        match self.output {
            Some(Estimate { size, spread }) => Growth::for_run(size, self.generated, spread),
            None => Growth::flat(self.memory),
        }
    }
}

/// Estimate of a run's output length.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Prompt and output size.
    pub size: Size,
    /// Standard deviation of the logarithm of the actual over the estimated length.
    pub spread: f64,
}

/// Load of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Share of this replica.
    pub local: Share,
    /// This replica's runs by request number.
    runs: BTreeMap<u64, Run>,
    /// Shares of peers, with the time of each report.
    peers: BTreeMap<Arc<str>, (Time, Share)>,
    /// Failure ratios reported by peers, in thousandths, with the time of each report.
    peer_failure_permille: BTreeMap<Arc<str>, (Time, u16)>,
    /// Health by the outcomes of this replica's requests.
    pub health: Health,
    full_until: Time,
    /// Consecutive refusals of reservations for which there seemed to be memory.
    unexpected_refusals: u32,
    /// When the endpoint may start its next local prefill.
    prefill_ready_at: Time,
}

impl Load {
    /// Returns the load that all replicas put on the endpoint.
    pub fn total(&self, now: Time) -> Share {
        let fresh = self.peers.values().filter(|(at, _)| now.since(*at) < STALE_AFTER);
        fresh.fold(self.local, |sum, (at, share)| Share {
            running: sum.running + share.running,
            memory: sum.memory + share.memory,
            prefill_tokens: sum.prefill_tokens
                + if now.since(*at) < PREFILL_STALE_AFTER { share.prefill_tokens } else { 0 },
            growth: sum.growth + share.growth,
        })
    }

    /// Recomputes the memory growth of this replica's runs. Must be called whenever one starts,
    /// ends or generates tokens.
    fn update_growth(&mut self) {
        self.local.growth = self.runs.values().fold(Growth::default(), |sum, run| sum + run.growth());
    }

    /// Returns the highest recent failure ratio at any replica. A single replica sends few requests
    /// to an endpoint, so this detects a failing endpoint sooner.
    pub fn failure_ratio(&self, now: Time) -> f64 {
        let fresh = self.peer_failure_permille.values().filter(|(at, _)| now.since(*at) < STALE_AFTER);
        fresh
            .map(|(_, permille)| f64::from(*permille) / 1_000.0)
            .fold(self.health.failure_ratio(now), f64::max)
    }

    /// Returns whether a decode endpoint may start a local prefill: none is in flight, and the
    /// pause after the last one is over.
    pub fn is_ready_for_prefill(&self, now: Time) -> bool {
        self.prefill_ready_at <= now && self.total(now).prefill_tokens == 0
    }

    /// Returns whether the endpoint recently refused a run, so that it counts as full.
    pub fn is_full(&self, now: Time) -> bool {
        self.full_until > now
    }
}

/// Load that one request puts on an endpoint; released when the request ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// ID of the endpoint.
    pub endpoint: Arc<str>,
    /// The request's share of the load.
    pub share: Share,
    number: u64,
    sent_at: Time,
}

impl Lease {
    /// Removes the prompt from the lease once it has been processed.
    pub fn clear_prefill(&mut self) {
        self.share.prefill_tokens = 0;
    }
}

/// Loads of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    endpoints: BTreeMap<Arc<str>, Load>,
    /// The endpoints in the newest digest of each peer.
    reported: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Memory of this replica's runs whose owners are known: for each owner the sum over all [`Load::runs`].
    holdings: Holdings,
    /// Backoffs of endpoints. Not part of [`Load`], because they must outlast its removal.
    pub backoffs: Backoffs,
    /// Endpoints that have ended; must outlast the removal of [`Load`] likewise.
    pub outages: Outages,
    /// Paces of endpoints that have just started or recovered.
    pub paces: Paces,
}

impl Loads {
    /// Returns the load of an endpoint; `None` if none was recorded or reported.
    pub fn get(&self, endpoint: &str) -> Option<&Load> {
        self.endpoints.get(endpoint)
    }

    /// Records a request that is sent now.
    pub fn acquire(&mut self, now: Time, endpoint: &Arc<str>, share: Share) -> Lease {
        self.acquire_run(now, endpoint, share, None, None)
    }

    /// Records a run that is sent now. With an output estimate, its memory grows over time.
    pub fn acquire_run(
        &mut self,
        now: Time,
        endpoint: &Arc<str>,
        share: Share,
        output: Option<Estimate>,
        owner: Option<Owner>,
    ) -> Lease {
        let load = self.endpoints.entry(endpoint.clone()).or_default();
        load.local.running += share.running;
        load.local.memory += share.memory;
        load.local.prefill_tokens += share.prefill_tokens;
        let number = load.health.record_start(now);
        if share.memory > 0 {
            if let Some(owner) = &owner {
                self.holdings.add(owner, share.memory);
            }
            load.runs.insert(number, Run { memory: share.memory, output, generated: 0, owner });
            load.update_growth();
        }
        Lease { endpoint: endpoint.clone(), share, number, sent_at: now }
    }

    /// Records the first event of a response, which shows that the prompt has been processed. The
    /// caller must then call [`Lease::clear_prefill`]. After a local prefill, the endpoint gets no
    /// other for `pause`.
    pub fn record_first_event(&mut self, now: Time, lease: &Lease, pause: Duration) {
        if let Some(load) = self.endpoints.get_mut(&lease.endpoint) {
            load.local.prefill_tokens = load.local.prefill_tokens.saturating_sub(lease.share.prefill_tokens);
            load.unexpected_refusals = 0;
            if lease.share.prefill_tokens > 0 {
                load.prefill_ready_at = now.plus(pause);
            }
            load.health.record_end(now, lease.number, Outcome::Responded(now.since(lease.sent_at)));
        }
    }

    /// Records output tokens of a run.
    pub fn record_tokens(&mut self, lease: &Lease, tokens: u64) {
        let Some(load) = self.endpoints.get_mut(&lease.endpoint) else { return };
        if let Some(run) = load.runs.get_mut(&lease.number) {
            run.generated += tokens;
            load.update_growth();
        }
    }

    /// Releases a lease when its request ends.
    pub fn release(&mut self, now: Time, lease: &Lease, outcome: Outcome) {
        let Some(load) = self.endpoints.get_mut(&lease.endpoint) else { return };
        load.local.running = load.local.running.saturating_sub(lease.share.running);
        load.local.memory = load.local.memory.saturating_sub(lease.share.memory);
        load.local.prefill_tokens = load.local.prefill_tokens.saturating_sub(lease.share.prefill_tokens);
        load.health.record_end(now, lease.number, outcome);
        if let Some(run) = load.runs.remove(&lease.number) {
            load.update_growth();
            if let Some(owner) = &run.owner {
                self.holdings.remove(owner, run.memory);
            }
        }
        if matches!(outcome, Outcome::Full | Outcome::Refused | Outcome::ReservationRejected) {
            load.full_until = now.plus(FULL_DURATION);
        }
        if matches!(outcome, Outcome::Responded(_) | Outcome::Abandoned) {
            load.unexpected_refusals = 0;
        }
    }

    /// Records that an endpoint refused a reservation although it seemed to have memory. It counts as
    /// full for longer with each such refusal.
    pub fn record_unexpected_refusal(&mut self, now: Time, endpoint: &str) {
        let Some(load) = self.endpoints.get_mut(endpoint) else { return };
        let doublings = load.unexpected_refusals.min(MAX_FULL_DOUBLINGS);
        load.full_until = now.plus(FULL_DURATION * 2_u32.pow(doublings));
        load.unexpected_refusals += 1;
    }

    /// Replaces the load that a peer reported before.
    pub fn apply_digest(&mut self, now: Time, digest: &Digest) {
        for endpoint in self.reported.remove(&digest.name).unwrap_or_default() {
            if let Some(load) = self.endpoints.get_mut(&endpoint) {
                load.peers.remove(&digest.name);
                load.peer_failure_permille.remove(&digest.name);
            }
        }
        let reported = digest.failure_permille.keys().chain(digest.shares.keys());
        self.reported.insert(digest.name.clone(), reported.cloned().collect());
        for (endpoint, permille) in &digest.failure_permille {
            let load = self.endpoints.entry(endpoint.clone()).or_default();
            load.peer_failure_permille.insert(digest.name.clone(), (now, *permille));
        }
        for (endpoint, share) in &digest.shares {
            let load = self.endpoints.entry(endpoint.clone()).or_default();
            load.peers.insert(digest.name.clone(), (now, *share));
        }
    }

    /// Removes the list of endpoints that an expired peer reported; its loads no longer count.
    pub fn remove_peer(&mut self, peer: &str) {
        for endpoint in self.reported.remove(peer).unwrap_or_default() {
            if let Some(load) = self.endpoints.get_mut(&endpoint) {
                load.peers.remove(peer);
                load.peer_failure_permille.remove(peer);
            }
        }
    }

    /// Returns the memory of this replica's runs by service and customer.
    pub fn holdings(&self) -> &Holdings {
        &self.holdings
    }

    /// Returns this replica's shares by endpoint, without idle endpoints.
    pub fn local(&self) -> BTreeMap<Arc<str>, Share> {
        let busy = self.endpoints.iter().filter(|(_, load)| load.local != Share::default());
        busy.map(|(endpoint, load)| (endpoint.clone(), load.local)).collect()
    }

    /// Returns this replica's failure ratios by endpoint, in thousandths, where high enough to
    /// report.
    pub fn local_failure_permille(&self, now: Time) -> BTreeMap<Arc<str>, u16> {
        let ratios = self.endpoints.iter().map(|(endpoint, load)| (endpoint, load.health.failure_ratio(now)));
        let reported = ratios.filter(|(_, ratio)| *ratio >= MIN_REPORTED_FAILURE_RATIO);
        reported.map(|(endpoint, ratio)| (endpoint.clone(), (ratio * 1_000.0) as u16)).collect()
    }

    /// Removes the record of an endpoint, unless requests are still in flight there.
    pub fn remove_if_idle(&mut self, endpoint: &str) {
        if self.endpoints.get(endpoint).is_some_and(|load| load.local == Share::default()) {
            let removed = self.endpoints.remove(endpoint);
            let runs = removed.into_iter().flat_map(|load| load.runs.into_values());
            for Run { memory, owner, .. } in runs {
                if let Some(owner) = &owner {
                    self.holdings.remove(owner, memory);
                }
            }
        }
    }
}
