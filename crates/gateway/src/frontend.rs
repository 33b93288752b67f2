//! Callers' connections: reads requests, serves them one after the other and writes the responses.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_channel::Sender;
use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    task,
};
use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt as _, future};
use tarragonhill_core::{
    Refusal, Time,
    gateway::{
        catalog::{Catalog, Kind, Limits},
        held::Purpose,
    },
    refusal::Code,
};
use tarragonhill_h1::{
    Connection, Error,
    body::{Decoder, Framing},
    head::Request,
};

use crate::{
    caller::ResponseWriter,
    context::{Context, Inbound, RETRY_ELSEWHERE, ends_too_late},
    edge::Metadata,
    exchange::OVER_BOUND,
    held::Guard,
    identify::identify,
    shutdown::Phase,
    stream, unary,
};

/// How long sent data may stay unacknowledged before the operating system closes a caller's connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum unread bytes buffered while a request is served.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Maximum bytes discarded after the last response.
const MAX_DISCARDED_BYTES: usize = 4 << 20;
/// How long incoming bytes are discarded after the last response. Closing a connection with unread bytes
/// resets it, and the caller may lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a new connection stays open without a request while the gateway shuts down.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum caller connections; leaves file descriptors for connections to endpoints.
const MAX_CONNECTIONS: usize = 3_000;

/// Accepts callers' connections. `open` is dropped once this future and all connections have ended.
pub(crate) async fn accept(context: Arc<Context>, listener: TcpListener, open: Sender<()>) {
    let accepting = accept_until_cancelled(&context, &listener, &open);
    run_until(accepting, context.phases.reached(Phase::Expired)).await;
}

async fn accept_until_cancelled(context: &Arc<Context>, listener: &TcpListener, open: &Sender<()>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("accepting a connection failed", kv: { reason = error.to_string().as_str() });
                context.clock.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.sender_count() > MAX_CONNECTIONS {
            spdlog::warn!("connection limit reached; closing the new connection");
            continue;
        }
        let (context, open) = (context.clone(), open.clone());
        task::spawn(async move {
            // Boxed because the future is too large to be moved into the combinators on the stack.
            let served = Box::pin(serve_connection(&context, stream));
            run_until(served, context.phases.reached(Phase::Ended)).await;
            drop(open);
        });
    }
}

async fn serve_connection(context: &Arc<Context>, stream: TcpStream) {
    let mut connection = Connection::new(stream, TCP_USER_TIMEOUT);
    // A new connection counts as well, because its caller is about to send a request.
    let mut in_flight = Some(InFlight::new(context));
    loop {
        let limits = context.control.catalog().map_or_else(Limits::default, |catalog| catalog.limits());
        let is_new = in_flight.is_some();
        if !wait_for_bytes(context, &mut connection, limits, is_new).await {
            return;
        }
        in_flight.get_or_insert_with(|| InFlight::new(context));
        let head = match read_head(&mut connection, limits).await {
            Ok(head) => head,
            Err(Some(status)) => return reject(&mut connection, status).await,
            Err(None) => return,
        };
        let metadata = context.dialect.decode_metadata(&head);
        let id = metadata.id.clone();
        let mut guard = context.held.guard(Purpose::Request);
        let body = match read_body(&mut connection, &head, limits, &mut guard).await {
            Ok(body) => body,
            Err(Unread::Rejected(status)) => return reject(&mut connection, status).await,
            Err(Unread::OverBound) => return refuse_body(context, &mut connection, id.as_deref()).await,
            Err(Unread::Disconnected) => return,
        };
        let phases = context.phases.clone();
        let mut writer = ResponseWriter::new(connection.stream().clone(), &head, phases, &context.held);
        let cut_guard = CutGuard { context, id: id.clone(), began: context.clock.now(), is_finished: false };
        // Boxed, as it is large and an idle connection needs none of it.
        let serving = Box::pin(serve(context, head, body, metadata, &mut writer));
        let served = run_until(serving, wait_for_close(context, &mut connection)).await;
        cut_guard.finish();
        in_flight = None;
        if served.is_none() {
            spdlog::info!("caller closed its connection", kv: { request = id.as_deref().unwrap_or("-") });
            return;
        }
        if !writer.keeps_alive() {
            if writer.is_complete() {
                linger(&mut connection).await;
            }
            return;
        }
    }
}

/// Counts a request in [`Context::in_flight`] until it is dropped.
struct InFlight<'a>(&'a Context);

impl<'a> InFlight<'a> {
    fn new(context: &'a Context) -> Self {
        context.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(context)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Logs that a request was cut if it is dropped before the request is finished, as at the end of the process.
struct CutGuard<'a> {
    context: &'a Context,
    id: Option<Arc<str>>,
    began: Time,
    is_finished: bool,
}

impl CutGuard<'_> {
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for CutGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let age = self.context.clock.now().since(self.began);
            spdlog::warn!("request cut", kv: {
                request = self.id.as_deref().unwrap_or("-"), age_ms = age.as_millis() as u64
            });
        }
    }
}

/// Waits for the first bytes of a request. Returns false if the connection should be closed. A new connection
/// stays open for longer once idle ones are closed.
async fn wait_for_bytes(
    context: &Context,
    connection: &mut Connection,
    limits: Limits,
    is_new: bool,
) -> bool {
    if connection.buffered() > 0 {
        return true;
    }
    let closing = async {
        context.phases.reached(Phase::Closing).await;
        if is_new {
            let expired = context.phases.reached(Phase::Expired);
            expired.or(context.clock.sleep(FIRST_REQUEST_TIMEOUT)).await;
        }
    };
    let filled = timeout(limits.idle_timeout, run_until(connection.fill(), closing)).await;
    matches!(filled, Ok(Some(Ok(read))) if read > 0)
}

/// Status to respond with; `None` if the connection failed.
type Rejection = Option<u16>;

async fn read_head(connection: &mut Connection, limits: Limits) -> Result<Request, Rejection> {
    let read = timeout(limits.head_timeout, connection.read_request(limits.max_head_bytes)).await;
    let head = read.map_err(|_| Some(408))?.map_err(rejection(431))?;
    let host_count = head.fields.count("host");
    if host_count != 1 || !head.target.starts_with('/') {
        return Err(Some(400));
    }
    Ok(head)
}

fn rejection(too_large: u16) -> impl Fn(Error) -> Rejection {
    move |error| match error {
        Error::Malformed(_) => Some(400),
        Error::TooLarge => Some(too_large),
        Error::Closed | Error::Truncated | Error::TooSlow | Error::Io(_) => None,
    }
}

/// Why a body was not read.
enum Unread {
    /// Status to respond with.
    Rejected(u16),
    /// More would be held than memory allows.
    OverBound,
    /// The connection failed.
    Disconnected,
}

impl From<Rejection> for Unread {
    fn from(rejection: Rejection) -> Self {
        rejection.map_or(Self::Disconnected, Self::Rejected)
    }
}

async fn read_body(
    connection: &mut Connection,
    head: &Request,
    limits: Limits,
    guard: &mut Guard,
) -> Result<Bytes, Unread> {
    let framing = head.framing().map_err(|_| Unread::Rejected(400))?;
    if let Framing::Length(length) = framing {
        if length > limits.max_body_bytes as u64 {
            return Err(Unread::Rejected(413));
        }
        guard.set(length as usize).map_err(|_| Unread::OverBound)?;
    }
    if framing != Framing::Empty && head.fields.has_token("expect", "100-continue") {
        let written = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| Unread::Disconnected)?;
    }
    let read = read_parts(connection, Decoder::new(framing), limits, guard);
    timeout(BODY_TIMEOUT, read).await.map_err(|_| Unread::Rejected(408))?
}

async fn read_parts(
    connection: &mut Connection,
    mut decoder: Decoder,
    limits: Limits,
    guard: &mut Guard,
) -> Result<Bytes, Unread> {
    let mut body = BytesMut::new();
    while let Some(part) = connection.read_part(&mut decoder).await.map_err(rejection(413))? {
        let length = body.len() + part.len();
        if length > limits.max_body_bytes {
            return Err(Unread::Rejected(413));
        }
        guard.grow(length).map_err(|_| Unread::OverBound)?;
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Refuses a request whose body would take too much memory, and closes the connection.
async fn refuse_body(context: &Context, connection: &mut Connection, id: Option<&str>) {
    context.metrics.held_refusals.inc();
    let refusal = Refusal::not_run(Code::Overloaded, OVER_BOUND).with_retry_after(RETRY_ELSEWHERE);
    let mut writer = ResponseWriter::closing(connection.stream().clone());
    refuse(context, &refusal, id, &mut writer).await;
    linger(connection).await;
}

/// Responds to an invalid request and closes the connection.
async fn reject(connection: &mut Connection, status: u16) {
    spdlog::info!("request rejected", kv: { status });
    let head = tarragonhill_h1::head::Response::new(status);
    let mut writer = ResponseWriter::closing(connection.stream().clone());
    if writer.write_whole(head, b"", Framing::Empty).await.is_ok() {
        linger(connection).await;
    }
}

/// Shuts down the write side and discards incoming bytes for a short time.
async fn linger(connection: &mut Connection) {
    let _ = connection.stream().shutdown(std::net::Shutdown::Write);
    let drain = async {
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES && matches!(connection.fill().await, Ok(read) if read > 0) {
            discarded += connection.discard();
        }
    };
    let _ = timeout(LINGER_TIMEOUT, drain).await;
}

/// Completes once the caller has closed its connection. Pipelined requests are buffered up to a limit, beyond
/// which a disconnection is no longer detected.
async fn wait_for_close(context: &Context, connection: &mut Connection) {
    let mut guard = context.held.guard(Purpose::ReadAhead);
    loop {
        let buffered = connection.buffered();
        if buffered > MAX_READ_AHEAD_BYTES || guard.set(buffered).is_err() {
            return std::future::pending().await;
        }
        match connection.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

async fn serve(
    context: &Arc<Context>,
    head: Request,
    body: Bytes,
    metadata: Metadata,
    writer: &mut ResponseWriter,
) {
    let id = metadata.id.clone();
    let received = context.clock.now();
    context.control.wait_initialized(&context.clock).await;
    let catalog = context.control.catalog();
    let is_stale = context.control.is_stale();
    let inbound = match identify(catalog.as_deref(), is_stale, head, body, metadata, received) {
        Ok(inbound) => inbound,
        Err(refusal) => return refuse(context, &refusal, id.as_deref(), writer).await,
    };
    let expired = || context.phases.reached(Phase::Expired);
    let admitted = run_until(context.control.admit(inbound.admission.clone()), expired()).await;
    match admitted.unwrap_or_else(|| Err(ends_too_late())) {
        Ok(admitted) => inbound.record_admitted(admitted),
        Err(refusal) => return refuse(context, &refusal, id.as_deref(), writer).await,
    }
    log_admission(&inbound, catalog.as_deref());
    let _retries = Retries { context, inbound: &inbound };
    let limit = inbound.deadline.since(context.clock.now());
    let begun = writer.begun();
    let failing = async {
        expired().await;
        // A response that has begun may still end before the process does.
        if begun.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    };
    let handled = run_until(Box::pin(handle(context, &inbound, writer)), failing);
    let served = timeout(limit, handled).await;
    let refusal = match served {
        Ok(Some(Ok(()))) => None,
        Ok(Some(Err(refusal))) => {
            let refusal = correct_not_run(&inbound, refusal);
            // Sending to an endpoint has the same deadline, and either timeout may fire first.
            let is_timeout = !refusal.not_run && context.clock.now() >= inbound.deadline;
            Some(if is_timeout { deadline_exceeded(&inbound) } else { refusal })
        }
        Ok(None) => Some(correct_not_run(&inbound, ends_too_late())),
        Err(_) => Some(deadline_exceeded(&inbound)),
    };
    match refusal {
        Some(refusal) if writer.is_unsent() => {
            if refusal.not_run {
                context.control.refund(inbound.admission.clone());
            }
            refuse(context, &refusal, id.as_deref(), writer).await;
        }
        Some(refusal) => {
            stream::log_cut(context, &inbound, writer, &refusal.message);
        }
        None => {}
    }
    log_end(context, &inbound, writer);
}

async fn handle(
    context: &Arc<Context>,
    inbound: &Inbound,
    writer: &mut ResponseWriter,
) -> Result<(), Refusal> {
    match inbound.route.kind {
        Kind::Streaming => {
            let served = stream::serve(context, inbound, writer).await;
            // What was kept of a stream that is cut is still good.
            let _ = writer.flush().await;
            served
        }
        Kind::Idempotent | Kind::NonIdempotent => unary::serve(context, inbound, writer).await,
    }
}

/// Corrects a not-run refusal if any endpoint may have run the request. The refusal describes only the last
/// attempt; an earlier or concurrent one may have run although its response was lost.
fn correct_not_run(inbound: &Inbound, refusal: Refusal) -> Refusal {
    if refusal.not_run && inbound.may_have_run() {
        return Refusal::may_have_run(Code::OutcomeUnknown, refusal.message);
    }
    refusal
}

fn deadline_exceeded(inbound: &Inbound) -> Refusal {
    if inbound.may_have_run() {
        return Refusal::may_have_run(Code::Timeout, "no response before the deadline");
    }
    Refusal::not_run(Code::Overloaded, "no placement before the deadline")
}

async fn refuse(context: &Context, refusal: &Refusal, id: Option<&str>, writer: &mut ResponseWriter) {
    let code: &'static str = refusal.code.into();
    context.metrics.refusals.with_label_values(&[code]).inc();
    let (head, body) = context.dialect.encode_refusal(refusal, id);
    let written = writer.write_whole(head, &body, Framing::Length(body.len() as u64)).await;
    spdlog::info!("request refused", kv: {
        request = id.unwrap_or("-"), code, status = writer.status, not_run = refusal.not_run,
        reason = refusal.message.as_str(), told = written.is_ok(),
        retry_after_ms = refusal.retry_after.map_or(0, |span| span.as_millis() as u64)
    });
}

fn log_admission(inbound: &Inbound, catalog: Option<&Catalog>) {
    if let Some(resume) = &inbound.metadata.resume {
        spdlog::info!("stream resumed by its caller", kv: {
            request = inbound.id(), stream = resume.stream.as_deref().unwrap_or(""),
            after = resume.last_event.as_deref().unwrap_or("")
        });
    }
    spdlog::info!("request admitted", kv: {
        request = inbound.id(), route = &*inbound.route.name, customer = inbound.customer_name().unwrap_or(""),
        priority = inbound.priority(), tokens = inbound.admission.tokens, trial = inbound.is_trial(), version = catalog.map_or(0, Catalog::version),
        left_ms = inbound.deadline.since(inbound.received).as_millis() as u64
    });
}

/// Settles the charges of a request when it ends, also if it is cancelled because its caller has disconnected.
struct Retries<'a> {
    context: &'a Context,
    inbound: &'a Inbound,
}

impl Drop for Retries<'_> {
    fn drop(&mut self) {
        self.inbound.end_trial(self.context);
        log_retries(self.context, self.inbound);
        let remainder = self.inbound.ledger().remainder();
        self.context.control.end_retries(self.inbound.service(), remainder);
    }
}

/// Logs the messages of a request that was sent more than once, and what was charged for them.
fn log_retries(context: &Context, inbound: &Inbound) {
    let (sends, charged, pending) = {
        let ledger = inbound.ledger();
        (ledger.sends(), ledger.charged(), ledger.remainder().pending.len())
    };
    let retries = sends.retries();
    if retries == 0 && charged == 0 {
        return;
    }
    context.metrics.retries.with_label_values(&[inbound.service()]).inc_by(retries.into());
    spdlog::info!("request retried", kv: {
        request = inbound.id(), service = &**inbound.service(), prefills = sends.prefills(), runs = sends.runs(),
        retries, charged, pending
    });
}

fn log_end(context: &Context, inbound: &Inbound, writer: &ResponseWriter) {
    let kind = inbound.route.kind.to_string();
    let status = writer.status.to_string();
    context.metrics.requests.with_label_values(&[kind.as_str(), status.as_str()]).inc();
    let took = context.clock.now().since(inbound.received);
    let tokens = inbound.metadata.tokens.unwrap_or_default();
    if writer.timing.events > 0 {
        context.metrics.longest_gaps.observe(writer.timing.longest_gap.as_secs_f64());
    }
    spdlog::info!("request ended", kv: {
        request = inbound.id(), route = &*inbound.route.name, customer = inbound.customer_name().unwrap_or(""),
        status = writer.status, whole = writer.is_complete(), ms = took.as_millis() as u64,
        prompt = tokens.prompt, output = tokens.output, expected = tokens.expected.unwrap_or(0),
        events = writer.timing.events, first_ms = writer.timing.time_to_first(inbound.received).as_millis() as u64,
        longest_gap_ms = writer.timing.longest_gap.as_millis() as u64
    });
}

/// Runs `work` to its end, or returns `None` if `until` completes first.
async fn run_until<T>(work: impl Future<Output = T>, until: impl Future<Output = ()>) -> Option<T> {
    let work = async { Some(work.await) };
    let until = async {
        until.await;
        None
    };
    future::or(work, until).await
}
