//! One request at one endpoint: sent once, and matched with its own answer.

use std::{
    fmt,
    future::Future,
    io,
    pin::{Pin, pin},
    task::{Context as Poller, Poll},
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream};
use bytes::Bytes;
use futures_lite::{AsyncWriteExt as _, future::poll_fn};
use tarragonhill_core::gateway::{directory::Endpoint, health::Outcome};
use tarragonhill_h1::{
    Connection, Error, Malformed,
    body::Decoder,
    head::{Request, Response},
};

use crate::{
    edge::{Dialect, Reply},
    pool::Pool,
};

/// Longest time to make a connection. Hosts answer within some milliseconds; a lost first packet is
/// sent again after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_200);
/// Bytes to an endpoint may stay unacknowledged this long before the connection counts as dead.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest head of an answer, bytes.
const LARGEST_HEAD: usize = 64 << 10;
/// Largest answer that is taken whole, bytes: plain answers are a few kilobytes.
const LARGEST_BODY: usize = 16 << 20;
/// Answers to other requests that are passed over before the connection counts as spoilt.
const MOST_STRANGERS: u32 = 2;

/// Why there is no answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Nothing was sent.
    Unsent(io::Error),
    /// The request was sent; whether it ran is not known.
    Broken(Error),
    /// What came is no answer to this request; whether it ran is not known.
    Spoilt(&'static str),
    /// No answer within the limit; whether it ran is not known.
    Late,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(error) => write!(f, "no connection: {error}"),
            Self::Broken(error) => write!(f, "{error}"),
            Self::Spoilt(why) => write!(f, "spoilt answer: {why}"),
            Self::Late => f.write_str("no answer in time"),
        }
    }
}

/// An answer whose head has come.
pub(crate) struct Exchange<'a> {
    /// The head.
    pub(crate) head: Response,
    /// What it says.
    pub(crate) reply: Reply,
    connection: Connection,
    decoder: Decoder,
    /// Whether the request's bytes are all out; if not, what follows on the connection would be
    /// taken for the rest of them.
    is_sent: bool,
    endpoint: &'a Endpoint,
    pool: &'a Pool,
}

impl Exchange<'_> {
    /// Whether the endpoint meant has turned the request away because it is another one now.
    pub(crate) fn is_replaced(&self) -> bool {
        is_replaced(&self.head, &self.reply, self.endpoint)
    }

    /// The next part of the body; `None` at its proper end.
    pub(crate) async fn part(&mut self) -> Result<Option<Bytes>, Failure> {
        self.connection.read_part(&mut self.decoder).await.map_err(Failure::Broken)
    }

    /// The whole body; the connection is kept.
    pub(crate) async fn whole(mut self) -> Result<(Response, Reply, Bytes), Failure> {
        let body =
            self.connection.read_body(&mut self.decoder, LARGEST_BODY).await.map_err(Failure::Broken)?;
        let (head, reply) = (self.head.clone(), self.reply.clone());
        self.keep();
        Ok((head, reply, body))
    }

    /// Keeps the connection, if the body has come to its end and both sides go on.
    pub(crate) fn keep(self) {
        if self.is_sent && self.decoder.is_done() && self.head.keeps_alive() {
            self.pool.keep(self.endpoint, self.connection, self.reply.keep_alive);
        }
    }
}

/// Sends requests to endpoints.
#[derive(Clone, Copy)]
pub(crate) struct Sender<'a> {
    pub(crate) pool: &'a Pool,
    pub(crate) dialect: &'a dyn Dialect,
}

impl<'a> Sender<'a> {
    /// Sends a request and waits for the head of its answer, `limit` at most. `id` is the request
    /// that the answer must name.
    pub(crate) async fn send(
        self,
        endpoint: &'a Endpoint,
        head: &Request,
        body: &[u8],
        id: Option<&str>,
        limit: Duration,
    ) -> Result<Exchange<'a>, Failure> {
        let began = Instant::now();
        let connection = match self.pool.take(endpoint).await {
            Some(connection) => connection,
            None => {
                let limit = limit.min(CONNECT_LIMIT);
                Connection::open(endpoint.address, limit, USER_TIMEOUT).await.map_err(Failure::Unsent)?
            }
        };
        let exchanged = self.exchange(endpoint, connection, head, body, id);
        timeout(limit.saturating_sub(began.elapsed()), exchanged).await.unwrap_or(Err(Failure::Late))
    }

    async fn exchange(
        self,
        endpoint: &'a Endpoint,
        mut connection: Connection,
        head: &Request,
        body: &[u8],
        id: Option<&str>,
    ) -> Result<Exchange<'a>, Failure> {
        let bytes = encode(head, body);
        let stream = connection.stream().clone();
        let mut writing = Writing::new(stream, &bytes);
        for _ in 0..=MOST_STRANGERS {
            let response = read_beside(&mut connection, &mut writing).await.map_err(Failure::Broken)?;
            let framing = response.framing(&head.method);
            let mut decoder = Decoder::new(framing.map_err(spoilt)?);
            let reply = self.dialect.reply(&response);
            // An informational answer, or one that came late for a request before this one.
            let is_stranger = response.status < 200 || id.is_some() && reply.id.as_deref() != id;
            if is_stranger && (response.status < 200 || reply.id.is_some()) {
                connection.read_body(&mut decoder, LARGEST_BODY).await.map_err(Failure::Broken)?;
                continue;
            }
            if is_stranger && response.status < 400 {
                return Err(Failure::Spoilt("an answer that names no request"));
            }
            let is_sent = writing.is_done;
            return Ok(Exchange {
                head: response,
                reply,
                connection,
                decoder,
                is_sent,
                endpoint,
                pool: self.pool,
            });
        }
        Err(Failure::Spoilt("answers to other requests"))
    }
}

/// Head and body in one piece; the body goes with its length, whatever it came with.
fn encode(head: &Request, body: &[u8]) -> Vec<u8> {
    let mut head = head.clone();
    if !body.is_empty() || head.fields.count("content-length") > 0 {
        head.fields.set("Content-Length", body.len().to_string());
    }
    let mut bytes = head.encode();
    bytes.extend_from_slice(body);
    bytes
}

/// Whether an answer comes from another endpoint than the one meant.
fn is_replaced(head: &Response, reply: &Reply, endpoint: &Endpoint) -> bool {
    head.status == MISDIRECTED && reply.instance.as_deref().is_some_and(|instance| instance != &*endpoint.id)
}

/// An endpoint that is not the one meant, or not of the kind asked, answers so.
pub(crate) const MISDIRECTED: u16 = 421;

/// What it says of an endpoint that it did not run a request: `otherwise`, unless it is another one.
pub(crate) fn unrun(head: &Response, reply: &Reply, endpoint: &Endpoint, otherwise: Outcome) -> Outcome {
    if is_replaced(head, reply, endpoint) { Outcome::Replaced } else { otherwise }
}

/// Whether a status promises the caller that its request has not run.
pub(crate) fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn spoilt(why: Malformed) -> Failure {
    Failure::Spoilt(why.0)
}

/// A write that goes on while the answer is read: an endpoint may answer before it has taken a long
/// body.
struct Writing<'a> {
    future: Pin<Box<dyn Future<Output = io::Result<()>> + Send + 'a>>,
    is_done: bool,
    is_over: bool,
}

impl<'a> Writing<'a> {
    fn new(mut stream: TcpStream, bytes: &'a [u8]) -> Self {
        let future = Box::pin(async move { stream.write_all(bytes).await });
        Self { future, is_done: false, is_over: false }
    }

    /// Goes on writing. An error is not told here: the answer may have come before it, and if not,
    /// reading fails too.
    fn poll(&mut self, cx: &mut Poller<'_>) {
        if self.is_over {
            return;
        }
        if let Poll::Ready(result) = self.future.as_mut().poll(cx) {
            self.is_over = true;
            self.is_done = result.is_ok();
        }
    }
}

async fn read_beside(connection: &mut Connection, writing: &mut Writing<'_>) -> Result<Response, Error> {
    let mut reading = pin!(connection.read_response(LARGEST_HEAD));
    poll_fn(|cx| {
        writing.poll(cx);
        reading.as_mut().poll(cx)
    })
    .await
}
