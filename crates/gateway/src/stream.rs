//! Requests whose answers are streams of events: completions.
//!
//! On split services a run takes three steps: memory is reserved where tokens will be made, the
//! prompt is read elsewhere, and the run starts from its result. No prompt is read before its place
//! is promised, so none is read in vain for want of memory.

mod events;
mod passing;
mod placing;
mod reading;
mod release;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tarragonhill_core::{
    Refusal, Time,
    gateway::{directory::Endpoint, forecast::Observation, health::Outcome, state::COME_BACK},
    refusal::Code,
};
use tarragonhill_h1::head::Response;

use self::{
    passing::{SILENCE_SLACK, pass_on},
    placing::{Placing, lease_endpoint},
    reading::read_prompt,
    release::Release,
};
use crate::{
    answer::Answer,
    context::{Context, Inbound},
    control::Ticket,
    edge::{Decode, Task},
    exchange::{Exchange, Failure, MISDIRECTED, is_promise, unrun},
};

/// Most times that a request is sent on when endpoints turn it away unrun.
const MOST_SENDS: u32 = 4;
/// What callers are told to wait that another entry can serve at once.
const ELSEWHERE: Duration = Duration::from_millis(50);

/// One request's way through its runs.
struct Progress {
    /// The last event that the caller has.
    last_event: Option<Arc<str>>,
    /// Endpoints that failed it.
    avoid: Vec<Arc<str>>,
    /// Endpoints that may have run it.
    runs: u32,
}

/// A run that has begun.
struct Run<'a> {
    exchange: Exchange<'a>,
    ticket: Ticket,
    /// When it was sent.
    sent: Time,
    /// What its first event tells of its endpoint.
    start: Start,
}

/// How a run starts, as far as its first event tells how fast its endpoint is.
#[derive(Clone, Copy)]
enum Start {
    /// From a prompt read elsewhere.
    FromResult,
    /// With reading the prompt.
    FromPrompt,
    /// Behind some event, or as a whole request: its time compares with no other's.
    Other,
}

impl Start {
    fn of(task: &Task<'_>) -> Self {
        match task {
            Task::Decode(Decode { after: Some(_), .. }) | Task::Prefill | Task::Whole => Self::Other,
            Task::Decode(Decode { source: Some(_), .. }) => Self::FromResult,
            Task::Decode(_) => Self::FromPrompt,
        }
    }

    fn observation(self, prompt: u64, took: Duration) -> Option<Observation> {
        match self {
            Self::FromResult => Some(Observation::FirstEvent { prompt, took }),
            Self::FromPrompt => Some(Observation::LocalPrefill { prompt, took }),
            Self::Other => None,
        }
    }
}

/// Why a run has not begun.
enum Trouble {
    /// The request was not run; it may be tried again.
    NotRun(String),
    /// The request may have run.
    Broken(String),
    /// The endpoint ran it and answers with a failure.
    Answered(Response, Bytes),
}

/// Why a stream has stopped before its end.
enum Stop {
    /// The caller takes no more.
    CallerGone(std::io::Error),
    /// The endpoint broke off.
    Broken(String),
}

/// Serves a request; an error is to be told to the caller.
pub(crate) async fn serve(
    context: &Arc<Context>,
    inbound: &Inbound,
    answer: &mut Answer,
) -> Result<(), Refusal> {
    fits_before_end(context, inbound).await?;
    let mut progress = Progress { last_event: None, avoid: Vec::new(), runs: 0 };
    for sends in 1.. {
        let place = lease_endpoint(context, inbound, &progress).await?;
        let endpoint = place.endpoint().clone();
        let reason = match start(context, inbound, &progress, place, &endpoint).await {
            Ok(run) => match pass_on(context, inbound, run, answer, &mut progress).await {
                Ok(()) => return Ok(()),
                Err(Stop::CallerGone(error)) => {
                    spdlog::info!("caller gone", kv: { request = inbound.id(), reason = error.to_string().as_str() });
                    return Ok(());
                }
                Err(Stop::Broken(reason)) => {
                    broken(context, inbound, answer, &mut progress, &endpoint, reason)?
                }
            },
            Err(Trouble::Answered(head, body)) if answer.is_open() => {
                // Only the caller's own connection can fail here, and then nobody is left to tell.
                let _ = answer.whole(head, &body).await;
                return Ok(());
            }
            Err(Trouble::Answered(head, _)) => {
                let reason = format!("resuming failed with status {}", head.status);
                broken(context, inbound, answer, &mut progress, &endpoint, reason)?
            }
            Err(Trouble::Broken(reason)) => {
                broken(context, inbound, answer, &mut progress, &endpoint, reason)?
            }
            Err(Trouble::NotRun(reason)) => {
                progress.avoid.push(endpoint.id.clone());
                Some(reason)
            }
        };
        // The stream was cut and cannot go on; the connection ends without the stream's end.
        let Some(reason) = reason else { return Ok(()) };
        if sends >= MOST_SENDS || !context.control.retry(inbound.service()).await {
            return exhausted(inbound, answer, reason);
        }
        spdlog::info!("sent again", kv: {
            request = inbound.id(), sends, reason = reason.as_str(),
            after = progress.last_event.as_deref().unwrap_or("")
        });
    }
    Ok(())
}

/// Refuses a stream that this process would cut: it is told to stop, and the stream is expected to
/// last longer. The caller comes again at once, by another entry.
async fn fits_before_end(context: &Context, inbound: &Inbound) -> Result<(), Refusal> {
    let Some(stop) = context.stop.get() else { return Ok(()) };
    let forecast = context.control.forecast(inbound.service()).await;
    let now = context.clock.now();
    if forecast.finishes_within(stop.ends.since(now), inbound.size(), now < stop.noticed) {
        return Ok(());
    }
    Err(Refusal::not_run(Code::ShuttingDown, "the process stops before the stream would end")
        .with_retry_after(ELSEWHERE))
}

/// Deals with a run that broke off: gives the reason if it may run again, nothing if the stream is
/// over, and a refusal if the caller is still to be told.
fn broken(
    context: &Context,
    inbound: &Inbound,
    answer: &Answer,
    progress: &mut Progress,
    endpoint: &Arc<Endpoint>,
    reason: String,
) -> Result<Option<String>, Refusal> {
    progress.runs += 1;
    progress.avoid.push(endpoint.id.clone());
    context.control.broke(&endpoint.id, inbound.admission.fingerprint);
    if inbound.may_repeat(progress.runs) {
        return Ok(Some(reason));
    }
    cut(inbound, answer, reason)
}

fn exhausted(inbound: &Inbound, answer: &Answer, reason: String) -> Result<(), Refusal> {
    if answer.is_open() && !inbound.may_have_run() {
        return Err(Refusal::not_run(Code::Overloaded, reason).with_retry_after(COME_BACK));
    }
    cut(inbound, answer, reason).map(|_| ())
}

fn cut(inbound: &Inbound, answer: &Answer, reason: String) -> Result<Option<String>, Refusal> {
    if answer.is_open() {
        return Err(Refusal::may_have_run(Code::Broken, reason));
    }
    spdlog::warn!("stream cut", kv: { request = inbound.id(), reason = reason.as_str() });
    Ok(None)
}

/// Starts a run and waits for the head of its answer.
async fn start<'a>(
    context: &'a Arc<Context>,
    inbound: &Inbound,
    progress: &Progress,
    placing: Placing,
    endpoint: &'a Arc<Endpoint>,
) -> Result<Run<'a>, Trouble> {
    match placing {
        Placing::Whole(ticket) => {
            let after = progress.last_event.as_deref();
            let task = match after {
                Some(_) => Task::Decode(Decode { after, ..Decode::default() }),
                None => Task::Whole,
            };
            send(context, inbound, ticket, endpoint, task).await
        }
        Placing::Decode { run, reader, mut held } => {
            let mut read = match reader {
                Some(reader) => Some(read_prompt(context, inbound, &endpoint.zone, reader).await?),
                None => None,
            };
            let decode = Decode {
                source: read.as_ref().and_then(|read| Some((read.endpoint.address, read.name()?))),
                hold: held.as_ref().and_then(Release::name),
                after: progress.last_event.as_deref(),
            };
            let started = send(context, inbound, run, endpoint, Task::Decode(decode)).await;
            if !matches!(started, Err(Trouble::NotRun(_))) {
                held.iter_mut().chain(&mut read).for_each(Release::used);
            }
            started
        }
    }
}

/// Sends the run itself.
async fn send<'a>(
    context: &'a Arc<Context>,
    inbound: &Inbound,
    mut ticket: Ticket,
    endpoint: &'a Arc<Endpoint>,
    task: Task<'_>,
) -> Result<Run<'a>, Trouble> {
    inbound.given();
    let (began, start) = (context.clock.now(), Start::of(&task));
    let sent = inbound.send(context, endpoint, task, inbound.route.silence + SILENCE_SLACK).await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(Failure::Unsent(error)) => {
            inbound.not_run();
            ticket.ended(Outcome::Unreachable);
            return Err(Trouble::NotRun(format!("{} cannot be reached: {error}", endpoint.id)));
        }
        Err(failure) => {
            ticket.ended(Outcome::Failed);
            return Err(Trouble::Broken(format!("{}: {failure}", endpoint.id)));
        }
    };
    let status = exchange.head.status;
    if exchange.reply.not_run || status == MISDIRECTED {
        inbound.not_run();
        let reason = format!("{} did not run it, status {status}", endpoint.id);
        ticket.ended(unrun(&exchange.head, &exchange.reply, endpoint, Outcome::TurnedAway));
        // The body is of no use, but reading it keeps the connection.
        let _ = exchange.whole().await;
        return Err(Trouble::NotRun(reason));
    }
    if status == 200 && exchange.reply.signed && !exchange.reply.encoded {
        ticket.answered();
        return Ok(Run { exchange, ticket, sent: began, start });
    }
    ticket.ended(Outcome::Failed);
    let is_own = exchange.reply.signed && status >= 400 && !is_promise(status);
    match exchange.whole().await {
        Ok((head, _, body)) if is_own => Err(Trouble::Answered(head, body)),
        Ok(_) => Err(Trouble::Broken(format!("{}: status {status} is no answer of its own", endpoint.id))),
        Err(failure) => Err(Trouble::Broken(format!("{}: {failure}", endpoint.id))),
    }
}
