//! Budgets that keep retries from feeding an outage.
//!
//! Each customer and each endpoint earns a part of a retry with every request that succeeds. When
//! everything fails, retries stop after the first few. Overload is never retried at all.

use std::{collections::BTreeMap, sync::Arc};

use crate::message::FailureCause;

/// Retries earned with each success.
const EARNED: f64 = 0.2;
/// Retries at hand before any success, and at most: a crash breaks the twenty or so requests of an
/// engine at once, and a request that crashes one crashes a second before it is known.
const MOST: f64 = 50.0;
/// Tries of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Retry budgets by customer and by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Only names that have spent something; absent means [`MOST`].
    left: BTreeMap<(Payer, Arc<str>), f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Payer {
    Customer,
    Endpoint,
}

impl Budget {
    /// Notes a request that succeeded.
    pub fn record_success(&mut self, customer: &Arc<str>, endpoint: &Arc<str>) {
        for key in keys(customer, endpoint) {
            let Some(left) = self.left.get_mut(&key) else { continue };
            *left += EARNED;
            if *left >= MOST {
                self.left.remove(&key);
            }
        }
    }

    /// Whether a request that broke off at `endpoint` on its `number`th try may be tried again;
    /// pays for it if so.
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
        if keys.iter().any(|key| self.left.get(key).is_some_and(|left| *left < 1.0)) {
            return false;
        }
        for key in keys {
            *self.left.entry(key).or_insert(MOST) -= 1.0;
        }
        true
    }

    /// How many budgets are below their maximum.
    pub fn len(&self) -> usize {
        self.left.len()
    }

    /// Whether every budget is at its maximum.
    pub fn is_empty(&self) -> bool {
        self.left.is_empty()
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

fn keys(customer: &Arc<str>, endpoint: &Arc<str>) -> [(Payer, Arc<str>); 2] {
    [(Payer::Customer, customer.clone()), (Payer::Endpoint, endpoint.clone())]
}
