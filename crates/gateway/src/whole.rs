//! Requests whose answers are taken whole before they are passed on: plain calls.
//!
//! Taking the answer whole costs its few kilobytes of memory and lets a cut or spoilt answer of an
//! idempotent request be replaced by another endpoint's before the caller has seen any of it.

use std::{pin::pin, sync::Arc, time::Duration};

use async_std::future::timeout;
use bytes::Bytes;
use futures_lite::FutureExt as _;
use tarragonhill_core::{
    Refusal,
    gateway::{health::Outcome, state::COME_BACK},
    refusal::Code,
};
use tarragonhill_h1::head::Response;

use crate::{
    answer::Answer,
    context::{Context, Inbound},
    control::Ticket,
    edge::{Reply, Task},
    exchange::{Failure, MISDIRECTED, is_promise, unrun},
};

/// Part of the aim after which an idempotent request is sent to a second endpoint as well: late
/// enough to leave out nearly all sound answers, early enough for the second to be on time.
const BACKUP_AFTER: f64 = 0.5;
/// Most endpoints asked for one request when they turn it away unrun.
const MOST_SENDS: u32 = 4;

/// How one endpoint dealt with a request.
enum Attempt {
    /// It answered.
    Answered { head: Response, body: Bytes },
    /// It did not run the request.
    NotRun(String),
    /// It may have run the request.
    Broken(String),
}

/// Serves a request; an error is to be told to the caller.
pub(crate) async fn serve(
    context: &Arc<Context>,
    inbound: &Inbound,
    answer: &mut Answer,
) -> Result<(), Refusal> {
    let mut avoid: Vec<Arc<str>> = Vec::new();
    let mut failure: Option<(Response, Bytes)> = None;
    let mut runs = 0;
    for sends in 1.. {
        let ticket = match context.control.whole(inbound.service(), &avoid).await {
            Ok(ticket) => ticket,
            Err(refusal) => return give_up(inbound, answer, failure, refusal).await,
        };
        inbound.log_place(context.clock.now(), &ticket.endpoint, None);
        avoid.push(ticket.endpoint.id.clone());
        let (attempt, used) = attempt_with_backup(context, inbound, ticket, &mut avoid, runs).await;
        let reason = match attempt {
            Attempt::Answered { head, body } if head.status < 500 || !inbound.may_repeat(runs + used) => {
                return pass_on(inbound, answer, head, body).await;
            }
            Attempt::Answered { head, body } => {
                failure = Some((head, body));
                runs += used;
                "the endpoint failed".into()
            }
            Attempt::NotRun(reason) => reason,
            Attempt::Broken(reason) => {
                runs += used;
                if !inbound.may_repeat(runs) {
                    let refusal = Refusal::may_have_run(Code::OutcomeUnknown, reason);
                    return give_up(inbound, answer, failure, refusal).await;
                }
                reason
            }
        };
        if sends >= MOST_SENDS || !context.control.retry(inbound.service()).await {
            let refusal = exhausted(inbound, reason);
            return give_up(inbound, answer, failure, refusal).await;
        }
        spdlog::info!("sent again", kv: { request = inbound.id(), sends, reason = reason.as_str() });
    }
    Ok(())
}

fn exhausted(inbound: &Inbound, reason: String) -> Refusal {
    if inbound.may_have_run() {
        return Refusal::may_have_run(Code::OutcomeUnknown, reason);
    }
    Refusal::not_run(Code::Overloaded, reason).with_retry_after(COME_BACK)
}

/// An endpoint's own failure goes before a refusal of ours: it is what happened.
async fn give_up(
    inbound: &Inbound,
    answer: &mut Answer,
    failure: Option<(Response, Bytes)>,
    refusal: Refusal,
) -> Result<(), Refusal> {
    match failure {
        Some((head, body)) => pass_on(inbound, answer, head, body).await,
        None => Err(refusal),
    }
}

async fn pass_on(inbound: &Inbound, answer: &mut Answer, head: Response, body: Bytes) -> Result<(), Refusal> {
    if let Err(error) = answer.whole(head, &body).await {
        spdlog::info!("caller gone", kv: { request = inbound.id(), reason = error.to_string().as_str() });
    }
    Ok(())
}

/// Sends a request and, if it may be repeated and no answer comes for long, sends it to a second
/// endpoint as well: an endpoint that hangs gives no other sign. Also tells how many may run it.
async fn attempt_with_backup(
    context: &Arc<Context>,
    inbound: &Inbound,
    ticket: Ticket,
    avoid: &mut Vec<Arc<str>>,
    runs: u32,
) -> (Attempt, u32) {
    let mut first = pin!(attempt(context, inbound, ticket));
    if !inbound.may_repeat(runs + 1) {
        return (first.await, 1);
    }
    let patience = inbound.route.aim.mul_f64(BACKUP_AFTER);
    if let Ok(attempt) = timeout(patience, first.as_mut()).await {
        return (attempt, 1);
    }
    let Ok(ticket) = context.control.whole(inbound.service(), avoid).await else { return (first.await, 1) };
    if !context.control.retry(inbound.service()).await {
        drop(ticket);
        return (first.await, 1);
    }
    avoid.push(ticket.endpoint.id.clone());
    spdlog::info!("sent to a second endpoint", kv: { request = inbound.id(), endpoint = &*ticket.endpoint.id });
    let mut second = pin!(attempt(context, inbound, ticket));
    let (early, is_first) = {
        let one = async { (first.as_mut().await, true) };
        let two = async { (second.as_mut().await, false) };
        one.or(two).await
    };
    if matches!(&early, Attempt::Answered { head, .. } if head.status < 500) {
        return (early, 2);
    }
    let other = if is_first { second.await } else { first.await };
    let better = if matches!(other, Attempt::Answered { .. }) { other } else { early };
    (better, 2)
}

async fn attempt(context: &Arc<Context>, inbound: &Inbound, mut ticket: Ticket) -> Attempt {
    let endpoint = ticket.endpoint.clone();
    inbound.given();
    let sent = inbound.send(context, &endpoint, Task::Whole, Duration::MAX).await;
    let taken = match sent {
        Ok(exchange) => {
            ticket.answered();
            exchange.whole().await
        }
        Err(failure) => Err(failure),
    };
    let attempt = judge(inbound, taken, ticket, context);
    if matches!(attempt, Attempt::NotRun(_)) {
        inbound.not_run();
    }
    count(context, &attempt);
    attempt
}

type Taken = Result<(Response, Reply, Bytes), Failure>;

fn judge(inbound: &Inbound, taken: Taken, ticket: Ticket, context: &Context) -> Attempt {
    let (head, reply, body) = match taken {
        Ok(taken) => taken,
        Err(Failure::Unsent(error)) => {
            let reason = format!("{} cannot be reached: {error}", ticket.endpoint.id);
            ticket.ended(Outcome::Unreachable);
            return Attempt::NotRun(reason);
        }
        Err(failure) => {
            let reason = format!("{}: {failure}", ticket.endpoint.id);
            context.control.broke(&ticket.endpoint.id, inbound.admission.fingerprint);
            ticket.ended(Outcome::Failed);
            return Attempt::Broken(reason);
        }
    };
    if reply.not_run || head.status == MISDIRECTED {
        let reason = format!("{} did not run it, status {}", ticket.endpoint.id, head.status);
        let outcome = unrun(&head, &reply, &ticket.endpoint, Outcome::Refused);
        ticket.ended(outcome);
        return Attempt::NotRun(reason);
    }
    if !reply.signed || reply.encoded {
        let reason =
            format!("{}: status {} is not the endpoint's own answer", ticket.endpoint.id, head.status);
        ticket.ended(Outcome::Failed);
        return Attempt::Broken(reason);
    }
    // A refusal promises that the request never runs; this one may have, so the promise is not
    // passed on.
    if is_promise(head.status) && !inbound.route.is_repeatable() {
        let reason = format!("{} refused without saying that it did not run it", ticket.endpoint.id);
        ticket.ended(Outcome::Failed);
        return Attempt::Broken(reason);
    }
    if head.status >= 500 {
        ticket.ended(Outcome::Failed);
    }
    Attempt::Answered { head, body }
}

fn count(context: &Context, attempt: &Attempt) {
    let outcome = match attempt {
        Attempt::Answered { .. } => "answered",
        Attempt::NotRun(_) => "not_run",
        Attempt::Broken(_) => "broken",
    };
    context.metrics.sends.with_label_values(&[outcome]).inc();
}
