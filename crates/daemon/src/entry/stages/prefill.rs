//! Runs the prefill of a request whose decode memory is promised.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tarragonhill_core::{
    message::{Event, Order},
    placement::Need,
    quarantine::fingerprint,
    settings::Role,
};

use super::{
    Ticket,
    attempt::{Dispatch, Failure},
    plan::{Planned, no_endpoint, remaining_timeout, work},
};
use crate::entry::{
    context::Context,
    control::{Placed, Placement},
    request::Completion,
};

/// Longest prefill once its turn has come.
const LONGEST: Duration = Duration::from_secs(30);
/// Other endpoints asked before one may do it late.
const ALTERNATIVES: usize = 2;
/// Bytes of a prompt's beginning that engines are likely to have cached.
const PREFIX: usize = 2_048;

/// A prefill result.
#[derive(Clone, Debug)]
pub(super) struct Prefilled {
    pub(super) source: Arc<str>,
    pub(super) kv: Arc<str>,
}

/// Chooses a prefill endpoint and runs the prefill there. An endpoint that cannot do it in time for
/// the first-token target is passed over as long as there is another to ask; the last one asked
/// may do it late.
pub(super) async fn prefill(
    context: &Context,
    ticket: &Ticket,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    planned: &Planned,
    tried: &BTreeSet<Arc<str>>,
) -> Result<Prefilled, Failure> {
    super::recheck(context, ticket)?;
    let mut tried = tried.clone();
    for left in (0..=ALTERNATIVES).rev() {
        let placed = place(context, completion, dispatch, &tried).await.ok_or_else(no_endpoint)?;
        let ended = run(context, ticket, completion, dispatch, planned, &placed, left == 0).await;
        match ended {
            Err(Failure::Full { endpoint, .. }) if left > 0 => {
                context.control.done(&endpoint, dispatch.attempt());
                tried.insert(endpoint);
            }
            ended => return ended,
        }
    }
    Err(no_endpoint())
}

async fn place(
    context: &Context,
    completion: &Completion,
    dispatch: &Dispatch<'_>,
    tried: &BTreeSet<Arc<str>>,
) -> Option<Placed> {
    let beginning = &completion.prompt.as_bytes()[..completion.prompt.len().min(PREFIX)];
    let need = Need::Prefill(completion.prompt_tokens(), fingerprint(&completion.model, beginning));
    let placement = Placement {
        attempt: dispatch.attempt(),
        serves: completion.model.clone(),
        role: Role::Prefill,
        need,
        tried: tried.clone(),
    };
    context.control.place(placement).await
}

async fn run(
    context: &Context,
    ticket: &Ticket,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    planned: &Planned,
    placed: &Placed,
    may_be_late: bool,
) -> Result<Prefilled, Failure> {
    let mut work = work(context, ticket, completion, dispatch, &placed.endpoint);
    if !may_be_late {
        work.timeout = work.slack;
    }
    // A result is evicted in under a second: it must not be ready long before its place is.
    let delay = planned.ready_in.saturating_sub(placed.prefill);
    let order = Order::Prefill { work, prompt: completion.prompt.clone(), delay };
    dispatch.send(&placed.agent, &placed.endpoint, order)?;
    let limit = remaining_timeout(context, ticket) + LONGEST;
    let began = context.clock.now();
    loop {
        if let Event::Prefilled { source, kv, .. } = dispatch.next(&placed.endpoint, limit).await? {
            let took = context.clock.now().since(began).saturating_sub(delay);
            context.control.prefilled(completion.prompt_tokens(), took);
            context.control.done(&placed.endpoint, dispatch.attempt());
            return Ok(Prefilled { source, kv });
        }
    }
}
