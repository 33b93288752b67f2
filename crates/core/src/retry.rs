//! Retry budgets, which bound the extra load of retries during an outage.
//!
//! Each customer and each endpoint has a budget that successful requests refill. A retry draws on
//! both budgets. Requests refused for overload are not retried.

use std::{collections::BTreeMap, sync::Arc};

use crate::message::FailureCause;

/// Retries added to a budget per successful request.
const CREDIT_PER_SUCCESS: f64 = 0.2;
/// Initial and maximum budget, in retries. An engine that crashes interrupts about twenty requests,
/// and a request that crashes one crashes a second before it is quarantined.
const MAX_CREDIT: f64 = 50.0;
/// Maximum attempts per request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;

/// Retry budgets by customer and by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Remaining retries; a missing key means [`MAX_CREDIT`].
    credit: BTreeMap<(Scope, Arc<str>), f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    Customer,
    Endpoint,
}

impl Budget {
    /// Refills the budgets of the customer and the endpoint after a successful request.
    pub fn record_success(&mut self, customer: &Arc<str>, endpoint: &Arc<str>) {
        for key in keys(customer, endpoint) {
            let Some(credit) = self.credit.get_mut(&key) else { continue };
            *credit += CREDIT_PER_SUCCESS;
            if *credit >= MAX_CREDIT {
                self.credit.remove(&key);
            }
        }
    }

    /// Returns whether a request whose attempt `number` failed at `endpoint` may be retried. If so,
    /// deducts one retry from both budgets.
    pub fn try_spend(
        &mut self,
        customer: &Arc<str>,
        endpoint: &Arc<str>,
        number: u32,
        cause: FailureCause,
    ) -> bool {
        if number >= MAX_ATTEMPTS || !is_retryable(cause) {
            return false;
        }
        let keys = keys(customer, endpoint);
        if keys.iter().any(|key| self.credit.get(key).is_some_and(|credit| *credit < 1.0)) {
            return false;
        }
        for key in keys {
            *self.credit.entry(key).or_insert(MAX_CREDIT) -= 1.0;
        }
        true
    }

    /// Returns the number of budgets below their maximum.
    pub fn len(&self) -> usize {
        self.credit.len()
    }

    /// Returns whether every budget is at its maximum.
    pub fn is_empty(&self) -> bool {
        self.credit.is_empty()
    }
}

fn is_retryable(cause: FailureCause) -> bool {
    match cause {
        FailureCause::Crashed | FailureCause::Evicted | FailureCause::Stalled | FailureCause::LinkLost => {
            true
        }
        FailureCause::Failed => false,
    }
}

fn keys(customer: &Arc<str>, endpoint: &Arc<str>) -> [(Scope, Arc<str>); 2] {
    [(Scope::Customer, customer.clone()), (Scope::Endpoint, endpoint.clone())]
}
