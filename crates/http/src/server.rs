//! HTTP server that bounds connections and every part of a request, and shuts down gracefully.

use std::{
    collections::BTreeMap,
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
use http_types::{Body, Request, Response, StatusCode, Url};

use crate::stream::{Reader, Sender};

/// How long a client may continue to send a rejected request before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an idle connection stays open once shutdown has begun, for a request in transit.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(300);
/// The same for a new connection, whose client is about to send its first request.
const NEW_CONNECTION_GRACE: Duration = Duration::from_secs(2);
/// Interval of polling for the end of a shutdown.
const SHUTDOWN_POLL: Duration = Duration::from_millis(10);
/// How long sent data may stay unacknowledged before the operating system closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Parts of a streamed body that are buffered for a slow client.
const STREAM_BUFFER: usize = 64;

/// Limits on connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time to receive the head of a request, including the idle time before it.
    pub head_timeout: Duration,
    /// Time to receive the body of a request.
    pub body_timeout: Duration,
    /// Open connections; further ones are closed at once.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            max_connections: 4_096,
        }
    }
}

/// A received request with its whole body.
#[derive(Debug)]
pub struct Inbound {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// The body, or the error that occurred while reading it.
    pub body: Result<Vec<u8>, BodyError>,
    headers: Request,
    stream: TcpStream,
}

/// Error while reading a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds [`Limits::max_body_bytes`].
    TooLarge,
    /// The body was not received within [`Limits::body_timeout`].
    Timeout,
    /// The connection failed or the framing is invalid.
    Broken,
}

impl Inbound {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.header(name).map(|values| values.as_str())
    }

    /// Returns the decoded parameters of the query. Of several with one name, the last counts.
    pub fn parameters(&self) -> BTreeMap<String, String> {
        parameters(&self.query)
    }

    /// Returns a watch for the client's disconnection, which may outlive the request.
    pub fn watch(&self) -> Watch {
        Watch(self.stream.clone())
    }
}

/// Returns the decoded parameters of a query. Of several with one name, the last counts.
pub fn parameters(query: &str) -> BTreeMap<String, String> {
    let url = Url::parse(&format!("http://host/?{query}"));
    url.map_or_else(|_| BTreeMap::new(), |url| url.query_pairs().into_owned().collect())
}

/// Detects that a client disconnects while its request is being handled.
#[derive(Clone, Debug)]
pub struct Watch(TcpStream);

impl Watch {
    /// Completes once the client has closed the connection. Peeking at the socket is safe, since
    /// async-h1 does not read while the handler runs.
    pub async fn disconnected(&self) {
        let mut byte = [0];
        match self.0.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            // A pipelined request hides a later disconnection: treat the client as connected.
            Ok(_) => std::future::pending().await,
        }
    }
}

/// A response to be sent.
#[derive(Debug)]
pub struct Outbound {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Payload,
}

#[derive(Debug)]
enum Payload {
    Bytes(&'static str, Vec<u8>),
    Stream(&'static str, async_channel::Receiver<io::Result<Vec<u8>>>),
}

impl Outbound {
    /// Creates a JSON response.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, "application/json", body)
    }

    /// Creates a plain text response.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self::bytes(status, "text/plain; charset=utf-8", text.into().into_bytes())
    }

    /// Creates a response with a complete body.
    pub fn bytes(status: u16, content_type: &'static str, body: Vec<u8>) -> Self {
        Self { status, headers: Vec::new(), body: Payload::Bytes(content_type, body) }
    }

    /// Creates a response whose body is sent through the returned sender.
    pub fn stream(status: u16, content_type: &'static str) -> (Self, Sender) {
        let (sender, receiver) = async_channel::bounded(STREAM_BUFFER);
        let body = Payload::Stream(content_type, receiver);
        (Self { status, headers: Vec::new(), body }, sender)
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the status, the media type and the body, which is empty if it is streamed.
    pub fn into_parts(self) -> (u16, &'static str, Vec<u8>) {
        match self.body {
            Payload::Bytes(content_type, body) => (self.status, content_type, body),
            Payload::Stream(content_type, _) => (self.status, content_type, Vec::new()),
        }
    }

    fn into_response(self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        let content_type = match self.body {
            Payload::Bytes(content_type, bytes) => {
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

/// A server bound to an address.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    limits: Limits,
    closing: Closing,
    /// The sender is dropped with the server, whether `serve` has completed or was cancelled.
    finished: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

/// Shuts a server down gracefully. Dropping the future of [`Server::serve`] instead closes all
/// connections at once.
#[derive(Clone, Debug)]
pub struct Closer {
    sender: async_channel::Sender<()>,
    finished: async_channel::Receiver<()>,
}

impl Closer {
    /// Stops accepting connections, completes the requests that are being received or handled and
    /// closes idle connections. Returns when all connections are closed.
    pub async fn close(&self) {
        self.sender.close();
        // Waiting for the count of open connections is not enough: it excludes the accept backlog.
        let _ = self.finished.recv().await;
    }
}

/// Shutdown state shared by all connections of a server.
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

    /// Completes once shutdown has begun.
    async fn begun(&self) {
        let _ = self.closed.recv().await;
    }

    fn has_begun(&self) -> bool {
        self.closed.is_closed()
    }
}

impl Server {
    /// Listens on `address`; with port 0 the operating system picks a port.
    pub async fn bind(address: &str, limits: Limits) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address, limits, closing: Closing::new(), finished: async_channel::bounded(1) })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle for a graceful shutdown.
    pub fn closer(&self) -> Closer {
        Closer { sender: self.closing.sender.clone(), finished: self.finished.1.clone() }
    }

    /// Serves until shutdown has completed. Dropping the future closes all connections.
    pub async fn serve<F, Fut>(self, handler: F)
    where
        F: Fn(Inbound) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Outbound> + Send + 'static,
    {
        let handler = Arc::new(handler);
        let _finished = self.finished.0.clone();
        // Dropped with this future, which ends all connection tasks.
        let (_alive, ended) = async_channel::bounded::<()>(1);
        while let Some(accepted) = self.accept().await {
            let Ok((stream, _)) = accepted else {
                // Avoids a busy loop when the process is out of file descriptors.
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
                let served = serve_connection(stream, limits, &*handler, &closing);
                let ended = async {
                    let _ = ended.recv().await;
                };
                served.or(ended).await;
                closing.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
        // Close the listener before waiting: connections that entered the accept backlog now would
        // be reset with their requests.
        drop(self.listener);
        while self.closing.open.load(Ordering::Relaxed) > 0 {
            task::sleep(SHUTDOWN_POLL).await;
        }
    }

    /// Accepts the next connection. During shutdown it accepts what is in the backlog, since those
    /// clients are connected, and then returns `None`.
    async fn accept(&self) -> Option<io::Result<(TcpStream, SocketAddr)>> {
        let accept = async { Some(self.listener.accept().await) };
        let closed = async {
            self.closing.begun().await;
            task::sleep(SHUTDOWN_POLL).await;
            // Polls the listener directly, since its readiness event may be delayed on a busy host.
            poll_once(self.listener.accept()).await
        };
        accept.or(closed).await
    }
}

/// Serves the requests of one connection, one after the other.
async fn serve_connection<F, Fut>(stream: TcpStream, limits: Limits, handler: &F, closing: &Closing)
where
    F: Fn(Inbound) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Outbound> + Send + 'static,
{
    set_socket_options(&stream);
    let started = AtomicBool::new(false);
    let endpoint = |request: Request| {
        started.store(true, Ordering::Relaxed);
        let stream = stream.clone();
        async move { Ok(handle(request, stream, limits, handler).await) }
    };
    let mut server = async_h1::server::Server::new(stream.clone(), endpoint);
    let mut has_responded = false;
    loop {
        started.store(false, Ordering::Relaxed);
        let exchange = async { Event::Done(server.accept_one().await) };
        let shutdown = async {
            closing.begun().await;
            let grace = if has_responded { SHUTDOWN_GRACE } else { NEW_CONNECTION_GRACE };
            sleep_unless_started(grace, &started).await;
            Event::Shutdown
        };
        let head_timeout = async {
            sleep_unless_started(limits.head_timeout, &started).await;
            Event::HeadTimeout
        };
        match exchange.or(head_timeout).or(shutdown).await {
            Event::Done(Ok(ConnectionStatus::KeepAlive)) if !closing.has_begun() => has_responded = true,
            Event::Done(Ok(_)) | Event::Shutdown => return,
            Event::Done(Err(error)) if is_bad_head(&error) => {
                return reject(stream, 400, "bad_request", "the request's head is malformed or too large")
                    .await;
            }
            Event::Done(Err(_)) => return,
            Event::HeadTimeout => {
                return reject(stream, 408, "slow_request", "the request's head came too slowly").await;
            }
        }
    }
}

/// What ended the wait for a request on a connection.
enum Event {
    /// async-h1 handled a request, or failed to read one.
    Done(http_types::Result<ConnectionStatus>),
    HeadTimeout,
    Shutdown,
}

/// Completes after `delay` unless the head of a request has been received by then. Stricter than the
/// timeout of async-h1, which is fixed at one minute and sends no response.
async fn sleep_unless_started(delay: Duration, started: &AtomicBool) {
    task::sleep(delay).await;
    if started.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}

fn is_bad_head(error: &http_types::Error) -> bool {
    let status = u16::from(error.status());
    (400..=500).contains(&status)
}

/// Sets the options of an accepted or connected socket: no delay for small writes, and a limit on
/// how long sent data may stay unacknowledged.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}

async fn handle<F, Fut>(mut request: Request, stream: TcpStream, limits: Limits, handler: &F) -> Response
where
    F: Fn(Inbound) -> Fut,
    Fut: Future<Output = Outbound>,
{
    let body = read_body(&mut request, limits).await;
    if body.is_err() {
        // async-h1 would read the rest of the body before it closes the connection.
        let stream = stream.clone();
        task::spawn(async move {
            task::sleep(LINGER_TIMEOUT).await;
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
    if request.len().is_some_and(|length| length > limits.max_body_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut bytes = Vec::new();
    let mut reader = request.take_body().take(limits.max_body_bytes as u64 + 1);
    match future::timeout(limits.body_timeout, reader.read_to_end(&mut bytes)).await {
        Err(_) => Err(BodyError::Timeout),
        Ok(Err(_)) => Err(BodyError::Broken),
        Ok(Ok(_)) if bytes.len() > limits.max_body_bytes => Err(BodyError::TooLarge),
        Ok(Ok(_)) => Ok(bytes),
    }
}

/// Responds to a request that async-h1 could not parse, and closes the connection.
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
    // Closing a socket with unread data resets the connection, and the client may lose the response.
    let drain = futures_lite::io::copy(&mut stream, futures_lite::io::sink());
    let _ = future::timeout(LINGER_TIMEOUT, drain).await;
}
