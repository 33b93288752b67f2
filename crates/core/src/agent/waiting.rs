//! Work that waits for its turn on one endpoint.

use std::{sync::Arc, time::Duration};

use super::{Call, Link};
use crate::{clock::Time, id::Attempt, message::Work, queue::Fair, settings::pieces};

/// What an order asks for.
#[derive(Clone, Debug)]
pub(super) enum Task {
    Hold { ahead: bool },
    Prefill { prompt: Arc<str> },
    Call(Call),
}

/// One order that waits.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) link: Link,
    pub(super) work: Work,
    /// Share of the customer on this endpoint.
    pub(super) weight: u32,
    /// It must start by then to meet the first-token target.
    pub(super) start_by: Time,
    /// It is given up then.
    pub(super) until: Time,
    pub(super) task: Task,
}

impl Job {
    /// Memory pieces it needs.
    pub(super) fn pieces(&self) -> u32 {
        pieces(self.work.prompt_tokens + self.work.max_tokens)
    }

    /// Tokens it counts for in the queue.
    pub(super) fn cost(&self) -> u64 {
        match self.task {
            Task::Hold { .. } => u64::from(self.work.prompt_tokens + self.work.max_tokens),
            Task::Prefill { .. } => u64::from(self.work.prompt_tokens),
            Task::Call(_) => 1,
        }
    }
}

/// The queue of one endpoint.
///
/// Work that can still meet the first-token target goes first. Work that no longer can is not
/// refused, since its customer may be inside its rate, but runs only when nothing else waits.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting {
    timely: Fair<Job>,
    late: Fair<Job>,
}

impl Waiting {
    pub(super) fn push(&mut self, job: Job) {
        let customer = job.work.customer.clone();
        self.timely.push(&customer, job.weight, job.start_by, job.cost(), job);
    }

    pub(super) fn push_late(&mut self, job: Job) {
        let customer = job.work.customer.clone();
        self.late.push(&customer, job.weight, job.until, job.cost(), job);
    }

    /// The job whose turn it is, if it fits. Late work may use what no timely job waits for.
    pub(super) fn pop(&mut self, fits: impl Fn(&Job) -> bool) -> Option<Job> {
        match self.timely.is_empty() {
            true => self.late.pop(fits),
            false => self.timely.pop(fits),
        }
    }

    /// Moves what can no longer meet its target behind the rest, and returns what is given up.
    pub(super) fn lapse(&mut self, now: Time) -> Vec<Job> {
        let overdue = self.timely.take(|start_by, _| start_by < now);
        overdue.into_iter().for_each(|job| self.push_late(job));
        self.late.take(|until, _| until <= now)
    }

    /// Removes and returns the jobs for which `gone` holds.
    pub(super) fn take(&mut self, gone: impl Fn(Attempt, Link) -> bool) -> Vec<Job> {
        let holds = |_: Time, job: &Job| gone(job.work.attempt, job.link);
        let mut taken = self.timely.take(holds);
        taken.extend(self.late.take(holds));
        taken
    }

    pub(super) fn contains(&self, attempt: Attempt) -> bool {
        let holds = |job: &Job| job.work.attempt == attempt;
        self.timely.any(holds) || self.late.any(holds)
    }

    /// Tokens that would run before a new timely job of `customer`.
    pub(super) fn ahead_of(&self, customer: &Arc<str>, cost: u64) -> u64 {
        self.timely.ahead_of(customer, cost)
    }

    /// Tokens queued.
    pub(super) fn queued(&self) -> u64 {
        self.timely.queued() + self.late.queued()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.timely.is_empty() && self.late.is_empty()
    }
}

/// What an endpoint makes of new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It can meet its target.
    Timely,
    /// It cannot, but it will run before it is given up.
    Late,
    /// It would be given up before its turn: refused at once, to come back after the span.
    Hopeless(Duration),
}
