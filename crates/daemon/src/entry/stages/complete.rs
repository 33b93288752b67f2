//! Serves a completion: attempts until one ends with a whole answer or the budget is spent.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use futures_lite::FutureExt as _;
use tarragonhill_core::{Attempt, Code, Refusal, message::FailureCause, quarantine::fingerprint};
use tarragonhill_http::server::{Outbound, Watch};

use super::{
    Charge, RequestInfo, admit,
    answer::Output,
    attempt::{Dispatch, Failure},
    decode::decode,
    plan::plan,
    prefill::prefill,
};
use crate::entry::{context::Context, control, request::Completion};

/// Other endpoints tried when one has no room. Not a retry: nothing has run.
const MAX_ALTERNATIVES: usize = 2;
/// An endpoint that had no room is avoided for this long.
const MIN_AVOID_TIME: Duration = Duration::from_millis(50);

/// Serves a completion.
pub(crate) async fn complete(
    context: &Arc<Context>,
    info: RequestInfo,
    completion: Completion,
    watch: Watch,
) -> Result<Outbound, Refusal> {
    check_size(context, &completion)?;
    if completion.stream {
        return stream(context.clone(), info, completion, watch).await;
    }
    let output = Output::buffered(context, info.request, info.arrived);
    let disconnected = async {
        watch.gone().await;
        Err(Some(caller_left()))
    };
    let outbound = serve(context, info, &completion, output).or(disconnected).await;
    match outbound {
        Ok(Some(outbound)) => Ok(outbound),
        Ok(None) | Err(None) => Err(Refusal::may_have_run(Code::Broken, "the answer was lost")),
        Err(Some(refusal)) => Err(refusal),
    }
}

/// Streams in a task of its own; completes with the head once there is a first token.
async fn stream(
    context: Arc<Context>,
    info: RequestInfo,
    completion: Completion,
    watch: Watch,
) -> Result<Outbound, Refusal> {
    let (head_sender, head_receiver) = async_channel::bounded(1);
    let (refusal_sender, refusal_receiver) = async_channel::bounded(1);
    let guard = context.track_running();
    async_std::task::spawn(async move {
        let _guard = guard;
        let output = Output::stream(&context, info.request, info.arrived, head_sender);
        let disconnected = async {
            watch.gone().await;
            Err(Some(caller_left()))
        };
        if let Err(Some(refusal)) = serve(&context, info, &completion, output).or(disconnected).await {
            let _ = refusal_sender.try_send(refusal);
        }
    });
    let head = async { head_receiver.recv().await.map_err(|_| None) };
    let refusal = async {
        match refusal_receiver.recv().await {
            Ok(refusal) => Err(Some(refusal)),
            Err(_) => std::future::pending().await,
        }
    };
    match head.or(refusal).await {
        Ok(outbound) => Ok(outbound),
        Err(Some(refusal)) => Err(refusal),
        // The head's sender is dropped with the task, just before the refusal is sent.
        Err(None) => refusal_receiver.recv().await.map_or_else(|_| Err(caller_left()), Err),
    }
}

fn caller_left() -> Refusal {
    Refusal::may_have_run(Code::Cancelled, "the caller left")
}

fn check_size(context: &Context, completion: &Completion) -> Result<(), Refusal> {
    let settings = context.current.get();
    let Some(context_length) = settings.context(&completion.model) else {
        let message = format!("no endpoint serves model {:?}", completion.model);
        return Err(Refusal::not_run(Code::UnknownModel, message));
    };
    let wanted = u64::from(completion.prompt_tokens()) + u64::from(completion.max_tokens);
    if wanted > u64::from(context_length) {
        let message =
            format!("prompt and max_tokens are {wanted} tokens together; the model takes {context_length}");
        return Err(Refusal::not_run(Code::PromptTooLong, message));
    }
    Ok(())
}

type ServeResult = Result<Option<Outbound>, Option<Refusal>>;

async fn serve(
    context: &Arc<Context>,
    mut info: RequestInfo,
    completion: &Completion,
    mut output: Output<'_>,
) -> ServeResult {
    let cost = u64::from(completion.prompt_tokens()) + u64::from(completion.max_tokens);
    let fingerprint = fingerprint(&info.key.customer, completion.prompt.as_bytes());
    let admitted = match check_quarantine(context, &mut info, fingerprint).await {
        Ok(()) => admit(context, &info, cost).await,
        Err(refusal) => Err(refusal),
    };
    let mut charge = match admitted {
        Ok(charge) => charge,
        Err(refusal) => return Err(output.abort(refusal).await),
    };
    let ended = run_attempts(context, &mut info, completion, fingerprint, &mut charge, &mut output).await;
    charge.set_unused(unused(cost, completion, &output, &ended));
    drop(charge);
    match ended {
        Ok(endpoint) => {
            record_answer(context, &info, &endpoint, output.next_index());
            if info.suspect {
                context.control.clear_suspect(&info.key.customer, fingerprint);
            }
            output.finish().await.map_err(|_| Some(caller_left()))
        }
        Err(refusal) => Err(output.abort(refusal).await),
    }
}

fn record_answer(context: &Context, info: &RequestInfo, endpoint: &Arc<str>, tokens: u32) {
    context.control.record_success(&info.key.customer, endpoint);
    context.metrics.answered.with_label_values(&["completion"]).inc();
    let request = info.request.to_string();
    spdlog::info!("answered", kv: {
        request = request.as_str(), customer = &*info.key.customer, endpoint = &**endpoint, tokens
    });
}

/// What is left of the charge at the end: all of it for a request that did not run.
fn unused(cost: u64, completion: &Completion, output: &Output<'_>, ended: &Result<Arc<str>, Refusal>) -> u64 {
    if ended.as_ref().is_err_and(|refusal| refusal.not_run) {
        return cost;
    }
    cost.saturating_sub(u64::from(completion.prompt_tokens()) + u64::from(output.next_index()))
}

/// Refuses a request that has crashed too many endpoints, and marks one that was seen at a crash.
async fn check_quarantine(
    context: &Context,
    info: &mut RequestInfo,
    fingerprint: u64,
) -> Result<(), Refusal> {
    let status = context.control.crash_status(&info.key.customer, fingerprint, false).await;
    info.suspect = status.is_suspect();
    if status.quarantined.is_zero() {
        return Ok(());
    }
    let message = "this request has crashed endpoints and is refused for a while";
    Err(Refusal::not_run(Code::Quarantined, message).with_retry_after(status.quarantined))
}

/// What the attempts of one request have come to so far.
#[derive(Default)]
struct AttemptHistory {
    /// Attempts made.
    attempts: u32,
    /// Attempts that broke off.
    failures: u32,
    /// Endpoints that had no room.
    overloaded: usize,
    /// Whether anything has run.
    has_run: bool,
    /// Endpoints not to be asked again.
    tried: BTreeSet<Arc<str>>,
}

/// Tries until an attempt ends with a whole answer; returns the endpoint that finished it.
async fn run_attempts(
    context: &Arc<Context>,
    info: &mut RequestInfo,
    completion: &Completion,
    fingerprint: u64,
    charge: &mut Charge<'_>,
    output: &mut Output<'_>,
) -> Result<Arc<str>, Refusal> {
    let mut history = AttemptHistory::default();
    loop {
        history.attempts += 1;
        let attempt = Attempt { request: info.request, number: history.attempts };
        let mut dispatch = Dispatch::new(context, attempt);
        let ended = run_attempt(context, info, completion, &mut dispatch, &mut history, charge, output).await;
        drop(dispatch);
        match ended {
            Ok(endpoint) => return Ok(endpoint),
            Err(Failure::Refused(refusal)) => {
                return Err(Refusal { not_run: refusal.not_run && !history.has_run, ..refusal });
            }
            Err(Failure::Overloaded { endpoint, retry_after }) => {
                context.control.avoid(&endpoint, MIN_AVOID_TIME.max(retry_after.min(context.first_token)));
                history.overloaded += 1;
                let is_late = super::plan::remaining_timeout(context, info).is_zero();
                if history.overloaded > MAX_ALTERNATIVES || is_late {
                    return Err(overloaded(history.has_run, retry_after));
                }
                history.tried.insert(endpoint);
            }
            Err(Failure::Broken { endpoint, cause }) => {
                history.has_run = true;
                history.failures += 1;
                may_retry(context, info, fingerprint, &endpoint, history.failures, cause).await?;
                context.metrics.retries.inc();
                info.waiting_since = context.clock.now();
                history.tried.insert(endpoint);
            }
        }
    }
}

/// Whether a request that broke off may be tried again: it must not have crashed too many
/// endpoints, and the budgets of its customer and the endpoint must allow it.
async fn may_retry(
    context: &Arc<Context>,
    info: &mut RequestInfo,
    fingerprint: u64,
    endpoint: &Arc<str>,
    number: u32,
    cause: FailureCause,
) -> Result<(), Refusal> {
    let customer = info.key.customer.clone();
    if cause == FailureCause::Crashed {
        info.suspect = true;
        if !context.report_crash(&customer, fingerprint).await.quarantined.is_zero() {
            return Err(broken(cause));
        }
    }
    let request = control::RetryRequest { customer, endpoint: endpoint.clone(), number, cause };
    match context.control.try_spend_retry(request).await {
        true => Ok(()),
        false => Err(broken(cause)),
    }
}

/// One attempt through all costly stages; returns the endpoint that finished it.
async fn run_attempt(
    context: &Context,
    info: &RequestInfo,
    completion: &Completion,
    dispatch: &mut Dispatch<'_>,
    history: &mut AttemptHistory,
    charge: &mut Charge<'_>,
    output: &mut Output<'_>,
) -> Result<Arc<str>, Failure> {
    let decode_plan = plan(context, info, completion, dispatch, &history.tried).await?;
    charge.mark_used();
    let prefill_result = prefill(context, info, completion, dispatch, &decode_plan, &history.tried).await?;
    history.has_run = true;
    decode(context, info, completion, dispatch, &decode_plan, prefill_result, output).await?;
    Ok(decode_plan.decode.endpoint)
}

fn overloaded(has_run: bool, retry_after: Duration) -> Refusal {
    let message = "no endpoint can meet the target for the first token";
    let refusal = Refusal { not_run: !has_run, ..Refusal::may_have_run(Code::Overloaded, message) };
    refusal.with_retry_after(retry_after.max(Duration::from_millis(200)))
}

fn broken(cause: FailureCause) -> Refusal {
    Refusal::may_have_run(Code::Broken, format!("the work broke off ({cause}) and could not be resumed"))
}
