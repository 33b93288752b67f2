//! Memory of one decode engine: what is used, held and promised.
//!
//! The agent beside the engine owns the ledger and is the one authority on it. A hold is a lease:
//! it lapses unless its decode arrives in time, so memory never stays held by an entry that died
//! or a caller that left.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Time, id::Attempt};

/// State of one attempt's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Held for a decode that has not arrived; lapses at the time given.
    Held {
        /// End of the lease.
        until: Time,
    },
    /// Granted against a place that is about to fall free.
    Promised {
        /// When it is expected to be free.
        ready: Time,
        /// End of the lease.
        until: Time,
    },
    /// The decode runs.
    Running {
        /// When it is expected to end.
        ends: Time,
    },
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    pieces: u32,
    phase: Phase,
}

/// What a request for memory got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// Held, and free after the span.
    Granted(Duration),
    /// Nothing is free in time.
    Full,
}

/// The ledger of one engine.
///
/// The pieces of held and running claims together never exceed the capacity. Promised claims
/// stand outside that sum until a place has fallen free.
#[derive(Clone, Debug)]
pub struct Ledger {
    capacity: u32,
    claims: BTreeMap<Attempt, Claim>,
}

impl Ledger {
    /// An empty ledger over `capacity` pieces.
    pub fn new(capacity: u32) -> Self {
        Self { capacity, claims: BTreeMap::new() }
    }

    /// All pieces.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Changes the capacity; running claims stay.
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Pieces neither held nor in use nor promised.
    pub fn free(&self) -> u32 {
        self.capacity.saturating_sub(self.claims.values().map(|claim| claim.pieces).sum())
    }

    fn physical(&self) -> u32 {
        let taken = |claim: &Claim| !matches!(claim.phase, Phase::Promised { .. });
        let used = self.claims.values().filter(|claim| taken(claim)).map(|claim| claim.pieces).sum();
        self.capacity.saturating_sub(used)
    }

    /// Claims memory for `attempt` until `until`, now or, with `horizon`, ahead of a place that
    /// falls free within it.
    pub fn hold(
        &mut self,
        now: Time,
        attempt: Attempt,
        pieces: u32,
        until: Time,
        horizon: Option<Duration>,
    ) -> Hold {
        if let Some(claim) = self.claims.get(&attempt) {
            return Hold::Granted(ready_in(claim.phase, now));
        }
        if pieces <= self.free() {
            self.claims.insert(attempt, Claim { pieces, phase: Phase::Held { until } });
            return Hold::Granted(Duration::ZERO);
        }
        let Some(ready) = horizon.and_then(|horizon| self.ready(now, pieces, horizon)) else {
            return Hold::Full;
        };
        self.claims.insert(attempt, Claim { pieces, phase: Phase::Promised { ready, until } });
        Hold::Granted(ready.since(now))
    }

    /// When `pieces` more than all claims so far will be free, if within `horizon`.
    fn ready(&self, now: Time, pieces: u32, horizon: Duration) -> Option<Time> {
        let claimed: u32 = self.claims.values().map(|claim| claim.pieces).sum();
        let mut missing = (claimed + pieces).saturating_sub(self.capacity);
        let mut ends: Vec<(Time, u32)> = self
            .claims
            .values()
            .filter_map(|claim| match claim.phase {
                Phase::Running { ends } => Some((ends.max(now), claim.pieces)),
                Phase::Held { .. } | Phase::Promised { .. } => None,
            })
            .collect();
        ends.sort_unstable();
        for (end, pieces) in ends {
            if end.since(now) > horizon {
                return None;
            }
            missing = missing.saturating_sub(pieces);
            if missing == 0 {
                return Some(end);
            }
        }
        None
    }

    /// Whether the decode of `attempt` may start in memory now; takes the place if so.
    pub fn start(&mut self, attempt: Attempt, ends: Time) -> bool {
        let physical = self.physical();
        let Some(claim) = self.claims.get_mut(&attempt) else { return false };
        let fits = match claim.phase {
            Phase::Held { .. } | Phase::Running { .. } => true,
            Phase::Promised { .. } => claim.pieces <= physical,
        };
        if fits {
            claim.phase = Phase::Running { ends };
        }
        fits
    }

    /// Corrects when a running decode is expected to end.
    pub fn expect(&mut self, attempt: Attempt, ends: Time) {
        if let Some(Claim { phase: phase @ Phase::Running { .. }, .. }) = self.claims.get_mut(&attempt) {
            *phase = Phase::Running { ends };
        }
    }

    /// Frees what `attempt` claims; idempotent.
    pub fn release(&mut self, attempt: Attempt) -> bool {
        self.claims.remove(&attempt).is_some()
    }

    /// Turns promises into holds where memory has fallen free, and returns the attempts whose
    /// lease has lapsed, now freed.
    pub fn tick(&mut self, now: Time) -> Vec<Attempt> {
        let lapsed: Vec<Attempt> = self
            .claims
            .iter()
            .filter(|(_, claim)| match claim.phase {
                Phase::Held { until } | Phase::Promised { until, .. } => until <= now,
                Phase::Running { .. } => false,
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in &lapsed {
            self.claims.remove(attempt);
        }
        lapsed
    }

    /// Whether `attempt` has a claim.
    pub fn has(&self, attempt: Attempt) -> bool {
        self.claims.contains_key(&attempt)
    }

    /// Decodes running.
    pub fn running(&self) -> usize {
        self.claims.values().filter(|claim| matches!(claim.phase, Phase::Running { .. })).count()
    }

    /// Attempts with a claim, with the pieces of each.
    pub fn claims(&self) -> impl Iterator<Item = (Attempt, u32, Phase)> {
        self.claims.iter().map(|(attempt, claim)| (*attempt, claim.pieces, claim.phase))
    }
}

fn ready_in(phase: Phase, now: Time) -> Duration {
    match phase {
        Phase::Promised { ready, .. } => ready.since(now),
        Phase::Held { .. } | Phase::Running { .. } => Duration::ZERO,
    }
}
