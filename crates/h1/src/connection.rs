//! A buffered connection that reads and writes messages.

use std::{fmt, io, net::SocketAddr, pin::Pin, time::Duration};

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

/// Bytes asked of the system in one read: a few stream events or one usual body.
const READ: usize = 8_192;

/// Why nothing could be read.
#[derive(Debug)]
pub enum Error {
    /// The peer closed the connection between two messages.
    Closed,
    /// The peer closed the connection inside a message.
    Truncated,
    /// The connection broke.
    Io(io::Error),
    /// What the peer sent is no message.
    Malformed(Malformed),
    /// The head or body is larger than the limit given.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("connection closed"),
            Self::Truncated => f.write_str("connection closed inside a message"),
            Self::Io(error) => write!(f, "connection broke: {error}"),
            Self::Malformed(why) => write!(f, "malformed message: {why}"),
            Self::TooLarge => f.write_str("message too large"),
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

/// A parser of heads: the head and its length in bytes, or nothing while it is not whole.
type Parser<T> = fn(&[u8]) -> Result<Option<(T, usize)>, Malformed>;

/// A connection and the bytes read from it that nobody has taken yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Connection {
    /// Wraps a stream. Unacknowledged bytes may stand for `patience` before the system gives the
    /// peer up: a connection that went silent for good ends by this.
    pub fn new(stream: TcpStream, patience: Duration) -> Self {
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(patience));
        Self { stream, buffer: BytesMut::new() }
    }

    /// Opens a connection within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration, patience: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(Self::new(stream, patience))
    }

    /// The stream, for writing beside a task that reads.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes read and not taken.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the peer has neither sent anything nor closed the connection since the last message.
    pub async fn is_idle(&self) -> bool {
        let mut byte = [0];
        self.buffer.is_empty() && poll_once(self.stream.peek(&mut byte)).await.is_none()
    }

    /// Reads once; 0 at the end of the connection. May be dropped at any point without loss.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let Self { stream, buffer } = self;
        poll_fn(|cx| {
            let held = buffer.len();
            buffer.resize(held + READ, 0);
            let read = Pin::new(&mut *stream).poll_read(cx, &mut buffer[held..]);
            let got = match &read {
                std::task::Poll::Ready(Ok(got)) => *got,
                _ => 0,
            };
            buffer.truncate(held + got);
            read
        })
        .await
    }

    /// Reads the next request's head, `limit` bytes at most.
    pub async fn read_request(&mut self, limit: usize) -> Result<Request, Error> {
        self.read_head(limit, Request::parse).await
    }

    /// Reads the next response's head, `limit` bytes at most.
    pub async fn read_response(&mut self, limit: usize) -> Result<Response, Error> {
        self.read_head(limit, Response::parse).await
    }

    async fn read_head<T>(&mut self, limit: usize, parse: Parser<T>) -> Result<T, Error> {
        loop {
            if let Some((head, length)) = parse(&self.buffer)? {
                if length > limit {
                    return Err(Error::TooLarge);
                }
                self.buffer.advance(length);
                return Ok(head);
            }
            if self.buffer.len() > limit {
                return Err(Error::TooLarge);
            }
            if self.fill().await? == 0 {
                return Err(if self.buffer.is_empty() { Error::Closed } else { Error::Truncated });
            }
        }
    }

    /// Reads the next part of a body; `None` at its proper end.
    pub async fn read_part(&mut self, decoder: &mut Decoder) -> Result<Option<Bytes>, Error> {
        loop {
            match decoder.step(&mut self.buffer)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::End => return Ok(None),
                Step::More if self.fill().await? > 0 => {}
                Step::More if decoder.ends_at_close() => return Ok(None),
                Step::More => return Err(Error::Truncated),
            }
        }
    }

    /// Reads the rest of a body, `limit` bytes at most.
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

    /// Writes all of `bytes`.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}
