//! Callers' connections: requests are read one after the other, served, and answered.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_channel::Receiver;
use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    task,
};
use bytes::Bytes;
use futures_lite::future;
use tarragonhill_core::{
    Refusal,
    gateway::catalog::{Catalog, Kind, Limits},
    refusal::Code,
};
use tarragonhill_h1::{
    Connection, Error,
    body::{Decoder, Framing},
    head::Request,
};

use crate::{
    answer::Answer,
    context::{Context, Inbound},
    edge::Call,
    identify::identify,
    stream, whole,
};

/// Bytes to a caller may stay unacknowledged this long before the connection counts as dead.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for a body: callers send some kilobytes.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Bytes that a caller may send ahead while it waits for an answer.
const MOST_AHEAD: usize = 64 << 10;
/// How long a refused sender may go on sending: a connection closed with unread bytes is reset, and
/// the answer is lost with it.
const LINGER: Duration = Duration::from_millis(500);
/// Pause after an accept that failed: descriptors may have run out, and come free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Most connections of callers: of about 3,900 descriptors, most for callers, some for endpoints.
const MOST_CONNECTIONS: usize = 3_000;

/// Takes callers' connections for ever. Dropping the sender of `closing` ends the idle ones.
pub(crate) async fn accept(context: Arc<Context>, listener: TcpListener, closing: Receiver<()>) {
    let open = Arc::new(());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("no connection accepted", kv: { reason = error.to_string().as_str() });
                context.clock.sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if Arc::strong_count(&open) > MOST_CONNECTIONS {
            spdlog::warn!("connection closed: too many are open");
            continue;
        }
        let (context, closing, counted) = (context.clone(), closing.clone(), open.clone());
        task::spawn(async move {
            converse(&context, stream, &closing).await;
            drop(counted);
        });
    }
}

async fn converse(context: &Arc<Context>, stream: TcpStream, closing: &Receiver<()>) {
    let mut connection = Connection::new(stream, CALLER_TIMEOUT);
    loop {
        let limits = context.control.catalog().map_or_else(Limits::default, |catalog| catalog.limits());
        if !wait_for_bytes(&mut connection, limits, closing).await {
            return;
        }
        let head = match read_head(&mut connection, limits).await {
            Ok(head) => head,
            Err(Some(status)) => return reject(&mut connection, status).await,
            Err(None) => return,
        };
        let body = match read_body(&mut connection, &head, limits).await {
            Ok(body) => body,
            Err(Some(status)) => return reject(&mut connection, status).await,
            Err(None) => return,
        };
        let close = !head.keeps_alive() || context.is_stopping();
        let mut answer = Answer::new(connection.stream().clone(), &head.method, head.minor, close);
        context.running.fetch_add(1, Ordering::Relaxed);
        let call = context.dialect.call(&head);
        let id = call.id.clone();
        let served = unless(serve(context, head, body, call, &mut answer), gone(&mut connection)).await;
        context.running.fetch_sub(1, Ordering::Relaxed);
        if served.is_none() {
            spdlog::info!("caller left", kv: { request = id.as_deref().unwrap_or("-") });
            return;
        }
        if !answer.keeps_alive() {
            if answer.is_whole() {
                linger(&mut connection).await;
            }
            return;
        }
    }
}

/// Waits for the first bytes of a request; false if the connection is to end.
async fn wait_for_bytes(connection: &mut Connection, limits: Limits, closing: &Receiver<()>) -> bool {
    if connection.buffered() > 0 {
        return true;
    }
    let closed = async {
        // Nothing is ever sent: only the end of the channel is waited for.
        let _ = closing.recv().await;
    };
    let filled = timeout(limits.idle, unless(connection.fill(), closed)).await;
    matches!(filled, Ok(Some(Ok(read))) if read > 0)
}

type Rejection = Option<u16>;

async fn read_head(connection: &mut Connection, limits: Limits) -> Result<Request, Rejection> {
    let read = timeout(limits.head_time, connection.read_request(limits.head)).await;
    let head = read.map_err(|_| Some(408))?.map_err(rejection(431))?;
    let hosts = head.fields.count("host");
    if hosts != 1 || !head.target.starts_with('/') {
        return Err(Some(400));
    }
    Ok(head)
}

fn rejection(too_large: u16) -> impl Fn(Error) -> Rejection {
    move |error| match error {
        Error::Malformed(_) => Some(400),
        Error::TooLarge => Some(too_large),
        Error::Closed | Error::Truncated | Error::Io(_) => None,
    }
}

async fn read_body(connection: &mut Connection, head: &Request, limits: Limits) -> Result<Bytes, Rejection> {
    let framing = head.framing().map_err(|_| Some(400))?;
    if matches!(framing, Framing::Length(length) if length > limits.body as u64) {
        return Err(Some(413));
    }
    if framing != Framing::Empty && head.fields.has_token("expect", "100-continue") {
        let written = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| None)?;
    }
    let mut decoder = Decoder::new(framing);
    let read = timeout(BODY_LIMIT, connection.read_body(&mut decoder, limits.body)).await;
    read.map_err(|_| Some(408))?.map_err(rejection(413))
}

/// Answers what is no request, and ends the connection.
async fn reject(connection: &mut Connection, status: u16) {
    spdlog::info!("request rejected", kv: { status });
    let head = tarragonhill_h1::head::Response::new(status);
    let mut answer = Answer::new(connection.stream().clone(), "", 1, true);
    if answer.whole(head, b"").await.is_ok() {
        linger(connection).await;
    }
}

/// Ends the sending side and reads on for a moment.
async fn linger(connection: &mut Connection) {
    let _ = connection.stream().shutdown(std::net::Shutdown::Write);
    let drain = async {
        while connection.buffered() < MOST_AHEAD && matches!(connection.fill().await, Ok(read) if read > 0) {}
    };
    let _ = timeout(LINGER, drain).await;
}

/// Completes once the caller has closed its connection.
async fn gone(connection: &mut Connection) {
    loop {
        if connection.buffered() > MOST_AHEAD {
            return std::future::pending().await;
        }
        match connection.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

async fn serve(context: &Arc<Context>, head: Request, body: Bytes, call: Call, answer: &mut Answer) {
    let id = call.id.clone();
    let received = context.clock.now();
    context.control.informed(&context.clock).await;
    let catalog = context.control.catalog();
    let is_behind = context.control.is_behind();
    let inbound = match identify(catalog.as_deref(), is_behind, head, body, call, received) {
        Ok(inbound) => inbound,
        Err(refusal) => return refuse(context, &refusal, id.as_deref(), answer).await,
    };
    if let Err(refusal) = context.control.admit(inbound.admission.clone()).await {
        return refuse(context, &refusal, id.as_deref(), answer).await;
    }
    log_admission(&inbound, catalog.as_deref());
    let limit = inbound.ends.since(context.clock.now());
    let served = timeout(limit, carry(context, &inbound, answer)).await;
    let served = served.map(|served| served.map_err(|refusal| truthful(&inbound, refusal)));
    let refusal = match served {
        Ok(Ok(())) => None,
        // A wait at an endpoint ends at the same moment as ours; whichever is seen first.
        Ok(Err(refusal)) if !refusal.not_run && context.clock.now() >= inbound.ends => {
            Some(out_of_time(&inbound))
        }
        Ok(Err(refusal)) => Some(refusal),
        Err(_) => Some(out_of_time(&inbound)),
    };
    match refusal {
        Some(refusal) if answer.is_open() => {
            if refusal.not_run {
                context.control.give_back(inbound.admission.clone());
            }
            refuse(context, &refusal, id.as_deref(), answer).await;
        }
        Some(refusal) => {
            spdlog::warn!("stream cut", kv: { request = inbound.id(), reason = refusal.message.as_str() });
        }
        None => {}
    }
    log_end(context, &inbound, answer);
}

async fn carry(context: &Arc<Context>, inbound: &Inbound, answer: &mut Answer) -> Result<(), Refusal> {
    match inbound.route.kind {
        Kind::Streaming => stream::serve(context, inbound, answer).await,
        Kind::Idempotent | Kind::NonIdempotent => whole::serve(context, inbound, answer).await,
    }
}

/// A refusal says "not run" of the whole request. Whoever refuses a further try knows only of that one:
/// an endpoint before it, or beside it, may have run the request and lost the answer.
fn truthful(inbound: &Inbound, refusal: Refusal) -> Refusal {
    if refusal.not_run && inbound.may_have_run() {
        return Refusal::may_have_run(Code::OutcomeUnknown, refusal.message);
    }
    refusal
}

fn out_of_time(inbound: &Inbound) -> Refusal {
    if inbound.may_have_run() {
        return Refusal::may_have_run(Code::Timeout, "no answer in time");
    }
    Refusal::not_run(Code::Overloaded, "no place in time")
}

async fn refuse(context: &Context, refusal: &Refusal, id: Option<&str>, answer: &mut Answer) {
    let code: &'static str = refusal.code.into();
    context.metrics.refusals.with_label_values(&[code]).inc();
    let (head, body) = context.dialect.refuse(refusal, id);
    let written = answer.whole(head, &body).await;
    spdlog::info!("request refused", kv: {
        request = id.unwrap_or("-"), code, status = answer.status, not_run = refusal.not_run,
        reason = refusal.message.as_str(), told = written.is_ok(),
        retry_after_ms = refusal.retry_after.map_or(0, |span| span.as_millis() as u64)
    });
}

fn log_admission(inbound: &Inbound, catalog: Option<&Catalog>) {
    spdlog::info!("request admitted", kv: {
        request = inbound.id(), route = &*inbound.route.name, customer = inbound.customer_name().unwrap_or(""),
        tokens = inbound.admission.tokens, version = catalog.map_or(0, Catalog::version),
        left_ms = inbound.ends.since(inbound.received).as_millis() as u64
    });
}

fn log_end(context: &Context, inbound: &Inbound, answer: &Answer) {
    let kind = inbound.route.kind.to_string();
    let status = answer.status.to_string();
    context.metrics.requests.with_label_values(&[kind.as_str(), status.as_str()]).inc();
    let took = context.clock.now().since(inbound.received);
    let tokens = inbound.call.tokens.unwrap_or_default();
    if answer.pace.events > 0 {
        context.metrics.gaps.observe(answer.pace.longest_gap.as_secs_f64());
    }
    spdlog::info!("request ended", kv: {
        request = inbound.id(), route = &*inbound.route.name, customer = inbound.customer_name().unwrap_or(""),
        status = answer.status, whole = answer.is_whole(), ms = took.as_millis() as u64,
        prompt = tokens.prompt, output = tokens.output, expected = tokens.expected.unwrap_or(0),
        events = answer.pace.events, first_ms = answer.pace.first_after(inbound.received).as_millis() as u64,
        longest_gap_ms = answer.pace.longest_gap.as_millis() as u64
    });
}

/// Runs `work`, or tells that `until` came first.
async fn unless<T>(work: impl Future<Output = T>, until: impl Future<Output = ()>) -> Option<T> {
    let work = async { Some(work.await) };
    let until = async {
        until.await;
        None
    };
    future::or(work, until).await
}
