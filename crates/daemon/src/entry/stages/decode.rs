//! Transfers a prefill result to its decode endpoint and passes the tokens on.

use std::time::Duration;

use tarragonhill_core::{
    Code, Refusal,
    message::{Event, FailureCause, Order},
};

use super::{
    Ticket,
    answer::{Output, TokenError},
    attempt::{Dispatch, Failure},
    is_cut,
    plan::{Planned, work},
    prefill::Prefilled,
};
use crate::entry::{context::Context, request::Completion};

/// Longest silence before the first token and between tokens. The agent gives up earlier; this
/// covers the agent itself.
const PROGRESS: Duration = Duration::from_secs(4);

/// Decodes to the end.
pub(super) async fn decode(
    context: &Context,
    ticket: &Ticket,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    planned: &Planned,
    prefilled: Prefilled,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    super::recheck(context, ticket)?;
    let endpoint = &planned.decode.endpoint;
    let order = Order::Decode {
        work: work(context, ticket, completion, dispatch, endpoint),
        source: prefilled.source,
        kv: prefilled.kv,
        from_index: output.next(),
        held: planned.held,
    };
    dispatch.send(&planned.decode.agent, endpoint, order)?;
    loop {
        match dispatch.next(endpoint, PROGRESS).await? {
            Event::Tokens { first_index, texts, .. } => {
                output.take(first_index, &texts).await.map_err(|error| failure(error, endpoint))?;
                if is_cut(context, ticket) {
                    return Err(Refusal::may_have_run(Code::BadKey, "the key was withdrawn").into());
                }
            }
            Event::Ended { total, .. } if total == output.next() => {
                dispatch.ended();
                return Ok(());
            }
            // The end came, but not all tokens did: never a shorter whole answer.
            Event::Ended { .. } => return Err(failure(TokenError::Gap, endpoint)),
            _ => {}
        }
    }
}

fn failure(error: TokenError, endpoint: &std::sync::Arc<str>) -> Failure {
    match error {
        TokenError::Gap => Failure::Broken { endpoint: endpoint.clone(), cause: FailureCause::Crashed },
        TokenError::CallerGone => Refusal::may_have_run(Code::Cancelled, "the caller left").into(),
    }
}
