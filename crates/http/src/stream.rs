//! Streamed response bodies.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use async_channel::Receiver;
use futures_lite::{AsyncBufRead, AsyncRead, Stream};

/// Sends the parts of a streamed body. Sending an error closes the connection, so that the peer
/// sees a truncated body and not a complete one.
pub type Sender = async_channel::Sender<io::Result<Vec<u8>>>;

/// Adapts the parts of a streamed body to the reader that `http_types::Body` takes.
pub(crate) struct Reader {
    receiver: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    chunk: Vec<u8>,
    /// Bytes of `chunk` that have been consumed.
    consumed: usize,
}

impl Reader {
    pub(crate) fn new(receiver: Receiver<io::Result<Vec<u8>>>) -> Self {
        Self { receiver: Box::pin(receiver), chunk: Vec::new(), consumed: 0 }
    }
}

impl AsyncBufRead for Reader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.consumed == this.chunk.len() {
            match ready!(this.receiver.as_mut().poll_next(cx)) {
                Some(chunk) => (this.chunk, this.consumed) = (chunk?, 0),
                None => return Poll::Ready(Ok(&[])),
            }
        }
        Poll::Ready(Ok(&this.chunk[this.consumed..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().consumed += amount;
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
