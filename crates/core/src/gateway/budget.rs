//! Retry budget, shared by all replicas.
//!
//! In any window, the retries of a service stay below a fraction of its requests plus a fixed slack. A retry is a
//! message to an endpoint, so a [`Ledger`] for each request tells what has to be charged.
//!
//! The limit holds without coordination, also while replicas are cut off or restarted: each replica counts only
//! requests that it received itself, and uses an equal share of the slack, most of which a new process has to wait for.
//!
//! [`Ledger`]: super::ledger::Ledger

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::clock::Time;

/// Fraction of the retries that requests earn which is used. Leaves a margin for messages that arrive later than they
/// were charged.
const USABLE_FRACTION: f64 = 0.7;
/// Fraction of a replica's share of the slack that it may save up, and that it gains in each window.
const SLACK_FRACTION: f64 = 0.3;
/// Fraction of its share that a process may use at its start. What the processes of a replica use in a window stays within
/// the share if there are no more than five of them.
const STARTUP_FRACTION: f64 = 0.07;
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

/// Decision on a charge, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Whether the retries were charged.
    pub is_granted: bool,
    /// Retries that the requests of the window paid for before the charge.
    pub earned: f64,
    /// Retries that were left of this replica's share of the slack before the charge.
    pub slack: f64,
    /// Number of replicas that share the slack, as far as this one knows.
    pub replicas: u32,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Time,
    requests: u32,
    /// Retries that requests of the window have paid for. Fractions of a retry may come from the slack.
    retries: f64,
}

/// Requests and retries of one service.
#[derive(Clone, Debug)]
struct Account {
    window: VecDeque<Bucket>,
    /// Retries left of the replica's share of the slack; `None` before it is first asked for.
    slack: Option<f64>,
    slack_updated_at: Time,
}

impl Account {
    /// Creates the account of a replica that started at `started_at`.
    fn new(started_at: Time) -> Self {
        Self { window: VecDeque::new(), slack: None, slack_updated_at: started_at }
    }

    fn bucket(&mut self, now: Time, window: Duration) -> &mut Bucket {
        while self.window.front().is_some_and(|bucket| now.since(bucket.start) >= window) {
            self.window.pop_front();
        }
        if self.window.back().is_none_or(|bucket| now.since(bucket.start) >= BUCKET_DURATION) {
            self.window.push_back(Bucket { start: now, requests: 0, retries: 0.0 });
        }
        let last = self.window.len() - 1;
        &mut self.window[last]
    }

    /// Returns how many more retries the requests of the window pay for.
    fn earned(&self, ratio: f64) -> f64 {
        let requests: u32 = self.window.iter().map(|bucket| bucket.requests).sum();
        let retries: f64 = self.window.iter().map(|bucket| bucket.retries).sum();
        (ratio * f64::from(requests) * USABLE_FRACTION - retries).max(0.0)
    }

    /// Refills the slack and returns it. It is small at the start: the process before this one may have used more.
    fn refill_slack(&mut self, now: Time, share: f64, window: Duration) -> f64 {
        let most = share * SLACK_FRACTION;
        let gained = most * now.since(self.slack_updated_at).div_duration_f64(window);
        let left = self.slack.unwrap_or(share * STARTUP_FRACTION);
        self.slack_updated_at = now;
        *self.slack.insert((left + gained).min(most))
    }
}

/// Requests and retries within the window, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    rule: Rule,
    started_at: Time,
    services: BTreeMap<Arc<str>, Account>,
}

impl Budget {
    /// Creates the budget of a replica that starts now.
    pub fn new(rule: Rule, now: Time) -> Self {
        Self { rule, started_at: now, services: BTreeMap::new() }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Time, service: &Arc<str>) {
        let window = self.rule.window;
        self.account(service).bucket(now, window).requests += 1;
    }

    /// Records `count` retries if the budget allows all of them. `replicas` is the number of replicas that share the
    /// slack, including this one.
    pub fn try_spend(&mut self, now: Time, service: &Arc<str>, count: u32, replicas: u32) -> Decision {
        let Rule { ratio, slack, window } = self.rule;
        let account = self.account(service);
        account.bucket(now, window);
        let usable_slack = account.refill_slack(now, slack / f64::from(replicas.max(1)), window);
        let earned = account.earned(ratio);
        let count = f64::from(count);
        let is_granted = count <= earned + usable_slack;
        let decision = Decision { is_granted, earned, slack: usable_slack, replicas };
        if !is_granted {
            return decision;
        }
        let by_requests = earned.min(count);
        account.bucket(now, window).retries += by_requests;
        account.slack = Some(usable_slack - (count - by_requests));
        decision
    }

    fn account(&mut self, service: &Arc<str>) -> &mut Account {
        let started_at = self.started_at;
        self.services.entry(service.clone()).or_insert_with(|| Account::new(started_at))
    }
}
