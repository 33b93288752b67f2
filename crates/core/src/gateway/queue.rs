//! Queue of requests waiting for memory at a decode endpoint.
//!
//! Requests that can still meet their time-to-first-token target come first, then by priority,
//! share of their customer and deadline. Serving by arrival would make every request late once the wait exceeds the target. A
//! request that does not fit blocks later ones of its service, so that large requests don't starve.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{forecast::Size, suspect::Suspect};
use crate::clock::Time;

/// A queued request.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Handle by which the caller gets the result.
    pub tag: T,
    /// Service that the request is for.
    pub service: Arc<str>,
    /// Name of the caller; empty if it is not known.
    pub customer: Arc<str>,
    /// Prompt and output size.
    pub size: Size,
    /// Mean KV cache use, in tokens.
    pub memory: u64,
    /// Latest start that still meets the time-to-first-token target, by the forecast.
    pub soft_deadline: Time,
    /// Latest start with which the request can finish before its caller disconnects, by the
    /// forecast.
    pub hard_deadline: Time,
    /// When the caller disconnects or the route times out.
    pub deadline: Time,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Target for the longest pause between events; zero if none is declared.
    pub target_gap: Duration,
    /// Target for the time to the first event.
    pub ttft_target: Duration,
    /// Endpoints that failed the request before.
    pub avoid: Vec<Arc<str>>,
    /// Software version that the endpoint must have; `None` if any will do.
    pub software_version: Option<Arc<str>>,
    /// What of the request may crash endpoints; empty for a trial.
    pub suspects: Arc<[Suspect]>,
    /// Whether its customer holds more than its share of scarce memory.
    pub is_over_share: bool,
}

impl<T> Entry<T> {
    /// Returns whether the request can no longer meet its time-to-first-token target.
    pub fn is_late(&self, now: Time) -> bool {
        self.soft_deadline < now
    }

    /// Returns whether a request that was not accepted stands before this one and needs the same endpoints. One that needs
    /// a software version holds up only those that need the same one.
    fn is_behind(&self, blocked: &[(Arc<str>, Option<Arc<str>>)]) -> bool {
        blocked.iter().any(|(service, version)| {
            *service == self.service && (version.is_none() || *version == self.software_version)
        })
    }

    fn rank(&self, now: Time) -> (bool, u8, bool, Time) {
        (self.is_late(now), self.priority, self.is_over_share, self.soft_deadline)
    }
}

/// Result of dispatching a request.
#[derive(Clone, Debug)]
pub enum Verdict<P> {
    /// The request was placed.
    Placed(P),
    /// The request can no longer finish in time.
    Expired,
}

/// Queue of the requests of all services.
#[derive(Clone, Debug)]
pub struct Queue<T>(Vec<Entry<T>>);

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> Queue<T> {
    /// Adds a request.
    pub fn push(&mut self, entry: Entry<T>) {
        self.0.push(entry);
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the queued requests.
    pub fn entries(&self) -> impl Iterator<Item = &Entry<T>> {
        self.0.iter()
    }

    /// Removes the requests for whose tags `keep` returns false, such as those of disconnected
    /// callers.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.0.retain(|entry| keep(&entry.tag));
    }

    /// Returns the services for which requests are queued.
    pub fn services(&self) -> BTreeSet<Arc<str>> {
        self.0.iter().map(|entry| entry.service.clone()).collect()
    }

    /// Marks the requests whose customers hold more than their share.
    pub fn mark_over_share(&mut self, is_over: impl Fn(&Entry<T>) -> bool) {
        for entry in &mut self.0 {
            entry.is_over_share = is_over(entry);
        }
    }

    /// Sorts the requests by the order in which they are placed.
    pub fn sort(&mut self, now: Time) {
        self.0.sort_by_key(|entry| entry.rank(now));
    }

    /// Returns the number of requests of the same service that would be placed before this one.
    pub fn count_ahead<U>(&self, now: Time, entry: &Entry<U>) -> usize {
        let rank = entry.rank(now);
        self.0.iter().filter(|other| other.service == entry.service && other.rank(now) <= rank).count()
    }

    /// Expires the requests for which `cannot_start` returns true, which is asked in their order.
    pub fn expire(&mut self, mut cannot_start: impl FnMut(&Entry<T>) -> bool) {
        for entry in self.0.iter_mut().filter(|entry| cannot_start(entry)) {
            entry.hard_deadline = Time::ZERO;
        }
    }

    /// Removes expired requests and those that `place` accepts, in order. Once a request is not
    /// accepted, all later ones that need the same endpoints stay queued.
    pub fn dispatch<P>(
        &mut self,
        now: Time,
        mut place: impl FnMut(&Entry<T>) -> Option<P>,
    ) -> Vec<(Entry<T>, Verdict<P>)> {
        self.sort(now);
        let mut verdicts = Vec::new();
        let mut blocked: Vec<(Arc<str>, Option<Arc<str>>)> = Vec::new();
        let mut remaining = Vec::new();
        for entry in std::mem::take(&mut self.0) {
            if entry.hard_deadline < now {
                verdicts.push((entry, Verdict::Expired));
                continue;
            }
            if entry.is_behind(&blocked) {
                remaining.push(entry);
                continue;
            }
            match place(&entry) {
                Some(placement) => verdicts.push((entry, Verdict::Placed(placement))),
                None => {
                    blocked.push((entry.service.clone(), entry.software_version.clone()));
                    remaining.push(entry);
                }
            }
        }
        self.0 = remaining;
        verdicts
    }
}
