//! Runs the prefill of a request whose decode memory is promised.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tarragonhill_core::{
    message::{Event, Order},
    placement::Need,
    quarantine::fingerprint,
    settings::Role,
};

use super::{
    RequestInfo,
    attempt::{Dispatch, Failure},
    plan::{DecodePlan, no_endpoint, remaining_timeout, work},
};
use crate::entry::{
    context::Context,
    control::{PlacementRequest, Target},
    request::Completion,
};

/// Longest prefill once its turn has come.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(30);
/// Other endpoints asked before one may do it late.
const MAX_ALTERNATIVES: usize = 2;
/// Bytes of a prompt's beginning that engines are likely to have cached.
const AFFINITY_PREFIX_BYTES: usize = 2_048;

/// A prefill result.
#[derive(Clone, Debug)]
pub(super) struct PrefillResult {
    pub(super) source: Arc<str>,
    pub(super) kv: Arc<str>,
}

/// Chooses a prefill endpoint and runs the prefill there. An endpoint that cannot do it in time for
/// the first-token target is passed over as long as there is another to ask; the last one asked
/// may do it late.
pub(super) async fn prefill(
    context: &Context,
    info: &RequestInfo,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    decode_plan: &DecodePlan,
    tried: &BTreeSet<Arc<str>>,
) -> Result<PrefillResult, Failure> {
    super::recheck(context, info)?;
    let mut tried = tried.clone();
    for remaining in (0..=MAX_ALTERNATIVES).rev() {
        let target = choose_target(context, completion, dispatch, &tried).await.ok_or_else(no_endpoint)?;
        let result = run(context, info, completion, dispatch, decode_plan, &target, remaining == 0).await;
        match result {
            Err(Failure::Overloaded { endpoint, .. }) if remaining > 0 => {
                context.control.remove_sent(&endpoint, dispatch.attempt());
                tried.insert(endpoint);
            }
            result => return result,
        }
    }
    Err(no_endpoint())
}

async fn choose_target(
    context: &Context,
    completion: &Completion,
    dispatch: &Dispatch<'_>,
    tried: &BTreeSet<Arc<str>>,
) -> Option<Target> {
    let prefix = &completion.prompt.as_bytes()[..completion.prompt.len().min(AFFINITY_PREFIX_BYTES)];
    let need = Need::Prefill(completion.prompt_tokens(), fingerprint(&completion.model, prefix));
    let request = PlacementRequest {
        attempt: dispatch.attempt(),
        serves: completion.model.clone(),
        role: Role::Prefill,
        need,
        tried: tried.clone(),
    };
    context.control.place(request).await
}

async fn run(
    context: &Context,
    info: &RequestInfo,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    decode_plan: &DecodePlan,
    target: &Target,
    may_be_late: bool,
) -> Result<PrefillResult, Failure> {
    let mut work = work(context, info, completion, dispatch, &target.endpoint);
    if !may_be_late {
        work.timeout = work.slack;
    }
    // A result is evicted in under a second: it must not be ready long before its place is.
    let delay = decode_plan.ready_in.saturating_sub(target.prefill_time);
    let order = Order::Prefill { work, prompt: completion.prompt.clone(), delay };
    dispatch.send(&target.agent, &target.endpoint, order)?;
    let limit = remaining_timeout(context, info) + PREFILL_TIMEOUT;
    let began = context.clock.now();
    loop {
        if let Event::Prefilled { source, kv, .. } = dispatch.next_event(&target.endpoint, limit).await? {
            let took = context.clock.now().since(began).saturating_sub(delay);
            context.control.record_prefill(completion.prompt_tokens(), took);
            context.control.remove_sent(&target.endpoint, dispatch.attempt());
            return Ok(PrefillResult { source, kv });
        }
    }
}
