//! Crashes that count against a suspect.

use std::{collections::BTreeMap, time::Duration};

use xxhash_rust::xxh3::Xxh3;

use super::{Suspect, delay};
use crate::{
    clock::{Time, micros},
    gateway::directory::Endpoint,
};

/// Maximum number of crashes that are kept for a suspect; the newest ones.
const MAX_CRASHES: usize = 8;

/// Point in time in microseconds since the clock's origin. Signed, since evidence may be older than the process.
pub(super) type Stamp = i64;

pub(super) fn stamp(at: Time) -> Stamp {
    i64::try_from(at.as_micros()).unwrap_or(i64::MAX)
}

/// Returns the time since `at`, or zero if that is later than `now`.
pub(super) fn age(now: Time, at: Stamp) -> Duration {
    Duration::from_micros(u64::try_from(stamp(now).saturating_sub(at)).unwrap_or(0))
}

fn before(now: Time, age: Duration) -> Stamp {
    stamp(now).saturating_sub(i64::try_from(micros(age)).unwrap_or(i64::MAX))
}

/// A crash of one incarnation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crash(pub u64);

impl Crash {
    /// Returns the crash that ends an incarnation.
    pub fn of(endpoint: &Endpoint) -> Self {
        let mut hash = Xxh3::new();
        hash.update(endpoint.id.as_bytes());
        hash.update(&endpoint.started_ms.to_le_bytes());
        Self(hash.digest())
    }
}

/// How far a run had come when its endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// Its response was not past its first event.
    Starting,
    /// Its response was past its first event. Most runs are, whatever ends their endpoint.
    Generating,
}

/// How a crash counts against a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Evidence {
    /// When it was noticed first.
    pub(super) at: Stamp,
    /// The run with the suspect; of several, the one that had come least far.
    pub(super) run: Run,
    /// Whether a trial of the suspect ended in it.
    pub(super) is_trial: bool,
    /// Whether this replica has noticed it itself.
    pub(super) is_own: bool,
}

/// A crash as a replica reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// Time since the crash was noticed first.
    pub age: Duration,
    /// The run with the suspect that it interrupted.
    pub run: Run,
    /// Whether a trial of the suspect ended in it.
    pub is_trial: bool,
}

/// What a replica knows of a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The suspect.
    pub suspect: Suspect,
    /// Crashes since a request with it was last completed.
    pub crashes: BTreeMap<Crash, Sighting>,
    /// Time since a request with it was completed at the sender, if any was.
    pub completed: Option<Duration>,
    /// Whether callers have lately sent requests with it to the sender, which refused them.
    pub is_wanted: bool,
    /// Whether the sender is trying a request with it.
    pub is_trying: bool,
}

impl Report {
    /// Returns whether the report says nothing.
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completed.is_none() && !self.is_wanted && !self.is_trying
    }

    /// Returns the order in which suspects are reported, the highest first.
    pub(super) fn rank(&self) -> (bool, usize, std::cmp::Reverse<Duration>) {
        let newest = self.crashes.values().map(|sighting| sighting.age).min().unwrap_or_default();
        (self.is_wanted || self.is_trying, self.crashes.len(), std::cmp::Reverse(newest))
    }
}

/// What counts against a suspect, and for it.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Crashes later than `completed`.
    pub(super) crashes: BTreeMap<Crash, Evidence>,
    /// When a request with the suspect was last completed.
    completed: Option<Stamp>,
    /// When it was last cleared.
    cleared: Option<Stamp>,
}

impl Record {
    pub(super) fn new(completed: Option<Stamp>) -> Self {
        Self { completed, ..Self::default() }
    }

    pub(super) fn completed(&self) -> Option<Stamp> {
        self.completed
    }

    /// Adds a crash; returns whether that changes anything.
    pub(super) fn add(&mut self, crash: Crash, evidence: Evidence) -> bool {
        if self.completed.is_some_and(|completed| evidence.at <= completed) {
            return false;
        }
        let known = self.crashes.get(&crash).copied();
        // The earliest report is the most exact one, as each hop between replicas adds a delay.
        let merged = known.map_or(evidence, |known| Evidence {
            at: known.at.min(evidence.at),
            run: if known.run == Run::Starting { Run::Starting } else { evidence.run },
            is_trial: known.is_trial || evidence.is_trial,
            is_own: known.is_own || evidence.is_own,
        });
        self.crashes.insert(crash, merged);
        if self.crashes.len() > MAX_CRASHES
            && let Some(oldest) =
                self.crashes.iter().min_by_key(|(_, evidence)| evidence.at).map(|(id, _)| *id)
        {
            self.crashes.remove(&oldest);
            return oldest != crash;
        }
        known.is_none_or(|known| (known.run, known.is_trial) != (merged.run, merged.is_trial))
    }

    /// Records the completion of a request. Returns whether that changes how the crashes count.
    pub(super) fn clear(&mut self, at: Stamp) -> bool {
        if self.completed.is_some_and(|completed| completed >= at) {
            return false;
        }
        let is_first = self.completed.replace(at).is_none();
        let count = self.crashes.len();
        self.crashes.retain(|_, evidence| evidence.at > at);
        let is_cleared = self.crashes.len() < count;
        if is_cleared {
            self.cleared = Some(at);
        }
        is_cleared || is_first && count > 0
    }

    /// Applies the report of a peer; returns whether that changes anything.
    pub(super) fn merge(&mut self, now: Time, report: &Report) -> bool {
        let mut is_changed = report.completed.is_some_and(|age| self.clear(before(now, age)));
        for (crash, Sighting { age, run, is_trial }) in &report.crashes {
            let (run, is_trial) = (*run, *is_trial);
            let evidence = Evidence { at: before(now, *age), run, is_trial, is_own: false };
            if self.completed.is_some_and(|completed| evidence.at <= completed) {
                // The peer has to learn that the suspect was cleared.
                is_changed |= self.cleared != self.completed;
                self.cleared = self.completed;
            } else {
                is_changed |= self.add(*crash, evidence);
            }
        }
        is_changed
    }

    /// Drops crashes older than `ttl`; returns whether there were any.
    pub(super) fn expire(&mut self, now: Time, ttl: Duration) -> bool {
        let Some(last) = self.last_crash().filter(|last| age(now, *last) >= ttl) else { return false };
        self.crashes.retain(|_, evidence| evidence.at > last);
        true
    }

    /// Returns whether there are crashes, or peers have to learn that the suspect was cleared.
    pub(super) fn is_of_use(&self, now: Time, ttl: Duration) -> bool {
        !self.crashes.is_empty() || self.cleared.is_some_and(|at| age(now, at) < ttl)
    }

    pub(super) fn last_crash(&self) -> Option<Stamp> {
        self.crashes.values().map(|evidence| evidence.at).max()
    }

    /// Returns whether another crash under a run that has just started would be enough to hold the suspect off.
    pub(super) fn is_serious(&self) -> bool {
        self.crashes.len() > 1 || self.crashes.values().any(|evidence| evidence.run == Run::Starting)
    }

    pub(super) fn failed_trials(&self) -> usize {
        self.crashes.values().filter(|evidence| evidence.is_trial).count()
    }

    /// Returns how long the next trial has to wait for the crashes so far.
    pub(super) fn trial_wait(&self, now: Time) -> Duration {
        let delay = delay::before_trial(self.crashes.len(), self.failed_trials());
        delay.saturating_sub(self.last_crash().map_or(Duration::MAX, |at| age(now, at)))
    }

    /// Returns the order in which suspects are kept, the highest the longest.
    pub(super) fn rank(&self, suspect: Suspect) -> (usize, Option<Stamp>, Suspect) {
        (self.crashes.len(), self.last_crash(), suspect)
    }

    /// Returns the crashes up to an age of `ttl`, of which peers know all but the own ones if `is_own_only`.
    pub(super) fn report(&self, now: Time, suspect: Suspect, ttl: Duration, is_own_only: bool) -> Report {
        let reported = self.crashes.iter().filter(|(_, evidence)| evidence.is_own || !is_own_only);
        let sightings = reported.map(|(crash, evidence)| {
            let Evidence { at, run, is_trial, .. } = *evidence;
            (*crash, Sighting { age: age(now, at), run, is_trial })
        });
        Report {
            suspect,
            crashes: sightings.filter(|(_, sighting)| sighting.age < ttl).collect(),
            completed: None,
            is_wanted: false,
            is_trying: false,
        }
    }
}
