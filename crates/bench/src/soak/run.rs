//! One run: starts the processes, disturbs them while callers send requests, and collects what endpoints got.

use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions},
    io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use strum::Display;
use tarragonhill_core::gateway::budget::Rule;
use tarragonhill_h1::head::Request;

use super::{
    Programs, Shape,
    configuration::Changes,
    crash::{Crashes, Sample, part_name},
    order::Stream,
    plan::{Event, Kind, Plan},
    process::Process,
    proxy::Proxy,
};
use crate::{
    cmd::stand_in::{Arrival, Order, Server, StoreOrder},
    platform::{
        caller::{self, Caller, completion_request, plain_request},
        endpoint::ReceivedRequest,
        retries::{Window, arrivals, windows},
        site::{KEY, configuration, unique_loopback_ip},
    },
    sim::lock,
};

const PREFILL_ENGINES: usize = 2;
const DECODE_ENGINES: usize = 4;
/// Further decode engines for each part that crashes some.
const ENGINES_PER_PART: usize = 4;
const PLAIN_ENDPOINTS: usize = 3;
/// Time until an engine that crashed by itself or in a wave starts again.
const ENGINE_RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Share of the decode engines that are killed in a wave.
const WAVE_SHARE: f64 = 0.4;
const ENDPOINT_PORT: u16 = 8080;
const CALLER_PORT: u16 = 8221;
const ADMIN_PORT: u16 = 8224;
const STORE_PORT: u16 = 8225;
const PEER_PORT: u16 = 7600;
const ZONE: &str = "zone-a";
/// Time before the first disturbance, in which gateways save up retries.
const WARM_UP: Duration = Duration::from_secs(12);
/// Time after the last disturbance.
const COOL_DOWN: Duration = Duration::from_secs(12);
/// Mean time between two requests.
const REQUEST_INTERVAL_MS: f64 = 28.0;
/// Mean time between two streams of callers that take them up again.
const STREAM_INTERVAL_MS: f64 = 60.0;
/// Software versions of the engines.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Time after which the row of an endpoint that has started again under its id is written.
const ROW_DELAY: Duration = Duration::from_millis(1_500);
/// Smallest number of resumes for which their share counts.
const MIN_RESUMES: u32 = 12;
/// Factor on the number of requests in a burst.
const BURST_FACTOR: f64 = 3.0;
/// Time until a killed process starts again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time between two kills of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(700);
/// Time in which a gateway shuts down.
const GRACE: Duration = Duration::from_secs(8);
/// Service time of an endpoint that is slow.
const SLOW_MS: u64 = 2_000;
/// Usual service time of an endpoint.
const SERVICE_MS: u64 = 15;
/// Number of requests that an endpoint fails in one disturbance.
const FAULTS: u32 = 60;
/// Longest time a caller waits for the response to a plain request.
const PLAIN_DEADLINE: Duration = Duration::from_secs(1);
/// Longest time a caller waits for a stream.
const STREAM_DEADLINE: Duration = Duration::from_secs(8);
/// Interval at which engines that have crashed are noticed.
const ENGINE_WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which processes that have ended are noticed.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const PROMPT_TOKENS: u64 = 100;

/// A service of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Service {
    /// The engines.
    Models,
    /// The plain service.
    Filing,
}

/// What endpoints got and callers sent in a run.
#[derive(Debug)]
pub struct History {
    /// The disturbances.
    pub plan: Plan,
    /// Directory with the logs of the gateways.
    pub logs: PathBuf,
    /// Number of responses with status 200.
    pub succeeded: usize,
    /// Number of responses with another status.
    pub refused: usize,
    /// Number of requests without a response.
    pub unanswered: usize,
    /// Streams that callers took up at other gateways if they broke.
    pub streams: Vec<Stream>,
    /// Requests with parts that crash engines, and sound ones beside them.
    pub crashes: Crashes,
    /// Configurations and requests with their keys.
    pub changes: Changes,
    rule: Rule,
    requests: BTreeMap<Service, Vec<Instant>>,
    received: BTreeMap<Service, Vec<ReceivedRequest>>,
}

impl History {
    /// Writes what endpoints got, when callers sent requests and what they got of streams beside the logs of the gateways, as JSON lines with times
    /// in milliseconds since the first request.
    pub fn save(&self) -> io::Result<()> {
        let origin = self.requests.values().flatten().min().copied().unwrap_or_else(Instant::now);
        let ms = |at: &Instant| at.saturating_duration_since(origin).as_millis() as u64;
        let mut lines = Vec::new();
        for (service, received) in &self.received {
            for message in received {
                let field = |name| message.head.fields.get(name);
                lines.push(json!({
                    "service": service.to_string(), "arrived": ms(&message.received_at),
                    "request": field("Tarragonhill-Request-Id"), "stage": field("Tarragonhill-Serving-Stage"),
                    "was_executed": message.was_executed,
                }));
            }
        }
        for (service, requests) in &self.requests {
            lines.extend(requests.iter().map(|at| json!({"service": service.to_string(), "sent": ms(at)})));
        }
        lines.extend(self.streams.iter().map(Stream::to_json));
        let text: Vec<String> = lines.iter().map(Value::to_string).collect();
        fs::write(self.logs.join("history.jsonl"), text.join("\n"))
    }

    /// Returns what is wrong with streams.
    pub fn stream_faults(&self) -> Vec<String> {
        self.streams.iter().filter_map(Stream::fault).collect()
    }

    /// Returns the shares of new streams that began and of resumed ones that went on, at gateways that had been up for a while;
    /// `None` if too few were resumed.
    pub fn stream_shares(&self) -> Option<(f64, f64)> {
        let sum = |count: fn(&Stream) -> u32| self.streams.iter().map(count).sum::<u32>();
        let share = |part: u32, of: u32| f64::from(part) / f64::from(of.max(1));
        let began = share(sum(|stream| stream.began), sum(|stream| stream.beginnings));
        let resumes = sum(|stream| stream.resumes);
        (resumes >= MIN_RESUMES).then(|| (began, share(sum(|stream| stream.went_on), resumes)))
    }

    /// Returns the number of requests that callers sent.
    pub fn sent(&self, service: Service) -> usize {
        self.requests.get(&service).map_or(0, Vec::len)
    }

    /// Returns the number of messages that count as retries.
    pub fn retries(&self, service: Service) -> usize {
        self.received.get(&service).map_or(0, |received| arrivals(received).len())
    }

    /// Returns the window with the least room for more retries; `None` if there was no retry.
    pub fn tightest(&self, service: Service) -> Option<Window> {
        let received = self.received.get(&service)?;
        let requests = self.requests.get(&service)?;
        let windows = windows(received, requests, self.rule).into_iter();
        windows.min_by(|one, other| one.room().total_cmp(&other.room()))
    }

    /// Returns what gateways charged, by their logs; less than that if processes were killed.
    pub fn charged(&self, service: Service) -> u64 {
        let name = match service {
            Service::Models => "models",
            Service::Filing => "filing",
        };
        let logs = fs::read_dir(&self.logs).into_iter().flatten().flatten();
        let text = logs.filter_map(|entry| fs::read_to_string(entry.path()).ok());
        let charged = |text: String| {
            let lines = text.lines().filter(|line| line.contains("\"request retried\""));
            let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
            let lines = lines.filter(|line| line["kv"]["service"] == name);
            lines.filter_map(|line| line["kv"]["charged"].as_u64()).sum::<u64>()
        };
        text.map(charged).sum()
    }
}

/// A gateway, and the settings with which it is started again.
pub(super) struct Gateway {
    pub(super) address: SocketAddr,
    /// Its connections to the store.
    store_link: Proxy,
    admin: SocketAddr,
    arguments: Vec<String>,
    log: PathBuf,
    process: Mutex<Process>,
    /// Whether it is down or paused on purpose.
    is_down: AtomicBool,
    /// When it was last started, resumed or signalled to stop.
    disturbed: Mutex<Instant>,
}

impl Gateway {
    /// Returns whether the gateway has been up and undisturbed for a time.
    pub(super) fn is_settled(&self, span: Duration) -> bool {
        !self.is_down.load(Ordering::Relaxed) && lock(&self.disturbed).elapsed() >= span
    }

    fn disturb(&self) {
        *lock(&self.disturbed) = Instant::now();
    }

    /// Returns when it was last started, resumed or signalled to stop, or reached the store again.
    pub(super) fn disturbed_at(&self) -> Instant {
        *lock(&self.disturbed)
    }
}

/// An endpoint behind a proxy.
pub(super) struct Endpoint {
    server: Server,
    proxy: Proxy,
    listen: SocketAddr,
    /// Number of processes so far.
    starts: AtomicUsize,
    /// Number of ids so far; part of the id.
    ids: AtomicUsize,
    software: Mutex<Software>,
    /// Whether it is listed, running and reachable.
    pub(super) is_up: AtomicBool,
    process: Mutex<Process>,
    /// Lines printed by processes that were killed.
    past: Mutex<Vec<String>>,
}

impl Endpoint {
    fn id(&self) -> String {
        endpoint_id(self.listen.ip(), self.ids.load(Ordering::Relaxed))
    }

    /// Kills the process and keeps what it printed.
    fn kill(&self) {
        self.is_up.store(false, Ordering::Relaxed);
        let mut process = lock(&self.process);
        lock(&self.past).extend(process.take_lines());
        process.kill();
    }

    fn order(&self, order: Order) {
        let line = serde_json::to_string(&order).expect("an order can be encoded");
        // Fails only if the process has been killed.
        let _ = lock(&self.process).write_line(&line);
    }
}

/// What the process of an endpoint runs.
#[derive(Clone, Copy, Debug)]
struct Software {
    version: &'static str,
    /// Whether it answers without a length and without chunks.
    is_unframed: bool,
    /// Whether it refuses orders to change its stage, which rows would have to tell.
    has_fixed_stage: bool,
    /// Number of parts of prompts under which it crashes.
    crashing_parts: usize,
}

impl Software {
    fn swapped(self) -> Self {
        Self { version: if self.version == VERSIONS[0] { VERSIONS[1] } else { VERSIONS[0] }, ..self }
    }
}

fn endpoint_id(ip: std::net::IpAddr, starts: usize) -> String {
    format!("endpoint-{ip}-{starts}")
}

pub(super) struct Run {
    programs: Programs,
    store: Mutex<Process>,
    store_address: SocketAddr,
    pub(super) gateways: Vec<Gateway>,
    pub(super) endpoints: Vec<Endpoint>,
    /// Source of `seq` and `born` in rows.
    counter: AtomicUsize,
    is_over: AtomicBool,
    bursts: AtomicUsize,
    /// The gateway that gets most connections, if there is one.
    skewed_to: Mutex<Option<usize>>,
    skews: Mutex<Vec<(Instant, Instant)>>,
    /// When the store or endpoints were last disturbed, but for engines that crashed under a part.
    disturbed: Mutex<Instant>,
    pub(super) samples: Mutex<BTreeMap<String, Sample>>,
    requests: Mutex<BTreeMap<Service, Vec<Instant>>>,
    idle: Mutex<BTreeMap<usize, Vec<Caller>>>,
    statuses: Mutex<Vec<Option<u16>>>,
    pub(super) streams: Mutex<Vec<Stream>>,
    pub(super) changes: Mutex<Changes>,
    /// Version of the newest configuration that the operator has written; held while it writes.
    pub(super) newest_version: async_std::sync::Mutex<u64>,
}

/// Starts the processes, plays the plan and returns what endpoints and callers saw.
pub(super) async fn run(programs: &Programs, shape: Shape, plan: Plan, logs: &Path) -> io::Result<History> {
    fs::create_dir_all(logs)?;
    let run = Arc::new(Run::start(programs, shape, logs).await?);
    let callers = task::spawn(run.clone().send_requests(plan.seed));
    let streams = shape.is_mixed.then(|| task::spawn(run.clone().fetch_streams(plan.seed)));
    let parts = shape.crashing_parts;
    let parts = (parts > 0).then(|| task::spawn(run.clone().send_parts(plan.seed, parts, WARM_UP)));
    let operator = shape.has_operator.then(|| {
        [
            task::spawn(run.clone().change_configuration(plan.seed)),
            task::spawn(run.clone().probe_keys(plan.seed)),
            task::spawn(run.clone().exceed_limit(plan.seed)),
        ]
    });
    let watch = task::spawn(run.clone().watch());
    let watch_engines = task::spawn(run.clone().watch_engines());
    task::sleep(WARM_UP).await;
    let played = plan.events.iter().map(|event| task::spawn(run.clone().play(*event)));
    for event in played.collect::<Vec<_>>() {
        event.await;
    }
    task::sleep(COOL_DOWN).await;
    run.is_over.store(true, Ordering::Relaxed);
    callers.await;
    if let Some(streams) = streams {
        streams.await;
    }
    if let Some(parts) = parts {
        parts.await;
    }
    for task in operator.into_iter().flatten() {
        task.await;
    }
    watch.await;
    watch_engines.await;
    let received = run.received();
    let mut changes = std::mem::take(&mut *lock(&run.changes));
    changes.limited = limited_runs(&received, &changes.limited_sent);
    let models = received.get(&Service::Models).map_or(&[][..], Vec::as_slice);
    let samples = std::mem::take(&mut *lock(&run.samples));
    let crashes = Crashes::new(samples, models, lock(&run.skews).clone());
    let statuses = lock(&run.statuses).clone();
    let count = |keep: fn(&Option<u16>) -> bool| statuses.iter().filter(|status| keep(status)).count();
    Ok(History {
        plan,
        logs: logs.to_owned(),
        succeeded: count(|status| *status == Some(200)),
        refused: count(|status| status.is_some_and(|status| status != 200)),
        unanswered: count(Option::is_none),
        streams: std::mem::take(&mut lock(&run.streams)),
        rule: shape.retries,
        requests: lock(&run.requests).clone(),
        crashes,
        changes,
        received,
    })
}

impl Run {
    async fn start(programs: &Programs, shape: Shape, logs: &Path) -> io::Result<Self> {
        let store_address = SocketAddr::from((unique_loopback_ip(), STORE_PORT));
        let store = start_store(programs, store_address)?;
        let decode_engines = DECODE_ENGINES + shape.crashing_parts * ENGINES_PER_PART;
        let mut endpoints = Vec::new();
        for (server, count) in [
            (Server::Prefill, PREFILL_ENGINES),
            (Server::Decode, decode_engines),
            (Server::Plain, PLAIN_ENDPOINTS),
        ] {
            for number in 0..count {
                let is_engine = shape.is_mixed && server != Server::Plain;
                let version = VERSIONS[if is_engine { number % 2 } else { 0 }];
                // Of each version, every other decode engine answers without a length.
                let is_unframed = is_engine && server == Server::Decode && number % 4 < 2;
                let has_fixed_stage = shape.is_mixed || shape.crashing_parts > 0;
                let crashing_parts = if server == Server::Decode { shape.crashing_parts } else { 0 };
                let software = Software { version, is_unframed, has_fixed_stage, crashing_parts };
                endpoints.push(start_endpoint(programs, server, software).await?);
            }
        }
        let mut gateways = Vec::new();
        for number in 0..shape.gateways {
            let log = logs.join(format!("gateway-{number}.log"));
            gateways.push(start_gateway(programs, shape, number, store_address, &log).await?);
        }
        let run = Self {
            programs: programs.clone(),
            store: Mutex::new(store),
            store_address,
            gateways,
            endpoints,
            counter: AtomicUsize::new(0),
            is_over: AtomicBool::new(false),
            bursts: AtomicUsize::new(0),
            skewed_to: Mutex::default(),
            skews: Mutex::default(),
            disturbed: Mutex::new(Instant::now()),
            samples: Mutex::default(),
            requests: Mutex::default(),
            idle: Mutex::default(),
            statuses: Mutex::default(),
            streams: Mutex::default(),
            changes: Mutex::default(),
            newest_version: async_std::sync::Mutex::default(),
        };
        wait_until(async || run.put("op", "config", Some(&soak_configuration())).await).await?;
        for endpoint in &run.endpoints {
            endpoint.order(Order::ServiceTime { ms: SERVICE_MS });
            wait_until(async || run.register(endpoint).await).await?;
        }
        for gateway in &run.gateways {
            wait_until(async || is_ready(gateway.admin).await).await?;
        }
        Ok(run)
    }

    /// Writes a row to the store, or removes it; returns whether that was acknowledged.
    pub(super) async fn put(&self, table: &str, key: &str, value: Option<&Value>) -> bool {
        let body = match value {
            Some(value) => {
                json!({"puts": [{"table": table, "part": "", "key": key, "value": STANDARD.encode(value.to_string())}]})
            }
            None => json!({"remove": [{"table": table, "part": "", "key": key}]}),
        };
        let mut head = Request::new("POST", "/v1/rows-tx");
        head.fields.push("Host", "store");
        let body = body.to_string().into_bytes();
        let call = caller::request(self.store_address, head, &body);
        matches!(timeout(PLAIN_DEADLINE, call).await, Ok(Ok(response)) if response.head.status == 200)
    }

    pub(super) async fn register(&self, endpoint: &Endpoint) -> bool {
        let count = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        let is_plain = endpoint.server == Server::Plain;
        let mut row = json!({
            "service": if is_plain { "filing" } else { "models" }, "address": endpoint.proxy.address().to_string(),
            "zone": ZONE, "version": lock(&endpoint.software).version, "slots": 48, "state": "ready", "cold_remaining_ms": 0, "seq": count,
            "born": endpoint.starts.load(Ordering::Relaxed),
        });
        if !is_plain {
            row["stage"] = endpoint.server.to_string().into();
        }
        self.put("servers", &endpoint.id(), Some(&row)).await
    }

    /// Starts gateways that have ended by themselves again.
    async fn watch(self: Arc<Self>) {
        while !self.is_over.load(Ordering::Relaxed) {
            task::sleep(WATCH_INTERVAL).await;
            for gateway in &self.gateways {
                let has_ended = lock(&gateway.process).has_ended();
                if has_ended && !gateway.is_down.load(Ordering::Relaxed) {
                    self.start_again(gateway);
                }
            }
        }
    }

    /// Starts engines that have crashed under a part again.
    async fn watch_engines(self: Arc<Self>) {
        while !self.is_over() {
            task::sleep(ENGINE_WATCH_INTERVAL).await;
            for number in 0..self.endpoints.len() {
                let endpoint = &self.endpoints[number];
                let is_up = endpoint.is_up.load(Ordering::Relaxed);
                if is_up && lock(&endpoint.process).has_ended() {
                    endpoint.is_up.store(false, Ordering::Relaxed);
                    let run = self.clone();
                    task::spawn(async move { run.replace_crashed(&run.endpoints[number]).await });
                }
            }
        }
    }

    /// Starts an engine again under another id. The row of the one that crashed stays until then.
    async fn replace_crashed(&self, endpoint: &Endpoint) {
        let old = endpoint.id();
        endpoint.kill();
        task::sleep(ENGINE_RESTART_DELAY).await;
        self.put("servers", &old, None).await;
        endpoint.ids.fetch_add(1, Ordering::Relaxed);
        if self.start_endpoint_again(endpoint) {
            while !self.is_over() && !self.register(endpoint).await {
                task::sleep(WATCH_INTERVAL).await;
            }
            endpoint.is_up.store(true, Ordering::Relaxed);
        }
    }

    async fn crash_wave(&self, target: usize) {
        let engines: Vec<&Endpoint> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.server == Server::Decode && endpoint.is_up.load(Ordering::Relaxed))
            .collect();
        let count = (engines.len() as f64 * WAVE_SHARE).ceil() as usize;
        let killed = engines.iter().cycle().skip(target % engines.len().max(1)).take(count);
        self.disturb();
        killed.clone().for_each(|endpoint| endpoint.kill());
        join_all(killed.map(|endpoint| self.replace_crashed(endpoint))).await;
        self.disturb();
    }

    pub(super) fn disturb(&self) {
        *lock(&self.disturbed) = Instant::now();
    }

    pub(super) fn order_store(&self, order: &StoreOrder) {
        let line = serde_json::to_string(order).expect("an order can be encoded");
        // Fails only if the process has been killed.
        let _ = lock(&self.store).write_line(&line);
    }

    /// Cuts a gateway off from the store.
    async fn cut_store(&self, gateway: &Gateway, lasts: Duration) {
        gateway.store_link.set_held(true);
        let ends = Instant::now() + lasts;
        while Instant::now() < ends {
            gateway.disturb();
            task::sleep(WATCH_INTERVAL).await;
        }
        gateway.store_link.set_held(false);
        gateway.disturb();
    }

    /// Returns whether a gateway, the store and the endpoints have been undisturbed for a time.
    pub(super) fn is_settled(&self, gateway: usize, span: Duration) -> bool {
        self.gateways[gateway].is_settled(span) && lock(&self.disturbed).elapsed() >= span
    }

    pub(super) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Returns the gateway that gets most connections at the moment.
    pub(super) fn skewed_to(&self) -> Option<usize> {
        *lock(&self.skewed_to)
    }

    async fn skew(&self, gateway: usize, lasts: Duration) {
        let began = Instant::now();
        if lock(&self.skewed_to).replace(gateway).is_some() {
            return;
        }
        task::sleep(lasts).await;
        *lock(&self.skewed_to) = None;
        lock(&self.skews).push((began, Instant::now()));
    }

    fn start_again(&self, gateway: &Gateway) {
        gateway.disturb();
        if let Ok(process) = spawn_gateway(&self.programs.daemon, &gateway.arguments, &gateway.log) {
            *lock(&gateway.process) = process;
        }
    }

    async fn kill_and_restart(&self, gateway: &Gateway) {
        gateway.is_down.store(true, Ordering::Relaxed);
        lock(&gateway.process).kill();
        task::sleep(RESTART_DELAY).await;
        self.start_again(gateway);
        gateway.is_down.store(false, Ordering::Relaxed);
    }

    async fn kill_in_series(&self, gateways: &[Gateway], lasts: Duration) {
        let began = Instant::now();
        while began.elapsed() < lasts {
            let restarts = gateways.iter().map(|gateway| self.kill_and_restart(gateway));
            join_all(restarts).await;
            task::sleep(SERIES_INTERVAL).await;
        }
    }

    /// Plays a disturbance to its end.
    async fn play(self: Arc<Self>, event: Event) {
        task::sleep(event.at).await;
        let Event { lasts, kind, target, .. } = event;
        let gateway = target % self.gateways.len();
        let endpoint = &self.endpoints[target % self.endpoints.len()];
        match kind {
            Kind::PauseEndpoint => self.pause_endpoints(std::slice::from_ref(&endpoint), lasts).await,
            Kind::PauseService => {
                let same =
                    |other: &&Endpoint| other.server == endpoint.server && other.listen != endpoint.listen;
                self.pause_endpoints(&self.endpoints.iter().filter(same).collect::<Vec<_>>(), lasts).await;
            }
            Kind::PauseGateway => pause(&self.gateways[gateway..=gateway], lasts).await,
            Kind::PauseGateways => pause(&self.gateways, lasts).await,
            Kind::KillGateway => self.kill_and_restart(&self.gateways[gateway]).await,
            Kind::KillGateways => {
                join_all(self.gateways.iter().map(|gateway| self.kill_and_restart(gateway))).await;
            }
            Kind::KillInSeries => self.kill_in_series(&self.gateways[gateway..=gateway], lasts).await,
            Kind::KillAllInSeries => self.kill_in_series(&self.gateways, lasts).await,
            Kind::RestartGateway => {
                self.gateways[gateway].disturb();
                lock(&self.gateways[gateway].process).terminate();
                task::sleep(GRACE).await;
            }
            Kind::KillEndpoint => self.replace(endpoint, lasts).await,
            Kind::SwapVersion => self.swap_version(endpoint).await,
            Kind::Cut => endpoint.order(Order::Cut { count: FAULTS }),
            Kind::End => endpoint.order(Order::End { count: FAULTS }),
            Kind::HoldEndpoint => {
                endpoint.is_up.store(false, Ordering::Relaxed);
                endpoint.proxy.set_held(true);
                task::sleep(lasts).await;
                endpoint.proxy.set_held(false);
                endpoint.is_up.store(true, Ordering::Relaxed);
            }
            Kind::ResetEndpoint => endpoint.proxy.reset(),
            Kind::Reject => endpoint.order(Order::Reject { count: FAULTS }),
            Kind::Fail => endpoint.order(Order::Fail { count: FAULTS }),
            Kind::Lose => endpoint.order(Order::Reset { count: FAULTS }),
            Kind::Hang => endpoint.order(Order::Hang { count: FAULTS }),
            Kind::RejectAll => self.order_all(endpoint.server, |count| Order::Reject { count }, lasts).await,
            Kind::FailAll => self.order_all(endpoint.server, |count| Order::Fail { count }, lasts).await,
            Kind::LoseAll => self.order_all(endpoint.server, |count| Order::Reset { count }, lasts).await,
            Kind::Slow => {
                endpoint.order(Order::ServiceTime { ms: SLOW_MS });
                task::sleep(lasts).await;
                endpoint.order(Order::ServiceTime { ms: SERVICE_MS });
            }
            Kind::PauseStore => {
                self.disturb();
                lock(&self.store).pause();
                let ends = Instant::now() + lasts;
                while Instant::now() < ends {
                    task::sleep(WATCH_INTERVAL).await;
                    self.disturb();
                }
                lock(&self.store).resume();
            }
            Kind::ReturnStore => self.return_store(target, lasts, false).await,
            Kind::ReturnInSeries => self.return_store(target, lasts, true).await,
            Kind::CutStore => self.cut_store(&self.gateways[gateway], lasts).await,
            Kind::CrashWave => self.crash_wave(target).await,
            Kind::Skew => self.skew(gateway, lasts).await,
            Kind::Burst => {
                self.bursts.fetch_add(1, Ordering::Relaxed);
                task::sleep(lasts).await;
                self.bursts.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    /// Gives all endpoints of a kind an order, for as many requests as come while it lasts.
    async fn order_all(&self, server: Server, order: impl Fn(u32) -> Order, lasts: Duration) {
        let endpoints = || self.endpoints.iter().filter(|endpoint| endpoint.server == server);
        endpoints().for_each(|endpoint| endpoint.order(order(u32::MAX)));
        task::sleep(lasts).await;
        endpoints().for_each(|endpoint| endpoint.order(order(0)));
    }

    async fn pause_endpoints(&self, endpoints: &[&Endpoint], lasts: Duration) {
        endpoints.iter().for_each(|endpoint| {
            endpoint.is_up.store(false, Ordering::Relaxed);
            lock(&endpoint.process).pause();
        });
        task::sleep(lasts).await;
        endpoints.iter().for_each(|endpoint| {
            lock(&endpoint.process).resume();
            endpoint.is_up.store(true, Ordering::Relaxed);
        });
    }

    /// Kills an endpoint and starts another one at its address.
    async fn replace(&self, endpoint: &Endpoint, lasts: Duration) {
        let old = endpoint.id();
        endpoint.kill();
        self.put("servers", &old, None).await;
        task::sleep(lasts).await;
        endpoint.ids.fetch_add(1, Ordering::Relaxed);
        if self.start_endpoint_again(endpoint) {
            let is_up = self.register(endpoint).await;
            endpoint.is_up.store(is_up, Ordering::Relaxed);
        }
    }

    /// Kills an endpoint and starts it again under its id with the other software version. Its row is written later.
    async fn swap_version(&self, endpoint: &Endpoint) {
        endpoint.kill();
        let swapped = lock(&endpoint.software).swapped();
        *lock(&endpoint.software) = swapped;
        if self.start_endpoint_again(endpoint) {
            task::sleep(ROW_DELAY).await;
            let is_up = self.register(endpoint).await;
            endpoint.is_up.store(is_up, Ordering::Relaxed);
        }
    }

    /// Returns the number of decode engines of a software version that serve.
    pub(super) fn serving(&self, version: &str) -> usize {
        let engines = self.endpoints.iter().filter(|endpoint| endpoint.server == Server::Decode);
        let up = engines.filter(|endpoint| endpoint.is_up.load(Ordering::Relaxed));
        up.filter(|endpoint| lock(&endpoint.software).version == version).count()
    }

    fn start_endpoint_again(&self, endpoint: &Endpoint) -> bool {
        let starts = endpoint.starts.load(Ordering::Relaxed) + 1;
        let software = *lock(&endpoint.software);
        let arguments =
            endpoint_arguments(endpoint.server, &endpoint.id(), starts, endpoint.listen, software);
        let Ok(process) = Process::start(&self.programs.bench, &arguments) else { return false };
        *lock(&endpoint.process) = process;
        endpoint.starts.store(starts, Ordering::Relaxed);
        endpoint.order(Order::ServiceTime { ms: SERVICE_MS });
        true
    }

    /// Asks for streams at random times until the run is over, and waits for them.
    async fn fetch_streams(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(2));
        let mut streams = Vec::new();
        while !self.is_over.load(Ordering::Relaxed) {
            let wait = STREAM_INTERVAL_MS * rng.random_range(0.0..2.0);
            task::sleep(Duration::from_secs_f64(wait / 1_000.0)).await;
            streams.push(task::spawn(self.clone().fetch_stream(streams.len(), seed)));
        }
        for stream in streams {
            stream.await;
        }
    }

    pub(super) fn record_request(&self, service: Service) {
        lock(&self.requests).entry(service).or_default().push(Instant::now());
    }

    /// Sends requests at random times until the run is over, and waits for the responses.
    async fn send_requests(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(1));
        let mut responses = Vec::new();
        while !self.is_over.load(Ordering::Relaxed) {
            let factor = if self.bursts.load(Ordering::Relaxed) > 0 { BURST_FACTOR } else { 1.0 };
            let wait = REQUEST_INTERVAL_MS * rng.random_range(0.0..2.0) / factor;
            task::sleep(Duration::from_secs_f64(wait / 1_000.0)).await;
            let gateway = rng.random_range(0..self.gateways.len());
            let request = random_request(&mut rng, responses.len());
            responses.push(task::spawn(self.clone().call(gateway, request)));
        }
        for response in responses {
            let status = response.await;
            lock(&self.statuses).push(status);
        }
    }

    /// Sends a request, over an open connection if there is one, and returns the status of the response.
    async fn call(self: Arc<Self>, gateway: usize, request: Outgoing) -> Option<u16> {
        let idle = lock(&self.idle).get_mut(&gateway).and_then(Vec::pop);
        let deadline = request.deadline;
        let call = async {
            let mut caller = match idle {
                Some(caller) => caller,
                None => Caller::open(self.gateways[gateway].address).await.ok()?,
            };
            self.record_request(request.service);
            let response = caller.request(request.head, &request.body).await.ok()?;
            if response.is_complete && response.header("Connection") != Some("close") {
                lock(&self.idle).entry(gateway).or_default().push(caller);
            }
            Some(response.head.status)
        };
        timeout(deadline, call).await.ok().flatten()
    }

    fn received(&self) -> BTreeMap<Service, Vec<ReceivedRequest>> {
        let mut received: BTreeMap<Service, Vec<ReceivedRequest>> = BTreeMap::new();
        for endpoint in &self.endpoints {
            let service = if endpoint.server == Server::Plain { Service::Filing } else { Service::Models };
            let past = lock(&endpoint.past).clone();
            let lines = past.into_iter().chain(lock(&endpoint.process).take_lines());
            let arrivals = lines.filter_map(|line| serde_json::from_str::<Arrival>(&line).ok());
            received.entry(service).or_default().extend(arrivals.map(received_request));
        }
        received
    }
}

/// Returns when those requests that ran were sent, and first arrived: a request that is sent to several endpoints counts once.
fn limited_runs(
    received: &BTreeMap<Service, Vec<ReceivedRequest>>,
    sent: &BTreeMap<String, Instant>,
) -> Vec<(Instant, Instant)> {
    let plain = received.get(&Service::Filing).into_iter().flatten();
    let mut arrived: BTreeMap<&str, Instant> = BTreeMap::new();
    for message in plain.filter(|message| message.was_executed) {
        let id = message.head.fields.get("Tarragonhill-Request-Id").unwrap_or_default();
        let first = arrived.entry(id).or_insert(message.received_at);
        *first = message.received_at.min(*first);
    }
    arrived.into_iter().filter_map(|(id, at)| Some((*sent.get(id)?, at))).collect()
}

fn received_request(arrival: Arrival) -> ReceivedRequest {
    let mut head = Request::new("POST", "/");
    head.fields.push("Tarragonhill-Request-Id", &*arrival.request);
    if arrival.is_prefill {
        head.fields.push("Tarragonhill-Serving-Stage", "prefill");
    }
    let received_at = arrival.at();
    ReceivedRequest { head, body: Default::default(), was_executed: arrival.was_executed, received_at }
}

/// A request of a caller.
struct Outgoing {
    service: Service,
    head: Request,
    body: Vec<u8>,
    deadline: Duration,
}

/// Returns a lookup, a submission, a stream or, rarely, a stream that may be resumed.
fn random_request(rng: &mut ChaCha8Rng, number: usize) -> Outgoing {
    let id = format!("r{number}");
    let (service, mut head, body, deadline) = match rng.random_range(0..20) {
        0..5 => {
            let head = plain_request("GET", &format!("/lookup/{id}"), KEY, &id);
            (Service::Filing, head, Vec::new(), PLAIN_DEADLINE)
        }
        5..12 => {
            let head = plain_request("POST", &format!("/submit/{id}"), KEY, &id);
            (Service::Filing, head, id.clone().into_bytes(), PLAIN_DEADLINE)
        }
        kind => {
            let route = if kind < 17 { "stream" } else { "resumable" };
            let head = completion_request(&format!("/{route}/x"), KEY, &id, PROMPT_TOKENS);
            (Service::Models, head, b"prompt".to_vec(), STREAM_DEADLINE)
        }
    };
    head.fields.set("Tarragonhill-Deadline-Ms", deadline.as_millis().to_string());
    Outgoing { service, head, body, deadline }
}

pub(super) fn soak_configuration() -> Value {
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().expect("a list of routes") {
        if route["name"] == "lookup" {
            route["target_latency_ms"] = 100.into();
            route["max_attempts"] = 3.into();
        }
    }
    configuration
}

async fn pause(gateways: &[Gateway], lasts: Duration) {
    gateways.iter().for_each(|gateway| {
        gateway.is_down.store(true, Ordering::Relaxed);
        lock(&gateway.process).pause();
    });
    task::sleep(lasts).await;
    gateways.iter().for_each(|gateway| {
        gateway.disturb();
        gateway.is_down.store(false, Ordering::Relaxed);
        lock(&gateway.process).resume();
    });
}

async fn join_all(futures: impl Iterator<Item = impl Future<Output = ()>>) {
    let mut pending: Vec<_> = futures.map(Box::pin).collect();
    futures_lite::future::poll_fn(|cx| {
        pending.retain_mut(|future| future.as_mut().poll(cx).is_pending());
        if pending.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}

fn start_store(programs: &Programs, listen: SocketAddr) -> io::Result<Process> {
    let arguments = ["stand-in".into(), format!("--listen={listen}"), Server::Store.to_string()];
    Process::start(&programs.bench, &arguments)
}

fn endpoint_arguments(
    server: Server,
    id: &str,
    born: usize,
    listen: SocketAddr,
    software: Software,
) -> Vec<String> {
    let mut arguments = vec![
        "stand-in".into(),
        format!("--id={id}"),
        format!("--born={born}"),
        format!("--software-version={}", software.version),
        format!("--listen={listen}"),
    ];
    if software.is_unframed {
        arguments.push("--unframed".into());
    }
    if software.has_fixed_stage {
        arguments.push("--fixed-stage".into());
    }
    arguments
        .extend((0..software.crashing_parts).map(|number| format!("--crashing-part={}", part_name(number))));
    arguments.push(server.to_string());
    arguments
}

async fn start_endpoint(programs: &Programs, server: Server, software: Software) -> io::Result<Endpoint> {
    let listen = SocketAddr::from((unique_loopback_ip(), ENDPOINT_PORT));
    let proxy = Proxy::start(SocketAddr::from((unique_loopback_ip(), ENDPOINT_PORT)), listen).await?;
    let arguments = endpoint_arguments(server, &endpoint_id(listen.ip(), 1), 1, listen, software);
    let process = Process::start(&programs.bench, &arguments)?;
    Ok(Endpoint {
        server,
        proxy,
        listen,
        starts: AtomicUsize::new(1),
        ids: AtomicUsize::new(1),
        software: Mutex::new(software),
        is_up: AtomicBool::new(true),
        process: Mutex::new(process),
        past: Mutex::default(),
    })
}

async fn start_gateway(
    programs: &Programs,
    shape: Shape,
    number: usize,
    store: SocketAddr,
    log: &Path,
) -> io::Result<Gateway> {
    let ip: Ipv4Addr = unique_loopback_ip();
    let at = |port: u16| SocketAddr::from((ip, port));
    let store_link = Proxy::start(at(STORE_PORT), store).await?;
    let Rule { ratio, slack, window } = shape.retries;
    let arguments: Vec<String> = [
        "gateway".to_owned(),
        format!("--name=front-{number}"),
        format!("--zone={ZONE}"),
        format!("--listen={}", at(CALLER_PORT)),
        format!("--admin={}", at(ADMIN_PORT)),
        format!("--peer={}", at(PEER_PORT)),
        format!("--table={}", store_link.address()),
        format!("--grace-s={}", GRACE.as_secs()),
        format!("--retry-ratio={ratio}"),
        format!("--retry-slack={slack}"),
        format!("--retry-window-s={}", window.as_secs_f64()),
    ]
    .into();
    // Without the lines of an earlier run.
    File::create(log)?;
    let process = spawn_gateway(&programs.daemon, &arguments, log)?;
    Ok(Gateway {
        address: at(CALLER_PORT),
        store_link,
        admin: at(ADMIN_PORT),
        arguments,
        log: log.to_owned(),
        process: Mutex::new(process),
        is_down: AtomicBool::new(false),
        disturbed: Mutex::new(Instant::now()),
    })
}

fn spawn_gateway(daemon: &Path, arguments: &[String], log: &Path) -> io::Result<Process> {
    let log = OpenOptions::new().create(true).append(true).open(log)?;
    Process::start_with_log(daemon, arguments, log)
}

async fn is_ready(admin: SocketAddr) -> bool {
    let mut head = Request::new("GET", "/v1/readiness");
    head.fields.push("Host", "admin");
    let call = caller::request(admin, head, b"");
    matches!(timeout(PLAIN_DEADLINE, call).await, Ok(Ok(response)) if response.head.status == 200)
}

async fn wait_until(mut is_met: impl AsyncFnMut() -> bool) -> io::Result<()> {
    let began = Instant::now();
    while !is_met().await {
        if began.elapsed() > START_TIMEOUT {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the processes did not start in time"));
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
