//! Serves a completion: attempts until one ends with a whole answer or the budget is spent.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use futures_lite::FutureExt as _;
use tarragonhill_core::{Attempt, Code, Refusal, message::FailureCause, quarantine::fingerprint};
use tarragonhill_http::server::{Outbound, Watch};

use super::{
    Charge, Ticket, admit,
    answer::Output,
    attempt::{Dispatch, Failure},
    decode::decode,
    plan::plan,
    prefill::prefill,
};
use crate::entry::{context::Context, control, request::Completion};

/// Other endpoints tried when one has no room. Not a retry: nothing has run.
const ALTERNATIVES: usize = 2;
/// An endpoint that had no room is avoided for this long.
const AVOID: Duration = Duration::from_millis(50);

/// Serves a completion.
pub(crate) async fn complete(
    context: &Arc<Context>,
    ticket: Ticket,
    completion: Completion,
    watch: Watch,
) -> Result<Outbound, Refusal> {
    check_size(context, &completion)?;
    if completion.stream {
        return stream(context.clone(), ticket, completion, watch).await;
    }
    let output = Output::whole(context, ticket.request, ticket.arrived);
    let gone = async {
        watch.disconnected().await;
        Err(Some(caller_left()))
    };
    let outbound = serve(context, ticket, &completion, output).or(gone).await;
    match outbound {
        Ok(Some(outbound)) => Ok(outbound),
        Ok(None) | Err(None) => Err(Refusal::may_have_run(Code::Broken, "the answer was lost")),
        Err(Some(refusal)) => Err(refusal),
    }
}

/// Streams in a task of its own; completes with the head once there is a first token.
async fn stream(
    context: Arc<Context>,
    ticket: Ticket,
    completion: Completion,
    watch: Watch,
) -> Result<Outbound, Refusal> {
    let (head, heads) = async_channel::bounded(1);
    let (refusals, refused) = async_channel::bounded(1);
    let inside = context.enter();
    async_std::task::spawn(async move {
        let _inside = inside;
        let output = Output::stream(&context, ticket.request, ticket.arrived, head);
        let gone = async {
            watch.disconnected().await;
            Err(Some(caller_left()))
        };
        if let Err(Some(refusal)) = serve(&context, ticket, &completion, output).or(gone).await {
            let _ = refusals.try_send(refusal);
        }
    });
    let head = async { heads.recv().await.map_err(|_| None) };
    let refusal = async {
        match refused.recv().await {
            Ok(refusal) => Err(Some(refusal)),
            Err(_) => std::future::pending().await,
        }
    };
    match head.or(refusal).await {
        Ok(outbound) => Ok(outbound),
        Err(Some(refusal)) => Err(refusal),
        // The head's sender is dropped with the task, just before the refusal is sent.
        Err(None) => refused.recv().await.map_or_else(|_| Err(caller_left()), Err),
    }
}

fn caller_left() -> Refusal {
    Refusal::may_have_run(Code::Cancelled, "the caller left")
}

fn check_size(context: &Context, completion: &Completion) -> Result<(), Refusal> {
    let settings = context.current.get();
    let Some(most) = settings.context(&completion.model) else {
        let message = format!("no endpoint serves model {:?}", completion.model);
        return Err(Refusal::not_run(Code::UnknownModel, message));
    };
    let wanted = u64::from(completion.prompt_tokens()) + u64::from(completion.max_tokens);
    if wanted > u64::from(most) {
        let message = format!("prompt and max_tokens are {wanted} tokens together; the model takes {most}");
        return Err(Refusal::not_run(Code::PromptTooLong, message));
    }
    Ok(())
}

type Served = Result<Option<Outbound>, Option<Refusal>>;

async fn serve(
    context: &Arc<Context>,
    mut ticket: Ticket,
    completion: &Completion,
    mut output: Output<'_>,
) -> Served {
    let cost = u64::from(completion.prompt_tokens()) + u64::from(completion.max_tokens);
    let mark = fingerprint(&ticket.key.customer, completion.prompt.as_bytes());
    let admitted = match quarantined(context, &mut ticket, mark).await {
        Ok(()) => admit(context, &ticket, cost).await,
        Err(refusal) => Err(refusal),
    };
    let mut charge = match admitted {
        Ok(charge) => charge,
        Err(refusal) => return Err(output.break_off(refusal).await),
    };
    let ended = attempts(context, &mut ticket, completion, mark, &mut charge, &mut output).await;
    charge.settle(unused(cost, completion, &output, &ended));
    drop(charge);
    match ended {
        Ok(endpoint) => {
            note_answer(context, &ticket, &endpoint, output.next());
            if ticket.suspect {
                context.control.clear(&ticket.key.customer, mark);
            }
            output.finish().await.map_err(|_| Some(caller_left()))
        }
        Err(refusal) => Err(output.break_off(refusal).await),
    }
}

fn note_answer(context: &Context, ticket: &Ticket, endpoint: &Arc<str>, tokens: u32) {
    context.control.earn(&ticket.key.customer, endpoint);
    context.metrics.answered.with_label_values(&["completion"]).inc();
    let request = ticket.request.to_string();
    spdlog::info!("answered", kv: {
        request = request.as_str(), customer = &*ticket.key.customer, endpoint = &**endpoint, tokens
    });
}

/// What is left of the charge at the end: all of it for a request that did not run.
fn unused(cost: u64, completion: &Completion, output: &Output<'_>, ended: &Result<Arc<str>, Refusal>) -> u64 {
    if ended.as_ref().is_err_and(|refusal| refusal.not_run) {
        return cost;
    }
    cost.saturating_sub(u64::from(completion.prompt_tokens()) + u64::from(output.next()))
}

/// Refuses a request that has crashed too many endpoints, and marks one that was seen at a crash.
async fn quarantined(context: &Context, ticket: &mut Ticket, mark: u64) -> Result<(), Refusal> {
    let status = context.control.crash_status(&ticket.key.customer, mark, false).await;
    ticket.suspect = status.is_suspect();
    if status.quarantined.is_zero() {
        return Ok(());
    }
    let message = "this request has crashed endpoints and is refused for a while";
    Err(Refusal::not_run(Code::Quarantined, message).with_retry_after(status.quarantined))
}

/// What the attempts of one request have come to so far.
#[derive(Default)]
struct Tries {
    /// Attempts made.
    number: u32,
    /// Attempts that broke off.
    broken: u32,
    /// Endpoints that had no room.
    full: usize,
    /// Whether anything has run.
    ran: bool,
    /// Endpoints not to be asked again.
    tried: BTreeSet<Arc<str>>,
}

/// Tries until an attempt ends with a whole answer; returns the endpoint that finished it.
async fn attempts(
    context: &Arc<Context>,
    ticket: &mut Ticket,
    completion: &Completion,
    mark: u64,
    charge: &mut Charge<'_>,
    output: &mut Output<'_>,
) -> Result<Arc<str>, Refusal> {
    let mut tries = Tries::default();
    loop {
        tries.number += 1;
        let attempt = Attempt { request: ticket.request, number: tries.number };
        let mut dispatch = Dispatch::new(context, attempt);
        let ended = one(context, ticket, completion, &mut dispatch, &mut tries, charge, output).await;
        drop(dispatch);
        match ended {
            Ok(endpoint) => return Ok(endpoint),
            Err(Failure::Refused(refusal)) => {
                return Err(Refusal { not_run: refusal.not_run && !tries.ran, ..refusal });
            }
            Err(Failure::Full { endpoint, retry_after }) => {
                context.control.avoid(&endpoint, AVOID.max(retry_after.min(context.first_token)));
                tries.full += 1;
                let late = super::plan::remaining_timeout(context, ticket).is_zero();
                if tries.full > ALTERNATIVES || late {
                    return Err(overloaded(tries.ran, retry_after));
                }
                tries.tried.insert(endpoint);
            }
            Err(Failure::Broken { endpoint, cause }) => {
                tries.ran = true;
                tries.broken += 1;
                may_retry(context, ticket, mark, &endpoint, tries.broken, cause).await?;
                context.metrics.retries.inc();
                ticket.waiting = context.clock.now();
                tries.tried.insert(endpoint);
            }
        }
    }
}

/// Whether a request that broke off may be tried again: it must not have crashed too many
/// endpoints, and the budgets of its customer and the endpoint must allow it.
async fn may_retry(
    context: &Arc<Context>,
    ticket: &mut Ticket,
    mark: u64,
    endpoint: &Arc<str>,
    number: u32,
    cause: FailureCause,
) -> Result<(), Refusal> {
    let customer = ticket.key.customer.clone();
    if cause == FailureCause::Crashed {
        ticket.suspect = true;
        if !context.report_crash(&customer, mark).await.quarantined.is_zero() {
            return Err(broken(cause));
        }
    }
    let failure = control::Failure { customer, endpoint: endpoint.clone(), number, cause };
    match context.control.retry(failure).await {
        true => Ok(()),
        false => Err(broken(cause)),
    }
}

/// One attempt through all costly stages; returns the endpoint that finished it.
async fn one(
    context: &Context,
    ticket: &Ticket,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    tries: &mut Tries,
    charge: &mut Charge<'_>,
    output: &mut Output<'_>,
) -> Result<Arc<str>, Failure> {
    let planned = plan(context, ticket, completion, dispatch, &tries.tried).await?;
    charge.begin();
    let prefilled = prefill(context, ticket, completion, dispatch, &planned, &tries.tried).await?;
    tries.ran = true;
    decode(context, ticket, completion, dispatch, &planned, prefilled, output).await?;
    Ok(planned.decode.endpoint)
}

fn overloaded(ran: bool, retry_after: Duration) -> Refusal {
    let message = "no endpoint can meet the target for the first token";
    let refusal = Refusal { not_run: !ran, ..Refusal::may_have_run(Code::Overloaded, message) };
    refusal.with_retry_after(retry_after.max(Duration::from_millis(200)))
}

fn broken(cause: FailureCause) -> Refusal {
    Refusal::may_have_run(Code::Broken, format!("the work broke off ({cause}) and could not be resumed"))
}
