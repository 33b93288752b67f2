//! Calls of plain services.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tarragonhill_core::{
    Attempt, Code, Refusal,
    message::{Event, Order, Work},
    placement::Need,
    settings::Role,
};
use tarragonhill_http::server::Outbound;

use super::{
    CALL_COST, Ticket, admit,
    attempt::{Dispatch, Failure},
};
use crate::entry::{
    context::Context,
    control::{self, Placement},
    request,
};

/// Longest time for a call, its queueing included.
const LONGEST: Duration = Duration::from_secs(30);

/// A plain service's answer.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    /// The answer as the caller gets it.
    pub(crate) fn outbound(self) -> Outbound {
        Outbound::bytes(self.status, "application/json", self.body)
    }
}

/// Serves a call that may be repeated.
pub(crate) async fn call(
    context: &Context,
    ticket: &Ticket,
    call: request::Call,
) -> Result<Outbound, Refusal> {
    check_service(context, &call.service)?;
    let mut charge = admit(context, ticket, CALL_COST).await?;
    charge.begin();
    let mut tried = BTreeSet::new();
    let mut number = 1;
    loop {
        match dispatch(context, ticket, &call, number, &tried).await {
            Ok((endpoint, reply)) => {
                context.control.earn(&ticket.key.customer, &endpoint);
                context.metrics.answered.with_label_values(&["call"]).inc();
                return Ok(reply.outbound());
            }
            Err(Failure::Refused(refusal)) => return Err(refusal),
            Err(Failure::Full { retry_after, .. }) => {
                let refusal = Refusal::not_run(Code::Overloaded, "the service has no room");
                return Err(refusal.with_retry_after(retry_after.max(Duration::from_millis(200))));
            }
            Err(Failure::Broken { endpoint, cause }) => {
                let customer = ticket.key.customer.clone();
                let failure = control::Failure { customer, endpoint: endpoint.clone(), number, cause };
                if !context.control.retry(failure).await {
                    return Err(Refusal::may_have_run(Code::Broken, format!("the call broke off ({cause})")));
                }
                context.metrics.retries.inc();
                tried.insert(endpoint);
                number += 1;
            }
        }
    }
}

/// Refuses a service that nobody serves.
pub(crate) fn check_service(context: &Context, service: &Arc<str>) -> Result<(), Refusal> {
    let settings = context.current.get();
    match settings.serving(service, Role::Plain) {
        [] => Err(Refusal::not_run(Code::UnknownModel, format!("no endpoint serves {service:?}"))),
        _ => Ok(()),
    }
}

/// Sends a call once.
pub(crate) async fn dispatch(
    context: &Context,
    ticket: &Ticket,
    call: &request::Call,
    number: u32,
    tried: &BTreeSet<Arc<str>>,
) -> Result<(Arc<str>, Reply), Failure> {
    super::recheck(context, ticket)?;
    let attempt = Attempt { request: ticket.request, number };
    let placement = Placement {
        attempt,
        serves: call.service.clone(),
        role: Role::Plain,
        need: Need::Plain,
        tried: tried.clone(),
    };
    let placed = context.control.place(placement).await.ok_or_else(super::plan::no_endpoint)?;
    let mut dispatch = Dispatch::new(context, attempt);
    let work = Work {
        attempt,
        endpoint: placed.endpoint.clone(),
        customer: ticket.key.customer.clone(),
        key: ticket.key.id.clone(),
        prompt_tokens: 0,
        max_tokens: 0,
        slack: LONGEST,
        timeout: LONGEST,
        suspect: false,
    };
    let order = Order::Call {
        work,
        method: call.method.clone(),
        path: call.path.clone(),
        body: call.body.clone(),
        idempotency_key: call.idempotency_key.clone().unwrap_or_else(|| "".into()),
    };
    dispatch.send(&placed.agent, &placed.endpoint, order)?;
    loop {
        if let Event::Answered { status, body, .. } = dispatch.next(&placed.endpoint, LONGEST).await? {
            dispatch.ended();
            return Ok((placed.endpoint, Reply { status, body }));
        }
    }
}
