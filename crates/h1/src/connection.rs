//! Buffered connection that reads and writes HTTP/1.1 messages.

use std::{fmt, io, net::SocketAddr, pin::Pin, task::Poll, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use bytes::{Buf as _, Bytes, BytesMut};
use futures_lite::{
    AsyncRead as _, AsyncWriteExt as _,
    future::{poll_fn, poll_once},
};

use crate::{
    Malformed,
    body::{Decoder, Step},
    head::{Request, Response},
};

/// Bytes requested in one read from the socket.
const READ_SIZE: usize = 8_192;

/// Error while reading a message.
#[derive(Debug)]
pub enum Error {
    /// The peer closed the connection between two messages.
    Closed,
    /// The peer closed the connection in the middle of a message.
    Truncated,
    /// I/O error on the connection.
    Io(io::Error),
    /// The peer sent an invalid message.
    Malformed(Malformed),
    /// The head or body exceeds the caller's limit.
    TooLarge,
    /// A head that had begun did not end in time.
    TooSlow,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("connection closed"),
            Self::Truncated => f.write_str("connection closed inside a message"),
            Self::Io(error) => write!(f, "connection broke: {error}"),
            Self::Malformed(reason) => write!(f, "malformed message: {reason}"),
            Self::TooLarge => f.write_str("message too large"),
            Self::TooSlow => f.write_str("message too slow"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<Malformed> for Error {
    fn from(error: Malformed) -> Self {
        Self::Malformed(error)
    }
}

/// Parses a head and returns it with its length in bytes, or `None` while it is incomplete.
type Parser<T> = fn(&[u8]) -> Result<Option<(T, usize)>, Malformed>;

/// How far a buffer has been searched for the end of a head. A head that comes byte by byte is not parsed with each of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Search {
    /// Bytes that contain no end.
    searched: usize,
    /// Length of the buffer at the last attempt to parse it.
    parsed: usize,
}

impl Search {
    /// Returns whether the head may be complete, or has grown so much that an invalid one should be noticed.
    fn is_due(&mut self, buffer: &[u8]) -> bool {
        // An end may begin in what was searched before.
        let from = self.searched.saturating_sub(END_BYTES - 1);
        let unsearched = &buffer[from.min(buffer.len())..];
        let has_end = unsearched.windows(2).any(|pair| pair == b"\n\n")
            || unsearched.windows(END_BYTES).any(|bytes| bytes == b"\n\r\n");
        self.searched = buffer.len();
        let is_due = !buffer.is_empty() && (has_end || buffer.len() >= 2 * self.parsed);
        if is_due {
            self.parsed = buffer.len();
        }
        is_due
    }
}

/// Longest end of a head's last line together with the empty line after it, without the first carriage return.
const END_BYTES: usize = 3;

/// A TCP connection with a read buffer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Connection {
    /// Wraps a stream. `user_timeout` sets `TCP_USER_TIMEOUT`: how long sent data may stay
    /// unacknowledged before the operating system closes the connection.
    pub fn new(stream: TcpStream, user_timeout: Duration) -> Self {
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(user_timeout));
        Self { stream, buffer: BytesMut::new() }
    }

    /// Connects within `limit`. See [`Connection::new`] for `user_timeout`.
    pub async fn open(address: SocketAddr, limit: Duration, user_timeout: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(Self::new(stream, user_timeout))
    }

    /// Returns the underlying stream, which another task may write to while this one reads.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the number of bytes that were read but not consumed.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Discards what was read but not consumed; returns the number of bytes.
    pub fn discard(&mut self) -> usize {
        let discarded = self.buffer.len();
        self.consume(discarded);
        discarded
    }

    /// Returns whether the connection is open and has no unread data, so that it can be reused.
    pub async fn is_idle(&self) -> bool {
        let mut byte = [0];
        self.buffer.is_empty() && poll_once(self.stream.peek(&mut byte)).await.is_none()
    }

    /// Reads once into the buffer; returns 0 at the end of the connection. Cancel safe: dropping the
    /// future loses no data.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let Self { stream, buffer } = self;
        poll_fn(|cx| {
            // On the stack, so that a connection that waits takes no memory for what may come.
            let mut bytes = [0; READ_SIZE];
            let read = std::task::ready!(Pin::new(&mut *stream).poll_read(cx, &mut bytes));
            if let Ok(count) = read {
                buffer.extend_from_slice(&bytes[..count]);
            }
            Poll::Ready(read)
        })
        .await
    }

    /// Returns the memory of the read buffer, in bytes.
    pub fn memory(&self) -> usize {
        self.buffer.capacity()
    }

    /// Removes `count` bytes from the buffer, and its memory once it is empty.
    fn consume(&mut self, count: usize) {
        self.buffer.advance(count);
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Reads the head of the next request, at most `limit` bytes.
    pub async fn read_request(&mut self, limit: usize) -> Result<Request, Error> {
        self.read_head(limit, Request::parse).await
    }

    /// Reads the head of the next response, at most `limit` bytes.
    pub async fn read_response(&mut self, limit: usize) -> Result<Response, Error> {
        self.read_head(limit, Response::parse).await
    }

    async fn read_head<T>(&mut self, limit: usize, parse: Parser<T>) -> Result<T, Error> {
        let mut search = Search::default();
        loop {
            if let Some(head) = self.take_head(limit, parse, &mut search)? {
                return Ok(head);
            }
            if self.fill().await? == 0 {
                return Err(if self.buffer.is_empty() { Error::Closed } else { Error::Truncated });
            }
        }
    }

    /// Takes the head of the next request out of the buffer, at most `limit` bytes; `None` while it is incomplete. `search` is
    /// the same for all calls for one head.
    pub fn take_request(&mut self, limit: usize, search: &mut Search) -> Result<Option<Request>, Error> {
        self.take_head(limit, Request::parse, search)
    }

    /// Takes the head of the next response in the same way.
    pub fn take_response(&mut self, limit: usize, search: &mut Search) -> Result<Option<Response>, Error> {
        self.take_head(limit, Response::parse, search)
    }

    fn take_head<T>(
        &mut self,
        limit: usize,
        parse: Parser<T>,
        search: &mut Search,
    ) -> Result<Option<T>, Error> {
        if search.is_due(&self.buffer)
            && let Some((head, length)) = parse(&self.buffer)?
        {
            if length > limit {
                return Err(Error::TooLarge);
            }
            self.consume(length);
            return Ok(Some(head));
        }
        if self.buffer.len() > limit {
            return Err(Error::TooLarge);
        }
        Ok(None)
    }

    /// Passes what has been received of a body to `keep`, piece by piece, until that fails.
    pub fn drain_body<E: From<Malformed>>(
        &mut self,
        decoder: &mut Decoder,
        keep: impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<(), E> {
        let drained = decoder.drain(&mut self.buffer, keep);
        self.consume(0);
        drained
    }

    /// Reads the next part of a body; `None` at its end. A truncated body is an error.
    pub async fn read_part(&mut self, decoder: &mut Decoder) -> Result<Option<Bytes>, Error> {
        loop {
            match decoder.step(&mut self.buffer)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::End => return Ok(None),
                Step::NeedMore if self.fill().await? > 0 => {}
                Step::NeedMore if decoder.ends_at_close() => return Ok(None),
                Step::NeedMore => return Err(Error::Truncated),
            }
        }
    }

    /// Reads the rest of a body, at most `limit` bytes.
    pub async fn read_body(&mut self, decoder: &mut Decoder, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(part) = self.read_part(decoder).await? {
            if body.len() + part.len() > limit {
                return Err(Error::TooLarge);
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }

    /// Reads the rest of a body, at most `limit` bytes, and discards it.
    pub async fn skip_body(&mut self, decoder: &mut Decoder, limit: usize) -> Result<(), Error> {
        let mut skipped = 0;
        while let Some(part) = self.read_part(decoder).await? {
            skipped += part.len();
            if skipped > limit {
                return Err(Error::TooLarge);
            }
        }
        Ok(())
    }

    /// Writes all of `bytes`.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}
