//! Requests whose responses are streams of events: completions.
//!
//! On split services, a completion takes three steps: memory is reserved at a decode endpoint, the prompt is
//! prefilled at a prefill endpoint, and the decode starts from the prefill result. The reservation comes
//! first, so that no prefill is wasted for lack of memory.

mod events;
mod placement;
mod prefill;
mod relay;
mod resource;

use std::{pin::pin, sync::Arc, time::Duration};

use futures_lite::FutureExt as _;
use tarragonhill_core::{
    Refusal, Time,
    gateway::{
        directory::Endpoint, forecast::Observation, health::Outcome, ledger::Plan,
        state::ENDPOINT_RETRY_AFTER, suspect::Run,
    },
    refusal::Code,
};

use self::{
    placement::{Placement, place},
    prefill::run_prefill,
    relay::{STALL_TIMEOUT_SLACK, relay},
    resource::Guard,
};
use crate::{
    caller::ResponseWriter,
    context::{Context, Inbound, RETRY_ELSEWHERE, ends_too_late, logged},
    control::Permit,
    edge::{Decode, Task},
    exchange::{
        Answer, Bound, Exchange, Failure, MISDIRECTED, OVER_BUDGET, is_not_run_status, not_run_outcome,
    },
    shutdown::Phase,
};

/// Maximum times that a request is sent, including retries.
const MAX_SENDS: u32 = 4;
/// Longest time for which the result of a prefill is used by another decode than the one that it was made for; endpoints
/// evict results soon.
const MAX_RESULT_AGE: Duration = Duration::from_millis(400);
/// Interval at which a queued stream checks whether it can still end before the gateway does.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Progress of a request over its attempts.
#[derive(Clone)]
struct Progress {
    /// Id of the last event that the caller received.
    last_event: Option<Arc<str>>,
    /// Software version that generated the events that the caller received; `None` before the first.
    software_version: Option<Arc<str>>,
    /// Since when the caller waits for an event: the reception of its request, or the last event.
    waiting_since: Time,
    /// Number of events that the caller received.
    events: u64,
    /// Endpoints where an attempt failed.
    avoid: Vec<Arc<str>>,
    /// Number of endpoints that may have run the request.
    runs: u32,
    /// Number of times that the request was sent.
    sends: u32,
    /// Number of events that the current attempt has brought.
    attempt_events: u64,
}

impl Progress {
    fn new(inbound: &Inbound) -> Self {
        Self {
            last_event: None,
            software_version: None,
            waiting_since: inbound.received,
            events: 0,
            avoid: Vec::new(),
            runs: 0,
            sends: 0,
            attempt_events: 0,
        }
    }

    /// Returns how far the current attempt has come.
    fn run(&self) -> Run {
        if self.attempt_events > 1 { Run::Generating } else { Run::Starting }
    }

    /// Returns whether the request may be retried if its current attempt, which may have run, fails.
    fn may_retry_after_failure(&self, inbound: &Inbound) -> bool {
        self.sends < MAX_SENDS && inbound.may_retry(self.runs + 1)
    }
}

/// An endpoint's response whose head has been read.
struct Upstream<'a> {
    exchange: Exchange<'a>,
    permit: Permit,
    /// When the request was sent to the endpoint.
    sent: Time,
    start: Start,
}

/// How an attempt starts, which determines the kind of observation that its first event gives.
#[derive(Clone, Copy)]
enum Start {
    /// From a prefill result.
    FromPrefill,
    /// With a prefill at the decode endpoint.
    WithPrefill,
    /// By resuming a stream or as a whole request; gives no observation.
    Other,
}

impl Start {
    fn of(task: &Task<'_>) -> Self {
        match task {
            Task::Decode(Decode { last_event: Some(_), .. }) | Task::Prefill | Task::Whole => Self::Other,
            Task::Decode(Decode { source: Some(_), .. }) => Self::FromPrefill,
            Task::Decode(_) => Self::WithPrefill,
        }
    }

    /// Returns the observation for a first event that came after `took`.
    fn observation(self, prompt: u64, took: Duration) -> Option<Observation> {
        match self {
            Self::FromPrefill => Some(Observation::FirstEvent { prompt, took }),
            Self::WithPrefill => Some(Observation::LocalPrefill { prompt, took }),
            Self::Other => None,
        }
    }
}

/// A prefilled prompt.
struct Prefilled {
    result: Guard,
    at: Time,
}

/// Why an attempt ended before its response began.
enum Abort {
    /// Nothing was sent to the endpoint. The prompt may have been prefilled elsewhere.
    NotSent { reason: String, prefilled: Option<Prefilled> },
    /// Nothing was sent to the endpoint, and the retry budget is used up.
    OverBudget,
    /// The request has not run.
    NotRun(String),
    /// The endpoint was not the intended one, so that the request has not run. The prompt may have been prefilled
    /// elsewhere.
    Misdirected { reason: String, prefilled: Option<Prefilled> },
    /// The request has not run and would not end before the gateway does.
    EndsTooLate,
    /// The request may have run.
    MayHaveRun(String),
    /// The endpoint ran the request and responded with an error.
    ErrorResponse(Answer),
}

/// Why a stream stopped before its end.
enum Interruption {
    /// Writing to the caller failed.
    CallerDisconnected(std::io::Error),
    /// The endpoint's response failed.
    EndpointFailed(String),
    /// The endpoint's response stalled, and the stream can be resumed at another endpoint.
    Stalled(Placement),
}

/// Serves a request. Returns a refusal if the caller has not received a response.
pub(crate) async fn serve(
    context: &Arc<Context>,
    inbound: &Inbound,
    writer: &mut ResponseWriter,
) -> Result<(), Refusal> {
    let mut progress = Progress::new(inbound);
    progress.software_version = resumed_version(context, inbound).await?;
    let mut replacement = None;
    let mut prefilled: Option<Prefilled> = None;
    loop {
        if let Some(refusal) = inbound.hold_off(context) {
            return hold_off(context, inbound, writer, refusal);
        }
        progress.attempt_events = 0;
        let placement = match replacement.take() {
            Some(placement) => placement,
            None => match writer.while_writing(pin!(place_in_time(context, inbound, &progress))).await {
                Ok(placed) => placed?,
                Err(error) => return disconnected(inbound, &error),
            },
        };
        progress.sends += 1;
        let endpoint = placement.endpoint().clone();
        let started = start(context, inbound, &progress, placement, prefilled.take(), &endpoint);
        let started = match writer.while_writing(pin!(started)).await {
            Ok(started) => started,
            Err(error) => return disconnected(inbound, &error),
        };
        let reason = match started {
            Ok(upstream) => match relay(context, inbound, upstream, writer, &mut progress).await {
                Ok(()) => return Ok(()),
                Err(Interruption::CallerDisconnected(error)) => return disconnected(inbound, &error),
                Err(Interruption::EndpointFailed(reason)) => {
                    fail_attempt(context, inbound, writer, &mut progress, &endpoint, reason)?
                }
                Err(Interruption::Stalled(placement)) => {
                    replacement = Some(placement);
                    let reason = format!("{}: response stalled", endpoint.id);
                    fail_attempt(context, inbound, writer, &mut progress, &endpoint, reason)?
                }
            },
            Err(Abort::ErrorResponse(Answer { head, body, framing, .. })) if writer.is_unsent() => {
                // Fails only if the caller has disconnected.
                let _ = writer.write_whole(head, &body, framing).await;
                return Ok(());
            }
            Err(Abort::ErrorResponse(Answer { head, .. })) => {
                let reason = format!("resuming failed with status {}", head.status);
                fail_attempt(context, inbound, writer, &mut progress, &endpoint, reason)?
            }
            Err(Abort::EndsTooLate) => return Err(ends_too_late()),
            Err(Abort::MayHaveRun(reason)) => {
                fail_attempt(context, inbound, writer, &mut progress, &endpoint, reason)?
            }
            Err(Abort::OverBudget) => return give_up(context, inbound, writer, OVER_BUDGET.into()),
            Err(Abort::NotSent { reason, prefilled: kept }) => {
                prefilled = kept;
                spdlog::info!("placing the request again", kv: { request = inbound.id(), reason = reason.as_str() });
                progress.sends -= 1;
                progress.avoid.push(endpoint.id.clone());
                continue;
            }
            Err(Abort::NotRun(reason)) => {
                progress.avoid.push(endpoint.id.clone());
                Some(reason)
            }
            Err(Abort::Misdirected { reason, prefilled: kept }) => {
                prefilled = kept;
                progress.sends -= 1;
                progress.avoid.push(endpoint.id.clone());
                Some(reason)
            }
        };
        // The stream was cut: the caller's connection closes without the end of the body.
        let Some(reason) = reason else { return Ok(()) };
        // A replacement has been charged to the retry budget already.
        let may_retry = replacement.is_some()
            || progress.sends < MAX_SENDS
                && inbound.charge(context, retry_plan(context, inbound, prefilled.is_some()).await).await;
        if !may_retry {
            return give_up(context, inbound, writer, reason);
        }
        spdlog::info!("retrying the request", kv: {
            request = inbound.id(), sends = progress.sends, reason = reason.as_str(), endpoint = &*endpoint.id,
            after = logged(Some(progress.last_event.as_deref().unwrap_or(""))), events = writer.timing.events,
            silent_ms = silent_ms(context, inbound, writer)
        });
    }
}

/// Ends a request whose caller has disconnected.
fn disconnected(inbound: &Inbound, error: &std::io::Error) -> Result<(), Refusal> {
    spdlog::info!("caller disconnected", kv: { request = inbound.id(), reason = error.to_string().as_str() });
    Ok(())
}

/// Returns the software version at which a stream that its caller takes up must go on; `None` for a new stream. Refuses the
/// request if the version is not known.
async fn resumed_version(context: &Context, inbound: &Inbound) -> Result<Option<Arc<str>>, Refusal> {
    if inbound.metadata.resume.is_none() {
        return Ok(None);
    }
    let span = inbound.route.timeout;
    let found = context.control.find_origin(inbound.stream(), inbound.service(), span).await;
    found.map(Some).ok_or_else(|| {
        Refusal::not_run(Code::UnknownStream, "no replica knows which software version began the stream")
            .with_retry_after(RETRY_ELSEWHERE)
    })
}

/// Returns the messages by which a request is retried, before its placement is known.
async fn retry_plan(context: &Context, inbound: &Inbound, is_prefilled: bool) -> Plan {
    let is_split = context.control.is_split(inbound.service()).await;
    if is_split && !is_prefilled { Plan::PrefillAndRun } else { Plan::Run }
}

/// Waits for a placement. Refuses a new stream as soon as it is not expected to end before the gateway does:
/// the caller can retry at once at another replica.
async fn place_in_time(
    context: &Arc<Context>,
    inbound: &Inbound,
    progress: &Progress,
) -> Result<Placement, Refusal> {
    let place = place(context, inbound, progress);
    if progress.last_event.is_some() {
        return place.await;
    }
    if !ends_in_time(context, inbound).await {
        return Err(ends_too_late());
    }
    let too_late = async {
        context.phases.reached(Phase::Draining).await;
        while ends_in_time(context, inbound).await {
            context.clock.sleep(SHUTDOWN_CHECK_INTERVAL).await;
        }
        Err(ends_too_late())
    };
    place.or(too_late).await
}

/// Returns whether a stream that starts now is expected to end before the gateway does.
async fn ends_in_time(context: &Context, inbound: &Inbound) -> bool {
    let Some(shutdown) = context.shutdown.get() else { return true };
    let forecast = context.control.forecast(inbound.service()).await;
    let target = inbound.route.target_latency;
    shutdown.admits_stream(context.clock.now(), &forecast, inbound.size(), target)
}

/// Returns whether the stream of a prefilled prompt is expected to end before the gateway does.
async fn decode_ends_in_time(context: &Context, inbound: &Inbound) -> bool {
    let Some(shutdown) = context.shutdown.get() else { return true };
    let forecast = context.control.forecast(inbound.service()).await;
    shutdown.admits_decode(context.clock.now(), &forecast, inbound.size())
}

/// Handles an attempt that failed after it may have run. Returns the reason if the request may be retried,
/// `None` if the stream was cut, or a refusal if the caller has not received a response.
fn fail_attempt(
    context: &Arc<Context>,
    inbound: &Inbound,
    writer: &ResponseWriter,
    progress: &mut Progress,
    endpoint: &Arc<Endpoint>,
    reason: String,
) -> Result<Option<String>, Refusal> {
    progress.runs += 1;
    progress.avoid.push(endpoint.id.clone());
    inbound.record_interrupted(context, endpoint, progress.run(), &reason);
    if inbound.may_retry(progress.runs) {
        return Ok(Some(reason));
    }
    cut(context, inbound, writer, reason)
}

/// Ends a request that may not be retried any more.
fn give_up(
    context: &Context,
    inbound: &Inbound,
    writer: &ResponseWriter,
    reason: String,
) -> Result<(), Refusal> {
    if writer.is_unsent() && !inbound.may_have_run() {
        return Err(Refusal::not_run(Code::Overloaded, reason).with_retry_after(ENDPOINT_RETRY_AFTER));
    }
    cut(context, inbound, writer, reason).map(|_| ())
}

/// Ends a request that has to be held off.
fn hold_off(
    context: &Context,
    inbound: &Inbound,
    writer: &ResponseWriter,
    refusal: Refusal,
) -> Result<(), Refusal> {
    if writer.is_unsent() && !inbound.may_have_run() {
        return Err(refusal);
    }
    cut(context, inbound, writer, refusal.message).map(|_| ())
}

/// Returns a refusal if no response has been sent to the caller; otherwise logs that the stream is cut.
fn cut(
    context: &Context,
    inbound: &Inbound,
    writer: &ResponseWriter,
    reason: String,
) -> Result<Option<String>, Refusal> {
    if writer.is_unsent() {
        return Err(Refusal::may_have_run(Code::Broken, reason));
    }
    log_cut(context, inbound, writer, &reason);
    Ok(None)
}

/// Logs that a stream ends before its last event.
pub(crate) fn log_cut(context: &Context, inbound: &Inbound, writer: &ResponseWriter, reason: &str) {
    spdlog::warn!("stream cut", kv: {
        request = inbound.id(), reason, events = writer.timing.events,
        silent_ms = silent_ms(context, inbound, writer)
    });
}

/// Returns for how long the caller has received no event, in milliseconds.
fn silent_ms(context: &Context, inbound: &Inbound, writer: &ResponseWriter) -> u64 {
    let since = writer.timing.last_event().unwrap_or(inbound.received);
    context.clock.now().since(since).as_millis() as u64
}

/// Starts an attempt and waits for the response head. On split services, this includes the prefill.
async fn start<'a>(
    context: &'a Arc<Context>,
    inbound: &Inbound,
    progress: &Progress,
    placement: Placement,
    kept: Option<Prefilled>,
    endpoint: &'a Arc<Endpoint>,
) -> Result<Upstream<'a>, Abort> {
    match placement {
        Placement::Whole(permit) => {
            let last_event = progress.last_event.as_deref();
            let task = match last_event {
                Some(_) => Task::Decode(Decode { last_event, ..Decode::default() }),
                None => Task::Whole,
            };
            send(context, inbound, permit, endpoint, task).await
        }
        Placement::Split { decode, prefill, mut reservation } => {
            let is_usable = |kept: &Prefilled| {
                context.clock.now().since(kept.at) < MAX_RESULT_AGE
                    && kept.result.endpoint.software_version == endpoint.software_version
            };
            let mut prefilled = match (kept.filter(is_usable), prefill) {
                (Some(kept), _) => Some(kept),
                (None, Some(permit)) => {
                    let result = run_prefill(context, inbound, endpoint, permit).await?;
                    Some(Prefilled { result, at: context.clock.now() })
                }
                (None, None) => None,
            };
            let is_new = progress.last_event.is_none();
            if is_new && prefilled.is_some() && !decode_ends_in_time(context, inbound).await {
                return Err(Abort::EndsTooLate);
            }
            let inputs = Decode {
                source: prefilled
                    .as_ref()
                    .and_then(|Prefilled { result, .. }| Some((result.endpoint.address, result.name()?))),
                reservation: reservation.as_ref().and_then(Guard::name),
                last_event: progress.last_event.as_deref(),
            };
            let started = send(context, inbound, decode, endpoint, Task::Decode(inputs)).await;
            match started {
                Err(Abort::NotSent { reason, .. }) => return Err(Abort::NotSent { reason, prefilled }),
                Err(Abort::Misdirected { reason, .. }) => {
                    return Err(Abort::Misdirected { reason, prefilled });
                }
                Err(Abort::OverBudget | Abort::NotRun(_)) => {}
                Ok(_) | Err(_) => {
                    let results = prefilled.iter_mut().map(|prefilled| &mut prefilled.result);
                    reservation.iter_mut().chain(results).for_each(Guard::mark_consumed);
                }
            }
            started
        }
    }
}

/// Sends the request to the endpoint that generates the response.
async fn send<'a>(
    context: &'a Arc<Context>,
    inbound: &Inbound,
    mut permit: Permit,
    endpoint: &'a Arc<Endpoint>,
    task: Task<'_>,
) -> Result<Upstream<'a>, Abort> {
    inbound.mark_sent();
    let (began, start) = (context.clock.now(), Start::of(&task));
    let limit = inbound.route.stall_timeout + STALL_TIMEOUT_SLACK;
    let sent = inbound.send(context, endpoint, task, limit).await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(Failure::Blocked(block)) => {
            inbound.mark_not_run();
            let reason = format!("{}: {block}", endpoint.id);
            return Err(Abort::NotSent { reason, prefilled: None });
        }
        Err(Failure::OverBudget) => {
            inbound.mark_not_run();
            return Err(Abort::OverBudget);
        }
        Err(Failure::Connect(error)) => {
            inbound.mark_not_run();
            permit.finish(Outcome::Unreachable);
            let reason = format!("{} is unreachable: {error}", endpoint.id);
            return Err(Abort::NotSent { reason, prefilled: None });
        }
        Err(failure) => {
            permit.finish(Outcome::Failed);
            return Err(Abort::MayHaveRun(format!("{}: {failure}", endpoint.id)));
        }
    };
    let status = exchange.head.status;
    if exchange.reply.not_run || status == MISDIRECTED {
        inbound.mark_not_run();
        let reason = format!("{} did not run the request, status {status}", endpoint.id);
        permit.finish(not_run_outcome(
            &exchange.head,
            &exchange.reply,
            endpoint,
            Outcome::ReservationRejected,
        ));
        exchange.skip().await;
        return Err(if status == MISDIRECTED {
            Abort::Misdirected { reason, prefilled: None }
        } else {
            Abort::NotRun(reason)
        });
    }
    if status == 200 && exchange.reply.is_signed && !exchange.reply.is_encoded {
        permit.record_response();
        return Ok(Upstream { exchange, permit, sent: began, start });
    }
    permit.finish(Outcome::Failed);
    let is_error_response = exchange.reply.is_signed && status >= 400 && !is_not_run_status(status);
    match exchange.read_whole(Bound::response(limit)).await {
        Ok(answer) if is_error_response => Err(Abort::ErrorResponse(answer)),
        Ok(_) => Err(Abort::MayHaveRun(format!("{}: invalid response, status {status}", endpoint.id))),
        Err(failure) => Err(Abort::MayHaveRun(format!("{}: {failure}", endpoint.id))),
    }
}
