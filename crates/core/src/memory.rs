//! Accounting of the KV-cache memory of one decode engine.
//!
//! The agent of the engine owns the ledger; nothing else reserves memory there. A hold reserves
//! memory for a decode under a lease, so memory is freed if the entry dies or the caller leaves
//! before the decode arrives. Memory is counted in pieces, a fixed number of tokens each.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Time, id::Attempt};

/// State of an attempt's memory claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reserved for a decode that has not started.
    Held {
        /// End of the lease.
        until: Time,
    },
    /// Granted against memory that is still in use but expected to be freed soon.
    Promised {
        /// When the memory is expected to be free.
        ready: Time,
        /// End of the lease.
        until: Time,
    },
    /// In use by a running decode.
    Running {
        /// When the decode is expected to end.
        ends: Time,
    },
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    pieces: u32,
    phase: Phase,
}

/// Result of [`Ledger::hold`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// Granted; the memory is available after this delay.
    Granted(Duration),
    /// Not enough memory is free now or, if allowed, within the horizon.
    Full,
}

/// Memory claims on one engine.
///
/// The pieces of held and running claims together never exceed the capacity, unless it is reduced.
/// Promised claims are not part of that sum until their decode starts.
#[derive(Clone, Debug)]
pub struct Ledger {
    capacity: u32,
    claims: BTreeMap<Attempt, Claim>,
}

impl Ledger {
    /// Creates an empty ledger of `capacity` pieces.
    pub fn new(capacity: u32) -> Self {
        Self { capacity, claims: BTreeMap::new() }
    }

    /// Returns the capacity, pieces.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Changes the capacity; existing claims stay.
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Returns the pieces that are not held, in use or promised.
    pub fn free(&self) -> u32 {
        self.capacity.saturating_sub(self.claims.values().map(|claim| claim.pieces).sum())
    }

    /// Returns the pieces that are not held or in use; promised pieces count as unoccupied.
    fn unoccupied(&self) -> u32 {
        let is_occupying = |claim: &Claim| !matches!(claim.phase, Phase::Promised { .. });
        let used = self.claims.values().filter(|claim| is_occupying(claim)).map(|claim| claim.pieces).sum();
        self.capacity.saturating_sub(used)
    }

    /// Claims memory for `attempt` under a lease that ends at `until`. With a `horizon`, memory that
    /// is expected to be freed within it may be promised. Idempotent.
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
        let Some(ready) = horizon.and_then(|horizon| self.ready_at(now, pieces, horizon)) else {
            return Hold::Full;
        };
        self.claims.insert(attempt, Claim { pieces, phase: Phase::Promised { ready, until } });
        Hold::Granted(ready.since(now))
    }

    /// Returns when `pieces` more than all claims are expected to be free, if within `horizon`.
    fn ready_at(&self, now: Time, pieces: u32, horizon: Duration) -> Option<Time> {
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

    /// Marks the claim of `attempt` as running if its memory is available, and returns whether it is.
    pub fn start(&mut self, attempt: Attempt, ends: Time) -> bool {
        let unoccupied = self.unoccupied();
        let Some(claim) = self.claims.get_mut(&attempt) else { return false };
        let fits = match claim.phase {
            Phase::Held { .. } | Phase::Running { .. } => true,
            Phase::Promised { .. } => claim.pieces <= unoccupied,
        };
        if fits {
            claim.phase = Phase::Running { ends };
        }
        fits
    }

    /// Updates when a running decode is expected to end.
    pub fn set_expected_end(&mut self, attempt: Attempt, ends: Time) {
        if let Some(Claim { phase: phase @ Phase::Running { .. }, .. }) = self.claims.get_mut(&attempt) {
            *phase = Phase::Running { ends };
        }
    }

    /// Frees the claim of `attempt` and returns whether there was one.
    pub fn release(&mut self, attempt: Attempt) -> bool {
        self.claims.remove(&attempt).is_some()
    }

    /// Frees held and promised claims whose lease has ended, and returns their attempts.
    pub fn expire_leases(&mut self, now: Time) -> Vec<Attempt> {
        let expired: Vec<Attempt> = self
            .claims
            .iter()
            .filter(|(_, claim)| match claim.phase {
                Phase::Held { until } | Phase::Promised { until, .. } => until <= now,
                Phase::Running { .. } => false,
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in &expired {
            self.claims.remove(attempt);
        }
        expired
    }

    /// Returns whether `attempt` has a claim.
    pub fn contains(&self, attempt: Attempt) -> bool {
        self.claims.contains_key(&attempt)
    }

    /// Returns the number of running decodes.
    pub fn running(&self) -> usize {
        self.claims.values().filter(|claim| matches!(claim.phase, Phase::Running { .. })).count()
    }

    /// Iterates over all claims: attempt, pieces and phase.
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
