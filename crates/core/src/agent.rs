//! Decisions of an agent: which order runs on which of its endpoints, and when.
//!
//! [`State::step`] takes one input and returns the actions that follow. The agent is the one
//! authority on its endpoints: what it refuses as "not run" never starts.

mod lane;
mod waiting;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    agent::{
        lane::{Import, Lane},
        waiting::Task,
    },
    clock::Time,
    id::Attempt,
    message::{Breakage, Event, Load, Order, Work},
    refusal::Code,
    settings::{Endpoint, Role, Snapshot, WithdrawalPolicy},
};

/// Numbers the links of one agent process.
pub type Link = u64;

/// How long an attempt that was given up is remembered, so that its late orders start nothing.
const TOMBSTONE: Duration = Duration::from_secs(120);

/// What happens to an agent.
#[derive(Clone, Debug)]
pub enum Input {
    /// An order came over a link.
    Order(Link, Order),
    /// A link is gone; nobody waits for its work any more.
    LinkLost(Link),
    /// New settings are in force.
    Settings(Arc<Snapshot>),
    /// Work that an action started has ended; sent exactly once for each such action.
    Finished {
        /// The attempt.
        attempt: Attempt,
        /// Where it ran.
        endpoint: Arc<str>,
        /// How it ended.
        outcome: Outcome,
    },
    /// The agent stops: nothing new starts.
    Leave,
    /// Time has passed.
    Tick,
}

/// How work ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A prefill result stands in the engine.
    Prefilled {
        /// Address of the engine.
        source: Arc<str>,
        /// Names the result there.
        kv: Arc<str>,
        /// How long the engine keeps it.
        lives: Duration,
    },
    /// All tokens were sent.
    Decoded {
        /// How many.
        total: u32,
    },
    /// A plain service answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// It broke off.
    Failed(Breakage),
    /// It was aborted and the engine has let go of it.
    Aborted,
}

/// What an agent does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tells an entry.
    Send(Link, Event),
    /// Runs a prefill.
    Prefill(Work, Arc<str>),
    /// Imports a result and decodes it; tokens go straight to the link.
    Decode {
        /// Where tokens go.
        link: Link,
        /// The work.
        work: Work,
        /// Address of the exporting engine.
        source: Arc<str>,
        /// Names the result there.
        kv: Arc<str>,
        /// First token index wanted.
        from_index: u32,
    },
    /// Calls a plain service.
    Call(Work, Call),
    /// Stops running work and has the engine let go of it.
    Abort(Attempt, Arc<str>),
    /// Orders an endpoint to serve something else; carries the fencing number.
    Serve(Arc<str>, Arc<Endpoint>),
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// Request body.
    pub body: Vec<u8>,
    /// The caller's idempotency key; empty for calls that may be repeated.
    pub idempotency_key: Arc<str>,
}

/// State of an agent.
#[derive(Clone, Debug)]
pub struct State {
    /// Names of the endpoints it fronts.
    fronts: BTreeSet<Arc<str>>,
    settings: Arc<Snapshot>,
    lanes: BTreeMap<Arc<str>, Lane>,
    /// Attempts given up, until when they are remembered.
    tombstones: BTreeMap<Attempt, Time>,
    leaving: bool,
}

impl State {
    /// An agent that fronts the endpoints named; they start once settings name them.
    pub fn new(fronts: BTreeSet<Arc<str>>) -> Self {
        Self {
            fronts,
            settings: Arc::default(),
            lanes: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Takes one input and returns what follows.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Order(link, order) => self.order(now, link, order, &mut actions),
            Input::LinkLost(link) => self.link_lost(link, &mut actions),
            Input::Settings(settings) => self.settle(settings, &mut actions),
            Input::Finished { attempt, endpoint, outcome } => {
                self.finished(now, attempt, &endpoint, outcome, &mut actions);
            }
            Input::Leave => self.leaving = true,
            Input::Tick => self.tombstones.retain(|_, until| *until > now),
        }
        self.pump(now, &mut actions);
        actions
    }

    /// Load of every endpoint, fresh.
    pub fn loads(&self) -> Vec<Load> {
        self.lanes.iter().map(|(name, lane)| self.load(name, lane)).collect()
    }

    fn load(&self, name: &Arc<str>, lane: &Lane) -> Load {
        let active: u64 = lane.active.values().map(|active| u64::from(active.work.prompt_tokens)).sum();
        let delayed: u64 = lane.delayed.iter().map(|(_, job)| u64::from(job.work.prompt_tokens)).sum();
        Load {
            endpoint: name.clone(),
            free_pieces: lane.ledger.free(),
            capacity_pieces: lane.ledger.capacity(),
            queued_tokens: match lane.role {
                Role::Prefill => lane.waiting.queued() + active + delayed,
                Role::Decode | Role::Plain => lane.waiting.queued(),
            },
            running: u32::try_from(lane.active.len()).unwrap_or(u32::MAX),
            leaving: self.leaving || lane.endpoint.leaving,
        }
    }

    /// Whether anything runs or waits.
    pub fn is_idle(&self) -> bool {
        self.lanes.values().all(Lane::is_idle)
    }

    /// Attempts remembered as given up.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    fn settle(&mut self, settings: Arc<Snapshot>, actions: &mut Vec<Action>) {
        self.settings = settings;
        for name in &self.fronts {
            let Some(endpoint) = self.settings.endpoints.get(name) else {
                continue;
            };
            match self.lanes.get_mut(name) {
                Some(lane) => lane.adjust(name, endpoint, actions),
                None => {
                    self.lanes.insert(name.clone(), Lane::new(endpoint));
                }
            }
        }
        self.cut_withdrawn(actions);
    }

    /// Stops what runs under a withdrawn key, unless the operator lets it finish. The entry does
    /// the same; this covers an entry that is paused or cut off from the table.
    fn cut_withdrawn(&mut self, actions: &mut Vec<Action>) {
        let cut: BTreeSet<Arc<str>> = self
            .settings
            .keys
            .values()
            .filter(|key| key.withdrawn && key.running == WithdrawalPolicy::Cut)
            .map(|key| key.id.clone())
            .collect();
        if cut.is_empty() {
            return;
        }
        for (name, lane) in &mut self.lanes {
            lane.cut(name, &cut, actions);
        }
    }

    fn order(&mut self, now: Time, link: Link, order: Order, actions: &mut Vec<Action>) {
        match order {
            Order::Hello { .. } | Order::Beat(_) => {}
            Order::Hold { work, ahead } => {
                self.enqueue(now, link, work, Task::Hold { ahead }, Duration::ZERO, actions)
            }
            Order::Prefill { work, prompt, wait } => {
                self.enqueue(now, link, work, Task::Prefill { prompt }, wait, actions);
            }
            Order::Call { work, method, path, body, idempotency_key } => {
                let call = Call { method, path, body, idempotency_key };
                self.enqueue(now, link, work, Task::Call(call), Duration::ZERO, actions);
            }
            Order::Decode { work, source, kv, from_index, held } => {
                let import = Import { link, work, source, kv, from_index, since: now };
                self.import(now, import, held, actions);
            }
            Order::Cancel(attempt) => self.cancel(now, link, attempt, actions),
        }
    }

    /// Why an order may not run, if it may not.
    fn objection(&self, work: &Work, role: Role) -> Option<Code> {
        if self.tombstones.contains_key(&work.attempt) {
            return Some(Code::Cancelled);
        }
        if self.settings.is_withdrawn(&work.key) {
            return Some(Code::BadKey);
        }
        let lane = self.lanes.get(&work.endpoint).filter(|lane| lane.role == role);
        let Some(lane) = lane else { return Some(Code::NoEndpoint) };
        (self.leaving || lane.endpoint.leaving).then_some(Code::NoEndpoint)
    }

    fn enqueue(
        &mut self,
        now: Time,
        link: Link,
        work: Work,
        task: Task,
        wait: Duration,
        actions: &mut Vec<Action>,
    ) {
        let role = match task {
            Task::Hold { .. } => Role::Decode,
            Task::Prefill { .. } => Role::Prefill,
            Task::Call(_) => Role::Plain,
        };
        if let Some(code) = self.objection(&work, role) {
            actions.push(refuse(link, work.attempt, code, Duration::ZERO));
            return;
        }
        let weight = self.settings.customers.get(&work.customer).map_or(1, |customer| customer.weight);
        let Some(lane) = self.lanes.get_mut(&work.endpoint) else { return };
        lane.accept(now, link, weight, work, task, wait, actions);
    }

    fn import(&mut self, now: Time, import: Import, held: bool, actions: &mut Vec<Action>) {
        let attempt = import.work.attempt;
        let known = self.lanes.get(&import.work.endpoint).is_some_and(|lane| lane.ledger.has(attempt));
        // A granted hold is honoured though the endpoint has begun to leave: its prefill is spent.
        let objection =
            self.objection(&import.work, Role::Decode).filter(|code| !(known && *code == Code::NoEndpoint));
        let lapsed = held && !known && objection.is_none();
        if let Some(code) = objection.or(lapsed.then_some(Code::Overloaded)) {
            actions.push(refuse(import.link, attempt, code, Duration::ZERO));
            return;
        }
        if let Some(lane) = self.lanes.get_mut(&import.work.endpoint) {
            lane.imports.push(import);
            lane.start_imports(now, actions);
        }
    }

    /// Gives an attempt up. The tombstone makes "not run" true even if one of the attempt's orders
    /// is still on its way over another connection.
    fn cancel(&mut self, now: Time, link: Link, attempt: Attempt, actions: &mut Vec<Action>) {
        self.tombstones.insert(attempt, now.plus(TOMBSTONE));
        let mut started = false;
        for (name, lane) in &mut self.lanes {
            started |= lane.give_up(name, |other, _| other == attempt, actions);
        }
        actions.push(Action::Send(
            link,
            Event::Refused { attempt, code: Code::Cancelled, not_run: !started, retry_after: Duration::ZERO },
        ));
    }

    fn link_lost(&mut self, link: Link, actions: &mut Vec<Action>) {
        for (name, lane) in &mut self.lanes {
            lane.give_up(name, |_, owner| owner == link, actions);
        }
    }

    fn finished(
        &mut self,
        now: Time,
        attempt: Attempt,
        endpoint: &Arc<str>,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(lane) = self.lanes.get_mut(endpoint) else { return };
        lane.ledger.release(attempt);
        let Some(active) = lane.active.remove(&attempt) else { return };
        lane.measure(now, &active, &outcome);
        let event = match outcome {
            Outcome::Prefilled { source, kv, lives } => Event::Prefilled { attempt, source, kv, lives },
            Outcome::Decoded { total } => Event::Ended { attempt, total },
            Outcome::Answered { status, body } => Event::Answered { attempt, status, body },
            Outcome::Failed(cause) => Event::Broken { attempt, cause },
            Outcome::Aborted => return,
        };
        if !active.aborted {
            actions.push(Action::Send(active.link, event));
        }
    }

    fn pump(&mut self, now: Time, actions: &mut Vec<Action>) {
        for lane in self.lanes.values_mut() {
            lane.pump(now, actions);
        }
    }
}

fn refuse(link: Link, attempt: Attempt, code: Code, retry_after: Duration) -> Action {
    Action::Send(link, Event::Refused { attempt, code, not_run: true, retry_after })
}
