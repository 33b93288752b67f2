//! Requests whose responses are read whole before they are relayed.
//!
//! Because the caller has not received any part of it, a truncated or invalid response to an idempotent
//! request can be replaced by another endpoint's.

use std::{pin::pin, sync::Arc, time::Duration};

use async_std::future::timeout;
use futures_lite::FutureExt as _;
use tarragonhill_core::{
    Refusal, Time,
    gateway::{health::Outcome, ledger::Plan, state::ENDPOINT_RETRY_AFTER, suspect::Run},
    refusal::Code,
};

use crate::{
    caller::ResponseWriter,
    context::{Context, Inbound, ends_too_late},
    control::Permit,
    edge::Task,
    exchange::{Answer, Bound, Failure, MISDIRECTED, OVER_BUDGET, is_not_run_status, not_run_outcome},
};

/// Fraction of the route's latency target after which an idempotent request is hedged; leaves time for the
/// second response to meet the target. By then, nearly all responses of healthy endpoints have arrived.
const HEDGE_AFTER: f64 = 0.5;
/// Maximum times that a request is sent, including retries but not hedges.
const MAX_SENDS: u32 = 4;

/// Result of a request at one endpoint.
enum Attempt {
    /// The endpoint responded.
    Response(Answer),
    /// The request was not sent.
    NotSent(String),
    /// The endpoint did not run the request.
    NotRun(String),
    /// The endpoint may have run the request.
    MayHaveRun(String),
}

impl Attempt {
    /// Returns whether the endpoint may have run the request.
    fn may_have_run(&self) -> bool {
        matches!(self, Self::Response(_) | Self::MayHaveRun(_))
    }

    /// Returns the result of two attempts: a response, or what says most about whether the request has run.
    fn merge(self, other: Self) -> Self {
        match (&self, &other) {
            (_, Self::Response(_)) => other,
            (Self::NotSent(_) | Self::NotRun(_), Self::MayHaveRun(_)) => other,
            _ => self,
        }
    }
}

/// Serves a request. Returns a refusal if the caller has not received a response.
pub(crate) async fn serve(
    context: &Arc<Context>,
    inbound: &Inbound,
    writer: &mut ResponseWriter,
) -> Result<(), Refusal> {
    let mut avoid: Vec<Arc<str>> = Vec::new();
    let mut error_response: Option<Answer> = None;
    let mut runs = 0;
    for sends in 1.. {
        if !ends_in_time(context, inbound) {
            return give_up(inbound, writer, error_response, ends_too_late()).await;
        }
        if let Some(refusal) = inbound.hold_off(context) {
            return give_up(inbound, writer, error_response, refusal).await;
        }
        let permit = match context.control.place(inbound.service(), &avoid, None).await {
            Ok(permit) => permit,
            Err(refusal) => return give_up(inbound, writer, error_response, refusal).await,
        };
        inbound.log_placement(context.clock.now(), &permit.endpoint, None);
        avoid.push(permit.endpoint.id.clone());
        let (attempt, used) = attempt_with_hedge(context, inbound, permit, &mut avoid, runs).await;
        runs += used;
        let reason = match attempt {
            Attempt::Response(answer) if answer.head.status < 500 || !inbound.may_retry(runs) => {
                return relay(inbound, writer, answer).await;
            }
            Attempt::Response(answer) => {
                error_response = Some(answer);
                "the endpoint failed".into()
            }
            Attempt::NotSent(reason) if sends < MAX_SENDS => {
                spdlog::info!("placing the request again", kv: { request = inbound.id(), reason = reason.as_str() });
                continue;
            }
            Attempt::NotSent(reason) | Attempt::NotRun(reason) => reason,
            Attempt::MayHaveRun(reason) => {
                if !inbound.may_retry(runs) {
                    let refusal = Refusal::may_have_run(Code::OutcomeUnknown, reason);
                    return give_up(inbound, writer, error_response, refusal).await;
                }
                reason
            }
        };
        if sends >= MAX_SENDS || !inbound.charge(context, Plan::Run).await {
            let refusal = retries_exhausted(inbound, reason);
            return give_up(inbound, writer, error_response, refusal).await;
        }
        spdlog::info!("retrying the request", kv: { request = inbound.id(), sends, reason = reason.as_str() });
    }
    Ok(())
}

/// Returns whether a request that is sent now is expected to end before the gateway does.
fn ends_in_time(context: &Context, inbound: &Inbound) -> bool {
    let now = context.clock.now();
    let shutdown = context.shutdown.get();
    shutdown.is_none_or(|shutdown| shutdown.admits_unary(now, inbound.route.target_latency, inbound.deadline))
}

fn retries_exhausted(inbound: &Inbound, reason: String) -> Refusal {
    if inbound.may_have_run() {
        return Refusal::may_have_run(Code::OutcomeUnknown, reason);
    }
    Refusal::not_run(Code::Overloaded, reason).with_retry_after(ENDPOINT_RETRY_AFTER)
}

/// Relays the last error response of an endpoint, or refuses the request if there was none.
async fn give_up(
    inbound: &Inbound,
    writer: &mut ResponseWriter,
    error_response: Option<Answer>,
    refusal: Refusal,
) -> Result<(), Refusal> {
    match error_response {
        Some(answer) => relay(inbound, writer, answer).await,
        None => Err(refusal),
    }
}

async fn relay(inbound: &Inbound, writer: &mut ResponseWriter, answer: Answer) -> Result<(), Refusal> {
    let Answer { head, body, framing, .. } = answer;
    if let Err(error) = writer.write_whole(head, &body, framing).await {
        spdlog::info!("caller disconnected", kv: { request = inbound.id(), reason = error.to_string().as_str() });
    }
    Ok(())
}

/// Sends a request and, if it may be retried and the response is slow, hedges it at a second endpoint, since
/// an endpoint that hangs shows no other sign. Also returns the number of endpoints that may have run the
/// request.
async fn attempt_with_hedge(
    context: &Arc<Context>,
    inbound: &Inbound,
    permit: Permit,
    avoid: &mut Vec<Arc<str>>,
    runs: u32,
) -> (Attempt, u32) {
    let alone = |attempt: Attempt| {
        let used = u32::from(attempt.may_have_run());
        (attempt, used)
    };
    let mut first = pin!(attempt(context, inbound, permit));
    if !inbound.may_retry(runs + 1) {
        return alone(first.await);
    }
    let delay = inbound.route.target_latency.mul_f64(HEDGE_AFTER);
    if let Ok(attempt) = timeout(delay, first.as_mut()).await {
        return alone(attempt);
    }
    let Ok(permit) = context.control.place(inbound.service(), avoid, None).await else {
        return alone(first.await);
    };
    if !inbound.charge(context, Plan::Run).await {
        drop(permit);
        return alone(first.await);
    }
    avoid.push(permit.endpoint.id.clone());
    spdlog::info!("hedging the request", kv: { request = inbound.id(), endpoint = &*permit.endpoint.id });
    let mut second = pin!(attempt(context, inbound, permit));
    let (earlier, is_first) = {
        let one = async { (first.as_mut().await, true) };
        let two = async { (second.as_mut().await, false) };
        one.or(two).await
    };
    if matches!(&earlier, Attempt::Response(answer) if answer.head.status < 500) {
        return (earlier, 2);
    }
    let later = if is_first { second.await } else { first.await };
    let used = u32::from(earlier.may_have_run()) + u32::from(later.may_have_run());
    (earlier.merge(later), used)
}

async fn attempt(context: &Arc<Context>, inbound: &Inbound, mut permit: Permit) -> Attempt {
    let endpoint = permit.endpoint.clone();
    inbound.mark_sent();
    let sent_at = context.clock.now();
    let sent = inbound.send(context, &endpoint, Task::Whole, Duration::MAX).await;
    let exchanged = match sent {
        Ok(exchange) => {
            permit.record_response();
            let left = inbound.deadline.since(context.clock.now());
            exchange.read_whole(Bound::response(left)).await
        }
        Err(failure) => Err(failure),
    };
    let attempt = classify(inbound, exchanged, permit, sent_at, context);
    if matches!(attempt, Attempt::NotRun(_) | Attempt::NotSent(_)) {
        inbound.mark_not_run();
    }
    count(context, &attempt);
    attempt
}

/// Classifies the result of an exchange and records the outcome at the endpoint.
fn classify(
    inbound: &Inbound,
    exchanged: Result<Answer, Failure>,
    permit: Permit,
    sent_at: Time,
    context: &Arc<Context>,
) -> Attempt {
    let answer = match exchanged {
        Ok(answer) => answer,
        Err(Failure::Blocked(block)) => {
            return Attempt::NotSent(format!("{}: {block}", permit.endpoint.id));
        }
        Err(Failure::OverBudget) => return Attempt::NotRun(OVER_BUDGET.into()),
        Err(Failure::Connect(error)) => {
            let reason = format!("{} is unreachable: {error}", permit.endpoint.id);
            permit.finish(Outcome::Unreachable);
            return Attempt::NotRun(reason);
        }
        Err(failure) => {
            let reason = format!("{}: {failure}", permit.endpoint.id);
            inbound.record_interrupted(context, &permit.endpoint, Run::Starting, &failure.to_string());
            permit.finish(Outcome::Failed);
            return Attempt::MayHaveRun(reason);
        }
    };
    let Answer { head, reply, .. } = &answer;
    if reply.not_run || head.status == MISDIRECTED {
        let reason = format!("{} did not run the request, status {}", permit.endpoint.id, head.status);
        let outcome = not_run_outcome(head, reply, &permit.endpoint, Outcome::Refused);
        permit.finish(outcome);
        return Attempt::NotRun(reason);
    }
    if reply.is_signed {
        inbound.record_completed(context, &permit.endpoint, sent_at);
    } else {
        // Bytes without a signature may not be the endpoint's response.
        inbound.end_trial(context);
    }
    if !reply.is_signed || reply.is_encoded {
        let reason =
            format!("{}: unsigned or re-encoded response, status {}", permit.endpoint.id, head.status);
        permit.finish(Outcome::Failed);
        return Attempt::MayHaveRun(reason);
    }
    // Callers take this status as a guarantee that the request has not run, but the endpoint did not state it.
    if is_not_run_status(head.status) && !inbound.route.is_repeatable() {
        let reason = format!("{} refused without stating that the request has not run", permit.endpoint.id);
        permit.finish(Outcome::Failed);
        return Attempt::MayHaveRun(reason);
    }
    if head.status >= 500 {
        permit.finish(Outcome::Failed);
    }
    Attempt::Response(answer)
}

fn count(context: &Context, attempt: &Attempt) {
    let outcome = match attempt {
        Attempt::Response(_) => "answered",
        Attempt::NotSent(_) => return,
        Attempt::NotRun(_) => "not_run",
        Attempt::MayHaveRun(_) => "broken",
    };
    context.metrics.sends.with_label_values(&[outcome]).inc();
}
