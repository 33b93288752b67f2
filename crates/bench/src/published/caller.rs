//! A caller that sees every byte of its answers.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use tarragonhill_h1::{
    Connection, Error,
    body::{Decoder, Framing},
    head::{Request, Response},
};

/// Longest time to make a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);
/// Largest head and body, bytes.
const LARGEST: usize = 8 << 20;

/// A connection of a caller.
pub struct Caller {
    connection: Connection,
}

/// An answer, as far as it came.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: Response,
    /// The body, without its framing.
    pub body: Vec<u8>,
    /// Whether the body came to its proper end.
    pub whole: bool,
}

impl Answer {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The ids of a stream's events.
    pub fn ids(&self) -> Vec<u32> {
        self.text().lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }

    /// A field of the head.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.fields.get(name)
    }
}

/// A plain request with a key.
pub fn plain(method: &str, target: &str, key: &str, id: &str) -> Request {
    let mut head = Request::new(method, target);
    head.fields.push("Host", "a.example");
    head.fields.push("Tarragonhill-Request-Id", id);
    head.fields.push("Tarragonhill-Deadline-Ms", "5000");
    head.fields.push("Authorization", format!("Bearer {key}"));
    head
}

/// A completion of some prompt tokens with a key.
pub fn completion(target: &str, key: &str, id: &str, prompt: u64) -> Request {
    let mut head = plain("POST", target, key, id);
    head.fields.push("Tarragonhill-Model", "m");
    head.fields.push("Tarragonhill-Token-Counts", format!("{prompt},220"));
    head.fields.push("Tarragonhill-Prompt-Prefix", format!("5c1e07a2:{prompt}"));
    head.fields.push("Tarragonhill-Length-Hint", "220");
    head
}

impl Caller {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { connection: Connection::open(address, CONNECT_LIMIT, CONNECT_LIMIT).await? })
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

    /// Sends bytes as they are.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.connection.write(bytes).await
    }

    /// Reads the next answer as far as it comes.
    pub async fn answer(&mut self) -> Result<Answer, Error> {
        let head = self.connection.read_response(LARGEST).await?;
        let framing = head.framing("GET").unwrap_or(Framing::Empty);
        let mut decoder = Decoder::new(framing);
        let mut body = Vec::new();
        let whole = loop {
            match self.connection.read_part(&mut decoder).await {
                Ok(Some(part)) => body.extend_from_slice(&part),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        Ok(Answer { head, body, whole })
    }

    /// Reads the head of the next answer and the first part of its body.
    pub async fn first_part(&mut self) -> Result<(Response, Option<Bytes>), Error> {
        let head = self.connection.read_response(LARGEST).await?;
        let mut decoder = Decoder::new(head.framing("GET").unwrap_or(Framing::Empty));
        let part = self.connection.read_part(&mut decoder).await?;
        Ok((head, part))
    }

    /// Sends a request and reads its answer.
    pub async fn ask(&mut self, head: Request, body: &[u8]) -> Result<Answer, Error> {
        self.send(head, body).await?;
        self.answer().await
    }
}

/// Sends one request on a connection of its own.
pub async fn ask(address: SocketAddr, head: Request, body: &[u8]) -> Result<Answer, Error> {
    Caller::open(address).await?.ask(head, body).await
}
