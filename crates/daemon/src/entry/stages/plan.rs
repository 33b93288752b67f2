//! Finds decode memory for a request before anything costly starts.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tarragonhill_core::{
    Code, Refusal,
    message::{Event, Order, Work},
    placement::Need,
    settings::{Role, pieces},
};

use super::{
    Ticket,
    attempt::{Dispatch, Failure},
};
use crate::entry::{
    context::Context,
    control::{Placed, Placement},
    request::Completion,
};

/// An agent answers a hold by its deadline; this much later it is taken for stalled.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Patience of suspects of a crash. They run one at a time, and most of them are innocent and have
/// been paid for.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(30);
/// Slack of the baselines, which know no early refusal.
const NO_SLACK: Duration = Duration::from_secs(30);

/// Where the decode will run.
#[derive(Clone, Debug)]
pub(super) struct Planned {
    pub(super) decode: Placed,
    /// When its place is free.
    pub(super) ready_in: Duration,
    pub(super) held: bool,
}

/// The part of an order that is the same in every stage.
pub(super) fn work(
    context: &Context,
    ticket: &Ticket,
    completion: &Completion,
    dispatch: &Dispatch<'_>,
    endpoint: &Arc<str>,
) -> Work {
    Work {
        attempt: dispatch.attempt(),
        endpoint: endpoint.clone(),
        customer: ticket.key.customer.clone(),
        key: ticket.key.id.clone(),
        prompt_tokens: completion.prompt_tokens(),
        max_tokens: completion.max_tokens,
        slack: slack(context, ticket),
        timeout: remaining_timeout(context, ticket),
        suspect: ticket.suspect,
    }
}

/// Time left until the first token is due.
pub(super) fn slack(context: &Context, ticket: &Ticket) -> Duration {
    if !context.policy.uses_holds() {
        return NO_SLACK;
    }
    context.first_token.saturating_sub(context.clock.now().since(ticket.waiting))
}

/// Time left until the request is given up.
pub(super) fn remaining_timeout(context: &Context, ticket: &Ticket) -> Duration {
    if !context.policy.uses_holds() {
        return NO_SLACK;
    }
    let all = if ticket.suspect {
        context.first_token_timeout.max(SUSPECT_TIMEOUT)
    } else {
        context.first_token_timeout
    };
    all.saturating_sub(context.clock.now().since(ticket.waiting))
}

/// Chooses a decode endpoint and, by policy, holds its memory.
pub(super) async fn plan(
    context: &Context,
    ticket: &Ticket,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    tried: &BTreeSet<Arc<str>>,
) -> Result<Planned, Failure> {
    super::recheck(context, ticket)?;
    let need = Need::Decode(pieces(completion.prompt_tokens() + completion.max_tokens));
    let placement = Placement {
        attempt: dispatch.attempt(),
        serves: completion.model.clone(),
        role: Role::Decode,
        need,
        tried: tried.clone(),
    };
    let placed = context.control.place(placement).await.ok_or_else(no_endpoint)?;
    if !context.policy.uses_holds() {
        return Ok(Planned { decode: placed, ready_in: Duration::ZERO, held: false });
    }
    let work = work(context, ticket, completion, dispatch, &placed.endpoint);
    let limit = work.timeout + ANSWER_GRACE;
    let order = Order::Hold { work, ahead: context.policy.promises_ahead() };
    dispatch.send(&placed.agent, &placed.endpoint, order)?;
    loop {
        if let Event::Held { ready_in, .. } = dispatch.next(&placed.endpoint, limit).await? {
            return Ok(Planned { decode: placed, ready_in, held: true });
        }
    }
}

/// The refusal when no endpoint can be chosen.
pub(super) fn no_endpoint() -> Failure {
    let refusal = Refusal::not_run(Code::NoEndpoint, "no endpoint can take this work now");
    Failure::Refused(refusal.with_retry_after(Duration::from_secs(1)))
}
