//! Single requests inside the limits, which are served in calm whatever they consist of.

use std::{fmt, net::SocketAddr, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use futures_lite::{AsyncWriteExt as _, future};
use tarragonhill_h1::{Connection, body::Decoder};

use super::client::{self, MAX_BODY, MAX_HEAD, Target};
use crate::platform::site::KEY;

/// How long a client waits for a response, longer than the time for which a body may take.
const TIMEOUT: Duration = Duration::from_secs(30);

/// How long a response to a request with odd numbers is waited for.
const NUMBER_TIMEOUT: Duration = Duration::from_millis(500);

/// What a request consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Content {
    /// The longest body, with its length.
    Whole,
    /// The longest body, in chunks of this size.
    Chunks(usize),
    /// The longest head, of fields without values.
    Fields,
    /// The longest head, of one field with short parts of a prompt.
    Parts,
}

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Lone {
    method: &'static str,
    path: &'static str,
    is_admin: bool,
    status: u16,
    content: Content,
}

impl fmt::Display for Lone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} with {:?}", self.method, self.path, self.content)
    }
}

impl Lone {
    /// Returns requests of each content for each kind of path.
    pub fn all() -> Vec<Self> {
        let contents =
            [Content::Whole, Content::Chunks(64 << 10), Content::Chunks(3), Content::Fields, Content::Parts];
        let paths = [
            ("POST", "/submit/lone", false, 200),
            ("POST", "/lookup/lone", false, 200),
            ("POST", "/stream/lone", false, 200),
            ("POST", "/nowhere/lone", false, 404),
            ("GET", "/v1/readiness", true, 200),
            ("GET", "/metrics", true, 200),
            ("GET", "/state", true, 200),
        ];
        let with = |(method, path, is_admin, status)| {
            contents.map(|content| Self { method, path, is_admin, status, content })
        };
        paths.into_iter().flat_map(with).collect()
    }

    /// Returns the longest request of each content for one path.
    pub fn some() -> Vec<Self> {
        let is_some = |lone: &Self| lone.path == "/submit/lone" && lone.content != Content::Chunks(3);
        Self::all().into_iter().filter(is_some).collect()
    }

    /// Sends the request. Returns why it was not served.
    pub async fn send(self, target: Target) -> Result<(), String> {
        let address = if self.is_admin { target.admin } else { target.callers };
        match timeout(TIMEOUT, self.exchange(address)).await {
            Ok(Some(status)) if status == self.status => Ok(()),
            Ok(Some(status)) => Err(format!("status {status}")),
            Ok(None) => Err("the connection broke".into()),
            Err(_) => Err("no response".into()),
        }
    }

    async fn exchange(self, address: SocketAddr) -> Option<u16> {
        exchange(address, self.encode()).await
    }

    fn encode(self) -> Vec<u8> {
        let mut request = format!("{} {} HTTP/1.1\r\nHost: a.example\r\n", self.method, self.path);
        if !self.is_admin {
            request.push_str(&format!("Tarragonhill-Request-Id: lone\r\nAuthorization: Bearer {KEY}\r\n"));
            request.push_str("Tarragonhill-Model: m\r\nTarragonhill-Token-Counts: 50,220\r\n");
        }
        let mut fill = |begin: &str, item: &str, end: &str| {
            request.push_str(begin);
            while request.len() + item.len() + end.len() <= MAX_HEAD {
                request.push_str(item);
            }
            request.push_str(end);
        };
        match self.content {
            Content::Fields => fill("", "a:\r\n", "\r\n"),
            Content::Parts => fill("Tarragonhill-Prompt-Prefix: ", "a:1,", "\r\n\r\n"),
            Content::Whole => {
                request.push_str(&format!("Content-Length: {MAX_BODY}\r\n\r\n"));
                request.extend(std::iter::repeat_n('x', MAX_BODY));
            }
            Content::Chunks(size) => {
                request.push_str("Transfer-Encoding: chunked\r\n\r\n");
                let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
                request.push_str(&chunk.repeat(MAX_BODY / size));
                request.push_str("0\r\n\r\n");
            }
        }
        request.into_bytes()
    }
}

/// Sends a request and returns the status of its response, which is read whole.
async fn exchange(address: SocketAddr, request: Vec<u8>) -> Option<u16> {
    let stream = TcpStream::connect(address).await.ok()?;
    let mut writer = stream.clone();
    let writing = async {
        // A refusal may arrive before the request has been written.
        let _ = writer.write_all(&request).await;
        future::pending().await
    };
    let mut connection = Connection::new(stream, TIMEOUT);
    let reading = async {
        let head = connection.read_response(2 * MAX_HEAD).await.ok()?;
        let mut decoder = Decoder::new(head.framing("GET").ok()?);
        connection.skip_body(&mut decoder, usize::MAX).await.ok()?;
        Some(head.status)
    };
    future::or(reading, writing).await
}

/// Sends requests with numbers that no ordinary caller sends. Any response will do.
pub async fn send_numbers(target: Target) {
    let numbers = ["0", "-1", "1", "9223372036854775807", "18446744073709551615", "1e999", "NaN"];
    for path in ["/submit/number", "/stream/number", "/resumable/number"] {
        for number in numbers {
            let request = format!(
                "POST {path} HTTP/1.1\r\nHost: a.example\r\nTarragonhill-Request-Id: n\r\nAuthorization: Bearer {}\r\n\
                 Tarragonhill-Deadline-Ms: {number}\r\nTarragonhill-Model: m\r\nTarragonhill-Token-Counts: {number},{number}\r\n\
                 Tarragonhill-Prompt-Prefix: 1:{number},2:{number}\r\nTarragonhill-Length-Hint: {number}\r\n\
                 Last-Event-Id: {number}\r\nContent-Length: 0\r\n\r\n",
                client::KEY
            );
            let _ = timeout(NUMBER_TIMEOUT, exchange(target.callers, request.into_bytes())).await;
        }
    }
}
