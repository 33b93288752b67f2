//! Decode stage: transfers the prefill result to the decode endpoint and passes on the tokens.

use std::time::Duration;

use tarragonhill_core::{
    Code, Refusal,
    message::{Event, FailureCause, Order},
};

use super::{
    RequestInfo,
    answer::{Output, TokenError},
    attempt::{Dispatch, Failure},
    is_cut,
    plan::{DecodePlan, work},
    prefill::PrefillResult,
};
use crate::entry::{context::Context, request::Completion};

/// Maximum wait for the first token and between tokens. Agents detect a stalled engine earlier; this
/// timeout detects a stalled agent.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(4);

/// Runs the decode until the answer is complete.
pub(super) async fn decode(
    context: &Context,
    info: &RequestInfo,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    decode_plan: &DecodePlan,
    prefill_result: PrefillResult,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    super::recheck(context, info)?;
    let endpoint = &decode_plan.decode.endpoint;
    let order = Order::Decode {
        work: work(context, info, completion, dispatch, endpoint),
        source: prefill_result.source,
        kv: prefill_result.kv,
        from_index: output.next_index(),
        held: decode_plan.held,
    };
    dispatch.send(&decode_plan.decode.agent, endpoint, order)?;
    loop {
        match dispatch.next_event(endpoint, PROGRESS_TIMEOUT).await? {
            Event::Tokens { first_index, texts, .. } => {
                output
                    .accept_tokens(first_index, &texts)
                    .await
                    .map_err(|error| token_failure(error, endpoint))?;
                if is_cut(context, info) {
                    return Err(Refusal::may_have_run(Code::BadKey, "the key was withdrawn").into());
                }
            }
            Event::Ended { total, .. } if total == output.next_index() => {
                dispatch.mark_ended();
                return Ok(());
            }
            // Tokens are missing. The answer must not be presented as complete.
            Event::Ended { .. } => return Err(token_failure(TokenError::Gap, endpoint)),
            _ => {}
        }
    }
}

fn token_failure(error: TokenError, endpoint: &std::sync::Arc<str>) -> Failure {
    match error {
        TokenError::Gap => Failure::Interrupted { endpoint: endpoint.clone(), cause: FailureCause::Crashed },
        TokenError::CallerDisconnected => Refusal::may_have_run(Code::Cancelled, "the caller left").into(),
    }
}
