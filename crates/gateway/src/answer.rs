//! The answer to one request, on its caller's connection.

use std::{io, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use futures_lite::AsyncWriteExt as _;
use tarragonhill_h1::{body, head::Response};

use crate::pace::Pace;

/// A caller that takes nothing for this long has left; far above any pause of a sound network.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// How far an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Nothing,
    /// The head is out; whether the body goes in chunks.
    Begun {
        chunked: bool,
    },
    Whole,
}

/// Writes one answer.
#[derive(Debug)]
pub struct Answer {
    stream: TcpStream,
    /// The caller's minor version of HTTP: one that speaks 1.0 knows no chunks.
    minor: u8,
    is_head: bool,
    /// Whether the connection ends with this answer.
    close: bool,
    progress: Progress,
    /// The status sent, for logs.
    pub status: u16,
    /// How fast a stream's events went out, for logs and metrics.
    pub pace: Pace,
}

impl Answer {
    /// An answer to a request of `method` by a caller that speaks HTTP 1.`minor`.
    pub fn new(stream: TcpStream, method: &str, minor: u8, close: bool) -> Self {
        let is_head = method == "HEAD";
        Self { stream, minor, is_head, close, progress: Progress::Nothing, status: 0, pace: Pace::default() }
    }

    /// Whether nothing has been written yet.
    pub fn is_open(&self) -> bool {
        self.progress == Progress::Nothing
    }

    /// Whether the answer is out, to its end.
    pub fn is_whole(&self) -> bool {
        self.progress == Progress::Whole
    }

    /// Whether the connection can take a further request.
    pub fn keeps_alive(&self) -> bool {
        self.is_whole() && !self.close
    }

    /// Sends a whole answer.
    pub async fn whole(&mut self, mut head: Response, body: &[u8]) -> io::Result<()> {
        self.frame(&mut head);
        if !matches!(head.status, 204 | 304) {
            head.fields.set("Content-Length", body.len().to_string());
        }
        let mut bytes = head.encode();
        if !self.is_head {
            bytes.extend_from_slice(body);
        }
        self.progress = Progress::Begun { chunked: false };
        self.write(&bytes).await?;
        self.progress = Progress::Whole;
        Ok(())
    }

    /// Sends the head of an answer whose body follows as it comes.
    pub async fn begin(&mut self, mut head: Response) -> io::Result<()> {
        let chunked = self.minor > 0;
        self.close |= !chunked;
        self.frame(&mut head);
        if chunked {
            head.fields.set("Transfer-Encoding", "chunked");
        }
        self.progress = Progress::Begun { chunked };
        self.write(&head.encode()).await
    }

    /// Sends a part of the body.
    pub async fn part(&mut self, data: &[u8]) -> io::Result<()> {
        match self.progress {
            Progress::Begun { chunked: true } if !data.is_empty() => self.write(&body::chunk(data)).await,
            Progress::Begun { .. } => self.write(data).await,
            Progress::Nothing | Progress::Whole => Ok(()),
        }
    }

    /// Sends the end of the body. Without it, the caller sees an answer that was cut.
    pub async fn end(&mut self) -> io::Result<()> {
        if self.progress == (Progress::Begun { chunked: true }) {
            self.write(body::LAST_CHUNK).await?;
        }
        self.progress = Progress::Whole;
        Ok(())
    }

    /// The framing of a head is the gateway's, whatever it was on the other side.
    fn frame(&mut self, head: &mut Response) {
        self.status = head.status;
        head.fields.strip_hop_by_hop();
        head.fields.remove("content-length");
        if self.close {
            head.fields.set("Connection", "close");
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = timeout(WRITE_LIMIT, self.stream.write_all(bytes)).await;
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}
