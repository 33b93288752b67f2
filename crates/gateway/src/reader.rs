//! Reading of requests from callers' connections, with a bound on all that is held for them.

use std::{net::Shutdown, sync::Arc, time::Duration};

use async_std::{future::timeout, net::TcpStream, task};
use bytes::Bytes;
use futures_lite::FutureExt as _;
use tarragonhill_core::{
    Refusal,
    gateway::{catalog::Limits, connections, held::Purpose},
    refusal::Code,
};
use tarragonhill_h1::{
    Connection, Error, Malformed,
    body::{Decoder, Framing},
    connection::Search,
    head::Request,
};

use crate::{
    body::Body,
    caller::ResponseWriter,
    client::Client,
    context::{Context, RETRY_ELSEWHERE},
    exchange::OVER_BOUND,
    frontend::run_until,
    held::Guard,
    shutdown::Phase,
};

/// How long sent data may stay unacknowledged before the operating system closes a caller's connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time between two parts of a body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a body whose caller does not wait longer for its response.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for a body, however long its caller waits.
const MAX_BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes sent ahead beyond which nothing more is read while a request is served.
const MAX_READ_AHEAD_BYTES: usize = 4 << 10;
/// Maximum bytes discarded after the last response.
const MAX_DISCARDED_BYTES: usize = 4 << 20;
/// How long incoming bytes are discarded after the last response. Closing a connection with unread bytes
/// resets it, and the caller may lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a new connection stays open without a request while the gateway shuts down.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of reads after which other connections get a turn.
const FILLS_PER_TURN: u32 = 8;
/// Copies of a head in memory while its request is at an endpoint: as it was received, with the gateway's fields, and encoded.
const HEAD_COPIES: usize = 3;
/// Memory that each connection may take for a head and what it has received without counting it as held; part of
/// [`connections::CONNECTION_BYTES`].
const UNCOUNTED_BYTES: usize = 4 << 10;

/// Why a request was not read.
pub(crate) enum Unread {
    /// Status to respond with.
    Rejected(u16),
    /// Refusal to respond with, and the id of the request.
    Refused(Refusal, Option<Arc<str>>),
    /// The connection failed.
    Disconnected,
}

impl Unread {
    fn too_large(status: u16) -> impl Fn(Error) -> Self {
        move |error| match error {
            Error::Malformed(_) => Self::Rejected(400),
            Error::TooLarge => Self::Rejected(status),
            Error::Closed | Error::Truncated | Error::TooSlow | Error::Io(_) => Self::Disconnected,
        }
    }
}

impl From<Malformed> for Unread {
    fn from(_: Malformed) -> Self {
        Self::Rejected(400)
    }
}

/// Reads requests from one connection.
pub(crate) struct Reader<'a> {
    context: &'a Context,
    connection: Connection,
    client: Arc<Client>,
    /// Counts what is held of the request that is read or served.
    guard: Guard,
    /// Number of times that bytes were read.
    fills: u32,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(context: &'a Context, stream: TcpStream, client: Arc<Client>) -> Self {
        let guard = context.held.guard(Purpose::Request);
        Self { context, connection: Connection::new(stream, TCP_USER_TIMEOUT), client, guard, fills: 0 }
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        self.connection.stream()
    }

    /// Waits for the first bytes of a request. Returns false if the connection should be closed. A new connection
    /// stays open for longer once idle ones are closed.
    pub(crate) async fn wait_for_bytes(&mut self, limits: Limits, is_new: bool) -> bool {
        if self.connection.buffered() > 0 {
            // A caller that sends ahead would keep the thread from other connections.
            task::yield_now().await;
            return true;
        }
        let context = self.context;
        let closing = async {
            context.phases.reached(Phase::Closing).await;
            if is_new {
                let expired = context.phases.reached(Phase::Expired);
                expired.or(context.clock.sleep(FIRST_REQUEST_TIMEOUT)).await;
            }
        };
        let filled = timeout(limits.idle_timeout, run_until(self.connection.fill(), closing)).await;
        matches!(filled, Ok(Some(Ok(read))) if read > 0)
    }

    /// Reads the head of the next request.
    pub(crate) async fn read_head(&mut self, limits: Limits) -> Result<Request, Unread> {
        let received = self.connection.buffered() as u64;
        self.client.enter(connections::Phase::Receiving { received });
        let reading = self.fill_until_head(limits.max_head_bytes);
        let head = timeout(limits.head_timeout, reading).await.unwrap_or(Err(Unread::Rejected(408)))?;
        let host_count = head.fields.count("host");
        if host_count != 1 || !head.target.starts_with('/') {
            return Err(Unread::Rejected(400));
        }
        self.hold(counted(HEAD_COPIES * head.memory())).await?;
        Ok(head)
    }

    async fn fill_until_head(&mut self, limit: usize) -> Result<Request, Unread> {
        let mut search = Search::default();
        loop {
            if let Some(head) =
                self.connection.take_request(limit, &mut search).map_err(Unread::too_large(431))?
            {
                return Ok(head);
            }
            self.hold(0).await?;
            self.fill().await?;
        }
    }

    /// Holds `bytes` for the request, and what has been received.
    async fn hold(&mut self, bytes: usize) -> Result<(), Unread> {
        let bytes = bytes + counted(self.connection.memory());
        let held = self.client.hold(&mut self.guard, bytes).await;
        held.map_err(|_| self.over_bound())
    }

    /// Refuses a request that would take too much memory.
    fn over_bound(&self) -> Unread {
        self.context.metrics.held_refusals.inc();
        let refusal = Refusal::not_run(Code::Overloaded, OVER_BOUND).with_retry_after(RETRY_ELSEWHERE);
        Unread::Refused(refusal, None)
    }

    async fn fill(&mut self) -> Result<(), Unread> {
        match self.connection.fill().await {
            Ok(0) | Err(_) => Err(Unread::Disconnected),
            Ok(read) => {
                self.client.receive(read);
                self.fills = self.fills.wrapping_add(1);
                // A caller that sends without a pause would keep the thread from other connections.
                if self.fills.is_multiple_of(FILLS_PER_TURN) {
                    task::yield_now().await;
                }
                Ok(())
            }
        }
    }

    /// Returns whether a body has been received whole, as far as its framing tells.
    pub(crate) fn has_received(&self, framing: Framing) -> bool {
        match framing {
            Framing::Empty => true,
            Framing::Length(length) => length <= self.connection.buffered() as u64,
            Framing::Chunked | Framing::UntilClose => false,
        }
    }

    /// Reads a body. `time` is how long the caller waits for the response.
    pub(crate) async fn read_body(
        &mut self,
        head: &Request,
        framing: Framing,
        limits: Limits,
        time: Duration,
    ) -> Result<Bytes, Unread> {
        let head_bytes = counted(HEAD_COPIES * head.memory());
        if let Framing::Length(length) = framing {
            if length > limits.max_body_bytes as u64 {
                return Err(Unread::Rejected(413));
            }
            self.hold(head_bytes + length as usize).await?;
        }
        if framing != Framing::Empty && head.fields.has_token("expect", "100-continue") {
            let written = self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            written.map_err(|_| Unread::Disconnected)?;
        }
        let time = time.clamp(BODY_TIMEOUT, MAX_BODY_TIMEOUT);
        let reading = self.read_parts(framing, limits.max_body_bytes, head_bytes);
        timeout(time, reading).await.unwrap_or(Err(Unread::Rejected(408)))
    }

    async fn read_parts(
        &mut self,
        framing: Framing,
        limit: usize,
        head_bytes: usize,
    ) -> Result<Bytes, Unread> {
        let mut decoder = Decoder::new(framing);
        let mut body = Body::framed(framing, limit);
        loop {
            let length = body.len() + self.connection.buffered();
            if framing == Framing::Chunked {
                self.hold(head_bytes + body.memory(length)).await?;
            }
            body.reserve(length).map_err(|_| self.over_bound())?;
            self.connection.drain_body(&mut decoder, |part| {
                if body.append(part) { Ok(()) } else { Err(Unread::Rejected(413)) }
            })?;
            if decoder.is_done() {
                return Ok(body.finish());
            }
            timeout(BODY_IDLE_TIMEOUT, self.fill()).await.unwrap_or(Err(Unread::Rejected(408)))?;
        }
    }

    /// Reads a body and discards it.
    pub(crate) async fn discard_body(&mut self, framing: Framing, limits: Limits) -> Result<(), Unread> {
        if matches!(framing, Framing::Length(length) if length > limits.max_body_bytes as u64) {
            return Err(Unread::Rejected(413));
        }
        let (mut decoder, mut discarded) = (Decoder::new(framing), 0);
        let reading = async {
            loop {
                self.connection.drain_body(&mut decoder, |part| {
                    discarded += part.len();
                    if discarded > limits.max_body_bytes { Err(Unread::Rejected(413)) } else { Ok(()) }
                })?;
                if decoder.is_done() {
                    return Ok(());
                }
                self.fill().await?;
            }
        };
        timeout(MAX_BODY_TIMEOUT, reading).await.unwrap_or(Err(Unread::Rejected(408)))
    }

    /// Ends the request that was read or served: nothing is held for it any more.
    pub(crate) fn end_request(&mut self) {
        // Fewer bytes than before are always held.
        let _ = self.guard.set(0);
        self.client.enter(connections::Phase::Idle);
    }

    /// Responds to an invalid request and closes the connection.
    pub(crate) async fn reject(&mut self, status: u16) {
        spdlog::info!("request rejected", kv: { status });
        self.end_request();
        let head = tarragonhill_h1::head::Response::new(status);
        let mut writer = ResponseWriter::closing(self.stream().clone());
        if writer.write_whole(head, b"", Framing::Empty).await.is_ok() {
            self.linger().await;
        }
    }

    /// Shuts down the write side and discards incoming bytes for a short time.
    pub(crate) async fn linger(&mut self) {
        let _ = self.stream().shutdown(Shutdown::Write);
        let drain = async {
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES && self.fill().await.is_ok() {
                discarded += self.connection.discard();
            }
        };
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }

    /// Completes once the caller has closed its connection. Pipelined requests are buffered up to a limit, beyond
    /// which a disconnection is no longer detected.
    pub(crate) async fn wait_for_close(&mut self) {
        let mut guard = self.context.held.guard(Purpose::ReadAhead);
        loop {
            let is_over = self.connection.buffered() > MAX_READ_AHEAD_BYTES;
            if is_over || guard.set(counted(self.connection.memory())).is_err() {
                self.client.record_ahead();
                return std::future::pending().await;
            }
            match self.connection.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }
}

/// Returns how much of what a connection takes has to be counted.
fn counted(bytes: usize) -> usize {
    bytes.saturating_sub(UNCOUNTED_BYTES)
}
