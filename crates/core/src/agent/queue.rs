//! Queue of the work for one endpoint.

use std::{sync::Arc, time::Duration};

use super::{Call, Link};
use crate::{clock::Time, id::Attempt, message::Work, queue::FairQueue, settings::pieces};

/// Work that an order requests.
#[derive(Clone, Debug)]
pub(super) enum Task {
    Hold { ahead: bool },
    Prefill { prompt: Arc<str> },
    Call(Call),
}

/// A queued order.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) link: Link,
    pub(super) work: Work,
    /// Scheduling weight of the customer.
    pub(super) weight: u32,
    /// Latest start that meets the first-token deadline.
    pub(super) start_by: Time,
    /// When the job is refused if it has not started.
    pub(super) expires: Time,
    pub(super) task: Task,
}

impl Job {
    /// Returns the memory pieces that the prompt and the longest answer need.
    pub(super) fn pieces(&self) -> u32 {
        pieces(self.work.prompt_tokens + self.work.max_tokens)
    }

    /// Returns the cost of the job for fair queueing, in tokens; one for a call.
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
/// Jobs that can still meet their first-token deadline run first. Late jobs are kept, as their
/// customer may be within its rate limit, but run only when no on-time job is queued.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    on_time: FairQueue<Job>,
    late: FairQueue<Job>,
}

impl Queue {
    pub(super) fn push(&mut self, job: Job) {
        let customer = job.work.customer.clone();
        self.on_time.push(&customer, job.weight, job.start_by, job.cost(), job);
    }

    pub(super) fn push_late(&mut self, job: Job) {
        let customer = job.work.customer.clone();
        self.late.push(&customer, job.weight, job.expires, job.cost(), job);
    }

    /// Removes and returns the next job if `fits` accepts it.
    pub(super) fn pop(&mut self, fits: impl Fn(&Job) -> bool) -> Option<Job> {
        match self.on_time.is_empty() {
            true => self.late.pop(fits),
            false => self.on_time.pop(fits),
        }
    }

    /// Demotes jobs that can no longer start in time, and removes and returns expired jobs.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Job> {
        let overdue = self.on_time.remove_where(|start_by, _| start_by < now);
        overdue.into_iter().for_each(|job| self.push_late(job));
        self.late.remove_where(|expires, _| expires <= now)
    }

    /// Removes and returns the jobs that `matches` selects.
    pub(super) fn remove_where(&mut self, matches: impl Fn(Attempt, Link) -> bool) -> Vec<Job> {
        let is_match = |_: Time, job: &Job| matches(job.work.attempt, job.link);
        let mut removed = self.on_time.remove_where(is_match);
        removed.extend(self.late.remove_where(is_match));
        removed
    }

    pub(super) fn contains(&self, attempt: Attempt) -> bool {
        let is_match = |job: &Job| job.work.attempt == attempt;
        self.on_time.any(is_match) || self.late.any(is_match)
    }

    /// Returns the tokens that would run before a new on-time job of `customer`.
    pub(super) fn tokens_ahead(&self, customer: &Arc<str>, cost: u64) -> u64 {
        self.on_time.tokens_ahead(customer, cost)
    }

    pub(super) fn queued_tokens(&self) -> u64 {
        self.on_time.queued_tokens() + self.late.queued_tokens()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }
}

/// Admission decision for new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The job can meet its first-token deadline.
    OnTime,
    /// The job will miss its first-token deadline but can run before it expires.
    Late,
    /// The job would expire before it could run; carries the time after which to retry.
    Reject(Duration),
}
