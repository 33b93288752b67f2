//! Scheduling of work on the endpoints of one agent.
//!
//! [`State::step`] takes one input and returns the resulting actions. Only the agent starts work on
//! its endpoints, so an order that it refuses as "not run" never starts.

mod queue;
mod scheduler;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    agent::{
        queue::Task,
        scheduler::{Import, Scheduler},
    },
    clock::Time,
    id::Attempt,
    message::{Event, FailureCause, Load, Order, Work},
    refusal::Code,
    settings::{Endpoint, Role, Snapshot, WithdrawalPolicy},
};

/// Identifies a link (a stream from one entry) within an agent process.
pub type Link = u64;

/// How long a cancelled attempt is remembered, so that orders arriving late do not start it.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);

/// An input of [`State::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// An order received over a link.
    Order(Link, Order),
    /// A link closed; its work is cancelled.
    LinkLost(Link),
    /// New settings apply.
    Settings(Arc<Snapshot>),
    /// Work started by an action ended; sent exactly once per such action.
    Finished {
        /// Attempt that the work belongs to.
        attempt: Attempt,
        /// Endpoint that ran it.
        endpoint: Arc<str>,
        /// How it ended.
        outcome: Outcome,
    },
    /// The agent shuts down and accepts no new work.
    Leave,
    /// Periodic timer; drops expired tombstones, holds and queued work, and starts delayed work.
    Tick,
}

/// Result of work that an action started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The prefill finished and the engine holds its KV cache.
    Prefilled {
        /// Address of the prefill engine.
        source: Arc<str>,
        /// Identifies the KV cache on that engine.
        kv: Arc<str>,
        /// How long the engine keeps the KV cache.
        ttl: Duration,
    },
    /// All tokens were sent.
    Decoded {
        /// Number of tokens in the answer.
        total: u32,
    },
    /// The plain service returned a response.
    Answered {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: Vec<u8>,
    },
    /// The work failed after it started.
    Failed(FailureCause),
    /// The work was aborted and the engine has released its resources.
    Aborted,
}

/// An effect that the agent process carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends an event to the entry at the other end of the link.
    Send(Link, Event),
    /// Prefills the prompt.
    Prefill(Work, Arc<str>),
    /// Imports a KV cache and decodes; tokens go directly to the link.
    Decode {
        /// Link that receives the tokens.
        link: Link,
        /// The work to decode.
        work: Work,
        /// Address of the prefill engine that exports the KV cache.
        source: Arc<str>,
        /// Identifies the KV cache on that engine.
        kv: Arc<str>,
        /// Index of the first token to send.
        from_index: u32,
    },
    /// Calls a plain service.
    Call(Work, Call),
    /// Aborts work on the endpoint and releases its engine resources.
    Abort(Attempt, Arc<str>),
    /// Switches an endpoint to another model or role; the generation is the fencing number.
    Serve(Arc<str>, Arc<Endpoint>),
}

/// A request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// Request body.
    pub body: Vec<u8>,
    /// The caller's idempotency key; empty if the call is safe to repeat.
    pub idempotency_key: Arc<str>,
}

/// Scheduling state of an agent.
#[derive(Clone, Debug)]
pub struct State {
    /// Endpoints that this agent serves.
    endpoint_names: BTreeSet<Arc<str>>,
    settings: Arc<Snapshot>,
    schedulers: BTreeMap<Arc<str>, Scheduler>,
    /// Cancelled attempts and when their tombstones expire.
    tombstones: BTreeMap<Attempt, Time>,
    leaving: bool,
}

impl State {
    /// Creates an agent for the named endpoints, which accept work once the settings contain them.
    pub fn new(endpoint_names: BTreeSet<Arc<str>>) -> Self {
        Self {
            endpoint_names,
            settings: Arc::default(),
            schedulers: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Handles one input and returns the resulting actions.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Order(link, order) => self.handle_order(now, link, order, &mut actions),
            Input::LinkLost(link) => self.cancel_link(link, &mut actions),
            Input::Settings(settings) => self.apply_settings(settings, &mut actions),
            Input::Finished { attempt, endpoint, outcome } => {
                self.handle_finished(now, attempt, &endpoint, outcome, &mut actions);
            }
            Input::Leave => self.leaving = true,
            Input::Tick => self.tombstones.retain(|_, until| *until > now),
        }
        self.schedule(now, &mut actions);
        actions
    }

    /// Returns the current load of every endpoint.
    pub fn loads(&self) -> Vec<Load> {
        self.schedulers.iter().map(|(name, scheduler)| self.load(name, scheduler)).collect()
    }

    fn load(&self, name: &Arc<str>, scheduler: &Scheduler) -> Load {
        let active: u64 = scheduler.active.values().map(|active| u64::from(active.work.prompt_tokens)).sum();
        let delayed: u64 = scheduler.delayed.iter().map(|(_, job)| u64::from(job.work.prompt_tokens)).sum();
        Load {
            endpoint: name.clone(),
            free_pieces: scheduler.ledger.free(),
            capacity_pieces: scheduler.ledger.capacity(),
            queued_tokens: match scheduler.role {
                Role::Prefill => scheduler.queue.queued_tokens() + active + delayed,
                Role::Decode | Role::Plain => scheduler.queue.queued_tokens(),
            },
            running: u32::try_from(scheduler.active.len()).unwrap_or(u32::MAX),
            leaving: self.leaving || scheduler.endpoint.leaving,
        }
    }

    /// Returns whether no endpoint has queued work, running work or held memory.
    pub fn is_idle(&self) -> bool {
        self.schedulers.values().all(Scheduler::is_idle)
    }

    /// Returns the number of tombstones.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    fn apply_settings(&mut self, settings: Arc<Snapshot>, actions: &mut Vec<Action>) {
        self.settings = settings;
        for name in &self.endpoint_names {
            let Some(endpoint) = self.settings.endpoints.get(name) else {
                continue;
            };
            match self.schedulers.get_mut(name) {
                Some(scheduler) => scheduler.reconfigure(name, endpoint, actions),
                None => {
                    self.schedulers.insert(name.clone(), Scheduler::new(endpoint));
                }
            }
        }
        self.abort_withdrawn(actions);
    }

    /// Aborts work under withdrawn keys, unless the operator lets running work finish. The entry
    /// does the same; this covers an entry that is paused or has lost its connection to the table.
    fn abort_withdrawn(&mut self, actions: &mut Vec<Action>) {
        let withdrawn: BTreeSet<Arc<str>> = self
            .settings
            .keys
            .values()
            .filter(|key| key.withdrawn && key.running == WithdrawalPolicy::Cut)
            .map(|key| key.id.clone())
            .collect();
        if withdrawn.is_empty() {
            return;
        }
        for (name, scheduler) in &mut self.schedulers {
            scheduler.abort_keys(name, &withdrawn, actions);
        }
    }

    fn handle_order(&mut self, now: Time, link: Link, order: Order, actions: &mut Vec<Action>) {
        match order {
            Order::Hello { .. } | Order::Heartbeat(_) => {}
            Order::Hold { work, ahead } => {
                self.enqueue(now, link, work, Task::Hold { ahead }, Duration::ZERO, actions)
            }
            Order::Prefill { work, prompt, delay } => {
                self.enqueue(now, link, work, Task::Prefill { prompt }, delay, actions);
            }
            Order::Call { work, method, path, body, idempotency_key } => {
                let call = Call { method, path, body, idempotency_key };
                self.enqueue(now, link, work, Task::Call(call), Duration::ZERO, actions);
            }
            Order::Decode { work, source, kv, from_index, held } => {
                let import = Import { link, work, source, kv, from_index, queued_at: now };
                self.enqueue_import(now, import, held, actions);
            }
            Order::Cancel(attempt) => self.cancel(now, link, attempt, actions),
        }
    }

    /// Returns why an order is refused, or `None` if it may run.
    fn refusal_code(&self, work: &Work, role: Role) -> Option<Code> {
        if self.tombstones.contains_key(&work.attempt) {
            return Some(Code::Cancelled);
        }
        if self.settings.is_withdrawn(&work.key) {
            return Some(Code::BadKey);
        }
        let scheduler = self.schedulers.get(&work.endpoint).filter(|scheduler| scheduler.role == role);
        let Some(scheduler) = scheduler else { return Some(Code::NoEndpoint) };
        (self.leaving || scheduler.endpoint.leaving).then_some(Code::NoEndpoint)
    }

    fn enqueue(
        &mut self,
        now: Time,
        link: Link,
        work: Work,
        task: Task,
        delay: Duration,
        actions: &mut Vec<Action>,
    ) {
        let role = match task {
            Task::Hold { .. } => Role::Decode,
            Task::Prefill { .. } => Role::Prefill,
            Task::Call(_) => Role::Plain,
        };
        if let Some(code) = self.refusal_code(&work, role) {
            actions.push(refuse(link, work.attempt, code, Duration::ZERO));
            return;
        }
        let weight = self.settings.customers.get(&work.customer).map_or(1, |customer| customer.weight);
        let Some(scheduler) = self.schedulers.get_mut(&work.endpoint) else { return };
        scheduler.enqueue(now, link, weight, work, task, delay, actions);
    }

    fn enqueue_import(&mut self, now: Time, import: Import, held: bool, actions: &mut Vec<Action>) {
        let attempt = import.work.attempt;
        let has_hold = self
            .schedulers
            .get(&import.work.endpoint)
            .is_some_and(|scheduler| scheduler.ledger.contains(attempt));
        // A leaving endpoint still accepts decodes with a granted hold: their prefill is already done.
        let refusal_code = self
            .refusal_code(&import.work, Role::Decode)
            .filter(|code| !(has_hold && *code == Code::NoEndpoint));
        let hold_expired = held && !has_hold && refusal_code.is_none();
        if let Some(code) = refusal_code.or(hold_expired.then_some(Code::Overloaded)) {
            actions.push(refuse(import.link, attempt, code, Duration::ZERO));
            return;
        }
        if let Some(scheduler) = self.schedulers.get_mut(&import.work.endpoint) {
            scheduler.imports.push(import);
            scheduler.start_imports(now, actions);
        }
    }

    /// Cancels an attempt. The tombstone refuses orders of the attempt that are still in flight on
    /// another connection, so that a reply of "not run" stays true.
    fn cancel(&mut self, now: Time, link: Link, attempt: Attempt, actions: &mut Vec<Action>) {
        self.tombstones.insert(attempt, now.plus(TOMBSTONE_TTL));
        let mut started = false;
        for (name, scheduler) in &mut self.schedulers {
            started |= scheduler.cancel(name, |other, _| other == attempt, actions);
        }
        actions.push(Action::Send(
            link,
            Event::Refused { attempt, code: Code::Cancelled, not_run: !started, retry_after: Duration::ZERO },
        ));
    }

    fn cancel_link(&mut self, link: Link, actions: &mut Vec<Action>) {
        for (name, scheduler) in &mut self.schedulers {
            scheduler.cancel(name, |_, owner| owner == link, actions);
        }
    }

    fn handle_finished(
        &mut self,
        now: Time,
        attempt: Attempt,
        endpoint: &Arc<str>,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(scheduler) = self.schedulers.get_mut(endpoint) else { return };
        scheduler.ledger.release(attempt);
        let Some(active) = scheduler.active.remove(&attempt) else { return };
        scheduler.record_outcome(now, &active, &outcome);
        let event = match outcome {
            Outcome::Prefilled { source, kv, ttl } => Event::Prefilled { attempt, source, kv, ttl },
            Outcome::Decoded { total } => Event::Ended { attempt, total },
            Outcome::Answered { status, body } => Event::Answered { attempt, status, body },
            Outcome::Failed(cause) => Event::Failed { attempt, cause },
            Outcome::Aborted => return,
        };
        if !active.aborted {
            actions.push(Action::Send(active.link, event));
        }
    }

    fn schedule(&mut self, now: Time, actions: &mut Vec<Action>) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.schedule(now, actions);
        }
    }
}

fn refuse(link: Link, attempt: Attempt, code: Code, retry_after: Duration) -> Action {
    Action::Send(link, Event::Refused { attempt, code, not_run: true, retry_after })
}
