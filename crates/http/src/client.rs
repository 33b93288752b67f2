//! HTTP client with a connection pool. It never retries a request.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use async_std::{future::timeout, net::TcpStream};
use futures_lite::{AsyncBufReadExt as _, AsyncReadExt as _, future};
use http_types::{Body, Method, Request as HttpRequest, Response as HttpResponse, Url};

use crate::server::set_socket_options;

/// Idle connections kept for each address.
const MAX_IDLE: usize = 64;
/// Longest body that [`Response::bytes`] returns; longer ones are errors.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Longest pause between two reads in [`Response::bytes`].
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes requested in one read in [`Response::bytes`].
const READ_SIZE: usize = 16 << 10;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Request {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    /// Whether an idle connection may be reused. If the peer closes it at that moment, it is unknown
    /// whether the request arrived, so requests that are not idempotent use a new connection.
    may_reuse: bool,
}

impl Request {
    /// Creates a GET request, which may reuse an idle connection.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::Get, path, Vec::new(), true)
    }

    /// Creates a GET request with a query, which may reuse an idle connection.
    pub fn get_with<'a>(path: &str, parameters: impl IntoIterator<Item = (&'a str, String)>) -> Self {
        let mut url = Url::parse("http://host").expect("a valid constant");
        url.query_pairs_mut().extend_pairs(parameters);
        Self::get(format!("{path}?{}", url.query().unwrap_or_default()))
    }

    /// Creates a DELETE request, which may reuse an idle connection.
    pub fn delete(path: impl Into<String>) -> Self {
        Self::new(Method::Delete, path, Vec::new(), true)
    }

    /// Creates a POST request with a JSON body, sent over a new connection.
    pub fn post(path: impl Into<String>, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::new(Method::Post, path, body, false)
    }

    /// Creates a request with any method and body, sent over a new connection. `None` if the method
    /// is unknown.
    pub fn raw(method: &str, path: impl Into<String>, body: Vec<u8>) -> Option<Self> {
        Some(Self::new(method.parse().ok()?, path, body, false))
    }

    fn new(method: Method, path: impl Into<String>, body: Vec<u8>, may_reuse: bool) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body, may_reuse }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Allows the request to reuse an idle connection.
    pub fn allow_reuse(mut self) -> Self {
        self.may_reuse = true;
        self
    }

    fn to_http(&self, address: SocketAddr) -> Result<HttpRequest, Error> {
        let url = Url::parse(&format!("http://{address}{}", self.path))
            .map_err(|_| Error::Path(self.path.clone()))?;
        let mut request = HttpRequest::new(self.method, url);
        if !self.body.is_empty() {
            request.set_body(Body::from_bytes(self.body.clone()));
            request.insert_header("content-type", "application/json");
        }
        for (name, value) in &self.headers {
            request.insert_header(*name, value.as_str());
        }
        Ok(request)
    }
}

/// Error of an HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The path is invalid.
    Path(String),
    /// The connection could not be opened; nothing was sent.
    Connect(String),
    /// The connection failed; the request may have been processed.
    Connection(String),
    /// There was no response in time; the request may have been processed.
    Timeout,
    /// The response is not the expected one.
    Unexpected(String),
}

impl Error {
    /// Returns whether the request was certainly not sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Path(_) | Self::Connect(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Path(path) => write!(f, "{path:?} is not a path"),
            Self::Connect(reason) => write!(f, "cannot connect: {reason}"),
            Self::Connection(reason) => write!(f, "connection broke: {reason}"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Unexpected(reason) => write!(f, "unexpected answer: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// A response whose head has been read.
pub struct Response<'a> {
    response: HttpResponse,
    pool: &'a Pool,
    address: SocketAddr,
    stream: TcpStream,
}

impl Response<'_> {
    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|values| values.as_str())
    }

    /// Reads the next line of a streamed body; `None` at its end.
    pub async fn line(&mut self) -> Result<Option<String>, Error> {
        let mut line = String::new();
        let read =
            self.response.read_line(&mut line).await.map_err(|error| Error::Connection(error.to_string()))?;
        Ok((read > 0).then(|| line.trim_end().to_owned()))
    }

    /// Reads the whole body and returns the connection to the pool.
    pub async fn bytes(mut self) -> Result<Vec<u8>, Error> {
        if !self.is_framed() {
            return Err(Error::Unexpected("a body without a length".into()));
        }
        // The HTTP library ends a body that is shorter than its length without an error.
        let length = self.response.len();
        let mut bytes = Vec::new();
        let mut buffer = vec![0; READ_SIZE];
        let mut body = self.response.take_body().take(MAX_BODY_BYTES + 1);
        loop {
            let read = timeout(STALL_TIMEOUT, body.read(&mut buffer)).await.map_err(|_| Error::Timeout)?;
            match read.map_err(|error| Error::Connection(error.to_string()))? {
                0 => break,
                read => bytes.extend_from_slice(&buffer[..read]),
            }
        }
        if bytes.len() as u64 > MAX_BODY_BYTES {
            return Err(Error::Unexpected("a body that is too long".into()));
        }
        if length.is_some_and(|length| length != bytes.len()) {
            return Err(Error::Connection("closed inside the body".into()));
        }
        self.release();
        Ok(bytes)
    }

    /// Returns whether the response states the end of its body. The HTTP library takes any other body for empty.
    fn is_framed(&self) -> bool {
        let is_bodiless = matches!(self.status(), 204 | 304);
        is_bodiless || ["content-length", "transfer-encoding"].iter().any(|name| self.header(name).is_some())
    }

    /// Reads the whole body as JSON and returns the connection to the pool.
    pub async fn json<T: serde::de::DeserializeOwned>(self) -> Result<T, Error> {
        let bytes = self.bytes().await?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Unexpected(error.to_string()))
    }

    /// Returns the connection to the pool unless the peer closes it. The body must have been read to
    /// its end.
    pub fn release(self) {
        let closes = self
            .response
            .header("connection")
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        if !closes {
            self.pool.put(self.address, self.stream);
        }
    }
}

/// Pool of idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<TcpStream>>>,
}

impl Pool {
    /// Sends a request and waits at most `limit` for the head of the response.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<Response<'_>, Error> {
        let sent = timeout(limit, self.exchange(address, &request));
        sent.await.unwrap_or(Err(Error::Timeout))
    }

    async fn exchange(&self, address: SocketAddr, request: &Request) -> Result<Response<'_>, Error> {
        let pooled = if request.may_reuse { self.take(address).await } else { None };
        let stream = match pooled {
            Some(stream) => stream,
            None => connect(address).await?,
        };
        let http_request = request.to_http(address)?;
        let response = async_h1::connect(stream.clone(), http_request).await;
        let response = response.map_err(|error| Error::Connection(error.to_string()))?;
        Ok(Response { response, pool: self, address, stream })
    }

    /// Takes an idle connection that the peer has not closed.
    async fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        loop {
            let stream = self.idle.lock().unwrap_or_else(PoisonError::into_inner).get_mut(&address)?.pop()?;
            let mut byte = [0];
            // An idle connection must have nothing to read; data, its end or an error makes it unusable.
            if future::poll_once(stream.peek(&mut byte)).await.is_none() {
                return Some(stream);
            }
        }
    }

    fn put(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let pooled = idle.entry(address).or_default();
        if pooled.len() < MAX_IDLE {
            pooled.push(stream);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let stream = TcpStream::connect(address).await.map_err(|error| Error::Connect(error.to_string()))?;
    set_socket_options(&stream);
    Ok(stream)
}
