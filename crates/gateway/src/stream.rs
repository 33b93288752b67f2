//! Requests whose answers are streams of events: completions.
//!
//! On split services a run takes three steps: memory is reserved where tokens will be made, the
//! prompt is read elsewhere, and the run starts from its result. No prompt is read before its place
//! is promised, so none is read in vain for want of memory.

mod events;
mod reading;
mod release;

use std::{sync::Arc, time::Duration};

use async_std::future::timeout;
use bytes::{Bytes, BytesMut};
use tarragonhill_core::{
    Refusal,
    gateway::{
        catalog::Engine,
        directory::Endpoint,
        forecast::{FIRST_EVENT, Size, ends_within, memory, reading_time, run_time},
        health::Outcome,
        line::Waiting,
        state::COME_BACK,
    },
    refusal::Code,
};
use tarragonhill_h1::head::Response;

use self::{
    events::{count_events, events_end, last_id},
    reading::read_prompt,
    release::{Kept, Release},
};
use crate::{
    answer::Answer,
    context::{Context, Inbound},
    control::{Ticket, Tickets},
    edge::{Decode, Task, Tokens},
    exchange::{Exchange, Failure, MISDIRECTED, is_promise, unrun},
};

/// Most times that a request is sent on when endpoints turn it away unrun.
const MOST_SENDS: u32 = 4;
/// Longest time to answer a reservation; it needs no computing.
const HOLD_LIMIT: Duration = Duration::from_millis(500);
/// Reservations are made for this long at most: a prompt is read within it, or asked elsewhere.
const HOLD_TTL: Duration = Duration::from_millis(2_000);
/// A resumable stream goes on elsewhere after this many of its longest allowed pauses without an
/// event; callers leave a silent stream after eight.
const STALLED_GAPS: u32 = 5;
/// The same where no longest pause is declared.
const STALLED: Duration = Duration::from_millis(1_500);

/// A stream that cannot go on elsewhere is given up this much later than its caller gives it up.
const SILENCE_SLACK: Duration = Duration::from_millis(500);
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
    fits_before_end(context, inbound)?;
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
fn fits_before_end(context: &Context, inbound: &Inbound) -> Result<(), Refusal> {
    let Some(stop) = context.stop.get() else { return Ok(()) };
    let tokens = inbound.call.tokens.unwrap_or_default();
    let size = Size { prompt: tokens.prompt, expected: expected(&tokens), most: tokens.output };
    let now = context.clock.now();
    if ends_within(stop.ends.since(now), size, now < stop.noticed) {
        return Ok(());
    }
    Err(Refusal::not_run(Code::ShuttingDown, "the process stops before the stream would end")
        .retry_after(ELSEWHERE))
}

/// Tokens that an answer is expected to have.
fn expected(tokens: &Tokens) -> u64 {
    tokens.expected.unwrap_or(tokens.output).min(tokens.output)
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
        return Err(Refusal::not_run(Code::Overloaded, reason).retry_after(COME_BACK));
    }
    cut(inbound, answer, reason).map(|_| ())
}

fn cut(inbound: &Inbound, answer: &Answer, reason: String) -> Result<Option<String>, Refusal> {
    if answer.is_open() {
        return Err(Refusal::run(Code::Broken, reason));
    }
    spdlog::warn!("stream cut", kv: { request = inbound.id(), reason = reason.as_str() });
    Ok(None)
}

/// Where a run goes.
enum Placing {
    /// To an endpoint that does all of it.
    Whole(Ticket),
    /// To one that makes the tokens, with what was reserved there, once the prompt was read.
    Decode { run: Ticket, reader: Option<Ticket>, held: Option<Release> },
}

impl Placing {
    fn endpoint(&self) -> &Arc<Endpoint> {
        match self {
            Self::Whole(ticket) | Self::Decode { run: ticket, .. } => &ticket.endpoint,
        }
    }
}

/// Waits for an endpoint and, on split services, reserves memory there.
async fn lease_endpoint(
    context: &Arc<Context>,
    inbound: &Inbound,
    progress: &Progress,
) -> Result<Placing, Refusal> {
    let engine = context.control.catalog().and_then(|catalog| catalog.service(inbound.service())?.engine);
    let Some(engine) = engine else { return whole(context, inbound, progress).await };
    if !context.control.is_split(inbound.service()).await {
        return whole(context, inbound, progress).await;
    }
    let mut avoid = progress.avoid.clone();
    loop {
        let waiting = waiting(inbound, &engine, &avoid);
        let memory = waiting.memory;
        let Tickets { run, reader } = context.control.decode(waiting).await?;
        let waited = context.clock.now().since(inbound.received);
        context.metrics.waits.observe(waited.as_secs_f64());
        let read_by = reader.as_ref().map(|reader| &*reader.endpoint);
        inbound.log_place(context.clock.now(), &run.endpoint, read_by);
        if engine.longest_hold.is_zero() {
            return Ok(Placing::Decode { run, reader, held: None });
        }
        match hold(context, &run.endpoint, &engine, memory).await {
            Ok(Some(held)) => return Ok(Placing::Decode { run, reader, held: Some(held) }),
            Ok(None) => run.ended(Outcome::Full),
            Err(NoHold::Replaced) => {
                avoid.push(run.endpoint.id.clone());
                run.ended(Outcome::Replaced);
            }
            Err(NoHold::Unreachable(reason)) => {
                spdlog::info!("no reservation", kv: {
                    request = inbound.id(), endpoint = &*run.endpoint.id, reason = reason.as_str()
                });
                avoid.push(run.endpoint.id.clone());
                run.ended(Outcome::Unreachable);
            }
        }
    }
}

async fn whole(context: &Context, inbound: &Inbound, progress: &Progress) -> Result<Placing, Refusal> {
    context.control.whole(inbound.service(), &progress.avoid).await.map(Placing::Whole)
}

fn waiting(inbound: &Inbound, engine: &Engine, avoid: &[Arc<str>]) -> Waiting<()> {
    let tokens = inbound.call.tokens.unwrap_or_default();
    let expected = expected(&tokens);
    let first = FIRST_EVENT + reading_time(tokens.prompt);
    // The caller leaves at its deadline, and before it if it sees no event for too long.
    let in_time = inbound.ends.minus(first + run_time(expected));
    let in_patience = inbound.received.plus(inbound.route.silence).minus(first);
    Waiting {
        tag: (),
        service: inbound.service().clone(),
        prompt: tokens.prompt,
        expected,
        memory: memory(tokens.prompt, expected).min(engine.memory),
        on_time: inbound.received.plus(inbound.route.aim).minus(first),
        last_start: in_time.min(in_patience),
        priority: inbound.priority(),
        gap: inbound.route.gap,
        avoid: avoid.to_vec(),
    }
}

/// Reserves memory at an endpoint; nothing if it has none.
async fn hold(
    context: &Arc<Context>,
    endpoint: &Arc<Endpoint>,
    engine: &Engine,
    memory: u64,
) -> Result<Option<Release>, NoHold> {
    let message = context.dialect.hold(endpoint, memory, engine.longest_hold.min(HOLD_TTL));
    let sent = context.sender().send(endpoint, &message.head, &message.body, None, HOLD_LIMIT).await;
    let unreachable = |failure: Failure| NoHold::Unreachable(failure.to_string());
    let exchange = sent.map_err(unreachable)?;
    if exchange.is_replaced() {
        return Err(NoHold::Replaced);
    }
    let (head, _, body) = exchange.whole().await.map_err(unreachable)?;
    match (head.status, context.dialect.held(&body)) {
        (200, Some(hold)) => {
            Ok(Some(Release { context: context.clone(), endpoint: endpoint.clone(), kept: Kept::Hold(hold) }))
        }
        (503, _) => Ok(None),
        (status, _) => Err(NoHold::Unreachable(format!("status {status}"))),
    }
}

/// Why an endpoint gave neither a reservation nor a refusal.
enum NoHold {
    /// Another endpoint has its address.
    Replaced,
    /// It did not answer, or not so that it can be understood.
    Unreachable(String),
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
        return Ok(Run { exchange, ticket });
    }
    ticket.ended(Outcome::Failed);
    let is_own = exchange.reply.signed && status >= 400 && !is_promise(status);
    match exchange.whole().await {
        Ok((head, _, body)) if is_own => Err(Trouble::Answered(head, body)),
        Ok(_) => Err(Trouble::Broken(format!("{}: status {status} is no answer of its own", endpoint.id))),
        Err(failure) => Err(Trouble::Broken(format!("{}: {failure}", endpoint.id))),
    }
}

/// Passes a run's events on, whole events only: what comes of an event that is cut in the middle
/// must not reach the caller if the stream goes on elsewhere.
async fn pass_on(
    context: &Context,
    inbound: &Inbound,
    run: Run<'_>,
    answer: &mut Answer,
    progress: &mut Progress,
) -> Result<(), Stop> {
    let Run { mut exchange, ticket } = run;
    let mut held = BytesMut::new();
    loop {
        let part = match next_part(inbound, &mut exchange).await {
            Ok(part) => part,
            Err(failure) => {
                let reason = format!("{}: {failure}", ticket.endpoint.id);
                ticket.ended(Outcome::Failed);
                return Err(Stop::Broken(reason));
            }
        };
        if answer.is_open() {
            let seconds = context.clock.now().since(inbound.received).as_secs_f64();
            context.metrics.first.with_label_values(&["streaming"]).observe(seconds);
            answer.begin(exchange.head.clone()).await.map_err(Stop::CallerGone)?;
        }
        let Some(part) = part else {
            answer.part(&held).await.map_err(Stop::CallerGone)?;
            answer.end().await.map_err(Stop::CallerGone)?;
            exchange.keep();
            return Ok(());
        };
        held.extend_from_slice(&part);
        let Some(end) = events_end(&held) else { continue };
        let events = held.split_to(end);
        if let Some(id) = last_id(&events) {
            progress.last_event = Some(id.into());
        }
        answer.pace.note(context.clock.now(), count_events(&events));
        answer.part(&events).await.map_err(Stop::CallerGone)?;
    }
}

/// The next part of a stream. A connection that something on the way has lost track of falls silent
/// and is never closed; without a limit it would keep its run's memory taken until the deadline.
async fn next_part(inbound: &Inbound, exchange: &mut Exchange<'_>) -> Result<Option<Bytes>, Failure> {
    let limit = if !inbound.route.resumable {
        inbound.route.silence + SILENCE_SLACK
    } else if inbound.route.gap.is_zero() {
        STALLED
    } else {
        inbound.route.gap * STALLED_GAPS
    };
    timeout(limit, exchange.part()).await.unwrap_or(Err(Failure::Late))
}
