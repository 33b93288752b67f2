//! State shared by all tasks, and the state of one request.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tarragonhill_core::{
    Clock, Refusal, Time,
    gateway::{
        catalog::{Kind, Route},
        directory::Endpoint,
        forecast::Size,
        ledger::{self, Ledger, Plan},
        origin::{Origin, Stream},
        shutdown::Shutdown,
        state::{Admission, Admitted, quarantined},
        suspect::{Run, Suspect},
    },
    refusal::Code,
};
use tarragonhill_h1::head::Request;

use crate::{
    client::Clients,
    control::{Block, Control},
    edge::{Dialect, Dispatch, Message, Metadata, Task},
    exchange::{Bound, Client, Exchange, Failure, Recipient},
    held::Held,
    liveness::Checks,
    metrics::Metrics,
    pool::Pool,
    shutdown::Monitor,
};

/// Retry delay for callers that another replica can serve at once.
pub(crate) const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// State shared by all tasks.
pub(crate) struct Context {
    pub(crate) clock: Clock,
    pub(crate) control: Control,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) pool: Pool,
    /// Bytes held for callers and endpoints.
    pub(crate) held: Arc<Held>,
    /// Open connections of callers.
    pub(crate) callers: Arc<Clients>,
    /// Open connections of the admin address.
    pub(crate) admin: Arc<Clients>,
    /// Running checks of endpoints that may have crashed.
    pub(crate) checks: Checks,
    pub(crate) metrics: Metrics,
    /// Set when the shutdown begins.
    pub(crate) shutdown: OnceLock<Shutdown>,
    /// Phases of the shutdown.
    pub(crate) phases: Monitor,
    /// Number of requests that are expected, being read or being served.
    pub(crate) in_flight: AtomicUsize,
}

impl Context {
    pub(crate) fn client(&self) -> Client<'_> {
        let Self { pool, dialect, control, clock, held, .. } = self;
        Client { pool, dialect: &**dialect, control, clock, held }
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Checks in a background task whether an endpoint has crashed.
    fn check_endpoint(self: &Arc<Self>, endpoint: &Arc<Endpoint>) {
        if !self.checks.begin(&endpoint.id) {
            return;
        }
        let (context, endpoint) = (self.clone(), endpoint.clone());
        async_std::task::spawn(async move {
            loop {
                let began = context.clock.now();
                match context.client().is_alive(&endpoint).await {
                    Ok(()) => context.control.record_alive(&endpoint.id, began),
                    Err(failure) => {
                        spdlog::info!("endpoint crashed", kv: { endpoint = &*endpoint.id, reason = failure.to_string().as_str() });
                        context.control.record_crash(&endpoint.id);
                    }
                }
                if context.checks.end(&endpoint.id) {
                    return;
                }
            }
        });
    }

    /// Sends a message to an endpoint in a background task and discards the response.
    pub(crate) fn send_detached(self: &Arc<Self>, endpoint: Arc<Endpoint>, message: Message) {
        let context = self.clone();
        async_std::task::spawn(async move {
            match context.client().send_message(&endpoint, &message, DETACHED_TIMEOUT).await {
                Ok(exchange) => drop(exchange.read_whole(Bound::message(DETACHED_TIMEOUT)).await),
                Err(failure) => {
                    spdlog::debug!("sending a release failed", kv: { endpoint = &*endpoint.id, reason = failure.to_string().as_str() });
                }
            }
        });
    }
}

/// Longest part of a caller's text that is logged, in bytes. Lines that wait to be written are bounded by their number.
const MAX_LOGGED_BYTES: usize = 128;

/// Returns what is logged of a text that a caller has sent.
pub(crate) fn logged(text: Option<&str>) -> &str {
    let text = text.unwrap_or("-");
    &text[..text.floor_char_boundary(MAX_LOGGED_BYTES)]
}

/// Returns the refusal of a request that is not expected to end before the gateway does.
pub(crate) fn ends_too_late() -> Refusal {
    Refusal::not_run(Code::ShuttingDown, "the request would not end before the gateway shuts down")
        .with_retry_after(RETRY_ELSEWHERE)
}

/// How much longer than until its caller's deadline the version of a stream is kept.
const RESUME_SLACK: Duration = Duration::from_secs(1);

/// Timeout of background messages, which only release resources; endpoints also release those after a while.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(2);

/// A caller's request whose route and customer are known.
pub(crate) struct Inbound {
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    pub(crate) metadata: Metadata,
    pub(crate) route: Arc<Route>,
    pub(crate) admission: Admission,
    /// When the whole request had been read.
    pub(crate) received: Time,
    /// Earlier of the caller's and the route's deadline.
    pub(crate) deadline: Time,
    /// Number of endpoints that may have run the request. A count and not a flag: a hedged request is at two
    /// endpoints, and one of them may report that it did not run it.
    runs: AtomicU32,
    /// Whether the request runs as a trial of suspects that are held off.
    is_trial: AtomicBool,
    /// Messages sent to endpoints, and what was charged for them.
    ledger: Mutex<Ledger>,
}

impl Inbound {
    pub(crate) fn new(
        head: Request,
        body: Bytes,
        metadata: Metadata,
        route: Arc<Route>,
        admission: Admission,
        received: Time,
    ) -> Self {
        let timeout = metadata.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let deadline = received.plus(timeout);
        Self {
            head,
            body,
            metadata,
            route,
            admission,
            received,
            deadline,
            runs: AtomicU32::new(0),
            is_trial: AtomicBool::new(false),
            ledger: Mutex::default(),
        }
    }

    /// Records how the request was admitted.
    pub(crate) fn record_admitted(&self, admitted: Admitted) {
        self.is_trial.store(admitted == Admitted::AsTrial, Ordering::Relaxed);
    }

    pub(crate) fn is_trial(&self) -> bool {
        self.is_trial.load(Ordering::Relaxed)
    }

    /// Ends the trial if the request is one. After that it may not be sent to another endpoint.
    pub(crate) fn end_trial(&self, context: &Context) {
        if self.is_trial.swap(false, Ordering::Relaxed) {
            context.control.end_trial(&self.admission.suspects);
        }
    }

    /// Returns what of the request may crash endpoints and is not being tried.
    pub(crate) fn untried_suspects(&self) -> Arc<[Suspect]> {
        if self.is_trial() { Arc::default() } else { self.admission.suspects.clone() }
    }

    /// Returns the refusal of the request if it has to be held off by now.
    pub(crate) fn hold_off(&self, context: &Context) -> Option<Refusal> {
        let is_held_off = !self.is_trial() && context.control.holds(&self.admission.suspects);
        is_held_off.then(|| quarantined(Duration::ZERO))
    }

    /// Records that the request was interrupted on an endpoint, and checks whether the endpoint has crashed.
    pub(crate) fn record_interrupted(
        &self,
        context: &Arc<Context>,
        endpoint: &Arc<Endpoint>,
        run: Run,
        reason: &str,
    ) {
        let suspects: Vec<String> =
            self.admission.suspects.iter().map(|Suspect(id)| format!("{id:016x}")).collect();
        let (parts, suspects) = (self.metadata.parts.join(","), suspects.join(","));
        spdlog::info!("request interrupted", kv: {
            request = self.id(), endpoint = &*endpoint.id, reason, trial = self.is_trial(),
            generating = run == Run::Generating, parts = logged(Some(&parts)), suspects = logged(Some(&suspects))
        });
        context.control.record_interrupted(endpoint, &self.admission.suspects, run, self.is_trial());
        self.end_trial(context);
        context.check_endpoint(endpoint);
    }

    /// Records that a run from the beginning of the request, which was sent at `sent`, has brought its whole response.
    pub(crate) fn record_completed(&self, context: &Arc<Context>, endpoint: &Arc<Endpoint>, sent: Time) {
        let is_trial = self.is_trial();
        context.control.record_completed(endpoint, &self.admission.suspects, sent, is_trial);
        self.end_trial(context);
        // The suspects of a trial stay held off until the endpoint is known to have outlived it.
        if is_trial {
            context.check_endpoint(endpoint);
        }
    }

    /// Returns the service that handles the request.
    pub(crate) fn service(&self) -> &Arc<str> {
        &self.admission.service
    }

    /// Returns the request id as it is logged.
    pub(crate) fn id(&self) -> &str {
        logged(self.metadata.id.as_deref())
    }

    /// Returns the size of a completion; zero for other requests.
    pub(crate) fn size(&self) -> Size {
        let tokens = self.metadata.tokens.unwrap_or_default();
        Size { prompt: tokens.prompt, expected_output: tokens.expected_output(), max_output: tokens.output }
    }

    pub(crate) fn priority(&self) -> u8 {
        let customer = self.admission.customer.as_ref();
        customer.and_then(|customer| customer.priority).unwrap_or(self.route.priority)
    }

    /// Returns whether the request may be retried after `runs` endpoints may have run it.
    pub(crate) fn may_retry(&self, runs: u32) -> bool {
        self.route.is_repeatable() && runs < self.route.max_attempts
    }

    /// Returns the stream that the request begins or takes up; `None` if its attempt is not named.
    pub(crate) fn stream(&self) -> Option<Stream> {
        let attempt = match &self.metadata.resume {
            Some(resume) => resume.stream.as_deref(),
            None => self.metadata.id.as_deref(),
        };
        attempt.map(|attempt| Stream::of(self.customer_name().unwrap_or_default(), attempt))
    }

    /// Records the software version whose events the caller gets, before the first of them is sent.
    pub(crate) fn record_origin(&self, context: &Context, software_version: &Arc<str>) {
        let Some(stream) = self.stream() else { return };
        let resumable_for = self.metadata.timeout.unwrap_or(self.route.timeout) + RESUME_SLACK;
        let left = self.received.plus(resumable_for).since(context.clock.now());
        context.control.record_origin(Origin { stream, software_version: software_version.clone(), left });
    }

    /// Sends the request to an endpoint and waits for the response head, for at most `limit`. A retry that has not
    /// been charged yet is charged first.
    pub(crate) async fn send<'a>(
        &self,
        context: &'a Context,
        endpoint: &'a Endpoint,
        task: Task<'_>,
        limit: Duration,
    ) -> Result<Exchange<'a>, Failure> {
        // An endpoint that cannot respond before the gateway ends refuses the request instead of running it.
        let shutdown = context.shutdown.get();
        let deadline = shutdown.map_or(self.deadline, |shutdown| self.deadline.min(shutdown.deadline));
        let left = deadline.since(context.clock.now());
        let dispatch =
            Dispatch { endpoint, customer: self.customer_name(), left, priority: self.priority(), task };
        let head = context.dialect.encode_request(&self.head, &dispatch);
        let id = self.metadata.id.as_deref();
        let (message, plan) = match task {
            Task::Prefill => (ledger::Message::Prefill, Plan::PrefillAndRun),
            Task::Whole | Task::Decode(_) => (ledger::Message::Run, Plan::Run),
        };
        if self.hold_off(context).is_some() {
            return Err(Failure::Blocked(Block::HeldOff));
        }
        if !self.charge(context, plan).await {
            return Err(Failure::OverBudget);
        }
        let sending = self.ledger().record_sent(message, &endpoint.id);
        let client = context.client();
        let recipient = match message {
            ledger::Message::Run if self.route.kind == Kind::Streaming => Recipient::Listed,
            ledger::Message::Run | ledger::Message::Prefill => Recipient::Any,
        };
        let (limit, is_written) = (limit.min(left), &sending.is_written);
        let sent = client.send(endpoint, &head, &self.body, id, recipient, limit, is_written).await;
        let concluded = match &sent {
            Ok(exchange) if message == ledger::Message::Prefill && exchange.head.status == 200 => {
                self.ledger().record_prefilled(&sending)
            }
            Err(Failure::Blocked(_) | Failure::Connect(_)) => {
                self.ledger().record_unsent(&sending);
                0
            }
            Err(failure) if failure.is_pending() => 0,
            Ok(_) | Err(_) => self.ledger().record_concluded(&sending),
        };
        context.control.conclude_retries(self.service(), concluded);
        sent
    }

    /// Charges the service's retry budget for the messages of a plan, as far as they are retries and not charged yet.
    /// Returns false if the budget does not suffice.
    pub(crate) async fn charge(&self, context: &Context, plan: Plan) -> bool {
        let due = self.ledger().due(plan);
        if due == 0 {
            return true;
        }
        let Some(decision) = context.control.charge_retries(self.service(), due).await else { return false };
        let is_granted = decision.is_granted;
        let result = if is_granted { "charged" } else { "refused" };
        context.metrics.retry_charges.with_label_values(&[self.service(), result]).inc_by(due.into());
        spdlog::info!("retries charged", kv: {
            request = self.id(), service = &**self.service(), count = due, granted = is_granted,
            used = decision.used, allowed = decision.allowed, replicas = decision.replicas
        });
        if is_granted {
            self.ledger().record_charged(due);
        }
        is_granted
    }

    /// Returns the messages sent for the request, and what was charged for them.
    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs the endpoint, the prefill endpoint if there is one, and the time until placement.
    pub(crate) fn log_placement(&self, now: Time, endpoint: &Endpoint, prefill: Option<&Endpoint>) {
        spdlog::info!("request placed", kv: {
            request = self.id(), endpoint = &*endpoint.id, reader = prefill.map_or("", |prefill| &*prefill.id),
            version = &*endpoint.software_version,
            reader_version = prefill.map_or("", |prefill| &*prefill.software_version),
            waited_ms = now.since(self.received).as_millis() as u64
        });
    }

    /// Records that the request is being sent to an endpoint, which may run it from now on.
    pub(crate) fn mark_sent(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that an endpoint has not run the request and will not run it.
    pub(crate) fn mark_not_run(&self) {
        self.runs.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether any endpoint may have run the request or may still run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.runs.load(Ordering::Relaxed) > 0
    }

    pub(crate) fn customer_name(&self) -> Option<&str> {
        self.admission.customer.as_ref().map(|customer| &*customer.name)
    }
}
