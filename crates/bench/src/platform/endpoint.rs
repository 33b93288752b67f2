//! A simulated endpoint: a model engine for prefill or decode, or a plain service.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock},
    time::{Duration, Instant},
};

use async_std::task;
use bytes::Bytes;
use futures_lite::future;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use strum::{Display, EnumIter};
use tarragonhill_h1::{
    Connection,
    body::{LAST_CHUNK, chunk},
    head::{Request, Response},
};

use super::server::{Action, Server};
use crate::sim::lock;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which bytes without an end are sent slowly.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of [`Fault::RefuseLate`]; longer than the hedging delay of the gateway.
const LATE_REFUSAL_DELAY: Duration = Duration::from_millis(700);
/// Period in which requests to an endpoint that has named a limit are counted.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// What [`Fault::Trailer`] sends after the last event.
pub const STREAM_TRAILER: &[u8] = b"\n: end\n";
/// Number of events in a complete stream.
pub const EVENT_COUNT: u32 = 20;

/// Role of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// An engine for prefill.
    Prefill,
    /// An engine for decode.
    Decode,
    /// A plain service.
    Plain,
}

/// A fault of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Responds with status 503 and reports that the request was not executed.
    Refuse,
    /// Same as `Refuse`, after a delay.
    RefuseLate,
    /// Same as `Refuse`, also for reservations, and asks for no requests during this time.
    RefuseFor(Duration),
    /// Responds with status 503 and does not report whether the request was executed.
    Busy,
    /// Responds with status 500 and a valid signature.
    Error,
    /// Executes the request and resets the connection.
    ResetAfterRun,
    /// Executes the request and never responds.
    Hang,
    /// Executes the request and resets the connection after this many bytes of the response.
    ResetAt(usize),
    /// Ends the connection in the middle of the response.
    Cut,
    /// Closes the connection in the middle of an event, without the last chunk.
    CutInEvent,
    /// Ends the response in the middle of an event as if it were complete.
    EndInEvent,
    /// Ends the response after half of the events as if it were complete.
    EndEarly,
    /// Ends the response before the first event as if it were complete.
    EndAtOnce,
    /// Sends an empty line and a comment after the last event of a stream.
    Trailer,
    /// Stops sending in the middle of a stream and keeps the connection open.
    Silent,
    /// Sends an additional response after the first one.
    Extra,
    /// Sends an informational response, which says nothing about the endpoint, before the first one.
    Informational,
    /// Sends a response without a length and closes the connection.
    Unframed,
    /// Responds without a signature.
    Unsigned,
    /// Reports that another endpoint listens at the address.
    Replaced,
    /// Loses prefill results as soon as they are there.
    LoseResult,
}

/// A request that the endpoint received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request line and headers.
    pub head: Request,
    /// Body, without transfer encoding.
    pub body: Bytes,
    /// Whether the endpoint executed it.
    pub was_executed: bool,
    /// When it arrived.
    pub received_at: Instant,
}

/// Bytes without an end that an endpoint sends in place of a response, until the caller closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Endless {
    /// Bytes that begin no head.
    Bytes,
    /// Fields of a head.
    Head,
    /// The body of a successful response that ends with its connection, without an event.
    Body,
    /// The same in chunks.
    Chunks,
    /// The body of a refusal.
    Refusal,
}

/// How fast an endpoint sends bytes without an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Pace {
    /// As fast as the caller reads.
    Fast,
    /// A few bytes at a time.
    Slow,
}

/// Responses without an end to some calls, by the first of several endpoints that gets one.
#[derive(Clone, Debug)]
pub struct EndlessFault {
    /// Beginning of the paths of the calls.
    pub path: &'static str,
    /// What is sent.
    pub endless: Endless,
    /// How fast.
    pub pace: Pace,
    /// The endpoint that got the first call.
    pub endpoint: Arc<OnceLock<Arc<str>>>,
}

impl EndlessFault {
    /// Returns whether an endpoint responds to a call without an end.
    fn concerns(&self, endpoint: &Arc<str>, path: &str) -> bool {
        path.starts_with(self.path) && self.endpoint.get_or_init(|| endpoint.clone()) == endpoint
    }
}

/// Where in a response an endpoint crashes. Calls have no events; there, those points are in the middle of the body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the first byte.
    BeforeHead,
    /// Between the head and the body.
    #[default]
    AfterHead,
    /// In the middle of the event with this number, counted from where the response begins.
    InsideEvent(u32),
    /// Right after the event with this number.
    AfterEvent(u32),
    /// After the last byte.
    AtEnd,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    /// Whether responses of a plain service or a prefill, and streams in their middle, are held back.
    is_paused: bool,
    /// Number of requests that still fail; `None` is unlimited.
    remaining_faults: Option<u32>,
    is_leaving: bool,
    /// Start of the process, if it is not part of the id.
    born: Option<u64>,
    /// Whether responses have neither a length nor chunks and end with their connection.
    is_unframed: bool,
    /// Software version that events name; none if it is empty.
    version: String,
    /// Whether a stream begins each event together with the end of the one before, so that its end shows whenever the process
    /// is killed.
    is_eager: bool,
    /// Bytes by which each event is longer.
    padding: usize,
    /// Whether these bytes are no text.
    is_binary: bool,
    /// Id of the event before the one in the middle of a stream, if it is not its number.
    odd_event_id: Option<&'static str>,
    /// Name of a field without a meaning that all responses carry.
    extra_field: Option<&'static str>,
    /// End of the cold phase.
    cold_until: Option<Instant>,
    /// When requests arrived during cold phases.
    cold_arrivals: Vec<Instant>,
    /// Requests a second that the endpoint takes from all gateways together; `None` if it names no limit.
    limit: Option<f64>,
    /// When the endpoint first named its limit.
    limited_since: Option<Instant>,
    /// When requests arrived while the endpoint named a limit.
    limited_arrivals: Vec<Instant>,
    received: Vec<ReceivedRequest>,
    service_time: Duration,
    /// All received requests, including control calls.
    calls: Vec<Request>,
    /// Memory that is not reserved, in tokens.
    free_tokens: u64,
    /// Tokens by reservation id.
    reservations: BTreeMap<String, u64>,
    released: u64,
    active_streams: u32,
    /// Number of plain requests that were executed and answered.
    answered: usize,
    /// Streams that are held back in their middle.
    held_streams: u32,
    /// Streams that ended because the caller disconnected.
    abandoned: u32,
    /// Whether faults occur in the middle of the remaining events of a resumed stream, not of all events.
    has_relative_faults: bool,
    /// Whether orders to change the role are refused.
    has_fixed_role: bool,
    /// Role assigned by the last order; replaces the initial role.
    assigned_role: Option<Role>,
    /// Ids of parts of prompts with which the process crashes when it responds.
    crashing_parts: Vec<String>,
    /// Body of requests with which it does.
    crashing_body: Option<Vec<u8>>,
    /// Where in the response it crashes.
    crash_point: CrashPoint,
    /// Whether it sends second copies of its own answers and refusals, late, and refuses each third reservation.
    is_doubling: bool,
    /// Reservations asked for while it does.
    doubling_reservations: u32,
    /// Whether refusals carry no request id.
    has_unnamed_refusals: bool,
    /// Second copies that are due when the next request on a connection arrives, by the caller's address.
    late: BTreeMap<SocketAddr, Vec<u8>>,
    /// Responses without an end, if it sends some.
    endless: Option<EndlessFault>,
    /// Responses without an end whose connections callers have closed.
    closed_endless: u32,
    /// When the process crashed.
    crashed_at: Option<Instant>,
    /// Beginning of the names of reservations and prefill results.
    name_prefix: String,
    /// Accepted orders: holder and fencing token.
    orders: Vec<(String, u64)>,
    last_id: u64,
}

impl State {
    fn take_fault(&mut self) -> Fault {
        match &mut self.remaining_faults {
            Some(0) => return Fault::None,
            Some(left) => *left -= 1,
            None => {}
        }
        self.fault
    }

    /// Returns the retry delay with which a reservation must be refused.
    fn take_reservation_refusal(&mut self) -> Option<Duration> {
        if !matches!(self.fault, Fault::RefuseFor(_)) {
            return None;
        }
        match self.take_fault() {
            Fault::RefuseFor(retry_after) => Some(retry_after),
            _ => None,
        }
    }

    fn next_id(&mut self, prefix: &str) -> String {
        self.last_id += 1;
        format!("{}{prefix}{}", self.name_prefix, self.last_id)
    }
}

/// Handles of prefill results that no decode has fetched yet.
#[derive(Clone, Debug)]
pub enum KvHandles {
    /// Of all engines of a site, which are in one process.
    Known(Arc<Mutex<BTreeSet<String>>>),
    /// Of engines in other processes: every handle counts as valid.
    Unknown,
}

impl Default for KvHandles {
    fn default() -> Self {
        Self::Known(Arc::default())
    }
}

impl KvHandles {
    fn insert(&self, handle: String) {
        if let Self::Known(handles) = self {
            lock(handles).insert(handle);
        }
    }

    /// Removes a handle and returns whether it was valid.
    fn take(&self, handle: &str) -> bool {
        match self {
            Self::Known(handles) => lock(handles).remove(handle),
            Self::Unknown => true,
        }
    }
}

/// A running endpoint.
pub struct Endpoint {
    id: Arc<str>,
    role: Role,
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Endpoint {
    /// Starts an endpoint with `free_tokens` tokens of memory. Port 0 selects an unused port.
    pub async fn start(
        id: &str,
        role: Role,
        address: SocketAddr,
        free_tokens: u64,
        kv_handles: KvHandles,
    ) -> io::Result<Self> {
        let id: Arc<str> = id.into();
        let state = Arc::new(Mutex::new(State { free_tokens, ..State::default() }));
        let (shared, own_id) = (state.clone(), id.clone());
        let server = Server::start(address, move |head, body, connection| {
            let exchange = Exchange {
                id: own_id.clone(),
                role,
                state: shared.clone(),
                kv_handles: kv_handles.clone(),
                head,
                body,
                received_at: Instant::now(),
            };
            async move { exchange.handle(connection).await }
        });
        Ok(Self { id, role, server: server.await?, state })
    }

    /// Returns the endpoint id.
    pub fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        lock(&self.state).assigned_role.unwrap_or(self.role)
    }

    /// Returns the accepted orders, as holder and fencing token.
    pub fn orders(&self) -> Vec<(String, u64)> {
        lock(&self.state).orders.clone()
    }

    /// Returns the local address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the fault of all further requests.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        (state.fault, state.remaining_faults) = (fault, None);
    }

    /// Sets the fault of the next `count` requests.
    pub fn fail_next(&self, fault: Fault, count: u32) {
        let mut state = lock(&self.state);
        (state.fault, state.remaining_faults) = (fault, Some(count));
    }

    /// Holds back the responses of a plain service or a prefill, and streams in their middle, or lets them
    /// continue.
    pub fn set_paused(&self, is_paused: bool) {
        lock(&self.state).is_paused = is_paused;
    }

    /// Takes all free memory, so that further reservations are refused.
    pub fn fill_memory(&self) {
        lock(&self.state).free_tokens = 0;
    }

    /// Sets how long a request takes: a plain one or a prefill before its response, a stream in addition to its
    /// usual duration.
    pub fn set_service_time(&self, service_time: Duration) {
        lock(&self.state).service_time = service_time;
    }

    /// Sets whether all further responses say that the endpoint is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        lock(&self.state).is_leaving = is_leaving;
    }

    /// Sets the software version that events name.
    pub fn set_version(&self, version: &str) {
        lock(&self.state).version = version.into();
    }

    /// Makes faults occur in the middle of the remaining events of a resumed stream.
    pub fn set_relative_faults(&self) {
        lock(&self.state).has_relative_faults = true;
    }

    /// Makes the names of further reservations and prefill results begin with `prefix`.
    pub fn set_name_prefix(&self, prefix: &str) {
        lock(&self.state).name_prefix = prefix.into();
    }

    /// Refuses all further orders to change the role.
    pub fn fix_role(&self) {
        lock(&self.state).has_fixed_role = true;
    }

    /// Makes streams begin each event together with the end of the one before.
    pub fn set_eager(&self) {
        lock(&self.state).is_eager = true;
    }

    /// Makes each event of a stream longer by this many bytes.
    pub fn set_padding(&self, bytes: usize) {
        lock(&self.state).padding = bytes;
    }

    /// Makes events contain bytes that are no text.
    pub fn set_binary(&self) {
        let mut state = lock(&self.state);
        (state.padding, state.is_binary) = (3, true);
    }

    /// Sets the id of the event before the one in the middle of streams.
    pub fn set_odd_event_id(&self, id: &'static str) {
        lock(&self.state).odd_event_id = Some(id);
    }

    /// Sets when the process started, for reports.
    pub fn set_born(&self, born: u64) {
        lock(&self.state).born = Some(born);
    }

    /// Sets whether all further responses have neither a length nor chunks and end with their connection.
    pub fn set_unframed(&self, is_unframed: bool) {
        lock(&self.state).is_unframed = is_unframed;
    }

    /// Adds a field without a meaning to all further responses.
    pub fn set_extra_field(&self, name: &'static str) {
        lock(&self.state).extra_field = Some(name);
    }

    /// Makes the endpoint cold for `span`, as after a start. Its row does not change.
    pub fn set_cold(&self, span: Duration) {
        lock(&self.state).cold_until = Some(Instant::now() + span);
    }

    /// Returns how much longer the endpoint is cold.
    pub fn cold(&self) -> Duration {
        let until = lock(&self.state).cold_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Returns the largest number of requests, without control calls, in any second of a cold phase.
    pub fn busiest_cold_second(&self) -> usize {
        let arrivals = lock(&self.state).cold_arrivals.clone();
        let within = |start: &Instant, at: &Instant| at.duration_since(*start) < Duration::from_secs(1);
        let counts = arrivals
            .iter()
            .enumerate()
            .map(|(index, start)| arrivals[index..].iter().take_while(|at| within(start, at)).count());
        counts.max().unwrap_or(0)
    }

    /// Names a limit in all further responses, in requests a second, or none.
    pub fn set_limit(&self, limit: Option<f64>) {
        let mut state = lock(&self.state);
        state.limit = limit;
        state.limited_since = None;
        state.limited_arrivals.clear();
    }

    /// Returns the largest number of requests, without control calls, in any [`LIMIT_WINDOW`] that begins at least
    /// `notice` after the endpoint first named its limit.
    pub fn busiest_limited_window(&self, notice: Duration) -> usize {
        let state = lock(&self.state);
        let Some(since) = state.limited_since else { return 0 };
        let arrivals: Vec<Instant> =
            state.limited_arrivals.iter().copied().filter(|at| at.duration_since(since) >= notice).collect();
        let within = |start: &Instant, at: &Instant| at.duration_since(*start) < LIMIT_WINDOW;
        let counts = arrivals
            .iter()
            .enumerate()
            .map(|(index, start)| arrivals[index..].iter().take_while(|at| within(start, at)).count());
        counts.max().unwrap_or(0)
    }

    /// Makes the process crash in the response to a prompt with one of these parts, unless it is the last one.
    pub fn set_crashing_parts(&self, parts: &[&str]) {
        lock(&self.state).crashing_parts = parts.iter().map(|part| (*part).into()).collect();
    }

    /// Makes the process send its refusals, and its responses to calls of the gateway's own, a second time when the next request
    /// on the connection arrives. Each third reservation is refused.
    pub fn set_doubling(&self, has_unnamed_refusals: bool) {
        let mut state = lock(&self.state);
        (state.is_doubling, state.has_unnamed_refusals) = (true, has_unnamed_refusals);
    }

    /// Makes the process respond without an end.
    pub fn set_endless(&self, fault: EndlessFault) {
        lock(&self.state).endless = Some(fault);
    }

    /// Returns the number of responses without an end whose connections callers have closed.
    pub fn closed_endless(&self) -> u32 {
        lock(&self.state).closed_endless
    }

    /// Makes the process crash in the response to requests with this body.
    pub fn set_crashing_body(&self, body: &[u8]) {
        lock(&self.state).crashing_body = Some(body.into());
    }

    /// Sets where in a response the process crashes.
    pub fn set_crash_point(&self, point: CrashPoint) {
        lock(&self.state).crash_point = point;
    }

    /// Crashes: all connections are reset, and nothing is read any more.
    pub fn crash(&self) {
        lock(&self.state).crashed_at.get_or_insert_with(Instant::now);
    }

    /// Returns when the process crashed.
    pub fn crashed_at(&self) -> Option<Instant> {
        lock(&self.state).crashed_at
    }

    /// Stops at once and closes all connections.
    pub async fn kill(&self) {
        self.server.kill().await;
    }

    /// Returns the received requests, without control calls.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.state).received.clone()
    }

    /// Returns the heads of all received requests, including control calls.
    pub fn received_calls(&self) -> Vec<Request> {
        lock(&self.state).calls.clone()
    }

    /// Returns the requests that were executed.
    pub fn executed(&self) -> Vec<ReceivedRequest> {
        self.received().into_iter().filter(|request| request.was_executed).collect()
    }

    /// Returns the number of streams in progress.
    pub fn active_streams(&self) -> u32 {
        lock(&self.state).active_streams
    }

    /// Returns the number of plain requests that were executed and answered.
    pub fn answered(&self) -> usize {
        lock(&self.state).answered
    }

    /// Returns the number of streams that are held back in their middle.
    pub fn held_streams(&self) -> u32 {
        lock(&self.state).held_streams
    }

    /// Returns the number of streams that ended because the caller disconnected.
    pub fn abandoned(&self) -> u32 {
        lock(&self.state).abandoned
    }

    /// Returns the number of reservations that were neither used nor released.
    pub fn reservations(&self) -> usize {
        lock(&self.state).reservations.len()
    }

    /// Returns the number of release calls, for reservations and prefill results.
    pub fn released(&self) -> u64 {
        lock(&self.state).released
    }
}

/// Returns the number at the end of an id, by which its first process counts as started.
pub(crate) fn start_number(id: &str) -> u64 {
    id.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// A request and the state needed to respond to it.
struct Exchange {
    id: Arc<str>,
    role: Role,
    state: Arc<Mutex<State>>,
    kv_handles: KvHandles,
    head: Request,
    body: Bytes,
    received_at: Instant,
}

impl Exchange {
    async fn handle(self, connection: Connection) -> (Connection, Action) {
        let state = self.state.clone();
        if has_crashed(&state) {
            return (connection, Action::Reset);
        }
        let (connection, action) = self.respond(connection).await;
        let is_reset = has_crashed(&state) && !matches!(action, Action::Exit { .. });
        (connection, if is_reset { Action::Reset } else { action })
    }

    async fn respond(self, mut connection: Connection) -> (Connection, Action) {
        lock(&self.state).calls.push(self.head.clone());
        let late = connection.stream().peer_addr().ok().and_then(|peer| lock(&self.state).late.remove(&peer));
        if let Some(late) = late {
            let _ = connection.write(&late).await;
        }
        let endless = lock(&self.state).endless.clone();
        if let Some(EndlessFault { endless, pace, .. }) =
            endless.filter(|fault| fault.concerns(&self.id, self.head.path()))
        {
            return self.send_endless(connection, endless, pace).await;
        }
        let expected = self.head.fields.get("Tarragonhill-Expected-Instance");
        let is_replaced = lock(&self.state).fault == Fault::Replaced;
        if is_replaced || expected.is_some_and(|expected| expected != &*self.id) {
            let instance = if is_replaced { "another" } else { &*self.id };
            let head = self.new_head(421, false);
            let mut head = head;
            head.fields.push("Tarragonhill-Instance-Id", instance);
            return send(connection, head, b"", Action::Keep).await;
        }
        match (self.head.method.as_str(), self.head.path()) {
            ("POST", "/v1/hold-take") => self.reserve(connection).await,
            ("DELETE", path) if path.starts_with("/v1/hold-drop/") || path.starts_with("/v1/kv-handle/") => {
                self.release(connection).await
            }
            ("GET", "/v1/report") => {
                let report = {
                    let state = lock(&self.state);
                    let role = state.assigned_role.unwrap_or(self.role).to_string();
                    let born = state.born.unwrap_or_else(|| start_number(&self.id));
                    json!({"stage": role, "busy": false, "seq": state.orders.len(), "born": born})
                };
                self.send_json(connection, 200, &report).await
            }
            ("POST", "/v1/order") => self.change_role(connection).await,
            ("GET", "/health") => self.send_json(connection, 200, &json!({})).await,
            _ => self.execute(connection).await,
        }
    }

    async fn send_endless(
        self,
        mut connection: Connection,
        endless: Endless,
        pace: Pace,
    ) -> (Connection, Action) {
        self.record(endless != Endless::Refusal);
        let status = if endless == Endless::Refusal { 503 } else { 200 };
        let mut head = self.new_head(status, status == 200);
        match endless {
            Endless::Refusal => head.fields.push("Tarragonhill-Not-Executed", "1"),
            Endless::Chunks => head.fields.push("Transfer-Encoding", "chunked"),
            Endless::Bytes | Endless::Head | Endless::Body => {}
        }
        let mut begin = match endless {
            Endless::Bytes => Vec::new(),
            _ => head.encode(),
        };
        if endless == Endless::Head {
            // The empty line that ends the head.
            begin.truncate(begin.len() - 2);
        }
        let count = if pace == Pace::Fast { 512 } else { 1 };
        let more = match endless {
            Endless::Head => b"X-Padding: 12345\r\n".repeat(count),
            Endless::Chunks => chunk(b"bytes of no event").repeat(count),
            Endless::Bytes | Endless::Body | Endless::Refusal => b"no response.".repeat(count),
        };
        let mut is_open = connection.write(&begin).await.is_ok();
        while is_open {
            is_open = connection.write(&more).await.is_ok();
            if pace == Pace::Slow {
                task::sleep(SLOW_INTERVAL).await;
            }
        }
        lock(&self.state).closed_endless += 1;
        (connection, Action::Close)
    }

    async fn reserve(self, connection: Connection) -> (Connection, Action) {
        let refusal = lock(&self.state).take_reservation_refusal();
        let is_third = {
            let mut state = lock(&self.state);
            state.doubling_reservations += u32::from(state.is_doubling);
            state.doubling_reservations % 3 == 2
        };
        if refusal.is_some() || is_third {
            return self.refuse(connection, refusal).await;
        }
        let reservation: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let tokens = reservation["tokens"].as_u64().unwrap_or(u64::MAX);
        let granted = {
            let mut state = lock(&self.state);
            (state.free_tokens >= tokens).then(|| {
                state.free_tokens -= tokens;
                let id = state.next_id("h");
                state.reservations.insert(id.clone(), tokens);
                id
            })
        };
        match granted {
            Some(id) => self.send_json(connection, 200, &json!({"hold": id})).await,
            None => self.refuse(connection, None).await,
        }
    }

    async fn change_role(self, connection: Connection) -> (Connection, Action) {
        let order: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let role = match order["stage"].as_str() {
            Some("prefill") => Some(Role::Prefill),
            Some("decode") => Some(Role::Decode),
            _ => None,
        };
        let (Some(role), Some(holder), Some(token)) =
            (role, order["holder"].as_str(), order["fencing_token"].as_u64())
        else {
            return send(connection, self.new_head(400, false), b"", Action::Keep).await;
        };
        let is_current = {
            let mut state = lock(&self.state);
            let is_expected = order["expected_revision"].as_u64() == Some(state.orders.len() as u64);
            let is_current = is_expected && !state.has_fixed_role;
            if is_current {
                state.orders.push((holder.into(), token));
                state.assigned_role = Some(role);
            }
            is_current
        };
        self.send_json(connection, if is_current { 202 } else { 409 }, &json!({})).await
    }

    async fn release(self, connection: Connection) -> (Connection, Action) {
        let segment = self.head.path().rsplit('/').next().unwrap_or_default();
        let id = percent_decode_str(segment).decode_utf8_lossy().into_owned();
        {
            let mut state = lock(&self.state);
            state.released += 1;
            if let Some(tokens) = state.reservations.remove(&id) {
                state.free_tokens += tokens;
            }
        }
        self.kv_handles.take(&id);
        self.send_json(connection, 200, &json!({})).await
    }

    async fn execute(self, connection: Connection) -> (Connection, Action) {
        {
            let (mut state, now) = (lock(&self.state), Instant::now());
            if state.cold_until.is_some_and(|until| until > now) {
                state.cold_arrivals.push(now);
            }
            if state.limited_since.is_some() {
                state.limited_arrivals.push(now);
            }
        }
        let fault = lock(&self.state).take_fault();
        match fault {
            Fault::Refuse | Fault::RefuseLate => {
                if fault == Fault::RefuseLate {
                    task::sleep(LATE_REFUSAL_DELAY).await;
                }
                self.record(false);
                return self.refuse(connection, None).await;
            }
            Fault::RefuseFor(retry_after) => {
                self.record(false);
                return self.refuse(connection, Some(retry_after)).await;
            }
            Fault::Busy => {
                self.record(false);
                return send(connection, self.new_head(503, false), b"", Action::Keep).await;
            }
            _ => {}
        }
        let stage = self.head.fields.get("Tarragonhill-Serving-Stage");
        let role = lock(&self.state).assigned_role.unwrap_or(self.role);
        match (role, stage) {
            (Role::Prefill, Some("prefill")) => self.prefill(connection, fault).await,
            (Role::Decode, None) => self.decode(connection, fault).await,
            (Role::Plain, None) => self.plain(connection, fault).await,
            _ => send(connection, self.new_head(421, false), b"", Action::Keep).await,
        }
    }

    async fn prefill(self, connection: Connection, fault: Fault) -> (Connection, Action) {
        self.record(true);
        if fault == Fault::ResetAfterRun {
            return (connection, Action::Reset);
        }
        if fault == Fault::Hang {
            return wait_for_close(connection).await;
        }
        let handle = lock(&self.state).next_id(&format!("{}-r", self.id));
        if fault != Fault::LoseResult {
            self.kv_handles.insert(handle.clone());
        }
        self.wait_while_paused().await;
        task::sleep(EVENT_INTERVAL + self.service_time()).await;
        self.send_json(connection, 200, &json!({"kv_handle": handle, "tokens": 1, "version": 1})).await
    }

    async fn decode(self, connection: Connection, fault: Fault) -> (Connection, Action) {
        if let Some(source) = self.head.fields.get("Tarragonhill-Kv-Source") {
            // The name may contain slashes itself.
            let handle = source.split_once('/').map_or("", |(_, handle)| handle);
            if !self.kv_handles.take(handle) {
                self.record(false);
                return self.refuse(connection, None).await;
            }
        }
        let reservation = self.head.fields.get("Tarragonhill-Kv-Hold").map(str::to_owned);
        let reserved_tokens = reservation.as_ref().and_then(|id| lock(&self.state).reservations.remove(id));
        self.record(true);
        lock(&self.state).active_streams += 1;
        let result = self.stream(connection, fault).await;
        let mut state = lock(&self.state);
        state.active_streams -= 1;
        state.free_tokens += reserved_tokens.unwrap_or(0);
        result
    }

    async fn stream(&self, mut connection: Connection, fault: Fault) -> (Connection, Action) {
        match fault {
            Fault::ResetAfterRun => return (connection, Action::Reset),
            Fault::Hang => return wait_for_close(connection).await,
            Fault::Error => return send(connection, self.new_head(500, true), b"failed", Action::Keep).await,
            _ => {}
        }
        if self.crash_point() == Some(CrashPoint::BeforeHead) {
            return self.crash(connection, CrashPoint::BeforeHead);
        }
        let mut head = self.new_head(200, fault != Fault::Unsigned);
        head.fields.push("Content-Type", "text/event-stream");
        let is_chunked = !self.is_unframed();
        if is_chunked {
            head.fields.push("Transfer-Encoding", "chunked");
        }
        let frame = |data: &[u8]| if is_chunked { chunk(data) } else { data.to_vec() };
        let mut budget = match fault {
            Fault::ResetAt(bytes) => Some(bytes),
            _ => None,
        };
        if !write_within(&mut connection, &head.encode(), &mut budget).await {
            return (connection, if budget.is_some() { Action::Reset } else { Action::Close });
        }
        let crash_point = self.crash_point();
        if crash_point == Some(CrashPoint::AfterHead) {
            return self.crash(connection, CrashPoint::AfterHead);
        }
        let last_id = self.head.fields.get("Last-Event-Id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let count = if fault == Fault::EndAtOnce { 0 } else { EVENT_COUNT };
        let start = if lock(&self.state).has_relative_faults { last_id.min(EVENT_COUNT) } else { 0 };
        let middle = start + (EVENT_COUNT - start) / 2;
        for id in last_id + 1..=count {
            let event = self.event(id, id > last_id + 1, id < count);
            let is_middle = id == middle;
            let mut is_disconnected = false;
            lock(&self.state).held_streams += u32::from(is_middle);
            while is_middle && !is_disconnected && lock(&self.state).is_paused {
                is_disconnected = self.wait_for_disconnect(&mut connection).await;
            }
            lock(&self.state).held_streams -= u32::from(is_middle);
            if is_middle && fault == Fault::Cut {
                return (connection, Action::Reset);
            }
            if is_middle && fault == Fault::Silent {
                let closed = wait_for_close(connection).await;
                lock(&self.state).abandoned += 1;
                return closed;
            }
            if is_middle && matches!(fault, Fault::CutInEvent | Fault::EndInEvent) {
                let _ = connection.write(&frame(&event[..event.len() / 2])).await;
            }
            if is_middle && fault == Fault::CutInEvent {
                return (connection, Action::Close);
            }
            if is_middle && matches!(fault, Fault::EndInEvent | Fault::EndEarly) {
                break;
            }
            is_disconnected |= self.wait_for_disconnect(&mut connection).await;
            if has_crashed(&self.state) {
                return (connection, Action::Reset);
            }
            if crash_point == Some(CrashPoint::InsideEvent(id - last_id)) {
                let _ = connection.write(&frame(&event[..event.len() / 2])).await;
                return self.crash(connection, CrashPoint::InsideEvent(id - last_id));
            }
            is_disconnected |= !write_within(&mut connection, &frame(&event), &mut budget).await;
            if crash_point == Some(CrashPoint::AfterEvent(id - last_id)) {
                return self.crash(connection, CrashPoint::AfterEvent(id - last_id));
            }
            if budget == Some(0) {
                return (connection, Action::Reset);
            }
            if is_disconnected {
                lock(&self.state).abandoned += 1;
                return (connection, Action::Close);
            }
        }
        if fault == Fault::Trailer {
            write_within(&mut connection, &frame(STREAM_TRAILER), &mut budget).await;
        }
        if crash_point == Some(CrashPoint::AtEnd) {
            let _ = connection.write(if is_chunked { LAST_CHUNK } else { b"" }).await;
            return self.crash(connection, CrashPoint::AtEnd);
        }
        if !is_chunked {
            return (connection, Action::Close);
        }
        let is_written = write_within(&mut connection, LAST_CHUNK, &mut budget).await;
        (connection, if is_written || budget.is_none() { Action::Keep } else { Action::Reset })
    }

    /// Returns where in the response the process crashes; `None` if the request does not crash it.
    fn crash_point(&self) -> Option<CrashPoint> {
        let state = lock(&self.state);
        let has_crashing_body = state.crashing_body.as_deref().is_some_and(|body| body == &*self.body);
        let point = state.crash_point;
        drop(state);
        (has_crashing_body || self.has_crashing_part()).then_some(point)
    }

    /// Ends the process. Unless the response was written whole, the other side sees an error.
    fn crash(&self, connection: Connection, point: CrashPoint) -> (Connection, Action) {
        lock(&self.state).crashed_at.get_or_insert_with(Instant::now);
        (connection, Action::Exit { is_reset: point != CrashPoint::AtEnd })
    }

    /// Returns whether the prompt has the part that crashes the process.
    fn has_crashing_part(&self) -> bool {
        let parts = self.head.fields.get("Tarragonhill-Prompt-Prefix").unwrap_or_default().split(',');
        let ids: Vec<&str> = parts.filter_map(|part| Some(part.split_once(':')?.0)).collect();
        let state = lock(&self.state);
        let is_crashing = |id: &&str| state.crashing_parts.iter().any(|part| part == id);
        ids.split_last().is_some_and(|(_, shared)| shared.iter().any(is_crashing))
    }

    /// Returns what is sent for an event. `has_begun` tells whether its beginning was sent with the event before.
    fn event(&self, id: u32, has_begun: bool, has_next: bool) -> Vec<u8> {
        let state = lock(&self.state);
        let version = if state.version.is_empty() { String::new() } else { format!("{} ", state.version) };
        let begin = if state.is_eager && has_begun { String::new() } else { format!("id: {id}\n") };
        let next = if state.is_eager && has_next { format!("id: {}\n", id + 1) } else { String::new() };
        let begin = match state.odd_event_id {
            Some(odd) if id == EVENT_COUNT / 2 - 1 => format!("id: {odd}\n"),
            _ => begin,
        };
        let padding = vec![if state.is_binary { 0xff } else { b'.' }; state.padding];
        let data = format!("{begin}data: {version}token-{id}");
        [data.as_bytes(), &padding, b"\n\n", next.as_bytes()].concat()
    }

    /// Waits for one event interval; returns whether the caller disconnects meanwhile.
    async fn wait_for_disconnect(&self, connection: &mut Connection) -> bool {
        let interval = async {
            task::sleep(EVENT_INTERVAL + self.service_time() / EVENT_COUNT).await;
            false
        };
        let closed = async { !matches!(connection.fill().await, Ok(read) if read > 0) };
        future::or(interval, closed).await
    }

    async fn plain(self, connection: Connection, fault: Fault) -> (Connection, Action) {
        self.record(true);
        self.wait_while_paused().await;
        task::sleep(self.service_time()).await;
        lock(&self.state).answered += 1;
        let body =
            format!("{} {} {}", self.head.method, self.head.target, String::from_utf8_lossy(&self.body));
        let success_head = self.new_head(200, fault != Fault::Unsigned);
        if let Some(point) = self.crash_point() {
            return self.crash_in_answer(connection, point, &success_head, body.as_bytes()).await;
        }
        if self.head.method == "HEAD" {
            return send_head(connection, success_head, body.len(), self.is_unframed()).await;
        }
        match fault {
            Fault::ResetAfterRun => (connection, Action::Reset),
            Fault::ResetAt(bytes) => {
                let (mut connection, mut head) = (connection, success_head);
                if !self.is_unframed() {
                    head.fields.push("Content-Length", body.len().to_string());
                }
                let response = [&head.encode(), body.as_bytes()].concat();
                let is_written = write_within(&mut connection, &response, &mut Some(bytes)).await;
                let sound = if self.is_unframed() { Action::Close } else { Action::Keep };
                (connection, if is_written { sound } else { Action::Reset })
            }
            Fault::Hang => wait_for_close(connection).await,
            Fault::Error => send(connection, self.new_head(500, true), b"failed", Action::Keep).await,
            Fault::Cut | Fault::CutInEvent => {
                let mut connection = connection;
                let mut head = success_head;
                head.fields.push("Content-Length", body.len().to_string());
                let _ = connection.write(&head.encode()).await;
                let _ = connection.write(&body.as_bytes()[..body.len() / 2]).await;
                (connection, Action::Close)
            }
            Fault::Informational => {
                let mut connection = connection;
                let _ = connection.write(b"HTTP/1.1 103 Early Hints\r\n\r\n").await;
                task::sleep(self.service_time()).await;
                send(connection, success_head, body.as_bytes(), Action::Keep).await
            }
            Fault::Unframed => send_unframed(connection, &success_head, body.as_bytes()).await,
            Fault::Extra => {
                let extra_head = self.new_head(200, true);
                let (mut connection, action) =
                    send(connection, success_head, body.as_bytes(), Action::Keep).await;
                // Sent separately, where the caller expects the response to its next request.
                task::sleep(EVENT_INTERVAL).await;
                let mut extra_head = extra_head;
                extra_head.fields.push("Content-Length", "5");
                let _ = connection.write(&extra_head.encode()).await;
                let _ = connection.write(b"stray").await;
                (connection, action)
            }
            _ if self.is_unframed() => send_unframed(connection, &success_head, body.as_bytes()).await,
            _ => send(connection, success_head, body.as_bytes(), Action::Keep).await,
        }
    }

    /// Crashes in the response to a call, which has no events.
    async fn crash_in_answer(
        &self,
        mut connection: Connection,
        point: CrashPoint,
        head: &Response,
        body: &[u8],
    ) -> (Connection, Action) {
        let mut head = head.clone();
        if !self.is_unframed() {
            head.fields.push("Content-Length", body.len().to_string());
        }
        let written = match point {
            CrashPoint::BeforeHead => Vec::new(),
            CrashPoint::AfterHead => head.encode(),
            CrashPoint::InsideEvent(_) | CrashPoint::AfterEvent(_) => {
                [&head.encode(), &body[..body.len() / 2]].concat()
            }
            CrashPoint::AtEnd => [&head.encode(), body].concat(),
        };
        let _ = connection.write(&written).await;
        self.crash(connection, point)
    }

    async fn wait_while_paused(&self) {
        while lock(&self.state).is_paused {
            task::sleep(EVENT_INTERVAL).await;
        }
    }

    fn service_time(&self) -> Duration {
        lock(&self.state).service_time
    }

    fn is_unframed(&self) -> bool {
        lock(&self.state).is_unframed
    }

    fn record(&self, was_executed: bool) {
        let (head, body) = (self.head.clone(), self.body.clone());
        let request = ReceivedRequest { head, body, was_executed, received_at: self.received_at };
        lock(&self.state).received.push(request);
    }

    /// Creates the head of a response.
    fn new_head(&self, status: u16, is_signed: bool) -> Response {
        let mut head = Response::new(status);
        if let Some(id) = self.head.fields.get("Tarragonhill-Request-Id") {
            head.fields.push("Tarragonhill-Request-Id", id);
        }
        if is_signed {
            head.fields.push("Tarragonhill-Server-Signature", format!("{}.1", self.id));
        }
        if lock(&self.state).is_leaving {
            head.fields.push("Server-Leaving", "1");
        }
        if let Some(name) = lock(&self.state).extra_field {
            head.fields.push(name, "1");
        }
        let limit = {
            let mut state = lock(&self.state);
            if state.limit.is_some() {
                state.limited_since.get_or_insert_with(Instant::now);
            }
            state.limit
        };
        if let Some(limit) = limit {
            head.fields.push("Server-Limit", limit.to_string());
        }
        let cold = lock(&self.state).cold_until.map(|until| until.saturating_duration_since(Instant::now()));
        if let Some(cold) = cold.filter(|cold| !cold.is_zero()) {
            head.fields.push("Tarragonhill-Cold-Ms", cold.as_millis().to_string());
        }
        head
    }

    /// Responds that the request was not executed, with a retry delay if there is one.
    async fn refuse(&self, connection: Connection, retry_after: Option<Duration>) -> (Connection, Action) {
        let mut head = self.new_head(503, false);
        if lock(&self.state).has_unnamed_refusals {
            head.fields.remove("Tarragonhill-Request-Id");
        }
        head.fields.push("Tarragonhill-Not-Executed", "1");
        if let Some(retry_after) = retry_after {
            head.fields.push("Retry-After", retry_after.as_secs_f64().to_string());
        }
        self.keep_second(&connection, &head, b"");
        send(connection, head, b"", Action::Keep).await
    }

    /// Keeps a second copy of a response for the next request on its connection.
    fn keep_second(&self, connection: &Connection, head: &Response, body: &[u8]) {
        let mut state = lock(&self.state);
        if let (true, Ok(peer)) = (state.is_doubling, connection.stream().peer_addr()) {
            let mut head = head.clone();
            head.fields.push("Content-Length", body.len().to_string());
            state.late.insert(peer, [&head.encode(), body].concat());
        }
    }

    async fn send_json(&self, connection: Connection, status: u16, value: &Value) -> (Connection, Action) {
        let mut head = self.new_head(status, false);
        head.fields.push("Content-Type", "application/json");
        if self.is_unframed() {
            return send_unframed(connection, &head, value.to_string().as_bytes()).await;
        }
        self.keep_second(&connection, &head, value.to_string().as_bytes());
        send(connection, head, value.to_string().as_bytes(), Action::Keep).await
    }
}

fn has_crashed(state: &Mutex<State>) -> bool {
    lock(state).crashed_at.is_some()
}

/// Writes as many bytes as `budget` still allows; returns whether all were written.
async fn write_within(connection: &mut Connection, bytes: &[u8], budget: &mut Option<usize>) -> bool {
    let allowed = budget.map_or(bytes.len(), |budget| budget.min(bytes.len()));
    if let Some(budget) = budget {
        *budget -= allowed;
    }
    connection.write(&bytes[..allowed]).await.is_ok() && allowed == bytes.len()
}

async fn wait_for_close(mut connection: Connection) -> (Connection, Action) {
    while matches!(connection.fill().await, Ok(read) if read > 0) {}
    (connection, Action::Close)
}

/// Sends a response to a HEAD request.
async fn send_head(
    mut connection: Connection,
    mut head: Response,
    length: usize,
    is_unframed: bool,
) -> (Connection, Action) {
    if !is_unframed {
        head.fields.push("Content-Length", length.to_string());
    }
    let _ = connection.write(&head.encode()).await;
    (connection, if is_unframed { Action::Close } else { Action::Keep })
}

/// Sends a response that ends with its connection.
async fn send_unframed(mut connection: Connection, head: &Response, body: &[u8]) -> (Connection, Action) {
    let _ = connection.write(&[&head.encode(), body].concat()).await;
    (connection, Action::Close)
}

async fn send(
    mut connection: Connection,
    mut head: Response,
    body: &[u8],
    action: Action,
) -> (Connection, Action) {
    head.fields.push("Content-Length", body.len().to_string());
    let mut bytes = head.encode();
    bytes.extend_from_slice(body);
    let written = connection.write(&bytes).await;
    (connection, if written.is_ok() { action } else { Action::Close })
}
