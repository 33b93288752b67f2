//! Prefill stage: runs the prefill after decode memory has been planned.

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

/// Maximum duration of a prefill after it has left the queue.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(30);
/// Further endpoints tried after an endpoint refused the prefill as overloaded.
const MAX_ALTERNATIVES: usize = 2;
/// Length of the prompt prefix by which requests are routed to an endpoint that has it cached.
const AFFINITY_PREFIX_BYTES: usize = 2_048;

/// Location of the KV cache that a prefill produced.
#[derive(Clone, Debug)]
pub(super) struct PrefillResult {
    /// Address of the prefill engine.
    pub(super) source: Arc<str>,
    /// Identifies the KV cache on that engine.
    pub(super) kv: Arc<str>,
}

/// Chooses a prefill endpoint and runs the prefill there. If the endpoint refuses because it cannot
/// meet the first-token target, tries others; only the last one may run the prefill late.
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
    // Engines evict prefill results early, so the result must not be ready long before the decode
    // memory is free.
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
