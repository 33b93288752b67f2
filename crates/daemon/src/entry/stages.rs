//! The stages of one request: identify, admit, plan, prefill, transfer and decode, answer.
//!
//! Each stage is a function that either passes the request on or refuses it; what is decided about
//! many requests together is asked of the control thread.

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

/// Tokens that a call of a plain service is charged.
const CALL_COST: u64 = 1;

/// One request and who sent it.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub(crate) request: Request,
    /// The key it came with, in force when it came.
    pub(crate) key: Arc<Key>,
    pub(crate) arrived: Time,
    /// Since when it waits for its next token: since it came, or since its last attempt broke off.
    pub(crate) waiting: Time,
    /// Whether it was running when an endpoint crashed, here or at another entry.
    pub(crate) suspect: bool,
}

/// Finds out whose request it is.
pub(crate) fn identify(context: &Context, authorization: Option<&str>) -> Result<Arc<Key>, Refusal> {
    context.check_serving()?;
    let key = authorization.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| bad_key("a key must be sent as bearer token"))?;
    context.current.get().authenticate(key).ok_or_else(|| bad_key("the key is unknown or withdrawn"))
}

fn bad_key(message: &str) -> Refusal {
    Refusal::not_run(Code::BadKey, message)
}

/// Checks the key again before a costly stage: it may have been withdrawn meanwhile, and a process
/// that was paused may wake up in the middle of a request.
fn recheck(context: &Context, ticket: &Ticket) -> Result<(), Refusal> {
    context.check_serving()?;
    match context.current.get().is_withdrawn(&ticket.key.id) {
        true => Err(bad_key("the key was withdrawn")),
        false => Ok(()),
    }
}

/// Whether a running answer must be cut because its key was withdrawn.
fn is_cut(context: &Context, ticket: &Ticket) -> bool {
    let settings = context.current.get();
    if !settings.is_withdrawn(&ticket.key.id) {
        return false;
    }
    let key = settings.keys.values().find(|key| key.id == ticket.key.id);
    key.is_none_or(|key| key.running == WithdrawalPolicy::Cut)
}

/// Tokens charged for a request, given back unless they are used.
///
/// Guards against a caller that leaves in the middle of its answer, again and again: what has begun
/// to run is paid for, unless its end says how much of it was used.
pub(crate) struct Charge<'a> {
    context: &'a Context,
    customer: Arc<str>,
    request: Request,
    /// Tokens to give back when this is dropped.
    unused: u64,
    admitted: bool,
}

impl Charge<'_> {
    /// Notes that costly work begins: if nothing more is heard, all of the charge is used.
    fn begin(&mut self) {
        self.unused = 0;
    }

    /// Notes at the end how much of the charge was not used.
    fn settle(&mut self, unused: u64) {
        self.unused = unused;
    }
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        match self.admitted {
            true => self.context.control.refund(&self.customer, self.unused),
            // The caller left while it waited for tokens.
            false => self.context.control.forget(&self.customer, self.request),
        }
    }
}

/// Charges the request to its customer, waiting a bounded time for tokens.
async fn admit<'a>(context: &'a Context, ticket: &Ticket, cost: u64) -> Result<Charge<'a>, Refusal> {
    let customer = ticket.key.customer.clone();
    let settings = context.current.get();
    let burst = settings.customers.get(&customer).map_or(0, |terms| terms.burst);
    if cost > burst {
        let message =
            format!("the request costs {cost} tokens and can never fit the customer's burst of {burst}");
        return Err(Refusal::not_run(Code::OverRate, message));
    }
    let mut charge = Charge {
        context,
        customer: customer.clone(),
        request: ticket.request,
        unused: cost,
        admitted: false,
    };
    let deadline = context.clock.now().plus(context.rate_wait);
    let waiter = Waiter { request: ticket.request, cost, deadline };
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

/// Charges a call of a plain service that may not be repeated.
pub(crate) async fn charge_call<'a>(context: &'a Context, ticket: &Ticket) -> Result<Charge<'a>, Refusal> {
    let mut charge = admit(context, ticket, CALL_COST).await?;
    charge.begin();
    Ok(charge)
}
