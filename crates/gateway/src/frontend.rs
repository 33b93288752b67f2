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
use bytes::Bytes;
use futures_lite::{AsyncWriteExt as _, future};
use tarragonhill_core::{
    Clock, Refusal, Time,
    gateway::{
        catalog::{Catalog, Kind, Limits},
        connections,
    },
    refusal::Code,
};
use tarragonhill_h1::{body::Framing, head::Request};

use crate::{
    caller::ResponseWriter,
    client::{Client, Clients},
    context::{Context, Inbound, RETRY_ELSEWHERE, ends_too_late, logged},
    edge::Metadata,
    identify::{check, identify},
    reader::{Reader, Unread},
    shutdown::Phase,
    stream, unary,
};

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Response to a request that has not been read whole when its connection is evicted.
const EVICTED: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Accepts callers' connections. `open` is dropped once this future and all connections have ended.
pub(crate) async fn accept(context: Arc<Context>, listener: TcpListener, open: Sender<()>) {
    let accepting = accept_until_cancelled(&context, &listener, &open);
    run_until(accepting, context.phases.reached(Phase::Expired)).await;
}

async fn accept_until_cancelled(context: &Arc<Context>, listener: &TcpListener, open: &Sender<()>) {
    loop {
        let (stream, client) = accept_one(&context.clock, listener, &context.callers).await;
        let (context, open) = (context.clone(), open.clone());
        task::spawn(async move {
            // Boxed because the future is too large to be moved into the combinators on the stack.
            let served = Box::pin(serve_connection(&context, stream.clone(), client.clone()));
            let served = run_until(served, context.phases.reached(Phase::Ended));
            let evicted = run_until(served, client.evicted()).await.is_none();
            if evicted && client.is_receiving() {
                let _ = future::poll_once((&stream).write(EVICTED)).await;
            }
            drop(open);
        });
    }
}

/// Accepts a connection that has a place.
pub(crate) async fn accept_one(
    clock: &Clock,
    listener: &TcpListener,
    clients: &Arc<Clients>,
) -> (TcpStream, Arc<Client>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(client) = clients.open() {
                    return (stream, Arc::new(client));
                }
            }
            Err(error) => {
                spdlog::warn!("accepting a connection failed", kv: { reason = error.to_string().as_str() });
                clock.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(context: &Arc<Context>, stream: TcpStream, client: Arc<Client>) {
    let mut reader = Reader::new(context, stream, client.clone());
    // A new connection counts as well, because its caller is about to send a request.
    let mut in_flight = Some(InFlight::new(context));
    loop {
        let limits = context.control.catalog().map_or_else(Limits::default, |catalog| catalog.limits());
        let is_new = in_flight.is_some();
        if !reader.wait_for_bytes(limits, is_new).await {
            return;
        }
        in_flight.get_or_insert_with(|| InFlight::new(context));
        let (head, metadata, body) = match read_request(context, &mut reader, limits).await {
            Ok(request) => request,
            Err(Unread::Rejected(status)) => return reader.reject(status).await,
            Err(Unread::Refused(refusal, id)) => {
                return refuse_unread(context, &mut reader, &refusal, id).await;
            }
            Err(Unread::Disconnected) => return,
        };
        let id = metadata.id.clone();
        let phases = context.phases.clone();
        let stream = reader.stream().clone();
        let mut writer = ResponseWriter::new(stream, &head, phases, &context.held, client.clone());
        let cut_guard = CutGuard { context, id: id.clone(), began: context.clock.now(), is_finished: false };
        // Boxed, as it is large and an idle connection needs none of it.
        let serving = Box::pin(serve(context, &client, head, body, metadata, &mut writer));
        let served = run_until(serving, reader.wait_for_close()).await;
        cut_guard.finish();
        in_flight = None;
        if served.is_none() {
            spdlog::info!("caller closed its connection", kv: { request = logged(id.as_deref()) });
            return;
        }
        if (200..300).contains(&writer.status) {
            client.record_served();
        }
        reader.end_request();
        if !writer.keeps_alive() {
            if writer.is_complete() {
                reader.linger().await;
            }
            return;
        }
    }
}

/// Reads a request. One that would be refused anyway is refused before its body is read.
async fn read_request(
    context: &Context,
    reader: &mut Reader<'_>,
    limits: Limits,
) -> Result<(Request, Metadata, Bytes), Unread> {
    let head = reader.read_head(limits).await?;
    let metadata = context.dialect.decode_metadata(&head);
    let framing = head.framing().map_err(|_| Unread::Rejected(400))?;
    if !reader.has_received(framing) {
        context.control.wait_initialized(&context.clock).await;
        let catalog = context.control.catalog();
        check(catalog.as_deref(), context.control.is_stale(), &head, &metadata)
            .map_err(|refusal| Unread::Refused(refusal, metadata.id.clone()))?;
    }
    let time = metadata.timeout.unwrap_or_default();
    let body = reader.read_body(&head, framing, limits, time).await.map_err(|unread| match unread {
        // The request is named in the refusal.
        Unread::Refused(refusal, _) => Unread::Refused(refusal, metadata.id.clone()),
        unread => unread,
    })?;
    Ok((head, metadata, body))
}

/// Refuses a request that has not been read whole, and closes the connection.
async fn refuse_unread(context: &Context, reader: &mut Reader<'_>, refusal: &Refusal, id: Option<Arc<str>>) {
    let mut writer = ResponseWriter::closing(reader.stream().clone());
    reader.end_request();
    refuse(context, refusal, id.as_deref(), &mut writer).await;
    reader.linger().await;
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
                request = logged(self.id.as_deref()), age_ms = age.as_millis() as u64
            });
        }
    }
}

async fn serve(
    context: &Arc<Context>,
    client: &Client,
    head: Request,
    body: Bytes,
    metadata: Metadata,
    writer: &mut ResponseWriter,
) {
    let id = metadata.id.clone();
    let received = context.clock.now();
    // The response may begin from now on.
    client.enter(connections::Phase::Idle);
    context.control.wait_initialized(&context.clock).await;
    let catalog = context.control.catalog();
    let is_stale = context.control.is_stale();
    let inbound = match identify(catalog.as_deref(), is_stale, head, body, metadata, received) {
        Ok(inbound) => inbound,
        Err(refusal) => return refuse(context, &refusal, id.as_deref(), writer).await,
    };
    if !client.begin_serving() {
        return refuse(context, &too_many(), id.as_deref(), writer).await;
    }
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

/// Returns the refusal of a request beyond the number that is served at once.
fn too_many() -> Refusal {
    Refusal::not_run(Code::Overloaded, "too many requests are being served").with_retry_after(RETRY_ELSEWHERE)
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
        request = logged(id), code, status = writer.status, not_run = refusal.not_run,
        reason = refusal.message.as_str(), told = written.is_ok(),
        retry_after_ms = refusal.retry_after.map_or(0, |span| span.as_millis() as u64)
    });
}

fn log_admission(inbound: &Inbound, catalog: Option<&Catalog>) {
    if let Some(resume) = &inbound.metadata.resume {
        spdlog::info!("stream resumed by its caller", kv: {
            request = inbound.id(), stream = logged(Some(resume.stream.as_deref().unwrap_or(""))),
            after = logged(Some(resume.last_event.as_deref().unwrap_or("")))
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
pub(crate) async fn run_until<T>(
    work: impl Future<Output = T>,
    until: impl Future<Output = ()>,
) -> Option<T> {
    let work = async { Some(work.await) };
    let until = async {
        until.await;
        None
    };
    future::or(work, until).await
}
