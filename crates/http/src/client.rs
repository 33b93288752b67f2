//! The client: keeps idle connections and never sends a request twice.

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

use crate::server::prepare;

/// Idle connections kept for each address.
const IDLE: usize = 64;
/// Largest response body that is read whole, bytes.
const LARGEST: u64 = 64 << 20;
/// Longest pause in a response body that is read whole.
const STALL_LIMIT: Duration = Duration::from_secs(2);
/// Bytes asked for in one read of such a body.
const READ: usize = 16 << 10;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Request {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    /// Whether it may go over a kept connection. One that the peer closes at that moment leaves it
    /// open whether the request arrived, so calls that may not be repeated take a fresh one.
    may_reuse: bool,
}

impl Request {
    /// A GET of a path, over a kept connection if there is one.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::Get, path, Vec::new(), true)
    }

    /// A DELETE of a path, over a kept connection if there is one.
    pub fn delete(path: impl Into<String>) -> Self {
        Self::new(Method::Delete, path, Vec::new(), true)
    }

    /// A POST of a JSON value over a fresh connection.
    pub fn post(path: impl Into<String>, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::new(Method::Post, path, body, false)
    }

    /// Any method with any body over a fresh connection; `None` if there is no such method.
    pub fn raw(method: &str, path: impl Into<String>, body: Vec<u8>) -> Option<Self> {
        Some(Self::new(method.parse().ok()?, path, body, false))
    }

    fn new(method: Method, path: impl Into<String>, body: Vec<u8>, may_reuse: bool) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body, may_reuse }
    }

    /// The same request with one more header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// The same request, which may go over a kept connection.
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

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The path is not one.
    Path(String),
    /// No connection could be opened; nothing was sent.
    Connect(String),
    /// The connection broke; whether the request took effect is not known.
    Broken(String),
    /// No answer in time; whether the request took effect is not known.
    Timeout,
    /// The answer is not what was expected.
    Unexpected(String),
}

impl Error {
    /// Whether it is certain that the peer never got the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Path(_) | Self::Connect(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Path(path) => write!(f, "{path:?} is not a path"),
            Self::Connect(why) => write!(f, "cannot connect: {why}"),
            Self::Broken(why) => write!(f, "connection broke: {why}"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Unexpected(why) => write!(f, "unexpected answer: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// An answer whose head has arrived.
pub struct Response<'a> {
    response: HttpResponse,
    pool: &'a Pool,
    address: SocketAddr,
    stream: TcpStream,
}

impl Response<'_> {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|values| values.as_str())
    }

    /// Reads the next line of a streamed body; `None` at its proper end.
    pub async fn line(&mut self) -> Result<Option<String>, Error> {
        let mut line = String::new();
        let read =
            self.response.read_line(&mut line).await.map_err(|error| Error::Broken(error.to_string()))?;
        Ok((read > 0).then(|| line.trim_end().to_owned()))
    }

    /// Reads the whole body and keeps the connection.
    pub async fn bytes(mut self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        let mut piece = vec![0; READ];
        let mut body = self.response.take_body().take(LARGEST);
        loop {
            let read = timeout(STALL_LIMIT, body.read(&mut piece)).await.map_err(|_| Error::Timeout)?;
            match read.map_err(|error| Error::Broken(error.to_string()))? {
                0 => break,
                read => bytes.extend_from_slice(&piece[..read]),
            }
        }
        self.release();
        Ok(bytes)
    }

    /// Reads the whole body as JSON and keeps the connection.
    pub async fn json<T: serde::de::DeserializeOwned>(self) -> Result<T, Error> {
        let bytes = self.bytes().await?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Unexpected(error.to_string()))
    }

    /// Keeps the connection after the body has been read to its end.
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

/// Kept connections.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<TcpStream>>>,
}

impl Pool {
    /// Sends a request and waits for the answer's head, `limit` at most.
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
        let kept = if request.may_reuse { self.take(address).await } else { None };
        let stream = match kept {
            Some(stream) => stream,
            None => connect(address).await?,
        };
        let http_request = request.to_http(address)?;
        let response = async_h1::connect(stream.clone(), http_request).await;
        let response = response.map_err(|error| Error::Broken(error.to_string()))?;
        Ok(Response { response, pool: self, address, stream })
    }

    /// A kept connection that the peer has not closed meanwhile.
    async fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        loop {
            let stream = self.idle.lock().unwrap_or_else(PoisonError::into_inner).get_mut(&address)?.pop()?;
            let mut byte = [0];
            // An idle connection has nothing to read; anything else is its end.
            if future::poll_once(stream.peek(&mut byte)).await.is_none() {
                return Some(stream);
            }
        }
    }

    fn put(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(address).or_default();
        if kept.len() < IDLE {
            kept.push(stream);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let stream = TcpStream::connect(address).await.map_err(|error| Error::Connect(error.to_string()))?;
    prepare(&stream);
    Ok(stream)
}
