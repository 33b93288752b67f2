//! Which endpoint a request goes to.
//!
//! Agents report load with a lag; an entry corrects the last report by what it has sent since.
//! Choosing the better of a few random candidates keeps entries that share the same stale report
//! from herding onto one endpoint.

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

/// How requests are placed. All but `current` are baselines to measure against.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// A random pair of endpoints, no holds, static split of rates.
    RoundRobin,
    /// The least reported load, no holds.
    LeastLoaded,
    /// Decode memory is held before the prefill starts.
    HoldFirst,
    /// Decode memory is promised ahead of its falling free; early refusal.
    #[default]
    Current,
}

impl Policy {
    /// Whether decode memory is claimed before the prefill.
    pub fn holds(self) -> bool {
        matches!(self, Self::HoldFirst | Self::Current)
    }

    /// Whether places about to fall free are promised.
    pub fn promises_ahead(self) -> bool {
        matches!(self, Self::Current)
    }

    /// Whether each entry gets a fixed part of every rate instead of borrowing.
    pub fn splits_rates(self) -> bool {
        matches!(self, Self::RoundRobin)
    }
}

/// Reports older than this say nothing about an endpoint any more.
const STALE: Duration = Duration::from_secs(5);
/// Sends younger than this when a report arrives may not be in it yet.
const IN_FLIGHT: Duration = Duration::from_millis(10);
/// Random candidates compared.
const CANDIDATES: usize = 3;
/// Random candidates looked at, some of which may be unusable.
const DRAWN: usize = 2 * CANDIDATES;
/// Prefixes remembered for affinity.
const PREFIXES: usize = 20_000;

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Decode memory, in pieces.
    Decode(u32),
    /// Prefill work, in prompt tokens, with the digest of the prompt's beginning.
    Prefill(u32, u64),
    /// One call.
    Plain,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Time,
    pieces: u32,
    tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    load: Option<(Load, Time)>,
    /// Own sends that the last report may not contain, by attempt.
    sent: BTreeMap<Attempt, Sent>,
    /// Refused for lack of room; avoided until then.
    avoid: Time,
    /// Its agent's link is down.
    down: bool,
}

/// One question where to send work.
#[derive(Clone, Copy, Debug)]
pub struct Search<'a> {
    /// How to choose.
    pub policy: Policy,
    /// Availability zone of the entry; breaks ties.
    pub zone: &'a str,
    /// Endpoints that serve what is asked for, in the order of names.
    pub candidates: &'a [NamedEndpoint],
    /// What the work needs.
    pub need: Need,
    /// The attempt that is sent.
    pub attempt: Attempt,
    /// Endpoints on which this request has failed.
    pub tried: &'a BTreeSet<Arc<str>>,
}

/// What one entry knows of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct View {
    seen: BTreeMap<Arc<str>, Seen>,
    /// Endpoint that last prefilled a prompt with this beginning.
    prefixes: BTreeMap<u64, Arc<str>>,
}

impl View {
    /// Takes a load report.
    pub fn report(&mut self, now: Time, load: Load) {
        let seen = self.seen.entry(load.endpoint.clone()).or_default();
        seen.down = false;
        seen.sent.retain(|_, sent| now.since(sent.at) < IN_FLIGHT);
        seen.load = Some((load, now));
    }

    /// Notes that the link to the agent of these endpoints is up or down.
    pub fn link(&mut self, endpoints: impl Iterator<Item = Arc<str>>, up: bool) {
        for endpoint in endpoints {
            self.seen.entry(endpoint).or_default().down = !up;
        }
    }

    /// Avoids an endpoint that has just refused for lack of room.
    pub fn refused(&mut self, now: Time, endpoint: &Arc<str>, span: Duration) {
        self.seen.entry(endpoint.clone()).or_default().avoid = now.plus(span);
    }

    /// Forgets a send: it ended, was refused or given up.
    pub fn done(&mut self, endpoint: &str, attempt: Attempt) {
        if let Some(seen) = self.seen.get_mut(endpoint) {
            seen.sent.remove(&attempt);
        }
    }

    /// Forgets endpoints that are no longer configured.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.seen.retain(|name, _| keep(name));
    }

    /// Chooses an endpoint and counts the send.
    ///
    /// Endpoints tried before, and those that have just refused, are passed over as long as there
    /// are others; a fleet in which each has failed once must still serve.
    pub fn place<R: Rng>(&mut self, now: Time, rng: &mut R, search: &Search<'_>) -> Option<Arc<str>> {
        let fresh = |named: &&NamedEndpoint| self.is_up(named) && self.is_fresh(now, &named.0, search.tried);
        let up = |named: &&NamedEndpoint| self.is_up(named);
        let choice = self.choose(now, rng, search, fresh).or_else(|| self.choose(now, rng, search, up))?;
        self.sent(now, &choice, search.need, search.attempt);
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
                candidates.iter().filter(usable).min_by_key(|(name, _)| self.reported(name, need))
            }
            Policy::HoldFirst | Policy::Current => {
                let affine = self.affine(need);
                let score = |named: &&NamedEndpoint| self.score(now, named, search, affine.as_ref());
                sample(rng, candidates, affine.as_ref(), usable).into_iter().min_by_key(score)
            }
        };
        choice.map(|(name, _)| name.clone())
    }

    fn is_up(&self, (name, endpoint): &NamedEndpoint) -> bool {
        let Some(seen) = self.seen.get(name) else { return !endpoint.leaving };
        let leaving = seen.load.as_ref().is_some_and(|(load, _)| load.leaving);
        !endpoint.leaving && !leaving && !seen.down
    }

    fn is_fresh(&self, now: Time, name: &Arc<str>, tried: &BTreeSet<Arc<str>>) -> bool {
        !tried.contains(name) && self.seen.get(name).is_none_or(|seen| seen.avoid <= now)
    }

    fn affine(&self, need: Need) -> Option<Arc<str>> {
        match need {
            Need::Prefill(_, prefix) => self.prefixes.get(&prefix).cloned(),
            Need::Decode(_) | Need::Plain => None,
        }
    }

    fn reported(&self, name: &Arc<str>, need: Need) -> u64 {
        let load = self.seen.get(name).and_then(|seen| seen.load.as_ref());
        load.map_or(0, |(load, _)| cost(load, 0, 0, need))
    }

    /// Lower is better.
    fn score(&self, now: Time, named: &NamedEndpoint, search: &Search<'_>, affine: Option<&Arc<str>>) -> u64 {
        let (name, endpoint) = named;
        let need = search.need;
        let seen = self.seen.get(name);
        let (pieces, tokens) = seen.map_or((0, 0), |seen| {
            seen.sent
                .values()
                .fold((0, 0), |(pieces, tokens), sent| (pieces + sent.pieces, tokens + sent.tokens))
        });
        let fresh = seen.and_then(|seen| seen.load.as_ref()).filter(|(_, at)| now.since(*at) < STALE);
        let base =
            fresh.map_or(u64::from(pieces) * 1_000 + tokens, |(load, _)| cost(load, pieces, tokens, need));
        let away = u64::from(&*endpoint.zone != search.zone);
        let matched = if affine == Some(name) { affinity(need) } else { 0 };
        (base + away).saturating_sub(matched)
    }

    fn sent(&mut self, now: Time, name: &Arc<str>, need: Need, attempt: Attempt) {
        let (pieces, tokens) = match need {
            Need::Decode(pieces) => (pieces, 0),
            Need::Prefill(tokens, prefix) => {
                self.remember(prefix, name);
                (0, u64::from(tokens))
            }
            Need::Plain => (0, 1),
        };
        let seen = self.seen.entry(name.clone()).or_default();
        seen.sent.insert(attempt, Sent { at: now, pieces, tokens });
    }

    fn remember(&mut self, prefix: u64, name: &Arc<str>) {
        if self.prefixes.len() >= PREFIXES {
            // Digests are uniform, so the first one is a random victim.
            self.prefixes.pop_first();
        }
        self.prefixes.insert(prefix, name.clone());
    }

    /// Endpoints known, and sends counted against them.
    pub fn size(&self) -> (usize, usize) {
        (self.seen.len(), self.seen.values().map(|seen| seen.sent.len()).sum())
    }
}

/// Tokens of prefill work that a cached beginning saves at most.
const AFFINITY_TOKENS: u64 = 1_000;

fn affinity(need: Need) -> u64 {
    match need {
        Need::Prefill(tokens, _) => AFFINITY_TOKENS.min(u64::from(tokens)),
        Need::Decode(_) | Need::Plain => 0,
    }
}

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

/// Draws a few usable candidates, always with the affine one, so that affinity can win at all.
/// Draws before it looks: the cost does not grow with the number of endpoints, unless most of
/// them are unusable.
fn sample<'a, R: Rng>(
    rng: &mut R,
    candidates: &'a [NamedEndpoint],
    affine: Option<&Arc<str>>,
    usable: impl Fn(&&'a NamedEndpoint) -> bool,
) -> Vec<&'a NamedEndpoint> {
    let matching = affine.and_then(|affine| {
        let at = candidates.binary_search_by(|(name, _)| name.cmp(affine)).ok()?;
        candidates.get(at).filter(&usable)
    });
    let drawn = index::sample(rng, candidates.len(), DRAWN.min(candidates.len()));
    let mut few: Vec<&NamedEndpoint> =
        drawn.iter().map(|at| &candidates[at]).filter(&usable).take(CANDIDATES).collect();
    if few.is_empty() {
        few = candidates.iter().filter(usable).choose_multiple(rng, CANDIDATES);
    }
    few.extend(matching);
    few
}
