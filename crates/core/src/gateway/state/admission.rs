//! Admission of requests, and the budgets for retries.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{Admission, Admitted, State, suspects::quarantined};
use crate::{
    clock::Time,
    gateway::{budget::Decision, catalog::Customer, ledger::Remainder, suspect::Verdict},
    refusal::{Code, Refusal},
};

impl<T> State<T> {
    /// Admits a request and charges its customer.
    pub fn admit(&mut self, now: Time, admission: &Admission) -> Result<Admitted, Refusal> {
        let verdict = self.suspects.verdict(now, &admission.suspects, self.settling_time());
        if let Verdict::Held(wait) = verdict {
            return Err(quarantined(wait));
        }
        if let Some(customer) = &admission.customer
            && let Err(delay) = self.rate_limiter.spend(now, &customer.name, admission.tokens)
        {
            let left = self.rate_limiter.tokens_left_for(&customer.name);
            let Customer { name, rate, burst, .. } = &**customer;
            let requested = admission.tokens;
            let message = format!(
                "{name} requested {requested} tokens but has {left} left; rate {rate}, burst {burst}"
            );
            return Err(Refusal::not_run(Code::OverRate, message).with_retry_after(delay));
        }
        self.budget.record_request(now, &admission.service);
        if verdict == Verdict::Free {
            return Ok(Admitted::Freely);
        }
        self.suspects.begin_trial(now, &admission.suspects);
        Ok(Admitted::AsTrial)
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&mut self, admission: &Admission) {
        if let Some(customer) = &admission.customer {
            self.rate_limiter.refund(&customer.name, admission.tokens);
        }
    }

    /// Charges `count` retries to the service's retry budget, or none if fewer are left.
    pub fn charge_retries(&mut self, now: Time, service: &Arc<str>, count: u32) -> Decision {
        // Not only replicas that are alive as far as this one knows: those that are cut off from it use their share.
        self.budget.try_charge(now, service, count, self.roster.count())
    }

    /// Records that the messages of `count` charges were read.
    pub fn conclude_retries(&mut self, now: Time, service: &Arc<str>, count: u32) {
        self.budget.conclude(now, service, count);
    }

    /// Records the end of a request that was charged retries or sent more than once.
    pub fn end_retries(&mut self, now: Time, service: &Arc<str>, remainder: Remainder) {
        self.budget.record_end(now, service, remainder);
    }

    /// Records that an endpoint has read a message that was sent at `sent`.
    pub fn record_read(&mut self, now: Time, endpoint: &str, sent: Time) {
        self.budget.record_read(now, endpoint, sent);
    }

    /// Records that the process was paused until now.
    pub fn record_pause(&mut self, now: Time) {
        self.budget.record_pause(now);
    }

    /// Returns the endpoints that may still read messages of requests that have ended.
    pub fn awaited_endpoints(&self) -> BTreeSet<Arc<str>> {
        self.budget.awaited()
    }

    /// Records that the row of this process was written to the store, after the list of all others was read.
    /// `since_previous` is the time since an earlier process of this replica wrote it; `None` if there was none.
    pub fn record_registered(&mut self, since_previous: Option<Duration>) {
        self.budget.record_registered(since_previous);
        self.rate_limiter.record_registered(since_previous);
    }
}
