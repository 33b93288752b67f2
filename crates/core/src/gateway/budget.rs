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
const USED: f64 = 0.7;
/// Part of its slack that an entry takes in its first window: with what the process before it used,
/// [`USED`] x 1.4 stays below the whole.
const YOUNG: f64 = 0.4;
/// Entries that an entry counts with before it has heard them.
const UNKNOWN_SHARERS: u32 = 4;
/// Events are counted in spans of this length.
const SPAN: Duration = Duration::from_millis(500);

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
struct Span {
    began: Time,
    requests: u32,
    extras: u32,
}

/// What was sent of late, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    rule: Rule,
    /// When this entry started.
    started: Time,
    services: BTreeMap<Arc<str>, VecDeque<Span>>,
}

impl Budget {
    /// A budget under a rule, of an entry that starts now.
    pub fn new(rule: Rule, now: Time) -> Self {
        Self { rule, started: now, services: BTreeMap::new() }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Time, service: &Arc<str>) {
        self.span(now, service).requests += 1;
    }

    /// Whether a request may be sent once more; pays for it if so. `sharers` entries share the slack.
    pub fn extra(&mut self, now: Time, service: &Arc<str>, sharers: u32) -> bool {
        self.span(now, service);
        let spans = &self.services[service];
        let requests: u32 = spans.iter().map(|span| span.requests).sum();
        let extras: u32 = spans.iter().map(|span| span.extras).sum();
        let allowed = self.rule.ratio * f64::from(requests) + self.slack(now, sharers);
        if f64::from(extras + 1) > allowed * USED {
            return false;
        }
        self.span(now, service).extras += 1;
        true
    }

    /// This entry's part of the slack. In its first window it takes less: the process before it may
    /// have used its part in the same window, and it does not know the others yet.
    fn slack(&self, now: Time, sharers: u32) -> f64 {
        if now.since(self.started) < self.rule.window {
            return self.rule.slack * YOUNG / f64::from(sharers.max(UNKNOWN_SHARERS));
        }
        self.rule.slack / f64::from(sharers.max(1))
    }

    fn span(&mut self, now: Time, service: &Arc<str>) -> &mut Span {
        let spans = self.services.entry(service.clone()).or_default();
        while spans.front().is_some_and(|span| now.since(span.began) >= self.rule.window) {
            spans.pop_front();
        }
        if spans.back().is_none_or(|span| now.since(span.began) >= SPAN) {
            spans.push_back(Span { began: now, requests: 0, extras: 0 });
        }
        let last = spans.len() - 1;
        &mut spans[last]
    }
}
