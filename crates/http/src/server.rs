//! The server: every connection and every part of a request is bounded.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_h1::server::ConnectionStatus;
use async_std::{
    future,
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _, future::poll_once};
use http_types::{Body, Request, Response, StatusCode};

use crate::stream::{Reader, Sender};

/// How long an oversized request may go on sending once it has been answered.
const LINGER: Duration = Duration::from_millis(300);
/// A connection without a request under way is closed this long after closing has begun: a request
/// may be on its way.
const CLOSE_GRACE: Duration = Duration::from_millis(300);
/// How often closing looks whether it is done.
const CLOSE_POLL: Duration = Duration::from_millis(10);
/// Unsent data may stand this long before the operating system gives the peer up; a connection that
/// went silent for good ends by this.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Parts of a streamed body that may wait for a slow reader.
const STREAM_BUFFER: usize = 64;

/// Bounds on what peers may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body, bytes.
    pub max_body: usize,
    /// Longest time for a request's head, and for an idle connection.
    pub head_timeout: Duration,
    /// Longest time for a request's body.
    pub body_timeout: Duration,
    /// Most connections at once; more are closed on arrival.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: 4 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            max_connections: 4_096,
        }
    }
}

/// A request with its whole body.
#[derive(Debug)]
pub struct Inbound {
    /// Method, upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// The body, or why it could not be read.
    pub body: Result<Vec<u8>, BodyError>,
    headers: Request,
    stream: TcpStream,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// It came too slowly.
    Timeout,
    /// The connection broke or the framing is wrong.
    Broken,
}

impl Inbound {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.header(name).map(|values| values.as_str())
    }

    /// A watch on the peer that outlives the request.
    pub fn watch(&self) -> Watch {
        Watch(self.stream.clone())
    }
}

/// Tells when the peer is gone while it is only waiting for an answer.
#[derive(Clone, Debug)]
pub struct Watch(TcpStream);

impl Watch {
    /// Completes once the peer has closed the connection. async-h1 does not read while a response
    /// is being made, so a look at the socket's next byte disturbs nothing.
    pub async fn disconnected(&self) {
        let mut byte = [0];
        match self.0.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            // The peer has sent its next request early: it is there, and can't be watched further.
            Ok(_) => std::future::pending().await,
        }
    }
}

/// A response.
#[derive(Debug)]
pub struct Outbound {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Payload,
}

#[derive(Debug)]
enum Payload {
    Whole(&'static str, Vec<u8>),
    Stream(&'static str, async_channel::Receiver<io::Result<Vec<u8>>>),
}

impl Outbound {
    /// A JSON response.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::whole(status, "application/json", body)
    }

    /// A plain text response.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self::whole(status, "text/plain; charset=utf-8", text.into().into_bytes())
    }

    /// A response with a body of the content type given.
    pub fn whole(status: u16, content_type: &'static str, body: Vec<u8>) -> Self {
        Self { status, headers: Vec::new(), body: Payload::Whole(content_type, body) }
    }

    /// A response whose body is sent through the sender.
    pub fn stream(status: u16, content_type: &'static str) -> (Self, Sender) {
        let (sender, receiver) = async_channel::bounded(STREAM_BUFFER);
        let body = Payload::Stream(content_type, receiver);
        (Self { status, headers: Vec::new(), body }, sender)
    }

    /// The same response with one more header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    fn into_response(self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        let content_type = match self.body {
            Payload::Whole(content_type, bytes) => {
                response.set_body(Body::from_bytes(bytes));
                content_type
            }
            Payload::Stream(content_type, receiver) => {
                response.set_body(Body::from_reader(Reader::new(receiver), None));
                content_type
            }
        };
        response.insert_header("content-type", content_type);
        for (name, value) in self.headers {
            response.insert_header(name, value);
        }
        response
    }
}

/// A bound listener.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    limits: Limits,
    closing: Closing,
    /// Dropped with the server, whether it has served to its end or not.
    finished: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

/// Ends a server gracefully. Dropping the server's future instead cuts all connections.
#[derive(Clone, Debug)]
pub struct Closer {
    sender: async_channel::Sender<()>,
    finished: async_channel::Receiver<()>,
}

impl Closer {
    /// Lets no new connection in, answers what is being sent or served, closes idle connections;
    /// completes when all are closed.
    pub async fn close(&self) {
        self.sender.close();
        // Not only until no connection is open: those in the system's backlog are not counted yet.
        let _ = self.finished.recv().await;
    }
}

/// Seen by every connection of a server.
#[derive(Clone, Debug)]
struct Closing {
    sender: async_channel::Sender<()>,
    closed: async_channel::Receiver<()>,
    open: Arc<AtomicUsize>,
}

impl Closing {
    fn new() -> Self {
        let (sender, closed) = async_channel::bounded(1);
        Self { sender, closed, open: Arc::default() }
    }

    /// Completes once the server is being closed.
    async fn begun(&self) {
        let _ = self.closed.recv().await;
    }

    fn has_begun(&self) -> bool {
        self.closed.is_closed()
    }
}

impl Server {
    /// Listens on `address`; port 0 lets the system choose.
    pub async fn bind(address: &str, limits: Limits) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address, limits, closing: Closing::new(), finished: async_channel::bounded(1) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What ends the server gracefully.
    pub fn closer(&self) -> Closer {
        Closer { sender: self.closing.sender.clone(), finished: self.finished.1.clone() }
    }

    /// Serves until it is closed or the future is dropped, which also ends all connections.
    pub async fn serve<F, Fut>(self, handler: F)
    where
        F: Fn(Inbound) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Outbound> + Send + 'static,
    {
        let handler = Arc::new(handler);
        let _finished = self.finished.0.clone();
        // Dropped with this future; every connection watches for that.
        let (_alive, ended) = async_channel::bounded::<()>(1);
        while let Some(accepted) = self.accept().await {
            let Ok((stream, _)) = accepted else {
                // Out of file descriptors, most likely: accepting again at once would spin.
                task::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let closing = self.closing.clone();
            if closing.open.fetch_add(1, Ordering::Relaxed) >= self.limits.max_connections {
                closing.open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let (handler, limits, ended) = (handler.clone(), self.limits, ended.clone());
            task::spawn(async move {
                let served = connection(stream, limits, &*handler, &closing);
                let ended = async {
                    let _ = ended.recv().await;
                };
                served.or(ended).await;
                closing.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
        // Closed before the open connections have ended: one that the system takes meanwhile would be
        // accepted by nobody, and be reset with its request in the end.
        drop(self.listener);
        while self.closing.open.load(Ordering::Relaxed) > 0 {
            task::sleep(CLOSE_POLL).await;
        }
    }

    /// The next connection; none once the server is being closed and the system's backlog is
    /// empty: whoever is in it has connected and expects an answer.
    async fn accept(&self) -> Option<io::Result<(TcpStream, SocketAddr)>> {
        let accept = async { Some(self.listener.accept().await) };
        let closed = async {
            self.closing.begun().await;
            task::sleep(CLOSE_POLL).await;
            // Asks the system itself: on a busy machine word of a connection may be late.
            poll_once(self.listener.accept()).await
        };
        accept.or(closed).await
    }
}

async fn connection<F, Fut>(stream: TcpStream, limits: Limits, handler: &F, closing: &Closing)
where
    F: Fn(Inbound) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Outbound> + Send + 'static,
{
    prepare(&stream);
    let started = AtomicBool::new(false);
    let endpoint = |request: Request| {
        started.store(true, Ordering::Relaxed);
        let stream = stream.clone();
        async move { Ok(handle(request, stream, limits, handler).await) }
    };
    let mut server = async_h1::server::Server::new(stream.clone(), endpoint);
    let mut answered = false;
    loop {
        started.store(false, Ordering::Relaxed);
        let one = async { Next::Done(server.accept_one().await) };
        let idle = async {
            closing.begun().await;
            // Whoever has only just connected is about to send; whoever has been answered is not.
            let grace = if answered { CLOSE_GRACE } else { limits.head_timeout };
            unless_started(grace, &started).await;
            Next::Closed
        };
        let overdue = async {
            unless_started(limits.head_timeout, &started).await;
            Next::Overdue
        };
        match one.or(overdue).or(idle).await {
            Next::Done(Ok(ConnectionStatus::KeepAlive)) if !closing.has_begun() => answered = true,
            Next::Done(Ok(_)) | Next::Closed => return,
            Next::Done(Err(error)) if is_bad_head(&error) => {
                return reject(stream, 400, "bad_request", "the request's head is malformed or too large")
                    .await;
            }
            Next::Done(Err(_)) => return,
            Next::Overdue => {
                return reject(stream, 408, "slow_request", "the request's head came too slowly").await;
            }
        }
    }
}

enum Next {
    Done(http_types::Result<ConnectionStatus>),
    Overdue,
    Closed,
}

/// Completes after `span` unless a request's head has come by then. async-h1 has a limit of its
/// own, but it is fixed at a minute and ends without an answer.
async fn unless_started(span: Duration, started: &AtomicBool) {
    task::sleep(span).await;
    if started.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}

fn is_bad_head(error: &http_types::Error) -> bool {
    let status = u16::from(error.status());
    (400..=500).contains(&status)
}

/// Sets what every accepted or opened socket needs: small writes leave at once, and unsent data
/// does not wait for a silent peer for ever.
pub(crate) fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
}

async fn handle<F, Fut>(mut request: Request, stream: TcpStream, limits: Limits, handler: &F) -> Response
where
    F: Fn(Inbound) -> Fut,
    Fut: Future<Output = Outbound>,
{
    let body = read_body(&mut request, limits).await;
    if body.is_err() {
        // async-h1 would go on reading the rest before it closes.
        let stream = stream.clone();
        task::spawn(async move {
            task::sleep(LINGER).await;
            let _ = stream.shutdown(std::net::Shutdown::Both);
        });
    }
    let url = request.url();
    let inbound = Inbound {
        method: request.method().to_string(),
        path: url.path().to_owned(),
        query: url.query().unwrap_or_default().to_owned(),
        body,
        headers: request,
        stream,
    };
    handler(inbound).await.into_response()
}

async fn read_body(request: &mut Request, limits: Limits) -> Result<Vec<u8>, BodyError> {
    if request.len().is_some_and(|length| length > limits.max_body) {
        return Err(BodyError::TooLarge);
    }
    let mut bytes = Vec::new();
    let mut reader = request.take_body().take(limits.max_body as u64 + 1);
    match future::timeout(limits.body_timeout, reader.read_to_end(&mut bytes)).await {
        Err(_) => Err(BodyError::Timeout),
        Ok(Err(_)) => Err(BodyError::Broken),
        Ok(Ok(_)) if bytes.len() > limits.max_body => Err(BodyError::TooLarge),
        Ok(Ok(_)) => Ok(bytes),
    }
}

/// Answers a request that async-h1 could not read.
async fn reject(mut stream: TcpStream, status: u16, code: &str, message: &str) {
    let body = serde_json::json!({"error": {"code": code, "message": message, "not_run": true}}).to_string();
    let reason = if status == 408 { "Request Timeout" } else { "Bad Request" };
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body.as_bytes()).await;
    let _ = stream.shutdown(std::net::Shutdown::Write);
    // Closing with unread data would reset the connection and take the answer with it.
    let drain = futures_lite::io::copy(&mut stream, futures_lite::io::sink());
    let _ = future::timeout(LINGER, drain).await;
}
