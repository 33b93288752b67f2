//! Shares of customers in memory for which requests wait.

use super::State;
use crate::{
    clock::Time,
    gateway::{
        catalog::Engine,
        digest::Digest,
        fairness::{Change, Fairness, Owner, Report, Waiter},
        mechanism::Mechanism,
        order::Urgency,
        placement::Run,
        queue::{Entry, Queue},
    },
};

/// Part of the time-to-first-token target at whose end a request no longer leaves memory to others, so that it can still be
/// on time.
const LAST_PART_OF_TARGET: u32 = 4;
/// Largest fleet in which requests leave memory to those at other replicas. In a larger one, digests pass through relays, and
/// the memory would stay idle until the others learn of it.
const MAX_YIELDING_REPLICAS: u32 = 8;

impl<T> State<T> {
    /// Returns what is known of customers' shares.
    pub fn fairness(&self) -> &Fairness {
        &self.fairness
    }

    /// Returns the customers that have begun or ceased to hold more than their share since the last call.
    pub fn take_share_changes(&mut self) -> Vec<Change> {
        self.fairness.take_changes()
    }

    /// Returns what customers hold and want at this replica, for peers.
    pub(super) fn holdings(&self, now: Time) -> Report {
        let mut report = self.fairness.report(now, self.loads.holdings());
        report.retain(|service, _| self.uses(service, Mechanism::Fairness));
        report
    }

    /// Records what customers hold and want at a peer.
    pub(super) fn apply_holdings(&mut self, now: Time, digest: &Digest) {
        if self.mechanisms.has(Mechanism::Fairness) {
            self.fairness.apply_digest(now, digest);
        }
    }

    /// Marks the requests whose customers hold more than their share of memory for which requests wait.
    pub(super) fn mark_over_share(&mut self, now: Time, queue: &mut Queue<T>) {
        let Some(catalog) = self.catalog.clone() else { return };
        let mut services = queue.services();
        services.retain(|service| {
            self.uses(service, Mechanism::Fairness) && self.fairness.is_scarce(now, service)
        });
        for service in &services {
            self.fairness.update(now, service, self.loads.holdings(), &catalog);
        }
        queue.mark_over_share(|entry| {
            services.contains(&entry.service) && self.fairness.is_over(&entry.service, &entry.customer)
        });
    }

    /// Records the requests that found no memory.
    pub(super) fn record_waiting(&mut self, now: Time) {
        let waiting = self.queue.entries().filter(|entry| self.uses(&entry.service, Mechanism::Fairness));
        let waiters: Vec<Waiter> = waiting
            .map(|entry| Waiter {
                owner: Owner { service: entry.service.clone(), customer: entry.customer.clone() },
                memory: entry.memory,
                is_late: entry.is_late(now),
            })
            .collect();
        self.fairness.set_waiting(now, waiters);
    }

    /// Returns whether a request of a customer over its share has to leave the free memory to requests that wait at other
    /// replicas, of customers within their shares.
    pub(super) fn yields_to_others(
        &mut self,
        now: Time,
        entry: &Entry<T>,
        engine: &Engine,
        run: &Run<'_>,
    ) -> bool {
        let latest = entry.soft_deadline.minus(entry.ttft_target / LAST_PART_OF_TARGET);
        if !entry.is_over_share || now >= latest || self.peers.count() > MAX_YIELDING_REPLICAS {
            return false;
        }
        let urgency = Urgency { is_late: entry.is_late(now), priority: entry.priority };
        let claimed = self.fairness.claimed_elsewhere(now, &entry.service, urgency);
        if claimed == 0 {
            return false;
        }
        let room = self.view(now).room(&entry.service, engine, run) as u64;
        let yields = (1..=claimed).contains(&room.saturating_mul(entry.memory));
        if yields {
            self.fairness.record_yield();
        }
        yields
    }
}
