//! Startup, shutdown and status of the gateway.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_channel::Receiver;
use async_std::{
    net::TcpListener,
    task::{self, JoinHandle},
};
use futures_lite::FutureExt as _;
use prometheus::Registry;
use socket2::{Domain, Socket, Type};
use tarragonhill_core::{
    Clock, Time,
    gateway::{
        budget::Rule,
        cold::Tolerance,
        connections::Capacity,
        mechanism::Mechanisms,
        shutdown::Shutdown,
        speed::Summary,
        state::{
            Identity, State,
            explain::{Explanation, Query, Unknown},
        },
        suspect::Report,
    },
};

use crate::{
    admin::{self, Pages},
    client::Clients,
    context::Context,
    control::{
        FORECAST_PROMPT_TOKENS, Yields,
        worker::{self, Outputs},
    },
    edge::{Claims, Dialect, Update},
    frontend, gossip,
    held::Held,
    liveness::Checks,
    metrics::Metrics,
    mirror::Mirror,
    orders,
    pool::Pool,
    shutdown::{Driver, Phase, phases},
    sync,
};

/// Interval at which a shutdown checks for requests in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Part of the grace period in which requests that are still in flight get their error responses.
const RESPONSE_RESERVE: Duration = Duration::from_millis(150);
/// Capacity of the digest channel. Small, because later digests supersede earlier ones.
const DIGEST_CAPACITY: usize = 4;
/// Capacity of the channel for messages about streams; covers what a replica tells when a peer has started.
const MESSAGE_CAPACITY: usize = 1_024;
/// Capacity of the order channel.
const ORDER_CAPACITY: usize = 4;

/// Connections that the operating system keeps until they are accepted; as many as a registry opens at a time.
const ACCEPT_BACKLOG: i32 = 1_024;
/// What the operating system keeps for a connection that is not being read. It is part of the host's memory.
const RECEIVE_BUFFER_BYTES: usize = 8 << 10;

/// The gateway's access to the store.
pub struct Store {
    /// Updates read from the store.
    pub updates: Receiver<Update>,
    /// Lease on sending orders, which only one replica at a time may hold.
    pub claims: Box<dyn Claims>,
}

/// Settings of the gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Replica name, unique among the peers.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for digests (UDP) and snapshots (TCP).
    pub peer: SocketAddr,
    /// Processor time that the process may use, in thousandths of a core.
    pub millicores: u32,
    /// Random number that distinguishes restarts under the same name.
    pub incarnation: u64,
    /// Retry budget.
    pub retries: Rule,
    /// What cold endpoints tolerate beyond the rate that the operator declares.
    pub cold_tolerance: Tolerance,
    /// Mechanisms in use.
    pub mechanisms: Mechanisms,
    /// Memory of the host, bytes; `None` if it is not known.
    pub memory: Option<u64>,
    /// How many connections callers may have, and how many requests are served at once.
    pub capacity: Capacity,
    /// The same for clients of the admin address.
    pub admin_capacity: Capacity,
    /// How long new connections are still accepted after shutdown has begun and the gateway reports not ready.
    pub drain_delay: Duration,
    /// Maximum duration of a shutdown, including `drain_delay`.
    pub grace: Duration,
}

/// Error while starting the gateway.
#[derive(Debug)]
pub enum StartError {
    /// The gateway cannot listen on the address.
    Listen(SocketAddr, io::Error),
    /// The control thread cannot be started.
    Thread(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "{address}: {error}"),
            Self::Thread(error) => write!(f, "cannot start a thread: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running gateway.
pub struct Gateway {
    address: SocketAddr,
    peer: SocketAddr,
    context: Arc<Context>,
    settings: Settings,
    mirror: Mirror,
    unsaved_suspects: Receiver<Vec<Report>>,
    tasks: Tasks,
    phases: Driver,
    /// Closed once all callers' connections have ended.
    open: Receiver<()>,
}

impl Gateway {
    /// Starts the gateway and registers its metrics.
    pub async fn start(
        settings: Settings,
        clock: Clock,
        dialect: Arc<dyn Dialect>,
        store: Store,
        registry: &Registry,
    ) -> Result<Self, StartError> {
        let listener = listen(settings.listen);
        let listener = listener.map_err(|error| StartError::Listen(settings.listen, error))?;
        let address = listener.local_addr().map_err(|error| StartError::Listen(settings.listen, error))?;
        let listen_error = |error| StartError::Listen(settings.peer, error);
        let socket = gossip::bind(settings.peer).await.map_err(listen_error)?;
        let peer = socket.local_addr().map_err(listen_error)?;
        let (incoming, _) = tarragonhill_wire::listen(peer).map_err(listen_error)?;
        let identity = Identity {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: settings.incarnation,
            address: peer,
            millicores: settings.millicores,
        };
        let (digests, outgoing_digests) = async_channel::bounded(DIGEST_CAPACITY);
        let (orders, outgoing_orders) = async_channel::bounded(ORDER_CAPACITY);
        let (messages, outgoing_messages) = async_channel::bounded(MESSAGE_CAPACITY);
        let (suspects, unsaved_suspects) = async_channel::bounded(1);
        let outputs = Outputs { digests, orders, messages, suspects };
        let state = State::new(identity, settings.retries, settings.cold_tolerance, clock.now());
        let state = state.with_mechanisms(settings.mechanisms.clone());
        let control = worker::start(state, clock.clone(), outputs);
        let control = control.map_err(StartError::Thread)?;
        let mirror = Mirror::new(clock.clone(), control.clone());
        let (phases, monitor) = phases();
        let context = Arc::new(Context {
            pool: Pool::new(clock.clone()),
            held: Held::new(settings.memory),
            callers: Clients::new(clock.clone(), settings.capacity),
            admin: Clients::new(clock.clone(), settings.admin_capacity),
            checks: Checks::default(),
            clock,
            control: control.clone(),
            dialect,
            metrics: Metrics::new(registry),
            shutdown: OnceLock::new(),
            phases: monitor,
            in_flight: AtomicUsize::new(0),
        });
        let (open_sender, open) = async_channel::bounded(1);
        let tasks = Tasks(vec![
            task::spawn(frontend::accept(context.clone(), listener, open_sender)),
            task::spawn(gossip::send(socket.clone(), settings.name.clone(), outgoing_digests)),
            task::spawn(gossip::send_messages(socket.clone(), settings.name.clone(), outgoing_messages)),
            task::spawn(gossip::receive(socket, context.clock.clone(), control.clone())),
            task::spawn(apply_updates(store.updates, context.clone())),
            sync::serve(incoming, control, mirror.clone()),
            task::spawn(sync::run(context.clone())),
            task::spawn(orders::run(context.clone(), settings.name.clone(), outgoing_orders, store.claims)),
        ]);
        Ok(Self { address, peer, context, settings, mirror, unsaved_suspects, tasks, phases, open })
    }

    /// Returns the bound address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bound address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the copy of the endpoint table.
    pub fn mirror(&self) -> Mirror {
        self.mirror.clone()
    }

    /// Returns the channel with evidence on suspects that has to be written to the store.
    pub fn unsaved_suspects(&self) -> Receiver<Vec<Report>> {
        self.unsaved_suspects.clone()
    }

    /// Listens for clients of the admin address, and serves pages to them until the gateway ends. Returns the bound address.
    pub fn serve_admin(&mut self, address: SocketAddr, pages: impl Pages) -> io::Result<SocketAddr> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let serving = admin::serve(self.context.clone(), listener, self.context.admin.clone(), pages);
        self.tasks.0.push(task::spawn(serving));
        Ok(address)
    }

    /// Returns the status for the admin address.
    pub fn status(&self) -> Status {
        Status(self.context.clone())
    }

    /// Cancels all tasks at once, as in a crash: without notice to peers and without a drain.
    pub async fn kill(self) {
        let Self { tasks, phases, open, .. } = self;
        tasks.cancel().await;
        drop(phases);
        let _ = open.recv().await;
    }

    /// Shuts down: reports that the gateway is not ready, accepts connections until the drain delay is over,
    /// closes idle connections and waits for requests in flight. Shortly before the grace period ends, those
    /// that remain fail.
    pub async fn shutdown(self) {
        let Self { context, settings, tasks, mut phases, open, .. } = self;
        let clock = context.clock.clone();
        let began = clock.now();
        let ends = began.plus(settings.grace);
        let deadline = ends.minus(RESPONSE_RESERVE);
        let drain_delay_ends = began.plus(settings.drain_delay).min(deadline);
        // Cannot be set already, because this method consumes the gateway.
        let _ = context.shutdown.set(Shutdown { drain_delay_ends, deadline });
        phases.enter(Phase::Draining);
        // The load balancer sends callers here until it has noticed that the gateway is not ready.
        clock.sleep(drain_delay_ends.since(began)).await;
        phases.enter(Phase::Closing);
        let is_idle = wait_until_idle(&context, deadline).await;
        let failed = context.in_flight.load(Ordering::Relaxed);
        phases.enter(Phase::Expired);
        let closed = async {
            let _ = open.recv().await;
        };
        closed.or(clock.sleep(ends.since(clock.now()))).await;
        let cut = context.in_flight.load(Ordering::Relaxed);
        let reason = if is_idle { "idle" } else { "deadline" };
        let took_ms = clock.now().since(began).as_millis() as u64;
        spdlog::info!("gateway stopped", kv: { reason, took_ms, failed, cut });
        tasks.cancel().await;
        phases.enter(Phase::Ended);
        let _ = open.recv().await;
    }
}

/// Listens for callers, or for clients of the admin address.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit it.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(std::net::TcpListener::from(socket).into())
}

/// Waits until no request is in flight. Returns false if the deadline passes first.
async fn wait_until_idle(context: &Context, deadline: Time) -> bool {
    while context.clock.now() < deadline {
        if context.in_flight.load(Ordering::Relaxed) == 0 {
            // A request that has just arrived may not be counted yet, so the count is checked twice.
            context.clock.sleep(DRAIN_POLL).await;
            if context.in_flight.load(Ordering::Relaxed) == 0 {
                return true;
            }
        }
        context.clock.sleep(DRAIN_POLL).await;
    }
    false
}

/// Tasks that are cancelled on drop.
struct Tasks(Vec<JoinHandle<()>>);

impl Tasks {
    async fn cancel(mut self) {
        for task in self.0.drain(..) {
            task.cancel().await;
        }
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        // Dropping a handle would only detach its task.
        for task in self.0.drain(..) {
            task::spawn(task.cancel());
        }
    }
}

/// Status of the gateway for its admin address.
#[derive(Clone)]
pub struct Status(Arc<Context>);

impl Status {
    /// Returns whether callers may be sent here: a configuration is known and no shutdown is in progress.
    pub fn is_ready(&self) -> bool {
        self.0.control.catalog().is_some() && !self.0.is_shutting_down()
    }

    /// Updates the metrics that are derived from the routing state.
    pub async fn update_metrics(&self) {
        let version = self.0.control.catalog().map_or(0, |catalog| catalog.version());
        self.0.metrics.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.0.metrics.evacuated.reset();
        for zone in self.0.control.evacuations().zones() {
            self.0.metrics.evacuated.with_label_values(&[&**zone]).set(1.0);
        }
        let limited_endpoints = self.0.control.limited_count(self.0.clock.now());
        self.0.metrics.limited_endpoints.set(i64::try_from(limited_endpoints).unwrap_or(i64::MAX));
        for field in self.0.control.unknown_fields() {
            self.0.metrics.unknown_fields.with_label_values(&[&*field]).set(1.0);
        }
        let out_endpoints = self.0.control.out_count();
        self.0.metrics.out_endpoints.set(i64::try_from(out_endpoints).unwrap_or(i64::MAX));
        let paced_endpoints = self.0.control.paced_count();
        self.0.metrics.paced_endpoints.set(i64::try_from(paced_endpoints).unwrap_or(i64::MAX));
        let Yields { to_urgent, to_customers } = self.0.control.yields();
        for (to, count) in [("urgent", to_urgent), ("customers", to_customers)] {
            let counter = self.0.metrics.yields.with_label_values(&[to]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        self.0.metrics.held_bytes.set(i64::try_from(self.0.held.bytes()).unwrap_or(i64::MAX));
        for (address, clients) in [("callers", &self.0.callers), ("admin", &self.0.admin)] {
            update_connections(&self.0.metrics, address, clients);
        }
        let cold_endpoints = self.0.control.cold_count(self.0.clock.now());
        self.0.metrics.cold_endpoints.set(i64::try_from(cold_endpoints).unwrap_or(i64::MAX));
        for (service, forecast) in self.0.control.forecasts().await {
            let times = [
                ("reading", forecast.prefill_time(FORECAST_PROMPT_TOKENS)),
                ("first_event", forecast.first_event_time(FORECAST_PROMPT_TOKENS)),
                ("event", forecast.typical_event_interval()),
            ];
            for (part, time) in times {
                let gauge = self.0.metrics.forecasts.with_label_values(&[&*service, part]);
                gauge.set(time.as_secs_f64());
            }
        }
        for (service, Summary { min, median, max }) in self.0.control.speeds().await {
            for (rank, value) in [("min", min), ("median", median), ("max", max)] {
                self.0.metrics.speeds.with_label_values(&[&*service, rank]).set(value);
            }
        }
    }

    /// Explains where a request would go now, without sending it; `None` while the gateway ends.
    pub async fn explain(&self, query: Query) -> Option<Result<Explanation, Unknown>> {
        self.0.control.explain(query).await
    }

    /// Returns the routing state.
    pub async fn dump(&self) -> serde_json::Value {
        let mut state = self.0.control.dump().await;
        if let Some(state) = state.as_object_mut() {
            state.insert("held_bytes".into(), self.0.held.bytes().into());
        }
        state
    }
}

fn update_connections(metrics: &Metrics, address: &str, clients: &Clients) {
    metrics.connections.with_label_values(&[address]).set(clients.len() as f64);
    let refusals = metrics.connection_refusals.with_label_values(&[address]);
    refusals.inc_by(clients.refusals().saturating_sub(refusals.get()));
    for (reason, count) in clients.evictions() {
        let evictions = metrics.evictions.with_label_values(&[address, reason]);
        evictions.inc_by(count.saturating_sub(evictions.get()));
    }
}

async fn apply_updates(updates: Receiver<Update>, context: Arc<Context>) {
    while let Ok(update) = updates.recv().await {
        match &update {
            Update::StoreLost { table, .. } => {
                let table: &'static str = (*table).into();
                context.metrics.store_losses.with_label_values(&[table]).inc();
            }
            Update::InvalidRow { what, .. } => context.metrics.invalid_rows.with_label_values(&[what]).inc(),
            _ => {}
        }
        context.control.update(update);
    }
}
