//! Decisions of an agent: which order runs on which of its endpoints, and when.
//!
//! [`State::step`] takes one input and returns the actions that follow. The agent is the one
//! authority on its endpoints: what it refuses as "not run" never starts.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::{Time, micros},
    id::Attempt,
    memory::{Hold, Ledger},
    message::{Breakage, Event, Load, Order, Work},
    queue::Fair,
    refusal::Code,
    settings::{Endpoint, Role, Running, Snapshot, pieces},
};

/// Numbers the links of one agent process.
pub type Link = u64;

/// How long an attempt that was given up is remembered, so that its late orders start nothing.
const TOMBSTONE: Duration = Duration::from_secs(120);
/// A hold outlives the first-token target by this, for the transfer.
const HOLD_GRACE: Duration = Duration::from_secs(1);
/// A decode that waits for its promised place is given up after this: its prefill result is gone.
const IMPORT_WAIT: Duration = Duration::from_millis(900);
/// Prompts that one prefill engine works on at a time; batching more only delays the first.
const PREFILL_SLOTS: usize = 1;
/// Calls that one plain service gets at a time.
const PLAIN_SLOTS: usize = 256;
/// Time between tokens assumed before any was measured.
const FIRST_PACE: Duration = Duration::from_millis(50);
/// Share of the most tokens that answers are assumed to use before any was measured.
const FIRST_LENGTH: f64 = 1.0;
/// Weight of the newest measurement in a running mean.
const NEWEST: f64 = 0.2;

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

#[derive(Clone, Debug)]
enum Task {
    Hold { ahead: bool },
    Prefill { prompt: Arc<str> },
    Call(Call),
}

#[derive(Clone, Debug)]
struct Job {
    link: Link,
    work: Work,
    deadline: Time,
    task: Task,
}

#[derive(Clone, Debug)]
struct Import {
    link: Link,
    work: Work,
    source: Arc<str>,
    kv: Arc<str>,
    from_index: u32,
    since: Time,
}

/// Work that an action has started.
#[derive(Clone, Debug)]
struct Active {
    link: Link,
    work: Work,
    since: Time,
    aborted: bool,
}

/// One endpoint as its agent sees it.
#[derive(Clone, Debug)]
struct Lane {
    role: Role,
    endpoint: Arc<Endpoint>,
    queue: Fair<Job>,
    /// Prefills that wait for their decode place to come near.
    delayed: Vec<(Time, Job)>,
    /// Decodes that wait for their promised memory, oldest first.
    imports: Vec<Import>,
    active: BTreeMap<Attempt, Active>,
    ledger: Ledger,
    /// Links of the holds whose decode has not come yet.
    holders: BTreeMap<Attempt, Link>,
    /// Prompt tokens a second; none before the first measurement.
    speed: Option<f64>,
    /// Microseconds between tokens.
    pace: f64,
    /// Answer length as a part of the most allowed.
    length: f64,
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
                Role::Prefill => lane.queue.queued() + active + delayed,
                Role::Decode | Role::Plain => lane.queue.queued(),
            },
            running: u32::try_from(lane.active.len()).unwrap_or(u32::MAX),
            leaving: self.leaving || lane.endpoint.leaving,
        }
    }

    /// Whether anything runs or waits.
    pub fn is_idle(&self) -> bool {
        self.lanes.values().all(|lane| {
            lane.active.is_empty()
                && lane.queue.is_empty()
                && lane.imports.is_empty()
                && lane.delayed.is_empty()
                && lane.ledger.free() == lane.ledger.capacity()
        })
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
            .filter(|key| key.withdrawn && key.running == Running::Cut)
            .map(|key| key.id.clone())
            .collect();
        if cut.is_empty() {
            return;
        }
        for (name, lane) in &mut self.lanes {
            for (attempt, active) in &mut lane.active {
                if cut.contains(&active.work.key) && lane.role != Role::Plain {
                    abort(name, *attempt, active, actions);
                }
            }
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
        let late = lane.late_by(now, &work, &task);
        if !late.is_zero() {
            actions.push(refuse(link, work.attempt, Code::Overloaded, late));
            return;
        }
        let deadline = now.plus(work.slack);
        let job = Job { link, work, deadline, task };
        match wait.is_zero() {
            true => lane.push(weight, job),
            false => lane.delayed.push((now.plus(wait), job)),
        }
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

fn abort(name: &Arc<str>, attempt: Attempt, active: &mut Active, actions: &mut Vec<Action>) {
    if !active.aborted {
        active.aborted = true;
        actions.push(Action::Abort(attempt, name.clone()));
    }
}

impl Lane {
    fn new(endpoint: &Arc<Endpoint>) -> Self {
        Self {
            role: endpoint.role,
            endpoint: endpoint.clone(),
            queue: Fair::default(),
            delayed: Vec::new(),
            imports: Vec::new(),
            active: BTreeMap::new(),
            ledger: Ledger::new(endpoint.pieces),
            holders: BTreeMap::new(),
            speed: None,
            pace: micros(FIRST_PACE) as f64,
            length: FIRST_LENGTH,
        }
    }

    fn adjust(&mut self, name: &Arc<str>, endpoint: &Arc<Endpoint>, actions: &mut Vec<Action>) {
        let ordered = self.endpoint.generation != endpoint.generation;
        self.endpoint = endpoint.clone();
        self.ledger.resize(endpoint.pieces);
        if !ordered {
            return;
        }
        self.role = endpoint.role;
        let jobs = self.queue.take(|_, _| true);
        actions.extend(
            jobs.iter().map(|job| refuse(job.link, job.work.attempt, Code::NoEndpoint, Duration::ZERO)),
        );
        actions.push(Action::Serve(name.clone(), endpoint.clone()));
    }

    fn push(&mut self, weight: u32, job: Job) {
        let cost = job.cost();
        let customer = job.work.customer.clone();
        self.queue.push(&customer, weight, job.deadline, cost, job);
    }

    /// By how much the work would miss its deadline; zero if it can meet it.
    fn late_by(&self, now: Time, work: &Work, task: &Task) -> Duration {
        let (Task::Prefill { .. }, Some(speed)) = (task, self.speed) else { return Duration::ZERO };
        let own = u64::from(work.prompt_tokens);
        let running: u64 = self
            .active
            .values()
            .map(|active| {
                let done = now.since(active.since).as_secs_f64() * speed;
                u64::from(active.work.prompt_tokens).saturating_sub(done as u64)
            })
            .sum();
        let ahead = self.queue.ahead_of(&work.customer, own) + running + own;
        Duration::from_secs_f64(ahead as f64 / speed).saturating_sub(work.slack)
    }

    /// Drops all queued work and aborts all running work for which `mine` holds. True if any of
    /// it had started.
    fn give_up(
        &mut self,
        name: &Arc<str>,
        mine: impl Fn(Attempt, Link) -> bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.queue.take(|_, job| mine(job.work.attempt, job.link));
        self.delayed.retain(|(_, job)| !mine(job.work.attempt, job.link));
        let waiting: Vec<Attempt> = self
            .imports
            .iter()
            .filter(|import| mine(import.work.attempt, import.link))
            .map(|i| i.work.attempt)
            .collect();
        self.imports.retain(|import| !mine(import.work.attempt, import.link));
        let mut started = !waiting.is_empty();
        for (attempt, active) in &mut self.active {
            if mine(*attempt, active.link) {
                started = true;
                abort(name, *attempt, active, actions);
            }
        }
        let idle: Vec<Attempt> = self
            .ledger
            .claims()
            .map(|(attempt, ..)| attempt)
            .filter(|attempt| !self.active.contains_key(attempt))
            .filter(|attempt| {
                waiting.contains(attempt)
                    || self.holders.get(attempt).is_some_and(|link| mine(*attempt, *link))
            })
            .collect();
        for attempt in idle {
            self.ledger.release(attempt);
            self.holders.remove(&attempt);
        }
        started
    }

    fn measure(&mut self, now: Time, active: &Active, outcome: &Outcome) {
        let took = now.since(active.since).as_secs_f64().max(1e-6);
        match outcome {
            Outcome::Prefilled { .. } => {
                let speed = f64::from(active.work.prompt_tokens.max(1)) / took;
                self.speed = Some(self.speed.map_or(speed, |old| mean(old, speed)));
            }
            Outcome::Decoded { total } if *total > 0 => {
                self.pace = mean(self.pace, took * 1e6 / f64::from(*total));
                let length = f64::from(*total) / f64::from(active.work.max_tokens.max(1));
                self.length = mean(self.length, length.min(1.0));
            }
            Outcome::Decoded { .. } | Outcome::Answered { .. } | Outcome::Failed(_) | Outcome::Aborted => {}
        }
    }

    fn pump(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.lapse(now, actions);
        match self.role {
            Role::Prefill => self.pump_prefill(now, actions),
            Role::Decode => self.pump_decode(now, actions),
            Role::Plain => self.pump_plain(now, actions),
        }
    }

    /// Refuses at once what can no longer be served in time; its caller may go elsewhere.
    fn lapse(&mut self, now: Time, actions: &mut Vec<Action>) {
        let late = self.queue.take(|deadline, _| deadline <= now);
        actions.extend(
            late.iter().map(|job| refuse(job.link, job.work.attempt, Code::Overloaded, Duration::ZERO)),
        );
        for attempt in self.ledger.tick(now) {
            self.holders.remove(&attempt);
        }
        let (stale, rest): (Vec<_>, Vec<_>) =
            self.imports.drain(..).partition(|import| now.since(import.since) > IMPORT_WAIT);
        self.imports = rest;
        for import in stale {
            let attempt = import.work.attempt;
            self.ledger.release(attempt);
            self.holders.remove(&attempt);
            actions.push(Action::Send(import.link, Event::Broken { attempt, cause: Breakage::Evicted }));
        }
    }

    fn pump_prefill(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (due, rest): (Vec<_>, Vec<_>) = self.delayed.drain(..).partition(|(at, _)| *at <= now);
        self.delayed = rest;
        for (_, job) in due {
            self.push(1, job);
        }
        while self.active.len() < PREFILL_SLOTS {
            let Some(job) = self.queue.pop(|_| true) else { break };
            self.activate(now, &job);
            if let Task::Prefill { prompt } = job.task {
                actions.push(Action::Prefill(job.work, prompt));
            }
        }
    }

    fn pump_plain(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.active.len() < PLAIN_SLOTS {
            let Some(job) = self.queue.pop(|_| true) else { break };
            self.activate(now, &job);
            if let Task::Call(call) = job.task {
                actions.push(Action::Call(job.work, call));
            }
        }
    }

    fn activate(&mut self, now: Time, job: &Job) {
        let active = Active { link: job.link, work: job.work.clone(), since: now, aborted: false };
        self.active.insert(job.work.attempt, active);
    }

    fn pump_decode(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.start_imports(now, actions);
        let mut granted = Vec::new();
        let ledger = std::cell::RefCell::new(&mut self.ledger);
        while let Some(job) = self.queue.pop(|job| {
            let Task::Hold { ahead } = job.task else { return false };
            let horizon = ahead.then(|| job.deadline.since(now));
            let until = job.deadline.plus(HOLD_GRACE);
            let hold = ledger.borrow_mut().hold(now, job.work.attempt, job.pieces(), until, horizon);
            matches!(hold, Hold::Granted(_))
        }) {
            granted.push(job);
        }
        for job in granted {
            let attempt = job.work.attempt;
            self.holders.insert(attempt, job.link);
            let hold = self.ledger.hold(now, attempt, job.pieces(), job.deadline, None);
            let Hold::Granted(ready_in) = hold else { continue };
            actions.push(Action::Send(job.link, Event::Held { attempt, ready_in }));
        }
    }

    fn start_imports(&mut self, now: Time, actions: &mut Vec<Action>) {
        let waiting = std::mem::take(&mut self.imports);
        for import in waiting {
            if !self.start_import(now, &import) {
                self.imports.push(import);
                continue;
            }
            self.holders.remove(&import.work.attempt);
            let Import { link, work, source, kv, from_index, .. } = import;
            let active = Active { link, work: work.clone(), since: now, aborted: false };
            self.active.insert(work.attempt, active);
            actions.push(Action::Decode { link, work, source, kv, from_index });
        }
    }

    fn start_import(&mut self, now: Time, import: &Import) -> bool {
        let work = &import.work;
        let left = f64::from(work.max_tokens.saturating_sub(import.from_index)) * self.length;
        let ends = now.plus(Duration::from_micros((left * self.pace) as u64));
        if !self.ledger.has(work.attempt) {
            // No hold was asked for (a baseline policy): it takes its chance when it arrives.
            let need = pieces(work.prompt_tokens + work.max_tokens);
            self.ledger.hold(now, work.attempt, need, now.plus(IMPORT_WAIT), None);
        }
        self.ledger.start(work.attempt, ends)
    }
}

impl Job {
    fn pieces(&self) -> u32 {
        pieces(self.work.prompt_tokens + self.work.max_tokens)
    }

    fn cost(&self) -> u64 {
        match self.task {
            Task::Hold { .. } => u64::from(self.work.prompt_tokens + self.work.max_tokens),
            Task::Prefill { .. } => u64::from(self.work.prompt_tokens),
            Task::Call(_) => 1,
        }
    }
}

fn mean(old: f64, new: f64) -> f64 {
    old * (1.0 - NEWEST) + new * NEWEST
}
