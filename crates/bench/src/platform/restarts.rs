//! Rolling restarts: gateways are shut down and started again while callers keep sending requests.
//!
//! The seed determines the order and spacing of the shutdowns, the service times and the requests. Threads
//! interleave differently in every run, so a run cannot be replayed exactly.

use std::{
    collections::BTreeMap,
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, IntoEnumIterator as _};
use tarragonhill_daemon::gateway::Process;
use tarragonhill_h1::{Error, head::Request};

use super::{
    caller::{Caller, Response, completion_request, plain_request},
    endpoint::{EVENT_COUNT, Endpoint, LIMIT_WINDOW, Role},
    site::{KEY, Shape, Site, SiteError, with_cold_limit},
};
use crate::sim::lock;

const SHAPE: Shape = Shape { gateways: 4, prefill: 2, decode: 2, plain: 4 };
/// Grace period of the gateways.
const GRACE: Duration = Duration::from_millis(4_500);
/// How long after the beginning of a shutdown new requests still arrive; the same as in the gateway.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// A stream sent this long after the end of the drain delay may have been taken before it.
const TRANSIT_TIME: Duration = Duration::from_millis(200);
/// Number of shutdowns of each gateway.
const ROUNDS: u32 = 2;
/// Longest time between the start of a gateway and its next shutdown.
const MAX_UPTIME_MS: u64 = 1_500;
/// Longest service time of most endpoints; plain requests sent within the drain delay end before the grace period.
const MAX_SERVICE_MS: u64 = 800;
/// Service time of the last plain endpoint, where requests may outlast the grace period.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(3_000);
/// Longest pause between the head and the body of a request.
const MAX_BODY_DELAY_MS: u64 = 2_000;
/// Longest pause between two requests of a caller.
const MAX_THINK_MS: u64 = 40;
const CALLERS_PER_HABIT: usize = 16;
const PROMPT_TOKENS: u64 = 100;
/// Longer than the deadline of each request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for requests in transit to arrive before the history is read.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Zone that is evacuated.
const EVACUATED_ZONE: &str = "zone-b";
/// Time after which an evacuated zone must get no requests.
const EVACUATION_BOUND: Duration = Duration::from_millis(5_000);
/// Duration of an evacuation.
const EVACUATION_TIME: Duration = Duration::from_millis(7_000);
/// How long the endpoints of the zone are cold afterwards.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Requests in one second that a cold endpoint tolerates, by the site's settings.
const COLD_LIMIT: usize = 17;
/// Requests a second that some endpoints take, by what they say in their responses.
const LIMIT_PER_S: f64 = 2.0;
/// Time until all gateways must keep to such a limit.
const LIMIT_NOTICE: Duration = Duration::from_secs(3);
/// Requests in [`LIMIT_WINDOW`] that such an endpoint bears.
const LIMIT: usize = 17;
/// Statuses that promise that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum Kind {
    /// An idempotent request.
    Lookup,
    /// A non-idempotent request.
    Submit,
    /// A stream that may run once.
    Stream,
}

/// How a caller uses connections.
#[derive(Clone, Copy, Debug, EnumIter)]
enum Habit {
    /// Sends requests over one connection until it closes.
    KeepAlive,
    /// Opens a connection for each request, to a gateway that is shutting down if there is one.
    Reconnect,
}

/// A promise to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Promise {
    /// A request that was sent before the end of the drain delay and has reached an endpoint gets a response.
    Answered,
    /// A request that was sent later and has reached an endpoint gets a response.
    LateAnswered,
    /// A response is complete. Only a stream sent before the end of the drain delay may be cut.
    Complete,
    /// A request refused as not run was executed by no endpoint.
    NotRun,
    /// A request that is not idempotent is executed at most once.
    AtMostOnce,
    /// A response belongs to its request.
    OwnResponse,
    /// An evacuated zone gets no request once the bound is over.
    Evacuated,
    /// A cold endpoint gets no more requests in a second than it tolerates.
    Cold,
    /// An endpoint that has named a limit gets no more requests than it bears.
    Limited,
}

/// A gateway as callers see it.
#[derive(Clone, Debug)]
struct Front {
    address: SocketAddr,
    shutdown_began: Arc<OnceLock<Instant>>,
}

/// A request that was sent, and its response.
#[derive(Debug)]
struct Exchange {
    id: String,
    kind: Kind,
    /// When the last byte was sent.
    sent: Instant,
    shutdown_began: Option<Instant>,
    response: Result<Response, Error>,
}

/// Arrivals of a request at endpoints.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    received: u32,
    /// Without prefill, which does not run the request by itself.
    executed: u32,
}

/// A broken promise.
#[derive(Debug)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// The request, and what its caller and the endpoints saw.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.details)
    }
}

/// Numbers of requests in a history.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// All requests.
    pub sent: usize,
    /// Requests sent while their gateway was shutting down.
    pub during_shutdown: usize,
    /// Requests that were sent later than the drain delay and reached an endpoint.
    pub taken_late: usize,
    /// Responses with status 200.
    pub succeeded: usize,
    /// Responses that promise that the request has not run.
    pub refused: usize,
    /// Requests without a response, including those that reached no endpoint.
    pub unanswered: usize,
}

/// What callers and endpoints saw in a run.
#[derive(Debug)]
pub struct History {
    /// Seed of the run.
    pub seed: u64,
    exchanges: Vec<Exchange>,
    arrivals: BTreeMap<String, Arrivals>,
    /// Promises that endpoints saw broken.
    endpoint_violations: Vec<(Promise, String)>,
}

impl History {
    /// Returns the numbers of requests.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals { sent: self.exchanges.len(), ..Totals::default() };
        for exchange in &self.exchanges {
            totals.during_shutdown += usize::from(exchange.time_in_shutdown().is_some());
            totals.taken_late += usize::from(exchange.is_late() && self.arrivals(exchange).received > 0);
            match exchange.status() {
                Some(200) => totals.succeeded += 1,
                Some(status) if NOT_RUN.contains(&status) => totals.refused += 1,
                Some(_) => {}
                None => totals.unanswered += 1,
            }
        }
        totals
    }

    /// Returns all violations of a promise.
    pub fn violations(&self, promise: Promise) -> Vec<Violation> {
        let at_endpoints = self.endpoint_violations.iter().filter(|(broken, _)| *broken == promise);
        let at_endpoints =
            at_endpoints.map(|(promise, details)| Violation { promise: *promise, details: details.clone() });
        let broken = self.exchanges.iter().filter(|exchange| !self.is_kept(promise, exchange));
        broken
            .map(|exchange| Violation { promise, details: self.describe(exchange) })
            .chain(at_endpoints)
            .collect()
    }

    fn arrivals(&self, exchange: &Exchange) -> Arrivals {
        self.arrivals.get(&exchange.id).copied().unwrap_or_default()
    }

    fn is_kept(&self, promise: Promise, exchange: &Exchange) -> bool {
        let Arrivals { received, executed } = self.arrivals(exchange);
        match promise {
            Promise::Answered => exchange.is_late() || received == 0 || exchange.response.is_ok(),
            Promise::LateAnswered => !exchange.is_late() || received == 0 || exchange.response.is_ok(),
            Promise::Complete => {
                let is_complete = exchange.response.as_ref().is_ok_and(|response| response.is_complete);
                received == 0 || exchange.response.is_err() || is_complete || exchange.may_be_cut()
            }
            Promise::NotRun => {
                let is_refused = exchange.status().is_some_and(|status| NOT_RUN.contains(&status));
                !is_refused || executed == 0
            }
            Promise::AtMostOnce => exchange.kind == Kind::Lookup || executed <= 1,
            Promise::OwnResponse => exchange.is_own_response(),
            // Seen by endpoints, not by callers.
            Promise::Evacuated | Promise::Cold | Promise::Limited => true,
        }
    }

    fn describe(&self, exchange: &Exchange) -> String {
        let Arrivals { received, executed } = self.arrivals(exchange);
        let response = match &exchange.response {
            Ok(response) if response.is_complete => format!("status {}", response.head.status),
            Ok(response) => {
                format!("status {}, cut after {} bytes", response.head.status, response.body.len())
            }
            Err(error) => format!("no response ({error})"),
        };
        let sent = match exchange.time_in_shutdown() {
            Some(time) => format!("{} ms after the shutdown began", time.as_millis()),
            None => "before the shutdown".into(),
        };
        format!(
            "seed {}, {} {}: sent {sent}, {response}, received by endpoints {received} times, executed {executed} times",
            self.seed, exchange.kind, exchange.id
        )
    }
}

impl Exchange {
    fn status(&self) -> Option<u16> {
        self.response.as_ref().ok().map(|response| response.head.status)
    }

    /// Returns how long the gateway had been shutting down when the request was sent.
    fn time_in_shutdown(&self) -> Option<Duration> {
        self.sent.checked_duration_since(self.shutdown_began?)
    }

    /// Returns whether the request was sent after the drain delay.
    fn is_late(&self) -> bool {
        self.time_in_shutdown().is_some_and(|time| time > DRAIN_DELAY)
    }

    fn may_be_cut(&self) -> bool {
        let latest = self.shutdown_began.map(|began| began + DRAIN_DELAY + TRANSIT_TIME);
        self.kind == Kind::Stream && latest.is_some_and(|latest| self.sent <= latest)
    }

    fn is_own_response(&self) -> bool {
        let Ok(response) = &self.response else { return true };
        let id = response.header("Tarragonhill-Request-Id");
        if response.head.status != 200 {
            return id.is_none_or(|id| id == self.id);
        }
        let events = response.event_ids();
        let is_own_body = match self.kind {
            Kind::Lookup | Kind::Submit if !response.is_complete => true,
            Kind::Lookup => response.text() == format!("GET /lookup/{} ", self.id),
            Kind::Submit => response.text() == format!("POST /submit/{} {}", self.id, self.id),
            Kind::Stream => {
                let is_in_order = events.iter().copied().eq(1..=events.len() as u32);
                is_in_order && (!response.is_complete || events.len() == EVENT_COUNT as usize)
            }
        };
        id == Some(&*self.id) && is_own_body
    }
}

/// State shared by callers and restarts.
struct Run {
    site: Site,
    /// Gateways by number, including those that are shutting down until their process ends.
    fronts: Mutex<BTreeMap<usize, Front>>,
    is_over: AtomicBool,
}

/// Runs these seeds concurrently.
pub fn run_all(seeds: &[u64]) -> Result<Vec<History>, SiteError> {
    thread::scope(|scope| {
        let runs: Vec<_> = seeds.iter().map(|&seed| scope.spawn(move || task::block_on(run(seed)))).collect();
        runs.into_iter().map(|run| run.join().expect("a run does not panic")).collect()
    })
}

/// Restarts every gateway of a site several times while callers send requests.
async fn run(seed: u64) -> Result<History, SiteError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut site = Site::start(Shape { gateways: 0, ..SHAPE }).await?;
    site.set_grace(GRACE);
    site.configure(&with_cold_limit(2));
    for role in [Role::Prefill, Role::Decode, Role::Plain] {
        site.add_endpoint_in(role, EVACUATED_ZONE).await?;
    }
    for _ in 0..SHAPE.gateways {
        site.add_gateway().await?;
    }
    site.wait_until_synced().await;
    let endpoints: Vec<Arc<Endpoint>> = [Role::Prefill, Role::Decode, Role::Plain]
        .into_iter()
        .flat_map(|role| site.endpoints(role))
        .collect();
    for endpoint in &endpoints {
        endpoint.set_service_time(random_time(&mut rng, MAX_SERVICE_MS));
    }
    if let Some(slow) = endpoints
        .iter()
        .rfind(|endpoint| endpoint.role() == Role::Plain && !site.is_in(endpoint, EVACUATED_ZONE))
    {
        slow.set_service_time(SLOW_SERVICE_TIME);
    }
    let evacuated: Vec<Arc<Endpoint>> =
        endpoints.iter().filter(|endpoint| site.is_in(endpoint, EVACUATED_ZONE)).cloned().collect();
    let limited: Vec<Arc<Endpoint>> = [Role::Prefill, Role::Decode, Role::Plain]
        .into_iter()
        .filter_map(|role| endpoints.iter().find(|endpoint| endpoint.role() == role).cloned())
        .collect();
    limited.iter().for_each(|endpoint| endpoint.set_limit(Some(LIMIT_PER_S)));
    let processes = std::mem::take(&mut site.gateways);
    let run = Arc::new(Run { site, fronts: Mutex::default(), is_over: AtomicBool::new(false) });
    let evacuation =
        task::spawn(run.clone().evacuate(evacuated.clone(), ChaCha8Rng::seed_from_u64(rng.random())));
    let mut restarts = Vec::new();
    for (index, process) in processes.into_iter().enumerate() {
        run.open(index + 1, &process);
        let rng = ChaCha8Rng::seed_from_u64(rng.random());
        restarts.push(task::spawn(run.clone().restart(index + 1, process, rng)));
    }
    let mut callers = Vec::new();
    for habit in Habit::iter() {
        for _ in 0..CALLERS_PER_HABIT {
            let rng = ChaCha8Rng::seed_from_u64(rng.random());
            callers.push(task::spawn(run.clone().call(callers.len(), habit, rng)));
        }
    }
    let mut running = Vec::new();
    for restart in restarts {
        running.push(restart.await?);
    }
    let mut endpoint_violations: Vec<(Promise, String)> = evacuation.await.into_iter().collect();
    run.is_over.store(true, Ordering::Relaxed);
    let mut exchanges = Vec::new();
    for caller in callers {
        exchanges.extend(caller.await);
    }
    for process in running {
        process.kill().await;
    }
    task::sleep(SETTLE_TIME).await;
    for endpoint in evacuated {
        let busiest = endpoint.busiest_cold_second();
        if busiest > COLD_LIMIT {
            let details = format!("seed {seed}, {}: {busiest} requests in one second", endpoint.id());
            endpoint_violations.push((Promise::Cold, details));
        }
    }
    for endpoint in limited {
        let busiest = endpoint.busiest_limited_window(LIMIT_NOTICE);
        if busiest > LIMIT {
            let details = format!("seed {seed}, {}: {busiest} requests in {LIMIT_WINDOW:?}", endpoint.id());
            endpoint_violations.push((Promise::Limited, details));
        }
    }
    Ok(History { seed, exchanges, arrivals: arrivals(&endpoints), endpoint_violations })
}

fn arrivals(endpoints: &[Arc<Endpoint>]) -> BTreeMap<String, Arrivals> {
    let mut arrivals: BTreeMap<String, Arrivals> = BTreeMap::new();
    for request in endpoints.iter().flat_map(|endpoint| endpoint.received()) {
        let Some(id) = request.head.fields.get("Tarragonhill-Request-Id") else { continue };
        let is_prefill = request.head.fields.get("Tarragonhill-Serving-Stage").is_some();
        let counts = arrivals.entry(id.to_owned()).or_default();
        counts.received += 1;
        counts.executed += u32::from(request.was_executed && !is_prefill);
    }
    arrivals
}

impl Run {
    /// Lets callers connect to a gateway.
    fn open(&self, number: usize, process: &Process) {
        lock(&self.fronts)
            .insert(number, Front { address: process.address(), shutdown_began: Arc::default() });
    }

    /// Evacuates a zone and takes it back with cold endpoints. Returns the violation if endpoints of the zone got
    /// requests after the bound.
    async fn evacuate(
        self: Arc<Self>,
        endpoints: Vec<Arc<Endpoint>>,
        mut rng: ChaCha8Rng,
    ) -> Option<(Promise, String)> {
        let received = || endpoints.iter().map(|endpoint| endpoint.received().len()).sum::<usize>();
        task::sleep(random_time(&mut rng, MAX_UPTIME_MS)).await;
        self.site.evacuate(EVACUATED_ZONE);
        task::sleep(EVACUATION_BOUND).await;
        let before = received();
        task::sleep(EVACUATION_TIME.saturating_sub(EVACUATION_BOUND)).await;
        let after = received();
        endpoints.iter().for_each(|endpoint| endpoint.set_cold(COLD_TIME));
        self.site.lift_evacuation(EVACUATED_ZONE);
        let details = || format!("{} requests reached {EVACUATED_ZONE} after the bound", after - before);
        (after > before).then(|| (Promise::Evacuated, details()))
    }

    /// Shuts a gateway down and starts it again, several times.
    async fn restart(
        self: Arc<Self>,
        number: usize,
        mut process: Process,
        mut rng: ChaCha8Rng,
    ) -> Result<Process, SiteError> {
        for _ in 0..ROUNDS {
            task::sleep(random_time(&mut rng, MAX_UPTIME_MS)).await;
            if let Some(front) = lock(&self.fronts).get(&number) {
                // Cannot be set already, because each front belongs to one process.
                let _ = front.shutdown_began.set(Instant::now());
            }
            process.shutdown().await;
            process = self.site.start_gateway(number).await?;
            self.open(number, &process);
        }
        Ok(process)
    }

    /// Sends requests until the restarts are over.
    async fn call(self: Arc<Self>, number: usize, habit: Habit, mut rng: ChaCha8Rng) -> Vec<Exchange> {
        let mut exchanges = Vec::new();
        let mut kept: Option<(Caller, Front)> = None;
        while !self.is_over.load(Ordering::Relaxed) {
            task::sleep(random_time(&mut rng, MAX_THINK_MS)).await;
            let (mut connection, front) = match kept.take() {
                Some(kept) => kept,
                None => {
                    let front = self.choose_front(habit, &mut rng);
                    let Ok(connection) = Caller::open(front.address).await else { continue };
                    (connection, front)
                }
            };
            let kinds = [Kind::Lookup, Kind::Submit, Kind::Stream];
            let kind = kinds[rng.random_range(0..kinds.len())];
            let id = format!("{number}-{}", exchanges.len());
            let body_delay = (kind == Kind::Submit && rng.random_bool(0.3))
                .then(|| random_time(&mut rng, MAX_BODY_DELAY_MS));
            let sent = send(&mut connection, kind, &id, body_delay).await;
            let sent_at = Instant::now();
            let response = match sent {
                Ok(()) => timeout(RESPONSE_TIMEOUT, connection.read_response())
                    .await
                    .unwrap_or_else(|_| Err(Error::Io(io::ErrorKind::TimedOut.into()))),
                Err(error) => Err(error.into()),
            };
            let is_open = response
                .as_ref()
                .is_ok_and(|response| response.is_complete && response.header("Connection") != Some("close"));
            let shutdown_began = front.shutdown_began.get().copied();
            exchanges.push(Exchange { id, kind, sent: sent_at, shutdown_began, response });
            kept = match habit {
                Habit::KeepAlive if is_open => Some((connection, front)),
                Habit::KeepAlive | Habit::Reconnect => None,
            };
        }
        exchanges
    }

    fn choose_front(&self, habit: Habit, rng: &mut ChaCha8Rng) -> Front {
        let fronts = lock(&self.fronts);
        let stopping = fronts.values().filter(|front| front.shutdown_began.get().is_some());
        let mut choice: Vec<&Front> = match habit {
            Habit::KeepAlive => Vec::new(),
            Habit::Reconnect => stopping.collect(),
        };
        if choice.is_empty() {
            choice = fronts.values().collect();
        }
        choice[rng.random_range(0..choice.len())].clone()
    }
}

/// Sends a request, and its body after a delay if there is one.
async fn send(connection: &mut Caller, kind: Kind, id: &str, body_delay: Option<Duration>) -> io::Result<()> {
    let (head, body) = match kind {
        Kind::Lookup => (plain_request("GET", &format!("/lookup/{id}"), KEY, id), ""),
        Kind::Submit => (plain_request("POST", &format!("/submit/{id}"), KEY, id), id),
        Kind::Stream => (completion_request("/stream/x", KEY, id, PROMPT_TOKENS), "prompt"),
    };
    match body_delay {
        Some(delay) => send_slowly(connection, head, body, delay).await,
        None => connection.send(head, body.as_bytes()).await,
    }
}

async fn send_slowly(
    connection: &mut Caller,
    mut head: Request,
    body: &str,
    delay: Duration,
) -> io::Result<()> {
    head.fields.push("Content-Length", body.len().to_string());
    connection.write(&head.encode()).await?;
    task::sleep(delay).await;
    connection.write(body.as_bytes()).await
}

fn random_time(rng: &mut ChaCha8Rng, max_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..=max_ms))
}
