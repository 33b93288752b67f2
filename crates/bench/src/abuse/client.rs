//! Clients that do not behave: each kind opens many connections at a door and sends or reads as no ordinary client does.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream, task};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, future, io};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, EnumString};
use tarragonhill_h1::{Connection, body::Decoder};

use crate::{platform::caller::narrow_socket, sim::lock};

/// API key of the clients.
pub const KEY: &str = "key-crowd";
/// Longest body that the configuration allows, bytes.
pub const MAX_BODY: usize = 4 << 20;
/// Longest head that the configuration allows, bytes.
pub const MAX_HEAD: usize = 16 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client that reads waits for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a connection is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(250);
/// Connections that one client opens at most, so that a run has an end even if each of them is refused at once.
const MAX_OPENED: u32 = 2_000;
/// Bytes of a body that are sent in one piece.
const PIECE: usize = 2_000;
/// Interval between two bytes of a client that sends slowly, and between two reads of one that reads slowly.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Statuses that promise that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What a client does on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Sends the longest body in one piece.
    WholeBody,
    /// Sends the longest body in small pieces.
    PiecedBody,
    /// Sends the longest body in chunks of a few bytes.
    ChunkedBody,
    /// Sends a body far over the limit, with its length or in chunks.
    OversizedBody,
    /// Sends the longest head with as many short fields, or parts of one field, as fit.
    ManyFields,
    /// Sends the longest request id, to a gateway whose standard output is not read.
    LongId,
    /// Sends many requests ahead and reads no response.
    Ahead,
    /// Sends a byte now and then, of the head or the body.
    SlowSender,
    /// Reads a byte now and then.
    SlowReader,
    /// Stops in the middle: before, in or after the head, or in the body.
    HalfRequest,
}

impl Kind {
    /// Returns the number of connections that a run opens at once.
    pub fn connections(self) -> usize {
        match self {
            Self::WholeBody | Self::PiecedBody | Self::ChunkedBody | Self::OversizedBody => 120,
            Self::ManyFields | Self::LongId | Self::Ahead => 400,
            Self::SlowSender | Self::SlowReader | Self::HalfRequest => 4_000,
        }
    }
}

/// Where a client sends its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Door {
    /// A route of a plain service.
    Call,
    /// A route of streams.
    Stream,
    /// A path without a route.
    NoRoute,
    /// The path that tells whether the gateway is ready.
    Ready,
    /// The other paths of that address.
    Admin,
}

/// Clients of one kind at one door.
#[derive(Clone, Copy, Debug)]
pub struct Attack {
    /// What the clients do.
    pub kind: Kind,
    /// Where they do it.
    pub door: Door,
    /// Number of connections at once.
    pub connections: usize,
    /// Seed of what they choose.
    pub seed: u64,
}

/// Addresses of a gateway.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness, metrics and state.
    pub admin: SocketAddr,
}

impl Target {
    fn of(self, door: Door) -> SocketAddr {
        match door {
            Door::Call | Door::Stream | Door::NoRoute => self.callers,
            Door::Ready | Door::Admin => self.admin,
        }
    }
}

/// What clients of one kind did and got.
#[derive(Debug, Default)]
pub struct Log {
    /// Connections opened.
    pub opened: AtomicU64,
    /// Bytes sent.
    pub sent: AtomicU64,
    /// Ids of requests that were refused as not run.
    pub refused: Mutex<Vec<String>>,
}

/// Runs clients of one kind at a door until `until`.
pub async fn run(target: Target, attack: Attack, until: Instant, log: Arc<Log>) {
    let Attack { kind, door, connections, seed } = attack;
    let clients = (0..connections).map(|number| {
        let client = Client {
            target,
            kind,
            door,
            name: format!("{kind}-{door}-{number}"),
            random: ChaCha8Rng::seed_from_u64(seed ^ ((number as u64) << 8)),
            opened: 0,
            until,
            log: log.clone(),
        };
        task::spawn(client.run())
    });
    for client in clients.collect::<Vec<_>>() {
        client.await;
    }
}

struct Client {
    target: Target,
    kind: Kind,
    door: Door,
    name: String,
    random: ChaCha8Rng,
    opened: u32,
    until: Instant,
    log: Arc<Log>,
}

impl Client {
    async fn run(mut self) {
        // Connections are opened over the first moments of a run, as by a crowd.
        task::sleep(Duration::from_millis(self.random.random_range(0..500))).await;
        while Instant::now() < self.until && self.opened < MAX_OPENED {
            self.opened += 1;
            let left = self.until.saturating_duration_since(Instant::now());
            // An error is what such a client may get.
            let _ = timeout(left, self.play()).await;
            task::sleep(REOPEN_DELAY).await;
        }
    }

    async fn play(&mut self) -> io::Result<()> {
        let stream =
            timeout(CONNECT_TIMEOUT, self.connect()).await.map_err(|_| io::ErrorKind::TimedOut)??;
        self.log.opened.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{}", self.name, self.opened);
        match self.kind {
            Kind::WholeBody => {
                let mut request = self.head(&id, &length(MAX_BODY));
                request.resize(request.len() + MAX_BODY, b'x');
                self.exchange(stream, &id, &[&request]).await
            }
            Kind::PiecedBody => {
                let head = self.head(&id, &length(MAX_BODY));
                let piece = [b'x'; PIECE];
                let mut parts: Vec<&[u8]> = vec![&head];
                parts.resize(1 + MAX_BODY / PIECE, &piece);
                let rest = [b'x'; MAX_BODY % PIECE];
                parts.push(&rest);
                self.exchange(stream, &id, &parts).await
            }
            Kind::ChunkedBody => {
                let head = self.head(&id, CHUNKED);
                let chunks = b"3\r\nxxx\r\n".repeat(1_000);
                let mut parts: Vec<&[u8]> = vec![&head];
                parts.resize(1 + MAX_BODY / 3_000, &chunks);
                parts.push(b"0\r\n\r\n");
                self.exchange(stream, &id, &parts).await
            }
            Kind::OversizedBody => {
                let is_chunked = self.random.random();
                let framing = if is_chunked { CHUNKED.to_owned() } else { length(1 << 30) };
                let head = self.head(&id, &framing);
                let mut part = if is_chunked { b"10000\r\n".to_vec() } else { Vec::new() };
                part.resize(part.len() + 0x10000, b'x');
                part.extend_from_slice(if is_chunked { b"\r\n" } else { b"" });
                let mut parts: Vec<&[u8]> = vec![&head];
                parts.resize(1 + 1_024, &part);
                self.exchange(stream, &id, &parts).await
            }
            Kind::ManyFields => {
                let head = self.many_fields(&id);
                self.exchange(stream, &id, &[&head]).await
            }
            Kind::LongId => {
                let id = format!("{id}-{}", "x".repeat(MAX_HEAD - 600));
                let head = self.head(&id, &length(0));
                self.exchange(stream, &id, &[&head]).await
            }
            Kind::Ahead => self.send_ahead(stream, &id).await,
            Kind::SlowSender => self.send_slowly(stream, &id).await,
            Kind::SlowReader => self.read_slowly(stream, &id).await,
            Kind::HalfRequest => self.send_half(stream, &id).await,
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let address = self.target.of(self.door);
        if self.kind != Kind::SlowReader {
            return TcpStream::connect(address).await;
        }
        task::spawn_blocking(move || {
            let socket = narrow_socket()?;
            socket.connect_timeout(&address.into(), CONNECT_TIMEOUT)?;
            socket.set_nonblocking(true)?;
            Ok(TcpStream::from(std::net::TcpStream::from(socket)))
        })
        .await
    }

    fn target_path(&mut self) -> &'static str {
        match self.door {
            Door::Call => "/submit/x",
            Door::Stream => "/stream/x",
            Door::NoRoute => "/nowhere/x",
            Door::Ready => "/v1/readiness",
            Door::Admin => {
                ["/state", "/metrics", "/explain?route=stream", "/nowhere"][self.random.random_range(0..4)]
            }
        }
    }

    /// Returns a request head with these framing fields.
    fn head(&mut self, id: &str, framing: &str) -> Vec<u8> {
        let mut head = self.open_head(id);
        head.push_str(framing);
        head.push_str("\r\n");
        head.into_bytes()
    }

    fn open_head(&mut self, id: &str) -> String {
        let (is_admin, path) = (matches!(self.door, Door::Ready | Door::Admin), self.target_path());
        let method = if is_admin { "GET" } else { "POST" };
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: a.example\r\n");
        if !is_admin {
            head.push_str(&format!(
                "Tarragonhill-Request-Id: {id}\r\nTarragonhill-Deadline-Ms: 5000\r\nAuthorization: Bearer {KEY}\r\n"
            ));
        }
        if self.door == Door::Stream {
            head.push_str("Tarragonhill-Model: m\r\nTarragonhill-Token-Counts: 50,220\r\n");
        }
        head
    }

    /// Returns the longest head with short fields, short parts of a prompt, or short names of fields that concern one
    /// connection.
    fn many_fields(&mut self, id: &str) -> Vec<u8> {
        let mut head = self.open_head(id);
        let (begin, item) = match self.random.random_range(0..3) {
            0 => ("", "a:\r\n"),
            1 => ("Tarragonhill-Prompt-Prefix: ", "a:1,"),
            _ => ("Connection: ", "a,"),
        };
        head.push_str(begin);
        while head.len() + item.len() + 4 <= MAX_HEAD {
            head.push_str(item);
        }
        head.push_str(if begin.is_empty() { "\r\n" } else { "\r\n\r\n" });
        head.into_bytes()
    }

    /// Sends a request in parts while the response is read, and then closes the connection.
    async fn exchange(&self, mut stream: TcpStream, id: &str, parts: &[&[u8]]) -> io::Result<()> {
        let log = self.log.clone();
        let reader = stream.clone();
        let writing = async {
            for part in parts {
                stream.write_all(part).await?;
                log.sent.fetch_add(part.len() as u64, Ordering::Relaxed);
                future::yield_now().await;
            }
            future::pending().await
        };
        let reading = self.read_response(reader, id);
        future::or(async { timeout(RESPONSE_TIMEOUT, reading).await.unwrap_or(Ok(())) }, writing).await
    }

    async fn read_response(&self, stream: TcpStream, id: &str) -> io::Result<()> {
        let mut connection = Connection::new(stream, RESPONSE_TIMEOUT);
        let broken = |_| io::Error::from(io::ErrorKind::InvalidData);
        let head = connection.read_response(2 * MAX_HEAD).await.map_err(broken)?;
        if NOT_RUN.contains(&head.status) {
            lock(&self.log.refused).push(id.to_owned());
        }
        let framing = head.framing("GET").map_err(|_| io::ErrorKind::InvalidData)?;
        connection.skip_body(&mut Decoder::new(framing), usize::MAX).await.map_err(broken)
    }

    async fn send_ahead(&mut self, mut stream: TcpStream, id: &str) -> io::Result<()> {
        for number in 0..100_000 {
            let request = self.head(&format!("{id}-{number}"), &length(0));
            stream.write_all(&request).await?;
            self.log.sent.fetch_add(request.len() as u64, Ordering::Relaxed);
        }
        Ok(())
    }

    async fn send_slowly(&mut self, mut stream: TcpStream, id: &str) -> io::Result<()> {
        let mut request = self.head(id, &length(MAX_BODY));
        // Either the head comes slowly, or the body does.
        let sent_at_once = if self.random.random() { request.len() } else { 0 };
        request.resize(MAX_HEAD, b'x');
        stream.write_all(&request[..sent_at_once]).await?;
        for byte in &request[sent_at_once..] {
            stream.write_all(&[*byte]).await?;
            self.log.sent.fetch_add(1, Ordering::Relaxed);
            task::sleep(SLOW_INTERVAL).await;
        }
        Ok(())
    }

    async fn read_slowly(&mut self, mut stream: TcpStream, id: &str) -> io::Result<()> {
        let mut requests = Vec::new();
        for number in 0..8 {
            requests.extend(self.head(&format!("{id}-{number}"), &length(0)));
        }
        stream.write_all(&requests).await?;
        self.log.sent.fetch_add(requests.len() as u64, Ordering::Relaxed);
        let mut byte = [0];
        while stream.read(&mut byte).await? > 0 {
            task::sleep(SLOW_INTERVAL).await;
        }
        Ok(())
    }

    async fn send_half(&mut self, mut stream: TcpStream, id: &str) -> io::Result<()> {
        let mut request = self.head(id, &length(MAX_BODY));
        let head = request.len();
        request.resize(head + MAX_HEAD, b'x');
        let sent = match self.random.random_range(0..4) {
            0 => 0,
            1 => self.random.random_range(1..head),
            2 => head,
            _ => self.random.random_range(head..request.len()),
        };
        stream.write_all(&request[..sent]).await?;
        self.log.sent.fetch_add(sent as u64, Ordering::Relaxed);
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).await.map(drop)
    }
}

/// Framing field of a body in chunks.
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

/// Returns the framing field of a body with a length.
fn length(bytes: usize) -> String {
    format!("Content-Length: {bytes}\r\n")
}
