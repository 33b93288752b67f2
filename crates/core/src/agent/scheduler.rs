//! Scheduling on one endpoint: its queue, running work and memory.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    Action, Link, Outcome,
    queue::{Admission, Job, Queue, Task},
    refuse,
};
use crate::{
    clock::{Time, micros},
    id::Attempt,
    memory::{Hold, Ledger},
    message::{Event, FailureCause, Work},
    refusal::Code,
    settings::{Endpoint, Role, pieces},
};

/// Extra lease time of a hold beyond the expiry of its order, for the KV transfer.
const HOLD_GRACE: Duration = Duration::from_secs(1);
/// Longest wait of a decode for memory; after this the engine has evicted the prefill result.
const IMPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Concurrent prefills per engine; a larger batch would delay the first prompt in it.
const MAX_ACTIVE_PREFILLS: usize = 1;
/// Concurrent calls per plain service.
const MAX_ACTIVE_CALLS: usize = 256;
/// Estimated time between output tokens before the first decode completes.
const INITIAL_TOKEN_INTERVAL: Duration = Duration::from_millis(50);
/// Estimated answer length, relative to `max_tokens`, before the first decode completes.
const INITIAL_OUTPUT_RATIO: f64 = 1.0;
/// Weight of the newest sample in the exponential moving averages.
const AVERAGE_WEIGHT: f64 = 0.2;
/// How far in advance memory that is still in use may be promised. About the duration of a prefill,
/// so that the memory and the prefill result become available together. Predictions further ahead
/// are wrong too often.
const PROMISE_HORIZON: Duration = Duration::from_millis(300);

/// A decode order waiting for memory to import its KV cache.
#[derive(Clone, Debug)]
pub(super) struct Import {
    pub(super) link: Link,
    pub(super) work: Work,
    pub(super) source: Arc<str>,
    pub(super) kv: Arc<str>,
    pub(super) from_index: u32,
    pub(super) queued_at: Time,
}

/// Work started by an action.
#[derive(Clone, Debug)]
pub(super) struct Active {
    pub(super) link: Link,
    pub(super) work: Work,
    started_at: Time,
    pub(super) aborted: bool,
}

/// Scheduling state of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Scheduler {
    pub(super) role: Role,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) queue: Queue,
    /// Prefills that may not start yet, with the time at which they are queued.
    pub(super) delayed: Vec<(Time, Job)>,
    /// Decodes waiting for their memory, oldest first.
    pub(super) imports: Vec<Import>,
    pub(super) active: BTreeMap<Attempt, Active>,
    pub(super) ledger: Ledger,
    /// The only crash suspect that may hold memory or run on this endpoint.
    active_suspect: Option<Attempt>,
    /// Other crash suspects, oldest first. Suspects run one at a time, so that a second crash is
    /// not also counted against suspects that did not cause it.
    queued_suspects: VecDeque<Job>,
    /// Links of the holds whose decode order has not started.
    hold_links: BTreeMap<Attempt, Link>,
    /// Prompt tokens per second; `None` until the first prefill completes.
    prefill_rate: Option<f64>,
    /// Average time between output tokens, microseconds.
    token_interval_us: f64,
    /// Average answer length relative to `max_tokens`.
    output_ratio: f64,
}

impl Scheduler {
    pub(super) fn new(endpoint: &Arc<Endpoint>) -> Self {
        Self {
            role: endpoint.role,
            endpoint: endpoint.clone(),
            queue: Queue::default(),
            delayed: Vec::new(),
            imports: Vec::new(),
            active: BTreeMap::new(),
            ledger: Ledger::new(endpoint.pieces),
            active_suspect: None,
            queued_suspects: VecDeque::new(),
            hold_links: BTreeMap::new(),
            prefill_rate: None,
            token_interval_us: micros(INITIAL_TOKEN_INTERVAL) as f64,
            output_ratio: INITIAL_OUTPUT_RATIO,
        }
    }

    pub(super) fn reconfigure(
        &mut self,
        name: &Arc<str>,
        endpoint: &Arc<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        let is_new_generation = self.endpoint.generation != endpoint.generation;
        self.endpoint = endpoint.clone();
        self.ledger.resize(endpoint.pieces);
        if !is_new_generation {
            return;
        }
        self.role = endpoint.role;
        let jobs = self.queue.remove_where(|_, _| true);
        actions.extend(
            jobs.iter().map(|job| refuse(job.link, job.work.attempt, Code::NoEndpoint, Duration::ZERO)),
        );
        actions.push(Action::Serve(name.clone(), endpoint.clone()));
    }

    /// Queues new work, or refuses it if it would expire before it could run.
    #[allow(clippy::too_many_arguments, reason = "the parts of one order")]
    pub(super) fn enqueue(
        &mut self,
        now: Time,
        link: Link,
        weight: u32,
        work: Work,
        task: Task,
        delay: Duration,
        actions: &mut Vec<Action>,
    ) {
        let (attempt, expires) = (work.attempt, now.plus(work.timeout));
        let start_by = now.plus(work.slack.saturating_sub(self.prefill_time(&work, &task)));
        let admission = self.admission(now, &work, &task);
        let job = Job { link, work, weight, start_by, expires, task };
        if job.work.suspect && self.role == Role::Decode {
            self.queued_suspects.push_back(job);
            return;
        }
        match admission {
            Admission::Reject(span) => actions.push(refuse(link, attempt, Code::Overloaded, span)),
            Admission::OnTime | Admission::Late if !delay.is_zero() => {
                self.delayed.push((now.plus(delay), job))
            }
            Admission::OnTime => self.queue.push(job),
            Admission::Late => self.queue.push_late(job),
        }
    }

    /// Returns the estimated run time of a prefill; zero for other work or without an estimate.
    fn prefill_time(&self, work: &Work, task: &Task) -> Duration {
        match (task, self.prefill_rate) {
            (Task::Prefill { .. }, Some(rate)) => {
                Duration::from_secs_f64(f64::from(work.prompt_tokens) / rate)
            }
            _ => Duration::ZERO,
        }
    }

    /// Decides on the admission of new work. Only prefills are refused or late, and only once the
    /// prefill rate is known.
    fn admission(&self, now: Time, work: &Work, task: &Task) -> Admission {
        let (Task::Prefill { .. }, Some(rate)) = (task, self.prefill_rate) else { return Admission::OnTime };
        let own = u64::from(work.prompt_tokens);
        let running_and_own = self.remaining_prefill_tokens(now, rate) + own;
        let ends_in = |queued: u64| Duration::from_secs_f64((queued + running_and_own) as f64 / rate);
        let overrun = ends_in(self.queue.queued_tokens()).saturating_sub(work.timeout);
        if ends_in(self.queue.tokens_ahead(&work.customer, own)) <= work.slack {
            return Admission::OnTime;
        }
        match overrun.is_zero() {
            true => Admission::Late,
            false => Admission::Reject(overrun),
        }
    }

    /// Returns the estimated number of prompt tokens that running prefills have left.
    fn remaining_prefill_tokens(&self, now: Time, rate: f64) -> u64 {
        let remaining = |active: &Active| {
            let done = now.since(active.started_at).as_secs_f64() * rate;
            u64::from(active.work.prompt_tokens).saturating_sub(done as u64)
        };
        self.active.values().map(remaining).sum()
    }

    /// Aborts work that runs under one of `keys`. Calls of plain services run to their end.
    pub(super) fn abort_keys(
        &mut self,
        name: &Arc<str>,
        keys: &BTreeSet<Arc<str>>,
        actions: &mut Vec<Action>,
    ) {
        if self.role == Role::Plain {
            return;
        }
        for (attempt, active) in self.active.iter_mut().filter(|(_, active)| keys.contains(&active.work.key))
        {
            if active.aborted {
                continue;
            }
            let (code, retry_after) = (Code::BadKey, Duration::ZERO);
            let refused = Event::Refused { attempt: *attempt, code, not_run: false, retry_after };
            actions.push(Action::Send(active.link, refused));
            abort(name, *attempt, active, actions);
        }
    }

    /// Returns whether no work is queued or running and no memory is held.
    pub(super) fn is_idle(&self) -> bool {
        let has_no_work = self.active.is_empty() && self.queue.is_empty();
        let has_no_pending =
            self.imports.is_empty() && self.delayed.is_empty() && self.queued_suspects.is_empty();
        has_no_work && has_no_pending && self.ledger.free() == self.ledger.capacity()
    }

    /// Drops queued work and aborts running work that `matches` selects. Returns whether any of it
    /// had started.
    pub(super) fn cancel(
        &mut self,
        name: &Arc<str>,
        matches: impl Fn(Attempt, Link) -> bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.queue.remove_where(&matches);
        self.queued_suspects.retain(|job| !matches(job.work.attempt, job.link));
        self.delayed.retain(|(_, job)| !matches(job.work.attempt, job.link));
        let imports: Vec<Attempt> = self
            .imports
            .iter()
            .filter(|import| matches(import.work.attempt, import.link))
            .map(|import| import.work.attempt)
            .collect();
        self.imports.retain(|import| !matches(import.work.attempt, import.link));
        let mut started = !imports.is_empty();
        for (attempt, active) in &mut self.active {
            if matches(*attempt, active.link) {
                started = true;
                abort(name, *attempt, active, actions);
            }
        }
        let inactive: Vec<Attempt> = self
            .ledger
            .claims()
            .map(|(attempt, ..)| attempt)
            .filter(|attempt| !self.active.contains_key(attempt))
            .filter(|attempt| {
                imports.contains(attempt)
                    || self.hold_links.get(attempt).is_some_and(|link| matches(*attempt, *link))
            })
            .collect();
        for attempt in inactive {
            self.ledger.release(attempt);
            self.hold_links.remove(&attempt);
        }
        started
    }

    pub(super) fn record_outcome(&mut self, now: Time, active: &Active, outcome: &Outcome) {
        let elapsed = now.since(active.started_at).as_secs_f64().max(1e-6);
        match outcome {
            Outcome::Prefilled { .. } => {
                let rate = f64::from(active.work.prompt_tokens.max(1)) / elapsed;
                self.prefill_rate = Some(self.prefill_rate.map_or(rate, |old| moving_average(old, rate)));
            }
            Outcome::Decoded { total } if *total > 0 => {
                self.token_interval_us =
                    moving_average(self.token_interval_us, elapsed * 1e6 / f64::from(*total));
                let ratio = f64::from(*total) / f64::from(active.work.max_tokens.max(1));
                self.output_ratio = moving_average(self.output_ratio, ratio.min(1.0));
            }
            Outcome::Decoded { .. } | Outcome::Answered { .. } | Outcome::Failed(_) | Outcome::Aborted => {}
        }
    }

    pub(super) fn schedule(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.expire(now, actions);
        match self.role {
            Role::Prefill => self.schedule_prefills(now, actions),
            Role::Decode => self.schedule_decodes(now, actions),
            Role::Plain => self.schedule_calls(now, actions),
        }
    }

    /// Refuses expired work, frees expired holds and fails imports that waited too long.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut expired = self.queue.expire(now);
        while let Some(job) = self.queued_suspects.pop_front_if(|job| job.expires <= now) {
            expired.push(job);
        }
        actions.extend(
            expired.iter().map(|job| refuse(job.link, job.work.attempt, Code::Overloaded, Duration::ZERO)),
        );
        for attempt in self.ledger.expire_leases(now) {
            self.hold_links.remove(&attempt);
        }
        let (overdue, rest): (Vec<_>, Vec<_>) =
            self.imports.drain(..).partition(|import| now.since(import.queued_at) > IMPORT_TIMEOUT);
        self.imports = rest;
        for import in overdue {
            let attempt = import.work.attempt;
            self.ledger.release(attempt);
            self.hold_links.remove(&attempt);
            actions.push(Action::Send(import.link, Event::Failed { attempt, cause: FailureCause::Evicted }));
        }
    }

    fn schedule_prefills(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (due, rest): (Vec<_>, Vec<_>) = self.delayed.drain(..).partition(|(at, _)| *at <= now);
        self.delayed = rest;
        for (_, job) in due {
            self.queue.push(job);
        }
        while self.active.len() < MAX_ACTIVE_PREFILLS {
            let Some(job) = self.queue.pop(|_| true) else { break };
            self.mark_active(now, &job);
            if let Task::Prefill { prompt } = job.task {
                actions.push(Action::Prefill(job.work, prompt));
            }
        }
    }

    fn schedule_calls(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.active.len() < MAX_ACTIVE_CALLS {
            let Some(job) = self.queue.pop(|_| true) else { break };
            self.mark_active(now, &job);
            if let Task::Call(call) = job.task {
                actions.push(Action::Call(job.work, call));
            }
        }
    }

    fn mark_active(&mut self, now: Time, job: &Job) {
        let active = Active { link: job.link, work: job.work.clone(), started_at: now, aborted: false };
        self.active.insert(job.work.attempt, active);
    }

    fn schedule_decodes(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.start_imports(now, actions);
        self.queue_next_suspect();
        let mut granted = Vec::new();
        let ledger = std::cell::RefCell::new(&mut self.ledger);
        while let Some(job) = self.queue.pop(|job| {
            let Task::Hold { ahead } = job.task else { return false };
            let horizon = ahead.then_some(PROMISE_HORIZON);
            let lease_end = job.expires.plus(HOLD_GRACE);
            let hold = ledger.borrow_mut().hold(now, job.work.attempt, job.pieces(), lease_end, horizon);
            matches!(hold, Hold::Granted(_))
        }) {
            granted.push(job);
        }
        for job in granted {
            let attempt = job.work.attempt;
            self.hold_links.insert(attempt, job.link);
            // Repeats the hold granted above, only to get its delay.
            let hold = self.ledger.hold(now, attempt, job.pieces(), job.expires, None);
            let Hold::Granted(ready_in) = hold else { continue };
            actions.push(Action::Send(job.link, Event::Held { attempt, ready_in }));
        }
    }

    /// Queues the next suspect once the active one has neither memory nor a queue entry.
    fn queue_next_suspect(&mut self) {
        let is_present = |attempt: &Attempt| self.ledger.contains(*attempt) || self.queue.contains(*attempt);
        if self.active_suspect.as_ref().is_some_and(is_present) {
            return;
        }
        let next = self.queued_suspects.pop_front();
        self.active_suspect = next.as_ref().map(|job| job.work.attempt);
        next.into_iter().for_each(|job| self.queue.push(job));
    }

    pub(super) fn start_imports(&mut self, now: Time, actions: &mut Vec<Action>) {
        let imports = std::mem::take(&mut self.imports);
        for import in imports {
            if !self.start_import(now, &import) {
                self.imports.push(import);
                continue;
            }
            self.hold_links.remove(&import.work.attempt);
            let Import { link, work, source, kv, from_index, .. } = import;
            let active = Active { link, work: work.clone(), started_at: now, aborted: false };
            self.active.insert(work.attempt, active);
            actions.push(Action::Decode { link, work, source, kv, from_index });
        }
    }

    fn start_import(&mut self, now: Time, import: &Import) -> bool {
        let work = &import.work;
        let remaining_tokens =
            f64::from(work.max_tokens.saturating_sub(import.from_index)) * self.output_ratio;
        let ends = now.plus(Duration::from_micros((remaining_tokens * self.token_interval_us) as u64));
        if !self.ledger.contains(work.attempt) {
            // Policies without holds claim memory only when the decode order arrives.
            let need = pieces(work.prompt_tokens + work.max_tokens);
            self.ledger.hold(now, work.attempt, need, now.plus(IMPORT_TIMEOUT), None);
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

fn moving_average(old: f64, new: f64) -> f64 {
    old * (1.0 - AVERAGE_WEIGHT) + new * AVERAGE_WEIGHT
}
