//! When this replica may send to endpoints that take only few requests.

use std::time::Duration;

use super::State;
use crate::{
    clock::Time,
    gateway::{
        cold,
        loan::{Loan, Turns},
        throttle::Cause,
    },
};

impl<T> State<T> {
    /// Recomputes when this replica may send to throttled endpoints. Must be called several times a second, as owners of limited
    /// endpoints and loans change in time.
    pub(super) fn update_throttles(&mut self, now: Time) {
        let Self { limits, loans, gate, roster, .. } = self;
        let mut limited = limits.throttles(now, roster);
        for (endpoint, throttle) in &mut limited {
            throttle.interval = loans.interval(now, Cause::Limited, endpoint, throttle.own);
        }
        gate.limited.replace(limited);
        gate.cold.update_intervals(|endpoint, own| loans.interval(now, Cause::Cold, endpoint, own));
    }

    /// Recomputes which turns this replica owns at cold endpoints. Must be called after each change of the roster and of the
    /// configuration.
    pub(super) fn update_cold_owners(&mut self, now: Time) {
        if self.gate.cold.is_empty() {
            return;
        }
        let mut cold = std::mem::take(&mut self.gate.cold);
        cold.update_owners(|endpoint| self.cold_interval(endpoint));
        self.gate.cold = cold;
        self.update_throttles(now);
    }

    /// Returns the interval at which this replica may send to an endpoint while it is cold, without loans.
    pub(super) fn cold_interval(&self, endpoint: &str) -> Option<Duration> {
        let service = self.directory.get(endpoint).map(|endpoint| &*endpoint.service);
        let service = service.and_then(|service| self.catalog.as_ref()?.service(service));
        let Some(warmup) = service.and_then(|service| service.warmup) else { return Some(Duration::ZERO) };
        let share = cold::share(warmup.rate, self.tolerance)?;
        self.roster.is_owner(endpoint, share.owners).then_some(share.interval)
    }

    /// Decides which turns this replica lends, and returns the loans for its next digest.
    pub(super) fn take_loans(&mut self, now: Time) -> Vec<Loan> {
        if !self.loans.is_needed(now) {
            return Vec::new();
        }
        let Self { loans, gate, directory, .. } = self;
        let all = [(Cause::Cold, &gate.cold), (Cause::Limited, &gate.limited)];
        let throttled = all.into_iter().flat_map(|(cause, throttles)| {
            throttles.all(now).map(move |(endpoint, throttle)| (cause, endpoint, throttle.own))
        });
        let owned = throttled.filter_map(|(cause, endpoint, own)| {
            let interval = own.filter(|interval| !interval.is_zero())?;
            let service = directory.get(endpoint)?.service.clone();
            Some(Turns { service, endpoint: endpoint.clone(), cause, interval })
        });
        loans.update(now, owned.collect());
        self.update_throttles(now);
        self.loans.offers(now)
    }
}
