//! A stand-in of one endpoint: a model engine of either stage, or a plain service.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_std::task;
use bytes::Bytes;
use futures_lite::future;
use serde_json::{Value, json};
use strum::{Display, EnumIter};
use tarragonhill_h1::{
    Connection,
    body::{LAST_CHUNK, chunk},
    head::{Request, Response},
};

use super::server::{Server, Then};
use crate::sim::lock;

/// Time between two events of a stream: short, so that tests are.
const STEP: Duration = Duration::from_millis(5);
/// How long a late refusal takes: longer than a gateway waits before it asks a second endpoint.
const LATE: Duration = Duration::from_millis(700);
/// Events of a stream.
pub const EVENTS: u32 = 20;

/// What an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Reads prompts.
    Prefill,
    /// Makes tokens.
    Decode,
    /// Answers whole.
    Plain,
}

/// How an endpoint fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// Turns requests away and says that it did not run them.
    Refuse,
    /// The same, but only after a while.
    RefuseLate,
    /// Answers 503 and says nothing of whether it ran them.
    Busy,
    /// Answers 500, signed: its own failure.
    Error,
    /// Runs them and resets the connection.
    ResetAfterRun,
    /// Runs them and never answers.
    Hang,
    /// Breaks off in the middle of the answer.
    Cut,
    /// Ends the answer in the middle of a stream without its last chunk, inside an event.
    CutInEvent,
    /// Falls silent in the middle of a stream.
    Silent,
    /// Sends a second answer behind the first.
    Extra,
    /// Answers without a length and closes.
    Unframed,
    /// Answers without a signature.
    Unsigned,
    /// Reports that another endpoint answers.
    Replaced,
}

/// A request that reached the endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its head.
    pub head: Request,
    /// Its body.
    pub body: Bytes,
    /// Whether the endpoint ran it.
    pub ran: bool,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    /// The fault passes after so many requests.
    left: Option<u32>,
    arrivals: Vec<Arrival>,
    /// Tokens that may still be reserved.
    memory: u64,
    holds: BTreeMap<String, u64>,
    released: u64,
    /// Streams under way.
    running: u32,
    /// Streams whose callers left.
    abandoned: u32,
    /// The stage that an order gave it, in place of its first.
    ordered: Option<Role>,
    /// Orders taken: holder and fencing token.
    orders: Vec<(String, u64)>,
    next: u64,
}

impl State {
    fn take_fault(&mut self) -> Fault {
        match &mut self.left {
            Some(0) => return Fault::None,
            Some(left) => *left -= 1,
            None => {}
        }
        self.fault
    }

    fn name(&mut self, of: &str) -> String {
        self.next += 1;
        format!("{of}{}", self.next)
    }
}

/// Results of prefills that wait to be taken, over all engines of a site.
pub type Results = Arc<Mutex<BTreeSet<String>>>;

/// A running endpoint.
pub struct Endpoint {
    id: Arc<str>,
    role: Role,
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Endpoint {
    /// Starts an endpoint on an address, port 0 for any.
    pub async fn start(
        id: &str,
        role: Role,
        address: SocketAddr,
        memory: u64,
        results: Results,
    ) -> io::Result<Self> {
        let id: Arc<str> = id.into();
        let state = Arc::new(Mutex::new(State { memory, ..State::default() }));
        let (shared, own) = (state.clone(), id.clone());
        let server = Server::start(address, move |head, body, connection| {
            let call =
                Call { id: own.clone(), role, state: shared.clone(), results: results.clone(), head, body };
            async move { call.answer(connection).await }
        });
        Ok(Self { id, role, server: server.await?, state })
    }

    /// Its name.
    pub fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// What it is now.
    pub fn role(&self) -> Role {
        lock(&self.state).ordered.unwrap_or(self.role)
    }

    /// Orders that it took: holder and fencing token.
    pub fn orders(&self) -> Vec<(String, u64)> {
        lock(&self.state).orders.clone()
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Fails from now on.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        (state.fault, state.left) = (fault, None);
    }

    /// Fails the next requests.
    pub fn fail_next(&self, fault: Fault, count: u32) {
        let mut state = lock(&self.state);
        (state.fault, state.left) = (fault, Some(count));
    }

    /// Ends at once, with all connections.
    pub async fn kill(&self) {
        self.server.kill().await;
    }

    /// What reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state).arrivals.clone()
    }

    /// What it ran.
    pub fn runs(&self) -> Vec<Arrival> {
        self.arrivals().into_iter().filter(|arrival| arrival.ran).collect()
    }

    /// Streams under way.
    pub fn running(&self) -> u32 {
        lock(&self.state).running
    }

    /// Streams whose callers left.
    pub fn abandoned(&self) -> u32 {
        lock(&self.state).abandoned
    }

    /// Reservations that were neither used nor released.
    pub fn holds(&self) -> usize {
        lock(&self.state).holds.len()
    }

    /// Reservations and results given back.
    pub fn released(&self) -> u64 {
        lock(&self.state).released
    }
}

/// One request on its way through the endpoint.
struct Call {
    id: Arc<str>,
    role: Role,
    state: Arc<Mutex<State>>,
    results: Results,
    head: Request,
    body: Bytes,
}

impl Call {
    async fn answer(self, connection: Connection) -> (Connection, Then) {
        let expected = self.head.fields.get("Tarragonhill-Expected-Instance");
        let is_other = lock(&self.state).fault == Fault::Replaced;
        if is_other || expected.is_some_and(|expected| expected != &*self.id) {
            let instance = if is_other { "another" } else { &*self.id };
            let head = self.head(421, false);
            let mut head = head;
            head.fields.push("Tarragonhill-Instance-Id", instance);
            return send(connection, head, b"", Then::Keep).await;
        }
        match (self.head.method.as_str(), self.head.path()) {
            ("POST", "/v1/hold-take") => self.hold(connection).await,
            ("DELETE", path) if path.starts_with("/v1/hold-drop/") || path.starts_with("/v1/kv-handle/") => {
                self.release(connection).await
            }
            ("GET", "/v1/report") => {
                let report = {
                    let state = lock(&self.state);
                    let stage = state.ordered.unwrap_or(self.role).to_string();
                    json!({"stage": stage, "busy": false, "seq": state.orders.len()})
                };
                self.json(connection, 200, &report).await
            }
            ("POST", "/v1/order") => self.order(connection).await,
            ("GET", "/health") => self.json(connection, 200, &json!({})).await,
            _ => self.work(connection).await,
        }
    }

    async fn hold(self, connection: Connection) -> (Connection, Then) {
        let wanted: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let tokens = wanted["tokens"].as_u64().unwrap_or(u64::MAX);
        let granted = {
            let mut state = lock(&self.state);
            (state.memory >= tokens).then(|| {
                state.memory -= tokens;
                let name = state.name("h");
                state.holds.insert(name.clone(), tokens);
                name
            })
        };
        match granted {
            Some(name) => self.json(connection, 200, &json!({"hold": name})).await,
            None => self.refuse(connection).await,
        }
    }

    async fn order(self, connection: Connection) -> (Connection, Then) {
        let order: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let stage = match order["stage"].as_str() {
            Some("prefill") => Some(Role::Prefill),
            Some("decode") => Some(Role::Decode),
            _ => None,
        };
        let (Some(stage), Some(holder), Some(token)) =
            (stage, order["holder"].as_str(), order["fencing_token"].as_u64())
        else {
            return send(connection, self.head(400, false), b"", Then::Keep).await;
        };
        let is_current = {
            let mut state = lock(&self.state);
            let is_current = order["expected_revision"].as_u64() == Some(state.orders.len() as u64);
            if is_current {
                state.orders.push((holder.into(), token));
                state.ordered = Some(stage);
            }
            is_current
        };
        self.json(connection, if is_current { 202 } else { 409 }, &json!({})).await
    }

    async fn release(self, connection: Connection) -> (Connection, Then) {
        let name = self.head.path().rsplit('/').next().unwrap_or_default().to_owned();
        {
            let mut state = lock(&self.state);
            state.released += 1;
            if let Some(tokens) = state.holds.remove(&name) {
                state.memory += tokens;
            }
        }
        lock(&self.results).remove(&name);
        self.json(connection, 200, &json!({})).await
    }

    async fn work(self, connection: Connection) -> (Connection, Then) {
        let fault = lock(&self.state).take_fault();
        match fault {
            Fault::Refuse | Fault::RefuseLate => {
                if fault == Fault::RefuseLate {
                    task::sleep(LATE).await;
                }
                self.note(false);
                return self.refuse(connection).await;
            }
            Fault::Busy => {
                self.note(false);
                return send(connection, self.head(503, false), b"", Then::Keep).await;
            }
            _ => {}
        }
        let stage = self.head.fields.get("Tarragonhill-Serving-Stage");
        let role = lock(&self.state).ordered.unwrap_or(self.role);
        match (role, stage) {
            (Role::Prefill, Some("prefill")) => self.prefill(connection, fault).await,
            (Role::Decode, None) => self.decode(connection, fault).await,
            (Role::Plain, None) => self.plain(connection, fault).await,
            _ => send(connection, self.head(421, false), b"", Then::Keep).await,
        }
    }

    async fn prefill(self, connection: Connection, fault: Fault) -> (Connection, Then) {
        self.note(true);
        if fault == Fault::ResetAfterRun {
            return (connection, Then::Reset);
        }
        if fault == Fault::Hang {
            return hang(connection).await;
        }
        let name = format!("{}-{}", self.id, lock(&self.state).name("r"));
        lock(&self.results).insert(name.clone());
        task::sleep(STEP).await;
        self.json(connection, 200, &json!({"kv_handle": name, "tokens": 1, "version": 1})).await
    }

    async fn decode(self, connection: Connection, fault: Fault) -> (Connection, Then) {
        if let Some(source) = self.head.fields.get("Tarragonhill-Kv-Source") {
            let name = source.rsplit('/').next().unwrap_or_default();
            if !lock(&self.results).remove(name) {
                self.note(false);
                return self.refuse(connection).await;
            }
        }
        let hold = self.head.fields.get("Tarragonhill-Kv-Hold").map(str::to_owned);
        let held = hold.as_ref().and_then(|hold| lock(&self.state).holds.remove(hold));
        self.note(true);
        lock(&self.state).running += 1;
        let ended = self.stream(connection, fault).await;
        let mut state = lock(&self.state);
        state.running -= 1;
        state.memory += held.unwrap_or(0);
        ended
    }

    async fn stream(&self, mut connection: Connection, fault: Fault) -> (Connection, Then) {
        match fault {
            Fault::ResetAfterRun => return (connection, Then::Reset),
            Fault::Hang => return hang(connection).await,
            Fault::Error => return send(connection, self.head(500, true), b"failed", Then::Keep).await,
            _ => {}
        }
        let mut head = self.head(200, fault != Fault::Unsigned);
        head.fields.push("Content-Type", "text/event-stream");
        head.fields.push("Transfer-Encoding", "chunked");
        if connection.write(&head.encode()).await.is_err() {
            return (connection, Then::Close);
        }
        let last = self.head.fields.get("Last-Event-Id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for id in last + 1..=EVENTS {
            let event = format!("id: {id}\ndata: token-{id}\n\n");
            let is_middle = id == EVENTS / 2;
            if is_middle && fault == Fault::Cut {
                return (connection, Then::Reset);
            }
            if is_middle && fault == Fault::Silent {
                return hang(connection).await;
            }
            if is_middle && fault == Fault::CutInEvent {
                let _ = connection.write(&chunk(&event.as_bytes()[..event.len() / 2])).await;
                return (connection, Then::Close);
            }
            let mut left = self.left(&mut connection).await;
            left |= connection.write(&chunk(event.as_bytes())).await.is_err();
            if left {
                lock(&self.state).abandoned += 1;
                return (connection, Then::Close);
            }
        }
        let _ = connection.write(LAST_CHUNK).await;
        (connection, Then::Keep)
    }

    /// Waits for one step; true if the caller closes its connection meanwhile.
    async fn left(&self, connection: &mut Connection) -> bool {
        let step = async {
            task::sleep(STEP).await;
            false
        };
        let closed = async { !matches!(connection.fill().await, Ok(read) if read > 0) };
        future::or(step, closed).await
    }

    async fn plain(self, connection: Connection, fault: Fault) -> (Connection, Then) {
        self.note(true);
        let body =
            format!("{} {} {}", self.head.method, self.head.target, String::from_utf8_lossy(&self.body));
        let good = self.head(200, fault != Fault::Unsigned);
        match fault {
            Fault::ResetAfterRun => (connection, Then::Reset),
            Fault::Hang => hang(connection).await,
            Fault::Error => send(connection, self.head(500, true), b"failed", Then::Keep).await,
            Fault::Cut | Fault::CutInEvent => {
                let mut connection = connection;
                let mut head = good;
                head.fields.push("Content-Length", body.len().to_string());
                let _ = connection.write(&head.encode()).await;
                let _ = connection.write(&body.as_bytes()[..body.len() / 2]).await;
                (connection, Then::Close)
            }
            Fault::Unframed => {
                let mut connection = connection;
                let _ = connection.write(&good.encode()).await;
                let _ = connection.write(body.as_bytes()).await;
                (connection, Then::Close)
            }
            Fault::Extra => {
                let second = self.head(200, true);
                let (mut connection, then) = send(connection, good, body.as_bytes(), Then::Keep).await;
                // Behind the first, at the place of the next answer.
                task::sleep(STEP).await;
                let mut second = second;
                second.fields.push("Content-Length", "5");
                let _ = connection.write(&second.encode()).await;
                let _ = connection.write(b"stray").await;
                (connection, then)
            }
            _ => send(connection, good, body.as_bytes(), Then::Keep).await,
        }
    }

    fn note(&self, ran: bool) {
        let arrival = Arrival { head: self.head.clone(), body: self.body.clone(), ran };
        lock(&self.state).arrivals.push(arrival);
    }

    fn head(&self, status: u16, signed: bool) -> Response {
        let mut head = Response::new(status);
        if let Some(id) = self.head.fields.get("Tarragonhill-Request-Id") {
            head.fields.push("Tarragonhill-Request-Id", id);
        }
        if signed {
            head.fields.push("Tarragonhill-Server-Signature", format!("{}.1", self.id));
        }
        head
    }

    async fn refuse(&self, connection: Connection) -> (Connection, Then) {
        let mut head = self.head(503, false);
        head.fields.push("Tarragonhill-Not-Executed", "1");
        send(connection, head, b"", Then::Keep).await
    }

    async fn json(&self, connection: Connection, status: u16, value: &Value) -> (Connection, Then) {
        let mut head = self.head(status, false);
        head.fields.push("Content-Type", "application/json");
        send(connection, head, value.to_string().as_bytes(), Then::Keep).await
    }
}

async fn hang(mut connection: Connection) -> (Connection, Then) {
    while matches!(connection.fill().await, Ok(read) if read > 0) {}
    (connection, Then::Close)
}

async fn send(mut connection: Connection, mut head: Response, body: &[u8], then: Then) -> (Connection, Then) {
    head.fields.push("Content-Length", body.len().to_string());
    let mut bytes = head.encode();
    bytes.extend_from_slice(body);
    let written = connection.write(&bytes).await;
    (connection, if written.is_ok() { then } else { Then::Close })
}
