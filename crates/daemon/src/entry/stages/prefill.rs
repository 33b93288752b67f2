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
    plan::{Planned, no_endpoint, patience, work},
};
use crate::entry::{caller::Completion, context::Context, control::Placement};

/// Longest prefill once its turn has come.
const LONGEST: Duration = Duration::from_secs(30);
/// Bytes of a prompt's beginning that engines are likely to have cached.
const PREFIX: usize = 2_048;

/// A prefill result.
#[derive(Clone, Debug)]
pub(super) struct Prefilled {
    pub(super) source: Arc<str>,
    pub(super) kv: Arc<str>,
}

/// Chooses a prefill endpoint and runs the prefill there.
pub(super) async fn prefill(
    context: &Context,
    ticket: &Ticket,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    planned: &Planned,
    tried: &BTreeSet<Arc<str>>,
) -> Result<Prefilled, Failure> {
    super::recheck(context, ticket)?;
    let beginning = &completion.prompt.as_bytes()[..completion.prompt.len().min(PREFIX)];
    let need = Need::Prefill(completion.prompt_tokens(), fingerprint(&completion.model, beginning));
    let placement = Placement {
        attempt: dispatch.attempt(),
        serves: completion.model.clone(),
        role: Role::Prefill,
        need,
        tried: tried.clone(),
    };
    let placed = context.control.place(placement).await.ok_or_else(no_endpoint)?;
    let work = work(context, ticket, completion, dispatch, &placed.endpoint);
    // A result is evicted in under a second: it must not be ready long before its place is.
    let wait = planned.ready_in.saturating_sub(placed.prefill);
    let order = Order::Prefill { work, prompt: completion.prompt.clone(), wait };
    dispatch.send(&placed.agent, &placed.endpoint, order)?;
    let limit = patience(context, ticket) + LONGEST;
    let began = context.clock.now();
    loop {
        if let Event::Prefilled { source, kv, .. } = dispatch.next(&placed.endpoint, limit).await? {
            let took = context.clock.now().since(began).saturating_sub(wait);
            context.control.prefilled(completion.prompt_tokens(), took);
            context.control.done(&placed.endpoint, dispatch.attempt());
            return Ok(Prefilled { source, kv });
        }
    }
}
