//! What all requests of the process share.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tarragonhill_core::{
    Clock, Time,
    gateway::{catalog::Route, directory::Endpoint, forecast::Size, state::Admission},
};
use tarragonhill_h1::head::Request;

use crate::{
    control::Control,
    edge::{Call, Dialect, Message, Passage, Task},
    exchange::{Exchange, Failure, Sender},
    metrics::Metrics,
    pool::Pool,
};

/// The end of a process that has been told to stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// Until then the balancer may not have noticed and sends callers here.
    pub(crate) noticed: Time,
    /// When the process ends at the latest.
    pub(crate) ends: Time,
}

/// Shared by all tasks.
pub(crate) struct Context {
    pub(crate) clock: Clock,
    pub(crate) control: Control,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    /// Set when the process is told to stop.
    pub(crate) stop: OnceLock<Stop>,
    /// Requests under way.
    pub(crate) running: AtomicUsize,
}

impl Context {
    pub(crate) fn sender(&self) -> Sender<'_> {
        Sender { pool: &self.pool, dialect: &*self.dialect }
    }

    /// Whether the process has been told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Sends a message whose answer nobody waits for, beside the traffic.
    pub(crate) fn send_beside(self: &Arc<Self>, endpoint: Arc<Endpoint>, message: Message) {
        let context = self.clone();
        async_std::task::spawn(async move {
            let sent = context.sender().send(&endpoint, &message.head, &message.body, None, BESIDE_LIMIT);
            match sent.await {
                Ok(exchange) => drop(exchange.whole().await),
                Err(failure) => {
                    spdlog::debug!("release failed", kv: { endpoint = &*endpoint.id, reason = failure.to_string().as_str() });
                }
            }
        });
    }
}

/// Longest time for a message beside the traffic; what it releases lapses by itself later.
const BESIDE_LIMIT: Duration = Duration::from_secs(2);

/// One request on its way.
pub(crate) struct Inbound {
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    pub(crate) call: Call,
    pub(crate) route: Arc<Route>,
    pub(crate) admission: Admission,
    /// When it had been read.
    pub(crate) received: Time,
    /// When the caller or the operator gives up.
    pub(crate) ends: Time,
    /// Endpoints that may have run it, or may yet. A count, since two may have it at once and each
    /// speaks for itself only.
    runs: AtomicU32,
}

impl Inbound {
    /// A request that no endpoint has been given yet.
    pub(crate) fn new(
        head: Request,
        body: Bytes,
        call: Call,
        route: Arc<Route>,
        admission: Admission,
        received: Time,
    ) -> Self {
        let patience = call.patience.map_or(route.timeout, |patience| patience.min(route.timeout));
        let ends = received.plus(patience);
        Self { head, body, call, route, admission, received, ends, runs: AtomicU32::new(0) }
    }

    /// The service that serves it.
    pub(crate) fn service(&self) -> &Arc<str> {
        &self.admission.service
    }

    pub(crate) fn id(&self) -> &str {
        self.call.id.as_deref().unwrap_or("-")
    }

    /// The size of a completion; zero for a plain call.
    pub(crate) fn size(&self) -> Size {
        let tokens = self.call.tokens.unwrap_or_default();
        Size { prompt: tokens.prompt, expected_output: tokens.expected_output(), max_output: tokens.output }
    }

    pub(crate) fn priority(&self) -> u8 {
        let customer = self.admission.customer.as_ref();
        customer.and_then(|customer| customer.priority).unwrap_or(self.route.priority)
    }

    /// Whether it may run again when `runs` endpoints may have run it.
    pub(crate) fn may_repeat(&self, runs: u32) -> bool {
        self.route.is_repeatable() && runs < self.route.attempts
    }

    /// Sends it to an endpoint with a task, and waits for the head of the answer, `limit` at most.
    pub(crate) async fn send<'a>(
        &self,
        context: &'a Context,
        endpoint: &'a Endpoint,
        task: Task<'_>,
        limit: Duration,
    ) -> Result<Exchange<'a>, Failure> {
        let left = self.ends.since(context.clock.now());
        let passage =
            Passage { endpoint, customer: self.customer_name(), left, priority: self.priority(), task };
        let head = context.dialect.pass(&self.head, &passage);
        let id = self.call.id.as_deref();
        context.sender().send(endpoint, &head, &self.body, id, limit.min(left)).await
    }

    /// Logs where it goes: its endpoint, who reads its prompt, and how long it waited.
    pub(crate) fn log_place(&self, now: Time, endpoint: &Endpoint, reader: Option<&Endpoint>) {
        spdlog::info!("request placed", kv: {
            request = self.id(), endpoint = &*endpoint.id, reader = reader.map_or("", |reader| &*reader.id),
            waited_ms = now.since(self.received).as_millis() as u64
        });
    }

    /// An endpoint is given it, and may run it from now on.
    pub(crate) fn given(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// An endpoint that was given it has not run it and will not.
    pub(crate) fn not_run(&self) {
        self.runs.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether any endpoint may have run it, or may yet.
    pub(crate) fn may_have_run(&self) -> bool {
        self.runs.load(Ordering::Relaxed) > 0
    }

    pub(crate) fn customer_name(&self) -> Option<&str> {
        self.admission.customer.as_ref().map(|customer| &*customer.name)
    }
}
