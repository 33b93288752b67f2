//! Plan stage: chooses a decode endpoint and reserves its memory before the prefill starts.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tarragonhill_core::{
    Code, Refusal,
    message::{Event, Order, Work},
    placement::Need,
    settings::{Role, pieces},
};

use super::{
    RequestInfo,
    attempt::{Dispatch, Failure},
};
use crate::entry::{
    context::Context,
    control::{PlacementRequest, Target},
    request::Completion,
};

/// Extra time that an agent has to answer a hold after the deadline before it counts as stalled.
const HOLD_REPLY_GRACE: Duration = Duration::from_millis(500);
/// Minimum timeout of suspect requests. They need more time because each endpoint runs only one of
/// them at a time.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(30);
/// Slack and timeout under policies without holds, which do not refuse work early.
const BASELINE_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of the plan stage.
#[derive(Clone, Debug)]
pub(super) struct DecodePlan {
    pub(super) decode: Target,
    /// Time until the decode memory is free.
    pub(super) ready_in: Duration,
    /// Whether the decode memory is held for the attempt.
    pub(super) held: bool,
}

/// Returns the work description for orders of any stage.
pub(super) fn work(
    context: &Context,
    info: &RequestInfo,
    completion: &Completion,
    dispatch: &Dispatch<'_>,
    endpoint: &Arc<str>,
) -> Work {
    Work {
        attempt: dispatch.attempt(),
        endpoint: endpoint.clone(),
        customer: info.key.customer.clone(),
        key: info.key.id.clone(),
        prompt_tokens: completion.prompt_tokens(),
        max_tokens: completion.max_tokens,
        slack: slack(context, info),
        timeout: remaining_timeout(context, info),
        suspect: info.suspect,
    }
}

/// Returns the time left until the first token is due.
pub(super) fn slack(context: &Context, info: &RequestInfo) -> Duration {
    if !context.policy.uses_holds() {
        return BASELINE_TIMEOUT;
    }
    context.first_token.saturating_sub(context.clock.now().since(info.waiting_since))
}

/// Returns the time left until the request is refused if it has not started.
pub(super) fn remaining_timeout(context: &Context, info: &RequestInfo) -> Duration {
    if !context.policy.uses_holds() {
        return BASELINE_TIMEOUT;
    }
    let timeout = if info.suspect {
        context.first_token_timeout.max(SUSPECT_TIMEOUT)
    } else {
        context.first_token_timeout
    };
    timeout.saturating_sub(context.clock.now().since(info.waiting_since))
}

/// Chooses a decode endpoint and, if the policy uses holds, requests a hold on its memory.
pub(super) async fn plan(
    context: &Context,
    info: &RequestInfo,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    tried: &BTreeSet<Arc<str>>,
) -> Result<DecodePlan, Failure> {
    super::recheck(context, info)?;
    let need = Need::Decode(pieces(completion.prompt_tokens() + completion.max_tokens));
    let request = PlacementRequest {
        attempt: dispatch.attempt(),
        serves: completion.model.clone(),
        role: Role::Decode,
        need,
        tried: tried.clone(),
    };
    let target = context.control.place(request).await.ok_or_else(no_endpoint)?;
    if !context.policy.uses_holds() {
        return Ok(DecodePlan { decode: target, ready_in: Duration::ZERO, held: false });
    }
    let work = work(context, info, completion, dispatch, &target.endpoint);
    let limit = work.timeout + HOLD_REPLY_GRACE;
    let order = Order::Hold { work, ahead: context.policy.promises_ahead() };
    dispatch.send(&target.agent, &target.endpoint, order)?;
    loop {
        if let Event::Held { ready_in, .. } = dispatch.next_event(&target.endpoint, limit).await? {
            return Ok(DecodePlan { decode: target, ready_in, held: true });
        }
    }
}

/// Returns the failure for work that no endpoint can take.
pub(super) fn no_endpoint() -> Failure {
    let refusal = Refusal::not_run(Code::NoEndpoint, "no endpoint can take this work now");
    Failure::Refused(refusal.with_retry_after(Duration::from_secs(1)))
}
