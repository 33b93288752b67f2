//! One request and its response at one endpoint.

use std::{
    fmt,
    future::Future,
    io,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context as TaskContext, Poll},
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream};
use bytes::Bytes;
use futures_lite::{AsyncWriteExt as _, future::poll_fn};
use tarragonhill_core::{
    Clock,
    gateway::{
        directory::{Endpoint, Stage},
        health::Outcome,
        held::Purpose,
    },
};
use tarragonhill_h1::{
    Connection, Error, Malformed,
    body::{Decoder, Framing},
    connection::Search,
    head::{Request, Response},
};

use crate::{
    body::Body,
    control::{Block, Control},
    edge::{Dialect, Message, Reply},
    held::{Guard, Held},
    pool::Pool,
};

/// Timeout for opening a connection; longer than the first TCP retransmission, which follows after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long sent data may stay unacknowledged before the operating system closes a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for a turn at an endpoint that takes only few requests. Placements keep the same interval, so turns are
/// rarely taken.
const MAX_TURN_WAIT: Duration = Duration::from_millis(600);
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time from the first byte of a head to its end. Endpoints send heads whole.
const HEAD_TIME: Duration = Duration::from_secs(2);
/// Limit on the body of a response that is relayed.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Limit on the body of a response to a message of the gateway's own.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Limits on a body that is only read so that its connection can be reused.
const MAX_SKIPPED_BYTES: usize = 64 << 10;
const SKIP_TIME: Duration = Duration::from_millis(250);
/// Time for the body of a response to another request.
const UNRELATED_BODY_TIME: Duration = Duration::from_secs(2);
/// Maximum responses skipped on one connection because they belong to other requests or are informational.
const MAX_SKIPPED_RESPONSES: u32 = 2;

/// An endpoint that accepts no byte of a request for this long counts as hanging.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Shorter bodies are written together with their head.
const MIN_SEPARATE_BODY_BYTES: usize = 16 << 10;

/// Reason of refusals for lack of a retry.
pub(crate) const OVER_BUDGET: &str = "the retry budget is used up";

/// Reason of failures for lack of memory.
pub(crate) const OVER_BOUND: &str = "more is held than the memory of the gateway allows";

/// Why an exchange failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Nothing may be sent to the endpoint at the moment, and nothing was.
    Blocked(Block),
    /// The retry budget is used up; nothing was sent.
    OverBudget,
    /// No connection could be opened; nothing was sent.
    Connect(io::Error),
    /// The connection failed after the request was sent; the request may have run.
    Connection(Error),
    /// The response is invalid or belongs to another request; the request may have run.
    InvalidResponse(&'static str),
    /// No response arrived in time; the request may have run.
    Timeout,
}

impl Failure {
    /// Returns whether the endpoint may read the request later. It will not once it has closed the connection.
    pub(crate) fn is_pending(&self) -> bool {
        match self {
            Self::Timeout => true,
            Self::Connection(Error::Io(error)) => error.kind() == io::ErrorKind::TimedOut,
            Self::Blocked(_) | Self::OverBudget | Self::Connect(_) => false,
            Self::Connection(_) | Self::InvalidResponse(_) => false,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Blocked(block) => write!(f, "{block}"),
            Self::OverBudget => f.write_str(OVER_BUDGET),
            Self::Connect(error) => write!(f, "connecting failed: {error}"),
            Self::Connection(error) => write!(f, "{error}"),
            Self::InvalidResponse(why) => write!(f, "invalid response: {why}"),
            Self::Timeout => f.write_str("response timed out"),
        }
    }
}

/// A response that has been read whole.
pub(crate) struct Answer {
    pub(crate) head: Response,
    pub(crate) reply: Reply,
    pub(crate) body: Bytes,
    /// Framing of the body.
    pub(crate) framing: Framing,
    /// Counts the body as held.
    _guard: Guard,
}

/// How much of a body is read, and for how long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bound {
    bytes: usize,
    time: Duration,
}

impl Bound {
    /// Returns the bound on a response that is relayed.
    pub(crate) fn response(time: Duration) -> Self {
        Self { bytes: MAX_BODY_BYTES, time }
    }

    /// Returns the bound on a response to a message of the gateway's own.
    pub(crate) fn message(time: Duration) -> Self {
        Self { bytes: MAX_MESSAGE_BYTES, time }
    }
}

/// Exchange whose response head has been read.
pub(crate) struct Exchange<'a> {
    pub(crate) head: Response,
    /// Decoded fields of the head.
    pub(crate) reply: Reply,
    /// Framing of the body.
    pub(crate) framing: Framing,
    line: Line,
    decoder: Decoder,
    /// Whether the whole request was written. Otherwise the connection cannot be reused: the endpoint would
    /// read the next request as the rest of this one.
    is_sent: bool,
    /// Whether writing the request failed. The operating system tells of a reset only once, so that reading may then seem to come to
    /// a regular end of the connection.
    has_write_failed: bool,
    endpoint: &'a Endpoint,
    pool: &'a Pool,
    held: &'a Arc<Held>,
}

impl Exchange<'_> {
    /// Returns whether a different endpoint now listens at the address and refused the request.
    pub(crate) fn is_replaced(&self) -> bool {
        is_replaced(&self.head, &self.reply, self.endpoint)
    }

    /// Reads the next chunk of the body; `None` at its regular end.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        let part = self.line.connection.read_part(&mut self.decoder).await.map_err(Failure::Connection)?;
        if part.is_none() && self.has_write_failed && self.framing == Framing::UntilClose {
            return Err(Failure::Connection(Error::Truncated));
        }
        Ok(part)
    }

    /// Reads the whole body within a bound and returns the connection to the pool. Bytes that are no response may come without
    /// an end.
    pub(crate) async fn read_whole(self, bound: Bound) -> Result<Answer, Failure> {
        timeout(bound.time, self.read_up_to(bound.bytes)).await.unwrap_or(Err(Failure::Timeout))
    }

    async fn read_up_to(mut self, limit: usize) -> Result<Answer, Failure> {
        if matches!(self.framing, Framing::Length(length) if length > limit as u64) {
            return Err(Failure::Connection(Error::TooLarge));
        }
        let mut guard = self.held.guard(Purpose::Response);
        let mut body = Body::framed(self.framing, limit);
        while let Some(part) = self.next_chunk().await? {
            let length = body.len() + part.len();
            if length > limit {
                return Err(Failure::Connection(Error::TooLarge));
            }
            guard.set(body.memory(length)).map_err(|_| Failure::InvalidResponse(OVER_BOUND))?;
            body.reserve(length).map_err(|_| Failure::InvalidResponse(OVER_BOUND))?;
            body.append(&part);
        }
        let answer = Answer {
            head: self.head.clone(),
            reply: self.reply.clone(),
            body: body.finish(),
            framing: self.framing,
            _guard: guard,
        };
        self.recycle();
        Ok(answer)
    }

    /// Discards the rest of a body, if it is short, and returns the connection to the pool.
    pub(crate) async fn skip(mut self) {
        let skipped = self.line.connection.skip_body(&mut self.decoder, MAX_SKIPPED_BYTES);
        if let Ok(Ok(())) = timeout(SKIP_TIME, skipped).await {
            self.recycle();
        }
    }

    /// Returns a guard for what is held of the response.
    pub(crate) fn guard(&self) -> Guard {
        self.held.guard(Purpose::Response)
    }

    /// Returns the connection to the pool if it can carry another request.
    pub(crate) fn recycle(self) {
        if self.is_sent && self.decoder.is_done() && self.head.keeps_alive() {
            self.pool.put(self.endpoint, self.line, self.reply.keep_alive);
        }
    }

    /// Reads the whole body and returns it with the connection, if that can carry another request.
    async fn into_body(mut self) -> Result<(Bytes, Option<Line>), Failure> {
        let body = self.line.connection.read_body(&mut self.decoder, MAX_MESSAGE_BYTES).await;
        let body = body.map_err(Failure::Connection)?;
        let is_reusable = self.is_sent && self.decoder.is_done() && self.head.keeps_alive();
        Ok((body, is_reusable.then_some(self.line)))
    }
}

/// Which process of an endpoint may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recipient {
    /// Any that has the endpoint's id.
    Any,
    /// The one that is listed, whose software version is known.
    Listed,
}

/// What responses without a request id a connection has carried. An endpoint may send each response a second time, late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Unnamed {
    /// None.
    None,
    /// None that refused.
    Success,
    /// One that refused. A second one looks like the refusal of a later request.
    Refusal,
}

impl Unnamed {
    fn of(response: &Response, reply: &Reply) -> Self {
        match &reply.id {
            Some(_) => Self::None,
            None if response.status >= 400 => Self::Refusal,
            None => Self::Success,
        }
    }
}

/// A connection to an endpoint.
#[derive(Debug)]
pub(crate) struct Line {
    pub(crate) connection: Connection,
    /// Whether it certainly leads to the process that is listed.
    pub(crate) is_listed: bool,
    pub(crate) unnamed: Unnamed,
}

/// How a response relates to the request that was sent last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relation {
    /// It belongs to the request.
    Own,
    /// It is informational, or belongs to an earlier request on the connection.
    Other,
    /// It has no request id or several ones, and nothing tells what it belongs to.
    Unknown,
}

/// Returns how a response relates to a request with this id. Endpoints echo ids, but may refuse without one.
fn relation(response: &Response, reply: &Reply, id: Option<&str>, unnamed: Unnamed) -> Relation {
    match (id, reply.id.as_deref()) {
        _ if response.status < 200 => Relation::Other,
        (Some(id), Some(named)) if named == id => Relation::Own,
        (Some(id), Some(named)) if named.split(", ").any(|part| part == id) => Relation::Unknown,
        (_, Some(_)) => Relation::Other,
        (None, None) => Relation::Own,
        // Requests with an id are sent on no connection that has carried another refusal without one.
        (Some(_), None) if response.status >= 400 => Relation::Own,
        (Some(_), None) if unnamed == Unnamed::Success => Relation::Other,
        (Some(_), None) => Relation::Unknown,
    }
}

/// Sends requests to endpoints over pooled connections.
#[derive(Clone, Copy)]
pub(crate) struct Client<'a> {
    pub(crate) pool: &'a Pool,
    pub(crate) dialect: &'a dyn Dialect,
    pub(crate) control: &'a Control,
    pub(crate) clock: &'a Clock,
    pub(crate) held: &'a Arc<Held>,
}

impl<'a> Client<'a> {
    /// Sends a request and waits for the response head, for at most `limit`. `id` is the request id that
    /// the response must carry. `is_written` is set before the first byte is written.
    pub(crate) async fn send(
        self,
        endpoint: &'a Endpoint,
        head: &Request,
        body: &[u8],
        id: Option<&str>,
        recipient: Recipient,
        limit: Duration,
        is_written: &AtomicBool,
    ) -> Result<Exchange<'a>, Failure> {
        let (began, sent_at) = (Instant::now(), self.clock.now());
        let check = || {
            self.control
                .block(self.clock.now(), endpoint)
                .map_or(Ok(()), |block| Err(Failure::Blocked(block)))
        };
        check()?;
        let needs_listed = recipient == Recipient::Listed && endpoint.started_ms > 0;
        // A second answer to an unnamed refusal could be taken for the answer to a request of a caller.
        let max_unnamed = if id.is_some() { Unnamed::Success } else { Unnamed::Refusal };
        let line = match self.pool.take(endpoint, max_unnamed).await {
            Some(line) if line.is_listed || !needs_listed => line,
            Some(line) => match self.identify(endpoint, line, limit).await {
                Ok(line) => line,
                // The endpoint may just have closed it.
                Err(_) => self.open_listed(endpoint, limit).await?,
            },
            None if needs_listed => self.open_listed(endpoint, limit).await?,
            None => self.open(endpoint, limit).await?,
        };
        // That may have changed while the connection was opened.
        check()?;
        // Only requests of callers count, and those have an id.
        if id.is_some() {
            self.wait_for_turn(endpoint, limit.saturating_sub(began.elapsed())).await?;
        }
        is_written.store(true, Ordering::Relaxed);
        let exchanged = self.exchange(endpoint, line, head, body, id);
        let exchanged =
            timeout(limit.saturating_sub(began.elapsed()), exchanged).await.unwrap_or(Err(Failure::Timeout));
        let exchange = exchanged?;
        self.control.record_read(&endpoint.id, sent_at);
        Ok(exchange)
    }

    /// Opens a connection within `limit`, at most [`CONNECT_TIMEOUT`].
    async fn open(self, endpoint: &Endpoint, limit: Duration) -> Result<Line, Failure> {
        let opened = Connection::open(endpoint.address, limit.min(CONNECT_TIMEOUT), TCP_USER_TIMEOUT).await;
        let connection = opened.map_err(Failure::Connect)?;
        Ok(Line { connection, is_listed: false, unnamed: Unnamed::None })
    }

    /// Returns why an endpoint does not serve as the process that is listed, if it does not.
    pub(crate) async fn is_alive(self, endpoint: &'a Endpoint) -> Result<(), Failure> {
        let is_listed = endpoint.stage != Stage::Whole && endpoint.started_ms > 0;
        let line = if is_listed {
            self.open_listed(endpoint, CONNECT_TIMEOUT).await?
        } else {
            self.open(endpoint, CONNECT_TIMEOUT).await?
        };
        self.pool.put(endpoint, line, None);
        Ok(())
    }

    /// Opens a connection to the process that is listed.
    async fn open_listed(self, endpoint: &'a Endpoint, limit: Duration) -> Result<Line, Failure> {
        let line = self.open(endpoint, limit).await?;
        self.identify(endpoint, line, limit).await
    }

    /// Asks the process at the other end of a connection when it started, since its row may be older. Returns a connection to
    /// the process that is listed. A connection does not outlast its process, so it is asked once.
    async fn identify(self, endpoint: &'a Endpoint, line: Line, limit: Duration) -> Result<Line, Failure> {
        let Message { head, body } = self.dialect.request_report(endpoint);
        let asked = async { self.exchange(endpoint, line, &head, &body, None).await?.into_body().await };
        let asked = timeout(limit.min(CONNECT_TIMEOUT), asked).await.unwrap_or(Err(Failure::Timeout));
        let unknown = |failure: Failure| Failure::Connect(io::Error::other(failure.to_string()));
        let (body, line) = asked.map_err(unknown)?;
        let started = self.dialect.decode_report(&body).and_then(|report| report.started_ms);
        if started.is_some_and(|started| started != endpoint.started_ms) {
            spdlog::info!("endpoint is newer than its row", kv: { endpoint = &*endpoint.id });
            return Err(Failure::Connect(io::Error::other("another process than the one that is listed")));
        }
        let line = match line {
            Some(line) => line,
            None => self.open(endpoint, limit).await?,
        };
        Ok(Line { is_listed: true, ..line })
    }

    /// Sends a message of the gateway's own and waits for the response head, for at most `limit`. The body is read with
    /// [`Bound::message`].
    pub(crate) async fn send_message(
        self,
        endpoint: &'a Endpoint,
        message: &Message,
        limit: Duration,
    ) -> Result<Exchange<'a>, Failure> {
        let Message { head, body } = message;
        self.send(endpoint, head, body, None, Recipient::Any, limit, &AtomicBool::default()).await
    }

    /// Waits until this replica may send a request to an endpoint that takes only few requests.
    async fn wait_for_turn(self, endpoint: &Endpoint, limit: Duration) -> Result<(), Failure> {
        let now = self.clock.now();
        let turn = self.control.take_turn(now, endpoint, limit.min(MAX_TURN_WAIT));
        let at = turn.map_err(Failure::Blocked)?;
        if at > now {
            self.clock.sleep(at.since(now)).await;
            if let Some(block) = self.control.block(self.clock.now(), endpoint) {
                return Err(Failure::Blocked(block));
            }
        }
        Ok(())
    }

    async fn exchange(
        self,
        endpoint: &'a Endpoint,
        line: Line,
        head: &Request,
        body: &[u8],
        id: Option<&str>,
    ) -> Result<Exchange<'a>, Failure> {
        let Line { mut connection, is_listed, unnamed } = line;
        let (bytes, rest) = encode(head, body);
        let stream = connection.stream().clone();
        let mut writing = PendingWrite::new(stream, &bytes, rest);
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            let response = read_while_writing(&mut connection, &mut writing, self.held)
                .await
                .map_err(Failure::Connection)?;
            let reply = self.dialect.decode_reply(&response);
            if !is_replaced(&response, &reply, endpoint) {
                self.record_notice(endpoint, &reply);
            }
            self.record_unknown_fields(endpoint, &response);
            let framing = response.framing(&head.method).map_err(invalid)?;
            let mut decoder = Decoder::new(framing);
            let relation = relation(&response, &reply, id, unnamed);
            if relation == Relation::Other {
                let skipped = connection.skip_body(&mut decoder, MAX_BODY_BYTES);
                let skipped = timeout(UNRELATED_BODY_TIME, skipped).await.unwrap_or(Err(Error::TooSlow));
                skipped.map_err(Failure::Connection)?;
                continue;
            }
            if relation == Relation::Unknown {
                return Err(Failure::InvalidResponse("missing or ambiguous request id"));
            }
            if reply.id.as_deref() == id && reply.limit.is_none() {
                self.control.record_limit(self.clock.now(), endpoint, None);
            }
            let (is_sent, has_write_failed) = (writing.is_done, writing.is_over && !writing.is_done);
            let unnamed = unnamed.max(Unnamed::of(&response, &reply));
            return Ok(Exchange {
                head: response,
                reply,
                framing,
                line: Line { connection, is_listed, unnamed },
                decoder,
                is_sent,
                has_write_failed,
                endpoint,
                pool: self.pool,
                held: self.held,
            });
        }
        Err(Failure::InvalidResponse("too many responses to other requests"))
    }

    /// Logs fields that endpoints did not send before and that the gateway does not know: what an endpoint says there
    /// has no effect.
    fn record_unknown_fields(self, endpoint: &Endpoint, response: &Response) {
        for name in self.dialect.unknown_fields(response) {
            if self.control.record_unknown_field(name) {
                let value = response.fields.get(name).unwrap_or_default();
                let value: String = value.chars().take(MAX_LOGGED_VALUE_CHARS).collect();
                spdlog::warn!("unknown response field", kv: {
                    field = name, value = value.as_str(), endpoint = &*endpoint.id, service = &*endpoint.service
                });
            }
        }
    }

    /// Records what an endpoint says about itself in a response.
    fn record_notice(self, endpoint: &Endpoint, reply: &Reply) {
        if reply.is_leaving {
            self.control.record_leaving(endpoint);
        }
        if let Some(span) = reply.cold {
            self.control.record_cold(self.clock.now(), endpoint, span);
        }
        if reply.limit.is_some() {
            self.control.record_limit(self.clock.now(), endpoint, reply.limit);
        }
        if let Some(span) = reply.retry_after {
            self.control.record_backoff(self.clock.now(), endpoint, span);
        }
    }
}

/// Longest part of an unknown field's value that is logged.
const MAX_LOGGED_VALUE_CHARS: usize = 80;

/// Encodes the head, with the body unless that is long, and returns what is left of the body. The body is sent with
/// `Content-Length`, even if it was received in chunks.
fn encode<'a>(head: &Request, body: &'a [u8]) -> (Vec<u8>, &'a [u8]) {
    let states_length = !body.is_empty() || head.fields.count("content-length") > 0;
    let mut bytes = head.encode_with(states_length.then_some(body.len()));
    if body.len() >= MIN_SEPARATE_BODY_BYTES {
        return (bytes, body);
    }
    bytes.extend_from_slice(body);
    (bytes, &[])
}

fn is_replaced(head: &Response, reply: &Reply, endpoint: &Endpoint) -> bool {
    head.status == MISDIRECTED && reply.instance.as_deref().is_some_and(|instance| instance != &*endpoint.id)
}

/// Status of an endpoint that is not the intended one, or not in the stage for the request.
pub(crate) const MISDIRECTED: u16 = 421;

/// Returns the outcome of a request that was not run: [`Outcome::Replaced`] if a different endpoint
/// responded, else `otherwise`.
pub(crate) fn not_run_outcome(
    head: &Response,
    reply: &Reply,
    endpoint: &Endpoint,
    otherwise: Outcome,
) -> Outcome {
    if is_replaced(head, reply, endpoint) { Outcome::Replaced } else { otherwise }
}

/// Returns whether callers take this status as a guarantee that the request has not run.
pub(crate) fn is_not_run_status(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn invalid(why: Malformed) -> Failure {
    Failure::InvalidResponse(why.0)
}

/// Writes all of `bytes`. Fails if the peer accepts nothing for `limit`.
pub(crate) async fn write_all(stream: &mut TcpStream, mut bytes: &[u8], limit: Duration) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(limit, stream.write(bytes)).await;
        match written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    Ok(())
}

/// A write that continues while the response is read, because an endpoint may respond before it has read a
/// long body.
struct PendingWrite<'a> {
    future: Pin<Box<dyn Future<Output = io::Result<()>> + Send + 'a>>,
    /// Whether all bytes were written.
    is_done: bool,
    /// Whether the write has ended, successfully or not.
    is_over: bool,
    /// Whether the endpoint accepted nothing for [`WRITE_TIMEOUT`].
    is_stalled: bool,
}

impl<'a> PendingWrite<'a> {
    fn new(mut stream: TcpStream, head: &'a [u8], body: &'a [u8]) -> Self {
        let future = Box::pin(async move {
            write_all(&mut stream, head, WRITE_TIMEOUT).await?;
            write_all(&mut stream, body, WRITE_TIMEOUT).await
        });
        Self { future, is_done: false, is_over: false, is_stalled: false }
    }

    /// Continues the write. A write error other than a stall is not reported: the response may still be readable, and
    /// otherwise the read fails too.
    fn poll(&mut self, cx: &mut TaskContext<'_>) {
        if self.is_over {
            return;
        }
        if let Poll::Ready(result) = self.future.as_mut().poll(cx) {
            self.is_over = true;
            self.is_done = result.is_ok();
            self.is_stalled = result.is_err_and(|error| error.kind() == io::ErrorKind::TimedOut);
        }
    }
}

async fn read_while_writing(
    connection: &mut Connection,
    writing: &mut PendingWrite<'_>,
    held: &Arc<Held>,
) -> Result<Response, Error> {
    let mut reading = pin!(read_head(connection, held));
    poll_fn(|cx| {
        writing.poll(cx);
        match reading.as_mut().poll(cx) {
            // The endpoint may have begun to run the request, although it has read only a part of it.
            Poll::Pending if writing.is_stalled => {
                Poll::Ready(Err(Error::Io(io::ErrorKind::TimedOut.into())))
            }
            read => read,
        }
    })
    .await
}

/// Reads the head of a response, which has to end within [`HEAD_TIME`] of its first byte. Until then, it counts as held.
async fn read_head(connection: &mut Connection, held: &Arc<Held>) -> Result<Response, Error> {
    if connection.buffered() == 0 && connection.fill().await? == 0 {
        return Err(Error::Closed);
    }
    let mut guard = held.guard(Purpose::Response);
    let mut search = Search::default();
    let reading = async {
        loop {
            if let Some(head) = connection.take_response(MAX_HEAD_BYTES, &mut search)? {
                return Ok(head);
            }
            guard.set(connection.memory()).map_err(|_| Error::TooLarge)?;
            if connection.fill().await? == 0 {
                return Err(Error::Truncated);
            }
        }
    };
    timeout(HEAD_TIME, reading).await.unwrap_or(Err(Error::TooSlow))
}
