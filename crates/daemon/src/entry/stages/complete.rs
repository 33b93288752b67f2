//! Serves completions: admits a request, then runs attempts until one completes or no retry is
//! allowed.

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

/// Further endpoints tried after an endpoint refused the work as overloaded. These do not count as
/// retries, because the refused work was not started.
const MAX_ALTERNATIVES: usize = 2;
/// Minimum time for which an overloaded endpoint is avoided.
const MIN_AVOID_TIME: Duration = Duration::from_millis(50);

/// Serves a completion request.
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
        watch.disconnected().await;
        Err(Some(caller_disconnected()))
    };
    let outbound = serve(context, info, &completion, output).or(disconnected).await;
    match outbound {
        Ok(Some(outbound)) => Ok(outbound),
        Ok(None) | Err(None) => Err(Refusal::may_have_run(Code::Broken, "the answer was lost")),
        Err(Some(refusal)) => Err(refusal),
    }
}

/// Runs the request in its own task. Completes with the response head when the first token arrives.
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
            watch.disconnected().await;
            Err(Some(caller_disconnected()))
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
        // The sender of the head is dropped just before the refusal is sent.
        Err(None) => refusal_receiver.recv().await.map_or_else(|_| Err(caller_disconnected()), Err),
    }
}

fn caller_disconnected() -> Refusal {
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

/// Response or refusal to return to the caller; `None` if it was streamed already.
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
            output.finish().await.map_err(|_| Some(caller_disconnected()))
        }
        Err(refusal) => Err(output.abort(refusal).await),
    }
}

fn record_answer(context: &Context, info: &RequestInfo, endpoint: &Arc<str>, tokens: u32) {
    context.control.record_success(&info.key.customer, endpoint);
    context.metrics.answered.with_label_values(&["completion"]).inc();
    let request = info.request.to_string();
    spdlog::info!("completion answered", kv: {
        request = request.as_str(), customer = &*info.key.customer, endpoint = &**endpoint, tokens
    });
}

/// Returns the part of the charge that was not used; all of it if the request did not run.
fn unused(cost: u64, completion: &Completion, output: &Output<'_>, ended: &Result<Arc<str>, Refusal>) -> u64 {
    if ended.as_ref().is_err_and(|refusal| refusal.not_run) {
        return cost;
    }
    cost.saturating_sub(u64::from(completion.prompt_tokens()) + u64::from(output.next_index()))
}

/// Refuses a quarantined request, and marks a request as suspect if it was running when an endpoint
/// crashed.
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

/// Results of the attempts of one request so far.
#[derive(Default)]
struct AttemptHistory {
    attempts: u32,
    /// Number of attempts that failed, without refusals.
    failures: u32,
    /// Number of attempts refused as overloaded.
    overloaded: usize,
    /// Whether any work of the request may have run.
    has_run: bool,
    /// Endpoints to avoid in further attempts.
    tried: BTreeSet<Arc<str>>,
}

/// Runs attempts until one completes; returns the endpoint that decoded it.
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
            Err(Failure::Interrupted { endpoint, cause }) => {
                history.has_run = true;
                history.failures += 1;
                check_retry(context, info, fingerprint, &endpoint, history.failures, cause).await?;
                context.metrics.retries.inc();
                info.waiting_since = context.clock.now();
                history.tried.insert(endpoint);
            }
        }
    }
}

/// Checks whether a failed request may be retried, and if so, deducts the retry from the budgets.
/// Returns an error if the request has become quarantined or a budget is exhausted.
async fn check_retry(
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
            return Err(interrupted(cause));
        }
    }
    let request = control::RetryRequest { customer, endpoint: endpoint.clone(), number, cause };
    match context.control.try_spend_retry(request).await {
        true => Ok(()),
        false => Err(interrupted(cause)),
    }
}

/// Runs one attempt: plan, prefill and decode. Returns the endpoint that decoded it.
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

fn interrupted(cause: FailureCause) -> Refusal {
    Refusal::may_have_run(Code::Broken, format!("the work broke off ({cause}) and could not be resumed"))
}
