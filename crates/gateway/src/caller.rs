//! Responses on callers' connections.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream};
use bytes::{Buf as _, BytesMut};
use futures_lite::{AsyncWriteExt as _, future};
use socket2::SockRef;
use tarragonhill_core::gateway::held::Purpose;
use tarragonhill_h1::{
    body::{self, Framing},
    head::{Request, Response},
};

use crate::{
    client::Client,
    held::{Guard, Held},
    shutdown::{Monitor, Phase},
    timing::Timing,
};

/// A caller that accepts no bytes for this long counts as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest part of a stream that is kept for a caller that reads slowly. Endpoints cut off responses that remain unread, so
/// they are not kept waiting for what fits here.
const MAX_BACKLOG_BYTES: usize = 64 << 10;
/// Shorter bodies are written together with their head.
const MIN_SEPARATE_BODY_BYTES: usize = 16 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    NotStarted,
    /// The head has been written.
    Started(End),
    Complete,
}

/// How the caller recognizes the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Length,
    LastChunk,
    Close,
}

/// Writes one response.
#[derive(Debug)]
pub struct ResponseWriter {
    stream: TcpStream,
    /// The connection, which gives way to others while the caller does not read.
    client: Option<Arc<Client>>,
    /// Minor HTTP version of the caller; HTTP/1.0 has no chunked encoding.
    minor: u8,
    is_head: bool,
    /// Whether the connection closes after this response.
    close: bool,
    /// Phases of the shutdown, during which connections close.
    phases: Option<Monitor>,
    /// Whether the head has been written, at least in part.
    begun: Arc<AtomicBool>,
    progress: Progress,
    /// What the caller has not accepted yet of a body in parts.
    backlog: BytesMut,
    /// Counts the backlog; `None` if the response is not in parts.
    guard: Option<Guard>,
    /// Since when the caller has accepted nothing of the backlog.
    stalled_since: Instant,
    /// Status that was sent; 0 before the head is written.
    pub status: u16,
    /// Timing of the stream's events, for logs and metrics.
    pub timing: Timing,
}

impl ResponseWriter {
    /// Creates a writer for the response to a request. The connection closes after it if the caller asks for
    /// that, or if the gateway is shutting down by then.
    pub(crate) fn new(
        stream: TcpStream,
        request: &Request,
        phases: Monitor,
        held: &Arc<Held>,
        client: Arc<Client>,
    ) -> Self {
        Self {
            client: Some(client),
            minor: request.minor,
            is_head: request.method == "HEAD",
            close: !request.keeps_alive(),
            phases: Some(phases),
            guard: Some(held.guard(Purpose::Backlog)),
            ..Self::closing(stream)
        }
    }

    /// Creates a writer for a response after which the connection closes.
    pub(crate) fn closing(stream: TcpStream) -> Self {
        Self {
            stream,
            client: None,
            minor: 1,
            is_head: false,
            close: true,
            phases: None,
            begun: Arc::default(),
            progress: Progress::NotStarted,
            backlog: BytesMut::new(),
            guard: None,
            stalled_since: Instant::now(),
            status: 0,
            timing: Timing::default(),
        }
    }

    /// Returns a flag that tells whether the response has begun.
    pub(crate) fn begun(&self) -> Arc<AtomicBool> {
        self.begun.clone()
    }

    /// Returns whether nothing has been written yet.
    pub fn is_unsent(&self) -> bool {
        self.progress == Progress::NotStarted
    }

    /// Returns whether the whole response has been written.
    pub fn is_complete(&self) -> bool {
        self.progress == Progress::Complete
    }

    /// Returns whether the connection can carry another request.
    pub fn keeps_alive(&self) -> bool {
        self.is_complete() && !self.close
    }

    /// Writes a response whose body is known. `framing` is that of the response as it was received: no length is stated if
    /// none was.
    pub async fn write_whole(&mut self, mut head: Response, body: &[u8], framing: Framing) -> io::Result<()> {
        let end = if framing == Framing::UntilClose { End::Close } else { End::Length };
        self.close |= end == End::Close;
        let length = match framing {
            // Of a response to a HEAD request, the length of the body that it stands for, if the endpoint named it.
            Framing::Empty if self.is_head => head.fields.get("content-length").map(str::to_owned),
            _ => Some(body.len().to_string()),
        };
        self.set_framing(&mut head);
        if end == End::Length && !matches!(head.status, 204 | 304) {
            length.into_iter().for_each(|length| head.fields.set("Content-Length", length));
        }
        let mut bytes = head.encode();
        let body = if self.is_head { &[] } else { body };
        let (joined, separate) =
            if body.len() < MIN_SEPARATE_BODY_BYTES { (body, &[][..]) } else { (&[][..], body) };
        bytes.extend_from_slice(joined);
        self.begin(end);
        self.write(&bytes).await?;
        self.write(separate).await?;
        self.complete();
        Ok(())
    }

    /// Writes the head of a response whose body follows in parts. `framing` is that of the response as it is received: no
    /// chunks are used if its end will not be stated.
    pub async fn write_head(&mut self, mut head: Response, framing: Framing) -> io::Result<()> {
        let has_chunks = self.minor > 0 && framing != Framing::UntilClose;
        let end = if has_chunks { End::LastChunk } else { End::Close };
        self.close |= end == End::Close;
        self.set_framing(&mut head);
        if end == End::LastChunk {
            head.fields.set("Transfer-Encoding", "chunked");
        }
        self.begin(end);
        self.write(&head.encode()).await
    }

    /// Writes a chunk of the body, and keeps what the caller does not accept at once if that is not too much. Otherwise waits.
    pub async fn write_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        match self.progress {
            Progress::Started(End::LastChunk) if !data.is_empty() => self.queue(&body::chunk(data)).await,
            Progress::Started(_) => self.queue(data).await,
            Progress::NotStarted | Progress::Complete => Ok(()),
        }
    }

    /// Runs `work` while what is kept is written to the caller. Fails if that fails.
    pub(crate) async fn while_writing<T>(
        &mut self,
        work: Pin<&mut impl Future<Output = T>>,
    ) -> io::Result<T> {
        if self.backlog.is_empty() {
            return Ok(work.await);
        }
        let writing = async {
            self.flush().await?;
            future::pending().await
        };
        future::or(async { Ok(work.await) }, writing).await
    }

    /// Writes all that is kept.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        self.flush_to(0).await
    }

    /// Writes what is kept until at most `limit` bytes are left. Cancel safe.
    async fn flush_to(&mut self, limit: usize) -> io::Result<()> {
        while self.backlog.len() > limit {
            self.set_stalled(true);
            let left = WRITE_TIMEOUT.saturating_sub(self.stalled_since.elapsed());
            let written = timeout(left, self.stream.write(&self.backlog)).await;
            let count = written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.backlog.advance(count);
            self.stalled_since = Instant::now();
            self.count_backlog();
            self.set_stalled(false);
        }
        Ok(())
    }

    async fn queue(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        if self.backlog.is_empty() {
            if let Some(written) = future::poll_once(self.stream.write(bytes)).await {
                bytes = &bytes[written?..];
            }
            self.stalled_since = Instant::now();
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.backlog.extend_from_slice(bytes);
        let limit = if self.count_backlog() { MAX_BACKLOG_BYTES } else { 0 };
        self.flush_to(limit).await
    }

    /// Counts the backlog as held, and releases its memory once it is empty. Returns whether it may be kept.
    fn count_backlog(&mut self) -> bool {
        if self.backlog.is_empty() {
            self.backlog = BytesMut::new();
        }
        let length = self.backlog.len();
        self.guard.as_mut().is_some_and(|guard| guard.set(length).is_ok())
    }

    /// Ends the body. A body that is not ended is truncated, which the caller detects. `framing` is that of the response that
    /// has ended: without a stated end, a body in chunks stays truncated.
    pub async fn finish(&mut self, framing: Framing) -> io::Result<()> {
        self.flush().await?;
        if self.progress == Progress::Started(End::LastChunk) {
            if framing == Framing::UntilClose {
                return Ok(());
            }
            self.write(body::LAST_CHUNK).await?;
        }
        self.complete();
        Ok(())
    }

    fn begin(&mut self, end: End) {
        if end == End::Close {
            self.reset_on_close(true);
        }
        self.progress = Progress::Started(end);
    }

    fn complete(&mut self) {
        if self.progress == Progress::Started(End::Close) {
            self.reset_on_close(false);
        }
        self.progress = Progress::Complete;
    }

    /// Replaces the framing and connection fields of the endpoint's response with the gateway's own.
    fn set_framing(&mut self, head: &mut Response) {
        self.status = head.status;
        self.begun.store(true, Ordering::Relaxed);
        self.close |= self.phases.as_ref().is_some_and(|phases| phases.has_reached(Phase::Draining));
        head.fields.strip_hop_by_hop();
        head.fields.remove("content-length");
        if self.close {
            head.fields.set("Connection", "close");
        }
    }

    /// Sets whether the operating system resets the connection when it is closed, also at the end of the process. The end of
    /// a connection that is not reset ends a body without length and chunks.
    fn reset_on_close(&self, is_reset: bool) {
        let linger = is_reset.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.stream).set_linger(linger) {
            spdlog::warn!("setting the end of a connection failed", kv: { reason = error.to_string().as_str() });
        }
    }

    async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        if let Some(written) = future::poll_once(self.stream.write(bytes)).await {
            bytes = &bytes[written?..];
        }
        while !bytes.is_empty() {
            self.set_stalled(true);
            let written = timeout(WRITE_TIMEOUT, self.stream.write(bytes)).await;
            match written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                count => bytes = &bytes[count..],
            }
            self.set_stalled(false);
        }
        Ok(())
    }

    fn set_stalled(&self, is_stalled: bool) {
        if let Some(client) = &self.client {
            client.set_stalled(is_stalled);
        }
    }
}
