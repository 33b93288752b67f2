//! Requests that wait for memory at a decode endpoint.
//!
//! Under a burst the memory of all decode endpoints is taken. Whoever can still be on time goes
//! first, by the time that is left; those that cannot any more go when nobody else waits. Serving
//! strictly by arrival would instead make everybody late once the line is longer than the time to the
//! first event, and long prompts, which are read for longer, sooner than short ones. Nobody is passed
//! over for being large.

use std::{sync::Arc, time::Duration};

use super::forecast::Size;
use crate::clock::Time;

/// A request in the line.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Whom to answer.
    pub tag: T,
    /// The service.
    pub service: Arc<str>,
    /// What it asks for.
    pub size: Size,
    /// Memory that it takes on average, tokens.
    pub memory: u64,
    /// A start later than this is late.
    pub soft_deadline: Time,
    /// A start later than this cannot end before the caller has left.
    pub hard_deadline: Time,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Longest pause between its events that is on time; zero if none is declared.
    pub gap: Duration,
    /// Time to its first event that is on time.
    pub ttft_target: Duration,
    /// Endpoints that have failed it.
    pub avoid: Vec<Arc<str>>,
}

impl<T> Entry<T> {
    /// Whether its first event cannot be on time any more.
    pub fn is_late(&self, now: Time) -> bool {
        self.soft_deadline < now
    }

    fn rank(&self, now: Time) -> (bool, u8, Time) {
        (self.is_late(now), self.priority, self.soft_deadline)
    }
}

/// What becomes of a request in the line.
#[derive(Clone, Debug)]
pub enum Verdict<P> {
    /// It runs there.
    Placed(P),
    /// It cannot end in time any more.
    Expired,
}

/// The line.
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

    /// How many wait.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Drops those whose callers are gone.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.0.retain(|entry| keep(&entry.tag));
    }

    /// Places whom `place` finds room for, in order, up to the first of each service that finds
    /// none, and gives up those that wait in vain.
    pub fn dispatch<P>(
        &mut self,
        now: Time,
        mut place: impl FnMut(&Entry<T>) -> Option<P>,
    ) -> Vec<(Entry<T>, Verdict<P>)> {
        self.0.sort_by_key(|entry| entry.rank(now));
        let mut verdicts = Vec::new();
        let mut blocked: Vec<Arc<str>> = Vec::new();
        let mut left = Vec::new();
        for entry in std::mem::take(&mut self.0) {
            if entry.hard_deadline < now {
                verdicts.push((entry, Verdict::Expired));
                continue;
            }
            if blocked.contains(&entry.service) {
                left.push(entry);
                continue;
            }
            match place(&entry) {
                Some(found) => verdicts.push((entry, Verdict::Placed(found))),
                None => {
                    blocked.push(entry.service.clone());
                    left.push(entry);
                }
            }
        }
        self.0 = left;
        verdicts
    }
}
