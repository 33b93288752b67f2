//! Stages of a request: identify, admit, plan, prefill, transfer and decode, answer.
//!
//! Each stage is a function that either completes or refuses the request. Decisions that concern
//! more than one request are made by the control thread.

mod answer;
mod attempt;
mod complete;
mod decode;
mod plain;
mod plan;
mod prefill;

use std::sync::Arc;

use tarragonhill_core::{
    Code, Refusal, Request, Time,
    quota::{Admission, Waiter},
    settings::{Key, WithdrawalPolicy},
};

use crate::entry::context::Context;

pub(crate) use attempt::Failure;
pub(crate) use complete::complete;
pub(crate) use plain::{Reply, call, check_service, dispatch};

/// Tokens charged for a call of a plain service.
const CALL_COST_TOKENS: u64 = 1;

/// Identity and progress of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestInfo {
    pub(crate) request: Request,
    /// Key of the caller, valid on arrival.
    pub(crate) key: Arc<Key>,
    pub(crate) arrived: Time,
    /// Start of the wait for the next token: the arrival, or the failure of the last attempt.
    pub(crate) waiting_since: Time,
    /// Whether the request was running when an endpoint crashed, as known to any entry.
    pub(crate) suspect: bool,
}

/// Authenticates a request by its Authorization header.
pub(crate) fn identify(context: &Context, authorization: Option<&str>) -> Result<Arc<Key>, Refusal> {
    context.check_serving()?;
    let key = authorization.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| bad_key("a key must be sent as bearer token"))?;
    context.current.get().authenticate(key).ok_or_else(|| bad_key("the key is unknown or withdrawn"))
}

fn bad_key(message: &str) -> Refusal {
    Refusal::not_run(Code::BadKey, message)
}

/// Checks before a costly stage that the key is still valid and that the entry may still serve; both
/// can change during a request, for example while the process is paused.
fn recheck(context: &Context, info: &RequestInfo) -> Result<(), Refusal> {
    context.check_serving()?;
    match context.current.get().is_withdrawn(&info.key.id) {
        true => Err(bad_key("the key was withdrawn")),
        false => Ok(()),
    }
}

/// Returns whether a running answer must be cut because its key was withdrawn.
fn is_cut(context: &Context, info: &RequestInfo) -> bool {
    let settings = context.current.get();
    if !settings.is_withdrawn(&info.key.id) {
        return false;
    }
    let key = settings.keys.values().find(|key| key.id == info.key.id);
    key.is_none_or(|key| key.running == WithdrawalPolicy::Cut)
}

/// Tokens charged for a request. Dropping it refunds the unused ones.
///
/// Once work has started, the whole charge counts as used until the actual usage is known, so that a
/// caller cannot avoid the charge by disconnecting.
pub(crate) struct Charge<'a> {
    context: &'a Context,
    customer: Arc<str>,
    request: Request,
    /// Tokens refunded on drop.
    unused: u64,
    admitted: bool,
}

impl Charge<'_> {
    /// Marks the whole charge as used, before work starts.
    fn mark_used(&mut self) {
        self.unused = 0;
    }

    /// Sets the tokens to refund, once the usage is known.
    fn set_unused(&mut self, unused: u64) {
        self.unused = unused;
    }
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        match self.admitted {
            true => self.context.control.refund(&self.customer, self.unused),
            // The caller disconnected while the request waited for admission.
            false => self.context.control.cancel_admission(&self.customer, self.request),
        }
    }
}

/// Charges a request to its customer. Waits up to `rate_wait` for tokens.
async fn admit<'a>(context: &'a Context, info: &RequestInfo, cost: u64) -> Result<Charge<'a>, Refusal> {
    let customer = info.key.customer.clone();
    let settings = context.current.get();
    let burst = settings.customers.get(&customer).map_or(0, |terms| terms.burst);
    if cost > burst {
        let message =
            format!("the request costs {cost} tokens and can never fit the customer's burst of {burst}");
        return Err(Refusal::not_run(Code::OverRate, message));
    }
    let mut charge =
        Charge { context, customer: customer.clone(), request: info.request, unused: cost, admitted: false };
    let deadline = context.clock.now().plus(context.rate_wait);
    let waiter = Waiter { request: info.request, cost, deadline };
    match context.control.admit(&customer, waiter).await {
        Some(Admission::Admitted(_)) => {
            charge.admitted = true;
            Ok(charge)
        }
        Some(Admission::OverRate(_, span)) => {
            Err(Refusal::not_run(Code::OverRate, "the customer has spent its rate and burst")
                .with_retry_after(span))
        }
        Some(Admission::HomeUnreachable(_)) | None => {
            let message = "the home of the customer's rate cannot be reached";
            Err(Refusal::not_run(Code::QuotaUnavailable, message).with_retry_after(context.rate_wait))
        }
    }
}

/// Charges a call of a plain service that must not be repeated. The charge is not refunded.
pub(crate) async fn charge_call<'a>(context: &'a Context, info: &RequestInfo) -> Result<Charge<'a>, Refusal> {
    let mut charge = admit(context, info, CALL_COST_TOKENS).await?;
    charge.mark_used();
    Ok(charge)
}
