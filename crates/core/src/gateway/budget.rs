//! How often requests may be sent to a further endpoint, over all entries together.
//!
//! In any window the further sends of a service stay below a part of its requests plus a fixed
//! slack. Each entry counts only its own and takes its even part of the slack, so the sum holds
//! without a word between them.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::clock::Time;

/// Part of the budget that is used: entries join and leave within a window, and are counted late.
const USABLE_FRACTION: f64 = 0.7;
/// Part of its slack that an entry takes in its first window: with what the process before it used,
/// [`USABLE_FRACTION`] x 1.4 stays below the whole.
const STARTUP_FRACTION: f64 = 0.4;
/// Entries that an entry counts with before it has heard them.
const MIN_STARTUP_SHARERS: u32 = 4;
/// Events are counted in buckets of this length.
const BUCKET_DURATION: Duration = Duration::from_millis(500);

/// The rule that the budget keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Further sends for each request.
    pub ratio: f64,
    /// Further sends on top, over all entries.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Time,
    requests: u32,
    retries: u32,
}

/// What was sent of late, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    rule: Rule,
    /// When this entry started_at.
    started_at: Time,
    services: BTreeMap<Arc<str>, VecDeque<Bucket>>,
}

impl Budget {
    /// A budget under a rule, of an entry that starts now.
    pub fn new(rule: Rule, now: Time) -> Self {
        Self { rule, started_at: now, services: BTreeMap::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Time, service: &Arc<str>) {
        self.bucket(now, service).requests += 1;
    }

    /// Whether a request may be sent once more; pays for it if so. `sharers` entries share the slack.
    pub fn try_spend(&mut self, now: Time, service: &Arc<str>, sharers: u32) -> bool {
        self.bucket(now, service);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = self.rule.ratio * f64::from(requests) + self.slack(now, sharers);
        if f64::from(retries + 1) > allowed * USABLE_FRACTION {
            return false;
        }
        self.bucket(now, service).retries += 1;
        true
    }

    /// This entry's part of the slack. In its first window it takes less: the process before it may
    /// have used its part in the same window, and it does not know the others yet.
    fn slack(&self, now: Time, sharers: u32) -> f64 {
        if now.since(self.started_at) < self.rule.window {
            return self.rule.slack * STARTUP_FRACTION / f64::from(sharers.max(MIN_STARTUP_SHARERS));
        }
        self.rule.slack / f64::from(sharers.max(1))
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
