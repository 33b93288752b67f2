//! Which replica tries a suspect that is held off, and when.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

use super::{Suspect, evidence::Report};
use crate::clock::Time;

/// Time after a trial until the next one, in which a crash is noticed.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// Longest time for which a trial counts as running.
const TRIAL_TTL: Duration = Duration::from_secs(20);
/// How long a suspect counts as asked for.
const DEMAND_TTL: Duration = Duration::from_secs(4);
/// Age at which what a peer reported no longer counts.
const PEER_TTL: Duration = Duration::from_secs(3);
/// Retry delay for callers while other replicas come first.
const OTHERS_FIRST_DELAY: Duration = Duration::from_millis(500);

/// Own demand for a suspect.
#[derive(Clone, Copy, Debug)]
struct Own {
    /// First and last request, without pauses longer than [`DEMAND_TTL`].
    since: Time,
    last: Time,
    /// When the trial that runs has begun.
    trying_since: Option<Time>,
    /// Time before which no trial begins, after the last one.
    paused_until: Time,
}

/// A peer's demand for a suspect.
#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Time,
    is_wanted: bool,
    is_trying: bool,
}

/// Requests for suspects that are held off, here and at peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    own: BTreeMap<Suspect, Own>,
    peers: BTreeMap<Arc<str>, BTreeMap<Suspect, Reported>>,
}

impl Demand {
    /// Records a request with these suspects, and returns how long its trial has to wait for other replicas and trials. Of the
    /// replicas that are asked for them, one by rendezvous hashing comes first.
    pub(super) fn ask(
        &mut self,
        now: Time,
        suspects: &[Suspect],
        own_name: &str,
        settling_time: Duration,
    ) -> Duration {
        for suspect in suspects {
            let new = Own { since: now, last: now, trying_since: None, paused_until: Time::ZERO };
            let own = self.own.entry(*suspect).or_insert(new);
            if now.since(own.last) >= DEMAND_TTL {
                own.since = now;
            }
            own.last = now;
        }
        let is_tried = |suspect: &Suspect| self.is_trying(*suspect) || self.is_tried_elsewhere(now, *suspect);
        // The order has to be the same for all suspects of a request: otherwise replicas would wait for each other.
        let comes_later =
            suspects.iter().min().is_some_and(|first| self.has_earlier_peer(now, *first, own_name));
        if comes_later || suspects.iter().any(is_tried) {
            return OTHERS_FIRST_DELAY;
        }
        let known = suspects.iter().filter_map(|suspect| self.own.get(suspect));
        let starts = known.map(|own| own.since.plus(settling_time).max(own.paused_until).since(now));
        starts.max().unwrap_or_default()
    }

    fn reported(&self, now: Time, suspect: Suspect) -> impl Iterator<Item = (&Arc<str>, &Reported)> {
        let known = self.peers.iter().filter_map(move |(name, known)| Some((name, known.get(&suspect)?)));
        known.filter(move |(_, reported)| now.since(reported.at) < PEER_TTL)
    }

    fn is_tried_elsewhere(&self, now: Time, suspect: Suspect) -> bool {
        self.reported(now, suspect).any(|(_, reported)| reported.is_trying)
    }

    /// Returns whether a peer that is asked for a suspect comes before this replica.
    fn has_earlier_peer(&self, now: Time, suspect: Suspect, own_name: &str) -> bool {
        let own = rank(suspect, own_name);
        self.reported(now, suspect).any(|(name, reported)| reported.is_wanted && rank(suspect, name) < own)
    }

    pub(super) fn begin_trial(&mut self, now: Time, suspect: Suspect) {
        let new = Own { since: now, last: now, trying_since: None, paused_until: Time::ZERO };
        let own = self.own.entry(suspect).or_insert(new);
        own.trying_since = Some(now);
    }

    pub(super) fn end_trial(&mut self, now: Time, suspect: Suspect) {
        if let Some(own) = self.own.get_mut(&suspect).filter(|own| own.trying_since.is_some()) {
            own.trying_since = None;
            own.paused_until = now.plus(TRIAL_PAUSE);
        }
    }

    pub(super) fn is_trying(&self, suspect: Suspect) -> bool {
        self.own.get(&suspect).is_some_and(|own| own.trying_since.is_some())
    }

    pub(super) fn is_wanted(&self, now: Time, suspect: Suspect) -> bool {
        self.own
            .get(&suspect)
            .is_some_and(|own| own.trying_since.is_some() || now.since(own.last) < DEMAND_TTL)
    }

    /// Takes over what a peer reported. Suspects that it did not report this time stay as they were.
    pub(super) fn apply(&mut self, now: Time, peer: &Arc<str>, reports: &[Report]) {
        if reports.is_empty() {
            return;
        }
        let known = self.peers.entry(peer.clone()).or_default();
        known.retain(|_, reported| now.since(reported.at) < PEER_TTL);
        known.extend(reports.iter().map(|report| {
            let Report { suspect, is_wanted, is_trying, .. } = *report;
            (suspect, Reported { at: now, is_wanted, is_trying })
        }));
    }

    pub(super) fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Forgets demand for suspects that are no longer held off.
    pub(super) fn expire(&mut self, now: Time, held: &BTreeSet<Suspect>) {
        self.own.retain(|suspect, own| {
            // The caller may have left before it learned that its request is a trial.
            own.trying_since = own.trying_since.filter(|since| now.since(*since) < TRIAL_TTL);
            own.trying_since.is_some() || held.contains(suspect) && now.since(own.last) < DEMAND_TTL
        });
    }
}

/// Returns the place of a replica among those that may try a suspect; the lowest comes first.
fn rank(suspect: Suspect, replica: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&suspect.0.to_le_bytes());
    hash.update(replica.as_bytes());
    hash.digest()
}
