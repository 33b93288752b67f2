//! Serves calls of plain services.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tarragonhill_core::{
    Attempt, Code, Refusal,
    message::{Event, Order, Work},
    placement::Need,
    settings::Role,
};
use tarragonhill_http::server::Outbound;

use super::{
    CALL_COST_TOKENS, RequestInfo, admit,
    attempt::{Dispatch, Failure},
};
use crate::entry::{
    context::Context,
    control::{self, PlacementRequest},
    request,
};

/// Timeout of a call, including its time in the queue.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Answer of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    /// Converts the answer to an HTTP response.
    pub(crate) fn outbound(self) -> Outbound {
        Outbound::bytes(self.status, "application/json", self.body)
    }
}

/// Serves a call that is safe to repeat, with retries.
pub(crate) async fn call(
    context: &Context,
    info: &RequestInfo,
    call: request::Call,
) -> Result<Outbound, Refusal> {
    check_service(context, &call.service)?;
    let mut charge = admit(context, info, CALL_COST_TOKENS).await?;
    charge.mark_used();
    let mut tried = BTreeSet::new();
    let mut number = 1;
    loop {
        match dispatch(context, info, &call, number, &tried).await {
            Ok((endpoint, reply)) => {
                context.control.record_success(&info.key.customer, &endpoint);
                context.metrics.answered.with_label_values(&["call"]).inc();
                return Ok(reply.outbound());
            }
            Err(Failure::Refused(refusal)) => return Err(refusal),
            Err(Failure::Overloaded { retry_after, .. }) => {
                let refusal = Refusal::not_run(Code::Overloaded, "the service has no room");
                return Err(refusal.with_retry_after(retry_after.max(Duration::from_millis(200))));
            }
            Err(Failure::Interrupted { endpoint, cause }) => {
                let customer = info.key.customer.clone();
                let retry = control::RetryRequest { customer, endpoint: endpoint.clone(), number, cause };
                if !context.control.try_spend_retry(retry).await {
                    return Err(Refusal::may_have_run(Code::Broken, format!("the call broke off ({cause})")));
                }
                context.metrics.retries.inc();
                tried.insert(endpoint);
                number += 1;
            }
        }
    }
}

/// Refuses calls of a service that no endpoint serves.
pub(crate) fn check_service(context: &Context, service: &Arc<str>) -> Result<(), Refusal> {
    let settings = context.current.get();
    match settings.serving(service, Role::Plain) {
        [] => Err(Refusal::not_run(Code::UnknownModel, format!("no endpoint serves {service:?}"))),
        _ => Ok(()),
    }
}

/// Sends a call to one endpoint and returns the endpoint with its answer.
pub(crate) async fn dispatch(
    context: &Context,
    info: &RequestInfo,
    call: &request::Call,
    number: u32,
    tried: &BTreeSet<Arc<str>>,
) -> Result<(Arc<str>, Reply), Failure> {
    super::recheck(context, info)?;
    let attempt = Attempt { request: info.request, number };
    let request = PlacementRequest {
        attempt,
        serves: call.service.clone(),
        role: Role::Plain,
        need: Need::Plain,
        tried: tried.clone(),
    };
    let target = context.control.place(request).await.ok_or_else(super::plan::no_endpoint)?;
    let mut dispatch = Dispatch::new(context, attempt);
    let work = Work {
        attempt,
        endpoint: target.endpoint.clone(),
        customer: info.key.customer.clone(),
        key: info.key.id.clone(),
        prompt_tokens: 0,
        max_tokens: 0,
        slack: CALL_TIMEOUT,
        timeout: CALL_TIMEOUT,
        suspect: false,
    };
    let order = Order::Call {
        work,
        method: call.method.clone(),
        path: call.path.clone(),
        body: call.body.clone(),
        idempotency_key: call.idempotency_key.clone().unwrap_or_else(|| "".into()),
    };
    dispatch.send(&target.agent, &target.endpoint, order)?;
    loop {
        if let Event::Answered { status, body, .. } =
            dispatch.next_event(&target.endpoint, CALL_TIMEOUT).await?
        {
            dispatch.mark_ended();
            return Ok((target.endpoint, Reply { status, body }));
        }
    }
}
