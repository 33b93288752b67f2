//! A running gateway.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_std::{
    net::TcpListener,
    task::{self, JoinHandle},
};
use prometheus::Registry;
use tarragonhill_core::{
    Clock,
    gateway::{budget::Rule, state::Identity},
};

use crate::{
    context::{Context, Stop},
    control::{
        PROMPT_SHOWN,
        worker::{self, Outlets},
    },
    edge::{Claims, Dialect, Update},
    front, handover,
    metrics::Metrics,
    orders, peers,
    pool::Pool,
};

/// How often a shutdown looks whether everything has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Digests that may wait to be sent: the next says the same and more.
const DIGESTS: usize = 2;

/// Orders that may wait to be given.
const ORDERS: usize = 4;

/// The gateway's edge to the store.
pub struct Store {
    /// What the store tells.
    pub updates: Receiver<Update>,
    /// The claim on orders.
    pub claims: Box<dyn Claims>,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name, unique in the fleet.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where other entries send digests.
    pub peer: SocketAddr,
    /// Tells starts of one name apart; drawn at random.
    pub incarnation: u64,
    /// How often requests may be sent to a further endpoint.
    pub retries: Rule,
    /// How long new connections still come after it has said that it is leaving.
    pub linger: Duration,
    /// Longest time from the order to stop to the end.
    pub grace: Duration,
}

/// Why a gateway does not start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen(SocketAddr, io::Error),
    /// A thread cannot be started.
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
    tasks: Tasks,
    /// Dropped to end callers' idle connections.
    closing: Sender<()>,
}

impl Gateway {
    /// Starts a gateway on a store.
    pub async fn start(
        settings: Settings,
        clock: Clock,
        dialect: Arc<dyn Dialect>,
        store: Store,
        registry: &Registry,
    ) -> Result<Self, StartError> {
        let listener = TcpListener::bind(settings.listen).await;
        let listener = listener.map_err(|error| StartError::Listen(settings.listen, error))?;
        let address = listener.local_addr().map_err(|error| StartError::Listen(settings.listen, error))?;
        let failed = |error| StartError::Listen(settings.peer, error);
        let socket = peers::bind(settings.peer).await.map_err(failed)?;
        let peer = socket.local_addr().map_err(failed)?;
        let (incoming, _) = tarragonhill_wire::listen(peer).map_err(failed)?;
        let identity = Identity {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: settings.incarnation,
            address: peer,
        };
        let (digests, to_tell) = async_channel::bounded(DIGESTS);
        let (orders, ordered) = async_channel::bounded(ORDERS);
        let outgoing = Outlets { digests, orders };
        let control = worker::start(identity, settings.retries, clock.clone(), outgoing);
        let control = control.map_err(StartError::Thread)?;
        let context = Arc::new(Context {
            pool: Pool::new(clock.clone()),
            clock,
            control: control.clone(),
            dialect,
            metrics: Metrics::new(registry),
            stop: OnceLock::new(),
            running: AtomicUsize::new(0),
        });
        let (closing, closed) = async_channel::bounded(1);
        let tasks = Tasks(vec![
            task::spawn(front::accept(context.clone(), listener, closed)),
            task::spawn(peers::send(socket.clone(), to_tell)),
            task::spawn(peers::receive(socket, control.clone())),
            task::spawn(learn(store.updates, context.clone())),
            handover::serve(incoming, control),
            task::spawn(handover::learn(context.clone())),
            task::spawn(orders::carry_out(context.clone(), settings.name.clone(), ordered, store.claims)),
        ]);
        Ok(Self { address, peer, context, settings, tasks, closing })
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where other entries reach it.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// A view of it for the admin address.
    pub fn view(&self) -> View {
        View(self.context.clone())
    }

    /// Ends at once, as a crash would: nobody is told, and nothing is finished.
    pub async fn kill(self) {
        let Self { mut tasks, .. } = self;
        for task in tasks.0.drain(..) {
            task.cancel().await;
        }
    }

    /// Stops: says that it is leaving, serves what still comes for a while, ends idle connections,
    /// lets running requests end, and gives up at the end of the grace.
    pub async fn shutdown(self) {
        let Self { context, settings, tasks, closing, .. } = self;
        let clock = context.clock.clone();
        let began = clock.now();
        let stop = Stop { noticed: began.plus(settings.linger), ends: began.plus(settings.grace) };
        // Set once only: shutdown takes the gateway itself.
        let _ = context.stop.set(stop);
        // Callers are sent here until the balancer has noticed; a closed door would turn them away.
        clock.sleep(settings.linger.min(settings.grace)).await;
        drop(closing);
        while clock.now().since(began) < settings.grace {
            if context.running.load(Ordering::Relaxed) == 0 {
                // A request may just be on its way: it shows up within one poll.
                clock.sleep(DRAIN_POLL).await;
                if context.running.load(Ordering::Relaxed) == 0 {
                    break;
                }
            }
            clock.sleep(DRAIN_POLL).await;
        }
        let cut = context.running.load(Ordering::Relaxed);
        drop(tasks);
        spdlog::info!("gateway stopped", kv: { cut });
    }
}

/// Tasks that end when this is dropped.
struct Tasks(Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        // A dropped handle would only detach its task.
        for task in self.0.drain(..) {
            task::spawn(task.cancel());
        }
    }
}

/// What the admin address tells of a gateway.
#[derive(Clone)]
pub struct View(Arc<Context>);

impl View {
    /// Whether callers may be sent here: the configuration is known, and the process goes on.
    pub fn is_ready(&self) -> bool {
        self.0.control.catalog().is_some() && !self.0.is_stopping()
    }

    /// Brings those metrics up to date that are read off the state.
    pub async fn observe(&self) {
        let version = self.0.control.catalog().map_or(0, |catalog| catalog.version());
        self.0.metrics.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        for (service, forecast) in self.0.control.forecasts().await {
            let times = [
                ("reading", forecast.prefill_time(PROMPT_SHOWN)),
                ("first_event", forecast.first_event_time(PROMPT_SHOWN)),
                ("event", forecast.typical_event_interval()),
            ];
            for (part, time) in times {
                let gauge = self.0.metrics.forecasts.with_label_values(&[&*service, part]);
                gauge.set(time.as_secs_f64());
            }
        }
    }

    /// What the process believes.
    pub async fn dump(&self) -> serde_json::Value {
        self.0.control.dump().await
    }
}

async fn learn(updates: Receiver<Update>, context: Arc<Context>) {
    while let Ok(update) = updates.recv().await {
        if let Update::Lost { what, .. } = &update {
            context.metrics.store_losses.with_label_values(&[what]).inc();
        }
        context.control.update(update);
    }
}
