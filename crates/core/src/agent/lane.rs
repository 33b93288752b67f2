//! One endpoint as its agent sees it: what waits, what runs, and its memory.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    Action, Link, Outcome, refuse,
    waiting::{Admission, Job, Task, Waiting},
};
use crate::{
    clock::{Time, micros},
    id::Attempt,
    memory::{Hold, Ledger},
    message::{Event, FailureCause, Work},
    refusal::Code,
    settings::{Endpoint, Role, pieces},
};

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
/// How far ahead a place about to fall free is promised: about as long as a prefill takes, so that
/// neither waits for the other. Predictions further ahead are wrong too often (docs/rounds.md).
const AHEAD: Duration = Duration::from_millis(300);

/// A decode order whose memory is not free yet.
#[derive(Clone, Debug)]
pub(super) struct Import {
    pub(super) link: Link,
    pub(super) work: Work,
    pub(super) source: Arc<str>,
    pub(super) kv: Arc<str>,
    pub(super) from_index: u32,
    pub(super) since: Time,
}

/// Work that an action has started.
#[derive(Clone, Debug)]
pub(super) struct Active {
    pub(super) link: Link,
    pub(super) work: Work,
    since: Time,
    pub(super) aborted: bool,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub(super) struct Lane {
    pub(super) role: Role,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) waiting: Waiting,
    /// Prefills that wait for their decode place to come near.
    pub(super) delayed: Vec<(Time, Job)>,
    /// Decodes that wait for their promised memory, oldest first.
    pub(super) imports: Vec<Import>,
    pub(super) active: BTreeMap<Attempt, Active>,
    pub(super) ledger: Ledger,
    /// The one suspect of a crash that may hold or run here.
    suspect: Option<Attempt>,
    /// Other suspects, oldest first. Guards against innocent neighbours that are caught in a second
    /// crash and refused for it: of those that run together, only one can be caught twice.
    parked: VecDeque<Job>,
    /// Links of the holds whose decode has not come yet.
    holders: BTreeMap<Attempt, Link>,
    /// Prompt tokens a second; none before the first measurement.
    speed: Option<f64>,
    /// Microseconds between tokens.
    pace: f64,
    /// Answer length as a part of the most allowed.
    length: f64,
}

impl Lane {
    pub(super) fn new(endpoint: &Arc<Endpoint>) -> Self {
        Self {
            role: endpoint.role,
            endpoint: endpoint.clone(),
            waiting: Waiting::default(),
            delayed: Vec::new(),
            imports: Vec::new(),
            active: BTreeMap::new(),
            ledger: Ledger::new(endpoint.pieces),
            suspect: None,
            parked: VecDeque::new(),
            holders: BTreeMap::new(),
            speed: None,
            pace: micros(FIRST_PACE) as f64,
            length: FIRST_LENGTH,
        }
    }

    pub(super) fn adjust(&mut self, name: &Arc<str>, endpoint: &Arc<Endpoint>, actions: &mut Vec<Action>) {
        let ordered = self.endpoint.generation != endpoint.generation;
        self.endpoint = endpoint.clone();
        self.ledger.resize(endpoint.pieces);
        if !ordered {
            return;
        }
        self.role = endpoint.role;
        let jobs = self.waiting.take(|_, _| true);
        actions.extend(
            jobs.iter().map(|job| refuse(job.link, job.work.attempt, Code::NoEndpoint, Duration::ZERO)),
        );
        actions.push(Action::Serve(name.clone(), endpoint.clone()));
    }

    /// Queues new work, or refuses it at once if its turn cannot come in time.
    #[allow(clippy::too_many_arguments, reason = "the parts of one order")]
    pub(super) fn accept(
        &mut self,
        now: Time,
        link: Link,
        weight: u32,
        work: Work,
        task: Task,
        delay: Duration,
        actions: &mut Vec<Action>,
    ) {
        let (attempt, until) = (work.attempt, now.plus(work.timeout));
        let start_by = now.plus(work.slack.saturating_sub(self.own_time(&work, &task)));
        let admission = self.admission(now, &work, &task);
        let job = Job { link, work, weight, start_by, until, task };
        if job.work.suspect && self.role == Role::Decode {
            self.parked.push_back(job);
            return;
        }
        match admission {
            Admission::Hopeless(span) => actions.push(refuse(link, attempt, Code::Overloaded, span)),
            Admission::Timely | Admission::Late if !delay.is_zero() => {
                self.delayed.push((now.plus(delay), job))
            }
            Admission::Timely => self.waiting.push(job),
            Admission::Late => self.waiting.push_late(job),
        }
    }

    /// How long the work itself takes, as far as measured.
    fn own_time(&self, work: &Work, task: &Task) -> Duration {
        match (task, self.speed) {
            (Task::Prefill { .. }, Some(speed)) => {
                Duration::from_secs_f64(f64::from(work.prompt_tokens) / speed)
            }
            _ => Duration::ZERO,
        }
    }

    fn admission(&self, now: Time, work: &Work, task: &Task) -> Admission {
        let (Task::Prefill { .. }, Some(speed)) = (task, self.speed) else { return Admission::Timely };
        let own = u64::from(work.prompt_tokens);
        let before = self.running_tokens(now, speed) + own;
        let ends_in = |tokens: u64| Duration::from_secs_f64((tokens + before) as f64 / speed);
        let hopeless = ends_in(self.waiting.queued()).saturating_sub(work.timeout);
        if ends_in(self.waiting.ahead_of(&work.customer, own)) <= work.slack {
            return Admission::Timely;
        }
        match hopeless.is_zero() {
            true => Admission::Late,
            false => Admission::Hopeless(hopeless),
        }
    }

    /// Prompt tokens of running prefills still to be done.
    fn running_tokens(&self, now: Time, speed: f64) -> u64 {
        let left = |active: &Active| {
            let done = now.since(active.since).as_secs_f64() * speed;
            u64::from(active.work.prompt_tokens).saturating_sub(done as u64)
        };
        self.active.values().map(left).sum()
    }

    /// Stops what runs under one of the keys `cut`.
    pub(super) fn cut(&mut self, name: &Arc<str>, cut: &BTreeSet<Arc<str>>, actions: &mut Vec<Action>) {
        if self.role == Role::Plain {
            return;
        }
        for (attempt, active) in self.active.iter_mut().filter(|(_, active)| cut.contains(&active.work.key)) {
            if active.aborted {
                continue;
            }
            let (code, retry_after) = (Code::BadKey, Duration::ZERO);
            let refused = Event::Refused { attempt: *attempt, code, not_run: false, retry_after };
            actions.push(Action::Send(active.link, refused));
            abort(name, *attempt, active, actions);
        }
    }

    /// Whether nothing runs, waits or is held.
    pub(super) fn is_idle(&self) -> bool {
        let quiet = self.active.is_empty() && self.waiting.is_empty();
        let settled = self.imports.is_empty() && self.delayed.is_empty() && self.parked.is_empty();
        quiet && settled && self.ledger.free() == self.ledger.capacity()
    }

    /// Drops all queued work and aborts all running work for which `mine` holds. True if any of
    /// it had started.
    pub(super) fn give_up(
        &mut self,
        name: &Arc<str>,
        mine: impl Fn(Attempt, Link) -> bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.waiting.take(&mine);
        self.parked.retain(|job| !mine(job.work.attempt, job.link));
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

    pub(super) fn measure(&mut self, now: Time, active: &Active, outcome: &Outcome) {
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

    pub(super) fn pump(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.lapse(now, actions);
        match self.role {
            Role::Prefill => self.pump_prefill(now, actions),
            Role::Decode => self.pump_decode(now, actions),
            Role::Plain => self.pump_plain(now, actions),
        }
    }

    /// Refuses at once what can no longer be served in time; its caller may go elsewhere.
    fn lapse(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut given_up = self.waiting.lapse(now);
        while let Some(job) = self.parked.pop_front_if(|job| job.until <= now) {
            given_up.push(job);
        }
        actions.extend(
            given_up.iter().map(|job| refuse(job.link, job.work.attempt, Code::Overloaded, Duration::ZERO)),
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
            actions.push(Action::Send(import.link, Event::Failed { attempt, cause: FailureCause::Evicted }));
        }
    }

    fn pump_prefill(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (due, rest): (Vec<_>, Vec<_>) = self.delayed.drain(..).partition(|(at, _)| *at <= now);
        self.delayed = rest;
        for (_, job) in due {
            self.waiting.push(job);
        }
        while self.active.len() < PREFILL_SLOTS {
            let Some(job) = self.waiting.pop(|_| true) else { break };
            self.activate(now, &job);
            if let Task::Prefill { prompt } = job.task {
                actions.push(Action::Prefill(job.work, prompt));
            }
        }
    }

    fn pump_plain(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.active.len() < PLAIN_SLOTS {
            let Some(job) = self.waiting.pop(|_| true) else { break };
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
        self.unpark();
        let mut granted = Vec::new();
        let ledger = std::cell::RefCell::new(&mut self.ledger);
        while let Some(job) = self.waiting.pop(|job| {
            let Task::Hold { ahead } = job.task else { return false };
            let horizon = ahead.then_some(AHEAD);
            let until = job.until.plus(HOLD_GRACE);
            let hold = ledger.borrow_mut().hold(now, job.work.attempt, job.pieces(), until, horizon);
            matches!(hold, Hold::Granted(_))
        }) {
            granted.push(job);
        }
        for job in granted {
            let attempt = job.work.attempt;
            self.holders.insert(attempt, job.link);
            let hold = self.ledger.hold(now, attempt, job.pieces(), job.until, None);
            let Hold::Granted(ready_in) = hold else { continue };
            actions.push(Action::Send(job.link, Event::Held { attempt, ready_in }));
        }
    }

    /// Queues the next suspect once the last one has left.
    fn unpark(&mut self) {
        let here = |attempt: &Attempt| self.ledger.has(*attempt) || self.waiting.contains(*attempt);
        if self.suspect.as_ref().is_some_and(here) {
            return;
        }
        let next = self.parked.pop_front();
        self.suspect = next.as_ref().map(|job| job.work.attempt);
        next.into_iter().for_each(|job| self.waiting.push(job));
    }

    pub(super) fn start_imports(&mut self, now: Time, actions: &mut Vec<Action>) {
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

fn abort(name: &Arc<str>, attempt: Attempt, active: &mut Active, actions: &mut Vec<Action>) {
    if !active.aborted {
        active.aborted = true;
        actions.push(Action::Abort(attempt, name.clone()));
    }
}

fn mean(old: f64, new: f64) -> f64 {
    old * (1.0 - NEWEST) + new * NEWEST
}
