//! Retry budget, shared by all replicas.
//!
//! In any window, the retries of a service stay below a fraction of its requests plus a fixed slack. A retry is a
//! message to an endpoint, so a [`Ledger`] for each request tells what has to be charged.
//!
//! The limit holds without coordination, also while replicas are cut off or restarted: each replica counts only
//! requests that it received itself, and uses an equal share of the slack, for which a new process has to wait.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::clock::Time;

/// Fraction of the retries that requests earn which is used. Leaves a margin for messages that arrive later than they
/// were charged.
const USABLE_FRACTION: f64 = 0.7;
/// Fraction of a replica's share of the slack that it may save up, and that it gains in each window. Both together, with
/// a margin for late messages and for replicas that do not know of new ones yet, stay within the share.
const SLACK_FRACTION: f64 = 0.4;
/// How long a charge may precede its message. A request may wait for an endpoint in between; with an older charge, its
/// message would count in a window that the charge does not.
const CHARGE_TTL: Duration = Duration::from_secs(2);
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

/// A message by which an endpoint gets a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for a prefill only.
    Prefill,
    /// Asks for the response.
    Run,
}

/// The messages of an attempt that still have to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// The request for the response.
    Run,
    /// A prefill, and then the request for the response.
    PrefillAndRun,
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

    /// Returns the number of retries after an attempt, if endpoints accept its prefill.
    fn retries_after(self, plan: Plan) -> u32 {
        match plan {
            Plan::Run => Self { runs: self.runs + 1, ..self },
            Plan::PrefillAndRun => {
                Self { prefills: self.prefills + 1, runs: self.runs + 1, is_prefilled: true }
            }
        }
        .retries()
    }
}

/// The messages of one request, and what the budget was charged for them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    sends: Sends,
    /// When charges were made for messages that have been sent. As many as there are retries, unless a prefill was
    /// rejected: that becomes known only afterwards and is part of what the next attempt has to pay.
    used: Vec<Time>,
    /// When charges were made for messages that have not been sent yet.
    unused: Vec<Time>,
    /// All charges so far.
    charged: u32,
}

impl Ledger {
    /// Returns the messages sent so far.
    pub fn sends(&self) -> Sends {
        self.sends
    }

    /// Returns the number of charges so far.
    pub fn charged(&self) -> u32 {
        self.charged
    }

    /// Returns how many retries must be charged before the messages of a plan may be sent.
    pub fn due(&mut self, now: Time, plan: Plan) -> u32 {
        self.unused.retain(|charged_at| now.since(*charged_at) < CHARGE_TTL);
        self.sends.retries_after(plan).saturating_sub((self.used.len() + self.unused.len()) as u32)
    }

    /// Records that retries were charged.
    pub fn record_charged(&mut self, now: Time, count: u32) {
        self.unused.extend((0..count).map(|_| now));
        self.charged += count;
    }

    /// Records that a message is being sent.
    pub fn record_sent(&mut self, message: Message) {
        let expected = match message {
            Message::Prefill => {
                self.sends.prefills += 1;
                Sends { is_prefilled: true, ..self.sends }
            }
            Message::Run => {
                self.sends.runs += 1;
                self.sends
            }
        };
        let missing = (expected.retries() as usize).saturating_sub(self.used.len());
        self.used.extend(self.unused.drain(..missing.min(self.unused.len())));
    }

    /// Records that nothing was sent after all. What was charged for it pays for a later message.
    pub fn record_unsent(&mut self, message: Message) {
        match message {
            Message::Prefill => self.sends.prefills = self.sends.prefills.saturating_sub(1),
            Message::Run => self.sends.runs = self.sends.runs.saturating_sub(1),
        }
        let still_used = self.used.len().min(self.sends.retries() as usize);
        self.unused.extend(self.used.drain(still_used..));
    }

    /// Records that an endpoint has accepted a prefill.
    pub fn record_prefilled(&mut self) {
        self.sends.is_prefilled = true;
    }
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
    /// Retries left of the replica's share of the slack.
    slack: f64,
    slack_updated_at: Time,
}

impl Account {
    /// Creates the account of a replica that started at `started_at` and has saved up no slack at that time: the process
    /// that it replaces may have used all of it.
    fn new(started_at: Time) -> Self {
        Self { window: VecDeque::new(), slack: 0.0, slack_updated_at: started_at }
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

    fn refill_slack(&mut self, now: Time, share: f64, window: Duration) {
        let most = share * SLACK_FRACTION;
        let gained = most * now.since(self.slack_updated_at).div_duration_f64(window);
        self.slack = (self.slack + gained).min(most);
        self.slack_updated_at = now;
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

    /// Records `count` retries if the budget allows all of them, and returns whether it does. `replicas` is the number
    /// of replicas that share the slack, including this one; `None` if it is not known, so that the slack must not be
    /// used.
    pub fn try_spend(&mut self, now: Time, service: &Arc<str>, count: u32, replicas: Option<u32>) -> bool {
        let Rule { ratio, slack, window } = self.rule;
        let account = self.account(service);
        account.bucket(now, window);
        if let Some(replicas) = replicas {
            account.refill_slack(now, slack / f64::from(replicas.max(1)), window);
        }
        let earned = account.earned(ratio);
        let usable_slack = if replicas.is_some() { account.slack } else { 0.0 };
        let count = f64::from(count);
        if count > earned + usable_slack {
            return false;
        }
        let by_requests = earned.min(count);
        account.bucket(now, window).retries += by_requests;
        account.slack -= count - by_requests;
        true
    }

    fn account(&mut self, service: &Arc<str>) -> &mut Account {
        let started_at = self.started_at;
        self.services.entry(service.clone()).or_insert_with(|| Account::new(started_at))
    }
}
