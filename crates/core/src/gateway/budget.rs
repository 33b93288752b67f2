//! Retry budget, shared by all replicas.
//!
//! In any window, the retries of a service stay below a fraction of its requests plus a fixed
//! slack. Each replica counts only its own requests and uses an equal share of the slack, so the
//! limit holds without coordination.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::clock::Time;

/// Fraction of the budget that is used. Leaves a margin for replicas that join or leave within a
/// window.
const USABLE_FRACTION: f64 = 0.7;
/// Fraction of its share of the slack that a replica uses in its first window. The process that it
/// replaces may have used the full share within the same window: together, [`USABLE_FRACTION`] x
/// 1.4 stays below the whole.
const STARTUP_FRACTION: f64 = 0.4;
/// Lower bound of the replica count in the first window, while peers are still being discovered.
const MIN_STARTUP_REPLICAS: u32 = 4;
/// Granularity of the sliding window.
const BUCKET_DURATION: Duration = Duration::from_millis(500);

/// Limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Further retries allowed per window, over all replicas.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Time,
    requests: u32,
    retries: u32,
}

/// A message by which an endpoint gets a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for a prefill only.
    Prefill,
    /// Asks for the response.
    Run,
}

/// The messages by which endpoints got one request.
///
/// The budget counts messages, not decisions to retry: a retry that prefills the prompt again consists of two. The
/// first prefill that an endpoint accepts and the first other message are not retries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sends {
    prefills: u32,
    runs: u32,
    /// Whether an endpoint has accepted a prefill.
    is_prefilled: bool,
}

impl Sends {
    /// Records that a message is being sent.
    pub fn record_sent(&mut self, message: Message) {
        match message {
            Message::Prefill => self.prefills += 1,
            Message::Run => self.runs += 1,
        }
    }

    /// Records that nothing was sent after all.
    pub fn record_unsent(&mut self, message: Message) {
        match message {
            Message::Prefill => self.prefills = self.prefills.saturating_sub(1),
            Message::Run => self.runs = self.runs.saturating_sub(1),
        }
    }

    /// Records that an endpoint has accepted a prefill.
    pub fn record_prefilled(&mut self) {
        self.is_prefilled = true;
    }

    /// Returns the number of prefills.
    pub fn prefills(&self) -> u32 {
        self.prefills
    }

    /// Returns the number of other messages.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns the number of messages that count as retries.
    pub fn retries(&self) -> u32 {
        (self.prefills + self.runs).saturating_sub(1 + u32::from(self.is_prefilled))
    }
}

/// Requests and retries within the window, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    rule: Rule,
    started_at: Time,
    services: BTreeMap<Arc<str>, VecDeque<Bucket>>,
}

impl Budget {
    /// Creates the budget of a replica that starts now.
    pub fn new(rule: Rule, now: Time) -> Self {
        Self { rule, started_at: now, services: BTreeMap::new() }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Time, service: &Arc<str>) {
        self.bucket(now, service).requests += 1;
    }

    /// Records a retry if the budget allows it, and returns whether it does. `replicas` is the
    /// number of replicas that share the slack, including this one.
    pub fn try_spend(&mut self, now: Time, service: &Arc<str>, replicas: u32) -> bool {
        self.bucket(now, service);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = self.rule.ratio * f64::from(requests) + self.slack(now, replicas);
        if f64::from(retries + 1) > allowed * USABLE_FRACTION {
            return false;
        }
        self.bucket(now, service).retries += 1;
        true
    }

    /// Returns this replica's share of the slack.
    fn slack(&self, now: Time, replicas: u32) -> f64 {
        if now.since(self.started_at) < self.rule.window {
            return self.rule.slack * STARTUP_FRACTION / f64::from(replicas.max(MIN_STARTUP_REPLICAS));
        }
        self.rule.slack / f64::from(replicas.max(1))
    }

    fn bucket(&mut self, now: Time, service: &Arc<str>) -> &mut Bucket {
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets.front().is_some_and(|bucket| now.since(bucket.start) >= self.rule.window) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| now.since(bucket.start) >= BUCKET_DURATION) {
            buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
