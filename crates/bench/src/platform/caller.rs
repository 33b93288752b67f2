//! A caller of the gateway that reads responses as they arrive, including incomplete ones.

use std::{io, net::SocketAddr, time::Duration};

use async_std::net::TcpStream;
use bytes::Bytes;
use socket2::{Domain, Socket, Type};
use tarragonhill_h1::{
    Connection, Error,
    body::{Decoder, Framing},
    head::{Request, Response as ResponseHead},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Receive buffer and segment size of [`Caller::open_narrow`], bytes.
const NARROW_BUFFER: usize = 4_096;
const NARROW_SEGMENT: u32 = 1_000;
/// Length of each part in [`request_with_parts`], in tokens.
const PART_TOKENS: u64 = 50;
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 8 << 20;

/// A caller's connection.
pub struct Caller {
    connection: Connection,
}

/// A response, as far as it was received.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body, without transfer encoding.
    pub body: Vec<u8>,
    /// Whether the body was received up to its end.
    pub is_complete: bool,
}

impl Response {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the event ids of a stream.
    pub fn event_ids(&self) -> Vec<u32> {
        self.text().lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.fields.get(name)
    }
}

/// Creates a request to a plain service, without a body.
pub fn plain_request(method: &str, target: &str, key: &str, id: &str) -> Request {
    let mut head = Request::new(method, target);
    head.fields.push("Host", "a.example");
    head.fields.push("Tarragonhill-Request-Id", id);
    head.fields.push("Tarragonhill-Deadline-Ms", "5000");
    head.fields.push("Authorization", format!("Bearer {key}"));
    head
}

/// Creates a completion request with `prompt_tokens` prompt tokens.
pub fn completion_request(target: &str, key: &str, id: &str, prompt_tokens: u64) -> Request {
    let mut head = plain_request("POST", target, key, id);
    head.fields.push("Tarragonhill-Model", "m");
    head.fields.push("Tarragonhill-Token-Counts", format!("{prompt_tokens},220"));
    head.fields.push("Tarragonhill-Prompt-Prefix", format!("5c1e07a2:{prompt_tokens}"));
    head.fields.push("Tarragonhill-Length-Hint", "220");
    head
}

/// Creates a completion request whose prompt has these parts.
pub fn request_with_parts(target: &str, key: &str, id: &str, parts: &[&str]) -> Request {
    let mut head = completion_request(target, key, id, PART_TOKENS * parts.len() as u64);
    let parts: Vec<String> = parts.iter().map(|part| format!("{part}:{PART_TOKENS}")).collect();
    head.fields.set("Tarragonhill-Prompt-Prefix", parts.join(","));
    head
}

/// Makes a request resume the stream that the attempt `resumes` began, after its event `last_event`.
pub fn resume(mut head: Request, resumes: &str, last_event: u32) -> Request {
    head.fields.push("Resumes", resumes);
    head.fields.push("Last-Event-Id", last_event.to_string());
    head
}

impl Caller {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { connection: Connection::open(address, CONNECT_TIMEOUT, CONNECT_TIMEOUT).await? })
    }

    /// Opens a connection for which the operating systems of both sides keep only little that is unread.
    pub async fn open_narrow(address: SocketAddr) -> io::Result<Self> {
        let socket = narrow_socket()?;
        socket.connect(&address.into())?;
        socket.set_nonblocking(true)?;
        let stream = TcpStream::from(std::net::TcpStream::from(socket));
        Ok(Self { connection: Connection::new(stream, CONNECT_TIMEOUT) })
    }

    /// Sends a request.
    pub async fn send(&mut self, mut head: Request, body: &[u8]) -> io::Result<()> {
        if !body.is_empty() || head.method == "POST" {
            head.fields.push("Content-Length", body.len().to_string());
        }
        let mut bytes = head.encode();
        bytes.extend_from_slice(body);
        self.connection.write(&bytes).await
    }

    /// Sends raw bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.connection.write(bytes).await
    }

    /// Reads the next response until its end or the end of the connection.
    pub async fn read_response(&mut self) -> Result<Response, Error> {
        let mut received = None;
        self.read_response_into(&mut received).await?;
        received.ok_or(Error::Closed)
    }

    /// Reads the next response like [`Self::read_response`]. What has arrived stays in `received` if this is cancelled.
    pub async fn read_response_into(&mut self, received: &mut Option<Response>) -> Result<(), Error> {
        let head = self.connection.read_response(MAX_HEAD_BYTES).await?;
        let framing = head.framing("GET").unwrap_or(Framing::Empty);
        let mut decoder = Decoder::new(framing);
        let response = received.insert(Response { head, body: Vec::new(), is_complete: false });
        loop {
            match self.connection.read_part(&mut decoder).await {
                Ok(Some(part)) => response.body.extend_from_slice(&part),
                Ok(None) => {
                    response.is_complete = true;
                    return Ok(());
                }
                Err(_) => return Ok(()),
            }
        }
    }

    /// Reads the head of the next response, to a request whose response has no body.
    pub async fn read_head(&mut self) -> Result<ResponseHead, Error> {
        self.connection.read_response(MAX_HEAD_BYTES).await
    }

    /// Reads the head of the next response and the first part of its body.
    pub async fn read_first_part(&mut self) -> Result<(ResponseHead, Option<Bytes>), Error> {
        let head = self.connection.read_response(MAX_HEAD_BYTES).await?;
        let mut decoder = Decoder::new(head.framing("GET").unwrap_or(Framing::Empty));
        let part = self.connection.read_part(&mut decoder).await?;
        Ok((head, part))
    }

    /// Sends a request and reads its response.
    pub async fn request(&mut self, head: Request, body: &[u8]) -> Result<Response, Error> {
        self.send(head, body).await?;
        self.read_response().await
    }
}

/// Creates a socket for connections for which the operating systems of both sides keep only little that is unread.
pub fn narrow_socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(NARROW_BUFFER)?;
    socket.set_tcp_mss(NARROW_SEGMENT)?;
    Ok(socket)
}

/// Sends a request over a new connection and reads its response.
pub async fn request(address: SocketAddr, head: Request, body: &[u8]) -> Result<Response, Error> {
    Caller::open(address).await?.request(head, body).await
}
