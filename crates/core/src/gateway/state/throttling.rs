//! When this replica may send to endpoints that take only few requests.

use std::{sync::Arc, time::Duration};

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
    /// Recomputes when this replica may send to throttled endpoints. Must be called several times a second, as owners and loans
    /// change in time, and after each change of the roster and of the configuration.
    pub(super) fn update_throttles(&mut self, now: Time) {
        let mut limited = self.limits.throttles(now, &self.roster);
        for (endpoint, throttle) in &mut limited {
            throttle.interval = self.loans.interval(now, Cause::Limited, endpoint, throttle.interval);
        }
        self.gate.limited.replace(limited);
        if !self.gate.cold.is_empty() {
            let mut cold = std::mem::take(&mut self.gate.cold);
            cold.update_intervals(|endpoint| {
                self.loans.interval(now, Cause::Cold, endpoint, self.cold_interval(endpoint))
            });
            self.gate.cold = cold;
        }
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
        let mut owned = Vec::new();
        if !self.gate.is_empty() {
            let cold = self.gate.cold.all(now).map(|(endpoint, _)| (endpoint, self.cold_interval(endpoint)));
            let limits = self.limits.throttles(now, &self.roster);
            let limited = limits.iter().map(|(endpoint, throttle)| (endpoint, throttle.interval));
            owned.extend(self.turns(Cause::Cold, cold));
            owned.extend(self.turns(Cause::Limited, limited));
        }
        self.loans.update(now, owned);
        self.update_throttles(now);
        self.loans.offers(now)
    }

    fn turns<'a>(
        &'a self,
        cause: Cause,
        intervals: impl Iterator<Item = (&'a Arc<str>, Option<Duration>)> + 'a,
    ) -> impl Iterator<Item = Turns> + 'a {
        let owned =
            intervals.filter_map(|(id, interval)| Some((id, interval.filter(|span| !span.is_zero())?)));
        owned.filter_map(move |(id, interval)| {
            let service = self.directory.get(id)?.service.clone();
            Some(Turns { service, endpoint: id.clone(), cause, interval })
        })
    }
}
