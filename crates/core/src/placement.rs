//! Choice of the endpoint for a request.
//!
//! Load reports lag, so an entry adds the work that it has sent since the last report. It compares
//! only a few random candidates, so that entries with the same stale report do not all choose the
//! same endpoint.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rand::{
    Rng,
    seq::{IteratorRandom as _, index},
};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{clock::Time, id::Attempt, message::Load, settings::NamedEndpoint};

/// Placement policy. All policies but `current` serve as baselines for benchmarks.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Chooses endpoints at random, without holds; each entry has a fixed share of rate limits.
    RoundRobin,
    /// Chooses the endpoint with the least reported load, without holds.
    LeastLoaded,
    /// Holds decode memory before the prefill starts.
    HoldFirst,
    /// Like `hold-first`, and also accepts promises of decode memory that is about to be freed.
    #[default]
    Current,
}

impl Policy {
    /// Returns whether decode memory is held before the prefill starts.
    pub fn uses_holds(self) -> bool {
        matches!(self, Self::HoldFirst | Self::Current)
    }

    /// Returns whether decode memory that is about to be freed may be promised.
    pub fn promises_ahead(self) -> bool {
        matches!(self, Self::Current)
    }

    /// Returns whether each entry gets a fixed share of every rate limit instead of borrowing.
    pub fn splits_rates(self) -> bool {
        matches!(self, Self::RoundRobin)
    }
}

/// Age from which a load report is ignored.
const STALE_AFTER: Duration = Duration::from_secs(5);
/// Work sent less than this before a load report arrives may be missing from the report.
const REPORT_LAG: Duration = Duration::from_millis(10);
/// Random candidates whose scores are compared.
const MAX_CANDIDATES: usize = 3;
/// Random candidates drawn; more than are compared, as some may be unusable.
const MAX_DRAWN: usize = 2 * MAX_CANDIDATES;
/// Prefixes kept for cache affinity.
const MAX_PREFIXES: usize = 20_000;

/// Resources that a request needs from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Decode memory, in pieces.
    Decode(u32),
    /// Prefill work: the number of prompt tokens and the digest of the prompt prefix.
    Prefill(u32, u64),
    /// One call of a plain service.
    Plain,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Time,
    pieces: u32,
    tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct EndpointState {
    load: Option<(Load, Time)>,
    /// Work sent by this entry that may be missing from the last report.
    sent: BTreeMap<Attempt, Sent>,
    /// Set when the endpoint refuses work as overloaded.
    avoid_until: Time,
    /// Whether the link to the endpoint's agent is down.
    is_down: bool,
}

/// Parameters of a placement decision.
#[derive(Clone, Copy, Debug)]
pub struct Search<'a> {
    /// Policy to apply.
    pub policy: Policy,
    /// Availability zone of the entry, preferred between endpoints of equal score.
    pub zone: &'a str,
    /// Endpoints that serve the requested model or service, sorted by name.
    pub candidates: &'a [NamedEndpoint],
    /// Resources that the work needs.
    pub need: Need,
    /// Attempt that the work belongs to.
    pub attempt: Attempt,
    /// Endpoints on which the request has failed before.
    pub tried: &'a BTreeSet<Arc<str>>,
}

/// Load and reachability of all endpoints, as known to one entry.
#[derive(Clone, Debug, Default)]
pub struct View {
    endpoints: BTreeMap<Arc<str>, EndpointState>,
    /// Endpoint that last prefilled a prompt with the prefix, by prefix digest.
    prefixes: BTreeMap<u64, Arc<str>>,
}

impl View {
    /// Records a load report, which also shows that the link is up.
    pub fn record_load(&mut self, now: Time, load: Load) {
        let state = self.endpoints.entry(load.endpoint.clone()).or_default();
        state.is_down = false;
        state.sent.retain(|_, sent| now.since(sent.at) < REPORT_LAG);
        state.load = Some((load, now));
    }

    /// Records whether the link to the agent of `endpoints` is up.
    pub fn set_link_up(&mut self, endpoints: impl Iterator<Item = Arc<str>>, up: bool) {
        for endpoint in endpoints {
            self.endpoints.entry(endpoint).or_default().is_down = !up;
        }
    }

    /// Avoids an endpoint that refused work as overloaded, for `span`.
    pub fn record_refusal(&mut self, now: Time, endpoint: &Arc<str>, span: Duration) {
        self.endpoints.entry(endpoint.clone()).or_default().avoid_until = now.plus(span);
    }

    /// Removes work that ended, was refused or was cancelled.
    pub fn remove_sent(&mut self, endpoint: &str, attempt: Attempt) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.sent.remove(&attempt);
        }
    }

    /// Removes endpoints that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.endpoints.retain(|name, _| keep(name));
    }

    /// Chooses an endpoint and records the work as sent to it.
    ///
    /// Endpoints that the request has tried or that recently refused work are used only if no other
    /// endpoint is available: a fleet in which each endpoint has failed once must still serve.
    pub fn place<R: Rng>(&mut self, now: Time, rng: &mut R, search: &Search<'_>) -> Option<Arc<str>> {
        let preferred =
            |named: &&NamedEndpoint| self.is_up(named) && self.is_preferred(now, &named.0, search.tried);
        let up = |named: &&NamedEndpoint| self.is_up(named);
        let choice =
            self.choose(now, rng, search, preferred).or_else(|| self.choose(now, rng, search, up))?;
        self.record_sent(now, &choice, search.need, search.attempt);
        Some(choice)
    }

    fn choose<R: Rng>(
        &self,
        now: Time,
        rng: &mut R,
        search: &Search<'_>,
        usable: impl Fn(&&NamedEndpoint) -> bool,
    ) -> Option<Arc<str>> {
        let Search { candidates, need, .. } = *search;
        let choice = match search.policy {
            Policy::RoundRobin => candidates.iter().filter(usable).choose(rng),
            Policy::LeastLoaded => {
                candidates.iter().filter(usable).min_by_key(|(name, _)| self.reported_cost(name, need))
            }
            Policy::HoldFirst | Policy::Current => {
                let cached = self.cached_endpoint(need);
                let score = |named: &&NamedEndpoint| self.score(now, named, search, cached.as_ref());
                sample(rng, candidates, cached.as_ref(), usable).into_iter().min_by_key(score)
            }
        };
        choice.map(|(name, _)| name.clone())
    }

    fn is_up(&self, (name, endpoint): &NamedEndpoint) -> bool {
        let Some(state) = self.endpoints.get(name) else { return !endpoint.leaving };
        let leaving = state.load.as_ref().is_some_and(|(load, _)| load.leaving);
        !endpoint.leaving && !leaving && !state.is_down
    }

    fn is_preferred(&self, now: Time, name: &Arc<str>, tried: &BTreeSet<Arc<str>>) -> bool {
        !tried.contains(name) && self.endpoints.get(name).is_none_or(|state| state.avoid_until <= now)
    }

    fn cached_endpoint(&self, need: Need) -> Option<Arc<str>> {
        match need {
            Need::Prefill(_, prefix) => self.prefixes.get(&prefix).cloned(),
            Need::Decode(_) | Need::Plain => None,
        }
    }

    fn reported_cost(&self, name: &Arc<str>, need: Need) -> u64 {
        let load = self.endpoints.get(name).and_then(|state| state.load.as_ref());
        load.map_or(0, |(load, _)| cost(load, 0, 0, need))
    }

    /// Returns the score of an endpoint; lower is better.
    fn score(&self, now: Time, named: &NamedEndpoint, search: &Search<'_>, cached: Option<&Arc<str>>) -> u64 {
        let (name, endpoint) = named;
        let need = search.need;
        let state = self.endpoints.get(name);
        let (pieces, tokens) = state.map_or((0, 0), |state| {
            state
                .sent
                .values()
                .fold((0, 0), |(pieces, tokens), sent| (pieces + sent.pieces, tokens + sent.tokens))
        });
        let fresh =
            state.and_then(|state| state.load.as_ref()).filter(|(_, at)| now.since(*at) < STALE_AFTER);
        let base =
            fresh.map_or(u64::from(pieces) * 1_000 + tokens, |(load, _)| cost(load, pieces, tokens, need));
        let zone_penalty = u64::from(&*endpoint.zone != search.zone);
        let bonus = if cached == Some(name) { affinity_bonus(need) } else { 0 };
        (base + zone_penalty).saturating_sub(bonus)
    }

    fn record_sent(&mut self, now: Time, name: &Arc<str>, need: Need, attempt: Attempt) {
        let (pieces, tokens) = match need {
            Need::Decode(pieces) => (pieces, 0),
            Need::Prefill(tokens, prefix) => {
                self.record_prefix(prefix, name);
                (0, u64::from(tokens))
            }
            Need::Plain => (0, 1),
        };
        let state = self.endpoints.entry(name.clone()).or_default();
        state.sent.insert(attempt, Sent { at: now, pieces, tokens });
    }

    fn record_prefix(&mut self, prefix: u64, name: &Arc<str>) {
        if self.prefixes.len() >= MAX_PREFIXES {
            // Digests are uniformly distributed, so the lowest one is a random choice.
            self.prefixes.pop_first();
        }
        self.prefixes.insert(prefix, name.clone());
    }

    /// Returns the number of known endpoints and the number of recorded sends.
    pub fn size(&self) -> (usize, usize) {
        (self.endpoints.len(), self.endpoints.values().map(|state| state.sent.len()).sum())
    }
}

/// Upper bound on the prefill tokens that a cached prefix saves.
const AFFINITY_TOKENS: u64 = 1_000;

fn affinity_bonus(need: Need) -> u64 {
    match need {
        Need::Prefill(tokens, _) => AFFINITY_TOKENS.min(u64::from(tokens)),
        Need::Decode(_) | Need::Plain => 0,
    }
}

/// Returns the cost of an endpoint with the reported `load`, and `pieces` and `tokens` sent since.
/// For decodes, the share of occupied memory in thousandths plus a smaller part for queued tokens.
fn cost(load: &Load, pieces: u32, tokens: u64, need: Need) -> u64 {
    match need {
        Need::Decode(_) => {
            let used = load.capacity_pieces.saturating_sub(load.free_pieces) + pieces;
            u64::from(used) * 1_000 / u64::from(load.capacity_pieces.max(1)) + load.queued_tokens / 100
        }
        Need::Prefill(..) => load.queued_tokens + tokens,
        Need::Plain => u64::from(load.running) + tokens,
    }
}

/// Samples a few usable candidates, and adds the cached endpoint if it is usable. Samples before it
/// filters, so that the cost is independent of the number of endpoints unless most are unusable.
fn sample<'a, R: Rng>(
    rng: &mut R,
    candidates: &'a [NamedEndpoint],
    cached: Option<&Arc<str>>,
    usable: impl Fn(&&'a NamedEndpoint) -> bool,
) -> Vec<&'a NamedEndpoint> {
    let matching = cached.and_then(|cached| {
        let at = candidates.binary_search_by(|(name, _)| name.cmp(cached)).ok()?;
        candidates.get(at).filter(&usable)
    });
    let drawn = index::sample(rng, candidates.len(), MAX_DRAWN.min(candidates.len()));
    let mut sampled: Vec<&NamedEndpoint> =
        drawn.iter().map(|at| &candidates[at]).filter(&usable).take(MAX_CANDIDATES).collect();
    if sampled.is_empty() {
        sampled = candidates.iter().filter(usable).choose_multiple(rng, MAX_CANDIDATES);
    }
    sampled.extend(matching);
    sampled
}
